#include <atomic>
#include <fstream>
#include <thread>

#include "tests/platform/system.h"

/*
 * Faulty endpoints that send an endless response head or body, until the other
 * side closes the connection.
 *
 * To run only these tests: build/integration/endless_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

/* An answer may have 8 MB; socket and parser buffers add to that. */
constexpr size_t BYTES_MAX = 16 << 20;
/* Limit on the peak RSS of an entry; the platform gives the entry 260 MB. */
constexpr size_t MEMORY_MAX_KB = 130 << 10;
constexpr int FLOOD_MS = 20000;

struct Case {
	const char *name;
	const char *path;
	/* Sent once. %s: the header fields that identify the answer. */
	std::string begin;
	std::string repeated;
	int pause_ms; /* between two repetitions */
};

const std::string OK = "HTTP/1.1 200 OK\r\n";
const std::string OTHER = OK + "X-Server-Seal: s\r\nX-Attempt-Id: other\r\n";

std::string block(const std::string &text)
{
	std::string all;

	while (all.size() < 65536)
		all += text;
	return all;
}

std::string chunk(const std::string &bytes)
{
	char size[32];

	snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
	return size + bytes + "\r\n";
}

const Case cases[] = {
	{ "Field", "/safe/x", OK + "X-A: ", block("a"), 0 },
	{ "Fields", "/safe/x", OK, block("X-A: b\r\n"), 0 },
	{ "StatusLine", "/safe/x", "HTTP/1.1 200 ", block("O"), 0 },
	{ "InterimAnswers", "/safe/x", "", block("HTTP/1.1 102 Wait\r\n\r\n"),
	  0 },
	{ "AnswersOfOthers", "/safe/x", "",
	  block(OTHER + "Content-Length: 2\r\n\r\nok"), 0 },
	{ "BodyOfAnother", "/safe/x", OTHER + "\r\n", block("a"), 0 },
	{ "Body", "/safe/x", OK + "%s\r\n", block("a"), 0 },
	{ "Chunks", "/safe/x", OK + "%sTransfer-Encoding: chunked\r\n\r\n",
	  chunk(block("a")), 0 },
	{ "ChunkExtension", "/safe/x",
	  OK + "%sTransfer-Encoding: chunked\r\n\r\n1;a=", block("a"), 0 },
	{ "Trailers", "/safe/x",
	  OK + "%sTransfer-Encoding: chunked\r\n\r\n0\r\n", block("X-A: b\r\n"),
	  0 },
	{ "SlowField", "/safe/x", OK + "X-A: ", "a", 50 },
	{ "SlowInterimAnswers", "/safe/x", "", "HTTP/1.1 102 Wait\r\n\r\n",
	  50 },
	{ "SlowBody", "/safe/x", OK + "%s\r\n", "a", 50 },
	{ "Event", "/flow/x",
	  OK + "%sTransfer-Encoding: chunked\r\n\r\n" +
		  chunk("id: 1\ndata: piece1\n\n"),
	  chunk("data: " + block("a") + "\n"), 0 },
	{ "EventWithoutLines", "/flow/x",
	  OK + "%sTransfer-Encoding: chunked\r\n\r\n" +
		  chunk("id: 1\ndata: piece1\n\n"),
	  chunk(block("a")), 0 },
	{ "SlowEvent", "/flow/x",
	  OK + "%sTransfer-Encoding: chunked\r\n\r\n" +
		  chunk("id: 1\ndata: piece1\n\n"),
	  chunk("data: a\n"), 50 },
};

size_t peak_kb(const System::Instance &x)
{
	std::ifstream in("/proc/" + std::to_string(x.pid) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (!line.compare(0, 6, "VmHWM:"))
			return strtoul(line.c_str() + 6, nullptr, 10);
	return SIZE_MAX;
}

void PrintTo(const Case &c, std::ostream *out)
{
	*out << c.name;
}

class Endless : public ::testing::Test
{
      protected:
	System system{ 1, 1 };
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };
	std::atomic<int> floods{ 1 }; /* requests to answer with one */
	std::atomic<size_t> sent{ 0 };
	std::atomic<bool> closed{ false };

	void SetUp() override
	{
		system.serve(table(1));
		system.add(a, "/safe/probe");
		system.add(b, "/safe/probe");
	}
	/* Sends endless answers to the next `floods` requests, then good ones
	 * to all others. */
	void flood(const Case &c)
	{
		for (Runner *r : { &a, &b })
			r->handler = [this, r, c](Socket &s, const Message &m) {
				if (floods.fetch_sub(1) > 0)
					return send_endless(*r, s, m, c);
				return send_good(*r, s, m);
			};
	}
	bool send_endless(Runner &r, Socket &s, const Message &m, const Case &c)
	{
		std::string begin = c.begin;
		size_t at = begin.find("%s");
		int64_t until = proc_now_ms() + FLOOD_MS;

		if (at != std::string::npos)
			begin.replace(at, 2, r.seal() + Runner::echo(m));
		if (!s.send(begin))
			return false;
		while (proc_now_ms() < until) {
			if (!s.send(c.repeated)) {
				closed = true;
				return false;
			}
			sent += c.repeated.size();
			usleep((useconds_t)c.pause_ms * 1000);
		}
		return false;
	}
	static bool send_good(Runner &r, Socket &s, const Message &m)
	{
		if (m.target().compare(0, 5, "/flow") != 0)
			return s.send(answer(200, r.seal() + Runner::echo(m),
					     "good"));
		return s.send(OK + "Content-Type: text/event-stream\r\n" +
			      r.seal() + Runner::echo(m) +
			      "Transfer-Encoding: chunked\r\n\r\n" +
			      chunk("id: 2\ndata: piece2\n\n") + "0\r\n\r\n");
	}
	int n_ran(const std::string &id)
	{
		int n = 0;

		for (Runner *r : { &a, &b })
			for (const auto &m : r->ran_requests())
				n += m.field("X-Attempt-Id") == id;
		return n;
	}
};

