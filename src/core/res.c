#include "core/res_int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constants of the demand averages. Demand moves to other models within
 * seconds, about as long as a load takes, so the planner extrapolates the trend
 * from the difference of the two averages. */
#define FAST_TAU_S 1.0
#define SLOW_TAU_S 2.5
/* Multiple of the difference of the averages that is added to the fast one.
 * Both lag behind a steady change by their time constants, so the sum estimates
 * the demand in 2.5 s: reports take half a second, orders and their waits more.
 */
#define TREND_WEIGHT 2.3
/* Share of the refused requests that are retried, and so counted again. */
#define RETRY_SHARE 0.5
/* Requests/s below which an adapter counts as unused. */
#define ADAPTER_IDLE_RATE 0.02
/* Requests/s above which an adapter is not unloaded: it is likely in use, so
 * its unload would wait for its requests and block other orders of the engine.
 */
#define ADAPTER_BUSY_RATE 0.15
/* Requests/s per copy of an adapter above which another copy is loaded. */
#define ADAPTER_COPY_RATE 3.0
/* Requests/s below which a model counts as unused. */
#define WANTED_RATE 0.05
/* Time from the first request until the demand averages are used. */
#define DEMAND_SETTLE_US 800000

/* Creates a planner without models; loads may use up to store_excess times the
 * load rate of the store. */
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

static void model_clear(struct res_model *m)
{
	g_free(m->name);
	g_free(m->adapter_rates);
	g_free(m->adapter_copies);
	*m = (struct res_model){ 0 };
}

/* Frees the planner; NULL is allowed. */
void res_free(struct res *ctx)
{
	if (!ctx)
		return;
	for (size_t i = 0; i < ctx->n_models; i++)
		model_clear(&ctx->models[i]);
	g_free(ctx->models);
	g_hash_table_destroy(ctx->by_name);
	g_free(ctx);
}

static struct res_model *find_model(const struct res *ctx, const char *name)
{
	size_t at = GPOINTER_TO_SIZE(g_hash_table_lookup(ctx->by_name, name));

	return at ? &ctx->models[at - 1] : NULL;
}

/* Sets the number of adapters; the demand for those that stay is kept. */
static void set_adapters(struct res_model *m, uint32_t n)
{
	double *rates;

	if (m->adapter_rates && n == m->adapters)
		return;
	rates = g_new0(double, n + 1);
	for (size_t k = 1; m->adapter_rates && k <= MIN(m->adapters, n); k++)
		rates[k] = m->adapter_rates[k];
	g_free(m->adapter_rates);
	g_free(m->adapter_copies);
	m->adapter_rates = rates;
	m->adapter_copies = g_new0(uint32_t, n + 1);
	m->adapters = n;
}

/* Returns the model of this name, with a new number if it has none. */
static struct res_model *add_model(struct res *ctx, const char *name)
{
	struct res_model *m = find_model(ctx, name);
	size_t at = 0;

	if (m)
		return m;
	while (at < ctx->n_models && ctx->models[at].name)
		at++;
	if (at == ctx->n_models) {
		ctx->models =
			g_renew(struct res_model, ctx->models, ++ctx->n_models);
		ctx->models[at] = (struct res_model){ 0 };
		set_adapters(&ctx->models[at], 0);
	}
	m = &ctx->models[at];
	m->name = g_strdup(name);
	g_hash_table_insert(ctx->by_name, m->name, GSIZE_TO_POINTER(at + 1));
	return m;
}

/*
 * Replaces the models of the service. Models keep their numbers, and demand for
 * models and adapters that stay is kept. A model that is no longer listed keeps
 * its size, since engines may hold or be loading it.
 */
