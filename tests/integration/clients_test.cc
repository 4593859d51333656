#include <gtest/gtest.h>

#include <dirent.h>

#include <fstream>
#include <iostream>
#include <memory>

#include "tests/platform/system.h"

extern "C" {
#include "lib_cluster.h"
}

/*
 * Misbehaving clients, in small numbers and with the limits of the processes
 * lowered. Each kind is tried at each path. Checked is only what does not
 * depend on the machine's speed: the processes live, their memory and
 * descriptors stay under a bound, and ordinary requests are answered afterwards
 * while the clients still hold their connections.
 *
 * Run alone: build/integration/clients_test [--gtest_filter=...].
 */
using namespace platform;

namespace
{

/* Limits of the processes; the account of buffered bytes has half of it. */
constexpr int MACHINE_MB = 64;
constexpr unsigned DESCRIPTORS = 256;
/* Bounds of what is measured. */
constexpr size_t MEMORY_MAX_KB = MACHINE_MB << 10;
/* After the clients have left. */
constexpr size_t REST_MAX_KB = MEMORY_MAX_KB / 2;
/* Those left are for endpoints, operators and other instances. */
constexpr size_t DESCRIPTORS_MAX = 224;
/* The crowd. */
constexpr size_t CALLERS = 60;
constexpr size_t FIELD_CALLERS = 150;
constexpr size_t CONNECTIONS = 400;
constexpr int ACT_MS = 500;
/* One-byte chunks are read slowly, and fill the memory later. */
constexpr int CHUNKS_ACT_MS = 1500;
/* Receive buffer of a client, so that unread answers are left to the server. */
constexpr int RECEIVE_BYTES = 4096;
constexpr size_t BODY_BYTES = 2 << 20;
constexpr size_t FIELDS = 3000;
/* An ordinary request is tried for this long. */
constexpr int ORDINARY_MS = 20000;
/* The project's own interface: limits, and the bound of its memory. */
const char OWN_LIMITS[] = "requests_max = 20\nmemory_mb_max = 16\n"
			  "body_bytes_max = 2097152\n";
constexpr size_t OWN_MEMORY_MAX_KB = 96 << 10;
constexpr size_t OWN_REST_MAX_KB = 64 << 10;

/* Resident memory, from /proc/PID/statm. */
size_t resident_kb(pid_t pid)
{
	std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
	size_t all = 0, resident = 0;

	in >> all >> resident;
	return resident * (size_t)getpagesize() >> 10;
}

size_t open_descriptors(pid_t pid)
{
	DIR *folder = opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
	size_t n = 0;

	if (!folder)
		return 0;
	while (readdir(folder))
		n++;
	closedir(folder);
	return n;
}

bool lives(pid_t pid)
{
	siginfo_t info = {};

	waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT);
	return !info.si_pid;
}

/* Where the crowd sends its requests. */
struct Place {
	const char *name;
	enum Port { FRONT, READY, DIRECTORY, CONTROL, METRICS, OWN } port;
	const char *method;
	const char *target;
	const char *fields;
};

const Place places[] = {
	{ "Route", Place::FRONT, "POST", "/safe/x", "X-Attempt-Id: c\r\n" },
	{ "NoRoute", Place::FRONT, "POST", "/none", "" },
	{ "Readiness", Place::READY, "GET", "/dandelionspar/ready", "" },
	{ "EntryList", Place::DIRECTORY, "GET", "/dandelionspar/resolve", "" },
	{ "Operators", Place::CONTROL, "PUT", "/dandelionspar/config", "" },
	{ "Endpoints", Place::CONTROL, "PUT", "/dandelionspar/instances/i-x",
	  "" },
	{ "Metrics", Place::METRICS, "GET", "/metrics", "" },
};

const Place own_places[] = {
	{ "Service", Place::OWN, "POST", "/v1/services/bookings/slots",
	  "Idempotency-Key: k\r\n" },
	{ "Documents", Place::OWN, "PUT", "/v1/documents/demo", "" },
	{ "Health", Place::OWN, "GET", "/healthz", "" },
};

/* What one client sends: once, then a block some times, then last. */
struct Script {
	std::string once, block, last;
	size_t times = 0;
	size_t piece = 0; /* bytes of one send; 0: as many as possible */
	int pause_ms = 0; /* between two sends */
	size_t reads = 0; /* bytes read with each pause */
};

std::string begin(const Place &p, const std::string &fields)
{
	return std::string(p.method) + " " + p.target +
	       " HTTP/1.1\r\nHost: host.example\r\n" + p.fields + fields;
}

std::string with_length(const Place &p, size_t length)
{
	return begin(p,
		     "Content-Length: " + std::to_string(length) + "\r\n\r\n");
}

