#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "base/log.h"
#include "http/hio.h"
#include "lib_proc.h"
}

/*
 * The HTTP server and client on loopback: which bytes they accept in a
 * message's head. Each message is sent whole and byte by byte.
 *
 * Alone: build/unit/hio_test [--gtest_filter=...].
 */
namespace
{

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr int TURNS_MAX = 2000;
constexpr useconds_t TURN_US = 500;
const char *const TOKEN_MARKS = "!#$%&'*+-.^_`|~";
const char *const TARGET_MARKS = "-._~:/?[]@!$&'()*+,;=%";

bool is_alphanumeric(int c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z');
}

/* RFC 9110, section 5.6.2. */
bool is_token_byte(int c)
{
	return is_alphanumeric(c) || (c && strchr(TOKEN_MARKS, c));
}

/* RFC 9112, section 3.2, without the fragment of RFC 3986. */
bool is_target_byte(int c)
{
	return is_alphanumeric(c) || (c && strchr(TARGET_MARKS, c));
}

/* RFC 9110, section 5.5; line ends are cases of their own. */
bool is_value_byte(int c)
{
	return c == '\t' || (c >= ' ' && c != 127);
}

sockaddr_in loopback(uint16_t port)
{
	sockaddr_in in = {};

	in.sin_family = AF_INET;
	in.sin_port = htons(port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return in;
}

Fields fields_of(const hio_fields &fields)
{
	Fields out;

	for (size_t i = 0; i < fields.n; i++)
		out.emplace_back(fields.all[i].name, fields.all[i].value);
	return out;
}

void send_byte_by_byte(int fd, const std::string &text, event_base *base)
{
	for (char c : text) {
		if (send(fd, &c, 1, MSG_NOSIGNAL) != 1)
			return;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
}

/* An HTTP server that answers each request with 200. */
class Server : public ::testing::Test
{
      protected:
	virtual void tune(hio_server_options *)
	{
	}
	struct Request {
		std::string method;
		std::string target;
		Fields fields;
	};
	struct Outcome {
		std::vector<Request> requests;
		std::vector<std::pair<int, std::string>> refusals;
		std::string answer;
		bool closed = false;
	};

	void SetUp() override
	{
		hio_server_options options = {};
		GError *err = nullptr;

		log_set_level(LOG_WARNING);
		port = proc_free_port();
		listen = "127.0.0.1:" + std::to_string(port);
		base = event_base_new();
		options.base = base;
		options.listen = listen.c_str();
		options.limits = { 4096, 4096, 5000000, 5000000 };
		options.data = this;
		options.request = on_request;
		options.disconnected = [](void *, hio_exchange *) {};
		options.refused = on_refused;
		tune(&options);
		server = hio_server_new(&options, &err);
		ASSERT_NE(server, nullptr) << err->message;
	}
	void TearDown() override
	{
		hio_server_free(server);
		event_base_free(base);
	}
	/* Sends bytes on a new connection, and reads until the server has
	 * answered them or closed. */
	Outcome send_bytes(const std::string &bytes, bool in_pieces)
	{
		sockaddr_in in = loopback(port);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int on = 1;

		seen = Outcome();
		EXPECT_EQ(connect(fd, (sockaddr *)&in, sizeof(in)), 0);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (in_pieces)
			send_byte_by_byte(fd, bytes, base);
		else
			EXPECT_EQ(send(fd, bytes.data(), bytes.size(),
				       MSG_NOSIGNAL),
				  (ssize_t)bytes.size());
		fcntl(fd, F_SETFL, O_NONBLOCK);
		for (int i = 0; i < TURNS_MAX && !seen.closed; i++) {
			char buffer[4096];
			ssize_t n;

			event_base_loop(base, EVLOOP_NONBLOCK);
			n = recv(fd, buffer, sizeof(buffer), 0);
			if (n > 0)
				seen.answer.append(buffer, (size_t)n);
			else if (!n || errno != EAGAIN)
				seen.closed = true;
			if (n < 0 &&
			    seen.answer.find("200 OK") != std::string::npos)
				break;
			if (n < 0)
				usleep(TURN_US);
		}
		close(fd);
		event_base_loop(base, EVLOOP_NONBLOCK);
		return seen;
	}
	void expect_refused(const std::string &bytes, const std::string &what,
			    const std::string &reason)
	{
		for (bool in_pieces : { false, true }) {
			Outcome got = send_bytes(bytes, in_pieces);

			SCOPED_TRACE(what + (in_pieces ? " in pieces" : ""));
			EXPECT_TRUE(got.requests.empty());
			EXPECT_EQ(got.answer.rfind("HTTP/1.1 400 ", 0), 0u)
				<< got.answer;
			EXPECT_TRUE(got.closed);
			ASSERT_EQ(got.refusals.size(), 1u);
			EXPECT_EQ(got.refusals[0].first, 400);
			EXPECT_TRUE(reason.empty() ||
				    got.refusals[0].second == reason)
				<< got.refusals[0].second;
		}
	}
	Request expect_accepted(const std::string &bytes,
				const std::string &what, bool in_pieces)
	{
		Outcome got = send_bytes(bytes, in_pieces);

		SCOPED_TRACE(what + (in_pieces ? " in pieces" : ""));
		EXPECT_EQ(got.requests.size(), 1u) << got.answer;
		EXPECT_TRUE(got.refusals.empty());
		return got.requests.empty() ? Request() : got.requests[0];
	}

      private:
	static void on_request(void *data, hio_exchange *ex)
	{
		const hio_request *r = hio_exchange_request(ex);

		((Server *)data)
			->seen.requests.push_back(
				{ r->method, r->target, fields_of(r->fields) });
		if (!strcmp(r->target, "/big"))
			reply_big(ex);
		else
			hio_reply(ex, 200, nullptr, 0, "", 0);
	}
	/* Answers with more chunks than may be buffered for a client, of which
	 * the last ones are dropped. */
	static void reply_big(hio_exchange *ex)
	{
		std::string chunk(100 << 10, 'c');

		hio_reply_begin(ex, 200, nullptr, 0);
		for (int i = 0; i < 100; i++)
			hio_reply_chunk(ex, chunk.data(), chunk.size());
		hio_reply_end(ex);
	}
	static void on_refused(void *data, int status, const char *reason)
	{
		((Server *)data)->seen.refusals.emplace_back(status, reason);
	}

	std::string listen;
	Outcome seen;

      protected:
	uint16_t port;
	event_base *base;
	hio_server *server;
};

using HttpServer = Server;

/* A server for few connections, on a manual clock. */
class FullServer : public Server
{
      protected:
	static constexpr int CONNS = 4;
	clk *clock = clk_new_manual(1000000, 0);
	std::vector<int> fds;

	void tune(hio_server_options *options) override
	{
		options->clock = clock;
		options->conns_max = CONNS;
	}
	void TearDown() override
	{
		for (int fd : fds)
			close(fd);
		Server::TearDown();
		clk_free(clock);
	}
	void open_all(const std::string &bytes)
	{
		for (int i = 0; i < CONNS; i++) {
			sockaddr_in in = loopback(port);

			fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
			ASSERT_EQ(connect(fds[i], (sockaddr *)&in, sizeof(in)),
				  0);
			ASSERT_EQ(send(fds[i], bytes.data(), bytes.size(), 0),
				  (ssize_t)bytes.size());
			for (int k = 0; k < 20; k++) {
				event_base_loop(base, EVLOOP_NONBLOCK);
				usleep(TURN_US);
			}
		}
		ASSERT_EQ(hio_server_connections(server), (size_t)CONNS);
	}
	bool is_open(int fd)
	{
		char byte;

		return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
		       errno == EAGAIN;
	}
};

} // namespace

/* Guards against connections that stopped halfway and keep out all others: the
 * one that stopped first is closed. */
TEST_F(FullServer, StoppedConnectionMakesRoom)
{
	open_all("GET / HTTP/1.1\r\nHost: h");
	clk_advance(clock, 300000);
	EXPECT_EQ(send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false)
			  .requests.size(),
		  1u);
	EXPECT_FALSE(is_open(fds[0]));
	for (int i = 1; i < CONNS; i++)
		EXPECT_TRUE(is_open(fds[i])) << i;
}

/* Guards against a client that is closed for others while it sends. */
TEST_F(FullServer, ConnectionsWithProgressStay)
{
	open_all("GET / HTTP/1.1\r\nHost: h");
	clk_advance(clock, 100000);
	EXPECT_TRUE(send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false)
			    .requests.empty());
	for (int fd : fds)
		EXPECT_TRUE(is_open(fd));
}

