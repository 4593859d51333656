#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include "tests/platform/system.h"

/*
 * The memory that an entry owes to the bytes of others: bodies of requests,
 * answers, and output that callers do not read. The platform ends a process
 * that uses more than its machine has.
 *
 * Run alone: build/integration/memory_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

constexpr size_t MACHINE_KB = 260 << 10;
/* What may stay in use after all callers have left. */
constexpr size_t REST_KB = 100 << 10;
constexpr int CALLERS = 60;

size_t status_kb(const System::Instance &x, const std::string &name)
{
	std::ifstream in("/proc/" + std::to_string(x.pid) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (!line.compare(0, name.size(), name))
			return strtoul(line.c_str() + name.size() + 1, nullptr,
				       10);
	return SIZE_MAX;
}

class Memory : public ::testing::Test
{
      protected:
	System system{ 1, 1 };
	Runner a{ "plain", "i-a" }, b{ "plain", "i-b" };
	std::atomic<bool> over{ false };
	std::atomic<int> ran{ 0 }, last_id{ 0 };
	size_t answer_bytes = 2;
	int work_ms = 300;

	void SetUp() override
	{
		std::string text = table(1), limit = "\"maxBodyBytes\":4096";

		text.replace(text.find(limit), limit.size(),
			     "\"maxBodyBytes\":4194304");
		system.serve(text);
		for (Runner *r : { &a, &b }) {
			r->slots = 64;
			r->handler = [this, r](Socket &s, const Message &m) {
				return serve(*r, s, m);
			};
		}
		system.add(a, "/safe/probe");
		system.add(b, "/safe/probe");
	}
	void TearDown() override
	{
		over = true;
		if (peak_kb() == SIZE_MAX)
			return; /* ended by the test */
		std::cout << "peak " << (peak_kb() >> 10) << " MB, now "
			  << (resident_kb() >> 10) << " MB\n";
	}
	/* Streams have no end; answers to /once/ are large; others are small.
	 */
	bool serve(Runner &r, Socket &s, const Message &m)
	{
		std::string head = r.seal() + Runner::echo(m);

		if (!m.target().compare(0, 5, "/flow"))
			return stream(s, head);
		if (m.body.size() > 1000 || m.target().find("/big") == 5) {
			ran++;
			usleep(work_ms * 1000);
			return s.send(answer(200, head,
					     std::string(answer_bytes, 'a')));
		}
		return s.send(answer(200, head, "ok"));
	}
	bool stream(Socket &s, const std::string &head)
	{
		std::string data(4000, 'd');

		if (!s.send("HTTP/1.1 200 OK\r\n" + head +
			    "Transfer-Encoding: chunked\r\n\r\n"))
			return false;
		for (int id = 1; !over; id++) {
			std::string event = "id: " + std::to_string(id) +
					    "\ndata: " + data + "\n\n";
			char size[16];

			snprintf(size, sizeof(size), "%zx\r\n", event.size());
			if (!s.send(size + event + "\r\n"))
				return false;
		}
		return false;
	}
	std::string post(const std::string &path, const std::string &id,
			 const std::string &body, int deadline_ms = 8000)
	{
		return request("POST", path, "host.example",
			       "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " +
				       std::to_string(deadline_ms) + "\r\n",
			       body);
	}
	std::string next_id()
	{
		return "n" + std::to_string(++last_id);
	}
	/* Sends small requests for some time; returns how many failed. */
	int failures_of_others(int for_ms)
	{
		int64_t until = proc_now_ms() + for_ms;
		int failed = 0;

		for (int i = 0; proc_now_ms() < until; i++) {
			Message m = call(
				system.entry().front,
				post("/safe/x", "o" + std::to_string(i), "x"),
				3000);

			failed += m.status() != 200;
			usleep(20000);
		}
		return failed;
	}
	size_t peak_kb()
	{
		return status_kb(system.entry(), "VmHWM");
	}
	size_t resident_kb()
	{
		return status_kb(system.entry(), "VmRSS");
	}
};

class MemoryStreams : public Memory, public ::testing::WithParamInterface<int>
{
};

} // namespace

