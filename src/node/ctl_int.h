#ifndef NODE_CTL_INT_H
#define NODE_CTL_INT_H

#include <pthread.h>
#include <sys/queue.h>

#include "core/occ.h"
#include "core/pev.h"
#include "core/plc.h"
#include "core/quo.h"
#include "core/raft.h"
#include "core/st.h"
#include "net/net.h"
#include "node/ctl.h"
#include "node/ctl_rules.h"
#include "node/ctl_up.h"
#include "store/sto.h"

/*
 * Internal header of the control thread (prefix ctl_, see ctl.h), for its own
 * files only. Unless a comment says otherwise, all of this belongs to the
 * control thread and needs no lock.
 */

/* One second. */
#define CTL_S_US 1000000

/* ---- Calls from traffic threads (ctl_call.c) ---- */

enum ctl_call_kind {
	CTL_CALL_COMMAND,
	CTL_CALL_REPLACE,
	CTL_CALL_ANSWER_QUERY,
	CTL_CALL_STATUS,
};

enum ctl_call_state {
	CTL_CALL_QUEUED,    /* has no effect if the caller gives up now */
	CTL_CALL_SUBMITTED, /* sent or proposed; may take effect */
	CTL_CALL_DONE,
};

struct ctl_call {
	TAILQ_ENTRY(ctl_call) link; /* control thread; in ctl.calls */
	enum ctl_call_kind kind;
	unsigned refs;		   /* ctl.lock */
	enum ctl_call_state state; /* ctl.lock */
	bool abandoned;		   /* ctl.lock; the caller gave up */
	pthread_cond_t done;	   /* with ctl.lock */
	/* Request; fixed once queued. */
	uint8_t *command; /* owned */
	size_t command_len;
	bool idempotent; /* may be applied twice without harm */
	uint64_t replica;
	char *node;		 /* owned */
	Dsp__AnswerQuery *query; /* owned */
	/* Control thread. */
	bool listed; /* in ctl.calls */
	uint64_t id;
	unsigned n_outstanding; /* sent or proposed, not known to be refused */
	bool proposed;		/* by this replica; its log has the outcome */
	unsigned tries;		/* sends to any instance */
	unsigned redirects;	/* sends at once to the leader in a reply */
	int64_t sent_us;	/* last send */
	int64_t start_us;	/* first time it was handled */
	/* Outcome; written before CTL_CALL_DONE. */
	Dsp__CommandResult *result; /* owned until taken */
	Dsp__AnswerReply *answer;   /* owned until taken */
	char *text;		    /* owned until taken */
};
TAILQ_HEAD(ctl_calls, ctl_call);

/* ---- Steps of an iteration (ctl_step.c) ---- */

enum ctl_step {
	CTL_STEP_NET,	  /* pings, replaced connections */
	CTL_STEP_RECEIVE, /* messages of other instances */
	CTL_STEP_JOBS,	  /* of other threads */
	CTL_STEP_MEMBERS, /* group, members, evidence, streams */
	CTL_STEP_REPORT,  /* own report, calls */
	CTL_STEP_RAFT,	  /* log, replication, applied entries */
	/* These run in turn, in this order. */
	CTL_STEP_ORDERS,  /* quotas and orders */
	CTL_STEP_PUBLISH, /* views of the own state */
	CTL_STEP_PUSH,	  /* updates for the children */
	CTL_STEP_REST,
	CTL_N_STEPS,
};

struct ctl_steps {
	int64_t mark_us;	      /* end of the last step */
	int64_t took_us[CTL_N_STEPS]; /* in this iteration */
	int64_t busy_us[CTL_N_STEPS]; /* not counted in the metrics yet */
};

/* ---- Jobs for the control thread ---- */

enum ctl_order_outcome {
	CTL_ORDER_NOT_SENT,
	CTL_ORDER_IN_DOUBT,
	CTL_ORDER_ACCEPTED,
	CTL_ORDER_DONE,
	CTL_ORDER_REFUSED,
	CTL_ORDER_STALE_FENCE,
};

