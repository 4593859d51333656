#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "core/sse.h"

/* Endpoints of one request that are remembered. */
#define TRIED_MAX 8
/* A request that the caller gave no deadline gets the route's limit only. */
#define DEADLINE_MAX_US (3600 * EDGE_S_US)
/* Below this time nothing can be served any more. */
#define REMAINING_MIN_US 5000
/* Time for a new connection; the longest round trip to an endpoint is a few
 * milliseconds, and a full queue of new connections repeats after a second. */
#define CONNECT_TIMEOUT_US 400000
/* Idle connections to plain endpoints are reused up to this age. They close
 * theirs after a second or more. */
#define REUSE_IDLE_US 800000
/* A request that must not run twice gets a connection that was used just now,
 * so that a close of the endpoint does not leave its outcome unknown. */
#define REUSE_ONCE_US 300000
/* A request whose model, adapter or place is missing waits for this part of
 * the objective. */
#define MODEL_WAIT_SHARE 0.125
/* An adapter that was asked for comes within some ten milliseconds. */
#define ADAPTER_WAIT_SHARE 0.34
/* Where all engines are busy, a late answer is still worth something. */
#define PLACE_WAIT_SHARE 2.0
#define PLAIN_WAIT_SHARE 1.0
#define WAIT_MIN_US 60000
/* Callers of streams leave after two seconds or four objectives without an
 * event; the rest of that time is for reading the prompt. */
#define WAIT_MAX_US 4000000
/* Part of the objective in which a request waits for a better engine. */
#define BETTER_SHARE 3
/* Callers of streams leave after a pause of two seconds, four objectives or
 * eight good pauses, whichever is longest. A broken stream waits that long for
 * another engine, less the time to read its prompt there. */
#define LEAVE_MIN_US (2 * EDGE_S_US)
#define LEAVE_OBJECTIVES 4
#define LEAVE_GAPS 8
#define RESUME_READ_US 500000
/* The queue is looked at this often without an event that frees a place. */
#define WAIT_STEP_US 25000
/* Requests that one look at the queue tries. */
#define TRIES_MAX 64
/* A stream that may go on elsewhere is moved after this many times the allowed
 * pause without an event, at least SILENCE_MIN_US. */
#define SILENCE_GAPS 5
#define SILENCE_MIN_US 1200000
/* Where no other endpoint can take it, that is looked at again. */
#define SILENCE_RETRY_US 300000
/* The first event may take longer: it waits for a place and for the prompt. */
#define FIRST_OBJECTIVES 3
#define FIRST_MIN_US 1500000
/* Streams with fewer events say little of their engine's pace. */
#define PACE_EVENTS_MIN 8
/* The time to the first byte of shorter prompts says little of the speed at
 * which an engine reads. */
#define READ_TOKENS_MIN 400
/* Whole answers that are kept until their end: one, and all of an instance,
 * which may have some 200 MB. */
#define ANSWER_MAX_BYTES (8 << 20)
#define ANSWERS_MAX_BYTES (64 << 20)
/* Unfinished event of a stream; events hold a few tokens. */
#define EVENT_MAX_BYTES (256 << 10)
#define RETRY_AFTER_SPREAD 0.5
/* An instance that starts, or has lost the leader, has a confirmed view after
 * an election and a report, about this long. */
#define RETRY_VIEW_US 1500000
/* Requests that one instance holds back at its start; more are refused, so that
 * their bodies take little memory. */
#define HELD_MAX 256
/* An instance that stops takes a stream only if this much time is left; most
 * end within that time. Other requests take a fraction of a second. */
#define STREAM_LEFT_MIN_US (5 * EDGE_S_US)
#define PLAIN_LEFT_MIN_US (1500000LL)

struct fwd {
	LIST_ENTRY(fwd) link; /* edge.forwards */
	struct edge *edge;
	struct hio_exchange *exchange;
	struct event *timer;
	struct wire_request said;
	/* Copied from the route, since a later table may drop it. */
	char *route;
	char *service;
	Dsp__RouteKind kind;
	uint32_t rank;
	uint32_t attempts_max;
	bool resumable;
	bool engine;
	uint32_t events_expected;
	int64_t objective_us;
	int64_t gap_us;
	uint64_t table_number;

	int64_t start_us;
	int64_t end_us;	      /* the caller or the route waits no longer */
	struct adm_item item; /* while it waits for a place */
	const char *group;    /* what it waits for; of the queue */
	bool missed;	      /* its model or adapter was asked for */
	char *tried[TRIED_MAX + 1];
	size_t n_tried;
	uint32_t events_read; /* of the current send */
	int64_t first_at_us;  /* their first */
	int64_t event_us;     /* their last */
	int64_t gap_most_us;  /* longest pause between events of any send */
	unsigned runs;	      /* endpoints that may have run it */
	bool sent;	      /* counted as the first arrival at the service */

