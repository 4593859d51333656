#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/log.h"
#include "http/hio.h"
#include "http/hio_int.h"
#include "lib_proc.h"
}

/*
 * Peers that read slowly or stand still, and peers that have vanished, at both
 * ends of the HTTP layer, on loopback and in real time. A peer vanishes by a
 * socket filter that drops whatever arrives, so that nothing is acknowledged.
 *
 * Alone: build/unit/hio_peer_test [--gtest_filter=...].
 */
namespace
{

constexpr int NEVER_MS = 1 << 30;
constexpr int SILENCE_MS = 3000;
/* A check comes each 0.5 s, and a probe of a closed window each second. */
constexpr int FOUND_MS = SILENCE_MS + 500 + 1000 + 500;
constexpr int SMALL_WINDOW = 4096;
constexpr int WIDE_WINDOW = 1 << 20;

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

/* How a peer behaves; times in milliseconds since it began. */
struct Manner {
	int window;   /* receive buffer, bytes */
	size_t piece; /* bytes read at a time */
	int pause;    /* between two pieces */
	int from = 0; /* stands still until then */
	int vanishes = NEVER_MS;
};

/* The socket of a peer. */
class Peer
{
      public:
	Peer(int fd, const Manner &manner) : fd(fd), manner(manner)
	{
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}
	Peer(const Peer &) = delete;
	~Peer()
	{
		close(fd);
	}
	static int open(int window)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (window)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window,
				   sizeof(window));
		return fd;
	}
	/* Reads what is due, or vanishes. */
	void act()
	{
		int64_t age = now_ms() - begun;
		std::vector<char> bytes(manner.piece);
		ssize_t n;

		if (has_vanished || has_ended)
			return;
		if (age >= manner.vanishes) {
			vanish();
			return;
		}
		if (age < manner.from || now_ms() < next)
			return;
		n = recv(fd, bytes.data(), bytes.size(), 0);
		next = now_ms() + manner.pause;
		if (n > 0)
			got.append(bytes.data(), (size_t)n);
		else if (!n || errno != EAGAIN)
			has_ended = true;
	}
	int64_t silent_ms() const
	{
		return has_vanished ? now_ms() - vanished : 0;
	}

	int fd;
	std::string got;
	bool has_ended = false;

      private:
	void vanish()
	{
		sock_filter drop = { BPF_RET | BPF_K, 0, 0, 0 };
		sock_fprog program = { 1, &drop };

		ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
				     sizeof(program)),
			  0);
		has_vanished = true;
		vanished = now_ms();
	}

	Manner manner;
	int64_t begun = now_ms();
	int64_t next = 0;
	int64_t vanished = 0;
	bool has_vanished = false;
};

class Loop : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		log_set_level(LOG_WARNING);
		base = event_base_new();
		clock = clk_new_real();
		port = proc_free_port();
		address = "127.0.0.1:" + std::to_string(port);
		in.sin_family = AF_INET;
		in.sin_port = htons(port);
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	}
	void TearDown() override
	{
		peers.clear();
		event_base_free(base);
		clk_free(clock);
	}
	/* Runs the loop and the peers until done() or for limit_ms; returns
	 * the time. */
	int64_t run(int limit_ms, const std::function<bool()> &done)
	{
		int64_t start = now_ms();

		while (now_ms() - start < limit_ms && !done()) {
			event_base_loop(base, EVLOOP_NONBLOCK);
			for (auto &p : peers)
				p->act();
			usleep(1000);
		}
		return now_ms() - start;
	}

	event_base *base;
	clk *clock;
	uint16_t port;
	std::string address;
	sockaddr_in in = {};
	std::vector<std::unique_ptr<Peer>> peers;
};

/* A server that answers GET /N with N bytes, and GET /drip with a chunk each
 * 100 ms without end. The query is the deadline in milliseconds. */
