#include "core/bal.h"

#include <glib.h>
#include <math.h>
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
/* Cost in units of a full endpoint. */
#define FAILURE_COST 3.0
#define AFFINITY_GAIN 0.35
#define SLOW_MIN 0.5
#define SLOW_MAX 4.0
/* Time after which a caller of a full service should come back. */
#define RETRY_FULL_US 400000
#define RETRY_NONE_US 700000
#define RETRY_ADAPTER_US 300000

struct bal_endpoint {
	char *id;
	uint64_t incarnation;
	char *address;
	const Dsp__Endpoint *msg; /* of the view; NULL: no longer listed */
	uint32_t own;		  /* requests in flight of this instance */
	uint32_t reported;	  /* running and waiting, as of reported_us */
	uint32_t own_at_report;
	int64_t reported_us; /* 0: never */
	double first_ms;     /* average time to the first byte; 0: unknown */
	double failures;     /* average share */
	unsigned failed_in_row;
	unsigned avoided; /* times in a row */
	int64_t avoid_until_us;
	bool replaced;
};

struct bal {
	struct view *view;
	GHashTable *endpoints; /* id -> struct bal_endpoint */
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

/* Takes a new view; endpoints keep what was learned of their process. */
void bal_set_view(struct bal *ctx, struct view *view)
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
}

/* Counts a request that is sent to the endpoint. */
void bal_begin(struct bal *ctx, struct bal_endpoint *e)
{
	(void)ctx;
	e->own++;
}

static void average(double *value, double sample)
{
	*value += AVERAGE_SHARE * (sample - *value);
}

static void avoid(struct bal_endpoint *e, int64_t now_us)
{
	e->avoid_until_us =
		now_us + MIN(AVOID_US << MIN(e->avoided, 3), AVOID_MAX_US);
	e->avoided++;
}

/* Ends a request; the endpoint may be freed if it is no longer listed. */
void bal_end(struct bal *ctx, struct bal_endpoint *e, enum bal_result result,
	     int64_t first_us, int64_t now_us)
{
	(void)ctx;
	if (e->own)
		e->own--;
	switch (result) {
	case BAL_ANSWERED:
		average(&e->failures, 0);
		e->failed_in_row = 0;
		e->avoided = 0;
		if (first_us >= 0 && e->first_ms > 0)
			average(&e->first_ms, (double)first_us / 1000);
		else if (first_us >= 0)
			e->first_ms = (double)first_us / 1000;
		break;
	case BAL_FAILED:
		average(&e->failures, 1);
		if (++e->failed_in_row >= FAILURES_MAX)
			avoid(e, now_us);
		break;
	case BAL_UNREACHED:
		average(&e->failures, 1);
		avoid(e, now_us);
		break;
	case BAL_REPLACED:
		e->replaced = true;
		break;
	case BAL_REFUSED:
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

static bool holds(const Dsp__Endpoint *msg, const char *model,
		  const char *adapter)
{
	for (size_t i = 0; i < msg->n_copies; i++) {
		const Dsp__Copy *copy = msg->copies[i];

		if (copy->ready && !copy->unloading &&
		    !strcmp(copy->model, model) &&
		    !strcmp(copy->adapter, adapter ? adapter : ""))
			return true;
	}
	return false;
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
	double mean_ms; /* average of the known times to the first byte */
	const struct bal_endpoint *preferred;
};

static double cost_of(const struct candidates *list,
		      const struct bal_endpoint *e,
		      const struct bal_query *query, int64_t now_us)
{
	double slow = 1;
	double cost;

	if (e->first_ms > 0 && list->mean_ms > 0)
		slow = CLAMP(e->first_ms / list->mean_ms, SLOW_MIN, SLOW_MAX);
	cost = (load_of(e, now_us) + 1) / MAX(e->msg->max_batch, 1) * slow;
	cost += FAILURE_COST * e->failures;
	if (query->prefix && e == list->preferred)
		cost -= AFFINITY_GAIN;
	return cost;
}

static void find_preferred(struct candidates *list, uint64_t prefix)
{
	uint64_t best = 0;
	double sum = 0;
	unsigned known = 0;

	for (size_t i = 0; i < list->n; i++) {
		uint64_t rank = rank_of(prefix, list->all[i]);

		if (!list->preferred || rank > best) {
			list->preferred = list->all[i];
			best = rank;
		}
		if (list->all[i]->first_ms > 0) {
			sum += list->all[i]->first_ms;
			known++;
		}
	}
	list->mean_ms = known ? sum / known : 0;
}

static struct bal_endpoint *cheapest(const struct candidates *list,
				     const struct bal_query *query,
				     int64_t now_us)
{
	struct bal_endpoint *best = NULL;
	double best_cost = 0;

	for (size_t i = 0; i < list->n; i++) {
		struct bal_endpoint *e = list->all[i];
		double cost;

		if (load_of(e, now_us) >= places_of(e, query->model))
			continue;
		cost = cost_of(list, e, query, now_us);
		if (!best || cost < best_cost) {
			best = e;
			best_cost = cost;
		}
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
		if (choice.outcome == BAL_NO_ENDPOINT)
			choice.outcome = BAL_NO_MODEL;
		if (query->model && !holds(e->msg, query->model, NULL))
			continue;
		has_model = true;
		if (query->adapter &&
		    !holds(e->msg, query->model, query->adapter))
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
	find_preferred(&list, query->prefix);
	choice.endpoint = cheapest(&list, query, now_us);
	if (!choice.endpoint) {
		choice.outcome = BAL_FULL;
		choice.retry_us = RETRY_FULL_US;
		return choice;
	}
	choice.outcome = BAL_CHOSEN;
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
	case BAL_FULL:
		return "full";
	}
	return "unknown";
}
