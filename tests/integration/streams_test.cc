#include "system.h"

/* Streams and idempotent calls with broken, silent and crashing endpoints. */

namespace
{

class Streams : public ::testing::Test
{
      protected:
	void start(std::vector<const char *> args)
	{
		system.start();
		engines[0] = system.endpoint("engine1", args);
		engines[1] = system.endpoint("engine2", args);
		ASSERT_EQ(system.put_document(0, 1,
					      System::model("small") +
						      "min_copies = 2\n")
				  .status,
			  200);
		for (size_t i = 0; i < 3; i++)
			ASSERT_TRUE(cluster_wait_model(system.cluster, i,
						       "demo", "small",
						       kTimeoutMs));
		ASSERT_TRUE(System::wait_for([&] { return copies() == 2; }));
	}

	/* The number of ready copies in the status of the first instance. */
	int64_t copies()
	{
		json_t *status = cluster_status(system.cluster, 0);
		const json_t *endpoint;
		int64_t n = 0;
		size_t i;

		json_array_foreach(json_object_get(status, "endpoints"), i,
				   endpoint) n +=
			json_integer_value(json_object_get(endpoint, "ready"));
		json_decref(status);
		return n;
	}

	/* Index of the engine that last started the prompt; -1 if none has. */
	int runner_of(const std::string &prompt)
	{
		int found = -1;

		for (const Event &e : system.record())
			if (e.event == "start" && e.prompt == prompt)
				found = e.endpoint == "engine1" ? 0 : 1;
		return found;
	}

	/* Runs a stream and injects a fault into the endpoint serving it. */
	Reply with_fault(const std::string &prompt, uint32_t tokens,
			 const std::function<void(size_t)> &fault)
	{
		Reply reply;
		std::thread caller(
			[&] { reply = system.complete(1, prompt, tokens); });
		bool started = System::wait_for(
			[&] { return runner_of(prompt) >= 0; });

		EXPECT_TRUE(started);
		usleep(100000);
		if (started)
			fault(engines[runner_of(prompt)]);
		caller.join();
		return reply;
	}

	void expect_complete(const Reply &reply, const std::string &prompt,
			     uint32_t tokens)
	{
		EXPECT_EQ(reply.status, 200) << reply.body;
		EXPECT_TRUE(reply.complete);
		EXPECT_EQ(System::text(reply),
			  System::expected(prompt, tokens));
	}

	System system{ 3, 3 };
	size_t engines[2] = {};
};

const std::vector<const char *> kSlow = { "--token-us", "20000" };
const std::vector<const char *> kSlowNoResume = { "--token-us", "20000",
						  "--no-resume" };

} // namespace

/* Guards that each of many concurrent callers gets the complete answer to its
 * own request, streamed or not. */
TEST_F(Streams, ManyCallersGetTheirOwnAnswers)
{
	std::vector<std::thread> callers;

	start({ "--token-us", "1000" });
	for (int c = 0; c < 24; c++)
		callers.emplace_back([&, c] {
			for (int k = 0; k < 5; k++) {
				std::string prompt =
					"p" + std::to_string(c * 100 + k);
				Reply reply = system.complete(
					(size_t)c % 3, prompt, 20, k % 2);

				expect_complete(reply, prompt, 20);
			}
		});
	for (std::thread &thread : callers)
		thread.join();
}

/* Guards resumption: the endpoint is killed mid-stream, and the stream is
 * resumed on another engine without a repeated or missing token. */
TEST_F(Streams, KilledEndpointIsResumedElsewhere)
{
	start(kSlow);
	Reply reply = with_fault("seam", 60, [&](size_t endpoint) {
		cluster_kill_endpoint(system.cluster, endpoint);
	});
	expect_complete(reply, "seam", 60);
}

/* As above for engines without resume: the stream is restarted, and tokens
 * already delivered are skipped. */
TEST_F(Streams, KilledEndpointIsRestartedElsewhere)
{
	start(kSlowNoResume);
	Reply reply = with_fault("restart", 60, [&](size_t endpoint) {
		cluster_kill_endpoint(system.cluster, endpoint);
	});
	expect_complete(reply, "restart", 60);
}

/* Guards the silence limit between entry and endpoint: the open connection goes
 * silent permanently, while new connections work. */
TEST_F(Streams, SilentConnectionIsReplaced)
{
	start(kSlow);
	Reply reply = with_fault("silent", 60, [&](size_t endpoint) {
		proxy_silence_open(
			cluster_endpoint_proxy(system.cluster, endpoint));
	});
	expect_complete(reply, "silent", 60);
}

