#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/raft_priv.h"

/* A learner that lacks fewer entries gets them with its next heartbeat. It is
 * still caught up, and each entry by itself costs the leader four messages. */
#define LEARNER_ENTRIES_MAX 32

/* Entries of this size take a while to send to all peers: a sign of life that
 * overtakes them goes ahead. */
#define SIGN_BYTES_MIN (64 << 10)

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/* Returns the peer with this identity, or NULL. */
struct raft_peer *raft_find_peer(struct raft *ctx, uint64_t replica)
{
	for (size_t i = 0; i < ctx->n_peers; i++)
		if (ctx->peers[i].replica == replica)
			return &ctx->peers[i];
	return NULL;
}

static void reset_progress(struct raft *ctx, struct raft_peer *peer,
			   uint64_t next)
{
	raft_snapshot_unref(peer->snapshot);
	peer->snapshot = NULL;
	peer->state = RAFT_PEER_PROBE;
	peer->next = next;
	peer->probe_sent = false;
	peer->n_inflight = 0;
	peer->reset_sequence = ctx->sequence + 1;
}

/* Updates the peers from the configuration in force. Members of the old and
 * the new configuration keep their replication state. */
void raft_apply_config(struct raft *ctx)
{
	const Dsp__RaftConfig *config = raft_log_config(&ctx->log)->config;
	struct raft_peer *old = ctx->peers;
	size_t n_old = ctx->n_peers;
	struct raft_peer *peers =
		g_new0(struct raft_peer, config->n_members + 1);
	size_t n = 0;

	ctx->is_voter = false;
	ctx->n_voters = 0;
	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *member = config->members[i];
		struct raft_peer *peer = &peers[n];

		ctx->n_voters += member->voter;
		if (member->replica == ctx->options.replica) {
			ctx->is_voter = member->voter;
			continue;
		}
		reset_progress(ctx, peer, raft_log_last(&ctx->log) + 1);
		for (size_t j = 0; j < n_old; j++) {
			if (old[j].replica != member->replica)
				continue;
			*peer = old[j];
			old[j].snapshot = NULL;
		}
		peer->replica = member->replica;
		peer->voter = member->voter;
		n++;
	}
	for (size_t i = 0; i < n_old; i++)
		raft_snapshot_unref(old[i].snapshot);
	g_free(old);
	ctx->peers = peers;
	ctx->n_peers = n;
	ctx->scratch = g_renew(uint64_t, ctx->scratch, n + 1);
}

/* Resets the replication state of all peers. */
void raft_reset_peers(struct raft *ctx)
{
	for (size_t i = 0; i < ctx->n_peers; i++) {
		struct raft_peer *peer = &ctx->peers[i];

		reset_progress(ctx, peer, raft_log_last(&ctx->log) + 1);
		peer->match = 0;
		peer->sent_commit = 0;
		peer->sent_us = 0;
		peer->contact_us = 0;
	}
	raft_snapshot_unref(ctx->snapshot);
	ctx->snapshot = NULL;
	ctx->snapshot_wanted = false;
	ctx->snapshot_wanted_us = 0;
}

/*
 * Returns the sending time of the latest message that a quorum, this replica
 * included, has answered. At that time the quorum knew of no later leader.
 */
int64_t raft_quorum_contact(const struct raft *ctx)
{
	size_t n = 0;

	if (ctx->is_voter)
		ctx->scratch[n++] = (uint64_t)ctx->now;
	for (size_t i = 0; i < ctx->n_peers; i++)
		if (ctx->peers[i].voter)
			ctx->scratch[n++] = (uint64_t)ctx->peers[i].contact_us;
	if (!n)
		return 0;
	qsort(ctx->scratch, n, sizeof(*ctx->scratch), compare_descending);
	return (int64_t)ctx->scratch[ctx->n_voters / 2];
}

/*
 * Advances the commit index to what a quorum has synced, if that entry is of
 * the current term: one of an earlier term may still be overwritten although
 * a quorum has it.
 */
void raft_update_commit(struct raft *ctx)
{
	uint64_t index;
	size_t n = 0;

	if (ctx->is_voter)
		ctx->scratch[n++] = ctx->log.synced;
	for (size_t i = 0; i < ctx->n_peers; i++)
		if (ctx->peers[i].voter)
			ctx->scratch[n++] = ctx->peers[i].match;
	if (!n)
		return;
	qsort(ctx->scratch, n, sizeof(*ctx->scratch), compare_descending);
	index = ctx->scratch[ctx->n_voters / 2];
	if (index > ctx->commit && raft_log_term(&ctx->log, index) == ctx->term)
		ctx->commit = index;
}

