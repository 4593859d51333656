#include "node/ctl_rules.h"

#include <string.h>

/* A learner that lacks at most this many committed entries is caught up: they
 * fit into one append message. */
#define CAUGHT_UP_ENTRIES 64
#define S_US 1000000
/* From this many voters on, a new instance takes the place of a voter that has
 * been silent for long; in smaller groups it is an additional voter. */
#define REPLACE_VOTERS_MIN 3
/* Covers the way of a report to a busy upstream, whose process may wait for
 * its share of a core. */
#define REPORT_LEAD_US 80000
/* Time without contact to a leader after which a command is refused instead of
 * kept until there is one, in election timeouts. By then every voter that can
 * has asked for votes. */
#define LEADER_WAIT_TIMEOUTS 2
/* Pauses between rounds of updates, in durations of the last round. */
#define ROUND_PAUSES 3
#define URGENT_ROUND_PAUSES 1
/* First and longest delay between sends of the same order. */
#define RESEND_US (2LL * S_US)
#define RESEND_MAX_US (10LL * S_US)
/* An accepted order is executed unless the endpoint lost it. */
#define ACCEPTED_RESEND_US (60LL * S_US)
/* Where orders must not be duplicated, a second send keeps the memory reserved
 * for good, so it is the last resort against a lost order. */
#define NO_DUPLICATE_RESEND_US (10LL * S_US)

/*
 * Returns what an instance may serve. confirmed_us is when its view was last
 * confirmed, 0: never. An instance whose view was never confirmed serves
 * nothing, since it may hold an outdated document after a restart.
 */
enum ctl_readiness ctl_rule_readiness(int64_t confirmed_us, int64_t now_us,
				      int64_t isolated_after_us,
				      int64_t stale_limit_us, bool draining)
{
	int64_t age_us = now_us - confirmed_us;

	if (!confirmed_us)
		return CTL_STARTING;
	if (age_us > stale_limit_us && age_us > isolated_after_us)
		return CTL_STALE;
	if (age_us > isolated_after_us)
		return CTL_ISOLATED;
	return draining ? CTL_DRAINING : CTL_SERVING;
}

/*
 * Returns what an instance with an empty data folder does, given the answers of
 * all other initial voters: if none of them has a group, the one with the
 * lowest id creates it. An instance that did not answer may be a member of a
 * group, so no group is created without its answer.
 */
enum ctl_form_action
ctl_rule_form(const char *self, const struct ctl_form_answer *answers, size_t n)
{
	enum ctl_form_action action = CTL_FORM_CREATE;

	for (size_t i = 0; i < n; i++) {
		if (answers[i].answered && answers[i].group)
			return CTL_FORM_JOIN;
		if (!answers[i].answered || !answers[i].node ||
		    strcmp(answers[i].node, self) < 0)
			action = CTL_FORM_WAIT;
	}
	return action;
}

static Dsp__Member *member_copy(const Dsp__Member *member, bool voter)
{
	Dsp__Member *copy = g_new(Dsp__Member, 1);

	dsp__member__init(copy);
	copy->replica = member->replica;
	copy->node = g_strdup(member->node);
	copy->address = g_strdup(member->address);
	copy->site = g_strdup(member->site);
	copy->voter = voter;
	return copy;
}

/* Returns a copy without the replica drop (0: none) and with add as a member
 * (NULL: none), which is a voter if voter is set. */
static Dsp__RaftConfig *config_copy(const Dsp__RaftConfig *config,
				    uint64_t drop, const Dsp__Member *add,
				    bool voter)
{
	Dsp__RaftConfig *copy = g_new(Dsp__RaftConfig, 1);

	dsp__raft_config__init(copy);
	copy->members = g_new0(Dsp__Member *, config->n_members + 1);
	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];

		if (m->replica == drop || (add && m->replica == add->replica))
			continue;
		copy->members[copy->n_members++] = member_copy(m, m->voter);
	}
	if (add)
		copy->members[copy->n_members++] = member_copy(add, voter);
	return copy;
}

/* Returns a copy of the configuration without the replica; freed with
 * dsp__raft_config__free_unpacked(). */