/* Guards against an entry that runs out of memory with events for callers that
 * do not read (parameter 0) or read this many KB/s: only each caller's output
 * had a limit, not their sum. */
TEST_P(MemoryStreams, CallersThatDoNotReadDoNotFillTheMemory)
{
	std::vector<Socket> callers(CALLERS);
	std::vector<std::thread> readers;
	std::atomic<bool> left{ false };

	for (auto &c : callers) {
		ASSERT_TRUE(c.connect_to(system.entry().front));
		ASSERT_TRUE(c.send(post("/flow/x", next_id(), "x")));
	}
	for (auto &c : callers)
		if (GetParam())
			readers.emplace_back([&c, &left] {
				std::vector<char> bytes(GetParam() * 1024 / 20);

				while (!left && recv(c.fd, bytes.data(),
						     bytes.size(), 0) > 0)
					usleep(50000);
			});
	EXPECT_EQ(failures_of_others(5000), 0) << system.logs();
	left = true;
	for (auto &r : readers)
		r.join();
	for (auto &c : callers)
		c.shut();
	EXPECT_LE(peak_kb(), MACHINE_KB);
	EXPECT_TRUE(System::eventually([&] { return resident_kb() < REST_KB; },
				       5000))
		<< resident_kb();
}

INSTANTIATE_TEST_SUITE_P(KbPerSecond, MemoryStreams,
			 ::testing::Values(0, 20, 400));

/* Guards against an entry that runs out of memory with bodies within the limits
 * of the table. What does not fit is refused, and has not run. */
TEST_F(Memory, BodiesDoNotFillTheMemory)
{
	std::string body(4190000, 'b');
	std::vector<std::thread> callers;
	std::atomic<int> served{ 0 }, refused{ 0 };

	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back([&, i] {
			Message m = call(
				system.entry().front,
				post("/once/x", "b" + std::to_string(i), body));

			served += m.status() == 200;
			refused += m.status() == 503 &&
				   !m.field("Retry-After").empty();
		});
	EXPECT_EQ(failures_of_others(1500), 0);
	for (auto &c : callers)
		c.join();
	EXPECT_LE(peak_kb(), MACHINE_KB);
	EXPECT_EQ(served + refused, CALLERS) << system.logs();
	EXPECT_EQ(served, ran);
	/* A third of the memory is used for them at least. */
	EXPECT_GE(served, 20);
}

/* The same for large answers to callers that do not read them. */
TEST_F(Memory, AnswersThatAreNotReadDoNotFillTheMemory)
{
	std::vector<Socket> callers(CALLERS);

	answer_bytes = 7000000;
	for (auto &c : callers) {
		ASSERT_TRUE(c.connect_to(system.entry().front));
		ASSERT_TRUE(c.send(post("/safe/big", next_id(), "x")));
	}
	EXPECT_EQ(failures_of_others(4000), 0);
	for (auto &c : callers)
		c.shut();
	EXPECT_LE(peak_kb(), MACHINE_KB);
	EXPECT_TRUE(System::eventually([&] { return resident_kb() < REST_KB; },
				       5000))
		<< resident_kb();
}

/* Bodies, answers, streams and bodies without end in their length, all at once:
 * the sum has a limit too. */
