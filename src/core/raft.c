#include "core/raft.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/raft_priv.h"

/* Limits how many committed entries one ready batch hands out. */
#define MAX_COMMITTED_PER_BATCH 4096

/* Entries up to a snapshot that stay in memory, so that followers that lag a
 * little catch up without the snapshot. */
#define TRAILING_ENTRIES 1024
#define TRAILING_BYTES (4 << 20)

#define MAX_MEMBERS 64

/* Adds a reference; NULL is allowed. */
struct raft_snapshot *raft_snapshot_ref(struct raft_snapshot *snapshot)
{
	if (snapshot)
		snapshot->refs++;
	return snapshot;
}

/* Drops a reference; NULL is allowed. */
void raft_snapshot_unref(struct raft_snapshot *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	dsp__raft_config__free_unpacked(snapshot->config, NULL);
	g_free(snapshot->data);
	g_free(snapshot);
}

/* Queues an empty message of the current term; the caller adds the body. */
Dsp__RaftMessage *raft_message(struct raft *ctx, uint64_t to)
{
	Dsp__RaftMessage *msg = malloc(sizeof(*msg));

	if (!msg)
		abort();
	dsp__raft_message__init(msg);
	msg->from = ctx->options.replica;
	msg->to = to;
	msg->term = ctx->term;
	msg->group = ctx->options.group;
	if (ctx->out_messages.n == ctx->out_messages.capacity) {
		ctx->out_messages.capacity =
			ctx->out_messages.capacity * 2 + 16;
		ctx->out_messages.items =
			g_renew(Dsp__RaftMessage *, ctx->out_messages.items,
				ctx->out_messages.capacity);
	}
	ctx->out_messages.items[ctx->out_messages.n++] = msg;
	return msg;
}

static void free_messages(struct raft_messages *messages)
{
	for (size_t i = 0; i < messages->n; i++) {
		Dsp__RaftMessage *msg = messages->items[i];

		/* The entries belong to the log. */
		if (msg->body_case == DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST)
			msg->append_request->n_entries = 0;
		dsp__raft_message__free_unpacked(msg, NULL);
	}
	messages->n = 0;
}

/* Appends an entry of the current term to the leader's log. */
void raft_append_own(struct raft *ctx, Dsp__EntryKind kind, const uint8_t *data,
		     size_t len)
{
	uint64_t index = raft_log_last(&ctx->log) + 1;

	if (raft_log_append(&ctx->log,
			    raft_entry_new(index, ctx->term, kind, data, len)))
		raft_apply_config(ctx);
}

/*
 * Creates a replica from the stored state, which is copied. The voter of a
 * group of one elects itself on the first tick.
 */
struct raft *raft_new(const struct raft_options *options,
		      const struct raft_durable_state *durable, int64_t now_us)
{
	struct raft *ctx = g_new0(struct raft, 1);

	ctx->options = *options;
	ctx->now = now_us;
	ctx->random = options->seed;
	ctx->term = durable->term;
	ctx->voted_for = durable->voted_for;
	ctx->role = RAFT_FOLLOWER;
	ctx->commit = durable->snapshot_index;
	ctx->applied = durable->snapshot_index;
	raft_log_init(&ctx->log, durable->snapshot_index,
		      durable->snapshot_term, durable->config);
	for (size_t i = 0; i < durable->n_entries; i++) {
		const Dsp__LogEntry *entry = durable->entries[i];

		raft_log_append(&ctx->log,
				raft_entry_new(entry->index, entry->term,
					       entry->kind, entry->data.data,
					       entry->data.len));
	}
	ctx->log.written = raft_log_last(&ctx->log);
	ctx->log.synced = ctx->log.written;
	raft_apply_config(ctx);
	ctx->leader_contact = now_us;
	raft_reset_election_deadline(ctx);
	if (ctx->is_voter && ctx->n_voters == 1)
		ctx->election_deadline = now_us;
	return ctx;
}

/* Frees the replica; NULL is allowed. */
void raft_free(struct raft *ctx)
{
	if (!ctx)
		return;
	free_messages(&ctx->out_messages);
	free_messages(&ctx->ready_messages);
	g_free(ctx->out_messages.items);
	g_free(ctx->ready_messages.items);
	g_free(ctx->ready_entries);
	for (size_t i = 0; i < ctx->n_peers; i++)
		raft_snapshot_unref(ctx->peers[i].snapshot);
	g_free(ctx->peers);
	g_free(ctx->scratch);
	raft_snapshot_unref(ctx->snapshot);
	raft_snapshot_unref(ctx->install);
	raft_snapshot_unref(ctx->ready_install);
	g_free(ctx->incoming.data);
	raft_log_clear(&ctx->log);
	g_free(ctx);
}

