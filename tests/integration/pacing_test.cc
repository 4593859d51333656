#include <thread>

#include "tests/platform/system.h"

/*
 * End-to-end tests of prompts paced by coordinators: real processes of the
 * system, more entries than prompts that an engine may prefill at once.
 *
 * Alone: build/integration/pacing_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

constexpr size_t ENTRIES = 10;

class Pacing : public ::testing::Test
{
      protected:
	System system{ 1, ENTRIES };
	Runner a{ "engine", "i-a", true };
	Runner b{ "engine", "i-b", true };
	std::atomic<unsigned> next{ 1 };

	void SetUp() override
	{
		system.serve(table(1, "", model("m1") + "," + model("m2")));
		for (Runner *r : { &a, &b }) {
			r->handler = [r](Socket &s, const Message &m) {
				return s.send(
					"HTTP/1.1 200 OK\r\nContent-Type: "
					"text/event-stream\r\n" +
					r->seal() + Runner::echo(m) +
					"Transfer-Encoding: chunked\r\n\r\n"
					"13\r\nid: 1\ndata: piece\n\n\r\n"
					"0\r\n\r\n");
			};
		}
		a.beat(system.instances[0].api);
		b.beat(system.instances[0].api);
		for (size_t i = 1; i <= ENTRIES; i++)
			ASSERT_TRUE(System::eventually([&] {
				return ask(i).status() == 200;
			})) << system.logs();
	}
	Message ask(size_t entry)
	{
		std::string id = "p" + std::to_string(next++);

		return call(system.instances[entry].front,
			    request("POST", "/model/x", "host.example",
				    "X-Attempt-Id: " + id +
					    "\r\nX-Model: m1\r\n"
					    "X-Token-Count: 1460,160\r\n"));
	}
	std::string whole_log(size_t i)
	{
		std::ifstream in(system.instances[i].folder + ".log");

		return std::string((std::istreambuf_iterator<char>(in)),
				   std::istreambuf_iterator<char>());
	}
	/* The entry that coordinates the model; 0 if no answer was logged. */
	size_t coordinator()
	{
		for (size_t i = 1; i <= ENTRIES; i++) {
			std::string log = whole_log(i);
			size_t at = log.find("outcome=answered coordinator=");

			for (size_t k = 1;
			     at != std::string::npos && k <= ENTRIES; k++)
				if (log.find("=" + system.instances[k].id + " ",
					     at) == at + 28)
					return k;
		}
		return 0;
	}
};

} // namespace

/* Guards against requests that depend on a coordinator: it is killed while the
 * others still know it, and all are served on. */
TEST_F(Pacing, RequestsAreServedOnWithoutTheirCoordinator)
{
	size_t killed = 0;

	ASSERT_TRUE(System::eventually([&] {
		ask(1);
		ask(2);
		return (killed = coordinator()) != 0;
	})) << system.logs();
	proc_kill(system.instances[killed].pid);
	system.instances[killed].pid = 0;
	for (int round = 0; round < 5; round++) {
		std::atomic<unsigned> served{ 0 };
		std::vector<std::thread> callers;

		for (size_t i = 1; i <= ENTRIES; i++)
			if (i != killed)
				callers.emplace_back([&, i] {
					served += ask(i).status() == 200;
				});
		for (auto &t : callers)
			t.join();
		EXPECT_EQ(served, ENTRIES - 1) << system.logs();
		usleep(200000);
	}
	/* Another one takes the model over. */
	EXPECT_TRUE(System::eventually([&] {
		size_t i = killed == 1 ? 2 : 1;

		ask(i);
		std::string log = whole_log(i);
		size_t at = log.rfind(" outcome=answered coordinator=");
		size_t own = log.rfind(" outcome=own coordinator=");
		size_t late = log.rfind(" outcome=late coordinator=");
		size_t last = std::max(at + 1, own + 1);

		return last && (late == std::string::npos || last > late);
	})) << system.logs();
}
