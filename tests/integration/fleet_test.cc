#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <regex>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/system.h"

/*
 * A control group of real processes under the load of a large fleet: more
 * announcements than it can process, and the loss of its leader meanwhile.
 */
namespace
{

using namespace platform;

class Fleet : public testing::Test
{
      protected:
	/* Announces endpoints on connections that stay open, as fast as they
	 * are answered, until stop is set. */
	void announce(const std::string &api, int first)
	{
		for (int i = 0; !stop; i++) {
			Socket socket;

			if (!socket.connect_to(api)) {
				usleep(20000);
				continue;
			}
			while (!stop) {
				std::string id =
					"x-" +
					std::to_string(first + i++ % 200);
				Message m;

				if (!socket.send(request(
					    "PUT",
					    "/dandelionspar/instances/" + id,
					    "control",
					    "Content-Type: application/json"
					    "\r\n",
					    announcement(id))))
					break;
				if (!socket.read(&m, 2000, true))
					break;
				answered += m.status() == 200;
				refused += m.status() == 503;
			}
		}
	}
	std::string announcement(const std::string &id)
	{
		int number = std::stoi(id.substr(2));

		return "{\"service\":\"plain\",\"address\":\"127.9." +
		       std::to_string(number / 250) + "." +
		       std::to_string(number % 250 + 1) +
		       ":80\",\"zone\":\"here\",\"version\":\"v1\","
		       "\"slots\":4,\"state\":\"ready\",\"coldLeftMs\":0,"
		       "\"born\":1000,\"seq\":" +
		       std::to_string(++sequence) + "}";
	}
	/* Returns the control instance that became leader last, by its log, and
	 * how often instances became leaders. */
	System::Instance *leader(int *terms)
	{
		System::Instance *last = nullptr;
		int highest = 0;

		*terms = 0;
		for (auto &x : system.instances) {
			std::ifstream in(x.folder + ".log");
			std::string line;

			while (std::getline(in, line)) {
				std::smatch m;

				if (!std::regex_search(
					    line, m,
					    std::regex("event=leader term="
						       "([0-9]+)")))
					continue;
				++*terms;
				if (std::stoi(m[1]) > highest) {
					highest = std::stoi(m[1]);
					last = &x;
				}
			}
		}
		return last;
	}
	int64_t acknowledge(int version, size_t instance)
	{
		int64_t start = proc_now_ms();

		EXPECT_TRUE(System::eventually([&] {
			return system.put(table(version), instance) == 200;
		})) << system.logs();
		return proc_now_ms() - start;
	}

	System system{ 3, 1 };
	std::atomic<bool> stop{ false };
	std::atomic<int> sequence{ 0 };
	std::atomic<int> answered{ 0 };
	std::atomic<int> refused{ 0 };
};

} // namespace

/*
 * Guards against a control group that more announcements than it can process
 * cost its leader, and against tables that are not acknowledged meanwhile.
 */
TEST_F(Fleet, KeepsItsLeaderUnderTooManyAnnouncements)
{
	std::vector<std::thread> threads;
	int before;
	int after;

	system.serve(table(1));
	System::Instance *led = leader(&before);
	ASSERT_NE(led, nullptr);
	for (int i = 0; i < 12; i++)
		threads.emplace_back([this, i] {
			announce(system.instances[(size_t)i % 3].api, i * 200);
		});
	usleep(2000000);
	acknowledge(2, 0);
	usleep(2000000);
	acknowledge(3, 1);
	stop = true;
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(leader(&after), led);
	EXPECT_EQ(after, before) << system.logs();
	printf("%d announcements answered, %d refused\n", answered.load(),
	       refused.load());
	EXPECT_GT(answered.load(), 1000);
}

/* Guards against a table that waits for the lease of the old leader's orders
 * after that one was killed. */
TEST_F(Fleet, TableIsAcknowledgedBeforeTheLeaseOfOrdersEnds)
{
	int terms;

	for (auto &x : system.instances) {
		std::ifstream in(x.settings);
		std::string text((std::istreambuf_iterator<char>(in)),
				 std::istreambuf_iterator<char>());
		const std::string from = "order_lease_ms = 300\n";

		in.close();
		ASSERT_NE(text.find(from), std::string::npos);
		text.replace(text.find(from), from.size(),
			     "order_lease_ms = 20000\n");
		std::ofstream(x.settings) << text;
	}
	system.serve(table(1));
	System::Instance *led = leader(&terms);
	ASSERT_NE(led, nullptr);
	size_t other = led == &system.instances[0] ? 1 : 0;
	proc_kill(led->pid);
	led->pid = 0;
	int64_t took = acknowledge(2, other);
	printf("acknowledged %lld ms after the kill\n", (long long)took);
	EXPECT_LT(took, 15000);
}
