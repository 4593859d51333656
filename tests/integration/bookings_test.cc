#include "system.h"

#include <set>

/* Non-idempotent calls with lost answers, killed and frozen processes, and
 * silent connections: each key runs at most once, and the outcome reported to
 * callers is true. */

namespace
{

class Bookings : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		system.start();
		plain = system.endpoint("bookings1",
					{ "--plain", "--service", "bookings" });
		ASSERT_EQ(system.put_document(0, 1).status, 200);
		for (size_t i = 0; i < 3; i++)
			ASSERT_TRUE(System::wait_for([&] {
				return system.call(i, "GET",
						   "/v1/services/bookings/x")
					       .status == 200;
			})) << "the service is not reachable";
	}

	static bool was_run(const Reply &reply)
	{
		return reply.status == 201;
	}

	System system{ 3, 3, true };
	size_t plain = 0;
};

std::string body_of(const std::string &key)
{
	return "{\"key\":\"" + key + "\"}";
}

} // namespace

/* Guards claims: if many callers resend one key through all entries at once, it
 * runs once and all get the same answer. */
TEST_F(Bookings, ConcurrentResendsRunOnce)
{
	for (int round = 0; round < 10; round++) {
		std::string key = "key" + std::to_string(round);
		std::vector<Reply> replies(9);
		std::vector<std::thread> callers;

		for (size_t i = 0; i < replies.size(); i++)
			callers.emplace_back([&, i] {
				replies[i] =
					system.book(i % 3, key, body_of(key));
			});
		for (std::thread &thread : callers)
			thread.join();
		EXPECT_EQ(system.runs(body_of(key)), 1u);
		for (const Reply &reply : replies) {
			EXPECT_TRUE(was_run(reply)) << reply.body;
			EXPECT_EQ(reply.body, replies[0].body);
		}
	}
}

/* Guards the rejection of a request without a key, and of a different request
 * with a used key; "not_run" is true for both. */
TEST_F(Bookings, MissingOrReusedKeyIsRefused)
{
	Reply reply = system.call(0, "POST", "/v1/services/bookings/slots",
				  body_of("none"));

	EXPECT_EQ(reply.status, 400);
	EXPECT_EQ(reply.error("code"), "idempotency_key_required");
	EXPECT_EQ(reply.error("ran"), "not_run");
	EXPECT_TRUE(was_run(system.book(0, "k", body_of("first"))));
	reply = system.book(1, "k", body_of("second"));
	EXPECT_EQ(reply.status, 422);
	EXPECT_EQ(reply.error("ran"), "not_run");
	EXPECT_EQ(system.runs(body_of("none")), 0u);
	EXPECT_EQ(system.runs(body_of("first")), 1u);
	EXPECT_EQ(system.runs(body_of("second")), 0u);
}

/* Guards unknown outcomes: the endpoint runs the booking but its answer is
 * lost. No resend may run it again, and no caller may get "not_run". */
TEST_F(Bookings, LostAnswerIsNeverRunAgain)
{
	struct proxy *proxy = cluster_endpoint_proxy(system.cluster, plain);

	proxy_drop(proxy, PROXY_TO_CLIENT, true);
	Reply first = system.call(
		0, "POST", "/v1/services/bookings/slots", body_of("lost"),
		{ "Idempotency-Key: lost", "X-Deadline-Ms: 4000" });
	EXPECT_FALSE(was_run(first));
	EXPECT_EQ(first.error("ran"), "unknown") << first.body;
	proxy_drop(proxy, PROXY_TO_CLIENT, false);
	proxy_break_open(proxy);
	for (size_t i = 0; i < 3; i++) {
		Reply again = system.book(i, "lost", body_of("lost"));

		EXPECT_FALSE(was_run(again));
		EXPECT_EQ(again.error("ran"), "unknown") << again.body;
	}
	EXPECT_EQ(system.runs(body_of("lost")), 1u);
}

/* Guards "not_run": if a call is rejected with it while the endpoint is
 * unreachable, nothing ran, and the same key runs once after the endpoint is
 * restarted. */
TEST_F(Bookings, NotRunIsTrueAndAResendRuns)
{
	struct proxy *proxy = cluster_endpoint_proxy(system.cluster, plain);

	proxy_refuse(proxy, true);
	proxy_break_open(proxy);
	cluster_signal_endpoint(system.cluster, plain, SIGKILL);
	Reply refused = system.book(0, "later", body_of("later"));
	EXPECT_FALSE(was_run(refused));
	if (refused.error("ran") == "not_run") {
		EXPECT_EQ(system.runs(body_of("later")), 0u);
	}
	proxy_refuse(proxy, false);
	cluster_restart_endpoint(system.cluster, plain);
	Reply last;
	bool settled = System::wait_for([&] {
		last = system.book(1, "later", body_of("later"));
		return was_run(last) || last.error("ran") == "unknown";
	});
	EXPECT_TRUE(settled) << last.body;
	EXPECT_LE(system.runs(body_of("later")), 1u);
	EXPECT_EQ(system.runs(body_of("later")), was_run(last) ? 1u : 0u);
}

