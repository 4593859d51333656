#ifndef CORE_RAFT_PRIV_H
#define CORE_RAFT_PRIV_H

#include "core/raft.h"

/* Unacknowledged append messages per peer. */
#define RAFT_INFLIGHT_MAX 32

/* A sequence number holds the leader's sending time in microseconds; its low
 * bits count the messages sent within one microsecond. */
#define RAFT_SEQUENCE_BITS 12

/* A snapshot that is being sent or installed; reference-counted. */
struct raft_snapshot {
	unsigned refs;
	uint64_t index;
	uint64_t term;
	Dsp__RaftConfig *config;
	uint8_t *data;
	size_t len;
};

/* A snapshot that is being received. */
struct raft_incoming_snapshot {
	uint64_t from;
	uint64_t leader_term;
	uint64_t index;
	uint8_t *data;
	size_t len;
	size_t capacity;
};

enum raft_peer_state {
	RAFT_PEER_PROBE,     /* match unknown: one message at a time */
	RAFT_PEER_REPLICATE, /* pipelined */
	RAFT_PEER_SNAPSHOT,
};

enum raft_vote {
	RAFT_VOTE_NONE,
	RAFT_VOTE_GRANTED,
	RAFT_VOTE_REFUSED,
};

/* Another member. Candidates use vote; leaders use the fields after it. */
struct raft_peer {
	uint64_t replica;
	bool voter;
	enum raft_vote vote;
	enum raft_peer_state state;
	uint64_t match; /* highest index known to be synced there */
	uint64_t next;	/* next index to send */
	uint64_t sent_commit;
	uint64_t reset_sequence; /* ignore rejections of earlier messages */
	bool probe_sent;
	bool sign_sent;	    /* the last heartbeat was a sign of life only */
	int64_t sent_us;    /* when the last append was sent */
	int64_t contact_us; /* sending time of the last answered message */
	uint64_t inflight[RAFT_INFLIGHT_MAX]; /* last index of each message */
	unsigned n_inflight;
	struct raft_snapshot *snapshot; /* in state SNAPSHOT */
	uint64_t snapshot_offset;
	bool chunk_sent;
	int64_t chunk_sent_us;
};

struct raft_config_version {
	uint64_t index; /* 0: initial configuration */
	Dsp__RaftConfig *config;
};

/* The entries after base, the last index that was compacted away. */
struct raft_log {
	uint64_t base_index;
	uint64_t base_term;
	Dsp__LogEntry **entries;
	size_t n;
	size_t capacity;
	uint64_t written;	/* last index handed to the caller */
	uint64_t synced;	/* last index reported as synced */
	uint64_t truncate_from; /* to hand to the caller; 0: none */
	/* From the configuration at base to the one in force now. */
	struct raft_config_version *configs;
	size_t n_configs;
	/* Removed entries that a ready batch may still refer to. */
	Dsp__LogEntry **removed;
	size_t n_removed;
	size_t removed_capacity;
};

struct raft_messages {
	Dsp__RaftMessage **items;
	size_t n;
	size_t capacity;
};

struct raft {
	struct raft_options options;
	int64_t now;
	uint64_t random;
	bool disabled;

	uint64_t term;
	uint64_t voted_for;
	bool hard_state_dirty;

	enum raft_role role; /* RAFT_LEARNER is never stored, see raft_role() */
	bool is_voter;
	uint64_t leader;
	int64_t leader_contact;	  /* last message from a leader, or startup */
	uint64_t leader_sequence; /* highest append sequence of this term */
	int64_t election_deadline;

	uint64_t commit;
	uint64_t applied; /* handed out as committed */
	struct raft_log log;

	struct raft_peer *peers; /* all members but this one */
	size_t n_peers;
	size_t n_voters;   /* this one included */
	uint64_t *scratch; /* for sorting one value per member */

