#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/clk.h"
#include "node/ctl_rules.h"
#include "node/ctl_up.h"
}

namespace
{

constexpr int64_t S = 1000000;
constexpr int64_t ISOLATED_AFTER = 5 * S;
constexpr int64_t STALE_LIMIT = 3600 * S;

enum ctl_readiness readiness(int64_t confirmed, struct clk *clock,
			     bool draining = false)
{
	return ctl_rule_readiness(confirmed, clk_now_us(clock), ISOLATED_AFTER,
				  STALE_LIMIT, draining);
}

struct Node {
	Dsp__Node message = DSP__NODE__INIT;
	std::string id, site, address;

	Node(const char *node_id, const char *node_site, bool control)
	    : id(node_id), site(node_site), address("tcp://" + id)
	{
		message.control = control;
		bind();
	}
	Node(const Node &other)
	    : message(other.message), id(other.id), site(other.site),
	      address(other.address)
	{
		bind();
	}
	void bind()
	{
		message.id = (char *)id.c_str();
		message.site = (char *)site.c_str();
		message.internal_address = (char *)address.c_str();
	}
};

struct Nodes {
	std::vector<Node> all;

	std::vector<const Dsp__Node *> pointers() const
	{
		std::vector<const Dsp__Node *> list;

		for (const Node &node : all)
			list.push_back(&node.message);
		return list;
	}
	std::string relay(const char *site, const char *leader = nullptr,
			  std::vector<const char *> relays = {}) const
	{
		auto list = pointers();
		struct ctl_relay_input in = {
			.nodes = list.data(),
			.n_nodes = list.size(),
			.site = site,
			.leader = leader,
			.relays = relays.data(),
			.n_relays = relays.size(),
		};
		const Dsp__Node *node = ctl_rule_relay(&in);

		return node ? node->id : "";
	}
	Node &at(const char *id)
	{
		for (Node &node : all)
			if (node.id == id)
				return node;
		abort();
	}
};

Nodes two_sites()
{
	Nodes nodes;

	nodes.all = { Node("b1", "b", false), Node("a3", "a", true),
		      Node("a1", "a", false), Node("a2", "a", false),
		      Node("b2", "b", false) };
	return nodes;
}

} // namespace

/* Guards against serving an unconfirmed view after a restart, and against
 * serving without limit while the leader is out of reach. */
TEST(CtlReadiness, FollowsTheAgeOfTheConfirmation)
{
	struct clk *clock = clk_new_manual(1000 * S, 0);
	int64_t confirmed = clk_now_us(clock);

	EXPECT_EQ(readiness(0, clock), CTL_STARTING);
	EXPECT_EQ(readiness(confirmed, clock), CTL_SERVING);
	clk_advance(clock, ISOLATED_AFTER);
	EXPECT_EQ(readiness(confirmed, clock), CTL_SERVING);
	clk_advance(clock, 1);
	EXPECT_EQ(readiness(confirmed, clock), CTL_ISOLATED);
	clk_advance(clock, STALE_LIMIT - ISOLATED_AFTER - 1);
	EXPECT_EQ(readiness(confirmed, clock), CTL_ISOLATED);
	clk_advance(clock, 1);
	EXPECT_EQ(readiness(confirmed, clock), CTL_STALE);
	EXPECT_EQ(readiness(0, clock), CTL_STARTING);
	EXPECT_EQ(readiness(clk_now_us(clock), clock), CTL_SERVING);
	clk_free(clock);
}

/* Guards against a draining instance that accepts bookings while isolated. */
TEST(CtlReadiness, IsolationTakesPrecedenceOverDraining)
{
	struct clk *clock = clk_new_manual(1000 * S, 0);
	int64_t confirmed = clk_now_us(clock);

	EXPECT_EQ(readiness(confirmed, clock, true), CTL_DRAINING);
	clk_advance(clock, ISOLATED_AFTER + 1);
	EXPECT_EQ(readiness(confirmed, clock, true), CTL_ISOLATED);
	EXPECT_EQ(readiness(0, clock, true), CTL_STARTING);
	clk_free(clock);
}

