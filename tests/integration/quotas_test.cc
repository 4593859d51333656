#include <deque>
#include <thread>

#include "tests/platform/system.h"

/*
 * Customers with a rate, end to end: the bound over all entries together, also
 * while the leader is killed and while an entry is stopped.
 *
 * Alone: build/integration/quotas_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

constexpr size_t CONTROLS = 3;
constexpr size_t ENTRIES = 3;
constexpr unsigned TOKENS = 100; /* of a request */
constexpr double RATE = 4000;	 /* 40 requests a second */
constexpr double BURST = 4000;
constexpr double BOUND = (8 * RATE + BURST) * 1.1 + 11000;

struct Outcome {
	int64_t ms;
	int status;
	bool waited_for; /* the answer says when to return */
};

class Quotas : public ::testing::Test
{
      protected:
	System system{ CONTROLS, ENTRIES };
	Runner runner{ "plain", "i-a" };
	std::mutex lock;
	std::deque<int64_t> ran; /* requests of the limited customer */
	std::deque<Outcome> outcomes;
	std::atomic<unsigned> next{ 1 };

	void SetUp() override
	{
		std::string text = table(1);

		text.pop_back();
		system.serve(
			text +
			",\"tenants\":[{\"name\":\"limited\",\"apiKeys\":"
			"[\"key-l\"],\"unit\":\"token_stream\",\"plainTokens\":"
			"100,\"ratePerS\":" +
			std::to_string((int)RATE) +
			",\"burst\":" + std::to_string((int)BURST) +
			"},{\"name\":\"free\",\"apiKeys\":[\"key-f\"]}]}");
		for (size_t i = CONTROLS; i < system.instances.size(); i++)
			ASSERT_TRUE(System::eventually([&] {
				return system.is_ready(system.instances[i]);
			})) << system.logs();
		runner.slots = 50;
		runner.handler = [this](Socket &s, const Message &m) {
			if (m.field("X-Tenant") == "limited") {
				std::lock_guard<std::mutex> guard(lock);

				ran.push_back(proc_now_ms());
			}
			return s.send("HTTP/1.1 200 OK\r\n" + runner.seal() +
				      Runner::echo(m) +
				      "X-Server-Load: 0,0,50\r\n"
				      "Content-Length: 2\r\n\r\nok");
		};
		/* The leader is killed: the runner announces itself elsewhere.
		 */
		const std::string api =
			system.instances[leader() == &system.instances[0]].api;

		ASSERT_TRUE(System::eventually([&] {
			return runner.beat_once(api) == 200;
		})) << system.logs();
		runner.beat(api);
		for (size_t i = 0; i < ENTRIES; i++)
			ASSERT_TRUE(System::eventually([&] {
				return ask(i, "key-f").status() == 200;
			})) << system.logs();
	}
	Message ask(size_t entry, const char *key)
	{
		std::string id = std::to_string(next++);

		return call(system.instances[CONTROLS + entry].front,
			    request("GET", "/safe/" + id, "host.example",
				    "X-Attempt-Id: q" + id +
					    "\r\nX-Key: " + key +
					    "\r\nX-Token-Count: 60,40\r\n"),
			    4000);
	}
	/* Sends requests of the limited customer to all entries at a total
	 * rate, until the time. */
	void load(double per_s, int64_t until_ms)
	{
		constexpr unsigned CALLERS = 8;
		std::vector<std::thread> callers;

		for (unsigned k = 0; k < CALLERS * ENTRIES; k++)
			callers.emplace_back([&, k] {
				int64_t each = (int64_t)(1000 * CALLERS *
							 ENTRIES / per_s);
				int64_t at = proc_now_ms() +
					     each * k / (CALLERS * ENTRIES);

				for (; at < until_ms; at += each) {
					int64_t wait = at - proc_now_ms();

					if (wait > 0)
						usleep((unsigned)wait * 1000);
					Message m = ask(k % ENTRIES, "key-l");
					std::lock_guard<std::mutex> guard(lock);

					outcomes.push_back(
						{ proc_now_ms(), m.status(),
						  !m.field("Retry-After")
							   .empty() });
				}
			});
		for (auto &t : callers)
			t.join();
	}
	unsigned count(int status, int64_t from_ms, int64_t end_ms = INT64_MAX)
	{
		std::lock_guard<std::mutex> guard(lock);

		return (unsigned)std::count_if(outcomes.begin(), outcomes.end(),
					       [&](const Outcome &o) {
						       return o.status ==
								      status &&
							      o.ms >= from_ms &&
							      o.ms < end_ms;
					       });
	}
	/* The most tokens that ran in any 8 s. */
	double busiest_window()
	{
		std::lock_guard<std::mutex> guard(lock);
		size_t most = 0;
		size_t first = 0;

		for (size_t i = 0; i < ran.size(); i++) {
			while (ran[first] <= ran[i] - 8000)
				first++;
			most = std::max(most, i + 1 - first);
		}
		return (double)(most * TOKENS);
	}
	size_t n_ran(int64_t from_ms, int64_t end_ms)
	{
		std::lock_guard<std::mutex> guard(lock);

		return (size_t)std::count_if(
			ran.begin(), ran.end(), [&](int64_t at) {
				return at >= from_ms && at < end_ms;
			});
	}
	System::Instance *leader()
	{
		System::Instance *out = nullptr;
		size_t latest = 0;

		/* The one that wrote the last line about its leadership. */
		for (size_t i = 0; i < CONTROLS; i++) {
			std::ifstream in(system.instances[i].folder + ".log");
			std::string line;
			size_t term = 0;

			while (std::getline(in, line)) {
				size_t at = line.find("quotas_begin term=");

				if (at != std::string::npos)
					term = strtoull(line.c_str() + at + 18,
							nullptr, 10);
			}
			if (term > latest) {
				latest = term;
				out = &system.instances[i];
			}
		}
		return out;
	}
};

} // namespace

