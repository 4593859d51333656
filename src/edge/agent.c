#include "edge/edge_int.h"

#include <string.h>

#include "base/log.h"
#include "core/res.h"

/*
 * Sends the orders of the leader to engines. Each order names the number of
 * orders that the engine must have accepted before, so a late or duplicate
 * order has no effect, and the state that the engine reports is sufficient to
 * plan from.
 */

/* Delay before the first order of a new leader, in addition to the order lease
 * if its predecessor may still send orders. Fences separate the orders of
 * leaders in any case. */
#define LEASE_MARGIN_US 300000
#define ORDER_TIMEOUT_US 800000
#define STATE_TIMEOUT_US 800000
#define ORDER_CONNECT_US 400000
/* Limit of an engine state, which lists hundreds of copies. */
#define RESPONSE_MAX_BYTES (1 << 20)
#define REUSE_IDLE_US 600000
/* The state that an engine reports lags behind by some hundred milliseconds. */
#define REPORT_LAG_US 450000
/* Poll interval of an engine that executes an order: its next order and the
 * entries' knowledge of what it has loaded depend on it. */
#define POLL_BUSY_US 300000
/* Weight of a sample in the average prefill time of a token. Other work of the
 * engine only makes samples longer, so shorter ones weigh more. */
#define FASTER_WEIGHT 0.3
#define SLOWER_WEIGHT 0.03
/* Poll interval of idle engines: they may have restarted, or execute an
 * unanswered order late. */
#define POLL_IDLE_US 1500000
/* States of idle engines read in a second, which makes the interval longer with
 * more engines than 90. Each costs a connection, as idle ones are closed after
 * less than the interval. */
#define IDLE_READS_PER_S 60
/* States that are read at once. A new leader reads those of all engines; 561 of
 * 600 timed out when it began all in one tick. */
#define READS_MAX 64
/* Delay after a conflict on an adapter order. An engine loads a few adapters at
 * a time, each within some milliseconds. */
#define ADAPTER_RETRY_US 20000
/* Interval at which the leader announces what an engine holds, ahead of the
 * engine's own announcements, one each 1.2 s. */
#define ANNOUNCE_INTERVAL_US 1000000
/* The same with more than FLEET_ENGINES engines; what changed is announced at
 * once. Must be below ORDER_COPIES_VALID_US of ctl_member.c. */
#define ANNOUNCE_INTERVAL_FLEET_US 2500000
#define FLEET_ENGINES 256
/* Delay before the state is read after an error, since an unanswered order may
 * still be executed. */
#define RECHECK_DELAY_US 1000000
/* The same after a state was not read, with more than FLEET_ENGINES engines:
 * those of a lost site must not take all of READS_MAX. */
#define RECHECK_FLEET_US 4000000
/* Shortest time from one plan to the next, in microseconds and as a multiple of
 * the time that the last one took. A plan weighs all engines, and each answer
 * of an engine calls for one: while all engines answer, as at the begin of a
 * leadership, plans would leave no processor time to the control thread. */
#define PLAN_INTERVAL_US 20000
#define PLAN_REST_FACTOR 9
#define PLAN_INTERVAL_MAX_US 200000
#define PLAN_INTERVAL_FLEET_MAX_US 1000000
/* Interval at which numbers of models are freed that neither the document nor
 * an engine names. */
#define RELEASE_INTERVAL_US 10000000

enum engine_state {
	UNKNOWN,     /* the number of accepted orders is unknown */
	IDLE,	     /* ready for an order */
	ORDER_SENT,  /* waits for the response to an order */
	EXECUTING,   /* loads or unloads a model */
	UNCONFIRMED, /* an order was not answered; it may still be executed */
};

struct engine {
	struct agent *agent;
	char *id;
	char *service;
	char *address;
	uint64_t incarnation;
	bool usable;
	bool in_view; /* in the current view */
	/* Its record in the current view; NULL: to be read again. Views share
	 * unchanged records. */
	const Dsp__Endpoint *msg;
	enum engine_state state;
	uint64_t sequence;
	int64_t poll_us; /* time of the next state request; INT64_MAX: none */
	int64_t accepted_us;	 /* when the last order was accepted */
	int64_t next_order_us;	 /* no orders before this time */
	unsigned conflicts;	 /* consecutive */
	int64_t load_end_us;	 /* EXECUTING: when a load is expected to end */
	double prefill_token_us; /* prefill time of a token without other
				    prompts; 0: unknown */
	struct res_engine residency; /* only items and cached models */
	int64_t next_announce_us; /* next announcement of the items; 0: now */
	/* Call in progress. */
	struct hio_call *call;
	bool reads; /* call reads the state */
	struct event *timer;
	int status;
	GByteArray *body;
	struct res_order order; /* RES_NONE: none was sent */
	uint32_t order_mb;	/* most that the order's item has been listed
				   with since the order was sent */
	bool order_in_term; /* order was sent during the current leadership */
};

