#include <thread>

#include "tests/platform/system.h"

/*
 * An entry that stood still decides what it knows of others before it has read
 * what they sent meanwhile. Each case also runs without the stop, where it must
 * pass as well.
 *
 * Alone: build/integration/stalled_entry_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

const char *const ID = "X-Attempt-Id: a1\r\n";
const char *const HOST = "host.example";
/* Requests that an entry sends at once to a plain endpoint with one slot. */
constexpr int PLACES = 4;

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

std::string stream_head(const Runner &r, const Message &m)
{
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
	       r.seal() + Runner::echo(m) +
	       "Transfer-Encoding: chunked\r\n\r\n";
}

void sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

/* The parameter: whether the entry stands still. */
class StalledEntry : public ::testing::TestWithParam<bool>
{
      protected:
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };

	static void stop(const System::Instance &x)
	{
		if (GetParam())
			kill(x.pid, SIGSTOP);
	}
	static void go_on(const System::Instance &x)
	{
		kill(x.pid, SIGCONT);
	}
};

class StalledEntryAlone : public StalledEntry
{
      protected:
	System system{ 1, 1 };

	void SetUp() override
	{
		system.serve(table(1));
	}
	void add(Runner &r)
	{
		system.add(r, "/safe/probe");
	}
	void stop()
	{
		StalledEntry::stop(system.entry());
	}
	void go_on()
	{
		StalledEntry::go_on(system.entry());
	}
};

/* With a customer that has a rate. */
class StalledEntryOfCustomers : public StalledEntry
{
      protected:
	System system{ 1, 1 };

	void SetUp() override
	{
		std::string text = table(1);

		text.pop_back();
		system.serve(text + ",\"tenants\":[{\"name\":\"limited\","
				    "\"apiKeys\":[\"key-l\"],\"unit\":"
				    "\"token_stream\",\"plainTokens\":100,"
				    "\"ratePerS\":4000,\"burst\":4000},"
				    "{\"name\":\"free\",\"apiKeys\":"
				    "[\"key-f\"]}]}");
		ASSERT_TRUE(System::eventually([&] {
			return a.beat_once(system.instances[0].api) == 200;
		})) << system.logs();
		a.beat(system.instances[0].api);
		ASSERT_TRUE(System::eventually([&] {
			return call(system.entry().front, get("key-f"))
				       .status() == 200;
		})) << system.logs();
	}
	static std::string get(const std::string &key)
	{
		return request("GET", "/safe/x", HOST,
			       ID + ("X-Key: " + key +
				     "\r\nX-Token-Count: 60,40\r\n"));
	}
};

/* With two more entries that may pass requests on. */
class StalledEntryOfThree : public StalledEntry
{
      protected:
	System system{ 1, 3, "detour_offset = 1\n" };

	void SetUp() override
	{
		const char *build = getenv("BUILD");

		for (auto &x : system.instances)
			x.preload = std::string(build ? build : "build") +
				    "/cut_connect.so";
		system.serve(table(1));
		system.add(a, "/safe/probe");
		for (size_t i = 1; i <= 3; i++)
			ASSERT_TRUE(System::eventually([&] {
				return send(i).status() == 200;
			})) << system.logs();
	}
	Message send(size_t i)
	{
		return call(system.instances[i].front,
			    request("GET", "/safe/x", HOST, ID));
	}
};

} // namespace

INSTANTIATE_TEST_SUITE_P(StandsStill, StalledEntryAlone, ::testing::Bool());
INSTANTIATE_TEST_SUITE_P(StandsStill, StalledEntryOfCustomers,
			 ::testing::Bool());
INSTANTIATE_TEST_SUITE_P(StandsStill, StalledEntryOfThree, ::testing::Bool());

