#include "node/ctl_int.h"

#include "base/log.h"
#include "base/msg.h"

#include <stdio.h>
#include <string.h>

/* Log size above which a snapshot is written. Replaying this much at start
 * takes well under a second. */
#define SNAPSHOT_LOG_BYTES (16 << 20)
/* Limit of the entries in one message to a follower. */
#define BATCH_BYTES (256 << 10)
/* How long the result of a forwarded command is kept for resends. Must be
 * longer than RESEND_PERIOD_US of ctl_call.c. */
#define FORWARD_RESULT_KEEP_US (10LL * CTL_S_US)
/* Interval of attempts to use a full disk again. It is shorter than the time
 * after which the group treats a silent replica as gone. Each attempt writes
 * one log line. */
#define REOPEN_INTERVAL_US 500000
/* How long the sender of a message is remembered that is no member. Its next
 * message renews it. */
#define REPLICA_KEEP_US (10LL * CTL_S_US)
/* Shortest time between log lines about messages without an address. */
#define UNADDRESSED_LOG_US CTL_S_US

static Dsp__CommandResult *result_new(Dsp__ResultCode code, const char *message)
{
	Dsp__CommandResult *result = g_new(Dsp__CommandResult, 1);

	dsp__command_result__init(result);
	result->code = code;
	result->message = g_strdup(message);
	return result;
}

/* Creates a waiter. ctl_raft_propose() takes it and sets its index. */
struct ctl_waiter *ctl_waiter_new(enum ctl_waiter_kind kind)
{
	struct ctl_waiter *waiter = g_new0(struct ctl_waiter, 1);

	waiter->kind = kind;
	return waiter;
}

static const Dsp__Member *find_member(const Dsp__RaftConfig *config,
				      uint64_t replica)
{
	for (size_t i = 0; config && i < config->n_members; i++)
		if (config->members[i]->replica == replica)
			return config->members[i];
	return NULL;
}

/*
 * Returns the reason why an operator cannot remove a replica, or NULL if it can
 * be removed. The leader's own replica cannot: it is alive, and the removal of
 * a single voter would leave a group that nobody can change.
 */
Dsp__CommandResult *ctl_raft_check_removal(struct ctl *ctx, uint64_t replica)
{
	if (!find_member(raft_config(ctx->raft), replica))
		return result_new(DSP__RESULT_CODE__RESULT_NOT_FOUND,
				  "no replica of the group has this identity");
	if (replica == ctx->replica)
		return result_new(DSP__RESULT_CODE__RESULT_INVALID,
				  "the replica leads the group; stop its "
				  "instance first");
	return NULL;
}

/* ---- Forwarded commands ---- */

static void send_reply(struct ctl *ctx, const char *address, uint64_t id,
		       uint64_t boot, Dsp__CommandResult *result,
		       const char *leader)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__ForwardReply reply = DSP__FORWARD_REPLY__INIT;

	reply.id = id;
	reply.boot = boot;
	reply.result = result;
	reply.leader = (char *)(leader ? leader : "");
	out.body_case = DSP__ENVELOPE__BODY_FORWARD_REPLY;
	out.forward_reply = &reply;
	ctl_send(ctx, address, &out);
}

static void reply_not_leader(struct ctl *ctx, const char *address, uint64_t id,
			     uint64_t boot)
{
	Dsp__CommandResult result = DSP__COMMAND_RESULT__INIT;

	result.code = DSP__RESULT_CODE__RESULT_NOT_LEADER;
	send_reply(ctx, address, id, boot, &result, ctx->leader_address);
}

/* Replies that the command was not proposed; takes the result. */
static void reply_rejected(struct ctl *ctx, const Dsp__Envelope *from,
			   const Dsp__Forward *in, Dsp__CommandResult *result)
{
	send_reply(ctx, from->address, in->id, in->boot, result, NULL);
	dsp__command_result__free_unpacked(result, NULL);
}

/* Replies with the outcome of a forwarded command, NULL: it never takes effect.
 * Takes the result. */
static void forward_committed(struct ctl *ctx, struct ctl_forward *forward,
			      Dsp__CommandResult *result)
{
	if (!result) {
		reply_not_leader(ctx, forward->address, forward->id,
				 forward->boot);
		g_hash_table_remove(ctx->forwards, forward->key);
		return;
	}
	forward->result = result;
	forward->finished_us = ctx->now_us;
	STAILQ_INSERT_TAIL(&ctx->forwards_done, forward, link);
	send_reply(ctx, forward->address, forward->id, forward->boot, result,
		   NULL);
}

/*
 * Returns whether no other replica can lead now: a quorum has answered this one
 * within an election timeout. The clock is read again: this process may have
 * been stopped since the iteration began.
 */
bool ctl_raft_leads(const struct ctl *ctx)
{
	int64_t lease_us = (int64_t)ctx->set->election_timeout_ms * 1000;

	return ctx->ready_leader && ctl_raft_is_leader(ctx) &&
	       !raft_is_transferring(ctx->raft) &&
	       clk_now_us(ctx->clock) - raft_quorum_contact_us(ctx->raft) <
		       lease_us;
}

/* Answers a command that only reads, or returns NULL if it has to go through
 * the log: this replica may have been deposed. */
