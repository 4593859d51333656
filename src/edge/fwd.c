#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "core/hdg.h"
#include "core/key.h"
#include "core/sse.h"

/* Endpoints that a request may be sent to; each is tried once. */
#define TRIED_MAX 8
/* Bound for requests whose caller sets no deadline, in addition to the timeout
 * of the route. */
#define DEADLINE_MAX_US (3600 * EDGE_S_US)
/* No endpoint can answer a request with less time left. */
#define REMAINING_MIN_US 5000
/* Round trips to endpoints take at most a few milliseconds, but a SYN that a
 * full listen backlog drops is retransmitted only after a second. */
#define CONNECT_TIMEOUT_US 400000
/* Maximum idle time of reused connections. Plain endpoints close theirs after a
 * second or more. */
#define REUSE_IDLE_US 800000
/* The same for requests that must not run twice: a shorter limit, so that the
 * endpoint closing an idle connection does not leave the outcome unknown. */
#define REUSE_NON_IDEMPOTENT_US 300000
/* Maximum wait for a missing model or endpoint, as a part of the latency
 * objective. */
#define MODEL_WAIT_SHARE 0.125
/* The same for a missing adapter, which is loaded within some ten milliseconds
 * of the demand report. */
#define ADAPTER_WAIT_SHARE 0.34
/* The same where all engines are busy: a late response is still of use to the
 * caller. */
#define PLACE_WAIT_SHARE 2.0
#define PLAIN_WAIT_SHARE 1.0
#define WAIT_MIN_US 60000
/* Callers of streams disconnect after two seconds or four objectives without an
 * event; the rest of that time is for the prefill. */
#define WAIT_MAX_US 4000000
/* A request waits for a better engine for the objective divided by this. */
#define BETTER_WAIT_DIVISOR 3
/* Callers of streams disconnect after a pause of two seconds, four objectives
 * or eight gap objectives, whichever is longest. A broken stream waits that
 * long for another engine, less RESUME_PREFILL_US for the prefill there. */
#define CALLER_STALL_MIN_US (2 * EDGE_S_US)
#define CALLER_STALL_OBJECTIVES 4
#define CALLER_STALL_GAPS 8
#define RESUME_PREFILL_US 500000
/* Wait for a grant, as a part of the latency objective. Grants are answered
 * within milliseconds; a new leader takes about a second. */
#define QUOTA_WAIT_SHARE 0.6
#define QUOTA_WAIT_MIN_US 60000
#define QUOTA_WAIT_MAX_US 1000000
#define NO_GRANT_RETRY_US (EDGE_S_US / 2)
/* A prompt's first event is to come this long before its objective, for the
 * messages and the engine's step, and within SLOT_WAIT_MAX_US. */
#define SLOT_MARGIN_US 40000
#define SLOT_WAIT_MAX_US 1000000
/* A slot is not used later than this after its time: others have it by then. */
#define SLOT_LATE_MAX_US 100000
/* Longest wait for an instance that reaches an endpoint: a reply takes some
 * milliseconds, the rest of one that did not answer less than that. */
#define HELPER_WAIT_US EDGE_S_US
/* Poll interval of the queue when no event frees capacity. */
#define QUEUE_POLL_US 25000
/* Requests tried in one run of the queue. */
#define QUEUE_TRIES_MAX 64
/* A resumable stream is also sent to another endpoint after this many gap
 * objectives without an event, but not before SILENCE_MIN_US. */
#define SILENCE_GAPS 5
#define SILENCE_MIN_US 1200000
/* The first event may take longer, since it includes queueing and prefill. */
#define FIRST_EVENT_OBJECTIVES 3
#define FIRST_EVENT_MIN_US 1500000
/* Minimum number of events for a usable average interval. */
#define PACE_EVENTS_MIN 8
/* Minimum prompt length for a usable measurement of prefill speed. */
#define PREFILL_TOKENS_MIN 400
/* Limit of a buffered response. */
#define ANSWER_MAX_BYTES (8 << 20)
/* Limit of an incomplete event of a stream; events hold a few tokens. */
#define EVENT_MAX_BYTES (256 << 10)
#define RETRY_AFTER_JITTER 0.5
/* Usual size of the heads of a request and its answer, and of an event, for the
 * price of bytes between sites. */
#define HEADS_BYTES 1024
#define EVENT_BYTES 128
/* Bounds of the time after which a request with a part in doubt may return, and
 * that time while another run of the part decides. */
#define PART_RETRY_MIN_US 200000
#define PART_RETRY_MAX_US (60 * EDGE_S_US)
#define TRIAL_RETRY_US EDGE_S_US
/* An instance that starts, or has lost the leader, has a confirmed view after
 * an election and a report, which take about this long. */
#define VIEW_RETRY_AFTER_US 1500000
/* Requests held until the first confirmed view; the limit bounds the memory of
 * their bodies. Further requests are refused. */
#define HELD_MAX 256
/* A draining instance accepts a stream only if at least this much time is left;
 * most streams end within it. Other requests that may be repeated take a
 * fraction of a second. */
#define DRAIN_STREAM_MIN_US (5 * EDGE_S_US)
#define DRAIN_PLAIN_MIN_US (1500000LL)
/* A request without an outcome is answered this long before a draining instance
 * ends, so that the answer is sent. */
#define DRAIN_ANSWER_US 200000

/* One sending of a request to an endpoint. */
struct attempt {
	LIST_ENTRY(attempt) link; /* fwd.attempts, newest first */
	struct fwd *fwd;
	unsigned id;		       /* in fwd.hedge */
	struct hio_call *call;	       /* NULL: it has ended */
	struct bal_endpoint *endpoint; /* NULL: released */
	int64_t sent_us;
	bool is_repeat;	   /* counted in the retry budget at sent_us */
	int64_t ttfb_us;   /* time to the first byte; -1: none yet */
	bool sole_prefill; /* no other request of this instance was in prefill
			      there */
	bool has_length;   /* the response has a Content-Length */
	bool unattributed; /* a refusal that may be another request's */
	bool new_connection;
	char *helper; /* instance that passes it on; NULL: none */
	enum edge_detour_outcome detour; /* with helper: what it said */
	struct wire_answer answer;
	int status;
	struct hio_fields fields; /* for the caller; owned */
	GByteArray *body;	  /* of a buffered response */
	struct sse *sse;	  /* of a stream that has begun; or NULL */
	size_t event_bytes;	  /* of its unfinished event */
	uint32_t events_received;
	int64_t first_event_us;	   /* when the first of them arrived */
	struct edge_attempt parts; /* of its prompt */
};

struct fwd {
	LIST_ENTRY(fwd) link; /* edge.forwards */
	struct edge *edge;
	struct hio_exchange *exchange;
	struct event *timer;
	struct wire_request request;
	/* Copied from the route, which a later table may lack. */
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
	bool keyed;	/* the table had customers when it was read */
	bool open;	/* the route needs no key */
	char *customer; /* owner of its key; NULL: it has no valid one */
	uint8_t key[RTAB_KEY_DIGEST_LEN]; /* with customer */
	struct tok_item quota;		  /* of the customer */

	int64_t start_us;
	int64_t deadline_us;  /* deadline of the caller or the route */
	struct adm_item item; /* while it waits for capacity */
	const char *group;    /* interned by the queue */
	bool miss_reported;   /* a demand report was sent for its model */
	char *tried[TRIED_MAX + 1];
	size_t n_tried;
	/* Of tried, those to which no connection was possible. */
	bool unreached[TRIED_MAX];
	char *helpers[PTH_HELPERS_MAX + 1]; /* that did not pass it on */
	size_t n_helpers;
	int64_t last_event_us; /* when the last event arrived */
	int64_t gap_max_us; /* longest gap between events, over all attempts */
	unsigned runs;	    /* endpoints that may have executed it */
	bool counted;	    /* as a request of the retry budget */
	int64_t repeat_us;  /* when a repeat was taken for the next attempt; 0:
			       none */
	int64_t waited_us; /* from the request's arrival to the first attempt */
	struct edge_prompt prompt;
	struct edge_slot slot;
	struct edge_version version; /* of the stream that it resumes */
	bool begun;		     /* an event was passed on */
	const char *broken_reason;   /* while it waits for a check */
	bool suspect;	    /* the request was in doubt, not only a part */
	int64_t verdict_us; /* limit of its waits for runs of others; 0: none */
	/* Kept for the request while it waits for a grant, or NULL. */
	struct bal_endpoint *trial_endpoint;

