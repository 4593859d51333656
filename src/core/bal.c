#include "core/bal.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of a new value in the averages of times and failures. */
#define AVERAGE_WEIGHT 0.1
/* A reported load counts in full until REPORT_FRESH_US and falls linearly to
 * zero at REPORT_EXPIRY_US. */
#define REPORT_FRESH_US 500000
#define REPORT_EXPIRY_US 2500000
/* Backoff after a failed connection or FAILURES_IN_ROW_MAX failed requests in a
 * row; doubles up to the maximum with each repetition. */
#define AVOID_MIN_US 1000000
#define AVOID_MAX_US 8000000
#define FAILURES_IN_ROW_MAX 3
/* Requests that may wait at a plain endpoint for each slot of its batch. Its
 * queue moves fast enough to be worth waiting in. */
#define PLAIN_QUEUE_PER_SLOT 3.0
/* A full batch slows down all streams of an engine, so few requests may wait
 * there. */
#define ENGINE_QUEUE_PER_SLOT 0.125
/* An endpoint that refused a request is treated as full for this long. */
#define FULL_US 250000
/* Limit of prompts in prefill at one engine, over all instances. More would
 * queue there, where they can be neither reordered nor sent elsewhere. Short
 * prompts are prefilled together: the request limit does not apply up to
 * PREFILL_TOKENS_MAX prompt tokens. */
#define PREFILL_REQUESTS_MAX 8
#define PREFILL_TOKENS_MAX 700
/* An engine gets no new prompt while the time between events of its streams
 * exceeds this share of the request's gap objective. The average covers events
 * younger than RECENT_EVENT_US; RECENT_WEIGHT is the weight of a new one. */
#define PREFILL_GAP_SHARE_MAX 0.25
#define RECENT_EVENT_US 400000
/* The gap limit differs between instances by up to this share; every
 * ROTATION_US the next instance gets the highest limit. */
#define ROTATION_SHARE 0.5
#define ROTATION_US 200000
#define RECENT_WEIGHT 0.3
/* Prefill time of one prompt token, assumed until it is measured. */
#define DEFAULT_TOKEN_MS 0.06
/* Time to the first byte of a plain request, assumed until it is measured. */
#define DEFAULT_PLAIN_MS 60.0
/* Costs of an endpoint that fails every request, of a full batch, and of the
 * endpoint that is farthest on the ring from this instance's own start. */
#define FAILURE_COST_MS 3000.0
#define BATCH_COST_MS 120.0
/* Cost of a wait for a place in a full batch. That there is none when the
 * request arrives is the more likely the fuller the batch is: the cost grows
 * with the cube of the occupied share. */
#define WAIT_COST_MS 600.0
#define DISTANCE_COST_MS 60.0
/* Cost of a new connection: some 3 ms for the round trip, and 1 ms of work on
 * either side, where instances have a small share of a core. With few entries
 * each keeps connections to all endpoints anyway. */
#define CONNECT_COST_MS 6.0
/* Share of a stream's expected duration that is added to the cost, so that long
 * streams prefer fast engines. */
#define DURATION_WEIGHT 0.05
/* Cost of an engine on which the stream would take more than this share of the
 * remaining time and would probably be cut off at its deadline. */
#define DEADLINE_SHARE 0.7
#define DEADLINE_COST_MS 2000.0
/* Cost of an engine all of whose streams exceed their gap objective, weight of
 * one stream in that average, and the time constant with which the average
 * decays, so that the engine is tried again. */
#define LATE_COST_MS 2500.0
#define LATE_WEIGHT 0.15
#define LATE_DECAY_S 8.0
/* A request waits for a busy engine whose cost is lower by more than this. */
#define WAIT_GAIN_MS 400.0
/* Cost reduction of the endpoint that all instances prefer for a prompt's
 * prefix, which it probably has cached. */
#define AFFINITY_GAIN_MS 12.0
/* Retry-After of a full service. */
#define RETRY_PLAIN_US 400000
#define RETRY_ENGINE_US 2500000
/* Retry-After while no endpoint is usable, or none holds the model or adapter.
 * A model loads within some seconds, an adapter within some milliseconds once
 * another one has been evicted. */
#define RETRY_NONE_US 700000
#define RETRY_MODEL_US 3000000
#define RETRY_ADAPTER_US 500000

/* Sends of this instance whose times are remembered for each endpoint. */
#define RECENT_SENDS 8