Dsp__CommandResult *ctl_raft_read(struct ctl *ctx, const Dsp__Command *command)
{
	if (command->body_case != DSP__COMMAND__BODY_STREAMS_FIND ||
	    !ctl_raft_leads(ctx))
		return NULL;
	return st_find_streams(ctx->st, command->streams_find);
}

/* A table whose number is not above the one in force has no effect: it is a
 * resend, or a newer one came first. */
bool ctl_raft_hold_known(struct ctl *ctx, const Dsp__Command *command,
			 struct ctl_waiter *waiter)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	Dsp__CommandResult *result;

	if (command->body_case != DSP__COMMAND__BODY_ROUTE_TABLE_PUT ||
	    !command->route_table_put->table || !table ||
	    command->route_table_put->table->number > table->number ||
	    !ctl_raft_leads(ctx))
		return false;
	result = result_new(DSP__RESULT_CODE__RESULT_SAME, "");
	result->number = table->number;
	result->index = ctl_spread_index_of(
		ctx, command->route_table_put->table->number);
	ctl_spread_hold(ctx, waiter, result);
	return true;
}

static bool propose_forward(struct ctl *ctx, const Dsp__Forward *in,
			    Dsp__Command *command, struct ctl_forward *forward)
{
	struct ctl_waiter *waiter = ctl_waiter_new(CTL_WAIT_FORWARD);
	Dsp__RaftConfig *config;
	bool ok;

	waiter->forward = forward;
	if (command) {
		ok = ctl_raft_hold_known(ctx, command, waiter) ||
		     ctl_raft_propose(ctx, command, waiter);
	} else {
		config = ctl_rule_config_without(raft_config(ctx->raft),
						 in->replace_replica);
		ok = ctl_raft_propose_config(ctx, config, waiter);
		dsp__raft_config__free_unpacked(config, NULL);
	}
	if (!ok)
		g_free(waiter);
	return ok;
}

static void start_forward(struct ctl *ctx, const Dsp__Envelope *from,
			  const Dsp__Forward *in, char *key)
{
	struct ctl_forward *forward;
	Dsp__CommandResult *rejection = NULL;
	Dsp__CommandResult *read;
	Dsp__Command *command = NULL;

	if (in->replace_replica)
		rejection = ctl_raft_check_removal(ctx, in->replace_replica);
	else
		command = dsp__command__unpack(NULL, in->command.len,
					       in->command.data);
	if (!in->replace_replica && !command)
		rejection = result_new(DSP__RESULT_CODE__RESULT_INVALID,
				       "the command cannot be parsed");
	if (rejection) {
		reply_rejected(ctx, from, in, rejection);
		g_free(key);
		return;
	}
	read = command ? ctl_raft_read(ctx, command) : NULL;
	if (read) {
		send_reply(ctx, from->address, in->id, in->boot, read, NULL);
		dsp__command_result__free_unpacked(read, NULL);
		dsp__command__free_unpacked(command, NULL);
		g_free(key);
		return;
	}
	forward = g_new0(struct ctl_forward, 1);
	forward->key = key;
	forward->address = g_strdup(from->address);
	forward->id = in->id;
	forward->boot = in->boot;
	g_hash_table_insert(ctx->forwards, forward->key, forward);
	if (!propose_forward(ctx, in, command, forward)) {
		reply_not_leader(ctx, from->address, in->id, in->boot);
		g_hash_table_remove(ctx->forwards, forward->key);
	}
	if (command)
		dsp__command__free_unpacked(command, NULL);
}

/*
 * Handles a command forwarded by another instance. This replica proposes the
 * same forward id at most once: a resend waits for the outcome of the first or
 * gets its result. If the replica loses leadership after the proposal, it does
 * not reply before the log has the outcome, since the sender would take "not
 * leader" as proof that the command had no effect.
 */
void ctl_raft_forward(struct ctl *ctx, const Dsp__Envelope *from,
		      const Dsp__Forward *in)
{
	char *key =
		g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
				in->node, in->boot, in->id);
	struct ctl_forward *known = g_hash_table_lookup(ctx->forwards, key);

	if (known) {
		g_free(key);
		if (known->result)
			send_reply(ctx, from->address, in->id, in->boot,
				   known->result, NULL);
	} else if (!ctl_raft_is_leader(ctx)) {
		g_free(key);
		reply_not_leader(ctx, from->address, in->id, in->boot);
	} else {
		start_forward(ctx, from, in, key);
	}
}

/* Frees results that no resend can request any more. */
void ctl_raft_expire_forwards(struct ctl *ctx)
{
	struct ctl_forward *forward;

	while (!STAILQ_EMPTY(&ctx->forwards_done)) {
		forward = STAILQ_FIRST(&ctx->forwards_done);
		if (ctx->now_us - forward->finished_us < FORWARD_RESULT_KEEP_US)
			return;
		STAILQ_REMOVE_HEAD(&ctx->forwards_done, link);
		g_hash_table_remove(ctx->forwards, forward->key);
	}
}

/* ---- Waiters ---- */

/* Reports the outcome of a proposal to its waiter, NULL: the command never
 * takes effect. Takes the result and frees the waiter. */