enum ctl_job_kind {
	CTL_JOB_CALL,
	CTL_JOB_ANNOUNCEMENT,
	CTL_JOB_DEMAND,
	CTL_JOB_PACE,
	CTL_JOB_OBSERVED_LOAD,
	CTL_JOB_PART_EVIDENCE,
	CTL_JOB_STREAMS,
	CTL_JOB_STREAM_COPIES,
	CTL_JOB_QUOTA_ASKS,
	CTL_JOB_PROMPTS,
	CTL_JOB_ORDER,
	CTL_JOB_DRAIN,
	CTL_JOB_SEEDS,
	CTL_JOB_STOP,
};

struct ctl_job {
	STAILQ_ENTRY(ctl_job) link;
	enum ctl_job_kind kind;
	union {
		struct ctl_call *call; /* one reference */
		Dsp__Announcement *announcement;
		Dsp__Demand *demand;
		Dsp__Pace *pace;
		Dsp__LoadReport *load;
		Dsp__PartEvidence *evidence;
		Dsp__StreamsBegun *streams;
		Dsp__QuotaAsks *quota_asks;
		char **seeds; /* owned */
		struct {
			char *node;		/* owned */
			Dsp__Envelope *message; /* owned */
		} prompts;
		struct {
			char *node;		   /* owned */
			Dsp__StreamCopies *copies; /* owned */
		} stream_copies;
		struct {
			uint64_t id;
			uint64_t term;
			enum ctl_order_outcome outcome;
		} order;
	};
};
STAILQ_HEAD(ctl_jobs, ctl_job);

/* ---- Proposals that wait for commit (ctl_raft.c) ---- */

enum ctl_waiter_kind {
	CTL_WAIT_NONE,
	CTL_WAIT_CALL,
	CTL_WAIT_FORWARD,
	CTL_WAIT_PLACEMENT,
	CTL_WAIT_PARTS,
	CTL_WAIT_STREAMS,
};

struct ctl_forward;

struct ctl_waiter {
	TAILQ_ENTRY(ctl_waiter) link;
	uint64_t index;
	uint64_t term;
	enum ctl_waiter_kind kind;
	/* Acknowledged only after the entries have the change, see
	 * ctl_spread_hold(). */
	bool changes_service;
	union {
		struct ctl_call *call; /* one reference */
		struct ctl_forward *forward;
		Dsp__PartEvidence *evidence; /* owned */
		Dsp__StreamsBegun *streams;  /* owned */
	};
};
TAILQ_HEAD(ctl_waiters, ctl_waiter);

struct ctl_held_result;
TAILQ_HEAD(ctl_held_results, ctl_held_result);

/* A command that another instance forwarded to this one. It is kept for some
 * time after its commit, so that a resend gets the same result. */
struct ctl_forward {
	STAILQ_ENTRY(ctl_forward) link; /* ctl.forwards_done */
	char *key;			/* owned; node, boot and id */
	char *address;			/* owned; where the reply goes */
	uint64_t id;
	uint64_t boot;
	Dsp__CommandResult *result; /* owned; NULL until committed */
	int64_t finished_us;
};
STAILQ_HEAD(ctl_forwards, ctl_forward);

/* ---- Downstream instances (ctl_report.c) ---- */

/* An instance that reports to this one and gets view updates from it. */
/* Formats of log entries. A command is not written before all members of the
 * group read its format. */
#define CTL_LOG_FORMAT_TABLE_CHANGES 1
#define CTL_LOG_FORMAT_STREAMS 2
/* Newest format that this version reads. */
#define CTL_LOG_FORMAT CTL_LOG_FORMAT_STREAMS

struct ctl_child {
	char *node;    /* owned */
	char *address; /* owned */
	uint64_t boot;
	uint64_t sent_index;	 /* view index after the updates sent to it */
	uint64_t reported_index; /* view index that it has reported */
	/* Index of the route table that it has after these, if it can apply
	 * changes to it; 0: it needs the whole table. */
	uint64_t table_index;
	/* Without progress until then, changes were lost; as
	 * ctl.attended_us. */
	int64_t lost_us;
	unsigned losses;	   /* in a row, without progress */
	int64_t sent_confirmed_us; /* confirmation in the last update */
	uint64_t echo_us; /* sent_us of its newest report; 0: needs no lease */
	int64_t heard_us;
	bool due; /* needs an update without waiting for the next round */
	bool reads_packed; /* it reads compressed updates */
	char *site;	   /* owned */
	int64_t asked_us;  /* first report since it was not a child */
	bool queries; /* asks for a view, and gets the loads from elsewhere */
};

