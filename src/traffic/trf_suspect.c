#include "traffic/trf_int.h"

#include "base/log.h"

#include <inttypes.h>
#include <string.h>

#define COMMIT_TIMEOUT_US 2000000
#define GRANT_POLL_MIN_US 20000
#define GRANT_POLL_MAX_US 200000
#define PROBE_TIMEOUT_US 200000
#define CLEAR_TIMEOUT_US 60000000
/* A crash that the probe does not detect shows in the view when the endpoint's
 * lease has expired (3 s) or when it announces a new incarnation. */
#define CRASH_WATCH_US 8000000

static Dsp__ResultCode submit_command(struct trf *ctx,
				      const Dsp__Command *command)
{
	Dsp__CommandResult *result =
		ctx->ops->submit(ctx->ctl, command, COMMIT_TIMEOUT_US, NULL);
	Dsp__ResultCode code;

	if (!result)
		return DSP__RESULT_CODE__RESULT_UNAVAILABLE;
	code = result->code;
	dsp__command_result__free_unpacked(result, NULL);
	return code;
}

static Dsp__ResultCode request_grant(struct trf_request *r,
				     const struct trf_target *target,
				     const char *attempt)
{
	Dsp__SuspectRun suspect = DSP__SUSPECT_RUN__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;

	suspect.digest.data = r->digest;
	suspect.digest.len = sizeof(r->digest);
	suspect.endpoint = (char *)target->id;
	suspect.incarnation = target->incarnation;
	suspect.attempt = (char *)attempt;
	command.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
	command.suspect_run = &suspect;
	return submit_command(r->ctx, &command);
}

/*
 * Waits for the committed grant that a suspect needs before it runs on an
 * endpoint. Calls tick (NULL: none) between tries. A request that is no longer
 * a suspect needs no grant.
 */
enum trf_grant trf_wait_for_grant(struct trf_request *r,
				  const struct trf_target *target,
				  const char *attempt, trf_wait_tick tick,
				  void *data)
{
	int64_t pause = GRANT_POLL_MIN_US;

	while (trf_now(r->ctx) < r->deadline_us) {
		switch (request_grant(r, target, attempt)) {
		case DSP__RESULT_CODE__RESULT_OK:
		case DSP__RESULT_CODE__RESULT_SAME:
			return TRF_GRANT_YES;
		case DSP__RESULT_CODE__RESULT_NOT_FOUND:
			r->suspect = false; /* has been cleared */
			return TRF_GRANT_YES;
		case DSP__RESULT_CODE__RESULT_QUARANTINED:
			return TRF_GRANT_QUARANTINED;
		case DSP__RESULT_CODE__RESULT_BUSY:
			break; /* it or the endpoint has another grant */
		default:
			return TRF_GRANT_NO;
		}
		g_usleep((gulong)pause);
		pause = MIN(pause * 2, GRANT_POLL_MAX_US);
		if (tick)
			tick(data);
	}
	return TRF_GRANT_NO;
}

/* Queues the commit that clears a suspect after it ran without a crash, or
 * never reached the endpoint. */
void trf_suspect_done(struct trf_request *r, const char *attempt)
{
	struct trf_job *job = g_new0(struct trf_job, 1);

	job->kind = TRF_JOB_CLEAR_SUSPECT;
	job->attempt = g_strdup(attempt);
	job->expires_us = trf_now(r->ctx) + CLEAR_TIMEOUT_US;
	memcpy(job->digest, r->digest, sizeof(job->digest));
	trf_bg_add(r->ctx, job);
}

/* Returns whether an endpoint's process has ended: the view has a new
 * incarnation or an expired lease, or no process answers at the address. */
bool trf_crashed(struct trf *ctx, const struct trf_target *target)
{
	struct view *view = trf_view(ctx);
	const Dsp__Endpoint *e = view_endpoint(view, target->id);
	bool crashed = e && (e->incarnation != target->incarnation ||
			     e->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN);

	view_unref(view);
	if (crashed || !target->address[0] ||
	    trf_route_bar(ctx, target->id, target->incarnation) == HINT_PAUSED)
		return crashed;
	return up_has_ended(target->address, PROBE_TIMEOUT_US);
}

/* Commits that a request was in flight when its endpoint crashed. Returns false
 * when the commit is not known to have succeeded. */
bool trf_report_crash(struct trf *ctx, const char *endpoint,
		      uint64_t incarnation, const uint8_t digest[16])
{
	Dsp__CrashReport report = DSP__CRASH_REPORT__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	ProtobufCBinaryData digests = { .len = 16, .data = (uint8_t *)digest };
	Dsp__ResultCode code;

	report.endpoint = (char *)endpoint;
	report.incarnation = incarnation;
	report.n_digests = 1;
	report.digests = &digests;
	command.body_case = DSP__COMMAND__BODY_CRASH_REPORT;
	command.crash_report = &report;
	met_count(ctx->metrics, "dandelionspar_crash_reports_total", "", 1);
	code = submit_command(ctx, &command);
	LOG_EVENT_WARN("trf", "crash_reported",
		       "endpoint=%s incarnation=%" PRIu64 " result=%d",
		       endpoint, incarnation, (int)code);
	return code == DSP__RESULT_CODE__RESULT_OK ||
	       code == DSP__RESULT_CODE__RESULT_SAME;
}

/* Queues a job that reports a crash if one is detected after the attempt has
 * ended. */
void trf_watch_for_crash(struct trf_request *r, const struct trf_target *target)
{
	struct trf_job *job = g_new0(struct trf_job, 1);

	job->kind = TRF_JOB_CHECK_CRASH;
	job->endpoint = g_strdup(target->id);
	job->incarnation = target->incarnation;
	job->expires_us = trf_now(r->ctx) + CRASH_WATCH_US;
	memcpy(job->digest, r->digest, sizeof(job->digest));
	trf_bg_add(r->ctx, job);
}