struct service {
	char *name;
	struct res *planner;
	bool listed; /* in the document */
};

struct agent {
	struct edge *edge;
	GHashTable *engines;  /* id -> struct engine */
	GHashTable *services; /* name -> struct service */
	bool has_table;
	uint64_t table_number; /* of the document in use */
	int64_t next_release_us;
	struct event *plan_timer; /* pending: a plan is due */
	int64_t next_plan_us;	  /* no plan before this time */
	bool active;
	unsigned n_reads;     /* states that are being read */
	uint64_t fenced_term; /* an engine has seen a higher fence than this
				 term */
};

static int64_t now_of(const struct agent *ctx)
{
	return clk_now_us(ctx->edge->clock);
}

static void clear_body(struct engine *e)
{
	hio_mem_give(e->agent->edge->mem, HIO_MEM_ANSWER, e->body->len);
	g_byte_array_unref(e->body);
	e->body = g_byte_array_new();
}

/* Ends the call, which has been answered, has failed or is cancelled. */
static void end_call(struct engine *e)
{
	if (e->reads)
		e->agent->n_reads--;
	e->reads = false;
	e->call = NULL;
	event_del(e->timer);
}

static void cancel_call(struct engine *e)
{
	if (e->call)
		hio_call_cancel(e->call);
	end_call(e);
	clear_body(e);
}

static void engine_free(void *data)
{
	struct engine *e = data;

	cancel_call(e);
	event_free(e->timer);
	g_byte_array_unref(e->body);
	g_free(e->id);
	g_free(e->service);
	g_free(e->address);
	g_free(e);
}

static void service_free(void *data)
{
	struct service *s = data;

	res_free(s->planner);
	g_free(s->name);
	g_free(s);
}

static void on_plan_timer(evutil_socket_t fd, short what, void *data);

/* Creates the order sender, which is active while this instance leads. */
struct agent *agent_new(struct edge *ctx)
{
	struct agent *agent = g_new0(struct agent, 1);

	agent->edge = ctx;
	agent->plan_timer = evtimer_new(ctx->base, on_plan_timer, agent);
	agent->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       engine_free);
	agent->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_free);
	return agent;
}

/* Frees the order sender; NULL is allowed. */
void agent_free(struct agent *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->engines);
	g_hash_table_destroy(ctx->services);
	event_free(ctx->plan_timer);
	g_free(ctx);
}

static bool is_fleet(const struct agent *ctx)
{
	return g_hash_table_size(ctx->engines) > FLEET_ENGINES;
}

static int64_t recheck_us(const struct agent *ctx)
{
	return is_fleet(ctx) ? RECHECK_FLEET_US : RECHECK_DELAY_US;
}

static struct res *planner_of(struct agent *ctx, const char *service)
{
	struct service *s = g_hash_table_lookup(ctx->services, service);

	return s ? s->planner : NULL;
}

/* ---- Residency ---- */

/* Size to count for an item that the engine holds from now on. The document may
 * have changed since its load was ordered. */
static uint32_t loaded_size_mb(const struct engine *e, struct res_item item)
{
	struct res *planner = planner_of(e->agent, e->service);
	uint32_t mb = res_size_mb(planner, item);
	bool ordered = e->order.kind == RES_LOAD &&
		       e->order.item.model == item.model &&
		       e->order.item.adapter == item.adapter;

	return ordered ? MAX(mb, e->order_mb) : mb;
}

static void add_resident(struct engine *e, struct res_item item,
			 uint32_t size_mb)
{
	struct res_engine *r = &e->residency;

	if (r->n_items == RES_ITEMS_MAX) {
		if (!r->truncated)
			LOG_EVENT_WARN("agent", "too_many_items",
				       "endpoint=%s limit=%d", e->id,
				       RES_ITEMS_MAX);
		r->truncated = true;
		return;
	}
	r->items_mb[r->n_items] = size_mb;
	r->items[r->n_items++] = item;
}

/* Adds a model or adapter that the engine reports; previous is what it held
 * according to the last report. */
static void add_reported(struct engine *e, const struct res_engine *previous,
			 const char *model, const char *adapter)
{
	struct res *planner = planner_of(e->agent, e->service);
	struct res_item item;

	if (!res_add_name(planner, model, adapter, &item)) {
		LOG_EVENT_INFO("agent", "unknown_adapter",
			       "endpoint=%s model=%s adapter=%s", e->id, model,
			       adapter);
		return;
	}
	for (size_t i = 0; i < previous->n_items; i++) {
		if (previous->items[i].model != item.model ||
		    previous->items[i].adapter != item.adapter)
			continue;
		add_resident(e, item, previous->items_mb[i]);
		return;
	}
	add_resident(e, item, loaded_size_mb(e, item));
}