/* Guards against 408 for a header that was sent within the time limit. */
TEST_P(StalledEntryAlone, HeaderThatArrivedInTimeIsNotRefused)
{
	std::string text = request("GET", "/safe/x", HOST, ID);
	Socket caller;
	Message m;

	add(a);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(text.substr(0, 10)));
	sleep_ms(200);
	stop();
	sleep_ms(100);
	ASSERT_TRUE(caller.send(text.substr(10)));
	sleep_ms(1200);
	go_on();
	EXPECT_TRUE(caller.read(&m));
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against 408 for a body that was sent within the time limit. */
TEST_P(StalledEntryAlone, BodyThatArrivedInTimeIsNotRefused)
{
	std::string text =
		request("POST", "/once/x", HOST, ID, std::string(100, 'x'));
	Socket caller;
	Message m;

	add(a);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(text.substr(0, text.size() - 50)));
	sleep_ms(200);
	stop();
	sleep_ms(100);
	ASSERT_TRUE(caller.send(text.substr(text.size() - 50)));
	sleep_ms(5500);
	go_on();
	EXPECT_TRUE(caller.read(&m));
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against closing a connection as idle whose request waits unread. */
TEST_P(StalledEntryAlone, RequestOnAKeptConnectionIsNotCutOff)
{
	Socket caller;
	Message m;

	add(a);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(request("GET", "/safe/x", HOST, ID)));
	ASSERT_TRUE(caller.read(&m));
	ASSERT_EQ(m.status(), 200);
	sleep_ms(2900);
	stop();
	sleep_ms(100);
	ASSERT_TRUE(caller.send(
		request("POST", "/once/x", HOST, "X-Attempt-Id: a2\r\n", "x")));
	sleep_ms(2600);
	go_on();
	EXPECT_TRUE(caller.read(&m))
		<< "closed: " << caller.ended << " reset: " << caller.was_reset
		<< system.logs();
	EXPECT_EQ(m.status(), 200);
}

/* Guards against refusing a queued request while the answer that frees its
 * place waits unread. */
TEST_P(StalledEntryAlone, QueuedRequestIsNotRefusedWhereAPlaceIsFree)
{
	std::vector<std::thread> others;
	std::atomic<int> held{ 0 };
	Socket caller;
	Message m;

	a.slots = 1;
	a.handler = [&](Socket &s, const Message &q) {
		if (q.target() == "/once/held") {
			held++;
			sleep_ms(300);
		}
		return s.send(answer(200, a.seal() + Runner::echo(q), "x"));
	};
	add(a);
	for (int i = 0; i < PLACES; i++)
		others.emplace_back([&, i] {
			system.send("POST", "/once/held",
				    "X-Attempt-Id: h" + std::to_string(i) +
					    "\r\n");
		});
	EXPECT_TRUE(System::eventually([&] { return held == PLACES; }))
		<< held << system.logs();
	sleep_ms(100);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(request("GET", "/safe/x", HOST, ID)));
	sleep_ms(50);
	stop();
	sleep_ms(1000);
	go_on();
	EXPECT_TRUE(caller.read(&m));
	EXPECT_EQ(m.status(), 200) << system.logs();
	for (auto &t : others)
		t.join();
}

/* Guards against cutting a stream whose first endpoint went on: the entry uses
 * the one that has begun before it reads what the first has sent. */
TEST_P(StalledEntryAlone, StreamIsNotCutWhereTheNextRunnerBreaksInTheGrace)
{
	std::atomic<int> runs{ 0 };
	std::atomic<bool> begun{ false }, goes_on{ false }, breaks{ false };

	for (Runner *r : { &a, &b })
		r->handler = [&, r](Socket &s, const Message &m) {
			if (m.field("X-Attempt-Id") == "probe")
				return s.send(answer(
					200, r->seal() + Runner::echo(m), "x"));
			if (runs++) {
				s.send(stream_head(*r, m) + chunk("id: 3\nda"));
				begun = true;
				System::eventually([&] { return !!breaks; });
				s.reset();
				return false;
			}
			s.send(stream_head(*r, m) + chunk(event(1)) +
			       chunk(event(2)));
			System::eventually([&] { return !!goes_on; });
			return s.send(chunk(event(3)) + chunk(event(4)) +
				      "0\r\n\r\n");
		};
	add(a);
	add(b);
	std::thread stall([&] {
		System::eventually([&] { return !!begun; });
		sleep_ms(20);
		stop();
		sleep_ms(20);
		goes_on = true;
		sleep_ms(60);
		breaks = true;
		sleep_ms(1000);
		go_on();
	});
	Message m = system.send("POST", "/flow/x", ID);
	stall.join();
	EXPECT_TRUE(m.complete) << system.logs();
	EXPECT_EQ(m.body, event(1) + event(2) + event(3) + event(4));
	EXPECT_EQ(runs, 2) << system.logs();
}

