#include "node/ctl_int.h"

#include "base/log.h"
#include "base/msg.h"
#include "base/zip.h"

#include <string.h>
#include <xxhash.h>

/* Time for which a relay collects the reports of its site. */
#define RELAY_DELAY_US 100000
/* Delay of a report after a change, so that several changes share it. */
#define CHANGE_DELAY_US 20000
/* A report passes the instance, a relay and a voter that forwards it. */
#define HOPS_MAX 3
/* Delay of a report after a request was refused: callers wait for the model or
 * adapter. */
#define REFUSED_DELAY_US 3000
/* Time without a confirmation after which an upstream counts as failed. */
#define UPSTREAM_LIMIT_US (3LL * CTL_S_US)
/* The same as a share of isolated_after_ms, if that is shorter: another
 * upstream must be able to answer before the instance counts as isolated. */
#define UPSTREAM_LIMIT_PERCENT 60
/* The same before the first confirmed view, when querying others costs nothing
 * and callers wait: a few round trips and the sync of a slow disk. */
#define FIRST_UPSTREAM_LIMIT_US 300000
/* Report interval of an instance without a confirmed view, to request one. */
#define FIRST_REPORT_US 150000
/* A child that sent no report for this time and some report intervals has found
 * another upstream and gets no more updates. */
#define CHILD_LIMIT_US CTL_S_US
#define CHILD_LIMIT_REPORTS 3
/* A child whose index does not grow for this long, though changes were sent,
 * has lost an update. Later losses are assumed after up to
 * 2^UPDATE_LOST_SHIFT_MAX times that: a whole view may take long. */
#define UPDATE_LOST_AFTER_US 500000
#define UPDATE_LOST_SHIFT_MAX 1
/* Shortest interval of updates between the rounds to all children, and of views
 * of the own state. With more than VIEW_ENDPOINTS endpoints it grows with their
 * number, as do the cost of a view and the rate of changes. Changes that are
 * acknowledged only when the entries have them do not wait longer. */
#define PUSH_INTERVAL_US 20000
#define PUSH_INTERVAL_MAX_US 150000
#define VIEW_ENDPOINTS 256
/* Loads in one update, about 14 KB. Section 1 of docs/design.md limits the
 * control traffic of an instance to 25 KB/s. */
#define LOADS_MAX 300
/* A query of an instance without a view, which needs the whole one, is answered
 * by the relay of its site, and by others if it asks for longer. Such an
 * instance queries all control instances at once. */
#define WHOLE_VIEW_DELAY_US 500000
/* Loads in the updates of one round to all children together, about 180 KB, and
 * in each one at least. */
#define ROUND_LOADS_MAX 4000
#define LOADS_MIN 30
/* Shorter updates are sent as they are. */
#define PACK_MIN_BYTES 4096
/* Largest encoded update that is accepted, as in net.c. */
#define UPDATE_BYTES_MAX (64 << 20)
/* Interval at which an unchanged load is repeated, since receivers give less
 * weight to old ones. That of an idle endpoint is not: none counts as little as
 * an old one. */
#define LOAD_REPEAT_US (2LL * CTL_S_US)
/* Results in one announcement. Endpoints repeat the others until they are
 * acknowledged. */
#define RESULTS_MAX 64
/* Interval of views with a new index but no new records, as after claims. */
#define PUBLISH_INTERVAL_US 500000

static const Dsp__RaftConfig *current_config(const struct ctl *ctx)
{
	return ctx->raft ? ctx->applied_config : ctx->config;
}

/* Returns the addresses of the other known voters, then those of the seeds.
 * Free the array with g_free(). */
size_t ctl_report_voters(struct ctl *ctx, const char ***out)
{
	const Dsp__RaftConfig *config = current_config(ctx);
	size_t n = 0;

	*out = g_new0(const char *, (config ? config->n_members : 0) +
					    g_strv_length(ctx->seeds) + 1);
	for (size_t i = 0; config && i < config->n_members; i++)
		if (config->members[i]->voter &&
		    strcmp(config->members[i]->node, ctx->set->id) != 0)
			(*out)[n++] = config->members[i]->address;
	/* All known voters may have been replaced in the meantime. */
	for (size_t i = 0; ctx->seeds[i]; i++) {
		bool known = false;

		for (size_t k = 0; k < n && !known; k++)
			known = !strcmp((*out)[k], ctx->seeds[i]);
		if (!known)
			(*out)[n++] = ctx->seeds[i];
	}
	return n;
}

/* Returns the nodes of the installed view. Free the array with g_free(). */
size_t ctl_report_nodes(struct ctl *ctx, const Dsp__Node ***out)
{
	size_t n = view_n_nodes(ctx->view);

	*out = g_new0(const Dsp__Node *, n + 1);
	for (size_t i = 0; i < n; i++)
		(*out)[i] = view_node_at(ctx->view, i);
	return n;
}

/* Makes the next report due within delay_us. */
void ctl_report_schedule(struct ctl *ctx, int64_t delay_us)
{
	ctx->report_due_us = MIN(ctx->report_due_us, ctx->now_us + delay_us);
}

/*
 * Stores the leader of a term; address NULL or empty: only its id is known. A
 * report is sent to a new leader at once, so that it sends view updates.
 */
void ctl_report_set_leader(struct ctl *ctx, uint64_t term, const char *node,
			   const char *address)
{
	if (term < ctx->term || !node[0])
		return;
	if (term > ctx->term || !ctx->leader_node ||
	    strcmp(ctx->leader_node, node) != 0) {
		g_free(ctx->leader_node);
		ctx->leader_node = g_strdup(node);
		g_clear_pointer(&ctx->leader_address, g_free);
		ctx->term = term;
		ctl_report_schedule(ctx, 0);
	}
	/* A redirect from an instance with an older view may have set another
	 * address. */
	if (address && address[0] &&
	    g_strcmp0(ctx->leader_address, address) != 0) {
		g_free(ctx->leader_address);
		ctx->leader_address = g_strdup(address);
	}
}

/* ---- Upstream ---- */

static const char *own_relay(struct ctl *ctx)
{
	for (guint i = 0; i < ctx->relays->len; i++) {
		const char *id = g_ptr_array_index(ctx->relays, i);
		const Dsp__Node *node = view_node(ctx->view, id);

		if (node && !strcmp(node->site, ctx->set->site))
			return id;
	}
	return NULL;
}

/* Returns the time without a confirmation after which the upstream of an
 * instance that had one counts as failed. */
int64_t ctl_report_upstream_limit_us(const struct ctl *ctx)
{
	int64_t limit_us = (int64_t)ctx->set->isolated_after_ms * 10 *
			   UPSTREAM_LIMIT_PERCENT;

	return MIN(limit_us, UPSTREAM_LIMIT_US);
}

