#include "traffic/trf_int.h"

#include "base/log.h"

#include <inttypes.h>
#include <string.h>
#include <strings.h>

/* Endpoints are about 1 ms away; a connection attempt that takes longer than
 * this limit is taken as lost. */
#define CONNECT_TIMEOUT_US 1000000
#define HEARTBEAT_INTERVAL_US 1000000
#define ERROR_BODY_BYTES_MAX 65536
/* An SSE event holds one token; a longer event is an endpoint fault. */
#define EVENT_BYTES_MAX (1u << 20)

enum attempt_result {
	ATTEMPT_COMPLETE,
	ATTEMPT_REJECTED,   /* status 4xx, which is forwarded to the caller */
	ATTEMPT_NOT_RUN,    /* no byte was sent */
	ATTEMPT_OVERLOADED, /* 503 "overloaded": the endpoint did not run it */
	ATTEMPT_BROKEN,
	ATTEMPT_TIMEOUT,
};

/* State of a model request across its attempts. */
struct run {
	struct trf_request *r;
	struct trf_waiter waiter;
	uint32_t delivered; /* tokens sent to the caller or added to text */
	GString *text;	    /* of an answer that is not streamed */
	char *finish_reason;
	json_t *usage;
	int64_t first_token_us; /* absolute; 0: none yet */
	int64_t last_token_us;
	int64_t last_write_us; /* to the caller */

	/* The current attempt. */
	struct trf_target target;
	char attempt[TRF_ID_MAX];
	int status;
	bool sse;
	bool wrong_attempt;	 /* X-Request-Id names another attempt */
	bool final_event;	 /* "[DONE]" has arrived */
	bool endpoint_restarted; /* it has a new incarnation */
	uint32_t tokens_to_skip; /* repeated by a retry */
	bool sent_new_token;	 /* a token that is not a repetition */
	GString *input;	 /* an incomplete event, or the body of an error */
	GString *output; /* events to be sent to the caller */
};

/* Writes the id of the next attempt, and counts it. */
void trf_attempt_id(struct trf_request *r, char out[TRF_ID_MAX])
{
	g_snprintf(out, TRF_ID_MAX, "%s.%u", r->api->id, ++r->attempts);
}

/* Counts a finished or refused request and reports it as demand. */
void trf_record_outcome(struct trf_request *r, const char *outcome,
			int64_t service_us, bool refused, bool late)
{
	char *labels = g_strdup_printf("%s,outcome=\"%s\"", r->labels, outcome);
	Dsp__Demand demand = DSP__DEMAND__INIT;

	met_count(r->ctx->metrics, "dandelionspar_requests_total", labels, 1);
	g_free(labels);
	if (!refused)
		met_observe_us(r->ctx->metrics, "dandelionspar_request_seconds",
			       r->labels, trf_now(r->ctx) - r->api->arrival_us);
	if (late)
		met_count(r->ctx->metrics, "dandelionspar_requests_late_total",
			  r->labels, 1);
	demand.team = (char *)r->team;
	demand.model = r->model ? r->model : (char *)"";
	demand.adapter = r->adapter ? r->adapter : (char *)"";
	demand.requests = 1;
	demand.refused = refused;
	demand.late = late;
	demand.service_ms = (uint64_t)(service_us / 1000);
	r->ctx->ops->demand(r->ctx->ctl, &demand);
}

/* Returns whether a request that fails now has run on an endpoint. */
enum trf_ran trf_ran_of(const struct trf_request *r)
{
	if (r->has_run)
		return TRF_RAN;
	return r->may_have_run ? TRF_RAN_UNKNOWN : TRF_NOT_RUN;
}

/* Answers a request for which no endpoint was found in time: 429 when a queue
 * limit was reached, else 503. */
void trf_refuse(struct trf_request *r, const struct rt_decision *decision,
		bool timed_out)
{
	const char *code = timed_out ? "deadline_unreachable"
				     : rt_reason_code(decision->reason);
	uint32_t retry_s =
		(uint32_t)((decision->retry_after_us + 999999) / 1000000);
	int status = 503;

	if (!timed_out && (decision->reason == RT_REASON_QUEUE_FULL ||
			   decision->reason == RT_REASON_MODEL_SHARE)) {
		status = 429;
		met_count(r->ctx->metrics,
			  "dandelionspar_limit_rejections_total",
			  "limit=\"queue_max\"", 1);
	}
	api_error(r->api, status, code, trf_ran_of(r), retry_s ? retry_s : 1,
		  "no endpoint can serve the request in time: %s", code);
	trf_record_outcome(r, code, 0, true, false);
}

