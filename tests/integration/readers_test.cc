#include <linux/filter.h>

#include <array>
#include <fstream>
#include <random>

#include "tests/platform/system.h"

/*
 * Callers that read slowly, stand still, vanish or leave, at real processes:
 * whoever reads has the whole answer by its deadline, also when its entry is
 * stopped meanwhile, and whoever has vanished is found. A caller vanishes by a
 * socket filter that drops whatever arrives.
 *
 * Other seeds: READERS_SEED=N build/integration/readers_test
 * --gtest_filter='*Soak*'.
 */
using namespace platform;

namespace
{

constexpr size_t EVENT_BYTES = 100;
constexpr int SMALL_WINDOW = 4096;
constexpr int DRAIN_MS = 4000;

/* How a caller reads. */
struct Manner {
	int window;	  /* receive buffer, bytes */
	size_t piece;	  /* bytes read at a time */
	int pause_ms;	  /* between two pieces */
	int still_ms;	  /* before the first */
	size_t vanish_at; /* bytes read; SIZE_MAX: it does not vanish */
};

constexpr Manner FAST = { 1 << 20, 65536, 0, 0, SIZE_MAX };
constexpr Manner SLOW = { SMALL_WINDOW, 512, 400, 0, SIZE_MAX };
constexpr Manner STILL = { SMALL_WINDOW, 65536, 0, 4500, SIZE_MAX };

int open_caller(const std::string &address, int window)
{
	struct sockaddr_in in = {};
	size_t colon = address.find(':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	in.sin_family = AF_INET;
	in.sin_port = htons((uint16_t)atoi(address.substr(colon + 1).c_str()));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &in.sin_addr);
	if (::connect(fd, (struct sockaddr *)&in, sizeof(in))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Drops whatever arrives from now on, so that nothing is acknowledged. */
void vanish(int fd)
{
	struct sock_filter drop = { BPF_RET | BPF_K, 0, 0, 0 };
	struct sock_fprog program = { 1, &drop };

	EXPECT_EQ(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			     sizeof(program)),
		  0);
}

/* What a caller has got of a stream. */
struct Outcome {
	bool has_begun = false; /* 200 */
	bool is_whole = false;
	bool has_vanished = false;
	bool has_ended = false; /* the connection */
	size_t bytes = 0;
};

/* Reads one chunked answer; what lies behind it stays in the socket's buffer.
 */
Outcome read_stream(Socket &s, const Manner &manner, int limit_ms)
{
	int64_t until = proc_now_ms() + limit_ms;
	std::vector<char> bytes(manner.piece);
	Outcome out;
	size_t end;

	usleep((useconds_t)manner.still_ms * 1000);
	while (proc_now_ms() < until) {
		struct pollfd p = { s.fd, POLLIN, 0 };
		ssize_t n;

		if (out.bytes >= manner.vanish_at) {
			vanish(s.fd);
			out.has_vanished = true;
			return out;
		}
		if (poll(&p, 1, 200) <= 0)
			continue;
		n = recv(s.fd, bytes.data(), bytes.size(), 0);
		if (n <= 0) {
			out.has_ended = true;
			return out;
		}
		s.buffer.append(bytes.data(), (size_t)n);
		out.bytes += (size_t)n;
		out.has_begun = !s.buffer.compare(0, 12, "HTTP/1.1 200");
		end = s.buffer.find("\r\n0\r\n\r\n");
		if (end != std::string::npos) {
			s.buffer.erase(0, end + 7);
			out.is_whole = true;
			return out;
		}
		if (s.buffer.size() > 12 && !out.has_begun)
			return out;
		usleep((useconds_t)manner.pause_ms * 1000);
	}
	return out;
}

std::string ask(const std::string &id, int events)
{
	return request("POST", "/night/" + std::to_string(events),
		       "host.example", "X-Attempt-Id: " + id + "\r\n", "b");
}

/* Entries and two endpoints whose streams have as many events as the path says,
 * and end as soon as they are read. */
class Readers : public ::testing::Test
{
      protected:
	std::unique_ptr<System> owned;
	System *system = nullptr;
	Runner a{ "plain", "i-a" };
	Runner b{ "plain", "i-b" };
	std::atomic<int> n_ended{ 0 }; /* streams written to their end */

	virtual size_t entries() const
	{
		return 2;
	}
	void SetUp() override
	{
		const char *build = getenv("BUILD");

		owned = std::make_unique<System>(1, entries(),
						 "detour_offset = 1\n");
		system = owned.get();
		for (auto &x : system->instances)
			x.preload = std::string(build ? build : "build") +
				    "/cut_connect.so";
		system->serve(night_table(1));
		for (Runner *r : { &a, &b }) {
			r->slots = 64;
			r->handler = [this, r](Socket &s, const Message &m) {
				return stream(*r, s, m);
			};
		}
		system->add(a, "/night/1");
		/* Single requests may all go to the first. */
		ASSERT_EQ(b.beat_once(system->instances[0].api), 200);
		b.beat(system->instances[0].api);
		for (size_t i = 1; i <= entries(); i++)
			ASSERT_TRUE(System::eventually([&] {
				return call(system->instances[i].front,
					    ask("probe", 1))
					       .status() == 200;
			})) << system->logs();
		n_ended = 0;
	}
	static std::string night_table(int version)
	{
		return table(version,
			     ",{\"name\":\"night\",\"host\":\"host.example\","
			     "\"pathPrefix\":\"/night/\",\"kind\":"
			     "\"streaming\",\"timeoutMs\":30000,\"goalMs\":"
			     "10000,\"priority\":1,\"service\":\"plain\","
			     "\"maxAttempts\":1,\"resumable\":false,"
			     "\"gapTargetMs\":250}");
	}
	bool stream(Runner &r, Socket &s, const Message &m)
	{
		int n = atoi(m.target().c_str() + strlen("/night/"));
		char size[16];

		snprintf(size, sizeof(size), "%zx\r\n", EVENT_BYTES);
		if (!s.send("HTTP/1.1 200 OK\r\nContent-Type: "
			    "text/event-stream\r\n" +
			    r.seal() + Runner::echo(m) +
			    "Transfer-Encoding: chunked\r\n\r\n"))
			return false;
		for (int id = 1; id <= n; id++) {
			std::string event =
				"id: " + std::to_string(id) + "\ndata: ";

			event.append(EVENT_BYTES - event.size() - 2, 'x');
			if (!s.send(size + event + "\n\n\r\n"))
				return false;
			usleep(5000);
		}
		n_ended++;
		return s.send("0\r\n\r\n");
	}
	/* Cuts an entry off from both endpoints. */
	void cut(size_t i)
	{
		std::ofstream out(system->instances[i].cut_file());
		int nowhere = proc_free_port();

		for (const Runner *r : { &a, &b })
			out << r->address.substr(r->address.find(':') + 1)
			    << " " << nowhere << "\n";
	}
	/* Sum of a metric of an instance over its labels that contain a text.
	 */
	double metric(size_t i, const std::string &name,
		      const std::string &label = "")
	{
		std::string text = call(system->instances[i].metrics,
					request("GET", "/metrics", "x"))
					   .body;
		std::istringstream lines(text);
		std::string line;
		double sum = 0;

		while (std::getline(lines, line))
			if (!line.compare(0, name.size(), name) &&
			    line.find(label) != std::string::npos)
				sum += atof(line.c_str() + line.rfind(' '));
		return sum;
	}
	double closed(size_t i, const std::string &reason)
	{
		return metric(i, "dandelionspar_connections_closed",
			      "\"" + reason + "\"");
	}
	bool has_exited(size_t i)
	{
		siginfo_t info = {};

		waitid(P_PID, (id_t)system->instances[i].pid, &info,
		       WEXITED | WNOHANG | WNOWAIT);
		return info.si_pid != 0;
	}
};

/* Whether the entry has no path to the endpoints, so that the stream comes
 * through another entry. */
class ReadersOfADetour : public Readers,
			 public ::testing::WithParamInterface<bool>
{
};

} // namespace

/* Guards against callers that are reset, and endpoints that are held up,
 * because a caller takes its time. */
TEST_P(ReadersOfADetour, SlowCallersGetTheWholeStreamAndHoldUpNoEndpoint)
{
	std::vector<std::thread> threads;
	std::array<Outcome, 6> got;

	if (GetParam()) {
		cut(1);
		usleep(1000000);
		ASSERT_TRUE(System::eventually([&] {
			call(system->instances[1].front, ask("probe", 1));
			return metric(1, "dandelionspar_edge_paths_lost") == 2;
		})) << system->logs();
		n_ended = 0;
	}
	for (size_t i = 0; i < got.size(); i++)
		threads.emplace_back([&, i] {
			Socket s(open_caller(system->instances[1].front,
					     SMALL_WINDOW));

			s.send(ask("s" + std::to_string(i), 120));
			got[i] = read_stream(s, i % 2 ? STILL : SLOW, 25000);
		});
	EXPECT_TRUE(System::eventually(
		[&] { return n_ended == (int)got.size(); }, 4000));
	for (auto &t : threads)
		t.join();
	for (const Outcome &o : got)
		EXPECT_TRUE(o.is_whole) << o.bytes << " bytes\n"
					<< system->logs();
}

INSTANTIATE_TEST_SUITE_P(Paths, ReadersOfADetour, ::testing::Bool(),
			 [](const ::testing::TestParamInfo<bool> &info) {
				 return info.param ? "Detour" : "Direct";
			 });

/* Guards against callers that vanish and keep their streams. */
TEST_F(Readers, CallersThatVanishAreFound)
{
	Socket closed_window(
		open_caller(system->instances[1].front, SMALL_WINDOW));
	Socket open_window(open_caller(system->instances[1].front, 1 << 20));

	closed_window.send(ask("v1", 400));
	open_window.send(ask("v2", 400));
	usleep(1000000);
	vanish(closed_window.fd);
	vanish(open_window.fd);
	EXPECT_TRUE(System::eventually([&] { return closed(1, "gone") == 2; },
				       5000))
		<< system->logs();
}

/* Guards against a planned stop that ends the process while a caller reads its
 * answer, all of which is with the kernel already. */
TEST_F(Readers, PlannedStopWaitsForSlowCallers)
{
	Socket s(open_caller(system->instances[1].front, SMALL_WINDOW));
	int64_t begun;
	Outcome got;

	/* Some 3.5 s at 1,280 bytes/s after what the window holds. */
	s.send(ask("p1", 100));
	ASSERT_TRUE(System::eventually([&] { return n_ended == 1; }));
	usleep(600000);
	kill(system->instances[1].pid, SIGTERM);
	begun = proc_now_ms();
	EXPECT_FALSE(System::eventually([&] { return has_exited(1); }, 1800));
	got = read_stream(s, { SMALL_WINDOW, 2048, 200, 0, SIZE_MAX }, 20000);
	EXPECT_TRUE(got.is_whole) << got.bytes;
	EXPECT_TRUE(System::eventually([&] { return has_exited(1); }, 3000));
	EXPECT_LT(proc_now_ms() - begun, DRAIN_MS);
}

/* Guards against a reader that needs longer than a stop may take: the kernel
 * has its answer, and goes on when the process is gone. */
TEST_F(Readers, SlowCallerGetsItsAnswerAfterTheEndOfItsEntry)
{
	Socket s(open_caller(system->instances[1].front, SMALL_WINDOW));
	Outcome got;

	s.send(ask("p1", 120));
	ASSERT_TRUE(System::eventually([&] { return n_ended == 1; }));
	usleep(600000);
	kill(system->instances[1].pid, SIGTERM);
	got = read_stream(s, SLOW, 25000);
	EXPECT_TRUE(got.is_whole) << got.bytes;
	EXPECT_TRUE(has_exited(1));
}

namespace
{

/* Callers of all manners on kept connections, while entries are stopped,
 * killed, suspended and reloaded in series and at once. */
class ReadersSoak : public Readers
{
      protected:
	std::mt19937 random;
	std::atomic<bool> done{ false };
	std::atomic<int> n_whole{ 0 }, n_vanished{ 0 }, n_excused{ 0 };
	std::array<std::atomic<int>, 32> kills{}; /* by entry */
	unsigned number = 2;

