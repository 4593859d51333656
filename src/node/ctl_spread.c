#include "node/ctl_int.h"

#include "base/log.h"

#include <string.h>

/* Distribution of route tables and documents, as the leader learns it from the
 * reports of the entries. */

/* An entry that lacks a table for longer is named in the log. Acknowledged
 * tables are in force everywhere within two seconds. */
#define LATE_US (2LL * CTL_S_US)

/* A result is held no longer than this after its commit: operators give a call
 * one second, and a table is durable whether an entry has it or not. */
#define HOLD_US 500000
/* Report intervals without a report after which an entry is not waited for. It
 * has lost the leader and asks others for a newer view. */
#define CONTACT_REPORTS 3

/* A result of a command that is in force here, but perhaps not at all entries.
 */
struct ctl_held {
	TAILQ_ENTRY(ctl_held) link;
	struct ctl_waiter *waiter;  /* owned */
	Dsp__CommandResult *result; /* owned */
	int64_t until_us;
};

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

		if (!is_entry(nodes[i]) || !strcmp(nodes[i]->id, ctx->set->id))
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

/* ---- Results that wait for entries ---- */

static void release(struct ctl *ctx, struct ctl_held *held)
{
	TAILQ_REMOVE(&ctx->held, held, link);
	ctl_raft_answer(ctx, held->waiter, held->result);
	g_free(held);
}

/* Returns the lowest view of the entries that the leader is in contact with. */
static uint64_t lowest_view(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	int64_t limit_us =
		CONTACT_REPORTS * 1000LL * ctx->set->report_interval_ms;
	uint64_t lowest = view_index(ctx->view);

	for (size_t i = 0; i < n; i++) {
		const struct ctl_member *m =
			g_hash_table_lookup(ctx->members, nodes[i]->id);
		int64_t heard_us = ctx->leader_since_us;

		if (m)
			heard_us = MAX(heard_us, m->heard_us);
		if (is_entry(nodes[i]) && ctx->now_us - heard_us <= limit_us &&
		    strcmp(nodes[i]->id, ctx->set->id) != 0)
			lowest = MIN(lowest, m ? m->view_index : 0);
	}
	return lowest;
}

static void run_held(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	uint64_t lowest = lowest_view(ctx, nodes, n);
	struct ctl_held *held;
	struct ctl_held *next;

	for (held = TAILQ_FIRST(&ctx->held); held; held = next) {
		bool everywhere = held->result->index <= lowest;

		next = TAILQ_NEXT(held, link);
		if (!everywhere && ctx->now_us < held->until_us)
			continue;
		if (!everywhere) {
			met_count(ctx->met, "dandelionspar_results_not_held",
				  "", 1);
			LOG_EVENT_NOTICE("ctl", "result_not_held",
					 "index=%" G_GUINT64_FORMAT
					 " lowest_view=%" G_GUINT64_FORMAT,
					 held->result->index, lowest);
		}
		release(ctx, held);
	}
}

/*
 * Keeps the result of a committed command until all entries in contact report
 * its effect, at most HOLD_US. If the leader failed right after it had
 * acknowledged a table that no entry has, the entries would follow the old one
 * for an election and more.
 */
void ctl_spread_hold(struct ctl *ctx, struct ctl_waiter *waiter,
		     Dsp__CommandResult *result)
{
	struct ctl_held *held = g_new0(struct ctl_held, 1);

	held->waiter = waiter;
	held->result = result;
	held->until_us = ctx->now_us + HOLD_US;
	TAILQ_INSERT_TAIL(&ctx->held, held, link);
}

/* ---- Leadership ---- */

/* Begins anew with this leadership. */
void ctl_spread_start(struct ctl *ctx)
{
	ctx->spread_index = 0;
	ctx->spread = CTL_SPREAD_DONE;
}

/* Releases all results: they are committed, and another leader distributes. */
void ctl_spread_stop(struct ctl *ctx)
{
	while (!TAILQ_EMPTY(&ctx->held))
		release(ctx, TAILQ_FIRST(&ctx->held));
}

/* Measures the time from the commit of the newest table to the last entry. */
static void run_table(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	const Dsp__Node *behind;

	if (!table)
		return;
	if (table->index != ctx->spread_index) {
		ctx->spread_index = table->index;
		ctx->spread_since_us = ctx->now_us;
		ctx->spread = CTL_SPREAD_RUNNING;
	}
	if (ctx->spread == CTL_SPREAD_DONE)
		return;
	behind = find_behind(ctx, nodes, n);
	if (!behind)
		note_done(ctx, table->number);
	else if (ctx->spread == CTL_SPREAD_RUNNING &&
		 ctx->now_us - ctx->spread_since_us > LATE_US)
		note_late(ctx, table->number, behind->id);
}

/* Looks at what the entries have reported. */
void ctl_spread_run(struct ctl *ctx)
{
	const Dsp__Node **nodes;
	size_t n = st_nodes(ctx->st, &nodes);

	run_table(ctx, nodes, n);
	run_held(ctx, nodes, n);
	g_free(nodes);
}