/* ---- Events of the endpoint's stream ---- */

/* Returns the start of a key's value in a JSON event, or NULL. key includes its
 * quotes: quotes within JSON strings are escaped, so only keys match. */
static const char *find_value(const char *event, const char *key)
{
	const char *at = strstr(event, key);

	if (!at)
		return NULL;
	at += strlen(key);
	while (*at == ' ')
		at++;
	if (*at++ != ':')
		return NULL;
	while (*at == ' ')
		at++;
	return at;
}

static bool is_token(const struct trf_request *r, const char *event)
{
	const char *value =
		find_value(event, r->chat ? "\"content\"" : "\"text\"");

	return value && value[0] == '"' && value[1] != '"';
}

static void set_string(char **to, const json_t *value)
{
	if (!json_is_string(value))
		return;
	g_free(*to);
	*to = g_strdup(json_string_value(value));
}

/* Adds one event to an answer that is not streamed. */
static void collect_event(struct run *run, const char *data)
{
	json_error_t where;
	json_t *event = trf_parse_json(data, strlen(data), &where);
	json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
	json_t *text =
		run->r->chat ? json_object_get(json_object_get(choice, "delta"),
					       "content")
			     : json_object_get(choice, "text");
	json_t *usage = json_object_get(event, "usage");

	if (json_is_string(text))
		g_string_append(run->text, json_string_value(text));
	set_string(&run->finish_reason,
		   json_object_get(choice, "finish_reason"));
	if (json_is_object(usage)) {
		json_decref(run->usage);
		run->usage = json_incref(usage);
	}
	json_decref(event);
}

static void count_token(struct run *run)
{
	struct trf_request *r = run->r;
	int64_t now = trf_now(r->ctx);

	if (!run->first_token_us) {
		run->first_token_us = now;
		met_observe_us(r->ctx->metrics,
			       "dandelionspar_first_token_seconds", r->labels,
			       now - r->api->arrival_us);
		trf_route_first_token(r->ctx, &run->waiter);
	} else {
		met_observe_us(r->ctx->metrics,
			       "dandelionspar_token_gap_seconds", r->labels,
			       now - run->last_token_us);
	}
	run->last_token_us = now;
	run->delivered++;
	r->has_run = true;
}

static void forward_event(struct run *run, const char *event, size_t len)
{
	if (run->r->stream) {
		g_string_append_len(run->output, event, (gssize)len);
		g_string_append_len(run->output, "\n\n", 2);
	} else if (!run->final_event) {
		collect_event(run, event + strlen("data:"));
	}
}

/* Handles one complete event; the blank line that ends it is cut off. */
static void on_event(struct run *run, const char *event, size_t len)
{
	const char *data = event + strlen("data:");

	if (strncmp(event, "data:", 5))
		return; /* an SSE comment or another field */
	run->r->has_run = true;
	while (*data == ' ')
		data++;
	if (!strncmp(data, "[DONE]", 6)) {
		run->final_event = true;
		forward_event(run, event, len);
		return;
	}
	if (!is_token(run->r, data)) {
		/* A later attempt repeats the events before its first new
		 * token; they are not forwarded again. */
		if (run->r->attempts == 1 || run->sent_new_token ||
		    (!run->tokens_to_skip && strstr(data, "\"finish_reason\"")))
			forward_event(run, event, len);
		return;
	}
	if (run->tokens_to_skip) {
		run->tokens_to_skip--;
		return;
	}
	run->sent_new_token = true;
	count_token(run);
	forward_event(run, event, len);
}

/* Returns the end of the first event from offset from, and sets next to the
 * offset of the event after it; NULL while the event is incomplete. */
static char *event_end(GString *input, size_t from, size_t *next)
{
	char *start = input->str + from;
	char *lf = strstr(start, "\n\n");
	char *crlf = strstr(start, "\r\n\r\n");

	if (crlf && (!lf || crlf < lf)) {
		*next = (size_t)(crlf - input->str) + 4;
		return crlf;
	}
	if (lf)
		*next = (size_t)(lf - input->str) + 2;
	return lf;
}