	/* Current send. */
	struct hio_call *call;
	struct bal_endpoint *endpoint;
	char *endpoint_id;
	int64_t send_us;
	int64_t waited_us; /* from the request's arrival to its first send */
	int64_t first_us;  /* time to the first byte; -1: none yet */
	bool alone;	   /* the endpoint read nothing else from here */
	int64_t heard_us;  /* last sign that the answer goes on */
	bool sized;	   /* the answer says where it ends */
	struct wire_answer answer;
	int status;
	struct hio_fields fields; /* of a whole answer; owned */
	GByteArray *body;	  /* of a whole answer */
	bool streaming;		  /* events of this send are passed on */

	/* Answer to the caller. */
	bool begun;
	struct sse *events;
	char *last_id; /* of the last event passed on */
};

static bool may_repeat(const struct fwd *f)
{
	switch (f->kind) {
	case DSP__ROUTE_KIND__ROUTE_REPEATABLE:
		return true;
	case DSP__ROUTE_KIND__ROUTE_STREAM:
		return f->resumable;
	default:
		return false;
	}
}

static int64_t now_of(const struct fwd *f)
{
	return clk_now_us(f->edge->clock);
}

/* True when too little time is left for any endpoint to serve it. */
static bool is_too_late(const struct fwd *f)
{
	return now_of(f) + REMAINING_MIN_US >= f->end_us;
}

/* True when another endpoint may run it, too. */
static bool can_move(const struct fwd *f)
{
	return may_repeat(f) && f->runs < f->attempts_max;
}

/* The request's id as log lines show it. */
static const char *log_id(const struct fwd *f)
{
	return f->said.request_id ? f->said.request_id : "-";
}

static void arm(struct fwd *f, int64_t at_us)
{
	hio_set_timer(f->timer, MAX(at_us - now_of(f), 1));
}

/* ---- End of a request ---- */

/* Forgets the bytes of an answer that was being read. */
static void drop_body(struct fwd *f)
{
	f->edge->answer_bytes -= f->body->len;
	g_byte_array_set_size(f->body, 0);
}

static void fwd_free(struct fwd *f)
{
	LIST_REMOVE(f, link);
	adm_remove(f->edge->queue, &f->item);
	f->edge->in_flight--;
	event_free(f->timer);
	wire_request_clear(&f->said);
	hio_fields_clear(&f->fields);
	drop_body(f);
	g_byte_array_free(f->body, TRUE);
	sse_free(f->events);
	for (size_t i = 0; i < f->n_tried; i++)
		g_free(f->tried[i]);
	g_free(f->route);
	g_free(f->service);
	g_free(f->endpoint_id);
	g_free(f->last_id);
	g_free(f);
}

/* What the balancer counts as read with the first byte of the answer. */
static uint32_t unread_tokens(const struct fwd *f)
{
	return f->engine ? MAX(f->said.tokens_in, 1) : 1;
}

/* Looks at the queue once the current callback has ended. */
static void places_may_be_free(struct edge *ctx)
{
	event_active(ctx->places, EV_TIMEOUT, 0);
}

static void end_send(struct fwd *f, enum bal_result result)
{
	if (f->call)
		hio_call_cancel(f->call);
	f->call = NULL;
	if (f->endpoint)
		bal_end(f->edge->bal, f->endpoint, result,
			f->first_us < 0 ? unread_tokens(f) : 0, now_of(f));
	f->endpoint = NULL;
	places_may_be_free(f->edge);
}

/* One line for each request: what decided it and how it ended. */
static void log_end(const struct fwd *f, const char *outcome, int status,
		    const char *reason)
{
	int64_t took_us = now_of(f) - f->start_us;
	char labels[128];

	g_snprintf(labels, sizeof(labels),
		   "route=\"%s\",outcome=\"%s\",reason=\"%s\"", f->route,
		   outcome, reason);
	met_count(f->edge->met, "dandelionspar_edge_requests", labels, 1);
	g_snprintf(labels, sizeof(labels), "route=\"%s\"", f->route);
	met_observe_us(f->edge->met, "dandelionspar_edge_request_us", labels,
		       took_us);
	LOG_EVENT_INFO(
		"fwd", "end",
		"request=%s route=%s table=%" G_GUINT64_FORMAT
		" service=%s model=%s adapter=%s outcome=%s status=%d "
		"reason=%s endpoint=%s tried=%zu runs=%u took_us=%" PRId64
		" waited_us=%" PRId64 " first_us=%" PRId64 " gap_us=%" PRId64,
		log_id(f), f->route, f->table_number, f->service,
		f->said.model ? f->said.model : "-",
		f->said.adapter ? f->said.adapter : "-", outcome, status,
		reason, f->endpoint_id ? f->endpoint_id : "-", f->n_tried,
		f->runs, took_us, f->waited_us, f->first_us, f->gap_most_us);
}

static void reply_plain(struct hio_exchange *exchange, int status,
			const char *request_id, double retry_after_s,
			const char *message)
{
	char *body = wire_write_error(message);
	struct hio_field fields[3];
	char retry[32];
	size_t n = 0;

	fields[n++] = (struct hio_field){ .name = "Content-Type",
					  .value = "application/json" };
	if (request_id)
		fields[n++] = (struct hio_field){
			.name = (char *)wire_echo_field,
			.value = (char *)request_id,
		};
	if (retry_after_s >= 0) {
		g_snprintf(retry, sizeof(retry), "%.2f", retry_after_s);
		fields[n++] = (struct hio_field){
			.name = (char *)wire_retry_after_field,
			.value = retry,
		};
	}
	hio_reply(exchange, status, fields, n, body, strlen(body));
	g_free(body);
}

