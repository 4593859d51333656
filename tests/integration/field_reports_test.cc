#include <gtest/gtest.h>
#include <sys/resource.h>

#include <random>
#include <thread>

#include "tests/platform/system.h"

/*
 * Failures that operators of similar systems reported, brought about here with
 * real processes and simulated callers and runners.
 */
using namespace platform;

namespace
{

class FieldReports : public ::testing::Test
{
      protected:
	System system{ 1, 1 };
	Runner runner{ "plain", "i-a" };

	void SetUp() override
	{
		system.serve(table(1));
		system.add(runner, "/safe/probe");
	}

	/* Sends a body in pieces of the same size, one each gap_ms, until it is
	 * whole, an answer comes or limit_ms have passed. Returns the status of
	 * the answer, 0 without one. */
	int upload(size_t len, size_t piece, int gap_ms, int limit_ms)
	{
		Socket caller;
		Message answer;
		int64_t until = proc_now_ms() + limit_ms;

		if (!caller.connect_to(system.entry().front))
			return 0;
		caller.send("POST /once/x HTTP/1.1\r\nHost: host.example\r\n"
			    "X-Attempt-Id: a1\r\nContent-Length: " +
			    std::to_string(len) + "\r\n\r\n");
		for (size_t sent = 0; sent < len; sent += piece) {
			if (proc_now_ms() > until || caller.fill(gap_ms) ||
			    caller.ended)
				break;
			caller.send(
				std::string(std::min(piece, len - sent), 'x'));
		}
		if (!caller.read(
			    &answer,
			    (int)std::max<int64_t>(until - proc_now_ms(), 1),
			    true))
			return 0;
		return answer.status();
	}
};

} // namespace

/* Slow but sound uploads were cut: the limit for an idle connection counted
 * from the end of the header. The table's limit is 4 s and a margin of 1 s. */
TEST_F(FieldReports, SlowUploadIsReadToItsEnd)
{
	EXPECT_EQ(upload(3072, 256, 600, 12000), 200);
}

/* Stalled uploads that sent a byte now and then never ended. */
TEST_F(FieldReports, UploadOfAByteNowAndThenIsRefused)
{
	int64_t start = proc_now_ms();

	EXPECT_EQ(upload(4000, 1, 300, 12000), 408);
	EXPECT_LT(proc_now_ms() - start, 6000);
	EXPECT_EQ(runner.n_ran(), 1u) << "the probe only";
}

/*
 * During a planned stop under load, requests that had just been accepted were
 * cut off without an answer: those sent in the moment of the signal, on kept
 * connections, on new ones and behind another request on the same connection.
 */
TEST_F(FieldReports, RequestsInTheMomentOfAStopAreAnswered)
{
	constexpr int CALLERS = 40;
	const std::string get = request("GET", "/safe/x", "host.example",
					"X-Attempt-Id: a1\r\n");
	std::vector<std::unique_ptr<Socket>> callers;
	System::Instance &entry = system.entry();

	for (int i = 0; i < CALLERS; i++) {
		callers.push_back(std::make_unique<Socket>());
		ASSERT_TRUE(callers.back()->connect_to(entry.front));
	}
	for (int i = 0; i < CALLERS / 2; i++) {
		Message answer;

		ASSERT_TRUE(callers[(size_t)i]->send(get));
		ASSERT_TRUE(callers[(size_t)i]->read(&answer));
	}
	for (int i = 0; i < CALLERS; i++) {
		if (i == CALLERS / 4)
			kill(entry.pid, SIGTERM);
		ASSERT_TRUE(callers[(size_t)i]->send(i % 5 ? get : get + get));
	}
	for (int i = 0; i < CALLERS; i++) {
		Message answer;

		EXPECT_TRUE(callers[(size_t)i]->read(&answer))
			<< "caller " << i;
		EXPECT_TRUE(answer.complete) << "caller " << i;
		EXPECT_TRUE(answer.status() == 200 || answer.status() == 503)
			<< "caller " << i << ": " << answer.first;
		/* Of two requests, the second is answered, or the first answer
		 * says that no more come. */
		if (i % 5 == 0 && answer.field("Connection") != "close") {
			EXPECT_TRUE(callers[(size_t)i]->read(&answer));
		}
	}
}

