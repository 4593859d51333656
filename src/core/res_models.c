#include "core/res_int.h"

#include <math.h>
#include <string.h>

/*
 * Chooses which models are loaded where and which are unloaded for them. The
 * expected traffic: most requests are for two models, which change within
 * seconds; many models are used rarely; a load from the store takes as long as
 * demand takes to change, and an unload waits for the requests of its model. So
 * each order is chosen by the additional requests that it serves within the
 * next seconds, minus those that the unloaded copy would have served.
 */

/* Requests/s that one copy serves in time: the prefill of a prompt takes some
 * 60 ms of its engine, and half of its time goes to decoding and other models.
 */
#define COPY_RATE 11.0
/* Time over which the gain of a copy is counted: about as long as demand stays
 * with a model. */
#define HORIZON_S 15.0
/* Costs of a load in requests: from the store, which other models may need, and
 * from weights cached on the engine's host. */
#define STORE_COST 4.0
#define CACHED_COST 1.5
/* Additional cost of an unload in requests: rates are estimated from few
 * requests, and reverting a wrong move costs both models some seconds. */
#define UNLOAD_COST 8.0
/* Minimum share of a model's recent demand that its copies are valued by,
 * however fast it falls: a trend from few requests is uncertain. */
#define FALL_SHARE 0.5
/* Cost of memory on an engine of average speed, in requests, so that rarely
 * used models are loaded on slow engines. */
#define PLACE_COST 4.0
/* Time that an unload waits for the requests of its model on an engine of
 * average speed, and the requests/s from which it is that long. */
#define DRAIN_S 3.5
#define DRAIN_RATE 1.0
/* Value of the only copy of a model in requests/s: before any traffic; without
 * demand, and more for each second without a copy; with demand, and more for
 * each second that the demand waits. */
#define NO_TRAFFIC_VALUE 50.0
#define NO_DEMAND_VALUE 0.8
#define NO_DEMAND_VALUE_PER_S 0.2
#define DEMAND_VALUE 2.0
#define DEMAND_VALUE_PER_S 1.5
/* Requests/s assumed for each copy that engines started with, until demand is
 * known. */
#define INITIAL_COPY_RATE 8.0
/* Engines announce themselves within about this time; until then a model
 * without a known copy may be on an engine that is not known yet. */
#define SETTLE_US 1500000
/* Limits of an engine's speed relative to the others. */
#define SPEED_MIN 0.4
#define SPEED_MAX 2.0
/* Requests/s of its models that use all of an engine's time, and the least
 * share of its time that is assumed to be left for another model. */
#define ENGINE_RATE 15.0
#define ENGINE_SHARE_MIN 0.2
/* Window of the store's rate. */
#define STORE_WINDOW_US 5000000

struct move {
	double gain; /* requests */
	size_t engine;
	int victim; /* -1: there is room */
};

/* Requests/s that copies are planned for. Engines start with the models that
 * are expected to be busy. */
static double expected_rate(const struct res *ctx, const struct res_model *m)
{
	if (ctx->demand_known || m->copies <= 1)
		return m->rate;
	return m->rate + INITIAL_COPY_RATE * m->copies;
}

/* Returns the engine's relative speed within SPEED_MIN and SPEED_MAX; 1:
 * average or unknown. */
double res_speed(const struct res_engine *e)
{
	return e->speed > 0 ? CLAMP(e->speed, SPEED_MIN, SPEED_MAX) : 1;
}

/* Requests/s served by copies on engines with this sum of speeds; each further
 * copy serves a part of what the others leave. */
static double served_by(double rate, double speed)
{
	if (rate <= 0 || speed <= 0)
		return 0;
	return rate * (1 - exp(-COPY_RATE * speed / rate));
}

static double seconds_since(int64_t from_us, int64_t now_us)
{
	return (double)(now_us - from_us) / 1e6;
}

/* Value of the only copy of a model, besides what it serves, in requests/s.
 * Every published model must be reachable: the value grows with the time that
 * it is not, so that other copies are unloaded for it. It is high before
 * traffic, when an unload costs nothing. */
