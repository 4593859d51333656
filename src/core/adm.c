#include "core/adm.h"

#include <glib.h>
#include <math.h>

/* Time constant of the decay of a group's send rate. */
#define RATE_TAU_S 1.0
/* The rate of a group is unknown after this long without a send. */
#define RATE_EXPIRY_US 3000000
/* Minimum number of waiting requests for an estimate of the wait. */
#define WAITING_MIN 3
/* Each rank delays a request by this share of its time to the objective. */
#define RANK_SHARE 0.25

/* Interval of a customer's requests while the send rate of a group is unknown
 * or nearly zero. */
#define INTERVAL_MAX_US 1000000

struct group {
	unsigned waiting;
	GHashTable *customers; /* name -> waiting requests; NULL: none */
	double recent_sends;   /* exponentially decayed count */
	int64_t last_sent_us;
};

struct adm {
	TAILQ_HEAD(adm_items, adm_item)
	items;		    /* by key_us */
	GHashTable *groups; /* name -> struct group */
	uint64_t next_order;
	unsigned total;
};

static void group_free(void *data)
{
	struct group *group = data;

	if (group->customers)
		g_hash_table_destroy(group->customers);
	g_free(group);
}

/* Creates an empty admission queue. */
struct adm *adm_new(void)
{
	struct adm *ctx = g_new0(struct adm, 1);

	TAILQ_INIT(&ctx->items);
	ctx->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    group_free);
	return ctx;
}

/* Frees the queue, which must be empty; NULL is allowed. */
void adm_free(struct adm *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->groups);
	g_free(ctx);
}

static struct group *get_group(struct adm *ctx, const char *name)
{
	struct group *group = g_hash_table_lookup(ctx->groups, name);

	if (group)
		return group;
	group = g_new0(struct group, 1);
	g_hash_table_insert(ctx->groups, g_strdup(name), group);
	return group;
}

/* Returns the queue's own copy of a group's name, which lives as long as the
 * queue. Equal names give equal pointers. */
const char *adm_intern_group(struct adm *ctx, const char *name)
{
	void *key;

	get_group(ctx, name);
	g_hash_table_lookup_extended(ctx->groups, name, &key, NULL);
	return key;
}

/* Requests are tried in the order of this time: the objective, delayed for less
 * urgent ranks. */
static int64_t sort_key_us(const struct adm_item *item)
{
	int64_t span_us = item->objective_us - item->arrived_us;

	return item->objective_us +
	       (int64_t)(RANK_SHARE * item->rank * (double)span_us);
}

static double decayed_sends(const struct group *group, int64_t now_us)
{
	double age_s = (double)(now_us - group->last_sent_us) / 1e6;

	return group->recent_sends * exp(-age_s / RATE_TAU_S);
}

static unsigned waiting_of(const struct group *group, const char *customer)
{
	if (!group->customers || !customer)
		return 0;
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(group->customers, customer));
}

