#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clk.h"
#include "node/ctl_up.h"
}

/*
 * Simulates how instances choose their upstreams, on a manual clock: nine
 * instances in three sites, one voter in each. Instances without control are
 * the entries.
 */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t STEP = 10 * MS;
constexpr int64_t REPORT = 400 * MS;
/* Transit time of a view, whose age is counted from its arrival. */
constexpr int64_t HOP = 2 * MS;
constexpr int64_t FAILS_AFTER = 1200 * MS;
constexpr int64_t ISOLATED_AFTER = 2000 * MS;
constexpr int64_t CHILD_LIMIT = 2200 * MS;
constexpr int64_t NODE_LEASE = 3000 * MS;
constexpr int64_t CHECK_QUORUM = 500 * MS;
constexpr int64_t ELECTION = 1400 * MS;

struct Inst {
	Dsp__Node node = DSP__NODE__INIT;
	std::string id, site, address;
	struct ctl_up up = {};
	int64_t confirmed = 0;
	int64_t report_due = 0;
	int64_t push_due = 0;
	int64_t heard = 0; /* when the leader last heard of it */
	std::string leader, relay;
	std::map<Inst *, int64_t> children;

	Inst(const std::string &name, const std::string &site_name,
	     bool control)
	    : id(name), site(site_name), address("tcp://" + name)
	{
		node.id = (char *)id.c_str();
		node.site = (char *)site.c_str();
		node.internal_address = (char *)address.c_str();
		node.control = control;
	}
	~Inst()
	{
		ctl_up_clear(&up);
	}
	bool control() const
	{
		return node.control;
	}
};

struct World {
	struct clk *clock = clk_new_manual(1000000 * MS, 0);
	std::vector<std::unique_ptr<Inst>> all;
	std::set<std::pair<Inst *, Inst *>> cuts;
	Inst *leader = nullptr;
	int64_t majority_at = 0; /* when the leader last had one */
	int64_t elect_at = 0;
	bool may_elect = true;
	unsigned upstream_changes = 0;
	unsigned queries = 0; /* reports to candidates */

