#include <fstream>
#include <map>
#include <random>

#include "tests/platform/system.h"

/*
 * End-to-end tests of entries that lose their paths to endpoints, with real
 * processes. A preloaded library cuts the connections of one process.
 */
using namespace platform;

namespace
{

/* A port whose connections stay pending: its queue is full. */
class SilentPort
{
      public:
	SilentPort()
	{
		struct sockaddr_in in = {};
		socklen_t len = sizeof(in);

		in.sin_family = AF_INET;
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&in, sizeof(in)),
			  0);
		EXPECT_EQ(listen(listener, 0), 0);
		getsockname(listener, (struct sockaddr *)&in, &len);
		port = ntohs(in.sin_port);
		for (int &fd : queued) {
			fd = socket(AF_INET,
				    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
				    0);
			(void)!connect(fd, (struct sockaddr *)&in, sizeof(in));
		}
	}
	~SilentPort()
	{
		for (int fd : queued)
			close(fd);
		close(listener);
	}
	int port;

      private:
	int listener;
	int queued[4];
};

/* One control instance and three entries with two plain runners. */
class Detours : public ::testing::Test
{
      protected:
	System system{ 1, 3, "detour_offset = 1\n" };
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };
	SilentPort silent;

	void SetUp() override
	{
		const char *build = getenv("BUILD");

		for (auto &x : system.instances)
			x.preload = std::string(build ? build : "build") +
				    "/cut_connect.so";
		system.serve(table(1));
		system.add(a, "/safe/probe");
		system.add(b, "/safe/probe");
		for (size_t i = 1; i <= 3; i++)
			ASSERT_TRUE(System::eventually([&] {
				return send(i, "GET", "/safe/x", "probe")
					       .status() == 200;
			})) << system.logs();
	}
	Message send(size_t i, const std::string &method,
		     const std::string &path, const std::string &id,
		     const std::string &body = "")
	{
		return call(system.instances[i].front,
			    request(method, path, "host.example",
				    "X-Attempt-Id: " + id + "\r\n", body));
	}
	static int port_of(const Runner &r)
	{
		return atoi(r.address.substr(r.address.find(':') + 1).c_str());
	}
	/* Cuts an entry off from both runners: connections go to another port.
	 * 0: no longer. */
	void cut(size_t i, int target)
	{
		std::ofstream out(system.instances[i].cut_file());

		for (const Runner *r : { &a, &b })
			if (target)
				out << port_of(*r) << " " << target << "\n";
	}
	/* Value of a metric of an entry; -1: it has none. */
	double metric(size_t i, const std::string &name)
	{
		std::string text = call(system.instances[i].metrics,
					request("GET", "/metrics", "x"))
					   .body;
		size_t at = text.find("\n" + name + "{} ");

		return at == std::string::npos
			       ? -1
			       : atof(text.c_str() + at + name.size() + 4);
	}
	double lost(size_t i)
	{
		return metric(i, "dandelionspar_edge_paths_lost");
	}
	/* Has the entry notice that both paths are lost, once it has no
	 * connection left that it would use again. */
	void wait_lost(size_t i)
	{
		usleep(1000000);
		ASSERT_TRUE(System::eventually([&] {
			send(i, "GET", "/safe/x", "probe");
			return lost(i) == 2;
		})) << system.logs();
	}
	size_t n_run(const std::string &id)
	{
		size_t n = 0;

		for (Runner *r : { &a, &b })
			for (const auto &m : r->ran_requests())
				n += m.field("X-Attempt-Id") == id;
		return n;
	}
};

/* Whether the connections of an entry that is cut off are refused. */
class DetoursOfACut : public Detours, public ::testing::WithParamInterface<bool>
{
};

/*
 * Callers on kept connections, while entries lose and regain paths, are killed,
 * stopped, suspended and reloaded, and endpoints crash and start again, in
 * series and at once.
 */