static double only_copy_value(const struct res *ctx, const struct res_model *m,
			      int64_t now_us)
{
	if (now_us - ctx->usable_us < SETTLE_US)
		return 0;
	if (ctx->first_us == INT64_MAX)
		return NO_TRAFFIC_VALUE;
	if (m->wanted_since_us)
		return DEMAND_VALUE +
		       DEMAND_VALUE_PER_S *
			       seconds_since(m->wanted_since_us, now_us);
	return NO_DEMAND_VALUE +
	       NO_DEMAND_VALUE_PER_S *
		       seconds_since(m->no_copy_since_us, now_us);
}

/* Requests/s that another copy on an engine of this speed adds. */
static double next_copy_value(const struct res *ctx, const struct res_model *m,
			      double speed, int64_t now_us)
{
	double rate = expected_rate(ctx, m);
	double more = served_by(rate, m->copies_speed + speed) -
		      served_by(rate, m->copies_speed);

	return m->copies ? more : more + only_copy_value(ctx, m, now_us);
}

/* Requests/s that are lost without the loaded copy on the engine. */
static double present_copy_value(const struct res *ctx,
				 const struct res_model *m,
				 const struct res_engine *e)
{
	double rate = MAX(expected_rate(ctx, m), FALL_SHARE * m->fast);

	return served_by(rate, m->present_speed) -
	       served_by(rate, m->present_speed - res_speed(e));
}

/* Share of the engine's time that its models other than except leave. */
static double engine_time_share(const struct res *ctx,
				const struct res_engine *e, int except)
{
	double rate = 0;

	for (size_t i = 0; i < e->n_items; i++) {
		const struct res_model *m = &ctx->models[e->items[i].model];

		if (!e->items[i].adapter && (int)e->items[i].model != except)
			rate += m->rate / MAX(m->copies, 1);
	}
	return MAX(1 - rate / ENGINE_RATE, ENGINE_SHARE_MIN);
}

static bool is_cached(const uint32_t *list, size_t n, size_t model)
{
	for (size_t i = 0; i < n; i++)
		if (list[i] == model)
			return true;
	return false;
}

/* Time of a load from the memory or disk of the engine's host in ms; 0: the
 * model is not cached there, or the time is unknown. */
static uint32_t cached_load_ms(const struct res *ctx,
			       const struct res_engine *e, struct res_item item)
{
	const struct res_model *m = &ctx->models[item.model];

	if (m->warm_ms && is_cached(e->in_memory, e->n_in_memory, item.model))
		return m->warm_ms;
	return is_cached(e->on_disk, e->n_on_disk, item.model) ? m->disk_ms : 0;
}

/* Returns whether a load would read the weight store: the model is not cached
 * on the engine's host. */
bool res_reads_store(const struct res *ctx, const struct res_engine *e,
		     struct res_item item)
{
	return !cached_load_ms(ctx, e, item);
}

/* Returns the time in ms that a load of the model takes on this engine. */
uint32_t res_load_ms(const struct res *ctx, const struct res_engine *e,
		     struct res_item item)
{
	uint32_t ms = cached_load_ms(ctx, e, item);

	return ms ? ms : ctx->models[item.model].load_ms;
}

/* Whether the rate limit of the store allows another load. Loads that follow a
 * pending unload count. */
static bool store_has_room(const struct res *ctx,
			   const struct res_engine *engines, size_t n,
			   int64_t now_us)
{
	double most =
		ctx->store_excess * ctx->loads_per_s * STORE_WINDOW_US / 1e6;
	unsigned recent = 0;

	for (size_t i = 0; i < RES_LOADS_MAX; i++)
		recent += now_us - ctx->loads[i] < STORE_WINDOW_US;
	for (size_t i = 0; i < n; i++)
		recent += engines[i].load_follows;
	return recent + 1 <= MAX(most, 1) && recent + 1 < RES_LOADS_MAX;
}

/* Gain of a load in requests: those served from its end to the horizon, minus
 * its costs and what the victim (-1: none) would have served. */
