#include "node/ctl_int.h"

#include "base/log.h"
#include "base/msg.h"

#include <string.h>
#include <sys/random.h>

/* Interval of queries to the other control instances while forming. */
#define QUERY_INTERVAL_US 300000
/* Interval at which a new learner repeats its request to join. */
#define JOIN_INTERVAL_US 500000
/* A replica without a leader for this time, which is longer than an election,
 * asks to be taken back: the group may have replaced it. */
#define REJOIN_AFTER_US (2LL * CTL_S_US)

/* Returns true if a peer or seed of the settings is this instance. */
bool ctl_form_is_self(const struct ctl *ctx, const struct set_peer *peer)
{
	return !strcmp(peer->id, ctx->set->id) ||
	       !strcmp(peer->address, ctx->set->internal_advertise);
}

/* Returns true if this instance may create a group: it must be an initial
 * voter. With seeds, the settings must also say that the whole system starts
 * for the first time (bootstrap). */
static bool may_create_group(const struct ctl *ctx)
{
	const struct set *set = ctx->set;

	if (!set->seeded)
		return true;
	if (!set->bootstrap)
		return false;
	for (size_t i = 0; i < set->n_peers; i++)
		if (ctl_form_is_self(ctx, &set->peers[i]))
			return true;
	return false;
}

static struct ctl_form_answer *find_answer(struct ctl *ctx, const char *node,
					   const char *address)
{
	for (size_t i = 0; i < ctx->n_form_answers; i++) {
		struct ctl_form_answer *answer = &ctx->form_answers[i];

		if (!strcmp(answer->address, address) ||
		    !g_strcmp0(answer->node, node))
			return answer;
	}
	return NULL;
}

/* Frees the answers of the other instances. */
void ctl_form_clear(struct ctl *ctx)
{
	for (size_t i = 0; i < ctx->n_form_answers; i++) {
		g_free(ctx->form_answers[i].reported_node);
		g_free(ctx->form_answers[i].site);
	}
	g_clear_pointer(&ctx->form_answers, g_free);
	ctx->n_form_answers = 0;
}

/* Starts group formation if the replica has no group. */
void ctl_form_start(struct ctl *ctx)
{
	const struct set *set = ctx->set;

	if (!ctx->sto || ctx->raft || ctx->disk_failed)
		return;
	ctl_form_clear(ctx);
	ctx->forming = true;
	ctx->joining = false;
	ctx->form_answers = g_new0(struct ctl_form_answer, set->n_peers + 1);
	for (size_t i = 0; i < set->n_peers; i++)
		if (set->peers[i].control &&
		    !ctl_form_is_self(ctx, &set->peers[i])) {
			struct ctl_form_answer *answer =
				&ctx->form_answers[ctx->n_form_answers++];

			answer->address = set->peers[i].address;
			if (set->peers[i].id[0])
				answer->node = set->peers[i].id;
			answer->site = g_strdup(set->peers[i].site);
		}
	LOG_EVENT_NOTICE("ctl", "forming",
			 "replica=%016" G_GINT64_MODIFIER "x peers=%zu",
			 ctx->replica, ctx->n_form_answers);
}

static void send_to_peers(struct ctl *ctx, Dsp__Envelope *out)
{
	for (size_t i = 0; ctx->seeds[i]; i++)
		ctl_send(ctx, ctx->seeds[i], out);
}

static void send_queries(struct ctl *ctx)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__FormQuery query = DSP__FORM_QUERY__INIT;

	query.node = ctx->set->id;
	query.replica = ctx->replica;
	out.body_case = DSP__ENVELOPE__BODY_FORM_QUERY;
	out.form_query = &query;
	send_to_peers(ctx, &out);
}

static void fill_own_member(struct ctl *ctx, Dsp__Member *member)
{
	dsp__member__init(member);
	member->replica = ctx->replica;
	member->node = ctx->set->id;
	member->address = ctx->set->internal_advertise;
	member->site = ctx->set->site;
}

static void send_join(struct ctl *ctx)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__JoinRequest request = DSP__JOIN_REQUEST__INIT;
	Dsp__Member member;

	fill_own_member(ctx, &member);
	request.member = &member;
	request.group = ctx->raft ? ctx->group : 0;
	out.body_case = DSP__ENVELOPE__BODY_JOIN_REQUEST;
	out.join_request = &request;
	send_to_peers(ctx, &out);
	if (ctx->leader_address)
		ctl_send(ctx, ctx->leader_address, &out);
}

static void send_group(struct ctl *ctx, const char *address, uint64_t group,
		       const Dsp__RaftConfig *config)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__FormGroup message = DSP__FORM_GROUP__INIT;

	message.group = group;
	message.config = (Dsp__RaftConfig *)config;
	out.body_case = DSP__ENVELOPE__BODY_FORM_GROUP;
	out.form_group = &message;
	ctl_send(ctx, address, &out);
}