Dsp__RaftConfig *ctl_rule_config_without(const Dsp__RaftConfig *config,
					 uint64_t replica)
{
	return config_copy(config, replica, NULL, false);
}

static const Dsp__Member *find_replica(const Dsp__RaftConfig *config,
				       uint64_t replica)
{
	for (size_t i = 0; i < config->n_members; i++)
		if (config->members[i]->replica == replica)
			return config->members[i];
	return NULL;
}

/* Returns another replica of the same instance, or NULL. */
static const Dsp__Member *find_other(const Dsp__RaftConfig *config,
				     const Dsp__Member *member, bool voter)
{
	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];

		if (m->voter == voter && m->replica != member->replica &&
		    !strcmp(m->node, member->node))
			return m;
	}
	return NULL;
}

static size_t count_voters(const Dsp__RaftConfig *config)
{
	size_t n = 0;

	for (size_t i = 0; i < config->n_members; i++)
		n += config->members[i]->voter;
	return n;
}

static size_t voters_wanted(const struct ctl_repair_input *in)
{
	return in->voters_wanted ? MIN(in->voters_wanted, CTL_VOTERS_MAX)
				 : CTL_VOTERS_MAX;
}

/* Returns a voter that a caught-up learner may replace, or NULL. */
static const Dsp__Member *find_replaceable(const struct ctl_repair_input *in)
{
	if (!in->replaceable || count_voters(in->config) < REPLACE_VOTERS_MIN)
		return NULL;
	for (size_t i = 0; i < in->config->n_members; i++)
		if (in->config->members[i]->voter &&
		    in->replaceable(in->data, in->config->members[i]->replica))
			return in->config->members[i];
	return NULL;
}

static enum ctl_repair_step add_joining(const struct ctl_repair_input *in,
					Dsp__RaftConfig **out)
{
	for (size_t i = 0; i < in->n_joining; i++) {
		const Dsp__Member *m = in->joining[i];
		const Dsp__Member *stale;

		if (find_replica(in->config, m->replica))
			continue;
		stale = find_other(in->config, m, false);
		if (stale) {
			*out = ctl_rule_config_without(in->config,
						       stale->replica);
			return CTL_REPAIR_DROP_LEARNER;
		}
		if (!find_other(in->config, m, true) &&
		    count_voters(in->config) >= CTL_VOTERS_MAX)
			continue;
		*out = config_copy(in->config, 0, m, false);
		return CTL_REPAIR_ADD_LEARNER;
	}
	return CTL_REPAIR_NONE;
}

/*
 * Returns the next step of a repair. If it changes the configuration, *out is
 * the new one, which differs in one member, to be freed with
 * dsp__raft_config__free_unpacked(); else NULL.
 *
 * An instance that lost its disk comes back as a new replica. Its old replica
 * is removed before the new one is promoted, but only after the new one has
 * caught up, so that the number of voters that hold the log never falls below
 * what it was with the disk lost. An old replica that still sends messages is
 * not removed: two processes then use the same instance id, which an operator
 * must resolve.
 *
 * A voter that is silent may still have its disk. The learner is promoted
 * before the silent one is removed, so that the group needs no disk of the
 * others between the two steps that it did not need before. With one voter more
 * the majority grows, so a learner that does not answer is not promoted.
 */
enum ctl_repair_step ctl_rule_repair(const struct ctl_repair_input *in,
				     Dsp__RaftConfig **out)
{
	const Dsp__Member *silent;
	enum ctl_repair_step step;

	*out = NULL;
	step = add_joining(in, out);
	if (step != CTL_REPAIR_NONE)
		return step;
	silent = find_replaceable(in);
	if (silent && count_voters(in->config) > voters_wanted(in)) {
		*out = ctl_rule_config_without(in->config, silent->replica);
		return CTL_REPAIR_REMOVE_OLD;
	}
	for (size_t i = 0; i < in->config->n_members; i++) {
		const Dsp__Member *m = in->config->members[i];
		const Dsp__Member *old;

		if (m->voter)
			continue;
		if (in->match(in->data, m->replica) + CAUGHT_UP_ENTRIES <
			    in->commit_index ||
		    !in->answers(in->data, m->replica)) {
			step = CTL_REPAIR_CATCH_UP;
			continue;
		}
		old = find_other(in->config, m, true);
		if (old && in->alive(in->data, old->replica))
			continue;
		/* A group of the largest size has no room for one more. */
		if (!old && count_voters(in->config) >= CTL_VOTERS_MAX)
			old = silent;
		if (old) {
			*out = ctl_rule_config_without(in->config,
						       old->replica);
			return CTL_REPAIR_REMOVE_OLD;
		}
		if (count_voters(in->config) >= voters_wanted(in) + !!silent)
			continue;
		*out = config_copy(in->config, 0, m, true);
		return CTL_REPAIR_PROMOTE;
	}
	return step;
}