static void set_residents(struct engine *e, Dsp__Copy *const *copies, size_t n)
{
	struct res_engine previous = e->residency;

	e->residency.n_items = 0;
	e->residency.truncated = false;
	if (!planner_of(e->agent, e->service))
		return;
	/* The rest of a report that is too long gets no numbers. */
	for (size_t i = 0; i < n && !e->residency.truncated; i++)
		add_reported(e, &previous, copies[i]->model,
			     copies[i]->adapter);
}

/* Fills list with the planner's numbers of the named models; unknown names are
 * skipped. */
static size_t set_cached_models(struct engine *e, char *const *names,
				uint32_t *list)
{
	struct res *planner = planner_of(e->agent, e->service);
	struct res_item item;
	size_t n = 0;

	for (size_t i = 0; planner && names[i]; i++)
		if (n < RES_CACHED_MAX &&
		    res_find(planner, names[i], NULL, &item))
			list[n++] = item.model;
	return n;
}

/* Removes an item; with a model, its adapters too. */
static void remove_resident(struct engine *e, struct res_item item)
{
	size_t n = 0;

	for (size_t i = 0; i < e->residency.n_items; i++) {
		struct res_item held = e->residency.items[i];

		if (held.model == item.model &&
		    (!item.adapter || held.adapter == item.adapter))
			continue;
		e->residency.items_mb[n] = e->residency.items_mb[i];
		e->residency.items[n++] = held;
	}
	e->residency.n_items = n;
}

/* Announces what the engine holds to all entries, ahead of the engine's own
 * announcement. */