	LIST_HEAD(, attempt) attempts;
	struct hdg hedge;    /* of the attempts that are under way */
	unsigned n_attempts; /* ids given */
	char *endpoint_id;   /* of the last attempt that ended */
	int64_t ttfb_us;     /* of that attempt */
	bool headers_sent;   /* to the caller */
	char *last_event_id; /* of the last event forwarded */
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

/* Whether the caller has events of the stream from an earlier request. */
static bool is_continuation(const struct fwd *f)
{
	return f->kind == DSP__ROUTE_KIND__ROUTE_STREAM && f->resumable &&
	       f->request.last_event_id;
}

/* Whether the caller has a part of the answer, which is of no use without the
 * rest. */
static bool has_part(const struct fwd *f)
{
	return f->headers_sent || is_continuation(f);
}

static int64_t now_of(const struct fwd *f)
{
	return clk_now_us(f->edge->clock);
}

/* True when too little time is left for any endpoint to answer. */
static bool is_too_late(const struct fwd *f)
{
	return now_of(f) + REMAINING_MIN_US >= f->deadline_us;
}

/* True when the request may also be executed by another endpoint. */
static bool can_retry(const struct fwd *f)
{
	return may_repeat(f) && f->runs < f->attempts_max;
}

/* Request id for log lines. */
static const char *log_id(const struct fwd *f)
{
	return f->request.request_id ? f->request.request_id : "-";
}

static void set_timer_at(struct fwd *f, int64_t at_us)
{
	hio_set_timer(f->timer, MAX(at_us - now_of(f), 1));
}

/* ---- End of a request ---- */

/* Frees an attempt that was released. */
static void attempt_free(struct attempt *at)
{
	LIST_REMOVE(at, link);
	g_free(at->helper);
	hio_fields_clear(&at->fields);
	hio_mem_give(at->fwd->edge->mem, HIO_MEM_ANSWER, at->body->len);
	g_byte_array_unref(at->body);
	hio_mem_give(at->fwd->edge->mem, HIO_MEM_EVENT, at->event_bytes);
	sse_free(at->sse);
	g_free(at);
}

/* Gives back a repeat that was taken and not used. */
static void return_repeat(struct fwd *f)
{
	if (!f->repeat_us)
		return;
	met_count(f->edge->met, "dandelionspar_edge_repeats_returned", "", 1);
	rep_return(edge_budget(f->edge, f->service), f->repeat_us);
	f->repeat_us = 0;
}

/* Prompt tokens that the balancer counts as unprocessed until the first byte.
 */
static uint32_t unread_tokens(const struct fwd *f)
{
	return f->engine ? MAX(f->request.tokens_in, 1) : 1;
}

static void release_trial_endpoint(struct fwd *f)
{
	if (f->trial_endpoint)
		bal_end(f->edge->bal, f->trial_endpoint, BAL_CANCELLED,
			unread_tokens(f), now_of(f));
	f->trial_endpoint = NULL;
}

static void fwd_free(struct fwd *f)
{
	LIST_REMOVE(f, link);
	adm_remove(f->edge->queue, &f->item);
	return_repeat(f);
	f->edge->in_flight--;
	event_free(f->timer);
	release_trial_endpoint(f);
	edge_parts_forget(&f->prompt);
	edge_quota_end(f->edge->quota, &f->quota, f->runs > 0);
	edge_slot_clear(&f->slot);
	edge_version_clear(&f->version);
	wire_request_clear(&f->request);
	while (!LIST_EMPTY(&f->attempts))
		attempt_free(LIST_FIRST(&f->attempts));
	for (size_t i = 0; i < f->n_tried; i++)
		g_free(f->tried[i]);
	for (size_t i = 0; i < f->n_helpers; i++)
		g_free(f->helpers[i]);
	g_free(f->route);
	g_free(f->service);
	g_free(f->customer);
	g_free(f->endpoint_id);
	g_free(f->last_event_id);
	g_free(f);
}

/* Runs the queue after the current callback has returned. */
static void schedule_queue_run(struct edge *ctx)
{
	event_active(ctx->queue_event, EV_TIMEOUT, 0);
}

/* Has the queue run again in QUEUE_POLL_US. The timer is the queue's own: any
 * of the requests in it may end at any time. */
static void set_queue_timer(struct edge *ctx)
{
	struct timeval wait = { .tv_usec = QUEUE_POLL_US };

	event_add(ctx->queue_event, &wait);
}

/* Ends an attempt, whose call is cancelled if it has not ended. What it has
 * received stays until attempt_free(). */
static void release_attempt(struct attempt *at, enum bal_result result)
{
	struct fwd *f = at->fwd;

	if (at->call)
		hio_call_cancel(at->call);
	at->call = NULL;
	if (at->helper)
		edge_detour_end(f->edge->detour, at->helper);
	edge_parts_ended(&at->parts);
	g_free(f->endpoint_id);
	f->endpoint_id = g_strdup(bal_id(at->endpoint));
	f->ttfb_us = at->ttfb_us;
	hdg_remove(&f->hedge, at->id, now_of(f));
	bal_end(f->edge->bal, at->endpoint, result,
		at->ttfb_us < 0 ? unread_tokens(f) : 0, now_of(f));
	at->endpoint = NULL;
	/* Without a connection, the next attempt may use its repeat. */
	if (result == BAL_UNREACHED && at->is_repeat) {
		return_repeat(f);
		f->repeat_us = at->sent_us;
	}
	schedule_queue_run(f->edge);
}

static void end_attempt(struct attempt *at, enum bal_result result)
{
	release_attempt(at, result);
	attempt_free(at);
}

/* Ends all attempts of a request that ends without an answer. */
static void cancel_attempts(struct fwd *f)
{
	while (!LIST_EMPTY(&f->attempts))
		end_attempt(LIST_FIRST(&f->attempts), BAL_CANCELLED);
}

/* Counts the outcome of a request under a table with customers. customer NULL:
 * it has no valid key. */
static void count_customer(struct edge *ctx, const char *customer,
			   const char *outcome, const char *reason)
{
	g_autofree char *name = g_strdup(customer ? customer : "");
	g_autofree char *labels = NULL;

	/* Both would have to be escaped. */
	g_strdelimit(name, "\"\\", '_');
	labels = g_strdup_printf("customer=\"%s\",outcome=\"%s\",reason=\"%s\"",
				 name, outcome, reason);
	met_count(ctx->met, "dandelionspar_edge_customer_requests", labels, 1);
}

/* Logs one line for each request: the decisions and the outcome. */
static void log_end(const struct fwd *f, const char *outcome, int status,
		    const char *reason)
{
	int64_t took_us = now_of(f) - f->start_us;
	char labels[128];

	g_snprintf(labels, sizeof(labels),
		   "route=\"%s\",outcome=\"%s\",reason=\"%s\"", f->route,
		   outcome, reason);
	met_count(f->edge->met, "dandelionspar_edge_requests", labels, 1);
	if (f->keyed)
		count_customer(f->edge, f->customer, outcome, reason);
	g_snprintf(labels, sizeof(labels), "route=\"%s\"", f->route);
	met_observe_us(f->edge->met, "dandelionspar_edge_request_us", labels,
		       took_us);
	LOG_EVENT_INFO(
		"fwd", "end",
		"request=%s digest=%s route=%s table=%" G_GUINT64_FORMAT
		" service=%s model=%s adapter=%s outcome=%s status=%d "
		"reason=%s endpoint=%s tried=%zu runs=%u took_us=%" PRId64
		" waited_us=%" PRId64 " first_us=%" PRId64 " gap_us=%" PRId64,
		log_id(f), f->prompt.digest, f->route, f->table_number,
		f->service, f->request.model ? f->request.model : "-",
		f->request.adapter ? f->request.adapter : "-", outcome, status,
		reason, f->endpoint_id ? f->endpoint_id : "-", f->n_tried,
		f->runs, took_us, f->waited_us, f->ttfb_us, f->gap_max_us);
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
			.name = (char *)wire_request_id_field,
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

/* Retry-After in seconds, with jitter so that callers do not return all at
 * once. */
static double retry_after_s_with_jitter(int64_t retry_us)
{
	return (double)retry_us * (1 + RETRY_AFTER_JITTER * g_random_double()) /
	       1e6;
}

/* Ends the request without an endpoint's response: replies with an error, or
 * aborts a response that was started. retry_us < 0: no Retry-After. */
static void reply_failure(struct fwd *f, int status, int64_t retry_us,
			  const char *reason)
{
	double retry_s =
		retry_us >= 0 ? retry_after_s_with_jitter(retry_us) : -1;

	cancel_attempts(f);
	log_end(f,
		f->headers_sent					  ? "broken"
		: status == 503 || status == 401 || status == 429 ? "refused"
								  : "failed",
		f->headers_sent ? 0 : status, reason);
	if (f->headers_sent)
		hio_reply_abort(f->exchange);
	else
		reply_plain(f->exchange, status, f->request.request_id, retry_s,
			    reason);
	fwd_free(f);
}

/* Fails a request that is not retried. */
static void give_up(struct fwd *f, int64_t retry_us, const char *reason)
{
	bool late = is_too_late(f);

	if (!f->runs)
		reply_failure(f, 503, late ? -1 : retry_us, reason);
	else
		reply_failure(f, late ? 504 : 502, -1, reason);
}

/* ---- Keys ---- */

/* Decides about a request that was read with a key, before it is sent. */
static enum key_verdict judge_key(const struct fwd *f)
{
	struct edge *ctx = f->edge;
	const Dsp__Customer *owner = NULL;
	struct key_question question = {
		.keyed = f->keyed && rtab_has_customers(ctx->routes),
		.open = f->open,
	};

	if (!question.keyed)
		return KEY_SERVE;
	if (f->customer)
		owner = rtab_customer(ctx->routes, f->key);
	question.owned = owner && !strcmp(owner->name, f->customer);
	question.leased = edge_has_lease(ctx);
	question.isolated = ctl_state(ctx->ctl).readiness == CTL_ISOLATED;
	return key_decide(&question);
}

/* Whether the request may be sent, as far as its key matters. */
static bool may_send(const struct fwd *f)
{
	return !key_status(judge_key(f));
}

/*
 * Returns whether the request may be sent, as far as its key matters. Otherwise
 * it was ended. A refusal promises that it has not run, so one that may have
 * run gets another status.
 */
static bool check_key(struct fwd *f)
{
	enum key_verdict verdict = judge_key(f);
	int status = key_status(verdict);

	if (!status)
		return true;
	reply_failure(f, f->runs ? 502 : status,
		      !f->runs && status == 503 ? VIEW_RETRY_AFTER_US : -1,
		      key_reason(verdict));
	return false;
}

/* ---- Sending ---- */

static bool dispatch(struct fwd *f);

static void add_tried(struct fwd *f, const char *id)
{
	if (f->n_tried == TRIED_MAX)
		return;
	f->unreached[f->n_tried] = false;
	f->tried[f->n_tried++] = g_strdup(id);
}

/* Has an endpoint count as not tried. */
static void remove_tried(struct fwd *f, size_t i)
{
	g_free(f->tried[i]);
	f->n_tried--;
	f->tried[i] = f->tried[f->n_tried];
	f->unreached[i] = f->unreached[f->n_tried];
	f->tried[f->n_tried] = NULL;
}

/* Notes that no connection to an endpoint was possible. */
static void set_unreached(struct fwd *f, const char *id)
{
	for (size_t i = 0; i < f->n_tried; i++)
		f->unreached[i] |= !strcmp(f->tried[i], id);
}

static bool has_helper(const struct fwd *f, const char *endpoint)
{
	return edge_detour_helper(f->edge->detour, endpoint,
				  (const char *const *)f->helpers) != NULL;
}

/* Has the endpoints that were not reached tried again through helpers, if there
 * are any. */
static void forget_unreached(struct fwd *f)
{
	for (size_t i = 0; i < f->n_tried;) {
		if (f->unreached[i] && f->n_helpers < PTH_HELPERS_MAX &&
		    has_helper(f, f->tried[i]))
			remove_tried(f, i);
		else
			i++;
	}
}

/*
 * Returns whether the request should wait for a helper: one may be about to
 * tell whether it reaches an endpoint, or to start or stop. Helpers that did
 * not pass it on may be asked again, after the rest that each of them has.
 */
static bool wait_for_helper(struct fwd *f)
{
	bool waits = false;

	if (now_of(f) - f->start_us > HELPER_WAIT_US)
		return false;
	for (size_t i = 0; i < f->n_tried; i++)
		waits |= f->unreached[i] &&
			 edge_detour_may_help(f->edge->detour, f->tried[i]);
	if (!waits)
		return false;
	while (f->n_helpers)
		g_clear_pointer(&f->helpers[--f->n_helpers], g_free);
	set_timer_at(f, MIN(now_of(f) + QUEUE_POLL_US, f->deadline_us));
	return true;
}

static bool take_repeat(struct fwd *f)
{
	struct rep_options options = edge_budget_options(f->edge);
	struct rep *budget = edge_budget(f->edge, f->service);

	if (f->repeat_us)
		return true;
	if (rep_take(budget, &options, f->runs ? REP_BEGUN : REP_NOT_RUN,
		     now_of(f))) {
		met_count(f->edge->met, "dandelionspar_edge_repeats", "", 1);
		f->repeat_us = now_of(f);
		return true;
	}
	met_count(f->edge->met, "dandelionspar_edge_repeats_denied", "", 1);
	LOG_EVENT_INFO("fwd", "repeat_denied",
		       "request=%s service=%s runs=%u left=%.1f", log_id(f),
		       f->service, f->runs,
		       rep_left(budget, &options, now_of(f)));
	return false;
}

static void log_retry(const struct fwd *f, const char *reason)
{
	LOG_EVENT_INFO("fwd", "again",
		       "request=%s digest=%s endpoint=%s reason=%s runs=%u "
		       "after_id=%s",
		       log_id(f), f->prompt.digest,
		       f->endpoint_id ? f->endpoint_id : "-", reason, f->runs,
		       f->last_event_id ? f->last_event_id : "-");
}

/*
 * Tries another endpoint after an attempt without a response for the caller.
 * reached: the request arrived at the service, so the next attempt is taken
 * from the retry budget.
 */
static void retry(struct fwd *f, bool reached, const char *reason)
{
	if (f->runs && !can_retry(f)) {
		give_up(f, -1, reason);
		return;
	}
	forget_unreached(f);
	if (f->n_tried >= TRIED_MAX || is_too_late(f)) {
		give_up(f, CONNECT_TIMEOUT_US, reason);
		return;
	}
	if (reached && !take_repeat(f)) {
		give_up(f, CONNECT_TIMEOUT_US, "no_repeats_left");
		return;
	}
	log_retry(f, reason);
	dispatch(f);
}

/* Logs and counts the result of an attempt that had others beside it. */
static void log_hedge(const struct attempt *at, const char *outcome,
		      const char *reason)
{
	const struct fwd *f = at->fwd;
	const struct attempt *other;
	char label[64];

	LIST_FOREACH (other, &f->attempts, link)
		if (other != at)
			break;
	g_snprintf(label, sizeof(label), "outcome=\"%s\"", outcome);
	met_count(f->edge->met, "dandelionspar_edge_hedges", label, 1);
	LOG_EVENT_INFO(
		"fwd", "hedge",
		"request=%s outcome=%s reason=%s endpoint=%s other=%s runs=%u "
		"age_us=%" PRId64 " silent_us=%" PRId64 " after_id=%s",
		log_id(f), outcome, reason, bal_id(at->endpoint),
		other ? bal_id(other->endpoint) : "-", f->runs,
		now_of(f) - at->sent_us,
		now_of(f) - MAX(f->last_event_us, f->start_us),
		f->last_event_id ? f->last_event_id : "-");
}

static void set_request_timer(struct fwd *f);

/* Ends the other attempts, since the answer of this one is used. */
static void use_attempt(struct attempt *at)
{
	struct fwd *f = at->fwd;
	struct attempt *other = LIST_FIRST(&f->attempts);

	if (!hdg_is_hedged(&f->hedge))
		return;
	log_hedge(at, LIST_NEXT(at, link) ? "moved" : "went_on", "answers");
	for (struct attempt *next; other; other = next) {
		next = LIST_NEXT(other, link);
		/* An older one was silent. */
		if (other != at)
			end_attempt(other, other->id < at->id ? BAL_FAILED
							      : BAL_CANCELLED);
	}
	set_request_timer(f);
}

/*
 * Ends an attempt without a response for the caller. The request goes on with
 * the attempts that remain, or is tried elsewhere; see retry(). May free the
 * request.
 */
static void fail_attempt(struct attempt *at, enum bal_result result,
			 bool reached, const char *reason)
{
	struct fwd *f = at->fwd;

	if (hdg_is_hedged(&f->hedge)) {
		log_hedge(at, "failed", reason);
		end_attempt(at, result);
		set_request_timer(f);
		return;
	}
	end_attempt(at, result);
	retry(f, reached, reason);
}

/*
 * Ends an attempt that broke off. Unless the request goes on with others, it is
 * tried elsewhere, at once or when it is known whether the endpoint crashed.
 */
static void break_attempt(struct attempt *at, const char *reason)
{
	struct fwd *f = at->fwd;
	bool waits = edge_parts_broken(f->edge->parts, &at->parts);

	if (!waits || hdg_is_hedged(&f->hedge) || !can_retry(f)) {
		fail_attempt(at, BAL_FAILED, true, reason);
		return;
	}
	end_attempt(at, BAL_FAILED);
	f->broken_reason = reason;
	set_timer_at(f, f->deadline_us);
}

static struct fwd *fwd_from_prompt(struct edge_prompt *prompt)
{
	return (struct fwd *)((char *)prompt - offsetof(struct fwd, prompt));
}

/* Goes on with a request that may have waited for a check. */
void fwd_crash_checked(struct edge_prompt *prompt, bool crashed)
{
	struct fwd *f = fwd_from_prompt(prompt);
	const char *reason = crashed ? "endpoint_crashed" : f->broken_reason;

	if (!f->broken_reason)
		return;
	f->broken_reason = NULL;
	retry(f, true, reason);
}

/* Starts the answer to the caller, who gets the fields of the first attempt. */
static void begin_reply(struct attempt *at)
{
	struct fwd *f = at->fwd;

	if (f->headers_sent)
		return;
	hio_reply_begin(f->exchange, at->status, at->fields.all, at->fields.n);
	f->headers_sent = true;
}

/* Fixes the version of a stream whose first event is passed on: the rest must
 * come from the same one. */
static void begin_version(struct attempt *at)
{
	struct fwd *f = at->fwd;
	struct edge_version *version = &f->version;
	const char *id =
		is_continuation(f) ? f->request.resumes : f->request.request_id;

	if (f->begun || !f->resumable)
		return;
	f->begun = true;
	if (!version->software) {
		version->software = g_strdup(bal_software(at->endpoint));
		version->state = version->software ? EDGE_VERSION_KNOWN
						   : EDGE_VERSION_UNKNOWN;
	}
	if (id)
		edge_versions_begun(f->edge->versions, id, f->service,
				    version->software, f->deadline_us);
}

static void on_event(void *data, const char *event, size_t len, const char *id)
{
	struct attempt *at = data;
	struct fwd *f = at->fwd;
	int64_t now_us = now_of(f);

	use_attempt(at);
	begin_version(at);
	begin_reply(at);
	hdg_progress(&f->hedge, at->id, now_us);
	if (!at->events_received++) {
		at->first_event_us = now_us;
	} else {
		bal_stream_event(f->edge->bal, at->endpoint,
				 now_us - f->last_event_us, now_us);
		if (now_us - at->first_event_us >= SUS_PROOF_US)
			edge_parts_begun(f->edge->parts, &at->parts,
					 at->first_event_us);
	}
	if (f->last_event_us)
		f->gap_max_us = MAX(f->gap_max_us, now_us - f->last_event_us);
	f->last_event_us = now_us;
	hio_reply_chunk(f->exchange, event, len);
	if (!id)
		return;
	g_free(f->last_event_id);
	f->last_event_id = g_strdup(id);
}

/* Copies the header fields of a response that are meant for the caller. */
static void copy_fields(struct hio_fields *to, const struct hio_fields *from)
{
	g_autoptr(GHashTable) named = hio_connection_names(from);

	hio_fields_clear(to);
	to->all = g_new0(struct hio_field, from->n + 1);
	for (size_t i = 0; i < from->n; i++) {
		const struct hio_field *field = &from->all[i];

		if (hio_is_hop_by_hop_field(named, field->name) ||
		    wire_is_internal_answer_field(field->name) ||
		    edge_detour_is_field(field->name))
			continue;
		to->all[to->n].name = g_strdup(field->name);
		to->all[to->n++].value = g_strdup(field->value);
	}
}

/* The head waits for the first event while another attempt may be used. */
static void begin_stream(struct attempt *at)
{
	at->sse = sse_new();
	if (!hdg_is_hedged(&at->fwd->hedge))
		begin_reply(at);
}

/* Uses the load that the answer carries, and reports it to the others. */
static void take_load(struct attempt *at, int64_t now_us)
{
	struct edge *ctx = at->fwd->edge;
	Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

	bal_report(ctx->bal, at->endpoint, at->answer.running,
		   at->answer.waiting, now_us);
	bal_saw_slowness(ctx->bal, at->endpoint, at->answer.slowness_percent,
			 now_us);
	report.endpoint = (char *)bal_id(at->endpoint);
	report.incarnation = bal_incarnation(at->endpoint);
	report.running = at->answer.running;
	report.waiting = at->answer.waiting;
	report.slowness_percent = at->answer.slowness_percent;
	report.leaving = at->answer.hint.leaving;
	edge_report_limit(&report, &at->answer.hint);
	ctl_observed_load(ctx->ctl, &report);
}

/* Whether the head is that of an answer which the caller may get. */
static bool has_good_head(const struct attempt *at)
{
	return !at->answer.not_run && at->status / 100 == 2 &&
	       at->answer.sealed;
}

static void on_headers(void *data, const struct hio_answer *answer)
{
	struct attempt *at = data;
	struct fwd *f = at->fwd;
	int64_t now_us = now_of(f);

	if (at->helper) {
		at->detour = edge_detour_read(&answer->fields);
		/* Whoever answered may have passed it on. */
		if (at->detour == DETOUR_NONE)
			at->detour = DETOUR_BROKEN;
		if (at->detour != DETOUR_ANSWER)
			return;
	} else if (at->new_connection) {
		edge_detour_connected(f->edge->detour, bal_id(at->endpoint));
	}
	at->status = answer->status;
	wire_read_answer(answer, &at->answer);
	at->unattributed = at->answer.not_run && f->request.request_id &&
			   !hio_field(&answer->fields, wire_request_id_field);
	edge_saw_hint(f->edge, bal_id(at->endpoint),
		      bal_incarnation(at->endpoint), &at->answer);
	if (at->answer.has_load)
		take_load(at, now_us);
	at->has_length = hio_field(&answer->fields, "Content-Length") != NULL;
	hdg_progress(&f->hedge, at->id, now_us);
	if (!at->answer.not_run)
		copy_fields(&at->fields, &answer->fields);
	if (f->kind == DSP__ROUTE_KIND__ROUTE_STREAM && has_good_head(at))
		begin_stream(at);
	set_request_timer(f);
}

static void record_first_byte(struct attempt *at, int64_t now_us)
{
	struct fwd *f = at->fwd;

	at->ttfb_us = now_us - at->sent_us;
	bal_first_byte(f->edge->bal, at->endpoint, unread_tokens(f),
		       at->ttfb_us, at->sole_prefill);
	if (f->engine && at->sole_prefill &&
	    f->request.tokens_in >= PREFILL_TOKENS_MIN)
		edge_add_prefill_sample(f->edge, at->endpoint,
					f->request.tokens_in, at->ttfb_us);
	schedule_queue_run(f->edge);
}

/* The endpoint works on the first event. A buffered answer does not begin: it
 * is used when it is whole. */
static void begin_events(struct attempt *at, int64_t now_us)
{
	hdg_begun(&at->fwd->hedge, at->id, now_us);
	set_request_timer(at->fwd);
}

/* May free the request. */
static void read_events(struct attempt *at, const char *bytes, size_t len)
{
	struct hio_mem *mem = at->fwd->edge->mem;
	size_t unfinished;

	sse_feed(at->sse, bytes, len, on_event, at);
	unfinished = sse_unfinished(at->sse);
	hio_mem_give(mem, HIO_MEM_EVENT, at->event_bytes);
	at->event_bytes = 0;
	if (unfinished > EVENT_MAX_BYTES) {
		fail_attempt(at, BAL_FAILED, true, "event_too_long");
		return;
	}
	if (!hio_mem_take(mem, HIO_MEM_EVENT, 0, unfinished)) {
		fail_attempt(at, BAL_CANCELLED, true, "no_memory");
		return;
	}
	at->event_bytes = unfinished;
}

/* May free the request. */
static void on_body(void *data, const char *bytes, size_t len)
{
	struct attempt *at = data;
	struct fwd *f = at->fwd;
	int64_t now_us = now_of(f);
	bool first = at->ttfb_us < 0;

	if (at->helper && at->detour != DETOUR_ANSWER)
		return;
	if (first)
		record_first_byte(at, now_us);
	if (first && at->sse)
		begin_events(at, now_us);
	if (at->sse) {
		read_events(at, bytes, len);
		return;
	}
	if (at->has_length)
		hdg_progress(&f->hedge, at->id, now_us);
	if (at->body->len + len > ANSWER_MAX_BYTES) {
		fail_attempt(at, BAL_FAILED, true, "answer_too_long");
		return;
	}
	if (!hio_mem_take(f->edge->mem, HIO_MEM_ANSWER, at->body->len, len)) {
		fail_attempt(at, BAL_CANCELLED, true, "no_memory");
		return;
	}
	g_byte_array_append(at->body, (const guint8 *)bytes, (guint)len);
}

static void handle_refusal(struct attempt *at)
{
	struct fwd *f = at->fwd;
	bool replaced = at->answer.other_process;
	/* An engine gives the same status when it does not hold the model. */
	bool wrong_process = replaced && !f->engine;

	edge_parts_not_run(&at->parts);
	f->runs--;
	if (f->engine && replaced)
		edge_count_demand(f->edge, f->request.model, f->request.adapter,
				  true);
	fail_attempt(at, wrong_process ? BAL_REPLACED : BAL_REFUSED, true,
		     replaced ? "not_there" : "endpoint_refused");
}

static void finish_stream(struct attempt *at)
{
	struct fwd *f = at->fwd;

	if (sse_unfinished(at->sse)) {
		break_attempt(at, "unfinished_event");
		return;
	}
	use_attempt(at);
	begin_reply(at);
	if (at->events_received)
		edge_parts_begun(f->edge->parts, &at->parts,
				 at->first_event_us);
	if (f->gap_us && at->events_received >= 2)
		bal_stream_end(f->edge->bal, at->endpoint,
			       f->gap_max_us > f->gap_us, now_of(f));
	if (at->events_received >= PACE_EVENTS_MIN) {
		int64_t gap_us = (f->last_event_us - at->first_event_us) /
				 (at->events_received - 1);

		bal_stream_interval(f->edge->bal, at->endpoint, gap_us);
	}
	release_attempt(at, BAL_ANSWERED);
	log_end(f, "served", at->status, "-");
	hio_reply_end(f->exchange);
	fwd_free(f);
}

static void finish_buffered(struct attempt *at)
{
	struct fwd *f = at->fwd;
	bool success = at->status / 100 == 2;
	int64_t started_us =
		at->ttfb_us < 0 ? now_of(f) : at->sent_us + at->ttfb_us;

	if (success && !at->answer.sealed) {
		fail_attempt(at, BAL_FAILED, true, "unsealed");
		return;
	}
	if (success)
		edge_parts_begun(f->edge->parts, &at->parts, started_us);
	else if (at->status < 500)
		edge_parts_answered(f->edge->parts, &at->parts, started_us);
	/* The caller has received a part of a stream, or another endpoint may
	 * go on without this failure. */
	if (f->headers_sent || (!success && hdg_is_hedged(&f->hedge))) {
		fail_attempt(at, BAL_ANSWERED, true, "endpoint_failed");
		return;
	}
	use_attempt(at);
	release_attempt(at, BAL_ANSWERED);
	/* Another endpoint may not have this failure. */
	if (at->status >= 500 && can_retry(f) && f->n_tried < TRIED_MAX &&
	    !is_too_late(f) && may_send(f) && take_repeat(f)) {
		attempt_free(at);
		dispatch(f);
		return;
	}
	log_end(f, success ? "served" : "endpoint_failed", at->status, "-");
	/* The output counts it from now on. */
	hio_mem_give(f->edge->mem, HIO_MEM_ANSWER, at->body->len);
	hio_reply_bytes(f->exchange, at->status, at->fields.all, at->fields.n,
			at->body);
	g_byte_array_unref(at->body);
	at->body = g_byte_array_new();
	fwd_free(f);
}

/*
 * Goes on with a request that a helper did not pass on, or whose outcome there
 * is unknown. What was not sent has not run: another helper, or another
 * endpoint, may get it.
 */
static void handle_detour(struct attempt *at)
{
	struct fwd *f = at->fwd;
	const char *id = bal_id(at->endpoint);
	enum bal_result result = BAL_CANCELLED;

	edge_detour_result(f->edge->detour, id, at->helper, at->detour);
	switch (at->detour) {
	case DETOUR_ANSWER:
	case DETOUR_BROKEN:
		break_attempt(at, "broken_at_helper");
		return;
	case DETOUR_UNREACHED:
	case DETOUR_NO_PATH:
	case DETOUR_NONE:
	case DETOUR_REFUSED:
		/* Not the endpoint's fault as long as others may reach it. */
		if (f->n_helpers < PTH_HELPERS_MAX)
			f->helpers[f->n_helpers++] = g_strdup(at->helper);
		set_unreached(f, id);
		if (!edge_detour_may_help(f->edge->detour, id))
			result = BAL_UNREACHED;
		break;
	case DETOUR_UNKNOWN_ENDPOINT:
		break;
	}
	f->runs--;
	edge_parts_not_run(&at->parts);
	fail_attempt(at, result, false, "not_passed_on");
}

static void on_end(void *data)
{
	struct attempt *at = data;

	at->call = NULL;
	if (at->helper && at->detour != DETOUR_ANSWER)
		handle_detour(at);
	else if (at->unattributed)
		fail_attempt(at, BAL_FAILED, true, "unattributed");
	else if (at->answer.not_run)
		handle_refusal(at);
	else if (at->sse)
		finish_stream(at);
	else
		finish_buffered(at);
}

static void on_failed(void *data, enum hio_failure failure)
{
	struct attempt *at = data;

	at->call = NULL;
	if (at->helper && at->detour != DETOUR_ANSWER) {
		if (at->detour == DETOUR_NONE && failure != HIO_NOT_CONNECTED)
			at->detour = DETOUR_BROKEN;
		handle_detour(at);
		return;
	}
	switch (failure) {
	case HIO_NOT_CONNECTED:
		at->fwd->runs--;
		edge_parts_not_run(&at->parts);
		set_unreached(at->fwd, bal_id(at->endpoint));
		edge_detour_unreached(at->fwd->edge->detour,
				      bal_id(at->endpoint));
		fail_attempt(at, BAL_UNREACHED, false, "not_connected");
		break;
	case HIO_BROKEN:
		if (at->answer.not_run && !at->unattributed)
			handle_refusal(at);
		else
			break_attempt(at, "broken");
		break;
	case HIO_MALFORMED:
		break_attempt(at, "malformed");
		break;
	}
}

/* Limit of the silence of the newest attempt. */
static int64_t silence_limit_us(const struct fwd *f)
{
	const struct attempt *at = LIST_FIRST(&f->attempts);

	if (at && at->sse)
		return MAX(SILENCE_GAPS * f->gap_us, SILENCE_MIN_US);
	return MAX(FIRST_EVENT_OBJECTIVES * f->objective_us,
		   FIRST_EVENT_MIN_US);
}

/* Sets the timer of a request with attempts under way. */
static void set_request_timer(struct fwd *f)
{
	int64_t at_us = MIN(f->deadline_us, hdg_grace_end_us(&f->hedge));

	if (can_retry(f))
		at_us = MIN(at_us,
			    hdg_silence_end_us(&f->hedge, silence_limit_us(f)));
	set_timer_at(f, at_us);
}

static int64_t reuse_idle_us(const struct fwd *f)
{
	if (!f->request.request_id)
		return 0; /* an answer to another request could not be told */
	return may_repeat(f) ? REUSE_IDLE_US : REUSE_NON_IDEMPOTENT_US;
}

/* Whether coordinators pace the prompts of such requests. */
static bool is_paced(const struct fwd *f)
{
	return f->edge->set->edge.prompt_pacing && f->engine && f->gap_us &&
	       f->kind == DSP__ROUTE_KIND__ROUTE_STREAM &&
	       bal_is_large(f->edge->bal);
}

/* Has the attempt go through another instance if this one has lost its path to
 * the endpoint. Returns the address to send it to, owned, or NULL: directly. */
static char *take_detour(struct attempt *at, GString *head)
{
	struct fwd *f = at->fwd;
	const Dsp__Node *helper =
		edge_detour_helper(f->edge->detour, bal_id(at->endpoint),
				   (const char *const *)f->helpers);
	char *address = NULL;

	if (helper)
		address = edge_detour_begin(
			f->edge->detour, head, helper, at->endpoint,
			f->deadline_us - at->sent_us, reuse_idle_us(f));
	if (address)
		at->helper = g_strdup(helper->id);
	return address;
}

static void send_to(struct fwd *f, struct bal_endpoint *endpoint)
{
	const struct hio_request *request = hio_exchange_request(f->exchange);
	struct attempt *at = g_new0(struct attempt, 1);
	int64_t now_us = now_of(f);
	g_autofree char *address = NULL;
	struct wire_dispatch what = {
		.endpoint_id = bal_id(endpoint),
		.timeout_us = f->deadline_us - now_us,
		.rank = f->rank,
		.last_event_id = f->last_event_id,
		/* A table without customers may have been replaced since. */
		.keyed = f->keyed || rtab_has_customers(f->edge->routes),
		.customer = f->open && judge_key(f) != KEY_SERVE ? NULL
								 : f->customer,
	};
	struct hio_call_options options = {
		.address = bal_address(endpoint),
		.head = wire_write_request(request, &what),
		.body = request->body,
		.no_answer_body = !strcmp(request->method, "HEAD"),
		.echo_name =
			f->request.request_id ? wire_request_id_field : NULL,
		.echo_value = f->request.request_id,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.reuse_idle_us = reuse_idle_us(f),
		.data = at,
		.head_read = on_headers,
		.body_read = on_body,
		.end = on_end,
		.failed = on_failed,
	};

	if (is_paced(f) && !f->slot.used)
		edge_slots_sent(f->edge->slots, f->request.model, endpoint,
				unread_tokens(f));
	f->slot.used = false;
	if (!f->counted) {
		f->waited_us = now_us - f->start_us;
		met_observe_us(f->edge->met, "dandelionspar_edge_wait_us", "",
			       f->waited_us);
		rep_count_request(edge_budget(f->edge, f->service), now_us);
	}
	f->counted = true;
	at->fwd = f;
	at->id = ++f->n_attempts;
	at->endpoint = endpoint;
	at->sent_us = now_us;
	at->is_repeat = f->repeat_us != 0;
	at->ttfb_us = -1;
	at->sole_prefill = !bal_is_prefilling(endpoint);
	at->body = g_byte_array_new();
	address = take_detour(at, options.head);
	if (address) {
		options.address = address;
		/* The helper checks which request an answer is for. It may be
		 * about to close a connection that is idle. */
		options.echo_name = NULL;
		if (!may_repeat(f))
			options.reuse_idle_us = 0;
	}
	at->new_connection = !hio_client_has_idle(
		f->edge->client, options.address, options.reuse_idle_us);
	if (at->is_repeat)
		rep_move(edge_budget(f->edge, f->service), f->repeat_us,
			 now_us);
	f->repeat_us = 0;
	edge_parts_sent(f->edge->parts, &at->parts, &f->prompt, endpoint);
	add_tried(f, bal_id(endpoint));
	f->runs++;
	LIST_INSERT_HEAD(&f->attempts, at, link);
	hdg_add(&f->hedge, at->id, now_us);
	bal_begin(f->edge->bal, endpoint, unread_tokens(f), now_us);
	adm_sent(f->edge->queue, f->group, now_us);
	at->call = hio_call_start(f->edge->client, &options);
	set_request_timer(f);
}

/* Time that an interrupted stream may wait for another endpoint. */
static int64_t resume_wait_us(const struct fwd *f)
{
	int64_t leave_us = MAX(CALLER_STALL_OBJECTIVES * f->objective_us,
			       CALLER_STALL_GAPS * f->gap_us);

	return MAX(leave_us, CALLER_STALL_MIN_US) - RESUME_PREFILL_US;
}

static int64_t wait_limit_us(const struct fwd *f, enum bal_outcome outcome)
{
	double share = PLACE_WAIT_SHARE;

	if (has_part(f))
		return resume_wait_us(f);

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
	case BAL_PAUSED:
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
		       "paused=%u limited=%u leaving=%u hint_age_us=%" PRId64
		       " retry_us=%" PRId64 " view=%" G_GUINT64_FORMAT
		       " waiting=%u expected_us=%" PRId64,
		       log_id(f), f->service, bal_outcome_name(choice->outcome),
		       choice->candidates, choice->paused, choice->limited,
		       choice->leaving, choice->hint_age_us, choice->retry_us,
		       view_index(f->edge->view),
		       adm_length(f->edge->queue, f->group), expected_us);
	give_up(f, MAX(choice->retry_us, expected_us),
		bal_outcome_name(choice->outcome));
}

/* Whether all endpoints that could serve are paused until give_up_us or longer.
 * A stream that has begun waits nevertheless: another endpoint may be added. */
static bool pause_outlasts(const struct fwd *f, const struct bal_choice *choice,
			   int64_t give_up_us)
{
	return !f->headers_sent && choice->outcome == BAL_PAUSED &&
	       now_of(f) + choice->retry_us >= give_up_us;
}

/* Whether endpoints with the version of the stream lack its model. A model is
 * not loaded for a version, so waiting is of no use. */
static bool is_kept_by_version(const struct fwd *f, enum bal_outcome outcome)
{
	return outcome == BAL_NO_MODEL && f->version.software &&
	       edge_versions_are_mixed(f->edge->versions, f->service);
}

/* Queues a request that no endpoint can take now, or refuses it at once when
 * the queue ahead of it is too long. Returns true when it is queued. */
static bool enqueue_or_refuse(struct fwd *f, const struct bal_choice *choice)
{
	int64_t now_us = now_of(f);
	int64_t limit_us = wait_limit_us(f, choice->outcome);
	int64_t expected_us = adm_expected_wait_us(f->edge->queue, f->group,
						   f->customer, now_us);

	if (is_kept_by_version(f, choice->outcome)) {
		give_up(f, -1, "version_without_model");
		return false;
	}
	if (f->engine && !f->miss_reported &&
	    (choice->outcome == BAL_NO_ADAPTER ||
	     choice->outcome == BAL_NO_MODEL ||
	     choice->outcome == BAL_PAUSED)) {
		f->miss_reported = true;
		edge_count_demand(f->edge, f->request.model, f->request.adapter,
				  true);
	}
	if (f->item.queued) {
		/* The reason for the wait may have changed. */
		f->item.give_up_us = MIN(f->item.arrived_us + limit_us,
					 f->deadline_us - REMAINING_MIN_US);
		if (now_us < f->item.give_up_us &&
		    !pause_outlasts(f, choice, f->item.give_up_us))
			return true;
		refuse(f, choice, expected_us);
		return false;
	}
	f->item.give_up_us =
		MIN(now_us + limit_us, f->deadline_us - REMAINING_MIN_US);
	if (pause_outlasts(f, choice, f->item.give_up_us) ||
	    (!has_part(f) &&
	     (expected_us > limit_us || choice->outcome == BAL_NO_OTHER))) {
		refuse(f, choice, expected_us);
		return false;
	}
	f->item.group = f->group;
	f->item.rank = f->rank;
	f->item.customer = f->customer;
	f->item.arrived_us = now_us;
	f->item.objective_us = has_part(f) ? now_us + resume_wait_us(f)
					   : f->start_us + f->objective_us;
	adm_add(f->edge->queue, &f->item);
	set_timer_at(f, f->deadline_us);
	if (!event_pending(f->edge->queue_event, EV_TIMEOUT, NULL))
		set_queue_timer(f->edge);
	return true;
}

/* Bytes of the request and of the expected answer. */
static uint32_t expected_bytes(const struct fwd *f)
{
	return HEADS_BYTES + hio_exchange_request(f->exchange)->body->len +
	       EVENT_BYTES * f->events_expected;
}

/* Uses the engine that a coordinator has given, if there is one and it is still
 * usable. */
static bool use_slot(struct fwd *f, const struct bal_query *query,
		     struct bal_choice *choice)
{
	bool used;