namespace
{

/* How a runner answers a request of the seeded history. */
enum Manner {
	WHOLE,
	TWICE,	    /* a second copy right after the answer */
	TWICE_LATE, /* a second copy while the next request may be under way */
	EARLIER,    /* the answer of another request comes first */
	TOO_SHORT,  /* fewer bytes than announced, then the end */
	NO_LAST_CHUNK,
	RESET,	  /* a body without a length, cut by a reset */
	TOO_LONG, /* more bytes than announced */
	MANNERS,
};

bool answer_in(Manner manner, const Runner &runner, Socket &s, const Message &m)
{
	std::string fields = runner.seal() + Runner::echo(m);
	std::string body = "whole answer for " + m.field("X-Attempt-Id");
	std::string whole = answer(200, fields, body);
	std::string length = std::to_string(body.size());

	switch (manner) {
	case TWICE:
		return s.send(whole + whole);
	case TWICE_LATE:
		s.send(whole);
		usleep(15000);
		return s.send(whole);
	case EARLIER:
		return s.send(
			answer(200, runner.seal() + "X-Attempt-Id: another\r\n",
			       "another answer") +
			whole);
	case TOO_SHORT:
		s.send("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " +
		       length + "\r\n\r\n" + body.substr(0, 9));
		return false;
	case NO_LAST_CHUNK:
		s.send("HTTP/1.1 200 OK\r\n" + fields +
		       "Transfer-Encoding: chunked\r\n\r\n9\r\n" +
		       body.substr(0, 9) + "\r\n");
		return false;
	case RESET:
		s.send("HTTP/1.1 200 OK\r\n" + fields + "\r\n" +
		       body.substr(0, 9));
		usleep(20000);
		s.reset();
		return false;
	case TOO_LONG:
		return s.send(whole + "more bytes");
	case WHOLE:
	case MANNERS:
		break;
	}
	return s.send(whole);
}

} // namespace

/*
 * A second copy of an answer came late on a connection that was in use again,
 * and an answer that broke off looked complete. Callers on kept connections
 * each get the whole answer to their own request, or no success. The seed gives
 * the manners of the answers in the order of the requests' arrival, which the
 * processes' timing decides.
 */
TEST_F(FieldReports, CallersGetTheirOwnWholeAnswerOrNoSuccess)
{
	constexpr int CALLERS = 4, REQUESTS = 40;
	Runner other("plain", "i-b");
	std::vector<std::thread> callers;
	std::atomic<int> served{ 0 };
	std::atomic<uint64_t> arrivals{ 0 };

	system.add(other, "/safe/probe");
	for (Runner *r : { &runner, &other })
		r->handler = [&, r](Socket &s, const Message &m) {
			std::mt19937_64 random(20261204 + arrivals++);
			/* Half of the answers are whole. */
			Manner manner = random() % 2
						? WHOLE
						: (Manner)(random() % MANNERS);

			return answer_in(manner, *r, s, m);
		};
	for (int c = 0; c < CALLERS; c++)
		callers.emplace_back([&, c] {
			auto socket = std::make_unique<Socket>();

			for (int i = 0; i < REQUESTS; i++) {
				std::string id = "c" + std::to_string(c) + "-" +
						 std::to_string(i);
				const char *path =
					i % 2 ? "/safe/x" : "/once/x";
				Message m;

				if (!i || socket->ended || m.closed) {
					socket = std::make_unique<Socket>();
					ASSERT_TRUE(socket->connect_to(
						system.entry().front));
				}
				socket->send(request(
					"GET", path, "host.example",
					"X-Attempt-Id: " + id + "\r\n"));
				if (!socket->read(&m)) {
					socket = std::make_unique<Socket>();
					ASSERT_TRUE(socket->connect_to(
						system.entry().front));
					continue;
				}
				if (m.status() / 100 == 2) {
					EXPECT_TRUE(m.complete) << id;
					EXPECT_EQ(m.body,
						  "whole answer for " + id);
					served += m.complete;
				}
			}
		});
	for (auto &caller : callers)
		caller.join();
	EXPECT_GE(served, CALLERS * REQUESTS / 4);
	/* A non-idempotent request ran once, whatever became of its answer. */
	std::map<std::string, int> runs;
	for (Runner *r : { &runner, &other })
		for (const Message &m : r->ran_requests())
			if (m.target() == "/once/x") {
				EXPECT_EQ(++runs[m.field("X-Attempt-Id")], 1)
					<< m.field("X-Attempt-Id");
			}
}