void res_set_spec(struct res *ctx, const Dsp__EngineSpec *spec)
{
	for (size_t i = 0; i < ctx->n_models; i++)
		ctx->models[i].listed = false;
	for (size_t i = 0; i < spec->n_models; i++) {
		const Dsp__EngineModel *from = spec->models[i];
		struct res_model *m = add_model(ctx, from->name);

		m->listed = true;
		m->size_known = true;
		m->memory_mb = from->memory_mb;
		m->load_ms = from->load_ms;
		m->disk_ms = from->disk_ms;
		m->warm_ms = from->warm_ms;
		m->adapter_mb = from->adapter_mb;
		set_adapters(m, MIN(from->adapters, UINT16_MAX));
	}
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		if (m->listed || !m->name)
			continue;
		m->fast = m->slow = m->rate = 0;
		m->no_copy_since_us = m->wanted_since_us = 0;
		set_adapters(m, 0);
	}
	ctx->memory_mb = spec->memory_mb;
	ctx->adapter_places = spec->adapter_places;
	ctx->loads_per_s = spec->store_loads_per_s;
}

/* Frees the numbers of models that are neither listed nor among the n used
 * numbers, which name all that engines hold or have been ordered to load. */
void res_release_unused(struct res *ctx, const uint32_t *used, size_t n)
{
	g_autofree bool *keep = g_new0(bool, ctx->n_models + 1);

	for (size_t i = 0; i < n; i++)
		keep[used[i]] = true;
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		if (m->listed || keep[i] || !m->name)
			continue;
		g_hash_table_remove(ctx->by_name, m->name);
		model_clear(m);
		set_adapters(m, 0);
	}
}

/* Reads the number of an adapter, which is named "a" followed by its number;
 * no name: 0, the model itself. Returns false if the name is malformed. */
static bool read_adapter(const char *name, uint16_t *out)
{
	unsigned long number;

	*out = 0;
	if (!name || !name[0])
		return true;
	if (name[0] != 'a')
		return false;
	number = strtoul(name + 1, NULL, 10);
	if (number < 1 || number > UINT16_MAX)
		return false;
	*out = (uint16_t)number;
	return true;
}

/* Finds a listed model, or its adapter. Returns false when it is unknown. */
bool res_find(const struct res *ctx, const char *model, const char *adapter,
	      struct res_item *out)
{
	const struct res_model *m = find_model(ctx, model);

	if (!m || !m->listed || !read_adapter(adapter, &out->adapter) ||
	    out->adapter > m->adapters)
		return false;
	out->model = (uint32_t)(m - ctx->models);
	return true;
}

/* Finds a model or adapter that an engine reports, listed or not. Returns false
 * if the adapter's name is malformed. */
bool res_add_name(struct res *ctx, const char *model, const char *adapter,
		  struct res_item *out)
{
	if (!read_adapter(adapter, &out->adapter))
		return false;
	out->model = (uint32_t)(add_model(ctx, model) - ctx->models);
	return true;
}

/* Returns how many models have a number, listed or not. */
size_t res_n_numbers(const struct res *ctx)
{
	return g_hash_table_size(ctx->by_name);
}

/* Returns whether the document lists the item's model. */
bool res_is_listed(const struct res *ctx, struct res_item item)
{
	return ctx->models[item.model].listed;
}

/* Returns the size of the item in MB by the newest document that listed its
 * model; 0 if none did. */