/* Returns the same for this instance's own upstream. */
static int64_t upstream_limit_us(const struct ctl *ctx)
{
	int64_t limit_us = ctl_report_upstream_limit_us(ctx);

	if (!ctx->confirmed_us)
		limit_us = MIN(limit_us, FIRST_UPSTREAM_LIMIT_US);
	return limit_us;
}

static bool follows_leader(const struct ctl *ctx)
{
	return ctx->raft && raft_leader(ctx->raft) && ctx->leader_address;
}

static void log_upstream(const struct ctl *ctx, const char *event)
{
	LOG_EVENT_INFO("ctl", event,
		       "address=%s designated=%s leader=%s "
		       "term=%" G_GUINT64_FORMAT " view=%" G_GUINT64_FORMAT
		       " view_age_ms=%u",
		       ctx->up.address ? ctx->up.address : "none",
		       ctx->up.designated ? ctx->up.designated : "none",
		       ctx->leader_node ? ctx->leader_node : "-", ctx->term,
		       view_index(ctx->view), ctl_confirmed_age_ms(ctx));
}

/* ---- Contents of the next report ---- */

static uint64_t sequence_of(const Dsp__Announcement *a)
{
	return a->load ? a->load->sequence : 0;
}

/* Appends results to an announcement, unless it is full: endpoints repeat
 * them. */
static void append_results(Dsp__Announcement *to, const Dsp__Announcement *from)
{
	if (!from->n_results || to->n_results >= RESULTS_MAX)
		return;
	to->results = g_renew(Dsp__OrderResult *, to->results,
			      to->n_results + from->n_results);
	for (size_t i = 0; i < from->n_results; i++)
		to->results[to->n_results++] = msg_dup(from->results[i]);
}

/* Keeps the newest announcement of each endpoint for the next report. */
static void merge_announcement(struct ctl *ctx, const Dsp__Announcement *a)
{
	Dsp__Announcement *known;
	Dsp__Announcement *copy;

	if (!a->endpoint || !a->endpoint->id[0])
		return;
	known = g_hash_table_lookup(ctx->announcements, a->endpoint->id);
	if (known && known->endpoint->incarnation == a->endpoint->incarnation &&
	    sequence_of(known) > sequence_of(a)) {
		append_results(known, a);
		return;
	}
	copy = msg_dup(a);
	if (known)
		append_results(copy, known);
	g_hash_table_replace(ctx->announcements, g_strdup(a->endpoint->id),
			     copy);
}

static uint64_t announcement_hash(const Dsp__Announcement *a)
{
	size_t len = dsp__endpoint__get_packed_size(a->endpoint);
	g_autofree uint8_t *data = g_malloc(len + 1);

	dsp__endpoint__pack(a->endpoint, data);
	data[len] = a->leaving;
	return XXH3_64bits_withSeed(data, len + 1, a->highest_fence);
}

/*
 * Handles an announcement that this instance received. A change is reported
 * almost at once, since orders wait for it and a leaving endpoint must get no
 * more requests.
 */
void ctl_report_announcement(struct ctl *ctx, const Dsp__Announcement *a)
{
	uint64_t *known;
	uint64_t hash;

	if (!a->endpoint || !a->endpoint->id[0])
		return;
	if (a->from_orders) {
		if (ctx->ready_leader)
			ctl_member_copies(ctx, a);
		return;
	}
	merge_announcement(ctx, a);
	if (a->load && ctx->cb.load)
		ctx->cb.load(ctx->cb.data, a->load);
	hash = announcement_hash(a);
	known = g_hash_table_lookup(ctx->announced, a->endpoint->id);
	if (known && *known == hash && !a->n_results)
		return;
	g_hash_table_replace(ctx->announced, g_strdup(a->endpoint->id),
			     g_memdup2(&hash, sizeof(hash)));
	ctl_report_schedule(ctx, CHANGE_DELAY_US);
}

/* Adds demand to the next report. */
void ctl_report_demand(struct ctl *ctx, const Dsp__Demand *demand)
{
	char *key = g_strdup_printf("%s\n%s\n%s", demand->team, demand->model,
				    demand->adapter);
	Dsp__Demand *sum = g_hash_table_lookup(ctx->demands, key);

	if (demand->refused)
		ctl_report_schedule(ctx, REFUSED_DELAY_US);
	if (!sum) {
		g_hash_table_insert(ctx->demands, key, msg_dup(demand));
		return;
	}
	sum->requests += demand->requests;
	sum->refused += demand->refused;
	sum->late += demand->late;
	sum->service_ms += demand->service_ms;
	g_free(key);
}

/* Adds an engine's prefill tokens and time to the next report. */
void ctl_report_pace(struct ctl *ctx, const Dsp__Pace *pace)
{
	Dsp__Pace *sum = g_hash_table_lookup(ctx->paces, pace->endpoint);

	if (!sum || sum->incarnation != pace->incarnation) {
		g_hash_table_replace(ctx->paces, g_strdup(pace->endpoint),
				     msg_dup(pace));
		return;
	}
	sum->read_tokens += pace->read_tokens;
	sum->read_us += pace->read_us;
}

static bool is_idle(const Dsp__LoadReport *report)
{
	return !report->running && !report->waiting &&
	       !report->kv_used_permille;
}

/* Stores an endpoint's load and marks it for the next update to downstream
 * instances. */
void ctl_report_load(struct ctl *ctx, const Dsp__LoadReport *report)
{
	struct ctl_load *load;
	Dsp__LoadReport *old;

	if (!report->endpoint[0])
		return;
	load = g_hash_table_lookup(ctx->loads, report->endpoint);
	if (!load) {
		load = g_new0(struct ctl_load, 1);
		g_hash_table_insert(ctx->loads, g_strdup(report->endpoint),
				    load);
	}
	old = load->report;
	if (old && old->incarnation == report->incarnation &&
	    old->sequence >= report->sequence)
		return;
	load->report = msg_dup(report);
	load->received_us = ctx->now_us;
	if (ctx->cb.load)
		ctx->cb.load(ctx->cb.data, report);
	if (!load->changed &&
	    (!old || old->running != report->running ||
	     old->waiting != report->waiting ||
	     old->kv_used_permille != report->kv_used_permille ||
	     (!is_idle(report) &&
	      ctx->now_us - load->pushed_us > LOAD_REPEAT_US))) {
		load->changed = true;
		TAILQ_INSERT_TAIL(&ctx->changed_loads, load, link);
	}
	if (old)
		dsp__load_report__free_unpacked(old, NULL);
}

/* Keeps a newer load for the instances that report here and for this one. */
static void keep_observed_load(struct ctl *ctx, const Dsp__LoadReport *report)
{
	if (occ_put(ctx->observed_down, report, ctx->now_us) &&
	    ctx->cb.observed_load)
		ctx->cb.observed_load(ctx->cb.data, report);
}