/*
 * Guards against the creation of two groups. Of four instances, one evaluates
 * each combination of answers of the others: none, no group, member of a group.
 * Only the instance with the lowest id creates a group, and only when every
 * other instance answered that it has none.
 */
TEST(CtlForm, OnlyTheLowestCreatesAndOnlyWhenAllAreEmpty)
{
	const char *ids[] = { "a", "b", "c", "d" };

	for (int self = 0; self < 4; self++) {
		for (int combination = 0; combination < 27; combination++) {
			struct ctl_form_answer answers[3];
			int rest = combination;
			bool any_group = false;
			bool all_empty = true;
			enum ctl_form_action action;

			for (int i = 0, k = 0; i < 4; i++) {
				if (i == self)
					continue;
				answers[k] = { ids[i], rest % 3 != 0, 7,
					       rest % 3 == 2 ? 9ull : 0ull };
				any_group |= rest % 3 == 2;
				all_empty &= rest % 3 == 1;
				rest /= 3;
				k++;
			}
			action = ctl_rule_form(ids[self], answers, 3);
			if (any_group)
				EXPECT_EQ(action, CTL_FORM_JOIN);
			else if (all_empty && self == 0)
				EXPECT_EQ(action, CTL_FORM_CREATE);
			else
				EXPECT_EQ(action, CTL_FORM_WAIT);
		}
	}
}

/* Guards against the use of an outdated answer: the group of an instance that
 * did not answer in this round is ignored. */
TEST(CtlForm, GroupOfAnOldRoundIsIgnored)
{
	struct ctl_form_answer answers[] = { { "b", false, 7, 9 } };

	EXPECT_EQ(ctl_rule_form("a", answers, 1), CTL_FORM_WAIT);
}

/* Guards the choice of the relay, on which all instances must agree: voters
 * first, then the lowest id; no instance that is down, and a draining one only
 * if there is no other. */
TEST(CtlRelay, PrefersLiveVotersThenTheLowestId)
{
	Nodes nodes = two_sites();

	EXPECT_EQ(nodes.relay("a"), "a3");
	EXPECT_EQ(nodes.relay("b"), "b1");
	EXPECT_EQ(nodes.relay("c"), "");
	nodes.at("a3").message.draining = true;
	EXPECT_EQ(nodes.relay("a"), "a1");
	nodes.at("a1").message.down = true;
	nodes.at("a2").message.down = true;
	EXPECT_EQ(nodes.relay("a"), "a3");
	nodes.at("a3").message.down = true;
	EXPECT_EQ(nodes.relay("a"), "");
}

/* Guards against a leader that sends the updates of a whole site besides its
 * own work: it was busy all the time, and acknowledgements came late. */
TEST(CtlRelay, LeaderIsNoneWhereThereIsAnotherControlInstance)
{
	Nodes nodes = two_sites();

	nodes.at("a1").message.control = true;
	nodes.at("a3").message.control = true;
	EXPECT_EQ(nodes.relay("a", "a1"), "a3");
	EXPECT_EQ(nodes.relay("a", "a3"), "a1");
	nodes.at("a3").message.down = true;
	EXPECT_EQ(nodes.relay("a", "a1"), "a1");
}

/* Guards against a new leader that names the one before, which stands still,
 * and that moves all instances of a site for nothing. */
TEST(CtlRelay, StaysWhenTheLeaderChanges)
{
	Nodes nodes = two_sites();

	nodes.at("a1").message.control = true;
	nodes.at("a2").message.control = true;
	nodes.at("a3").message.control = true;
	EXPECT_EQ(nodes.relay("a", "b1", { "a2", "b1" }), "a2");
	EXPECT_EQ(nodes.relay("a", "a2", { "a2", "b1" }), "a1");
	nodes.at("a2").message.control = false;
	EXPECT_EQ(nodes.relay("a", "b1", { "a2", "b1" }), "a1");
}

/* Guards against instances of a site that lose their relay, then report only to
 * each other and reach no voter. */