static uint64_t next_sequence(struct raft *ctx)
{
	uint64_t base = (uint64_t)ctx->now << RAFT_SEQUENCE_BITS;
	uint64_t limit = base + (1 << RAFT_SEQUENCE_BITS) - 1;

	if (ctx->sequence < base)
		ctx->sequence = base;
	else if (ctx->sequence < limit)
		ctx->sequence++;
	return ctx->sequence;
}

static void send_append(struct raft *ctx, struct raft_peer *peer, uint64_t prev,
			bool with_entries)
{
	Dsp__RaftMessage *msg = raft_message(ctx, peer->replica);
	Dsp__AppendRequest *request = malloc(sizeof(*request));
	size_t bytes = 0;
	size_t n = 0;
	size_t i = 0;

	if (!request)
		abort();
	dsp__append_request__init(request);
	request->prev_index = prev;
	request->prev_term = raft_log_term(&ctx->log, prev);
	request->commit = ctx->commit;
	request->sequence = next_sequence(ctx);
	if (with_entries) {
		i = prev - ctx->log.base_index;
		while (i + n < ctx->log.n &&
		       (!n || bytes < ctx->options.max_batch_bytes)) {
			bytes += ctx->log.entries[i + n]->data.len + 32;
			n++;
		}
	}
	if (n) {
		request->n_entries = n;
		request->entries = g_new(Dsp__LogEntry *, n);
		for (size_t j = 0; j < n; j++)
			request->entries[j] = ctx->log.entries[i + j];
	}
	msg->body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST;
	msg->append_request = request;
	peer->sent_us = ctx->now;
	peer->sent_commit = ctx->commit;
}

static void send_chunk(struct raft *ctx, struct raft_peer *peer)
{
	const struct raft_snapshot *snapshot = peer->snapshot;
	Dsp__RaftMessage *msg = raft_message(ctx, peer->replica);
	Dsp__SnapshotChunk *chunk = malloc(sizeof(*chunk));
	size_t left = snapshot->len - peer->snapshot_offset;
	size_t len = MIN(left, ctx->options.max_batch_bytes);

	if (!chunk)
		abort();
	dsp__snapshot_chunk__init(chunk);
	chunk->index = snapshot->index;
	chunk->term = snapshot->term;
	chunk->offset = peer->snapshot_offset;
	chunk->last = len == left;
	chunk->config = raft_config_copy(snapshot->config);
	if (len) {
		chunk->data.data = malloc(len);
		if (!chunk->data.data)
			abort();
		memcpy(chunk->data.data, snapshot->data + peer->snapshot_offset,
		       len);
		chunk->data.len = len;
	}
	msg->body_case = DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK;
	msg->snapshot_chunk = chunk;
	peer->chunk_sent_us = ctx->now;
	peer->chunk_sent = true;
}

/* Starts sending a snapshot, or requests one from the caller first. Does
 * nothing for unresponsive peers, so that they do not cause snapshots. */
static void start_snapshot(struct raft *ctx, struct raft_peer *peer)
{
	if (ctx->now - peer->contact_us >= ctx->options.election_timeout_us)
		return;
	if (!ctx->snapshot || ctx->snapshot->index < ctx->log.base_index) {
		if (ctx->now - ctx->snapshot_wanted_us >=
		    ctx->options.heartbeat_us) {
			ctx->snapshot_wanted = true;
			ctx->snapshot_wanted_us = ctx->now;
		}
		return;
	}
	reset_progress(ctx, peer, ctx->snapshot->index + 1);
	peer->state = RAFT_PEER_SNAPSHOT;
	peer->snapshot = raft_snapshot_ref(ctx->snapshot);
	peer->snapshot_offset = 0;
	peer->chunk_sent = false;
}

/*
 * True if a message may be sent ahead of those that wait to be sent. Entries,
 * parts of snapshots and the heartbeats that check whether the peer has got
 * them keep their order.
 */
bool raft_overtakes(const Dsp__RaftMessage *msg)
{
	switch (msg->body_case) {
	case DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST:
		return !msg->append_request->n_entries &&
		       !msg->append_request->prev_index;
	case DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK:
		return false;
	default:
		return true;
	}
}