class DetoursSoak : public Detours
{
      protected:
	std::mt19937 random;
	std::atomic<bool> done{ false };
	std::atomic<int> n_requests{ 0 }, n_served{ 0 };
	int n_restarts = 0;
	unsigned number = 2;
	std::mutex lock;		 /* guards the fields below */
	std::map<std::string, int> runs; /* by request */
	std::set<std::string> not_run;	 /* by their answer */

	unsigned draw(unsigned n)
	{
		return (unsigned)(random() % n);
	}

	/* A non-idempotent request runs at most once, not at all where the
	 * answer promises that, and its answer is its own. */
	void check(const Message &m, const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);

		if (m.status() == 503)
			not_run.insert(id);
		if (m.status() != 200)
			return;
		n_served++;
		EXPECT_EQ(runs[id], 1) << id;
		EXPECT_EQ(m.field("X-Attempt-Id"), id);
		EXPECT_TRUE(m.complete) << id;
		EXPECT_EQ(m.body, id);
	}

	/* The same at the end: a request may run after its answer. */
	void check_all()
	{
		for (const auto &run : runs)
			EXPECT_EQ(run.second, 1) << run.first;
		for (const std::string &id : not_run)
			EXPECT_EQ(runs.count(id), 0u) << id;
	}

	/* Sends requests on one connection until it is closed. */
	void use(unsigned seed)
	{
		std::mt19937 own(seed);

		while (!done) {
			size_t i = 1 + own() % 3;
			Socket s;

			if (!s.connect_to(system.instances[i].front, 500)) {
				usleep(20000);
				continue;
			}
			while (!done) {
				std::string id =
					"s" + std::to_string(n_requests++);
				Message m;

				if (!s.send(request(
					    "POST", "/once/x", "host.example",
					    "X-Attempt-Id: " + id + "\r\n",
					    id)) ||
				    !s.read(&m, 6000))
					break;
				check(m, id);
				usleep((useconds_t)(own() % 10) * 1000);
			}
		}
	}

	void restart_entry(System::Instance &x, int signal)
	{
		kill(x.pid, signal);
		if (signal != SIGKILL)
			usleep(draw(600) * 1000);
		proc_kill(x.pid);
		system.start(x);
	}

	void disturb()
	{
		size_t i = 1 + draw(3);
		System::Instance &x = system.instances[i];

		switch (draw(9)) {
		case 0:
		case 1:
			cut(i, silent.port);
			break;
		case 2:
			cut(i, proc_free_port());
			break;
		case 3:
		case 4:
			cut(i, 0);
			break;
		case 5:
			restart_entry(x, draw(2) ? SIGKILL : SIGTERM);
			break;
		case 6:
			kill(x.pid, SIGSTOP);
			usleep(draw(1200) * 1000);
			kill(x.pid, SIGCONT);
			break;
		case 7:
			if (draw(2) && !b.is_down)
				b.crash();
			else if (b.is_down)
				b.restart("i-b" + std::to_string(++n_restarts));
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
		for (Runner *r : { &a, &b })
			r->handler = [this, r](Socket &s, const Message &m) {
				std::string id = m.field("X-Attempt-Id");

				{
					std::lock_guard<std::mutex> guard(lock);

					if (m.method() == "POST")
						runs[id]++;
				}
				return s.send(answer(
					200, r->seal() + Runner::echo(m), id));
			};
		for (unsigned i = 0; i < 12; i++)
			callers.emplace_back(
				[this, seed, i] { use(seed * 100 + i); });
		for (int i = 0; i < 24; i++) {
			disturb();
			usleep(draw(700) * 1000);
		}
		for (size_t i = 1; i <= 3; i++)
			cut(i, 0);
		usleep(1000000);
		done = true;
		for (auto &t : callers)
			t.join();
		check_all();
		printf("seed %u: %d requests, %d served\n", seed,
		       n_requests.load(), n_served.load());
		EXPECT_GT(n_served, n_requests / 4) << system.logs();
		for (size_t i = 1; i <= 3; i++)
			EXPECT_TRUE(System::eventually([&] {
				return send(i, "GET", "/safe/x", "last")
					       .status() == 200;
			})) << "entry "
			    << i << " does not serve";
	}
};

} // namespace

