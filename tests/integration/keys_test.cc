#include <set>

#include "tests/platform/system.h"

extern "C" {
#include "lib_proxy.h"
}

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

	void SetUp() override
	{
		system.serve(keyed_table(
			1, customer("one", KEY, ",\"priority\":0") + "," +
				   customer("two", OTHER_KEY)));
	}
	/* Logs and metrics of all processes. */
	std::string told()
	{
		std::string out = system.whole_logs();

		for (const auto &x : system.instances)
			out += call(x.metrics, request("GET", "/metrics", "x"),
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
	for (const char *counted :
	     { "{customer=\"one\",outcome=\"served\",reason=\"-\"} 1\n",
	       "{customer=\"two\",outcome=\"served\",reason=\"-\"} 1\n",
	       "{customer=\"\",outcome=\"refused\",reason=\"unknown_key\"} "
	       "6\n" })
		EXPECT_NE(text.find(std::string("dandelionspar_edge_customer_"
						"requests") +
				    counted),
			  std::string::npos)
			<< counted;
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

/* Guards against a retry with a key that was taken away while the request ran,
 * and against a refusal (401) of a request that has run. */
TEST_F(Keys, RequestWhoseKeyWasTakenAwayIsNotSentAgain)
{
	std::atomic<bool> removed{ false };
	std::atomic<int> runs{ 0 };

	system.add(a, "/open/probe");
	system.add(b, "/open/probe");
	for (Runner *r : { &a, &b })
		r->handler = [&](Socket &s, const Message &) {
			runs++;
			System::eventually([&] { return removed.load(); });
			s.reset();
			return false;
		};
	std::thread remover([&] {
		System::eventually([&] { return runs != 0; });
		EXPECT_EQ(
			system.put(keyed_table(2, customer("two", OTHER_KEY))),
			200);
		EXPECT_TRUE(System::eventually([&] {
			std::string all = system.whole_logs();
			return all.find("edge: event=route_table number=2",
					all.find("== " + system.entry().id)) !=
			       std::string::npos;
		}));
		removed = true;
	});
	Message m = system.send("GET", "/safe/x", with_key(KEY));
	remover.join();
	EXPECT_EQ(m.status(), 502) << system.logs();
	EXPECT_EQ(runs, 1);
}

/* Guards against a stream that is cut because its key was taken away. */
TEST_F(Keys, StreamThatHasBegunGoesOnWithoutItsKey)
{
	std::atomic<bool> removed{ false };
	std::atomic<int> runs{ 0 };

	system.add(a, "/open/probe");
	a.handler = [&](Socket &s, const Message &m) {
		s.send("HTTP/1.1 200 OK\r\n" + a.seal() + Runner::echo(m) +
		       "Content-Type: text/event-stream\r\n"
		       "Content-Length: 30\r\n\r\nid: 1\ndata: x\n\n");
		runs++;
		System::eventually([&] { return removed.load(); });
		return s.send("id: 2\ndata: y\n\n");
	};
	std::thread remover([&] {
		System::eventually([&] { return runs != 0; });
		EXPECT_EQ(
			system.put(keyed_table(2, customer("two", OTHER_KEY))),
			200);
		removed = true;
	});
	Message m = system.send("POST", "/flow/x", with_key(KEY));
	remover.join();
	EXPECT_EQ(m.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
		<< system.logs();
}

namespace
{

/* One control instance and two entries, with a proxy for the messages in each
 * direction between the control instance and the first entry. */
class Revocation : public ::testing::Test
{
      protected:
	static constexpr int REVOKE_MS = 2000;
	System system{ 1, 2 };
	Runner a{ "plain", "i-a" };
	std::vector<uint16_t> ports;
	struct proxy *up = nullptr, *down = nullptr;

	void SetUp() override
	{
		uint16_t to_core = proc_free_port();
		uint16_t to_entry = proc_free_port();

		for (size_t i = 0; i < 3; i++)
			ports.push_back(proc_free_port());
		up = proxy_start(to_core, ports[0]);
		down = proxy_start(to_entry, ports[1]);
		write(0, 1, to_entry);
		write(1, 0, to_core);
		write(2, 0, 0);
		system.serve(
			keyed_table(1, customer("one", KEY) + "," +
					       customer("two", OTHER_KEY)));
		if (HasFatalFailure())
			return;
		system.add(a, "/open/probe");
		for (size_t i : { 1, 2 })
			ASSERT_TRUE(System::eventually([&] {
				return send(i, KEY) == 200;
			})) << system.logs();
	}
	void TearDown() override
	{
		proxy_stop(up);
		proxy_stop(down);
	}
	/* Instance i connects to instance `peer` by a proxy, if one is given.
	 */
	void write(size_t i, size_t peer, uint16_t via)
	{
		const System::Instance &x = system.instances[i];
		std::ofstream out(x.settings);

		out << "id = \"" << x.id
		    << "\"\nsite = \"here\"\nregion = \"region\"\ncontrol = "
		    << (x.control ? "true" : "false")
		    << "\ninternal_listen = \"" << internal(i)
		    << "\"\nhttp_listen = \"" << x.ip << ":1\"\n";
		if (x.control)
			out << "data_folder = \"" << x.folder << "\"\n";
		for (size_t k = 0; k < 3; k++) {
			out << "[[peer]]\nid = \"" << system.instances[k].id
			    << "\"\naddress = \"" << internal(k)
			    << "\"\nsite = \"here\"\ncontrol = "
			    << (k ? "false" : "true") << "\n";
			if (via && k == peer)
				out << "via = \"tcp://127.0.0.1:" << via
				    << "\"\n";
		}
		out << "[timing]\nelection_timeout_ms = 500\n"
		       "heartbeat_ms = 100\nreport_interval_ms = 200\n"
		       "node_lease_ms = 2000\nisolated_after_ms = 1500\n"
		       "endpoint_lease_ms = 3000\n[edge]\nkey_revoke_ms = "
		    << REVOKE_MS << "\n";
		if (x.control)
			out << "control = \"" << x.api << "\"\n";
		else
			out << "front = \"" << x.front << "\"\nready = \""
			    << x.ready << "\"\ndirectory = \"" << x.directory
			    << "\"\n";
	}
	std::string internal(size_t i)
	{
		return "tcp://127.0.0.1:" + std::to_string(ports[i]);
	}
	/* Status of a request at an entry; 0 without an answer. */
	int send(size_t i, const char *key, int timeout_ms = 3000)
	{
		return call(system.instances[i].front,
			    request("GET", "/safe/x", "host.example",
				    with_key(key)),
			    timeout_ms)
			.status();
	}
	void cut(bool on)
	{
		for (struct proxy *p : { up, down }) {
			proxy_drop(p, PROXY_TO_TARGET, on);
			proxy_drop(p, PROXY_TO_CLIENT, on);
			if (!on)
				proxy_break_open(p);
		}
	}
	/* Removes KEY; returns the time of the acknowledgement in ms. */
	int64_t remove_key()
	{
		EXPECT_EQ(
			system.put(keyed_table(2, customer("two", OTHER_KEY))),
			200)
			<< system.logs();
		return proc_now_ms();
	}
};

} // namespace

/* Guards against an entry that serves a key which was taken away while it was
 * cut off, and against one that refuses while its view is young. */
TEST_F(Revocation, EntryThatIsCutOffStopsServing)
{
	size_t before, served = 0;
	int64_t acknowledged;

	cut(true);
	for (int i = 0; i < 10; i++, usleep(20000))
		EXPECT_EQ(send(1, KEY), 200) << system.logs();
	acknowledged = remove_key();
	EXPECT_TRUE(
		System::eventually([&] { return send(2, KEY) == 401; }, 2500));
	while (proc_now_ms() <= acknowledged + REVOKE_MS) {
		served += send(1, KEY) == 200;
		usleep(20000);
	}
	before = a.n_ran();
	while (proc_now_ms() <= acknowledged + REVOKE_MS + 2000) {
		EXPECT_EQ(send(1, KEY), 503);
		EXPECT_EQ(send(1, OTHER_KEY), 503);
		usleep(20000);
	}
	EXPECT_EQ(a.n_ran(), before);
	Message refused =
		call(system.instances[1].front,
		     request("GET", "/safe/x", "host.example", with_key(KEY)));
	EXPECT_GT(atof(refused.field("Retry-After").c_str()), 0);
	cut(false);
	EXPECT_TRUE(System::eventually([&] { return send(1, KEY) == 401; }))
		<< system.logs();
	EXPECT_EQ(send(1, OTHER_KEY), 200);
	RecordProperty("served_after_acknowledgement", (int)served);
}

/* Guards against an entry that goes on, after it was stopped, with the view
 * that it had. The requests are sent while it is stopped and after. */
TEST_F(Revocation, EntryThatWasStoppedRefusesTheKey)
{
	std::vector<std::unique_ptr<Socket>> sockets;
	size_t before = a.n_ran();
	int64_t acknowledged;

	for (int i = 0; i < 5; i++) {
		sockets.push_back(std::make_unique<Socket>());
		ASSERT_TRUE(
			sockets.back()->connect_to(system.instances[1].front));
	}
	usleep(100000);
	kill(system.instances[1].pid, SIGSTOP);
	acknowledged = remove_key();
	while (proc_now_ms() <= acknowledged + REVOKE_MS)
		usleep(20000);
	for (auto &s : sockets)
		ASSERT_TRUE(s->send(request("GET", "/safe/x", "host.example",
					    with_key(KEY))));
	kill(system.instances[1].pid, SIGCONT);
	for (auto &s : sockets) {
		Message m;

		EXPECT_TRUE(s->read(&m));
		EXPECT_TRUE(m.status() == 503 || m.status() == 401) << m.first;
	}
	EXPECT_TRUE(System::eventually([&] { return send(1, KEY) == 401; }))
		<< system.logs();
	EXPECT_EQ(a.n_ran(), before);
	EXPECT_EQ(send(1, OTHER_KEY), 200);
}
