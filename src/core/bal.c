#include "core/bal.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of a new value in the averages of times and failures. */
#define AVERAGE_SHARE 0.1
/* A reported load counts in full for this long, then fades. */
#define REPORT_FRESH_US 500000
#define REPORT_FADE_US 2500000
/* An endpoint that was not reached, or failed that many requests in a row, is
 * left alone; doubled with each further time. */
#define AVOID_US 1000000
#define AVOID_MAX_US 8000000
#define FAILURES_MAX 3
/* An unfinished start of a plain endpoint's queue is worth waiting for: a
 * request waits for up to this many requests for each place. */
#define PLAIN_QUEUE_SHARE 3.0
/* Engines slow down for all when their batch is full; few wait. */
#define ENGINE_QUEUE_SHARE 0.125
/* An endpoint that refused a request is full for about this long. */
#define FULL_US 250000
/* Prompts that all instances together send to an engine before it has read
 * them: more would only wait there, where they can't be put in order or sent
 * elsewhere. Short prompts are read together. */
#define READING_TOTAL 8
#define READING_TOKENS 700
/* An engine gets no prompt while the time between events of its streams is
 * above this part of the longest good pause. Events younger than RECENT_US
 * count, the last ones with this weight. */
#define GAP_SHARE_MAX 0.25
#define RECENT_US 400000
/* Part of that limit by which instances differ, and the time after which the
 * next one has the highest. */
#define TURN_SHARE 0.5
#define TURN_US 200000
#define RECENT_SHARE 0.3
/* Until it is measured: time to read a token of a prompt. */
#define TOKEN_MS 0.06
/* A plain request, until it is measured. */
#define PLAIN_MS 60.0
/* Costs in milliseconds: of an endpoint that fails each request; of a full
 * batch; and of the endpoint that is farthest from the one this instance
 * prefers. */
#define FAILURE_COST_MS 3000.0
#define BATCH_COST_MS 120.0
#define DISTANCE_COST_MS 60.0
/* Part of a stream's expected duration that counts, so that long ones prefer
 * fast engines. */
#define DURATION_WEIGHT 0.05
/* Cost of an engine at which the stream would take more than this part of the
 * time that is left: it would be cut before its end. */
#define DEADLINE_SHARE 0.7
#define DEADLINE_COST_MS 2000.0
/* Cost of an engine all of whose streams pause too long; weight of one stream
 * in that share, and the time after which an engine is tried again. */
#define LATE_COST_MS 2500.0
#define LATE_SHARE 0.15
#define LATE_KEEP_S 8.0
/* A request waits for an engine that is better by this. */
#define WAIT_GAIN_MS 400.0
/* Gain of the endpoint that all instances prefer for a prompt's prefix. */
#define AFFINITY_GAIN_MS 12.0
/* Time after which a caller of a full service should come back. */
#define RETRY_PLAIN_US 400000
#define RETRY_ENGINE_US 2500000
/* A model is loaded within some seconds, an adapter within some milliseconds
 * once another one has made room. */
#define RETRY_NONE_US 700000
#define RETRY_MODEL_US 3000000
#define RETRY_ADAPTER_US 500000

struct bal_endpoint {
	char *id;
	uint64_t incarnation;
	char *address;
	const Dsp__Endpoint *msg; /* of the view; NULL: no longer listed */
	uint32_t own;		  /* requests in flight of this instance */
	uint32_t reported;	  /* running and waiting, as of reported_us */
	uint32_t own_at_report;
	int64_t reported_us; /* 0: never */
	uint32_t unread;  /* prompt tokens of requests without a first byte */
	uint32_t reading; /* requests without a first byte */
	double first_ms;  /* average time to the first byte; 0: unknown */
	double token_ms;  /* of it for each token of the prompt */
	double gap_ms;	  /* between events of a stream; 0: unknown */
	double late;	  /* share of streams that paused too long */
	int64_t late_us;  /* when it was learned */
	double recent_ms; /* between the latest events; 0: unknown */
	int64_t event_us; /* the last event */
	double failures;  /* average share */
	unsigned failed_in_row;
	unsigned avoided; /* times in a row */
	int64_t avoid_until_us;
	int64_t full_until_us; /* it refused a request for lack of places */
	bool replaced;
};