TEST_P(DetoursOfACut, FirstAttemptsAreServedThroughAnotherEntry)
{
	int target = GetParam() ? proc_free_port() : silent.port;

	cut(1, target);
	wait_lost(1);
	for (int i = 0; i < 40; i++) {
		std::string id = "n" + std::to_string(i);
		Message m = i % 2 ? send(1, "POST", "/once/x", id, "body")
				  : send(1, "GET", "/safe/x", id);

		EXPECT_EQ(m.status(), 200) << system.logs();
		EXPECT_EQ(m.field("X-Attempt-Id"), id);
		EXPECT_EQ(n_run(id), 1u);
		for (const auto &f : m.fields)
			EXPECT_EQ(f.first.find("Dandelionspar"),
				  std::string::npos);
	}
	for (Runner *r : { &a, &b })
		for (const auto &m : r->ran_requests())
			for (const auto &f : m.fields)
				EXPECT_EQ(f.first.find("Dandelionspar"),
					  std::string::npos);
	cut(1, 0);
	EXPECT_TRUE(System::eventually([&] { return lost(1) == 0; }))
		<< system.logs();
	EXPECT_EQ(send(1, "GET", "/safe/x", "after").status(), 200);
}

INSTANTIATE_TEST_SUITE_P(Refused, DetoursOfACut, ::testing::Bool());

/* Guards against a detour of a detour, and against a helper that is cut off as
 * well being used again and again. */
TEST_F(Detours, HelperThatIsCutOffAsWellIsPassedOver)
{
	cut(1, silent.port);
	cut(2, silent.port);
	wait_lost(1);
	wait_lost(2);
	for (int i = 0; i < 40; i++) {
		std::string id = "n" + std::to_string(i);

		EXPECT_EQ(
			send(1 + i % 2, "POST", "/once/x", id, "body").status(),
			200)
			<< system.logs();
		EXPECT_EQ(n_run(id), 1u);
	}
}

/* Guards against taking an endpoint that has ended for one without a path. */
TEST_F(Detours, EndpointThatHasEndedIsNotTakenForALostPath)
{
	b.crash();
	for (int i = 0; i < 40; i++) {
		EXPECT_EQ(send(1, "GET", "/safe/x", "n").status(), 200);
		usleep(20000);
	}
	EXPECT_LE(lost(1), 0) << system.logs();
}

/* Guards against "not run" for a request that may have run: the helper ends
 * after it has passed the request on. */
TEST_F(Detours, OutcomeIsUnknownWhereTheHelperEnds)
{
	std::atomic<int> held{ 0 };

	cut(1, silent.port);
	wait_lost(1);
	a.handler = b.handler = [&](Socket &s, const Message &) {
		held++;
		s.wait_closed(8000);
		return false;
	};
	std::thread helpers_end([&] {
		System::eventually([&] { return held > 0; });
		for (size_t i : { 2, 3 }) {
			proc_kill(system.instances[i].pid);
			system.instances[i].pid = 0;
		}
	});
	Message m = send(1, "POST", "/once/x", "once", "body");

	helpers_end.join();
	EXPECT_EQ(m.status(), 502) << system.logs();
	EXPECT_EQ(n_run("once"), 1u);
}

