#include "node/ctl_int.h"

#include "base/log.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Interval at which the leader checks leases and replicas. */
#define RUN_INTERVAL_US 100000
/* Interval at which it checks the leases, which are seconds long, when it has
 * more than LEASES_OFTEN endpoints. */
#define LEASES_INTERVAL_US 500000
#define LEASES_OFTEN 256
/* Delay before a proposal without visible effect is made again. */
#define REPROPOSE_DELAY_US CTL_S_US
/* Repeats of the same EndpointPut are delayed by up to 2^5 times that, 32 s. */
#define PUT_BACKOFF_SHIFT_MAX 5
/* Interval at which an unchanged residency is proposed again while orders wait
 * for it. */
#define RESIDENCY_REPROPOSE_US (5LL * CTL_S_US)
/* Interval of placement rounds. */
#define PLACEMENT_INTERVAL_US CTL_S_US
/* Grace period after the deadline of a claim; section 9 of docs/design.md. */
#define CLAIM_GRACE_MS 10000
/* Interval of Expire commands without an expired claim or prompt part. All
 * other time limits are hours long. */
#define EXPIRE_INTERVAL_US (60LL * CTL_S_US)
/* Interval of Expire commands for prompt parts. */
#define PARTS_EXPIRE_INTERVAL_US (CTL_S_US / 10)
/* A join request that is not repeated within this time is dropped. */
#define JOIN_LIMIT_US (5LL * CTL_S_US)
/* A replica is alive if it sent a message within this time, which is several
 * heartbeats. */
#define REPLICA_ALIVE_US (3LL * CTL_S_US)
/* How long copies derived from orders override an endpoint's own announcement.
 * The edge's order agent announces them every second. */
#define ORDER_COPIES_VALID_US (4LL * CTL_S_US)
/* A voter silent for longer is replaced by a learner. This is longer than a
 * lost connection takes to be replaced, and shorter than the time between
 * faults that the group must bear one after the other. A voter that returns is
 * taken back as a learner, so that a replacement without need does no harm. */
#define REPLACEABLE_AFTER_US (2LL * CTL_S_US)

static bool propose(struct ctl *ctx, Dsp__Command *command)
{
	struct ctl_waiter *waiter = ctl_waiter_new(CTL_WAIT_NONE);

	if (ctl_raft_propose(ctx, command, waiter))
		return true;
	g_free(waiter);
	return false;
}

/* Starts the leader's duties. Leases count from now, since the reports that
 * would have renewed them went to the old leader. */
void ctl_member_start(struct ctl *ctx)
{
	uint64_t seed = ctx->boot ^ raft_term(ctx->raft);

	g_hash_table_remove_all(ctx->members);
	g_hash_table_remove_all(ctx->endpoints);
	g_hash_table_remove_all(ctx->orders);
	ctx->placements_pending = 0;
	ctx->parts_pending = false;
	ctx->streams_pending = false;
	ctx->plc = plc_new(seed);
	ctx->placement_due_us = ctx->now_us + PLACEMENT_INTERVAL_US;
	ctx->member_due_us = 0;
	ctx->last_expire_us = ctx->now_us;
	ctx->push_due_us = 0;
	ctx->orders_dirty = true;
	ctl_spread_start(ctx);
	ctl_report_announce_leadership(ctx);
	ctl_report_schedule(ctx, 0);
}

/* Ends the leader's duties. */
void ctl_member_stop(struct ctl *ctx)
{
	if (ctx->plc)
		plc_free(ctx->plc);
	ctx->plc = NULL;
	ctx->repair = CTL_REPAIR_NONE;
	g_hash_table_remove_all(ctx->joins);
	if (ctx->sender)
		ctl_order_stop_sending(ctx);
}

/* ---- Instances ---- */

static bool same_node(const Dsp__Node *a, const Dsp__Node *b)
{
	return a->boot == b->boot && a->weight == b->weight &&
	       a->control == b->control && a->draining == b->draining &&
	       a->down == b->down && !strcmp(a->site, b->site) &&
	       !strcmp(a->region, b->region) &&
	       !strcmp(a->internal_address, b->internal_address) &&
	       !strcmp(a->http_address, b->http_address) &&
	       !strcmp(a->announce_address, b->announce_address);
}