class PeerServer : public Loop
{
      protected:
	virtual int64_t idle_us() const
	{
		return 60000000;
	}
	void SetUp() override
	{
		GError *err = nullptr;

		Loop::SetUp();
		drip = event_new(base, -1, EV_PERSIST, on_drip, this);
		options.base = base;
		options.listen = address.c_str();
		options.limits = { 4096, 4096, 5000000, idle_us() };
		options.clock = clock;
		options.data = this;
		options.request = on_request;
		options.disconnected = [](void *data, hio_exchange *) {
			((PeerServer *)data)->dripping = nullptr;
		};
		options.closed = [](void *data, const char *reason) {
			((PeerServer *)data)->reasons.push_back(reason);
		};
		server = hio_server_new(&options, &err);
		ASSERT_NE(server, nullptr) << err->message;
	}
	void TearDown() override
	{
		hio_server_free(server);
		event_free(drip);
		Loop::TearDown();
	}
	static bool send_request(int fd, const std::string &path,
				 const std::string &fields = "")
	{
		std::string text = "GET /" + path + " HTTP/1.1\r\nHost: h\r\n" +
				   fields + "\r\n";

		return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		       (ssize_t)text.size();
	}
	Peer &ask(const std::string &path, const Manner &manner,
		  const std::string &fields = "")
	{
		int fd = Peer::open(manner.window);

		EXPECT_EQ(connect(fd, (sockaddr *)&in, sizeof(in)), 0);
		EXPECT_TRUE(send_request(fd, path, fields));
		peers.push_back(std::make_unique<Peer>(fd, manner));
		return *peers.back();
	}
	static size_t body_of(const Peer &p)
	{
		size_t end = p.got.find("\r\n\r\n");

		return end == std::string::npos ? 0 : p.got.size() - end - 4;
	}
	void expect_found_gone(Peer &p)
	{
		run(1000, [&] { return hio_server_connections(server) > 0; });
		run(20000, [&] { return !hio_server_connections(server); });
		EXPECT_EQ(hio_server_connections(server), 0u);
		EXPECT_LE(p.silent_ms(), FOUND_MS);
		EXPECT_EQ(reasons, std::vector<std::string>{ "gone" });
	}

	hio_server_options options = {};
	hio_server *server = nullptr;
	std::vector<std::string> reasons;

      private:
	static void on_request(void *data, hio_exchange *ex)
	{
		PeerServer *self = (PeerServer *)data;
		std::string path = hio_exchange_request(ex)->target;
		size_t query = path.find('?');
		timeval interval = { 0, 100000 };

		if (query != std::string::npos)
			hio_exchange_set_deadline(
				ex, clk_now_us(self->clock) +
					    1000 * std::stol(path.substr(query +
									 1)));
		if (path != "/drip") {
			std::string body(std::stoul(path.substr(1)), 'b');

			hio_reply(ex, 200, nullptr, 0, body.data(),
				  body.size());
			return;
		}
		hio_reply_begin(ex, 200, nullptr, 0);
		self->dripping = ex;
		event_add(self->drip, &interval);
	}
	static void on_drip(evutil_socket_t, short, void *data)
	{
		PeerServer *self = (PeerServer *)data;

		if (self->dripping)
			hio_reply_chunk(self->dripping, "drop", 4);
	}

	event *drip = nullptr;
	hio_exchange *dripping = nullptr;
};

/* A server whose idle limit is shorter than its readers take. */
class ImpatientServer : public PeerServer
{
      protected:
	int64_t idle_us() const override
	{
		return 2000000;
	}
};

/* A server with room for two connections. */
class CrowdedServer : public PeerServer
{
      protected:
	void SetUp() override
	{
		options.conns_max = 2;
		PeerServer::SetUp();
	}
};