static uint64_t random_group(void)
{
	uint64_t group = 0;

	while (!group)
		if (getrandom(&group, sizeof(group), 0) < 0)
			group = 0;
	return group;
}

/* Creates a group of the initial voters. All of them are without a group, and
 * this one has the lowest id. */
static void create_group(struct ctl *ctx)
{
	const struct set *set = ctx->set;
	size_t max = set->n_peers + 1;
	g_autofree Dsp__Member *members = g_new0(Dsp__Member, max);
	g_autofree Dsp__Member **list = g_new0(Dsp__Member *, max);
	Dsp__RaftConfig config = DSP__RAFT_CONFIG__INIT;
	uint64_t group = random_group();

	config.members = list;
	list[config.n_members++] = &members[0];
	fill_own_member(ctx, &members[0]);
	members[0].voter = true;
	for (size_t i = 0; i < ctx->n_form_answers; i++) {
		const struct ctl_form_answer *answer = &ctx->form_answers[i];
		Dsp__Member *m = &members[config.n_members];

		dsp__member__init(m);
		m->replica = answer->replica;
		m->node = (char *)answer->node;
		m->address = (char *)answer->address;
		m->site = answer->site;
		m->voter = true;
		list[config.n_members++] = m;
	}
	LOG_EVENT_NOTICE("ctl", "group_created",
			 "group=%016" G_GINT64_MODIFIER "x voters=%zu", group,
			 config.n_members);
	if (!ctl_raft_set_group(ctx, group, &config))
		return;
	ctx->saw_group_formation = true;
	ctx->forming = false;
	for (size_t i = 1; i < config.n_members; i++)
		send_group(ctx, list[i]->address, group, &config);
}

/*
 * Asks for the replica's return to its group while it hears no leader. The
 * leader sends nothing to a replica that was replaced while it was away. One
 * that is still a member gets the group that it has, and ignores it.
 */
static void run_rejoin(struct ctl *ctx)
{
	int64_t silent_us;

	if (ctl_raft_is_leader(ctx))
		ctx->led_us = ctx->now_us;
	silent_us = ctx->now_us -
		    MAX(ctx->led_us, raft_leader_contact_us(ctx->raft));
	if (silent_us <= REJOIN_AFTER_US) {
		ctx->rejoining = false;
		return;
	}
	if (ctx->now_us < ctx->form_due_us)
		return;
	if (!ctx->rejoining) {
		met_count(ctx->met, "dandelionspar_rejoins", "", 1);
		LOG_EVENT_NOTICE("ctl", "rejoining",
				 "replica=%016" G_GINT64_MODIFIER
				 "x silent_ms=%" G_GINT64_FORMAT,
				 ctx->replica, silent_us / 1000);
	}
	ctx->rejoining = true;
	send_join(ctx);
	ctx->form_due_us = ctx->now_us + JOIN_INTERVAL_US;
}

/* Advances group formation, joining or the return to the group, if due. */
void ctl_form_run(struct ctl *ctx)
{
	enum ctl_form_action action;

	if (ctx->raft) {
		run_rejoin(ctx);
		return;
	}
	if (!ctx->forming || ctx->now_us < ctx->form_due_us)
		return;
	if (!ctx->joining) {
		action = ctl_rule_form(ctx->set->id, ctx->form_answers,
				       ctx->n_form_answers);
		if (action == CTL_FORM_JOIN) {
			ctx->joining = true;
			LOG_EVENT_NOTICE("ctl", "joining",
					 "replica=%016" G_GINT64_MODIFIER "x",
					 ctx->replica);
		} else if (action == CTL_FORM_CREATE && may_create_group(ctx)) {
			create_group(ctx);
			return;
		}
	}
	if (ctx->joining) {
		send_join(ctx);
		ctx->form_due_us = ctx->now_us + JOIN_INTERVAL_US;
		return;
	}
	/* Answers count for one round only: an instance may have joined a group
	 * since its last answer. */
	for (size_t i = 0; i < ctx->n_form_answers; i++)
		ctx->form_answers[i].answered = false;
	send_queries(ctx);
	ctx->form_due_us = ctx->now_us + QUERY_INTERVAL_US;
}

static bool is_member(const Dsp__RaftConfig *config, uint64_t replica)
{
	for (size_t i = 0; config && i < config->n_members; i++)
		if (config->members[i]->replica == replica)
			return true;
	return false;
}

/*
 * Answers the query of an instance without a group. If its replica is already a
 * member, it lost the message with the group, which is sent again. It has never
 * voted, since a replica starts only after it has stored its group.
 */