/*
 * Returns since when a replica has been silent to the leader, by the time of
 * its last message (0: none). led_before: it led until this one did. Only such
 * a replica had to send messages to this one before.
 */
int64_t ctl_rule_silent_since_us(int64_t heard_us, int64_t leader_since_us,
				 bool led_before)
{
	if (!heard_us)
		return leader_since_us;
	return led_before ? heard_us : MAX(heard_us, leader_since_us);
}

/* Returns the name of a step for the log and the status. */
const char *ctl_rule_repair_name(enum ctl_repair_step step)
{
	static const char *const names[] = {
		[CTL_REPAIR_NONE] = "none",
		[CTL_REPAIR_DROP_LEARNER] = "drop_learner",
		[CTL_REPAIR_ADD_LEARNER] = "add_learner",
		[CTL_REPAIR_CATCH_UP] = "catch_up",
		[CTL_REPAIR_REMOVE_OLD] = "remove_old",
		[CTL_REPAIR_PROMOTE] = "promote",
	};

	return names[step];
}

static bool is_relay(const struct ctl_relay_input *in, const char *id)
{
	for (size_t i = 0; i < in->n_relays; i++)
		if (!strcmp(in->relays[i], id))
			return true;
	return false;
}

/*
 * Returns true if a is preferred to b (NULL: none) as relay: instances that are
 * not draining come first, then control instances. The leader comes after the
 * other ones, as it has the work of all sites. Of those that are left, the
 * relay until now stays, so that a new leader moves no instances for nothing.
 */
static bool better_relay(const struct ctl_relay_input *in, const Dsp__Node *a,
			 const Dsp__Node *b)
{
	bool a_leads;
	bool b_leads;

	if (!b)
		return true;
	if (a->draining != b->draining)
		return !a->draining;
	if (a->control != b->control)
		return a->control;
	a_leads = in->leader && !strcmp(a->id, in->leader);
	b_leads = in->leader && !strcmp(b->id, in->leader);
	if (a_leads != b_leads)
		return b_leads;
	if (is_relay(in, a->id) != is_relay(in, b->id))
		return is_relay(in, a->id);
	return strcmp(a->id, b->id) < 0;
}

static const Dsp__Node *best_relay(const struct ctl_relay_input *in,
				   const char *excluded)
{
	const Dsp__Node *best = NULL;

	for (size_t i = 0; i < in->n_nodes; i++) {
		const Dsp__Node *node = in->nodes[i];

		if (node->down || strcmp(node->site, in->site) != 0 ||
		    (excluded && !strcmp(node->id, excluded)))
			continue;
		if (better_relay(in, node, best))
			best = node;
	}
	return best;
}

/* Returns the instance that relays for a site; NULL when all are down. */
const Dsp__Node *ctl_rule_relay(const struct ctl_relay_input *in)
{
	return best_relay(in, NULL);
}

static const char *address_of(const struct ctl_upstream_input *in,
			      const char *id)
{
	for (size_t i = 0; i < in->n_nodes; i++)
		if (!strcmp(in->nodes[i]->id, id) &&
		    in->nodes[i]->internal_address[0])
			return in->nodes[i]->internal_address;
	return NULL;
}

/* Returns the address of the instance that takes the place of a lost relay
 * until the leader names a new one; for that instance itself, the leader's. */
static const char *successor_address(const struct ctl_upstream_input *in)
{
	struct ctl_relay_input relay = {
		.nodes = in->nodes,
		.n_nodes = in->n_nodes,
		.site = in->site,
	};
	const Dsp__Node *next = best_relay(&relay, in->relay);

	if (!next)
		return NULL;
	return strcmp(next->id, in->self) != 0 ? next->internal_address
					       : in->leader;
}

