#include "core/res_int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constants of the demand averages. Demand moves to other models within
 * seconds and a load takes that long, too, so the difference of the two is
 * taken as the trend. */
#define FAST_TAU_S 1.0
#define SLOW_TAU_S 2.5
/* The two averages lag behind a steady change by their time constants, so this
 * many times their difference leads to the demand in 2.5 s: reports take half a
 * second, an order and what it waits for some more. */
#define TREND_WEIGHT 2.3
/* A refused request comes back in about this many cases and is counted again.
 */
#define RETURN_SHARE 0.5
/* An adapter with fewer requests a second counts as not asked for. */
#define ADAPTER_IDLE_RATE 0.02
/* An adapter that was asked for within the last seconds is likely in use. Its
 * unload would wait for its requests and keep the engine from other orders. */
#define ADAPTER_BUSY_RATE 0.15
/* Requests a second for each copy of an adapter above which it gets another. */
#define ADAPTER_COPY_RATE 3.0
/* A model with fewer requests a second counts as not asked for. */
#define ASKED_RATE 0.05
/* Demand says little before it was seen for this long. */
#define PRIOR_US 800000

/* Creates a planner without models; store_excess: factor on the store's
 * rate that loads may reach. */
struct res *res_new(double store_excess)
{
	struct res *ctx = g_new0(struct res, 1);

	ctx->store_excess = store_excess;
	ctx->first_us = INT64_MAX;
	ctx->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < RES_LOADS_MAX; i++)
		ctx->loads[i] = INT64_MIN / 2;
	return ctx;
}

static void models_free(struct res_model *models, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		g_free(models[i].name);
		g_free(models[i].adapter_rates);
		g_free(models[i].adapter_copies);
	}
	g_free(models);
}

/* Frees the planner; NULL is allowed. */
void res_free(struct res *ctx)
{
	if (!ctx)
		return;
	models_free(ctx->models, ctx->n_models);
	g_hash_table_destroy(ctx->by_name);
	g_free(ctx);
}

static struct res_model *find_model(const struct res *ctx, const char *name)
{
	size_t at = GPOINTER_TO_SIZE(g_hash_table_lookup(ctx->by_name, name));

	return at ? &ctx->models[at - 1] : NULL;
}

/* Takes the models of a service. */
void res_set_spec(struct res *ctx, const Dsp__EngineSpec *spec)
{
	struct res_model *models = g_new0(struct res_model, spec->n_models + 1);

	for (size_t i = 0; i < spec->n_models; i++) {
		const Dsp__EngineModel *from = spec->models[i];
		const struct res_model *old = find_model(ctx, from->name);
		struct res_model *m = &models[i];

		m->name = g_strdup(from->name);
		m->memory_mb = from->memory_mb;
		m->load_ms = from->load_ms;
		m->disk_ms = from->disk_ms;
		m->warm_ms = from->warm_ms;
		m->adapters = from->adapters;
		m->adapter_mb = from->adapter_mb;
		m->adapter_rates = g_new0(double, from->adapters + 1);
		m->adapter_copies = g_new0(uint32_t, from->adapters + 1);
		if (!old)
			continue;
		m->fast = old->fast;
		m->slow = old->slow;
		m->rate = old->rate;
		m->lost_us = old->lost_us;
		m->missed_us = old->missed_us;
		for (size_t k = 1; k <= MIN(old->adapters, m->adapters); k++)
			m->adapter_rates[k] = old->adapter_rates[k];
	}
	g_hash_table_remove_all(ctx->by_name);
	models_free(ctx->models, ctx->n_models);
	ctx->models = models;
	ctx->n_models = spec->n_models;
	ctx->memory_mb = spec->memory_mb;
	ctx->places = spec->adapter_places;
	ctx->loads_per_s = spec->store_loads_per_s;
	for (size_t i = 0; i < ctx->n_models; i++)
		g_hash_table_insert(ctx->by_name, models[i].name,
				    GSIZE_TO_POINTER(i + 1));
}

/* Finds a model, or an adapter by its name "a" and number. */
bool res_find(const struct res *ctx, const char *model, const char *adapter,
	      struct res_item *out)
{
	const struct res_model *m = find_model(ctx, model);
	unsigned long number = 0;

