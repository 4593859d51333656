#include "core/st.h"

#include <string.h>

#include "core/st_private.h"

const struct st_limits st_default_limits = {
	.claims_max = 1000000,
	.claim_bodies_bytes = 64ull << 20,
	.claim_body_bytes = 64u << 10,
	.claim_retention_ms = 24ll * 3600 * 1000,
	.quarantine_ms = 3600ll * 1000,
};

/* Initializes ctx as an empty state; its limits must be set. */
void st_init(struct st *ctx)
{
	struct st_limits limits = ctx->limits;

	memset(ctx, 0, sizeof(*ctx));
	ctx->limits = limits;
	TAILQ_INIT(&ctx->items);
	TAILQ_INIT(&ctx->tombstones);
	TAILQ_INIT(&ctx->documents);
	TAILQ_INIT(&ctx->endpoints);
	TAILQ_INIT(&ctx->nodes);
	TAILQ_INIT(&ctx->pending);
	TAILQ_INIT(&ctx->finished);
	TAILQ_INIT(&ctx->suspects);
	TAILQ_INIT(&ctx->parts);
	TAILQ_INIT(&ctx->streams);
	ctx->parts_due_ms = UINT64_MAX;
	ctx->tombstone_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->document_by_team = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->endpoint_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->endpoints_by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	ctx->node_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->order_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->reservation_by_key =
		g_hash_table_new(reservation_key_hash, reservation_key_equal);
	ctx->model_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  model_reservations_free);
	ctx->suspect_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->stream_by_digest = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->claims = clm_new(&ctx->limits);
}

/* Frees all records; only st_init() or freeing ctx may follow. */
void st_clear(struct st *ctx)
{
	ord_clear(ctx);
	qua_clear(ctx);
	endpoints_clear(ctx);
	nodes_clear(ctx);
	documents_clear(ctx);
	table_clear(ctx);
	streams_clear(ctx);
	tombstones_clear(ctx);
	clm_free(ctx->claims);
	g_hash_table_destroy(ctx->tombstone_by_id);
	g_hash_table_destroy(ctx->document_by_team);
	g_hash_table_destroy(ctx->endpoint_by_id);
	g_hash_table_destroy(ctx->endpoints_by_address);
	g_hash_table_destroy(ctx->node_by_id);
	g_hash_table_destroy(ctx->order_by_id);
	g_hash_table_destroy(ctx->reservation_by_key);
	g_hash_table_destroy(ctx->model_by_key);
	g_hash_table_destroy(ctx->suspect_by_key);
	g_hash_table_destroy(ctx->stream_by_digest);
}

/* Creates an empty state. limits NULL: st_default_limits. */
struct st *st_new(const struct st_limits *limits)
{
	struct st *ctx = g_new0(struct st, 1);

	ctx->limits = limits ? *limits : st_default_limits;
	st_init(ctx);
	return ctx;
}

/* Frees the state; NULL is allowed. */
void st_free(struct st *ctx)
{
	if (!ctx)
		return;
	st_clear(ctx);
	g_free(ctx);
}

/* Returns a new result with the current index; message may be NULL. */
Dsp__CommandResult *st_result(const struct st *ctx, Dsp__ResultCode code,
			      const char *message)
{
	Dsp__CommandResult *result = g_new(Dsp__CommandResult, 1);

	dsp__command_result__init(result);
	result->code = code;
	result->index = ctx->index;
	if (message)
		result->message = g_strdup(message);
	return result;
}

/* Replaces a string field of a message that owns its strings. */
void st_replace_string(char **field, const char *value)
{
	if (!strcmp(*field, value))
		return;
	if (*field != (char *)protobuf_c_empty_string)
		g_free(*field);
	*field = g_strdup(value);
}