/* Guards against leaving an endpoint out for a pause that has ended. */
TEST_P(StalledEntryAlone, PauseIsNotCountedFromWhenItIsRead)
{
	std::atomic<bool> asked{ false }, pauses{ false };
	std::atomic<int> n{ 0 };

	a.handler = [&](Socket &s, const Message &m) {
		if (m.field("X-Attempt-Id") == "probe" || n++)
			return s.send(
				answer(200, a.seal() + Runner::echo(m), "x"));
		asked = true;
		System::eventually([&] { return !!pauses; });
		return s.send(answer(503,
				     "X-Not-Executed: 1\r\nRetry-After: 1\r\n" +
					     Runner::echo(m),
				     ""));
	};
	add(a);
	std::thread first([&] { system.send("GET", "/safe/x", ID); });
	EXPECT_TRUE(System::eventually([&] { return !!asked; }));
	stop();
	sleep_ms(20);
	pauses = true;
	sleep_ms(1500);
	go_on();
	first.join();
	Message m = system.send("GET", "/safe/x", "X-Attempt-Id: a2\r\n");
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against refusing a request for want of a helper whose reply waits
 * unread. */
TEST_P(StalledEntryOfThree, ReplyOfAHelperIsReadBeforeARequestIsRefused)
{
	System::Instance &entry = system.instances[1];
	size_t colon = a.address.find(':');
	Message m;

	sleep_ms(1000); /* for connections that are used again */
	std::ofstream(entry.cut_file()) << a.address.substr(colon + 1) << " "
					<< proc_free_port() << "\n";
	for (size_t i : { 2, 3 })
		kill(system.instances[i].pid, SIGSTOP);
	std::thread stall([&] {
		sleep_ms(150);
		stop(entry);
		sleep_ms(50);
		for (size_t i : { 2, 3 })
			go_on(system.instances[i]);
		sleep_ms(1500);
		go_on(entry);
	});
	m = send(1);
	stall.join();
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against refusing a request whose grant has arrived. */
TEST_P(StalledEntryOfCustomers, GrantIsReadBeforeARequestIsRefused)
{
	System::Instance &control = system.instances[0];
	Socket caller;
	Message m;

	kill(control.pid, SIGSTOP);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(get("key-l")));
	sleep_ms(60);
	stop(system.entry());
	sleep_ms(20);
	go_on(control);
	sleep_ms(1000);
	go_on(system.entry());
	EXPECT_TRUE(caller.read(&m));
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against refusing a valid key while the renewed lease waits unread. */
TEST_P(StalledEntryOfCustomers, ValidKeyIsNotRefused)
{
	Socket caller;
	Message m;

	stop(system.entry());
	sleep_ms(2900);
	ASSERT_TRUE(caller.connect_to(system.entry().front));
	ASSERT_TRUE(caller.send(get("key-f")));
	sleep_ms(100);
	go_on(system.entry());
	EXPECT_TRUE(caller.read(&m));
	EXPECT_EQ(m.status(), 200) << system.logs();
}

/* Guards against taking the entry's own standstill for a slow endpoint and
 * refusing requests for the length of the queue. */
TEST_P(StalledEntryAlone, QueueIsNotTakenForSlowAfterAStandstill)
{
	constexpr int N = 11;
	std::vector<std::thread> steady, burst;
	std::atomic<bool> ends{ false };
	std::atomic<int> served{ 0 }, refused{ 0 };

	a.slots = 1;
	a.handler = [&](Socket &s, const Message &m) {
		sleep_ms(50);
		return s.send(answer(200, a.seal() + Runner::echo(m), "x"));
	};
	add(a);
	for (int i = 0; i < 2; i++)
		steady.emplace_back([&] {
			while (!ends)
				system.send("GET", "/safe/steady",
					    "X-Attempt-Id: s\r\n");
		});
	sleep_ms(2500);
	stop();
	sleep_ms(1900);
	ends = true;
	for (int i = 0; i < N; i++)
		burst.emplace_back([&] {
			int status = system.send("GET", "/safe/x", ID).status();

			served += status == 200;
			refused += status == 503;
		});
	sleep_ms(100);
	go_on();
	for (auto &t : steady)
		t.join();
	for (auto &t : burst)
		t.join();
	EXPECT_EQ(served, N) << system.logs();
	EXPECT_EQ(refused, 0);
}
