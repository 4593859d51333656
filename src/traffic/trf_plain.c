#include "traffic/trf_int.h"

#include "base/log.h"

#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_US 1000000

static void on_head(void *data, int status, const char *content_type)
{
	struct trf_buffered *b = data;

	b->status = status;
	g_free(b->content_type);
	b->content_type = g_strdup(content_type);
}

static void on_header(void *data, const char *name, const char *value)
{
	struct trf_buffered *b = data;

	if (!strcasecmp(name, "X-Request-Id") && strcmp(value, b->attempt))
		b->wrong_attempt = true;
}

static void on_hint(void *data, const struct wire_hint *hint)
{
	struct trf_buffered *b = data;

	trf_route_hint(b->ctx, b->target, hint);
}

static bool on_data(void *data, const char *bytes, size_t len)
{
	struct trf_buffered *b = data;

	if (b->wrong_attempt)
		return false;
	if (!trf_memory_reserve(b->ctx, len)) {
		met_count(b->ctx->metrics,
			  "dandelionspar_limit_rejections_total",
			  "limit=\"memory_mb_max\"", 1);
		b->too_large = true;
		return false;
	}
	b->reserved_bytes += len;
	g_string_append_len(b->body, bytes, (gssize)len);
	return true;
}

/* Frees the contents of a buffered answer, and clears it. */
void trf_buffered_clear(struct trf_buffered *b)
{
	if (b->ctx)
		trf_memory_release(b->ctx, b->reserved_bytes);
	if (b->body)
		g_string_free(b->body, TRUE);
	g_free(b->content_type);
	memset(b, 0, sizeof(*b));
}

/*
 * Sends one attempt of a request and buffers the whole answer. A fresh call
 * uses a new connection. Returns false with err set when no complete answer to
 * this attempt arrived.
 */
bool trf_call_plain(struct trf_request *r, const struct trf_target *target,
		    const char *attempt, bool fresh, struct trf_buffered *b,
		    GError **err)
{
	int64_t left = MAX(r->deadline_us - trf_now(r->ctx), 1);
	char *url = g_strdup_printf("%s%s", target->address, r->path);
	char *type = r->content_type ? g_strdup_printf("Content-Type: %s",
						       r->content_type)
				     : g_strdup("Content-Type:");
	char *id = g_strdup_printf("X-Request-Id: %s", attempt);
	const char *headers[] = { id, type, NULL };
	struct up_request request = {
		.method = r->method,
		.url = url,
		.headers = headers,
		.body = r->body,
		.body_len = r->body_len,
		.fresh = fresh,
		.connect_timeout_us = MIN(CONNECT_TIMEOUT_US, left),
		.total_timeout_us = left,
		.data = b,
		.on_head = on_head,
		.on_header = on_header,
		.on_hint = on_hint,
		.on_data = on_data,
	};
	enum hint_bar bar =
		trf_route_bar(r->ctx, target->id, target->incarnation);
	bool ok;

	/* The first attempt of an idempotent call leaves time for a retry; the
	 * last one may only be slow. */
	if (!fresh) {
		request.first_byte_timeout_us = MAX(left / 2, 1);
		request.silence_timeout_us =
			r->ctx->settings->silence_limit_ms * 1000LL;
	}
	memset(b, 0, sizeof(*b));
	b->ctx = r->ctx;
	b->target = target;
	b->attempt = attempt;
	b->body = g_string_new(NULL);
	/* The endpoint may have said so since it was chosen. */
	ok = bar == HINT_FREE && up_perform(r->ctx->up, &request, err);
	if (bar != HINT_FREE)
		g_set_error(err, UP_ERROR, UP_ERROR_NOT_SENT,
			    "the endpoint is %s", hint_bar_name(bar));
	if (ok && b->wrong_attempt) {
		g_set_error(err, UP_ERROR, UP_ERROR_BROKEN,
			    "the answer belongs to another attempt");
		ok = false;
	}
	g_free(url);
	g_free(type);
	g_free(id);
	return ok;
}

static void fail(struct trf_request *r, const struct trf_buffered *b,
		 const GError *err)
{
	if (b->too_large)
		api_error(r->api, 502, "answer_too_large", TRF_RAN, 0,
			  "the answer does not fit into limits.memory_mb_max");
	else if (g_error_matches(err, UP_ERROR, UP_ERROR_TIMEOUT))
		api_error(r->api, 504, "deadline_passed", trf_ran_of(r), 1,
			  "no answer arrived before the deadline");
	else
		api_error(r->api, 502, "endpoint_failed", trf_ran_of(r), 1,
			  "the request failed after %u attempts", r->attempts);
}

/* Reports a crash, or watches for one, after a failed attempt that may have
 * reached the endpoint. Returns false when the request must not run again. */