static void announce(struct engine *e)
{
	struct agent *ctx = e->agent;
	struct res *planner = planner_of(ctx, e->service);
	const Dsp__Endpoint *known = view_endpoint(ctx->edge->view, e->id);
	Dsp__Announcement message = DSP__ANNOUNCEMENT__INIT;
	Dsp__Copy copies[RES_ITEMS_MAX];
	Dsp__Copy *list[RES_ITEMS_MAX];
	char adapters[RES_ITEMS_MAX][RES_ADAPTER_NAME_MAX];
	Dsp__Endpoint endpoint;

	e->next_announce_us =
		now_of(ctx) + (is_fleet(ctx) ? ANNOUNCE_INTERVAL_FLEET_US
					     : ANNOUNCE_INTERVAL_US);
	if (!known || !planner || known->incarnation != e->incarnation ||
	    known->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
		return;
	endpoint = *known;
	for (size_t i = 0; i < e->residency.n_items; i++) {
		struct res_item item = e->residency.items[i];
		Dsp__Copy *copy = &copies[i];

		dsp__copy__init(copy);
		copy->model = (char *)res_model_name(planner, item);
		if (item.adapter)
			copy->adapter = res_adapter_name(item, adapters[i]);
		copy->version = "1";
		copy->ready = true;
		list[i] = copy;
	}
	endpoint.copies = list;
	endpoint.n_copies = e->residency.n_items;
	message.endpoint = &endpoint;
	message.from_orders = true;
	ctl_announce(ctx->edge->ctl, &message);
}

/* Whether the engine's answers, to any instance or to this one, say that it
 * wants no calls now. */
static enum hint_bar bar_of(const struct engine *e)
{
	return bal_bar(e->agent->edge->bal, e->id, e->incarnation,
		       now_of(e->agent));
}

/* ---- Calls to engines ---- */

static void plan_all(struct agent *ctx);

static void order_finished(struct engine *e, enum wire_order_outcome outcome);

/* Aborts a call that has no usable response. */
static void abort_call(struct engine *e)
{
	cancel_call(e);
	if (e->state == ORDER_SENT)
		order_finished(e, WIRE_ORDER_UNKNOWN);
	else
		e->poll_us = now_of(e->agent) + recheck_us(e->agent);
}

static void on_head(void *data, const struct hio_answer *answer)
{
	struct engine *e = data;
	struct wire_answer attributes;

	wire_read_answer(answer, &attributes);
	edge_saw_hint(e->agent->edge, e->id, e->incarnation, &attributes);
	e->status = answer->status;
	clear_body(e);
}

static void on_body(void *data, const char *bytes, size_t len)
{
	struct engine *e = data;

	struct hio_mem *mem = e->agent->edge->mem;

	if (e->body->len + len > RESPONSE_MAX_BYTES ||
	    !hio_mem_take(mem, HIO_MEM_ANSWER, e->body->len, len)) {
		LOG_EVENT_INFO("agent", "answer_too_long",
			       "endpoint=%s bytes=%u limit=%d", e->id,
			       e->body->len, RESPONSE_MAX_BYTES);
		abort_call(e);
		return;
	}
	g_byte_array_append(e->body, (const guint8 *)bytes, (guint)len);
}

static const char *kind_name(const struct res_order *order)
{
	return order->kind == RES_LOAD ? "load" : "unload";
}

static void log_order(const struct engine *e, const char *outcome)
{
	struct res *planner = planner_of(e->agent, e->service);

	if (!planner || e->order.kind == RES_NONE)
		return;
	LOG_EVENT_INFO(
		"agent", "order",
		"endpoint=%s kind=%s model=%s adapter=%u "
		"sequence=%" G_GUINT64_FORMAT
		" rate=%.2f for=%s gain=%.1f far=%d token_us=%.0f "
		"outcome=%s",
		e->id, kind_name(&e->order),
		res_model_name(planner, e->order.item), e->order.item.adapter,
		e->sequence, res_rate(planner, e->order.item),
		res_model_name(planner, e->order.load_item), e->order.gain,
		!e->order.item.adapter &&
			res_reads_store(planner, &e->residency, e->order.item),
		e->prefill_token_us, outcome);
}

static void order_accepted(struct engine *e, bool at_once)
{
	struct agent *ctx = e->agent;
	int64_t now_us = now_of(ctx);
	struct res *planner = planner_of(ctx, e->service);
	bool is_model = !e->order.item.adapter;

	e->sequence++;
	e->conflicts = 0;
	e->accepted_us = now_us;
	e->state = IDLE;
	/* An adapter that is in use keeps its slot until its requests have
	 * ended. */
	if (e->order.kind == RES_UNLOAD && (is_model || at_once))
		remove_resident(e, e->order.item);
	else if (e->order.kind == RES_LOAD && !is_model)
		add_resident(e, e->order.item,
			     loaded_size_mb(e, e->order.item));
	announce(e);
	if (at_once || (!is_model && e->order.kind == RES_LOAD))
		return;
	e->state = EXECUTING;
	e->load_end_us = now_us;
	if (planner && is_model && e->order.kind == RES_LOAD)
		e->load_end_us +=
			res_load_ms(planner, &e->residency, e->order.item) *
			1000LL;
	e->poll_us = MAX(now_us + REPORT_LAG_US, e->load_end_us);
}

static void order_finished(struct engine *e, enum wire_order_outcome outcome)
{
	struct agent *ctx = e->agent;
	int64_t now_us = now_of(ctx);
	struct ctl_leadership lead = ctl_leadership(ctx->edge->ctl);

	if (!e->order_in_term) {
		/* The order predates the current active period. The items were
		 * since taken from the view. */
		log_order(e, "outdated");
		e->state = UNKNOWN;
		e->poll_us = now_us + REPORT_LAG_US;
		return;
	}
	switch (outcome) {
	case WIRE_ORDER_ACCEPTED:
		log_order(e, "accepted");
		order_accepted(e, false);
		break;
	case WIRE_ORDER_NO_CHANGE:
		log_order(e, "holds");
		order_accepted(e, true);
		/* An adapter is unloaded at once. Otherwise the response does
		 * not say whether the order was counted. */
		if (e->order.kind == RES_UNLOAD && e->order.item.adapter)
			break;
		e->state = UNKNOWN;
		e->poll_us = now_us + REPORT_LAG_US;
		break;
	case WIRE_ORDER_CONFLICT:
		log_order(e, "conflict");
		if (e->order.item.adapter && !e->conflicts++) {
			e->state = IDLE;
			e->next_order_us = now_us + ADAPTER_RETRY_US;
			break;
		}
		e->state = UNKNOWN;
		e->poll_us = now_us + REPORT_LAG_US;
		break;
	case WIRE_ORDER_FENCED:
		log_order(e, "fenced");
		ctx->fenced_term = lead.term;
		e->state = UNKNOWN;
		e->poll_us = now_us + RECHECK_DELAY_US;
		break;
	case WIRE_ORDER_REFUSED:
		log_order(e, "refused");
		e->state = UNKNOWN;
		e->poll_us = now_us + RECHECK_DELAY_US;
		break;
	case WIRE_ORDER_UNKNOWN:
		log_order(e, "unanswered");
		e->state = UNCONFIRMED;
		e->poll_us = now_us + RECHECK_DELAY_US;
		break;
	}
}

static void on_order_end(void *data)
{
	struct engine *e = data;

	end_call(e);
	clear_body(e);
	order_finished(e, wire_order_outcome_of(e->status));
	plan_all(e->agent);
}

static void on_order_failed(void *data, enum hio_failure failure)
{
	struct engine *e = data;

	(void)failure;
	end_call(e);
	clear_body(e);
	order_finished(e, WIRE_ORDER_UNKNOWN);
}

static int64_t idle_interval_us(const struct agent *ctx)
{
	int64_t n = g_hash_table_size(ctx->engines);

	return MAX(POLL_IDLE_US, n * G_USEC_PER_SEC / IDLE_READS_PER_S);
}

static void apply_state(struct engine *e, const struct wire_engine_state *state)
{
	const struct res_engine none = { 0 };
	int64_t now_us = now_of(e->agent);
	bool settled = now_us - e->accepted_us >= REPORT_LAG_US;

	if (!settled) {
		e->poll_us = e->accepted_us + REPORT_LAG_US;
		return;
	}
	if (state->sequence < e->sequence && e->state != UNKNOWN) {
		e->poll_us = now_us + REPORT_LAG_US;
		return;
	}
	e->sequence = state->sequence;
	e->residency.n_in_memory =
		set_cached_models(e, state->in_memory, e->residency.in_memory);
	e->residency.n_on_disk =
		set_cached_models(e, state->on_disk, e->residency.on_disk);
	set_residents(e, state->copies, state->n_copies);
	if (state->busy && e->order_in_term && e->order.kind == RES_UNLOAD &&
	    !e->order.item.adapter)
		remove_resident(e, e->order.item);
	for (size_t i = 0; state->arriving[i] && !e->residency.truncated; i++) {
		g_auto(GStrv) parts = g_strsplit(state->arriving[i], "/", 2);

		if (planner_of(e->agent, e->service) && parts[0] && parts[1])
			add_reported(e, &none, parts[0], parts[1]);
	}
	if (state->busy) {
		e->state = EXECUTING;
		e->poll_us = MAX(now_us + POLL_BUSY_US, e->load_end_us);
		return;
	}
	if (e->state == EXECUTING && e->order_in_term)
		log_order(e, res_holds(&e->residency, e->order.item) ==
					     (e->order.kind == RES_LOAD)
				     ? "done"
				     : "not_done");
	e->state = IDLE;
	e->poll_us = now_us + idle_interval_us(e->agent);
}

static void on_state_end(void *data)
{
	struct engine *e = data;
	struct wire_engine_state state;
	int64_t now_us = now_of(e->agent);

	end_call(e);
	e->poll_us = now_us + RECHECK_DELAY_US;
	if (e->status != 200 || !wire_read_state((const char *)e->body->data,
						 e->body->len, &state)) {
		LOG_EVENT_INFO("agent", "state_unreadable",
			       "endpoint=%s status=%d", e->id, e->status);
		clear_body(e);
		return;
	}
	clear_body(e);
	if (state.incarnation && state.incarnation != e->incarnation)
		LOG_EVENT_INFO("agent", "other_process",
			       "endpoint=%s incarnation=%" G_GUINT64_FORMAT,
			       e->id, state.incarnation);
	else
		apply_state(e, &state);
	if (e->state != UNKNOWN)
		announce(e);
	wire_engine_state_clear(&state);
	plan_all(e->agent);
}

static void on_state_failed(void *data, enum hio_failure failure)
{
	struct engine *e = data;

	LOG_EVENT_INFO("agent", "state_unread", "endpoint=%s failure=%d", e->id,
		       (int)failure);
	end_call(e);
	clear_body(e);
	e->poll_us = now_of(e->agent) + recheck_us(e->agent);
}

static void on_timeout(evutil_socket_t fd, short what, void *data)
{
	struct engine *e = data;

	(void)fd;
	(void)what;
	if (e->call)
		abort_call(e);
}

static void start_call(struct engine *e, GString *head, int64_t timeout_us,
		       void (*end)(void *),
		       void (*failed)(void *, enum hio_failure))
{
	struct hio_call_options options = {
		.address = e->address,
		.head = head,
		.connect_timeout_us = ORDER_CONNECT_US,
		.reuse_idle_us = REUSE_IDLE_US,
		.data = e,
		.head_read = on_head,
		.body_read = on_body,
		.end = end,
		.failed = failed,
	};

	e->status = 0;
	e->call = hio_call_start(e->agent->edge->client, &options);
	hio_set_timer(e->timer, timeout_us);
}

static void send_order(struct engine *e, const struct res_order *order,
		       uint64_t fence)
{
	struct agent *ctx = e->agent;
	struct res *planner = planner_of(ctx, e->service);
	char adapter[RES_ADAPTER_NAME_MAX];
	struct wire_order what = {
		.kind = order->kind == RES_LOAD ? WIRE_LOAD : WIRE_UNLOAD,
		.endpoint_id = e->id,
		.address = e->address,
		.model = res_model_name(planner, order->item),
		.sequence = e->sequence,
		.holder = ctx->edge->set->id,
		.fence = fence,
	};

	if (order->item.adapter) {
		what.adapter = res_adapter_name(order->item, adapter);
	} else if (order->kind == RES_LOAD &&
		   res_reads_store(planner, &e->residency, order->item)) {
		res_load_sent(planner, now_of(ctx));
	}
	e->order = *order;
	e->order_mb = res_size_mb(planner, order->item);
	e->order_in_term = true;
	e->state = ORDER_SENT;
	met_count(ctx->edge->met, "dandelionspar_agent_orders", "", 1);
	start_call(e, wire_write_order(&what), ORDER_TIMEOUT_US, on_order_end,
		   on_order_failed);
}

static void read_state(struct engine *e)
{
	e->reads = true;
	e->agent->n_reads++;
	start_call(e, wire_write_state_request(e->id, e->address),
		   STATE_TIMEOUT_US, on_state_end, on_state_failed);
}

/* ---- Planning ---- */

static bool may_send_orders(struct agent *ctx, uint64_t *fence)
{
	struct ctl_leadership lead = ctl_leadership(ctx->edge->ctl);
	int64_t now_us = now_of(ctx);
	int64_t wait_us = LEASE_MARGIN_US;

	if (lead.predecessor_may_be_active)
		wait_us += ctx->edge->set->edge.order_lease_ms * 1000LL;
	*fence = lead.term;
	return lead.leads && !ctx->edge->draining && now_us < lead.until_us &&
	       lead.term > ctx->fenced_term && now_us - lead.since_us > wait_us;
}

/* Counts the item that the current order leads to, so that it is not planned on
 * another engine as well. */
static void add_expected_item(struct res_engine *r, const struct engine *e)
{
	struct res_item expected = e->order.item;
	uint32_t size_mb = e->order_mb;

	if (e->order.kind == RES_UNLOAD) {
		if (!e->order.load_follows)
			return;
		expected = e->order.load_item;
		size_mb = 0;
	}
	if (res_holds(r, expected))
		return;
	if (r->n_items == RES_ITEMS_MAX) {
		r->truncated = true;
		return;
	}
	r->items_mb[r->n_items] = size_mb;
	r->items[r->n_items++] = expected;
}

/* Sets the speed of each engine relative to the average. */
static void set_relative_speeds(struct res_engine *list,
				struct engine *const *engines, size_t n)
{
	double sum = 0;
	size_t known = 0;

	for (size_t i = 0; i < n; i++) {
		if (engines[i]->prefill_token_us <= 0)
			continue;
		sum += 1 / engines[i]->prefill_token_us;
		known++;
	}
	for (size_t i = 0; i < n; i++)
		list[i].speed =
			engines[i]->prefill_token_us > 0
				? known / (sum * engines[i]->prefill_token_us)
				: 1;
}

static void plan_service(struct agent *ctx, struct service *s, uint64_t fence)
{
	size_t max = g_hash_table_size(ctx->engines);
	struct res_engine *list = g_new(struct res_engine, max + 1);
	struct engine **engines = g_new(struct engine *, max + 1);
	struct res_order *orders = g_new(struct res_order, max + 1);
	size_t n = 0;
	size_t planned;
	GHashTableIter iter;
	struct engine *e;

	g_hash_table_iter_init(&iter, ctx->engines);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (strcmp(e->service, s->name) != 0)
			continue;
		list[n] = e->residency;
		list[n].id = e->id;
		list[n].n_present = e->residency.n_items;
		/* What a leaving engine holds is planned as lost. */
		list[n].usable = e->usable && bar_of(e) != HINT_LEAVING;
		list[n].busy = e->state != IDLE || e->call ||
			       now_of(ctx) < e->next_order_us ||
			       bar_of(e) != HINT_FREE;
		if (e->order_in_term &&
		    (e->state == EXECUTING || e->state == ORDER_SENT ||
		     e->state == UNCONFIRMED))
			add_expected_item(&list[n], e);
		list[n].load_follows = list[n].busy && e->order.load_follows;
		list[n].reserved = e->state == IDLE && e->order_in_term &&
				   e->order.load_follows;
		list[n].reserved_for = e->order.load_item;
		engines[n++] = e;
	}
	set_relative_speeds(list, engines, n);
	planned = res_plan(s->planner, list, n, now_of(ctx), orders, n);
	for (size_t i = 0; i < planned; i++)
		send_order(engines[orders[i].engine], &orders[i], fence);
	g_free(orders);
	g_free(engines);
	g_free(list);
}