	World()
	{
		for (const char *site : { "a", "b", "c" }) {
			for (const char *n : { "0", "1", "2" })
				all.push_back(std::make_unique<Inst>(
					site + std::string(n), site,
					*n == '0'));
		}
		leader = at("c0");
		for (auto &x : all) {
			x->leader = leader->address;
			x->relay = x->site + "0";
			x->up.since_us = now();
			x->confirmed = now();
			x->heard = now();
		}
	}
	~World()
	{
		clk_free(clock);
	}
	int64_t now() const
	{
		return clk_now_us(clock);
	}
	Inst *at(const std::string &id)
	{
		for (auto &x : all)
			if (x->id == id)
				return x.get();
		abort();
	}
	Inst *by_address(const std::string &address)
	{
		return at(address.substr(strlen("tcp://")));
	}
	void cut(Inst *a, Inst *b, bool is_cut = true)
	{
		for (auto pair : { std::make_pair(a, b), std::make_pair(b, a) })
			if (is_cut)
				cuts.insert(pair);
			else
				cuts.erase(pair);
	}
	bool reaches(Inst *from, Inst *to) const
	{
		return !cuts.count({ from, to });
	}
	bool has_majority(Inst *voter)
	{
		int n = 0;

		for (auto &x : all)
			n += x->control() &&
			     (x.get() == voter || reaches(voter, x.get()));
		return n >= 2;
	}
	bool follows(Inst *x)
	{
		return x->control() && leader && x != leader &&
		       reaches(leader, x);
	}
	void run_group()
	{
		if (leader && has_majority(leader)) {
			majority_at = now();
			leader->confirmed = now();
			return;
		}
		if (leader && now() - majority_at > CHECK_QUORUM) {
			leader = nullptr;
			elect_at = majority_at + ELECTION;
		}
		if (leader || now() < elect_at || !may_elect)
			return;
		for (auto &x : all)
			if (x->control() && has_majority(x.get()))
				leader = x.get();
		if (leader) {
			leader->push_due = 0;
			for (auto &x : all)
				x->heard = now();
		}
	}
	std::string relay_of(const std::string &site)
	{
		std::vector<const Dsp__Node *> nodes;
		const Dsp__Node *relay;

		for (auto &x : all) {
			x->node.down = x.get() != leader &&
				       now() - x->heard > NODE_LEASE;
			nodes.push_back(&x->node);
		}
		struct ctl_relay_input in = {
			.nodes = nodes.data(),
			.n_nodes = nodes.size(),
			.site = site.c_str(),
			.leader = leader->id.c_str(),
		};
		relay = ctl_rule_relay(&in);
		return relay ? relay->id : "";
	}
	void deliver(Inst *from, Inst *to)
	{
		if (!reaches(from, to))
			return;
		if (!to->children.count(from))
			to->push_due = 0;
		to->children[from] = now();
		if (to == leader)
			from->heard = now();
	}
	void report(Inst *x)
	{
		struct ctl_upstream_input in = {};
		std::vector<const Dsp__Node *> nodes;
		std::vector<const char *> voters;
		const char **candidates;
		size_t n;

		for (auto &other : all) {
			nodes.push_back(&other->node);
			if (other->control() && other.get() != x)
				voters.push_back(other->address.c_str());
		}
		in.self = x->id.c_str();
		in.site = x->site.c_str();
		in.relay = x->relay.c_str();
		in.leader = x->leader.c_str();
		in.nodes = nodes.data();
		in.n_nodes = nodes.size();
		in.voters = voters.data();
		in.n_voters = voters.size();
		ctl_up_designate(&x->up, ctl_rule_upstream(&in, 0));
		if (ctl_up_begin_round(&x->up, now(), REPORT)) {
			n = ctl_up_candidates(&x->up, &in, &candidates);
			queries += n;
			for (size_t i = 0; i < n; i++)
				deliver(x, by_address(candidates[i]));
			g_free(candidates);
		}
		deliver(x, by_address(x->up.address));
		/* A relay tells the leader which instances it has heard. */
		if (leader && by_address(x->up.address) == leader &&
		    reaches(x, leader))
			for (auto &child : x->children)
				if (now() - child.second <= REPORT)
					child.first->heard = now();
	}
	void push(Inst *x)
	{
		for (auto &child : x->children) {
			Inst *to = child.first;

			if (now() - child.second > CHILD_LIMIT ||
			    !reaches(x, to) ||
			    x->confirmed + HOP <= to->confirmed ||
			    follows(to) ||
			    (x != leader &&
			     ctl_up_is(&x->up, to->address.c_str())))
				continue;
			if (x->confirmed - to->confirmed > REPORT / 2)
				to->push_due = 0;
			to->confirmed = x->confirmed + HOP;
			to->leader = x->leader;
			to->relay = x == leader		  ? relay_of(to->site)
				    : to->site == x->site ? x->relay
							  : to->relay;
			if (ctl_up_confirmed(&to->up, x->address.c_str(),
					     now() - to->confirmed,
					     FAILS_AFTER)) {
				to->report_due = 0;
				upstream_changes++;
			}
		}
	}
	void step()
	{
		clk_advance(clock, STEP);
		run_group();
		for (auto &x : all) {
			if (x.get() == leader || follows(x.get())) {
				x->confirmed = now();
				x->heard = now();
				x->leader = leader->address;
				x->relay = relay_of(x->site);
				ctl_up_set(&x->up, leader->address.c_str());
			} else if (ctl_up_check(&x->up, x->confirmed, now(),
						FAILS_AFTER)) {
				x->report_due = 0;
			}
			if (now() >= x->report_due && x.get() != leader) {
				report(x.get());
				x->report_due = now() + ctl_up_interval_us(
								&x->up, REPORT);
			}
		}
		for (auto &x : all)
			if (now() >= x->push_due) {
				x->push_due = now() + REPORT;
				push(x.get());
			}
	}
	int64_t oldest_entry()
	{
		int64_t age = 0;

		for (auto &x : all)
			if (!x->control())
				age = MAX(age, now() - x->confirmed);
		return age;
	}
	/* Runs for a time; returns the largest age of any entry's view, in
	 * microseconds. */
	int64_t run(int64_t time)
	{
		int64_t most = 0;

		for (int64_t i = 0; i < time / STEP; i++) {
			step();
			most = MAX(most, oldest_entry());
		}
		return most;
	}
};

} // namespace

/* Guards against needless queries to other instances. */
TEST(CtlUp, QueriesNoOtherInstanceWhileTheRelayConfirms)
{
	World world;

	EXPECT_LT(world.run(10000 * MS), FAILS_AFTER);
	EXPECT_STREQ(world.at("a1")->up.address, "tcp://a0");
	EXPECT_EQ(world.at("b0")->children.count(world.at("a1")), 0u);
}

/* Guards against the time lost by trying candidates one after the other when
 * the relay and the leader are the same unreachable instance. */
TEST(CtlUp, EntriesFindTheNextLeaderWhenTheirRelayLedAndIsCutOff)
{
	World world;

	world.run(5000 * MS);
	world.cut(world.at("c0"), world.at("a0"));
	world.cut(world.at("c0"), world.at("b0"));
	EXPECT_LT(world.run(20000 * MS), ISOLATED_AFTER);
	EXPECT_NE(world.leader, world.at("c0"));
}

/* Guards against a return to a designated upstream that has no contact with the
 * leader, and against none once it has contact again. */