struct bal_endpoint {
	char *id;
	uint64_t incarnation;
	char *address;
	char *software;
	const Dsp__Endpoint *msg; /* in the view; NULL: not in the view */
	uint32_t in_flight;	  /* this instance's own requests */
	uint32_t reported_load;	  /* running and waiting at reported_us */
	uint32_t in_flight_at_report;
	int64_t reported_us;		/* 0: never */
	int64_t sends_us[RECENT_SENDS]; /* last sends of this instance, ring */
	unsigned n_sends;
	uint32_t prefill_tokens; /* of requests without a first byte */
	uint32_t prefilling;	 /* requests without a first byte */
	double first_ms; /* average time to the first byte; 0: unknown */
	double token_ms; /* prefill time per prompt token */
	double gap_ms;	 /* average between events; 0: unknown */
	double late;	 /* decayed share of streams over the gap objective */
	int64_t late_updated_us; /* last update of late */
	double recent_gap_ms;	 /* average of recent events; 0: unknown */
	int64_t event_us;	 /* last event of any stream */
	double failure_share;	 /* moving average, 0 to 1 */
	unsigned failed_in_row;
	unsigned avoid_count; /* backoffs in a row */
	int64_t avoid_until_us;
	int64_t full_until_us; /* it refused a request as full */
	bool detour;	       /* requests go through other instances */
	bool replaced;	       /* another process uses its address */
	bool had_local;	       /* at its last choice: one of the own site */
	struct hint hint;
	struct lim lim;
	struct slo slo;
};

struct bal {
	struct view *view;
	GHashTable *endpoints; /* id -> struct bal_endpoint */
	double token_ms;       /* average of all engines; 0: unknown */
	double gap_ms;	       /* average of all engines; 0: unknown */
	double plain_ms; /* average time to the first byte, plain endpoints */
	unsigned entry_index; /* of this instance, by view order */
	unsigned entries;
	bool listed;	 /* this instance is one of them */
	char *self;	 /* id of this instance; NULL: no view yet */
	struct loc *loc; /* NULL: all sites are alike */
};

static void endpoint_free(void *data)
{
	struct bal_endpoint *e = data;

	g_free(e->id);
	g_free(e->address);
	g_free(e->software);
	g_free(e);
}

/* Creates a balancer without endpoints. */
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
	loc_free(ctx->loc);
	g_free(ctx->self);
	g_free(ctx);
}

/* Has endpoints of other sites cost what their bytes are worth. */
void bal_set_locality(struct bal *ctx, const struct loc_options *options)
{
	loc_free(ctx->loc);
	ctx->loc = options->ms_per_kb > 0 ? loc_new(options) : NULL;
}

/* Returns the share of the requests of the last second that left the site,
 * though an endpoint there could have taken them. */
double bal_leaving_share(struct bal *ctx, int64_t now_us)
{
	return ctx->loc ? loc_leaving_share(ctx->loc, now_us) : 0;
}

static struct bal_endpoint *endpoint_new(const Dsp__Endpoint *msg)
{
	struct bal_endpoint *e = g_new0(struct bal_endpoint, 1);

	e->id = g_strdup(msg->id);
	e->incarnation = msg->incarnation;
	e->address = g_strdup(msg->address);
	e->software = g_strdup(msg->software);
	return e;
}

static void unlist(struct bal_endpoint *e)
{
	e->msg = NULL;
	if (!e->in_flight)
		endpoint_free(e);
}

static void update_entry_index(struct bal *ctx, const struct view *view,
			       const char *self)
{
	ctx->entries = 0;
	ctx->entry_index = 0;
	ctx->listed = false;
	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		if (!node->http_address[0] || node->down)
			continue;
		if (!strcmp(node->id, self)) {
			ctx->entry_index = ctx->entries;
			ctx->listed = true;
			if (ctx->loc)
				loc_set_site(ctx->loc, node->site);
		}
		ctx->entries++;
	}
	ctx->entries = MAX(ctx->entries, 1);
}

static void update_limit_share(const struct bal *ctx, struct bal_endpoint *e)
{
	if (e->lim.rate > 0)
		lim_set_share(&e->lim, lim_share_of(ctx->view, ctx->self, e->id,
						    e->lim.rate));
}

/* Returns the endpoint for msg: the known one, without its place in the table,
 * or a new one. The same process at another address keeps its hint and limit.
 */
static struct bal_endpoint *adopt(struct bal *ctx, struct bal_endpoint *known,
				  const Dsp__Endpoint *msg)
{
	struct bal_endpoint *e;

	if (known && known->incarnation == msg->incarnation &&
	    !strcmp(known->address, msg->address) &&
	    (!msg->software[0] || !strcmp(known->software, msg->software))) {
		g_hash_table_remove(ctx->endpoints, msg->id);
		return known;
	}
	e = endpoint_new(msg);
	if (known && known->incarnation == msg->incarnation) {
		e->hint = known->hint;
		e->lim = known->lim;
	}
	return e;
}

/* Installs a view and takes a reference to it. Endpoints with an unchanged
 * incarnation and address keep their measurements; self is this instance's node
 * id. Each instance prefers other endpoints, so that it knows most of their
 * load. */