std::string with_chunks(const Place &p)
{
	return begin(p, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string repeated(const std::string &text, size_t n)
{
	std::string all;

	for (size_t i = 0; i < n; i++)
		all += text;
	return all;
}

const std::string BLOCK(4096, 'b');
const std::string CHUNK = "1000\r\n" + BLOCK + "\r\n";
constexpr size_t ENDLESS = SIZE_MAX;

struct Kind {
	const char *name;
	size_t callers;
	Script (*script)(const Place &p, size_t i);
	int act_ms = ACT_MS;
};

const Kind kinds[] = {
	{ "WholeBodies", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_length(p, BODY_BYTES), BLOCK, "",
				 BODY_BYTES / BLOCK.size() };
	  } },
	{ "BodiesInPieces", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_length(p, BODY_BYTES), BLOCK, "",
				 BODY_BYTES / BLOCK.size(), 1000 };
	  } },
	{ "Chunks", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_chunks(p), CHUNK, "",
				 BODY_BYTES / BLOCK.size() };
	  } },
	{ "OneByteChunks", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_chunks(p), repeated("1\r\nb\r\n", 1000),
				 "", BODY_BYTES / 1000 };
	  } },
	{ "BodiesShortOfTheirEnd", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_length(p, BODY_BYTES + 1), BLOCK, "",
				 BODY_BYTES / BLOCK.size() };
	  } },
	{ "TooLargeBodies", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_length(p, 1 << 30), BLOCK, "", ENDLESS };
	  } },
	{ "TooLargeChunks", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_chunks(p), CHUNK, "", ENDLESS };
	  } },
	{ "ManyFields", FIELD_CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ begin(p, repeated("a:b\r\n", FIELDS)) +
				 "Content-Length: 1\r\n\r\n" };
	  } },
	{ "ManyFieldsWithoutEnd", FIELD_CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ begin(p, repeated("a:b\r\n", FIELDS)) };
	  } },
	{ "ManyTrailers", FIELD_CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ with_chunks(p) + "0\r\n" +
				 repeated("a:b\r\n", FIELDS) };
	  } },
	{ "PipelinedWithUnreadAnswers", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ "", repeated(with_length(p, 0), 100), "",
				 ENDLESS };
	  } },
	{ "SlowSenders", CALLERS,
	  [](const Place &p, size_t i) {
		  return Script{ i % 2 ? with_length(p, 1000) : "",
				 i % 2 ? "b" : begin(p, ""),
				 "",
				 100,
				 1,
				 20 };
	  } },
	{ "SlowReaders", CALLERS,
	  [](const Place &p, size_t) {
		  return Script{ "",  repeated(with_length(p, 0), 100),
				 "",  ENDLESS,
				 0,   20,
				 1000 };
	  } },
	{ "StopHalfway", CONNECTIONS,
	  [](const Place &p, size_t i) {
		  return i % 3 ? Script{ i % 3 == 1 ? begin(p, "X-A: b")
						    : with_length(p, 10) + "b" }
			       : Script{};
	  } },
};

/* Clients of one kind, on four addresses that ordinary callers do not have. */
class Crowd
{
      public:
	Crowd(const Kind &kind, const Place &place, const std::string &address)
	    : act_ms(kind.act_ms)
	{
		for (size_t i = 0; i < kind.callers; i++) {
			clients.emplace_back();
			clients.back().script = kind.script(place, i);
			clients.back().fd = open(address, i);
		}
	}
	~Crowd()
	{
		for (auto &c : clients)
			end(c);
	}
	/* Sends for act_ms or until all scripts are at their end. Calls sample
	 * now and then. */
	void act(const std::function<void()> &sample)
	{
		int64_t until = proc_now_ms() + act_ms;
		size_t active = 1;

		while (active && proc_now_ms() < until) {
			bool sent = false;

			active = 0;
			for (auto &c : clients) {
				active += c.fd >= 0 && !at_end(c);
				sent = step(c) || sent;
			}
			sample();
			if (!sent)
				usleep(2000);
		}
	}

      private:
	struct Client {
		Script script;
		int fd = -1;
		size_t part = 0, done = 0, rounds = 0;
		int64_t next_ms = 0;
	};

