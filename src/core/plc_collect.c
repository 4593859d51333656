#include <string.h>

#include "core/plc_int.h"

/* A load that takes longer than this no longer counts as an expected copy: the
 * order was lost or the endpoint hangs. Model loads take seconds. */
#define STALL_MODEL_US (INT64_C(60) * 1000000)
#define STALL_ADAPTER_US (INT64_C(10) * 1000000)
#define SLOTS_DEFAULT 16
#define SEP "\x1f"

static void doc_entry_free(gpointer data)
{
	struct plc_doc *entry = data;

	doc_free(entry->parsed);
	g_free(entry->team);
	g_free(entry);
}

static gboolean doc_gone(gpointer key, gpointer value, gpointer data)
{
	struct plc_doc *entry = value;

	(void)key;
	(void)data;
	return !entry->present;
}

static void parse_document(struct plc *ctx, const Dsp__Document *document)
{
	struct plc_doc *entry = g_hash_table_lookup(ctx->docs, document->team);
	GPtrArray *faults;

	if (!entry) {
		entry = g_new0(struct plc_doc, 1);
		entry->team = g_strdup(document->team);
		g_hash_table_insert(ctx->docs, entry->team, entry);
	}
	entry->present = true;
	if (entry->parsed && entry->index == document->index)
		return;
	doc_free(entry->parsed);
	faults = g_ptr_array_new_with_free_func(g_free);
	entry->parsed = doc_parse(document->team, document->text,
				  strlen(document->text), faults);
	entry->index = document->index;
	g_ptr_array_free(faults, TRUE);
}

static void parse_documents(struct plc_round *round)
{
	struct plc *ctx = round->plc;
	const Dsp__Document **documents = NULL;
	GHashTableIter iter;
	gpointer value;
	size_t n = st_documents(round->state, &documents);

	if (!ctx->docs)
		ctx->docs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  doc_entry_free);
	g_hash_table_iter_init(&iter, ctx->docs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct plc_doc *)value)->present = false;
	for (size_t i = 0; i < n; i++)
		parse_document(ctx, documents[i]);
	g_hash_table_foreach_remove(ctx->docs, doc_gone, NULL);
	g_free(documents);
}

static void item_free(gpointer data)
{
	struct plc_item *item = data;

	g_ptr_array_free(item->copies, TRUE);
	g_ptr_array_free(item->old_copies, TRUE);
	g_free(item->key);
	g_free(item);
}

static void ep_free(gpointer data)
{
	struct plc_ep *ep = data;

	g_ptr_array_free(ep->copies, TRUE);
	g_free(ep->free_mb);
	g_free(ep);
}

/* version: NULL for a key of all versions. */
static char *key_of(const char *team, const char *service, const char *model,
		    const char *adapter, const char *version)
{
	return g_strjoin(SEP, team, service, model, adapter, version, NULL);
}

static struct plc_item *item_of(struct plc_round *round, const struct doc *doc,
				const char *service, const char *model,
				const char *adapter, const char *version)
{
	g_autofree char *key =
		key_of(doc->team, service, model, adapter, version);
	struct plc_item *item = g_hash_table_lookup(round->by_key, key);
	char *unversioned;

	if (item)
		return item;
	item = g_new0(struct plc_item, 1);
	item->key = g_steal_pointer(&key);
	item->team = doc->team;
	item->service = service;
	item->model = model;
	item->adapter = adapter;
	item->version = version;
	item->min_copies = 1;
	item->copies = g_ptr_array_new();
	item->old_copies = g_ptr_array_new();
	g_ptr_array_add(round->items, item);
	g_hash_table_insert(round->by_key, item->key, item);
	unversioned = key_of(doc->team, service, model, adapter, NULL);
	if (!g_hash_table_contains(round->unversioned, unversioned))
		g_hash_table_insert(round->unversioned, unversioned, item);
	else
		g_free(unversioned);
	g_hash_table_replace(round->by_name,
			     g_strjoin(SEP, doc->team, model, adapter, NULL),
			     item);
	return item;
}