struct ctl_load {
	TAILQ_ENTRY(ctl_load) link; /* ctl.changed_loads */
	Dsp__LoadReport *report;    /* owned */
	int64_t received_us;
	int64_t pushed_us; /* last sent downstream */
	bool changed;	   /* in ctl.changed_loads */
};
TAILQ_HEAD(ctl_loads, ctl_load);

/* ---- Leader's tables (ctl_member.c, ctl_order.c) ---- */

/* An instance as its reports describe it. */
struct ctl_member {
	struct ctl_incarnations boots;
	int64_t heard_us;
	int64_t heard_read_us; /* the same, as ctl.read_us */
	int64_t proposed_us;   /* last NodePut or NodeDown proposed */
	uint64_t view_index;
	uint32_t streams;
	uint32_t confirmed_age_ms;
};

/* An endpoint as its announcements describe it. */
struct ctl_endpoint {
	struct ctl_incarnations incarnations;
	int64_t heard_us;
	int64_t heard_read_us;	 /* the same, as ctl.read_us */
	int64_t put_us;		 /* last EndpointPut proposed */
	uint64_t put_hash;	 /* what it proposed */
	uint64_t put_index;	 /* its log index */
	unsigned puts;		 /* since the state last matched */
	uint64_t sequence;	 /* highest of this incarnation */
	uint64_t residency_hash; /* of the last residency proposed */
	int64_t residency_proposed_us;
	/* Last time that its copies were derived from its orders; 0: never. */
	int64_t copies_from_orders_us;
};

/* Progress of a pending order. */
struct ctl_order {
	uint64_t id;
	bool this_term; /* committed by this leader in this term */
	bool queued;	/* for the sender thread */
	bool accepted;	/* by the endpoint */
	unsigned sends; /* sends that may have arrived */
	unsigned failures;
	int64_t next_us; /* earliest next send */
	bool seen;	 /* pending in the current ctl_order_run() */
};

/* A request of a replica to join the group. */
struct ctl_join {
	Dsp__Member *member; /* owned */
	int64_t heard_us;
};

struct ctl_sender;

/* Distribution of the newest route table to the entries. */
enum ctl_spread {
	CTL_SPREAD_RUNNING,
	CTL_SPREAD_LATE, /* an entry lacks it after the time limit */
	CTL_SPREAD_DONE,
};

/* Tables of which the index is kept for resends. */
#define CTL_TABLES_KEPT 32

/* The last message of another replica of the group. */
struct ctl_replica_seen {
	int64_t heard_us;
	char *node;    /* owned; id of its instance */
	char *address; /* owned; where its instance takes answers */
};

/* Progress of a leader (ctl_watch.c). */
struct ctl_watch {
	struct ctl_stall commit;
	struct ctl_stall repair;
};

struct ctl {
	/* Set at start, constant afterwards. */
	const struct set *set;
	struct clk *clock;
	struct met *met;
	struct ctl_callbacks cb;
	uint64_t boot;
	struct lse_clock lease_clock;
	int wake_fd;
	pthread_t thread;

	pthread_mutex_t lock;
	struct ctl_jobs calls_in; /* lock; jobs that go ahead of others */
	struct ctl_jobs jobs;	  /* lock */
	size_t n_jobs;		  /* lock; in jobs */
	struct view *view;	  /* lock; written by the control thread */
	bool draining;		  /* lock */
	struct ctl_leadership leadership;  /* lock; as view */
	struct lse lease;		   /* lock; as view */
	_Atomic int64_t confirmed_us;	   /* written by the control thread */
	_Atomic int64_t leader_contact_us; /* the same; from the start on */

