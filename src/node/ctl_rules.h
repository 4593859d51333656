#ifndef NODE_CTL_RULES_H
#define NODE_CTL_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/ctl.h"

/*
 * Decisions of the control thread as functions without side effects, so that
 * tests can drive them on the manual clock.
 */

#define CTL_VOTERS_MAX 7

/* Readiness of an instance; confirmed_us 0: no view was confirmed yet. */
enum ctl_readiness ctl_rule_readiness(int64_t confirmed_us, int64_t now_us,
				      int64_t isolated_after_us,
				      int64_t stale_limit_us, bool draining);

/* Formation of a group: what an instance with an empty data folder does. */
enum ctl_form_action {
	CTL_FORM_WAIT,
	CTL_FORM_CREATE,
	CTL_FORM_JOIN,
};

struct ctl_form_answer {
	const char *node; /* another initial voter; NULL: not known yet */
	bool answered;
	uint64_t replica;
	uint64_t group; /* 0: empty */
	const char *address;
	char *reported_node; /* owned; node points to it when it was unknown */
	char *site;	     /* owned */
};

enum ctl_form_action ctl_rule_form(const char *self,
				   const struct ctl_form_answer *answers,
				   size_t n);

/* Replicas to repair; the leader asks after each committed change. */
enum ctl_repair_step {
	CTL_REPAIR_NONE,
	CTL_REPAIR_DROP_LEARNER, /* an identity that was lost again */
	CTL_REPAIR_ADD_LEARNER,
	CTL_REPAIR_CATCH_UP, /* wait */
	CTL_REPAIR_REMOVE_OLD,
	CTL_REPAIR_PROMOTE,
};

struct ctl_repair_input {
	const Dsp__RaftConfig *config;
	Dsp__Member *const *joining; /* identities that asked to join */
	size_t n_joining;
	uint64_t commit_index;
	size_t voters_wanted; /* further replicas stay learners; 0: the most */
	void *data;
	/* Match index of a member. */
	uint64_t (*match)(void *data, uint64_t replica);
	/* True when the replica sent a message recently. */
	bool (*alive)(void *data, uint64_t replica);
	/* True when it sent none for so long that a waiting newcomer takes its
	 * place; NULL: never. */
	bool (*replaceable)(void *data, uint64_t replica);
};

/* Returns the next step; for one that changes the configuration, *out is the
 * new one (dsp__raft_config__free_unpacked()), else NULL. */
enum ctl_repair_step ctl_rule_repair(const struct ctl_repair_input *in,
				     Dsp__RaftConfig **out);
const char *ctl_rule_repair_name(enum ctl_repair_step step);
/* A copy of the configuration without one replica. */
Dsp__RaftConfig *ctl_rule_config_without(const Dsp__RaftConfig *config,
					 uint64_t replica);

/* Relay of a site, or NULL. */
const Dsp__Node *ctl_rule_relay(const Dsp__Node *const *nodes, size_t n,
				const char *site);

/* Upstream of an instance: attempt 0 is the designated one. */
struct ctl_upstream_input {
	const char *self;
	const char *site;
	const char *relay;  /* designated relay of the site, node id; or NULL */
	const char *leader; /* address; or NULL */
	const Dsp__Node *const *nodes;
	size_t n_nodes;
	const char *const *voters; /* addresses without the own one */
	size_t n_voters;
};

/* Returns the address, which lives as the input, or NULL. */
const char *ctl_rule_upstream(const struct ctl_upstream_input *in,
			      size_t attempt);
bool ctl_rule_upstream_failed(int64_t chosen_us, int64_t confirmed_us,
			      int64_t now_us, int64_t limit_us);

/* Incarnations of a process: the boot id of an instance or the incarnation of
 * an endpoint. The last ones that a newer one replaced are remembered. */
#define CTL_PAST_INCARNATIONS 8

struct ctl_incarnations {
	uint64_t current;
	uint64_t past[CTL_PAST_INCARNATIONS];
	unsigned n_past;
};

bool ctl_incarnations_accept(struct ctl_incarnations *seen,
			     uint64_t incarnation);

/* Unanswered order: how often it was sent and what came back. */
struct ctl_order_sends {
	unsigned sends;	   /* that may have arrived */
	unsigned failures; /* without an answer */
	bool accepted;
	bool no_duplicate; /* a second arrival would have a lasting cost */
};

/* Time until the order may be sent again. */
int64_t ctl_rule_resend_us(const struct ctl_order_sends *sends);

#endif
