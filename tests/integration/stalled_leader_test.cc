#include "system.h"

/* Tests of a leader whose process stands still for seconds and goes on: the
 * silence that it finds is its own. */

namespace
{

/* A leader hears of an entry every 400 ms and waits for those heard of within
 * 1.2 s. No entry calls itself isolated during a test. */
const char *const kTiming = "election_timeout_ms = 500\n"
			    "heartbeat_ms = 50\n"
			    "report_interval_ms = 400\n"
			    "endpoint_lease_ms = 1500\n"
			    "node_lease_ms = 2000\n"
			    "isolated_after_ms = 20000\n"
			    "entry_validity_s = 1\n"
			    "drain_limit_s = 60\n";

constexpr int kStallMs = 4000;

class StalledLeader : public ::testing::Test
{
      protected:
	/* The instances are the voters, then one entry in each of as many
	 * sites. */
	void start(size_t n_voters, size_t n_entries)
	{
		voters = n_voters;
		system.reset();
		system.reset(new System(n_voters + n_entries, n_voters, true,
					nullptr, kTiming));
		system->start();
		ASSERT_EQ(system->put_document(0, 1).status, 200);
		for (size_t i = 0; i < system->count; i++)
			ASSERT_TRUE(cluster_wait_document(
				system->cluster, i, "demo", 1, kTimeoutMs));
		leader = (size_t)system->wait_leader();
		/* Entries change from the first instance that they found to
		 * the relay of their site. */
		usleep(2000000);
	}

	/* Loses the views that are sent to an entry, or ends that. */
	void lose_views(size_t entry, bool on)
	{
		for (size_t i = 0; i < system->count; i++) {
			if (i == entry)
				continue;
			struct proxy *proxy =
				cluster_proxy(system->cluster, i, entry);
			proxy_drop(proxy, PROXY_TO_TARGET, on);
			if (!on)
				proxy_break_open(proxy);
		}
	}

	/* Stops instances for kStallMs; they go on in the given order. */
	void stall(const std::vector<size_t> &stalled)
	{
		for (size_t i : stalled)
			cluster_freeze(system->cluster, i);
		usleep(kStallMs * 1000);
		for (size_t i : stalled)
			cluster_thaw(system->cluster, i);
	}

	/* Waits until an instance other than the stopped leader leads. */
	void wait_next_leader()
	{
		EXPECT_TRUE(System::wait_for([&] {
			bool leads = false;

			for (size_t i = 0; i < voters; i++) {
				if (i == leader)
					continue;
				json_t *status =
					cluster_status(system->cluster, i);
				leads |= System::string(status, "role") ==
					 "leader";
				json_decref(status);
			}
			return leads;
		}));
	}

	/*
	 * Puts document 2 at an instance while an entry is without views. The
	 * leader, which holds the result back, stands still. The entry stands
	 * still too, so that the leader finds no report of it, and goes on
	 * once another instance leads, or late if there is none. Returns
	 * whether the change was acknowledged while the entry ran and served
	 * the document before.
	 */
	bool is_acknowledged_early(size_t at, size_t entry)
	{
		std::atomic<int64_t> acknowledged_ms{ 0 };
		uint64_t in_force = 0;
		int64_t stalled_ms;
		int64_t resumed_ms;
		Reply reply;

		lose_views(entry, true);
		cluster_freeze(system->cluster, entry);
		std::thread oper([&] {
			reply = system->put_document(at, 2, "", 8000);
			acknowledged_ms = proc_now_ms();
			if (reply.status == 200)
				in_force = system->number_in_force(entry);
		});
		usleep(200000);
		cluster_freeze(system->cluster, leader);
		stalled_ms = proc_now_ms();
		if (voters > 1)
			wait_next_leader();
		else
			usleep((kStallMs - 1000) * 1000);
		cluster_thaw(system->cluster, entry);
		while (proc_now_ms() < stalled_ms + kStallMs)
			usleep(10000);
		EXPECT_EQ(system->number_in_force(entry), 1u);
		EXPECT_EQ(acknowledged_ms, 0) << "before the leader went on";
		cluster_thaw(system->cluster, leader);
		resumed_ms = proc_now_ms();
		oper.join();
		lose_views(entry, false);
		EXPECT_TRUE(cluster_wait_document(system->cluster, entry,
						  "demo", 2, kTimeoutMs));
		printf("status %ld, %lld ms after the leader went on; the "
		       "entry served document %llu\n",
		       reply.status, (long long)(acknowledged_ms - resumed_ms),
		       (unsigned long long)in_force);
		return reply.status == 200 && in_force < 2;
	}