	static int open(const std::string &address, size_t i)
	{
		struct sockaddr_in from = {}, to = {};
		size_t colon = address.find(':');
		int fd = socket(AF_INET,
				SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		int size = RECEIVE_BYTES;

		from.sin_family = to.sin_family = AF_INET;
		from.sin_addr.s_addr = htonl(0x7f000901u + (uint32_t)(i % 4));
		to.sin_port = htons(
			(uint16_t)atoi(address.substr(colon + 1).c_str()));
		inet_pton(AF_INET, address.substr(0, colon).c_str(),
			  &to.sin_addr);
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size,
				 sizeof(size));
		(void)bind(fd, (struct sockaddr *)&from, sizeof(from));
		(void)connect(fd, (struct sockaddr *)&to, sizeof(to));
		return fd;
	}
	static void end(Client &c)
	{
		if (c.fd >= 0)
			close(c.fd);
		c.fd = -1;
	}
	static bool at_end(const Client &c)
	{
		return c.part > 2;
	}
	/* The text that is being sent; moves on behind texts that are. */
	static const std::string *text(Client &c)
	{
		for (; c.part < 3; c.part++) {
			const std::string &t = c.part == 0   ? c.script.once
					       : c.part == 1 ? c.script.block
							     : c.script.last;

			if (c.part == 1 && c.done >= t.size()) {
				c.rounds++;
				c.done = 0;
			}
			if (c.part == 1 && c.rounds >= c.script.times)
				continue;
			if (c.done < t.size())
				return &t;
			c.done = 0;
		}
		return nullptr;
	}
	/* Sends what the script says now; returns whether bytes went out. */
	static bool step(Client &c)
	{
		const std::string *t;
		std::string bytes(c.script.reads, 0);
		size_t n;
		ssize_t sent;

		if (c.fd < 0 || proc_now_ms() < c.next_ms)
			return false;
		c.next_ms = proc_now_ms() + c.script.pause_ms;
		if (c.script.reads)
			(void)recv(c.fd, &bytes[0], bytes.size(), 0);
		t = text(c);
		if (!t)
			return false;
		n = t->size() - c.done;
		if (c.script.piece)
			n = std::min(n, c.script.piece);
		sent = ::send(c.fd, t->data() + c.done, n, MSG_NOSIGNAL);
		if (sent > 0)
			c.done += (size_t)sent;
		else if (errno == EPIPE || errno == ECONNRESET)
			end(c);
		return sent > 0;
	}

	std::vector<Client> clients;
	int act_ms;
};

/* The highest figures of a process. */
struct Peak {
	size_t kb = 0, descriptors = 0;

	void sample(pid_t pid)
	{
		kb = std::max(kb, resident_kb(pid));
		descriptors = std::max(descriptors, open_descriptors(pid));
	}
};

/* Tries a request until it is answered with 200. */
bool is_served(const std::string &address, const std::string &text)
{
	return System::eventually(
		[&] { return call(address, text, 3000).status() == 200; },
		ORDINARY_MS);
}

void PrintTo(const Place &p, std::ostream *out)
{
	*out << p.name;
}

void PrintTo(const Kind &k, std::ostream *out)
{
	*out << k.name;
}

using Case = std::tuple<Place, Kind>;

std::string case_name(const ::testing::TestParamInfo<Case> &info)
{
	return std::string(std::get<0>(info.param).name) + "_" +
	       std::get<1>(info.param).name;
}

class Clients : public ::testing::TestWithParam<Case>
{
      protected:
	struct World {
		System system{ 1, 1,
			       "memory_mb = " + std::to_string(MACHINE_MB) +
				       "\n",
			       DESCRIPTORS };
		Runner a{ "plain", "i-a" }, b{ "plain", "i-b" };
	};
	/* Used by several tests, until one finds it damaged. */
	static std::unique_ptr<World> world;

	void SetUp() override
	{
		if (!world)
			start();
	}
	void TearDown() override
	{
		if (HasFailure())
			world.reset();
	}
	static void TearDownTestSuite()
	{
		world.reset();
	}
	static void start()
	{
		std::string text = table(1);

		replace(text, "\"maxBodyBytes\":4096",
			"\"maxBodyBytes\":4194304");
		replace(text, "\"maxHeaderBytes\":2048",
			"\"maxHeaderBytes\":16384");
		world = std::make_unique<World>();
		world->system.serve(text);
		for (Runner *r : { &world->a, &world->b }) {
			r->slots = 64;
			r->handler = [r](Socket &s, const Message &m) {
				return s.send(
					answer(200, r->seal() + Runner::echo(m),
					       std::string(16384, 'a')));
			};
			world->system.add(*r, "/safe/probe");
		}
	}
	static void replace(std::string &text, const std::string &from,
			    const std::string &to)
	{
		text.replace(text.find(from), from.size(), to);
	}
	static std::string address(Place::Port port)
	{
		System &s = world->system;

		switch (port) {
		case Place::FRONT:
			return s.entry().front;
		case Place::READY:
			return s.entry().ready;
		case Place::DIRECTORY:
			return s.entry().directory;
		case Place::METRICS:
			return s.entry().metrics;
		default:
			return s.instances[0].api;
		}
	}
	/* Every service of both processes, for an ordinary client. */
	static void expect_served()
	{
		System &s = world->system;

		EXPECT_TRUE(is_served(s.entry().front,
				      request("GET", "/safe/x", "host.example",
					      "X-Attempt-Id: o\r\n")));
		EXPECT_TRUE(is_served(s.entry().ready,
				      request("GET", "/dandelionspar/ready",
					      "host.example")));
		EXPECT_TRUE(is_served(s.entry().directory,
				      request("GET", "/dandelionspar/resolve",
					      "host.example")));
		EXPECT_TRUE(is_served(s.instances[0].api,
				      request("GET", "/dandelionspar/config",
					      "host.example")));
		EXPECT_TRUE(
			is_served(s.instances[0].api,
				  request("PUT", "/dandelionspar/instances/i-a",
					  "x", "", world->a.announcement())));
		EXPECT_TRUE(
			is_served(s.entry().metrics,
				  request("GET", "/metrics", "host.example")));
	}
};