/*
 * Steps down when no quorum has answered this leader for one election timeout.
 * Also called before each message and after each sync, so that a leader whose
 * process was suspended does not act on messages queued meanwhile.
 */
static void check_quorum(struct raft *ctx)
{
	int64_t contact;

	if (ctx->role != RAFT_LEADER)
		return;
	contact = MAX(raft_quorum_contact(ctx), ctx->leader_since);
	if (ctx->now - contact >= ctx->options.election_timeout_us)
		raft_become_follower(ctx, ctx->term, 0);
}

/* Transfers leadership to the voter with the highest match index once the
 * removal or demotion of this leader is committed. */
static void step_down_if_removed(struct raft *ctx)
{
	struct raft_peer *best = NULL;

	if (ctx->role != RAFT_LEADER || ctx->is_voter ||
	    raft_config_pending(ctx))
		return;
	for (size_t i = 0; i < ctx->n_peers; i++) {
		struct raft_peer *peer = &ctx->peers[i];

		if (peer->voter && (!best || peer->match > best->match))
			best = peer;
	}
	if (best)
		raft_send_transfer(ctx, best);
	raft_become_follower(ctx, ctx->term, 0);
}

static void set_now(struct raft *ctx, int64_t now_us)
{
	if (now_us > ctx->now)
		ctx->now = now_us;
}

/* Sets the time and handles timeouts; call at least twice per heartbeat
 * interval. */
void raft_tick(struct raft *ctx, int64_t now_us)
{
	set_now(ctx, now_us);
	if (ctx->disabled)
		return;
	check_quorum(ctx);
	if (ctx->role == RAFT_LEADER) {
		if (ctx->transfer_to && ctx->now >= ctx->transfer_deadline) {
			ctx->transfer_to = 0;
			ctx->transfer_sent = 0;
		}
		return;
	}
	if (ctx->now < ctx->election_deadline)
		return;
	if (!ctx->is_voter) {
		ctx->leader = 0;
		raft_reset_election_deadline(ctx);
		return;
	}
	raft_campaign(ctx, true, false);
}

static void reject_old_term(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	Dsp__RaftMessage *out = raft_message(ctx, msg->from);
	Dsp__AppendReply *reply = malloc(sizeof(*reply));

	if (!reply)
		abort();
	dsp__append_reply__init(reply);
	out->body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REPLY;
	out->append_reply = reply;
}

/* Handles a received message; messages for another group or identity are
 * dropped. */
void raft_step(struct raft *ctx, const Dsp__RaftMessage *msg, int64_t now_us)
{
	bool from_leader;

	set_now(ctx, now_us);
	if (ctx->disabled || msg->group != ctx->options.group ||
	    msg->to != ctx->options.replica ||
	    msg->from == ctx->options.replica || !msg->from)
		return;
	check_quorum(ctx);
	if (msg->body_case == DSP__RAFT_MESSAGE__BODY_VOTE_REQUEST) {
		raft_handle_vote_request(ctx, msg);
		return;
	}
	from_leader =
		msg->body_case == DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST ||
		msg->body_case == DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK;
	if (msg->term > ctx->term) {
		bool pre_grant =
			msg->body_case == DSP__RAFT_MESSAGE__BODY_VOTE_REPLY &&
			msg->vote_reply->pre && msg->vote_reply->granted;

		if (from_leader)
			raft_become_follower(ctx, msg->term, msg->from);
		else if (!pre_grant && raft_find_peer(ctx, msg->from))
			raft_become_follower(ctx, msg->term, 0);
		else if (!pre_grant)
			return; /* sender is not a member */
	} else if (msg->term < ctx->term) {
		/* Makes a deposed leader step down. */
		if (from_leader)
			reject_old_term(ctx, msg);
		return;
	}
	switch (msg->body_case) {
	case DSP__RAFT_MESSAGE__BODY_VOTE_REPLY:
		raft_handle_vote_reply(ctx, msg);
		break;
	case DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST:
		raft_handle_append(ctx, msg);
		break;
	case DSP__RAFT_MESSAGE__BODY_APPEND_REPLY:
		raft_handle_append_reply(ctx, msg);
		break;
	case DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK:
		raft_handle_snapshot_chunk(ctx, msg);
		break;
	case DSP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		raft_handle_snapshot_reply(ctx, msg);
		break;
	case DSP__RAFT_MESSAGE__BODY_TRANSFER_REQUEST:
		raft_handle_transfer_request(ctx, msg);
		break;
	default:
		break;
	}
	step_down_if_removed(ctx);
}

