#include "test_http.h"

/* Input validation, limits, and the API for operators and endpoints: sections
 * 13 and 16 of docs/design.md. */

namespace
{

int connect_to(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	EXPECT_EQ(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

std::string send_raw(int port, const std::string &bytes)
{
	int fd = connect_to(port);
	std::string out;
	char buffer[4096];
	ssize_t n;

	EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		  (ssize_t)bytes.size());
	shutdown(fd, SHUT_WR);
	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		out.append(buffer, (size_t)n);
	close(fd);
	return out;
}

/* Guards section 16: each kind of invalid input is rejected with its own stable
 * code and not_run, is not forwarded to an endpoint, and leaves a running
 * stream unaffected. */
TEST_F(TrafficTest, BadInputGetsACodeAndHarmsNoStream)
{
	const std::string chat = "/v1/chat/completions";
	const std::string text = "/v1/completions";
	const std::string team = "X-Team: verband";
	struct {
		std::string method, path;
		std::vector<std::string> headers;
		std::string body;
		long status;
		std::string code;
	} cases[] = {
		{ "POST", chat, { team }, "{", 400, "invalid_json" },
		{ "POST", chat, { team }, "[]", 400, "invalid_json" },
		{ "POST", chat, { team }, "", 400, "invalid_json" },
		{ "POST",
		  chat,
		  { team },
		  "{\"model\":\"\xff\"}",
		  400,
		  "invalid_json" },
		{ "POST",
		  chat,
		  { team },
		  std::string(5000, '['),
		  400,
		  "invalid_json" },
		{ "POST", chat, { team }, "{}", 400, "invalid_request" },
		{ "POST",
		  chat,
		  { team },
		  "{\"model\":\"brine-7b\"}",
		  400,
		  "invalid_request" },
		{ "POST",
		  chat,
		  { team },
		  "{\"model\":\"brine-7b\",\"messages\":[1]}",
		  400,
		  "invalid_request" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"brine-7b\",\"prompt\":5}",
		  400,
		  "invalid_request" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"brine-7b\",\"prompt\":\"a\",\"n\":2}",
		  400,
		  "invalid_request" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"brine-7b\",\"prompt\":\"a\",\"max_tokens\":-1}",
		  400,
		  "invalid_request" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"brine-7b\",\"prompt\":\"a\",\"stream\":\"y\"}",
		  400,
		  "invalid_request" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"other\",\"prompt\":\"a\"}",
		  404,
		  "unknown_model" },
		{ "POST",
		  text,
		  { team },
		  "{\"model\":\"brine-7b:no\",\"prompt\":\"a\"}",
		  404,
		  "unknown_adapter" },
		{ "POST", text, {}, "{}", 400, "team_required" },
		{ "POST",
		  text,
		  { "X-Team: nobody" },
		  "{}",
		  404,
		  "unknown_team" },
		{ "POST", text, { "X-Team: ../x" }, "{}", 404, "unknown_team" },
		{ "POST",
		  text,
		  { team, "X-Class: gold" },
		  "{}",
		  400,
		  "unknown_class" },
		{ "POST",
		  text,
		  { team, "X-Deadline-Ms: -5" },
		  "{}",
		  400,
		  "invalid_deadline" },
		{ "POST",
		  text,
		  { team, "X-Deadline-Ms: 5s" },
		  "{}",
		  400,
		  "invalid_deadline" },
		{ "GET", text, { team }, "", 405, "method_not_allowed" },
		{ "GET", "/v1/nothing", {}, "", 404, "unknown_path" },
		{ "GET",
		  "/v1/services/none/a",
		  { team },
		  "",
		  404,
		  "unknown_service" },
		{ "GET",
		  "/v1/services/kellerrat/a",
		  { team },
		  "",
		  404,
		  "unknown_service" },
		{ "GET",
		  "/v1/services/pressplan/../a",
		  { team },
		  "",
		  400,
		  "invalid_path" },
		{ "GET",
		  "/v1/services/pressplan/%2e%2e/a",
		  { team },
		  "",
		  400,
		  "invalid_path" },
		{ "GET",
		  "/v1/services/pressplan/%zz",
		  { team },
		  "",
		  400,
		  "invalid_path" },
		{ "GET",
		  "/v1/requests/none",
		  { team },
		  "",
		  404,
		  "unknown_request" },
		{ "POST",
		  "/v1/endpoints/announce",
		  {},
		  "{",
		  400,
		  "invalid_json" },
		{ "POST",
		  "/v1/endpoints/announce",
		  {},
		  "{\"id\":7}",
		  400,
		  "invalid_announcement" },
		{ "POST",
		  "/v1/replicas/replace",
		  {},
		  "{}",
		  400,
		  "invalid_request" },
		{ "POST",
		  "/v1/replicas/replace",
		  {},
		  "{\"replica\":\"9\"}",
		  409,
		  "replace_rejected" },
		{ "GET", "/v1/documents/nobody", {}, "", 404, "unknown_team" },
	};
	Entry &entry = start();
	Reply stream;

	add_endpoints(true);
	stub_fault(model, STUB_HOLD, 0, 1);
	std::thread caller([&] { stream = entry.chat(true); });
	ASSERT_TRUE(eventually([&] { return stub_n_held(model) == 1; }));
	for (const auto &c : cases) {
		Reply reply = entry.call(c.method, c.path, c.headers, c.body);

		EXPECT_EQ(reply.status, c.status) << c.path << " " << c.body;
		EXPECT_EQ(reply.code(), c.code) << c.path << " " << c.body;
		if (c.code != "unknown_request") {
			EXPECT_EQ(reply.ran(), "not_run") << c.path;
		}
		EXPECT_FALSE(reply.headers["x-request-id"].empty());
	}
	EXPECT_EQ(stub_n_requests(model), 1u);
	EXPECT_EQ(stub_n_requests(plain), 0u);
	stub_release(model);
	caller.join();
	EXPECT_EQ(stream_text(stream.body), words(kTokens));
}

/* Guards that incomplete and malformed requests are rejected or dropped, and
 * that other requests are served meanwhile. */
TEST_F(TrafficTest, IncompleteRequestsDoNotAffectOthers)
{
	Entry &entry = start();
	std::vector<int> open;

	add_endpoints(true);
	for (int i = 0; i < 20; i++) {
		const char *bytes = i % 2 ? "POST /v1/chat/completions HTTP/1."
					  : "POST /v1/chat/completions "
					    "HTTP/1.1\r\nHost: a\r\nX-Team: "
					    "verband\r\nContent-Length: "
					    "500\r\n\r\n{\"model\"";
		open.push_back(connect_to(entry.port));
		EXPECT_GT(send(open.back(), bytes, strlen(bytes), MSG_NOSIGNAL),
			  0);
	}
	EXPECT_EQ(stream_text(entry.chat(true).body), words(kTokens));
	for (int fd : open)
		close(fd);
	std::string incomplete =
		send_raw(entry.port, "POST /v1/chat/completions HTTP/1.1\r\n"
				     "Host: a\r\nX-Team: verband\r\n"
				     "Content-Length: 500\r\n\r\n{\"model\"");
	EXPECT_NE(incomplete.find("400"), std::string::npos) << incomplete;
	EXPECT_NE(incomplete.find("body_incomplete"), std::string::npos)
		<< incomplete;
	std::string junk = send_raw(entry.port, "\x01\x02 junk\r\n\r\n");
	EXPECT_NE(junk.find("malformed_request"), std::string::npos) << junk;
	EXPECT_EQ(stream_text(entry.chat(true).body), words(kTokens));
	EXPECT_TRUE(eventually([&] { return trf_in_flight(entry.trf) == 0; }));
}

/* Bytes that the standard does not allow in a request's head are refused before
 * the request is looked at. */
TEST_F(TrafficTest, HeadHasOnlyTheBytesOfTheStandard)
{
	const std::string end = " HTTP/1.1\r\nHost: h\r\n";
	const std::string path = "GET /healthz";
	Entry &entry = start();

	ASSERT_EQ(send_raw(entry.port, path + end + "X-A: b\r\n\r\n")
			  .rfind("HTTP/1.1 200", 0),
		  0u);
	for (int c = 0; c < 256; c++) {
		std::string byte(1, (char)c);
		bool alnum = c < 128 && isalnum(c);
		std::vector<std::string> heads;

		if (c == '\r' || c == '\n')
			continue;
		if (!alnum && (!c || !strchr("-._~:/?[]@!$&'()*+,;=% ", c))) {
			heads.push_back(path + byte + "y" + end);
			heads.push_back(path + "?y" + byte + "z" + end);
		}
		if (!alnum && (!c || !strchr("!#$%&'*+-.^_`|~:", c)))
			heads.push_back(path + end + "X-A" + byte + "b: c\r\n");
		if ((c < ' ' && c != '\t') || c == 127)
			for (const std::string &value :
			     { byte + "a", "a" + byte + "b", "a" + byte })
				heads.push_back(path + end + "X-A: " + value +
						"\r\n");
		for (const std::string &head : heads)
			EXPECT_EQ(send_raw(entry.port, head + "\r\n")
					  .rfind("HTTP/1.1 400", 0),
				  0u)
				<< "byte " << c << " in " << head;
	}
}

/* Guards the size limits: the setting, the metric and the rejection of each. */
TEST_F(TrafficTest, SizeLimitsReject)
{
	Entry &entry = start("[limits]\nbody_bytes_max = 4096\n"
			     "header_bytes_max = 4096\nmemory_mb_max = 1\n");

	add_endpoints(true);
	Reply body = entry.call(
		"POST", "/v1/chat/completions", { "X-Team: verband" },
		Entry::chat_body(true, std::string(100000, 'x')));
	EXPECT_EQ(body.status, 413);
	EXPECT_EQ(body.code(), "body_too_large");
	EXPECT_EQ(body.ran(), "not_run");
	Reply chunked =
		entry.call("POST", "/v1/chat/completions",
			   { "X-Team: verband", "Transfer-Encoding: chunked" },
			   Entry::chat_body(true, std::string(100000, 'x')));
	EXPECT_EQ(chunked.status, 413);
	EXPECT_EQ(entry.metric("dandelionspar_limit_rejections_total",
			       "limit=\"body_bytes_max\""),
		  2u);
	Reply headers =
		entry.chat(true, { "X-Long: " + std::string(8000, 'x') });
	EXPECT_EQ(headers.status, 431) << headers.body;
	EXPECT_EQ(headers.code(), "headers_too_large");
	EXPECT_EQ(entry.metric("dandelionspar_limit_rejections_total",
			       "limit=\"header_bytes_max\""),
		  1u);
	EXPECT_EQ(stub_n_requests(model), 0u);
	EXPECT_EQ(stream_text(entry.chat(true).body), words(kTokens));
}

/* Guards the memory limit: a body that would exceed it is rejected, and stored
 * answers of finished requests are evicted to make room for running ones. */
TEST_F(TrafficTest, MemoryLimitRejectsAndEvicts)
{
	Entry &entry = start("[limits]\nbody_bytes_max = 700000\n"
			     "memory_mb_max = 1\n");
	std::string large = "{\"a\":\"" + std::string(600000, 'x') + "\"}";
	Reply held;

	add_endpoints(true);
	stub_fault(plain, STUB_HOLD, 0, 1);
	std::thread caller([&] {
		held = entry.call("POST", "/v1/services/pressplan/a",
				  { "X-Team: verband" }, large);
	});
	ASSERT_TRUE(eventually([&] { return stub_n_held(plain) == 1; }));
	Reply reply = entry.call("POST", "/v1/services/pressplan/a",
				 { "X-Team: verband" }, large);
	EXPECT_EQ(reply.status, 503);
	EXPECT_EQ(reply.code(), "memory_limit");
	EXPECT_EQ(reply.ran(), "not_run");
	EXPECT_EQ(entry.metric("dandelionspar_limit_rejections_total",
			       "limit=\"memory_mb_max\""),
		  1u);
	stub_release(plain);
	caller.join();
	EXPECT_EQ(held.status, 201);
	for (int i = 0; i < 100; i++)
		ASSERT_EQ(entry.chat(false).status, 200) << i;
	EXPECT_EQ(entry.call("POST", "/v1/services/pressplan/a",
			     { "X-Team: verband" }, large)
			  .status,
		  201);
}

/* Guards the limit on concurrent requests: those already admitted complete. */
TEST_F(TrafficTest, RequestLimitRejects)
{
	Entry &entry = start("[limits]\nrequests_max = 2\n");
	std::vector<std::thread> callers;
	std::vector<Reply> replies(2);

	add_endpoints(true);
	stub_fault(model, STUB_HOLD, 0, 2);
	for (auto &reply : replies)
		callers.emplace_back([&] { reply = entry.chat(true); });
	ASSERT_TRUE(eventually([&] { return stub_n_held(model) == 2; }));
	Reply reply = entry.chat(true);
	EXPECT_EQ(reply.status, 429);
	EXPECT_EQ(reply.code(), "too_many_requests");
	EXPECT_EQ(reply.ran(), "not_run");
	EXPECT_EQ(reply.headers["retry-after"], "1");
	EXPECT_EQ(entry.metric("dandelionspar_limit_rejections_total",
			       "limit=\"requests_max\""),
		  1u);
	/* The limit does not apply to operator endpoints. */
	EXPECT_EQ(entry.call("GET", "/healthz").status, 200);
	stub_release(model);
	for (auto &caller : callers)
		caller.join();
	for (const auto &r : replies)
		EXPECT_EQ(stream_text(r.body), words(kTokens));
}

/* Guards the queue limit of a class: requests beyond it are rejected at once,
 * and all others are served. */
TEST_F(TrafficTest, QueueLimitRejects)
{
	Entry &entry = start("[limits]\nqueue_max = 1\n");
	std::vector<std::thread> callers;
	std::vector<Reply> replies(24);
	size_t rejected = 0;

	add_endpoints(true);
	fake_group_set_batch(group, 1);
	stub_fault(model, STUB_HOLD, 0, -1);
	for (auto &reply : replies)
		callers.emplace_back([&] { reply = entry.chat(false); });
	/* Every request is running, waiting or rejected. */
	EXPECT_TRUE(eventually([&] {
		return stub_n_held(model) +
			       entry.metric("dandelionspar_requests_waiting") +
			       entry.metric(
				       "dandelionspar_limit_rejections_total",
				       "limit=\"queue_max\"") ==
		       replies.size();
	}));
	EXPECT_EQ(entry.metric("dandelionspar_requests_waiting"), 1u);
	stub_fault(model, STUB_OK, 0, 0);
	stub_release(model);
	for (auto &caller : callers)
		caller.join();
	for (const auto &reply : replies) {
		if (reply.status == 200)
			continue;
		rejected++;
		EXPECT_EQ(reply.status, 429);
		EXPECT_EQ(reply.code(), "queue_full");
		EXPECT_EQ(reply.ran(), "not_run");
	}
	EXPECT_GT(rejected, 0u);
	EXPECT_EQ(stub_n_requests(model), replies.size() - rejected);
}

/* Guards section 7: a rejection lists all faults of a document, a resend of the
 * accepted document succeeds, and a conflict reports the current number. */
TEST_F(TrafficTest, DocumentsAreValidatedWholeAndCompared)
{
	Entry &entry = start();
	std::string bad = test_document(2);

	bad.replace(bad.find("memory_mb = 1000"), 16, "memory_mb = -1");
	bad += "[[class]]\nname = \"Bad Name\"\n";
	Reply invalid = entry.call("PUT", "/v1/documents/verband", {}, bad);
	EXPECT_EQ(invalid.status, 400);
	EXPECT_EQ(invalid.code(), "document_invalid");
	EXPECT_NE(invalid.at({ "error", "faults", "1" }), "");
	EXPECT_EQ(entry.call("PUT", "/v1/documents/other", {}, test_document(2))
			  .code(),
		  "document_invalid");
	Reply ok = entry.call("PUT", "/v1/documents/verband", {},
			      test_document(2));
	EXPECT_EQ(ok.status, 200);
	EXPECT_EQ(ok.at({ "number" }), "2");
	Reply same = entry.call("PUT", "/v1/documents/verband", {},
				test_document(2));
	EXPECT_EQ(same.status, 200);
	EXPECT_EQ(same.body, ok.body);
	Reply conflict = entry.call("PUT", "/v1/documents/verband", {},
				    test_document(4));
	EXPECT_EQ(conflict.status, 409);
	EXPECT_EQ(conflict.at({ "error", "number" }), "2");
	Reply got = entry.call("GET", "/v1/documents/verband");
	EXPECT_EQ(got.body, test_document(2));
	EXPECT_EQ(got.headers["x-document-number"], "2");
	fake_group_set_outcome(group, DSP__COMMAND__BODY_DOCUMENT_PUT,
			       FAKE_LOST, 1);
	EXPECT_EQ(
		entry.call("PUT", "/v1/documents/verband", {}, test_document(3))
			.ran(),
		"unknown");
	fake_group_set_outcome(group, DSP__COMMAND__BODY_DOCUMENT_PUT,
			       FAKE_NOT_SENT, 1);
	EXPECT_EQ(
		entry.call("PUT", "/v1/documents/verband", {}, test_document(3))
			.ran(),
		"not_run");
}

/* Guards section 13: every member of an announcement is decoded, and the reply
 * lists the entries to announce to and the acknowledged results. */
TEST_F(TrafficTest, AnnouncementIsDecodedCompletely)
{
	Entry &entry = start();
	Reply reply =
		entry.call("POST", "/v1/endpoints/announce", {},
			   R"({"id":"r7","incarnation":"18446744073709551615",
"address":"http://127.0.0.1:9","site":"augsburg","team":"verband",
"service":"kellerrat","kind":"engine","role":"decode",
"features":{"fencing":true,"resume":true},"accelerators":8,
"accelerator_memory_mb":80000,"max_batch":32,"highest_fence":41,
"leaving":true,"load":{"sequence":5,"running":3,"waiting":2,
"kv_used_permille":77},"copies":[{"model":"brine-7b","version":"v1",
"adapter":"picual","first_accelerator":2,"accelerators":2,"order":40,
"memory_mb":900,"ready":false,"unloading":true}],
"results":[{"order":40,"state":"done"},{"order":41,"state":"refused"}]})");

	EXPECT_EQ(reply.status, 200);
	EXPECT_EQ(reply.at({ "announce_to", "0" }),
		  "127.0.0.1:" + std::to_string(entry.port));
	EXPECT_EQ(reply.at({ "results_acknowledged", "1" }), "41");
	Dsp__Announcement *a = fake_group_announced(group);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->endpoint->incarnation, UINT64_MAX);
	EXPECT_EQ(a->endpoint->role, DSP__ENDPOINT_ROLE__ROLE_DECODE);
	EXPECT_TRUE(a->endpoint->features->fencing);
	EXPECT_FALSE(a->endpoint->features->cancel);
	EXPECT_TRUE(a->leaving);
	EXPECT_EQ(a->highest_fence, 41u);
	EXPECT_EQ(a->load->waiting, 2u);
	EXPECT_EQ(a->load->incarnation, UINT64_MAX);
	ASSERT_EQ(a->endpoint->n_copies, 1u);
	EXPECT_STREQ(a->endpoint->copies[0]->adapter, "picual");
	EXPECT_TRUE(a->endpoint->copies[0]->unloading);
	ASSERT_EQ(a->n_results, 2u);
	EXPECT_EQ(a->results[1]->state, DSP__ORDER_STATE__ORDER_REFUSED);
	dsp__announcement__free_unpacked(a, nullptr);
}

