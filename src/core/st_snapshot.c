#include <string.h>
#include <xxhash.h>

#include "core/st_private.h"

/*
 * A snapshot is a sequence of frames, each a length and a StateSnapshot with
 * some of the records, so that neither writing nor reading needs all records in
 * memory as messages at once. Records are in the order of the state's lists, so
 * equal states give equal bytes.
 */

/* Records per frame. */
#define FRAME_RECORDS 256

struct writer {
	void (*sink)(void *data, const uint8_t *bytes, size_t len);
	void *data;
	Dsp__StateSnapshot frame;
	GPtrArray *records; /* of the current field */
	/* Sets the current repeated field of the frame to the records. */
	void (*set_field)(Dsp__StateSnapshot *frame, GPtrArray *records);
	Dsp__Claim claims[FRAME_RECORDS];
};

static void write_frame(struct writer *w)
{
	size_t len = dsp__state_snapshot__get_packed_size(&w->frame);
	uint8_t *bytes = g_malloc(len + 4);
	uint32_t len_le = GUINT32_TO_LE((uint32_t)len);

	memcpy(bytes, &len_le, 4);
	dsp__state_snapshot__pack(&w->frame, bytes + 4);
	w->sink(w->data, bytes, len + 4);
	g_free(bytes);
}

static void flush_frame(struct writer *w)
{
	if (w->records->len) {
		w->set_field(&w->frame, w->records);
		write_frame(w);
	}
	g_ptr_array_set_size(w->records, 0);
	dsp__state_snapshot__init(&w->frame);
}

static void begin_field(struct writer *w,
			void (*set_field)(Dsp__StateSnapshot *, GPtrArray *))
{
	flush_frame(w);
	w->set_field = set_field;
}

/* Adds a record that stays valid until the snapshot is written. */
static void add_record(struct writer *w, const void *record)
{
	g_ptr_array_add(w->records, (gpointer)record);
	if (w->records->len >= FRAME_RECORDS)
		flush_frame(w);
}

/* Writes a record that is valid only during the call, in its own frame. */
static void add_transient(struct writer *w, const void *record)
{
	g_ptr_array_add(w->records, (gpointer)record);
	flush_frame(w);
}

#define FIELD_SETTER(field)                                                    \
	static void set_##field(Dsp__StateSnapshot *frame, GPtrArray *records) \
	{                                                                      \
		frame->n_##field = records->len;                               \
		frame->field = (void *)records->pdata;                         \
	}

FIELD_SETTER(documents)
FIELD_SETTER(history)
FIELD_SETTER(endpoints)
FIELD_SETTER(endpoint_metas)
FIELD_SETTER(reservations)
FIELD_SETTER(orders)
FIELD_SETTER(claims)
FIELD_SETTER(nodes)
FIELD_SETTER(node_metas)
FIELD_SETTER(tombstones)
FIELD_SETTER(streams)

static void write_documents(struct writer *w, const struct st *ctx)
{
	Dsp__DocumentHistory msg = DSP__DOCUMENT_HISTORY__INIT;
	const struct document *d;

	begin_field(w, set_documents);
	TAILQ_FOREACH (d, &ctx->documents, link)
		add_record(w, d->msg);
	begin_field(w, set_history);
	TAILQ_FOREACH (d, &ctx->documents, link) {
		for (guint i = 0; i < d->history->len; i++) {
			struct history_entry *h = &g_array_index(
				d->history, struct history_entry, i);

			msg.team = d->msg->team;
			msg.number = h->number;
			msg.index = h->index;
			msg.digest.data = h->digest;
			msg.digest.len = ST_DIGEST_LEN;
			add_transient(w, &msg);
		}
	}
}

