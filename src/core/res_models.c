#include "core/res_int.h"

#include <math.h>
#include <string.h>

/*
 * Where models are loaded, and what gives way. Load: most demand is for two
 * models, which others replace within seconds; many models are asked for
 * rarely; a load from the store takes as long as the change of demand, and an
 * unload waits for the requests of its model. So each order is chosen by the
 * requests that it serves more within the next seconds, less those that the
 * copy which gives way would have served meanwhile.
 */

/* Requests a second that one copy answers well: reading a prompt takes some 60
 * ms of its engine, and half of its time is for events and other models. */
#define COPY_RATE 11.0
/* Time over which a copy must pay; demand stays with a model for about that
 * long. */
#define HORIZON_S 15.0
/* What an order costs, in requests: one from the store, which other models may
 * need, and one from a copy on the engine's own disk. */
#define STORE_COST 4.0
#define NEAR_COST 1.5
/* What an unload costs besides: the rates are known by some requests only, and
 * a move that is taken back costs both models some seconds. */
#define UNLOAD_COST 8.0
/* Part of a model's recent demand that counts for its copies however fast it
 * falls: the trend of few requests is not certain. */
#define FALL_SHARE 0.5
/* Value of a place on a usual engine, in requests, so that rare models take
 * those on slow ones. */
#define PLACE_COST 4.0
/* An unload waits for the requests of its model, which take this long on a
 * usual engine, when it has this many a second. */
#define DRAIN_S 3.5
#define DRAIN_RATE 1.0
/* Value of the only copy of a model, in requests a second: before traffic; when
 * nobody asks for it, and for each second without it; when it is asked for, and
 * for each second of waiting. */
#define UNUSED_VALUE 50.0
#define UNASKED_VALUE 0.8
#define LOST_VALUE 0.2
#define MISSING_VALUE 2.0
#define WAITING_VALUE 1.5
/* Until demand was seen for some time, each copy that engines started with
 * stands for this many requests a second. */
#define PRIOR_RATE 8.0
/* Engines announce themselves within about this time; until then a model that
 * seems to be missing may be on one that is not known yet. */
#define SETTLE_US 1500000
/* Speeds of engines, against those of the others, that count. */
#define SPEED_MIN 0.4
#define SPEED_MAX 2.0
/* Requests a second of its other models that take all of an engine's time. */
#define ENGINE_RATE 15.0
#define ENGINE_SHARE_MIN 0.2
/* Window of the store's rate. */
#define STORE_WINDOW_US 5000000

struct move {
	double gain; /* requests */
	size_t engine;
	int victim; /* -1: there is room */
};

/* The rate that copies are for. Engines start with the models that are
 * expected to be busy. */
static double expected_rate(const struct res *ctx, const struct res_model *m)
{
	if (ctx->primed || m->copies <= 1)
		return m->rate;
	return m->rate + PRIOR_RATE * m->copies;
}

/* Returns the engine's speed as far as it counts; 1: a usual one. */
double res_speed(const struct res_engine *e)
{
	return e->speed > 0 ? CLAMP(e->speed, SPEED_MIN, SPEED_MAX) : 1;
}

/* Requests a second that copies serve on engines with this sum of speeds: each
 * takes what it can of what the others leave. */
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

/* Value of the only copy of a model, besides what it serves, in requests a
 * second. Every published model stays reachable: the longer it is not, the more
 * may give way for it. Before traffic, an unload costs nothing. */
static double value_of_only(const struct res *ctx, const struct res_model *m,
			    int64_t now_us)
{
	if (now_us - ctx->usable_us < SETTLE_US)
		return 0;
	if (ctx->first_us == INT64_MAX)
		return UNUSED_VALUE;
	if (m->missed_us)
		return MISSING_VALUE +
		       WAITING_VALUE * seconds_since(m->missed_us, now_us);
	return UNASKED_VALUE + LOST_VALUE * seconds_since(m->lost_us, now_us);
}

/* Requests a second that one more copy serves on an engine of this speed. */
static double value_of_next(const struct res *ctx, const struct res_model *m,
			    double speed, int64_t now_us)
{
	double rate = expected_rate(ctx, m);
	double more = served_by(rate, m->copies_speed + speed) -
		      served_by(rate, m->copies_speed);

	return m->copies ? more : more + value_of_only(ctx, m, now_us);
}

/* Requests a second that are lost with the present copy on the engine. */
static double value_of_last(const struct res *ctx, const struct res_model *m,
			    const struct res_engine *e)
{
	double rate = MAX(expected_rate(ctx, m), FALL_SHARE * m->fast);

	return served_by(rate, m->present_speed) -
	       served_by(rate, m->present_speed - res_speed(e));
}

/* Part of the engine's time that its other models leave. */
static double time_left(const struct res *ctx, const struct res_engine *e,
			int except)
{
	double rate = 0;

	for (size_t i = 0; i < e->n_items; i++) {
		const struct res_model *m = &ctx->models[e->items[i].model];

		if (!e->items[i].adapter && e->items[i].model != except)
			rate += m->rate / MAX(m->copies, 1);
	}
	return MAX(1 - rate / ENGINE_RATE, ENGINE_SHARE_MIN);
}

