#include "traffic/trf_int.h"

#include "base/log.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

/*
 * Non-idempotent requests: an attempt runs only when its claim of the request's
 * key is committed (section 9 of docs/design.md).
 */

#define CREATE_TIMEOUT_US 5000000
#define COMMAND_TIMEOUT_US 2000000
/* The leader sets a claim to "unknown" 10 s after its deadline. */
#define CLAIM_GRACE_US 10000000
#define CLAIM_POLL_MIN_US 20000
#define CLAIM_POLL_MAX_US 500000
/* The replicated state keeps bodies up to 64 KiB; one byte more is enough for
 * it to see that a body is too long. */
#define OUTCOME_BODY_BYTES_MAX (64 * 1024 + 1)

/* An attempt to claim and run the request of a key. */
struct claimed_attempt {
	struct trf_request *r;
	const char *key;
	char attempt[TRF_ID_MAX];
};

static bool is_granted(const struct claimed_attempt *c,
		       const Dsp__CommandResult *result)
{
	return (result->code == DSP__RESULT_CODE__RESULT_OK ||
		result->code == DSP__RESULT_CODE__RESULT_SAME) &&
	       result->claim &&
	       result->claim->state == DSP__CLAIM_STATE__CLAIM_CLAIMED &&
	       !strcmp(result->claim->attempt, c->attempt);
}

static Dsp__CommandResult *create_claim(const struct claimed_attempt *c,
					GError **err)
{
	struct trf_request *r = c->r;
	int64_t left = r->deadline_us - trf_now(r->ctx);
	int64_t wall = clk_wall_ms(r->ctx->clock);
	Dsp__Claim claim = DSP__CLAIM__INIT;
	Dsp__ClaimCreate create = DSP__CLAIM_CREATE__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;

	claim.team = (char *)r->team;
	claim.request_id = (char *)c->key;
	claim.digest.data = r->digest;
	claim.digest.len = sizeof(r->digest);
	claim.attempt = (char *)c->attempt;
	claim.node = r->ctx->settings->id;
	claim.boot = r->ctx->boot;
	claim.state = DSP__CLAIM_STATE__CLAIM_CLAIMED;
	claim.claimed_ms = (uint64_t)wall;
	claim.deadline_ms = (uint64_t)(wall + MAX(left, 0) / 1000);
	create.claim = &claim;
	command.body_case = DSP__COMMAND__BODY_CLAIM_CREATE;
	command.claim_create = &create;
	return r->ctx->ops->submit(r->ctx->ctl, &command,
				   MIN(MAX(left, 1), CREATE_TIMEOUT_US), err);
}

static Dsp__CommandResult *get_claim(struct trf_request *r, const char *key)
{
	Dsp__ClaimGet get = DSP__CLAIM_GET__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;

	get.team = (char *)r->team;
	get.request_id = (char *)key;
	command.body_case = DSP__COMMAND__BODY_CLAIM_GET;
	command.claim_get = &get;
	return r->ctx->ops->submit(r->ctx->ctl, &command, COMMAND_TIMEOUT_US,
				   NULL);
}

static struct trf_job *new_claim_job(const struct claimed_attempt *c,
				     enum trf_job_kind kind,
				     Dsp__ClaimState state)
{
	struct trf_request *r = c->r;
	struct trf_job *job = g_new0(struct trf_job, 1);

	job->kind = kind;
	job->team = g_strdup(r->team);
	job->key = g_strdup(c->key);
	job->attempt = g_strdup(c->attempt);
	job->state = state;
	job->expires_us = r->deadline_us + CLAIM_GRACE_US;
	return job;
}

/* Commits the outcome of this attempt's claim; if that fails or takes too long,
 * a background job tries again. */
static void finish_claim(struct claimed_attempt *c, Dsp__ClaimState state,
			 const struct trf_buffered *b)
{
	struct trf_job *job = new_claim_job(c, TRF_JOB_FINISH_CLAIM, state);

	if (b) {
		job->status = (uint32_t)b->status;
		job->content_type =
			g_strdup(b->content_type ? b->content_type : "");
		job->body_len = MIN(b->body->len, OUTCOME_BODY_BYTES_MAX);
		job->body = g_memdup2(b->body->str, job->body_len);
	}

	if (!trf_claim_finish(c->r->ctx, job, COMMAND_TIMEOUT_US)) {
		trf_bg_add(c->r->ctx, job);
		return;
	}

	trf_job_free(job);
}