/* Logs a message that is taken for one of a process that has ended. */
static void log_late(struct ctl *ctx, const char *id, uint64_t incarnation,
		     const struct ctl_incarnations *seen)
{
	met_count(ctx->met, "dandelionspar_late_incarnations", "", 1);
	LOG_EVENT_INFO("ctl", "late_incarnation",
		       "from=%s incarnation=%" PRIu64 " current=%" PRIu64
		       " heard_ago_us=%" PRId64,
		       id, incarnation, seen->current,
		       ctx->now_us - seen->heard_us);
}

static void update_member(struct ctl *ctx, const Dsp__NodeStatus *status)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__NodePut put = DSP__NODE_PUT__INIT;
	const Dsp__Node *known = st_node(ctx->st, status->node->id);
	struct ctl_member *m =
		g_hash_table_lookup(ctx->members, status->node->id);

	if (!m) {
		m = g_new0(struct ctl_member, 1);
		g_hash_table_insert(ctx->members, g_strdup(status->node->id),
				    m);
	}
	if (!ctl_incarnations_accept(&m->boots, status->node->boot, CTL_RANDOM,
				     ctx->now_us)) {
		log_late(ctx, status->node->id, status->node->boot, &m->boots);
		return;
	}
	m->heard_us = ctx->now_us;
	m->heard_read_us = ctx->read_us;
	m->view_index = status->view_index;
	m->streams = status->streams;
	m->confirmed_age_ms = status->confirmed_age_ms;
	if (known && same_node(known, status->node))
		return;
	if (m->proposed_us &&
	    ctx->now_us - m->proposed_us < REPROPOSE_DELAY_US &&
	    !status->node->draining)
		return;
	m->proposed_us = ctx->now_us;
	put.node = status->node;
	command.body_case = DSP__COMMAND__BODY_NODE_PUT;
	command.node_put = &put;
	propose(ctx, &command);
}

static void expire_nodes(struct ctl *ctx)
{
	int64_t lease_us = (int64_t)ctx->set->node_lease_ms * 1000;
	const Dsp__Node **nodes;
	size_t n = st_nodes(ctx->st, &nodes);

	for (size_t i = 0; i < n; i++) {
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__NodeDown down = DSP__NODE_DOWN__INIT;
		struct ctl_member *m =
			g_hash_table_lookup(ctx->members, nodes[i]->id);
		int64_t heard_us = ctx->leader_since_read_us;

		if (nodes[i]->down)
			continue;
		if (m)
			heard_us = MAX(heard_us, m->heard_read_us);
		if (ctx->read_us - heard_us <= lease_us ||
		    (m && ctx->now_us - m->proposed_us < REPROPOSE_DELAY_US))
			continue;
		if (!m) {
			m = g_new0(struct ctl_member, 1);
			m->boots.current = nodes[i]->boot;
			g_hash_table_insert(ctx->members,
					    g_strdup(nodes[i]->id), m);
		}
		m->proposed_us = ctx->now_us;
		LOG_EVENT_NOTICE("ctl", "node_down", "node=%s", nodes[i]->id);
		down.id = nodes[i]->id;
		down.boot = nodes[i]->boot;
		command.body_case = DSP__COMMAND__BODY_NODE_DOWN;
		command.node_down = &down;
		propose(ctx, &command);
	}
	g_free(nodes);
}

/* ---- Endpoints ---- */

static bool same_features(const Dsp__Features *a, const Dsp__Features *b)
{
	Dsp__Features none = DSP__FEATURES__INIT;

	a = a ? a : &none;
	b = b ? b : &none;
	return a->fencing == b->fencing &&
	       a->checks_incarnation == b->checks_incarnation &&
	       a->cancel == b->cancel && a->resume == b->resume &&
	       a->priorities == b->priorities &&
	       a->kv_transfer == b->kv_transfer && a->roles == b->roles;
}

static bool is_sequenced(const Dsp__Endpoint *endpoint)
{
	return endpoint->features && endpoint->features->sequenced;
}

/* Compares the properties that an endpoint announces. Its copies are reported
 * separately unless its orders are sequenced. */
static bool same_endpoint(const Dsp__Endpoint *a, const Dsp__Endpoint *b)
{
	return a->incarnation == b->incarnation && a->state == b->state &&
	       a->kind == b->kind && a->accelerators == b->accelerators &&
	       a->accelerator_memory_mb == b->accelerator_memory_mb &&
	       a->max_batch == b->max_batch &&
	       !strcmp(a->address, b->address) && !strcmp(a->site, b->site) &&
	       !strcmp(a->team, b->team) && !strcmp(a->service, b->service) &&
	       !strcmp(a->software, b->software) &&
	       same_features(a->features, b->features) &&
	       (!is_sequenced(b) || st_same_copies(a, b));
}