static void flush_output(struct run *run)
{
	struct api *api = run->r->api;

	if (!run->output->len)
		return;
	trf_answer_append(run->r->ctx, api->answer, run->output->str,
			  run->output->len);
	api_stream_head(api, "text/event-stream");
	api_stream_write(api, run->output->str, run->output->len);
	run->last_write_us = trf_now(run->r->ctx);
	g_string_truncate(run->output, 0);
}

static void on_head(void *data, int status, const char *content_type)
{
	struct run *run = data;

	run->status = status;
	run->sse = status == 200 && content_type &&
		   !strncasecmp(content_type, "text/event-stream", 17);
}

static void on_header(void *data, const char *name, const char *value)
{
	struct run *run = data;

	if (!strcasecmp(name, "X-Request-Id") && strcmp(value, run->attempt))
		run->wrong_attempt = true;
}

static void on_hint(void *data, const struct wire_hint *hint)
{
	struct run *run = data;

	trf_route_hint(run->r->ctx, &run->target, hint);
}

static bool on_data(void *data, const char *bytes, size_t len)
{
	struct run *run = data;
	size_t from = 0;
	size_t next = 0;
	char *end;

	if (run->wrong_attempt)
		return false;
	g_string_append_len(run->input, bytes, (gssize)len);
	if (!run->sse)
		return run->input->len <= ERROR_BODY_BYTES_MAX;
	while (!run->final_event &&
	       (end = event_end(run->input, from, &next))) {
		*end = '\0';
		on_event(run, run->input->str + from,
			 (size_t)(end - run->input->str) - from);
		from = next;
	}
	g_string_erase(run->input, 0, (gssize)from);
	flush_output(run);
	return run->input->len <= EVENT_BYTES_MAX;
}

static void heartbeat(struct run *run)
{
	static const char comment[] = ": heartbeat\n\n";
	struct api *api = run->r->api;
	int64_t now = trf_now(run->r->ctx);

	if (!run->r->stream || now - run->last_write_us < HEARTBEAT_INTERVAL_US)
		return;
	api_stream_head(api, "text/event-stream");
	api_stream_write(api, comment, sizeof(comment) - 1);
	run->last_write_us = now;
}

static bool on_idle(void *data)
{
	struct run *run = data;
	struct view *view = trf_view(run->r->ctx);
	const Dsp__Endpoint *e = view_endpoint(view, run->target.id);

	/* A restarted endpoint has lost its earlier requests. */
	run->endpoint_restarted =
		e && e->incarnation != run->target.incarnation;
	view_unref(view);
	heartbeat(run);
	return !run->endpoint_restarted;
}

static bool on_wait_tick(void *data)
{
	heartbeat(data);
	return true;
}

/* ---- Attempts ---- */

static bool reports_overload(const struct run *run)
{
	json_error_t where;
	json_t *body;
	const char *code;
	bool overloaded;

	if (run->status != 503)
		return false;
	body = trf_parse_json(run->input->str, run->input->len, &where);
	code = json_string_value(
		json_object_get(json_object_get(body, "error"), "code"));
	overloaded = code && !strcmp(code, "overloaded");
	json_decref(body);
	return overloaded;
}

/* Limit of the first attempt. */
static int64_t first_byte_limit(const struct run *run, int64_t left)
{
	const struct trf_request *r = run->r;
	int64_t silence = r->ctx->settings->silence_limit_ms * 1000LL;
	int64_t limit = silence + 2 * run->waiter.decision.predicted_us;

	/* An attempt that can still meet the first-token objective goes on, but
	 * leaves time for a retry. */
	limit = MAX(limit, r->class_limits->first_token_us);
	return MIN(limit, MAX(left / 2, 1));
}

static void reset_attempt(struct run *run)
{
	bool resume = run->target.resume;

	trf_attempt_id(run->r, run->attempt);
	run->status = 0;
	run->sse = false;
	run->wrong_attempt = false;
	run->final_event = false;
	run->endpoint_restarted = false;
	run->sent_new_token = false;
	run->tokens_to_skip = resume ? 0 : run->delivered;
	g_string_truncate(run->input, 0);
}

