#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/platform/system.h"

/*
 * Streams of a service whose endpoints have different software: a stream goes
 * on only at the version that began it. Real processes of the system, simulated
 * callers and runners.
 */
using namespace platform;

namespace
{

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: piece" +
	       std::to_string(id) + "\n\n";
}

std::string chunk(const std::string &text)
{
	char size[32];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

std::string attempt(const std::string &id)
{
	return "X-Attempt-Id: " + id + "\r\n";
}

/* Fields of a caller that has two events of the stream that began as id. */
std::string resumes(const std::string &id)
{
	return "Last-Event-Id: 2\r\nResumes: " + id + "\r\n";
}

/* One control instance, two entries, two runners of each of two versions. */
class Versions : public ::testing::Test
{
      protected:
	System system{ 1, 2 };
	std::vector<std::unique_ptr<Runner>> runners;

	void SetUp() override
	{
		system.serve(table(1));
		ASSERT_TRUE(System::eventually([&] {
			return system.is_ready(entry(0)) &&
			       system.is_ready(entry(1));
		})) << system.logs();
	}

	System::Instance &entry(size_t i)
	{
		return system.instances[1 + i];
	}

	/* Whether the entry knows as many runners as there are. */
	bool knows_all(const System::Instance &x)
	{
		return call(x.metrics, request("GET", "/metrics", "x"))
			       .body.find("endpoints{state=\"up\"} " +
					  std::to_string(runners.size())) !=
		       std::string::npos;
	}

	/* Starts a runner that breaks off streams after their second event, and
	 * completes those that are resumed. */
	Runner &start(const std::string &version)
	{
		runners.push_back(std::make_unique<Runner>(
			"plain", "i-" + std::to_string(runners.size())));
		Runner &r = *runners.back();

		r.version = version;
		r.handler = [&r](Socket &s, const Message &m) {
			std::string head = "HTTP/1.1 200 OK\r\nContent-Type: "
					   "text/event-stream\r\n" +
					   r.seal() + Runner::echo(m) +
					   "Transfer-Encoding: chunked\r\n\r\n";

			if (m.target() == "/safe/probe")
				return s.send(answer(
					200, r.seal() + Runner::echo(m), ""));
			if (!m.field("Last-Event-Id").empty())
				return s.send(head + chunk(event(3)) +
					      "0\r\n\r\n");
			s.send(head + chunk(event(1)) + chunk(event(2)));
			/* Until the caller leaves. */
			s.wait_closed(3000);
			return false;
		};
		r.beat(system.instances[0].api);
		return r;
	}

	/* As start(), and waits until both entries know the runner. */
	Runner &add(const std::string &version)
	{
		Runner &r = start(version);

		EXPECT_TRUE(System::eventually([&] {
			return knows_all(entry(0)) && knows_all(entry(1));
		})) << system.logs();
		return r;
	}

	void add_both_versions()
	{
		for (const char *version : { "v1", "v2", "v1", "v2" })
			add(version);
	}

	/* Versions of the runners that ran a request. */
	std::set<std::string> ran(const std::string &id)
	{
		std::set<std::string> versions;

		for (auto &r : runners)
			for (const Message &m : r->ran_requests())
				if (m.field("X-Attempt-Id") == id)
					versions.insert(r->version);
		return versions;
	}

	/* Begins a stream and leaves it after two events. */
	void begin(const System::Instance &x, const std::string &id)
	{
		Socket s;

		ASSERT_TRUE(s.connect_to(x.front));
		s.send(request("POST", "/flow/x", "host.example", attempt(id)));
		while (s.buffer.find(event(2)) == std::string::npos)
			ASSERT_TRUE(s.fill(5000)) << s.buffer << system.logs();
	}

	Message go_on(const System::Instance &x, const std::string &id,
		      const std::string &begun_as)
	{
		return call(x.front, request("POST", "/flow/x", "host.example",
					     attempt(id) + resumes(begun_as)));
	}

	/* Kills instances at once, and waits until they serve again. */
	void restart(const std::vector<System::Instance *> &all)
	{
		for (System::Instance *x : all)
			proc_kill(x->pid);
		for (System::Instance *x : all)
			system.start(*x);
		ASSERT_TRUE(System::eventually([&] {
			return system.is_ready(entry(0)) &&
			       system.is_ready(entry(1));
		})) << system.logs();
	}

	static constexpr int STREAMS = 12;

	void begin_all(const System::Instance &x)
	{
		for (int i = 0; i < STREAMS; i++)
			begin(x, "a" + std::to_string(i));
		/* Until the control group has heard of the last one. */
		usleep(500000);
	}

	/* Takes all streams up again. Returns how many went on; none may at
	 * another version. */
	int go_on_all(const System::Instance &x)
	{
		int n = 0;

		for (int i = 0; i < STREAMS; i++) {
			std::string begun = "a" + std::to_string(i);
			std::string id = "b" + std::to_string(i);
			Message m = go_on(x, id, begun);

			if (m.status() == 200) {
				n++;
				EXPECT_EQ(ran(id), ran(begun)) << begun;
			} else {
				EXPECT_EQ(m.status(), 503) << begun;
				EXPECT_TRUE(ran(id).empty()) << begun;
			}
		}
		return n;
	}
};

/* How the entry that began the streams is missing when the second version
 * joins. */
class VersionsWithoutAnEntry : public Versions,
			       public ::testing::WithParamInterface<int>
{
};

/*
 * Callers begin streams, leave them and take them up again through any entry,
 * while processes are killed, stopped and started again, tables change, and
 * runners of further versions come and leave, in any order and at once.
 */
class VersionsSoak : public Versions
{
      protected:
	std::mt19937 random;
	std::mutex lock; /* guards the fields below */
	std::map<std::string, std::string> begun_as; /* by the later request */
	int n_streams = 0;
	std::atomic<bool> done{ false };
	unsigned number = 2;

	unsigned draw(unsigned n)
	{
		return (unsigned)(random() % n);
	}

	void use(unsigned seed)
	{
		std::mt19937 own(seed);

		while (!done) {
			std::string id, next;
			Socket s;

			{
				std::lock_guard<std::mutex> guard(lock);

				id = "s" + std::to_string(n_streams);
				next = "t" + std::to_string(n_streams++);
				begun_as[next] = id;
			}
			if (s.connect_to(entry(own() % 2).front) &&
			    s.send(request("POST", "/flow/x", "host.example",
					   attempt(id))))
				while (s.buffer.find(event(2)) ==
					       std::string::npos &&
				       s.fill(1000))
					;
			if (s.buffer.find(event(2)) == std::string::npos)
				continue;
			s.shut();
			usleep((useconds_t)(own() % 1500) * 1000);
			go_on(entry(own() % 2), next, id);
		}
	}

	static void drain(Runner &r)
	{
		std::lock_guard<std::mutex> guard(r.lock);

		r.state = "draining";
	}

	void disturb()
	{
		System::Instance &x = entry(draw(2));

		switch (draw(7)) {
		case 0:
			proc_kill(x.pid);
			system.start(x);
			break;
		case 1:
			kill(x.pid, SIGTERM);
			usleep(draw(300) * 1000);
			proc_kill(x.pid);
			system.start(x);
			break;
		case 2:
			for (size_t i = 0; i < 2; i++)
				proc_kill(entry(i).pid);
			for (size_t i = 0; i < 2; i++)
				system.start(entry(i));
			break;
		case 3:
			for (auto &each : system.instances)
				proc_kill(each.pid);
			system.start_all();
			break;
		case 4:
			if (runners.size() < 10)
				start("v" + std::to_string(runners.size() / 3));
			break;
		case 5:
			if (runners.size() > 4)
				drain(*runners[draw((unsigned)runners.size() -
						    3)]);
			break;
		default:
			kill(x.pid, SIGHUP);
			system.put(table((int)number++));
			break;
		}
	}

	void run(unsigned seed)
	{
		std::vector<std::thread> callers;

		random.seed(seed);
		for (const char *version : { "v0", "v0", "v1" })
			start(version);
		for (unsigned i = 0; i < 6; i++)
			callers.emplace_back(
				[this, seed, i] { use(seed * 100 + i); });
		for (int i = 0; i < 12; i++) {
			usleep((100 + draw(900)) * 1000);
			disturb();
		}
		done = true;
		for (auto &t : callers)
			t.join();
	}

	void check()
	{
		std::map<std::string, std::set<std::string>> versions;
		int n_went_on = 0;

		for (auto &r : runners)
			for (const Message &m : r->ran_requests())
				versions[m.field("X-Attempt-Id")].insert(
					r->version);
		for (const auto &pair : begun_as) {
			if (!versions.count(pair.first))
				continue;
			n_went_on++;
			EXPECT_EQ(versions[pair.first], versions[pair.second])
				<< pair.second << " as " << pair.first;
		}
		EXPECT_GT(n_went_on, 0) << n_streams << " streams";
	}
};

} // namespace