/* Seconds after which a caller comes back; not all at the same moment. */
static double spread_s(int64_t retry_us)
{
	return (double)retry_us * (1 + RETRY_AFTER_SPREAD * g_random_double()) /
	       1e6;
}

/* Answers without any endpoint's answer, or breaks off one that was begun. */
static void finish_failed(struct fwd *f, int status, int64_t retry_us,
			  const char *reason)
{
	double retry_s = retry_us >= 0 ? spread_s(retry_us) : -1;

	end_send(f, BAL_CANCELLED);
	log_end(f,
		f->begun	? "broken"
		: status == 503 ? "refused"
				: "failed",
		f->begun ? 0 : status, reason);
	if (f->begun)
		hio_reply_abort(f->exchange);
	else
		reply_plain(f->exchange, status, f->said.request_id, retry_s,
			    reason);
	fwd_free(f);
}

/* Ends a request that will not be sent again. */
static void give_up(struct fwd *f, int64_t retry_us, const char *reason)
{
	bool late = is_too_late(f);

	if (!f->runs)
		finish_failed(f, 503, late ? -1 : retry_us, reason);
	else
		finish_failed(f, late ? 504 : 502, -1, reason);
}

/* ---- Sending ---- */

static bool dispatch(struct fwd *f);

static void note_tried(struct fwd *f, const char *id)
{
	if (f->n_tried < TRIED_MAX)
		f->tried[f->n_tried++] = g_strdup(id);
}

static bool take_repeat(struct fwd *f)
{
	struct rep_options options = edge_budget_options(f->edge);
	struct rep *budget = edge_budget(f->edge, f->service);

	if (rep_take(budget, &options, now_of(f))) {
		met_count(f->edge->met, "dandelionspar_edge_repeats", "", 1);
		return true;
	}
	met_count(f->edge->met, "dandelionspar_edge_repeats_denied", "", 1);
	LOG_EVENT_INFO("fwd", "repeat_denied",
		       "request=%s service=%s left=%.1f", log_id(f), f->service,
		       rep_left(budget, &options, now_of(f)));
	return false;
}

static void log_again(const struct fwd *f, const char *reason)
{
	LOG_EVENT_INFO("fwd", "again",
		       "request=%s endpoint=%s reason=%s runs=%u after_id=%s",
		       log_id(f), f->endpoint_id ? f->endpoint_id : "-", reason,
		       f->runs, f->last_id ? f->last_id : "-");
}

/*
 * Tries another endpoint after a send ended without an answer for the caller.
 * reached: the request arrived at the service, so another arrival is a repeat.
 */
static void try_again(struct fwd *f, bool reached, const char *reason)
{
	drop_body(f);
	if (f->runs && !can_move(f)) {
		give_up(f, -1, reason);
		return;
	}
	if (f->n_tried >= TRIED_MAX || is_too_late(f)) {
		give_up(f, CONNECT_TIMEOUT_US, reason);
		return;
	}
	if (reached && !take_repeat(f)) {
		give_up(f, CONNECT_TIMEOUT_US, "no_repeats_left");
		return;
	}
	log_again(f, reason);
	dispatch(f);
}

static void on_event(void *data, const char *event, size_t len, const char *id)
{
	struct fwd *f = data;

	f->heard_us = now_of(f);
	if (!f->events_read++)
		f->first_at_us = f->heard_us;
	else
		bal_stream_event(f->edge->bal, f->endpoint,
				 f->heard_us - f->event_us, f->heard_us);
	if (f->event_us)
		f->gap_most_us = MAX(f->gap_most_us, f->heard_us - f->event_us);
	f->event_us = f->heard_us;
	hio_reply_chunk(f->exchange, event, len);
	if (!id)
		return;
	g_free(f->last_id);
	f->last_id = g_strdup(id);
}

/* Keeps the fields of an answer that callers get. */
static void copy_fields(struct hio_fields *to, const struct hio_fields *from)
{
	hio_fields_clear(to);
	to->all = g_new0(struct hio_field, from->n + 1);
	for (size_t i = 0; i < from->n; i++) {
		const struct hio_field *field = &from->all[i];

		if (hio_is_hop_by_hop_field(from, field->name) ||
		    wire_is_internal_answer_field(field->name))
			continue;
		to->all[to->n].name = g_strdup(field->name);
		to->all[to->n++].value = g_strdup(field->value);
	}
}

static void begin_stream(struct fwd *f, const struct hio_answer *answer)
{
	f->streaming = true;
	if (f->begun)
		return; /* the first run's fields stay */
	copy_fields(&f->fields, &answer->fields);
	hio_reply_begin(f->exchange, answer->status, f->fields.all,
			f->fields.n);
	f->begun = true;
	f->events = sse_new();
}

