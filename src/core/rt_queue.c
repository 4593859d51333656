#include <math.h>
#include <string.h>

#include "core/rt_int.h"

/* Half-life of the usage counters. A burst shorter than this may use more than
 * its share. */
#define USAGE_HALF_US 2000000.0
/* A model may use this multiple of an equal share before other models get
 * precedence. */
#define FAIR_SHARE_EXCESS 1.5
#define DEFAULT_QUEUE_MAX 256

static void decay(double *usage, int64_t *at_us, int64_t now_us)
{
	if (now_us <= *at_us)
		return;
	if (*usage > 0)
		*usage *= exp2(-(double)(now_us - *at_us) / USAGE_HALF_US);
	*at_us = now_us;
}

static struct rt_class *class_of(struct rt_service *service,
				 const struct rt_request *request)
{
	const struct doc_class *limits = request->class_limits;
	const char *name = request->class_name ? request->class_name : "";
	g_autofree char *key = NULL;
	struct rt_class *class = NULL;

	key = g_strjoin("\x1f", request->team ? request->team : "", name, NULL);
	for (guint i = 0; i < service->classes->len && !class; i++) {
		class = g_ptr_array_index(service->classes, i);
		if (strcmp(class->key, key))
			class = NULL;
	}
	if (!class) {
		class = g_new0(struct rt_class, 1);
		class->key = g_steal_pointer(&key);
		class->service = service;
		class->queues = g_ptr_array_new();
		g_ptr_array_add(service->classes, class);
	}
	class->priority = limits ? limits->priority : 1;
	class->share = limits ? limits->share : 0;
	service->top_priority = G_MAXUINT32;
	for (guint i = 0; i < service->classes->len; i++) {
		struct rt_class *other;

		other = g_ptr_array_index(service->classes, i);
		service->top_priority =
			MIN(service->top_priority, other->priority);
	}
	return class;
}

/* Returns the queue of the request's class for a pool. */
struct rt_queue *rt_queue_of(struct rt *ctx, struct rt_pool *pool,
			     const struct rt_request *request)
{
	struct rt_class *class = class_of(pool->service, request);
	struct rt_queue *queue;

	(void)ctx;
	for (guint i = 0; i < pool->queues->len; i++) {
		queue = g_ptr_array_index(pool->queues, i);
		if (queue->class == class)
			return queue;
	}
	queue = g_new0(struct rt_queue, 1);
	queue->class = class;
	queue->pool = pool;
	TAILQ_INIT(&queue->tickets);
	g_ptr_array_add(pool->queues, queue);
	g_ptr_array_add(class->queues, queue);
	return queue;
}

/* Adds a ticket to its queue, earliest deadline first. */
void rt_queue_insert(struct rt *ctx, struct rt_ticket *ticket)
{
	struct rt_queue *queue = ticket->queue;
	struct rt_ticket *before;

	TAILQ_FOREACH_REVERSE(before, &queue->tickets, rt_tickets, entry)
	{
		if (before->deadline_us <= ticket->deadline_us)
			break;
	}
	if (before)
		TAILQ_INSERT_AFTER(&queue->tickets, before, ticket, entry);
	else
		TAILQ_INSERT_HEAD(&queue->tickets, ticket, entry);
	ticket->queued = true;
	if (queue->len++ == 0)
		queue->class->active++;
	queue->class->waiting++;
	queue->pool->waiting++;
	ctx->waiting++;
}

/* Removes a ticket from its queue; no effect if it is not queued. */
void rt_queue_remove(struct rt *ctx, struct rt_ticket *ticket)
{
	struct rt_queue *queue = ticket->queue;

	if (!ticket->queued)
		return;
	TAILQ_REMOVE(&queue->tickets, ticket, entry);
	ticket->queued = false;
	if (--queue->len == 0)
		queue->class->active--;
	queue->class->waiting--;
	queue->pool->waiting--;
	ctx->waiting--;
}

/*
 * Returns the ticket to evict when the queue's class is full and the queue is
 * below its share: the one with the latest deadline in the class's longest
 * queue. NULL if no other queue is longer by more than one ticket.
 */
struct rt_ticket *rt_queue_eviction(struct rt_queue *queue)
{
	struct rt_queue *longest = queue;

	for (guint i = 0; i < queue->class->queues->len; i++) {
		struct rt_queue *other;

		other = g_ptr_array_index(queue->class->queues, i);
		if (other->len > longest->len + 1)
			longest = other;
	}
	if (longest == queue)
		return NULL;
	return TAILQ_LAST(&longest->tickets, rt_tickets);
}

/*
 * Returns whether a queue must not grow: its class is at least half full and
 * the queue holds an equal share of the limit or more.
 */