	/* Returns whether an instance lists another instance or an endpoint
	 * as down. */
	bool lists_as_down(size_t at, const char *list)
	{
		json_t *status = cluster_status(system->cluster, at);
		const json_t *row;
		bool down = false;
		size_t i;

		json_array_foreach(json_object_get(status, list), i, row)
			down |= System::string(row, "state") == "down";
		json_decref(status);
		return down;
	}

	/* Returns how many endpoints an instance lists as up. */
	size_t n_up(size_t at)
	{
		json_t *status = cluster_status(system->cluster, at);
		const json_t *row;
		size_t n = 0;
		size_t i;

		json_array_foreach(json_object_get(status, "endpoints"), i, row)
			n += System::string(row, "state") == "up";
		json_decref(status);
		return n;
	}

	/* Value of a counter of an instance; 0: it has none. */
	long long metric(size_t at, const std::string &name)
	{
		std::string text = system->call(at, "GET", "/metrics").body;
		size_t i = text.find("\n" + name + "{");

		if (i == std::string::npos)
			return 0;
		return atoll(text.c_str() + text.find(' ', i + 1));
	}

	std::unique_ptr<System> system;
	size_t voters = 0;
	size_t leader = 0;
};

} // namespace

TEST_F(StalledLeader, HeldChangeIsNotAcknowledgedByADeposedLeader)
{
	start(3, 3);
	EXPECT_FALSE(
		is_acknowledged_early(leader, voters + (leader + 1) % voters));
}

/* In some rounds the deposed leader's reply is lost with its connection. */
TEST_F(StalledLeader, ForwardedChangeIsNotAcknowledgedByADeposedLeader)
{
	for (int round = 0; round < 3; round++) {
		start(3, 3);
		EXPECT_FALSE(is_acknowledged_early(
			(leader + 2) % voters, voters + (leader + 1) % voters));
	}
}

TEST_F(StalledLeader, HeldChangeIsNotAcknowledgedWithoutAnElection)
{
	start(1, 2);
	EXPECT_FALSE(is_acknowledged_early(leader, voters));
}

TEST_F(StalledLeader, InstancesThatRanAreNotTakenForLost)
{
	start(1, 2);
	stall({ leader });
	EXPECT_FALSE(System::wait_for(
		[&] { return lists_as_down(leader, "instances"); }, 2000));
}

/* The entries stand still too, so that the leader finds no report of them. Some
 * of the endpoints do not announce themselves to the leader. */
TEST_F(StalledLeader, EndpointsThatRanAreNotTakenForLost)
{
	start(1, 2);
	for (int i = 0; i < 6; i++)
		system->endpoint(("b" + std::to_string(i)).c_str(),
				 { "--plain", "--service", "bookings" });
	ASSERT_TRUE(System::wait_for([&] { return n_up(leader) == 6; }));
	stall({ leader, voters, voters + 1 });
	EXPECT_FALSE(System::wait_for(
		[&] { return lists_as_down(leader, "endpoints"); }, 2000));
}

/* Guards against updates that a leader takes for lost because it did not read
 * their confirmations while it stood still. */
TEST_F(StalledLeader, UpdatesThatWereConfirmedMeanwhileAreNotSentAgain)
{
	start(1, 2);
	struct proxy *updates = cluster_proxy(system->cluster, leader, voters);
	proxy_delay(updates, 800);
	std::thread oper([&] { system->put_document(leader, 2, "", 8000); });
	usleep(300000);
	cluster_freeze(system->cluster, leader);
	usleep(kStallMs * 1000);
	proxy_delay(updates, 0);
	cluster_thaw(system->cluster, leader);
	oper.join();
	EXPECT_TRUE(cluster_wait_document(system->cluster, voters, "demo", 2,
					  kTimeoutMs));
	EXPECT_EQ(metric(leader, "dandelionspar_updates_lost"), 0);
}