/* Adds a load to the next report; the leader has nobody to report to. */
static void forward_observed_load(struct ctl *ctx,
				  const Dsp__LoadReport *report)
{
	if (!ctx->ready_leader)
		occ_put(ctx->observed_up, report, ctx->now_us);
}

/* Handles a load that an answer to this instance carried. */
void ctl_report_observed_load(struct ctl *ctx, const Dsp__LoadReport *report)
{
	occ_put(ctx->observed_down, report, ctx->now_us);
	forward_observed_load(ctx, report);
}

/* ---- Sending reports ---- */

/* Returns the log index of the route table in the view; 0: none. */
static uint64_t table_index(const struct ctl *ctx)
{
	const Dsp__RouteTable *table = view_route_table(ctx->view);

	return table ? table->index : 0;
}

static void fill_status(struct ctl *ctx, Dsp__NodeStatus *status,
			Dsp__Node *node)
{
	const struct set *set = ctx->set;

	dsp__node_status__init(status);
	dsp__node__init(node);
	node->id = set->id;
	node->boot = ctx->boot;
	node->site = set->site;
	node->region = set->region ? set->region : "";
	node->internal_address = set->internal_advertise;
	node->http_address = set->http_advertise ? set->http_advertise : "";
	if (set->has_edge)
		node->http_address = set->edge.front ? set->edge.front : "";
	if (set->has_edge && set->edge.announce)
		node->announce_address = set->edge.announce;
	if (set->has_edge && set->edge.front)
		node->detour_port = set->edge.detour_port;
	node->weight = set->weight;
	node->control = set->control;
	node->draining = ctl_is_draining(ctx);
	node->log_format = CTL_LOG_FORMAT;
	status->node = node;
	status->view_index = view_index(ctx->view);
	status->streams = ctx->cb.streams ? ctx->cb.streams(ctx->cb.data) : 0;
	status->confirmed_age_ms = ctl_confirmed_age_ms(ctx);
	if (!ctx->needs_whole_table)
		status->table_index = table_index(ctx);
	status->reads_packed = true;
}

static void *const *table_values(GHashTable *table, size_t *n)
{
	GHashTableIter iter;
	void **values = g_new0(void *, g_hash_table_size(table) + 1);
	void *value;

	*n = 0;
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		values[(*n)++] = value;
	return values;
}

/* Returns the clock for a report sent now. */
static uint64_t sent_us(const struct ctl *ctx)
{
	return lse_sent_us(&ctx->lease_clock, ctx->now_us);
}

static void send_report(struct ctl *ctx)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__Report report = DSP__REPORT__INIT;
	Dsp__NodeStatus own;
	Dsp__Node node;
	Dsp__NodeStatus **statuses;
	Dsp__LoadReport *loads[LOADS_MAX];
	void *const *children;
	size_t n;

	fill_status(ctx, &own, &node);
	children = table_values(ctx->statuses, &n);
	statuses = g_new0(Dsp__NodeStatus *, n + 1);
	statuses[0] = &own;
	for (size_t i = 0; i < n; i++)
		statuses[i + 1] = children[i];
	report.nodes = statuses;
	report.n_nodes = n + 1;
	report.announcements = (Dsp__Announcement **)table_values(
		ctx->announcements, &report.n_announcements);
	report.demands =
		(Dsp__Demand **)table_values(ctx->demands, &report.n_demands);
	report.paces = (Dsp__Pace **)table_values(ctx->paces, &report.n_paces);
	report.hops = ctx->report_hops;
	report.sent_us = sent_us(ctx);
	report.observed_loads = loads;
	report.n_observed_loads =
		occ_take(ctx->observed_up, loads, LOADS_MAX, ctx->now_us);
	out.body_case = DSP__ENVELOPE__BODY_REPORT;
	out.report = &report;
	if (!ctx->ready_leader)
		report.part_evidence = ctl_parts_take(ctx);
	if (!ctx->ready_leader)
		report.streams_begun = ctl_stream_take(ctx);
	if (ctx->ready_leader)
		ctl_member_report(ctx, &report);
	else
		ctl_send(ctx, ctx->up.address, &out);
	g_free((void *)children);
	g_free(statuses);
	g_free(report.announcements);
	g_free(report.demands);
	g_free(report.paces);
	if (report.part_evidence)
		dsp__part_evidence__free_unpacked(report.part_evidence, NULL);
	if (report.streams_begun)
		dsp__streams_begun__free_unpacked(report.streams_begun, NULL);
	g_hash_table_remove_all(ctx->statuses);
	g_hash_table_remove_all(ctx->announcements);
	g_hash_table_remove_all(ctx->demands);
	g_hash_table_remove_all(ctx->paces);
	ctx->report_hops = 0;
}

/* Queries an instance for its view, by a report that it does not forward. */
static void send_view_query(struct ctl *ctx, const char *address)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__Report report = DSP__REPORT__INIT;
	Dsp__NodeStatus own;
	Dsp__NodeStatus *statuses[] = { &own };
	Dsp__Node node;

	fill_status(ctx, &own, &node);
	report.nodes = statuses;
	report.n_nodes = G_N_ELEMENTS(statuses);
	report.hops = HOPS_MAX;
	report.sent_us = sent_us(ctx);
	out.body_case = DSP__ENVELOPE__BODY_REPORT;
	out.report = &report;
	ctl_send(ctx, address, &out);
}

static void query_candidates(struct ctl *ctx,
			     const struct ctl_upstream_input *in)
{
	const char **candidates;
	size_t n = ctl_up_candidates(&ctx->up, in, &candidates);

	for (size_t i = 0; i < n; i++)
		send_view_query(ctx, candidates[i]);
	g_free(candidates);
}

/* Returns the microseconds between two reports while the upstream works. */
static int64_t report_interval_us(const struct ctl *ctx)
{
	int64_t interval_us = (int64_t)ctx->set->report_interval_ms * 1000;

	return ctx->confirmed_us ? interval_us
				 : MIN(interval_us, FIRST_REPORT_US);
}

static void choose_upstream(struct ctl *ctx)
{
	struct ctl_upstream_input in = {
		.self = ctx->set->id,
		.site = ctx->set->site,
		.relay = own_relay(ctx),
		.leader = ctx->leader_address,
	};
	const Dsp__Node **nodes;
	const char **voters;

	/* A replica reports to the leader directly: there are few, and the
	 * leader sends them messages anyway. */
	if (follows_leader(ctx)) {
		if (ctl_up_set(&ctx->up, ctx->leader_address))
			log_upstream(ctx, "upstream");
		return;
	}
	in.n_nodes = ctl_report_nodes(ctx, &nodes);
	in.nodes = nodes;
	in.n_voters = ctl_report_voters(ctx, &voters);
	in.voters = voters;
	if (ctl_up_designate(&ctx->up, ctl_rule_upstream(&in, 0)))
		log_upstream(ctx, "upstream");
	if (ctl_up_begin_round(&ctx->up, ctx->now_us, report_interval_us(ctx)))
		query_candidates(ctx, &in);
	g_free(nodes);
	g_free(voters);
}