TEST(CtlUpstream, LeadsToTheLeaderAfterTheRelayIsLost)
{
	Nodes nodes = two_sites();
	auto list = nodes.pointers();
	const char *voters[] = { "tcp://a3", "tcp://v" };
	struct ctl_upstream_input in = {};

	in.site = "a";
	in.relay = "a3";
	in.leader = "tcp://leader";
	in.nodes = list.data();
	in.n_nodes = list.size();
	in.voters = voters;
	in.n_voters = 2;
	in.self = "a2";
	EXPECT_STREQ(ctl_rule_upstream(&in, 0), "tcp://a3");
	EXPECT_STREQ(ctl_rule_upstream(&in, 1), "tcp://a1");
	EXPECT_STREQ(ctl_rule_upstream(&in, 2), "tcp://a3");
	EXPECT_STREQ(ctl_rule_upstream(&in, 3), "tcp://v");
	in.self = "a1";
	EXPECT_STREQ(ctl_rule_upstream(&in, 1), "tcp://leader");
	in.self = "a3";
	EXPECT_STREQ(ctl_rule_upstream(&in, 0), "tcp://leader");
	EXPECT_STREQ(ctl_rule_upstream(&in, 1), "tcp://v");
	in.relay = nullptr;
	in.leader = nullptr;
	EXPECT_STREQ(ctl_rule_upstream(&in, 0), "tcp://a3");
	in.n_voters = 0;
	EXPECT_EQ(ctl_rule_upstream(&in, 0), nullptr);
}

/* Guards the time after which a silent upstream has failed: it counts from the
 * choice of the upstream or the last confirmation, whichever is later. */
TEST(CtlUpstream, FailsAfterTheSilenceLimit)
{
	struct clk *clock = clk_new_manual(1000 * S, 0);
	int64_t chosen = clk_now_us(clock);
	int64_t confirmed;
	auto failed = [&](int64_t confirmed_us) {
		return ctl_rule_upstream_failed(chosen, confirmed_us,
						clk_now_us(clock), 3 * S);
	};

	EXPECT_FALSE(failed(0));
	clk_advance(clock, 3 * S);
	EXPECT_FALSE(failed(0));
	clk_advance(clock, 1);
	EXPECT_TRUE(failed(0));
	confirmed = clk_now_us(clock);
	EXPECT_FALSE(failed(confirmed));
	clk_advance(clock, 3 * S + 1);
	EXPECT_TRUE(failed(confirmed));
	clk_free(clock);
}

namespace
{

/* A group whose configuration changes commit at once. It calls the repair rule
 * as the leader does. */
struct Group {
	Dsp__RaftConfig *config = nullptr;
	std::vector<Dsp__Member *> joining;
	std::map<uint64_t, uint64_t> matches;
	std::map<uint64_t, bool> live;
	std::map<uint64_t, bool> silent;     /* for long: replaceable */
	std::map<uint64_t, bool> unanswered; /* for a moment */
	size_t voters_wanted = 0;
	uint64_t commit = 1000;
	std::vector<enum ctl_repair_step> steps;

	Group()
	{
		config = g_new(Dsp__RaftConfig, 1);
		dsp__raft_config__init(config);
		config->members = g_new0(Dsp__Member *, 8);
	}
	~Group()
	{
		dsp__raft_config__free_unpacked(config, NULL);
		for (Dsp__Member *m : joining)
			dsp__member__free_unpacked(m, NULL);
	}
	static Dsp__Member *member(uint64_t replica, const char *node,
				   bool voter)
	{
		Dsp__Member *m = g_new(Dsp__Member, 1);

		dsp__member__init(m);
		m->replica = replica;
		m->node = g_strdup(node);
		m->address = g_strdup("");
		m->site = g_strdup("");
		m->voter = voter;
		return m;
	}
	void voter(uint64_t replica, const char *node)
	{
		config->members[config->n_members++] =
			member(replica, node, true);
		matches[replica] = commit;
		live[replica] = true;
	}
	void join(uint64_t replica, const char *node)
	{
		joining.push_back(member(replica, node, false));
		live[replica] = true;
	}
	static uint64_t match(void *data, uint64_t replica)
	{
		return ((Group *)data)->matches[replica];
	}
	static bool alive(void *data, uint64_t replica)
	{
		return ((Group *)data)->live[replica];
	}
	static bool answers(void *data, uint64_t replica)
	{
		Group *group = (Group *)data;

		return group->live[replica] && !group->unanswered[replica];
	}
	static bool replaceable(void *data, uint64_t replica)
	{
		return ((Group *)data)->silent[replica];
	}
	/* Runs the rule once, commits its change and returns its step. */
	enum ctl_repair_step run()
	{
		struct ctl_repair_input in = {};
		Dsp__RaftConfig *next = nullptr;
		enum ctl_repair_step step;