	if (!m)
		return false;
	if (adapter && adapter[0]) {
		if (adapter[0] != 'a')
			return false;
		number = strtoul(adapter + 1, NULL, 10);
		if (number < 1 || number > m->adapters)
			return false;
	}
	out->model = (uint16_t)(m - ctx->models);
	out->adapter = (uint16_t)number;
	return true;
}

/* Returns the name of the item's model. */
const char *res_model_name(const struct res *ctx, struct res_item item)
{
	return ctx->models[item.model].name;
}

/* Writes the name of the item's adapter and returns it. */
char *res_adapter_name(struct res_item item, char name[RES_ADAPTER_NAME_MAX])
{
	g_snprintf(name, RES_ADAPTER_NAME_MAX, "a%u", item.adapter);
	return name;
}

/* Returns whether the engine holds the item or will after its order. */
bool res_holds(const struct res_engine *e, struct res_item item)
{
	for (size_t i = 0; i < e->n_items; i++)
		if (e->items[i].model == item.model &&
		    e->items[i].adapter == item.adapter)
			return true;
	return false;
}

/* Returns the demand for a model or an adapter. */
double res_rate(const struct res *ctx, struct res_item item)
{
	const struct res_model *m = &ctx->models[item.model];

	return item.adapter ? m->adapter_rates[item.adapter] : m->rate;
}

static void set_rate(struct res_model *m)
{
	m->rate = MAX(m->fast + TREND_WEIGHT * (m->fast - m->slow), 0);
}

static void decay(struct res *ctx, int64_t now_us)
{
	double passed_s = (double)(now_us - ctx->decayed_us) / 1e6;
	double fast = exp(-passed_s / FAST_TAU_S);
	double slow = exp(-passed_s / SLOW_TAU_S);

	if (now_us <= ctx->decayed_us)
		return;
	ctx->decayed_us = now_us;
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		m->fast *= fast;
		m->slow *= slow;
		set_rate(m);
		for (size_t k = 1; k <= m->adapters; k++)
			m->adapter_rates[k] *= slow;
	}
}

/* Adds requests that were counted since the last call. Those that were missed
 * are among them. */
void res_add_demand(struct res *ctx, const char *model, const char *adapter,
		    uint32_t requests, uint32_t missed, int64_t now_us)
{
	double all = MAX(requests, missed) - RETURN_SHARE * missed;
	struct res_item item;
	struct res_model *m;

	decay(ctx, now_us);
	if (!res_find(ctx, model, adapter, &item))
		return;
	if (ctx->first_us == INT64_MAX)
		ctx->first_us = now_us;
	m = &ctx->models[item.model];
	m->fast += all / FAST_TAU_S;
	m->slow += all / SLOW_TAU_S;
	set_rate(m);
	if (item.adapter)
		m->adapter_rates[item.adapter] += all / SLOW_TAU_S;
}

/* Notes a load for the rate of the store. */
void res_load_sent(struct res *ctx, int64_t now_us)
{
	ctx->loads[ctx->next_load++ % RES_LOADS_MAX] = now_us;
}

/* Memory that the engine's models and adapters leave free. */
int64_t res_free_mb(const struct res *ctx, const struct res_engine *e)
{
	int64_t left = ctx->memory_mb;

	for (size_t i = 0; i < e->n_items; i++) {
		const struct res_model *m = &ctx->models[e->items[i].model];

		left -= e->items[i].adapter ? m->adapter_mb : m->memory_mb;
	}
	return left;
}

static size_t used_places(const struct res_engine *e)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n_items; i++)
		n += e->items[i].adapter != 0;
	return n;
}

static void count_copies(struct res *ctx, const struct res_engine *engines,
			 size_t n)
{
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		m->copies = 0;
		m->present = 0;
		m->copies_speed = 0;
		m->present_speed = 0;
		memset(m->adapter_copies, 0,
		       (m->adapters + 1) * sizeof(*m->adapter_copies));
	}
	for (size_t i = 0; i < n; i++) {
		double speed = res_speed(&engines[i]);

		if (!engines[i].usable)
			continue;
		for (size_t k = 0; k < engines[i].n_items; k++) {
			struct res_item item = engines[i].items[k];
			struct res_model *m = &ctx->models[item.model];

			if (item.adapter) {
				m->adapter_copies[item.adapter]++;
				continue;
			}
			m->copies++;
			m->copies_speed += speed;
			if (k >= engines[i].n_present)
				continue;
			m->present++;
			m->present_speed += speed;
		}
	}
}