/* Adds reported demand to an item; for requests to an adapter of a model,
 * adapter is that adapter, else NULL. */
static void item_demand(struct plc_round *round, struct plc_item *item,
			const struct doc *doc, const struct plc_item *adapter)
{
	const struct plc_rate *rate;
	double before = item->rate * item->service_s;

	item->weight_attainment =
		MAX(item->weight_attainment, doc->weight_attainment);
	item->weight_moves = MAX(item->weight_moves, doc->weight_moves);
	rate = plc_rate_of(round->plc, doc->team, item->model,
			   adapter ? adapter->adapter : item->adapter);
	if (!rate)
		return;
	before += rate->fast * rate->service_s;
	item->rate += rate->fast;
	item->mean += rate->slow;
	item->lost += rate->lost_fast;
	item->burst += rate->peak * rate->service_s;
	if (item->rate > 0)
		item->service_s = before / item->rate;
	else
		item->service_s = MAX(item->service_s, rate->service_s);
	item->work = item->rate * item->service_s;
}

static void collect_models(struct plc_round *round, const struct doc *doc)
{
	for (size_t i = 0; i < doc->n_models; i++) {
		const struct doc_model *model = &doc->models[i];
		struct plc_item *item;

		item = item_of(round, doc, model->service, model->name, "",
			       model->version);
		item->memory_mb = MAX(item->memory_mb, model->memory_mb);
		item->accelerators = MAX(model->accelerators, 1);
		item->min_copies = MAX(item->min_copies, model->min_copies);
		item_demand(round, item, doc, NULL);
	}
}

static void collect_adapters(struct plc_round *round, const struct doc *doc)
{
	for (size_t i = 0; i < doc->n_adapters; i++) {
		const struct doc_adapter *adapter = &doc->adapters[i];
		const struct doc_model *model;
		struct plc_item *item, *base;

		model = doc_model(doc, adapter->model);
		if (!model)
			continue;
		base = item_of(round, doc, model->service, model->name, "",
			       model->version);
		item = item_of(round, doc, model->service, model->name,
			       adapter->name, adapter->version);
		item->base = base;
		item->memory_mb = MAX(item->memory_mb, adapter->memory_mb);
		item->accelerators = base->accelerators;
		item_demand(round, item, doc, NULL);
		item_demand(round, base, doc, item);
		base->adapters_mb += adapter->memory_mb;
	}
}

static void collect_services(struct plc_round *round, const struct doc *doc)
{
	for (size_t i = 0; i < doc->n_services; i++) {
		const struct doc_service *service = &doc->services[i];

		if (service->orders_may_duplicate)
			continue;
		g_hash_table_add(
			round->exactly_once,
			g_strjoin(SEP, doc->team, service->name, NULL));
	}
}

static void collect_documents(struct plc_round *round)
{
	struct plc_limits *limits = &round->limits;
	GHashTableIter iter;
	gpointer value;
	bool any = false;

	g_hash_table_iter_init(&iter, round->plc->docs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct doc *doc = ((struct plc_doc *)value)->parsed;

		if (!doc || !doc->n_models)
			continue;
		if (!any)
			*limits = (struct plc_limits){
				.loads_per_s = doc->store_loads_per_s,
				.parallel_loads = doc->store_parallel_loads,
				.adapters_in_transit = doc->adapters_in_transit,
			};
		any = true;
		collect_services(round, doc);
		limits->loads_per_s =
			MIN(limits->loads_per_s, doc->store_loads_per_s);
		limits->parallel_loads =
			MIN(limits->parallel_loads, doc->store_parallel_loads);
		limits->adapters_in_transit = MIN(limits->adapters_in_transit,
						  doc->adapters_in_transit);
		collect_models(round, doc);
	}
	g_hash_table_iter_init(&iter, round->plc->docs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct doc *doc = ((struct plc_doc *)value)->parsed;

		if (doc)
			collect_adapters(round, doc);
	}
}