class EndlessAnswer : public Endless, public ::testing::WithParamInterface<Case>
{
};

} // namespace

/* Guards against a request that is stuck on an endless answer while another
 * endpoint could serve it, and against buffering that answer. */
TEST_P(EndlessAnswer, IsAbandonedForAnotherEndpoint)
{
	const Case &c = GetParam();
	bool stream = !strcmp(c.path, "/flow/x");

	flood(c);
	Message m = system.send("POST", c.path, "X-Attempt-Id: a1\r\n", "x");
	EXPECT_EQ(m.status(), 200) << system.logs();
	EXPECT_TRUE(m.complete);
	EXPECT_EQ(m.body, stream ? "id: 1\ndata: piece1\n\n"
				   "id: 2\ndata: piece2\n\n"
				 : "good");
	EXPECT_TRUE(System::eventually([&] { return closed.load(); }, 3000));
	EXPECT_LE(sent, BYTES_MAX);
	EXPECT_LE(peak_kb(system.entry()), MEMORY_MAX_KB);
	/* The entry still serves requests. */
	EXPECT_EQ(
		system.send("GET", "/safe/x", "X-Attempt-Id: a2\r\n").status(),
		200);
}

INSTANTIATE_TEST_SUITE_P(Cases, EndlessAnswer, ::testing::ValuesIn(cases),
			 [](const auto &info) { return info.param.name; });

/* Guards the answer to a request that must not run again: it is sent at once,
 * not at the deadline, and does not claim that the request did not run. */
TEST_F(Endless, NonIdempotentRequestFailsAtOnce)
{
	flood({ "", "", OK + "%s\r\n", block("a"), 0 });
	Message m = system.send("POST", "/once/x", "X-Attempt-Id: a1\r\n", "x");
	EXPECT_EQ(m.status(), 502);
	EXPECT_TRUE(System::eventually([&] { return closed.load(); }, 3000));
	EXPECT_EQ(n_ran("a1"), 1);
}

/* Guards the entry's memory use with many concurrent endless answers. */
TEST_F(Endless, ManyAnswersDoNotFillTheMemory)
{
	std::vector<std::thread> callers;

	floods = 40;
	/* Slow enough for all answers to overlap. */
	flood({ "", "", OK + "%s\r\n", block("a"), 15 });
	for (int i = 0; i < 40; i++)
		callers.emplace_back([this] {
			system.send("POST", "/once/x", "X-Attempt-Id: a1\r\n",
				    "x");
		});
	for (auto &caller : callers)
		caller.join();
	EXPECT_LE(peak_kb(system.entry()), MEMORY_MAX_KB);
	floods = 0;
	EXPECT_EQ(
		system.send("GET", "/safe/x", "X-Attempt-Id: a2\r\n").status(),
		200);
}

/* Guards the leader's memory against an engine that sends an endless state
 * report, and that the engine gets orders again afterwards. */
TEST(EndlessReport, IsDropped)
{
	System system{ 1, 1 };
	Runner engine{ "engine", "i-e", true };

	engine.endless_reports = true;
	system.serve(table(1, "", model("m1")));
	engine.beat(system.instances[0].api);
	ASSERT_TRUE(System::eventually([&] {
		return engine.endless_bytes > 0;
	})) << system.logs();
	sleep(3);
	EXPECT_LE(peak_kb(system.instances[0]), MEMORY_MAX_KB);
	EXPECT_LE(engine.endless_bytes, BYTES_MAX * 10) << "ten reads";
	engine.endless_reports = false;
	EXPECT_TRUE(System::eventually([&] {
		std::lock_guard<std::mutex> guard(engine.lock);

		return engine.holds.count("m1") > 0;
	})) << system.logs();
}
