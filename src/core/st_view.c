#include <string.h>

#include "base/msg.h"
#include "core/st_private.h"
#include "core/tbl.h"

/* Moves a record to the end of the change list at the current index. */
void item_touch(struct st *ctx, struct item *item)
{
	TAILQ_REMOVE(&ctx->items, item, link);
	item->index = ctx->index;
	TAILQ_INSERT_TAIL(&ctx->items, item, link);
}

static char *tombstone_id(uint32_t kind, const char *key)
{
	return g_strdup_printf("%u/%s", kind, key);
}

static void tombstone_free(struct st *ctx, struct tombstone *t)
{
	g_hash_table_remove(ctx->tombstone_by_id, t->id);
	TAILQ_REMOVE(&ctx->items, &t->item, link);
	TAILQ_REMOVE(&ctx->tombstones, t, link);
	ctx->n_tombstones--;
	g_free(t->id);
	g_free(t->key);
	g_free(t);
}

/*
 * Adds a record to the change list and drops its tombstone, if there is one.
 * key and msg remain owned by the caller.
 */
void item_insert(struct st *ctx, struct item *item, uint32_t kind,
		 const char *key, const void *msg, uint64_t index)
{
	char *id = tombstone_id(kind, key);
	struct tombstone *t = g_hash_table_lookup(ctx->tombstone_by_id, id);

	if (t)
		tombstone_free(ctx, t);
	g_free(id);
	item->kind = kind;
	item->key = key;
	item->msg = msg;
	item->index = index;
	TAILQ_INSERT_TAIL(&ctx->items, item, link);
}

/*
 * Adds a tombstone. Beyond ST_TOMBSTONES_MAX the oldest one is dropped, and
 * readers at an index below it need the whole view.
 */
void tombstone_add(struct st *ctx, uint32_t kind, const char *key,
		   uint64_t index)
{
	struct tombstone *t = g_new0(struct tombstone, 1);

	t->id = tombstone_id(kind, key);
	t->key = g_strdup(key);
	t->item.kind = kind;
	t->item.key = t->key;
	t->item.index = index;
	g_hash_table_insert(ctx->tombstone_by_id, t->id, t);
	TAILQ_INSERT_TAIL(&ctx->items, &t->item, link);
	TAILQ_INSERT_TAIL(&ctx->tombstones, t, link);
	if (++ctx->n_tombstones > ST_TOMBSTONES_MAX) {
		t = TAILQ_FIRST(&ctx->tombstones);
		ctx->tombstone_floor = t->item.index;
		tombstone_free(ctx, t);
	}
}

/* Removes a record; a tombstone lets incremental view updates report it. */
void item_remove(struct st *ctx, struct item *item, bool leave_tombstone)
{
	TAILQ_REMOVE(&ctx->items, item, link);
	if (leave_tombstone)
		tombstone_add(ctx, item->kind, item->key, ctx->index);
}

/* Frees all tombstones. */
void tombstones_clear(struct st *ctx)
{
	struct tombstone *t, *next;

	for (t = TAILQ_FIRST(&ctx->tombstones); t; t = next) {
		next = TAILQ_NEXT(t, link);
		tombstone_free(ctx, t);
	}
}

static int compare_items(const void *a, const void *b)
{
	const struct item *x = *(struct item *const *)a;
	const struct item *y = *(struct item *const *)b;

	if (x->index != y->index)
		return x->index < y->index ? -1 : 1;
	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->key, y->key);
}

/* Sorts the change list by index, after a restore inserted all records. */
void items_sort(struct st *ctx)
{
	GPtrArray *all = g_ptr_array_new();
	struct item *item;

	TAILQ_FOREACH (item, &ctx->items, link)
		g_ptr_array_add(all, item);
	if (all->len)
		qsort(all->pdata, all->len, sizeof(void *), compare_items);
	TAILQ_INIT(&ctx->items);
	for (guint i = 0; i < all->len; i++) {
		item = all->pdata[i];
		TAILQ_INSERT_TAIL(&ctx->items, item, link);
	}
	g_ptr_array_free(all, TRUE);
}

static Dsp__ViewRecord *record_new(const struct item *item)
{
	Dsp__ViewRecord *record = g_new(Dsp__ViewRecord, 1);
	void *body;

	dsp__view_record__init(record);
	record->index = item->index;
	record->kind = item->kind;
	record->key = g_strdup(item->key);
	record->removed = !item->msg;
	if (!item->msg)
		return record;
	body = msg_dup(item->msg);
	record->body_case = (Dsp__ViewRecord__BodyCase)item->kind;
	switch (record->body_case) {
	case DSP__VIEW_RECORD__BODY_DOCUMENT:
		record->document = body;
		break;
	case DSP__VIEW_RECORD__BODY_ENDPOINT:
		record->endpoint = body;
		break;
	case DSP__VIEW_RECORD__BODY_NODE:
		record->node = body;
		break;
	case DSP__VIEW_RECORD__BODY_SUSPECT:
		record->suspect = body;
		break;
	case DSP__VIEW_RECORD__BODY_ROUTE_TABLE:
		record->route_table = body;
		break;
	default:
		g_assert_not_reached();
	}
	return record;
}

/* Returns the record of the route table as changes of the one of an index, or
 * NULL if they are not known. */
static Dsp__ViewRecord *table_record_new(const struct st *ctx,
					 uint64_t table_index)
{
	const struct item *item = &ctx->table_item;
	Dsp__RouteTableSteps *steps = tbl_since(ctx->tbl, table_index);
	Dsp__ViewRecord *record;

	if (!steps)
		return NULL;
	record = g_new(Dsp__ViewRecord, 1);
	dsp__view_record__init(record);
	record->index = item->index;
	record->kind = item->kind;
	record->key = g_strdup(item->key);
	record->body_case = DSP__VIEW_RECORD__BODY_ROUTE_TABLE_STEPS;
	record->route_table_steps = steps;
	return record;
}

/*
 * Returns a new update with all records changed after from_index, removed ones
 * included, or the whole view (reset) if from_index is 0, below the tombstone
 * floor or above the index of this state. An incremental update costs time in
 * proportion to the records returned. A reader that has the route table of
 * table_index gets the changes since, if they are known; 0: it has none.
 */
Dsp__ViewUpdate *st_view_since_table(const struct st *ctx, uint64_t from_index,
				     uint64_t table_index)
{
	bool reset = !from_index || from_index < ctx->tombstone_floor ||
		     from_index > ctx->index;
	Dsp__ViewUpdate *update = g_new(Dsp__ViewUpdate, 1);
	GPtrArray *records = g_ptr_array_new();
	struct item *item;

	dsp__view_update__init(update);
	update->from_index = reset ? 0 : from_index;
	update->to_index = ctx->index;
	update->reset = reset;
	TAILQ_FOREACH_REVERSE(item, &ctx->items, item_list, link)
	{
		Dsp__ViewRecord *record = NULL;

		if (!reset && item->index <= from_index)
			break;
		if (reset && !item->msg)
			continue;
		if (item == &ctx->table_item && table_index)
			record = table_record_new(ctx, table_index);
		g_ptr_array_add(records, record ? record : record_new(item));
	}
	update->n_records = records->len;
	update->records = (Dsp__ViewRecord **)g_ptr_array_free(records, FALSE);
	return update;
}

/* As st_view_since_table(), with the whole route table. */
Dsp__ViewUpdate *st_view_since(const struct st *ctx, uint64_t from_index)
{
	return st_view_since_table(ctx, from_index, 0);
}