/* Sends the report when it is due. */
void ctl_report_run(struct ctl *ctx)
{
	if (!ctx->ready_leader && !follows_leader(ctx) &&
	    ctl_up_check(&ctx->up, ctx->confirmed_us, ctx->now_us,
			 upstream_limit_us(ctx))) {
		log_upstream(ctx, "upstream_silent");
		ctl_report_schedule(ctx, 0);
	}
	if (ctx->now_us < ctx->report_due_us)
		return;
	/* A leader whose first log entry is not committed yet will handle the
	 * contents itself. */
	if (ctl_raft_is_leader(ctx) && !ctx->ready_leader)
		return;
	if (!ctx->ready_leader)
		choose_upstream(ctx);
	ctx->report_due_us =
		ctx->now_us +
		ctl_up_interval_us(&ctx->up, report_interval_us(ctx));
	if (ctx->set->edge.key_revoke_ms && ctx->lease_round_us &&
	    !ctx->up.failing)
		ctx->report_due_us = ctl_rule_report_before_us(
			ctx->now_us, report_interval_us(ctx),
			ctx->lease_round_us);
	if (ctx->ready_leader || ctx->up.address)
		send_report(ctx);
}

/* ---- Receiving reports ---- */

static const Dsp__NodeStatus *find_status(const Dsp__Report *report,
					  const char *node)
{
	for (size_t i = 0; i < report->n_nodes; i++)
		if (report->nodes[i]->node &&
		    !strcmp(report->nodes[i]->node->id, node))
			return report->nodes[i];
	return NULL;
}

/* A query has only the sender's own status. It is not forwarded. */
static bool is_query(const Dsp__Report *report)
{
	return report->hops >= HOPS_MAX && report->n_nodes == 1 &&
	       !report->n_announcements;
}

static bool is_child_expired(const struct ctl *ctx,
			     const struct ctl_child *child)
{
	int64_t limit_us =
		CHILD_LIMIT_US +
		CHILD_LIMIT_REPORTS * 1000LL * ctx->set->report_interval_ms;

	return ctx->now_us - child->heard_us > limit_us;
}

/* Sets what the child is known to have. */
static void set_child_position(struct ctl_child *child,
			       const Dsp__NodeStatus *status)
{
	child->sent_index = status->view_index;
	child->table_index = status->table_index;
}

static int64_t lost_after_us(const struct ctl_child *child)
{
	return UPDATE_LOST_AFTER_US
	       << MIN(child->losses, UPDATE_LOST_SHIFT_MAX);
}

/* Handles the index that a child reports. Returns true if changes that were
 * sent to it are lost. */
static bool has_lost_changes(const struct ctl *ctx, struct ctl_child *child,
			     uint64_t index)
{
	if (index > child->reported_index) {
		child->losses = 0;
		child->lost_us = ctx->attended_us + lost_after_us(child);
	}
	child->reported_index = index;
	return index < child->sent_index && ctx->attended_us > child->lost_us;
}

static void report_lost_changes(struct ctl *ctx, const struct ctl_child *child,
				uint64_t index)
{
	met_count(ctx->met, "dandelionspar_updates_lost", "", 1);
	LOG_EVENT_INFO("ctl", "update_lost",
		       "child=%s has=%" G_GUINT64_FORMAT
		       " sent=%" G_GUINT64_FORMAT " in_a_row=%u",
		       child->node, index, child->sent_index,
		       child->losses + 1);
}

static void update_child(struct ctl *ctx, const Dsp__Envelope *from,
			 const Dsp__NodeStatus *status, bool queries,
			 uint64_t sent_us)
{
	uint64_t index = status->view_index;
	struct ctl_child *child =
		g_hash_table_lookup(ctx->children, from->from);
	bool lost;

	if (!child) {
		child = g_new0(struct ctl_child, 1);
		child->node = g_strdup(from->from);
		g_hash_table_insert(ctx->children, g_strdup(from->from), child);
	}
	if (g_strcmp0(child->address, from->address) != 0) {
		g_free(child->address);
		child->address = g_strdup(from->address);
	}
	lost = has_lost_changes(ctx, child, index);
	if (child->boot != from->boot) {
		child->boot = from->boot;
		child->echo_us = 0;
		child->losses = 0;
		set_child_position(child, status);
		child->due = true;
	} else if (index >= child->sent_index) {
		set_child_position(child, status);
	} else if (child->table_index && !status->table_index) {
		/* The changes of the table did not fit. */
		set_child_position(child, status);
		child->due = true;
	} else if (lost) {
		report_lost_changes(ctx, child, index);
		set_child_position(child, status);
		child->losses++;
		child->due = true;
	}
	child->echo_us = MAX(child->echo_us, sent_us);
	if (is_child_expired(ctx, child)) {
		child->due = true;
		child->asked_us = ctx->now_us;
	}
	if (g_strcmp0(child->site, status->node->site) != 0) {
		g_free(child->site);
		child->site = g_strdup(status->node->site);
	}
	child->queries = queries;
	child->reads_packed = status->reads_packed;
	child->heard_us = ctx->now_us;
}

static void merge_report(struct ctl *ctx, const Dsp__Report *report)
{
	for (size_t i = 0; i < report->n_nodes; i++) {
		const Dsp__NodeStatus *status = report->nodes[i];

		if (status->node && strcmp(status->node->id, ctx->set->id) != 0)
			g_hash_table_replace(ctx->statuses,
					     g_strdup(status->node->id),
					     msg_dup(status));
	}
	for (size_t i = 0; i < report->n_announcements; i++)
		merge_announcement(ctx, report->announcements[i]);
	for (size_t i = 0; i < report->n_demands; i++)
		ctl_report_demand(ctx, report->demands[i]);
	for (size_t i = 0; i < report->n_paces; i++)
		ctl_report_pace(ctx, report->paces[i]);
	ctl_parts_add(ctx, report->part_evidence);
	ctl_stream_add(ctx, report->streams_begun);
	ctx->report_hops = MAX(ctx->report_hops, report->hops + 1);
	ctl_report_schedule(ctx, RELAY_DELAY_US);
}

/* Handles the report of an instance that chose this one as upstream. */
void ctl_report_receive(struct ctl *ctx, const Dsp__Envelope *from,
			const Dsp__Report *report)
{
	const Dsp__NodeStatus *status = find_status(report, from->from);

	if (status)
		update_child(ctx, from, status, is_query(report),
			     report->sent_us);
	for (size_t i = 0; i < report->n_observed_loads; i++) {
		keep_observed_load(ctx, report->observed_loads[i]);
		forward_observed_load(ctx, report->observed_loads[i]);
	}
	if (ctx->ready_leader)
		ctl_member_report(ctx, report);
	else if (report->hops < HOPS_MAX)
		merge_report(ctx, report);
}

