#ifndef CORE_VIEW_H
#define CORE_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "conf/doc.h"
#include "core/tbl.h"
#include "proto/messages.pb-c.h"

/*
 * View: immutable, reference-counted copy of the part of the replicated state
 * that entries need. The control thread builds a new view from the old one and
 * an update; traffic threads hold a reference while they use it.
 */
struct view;

struct view_document {
	const Dsp__Document *document;
	const struct doc *parsed;
};

struct view *view_new_empty(void);
struct view *view_ref(struct view *ctx);
void view_unref(struct view *ctx);

/* table: a version of the route table that the caller has already, or NULL. */
struct view *view_try_apply(const struct view *ctx,
			    const Dsp__ViewUpdate *update, struct tbl *table,
			    GError **err);
struct view *view_apply(const struct view *ctx, const Dsp__ViewUpdate *update);

/* Queries, for any thread that holds a reference; results are valid as long as
 * the reference. */
uint64_t view_index(const struct view *ctx);
const struct view_document *view_document(const struct view *ctx,
					  const char *team);
size_t view_n_documents(const struct view *ctx);
const struct view_document *view_document_at(const struct view *ctx, size_t i);
bool view_ready_copy(const Dsp__Endpoint *e, const char *model,
		     const char *adapter);
const Dsp__RouteTable *view_route_table(const struct view *ctx);
size_t view_routes_copied(const struct view *ctx);
size_t view_n_endpoints(const struct view *ctx);
const Dsp__Endpoint *view_endpoint_at(const struct view *ctx, size_t i);
const Dsp__Endpoint *view_endpoint(const struct view *ctx, const char *id);
size_t view_n_nodes(const struct view *ctx);
const Dsp__Node *view_node_at(const struct view *ctx, size_t i);
const Dsp__Node *view_node(const struct view *ctx, const char *id);
const Dsp__Suspect *view_suspect(const struct view *ctx,
				 const uint8_t digest[16]);
Dsp__ViewUpdate *view_since_table(const struct view *ctx, uint64_t from_index,
				  uint64_t table_index);
size_t view_n_suspects(const struct view *ctx);
const Dsp__Suspect *view_suspect_at(const struct view *ctx, size_t i);
Dsp__ViewUpdate *view_since(const struct view *ctx, uint64_t from_index);

#endif