/*
 * Ends an attempt whose claim is not known to be committed. The claim may still
 * be committed later, so a background job releases it; the attempt never sends
 * the request to an endpoint.
 */
static void abandon_claim(struct claimed_attempt *c)
{
	trf_bg_add(c->r->ctx, new_claim_job(c, TRF_JOB_RELEASE_CLAIM,
					    DSP__CLAIM_STATE__CLAIM_RELEASED));
	met_count(c->r->ctx->metrics, "dandelionspar_claims_abandoned_total",
		  "", 1);
	api_error(c->r->api, 503, "claim_timeout", TRF_NOT_RUN, 1,
		  "the claim was not committed in time; this attempt will "
		  "not run");
}

static void reply_running(struct trf_request *r, const char *key)
{
	char *escaped = g_uri_escape_string(key, NULL, FALSE);
	char *url = g_strdup_printf("/v1/requests/%s", escaped);
	char *extra =
		g_strdup_printf("Location: %s\r\nRetry-After: 1\r\n", url);

	api_json(r->api, 202, extra,
		 json_pack("{s:s,s:s}", "status", "running", "url", url));
	g_free(extra);
	g_free(url);
	g_free(escaped);
}

/* Answers with the outcome of a finished claim. */
void trf_reply_outcome(struct api *api, const Dsp__Claim *claim)
{
	if (claim->state == DSP__CLAIM_STATE__CLAIM_RELEASED)
		api_error(api, 404, "not_run", TRF_NOT_RUN, 0,
			  "the request did not run; it may be sent again");
	else if (claim->state != DSP__CLAIM_STATE__CLAIM_ANSWERED)
		api_error(api, 409, "outcome_unknown", TRF_RAN_UNKNOWN, 0,
			  "it is not known whether the request ran; it will "
			  "not be run again");
	else if (claim->body_dropped)
		api_error(api, 410, "answer_dropped", TRF_RAN, 0,
			  "the request ran with status %u; its answer is no "
			  "longer stored",
			  claim->status);
	else
		api_reply(api, (int)claim->status, claim->content_type,
			  "X-Dandelionspar-Replayed: true\r\n",
			  (const char *)claim->body.data, claim->body.len);
}

/* Waits until an answer of this process finishes, at most for us. */
static void wait_for_local_answer(struct trf *ctx, int64_t us)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += us * 1000;
	ts.tv_sec += ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_mutex_lock(&ctx->answers.lock);
	pthread_cond_timedwait(&ctx->answers.changed, &ctx->answers.lock, &ts);
	pthread_mutex_unlock(&ctx->answers.lock);
}

/*
 * Waits for the outcome of another attempt of the same request, and answers
 * with it. Returns false when that attempt released its claim.
 */
static bool wait_for_outcome(struct claimed_attempt *c)
{
	struct trf_request *r = c->r;
	int64_t pause = CLAIM_POLL_MIN_US;

	while (trf_now(r->ctx) < r->deadline_us) {
		Dsp__CommandResult *result = get_claim(r, c->key);
		Dsp__ClaimState state = DSP__CLAIM_STATE__CLAIM_CLAIMED;

		if (result && result->claim)
			state = result->claim->state;
		else if (result &&
			 result->code == DSP__RESULT_CODE__RESULT_NOT_FOUND)
			state = DSP__CLAIM_STATE__CLAIM_RELEASED;
		if (state == DSP__CLAIM_STATE__CLAIM_ANSWERED ||
		    state == DSP__CLAIM_STATE__CLAIM_UNKNOWN)
			trf_reply_outcome(r->api, result->claim);
		if (result)
			dsp__command_result__free_unpacked(result, NULL);
		if (state != DSP__CLAIM_STATE__CLAIM_CLAIMED)
			return state != DSP__CLAIM_STATE__CLAIM_RELEASED;
		wait_for_local_answer(r->ctx, pause);
		pause = MIN(pause * 2, CLAIM_POLL_MAX_US);
	}
	reply_running(r, c->key);
	return true;
}

/* Releases the claim and refuses the request, for which no endpoint was found
 * in time. */