uint32_t res_size_mb(const struct res *ctx, struct res_item item)
{
	const struct res_model *m = &ctx->models[item.model];

	return item.adapter ? m->adapter_mb : m->memory_mb;
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

/* Returns whether the item is on the engine or will be after its order. */
bool res_holds(const struct res_engine *e, struct res_item item)
{
	for (size_t i = 0; i < e->n_items; i++)
		if (e->items[i].model == item.model &&
		    e->items[i].adapter == item.adapter)
			return true;
	return false;
}

/* Requests/s for an adapter; none for one that the document does not list. */
static double adapter_rate(const struct res_model *m, size_t k)
{
	return k <= m->adapters ? m->adapter_rates[k] : 0;
}

/* Returns the demand for a model or an adapter in requests/s. */
double res_rate(const struct res *ctx, struct res_item item)
{
	const struct res_model *m = &ctx->models[item.model];

	return item.adapter ? adapter_rate(m, item.adapter) : m->rate;
}

static void set_rate(struct res_model *m)
{
	m->rate = MAX(m->fast + TREND_WEIGHT * (m->fast - m->slow), 0);
}

static void decay_rates(struct res *ctx, int64_t now_us)
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

/* Adds requests that were counted since the last call; missed of them were
 * refused. */
void res_add_demand(struct res *ctx, const char *model, const char *adapter,
		    uint32_t requests, uint32_t missed, int64_t now_us)
{
	double all = MAX(requests, missed) - RETRY_SHARE * missed;
	struct res_item item;
	struct res_model *m;

	decay_rates(ctx, now_us);
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

/* Counts a load against the load rate of the store. */
void res_load_sent(struct res *ctx, int64_t now_us)
{
	ctx->loads[ctx->next_load++ % RES_LOADS_MAX] = now_us;
}

/* Returns the memory in MB to count for an item of the engine: all of the
 * engine's if no document told the size of its model. */
uint32_t res_held_mb(const struct res *ctx, const struct res_engine *e,
		     size_t i)
{
	if (!ctx->models[e->items[i].model].size_known)
		return MAX(e->items_mb[i], ctx->memory_mb);
	return MAX(e->items_mb[i], res_size_mb(ctx, e->items[i]));
}

/* Returns the memory in MB that the engine's models and adapters leave free. */
int64_t res_free_mb(const struct res *ctx, const struct res_engine *e)
{
	int64_t left = ctx->memory_mb;

	for (size_t i = 0; i < e->n_items; i++)
		left -= res_held_mb(ctx, e, i);
	return e->truncated ? MIN(left, 0) : left;
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
				if (item.adapter <= m->adapters)
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

/* Records since when each model has had no copy, and since when it has had
 * demand meanwhile. */
static void update_missing(struct res *ctx, int64_t now_us)
{
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct res_model *m = &ctx->models[i];

		if (m->copies)
			m->no_copy_since_us = 0;
		else if (!m->no_copy_since_us)
			m->no_copy_since_us = now_us;
		if (m->copies || m->rate < WANTED_RATE)
			m->wanted_since_us = 0;
		else if (!m->wanted_since_us)
			m->wanted_since_us = now_us;
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

/* Finds the adapter on the engine with the lowest rate per copy, below rate:
 * with too few places for all, those requested most recently stay. */
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
		r = adapter_rate(m, item.adapter);
		if (r > 0)
			r /= MAX(m->adapter_copies[item.adapter], 1);
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
	if (!e->truncated && used_places(e) < ctx->adapter_places &&
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

/* Plans the unload of a model that the document no longer lists. */
static bool plan_withdrawn(const struct res *ctx, const struct res_engine *e,
			   size_t engine, struct res_order *out)
{
	for (size_t i = 0; i < e->n_present; i++) {
		if (e->items[i].adapter || res_is_listed(ctx, e->items[i]))
			continue;
		*out = (struct res_order){ .engine = engine,
					   .kind = RES_UNLOAD,
					   .item = e->items[i],
					   .load_item = e->items[i] };
		return true;
	}
	return false;
}

/*
 * Plans the next orders: the load or unload of the model with the highest gain,
 * then unloads of models that are no longer listed, then adapters. Other unused
 * copies stay until their memory is needed. Returns the number of orders in
 * out, at most max.
 */
size_t res_plan(struct res *ctx, const struct res_engine *engines, size_t n,
		int64_t now_us, struct res_order *out, size_t max)
{
	size_t usable = 0;
	size_t models;
	size_t planned;

	decay_rates(ctx, now_us);
	ctx->demand_known = ctx->first_us != INT64_MAX &&
			    now_us - ctx->first_us > DEMAND_SETTLE_US;
	for (size_t i = 0; i < n; i++)
		usable += engines[i].usable;
	if (usable != ctx->n_usable)
		ctx->usable_us = now_us;
	ctx->n_usable = usable;
	count_copies(ctx, engines, n);
	update_missing(ctx, now_us);
	/* One model per call, so that the next call takes it into account. */
	models = max ? res_plan_model(ctx, engines, n, now_us, out) : 0;
	planned = models;
	for (size_t i = 0; i < n && planned < max; i++) {
		if (!engines[i].usable || engines[i].busy ||
		    (models && i == out[0].engine))
			continue;
		if (plan_withdrawn(ctx, &engines[i], i, &out[planned]) ||
		    plan_adapter(ctx, &engines[i], i, &out[planned]))
			planned++;
	}
	return planned;
}