/* Plans orders, or sets the timer if the last plan was just made. */
static void plan_all(struct agent *ctx)
{
	int64_t start_us = now_of(ctx);
	int64_t rest_us;
	struct timeval wait;
	GHashTableIter iter;
	struct service *s;
	uint64_t fence;

	/* While the sender is inactive, the items come from the view, which may
	 * predate the last order; agent_tick() requests the state first. */
	if (!ctx->active || !may_send_orders(ctx, &fence))
		return;
	if (start_us < ctx->next_plan_us) {
		if (event_pending(ctx->plan_timer, EV_TIMEOUT, NULL))
			return;
		wait = (struct timeval){
			.tv_usec = ctx->next_plan_us - start_us,
		};
		event_add(ctx->plan_timer, &wait);
		return;
	}
	g_hash_table_iter_init(&iter, ctx->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		if (s->listed)
			plan_service(ctx, s, fence);
	rest_us = (now_of(ctx) - start_us) * PLAN_REST_FACTOR;
	rest_us = CLAMP(rest_us, PLAN_INTERVAL_US,
			is_fleet(ctx) ? PLAN_INTERVAL_FLEET_MAX_US
				      : PLAN_INTERVAL_MAX_US);
	ctx->next_plan_us = now_of(ctx) + rest_us;
	met_count(ctx->edge->met, "dandelionspar_agent_plans", "", 1);
}

static void on_plan_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	plan_all(data);
}