/* Returns true if the order agent has recently announced the endpoint's copies.
 * These take precedence: the endpoint's own announcement may be older than its
 * last order, and lists a model as long as an unload waits for its requests. */
static bool orders_determine_copies(const struct ctl *ctx,
				    const struct ctl_endpoint *e)
{
	return e->copies_from_orders_us &&
	       ctx->now_us - e->copies_from_orders_us < ORDER_COPIES_VALID_US;
}

static void propose_endpoint(struct ctl *ctx, Dsp__Endpoint *endpoint)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;

	put.endpoint = endpoint;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	propose(ctx, &command);
}

static uint64_t endpoint_hash(const Dsp__Endpoint *endpoint)
{
	size_t len = dsp__endpoint__get_packed_size(endpoint);
	g_autofree uint8_t *data = g_malloc(len + 1);

	dsp__endpoint__pack(endpoint, data);
	return XXH3_64bits(data, len);
}

static void put_endpoint(struct ctl *ctx, struct ctl_endpoint *e,
			 const Dsp__Announcement *a)
{
	Dsp__Endpoint endpoint = *a->endpoint;
	const Dsp__Endpoint *known = st_endpoint(ctx->st, endpoint.id);
	uint64_t hash;

	endpoint.state = a->leaving ? DSP__ENDPOINT_STATE__ENDPOINT_LEAVING
				    : DSP__ENDPOINT_STATE__ENDPOINT_UP;
	if (known && known->incarnation == endpoint.incarnation &&
	    orders_determine_copies(ctx, e)) {
		endpoint.copies = known->copies;
		endpoint.n_copies = known->n_copies;
	}
	if (known && same_endpoint(known, &endpoint)) {
		e->puts = 0;
		return;
	}
	hash = endpoint_hash(&endpoint);
	/* The same put is on its way. */
	if (e->put_hash == hash && e->put_index > ctx->applied_index &&
	    ctx->now_us - e->put_us < REPROPOSE_DELAY_US)
		return;
	/* The state machine may reject this announcement every time. */
	if (!is_sequenced(&endpoint) && e->puts &&
	    ctx->now_us - e->put_us <
		    REPROPOSE_DELAY_US
			    << MIN(e->puts - 1, PUT_BACKOFF_SHIFT_MAX))
		return;
	e->put_us = ctx->now_us;
	e->puts++;
	propose_endpoint(ctx, &endpoint);
	e->put_hash = hash;
	e->put_index = raft_last_index(ctx->raft);
}

static uint64_t residency_hash(const Dsp__ResidencyReport *report)
{
	size_t len = dsp__residency_report__get_packed_size(report);
	g_autofree uint8_t *data = g_malloc(len + 1);

	dsp__residency_report__pack(report, data);
	return XXH3_64bits(data, len);
}

static bool has_pending_order(struct ctl *ctx, const char *endpoint)
{
	const Dsp__Order **orders;
	size_t n = st_orders_pending(ctx->st, &orders);
	bool found = false;

	for (size_t i = 0; i < n && !found; i++)
		found = !strcmp(orders[i]->endpoint, endpoint);
	g_free(orders);
	return found;
}

static void propose_residency(struct ctl *ctx, struct ctl_endpoint *e,
			      const Dsp__Announcement *a)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__ResidencyReport report = DSP__RESIDENCY_REPORT__INIT;
	uint64_t hash;

	report.endpoint = a->endpoint->id;
	report.incarnation = a->endpoint->incarnation;
	report.highest_fence = a->highest_fence;
	report.copies = a->endpoint->copies;
	report.n_copies = a->endpoint->n_copies;
	hash = residency_hash(&report);
	if (hash == e->residency_hash &&
	    (ctx->now_us - e->residency_proposed_us < RESIDENCY_REPROPOSE_US ||
	     !has_pending_order(ctx, a->endpoint->id)))
		return;
	e->residency_hash = hash;
	e->residency_proposed_us = ctx->now_us;
	command.body_case = DSP__COMMAND__BODY_RESIDENCY_REPORT;
	command.residency_report = &report;
	propose(ctx, &command);
}

/*
 * Handles one announcement. Two entries forward the same announcements over
 * paths of different length. An older one is ignored, since an outdated
 * residency would make the memory accounting wrong.
 */