/* Returns the bytes of the entries from an index on, up to SIGN_BYTES_MIN. */
static size_t bytes_from(const struct raft *ctx, uint64_t index)
{
	const struct raft_log *log = &ctx->log;
	size_t bytes = 0;

	for (size_t i = index - log->base_index - 1;
	     i < log->n && bytes < SIGN_BYTES_MIN; i++)
		bytes += log->entries[i]->data.len;
	return MIN(bytes, SIGN_BYTES_MIN);
}

/*
 * Sends a heartbeat. While entries are unanswered, every other one is only a
 * sign of life, which matches any log: the others wait behind the entries, for
 * longer than an election timeout if these are large.
 */
static void send_heartbeat(struct raft *ctx, struct raft_peer *peer,
			   bool unanswered)
{
	peer->sign_sent = unanswered && !peer->sign_sent;
	send_append(ctx, peer, peer->sign_sent ? 0 : peer->next - 1, false);
}

static void send_to_peer(struct raft *ctx, struct raft_peer *peer)
{
	int64_t heartbeat = ctx->options.heartbeat_us;
	bool due = ctx->now - peer->sent_us >= heartbeat;
	uint64_t last = raft_log_last(&ctx->log);

	if (peer->state == RAFT_PEER_SNAPSHOT &&
	    ctx->now - peer->contact_us >= 4 * ctx->options.election_timeout_us)
		reset_progress(ctx, peer, peer->match + 1);
	if (peer->state != RAFT_PEER_SNAPSHOT &&
	    peer->next <= ctx->log.base_index)
		start_snapshot(ctx, peer);

	if (peer->state == RAFT_PEER_SNAPSHOT) {
		if (!peer->chunk_sent ||
		    ctx->now - peer->chunk_sent_us >= heartbeat)
			send_chunk(ctx, peer);
		if (due) /* matches any log; measures the quorum contact */
			send_append(ctx, peer, 0, false);
		return;
	}
	if (peer->next <= ctx->log.base_index) {
		if (due)
			send_append(ctx, peer, 0, false);
		return;
	}
	if (peer->state == RAFT_PEER_PROBE) {
		/* Repeated without entries, as the peer may be down. */
		if (!peer->probe_sent)
			send_append(ctx, peer, peer->next - 1, true);
		else if (due)
			send_heartbeat(ctx, peer, true);
		peer->probe_sent = true;
		return;
	}
	/* No commit waits for a learner. */
	if (!peer->voter && !due && last - peer->match < LEARNER_ENTRIES_MAX)
		return;
	if (peer->next <= last && peer->n_inflight < RAFT_INFLIGHT_MAX &&
	    bytes_from(ctx, peer->next) >= SIGN_BYTES_MIN)
		send_append(ctx, peer, 0, false);
	while (peer->next <= last && peer->n_inflight < RAFT_INFLIGHT_MAX) {
		Dsp__RaftMessage *msg;

		send_append(ctx, peer, peer->next - 1, true);
		msg = ctx->out_messages.items[ctx->out_messages.n - 1];
		peer->next += msg->append_request->n_entries;
		peer->inflight[peer->n_inflight++] = peer->next - 1;
		due = false;
	}
	if (peer->sent_commit < ctx->commit)
		send_append(ctx, peer, peer->next - 1, false);
	else if (due)
		send_heartbeat(ctx, peer, peer->n_inflight);
}

/* Queues the next messages for each peer: the proposals since the last call
 * as one batch, or a heartbeat when one is due. */
void raft_send_appends(struct raft *ctx)
{
	bool needed = false;

	for (size_t i = 0; i < ctx->n_peers; i++) {
		send_to_peer(ctx, &ctx->peers[i]);
		needed |= ctx->peers[i].snapshot ||
			  ctx->peers[i].next <= ctx->log.base_index;
	}
	if (needed)
		return;
	raft_snapshot_unref(ctx->snapshot);
	ctx->snapshot = NULL;
}

/* Asks peer, which has all entries, to start an election. */
void raft_send_transfer(struct raft *ctx, struct raft_peer *peer)
{
	Dsp__RaftMessage *msg = raft_message(ctx, peer->replica);
	Dsp__TransferRequest *request = malloc(sizeof(*request));

	if (!request)
		abort();
	dsp__transfer_request__init(request);
	request->sequence = next_sequence(ctx);
	msg->body_case = DSP__RAFT_MESSAGE__BODY_TRANSFER_REQUEST;
	msg->transfer_request = request;
	ctx->transfer_sent = ctx->now;
}