TEST_F(Memory, AllKindsAtOnceDoNotFillTheMemory)
{
	std::string body(4190000, 'b');
	std::vector<Socket> streams(30), answers(30), uploads(30);
	std::vector<std::thread> callers;

	answer_bytes = 7000000;
	for (auto &c : streams)
		ASSERT_TRUE(c.connect_to(system.entry().front) &&
			    c.send(post("/flow/x", next_id(), "x")));
	for (auto &c : answers)
		ASSERT_TRUE(c.connect_to(system.entry().front) &&
			    c.send(post("/safe/big", next_id(), "x")));
	for (auto &c : uploads)
		callers.emplace_back([this, &c, &body] {
			std::string text = post("/safe/x", next_id(), body);

			/* All but the last byte. */
			if (c.connect_to(system.entry().front))
				c.send(text.substr(0, text.size() - 1));
		});
	EXPECT_EQ(failures_of_others(3000), 0);
	for (auto &c : callers)
		c.join();
	EXPECT_LE(peak_kb(), MACHINE_KB);
	for (auto *list : { &streams, &answers, &uploads })
		for (auto &c : *list)
			c.shut();
	EXPECT_TRUE(System::eventually([&] { return resident_kb() < REST_KB; },
				       5000))
		<< resident_kb();
}

/* Guards against a planned stop that ends the process while an answer is still
 * being written to a slow caller. */
TEST_F(Memory, PlannedStopWaitsForOutput)
{
	Socket caller;
	std::string read;
	std::vector<char> bytes(64 << 10);
	ssize_t n;

	answer_bytes = 7000000;
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(post("/safe/big", "a1", "x")));
	/* 3.2 MB/s: some 2.2 s, of the 4 s that a stop may take. */
	usleep(600000);
	kill(system.entry().pid, SIGTERM);
	while ((n = recv(caller.fd, bytes.data(), bytes.size(), 0)) > 0) {
		read.append(bytes.data(), (size_t)n);
		usleep(20000);
	}
	EXPECT_GE(read.size(), answer_bytes);
	/* It ends soon after the last byte. */
	EXPECT_TRUE(System::eventually(
		[&] {
			siginfo_t info = {};

			waitid(P_PID, (id_t)system.entry().pid, &info,
			       WEXITED | WNOHANG | WNOWAIT);
			return info.si_pid != 0;
		},
		3000));
}

/* Faulty engines and faulty callers of the control address, all at once: the
 * leader stays within its memory, reads the sound engine's state, takes a
 * document and gives orders. */
TEST(MemoryControl, EndlessReportsOrdersAndBodiesDoNotFillTheMemory)
{
	System system{ 1, 1 };
	std::vector<std::unique_ptr<Runner>> faulty;
	std::vector<Socket> callers(40);
	std::vector<std::thread> uploads;
	Runner sound("engine", "i-sound", true);
	const std::string &api = system.instances[0].api;

	system.serve(table(1, "", model("m1") + "," + model("m2")));
	for (int i = 0; i < 24; i++) {
		faulty.push_back(std::make_unique<Runner>(
			"engine", "i-" + std::to_string(i), true));
		(i % 2 ? faulty.back()->endless_reports
		       : faulty.back()->endless_orders) = true;
		faulty.back()->beat(api);
	}
	for (auto &c : callers)
		uploads.emplace_back([&c, &api] {
			if (c.connect_to(api))
				c.send("PUT /dandelionspar/config HTTP/1.1\r\n"
				       "Host: x\r\nContent-Length: 8000000"
				       "\r\n\r\n" +
				       std::string(7999999, ' '));
		});
	sleep(3);
	sound.beat(api);
	EXPECT_TRUE(System::eventually([&] { return sound.reports > 1; }))
		<< system.logs();
	EXPECT_TRUE(System::eventually([&] {
		return system.put(table(2, "", model("m3"))) == 200;
	})) << system.logs();
	/* An engine whose answer has no end may have carried out the order. */
	faulty.push_back(nullptr);
	EXPECT_TRUE(System::eventually([&] {
		for (auto &engine : faulty) {
			Runner &r = engine ? *engine : sound;
			std::lock_guard<std::mutex> guard(r.lock);

			if (r.holds.count("m3"))
				return true;
		}
		return false;
	})) << system.logs();
	EXPECT_LE(status_kb(system.instances[0], "VmHWM"), MACHINE_KB);
	std::cout << "peak " << (status_kb(system.instances[0], "VmHWM") >> 10)
		  << " MB\n";
	for (auto &u : uploads)
		u.join();
}
