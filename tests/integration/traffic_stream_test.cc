#include "test_http.h"

/*
 * Idempotent requests through one or two entries, with every kind of endpoint
 * failure that section 10 of docs/design.md lists.
 */

namespace
{

/* Guards a stream end to end: all events in order, the final [DONE], and the
 * headers that identify the request and the entry. */
TEST_F(TrafficTest, StreamIsCompleteAndIdentified)
{
	Entry &entry = start();

	add_endpoints(true);
	Reply reply = entry.chat(true);

	EXPECT_EQ(reply.status, 200);
	EXPECT_EQ(stream_text(reply.body), words(kTokens));
	EXPECT_EQ(reply.headers["content-type"], "text/event-stream");
	EXPECT_EQ(reply.headers["x-dandelionspar-entry"], "muc1");
	EXPECT_EQ(request(model, 0).attempt,
		  reply.headers["x-request-id"] + ".1");
	EXPECT_EQ(request(model, 0).priority, 3);
	EXPECT_EQ(entry.metric("dandelionspar_first_token_seconds",
			       "team=\"verband\",class=\"staff\""),
		  1u);
	EXPECT_EQ(entry.metric("dandelionspar_token_gap_seconds",
			       "team=\"verband\",class=\"staff\""),
		  kTokens - 1);
	EXPECT_TRUE(eventually(
		[&] { return fake_group_demand(group).requests == 1; }));
}

/* Guards that a caller that did not request a stream gets one JSON answer, for
 * chat and text completions and for adapters. */
TEST_F(TrafficTest, SingleAnswerIsAssembledFromTheStream)
{
	Entry &entry = start();

	add_endpoints(true);
	Reply chat = entry.chat(false);
	EXPECT_EQ(chat.at({ "choices", "0", "message", "content" }),
		  words(kTokens));
	EXPECT_EQ(chat.at({ "choices", "0", "finish_reason" }), "stop");
	Reply text =
		entry.call("POST", "/v1/completions", { "X-Team: verband" },
			   "{\"model\":\"brine-7b:picual\",\"prompt\":\"a\"}");
	EXPECT_EQ(text.at({ "choices", "0", "text" }), words(kTokens));
	EXPECT_EQ(text.at({ "model" }), "brine-7b:picual");
	EXPECT_STREQ(request(model, 1).model, "brine-7b:picual");
}

/* Guards section 10: a stream whose connection breaks at any token is resumed
 * at that token's offset, without a repeated or missing token. */
TEST_F(TrafficTest, StreamBrokenAtEveryTokenResumes)
{
	Entry &entry = start();

	add_endpoints(true);
	for (uint32_t k = 0; k <= kTokens; k++) {
		size_t before = stub_n_requests(model);

		/* Earns one retry: the budget is 10% of requests. */
		for (int i = 0; i < 10; i++)
			ASSERT_EQ(entry.chat(true).status, 200);
		before = stub_n_requests(model);
		stub_fault(model, STUB_BREAK, k, 1);
		Reply reply = entry.chat(k % 2 == 0);
		EXPECT_EQ(reply.status, 200) << k;
		EXPECT_EQ(k % 2 == 0 ? stream_text(reply.body)
				     : reply.at({ "choices", "0", "message",
						  "content" }),
			  words(kTokens))
			<< k;
		EXPECT_EQ(stub_n_requests(model), before + 2) << k;
		EXPECT_EQ(request(model, before + 1).offset, k) << k;
	}
}

/* As above for engines without resume: the stream is restarted, and tokens
 * already delivered are skipped. */
TEST_F(TrafficTest, StreamBrokenAtEveryTokenRestarts)
{
	Entry &entry = start();

	add_endpoints(false);
	for (uint32_t k = 0; k <= kTokens; k++) {
		size_t before;

		for (int i = 0; i < 10; i++)
			ASSERT_EQ(entry.chat(true).status, 200);
		before = stub_n_requests(model);
		stub_fault(model, STUB_BREAK, k, 1);
		Reply reply = entry.chat(k % 2 == 0);
		EXPECT_EQ(k % 2 == 0 ? stream_text(reply.body)
				     : reply.at({ "choices", "0", "message",
						  "content" }),
			  words(kTokens))
			<< k;
		EXPECT_EQ(request(model, before + 1).offset, 0u) << k;
	}
}

/* Guards retries for a model with a single copy: after a broken connection, the
 * request is retried on the same endpoint over a new connection. */
TEST_F(TrafficTest, OnlyCopyIsTriedAgainOnAFreshConnection)
{
	Entry &entry = start();

	fake_group_put_endpoint(group, "r1", 1, stub_address(model), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	for (uint32_t k : { 0u, 3u }) {
		stub_fault(model, STUB_BREAK, k, 1);
		EXPECT_EQ(stream_text(entry.chat(true).body), words(kTokens));
	}
	EXPECT_EQ(stub_n_requests(model), 4u);
}

/* Guards section 11: a connection without data for the silence limit is
 * abandoned, its attempt is cancelled, and the stream continues. */
TEST_F(TrafficTest, SilentConnectionIsReplaced)
{
	Entry &entry = start();

	add_endpoints(true);
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(entry.chat(true).status, 200);
	stub_fault(model, STUB_SILENT, 3, 1);
	Reply reply = entry.chat(true);
	EXPECT_EQ(stream_text(reply.body), words(kTokens));
	std::string first = request(model, 10).attempt;
	EXPECT_TRUE(eventually(
		[&] { return stub_cancelled(model, first.c_str()); }));
}

/* Guards against ending the last attempt by a silence shorter than the time
 * that is left. */
TEST_F(TrafficTest, PausesOfSoundEndpointsDoNotEndTheStream)
{
	Entry &entry = start();

	add_endpoints(true);
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(entry.chat(true).status, 200);
	stub_set_token_interval(model, 600000);
	Reply reply = entry.chat(true);
	EXPECT_EQ(reply.status, 200);
	EXPECT_EQ(stream_text(reply.body), words(kTokens)) << reply.body;
}

/* Guards invariant 3: an answer with the ID of another attempt is discarded. */
TEST_F(TrafficTest, CrossedAnswerIsNotDelivered)
{
	Entry &entry = start();

	add_endpoints(true);
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(entry.chat(true).status, 200);
	stub_fault(model, STUB_CROSSED, 0, 1);
	EXPECT_EQ(stream_text(entry.chat(true).body), words(kTokens));
	EXPECT_EQ(stub_n_requests(model), 12u);
	stub_fault(model, STUB_CROSSED, 0, -1);
	Reply reply = entry.chat(true);
	EXPECT_EQ(reply.status, 502);
	EXPECT_EQ(reply.ran(), "unknown");
}

/* Guards the distinction between an overloaded endpoint (not run), a failed one
 * (unknown) and an error answer of the endpoint itself (passed on). */
TEST_F(TrafficTest, EndpointErrorsAreDistinguished)
{
	Entry &entry = start();

	add_endpoints(true);
	stub_fault(model, STUB_OVERLOADED, 0, -1);
	Reply overloaded = entry.chat(true);
	EXPECT_EQ(overloaded.status, 503);
	EXPECT_EQ(overloaded.code(), "overloaded");
	EXPECT_EQ(overloaded.ran(), "not_run");
	EXPECT_EQ(stub_n_ran(model), 0u);
	stub_fault(model, STUB_ERROR, 0, -1);
	Reply failed = entry.chat(false);
	EXPECT_EQ(failed.status, 502);
	EXPECT_EQ(failed.ran(), "unknown");
	stub_fault(model, STUB_REFUSE, 0, -1);
	for (int i = 0; i < 50 && entry.chat(false).status != 400; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
	EXPECT_EQ(entry.chat(false).code(), "bad_prompt");
}

/* Guards section 11: after the caller's connection breaks, the answer remains
 * available by request ID through any entry. */
TEST_F(TrafficTest, AnswerSurvivesTheCallersConnection)
{
	Entry &entry = start();
	Entry &other = start();
	std::string id;
	Call call;

	add_endpoints(true);
	stub_set_token_interval(model, 50000);
	call.method = "POST";
	call.url = entry.url("/v1/chat/completions");
	call.headers = { "X-Team: verband" };
	call.body = Entry::chat_body(true);
	call.data = [&](const Reply &reply) {
		id = reply.headers.at("x-request-id");
		return false;
	};
	EXPECT_EQ(call.run().result, CURLE_WRITE_ERROR);
	EXPECT_EQ(entry.call("GET", "/v1/requests/" + id, { "X-Team: verband" })
			  .status,
		  202);
	for (Entry *e : { &entry, &other }) {
		Reply reply;

		EXPECT_TRUE(eventually([&] {
			reply = e->call("GET", "/v1/requests/" + id,
					{ "X-Team: verband" });
			return reply.status != 202;
		}));
		EXPECT_EQ(reply.status, 200);
		EXPECT_EQ(stream_text(reply.body), words(kTokens));
	}
	EXPECT_EQ(entry.call("GET", "/v1/requests/muc1~0~1",
			     { "X-Team: verband" })
			  .code(),
		  "unknown_request");
}

/* Guards section 11: the connection of a caller that stops reading is closed
 * after a timeout, and the complete answer is kept. The endpoint, which is not
 * read meanwhile, must not be treated as silent. */
TEST_F(TrafficTest, StalledReaderLosesItsConnectionNotItsAnswer)
{
	const uint32_t tokens = 150000; /* more than the sockets buffer */
	Entry &entry = start();
	struct stub *large = stub_new(tokens);
	std::string body = Entry::chat_body(true);
	std::string request = "POST /v1/chat/completions HTTP/1.1\r\n"
			      "Host: a\r\nX-Team: verband\r\n"
			      "Content-Length: " +
			      std::to_string(body.size()) + "\r\n\r\n" + body;
	struct sockaddr_in address = {};
	std::string id;
	char head[256];
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	Reply reply;

	fake_group_put_endpoint(group, "r1", 1, stub_address(large), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)entry.port);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		  (ssize_t)request.size());
	ASSERT_EQ(recv(fd, head, sizeof(head) - 1, MSG_WAITALL),
		  (ssize_t)sizeof(head) - 1);
	head[sizeof(head) - 1] = '\0';
	id = strstr(head, "X-Request-Id: ") + strlen("X-Request-Id: ");
	id = id.substr(0, id.find('\r'));
	EXPECT_TRUE(eventually([&] {
		return entry.metric("dandelionspar_caller_gone_total") == 1;
	}));
	EXPECT_TRUE(eventually([&] {
		reply = entry.call("GET", "/v1/requests/" + id,
				   { "X-Team: verband" });
		return reply.status != 202;
	}));
	EXPECT_EQ(reply.status, 200);
	EXPECT_TRUE(stream_text(reply.body) == words(tokens));
	EXPECT_EQ(stub_n_requests(large), 1u);
	close(fd);
	fake_group_put_endpoint(group, "r1", 1, stub_address(model), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	stub_free(large);
}

/* Guards section 11: a waiting stream gets an SSE comment every second. */
TEST_F(TrafficTest, WaitingStreamGetsHeartbeats)
{
	Entry &entry = start();
	bool heartbeat = false;
	Call call;

	add_endpoints(true);
	stub_fault(model, STUB_HOLD, 0, 1);
	call.method = "POST";
	call.url = entry.url("/v1/chat/completions");
	call.headers = { "X-Team: verband" };
	call.body = Entry::chat_body(true);
	call.data = [&](const Reply &reply) {
		if (!heartbeat && reply.body.rfind(": heartbeat\n\n", 0) == 0) {
			heartbeat = true;
			stub_release(model);
		}
		return true;
	};
	EXPECT_EQ(stream_text(call.run().body), words(kTokens));
	EXPECT_TRUE(heartbeat);
}

/* Guards section 10: a request that was running during two endpoint crashes is
 * quarantined. After the first crash it runs only with a grant; after the
 * second it is rejected without being sent. */
TEST_F(TrafficTest, RequestThatCrashesTwoEndpointsIsQuarantined)
{
	Entry &entry = start();
	Reply reply;

	add_endpoints(true);
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(entry.chat(false).status, 200);
	stub_fault(model, STUB_HOLD, 0, -1);
	std::thread caller([&] {
		reply = entry.call("POST", "/v1/chat/completions",
				   { "X-Team: verband" },
				   Entry::chat_body(false, "poison"));
	});
	for (uint64_t incarnation = 2; incarnation <= 3; incarnation++) {
		ASSERT_TRUE(eventually([&] {
			return stub_n_requests(model) == 8 + incarnation + 1;
		}));
		for (const char *id : { "r1", "r2" })
			fake_group_put_endpoint(group, id, incarnation,
						stub_address(model), "verband",
						"kellerrat", "brine-7b",
						"picual", true);
	}
	caller.join();
	EXPECT_EQ(reply.status, 502);
	EXPECT_GE(fake_group_n_commands(group, DSP__COMMAND__BODY_SUSPECT_RUN),
		  1u);
	size_t before = stub_n_requests(model);
	reply = entry.call("POST", "/v1/chat/completions",
			   { "X-Team: verband" },
			   Entry::chat_body(false, "poison"));
	EXPECT_EQ(reply.status, 422);
	EXPECT_EQ(reply.code(), "request_quarantined");
	EXPECT_EQ(stub_n_requests(model), before);
}

/* Guards that a refused connection counts as not run. */
TEST_F(TrafficTest, RefusedConnectionIsNotRun)
{
	Entry &entry = start();
	std::string unreachable =
		"http://127.0.0.1:" + std::to_string(free_port());

	fake_group_put_endpoint(group, "r1", 1, unreachable.c_str(), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	Reply reply = entry.chat(false);
	EXPECT_GE(reply.status, 500);
	EXPECT_EQ(reply.ran(), "not_run");
}

/* Guards that pipelined requests on one connection are answered in order, also
 * after a stream and after a rejection with an unread body. */
TEST_F(TrafficTest, ConnectionServesSeveralRequests)
{
	Entry &entry = start();
	std::string chat = Entry::chat_body(true);
	std::string head = " HTTP/1.1\r\nHost: a\r\nX-Team: verband\r\n"
			   "Content-Length: " +
			   std::to_string(chat.size()) + "\r\n\r\n" + chat;
	std::string request = "POST /v1/chat/completions" + head;
	std::string bytes = request + "POST /v1/none" + head + request;
	struct sockaddr_in address = {};
	std::string out;
	char buffer[4096];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	add_endpoints(true);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)entry.port);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		  (ssize_t)bytes.size());
	/* The idle connection is closed after the third answer. */
	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		out.append(buffer, (size_t)n);
	close(fd);
	size_t first = out.find("[DONE]");
	size_t error = out.find("unknown_path");
	size_t last = out.rfind("[DONE]");
	ASSERT_NE(first, std::string::npos);
	EXPECT_LT(first, error);
	EXPECT_LT(error, last);
	EXPECT_EQ(stub_n_requests(model), 2u);
}

