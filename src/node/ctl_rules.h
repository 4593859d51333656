#ifndef NODE_CTL_RULES_H
#define NODE_CTL_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/ctl.h"

/*
 * Decisions of the control thread (ctl) as functions without side effects, so
 * that tests can call them on the manual clock.
 */

#define CTL_VOTERS_MAX 7

/* Readiness of an instance. */
enum ctl_readiness ctl_rule_readiness(int64_t confirmed_us, int64_t now_us,
				      int64_t isolated_after_us,
				      int64_t stale_limit_us, bool draining);

/* What an instance with an empty data folder does to form a replica group. */
enum ctl_form_action {
	CTL_FORM_WAIT,
	CTL_FORM_CREATE,
	CTL_FORM_JOIN,
};

struct ctl_form_answer {
	const char *node; /* another initial voter; NULL: not known yet */
	bool answered;
	uint64_t replica;
	uint64_t group; /* 0: no group in its data folder */
	const char *address;
	char *reported_node; /* owned; node points here if it was unknown */
	char *site;	     /* owned */
};

enum ctl_form_action ctl_rule_form(const char *self,
				   const struct ctl_form_answer *answers,
				   size_t n);

/* Steps that replace or add a replica. The leader asks for the next one after
 * each committed change. */
enum ctl_repair_step {
	CTL_REPAIR_NONE,
	CTL_REPAIR_DROP_LEARNER, /* its disk was lost again */
	CTL_REPAIR_ADD_LEARNER,
	CTL_REPAIR_CATCH_UP, /* wait for a learner */
	CTL_REPAIR_REMOVE_OLD,
	CTL_REPAIR_PROMOTE,
};

struct ctl_repair_input {
	const Dsp__RaftConfig *config;
	Dsp__Member *const *joining; /* replicas that asked to join */
	size_t n_joining;
	uint64_t commit_index;
	size_t voters_wanted; /* others stay learners; 0: CTL_VOTERS_MAX */
	void *data;
	/* Match index of a member. */
	uint64_t (*match)(void *data, uint64_t replica);
	/* True when the replica sent a message recently: its process may still
	 * run. */
	bool (*alive)(void *data, uint64_t replica);
	/* True when the replica sent a message so lately that it can be counted
	 * on for a majority. */
	bool (*answers)(void *data, uint64_t replica);
	/* True when the replica was silent for so long that a new instance may
	 * take its place; NULL: never. */
	bool (*replaceable)(void *data, uint64_t replica);
};

/* Since when a replica has been silent to the leader. */
int64_t ctl_rule_silent_since_us(int64_t heard_us, int64_t leader_since_us,
				 bool led_before);

enum ctl_repair_step ctl_rule_repair(const struct ctl_repair_input *in,
				     Dsp__RaftConfig **out);
const char *ctl_rule_repair_name(enum ctl_repair_step step);
Dsp__RaftConfig *ctl_rule_config_without(const Dsp__RaftConfig *config,
					 uint64_t replica);

/* Relay of a site, as the leader chooses it. */
struct ctl_relay_input {
	const Dsp__Node *const *nodes;
	size_t n_nodes;
	const char *site;
	const char *leader;	   /* id; or NULL */
	const char *const *relays; /* ids, of all sites, until now */
	size_t n_relays;
};

const Dsp__Node *ctl_rule_relay(const struct ctl_relay_input *in);

/* Upstream of an instance, that is the instance it reports to. */
struct ctl_upstream_input {
	const char *self;
	const char *site;
	const char *relay; /* of the site, as the leader named it; id or NULL */
	const char *leader; /* address; or NULL */
	const Dsp__Node *const *nodes;
	size_t n_nodes;
	const char *const *voters; /* addresses of other voters */
	size_t n_voters;
};

const char *ctl_rule_upstream(const struct ctl_upstream_input *in,
			      size_t attempt);
int64_t ctl_rule_report_before_us(int64_t now_us, int64_t interval_us,
				  int64_t round_us);
