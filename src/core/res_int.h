#ifndef CORE_RES_INT_H
#define CORE_RES_INT_H

#include <glib.h>

#include "core/res.h"

/* Internal to the planner (res*.c). */

#define RES_LOADS_MAX 64

struct res_model {
	char *name;	 /* NULL: the number is free */
	bool listed;	 /* in the document */
	bool size_known; /* the document has listed it */
	uint32_t memory_mb;
	uint32_t load_ms; /* from the weight store */
	uint32_t disk_ms; /* from the engine's disk; 0: not known */
	uint32_t warm_ms; /* from the memory of its host; 0: not known */
	uint32_t adapters;
	uint32_t adapter_mb;
	double fast, slow;	  /* averages of requests/s */
	double rate;		  /* requests/s expected in 2.5 s */
	double *adapter_rates;	  /* by number; [0] is not used */
	int64_t no_copy_since_us; /* 0: it has a copy */
	int64_t wanted_since_us;  /* with demand and no copy; 0: no */
	/* Of the current round. */
	uint32_t copies;  /* including those that are loading */
	uint32_t present; /* copies that are loaded */
	/* Sums of the speeds of their engines. */
	double copies_speed;
	double present_speed;
	uint32_t *adapter_copies;
};

struct res {
	double store_excess;
	uint32_t memory_mb;
	uint32_t adapter_places;
	double loads_per_s;
	struct res_model *models; /* by number */
	size_t n_models;	  /* including those that are not listed */
	GHashTable *by_name;	  /* name -> position + 1 */
	int64_t first_us;	  /* first demand; INT64_MAX: none yet */
	bool demand_known;	  /* seen for DEMAND_SETTLE_US */
	int64_t decayed_us;
	size_t n_usable;
	int64_t usable_us;	      /* when n_usable changed last */
	int64_t loads[RES_LOADS_MAX]; /* times, from the store; ring */
	size_t next_load;
};

double res_speed(const struct res_engine *e);
uint32_t res_held_mb(const struct res *ctx, const struct res_engine *e,
		     size_t i);
int64_t res_free_mb(const struct res *ctx, const struct res_engine *e);
bool res_plan_model(struct res *ctx, const struct res_engine *engines, size_t n,
		    int64_t now_us, struct res_order *out);

#endif