/* Adds the numbers of all models that the engine holds, has cached or has been
 * ordered to load or unload. */
static void add_used_numbers(const struct engine *e, GArray *used)
{
	const struct res_engine *r = &e->residency;

	for (size_t i = 0; i < r->n_items; i++)
		g_array_append_val(used, r->items[i].model);
	g_array_append_vals(used, r->in_memory, (guint)r->n_in_memory);
	g_array_append_vals(used, r->on_disk, (guint)r->n_on_disk);
	if (e->order.kind == RES_NONE)
		return;
	g_array_append_val(used, e->order.item.model);
	g_array_append_val(used, e->order.load_item.model);
}

/* Frees the numbers of models that are no longer in use. */
static void release_numbers(struct agent *ctx)
{
	GHashTableIter services, engines;
	struct service *s;
	struct engine *e;
	size_t n = 0;

	ctx->next_release_us = now_of(ctx) + RELEASE_INTERVAL_US;
	g_hash_table_iter_init(&services, ctx->services);
	while (g_hash_table_iter_next(&services, NULL, (void **)&s)) {
		GArray *used = g_array_new(FALSE, FALSE, sizeof(uint32_t));

		n += res_n_numbers(s->planner);

		g_hash_table_iter_init(&engines, ctx->engines);
		while (g_hash_table_iter_next(&engines, NULL, (void **)&e))
			if (!strcmp(e->service, s->name))
				add_used_numbers(e, used);
		res_release_unused(s->planner, (const uint32_t *)used->data,
				   used->len);
		g_array_free(used, TRUE);
	}
	met_gauge(ctx->edge->met, "dandelionspar_agent_model_numbers", "",
		  (int64_t)n);
}