bool ctl_rule_upstream_failed(int64_t chosen_us, int64_t confirmed_us,
			      int64_t now_us, int64_t limit_us);

/* What this instance knows of a message that confirms a view. */
struct ctl_confirmation {
	int64_t now_us;	   /* when it is read */
	int64_t echoed_us; /* when the report that it echoes was sent; 0: none
			    */
	int64_t age_us;	   /* of the confirmation, when it was sent */
	int64_t held_up_after_us; /* age of the echo of one that was held up */
};

/* Microseconds on the own clock. */
int64_t ctl_rule_confirmed_us(const struct ctl_confirmation *in);

/* What the leader knows of an entry. Its clock stands still while it reads no
 * messages. */
struct ctl_contact {
	int64_t heard_us;	   /* last report that was read; 0: none */
	int64_t confirmed_age_us;  /* of the entry's view in that report */
	int64_t isolated_after_us; /* age at which an entry is isolated */
	int64_t query_after_us;	   /* age at which it queries others */
	int64_t limit_us;	   /* time without a report */
	int64_t query_limit_us;	   /* the same of an entry that queries */
};

/* leader_since_us: start of the leadership; the reports of before went to
 * another leader. */
bool ctl_rule_in_contact(const struct ctl_contact *entry,
			 int64_t leader_since_us, int64_t now_us);

/* Pace of the rounds of updates to the children. */
struct ctl_rounds {
	int64_t took_us;     /* the last round */
	int64_t interval_us; /* least time between two rounds */
	int64_t limit_us;    /* longest pause */
	bool urgent;	     /* a change that somebody waits for */
};

/* Microseconds from the end of the last round to the next one. */
int64_t ctl_rule_round_pause_us(const struct ctl_rounds *in);

bool ctl_rule_expects_leader(int64_t leaderless_us,
			     int64_t election_timeout_us);

/* A route table that came into force. */
struct ctl_table {
	uint64_t number;
	uint64_t index; /* of the view that has it */
};

/* Index of a view that has the table with this number or a later one, out of
 * the n tables that are known; in_force: index of the newest one. */
uint64_t ctl_rule_table_index(const struct ctl_table *tables, size_t n,
			      uint64_t number, uint64_t in_force);

/* Incarnations of a process: the boot id of an instance or the incarnation of
 * an endpoint. The last ones that a newer one replaced are remembered. */
#define CTL_PAST_INCARNATIONS 8

/* Whether a higher number is always a later process. */
enum ctl_numbering { CTL_RANDOM, CTL_INCREASING };

struct ctl_incarnations {
	uint64_t current;
	int64_t heard_us; /* last message of the current one */
	uint64_t past[CTL_PAST_INCARNATIONS];
	unsigned n_past;
	/* The past one that was heard last, and since when without a message
	 * of the current one. */
	uint64_t returning;
	int64_t returning_us;
};

bool ctl_incarnations_accept(struct ctl_incarnations *seen,
			     uint64_t incarnation, enum ctl_numbering numbering,
			     int64_t now_us);

/* Something that should progress while it is pending. */
struct ctl_stall {
	uint64_t position;
	int64_t since_us;  /* last progress; 0: not pending */
	int64_t logged_us; /* last time that the caller was told; 0: never */
};

bool ctl_stall_update(struct ctl_stall *stall, bool pending, uint64_t position,
		      int64_t now_us, int64_t limit_us);
int64_t ctl_stall_us(const struct ctl_stall *stall, int64_t now_us);

/* Sends of an order without a final answer. */
struct ctl_order_sends {
	unsigned sends;	   /* that may have arrived */
	unsigned failures; /* without a usable answer */
	bool accepted;	   /* the endpoint confirmed receipt */
	bool no_duplicate; /* a second arrival keeps memory reserved */
};

int64_t ctl_rule_resend_us(const struct ctl_order_sends *sends);

#endif