static void write_reservation_list(struct writer *w, const struct endpoint *ep,
				   const struct reservation_list *reservations,
				   const struct retired_incarnation *old)
{
	Dsp__Reservation msg = DSP__RESERVATION__INIT;
	const struct reservation *r;

	TAILQ_FOREACH (r, reservations, link) {
		msg.retired = old != NULL;
		msg.incarnation = old ? old->incarnation : 0;
		msg.endpoint = ep->msg->id;
		msg.model = r->model;
		msg.version = r->version;
		msg.adapter = r->adapter;
		msg.first_accelerator = r->first;
		msg.accelerators = r->accelerators;
		msg.memory_mb = r->memory_mb;
		msg.order = r->order;
		msg.resident = r->resident;
		msg.listed = r->listed;
		msg.ready = r->ready;
		msg.unloading = r->unloading;
		msg.repeatable = r->repeatable;
		msg.last_load = r->last_load;
		msg.last_finish = r->last_finish;
		add_transient(w, &msg);
	}
}

static void write_reservations(struct writer *w, const struct endpoint *ep)
{
	const struct retired_incarnation *old;

	write_reservation_list(w, ep, &ep->reservations, NULL);
	TAILQ_FOREACH (old, &ep->retired, link)
		write_reservation_list(w, ep, &old->reservations, old);
}

static void write_endpoint_meta(struct writer *w, const struct endpoint *ep)
{
	Dsp__EndpointMeta meta = DSP__ENDPOINT_META__INIT;
	GArray *retired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *fences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct retired_incarnation *old;

	TAILQ_FOREACH (old, &ep->retired, link) {
		g_array_append_val(retired, old->incarnation);
		g_array_append_val(fences, old->fence);
	}
	meta.id = ep->msg->id;
	meta.index = ep->item.index;
	meta.n_old_incarnations = ep->old_incarnations->len;
	meta.old_incarnations = (uint64_t *)ep->old_incarnations->data;
	meta.fence = ep->fence;
	meta.down_ms = ep->down_ms;
	meta.software_ms = ep->software_ms;
	meta.leaving = ep->leaving;
	meta.ever_loaded = ep->ever_loaded;
	meta.n_retired = retired->len;
	meta.retired = (uint64_t *)retired->data;
	meta.n_retired_fences = fences->len;
	meta.retired_fences = (uint64_t *)fences->data;
	add_transient(w, &meta);
	g_array_free(retired, TRUE);
	g_array_free(fences, TRUE);
}

static void write_endpoints(struct writer *w, const struct st *ctx)
{
	const struct endpoint *ep;
	const struct order *o;

	begin_field(w, set_endpoints);
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		add_record(w, ep->msg);
	begin_field(w, set_endpoint_metas);
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		write_endpoint_meta(w, ep);
	begin_field(w, set_reservations);
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		write_reservations(w, ep);
	begin_field(w, set_orders);
	TAILQ_FOREACH (o, &ctx->pending, link)
		add_record(w, o->msg);
	TAILQ_FOREACH (o, &ctx->finished, link)
		add_record(w, o->msg);
}

static void write_claim(void *data, const Dsp__Claim *claim)
{
	struct writer *w = data;
	Dsp__Claim *copy = &w->claims[w->records->len];

	/* Only the message is temporary; its strings belong to the table. */
	*copy = *claim;
	add_record(w, copy);
}

static void write_stream_group(void *data, const Dsp__StreamGroup *group)
{
	add_transient(data, group);
}

static void write_suspects(struct writer *w, const struct suspect_list *list)
{
	const struct suspect *s;

	flush_frame(w);
	TAILQ_FOREACH (s, list, link) {
		uint64_t index = s->item.index;
		Dsp__Suspect *msg = s->msg;

		w->frame.suspects = &msg;
		w->frame.n_suspects = 1;
		w->frame.suspect_indexes = &index;
		w->frame.n_suspect_indexes = 1;
		write_frame(w);
		dsp__state_snapshot__init(&w->frame);
	}
}

