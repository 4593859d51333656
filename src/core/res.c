#include "core/res.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constants of the demand averages. Demand moves to other models within
 * seconds and a load takes that long, too, so the difference of the two is
 * taken as the trend. */
#define FAST_TAU_S 1.0
#define SLOW_TAU_S 2.5
/* Part of all memory that copies are planned for. */
#define MEMORY_SHARE 0.94
/* Requests a second that one copy answers well: reading a prompt takes some 60
 * ms of its engine, and half of its time is for events and other models. */
#define COPY_RATE 7.0
/* A copy makes room only for one with this many times its requests. */
#define MOVE_GAIN 1.6
/* Need of a model that no engine holds: above that of all others once it is
 * asked for, else like that of a copy with few requests. */
#define MISSING_NEED 1e6
#define ASKED_RATE 0.05
#define UNASKED_NEED 0.8
/* Cost of making room, and of each request in flight on an engine, in the
 * requests a second of a victim's copy. */
#define VICTIM_COST 1000.0
#define LOAD_COST 0.05
/* Cost of an engine that is slower than the others by all their pause, for a
 * model with more requests a second than this. */
#define SLOW_COST 20.0
#define BUSY_RATE 3.0
/* Window of the store's rate. */
#define STORE_WINDOW_US 5000000
#define LOADS_MAX 64
/* An adapter with fewer requests a second counts as not asked for. */
#define ADAPTER_IDLE_RATE 0.02
/* An adapter that was asked for within the last seconds is likely in use. Its
 * unload would wait for its requests and keep the engine from other orders. */
#define ADAPTER_BUSY_RATE 0.15
/* Requests a second for each copy of an adapter above which it gets another. */
#define ADAPTER_COPY_RATE 3.0
/* Until demand was seen for some time, each copy that engines started with
 * stands for this many requests a second. */
#define PRIOR_RATE 8.0
#define PRIOR_US 1500000

struct model {
	char *name;
	uint32_t memory_mb;
	uint32_t load_ms;
	uint32_t adapters;
	uint32_t adapter_mb;
	double fast, slow;     /* requests a second, averages */
	double rate;	       /* expected in some seconds */
	double *adapter_rates; /* by number; [0] is not used */
	/* Of the current round. */
	uint32_t copies;  /* coming ones included */
	uint32_t present; /* copies that can serve now */
	uint32_t wanted;
	uint32_t *adapter_copies;
};

struct res {
	double store_excess;
	uint32_t memory_mb;
	uint32_t places;
	double loads_per_s;
	struct model *models;
	size_t n_models;
	GHashTable *by_name; /* name -> position + 1 */
	int64_t first_us;    /* first demand; INT64_MAX: none yet */
	bool primed;	     /* demand was seen for long enough */
	int64_t decayed_us;
	int64_t loads[LOADS_MAX]; /* times; ring */
	size_t next_load;
};

/* Creates a planner without models; store_excess: factor on the store's
 * rate that loads may reach. */
struct res *res_new(double store_excess)
{
	struct res *ctx = g_new0(struct res, 1);

	ctx->store_excess = store_excess;
	ctx->first_us = INT64_MAX;
	ctx->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < LOADS_MAX; i++)
		ctx->loads[i] = INT64_MIN / 2;
	return ctx;
}

static void models_free(struct model *models, size_t n)
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

static struct model *find_model(const struct res *ctx, const char *name)
{
	size_t at = GPOINTER_TO_SIZE(g_hash_table_lookup(ctx->by_name, name));

	return at ? &ctx->models[at - 1] : NULL;
}

/* Takes the models of a service. */
void res_set_spec(struct res *ctx, const Dsp__EngineSpec *spec)
{
	struct model *models = g_new0(struct model, spec->n_models + 1);

	for (size_t i = 0; i < spec->n_models; i++) {
		const Dsp__EngineModel *from = spec->models[i];
		const struct model *old = find_model(ctx, from->name);
		struct model *m = &models[i];
		size_t kept = old ? MIN(old->adapters, from->adapters) : 0;

		m->name = g_strdup(from->name);
		m->memory_mb = from->memory_mb;
		m->load_ms = from->load_ms;
		m->adapters = from->adapters;
		m->adapter_mb = from->adapter_mb;
		m->fast = old ? old->fast : 0;
		m->slow = old ? old->slow : 0;
		m->rate = old ? old->rate : 0;
		m->adapter_rates = g_new0(double, from->adapters + 1);
		m->adapter_copies = g_new0(uint32_t, from->adapters + 1);
		for (size_t k = 1; k <= kept; k++)
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
	const struct model *m = find_model(ctx, model);
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
	for (size_t i = 0; i < e->n_holds; i++)
		if (e->holds[i].model == item.model &&
		    e->holds[i].adapter == item.adapter)
			return true;
	return false;
}

/* Returns the time that a load of the model from the store takes. */
uint32_t res_load_ms(const struct res *ctx, struct res_item item)
{
	return ctx->models[item.model].load_ms;
}

/* Returns the demand for a model or an adapter. */
double res_rate(const struct res *ctx, struct res_item item)
{
	const struct model *m = &ctx->models[item.model];

	return item.adapter ? m->adapter_rates[item.adapter] : m->rate;
}

static void set_rate(struct model *m)
{
	m->rate = MAX(2 * m->fast - m->slow, 0);
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
		struct model *m = &ctx->models[i];

		m->fast *= fast;
		m->slow *= slow;
		set_rate(m);
		for (size_t k = 1; k <= m->adapters; k++)
			m->adapter_rates[k] *= slow;
	}
}