	static unsigned seed()
	{
		const char *text = getenv("READERS_SEED");

		return text ? (unsigned)atoi(text) : 1;
	}
	/* Some runs have many entries. */
	size_t entries() const override
	{
		return seed() % 5 ? 3 : 20;
	}
	static Manner draw_manner(std::mt19937 &own)
	{
		static const std::array<Manner, 5> manners = { {
			FAST,
			SLOW,
			STILL,
			{ SMALL_WINDOW, 256, 200, 0, SIZE_MAX },
			{ 16384, 2048, 300, 1000, SIZE_MAX },
		} };
		Manner m = manners[own() % manners.size()];

		if (own() % 6 == 0)
			m.vanish_at = own() % 8000;
		return m;
	}
	/* An answer that has begun comes whole, unless its entry was killed. */
	void use(unsigned seed)
	{
		std::mt19937 own(seed);
		int n = 0;

		while (!done) {
			size_t i = 1 + own() % entries();
			Manner manner = draw_manner(own);
			int fd = open_caller(system->instances[i].front,
					     manner.window);

			if (fd < 0) {
				usleep(50000);
				continue;
			}
			Socket s(fd);

			while (!done && use_once(s, i, manner,
						 std::to_string(seed) + "-" +
							 std::to_string(n++)))
				;
		}
	}
	/* Returns whether the connection can be used again. */
	bool use_once(Socket &s, size_t i, const Manner &manner,
		      const std::string &id)
	{
		int before = kills[i];
		Outcome got;

		if (!s.send(ask(id, 60 + (int)(id.size() * 7) % 60)))
			return false;
		got = read_stream(s, manner, 29000);
		if (got.has_vanished) {
			n_vanished++;
			/* The connection stays until the entry has noticed. */
			usleep(4500000);
			return false;
		}
		n_whole += got.is_whole;
		if (!got.has_begun || got.is_whole)
			return got.is_whole;
		if (kills[i] != before)
			n_excused++;
		else
			ADD_FAILURE()
				<< "entry " << i << " request " << id << " "
				<< got.bytes << " bytes, ended "
				<< got.has_ended << ", piece " << manner.piece
				<< " pause " << manner.pause_ms << " still "
				<< manner.still_ms;
		return false;
	}
	void stop(System::Instance &x, size_t i, int signal)
	{
		if (signal == SIGKILL)
			kills[i]++;
		kill(x.pid, signal);
		if (signal == SIGTERM)
			System::eventually([&] { return has_exited(i); },
					   DRAIN_MS + 2000);
		proc_kill(x.pid);
		system->start(x);
	}
	void disturb()
	{
		size_t i = 1 + random() % entries();
		System::Instance &x = system->instances[i];

		switch (random() % 6) {
		case 0:
			stop(x, i, SIGKILL);
			break;
		case 1:
		case 2:
			stop(x, i, SIGTERM);
			break;
		case 3:
			kill(x.pid, SIGSTOP);
			usleep((useconds_t)(random() % 3500) * 1000);
			kill(x.pid, SIGCONT);
			break;
		case 4:
			kill(x.pid, SIGHUP);
			break;
		default:
			system->put(night_table((int)number++));
			break;
		}
	}
};

} // namespace

TEST_F(ReadersSoak, WhoeverReadsHasTheWholeAnswer)
{
	std::vector<std::thread> callers;
	size_t n_callers = 16 + 2 * entries();

	random.seed(seed());
	for (unsigned i = 0; i < n_callers; i++)
		callers.emplace_back([this, i] { use(seed() * 100 + i); });
	for (int64_t until = proc_now_ms() + 30000; proc_now_ms() < until;) {
		disturb();
		usleep((useconds_t)(random() % 1500) * 1000);
	}
	done = true;
	for (auto &t : callers)
		t.join();
	printf("seed %u: %d whole, %d vanished, %d cut by kills\n", seed(),
	       n_whole.load(), n_vanished.load(), n_excused.load());
	EXPECT_GT(n_whole, (int)n_callers) << system->logs();
	for (size_t i = 1; i <= entries(); i++)
		EXPECT_TRUE(System::eventually([&] {
			return metric(i, "dandelionspar_edge_connections_with_"
					 "output") == 0;
		})) << "entry "
		    << i << " keeps connections of callers that are gone";
}