void ctl_raft_finish_waiter(struct ctl *ctx, struct ctl_waiter *waiter,
			    Dsp__CommandResult *result)
{
	switch (waiter->kind) {
	case CTL_WAIT_CALL:
		ctl_call_committed(ctx, waiter->call, result);
		result = NULL;
		break;
	case CTL_WAIT_FORWARD:
		forward_committed(ctx, waiter->forward, result);
		result = NULL;
		break;
	case CTL_WAIT_PLACEMENT:
		if (ctx->placements_pending)
			ctx->placements_pending--;
		if (result)
			ctl_order_committed(ctx, result);
		break;
	case CTL_WAIT_PARTS:
		ctl_parts_committed(ctx, waiter->evidence, result);
		break;
	case CTL_WAIT_STREAMS:
		ctl_stream_committed(ctx, waiter->streams, result);
		break;
	case CTL_WAIT_NONE:
		break;
	}
	if (result)
		dsp__command_result__free_unpacked(result, NULL);
	g_free(waiter);
}

/*
 * Ends the wait for a committed change that this replica must not acknowledge,
 * since it can't tell which entries have it. The command is sent to the next
 * leader, by this instance or by the one that has forwarded it. Takes the
 * result and the waiter.
 */
void ctl_raft_abandon_waiter(struct ctl *ctx, struct ctl_waiter *waiter,
			     Dsp__CommandResult *result)
{
	met_count(ctx->met, "dandelionspar_results_abandoned", "", 1);
	LOG_EVENT_NOTICE("ctl", "result_abandoned", "index=%" G_GUINT64_FORMAT,
			 result->index);
	dsp__command_result__free_unpacked(result, NULL);
	if (waiter->kind == CTL_WAIT_CALL)
		ctl_call_abandoned(ctx, waiter->call);
	else
		g_hash_table_remove(ctx->forwards, waiter->forward->key);
	g_free(waiter);
}

static bool is_accepted(const Dsp__CommandResult *result)
{
	return result->code == DSP__RESULT_CODE__RESULT_OK ||
	       result->code == DSP__RESULT_CODE__RESULT_SAME;
}

/* Reports the outcome, or holds it back until the entries have the change.
 * Takes the result and the waiter. */
static void finish_or_hold(struct ctl *ctx, struct ctl_waiter *waiter,
			   Dsp__CommandResult *result)
{
	bool answers = waiter->kind == CTL_WAIT_CALL ||
		       waiter->kind == CTL_WAIT_FORWARD;

	if (!answers || !waiter->changes_service || !result ||
	    !is_accepted(result))
		ctl_raft_finish_waiter(ctx, waiter, result);
	else if (ctl_raft_is_leader(ctx))
		ctl_spread_hold(ctx, waiter, result);
	else
		ctl_raft_abandon_waiter(ctx, waiter, result);
}

static void finish_waiters(struct ctl *ctx, struct ctl_waiters *list,
			   const Dsp__LogEntry *e, Dsp__CommandResult *result)
{
	struct ctl_waiter *w;
	struct ctl_waiter *next;

	for (w = TAILQ_FIRST(list); w && w->index <= e->index; w = next) {
		next = TAILQ_NEXT(w, link);
		TAILQ_REMOVE(list, w, link);
		finish_or_hold(ctx, w,
			       w->index == e->index && w->term == e->term &&
					       result
				       ? msg_dup(result)
				       : NULL);
	}
}

/* The waiters of earlier leaderships are not sorted by index. */
static void finish_orphans(struct ctl *ctx, const Dsp__LogEntry *e,
			   Dsp__CommandResult *result)
{
	struct ctl_waiter *w;
	struct ctl_waiter *next;

	for (w = TAILQ_FIRST(&ctx->orphans); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->index != e->index)
			continue;
		TAILQ_REMOVE(&ctx->orphans, w, link);
		finish_or_hold(ctx, w,
			       w->term == e->term && result ? msg_dup(result)
							    : NULL);
	}
}

/* Drops waiters whose outcome will never be known: a snapshot replaced their
 * part of the log, or the disk failed. */
static void drop_waiters(struct ctl *ctx, struct ctl_waiters *list,
			 uint64_t up_to)
{
	struct ctl_waiter *w;
	struct ctl_waiter *next;

	for (w = TAILQ_FIRST(list); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->index > up_to)
			continue;
		TAILQ_REMOVE(list, w, link);
		if (w->kind == CTL_WAIT_CALL)
			ctl_call_unref(ctx, w->call);
		if (w->kind == CTL_WAIT_PLACEMENT && ctx->placements_pending)
			ctx->placements_pending--;
		if (w->kind == CTL_WAIT_PARTS)
			ctl_parts_committed(ctx, w->evidence, NULL);
		if (w->kind == CTL_WAIT_STREAMS)
			ctl_stream_committed(ctx, w->streams, NULL);
		/* The forward's record is kept, so that no resend of it is
		 * proposed again. */
		g_free(w);
	}
}

/* ---- Replica ---- */

static bool group_is_known(const struct sto_content *content)
{
	return content->group && content->config;
}

