#include <future>
#include <string>
#include <tuple>

#include "tests/platform/system.h"

/*
 * Operators' and endpoints' calls to control instances that cannot reach a
 * leader, and route tables that are sent again. Real processes of the system.
 */
using namespace platform;

namespace
{

constexpr int64_t kAtOnceMs = 500;

struct Timed {
	int status;
	int64_t took_ms;
};

Timed timed(const std::function<Message()> &send)
{
	int64_t start_ms = proc_now_ms();
	int status = send().status();

	return { status, proc_now_ms() - start_ms };
}

Message put(const std::string &address, const std::string &text)
{
	return call(address,
		    request("PUT", "/dandelionspar/config", "x",
			    "Content-Type: application/json\r\n", text),
		    6000);
}

/* Returns the number of times that a table was proposed to the group. */
size_t times_proposed(System &system, int version)
{
	std::string logs = system.whole_logs();
	std::string line =
		"event=table_proposed number=" + std::to_string(version) + " ";
	size_t n = 0;

	for (size_t at = logs.find(line); at != std::string::npos;
	     at = logs.find(line, at + 1))
		n++;
	return n;
}

enum class Role {
	FOLLOWER,
	LEADER,
};

/* Three control instances and an entry. The other two control instances are
 * stopped, so that one that had the role is left without a leader. */
class NoLeader : public ::testing::TestWithParam<Role>
{
      protected:
	System system{ 3, 1 };
	Runner runner{ "plain", "i-a" };
	size_t left = 0; /* index of the control instance that runs on */

	bool leads(size_t i)
	{
		return call(system.instances[i].metrics,
			    request("GET", "/metrics", "x"))
			       .body.find("\ndandelionspar_leader{} 1\n") !=
		       std::string::npos;
	}
	uint64_t bytes_sent()
	{
		std::string name = "\ndandelionspar_net_sent_bytes{} ";
		std::string text = call(system.instances[left].metrics,
					request("GET", "/metrics", "x"))
					   .body;
		size_t at = text.find(name);

		return at == std::string::npos
			       ? 0
			       : strtoull(text.c_str() + at + name.size(),
					  nullptr, 10);
	}
	void signal_others(int signal)
	{
		for (size_t i = 0; i < 3; i++)
			if (i != left)
				kill(system.instances[i].pid, signal);
	}
	const std::string &api()
	{
		return system.instances[left].api;
	}
	void SetUp() override
	{
		system.serve(table(4));
		ASSERT_TRUE(System::eventually([&] {
			return runner.beat_once(system.instances[0].api) == 200;
		})) << system.logs();
		ASSERT_TRUE(System::eventually([&] {
			for (left = 0; left < 3; left++)
				if (leads(left))
					return true;
			return false;
		})) << system.logs();
		if (GetParam() == Role::FOLLOWER)
			left = (left + 1) % 3;
		ASSERT_TRUE(System::eventually([&] {
			return runner.beat_once(api()) == 200;
		})) << system.logs();
	}
	void lose_contact(int for_ms = 3000)
	{
		signal_others(SIGSTOP);
		usleep(for_ms * 1000);
	}
	void TearDown() override
	{
		signal_others(SIGCONT);
	}
	Message withdraw()
	{
		return call(api(),
			    request("DELETE", "/dandelionspar/instances/i-a",
				    "control"));
	}
	void expect_refused_at_once(const std::function<Message()> &send)
	{
		for (int i = 0; i < 3; i++) {
			Timed answer = timed(send);

			EXPECT_EQ(answer.status, 503);
			EXPECT_LE(answer.took_ms, kAtOnceMs);
		}
	}
};

TEST_P(NoLeader, RouteTableIsRefusedAtOnce)
{
	lose_contact();
	expect_refused_at_once([&] { return put(api(), table(6)); });
}

TEST_P(NoLeader, ReadOfTheTableIsRefusedAtOnce)
{
	lose_contact();
	expect_refused_at_once([&] {
		return call(api(),
			    request("GET", "/dandelionspar/config", "x"));
	});
}

TEST_P(NoLeader, WithdrawalIsRefusedAtOnce)
{
	lose_contact();
	expect_refused_at_once([&] { return withdraw(); });
}

/* The time is past two election timeouts, and before isolated_after_ms. */
TEST_P(NoLeader, WithdrawalIsRefusedAtOnceBeforeTheInstanceCountsAsIsolated)
{
	lose_contact(1200);
	Timed answer = timed([&] { return withdraw(); });

	EXPECT_EQ(answer.status, 503);
	EXPECT_LE(answer.took_ms, kAtOnceMs);
}

/* The instance takes itself or a former leader for the leader. */
TEST_P(NoLeader, RouteTableIsNotSentInALoop)
{
	std::string text = table(6);
	uint64_t before;

	lose_contact();
	before = bytes_sent();
	ASSERT_GT(before, 0u);
	put(api(), text);
	EXPECT_LE(bytes_sent() - before, 20 * text.size());
}

/* The same while a change is kept for the next leader. */
TEST_P(NoLeader, RouteTableIsNotSentInALoopDuringAnElection)
{
	std::string text = table(6);
	uint64_t before;

	lose_contact(700);
	before = bytes_sent();
	ASSERT_GT(before, 0u);
	put(api(), text);
	EXPECT_LE(bytes_sent() - before, 20 * text.size());
}

/* A refusal must not outlast the loss of contact. */
TEST_P(NoLeader, RouteTableIsTakenSoonAfterTheOthersGoOn)
{
	lose_contact();
	signal_others(SIGCONT);
	EXPECT_TRUE(System::eventually(
		[&] { return put(api(), table(6)).status() == 200; }, 4000))
		<< system.logs();
}

INSTANTIATE_TEST_SUITE_P(Roles, NoLeader,
			 ::testing::Values(Role::FOLLOWER, Role::LEADER),
			 [](const auto &p) {
				 return p.param == Role::LEADER ? "FormerLeader"
								: "Follower";
			 });

/* Three control instances and two entries that have table 4. */
class Resend : public ::testing::Test
{
      protected:
	System system{ 3, 2 };

