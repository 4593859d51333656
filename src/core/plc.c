#include <math.h>
#include <string.h>

#include "core/plc_int.h"

/* Cost of one move in requests, at equal weights of attainment and moves: a
 * load occupies the store and a part of an endpoint for seconds. */
#define MOVE_COST 36.0
/* Minimum time before a copy that was added for demand is evicted, and before a
 * model whose copy was evicted for another gets a new one. */
#define KEEP_US (INT64_C(120) * 1000000)
/* Time that excess lasts before a copy is added, so that a burst that is
 * shorter than a load causes no move; scaled by the weight of moves. */
#define EXCESS_DELAY_US (INT64_C(3) * 1000000)
/* Time for which memory that was freed for a model is not used for adapters or
 * second copies. Without it, adapters were loaded again in the round after
 * their own eviction: 19,000 moves in 10 minutes of bursts. */
#define CLEARED_US (INT64_C(15) * 1000000)
/* Loads for demand in one round; missing copies are loaded before. */
#define ADDS_MAX 8
/* Models that are considered for another copy in one round. With all models, a
 * round took 229 ms at 600 endpoints and 240 models. */
#define TRIES_MAX 16
#define ROUND_DEFAULT_S 1.0

static void rate_free(gpointer data)
{
	struct plc_rate *rate = data;

	g_free(rate->key);
	g_free(rate);
}

static void load_free(gpointer data)
{
	struct plc_endpoint_load *load = data;

	g_free(load->id);
	g_free(load);
}

static void history_free(gpointer data)
{
	struct plc_history *history = data;

	g_free(history->key);
	g_free(history);
}

/* Creates a planner; demand is unknown until it is reported. */
struct plc *plc_new(uint64_t seed)
{
	struct plc *ctx = g_new0(struct plc, 1);

	ctx->seed = seed;
	ctx->rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rate_free);
	ctx->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, load_free);
	ctx->histories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       history_free);
	ctx->load_tokens = 1.0;
	return ctx;
}

/* Frees a planner; NULL is allowed. */
void plc_free(struct plc *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->rates);
	g_hash_table_destroy(ctx->loads);
	g_hash_table_destroy(ctx->histories);
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
	struct plc_endpoint_load *load =
		g_hash_table_lookup(ctx->loads, report->endpoint);

	if (!load) {
		load = g_new0(struct plc_endpoint_load, 1);
		load->id = g_strdup(report->endpoint);
		g_hash_table_insert(ctx->loads, load->id, load);
	}
	if (load->incarnation == report->incarnation &&
	    report->sequence <= load->sequence)
		return;
	if (load->incarnation != report->incarnation) {
		load->running = report->running;
		load->waiting = report->waiting;
	}
	load->incarnation = report->incarnation;
	load->sequence = report->sequence;
	load->at_us = now_us - (int64_t)report->age_ms * 1000;
	load->running += 0.3 * (report->running - load->running);
	load->waiting += 0.3 * (report->waiting - load->waiting);
	load->kv_permille = report->kv_used_permille;
}

/* Appends an order to the plan; copy is NULL for roles and fences. */
void plc_add_order(struct plc_round *round, const struct plc_ep *ep,
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

/* Plans a load and subtracts it from free memory and from the limits. Returns
 * false, without an order, when a limit is reached. */
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
	plc_add_order(round, ep, DSP__ORDER_KIND__ORDER_LOAD, item->team, copy,
		      0);
	return true;
}

/* Plans an unload. Its memory is free in a later round, after the endpoint has
 * reported the unload. Returns false when one is already pending. */
bool plc_unload_copy(struct plc_round *round, struct plc_copy *copy)
{
	const char *team = copy->item ? copy->item->team : copy->ep->rec->team;

	if (copy->unloading)
		return false;
	plc_add_order(round, copy->ep, DSP__ORDER_KIND__ORDER_UNLOAD, team,
		      copy, 0);
	copy->ready = false;
	copy->unloading = true;
	return true;
}

/* Unloads copies of withdrawn models, and of other versions once the current
 * version has min_copies copies and no excess. */
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

static struct plc_history *history_of_ep(struct plc_round *round,
					 const struct plc_ep *ep)
{
	return plc_history_named(round->plc, ep->rec->id);
}

/* Loads another copy of an item: into free memory, else after evicting copies
 * of items that keep others, else, if the item has no copy, after moving other
 * copies. */
static void add_copy(struct plc_round *round, struct plc_item *item,
		     bool missing)
{
	struct plc_space space = { 0 };
	struct plc_copy *move = NULL;

	if (plc_find_free(round, item, item->adapters_mb, &space) ||
	    plc_find_free(round, item, 0, &space)) {
		plc_load_copy(round, item, &space);
		return;
	}
	if (plc_find_evicting(round, item, missing ? 0 : 1,
			      missing ? G_MAXDOUBLE : 0.0, &space)) {
		for (guint i = 0; i < space.evict->len; i++)
			plc_evict(round, g_ptr_array_index(space.evict, i));
		g_ptr_array_free(space.evict, TRUE);
		history_of_ep(round, space.ep)->cleared_us = round->now_us;
		return;
	}
	if (missing && plc_find_moving(round, item, &move, &space) && move)
		plc_load_copy(round, move->item, &space);
}

