#include <gtest/gtest.h>

#include "tests/platform/system.h"

/*
 * Requests that wait at an entry for a place at an endpoint, with real
 * processes. Nothing else happens at the entry meanwhile, so only the queue's
 * own timer can go on with those that wait.
 *
 * Run alone: build/integration/queue_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

/* Two runners that refuse all requests as full until they are freed. */
class Queue : public ::testing::Test
{
      protected:
	System system{ 1, 1 };
	Runner a{ "plain", "i-a" }, b{ "plain", "i-b" };
	std::atomic<bool> full{ false };
	std::atomic<int> n_refused{ 0 };

	void SetUp() override
	{
		system.serve(table(1));
		for (Runner *r : { &a, &b }) {
			r->slots = 1;
			r->handler = [this, r](Socket &socket,
					       const Message &m) {
				return answer_for(*r, socket, m);
			};
		}
		system.add(a, "/safe/probe");
		system.add(b, "/safe/probe");
	}
	bool answer_for(const Runner &r, Socket &socket, const Message &m)
	{
		std::string fields =
			Runner::echo(m) + (full ? "X-Server-Load: 1,3,1\r\n"
						: "X-Server-Load: 0,0,1\r\n");

		if (!full)
			return socket.send(answer(200, fields + r.seal(), "x"));
		n_refused++;
		return socket.send(
			answer(503, fields + "X-Not-Executed: 1\r\n", ""));
	}
	std::string get(const std::string &id, int deadline_ms)
	{
		return request("GET", "/safe/x", "host.example",
			       "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " +
				       std::to_string(deadline_ms) + "\r\n");
	}
	/* Fills the runners and waits until the entry knows. */
	bool fill()
	{
		full = true;
		return System::eventually([&] {
			call(system.entry().front, get("fill", 3000));
			return n_refused >= 4;
		});
	}
	/* Sends a request and returns after it was queued. */
	void queue(Socket &socket, const std::string &id, int deadline_ms)
	{
		ASSERT_TRUE(socket.connect_to(system.entry().front));
		ASSERT_TRUE(socket.send(get(id, deadline_ms)));
		usleep(20000);
	}
	/* Time of the answer in ms; -1: none within the route's time limit. */
	static int64_t answer_ms(Socket &socket)
	{
		int64_t start = proc_now_ms();
		Message m;

		if (!socket.read(&m, 3500) || !m.status())
			return -1;
		return proc_now_ms() - start;
	}
};

} // namespace

/* Guards against a request that is never answered: the timer of the queue
 * belonged to the first request of it, and ended with its caller. */
TEST_F(Queue, RequestBehindOneWhoseCallerLeavesIsAnswered)
{
	for (int round = 0; round < 5; round++) {
		Socket first, second;

		ASSERT_TRUE(fill());
		queue(first, "first", 3000);
		queue(second, "second", 3000);
		usleep(60000);
		first.shut();
		full = false;
		EXPECT_GE(answer_ms(second), 0) << "round " << round;
	}
}

/* The same where the first request ends at its own deadline. */
TEST_F(Queue, RequestBehindOneThatReachesItsDeadlineIsAnswered)
{
	for (int round = 0; round < 10; round++) {
		Socket first, second;

		ASSERT_TRUE(fill());
		queue(first, "first", 150);
		queue(second, "second", 3000);
		EXPECT_GE(answer_ms(first), 0) << "round " << round;
		full = false;
		EXPECT_GE(answer_ms(second), 0) << "round " << round;
	}
}

/* A whole queue whose callers leave one after the other, the first one first,
 * but for the last. */
TEST_F(Queue, LastOfManyIsAnsweredWhenAllOthersLeave)
{
	Socket sockets[8];

	ASSERT_TRUE(fill());
	for (auto &socket : sockets)
		queue(socket, "many", 3000);
	for (size_t i = 0; i + 1 < 8; i++) {
		sockets[i].shut();
		usleep(3000);
	}
	EXPECT_GE(answer_ms(sockets[7]), 0);
}