static void on_head(void *data, const struct hio_answer *answer)
{
	struct fwd *f = data;
	int64_t now_us = now_of(f);

	f->heard_us = now_us;
	f->status = answer->status;
	wire_read_answer(answer, &f->answer);
	if (f->answer.has_load)
		bal_report(f->edge->bal, f->endpoint, f->answer.running,
			   f->answer.waiting, now_us);
	drop_body(f);
	f->sized = hio_field(&answer->fields, "Content-Length") != NULL;
	if (f->answer.not_run)
		return;
	if (f->kind == DSP__ROUTE_KIND__ROUTE_STREAM &&
	    answer->status / 100 == 2 && f->answer.sealed)
		begin_stream(f, answer);
	else
		copy_fields(&f->fields, &answer->fields);
}

/* Leaves an endpoint whose bytes lead to no answer. */
static void leave_endless(struct fwd *f, const char *reason)
{
	if (f->events)
		sse_reset(f->events);
	end_send(f, BAL_FAILED);
	try_again(f, true, reason);
}

static void note_first_byte(struct fwd *f, int64_t now_us)
{
	f->first_us = now_us - f->send_us;
	bal_first_byte(f->edge->bal, f->endpoint, unread_tokens(f), f->first_us,
		       f->alone);
	if (f->engine && f->alone && f->said.tokens_in >= READ_TOKENS_MIN)
		edge_note_read(f->edge, f->endpoint, f->said.tokens_in,
			       f->first_us);
	places_may_be_free(f->edge);
}

/* The request may be gone after this. */
static void on_body(void *data, const char *bytes, size_t len)
{
	struct fwd *f = data;
	int64_t now_us = now_of(f);

	if (f->first_us < 0)
		note_first_byte(f, now_us);
	if (f->streaming) {
		sse_feed(f->events, bytes, len, on_event, f);
		if (sse_unfinished(f->events) > EVENT_MAX_BYTES)
			leave_endless(f, "event_too_long");
		return;
	}
	if (f->sized)
		f->heard_us = now_us;
	if (f->body->len + len > ANSWER_MAX_BYTES) {
		leave_endless(f, "answer_too_long");
		return;
	}
	if (f->edge->answer_bytes + len > ANSWERS_MAX_BYTES) {
		leave_endless(f, "answers_too_long");
		return;
	}
	g_byte_array_append(f->body, (const guint8 *)bytes, (guint)len);
	f->edge->answer_bytes += len;
}

static void refused_by_endpoint(struct fwd *f)
{
	bool replaced = f->answer.other_process;
	/* An engine answers the same for a model that it does not hold. */
	bool wrong_process = replaced && !f->engine;

	end_send(f, wrong_process ? BAL_REPLACED : BAL_REFUSED);
	f->runs--;
	if (f->engine && replaced)
		edge_note_demand(f->edge, f->said.model, f->said.adapter, true);
	try_again(f, true, replaced ? "not_there" : "endpoint_refused");
}

static void end_stream(struct fwd *f)
{
	if (sse_unfinished(f->events)) {
		sse_reset(f->events);
		end_send(f, BAL_FAILED);
		try_again(f, true, "unfinished_event");
		return;
	}
	if (f->gap_us && f->events_read >= 2)
		bal_stream_end(f->edge->bal, f->endpoint,
			       f->gap_most_us > f->gap_us, now_of(f));
	if (f->events_read >= PACE_EVENTS_MIN) {
		int64_t gap_us =
			(f->heard_us - f->first_at_us) / (f->events_read - 1);

		bal_stream_interval(f->edge->bal, f->endpoint, gap_us);
	}
	end_send(f, BAL_ANSWERED);
	log_end(f, "served", f->status, "-");
	hio_reply_end(f->exchange);
	fwd_free(f);
}

static void end_whole(struct fwd *f)
{
	bool success = f->status / 100 == 2;

	if (success && !f->answer.sealed) {
		end_send(f, BAL_FAILED);
		try_again(f, true, "unsealed");
		return;
	}
	end_send(f, BAL_ANSWERED);
	if (f->begun) {
		/* The caller reads a stream already. */
		try_again(f, true, "endpoint_failed");
		return;
	}
	/* The failure of one endpoint need not be that of the next. */
	if (f->status >= 500 && can_move(f) && f->n_tried < TRIED_MAX &&
	    !is_too_late(f) && take_repeat(f)) {
		dispatch(f);
		return;
	}
	log_end(f, success ? "served" : "endpoint_failed", f->status, "-");
	hio_reply(f->exchange, f->status, f->fields.all, f->fields.n,
		  f->body->data, f->body->len);
	fwd_free(f);
}

static void on_end(void *data)
{
	struct fwd *f = data;

	f->call = NULL;
	if (f->answer.not_run)
		refused_by_endpoint(f);
	else if (f->streaming)
		end_stream(f);
	else
		end_whole(f);
}