/* Follows changes of leadership, polls engine states, plans orders and
 * announces. */
void agent_tick(struct agent *ctx, int64_t now_us)
{
	GHashTableIter iter;
	struct engine *e;
	uint64_t fence;
	bool active = may_send_orders(ctx, &fence);

	if (now_us >= ctx->next_release_us)
		release_numbers(ctx);
	if (active != ctx->active) {
		ctx->active = active;
		LOG_EVENT_NOTICE("agent", active ? "begins" : "ends",
				 "fence=%" G_GUINT64_FORMAT, fence);
		g_hash_table_iter_init(&iter, ctx->engines);
		while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
			e->state = UNKNOWN;
			e->order_in_term = false;
			e->poll_us = now_us;
			e->msg = NULL;
		}
	}
	if (!active)
		return;
	g_hash_table_iter_init(&iter, ctx->engines);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (e->usable && !e->call && ctx->n_reads < READS_MAX &&
		    now_us >= e->poll_us && bar_of(e) == HINT_FREE)
			read_state(e);
		if (now_us >= e->next_announce_us && e->state != UNKNOWN)
			announce(e);
	}
	plan_all(ctx);
}

/* ---- View and demand ---- */

static void apply_table(struct agent *ctx, const Dsp__RouteTable *table)
{
	GHashTableIter iter;
	struct service *s;
	struct engine *e;

	g_hash_table_iter_init(&iter, ctx->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		s->listed = false;
	for (size_t i = 0; i < table->n_services; i++) {
		const Dsp__RoutedService *from = table->services[i];

		if (!from->engine)
			continue;
		s = g_hash_table_lookup(ctx->services, from->name);
		if (!s) {
			s = g_new0(struct service, 1);
			s->name = g_strdup(from->name);
			s->planner = res_new(ctx->edge->set->edge.store_excess);
			g_hash_table_insert(ctx->services, s->name, s);
		}
		s->listed = true;
		res_set_spec(s->planner, from->engine);
	}
	/* An order that is under way may load the model by either size. */
	g_hash_table_iter_init(&iter, ctx->engines);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		struct res *planner = planner_of(ctx, e->service);

		e->msg = NULL;
		if (planner && e->order.kind != RES_NONE)
			e->order_mb = MAX(e->order_mb,
					  res_size_mb(planner, e->order.item));
	}
	ctx->has_table = true;
	ctx->table_number = table->number;
	release_numbers(ctx);
}