/* Guards section 5: which requests an entry serves in each readiness state. */
TEST_F(TrafficTest, ReadinessDecidesWhatIsServed)
{
	Entry &entry = start();

	add_endpoints(true);
	for (auto readiness : { CTL_STARTING, CTL_STALE }) {
		fake_entry_set_readiness(entry.ctl, readiness);
		Reply reply = entry.chat(true);
		EXPECT_EQ(reply.status, 503);
		EXPECT_EQ(reply.ran(), "not_run");
		EXPECT_EQ(entry.call("GET", "/healthz").status, 503);
	}
	fake_entry_set_readiness(entry.ctl, CTL_ISOLATED);
	Reply reply = entry.chat(true);
	EXPECT_EQ(reply.status, 200);
	EXPECT_EQ(reply.headers["x-dandelionspar-stale"], "7");
	EXPECT_EQ(stub_n_requests(model), 1u);
}

/* Guards against a final error for an unknown name while the entry is isolated:
 * a later document, which the entry has not received, may define the name. */
TEST_F(TrafficTest, IsolatedEntryDoesNotSayThatANameIsUnknown)
{
	Entry &entry = start();
	const std::string team = "X-Team: verband";
	const struct {
		std::vector<std::string> headers;
		const char *path, *body, *code;
		int status;
	} cases[] = {
		{ { "X-Team: nobody" },
		  "/v1/completions",
		  "{}",
		  "unknown_team",
		  404 },
		{ { team, "X-Class: gold" },
		  "/v1/completions",
		  "{}",
		  "unknown_class",
		  400 },
		{ { team },
		  "/v1/completions",
		  "{\"model\":\"other\",\"prompt\":\"a\"}",
		  "unknown_model",
		  404 },
		{ { team },
		  "/v1/completions",
		  "{\"model\":\"brine-7b:no\",\"prompt\":\"a\"}",
		  "unknown_adapter",
		  404 },
		{ { team }, "/v1/services/none/a", "", "unknown_service", 404 },
	};

	for (const auto &c : cases) {
		fake_entry_set_readiness(entry.ctl, CTL_SERVING);
		Reply reply = entry.call("POST", c.path, c.headers, c.body);
		EXPECT_EQ(reply.status, c.status) << c.code;
		EXPECT_EQ(reply.code(), c.code);
		fake_entry_set_readiness(entry.ctl, CTL_ISOLATED);
		reply = entry.call("POST", c.path, c.headers, c.body);
		EXPECT_EQ(reply.status, 503) << c.code;
		EXPECT_EQ(reply.code(), "isolated") << c.code;
		EXPECT_EQ(reply.ran(), "not_run") << c.code;
		EXPECT_EQ(reply.headers["retry-after"], "5") << c.code;
	}
}

