#include <gtest/gtest.h>

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
