#include <stdlib.h>

#include "core/raft_priv.h"

/* SplitMix64, public domain, Sebastiano Vigna. */
static uint64_t next_random(struct raft *ctx)
{
	uint64_t z = ctx->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

/* Sets a random election timeout of one to two times the configured one. */
void raft_reset_election_deadline(struct raft *ctx)
{
	int64_t timeout = ctx->options.election_timeout_us;

	ctx->election_deadline =
		ctx->now + timeout +
		(int64_t)(next_random(ctx) % (uint64_t)timeout);
}

/*
 * Returns true while this replica must not vote for another one: it leads, or
 * it received a message from a leader within the last election timeout. A
 * restarted replica does not know when it last did, so the same holds for the
 * first election timeout after startup.
 */
bool raft_has_active_leader(const struct raft *ctx)
{
	if (ctx->role == RAFT_LEADER)
		return true;
	return ctx->now - ctx->leader_contact <
	       ctx->options.election_timeout_us;
}

static void set_term(struct raft *ctx, uint64_t term, uint64_t voted_for)
{
	ctx->term = term;
	ctx->voted_for = voted_for;
	ctx->leader_sequence = 0;
	ctx->hard_state_dirty = true;
}

/* Becomes a follower of leader (0: unknown) in term, which must not be below
 * the current one. */
void raft_become_follower(struct raft *ctx, uint64_t term, uint64_t leader)
{
	if (term > ctx->term)
		set_term(ctx, term, 0);
	if (ctx->role == RAFT_LEADER)
		raft_reset_peers(ctx);
	ctx->role = RAFT_FOLLOWER;
	ctx->leader = leader;
	ctx->transfer_to = 0;
	raft_reset_election_deadline(ctx);
}

static void become_leader(struct raft *ctx)
{
	ctx->role = RAFT_LEADER;
	ctx->leader = ctx->options.replica;
	ctx->leader_since = ctx->now;
	ctx->term_start_index = raft_log_last(&ctx->log) + 1;
	ctx->transfer_to = 0;
	ctx->transfer_sent = 0;
	raft_reset_peers(ctx);
	/* Entries of earlier terms commit only with one of this term. */
	raft_append_own(ctx, DSP__ENTRY_KIND__ENTRY_NOOP, NULL, 0);
	raft_update_commit(ctx);
}

static void count_votes(struct raft *ctx)
{
	size_t granted = 1; /* its own vote; only voters campaign */
	size_t refused = 0;

	for (size_t i = 0; i < ctx->n_peers; i++) {
		if (!ctx->peers[i].voter)
			continue;
		granted += ctx->peers[i].vote == RAFT_VOTE_GRANTED;
		refused += ctx->peers[i].vote == RAFT_VOTE_REFUSED;
	}
	if (granted > ctx->n_voters / 2) {
		if (ctx->role == RAFT_PRE_CANDIDATE)
			raft_campaign(ctx, false, false);
		else
			become_leader(ctx);
	} else if (ctx->n_voters - refused <= ctx->n_voters / 2) {
		raft_become_follower(ctx, ctx->term, 0);
	}
}

/*
 * Starts an election, or with pre a pre-vote, which asks whether an election
 * could be won without incrementing the term. This keeps a replica that was
 * partitioned from deposing a leader when it reconnects.
 */
void raft_campaign(struct raft *ctx, bool pre, bool transfer)
{
	ctx->role = pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	ctx->leader = 0;
	if (!pre)
		set_term(ctx, ctx->term + 1, ctx->options.replica);
	raft_reset_election_deadline(ctx);
	for (size_t i = 0; i < ctx->n_peers; i++) {
		struct raft_peer *peer = &ctx->peers[i];
		Dsp__RaftMessage *msg;
		Dsp__VoteRequest *request;

		peer->vote = RAFT_VOTE_NONE;
		if (!peer->voter)
			continue;
		request = malloc(sizeof(*request));
		if (!request)
			abort();
		dsp__vote_request__init(request);
		request->pre = pre;
		request->transfer = transfer;
		request->last_index = raft_log_last(&ctx->log);
		request->last_term = raft_log_last_term(&ctx->log);
		msg = raft_message(ctx, peer->replica);
		if (pre)
			msg->term = ctx->term + 1;
		msg->body_case = DSP__RAFT_MESSAGE__BODY_VOTE_REQUEST;
		msg->vote_request = request;
	}
	count_votes(ctx);
}

static void send_vote_reply(struct raft *ctx, uint64_t to, uint64_t term,
			    bool pre, bool granted)
{
	Dsp__RaftMessage *msg = raft_message(ctx, to);
	Dsp__VoteReply *reply = malloc(sizeof(*reply));

	if (!reply)
		abort();
	dsp__vote_reply__init(reply);
	reply->pre = pre;
	reply->granted = granted;
	msg->term = term;
	msg->body_case = DSP__RAFT_MESSAGE__BODY_VOTE_REPLY;
	msg->vote_reply = reply;
}

/*
 * Answers a vote request. Learners vote too: the candidate may know of this
 * replica's promotion to voter before the replica itself does, and may need
 * its vote for a majority.
 */
void raft_handle_vote_request(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__VoteRequest *request = msg->vote_request;
	uint64_t last = raft_log_last(&ctx->log);
	uint64_t last_term = raft_log_last_term(&ctx->log);
	bool current = request->last_term > last_term ||
		       (request->last_term == last_term &&
			request->last_index >= last);

	if (msg->term > ctx->term) {
		if (!request->transfer && raft_has_active_leader(ctx))
			return;
		if (request->pre) {
			send_vote_reply(ctx, msg->from,
					current ? msg->term : ctx->term, true,
					current);
			return;
		}
		raft_become_follower(ctx, msg->term, 0);
	} else if (msg->term < ctx->term || request->pre) {
		send_vote_reply(ctx, msg->from, ctx->term, request->pre, false);
		return;
	}
	if (ctx->voted_for != msg->from &&
	    (ctx->voted_for || ctx->leader || !current)) {
		send_vote_reply(ctx, msg->from, ctx->term, false, false);
		return;
	}
	if (!ctx->voted_for) {
		ctx->voted_for = msg->from;
		ctx->hard_state_dirty = true;
	}
	raft_reset_election_deadline(ctx);
	send_vote_reply(ctx, msg->from, ctx->term, false, true);
}

/* Counts a vote of the current election. Votes processed after the election
 * deadline, for example because the process was suspended while they were
 * queued, do not count. */
void raft_handle_vote_reply(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__VoteReply *reply = msg->vote_reply;
	struct raft_peer *peer = raft_find_peer(ctx, msg->from);
	uint64_t asked = ctx->term;

	if (!peer || !peer->voter || ctx->now >= ctx->election_deadline)
		return;
	if (ctx->role == RAFT_PRE_CANDIDATE && reply->pre) {
		/* A grant carries the requested term, a rejection the voter's.
		 */
		asked += reply->granted;
	} else if (ctx->role != RAFT_CANDIDATE || reply->pre) {
		return;
	}
	if (msg->term != asked)
		return;
	peer->vote = reply->granted ? RAFT_VOTE_GRANTED : RAFT_VOTE_REFUSED;
	count_votes(ctx);
}

/* The leader transfers leadership: campaigns at once, without a pre-vote. */
void raft_handle_transfer_request(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__TransferRequest *request = msg->transfer_request;

	/* If a later append has already arrived, the leader may have given up
	 * this transfer. */
	if (!ctx->is_voter || ctx->leader != msg->from ||
	    request->sequence < ctx->leader_sequence)
		return;
	raft_campaign(ctx, false, true);
}
