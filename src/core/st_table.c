#include <string.h>
#include <xxhash.h>

#include "base/msg.h"
#include "core/st_private.h"
#include "core/tbl.h"
#include "core/txt.h"

/* There is one table, so its view record has a fixed key. */
#define TABLE_KEY "routes"

/* Takes the table and the data of its source. */
static void table_set(struct st *ctx, struct tbl *tbl,
		      ProtobufCBinaryData source)
{
	table_clear(ctx);
	ctx->tbl = tbl;
	ctx->table = tbl_table(tbl);
	ctx->table_source = source;
	item_insert(ctx, &ctx->table_item, DSP__VIEW_RECORD__BODY_ROUTE_TABLE,
		    TABLE_KEY, ctx->table, ctx->table->index);
}

static ProtobufCBinaryData source_of(const Dsp__RouteTable *table)
{
	return (ProtobufCBinaryData){
		.len = table->source.len,
		.data = g_memdup2(table->source.data, table->source.len),
	};
}

/* Returns the result of a command whose table does not come into force. */
static Dsp__CommandResult *table_same(const struct st *ctx)
{
	Dsp__CommandResult *result =
		st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);

	result->number = ctx->table->number;
	result->index = ctx->table->index;
	return result;
}

/* Returns the result of a command whose table is in force now. */
static Dsp__CommandResult *table_in_force(const struct st *ctx)
{
	Dsp__CommandResult *result =
		st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);

	result->number = ctx->table->number;
	return result;
}

/*
 * Puts a route table in force if its number is the highest so far. Any other
 * one returns RESULT_SAME without effect: it is a resend, or a newer table was
 * committed first.
 */
Dsp__CommandResult *table_put(struct st *ctx, const Dsp__RouteTablePut *cmd)
{
	Dsp__RouteTable table;

	if (!cmd->table)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "no route table");
	if (ctx->table && cmd->table->number <= ctx->table->number)
		return table_same(ctx);
	table = *cmd->table;
	table.index = ctx->index;
	table_set(ctx, tbl_new(ctx->tbl, &table), source_of(&table));
	return table_in_force(ctx);
}

static XXH128_canonical_t source_digest(const ProtobufCBinaryData *source)
{
	XXH128_canonical_t digest;

	XXH128_canonicalFromHash(&digest,
				 XXH3_128bits(source->data, source->len));
	return digest;
}

static bool source_apply(const struct st *ctx,
			 const Dsp__RouteTableChangePut *cmd,
			 ProtobufCBinaryData *out)
{
	XXH128_canonical_t digest;

	if (!txt_apply(&ctx->table_source, cmd->source, cmd->n_source, out))
		return false;
	digest = source_digest(out);
	if (cmd->source_digest.len == sizeof(digest) &&
	    !memcmp(cmd->source_digest.data, &digest, sizeof(digest)))
		return true;
	g_free(out->data);
	return false;
}

/* As table_put(), for a table that is a change of the one in force. A change of
 * another table, or with another result, has no effect. */
Dsp__CommandResult *table_change_put(struct st *ctx,
				     const Dsp__RouteTableChangePut *cmd)
{
	Dsp__RouteTableSteps steps = DSP__ROUTE_TABLE_STEPS__INIT;
	Dsp__RouteTableChange *list[] = { cmd->change };
	ProtobufCBinaryData source;
	struct tbl *tbl;

	if (!cmd->change)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "no change of the route table");
	if (ctx->table && cmd->change->number <= ctx->table->number)
		return table_same(ctx);
	if (!ctx->table || cmd->change->base_index != ctx->table->index ||
	    cmd->change->index != ctx->index)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "the change is for another route table");
	steps.n_steps = G_N_ELEMENTS(list);
	steps.steps = list;
	tbl = tbl_apply(ctx->tbl, &steps, NULL);
	if (!tbl || !source_apply(ctx, cmd, &source)) {
		tbl_unref(tbl);
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "the result of the change has another digest");
	}
	table_set(ctx, tbl, source);
	return table_in_force(ctx);
}

/*
 * Returns a new command that changes the table in force to a newer one at a log
 * index, or NULL if there is none in force or the command would not be smaller
 * than the table.
 */
Dsp__RouteTableChangePut *st_table_change(const struct st *ctx,
					  const Dsp__RouteTable *table,
					  uint64_t index)
{
	Dsp__RouteTableChange *change = NULL;
	Dsp__RouteTableChangePut *cmd;
	XXH128_canonical_t digest;
	Dsp__RouteTable next = *table;
	GPtrArray *pieces;

	next.index = index;
	if (ctx->table && table->number > ctx->table->number)
		change = tbl_change(ctx->tbl, &next);
	if (!change)
		return NULL;
	cmd = g_new(Dsp__RouteTableChangePut, 1);
	dsp__route_table_change_put__init(cmd);
	cmd->change = change;
	pieces = txt_diff(&ctx->table_source, &table->source);
	cmd->n_source = pieces->len;
	g_ptr_array_set_free_func(pieces, NULL);
	cmd->source = (Dsp__TextPiece **)g_ptr_array_free(pieces, FALSE);
	digest = source_digest(&table->source);
	cmd->source_digest.len = sizeof(digest);
	cmd->source_digest.data = g_memdup2(&digest, sizeof(digest));
	return cmd;
}

/* Returns the table in force with its source; RESULT_NOT_FOUND: none yet. */
Dsp__CommandResult *table_get(const struct st *ctx)
{
	Dsp__CommandResult *result;

	if (!ctx->table)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND, NULL);
	result = st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
	result->number = ctx->table->number;
	result->route_table = g_new(Dsp__RouteTable, 1);
	dsp__route_table__init(result->route_table);
	result->route_table->number = ctx->table->number;
	result->route_table->index = ctx->table->index;
	result->route_table->source.len = ctx->table_source.len;
	result->route_table->source.data =
		g_memdup2(ctx->table_source.data, ctx->table_source.len);
	return result;
}

/* Restores the table from a snapshot. */
void table_restore(struct st *ctx, const Dsp__RouteTable *table)
{
	table_set(ctx, tbl_new(ctx->tbl, table), source_of(table));
}

/* Frees the table, if there is one. */
void table_clear(struct st *ctx)
{
	if (!ctx->tbl)
		return;
	TAILQ_REMOVE(&ctx->items, &ctx->table_item, link);
	tbl_unref(ctx->tbl);
	g_free(ctx->table_source.data);
	ctx->tbl = NULL;
	ctx->table = NULL;
	ctx->table_source = (ProtobufCBinaryData){ 0 };
}

/* Returns the table in force without its source, or NULL. */
const Dsp__RouteTable *st_route_table(const struct st *ctx)
{
	return ctx->table;
}

/* Returns the version of the table in force, for views to share, or NULL. The
 * caller takes a reference if it keeps it. */
struct tbl *st_route_table_version(const struct st *ctx)
{
	return ctx->tbl;
}