/* Guards against a limit of fields that a header within its size reaches, and
 * against headers with more. */
TEST_F(HttpServer, FieldsAreLimitedByTheSizeOfTheHeader)
{
	std::string head = "GET / HTTP/1.1\r\n", more;

	for (int i = 0; i < 4096 / 4; i++)
		head += "a:\r\n";
	for (int i = 0; i < 200; i++)
		more += "a:\r\n";
	expect_accepted(head + "\r\n", "1024 fields", false);
	Outcome got = send_bytes(head + more + "\r\n", false);
	ASSERT_EQ(got.refusals.size(), 1u);
	EXPECT_EQ(got.refusals[0].second, "fields");
}

TEST_F(HttpServer, TargetHasOnlyTheBytesOfTheStandard)
{
	for (int c = 0; c < 256; c++) {
		std::string target = std::string("/a") + (char)c + "b?c=d";
		std::string bytes = "GET " + target +
				    " HTTP/1.1\r\nHost: h\r\n"
				    "\r\n";
		std::string what = "byte " + std::to_string(c);

		if (!is_target_byte(c)) {
			expect_refused(bytes, what, "");
			continue;
		}
		for (bool in_pieces : { false, true })
			EXPECT_EQ(
				expect_accepted(bytes, what, in_pieces).target,
				target)
				<< what;
	}
}