static double gain_of(const struct res *ctx, const struct res_engine *e,
		      size_t model, int victim, int64_t now_us)
{
	struct res_item item = { .model = (uint32_t)model };
	double value = next_copy_value(
		ctx, &ctx->models[model],
		res_speed(e) * engine_time_share(ctx, e, victim), now_us);
	double wait_s = res_load_ms(ctx, e, item) / 1e3;
	double cost =
		(res_reads_store(ctx, e, item) ? STORE_COST : CACHED_COST) +
		PLACE_COST * res_speed(e);

	if (victim >= 0) {
		const struct res_model *v = &ctx->models[victim];
		double rate = v->rate / MAX(v->present, 1);

		wait_s += DRAIN_S / res_speed(e) * MIN(rate / DRAIN_RATE, 1);
		cost += UNLOAD_COST + present_copy_value(ctx, v, e) * HORIZON_S;
	}
	return value * MAX(HORIZON_S - wait_s, 0) - cost;
}

/* Updates best with the gain of the model on one engine: in free memory, or
 * with each victim that is large enough. */
static void evaluate_engine(const struct res *ctx,
			    const struct res_engine *engines, size_t engine,
			    size_t model, int64_t now_us, struct move *best)
{
	const struct res_engine *e = &engines[engine];
	int64_t missing_mb = ctx->models[model].memory_mb - res_free_mb(ctx, e);

	if (missing_mb <= 0) {
		double gain = gain_of(ctx, e, model, -1, now_us);

		if (gain > best->gain)
			*best = (struct move){ gain, engine, -1 };
		return;
	}
	for (size_t i = 0; i < e->n_items; i++) {
		int victim = (int)e->items[i].model;
		const struct res_model *v = &ctx->models[victim];
		double gain;

		/* A copy that is still loading cannot replace the victim. */
		if (e->items[i].adapter || !v->listed || v->present <= 1 ||
		    res_held_mb(ctx, e, i) < missing_mb)
			continue;
		gain = gain_of(ctx, e, model, victim, now_us);
		if (gain > best->gain)
			*best = (struct move){ gain, engine, victim };
	}
}

/* Whether the model may be loaded on the engine. Memory that was freed for a
 * model without a copy is reserved for it: otherwise a busier one would take it
 * each time. */
static bool may_take(const struct res *ctx, const struct res_engine *e,
		     size_t model)
{
	struct res_item item = { .model = (uint32_t)model };

	if (!e->usable || e->busy || res_holds(e, item))
		return false;
	return !e->reserved || e->reserved_for.model == model ||
	       !res_is_listed(ctx, e->reserved_for) ||
	       ctx->models[e->reserved_for.model].copies > 0;
}

/* Plans the load with the highest gain, or the unload that frees memory for it.
 * Returns whether there is one. */
bool res_plan_model(struct res *ctx, const struct res_engine *engines, size_t n,
		    int64_t now_us, struct res_order *out)
{
	bool room = store_has_room(ctx, engines, n, now_us);
	struct move best = { .gain = 0 };
	size_t best_model = 0;

	/* Wait while demand averages are not yet meaningful; a new leader,
	 * without any demand, waits for the engines to announce themselves. */
	if (!ctx->demand_known &&
	    (ctx->first_us != INT64_MAX || now_us - ctx->usable_us < SETTLE_US))
		return false;
	for (size_t k = 0; k < ctx->n_models; k++) {
		double value = next_copy_value(ctx, &ctx->models[k], SPEED_MAX,
					       now_us);
		struct res_item item = { .model = (uint32_t)k };
		double gain = best.gain;

		if (!ctx->models[k].listed || value * HORIZON_S <= CACHED_COST)
			continue;
		for (size_t i = 0; i < n; i++)
			if (may_take(ctx, &engines[i], k) &&
			    (room || !res_reads_store(ctx, &engines[i], item)))
				evaluate_engine(ctx, engines, i, k, now_us,
						&best);
		if (best.gain > gain)
			best_model = k;
	}
	if (best.gain <= 0)
		return false;
	*out = (struct res_order){
		.engine = best.engine,
		.kind = best.victim < 0 ? RES_LOAD : RES_UNLOAD,
		.item.model = best.victim < 0 ? (uint32_t)best_model
					      : (uint32_t)best.victim,
		.load_item.model = (uint32_t)best_model,
		.load_follows = best.victim >= 0,
		.gain = best.gain,
	};
	return true;
}