static void repair(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);

		if (!plc_count_expected(item))
			add_copy(round, item, true);
	}
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		uint32_t have = plc_count_expected(item);

		if (have && have < item->min_copies)
			add_copy(round, item, false);
	}
}

/* Tells whether an optional copy may be loaded: not where memory was just freed
 * for a model, and not soon after a copy of the item was evicted. */
static bool may_spread(struct plc_round *round, const struct plc_item *item,
		       const struct plc_space *space)
{
	int64_t cleared_us = history_of_ep(round, space->ep)->cleared_us;
	int64_t removed_us = plc_history_of(round->plc, item)->removed_us;

	if (cleared_us && round->now_us - cleared_us < CLEARED_US)
		return false;
	return !removed_us || round->now_us - removed_us >= KEEP_US;
}

/* Loads a second copy of each item that has only one, preferably at another
 * site, where memory is free: with one copy, the loss of its endpoint makes a
 * model unreachable for the 3 s of the lease and for the load. The items with
 * most requests come first. */
static void add_second_copies(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		struct plc_space space = { 0 };

		if (plc_count_expected(item) != 1 || plc_count_ready(item) != 1)
			continue;
		if (plc_is_adapter(item) && plc_count_ready(item->base) < 2)
			continue;
		if (!plc_find_free(round, item, item->adapters_mb, &space) ||
		    !may_spread(round, item, &space))
			continue;
		if (!plc_load_copy(round, item, &space) &&
		    !round->adapters_left)
			return;
	}
}

static double excess_delay_us(const struct plc_item *item)
{
	double ratio = item->weight_moves / MAX(item->weight_attainment, 0.01);

	return EXCESS_DELAY_US * CLAMP(ratio, 0.1, 10.0);
}

/* Cost of moves in requests. Uses the square root of the ratio of the weights:
 * with the ratio itself, a deployment that weighs attainment higher made half
 * as many moves again without attaining more. */
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
		if (!plc_count_expected(item))
			return true;
	}
	return false;
}

/* Adds a copy of a model when the gain exceeds the cost of the moves. Returns
 * whether a load was planned; after evictions the load follows in a later
 * round.
 */
static bool add_for_demand(struct plc_round *round, struct plc_item *item)
{
	struct plc_history *history = plc_history_of(round->plc, item);
	struct plc_space space = { 0 };
	double gain;
	bool done;

	if (history->removed_us &&
	    round->now_us - history->removed_us < KEEP_US)
		return false;
	if (plc_find_free(round, item, item->adapters_mb, &space)) {
		gain = plc_gain(round, item, space.ep);
		if (gain <= move_cost(item, 1))
			return false;
		history->added_us = round->now_us;
		return plc_load_copy(round, item, &space);
	}
	if (item->excess <= 0)
		return false;
	/* Never evicts second copies: they keep models reachable when an
	 * endpoint or a site fails. */
	if (!plc_find_evicting(round, item, 2, G_MAXDOUBLE, &space))
		return false;
	gain = plc_gain(round, item, space.ep) - space.loss;
	done = gain > move_cost(item, 1 + space.evict->len);
	if (done)
		history_of_ep(round, space.ep)->cleared_us = round->now_us;
	for (guint i = 0; done && i < space.evict->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(space.evict, i);
		struct plc_history *other;

		if (copy->item && !copy->old) {
			other = plc_history_of(round->plc, copy->item);
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
		struct plc_history *history;

		if (plc_is_adapter(item) || item->work <= 0)
			continue;
		history = plc_history_of(round->plc, item);
		if (item->excess <= 0)
			history->excess_since_us = 0;
		else if (!history->excess_since_us)
			history->excess_since_us = round->now_us;
		if (history->excess_since_us &&
		    round->now_us - history->excess_since_us <
			    excess_delay_us(item))
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
		/* Models without excess are tried round robin. */
		if (i >= urgent)
			at = urgent + (round->plc->next_model++ %
				       (models->len - urgent));
		if (add_for_demand(round, g_ptr_array_index(models, at)))
			added++;
	}
}

/* Loads adapters on the other copies of their models, those with most requests
 * first, so that their requests can use all copies. */
static void spread_adapters(struct plc_round *round)
{
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);
		struct plc_space space = { 0 };

		if (!round->adapters_left)
			return;
		if (!plc_is_adapter(item) || item->rate <= 0 ||
		    !plc_count_expected(item))
			continue;
		if (plc_count_expected(item) >= plc_count_ready(item->base))
			continue;
		if (item->base->excess <= 0 &&
		    item->work * 60 <= move_cost(item, 1))
			continue;
		if (!plc_find_free(round, item, 0, &space))
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

/* Cancels stalled loads with a fence order where engines check fences. */
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
			plc_add_order(round, ep, DSP__ORDER_KIND__ORDER_FENCE,
				      ep->rec->team, NULL, 0);
	}
}

/*
 * Plans one round: unloads unwanted copies, then loads missing copies, then
 * those below min_copies, then more for demand. Loads use memory at once,
 * unloads free it only after the endpoint has reported them, so every prefix of
 * the orders respects all limits. Returns the number of commands in *out.
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
	plc_assign_work(&round);
	fence_stalled(&round);
	unload_unwanted(&round);
	repair(&round);
	if (!missing_any(&round)) {
		follow_demand(&round);
		add_second_copies(&round);
		spread_adapters(&round);
		plc_balance_roles(&round);
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