static void on_failed(void *data, enum hio_failure failure)
{
	struct fwd *f = data;

	f->call = NULL;
	if (f->events)
		sse_reset(f->events);
	switch (failure) {
	case HIO_NOT_CONNECTED:
		f->runs--;
		end_send(f, BAL_UNREACHED);
		try_again(f, false, "not_connected");
		break;
	case HIO_BROKEN:
		if (f->answer.not_run) {
			refused_by_endpoint(f);
			break;
		}
		end_send(f, BAL_FAILED);
		try_again(f, true, "broken");
		break;
	case HIO_MALFORMED:
		end_send(f, BAL_FAILED);
		try_again(f, true, "malformed");
		break;
	}
}

static int64_t silence_limit(const struct fwd *f)
{
	if (f->streaming)
		return MAX(SILENCE_GAPS * f->gap_us, SILENCE_MIN_US);
	return MAX(FIRST_OBJECTIVES * f->objective_us, FIRST_MIN_US);
}

static void arm_for_send(struct fwd *f)
{
	int64_t at_us = f->end_us;

	if (can_move(f))
		at_us = MIN(at_us, f->heard_us + silence_limit(f));
	arm(f, at_us);
}

static void send_to(struct fwd *f, struct bal_endpoint *endpoint)
{
	const struct hio_request *request = hio_exchange_request(f->exchange);
	int64_t now_us = now_of(f);
	struct wire_dispatch what = {
		.endpoint_id = bal_id(endpoint),
		.timeout_us = f->end_us - now_us,
		.rank = f->rank,
		.last_event_id = f->last_id,
	};
	struct hio_call_options options = {
		.address = bal_address(endpoint),
		.head = wire_write_request(request, &what),
		.body = request->body->data,
		.body_len = request->body->len,
		.no_answer_body = !strcmp(request->method, "HEAD"),
		.echo_name = f->said.request_id ? wire_echo_field : NULL,
		.echo_value = f->said.request_id,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.reuse_idle_us = may_repeat(f) ? REUSE_IDLE_US : REUSE_ONCE_US,
		.data = f,
		.head_read = on_head,
		.body_read = on_body,
		.end = on_end,
		.failed = on_failed,
	};

	if (!f->sent) {
		f->waited_us = now_us - f->start_us;
		met_observe_us(f->edge->met, "dandelionspar_edge_wait_us", "",
			       f->waited_us);
		rep_count_request(edge_budget(f->edge, f->service), now_us);
	}
	f->sent = true;
	f->endpoint = endpoint;
	g_free(f->endpoint_id);
	f->endpoint_id = g_strdup(bal_id(endpoint));
	note_tried(f, f->endpoint_id);
	f->answer = (struct wire_answer){ 0 };
	f->streaming = false;
	f->events_read = 0;
	f->first_us = -1;
	f->send_us = now_us;
	f->heard_us = now_us;
	f->runs++;
	f->alone = !bal_is_prefilling(endpoint);
	bal_begin(f->edge->bal, endpoint, unread_tokens(f));
	adm_sent(f->edge->queue, f->group, now_us);
	f->call = hio_call_start(f->edge->client, &options);
	arm_for_send(f);
}

/* Time for which a broken stream may wait for another endpoint. */
static int64_t resume_wait(const struct fwd *f)
{
	int64_t leave_us =
		MAX(LEAVE_OBJECTIVES * f->objective_us, LEAVE_GAPS * f->gap_us);

	return MAX(leave_us, LEAVE_MIN_US) - RESUME_READ_US;
}

static int64_t wait_limit(const struct fwd *f, enum bal_outcome outcome)
{
	double share = PLACE_WAIT_SHARE;

	if (f->begun)
		return resume_wait(f);

	switch (outcome) {
	case BAL_NO_ADAPTER:
		share = ADAPTER_WAIT_SHARE;
		break;
	case BAL_NO_MODEL:
	case BAL_NO_ENDPOINT:
		share = MODEL_WAIT_SHARE;
		break;
	case BAL_FULL:
	case BAL_PREFILL_BUSY:
	case BAL_NO_OTHER:
	case BAL_CHOSEN:
		if (!f->engine)
			share = PLAIN_WAIT_SHARE;
		break;
	}
	return CLAMP((int64_t)(share * (double)f->objective_us), WAIT_MIN_US,
		     WAIT_MAX_US);
}

static void refuse(struct fwd *f, const struct bal_choice *choice,
		   int64_t expected_us)
{
	LOG_EVENT_INFO("fwd", "no_place",
		       "request=%s service=%s outcome=%s candidates=%u "
		       "view=%" G_GUINT64_FORMAT
		       " waiting=%u expected_us=%" PRId64,
		       log_id(f), f->service, bal_outcome_name(choice->outcome),
		       choice->candidates, view_index(f->edge->view),
		       adm_length(f->edge->queue, f->group), expected_us);
	give_up(f, MAX(choice->retry_us, expected_us),
		bal_outcome_name(choice->outcome));
}

/* Queues a request without a place, or refuses it at once when others that
 * wait make its turn come too late. Returns true when it waits. */