static void start_raft(struct ctl *ctx, uint64_t group,
		       const Dsp__RaftConfig *config)
{
	const struct sto_content *content = sto_content(ctx->sto);
	struct raft_options options = {
		.replica = ctx->replica,
		.group = group,
		.seed = ctx->boot,
		.election_timeout_us =
			(int64_t)ctx->set->election_timeout_ms * 1000,
		.heartbeat_us = (int64_t)ctx->set->heartbeat_ms * 1000,
		.max_batch_bytes = BATCH_BYTES,
	};
	struct raft_durable_state durable = {
		.term = content->term,
		.voted_for = content->voted_for,
		.snapshot_index = content->snapshot_index,
		.snapshot_term = content->snapshot_term,
		.config = config,
		.entries = content->entries,
		.n_entries = content->n_entries,
	};

	ctx->group = group;
	if (ctx->applied_config)
		dsp__raft_config__free_unpacked(ctx->applied_config, NULL);
	ctx->applied_config = msg_dup(config);
	ctx->applied_index = content->snapshot_index;
	ctx->applied_term = content->snapshot_term;
	if (content->snapshot &&
	    !st_restore(ctx->st, content->snapshot, content->snapshot_len))
		LOG_EVENT_ERROR("ctl", "snapshot_invalid",
				"index=%" G_GUINT64_FORMAT,
				content->snapshot_index);
	ctx->raft = raft_new(&options, &durable, ctx->now_us);
	ctx->view_dirty = true;
	LOG_EVENT_NOTICE("ctl", "replica_started",
			 "group=%016" G_GINT64_MODIFIER
			 "x replica=%016" G_GINT64_MODIFIER "x",
			 group, ctx->replica);
}

static void set_limits(const struct ctl *ctx, struct st_limits *limits)
{
	*limits = st_default_limits;
	if (ctx->set->claims_max)
		limits->claims_max = ctx->set->claims_max;
	if (ctx->set->claim_bodies_mb)
		limits->claim_bodies_bytes = (uint64_t)ctx->set->claim_bodies_mb
					     << 20;
}

/* Records that the replica cannot use its disk. A full disk is tried again;
 * after any other failure it is unknown what reached the disk. */
static void set_disk_failed(struct ctl *ctx, const GError *error)
{
	ctx->disk_failed = true;
	ctx->disk_full = g_error_matches(error, STO_ERROR, STO_ERROR_FULL) &&
			 !(ctx->sto && sto_sync_failed(ctx->sto));
	ctx->reopen_due_us = ctx->now_us + REOPEN_INTERVAL_US;
}

/* Starts the replica of an opened folder if it belongs to a group. */
static void start_from_folder(struct ctl *ctx)
{
	const struct sto_content *content = sto_content(ctx->sto);
	struct st_limits limits;

	ctx->disk_failed = false;
	ctx->disk_full = false;
	ctx->n_tables = 0;
	ctx->replica = content->replica;
	set_limits(ctx, &limits);
	if (ctx->st)
		st_free(ctx->st);
	ctx->st = st_new(&limits);
	if (group_is_known(content))
		start_raft(ctx, content->group, content->config);
}

/*
 * Opens the data folder of a control instance and starts the replica if it
 * belongs to a group. A damaged, full or failing folder is logged; the instance
 * then serves traffic without a replica. Returns false only if another process
 * uses the folder.
 */
bool ctl_raft_open(struct ctl *ctx, GError **err)
{
	GError *error = NULL;

	if (!ctx->set->control || !ctx->set->data_folder)
		return true;
	ctx->sto = sto_open(ctx->set->data_folder, &error);
	if (!ctx->sto) {
		if (g_error_matches(error, STO_ERROR, STO_ERROR_LOCKED)) {
			g_propagate_error(err, error);
			return false;
		}
		LOG_EVENT_ERROR("ctl", "replica_refused", "reason=\"%s\"",
				error->message);
		set_disk_failed(ctx, error);
		g_clear_error(&error);
		return true;
	}
	start_from_folder(ctx);
	return true;
}

static void handle_disk_failure(struct ctl *ctx, GError *error)
{
	LOG_EVENT_ERROR("ctl", "disk_failed", "reason=\"%s\"", error->message);
	met_count(ctx->met, "dandelionspar_disk_failures", "", 1);
	set_disk_failed(ctx, error);
	g_clear_error(&error);
	drop_waiters(ctx, &ctx->waiters, UINT64_MAX);
	drop_waiters(ctx, &ctx->orphans, UINT64_MAX);
	ctl_spread_stop(ctx);
	if (ctx->was_leader)
		ctl_member_stop(ctx);
	ctx->was_leader = false;
	ctx->ready_leader = false;
	ctx->up.since_us = 0;
	if (ctx->raft)
		raft_free(ctx->raft);
	ctx->raft = NULL;
}

/*
 * Tries to use a full disk again. The folder is read as after a restart:
 * remains of the failed write are truncated. The replica has acknowledged
 * nothing that it had not synced.
 */