/* Guards against streams that are refused although they began while there was
 * one version: their entry was away when the second one joined. */
TEST_P(VersionsWithoutAnEntry, StreamsOfBeforeGoOn)
{
	add("v1");
	add("v1");
	begin_all(entry(0));
	kill(entry(0).pid, GetParam());
	start("v2");
	start("v2");
	ASSERT_TRUE(System::eventually([&] { return knows_all(entry(1)); }))
		<< system.logs();
	EXPECT_EQ(go_on_all(entry(1)), STREAMS) << system.logs();
	for (int i = 0; i < STREAMS; i++)
		EXPECT_EQ(ran("b" + std::to_string(i)),
			  std::set<std::string>{ "v1" });
	kill(entry(0).pid, SIGCONT);
}

INSTANTIATE_TEST_SUITE_P(Missing, VersionsWithoutAnEntry,
			 ::testing::Values(SIGSTOP, SIGKILL));

TEST_F(Versions, AnswerIsNotJoinedFromTwoVersions)
{
	Runner &old = add("v1");
	add("v2");
	ASSERT_TRUE(System::eventually([&] {
		begin(entry(0), "probe");
		return ran("probe").count("v1") > 0;
	}));
	old.handler = [&](Socket &s, const Message &m) {
		s.send("HTTP/1.1 200 OK\r\nContent-Type: "
		       "text/event-stream\r\n" +
		       old.seal() + Runner::echo(m) +
		       "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)));
		usleep(20000);
		s.reset();
		return false;
	};
	for (int i = 0; i < STREAMS; i++) {
		std::string id = "a" + std::to_string(i);

		call(entry(0).front,
		     request("POST", "/flow/x", "host.example",
			     attempt(id) + "X-Deadline-Ms: 300\r\n"));
		EXPECT_EQ(ran(id).size(), 1u) << id;
	}
}

TEST_F(Versions, StreamGoesOnAtItsVersionThroughAnotherEntry)
{
	add_both_versions();
	begin_all(entry(0));
	EXPECT_EQ(go_on_all(entry(1)), STREAMS) << system.logs();
}

TEST_F(Versions, StreamGoesOnAtItsVersionAfterAllEntriesWereKilled)
{
	add_both_versions();
	begin_all(entry(0));
	restart({ &entry(0), &entry(1) });
	EXPECT_EQ(go_on_all(entry(1)), STREAMS) << system.logs();
}

TEST_F(Versions, StreamGoesOnAtItsVersionAfterEntriesAndControlWereKilled)
{
	add_both_versions();
	begin_all(entry(0));
	restart({ &system.instances[0], &entry(0), &entry(1) });
	EXPECT_EQ(go_on_all(entry(1)), STREAMS) << system.logs();
}

TEST_F(Versions, StreamThatBeganBeforeTheSecondVersionGoesOnAtTheFirst)
{
	add("v1");
	add("v1");
	begin_all(entry(0));
	add("v2");
	add("v2");
	usleep(500000);
	restart({ &entry(0) });
	EXPECT_EQ(go_on_all(entry(1)), STREAMS) << system.logs();
}

TEST_F(Versions, StreamOfUnknownVersionIsRefusedWhereThereAreTwo)
{
	Message m;

	add("v1");
	m = go_on(entry(0), "b1", "one");
	EXPECT_EQ(m.status(), 200);
	add("v2");
	m = go_on(entry(0), "b2", "other");
	EXPECT_EQ(m.status(), 503);
	EXPECT_EQ(m.field("Retry-After"), "");
	m = call(entry(0).front,
		 request("POST", "/flow/x", "host.example",
			 attempt("b3") + "Last-Event-Id: 2\r\n"));
	EXPECT_EQ(m.status(), 503);
	EXPECT_TRUE(ran("b2").empty() && ran("b3").empty());
}

TEST_F(Versions, StreamOfAVersionThatHasLeftIsRefusedAtOnce)
{
	Runner &old = add("v1");
	int64_t begun_ms;
	Message m;

	begin_all(entry(0));
	add("v2");
	old.fall_silent();
	old.state = "draining";
	ASSERT_TRUE(System::eventually(
		[&] { return old.beat_once(system.instances[0].api) == 200; }));
	restart({ &entry(0), &entry(1) });
	begun_ms = proc_now_ms();
	m = go_on(entry(1), "b0", "a0");
	EXPECT_EQ(m.status(), 503);
	EXPECT_LT(proc_now_ms() - begun_ms, 1000);
	EXPECT_EQ(m.field("Retry-After"), "");
	EXPECT_TRUE(ran("b0").empty());
}

/* An entry of two may have four prompts in prefill at an engine. */
TEST_F(Versions, StreamThatIsTakenUpAgainDoesNotWaitForPrompts)
{
	const std::string prompt = "X-Model: m1\r\nX-Token-Count: 1460,80\r\n";
	std::vector<std::unique_ptr<Socket>> callers;
	Runner engine("engine", "i-engine", true);

	ASSERT_EQ(system.put(table(2, "", model("m1"))), 200);
	engine.holds["m1"] = {};
	engine.slots = 64;
	engine.handler = [](Socket &s, const Message &) {
		/* No first byte while the caller waits. */
		s.wait_closed(6000);
		return false;
	};
	engine.beat(system.instances[0].api);
	for (int i = 0; i < 4; i++) {
		std::string id = "p" + std::to_string(i);

		ASSERT_TRUE(System::eventually([&] {
			callers.push_back(std::make_unique<Socket>());
			return callers.back()->connect_to(entry(0).front) &&
			       callers.back()->send(request(
				       "POST", "/model/x", "host.example",
				       attempt(id) + prompt)) &&
			       System::eventually(
				       [&] {
					       return engine.n_ran() >
						      (size_t)i;
				       },
				       1000);
		})) << system.logs();
	}
	callers.push_back(std::make_unique<Socket>());
	ASSERT_TRUE(callers.back()->connect_to(entry(0).front));
	callers.back()->send(request("POST", "/model/x", "host.example",
				     attempt("b") + resumes("a") + prompt));
	EXPECT_TRUE(
		System::eventually([&] { return engine.n_ran() > 4; }, 1000))
		<< system.logs();
}

/* VERSIONS_SEED: only this seed. */
TEST_F(VersionsSoak, StreamsKeepTheirVersion)
{
	const char *seed = getenv("VERSIONS_SEED");

	run(seed ? (unsigned)atoi(seed) : 1);
	check();
}

TEST_F(VersionsSoak, StreamsKeepTheirVersionWithOtherSeed)
{
	run(2);
	check();
}