static void handle_announcement(struct ctl *ctx, const Dsp__Announcement *a)
{
	struct ctl_endpoint *e;
	uint64_t before;

	if (!a->endpoint || !a->endpoint->id[0] || !a->endpoint->incarnation)
		return;
	e = g_hash_table_lookup(ctx->endpoints, a->endpoint->id);
	if (!e) {
		e = g_new0(struct ctl_endpoint, 1);
		g_hash_table_insert(ctx->endpoints, g_strdup(a->endpoint->id),
				    e);
	}
	before = e->incarnations.current;
	if (!ctl_incarnations_accept(&e->incarnations, a->endpoint->incarnation,
				     is_sequenced(a->endpoint) ? CTL_INCREASING
							       : CTL_RANDOM,
				     ctx->now_us)) {
		log_late(ctx, a->endpoint->id, a->endpoint->incarnation,
			 &e->incarnations);
		return;
	}
	if (before != e->incarnations.current) {
		e->sequence = 0;
		e->puts = 0;
		e->residency_proposed_us = 0;
		e->residency_hash = 0;
		e->copies_from_orders_us = 0;
	}
	if (a->load && a->load->sequence < e->sequence)
		return;
	if (a->load) {
		e->sequence = a->load->sequence;
		ctl_report_load(ctx, a->load);
		plc_update_load(ctx->plc, a->load, ctx->now_us);
	}
	e->heard_us = ctx->now_us;
	e->heard_read_us = ctx->read_us;
	put_endpoint(ctx, e, a);
	for (size_t i = 0; i < a->n_results; i++)
		ctl_order_result(ctx, a->endpoint->id, a->results[i]);
	if (is_sequenced(a->endpoint))
		return;
	ctl_order_copies(ctx, a->endpoint);
	propose_residency(ctx, e, a);
}

/* Handles the copies of an endpoint that the edge's order agent announces. */
void ctl_member_copies(struct ctl *ctx, const Dsp__Announcement *a)
{
	struct ctl_endpoint *e =
		g_hash_table_lookup(ctx->endpoints, a->endpoint->id);
	const Dsp__Endpoint *known = st_endpoint(ctx->st, a->endpoint->id);
	Dsp__Endpoint endpoint;

	if (!e || !known || known->incarnation != a->endpoint->incarnation)
		return;
	e->copies_from_orders_us = ctx->now_us;
	endpoint = *known;
	endpoint.copies = a->endpoint->copies;
	endpoint.n_copies = a->endpoint->n_copies;
	if (st_same_copies(known, &endpoint))
		return;
	propose_endpoint(ctx, &endpoint);
}

