#include <deque>
#include <thread>

#include "tests/platform/system.h"

/*
 * End-to-end tests of runners that name the requests a second which they take
 * from all instances together: real processes of the system, and simulated
 * callers and runners.
 *
 * Alone: build/integration/limit_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

constexpr size_t ENTRIES = 4;
/* Named by a runner, in requests a second. */
constexpr double LIMIT = 2;
/* From CONTACT_MS after it was first named, at most LIMIT_SHARE of what the
 * limit allows and LIMIT_EXTRA requests arrive in WINDOW_MS. */
constexpr int64_t CONTACT_MS = 3000;
constexpr int64_t WINDOW_MS = 4000;
constexpr double LIMIT_SHARE = 1.5;
constexpr unsigned LIMIT_EXTRA = 5;
constexpr unsigned ALLOWED =
	(unsigned)(LIMIT_SHARE * LIMIT * WINDOW_MS / 1000) + LIMIT_EXTRA;

class PlatformLimit : public ::testing::Test
{
      protected:
	System system{ 1, ENTRIES };
	std::vector<std::unique_ptr<Runner>> runners;
	std::atomic<bool> limited{ false }; /* the first runner names a limit */
	std::atomic<int64_t> named_ms{ 0 };
	std::mutex times_lock;
	std::deque<int64_t> arrivals; /* at the first runner */
	std::atomic<unsigned> next{ 1 };
	std::atomic<unsigned> running[3] = {};

	/* Starts n runners; the first one is limited from now on. */
	void start(size_t n)
	{
		system.serve(table(1));
		for (size_t i = 1; i < system.instances.size(); i++)
			ASSERT_TRUE(System::eventually([&] {
				return system.is_ready(system.instances[i]);
			})) << system.logs();
		for (size_t i = 0; i < n; i++)
			add_runner(i);
		limited = true;
	}
	void add_runner(size_t i)
	{
		runners.push_back(std::make_unique<Runner>(
			"plain", "i-" + std::to_string(i)));
		Runner *r = runners.back().get();

		r->slots = 1;
		r->handler = [this, r, i](Socket &s, const Message &m) {
			unsigned busy = running[i]++;

			usleep(30000);
			bool open = answer(*r, i == 0, busy, s, m);
			running[i]--;
			return open;
		};
		system.add(*r, "/safe/probe");
	}
	bool answer(Runner &r, bool first, unsigned busy, Socket &s,
		    const Message &m)
	{
		std::string fields = r.seal() + Runner::echo(m) +
				     "X-Server-Load: " + std::to_string(busy) +
				     ",0,1\r\n";
		bool stream = m.target().rfind("/flow/", 0) == 0;

		if (first) {
			std::lock_guard<std::mutex> guard(times_lock);

			arrivals.push_back(proc_now_ms());
		}
		if (first && limited) {
			int64_t none = 0;

			fields += "Server-Limit: " + std::to_string(LIMIT) +
				  "\r\n";
			named_ms.compare_exchange_strong(none, proc_now_ms());
		}
		if (!stream)
			return s.send("HTTP/1.1 200 OK\r\n" + fields +
				      "Content-Length: 2\r\n\r\nok");
		return s.send("HTTP/1.1 200 OK\r\nContent-Type: "
			      "text/event-stream\r\n" +
			      fields +
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "13\r\nid: 1\ndata: piece\n\n\r\n0\r\n\r\n");
	}
	/* The most requests that the first runner got in a window that ends
	 * CONTACT_MS after it named its limit, or later. */
	unsigned busiest_window()
	{
		std::lock_guard<std::mutex> guard(times_lock);
		unsigned most = 0;

		for (int64_t end : arrivals) {
			if (!named_ms || end < named_ms + CONTACT_MS)
				continue;
			most = std::max(
				most,
				(unsigned)std::count_if(
					arrivals.begin(), arrivals.end(),
					[&](int64_t at) {
						return at > end - WINDOW_MS &&
						       at <= end;
					}));
		}
		return most;
	}
	size_t n_arrivals()
	{
		std::lock_guard<std::mutex> guard(times_lock);

		return arrivals.size();
	}
	/* Sends requests to all entries for a span, more than two runners can
	 * serve without delay. */
	void load(int64_t span_ms, const std::string &path, unsigned *sent,
		  unsigned *served, unsigned *refused)
	{
		int64_t until_ms = proc_now_ms() + span_ms;
		std::atomic<unsigned> n{ 0 }, good{ 0 }, turned_away{ 0 };
		std::vector<std::thread> callers;

		for (size_t i = 0; i < 2 * ENTRIES; i++)
			callers.emplace_back([&, i] {
				while (proc_now_ms() < until_ms) {
					Message m = ask(i, path);

					n++;
					good += m.status() == 200 && m.complete;
					turned_away +=
						m.status() == 503 &&
						!m.field("Retry-After").empty();
					usleep(70000);
				}
			});
		for (auto &t : callers)
			t.join();
		*sent = n;
		*served = good;
		*refused = turned_away;
	}
	Message ask(size_t entry, const std::string &path)
	{
		std::string id = std::to_string(next++);

		return call(system.instances[1 + entry % ENTRIES].front,
			    request("GET", path + id, "host.example",
				    "X-Attempt-Id: l" + id + "\r\n"));
	}
};

} // namespace

TEST_F(PlatformLimit, NamedLimitHoldsForAllInstancesTogether)
{
	unsigned sent, served, refused;

	start(3);
	load(10000, "/safe/", &sent, &served, &refused);
	EXPECT_GE(sent, 200u);
	EXPECT_LE(busiest_window(), ALLOWED) << system.logs();
	EXPECT_GE(busiest_window(), 4u); /* it takes part of the load */
	/* The others take what it does not. */
	EXPECT_GE(served, sent * 98 / 100);
}

TEST_F(PlatformLimit, NamedLimitHoldsForStreams)
{
	unsigned sent, served, refused;

	start(3);
	load(10000, "/flow/", &sent, &served, &refused);
	EXPECT_LE(busiest_window(), ALLOWED) << system.logs();
	EXPECT_GE(served, sent * 98 / 100);
}

TEST_F(PlatformLimit, RequestsBeyondTheLimitOfTheOnlyRunnerAreToldWhenToReturn)
{
	unsigned sent, served, refused;

	start(1);
	load(10000, "/safe/", &sent, &served, &refused);
	EXPECT_LE(busiest_window(), ALLOWED) << system.logs();
	EXPECT_GE(served, (unsigned)LIMIT * 10 / 2);
	EXPECT_EQ(served + refused, sent);
}

TEST_F(PlatformLimit, LimitEndsWithTheAnswersThatNameIt)
{
	unsigned sent, served, refused;

	start(3);
	load(5000, "/safe/", &sent, &served, &refused);
	limited = false;
	EXPECT_TRUE(System::eventually([&] {
		size_t before = n_arrivals();

		load(1000, "/safe/", &sent, &served, &refused);
		return n_arrivals() - before >= 10;
	})) << system.logs();
}