	/* Used on the leader only. */
	int64_t leader_since;
	uint64_t term_start_index; /* index of the first entry of its term */
	uint64_t sequence;
	uint64_t transfer_to;
	int64_t transfer_deadline;
	int64_t transfer_sent; /* time of the last TransferRequest; 0: none */
	struct raft_snapshot *snapshot; /* for slow followers; may be NULL */
	bool snapshot_wanted;		/* to report in the next ready batch */
	int64_t snapshot_wanted_us;	/* last reported */

	struct raft_incoming_snapshot incoming;
	struct raft_snapshot *install; /* received; for the next ready batch */

	struct raft_messages out_messages;
	/* The batch between raft_take_ready() and raft_advance(). */
	bool ready_pending;
	uint64_t ready_last_index; /* last log index that it writes */
	struct raft_messages ready_messages;
	Dsp__LogEntry **ready_entries; /* appended, then committed ones */
	struct raft_snapshot *ready_install;
};

/* raft_log.c */
Dsp__RaftConfig *raft_config_copy(const Dsp__RaftConfig *config);
Dsp__LogEntry *raft_entry_new(uint64_t index, uint64_t term,
			      Dsp__EntryKind kind, const uint8_t *data,
			      size_t len);
uint64_t raft_log_last(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);
uint64_t raft_log_term(const struct raft_log *log, uint64_t index);
Dsp__LogEntry *raft_log_entry(const struct raft_log *log, uint64_t index);
const struct raft_config_version *raft_log_config(const struct raft_log *log);
const struct raft_config_version *raft_log_config_at(const struct raft_log *log,
						     uint64_t index);
uint64_t raft_log_find_conflict(const struct raft_log *log, uint64_t index,
				uint64_t term);
void raft_log_init(struct raft_log *log, uint64_t base_index,
		   uint64_t base_term, const Dsp__RaftConfig *config);
void raft_log_clear(struct raft_log *log);
bool raft_log_append(struct raft_log *log, Dsp__LogEntry *entry);
bool raft_log_truncate(struct raft_log *log, uint64_t index);
void raft_log_compact(struct raft_log *log, uint64_t index);
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term,
		    const Dsp__RaftConfig *config);
void raft_log_free_removed(struct raft_log *log);

/* raft_replicate.c: the leader's side of replication. */
struct raft_peer *raft_find_peer(struct raft *ctx, uint64_t replica);
void raft_apply_config(struct raft *ctx);
void raft_reset_peers(struct raft *ctx);
void raft_send_appends(struct raft *ctx);
void raft_update_commit(struct raft *ctx);
void raft_handle_append_reply(struct raft *ctx, const Dsp__RaftMessage *msg);
void raft_handle_snapshot_reply(struct raft *ctx, const Dsp__RaftMessage *msg);
void raft_send_transfer(struct raft *ctx, struct raft_peer *peer);
int64_t raft_quorum_contact(const struct raft *ctx);

/* raft_follow.c: the follower's side of replication. */
void raft_handle_append(struct raft *ctx, const Dsp__RaftMessage *msg);
void raft_handle_snapshot_chunk(struct raft *ctx, const Dsp__RaftMessage *msg);

/* raft_elect.c */
void raft_become_follower(struct raft *ctx, uint64_t term, uint64_t leader);
void raft_campaign(struct raft *ctx, bool pre, bool transfer);
bool raft_has_active_leader(const struct raft *ctx);
void raft_handle_vote_request(struct raft *ctx, const Dsp__RaftMessage *msg);
void raft_handle_vote_reply(struct raft *ctx, const Dsp__RaftMessage *msg);
void raft_handle_transfer_request(struct raft *ctx,
				  const Dsp__RaftMessage *msg);
void raft_reset_election_deadline(struct raft *ctx);

/* raft.c */
Dsp__RaftMessage *raft_message(struct raft *ctx, uint64_t to);
void raft_append_own(struct raft *ctx, Dsp__EntryKind kind, const uint8_t *data,
		     size_t len);
struct raft_snapshot *raft_snapshot_ref(struct raft_snapshot *snapshot);
void raft_snapshot_unref(struct raft_snapshot *snapshot);

#endif