static void expire_endpoints(struct ctl *ctx)
{
	int64_t lease_us = (int64_t)ctx->set->endpoint_lease_ms * 1000;
	const Dsp__Endpoint **endpoints;
	size_t n = st_endpoints(ctx->st, &endpoints);

	for (size_t i = 0; i < n; i++) {
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointDown down = DSP__ENDPOINT_DOWN__INIT;
		struct ctl_endpoint *e =
			g_hash_table_lookup(ctx->endpoints, endpoints[i]->id);
		int64_t heard_us = ctx->leader_since_read_us;

		if (endpoints[i]->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
			continue;
		if (e)
			heard_us = MAX(heard_us, e->heard_read_us);
		if (ctx->read_us - heard_us <= lease_us ||
		    (e && e->put_us &&
		     ctx->now_us - e->put_us < REPROPOSE_DELAY_US))
			continue;
		if (!e) {
			e = g_new0(struct ctl_endpoint, 1);
			e->incarnations.current = endpoints[i]->incarnation;
			g_hash_table_insert(ctx->endpoints,
					    g_strdup(endpoints[i]->id), e);
		}
		e->put_us = ctx->now_us;
		LOG_EVENT_NOTICE("ctl", "endpoint_down", "endpoint=%s",
				 endpoints[i]->id);
		down.id = endpoints[i]->id;
		down.incarnation = endpoints[i]->incarnation;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_DOWN;
		command.endpoint_down = &down;
		propose(ctx, &command);
	}
	g_free(endpoints);
}

/* On the leader: handles a report. */
void ctl_member_report(struct ctl *ctx, const Dsp__Report *report)
{
	for (size_t i = 0; i < report->n_nodes; i++)
		if (report->nodes[i]->node && report->nodes[i]->node->id[0])
			update_member(ctx, report->nodes[i]);
	for (size_t i = 0; i < report->n_announcements; i++)
		handle_announcement(ctx, report->announcements[i]);
	for (size_t i = 0; i < report->n_demands; i++) {
		plc_add_demand(ctx->plc, report->demands[i], ctx->now_us);
		if (ctx->cb.demand)
			ctx->cb.demand(ctx->cb.data, report->demands[i]);
	}
	for (size_t i = 0; ctx->cb.pace && i < report->n_paces; i++)
		ctx->cb.pace(ctx->cb.data, report->paces[i]);
	ctl_parts_add(ctx, report->part_evidence);
	ctl_stream_add(ctx, report->streams_begun);
	ctl_spread_run(ctx);
}

/* ---- Time limits ---- */

static bool claim_expired(struct ctl *ctx, uint64_t wall_ms)
{
	const Dsp__Claim **claims;
	size_t n = st_claims_open(ctx->st, &claims);
	bool expired = false;

	for (size_t i = 0; i < n && !expired; i++)
		expired = claims[i]->deadline_ms + CLAIM_GRACE_MS < wall_ms;
	g_free(claims);
	return expired;
}

static bool expire_is_due(struct ctl *ctx, uint64_t wall_ms)
{
	int64_t age_us = ctx->now_us - ctx->last_expire_us;

	if (age_us >= PARTS_EXPIRE_INTERVAL_US &&
	    st_parts_due_ms(ctx->st) <= wall_ms)
		return true;
	if (age_us < CTL_S_US)
		return false;
	return age_us >= EXPIRE_INTERVAL_US || claim_expired(ctx, wall_ms);
}

/* Proposes an Expire command if a claim or a prompt part has expired, otherwise
 * rarely, so that an idle group writes next to nothing. */
static void propose_expire(struct ctl *ctx)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__Expire expire = DSP__EXPIRE__INIT;
	uint64_t wall_ms =
		(uint64_t)MAX(clk_wall_ms(ctx->clock), st_wall_ms(ctx->st));

	if (!expire_is_due(ctx, wall_ms))
		return;
	ctx->last_expire_us = ctx->now_us;
	command.body_case = DSP__COMMAND__BODY_EXPIRE;
	command.expire = &expire;
	propose(ctx, &command);
}

/* ---- Replicas ---- */

static uint64_t match_index(void *data, uint64_t replica)
{
	const struct ctl *ctx = data;

	return raft_match_index(ctx->raft, replica);
}

static bool replica_alive(void *data, uint64_t replica)
{
	const struct ctl *ctx = data;
	int64_t heard_us = ctl_raft_heard_us(ctx, replica);

	return replica == ctx->replica ||
	       (heard_us && ctx->now_us - heard_us < REPLICA_ALIVE_US);
}

static bool replica_answers(void *data, uint64_t replica)
{
	const struct ctl *ctx = data;
	int64_t heard_us = ctl_raft_heard_us(ctx, replica);

	return replica == ctx->replica ||
	       (heard_us && ctx->now_us - heard_us <
				    ctx->set->election_timeout_ms * 1000LL);
}

static int64_t silent_since_us(const struct ctl *ctx, uint64_t replica)
{
	return ctl_rule_silent_since_us(ctl_raft_heard_us(ctx, replica),
					ctx->leader_since_us,
					replica == ctx->last_leader);
}

static bool replica_replaceable(void *data, uint64_t replica)
{
	const struct ctl *ctx = data;

	return replica != ctx->replica &&
	       ctx->now_us - silent_since_us(ctx, replica) >
		       REPLACEABLE_AFTER_US;
}

static size_t list_joins(struct ctl *ctx, Dsp__Member ***out)
{
	GHashTableIter iter;
	struct ctl_join *join;
	size_t n = 0;

	*out = g_new0(Dsp__Member *, g_hash_table_size(ctx->joins) + 1);
	g_hash_table_iter_init(&iter, ctx->joins);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&join)) {
		if (ctx->now_us - join->heard_us > JOIN_LIMIT_US)
			g_hash_table_iter_remove(&iter);
		else
			(*out)[n++] = join->member;
	}
	return n;
}

static const Dsp__Member *find_member(const Dsp__RaftConfig *config,
				      uint64_t replica)
{
	for (size_t i = 0; i < config->n_members; i++)
		if (config->members[i]->replica == replica)
			return config->members[i];
	return NULL;
}

/* Returns the member that one of the configurations lacks, or that is a voter
 * in one of them only. */
