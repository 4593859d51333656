#include <math.h>
#include <string.h>

#include "core/rt_int.h"

/* Backoff after a failed connection; the minimum is half a heartbeat. */
#define BACKOFF_MIN_US 250000
#define BACKOFF_MAX_US 8000000
/* Wait for a first copy that is not loading yet: the lease of an endpoint (3 s)
 * plus one placement round with a load. */
#define NO_COPY_WAIT_US 5000000
#define DEFAULT_DEADLINE_US 60000000
#define DEFAULT_SLOTS 16
#define POLL_US 20000
#define SCHEDULE_INTERVAL_US 5000
#define RETRY_AFTER_MIN_US 100000
#define RETRY_AFTER_MAX_US 10000000
/* Candidates within this factor of the best predicted time are drawn from. The
 * factor grows until their free slots hold what the other entries may send
 * before the next report; otherwise 40 entries that see one idle endpoint all
 * choose it. */
#define NEAR_BEST_FACTOR 1.3
#define NEAR_BEST_FACTOR_MAX 8.0
#define NEAR_BEST_SLACK_US 1000.0
#define REPORT_INTERVAL_S 1.0
#define RATE_HALF_S 2.0
/* Tickets tried from the head of a queue: one that no endpoint can take (a
 * retry or a suspect) must not block the requests behind it. */
#define GRANT_ATTEMPTS_MAX 4
#define KEY_SEPARATOR "\x1f"

static uint64_t next_random(struct rt *ctx)
{
	ctx->random ^= ctx->random >> 12;
	ctx->random ^= ctx->random << 25;
	ctx->random ^= ctx->random >> 27;
	return ctx->random * UINT64_C(2685821657736338717);
}

static double next_uniform(struct rt *ctx)
{
	return (double)(next_random(ctx) >> 11) * 0x1.0p-53;
}

static void ep_free(gpointer data)
{
	struct rt_ep *ep = data;

	g_ptr_array_free(ep->links, TRUE);
	g_ptr_array_free(ep->speeds, TRUE);
	g_free(ep->id);
	g_free(ep);
}

static void queue_free(gpointer data)
{
	struct rt_queue *queue = data;

	g_free(queue);
}

static void pool_free(gpointer data)
{
	struct rt_pool *pool = data;

	g_ptr_array_free(pool->links, TRUE);
	g_ptr_array_free(pool->queues, TRUE);
	g_free(pool->key);
	g_free(pool);
}

static void class_free(gpointer data)
{
	struct rt_class *class = data;

	g_ptr_array_free(class->queues, TRUE);
	g_free(class->key);
	g_free(class);
}

static void service_free(gpointer data)
{
	struct rt_service *service = data;

	g_ptr_array_free(service->classes, TRUE);
	g_free(service->name);
	g_free(service);
}

static void budget_free(gpointer data)
{
	struct rt_budget *budget = data;

	g_free(budget->team);
	g_free(budget);
}

/* Creates a router without endpoints. Entries use different seeds, so that they
 * choose differently. */
struct rt *rt_new(uint64_t seed)
{
	struct rt *ctx = g_new0(struct rt, 1);

	ctx->random = seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
	ctx->entries = 1;
	ctx->view = view_new_empty();
	ctx->eps =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ep_free);
	ctx->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	ctx->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      service_free);
	ctx->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     budget_free);
	ctx->prefixes = g_new0(struct rt_prefix, RT_PREFIX_SLOTS);
	return ctx;
}

/* Frees a router; every ticket must have been ended. NULL is allowed. */
void rt_free(struct rt *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->eps);
	g_hash_table_destroy(ctx->pools);
	g_hash_table_destroy(ctx->services);
	g_hash_table_destroy(ctx->budgets);
	g_free(ctx->prefixes);
	g_free(ctx->candidates);
	g_free(ctx->self);
	view_unref(ctx->view);
	g_free(ctx);
}

static struct rt_service *service_of(struct rt *ctx, const char *team,
				     const char *name)
{
	struct rt_service *service;
	char key[2 * 64];

	g_snprintf(key, sizeof(key), "%s" KEY_SEPARATOR "%s", team, name);
	service = g_hash_table_lookup(ctx->services, key);
	if (service)
		return service;
	service = g_new0(struct rt_service, 1);
	service->name = g_strdup(key);
	service->classes = g_ptr_array_new_with_free_func(class_free);
	g_hash_table_insert(ctx->services, service->name, service);
	return service;
}

static struct rt_pool *pool_find(struct rt *ctx, const char *team,
				 const char *service, const char *model,
				 const char *adapter)
{
	char key[5 * 64];

	g_snprintf(key, sizeof(key),
		   "%s" KEY_SEPARATOR "%s" KEY_SEPARATOR "%s" KEY_SEPARATOR
		   "%s",
		   team, service, model ? model : "", adapter ? adapter : "");
	return g_hash_table_lookup(ctx->pools, key);
}

static struct rt_pool *pool_of(struct rt *ctx, const char *team,
			       const char *service, const char *model,
			       const char *adapter)
{
	struct rt_pool *pool = pool_find(ctx, team, service, model, adapter);

	if (pool)
		return pool;
	pool = g_new0(struct rt_pool, 1);
	pool->key = g_strdup_printf(
		"%s" KEY_SEPARATOR "%s" KEY_SEPARATOR "%s" KEY_SEPARATOR "%s",
		team, service, model ? model : "", adapter ? adapter : "");
	pool->service = service_of(ctx, team, service);
	pool->plain = !model || !*model;
	pool->links = g_ptr_array_new();
	pool->queues = g_ptr_array_new_with_free_func(queue_free);
	g_hash_table_insert(ctx->pools, pool->key, pool);
	pool->base = pool;
	if (adapter && *adapter)
		pool->base = pool_of(ctx, team, service, model, NULL);
	return pool;
}