	if (f->slot.state != EDGE_SLOT_GIVEN)
		return false;
	f->slot.state = EDGE_SLOT_ENDED;
	*choice = bal_choose_named(f->edge->bal, query, f->slot.endpoint,
				   f->slot.incarnation, now_of(f));
	used = choice->outcome == BAL_CHOSEN &&
	       now_of(f) - f->slot.at_us <= SLOT_LATE_MAX_US;
	f->slot.used = used;
	met_count(f->edge->met, "dandelionspar_edge_prompt_slots",
		  used ? "outcome=\"used\"" : "outcome=\"fallback\"", 1);
	return used;
}

static bool is_connected(const void *data, const char *address)
{
	const struct fwd *f = data;

	return hio_client_has_idle(f->edge->client, address, reuse_idle_us(f));
}

static struct bal_choice choose_endpoint(struct fwd *f)
{
	struct bal_query query = {
		.service = f->service,
		.model = f->engine ? f->request.model : NULL,
		.adapter = f->engine ? f->request.adapter : NULL,
		.tokens = f->request.tokens_in,
		.events = f->events_expected,
		.prefix = f->request.prefix,
		.bytes = expected_bytes(f),
		.gap_objective_us = f->gap_us,
		.remaining_us = f->deadline_us - now_of(f),
		.may_wait = f->engine &&
			    now_of(f) - f->start_us <
				    f->objective_us / BETTER_WAIT_DIVISOR,
		.resumed = has_part(f),
		.software = f->version.software,
		.avoid = (const char *const *)f->tried,
		.is_connected = is_connected,
		.data = f,
	};
	struct bal_choice choice;

