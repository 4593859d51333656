#include "edge/edge_int.h"

#include <string.h>

#include "base/log.h"
#include "base/msg.h"
#include "core/tok.h"

/*
 * Quotas on the edge thread: asks go to the control thread, which knows the
 * leader; its grants come back as the views do.
 */

/* Retry-After of refused requests is spread over this time if most requests of
 * the customer are refused. */
#define RETRY_SPREAD_US (2 * EDGE_S_US)
#define RETRY_MIN_US 100000

struct edge_quota {
	struct edge *edge;
	struct tok *tok;
	struct event *timer;
	GPtrArray *grants_in; /* edge.lock; Dsp__QuotaGrants */
	bool leader_changed;  /* edge.lock */
};

static void free_grants(void *data)
{
	dsp__quota_grants__free_unpacked(data, NULL);
}

/* Sets the timer for what is due next. */
static void arm(struct edge_quota *ctx)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	int64_t due_us = tok_due_us(ctx->tok, now_us);

	if (due_us != INT64_MAX)
		hio_set_timer(ctx->timer, MAX(due_us - now_us, 1));
}

static void run(struct edge_quota *ctx)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	struct tok_item *item;
	Dsp__QuotaAsks *asks;

	tok_run(ctx->tok, now_us);
	while ((item = tok_decided(ctx->tok)))
		fwd_quota_decided(item);
	asks = tok_asks(ctx->tok, now_us);
	if (asks)
		ctl_quota_ask(ctx->edge->ctl, asks);
	arm(ctx);
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	run(data);
}

/* Creates the state of an entry without units. */
struct edge_quota *edge_quota_new(struct edge *edge)
{
	struct edge_quota *ctx = g_new0(struct edge_quota, 1);

	ctx->edge = edge;
	/* Ids must differ from those of an earlier process. */
	ctx->tok = tok_new((uint64_t)g_random_int() << 32 | 1);
	ctx->timer = event_new(edge->base, -1, 0, on_timer, ctx);
	ctx->grants_in = g_ptr_array_new_with_free_func(free_grants);
	return ctx;
}

/* Frees the state after all requests have ended; NULL is allowed. */
void edge_quota_free(struct edge_quota *ctx)
{
	if (!ctx)
		return;
	event_free(ctx->timer);
	tok_free(ctx->tok);
	g_ptr_array_free(ctx->grants_in, TRUE);
	g_free(ctx);
}

/* Passes an answer of the leader to the edge thread; called by the control
 * thread with the lock of the edge. */
void edge_quota_receive(struct edge_quota *ctx, const Dsp__QuotaGrants *grants)
{
	g_ptr_array_add(ctx->grants_in, msg_dup(grants));
}

/* The same for a change of the leader. */
void edge_quota_leader_changed(struct edge_quota *ctx)
{
	ctx->leader_changed = true;
}

/* Handles what the control thread has passed on. */
void edge_quota_process(struct edge_quota *ctx)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	GPtrArray *grants = NULL;
	bool leader_changed;

	pthread_mutex_lock(&ctx->edge->lock);
	leader_changed = ctx->leader_changed;
	ctx->leader_changed = false;
	if (ctx->grants_in->len) {
		grants = ctx->grants_in;
		ctx->grants_in = g_ptr_array_new_with_free_func(free_grants);
	}
	pthread_mutex_unlock(&ctx->edge->lock);
	if (!grants && !leader_changed)
		return;
	for (guint i = 0; grants && i < grants->len; i++)
		tok_granted(ctx->tok, grants->pdata[i], now_us);
	if (grants)
		g_ptr_array_free(grants, TRUE);
	if (leader_changed)
		tok_ask_again(ctx->tok, now_us);
	run(ctx);
}

/* Takes the customers of a new table. */
void edge_quota_set_table(struct edge_quota *ctx, const Dsp__RouteTable *table)
{
	tok_set_customers(ctx->tok, table->customers,
			  clk_now_us(ctx->edge->clock));
	arm(ctx);
}

