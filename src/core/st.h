#ifndef CORE_ST_H
#define CORE_ST_H

#include <stdbool.h>
#include <stdint.h>

#include "core/tbl.h"
#include "proto/messages.pb-c.h"

/*
 * State (st): the replicated state machine. It changes only by st_apply() and
 * st_restore(), and replicas that apply the same commands hold the same state.
 * It does no I/O and is used by one thread.
 */
struct st;

struct st_limits {
	uint32_t claims_max;
	uint64_t claim_bodies_bytes; /* sum of all stored bodies */
	uint32_t claim_body_bytes;   /* one stored body */
	int64_t claim_retention_ms;  /* since the outcome */
	int64_t quarantine_ms;	     /* since the last crash */
};

/* Limits from section 9 of docs/design.md. They are part of the state machine:
 * all voters must use the same values. */
extern const struct st_limits st_default_limits;

struct st *st_new(const struct st_limits *limits);
void st_free(struct st *ctx);

/* The caller frees the result with dsp__command_result__free_unpacked(). */
Dsp__CommandResult *st_apply(struct st *ctx, uint64_t index,
			     const Dsp__Command *command);
bool st_restore(struct st *ctx, const uint8_t *data, size_t len);

/* Queries; pointers are valid until the next command. */
uint8_t *st_snapshot(const struct st *ctx, size_t *len); /* g_free() */
uint64_t st_index(const struct st *ctx);
int64_t st_wall_ms(const struct st *ctx);
uint64_t st_digest(const struct st *ctx); /* equal for equal states */

const Dsp__Document *st_document(const struct st *ctx, const char *team);
size_t st_documents(const struct st *ctx, const Dsp__Document ***out);
const Dsp__RouteTable *st_route_table(const struct st *ctx);
struct tbl *st_route_table_version(const struct st *ctx);
/* NULL: the change would not be smaller than the table. */
Dsp__RouteTableChangePut *st_table_change(const struct st *ctx,
					  const Dsp__RouteTable *table,
					  uint64_t index);
bool st_same_copies(const Dsp__Endpoint *a, const Dsp__Endpoint *b);
const Dsp__Endpoint *st_endpoint(const struct st *ctx, const char *id);
size_t st_endpoints(const struct st *ctx, const Dsp__Endpoint ***out);
const Dsp__Node *st_node(const struct st *ctx, const char *id);
size_t st_nodes(const struct st *ctx, const Dsp__Node ***out);
size_t st_orders_pending(const struct st *ctx, const Dsp__Order ***out);
const Dsp__Order *st_order(const struct st *ctx, uint64_t id);
const Dsp__Claim *st_claim(const struct st *ctx, const char *team,
			   const char *request_id);
size_t st_claims_open(const struct st *ctx, const Dsp__Claim ***out);
/* As the command StreamsFind, without a log index. */
Dsp__CommandResult *st_find_streams(const struct st *ctx,
				    const Dsp__StreamsFind *find);
size_t st_streams(const struct st *ctx);
uint64_t st_parts_due_ms(const struct st *ctx);
size_t st_suspects(const struct st *ctx, const Dsp__Suspect ***out);
uint32_t st_free_memory_mb(const struct st *ctx, const char *endpoint,
			   uint32_t accelerator);
uint32_t st_reserved_mb(const struct st *ctx, const char *endpoint,
			uint32_t accelerator, const char *model,
			const char *version, const char *adapter);
/* The arrays that the st_*s() queries return are freed with g_free(). */

/* from_index 0: the whole view. The caller frees the update with
 * dsp__view_update__free_unpacked(). */
Dsp__ViewUpdate *st_view_since(const struct st *ctx, uint64_t from_index);
/* The same for a reader that has the route table of an index, and gets the
 * changes since, if they are known. */
Dsp__ViewUpdate *st_view_since_table(const struct st *ctx, uint64_t from_index,
				     uint64_t table_index);

#endif
