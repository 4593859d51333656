#include <argp.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib_sim.h"

/*
 * Compares the placement policy with the baselines on the same arrivals: the
 * share of requests in time in the worst minute and the number of moves, each
 * as mean and range over the seeds.
 */

struct options {
	int seeds;
	int first_seed;
	const char *shape;
	const char *scenario;
	const char *policy;
	bool verbose;
};

static const struct argp_option option_table[] = {
	{ "seeds", 'n', "N", 0, "Seeds to run (default 5)", 0 },
	{ "first-seed", 'f', "N", 0, "First seed (default 1)", 0 },
	{ "shape", 's', "NAME", 0, "Only this deployment", 0 },
	{ "scenario", 'c', "NAME", 0, "Only this scenario", 0 },
	{ "policy", 'p', "NAME", 0, "Only this policy", 0 },
	{ "verbose", 'v', NULL, 0, "One line for each run", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'n':
		options->seeds = (int)strtol(arg, NULL, 10);
		return 0;
	case 'f':
		options->first_seed = (int)strtol(arg, NULL, 10);
		return 0;
	case 's':
		options->shape = arg;
		return 0;
	case 'c':
		options->scenario = arg;
		return 0;
	case 'p':
		options->policy = arg;
		return 0;
	case 'v':
		options->verbose = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

struct total {
	double worst, worst_min, worst_max;
	double overall;
	double refused;
	double moves, moves_min, moves_max;
	double adapters;
	double unreachable_s;
	double per_accelerator;
	unsigned overcommits, wrong, rejected;
};

static void add_result(struct total *total, const struct sim_result *r,
		       bool first)
{
	double moves = (double)r->moves;

	total->worst += r->worst_minute;
	total->overall += r->overall;
	total->refused += r->refused;
	total->moves += moves;
	total->adapters += (double)r->adapter_moves;
	total->per_accelerator += r->worst_minute / r->accelerators;
	if (first || r->worst_minute < total->worst_min)
		total->worst_min = r->worst_minute;
	if (first || r->worst_minute > total->worst_max)
		total->worst_max = r->worst_minute;
	if (first || moves < total->moves_min)
		total->moves_min = moves;
	if (first || moves > total->moves_max)
		total->moves_max = moves;
	if (r->unreachable_s > total->unreachable_s)
		total->unreachable_s = r->unreachable_s;
	total->overcommits += r->overcommits;
	total->wrong += r->wrong;
	total->rejected += r->rejected_orders;
}

static void run_scenario(const struct options *options,
			 const struct sim_shape *shape,
			 enum sim_scenario scenario)
{
	for (int policy = SIM_OURS; policy < SIM_POLICIES; policy++) {
		struct total total = { 0 };
		int n = options->seeds;
		const char *name = sim_policy_name((enum sim_policy)policy);

		if (options->policy && strcmp(options->policy, name))
			continue;

		for (int i = 0; i < n; i++) {
			struct sim_result r;

			r = sim_run(shape, (enum sim_policy)policy, scenario,
				    (uint64_t)options->first_seed +
					    (uint64_t)i);
			add_result(&total, &r, i == 0);
			if (options->verbose)
				printf("  seed %d worst %.3f overall %.3f "
				       "refused %.3f moves %llu\n",
				       options->first_seed + i, r.worst_minute,
				       r.overall, r.refused,
				       (unsigned long long)r.moves);
		}
		printf("%-10s %-13s %-14s %.3f %.3f..%.3f %6.4f  %.3f %.3f "
		       "%6.0f %5.0f..%-5.0f %5.0f %6.1f %u %u %u\n",
		       shape->name, sim_scenario_name(scenario), name,
		       total.worst / n, total.worst_min, total.worst_max,
		       total.per_accelerator / n, total.overall / n,
		       total.refused / n, total.moves / n, total.moves_min,
		       total.moves_max, total.adapters / n, total.unreachable_s,
		       total.overcommits, total.wrong, total.rejected);
		fflush(stdout);
	}
}

int main(int argc, char **argv)
{
	static const struct sim_shape *const shapes[] = { &sim_verband,
							  &sim_marea };
	const struct argp argp = {
		option_table, parse_option,
		NULL,	      "Compares the policy with baselines.",
		NULL,	      NULL,
		NULL
	};
	struct options options = { .seeds = 5, .first_seed = 1 };

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return 2;
	printf("shape      scenario      policy         worst-minute share "
	       "(min..max) /accel overall refused moves (min..max) adapters "
	       "unreachable-s overcommits not-ready rejected-orders\n");
	for (size_t s = 0; s < sizeof(shapes) / sizeof(*shapes); s++) {
		if (options.shape && strcmp(options.shape, shapes[s]->name))
			continue;
		for (int c = 0; c < SIM_SCENARIOS; c++) {
			const char *name;

			name = sim_scenario_name((enum sim_scenario)c);
			if (options.scenario && strcmp(options.scenario, name))
				continue;
			run_scenario(&options, shapes[s], (enum sim_scenario)c);
		}
	}
	return 0;
}