/*
 * Returns the address that an instance reports to, or NULL; it stays valid as
 * long as the input. attempt counts from 0: first the relay of the site, then
 * the relay's successor in the site, then one voter after the other. The relay,
 * or its successor in its place, reports to the leader.
 */
const char *ctl_rule_upstream(const struct ctl_upstream_input *in,
			      size_t attempt)
{
	const char *address = NULL;

	if (!in->relay || !strcmp(in->relay, in->self)) {
		if (attempt == 0)
			address = in->leader;
	} else if (attempt == 0) {
		address = address_of(in, in->relay);
	} else if (attempt == 1) {
		address = successor_address(in);
	}
	if (address && address[0])
		return address;
	return in->n_voters ? in->voters[attempt % in->n_voters] : NULL;
}

/*
 * Returns when an instance that needs a lease reports next, after a report at
 * now_us: shortly before the next round of its upstream, whose last one arrived
 * at round_us. The report is then young when it is echoed. A report at any
 * other time would make the lease older by up to an interval at each hop, and
 * an instance without contact would refuse requests that much earlier. Two
 * reports are 0.5 to 1.5 intervals apart.
 */
int64_t ctl_rule_report_before_us(int64_t now_us, int64_t interval_us,
				  int64_t round_us)
{
	int64_t due_us = round_us - MIN(REPORT_LEAD_US, interval_us / 4);
	int64_t earliest_us = now_us + interval_us / 2;

	if (due_us < earliest_us)
		due_us += (earliest_us - due_us + interval_us - 1) /
			  interval_us * interval_us;
	return due_us;
}

/*
 * Returns true when the upstream chosen at chosen_us delivered no confirmed
 * view for limit_us. Other messages do not count: two instances without contact
 * to the leader could keep each other as upstream.
 */
bool ctl_rule_upstream_failed(int64_t chosen_us, int64_t confirmed_us,
			      int64_t now_us, int64_t limit_us)
{
	int64_t since_us = MAX(chosen_us, confirmed_us);

	return now_us - since_us > limit_us;
}

/*
 * Returns when the view of an update was confirmed. The update was sent after
 * its sender had read the report that it echoes. One that echoes a report of
 * long ago was held up: on its way, or while its sender or this process was
 * stopped. Without an echo, as from an instance of an earlier version, only its
 * arrival is known.
 */
int64_t ctl_rule_confirmed_us(const struct ctl_confirmation *in)
{
	if (!in->echoed_us ||
	    in->now_us - in->echoed_us <= in->held_up_after_us)
		return in->now_us - in->age_us;
	return in->echoed_us - in->age_us;
}

/*
 * Returns true if acknowledgements wait for the entry: it has reported a short
 * time ago, and its view was confirmed. One with an older confirmation says
 * itself that it is isolated. An entry that queries others reports less often;
 * one that has not reported to this leader may be such an entry.
 */
bool ctl_rule_in_contact(const struct ctl_contact *entry,
			 int64_t leader_since_us, int64_t now_us)
{
	bool queries = entry->heard_us <= leader_since_us ||
		       entry->confirmed_age_us > entry->query_after_us;
	int64_t silent_us = now_us - MAX(entry->heard_us, leader_since_us);

	return silent_us <=
		       (queries ? entry->query_limit_us : entry->limit_us) &&
	       (!entry->heard_us ||
		entry->confirmed_age_us <= entry->isolated_after_us);
}

/*
 * Returns how long to do other work after a round of updates. A round costs
 * about the same with one change as with many, so an instance that is behind
 * and sends the next one at once gets only further behind: rounds take a
 * quarter of the time at most, and half of it while a change is waited for.
 */
int64_t ctl_rule_round_pause_us(const struct ctl_rounds *in)
{
	int64_t pause_us =
		in->took_us * (in->urgent ? URGENT_ROUND_PAUSES : ROUND_PAUSES);

	return MAX(MIN(pause_us, in->limit_us), in->interval_us);
}

/* Returns whether a command that has to reach a leader is likely to: there is
 * one, or there may be one soon. */