struct bal {
	struct view *view;
	GHashTable *endpoints; /* id -> struct bal_endpoint */
	double token_ms;       /* average of all engines; 0: unknown */
	double gap_ms;	       /* likewise */
	double plain_ms;       /* to the first byte, of all plain endpoints */
	unsigned position;     /* of this instance among the entries */
	unsigned entries;
};

static void endpoint_free(void *data)
{
	struct bal_endpoint *e = data;

	g_free(e->id);
	g_free(e->address);
	g_free(e);
}

/* Creates a balancer that knows no endpoint. */
struct bal *bal_new(void)
{
	struct bal *ctx = g_new0(struct bal, 1);

	ctx->view = view_new_empty();
	ctx->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->entries = 1;
	return ctx;
}

/* Frees the balancer; NULL is allowed. */
void bal_free(struct bal *ctx)
{
	GHashTableIter iter;
	void *e;

	if (!ctx)
		return;
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &e))
		endpoint_free(e);
	g_hash_table_destroy(ctx->endpoints);
	view_unref(ctx->view);
	g_free(ctx);
}

static struct bal_endpoint *endpoint_new(const Dsp__Endpoint *msg)
{
	struct bal_endpoint *e = g_new0(struct bal_endpoint, 1);

	e->id = g_strdup(msg->id);
	e->incarnation = msg->incarnation;
	e->address = g_strdup(msg->address);
	return e;
}

static void unlist(struct bal_endpoint *e)
{
	e->msg = NULL;
	if (!e->own)
		endpoint_free(e);
}

static void find_position(struct bal *ctx, const struct view *view,
			  const char *self)
{
	ctx->entries = 0;
	ctx->position = 0;
	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		if (!node->http_address[0] || node->down)
			continue;
		if (!strcmp(node->id, self))
			ctx->position = ctx->entries;
		ctx->entries++;
	}
	ctx->entries = MAX(ctx->entries, 1);
}

/* Takes a new view; endpoints keep what was learned of their process. */
void bal_set_view(struct bal *ctx, struct view *view, const char *self)
{
	GHashTable *next = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *value;

	for (size_t i = 0; i < view_n_endpoints(view); i++) {
		const Dsp__Endpoint *msg = view_endpoint_at(view, i);
		struct bal_endpoint *e =
			g_hash_table_lookup(ctx->endpoints, msg->id);

		if (e && (e->incarnation != msg->incarnation ||
			  strcmp(e->address, msg->address) != 0))
			e = NULL;
		if (e)
			g_hash_table_remove(ctx->endpoints, msg->id);
		else
			e = endpoint_new(msg);
		e->msg = msg;
		g_hash_table_insert(next, e->id, e);
	}
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		unlist(value);
	g_hash_table_destroy(ctx->endpoints);
	ctx->endpoints = next;
	view_unref(ctx->view);
	ctx->view = view_ref(view);
	find_position(ctx, view, self);
}

/* Returns the number of instances that serve callers, at least 1. */
unsigned bal_entries(const struct bal *ctx)
{
	return ctx->entries;
}

/* Counts a request that is sent to the endpoint. */
void bal_begin(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens)
{
	(void)ctx;
	e->own++;
	e->reading++;
	e->unread += tokens;
}

/* Returns whether the endpoint reads prompts of this instance. */
bool bal_is_prefilling(const struct bal_endpoint *e)
{
	return e->reading > 0;
}

static void average(double *value, double sample)
{
	if (*value > 0)
		*value += AVERAGE_SHARE * (sample - *value);
	else
		*value = sample;
}