/* Guards against dead idle connections: pooled connections to the endpoints go
 * silent after their last use; the next requests still get complete answers. */
TEST_F(Streams, SilentIdleConnectionsAreReplaced)
{
	start({ "--token-us", "1000" });
	for (int k = 0; k < 6; k++)
		expect_complete(system.complete((size_t)k % 3, "warm", 5),
				"warm", 5);
	for (size_t endpoint : engines)
		proxy_silence_open(
			cluster_endpoint_proxy(system.cluster, endpoint));
	for (int k = 0; k < 6; k++)
		expect_complete(system.complete((size_t)k % 3, "cold", 5),
				"cold", 5);
}

/* Guards the quarantine: a request that crashes its endpoint is rejected by all
 * entries after two crashes in the whole system, while other requests are
 * served. */
TEST_F(Streams, CrashingRequestIsQuarantined)
{
	std::atomic<bool> done{ false };

	start({ "--token-us", "1000", "--crash-on", "poison" });
	std::thread supervisor([&] {
		while (!done) {
			for (size_t endpoint : engines)
				if (cluster_endpoint_exited(system.cluster,
							    endpoint))
					cluster_restart_endpoint(system.cluster,
								 endpoint);
			usleep(50000);
		}
	});
	Reply reply;
	EXPECT_TRUE(System::wait_for([&] {
		static size_t entry;

		reply = system.complete(entry++ % 3, "poison", 5);
		return reply.error("code") == "request_quarantined";
	})) << reply.body;
	EXPECT_EQ(system.count_events("crash"), 2u);
	for (size_t i = 0; i < 3; i++) {
		EXPECT_TRUE(System::wait_for([&] {
			return system.complete(i, "poison", 5).error("code") ==
			       "request_quarantined";
		}));
		EXPECT_TRUE(System::wait_for([&] {
			Reply good = system.complete(i, "good", 5);

			return good.status == 200 &&
			       System::text(good) ==
				       System::expected("good", 5);
		}));
	}
	EXPECT_EQ(system.count_events("crash"), 2u);
	done = true;
	supervisor.join();
}

/* Guards a leaving endpoint: after a few seconds it gets no new requests, its
 * running requests complete, and callers see no error. */
TEST_F(Streams, LeavingEndpointGetsNoNewWork)
{
	constexpr int64_t kGraceUs = 3000000;
	std::atomic<bool> done{ false };
	std::vector<std::thread> callers;

	start({ "--token-us", "2000", "--leave-ms", "6000" });
	for (int c = 0; c < 6; c++)
		callers.emplace_back([&, c] {
			for (int k = 0; !done; k++) {
				std::string prompt =
					"leave" + std::to_string(c * 1000 + k);

				expect_complete(system.complete((size_t)c % 3,
								prompt, 10),
						prompt, 10);
			}
		});
	usleep(300000);
	cluster_signal_endpoint(system.cluster, engines[0], SIGTERM);
	ASSERT_TRUE(System::wait_for(
		[&] { return system.count_events("leaving") == 1; }));
	usleep(6500000);
	done = true;
	for (std::thread &thread : callers)
		thread.join();
	int64_t left_us = 0;
	for (const Event &e : system.record()) {
		if (e.event == "leaving")
			left_us = e.us;
		if (e.event == "start" && e.endpoint == "engine1" && left_us) {
			EXPECT_LT(e.us, left_us + kGraceUs) << e.prompt;
		}
	}
}

/* Guards graceful shutdown: an entry is stopped while callers still use its
 * address and streams are open; no stream is interrupted. */
TEST_F(Streams, StoppedEntryInterruptsNoRequest)
{
	std::vector<std::thread> callers;
	std::vector<Reply> replies(12);

	start(kSlow);
	for (size_t c = 0; c < replies.size(); c++)
		callers.emplace_back([&, c] {
			replies[c] = system.complete(
				1, "stop" + std::to_string(c), 100);
		});
	ASSERT_TRUE(System::wait_for([&] {
		return system.count_events("start") == replies.size();
	}));
	std::thread late([&] {
		/* Within the validity time of the entry list (1 s). */
		usleep(300000);
		expect_complete(system.complete(1, "late", 20), "late", 20);
	});
	EXPECT_EQ(cluster_stop(system.cluster, 1, kTimeoutMs), 0);
	late.join();
	for (std::thread &thread : callers)
		thread.join();
	for (size_t c = 0; c < replies.size(); c++)
		expect_complete(replies[c], "stop" + std::to_string(c), 100);
}
