#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/raft_priv.h"

static void send_append_reply(struct raft *ctx, const Dsp__RaftMessage *msg,
			      bool success, uint64_t match, uint64_t hint)
{
	Dsp__RaftMessage *out = raft_message(ctx, msg->from);
	Dsp__AppendReply *reply = malloc(sizeof(*reply));

	if (!reply)
		abort();
	dsp__append_reply__init(reply);
	reply->success = success;
	reply->match = match;
	reply->hint = hint;
	reply->hint_term = raft_log_term(&ctx->log, hint);
	if (msg->body_case == DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST)
		reply->sequence = msg->append_request->sequence;
	out->body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REPLY;
	out->append_reply = reply;
}

static void follow(struct raft *ctx, uint64_t leader)
{
	raft_become_follower(ctx, ctx->term, leader);
	ctx->leader_contact = ctx->now;
}

/* Checks that the entries follow prev without a gap and that their terms never
 * decrease. */
static bool well_formed(const Dsp__RaftMessage *msg)
{
	const Dsp__AppendRequest *request = msg->append_request;
	uint64_t term = request->prev_term;

	for (size_t i = 0; i < request->n_entries; i++) {
		const Dsp__LogEntry *entry = request->entries[i];

		if (entry->index != request->prev_index + i + 1 ||
		    entry->term < term || !entry->term ||
		    entry->term > msg->term)
			return false;
		term = entry->term;
	}
	return true;
}

/*
 * Handles entries or a heartbeat from the leader of the current term. Entries
 * up to the commit index are known to match and are skipped, whatever previous
 * entry the message refers to.
 */
void raft_handle_append(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__AppendRequest *request = msg->append_request;
	uint64_t prev = request->prev_index;
	uint64_t match = prev + request->n_entries;
	bool changed = false;

	if (ctx->role == RAFT_LEADER || !well_formed(msg))
		return;
	follow(ctx, msg->from);
	if (request->sequence > ctx->leader_sequence)
		ctx->leader_sequence = request->sequence;
	if (prev > ctx->commit &&
	    (prev > raft_log_last(&ctx->log) ||
	     raft_log_term(&ctx->log, prev) != request->prev_term)) {
		uint64_t hint = raft_log_find_conflict(&ctx->log, prev - 1,
						       request->prev_term);

		send_append_reply(ctx, msg, false, 0, MAX(hint, ctx->commit));
		return;
	}
	for (size_t i = 0; i < request->n_entries; i++) {
		const Dsp__LogEntry *entry = request->entries[i];

		if (entry->index <= ctx->commit ||
		    raft_log_term(&ctx->log, entry->index) == entry->term)
			continue;
		if (entry->index <= raft_log_last(&ctx->log))
			changed |= raft_log_truncate(&ctx->log, entry->index);
		changed |= raft_log_append(
			&ctx->log,
			raft_entry_new(entry->index, entry->term, entry->kind,
				       entry->data.data, entry->data.len));
	}
	if (changed)
		raft_apply_config(ctx);
	if (match < ctx->commit)
		match = ctx->commit;
	if (request->commit > ctx->commit)
		ctx->commit = MIN(request->commit, match);
	send_append_reply(ctx, msg, true, match, 0);
}

static void send_snapshot_reply(struct raft *ctx, uint64_t to, uint64_t index,
				uint64_t offset, bool done)
{
	Dsp__RaftMessage *msg = raft_message(ctx, to);
	Dsp__SnapshotReply *reply = malloc(sizeof(*reply));

	if (!reply)
		abort();
	dsp__snapshot_reply__init(reply);
	reply->index = index;
	reply->offset = offset;
	reply->done = done;
	msg->body_case = DSP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY;
	msg->snapshot_reply = reply;
}

static void install_snapshot(struct raft *ctx, const Dsp__SnapshotChunk *chunk)
{
	struct raft_incoming_snapshot *incoming = &ctx->incoming;
	struct raft_snapshot *snapshot = g_new0(struct raft_snapshot, 1);

	snapshot->refs = 1;
	snapshot->index = chunk->index;
	snapshot->term = chunk->term;
	snapshot->config = raft_config_copy(chunk->config);
	snapshot->data = incoming->data;
	snapshot->len = incoming->len;
	*incoming = (struct raft_incoming_snapshot){ 0 };

	raft_snapshot_unref(ctx->install);
	ctx->install = snapshot;
	raft_log_reset(&ctx->log, snapshot->index, snapshot->term,
		       snapshot->config);
	ctx->commit = snapshot->index;
	ctx->applied = snapshot->index;
	raft_apply_config(ctx);
}

/*
 * Collects the chunks of a snapshot and installs it when it is complete. The
 * chunks of one leader's snapshot are accepted in order; any other chunk is
 * answered with the next expected offset.
 */
void raft_handle_snapshot_chunk(struct raft *ctx, const Dsp__RaftMessage *msg)
{
	const Dsp__SnapshotChunk *chunk = msg->snapshot_chunk;
	struct raft_incoming_snapshot *incoming = &ctx->incoming;

	if (ctx->role == RAFT_LEADER || !chunk->index || !chunk->config)
		return;
	follow(ctx, msg->from);
	if (chunk->index > ctx->commit &&
	    raft_log_term(&ctx->log, chunk->index) == chunk->term)
		ctx->commit = chunk->index;
	if (chunk->index <= ctx->commit) {
		send_snapshot_reply(ctx, msg->from, chunk->index, 0, true);
		return;
	}
	if (incoming->from != msg->from || incoming->leader_term != msg->term ||
	    incoming->index != chunk->index) {
		g_free(incoming->data);
		*incoming = (struct raft_incoming_snapshot){
			.from = msg->from,
			.leader_term = msg->term,
			.index = chunk->index,
		};
	}
	if (chunk->offset != incoming->len) {
		send_snapshot_reply(ctx, msg->from, chunk->index, incoming->len,
				    false);
		return;
	}
	if (incoming->len + chunk->data.len > incoming->capacity) {
		incoming->capacity =
			(incoming->len + chunk->data.len) * 3 / 2 + 64;
		incoming->data = g_realloc(incoming->data, incoming->capacity);
	}
	if (chunk->data.len)
		memcpy(incoming->data + incoming->len, chunk->data.data,
		       chunk->data.len);
	incoming->len += chunk->data.len;
	if (!chunk->last) {
		send_snapshot_reply(ctx, msg->from, chunk->index, incoming->len,
				    false);
		return;
	}
	install_snapshot(ctx, chunk);
	send_snapshot_reply(ctx, msg->from, chunk->index, 0, true);
}