/* Guards against a second run after the entry that owns the claim is killed
 * while the endpoint runs the booking: resends through other entries get
 * "unknown". */
TEST_F(Bookings, KilledEntryLeavesAnUnknownOutcome)
{
	struct proxy *proxy = cluster_endpoint_proxy(system.cluster, plain);
	int leader = system.wait_leader();
	size_t owner = ((size_t)leader + 1) % 3;
	size_t other = ((size_t)leader + 2) % 3;

	proxy_drop(proxy, PROXY_TO_CLIENT, true);
	std::thread caller([&] {
		system.book(owner, "orphan", body_of("orphan"), 20000);
	});
	ASSERT_TRUE(System::wait_for(
		[&] { return system.runs(body_of("orphan")) == 1; }));
	cluster_kill(system.cluster, owner);
	proxy_drop(proxy, PROXY_TO_CLIENT, false);
	proxy_break_open(proxy);
	caller.join();
	EXPECT_TRUE(System::wait_for([&] {
		return system.book(other, "orphan", body_of("orphan"))
			       .error("ran") == "unknown";
	}));
	cluster_start(system.cluster, owner);
	ASSERT_TRUE(cluster_wait_serving(system.cluster, owner, kTimeoutMs));
	EXPECT_EQ(system.book(owner, "orphan", body_of("orphan")).error("ran"),
		  "unknown");
	EXPECT_EQ(system.runs(body_of("orphan")), 1u);
}

/* Guards claims while leaders are killed and frozen: callers resend each key
 * until its outcome is final; no key runs twice, and every successful answer
 * belongs to a run. */
TEST_F(Bookings, ManyKeysOverLeaderFailures)
{
	constexpr int kKeys = 60;
	std::vector<Reply> last(kKeys);
	std::vector<std::thread> callers;
	std::atomic<bool> stop{ false };

	for (int c = 0; c < 6; c++)
		callers.emplace_back([&, c] {
			for (int k = c; k < kKeys; k += 6) {
				std::string key = "many" + std::to_string(k);

				for (size_t i = (size_t)k; !stop; i++) {
					last[k] = system.book(
						i % 3, key, body_of(key), 5000);
					if (was_run(last[k]) ||
					    last[k].error("ran") == "unknown")
						break;
				}
				usleep(50000);
			}
		});
	for (int round = 0; round < 2; round++) {
		usleep(200000);
		size_t leader = (size_t)system.wait_leader();
		cluster_kill(system.cluster, leader);
		system.wait_leader();
		cluster_start(system.cluster, leader);
		cluster_wait_serving(system.cluster, leader, kTimeoutMs);
		leader = (size_t)system.wait_leader();
		cluster_freeze(system.cluster, leader);
		usleep(1500000);
		cluster_thaw(system.cluster, leader);
	}
	for (std::thread &thread : callers)
		thread.join();
	stop = true;
	for (int k = 0; k < kKeys; k++) {
		std::string key = "many" + std::to_string(k);
		size_t runs = system.runs(body_of(key));

		EXPECT_LE(runs, 1u) << key;
		if (was_run(last[k])) {
			EXPECT_EQ(runs, 1u) << key;
		}
	}
}

/* Guards bookings through an isolated entry: they are rejected, "not_run" is
 * true if reported, and the same key runs at most once through the majority. */
TEST_F(Bookings, IsolatedEntryRefuses)
{
	size_t isolated = ((size_t)system.wait_leader() + 1) % 3;
	size_t other = (isolated + 1) % 3;

	cluster_isolate(system.cluster, isolated, true);
	Reply refused = system.book(isolated, "cut", body_of("cut"), 20000);
	EXPECT_FALSE(was_run(refused));
	Reply run = system.book(other, "cut", body_of("cut"));
	if (refused.error("ran") == "not_run") {
		EXPECT_TRUE(was_run(run)) << run.body;
	}
	cluster_isolate(system.cluster, isolated, false);
	EXPECT_TRUE(System::wait_for([&] {
		return system.book(isolated, "cut", body_of("cut")).body ==
		       run.body;
	}));
	EXPECT_LE(system.runs(body_of("cut")), 1u);
}

/* Guards against "not_run" for a booking that ran: its caller lost the answer
 * and resends it through an entry that cannot read the claim. The rejection
 * must not report "not_run". */
TEST_F(Bookings, RefusedResendOfARunBookingDoesNotSayNotRun)
{
	size_t isolated = ((size_t)system.wait_leader() + 1) % 3;

	ASSERT_TRUE(was_run(system.book(isolated, "again", body_of("again"))));
	cluster_isolate(system.cluster, isolated, true);
	for (int i = 0; i < 10; i++) {
		Reply refused = system.call(
			isolated, "POST", "/v1/services/bookings/slots",
			body_of("again"),
			{ "Idempotency-Key: again", "X-Deadline-Ms: 1000" });

		EXPECT_NE(refused.error("ran"), "not_run") << refused.body;
		usleep(200000);
	}
	EXPECT_EQ(system.runs(body_of("again")), 1u);
}