static bool is_listed(const uint16_t *list, size_t n, size_t model)
{
	for (size_t i = 0; i < n; i++)
		if (list[i] == model)
			return true;
	return false;
}

/* Time of a load from the engine's host; 0: it has to read the store. */
static uint32_t near_ms(const struct res *ctx, const struct res_engine *e,
			struct res_item item)
{
	const struct res_model *m = &ctx->models[item.model];

	if (m->warm_ms && is_listed(e->in_memory, e->n_in_memory, item.model))
		return m->warm_ms;
	return is_listed(e->on_disk, e->n_on_disk, item.model) ? m->disk_ms : 0;
}

/* Returns whether the engine would read the model from the weight store. */
bool res_reads_store(const struct res *ctx, const struct res_engine *e,
		     struct res_item item)
{
	return !near_ms(ctx, e, item);
}

/* Returns the time that a load of the model takes on this engine. */
uint32_t res_load_ms(const struct res *ctx, const struct res_engine *e,
		     struct res_item item)
{
	uint32_t ms = near_ms(ctx, e, item);

	return ms ? ms : ctx->models[item.model].load_ms;
}

/* Whether another load from the store may begin. Those that will follow an
 * unload count. */
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

/* Gain of a load, in requests: from when it is done to the horizon, less what
 * the victim would have served. */
static double gain_of(const struct res *ctx, const struct res_engine *e,
		      size_t model, int victim, int64_t now_us)
{
	struct res_item item = { .model = (uint16_t)model };
	double value =
		value_of_next(ctx, &ctx->models[model],
			      res_speed(e) * time_left(ctx, e, victim), now_us);
	double wait_s = res_load_ms(ctx, e, item) / 1e3;
	double cost = (res_reads_store(ctx, e, item) ? STORE_COST : NEAR_COST) +
		      PLACE_COST * res_speed(e);

	if (victim >= 0) {
		const struct res_model *v = &ctx->models[victim];
		double rate = v->rate / MAX(v->present, 1);

		wait_s += DRAIN_S / res_speed(e) * MIN(rate / DRAIN_RATE, 1);
		cost += UNLOAD_COST + value_of_last(ctx, v, e) * HORIZON_S;
	}
	return value * MAX(HORIZON_S - wait_s, 0) - cost;
}

/* Considers the model on one engine, with each victim that makes room. */
static void consider(const struct res *ctx, const struct res_engine *engines,
		     size_t engine, size_t model, int64_t now_us,
		     struct move *best)
{
	const struct res_engine *e = &engines[engine];
	int64_t lacking_mb = ctx->models[model].memory_mb - res_free_mb(ctx, e);

	if (lacking_mb <= 0) {
		double gain = gain_of(ctx, e, model, -1, now_us);

		if (gain > best->gain)
			*best = (struct move){ gain, engine, -1 };
		return;
	}
	for (size_t i = 0; i < e->n_items; i++) {
		int victim = e->items[i].model;
		const struct res_model *v = &ctx->models[victim];
		double gain;

		/* Copies that are still coming do not serve in its place. */
		if (e->items[i].adapter || v->present <= 1 ||
		    v->memory_mb < lacking_mb)
			continue;
		gain = gain_of(ctx, e, model, victim, now_us);
		if (gain > best->gain)
			*best = (struct move){ gain, engine, victim };
	}
}

/* Whether the engine may be given the model. Room that was made for a model
 * without a copy is kept for it: otherwise a busier one takes it each time. */
static bool may_take(const struct res *ctx, const struct res_engine *e,
		     size_t model)
{
	struct res_item item = { .model = (uint16_t)model };

	if (!e->usable || e->busy || res_holds(e, item))
		return false;
	return !e->reserved || e->reserved_for.model == model ||
	       ctx->models[e->reserved_for.model].copies > 0;
}

/* Plans the load of a model, or the unload that makes room for it. */
bool res_plan_model(struct res *ctx, const struct res_engine *engines, size_t n,
		    int64_t now_us, struct res_order *out)
{
	bool room = store_has_room(ctx, engines, n, now_us);
	struct move best = { .gain = 0 };
	size_t best_model = 0;

	/* Demand that began just now says nothing yet; a new leader has seen
	 * none. */
	if (!ctx->primed &&
	    (ctx->first_us != INT64_MAX || now_us - ctx->usable_us < SETTLE_US))
		return false;
	for (size_t k = 0; k < ctx->n_models; k++) {
		double value =
			value_of_next(ctx, &ctx->models[k], SPEED_MAX, now_us);
		struct res_item item = { .model = (uint16_t)k };
		double gain = best.gain;

		if (value * HORIZON_S <= NEAR_COST)
			continue;
		for (size_t i = 0; i < n; i++)
			if (may_take(ctx, &engines[i], k) &&
			    (room || !res_reads_store(ctx, &engines[i], item)))
				consider(ctx, engines, i, k, now_us, &best);
		if (best.gain > gain)
			best_model = k;
	}
	if (best.gain <= 0)
		return false;
	*out = (struct res_order){
		.engine = best.engine,
		.kind = best.victim < 0 ? RES_LOAD : RES_UNLOAD,
		.item.model = best.victim < 0 ? (uint16_t)best_model
					      : (uint16_t)best.victim,
		.load_item.model = (uint16_t)best_model,
		.gain = best.gain,
	};
	return true;
}
