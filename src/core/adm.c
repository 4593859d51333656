#include "core/adm.h"

#include <glib.h>
#include <math.h>

/* Time constant of the rate at which a group's requests are sent. */
#define RATE_TAU_S 1.0
/* A group without a send for this long has no known rate. */
#define RATE_KEEP_US 3000000
/* Shorter queues say little of the wait. */
#define QUEUE_MIN 3
/* A rank counts like this part of the objective. */
#define RANK_SHARE 0.25

struct group {
	unsigned waiting;
	double sent; /* decayed count */
	int64_t sent_us;
};

struct adm {
	TAILQ_HEAD(adm_items, adm_item) items; /* by due time */
	GHashTable *groups;		       /* name -> struct group */
	uint64_t next_order;
	unsigned total;
};

/* Creates an empty queue. */
struct adm *adm_new(void)
{
	struct adm *ctx = g_new0(struct adm, 1);

	TAILQ_INIT(&ctx->items);
	ctx->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ctx;
}

/* Frees the queue, which is empty; NULL is allowed. */
void adm_free(struct adm *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->groups);
	g_free(ctx);
}

static struct group *group_get(struct adm *ctx, const char *name)
{
	struct group *group = g_hash_table_lookup(ctx->groups, name);

	if (group)
		return group;
	group = g_new0(struct group, 1);
	g_hash_table_insert(ctx->groups, g_strdup(name), group);
	return group;
}

/* Returns the name as the queue keeps it. */
const char *adm_intern_group(struct adm *ctx, const char *name)
{
	void *key;

	group_get(ctx, name);
	g_hash_table_lookup_extended(ctx->groups, name, &key, NULL);
	return key;
}

/* Requests are tried in the order of these times: the objective, with ranks
 * that are less urgent set back by a part of it. */
static int64_t due_us(const struct adm_item *item)
{
	int64_t span_us = item->objective_us - item->arrived_us;

	return item->objective_us +
	       (int64_t)(RANK_SHARE * item->rank * (double)span_us);
}

/* Adds a request. */
void adm_add(struct adm *ctx, struct adm_item *item)
{
	struct adm_item *before;

	item->queued = true;
	item->order = ctx->next_order++;
	group_get(ctx, item->group)->waiting++;
	ctx->total++;
	TAILQ_FOREACH_REVERSE(before, &ctx->items, adm_items, link)
	{
		if (due_us(before) <= due_us(item)) {
			TAILQ_INSERT_AFTER(&ctx->items, before, item, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&ctx->items, item, link);
}

/* Removes a request; one that is not queued is left alone. */
void adm_remove(struct adm *ctx, struct adm_item *item)
{
	if (!item->queued)
		return;
	item->queued = false;
	TAILQ_REMOVE(&ctx->items, item, link);
	group_get(ctx, item->group)->waiting--;
	ctx->total--;
}

static double decayed(const struct group *group, int64_t now_us)
{
	double age_s = (double)(now_us - group->sent_us) / 1e6;

	return group->sent * exp(-age_s / RATE_TAU_S);
}

/* Notes that a request of the group was sent. */
void adm_sent(struct adm *ctx, const char *name, int64_t now_us)
{
	struct group *group = group_get(ctx, name);

	group->sent = decayed(group, now_us) + 1;
	group->sent_us = now_us;
}

static bool is_late(const struct adm_item *item, int64_t now_us)
{
	return now_us > item->objective_us;
}

/*
 * Returns the item to try after another one: first all that can still meet
 * their objective, then those that are late.
 */
struct adm_item *adm_next(const struct adm *ctx, const struct adm_item *after,
			  int64_t now_us)
{
	bool late = after && is_late(after, now_us);
	struct adm_item *item =
		after ? TAILQ_NEXT(after, link) : TAILQ_FIRST(&ctx->items);

	for (; item; item = TAILQ_NEXT(item, link))
		if (is_late(item, now_us) == late)
			return item;
	if (late)
		return NULL;
	TAILQ_FOREACH (item, &ctx->items, link)
		if (is_late(item, now_us))
			return item;
	return NULL;
}

/* Returns how many requests wait. */
unsigned adm_total(const struct adm *ctx)
{
	return ctx->total;
}

/* Returns how many requests of the group wait. */
unsigned adm_length(const struct adm *ctx, const char *name)
{
	const struct group *group = g_hash_table_lookup(ctx->groups, name);

	return group ? group->waiting : 0;
}

/* Returns the expected wait from the queue's length and recent sends. */
int64_t adm_expected_wait_us(const struct adm *ctx, const char *name,
			     int64_t now_us)
{
	const struct group *group = g_hash_table_lookup(ctx->groups, name);
	double rate;

	if (!group || group->waiting < QUEUE_MIN ||
	    now_us - group->sent_us > RATE_KEEP_US)
		return 0;
	rate = decayed(group, now_us) / RATE_TAU_S;
	return (int64_t)(1e6 * group->waiting / MAX(rate, 0.1));
}