/* Guards against use above the bound, against limits that entries cannot use
 * together, and against refusals without a time to return. */
TEST_F(Quotas, DemandBeyondTheRateIsRefusedAndTheRateIsUsed)
{
	int64_t start = proc_now_ms();

	load(120, start + 12000);
	double used = (double)n_ran(start + 2000, start + 12000) * TOKENS /
		      (10 * RATE);
	unsigned served = count(200, start);
	unsigned refused = count(429, start);

	printf("served %u, refused %u, other %zu; rate used %.3f, busiest "
	       "window %.0f of %.0f\n",
	       served, refused, outcomes.size() - served - refused, used,
	       busiest_window(), BOUND);
	EXPECT_LE(busiest_window(), BOUND);
	EXPECT_GE(used, 0.9) << system.logs();
	EXPECT_GE(refused, 300u);
	for (const auto &o : outcomes)
		EXPECT_TRUE(o.status != 429 || o.waited_for);
	EXPECT_EQ(ask(0, "key-f").status(), 200);
}

/* Guards against grants of two leaders that add up, and against entries that do
 * not find the next leader. */
TEST_F(Quotas, BoundHoldsWhileTheLeaderIsKilled)
{
	int64_t start = proc_now_ms();
	int64_t killed = 0;
	std::thread killer([&] {
		usleep(5000000);
		System::Instance *x = leader();

		killed = proc_now_ms();
		if (x) {
			proc_kill(x->pid);
			x->pid = 0;
		}
	});

	/* 95 % of the rate. */
	load(38, start + 14000);
	killer.join();
	ASSERT_NE(killed, 0);
	unsigned before = count(200, start + 2000, killed);
	unsigned after = count(200, killed + 3000);
	unsigned total = 0;

	for (const auto &o : outcomes)
		total += o.ms >= killed + 3000;
	printf("before %u served; in 3 s after the kill %u served, %u refused, "
	       "%u without grant; then %u of %u served; busiest window %.0f of "
	       "%.0f\n",
	       before, count(200, killed, killed + 3000),
	       count(429, killed, killed + 3000),
	       count(503, killed, killed + 3000), after, total,
	       busiest_window(), BOUND);
	EXPECT_LE(busiest_window(), BOUND);
	EXPECT_GE(after, total * 95 / 100) << system.logs();
}

/* Guards against units that a stopped entry holds and uses when it goes on. */
TEST_F(Quotas, UnitsOfAStoppedEntryAreNotUsedLater)
{
	System::Instance &entry = system.instances[CONTROLS];
	int64_t start = proc_now_ms();
	std::thread stopper([&] {
		usleep(4000000);
		kill(entry.pid, SIGSTOP);
		usleep(3000000);
		kill(entry.pid, SIGCONT);
	});

	load(120, start + 12000);
	stopper.join();
	printf("busiest window %.0f of %.0f, served %u, refused %u\n",
	       busiest_window(), BOUND, count(200, start), count(429, start));
	EXPECT_LE(busiest_window(), BOUND);
	/* It serves again. */
	EXPECT_TRUE(System::eventually([&] {
		return ask(0, "key-l").status() == 200;
	})) << system.logs();
}
