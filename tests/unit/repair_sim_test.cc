#include <gtest/gtest.h>

#include "raft_sim.h"

extern "C" {
#include "node/ctl_rules.h"
}

using namespace sim;

/*
 * Simulates the replacement of voters by the rule that the leader uses, under
 * faults that follow each other as closely as on the platform: a group that
 * bears the loss of some disks at once, and one replica more than it has
 * voters. REPAIR_SIM_SEED=n runs one seed only, REPAIR_SIM_COUNT=n sets their
 * number.
 */
namespace
{

/* The platform's times as multiples of the election timeout, which is 0.5 s. */
constexpr int64_t ELECTION = 200 * ms;
constexpr int64_t STEP = 5 * ms;
constexpr int64_t ALIVE = 6 * ELECTION;
constexpr int64_t REPLACEABLE = 4 * ELECTION;
/* Shortest time between two faults, and the time until service returns. */
constexpr int64_t CONTACT = 6 * ELECTION;
constexpr int64_t RECOVER = 24 * ELECTION;

class Repairs
{
      public:
	Repairs(uint64_t seed, int losses_borne)
	    : s(options(seed, losses_borne)), losses((size_t)losses_borne)
	{
		s.received = [this](Node &node, const Dsp__RaftMessage *msg) {
			heard[{ node.disk->replica, msg->from }] = s.now;
		};
		s.at(STEP, [this] { repair(); });
		s.at(10 * ms, [this] { propose(); });
	}

	void run(int rounds)
	{
		expect_service("at the start");
		for (int i = 0; i < rounds && !s.failed(); i++) {
			s.run(CONTACT + (int64_t)s.draw(2 * CONTACT));
			switch (s.draw(4)) {
			case 0:
				cut_and_lose();
				break;
			case 1:
				lose_power();
				break;
			case 2:
				stop_for_long();
				break;
			default:
				s.lose_disk(any());
				s.run(CONTACT);
			}
			s.heal();
			for (auto &node : s.nodes)
				s.start(*node);
			/* Those that return may find a power cut of all. */
			if (s.chance(0.3)) {
				s.run((int64_t)s.draw(CONTACT));
				lose_power();
			}
			expect_service("after a fault");
		}
		if (!s.run_until(RECOVER, [this] { return is_complete(); }))
			s.fail("a replica is not a member at the end");
	}

	Sim s;

      private:
	static Options options(uint64_t seed, int losses_borne)
	{
		Options o;

		o.seed = seed;
		o.n = 2 * losses_borne + 2;
		o.initial = 2 * losses_borne + 1;
		o.election_timeout = ELECTION;
		o.delay_max = 5 * ms;
		o.sync_max = 5 * ms;
		o.snapshot_every = seed % 3 * 40;
		return o;
	}

	Node &any()
	{
		return s.node((int)s.draw((uint64_t)s.o.n));
	}

	std::vector<Node *> shuffled()
	{
		std::vector<Node *> list;

		for (auto &node : s.nodes)
			list.push_back(node.get());
		for (size_t i = list.size(); i > 1; i--)
			std::swap(list[i - 1], list[s.draw(i)]);
		return list;
	}

	/* As many replicas as the group may lose are cut off from the others.
	 * Then one of the others loses its disk and the rest lose power. */
	void cut_and_lose()
	{
		std::vector<Node *> list = shuffled();
		std::vector<Node *> others(list.begin() + (long)losses,
					   list.end());

		for (size_t i = 0; i < losses; i++)
			for (Node *other : others) {
				s.set_cut(list[i]->slot, other->slot, true);
				s.set_cut(other->slot, list[i]->slot, true);
			}
		s.run(CONTACT);
		for (Node *other : others)
			s.crash(*other);
		s.run((int64_t)s.draw(CONTACT));
		for (Node *other : others)
			s.start(*other);
		s.lose_disk(*others[0]);
		expect_service("while replicas are cut off");
		s.run(CONTACT + (int64_t)s.draw(2 * CONTACT));
	}

	void lose_power()
	{
		std::vector<Node *> list = shuffled();

		for (auto &node : s.nodes)
			s.crash(*node);
		for (size_t i = 0; i < losses; i++)
			s.lose_disk(*list[i]);
		s.run((int64_t)s.draw(CONTACT));
		for (auto &node : s.nodes)
			s.start(*node);
		s.run(RECOVER);
	}

	void stop_for_long()
	{
		Node &node = any();

		s.crash(node);
		s.run((int64_t)s.draw(2 * CONTACT));
	}

	/* A leader commits a command in time. */
	void expect_service(const char *when)
	{
		size_t before = s.reference.size();

		if (!s.run_until(RECOVER, [&] {
			    return s.ready_leader() &&
				   s.reference.size() > before + 1;
		    }))
			s.fail("no service %s", when);
	}

	bool is_complete()
	{
		Node *leader = s.ready_leader();

		if (!leader)
			return false;
		Members members = members_of(raft_config(leader->raft));
		for (auto &node : s.nodes)
			if (!members.count(node->disk->replica))
				return false;
		return members.size() == s.nodes.size();
	}

