#include "node/ctl_int.h"

#include "base/log.h"

/* Distribution of the newest route table, as the leader learns it from the
 * reports of the entries. */

/* An entry that lacks a table for longer is named in the log. Acknowledged
 * tables are in force everywhere within two seconds. */
#define LATE_US (2LL * CTL_S_US)

static bool is_entry(const Dsp__Node *node)
{
	return node->http_address[0] && !node->down;
}

/* Returns an entry that has not reported the table yet, or NULL. */
static const Dsp__Node *find_behind(struct ctl *ctx, const Dsp__Node **nodes,
				    size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const struct ctl_member *m;

		if (!is_entry(nodes[i]) ||
		    !g_strcmp0(nodes[i]->id, ctx->set->id))
			continue;
		m = g_hash_table_lookup(ctx->members, nodes[i]->id);
		if (!m || m->view_index < ctx->spread_index)
			return nodes[i];
	}
	return NULL;
}

static void note_late(struct ctl *ctx, uint64_t number, const char *entry)
{
	const struct ctl_member *m = g_hash_table_lookup(ctx->members, entry);

	ctx->spread = CTL_SPREAD_LATE;
	met_count(ctx->met, "dandelionspar_tables_late", "", 1);
	LOG_EVENT_WARN("ctl", "table_late",
		       "number=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT
		       " entry=%s entry_view=%" G_GUINT64_FORMAT
		       " heard_ago_us=%" G_GINT64_FORMAT,
		       number, ctx->spread_index, entry, m ? m->view_index : 0,
		       m && m->heard_us ? ctx->now_us - m->heard_us
					: (gint64)-1);
}

static void note_done(struct ctl *ctx, uint64_t number)
{
	int64_t took_us = ctx->now_us - ctx->spread_since_us;

	ctx->spread = CTL_SPREAD_DONE;
	met_observe_us(ctx->met, "dandelionspar_table_spread_us", "", took_us);
	LOG_EVENT_NOTICE("ctl", "table_everywhere",
			 "number=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT
			 " took_us=%" G_GINT64_FORMAT,
			 number, ctx->spread_index, took_us);
}

/* Begins anew with this leadership. */
void ctl_spread_start(struct ctl *ctx)
{
	ctx->spread_index = 0;
	ctx->spread = CTL_SPREAD_DONE;
}

/* Measures the time from the commit of the newest table to the last entry. */
void ctl_spread_run(struct ctl *ctx)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	const Dsp__Node **nodes;
	const Dsp__Node *behind;
	size_t n;

	if (!table)
		return;
	if (table->index != ctx->spread_index) {
		ctx->spread_index = table->index;
		ctx->spread_since_us = ctx->now_us;
		ctx->spread = CTL_SPREAD_RUNNING;
	}
	if (ctx->spread == CTL_SPREAD_DONE)
		return;
	n = st_nodes(ctx->st, &nodes);
	behind = find_behind(ctx, nodes, n);
	if (!behind)
		note_done(ctx, table->number);
	else if (ctx->spread == CTL_SPREAD_RUNNING &&
		 ctx->now_us - ctx->spread_since_us > LATE_US)
		note_late(ctx, table->number, behind->id);
	g_free(nodes);
}
