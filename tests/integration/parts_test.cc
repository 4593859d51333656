#include <set>
#include <thread>

#include "tests/platform/system.h"

/*
 * End-to-end tests of prompt parts and requests that crash the runners that
 * begin to answer them: real processes of the system, and simulated callers and
 * runners.
 *
 * Alone: build/integration/parts_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

const std::string SHARED = "a1b2:300";
const std::string FAULTY = "bad0:120";
/* A runner is back this long after its crash. */
constexpr int64_t RESTART_MS = 600;
/* From this time after the fifth crash on, LATE_RUNS_MAX requests with the part
 * may reach runners. */
constexpr int64_t CONTACT_MS = 3000;
constexpr unsigned LATE_RUNS_MAX = 3;

std::string chunk(const std::string &text)
{
	char size[32];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

std::string stream_head(const Runner &r, const Message &m)
{
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
	       r.seal() + Runner::echo(m) +
	       "Transfer-Encoding: chunked\r\n\r\n";
}

bool has_faulty_part(const Message &m)
{
	return m.field("X-Prompt-Prefix").find(FAULTY) != std::string::npos;
}

/* Counts of the requests of one kind. */
struct Counts {
	std::atomic<unsigned> sent{ 0 }, served{ 0 }, refused{ 0 }, broken{ 0 },
		failed{ 0 }, no_retry_after{ 0 };

	std::string text() const
	{
		return "sent " + std::to_string(sent) + " served " +
		       std::to_string(served) + " refused " +
		       std::to_string(refused) + " broken " +
		       std::to_string(broken) + " failed " +
		       std::to_string(failed);
	}
};

/* One control instance, three entries and six runners, which crash on a faulty
 * part as long as `fault` is set. */
class PlatformParts : public ::testing::Test
{
      protected:
	System system{ 1, 3 };
	std::vector<std::unique_ptr<Runner>> runners;
	std::atomic<bool> fault{ true };
	std::mutex times_lock;
	std::vector<int64_t> run_times, crash_times; /* of the faulty part */
	std::atomic<unsigned> next{ 1 };
	std::atomic<bool> ending{ false };
	std::vector<std::thread> threads;

	void SetUp() override
	{
		system.serve(table(1));
		for (size_t i = 1; i < system.instances.size(); i++)
			ASSERT_TRUE(System::eventually([&] {
				return system.is_ready(system.instances[i]);
			})) << system.logs();
		for (int i = 0; i < 6; i++)
			add_runner("i-" + std::to_string(i));
		threads.emplace_back([this] { revive_all(); });
	}
	void TearDown() override
	{
		ending = true;
		for (auto &t : threads)
			t.join();
	}
	void add_runner(const std::string &id)
	{
		runners.push_back(std::make_unique<Runner>("plain", id));
		Runner *r = runners.back().get();

		r->handler = [this, r](Socket &s, const Message &m) {
			return answer_stream(*r, s, m);
		};
		system.add(*r, "/flow/probe");
	}
	bool answer_stream(Runner &r, Socket &s, const Message &m)
	{
		s.send(stream_head(r, m));
		if (has_faulty_part(m))
			note_time(&run_times);
		if (fault && has_faulty_part(m)) {
			usleep(30000);
			r.crash();
			note_time(&crash_times);
			return false;
		}
		for (int i = 1; i <= 3; i++) {
			usleep(20000);
			if (r.is_down || !s.send(chunk(event(i))))
				return false;
		}
		return s.send("0\r\n\r\n");
	}
	void note_time(std::vector<int64_t> *times)
	{
		std::lock_guard<std::mutex> guard(times_lock);

		times->push_back(proc_now_ms());
	}
	size_t n_runs()
	{
		std::lock_guard<std::mutex> guard(times_lock);

		return run_times.size();
	}
	/* Runs of the faulty part that began too late after the fifth crash. */
	size_t n_late_runs()
	{
		std::lock_guard<std::mutex> guard(times_lock);

		if (crash_times.size() < 5)
			return 0;
		return (size_t)std::count_if(
			run_times.begin(), run_times.end(), [&](int64_t at) {
				return at > crash_times[4] + CONTACT_MS;
			});
	}
	void revive_all()
	{
		std::map<Runner *, int64_t> down;

		while (!ending) {
			usleep(20000);
			for (auto &r : runners) {
				if (!r->is_down)
					continue;
				int64_t &since = down[r.get()];

				if (!since)
					since = proc_now_ms();
				if (proc_now_ms() - since < RESTART_MS)
					continue;
				since = 0;
				r->restart("i-new" + std::to_string(next++));
			}
		}
	}
	unsigned crashes()
	{
		unsigned n = 0;

		for (auto &r : runners)
			n += r->crashes;
		return n;
	}
	/* Sends one request to an entry, with parts of its own at the end. */
	Message send(size_t entry, const std::string &parts, Counts *counts)
	{
		unsigned id = next++;
		std::string fields = "X-Attempt-Id: r" + std::to_string(id) +
				     "\r\nX-Prompt-Prefix: " + parts + ",e0" +
				     std::to_string(id) + ":9\r\n";
		Message m = call(system.instances[1 + entry % 3].front,
				 request("POST", "/flow/x", "host.example",
					 fields, "ask"));

		counts->sent++;
		if (m.status() == 200 && m.complete)
			counts->served++;
		else if (m.status() == 503)
			counts->refused++;
		else if (m.status() == 200)
			counts->broken++;
		else
			counts->failed++;
		if (m.status() == 503 && m.field("Retry-After").empty())
			counts->no_retry_after++;
		return m;
	}
	/* Sends requests one after the other until the end of the span. */
	void send_all(size_t entry, const std::string &parts, int pause_ms,
		      int64_t until_ms, Counts *counts)
	{
		while (proc_now_ms() < until_ms) {
			send(entry++, parts, counts);
			usleep((useconds_t)pause_ms * 1000);
		}
	}
	/* Runs three sound callers and one with the faulty part. */
	void run_for(int64_t span_ms, Counts *sound, Counts *faulty)
	{
		int64_t until_ms = proc_now_ms() + span_ms;
		std::vector<std::thread> callers;

		for (size_t i = 0; i < 3; i++)
			callers.emplace_back([=] {
				send_all(i,
					 SHARED + ",c" + std::to_string(i) +
						 ":40",
					 20, until_ms, sound);
			});
		callers.emplace_back([=] {
			send_all(0, SHARED + "," + FAULTY, 60, until_ms,
				 faulty);
		});
		for (auto &t : callers)
			t.join();
	}
	std::string whole_log(size_t i)
	{
		std::ifstream in(system.instances[i].folder + ".log");

		return std::string((std::istreambuf_iterator<char>(in)),
				   std::istreambuf_iterator<char>());
	}
	bool any_crash_reported()
	{
		for (size_t i = 1; i < system.instances.size(); i++)
			if (whole_log(i).find("parts: event=crash") !=
			    std::string::npos)
				return true;
		return false;
	}
};

/* The same with runners that crash on one request, whoever sends it. */
class PlatformRequests : public PlatformParts
{
      protected:
	std::string faulty = "/safe/faulty?page=2";
	std::string faulty_body;

	void SetUp() override
	{
		PlatformParts::SetUp();
		for (auto &r : runners) {
			Runner *p = r.get();

			p->handler = [this, p](Socket &s, const Message &m) {
				return answer(*p, s, m);
			};
		}
	}
	bool answer(Runner &r, Socket &s, const Message &m)
	{
		bool is_faulty = m.target() == faulty && m.body == faulty_body;
		bool stream = m.target().rfind("/flow/", 0) == 0;

		if (is_faulty)
			note_time(&run_times);
		if (stream)
			s.send(stream_head(r, m));
		usleep(30000);
		if (is_faulty && fault) {
			r.crash();
			note_time(&crash_times);
			return false;
		}
		if (r.is_down)
			return false;
		if (stream)
			return s.send(chunk(event(1)) + "0\r\n\r\n");
		return s.send("HTTP/1.1 200 OK\r\n" + r.seal() +
			      Runner::echo(m) + "Content-Length: 2\r\n\r\nok");
	}
	/* Runs of the faulty request that began too late after the third
	 * crash. */
	size_t n_late_runs()
	{
		std::lock_guard<std::mutex> guard(times_lock);

		if (crash_times.size() < 3)
			return 0;
		return (size_t)std::count_if(
			run_times.begin(), run_times.end(), [&](int64_t at) {
				return at > crash_times[2] + CONTACT_MS;
			});
	}
	void ask(size_t entry, const std::string &method,
		 const std::string &target, const std::string &body, Counts *c)
	{
		Message m =
			call(system.instances[1 + entry % 3].front,
			     request(method, target, "host.example",
				     "X-Attempt-Id: q" +
					     std::to_string(next++) + "\r\n",
				     body));

		c->sent++;
		if (m.status() == 200 && m.complete)
			c->served++;
		else if (m.status() == 503)
			c->refused++;
		else if (m.status() == 200)
			c->broken++;
		else
			c->failed++;
		if (m.status() == 503 && m.field("Retry-After").empty())
			c->no_retry_after++;
	}
	/* Runs callers of one popular request, of requests that are each sent
	 * once, and of the faulty one, which comes to another entry each time.
	 */
	void run_requests(int64_t span_ms, const std::string &method,
			  Counts *popular, Counts *others, Counts *bad)
	{
		int64_t until_ms = proc_now_ms() + span_ms;
		std::string own = faulty.substr(0, 6) + "own/";
		std::vector<std::thread> callers;

		callers.emplace_back([=] {
			for (size_t i = 0; proc_now_ms() < until_ms; i++) {
				ask(i, method, own + "popular", "", popular);
				usleep(5000);
			}
		});
		for (size_t n = 0; n < 2; n++)
			callers.emplace_back([=] {
				for (size_t i = n; proc_now_ms() < until_ms;
				     i++) {
					ask(i, method,
					    own + std::to_string(next++), "",
					    others);
					usleep(10000);
				}
			});
		callers.emplace_back([=] {
			for (size_t i = 0; proc_now_ms() < until_ms; i++) {
				usleep(120000);
				ask(i, method, faulty, faulty_body, bad);
			}
		});
		for (auto &t : callers)
			t.join();
	}
	void expect_contained(const std::string &method)
	{
		Counts popular, others, bad;

		run_requests(8000, method, &popular, &others, &bad);
		EXPECT_GE(crashes(), 1u);
		EXPECT_LE(crashes(), 5u) << system.logs();
		EXPECT_LE(n_late_runs(), LATE_RUNS_MAX);
		EXPECT_GE(bad.sent, 40u);
		EXPECT_GE(bad.refused + 6, bad.sent) << bad.text();
		EXPECT_EQ(bad.no_retry_after, 0u);
		EXPECT_GE(popular.served, popular.sent * 9 / 10)
			<< popular.text();
		EXPECT_GE(others.served, others.sent * 9 / 10) << others.text();
	}
};

} // namespace

