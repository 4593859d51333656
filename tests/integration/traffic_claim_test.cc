#include "test_http.h"

/* Non-idempotent requests: section 9 of docs/design.md. */

namespace
{

const Dsp__Command__BodyCase kCreate = DSP__COMMAND__BODY_CLAIM_CREATE;
const Dsp__Command__BodyCase kFinish = DSP__COMMAND__BODY_CLAIM_FINISH;

/* Guards invariant 5: a resend gets the stored answer and is not run again. */
TEST_F(TrafficTest, BookingRunsOnceAndIsReplayed)
{
	Entry &entry = start();
	Entry &other = start();

	add_endpoints(false);
	Reply first = entry.book("k1", "{\"seat\":1}");
	EXPECT_EQ(first.status, 201);
	EXPECT_EQ(first.body, "{\"seat\":1}");
	EXPECT_EQ(fake_group_claim_state(group, "verband", "k1"),
		  (int)DSP__CLAIM_STATE__CLAIM_ANSWERED);
	for (Entry *e : { &entry, &other }) {
		Reply again = e->book("k1", "{\"seat\":1}");

		EXPECT_EQ(again.status, 201);
		EXPECT_EQ(again.body, "{\"seat\":1}");
		EXPECT_EQ(again.headers["content-type"], "application/json");
		EXPECT_EQ(
			e->call("GET", "/v1/requests/k1", { "X-Team: verband" })
				.body,
			"{\"seat\":1}");
	}
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* Guards invariant 5 when the answer is lost: the outcome is unknown, and no
 * resend runs the request again. */
TEST_F(TrafficTest, LostAnswerIsUnknownAndNeverRunAgain)
{
	Entry &entry = start();

	add_endpoints(false);
	for (auto fault : { STUB_LOST, STUB_CROSSED }) {
		std::string key = "lost" + std::to_string(fault);
		size_t before = stub_n_requests(plain);

		stub_fault(plain, fault, 0, 1);
		Reply reply = entry.book(key);
		EXPECT_EQ(reply.status, 502);
		EXPECT_EQ(reply.code(), "outcome_unknown");
		EXPECT_EQ(reply.ran(), "unknown");
		Reply again = entry.book(key);
		EXPECT_EQ(again.status, 409);
		EXPECT_EQ(again.ran(), "unknown");
		EXPECT_EQ(stub_n_requests(plain), before + 1);
	}
}

/* Guards section 11: if the endpoint sends nothing, the call ends at its
 * deadline with an unknown outcome. */
TEST_F(TrafficTest, SilentBookingIsUnknownAtItsDeadline)
{
	Entry &entry = start();

	add_endpoints(false);
	stub_fault(plain, STUB_SILENT, 0, 1);
	Reply reply = entry.book("k1", "{}", { "X-Deadline-Ms: 500" });
	EXPECT_EQ(reply.code(), "outcome_unknown");
	EXPECT_EQ(fake_group_claim_state(group, "verband", "k1"),
		  (int)DSP__CLAIM_STATE__CLAIM_UNKNOWN);
}

/* Guards the abandoned-attempt rule: an attempt that answered its caller while
 * its claim proposal was pending is never dispatched, and its claim is released
 * if the proposal is committed later. */
TEST_F(TrafficTest, AbandonedAttemptNeverRunsAndReleases)
{
	Entry &entry = start();

	add_endpoints(false);
	fake_group_set_outcome(group, kCreate, FAKE_LATE, 1);
	/* The first release is not sent, so that the proposal commits first. */
	fake_group_set_outcome(group, kFinish, FAKE_NOT_SENT, 1);
	Reply reply = entry.book("k1");
	EXPECT_EQ(reply.status, 503);
	EXPECT_EQ(reply.code(), "claim_timeout");
	/* The claim is unread: an earlier attempt may have run. */
	EXPECT_EQ(reply.ran(), "unknown");
	ASSERT_EQ(fake_group_n_late(group), 1u);
	fake_group_deliver_late(group);
	EXPECT_TRUE(eventually([&] {
		return fake_group_claim_state(group, "verband", "k1") ==
		       (int)DSP__CLAIM_STATE__CLAIM_RELEASED;
	}));
	EXPECT_EQ(stub_n_requests(plain), 0u);
	EXPECT_EQ(entry.book("k1").status, 201);
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* As above, but the proposal commits after the release: it must not block the
 * key. */
TEST_F(TrafficTest, ProposalAfterItsReleaseIsNotGranted)
{
	Entry &entry = start();

	add_endpoints(false);
	fake_group_set_outcome(group, kCreate, FAKE_LATE, 1);
	EXPECT_EQ(entry.book("k1").ran(), "unknown");
	EXPECT_TRUE(eventually(
		[&] { return fake_group_n_commands(group, kFinish) >= 2; }));
	fake_group_deliver_late(group);
	EXPECT_EQ(entry.book("k1").status, 201);
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* Guards the rejections that precede the claim: none reaches the endpoint. */
TEST_F(TrafficTest, RejectionsBeforeTheClaimSendNothing)
{
	Entry &entry = start();

	add_endpoints(false);
	Reply no_key = entry.call("POST", "/v1/services/pressplan/slots/7",
				  { "X-Team: verband" }, "{}");
	EXPECT_EQ(no_key.status, 400);
	EXPECT_EQ(no_key.code(), "idempotency_key_required");
	/* A percent-encoded path matches the same route. */
	EXPECT_EQ(entry.call("POST", "/v1/services/pressplan/%73lots/7",
			     { "X-Team: verband" }, "{}")
			  .code(),
		  "idempotency_key_required");
	EXPECT_EQ(entry.book("a~b").code(), "idempotency_key_invalid");
	fake_group_set_outcome(group, kCreate, FAKE_NOT_SENT, 1);
	Reply unavailable = entry.book("k1");
	EXPECT_EQ(unavailable.code(), "control_unavailable");
	EXPECT_EQ(unavailable.ran(), "unknown");
	fake_entry_set_readiness(entry.ctl, CTL_ISOLATED);
	Reply isolated = entry.book("k1");
	EXPECT_EQ(isolated.status, 503);
	EXPECT_EQ(isolated.code(), "isolated");
	EXPECT_EQ(isolated.ran(), "unknown");
	EXPECT_EQ(isolated.headers["x-dandelionspar-stale"], "7");
	/* Idempotent calls are still served. */
	EXPECT_EQ(entry.call("GET", "/v1/services/pressplan/a",
			     { "X-Team: verband" })
			  .status,
		  201);
	EXPECT_EQ(stub_n_requests(plain), 1u);
	EXPECT_EQ(fake_group_claim_state(group, "verband", "k1"), -1);
}

/* Guards the digest rule: a key cannot be used for a different request. */
TEST_F(TrafficTest, KeyOfAnotherRequestIsRejected)
{
	Entry &entry = start();

	add_endpoints(false);
	EXPECT_EQ(entry.book("k1", "{\"seat\":1}").status, 201);
	Reply reply = entry.book("k1", "{\"seat\":2}");
	EXPECT_EQ(reply.status, 422);
	EXPECT_EQ(reply.code(), "idempotency_key_reused");
	EXPECT_EQ(reply.ran(), "not_run");
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* Guards that concurrent resends through two entries run once and all get the
 * outcome, and that a resend with a short deadline gets the status URL. */
TEST_F(TrafficTest, ConcurrentResendsWaitForOneOutcome)
{
	Entry &entry = start();
	Entry &other = start();
	std::vector<std::thread> callers;
	std::vector<Reply> replies(8);

	add_endpoints(false);
	stub_fault(plain, STUB_HOLD, 0, -1);
	for (size_t i = 0; i < replies.size(); i++)
		callers.emplace_back([&, i] {
			replies[i] = (i % 2 ? entry : other).book("k1");
		});
	ASSERT_TRUE(eventually([&] { return stub_n_held(plain) == 1; }));
	Reply impatient = other.book("k1", "{}", { "X-Deadline-Ms: 300" });
	EXPECT_EQ(impatient.status, 202);
	EXPECT_EQ(impatient.headers["location"], "/v1/requests/k1");
	EXPECT_EQ(other.call("GET", "/v1/requests/k1", { "X-Team: verband" })
			  .status,
		  202);
	stub_release(plain);
	for (auto &caller : callers)
		caller.join();
	for (const auto &reply : replies) {
		EXPECT_EQ(reply.status, 201);
		EXPECT_EQ(reply.body, "{}");
	}
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* Guards that the claim of a booking is released if its endpoint refuses the
 * connection: not_run is true, and a later resend with the same key runs. */
TEST_F(TrafficTest, UnreachableEndpointReleasesTheClaim)
{
	Entry &entry = start();
	std::string unreachable =
		"http://127.0.0.1:" + std::to_string(free_port());

	fake_group_put_endpoint(group, "p1", 1, unreachable.c_str(), "verband",
				"pressplan", nullptr, nullptr, false);
	Reply reply = entry.book("k1", "{}", { "X-Deadline-Ms: 3000" });
	EXPECT_EQ(reply.status, 503);
	EXPECT_EQ(reply.ran(), "not_run");
	EXPECT_EQ(fake_group_claim_state(group, "verband", "k1"),
		  (int)DSP__CLAIM_STATE__CLAIM_RELEASED);
	add_endpoints(false);
	EXPECT_TRUE(eventually([&] { return entry.book("k1").status == 201; }));
	EXPECT_EQ(stub_n_requests(plain), 1u);
}

/* Guards that the commit of an outcome is retried after a failure, so that a
 * resend does not get "unknown" for an answer that exists. */
TEST_F(TrafficTest, OutcomeIsCommittedAfterAFailure)
{
	Entry &entry = start();

	add_endpoints(false);
	fake_group_set_outcome(group, kFinish, FAKE_LOST, 1);
	EXPECT_EQ(entry.book("k1", "{\"seat\":1}").status, 201);
	EXPECT_TRUE(eventually([&] {
		return fake_group_claim_state(group, "verband", "k1") ==
		       (int)DSP__CLAIM_STATE__CLAIM_ANSWERED;
	}));
	EXPECT_EQ(entry.book("k1", "{\"seat\":1}").body, "{\"seat\":1}");
}

/* Guards invariant 4 under seeded random endpoint and commit faults, checked
 * against the endpoint's record: if a request was answered with not_run, none
 * of its attempts ran (for a booking: no attempt with its key, ever), and no
 * booking ran twice. */
TEST_F(TrafficTest, NotRunIsTrueUnderRandomFaults)
{
	const enum stub_fault faults[] = { STUB_OK,    STUB_LOST,
					   STUB_ERROR, STUB_OVERLOADED,
					   STUB_BREAK, STUB_CROSSED };
	const enum fake_outcome outcomes[] = { FAKE_COMMIT,   FAKE_COMMIT,
					       FAKE_COMMIT,   FAKE_COMMIT,
					       FAKE_NOT_SENT, FAKE_LATE };
	Entry &entry = start();
	uint32_t seed = 11;
	int not_run = 0;
	auto random = [&](uint32_t n) {
		seed = seed * 1664525 + 1013904223;
		return (seed >> 16) % n;
	};

	add_endpoints(true);
	for (int i = 0; i < 600; i++) {
		bool booking = random(2);
		struct stub *stub = booking ? plain : model;
		std::string key = "k" + std::to_string(random(100));
		std::string body = "{\"key\":\"" + key + "\"}";
		size_t before = booking ? 0 : stub_n_requests(stub);

		enum stub_fault fault = faults[random(6)];
		uint32_t tokens = random(4);
		int n = (int)random(3);

		stub_fault(stub, fault, tokens, n);
		fake_group_set_outcome(group, kCreate, outcomes[random(6)], 1);
		Reply reply = booking ? entry.book(key, body.c_str())
				      : entry.chat(false);
		if (random(4) == 0)
			fake_group_deliver_late(group);
		if (reply.ran() != "not_run")
			continue;
		not_run++;
		for (size_t j = before; j < stub_n_requests(stub); j++) {
			struct stub_request r = request(stub, j);
			std::string id = reply.headers["x-request-id"] + ".";
			bool own = booking ? body == r.body
					   : std::string(r.attempt).rfind(
						     id, 0) == 0;

			EXPECT_FALSE(r.ran && own) << i << " " << reply.body;
		}
	}
	EXPECT_GT(not_run, 20);
	fake_group_deliver_late(group);
	/* Late commits cause no further runs. */
	std::map<std::string, int> runs;
	for (size_t j = 0; j < stub_n_requests(plain); j++)
		runs[request(plain, j).attempt]++;
	for (const auto &run : runs)
		EXPECT_EQ(run.second, 1) << run.first;
	EXPECT_LE(stub_n_requests(plain), 100u);
}

} // namespace