static bool handle_broken_attempt(struct trf_request *r,
				  const struct trf_target *target)
{
	if (!trf_crashed(r->ctx, target)) {
		trf_watch_for_crash(r, target);
		return true;
	}
	if (!trf_report_crash(r->ctx, target->id, target->incarnation,
			      r->digest))
		return false;
	r->suspect = true;
	return true;
}

/* Chooses the endpoint of the only retry and sets target. Returns false when
 * the request is not retried. */
static bool choose_retry(struct trf_request *r, struct trf_waiter *w,
			 struct trf_target *target, const GError *err)
{
	bool unsent = g_error_matches(err, UP_ERROR, UP_ERROR_NOT_SENT);
	bool granted = r->suspect;

	if (r->attempts > 1 || trf_now(r->ctx) >= r->deadline_us ||
	    g_error_matches(err, UP_ERROR, UP_ERROR_STOPPED))
		return false;
	/* A grant allows a suspect to run once. */
	if (!unsent && (!handle_broken_attempt(r, target) || granted))
		return false;
	trf_route_failed(r->ctx, target);
	met_count(r->ctx->metrics, "dandelionspar_retries_total", r->labels, 1);
	trf_route_retry(r->ctx, w);
	if (!trf_route_wait(r->ctx, w, r->deadline_us, NULL, NULL))
		return false;
	if (w->decision.outcome == RT_DISPATCH) {
		*target = w->target;
		return true;
	}
	return !unsent && !r->suspect &&
	       w->decision.reason == RT_REASON_NO_ENDPOINT;
}

/* Waits for the grant that a suspect needs. Returns false after an error
 * reply. */
static bool may_run(struct trf_request *r, const struct trf_target *target,
		    const char *attempt)
{
	if (!r->suspect)
		return true;
	switch (trf_wait_for_grant(r, target, attempt, NULL, NULL)) {
	case TRF_GRANT_YES:
		return true;
	case TRF_GRANT_QUARANTINED:
		api_error(r->api, 422, "request_quarantined", trf_ran_of(r), 0,
			  "endpoints crashed while they ran this request");
		return false;
	case TRF_GRANT_NO:
		break;
	}
	api_error(r->api, 503, "suspect_not_granted", trf_ran_of(r), 1,
		  "the grant to run this suspect alone did not arrive in time");
	return false;
}

/* Runs the first attempt and at most one retry, and answers the caller. Returns
 * the outcome for the metrics. */
static const char *run_attempts(struct trf_request *r, struct trf_waiter *w)
{
	struct trf_target target = w->target;
	struct trf_buffered b = { 0 };
	char attempt[TRF_ID_MAX];
	GError *err = NULL;
	const char *outcome = "failed";

	for (bool fresh = false;; fresh = true) {
		trf_attempt_id(r, attempt);
		if (!may_run(r, &target, attempt)) {
			outcome = "suspect";
			goto out;
		}
		if (trf_call_plain(r, &target, attempt, fresh, &b, &err))
			break;
		if (!g_error_matches(err, UP_ERROR, UP_ERROR_NOT_SENT))
			r->may_have_run = true;
		else if (r->suspect)
			trf_suspect_done(r, attempt);
		LOG_EVENT_WARN("trf", "attempt_failed",
			       "attempt=%s endpoint=%s error=\"%s\"", attempt,
			       target.id, err->message);
		if (!choose_retry(r, w, &target, err)) {
			fail(r, &b, err);
			goto out;
		}
		g_clear_error(&err);
		trf_buffered_clear(&b);
	}
	if (r->suspect)
		trf_suspect_done(r, attempt);
	api_reply(r->api, b.status, b.content_type, NULL, b.body->str,
		  b.body->len);
	outcome = "ok";
out:
	g_clear_error(&err);
	trf_buffered_clear(&b);
	return outcome;
}

/* Runs an idempotent call of a plain service and answers the caller. */
void trf_run_plain(struct trf_request *r)
{
	struct trf_waiter waiter = { .class_key = r->class_key };
	const char *outcome;
	int64_t start;
	bool resolved;
	bool late;

	trf_route_submit(r->ctx, &waiter, &r->route);
	resolved = trf_route_wait(r->ctx, &waiter, r->deadline_us, NULL, NULL);
	if (!resolved || waiter.decision.outcome != RT_DISPATCH) {
		trf_route_done(r->ctx, &waiter, 0, false);
		trf_refuse(r, &waiter.decision, !resolved);
		return;
	}
	start = trf_now(r->ctx);
	outcome = run_attempts(r, &waiter);
	trf_route_done(r->ctx, &waiter, 0, !strcmp(outcome, "ok"));
	late = r->class_limits->deadline_us &&
	       trf_now(r->ctx) - r->api->arrival_us >
		       r->class_limits->deadline_us;
	trf_record_outcome(r, outcome, trf_now(r->ctx) - start, false, late);
}