	if (use_slot(f, &query, &choice))
		return choice;
	return bal_choose(f->edge->bal, &query, now_of(f));
}

/* Whether a coordinator is asked where and when to send the request: for the
 * first attempt of a stream with a gap objective, if no others are ahead. */
static bool wants_slot(const struct fwd *f)
{
	return is_paced(f) && !f->n_attempts && !f->item.queued &&
	       !f->headers_sent && !adm_length(f->edge->queue, f->group);
}

/* Returns whether the request waits for its coordinator, or for the time that
 * it gave. */
static bool wait_for_slot(struct fwd *f)
{
	int64_t wait_us = CLAMP(f->start_us + f->objective_us - SLOT_MARGIN_US -
					now_of(f),
				0, SLOT_WAIT_MAX_US);
	Dsp__PromptAsk ask = DSP__PROMPT_ASK__INIT;

	if (f->slot.state == EDGE_SLOT_NONE && wants_slot(f)) {
		ask.service = f->service;
		ask.model = f->request.model;
		ask.adapter = f->request.adapter ? f->request.adapter : "";
		ask.tokens = unread_tokens(f);
		ask.events = f->events_expected;
		ask.prefix = f->request.prefix;
		ask.gap_objective_ms = (uint32_t)(f->gap_us / 1000);
		ask.wait_max_ms = (uint32_t)(wait_us / 1000);
		f->slot.request_id = f->request.request_id;
		edge_slot_ask(f->edge->slots, &f->slot, &ask);
	}
	if (f->slot.state == EDGE_SLOT_ASKED) {
		set_timer_at(f, f->deadline_us);
		return true;
	}
	if (f->slot.state != EDGE_SLOT_GIVEN || now_of(f) >= f->slot.at_us)
		return false;
	set_timer_at(f, MIN(f->slot.at_us, f->deadline_us));
	return true;
}

/* Counts the age of the load that a choice was made by. */
static void count_load_age(const struct fwd *f, const struct bal_choice *choice)
{
	if (choice->load_age_s < 0)
		met_count(f->edge->met, "dandelionspar_edge_sends_without_load",
			  "", 1);
	else
		met_observe_us(f->edge->met, "dandelionspar_edge_load_age_us",
			       "", (int64_t)(choice->load_age_s * 1e6));
}

static void send_to_choice(struct fwd *f, const struct bal_choice *choice)
{
	int64_t left_us = f->deadline_us - now_of(f);

	send_to(f, choice->endpoint);
	count_load_age(f, choice);
	if (f->edge->set->edge.site_ms_per_kb > 0)
		met_count(f->edge->met, "dandelionspar_edge_sends",
			  choice->leaves_site ? "site=\"other\""
					      : "site=\"own\"",
			  1);
	LOG_EVENT_INFO("fwd", "send",
		       "request=%s endpoint=%s via=%s candidates=%u "
		       "cost_ms=%.0f "
		       "load=%.1f load_age_s=%.2f slowness=%.2f "
		       "slowness_age_us=%" PRId64 " leaves_site=%d "
		       "site_cost_ms=%.1f view=%" G_GUINT64_FORMAT
		       " view_age_us=%" PRId64 " left_us=%" PRId64,
		       log_id(f), bal_id(choice->endpoint),
		       LIST_FIRST(&f->attempts)->helper
			       ? LIST_FIRST(&f->attempts)->helper
			       : "-",
		       choice->candidates, choice->cost_ms, choice->load,
		       choice->load_age_s, choice->slowness,
		       choice->slowness_age_us, choice->leaves_site,
		       choice->site_cost_ms, view_index(f->edge->view),
		       ctl_state(f->edge->ctl).stale_us, left_us);
}

/* Refuses a request that is in doubt, or has a part that is. */
static void refuse_part(struct fwd *f, int64_t retry_us)
{
	give_up(f, CLAMP(retry_us, PART_RETRY_MIN_US, PART_RETRY_MAX_US),
		f->suspect ? "suspect_request" : "suspect_part");
}

/* Asks for a grant to send a request with a part in doubt to an endpoint, which
 * is kept for it. The request waits as long as it could in the queue. */
static void ask_for_trial(struct fwd *f, struct bal_endpoint *endpoint,
			  const struct sus_decision *decision)
{
	int64_t now_us = now_of(f);
	int64_t limit_us = MIN(wait_limit_us(f, BAL_CHOSEN),
			       f->deadline_us - REMAINING_MIN_US - now_us);

	f->trial_endpoint = endpoint;
	bal_begin(f->edge->bal, endpoint, unread_tokens(f), now_us);
	edge_parts_try(f->edge->parts, &f->prompt, decision, endpoint,
		       MAX(limit_us, 1));
	set_timer_at(f, f->deadline_us);
}

/* Lets a request wait for the run of another one that decides about it, or for
 * an endpoint to run it at. It is refused if that takes too long. */
static void wait_for_verdict(struct fwd *f)
{
	int64_t now_us = now_of(f);

	if (!f->verdict_us) {
		f->verdict_us = now_us + wait_limit_us(f, BAL_CHOSEN);
		LOG_EVENT_INFO("fwd", "wait_for_verdict",
			       "request=%s digest=%s runs=%u limit_us=%" PRId64,
			       log_id(f), f->prompt.digest, f->runs,
			       f->verdict_us - now_us);
	}
	if (now_us >= f->verdict_us)
		refuse_part(f, TRIAL_RETRY_US);
	else
		set_timer_at(f, now_us + QUEUE_POLL_US);
}

/* Goes on with a request that has waited for a grant. */
void fwd_trial_decided(struct edge_prompt *prompt, enum fwd_trial outcome)
{
	struct fwd *f = fwd_from_prompt(prompt);

	if (is_too_late(f))
		outcome = FWD_DENIED;
	switch (outcome) {
	case FWD_GRANTED:
		if (!check_key(f))
			break;
		send_to(f, f->trial_endpoint);
		release_trial_endpoint(f);
		break;
	case FWD_LATER:
		release_trial_endpoint(f);
		wait_for_verdict(f);
		break;
	case FWD_DENIED:
		refuse_part(f, TRIAL_RETRY_US);
		break;
	}
}

/*
 * Returns whether it is known where the request may be sent, as far as the
 * version of its stream matters. Otherwise it waits for the leader's answer, or
 * was ended: a stream that can't be resumed is refused at once.
 */
static bool check_version(struct fwd *f)
{
	struct edge_version *version = &f->version;

	if (version->state == EDGE_VERSION_NONE && is_continuation(f))
		edge_version_find(f->edge->versions, version,
				  f->request.resumes, f->service);
	switch (version->state) {
	case EDGE_VERSION_NONE:
		return true;
	case EDGE_VERSION_ASKED:
		set_timer_at(f, f->deadline_us);
		return false;
	case EDGE_VERSION_KNOWN:
		/* Where there is one version, endpoints of it may be added. */
		if (!version->software ||
		    !edge_versions_are_mixed(f->edge->versions, f->service) ||
		    bal_has_software(f->edge->bal, f->service,
				     version->software))
			return true;
		give_up(f, -1, "version_left");
		return false;
	case EDGE_VERSION_UNKNOWN:
		if (!edge_versions_are_mixed(f->edge->versions, f->service) &&
		    f->begun)
			return true;
		give_up(f, -1, "version_unknown");
		return false;
	case EDGE_VERSION_UNANSWERED:
		give_up(f, VIEW_RETRY_AFTER_US, "version_unanswered");
		return false;
	}
	return true;
}

/*
 * Sends the request to the best endpoint, queues it, or ends it. Returns true
 * when it is queued; otherwise it may have been freed.
 */
static bool dispatch(struct fwd *f)
{
	struct bal_choice choice = { .outcome = BAL_PREFILL_BUSY };
	struct sus_decision decision;

	if (is_too_late(f)) {
		give_up(f, -1, "deadline");
		return false;
	}
	if (!check_key(f) || !check_version(f))
		return false;
	decision = edge_parts_decide(f->edge->parts, &f->prompt);
	f->suspect = decision.request;
	if (decision.action == SUS_REFUSE) {
		refuse_part(f, decision.retry_us);
		return false;
	}
	if (decision.action == SUS_WAIT) {
		adm_remove(f->edge->queue, &f->item);
		wait_for_verdict(f);
		return false;
	}
	if (decision.action == SUS_SEND && wait_for_slot(f))
		return false;
	forget_unreached(f);
	/* Queued requests of the same group come first. */
	if (f->item.queued || has_part(f) || f->slot.state == EDGE_SLOT_GIVEN ||
	    !adm_length(f->edge->queue, f->group))
		choice = choose_endpoint(f);
	if (choice.outcome != BAL_CHOSEN && decision.action == SUS_TRY &&
	    !decision.request) {
		refuse_part(f, TRIAL_RETRY_US);
		return false;
	}
	if (choice.outcome == BAL_NO_OTHER && !f->item.queued &&
	    wait_for_helper(f))
		return false;
	if (choice.outcome != BAL_CHOSEN)
		return enqueue_or_refuse(f, &choice);
	adm_remove(f->edge->queue, &f->item);
	if (!f->runs && !edge_quota_keep(f->edge->quota, &f->quota)) {
		/* Its units became too old in the queue. */
		set_timer_at(f, f->deadline_us);
		return false;
	}
	if (decision.action == SUS_TRY)
		ask_for_trial(f, choice.endpoint, &decision);
	else
		send_to_choice(f, &choice);
	return false;
}

/* Goes on with a request that has waited for the version of its stream. */
void fwd_version_found(struct edge_version *item)
{
	struct fwd *f =
		(struct fwd *)((char *)item - offsetof(struct fwd, version));

	LOG_EVENT_INFO("fwd", "version_found",
		       "request=%s resumes=%.64s service=%s state=%d "
		       "software=\"%s\" waited_us=%" PRId64
		       " view=%" G_GUINT64_FORMAT " view_age_us=%" PRId64,
		       log_id(f), f->request.resumes, f->service,
		       (int)item->state, item->software ? item->software : "",
		       now_of(f) - f->start_us, view_index(f->edge->view),
		       ctl_state(f->edge->ctl).stale_us);
	dispatch(f);
}

/* Goes on with a request that has waited for its coordinator. */
void fwd_slot_decided(struct edge_slot *slot)
{
	dispatch((struct fwd *)((char *)slot - offsetof(struct fwd, slot)));
}

/*
 * Sends the request of a silent endpoint to another one as well. If there is
 * none, or the retry budget is used up, it is tried again later. The attempts
 * under way go on: their endpoints may still respond.
 */
static void hedge(struct fwd *f)
{
	struct bal_choice choice = { .outcome = BAL_NO_OTHER };

	forget_unreached(f);
	if (f->n_tried < TRIED_MAX && !is_too_late(f))
		choice = choose_endpoint(f);
	if (choice.outcome != BAL_CHOSEN || !may_send(f) ||
	    !edge_parts_are_sound(f->edge->parts, &f->prompt) ||
	    !take_repeat(f)) {
		hdg_put_off(&f->hedge, now_of(f));
		return;
	}
	log_hedge(LIST_FIRST(&f->attempts), "sent", "silent");
	send_to_choice(f, &choice);
}

/* Uses the attempt that has begun to answer, after its grace. */
static void use_winner(struct fwd *f, int64_t now_us)
{
	unsigned id = hdg_winner(&f->hedge, now_us);
	struct attempt *at;

	if (!id)
		return;
	LIST_FOREACH (at, &f->attempts, link)
		if (at->id == id)
			break;
	use_attempt(at);
	begin_reply(at);
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	struct fwd *f = data;
	int64_t now_us = now_of(f);

	(void)fd;
	(void)what;
	if (now_us + 1000 >= f->deadline_us) {
		give_up(f, -1, "deadline");
		return;
	}
	if (f->item.queued || f->broken_reason || f->trial_endpoint ||
	    f->version.state == EDGE_VERSION_ASKED ||
	    f->quota.state == TOK_WAITING || f->quota.decided) {
		set_timer_at(f, f->deadline_us);
		return;
	}
	if (LIST_EMPTY(&f->attempts)) {
		dispatch(f);
		return;
	}
	use_winner(f, now_us);
	if (can_retry(f) &&
	    hdg_take_silence(&f->hedge, silence_limit_us(f), now_us))
		hedge(f);
	set_request_timer(f);
}

/* ---- Start of a request ---- */

static void refuse_unrouted(struct edge *ctx, struct hio_exchange *exchange,
			    const char *request_id, int status,
			    const char *reason)
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
		    status == 503
			    ? retry_after_s_with_jitter(VIEW_RETRY_AFTER_US)
			    : -1,
		    reason);
}