static void end_reading(struct bal_endpoint *e, uint32_t tokens)
{
	e->reading -= MIN(e->reading, 1);
	e->unread -= MIN(e->unread, tokens);
}

/* Learns from the time to the first byte. */
void bal_first_byte(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
		    int64_t first_us, bool alone)
{
	double first_ms = (double)first_us / 1000;

	end_reading(e, tokens);
	average(&e->first_ms, first_ms);
	if (!e->msg || e->msg->kind == DSP__ENDPOINT_KIND__ENDPOINT_SERVICE)
		average(&ctx->plain_ms, first_ms);
	if (!tokens || !alone)
		return;
	average(&e->token_ms, first_ms / tokens);
	average(&ctx->token_ms, first_ms / tokens);
}

static void avoid(struct bal_endpoint *e, int64_t now_us)
{
	e->avoid_until_us =
		now_us + MIN(AVOID_US << MIN(e->avoided, 3), AVOID_MAX_US);
	e->avoided++;
}

/* Learns how busy an engine is: it reads prompts between the tokens of all its
 * streams, so their events slow down. */
void bal_stream_event(struct bal *ctx, struct bal_endpoint *e, int64_t gap_us,
		      int64_t now_us)
{
	(void)ctx;
	if (now_us - e->event_us > RECENT_US)
		e->recent_ms = 0;
	e->event_us = now_us;
	if (e->recent_ms > 0)
		e->recent_ms +=
			RECENT_SHARE * ((double)gap_us / 1000 - e->recent_ms);
	else
		e->recent_ms = (double)gap_us / 1000;
}

/* Learns the pace of an engine's streams. */
void bal_stream_interval(struct bal *ctx, struct bal_endpoint *e,
			 int64_t gap_us)
{
	average(&e->gap_ms, (double)gap_us / 1000);
	average(&ctx->gap_ms, (double)gap_us / 1000);
}

static double late_share(const struct bal_endpoint *e, int64_t now_us)
{
	double age_s = (double)(now_us - e->late_us) / 1e6;

	return e->late * exp(-age_s / LATE_KEEP_S);
}

/* Learns whether an engine keeps the pauses of its streams short. A slow engine
 * cannot do so while it reads as many prompts as the others. */
void bal_stream_end(struct bal *ctx, struct bal_endpoint *e, bool late,
		    int64_t now_us)
{
	(void)ctx;
	e->late = late_share(e, now_us);
	e->late += LATE_SHARE * ((late ? 1 : 0) - e->late);
	e->late_us = now_us;
}

/* Ends a request; the endpoint may be freed if it is no longer listed. */
void bal_end(struct bal *ctx, struct bal_endpoint *e, enum bal_result result,
	     uint32_t unread_tokens, int64_t now_us)
{
	(void)ctx;
	if (e->own)
		e->own--;
	if (unread_tokens)
		end_reading(e, unread_tokens);
	switch (result) {
	case BAL_ANSWERED:
		e->failures *= 1 - AVERAGE_SHARE;
		e->failed_in_row = 0;
		e->avoided = 0;
		break;
	case BAL_FAILED:
		e->failures += AVERAGE_SHARE * (1 - e->failures);
		if (++e->failed_in_row >= FAILURES_MAX)
			avoid(e, now_us);
		break;
	case BAL_UNREACHED:
		e->failures += AVERAGE_SHARE * (1 - e->failures);
		avoid(e, now_us);
		break;
	case BAL_REPLACED:
		e->replaced = true;
		break;
	case BAL_REFUSED:
		e->full_until_us = now_us + FULL_US;
		break;
	case BAL_CANCELLED:
		break;
	}
	if (!e->msg && !e->own)
		endpoint_free(e);
}