static const char *refuse_routing(struct claimed_attempt *c,
				  const struct trf_waiter *w, bool timed_out)
{
	finish_claim(c, DSP__CLAIM_STATE__CLAIM_RELEASED, NULL);
	trf_refuse(c->r, &w->decision, timed_out);
	return NULL; /* trf_refuse() has recorded the outcome */
}

/* Releases the claim and answers that the request did not run. */
static const char *reply_not_run(struct claimed_attempt *c, int status,
				 const char *code, const char *message)
{
	finish_claim(c, DSP__CLAIM_STATE__CLAIM_RELEASED, NULL);
	api_error(c->r->api, status, code, TRF_NOT_RUN, 1, "%s", message);
	return code;
}

/* Waits for the grant that a suspect needs. Returns false with outcome set
 * after an error reply. */
static bool may_run(struct claimed_attempt *c, const struct trf_target *target,
		    const char **outcome)
{
	if (!c->r->suspect)
		return true;
	switch (trf_wait_for_grant(c->r, target, c->attempt, NULL, NULL)) {
	case TRF_GRANT_YES:
		return true;
	case TRF_GRANT_QUARANTINED:
		*outcome = reply_not_run(c, 422, "request_quarantined",
					 "endpoints crashed while they ran "
					 "this request");
		return false;
	case TRF_GRANT_NO:
		break;
	}
	*outcome = reply_not_run(c, 503, "suspect_not_granted",
				 "an endpoint crashed while it ran this "
				 "request; no grant to run it alone arrived");
	return false;
}

/* Commits the outcome of a request that the endpoint has, or may have,
 * received, and answers the caller. */
static const char *finish_attempt(struct claimed_attempt *c,
				  const struct trf_target *target,
				  const struct trf_buffered *b, bool complete)
{
	struct trf_request *r = c->r;

	if (complete && r->suspect)
		trf_suspect_done(r, c->attempt);
	if (complete) {
		finish_claim(c, DSP__CLAIM_STATE__CLAIM_ANSWERED, b);
		api_reply(r->api, b->status, b->content_type, NULL,
			  b->body->str, b->body->len);
		return "ok";
	}
	finish_claim(c, DSP__CLAIM_STATE__CLAIM_UNKNOWN, NULL);
	trf_watch_for_crash(r, target);
	api_error(r->api, 502, "outcome_unknown", TRF_RAN_UNKNOWN, 0,
		  "the request was sent, and no complete answer arrived; it "
		  "will not be run again");
	return "unknown";
}

/*
 * Runs the request that this attempt has claimed, and answers the caller.
 * Another endpoint is tried, once, only when no byte was sent to the first.
 * Returns the outcome for the metrics, or NULL when it is recorded already.
 */
static const char *dispatch(struct claimed_attempt *c, struct trf_waiter *w)
{
	struct trf_request *r = c->r;
	struct trf_buffered b = { 0 };
	const char *outcome;
	GError *err = NULL;
	bool resolved;
	bool complete;
	int tries = 0;

	trf_route_submit(r->ctx, w, &r->route);
	for (;;) {
		resolved =
			trf_route_wait(r->ctx, w, r->deadline_us, NULL, NULL);
		if (!resolved || w->decision.outcome != RT_DISPATCH)
			return refuse_routing(c, w, !resolved);
		if (!may_run(c, &w->target, &outcome))
			return outcome;
		/* After the deadline the caller has given up, and the leader
		 * may set the claim to "unknown": nothing may be sent. */
		if (trf_now(r->ctx) >= r->deadline_us)
			return refuse_routing(c, w, true);
		complete = trf_call_plain(r, &w->target, c->attempt, true, &b,
					  &err);
		if (complete ||
		    !g_error_matches(err, UP_ERROR, UP_ERROR_NOT_SENT))
			break;
		g_clear_error(&err);
		trf_buffered_clear(&b);
		trf_route_failed(r->ctx, &w->target);
		if (tries++)
			return reply_not_run(c, 503, "endpoint_unreachable",
					     "no endpoint could be reached");
		trf_route_retry(r->ctx, w);
	}
	if (err)
		LOG_EVENT_WARN("trf", "attempt_unknown",
			       "attempt=%s endpoint=%s error=\"%s\"",
			       c->attempt, w->target.id, err->message);
	outcome = finish_attempt(c, &w->target, &b, complete);
	g_clear_error(&err);
	trf_buffered_clear(&b);
	return outcome;
}