/* When a draining instance has answered all requests. */
static int64_t drain_end_us(const struct edge *ctx)
{
	return ctx->drain_start_us +
	       MAX(ctx->set->edge.drain_limit_ms * 1000LL - DRAIN_ANSWER_US, 0);
}

/* Brings the deadlines of all requests forward to the end of the drain, which
 * has begun: those that are unanswered then get an error instead of a closed
 * connection. */
void fwd_drain(struct edge *ctx)
{
	int64_t end_us = drain_end_us(ctx);
	struct fwd *f;

	LIST_FOREACH (f, &ctx->forwards, link) {
		if (f->deadline_us <= end_us)
			continue;
		f->deadline_us = end_us;
		if (LIST_EMPTY(&f->attempts))
			set_timer_at(f, now_of(f) + QUEUE_POLL_US);
		else
			set_request_timer(f);
	}
}

/*
 * True when this instance stops too soon for a new request, so that callers
 * with an outdated list of entries go elsewhere before any work is done.
 */
static bool stops_too_soon(const struct edge *ctx, const Dsp__Route *route)
{
	int64_t left_us;

	if (!ctx->draining)
		return false;
	left_us = drain_end_us(ctx) - clk_now_us(ctx->clock);
	switch (route->kind) {
	case DSP__ROUTE_KIND__ROUTE_STREAM:
		return left_us < DRAIN_STREAM_MIN_US;
	case DSP__ROUTE_KIND__ROUTE_NON_IDEMPOTENT:
		/* Elsewhere its outcome is known for certain. */
		return left_us < route->timeout_ms * 1000LL;
	default:
		return left_us <
		       MIN(route->timeout_ms * 1000LL, DRAIN_PLAIN_MIN_US);
	}
}