/* Guards the operator API: entries, models, status, drain, replace, metrics. */
TEST_F(TrafficTest, OperatorApiReportsAndControlsTheEntry)
{
	Entry &entry = start();
	std::string address = "127.0.0.1:" + std::to_string(entry.port);

	add_endpoints(true);
	EXPECT_EQ(entry.chat(true).status, 200);
	Reply entries = entry.call("GET", "/v1/entries?site=muenchen");
	EXPECT_EQ(entries.at({ "entries", "0", "address" }), address);
	EXPECT_EQ(entries.at({ "valid_s" }), "30");
	Reply models = entry.call("GET", "/v1/models", { "X-Team: verband" });
	EXPECT_EQ(models.at({ "data", "0", "id" }), "brine-7b");
	EXPECT_EQ(models.at({ "data", "1", "id" }), "brine-7b:picual");
	EXPECT_NE(models.body.find("\"ready\":true"), std::string::npos);
	Reply status = entry.call("GET", "/v1/status");
	EXPECT_EQ(status.at({ "leader" }), "fake");
	/* A request is counted until its thread has finished. */
	EXPECT_TRUE(eventually([&] {
		return entry.call("GET", "/v1/status")
			       .at({ "traffic", "in_flight" }) == "0";
	}));
	Reply metrics = entry.call("GET", "/metrics");
	EXPECT_NE(metrics.body.find(
			  "dandelionspar_requests_total{team=\"verband\","
			  "class=\"staff\",outcome=\"ok\"} 1"),
		  std::string::npos)
		<< metrics.body;
	EXPECT_EQ(entry.call("POST", "/v1/replicas/replace", {},
			     "{\"replica\":\"7\"}")
			  .status,
		  202);
	EXPECT_FALSE(trf_drain_requested(entry.trf));
	EXPECT_EQ(entry.call("POST", "/v1/drain", {}, "{}").status, 202);
	EXPECT_TRUE(fake_entry_draining(entry.ctl));
	EXPECT_TRUE(trf_drain_requested(entry.trf));
	EXPECT_FALSE(trf_drain_requested(entry.trf));
}

/* Guards invariant 7: a stop waits for running streams and rejects new requests
 * with not_run. */
TEST_F(TrafficTest, StopInterruptsNoRequest)
{
	Entry &entry = start();
	Reply stream;
	Reply late;

	add_endpoints(true);
	stub_fault(model, STUB_HOLD, 0, 1);
	std::thread caller([&] { stream = entry.chat(true); });
	ASSERT_TRUE(eventually([&] { return stub_n_held(model) == 1; }));
	std::thread stop([&] { trf_stop(entry.trf, 0); });
	EXPECT_TRUE(eventually([&] {
		late = entry.chat(true);
		return late.code() == "draining";
	}));
	EXPECT_EQ(late.ran(), "not_run");
	stub_release(model);
	caller.join();
	stop.join();
	EXPECT_EQ(stream_text(stream.body), words(kTokens));
}

} // namespace