static void run_granted(struct claimed_attempt *c)
{
	struct trf_request *r = c->r;
	struct trf_waiter waiter = { .class_key = r->class_key };
	int64_t start = trf_now(r->ctx);
	const char *outcome;

	r->api->answer = trf_answer_begin(r->ctx, r->team, r->api->id, c->key);
	outcome = dispatch(c, &waiter);
	trf_route_done(r->ctx, &waiter, 0, outcome && !strcmp(outcome, "ok"));
	if (outcome)
		trf_record_outcome(r, outcome, trf_now(r->ctx) - start, false,
				   false);
}

static bool same_digest(const struct trf_request *r, const Dsp__Claim *claim)
{
	return claim->digest.len == sizeof(r->digest) &&
	       !memcmp(claim->digest.data, r->digest, sizeof(r->digest));
}

/* Answers a request whose claim was not granted. Returns false when the claim
 * of the other attempt has been released, so that a new one may be tried. */
static bool reply_not_granted(struct claimed_attempt *c,
			      const Dsp__CommandResult *result)
{
	struct trf_request *r = c->r;

	/* The claim has been read, or there is none: see api.claim_unread. */
	if (result->claim || result->code == DSP__RESULT_CODE__RESULT_LIMIT)
		r->api->claim_unread = false;
	if (result->claim && !same_digest(r, result->claim)) {
		api_error(r->api, 422, "idempotency_key_reused", TRF_NOT_RUN, 0,
			  "the key was used for a different request");
		return true;
	}
	if (result->claim) {
		if (result->claim->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
			return wait_for_outcome(c);
		if (result->claim->state == DSP__CLAIM_STATE__CLAIM_RELEASED)
			return false;
		trf_reply_outcome(r->api, result->claim);
		return true;
	}
	if (result->code == DSP__RESULT_CODE__RESULT_LIMIT) {
		met_count(r->ctx->metrics,
			  "dandelionspar_limit_rejections_total",
			  "limit=\"claims_max\"", 1);
		api_error(r->api, 503, "claims_full", TRF_NOT_RUN, 60,
			  "the table of claims is full (limits.claims_max)");
		return true;
	}
	if (result->code == DSP__RESULT_CODE__RESULT_QUARANTINED) {
		api_error(r->api, 422, "request_quarantined", TRF_NOT_RUN, 0,
			  "endpoints crashed while they ran this request");
		return true;
	}
	if (result->code == DSP__RESULT_CODE__RESULT_STALE ||
	    result->code == DSP__RESULT_CODE__RESULT_INVALID) {
		api_error(r->api, 503, "claim_rejected", TRF_NOT_RUN, 1, "%s",
			  result->message ? result->message : "");
		return true;
	}
	/* It is not known whether the claim is committed. */
	abandon_claim(c);
	return true;
}

/* Makes one attempt. Returns false when a new one may be made. */
static bool claim_and_run(struct claimed_attempt *c)
{
	struct trf_request *r = c->r;
	GError *err = NULL;
	Dsp__CommandResult *result;
	bool ended = true;

	trf_attempt_id(r, c->attempt);
	result = create_claim(c, &err);
	if (!result && g_error_matches(err, CTL_ERROR, CTL_ERROR_NOT_SENT))
		api_error(r->api, 503, "control_unavailable", TRF_NOT_RUN, 1,
			  "no leader can be reached");
	else if (!result)
		abandon_claim(c);
	else if (is_granted(c, result)) {
		r->api->claim_unread = false;
		run_granted(c);
	} else
		ended = reply_not_granted(c, result);
	g_clear_error(&err);
	if (result)
		dsp__command_result__free_unpacked(result, NULL);
	return ended;
}

/* Runs a non-idempotent request at most once and answers the caller. */
void trf_run_claimed(struct trf_request *r, const char *key)
{
	struct claimed_attempt c = { .r = r, .key = key };

	while (!claim_and_run(&c))
		if (trf_now(r->ctx) >= r->deadline_us) {
			api_error(r->api, 503, "deadline_unreachable",
				  TRF_NOT_RUN, 1,
				  "the claim was not granted in time");
			return;
		}
}