/* Takes the load that an answer carried, as of now. */
void bal_report(struct bal *ctx, struct bal_endpoint *e, uint32_t running,
		uint32_t waiting, int64_t now_us)
{
	(void)ctx;
	e->reported = running + waiting;
	e->own_at_report = e->own;
	e->reported_us = now_us;
}

/* Requests of other instances at the endpoint, as far as is known. */
static double others(const struct bal_endpoint *e, int64_t now_us)
{
	int64_t age_us = now_us - e->reported_us;
	double load;

	if (!e->reported_us || e->reported <= e->own_at_report)
		return 0;
	load = e->reported - e->own_at_report;
	if (age_us <= REPORT_FRESH_US)
		return load;
	if (age_us >= REPORT_FADE_US)
		return 0;
	return load * (double)(REPORT_FADE_US - age_us) /
	       (REPORT_FADE_US - REPORT_FRESH_US);
}

static double load_of(const struct bal_endpoint *e, int64_t now_us)
{
	return e->own + others(e, now_us);
}

static bool is_in(const char *const *list, const char *id)
{
	for (size_t i = 0; list && list[i]; i++)
		if (!strcmp(list[i], id))
			return true;
	return false;
}

static double places_of(const struct bal_endpoint *e, const char *model)
{
	double batch = MAX(e->msg->max_batch, 1);

	return batch * (1 + (model ? ENGINE_QUEUE_SHARE : PLAIN_QUEUE_SHARE));
}

/* Rendezvous hash: each prefix prefers the same endpoint at all instances. */
static uint64_t rank_of(uint64_t prefix, const struct bal_endpoint *e)
{
	uint64_t hash = prefix ^ g_str_hash(e->id) * 0x9e3779b97f4a7c15ull;

	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdull;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ull;
	return hash ^ hash >> 33;
}

struct candidates {
	struct bal_endpoint **all;
	size_t n;
	const struct bal_endpoint *preferred; /* for the prefix */
};

/* Time until the endpoint has read the prompts that this instance sent and the
 * new one. */
static double reading_ms(const struct bal *ctx, const struct bal_endpoint *e,
			 const struct bal_query *query)
{
	double token_ms = e->token_ms > 0     ? e->token_ms
			  : ctx->token_ms > 0 ? ctx->token_ms
					      : TOKEN_MS;

	return token_ms * (e->unread + query->tokens);
}

/* Time until a place of a plain endpoint is free and the request is served. */
static double serving_ms(const struct bal *ctx, const struct bal_endpoint *e,
			 int64_t now_us)
{
	double usual_ms = ctx->plain_ms > 0 ? ctx->plain_ms : PLAIN_MS;
	/* One that is not known yet is worth a try. */
	double once_ms = e->first_ms > 0 ? e->first_ms : usual_ms / 2;
	double ahead = load_of(e, now_us) + 1;

	return once_ms * MAX(ahead / MAX(e->msg->max_batch, 1), 0.25);
}

/* Part of the way around all candidates from the one that this instance
 * prefers; candidates are in the order of their ids. */
static double distance(const struct bal *ctx, size_t i, size_t n)
{
	size_t first = n * ctx->position / ctx->entries;

	return (double)((i + n - first) % n) / (double)n;
}

/* Expected duration of the stream at the pace of the engine's streams. */
static double lasts_ms(const struct bal *ctx, const struct bal_endpoint *e,
		       const struct bal_query *query)
{
	return query->events * (e->gap_ms > 0 ? e->gap_ms : ctx->gap_ms);
}