static bool wait_or_refuse(struct fwd *f, const struct bal_choice *choice)
{
	int64_t now_us = now_of(f);
	int64_t limit_us = wait_limit(f, choice->outcome);
	int64_t expected_us =
		adm_expected_wait_us(f->edge->queue, f->group, now_us);

	if (f->engine && !f->missed &&
	    (choice->outcome == BAL_NO_ADAPTER ||
	     choice->outcome == BAL_NO_MODEL)) {
		f->missed = true;
		edge_note_demand(f->edge, f->said.model, f->said.adapter, true);
	}
	if (f->item.queued) {
		/* What it waits for may have changed. */
		f->item.give_up_us = MIN(f->item.arrived_us + limit_us,
					 f->end_us - REMAINING_MIN_US);
		if (now_us < f->item.give_up_us)
			return true;
		refuse(f, choice, expected_us);
		return false;
	}
	if (!f->begun &&
	    (expected_us > limit_us || choice->outcome == BAL_NO_OTHER)) {
		refuse(f, choice, expected_us);
		return false;
	}
	f->item.group = f->group;
	f->item.rank = f->rank;
	f->item.arrived_us = now_us;
	f->item.objective_us = f->begun ? now_us + resume_wait(f)
					: f->start_us + f->objective_us;
	f->item.give_up_us =
		MIN(now_us + limit_us, f->end_us - REMAINING_MIN_US);
	adm_add(f->edge->queue, &f->item);
	arm(f, now_us + WAIT_STEP_US);
	return true;
}

static struct bal_choice choose(const struct fwd *f)
{
	struct bal_query query = {
		.service = f->service,
		.model = f->engine ? f->said.model : NULL,
		.adapter = f->engine ? f->said.adapter : NULL,
		.tokens = f->said.tokens_in,
		.events = f->events_expected,
		.prefix = f->said.prefix,
		.gap_objective_us = f->gap_us,
		.remaining_us = f->end_us - now_of(f),
		.may_wait = f->engine && now_of(f) - f->start_us <
						 f->objective_us / BETTER_SHARE,
		.resumed = f->begun,
		.avoid = (const char *const *)f->tried,
	};

	return bal_choose(f->edge->bal, &query, now_of(f));
}

/* Sends the request to the endpoint that was chosen. */
static void send_chosen(struct fwd *f, const struct bal_choice *choice)
{
	send_to(f, choice->endpoint);
	LOG_EVENT_INFO(
		"fwd", "send",
		"request=%s endpoint=%s candidates=%u cost_ms=%.0f "
		"load=%.1f load_age_s=%.2f view=%" G_GUINT64_FORMAT
		" view_age_us=%" PRId64 " left_us=%" PRId64,
		log_id(f), f->endpoint_id, choice->candidates, choice->cost_ms,
		choice->load, choice->load_age_s, view_index(f->edge->view),
		ctl_state(f->edge->ctl).stale_us, f->end_us - f->send_us);
}

/*
 * Sends the request to the best endpoint, queues it, or ends it. Returns true
 * when it waits; otherwise it may be gone.
 */
static bool dispatch(struct fwd *f)
{
	struct bal_choice choice = { .outcome = BAL_PREFILL_BUSY };

	if (is_too_late(f)) {
		give_up(f, -1, "deadline");
		return false;
	}
	/* Those that wait for the same come first. */
	if (f->item.queued || f->begun || !adm_length(f->edge->queue, f->group))
		choice = choose(f);
	if (choice.outcome != BAL_CHOSEN)
		return wait_or_refuse(f, &choice);
	adm_remove(f->edge->queue, &f->item);
	send_chosen(f, &choice);
	return false;
}

/* Leaves a silent endpoint for another one. Without one, or without a repeat in
 * the budget, it goes on waiting: its endpoint may still answer. */
static void leave_silent(struct fwd *f)
{
	struct bal_choice choice = { .outcome = BAL_NO_OTHER };

	if (f->n_tried < TRIED_MAX && !is_too_late(f))
		choice = choose(f);
	if (choice.outcome != BAL_CHOSEN || !take_repeat(f)) {
		arm(f, MIN(now_of(f) + SILENCE_RETRY_US, f->end_us));
		return;
	}
	log_again(f, "silent");
	if (f->events)
		sse_reset(f->events);
	end_send(f, BAL_FAILED);
	send_chosen(f, &choice);
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	struct fwd *f = data;
	int64_t now_us = now_of(f);

	(void)fd;
	(void)what;
	if (now_us + 1000 >= f->end_us) {
		give_up(f, -1, "deadline");
		return;
	}
	if (f->item.queued) {
		fwd_run_queue(f->edge);
		return;
	}
	if (!f->call) {
		dispatch(f);
		return;
	}
	if (can_move(f) && now_us - f->heard_us >= silence_limit(f) - 1000) {
		leave_silent(f);
		return;
	}
	arm_for_send(f);
}

/* ---- Start of a request ---- */

