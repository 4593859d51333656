#include "system.h"

/* Tests of documents (team configuration) with concurrent operators, lost
 * replies, killed or frozen instances, and network partitions. */

/* Compare-and-set: of several documents with the same number exactly one is
 * accepted, and the others are refused and learn the number in force. */
TEST(Documents, RacingOperatorsGetOneWinner)
{
	System system;

	system.start();
	for (uint64_t number = 1; number <= 10; number++) {
		Reply replies[3];
		std::vector<std::thread> operators;

		for (size_t i = 0; i < 3; i++)
			operators.emplace_back([&, i] {
				std::string name = "m" +
						   std::to_string(number) +
						   "-" + std::to_string(i);
				replies[i] = system.put_document(
					i, number, System::model(name.c_str()));
			});
		for (std::thread &thread : operators)
			thread.join();
		int accepted = 0;
		size_t winner = 0;
		for (size_t i = 0; i < 3; i++) {
			accepted += replies[i].status == 200;
			if (replies[i].status == 200)
				winner = i;
			if (replies[i].status != 200) {
				EXPECT_EQ(replies[i].status, 409)
					<< replies[i].body;
			}
		}
		EXPECT_EQ(accepted, 1) << "number " << number;
		/* The winner's document is in force everywhere, no other. */
		for (size_t i = 0; i < 3; i++)
			EXPECT_TRUE(System::wait_for([&] {
				std::string text =
					system.call(i, "GET",
						    "/v1/documents/demo")
						.body;
				std::string name =
					"m" + std::to_string(number) + "-";

				return text.find(name +
						 std::to_string(winner)) !=
					       std::string::npos &&
				       text.find(name +
						 std::to_string((winner + 1) %
								3)) ==
					       std::string::npos;
			})) << "number "
			    << number << " at " << i;
	}
}

/* A resend after a lost reply, with the same number and content, gets the first
 * result, also through another instance and after later changes. */
TEST(Documents, ResendGetsTheFirstResult)
{
	System system;

	system.start();
	Reply first = system.put_document(0, 1);
	ASSERT_EQ(first.status, 200) << first.body;
	EXPECT_EQ(system.put_document(1, 1).body, first.body);
	ASSERT_EQ(system.put_document(2, 2, System::model("b")).status, 200);
	EXPECT_EQ(system.put_document(1, 1).body, first.body);
	EXPECT_EQ(system.put_document(0, 1, System::model("c")).status, 409);
	EXPECT_EQ(system.put_document(0, 4).status, 409);
}

/* Durability: after all processes were killed at once, an accepted document is
 * in force, and no older one, as soon as the instances serve again. */
TEST(Documents, SurvivesAKillOfAllInstances)
{
	System system;

	system.start();
	for (uint64_t number = 1; number <= 3; number++) {
		ASSERT_EQ(system.put_document(number % 3, number).status, 200);
		for (size_t i = 0; i < 3; i++)
			cluster_kill(system.cluster, i);
		system.start();
		for (size_t i = 0; i < 3; i++)
			EXPECT_EQ(system.number_in_force(i), number);
	}
}

/* After a restart that follows hundreds of changes, the snapshot, the log and
 * the document history are restored, and the resend of an old document still
 * gets its first result. */
TEST(Documents, RestartsAfterHundredsOfChanges)
{
	System system;
	Reply hundredth;

	system.start();
	for (uint64_t number = 1; number <= 300; number++) {
		Reply reply = system.put_document(number % 3, number);

		ASSERT_EQ(reply.status, 200) << reply.body;
		if (number == 100)
			hundredth = reply;
	}
	for (size_t i = 0; i < 3; i++)
		cluster_kill(system.cluster, i);
	system.start();
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(cluster_wait_document(system.cluster, i, "demo",
						  300, kTimeoutMs));
	EXPECT_EQ(system.put_document(0, 100).body, hundredth.body);
}

/* Documents never revert while leaders are killed and frozen: the number in
 * force at each entry never decreases. */
TEST(Documents, NumberInForceNeverFalls)
{
	System system(4, 3);
	std::vector<uint64_t> seen(4);
	std::atomic<bool> done{ false };

	system.start();
	std::thread observer([&] {
		while (!done) {
			for (size_t i = 0; i < 4; i++) {
				uint64_t now = system.number_in_force(i);

				if (!now)
					continue; /* killed or starting */
				EXPECT_GE(now, seen[i]) << "instance " << i;
				seen[i] = now;
			}
			usleep(10000);
		}
	});
	for (uint64_t number = 1; number <= 4; number++) {
		/* The same document is sent again until it is accepted: the
		 * answer may be an error while the leader changes. */
		ASSERT_TRUE(System::wait_for([&] {
			return system.put_document(3, number).status == 200;
		}));
		int leader = system.wait_leader();
		ASSERT_GE(leader, 0);
		if (number % 2) {
			cluster_kill(system.cluster, (size_t)leader);
			ASSERT_TRUE(System::wait_for([&] {
				return system.put_document(3, number).status ==
				       200;
			}));
			cluster_start(system.cluster, (size_t)leader);
		} else {
			cluster_freeze(system.cluster, (size_t)leader);
			EXPECT_TRUE(System::wait_for([&] {
				return system.put_document(3, number).status ==
				       200;
			}));
			cluster_thaw(system.cluster, (size_t)leader);
		}
		ASSERT_TRUE(
			cluster_wait_all_serving(system.cluster, kTimeoutMs));
	}
	for (size_t i = 0; i < 4; i++)
		EXPECT_TRUE(cluster_wait_document(system.cluster, i, "demo", 4,
						  kTimeoutMs));
	done = true;
	observer.join();
}

/* Minority side of a partition: a voter that is cut off accepts no document,
 * reports that it is isolated, and catches up once it is connected again. */
TEST(Documents, IsolatedVoterAcceptsNothing)
{
	System system(3, 3, true);

	system.start();
	ASSERT_EQ(system.put_document(0, 1).status, 200);
	int leader = system.wait_leader();
	ASSERT_GE(leader, 0);
	size_t cut = (size_t)leader;
	size_t other = (cut + 1) % 3;
	cluster_isolate(system.cluster, cut, true);
	ASSERT_TRUE(System::wait_for(
		[&] { return system.put_document(other, 2).status == 200; }));
	EXPECT_NE(system.put_document(cut, 2, System::model("x"), 3000).status,
		  200);
	EXPECT_TRUE(System::wait_for([&] {
		json_t *status = cluster_status(system.cluster, cut);
		bool isolated =
			System::string(status, "readiness") == "isolated";

		json_decref(status);
		return isolated;
	})) << "the cut-off instance does not say that it is isolated";
	EXPECT_EQ(system.number_in_force(cut), 1u);
	cluster_isolate(system.cluster, cut, false);
	EXPECT_TRUE(cluster_wait_document(system.cluster, cut, "demo", 2,
					  kTimeoutMs));
	EXPECT_EQ(system.put_document(cut, 3).status, 200);
}
