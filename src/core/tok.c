#include "core/tok.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/quo.h"

/* Asks are collected for this long, returns for longer: they matter to the
 * leader only within a second. */
#define BATCH_US 2000
/* Asks for which no request waits are collected for longer: a message costs the
 * leader far more than an ask. */
#define AHEAD_BATCH_US 100000
#define RETURN_BATCH_US 500000
/* An ask without an answer is repeated. A leader that has used up its share of
 * a core answers within 100 ms. */
#define REPEAT_US 200000
/* A decided item keeps its units for this long at least, so that they do not
 * expire on the way to the endpoint. */
#define MARGIN_US 20000
/* Units asked for ahead: the use of a second, if a request is expected in that
 * time. With fewer, more messages are sent for expired units than saved. */
#define AHEAD_S 1.0
#define USE_TAU_S 2.0
#define SIZE_WEIGHT 0.1
#define LIKELY_REQUESTS 1.0
/* Units that expire soon are replaced before. */
#define RENEW_US 700000
#define AHEAD_INTERVAL_US 50000
#define AHEAD_SHORT_US 250000
/* A denial is remembered for the time that the leader told, within these. */
#define DENIED_MIN_US 20000
#define DENIED_MAX_US 500000
#define REFUSED_WEIGHT 0.05
/* Older ones are left to expire at the leader. */
#define RETURNS_MAX 256

struct lot {
	TAILQ_ENTRY(lot) link;
	struct tok_part part;
	int64_t usable_us;
};
TAILQ_HEAD(lots, lot);

struct tok_customer {
	char *name;
	bool listed;	  /* in the table, with a rate */
	unsigned refs;	  /* items and asks */
	struct lots lots; /* oldest ask first */
	double use;	  /* units a second, decayed */
	int64_t use_us;
	double size; /* units of a request, mean */
	uint64_t ahead_asked;
	int64_t ahead_next_us;
	uint64_t denied_units; /* more units or a shorter wait are denied */
	int64_t denied_wait_us;
	int64_t denied_until_us;
	double refused; /* share of the latest requests */
	struct tok_counts counts;
};

struct ask {
	TAILQ_ENTRY(ask) link;
	uint64_t id;
	struct tok_customer *customer;
	struct tok_item *item; /* NULL: it does not wait for this ask */
	uint64_t units;
	uint64_t ahead;
	int64_t wait_us;
	int64_t asked_us;
	bool sent;
};
TAILQ_HEAD(ask_list, ask);
TAILQ_HEAD(tok_items, tok_item);

struct tok {
	GHashTable *customers; /* name -> struct tok_customer */
	GHashTable *by_id;     /* of the asks */
	struct ask_list asks;  /* oldest first */
	struct tok_items waiting;
	struct tok_items decided;
	unsigned n_waiting;
	GPtrArray *returns; /* Dsp__QuotaReturn */
	uint64_t next_id;
	int64_t asks_due_us;	/* 0: none */
	int64_t returns_due_us; /* 0: none */
	int64_t granted_us;	/* last message of a leader */
	bool changed;		/* units came since the last run */
	uint64_t random;
};

/* ---- Customers ---- */

static void drop_lots(struct tok_customer *c)
{
	struct lot *lot;

	while ((lot = TAILQ_FIRST(&c->lots))) {
		TAILQ_REMOVE(&c->lots, lot, link);
		g_free(lot);
	}
}

static void customer_free(void *data)
{
	struct tok_customer *c = data;

	drop_lots(c);
	g_free(c->name);
	g_free(c);
}

static void return_free(void *data)
{
	dsp__quota_return__free_unpacked(data, NULL);
}

/* Creates the state of an entry without units. first_id must differ from the
 * ids that an earlier process of the instance used. */
struct tok *tok_new(uint64_t first_id)
{
	struct tok *ctx = g_new0(struct tok, 1);

