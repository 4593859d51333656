#ifndef CORE_PLC_INT_H
#define CORE_PLC_INT_H

#include <glib.h>

#include "conf/doc.h"
#include "core/plc.h"

/* Internal to the planner (plc*.c). */

/* Demand for one model or adapter of one team; kept between rounds. */
struct plc_rate {
	char *key;
	uint64_t requests; /* since the last round */
	uint64_t lost;	   /* refused or late, since the last round */
	uint64_t service_ms;
	double fast;	  /* average of requests/s over seconds */
	double slow;	  /* average of requests/s over minutes */
	double peak;	  /* maximum of fast, decays over an hour */
	double lost_fast; /* requests/s refused or late */
	double service_s; /* mean time in a slot */
	double n_service;
	int64_t used_us;
};

/* Last reported load of an endpoint; kept between rounds. */
struct plc_endpoint_load {
	char *id;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t at_us;
	double running; /* requests, moving average */
	double waiting;
	double kv_permille;
};

struct plc_copy;

/* An endpoint in one round. */
struct plc_ep {
	const Dsp__Endpoint *rec;
	const struct plc_endpoint_load *reported;
	bool usable;	   /* an engine in state up */
	bool unload_frees; /* unloading frees memory for other models */
	uint32_t slots;
	uint32_t *free_mb; /* of each accelerator, falls with planned loads */
	double load;	   /* expected requests in slots */
	GPtrArray *copies; /* struct plc_copy, owned */
	uint32_t planned;  /* loads of this round and of pending orders */
};

/* A published model or adapter in one version, in one round. */
struct plc_item {
	char *key;
	const char *team;
	const char *service;
	const char *model;
	const char *adapter; /* empty: a model */
	const char *version;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t min_copies;
	uint32_t adapters_mb; /* of all adapters of a model */
	double weight_attainment;
	double weight_moves;
	struct plc_item *base; /* of an adapter */
	GPtrArray *copies;     /* in this version; not owned */
	GPtrArray *old_copies; /* in other versions; not owned */
	double rate;	       /* requests/s, adapters included */
	double mean;	       /* the same over minutes */
	double lost;	       /* requests/s refused or late */
	double service_s;
	double work;   /* slots in use: rate times service time */
	double burst;  /* slots that a burst would use */
	double excess; /* slots of work beyond what its copies have */
};

struct plc_copy {
	struct plc_ep *ep;
	struct plc_item *item; /* NULL: withdrawn */
	bool old;	       /* in another version than item */
	const char *model;
	const char *version;
	const char *adapter;
	uint32_t first;
	uint32_t accelerators;
	uint32_t memory_mb;
	uint64_t order;
	bool ready;
	bool loading;
	bool stalled; /* loading for longer than STALL_*_US */
	bool unloading;
	double load; /* slots of work expected on it */
};

/* Limits of the store, the strictest of all documents with models. */
struct plc_limits {
	double loads_per_s;
	uint32_t parallel_loads;
	uint32_t adapters_in_transit;
};

struct plc_round {
	struct plc *plc;
	const struct st *state;
	int64_t now_us;
	struct plc_limits limits;
	uint32_t loads_left;
	uint32_t adapters_left;
	GPtrArray *eps;	    /* struct plc_ep, owned */
	GPtrArray *items;   /* struct plc_item, owned; models before adapters */
	GHashTable *by_key; /* item of a service, model, adapter and version */
	GHashTable *unversioned; /* first item, any version */
	GHashTable *by_name;	 /* an item of a model and adapter */
	GHashTable *ep_by_id;
	GHashTable *exactly_once; /* services without duplicate orders */
	GPtrArray *commands;	  /* Dsp__Command, result */
	const Dsp__Order **pending;
	size_t n_pending;
};

struct plc {
	uint64_t seed;
	uint64_t moves;
	GHashTable *rates;	/* key to struct plc_rate, owned */
	GHashTable *loads;	/* id to struct plc_endpoint_load, owned */
	GHashTable *docs;	/* team to struct plc_doc, owned */
	GHashTable *histories;	/* key to struct plc_history, owned */
	GHashTable *order_seen; /* order id to time first seen, owned */
	uint32_t next_model;	/* round robin, no excess */
	double load_tokens;
	int64_t round_us;
};

/* A parsed document; kept between rounds. */
struct plc_doc {
	char *team;
	uint64_t index;
	struct doc *parsed;
	bool present;
};

/* Times of earlier changes to an item, endpoint or service, so that changes are
 * not undone soon; kept between rounds. */
struct plc_history {
	char *key;
	int64_t added_us;	 /* last copy added for demand */
	int64_t removed_us;	 /* last copy removed for another item */
	int64_t excess_since_us; /* 0: none */
	int64_t cleared_us;	 /* endpoint: last unload to fit a model */
	int64_t role_since_us;	 /* service: roles unbalanced; 0: no */
};

/* plc_demand.c */
void plc_rates_update(struct plc *ctx, double dt_s, int64_t now_us);
const struct plc_rate *plc_rate_of(const struct plc *ctx, const char *team,
				   const char *model, const char *adapter);
void plc_assign_work(struct plc_round *round);
double plc_requests(const struct plc_item *item, double slots);
double plc_gain(const struct plc_round *round, const struct plc_item *item,
		const struct plc_ep *ep);
double plc_loss(const struct plc_round *round, const struct plc_copy *copy);

/* plc_collect.c */
void plc_collect(struct plc_round *round);
void plc_collect_free(struct plc_round *round);
struct plc_history *plc_history_named(struct plc *ctx, const char *key);
struct plc_history *plc_history_of(struct plc *ctx,
				   const struct plc_item *item);

/* plc_space.c */
struct plc_space {
	struct plc_ep *ep;
	uint32_t first;
	GPtrArray *evict; /* copies to unload before, or NULL; not owned */
	double loss;
};
uint32_t plc_count_ready(const struct plc_item *item);
uint32_t plc_count_expected(const struct plc_item *item);
bool plc_may_unload(const struct plc_round *round, const struct plc_copy *copy,
		    uint32_t keep);
uint32_t plc_needed(const struct plc_round *round, const struct plc_item *item,
		    const struct plc_ep *ep, uint32_t first);
bool plc_unload_frees(const struct plc_round *round, const struct plc_ep *ep);
bool plc_evict(struct plc_round *round, struct plc_copy *copy);
bool plc_is_adapter(const struct plc_item *item);
bool plc_find_free(const struct plc_round *round, const struct plc_item *item,
		   uint32_t spare_mb, struct plc_space *out);
bool plc_find_evicting(const struct plc_round *round,
		       const struct plc_item *item, uint32_t keep,
		       double loss_max, struct plc_space *out);
bool plc_find_moving(const struct plc_round *round, const struct plc_item *item,
		     struct plc_copy **copy, struct plc_space *out);

/* plc_role.c */
void plc_balance_roles(struct plc_round *round);

/* plc.c */
void plc_add_order(struct plc_round *round, const struct plc_ep *ep,
		   Dsp__OrderKind kind, const char *team,
		   const struct plc_copy *copy, Dsp__EndpointRole role);
bool plc_load_copy(struct plc_round *round, struct plc_item *item,
		   const struct plc_space *space);
bool plc_unload_copy(struct plc_round *round, struct plc_copy *copy);

#endif