static double cost_of(const struct bal *ctx, const struct candidates *list,
		      size_t i, const struct bal_query *query, int64_t now_us)
{
	const struct bal_endpoint *e = list->all[i];
	double cost = FAILURE_COST_MS * e->failures;

	if (!query->model)
		return cost + serving_ms(ctx, e, now_us);
	cost += reading_ms(ctx, e, query);
	cost += LATE_COST_MS * late_share(e, now_us);
	cost += DURATION_WEIGHT * lasts_ms(ctx, e, query);
	if (query->remaining_us &&
	    lasts_ms(ctx, e, query) * 1000 >
		    DEADLINE_SHARE * (double)query->remaining_us)
		cost += DEADLINE_COST_MS;
	cost += BATCH_COST_MS * load_of(e, now_us) / MAX(e->msg->max_batch, 1);
	cost += DISTANCE_COST_MS * distance(ctx, i, list->n);
	if (query->prefix && e == list->preferred)
		cost -= AFFINITY_GAIN_MS;
	return cost;
}

static int compare_ids(const void *a, const void *b)
{
	const struct bal_endpoint *x = *(struct bal_endpoint *const *)a;
	const struct bal_endpoint *y = *(struct bal_endpoint *const *)b;

	return strcmp(x->id, y->id);
}

static void find_preferred(struct candidates *list, uint64_t prefix)
{
	uint64_t best = 0;

	qsort(list->all, list->n, sizeof(*list->all), compare_ids);
	for (size_t i = 0; i < list->n; i++) {
		uint64_t rank = rank_of(prefix, list->all[i]);

		if (list->preferred && rank <= best)
			continue;
		list->preferred = list->all[i];
		best = rank;
	}
}

/* How long the engine's streams pause now: while it reads prompts they stand
 * still, which the next event will tell only when it has read them. */
static double pause_us(const struct bal_endpoint *e, int64_t now_us)
{
	int64_t silent_us = now_us - e->event_us;
	bool flowing = e->own > e->reading;

	if (flowing)
		return MAX(e->recent_ms * 1000, (double)silent_us);
	return silent_us < RECENT_US ? e->recent_ms * 1000 : 0;
}

/* Instances take turns, so that they do not all send to an engine at the moment
 * at which it has read what they sent before. */
static double pause_limit_us(const struct bal *ctx,
			     const struct bal_endpoint *e,
			     const struct bal_query *query, int64_t now_us)
{
	uint64_t turn = (uint64_t)(now_us / TURN_US) + ctx->position +
			g_str_hash(e->id);
	double late = (double)(turn % ctx->entries) / ctx->entries;

	return GAP_SHARE_MAX * (1 - TURN_SHARE * late) *
	       (double)query->gap_objective_us;
}

/* Whether the engine has read most of what this instance sent to it, and its
 * streams flow: an engine that reads prompts all the time ends no stream. */
static bool may_read(const struct bal *ctx, const struct bal_endpoint *e,
		     const struct bal_query *query, int64_t now_us)
{
	if (query->model && !query->resumed && query->gap_objective_us &&
	    pause_us(e, now_us) > pause_limit_us(ctx, e, query, now_us))
		return false;
	if (!query->model || query->resumed ||
	    e->reading < MAX(READING_TOTAL / ctx->entries, 1))
		return true;
	return e->unread + query->tokens <= READING_TOKENS;
}

static struct bal_endpoint *cheapest(const struct bal *ctx,
				     const struct candidates *list,
				     const struct bal_query *query,
				     int64_t now_us, struct bal_choice *choice)
{
	struct bal_endpoint *best = NULL;
	double least = INFINITY; /* busy ones included */

	choice->outcome = BAL_FULL;
	for (size_t i = 0; i < list->n; i++) {
		struct bal_endpoint *e = list->all[i];
		double cost;

		if (now_us < e->full_until_us ||
		    load_of(e, now_us) >= places_of(e, query->model))
			continue;
		cost = cost_of(ctx, list, i, query, now_us);
		least = MIN(least, cost);
		if (!may_read(ctx, e, query, now_us)) {
			if (!best)
				choice->outcome = BAL_PREFILL_BUSY;
			continue;
		}
		if (!best || cost < choice->cost_ms) {
			best = e;
			choice->cost_ms = cost;
			choice->outcome = BAL_CHOSEN;
		}
	}
	if (best && query->may_wait && choice->cost_ms > least + WAIT_GAIN_MS) {
		choice->outcome = BAL_PREFILL_BUSY;
		return NULL;
	}
	return best;
}