/* Requests of one group wait for the same endpoints. */
static const char *queue_group(const struct fwd *f)
{
	char *name = g_strdup_printf(
		"%s/%s/%s", f->service, f->engine ? f->request.model : "",
		f->engine && f->request.adapter ? f->request.adapter : "");
	const char *group = adm_intern_group(f->edge->queue, name);

	g_free(name);
	return group;
}

static struct fwd *fwd_new(struct edge *ctx, struct hio_exchange *exchange,
			   const Dsp__Route *route, const char *service,
			   const Dsp__Customer *customer, int64_t arrived_us)
{
	const Dsp__RoutedService *target = rtab_service(ctx->routes, service);
	struct fwd *f = g_new0(struct fwd, 1);
	int64_t limit_us = route->timeout_ms * 1000LL;

	f->edge = ctx;
	f->exchange = exchange;
	f->timer = event_new(ctx->base, -1, 0, on_timer, f);
	wire_read_request(&hio_exchange_request(exchange)->fields, &f->request);
	edge_parts_read(ctx->parts, &f->prompt, &f->request,
			hio_exchange_request(exchange));
	f->route = g_strdup(route->name);
	f->service = g_strdup(service);
	f->kind = route->kind;
	f->rank = route->rank;
	f->keyed = rtab_has_customers(ctx->routes);
	f->open = route->open;
	if (customer) {
		wire_read_key(&hio_exchange_request(exchange)->fields, f->key);
		f->customer = g_strdup(customer->name);
		if (customer->has_rank)
			f->rank = customer->rank;
	}
	f->attempts_max = route->attempts_max;
	f->resumable = route->resumable;
	f->engine = target && target->engine && f->request.model;
	if (f->engine && f->kind == DSP__ROUTE_KIND__ROUTE_STREAM)
		f->events_expected = f->request.tokens_out /
				     MAX(target->engine->tokens_per_event, 1);
	f->objective_us = route->objective_ms * 1000LL;
	f->gap_us = route->gap_objective_ms * 1000LL;
	f->table_number = ctx->table->number;
	f->start_us = arrived_us;
	if (f->request.timeout_us > 0)
		limit_us = MIN(limit_us, f->request.timeout_us);
	f->deadline_us = f->start_us + MIN(limit_us, DEADLINE_MAX_US);
	hio_exchange_set_deadline(exchange, f->deadline_us);
	if (ctx->draining)
		f->deadline_us = MIN(f->deadline_us, drain_end_us(ctx));
	f->ttfb_us = -1;
	f->group = queue_group(f);
	LIST_INIT(&f->attempts);
	LIST_INSERT_HEAD(&ctx->forwards, f, link);
	ctx->in_flight++;
	hio_exchange_set_data(exchange, f);
	return f;
}