static void refuse_early(struct edge *ctx, struct hio_exchange *exchange,
			 const char *request_id, int status, const char *reason)
{
	int64_t view_age_us = ctl_state(ctx->ctl).stale_us;
	char labels[96];

	g_snprintf(labels, sizeof(labels), "outcome=\"refused\",reason=\"%s\"",
		   reason);
	met_count(ctx->met, "dandelionspar_edge_requests", labels, 1);
	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	met_observe_us(ctx->met, "dandelionspar_edge_refusal_view_age_us",
		       labels, view_age_us);
	LOG_EVENT_INFO("fwd", "refused",
		       "request=%s status=%d reason=%s table=%" G_GUINT64_FORMAT
		       " view=%" G_GUINT64_FORMAT " view_age_us=%" PRId64,
		       request_id ? request_id : "-", status, reason,
		       ctx->table ? ctx->table->number : 0,
		       view_index(ctx->view), view_age_us);
	reply_plain(exchange, status, request_id,
		    status == 503 ? spread_s(RETRY_VIEW_US) : -1, reason);
}

/*
 * True when this instance stops too soon for a new request: callers that still
 * have an old list of entries are sent elsewhere before their work is begun.
 */
static bool stops_too_soon(const struct edge *ctx, const Dsp__Route *route)
{
	int64_t left_us;

	if (!ctx->draining)
		return false;
	left_us = ctx->drain_us + ctx->set->edge.drain_limit_ms * 1000LL -
		  clk_now_us(ctx->clock);
	if (route->kind == DSP__ROUTE_KIND__ROUTE_STREAM)
		return left_us < STREAM_LEFT_MIN_US;
	return left_us < MIN(route->timeout_ms * 1000LL, PLAIN_LEFT_MIN_US);
}

/* Requests of one group wait for the same endpoints. */
static const char *group_of(const struct fwd *f)
{
	char *name = g_strdup_printf(
		"%s/%s/%s", f->service, f->engine ? f->said.model : "",
		f->engine && f->said.adapter ? f->said.adapter : "");
	const char *group = adm_intern_group(f->edge->queue, name);

	g_free(name);
	return group;
}

static struct fwd *fwd_new(struct edge *ctx, struct hio_exchange *exchange,
			   const Dsp__Route *route, const char *service,
			   int64_t arrived_us)
{
	const Dsp__RoutedService *target = rtab_service(ctx->rtab, service);
	struct fwd *f = g_new0(struct fwd, 1);
	int64_t limit_us = route->timeout_ms * 1000LL;

	f->edge = ctx;
	f->exchange = exchange;
	f->timer = event_new(ctx->base, -1, 0, on_timer, f);
	wire_read_request(&hio_exchange_request(exchange)->fields, &f->said);
	f->route = g_strdup(route->name);
	f->service = g_strdup(service);
	f->kind = route->kind;
	f->rank = route->rank;
	f->attempts_max = route->attempts_max;
	f->resumable = route->resumable;
	f->engine = target && target->engine && f->said.model;
	if (f->engine && f->kind == DSP__ROUTE_KIND__ROUTE_STREAM)
		f->events_expected = f->said.tokens_out /
				     MAX(target->engine->tokens_per_event, 1);
	f->objective_us = route->objective_ms * 1000LL;
	f->gap_us = route->gap_objective_ms * 1000LL;
	f->table_number = ctx->table->number;
	f->start_us = arrived_us;
	if (f->said.timeout_us > 0)
		limit_us = MIN(limit_us, f->said.timeout_us);
	f->end_us = f->start_us + MIN(limit_us, DEADLINE_MAX_US);
	f->first_us = -1;
	f->group = group_of(f);
	f->body = g_byte_array_new();
	LIST_INSERT_HEAD(&ctx->forwards, f, link);
	ctx->in_flight++;
	hio_exchange_set_data(exchange, f);
	return f;
}

/* Routes a caller's request and sends it. */
static void begin_request(struct edge *ctx, struct hio_exchange *exchange,
			  int64_t arrived_us)
{
	const struct hio_request *request = hio_exchange_request(exchange);
	const char *id = hio_field(&request->fields, wire_echo_field);
	const char *host = hio_field(&request->fields, "Host");
	const Dsp__Route *route;
	const char *service;
	struct fwd *f;

	if (!ctx->rtab) {
		refuse_early(ctx, exchange, id, 503, "no_route_table");
		return;
	}
	route = host ? rtab_match(ctx->rtab, host, request->target) : NULL;
	if (!route && ctl_state(ctx->ctl).readiness == CTL_ISOLATED) {
		/* It may have been added since. */
		refuse_early(ctx, exchange, id, 503, "no_route_in_old_view");
		return;
	}
	if (!route) {
		refuse_early(ctx, exchange, id, 404, "no_route");
		return;
	}
	service = rtab_draw(route, g_random_int());
	if (!service) {
		refuse_early(ctx, exchange, id, 503, "no_service");
		return;
	}
	if (stops_too_soon(ctx, route)) {
		refuse_early(ctx, exchange, id, 503, "stopping");
		return;
	}
	f = fwd_new(ctx, exchange, route, service, arrived_us);
	if (f->engine)
		edge_note_demand(ctx, f->said.model, f->said.adapter, false);
	dispatch(f);
}