	void SetUp() override
	{
		system.serve(table(4));
		ASSERT_TRUE(System::eventually([&] {
			return system.is_ready(system.instances[4]) &&
			       system.put(table(4)) == 200;
		})) << system.logs();
	}
};

TEST_F(Resend, TableInForceIsAnsweredWithoutTheLog)
{
	size_t before = times_proposed(system, 4);

	for (size_t i = 0; i < 3; i++) {
		Timed answer = timed(
			[&] { return put(system.instances[i].api, table(4)); });

		EXPECT_EQ(answer.status, 200);
		EXPECT_LE(answer.took_ms, kAtOnceMs);
	}
	EXPECT_EQ(times_proposed(system, 4), before);
}

/* Acknowledgements of the newer table wait for the entry that is stopped. */
TEST_F(Resend, TableInForceDoesNotWaitForANewerOne)
{
	size_t before = times_proposed(system, 4);
	System::Instance &slow = system.instances[4];

	kill(slow.pid, SIGSTOP);
	std::future<Timed> newer = std::async(std::launch::async, [&] {
		return timed(
			[&] { return put(system.instances[0].api, table(6)); });
	});
	EXPECT_TRUE(System::eventually(
		[&] { return times_proposed(system, 6) > 0; }));
	usleep(50000);
	Timed answer =
		timed([&] { return put(system.instances[1].api, table(4)); });

	EXPECT_EQ(newer.wait_for(std::chrono::seconds(0)),
		  std::future_status::timeout)
		<< "the newer table was acknowledged first";
	kill(slow.pid, SIGCONT);
	EXPECT_EQ(answer.status, 200);
	EXPECT_LE(answer.took_ms, kAtOnceMs);
	EXPECT_EQ(times_proposed(system, 4), before);
	EXPECT_EQ(newer.get().status, 200);
}

} // namespace