/*
 * Appends a command. Returns its index, or 0 when this replica does not lead
 * or is transferring its leadership. The command takes effect if the entry
 * committed at that index has the term of this call.
 */
uint64_t raft_propose(struct raft *ctx, const uint8_t *data, size_t len)
{
	if (ctx->role != RAFT_LEADER || ctx->transfer_to)
		return 0;
	raft_append_own(ctx, DSP__ENTRY_KIND__ENTRY_COMMAND, data, len);
	return raft_log_last(&ctx->log);
}

static const Dsp__Member *find_member(const Dsp__RaftConfig *config,
				      uint64_t replica)
{
	for (size_t i = 0; i < config->n_members; i++)
		if (config->members[i]->replica == replica)
			return config->members[i];
	return NULL;
}

static size_t count_voters_only_in(const Dsp__RaftConfig *config,
				   const Dsp__RaftConfig *other)
{
	size_t n = 0;

	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *member = config->members[i];
		const Dsp__Member *found = find_member(other, member->replica);

		n += member->voter && (!found || !found->voter);
	}
	return n;
}

/* Requires at least one voter, unique identities, and at most one changed
 * voter, so that old and new majorities overlap. */
static bool config_allowed(const Dsp__RaftConfig *old,
			   const Dsp__RaftConfig *config)
{
	size_t n_voters = 0;

	if (config->n_members > MAX_MEMBERS)
		return false;
	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *member = config->members[i];

		if (!member->replica ||
		    find_member(config, member->replica) != member)
			return false;
		n_voters += member->voter;
	}
	return n_voters && count_voters_only_in(old, config) +
					   count_voters_only_in(config, old) <=
				   1;
}

/*
 * Appends a configuration, which takes effect immediately. Returns its index,
 * or 0 when this replica does not lead, is transferring its leadership, has not
 * committed an entry of its term, has an uncommitted configuration, or when
 * config is invalid or changes more than one voter.
 */
uint64_t raft_propose_config(struct raft *ctx, const Dsp__RaftConfig *config)
{
	uint8_t *data;
	size_t len;

	if (ctx->role != RAFT_LEADER || ctx->transfer_to ||
	    !raft_is_ready_leader(ctx) || raft_config_pending(ctx) ||
	    !config_allowed(raft_config(ctx), config))
		return 0;
	data = g_malloc(dsp__raft_config__get_packed_size(config) + 1);
	len = dsp__raft_config__pack(config, data);
	raft_append_own(ctx, DSP__ENTRY_KIND__ENTRY_CONFIG, data, len);
	g_free(data);
	return raft_log_last(&ctx->log);
}

/* Copies the entry pointers, because calls between raft_take_ready() and
 * raft_advance() may reallocate the log. */
static void fill_entries(struct raft *ctx, struct raft_ready *ready,
			 uint64_t last)
{
	struct raft_log *log = &ctx->log;
	size_t n_append = last - log->written;
	size_t n_committed =
		MIN(ctx->commit - ctx->applied, MAX_COMMITTED_PER_BATCH);

	ctx->ready_entries = g_renew(Dsp__LogEntry *, ctx->ready_entries,
				     n_append + n_committed + 1);
	for (size_t i = 0; i < n_append; i++)
		ctx->ready_entries[i] =
			raft_log_entry(log, log->written + 1 + i);
	for (size_t i = 0; i < n_committed; i++)
		ctx->ready_entries[n_append + i] =
			raft_log_entry(log, ctx->applied + 1 + i);
	ready->append = ctx->ready_entries;
	ready->n_append = n_append;
	ready->committed = ctx->ready_entries + n_append;
	ready->n_committed = n_committed;
	log->written = last;
	ctx->ready_last_index = last;
	ctx->applied += n_committed;
}

static bool may_send_before_sync(const Dsp__RaftMessage *msg)
{
	return msg->body_case == DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST ||
	       msg->body_case == DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK;
}

/*
 * Moves the messages that may be sent before the sync to the front and returns
 * their number. Appends and snapshot chunks of a leader whose term is durable
 * do not depend on its own disk: it counts its own copy of an entry towards
 * the quorum only after the sync.
 */
static size_t move_before_sync_first(struct raft_messages *messages)
{
	Dsp__RaftMessage **after_sync =
		g_new(Dsp__RaftMessage *, messages->n + 1);
	size_t n_after_sync = 0;
	size_t n = 0;

	for (size_t i = 0; i < messages->n; i++) {
		if (may_send_before_sync(messages->items[i]))
			messages->items[n++] = messages->items[i];
		else
			after_sync[n_after_sync++] = messages->items[i];
	}
	for (size_t i = 0; i < n_after_sync; i++)
		messages->items[n + i] = after_sync[i];
	g_free(after_sync);
	return n;
}