static void write_nodes(struct writer *w, const struct st *ctx)
{
	Dsp__NodeMeta meta = DSP__NODE_META__INIT;
	const struct node *node;

	begin_field(w, set_nodes);
	TAILQ_FOREACH (node, &ctx->nodes, link)
		add_record(w, node->msg);
	begin_field(w, set_node_metas);
	TAILQ_FOREACH (node, &ctx->nodes, link) {
		meta.id = node->msg->id;
		meta.index = node->item.index;
		meta.n_old_boots = node->old_boots->len;
		meta.old_boots = (uint64_t *)node->old_boots->data;
		meta.down_ms = node->down_ms;
		add_transient(w, &meta);
	}
}

static void write_tombstones(struct writer *w, const struct st *ctx)
{
	Dsp__Tombstone msg = DSP__TOMBSTONE__INIT;
	const struct tombstone *t;

	begin_field(w, set_tombstones);
	TAILQ_FOREACH (t, &ctx->tombstones, link) {
		msg.kind = t->item.kind;
		msg.key = t->key;
		msg.index = t->item.index;
		add_transient(w, &msg);
	}
}

static void write_state(const struct st *ctx,
			void (*sink)(void *, const uint8_t *, size_t),
			void *data)
{
	struct writer w = { .sink = sink, .data = data };
	Dsp__RouteTable table;

	w.records = g_ptr_array_new();
	dsp__state_snapshot__init(&w.frame);
	w.frame.index = ctx->index;
	w.frame.wall_ms = ctx->wall_ms;
	w.frame.tombstone_floor = ctx->tombstone_floor;
	if (ctx->table) {
		table = *ctx->table;
		table.source = ctx->table_source;
		w.frame.route_table = &table;
	}
	write_frame(&w);
	w.frame.route_table = NULL;
	write_documents(&w, ctx);
	write_endpoints(&w, ctx);
	begin_field(&w, set_claims);
	clm_visit(ctx->claims, write_claim, &w);
	write_suspects(&w, &ctx->suspects);
	write_suspects(&w, &ctx->parts);
	write_nodes(&w, ctx);
	write_tombstones(&w, ctx);
	begin_field(&w, set_streams);
	streams_visit(ctx, write_stream_group, &w);
	flush_frame(&w);
	w.frame.end = true;
	write_frame(&w);
	g_ptr_array_free(w.records, TRUE);
}

static void append_bytes(void *data, const uint8_t *bytes, size_t len)
{
	g_byte_array_append(data, bytes, (guint)len);
}

/* Returns the whole state as bytes; free them with g_free(). */
uint8_t *st_snapshot(const struct st *ctx, size_t *len)
{
	GByteArray *bytes = g_byte_array_new();

	write_state(ctx, append_bytes, bytes);
	*len = bytes->len;
	return g_byte_array_free(bytes, FALSE);
}

static void hash_bytes(void *data, const uint8_t *bytes, size_t len)
{
	XXH3_64bits_update(data, bytes, len);
}

/* Returns XXH3-64 of the snapshot; equal states have equal digests. */
uint64_t st_digest(const struct st *ctx)
{
	XXH3_state_t *hash = XXH3_createState();
	uint64_t digest;

	XXH3_64bits_reset(hash);
	write_state(ctx, hash_bytes, hash);
	digest = XXH3_64bits_digest(hash);
	XXH3_freeState(hash);
	return digest;
}

static bool restore_endpoint_meta(struct st *ctx, const Dsp__EndpointMeta *m)
{
	struct endpoint *ep = endpoint_find(ctx, m->id);

	if (!ep || m->n_retired != m->n_retired_fences)
		return false;
	for (size_t i = 0; i < m->n_retired; i++)
		retired_new(ep, m->retired[i])->fence = m->retired_fences[i];
	g_array_append_vals(ep->old_incarnations, m->old_incarnations,
			    (guint)m->n_old_incarnations);
	ep->item.index = m->index;
	ep->fence = m->fence;
	ep->down_ms = m->down_ms;
	ep->software_ms = m->software_ms;
	ep->leaving = m->leaving;
	ep->ever_loaded = m->ever_loaded;
	return true;
}

