#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "http/hio.h"
#include "lib_proc.h"
}

/*
 * Fuzzes the HTTP server and client: seeded mutations of whole requests and
 * answers, sent in pieces over loopback. A failure prints the round; the bytes
 * of a round depend only on the seed.
 *
 * Alone: [HTTP_FUZZ_SEED=N] build/unit/http_fuzz_test [--gtest_filter=...].
 */
namespace
{

constexpr int ROUNDS = 1500;
constexpr uint32_t BODY_MAX = 4096;

const char *const FRAGMENTS[] = {
	"Content-Length: 5\r\n",
	"Content-Length: 0\r\n",
	"Content-Length: 99999999999999999999\r\n",
	"Content-Length: -1\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Transfer-Encoding: identity, chunked\r\n",
	"\r\n",
	"\r\n\r\n",
	"\n",
	"0\r\n\r\n",
	"ffffffffffffffff\r\n",
	"5\r\nhello\r\n",
	" HTTP/1.1\r\n",
	"HTTP/1.1 200 OK\r\n",
	"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	": ",
	"X-Attempt-Id: other\r\n",
};

/* Seed of a test: its own, or HTTP_FUZZ_SEED where that is set. */
unsigned seed_or(unsigned seed)
{
	const char *text = getenv("HTTP_FUZZ_SEED");

	return text ? (unsigned)strtoul(text, nullptr, 10) : seed;
}

/* Draws are statements of their own: the order of evaluation within an argument
 * list differs between compilers. */
class Mutator
{
      public:
	explicit Mutator(unsigned seed) : random(seed)
	{
	}
	size_t below(size_t n)
	{
		return random() % n;
	}
	std::string mutate(std::string text)
	{
		for (size_t n = 1 + below(3); n; n--) {
			size_t at = below(text.size() + 1);

			switch (below(5)) {
			case 0:
				text.insert(
					at,
					FRAGMENTS[below(std::size(FRAGMENTS))]);
				break;
			case 1:
				text.erase(at, 1 + below(8));
				break;
			case 2:
				text.insert(at, 1, (char)below(256));
				break;
			case 3:
				if (at < text.size())
					text[at] = (char)below(256);
				break;
			case 4: {
				size_t from = below(text.size() + 1);
				size_t len = 1 + below(40);

				text.insert(at, text.substr(from, len));
				break;
			}
			}
		}
		return text;
	}