/*
 * Fills ready with the pending work. Returns false when there is none, or when
 * the previous batch was not yet passed to raft_advance().
 */
bool raft_take_ready(struct raft *ctx, struct raft_ready *ready)
{
	struct raft_log *log = &ctx->log;
	struct raft_messages out;
	uint64_t last;

	*ready = (struct raft_ready){ 0 };
	if (ctx->disabled || ctx->ready_pending)
		return false;
	if (ctx->role == RAFT_LEADER)
		raft_send_appends(ctx);

	last = raft_log_last(log);
	if (!ctx->hard_state_dirty && !log->truncate_from &&
	    last == log->written && !ctx->out_messages.n &&
	    ctx->applied == ctx->commit && !ctx->install &&
	    !ctx->snapshot_wanted)
		return false;

	ready->hard_state_changed = ctx->hard_state_dirty;
	ready->term = ctx->term;
	ready->voted_for = ctx->voted_for;
	ctx->hard_state_dirty = false;

	if (ctx->install) {
		ready->install_snapshot = true;
		ready->snapshot_index = ctx->install->index;
		ready->snapshot_term = ctx->install->term;
		ready->snapshot_data = ctx->install->data;
		ready->snapshot_len = ctx->install->len;
		ready->snapshot_config = ctx->install->config;
		ctx->ready_install = ctx->install;
		ctx->install = NULL;
	}
	ready->truncate_from = log->truncate_from;
	log->truncate_from = 0;
	fill_entries(ctx, ready, last);

	out = ctx->ready_messages;
	ctx->ready_messages = ctx->out_messages;
	ctx->out_messages = out;
	if (ctx->role == RAFT_LEADER && !ready->hard_state_changed)
		ready->n_before_sync =
			move_before_sync_first(&ctx->ready_messages);
	ready->messages = ctx->ready_messages.items;
	ready->n_messages = ctx->ready_messages.n;

	ready->want_snapshot = ctx->snapshot_wanted;
	ctx->snapshot_wanted = false;
	ctx->ready_pending = true;
	return true;
}

/* Completes the batch and frees the memory that ready refers to. */
void raft_advance(struct raft *ctx, const struct raft_ready *ready,
		  int64_t now_us)
{
	(void)ready;
	set_now(ctx, now_us);
	if (!ctx->ready_pending)
		return;
	ctx->ready_pending = false;
	ctx->log.synced = MAX(ctx->log.synced,
			      MIN(ctx->ready_last_index, ctx->log.written));
	free_messages(&ctx->ready_messages);
	raft_snapshot_unref(ctx->ready_install);
	ctx->ready_install = NULL;
	raft_log_free_removed(&ctx->log);
	check_quorum(ctx);
	if (ctx->role == RAFT_LEADER) {
		raft_update_commit(ctx);
		step_down_if_removed(ctx);
	}
}

static uint64_t compaction_limit(const struct raft *ctx, uint64_t index)
{
	size_t bytes = 0;
	size_t n = 0;

	for (size_t i = 0; i < ctx->n_peers; i++)
		if (ctx->peers[i].snapshot)
			index = MIN(index, ctx->peers[i].snapshot->index);
	while (index > ctx->log.base_index && n < TRAILING_ENTRIES &&
	       bytes < TRAILING_BYTES) {
		bytes += raft_log_entry(&ctx->log, index)->data.len;
		index--;
		n++;
	}
	return index;
}

/*
 * Compacts the log after the caller stored a snapshot of the applied state at
 * index; some entries before index are kept. A leader that requested the
 * snapshot with want_snapshot copies data and keeps it while a follower needs
 * it.
 */
void raft_provide_snapshot(struct raft *ctx, uint64_t index,
			   const uint8_t *data, size_t len)
{
	if (index > ctx->applied || index < ctx->log.base_index)
		return;
	if (ctx->role == RAFT_LEADER && ctx->snapshot_wanted_us) {
		struct raft_snapshot *snapshot =
			g_new0(struct raft_snapshot, 1);

		snapshot->refs = 1;
		snapshot->index = index;
		snapshot->term = raft_log_term(&ctx->log, index);
		snapshot->config = raft_config_copy(
			raft_log_config_at(&ctx->log, index)->config);
		snapshot->data = g_memdup2(data, len);
		snapshot->len = len;
		raft_snapshot_unref(ctx->snapshot);
		ctx->snapshot = snapshot;
		ctx->snapshot_wanted_us = 0;
	}
	raft_log_compact(&ctx->log, compaction_limit(ctx, index));
	if (!ctx->ready_pending)
		raft_log_free_removed(&ctx->log);
}