void ctl_raft_reopen(struct ctl *ctx)
{
	GError *error = NULL;

	if (!ctx->disk_full || ctx->now_us < ctx->reopen_due_us)
		return;
	if (ctx->sto)
		sto_close(ctx->sto);
	ctx->sto = sto_open(ctx->set->data_folder, &error);
	if (!ctx->sto) {
		set_disk_failed(ctx, error);
		if (!ctx->disk_full)
			LOG_EVENT_ERROR("ctl", "replica_refused",
					"reason=\"%s\"", error->message);
		g_clear_error(&error);
		return;
	}
	LOG_EVENT_NOTICE("ctl", "disk_usable", "folder=%s",
			 ctx->set->data_folder);
	start_from_folder(ctx);
	ctl_form_start(ctx);
}

/* Stores the group in an empty folder and starts the replica. Returns false if
 * the disk failed. */
bool ctl_raft_set_group(struct ctl *ctx, uint64_t group,
			const Dsp__RaftConfig *config)
{
	GError *error = NULL;

	if (!sto_set_group(ctx->sto, group, config, &error) ||
	    !sto_sync(ctx->sto, &error)) {
		handle_disk_failure(ctx, error);
		return false;
	}
	start_raft(ctx, group, config);
	return true;
}

/* Frees the replica and closes the folder. */
void ctl_raft_close(struct ctl *ctx)
{
	ctl_spread_stop(ctx);
	drop_waiters(ctx, &ctx->waiters, UINT64_MAX);
	drop_waiters(ctx, &ctx->orphans, UINT64_MAX);
	if (ctx->raft)
		raft_free(ctx->raft);
	if (ctx->sto)
		sto_close(ctx->sto);
	if (ctx->st)
		st_free(ctx->st);
	if (ctx->applied_config)
		dsp__raft_config__free_unpacked(ctx->applied_config, NULL);
}

/* Returns true if this replica takes itself for the leader. */
bool ctl_raft_is_leader(const struct ctl *ctx)
{
	return ctx->raft && raft_role(ctx->raft) == RAFT_LEADER;
}

/* Frees a struct ctl_replica_seen. */
void ctl_raft_seen_free(void *data)
{
	struct ctl_replica_seen *seen = data;

	g_free(seen->node);
	g_free(seen->address);
	g_free(seen);
}

/* Returns the time of a replica's last message, or 0. */
int64_t ctl_raft_heard_us(const struct ctl *ctx, uint64_t replica)
{
	const struct ctl_replica_seen *seen =
		g_hash_table_lookup(ctx->replicas_seen, &replica);

	return seen ? seen->heard_us : 0;
}

/*
 * Returns the address of a replica, or NULL. A leader or a candidate may have
 * joined after the last membership that this replica has. It still must get its
 * answers, since they are what brings this replica the newer membership.
 */
static const char *replica_address(struct ctl *ctx, uint64_t replica)
{
	const Dsp__Member *m = find_member(raft_config(ctx->raft), replica);
	const struct ctl_replica_seen *sender;
	struct ctl_join *join;
	const char *seen;

	if (!m)
		m = find_member(ctx->applied_config, replica);
	if (m) {
		/* The instance's address may have changed since it became a
		 * member; its messages carry the current one. */
		seen = g_hash_table_lookup(ctx->addresses, m->node);
		return seen ? seen : m->address;
	}
	join = g_hash_table_lookup(ctx->joins, &replica);
	if (join)
		return join->member->address;
	sender = g_hash_table_lookup(ctx->replicas_seen, &replica);
	return sender ? sender->address : NULL;
}

static gboolean may_forget(void *key, void *value, void *data)
{
	const struct ctl *ctx = data;
	const struct ctl_replica_seen *seen = value;
	uint64_t replica = *(const uint64_t *)key;

	return ctx->now_us - seen->heard_us > REPLICA_KEEP_US &&
	       replica != ctx->last_leader &&
	       !find_member(raft_config(ctx->raft), replica) &&
	       !find_member(ctx->applied_config, replica);
}

/* Remembers when and from where a replica sent a message. */
static void record_sender(struct ctl *ctx, const Dsp__Envelope *from,
			  uint64_t replica)
{
	struct ctl_replica_seen *seen =
		g_hash_table_lookup(ctx->replicas_seen, &replica);

	if (!seen) {
		g_hash_table_foreach_remove(ctx->replicas_seen, may_forget,
					    ctx);
		seen = g_new0(struct ctl_replica_seen, 1);
		g_hash_table_insert(ctx->replicas_seen,
				    g_memdup2(&replica, sizeof(replica)), seen);
	}
	seen->heard_us = ctx->now_us;
	if (g_strcmp0(seen->node, from->from) != 0) {
		g_free(seen->node);
		seen->node = g_strdup(from->from);
	}
	if (g_strcmp0(seen->address, from->address) != 0) {
		g_free(seen->address);
		seen->address = g_strdup(from->address);
	}
}

/* Handles a Raft message of another replica. */
void ctl_raft_step(struct ctl *ctx, const Dsp__Envelope *from,
		   const Dsp__RaftMessage *msg)
{
	if (!ctx->raft || msg->to != ctx->replica || msg->group != ctx->group)
		return;
	record_sender(ctx, from, msg->from);
	raft_step(ctx->raft, msg, ctx->now_us);
}

/* Returns true if the acknowledgement of the command implies that the entries
 * have the change. */
