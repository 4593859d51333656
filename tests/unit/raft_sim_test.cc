#include <gtest/gtest.h>

#include "raft_sim.h"

using namespace sim;

/*
 * Runs simulated groups under random faults, one history for each seed.
 * RAFT_SIM_SEED=n runs one seed only, RAFT_SIM_COUNT=n sets the number of
 * seeds, RAFT_SIM_TRACE=1 prints every event.
 */
namespace
{

class History
{
      public:
	History(uint64_t seed, int n) : s(options(seed, n))
	{
		wanted.assign((size_t)n, true);
		s.at(20 * ms, [this] { propose_commands(); });
		s.at(50 * ms, [this] { change_members(); });
		s.at(300 * ms, [this] { inject_fault(); });
	}

	/* Runs with random faults, then without any. The group then has to
	 * recover. */
	void run()
	{
		s.run(12000 * ms);
		faults_stopped = true;
		s.heal();
		s.o.loss = 0;
		for (auto &node : s.nodes) {
			if (node->frozen)
				s.thaw(*node);
			if (node->disabled_incarnation == node->incarnation)
				s.crash(*node);
			s.start(*node);
		}
		wanted.assign(wanted.size(), true);
		if (!s.run_until(20000 * ms, [this] { return repaired(); }))
			s.fail("not repaired after the faults stopped");
		proposals_stopped = true;
		if (!s.run_until(10000 * ms, [this] {
			    Node *leader = s.ready_leader();

			    return leader &&
				   raft_last_index(leader->raft) ==
					   s.reference.size() &&
				   s.all_applied();
		    }))
			s.fail("replicas do not converge after the faults "
			       "stopped");
	}

	Sim s;

      private:
	static Options options(uint64_t seed, int n)
	{
		std::mt19937_64 random(seed * 77 + (uint64_t)n);
		Options o;

		o.seed = seed;
		o.n = n;
		o.loss = (double)(random() % 4) * 0.04;
		o.duplicate = (double)(random() % 3) * 0.1;
		o.delay_max = (int64_t)(1 + random() % 30) * ms;
		o.sync_max = (int64_t)(random() % 3) * 8 * ms;
		o.step_during_sync = random() % 2;
		o.send_before_sync = random() % 2;
		o.snapshot_every = random() % 3 * 40;
		o.max_batch_bytes = 100 + (uint32_t)(random() % 3000);
		o.snapshot_bytes = random() % 8000;
		return o;
	}

	void propose_commands()
	{
		if (!proposals_stopped)
			s.at(5 * ms + (int64_t)s.draw(30 * ms),
			     [this] { propose_commands(); });
		/* Any replica: also one that no longer leads, but does not
		 * know. */
		Node &node = s.node((int)s.draw((uint64_t)s.o.n));

		for (uint64_t i = s.draw(6); i; i--) {
			std::string data = "c" + std::to_string(++n_commands);

			data.resize(data.size() + s.draw(200), '.');
			s.propose(node, data);
		}
	}

	bool repaired()
	{
		Members voters;

		for (auto &node : s.nodes)
			voters[node->disk->replica] = true;
		return s.committed_config == voters;
	}

	/* Changes the members like the control thread of the leader: one step
	 * of a repair or of a wanted change at a time. */
	void change_members()
	{
		Node *leader = s.ready_leader();

		s.at(50 * ms, [this] { change_members(); });
		if (s.failed() || !leader || raft_config_pending(leader->raft))
			return;
		Members members = members_of(raft_config(leader->raft));
		for (auto &node : s.nodes) {
			uint64_t replica = node->disk->replica;
			/* During a repair, only lost voters are removed. */
			bool want = wanted[(size_t)node->slot] ||
				    has_lost_member(members);
			Members next = members;

			if (want && !members.count(replica)) {
				next[replica] = false;
			} else if (want && !members[replica]) {
				if (raft_match_index(leader->raft, replica) <
				    raft_commit_index(leader->raft))
					continue;
				if (!remove_lost(next))
					next[replica] = true;
			} else if (!want && members.count(replica)) {
				next.erase(replica);
				if (count_voters(next) < 3)
					continue;
			} else {
				continue;
			}
			s.propose_members(*leader, next);
			return;
		}
	}

	static size_t count_voters(const Members &members)
	{
		size_t n = 0;

		for (auto [replica, voter] : members)
			n += voter;
		return n;
	}

	bool has_lost_member(const Members &members)
	{
		for (auto [replica, voter] : members)
			if (s.lost_identities.count(replica))
				return true;
		return false;
	}

	bool remove_lost(Members &members)
	{
		for (auto [replica, voter] : members)
			if (s.lost_identities.count(replica))
				return members.erase(replica);
		return false;
	}

	/* Whether a disk may be lost: every configuration that may be in force
	 * must keep a majority, without which no group can recover. */
	bool may_lose()
	{
		if (has_lost_member(s.committed_config))
			return false;
		for (auto &node : s.nodes) {
			if (node->raft && raft_config_pending(node->raft))
				return false;
			for (auto &entry : node->disk->log)
				if (entry.kind ==
					    DSP__ENTRY_KIND__ENTRY_CONFIG &&
				    entry.index > s.committed_config_index)
					return false;
		}
		return count_voters(s.committed_config) >= 3;
	}