TEST_F(HttpServer, RefusedTargetIsNamedInTheReason)
{
	for (int c : { 0x09, 0x0c, 0x22, 0x23, 0x80, 0xff })
		expect_refused(std::string("GET /a") + (char)c +
				       "b HTTP/1.1\r\nHost: h\r\n\r\n",
			       "byte " + std::to_string(c), "target_byte");
}

TEST_F(HttpServer, FieldNamesAreTokens)
{
	for (int c = 0; c < 256; c++) {
		std::string name = std::string("X-A") + (char)c + "b";
		std::string bytes =
			"GET / HTTP/1.1\r\n" + name + ": v\r\nHost: h\r\n\r\n";
		std::string what = "byte " + std::to_string(c);

		if (c == ':')
			continue; /* ends the name */
		if (!is_token_byte(c)) {
			expect_refused(bytes, what, "");
			continue;
		}
		for (bool in_pieces : { false, true }) {
			Request r = expect_accepted(bytes, what, in_pieces);

			ASSERT_EQ(r.fields.size(), 2u) << what;
			EXPECT_EQ(r.fields[0].first, name);
		}
	}
}

/* The parser has states of their own for the first byte of a value and for some
 * names. */
TEST_F(HttpServer, FieldValuesHaveNoControlBytes)
{
	const char *const names[] = { "X-Other",	   "Connection",
				      "Content-Length",	   "Upgrade",
				      "Transfer-Encoding", "Proxy-Connection" };

	for (int c = 0; c < 256; c++) {
		std::string byte(1, (char)c);

		if (is_value_byte(c) || c == '\r' || c == '\n')
			continue;
		for (const char *name : names)
			for (const std::string &value :
			     { byte, byte + "a", "a" + byte + "b", "a" + byte })
				expect_refused(std::string("GET / HTTP/1.1\r\n"
							   "Host: h\r\n") +
						       name + ": " + value +
						       "\r\n\r\n",
					       std::string(name) + " byte " +
						       std::to_string(c),
					       "");
	}
}