/* Adds requests that were counted since the last call. A missed request counts
 * like one that was served. */
void res_demand(struct res *ctx, const char *model, const char *adapter,
		uint32_t requests, uint32_t missed, int64_t now_us)
{
	uint32_t all = MAX(requests, missed);
	struct res_item item;
	struct model *m;

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
	ctx->loads[ctx->next_load++ % LOADS_MAX] = now_us;
}

/* Whether another load may begin. Those that will follow an unload count. */
static bool store_has_room(const struct res *ctx,
			   const struct res_engine *engines, size_t n,
			   int64_t now_us)
{
	double most =
		ctx->store_excess * ctx->loads_per_s * STORE_WINDOW_US / 1e6;
	unsigned recent = 0;

	for (size_t i = 0; i < LOADS_MAX; i++)
		recent += now_us - ctx->loads[i] < STORE_WINDOW_US;
	for (size_t i = 0; i < n; i++)
		recent += engines[i].makes_room;
	return recent + 1 <= MAX(most, 1) && recent + 1 < LOADS_MAX;
}

static bool has_model(const struct res_engine *e, size_t model)
{
	return res_holds(e, (struct res_item){ .model = (uint16_t)model });
}

static int64_t free_mb(const struct res *ctx, const struct res_engine *e)
{
	int64_t left = ctx->memory_mb;

	for (size_t i = 0; i < e->n_holds; i++) {
		const struct model *m = &ctx->models[e->holds[i].model];

		left -= e->holds[i].adapter ? m->adapter_mb : m->memory_mb;
	}
	return left;
}

static size_t used_places(const struct res_engine *e)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n_holds; i++)
		n += e->holds[i].adapter != 0;
	return n;
}

static void count_copies(struct res *ctx, const struct res_engine *engines,
			 size_t n)
{
	for (size_t i = 0; i < ctx->n_models; i++) {
		struct model *m = &ctx->models[i];

		m->copies = 0;
		m->present = 0;
		memset(m->adapter_copies, 0,
		       (m->adapters + 1) * sizeof(*m->adapter_copies));
	}
	for (size_t i = 0; i < n; i++) {
		if (!engines[i].usable)
			continue;
		for (size_t k = 0; k < engines[i].n_holds; k++) {
			struct res_item item = engines[i].holds[k];
			struct model *m = &ctx->models[item.model];

			if (item.adapter)
				m->adapter_copies[item.adapter]++;
			else
				m->copies++;
			if (!item.adapter && k < engines[i].n_present)
				m->present++;
		}
	}
}

/* The rate that a model's share of the memory is for. The platform starts
 * engines with the models that it expects to be busy. */
static double expected_rate(const struct res *ctx, const struct model *m)
{
	if (ctx->primed || m->copies <= 1)
		return m->rate;
	return m->rate + PRIOR_RATE * m->copies;
}

/* Copies that demand needs: by requests, and by the places of the adapters that
 * are asked for. */
static uint32_t copies_needed(const struct res *ctx, const struct model *m)
{
	uint32_t for_rate = 1 + (uint32_t)(expected_rate(ctx, m) / COPY_RATE);
	uint32_t asked = 0;

	for (size_t k = 1; k <= m->adapters; k++)
		asked += m->adapter_rates[k] > ADAPTER_IDLE_RATE;
	if (!ctx->places)
		return for_rate;
	return MAX(for_rate, (asked + ctx->places - 1) / ctx->places);
}

/* Shares the memory of the usable engines among the models by demand. */
static void share_memory(struct res *ctx, size_t n_usable)
{
	double left = MEMORY_SHARE * (double)ctx->memory_mb * (double)n_usable;

	for (size_t i = 0; i < ctx->n_models; i++) {
		ctx->models[i].wanted = n_usable ? 1 : 0;
		left -= ctx->models[i].memory_mb;
	}
	for (;;) {
		struct model *best = NULL;
		double best_rate = 0;

		for (size_t i = 0; i < ctx->n_models; i++) {
			struct model *m = &ctx->models[i];
			double rate = expected_rate(ctx, m) / MAX(m->wanted, 1);

			if (m->wanted >= n_usable || m->memory_mb > left ||
			    m->wanted >= copies_needed(ctx, m))
				continue;
			if (rate > best_rate) {
				best = m;
				best_rate = rate;
			}
		}
		if (!best)
			return;
		best->wanted++;
		left -= best->memory_mb;
	}
}

