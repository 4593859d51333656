#include <thread>

#include "tests/platform/system.h"

/*
 * End-to-end tests of grants for requests that crash runners, at an entry that
 * stands still between its request for a grant and the leader's answer.
 *
 * Alone: build/integration/late_grants_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

/* A route whose requests wait for a grant for up to goal_ms. */
std::string route(int goal_ms)
{
	return ",{\"name\":\"slow\",\"host\":\"host.example\",\"pathPrefix\":"
	       "\"/slow/\",\"kind\":\"safe\",\"timeoutMs\":15000,\"goalMs\":" +
	       std::to_string(goal_ms) +
	       ",\"priority\":1,\"service\":\"plain\",\"maxAttempts\":3}";
}

const std::string FAULTY = "/slow/faulty";

/* One control instance, three entries and two runners, which crash on the
 * faulty request as long as `fault` is set. */
class LateGrants : public ::testing::Test
{
      protected:
	System system{ 1, 3 };
	std::unique_ptr<Runner> runners[2];
	std::atomic<bool> fault{ true };
	std::mutex runs_lock;
	std::vector<std::pair<Runner *, int64_t>> runs; /* of the request */
	std::thread caller;
	Message got; /* answer of the entry that stood still */
	int64_t stopped_ms = 0;

	System::Instance &leader()
	{
		return system.instances[0];
	}
	System::Instance &entry(size_t i)
	{
		return system.instances[1 + i];
	}
	void serve(int goal_ms)
	{
		system.serve(table(1, route(goal_ms)));
		for (size_t i = 0; i < 3; i++)
			ASSERT_TRUE(System::eventually([&] {
				return system.is_ready(entry(i));
			})) << system.logs();
		for (size_t i = 0; i < 2; i++)
			add_runner(i);
		usleep(500000);
	}
	void TearDown() override
	{
		for (auto &x : system.instances)
			kill(x.pid, SIGCONT);
		if (caller.joinable())
			caller.join();
	}
	void add_runner(size_t i)
	{
		runners[i] = std::make_unique<Runner>("plain",
						      "i-" + std::to_string(i));
		Runner *r = runners[i].get();

		r->handler = [this, r](Socket &s, const Message &m) {
			bool faulty = m.target() == FAULTY;

			if (faulty) {
				std::lock_guard<std::mutex> guard(runs_lock);

				runs.emplace_back(r, proc_now_ms());
			}
			usleep(30000);
			if (faulty && fault)
				r->crash();
			return !r->is_down &&
			       s.send(answer(200, r->seal() + Runner::echo(m),
					     "ok"));
		};
		system.add(*r, "/safe/probe");
	}
	Message ask(size_t i, const std::string &id)
	{
		return call(entry(i).front,
			    request("GET", FAULTY, "host.example",
				    "X-Attempt-Id: " + id + "\r\n"),
			    20000);
	}
	bool has_logged(const System::Instance &x, const std::string &text)
	{
		std::ifstream in(x.folder + ".log");
		std::string log((std::istreambuf_iterator<char>(in)),
				std::istreambuf_iterator<char>());

		return log.find(text) != std::string::npos;
	}
	/* Lines of all instances about the request, grants and endpoints. */
	std::string trace()
	{
		std::istringstream in(system.whole_logs());
		std::string out, line;

		while (std::getline(in, line))
			if (line.rfind("== ", 0) == 0 ||
			    line.find(" parts: ") != std::string::npos ||
			    line.find("request=late") != std::string::npos)
				out += line + "\n";
		return out;
	}
	std::string text_of_runs()
	{
		std::lock_guard<std::mutex> guard(runs_lock);
		std::string out = "runs (ms after the entry was stopped):";

		for (const auto &run : runs)
			out += " " + run.first->id + " at " +
			       std::to_string(run.second - stopped_ms);
		return out + "; answer " + std::to_string(got.status()) + "\n";
	}
	/* Runs of the request since then, at one runner or (NULL) at all. */
	size_t n_runs(int64_t since_ms, const Runner *at = nullptr)
	{
		std::lock_guard<std::mutex> guard(runs_lock);
		size_t n = 0;

		for (const auto &run : runs)
			n += run.second >= since_ms && (!at || run.first == at);
		return n;
	}
	/* Has the request crash a runner, and stops its entry while the leader,
	 * which is stopped, has the request for a grant. Returns the runner
	 * that is left. */
	Runner *stop_entry_that_asks()
	{
		kill(leader().pid, SIGSTOP);
		caller = std::thread([this] { got = ask(0, "late"); });
		EXPECT_TRUE(System::eventually(
			[&] {
				return has_logged(entry(0), "parts: event=try");
			},
			1000))
			<< trace();
		usleep(100000);
		kill(entry(0).pid, SIGSTOP);
		stopped_ms = proc_now_ms();
		return runners[runners[0]->crashes ? 1 : 0].get();
	}
	Runner *other(const Runner *r)
	{
		return runners[runners[0].get() == r ? 1 : 0].get();
	}
	/* Starts a runner again under the id that it had. */
	void restart(Runner *r)
	{
		r->restart(r->id);
	}
	void stand_still_until(int64_t span_ms)
	{
		while (proc_now_ms() < stopped_ms + span_ms)
			usleep(20000);
	}
	void go_on()
	{
		kill(entry(0).pid, SIGCONT);
		caller.join();
	}
};

} // namespace