		in.config = config;
		in.joining = joining.data();
		in.n_joining = joining.size();
		in.commit_index = commit;
		in.data = this;
		in.match = match;
		in.alive = alive;
		in.answers = answers;
		in.replaceable = replaceable;
		in.voters_wanted = voters_wanted;
		step = ctl_rule_repair(&in, &next);
		if (next) {
			EXPECT_LE(difference(next), 1u);
			dsp__raft_config__free_unpacked(config, NULL);
			config = next;
		}
		return step;
	}
	/* Number of members added, removed or changed. */
	size_t difference(const Dsp__RaftConfig *next) const
	{
		return count_missing(config, next) +
		       count_missing(next, config) + count_changed(next);
	}
	static size_t count_missing(const Dsp__RaftConfig *from,
				    const Dsp__RaftConfig *in)
	{
		size_t n = 0;

		for (size_t i = 0; i < from->n_members; i++)
			n += !find(in, from->members[i]->replica);
		return n;
	}
	size_t count_changed(const Dsp__RaftConfig *next) const
	{
		size_t n = 0;

		for (size_t i = 0; i < next->n_members; i++) {
			const Dsp__Member *before =
				find(config, next->members[i]->replica);

			n += before && before->voter != next->members[i]->voter;
		}
		return n;
	}
	static const Dsp__Member *find(const Dsp__RaftConfig *config,
				       uint64_t replica)
	{
		for (size_t i = 0; i < config->n_members; i++)
			if (config->members[i]->replica == replica)
				return config->members[i];
		return nullptr;
	}
	bool is_voter(uint64_t replica) const
	{
		const Dsp__Member *m = find(config, replica);

		return m && m->voter;
	}
};

} // namespace

/* Guards the order of a repair: the new replica catches up before the old one
 * is removed, each step changes one member, and the group keeps its size. */
