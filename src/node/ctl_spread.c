#include "node/ctl_int.h"

#include "base/log.h"

#include <string.h>

/* Tracks the distribution ("spread") of route tables and documents on the
 * leader, by the view index that each entry reports. */

/* An entry that lacks a route table for longer is logged. Acknowledged tables
 * are in force everywhere within two seconds. */
#define LATE_AFTER_US (2LL * CTL_S_US)

/* Longest time that a result is held back after its commit. An operator's call
 * times out after one second, and the table is durable even if some entries
 * lack it. */
#define RESULT_HOLD_MAX_US 500000
/* The same for a leaving endpoint, with more than HOLD_ENDPOINTS endpoints. Its
 * call times out after one second, and it must get no new request 2.5 s after
 * the acknowledgement, which holds even if the leader fails then. */
#define LEAVING_HOLD_MAX_US 200000
#define HOLD_ENDPOINTS 256
/* Report intervals without a report after which the leader does not wait for an
 * entry. Such an entry has lost the leader and queries others for a newer
 * view. */
#define CONTACT_REPORT_INTERVALS 3

/* The result of a committed command whose change some entries may lack. */
struct ctl_held_result {
	TAILQ_ENTRY(ctl_held_result) link;
	struct ctl_waiter *waiter;  /* owned */
	Dsp__CommandResult *result; /* owned */
	int64_t until_us;
};

static bool is_entry(const Dsp__Node *node)
{
	return node->http_address[0] && !node->down;
}

/* Returns an entry that has not reported the newest route table, or NULL. */
static const Dsp__Node *find_lagging_entry(struct ctl *ctx,
					   const Dsp__Node **nodes, size_t n)
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

static void report_late_table(struct ctl *ctx, uint64_t number,
			      const char *entry)
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

static void report_table_done(struct ctl *ctx, uint64_t number)
{
	int64_t took_us = ctx->now_us - ctx->spread_since_us;

	ctx->spread = CTL_SPREAD_DONE;
	met_observe_us(ctx->met, "dandelionspar_table_spread_us", "", took_us);
	LOG_EVENT_NOTICE("ctl", "table_everywhere",
			 "number=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT
			 " took_us=%" G_GINT64_FORMAT,
			 number, ctx->spread_index, took_us);
}

/* ---- Results held back until the entries have the change ---- */

static void release_result(struct ctl *ctx, struct ctl_held_result *held)
{
	TAILQ_REMOVE(&ctx->held_results, held, link);
	ctl_raft_finish_waiter(ctx, held->waiter, held->result);
	g_free(held);
}

/* Returns the lowest view index of the entries in contact with the leader. */
static uint64_t lowest_view_index(struct ctl *ctx, const Dsp__Node **nodes,
				  size_t n)
{
	int64_t limit_us = CONTACT_REPORT_INTERVALS * 1000LL *
			   ctx->set->report_interval_ms;
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

static void release_results(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	uint64_t lowest = lowest_view_index(ctx, nodes, n);
	struct ctl_held_result *held;
	struct ctl_held_result *next;

	for (held = TAILQ_FIRST(&ctx->held_results); held; held = next) {
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
		release_result(ctx, held);
	}
}

/*
 * Holds back the result of a committed command until all entries in contact
 * report a view with the change, for at most RESULT_HOLD_MAX_US. Without this,
 * a leader could fail right after it acknowledged a route table that no entry
 * has, and the entries would use the old one for an election and more.
 */
void ctl_spread_hold(struct ctl *ctx, struct ctl_waiter *waiter,
		     Dsp__CommandResult *result)
{
	struct ctl_held_result *held = g_new0(struct ctl_held_result, 1);

	held->waiter = waiter;
	held->result = result;
	held->until_us =
		ctx->now_us +
		(waiter->leaving && view_n_endpoints(ctx->view) > HOLD_ENDPOINTS
			 ? LEAVING_HOLD_MAX_US
			 : RESULT_HOLD_MAX_US);
	TAILQ_INSERT_TAIL(&ctx->held_results, held, link);
}

/* ---- Leadership ---- */

/* Resets the tracking at the start of a leadership. */
void ctl_spread_start(struct ctl *ctx)
{
	ctx->spread_index = 0;
	ctx->spread = CTL_SPREAD_DONE;
}

/* Releases all results. They are committed, and the next leader distributes
 * the changes. */
void ctl_spread_stop(struct ctl *ctx)
{
	while (!TAILQ_EMPTY(&ctx->held_results))
		release_result(ctx, TAILQ_FIRST(&ctx->held_results));
}

/* Measures the time from the commit of the newest route table until all entries
 * have it. */
static void track_table(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	const Dsp__Node *lagging;

	if (!table)
		return;
	if (table->index != ctx->spread_index) {
		ctx->spread_index = table->index;
		ctx->spread_since_us = ctx->now_us;
		ctx->spread = CTL_SPREAD_RUNNING;
	}
	if (ctx->spread == CTL_SPREAD_DONE)
		return;
	lagging = find_lagging_entry(ctx, nodes, n);
	if (!lagging)
		report_table_done(ctx, table->number);
	else if (ctx->spread == CTL_SPREAD_RUNNING &&
		 ctx->now_us - ctx->spread_since_us > LATE_AFTER_US)
		report_late_table(ctx, table->number, lagging->id);
}

/* Evaluates the entries' reports. */
void ctl_spread_run(struct ctl *ctx)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	const Dsp__Node **nodes;
	size_t n;

	if (ctx->spread == CTL_SPREAD_DONE && TAILQ_EMPTY(&ctx->held_results) &&
	    (!table || table->index == ctx->spread_index))
		return;
	n = st_nodes(ctx->st, &nodes);
	track_table(ctx, nodes, n);
	release_results(ctx, nodes, n);
	g_free(nodes);
}
