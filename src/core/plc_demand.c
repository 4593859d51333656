#include <math.h>
#include <string.h>

#include "core/plc_int.h"

#define FAST_HALF_S 5.0
#define SLOW_HALF_S 120.0
#define PEAK_HALF_S 1200.0
/* A rate without requests for this long is dropped. */
#define RATE_KEEP_US (INT64_C(4) * 3600 * 1000000)
#define SERVICE_DEFAULT_S 1.0
/* Demand for a model changes tenfold within an hour (section 1). */
#define BURST_FACTOR 10.0
/* Share of the copies that is expected to see such a burst at a time. */
#define BURST_CHANCE 0.05
/* Slots of an endpoint above this share count as overloaded: the batch slows
 * down and short bursts wait. */
#define FULL 0.75
/* A gain or loss counts for as long as the worst minute. */
#define HORIZON_S 60.0
#define FILL_PASSES 3
#define SEP "\x1f"

static char *rate_key(const char *team, const char *model, const char *adapter)
{
	return g_strjoin(SEP, team, model ? model : "", adapter ? adapter : "",
			 NULL);
}

/* Adds demand that entries have reported. */
void plc_add_demand(struct plc *ctx, const Dsp__Demand *demand, int64_t now_us)
{
	g_autofree char *key =
		rate_key(demand->team, demand->model, demand->adapter);
	struct plc_rate *rate = g_hash_table_lookup(ctx->rates, key);

	if (!rate) {
		rate = g_new0(struct plc_rate, 1);
		rate->key = g_steal_pointer(&key);
		rate->service_s = SERVICE_DEFAULT_S;
		g_hash_table_insert(ctx->rates, rate->key, rate);
	}
	rate->requests += demand->requests;
	rate->lost += (uint64_t)demand->refused + demand->late;
	rate->service_ms += demand->service_ms;
	rate->used_us = now_us;
}

/* Returns the demand for a model or adapter of a team, or NULL. */
const struct plc_rate *plc_rate_of(const struct plc *ctx, const char *team,
				   const char *model, const char *adapter)
{
	g_autofree char *key = rate_key(team, model, adapter);

	return g_hash_table_lookup(ctx->rates, key);
}

static void approach(double *mean, double value, double dt_s, double half_s)
{
	*mean += (1.0 - exp2(-dt_s / half_s)) * (value - *mean);
}

static void rate_update(struct plc_rate *rate, double dt_s)
{
	double served = (double)rate->requests - (double)rate->lost;

	approach(&rate->fast, rate->requests / dt_s, dt_s, FAST_HALF_S);
	approach(&rate->slow, rate->requests / dt_s, dt_s, SLOW_HALF_S);
	approach(&rate->lost_fast, rate->lost / dt_s, dt_s, FAST_HALF_S);
	rate->peak *= exp2(-dt_s / PEAK_HALF_S);
	rate->peak = MAX(rate->peak, rate->fast);
	if (rate->service_ms && served >= 1.0) {
		double seen = (double)rate->service_ms / 1000.0 / served;
		double weight = served / (rate->n_service + served);

		rate->n_service = MIN(rate->n_service + served, 500.0);
		rate->service_s += weight * (seen - rate->service_s);
		rate->service_s = CLAMP(rate->service_s, 0.001, 600.0);
	}
	rate->requests = 0;
	rate->lost = 0;
	rate->service_ms = 0;
}

/* Moves the rates forward by the time since the last round. */
void plc_rates_update(struct plc *ctx, double dt_s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->rates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plc_rate *rate = value;

		if (now_us - rate->used_us > RATE_KEEP_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		rate_update(rate, dt_s);
	}
}

static bool serves(const struct plc_copy *copy)
{
	return copy->ep->usable &&
	       (copy->ready || (copy->loading && !copy->stalled));
}

static void fill_item(struct plc_item *item)
{
	double sum = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(item->copies, i);
		double room;

		copy->ep->load -= copy->load;
		copy->load = 0;
		if (!serves(copy))
			continue;
		room = copy->ep->slots - copy->ep->load;
		copy->load = MAX(room, 0.02 * copy->ep->slots);
		sum += copy->load;
	}
	for (guint i = 0; i < item->copies->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(item->copies, i);

		if (sum > 0)
			copy->load *= item->work / sum;
		copy->ep->load += copy->load;
	}
}

static double fullness(const struct plc_round *round, const struct plc_ep *ep)
{
	double full = ep->load / ep->slots;

	/* The load that the endpoint reports shows when it is slower than the
	 * mean service time of its models suggests. */
	if (ep->seen && round->now_us - ep->seen->at_us < 5000000)
		full = MAX(full,
			   (ep->seen->running + ep->seen->waiting) / ep->slots);
	return full;
}

/*
 * Spreads the work of each model over its copies as the entries do, to the
 * endpoints with room, and sets the excess of each model: the slots of its work
 * that are on overloaded endpoints or were lost.
 */
void plc_fill(struct plc_round *round)
{
	for (int pass = 0; pass < FILL_PASSES; pass++) {
		for (guint i = 0; i < round->items->len; i++) {
			struct plc_item *item;

			item = g_ptr_array_index(round->items, i);
			if (!plc_is_adapter(item))
				fill_item(item);
		}
	}
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);

		if (plc_is_adapter(item))
			continue;
		item->excess = 0;
		for (guint j = 0; j < item->copies->len; j++) {
			struct plc_copy *copy;
			double full;

			copy = g_ptr_array_index(item->copies, j);
			full = fullness(round, copy->ep);
			if (full > FULL)
				item->excess +=
					copy->load * (full - FULL) / full;
		}
		item->excess += MIN(item->lost * item->service_s, item->work);
	}
}

static double ep_room(const struct plc_ep *ep)
{
	return MAX(FULL * ep->slots - ep->load, 0.0);
}

static double burst_work(const struct plc_item *item)
{
	return MAX(item->burst, BURST_FACTOR * item->mean * item->service_s);
}

/* Slots that an item could use on its copies, those on except left out. */
static double available(const struct plc_item *item,
			const struct plc_copy *except)
{
	double sum = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		if (copy != except && serves(copy))
			sum += ep_room(copy->ep) + copy->load;
	}
	return sum;
}

/* Converts slots over the horizon into requests. */
double plc_requests(const struct plc_item *item, double slots)
{
	return slots * HORIZON_S / MAX(item->service_s, 0.01);
}

/* Requests that are served in time over the horizon thanks to one more copy of
 * a model on an endpoint. */
double plc_gain(const struct plc_round *round, const struct plc_item *item,
		const struct plc_ep *ep)
{
	double room = ep_room(ep);
	double burst = MAX(burst_work(item) - available(item, NULL), 0.0);
	double gain = MIN(item->excess, room);

	(void)round;
	gain += BURST_CHANCE * MIN(burst, room);
	return plc_requests(item, gain);
}

/* Requests that are lost over the horizon without a copy of a model. */
double plc_loss(const struct plc_round *round, const struct plc_copy *copy)
{
	const struct plc_item *item = copy->item;
	double before, after, burst, loss;

	(void)round;
	if (!item || copy->old || !copy->ready || plc_is_adapter(item))
		return 0;
	before = available(item, NULL);
	after = available(item, copy);
	burst = burst_work(item);
	loss = MAX(item->work - after, 0.0);
	loss += BURST_CHANCE * (MIN(burst, before) - MIN(burst, after));
	return plc_requests(item, loss);
}
