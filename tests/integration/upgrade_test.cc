#include <array>
#include <map>
#include <random>

#include "tests/platform/system.h"

/*
 * An older build of the program and the present one side by side: instances are
 * replaced one after the other, in any order, half-way and back, while callers
 * book and stream and an operator changes the document. The older program is
 * built from the repository's history.
 *
 * Other runs: UPGRADE_SEED=N UPGRADE_FROM=COMMIT
 * build/integration/upgrade_test.
 */
using namespace platform;

namespace
{

constexpr size_t CONTROLS = 3;
constexpr size_t ENTRIES = 3;
constexpr int EVENTS = 12;
constexpr int CALLERS = 12;
/* The landing before this one. */
const char *const FROM = "64ec4c2";

/* Returns the path of the older program; empty, with the reason, if it cannot
 * be built. */
std::string older_program(std::string *reason)
{
	const char *from = getenv("UPGRADE_FROM");
	const char *build = getenv("BUILD");
	std::string command = std::string("tests/upgrade/build-program ") +
			      (from ? from : FROM) + " " +
			      (build ? build : "build") + " 2>&1";
	FILE *out = popen(command.c_str(), "r");
	std::string last;
	char line[1024];
	int rc;

	while (fgets(line, sizeof(line), out))
		last = line;
	rc = pclose(out);
	while (!last.empty() && last.back() == '\n')
		last.pop_back();
	*reason = last;
	return rc ? "" : last;
}

class Upgrade : public ::testing::Test
{
      protected:
	System system{ CONTROLS, ENTRIES };
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };
	std::string older;
	std::mt19937 random;
	std::atomic<bool> done{ false };
	std::atomic<int> n_requests{ 0 }, n_served{ 0 }, n_refused{ 0 };
	std::atomic<int> n_crossed{ 0 }; /* the end of a connection */
	std::atomic<int> n_documents{ 0 };
	std::array<std::atomic<bool>, CONTROLS + ENTRIES> serves{};
	std::mutex lock; /* guards the fields below */
	std::map<std::string, int> runs;
	std::set<std::string> not_run;

	void SetUp() override
	{
		std::string reason;

		older = older_program(&reason);
		if (older.empty())
			GTEST_SKIP() << "not run: " << reason;
		for (auto &x : system.instances)
			x.program = older;
		for (Runner *r : { &a, &b }) {
			r->slots = 64;
			r->handler = [this, r](Socket &s, const Message &m) {
				return answer_one(*r, s, m);
			};
		}
		system.serve(table(1));
		system.add(a, "/safe/probe");
		ASSERT_EQ(b.beat_once(system.instances[0].api), 200);
		b.beat(system.instances[0].api);
		for (size_t i = 0; i < system.instances.size(); i++)
			wait_serves(i);
		n_documents = 1;
	}
	bool answer_one(Runner &r, Socket &s, const Message &m)
	{
		std::string id = m.field("X-Attempt-Id");
		std::string head = r.seal() + Runner::echo(m);
		char size[16];

		if (!m.target().compare(0, 6, "/once/")) {
			std::lock_guard<std::mutex> guard(lock);

			runs[id]++;
		}
		if (m.target().compare(0, 6, "/flow/") != 0)
			return s.send(answer(200, head, id));
		if (!s.send("HTTP/1.1 200 OK\r\nContent-Type: "
			    "text/event-stream\r\n" +
			    head + "Transfer-Encoding: chunked\r\n\r\n"))
			return false;
		for (int i = atoi(m.field("Last-Event-Id").c_str()) + 1;
		     i <= EVENTS; i++) {
			std::string event = event_text(i);

			snprintf(size, sizeof(size), "%zx\r\n", event.size());
			if (!s.send(size + event + "\r\n"))
				return false;
			usleep(50000);
		}
		return s.send("0\r\n\r\n");
	}
	static std::string event_text(int i)
	{
		return "id: " + std::to_string(i) + "\ndata: piece\n\n";
	}
	static std::string whole_stream()
	{
		std::string text;

		for (int i = 1; i <= EVENTS; i++)
			text += event_text(i);
		return text;
	}
	/* Waits until an instance serves: an entry requests, a control instance
	 * the last acknowledged document. */
	void wait_serves(size_t i)
	{
		const System::Instance &x = system.instances[i];

		EXPECT_TRUE(System::eventually([&] {
			return x.control ? version_of(system.get(i)) >=
						   n_documents
					 : system.is_ready(x);
		})) << x.id
		    << "\n"
		    << system.logs();
		serves[i] = true;
	}
	static int version_of(const Message &m)
	{
		const std::string key = "\"version\":";
		size_t at = m.body.find(key);

		return m.status() == 200 && at != std::string::npos
			       ? atoi(m.body.c_str() + at + key.size())
			       : -1;
	}