TEST_F(PlatformRequests, FaultyRequestIsRefusedEverywhereAfterAFewCrashes)
{
	expect_contained("GET");
}

TEST_F(PlatformRequests, FaultyRequestWithABodyIsToldFromOthersOfItsPath)
{
	Counts same_path, popular, others, bad;

	faulty = "/safe/faulty";
	faulty_body = "bad";
	std::thread caller([&] {
		for (size_t i = 0; i < 100; i++) {
			ask(i, "POST", faulty, "good", &same_path);
			usleep(20000);
		}
	});
	run_requests(4000, "POST", &popular, &others, &bad);
	caller.join();
	EXPECT_LE(crashes(), 4u);
	EXPECT_GE(same_path.served, 85u) << same_path.text();
}

TEST_F(PlatformRequests, FaultyNonIdempotentRequestIsRefusedAfterAFewCrashes)
{
	faulty = "/once/faulty";
	faulty_body = "book";
	expect_contained("POST");
}

TEST_F(PlatformRequests, FaultyStreamIsRefusedEverywhereAfterAFewCrashes)
{
	faulty = "/flow/faulty";
	faulty_body = "ask";
	expect_contained("POST");
}

TEST_F(PlatformRequests, PopularRequestWithoutSuccessIsAnsweredAllTheTime)
{
	Counts others, bad, popular;
	std::atomic<unsigned> sent{ 0 }, answered{ 0 };
	std::atomic<bool> finished{ false };

	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [this, p](Socket &s, const Message &m) {
			if (m.target() != "/safe/missing")
				return answer(*p, s, m);
			usleep(30000);
			return !p->is_down &&
			       s.send("HTTP/1.1 404 Not Found\r\n" + p->seal() +
				      Runner::echo(m) +
				      "Content-Length: 0\r\n\r\n");
		};
	}
	std::vector<std::thread> callers;
	for (size_t n = 0; n < 16; n++)
		callers.emplace_back([&, n] {
			for (size_t i = n; !finished; i++) {
				Message m = call(
					system.instances[1 + i % 3].front,
					request("GET", "/safe/missing",
						"host.example",
						"X-Attempt-Id: m" +
							std::to_string(next++) +
							"\r\n"));

				sent++;
				answered += m.status() == 404;
			}
		});
	run_requests(4000, "GET", &popular, &others, &bad);
	finished = true;
	for (auto &t : callers)
		t.join();
	EXPECT_GE(crashes(), 1u);
	EXPECT_GE(sent, 100u);
	EXPECT_GE(answered, sent * 9 / 10) << sent;
}