static void set_waiting(struct group *group, const char *customer, unsigned n)
{
	if (!customer)
		return;
	if (!group->customers)
		group->customers = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	if (n)
		g_hash_table_insert(group->customers, g_strdup(customer),
				    GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(group->customers, customer);
}

/*
 * Each request of a customer that waits delays its next one by the time in
 * which the group sends one request of each waiting customer. So a customer
 * with many waiting requests gets an equal part of the sends as long as others
 * wait, and all of them otherwise.
 */
static int64_t share_delay_us(const struct group *group,
			      const struct adm_item *item)
{
	unsigned n = waiting_of(group, item->customer);
	double rate = decayed_sends(group, item->arrived_us) / RATE_TAU_S;
	double interval_us;

	if (!n)
		return 0;
	interval_us = 1e6 * g_hash_table_size(group->customers) / rate;
	return (int64_t)(n * MIN(interval_us, INTERVAL_MAX_US));
}

/* Adds a request; its group, rank, customer and times must be set. */
void adm_add(struct adm *ctx, struct adm_item *item)
{
	struct group *group = get_group(ctx, item->group);
	struct adm_item *before;

	item->queued = true;
	item->order = ctx->next_order++;
	item->key_us = sort_key_us(item) + share_delay_us(group, item);
	group->waiting++;
	set_waiting(group, item->customer,
		    waiting_of(group, item->customer) + 1);
	ctx->total++;
	TAILQ_FOREACH_REVERSE(before, &ctx->items, adm_items, link)
	{
		if (before->key_us <= item->key_us) {
			TAILQ_INSERT_AFTER(&ctx->items, before, item, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&ctx->items, item, link);
}

/* Removes a request; no effect if it is not queued. */
void adm_remove(struct adm *ctx, struct adm_item *item)
{
	struct group *group;

	if (!item->queued)
		return;
	item->queued = false;
	TAILQ_REMOVE(&ctx->items, item, link);
	group = get_group(ctx, item->group);
	group->waiting--;
	if (item->customer)
		set_waiting(group, item->customer,
			    waiting_of(group, item->customer) - 1);
	ctx->total--;
}

/* Records that a request of the group was sent, for the expected wait. */
void adm_sent(struct adm *ctx, const char *name, int64_t now_us)
{
	struct group *group = get_group(ctx, name);

	group->recent_sends = decayed_sends(group, now_us) + 1;
	group->last_sent_us = now_us;
}

static bool is_past_objective(const struct adm_item *item, int64_t now_us)
{
	return now_us > item->objective_us;
}

/*
 * Returns the item to try after another one, or the first if after is NULL.
 * Items that can still meet their objective come before those that are late.
 */
struct adm_item *adm_next(const struct adm *ctx, const struct adm_item *after,
			  int64_t now_us)
{
	bool late = after && is_past_objective(after, now_us);
	struct adm_item *item =
		after ? TAILQ_NEXT(after, link) : TAILQ_FIRST(&ctx->items);

	for (; item; item = TAILQ_NEXT(item, link))
		if (is_past_objective(item, now_us) == late)
			return item;
	if (late)
		return NULL;
	TAILQ_FOREACH (item, &ctx->items, link)
		if (is_past_objective(item, now_us))
			return item;
	return NULL;
}

/* Returns the number of waiting requests. */
unsigned adm_total(const struct adm *ctx)
{
	return ctx->total;
}

/* Returns the number of waiting requests of the group. */
unsigned adm_length(const struct adm *ctx, const char *name)
{
	const struct group *group = g_hash_table_lookup(ctx->groups, name);

	return group ? group->waiting : 0;
}

/* Requests that go before a new one of the customer: of each other customer at
 * most as many as its own. */
static unsigned ahead_of(const struct group *group, const char *customer)
{
	unsigned own = waiting_of(group, customer);
	unsigned ahead = group->waiting;
	GHashTableIter iter;
	void *other;
	void *value;

	if (!customer || !group->customers)
		return ahead;
	g_hash_table_iter_init(&iter, group->customers);
	while (g_hash_table_iter_next(&iter, &other, &value)) {
		unsigned n = GPOINTER_TO_UINT(value);

		if (n > own + 1)
			ahead -= n - (own + 1);
	}
	return ahead;
}

/* Estimates the wait of a new request of the group and customer (NULL: none)
 * from the queue's length and the recent send rate, in microseconds; 0 if it
 * cannot be estimated. */
int64_t adm_expected_wait_us(const struct adm *ctx, const char *name,
			     const char *customer, int64_t now_us)
{
	const struct group *group = g_hash_table_lookup(ctx->groups, name);
	unsigned ahead;
	double rate;

	if (!group || now_us - group->last_sent_us > RATE_EXPIRY_US)
		return 0;
	ahead = ahead_of(group, customer);
	if (ahead < WAITING_MIN)
		return 0;
	rate = decayed_sends(group, now_us) / RATE_TAU_S;
	return (int64_t)(1e6 * ahead / MAX(rate, 0.1));
}