static enum attempt_result attempt_result_of(struct run *run, bool complete,
					     GError *err)
{
	struct trf_request *r = run->r;

	if (run->final_event && !run->wrong_attempt)
		return ATTEMPT_COMPLETE;
	if (!complete && g_error_matches(err, UP_ERROR, UP_ERROR_NOT_SENT))
		return ATTEMPT_NOT_RUN;
	if (complete && !run->wrong_attempt && reports_overload(run))
		return ATTEMPT_OVERLOADED;
	r->may_have_run = true;
	if (complete && !run->wrong_attempt && run->status >= 400 &&
	    run->status < 500)
		return ATTEMPT_REJECTED;
	if (!complete && g_error_matches(err, UP_ERROR, UP_ERROR_TIMEOUT))
		return ATTEMPT_TIMEOUT;
	return ATTEMPT_BROKEN;
}

/* Whether the endpoint, since it was chosen, has said that it wants no requests
 * now. */
static bool is_barred(const struct run *run)
{
	enum hint_bar bar = trf_route_bar(run->r->ctx, run->target.id,
					  run->target.incarnation);

	if (bar == HINT_FREE)
		return false;
	LOG_EVENT_INFO("trf", "not_sent", "attempt=%s endpoint=%s bar=%s",
		       run->attempt, run->target.id, hint_bar_name(bar));
	return true;
}

static enum attempt_result send_attempt(struct run *run, bool fresh)
{
	struct trf_request *r = run->r;
	int64_t left = r->deadline_us - trf_now(r->ctx);
	char *url = g_strdup_printf("%s%s", run->target.address, r->path);
	char id[TRF_ID_MAX + 32];
	char priority[64];
	char offset[64];
	const char *headers[6] = { "Content-Type: application/json", id };
	size_t n = 2;
	GError *err = NULL;
	bool complete;
	enum attempt_result result;
	struct up_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = r->body,
		.body_len = r->body_len,
		.fresh = fresh,
		.connect_timeout_us = MIN(CONNECT_TIMEOUT_US, MAX(left, 1000)),
		.total_timeout_us = MAX(left, 1),
		.data = run,
		.on_head = on_head,
		.on_header = on_header,
		.on_hint = on_hint,
		.on_data = on_data,
		.on_tick = on_idle,
	};

	reset_attempt(run);
	if (is_barred(run)) {
		g_free(url);
		return ATTEMPT_NOT_RUN;
	}
	/* The last attempt has until the deadline: it may only be slow. */
	if (r->attempts == 1) {
		request.silence_timeout_us =
			r->ctx->settings->silence_limit_ms * 1000LL;
		request.first_byte_timeout_us = first_byte_limit(run, left);
	}
	g_snprintf(id, sizeof(id), "X-Request-Id: %s", run->attempt);
	if (run->target.priorities) {
		g_snprintf(priority, sizeof(priority), "X-Priority: %u",
			   r->class_limits->priority);
		headers[n++] = priority;
	}
	if (run->delivered && run->target.resume) {
		g_snprintf(offset, sizeof(offset), "X-Resume-Offset: %u",
			   run->delivered);
		headers[n++] = offset;
	}
	headers[n] = NULL;
	complete = up_perform(r->ctx->up, &request, &err);
	result = attempt_result_of(run, complete, err);
	if (result != ATTEMPT_COMPLETE && result != ATTEMPT_REJECTED)
		LOG_EVENT_WARN("trf", "attempt_failed",
			       "attempt=%s endpoint=%s status=%d tokens=%u "
			       "error=\"%s\"",
			       run->attempt, run->target.id, run->status,
			       run->delivered, err ? err->message : "");
	g_clear_error(&err);
	g_free(url);
	return result;
}

/* Queues the cancellation of an attempt that was given up. */
static void cancel_attempt(struct run *run)
{
	struct trf_job *job;

	if (!run->target.cancel)
		return;
	job = g_new0(struct trf_job, 1);
	job->kind = TRF_JOB_CANCEL;
	job->address = g_strdup(run->target.address);
	job->attempt = g_strdup(run->attempt);
	job->endpoint = g_strdup(run->target.id);
	job->incarnation = run->target.incarnation;
	trf_bg_add(run->r->ctx, job);
}

/* ---- The request ---- */

