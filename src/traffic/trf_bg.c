#include "traffic/trf_int.h"

#include "base/log.h"

#include <string.h>
#include <time.h>

#define RETRY_INTERVAL_US 500000
#define COMMIT_TIMEOUT_US 2000000
#define CANCEL_TIMEOUT_US 1000000
/* Cancellations only save endpoint time; over this limit the oldest are
 * dropped. */
#define CANCELS_MAX 1024

/* Frees a job and what it owns. */
void trf_job_free(struct trf_job *job)
{
	g_free(job->team);
	g_free(job->key);
	g_free(job->attempt);
	g_free(job->address);
	g_free(job->endpoint);
	g_free(job->content_type);
	g_free(job->body);
	g_free(job);
}

/* Starts a thread that works on a list of jobs; run gets ctx. */
void trf_bg_start(struct trf *ctx, struct trf_bg *bg, void *(*run)(void *))
{
	pthread_mutex_init(&bg->lock, NULL);
	pthread_cond_init(&bg->wake, NULL);
	TAILQ_INIT(&bg->jobs);
	bg->running = true;
	pthread_create(&bg->thread, NULL, run, ctx);
}

/* Tries each remaining job once more, and stops the thread. */
void trf_bg_stop(struct trf_bg *bg)
{
	if (!bg->running)
		return;
	pthread_mutex_lock(&bg->lock);
	bg->stop = true;
	pthread_cond_signal(&bg->wake);
	pthread_mutex_unlock(&bg->lock);
	pthread_join(bg->thread, NULL);
	bg->running = false;
	pthread_mutex_destroy(&bg->lock);
	pthread_cond_destroy(&bg->wake);
}

/* Queues a job for its thread, which frees it when it is done. */
void trf_bg_add(struct trf *ctx, struct trf_job *job)
{
	bool cancel = job->kind == TRF_JOB_CANCEL;
	struct trf_bg *bg = cancel ? &ctx->cancels_bg : &ctx->claims_bg;

	pthread_mutex_lock(&bg->lock);
	if (cancel && bg->n_jobs >= CANCELS_MAX) {
		struct trf_job *oldest = TAILQ_FIRST(&bg->jobs);

		TAILQ_REMOVE(&bg->jobs, oldest, link);
		bg->n_jobs--;
		trf_job_free(oldest);
	}
	TAILQ_INSERT_TAIL(&bg->jobs, job, link);
	bg->n_jobs++;
	pthread_cond_signal(&bg->wake);
	pthread_mutex_unlock(&bg->lock);
}

static void wait_for_jobs(struct trf_bg *bg, int64_t us)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += us / 1000000;
	ts.tv_nsec += us % 1000000 * 1000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&bg->wake, &bg->lock, &ts);
}

/* Waits for the next job that is due, and removes it from the list. Returns
 * NULL when the thread is stopped and no job is left. */
static struct trf_job *next_job(struct trf *ctx, struct trf_bg *bg)
{
	struct trf_job *job;

	pthread_mutex_lock(&bg->lock);
	for (;;) {
		int64_t now = trf_now(ctx);

		TAILQ_FOREACH (job, &bg->jobs, link)
			if (job->not_before_us <= now || bg->stop)
				break;
		if (job || bg->stop)
			break;
		if (TAILQ_EMPTY(&bg->jobs))
			pthread_cond_wait(&bg->wake, &bg->lock);
		else
			wait_for_jobs(bg, RETRY_INTERVAL_US / 4);
	}
	if (job) {
		TAILQ_REMOVE(&bg->jobs, job, link);
		bg->n_jobs--;
	}
	pthread_mutex_unlock(&bg->lock);
	return job;
}

/*
 * Commits the outcome of a claim. Returns true when the outcome is committed or
 * was rejected for good; false when the result is not known, or when the claim
 * of an abandoned attempt has not been committed (yet).
 */
