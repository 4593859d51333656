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

struct group {
	unsigned waiting;
	double recent_sends; /* exponentially decayed count */
	int64_t last_sent_us;
};

struct adm {
	TAILQ_HEAD(adm_items, adm_item)
	items;		    /* by sort_key_us() */
	GHashTable *groups; /* name -> struct group */
	uint64_t next_order;
	unsigned total;
};

/* Creates an empty admission queue. */
struct adm *adm_new(void)
{
	struct adm *ctx = g_new0(struct adm, 1);

	TAILQ_INIT(&ctx->items);
	ctx->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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

/* Adds a request; its group, rank and times must be set. */
void adm_add(struct adm *ctx, struct adm_item *item)
{
	struct adm_item *before;

	item->queued = true;
	item->order = ctx->next_order++;
	get_group(ctx, item->group)->waiting++;
	ctx->total++;
	TAILQ_FOREACH_REVERSE(before, &ctx->items, adm_items, link)
	{
		if (sort_key_us(before) <= sort_key_us(item)) {
			TAILQ_INSERT_AFTER(&ctx->items, before, item, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&ctx->items, item, link);
}

/* Removes a request; no effect if it is not queued. */
void adm_remove(struct adm *ctx, struct adm_item *item)
{
	if (!item->queued)
		return;
	item->queued = false;
	TAILQ_REMOVE(&ctx->items, item, link);
	get_group(ctx, item->group)->waiting--;
	ctx->total--;
}

static double decayed_sends(const struct group *group, int64_t now_us)
{
	double age_s = (double)(now_us - group->last_sent_us) / 1e6;

	return group->recent_sends * exp(-age_s / RATE_TAU_S);
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

/* Estimates the wait of a new request of the group from the queue's length and
 * the recent send rate, in microseconds; 0 if it cannot be estimated. */
int64_t adm_expected_wait_us(const struct adm *ctx, const char *name,
			     int64_t now_us)
{
	const struct group *group = g_hash_table_lookup(ctx->groups, name);
	double rate;

	if (!group || group->waiting < WAITING_MIN ||
	    now_us - group->last_sent_us > RATE_EXPIRY_US)
		return 0;
	rate = decayed_sends(group, now_us) / RATE_TAU_S;
	return (int64_t)(1e6 * group->waiting / MAX(rate, 0.1));
}