      private:
	std::mt19937 random;
};

sockaddr_in address_of(uint16_t port)
{
	sockaddr_in in = {};

	in.sin_family = AF_INET;
	in.sin_port = htons(port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return in;
}

/* Draws all pieces first: how many are sent depends on the peer. */
void send_in_pieces(int fd, const std::string &text, Mutator &m)
{
	std::vector<std::string> pieces;

	for (size_t done = 0; done < text.size(); done += pieces.back().size())
		pieces.push_back(text.substr(done, 1 + m.below(64)));
	for (const std::string &piece : pieces)
		if (send(fd, piece.data(), piece.size(), MSG_NOSIGNAL) !=
		    (ssize_t)piece.size())
			return;
}

std::string read_all(int fd)
{
	std::string all;
	char bytes[4096];
	pollfd p = { fd, POLLIN, 0 };
	ssize_t n;

	while (poll(&p, 1, 5000) > 0 &&
	       (n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		all.append(bytes, (size_t)n);
	return all;
}

/* Runs peer in a thread of its own, and the event loop until it returns. */
void run_with_peer(event_base *base, const std::function<void()> &peer)
{
	std::atomic<bool> done{ false };
	std::thread thread([&] {
		peer();
		done = true;
	});

	while (!done) {
		timeval wait = { 0, 5000 };

		event_base_loopexit(base, &wait);
		event_base_dispatch(base);
	}
	thread.join();
}

size_t count(const std::string &text, const std::string &what)
{
	size_t n = 0;

	for (size_t at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + 1))
		n++;
	return n;
}

} // namespace

/* Each request that the server accepts has one framing, no separators or line
 * ends in field names and no line ends in values. Each answer belongs to an
 * accepted request or is an error that closes the connection. */
TEST(HttpFuzz, ServerAcceptsOnlyWholeRequestsWithOneFraming)
{
	struct Seen {
		std::atomic<size_t> requests{ 0 };
		std::string fault;
	} seen;
	event_base *base = event_base_new();
	uint16_t port = proc_free_port();
	std::string listen = "127.0.0.1:" + std::to_string(port);
	hio_server_options options = {};
	GError *err = nullptr;

	options.base = base;
	options.listen = listen.c_str();
	options.limits = { 2048, BODY_MAX, 2000000, 2000000 };
	options.data = &seen;
	options.request = [](void *data, hio_exchange *ex) {
		Seen *s = (Seen *)data;
		const hio_request *r = hio_exchange_request(ex);

		s->requests++;
		if (hio_field(&r->fields, "Content-Length") &&
		    hio_field(&r->fields, "Transfer-Encoding"))
			s->fault = "two framings";
		if (r->body->len > BODY_MAX)
			s->fault = "body above the limit";
		for (const char *c = r->target; *c; c++)
			if ((unsigned char)*c <= ' ' || *c == 127)
				s->fault = "control byte in the target";
		for (size_t i = 0; i < r->fields.n; i++)
			if (strpbrk(r->fields.all[i].name, " \r\n\t:") ||
			    strpbrk(r->fields.all[i].value, "\r\n"))
				s->fault = "field " +
					   std::string(r->fields.all[i].name);
		hio_reply(ex, 200, nullptr, 0, "ok", 2);
	};
	options.disconnected = [](void *, hio_exchange *) {};
	hio_server *server = hio_server_new(&options, &err);
	ASSERT_NE(server, nullptr) << err->message;
	const std::string whole[] = {
		"GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		"chunked\r\n\r\n"
		"5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: "
		"h\r\n"
		"Connection: close\r\n\r\n",
	};
	run_with_peer(base, [&] {
		Mutator m(seed_or(20261204));

		for (int round = 0; round < ROUNDS; round++) {
			int fd = socket(AF_INET, SOCK_STREAM, 0);
			sockaddr_in in = address_of(port);
			size_t before = seen.requests;

			ASSERT_EQ(connect(fd, (sockaddr *)&in, sizeof(in)), 0);
			std::string text = whole[m.below(4)];
			send_in_pieces(fd, m.mutate(text), m);
			shutdown(fd, SHUT_WR);
			std::string answers = read_all(fd);
			size_t n = count(answers, "HTTP/1.1 ");
			size_t ok = count(answers, "HTTP/1.1 200");
			close(fd);
			EXPECT_LE(ok, seen.requests - before) << round;
			EXPECT_LE(n, ok + 1) << round << "\n" << answers;
			EXPECT_TRUE(answers.empty() ||
				    answers.rfind("HTTP/1.1 ", 0) == 0)
				<< round << "\n"
				<< answers;
		}
	});
	EXPECT_EQ(seen.fault, "");
	EXPECT_GT(seen.requests, (size_t)ROUNDS / 10);
	hio_server_free(server);
	event_base_free(base);
}

namespace
{

struct Call {
	int heads = 0, ends = 0, failures = 0;
	std::string body;
};

void on_head(void *data, const hio_answer *)
{
	((Call *)data)->heads++;
}

void on_body(void *data, const char *bytes, size_t len)
{
	((Call *)data)->body.append(bytes, len);
}

void on_end(void *data)
{
	((Call *)data)->ends++;
}

void on_failed(void *data, hio_failure)
{
	((Call *)data)->failures++;
}

/* A server that sends a given answer to each connection, and a client. */
class AnswerServer
{
      public:
	AnswerServer() : clock(clk_new_real()), base(event_base_new())
	{
		int one = 1;

		port = proc_free_port();
		address = "127.0.0.1:" + std::to_string(port);
		sockaddr_in in = address_of(port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		EXPECT_EQ(bind(fd, (sockaddr *)&in, sizeof(in)), 0);
		EXPECT_EQ(listen(fd, 16), 0);
		client = hio_client_new(base, clock);
	}
	~AnswerServer()
	{
		hio_client_free(client);
		event_base_free(base);
		clk_free(clock);
		close(fd);
	}
	Call ask(const std::string &answer, Mutator &m)
	{
		Call call;
		hio_call_options options = {};

		options.address = address.c_str();
		options.head =
			g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		options.echo_name = "X-Attempt-Id";
		options.echo_value = "1";
		options.connect_timeout_us = 5000000;
		options.data = &call;
		options.head_read = on_head;
		options.body_read = on_body;
		options.end = on_end;
		options.failed = on_failed;
		hio_call *started = hio_call_start(client, &options);
		run_with_peer(base, [&] {
			char bytes[1024];
			int peer = accept(fd, nullptr, nullptr);

			EXPECT_GT(recv(peer, bytes, sizeof(bytes), 0), 0);
			send_in_pieces(peer, answer, m);
			shutdown(peer, SHUT_WR);
			read_all(peer);
			close(peer);
		});
		for (int i = 0; i < 400 && !call.ends && !call.failures; i++)
			run_with_peer(base, [] { usleep(5000); });
		if (!call.ends && !call.failures)
			hio_call_cancel(started);
		return call;
	}

      private:
	uint16_t port;
	std::string address;
	int fd;
	clk *clock;
	event_base *base;
	hio_client *client;
};

const std::string LENGTH = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-"
			   "Length: 12\r\n\r\nhello, world";
const std::string CHUNKS =
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n"
	"\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n";

} // namespace

/* A truncated answer is reported as a failure, wherever it ends. */
TEST(HttpFuzz, TruncatedAnswersFail)
{
	AnswerServer server;
	Mutator m(seed_or(7));

	for (const std::string &whole : { LENGTH, CHUNKS }) {
		for (size_t len = 0; len < whole.size(); len++) {
			Call call = server.ask(whole.substr(0, len), m);

			EXPECT_EQ(call.ends, 0) << len << " of\n" << whole;
			EXPECT_EQ(call.failures, 1) << len << " of\n" << whole;
		}
		Call call = server.ask(whole, m);
		EXPECT_EQ(call.ends, 1);
		EXPECT_EQ(call.body, "hello, world");
	}
}

/* With any damage, a call ends or fails exactly once, and one that ends has had
 * a head. */
TEST(HttpFuzz, DamagedAnswersEndOnce)
{
	AnswerServer server;
	Mutator m(seed_or(11));

	for (int round = 0; round < ROUNDS / 3; round++) {
		const std::string &whole = round % 2 ? LENGTH : CHUNKS;
		Call call = server.ask(m.mutate(whole), m);

		EXPECT_EQ(call.ends + call.failures, 1) << round;
		EXPECT_LE(call.ends, call.heads) << round;
		EXPECT_LE(call.heads, 1) << round;
	}
}