TEST(CtlUp, DesignatedUpstreamTakesOverOnceItConfirms)
{
	struct ctl_up up = {};
	const char *voters[] = { "tcp://v", "tcp://w" };
	struct ctl_upstream_input in = {};
	const char **candidates;

	in.self = "x";
	in.site = "a";
	in.leader = "tcp://v";
	in.voters = voters;
	in.n_voters = 2;
	EXPECT_TRUE(ctl_up_designate(&up, "tcp://v"));
	EXPECT_FALSE(ctl_up_confirmed(&up, "tcp://w", 0, FAILS_AFTER));
	EXPECT_EQ(ctl_up_candidates(&up, &in, &candidates), 0u);
	g_free(candidates);
	EXPECT_TRUE(ctl_up_check(&up, 0, FAILS_AFTER + 1, FAILS_AFTER));
	EXPECT_FALSE(ctl_up_check(&up, 0, FAILS_AFTER + 2, FAILS_AFTER));
	ASSERT_EQ(ctl_up_candidates(&up, &in, &candidates), 1u);
	EXPECT_STREQ(candidates[0], "tcp://w");
	g_free(candidates);
	EXPECT_TRUE(ctl_up_confirmed(&up, "tcp://w", 0, FAILS_AFTER));
	EXPECT_FALSE(ctl_up_designate(&up, "tcp://v"));
	EXPECT_TRUE(ctl_up_is(&up, "tcp://w"));
	ASSERT_EQ(ctl_up_candidates(&up, &in, &candidates), 1u);
	EXPECT_STREQ(candidates[0], "tcp://v");
	g_free(candidates);
	EXPECT_TRUE(ctl_up_confirmed(&up, "tcp://v", 0, FAILS_AFTER));
	EXPECT_TRUE(ctl_up_is(&up, "tcp://v"));
	ctl_up_clear(&up);
}

/* Guards against two instances that stay each other's upstream when each is
 * named as the other's relay. */
TEST(CtlUp, InstancesThatNameEachOtherReachTheLeader)
{
	World world;

	world.run(5000 * MS);
	for (auto &x : world.all)
		if (x->id == "a1" || x->id == "a2")
			world.cut(x.get(), world.at("a0"));
	for (int i = 0; i < 2000; i++) {
		world.at("a1")->relay = "a2";
		world.at("a2")->relay = "a1";
		world.step();
		ASSERT_LT(world.oldest_entry(), ISOLATED_AFTER) << i * 10;
	}
	EXPECT_LE(world.upstream_changes, 4u);
}

/* Guards against instances that, without a leader, take each other's old
 * confirmations for contact, change upstreams and query anew at each one. */
TEST(CtlUp, WithoutALeaderUpstreamsStayAndQueriesAreFew)
{
	World world;
	unsigned upstream_changes;
	unsigned queries;

	world.run(5000 * MS);
	world.cut(world.at("c0"), world.at("a0"));
	world.cut(world.at("c0"), world.at("b0"));
	world.may_elect = false;
	world.run(2000 * MS);
	upstream_changes = world.upstream_changes;
	queries = world.queries;
	world.run(4000 * MS);
	EXPECT_EQ(world.leader, nullptr);
	EXPECT_EQ(world.upstream_changes, upstream_changes);
	/* Nine instances, ten reports each, four candidates at most. */
	EXPECT_LE(world.queries - queries, 9 * 10 * 4u);
}

/*
 * Guards against control instances that cannot elect a leader for the queries
 * of all others. Each of 402 entries that start at once, the size to design
 * for, may query each control instance so often that half of its share of a
 * processor, 0.075, carries them at 0.1 ms each: 1.8 times a second.
 */
TEST(CtlUp, QueriesBecomeFewWhileThereIsNoLeader)
{
	const int64_t FIRST = 150 * MS;
	const int64_t SECOND = 1000 * MS;
	const double PER_SECOND = 0.075 / 0.0001 / 402;

	for (int spread : { 0, 127, 255 }) {
		struct ctl_up up = {};
		unsigned rounds = 0;
		int64_t now;

		up.since_us = 1;
		up.spread = (uint8_t)spread;
		for (now = 1; now < 12 * SECOND; now += MS) {
			ctl_up_check(&up, 0, now, 2 * FIRST);
			rounds += ctl_up_begin_round(&up, now, FIRST) &&
				  now > 2 * SECOND;
		}
		EXPECT_LE(rounds, 10 * PER_SECOND) << spread;
		/* An instance sends updates to those that asked it within the
		 * last CHILD_LIMIT. */
		EXPECT_GE(rounds, 10 * SECOND / CHILD_LIMIT) << spread;
		ctl_up_check(&up, now, now, 2 * FIRST);
		EXPECT_EQ(ctl_up_interval_us(&up, REPORT), REPORT);
		ctl_up_clear(&up);
	}
}

/* Guards the bound on the age of views over random cuts between voters, after
 * each of which a leader is elected: an entry that reaches all voters is never
 * isolated. */
TEST(CtlUp, EntriesThatReachTheVotersAreNeverIsolated)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 random(seed);
		World world;
		const char *names[] = { "a0", "b0", "c0" };

		world.run(3000 * MS);
		for (int change = 0; change < 6; change++) {
			Inst *lost = world.at(names[random() % 3]);

			for (const char *name : names)
				if (world.at(name) != lost)
					world.cut(lost, world.at(name));
			ASSERT_LT(world.run(1500 * MS + random() % 6000 * MS),
				  ISOLATED_AFTER)
				<< "seed " << seed << " change " << change;
			for (const char *name : names)
				world.cut(lost, world.at(name), false);
			ASSERT_LT(world.run(1500 * MS + random() % 4000 * MS),
				  ISOLATED_AFTER)
				<< "seed " << seed << " healed " << change;
		}
	}
}