/* Notes since when no engine holds a model, and since when it is asked for
 * meanwhile. */
static void note_missing(struct res *ctx, int64_t now_us)
{
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		if (m->copies)
			m->lost_us = 0;
		else if (!m->lost_us)
			m->lost_us = now_us;
		if (m->copies || m->rate < ASKED_RATE)
			m->missed_us = 0;
		else if (!m->missed_us)
			m->missed_us = now_us;
	}
}

static double adapter_need(const struct res_model *m, size_t k)
{
	uint32_t copies = m->adapter_copies[k];
	double rate = m->adapter_rates[k];

	if (!copies)
		return 1 + rate;
	if (copies >= m->copies)
		return 0;
	return rate / copies > ADAPTER_COPY_RATE ? rate / copies / 1e3 : 0;
}

/* The adapter on the engine that is asked for least, and less than rate: with
 * too few places for all, the one that was asked for last is held. */
static bool adapter_victim(const struct res *ctx, const struct res_engine *e,
			   double rate, struct res_item *out)
{
	double least = MIN(rate, ADAPTER_BUSY_RATE);
	bool found = false;

	for (size_t i = 0; i < e->n_items; i++) {
		struct res_item item = e->items[i];
		const struct res_model *m = &ctx->models[item.model];
		double r;

		if (!item.adapter)
			continue;
		r = m->adapter_rates[item.adapter] /
		    MAX(m->adapter_copies[item.adapter], 1);
		if (r < least) {
			least = r;
			*out = item;
			found = true;
		}
	}
	return found;
}

static bool plan_adapter(struct res *ctx, const struct res_engine *e,
			 size_t engine, struct res_order *out)
{
	struct res_item best = { 0 };
	double best_need = 0;

	for (size_t i = 0; i < e->n_items; i++) {
		struct res_item item = e->items[i];
		struct res_model *m = &ctx->models[item.model];

		if (item.adapter)
			continue;
		for (size_t k = 1; k <= m->adapters; k++) {
			double need = adapter_need(m, k);

			item.adapter = (uint16_t)k;
			if (need > best_need && !res_holds(e, item)) {
				best = item;
				best_need = need;
			}
		}
	}
	if (best_need <= 0)
		return false;
	*out = (struct res_order){ .engine = engine,
				   .kind = RES_LOAD,
				   .item = best };
	if (used_places(e) < ctx->places &&
	    res_free_mb(ctx, e) >= ctx->models[best.model].adapter_mb) {
		ctx->models[best.model].adapter_copies[best.adapter]++;
		return true;
	}
	if (res_rate(ctx, best) <= ADAPTER_IDLE_RATE ||
	    !adapter_victim(ctx, e, res_rate(ctx, best), &out->item))
		return false;
	out->kind = RES_UNLOAD;
	return true;
}

/*
 * Plans the next orders: the move of a model that gains most, then adapters.
 * What is held and not needed stays until its place is needed.
 */
size_t res_plan(struct res *ctx, const struct res_engine *engines, size_t n,
		int64_t now_us, struct res_order *out, size_t max)
{
	size_t usable = 0;
	size_t models;
	size_t planned;

	decay(ctx, now_us);
	ctx->primed =
		ctx->first_us != INT64_MAX && now_us - ctx->first_us > PRIOR_US;
	for (size_t i = 0; i < n; i++)
		usable += engines[i].usable;
	if (usable != ctx->n_usable)
		ctx->usable_us = now_us;
	ctx->n_usable = usable;
	count_copies(ctx, engines, n);
	note_missing(ctx, now_us);
	/* One at a time, so that the next round counts it. */
	models = max ? res_plan_model(ctx, engines, n, now_us, out) : 0;
	planned = models;
	for (size_t i = 0; i < n && planned < max; i++) {
		if (!engines[i].usable || engines[i].busy ||
		    (models && i == out[0].engine))
			continue;
		if (plan_adapter(ctx, &engines[i], i, &out[planned]))
			planned++;
	}
	return planned;
}