/*
 * Finds the customer whose key the request carries, if the table has customers.
 * Returns false if the request was refused: without a valid key it may use open
 * routes only.
 */
static bool find_customer(struct edge *ctx, struct hio_exchange *exchange,
			  const Dsp__Route *route, const Dsp__Customer **out)
{
	const struct hio_fields *fields =
		&hio_exchange_request(exchange)->fields;
	const char *id = hio_field(fields, wire_request_id_field);
	uint8_t digest[RTAB_KEY_DIGEST_LEN];
	struct key_question question = { .keyed = true, .open = route->open };
	enum key_verdict verdict;

	*out = NULL;
	if (!rtab_has_customers(ctx->routes))
		return true;
	if (wire_read_key(fields, digest))
		*out = rtab_customer(ctx->routes, digest);
	question.owned = *out != NULL;
	question.leased = edge_has_lease(ctx);
	question.isolated = ctl_state(ctx->ctl).readiness == CTL_ISOLATED;
	verdict = key_decide(&question);
	if (verdict == KEY_SERVE)
		return true;
	if (verdict != KEY_SERVE_UNNAMED)
		count_customer(ctx, *out ? (*out)->name : NULL, "refused",
			       key_reason(verdict));
	if (verdict == KEY_NO_LEASE)
		LOG_EVENT_INFO(
			"fwd", "no_lease",
			"request=%s customer=\"%s\" lease_age_us=%" PRId64
			" revoke_ms=%u view=%" G_GUINT64_FORMAT,
			id ? id : "-", *out ? (*out)->name : "",
			ctx->lease.start_us ? lse_age_us(&ctx->lease,
							 clk_now_us(ctx->clock))
					    : (int64_t)-1,
			ctx->set->edge.key_revoke_ms, view_index(ctx->view));
	*out = NULL;
	if (verdict == KEY_SERVE_UNNAMED)
		return true;
	refuse_unrouted(ctx, exchange, id, key_status(verdict),
			key_reason(verdict));
	return false;
}

