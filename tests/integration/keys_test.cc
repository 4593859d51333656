#include <set>

#include "tests/platform/system.h"

/*
 * Keys of customers, end to end: who is served, what endpoints are told, and
 * what becomes of a key that an operator takes away.
 *
 * Alone: build/integration/keys_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

const char *const KEY = "key-f3a9c1d7";
const char *const OTHER_KEY = "key-77b0e2a4";

/* A table with customers, a list of JSON objects. */
std::string keyed_table(int version, const std::string &customers)
{
	std::string text = table(
		version,
		",{\"name\":\"open\",\"host\":\"host.example\",\"pathPrefix\":"
		"\"/open/\",\"kind\":\"safe\",\"timeoutMs\":3000,\"goalMs\":"
		"300,\"priority\":1,\"service\":\"plain\",\"maxAttempts\":2,"
		"\"authExempt\":true}");

	text.pop_back();
	return text + ",\"tenants\":[" + customers + "]}";
}

std::string customer(const std::string &name, const std::string &key,
		     const std::string &more = "")
{
	return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"]" +
	       more + "}";
}

std::string with_key(const std::string &key)
{
	return "X-Attempt-Id: a1\r\nX-Tenant: forged\r\nX-Key: " + key + "\r\n";
}

/* Requests that the runner executed, without the probes of add(). */
std::vector<Message> requests(Runner &r)
{
	std::vector<Message> out;

	for (const auto &m : r.ran_requests())
		if (m.field("X-Attempt-Id") != "probe")
			out.push_back(m);
	return out;
}

class Keys : public ::testing::Test
{
      protected:
	System system{ 1, 1 };
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };
	std::vector<std::string> metrics;

	void SetUp() override
	{
		for (auto &x : system.instances) {
			metrics.push_back(x.ip + ":" +
					  std::to_string(proc_free_port()));
			std::ofstream(x.settings, std::ios::app)
				<< "metrics = \"" << metrics.back() << "\"\n";
		}
		system.serve(keyed_table(
			1, customer("one", KEY, ",\"priority\":0") + "," +
				   customer("two", OTHER_KEY)));
	}
	/* Logs and metrics of all processes. */
	std::string told()
	{
		std::string out = system.whole_logs();

		for (const auto &address : metrics)
			out += call(address, request("GET", "/metrics", "x"),
				    2000)
				       .body;
		return out;
	}
	/* Requests to endpoints carry the name and neither the key nor what
	 * the caller sent. */
	static void expect_owner(const std::vector<Message> &ran,
				 const std::string &name)
	{
		for (const auto &m : ran) {
			EXPECT_EQ(m.count("X-Key"), 0u);
			EXPECT_EQ(m.count("X-Tenant"), name.empty() ? 0u : 1u);
			EXPECT_EQ(m.field("X-Tenant"), name);
		}
	}
};

} // namespace

/* Guards against a key that reaches an endpoint, a log or a metric, and against
 * an owner's name that a caller can choose. */
