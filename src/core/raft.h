#ifndef CORE_RAFT_H
#define CORE_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Raft consensus for one replica. The module does no I/O: the caller passes in
 * the time and received messages, and after each call (or batch of calls)
 * carries out what raft_take_ready() returns, in this order: write hard state,
 * entries or snapshot and sync them; send the messages; apply the committed
 * entries; then call raft_advance(). Not thread-safe.
 */
struct raft;

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
	RAFT_LEARNER,
};

struct raft_options {
	uint64_t replica; /* identity of this replica */
	uint64_t group;
	uint64_t seed;		     /* randomises election timeouts */
	int64_t election_timeout_us; /* randomised to 1..2 times this */
	int64_t heartbeat_us;
	uint32_t max_batch_bytes; /* per append message */
};

/* State that the store has read back at startup. */
struct raft_durable_state {
	uint64_t term;
	uint64_t voted_for;
	uint64_t snapshot_index; /* 0: none */
	uint64_t snapshot_term;
	const Dsp__RaftConfig *config; /* of the snapshot or initial */
	Dsp__LogEntry *const *entries; /* after the snapshot */
	size_t n_entries;
};

struct raft_ready {
	bool hard_state_changed; /* write term and voted_for */
	uint64_t term;
	uint64_t voted_for;
	uint64_t truncate_from; /* first, drop the log from here; 0: none */
	Dsp__LogEntry **append; /* owned by raft; write and sync */
	size_t n_append;
	Dsp__RaftMessage **messages; /* owned by raft; send after the sync */
	size_t n_messages;
	/* The first n_before_sync messages may be sent before the writes, so
	 * that followers and leader sync in parallel. */
	size_t n_before_sync;
	Dsp__LogEntry **committed; /* owned by raft; apply in order */
	size_t n_committed;
	/* A received snapshot replaces state and log before append and
	 * committed. */
	bool install_snapshot;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	const uint8_t *snapshot_data;
	size_t snapshot_len;
	const Dsp__RaftConfig *snapshot_config;
	/* A follower needs a current snapshot: the caller takes one and calls
	 * raft_provide_snapshot(). */
	bool want_snapshot;
};

struct raft *raft_new(const struct raft_options *options,
		      const struct raft_durable_state *durable, int64_t now_us);
void raft_free(struct raft *ctx);

/* Commands. */
void raft_tick(struct raft *ctx, int64_t now_us);
void raft_step(struct raft *ctx, const Dsp__RaftMessage *msg, int64_t now_us);
/* Before raft_step() or raft_tick() with a later time, for all messages that
 * have arrived. */
void raft_read_contact(struct raft *ctx, const Dsp__RaftMessage *msg);
/* Returns the log index, or 0 when this replica is not leader. */
uint64_t raft_propose(struct raft *ctx, const uint8_t *data, size_t len);
/* Changes one voter at most; returns 0 when not leader or another change is
 * pending. */
uint64_t raft_propose_config(struct raft *ctx, const Dsp__RaftConfig *config);
/* True if a message may be sent ahead of those that wait to be sent. */
bool raft_overtakes(const Dsp__RaftMessage *msg);
bool raft_take_ready(struct raft *ctx, struct raft_ready *ready);
/* Reports that the batch was carried out and its log writes are synced. */
void raft_advance(struct raft *ctx, const struct raft_ready *ready,
		  int64_t now_us);
/* Reports that the caller stored a snapshot of the applied state at index; the
 * log up to it may be dropped. */
void raft_provide_snapshot(struct raft *ctx, uint64_t index,
			   const uint8_t *data, size_t len);
/* After a disk failure: stops voting, leading and acknowledging for good. */
void raft_disable(struct raft *ctx);
void raft_transfer_leadership(struct raft *ctx, uint64_t to, int64_t now_us);

/* Queries. */
enum raft_role raft_role(const struct raft *ctx);
uint64_t raft_term(const struct raft *ctx);
uint64_t raft_leader(const struct raft *ctx); /* 0: unknown */
uint64_t raft_commit_index(const struct raft *ctx);
uint64_t raft_last_index(const struct raft *ctx);
const Dsp__RaftConfig *raft_config(const struct raft *ctx);
/* Configuration and term to store with a snapshot at index. */
const Dsp__RaftConfig *raft_config_at(const struct raft *ctx, uint64_t index);
uint64_t raft_term_at(const struct raft *ctx, uint64_t index);
bool raft_config_pending(const struct raft *ctx);
/* On the leader: match index of a member; 0 when unknown. */
uint64_t raft_match_index(const struct raft *ctx, uint64_t replica);
/* On the leader: true once an entry of its own term is committed, so that its
 * state is current. */
bool raft_is_ready_leader(const struct raft *ctx);
/* Time of the last message from another replica that leads, or of the start. */
int64_t raft_leader_contact_us(const struct raft *ctx);
/* Whether this leader is handing over its leadership. */
bool raft_is_transferring(const struct raft *ctx);
/* On the leader: time of the last contact with a quorum. */
int64_t raft_quorum_contact_us(const struct raft *ctx);

#endif