void bal_set_view(struct bal *ctx, struct view *view, const char *self)
{
	GHashTable *next = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *value;

	for (size_t i = 0; i < view_n_endpoints(view); i++) {
		const Dsp__Endpoint *msg = view_endpoint_at(view, i);
		struct bal_endpoint *e =
			g_hash_table_lookup(ctx->endpoints, msg->id);

		e = adopt(ctx, e, msg);
		hint_announced(&e->hint,
			       msg->state ==
				       DSP__ENDPOINT_STATE__ENDPOINT_LEAVING);
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
	g_free(ctx->self);
	ctx->self = g_strdup(self);
	update_entry_index(ctx, view, self);
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_limit_share(ctx, value);
}

/* Returns the number of instances that serve callers, at least 1. */
unsigned bal_entries(const struct bal *ctx)
{
	return ctx->entries;
}

/* Returns whether the view lists this instance as one that serves callers. */
bool bal_is_entry(const struct bal *ctx)
{
	return ctx->listed;
}

/* Returns whether there are more entries than an engine may prefill prompts at
 * once. */
bool bal_is_large(const struct bal *ctx)
{
	return ctx->entries > PREFILL_REQUESTS_MAX;
}

/* Counts a request that is sent to the endpoint; tokens is its prompt's length.
 */
void bal_begin(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
	       int64_t now_us)
{
	if (ctx->loc && e->msg)
		loc_sent(ctx->loc, e->msg->site, e->had_local, now_us);
	hint_sent(&e->hint, now_us);
	lim_sent(&e->lim, now_us);
	e->sends_us[e->n_sends++ % RECENT_SENDS] = now_us;
	e->in_flight++;
	e->prefilling++;
	e->prefill_tokens += tokens;
}

/* Without a path, failed connections, and requests that are silent since, say
 * nothing about the endpoint. */
void bal_set_detour(struct bal *ctx, const char *id, bool detour)
{
	struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	if (!e || e->detour == detour)
		return;
	e->detour = detour;
	if (!detour)
		return;
	e->avoid_until_us = 0;
	e->avoid_count = 0;
	e->failed_in_row = 0;
	e->failure_share = 0;
	e->prefilling = 0;
	e->prefill_tokens = 0;
}

/* Returns whether the endpoint has a request of this instance that has not yet
 * sent a first byte. */
bool bal_is_prefilling(const struct bal_endpoint *e)
{
	return e->prefilling > 0;
}

static void update_average(double *value, double sample)
{
	if (*value > 0)
		*value += AVERAGE_WEIGHT * (sample - *value);
	else
		*value = sample;
}

static void end_prefill(struct bal_endpoint *e, uint32_t tokens)
{
	e->prefilling -= MIN(e->prefilling, 1);
	e->prefill_tokens -= MIN(e->prefill_tokens, tokens);
}

/* Updates the averages with the time from the send to the first byte.
 * The prefill speed is updated only if alone: no other request of this instance
 * was in prefill at that endpoint. */
void bal_first_byte(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
		    int64_t first_us, bool alone)
{
	double first_ms = (double)first_us / 1000;

	end_prefill(e, tokens);
	if (ctx->loc && e->msg)
		loc_reached(ctx->loc, e->msg->site);
	update_average(&e->first_ms, first_ms);
	if (!e->msg || e->msg->kind == DSP__ENDPOINT_KIND__ENDPOINT_SERVICE)
		update_average(&ctx->plain_ms, first_ms);
	if (!tokens || !alone)
		return;
	update_average(&e->token_ms, first_ms / tokens);
	update_average(&ctx->token_ms, first_ms / tokens);
}

static void back_off(struct bal_endpoint *e, int64_t now_us)
{
	e->avoid_until_us = now_us + MIN(AVOID_MIN_US << MIN(e->avoid_count, 3),
					 AVOID_MAX_US);
	e->avoid_count++;
}

/* Records the time since the previous event of a stream. Engines interleave
 * prefill with decoding, so prefill slows down the events of all streams. */
void bal_stream_event(struct bal *ctx, struct bal_endpoint *e, int64_t gap_us,
		      int64_t now_us)
{
	(void)ctx;
	if (now_us - e->event_us > RECENT_EVENT_US)
		e->recent_gap_ms = 0;
	e->event_us = now_us;
	if (e->recent_gap_ms > 0)
		e->recent_gap_ms += RECENT_WEIGHT *
				    ((double)gap_us / 1000 - e->recent_gap_ms);
	else
		e->recent_gap_ms = (double)gap_us / 1000;
}

/* Records the average time between events over a whole stream. */
void bal_stream_interval(struct bal *ctx, struct bal_endpoint *e,
			 int64_t gap_us)
{
	update_average(&e->gap_ms, (double)gap_us / 1000);
	update_average(&ctx->gap_ms, (double)gap_us / 1000);
}

static double current_late_share(const struct bal_endpoint *e, int64_t now_us)
{
	double age_s = (double)(now_us - e->late_updated_us) / 1e6;

	return e->late * exp(-age_s / LATE_DECAY_S);
}

/* Records the end of a stream; late means that a gap between its events
 * exceeded the objective. A slow engine cannot keep gaps short while it
 * prefills as many prompts as the others. */
void bal_stream_end(struct bal *ctx, struct bal_endpoint *e, bool late,
		    int64_t now_us)
{
	(void)ctx;
	e->late = current_late_share(e, now_us);
	e->late += LATE_WEIGHT * ((late ? 1 : 0) - e->late);
	e->late_updated_us = now_us;
}

/* Ends a request; unread_tokens is the prompt's length if no first byte came,
 * else zero. Frees an endpoint that is no longer in the view with its last
 * request. */
void bal_end(struct bal *ctx, struct bal_endpoint *e, enum bal_result result,
	     uint32_t unread_tokens, int64_t now_us)
{
	if (e->in_flight)
		e->in_flight--;
	if (unread_tokens)
		end_prefill(e, unread_tokens);
	switch (result) {
	case BAL_ANSWERED:
		e->failure_share *= 1 - AVERAGE_WEIGHT;
		e->failed_in_row = 0;
		e->avoid_count = 0;
		break;
	case BAL_FAILED:
		e->failure_share += AVERAGE_WEIGHT * (1 - e->failure_share);
		if (++e->failed_in_row >= FAILURES_IN_ROW_MAX)
			back_off(e, now_us);
		break;
	case BAL_UNREACHED:
		if (ctx->loc && e->msg)
			loc_unreached(ctx->loc, e->msg->site, e->id, now_us);
		e->failure_share += AVERAGE_WEIGHT * (1 - e->failure_share);
		back_off(e, now_us);
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
	if (!e->msg && !e->in_flight)
		endpoint_free(e);
}

/* Records the load that an answer carried, as of now_us. */
void bal_report(struct bal *ctx, struct bal_endpoint *e, uint32_t running,
		uint32_t waiting, int64_t now_us)
{
	(void)ctx;
	e->reported_load = running + waiting;
	e->in_flight_at_report = e->in_flight;
	e->reported_us = now_us;
}

/* Records how long work takes at the endpoint now, as an answer told; 0: it did
 * not. See slo_saw(). */
void bal_saw_slowness(struct bal *ctx, struct bal_endpoint *e, uint32_t percent,
		      int64_t now_us)
{
	(void)ctx;
	slo_saw(&e->slo, percent, now_us);
}

static uint32_t count_sends_since(const struct bal_endpoint *e,
				  int64_t since_us)
{
	uint32_t n = 0;

	for (size_t i = 0; i < RECENT_SENDS; i++)
		n += e->sends_us[i] >= since_us;
	return n;
}

static enum lim_news limit_news(const struct bal *ctx, struct bal_endpoint *e,
				enum lim_news news, double jitter,
				int64_t now_us)
{
	if (news == LIM_NAMED || news == LIM_CHANGED)
		update_limit_share(ctx, e);
	if (news == LIM_NAMED)
		lim_begin(&e->lim, jitter, now_us);
	return news;
}

/* Records a load that another instance has seen, if it is newer than the known
 * one. This instance's own requests since then are not part of it. */
void bal_observe(struct bal *ctx, const Dsp__LoadReport *report, int64_t now_us)
{
	struct bal_endpoint *e =
		g_hash_table_lookup(ctx->endpoints, report->endpoint);
	int64_t observed_us = now_us - (int64_t)report->age_ms * 1000;
	uint32_t since;

	if (!e || e->incarnation != report->incarnation)
		return;
	if (report->leaving)
		hint_reported(&e->hint, now_us - observed_us, now_us);
	slo_saw(&e->slo, report->slowness_percent, observed_us);
	if (observed_us <= e->reported_us)
		return;
	since = count_sends_since(e, observed_us);
	e->reported_load = report->running + report->waiting;
	e->in_flight_at_report = e->in_flight - MIN(since, e->in_flight);
	e->reported_us = observed_us;
}

/* Records the limit that an answer to another instance named. jitter: see
 * lim_begin(). */
enum lim_news bal_observe_limit(struct bal *ctx, const Dsp__LoadReport *report,
				double jitter, int64_t now_us)
{
	struct bal_endpoint *e =
		g_hash_table_lookup(ctx->endpoints, report->endpoint);
	enum lim_news news;

	if (!e || e->incarnation != report->incarnation)
		return LIM_SAME;
	news = lim_reported(&e->lim, (double)report->limit_milli / 1000,
			    (int64_t)report->age_ms * 1000, now_us);
	return limit_news(ctx, e, news, jitter, now_us);
}

/* Records the limit that an answer of the endpoint's process named; 0: none.
 * See lim_saw() and lim_begin(). */
enum lim_news bal_saw_limit(struct bal *ctx, const char *id,
			    uint64_t incarnation, double rate, double jitter,
			    int64_t now_us)
{
	struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	if (!e || e->incarnation != incarnation)
		return LIM_SAME;
	return limit_news(ctx, e, lim_saw(&e->lim, rate, now_us), jitter,
			  now_us);
}

/* Returns the limit that the endpoint named, or NULL if it is not known. */
const struct lim *bal_limit(const struct bal *ctx, const char *id)
{
	const struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	return e ? &e->lim : NULL;
}

/* Records what an answer of the endpoint's process said about further requests;
 * see hint_saw(). Answers of processes that the view does not list have no
 * effect. */
unsigned bal_saw_hint(struct bal *ctx, const char *id, uint64_t incarnation,
		      bool leaving, int64_t pause_us, double jitter,
		      int64_t now_us)
{
	struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	if (!e || e->incarnation != incarnation)
		return 0;
	return hint_saw(&e->hint, leaving, pause_us, jitter, now_us);
}

/* Returns whether the endpoint's process wants no requests. */
enum hint_bar bal_bar(const struct bal *ctx, const char *id,
		      uint64_t incarnation, int64_t now_us)
{
	const struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	if (!e || e->incarnation != incarnation)
		return HINT_FREE;
	return hint_bar(&e->hint, now_us);
}

/* Estimates the requests of other instances at the endpoint from the last
 * report, weighted by its age. */
static double other_entries_load(const struct bal_endpoint *e, int64_t now_us)
{
	int64_t age_us = now_us - e->reported_us;
	double load;

	if (!e->reported_us || e->reported_load <= e->in_flight_at_report)
		return 0;
	load = e->reported_load - e->in_flight_at_report;
	if (age_us <= REPORT_FRESH_US)
		return load;
	if (age_us >= REPORT_EXPIRY_US)
		return 0;
	return load * (double)(REPORT_EXPIRY_US - age_us) /
	       (REPORT_EXPIRY_US - REPORT_FRESH_US);
}

static double load_of(const struct bal_endpoint *e, int64_t now_us)
{
	return e->in_flight + other_entries_load(e, now_us);
}

static bool is_in(const char *const *list, const char *id)
{
	for (size_t i = 0; list && list[i]; i++)
		if (!strcmp(list[i], id))
			return true;
	return false;
}

static double capacity_of(const struct bal_endpoint *e, const char *model)
{
	double batch = MAX(e->msg->max_batch, 1);

	return batch *
	       (1 + (model ? ENGINE_QUEUE_PER_SLOT : PLAIN_QUEUE_PER_SLOT));
}

/* Rendezvous hash: all instances prefer the same endpoint for a prefix. */
static uint64_t rendezvous_hash(uint64_t prefix, const struct bal_endpoint *e)
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

static double token_ms_of(const struct bal *ctx, const struct bal_endpoint *e)
{
	return e->token_ms > 0	   ? e->token_ms
	       : ctx->token_ms > 0 ? ctx->token_ms
				   : DEFAULT_TOKEN_MS;
}

/* Time to prefill the new prompt and those of this instance ahead of it. */
static double prefill_ms(const struct bal *ctx, const struct bal_endpoint *e,
			 const struct bal_query *query, int64_t now_us)
{
	double usual_ms =
		token_ms_of(ctx, e) * (e->prefill_tokens + query->tokens);

	return usual_ms * slo_factor(&e->slo, usual_ms, now_us);
}

/* Time to the first byte at a plain endpoint, including the wait for a slot. */
static double plain_service_ms(const struct bal *ctx,
			       const struct bal_endpoint *e, int64_t now_us)
{
	double default_ms =
		ctx->plain_ms > 0 ? ctx->plain_ms : DEFAULT_PLAIN_MS;
	/* Unmeasured endpoints get a low estimate, so that they are tried. */
	double service_ms = e->first_ms > 0 ? e->first_ms : default_ms / 2;
	double ahead = load_of(e, now_us) + 1;
	double usual_ms =
		service_ms * MAX(ahead / MAX(e->msg->max_batch, 1), 0.25);

	return usual_ms * slo_factor(&e->slo, usual_ms, now_us);
}

/* Distance of candidate i from this instance's own start on the ring of
 * candidates in id order, as a share of the ring. */
static double ring_distance(const struct bal *ctx, size_t i, size_t n)
{
	size_t first = n * ctx->entry_index / ctx->entries;

	return (double)((i + n - first) % n) / (double)n;
}

/* Expected duration of the stream at the engine's average event interval. */
static double stream_duration_ms(const struct bal *ctx,
				 const struct bal_endpoint *e,
				 const struct bal_query *query)
{
	return query->events * (e->gap_ms > 0 ? e->gap_ms : ctx->gap_ms);
}

/* Cost of what the endpoint did to earlier requests, and of the duration of the
 * stream there. */
static double stream_cost(const struct bal *ctx, const struct bal_endpoint *e,
			  const struct bal_query *query, int64_t now_us)
{
	double cost = LATE_COST_MS * current_late_share(e, now_us);

	cost += DURATION_WEIGHT * stream_duration_ms(ctx, e, query);
	if (query->remaining_us &&
	    stream_duration_ms(ctx, e, query) * 1000 >
		    DEADLINE_SHARE * (double)query->remaining_us)
		cost += DEADLINE_COST_MS;
	return cost;
}

static double cost_of(const struct bal *ctx, const struct candidates *list,
		      size_t i, const struct bal_query *query, int64_t now_us)
{
	const struct bal_endpoint *e = list->all[i];
	double cost = FAILURE_COST_MS * e->failure_share;
	double occupied;

	if (query->is_connected && bal_is_large(ctx) &&
	    !query->is_connected(query->data, e->address))
		cost += CONNECT_COST_MS;

	if (!query->model)
		return cost + plain_service_ms(ctx, e, now_us);
	cost += prefill_ms(ctx, e, query, now_us);
	cost += stream_cost(ctx, e, query, now_us);
	occupied = load_of(e, now_us) / MAX(e->msg->max_batch, 1);
	cost += BATCH_COST_MS * occupied;
	cost += WAIT_COST_MS * occupied * occupied * occupied;
	cost += DISTANCE_COST_MS * ring_distance(ctx, i, list->n);
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
		uint64_t rank = rendezvous_hash(prefix, list->all[i]);

		if (list->preferred && rank <= best)
			continue;
		list->preferred = list->all[i];
		best = rank;
	}
}

/* Current time between events of the engine's streams. Prefill stalls the
 * streams, and the next event arrives only after it; so the time since the last
 * event counts too while streams are active. */
static double current_gap_us(const struct bal_endpoint *e, int64_t now_us)
{
	int64_t silent_us = now_us - e->event_us;
	/* Streams of before may be silent for lack of a path. */
	bool streaming = e->in_flight > e->prefilling && !e->detour;

	if (streaming)
		return MAX(e->recent_gap_ms * 1000, (double)silent_us);
	return silent_us < RECENT_EVENT_US ? e->recent_gap_ms * 1000 : 0;
}

/* Limit of current_gap_us() for the query. It rotates among instances, so that
 * they do not all send to an engine at the moment at which its prefill ends. */
static double gap_limit_us(const struct bal *ctx, const struct bal_endpoint *e,
			   const struct bal_query *query, int64_t now_us)
{
	uint64_t turn = (uint64_t)(now_us / ROTATION_US) + ctx->entry_index +
			g_str_hash(e->id);
	double late = (double)(turn % ctx->entries) / ctx->entries;

	return PREFILL_GAP_SHARE_MAX * (1 - ROTATION_SHARE * late) *
	       (double)query->gap_objective_us;
}

/* Whether the endpoint may get another prompt: little of this instance's
 * prefill is pending there and its streams make progress. An engine in constant
 * prefill finishes no stream. */
static bool may_prefill(const struct bal *ctx, const struct bal_endpoint *e,
			const struct bal_query *query, int64_t now_us)
{
	if (query->model && !query->resumed && query->gap_objective_us &&
	    current_gap_us(e, now_us) > gap_limit_us(ctx, e, query, now_us))
		return false;
	if (!query->model || query->resumed ||
	    e->prefilling < MAX(PREFILL_REQUESTS_MAX / ctx->entries, 1))
		return true;
	return e->prefill_tokens + query->tokens <= PREFILL_TOKENS_MAX;
}

/* Whether the endpoint can take another request now. */
static bool has_place(const struct bal_endpoint *e,
		      const struct bal_query *query, int64_t now_us)
{
	return now_us >= e->full_until_us &&
	       !hint_is_spaced(&e->hint, now_us) &&
	       load_of(e, now_us) < capacity_of(e, query->model);
}

/* Returns whether an endpoint of the own site can take the request. */
static bool has_local(const struct bal *ctx, const struct candidates *list,
		      const struct bal_query *query, int64_t now_us)
{
	for (size_t i = 0; i < list->n; i++)
		if (loc_is_own(ctx->loc, list->all[i]->msg->site) &&
		    has_place(list->all[i], query, now_us))
			return true;
	return false;
}

/* What an endpoint's site means for a request. Without an endpoint of the own
 * site it may leave anyhow. */
static struct loc_offer site_offer(const struct bal *ctx,
				   const struct bal_endpoint *e,
				   const struct bal_query *query, bool local,
				   int64_t now_us)
{
	struct loc_offer offer = { .allowed = true };

	if (!ctx->loc)
		return offer;
	offer = loc_offer(ctx->loc, e->msg->site,
			  load_of(e, now_us) / MAX(e->msg->max_batch, 1),
			  query->bytes, now_us);
	offer.allowed = offer.allowed || !local;
	return offer;
}

static struct bal_endpoint *lowest_cost(const struct bal *ctx,
					const struct candidates *list,
					const struct bal_query *query,
					int64_t now_us,
					struct bal_choice *choice)
{
	struct bal_endpoint *best = NULL;
	double least = INFINITY; /* including endpoints busy with prefill */
	bool local = ctx->loc && has_local(ctx, list, query, now_us);

	choice->outcome = BAL_FULL;
	for (size_t i = 0; i < list->n; i++) {
		struct bal_endpoint *e = list->all[i];
		struct loc_offer offer;
		double cost;

		if (!has_place(e, query, now_us))
			continue;
		offer = site_offer(ctx, e, query, local, now_us);
		if (!offer.allowed)
			continue;
		cost = cost_of(ctx, list, i, query, now_us) + offer.cost_ms;
		least = MIN(least, cost);
		if (!may_prefill(ctx, e, query, now_us)) {
			if (!best)
				choice->outcome = BAL_PREFILL_BUSY;
			continue;
		}
		if (!best || cost < choice->cost_ms) {
			best = e;
			best->had_local = local;
			choice->leaves_site =
				ctx->loc && !loc_is_own(ctx->loc, e->msg->site);
			choice->site_cost_ms = offer.cost_ms;
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

/* Whether the endpoint serves the service and the view has it as up. */
static bool is_up(const struct bal_endpoint *e, const struct bal_query *query)
{
	return e->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_UP &&
	       !e->replaced && !strcmp(e->msg->service, query->service) &&
	       (!query->software || !strcmp(e->software, query->software));
}

/* Whether bal_choose() would consider the endpoint for a prompt, apart from
 * prompts in prefill and a backoff. */
static bool is_usable(const struct bal_endpoint *e,
		      const struct bal_query *query, int64_t now_us)
{
	return query->model && is_up(e, query) &&
	       hint_bar(&e->hint, now_us) == HINT_FREE &&
	       !lim_wait_us(&e->lim, now_us) && has_place(e, query, now_us) &&
	       !is_in(query->avoid, e->id) &&
	       view_ready_copy(e->msg, query->model, NULL) &&
	       (!query->adapter ||
		view_ready_copy(e->msg, query->model, query->adapter));
}

/* Fills in why none of the candidates can be chosen: each has been tried or is
 * paused. pause_us is the time until the first pause ends, also of a tried one;
 * untried is the number of paused ones that were not tried. */
static void set_none_left(struct bal_choice *choice,
			  const struct bal_query *query, unsigned untried,
			  int64_t pause_us)
{
	choice->outcome = untried ? BAL_PAUSED : BAL_NO_OTHER;
	choice->retry_us = query->model ? RETRY_ENGINE_US : RETRY_PLAIN_US;
	if (untried)
		choice->retry_us = pause_us;
	else if (choice->paused == choice->candidates)
		choice->retry_us = MAX(choice->retry_us, pause_us);
}

static void set_load(struct bal_choice *choice, int64_t now_us)
{
	const struct bal_endpoint *e = choice->endpoint;

	choice->load = load_of(e, now_us);
	if (e->reported_us)
		choice->load_age_s = (double)(now_us - e->reported_us) / 1e6;
	choice->slowness = slo_factor(&e->slo, 0, now_us);
	if (e->slo.mean > 0)
		choice->slowness_age_us = now_us - e->slo.seen_us;
}

/*
 * Chooses the endpoint with the lowest cost among those that hold the model and
 * adapter and have a free slot. Endpoints in backoff are used only when there
 * is no other, those that are paused or leave never.
 */
struct bal_choice bal_choose(struct bal *ctx, const struct bal_query *query,
			     int64_t now_us)
{
	struct bal_choice choice = { .outcome = BAL_NO_ENDPOINT,
				     .retry_us = RETRY_NONE_US,
				     .load_age_s = -1,
				     .slowness = 1,
				     .slowness_age_us = -1 };
	struct candidates list = { 0 };
	struct candidates avoided = { 0 };
	guint size = g_hash_table_size(ctx->endpoints);
	bool has_model = false;
	unsigned untried = 0; /* paused ones that are not in query->avoid */
	int64_t pause_us = INT64_MAX;
	GHashTableIter iter;
	struct bal_endpoint *e;

	list.all = g_newa(struct bal_endpoint *, size + 1);
	avoided.all = g_newa(struct bal_endpoint *, size + 1);
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		enum hint_bar bar = hint_bar(&e->hint, now_us);
		int64_t limit_us = lim_wait_us(&e->lim, now_us);

		if (!is_up(e, query))
			continue;
		choice.leaving += bar == HINT_LEAVING;
		choice.hint_age_us =
			MAX(choice.hint_age_us, hint_age_us(&e->hint, now_us));
		if (bar == HINT_LEAVING)
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
		if (bar == HINT_PAUSED || limit_us) {
			choice.paused++;
			choice.limited += limit_us > 0;
			untried += !is_in(query->avoid, e->id);
			pause_us = MIN(
				pause_us,
				MAX(limit_us, hint_wait_us(&e->hint, now_us)));
			continue;
		}
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
		set_none_left(&choice, query, untried, pause_us);
		return choice;
	}
	find_preferred(&list, query->prefix);
	choice.endpoint = lowest_cost(ctx, &list, query, now_us, &choice);
	if (!choice.endpoint) {
		choice.retry_us =
			query->model ? RETRY_ENGINE_US : RETRY_PLAIN_US;
		return choice;
	}
	set_load(&choice, now_us);
	return choice;
}

/* Chooses the engine that a coordinator has assigned a prompt to, if it is
 * still usable; otherwise the outcome is BAL_NO_ENDPOINT. The number of
 * candidates, which only the coordinator knows, is left at 0. */
struct bal_choice bal_choose_named(struct bal *ctx,
				   const struct bal_query *query,
				   const char *id, uint64_t incarnation,
				   int64_t now_us)
{
	struct bal_choice choice = { .outcome = BAL_NO_ENDPOINT,
				     .retry_us = RETRY_NONE_US,
				     .load_age_s = -1,
				     .slowness = 1,
				     .slowness_age_us = -1 };
	struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	if (!e || e->incarnation != incarnation || now_us < e->avoid_until_us ||
	    !is_usable(e, query, now_us))
		return choice;
	choice.outcome = BAL_CHOSEN;
	choice.endpoint = e;
	choice.cost_ms = prefill_ms(ctx, e, query, now_us) +
			 stream_cost(ctx, e, query, now_us);
	set_load(&choice, now_us);
	return choice;
}

/* Fills in the engines that may get a prompt now, for pac_assign(), and returns
 * their number. The ids are valid until the next view. */
size_t bal_offers(const struct bal *ctx, const struct bal_query *query,
		  int64_t now_us, struct pac_engine *out, size_t max)
{
	guint size = g_hash_table_size(ctx->endpoints);
	struct candidates list = { 0 };
	struct candidates avoided = { 0 };
	GHashTableIter iter;
	struct bal_endpoint *e;

	list.all = g_newa(struct bal_endpoint *, size + 1);
	avoided.all = g_newa(struct bal_endpoint *, size + 1);
	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (!is_usable(e, query, now_us))
			continue;
		if (now_us < e->avoid_until_us)
			avoided.all[avoided.n++] = e;
		else
			list.all[list.n++] = e;
	}
	/* What this instance has met need not hold for the others. */
	if (!list.n)
		list = avoided;
	list.n = MIN(list.n, max);
	find_preferred(&list, query->prefix);
	for (size_t i = 0; i < list.n; i++) {
		double usual_ms;

		e = list.all[i];
		usual_ms = token_ms_of(ctx, e) * query->tokens;
		out[i] = (struct pac_engine){
			.id = e->id,
			.incarnation = e->incarnation,
			.prefill_us = (int64_t)(1000 * usual_ms *
						slo_factor(&e->slo, usual_ms,
							   now_us)),
			.stream_us = (int64_t)(1000 * stream_duration_ms(
							      ctx, e, query)),
			.load = load_of(e, now_us),
			.load_us = e->reported_us,
			.places = e->msg->max_batch,
			/* Late streams are what the coordinator expects by
			 * itself; the few of this instance say less. */
			.cost_ms = FAILURE_COST_MS * e->failure_share +
				   DURATION_WEIGHT *
					   stream_duration_ms(ctx, e, query),
		};
		if (query->prefix && e == list.preferred)
			out[i].cost_ms -= AFFINITY_GAIN_MS;
	}
	return list.n;
}

/* Returns the expected prefill time of a prompt at an endpoint that is idle; 0:
 * the endpoint is not known. */
int64_t bal_prefill_us(const struct bal *ctx, const char *id, uint32_t tokens)
{
	const struct bal_endpoint *e = g_hash_table_lookup(ctx->endpoints, id);

	return e ? (int64_t)(token_ms_of(ctx, e) * tokens * 1000) : 0;
}

/* Returns whether a stream of this version can be resumed at all. */
bool bal_has_software(const struct bal *ctx, const char *service,
		      const char *software)
{
	const struct bal_query query = {
		.service = service,
		.software = software,
	};
	GHashTableIter iter;
	void *e;

	g_hash_table_iter_init(&iter, ctx->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &e))
		if (is_up(e, &query))
			return true;
	return false;
}

/* An endpoint that left the view, or has another process there, may have been
 * replaced before it got the request. */
const char *bal_software(const struct bal_endpoint *e)
{
	return e->msg ? e->software : NULL;
}

/* Returns the endpoint's id. */
const char *bal_id(const struct bal_endpoint *e)
{
	return e->id;
}

/* Returns the incarnation of the endpoint's process. */
uint64_t bal_incarnation(const struct bal_endpoint *e)
{
	return e->incarnation;
}

/* Returns the endpoint's address as IP:PORT. */
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
	case BAL_PAUSED:
		return "paused";
	case BAL_PREFILL_BUSY:
		return "reading";
	case BAL_FULL:
		return "full";
	}
	return "unknown";
}