	void crash_and_restart(Node &node)
	{
		s.crash(node);
		s.at((int64_t)s.draw(1500 * ms),
		     [this, &node] { s.start(node); });
	}

	void freeze_and_thaw(Node &node)
	{
		if (!node.raft || node.frozen)
			return;
		s.freeze(node);
		s.at((int64_t)s.draw(1500 * ms), [this, &node] {
			if (node.frozen)
				s.thaw(node);
		});
	}

	/* Loses a second disk as soon as the repair of the first one has
	 * committed. */
	void lose_twice(Node &first)
	{
		if (!may_lose())
			return;
		s.lose_disk(first);
		s.at(20 * ms, [this, &first] { lose_after_repair(first); });
	}

	void lose_after_repair(Node &first)
	{
		Node &second = s.node((first.slot + 1) % s.o.n);

		if (faults_stopped)
			return;
		if (!s.committed_config.count(first.disk->replica) ||
		    !s.committed_config[first.disk->replica]) {
			s.at(1 * ms,
			     [this, &first] { lose_after_repair(first); });
			return;
		}
		if (may_lose())
			s.lose_disk(second);
	}

	void inject_fault()
	{
		uint64_t n = (uint64_t)s.o.n;
		Node *leader = s.leader();
		Node &node = leader && s.chance(0.4) ? *leader
						     : s.node((int)s.draw(n));

		if (faults_stopped)
			return;
		s.at((int64_t)s.draw(700 * ms), [this] { inject_fault(); });
		switch (s.draw(13)) {
		case 0:
		case 1:
			crash_and_restart(node);
			break;
		case 2:
		case 3:
			freeze_and_thaw(node);
			break;
		case 4:
			s.isolate(node.slot, true, true);
			break;
		case 5:
			s.isolate(node.slot, true, false);
			break;
		case 6:
			s.isolate(node.slot, false, true);
			break;
		case 7:
			s.set_cut((int)s.draw(n), (int)s.draw(n), true);
			break;
		case 8:
			if (may_lose())
				s.lose_disk(node);
			break;
		case 9:
			lose_twice(node);
			break;
		case 10:
			s.fail_disk(node);
			s.at((int64_t)s.draw(1500 * ms), [this, &node] {
				if (node.disabled_incarnation ==
				    node.incarnation)
					s.crash(node);
				s.start(node);
			});
			break;
		case 11:
			if (leader)
				s.transfer(
					*leader,
					s.node((int)s.draw(n)).disk->replica);
			break;
		default:
			if (n == 5) {
				size_t i = s.draw(5);

				wanted[i] = !wanted[i];
				if (std::count(wanted.begin(), wanted.end(),
					       true) < 3)
					wanted[i] = true;
			}
			for (auto &any : s.nodes)
				if (any->raft && !any->frozen && !any->busy &&
				    s.chance(0.5))
					s.snapshot(*any);
		}
		if (s.chance(0.35))
			s.heal();
	}

	std::vector<bool> wanted; /* by slot: is to be a voter */
	uint64_t n_commands = 0;
	bool faults_stopped = false;
	bool proposals_stopped = false;
};

uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *value = getenv(name);

	return value ? strtoull(value, NULL, 10) : fallback;
}

void run_all(int n, uint64_t count)
{
	uint64_t only_seed = env_number("RAFT_SIM_SEED", 0);
	uint64_t entries = 0;
	uint64_t terms = 0;
	uint64_t installed = 0;
	uint64_t disks = 0;
	int failures = 0;

	count = env_number("RAFT_SIM_COUNT", count);
	for (uint64_t seed = only_seed ? only_seed : 1;
	     seed <= (only_seed ? only_seed : count) && failures < 3; seed++) {
		History history(seed, n);

		history.run();
		entries += history.s.reference.size();
		terms += history.s.leader_of_term.size();
		installed += history.s.snapshots_installed;
		disks += history.s.lost_identities.size();
		if (history.s.failed()) {
			failures++;
			ADD_FAILURE() << history.s.report();
		}
	}
	printf("%d replicas: %llu entries, %llu terms, %llu snapshots "
	       "installed, %llu disks lost\n",
	       n, (unsigned long long)entries, (unsigned long long)terms,
	       (unsigned long long)installed, (unsigned long long)disks);
	/* Guards against histories in which too little happens. */
	if (!only_seed && !failures && count >= 100) {
		EXPECT_GT(entries, count * 50);
		EXPECT_GT(terms, count * 2);
		EXPECT_GT(installed, count / 4);
		EXPECT_GT(disks, count / 2);
	}
}

} // namespace

/*
 * Guards these invariants: committed entries are the same at every index on
 * every replica and never lost, also when a second disk is lost right after the
 * repair of a first one; a term has one leader; an entry is on a majority of
 * disks before it commits; a leader that is cut off steps down; a confirmed
 * leader is the only one; the group recovers once the faults stop.
 */
TEST(RaftSim, ThreeReplicasAgreeWithOneLog)
{
	run_all(3, 700);
}

/* Guards the same invariants with five replicas and changes of membership. */
TEST(RaftSim, FiveReplicasAgreeWithOneLog)
{
	run_all(5, 500);
}