/* True for endpoints that may get new requests of the service. */
static bool usable(const struct bal_endpoint *e, const struct bal_query *query)
{
	return e->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_UP &&
	       !e->replaced && !strcmp(e->msg->service, query->service);
}

/*
 * Chooses the endpoint with the lowest cost among those that hold what is
 * asked for and have a place. Endpoints that are being avoided are used only
 * when there is no other.
 */
struct bal_choice bal_choose(struct bal *ctx, const struct bal_query *query,
			     int64_t now_us)
{
	struct bal_choice choice = { .outcome = BAL_NO_ENDPOINT,
				     .retry_us = RETRY_NONE_US,
				     .load_age_s = -1 };
	struct candidates list = { 0 };
	struct candidates avoided = { 0 };
	guint size = g_hash_table_size(ctx->endpoints);
	bool has_model = false;
	GHashTableIter iter;
	struct bal_endpoint *e;

	list.all = g_newa(struct bal_endpoint *, size + 1);
	avoided.all = g_newa(struct bal_endpoint *, size + 1);
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (!usable(e, query))
			continue;
		if (choice.outcome == BAL_NO_ENDPOINT) {
			choice.outcome = BAL_NO_MODEL;
			choice.retry_us = RETRY_MODEL_US;
		}
		if (query->model &&
		    !view_ready_copy(e->msg, query->model, NULL))
			continue;
		has_model = true;
		if (query->model && query->adapter &&
		    !view_ready_copy(e->msg, query->model, query->adapter))
			continue;
		choice.candidates++;
		if (is_in(query->avoid, e->id))
			continue;
		if (now_us < e->avoid_until_us)
			avoided.all[avoided.n++] = e;
		else
			list.all[list.n++] = e;
	}
	if (!choice.candidates) {
		if (has_model) {
			choice.outcome = BAL_NO_ADAPTER;
			choice.retry_us = RETRY_ADAPTER_US;
		}
		return choice;
	}
	if (!list.n)
		list = avoided;
	if (!list.n) {
		choice.outcome = BAL_NO_OTHER;
		choice.retry_us =
			query->model ? RETRY_ENGINE_US : RETRY_PLAIN_US;
		return choice;
	}
	find_preferred(&list, query->prefix);
	choice.endpoint = cheapest(ctx, &list, query, now_us, &choice);
	if (!choice.endpoint) {
		choice.retry_us =
			query->model ? RETRY_ENGINE_US : RETRY_PLAIN_US;
		return choice;
	}
	choice.load = load_of(choice.endpoint, now_us);
	if (choice.endpoint->reported_us)
		choice.load_age_s =
			(double)(now_us - choice.endpoint->reported_us) / 1e6;
	return choice;
}

/* Returns the endpoint's id. */
const char *bal_id(const struct bal_endpoint *e)
{
	return e->id;
}

/* Returns the process life of the endpoint. */
uint64_t bal_incarnation(const struct bal_endpoint *e)
{
	return e->incarnation;
}

/* Returns IP:PORT. */
const char *bal_address(const struct bal_endpoint *e)
{
	return e->address;
}

/* Returns the name of an outcome for logs. */
const char *bal_outcome_name(enum bal_outcome outcome)
{
	switch (outcome) {
	case BAL_CHOSEN:
		return "chosen";
	case BAL_NO_ENDPOINT:
		return "no_endpoint";
	case BAL_NO_MODEL:
		return "no_model";
	case BAL_NO_ADAPTER:
		return "no_adapter";
	case BAL_NO_OTHER:
		return "no_other";
	case BAL_PREFILL_BUSY:
		return "reading";
	case BAL_FULL:
		return "full";
	}
	return "unknown";
}