bool ctl_rule_expects_leader(int64_t leaderless_us, int64_t election_timeout_us)
{
	return leaderless_us <= LEADER_WAIT_TIMEOUTS * election_timeout_us;
}

/* A resend of an older table does not wait for the newest one. */
uint64_t ctl_rule_table_index(const struct ctl_table *tables, size_t n,
			      uint64_t number, uint64_t in_force)
{
	uint64_t index = in_force;

	for (size_t i = 0; i < n; i++)
		if (tables[i].number >= number)
			index = MIN(index, tables[i].index);
	return index;
}

/* A past incarnation is taken back after this time without a message of the
 * current one, if it was heard for RETURNING_US meanwhile. Processes send
 * messages each 1.2 s or more often, and the last ones of a process that has
 * ended arrive within a shorter time. */
#define LATE_MAX_US (3LL * S_US)
#define RETURNING_US (2LL * S_US)

static bool is_past(const struct ctl_incarnations *seen, uint64_t incarnation)
{
	for (unsigned i = 0; i < MIN(seen->n_past, CTL_PAST_INCARNATIONS); i++)
		if (seen->past[i] == incarnation)
			return true;
	return false;
}

/* Whether a past incarnation has been heard for long enough without the current
 * one: the current one was a late message, and the past one is alive. */
static bool has_returned(struct ctl_incarnations *seen, uint64_t incarnation,
			 int64_t now_us)
{
	if (now_us - seen->heard_us < LATE_MAX_US)
		return false;
	if (seen->returning != incarnation) {
		seen->returning = incarnation;
		seen->returning_us = now_us;
		return false;
	}
	return now_us - seen->returning_us >= RETURNING_US;
}

/*
 * Returns whether a message of this incarnation is to be used, and makes it the
 * current one. A message may be late, also one of a process that ended before
 * the current one was heard first. Increasing numbers tell which is later.
 * Among random ones, one that is heard for the first time is taken for the
 * newest, and a past one is taken back if it goes on while the current one is
 * silent.
 */
bool ctl_incarnations_accept(struct ctl_incarnations *seen,
			     uint64_t incarnation, enum ctl_numbering numbering,
			     int64_t now_us)
{
	if (seen->current == incarnation) {
		seen->heard_us = now_us;
		seen->returning = 0;
		return true;
	}
	if (numbering == CTL_INCREASING && incarnation < seen->current)
		return false;
	if (is_past(seen, incarnation) &&
	    !has_returned(seen, incarnation, now_us))
		return false;
	if (seen->current && !is_past(seen, seen->current))
		seen->past[seen->n_past++ % CTL_PAST_INCARNATIONS] =
			seen->current;
	seen->current = incarnation;
	seen->heard_us = now_us;
	seen->returning = 0;
	return true;
}

/*
 * Returns the microseconds until an order without a final answer may be sent
 * again. Its memory is reserved, so a second arrival is safe. The delay doubles
 * with each failure after the first, up to RESEND_MAX_US.
 */
int64_t ctl_rule_resend_us(const struct ctl_order_sends *sends)
{
	unsigned doublings = sends->failures ? sends->failures - 1 : 0;

	if (sends->accepted)
		return ACCEPTED_RESEND_US;
	if (sends->sends && sends->no_duplicate)
		return NO_DUPLICATE_RESEND_US;
	return MIN(RESEND_US << MIN(doublings, 3), RESEND_MAX_US);
}

/* Returns for how long something pending has made no progress. */
int64_t ctl_stall_us(const struct ctl_stall *stall, int64_t now_us)
{
	return stall->since_us ? now_us - stall->since_us : 0;
}

/* Records the position of something that should progress while it is pending.
 * Returns true once for each limit_us that passes without progress. */
bool ctl_stall_update(struct ctl_stall *stall, bool pending, uint64_t position,
		      int64_t now_us, int64_t limit_us)
{
	if (!pending) {
		*stall = (struct ctl_stall){ 0 };
		return false;
	}
	if (!stall->since_us || stall->position != position) {
		*stall = (struct ctl_stall){
			.position = position,
			.since_us = now_us,
		};
		return false;
	}
	if (now_us - MAX(stall->since_us, stall->logged_us) < limit_us)
		return false;
	stall->logged_us = now_us;
	return true;
}
