#ifndef CORE_RT_INT_H
#define CORE_RT_INT_H

#include <glib.h>
#include <sys/queue.h>

#include "core/rt.h"

/* Shared by the source files of the router; not for other modules. */

#define RT_PREFIXES 8
#define RT_SAMPLES 16
#define RT_PREFIX_SLOTS 16384

/* Learned speed of one endpoint for one base model. */
struct rt_speed {
	struct rt_pool *base;
	double unit_us;	  /* idle time to first token per cost unit */
	double decode_us; /* from the first token to the end */
	double n_first;	  /* observations, saturating */
	double n_decode;
};

/* This entry's requests in flight at a past time, to match load reports that
 * arrive late. */
struct rt_sample {
	int64_t at_us;
	uint32_t in_flight;
};

TAILQ_HEAD(rt_tickets, rt_ticket);

struct rt_ep {
	char *id;
	const Dsp__Endpoint *rec; /* NULL when not in the view */
	uint64_t incarnation;
	uint64_t seen; /* number of the last view that contained it */
	uint32_t slots;
	uint32_t in_flight;
	uint32_t suspects;
	struct rt_tickets tickets; /* granted and dispatched */

	bool reported;
	uint64_t report_seq;
	int64_t report_us; /* time that the report describes */
	double others;	   /* requests of other entries at that time */
	struct rt_sample samples[RT_SAMPLES];
	uint32_t next_sample;

	int64_t avoid_until_us;
	int64_t backoff_us;
	bool half_open; /* failed, no success since: one request at a time */
	struct hint hint;
	struct lim lim;

	double factor;	   /* time per request relative to its models' mean */
	double service_us; /* mean time that a request occupies a slot */
	double n_service;
	double bias; /* observed over predicted time to first token */

	GPtrArray *links;  /* struct rt_link, owned */
	GPtrArray *speeds; /* struct rt_speed, owned */
};

/* One endpoint's membership in one pool. */
struct rt_link {
	struct rt_ep *ep;
	struct rt_pool *pool;
	struct rt_speed *speed;
	const char *version; /* in ep->rec; empty for plain services */
	bool ready;
	size_t pos; /* index in pool->links */
};

/* Requests of one class for one pool, earliest deadline first. */
struct rt_queue {
	struct rt_class *class;
	struct rt_pool *pool;
	struct rt_tickets tickets;
	uint32_t len;
	double usage; /* decayed slot time granted */
	int64_t usage_us;
	uint64_t blocked; /* last scheduling pass without a free slot */
};

/* One model, adapter or plain service: the endpoints that can serve it. */
struct rt_pool {
	char *key;
	struct rt_service *service;
	struct rt_pool *base; /* itself, or the model of an adapter */
	GPtrArray *links;     /* not owned */
	GPtrArray *queues;    /* struct rt_queue, owned */
	bool plain;	      /* a plain service, not a model */
	uint32_t waiting;
	int64_t scheduled_us;
	double unit_us; /* means over endpoints */
	double decode_us;
	double n_first;
	double n_decode;
	double rate; /* requests/s of this entry, smoothed */
	int64_t arrived_us;
	double grant_gap_us; /* time between grants while requests wait */
	double n_gap;
	int64_t granted_us;
};

/* One class of one team on one service. */
struct rt_class {
	char *key;
	struct rt_service *service;
	uint32_t priority;
	double share;
	uint32_t waiting;
	uint32_t active; /* queues that are not empty */
	double usage;
	int64_t usage_us;
	GPtrArray *queues; /* not owned */
};

struct rt_service {
	char *name;
	GPtrArray *classes;    /* struct rt_class, owned */
	uint32_t up;	       /* endpoints in state up */
	uint32_t top_priority; /* lowest number, which is the most urgent */
	double usage;
	int64_t usage_us;
};

/* Retry budget of one team. */
struct rt_budget {
	char *team;
	double tokens;
};

enum rt_state {
	RT_STATE_WAITING,
	RT_STATE_GRANTED, /* endpoint chosen, caller not yet told */
	RT_STATE_DISPATCHED,
	RT_STATE_REFUSED,
};