static bool changes_service(const Dsp__Command *command)
{
	switch (command->body_case) {
	case DSP__COMMAND__BODY_ROUTE_TABLE_PUT:
	case DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT:
	case DSP__COMMAND__BODY_DOCUMENT_PUT:
		return true;
	case DSP__COMMAND__BODY_ENDPOINT_PUT:
		return command->endpoint_put->endpoint &&
		       command->endpoint_put->endpoint->state ==
			       DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	default:
		return false;
	}
}

/* Returns true if all members of the group read a format of log entries, as far
 * as their reports say. */
bool ctl_raft_members_read(const struct ctl *ctx, uint32_t format)
{
	const Dsp__RaftConfig *config = raft_config(ctx->raft);
	const Dsp__Node **nodes;
	size_t n = st_nodes(ctx->st, &nodes);
	size_t n_read = 0;

	for (size_t i = 0; i < config->n_members; i++)
		for (size_t k = 0; k < n; k++)
			if (!strcmp(config->members[i]->node, nodes[k]->id))
				n_read += nodes[k]->log_format >= format;
	g_free(nodes);
	return n_read == config->n_members;
}

/*
 * Returns a new command that changes the table in force to the one of a
 * command, or NULL if the log needs the whole table. The base must be what all
 * replicas have in force before the entry, so no other table may be on its way.
 */
static Dsp__RouteTableChangePut *table_change(struct ctl *ctx,
					      const Dsp__Command *command)
{
	const Dsp__RouteTable *table = command->route_table_put->table;
	Dsp__RouteTableChangePut *change = NULL;
	const char *reason = "none";

	if (!table)
		return NULL;
	if (!ctx->ready_leader || ctx->table_proposed > ctx->applied_index)
		reason = "other_on_its_way";
	else if (!ctl_raft_members_read(ctx, CTL_LOG_FORMAT_TABLE_CHANGES))
		reason = "members_of_before";
	else if (!(change = st_table_change(ctx->st, table,
					    raft_last_index(ctx->raft) + 1)))
		reason = "large_or_first";
	LOG_EVENT_INFO(
		"ctl", "table_proposed",
		"number=%" G_GUINT64_FORMAT
		" routes=%zu form=%s whole_for=%s bytes=%zu"
		" whole_bytes=%zu",
		table->number, table->n_routes, change ? "change" : "whole",
		reason,
		change ? dsp__route_table_change_put__get_packed_size(change)
		       : 0,
		dsp__route_table__get_packed_size(table));
	return change;
}

/* Appends a command to the log; returns its index, or 0. */
static uint64_t append_command(struct ctl *ctx, const Dsp__Command *command)
{
	size_t len = dsp__command__get_packed_size(command);
	uint8_t *data = g_malloc(len + 1);
	uint64_t index;

	dsp__command__pack(command, data);
	index = raft_propose(ctx->raft, data, len);
	g_free(data);
	return index;
}

static uint64_t append_table(struct ctl *ctx, const Dsp__Command *command)
{
	Dsp__RouteTableChangePut *change = table_change(ctx, command);
	Dsp__Command smaller = DSP__COMMAND__INIT;
	uint64_t index;

	if (!change) {
		index = append_command(ctx, command);
	} else {
		smaller.wall_ms = command->wall_ms;
		smaller.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT;
		smaller.route_table_change_put = change;
		index = append_command(ctx, &smaller);
		dsp__route_table_change_put__free_unpacked(change, NULL);
	}
	ctx->table_proposed = MAX(ctx->table_proposed, index);
	return index;
}

/*
 * Appends a command to the log. On success the waiter is finished once the
 * outcome is known; otherwise the caller keeps it.
 */
bool ctl_raft_propose(struct ctl *ctx, Dsp__Command *command,
		      struct ctl_waiter *waiter)
{
	uint64_t index;

	if (!ctl_raft_is_leader(ctx))
		return false;
	command->wall_ms =
		(uint64_t)MAX(clk_wall_ms(ctx->clock), st_wall_ms(ctx->st));
	if (command->body_case == DSP__COMMAND__BODY_ROUTE_TABLE_PUT)
		index = append_table(ctx, command);
	else
		index = append_command(ctx, command);
	if (!index)
		return false;
	waiter->index = index;
	waiter->term = raft_term(ctx->raft);
	waiter->changes_service = changes_service(command);
	TAILQ_INSERT_TAIL(&ctx->waiters, waiter, link);
	return true;
}

/* As ctl_raft_propose(), for a configuration that changes one member. */
bool ctl_raft_propose_config(struct ctl *ctx, const Dsp__RaftConfig *config,
			     struct ctl_waiter *waiter)
{
	uint64_t index;

	if (!ctl_raft_is_leader(ctx) || raft_config_pending(ctx->raft))
		return false;
	index = raft_propose_config(ctx->raft, config);
	if (!index)
		return false;
	waiter->index = index;
	waiter->term = raft_term(ctx->raft);
	TAILQ_INSERT_TAIL(&ctx->waiters, waiter, link);
	return true;
}

/* Returns true if the command may put a route table in force. */
static bool is_table(const Dsp__Command *command)
{
	return command->body_case == DSP__COMMAND__BODY_ROUTE_TABLE_PUT ||
	       command->body_case == DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT;
}