bool rt_queue_over_share(const struct rt_queue *queue, uint32_t queue_max)
{
	uint32_t limit = queue_max ? queue_max : DEFAULT_QUEUE_MAX;
	uint32_t active = queue->class->active + (queue->len == 0);

	if (queue->class->waiting < limit / 2)
		return false;
	return queue->len >= MAX(limit / MAX(active, 2), 1);
}

/* Adds the expected slot time of a granted ticket, in microseconds, to the
 * usage of its queue, class and service. */
void rt_queue_charge(struct rt_queue *queue, double slot_us, int64_t now_us)
{
	struct rt_class *class = queue->class;
	struct rt_service *service = class->service;

	decay(&queue->usage, &queue->usage_us, now_us);
	decay(&class->usage, &class->usage_us, now_us);
	decay(&service->usage, &service->usage_us, now_us);
	queue->usage += slot_us;
	class->usage += slot_us;
	service->usage += slot_us;
}

static bool is_below_guarantee(struct rt_class *class, int64_t now_us)
{
	struct rt_service *service = class->service;
	double sum = 0;

	for (guint i = 0; i < service->classes->len; i++) {
		struct rt_class *other;

		other = g_ptr_array_index(service->classes, i);
		sum += other->share;
	}
	if (class->share <= 0)
		return false;
	decay(&class->usage, &class->usage_us, now_us);
	decay(&service->usage, &service->usage_us, now_us);
	return class->usage * MAX(sum, 1.0) < class->share * service->usage;
}

static bool is_over_fair_share(struct rt_queue *queue, int64_t now_us)
{
	struct rt_class *class = queue->class;

	if (class->active < 2)
		return false;
	decay(&queue->usage, &queue->usage_us, now_us);
	decay(&class->usage, &class->usage_us, now_us);
	return queue->usage * class->active > FAIR_SHARE_EXCESS * class->usage;
}

struct grant_order {
	bool guaranteed;
	uint32_t priority;
	bool is_over_fair_share;
	int64_t deadline_us;
};

static struct grant_order grant_order_of(struct rt_queue *queue, int64_t now_us)
{
	return (struct grant_order){
		.guaranteed = is_below_guarantee(queue->class, now_us),
		.priority = queue->class->priority,
		.is_over_fair_share = is_over_fair_share(queue, now_us),
		.deadline_us = TAILQ_FIRST(&queue->tickets)->deadline_us,
	};
}

static bool goes_before(const struct grant_order *a,
			const struct grant_order *b)
{
	if (a->guaranteed != b->guaranteed)
		return a->guaranteed;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->is_over_fair_share != b->is_over_fair_share)
		return b->is_over_fair_share;
	return a->deadline_us < b->deadline_us;
}

static void update_best(struct rt *ctx, struct rt_pool *pool, int64_t now_us,
			struct rt_queue **best, struct grant_order *best_order)
{
	for (guint i = 0; pool->waiting && i < pool->queues->len; i++) {
		struct rt_queue *queue = g_ptr_array_index(pool->queues, i);
		struct grant_order grant_order;

		if (!queue->len || queue->blocked == ctx->pass)
			continue;
		grant_order = grant_order_of(queue, now_us);
		if (*best && !goes_before(&grant_order, best_order))
			continue;
		*best = queue;
		*best_order = grant_order;
	}
}

/*
 * Returns the queue to grant from next, among the ready pools in links or the
 * pool only, or NULL. The order is: classes below their guaranteed share,
 * priority, models that are not over their fair share, earliest deadline.
 */
struct rt_queue *rt_queue_next(struct rt *ctx, GPtrArray *links,
			       struct rt_pool *only, int64_t now_us)
{
	struct rt_queue *best = NULL;
	struct grant_order best_order = { 0 };

	if (only)
		update_best(ctx, only, now_us, &best, &best_order);
	for (guint i = 0; links && i < links->len; i++) {
		struct rt_link *link = g_ptr_array_index(links, i);

		if (link->ready)
			update_best(ctx, link->pool, now_us, &best,
				    &best_order);
	}
	return best;
}

/* Returns the number of waiting tickets of a pool that are ahead of a new one.
 */
uint32_t rt_queue_ahead(const struct rt_pool *pool, const struct rt_class *own,
			int64_t deadline_us)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < pool->queues->len; i++) {
		struct rt_queue *queue = g_ptr_array_index(pool->queues, i);
		struct rt_ticket *last;

		if (!queue->len || queue->class->priority > own->priority)
			continue;
		last = TAILQ_LAST(&queue->tickets, rt_tickets);
		if (queue->class != own || last->deadline_us <= deadline_us) {
			ahead += queue->len;
			continue;
		}
		TAILQ_FOREACH (last, &queue->tickets, entry) {
			if (last->deadline_us > deadline_us)
				break;
			ahead++;
		}
	}
	return ahead;
}