static struct engine *engine_new(struct agent *ctx, const Dsp__Endpoint *msg)
{
	struct engine *e = g_new0(struct engine, 1);

	e->agent = ctx;
	e->id = g_strdup(msg->id);
	e->service = g_strdup(msg->service);
	e->address = g_strdup(msg->address);
	e->incarnation = msg->incarnation;
	e->body = g_byte_array_new();
	e->timer = event_new(ctx->edge->base, -1, 0, on_timeout, e);
	e->state = UNKNOWN;
	e->poll_us = now_of(ctx);
	e->accepted_us = INT64_MIN / 2;
	return e;
}

static void apply_endpoint(struct agent *ctx, const Dsp__Endpoint *msg)
{
	struct engine *e = g_hash_table_lookup(ctx->engines, msg->id);

	if (e && e->msg == msg) {
		e->in_view = true;
		return;
	}
	if (e && (e->incarnation != msg->incarnation ||
		  strcmp(e->address, msg->address) != 0 ||
		  strcmp(e->service, msg->service) != 0)) {
		g_hash_table_remove(ctx->engines, msg->id);
		e = NULL;
	}
	if (msg->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN) {
		if (e)
			g_hash_table_remove(ctx->engines, msg->id);
		return;
	}
	if (!e) {
		e = engine_new(ctx, msg);
		g_hash_table_insert(ctx->engines, e->id, e);
		set_residents(e, msg->copies, msg->n_copies);
	}
	e->msg = msg;
	e->in_view = true;
	e->usable = msg->state == DSP__ENDPOINT_STATE__ENDPOINT_UP;
	/* While the sender is active, only the engine's reported state counts:
	 * its announcement may be older than its last order. */
	if (!ctx->active)
		set_residents(e, msg->copies, msg->n_copies);
}

static gboolean remove_if_unlisted(gpointer key, gpointer value, gpointer data)
{
	struct engine *e = value;
	bool listed = e->in_view;

	(void)key;
	(void)data;
	e->in_view = false;
	return !listed;
}

/* Adopts the engines and models of the edge's new view. */
void agent_view_changed(struct agent *ctx)
{
	const struct view *view = ctx->edge->view;
	const Dsp__RouteTable *table = view_route_table(view);

	if (table && (!ctx->has_table || table->number != ctx->table_number))
		apply_table(ctx, table);
	for (size_t i = 0; i < view_n_endpoints(view); i++) {
		const Dsp__Endpoint *msg = view_endpoint_at(view, i);

		if (planner_of(ctx, msg->service))
			apply_endpoint(ctx, msg);
	}
	g_hash_table_foreach_remove(ctx->engines, remove_if_unlisted, NULL);
}

/* Adds a sample of an engine's prefill speed, as measured by an entry. */
void agent_pace(struct agent *ctx, const Dsp__Pace *pace)
{
	struct engine *e = g_hash_table_lookup(ctx->engines, pace->endpoint);
	double prefill_token_us;

	if (!e || e->incarnation != pace->incarnation || !pace->read_tokens)
		return;
	prefill_token_us = (double)pace->read_us / (double)pace->read_tokens;
	if (e->prefill_token_us <= 0)
		e->prefill_token_us = prefill_token_us;
	else
		e->prefill_token_us += (prefill_token_us < e->prefill_token_us
						? FASTER_WEIGHT
						: SLOWER_WEIGHT) *
				       (prefill_token_us - e->prefill_token_us);
}

/* Adds demand that an entry reported. */
void agent_demand(struct agent *ctx, const Dsp__Demand *demand)
{
	GHashTableIter iter;
	struct service *s;

	g_hash_table_iter_init(&iter, ctx->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		res_add_demand(s->planner, demand->model, demand->adapter,
			       demand->requests, demand->refused, now_of(ctx));
	if (demand->refused)
		plan_all(ctx);
}