static void reply_json(struct run *run)
{
	struct trf_request *r = run->r;
	const char *reason = run->finish_reason ? run->finish_reason : "stop";
	char *model = r->adapter
			      ? g_strdup_printf("%s:%s", r->model, r->adapter)
			      : g_strdup(r->model);
	json_t *choice;
	json_t *answer;

	if (r->chat)
		choice = json_pack("{s:i,s:{s:s,s:s%},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   run->text->str, run->text->len,
				   "finish_reason", reason);
	else
		choice = json_pack("{s:i,s:s%,s:s}", "index", 0, "text",
				   run->text->str, run->text->len,
				   "finish_reason", reason);
	answer = json_pack(
		"{s:s,s:s,s:I,s:s,s:[o]}", "id", r->api->id, "object",
		r->chat ? "chat.completion" : "text_completion", "created",
		(json_int_t)(clk_wall_ms(r->ctx->clock) / 1000), "model", model,
		"choices", choice);
	if (run->usage)
		json_object_set(answer, "usage", run->usage);
	api_json(r->api, 200, NULL, answer);
	g_free(model);
}

static bool is_late(const struct run *run)
{
	const struct trf_request *r = run->r;
	const struct doc_class *c = r->class_limits;
	int64_t now = trf_now(r->ctx);

	if (c->first_token_us && run->first_token_us &&
	    run->first_token_us - r->api->arrival_us > c->first_token_us)
		return true;
	return c->deadline_us && now - r->api->arrival_us > c->deadline_us;
}

static void finish(struct run *run)
{
	struct trf_request *r = run->r;

	if (r->stream) {
		flush_output(run);
		trf_answer_finish(r->ctx, r->api->answer, 200,
				  "text/event-stream");
		api_stream_end(r->api);
	} else {
		reply_json(run);
	}
}

static void fail(struct run *run, enum attempt_result result)
{
	struct trf_request *r = run->r;
	const char *code = "endpoint_failed";
	int status = 502;

	if (result == ATTEMPT_OVERLOADED) {
		code = "overloaded";
		status = 503;
	} else if (result == ATTEMPT_TIMEOUT) {
		code = "deadline_passed";
		status = 504;
	}
	api_error(r->api, status, code, trf_ran_of(r), 1,
		  "the request failed after %u attempts", r->attempts);
}

/* Handles a failed attempt that may have reached the endpoint: reports a crash,
 * or cancels the attempt and watches for a crash. Returns false when the
 * request must not run again. */
static bool handle_broken_attempt(struct run *run)
{
	struct trf_request *r = run->r;

	if (run->endpoint_restarted || trf_crashed(r->ctx, &run->target)) {
		/* No retry before the commit: it could crash a second
		 * endpoint. */
		if (!trf_report_crash(r->ctx, run->target.id,
				      run->target.incarnation, r->digest))
			return false;
		r->suspect = true;
		return true;
	}
	cancel_attempt(run);
	trf_watch_for_crash(r, &run->target);
	return true;
}

/* Returns whether another endpoint has a ready copy for this request. */
static bool has_other_copy(const struct run *run)
{
	const struct trf_request *r = run->r;
	struct view *view = trf_view(r->ctx);
	bool found = trf_has_ready_copy(view, r->team, r->model, r->adapter,
					run->target.id);

	view_unref(view);
	return found;
}

/*
 * Asks the router for another endpoint. The ticket's deadline is that of the
 * first token; a stream that broke after it is submitted again with the
 * deadline of the whole answer.
 */
static bool route_again(struct run *run)
{
	struct trf_request *r = run->r;
	struct trf_waiter *w = &run->waiter;

	trf_route_retry(r->ctx, w);
	if (!trf_route_wait(r->ctx, w, r->deadline_us, on_wait_tick, run))
		return false;
	if (w->decision.outcome == RT_REFUSE &&
	    w->decision.reason == RT_REASON_DEADLINE_UNREACHABLE) {
		r->route.deadline_us = r->deadline_us;
		r->route.exclude = run->target.id;
		if (run->delivered)
			r->route.software = run->target.software;
		trf_route_done(r->ctx, w, run->delivered, false);
		trf_route_submit(r->ctx, w, &r->route);
		if (!trf_route_wait(r->ctx, w, r->deadline_us, on_wait_tick,
				    run))
			return false;
	}
	if (w->decision.outcome != RT_DISPATCH)
		return false;
	run->target = w->target;
	return true;
}

