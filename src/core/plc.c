#include <math.h>
#include <string.h>

#include "core/plc_int.h"

/* Requests that one move is worth at equal weights: a load keeps the store and
 * a part of an endpoint busy for seconds. */
#define MOVE_COST 36.0
/* A copy that was added for demand stays at least this long, and a model whose
 * copy gave way gets no new one for as long. */
#define KEEP_US (INT64_C(120) * 1000000)
/* Excess must last before a copy is added, so that a short burst that is over
 * before the load ends costs no move; scaled by the weight of moves. */
#define PATIENCE_US (INT64_C(3) * 1000000)
/* Memory that was freed for a model on an endpoint is not given to adapters for
 * this long. Without it, adapters took the memory in the round after their own
 * eviction: 19,000 moves in 10 minutes of bursts. */
#define CLEARED_US (INT64_C(15) * 1000000)
/* Loads for demand in one round; repairs come first. */
#define ADDS_MAX 8
/* Models that are considered for one more copy in one round. With all of them,
 * a round took 229 ms at 600 endpoints and 240 models. */
#define TRIES_MAX 16
#define ROUND_DEFAULT_S 1.0

static void rate_free(gpointer data)
{
	struct plc_rate *rate = data;

	g_free(rate->key);
	g_free(rate);
}

static void seen_free(gpointer data)
{
	struct plc_seen *seen = data;

	g_free(seen->id);
	g_free(seen);
}

static void kept_free(gpointer data)
{
	struct plc_kept *kept = data;

	g_free(kept->key);
	g_free(kept);
}

/* Creates a planner without knowledge of demand. */
struct plc *plc_new(uint64_t seed)
{
	struct plc *ctx = g_new0(struct plc, 1);

	ctx->seed = seed;
	ctx->rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rate_free);
	ctx->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, seen_free);
	ctx->kept =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, kept_free);
	ctx->load_tokens = 1.0;
	return ctx;
}

/* Frees a planner; NULL is allowed. */
void plc_free(struct plc *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->rates);
	g_hash_table_destroy(ctx->seen);
	g_hash_table_destroy(ctx->kept);
	if (ctx->order_seen)
		g_hash_table_destroy(ctx->order_seen);
	if (ctx->docs)
		g_hash_table_destroy(ctx->docs);
	g_free(ctx);
}

/* Takes a load report; older ones of the same incarnation are ignored. */
void plc_update_load(struct plc *ctx, const Dsp__LoadReport *report,
		     int64_t now_us)
{
	struct plc_seen *seen =
		g_hash_table_lookup(ctx->seen, report->endpoint);

	if (!seen) {
		seen = g_new0(struct plc_seen, 1);
		seen->id = g_strdup(report->endpoint);
		g_hash_table_insert(ctx->seen, seen->id, seen);
	}
	if (seen->incarnation == report->incarnation &&
	    report->sequence <= seen->sequence)
		return;
	if (seen->incarnation != report->incarnation) {
		seen->running = report->running;
		seen->waiting = report->waiting;
	}
	seen->incarnation = report->incarnation;
	seen->sequence = report->sequence;
	seen->at_us = now_us - (int64_t)report->age_ms * 1000;
	seen->running += 0.3 * (report->running - seen->running);
	seen->waiting += 0.3 * (report->waiting - seen->waiting);
	seen->kv_permille = report->kv_used_permille;
}

/* Appends an order to the plan; copy is NULL for roles and fences. */
void plc_emit(struct plc_round *round, const struct plc_ep *ep,
	      Dsp__OrderKind kind, const char *team,
	      const struct plc_copy *copy, Dsp__EndpointRole role)
{
	Dsp__Command *command = g_new(Dsp__Command, 1);
	Dsp__OrderCreate *create = g_new(Dsp__OrderCreate, 1);
	Dsp__Order *order = g_new(Dsp__Order, 1);

	dsp__command__init(command);
	dsp__order_create__init(create);
	dsp__order__init(order);
	command->wall_ms = (uint64_t)st_wall_ms(round->state);
	command->body_case = DSP__COMMAND__BODY_ORDER_CREATE;
	command->order_create = create;
	create->order = order;
	order->endpoint = g_strdup(ep->rec->id);
	order->incarnation = ep->rec->incarnation;
	order->kind = kind;
	order->role = role;
	order->team = g_strdup(team);
	order->model = g_strdup(copy ? copy->model : "");
	order->version = g_strdup(copy ? copy->version : "");
	order->adapter = g_strdup(copy ? copy->adapter : "");
	if (copy) {
		order->first_accelerator = copy->first;
		order->accelerators = copy->accelerators;
		order->memory_mb = copy->memory_mb;
	}
	g_ptr_array_add(round->commands, command);
	if (kind != DSP__ORDER_KIND__ORDER_FENCE)
		round->plc->moves++;
}