/*
 * A machine that was only silent for a while had its running work started again
 * elsewhere, or given up. A runner stops its announcements for longer than the
 * lease of 3 s while it runs a stream; another one is ready to take it.
 */
TEST_F(FieldReports, WorkOfASilentMachineGoesOn)
{
	constexpr int EVENTS = 15;
	Runner other("plain", "i-b");
	std::atomic<bool> moved{ false };

	other.handler = [&](Socket &s, const Message &m) {
		moved = moved || m.target() == "/flow/x";
		return s.send(answer(200, other.seal() + Runner::echo(m), "x"));
	};
	runner.handler = [&](Socket &s, const Message &m) {
		s.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
		       "\r\n" +
		       runner.seal() + Runner::echo(m) +
		       "Transfer-Encoding: chunked\r\n\r\n");
		for (int i = 1; i <= EVENTS; i++) {
			std::string event =
				"id: " + std::to_string(i) + "\ndata: x\n\n";
			char size[32];

			snprintf(size, sizeof(size), "%zx\r\n", event.size());
			if (!s.send(size + event + "\r\n"))
				return false;
			usleep(300000);
		}
		return s.send("0\r\n\r\n");
	};
	std::thread silence([&] {
		usleep(300000);
		runner.fall_silent();
		other.beat(system.instances[0].api);
	});
	Message m = system.send("GET", "/flow/x", "X-Attempt-Id: a1\r\n");

	silence.join();
	EXPECT_EQ(m.status(), 200);
	EXPECT_TRUE(m.complete);
	EXPECT_NE(m.body.find("id: " + std::to_string(EVENTS)),
		  std::string::npos)
		<< m.body;
	EXPECT_FALSE(moved) << "started again elsewhere";
}

/*
 * Another writer left one odd entry among those of the runners; machines that
 * read the list ended again and again, or stopped following it.
 */
TEST_F(FieldReports, OddAnnouncementNamesNoEndpointAndEndsNothing)
{
	const std::string good = runner.announcement();
	std::vector<std::string> odd = { std::string(100000, '['),
					 "{\"a\":" + std::string(3000, '[') };
	const std::pair<const char *, const char *> changes[] = {
		{ "\"address\":\"", "\"address\":\"runner." },
		{ "\"address\":\"127.0.0.1:", "\"address\":\"127.0.0.1:9" },
		{ "\"slots\":", "\"slots\":1e400," },
		{ "\"slots\":", "\"slots\":-1,\"x\":" },
		{ "\"born\":", "\"born\":99999999999999999999,\"x\":" },
		{ "\"born\":", "\"born\":9223372036854775807,\"x\":" },
		{ "\"seq\":", "\"seq\":9223372036854775807,\"x\":" },
		{ "\"state\":\"ready\"", "\"state\":{\"ready\":1}" },
	};

	for (auto &c : changes) {
		std::string text = good;
		size_t at = text.find(c.first);

		ASSERT_NE(at, std::string::npos) << c.first;
		odd.push_back(text.replace(at, strlen(c.first), c.second));
	}
	for (size_t i = 0; i < odd.size(); i++)
		for (const char *id : { "i-odd", "i-a" })
			EXPECT_EQ(call(system.instances[0].api,
				       request("PUT",
					       std::string("/dandelionspar/"
							   "instances/") +
						       id,
					       "control",
					       "Content-Type: "
					       "application/json\r\n",
					       odd[i]))
					  .status(),
				  400)
				<< odd[i].substr(0, 200);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(system.send("GET", "/safe/x", "X-Attempt-Id: a1\r\n")
				  .status(),
			  200);
	/* The list is followed on: a new runner, and a change of the table. */
	Runner other("plain", "i-b");
	system.add(other, "/safe/probe");
	EXPECT_EQ(system.put(table(2)), 200);
	for (auto &x : system.instances)
		EXPECT_EQ(kill(x.pid, 0), 0) << x.id;
	EXPECT_EQ(system.log_of(system.entry()).find("not_connected"),
		  std::string::npos);
}

/*
 * In a planned stop, requests that came late in the grace were taken and passed
 * on; at its end they were cut with no answer, among them requests that may not
 * be repeated. The drain limit is 4 s, the timeout of the routes 3 s.
 */