	/* The rest belongs to the control thread. */
	int64_t now_us; /* steady clock at the start of the iteration */
	/* The same less all pauses in which no messages were read. The silence
	 * of others counts on this clock. */
	int64_t read_us;
	int64_t pauses_us;
	/* Time in which this thread would have read a message soon: long
	 * iterations count only in part. */
	int64_t attended_us;
	bool stopping;
	int64_t stop_by_us;
	struct net *net;
	GHashTable *addresses; /* node id -> address of its last message */

	/* Replica; NULL without a data folder or after a disk failure. */
	struct sto *sto;
	struct raft *raft; /* NULL also before the replica has a group */
	struct st *st;
	uint64_t replica;
	uint64_t group;
	uint64_t applied_index;
	uint64_t table_proposed; /* index of the last table proposed here */
	uint64_t applied_term;
	Dsp__RaftConfig *applied_config;
	bool disk_failed;
	bool disk_full;	       /* disk_failed, but only for lack of space */
	int64_t reopen_due_us; /* disk_full: next attempt */
	bool view_dirty;       /* st has changes that the view lacks */
	bool orders_dirty;     /* a pending order may be ready to send */
	bool was_leader;       /* at the last ctl_raft_run() */
	bool ready_leader; /* leads and has committed an entry of its term */
	uint64_t own_leader_term; /* term of the last own leadership */
	uint64_t last_leader;	  /* replica that led last; 0: unknown */
	/* The group was formed while this process ran, so there was no earlier
	 * leader that it does not know of. */
	bool saw_group_formation;
	int64_t leader_since_us;      /* start of the own leadership */
	int64_t leader_since_read_us; /* the same, as read_us */
	GHashTable *replicas_seen;    /* replica -> struct ctl_replica_seen */
	int64_t unaddressed_us;	      /* last log line about such a message */
	struct ctl_waiters waiters;
	struct ctl_waiters orphans;	   /* waiters of earlier leaderships */
	GHashTable *forwards;		   /* key -> struct ctl_forward */
	struct ctl_forwards forwards_done; /* committed, oldest first */

	/* Formation of the group, and joining it. */
	char **seeds;	/* addresses of control instances to query; owned */
	bool forming;	/* the replica has no group yet */
	bool joining;	/* forming, and another instance has a group */
	bool rejoining; /* hears no leader and asks to be taken back */
	int64_t led_us; /* last time that this replica led; 0: never */
	int64_t form_due_us;
	struct ctl_form_answer *form_answers; /* other initial voters */
	size_t n_form_answers;
	GHashTable *joins; /* replica -> struct ctl_join; on the leader */

	/* Calls. */
	struct ctl_calls calls;
	GHashTable *calls_by_id;
	uint64_t next_call;
	int64_t calls_due_us;

	/* Leader, relays and views. */
	uint64_t term; /* of leader_node */
	char *leader_node;
	char *leader_address;
	Dsp__RaftConfig *config; /* of the last view update */
	GPtrArray *relays;	 /* node ids */
	struct ctl_up up;
	int64_t report_due_us;
	int64_t lease_round_us; /* arrival of the last round of the upstream
				   that extended the lease; 0: none */
	uint32_t report_hops;	/* of the next report */
	GHashTable *children;	/* node id -> struct ctl_child */
	/* Contents of the next report. */
	GHashTable *statuses;	   /* node id -> Dsp__NodeStatus */
	GHashTable *announcements; /* endpoint -> Dsp__Announcement */
	GHashTable *announced; /* endpoint -> hash of its last announcement */
	GHashTable *demands;   /* key -> Dsp__Demand */
	GHashTable *paces;     /* endpoint -> Dsp__Pace */
	/* Latest loads. */
	GHashTable *loads; /* endpoint -> struct ctl_load */
	struct ctl_loads changed_loads;
	struct occ *observed_up;   /* for the next report */
	struct occ *observed_down; /* for the next update */
	struct pev *parts;	   /* for the next report or command */
	int64_t push_due_us;	   /* next update round to all, with loads */
	int64_t push_earliest_us;  /* rate limit of rounds in between */
	int64_t push_slow_us;	   /* the same, unless push_urgent */
	uint64_t pushed_index;	   /* view index of the last round */
	bool push_urgent;	   /* a change that is waited for is not sent */
	uint64_t updates_packed;   /* encoded for children */
	uint64_t updates_sent;	   /* to children */
	uint64_t update_rounds;
	bool needs_whole_table;	     /* a change did not fit the own table */
	int64_t publish_due_us;	     /* next view with a new index only */
	int64_t publish_earliest_us; /* rate limit of views */
	bool publish_urgent;	     /* a change that is waited for */