static const Dsp__Member *changed_member(const Dsp__RaftConfig *from,
					 const Dsp__RaftConfig *to)
{
	for (size_t i = 0; i < from->n_members; i++)
		if (!find_member(to, from->members[i]->replica))
			return from->members[i];
	for (size_t i = 0; i < to->n_members; i++) {
		const Dsp__Member *m = to->members[i];
		const Dsp__Member *before = find_member(from, m->replica);

		if (!before || before->voter != m->voter)
			return m;
	}
	return NULL;
}

/* Logs a step of a repair with the member that it changes; config NULL: it
 * changes none. */
static void log_repair(const struct ctl *ctx, enum ctl_repair_step step,
		       const Dsp__RaftConfig *config)
{
	const Dsp__RaftConfig *now = raft_config(ctx->raft);
	const Dsp__Member *m = config ? changed_member(now, config) : NULL;
	int64_t silent_us =
		m && m->replica != ctx->replica
			? ctx->now_us - silent_since_us(ctx, m->replica)
			: 0;
	char labels[64];

	g_snprintf(labels, sizeof(labels), "step=\"%s\"",
		   ctl_rule_repair_name(step));
	if (m)
		met_count(ctx->met, "dandelionspar_repairs", labels, 1);
	LOG_EVENT_NOTICE("ctl", "repair",
			 "step=%s node=%s replica=%016" G_GINT64_MODIFIER
			 "x silent_ms=%" G_GINT64_FORMAT
			 " members=%zu commit=%" G_GUINT64_FORMAT,
			 ctl_rule_repair_name(step), m ? m->node : "-",
			 m ? m->replica : 0, silent_us / 1000, now->n_members,
			 raft_commit_index(ctx->raft));
}

static void repair_replicas(struct ctl *ctx)
{
	struct ctl_repair_input in = {
		.config = raft_config(ctx->raft),
		.commit_index = raft_commit_index(ctx->raft),
		.voters_wanted = ctx->set->voters,
		.data = ctx,
		.match = match_index,
		.alive = replica_alive,
		.answers = replica_answers,
		.replaceable = replica_replaceable,
	};
	enum ctl_repair_step step;
	Dsp__RaftConfig *config;
	struct ctl_waiter *waiter;
	Dsp__Member **joining;

	if (raft_config_pending(ctx->raft))
		return;
	in.n_joining = list_joins(ctx, &joining);
	in.joining = joining;
	step = ctl_rule_repair(&in, &config);
	if (step != ctx->repair || config)
		log_repair(ctx, step, config);
	ctx->repair = step;
	if (config) {
		waiter = ctl_waiter_new(CTL_WAIT_NONE);
		if (!ctl_raft_propose_config(ctx, config, waiter))
			g_free(waiter);
		dsp__raft_config__free_unpacked(config, NULL);
	}
	g_free(joining);
}

/* ---- Placement ---- */

static void run_placement(struct ctl *ctx)
{
	Dsp__Command **commands;
	struct ctl_waiter *waiter;
	size_t n;

	/* The planner reads the state, which lacks orders that are not applied
	 * yet. Another round now would plan them twice. */
	if (ctx->now_us < ctx->placement_due_us || ctx->placements_pending)
		return;
	ctx->placement_due_us = ctx->now_us + PLACEMENT_INTERVAL_US;
	n = plc_round(ctx->plc, ctx->st, ctx->now_us, &commands);
	for (size_t i = 0; i < n; i++) {
		waiter = ctl_waiter_new(CTL_WAIT_PLACEMENT);
		if (ctl_raft_propose(ctx, commands[i], waiter))
			ctx->placements_pending++;
		else
			g_free(waiter);
		dsp__command__free_unpacked(commands[i], NULL);
	}
	g_free(commands);
}

/* Runs the leader's periodic duties, if due. */
void ctl_member_run(struct ctl *ctx)
{
	if (!ctx->ready_leader || !ctl_raft_is_leader(ctx) ||
	    ctx->now_us < ctx->member_due_us)
		return;
	ctx->member_due_us = ctx->now_us + RUN_INTERVAL_US;
	if (ctx->now_us >= ctx->leases_due_us ||
	    view_n_endpoints(ctx->view) <= LEASES_OFTEN) {
		ctx->leases_due_us = ctx->now_us + LEASES_INTERVAL_US;
		expire_nodes(ctx);
		expire_endpoints(ctx);
	}
	propose_expire(ctx);
	repair_replicas(ctx);
	run_placement(ctx);
	ctl_spread_run(ctx);
}