	void propose()
	{
		s.at(10 * ms + (int64_t)s.draw(30 * ms), [this] { propose(); });
		s.propose(any(), "c" + std::to_string(++n_commands));
	}

	bool reach(const Node &a, const Node &b)
	{
		return !s.is_cut(a.slot, b.slot) && !s.is_cut(b.slot, a.slot);
	}

	/* Time that the leader has not heard a replica. */
	int64_t silent_us(uint64_t replica)
	{
		uint64_t own = current->disk->replica;
		auto at = heard.find({ own, replica });

		return s.now - ctl_rule_silent_since_us(
				       at == heard.end() ? 0 : at->second,
				       current->leader_since,
				       replica == last_leader[own]);
	}

	void note_leaders()
	{
		for (auto &node : s.nodes) {
			uint64_t own = node->disk->replica;
			uint64_t leader =
				node->raft ? raft_leader(node->raft) : 0;

			if (leader && leader != own)
				last_leader[own] = leader;
		}
	}

	static uint64_t match(void *data, uint64_t replica)
	{
		return raft_match_index(((Repairs *)data)->current->raft,
					replica);
	}
	bool was_heard(uint64_t replica, int64_t within)
	{
		uint64_t own = current->disk->replica;

		return replica == own ||
		       (heard.count({ own, replica }) &&
			s.now - heard[{ own, replica }] < within);
	}
	static bool alive(void *data, uint64_t replica)
	{
		return ((Repairs *)data)->was_heard(replica, ALIVE);
	}
	static bool answers(void *data, uint64_t replica)
	{
		return ((Repairs *)data)->was_heard(replica, ELECTION);
	}
	static bool replaceable(void *data, uint64_t replica)
	{
		Repairs *ctx = (Repairs *)data;

		return replica != ctx->current->disk->replica &&
		       ctx->silent_us(replica) > REPLACEABLE;
	}

	/* One step of the leader, as in ctl_member.c. */
	void repair()
	{
		struct ctl_repair_input in = {};
		std::vector<Dsp__Member> members, joins;
		std::vector<Dsp__Member *> member_list, join_list;
		Dsp__RaftConfig config = DSP__RAFT_CONFIG__INIT;
		Dsp__RaftConfig *next = nullptr;

		s.at(STEP, [this] { repair(); });
		note_leaders();
		current = s.ready_leader();
		if (!current || raft_config_pending(current->raft))
			return;
		for (auto &node : s.nodes)
			names[node->disk->replica] =
				"n" + std::to_string(node->slot);
		Members have = members_of(raft_config(current->raft));
		for (auto [replica, voter] : have)
			members.push_back(member(replica, voter));
		for (auto &node : s.nodes)
			if (node->raft && !have.count(node->disk->replica) &&
			    reach(*node, *current))
				joins.push_back(
					member(node->disk->replica, false));
		for (auto &m : members)
			member_list.push_back(&m);
		for (auto &m : joins)
			join_list.push_back(&m);
		config.members = member_list.data();
		config.n_members = member_list.size();
		in.config = &config;
		in.joining = join_list.data();
		in.n_joining = join_list.size();
		in.commit_index = raft_commit_index(current->raft);
		in.voters_wanted = 2 * losses + 1;
		in.data = this;
		in.match = match;
		in.alive = alive;
		in.answers = answers;
		in.replaceable = replaceable;
		ctl_rule_repair(&in, &next);
		if (!next)
			return;
		s.propose_members(*current, members_of(next));
		dsp__raft_config__free_unpacked(next, NULL);
	}

	Dsp__Member member(uint64_t replica, bool voter)
	{
		Dsp__Member m = DSP__MEMBER__INIT;

		m.replica = replica;
		m.voter = voter;
		m.node = (char *)names[replica].c_str();
		return m;
	}

	size_t losses;
	Node *current = nullptr; /* the leader, in repair() */
	std::map<std::pair<uint64_t, uint64_t>, int64_t> heard;
	std::map<uint64_t, uint64_t> last_leader; /* known to each replica */
	std::map<uint64_t, std::string> names;
	uint64_t n_commands = 0;
};

void run_all(int losses, uint64_t count)
{
	const char *only = getenv("REPAIR_SIM_SEED");
	const char *number = getenv("REPAIR_SIM_COUNT");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t last = only	 ? first
			: number ? strtoull(number, NULL, 10)
				 : count;
	int failures = 0;

	for (uint64_t seed = first; seed <= last && failures < 3; seed++) {
		Repairs repairs(seed, losses);

		repairs.run(8);
		if (repairs.s.failed()) {
			failures++;
			ADD_FAILURE() << "seed " << seed << "\n"
				      << repairs.s.report();
		}
	}
}

} // namespace

/*
 * Guards these invariants over faults that follow each other: nothing committed
 * is lost; while a majority of the instances is connected, a leader commits
 * commands; every replica is a member again in the end.
 */
TEST(RepairSim, FourInstancesBearTheLossOfOneDisk)
{
	run_all(1, 100);
}

/* Guards the same with six instances and the loss of two disks at once. */
TEST(RepairSim, SixInstancesBearTheLossOfTwoDisks)
{
	run_all(2, 100);
}