/* Plans a load and counts it against memory and limits. Returns false when a
 * limit is reached. */
bool plc_load_copy(struct plc_round *round, struct plc_item *item,
		   const struct plc_space *space)
{
	struct plc_ep *ep = space->ep;
	struct plc_copy *copy;
	uint32_t need;

	if (plc_is_adapter(item)) {
		if (!round->adapters_left)
			return false;
		round->adapters_left--;
	} else {
		if (!round->loads_left || round->plc->load_tokens < 1.0)
			return false;
		round->loads_left--;
		round->plc->load_tokens -= 1.0;
	}
	copy = g_new0(struct plc_copy, 1);
	copy->ep = ep;
	copy->item = item;
	copy->model = item->model;
	copy->version = item->version;
	copy->adapter = item->adapter;
	copy->first = space->first;
	copy->accelerators = item->accelerators;
	copy->memory_mb = item->memory_mb;
	copy->loading = true;
	need = plc_needed(round, item, ep, copy->first);
	for (uint32_t k = copy->first; k < copy->first + copy->accelerators;
	     k++)
		ep->free_mb[k] -= MIN(ep->free_mb[k], need);
	ep->planned++;
	g_ptr_array_add(ep->copies, copy);
	g_ptr_array_add(item->copies, copy);
	plc_emit(round, ep, DSP__ORDER_KIND__ORDER_LOAD, item->team, copy, 0);
	return true;
}

/* Plans an unload; the memory becomes free when the endpoint has reported it,
 * in a later round. */
bool plc_unload_copy(struct plc_round *round, struct plc_copy *copy)
{
	const char *team = copy->item ? copy->item->team : copy->ep->rec->team;

	if (copy->unloading)
		return false;
	plc_emit(round, copy->ep, DSP__ORDER_KIND__ORDER_UNLOAD, team, copy, 0);
	copy->ready = false;
	copy->unloading = true;
	return true;
}

/* Unloads copies of withdrawn models, and of other versions once the version in
 * force has enough copies for the demand. */
static void unload_unwanted(struct plc_round *round)
{
	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);

		for (guint j = 0; j < ep->copies->len; j++) {
			struct plc_copy *copy;
			uint32_t keep = 1;

			copy = g_ptr_array_index(ep->copies, j);
			if (copy->item && !copy->old)
				continue;
			if (copy->item) {
				keep = copy->item->min_copies;
				if (copy->item->excess > 0)
					continue;
			}
			if (plc_may_unload(round, copy, keep))
				plc_evict(round, copy);
		}
	}
}

static struct plc_kept *kept_of_ep(struct plc_round *round,
				   const struct plc_ep *ep)
{
	return plc_kept_named(round->plc, ep->rec->id);
}

/* Loads one more copy of an item that needs it, at the cost of surplus copies
 * and by moving others if nothing else helps. */
static void provide(struct plc_round *round, struct plc_item *item,
		    bool missing)
{
	struct plc_space space = { 0 };
	struct plc_copy *move = NULL;

	if (plc_find(round, item, item->adapters_mb, &space) ||
	    plc_find(round, item, 0, &space)) {
		plc_load_copy(round, item, &space);
		return;
	}
	if (plc_find_evicting(round, item, missing ? 0 : 1,
			      missing ? G_MAXDOUBLE : 0.0, &space)) {
		for (guint i = 0; i < space.evict->len; i++)
			plc_evict(round, g_ptr_array_index(space.evict, i));
		g_ptr_array_free(space.evict, TRUE);
		kept_of_ep(round, space.ep)->cleared_us = round->now_us;
		return;
	}
	if (missing && plc_find_moving(round, item, &move, &space) && move)
		plc_load_copy(round, move->item, &space);
}

static void repair(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);

		if (!plc_future(item))
			provide(round, item, true);
	}
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		uint32_t have = plc_future(item);

		if (have && have < item->min_copies)
			provide(round, item, false);
	}
}