TEST_F(PlatformRequests, RequestIsServedOnceItsFaultHasEnded)
{
	Counts popular, others, bad;

	run_requests(2000, "GET", &popular, &others, &bad);
	EXPECT_GE(crashes(), 1u);
	fault = false;
	EXPECT_TRUE(System::eventually(
		[&] {
			Counts one;

			ask(next, "GET", faulty, "", &one);
			usleep(100000);
			return one.served == 1;
		},
		20000))
		<< system.logs();
	Counts after;
	EXPECT_TRUE(System::eventually([&] {
		Counts now;

		for (size_t i = 0; i < 6; i++)
			ask(i, "GET", faulty, "", &now);
		return now.served == 6;
	})) << system.logs();
}

TEST_F(PlatformParts, FaultyPartIsRefusedEverywhereAfterAFewCrashes)
{
	Counts early, late, faulty_early, faulty_late;

	run_for(4000, &early, &faulty_early);
	size_t runs = n_runs();
	EXPECT_GE(crashes(), 1u);
	run_for(6000, &late, &faulty_late);
	EXPECT_LE(n_late_runs(), LATE_RUNS_MAX) << system.logs();
	EXPECT_LE(n_runs() - runs, LATE_RUNS_MAX) << faulty_late.text();
	EXPECT_GE(faulty_late.sent, 60u);
	EXPECT_GE(faulty_late.refused + LATE_RUNS_MAX, faulty_late.sent)
		<< faulty_late.text();
	EXPECT_EQ(faulty_late.no_retry_after, 0u);
	/* Requests that share the first part and the caller are served. */
	EXPECT_GE(late.served, late.sent * 9 / 10) << late.text();
	EXPECT_GE(late.sent, 60u);
	for (size_t i = 1; i < system.instances.size(); i++)
		EXPECT_NE(whole_log(i).find("reason=suspect_part"),
			  std::string::npos)
			<< system.instances[i].id;
}