static bool restore_node_meta(struct st *ctx, const Dsp__NodeMeta *m)
{
	struct node *node = node_find(ctx, m->id);

	if (!node)
		return false;
	g_array_append_vals(node->old_boots, m->old_boots,
			    (guint)m->n_old_boots);
	node->item.index = m->index;
	node->down_ms = m->down_ms;
	return true;
}

static bool restore_endpoints(struct st *ctx, const Dsp__StateSnapshot *frame)
{
	bool ok = true;

	for (size_t i = 0; i < frame->n_endpoints; i++)
		endpoint_new(ctx, frame->endpoints[i], 0);
	for (size_t i = 0; ok && i < frame->n_endpoint_metas; i++)
		ok = restore_endpoint_meta(ctx, frame->endpoint_metas[i]);
	for (size_t i = 0; ok && i < frame->n_reservations; i++)
		ok = ord_restore_reservation(ctx, frame->reservations[i]);
	for (size_t i = 0; ok && i < frame->n_orders; i++)
		ok = ord_restore_order(ctx, frame->orders[i]);
	return ok;
}

static bool restore_frame(struct st *ctx, const Dsp__StateSnapshot *frame)
{
	bool ok = frame->n_suspects == frame->n_suspect_indexes;

	for (size_t i = 0; ok && i < frame->n_documents; i++)
		ok = document_restore(ctx, frame->documents[i]);
	for (size_t i = 0; ok && i < frame->n_history; i++)
		ok = document_history_restore(ctx, frame->history[i]);
	ok = ok && restore_endpoints(ctx, frame);
	for (size_t i = 0; ok && i < frame->n_claims; i++)
		ok = clm_restore(ctx->claims, frame->claims[i]);
	for (size_t i = 0; ok && i < frame->n_suspects; i++)
		ok = qua_restore(ctx, frame->suspects[i],
				 frame->suspect_indexes[i]);
	for (size_t i = 0; i < frame->n_nodes; i++)
		node_new(ctx, frame->nodes[i], 0);
	for (size_t i = 0; ok && i < frame->n_node_metas; i++)
		ok = restore_node_meta(ctx, frame->node_metas[i]);
	for (size_t i = 0; i < frame->n_tombstones; i++)
		tombstone_add(ctx, frame->tombstones[i]->kind,
			      frame->tombstones[i]->key,
			      frame->tombstones[i]->index);
	for (size_t i = 0; i < frame->n_streams; i++)
		streams_restore(ctx, frame->streams[i]);
	return ok;
}

static bool restore_frames(struct st *ctx, const uint8_t *data, size_t len)
{
	bool first = true, end = false;

	while (len && !end) {
		Dsp__StateSnapshot *frame;
		uint32_t frame_len;
		bool ok;

		if (len < 4)
			return false;
		memcpy(&frame_len, data, 4);
		frame_len = GUINT32_FROM_LE(frame_len);
		if (frame_len > len - 4)
			return false;
		frame = dsp__state_snapshot__unpack(NULL, frame_len, data + 4);
		if (!frame)
			return false;
		if (first) {
			ctx->index = frame->index;
			ctx->wall_ms = frame->wall_ms;
			ctx->tombstone_floor = frame->tombstone_floor;
			if (frame->route_table)
				table_restore(ctx, frame->route_table);
			first = false;
		}
		end = frame->end;
		ok = restore_frame(ctx, frame);
		dsp__state_snapshot__free_unpacked(frame, NULL);
		if (!ok)
			return false;
		data += 4 + frame_len;
		len -= 4 + frame_len;
	}
	return end && !len;
}

/*
 * Replaces the state by that of a snapshot. Returns false and leaves an empty
 * state when the snapshot is damaged.
 */
bool st_restore(struct st *ctx, const uint8_t *data, size_t len)
{
	st_clear(ctx);
	st_init(ctx);
	if (restore_frames(ctx, data, len)) {
		items_sort(ctx);
		return true;
	}
	st_clear(ctx);
	st_init(ctx);
	return false;
}