/* Tells whether a copy of an item that gains little may be loaded: not where
 * memory was just freed for a model, and not soon after its item gave way. */
static bool may_spread(struct plc_round *round, const struct plc_item *item,
		       const struct plc_space *space)
{
	int64_t cleared_us = kept_of_ep(round, space->ep)->cleared_us;
	int64_t removed_us = plc_kept_of(round->plc, item)->removed_us;

	if (cleared_us && round->now_us - cleared_us < CLEARED_US)
		return false;
	return !removed_us || round->now_us - removed_us >= KEEP_US;
}

/* Loads a second copy of each model that has one only, at another site, where
 * memory is free: without it, the loss of an endpoint made models unreachable
 * for the 3 s of its lease and the load. The most used come first. */
static void duplicate(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		struct plc_space space = { 0 };

		if (plc_future(item) != 1 || plc_ready(item) != 1)
			continue;
		if (plc_is_adapter(item) && plc_ready(item->base) < 2)
			continue;
		if (!plc_find(round, item, item->adapters_mb, &space) ||
		    !may_spread(round, item, &space))
			continue;
		if (!plc_load_copy(round, item, &space) &&
		    !round->adapters_left)
			return;
	}
}

static double patience_us(const struct plc_item *item)
{
	double ratio = item->weight_moves / MAX(item->weight_attainment, 0.01);

	return PATIENCE_US * CLAMP(ratio, 0.1, 10.0);
}

/* The square root of the ratio of the weights: with the ratio itself, the
 * deployment that weighs attainment made half as many moves again without
 * attaining more. */
static double move_cost(const struct plc_item *item, uint32_t moves)
{
	return MOVE_COST * moves *
	       sqrt(item->weight_moves / MAX(item->weight_attainment, 0.01));
}

static bool missing_any(const struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		const struct plc_item *item;

		item = g_ptr_array_index(round->items, i);
		if (!plc_future(item))
			return true;
	}
	return false;
}

/* Adds a copy of a model for its demand when the gain is worth the moves. */
static bool add_for_demand(struct plc_round *round, struct plc_item *item)
{
	struct plc_kept *kept = plc_kept_of(round->plc, item);
	struct plc_space space = { 0 };
	double gain;
	bool done;

	if (kept->removed_us && round->now_us - kept->removed_us < KEEP_US)
		return false;
	if (plc_find(round, item, item->adapters_mb, &space)) {
		gain = plc_gain(round, item, space.ep);
		if (gain <= move_cost(item, 1))
			return false;
		kept->added_us = round->now_us;
		return plc_load_copy(round, item, &space);
	}
	if (item->excess <= 0)
		return false;
	/* Second copies stay: they keep models reachable when an endpoint or a
	 * site is lost. */
	if (!plc_find_evicting(round, item, 2, G_MAXDOUBLE, &space))
		return false;
	gain = plc_gain(round, item, space.ep) - space.loss;
	done = gain > move_cost(item, 1 + space.evict->len);
	if (done)
		kept_of_ep(round, space.ep)->cleared_us = round->now_us;
	for (guint i = 0; done && i < space.evict->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(space.evict, i);
		struct plc_kept *other;

		if (copy->item && !copy->old) {
			other = plc_kept_of(round->plc, copy->item);
			if (other->added_us &&
			    round->now_us - other->added_us < KEEP_US)
				continue;
			other->removed_us = round->now_us;
		}
		plc_evict(round, copy);
	}
	g_ptr_array_free(space.evict, TRUE);
	return false;
}

static int by_excess(gconstpointer a, gconstpointer b)
{
	const struct plc_item *x = *(struct plc_item *const *)a;
	const struct plc_item *y = *(struct plc_item *const *)b;

	if (x->excess != y->excess)
		return x->excess < y->excess ? 1 : -1;
	if (x->work != y->work)
		return x->work < y->work ? 1 : -1;
	return strcmp(x->key, y->key);
}