/* ---- Views ---- */

/* Returns true if the leader acknowledges a change in the update only after the
 * entries report it. */
static bool changes_service(const Dsp__ViewUpdate *update)
{
	for (size_t i = 0; i < update->n_records; i++) {
		const Dsp__ViewRecord *record = update->records[i];

		switch (record->body_case) {
		case DSP__VIEW_RECORD__BODY_ROUTE_TABLE:
		case DSP__VIEW_RECORD__BODY_ROUTE_TABLE_STEPS:
		case DSP__VIEW_RECORD__BODY_DOCUMENT:
			return true;
		case DSP__VIEW_RECORD__BODY_ENDPOINT:
			if (record->endpoint->state ==
			    DSP__ENDPOINT_STATE__ENDPOINT_LEAVING)
				return true;
			break;
		default:
			break;
		}
	}
	return false;
}

/* Reports the table of an update before its view is installed. */
static void note_table(struct ctl *ctx, const struct view *view,
		       const Dsp__ViewUpdate *update)
{
	const Dsp__RouteTable *table = view_route_table(view);

	for (size_t i = 0; i < update->n_records; i++) {
		const Dsp__ViewRecord *record = update->records[i];
		bool whole =
			record->body_case == DSP__VIEW_RECORD__BODY_ROUTE_TABLE;

		if (record->kind != DSP__VIEW_RECORD__BODY_ROUTE_TABLE ||
		    record->removed || !table)
			continue;
		ctx->needs_whole_table = false;
		LOG_EVENT_INFO("ctl", "table_received",
			       "number=%" G_GUINT64_FORMAT
			       " index=%" G_GUINT64_FORMAT
			       " had=%" G_GUINT64_FORMAT
			       " form=%s bytes=%zu routes=%zu copied=%zu",
			       table->number, table->index, table_index(ctx),
			       whole ? "whole" : "changes",
			       dsp__view_record__get_packed_size(record),
			       table->n_routes, view_routes_copied(view));
	}
}

/* Returns the route table of the own replica, which views share, or NULL. */
static struct tbl *own_table(const struct ctl *ctx)
{
	return ctx->raft ? st_route_table_version(ctx->st) : NULL;
}

static void install_update(struct ctl *ctx, const Dsp__ViewUpdate *update)
{
	g_autoptr(GError) error = NULL;
	struct view *view;

	if (update->to_index < view_index(ctx->view) ||
	    (update->to_index == view_index(ctx->view) && !update->reset &&
	     !update->n_records))
		return;
	view = view_try_apply(ctx->view, update, own_table(ctx), &error);
	if (error) {
		/* The report requests the whole table. */
		ctx->needs_whole_table = true;
		met_count(ctx->met, "dandelionspar_table_changes_refused", "",
			  1);
		LOG_EVENT_WARN("ctl", "table_change_refused",
			       "view=%" G_GUINT64_FORMAT
			       " from=%" G_GUINT64_FORMAT
			       " to=%" G_GUINT64_FORMAT " reason=\"%s\"",
			       view_index(ctx->view), update->from_index,
			       update->to_index, error->message);
	}
	if (!view) {
		/* A gap: the report requests updates since the own index. */
		ctl_report_schedule(ctx, 0);
		return;
	}
	note_table(ctx, view, update);
	ctl_set_view(ctx, view);
	if (!changes_service(update))
		return;
	ctx->push_urgent = true;
	ctl_report_schedule(ctx, CHANGE_DELAY_US);
}

static void set_relays(struct ctl *ctx, char *const *relays, size_t n)
{
	g_autofree char *before = g_strdup(own_relay(ctx));

	g_ptr_array_set_size(ctx->relays, 0);
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(ctx->relays, g_strdup(relays[i]));
	if (g_strcmp0(before, own_relay(ctx)) != 0)
		ctl_report_schedule(ctx, 0);
}

/* Returns when the view of an update was confirmed, and reports an update of
 * the upstream that was held up. */
static int64_t confirmation_us(struct ctl *ctx, const Dsp__Envelope *from,
			       const Dsp__ViewUpdate *update)
{
	struct ctl_confirmation in = {
		.now_us = ctx->now_us,
		.echoed_us = lse_echoed_us(&ctx->lease_clock, from->echo_us,
					   ctx->now_us),
		.age_us = update->confirmed_age_ms * 1000LL,
		.held_up_after_us = ctx->set->isolated_after_ms * 1000LL,
	};
	int64_t confirmed_us = ctl_rule_confirmed_us(&in);

	/* Others that were queried once send some more without being asked. */
	if (confirmed_us != in.now_us - in.age_us &&
	    ctl_up_is(&ctx->up, from->address)) {
		met_count(ctx->met, "dandelionspar_updates_held_up", "", 1);
		LOG_EVENT_INFO("ctl", "update_held_up",
			       "from=%s to_index=%" G_GUINT64_FORMAT
			       " age_ms=%u echo_age_us=%" G_GINT64_FORMAT,
			       from->from, update->to_index,
			       update->confirmed_age_ms,
			       in.now_us - in.echoed_us);
	}
	return confirmed_us;
}

/* Returns true if the update carries a newer confirmation of the view. */
static bool confirm(struct ctl *ctx, const Dsp__Envelope *from,
		    const Dsp__ViewUpdate *update)
{
	int64_t confirmed_us;

	if (update->confirmed_age_ms == UINT32_MAX ||
	    view_index(ctx->view) < update->to_index)
		return false;
	/* The update is for an earlier process of this instance. */
	if (from->echo_us &&
	    !lse_echoed_us(&ctx->lease_clock, from->echo_us, ctx->now_us))
		return false;
	confirmed_us = confirmation_us(ctx, from, update);
	/* After a restart the first confirmation must be recent, since the view
	 * may be as outdated as the confirmation. */
	if (!ctx->confirmed_us &&
	    ctx->now_us - confirmed_us >
		    (int64_t)ctx->set->isolated_after_ms * 1000)
		return false;
	if (confirmed_us <= ctx->confirmed_us)
		return false;
	if (!ctx->confirmed_us)
		LOG_EVENT_NOTICE("ctl", "view_confirmed",
				 "index=%" G_GUINT64_FORMAT,
				 view_index(ctx->view));
	/* A newer confirmation is sent downstream at once, unless the
	 * difference may be a rounding error of the age. */
	if (confirmed_us - ctx->confirmed_us >
	    (int64_t)ctx->set->report_interval_ms * 500)
		ctx->push_due_us = 0;
	ctx->confirmed_us = MAX(confirmed_us, 1);
	return true;
}

