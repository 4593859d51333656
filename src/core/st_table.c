#include "base/msg.h"
#include "core/st_private.h"

/* There is one table, so its view record has a fixed key. */
#define TABLE_KEY "routes"

static Dsp__RouteTable *without_source(const Dsp__RouteTable *table)
{
	Dsp__RouteTable copy = *table;

	copy.source.data = NULL;
	copy.source.len = 0;
	return msg_dup(&copy);
}

static void table_set(struct st *ctx, const Dsp__RouteTable *table)
{
	table_clear(ctx);
	ctx->table = without_source(table);
	ctx->table_source.len = table->source.len;
	ctx->table_source.data =
		g_memdup2(table->source.data, table->source.len);
	item_insert(ctx, &ctx->table_item, DSP__VIEW_RECORD__BODY_ROUTE_TABLE,
		    TABLE_KEY, ctx->table, ctx->table->index);
}

/*
 * Puts a route table in force if its number is the highest so far. Any other
 * one returns RESULT_SAME without effect: it is a resend, or a newer table was
 * committed first.
 */
Dsp__CommandResult *table_put(struct st *ctx, const Dsp__RouteTablePut *cmd)
{
	uint64_t in_force = ctx->table ? ctx->table->number : 0;
	Dsp__CommandResult *result;
	Dsp__RouteTable table;

	if (!cmd->table)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "no route table");
	if (ctx->table && cmd->table->number <= in_force) {
		result = st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);
		result->number = in_force;
		result->index = ctx->table->index;
		return result;
	}
	table = *cmd->table;
	table.index = ctx->index;
	table_set(ctx, &table);
	result = st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
	result->number = table.number;
	return result;
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
	table_set(ctx, table);
}

/* Frees the table, if there is one. */
void table_clear(struct st *ctx)
{
	if (!ctx->table)
		return;
	TAILQ_REMOVE(&ctx->items, &ctx->table_item, link);
	dsp__route_table__free_unpacked(ctx->table, NULL);
	g_free(ctx->table_source.data);
	ctx->table = NULL;
	ctx->table_source = (ProtobufCBinaryData){ 0 };
}

/* Returns the table in force without its source, or NULL. */
const Dsp__RouteTable *st_route_table(const struct st *ctx)
{
	return ctx->table;
}
