#ifndef TOOLS_LIB_SIM_H
#define TOOLS_LIB_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Discrete-event simulator: drives the placement and routing code with
 * generated arrivals and simulated endpoints on a simulated clock. It uses no
 * threads, no network and no wall-clock time.
 */

enum sim_policy {
	SIM_OURS,
	/* Sends to the endpoint with the fewest requests in flight, loads
	 * models there on demand and evicts the least recently used copy. */
	SIM_NAIVE_ANY,
	/* As SIM_NAIVE_ANY, but prefers endpoints that have the model; another
	 * endpoint loads it only when all of those are full. */
	SIM_NAIVE_SPILL,
	/* As SIM_NAIVE_ANY, but loads a model only when no endpoint has it. */
	SIM_NAIVE_STICKY,
	SIM_POLICIES,
};

enum sim_scenario {
	SIM_STEADY,
	SIM_BURST,
	SIM_LOSE_ENDPOINT,
	SIM_LOSE_SITE,
	SIM_DOCUMENT,
	SIM_SCENARIOS,
};

struct sim_shape {
	const char *name;
	const char *service;
	const char *const *sites;
	size_t n_sites;
	size_t n_runners;
	size_t n_models;
	size_t n_adapters;
	size_t n_entries;
	double loads_per_s;
	uint32_t parallel_loads;
	double adapter_ms;
	uint32_t adapters_in_transit;
	double weight_attainment;
	double weight_moves;
	uint32_t first_token_ms[2]; /* per class: chat, batch */
	double utilisation;	    /* mean share of slots in use */
};

struct sim_result {
	uint32_t accelerators;
	uint64_t requests;	  /* after the warm-up */
	double worst_minute;	  /* lowest share in time of a minute */
	double overall;		  /* share with first token in time */
	double refused;		  /* share refused */
	uint64_t moves;		  /* loads and unloads after the warm-up */
	uint64_t adapter_moves;	  /* included in moves */
	double unreachable_s;	  /* longest time a model had no ready copy */
	uint32_t overcommits;	  /* accelerators over-filled by a load */
	uint32_t wrong;		  /* dispatches to a missing copy */
	uint32_t rejected_orders; /* orders that st_apply() rejected */
};

extern const struct sim_shape sim_verband;
extern const struct sim_shape sim_marea;

const char *sim_policy_name(enum sim_policy policy);
const char *sim_scenario_name(enum sim_scenario scenario);
struct sim_result sim_run(const struct sim_shape *shape, enum sim_policy policy,
			  enum sim_scenario scenario, uint64_t seed);

#endif