/* A lease is for the view that the update leads to. */
static void accept_lease(struct ctl *ctx, const Dsp__Envelope *from,
			 const Dsp__ViewUpdate *update)
{
	struct lse_grant grant = {
		.echo_us = from->echo_us,
		.age_ms = from->lease_age_ms,
	};
	struct lse before;
	bool extended;

	if (view_index(ctx->view) < update->to_index || ctx->needs_whole_table)
		return;
	before = ctx->lease;
	pthread_mutex_lock(&ctx->lock);
	extended = lse_accept(&ctx->lease, &ctx->lease_clock, &grant,
			      view_index(ctx->view), ctx->now_us);
	pthread_mutex_unlock(&ctx->lock);
	if (!extended)
		return;
	if (before.start_us)
		met_observe_us(ctx->met, "dandelionspar_lease_age_us", "",
			       lse_age_us(&before, ctx->now_us));
	if (ctx->lease.start_us - before.start_us >=
	    report_interval_us(ctx) / 2)
		ctx->lease_round_us = ctx->now_us;
}

static const char *member_address(const Dsp__RaftConfig *config,
				  const char *node)
{
	for (size_t i = 0; config && i < config->n_members; i++)
		if (!strcmp(config->members[i]->node, node))
			return config->members[i]->address;
	return NULL;
}

/* Handles a view update of an instance that this one reports to or queried. */
void ctl_report_view(struct ctl *ctx, const Dsp__Envelope *from,
		     const Dsp__ViewUpdate *update)
{
	if (update->term < ctx->term || ctl_raft_is_leader(ctx))
		return;
	if (update->config) {
		if (ctx->config)
			dsp__raft_config__free_unpacked(ctx->config, NULL);
		ctx->config = msg_dup(update->config);
	}
	ctl_report_set_leader(ctx, update->term, update->leader,
			      member_address(update->config, update->leader));
	install_update(ctx, update);
	accept_lease(ctx, from, update);
	if (confirm(ctx, from, update) && !follows_leader(ctx) &&
	    ctl_up_confirmed(&ctx->up, from->address,
			     ctx->now_us - ctx->confirmed_us,
			     upstream_limit_us(ctx))) {
		log_upstream(ctx, "upstream");
		ctl_report_schedule(ctx, 0);
	}
	set_relays(ctx, update->relays, update->n_relays);
	for (size_t i = 0; i < update->n_loads; i++)
		ctl_report_load(ctx, update->loads[i]);
	for (size_t i = 0; i < update->n_observed_loads; i++)
		keep_observed_load(ctx, update->observed_loads[i]);
}

/* Handles a compressed view update; a malformed one is dropped. */
void ctl_report_packed_view(struct ctl *ctx, const Dsp__Envelope *from,
			    const Dsp__PackedUpdate *packed)
{
	g_autofree uint8_t *data = NULL;
	Dsp__ViewUpdate *update = NULL;

	if (packed->bytes <= UPDATE_BYTES_MAX)
		data = zip_inflate(packed->deflated.data, packed->deflated.len,
				   packed->bytes);
	if (data)
		update = dsp__view_update__unpack(NULL, packed->bytes, data);
	if (!update) {
		LOG_EVENT_WARN("ctl", "update_malformed",
			       "from=%s bytes=%u deflated=%zu", from->from,
			       packed->bytes, packed->deflated.len);
		return;
	}
	ctl_report_view(ctx, from, update);
	dsp__view_update__free_unpacked(update, NULL);
}

/* Returns the shortest time between two views, or two rounds of updates. */
static int64_t push_interval_us(const struct ctl *ctx)
{
	int64_t n = (int64_t)view_n_endpoints(ctx->view);

	return CLAMP(PUSH_INTERVAL_US * n / VIEW_ENDPOINTS, PUSH_INTERVAL_US,
		     PUSH_INTERVAL_MAX_US);
}

/* Returns true if a view of the own state is to wait. Small ones never do. */
static bool publish_is_early(const struct ctl *ctx)
{
	return !ctx->publish_urgent && ctx->now_us < ctx->publish_earliest_us &&
	       view_n_endpoints(ctx->view) > VIEW_ENDPOINTS;
}

/* Installs changes of the own replica's state as a new view. */
void ctl_report_publish(struct ctl *ctx)
{
	Dsp__ViewUpdate *update;
	struct tbl *table;
	struct view *view;

	if (!ctx->raft || publish_is_early(ctx))
		return;
	if (!ctx->view_dirty && (ctx->now_us < ctx->publish_due_us ||
				 st_index(ctx->st) == view_index(ctx->view)))
		return;
	ctx->publish_due_us = ctx->now_us + PUBLISH_INTERVAL_US;
	ctx->publish_earliest_us = ctx->now_us + push_interval_us(ctx);
	ctx->push_urgent |= ctx->publish_urgent;
	ctx->publish_urgent = false;
	ctx->view_dirty = false;
	if (st_index(ctx->st) <= view_index(ctx->view))
		return; /* upstream was faster, or the log is replayed */
	/* The view takes the table itself, so the update need not have it. */
	table = own_table(ctx);
	update = st_view_since_table(ctx->st, view_index(ctx->view),
				     table ? tbl_table(table)->index : 0);
	view = view_try_apply(ctx->view, update, table, NULL);
	if (view)
		ctl_set_view(ctx, view);
	else
		LOG_EVENT_ERROR("ctl", "view_refused",
				"from=%" G_GUINT64_FORMAT
				" to=%" G_GUINT64_FORMAT,
				update->from_index, update->to_index);
	dsp__view_update__free_unpacked(update, NULL);
}

/* ---- Updates for downstream instances ---- */

/* Reports the relays of all sites if they are not those of before. */
static void log_relays(const GPtrArray *before, const GPtrArray *relays)
{
	g_autoptr(GString) text = g_string_new(NULL);
	bool same = before->len == relays->len;

	for (guint i = 0; i < relays->len; i++) {
		same = same && !strcmp(before->pdata[i], relays->pdata[i]);
		g_string_append_printf(text, "%s%s", i ? "," : "",
				       (const char *)relays->pdata[i]);
	}
	if (!same)
		LOG_EVENT_INFO("ctl", "relays", "nodes=%s", text->str);
}