TEST_F(Keys, EndpointsGetTheOwnersNameAndNeverTheKey)
{
	std::atomic<int> runs{ 0 };

	system.add(a, "/open/probe");
	system.add(b, "/open/probe");
	for (const char *path : { "/safe/x", "/once/x", "/flow/x" }) {
		EXPECT_EQ(system.send("POST", path, "X-Attempt-Id: a1\r\n")
				  .status(),
			  401);
		EXPECT_EQ(
			system.send("POST", path, with_key("unknown")).status(),
			401);
	}
	EXPECT_TRUE(requests(a).empty() && requests(b).empty());
	for (Runner *r : { &a, &b })
		r->handler = [r, &runs](Socket &s, const Message &m) {
			if (!runs++) {
				s.reset();
				return false;
			}
			return s.send(answer(200, r->seal() + Runner::echo(m),
					     "done"));
		};
	EXPECT_EQ(system.send("GET", "/safe/x", with_key(KEY)).status(), 200)
		<< system.logs();
	ASSERT_EQ(requests(a).size(), 1u) << system.logs();
	ASSERT_EQ(requests(b).size(), 1u) << system.logs();
	for (Runner *r : { &a, &b }) {
		expect_owner(requests(*r), "one");
		/* The customer's priority goes before that of the route. */
		EXPECT_EQ(requests(*r)[0].field("X-Request-Urgency"), "0");
	}
	EXPECT_EQ(system.send("GET", "/safe/x", with_key(OTHER_KEY)).status(),
		  200);
	size_t n_a = requests(a).size();
	std::vector<Message> last = n_a > 1 ? requests(a) : requests(b);
	ASSERT_EQ(last.size(), 2u);
	EXPECT_EQ(last[1].field("X-Tenant"), "two");
	EXPECT_EQ(last[1].field("X-Request-Urgency"), "1");
	std::string text = told();
	EXPECT_NE(text.find("dandelionspar_edge_requests"), std::string::npos);
	for (const char *key : { KEY, OTHER_KEY })
		EXPECT_EQ(text.find(key), std::string::npos);
}

TEST_F(Keys, OpenRoutesNeedNoKey)
{
	system.add(a, "/open/probe");
	EXPECT_EQ(system.send("GET", "/open/x",
			      "X-Attempt-Id: a1\r\n"
			      "X-Tenant: forged\r\n")
			  .status(),
		  200);
	EXPECT_EQ(system.send("GET", "/open/x", with_key("unknown")).status(),
		  200);
	expect_owner(requests(a), "");
	EXPECT_EQ(system.send("GET", "/open/x", with_key(KEY)).status(), 200);
	ASSERT_EQ(requests(a).size(), 3u);
	expect_owner({ requests(a)[2] }, "one");
}

/* Guards against an owner's name that is missing where a stream goes on at
 * another endpoint. */
TEST_F(Keys, ResumedStreamNamesTheOwner)
{
	std::atomic<int> runs{ 0 };

	system.add(a, "/open/probe");
	system.add(b, "/open/probe");
	for (Runner *r : { &a, &b })
		r->handler = [r, &runs](Socket &s, const Message &m) {
			std::string head =
				"HTTP/1.1 200 OK\r\n" + r->seal() +
				Runner::echo(m) +
				"Content-Type: text/event-stream\r\n";

			if (!runs++) {
				s.send(head + "Content-Length: 99\r\n\r\n"
					      "id: 1\ndata: x\n\n");
				return false;
			}
			return s.send(head + "Content-Length: 15\r\n\r\n"
					     "id: 2\ndata: y\n\n");
		};
	Message m = system.send("POST", "/flow/x", with_key(KEY));
	EXPECT_EQ(m.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
		<< system.logs();
	EXPECT_EQ(requests(a).size() + requests(b).size(), 2u);
	expect_owner(requests(a), "one");
	expect_owner(requests(b), "one");
}

/* Guards against a key that stays in force, or never gets into force, where the
 * table only changes in its customers. */
TEST_F(Keys, ChangeOfTheCustomersIsInForceWithItsAcknowledgement)
{
	system.add(a, "/open/probe");
	EXPECT_EQ(system.send("GET", "/safe/x", with_key(KEY)).status(), 200);
	ASSERT_EQ(system.put(keyed_table(2, customer("three", "key-new"))),
		  200);
	EXPECT_TRUE(System::eventually(
		[&] {
			return system.send("GET", "/safe/x",
					   with_key("key-new"))
				       .status() == 200;
		},
		2500))
		<< system.logs();
	EXPECT_EQ(system.send("GET", "/safe/x", with_key(KEY)).status(), 401);
	ASSERT_EQ(system.put(table(3)), 200);
	EXPECT_TRUE(System::eventually(
		[&] {
			return system.send("GET", "/safe/x", with_key(KEY))
				       .status() == 200;
		},
		2500));
	EXPECT_EQ(requests(a).back().field("X-Key"), KEY);
	EXPECT_EQ(requests(a).back().field("X-Tenant"), "forged");
}