	/* Leader. */
	struct plc *plc;
	unsigned placements_pending; /* order proposals not applied yet */
	int64_t placement_due_us;
	Dsp__StreamsBegun
		*streams; /* for the next report or command; or NULL */
	size_t n_streams;
	bool streams_pending; /* a command with streams is not applied yet */
	int64_t streams_due_us;
	bool parts_pending; /* a command with evidence is not applied yet */
	int64_t parts_due_us;
	int64_t member_due_us;
	int64_t leases_due_us;	/* next check of the leases */
	int64_t last_expire_us; /* last Expire proposed */
	int64_t orders_due_us;
	GHashTable *members;   /* node id -> struct ctl_member */
	GHashTable *endpoints; /* endpoint id -> struct ctl_endpoint */
	GHashTable *orders;    /* id -> struct ctl_order */
	enum ctl_repair_step repair;
	struct ctl_watch watch;
	struct ctl_sender *sender;
	/* Newest route table of this leadership. */
	uint64_t spread_index;	 /* its view index; 0: none */
	int64_t spread_since_us; /* start of its distribution */
	enum ctl_spread spread;
	struct ctl_held_results held_results;	  /* oldest first */
	struct ctl_table tables[CTL_TABLES_KEPT]; /* the newest ones, a ring */
	size_t n_tables;			  /* that came into force */
	struct quo *quo;      /* NULL: no table had customers */
	uint64_t quota_table; /* index of the table in quo */

	char *quota_leader; /* last leader told to the traffic thread; "":
			       this instance; NULL: none */

	int64_t metrics_due_us;
	int64_t trim_due_us;
	struct ctl_steps steps;
	enum ctl_step next_step; /* first one after the consensus protocol */
};

/* ctl.c */
void ctl_post(struct ctl *ctx, struct ctl_job *job);
void ctl_send(struct ctl *ctx, const char *address, Dsp__Envelope *envelope);
void ctl_set_view(struct ctl *ctx, struct view *view);
bool ctl_is_draining(struct ctl *ctx);
uint32_t ctl_confirmed_age_ms(const struct ctl *ctx);
void ctl_extend_lease(struct ctl *ctx, int64_t start_us);

/* ctl_step.c */
void ctl_step_begin(struct ctl *ctx);
void ctl_step_done(struct ctl *ctx, enum ctl_step step);
void ctl_step_end(struct ctl *ctx);
void ctl_step_metrics(struct ctl *ctx);

/* ctl_call.c */
void ctl_call_start(struct ctl *ctx, struct ctl_call *call);
void ctl_call_run(struct ctl *ctx);
void ctl_call_reply(struct ctl *ctx, const Dsp__Envelope *from,
		    const Dsp__ForwardReply *reply);
void ctl_call_answer(struct ctl *ctx, const Dsp__AnswerReply *reply);
/* Handles the outcome of a call's proposal. result NULL: it was not committed
 * and never will be, so the call is tried again. Takes the result and the
 * reference. */
void ctl_call_abandoned(struct ctl *ctx, struct ctl_call *call);
void ctl_call_committed(struct ctl *ctx, struct ctl_call *call,
			Dsp__CommandResult *result);
void ctl_call_finish_all(struct ctl *ctx);
void ctl_call_unref(struct ctl *ctx, struct ctl_call *call);

/* ctl_raft.c */
bool ctl_raft_open(struct ctl *ctx, GError **err);
void ctl_raft_reopen(struct ctl *ctx);
bool ctl_raft_set_group(struct ctl *ctx, uint64_t group,
			const Dsp__RaftConfig *config);