/* Chooses the relays of all sites, on the leader. */
static void choose_relays(struct ctl *ctx)
{
	GHashTable *sites = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *relays = g_ptr_array_new_with_free_func(g_free);
	const Dsp__Node **nodes;
	size_t n = ctl_report_nodes(ctx, &nodes);
	struct ctl_relay_input in = {
		.nodes = nodes,
		.n_nodes = n,
		.leader = ctx->set->id,
		.relays = (const char *const *)ctx->relays->pdata,
		.n_relays = ctx->relays->len,
	};

	for (size_t i = 0; i < n; i++) {
		const Dsp__Node *relay;

		in.site = nodes[i]->site;
		if (!g_hash_table_add(sites, nodes[i]->site))
			continue;
		relay = ctl_rule_relay(&in);
		if (relay)
			g_ptr_array_add(relays, g_strdup(relay->id));
	}
	log_relays(ctx->relays, relays);
	g_ptr_array_free(ctx->relays, TRUE);
	ctx->relays = relays;
	g_hash_table_destroy(sites);
	g_free(nodes);
}

/* Sets the fields that are the same for all receivers. The update borrows them;
 * see clear_borrowed_fields(). */
static void fill_update(struct ctl *ctx, Dsp__ViewUpdate *update)
{
	update->term = ctx->term;
	update->leader = ctx->leader_node ? ctx->leader_node : "";
	update->confirmed_age_ms = ctl_confirmed_age_ms(ctx);
	update->relays = (char **)ctx->relays->pdata;
	update->n_relays = ctx->relays->len;
	update->config = (Dsp__RaftConfig *)current_config(ctx);
}

static void clear_borrowed_fields(Dsp__ViewUpdate *update)
{
	update->leader = (char *)protobuf_c_empty_string;
	update->relays = NULL;
	update->n_relays = 0;
	update->config = NULL;
	update->loads = NULL;
	update->n_loads = 0;
	update->observed_loads = NULL;
	update->n_observed_loads = 0;
}

/* An update of one round, which is encoded once for all that get it. */
struct round_update {
	Dsp__ViewUpdate *update;
	uint8_t *packed; /* owned; NULL: not yet */
	size_t len;
	uint8_t *deflated; /* owned; for those that read PackedUpdate */
	size_t deflated_len;
};

/* One round of updates. */
struct round {
	GHashTable *updates; /* "from_index/table_index" -> round_update */
	Dsp__LoadReport *loads[LOADS_MAX];
	size_t n_loads;
	Dsp__LoadReport *observed[LOADS_MAX];
	size_t n_observed;
};

static void free_update(Dsp__ViewUpdate *update)
{
	clear_borrowed_fields(update);
	dsp__view_update__free_unpacked(update, NULL);
}

static void free_round_update(void *data)
{
	struct round_update *u = data;

	free_update(u->update);
	g_free(u->packed);
	g_free(u->deflated);
	g_free(u);
}

/* Reports an update that has the whole route table, and why. */
static void note_whole_table(struct ctl *ctx, const char *child,
			     const Dsp__ViewUpdate *update, uint64_t has)
{
	const char *reason = has ? "changes_not_kept" : "not_had";
	g_autofree char *label = g_strdup_printf("reason=\"%s\"", reason);

	for (size_t i = 0; i < update->n_records; i++) {
		const Dsp__ViewRecord *record = update->records[i];

		if (record->body_case != DSP__VIEW_RECORD__BODY_ROUTE_TABLE)
			continue;
		met_count(ctx->met, "dandelionspar_tables_whole", label, 1);
		LOG_EVENT_INFO("ctl", "whole_table",
			       "index=%" G_GUINT64_FORMAT
			       " first_to=%s has=%" G_GUINT64_FORMAT
			       " reason=%s bytes=%zu",
			       record->index, child, has, reason,
			       dsp__view_record__get_packed_size(record));
	}
}

/* Returns the update for a child. Children that have the same get the same. */
static struct round_update *update_for(struct ctl *ctx, struct round *round,
				       const struct ctl_child *child)
{
	uint64_t from = child->sent_index;
	g_autofree char *key = g_strdup_printf(
		"%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT "/%d", from,
		from < table_index(ctx) ? child->table_index : 0,
		child->queries);
	struct round_update *u = g_hash_table_lookup(round->updates, key);

	if (u)
		return u;
	u = g_new0(struct round_update, 1);
	u->update = view_since_table(ctx->view, from, child->table_index);
	note_whole_table(ctx, child->node, u->update, child->table_index);
	fill_update(ctx, u->update);
	if (!child->queries) {
		u->update->loads = round->loads;
		u->update->n_loads = round->n_loads;
		u->update->observed_loads = round->observed;
		u->update->n_observed_loads = round->n_observed;
	}
	g_hash_table_insert(round->updates, g_steal_pointer(&key), u);
	return u;
}

static void send_update(struct ctl *ctx, const char *address,
			Dsp__ViewUpdate *update)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;

	out.body_case = DSP__ENVELOPE__BODY_VIEW_UPDATE;
	out.view_update = update;
	ctl_send(ctx, address, &out);
}

/* Compresses an update for those that read it. A whole view of 3,000 endpoints
 * has 1.5 MB, which takes the link of an entry more than a second. */
static void deflate_update(struct ctl *ctx, struct round_update *u)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__PackedUpdate packed = DSP__PACKED_UPDATE__INIT;
	size_t len = dsp__view_update__get_packed_size(u->update);
	g_autofree uint8_t *data = g_malloc(len + 1);
	g_autofree uint8_t *deflated = NULL;

	dsp__view_update__pack(u->update, data);
	deflated = zip_deflate(data, len, &packed.deflated.len);
	if (!deflated)
		return;
	packed.bytes = (uint32_t)len;
	packed.deflated.data = deflated;
	out.body_case = DSP__ENVELOPE__BODY_PACKED_UPDATE;
	out.packed_update = &packed;
	u->deflated = net_pack(ctx->net, &out, &u->deflated_len);
}

/* Sends an update that others may get, too. The upstream gets it without the
 * confirmation that came from there. */
static void send_round_update(struct ctl *ctx, const struct ctl_child *child,
			      struct round_update *u)
{
	const char *address = child->address;
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	uint32_t age_ms = u->update->confirmed_age_ms;
	struct lse_grant grant;
	uint8_t *data;
	size_t len;

	if (!ctx->ready_leader && ctl_up_is(&ctx->up, address)) {
		u->update->confirmed_age_ms = UINT32_MAX;
		send_update(ctx, address, u->update);
		u->update->confirmed_age_ms = age_ms;
		return;
	}
	if (!u->packed) {
		out.body_case = DSP__ENVELOPE__BODY_VIEW_UPDATE;
		out.view_update = u->update;
		u->packed = net_pack(ctx->net, &out, &u->len);
		ctx->updates_packed++;
	}
	data = u->packed;
	len = u->len;
	if (child->reads_packed && !u->deflated && u->len >= PACK_MIN_BYTES)
		deflate_update(ctx, u);
	if (child->reads_packed && u->deflated) {
		data = u->deflated;
		len = u->deflated_len;
	}
	/* The process may have been stopped since the iteration began. */
	grant = lse_grant(&ctx->lease, child->echo_us, clk_now_us(ctx->clock));
	/* Without a lease the echo still tells the age of the update. */
	if (!grant.echo_us)
		grant = (struct lse_grant){ .echo_us = child->echo_us,
					    .age_ms = LSE_NO_AGE };
	if (grant.echo_us)
		net_send_packed_lease(ctx->net, address, data, len,
				      grant.echo_us, grant.age_ms);
	else
		net_send_packed(ctx->net, address, data, len);
}