static void attach(struct plc_round *round, struct plc_copy *copy)
{
	const char *team = copy->ep->rec->team;
	const char *service = copy->ep->rec->service;
	g_autofree char *key = key_of(team, service, copy->model, copy->adapter,
				      copy->version);
	g_autofree char *unversioned =
		key_of(team, service, copy->model, copy->adapter, NULL);

	copy->item = g_hash_table_lookup(round->by_key, key);
	if (!copy->item) {
		copy->item =
			g_hash_table_lookup(round->unversioned, unversioned);
		copy->old = copy->item != NULL;
	}
	g_ptr_array_add(copy->ep->copies, copy);
	if (copy->item)
		g_ptr_array_add(copy->old ? copy->item->old_copies
					  : copy->item->copies,
				copy);
}

static void collect_endpoint(struct plc_round *round, const Dsp__Endpoint *rec)
{
	struct plc_ep *ep;

	if (rec->kind != DSP__ENDPOINT_KIND__ENDPOINT_ENGINE ||
	    rec->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
		return;
	ep = g_new0(struct plc_ep, 1);
	ep->rec = rec;
	ep->usable = rec->state == DSP__ENDPOINT_STATE__ENDPOINT_UP;
	ep->unload_frees = plc_unload_frees(round, ep);
	ep->reported = g_hash_table_lookup(round->plc->loads, rec->id);
	if (ep->reported && ep->reported->incarnation != rec->incarnation)
		ep->reported = NULL;
	ep->slots = rec->max_batch ? rec->max_batch : SLOTS_DEFAULT;
	ep->free_mb = g_new0(uint32_t, rec->accelerators + 1);
	ep->copies = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < rec->accelerators; i++)
		ep->free_mb[i] = st_free_memory_mb(round->state, rec->id, i);
	g_ptr_array_add(round->eps, ep);
	g_hash_table_insert(round->ep_by_id, rec->id, ep);
	for (size_t i = 0; i < rec->n_copies; i++) {
		const Dsp__Copy *resident = rec->copies[i];
		struct plc_copy *copy = g_new0(struct plc_copy, 1);

		copy->ep = ep;
		copy->model = resident->model;
		copy->version = resident->version;
		copy->adapter = resident->adapter;
		copy->first = resident->first_accelerator;
		copy->accelerators = MAX(resident->accelerators, 1);
		copy->memory_mb = resident->memory_mb;
		copy->order = resident->order;
		copy->ready = resident->ready && !resident->unloading;
		copy->loading = !resident->ready && !resident->unloading;
		copy->unloading = resident->unloading;
		attach(round, copy);
	}
}

static struct plc_copy *copy_find(const struct plc_ep *ep,
				  const Dsp__Order *order)
{
	for (guint i = 0; i < ep->copies->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(ep->copies, i);

		if (copy->first == order->first_accelerator &&
		    !strcmp(copy->model, order->model) &&
		    !strcmp(copy->version, order->version) &&
		    !strcmp(copy->adapter, order->adapter))
			return copy;
	}
	return NULL;
}

/* Applies a pending order to the copies and counts pending loads. */
static void collect_order(struct plc_round *round, const Dsp__Order *order,
			  uint32_t *loads, uint32_t *adapters)
{
	struct plc_ep *ep;
	struct plc_copy *copy;
	int64_t age_us;
	gint64 id = (gint64)order->id;

	ep = g_hash_table_lookup(round->ep_by_id, order->endpoint);
	if (!ep)
		return;
	age_us = round->now_us -
		 *(gint64 *)g_hash_table_lookup(round->plc->order_seen, &id);
	copy = copy_find(ep, order);
	if (order->kind == DSP__ORDER_KIND__ORDER_UNLOAD && copy) {
		copy->ready = false;
		copy->loading = false;
		copy->unloading = true;
	}
	if (order->kind != DSP__ORDER_KIND__ORDER_LOAD)
		return;
	if (*order->adapter)
		++*adapters;
	else
		++*loads;
	ep->planned++;
	if (!copy) {
		copy = g_new0(struct plc_copy, 1);
		copy->ep = ep;
		copy->model = order->model;
		copy->version = order->version;
		copy->adapter = order->adapter;
		copy->first = order->first_accelerator;
		copy->accelerators = MAX(order->accelerators, 1);
		copy->memory_mb = order->memory_mb;
		copy->order = order->id;
		copy->loading = true;
		attach(round, copy);
	}
	if (copy->loading &&
	    age_us > (*order->adapter ? STALL_ADAPTER_US : STALL_MODEL_US))
		copy->stalled = true;
}