bool trf_claim_finish(struct trf *ctx, const struct trf_job *job,
		      int64_t timeout_us)
{
	Dsp__ClaimFinish finish = DSP__CLAIM_FINISH__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__CommandResult *result;
	Dsp__ResultCode code;

	finish.team = job->team;
	finish.request_id = job->key;
	finish.attempt = job->attempt;
	finish.state = job->state;
	finish.status = job->status;
	if (job->content_type)
		finish.content_type = job->content_type;
	finish.body.data = job->body;
	finish.body.len = job->body_len;
	command.body_case = DSP__COMMAND__BODY_CLAIM_FINISH;
	command.claim_finish = &finish;
	result = ctx->ops->submit(ctx->ctl, &command, timeout_us, NULL);
	if (!result)
		return false;
	code = result->code;
	dsp__command_result__free_unpacked(result, NULL);
	switch (code) {
	case DSP__RESULT_CODE__RESULT_OK:
	case DSP__RESULT_CODE__RESULT_SAME:
		return true;
	case DSP__RESULT_CODE__RESULT_UNAVAILABLE:
	case DSP__RESULT_CODE__RESULT_NOT_LEADER:
		return false;
	default:
		return job->kind != TRF_JOB_RELEASE_CLAIM;
	}
}

static bool clear_suspect(struct trf *ctx, const struct trf_job *job)
{
	Dsp__SuspectDone done = DSP__SUSPECT_DONE__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__CommandResult *result;

	done.digest.data = (uint8_t *)job->digest;
	done.digest.len = sizeof(job->digest);
	done.attempt = job->attempt;
	command.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
	command.suspect_done = &done;
	result = ctx->ops->submit(ctx->ctl, &command, COMMIT_TIMEOUT_US, NULL);
	if (!result)
		return false;
	dsp__command_result__free_unpacked(result, NULL);
	return true;
}

static bool report_if_crashed(struct trf *ctx, const struct trf_job *job)
{
	struct trf_target target = { .incarnation = job->incarnation };

	g_strlcpy(target.id, job->endpoint, sizeof(target.id));
	return trf_crashed(ctx, &target) &&
	       trf_report_crash(ctx, job->endpoint, job->incarnation,
				job->digest);
}

static bool run_job(struct trf *ctx, const struct trf_job *job)
{
	switch (job->kind) {
	case TRF_JOB_FINISH_CLAIM:
	case TRF_JOB_RELEASE_CLAIM:
		return trf_claim_finish(ctx, job, COMMIT_TIMEOUT_US);
	case TRF_JOB_CLEAR_SUSPECT:
		return clear_suspect(ctx, job);
	case TRF_JOB_CHECK_CRASH:
		return report_if_crashed(ctx, job);
	case TRF_JOB_CANCEL:
		break;
	}
	return true;
}

/* Thread for all jobs but cancellations; it repeats each until it succeeds or
 * expires. */
void *trf_bg_claims_thread(void *data)
{
	struct trf *ctx = data;
	struct trf_bg *bg = &ctx->claims_bg;
	struct trf_job *job;

	while ((job = next_job(ctx, bg))) {
		int64_t now = trf_now(ctx);

		if (run_job(ctx, job) || bg->stop || now > job->expires_us) {
			trf_job_free(job);
			continue;
		}
		job->not_before_us = now + RETRY_INTERVAL_US;
		trf_bg_add(ctx, job);
	}
	return NULL;
}

/* Thread that cancels attempts at their endpoints, with one try each. */
void *trf_bg_cancels_thread(void *data)
{
	struct trf *ctx = data;
	struct trf_job *job;

	while ((job = next_job(ctx, &ctx->cancels_bg))) {
		bool paused = trf_route_bar(ctx, job->endpoint,
					    job->incarnation) == HINT_PAUSED;
		char *url = g_strdup_printf("%s/v1/requests/%s", job->address,
					    job->attempt);
		struct up_request request = {
			.method = "DELETE",
			.url = url,
			.fresh = true,
			.connect_timeout_us = CANCEL_TIMEOUT_US,
			.total_timeout_us = CANCEL_TIMEOUT_US,
		};

		if (paused || !up_perform(ctx->up, &request, NULL))
			LOG_EVENT_DEBUG("trf", "cancel_failed", "attempt=%s",
					job->attempt);
		g_free(url);
		trf_job_free(job);
	}
	return NULL;
}