/* Guards that method, path, query, body and status of a plain call are passed
 * through, and that an idempotent call is retried. */
TEST_F(TrafficTest, PlainCallsPassThrough)
{
	Entry &entry = start();

	add_endpoints(true);
	Reply reply = entry.call(
		"PATCH", "/v1/services/pressplan/a%20b/c?x=1&y=2",
		{ "X-Team: verband", "Content-Type: text/csv" }, "1;2;3");
	EXPECT_EQ(reply.status, 201);
	EXPECT_EQ(reply.body, "1;2;3");
	EXPECT_STREQ(request(plain, 0).method, "PATCH");
	EXPECT_STREQ(request(plain, 0).path, "/a%20b/c?x=1&y=2");
	EXPECT_STREQ(request(plain, 0).content_type, "text/csv");
	EXPECT_EQ(entry.call("DELETE", "/v1/services/pressplan/a",
			     { "X-Team: verband" })
			  .status,
		  410);
	for (int i = 0; i < 10; i++)
		entry.call("GET", "/v1/services/pressplan/a",
			   { "X-Team: verband" });
	stub_fault(plain, STUB_LOST, 0, 1);
	EXPECT_EQ(entry.call("GET", "/v1/services/pressplan/a",
			     { "X-Team: verband" })
			  .status,
		  201);
	EXPECT_EQ(stub_n_requests(plain), 14u);
}