/* A client whose endpoint is a peer. */
class PeerClient : public Loop
{
      protected:
	void SetUp() override
	{
		int window = SMALL_WINDOW;

		Loop::SetUp();
		listener = Peer::open(window);
		ASSERT_EQ(bind(listener, (sockaddr *)&in, sizeof(in)), 0);
		ASSERT_EQ(listen(listener, 16), 0);
		client = hio_client_new(base, clock);
	}
	void TearDown() override
	{
		hio_client_free(client);
		close(listener);
		Loop::TearDown();
	}
	/* Sends a request with a body of this length. */
	Peer &call(size_t body_len, const Manner &manner)
	{
		hio_call_options o = {};
		GByteArray *body = g_byte_array_new();

		g_byte_array_set_size(body, (guint)body_len);
		o.address = address.c_str();
		o.head = g_string_new(NULL);
		g_string_printf(o.head,
				"POST / HTTP/1.1\r\nHost: h\r\n"
				"Content-Length: %zu\r\n\r\n",
				body_len);
		total = o.head->len + body_len;
		o.body = body;
		o.data = this;
		o.head_read = [](void *, const hio_answer *) {};
		o.body_read = [](void *, const char *, size_t) {};
		o.end = [](void *data) { ((PeerClient *)data)->ended = true; };
		o.failed = [](void *data, hio_failure failure) {
			((PeerClient *)data)->failed = true;
			((PeerClient *)data)->failure = failure;
		};
		hio_call_start(client, &o);
		g_byte_array_unref(body);
		peers.push_back(std::make_unique<Peer>(
			accept(listener, nullptr, nullptr), manner));
		return *peers.back();
	}
	/* Answers when the whole request was read. */
	void answer(const Peer &p)
	{
		const std::string text =
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

		EXPECT_EQ(p.got.size(), total);
		EXPECT_EQ(send(p.fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
		run(1000, [&] { return ended || failed; });
	}
	void expect_found_gone(Peer &p)
	{
		run(20000, [&] { return failed; });
		EXPECT_TRUE(failed);
		EXPECT_EQ(failure, HIO_BROKEN);
		EXPECT_LE(p.silent_ms(), FOUND_MS);
	}

	int listener = -1;
	hio_client *client = nullptr;
	size_t total = 0;
	bool ended = false;
	bool failed = false;
	hio_failure failure = HIO_NOT_CONNECTED;
};

/* Peers of the module alone, on a pair of connected sockets. */
class PeerPair : public Loop
{
      protected:
	struct Watched {
		hio_peer peer; /* first, for changed() */
		bool gone = false;
	};

	void SetUp() override
	{
		int listener = Peer::open(0);

		Loop::SetUp();
		ASSERT_EQ(bind(listener, (sockaddr *)&in, sizeof(in)), 0);
		ASSERT_EQ(listen(listener, 1), 0);
		far = Peer::open(SMALL_WINDOW);
		ASSERT_EQ(connect(far, (sockaddr *)&in, sizeof(in)), 0);
		near = accept(listener, nullptr, nullptr);
		fcntl(near, F_SETFL, O_NONBLOCK);
		close(listener);
		set = hio_peers_new(base, "test");
		hio_peer_begin(&watched.peer, set, near,
			       [](hio_peer *peer, hio_peer_change change) {
				       ((Watched *)peer)->gone |=
					       change == HIO_PEER_GONE;
			       });
	}
	void TearDown() override
	{
		hio_peer_end(&watched.peer);
		hio_peers_free(set);
		close(near);
		Loop::TearDown();
	}
	/* Writes without end. Returns false once the connection is broken. */
	bool write()
	{
		char bytes[512] = "";
		ssize_t n = send(near, bytes, sizeof(bytes), MSG_NOSIGNAL);

		if (n > 0)
			hio_peer_wrote(&watched.peer);
		return n > 0 || errno == EAGAIN;
	}

	int near = -1, far = -1;
	hio_peers *set = nullptr;
	Watched watched;
};

hio_sending sending(bool is_pending, unsigned unanswered, int64_t silent_ms)
{
	hio_sending s = {};

	s.is_pending = is_pending;
	s.unanswered = unanswered;
	s.silent_us = silent_ms * 1000;
	return s;
}

} // namespace

/* Guards the decision: a peer is gone when several transmissions in a row and
 * the whole limit of silence went without an acknowledgement. */
TEST(PeerIsGone, NeedsUnansweredTransmissionsAndSilence)
{
	const struct {
		hio_sending state;
		int64_t waited_ms;
		bool gone;
	} cases[] = {
		{ sending(true, 3, 3000), 3000, true },
		{ sending(true, 2, 9000), 3500, true },
		/* A window that is closed for long, each probe answered. */
		{ sending(true, 0, 60000), 60000, false },
		/* The kernel answers two probes within 0.5 s by one. */
		{ sending(true, 1, 3100), 60000, false },
		/* Bytes after a long pause: the last answer is old. */
		{ sending(true, 3, 60000), 2500, false },
		/* Some packets are lost, others arrive. */
		{ sending(true, 4, 2900), 60000, false },
		{ sending(false, 0, 60000), 60000, false },
	};

	for (auto &c : cases)
		EXPECT_EQ(hio_peer_is_gone(&c.state, c.waited_ms * 1000),
			  c.gone)
			<< c.state.unanswered << " " << c.state.silent_us << " "
			<< c.waited_ms;
}

/* Guards against a reset of callers that read an answer slowly: a window that
 * stayed closed for 3 s ended the connection, whatever was read meanwhile. */
TEST_F(PeerServer, SlowReadersGetTheWholeAnswer)
{
	Peer &steady = ask("12000", { SMALL_WINDOW, 512, 400 });
	Peer &slower = ask("6000", { SMALL_WINDOW, 256, 400 });
	Peer &still = ask("30000", { SMALL_WINDOW, 65536, 0, 5000 });
	/* More than the sockets hold, so that the server's buffer waits. */
	Peer &large = ask("8000000", { 65536, 1 << 20, 0, 5000 });

	run(30000, [&] {
		return body_of(steady) == 12000 && body_of(slower) == 6000 &&
		       body_of(still) == 30000 && body_of(large) == 8000000;
	});
	EXPECT_EQ(body_of(steady), 12000u);
	EXPECT_EQ(body_of(slower), 6000u);
	EXPECT_EQ(body_of(still), 30000u);
	EXPECT_EQ(body_of(large), 8000000u);
	EXPECT_EQ(reasons, std::vector<std::string>{});
}

/* Guards against taking a vanished caller for one that reads slowly. */
TEST_F(PeerServer, CallerThatVanishesBehindAClosedWindowIsFound)
{
	Peer &p = ask("300000", { SMALL_WINDOW, 256, 400, 0, 6000 });

	expect_found_gone(p);
}

TEST_F(PeerServer, CallerThatVanishesAfterReadingNothingIsFound)
{
	Peer &p = ask("300000", { SMALL_WINDOW, 256, 400, NEVER_MS, 4000 });

	expect_found_gone(p);
}

TEST_F(PeerServer, CallerThatVanishesFromAStreamIsFound)
{
	Peer &p = ask("drip", { WIDE_WINDOW, 65536, 0, 0, 1000 });

	expect_found_gone(p);
}

/* Guards against closing a caller within its deadline because its window opens
 * in longer steps than the idle limit: what the sockets did not hold was lost.
 */
TEST_F(ImpatientServer, SlowReaderHasUntilItsDeadline)
{
	const Manner manner = { 65536, 1 << 20, 0, 6000 };
	Peer &kept = ask("8000000?12000", manner);
	Peer &last = ask("8000000?12000", manner, "Connection: close\r\n");

	run(12000, [&] {
		return body_of(kept) == 8000000 && body_of(last) == 8000000;
	});
	EXPECT_EQ(body_of(kept), 8000000u);
	EXPECT_EQ(body_of(last), 8000000u);
	EXPECT_EQ(reasons, std::vector<std::string>{});
}

/* Guards against readers that keep a connection and its answer for good. */
TEST_F(ImpatientServer, ReaderOfNothingIsClosedAfterItsDeadline)
{
	int64_t took_ms;

	ask("8000000?5000", { 65536, 1, 0, NEVER_MS });
	ask("100000?5000", { SMALL_WINDOW, 1, 0, NEVER_MS });
	ask("8000000", { 65536, 1, 0, NEVER_MS });
	run(1000, [&] { return hio_server_connections(server) == 3; });
	took_ms =
		run(20000, [&] { return hio_server_connections(server) == 2; });
	EXPECT_LE(took_ms, 2000 + 1000);
	took_ms += run(20000, [&] { return !hio_server_connections(server); });
	EXPECT_GE(took_ms, 5000 - 1000);
	EXPECT_LE(took_ms, 5000 + 1000);
	EXPECT_EQ(reasons, std::vector<std::string>(3, "unread"));
}

/* Guards against closing a kept connection as idle while its answer, which the
 * sockets hold, is being read, and soon after. */
TEST_F(ImpatientServer, KeptConnectionIsIdleFromTheLastByteReadOn)
{
	Peer &p = ask("12000?15000", { SMALL_WINDOW, 512, 400 });
	size_t first;

	run(15000, [&] { return body_of(p) == 12000; });
	run(1500, [&] { return p.has_ended; });
	ASSERT_FALSE(p.has_ended);
	first = p.got.size();
	ASSERT_TRUE(send_request(p.fd, "10?5000"));
	run(1500, [&] { return p.got.size() >= first + 10; });
	EXPECT_GT(p.got.size(), first + 10);
	EXPECT_FALSE(p.has_ended);
}

/* Guards against a crowd of callers: a full listener closes a connection
 * between two requests before one whose answer is being read. */
TEST_F(CrowdedServer, ClosesReadersLast)
{
	ask("100000?60000", { SMALL_WINDOW, 128, 400 },
	    "Connection: close\r\n");
	Peer &idle = ask("10", { WIDE_WINDOW, 65536, 0 });

	run(5000, [] { return false; });
	Peer &third = ask("10", { WIDE_WINDOW, 65536, 0 });
	run(1000, [&] { return idle.has_ended && body_of(third) == 10; });
	EXPECT_TRUE(idle.has_ended);
	EXPECT_EQ(body_of(third), 10u);
}

/* Guards against a broken call to an endpoint that takes its time to read a
 * request's body. */
TEST_F(PeerClient, SlowEndpointGetsTheWholeRequest)
{
	Peer &p = call(16000, { SMALL_WINDOW, 512, 300 });

	run(30000, [&] { return failed || p.got.size() == total; });
	answer(p);
	EXPECT_TRUE(ended);
}

TEST_F(PeerClient, EndpointThatStoodStillGetsTheWholeRequest)
{
	Peer &p = call(4000000, { SMALL_WINDOW, 1 << 20, 0, 5000 });

	run(30000, [&] { return failed || p.got.size() == total; });
	answer(p);
	EXPECT_TRUE(ended);
}

TEST_F(PeerClient, EndpointThatVanishesBehindAClosedWindowIsFound)
{
	Peer &p = call(4000000, { SMALL_WINDOW, 256, 400, 0, 5000 });

	expect_found_gone(p);
}

TEST_F(PeerClient, EndpointThatVanishesBeforeTheRequestIsFound)
{
	Peer &p = call(1000, { SMALL_WINDOW, 256, 400, 0, 0 });

	/* The request is written when the loop first runs. */
	p.act();
	expect_found_gone(p);
}

/* Guards the bound where the kernel does not limit the interval of probes. */
TEST_F(PeerPair, SlowReaderAndVanishedOneAreToldApartByALease)
{
	Peer *p;

	watched.peer.has_lease = true;
	peers.push_back(std::make_unique<Peer>(
		far, Manner{ SMALL_WINDOW, 128, 400, 0, 12000 }));
	p = peers.back().get();
	run(12000, [&] { return !write(); });
	EXPECT_FALSE(watched.gone);
	EXPECT_TRUE(write());
	run(30000, [&] { return watched.gone || !write(); });
	EXPECT_TRUE(watched.gone || !write());
	EXPECT_GE(p->silent_ms(), 1000);
	/* The lease, and a probe that comes late in it. */
	EXPECT_LE(p->silent_ms(), 2 * 5000 + 500);
}