void ctl_raft_close(struct ctl *ctx);
void ctl_raft_step(struct ctl *ctx, const Dsp__Envelope *from,
		   const Dsp__RaftMessage *msg);
int64_t ctl_raft_heard_us(const struct ctl *ctx, uint64_t replica);
void ctl_raft_seen_free(void *seen);
void ctl_raft_run(struct ctl *ctx);
void ctl_raft_confirm(struct ctl *ctx);
bool ctl_raft_is_leader(const struct ctl *ctx);
bool ctl_raft_leads(const struct ctl *ctx);
/* Proposes a command after setting its wall_ms. Returns false if this replica
 * is not the leader; the caller then keeps the waiter. */
bool ctl_raft_propose(struct ctl *ctx, Dsp__Command *command,
		      struct ctl_waiter *waiter);
bool ctl_raft_propose_config(struct ctl *ctx, const Dsp__RaftConfig *config,
			     struct ctl_waiter *waiter);
/* As ctl_raft_propose(), for a change that has no effect any more: its result
 * is held back as that of the first one. Returns false if it has to go through
 * the log; the caller then keeps the waiter. */
bool ctl_raft_hold_known(struct ctl *ctx, const Dsp__Command *command,
			 struct ctl_waiter *waiter);
Dsp__CommandResult *ctl_raft_read(struct ctl *ctx, const Dsp__Command *command);
/* On the leader: the reason why a replica cannot be removed, or NULL. */
Dsp__CommandResult *ctl_raft_check_removal(struct ctl *ctx, uint64_t replica);
struct ctl_waiter *ctl_waiter_new(enum ctl_waiter_kind kind);
/* Reports the outcome of a proposal; takes the waiter and the result. */
void ctl_raft_abandon_waiter(struct ctl *ctx, struct ctl_waiter *waiter,
			     Dsp__CommandResult *result);
void ctl_raft_finish_waiter(struct ctl *ctx, struct ctl_waiter *waiter,
			    Dsp__CommandResult *result);
void ctl_raft_forward(struct ctl *ctx, const Dsp__Envelope *from,
		      const Dsp__Forward *forward);
void ctl_raft_expire_forwards(struct ctl *ctx);

/* ctl_form.c */
void ctl_form_start(struct ctl *ctx);
void ctl_form_clear(struct ctl *ctx);
bool ctl_form_is_self(const struct ctl *ctx, const struct set_peer *peer);
void ctl_form_run(struct ctl *ctx);
void ctl_form_query(struct ctl *ctx, const Dsp__Envelope *from,
		    const Dsp__FormQuery *query);
void ctl_form_reply(struct ctl *ctx, const Dsp__FormReply *reply);
void ctl_form_group(struct ctl *ctx, const Dsp__FormGroup *group);
void ctl_form_join(struct ctl *ctx, const Dsp__Envelope *from,
		   const Dsp__JoinRequest *request);

/* ctl_report.c */
void ctl_report_run(struct ctl *ctx);
void ctl_report_push(struct ctl *ctx);
void ctl_report_publish(struct ctl *ctx);
void ctl_report_schedule(struct ctl *ctx, int64_t delay_us);
int64_t ctl_report_upstream_limit_us(const struct ctl *ctx);
void ctl_report_receive(struct ctl *ctx, const Dsp__Envelope *from,
			const Dsp__Report *report);
void ctl_report_view(struct ctl *ctx, const Dsp__Envelope *from,
		     const Dsp__ViewUpdate *update);
void ctl_report_packed_view(struct ctl *ctx, const Dsp__Envelope *from,
			    const Dsp__PackedUpdate *packed);
void ctl_report_announcement(struct ctl *ctx,
			     const Dsp__Announcement *announcement);
void ctl_report_demand(struct ctl *ctx, const Dsp__Demand *demand);
void ctl_report_pace(struct ctl *ctx, const Dsp__Pace *pace);
void ctl_report_load(struct ctl *ctx, const Dsp__LoadReport *report);
void ctl_report_observed_load(struct ctl *ctx, const Dsp__LoadReport *report);
void ctl_report_announce_leadership(struct ctl *ctx);
void ctl_report_set_leader(struct ctl *ctx, uint64_t term, const char *node,
			   const char *address);