std::unique_ptr<Clients::World> Clients::world;

class OwnClients : public ::testing::TestWithParam<Case>
{
      protected:
	static struct cluster *cluster;

	void SetUp() override
	{
		struct cluster_options options = {};

		if (cluster)
			return;
		options.instances = 1;
		options.voters = 1;
		options.limits = OWN_LIMITS;
		cluster = cluster_new(&options);
		cluster_start_all(cluster);
		ASSERT_TRUE(cluster_wait_all_serving(cluster, 20000));
	}
	void TearDown() override
	{
		if (HasFailure())
			TearDownTestSuite();
	}
	static void TearDownTestSuite()
	{
		if (cluster)
			cluster_free(cluster, false);
		cluster = nullptr;
	}
};

struct cluster *OwnClients::cluster;

} // namespace

/* Guards against processes that run out of memory or descriptors, or that end
 * or hang, with clients of this kind. */
TEST_P(Clients, LeaveRoomForOthers)
{
	const Place &place = std::get<0>(GetParam());
	const Kind &kind = std::get<1>(GetParam());
	auto &system = world->system;
	pid_t pid = place.port == Place::CONTROL ? system.instances[0].pid
						 : system.entry().pid;
	Peak peak;
	size_t before_kb = resident_kb(pid);

	{
		Crowd crowd(kind, place, address(place.port));

		crowd.act([&] { peak.sample(pid); });
		peak.sample(pid);
		expect_served();
		peak.sample(pid);
	}
	EXPECT_TRUE(System::eventually(
		[&] { return resident_kb(pid) <= REST_MAX_KB; }, 5000));
	std::cout << "memory " << (before_kb >> 10) << " MB before, "
		  << (peak.kb >> 10) << " MB peak, " << (resident_kb(pid) >> 10)
		  << " MB after; " << peak.descriptors << " descriptors\n";
	for (auto &x : system.instances)
		EXPECT_TRUE(lives(x.pid)) << x.id;
	EXPECT_LE(peak.kb, MEMORY_MAX_KB);
	EXPECT_LE(peak.descriptors, DESCRIPTORS_MAX);
	if (HasFailure())
		std::cout << system.logs();
}

INSTANTIATE_TEST_SUITE_P(All, Clients,
			 ::testing::Combine(::testing::ValuesIn(places),
					    ::testing::ValuesIn(kinds)),
			 case_name);

/* The same at the project's own interface. */
TEST_P(OwnClients, LeaveRoomForOthers)
{
	const Place &place = std::get<0>(GetParam());
	const Kind &kind = std::get<1>(GetParam());
	std::string address = cluster_http(cluster, 0);
	pid_t pid = cluster_pid(cluster, 0);
	Peak peak;
	size_t before_kb = resident_kb(pid);

	{
		Crowd crowd(kind, place, address);

		crowd.act([&] { peak.sample(pid); });
		peak.sample(pid);
		EXPECT_TRUE(
			is_served(address, request("GET", "/healthz", "x")));
		peak.sample(pid);
	}
	EXPECT_TRUE(System::eventually(
		[&] { return resident_kb(pid) <= OWN_REST_MAX_KB; }, 5000));
	std::cout << "memory " << (before_kb >> 10) << " MB before, "
		  << (peak.kb >> 10) << " MB peak, " << (resident_kb(pid) >> 10)
		  << " MB after; " << peak.descriptors << " descriptors\n";
	EXPECT_TRUE(lives(pid));
	EXPECT_LE(peak.kb, OWN_MEMORY_MAX_KB);
}

INSTANTIATE_TEST_SUITE_P(All, OwnClients,
			 ::testing::Combine(::testing::ValuesIn(own_places),
					    ::testing::ValuesIn(kinds)),
			 case_name);