static void links_clear(struct rt_ep *ep)
{
	for (guint i = 0; i < ep->links->len; i++) {
		struct rt_link *link = g_ptr_array_index(ep->links, i);
		GPtrArray *links = link->pool->links;
		struct rt_link *last;

		last = g_ptr_array_index(links, links->len - 1);
		last->pos = link->pos;
		links->pdata[link->pos] = last;
		g_ptr_array_set_size(links, (gint)links->len - 1);
	}
	g_ptr_array_set_size(ep->links, 0);
}

static void link_add(struct rt *ctx, struct rt_ep *ep, struct rt_pool *pool,
		     const char *version, bool ready)
{
	struct rt_link *link;

	(void)ctx;
	for (guint i = 0; i < ep->links->len; i++) {
		link = g_ptr_array_index(ep->links, i);
		if (link->pool != pool || strcmp(link->version, version))
			continue;
		link->ready |= ready;
		return;
	}
	link = g_new0(struct rt_link, 1);
	link->ep = ep;
	link->pool = pool;
	link->speed = rt_speed_of(ep, pool->base);
	link->version = version;
	link->ready = ready;
	link->pos = pool->links->len;
	g_ptr_array_add(pool->links, link);
	g_ptr_array_add(ep->links, link);
}

static bool base_copy_ready(const Dsp__Endpoint *rec, const Dsp__Copy *adapter)
{
	for (size_t i = 0; i < rec->n_copies; i++) {
		const Dsp__Copy *copy = rec->copies[i];

		if (!*copy->adapter && copy->ready && !copy->unloading &&
		    !strcmp(copy->model, adapter->model))
			return true;
	}
	return false;
}