/* Chooses the endpoint of the only retry. Returns false when the request is not
 * retried. */
static bool choose_retry(struct run *run, enum attempt_result result,
			 bool granted)
{
	struct trf_request *r = run->r;

	if (r->attempts > 1 || result == ATTEMPT_TIMEOUT ||
	    trf_now(r->ctx) >= r->deadline_us)
		return false;
	/* A grant allows a suspect to run once. */
	if (result == ATTEMPT_BROKEN &&
	    (!handle_broken_attempt(run) || granted))
		return false;
	met_count(r->ctx->metrics, "dandelionspar_retries_total", r->labels, 1);
	/* No crash was seen, so the connection is taken to be at fault. If no
	 * other endpoint has a copy, the same one is tried on a new
	 * connection. */
	if (result == ATTEMPT_BROKEN && !r->suspect && !has_other_copy(run) &&
	    !is_barred(run))
		return true;
	if (result != ATTEMPT_OVERLOADED)
		trf_route_failed(r->ctx, &run->target);
	return route_again(run);
}

/* Waits for the grant that a suspect needs. Returns false after an error
 * reply. */
static bool may_run(struct run *run)
{
	struct trf_request *r = run->r;

	char attempt[TRF_ID_MAX];

	if (!r->suspect)
		return true;
	g_snprintf(attempt, sizeof(attempt), "%s.%u", r->api->id,
		   r->attempts + 1);
	switch (trf_wait_for_grant(r, &run->target, attempt, on_wait_tick,
				   run)) {
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
		  "an endpoint crashed while it ran this request; the grant "
		  "to run it alone did not arrive in time");
	return false;
}

/* Runs the first attempt and at most one retry, and answers the caller. Returns
 * the outcome for the metrics. */
static const char *run_attempts(struct run *run)
{
	struct trf_request *r = run->r;
	enum attempt_result result;
	bool fresh = false;
	bool granted;

	do {
		if (!may_run(run))
			return "suspect";
		granted = r->suspect;
		result = send_attempt(run, fresh);
		fresh = true;
		/* The endpoint did not crash, or never received the request. */
		if (granted && result != ATTEMPT_BROKEN &&
		    result != ATTEMPT_TIMEOUT)
			trf_suspect_done(r, run->attempt);
		if (result == ATTEMPT_COMPLETE) {
			finish(run);
			return "ok";
		}
		if (result == ATTEMPT_REJECTED) {
			api_reply(r->api, run->status, "application/json", NULL,
				  run->input->str, run->input->len);
			return "refused_by_endpoint";
		}
	} while (choose_retry(run, result, granted));
	if (result == ATTEMPT_TIMEOUT)
		cancel_attempt(run);
	fail(run, result);
	return "failed";
}

/*
 * Runs an idempotent request of a model and answers the caller: section 10 of
 * docs/design.md.
 */
void trf_run_model(struct trf_request *r)
{
	struct run run = {
		.r = r,
		.text = g_string_new(NULL),
		.input = g_string_new(NULL),
		.output = g_string_new(NULL),
		.last_write_us = r->api->arrival_us,
		.waiter = { .class_key = r->class_key },
	};
	const char *outcome;
	int64_t start;
	bool resolved;

	trf_route_submit(r->ctx, &run.waiter, &r->route);
	resolved = trf_route_wait(r->ctx, &run.waiter, r->deadline_us,
				  on_wait_tick, &run);
	if (!resolved || run.waiter.decision.outcome != RT_DISPATCH) {
		trf_route_done(r->ctx, &run.waiter, 0, false);
		trf_refuse(r, &run.waiter.decision, !resolved);
		goto out;
	}
	run.target = run.waiter.target;
	start = trf_now(r->ctx);
	outcome = run_attempts(&run);
	trf_route_done(r->ctx, &run.waiter, run.delivered,
		       !strcmp(outcome, "ok"));
	trf_record_outcome(r, outcome, trf_now(r->ctx) - start, false,
			   is_late(&run) || strcmp(outcome, "ok") != 0);
out:
	g_string_free(run.text, TRUE);
	g_string_free(run.input, TRUE);
	g_string_free(run.output, TRUE);
	g_free(run.finish_reason);
	json_decref(run.usage);
}
