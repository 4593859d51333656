#include "node/ctl_int.h"

#include "base/log.h"

#include <string.h>

/* Tracks the distribution ("spread") of route tables and documents on the
 * leader, by the view index that each entry reports. */

/* An entry that lacks a route table for longer is logged. Acknowledged tables
 * are in force everywhere within two seconds. */
#define LATE_AFTER_US (2LL * CTL_S_US)

/* A result that is held back for longer is logged with the entry that it waits
 * for. */
#define LONG_HOLD_US 500000
/* Report intervals without a report after which the leader does not wait for an
 * entry that has reported at each of them. */
#define CONTACT_REPORT_INTERVALS 3

/* The result of a committed command whose change some entries may lack. */
struct ctl_held_result {
	TAILQ_ENTRY(ctl_held_result) link;
	struct ctl_waiter *waiter;  /* owned */
	Dsp__CommandResult *result; /* owned */
	int64_t since_us;
	bool reported; /* as held back for long */
};

/* What the entries have that acknowledgements wait for. */
struct contact {
	uint64_t lowest_view;
	const char *slowest; /* entry with lowest_view; NULL: none is behind */
	unsigned left_out;   /* entries that are not waited for */
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

static bool is_in_contact(const struct ctl *ctx, const struct ctl_member *m)
{
	int64_t interval_us = ctx->set->report_interval_ms * 1000LL;
	struct ctl_contact entry = {
		.heard_us = m ? m->heard_read_us : 0,
		.confirmed_age_us = m ? m->confirmed_age_ms * 1000LL : 0,
		.isolated_after_us = ctx->set->isolated_after_ms * 1000LL,
		.query_after_us = ctl_report_upstream_limit_us(ctx),
		.limit_us = CONTACT_REPORT_INTERVALS * interval_us,
		.query_limit_us = MAX(CONTACT_REPORT_INTERVALS * interval_us,
				      ctl_up_longest_interval_us(interval_us) +
					      interval_us),
	};

	return ctl_rule_in_contact(&entry, ctx->leader_since_read_us,
				   ctx->read_us);
}

static struct contact entries_in_contact(struct ctl *ctx,
					 const Dsp__Node **nodes, size_t n)
{
	struct contact contact = { .lowest_view = view_index(ctx->view) };

	for (size_t i = 0; i < n; i++) {
		const struct ctl_member *m =
			g_hash_table_lookup(ctx->members, nodes[i]->id);
		uint64_t index = m ? m->view_index : 0;

		if (!is_entry(nodes[i]) || !strcmp(nodes[i]->id, ctx->set->id))
			continue;
		if (!is_in_contact(ctx, m)) {
			contact.left_out++;
		} else if (index < contact.lowest_view) {
			contact.lowest_view = index;
			contact.slowest = nodes[i]->id;
		}
	}
	return contact;
}

static void report_long_hold(struct ctl *ctx, struct ctl_held_result *held,
			     const struct contact *contact)
{
	const struct ctl_member *m =
		contact->slowest
			? g_hash_table_lookup(ctx->members, contact->slowest)
			: NULL;

	held->reported = true;
	met_count(ctx->met, "dandelionspar_results_held_long", "", 1);
	LOG_EVENT_NOTICE(
		"ctl", "result_held_long",
		"index=%" G_GUINT64_FORMAT " lowest_view=%" G_GUINT64_FORMAT
		" entry=%s heard_ago_us=%" G_GINT64_FORMAT
		" entry_view_age_ms=%u left_out=%u",
		held->result->index, contact->lowest_view,
		contact->slowest ? contact->slowest : "-",
		m && m->heard_us ? ctx->now_us - m->heard_us : (gint64)-1,
		m ? m->confirmed_age_ms : UINT32_MAX, contact->left_out);
}

static void report_release(struct ctl *ctx, const struct ctl_held_result *held,
			   const struct contact *contact)
{
	int64_t held_us = ctx->now_us - held->since_us;

	met_observe_us(ctx->met, "dandelionspar_result_held_us", "", held_us);
	LOG_EVENT_INFO("ctl", "result_released",
		       "index=%" G_GUINT64_FORMAT
		       " lowest_view=%" G_GUINT64_FORMAT
		       " held_us=%" G_GINT64_FORMAT
		       " left_out=%u quorum_age_us=%" G_GINT64_FORMAT,
		       held->result->index, contact->lowest_view, held_us,
		       contact->left_out,
		       ctx->now_us - raft_quorum_contact_us(ctx->raft));
}

/* Releases the results whose changes the entries have. A leader that may have
 * been deposed has lost the reports of all entries to the next one, so it does
 * not know that. */
static void release_results(struct ctl *ctx, const Dsp__Node **nodes, size_t n)
{
	struct contact contact = entries_in_contact(ctx, nodes, n);
	struct ctl_held_result *held;
	struct ctl_held_result *next;

	if (!ctl_raft_leads(ctx))
		return;

	for (held = TAILQ_FIRST(&ctx->held_results); held; held = next) {
		next = TAILQ_NEXT(held, link);
		if (held->result->index <= contact.lowest_view) {
			report_release(ctx, held, &contact);
			release_result(ctx, held);
		} else if (!held->reported &&
			   ctx->now_us - held->since_us > LONG_HOLD_US) {
			report_long_hold(ctx, held, &contact);
		}
	}
}

/*
 * Holds back the result of a committed command until all entries in contact
 * report a view with the change. A caller that gives up first gets no
 * acknowledgement, and one that sends the change again waits for the same
 * index, which the entries approach meanwhile.
 */
void ctl_spread_hold(struct ctl *ctx, struct ctl_waiter *waiter,
		     Dsp__CommandResult *result)
{
	struct ctl_held_result *held = g_new0(struct ctl_held_result, 1);

	held->waiter = waiter;
	held->result = result;
	held->since_us = ctx->now_us;
	TAILQ_INSERT_TAIL(&ctx->held_results, held, link);
}

/* ---- Tables that came into force ---- */

/* Notes a table that a committed command has put in force. */
void ctl_spread_note_table(struct ctl *ctx, uint64_t number, uint64_t index)
{
	ctx->tables[ctx->n_tables++ % CTL_TABLES_KEPT] =
		(struct ctl_table){ .number = number, .index = index };
}

/* Returns the index of a view that has the table with this number or a later
 * one. There must be such a table in force. */
uint64_t ctl_spread_index_of(const struct ctl *ctx, uint64_t number)
{
	return ctl_rule_table_index(ctx->tables,
				    MIN(ctx->n_tables, CTL_TABLES_KEPT), number,
				    st_route_table(ctx->st)->index);
}

/* ---- Leadership ---- */

/* Resets the tracking at the start of a leadership. */
void ctl_spread_start(struct ctl *ctx)
{
	ctx->spread_index = 0;
	ctx->spread = CTL_SPREAD_DONE;
}

/* Ends the wait for all results without an acknowledgement. They are committed,
 * but only the next leader can tell when the entries have the changes. */
void ctl_spread_stop(struct ctl *ctx)
{
	struct ctl_held_result *held;

	while ((held = TAILQ_FIRST(&ctx->held_results))) {
		TAILQ_REMOVE(&ctx->held_results, held, link);
		ctl_raft_abandon_waiter(ctx, held->waiter, held->result);
		g_free(held);
	}
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
	const Dsp__RouteTable *table;
	const Dsp__Node **nodes;
	size_t n;

	if (!ctx->ready_leader)
		return;
	table = st_route_table(ctx->st);
	if (ctx->spread == CTL_SPREAD_DONE && TAILQ_EMPTY(&ctx->held_results) &&
	    (!table || table->index == ctx->spread_index))
		return;
	n = st_nodes(ctx->st, &nodes);
	track_table(ctx, nodes, n);
	release_results(ctx, nodes, n);
	g_free(nodes);
}