static void follow_demand(struct plc_round *round)
{
	g_autoptr(GPtrArray) models = g_ptr_array_new();
	uint32_t added = 0;
	guint urgent = 0;

	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		struct plc_kept *kept;

		if (plc_is_adapter(item) || item->work <= 0)
			continue;
		kept = plc_kept_of(round->plc, item);
		if (item->excess <= 0)
			kept->excess_since_us = 0;
		else if (!kept->excess_since_us)
			kept->excess_since_us = round->now_us;
		if (kept->excess_since_us &&
		    round->now_us - kept->excess_since_us < patience_us(item))
			continue;
		g_ptr_array_add(models, item);
	}
	g_ptr_array_sort(models, by_excess);
	while (urgent < models->len && urgent < TRIES_MAX / 2 &&
	       ((struct plc_item *)models->pdata[urgent])->excess > 0)
		urgent++;
	for (guint i = 0; i < MIN(models->len, TRIES_MAX); i++) {
		guint at = i;

		if (added >= ADDS_MAX || !round->loads_left ||
		    round->plc->load_tokens < 1.0)
			break;
		/* The others take turns. */
		if (i >= urgent)
			at = urgent +
			     (round->plc->turn++ % (models->len - urgent));
		if (add_for_demand(round, g_ptr_array_index(models, at)))
			added++;
	}
}

/* Loads adapters beside the other copies of their models, the most used first,
 * so that their requests can use all copies. */
static void spread_adapters(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		struct plc_space space = { 0 };

		if (!round->adapters_left)
			return;
		if (!plc_is_adapter(item) || item->rate <= 0 ||
		    !plc_future(item))
			continue;
		if (plc_future(item) >= plc_ready(item->base))
			continue;
		if (item->base->excess <= 0 &&
		    item->work * 60 <= move_cost(item, 1))
			continue;
		if (!plc_find(round, item, 0, &space))
			continue;
		if (may_spread(round, item, &space))
			plc_load_copy(round, item, &space);
	}
}

static bool fence_pending(const struct plc_round *round, const char *endpoint)
{
	for (size_t i = 0; i < round->n_pending; i++) {
		const Dsp__Order *order = round->pending[i];

		if (order->kind == DSP__ORDER_KIND__ORDER_FENCE &&
		    !strcmp(order->endpoint, endpoint))
			return true;
	}
	return false;
}

/* Voids stalled loads with a fence where the engine checks fences. */
static void fence_stalled(struct plc_round *round)
{
	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);
		bool stalled = false;

		if (!ep->rec->features || !ep->rec->features->fencing)
			continue;
		for (guint j = 0; j < ep->copies->len; j++) {
			const struct plc_copy *copy;

			copy = g_ptr_array_index(ep->copies, j);
			stalled |= copy->stalled;
		}
		if (stalled && !fence_pending(round, ep->rec->id))
			plc_emit(round, ep, DSP__ORDER_KIND__ORDER_FENCE,
				 ep->rec->team, NULL, 0);
	}
}

/*
 * Plans one round: unwanted copies leave, missing copies come first, then
 * min_copies, then demand. Loads count against memory at once, unloads free it
 * only after the endpoint has reported them, so the orders respect all limits
 * in any prefix.
 */
size_t plc_round(struct plc *ctx, const struct st *state, int64_t now_us,
		 Dsp__Command ***out)
{
	struct plc_round round = {
		.plc = ctx,
		.state = state,
		.now_us = now_us,
		.commands = g_ptr_array_new(),
	};
	double dt_s = ROUND_DEFAULT_S;
	size_t n;

	if (ctx->round_us)
		dt_s = (double)(now_us - ctx->round_us) / 1e6;
	if (dt_s > 0) {
		plc_rates_update(ctx, dt_s, now_us);
		ctx->round_us = now_us;
	}
	plc_collect(&round);
	if (dt_s > 0) {
		ctx->load_tokens += dt_s * round.limits.loads_per_s;
		ctx->load_tokens = MIN(ctx->load_tokens,
				       MAX(round.limits.loads_per_s, 1.0));
	}
	plc_fill(&round);
	fence_stalled(&round);
	unload_unwanted(&round);
	repair(&round);
	if (!missing_any(&round)) {
		follow_demand(&round);
		duplicate(&round);
		spread_adapters(&round);
		plc_roles(&round);
	}
	plc_collect_free(&round);
	n = round.commands->len;
	*out = (Dsp__Command **)g_ptr_array_free(round.commands, FALSE);
	return n;
}

/* Returns the loads, unloads and role changes planned since the start. */
uint64_t plc_moves(const struct plc *ctx)
{
	return ctx->moves;
}