	/* Calls an entry that serves on a kept connection, until an answer says
	 * that it is the last one. */
	void use(unsigned seed)
	{
		std::mt19937 own(seed);

		while (!done) {
			size_t i = CONTROLS + own() % ENTRIES;
			Socket s;

			if (!serves[i] ||
			    !s.connect_to(system.instances[i].front, 500)) {
				usleep(20000);
				continue;
			}
			while (!done && use_once(s, own))
				usleep((useconds_t)(own() % 40) * 1000);
		}
	}
	bool use_once(Socket &s, std::mt19937 &own)
	{
		std::string id = "u" + std::to_string(n_requests++);
		bool streams = own() % 3 == 0;
		Message m;

		if (!s.send(request("POST", streams ? "/flow/x" : "/once/x",
				    "host.example",
				    "X-Attempt-Id: " + id + "\r\n", "b")) ||
		    !s.read(&m, 9000)) {
			EXPECT_TRUE(s.ended) << id << " has no answer";
			EXPECT_TRUE(s.buffer.empty()) << id;
			n_crossed++;
			return false;
		}
		if (m.status() == 200) {
			n_served++;
			EXPECT_TRUE(m.complete) << id;
			EXPECT_EQ(m.body, streams ? whole_stream() : id);
		} else {
			n_refused++;
		}
		if (!streams)
			check_booking(m, id);
		return m.status() == 200 && m.field("Connection") != "close";
	}
	void check_booking(const Message &m, const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);

		if (m.status() == 200) {
			EXPECT_EQ(runs[id], 1) << id;
		}
		if (m.status() == 503)
			not_run.insert(id);
	}
	/* Changes the document again and again; each is acknowledged. */
	void operate(unsigned seed)
	{
		std::mt19937 own(seed);

		while (!done) {
			int number = n_documents + 1;

			EXPECT_TRUE(System::eventually(
				[&] {
					return system.put(table(number),
							  own() % CONTROLS) ==
					       200;
				},
				15000))
				<< "document " << number << "\n"
				<< system.logs();
			n_documents = number;
			usleep((useconds_t)(own() % 400) * 1000);
		}
	}
	/* Replaces an instance's process by one of another build. */
	void replace(size_t i, const std::string &program)
	{
		System::Instance &x = system.instances[i];
		siginfo_t info = {};

		serves[i] = false;
		kill(x.pid, SIGTERM);
		EXPECT_TRUE(System::eventually(
			[&] {
				waitid(P_PID, (id_t)x.pid, &info,
				       WEXITED | WNOHANG | WNOWAIT);
				return info.si_pid != 0;
			},
			6000))
			<< x.id << " does not stop\n"
			<< system.logs();
		proc_kill(x.pid);
		x.program = program;
		system.write_settings(x, false);
		system.start(x);
		wait_serves(i);
	}
	/* One loss at a time, as many as three control instances bear. */
	void disturb()
	{
		size_t i = random() % system.instances.size();
		System::Instance &x = system.instances[i];

		switch (random() % 4) {
		case 0:
			if (!x.control)
				break; /* its callers lose their streams */
			serves[i] = false;
			proc_kill(x.pid);
			system.write_settings(x, false);
			system.start(x);
			wait_serves(i);
			break;
		case 1:
			kill(x.pid, SIGSTOP);
			usleep((useconds_t)(random() % 1200) * 1000);
			kill(x.pid, SIGCONT);
			wait_serves(i);
			break;
		case 2:
			kill(x.pid, SIGHUP);
			break;
		default:
			usleep((useconds_t)(random() % 1000) * 1000);
			break;
		}
	}
	/* Brings the first n instances of an order to a build. */
	void roll(const std::vector<size_t> &order, size_t n,
		  const std::string &program)
	{
		for (size_t k = 0; k < n && !HasFailure(); k++) {
			replace(order[k], program);
			disturb();
		}
	}
	/* The same at the end: a request may run after its answer. */
	void check_bookings()
	{
		for (const auto &run : runs)
			EXPECT_EQ(run.second, 1) << run.first;
		for (const std::string &id : not_run)
			EXPECT_EQ(runs.count(id), 0u) << id;
	}
	void check_documents()
	{
		for (size_t i = 0; i < CONTROLS; i++)
			EXPECT_TRUE(System::eventually([&] {
				return version_of(system.get(i)) == n_documents;
			})) << system.instances[i].id
			    << "\n"
			    << system.logs();
	}
};

} // namespace

/* Guards what callers and operators are promised while two builds run side by
 * side, and when an upgrade is taken back and begins again. */
TEST_F(Upgrade, NothingIsLostWhileInstancesAreReplaced)
{
	const char *text = getenv("UPGRADE_SEED");
	unsigned seed = text ? (unsigned)atoi(text) : 1;
	std::vector<std::thread> threads;
	std::vector<size_t> order;

	random.seed(seed);
	for (size_t i = 0; i < system.instances.size(); i++)
		order.push_back(i);
	std::shuffle(order.begin(), order.end(), random);
	for (unsigned i = 0; i < CALLERS; i++)
		threads.emplace_back([this, seed, i] { use(seed * 100 + i); });
	threads.emplace_back([this, seed] { operate(seed); });
	usleep(500000);
	if (random() % 2) {
		/* Stops half-way, and is taken back. */
		size_t n = 1 + random() % (order.size() - 1);

		roll(order, n, "");
		usleep((useconds_t)(random() % 2000) * 1000);
		roll(order, n, older);
	}
	roll(order, order.size(), "");
	usleep(500000);
	done = true;
	for (auto &t : threads)
		t.join();
	check_bookings();
	check_documents();
	printf("seed %u: %d requests, %d served, %d refused, %d crossed a "
	       "close, %d documents\n",
	       seed, n_requests.load(), n_served.load(), n_refused.load(),
	       n_crossed.load(), n_documents.load());
	EXPECT_GT(n_served, n_requests * 9 / 10);
	EXPECT_GT(n_documents, 10);
}