TEST_F(HttpServer, OtherBytesOfFieldValuesAreKept)
{
	for (int c = 0; c < 256; c++) {
		std::string value = std::string("a") + (char)c + "b";

		if (!is_value_byte(c))
			continue;
		for (bool in_pieces : { false, true }) {
			Request r = expect_accepted(
				"GET / HTTP/1.1\r\nX-A: " + value + "\r\n\r\n",
				"byte " + std::to_string(c), in_pieces);

			ASSERT_EQ(r.fields.size(), 1u);
			EXPECT_EQ(r.fields[0].second, value);
		}
	}
}

TEST_F(HttpServer, FoldedFieldsAreRefused)
{
	for (const char *fold : { "\r\n ", "\r\n\t", "\n ", "\r\n  \r\n " })
		for (const char *name :
		     { "X-A", "Transfer-Encoding", "Connection", "Host" })
			expect_refused(std::string("GET / HTTP/1.1\r\n") +
					       name + ": chun" + fold +
					       "ked\r\n\r\n",
				       name, "");
}

TEST_F(HttpServer, TrailersHaveTheSameBytes)
{
	const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "2\r\nab\r\n0\r\n";

	for (const char *trailer :
	     { "X A: b\r\n", "X-A: \001b\r\n", "X-A: b\r\n c\r\n" })
		expect_refused(head + trailer + "\r\n", trailer, "");
}

/* Guards against fields behind a chunked body that reach the application, and
 * so an endpoint, as header fields. */
TEST_F(HttpServer, TrailersAreNoHeaderFields)
{
	const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "2\r\nab\r\n0\r\n";

	for (bool in_pieces : { false, true }) {
		Request r = expect_accepted(head + "X-A: 1\r\nX-B: 2\r\n"
						   "Host: other\r\n\r\n",
					    "trailers", in_pieces);

		EXPECT_EQ(r.fields,
			  (Fields{ { "Host", "h" },
				   { "Transfer-Encoding", "chunked" } }));
	}
	EXPECT_EQ(
		send_bytes(head + "X-A: " + std::string(5000, 'a') + "\r\n\r\n",
			   false)
			.refusals.at(0)
			.first,
		431);
}

/* An answer of which chunks were dropped must not look complete to a client
 * that reads at last. */
TEST_F(HttpServer, AnswerThatLacksChunksHasNoEnd)
{
	Outcome got = send_bytes("GET /big HTTP/1.1\r\nHost: h\r\n\r\n", false);
	const std::string end = "0\r\n\r\n";

	EXPECT_TRUE(got.closed);
	ASSERT_EQ(got.requests.size(), 1u);
	EXPECT_TRUE(got.answer.size() < end.size() ||
		    got.answer.compare(got.answer.size() - end.size(),
				       end.size(), end) != 0);
}

/* A parser that takes a bare CR for a line end and drops the byte after it
 * reads another message than the next hop. */
TEST_F(HttpServer, LineEndsHaveNoBareCarriageReturns)
{
	const std::string host = "Host: h\r\n";
	const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n";

	for (const std::string &bytes : {
		     "GET / HTTP/1.1\r" + host + "\r\n",
		     "GET / HTTP/1.1\rX" + host + "\r\n",
		     "GET / HTTP/1.1\r\n" + host + "X-A:\rXX-B: c\r\n\r\n",
		     "GET / HTTP/1.1\r\n" + host + "X-A: \r\r\n\r\n",
		     "GET / HTTP/1.1\r\n" + host + "X-A: b\rX\r\n\r\n",
		     "GET / HTTP/1.1\r\n" + host + "\rX",
		     "GET / HTTP/1.1\r\n" + host + "\r\r\n",
		     chunked + "2\rXab\r\n0\r\n\r\n",
		     chunked + "2\r\nab\rX0\r\n\r\n",
		     chunked + "2\r\nabXX0\r\n\r\n",
		     chunked + "2\r\nab\r\n0\rX\r\n",
		     chunked + "2\r\nab\r\n0\r\n\rX",
	     })
		expect_refused(bytes, bytes, "");
}