static void record_match(struct raft *ctx, struct raft_peer *peer,
			 uint64_t match)
{
	unsigned done = 0;

	if (match > peer->match)
		peer->match = match;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	while (done < peer->n_inflight && peer->inflight[done] <= match)
		done++;
	peer->n_inflight -= done;
	memmove(peer->inflight, peer->inflight + done,
		peer->n_inflight * sizeof(*peer->inflight));
	raft_update_commit(ctx);
	if (peer->replica == ctx->transfer_to && !ctx->transfer_sent &&
	    peer->match == raft_log_last(&ctx->log))
		raft_send_transfer(ctx, peer);
}

/* Takes the sending time of the message that an append reply answers as the
 * last contact with the peer. */
static void record_contact(struct raft *ctx, struct raft_peer *peer,
			   const Dsp__AppendReply *reply)
{
	int64_t sent = (int64_t)(reply->sequence >> RAFT_SEQUENCE_BITS);

	if (sent > peer->contact_us && sent <= ctx->now)
		peer->contact_us = sent;
}

/*
 * Takes the contact with a quorum from a message that has arrived, without
 * handling it. A leader whose process stood still calls this for all messages
 * that came meanwhile before raft_step() or raft_tick() with the new time: its
 * own stall does not mean that the others are silent. A stall of an election
 * timeout or longer still ends the leadership, since the messages that were
 * answered are older than that.
 */
void raft_read_contact(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	struct raft_peer *peer;

	if (ctx->disabled || ctx->role != RAFT_LEADER ||
	    msg->body_case != DSP__RAFT_MESSAGE__BODY_APPEND_REPLY ||
	    msg->group != ctx->options.group ||
	    msg->to != ctx->options.replica || msg->term != ctx->term)
		return;
	peer = raft_find_peer(ctx, msg->from);
	if (peer)
		record_contact(ctx, peer, msg->append_reply);
}

/* Handles a follower's append reply of the current term. */
void raft_handle_append_reply(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__AppendReply *reply = msg->append_reply;
	struct raft_peer *peer = raft_find_peer(ctx, msg->from);
	uint64_t hint;

	if (ctx->role != RAFT_LEADER || !peer)
		return;
	record_contact(ctx, peer, reply);
	if (reply->success) {
		uint64_t next = peer->next;

		if (reply->match > raft_log_last(&ctx->log))
			return;
		record_match(ctx, peer, reply->match);
		if (peer->state == RAFT_PEER_PROBE &&
		    reply->match + 1 >= next) {
			peer->next = peer->match + 1;
			peer->state = RAFT_PEER_REPLICATE;
		} else if (peer->state == RAFT_PEER_SNAPSHOT &&
			   peer->match >= peer->snapshot->index) {
			reset_progress(ctx, peer, peer->match + 1);
		}
		return;
	}
	if (peer->state == RAFT_PEER_SNAPSHOT ||
	    reply->sequence < peer->reset_sequence)
		return;
	hint = raft_log_find_conflict(&ctx->log, reply->hint, reply->hint_term);
	reset_progress(ctx, peer,
		       MAX(peer->match + 1, MIN(hint + 1, peer->next)));
}

/*
 * Handles the reply to a snapshot chunk. Only an offset beyond the last one
 * sends the next chunk at once; after a lower one (the follower was restarted,
 * or the reply is old) the chunk is sent with the next heartbeat, so that
 * duplicated replies do not multiply the chunks in transit.
 */
void raft_handle_snapshot_reply(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__SnapshotReply *reply = msg->snapshot_reply;
	struct raft_peer *peer = raft_find_peer(ctx, msg->from);

	if (ctx->role != RAFT_LEADER || !peer ||
	    peer->state != RAFT_PEER_SNAPSHOT ||
	    reply->index != peer->snapshot->index)
		return;
	if (reply->done) {
		uint64_t index = reply->index;

		reset_progress(ctx, peer, index + 1);
		record_match(ctx, peer, index);
		return;
	}
	if (reply->offset > peer->snapshot->len)
		return;
	if (reply->offset > peer->snapshot_offset)
		peer->chunk_sent = false;
	peer->snapshot_offset = reply->offset;
}