struct rt_ticket {
	enum rt_state state;
	enum rt_reason reason;
	struct rt_pool *pool;
	struct rt_queue *queue;
	struct rt_budget *budget;
	char *version;	   /* version in force when submitted, or NULL */
	char *exclude;	   /* endpoint id, or NULL */
	char *software;	   /* of the endpoint that sent the first token */
	struct view *view; /* view at the dispatch; owned reference */
	const Dsp__Endpoint *endpoint; /* in view */
	struct rt_ep *ep;
	struct rt_speed *speed;
	int64_t arrival_us;
	int64_t deadline_us;
	bool whole; /* the deadline is for the whole answer */
	bool suspect;
	bool retried;
	bool queued; /* member of queue->tickets */
	uint32_t queue_max;
	uint32_t prompt_tokens;
	uint64_t prefix_hashes[RT_PREFIXES];
	int64_t no_copy_until_us; /* end of the wait for a first copy */
	int64_t retry_after_us;	  /* refused: when a pause ends; 0: none */
	double min_us; /* shortest time to its target on an idle endpoint */
	double cost;   /* cost units, less the prefix cached on ep */
	int64_t dispatch_us;
	int64_t first_us;
	double load; /* estimated at the grant, with this request */
	double predicted_base_us; /* without queueing and bias */
	int64_t predicted_us;
	TAILQ_ENTRY(rt_ticket) entry;	 /* queue->tickets */
	TAILQ_ENTRY(rt_ticket) ep_entry; /* ep->tickets */
};

struct rt_prefix {
	uint64_t hash;
	struct rt_ep *ep;
	int64_t at_us;
};

struct rt_candidate {
	struct rt_link *link;
	double load;
	double cost;
	double first_us; /* to first token, including queueing at ep */
	double base_us;	 /* to first token, without queueing and bias */
	double total_us;
	double room; /* free slots; at least 5% of the batch */
	double weight;
};

struct rt {
	struct view *view;
	uint64_t random;
	uint32_t entries;
	char *self; /* id of this instance; NULL: the only one */
	uint64_t pass;
	uint64_t view_pass;
	uint32_t waiting;
	GHashTable *eps;      /* id to struct rt_ep, owned */
	GHashTable *pools;    /* key to struct rt_pool, owned */
	GHashTable *services; /* name to struct rt_service, owned */
	GHashTable *budgets;  /* team to struct rt_budget, owned */
	struct rt_prefix *prefixes;
	struct rt_candidate *candidates; /* scratch buffer */
	size_t candidates_max;
};

/* rt_predict.c */
double rt_load_estimate(const struct rt *ctx, const struct rt_ep *ep,
			int64_t now_us);
uint32_t rt_in_flight_at(const struct rt_ep *ep, int64_t at_us);
void rt_sample_in_flight(struct rt_ep *ep, int64_t now_us);
void rt_predict(const struct rt *ctx, const struct rt_link *link,
		const struct rt_ticket *ticket, int64_t now_us,
		struct rt_candidate *out);
double rt_service_us(const struct rt_pool *pool, const struct rt_ep *ep);
struct rt_speed *rt_speed_of(struct rt_ep *ep, struct rt_pool *base);
void rt_record_first_token(struct rt_ticket *ticket, int64_t now_us);
void rt_record_completion(struct rt_ticket *ticket, int64_t now_us);
void rt_prefix_record(struct rt *ctx, const struct rt_ticket *ticket,
		      int64_t now_us);
void rt_prefix_drop(struct rt *ctx, const struct rt_ep *ep);

/* rt_queue.c */
struct rt_queue *rt_queue_of(struct rt *ctx, struct rt_pool *pool,
			     const struct rt_request *request);
void rt_queue_insert(struct rt *ctx, struct rt_ticket *ticket);
void rt_queue_remove(struct rt *ctx, struct rt_ticket *ticket);
struct rt_ticket *rt_queue_eviction(struct rt_queue *queue);
bool rt_queue_over_share(const struct rt_queue *queue, uint32_t queue_max);
void rt_queue_charge(struct rt_queue *queue, double slot_us, int64_t now_us);
struct rt_queue *rt_queue_next(struct rt *ctx, GPtrArray *links,
			       struct rt_pool *only, int64_t now_us);
uint32_t rt_queue_ahead(const struct rt_pool *pool, const struct rt_class *own,
			int64_t deadline_us);

/* rt_budget.c */
struct rt_budget *rt_budget_of(struct rt *ctx, const char *team);
void rt_budget_credit(struct rt_budget *budget);
bool rt_budget_take(struct rt_budget *budget);

#endif