TEST_F(HttpServer, MethodsHaveNoOtherBytes)
{
	for (int c = 0; c < 256; c++) {
		std::string method = std::string("GE") + (char)c + "T";

		if (c != ' ')
			expect_refused(method + " / HTTP/1.1\r\nHost: h\r\n"
						"\r\n",
				       "byte " + std::to_string(c), "");
	}
}

namespace
{

/* A client, and the socket of an endpoint that sends it bytes. */
class Client : public ::testing::Test
{
      protected:
	struct Result {
		bool head = false;
		bool ended = false;
		bool failed = false;
		hio_failure failure = HIO_NOT_CONNECTED;
		Fields fields;
		std::string body;
	};

	void SetUp() override
	{
		sockaddr_in in;
		int on = 1;

		log_set_level(LOG_WARNING);
		port = proc_free_port();
		in = loopback(port);
		address = "127.0.0.1:" + std::to_string(port);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		ASSERT_EQ(bind(listener, (sockaddr *)&in, sizeof(in)), 0);
		ASSERT_EQ(::listen(listener, 16), 0);
		clock = clk_new_real();
		base = event_base_new();
		client = hio_client_new(base, clock);
	}
	void TearDown() override
	{
		hio_client_free(client);
		event_base_free(base);
		clk_free(clock);
		close(listener);
	}
	/* Calls the endpoint, which answers with these bytes and closes. */
	Result answer_with(const std::string &bytes, bool in_pieces)
	{
		hio_call_options options = {};
		Result result;
		hio_call *call;
		int on = 1;
		int fd;

		options.address = address.c_str();
		options.head =
			g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		options.data = &result;
		options.head_read = on_head;
		options.body_read = [](void *data, const char *b, size_t n) {
			((Result *)data)->body.append(b, n);
		};
		options.end = [](void *data) {
			((Result *)data)->ended = true;
		};
		options.failed = [](void *data, hio_failure failure) {
			((Result *)data)->failed = true;
			((Result *)data)->failure = failure;
		};
		call = hio_call_start(client, &options);
		fd = accept(listener, nullptr, nullptr);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		event_base_loop(base, EVLOOP_NONBLOCK);
		if (in_pieces)
			send_byte_by_byte(fd, bytes, base);
		else
			EXPECT_EQ(send(fd, bytes.data(), bytes.size(),
				       MSG_NOSIGNAL),
				  (ssize_t)bytes.size());
		shutdown(fd, SHUT_WR);
		for (int i = 0; i < TURNS_MAX; i++) {
			event_base_loop(base, EVLOOP_NONBLOCK);
			if (result.ended || result.failed)
				break;
			usleep(TURN_US);
		}
		close(fd);
		if (!result.ended && !result.failed)
			hio_call_cancel(call);
		return result;
	}
	void expect_malformed(const std::string &bytes, const std::string &what)
	{
		for (bool in_pieces : { false, true }) {
			Result got = answer_with(bytes, in_pieces);

			SCOPED_TRACE(what + (in_pieces ? " in pieces" : ""));
			EXPECT_FALSE(got.head);
			EXPECT_FALSE(got.ended);
			EXPECT_TRUE(got.failed);
			EXPECT_EQ(got.failure, HIO_MALFORMED);
		}
	}

      private:
	static void on_head(void *data, const hio_answer *answer)
	{
		Result *result = (Result *)data;

		result->head = true;
		result->fields = fields_of(answer->fields);
	}

	uint16_t port;
	std::string address;
	int listener;
	clk *clock;
	event_base *base;
	hio_client *client;
};

using HttpClient = Client;

} // namespace

