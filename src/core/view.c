#include "core/view.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "core/tbl.h"

/*
 * Tombstones kept for readers that a relay serves. Those that are further
 * behind receive the whole view.
 */
#define TOMBSTONES_MAX 4096

enum {
	DOCUMENTS,
	ENDPOINTS,
	NODES,
	SUSPECTS,
	ROUTE_TABLES,
	N_KINDS,
};

/* One record or tombstone, shared by all views that contain it. */
struct record {
	_Atomic uint32_t refs; /* any thread; the rest never changes */
	Dsp__ViewRecord *msg;
	struct doc *parsed;
	struct view_document document;
	struct tbl *table; /* route table, whose message msg borrows */
};

struct record_list {
	struct record **all;
	size_t n;
};

struct view {
	_Atomic uint32_t refs; /* any thread; the rest never changes */
	uint64_t index;
	uint64_t tombstone_floor;
	struct record_list kinds[N_KINDS]; /* sorted by key */
	struct record_list tombstones;	   /* sorted by index */
};

static struct record *record_ref(struct record *record)
{
	atomic_fetch_add(&record->refs, 1);
	return record;
}

static void record_unref(struct record *record)
{
	if (atomic_fetch_sub(&record->refs, 1) != 1)
		return;
	doc_free(record->parsed);
	if (record->table)
		record->msg->route_table = NULL;
	tbl_unref(record->table);
	dsp__view_record__free_unpacked(record->msg, NULL);
	g_free(record);
}

static void record_list_free(struct record_list *list)
{
	for (size_t i = 0; i < list->n; i++)
		record_unref(list->all[i]);
	g_free(list->all);
}

/* Creates a view at index 0 without records. */
struct view *view_new_empty(void)
{
	struct view *ctx = g_new0(struct view, 1);

	atomic_init(&ctx->refs, 1);
	return ctx;
}

/* Adds a reference; any thread. */
struct view *view_ref(struct view *ctx)
{
	atomic_fetch_add(&ctx->refs, 1);
	return ctx;
}

/* Drops a reference; the last one frees the view. NULL is allowed. */
void view_unref(struct view *ctx)
{
	if (!ctx || atomic_fetch_sub(&ctx->refs, 1) != 1)
		return;
	for (int kind = 0; kind < N_KINDS; kind++)
		record_list_free(&ctx->kinds[kind]);
	record_list_free(&ctx->tombstones);
	g_free(ctx);
}

static int kind_of(const Dsp__ViewRecord *msg)
{
	switch ((Dsp__ViewRecord__BodyCase)msg->kind) {
	case DSP__VIEW_RECORD__BODY_DOCUMENT:
		return DOCUMENTS;
	case DSP__VIEW_RECORD__BODY_ENDPOINT:
		return ENDPOINTS;
	case DSP__VIEW_RECORD__BODY_NODE:
		return NODES;
	case DSP__VIEW_RECORD__BODY_SUSPECT:
		return SUSPECTS;
	case DSP__VIEW_RECORD__BODY_ROUTE_TABLE:
		return ROUTE_TABLES;
	default:
		return -1;
	}
}