static void links_build(struct rt *ctx, struct rt_ep *ep)
{
	const Dsp__Endpoint *rec = ep->rec;

	if (rec->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
		return;
	if (rec->kind == DSP__ENDPOINT_KIND__ENDPOINT_SERVICE) {
		link_add(ctx, ep,
			 pool_of(ctx, rec->team, rec->service, NULL, NULL), "",
			 true);
		return;
	}
	for (size_t i = 0; i < rec->n_copies; i++) {
		const Dsp__Copy *copy = rec->copies[i];
		bool ready = copy->ready;

		if (copy->unloading)
			continue;
		if (*copy->adapter)
			ready = ready && base_copy_ready(rec, copy);
		link_add(ctx, ep,
			 pool_of(ctx, rec->team, rec->service, copy->model,
				 copy->adapter),
			 copy->version, ready);
	}
}

static void ep_restarted(struct rt *ctx, struct rt_ep *ep)
{
	if (ep->incarnation)
		rt_prefix_drop(ctx, ep);
	ep->incarnation = ep->rec->incarnation;
	ep->reported = false;
	ep->report_seq = 0;
	ep->avoid_until_us = 0;
	ep->backoff_us = 0;
	ep->half_open = false;
	ep->hint = (struct hint){ 0 };
	ep->lim = (struct lim){ 0 };
	ep->bias = 1.0;
}

static void ep_update(struct rt *ctx, const Dsp__Endpoint *rec)
{
	struct rt_ep *ep = g_hash_table_lookup(ctx->eps, rec->id);

	if (!ep) {
		ep = g_new0(struct rt_ep, 1);
		ep->id = g_strdup(rec->id);
		ep->factor = 1.0;
		ep->bias = 1.0;
		ep->links = g_ptr_array_new_with_free_func(g_free);
		ep->speeds = g_ptr_array_new_with_free_func(g_free);
		TAILQ_INIT(&ep->tickets);
		g_hash_table_insert(ctx->eps, ep->id, ep);
	}
	ep->seen = ctx->view_pass;
	if (ep->rec == rec)
		return;
	links_clear(ep);
	ep->rec = rec;
	ep->slots = rec->max_batch ? rec->max_batch : DEFAULT_SLOTS;
	if (ep->incarnation != rec->incarnation)
		ep_restarted(ctx, ep);
	hint_announced(&ep->hint,
		       rec->state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING);
	links_build(ctx, ep);
}

static gboolean ep_remove_missing(gpointer key, gpointer value, gpointer data)
{
	struct rt_ep *ep = value;
	struct rt *ctx = data;

	(void)key;
	if (ep->seen == ctx->view_pass)
		return FALSE;
	links_clear(ep);
	ep->rec = NULL;
	if (!TAILQ_EMPTY(&ep->tickets))
		return FALSE;
	rt_prefix_drop(ctx, ep);
	return TRUE;
}

/* Time until the endpoint wants requests of this instance; 0: it does. */
static int64_t ep_wait_us(const struct rt_ep *ep, int64_t now_us)
{
	return MAX(hint_wait_us(&ep->hint, now_us),
		   lim_wait_us(&ep->lim, now_us));
}

/* Returns whether the ticket must not use the endpoint: it has failed there, or
 * the rest of its answer would come from another version of the software. */
static bool is_excluded(const struct rt_ticket *ticket, const struct rt_ep *ep)
{
	if (ticket->exclude && !strcmp(ticket->exclude, ep->id))
		return true;
	return ticket->software &&
	       (!ep->rec || strcmp(ticket->software, ep->rec->software) != 0);
}

static bool ep_usable(const struct rt_ep *ep, const struct rt_ticket *ticket,
		      int64_t now_us)
{
	if (now_us < ep->avoid_until_us || (ep->half_open && ep->in_flight))
		return false;
	if (hint_bar(&ep->hint, now_us) != HINT_FREE ||
	    hint_is_spaced(&ep->hint, now_us) || lim_wait_us(&ep->lim, now_us))
		return false;
	if (is_excluded(ticket, ep))
		return false;
	return !ticket->suspect || !ep->suspects;
}

/*
 * Estimated load up to which an endpoint gets requests. An excess over the
 * batch keeps the endpoint busy between a completion and the next report. Most
 * of it is reserved for the highest priority, so that other requests wait here,
 * where they can be overtaken. It is an eighth of the batch: a quarter, or a
 * half where the engine honours priorities, made more requests late in bursts.
 */
static double in_flight_limit(const struct rt_ep *ep,
			      const struct rt_ticket *ticket)
{
	const struct rt_class *class = ticket->queue->class;
	uint32_t excess = 1;

	if (class->priority == class->service->top_priority) {
		excess = MAX(ep->slots / 8, 1);
	}
	return ep->slots + excess;
}

static size_t collect_candidates(struct rt *ctx, const struct rt_ticket *ticket,
				 bool in_force, int64_t now_us)
{
	GPtrArray *links = ticket->pool->links;
	/* An endpoint that always reports a full batch must stay reachable: a
	 * request goes there after half of its time if this entry has none
	 * in flight there. */
	bool half_elapsed = now_us - ticket->arrival_us >
			    (ticket->deadline_us - ticket->arrival_us) / 2;
	size_t n = 0;

	if (ctx->candidates_max < links->len) {
		ctx->candidates_max = links->len + 16;
		ctx->candidates = g_renew(struct rt_candidate, ctx->candidates,
					  ctx->candidates_max);
	}
	for (guint i = 0; i < links->len; i++) {
		struct rt_link *link = g_ptr_array_index(links, i);
		struct rt_candidate *candidate = &ctx->candidates[n];
		bool current;

		if (!link->ready || !ep_usable(link->ep, ticket, now_us))
			continue;
		current = !ticket->version ||
			  !strcmp(ticket->version, link->version);
		if (current != in_force)
			continue;
		rt_predict(ctx, link, ticket, now_us, candidate);
		if (candidate->load + 1.0 > in_flight_limit(link->ep, ticket) &&
		    !(half_elapsed && !link->ep->in_flight))
			continue;
		candidate->link = link;
		n++;
	}
	return n;
}

static struct rt_candidate *draw_candidate(struct rt *ctx, size_t n, double sum)
{
	double at = next_uniform(ctx) * sum;

	for (size_t i = 0; i + 1 < n; i++) {
		at -= ctx->candidates[i].weight;
		if (at < 0)
			return &ctx->candidates[i];
	}
	return &ctx->candidates[n - 1];
}

/* Moves the candidates near the best to the front; returns their number and the
 * sum of their weights. */
static size_t keep_near_best(struct rt *ctx, const struct rt_pool *pool,
			     size_t n, double *sum)
{
	/* A pool without a known rate is assumed to get one request a second.
	 */
	double expected =
		MAX(pool->rate, 1.0) * REPORT_INTERVAL_S * (ctx->entries - 1);
	double best = ctx->candidates[0].total_us, factor = NEAR_BEST_FACTOR,
	       room;
	size_t good = 0;

	for (size_t i = 1; i < n; i++)
		best = MIN(best, ctx->candidates[i].total_us);
	for (; factor < NEAR_BEST_FACTOR_MAX; factor *= 1.25) {
		room = 0;
		for (size_t i = 0; i < n; i++) {
			if (ctx->candidates[i].total_us <=
			    best * factor + NEAR_BEST_SLACK_US)
				room += ctx->candidates[i].room;
		}
		if (room >= expected)
			break;
	}
	*sum = 0;
	for (size_t i = 0; i < n; i++) {
		if (ctx->candidates[i].total_us >
		    best * factor + NEAR_BEST_SLACK_US)
			continue;
		*sum += ctx->candidates[i].weight;
		ctx->candidates[good++] = ctx->candidates[i];
	}
	return good;
}

/*
 * Chooses an endpoint with free slots: the better of two random draws, weighted
 * by free capacity, from the candidates near the best. The randomness makes
 * entries that see the same report choose differently.
 */
static struct rt_candidate *
choose_candidate(struct rt *ctx, const struct rt_ticket *ticket, int64_t now_us)
{
	size_t n = collect_candidates(ctx, ticket, true, now_us), good;
	struct rt_candidate *a, *b;
	double sum;

	/* Copies of another version serve while no copy of the version in
	 * force is loaded and has a free slot. */
	if (!n)
		n = collect_candidates(ctx, ticket, false, now_us);
	if (!n)
		return NULL;
	good = keep_near_best(ctx, ticket->pool, n, &sum);
	a = draw_candidate(ctx, good, sum);
	b = draw_candidate(ctx, good, sum);
	return b->total_us < a->total_us ? b : a;
}

static void detach(struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_ep *ep = ticket->ep;

	if (!ep)
		return;
	TAILQ_REMOVE(&ep->tickets, ticket, ep_entry);
	ep->in_flight--;
	if (ticket->suspect)
		ep->suspects--;
	rt_sample_in_flight(ep, now_us);
	ticket->ep = NULL;
}

static bool grant(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_candidate *candidate = choose_candidate(ctx, ticket, now_us);
	struct rt_pool *pool = ticket->pool;
	struct rt_ep *ep;

	if (!candidate)
		return false;
	ep = candidate->link->ep;
	if (ticket->queued) {
		if (pool->granted_us) {
			double gap = (double)(now_us - pool->granted_us);

			pool->grant_gap_us += (gap - pool->grant_gap_us) /
					      MIN(pool->n_gap + 1.0, 16.0);
			pool->n_gap += 1.0;
		}
		rt_queue_remove(ctx, ticket);
	}
	pool->granted_us = pool->waiting ? now_us : 0;
	ticket->state = RT_STATE_GRANTED;
	ticket->ep = ep;
	ticket->speed = candidate->link->speed;
	ticket->dispatch_us = now_us;
	ticket->first_us = 0;
	ticket->load = candidate->load + 1.0;
	ticket->cost = candidate->cost;
	ticket->predicted_base_us = candidate->base_us;
	ticket->predicted_us = (int64_t)candidate->first_us;
	hint_sent(&ep->hint, now_us);
	lim_sent(&ep->lim, now_us);
	TAILQ_INSERT_TAIL(&ep->tickets, ticket, ep_entry);
	ep->in_flight++;
	if (ticket->suspect)
		ep->suspects++;
	rt_sample_in_flight(ep, now_us);
	rt_queue_charge(ticket->queue, rt_service_us(pool, ep), now_us);
	return true;
}

static bool grant_from(struct rt *ctx, struct rt_queue *queue, int64_t now_us)
{
	struct rt_ticket *ticket = TAILQ_FIRST(&queue->tickets);

	for (int i = 0; ticket && i < GRANT_ATTEMPTS_MAX; i++) {
		struct rt_ticket *next = TAILQ_NEXT(ticket, entry);

		if (grant(ctx, ticket, now_us))
			return true;
		ticket = next;
	}
	return false;
}

static void schedule(struct rt *ctx, GPtrArray *links, struct rt_pool *only,
		     int64_t now_us)
{
	struct rt_queue *queue;

	if (!ctx->waiting)
		return;
	ctx->pass++;
	while ((queue = rt_queue_next(ctx, links, only, now_us))) {
		if (!grant_from(ctx, queue, now_us))
			queue->blocked = ctx->pass;
	}
	if (only)
		only->scheduled_us = now_us;
}

static void refuse(struct rt *ctx, struct rt_ticket *ticket,
		   enum rt_reason reason)
{
	rt_queue_remove(ctx, ticket);
	ticket->state = RT_STATE_REFUSED;
	ticket->reason = reason;
}

static void ticket_free(struct rt_ticket *ticket)
{
	view_unref(ticket->view);
	g_free(ticket->version);
	g_free(ticket->exclude);
	g_free(ticket->software);
	g_free(ticket);
}

/* Expected time until the pool has granted all tickets ahead of a new one and
 * the new one. */
static double queue_wait_us(const struct rt *ctx,
			    const struct rt_ticket *ticket)
{
	const struct rt_pool *pool = ticket->pool;
	double rate = 0, gap;
	uint32_t ahead =
		rt_queue_ahead(pool, ticket->queue->class, ticket->deadline_us);

	for (guint i = 0; i < pool->links->len; i++) {
		const struct rt_link *link = g_ptr_array_index(pool->links, i);

		if (link->ready)
			rate += link->ep->slots /
				MAX(rt_service_us(pool, link->ep), 1.0);
	}
	if (rate <= 0)
		return 0;
	gap = ctx->entries / rate;
	if (pool->n_gap > 0) {
		double known = MIN(pool->n_gap, 16.0) / 16.0;

		gap += known * (pool->grant_gap_us - gap);
	}
	return (ahead + 1.0) * gap;
}

struct estimate {
	bool ready;	  /* a ready copy that the ticket may use */
	bool loading;	  /* a copy that is not ready yet */
	double min_us;	  /* shortest time on an idle endpoint */
	double wait_us;	  /* expected wait in the queue */
	int64_t pause_us; /* until the first endpoint is not paused */
};

static struct estimate estimate_wait(const struct rt *ctx,
				     const struct rt_ticket *ticket,
				     int64_t now_us)
{
	struct estimate out = { .min_us = -1 };
	int64_t avoid_us = INT64_MAX;
	int64_t pause_us = INT64_MAX;
	GPtrArray *links = ticket->pool->links;

	for (guint i = 0; i < links->len; i++) {
		struct rt_link *link = g_ptr_array_index(links, i);
		struct rt_candidate candidate = { 0 };
		double floor;

		if (is_excluded(ticket, link->ep))
			continue;
		if (hint_bar(&link->ep->hint, now_us) == HINT_LEAVING)
			continue;
		if (!link->ready) {
			out.loading = true;
			continue;
		}
		out.ready = true;
		pause_us = MIN(pause_us, ep_wait_us(link->ep, now_us));
		avoid_us = MIN(avoid_us, MAX(link->ep->avoid_until_us - now_us,
					     ep_wait_us(link->ep, now_us)));
		rt_predict(ctx, link, ticket, now_us, &candidate);
		floor = candidate.base_us;
		if (ticket->whole)
			floor += candidate.total_us - candidate.first_us;
		if (out.min_us < 0 || floor < out.min_us)
			out.min_us = floor;
	}
	out.min_us = MAX(out.min_us, 0);
	if (!out.ready)
		return out;
	out.wait_us = MAX(queue_wait_us(ctx, ticket), (double)avoid_us);
	out.pause_us = pause_us;
	return out;
}

static bool in_document(const struct rt *ctx, const struct rt_request *request)
{
	const struct view_document *document;

	document = view_document(ctx->view, request->team);
	if (!document || !document->parsed)
		return false;
	if (request->adapter && *request->adapter)
		return doc_adapter(document->parsed, request->model,
				   request->adapter);
	return doc_model(document->parsed, request->model);
}

static const char *version_in_force(const struct rt *ctx,
				    const struct rt_request *request)
{
	const struct view_document *document;
	const struct doc_adapter *adapter;
	const struct doc_model *model;

	if (!request->model || !request->team)
		return NULL;
	document = view_document(ctx->view, request->team);
	if (!document || !document->parsed)
		return NULL;
	if (request->adapter && *request->adapter) {
		adapter = doc_adapter(document->parsed, request->model,
				      request->adapter);
		return adapter ? adapter->version : NULL;
	}
	model = doc_model(document->parsed, request->model);
	return model ? model->version : NULL;
}

static struct rt_ticket *ticket_new(struct rt *ctx, struct rt_pool *pool,
				    const struct rt_request *request,
				    int64_t now_us)
{
	struct rt_ticket *ticket = g_new0(struct rt_ticket, 1);
	const struct doc_class *limits = request->class_limits;

	ticket->pool = pool;
	ticket->queue = rt_queue_of(ctx, pool, request);
	ticket->budget = rt_budget_of(ctx, request->team ? request->team : "");
	ticket->version = g_strdup(version_in_force(ctx, request));
	ticket->exclude = g_strdup(request->exclude);
	ticket->software = g_strdup(request->software);
	ticket->arrival_us = request->arrival_us;
	ticket->deadline_us = request->deadline_us
				      ? request->deadline_us
				      : now_us + DEFAULT_DEADLINE_US;
	ticket->whole = pool->plain || (limits && limits->deadline_us > 0);
	ticket->suspect = request->suspect;
	ticket->queue_max = limits ? limits->queue_max : 0;
	ticket->prompt_tokens = request->prompt_tokens;
	memcpy(ticket->prefix_hashes, request->prefix_hashes,
	       sizeof(ticket->prefix_hashes));
	ticket->no_copy_until_us = now_us + NO_COPY_WAIT_US;
	return ticket;
}

static void fill_decision(struct rt *ctx, struct rt_ticket *ticket,
			  struct rt_decision *out)
{
	*out = (struct rt_decision){
		.outcome = RT_WAIT,
		.ticket = ticket,
		.predicted_us = ticket->predicted_us,
	};
	switch (ticket->state) {
	case RT_STATE_WAITING:
		return;
	case RT_STATE_REFUSED:
		out->outcome = RT_REFUSE;
		out->reason = ticket->reason;
		out->retry_after_us =
			MAX(RETRY_AFTER_MIN_US, ticket->retry_after_us);
		return;
	case RT_STATE_GRANTED:
		ticket->state = RT_STATE_DISPATCHED;
		view_unref(ticket->view);
		ticket->view = view_ref(ctx->view);
		ticket->endpoint = ticket->ep->rec;
		break;
	case RT_STATE_DISPATCHED:
		break;
	}
	out->outcome = RT_DISPATCH;
	out->endpoint = ticket->endpoint;
}

/*
 * Decides whether a new ticket may wait. Returns the reason to refuse it, or
 * RT_REASON_NONE; a class at its limit may refuse another ticket instead.
 */
static enum rt_reason admit(struct rt *ctx, struct rt_ticket *ticket,
			    int64_t now_us, int64_t *retry_after_us)
{
	struct estimate estimate = estimate_wait(ctx, ticket, now_us);
	struct rt_ticket *other;
	double needed = estimate.wait_us + estimate.min_us;
	double remaining = (double)(ticket->deadline_us - now_us);
	uint32_t limit = ticket->queue_max ? ticket->queue_max : 256;

	ticket->min_us = estimate.min_us;
	*retry_after_us =
		(int64_t)CLAMP(needed - remaining, (double)RETRY_AFTER_MIN_US,
			       (double)RETRY_AFTER_MAX_US);
	*retry_after_us = MAX(*retry_after_us, estimate.pause_us);
	if (!estimate.ready && !estimate.loading && !ticket->pool->service->up)
		return RT_REASON_NO_ENDPOINT;
	if (estimate.loading)
		ticket->no_copy_until_us = ticket->deadline_us;
	if (remaining <= 0 || (estimate.ready && needed > remaining))
		return RT_REASON_DEADLINE_UNREACHABLE;
	if (ticket->retried)
		return RT_REASON_NONE;
	if (rt_queue_over_share(ticket->queue, ticket->queue_max))
		return RT_REASON_MODEL_SHARE;
	if (ticket->queue->class->waiting < limit)
		return RT_REASON_NONE;
	other = rt_queue_eviction(ticket->queue);
	if (!other || other->retried)
		return RT_REASON_QUEUE_FULL;
	refuse(ctx, other, RT_REASON_MODEL_SHARE);
	return RT_REASON_NONE;
}

/* Grants a new ticket at once if none waits in its pool and an endpoint has a
 * free slot; otherwise queues it or returns the reason to refuse it. */
static enum rt_reason grant_or_queue(struct rt *ctx, struct rt_ticket *ticket,
				     int64_t now_us, int64_t *retry_after_us)
{
	enum rt_reason reason;

	ticket->state = RT_STATE_WAITING;
	if (!ticket->pool->waiting && grant(ctx, ticket, now_us))
		return RT_REASON_NONE;
	reason = admit(ctx, ticket, now_us, retry_after_us);
	if (reason != RT_REASON_NONE)
		return reason;
	rt_queue_insert(ctx, ticket);
	if (!ticket->pool->granted_us)
		ticket->pool->granted_us = now_us;
	schedule(ctx, NULL, ticket->pool, now_us);
	return RT_REASON_NONE;
}

static void each_count_up(gpointer key, gpointer value, gpointer data)
{
	struct rt_ep *ep = value;
	struct rt *ctx = data;

	(void)key;
	if (ep->rec && ep->rec->state == DSP__ENDPOINT_STATE__ENDPOINT_UP)
		service_of(ctx, ep->rec->team, ep->rec->service)->up++;
}

static void each_schedule(gpointer key, gpointer value, gpointer data)
{
	struct rt_pool *pool = value;
	struct {
		struct rt *ctx;
		int64_t now_us;
	} *args = data;

	(void)key;
	if (pool->waiting)
		schedule(args->ctx, NULL, pool, args->now_us);
}

static void each_reset_up(gpointer key, gpointer value, gpointer data)
{
	struct rt_service *service = value;

	(void)key;
	(void)data;
	service->up = 0;
}

/* Sets the id of this instance in views; without one it is the only one. */
void rt_set_instance(struct rt *ctx, const char *id)
{
	g_free(ctx->self);
	ctx->self = g_strdup(id);
}

static void update_limit_share(const struct rt *ctx, struct rt_ep *ep)
{
	if (ep->lim.rate > 0)
		lim_set_share(&ep->lim, lim_share_of(ctx->view, ctx->self,
						     ep->id, ep->lim.rate));
}

static void each_update_limit(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	update_limit_share(data, value);
}

/* Installs a view and takes a reference to it. Waiting requests are scheduled
 * on endpoints and copies that it adds; leaving endpoints and unloading copies
 * get no more requests. */
void rt_set_view(struct rt *ctx, struct view *view, int64_t now_us)
{
	struct view *old = ctx->view;
	struct {
		struct rt *ctx;
		int64_t now_us;
	} args = { ctx, now_us };

	ctx->view = view_ref(view);
	ctx->view_pass++;
	for (size_t i = 0; i < view_n_endpoints(view); i++)
		ep_update(ctx, view_endpoint_at(view, i));
	g_hash_table_foreach_remove(ctx->eps, ep_remove_missing, ctx);
	g_hash_table_foreach(ctx->services, each_reset_up, NULL);
	g_hash_table_foreach(ctx->eps, each_count_up, ctx);
	g_hash_table_foreach(ctx->eps, each_update_limit, ctx);
	view_unref(old);
	if (ctx->waiting)
		g_hash_table_foreach(ctx->pools, each_schedule, &args);
}

/* Takes a load report; reports of another incarnation and those that are older
 * than the last one are ignored. */
void rt_report(struct rt *ctx, const Dsp__LoadReport *report, int64_t now_us)
{
	struct rt_ep *ep = g_hash_table_lookup(ctx->eps, report->endpoint);
	double total;

	if (!ep || report->incarnation != ep->incarnation)
		return;
	if (ep->reported && report->sequence <= ep->report_seq)
		return;
	ep->reported = true;
	ep->report_seq = report->sequence;
	ep->report_us = now_us - (int64_t)report->age_ms * 1000;
	/* At most one batch is assumed to wait, so that a wrong report cannot
	 * exclude an endpoint permanently. */
	total = MIN(report->running, ep->slots);
	total += MIN(report->waiting, ep->slots);
	ep->others = MAX(total - rt_in_flight_at(ep, ep->report_us), 0.0);
	schedule(ctx, ep->links, NULL, now_us);
}

/* Sets the number of entries that share the endpoints, this one included. */
void rt_set_entries(struct rt *ctx, uint32_t entries)
{
	ctx->entries = MAX(entries, 1);
}

static void update_rate(struct rt_pool *pool, int64_t now_us)
{
	double gap_s = (double)(now_us - pool->arrived_us) / 1e6;

	pool->rate *= exp2(-gap_s / RATE_HALF_S);
	/* With this increment the decayed sum converges to the request rate. */
	pool->rate += G_LN2 / RATE_HALF_S;
	pool->arrived_us = now_us;
}

/*
 * Decides on a new request. With RT_DISPATCH and RT_WAIT the ticket must be
 * ended by rt_done(); with RT_REFUSE there is none and no endpoint has seen the
 * request.
 */
void rt_submit(struct rt *ctx, const struct rt_request *request, int64_t now_us,
	       struct rt_decision *out)
{
	struct rt_pool *pool;
	struct rt_ticket *ticket;
	enum rt_reason reason;
	int64_t retry_after_us = RETRY_AFTER_MIN_US;
	const char *team = request->team ? request->team : "";

	pool = pool_find(ctx, team, request->service, request->model,
			 request->adapter);
	if (!pool && request->model && request->team &&
	    in_document(ctx, request))
		pool = pool_of(ctx, team, request->service, request->model,
			       request->adapter);
	if (!pool) {
		*out = (struct rt_decision){
			.outcome = RT_REFUSE,
			.reason = RT_REASON_NO_ENDPOINT,
			.retry_after_us = RETRY_AFTER_MAX_US,
		};
		return;
	}
	update_rate(pool, now_us);
	ticket = ticket_new(ctx, pool, request, now_us);
	rt_budget_credit(ticket->budget);
	reason = grant_or_queue(ctx, ticket, now_us, &retry_after_us);
	if (reason == RT_REASON_NONE) {
		fill_decision(ctx, ticket, out);
		return;
	}
	ticket_free(ticket);
	*out = (struct rt_decision){
		.outcome = RT_REFUSE,
		.reason = reason,
		.retry_after_us = retry_after_us,
	};
}

static bool grant_valid(const struct rt_ticket *ticket, int64_t now_us)
{
	const struct rt_ep *ep = ticket->ep;

	if (hint_bar(&ep->hint, now_us) != HINT_FREE)
		return false;
	for (guint i = 0; ep->rec && i < ep->links->len; i++) {
		const struct rt_link *link = g_ptr_array_index(ep->links, i);

		if (link->pool == ticket->pool && link->ready)
			return !ep->half_open || ep->in_flight == 1;
	}
	return false;
}

/* Whether all endpoints that could serve the ticket are paused for longer than
 * it can wait; sets when the first pause ends. */
static bool is_paused_too_long(struct rt_ticket *ticket, int64_t now_us)
{
	int64_t latest_us = ticket->deadline_us - (int64_t)ticket->min_us;
	int64_t pause_us = 0;

	for (guint i = 0; i < ticket->pool->links->len; i++) {
		const struct rt_link *link =
			g_ptr_array_index(ticket->pool->links, i);
		int64_t wait_us = ep_wait_us(link->ep, now_us);

		if (is_excluded(ticket, link->ep) ||
		    hint_bar(&link->ep->hint, now_us) == HINT_LEAVING)
			continue;
		if (!link->ready || !wait_us)
			return false;
		pause_us = pause_us ? MIN(pause_us, wait_us) : wait_us;
	}
	if (!pause_us || now_us + pause_us <= latest_us)
		return false;
	ticket->retry_after_us = pause_us;
	return true;
}

static bool cannot_be_served(struct rt_ticket *ticket, int64_t now_us)
{
	if ((double)now_us + ticket->min_us > (double)ticket->deadline_us) {
		ticket->reason = RT_REASON_DEADLINE_UNREACHABLE;
		return true;
	}
	if (is_paused_too_long(ticket, now_us)) {
		ticket->reason = RT_REASON_DEADLINE_UNREACHABLE;
		return true;
	}
	if (now_us < ticket->no_copy_until_us)
		return false;
	for (guint i = 0; i < ticket->pool->links->len; i++) {
		const struct rt_link *link;

		link = g_ptr_array_index(ticket->pool->links, i);
		if (hint_bar(&link->ep->hint, now_us) == HINT_LEAVING)
			continue;
		if (!is_excluded(ticket, link->ep))
			return false;
	}
	ticket->reason = RT_REASON_NO_ENDPOINT;
	return true;
}

/*
 * Asks again for a ticket that got RT_WAIT. A ticket that is refused now must
 * still be ended by rt_done(); no endpoint has seen its request.
 */
void rt_poll(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	     struct rt_decision *out)
{
	if (ticket->state == RT_STATE_GRANTED && !grant_valid(ticket, now_us)) {
		detach(ticket, now_us);
		ticket->state = RT_STATE_WAITING;
		rt_queue_insert(ctx, ticket);
	}
	if (ticket->state == RT_STATE_WAITING) {
		int64_t since = now_us - ticket->pool->scheduled_us;

		if (since >= SCHEDULE_INTERVAL_US)
			schedule(ctx, NULL, ticket->pool, now_us);
	}
	if (ticket->state == RT_STATE_WAITING &&
	    cannot_be_served(ticket, now_us))
		refuse(ctx, ticket, ticket->reason);
	fill_decision(ctx, ticket, out);
}

/*
 * Asks for another endpoint after a dispatched attempt failed. One retry is
 * allowed within the deadline and the retry budget of the team; RT_REFUSE here
 * says only that there is no further attempt. The ticket must still be ended.
 */
void rt_retry(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	      struct rt_decision *out)
{
	int64_t retry_after_us = RETRY_AFTER_MIN_US;
	enum rt_reason reason;
	struct rt_ep *ep = ticket->ep;

	if (ep) {
		g_free(ticket->exclude);
		ticket->exclude = g_strdup(ep->id);
	}
	detach(ticket, now_us);
	if (ep)
		schedule(ctx, ep->links, NULL, now_us);
	if (ticket->retried || !rt_budget_take(ticket->budget)) {
		refuse(ctx, ticket, RT_REASON_RETRY_BUDGET);
		fill_decision(ctx, ticket, out);
		return;
	}
	ticket->retried = true;
	ticket->no_copy_until_us = now_us + NO_COPY_WAIT_US;
	reason = grant_or_queue(ctx, ticket, now_us, &retry_after_us);
	if (reason != RT_REASON_NONE)
		refuse(ctx, ticket, reason);
	fill_decision(ctx, ticket, out);
	if (out->outcome == RT_REFUSE)
		out->retry_after_us = retry_after_us;
}

static void clear_backoff(struct rt_ep *ep)
{
	ep->half_open = false;
	ep->backoff_us = 0;
	ep->avoid_until_us = 0;
}

/* Records that the first token (or the answer of a plain service) arrived. */
void rt_first_token(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us)
{
	if (ticket->state != RT_STATE_DISPATCHED || !ticket->ep ||
	    ticket->first_us)
		return;
	if (!ticket->software)
		ticket->software = g_strdup(ticket->endpoint->software);
	rt_record_first_token(ticket, now_us);
	rt_prefix_record(ctx, ticket, now_us);
	clear_backoff(ticket->ep);
}

/* Ends a ticket in any state and frees it. tokens is the number of generated
 * tokens. */
void rt_done(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	     uint32_t tokens, bool success)
{
	struct rt_ep *ep = ticket->ep;

	(void)tokens;
	rt_queue_remove(ctx, ticket);
	if (ep && success && ticket->state == RT_STATE_DISPATCHED) {
		rt_first_token(ctx, ticket, now_us);
		rt_record_completion(ticket, now_us);
	}
	detach(ticket, now_us);
	ticket_free(ticket);
	if (ep)
		schedule(ctx, ep->links, NULL, now_us);
}

/*
 * Records that a connection to the endpoint was refused or broke. The endpoint
 * gets no new request until its backoff has passed, then one at a time until
 * one succeeds. Failures of an earlier incarnation are ignored.
 */
void rt_endpoint_failed(struct rt *ctx, const char *endpoint,
			uint64_t incarnation, int64_t now_us)
{
	struct rt_ep *ep = g_hash_table_lookup(ctx->eps, endpoint);

	if (!ep || ep->incarnation != incarnation)
		return;
	ep->half_open = true;
	/* Connections that break during a backoff count as one failure. */
	if (now_us < ep->avoid_until_us)
		return;
	ep->backoff_us =
		CLAMP(ep->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	ep->avoid_until_us = now_us + ep->backoff_us;
}

/*
 * Records what an answer of an endpoint's process said about further requests;
 * see hint_saw(). Grants that were not fetched yet are withdrawn at the next
 * rt_poll().
 */
unsigned rt_saw_hint(struct rt *ctx, const char *endpoint, uint64_t incarnation,
		     bool leaving, int64_t pause_us, double jitter,
		     int64_t now_us)
{
	struct rt_ep *ep = g_hash_table_lookup(ctx->eps, endpoint);

	if (!ep || ep->incarnation != incarnation)
		return 0;
	return hint_saw(&ep->hint, leaving, pause_us, jitter, now_us);
}

/* Records the limit that an answer of the endpoint's process named; 0: none.
 * See lim_saw() and lim_begin(). */
enum lim_news rt_saw_limit(struct rt *ctx, const char *endpoint,
			   uint64_t incarnation, double rate, double jitter,
			   int64_t now_us)
{
	struct rt_ep *ep = g_hash_table_lookup(ctx->eps, endpoint);
	enum lim_news news;

	if (!ep || ep->incarnation != incarnation)
		return LIM_SAME;
	news = lim_saw(&ep->lim, rate, now_us);
	if (news == LIM_NAMED || news == LIM_CHANGED)
		update_limit_share(ctx, ep);
	if (news == LIM_NAMED)
		lim_begin(&ep->lim, jitter, now_us);
	return news;
}

/* Returns whether the endpoint's process wants no requests. */
enum hint_bar rt_bar(const struct rt *ctx, const char *endpoint,
		     uint64_t incarnation, int64_t now_us)
{
	const struct rt_ep *ep = g_hash_table_lookup(ctx->eps, endpoint);

	if (!ep || ep->incarnation != incarnation)
		return HINT_FREE;
	return hint_bar(&ep->hint, now_us);
}

/* Returns the latest time at which to ask again for a waiting ticket. */
int64_t rt_next_us(const struct rt *ctx, const struct rt_ticket *ticket,
		   int64_t now_us)
{
	int64_t latest_start_us = ticket->deadline_us - (int64_t)ticket->min_us;

	(void)ctx;
	if (ticket->state != RT_STATE_WAITING)
		return now_us;
	return MAX(now_us, MIN(now_us + POLL_US, latest_start_us + 1));
}

/* Returns whether rt_poll() would now return another outcome than RT_WAIT. */
bool rt_decided(const struct rt_ticket *ticket)
{
	return ticket->state != RT_STATE_WAITING;
}

/* Returns this entry's requests in flight on an endpoint. */
uint32_t rt_in_flight(const struct rt *ctx, const char *endpoint)
{
	const struct rt_ep *ep = g_hash_table_lookup(ctx->eps, endpoint);

	return ep ? ep->in_flight : 0;
}

/* Returns the number of requests that wait in queues. */
uint32_t rt_waiting(const struct rt *ctx)
{
	return ctx->waiting;
}

/* Returns the code of a reason for error responses. */
const char *rt_reason_code(enum rt_reason reason)
{
	switch (reason) {
	case RT_REASON_NONE:
		return "none";
	case RT_REASON_NO_ENDPOINT:
		return "no_endpoint";
	case RT_REASON_DEADLINE_UNREACHABLE:
		return "deadline_unreachable";
	case RT_REASON_QUEUE_FULL:
		return "queue_full";
	case RT_REASON_MODEL_SHARE:
		return "model_share";
	case RT_REASON_RETRY_BUDGET:
		return "retry_budget";
	}
	return "none";
}