TEST_F(PlatformParts, ResetOfAConnectionBlamesNoPart)
{
	Counts counts;
	std::atomic<int> resets{ 12 };

	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [this, p, &resets](Socket &s, const Message &m) {
			if (resets-- > 0) {
				s.send(stream_head(*p, m));
				usleep(20000);
				s.reset();
				return false;
			}
			return answer_stream(*p, s, m);
		};
	}
	for (size_t i = 0; i < 20; i++)
		send(i, SHARED + ",c1:40", &counts);
	EXPECT_LE(resets, 0);
	Counts after;
	for (size_t i = 0; i < 12; i++)
		send(i, SHARED + ",c1:40", &after);
	EXPECT_EQ(after.served, after.sent) << after.text();
	EXPECT_FALSE(any_crash_reported());
}

TEST_F(PlatformParts, PlannedLeaveBlamesNoPart)
{
	std::atomic<bool> slow{ true };
	std::atomic<unsigned> held{ 0 };

	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [this, p, &slow, &held](Socket &s,
						     const Message &m) {
			if (slow) {
				held++;
				while (!p->is_down && slow)
					usleep(5000);
				return false;
			}
			return answer_stream(*p, s, m);
		};
	}
	Counts counts;
	std::vector<std::thread> callers;
	for (size_t i = 0; i < 6; i++)
		callers.emplace_back(
			[&, i] { send(i, SHARED + ",c1:40", &counts); });
	EXPECT_TRUE(System::eventually([&] { return held >= 6; }, 3000));
	for (auto &r : runners) {
		r->state = "draining";
		r->beat_once(system.instances[0].api);
	}
	usleep(700000);
	slow = false;
	for (auto &r : runners) {
		r->state = "ready"; /* the next process serves */
		r->crash();
	}
	for (auto &t : callers)
		t.join();
	EXPECT_FALSE(any_crash_reported());
	EXPECT_TRUE(System::eventually([&] {
		Counts after;

		send(0, SHARED + ",c1:40", &after);
		return after.served == 1;
	})) << system.logs();
}