/* Times when the pending orders were first seen, on the planner's clock: the
 * state's clock advances only when a command is applied. */
static GHashTable *order_times(const struct plc_round *round)
{
	GHashTable *old = round->plc->order_seen;
	GHashTable *now = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);

	for (size_t i = 0; i < round->n_pending; i++) {
		gint64 id = (gint64)round->pending[i]->id;
		gint64 *seen = old ? g_hash_table_lookup(old, &id) : NULL;
		gint64 at = seen ? *seen : round->now_us;

		g_hash_table_insert(now, g_memdup2(&id, sizeof(id)),
				    g_memdup2(&at, sizeof(at)));
	}
	if (old)
		g_hash_table_destroy(old);
	return now;
}

static int compare_items(gconstpointer a, gconstpointer b)
{
	const struct plc_item *x = *(struct plc_item *const *)a;
	const struct plc_item *y = *(struct plc_item *const *)b;

	if (plc_is_adapter(x) != plc_is_adapter(y))
		return plc_is_adapter(x) ? 1 : -1;
	if (x->rate != y->rate)
		return x->rate < y->rate ? 1 : -1;
	return strcmp(x->key, y->key);
}

/* Reads documents, endpoints, copies and pending orders into the round. */
void plc_collect(struct plc_round *round)
{
	const Dsp__Endpoint **endpoints = NULL;
	uint32_t loads = 0, adapters = 0;
	size_t n;

	round->eps = g_ptr_array_new_with_free_func(ep_free);
	round->items = g_ptr_array_new_with_free_func(item_free);
	round->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	round->unversioned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	round->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	round->ep_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	round->exactly_once =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parse_documents(round);
	collect_documents(round);
	n = st_endpoints(round->state, &endpoints);
	for (size_t i = 0; i < n; i++)
		if (!endpoints[i]->features ||
		    !endpoints[i]->features->sequenced)
			collect_endpoint(round, endpoints[i]);
	g_free(endpoints);
	round->n_pending = st_orders_pending(round->state, &round->pending);
	round->plc->order_seen = order_times(round);
	for (size_t i = 0; i < round->n_pending; i++)
		collect_order(round, round->pending[i], &loads, &adapters);
	if (round->limits.parallel_loads > loads)
		round->loads_left = round->limits.parallel_loads - loads;
	if (round->limits.adapters_in_transit > adapters)
		round->adapters_left =
			round->limits.adapters_in_transit - adapters;
	g_ptr_array_sort(round->items, compare_items);
}

/* Frees what plc_collect() allocated, but not the commands. */
void plc_collect_free(struct plc_round *round)
{
	g_hash_table_destroy(round->by_key);
	g_hash_table_destroy(round->unversioned);
	g_hash_table_destroy(round->by_name);
	g_hash_table_destroy(round->ep_by_id);
	g_hash_table_destroy(round->exactly_once);
	g_ptr_array_free(round->items, TRUE);
	g_ptr_array_free(round->eps, TRUE);
	g_free(round->pending);
}

/* Returns the history under a key, created if missing; valid as long as ctx. */
struct plc_history *plc_history_named(struct plc *ctx, const char *key)
{
	struct plc_history *history = g_hash_table_lookup(ctx->histories, key);

	if (history)
		return history;
	history = g_new0(struct plc_history, 1);
	history->key = g_strdup(key);
	g_hash_table_insert(ctx->histories, history->key, history);
	return history;
}

/* Returns the history that all versions of an item share. */
struct plc_history *plc_history_of(struct plc *ctx, const struct plc_item *item)
{
	g_autofree char *key = key_of(item->team, item->service, item->model,
				      item->adapter, NULL);

	return plc_history_named(ctx, key);
}