	ctx->customers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       customer_free);
	ctx->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->returns = g_ptr_array_new_with_free_func(return_free);
	ctx->next_id = MAX(first_id, 1);
	ctx->random = first_id | 1;
	TAILQ_INIT(&ctx->asks);
	TAILQ_INIT(&ctx->waiting);
	TAILQ_INIT(&ctx->decided);
	return ctx;
}

static void drop_ask(struct tok *ctx, struct ask *ask)
{
	TAILQ_REMOVE(&ctx->asks, ask, link);
	g_hash_table_remove(ctx->by_id, &ask->id);
	ask->customer->ahead_asked -= ask->ahead;
	ask->customer->refs--;
	if (ask->item)
		ask->item->ask = 0;
	g_free(ask);
}

/* Frees the state; no item may wait. NULL is allowed. */
void tok_free(struct tok *ctx)
{
	if (!ctx)
		return;
	while (!TAILQ_EMPTY(&ctx->asks))
		drop_ask(ctx, TAILQ_FIRST(&ctx->asks));
	g_hash_table_destroy(ctx->by_id);
	g_hash_table_destroy(ctx->customers);
	g_ptr_array_free(ctx->returns, TRUE);
	g_free(ctx);
}

static struct tok_customer *add_customer(struct tok *ctx, const char *name)
{
	struct tok_customer *c = g_new0(struct tok_customer, 1);

	c->name = g_strdup(name);
	TAILQ_INIT(&c->lots);
	g_hash_table_insert(ctx->customers, c->name, c);
	return c;
}

/* Takes the customers of a new table; NULL: it has none. Those without a rate
 * are not limited. */
void tok_set_customers(struct tok *ctx, const Dsp__Customers *customers,
		       int64_t now_us)
{
	GHashTableIter iter;
	struct tok_customer *c;

	g_hash_table_iter_init(&iter, ctx->customers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&c))
		c->listed = false;
	for (size_t i = 0; customers && i < customers->n_all; i++) {
		const Dsp__Customer *from = customers->all[i];

		if (from->rate <= 0)
			continue;
		c = g_hash_table_lookup(ctx->customers, from->name);
		if (!c)
			c = add_customer(ctx, from->name);
		c->listed = true;
		c->denied_until_us = 0;
	}
	g_hash_table_iter_init(&iter, ctx->customers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&c)) {
		if (c->listed)
			continue;
		drop_lots(c);
		if (!c->refs)
			g_hash_table_iter_remove(&iter);
	}
	ctx->changed = true;
	tok_run(ctx, now_us);
}

static double decay(int64_t age_us)
{
	return exp(-(double)age_us / 1e6 / USE_TAU_S);
}

static void note_use(struct tok_customer *c, uint64_t units, int64_t now_us)
{
	c->use *= decay(now_us - c->use_us);
	c->use += (double)units / USE_TAU_S;
	c->use_us = now_us;
	if (c->size > 0)
		c->size += SIZE_WEIGHT * ((double)units - c->size);
	else
		c->size = (double)units;
}

static void note_refused(struct tok_customer *c, bool refused)
{
	c->refused += REFUSED_WEIGHT * ((refused ? 1 : 0) - c->refused);
}

/* Returns the units to hold for requests that are expected. */
static double target_of(const struct tok_customer *c, int64_t now_us)
{
	double expected = c->use * decay(now_us - c->use_us) * AHEAD_S;

	if (!c->listed || expected < LIKELY_REQUESTS * c->size)
		return 0;
	return MAX(expected, c->size);
}

/* ---- Units ---- */

static bool is_fresh(const struct tok_part *part, int64_t now_us)
{
	return now_us - part->asked_us < QUO_LIFETIME_US - MARGIN_US;
}