TEST_F(FieldReports, RequestsLateInAStopAreAnswered)
{
	struct {
		const char *method, *path;
		int delay_ms;
		int status = 0;
	} calls[] = {
		{ "GET", "/safe/early", 500 },	 { "POST", "/once/early", 500 },
		{ "GET", "/safe/late", 2000 },	 { "POST", "/once/late", 2000 },
		{ "GET", "/safe/latest", 2400 }, { "GET", "/flow/early", 100 },
	};
	System::Instance &entry = system.entry();
	std::vector<std::thread> callers;

	runner.handler = [](Socket &, const Message &) {
		usleep(6000000);
		return false;
	};
	size_t before = runner.n_ran();
	kill(entry.pid, SIGTERM);
	for (auto &c : calls)
		callers.emplace_back([&c, &entry] {
			usleep((useconds_t)c.delay_ms * 1000);
			c.status =
				call(entry.front,
				     request(c.method, c.path, "host.example",
					     std::string("X-Attempt-Id: ") +
						     (c.path + 1) + "\r\n"))
					.status();
		});
	for (auto &t : callers)
		t.join();
	for (auto &c : calls)
		EXPECT_TRUE(c.status == 503 || c.status == 504)
			<< c.path << " " << c.status;
	EXPECT_GT(runner.n_ran(), before);
	/* The outcome of a request that may not be repeated is known. */
	EXPECT_EQ(calls[3].status, 503);
	for (const Message &m : runner.ran_requests())
		EXPECT_NE(m.target(), "/once/late");
}

namespace
{

/* Lets the writes of a process to regular files fail, as on a full disk, or
 * succeed again. */
void set_disk_full(pid_t pid, bool full)
{
	struct rlimit limit = { full ? 0 : RLIM_INFINITY, RLIM_INFINITY };

	EXPECT_EQ(prlimit(pid, RLIMIT_FSIZE, &limit, nullptr), 0);
}

/* A table of many routes, all of which differ between versions. */
std::string large_table(int version)
{
	std::string more;

	for (int i = 0; i < 300; i++)
		more += ",{\"name\":\"r" + std::to_string(i) +
			"\",\"host\":\"host.example\",\"pathPrefix\":\"/more" +
			std::to_string(i) +
			"/\",\"kind\":\"safe\",\"timeoutMs\":" +
			std::to_string(1000 + version) +
			",\"goalMs\":300,\"priority\":1,\"service\":\"plain\","
			"\"maxAttempts\":2}";
	return table(version, more);
}

} // namespace

/*
 * The disks of counted machines were full for a few seconds each, one after
 * another. Long after the last had room again, changes were refused or stayed
 * unanswered, while all processes ran. DISK_ROUNDS plays more rounds, so that
 * the log is compacted meanwhile.
 */
TEST(FieldReportsDisks, ChangesAreAcknowledgedAfterDisksWereFullInTurn)
{
	const char *text = getenv("DISK_ROUNDS");
	int rounds = text ? atoi(text) : 2;
	System system(3, 1);
	int version = 1;
	int acknowledged = 0;

	system.serve(large_table(version));
	for (int round = 0; round < rounds; round++)
		for (size_t full = 0; full < 3; full++) {
			set_disk_full(system.instances[full].pid, true);
			for (int64_t until = proc_now_ms() + 1200;
			     proc_now_ms() < until;) {
				std::string t = large_table(++version);

				for (size_t i = 0; i < 3; i++)
					if (system.put(t, i) == 200) {
						acknowledged = version;
						break;
					}
			}
			set_disk_full(system.instances[full].pid, false);
			usleep(700000);
		}
	EXPECT_GT(acknowledged, 3);
	usleep(1500000);
	for (int n = 0; n < 6; n++) {
		std::string t = large_table(++version);

		EXPECT_TRUE(System::eventually(
			[&] { return system.put(t, (size_t)n % 3) == 200; },
			4000))
			<< "version " << version << "\n"
			<< system.logs();
	}
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(System::eventually(
			[&] {
				Message m = system.get(i);

				return m.status() == 200 &&
				       m.body.find("\"version\":" +
						   std::to_string(version)) !=
					       std::string::npos;
			},
			4000));
}