TEST_F(HttpClient, FieldNamesOfAnswersAreTokens)
{
	for (int c = 0; c < 256; c++) {
		std::string name = std::string("X-A") + (char)c + "b";
		std::string bytes = "HTTP/1.1 200 OK\r\n" + name +
				    ": v\r\nContent-Length: 0\r\n\r\n";
		std::string what = "byte " + std::to_string(c);

		if (c == ':')
			continue; /* ends the name */
		if (!is_token_byte(c)) {
			expect_malformed(bytes, what);
			continue;
		}
		for (bool in_pieces : { false, true }) {
			Result got = answer_with(bytes, in_pieces);

			ASSERT_TRUE(got.ended) << what;
			EXPECT_EQ(got.fields[0].first, name);
		}
	}
}

TEST_F(HttpClient, FieldValuesOfAnswersHaveNoControlBytes)
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";

	for (int c = 0; c < 256; c++) {
		std::string byte(1, (char)c);
		std::string what = "byte " + std::to_string(c);

		if (c == '\r' || c == '\n')
			continue;
		for (const std::string &value :
		     { byte + "a", "a" + byte + "b", "a" + byte })
			if (!is_value_byte(c))
				expect_malformed(head + "X-A: " + value +
							 "\r\n\r\n",
						 what);
		if (!is_value_byte(c))
			continue;
		for (bool in_pieces : { false, true }) {
			Result got = answer_with(head + "X-A: a" + byte +
							 "b\r\n\r\n",
						 in_pieces);

			ASSERT_TRUE(got.ended) << what;
			EXPECT_EQ(got.fields[1].second, "a" + byte + "b");
		}
	}
}

TEST_F(HttpClient, FoldedFieldsOfAnswersAreMalformed)
{
	for (const char *fold : { "\r\n ", "\r\n\t", "\n ", "\r\n  \r\n " })
		expect_malformed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
				 "X-Server-Seal: a" +
					 std::string(fold) + "b\r\n\r\n",
				 "fold");
}

TEST_F(HttpClient, StatusOutsideTheRangeIsMalformed)
{
	for (const char *status : { "000", "099", "600", "999" })
		expect_malformed(std::string("HTTP/1.1 ") + status +
					 " Text\r\nContent-Length: 0\r\n\r\n",
				 status);
}

TEST_F(HttpClient, InterimAnswersHaveTheSameBytes)
{
	expect_malformed("HTTP/1.1 103 Early Hints\r\nLink: \001\r\n\r\n"
			 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			 "interim");
}

TEST_F(HttpClient, LineEndsOfAnswersHaveNoBareCarriageReturns)
{
	const std::string status = "HTTP/1.1 200 OK\r\n";
	const std::string length = "Content-Length: 0\r\n";

	for (const std::string &bytes : {
		     "HTTP/1.1 200 OK\rX" + length + "\r\n",
		     status + length + "X-A:\rXX-B: c\r\n\r\n",
		     status + length + "\rX",
		     status + "Transfer-Encoding: chunked\r\n\r\n"
			      "2\r\nabXX0\r\n\r\n",
	     }) {
		for (bool in_pieces : { false, true }) {
			Result got = answer_with(bytes, in_pieces);

			EXPECT_FALSE(got.ended) << bytes;
			ASSERT_TRUE(got.failed) << bytes;
			EXPECT_EQ(got.failure, HIO_MALFORMED) << bytes;
		}
	}
}

TEST_F(HttpClient, ChunksInPiecesAreWhole)
{
	for (bool in_pieces : { false, true }) {
		Result got = answer_with(
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			"\r\n4;x=y\r\n\r\n\r\n\r\n1\r\n\n\r\n0\r\nX: y\r\n"
			"\r\n",
			in_pieces);

		EXPECT_TRUE(got.ended);
		EXPECT_EQ(got.body, "\r\n\r\n\n");
	}
}