TEST_F(LateGrants, EntryThatStoodStillDoesNotUseAGrantForAReplacedProcess)
{
	serve(4000);
	Runner *granted = stop_entry_that_asks();

	kill(leader().pid, SIGCONT);
	usleep(500000);
	granted->crash();
	restart(granted);
	restart(other(granted));
	EXPECT_TRUE(System::eventually([&] {
		return granted->beat_once(leader().api) == 200;
	})) << trace();
	stand_still_until(3000);
	int64_t until_ms = proc_now_ms();
	go_on();
	EXPECT_EQ(n_runs(until_ms, granted), 0u) << text_of_runs() << trace();
}

TEST_F(LateGrants, EntryThatStoodStillDoesNotRunWithoutAGrantWhatOthersRefuse)
{
	serve(2000);
	stop_entry_that_asks();
	proc_kill(leader().pid);
	system.start(leader());
	for (auto &r : runners)
		if (r->is_down)
			restart(r.get());
	EXPECT_TRUE(System::eventually([&] {
		return runners[0]->beat_once(leader().api) == 200 &&
		       runners[1]->beat_once(leader().api) == 200;
	})) << trace();
	for (int i = 0; i < 20 && !has_logged(entry(2), "event=quarantined");
	     i++) {
		ask(1, "other" + std::to_string(i));
		for (auto &r : runners)
			if (r->is_down)
				restart(r.get());
		usleep(100000);
	}
	ASSERT_TRUE(has_logged(entry(2), "event=quarantined")) << trace();
	stand_still_until(3500);
	int64_t until_ms = proc_now_ms();
	go_on();
	EXPECT_EQ(n_runs(until_ms), 0u) << text_of_runs() << trace();
}

TEST_F(LateGrants, EntryThatStoodStillDoesNotSendToAnEndpointThatHasLeft)
{
	serve(4000);
	Runner *leaving = stop_entry_that_asks();

	fault = false;
	kill(leader().pid, SIGCONT);
	restart(other(leaving));
	usleep(500000);
	leaving->state = "draining";
	EXPECT_TRUE(System::eventually(
		[&] { return leaving->beat_once(leader().api) == 200; }, 4000))
		<< trace();
	int64_t left_ms = proc_now_ms();
	usleep(2500000);
	go_on();
	EXPECT_EQ(n_runs(left_ms, leaving), 0u) << text_of_runs() << trace();
}