/* Whether text is an identifier: [a-z0-9][a-z0-9._-]{0,62}. */
bool st_is_identifier(const char *text)
{
	size_t len = strlen(text);

	if (len < 1 || len > 63 || strchr("._-", text[0]))
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

/*
 * Whether the current command advanced the state's clock past a multiple of
 * interval_ms. Unlike a stored time of the last check, this needs no field in
 * the snapshot.
 */
bool st_crossed_interval(const struct st *ctx, uint64_t interval_ms)
{
	return ctx->previous_wall_ms / interval_ms !=
	       ctx->wall_ms / interval_ms;
}

static Dsp__CommandResult *dispatch(struct st *ctx, const Dsp__Command *command)
{
	switch (command->body_case) {
	case DSP__COMMAND__BODY_DOCUMENT_PUT:
		return document_put(ctx, command->document_put);
	case DSP__COMMAND__BODY_ENDPOINT_PUT:
		return endpoint_put(ctx, command->endpoint_put);
	case DSP__COMMAND__BODY_ENDPOINT_DOWN:
		return endpoint_down(ctx, command->endpoint_down);
	case DSP__COMMAND__BODY_ORDER_CREATE:
		return ord_create(ctx, command->order_create);
	case DSP__COMMAND__BODY_ORDER_FINISH:
		return ord_finish(ctx, command->order_finish);
	case DSP__COMMAND__BODY_RESIDENCY_REPORT:
		return ord_report(ctx, command->residency_report);
	case DSP__COMMAND__BODY_CLAIM_CREATE:
		return clm_create(ctx, command->claim_create);
	case DSP__COMMAND__BODY_CLAIM_FINISH:
		return clm_finish(ctx, command->claim_finish);
	case DSP__COMMAND__BODY_CLAIM_GET:
		return clm_get(ctx, command->claim_get);
	case DSP__COMMAND__BODY_CRASH_REPORT:
		return qua_crash(ctx, command->crash_report);
	case DSP__COMMAND__BODY_SUSPECT_RUN:
		return qua_run(ctx, command->suspect_run);
	case DSP__COMMAND__BODY_SUSPECT_DONE:
		return qua_done(ctx, command->suspect_done);
	case DSP__COMMAND__BODY_PART_EVIDENCE:
		return qua_part_evidence(ctx, command->part_evidence);
	case DSP__COMMAND__BODY_NODE_PUT:
		return node_put(ctx, command->node_put);
	case DSP__COMMAND__BODY_NODE_DOWN:
		return node_down(ctx, command->node_down);
	case DSP__COMMAND__BODY_ROUTE_TABLE_PUT:
		return table_put(ctx, command->route_table_put);
	case DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT:
		return table_change_put(ctx, command->route_table_change_put);
	case DSP__COMMAND__BODY_ROUTE_TABLE_GET:
		return table_get(ctx);
	case DSP__COMMAND__BODY_STREAMS_BEGUN:
		return streams_begun(ctx, command->streams_begun);
	case DSP__COMMAND__BODY_STREAMS_FIND:
		return st_find_streams(ctx, command->streams_find);
	case DSP__COMMAND__BODY_EXPIRE:
		return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
	default:
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "command of unknown kind");
	}
}

/*
 * Applies one committed command at its log index, which must be above that of
 * the previous command. Time limits are applied first, so that all replicas
 * evaluate the command at the same time. Returns a new result.
 */
Dsp__CommandResult *st_apply(struct st *ctx, uint64_t index,
			     const Dsp__Command *command)
{
	if (index <= ctx->index)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "log index was applied before");
	clm_release_queries(ctx->claims);
	ctx->index = index;
	ctx->previous_wall_ms = ctx->wall_ms;
	if (command->wall_ms > ctx->wall_ms)
		ctx->wall_ms = command->wall_ms;
	clm_expire(ctx->claims, ctx->wall_ms);
	qua_expire(ctx);
	endpoints_expire(ctx);
	nodes_expire(ctx);
	streams_expire(ctx);
	return dispatch(ctx, command);
}

/* Returns the log index of the last applied command; 0: none. */
uint64_t st_index(const struct st *ctx)
{
	return ctx->index;
}

/* Returns the highest wall-clock time of all applied commands. */
int64_t st_wall_ms(const struct st *ctx)
{
	return (int64_t)ctx->wall_ms;
}

/* Returns the claim of a request in any state, or NULL. */
const Dsp__Claim *st_claim(const struct st *ctx, const char *team,
			   const char *request_id)
{
	return clm_query(ctx->claims, team, request_id);
}

/* Lists the claims that have no outcome yet, oldest first. */
size_t st_claims_open(const struct st *ctx, const Dsp__Claim ***out)
{
	return clm_query_open(ctx->claims, out);
}