void ctl_form_query(struct ctl *ctx, const Dsp__Envelope *from,
		    const Dsp__FormQuery *query)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__FormReply reply = DSP__FORM_REPLY__INIT;

	if (!ctx->sto || ctx->disk_failed)
		return; /* unknown whether this replica has a group */
	if (ctx->raft && is_member(ctx->applied_config, query->replica))
		send_group(ctx, from->address, ctx->group, ctx->applied_config);
	reply.node = ctx->set->id;
	reply.replica = ctx->replica;
	reply.group = ctx->raft ? ctx->group : 0;
	reply.address = ctx->set->internal_advertise;
	reply.site = ctx->set->site;
	out.body_case = DSP__ENVELOPE__BODY_FORM_REPLY;
	out.form_reply = &reply;
	ctl_send(ctx, from->address, &out);
}

/* Handles the answer of another control instance. */
void ctl_form_reply(struct ctl *ctx, const Dsp__FormReply *reply)
{
	struct ctl_form_answer *answer;
	enum ctl_form_action action;

	if (!ctx->forming)
		return;
	if (reply->group && !ctx->joining) {
		/* A seed that replaced another is not in form_answers. */
		ctx->joining = true;
		ctx->form_due_us = 0;
		LOG_EVENT_NOTICE("ctl", "joining",
				 "replica=%016" G_GINT64_MODIFIER "x node=%s",
				 ctx->replica, reply->node);
	}
	answer = find_answer(ctx, reply->node, reply->address);
	if (!answer)
		return;
	if (!answer->node) {
		answer->reported_node = g_strdup(reply->node);
		answer->node = answer->reported_node;
		g_free(answer->site);
		answer->site = g_strdup(reply->site);
	}
	answer->answered = true;
	answer->replica = reply->replica;
	answer->group = reply->group;
	action = ctl_rule_form(ctx->set->id, ctx->form_answers,
			       ctx->n_form_answers);
	if (!ctx->joining &&
	    (action == CTL_FORM_JOIN ||
	     (action == CTL_FORM_CREATE && may_create_group(ctx))))
		ctx->form_due_us = 0;
}

/* Handles the group that another instance has made this replica a member of. */
void ctl_form_group(struct ctl *ctx, const Dsp__FormGroup *message)
{
	if (!ctx->forming || !message->group ||
	    !is_member(message->config, ctx->replica))
		return;
	/* An instance that did not ask to join is an initial voter. */
	ctx->saw_group_formation = !ctx->joining;
	if (ctl_raft_set_group(ctx, message->group, message->config))
		LOG_EVENT_NOTICE("ctl", "group_joined",
				 "group=%016" G_GINT64_MODIFIER "x",
				 message->group);
	ctx->forming = false;
	ctx->joining = false;
}

/*
 * Handles the request of a replica to join the group. The leader stores it; any
 * other replica forwards it to the leader, which the sender may not know. A
 * replica that returns with its old log must hold a log of this group, since
 * entries of equal index and term are taken to be equal.
 */
void ctl_form_join(struct ctl *ctx, const Dsp__Envelope *from,
		   const Dsp__JoinRequest *request)
{
	const Dsp__Member *m = request->member;
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	struct ctl_join *join;

	if (!m || !m->replica || !m->node[0] || !ctx->raft)
		return;
	if (!ctl_raft_is_leader(ctx)) {
		out.body_case = DSP__ENVELOPE__BODY_JOIN_REQUEST;
		out.join_request = (Dsp__JoinRequest *)request;
		/* The leader that this replica remembers may be itself. */
		if (!strcmp(from->from, m->node) &&
		    strcmp(m->node, ctx->set->id) != 0)
			ctl_send(ctx, ctx->leader_address, &out);
		return;
	}
	if (is_member(ctx->applied_config, m->replica)) {
		send_group(ctx, m->address, ctx->group, ctx->applied_config);
		g_hash_table_remove(ctx->joins, &m->replica);
		return;
	}
	if (request->group && request->group != ctx->group) {
		LOG_EVENT_WARN("ctl", "join_refused",
			       "node=%s replica=%016" G_GINT64_MODIFIER
			       "x group=%016" G_GINT64_MODIFIER "x",
			       m->node, m->replica, request->group);
		return;
	}
	if (!g_hash_table_contains(ctx->joins, &m->replica))
		LOG_EVENT_NOTICE("ctl", "join_requested",
				 "node=%s replica=%016" G_GINT64_MODIFIER
				 "x returns=%d",
				 m->node, m->replica, request->group != 0);
	join = g_new0(struct ctl_join, 1);
	join->member = msg_dup(m);
	join->heard_us = ctx->now_us;
	g_hash_table_replace(ctx->joins,
			     g_memdup2(&m->replica, sizeof(m->replica)), join);
}
