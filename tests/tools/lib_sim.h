#ifndef TOOLS_LIB_SIM_H
#define TOOLS_LIB_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Drives the policy code with a list of arrivals and fake endpoints on a manual
 * clock: no threads, no network, no wall-clock time.
 */

enum sim_policy {
	SIM_OURS,
	/* Least requests in flight over all endpoints, load there on demand,
	 * evict the least recently used. */
	SIM_NAIVE_ANY,
	/* The same, but an endpoint that has the model goes first, and another
	 * one loads it only when all those are full. */
	SIM_NAIVE_SPILL,
	/* The same, but a model is loaded only when no endpoint has it. */
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
	uint32_t first_token_ms[2]; /* of the two classes */
	double utilisation;	    /* mean share of slots in use */
};

struct sim_result {
	uint32_t accelerators;
	uint64_t requests;	/* after the warm-up */
	double worst_minute;	/* share in time, lowest of all minutes */
	double overall;		/* share in time */
	double refused;		/* share refused */
	uint64_t moves;		/* loads and unloads after the warm-up */
	uint64_t adapter_moves; /* part of moves */
	double unreachable_s;	/* longest time without a ready copy */
	uint32_t overcommits;	/* loads that exceeded the memory */
	uint32_t wrong;		/* requests sent to a copy that is not ready */
	uint32_t rejected_orders; /* orders that the state refused */
};

extern const struct sim_shape sim_verband;
extern const struct sim_shape sim_marea;

const char *sim_policy_name(enum sim_policy policy);
const char *sim_scenario_name(enum sim_scenario scenario);
struct sim_result sim_run(const struct sim_shape *shape, enum sim_policy policy,
			  enum sim_scenario scenario, uint64_t seed);

#endif