/* Returns true if the command may change the view. */
static bool changes_view(const Dsp__Command *command)
{
	switch (command->body_case) {
	case DSP__COMMAND__BODY_CLAIM_CREATE:
	case DSP__COMMAND__BODY_CLAIM_FINISH:
	case DSP__COMMAND__BODY_CLAIM_GET:
	case DSP__COMMAND__BODY_ROUTE_TABLE_GET:
	case DSP__COMMAND__BODY_STREAMS_BEGUN:
	case DSP__COMMAND__BODY_STREAMS_FIND:
		return false;
	default:
		return true;
	}
}

static Dsp__CommandResult *apply_command(struct ctl *ctx,
					 const Dsp__LogEntry *e)
{
	Dsp__Command *command =
		dsp__command__unpack(NULL, e->data.len, e->data.data);
	Dsp__CommandResult *result;

	if (!command)
		return result_new(DSP__RESULT_CODE__RESULT_INVALID,
				  "the command cannot be parsed");
	result = st_apply(ctx->st, e->index, command);
	if (changes_view(command)) {
		ctx->view_dirty = true;
		ctx->orders_dirty = true;
	}
	ctx->publish_urgent |= changes_service(command);
	if (is_table(command) && result->code == DSP__RESULT_CODE__RESULT_OK)
		ctl_spread_note_table(ctx, result->number, e->index);
	dsp__command__free_unpacked(command, NULL);
	return result;
}

static Dsp__CommandResult *apply_config(struct ctl *ctx, const Dsp__LogEntry *e)
{
	Dsp__RaftConfig *config =
		dsp__raft_config__unpack(NULL, e->data.len, e->data.data);

	if (config) {
		dsp__raft_config__free_unpacked(ctx->applied_config, NULL);
		ctx->applied_config = config;
		ctx->push_due_us = 0;
		/* The next step of a repair must not wait. */
		ctx->member_due_us = 0;
	}
	return result_new(DSP__RESULT_CODE__RESULT_OK, "");
}

static void apply_entry(struct ctl *ctx, const Dsp__LogEntry *e)
{
	Dsp__CommandResult *result = NULL;

	switch (e->kind) {
	case DSP__ENTRY_KIND__ENTRY_COMMAND:
		result = apply_command(ctx, e);
		break;
	case DSP__ENTRY_KIND__ENTRY_CONFIG:
		result = apply_config(ctx, e);
		break;
	default:
		break;
	}
	ctx->applied_index = e->index;
	ctx->applied_term = e->term;
	finish_waiters(ctx, &ctx->waiters, e, result);
	if (!TAILQ_EMPTY(&ctx->orphans))
		finish_orphans(ctx, e, result);
	if (result)
		dsp__command_result__free_unpacked(result, NULL);
}

static bool install_snapshot(struct ctl *ctx, const struct raft_ready *ready,
			     GError **error)
{
	if (!sto_write_snapshot(ctx->sto, ready->snapshot_index,
				ready->snapshot_term, ready->snapshot_config,
				ready->snapshot_data, ready->snapshot_len,
				error))
		return false;
	if (!st_restore(ctx->st, ready->snapshot_data, ready->snapshot_len))
		LOG_EVENT_ERROR("ctl", "snapshot_invalid",
				"index=%" G_GUINT64_FORMAT,
				ready->snapshot_index);
	dsp__raft_config__free_unpacked(ctx->applied_config, NULL);
	ctx->applied_config = msg_dup(ready->snapshot_config);
	ctx->applied_index = ready->snapshot_index;
	ctx->applied_term = ready->snapshot_term;
	ctx->view_dirty = true;
	drop_waiters(ctx, &ctx->waiters, ready->snapshot_index);
	drop_waiters(ctx, &ctx->orphans, ready->snapshot_index);
	return true;
}

static bool write_ready(struct ctl *ctx, const struct raft_ready *ready,
			GError **error)
{
	bool any = false;

	if (ready->hard_state_changed) {
		any = true;
		if (!sto_write_hard_state(ctx->sto, ready->term,
					  ready->voted_for, error))
			return false;
	}
	if (ready->install_snapshot && !install_snapshot(ctx, ready, error))
		return false;
	if (ready->truncate_from) {
		any = true;
		if (!sto_truncate_from(ctx->sto, ready->truncate_from, error))
			return false;
	}
	if (ready->n_append) {
		any = true;
		if (!sto_append(ctx->sto, ready->append, ready->n_append,
				error))
			return false;
	}
	return !any || sto_sync(ctx->sto, error);
}

/* Logs, at most once a second, a message to a replica without a known address:
 * its sender waits for it. */
static void log_unaddressed(struct ctl *ctx, const Dsp__RaftMessage *msg)
{
	met_count(ctx->met, "dandelionspar_raft_messages_unaddressed", "", 1);
	if (ctx->unaddressed_us &&
	    ctx->now_us - ctx->unaddressed_us < UNADDRESSED_LOG_US)
		return;
	ctx->unaddressed_us = ctx->now_us;
	LOG_EVENT_WARN("ctl", "raft_unaddressed",
		       "to=%016" G_GINT64_MODIFIER "x term=%" G_GUINT64_FORMAT
		       " body=%d members=%zu",
		       msg->to, msg->term, (int)msg->body_case,
		       raft_config(ctx->raft)->n_members);
}