/* Nodes of the installed view; free the array with g_free(). */
size_t ctl_report_nodes(struct ctl *ctx, const Dsp__Node ***out);
/* Addresses of the other voters and of the seeds; valid as long as ctx->config
 * and ctx->seeds. Free the array with g_free(). */
size_t ctl_report_voters(struct ctl *ctx, const char ***out);

/* ctl_member.c */
void ctl_member_start(struct ctl *ctx);
void ctl_member_stop(struct ctl *ctx);
void ctl_member_run(struct ctl *ctx);
void ctl_member_copies(struct ctl *ctx, const Dsp__Announcement *a);
void ctl_member_report(struct ctl *ctx, const Dsp__Report *report);

/* ctl_parts.c */
bool ctl_raft_members_read(const struct ctl *ctx, uint32_t format);
void ctl_stream_add(struct ctl *ctx, const Dsp__StreamsBegun *begun);
Dsp__StreamsBegun *ctl_stream_take(struct ctl *ctx);
void ctl_stream_run(struct ctl *ctx);
void ctl_stream_send_copies(struct ctl *ctx, const char *node,
			    Dsp__StreamCopies *copies);
void ctl_stream_committed(struct ctl *ctx, Dsp__StreamsBegun *begun,
			  const Dsp__CommandResult *result);
void ctl_parts_add(struct ctl *ctx, const Dsp__PartEvidence *evidence);
Dsp__PartEvidence *ctl_parts_take(struct ctl *ctx);
void ctl_parts_run(struct ctl *ctx);
void ctl_parts_committed(struct ctl *ctx, Dsp__PartEvidence *evidence,
			 const Dsp__CommandResult *result);

/* ctl_quota.c */
void ctl_quota_send(struct ctl *ctx, Dsp__QuotaAsks *asks);
void ctl_quota_asked(struct ctl *ctx, const Dsp__Envelope *from,
		     const Dsp__QuotaAsks *asks);
void ctl_quota_granted(struct ctl *ctx, const Dsp__QuotaGrants *grants);
void ctl_quota_run(struct ctl *ctx);
void ctl_quota_metrics(struct ctl *ctx);
/* ctl_prompt.c */
void ctl_prompt_send(struct ctl *ctx, const char *node, Dsp__Envelope *message);
void ctl_prompt_receive(struct ctl *ctx, const Dsp__Envelope *message);

/* ctl_spread.c */
void ctl_spread_start(struct ctl *ctx);
void ctl_spread_stop(struct ctl *ctx);
/* Holds a result back until the entries have the change; takes the waiter and
 * the result. */
void ctl_spread_hold(struct ctl *ctx, struct ctl_waiter *waiter,
		     Dsp__CommandResult *result);
void ctl_spread_run(struct ctl *ctx);
void ctl_spread_note_table(struct ctl *ctx, uint64_t number, uint64_t index);
uint64_t ctl_spread_index_of(const struct ctl *ctx, uint64_t number);

/* ctl_order.c */
struct ctl_sender *ctl_order_open(struct ctl *ctx);
void ctl_order_close(struct ctl_sender *sender);
void ctl_order_run(struct ctl *ctx);
void ctl_order_committed(struct ctl *ctx, const Dsp__CommandResult *result);
void ctl_order_sent(struct ctl *ctx, uint64_t id, uint64_t term,
		    enum ctl_order_outcome outcome);
void ctl_order_result(struct ctl *ctx, const char *endpoint,
		      const Dsp__OrderResult *result);
void ctl_order_copies(struct ctl *ctx, const Dsp__Endpoint *endpoint);
void ctl_order_stop_sending(struct ctl *ctx);

/* ctl_watch.c */
void ctl_watch_run(struct ctl *ctx);
int64_t ctl_watch_stalled_us(const struct ctl *ctx);

/* ctl_status.c */
char *ctl_status_build(struct ctl *ctx);
void ctl_status_metrics(struct ctl *ctx);

#endif