static void return_part(struct tok *ctx, struct tok_customer *c,
			const struct tok_part *part, int64_t now_us)
{
	Dsp__QuotaReturn *out;

	c->counts.returned += part->units;
	if (ctx->returns->len >= RETURNS_MAX)
		return;
	out = g_new0(Dsp__QuotaReturn, 1);
	dsp__quota_return__init(out);
	out->customer = g_strdup(c->name);
	out->units = part->units;
	out->term = part->term;
	out->id = part->id;
	g_ptr_array_add(ctx->returns, out);
	if (!ctx->returns_due_us)
		ctx->returns_due_us = now_us + RETURN_BATCH_US;
}

static void add_lot(struct tok *ctx, struct tok_customer *c,
		    const struct tok_part *part, int64_t usable_us,
		    int64_t now_us)
{
	struct lot *before;
	struct lot *lot;

	if (!part->units)
		return;
	if (!c->listed || !is_fresh(part, now_us)) {
		return_part(ctx, c, part, now_us);
		return;
	}
	lot = g_new0(struct lot, 1);
	lot->part = *part;
	lot->usable_us = usable_us;
	ctx->changed = true;
	TAILQ_FOREACH_REVERSE(before, &c->lots, lots, link)
	{
		if (before->part.asked_us <= part->asked_us) {
			TAILQ_INSERT_AFTER(&c->lots, before, lot, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&c->lots, lot, link);
}

static void expire_lots(struct tok *ctx, struct tok_customer *c, int64_t now_us)
{
	struct lot *lot;

	while ((lot = TAILQ_FIRST(&c->lots)) && !is_fresh(&lot->part, now_us)) {
		TAILQ_REMOVE(&c->lots, lot, link);
		return_part(ctx, c, &lot->part, now_us);
		g_free(lot);
	}
}

/* Returns the number of lots that the units of a request come from; 0: there
 * are not enough. */
static size_t lots_needed(const struct tok_customer *c, uint64_t units,
			  int64_t now_us)
{
	const struct lot *lot;
	uint64_t sum = 0;
	size_t n = 0;

	TAILQ_FOREACH (lot, &c->lots, link) {
		if (lot->usable_us > now_us)
			continue;
		sum += lot->part.units;
		if (++n > TOK_PARTS_MAX)
			return 0;
		if (sum >= units)
			return n;
	}
	return 0;
}

/* Takes the units of a request from those held. */
static bool take_held(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	struct tok_customer *c = item->customer;
	uint64_t left = item->units;
	struct lot *next;
	struct lot *lot;

	expire_lots(ctx, c, now_us);
	if (left && !lots_needed(c, left, now_us))
		return false;
	for (lot = TAILQ_FIRST(&c->lots); lot && left; lot = next) {
		struct tok_part *part = &item->parts[item->n_parts];

		next = TAILQ_NEXT(lot, link);
		if (lot->usable_us > now_us)
			continue;
		*part = lot->part;
		part->units = MIN(left, lot->part.units);
		item->n_parts++;
		left -= part->units;
		lot->part.units -= part->units;
		if (lot->part.units)
			continue;
		TAILQ_REMOVE(&c->lots, lot, link);
		g_free(lot);
	}
	item->state = TOK_HELD;
	return true;
}

/* ---- Asks ---- */

static struct ask *add_ask(struct tok *ctx, struct tok_customer *c,
			   int64_t batch_us, int64_t now_us)
{
	struct ask *ask = g_new0(struct ask, 1);

	ask->id = ctx->next_id++;
	ask->customer = c;
	ask->asked_us = now_us;
	c->refs++;
	TAILQ_INSERT_TAIL(&ctx->asks, ask, link);
	g_hash_table_insert(ctx->by_id, &ask->id, ask);
	if (!ctx->asks_due_us || now_us + batch_us < ctx->asks_due_us)
		ctx->asks_due_us = now_us + batch_us;
	return ask;
}

/* Asks for units ahead of requests if few are held. ask: an ask of the customer
 * that is to carry it, or NULL. */
static void ask_ahead(struct tok *ctx, struct tok_customer *c, struct ask *ask,
		      int64_t now_us)
{
	double target = target_of(c, now_us);
	uint64_t held = c->ahead_asked;
	const struct lot *lot;

	if (target < 1 || now_us < c->ahead_next_us ||
	    now_us < c->denied_until_us)
		return;
	TAILQ_FOREACH (lot, &c->lots, link)
		if (now_us - lot->part.asked_us < RENEW_US)
			held += lot->part.units;
	if ((double)held > target / 2)
		return;
	if (!ask)
		ask = add_ask(ctx, c, AHEAD_BATCH_US, now_us);
	ask->ahead = (uint64_t)target - held;
	c->ahead_asked += ask->ahead;
	c->ahead_next_us = now_us + AHEAD_INTERVAL_US;
}

static void ask_for(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	struct ask *ask =
		item->ask ? g_hash_table_lookup(ctx->by_id, &item->ask) : NULL;

	if (ask)
		/* Its answer may still come, for other requests. */
		ask->item = NULL;
	ask = add_ask(ctx, item->customer, BATCH_US, now_us);
	ask->item = item;
	ask->units = item->units;
	ask->wait_us =
		CLAMP(item->give_up_us - now_us, 0, (int64_t)QUO_WAIT_MAX_US);
	item->ask = ask->id;
	item->asked_us = now_us;
	ask_ahead(ctx, item->customer, ask, now_us);
}

/* ---- Requests ---- */

static void begin_wait(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	item->state = TOK_WAITING;
	item->begun_us = now_us;
	item->give_up_us = now_us + item->wait_us;
	item->usable_us = 0;
	TAILQ_INSERT_TAIL(&ctx->waiting, item, link);
	ctx->n_waiting++;
	ask_for(ctx, item, now_us);
}

static void end_wait(struct tok *ctx, struct tok_item *item)
{
	struct ask *ask =
		item->ask ? g_hash_table_lookup(ctx->by_id, &item->ask) : NULL;

	if (ask)
		ask->item = NULL;
	item->ask = 0;
	TAILQ_REMOVE(&ctx->waiting, item, link);
	ctx->n_waiting--;
}

static void decide(struct tok *ctx, struct tok_item *item, enum tok_state state)
{
	end_wait(ctx, item);
	item->state = state;
	item->decided = true;
	TAILQ_INSERT_TAIL(&ctx->decided, item, link);
	note_refused(item->customer, state == TOK_DENIED);
	item->customer->counts.denied += state == TOK_DENIED;
	item->customer->counts.no_grant += state == TOK_NO_GRANT;
}

static bool is_denied(const struct tok_customer *c, const struct tok_item *item,
		      int64_t now_us)
{
	return now_us < c->denied_until_us && item->units >= c->denied_units &&
	       item->wait_us <= c->denied_wait_us;
}

/*
 * Takes the units of a request, which may wait for them up to wait_us. The item
 * must stay until tok_used() or tok_give_back(). Returns its state: TOK_NONE
 * where the customer has no limit, TOK_DENIED with retry_us, or TOK_WAITING;
 * the result of a wait comes from tok_decided().
 */
enum tok_state tok_take(struct tok *ctx, struct tok_item *item,
			const char *customer, uint64_t units, int64_t wait_us,
			int64_t now_us)
{
	struct tok_customer *c = g_hash_table_lookup(ctx->customers, customer);

	*item = (struct tok_item){ .units = units, .wait_us = wait_us };
	if (!c || !c->listed)
		return TOK_NONE;
	item->customer = c;
	note_use(c, units, now_us);
	if (take_held(ctx, item, now_us)) {
		c->refs++;
		note_refused(c, false);
		ask_ahead(ctx, c, NULL, now_us);
		return item->state;
	}
	if (is_denied(c, item, now_us)) {
		note_refused(c, true);
		c->counts.denied++;
		item->state = TOK_DENIED;
		item->retry_us = c->denied_until_us - now_us;
		item->customer = NULL;
		return item->state;
	}
	c->refs++;
	begin_wait(ctx, item, now_us);
	return item->state;
}

/*
 * Returns whether a request may be sent now: its units are younger than their
 * lifetime, or it needs none. Otherwise they are returned to the leader and the
 * request takes new ones: its state is TOK_HELD or TOK_WAITING.
 */
bool tok_keep(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	bool fresh = true;

	if (item->state == TOK_NONE)
		return true;
	if (item->state != TOK_HELD)
		return false;
	for (size_t i = 0; i < item->n_parts; i++)
		fresh = fresh &&
			now_us - item->parts[i].asked_us < QUO_LIFETIME_US;
	if (fresh)
		return true;
	for (size_t i = 0; i < item->n_parts; i++)
		return_part(ctx, item->customer, &item->parts[i], now_us);
	item->n_parts = 0;
	if (!item->customer->listed || take_held(ctx, item, now_us))
		return true;
	begin_wait(ctx, item, now_us);
	return false;
}

static void release(struct tok_item *item)
{
	if (item->customer)
		item->customer->refs--;
	item->customer = NULL;
	item->n_parts = 0;
}

/* Records that a request was sent for the first time. */
void tok_used(struct tok_item *item)
{
	if (item->customer && item->state == TOK_HELD) {
		item->customer->counts.used += item->units;
		item->customer->counts.served++;
	}
	release(item);
	item->state = TOK_NONE;
}

/* Ends a request that ran nowhere or does not wait any more; no effect after
 * tok_used(). */
void tok_give_back(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	if (!item->customer)
		return;
	if (item->decided)
		TAILQ_REMOVE(&ctx->decided, item, link);
	else if (item->state == TOK_WAITING)
		end_wait(ctx, item);
	item->decided = false;
	for (size_t i = 0; i < item->n_parts; i++)
		add_lot(ctx, item->customer, &item->parts[i], item->usable_us,
			now_us);
	release(item);
	item->state = TOK_NONE;
}

/* ---- Answers ---- */

static int64_t spread(struct tok *ctx, int64_t us)
{
	ctx->random =
		ctx->random * 6364136223846793005ull + 1442695040888963407ull;
	return us / 2 + (int64_t)((ctx->random >> 33) % (uint64_t)(us + 1));
}

static void take_denial(struct tok *ctx, struct ask *ask, int64_t retry_us,
			int64_t now_us)
{
	struct tok_customer *c = ask->customer;
	struct tok_item *item = ask->item;

	c->denied_units = ask->units;
	c->denied_wait_us = ask->wait_us;
	c->denied_until_us = now_us + spread(ctx, CLAMP(retry_us, DENIED_MIN_US,
							DENIED_MAX_US));
	if (!item)
		return;
	item->retry_us = retry_us;
	decide(ctx, item, TOK_DENIED);
}

static void take_grant(struct tok *ctx, const Dsp__QuotaGrant *grant,
		       uint64_t term, int64_t now_us)
{
	struct ask *ask = g_hash_table_lookup(ctx->by_id, &grant->id);
	int64_t usable_us = now_us + grant->delay_ms * 1000LL;
	struct tok_customer *c;
	struct tok_item *item;
	struct tok_part part;

	/* A copy of an answer, or one that took longer than the lifetime. */
	if (!ask)
		return;
	c = ask->customer;
	item = ask->item;
	part = (struct tok_part){
		.id = ask->id,
		.term = term,
		.units = grant->units,
		.asked_us = ask->asked_us,
	};
	c->counts.granted += grant->units + grant->ahead;
	if (grant->units && item && is_fresh(&part, now_us)) {
		item->parts[0] = part;
		item->n_parts = 1;
		item->usable_us = MAX(usable_us, 1);
		ctx->changed = true;
	} else if (grant->units) {
		add_lot(ctx, c, &part, usable_us, now_us);
	} else if (ask->units) {
		take_denial(ctx, ask, grant->retry_ms * 1000LL, now_us);
	}
	if (ask->ahead > 2 * grant->ahead)
		c->ahead_next_us = now_us + AHEAD_SHORT_US;
	part.units = grant->ahead;
	add_lot(ctx, c, &part, now_us, now_us);
	drop_ask(ctx, ask);
}

/* Takes the answer of a leader. */
void tok_granted(struct tok *ctx, const Dsp__QuotaGrants *grants,
		 int64_t now_us)
{
	ctx->granted_us = now_us;
	for (size_t i = 0; i < grants->n_grants; i++)
		take_grant(ctx, grants->grants[i], grants->term, now_us);
	tok_run(ctx, now_us);
}

static void run_item(struct tok *ctx, struct tok_item *item, int64_t now_us)
{
	if (!item->customer->listed) {
		decide(ctx, item, TOK_HELD);
		return;
	}
	if (item->n_parts && !is_fresh(&item->parts[0], now_us)) {
		return_part(ctx, item->customer, &item->parts[0], now_us);
		item->n_parts = 0;
		item->usable_us = 0;
	}
	if (item->n_parts) {
		if (item->usable_us <= now_us)
			decide(ctx, item, TOK_HELD);
		return;
	}
	if (take_held(ctx, item, now_us)) {
		decide(ctx, item, TOK_HELD);
		return;
	}
	if (now_us >= item->give_up_us) {
		decide(ctx, item, TOK_NO_GRANT);
		return;
	}
	if (!item->ask || now_us - item->asked_us >= REPEAT_US)
		ask_for(ctx, item, now_us);
}

static void drop_old_asks(struct tok *ctx, int64_t now_us)
{
	struct ask *ask;

	while ((ask = TAILQ_FIRST(&ctx->asks)) &&
	       now_us - ask->asked_us >= QUO_LIFETIME_US)
		drop_ask(ctx, ask);
}

/* Does what is due: decides on requests that wait, returns units that have
 * expired, and asks for units ahead. */
void tok_run(struct tok *ctx, int64_t now_us)
{
	struct tok_customer *c;
	struct tok_item *item;
	struct tok_item *next;
	GHashTableIter iter;

	ctx->changed = false;
	drop_old_asks(ctx, now_us);
	for (item = TAILQ_FIRST(&ctx->waiting); item; item = next) {
		next = TAILQ_NEXT(item, link);
		run_item(ctx, item, now_us);
	}
	g_hash_table_iter_init(&iter, ctx->customers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&c)) {
		expire_lots(ctx, c, now_us);
		if (c->use > 0)
			ask_ahead(ctx, c, NULL, now_us);
	}
}

/* Repeats all asks at once: another instance leads. */
void tok_ask_again(struct tok *ctx, int64_t now_us)
{
	struct tok_item *item;

	TAILQ_FOREACH (item, &ctx->waiting, link)
		if (!item->n_parts)
			ask_for(ctx, item, now_us);
}

/* Returns a request whose wait has ended, with the result in its state; NULL:
 * no more. */
struct tok_item *tok_decided(struct tok *ctx)
{
	struct tok_item *item = TAILQ_FIRST(&ctx->decided);

	if (!item)
		return NULL;
	TAILQ_REMOVE(&ctx->decided, item, link);
	item->decided = false;
	if (item->state != TOK_HELD)
		release(item);
	return item;
}

static Dsp__QuotaAsk *pack_ask(const struct ask *ask)
{
	Dsp__QuotaAsk *out = g_new0(Dsp__QuotaAsk, 1);

	dsp__quota_ask__init(out);
	out->id = ask->id;
	out->customer = g_strdup(ask->customer->name);
	out->units = ask->units;
	out->ahead = ask->ahead;
	out->wait_ms = (uint32_t)(ask->wait_us / 1000);
	return out;
}

/* Returns the message that is due now for the leader, or NULL; the caller frees
 * it. */
Dsp__QuotaAsks *tok_asks(struct tok *ctx, int64_t now_us)
{
	bool asks_due = ctx->asks_due_us && now_us >= ctx->asks_due_us;
	bool returns_due = ctx->returns_due_us && now_us >= ctx->returns_due_us;
	Dsp__QuotaAsks *out;
	struct ask *ask;
	size_t n = 0;

	if (!asks_due && !returns_due)
		return NULL;
	out = g_new0(Dsp__QuotaAsks, 1);
	dsp__quota_asks__init(out);
	TAILQ_FOREACH (ask, &ctx->asks, link)
		n += !ask->sent;
	out->asks = g_new0(Dsp__QuotaAsk *, n + 1);
	TAILQ_FOREACH (ask, &ctx->asks, link) {
		if (ask->sent)
			continue;
		ask->sent = true;
		ask->asked_us = now_us;
		out->asks[out->n_asks++] = pack_ask(ask);
	}
	out->n_returns = ctx->returns->len;
	out->returns = g_new0(Dsp__QuotaReturn *, out->n_returns + 1);
	for (size_t i = 0; i < out->n_returns; i++)
		out->returns[i] = ctx->returns->pdata[i];
	g_ptr_array_set_free_func(ctx->returns, NULL);
	g_ptr_array_set_size(ctx->returns, 0);
	g_ptr_array_set_free_func(ctx->returns, return_free);
	ctx->asks_due_us = 0;
	ctx->returns_due_us = 0;
	return out;
}

/* ---- Queries ---- */

/* Returns the time of the next tok_run() or tok_asks(); INT64_MAX: none. */
int64_t tok_due_us(const struct tok *ctx, int64_t now_us)
{
	const struct tok_item *item;
	int64_t due_us = INT64_MAX;

	if (ctx->changed || !TAILQ_EMPTY(&ctx->decided))
		return now_us;
	if (ctx->asks_due_us)
		due_us = MIN(due_us, ctx->asks_due_us);
	if (ctx->returns_due_us)
		due_us = MIN(due_us, ctx->returns_due_us);
	TAILQ_FOREACH (item, &ctx->waiting, link) {
		if (item->n_parts) {
			due_us = MIN(due_us, item->usable_us);
			continue;
		}
		due_us = MIN(due_us, item->give_up_us);
		due_us = MIN(due_us, item->asked_us + REPEAT_US);
	}
	return due_us;
}

/* Returns the number of requests that wait for a grant. */
unsigned tok_n_waiting(const struct tok *ctx)
{
	return ctx->n_waiting;
}

/* Returns the number of customers with a limit. */
size_t tok_n_customers(const struct tok *ctx)
{
	return g_hash_table_size(ctx->customers);
}

/* Returns whether a customer has a limit. */
bool tok_is_limited(const struct tok *ctx, const char *customer)
{
	const struct tok_customer *c =
		g_hash_table_lookup(ctx->customers, customer);

	return c && c->listed;
}

/* Returns the units that a request of the customer counts. */
uint64_t tok_units(const Dsp__Customer *customer, bool has_counts,
		   uint64_t counted)
{
	if (!customer->counts_tokens)
		return 1;
	return has_counts ? counted : customer->plain_tokens;
}

/* Returns the share of the customer's latest requests that were denied. */
double tok_excess(const struct tok *ctx, const char *customer)
{
	const struct tok_customer *c =
		g_hash_table_lookup(ctx->customers, customer);

	return c ? c->refused : 0;
}

/* Returns the customer's sums since it is in the table. */
struct tok_counts tok_counts(const struct tok *ctx, const char *customer)
{
	const struct tok_customer *c =
		g_hash_table_lookup(ctx->customers, customer);

	return c ? c->counts : (struct tok_counts){ 0 };
}

/* Returns the age of the last answer of a leader; -1: there was none. */
int64_t tok_grant_age_us(const struct tok *ctx, int64_t now_us)
{
	return ctx->granted_us ? now_us - ctx->granted_us : -1;
}