TEST_F(TrafficTest, PausedEndpointGetsNothingUntilThePauseEnds)
{
	using Clock = std::chrono::steady_clock;
	Entry &entry = start();
	Clock::time_point refused, again, start = Clock::now();

	fake_group_put_endpoint(group, "r1", 1, stub_address(model), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	fake_group_put_endpoint(group, "r2", 1, stub_address(plain), "verband",
				"kellerrat", "brine-7b", nullptr, true);
	stub_fault(model, STUB_PAUSE, 0, 1);
	while (stub_n_requests(model) < 2 &&
	       Clock::now() - start < std::chrono::seconds(20)) {
		entry.chat(false);
		again = Clock::now();
		if (!stub_n_requests(model))
			refused = again;
	}
	EXPECT_EQ(stub_n_requests(model), 2u);
	/* From before the refusal to after the next request. */
	EXPECT_GE(again - refused, std::chrono::seconds(2));
	EXPECT_GT(stub_n_requests(plain), 2u);
	EXPECT_EQ(entry.metric("dandelionspar_pauses_seen_total", ""), 1u);
}

TEST_F(TrafficTest, LeavingEndpointGetsNoNewRequest)
{
	Entry &entry = start();

	for (const char *id : { "r1", "p1" }) {
		bool is_model = *id == 'r';

		fake_group_put_endpoint(
			group, id, 1, stub_address(is_model ? model : plain),
			"verband", is_model ? "kellerrat" : "pressplan",
			is_model ? "brine-7b" : nullptr, nullptr, is_model);
	}
	stub_fault(model, STUB_LEAVING, 0, 1);
	stub_fault(plain, STUB_LEAVING, 0, 1);
	Reply last = entry.chat(true);
	EXPECT_EQ(last.status, 200);
	EXPECT_EQ(last.headers.count("server-leaving"), 0u);
	EXPECT_EQ(entry.call("GET", "/v1/services/pressplan/a",
			     { "X-Team: verband" })
			  .status,
		  201);
	EXPECT_NE(entry.chat(false).status, 200);
	EXPECT_EQ(entry.call("GET", "/v1/services/pressplan/a",
			     { "X-Team: verband" })
			  .status,
		  503);
	EXPECT_EQ(stub_n_requests(model), 1u);
	EXPECT_EQ(stub_n_requests(plain), 1u);
	EXPECT_EQ(entry.metric("dandelionspar_leaving_seen_total", ""), 2u);
}

} // namespace