static int64_t quota_wait_us(const struct fwd *f)
{
	return CLAMP((int64_t)(QUOTA_WAIT_SHARE * (double)f->objective_us),
		     QUOTA_WAIT_MIN_US, QUOTA_WAIT_MAX_US);
}

/* Refuses a request that is over the limit of its customer. */
static void refuse_over_limit(struct fwd *f)
{
	int64_t retry_us = edge_quota_retry_us(f->edge->quota, f->customer,
					       f->quota.retry_us);

	LOG_EVENT_INFO("fwd", "over_limit",
		       "request=%s customer=\"%s\" units=%" PRIu64
		       " room_us=%" PRId64 " retry_us=%" PRId64
		       " grant_age_us=%" PRId64 " table=%" G_GUINT64_FORMAT,
		       log_id(f), f->customer, f->quota.units,
		       f->quota.retry_us, retry_us,
		       edge_quota_grant_age_us(f->edge->quota),
		       f->table_number);
	reply_failure(f, 429, retry_us, "over_limit");
}

static void refuse_no_grant(struct fwd *f)
{
	LOG_EVENT_INFO("fwd", "no_grant",
		       "request=%s customer=\"%s\" units=%" PRIu64
		       " waited_us=%" PRId64 " grant_age_us=%" PRId64
		       " view_age_us=%" PRId64,
		       log_id(f), f->customer, f->quota.units,
		       now_of(f) - f->start_us,
		       edge_quota_grant_age_us(f->edge->quota),
		       ctl_state(f->edge->ctl).stale_us);
	reply_failure(f, 503, NO_GRANT_RETRY_US, "no_grant");
}

/* Goes on with a request after its units were taken, or could not be. */
static void go_on(struct fwd *f, enum tok_state state)
{
	switch (state) {
	case TOK_NONE:
	case TOK_HELD:
		dispatch(f);
		break;
	case TOK_WAITING:
		set_timer_at(f, f->deadline_us);
		break;
	case TOK_DENIED:
		refuse_over_limit(f);
		break;
	case TOK_NO_GRANT:
		refuse_no_grant(f);
		break;
	}
}

/* Goes on with a request that has waited for units of its customer. */
void fwd_quota_decided(struct tok_item *item)
{
	struct fwd *f =
		(struct fwd *)((char *)item - offsetof(struct fwd, quota));

	edge_quota_waited(f->edge->quota, f->customer,
			  now_of(f) - item->begun_us);
	go_on(f, item->state);
}

/* Routes a caller's request and dispatches it. */
static void begin_request(struct edge *ctx, struct hio_exchange *exchange,
			  int64_t arrived_us)
{
	const struct hio_request *request = hio_exchange_request(exchange);
	const char *id = hio_field(&request->fields, wire_request_id_field);
	const char *host = hio_field(&request->fields, "Host");
	const Dsp__Customer *customer;
	const Dsp__Route *route;
	const char *service;
	struct fwd *f;

	if (!ctx->routes) {
		refuse_unrouted(ctx, exchange, id, 503, "no_route_table");
		return;
	}
	route = host ? rtab_match(ctx->routes, host, request->target) : NULL;
	if (!route && ctl_state(ctx->ctl).readiness == CTL_ISOLATED) {
		/* The route may have been added since. */
		refuse_unrouted(ctx, exchange, id, 503, "no_route_in_old_view");
		return;
	}
	if (!route) {
		refuse_unrouted(ctx, exchange, id, 404, "no_route");
		return;
	}
	if (!find_customer(ctx, exchange, route, &customer))
		return;
	service = rtab_draw(route, g_random_int());
	if (!service) {
		refuse_unrouted(ctx, exchange, id, 503, "no_service");
		return;
	}
	if (stops_too_soon(ctx, route)) {
		refuse_unrouted(ctx, exchange, id, 503, "stopping");
		return;
	}
	f = fwd_new(ctx, exchange, route, service, customer, arrived_us);
	if (f->engine)
		edge_count_demand(ctx, f->request.model, f->request.adapter,
				  false);
	go_on(f, edge_quota_take(ctx->quota, &f->quota, customer, &f->request,
				 quota_wait_us(f)));
}

/* Holds a request until this instance has a confirmed view. */
static void hold_request(struct edge *ctx, struct hio_exchange *exchange)
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
	const char *id = hio_field(&request->fields, wire_request_id_field);

	switch (ctl_state(ctx->ctl).readiness) {
	case CTL_STARTING:
		if (ctx->n_held < HELD_MAX && !ctx->draining)
			hold_request(ctx, exchange);
		else
			refuse_unrouted(ctx, exchange, id, 503,
					"no_confirmed_view");
		return;
	case CTL_STALE:
		refuse_unrouted(ctx, exchange, id, 503, "no_confirmed_view");
		return;
	case CTL_SERVING:
	case CTL_ISOLATED:
	case CTL_DRAINING:
		break;
	}
	begin_request(ctx, exchange, clk_now_us(ctx->clock));
}

/*
 * Processes held requests: starts all of them once the view is confirmed, and
 * refuses those that have waited too long. After a power loss of all machines
 * every caller returns at once, and most of them only once, while the first
 * view takes less than a second.
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
			refuse_unrouted(ctx, exchange,
					hio_field(&request->fields,
						  wire_request_id_field),
					503, "no_confirmed_view");
		else
			begin_request(ctx, exchange, arrived_us);
	}
}

/* Removes a held request whose caller has disconnected. */
static void remove_held(struct edge *ctx, const struct hio_exchange *exchange)
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

/* Cancels the request of a caller that has disconnected, at the endpoint too;
 * callback of the server. */
void fwd_caller_left(void *data, struct hio_exchange *exchange)
{
	struct fwd *f = hio_exchange_data(exchange);

	if (!f) {
		remove_held(data, exchange);
		return;
	}
	cancel_attempts(f);
	log_end(f, "caller_left", 0, "-");
	fwd_free(f);
}

static struct fwd *fwd_from_item(struct adm_item *item)
{
	return (struct fwd *)((char *)item - offsetof(struct fwd, item));
}

static bool contains_group(const char *const *groups, size_t n,
			   const char *group)
{
	for (size_t i = 0; i < n; i++)
		if (groups[i] == group)
			return true;
	return false;
}

/* Tries queued requests in order, in each group until one finds no endpoint.
 * Expired requests are tried once more and then refused. */
void fwd_run_queue(struct edge *ctx)
{
	const char *failed[QUEUE_TRIES_MAX];
	size_t n_failed = 0;
	int64_t now_us = clk_now_us(ctx->clock);
	struct adm_item *item = adm_next(ctx->queue, NULL, now_us);

	while (item && n_failed < QUEUE_TRIES_MAX) {
		struct adm_item *next = adm_next(ctx->queue, item, now_us);
		const char *group = item->group;
		bool group_blocked = contains_group(failed, n_failed, group);

		if ((!group_blocked || now_us >= item->give_up_us) &&
		    dispatch(fwd_from_item(item)))
			failed[n_failed++] = group;
		item = next;
	}
	if (adm_total(ctx->queue))
		set_queue_timer(ctx);
}

/* Aborts all requests when the process ends. */
void fwd_abort_all(struct edge *ctx)
{
	while (!STAILQ_EMPTY(&ctx->held))
		remove_held(ctx, STAILQ_FIRST(&ctx->held)->exchange);
	while (!LIST_EMPTY(&ctx->forwards)) {
		struct fwd *f = LIST_FIRST(&ctx->forwards);

		hio_exchange_set_data(f->exchange, NULL);
		cancel_attempts(f);
		log_end(f, "stopped", 0, "-");
		fwd_free(f);
	}
}