/* Disables the replica for good after a disk failure. */
void raft_disable(struct raft *ctx)
{
	raft_become_follower(ctx, ctx->term, 0);
	ctx->disabled = true;
	free_messages(&ctx->out_messages);
}

/*
 * Transfers leadership to another voter as soon as it has all entries, and
 * rejects proposals meanwhile. Gives up after one election timeout.
 */
void raft_transfer_leadership(struct raft *ctx, uint64_t to, int64_t now_us)
{
	struct raft_peer *peer = raft_find_peer(ctx, to);

	set_now(ctx, now_us);
	if (ctx->role != RAFT_LEADER || !peer || !peer->voter)
		return;
	ctx->transfer_to = to;
	ctx->transfer_sent = 0;
	ctx->transfer_deadline = ctx->now + ctx->options.election_timeout_us;
	if (peer->match == raft_log_last(&ctx->log))
		raft_send_transfer(ctx, peer);
}

/* Returns the role; RAFT_LEARNER for any replica that is not a voter. */
enum raft_role raft_role(const struct raft *ctx)
{
	if (ctx->role == RAFT_FOLLOWER && !ctx->is_voter)
		return RAFT_LEARNER;
	return ctx->role;
}

/* Returns the current term. */
uint64_t raft_term(const struct raft *ctx)
{
	return ctx->term;
}

/* Returns the identity of the leader of the current term, or 0. */
uint64_t raft_leader(const struct raft *ctx)
{
	return ctx->leader;
}

/* Returns the highest index that is known to be committed. */
uint64_t raft_commit_index(const struct raft *ctx)
{
	return ctx->commit;
}

/* Returns the index of the last entry of the log, synced or not. */
uint64_t raft_last_index(const struct raft *ctx)
{
	return raft_log_last(&ctx->log);
}

/* Returns the configuration in force: the last one in the log, committed or
 * not. Valid until the next command. */
const Dsp__RaftConfig *raft_config(const struct raft *ctx)
{
	return raft_log_config(&ctx->log)->config;
}

/* Returns the configuration at a log index that is not dropped yet. */
const Dsp__RaftConfig *raft_config_at(const struct raft *ctx, uint64_t index)
{
	return raft_log_config_at(&ctx->log, index)->config;
}

/* Returns the term at a log index, or 0 when it is not known. */
uint64_t raft_term_at(const struct raft *ctx, uint64_t index)
{
	return raft_log_term(&ctx->log, index);
}

/* Returns whether the configuration in force is not committed yet. */
bool raft_config_pending(const struct raft *ctx)
{
	return raft_log_config(&ctx->log)->index > ctx->commit;
}

/* On the leader, returns the highest index known to be synced by a member. */
uint64_t raft_match_index(const struct raft *ctx, uint64_t replica)
{
	if (ctx->role != RAFT_LEADER)
		return 0;
	if (replica == ctx->options.replica)
		return ctx->log.synced;
	for (size_t i = 0; i < ctx->n_peers; i++)
		if (ctx->peers[i].replica == replica)
			return ctx->peers[i].match;
	return 0;
}

/* Returns whether this replica leads and has committed an entry of its term. */
bool raft_is_ready_leader(const struct raft *ctx)
{
	return ctx->role == RAFT_LEADER && ctx->commit >= ctx->term_start_index;
}

/* Returns when the last message of another replica that leads came, in
 * microseconds; before the first one, when the replica started. */
int64_t raft_leader_contact_us(const struct raft *ctx)
{
	return ctx->leader_contact;
}

/* Returns whether this leader is handing over its leadership: the other one may
 * lead at any time. */
bool raft_is_transferring(const struct raft *ctx)
{
	return ctx->transfer_to != 0;
}

/*
 * Returns when a quorum last answered this leader: the sending time of the
 * message that was answered, in microseconds; 0 when it does not lead or no
 * quorum answered yet. While less than one election timeout has passed since,
 * no other leader can have been elected, unless this one is transferring its
 * leadership.
 */
int64_t raft_quorum_contact_us(const struct raft *ctx)
{
	int64_t contact;

	if (ctx->role != RAFT_LEADER)
		return 0;
	contact = raft_quorum_contact(ctx);
	return ctx->transfer_sent ? MIN(contact, ctx->transfer_sent) : contact;
}