/* Order in which models get copies: first those that no engine holds. While
 * there is demand, one that nobody asks for takes only a place that is idle. */
static double need_of(const struct res *ctx, const struct model *m)
{
	if (!m->copies)
		return m->rate > ASKED_RATE || !ctx->primed
			       ? MISSING_NEED + m->rate
			       : UNASKED_NEED;
	if (m->copies >= m->wanted)
		return 0;
	return m->rate / m->copies;
}

/* Models that are asked for much go to fast engines, the others to slow ones.
 */
static double slow_cost(const struct model *m, const struct res_engine *e)
{
	double more = e->slow > 0 ? CLAMP(e->slow - 1, -1, 2) : 0;

	return m->rate > BUSY_RATE ? SLOW_COST * more : -SLOW_COST * more;
}

struct victim {
	int model;   /* -1: none */
	double cost; /* requests a second for each of its copies */
};

/* The copy on the engine that is needed least and may go. */
static struct victim find_victim(const struct res *ctx,
				 const struct res_engine *e, double need)
{
	struct victim victim = { .model = -1, .cost = need / MOVE_GAIN };

	for (size_t i = 0; i < e->n_holds; i++) {
		const struct model *m = &ctx->models[e->holds[i].model];
		double rate = m->rate / MAX(m->present, 1);

		/* Copies that are still coming do not serve in its place. */
		if (e->holds[i].adapter || m->present <= 1 ||
		    (m->present <= m->wanted && need < MISSING_NEED))
			continue;
		if (rate < victim.cost) {
			victim.cost = rate;
			victim.model = (int)e->holds[i].model;
		}
	}
	return victim;
}

/* Plans the load of a model, or the unload that makes room for it. An engine
 * with room is better than one without; then the least needed victim, since
 * an unload waits for the requests of its model; then the lowest load. */
static bool plan_model(struct res *ctx, const struct res_engine *engines,
		       size_t n, size_t model, struct res_order *out)
{
	const struct model *m = &ctx->models[model];
	struct victim best_victim = { .model = -1 };
	double best_cost = 0;
	int best = -1;

	for (size_t i = 0; i < n; i++) {
		const struct res_engine *e = &engines[i];
		struct victim victim = { .model = -1 };
		double cost = e->load * LOAD_COST + slow_cost(m, e);

		if (!e->usable || e->busy || has_model(e, model))
			continue;
		if (free_mb(ctx, e) < m->memory_mb) {
			victim = find_victim(ctx, e, need_of(ctx, m));
			if (victim.model < 0)
				continue;
			cost += VICTIM_COST + victim.cost;
		}
		if (best >= 0 && cost >= best_cost)
			continue;
		best = (int)i;
		best_cost = cost;
		best_victim = victim;
	}
	if (best < 0)
		return false;
	*out = (struct res_order){
		.engine = (size_t)best,
		.kind = best_victim.model < 0 ? RES_LOAD : RES_UNLOAD,
		.item.model =
			(uint16_t)(best_victim.model < 0 ? (int)model
							 : best_victim.model),
		.purpose.model = (uint16_t)model,
	};
	return true;
}

/* The model that needs a copy most, or -1. */
static int neediest(const struct res *ctx, const bool *skip)
{
	double best_need = 0;
	int best = -1;

	for (size_t i = 0; i < ctx->n_models; i++) {
		double need = skip[i] ? 0 : need_of(ctx, &ctx->models[i]);

		if (need > best_need) {
			best_need = need;
			best = (int)i;
		}
	}
	return best;
}

/* Plans an order for the neediest model that an engine can take. One at a time,
 * so that the rate of the store counts each. */
static size_t plan_models(struct res *ctx, const struct res_engine *engines,
			  size_t n, int64_t now_us, struct res_order *out,
			  size_t max)
{
	bool *skip;
	bool planned = false;
	int best;

	if (!max || !store_has_room(ctx, engines, n, now_us))
		return 0;
	skip = g_new0(bool, ctx->n_models + 1);
	while (!planned && (best = neediest(ctx, skip)) >= 0) {
		skip[best] = true;
		planned = plan_model(ctx, engines, n, (size_t)best, out);
	}
	g_free(skip);
	return planned;
}

static double adapter_need(const struct model *m, size_t k)
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

	for (size_t i = 0; i < e->n_holds; i++) {
		struct res_item item = e->holds[i];
		const struct model *m = &ctx->models[item.model];
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

	for (size_t i = 0; i < e->n_holds; i++) {
		struct res_item item = e->holds[i];
		struct model *m = &ctx->models[item.model];

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
	    free_mb(ctx, e) >= ctx->models[best.model].adapter_mb) {
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
 * Plans the next orders: models that are missing or asked for most, then
 * adapters. What is held and not needed stays until its place is needed.
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
	count_copies(ctx, engines, n);
	for (size_t i = 0; i < n; i++)
		usable += engines[i].usable;
	share_memory(ctx, usable);
	models = plan_models(ctx, engines, n, now_us, out, max);
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