/* Holds a request back until this instance has a confirmed view. */
static void hold(struct edge *ctx, struct hio_exchange *exchange)
{
	struct fwd_held *held = g_new0(struct fwd_held, 1);

	held->exchange = exchange;
	held->arrived_us = clk_now_us(ctx->clock);
	STAILQ_INSERT_TAIL(&ctx->held, held, link);
	ctx->n_held++;
}

/* Handles a caller's request; the server's callback. */
void fwd_request(void *data, struct hio_exchange *exchange)
{
	struct edge *ctx = data;
	const struct hio_request *request = hio_exchange_request(exchange);
	const char *id = hio_field(&request->fields, wire_echo_field);

	switch (ctl_state(ctx->ctl).readiness) {
	case CTL_STARTING:
		if (ctx->n_held < HELD_MAX && !ctx->draining)
			hold(ctx, exchange);
		else
			refuse_early(ctx, exchange, id, 503,
				     "no_confirmed_view");
		return;
	case CTL_STALE:
		refuse_early(ctx, exchange, id, 503, "no_confirmed_view");
		return;
	case CTL_SERVING:
	case CTL_ISOLATED:
	case CTL_DRAINING:
		break;
	}
	begin_request(ctx, exchange, clk_now_us(ctx->clock));
}

/*
 * Goes on with the requests that were held back: begins them all once the view
 * is confirmed, and refuses those that have waited too long. Load: all callers
 * come back at once after all machines lost power, and most may come back once
 * only, while the first view is there within a second.
 */
void fwd_run_held(struct edge *ctx)
{
	bool starting = ctl_state(ctx->ctl).readiness == CTL_STARTING;
	int64_t now_us = clk_now_us(ctx->clock);
	struct fwd_held *held;

	while ((held = STAILQ_FIRST(&ctx->held))) {
		struct hio_exchange *exchange = held->exchange;
		const struct hio_request *request =
			hio_exchange_request(exchange);
		int64_t arrived_us = held->arrived_us;
		bool late = now_us - arrived_us >=
			    ctx->set->edge.start_wait_ms * 1000LL;

		if (starting && !late && !ctx->draining)
			return;
		STAILQ_REMOVE_HEAD(&ctx->held, link);
		ctx->n_held--;
		g_free(held);
		if (starting)
			refuse_early(
				ctx, exchange,
				hio_field(&request->fields, wire_echo_field),
				503, "no_confirmed_view");
		else
			begin_request(ctx, exchange, arrived_us);
	}
}

/* Forgets a request that was held back; its caller has left. */
static void drop_held(struct edge *ctx, const struct hio_exchange *exchange)
{
	struct fwd_held *held;

	STAILQ_FOREACH (held, &ctx->held, link) {
		if (held->exchange != exchange)
			continue;
		STAILQ_REMOVE(&ctx->held, held, fwd_held, link);
		ctx->n_held--;
		g_free(held);
		return;
	}
}

/* The caller has left: ends the work at the endpoint, too. */
void fwd_gone(void *data, struct hio_exchange *exchange)
{
	struct fwd *f = hio_exchange_data(exchange);

	if (!f) {
		drop_held(data, exchange);
		return;
	}
	end_send(f, BAL_CANCELLED);
	log_end(f, "caller_left", 0, "-");
	fwd_free(f);
}

static struct fwd *fwd_of(struct adm_item *item)
{
	return (struct fwd *)((char *)item - offsetof(struct fwd, item));
}

static bool is_listed(const char *const *groups, size_t n, const char *group)
{
	for (size_t i = 0; i < n; i++)
		if (groups[i] == group)
			return true;
	return false;
}

/* Tries those that wait, in their order; of each group until one finds no
 * place. Those whose time is over are tried once more and refused. */
void fwd_run_queue(struct edge *ctx)
{
	const char *failed[TRIES_MAX];
	size_t n_failed = 0;
	int64_t now_us = clk_now_us(ctx->clock);
	struct adm_item *item = adm_next(ctx->queue, NULL, now_us);

	while (item && n_failed < TRIES_MAX) {
		struct adm_item *next = adm_next(ctx->queue, item, now_us);
		const char *group = item->group;
		bool hopeless = is_listed(failed, n_failed, group);

		if ((!hopeless || now_us >= item->give_up_us) &&
		    dispatch(fwd_of(item)))
			failed[n_failed++] = group;
		item = next;
	}
	item = adm_next(ctx->queue, NULL, now_us);
	if (item)
		arm(fwd_of(item), now_us + WAIT_STEP_US);
}

/* Breaks off all requests; the process ends. */
void fwd_end_all(struct edge *ctx)
{
	while (!STAILQ_EMPTY(&ctx->held))
		drop_held(ctx, STAILQ_FIRST(&ctx->held)->exchange);
	while (!LIST_EMPTY(&ctx->forwards)) {
		struct fwd *f = LIST_FIRST(&ctx->forwards);

		hio_exchange_set_data(f->exchange, NULL);
		end_send(f, BAL_CANCELLED);
		log_end(f, "stopped", 0, "-");
		fwd_free(f);
	}
}
