#include "edge/edge_int.h"

#include <event2/thread.h>
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/msg.h"

/* Interval of the timer for demand reports and the order sender. */
#define TICK_US 100000
#define REPORT_INTERVAL_US 500000
/* A view that this thread uses later than this after it came is logged. */
#define VIEW_WAIT_LONG_US 300000
/* Observed loads that wait for the edge thread: several updates of all
 * endpoints at the scale to design for. */
#define LOADS_IN_MAX 4096
/* Messages with copies of streams that wait for the edge thread. */
#define COPIES_IN_MAX 256
/* The entry closes an idle connection later than the announced idle time, so
 * that no request crosses the close. */
#define IDLE_MARGIN_US 1000000
#define MB_BYTES (1 << 20)
/* Fields that are added to the head of a request for a helper. */
#define DETOUR_HEADER_BYTES 2048
/* Share of the process's memory that may hold bytes of callers and endpoints.
 * The rest is for the state, the allocator's own use and free space in buffers
 * that grow. */
#define BUFFERED_SHARE 0.5

static void demand_free(void *data)
{
	struct edge_demand *demand = data;

	g_free(demand->model);
	g_free(demand->adapter);
	g_free(demand);
}

static void budget_free(void *data)
{
	rep_free(data);
}

static void free_demand_message(void *data)
{
	dsp__demand__free_unpacked(data, NULL);
}

static void free_pace_message(void *data)
{
	dsp__pace__free_unpacked(data, NULL);
}

static void free_load_message(void *data)
{
	dsp__load_report__free_unpacked(data, NULL);
}

static void free_copies_message(void *data)
{
	dsp__stream_copies__free_unpacked(data, NULL);
}

/* Creates the edge without any connections. */
struct edge *edge_new(const struct set *settings, struct clk *clock,
		      struct met *metrics)
{
	struct edge *ctx = g_new0(struct edge, 1);

	ctx->set = settings;
	ctx->clock = clock;
	ctx->met = metrics;
	pthread_mutex_init(&ctx->lock, NULL);
	pthread_cond_init(&ctx->calls_ended, NULL);
	STAILQ_INIT(&ctx->done);
	STAILQ_INIT(&ctx->held);
	LIST_INIT(&ctx->forwards);
	ctx->demands_in = g_ptr_array_new_with_free_func(free_demand_message);
	ctx->paces_in = g_ptr_array_new_with_free_func(free_pace_message);
	ctx->loads_in = g_ptr_array_new_with_free_func(free_load_message);
	ctx->copies_in = g_ptr_array_new_with_free_func(free_copies_message);
	ctx->sent_elsewhere =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->paces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->view = view_new_empty();
	ctx->bal = bal_new();
	bal_set_locality(
		ctx->bal,
		&(struct loc_options){
			.ms_per_kb = settings->edge.site_ms_per_kb,
			.leave_share_max = settings->edge.site_leave_share,
		});
	ctx->queue = adm_new();
	rep_share_init(&ctx->repeat_share,
		       settings->edge.repeat_settle_ms * 1000LL,
		       settings->node_lease_ms * 1000LL, clk_now_us(clock));
	ctx->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     budget_free);
	ctx->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     demand_free);
	evthread_use_pthreads();
	ctx->base = event_base_new();
	ctx->mem = hio_mem_new(
		(size_t)(settings->edge.memory_mb * MB_BYTES * BUFFERED_SHARE));
	ctx->detour = edge_detour_new(ctx);
	ctx->quota = edge_quota_new(ctx);
	ctx->slots = edge_slots_new(ctx);
	ctx->versions = edge_versions_new(ctx);
	return ctx;
}