static void send_raft_message(struct ctl *ctx, Dsp__RaftMessage *msg)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	const char *address = replica_address(ctx, msg->to);

	if (!address || !address[0]) {
		log_unaddressed(ctx, msg);
		return;
	}
	out.body_case = DSP__ENVELOPE__BODY_RAFT;
	out.raft = msg;
	if (raft_overtakes(msg))
		net_send_ahead(ctx->net, address, &out);
	else
		ctl_send(ctx, address, &out);
}

static bool take_snapshot(struct ctl *ctx, GError **error)
{
	size_t len;
	uint8_t *data;
	bool ok = true;

	if (!ctx->applied_index)
		return true;
	data = st_snapshot(ctx->st, &len);
	if (ctx->applied_index > sto_content(ctx->sto)->snapshot_index)
		ok = sto_write_snapshot(ctx->sto, ctx->applied_index,
					ctx->applied_term, ctx->applied_config,
					data, len, error);
	if (ok)
		raft_provide_snapshot(ctx->raft, ctx->applied_index, data, len);
	g_free(data);
	return ok;
}

/* Takes the leader from the replica, which knows it before the relay does. */
static void update_leader(struct ctl *ctx)
{
	uint64_t leader = raft_leader(ctx->raft);
	const Dsp__Member *m =
		leader ? find_member(raft_config(ctx->raft), leader) : NULL;
	const struct ctl_replica_seen *seen;

	if (leader && leader != ctx->replica)
		ctx->last_leader = leader;
	if (m) {
		ctl_report_set_leader(ctx, raft_term(ctx->raft), m->node,
				      replica_address(ctx, leader));
		return;
	}
	seen = leader ? g_hash_table_lookup(ctx->replicas_seen, &leader) : NULL;
	if (seen)
		ctl_report_set_leader(ctx, raft_term(ctx->raft), seen->node,
				      seen->address);
}

static void update_role(struct ctl *ctx)
{
	bool leader = ctl_raft_is_leader(ctx);
	bool ready = leader && raft_is_ready_leader(ctx->raft);

	update_leader(ctx);
	if (ctx->was_leader &&
	    (!leader || raft_term(ctx->raft) != ctx->own_leader_term)) {
		TAILQ_CONCAT(&ctx->orphans, &ctx->waiters, link);
		ctl_spread_stop(ctx);
		if (ctx->ready_leader)
			ctl_member_stop(ctx);
		ctx->ready_leader = false;
		ctx->last_leader = ctx->replica;
		/* Commands must not be sent to this instance itself. */
		if (!g_strcmp0(ctx->leader_address,
			       ctx->set->internal_advertise))
			g_clear_pointer(&ctx->leader_address, g_free);
		LOG_EVENT_NOTICE("ctl", "leader_lost",
				 "term=%" G_GUINT64_FORMAT,
				 ctx->own_leader_term);
	}
	if (leader)
		ctx->own_leader_term = raft_term(ctx->raft);
	ctx->was_leader = leader;
	if (!ready || ctx->ready_leader)
		return;
	ctx->ready_leader = true;
	ctx->leader_since_us = ctx->now_us;
	ctx->leader_since_read_us = ctx->read_us;
	LOG_EVENT_NOTICE("ctl", "leader", "term=%" G_GUINT64_FORMAT,
			 raft_term(ctx->raft));
	ctl_member_start(ctx);
}

/*
 * Advances the replica: writes and syncs the log, sends messages, then applies
 * committed entries. After a failed write the replica stops and the instance
 * continues as an entry.
 */
void ctl_raft_run(struct ctl *ctx)
{
	struct raft_ready ready;
	GError *error = NULL;

	if (!ctx->raft)
		return;
	raft_tick(ctx->raft, ctx->now_us);
	while (raft_take_ready(ctx->raft, &ready)) {
		if (!write_ready(ctx, &ready, &error))
			goto fail;
		for (size_t i = 0; i < ready.n_messages; i++)
			send_raft_message(ctx, ready.messages[i]);
		for (size_t i = 0; i < ready.n_committed; i++)
			apply_entry(ctx, ready.committed[i]);
		raft_advance(ctx->raft, &ready, ctx->now_us);
		if (ready.want_snapshot && !take_snapshot(ctx, &error))
			goto fail;
	}
	if (sto_log_bytes(ctx->sto) > SNAPSHOT_LOG_BYTES &&
	    !take_snapshot(ctx, &error))
		goto fail;
	update_role(ctx);
	return;
fail:
	handle_disk_failure(ctx, error);
}

/* On the leader: confirms the published view as of the last contact with a
 * quorum. */
void ctl_raft_confirm(struct ctl *ctx)
{
	int64_t contact_us;

	if (!ctx->ready_leader || ctx->view_dirty)
		return;
	contact_us = raft_quorum_contact_us(ctx->raft);
	if (contact_us > ctx->confirmed_us)
		ctx->confirmed_us = contact_us;
	ctl_extend_lease(ctx, contact_us);
}