static struct record *record_find(const struct record_list *list,
				  const char *key)
{
	size_t low = 0, high = list->n;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(list->all[middle]->msg->key, key);

		if (!order)
			return list->all[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static Dsp__ViewRecord *record_dup(const Dsp__ViewRecord *msg)
{
	size_t len = dsp__view_record__get_packed_size(msg);
	uint8_t *data = g_malloc(len + 1);
	Dsp__ViewRecord *copy;

	dsp__view_record__pack(msg, data);
	copy = dsp__view_record__unpack(NULL, len, data);
	g_free(data);
	g_assert(copy);
	return copy;
}

/* Returns a new record, or NULL if it holds an invalid document. */
static struct record *record_new(const Dsp__ViewRecord *msg)
{
	const Dsp__Document *document = NULL;
	struct record *record = g_new0(struct record, 1);

	atomic_init(&record->refs, 1);
	record->msg = record_dup(msg);
	if (!msg->removed && kind_of(msg) == DOCUMENTS)
		document = record->msg->document;
	if (document) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

		record->parsed = doc_parse(document->team, document->text,
					   strlen(document->text), errors);
		g_ptr_array_free(errors, TRUE);
		record->document.document = document;
		record->document.parsed = record->parsed;
		if (!record->parsed) {
			record_unref(record);
			return NULL;
		}
	}
	return record;
}

/*
 * Returns a new record of a route table: known, if that is the one, else a
 * version that shares routes with the one of old. Both may be NULL. NULL with
 * TBL_ERROR if the table cannot be derived from the old one.
 */
static struct record *table_record_new(const struct record *old,
				       const Dsp__ViewRecord *msg,
				       struct tbl *known, GError **err)
{
	struct tbl *base = old ? old->table : NULL;
	struct record *record;
	struct tbl *table;

	if (known && tbl_table(known)->index == msg->index) {
		table = tbl_ref(known);
	} else if (msg->body_case == DSP__VIEW_RECORD__BODY_ROUTE_TABLE) {
		table = tbl_new(base, msg->route_table);
	} else if (base) {
		table = tbl_apply(base, msg->route_table_steps, err);
	} else {
		g_set_error(err, TBL_ERROR, TBL_ERROR_BASE,
			    "there is no table to change");
		return NULL;
	}
	if (!table)
		return NULL;
	record = g_new0(struct record, 1);
	atomic_init(&record->refs, 1);
	record->table = table;
	record->msg = g_new(Dsp__ViewRecord, 1);
	dsp__view_record__init(record->msg);
	record->msg->index = msg->index;
	record->msg->key = g_strdup(msg->key);
	record->msg->kind = msg->kind;
	record->msg->body_case = DSP__VIEW_RECORD__BODY_ROUTE_TABLE;
	record->msg->route_table = tbl_table(table);
	return record;
}

static int compare_keys(const void *a, const void *b)
{
	const struct record *x = *(struct record *const *)a;
	const struct record *y = *(struct record *const *)b;

	return strcmp(x->msg->key, y->msg->key);
}

static int compare_indexes(const void *a, const void *b)
{
	const struct record *x = *(struct record *const *)a;
	const struct record *y = *(struct record *const *)b;

	if (x->msg->index != y->msg->index)
		return x->msg->index < y->msg->index ? -1 : 1;
	if (x->msg->kind != y->msg->kind)
		return x->msg->kind < y->msg->kind ? -1 : 1;
	return strcmp(x->msg->key, y->msg->key);
}

/*
 * Fills out with the records of one kind: those of old after the changes are
 * applied. The changes are sorted by key and include removals.
 */
static void merge_records(struct record_list *out,
			  const struct record_list *old,
			  struct record *const *changes, size_t n_changes)
{
	size_t i = 0, j = 0;

	out->all = g_new(struct record *, old->n + n_changes + 1);
	while (i < old->n || j < n_changes) {
		int order;

		if (i >= old->n)
			order = 1;
		else if (j >= n_changes)
			order = -1;
		else
			order = strcmp(old->all[i]->msg->key,
				       changes[j]->msg->key);
		if (order < 0) {
			out->all[out->n++] = record_ref(old->all[i++]);
			continue;
		}
		if (order == 0)
			i++;
		if (!changes[j]->msg->removed)
			out->all[out->n++] = record_ref(changes[j]);
		j++;
	}
}

/*
 * Fills out's tombstones: removals among the changes, and tombstones of old
 * whose keys the changes do not contain. The oldest ones beyond TOMBSTONES_MAX
 * are dropped and raise the tombstone floor.
 */
static void merge_tombstones(struct view *out, const struct record_list *old,
			     GPtrArray *const changes[N_KINDS])
{
	GPtrArray *all = g_ptr_array_new();
	guint drop;

	for (int kind = 0; kind < N_KINDS; kind++) {
		for (guint i = 0; i < changes[kind]->len; i++) {
			struct record *record = changes[kind]->pdata[i];

			if (record->msg->removed)
				g_ptr_array_add(all, record_ref(record));
		}
	}
	for (size_t i = 0; i < old->n; i++) {
		struct record *record = old->all[i];
		int kind = kind_of(record->msg);
		struct record_list changed = {
			.all = (struct record **)changes[kind]->pdata,
			.n = changes[kind]->len,
		};

		if (!record_find(&changed, record->msg->key))
			g_ptr_array_add(all, record_ref(record));
	}
	if (all->len)
		qsort(all->pdata, all->len, sizeof(void *), compare_indexes);
	drop = all->len > TOMBSTONES_MAX ? all->len - TOMBSTONES_MAX : 0;
	for (guint i = 0; i < drop; i++) {
		struct record *record = all->pdata[i];

		out->tombstone_floor =
			MAX(out->tombstone_floor, record->msg->index);
		record_unref(record);
	}
	out->tombstones.n = all->len - drop;
	out->tombstones.all = g_new(struct record *, out->tombstones.n + 1);
	for (guint i = drop; i < all->len; i++)
		out->tombstones.all[i - drop] = all->pdata[i];
	g_ptr_array_free(all, TRUE);
}

/* Returns true if the body of a record is of its kind. */
static bool body_fits(const Dsp__ViewRecord *msg)
{
	if (msg->removed)
		return true;
	return (uint32_t)msg->body_case == msg->kind ||
	       (msg->kind == DSP__VIEW_RECORD__BODY_ROUTE_TABLE &&
		msg->body_case == DSP__VIEW_RECORD__BODY_ROUTE_TABLE_STEPS);
}

/*
 * Groups the records of an update by kind, sorted by key. A record that the
 * view has already is shared. Returns false if a record is not valid.
 */
static bool collect_changes(const struct view *ctx,
			    const Dsp__ViewUpdate *update, struct tbl *table,
			    GPtrArray *changes[N_KINDS], GError **err)
{
	for (size_t i = 0; i < update->n_records; i++) {
		const Dsp__ViewRecord *msg = update->records[i];
		int kind = kind_of(msg);
		struct record *record;

		if (kind < 0 || (msg->removed && update->reset) ||
		    !body_fits(msg))
			return false;
		record = msg->removed
				 ? NULL
				 : record_find(&ctx->kinds[kind], msg->key);
		if (record && record->msg->index == msg->index)
			record_ref(record);
		else if (kind == ROUTE_TABLES && !msg->removed)
			record = table_record_new(record, msg, table, err);
		else
			record = record_new(msg);
		if (!record)
			return false;
		g_ptr_array_add(changes[kind], record);
	}
	for (int kind = 0; kind < N_KINDS; kind++)
		if (changes[kind]->len)
			qsort(changes[kind]->pdata, changes[kind]->len,
			      sizeof(void *), compare_keys);
	return true;
}

static bool update_follows(const struct view *ctx,
			   const Dsp__ViewUpdate *update)
{
	if (update->to_index < ctx->index)
		return false;
	return update->reset || update->from_index <= ctx->index;
}

/*
 * Returns a new view with the update applied. Returns NULL if changes between
 * the view and the update are missing, the update is older than the view, or it
 * holds an invalid record. Unchanged records are shared, and so is the given
 * version of the route table, if the update leads to it. With TBL_ERROR, the
 * update does not fit the view's route table, and the reader needs the whole
 * table; it is not set in the other cases.
 */
struct view *view_try_apply(const struct view *ctx,
			    const Dsp__ViewUpdate *update, struct tbl *table,
			    GError **err)
{
	static const struct record_list empty = { .n = 0 };
	GPtrArray *changes[N_KINDS];
	struct view *out = NULL;

	if (!update_follows(ctx, update))
		return NULL;
	for (int kind = 0; kind < N_KINDS; kind++)
		changes[kind] = g_ptr_array_new_with_free_func(
			(GDestroyNotify)record_unref);
	if (!collect_changes(ctx, update, table, changes, err))
		goto out;
	out = view_new_empty();
	out->index = update->to_index;
	out->tombstone_floor =
		update->reset ? update->to_index : ctx->tombstone_floor;
	for (int kind = 0; kind < N_KINDS; kind++)
		merge_records(&out->kinds[kind],
			      update->reset ? &empty : &ctx->kinds[kind],
			      (struct record *const *)changes[kind]->pdata,
			      changes[kind]->len);
	merge_tombstones(out, update->reset ? &empty : &ctx->tombstones,
			 changes);
out:
	for (int kind = 0; kind < N_KINDS; kind++)
		g_ptr_array_free(changes[kind], TRUE);
	return out;
}

/* As view_try_apply(), for a caller that handles all failures alike. */
struct view *view_apply(const struct view *ctx, const Dsp__ViewUpdate *update)
{
	return view_try_apply(ctx, update, NULL, NULL);
}

/* Returns the log index of the last change that the view contains. */
uint64_t view_index(const struct view *ctx)
{
	return ctx->index;
}

/* Returns the document in force of a team, or NULL. */
const struct view_document *view_document(const struct view *ctx,
					  const char *team)
{
	const struct record *record = record_find(&ctx->kinds[DOCUMENTS], team);

	return record ? &record->document : NULL;
}

/* Returns the number of documents. */
size_t view_n_documents(const struct view *ctx)
{
	return ctx->kinds[DOCUMENTS].n;
}

/* Returns document i in the order of team names. */
const struct view_document *view_document_at(const struct view *ctx, size_t i)
{
	return &ctx->kinds[DOCUMENTS].all[i]->document;
}

/*
 * Whether the endpoint has a copy that takes new requests. adapter NULL: the
 * model itself.
 */
bool view_ready_copy(const Dsp__Endpoint *e, const char *model,
		     const char *adapter)
{
	for (size_t i = 0; i < e->n_copies; i++) {
		const Dsp__Copy *copy = e->copies[i];

		if (copy->ready && !copy->unloading &&
		    !strcmp(copy->model, model) &&
		    !strcmp(copy->adapter, adapter ? adapter : ""))
			return true;
	}
	return false;
}

/* Returns the route table in force, or NULL. */
const Dsp__RouteTable *view_route_table(const struct view *ctx)
{
	const struct record_list *tables = &ctx->kinds[ROUTE_TABLES];

	return tables->n ? tables->all[0]->msg->route_table : NULL;
}

/* Returns how many routes were copied for the table in force. The others are
 * shared with the version before. */
size_t view_routes_copied(const struct view *ctx)
{
	const struct record_list *tables = &ctx->kinds[ROUTE_TABLES];

	return tables->n ? tbl_n_copied(tables->all[0]->table) : 0;
}

/* Returns the number of endpoints, including those that are down. */
size_t view_n_endpoints(const struct view *ctx)
{
	return ctx->kinds[ENDPOINTS].n;
}

/* Returns endpoint i in the order of ids. */
const Dsp__Endpoint *view_endpoint_at(const struct view *ctx, size_t i)
{
	return ctx->kinds[ENDPOINTS].all[i]->msg->endpoint;
}

/* Returns an endpoint, or NULL. */
const Dsp__Endpoint *view_endpoint(const struct view *ctx, const char *id)
{
	const struct record *record = record_find(&ctx->kinds[ENDPOINTS], id);

	return record ? record->msg->endpoint : NULL;
}

/* Returns the number of instances, including those that are down. */
size_t view_n_nodes(const struct view *ctx)
{
	return ctx->kinds[NODES].n;
}

/* Returns instance i in the order of ids. */
const Dsp__Node *view_node_at(const struct view *ctx, size_t i)
{
	return ctx->kinds[NODES].all[i]->msg->node;
}

/* Returns an instance, or NULL. */
const Dsp__Node *view_node(const struct view *ctx, const char *id)
{
	const struct record *record = record_find(&ctx->kinds[NODES], id);

	return record ? record->msg->node : NULL;
}

/* Returns the suspect with this digest of a request or part, or NULL. */
const Dsp__Suspect *view_suspect(const struct view *ctx,
				 const uint8_t digest[16])
{
	static const char digits[] = "0123456789abcdef";
	const struct record *record;
	char key[33];

	if (!ctx->kinds[SUSPECTS].n)
		return NULL;
	for (size_t i = 0; i < 16; i++) {
		key[2 * i] = digits[digest[i] >> 4];
		key[2 * i + 1] = digits[digest[i] & 15];
	}
	key[32] = '\0';
	record = record_find(&ctx->kinds[SUSPECTS], key);
	return record ? record->msg->suspect : NULL;
}

/* Returns the number of suspects, requests and parts. */
size_t view_n_suspects(const struct view *ctx)
{
	return ctx->kinds[SUSPECTS].n;
}

/* Returns suspect i in the order of digests. */
const Dsp__Suspect *view_suspect_at(const struct view *ctx, size_t i)
{
	return ctx->kinds[SUSPECTS].all[i]->msg->suspect;
}

/* Returns a copy of the record of a route table for a reader that has the table
 * of an index: the changes since, or the whole table. */
static Dsp__ViewRecord *table_record_since(const struct record *record,
					   uint64_t table_index)
{
	Dsp__RouteTableSteps *steps = tbl_since(record->table, table_index);
	Dsp__ViewRecord *copy;

	if (!steps)
		return record_dup(record->msg);
	copy = g_new(Dsp__ViewRecord, 1);
	dsp__view_record__init(copy);
	copy->index = record->msg->index;
	copy->key = g_strdup(record->msg->key);
	copy->kind = record->msg->kind;
	copy->body_case = DSP__VIEW_RECORD__BODY_ROUTE_TABLE_STEPS;
	copy->route_table_steps = steps;
	return copy;
}

static void add_since(GPtrArray *out, const struct record_list *list,
		      uint64_t from_index, uint64_t table_index)
{
	for (size_t i = 0; i < list->n; i++) {
		const struct record *record = list->all[i];

		if (record->msg->index <= from_index)
			continue;
		g_ptr_array_add(
			out, record->table && table_index
				     ? table_record_since(record, table_index)
				     : record_dup(record->msg));
	}
}

/*
 * Returns a new update with all records changed after from_index, or the whole
 * view (reset) if from_index is 0, below the tombstone floor or above the
 * view's index. A relay serves it in place of st_view_since(). table_index is
 * the log index of the route table that the reader has; if the changes since
 * are known, the update has them in place of the table. 0: it needs the table.
 */
Dsp__ViewUpdate *view_since_table(const struct view *ctx, uint64_t from_index,
				  uint64_t table_index)
{
	bool reset = !from_index || from_index < ctx->tombstone_floor ||
		     from_index > ctx->index;
	Dsp__ViewUpdate *update = g_new(Dsp__ViewUpdate, 1);
	GPtrArray *records = g_ptr_array_new();

	dsp__view_update__init(update);
	update->from_index = reset ? 0 : from_index;
	update->to_index = ctx->index;
	update->reset = reset;
	for (int kind = 0; kind < N_KINDS; kind++)
		add_since(records, &ctx->kinds[kind], reset ? 0 : from_index,
			  table_index);
	if (!reset)
		add_since(records, &ctx->tombstones, from_index, 0);
	update->n_records = records->len;
	update->records = (Dsp__ViewRecord **)g_ptr_array_free(records, FALSE);
	return update;
}

/* As view_since_table(), with the whole route table. */
Dsp__ViewUpdate *view_since(const struct view *ctx, uint64_t from_index)
{
	return view_since_table(ctx, from_index, 0);
}