/* Frees the edge after edge_stop(), or if it was never started. */
void edge_free(struct edge *ctx)
{
	if (!ctx)
		return;
	edge_quota_free(ctx->quota);
	if (ctx->wake)
		event_free(ctx->wake);
	if (ctx->tick)
		event_free(ctx->tick);
	if (ctx->queue_event)
		event_free(ctx->queue_event);
	edge_detour_free(ctx->detour);
	edge_slots_free(ctx->slots);
	edge_versions_free(ctx->versions);
	event_base_free(ctx->base);
	hio_mem_free(ctx->mem);
	g_ptr_array_free(ctx->demands_in, TRUE);
	g_ptr_array_free(ctx->paces_in, TRUE);
	g_ptr_array_free(ctx->loads_in, TRUE);
	g_ptr_array_free(ctx->copies_in, TRUE);
	g_hash_table_destroy(ctx->paces);
	g_hash_table_destroy(ctx->sent_elsewhere);
	g_hash_table_destroy(ctx->budgets);
	g_hash_table_destroy(ctx->demands);
	bal_free(ctx->bal);
	adm_free(ctx->queue);
	rtab_free(ctx->routes);
	view_unref(ctx->view);
	view_unref(ctx->next_view);
	pthread_cond_destroy(&ctx->calls_ended);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

/* ---- Called by the control thread ---- */

static void wake(struct edge *ctx)
{
	if (ctx->wake)
		event_active(ctx->wake, EV_READ, 0);
}

static void view_changed(void *data, struct view *view)
{
	struct edge *ctx = data;

	pthread_mutex_lock(&ctx->lock);
	view_unref(ctx->next_view);
	if (!ctx->next_view_us)
		ctx->next_view_us = clk_now_us(ctx->clock);
	ctx->next_view = view_ref(view);
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

static void demand_reported(void *data, const Dsp__Demand *demand)
{
	struct edge *ctx = data;

	pthread_mutex_lock(&ctx->lock);
	g_ptr_array_add(ctx->demands_in, msg_dup(demand));
	if (demand->refused)
		wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

static void pace_reported(void *data, const Dsp__Pace *pace)
{
	struct edge *ctx = data;

	pthread_mutex_lock(&ctx->lock);
	g_ptr_array_add(ctx->paces_in, msg_dup(pace));
	pthread_mutex_unlock(&ctx->lock);
}

static void load_observed(void *data, const Dsp__LoadReport *load)
{
	struct edge *ctx = data;

	/* Without callers only the order sender asks, and only whether an
	 * endpoint leaves. */
	if (!ctx->set->edge.front && !load->leaving)
		return;
	pthread_mutex_lock(&ctx->lock);
	/* The thread takes all at once, and the first one has woken it. */
	if (!ctx->loads_in->len)
		wake(ctx);
	if (ctx->loads_in->len < LOADS_IN_MAX)
		g_ptr_array_add(ctx->loads_in, msg_dup(load));
	else
		met_count(ctx->met, "dandelionspar_edge_loads_dropped", "", 1);
	pthread_mutex_unlock(&ctx->lock);
}

/* They are taken by the next tick: an answer about them is asked for later, and
 * the thread needs not wake for them. */
static void stream_copies_came(void *data, const Dsp__StreamCopies *copies)
{
	struct edge *ctx = data;

	if (!ctx->set->edge.front)
		return;
	pthread_mutex_lock(&ctx->lock);
	if (ctx->copies_in->len < COPIES_IN_MAX)
		g_ptr_array_add(ctx->copies_in, msg_dup(copies));
	pthread_mutex_unlock(&ctx->lock);
}

static void quota_granted(void *data, const Dsp__QuotaGrants *grants)
{
	struct edge *ctx = data;

	pthread_mutex_lock(&ctx->lock);
	edge_quota_receive(ctx->quota, grants);
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

static void quota_leader_changed(void *data)
{
	struct edge *ctx = data;

	pthread_mutex_lock(&ctx->lock);
	edge_quota_leader_changed(ctx->quota);
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

static uint32_t streams(void *data)
{
	return edge_in_flight(data);
}

/* Returns the callbacks for ctl_start(). */
struct ctl_callbacks edge_ctl_callbacks(struct edge *ctx)
{
	return (struct ctl_callbacks){
		.data = ctx,
		.view_changed = view_changed,
		.streams = streams,
		.demand = demand_reported,
		.pace = pace_reported,
		.observed_load = load_observed,
		.quota_grants = quota_granted,
		.quota_leader = quota_leader_changed,
		.prompts = edge_slots_receive,
		.stream_copies = stream_copies_came,
	};
}

/* Returns the number of connections with answers, or parts of them, that are
 * not written yet, or that a slow caller has yet to read; callable from any
 * thread. */
unsigned edge_unsent(const struct edge *ctx)
{
	return hio_mem_unsent(ctx->mem);
}

/* Returns the number of unanswered requests; callable from any thread. */
unsigned edge_in_flight(const struct edge *ctx)
{
	return ctx->in_flight;
}

/* ---- Edge thread ---- */

static void apply_table(struct edge *ctx, const Dsp__RouteTable *table)
{
	const Dsp__CallerLimits *from = table->limits;
	int64_t start_us = clk_now_us(ctx->clock);
	size_t indexed = table->n_routes;
	int64_t took_us;

	if (ctx->routes)
		indexed = rtab_update(ctx->routes, ctx->table, table);
	else
		ctx->routes = rtab_new(table);
	ctx->table = table;
	edge_quota_set_table(ctx->quota, table);
	took_us = clk_now_us(ctx->clock) - start_us;
	met_count(ctx->met, "dandelionspar_edge_routes_indexed", "", indexed);
	met_observe_us(ctx->met, "dandelionspar_edge_table_apply_us", "",
		       took_us);
	if (ctx->front && from && from->header_bytes && from->body_bytes &&
	    from->header_ms && from->idle_ms) {
		struct hio_limits limits = {
			.header_bytes = from->header_bytes,
			.body_bytes = from->body_bytes,
			.header_us = from->header_ms * 1000LL,
			.idle_us = from->idle_ms * 1000LL + IDLE_MARGIN_US,
		};

		hio_server_set_limits(ctx->front, &limits);
		limits.header_bytes += DETOUR_HEADER_BYTES;
		if (ctx->detours)
			hio_server_set_limits(ctx->detours, &limits);
	}
	LOG_EVENT_NOTICE("edge", "route_table",
			 "number=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT
			 " routes=%zu services=%zu indexed=%zu"
			 " took_us=%" G_GINT64_FORMAT,
			 table->number, table->index, table->n_routes,
			 table->n_services, indexed, took_us);
}

static void update_repeat_share(struct edge *ctx)
{
	rep_share_update(&ctx->repeat_share, bal_entries(ctx->bal),
			 bal_is_entry(ctx->bal), ctl_state(ctx->ctl).stale_us,
			 clk_now_us(ctx->clock));
}

static void apply_view(struct edge *ctx, struct view *view)
{
	const Dsp__RouteTable *table = view_route_table(view);
	struct view *old = ctx->view;

	ctx->view = view;
	bal_set_view(ctx->bal, view, ctx->set->id);
	update_repeat_share(ctx);
	/* The old table belongs to the old view, which is released below. */
	if (table && table != ctx->table)
		apply_table(ctx, table);
	if (ctx->agent)
		agent_view_changed(ctx->agent);
	edge_detour_view_changed(ctx->detour);
	edge_parts_view_changed(ctx->parts);
	edge_slots_view_changed(ctx->slots);
	edge_versions_view_changed(ctx->versions);
	fwd_run_queue(ctx);
	view_unref(old);
}

/* Measures how long this thread took to get to a view that the control thread
 * has, and has reported to the leader. */
static void note_view_wait(struct edge *ctx, const struct view *view,
			   int64_t since_us)
{
	int64_t wait_us = clk_now_us(ctx->clock) - since_us;

	met_observe_us(ctx->met, "dandelionspar_edge_view_wait_us", "",
		       wait_us);
	if (wait_us > VIEW_WAIT_LONG_US)
		LOG_EVENT_NOTICE("edge", "view_wait",
				 "view=%" G_GUINT64_FORMAT
				 " had=%" G_GUINT64_FORMAT " wait_us=%" PRId64,
				 view_index(view), view_index(ctx->view),
				 wait_us);
}

static void process_loads(struct edge *ctx)
{
	int64_t now_us = clk_now_us(ctx->clock);
	GPtrArray *loads;

	pthread_mutex_lock(&ctx->lock);
	loads = ctx->loads_in;
	ctx->loads_in = g_ptr_array_new_with_free_func(free_load_message);
	pthread_mutex_unlock(&ctx->lock);
	for (guint i = 0; i < loads->len; i++) {
		const Dsp__LoadReport *load = loads->pdata[i];

		bal_observe(ctx->bal, load, now_us);
		edge_limit_news(ctx, load->endpoint,
				bal_observe_limit(ctx->bal, load,
						  g_random_double(), now_us),
				"report");
	}
	g_ptr_array_free(loads, TRUE);
}

static void process_copies(struct edge *ctx)
{
	GPtrArray *copies;

	pthread_mutex_lock(&ctx->lock);
	copies = ctx->copies_in;
	ctx->copies_in = g_ptr_array_new_with_free_func(free_copies_message);
	pthread_mutex_unlock(&ctx->lock);
	for (guint i = 0; i < copies->len; i++)
		edge_versions_keep(ctx->versions, copies->pdata[i]);
	g_ptr_array_free(copies, TRUE);
}

static void process_reports(struct edge *ctx)
{
	GPtrArray *in;
	GPtrArray *paces;

	pthread_mutex_lock(&ctx->lock);
	in = ctx->demands_in;
	paces = ctx->paces_in;
	ctx->demands_in = g_ptr_array_new_with_free_func(free_demand_message);
	ctx->paces_in = g_ptr_array_new_with_free_func(free_pace_message);
	pthread_mutex_unlock(&ctx->lock);
	for (guint i = 0; ctx->agent && i < paces->len; i++)
		agent_pace(ctx->agent, paces->pdata[i]);
	g_ptr_array_free(paces, TRUE);
	for (guint i = 0; ctx->agent && i < in->len; i++)
		agent_demand(ctx->agent, in->pdata[i]);
	g_ptr_array_free(in, TRUE);
}

static void begin_drain(struct edge *ctx)
{
	if (ctx->draining)
		return;
	ctx->draining = true;
	ctx->drain_start_us = clk_now_us(ctx->clock);
	fwd_drain(ctx);
	if (ctx->front)
		hio_server_drain(ctx->front);
	if (ctx->detours)
		hio_server_drain(ctx->detours);
}

static void on_wake(evutil_socket_t fd, short what, void *data)
{
	struct edge *ctx = data;
	struct view *view;
	int64_t view_us;
	bool stop;
	bool drain;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&ctx->lock);
	view = ctx->next_view;
	ctx->next_view = NULL;
	view_us = ctx->next_view_us;
	ctx->next_view_us = 0;
	stop = ctx->stop;
	drain = ctx->drain;
	pthread_mutex_unlock(&ctx->lock);
	if (drain)
		begin_drain(ctx);
	if (view) {
		note_view_wait(ctx, view, view_us);
		apply_view(ctx, view);
	}
	edge_quota_process(ctx->quota);
	process_loads(ctx);
	edge_slots_run(ctx->slots);
	fwd_run_held(ctx);
	process_reports(ctx);
	edge_calls_run(ctx);
	if (stop)
		event_base_loopbreak(ctx->base);
}

static void send_paces(struct edge *ctx)
{
	GHashTableIter iter;
	struct edge_pace *pace;
	char *id;

	g_hash_table_iter_init(&iter, ctx->paces);
	while (g_hash_table_iter_next(&iter, (void **)&id, (void **)&pace)) {
		Dsp__Pace message = DSP__PACE__INIT;

		message.endpoint = id;
		message.incarnation = pace->incarnation;
		message.read_tokens = pace->read_tokens;
		message.read_us = (uint64_t)pace->read_us;
		ctl_pace(ctx->ctl, &message);
	}
	g_hash_table_remove_all(ctx->paces);
}

static void send_reports(struct edge *ctx)
{
	GHashTableIter iter;
	struct edge_demand *demand;

	g_hash_table_iter_init(&iter, ctx->demands);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&demand)) {
		Dsp__Demand message = DSP__DEMAND__INIT;

		message.model = demand->model;
		message.adapter = demand->adapter;
		message.requests = demand->requests;
		message.refused = demand->refused;
		ctl_demand(ctx->ctl, &message);
	}
	g_hash_table_remove_all(ctx->demands);
	send_paces(ctx);
	ctx->next_report_us = clk_now_us(ctx->clock) + REPORT_INTERVAL_US;
}

static void set_gauges(struct edge *ctx)
{
	struct hio_client_counts counts = hio_client_counts(ctx->client);
	size_t by_state[3] = { 0 };
	static const char *const labels[] = { "state=\"up\"",
					      "state=\"leaving\"",
					      "state=\"down\"" };

	for (size_t i = 0; i < view_n_endpoints(ctx->view); i++) {
		const Dsp__Endpoint *e = view_endpoint_at(ctx->view, i);

		if ((size_t)e->state < G_N_ELEMENTS(by_state))
			by_state[e->state]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(by_state); i++)
		met_gauge(ctx->met, "dandelionspar_edge_endpoints", labels[i],
			  (int64_t)by_state[i]);
	met_gauge(ctx->met, "dandelionspar_edge_in_flight", "", ctx->in_flight);
	met_gauge(ctx->met, "dandelionspar_edge_waiting", "",
		  adm_total(ctx->queue));
	met_gauge(ctx->met, "dandelionspar_edge_route_table", "",
		  ctx->table ? (int64_t)ctx->table->number : 0);
	met_gauge(ctx->met, "dandelionspar_edge_view_index", "",
		  (int64_t)view_index(ctx->view));
	met_gauge(ctx->met, "dandelionspar_edge_view_age_ms", "",
		  ctl_state(ctx->ctl).stale_us / 1000);
	if (ctx->set->edge.key_revoke_ms && ctx->lease.start_us)
		met_gauge(ctx->met, "dandelionspar_edge_lease_age_ms", "",
			  lse_age_us(&ctx->lease, clk_now_us(ctx->clock)) /
				  1000);
	met_gauge(ctx->met, "dandelionspar_edge_connections_opened", "",
		  (int64_t)counts.opened);
	met_gauge(ctx->met, "dandelionspar_edge_connections_reused", "",
		  (int64_t)counts.reused);
	hio_mem_set_gauges(ctx->mem, ctx->met);
	edge_quota_set_gauges(ctx->quota);
	edge_versions_set_gauges(ctx->versions);
	if (ctx->front)
		met_gauge(ctx->met, "dandelionspar_edge_callers_connected", "",
			  (int64_t)hio_server_connections(ctx->front));
}

static void on_tick(evutil_socket_t fd, short what, void *data)
{
	struct edge *ctx = data;
	int64_t now_us = clk_now_us(ctx->clock);

	(void)fd;
	(void)what;
	if (now_us >= ctx->next_report_us) {
		send_reports(ctx);
		set_gauges(ctx);
	}
	update_repeat_share(ctx);
	edge_detour_run(ctx->detour);
	process_copies(ctx);
	edge_quota_tick(ctx->quota);
	hio_mem_trim(ctx->mem);
	fwd_run_held(ctx);
	if (ctx->agent)
		agent_tick(ctx->agent, now_us);
}

/* Counts a request for a model or adapter. missed: no endpoint held it, and the
 * request waits or was refused; the first miss is reported at once. */
void edge_count_demand(struct edge *ctx, const char *model, const char *adapter,
		       bool missed)
{
	char *key = g_strdup_printf("%s/%s", model, adapter ? adapter : "");
	struct edge_demand *demand = g_hash_table_lookup(ctx->demands, key);

	if (!demand) {
		demand = g_new0(struct edge_demand, 1);
		demand->model = g_strdup(model);
		demand->adapter = g_strdup(adapter ? adapter : "");
		g_hash_table_insert(ctx->demands, key, demand);
	} else {
		g_free(key);
	}
	if (!missed) {
		demand->requests++;
		return;
	}
	if (!demand->refused++)
		send_reports(ctx);
}

static struct edge_pace *pace_of(struct edge *ctx, const struct bal_endpoint *e)
{
	struct edge_pace *pace = g_hash_table_lookup(ctx->paces, bal_id(e));

	if (!pace) {
		pace = g_new0(struct edge_pace, 1);
		g_hash_table_insert(ctx->paces, g_strdup(bal_id(e)), pace);
	}
	if (pace->incarnation != bal_incarnation(e))
		*pace = (struct edge_pace){ .incarnation = bal_incarnation(e) };
	return pace;
}

/* Adds the prefill of a prompt to the next report. No other prompt of this
 * instance was in prefill at the engine. */
void edge_add_prefill_sample(struct edge *ctx, const struct bal_endpoint *e,
			     uint32_t tokens, int64_t first_us)
{
	struct edge_pace *pace = pace_of(ctx, e);

	pace->read_tokens += tokens;
	pace->read_us += first_us;
}

/* Returns the retry budget of a service. */
struct rep *edge_budget(struct edge *ctx, const char *service)
{
	struct rep *budget = g_hash_table_lookup(ctx->budgets, service);

	if (budget)
		return budget;
	budget = rep_new();
	g_hash_table_insert(ctx->budgets, g_strdup(service), budget);
	return budget;
}

/* Returns the parameters of the retry budgets, with this instance's share. */
struct rep_options edge_budget_options(const struct edge *ctx)
{
	const struct set_edge *set = &ctx->set->edge;

	return (struct rep_options){
		.ratio = set->repeat_ratio,
		.window_s = set->repeat_window_s,
		.extra_share = rep_share_of(
			&ctx->repeat_share, set->repeat_extra,
			ctl_state(ctx->ctl).stale_us, clk_now_us(ctx->clock)),
	};
}

/*
 * Returns whether the keys of the table in use may be relied on. The control
 * thread's lease is for a view that this thread may not have yet; until then
 * the lease of the view in use applies.
 */
bool edge_has_lease(struct edge *ctx)
{
	int64_t length_us = ctx->set->edge.key_revoke_ms * 1000LL *
			    LSE_REVOKE_PERCENT / 100;
	struct lse newest;

	if (!length_us)
		return true;
	newest = ctl_state(ctx->ctl).lease;
	lse_follow(&ctx->lease, &newest, view_index(ctx->view));
	return lse_holds(&ctx->lease, length_us, clk_now_us(ctx->clock));
}

/* Returns whether this entry accepts requests of callers. */
bool edge_is_ready(struct edge *ctx)
{
	struct ctl_state state = ctl_state(ctx->ctl);

	if (ctx->draining || !ctx->routes)
		return false;
	switch (state.readiness) {
	case CTL_SERVING:
	case CTL_ISOLATED:
		return true;
	case CTL_STARTING:
	case CTL_STALE:
	case CTL_DRAINING:
		break;
	}
	return false;
}

static void on_queue_event(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	fwd_run_queue(data);
}

static void *run(void *data)
{
	struct edge *ctx = data;

	event_base_loop(ctx->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

/* Opens the configured listening sockets and starts the thread. */
bool edge_start(struct edge *ctx, struct ctl *ctl, GError **err)
{
	struct timeval tick = { .tv_usec = TICK_US };
	int error;

	ctx->ctl = ctl;
	ctx->client = hio_client_new(ctx->base, ctx->clock);
	ctx->parts = edge_parts_new(ctx);
	if (!edge_api_open(ctx, err))
		return false;
	if (ctx->set->control)
		ctx->agent = agent_new(ctx);
	ctx->queue_event = event_new(ctx->base, -1, 0, on_queue_event, ctx);
	ctx->tick = event_new(ctx->base, -1, EV_PERSIST, on_tick, ctx);
	event_add(ctx->tick, &tick);
	pthread_mutex_lock(&ctx->lock);
	ctx->wake = event_new(ctx->base, -1, EV_PERSIST, on_wake, ctx);
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
	error = pthread_create(&ctx->thread, NULL, run, ctx);
	if (error) {
		g_set_error(err, HIO_ERROR, HIO_ERROR_LISTEN,
			    "cannot create the edge thread: %s",
			    g_strerror(error));
		return false;
	}
	ctx->running = true;
	return true;
}

/* Begins a graceful stop; callable from any thread. */
void edge_drain(struct edge *ctx)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->drain = true;
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

/* Stops the thread; requests in flight are aborted. */
void edge_stop(struct edge *ctx)
{
	if (ctx->running) {
		pthread_mutex_lock(&ctx->lock);
		ctx->stop = true;
		wake(ctx);
		pthread_mutex_unlock(&ctx->lock);
		pthread_join(ctx->thread, NULL);
	}
	ctx->running = false;
	fwd_abort_all(ctx);
	edge_detour_stop(ctx->detour);
	edge_api_close(ctx);
	edge_calls_wait(ctx);
	agent_free(ctx->agent);
	ctx->agent = NULL;
	edge_parts_free(ctx->parts);
	ctx->parts = NULL;
	hio_client_free(ctx->client);
	ctx->client = NULL;
}