TEST_F(PlatformParts, QuarantinedPartIsServedOnceItsFaultHasEnded)
{
	Counts sound, faulty;

	run_for(4000, &sound, &faulty);
	EXPECT_GE(crashes(), 1u);
	fault = false;
	EXPECT_TRUE(System::eventually(
		[&] {
			Counts one;

			send(next, SHARED + "," + FAULTY, &one);
			usleep(100000);
			return one.served == 1;
		},
		40000))
		<< system.logs();
	Counts after;
	EXPECT_TRUE(System::eventually([&] {
		Counts now;

		for (size_t i = 0; i < 6; i++)
			send(i, SHARED + "," + FAULTY, &now);
		return now.served == 6;
	})) << system.logs();
}

TEST_F(PlatformParts, RequestThatBreaksAfterTheReportOfTheCrashIsNotRepeated)
{
	std::mutex lock; /* guards these */
	std::map<std::string, unsigned> runs;
	std::map<Runner *, unsigned> held;
	std::string late;
	std::atomic<bool> finished{ false };

	fault = false;
	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [&, p](Socket &s, const Message &m) {
			std::string id = m.field("X-Attempt-Id");
			bool is_late;
			{
				std::lock_guard<std::mutex> guard(lock);

				runs[id]++;
				is_late = ++held[p] == 2 && late.empty();
				if (is_late)
					late = id;
			}
			if (is_late) {
				usleep(50000);
				p->crash();
				usleep(450000);
				return false;
			}
			while (!p->is_down && !finished)
				usleep(5000);
			return answer_stream(*p, s, m);
		};
	}
	Counts counts;
	std::vector<std::thread> callers;
	for (size_t i = 0; i < 9; i++)
		callers.emplace_back([&] { send(0, FAULTY, &counts); });
	EXPECT_TRUE(System::eventually([&] {
		std::lock_guard<std::mutex> guard(lock);

		return !late.empty();
	}));
	usleep(1000000);
	finished = true;
	for (auto &t : callers)
		t.join();
	EXPECT_TRUE(any_crash_reported());
	EXPECT_EQ(runs[late], 1u) << system.logs();
}

TEST_F(PlatformParts, RunWithAnErrorDoesNotKeepASoundPartFromBeingServed)
{
	std::mutex lock; /* guards failed */
	std::string failed;

	EXPECT_TRUE(System::eventually([&] {
		Counts one;

		send(0, FAULTY, &one);
		usleep(100000);
		return whole_log(1).find("event=quarantined") !=
		       std::string::npos;
	}));
	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [&, p](Socket &s, const Message &m) {
			{
				std::lock_guard<std::mutex> guard(lock);

				if (failed.empty())
					failed = m.field("X-Attempt-Id");
				if (failed != m.field("X-Attempt-Id"))
					return answer_stream(*p, s, m);
			}
			usleep(300000);
			return s.send("HTTP/1.1 500 Error\r\n" +
				      Runner::echo(m) +
				      "Content-Length: 0\r\n\r\n");
		};
	}
	fault = false;
	EXPECT_TRUE(System::eventually(
		[&] {
			Counts one;

			send(0, FAULTY, &one);
			usleep(100000);
			return one.served == 1;
		},
		12000))
		<< system.logs();
	EXPECT_NE(failed, "");
}

TEST_F(PlatformParts, RunThatItsCallerLeftDoesNotKeepASoundPartFromBeingServed)
{
	std::atomic<unsigned> runs_left{ 0 };

	EXPECT_TRUE(System::eventually([&] {
		Counts one;

		send(0, FAULTY, &one);
		usleep(100000);
		return whole_log(1).find("event=quarantined") !=
		       std::string::npos;
	}));
	for (auto &r : runners) {
		Runner *p = r.get();

		p->handler = [&, p](Socket &s, const Message &m) {
			if (m.field("X-Attempt-Id")[0] != 'q')
				return answer_stream(*p, s, m);
			runs_left++;
			usleep(500000);
			return false;
		};
	}
	fault = false;
	EXPECT_TRUE(System::eventually([&] {
		Socket caller;
		std::string id = std::to_string(next++);

		caller.connect_to(system.instances[1].front);
		caller.send(request("POST", "/flow/x", "host.example",
				    "X-Attempt-Id: q" + id +
					    "\r\nX-Prompt-Prefix: " + FAULTY +
					    ",f0:9\r\n",
				    "ask"));
		usleep(100000);
		return runs_left > 0;
	}));
	EXPECT_TRUE(System::eventually(
		[&] {
			Counts one;

			send(0, FAULTY, &one);
			usleep(100000);
			return one.served == 1;
		},
		12000))
		<< system.logs();
	EXPECT_EQ(runs_left, 1u);
}