/* Returns the number of loads in one update: fewer with many children, so that
 * a relay's traffic stays bounded. */
static size_t loads_max(const struct ctl *ctx)
{
	size_t n_children = MAX(g_hash_table_size(ctx->children), 1);

	return CLAMP(ROUND_LOADS_MAX / n_children, LOADS_MIN, LOADS_MAX);
}

static void collect_loads(struct ctl *ctx, struct round *round)
{
	size_t max = loads_max(ctx);
	struct ctl_load *load;

	while ((load = TAILQ_FIRST(&ctx->changed_loads)) &&
	       round->n_loads < max) {
		TAILQ_REMOVE(&ctx->changed_loads, load, link);
		load->changed = false;
		load->pushed_us = ctx->now_us;
		round->loads[round->n_loads++] = load->report;
	}
	round->n_observed =
		occ_take(ctx->observed_down, round->observed, max, ctx->now_us);
}

/* Returns true if this instance has a confirmation or loads that the child has
 * not got. Without contact to the leader it has none. */
static bool is_newer(const struct ctl *ctx, const struct ctl_child *child,
		     const struct round *round)
{
	return (!child->queries && (round->n_loads || round->n_observed)) ||
	       ctx->confirmed_us != child->sent_confirmed_us;
}

/* Returns true if another instance, the relay of the child's site, answers its
 * query with the whole view. */
static bool others_answer(const struct ctl *ctx, const struct ctl_child *child)
{
	if (!child->queries || child->sent_index ||
	    view_n_endpoints(ctx->view) <= VIEW_ENDPOINTS ||
	    ctx->now_us - child->asked_us >= WHOLE_VIEW_DELAY_US)
		return false;
	for (guint i = 0; i < ctx->relays->len; i++) {
		const char *id = g_ptr_array_index(ctx->relays, i);
		const Dsp__Node *node = view_node(ctx->view, id);

		if (node && !strcmp(node->site, child->site))
			return strcmp(id, ctx->set->id) != 0 &&
			       strcmp(id, child->node) != 0;
	}
	return false;
}

/* Notes that a child has changes on their way. */
static void note_changes_sent(struct ctl *ctx, struct ctl_child *child)
{
	if (child->sent_index >= view_index(ctx->view))
		return;
	/* Changes that follow others do not extend the time for those. */
	if (child->reported_index >= child->sent_index)
		child->lost_us = ctx->attended_us + lost_after_us(child);
	/* A child that cannot apply changes stays at 0. */
	if (child->table_index && child->sent_index < table_index(ctx))
		child->table_index = table_index(ctx);
	child->sent_index = view_index(ctx->view);
}

static void push_round(struct ctl *ctx, bool all)
{
	struct round round = {
		.updates = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_round_update),
	};
	struct round_update *u;
	GHashTableIter iter;
	struct ctl_child *child;

	ctx->update_rounds++;
	if (all)
		collect_loads(ctx, &round);
	g_hash_table_iter_init(&iter, ctx->children);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&child)) {
		if (is_child_expired(ctx, child)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (!child->due && child->sent_index >= view_index(ctx->view) &&
		    (!all || !is_newer(ctx, child, &round)))
			continue;
		if (others_answer(ctx, child))
			continue;
		child->due = false;
		child->sent_confirmed_us = ctx->confirmed_us;
		u = update_for(ctx, &round, child);
		send_round_update(ctx, child, u);
		ctx->updates_sent++;
		note_changes_sent(ctx, child);
	}
	g_hash_table_destroy(round.updates);
}

static bool any_child_due(struct ctl *ctx)
{
	GHashTableIter iter;
	struct ctl_child *child;

	if (view_index(ctx->view) > ctx->pushed_index)
		return true;
	g_hash_table_iter_init(&iter, ctx->children);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&child))
		if (child->due)
			return true;
	return false;
}

/* Sets when the next round may begin, after one that began at start_us. */
static void pace_rounds(struct ctl *ctx, int64_t start_us)
{
	int64_t end_us = clk_now_us(ctx->clock);
	struct ctl_rounds rounds = {
		.took_us = end_us - start_us,
		.interval_us = PUSH_INTERVAL_US,
		.limit_us = (int64_t)ctx->set->report_interval_ms * 1000,
		.urgent = true,
	};

	ctx->push_earliest_us = end_us + ctl_rule_round_pause_us(&rounds);
	rounds.interval_us = push_interval_us(ctx);
	rounds.urgent = false;
	ctx->push_slow_us = end_us + ctl_rule_round_pause_us(&rounds);
}

/* Sends updates: to all children once per report interval, and in between to
 * children that lack a change. */
void ctl_report_push(struct ctl *ctx)
{
	bool all = ctx->now_us >= ctx->push_due_us;
	int64_t start_us;

	if (!all && (ctx->now_us < ctx->push_earliest_us ||
		     (!ctx->push_urgent && ctx->now_us < ctx->push_slow_us) ||
		     !any_child_due(ctx)))
		return;
	if (ctx->ready_leader && all)
		choose_relays(ctx);
	start_us = clk_now_us(ctx->clock);
	push_round(ctx, all);
	ctx->pushed_index = view_index(ctx->view);
	pace_rounds(ctx, start_us);
	ctx->push_urgent = false;
	if (all)
		ctx->push_due_us = ctx->now_us +
				   (int64_t)ctx->set->report_interval_ms * 1000;
}

/*
 * Announces to voters and relays that this replica leads. They report to it at
 * once, instead of after the old leader has been silent for the limit.
 */
void ctl_report_announce_leadership(struct ctl *ctx)
{
	Dsp__ViewUpdate *update = view_since(ctx->view, view_index(ctx->view));
	const char **voters;
	size_t n = ctl_report_voters(ctx, &voters);

	choose_relays(ctx);
	fill_update(ctx, update);
	/* Nothing tells how long this update is on its way. */
	update->confirmed_age_ms = UINT32_MAX;
	for (size_t i = 0; i < n; i++)
		send_update(ctx, voters[i], update);
	for (guint i = 0; i < ctx->relays->len; i++) {
		const Dsp__Node *node =
			view_node(ctx->view, g_ptr_array_index(ctx->relays, i));

		if (node && strcmp(node->id, ctx->set->id) != 0)
			send_update(ctx, node->internal_address, update);
	}
	free_update(update);
	g_free(voters);
}