TEST(CtlRepair, ReplacesALostReplicaStepByStep)
{
	Group group;

	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	group.live[3] = false;
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	group.join(13, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	EXPECT_FALSE(group.is_voter(13));
	EXPECT_EQ(group.run(), CTL_REPAIR_CATCH_UP);
	EXPECT_TRUE(group.is_voter(3));
	group.matches[13] = group.commit;
	EXPECT_EQ(group.run(), CTL_REPAIR_REMOVE_OLD);
	EXPECT_FALSE(group.is_voter(3));
	EXPECT_EQ(group.run(), CTL_REPAIR_PROMOTE);
	EXPECT_TRUE(group.is_voter(13));
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	EXPECT_EQ(group.config->n_members, 3u);
}

/* Guards the replacement of an instance by one with another id and address: the
 * new replica takes the place of a voter only once that voter was silent for
 * long enough to be replaceable. */
TEST(CtlRepair, NewInstanceTakesThePlaceOfAReplaceableVoter)
{
	Group group;

	group.voters_wanted = 3;
	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.join(4, "d");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.matches[4] = group.commit;
	group.run();
	EXPECT_FALSE(group.is_voter(4));
	group.live[3] = false; /* it may just be restarting */
	group.run();
	EXPECT_TRUE(group.is_voter(3));
	group.silent[3] = true;
	EXPECT_EQ(group.run(), CTL_REPAIR_PROMOTE);
	EXPECT_TRUE(group.is_voter(4));
	EXPECT_TRUE(group.is_voter(3));
	EXPECT_EQ(group.run(), CTL_REPAIR_REMOVE_OLD);
	EXPECT_TRUE(group.is_voter(4));
	EXPECT_FALSE(group.is_voter(3));
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
}

/* Guards against a group with less than the wanted voters between two steps:
 * the loss of another disk would leave it without a majority for good. A silent
 * voter that returns between them stays. */
TEST(CtlRepair, ReplacementNeverHasFewerVotersThanWanted)
{
	Group group;

	group.voters_wanted = 3;
	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.join(4, "d");
	group.run();
	group.matches[4] = group.commit;
	group.live[3] = false;
	group.silent[3] = true;
	EXPECT_EQ(group.run(), CTL_REPAIR_PROMOTE);
	group.live[3] = true;
	group.silent[3] = false;
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	group.live[1] = false;
	group.silent[1] = true;
	EXPECT_EQ(group.run(), CTL_REPAIR_REMOVE_OLD);
	EXPECT_FALSE(group.is_voter(1));
	for (uint64_t r = 2; r <= 4; r++)
		EXPECT_TRUE(group.is_voter(r));
}

/* Guards against an even number of voters, where neither of two halves has a
 * majority. */
TEST(CtlRepair, KeepsToTheWantedNumberOfVoters)
{
	Group group;

	group.voters_wanted = 3;
	group.voter(1, "a");
	group.join(2, "b");
	group.join(3, "c");
	group.join(4, "d");
	for (int i = 0; i < 20; i++) {
		for (uint64_t r = 2; r <= 4; r++)
			group.matches[r] = group.commit;
		group.run();
	}
	size_t voters = 0;
	for (uint64_t r = 1; r <= 4; r++)
		voters += group.is_voter(r);
	EXPECT_EQ(voters, 3u);
	EXPECT_EQ(group.config->n_members, 4u);
}

/* Guards against a repair that never ends after the disk is lost a second time
 * during it: a learner that cannot come back must not block the next one. */
TEST(CtlRepair, StartsAgainWhenTheLearnerIsLost)
{
	Group group;

	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.live[3] = false;
	group.join(13, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.live[13] = false;
	dsp__member__free_unpacked(group.joining[0], NULL);
	group.joining.clear();
	EXPECT_EQ(group.run(), CTL_REPAIR_CATCH_UP);
	group.join(23, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_DROP_LEARNER);
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.matches[23] = group.commit;
	EXPECT_EQ(group.run(), CTL_REPAIR_REMOVE_OLD);
	EXPECT_EQ(group.run(), CTL_REPAIR_PROMOTE);
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	EXPECT_TRUE(group.is_voter(23));
	EXPECT_EQ(group.config->n_members, 3u);
}

/* Guards against the removal of a live voter when a second process is started
 * with its instance id. */
TEST(CtlRepair, KeepsALiveReplica)
{
	Group group;

	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.join(13, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.matches[13] = group.commit;
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	EXPECT_TRUE(group.is_voter(3));
}

/* Guards against the promotion of a learner that caught up, then died: it must
 * not take the place of a voter whose log may still exist. */
TEST(CtlRepair, DoesNotPromoteADeadLearner)
{
	Group group;

	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.live[3] = false;
	group.join(13, "c");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.matches[13] = group.commit;
	group.live[13] = false;
	EXPECT_EQ(group.run(), CTL_REPAIR_CATCH_UP);
	EXPECT_TRUE(group.is_voter(3));
}

/* Guards against a group without a majority: a learner that fell silent a
 * moment ago, with a voter to be replaced, became one more voter that does not
 * vote. */
TEST(CtlRepair, DoesNotPromoteALearnerThatDoesNotAnswer)
{
	Group group;

	group.voters_wanted = 3;
	group.voter(1, "a");
	group.voter(2, "b");
	group.voter(3, "c");
	group.join(14, "d");
	EXPECT_EQ(group.run(), CTL_REPAIR_ADD_LEARNER);
	group.matches[14] = group.commit;
	group.live[3] = false;
	group.silent[3] = true;
	group.unanswered[14] = true;
	EXPECT_EQ(group.run(), CTL_REPAIR_CATCH_UP);
	EXPECT_FALSE(group.is_voter(14));
	group.unanswered[14] = false;
	EXPECT_EQ(group.run(), CTL_REPAIR_PROMOTE);
	EXPECT_TRUE(group.is_voter(14));
	EXPECT_EQ(group.run(), CTL_REPAIR_REMOVE_OLD);
}

/* Guards the limit of seven voters of a group. */
TEST(CtlRepair, AddsNoEighthVoter)
{
	Group group;
	const char *ids[] = { "a", "b", "c", "d", "e", "f", "g" };

	for (uint64_t i = 0; i < 7; i++)
		group.voter(i + 1, ids[i]);
	group.join(20, "h");
	EXPECT_EQ(group.run(), CTL_REPAIR_NONE);
	EXPECT_EQ(group.config->n_members, 7u);
}

/* Guards against late messages of replaced incarnations of a process: in any
 * order of arrival, they must not make an old incarnation current again. */
TEST(CtlIncarnations, ReplacedIncarnationsAreNotAcceptedAgain)
{
	struct ctl_incarnations incarnations = {};

	for (uint64_t incarnation = 1; incarnation <= CTL_PAST_INCARNATIONS + 1;
	     incarnation++) {
		EXPECT_TRUE(ctl_incarnations_accept(&incarnations, incarnation,
						    CTL_RANDOM, 0));
		EXPECT_TRUE(ctl_incarnations_accept(&incarnations, incarnation,
						    CTL_RANDOM, 0));
		for (uint64_t old = 1; old < incarnation; old++)
			EXPECT_FALSE(ctl_incarnations_accept(&incarnations, old,
							     CTL_RANDOM, 0));
		EXPECT_EQ(incarnations.current, incarnation);
	}
}

/* Guards against a process that is locked out by one late message of the
 * process before it, which was not heard before. */
TEST(CtlIncarnations, LateMessageOfAnUnknownProcessLocksNobodyOut)
{
	struct ctl_incarnations increasing = {}, random = {};
	int64_t accepted_us = 0;

	EXPECT_TRUE(
		ctl_incarnations_accept(&increasing, 20, CTL_INCREASING, 0));
	EXPECT_FALSE(
		ctl_incarnations_accept(&increasing, 10, CTL_INCREASING, S));
	EXPECT_TRUE(
		ctl_incarnations_accept(&increasing, 20, CTL_INCREASING, S));

	/* Which one is later is not known until the other one is silent. */
	EXPECT_TRUE(ctl_incarnations_accept(&random, 20, CTL_RANDOM, 0));
	EXPECT_TRUE(ctl_incarnations_accept(&random, 10, CTL_RANDOM, S));
	for (int64_t now = S; now < 20 * S && !accepted_us; now += S)
		if (ctl_incarnations_accept(&random, 20, CTL_RANDOM, now))
			accepted_us = now;
	EXPECT_GE(accepted_us, 4 * S);
	EXPECT_LE(accepted_us, 8 * S);
	EXPECT_FALSE(ctl_incarnations_accept(&random, 10, CTL_RANDOM,
					     accepted_us + S));
}

/* A late message of a past process is not used while the current one is alive,
 * however often it comes, nor a single one after its end. */
TEST(CtlIncarnations, PastProcessesDoNotReturnBesideTheCurrentOne)
{
	struct ctl_incarnations seen = {};

	ctl_incarnations_accept(&seen, 1, CTL_RANDOM, 0);
	for (int64_t now = S; now < 60 * S; now += S) {
		EXPECT_TRUE(ctl_incarnations_accept(&seen, 2, CTL_RANDOM, now));
		EXPECT_FALSE(ctl_incarnations_accept(&seen, 1, CTL_RANDOM,
						     now + S / 2));
	}
	EXPECT_FALSE(ctl_incarnations_accept(&seen, 1, CTL_RANDOM, 90 * S));
	EXPECT_TRUE(ctl_incarnations_accept(&seen, 2, CTL_RANDOM, 91 * S));
	EXPECT_FALSE(ctl_incarnations_accept(&seen, 1, CTL_RANDOM, 99 * S));
}

/* Guards the resend delays of section 8: they grow for an unanswered order and
 * are much longer for an accepted one. An order whose second arrival would keep
 * memory reserved waits for the longest delay of an unanswered one. */
TEST(CtlOrders, ResendDelaysFollowTheAnswers)
{
	struct ctl_order_sends sends = {};
	int64_t last = 0;

	EXPECT_EQ(ctl_rule_resend_us(&sends), 2 * S);
	for (unsigned failures = 1; failures < 40; failures++) {
		sends.failures = failures;
		EXPECT_GE(ctl_rule_resend_us(&sends), last);
		EXPECT_LE(ctl_rule_resend_us(&sends), 10 * S);
		last = ctl_rule_resend_us(&sends);
	}
	EXPECT_EQ(last, 10 * S);
	sends.failures = 1;
	sends.no_duplicate = true;
	EXPECT_EQ(ctl_rule_resend_us(&sends), 2 * S);
	sends.sends = 1;
	EXPECT_EQ(ctl_rule_resend_us(&sends), 10 * S);
	sends.accepted = true;
	EXPECT_EQ(ctl_rule_resend_us(&sends), 60 * S);
}

/* Guards against a report long before the round that echoes it, and against
 * reports at more than twice the usual rate. */
TEST(Rules, ReportPrecedesTheNextRoundOfTheUpstream)
{
	constexpr int64_t MS = 1000;

	for (int64_t phase = 0; phase < 400 * MS; phase += 7 * MS) {
		int64_t now = 10000 * MS + phase;
		int64_t last = now;

		for (int i = 0; i < 20; i++) {
			int64_t round = now / (400 * MS) * 400 * MS;

			now = ctl_rule_report_before_us(last, 400 * MS, round);
			ASSERT_GE(now - last, 200 * MS);
			ASSERT_LT(now - last, 600 * MS);
			last = now;
		}
		EXPECT_EQ(now % (400 * MS), 320 * MS) << phase;
	}
	EXPECT_EQ(ctl_rule_report_before_us(1000 * MS, 100 * MS, 990 * MS),
		  1065 * MS);
}

/* Guards against a repair or a commit that waits forever in silence. */
TEST(Stall, IsToldOnceForEachLimitWithoutProgress)
{
	struct ctl_stall stall = {};

	EXPECT_FALSE(ctl_stall_update(&stall, true, 7, 1 * S, 3 * S));
	EXPECT_FALSE(ctl_stall_update(&stall, true, 7, 3 * S, 3 * S));
	EXPECT_TRUE(ctl_stall_update(&stall, true, 7, 4 * S, 3 * S));
	EXPECT_FALSE(ctl_stall_update(&stall, true, 7, 5 * S, 3 * S));
	EXPECT_TRUE(ctl_stall_update(&stall, true, 7, 7 * S, 3 * S));
	EXPECT_EQ(ctl_stall_us(&stall, 7 * S), 6 * S);
	EXPECT_FALSE(ctl_stall_update(&stall, true, 8, 8 * S, 3 * S));
	EXPECT_EQ(ctl_stall_us(&stall, 8 * S), 0);
	EXPECT_FALSE(ctl_stall_update(&stall, false, 8, 20 * S, 3 * S));
	EXPECT_EQ(ctl_stall_us(&stall, 20 * S), 0);
}

/* Guards against an update that was held up and is taken for a fresh one. */
TEST(Confirmation, IsNotYoungerThanTheReportThatItEchoes)
{
	struct ctl_confirmation in = {
		.now_us = 100 * S,
		.echoed_us = 99 * S,
		.age_us = S / 10,
		.held_up_after_us = 2 * S,
	};

	EXPECT_EQ(ctl_rule_confirmed_us(&in), 100 * S - S / 10);
	in.echoed_us = 98 * S;
	EXPECT_EQ(ctl_rule_confirmed_us(&in), 100 * S - S / 10);
	in.echoed_us = 94 * S;
	EXPECT_EQ(ctl_rule_confirmed_us(&in), 94 * S - S / 10);
	in.echoed_us = 0;
	EXPECT_EQ(ctl_rule_confirmed_us(&in), 100 * S - S / 10);
}

TEST(Contact, IsLostWithReportsOrWithAnIsolatedView)
{
	struct ctl_contact entry = {
		.heard_us = 100 * S,
		.confirmed_age_us = S / 10,
		.isolated_after_us = 2 * S,
		.query_after_us = 6 * S / 5,
		.limit_us = 6 * S / 5,
		.query_limit_us = 8 * S / 5,
	};

	EXPECT_TRUE(ctl_rule_in_contact(&entry, 90 * S, 101 * S));
	EXPECT_FALSE(ctl_rule_in_contact(&entry, 90 * S, 102 * S));
	EXPECT_TRUE(ctl_rule_in_contact(&entry, 101 * S, 102 * S));
	entry.confirmed_age_us = 3 * S;
	EXPECT_FALSE(ctl_rule_in_contact(&entry, 90 * S, 101 * S));
	entry.heard_us = 0;
	EXPECT_TRUE(ctl_rule_in_contact(&entry, 101 * S, 102 * S));
}

/* Guards against acknowledgements that leave out an entry between two of its
 * queries for a newer view. */
TEST(Contact, LastsUntilTheNextQueryOfAnEntryIsDue)
{
	const int64_t INTERVAL = 2 * S / 5;
	struct ctl_contact entry = {
		.heard_us = 100 * S,
		.confirmed_age_us = S / 10,
		.isolated_after_us = 20 * S,
		.query_after_us = 3 * S,
		.limit_us = 3 * INTERVAL,
		.query_limit_us =
			ctl_up_longest_interval_us(INTERVAL) + INTERVAL,
	};
	struct ctl_up up = {};

	EXPECT_FALSE(ctl_rule_in_contact(&entry, 90 * S, 101 * S + S / 4));
	up.failing = true;
	up.rounds = 10;
	up.spread = UINT8_MAX;
	entry.confirmed_age_us = 4 * S;
	EXPECT_TRUE(ctl_rule_in_contact(
		&entry, 90 * S, 100 * S + ctl_up_interval_us(&up, INTERVAL)));
	EXPECT_FALSE(ctl_rule_in_contact(&entry, 90 * S, 102 * S));
	/* It may have queried before, and not this leader. */
	entry.confirmed_age_us = S / 10;
	EXPECT_TRUE(ctl_rule_in_contact(&entry, 101 * S, 102 * S + S / 4));
}

/* Guards against an instance that is behind and sends one round of updates
 * after the other. */
TEST(Rounds, LeaveTimeForOtherWork)
{
	struct ctl_rounds rounds = {
		.took_us = S / 20,
		.interval_us = S / 50,
		.limit_us = 2 * S / 5,
		.urgent = false,
	};

	EXPECT_EQ(ctl_rule_round_pause_us(&rounds), 3 * S / 20);
	rounds.urgent = true;
	EXPECT_EQ(ctl_rule_round_pause_us(&rounds), S / 20);
	rounds.took_us = 10 * S; /* it was stopped */
	EXPECT_EQ(ctl_rule_round_pause_us(&rounds), 2 * S / 5);
	rounds.took_us = S / 1000;
	EXPECT_EQ(ctl_rule_round_pause_us(&rounds), S / 50);
}

/* Guards against a command that waits where no leader will be found. */
TEST(Leader, IsNotExpectedForLongerThanAnElectionTakes)
{
	EXPECT_TRUE(ctl_rule_expects_leader(0, S / 2));
	EXPECT_TRUE(ctl_rule_expects_leader(S, S / 2));
	EXPECT_FALSE(ctl_rule_expects_leader(S + 1, S / 2));
}

/* Guards against a resend that waits for tables that came after its own. */
TEST(Tables, ResendWaitsForTheFirstTableWithItsNumber)
{
	const struct ctl_table tables[] = { { 12, 500 },
					    { 5, 100 },
					    { 8, 300 } };

	EXPECT_EQ(ctl_rule_table_index(tables, 3, 5, 500), 100u);
	EXPECT_EQ(ctl_rule_table_index(tables, 3, 6, 500), 300u);
	EXPECT_EQ(ctl_rule_table_index(tables, 3, 12, 500), 500u);
	EXPECT_EQ(ctl_rule_table_index(tables, 0, 5, 500), 500u);
}