TEST_F(Detours, WorkEndsSoonAfterTheCallerHasLeft)
{
	std::atomic<int64_t> begun{ 0 }, closed{ 0 };
	Socket s;

	cut(1, silent.port);
	wait_lost(1);
	a.handler = b.handler = [&](Socket &s, const Message &) {
		begun = proc_now_ms();
		s.wait_closed(5000);
		closed = proc_now_ms();
		return false;
	};
	ASSERT_TRUE(s.connect_to(system.instances[1].front));
	s.send(request("POST", "/once/x", "host.example",
		       "X-Attempt-Id: a1\r\n", "book"));
	ASSERT_TRUE(System::eventually([&] { return begun != 0; }));
	int64_t left = proc_now_ms();
	s.shut();
	ASSERT_TRUE(System::eventually([&] { return closed != 0; }));
	EXPECT_LT(closed - left, 500);
}

/* A stream that breaks at the helper goes on at its next event. */
TEST_F(Detours, BrokenStreamIsResumedAtItsLastWholeEvent)
{
	std::atomic<int> runs{ 0 };
	std::string whole;

	cut(1, silent.port);
	wait_lost(1);
	for (Runner *r : { &a, &b })
		r->handler = [&, r](Socket &s, const Message &m) {
			int first = atoi(m.field("Last-Event-Id").c_str()) + 1;
			std::string out = "HTTP/1.1 200 OK\r\nContent-Type: "
					  "text/event-stream\r\n" +
					  r->seal() + Runner::echo(m) +
					  "Transfer-Encoding: chunked\r\n\r\n";

			for (int id = first; id <= (runs++ ? 6 : 3); id++) {
				std::string event =
					"id: " + std::to_string(id) +
					"\ndata: piece\n\n";
				char size[32];

				snprintf(size, sizeof(size), "%zx\r\n",
					 event.size());
				out += size + event + "\r\n";
			}
			s.send(out + (runs > 1 ? "0\r\n\r\n" : ""));
			return runs > 1;
		};
	Message m = send(1, "GET", "/flow/x", "a1");
	EXPECT_EQ(m.status(), 200) << system.logs();
	EXPECT_TRUE(m.complete);
	for (int id = 1; id <= 6; id++)
		whole += "id: " + std::to_string(id) + "\ndata: piece\n\n";
	EXPECT_EQ(m.body, whole);
}

/* Guards against callers that use the way between entries: past routes, keys
 * and limits. */
TEST_F(Detours, OnlyInstancesOfTheGroupMaySend)
{
	std::string port = std::to_string(system.internal_port + 1);
	size_t before = a.n_ran() + b.n_ran();

	for (const std::string &token : { std::string(), std::string(32, '0') })
		EXPECT_EQ(call(system.instances[2].ip + ":" + port,
			       request("POST", "/once/x", "host.example",
				       "Dandelionspar-Detour-From: front1\r\n"
				       "Dandelionspar-Detour-Token: " +
					       token +
					       "\r\n"
					       "Dandelionspar-Detour-Endpoint: "
					       "i-a\r\nDandelionspar-Detour-"
					       "Incarnation: 1\r\n",
				       "book"))
				  .status(),
			  503);
	EXPECT_EQ(a.n_ran() + b.n_ran(), before);
	cut(1, silent.port);
	wait_lost(1);
	EXPECT_EQ(call(system.instances[1].front,
		       request("POST", "/once/x", "host.example",
			       "X-Attempt-Id: own\r\n"
			       "dandelionspar-detour-check: 1\r\n"
			       "Dandelionspar-Detour-Endpoint: i-x\r\n",
			       "book"))
			  .status(),
		  200)
		<< system.logs();
	EXPECT_EQ(n_run("own"), 1u);
	EXPECT_EQ(call(system.instances[2].front,
		       request("POST", "/none/x", "host.example",
			       "Dandelionspar-Detour-Endpoint: i-a\r\n", ""))
			  .status(),
		  404);
}

TEST_F(DetoursSoak, RequestsRunAtMostOnceAndNotRunIsTrue)
{
	const char *seed = getenv("DETOURS_SEED");

	run(seed ? (unsigned)atoi(seed) : 1);
}
