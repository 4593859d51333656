#include <string.h>

#include "core/plc_int.h"

/* Shares of used slots: above the first, a role needs another endpoint; below
 * the second, it can give one up. The gap between them avoids oscillation. */
#define ROLE_FULL 0.9
#define ROLE_IDLE 0.5
/* Time that an imbalance lasts before a change: a role change drains the
 * endpoint. */
#define ROLE_DELAY_US (INT64_C(30) * 1000000)

struct role_load {
	double used;
	double slots;
	uint32_t endpoints;
};

static bool has_role(const struct plc_ep *ep, const struct plc_item *item,
		     Dsp__EndpointRole role)
{
	return ep->usable && ep->rec->features && ep->rec->features->roles &&
	       ep->rec->role == role &&
	       !strcmp(ep->rec->service, item->service) &&
	       !strcmp(ep->rec->team, item->team);
}

static struct role_load role_load_of(const struct plc_round *round,
				     const struct plc_item *item,
				     Dsp__EndpointRole role)
{
	struct role_load total = { 0 };

	for (guint i = 0; i < round->eps->len; i++) {
		const struct plc_ep *ep = g_ptr_array_index(round->eps, i);

		if (!has_role(ep, item, role))
			continue;
		total.endpoints++;
		total.slots += ep->slots;
		if (ep->reported)
			total.used +=
				ep->reported->running + ep->reported->waiting;
	}
	return total;
}

/* Whether each model of the endpoint has another ready copy in its role. */
static bool may_leave_role(const struct plc_ep *ep)
{
	for (guint i = 0; i < ep->copies->len; i++) {
		const struct plc_copy *copy = g_ptr_array_index(ep->copies, i);
		bool other = false;

		if (!copy->item || copy->old)
			continue;
		for (guint j = 0; j < copy->item->copies->len; j++) {
			const struct plc_copy *other_copy;

			other_copy = g_ptr_array_index(copy->item->copies, j);
			other |= other_copy->ep != ep &&
				 other_copy->ep->usable && other_copy->ready &&
				 other_copy->ep->rec->role == ep->rec->role;
		}
		if (!other)
			return false;
	}
	return true;
}

static bool role_pending(const struct plc_round *round,
			 const struct plc_item *item)
{
	for (size_t i = 0; i < round->n_pending; i++) {
		const Dsp__Order *order = round->pending[i];
		const struct plc_ep *ep;

		if (order->kind != DSP__ORDER_KIND__ORDER_ROLE)
			continue;
		ep = g_hash_table_lookup(round->ep_by_id, order->endpoint);
		if (ep && !strcmp(ep->rec->service, item->service) &&
		    !strcmp(ep->rec->team, item->team))
			return true;
	}
	return false;
}

static bool change_one(struct plc_round *round, const struct plc_item *item,
		       Dsp__EndpointRole from, Dsp__EndpointRole to)
{
	struct plc_ep *best = NULL;

	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);

		if (!has_role(ep, item, from) || !may_leave_role(ep))
			continue;
		if (!best || ep->load < best->load)
			best = ep;
	}
	if (!best)
		return false;
	plc_add_order(round, best, DSP__ORDER_KIND__ORDER_ROLE, best->rec->team,
		      NULL, to);
	return true;
}

static void balance(struct plc_round *round, struct plc_item *item,
		    const char *key)
{
	struct role_load prefill, decode;
	struct plc_history *history = plc_history_named(round->plc, key);
	double p, d, ratio;
	Dsp__EndpointRole from, to;

	prefill = role_load_of(round, item, DSP__ENDPOINT_ROLE__ROLE_PREFILL);
	decode = role_load_of(round, item, DSP__ENDPOINT_ROLE__ROLE_DECODE);
	if (!prefill.endpoints || !decode.endpoints ||
	    role_pending(round, item))
		return;
	p = prefill.used / prefill.slots;
	d = decode.used / decode.slots;
	if (!(p > ROLE_FULL && d < ROLE_IDLE && decode.endpoints > 1) &&
	    !(d > ROLE_FULL && p < ROLE_IDLE && prefill.endpoints > 1)) {
		history->role_since_us = 0;
		return;
	}
	if (!history->role_since_us)
		history->role_since_us = round->now_us;
	ratio = item->weight_moves / MAX(item->weight_attainment, 0.01);
	if ((double)(round->now_us - history->role_since_us) <
	    ROLE_DELAY_US * CLAMP(ratio, 0.3, 3.0))
		return;
	from = p > d ? DSP__ENDPOINT_ROLE__ROLE_DECODE
		     : DSP__ENDPOINT_ROLE__ROLE_PREFILL;
	to = p > d ? DSP__ENDPOINT_ROLE__ROLE_PREFILL
		   : DSP__ENDPOINT_ROLE__ROLE_DECODE;
	if (change_one(round, item, from, to))
		history->role_since_us = 0;
}

/*
 * Changes the role of one endpoint of a service from prefill to decode or back
 * after a lasting imbalance. Endpoints with both roles are not changed.
 */
void plc_balance_roles(struct plc_round *round)
{
	g_autoptr(GHashTable) done = NULL;

	done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < round->items->len; i++) {
		struct plc_item *item = g_ptr_array_index(round->items, i);

		char *key;

		if (plc_is_adapter(item))
			continue;
		key = g_strjoin("\x1f", item->team, item->service, NULL);
		if (g_hash_table_add(done, key))
			balance(round, item, key);
	}
}