/* Does what is due at regular intervals. */
void edge_quota_tick(struct edge_quota *ctx)
{
	if (tok_n_customers(ctx->tok))
		run(ctx);
}

/* Takes the units of a request, which may wait for them up to wait_us. */
enum tok_state edge_quota_take(struct edge_quota *ctx, struct tok_item *item,
			       const Dsp__Customer *customer,
			       const struct wire_request *request,
			       int64_t wait_us)
{
	enum tok_state state;
	uint64_t units;

	if (!customer || !tok_is_limited(ctx->tok, customer->name))
		return TOK_NONE;
	units = tok_units(customer, request->has_token_counts,
			  request->counted_tokens);
	state = tok_take(ctx->tok, item, customer->name, units, wait_us,
			 clk_now_us(ctx->edge->clock));
	arm(ctx);
	return state;
}

/* Returns whether a request that has not run anywhere may be sent now; if not,
 * it waits for new units. */
bool edge_quota_keep(struct edge_quota *ctx, struct tok_item *item)
{
	bool keep;

	if (item->state == TOK_NONE)
		return true;
	keep = tok_keep(ctx->tok, item, clk_now_us(ctx->edge->clock));
	if (!keep)
		arm(ctx);
	return keep;
}

/* Ends the quota of a request. ran: an endpoint may have run it. */
void edge_quota_end(struct edge_quota *ctx, struct tok_item *item, bool ran)
{
	if (!item->customer)
		return;
	if (ran && item->state == TOK_HELD) {
		tok_used(item);
		return;
	}
	tok_give_back(ctx->tok, item, clk_now_us(ctx->edge->clock));
	arm(ctx);
}

/* Returns the time after which a refused request should return. */
int64_t edge_quota_retry_us(struct edge_quota *ctx, const char *customer,
			    int64_t room_us)
{
	double excess = tok_excess(ctx->tok, customer);

	return MAX(room_us, RETRY_MIN_US) +
	       (int64_t)(excess * g_random_double() * RETRY_SPREAD_US);
}

/* Returns the age of the last answer of a leader; -1: there was none. */
int64_t edge_quota_grant_age_us(const struct edge_quota *ctx)
{
	return tok_grant_age_us(ctx->tok, clk_now_us(ctx->edge->clock));
}

/* Returns the label of a customer; free with g_free(). */
static char *label_of(const char *customer)
{
	char *label = g_strdup_printf("customer=\"%s\"", customer);

	/* Both would have to be escaped. */
	g_strdelimit(label + strlen("customer=\""), "\"\\", '_');
	label[strlen(label) - 1] = '"';
	return label;
}

/* Records the wait of a request for a grant. */
void edge_quota_waited(struct edge_quota *ctx, const char *customer,
		       int64_t wait_us)
{
	g_autofree char *label = label_of(customer);

	met_observe_us(ctx->edge->met, "dandelionspar_edge_quota_wait_us",
		       label, wait_us);
}

static void set_gauges(struct edge_quota *ctx, const char *customer)
{
	struct tok_counts counts = tok_counts(ctx->tok, customer);
	g_autofree char *label = label_of(customer);
	struct met *met = ctx->edge->met;

	met_gauge(met, "dandelionspar_edge_quota_used", label,
		  (int64_t)counts.used);
	met_gauge(met, "dandelionspar_edge_quota_granted", label,
		  (int64_t)counts.granted);
	met_gauge(met, "dandelionspar_edge_quota_returned", label,
		  (int64_t)counts.returned);
}

/* Sets the metrics of the customers with a rate. */
void edge_quota_set_gauges(struct edge_quota *ctx)
{
	const Dsp__RouteTable *table = ctx->edge->table;

	if (!table || !table->customers)
		return;
	for (size_t i = 0; i < table->customers->n_all; i++) {
		const char *name = table->customers->all[i]->name;

		if (tok_is_limited(ctx->tok, name))
			set_gauges(ctx, name);
	}
	met_gauge(ctx->edge->met, "dandelionspar_edge_quota_waiting", "",
		  tok_n_waiting(ctx->tok));
}
