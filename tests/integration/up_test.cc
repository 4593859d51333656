#include "test_http.h"

#include <atomic>

extern "C" {
#include "http/hio.h"
#include "traffic/up.h"
}

/* The HTTP client for endpoints (up), against a scripted server. */

namespace
{

/* Accepts connections and passes them to a script, one at a time. */
class Server
{
      public:
	explicit Server(std::function<void(int)> handle)
	    : script(std::move(handle))
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&address,
			       sizeof(address)),
			  0);
		EXPECT_EQ(listen(listener, 16), 0);
		getsockname(listener, (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
		thread = std::thread([this] {
			int fd;

			while ((fd = accept(listener, nullptr, nullptr)) >= 0) {
				connections++;
				script(fd);
				close(fd);
			}
		});
	}
	~Server()
	{
		shutdown(listener, SHUT_RDWR);
		close(listener);
		thread.join();
	}
	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port) + "/a";
	}
	std::atomic<int> connections{ 0 };
	int port;

      private:
	std::function<void(int)> script;
	int listener;
	std::thread thread;
};

/* Reads one request with a body of n bytes; returns "" at end of file. */
std::string read_request(int fd, size_t n)
{
	std::string out;
	char c;

	while (out.find("\r\n\r\n") == std::string::npos ||
	       out.size() < out.find("\r\n\r\n") + 4 + n) {
		if (read(fd, &c, 1) != 1)
			return "";
		out += c;
	}
	return out;
}

void send_text(int fd, const std::string &text)
{
	EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
		  (ssize_t)text.size());
}

const char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct UpRun {
	bool complete;
	int error = -1; /* enum up_error */
	std::string body;
	int stop_after = -1;
};

UpRun perform(struct up *up, const std::string &url, bool fresh,
	      const std::function<void(struct up_request *)> &change = {})
{
	UpRun run = {};
	GError *err = nullptr;
	struct up_request request = {};

	run.error = -1;
	request.method = "POST";
	request.url = url.c_str();
	request.body = "abc";
	request.body_len = 3;
	request.fresh = fresh;
	request.connect_timeout_us = 5000000;
	request.total_timeout_us = 60000000;
	request.data = &run;
	request.on_data = [](void *data, const char *bytes, size_t len) {
		((UpRun *)data)->body.append(bytes, len);
		return true;
	};
	if (change)
		change(&request);
	run.complete = up_perform(up, &request, &err);
	if (err)
		run.error = err->code;
	EXPECT_EQ(run.complete, err == nullptr);
	g_clear_error(&err);
	return run;
}

class UpTest : public testing::Test
{
      protected:
	struct up *up = up_new();
	void TearDown() override
	{
		up_free(up);
	}
};

/* Guards the connection pool: pooled calls share a connection, fresh ones never
 * do. */
TEST_F(UpTest, PooledCallsShareAConnectionFreshOnesDoNot)
{
	Server server([](int fd) {
		while (!read_request(fd, 3).empty())
			send_text(fd, kAnswer);
	});

	for (int i = 0; i < 5; i++)
		EXPECT_EQ(perform(up, server.url(), false).body, "ok");
	EXPECT_EQ(server.connections, 1);
	up_free(up); /* the script serves one connection at a time */
	up = up_new();
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(perform(up, server.url(), true).body, "ok");
	EXPECT_EQ(server.connections, 6);
}

/* Guards the error codes: NOT_SENT for a refused connection, and BROKEN once a
 * byte may have been sent, whatever the server did with it. */
TEST_F(UpTest, NotSentMeansThatNoByteWasSent)
{
	std::string unreachable =
		"http://127.0.0.1:" + std::to_string(free_port());
	std::atomic<int> received{ 0 };
	Server reads([&](int fd) {
		if (!read_request(fd, 3).empty())
			received++;
	});
	Server closes([](int) {});

	for (bool fresh : { false, true }) {
		EXPECT_EQ(perform(up, unreachable + "/a", fresh).error,
			  (int)UP_ERROR_NOT_SENT);
		EXPECT_EQ(perform(up, reads.url(), fresh).error,
			  (int)UP_ERROR_BROKEN);
		/* Closed at once: bytes may have been sent, so NOT_SENT would
		 * not be certain. */
		EXPECT_EQ(perform(up, closes.url(), fresh).error,
			  (int)UP_ERROR_BROKEN);
	}
	EXPECT_EQ(received, 2);
}

/* Guards the detection of an ended process: the connection is refused, or is
 * closed without an answer (by a proxy in front of it). Silence is no sign. */
TEST_F(UpTest, EndedProcessIsDistinguishedFromASilentOne)
{
	std::string unreachable =
		"http://127.0.0.1:" + std::to_string(free_port());
	Server closes([](int fd) { read_request(fd, 0); });
	Server silent([](int fd) {
		read_request(fd, 0);
		read_request(fd, 1);
	});
	Server answers([](int fd) {
		read_request(fd, 0);
		send_text(fd, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
	});

	EXPECT_TRUE(up_has_ended(unreachable.c_str(), 10000000));
	EXPECT_TRUE(up_has_ended(closes.url().c_str(), 10000000));
	EXPECT_FALSE(up_has_ended(silent.url().c_str(), 100000));
	EXPECT_FALSE(up_has_ended(answers.url().c_str(), 10000000));
}

/* Guards that a fresh request is never sent twice, even if the server closes
 * the connection without an answer: on a reused connection, libcurl would
 * resend it. */
TEST_F(UpTest, FreshRequestIsSentOnce)
{
	std::atomic<int> received{ 0 };
	std::atomic<bool> answer{ true };
	Server server([&](int fd) {
		while (!read_request(fd, 3).empty()) {
			received++;
			if (!answer)
				return;
			send_text(fd, kAnswer);
		}
	});

	EXPECT_TRUE(perform(up, server.url(), false).complete);
	answer = false;
	up_free(up);
	up = up_new();
	EXPECT_EQ(perform(up, server.url(), true).error, (int)UP_ERROR_BROKEN);
	EXPECT_EQ(received, 2);
}

/* Guards the timeouts before the first byte, between bytes and in total. The
 * server then stays silent until the client closes the connection. */
TEST_F(UpTest, SilenceEndsTheCall)
{
	Server silent([](int fd) {
		read_request(fd, 3);
		read_request(fd, 1);
	});
	Server stalls([](int fd) {
		read_request(fd, 3);
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
		read_request(fd, 1);
	});

	EXPECT_EQ(perform(up, silent.url(), true,
			  [](struct up_request *r) {
				  r->first_byte_timeout_us = 100000;
			  })
			  .error,
		  (int)UP_ERROR_SILENT);
	UpRun run = perform(up, stalls.url(), true, [](struct up_request *r) {
		r->silence_timeout_us = 100000;
	});
	EXPECT_EQ(run.error, (int)UP_ERROR_SILENT);
	EXPECT_EQ(run.body, "ab");
	EXPECT_EQ(perform(up, stalls.url(), true,
			  [](struct up_request *r) {
				  r->total_timeout_us = 100000;
			  })
			  .error,
		  (int)UP_ERROR_TIMEOUT);
}

/* Guards that a truncated answer is not reported as complete, and that either
 * callback can stop a call. */
TEST_F(UpTest, TruncatedAndStoppedAnswersAreNotComplete)
{
	Server truncated([](int fd) {
		read_request(fd, 3);
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
	});
	Server stalls([](int fd) {
		read_request(fd, 3);
		read_request(fd, 1);
	});

	EXPECT_EQ(perform(up, truncated.url(), true).error,
		  (int)UP_ERROR_BROKEN);
	EXPECT_EQ(perform(up, truncated.url(), true,
			  [](struct up_request *r) {
				  r->on_data = [](void *, const char *,
						  size_t) { return false; };
			  })
			  .error,
		  (int)UP_ERROR_STOPPED);
	EXPECT_EQ(perform(up, stalls.url(), true,
			  [](struct up_request *r) {
				  r->on_tick = [](void *) { return false; };
			  })
			  .error,
		  (int)UP_ERROR_STOPPED);
}

} // namespace

/* Guards against a 200 with an empty body for an endpoint that stopped in the
 * middle of its answer's head. */
TEST_F(UpTest, HeadThatBreaksOffIsNoAnswer)
{
	for (const std::string &whole :
	     { std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
			   "Content-Length: 2\r\n\r\nok"),
	       std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
			   "Content-Type: text/plain\r\n\r\n"),
	       std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
			   "Content-Type: text/plain\r\n\r\n") })
		for (size_t len = 0; len < whole.size(); len++)
			for (bool reset : { false, true }) {
				Server server([&](int fd) {
					struct linger now = { 1, 0 };

					read_request(fd, 3);
					send_text(fd, whole.substr(0, len));
					if (!reset)
						return;
					usleep(2000);
					setsockopt(fd, SOL_SOCKET, SO_LINGER,
						   &now, sizeof(now));
				});
				UpRun run = perform(up, server.url(), true);

				EXPECT_FALSE(run.complete)
					<< whole.substr(0, len)
					<< (reset ? " reset" : " closed");
			}
}

/* Guards against taking a copy of an earlier answer, which lies in the socket
 * before the next request is written, for the answer to that request. */
TEST_F(UpTest, CopyInTheSocketIsNoAnswer)
{
	std::atomic<int> requests{ 0 };
	Server server([&](int fd) {
		while (!read_request(fd, 3).empty()) {
			std::string body = std::to_string(++requests);
			std::string text =
				"HTTP/1.1 200 OK\r\nContent-Length: " +
				std::to_string(body.size()) + "\r\n\r\n" + body;

			send_text(fd, text);
			usleep(20000);
			send(fd, text.data(), text.size(), MSG_NOSIGNAL);
		}
	});

	for (int i = 1; i <= 10; i++) {
		UpRun run = perform(up, server.url(), false);

		usleep(40000);
		EXPECT_TRUE(run.complete);
		EXPECT_EQ(run.body, std::to_string(requests)) << i;
	}
	up_free(up); /* the server reads until its connections are closed */
	up = up_new();
}

TEST_F(UpTest, HeadWithOtherBytesIsNoAnswer)
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";

	for (int c = 0; c < 256; c++) {
		std::string byte(1, (char)c);
		std::vector<std::string> lines;

		if (c == '\n')
			continue;
		if ((c < ' ' && c != '\t') || c == 127)
			lines = { "X-A: " + byte + "b", "X-A: b" + byte + "c",
				  "Content-Type: b" + byte + "c" };
		if (c != ':' && !hio_is_token(byte.data(), 1))
			lines.push_back("X" + byte + "A: b");
		for (const std::string &line : lines) {
			Server server([&](int fd) {
				read_request(fd, 3);
				send_text(fd, head + line + "\r\n\r\nok");
			});

			EXPECT_FALSE(perform(up, server.url(), true).complete)
				<< "byte " << c << " in " << line;
		}
	}
	Server folded([&](int fd) {
		read_request(fd, 3);
		send_text(fd, head + "Content-Type: a\r\n b\r\n\r\nok");
	});
	EXPECT_FALSE(perform(up, folded.url(), true).complete);
}

TEST_F(UpTest, StatusOutsideTheRangeIsNoAnswer)
{
	for (const char *status : { "000", "099", "600", "999" }) {
		Server server([&](int fd) {
			read_request(fd, 3);
			send_text(fd, std::string("HTTP/1.1 ") + status +
					      " Text\r\nContent-Length: 2"
					      "\r\n\r\nok");
		});

		EXPECT_FALSE(perform(up, server.url(), true).complete)
			<< status;
	}
}

/* Guards against buffering an endless header section. */
TEST_F(UpTest, EndlessHeaderSectionEndsTheCall)
{
	std::atomic<size_t> sent{ 0 };
	Server server([&sent](int fd) {
		std::string fields;

		read_request(fd, 3);
		for (int i = 0; i < 4096; i++)
			fields += "X-A: 0123456789\r\n";
		send_text(fd, "HTTP/1.1 200 OK\r\n");
		while (sent < (256 << 20) &&
		       send(fd, fields.data(), fields.size(), MSG_NOSIGNAL) ==
			       (ssize_t)fields.size())
			sent += fields.size();
	});
	UpRun run = perform(up, server.url(), true);

	EXPECT_FALSE(run.complete);
	EXPECT_LT(sent, 16u << 20);
}

/* As above for an endless series of interim (1xx) answers. */
TEST_F(UpTest, EndlessInterimAnswersEndTheCall)
{
	std::atomic<size_t> sent{ 0 };
	Server server([&sent](int fd) {
		std::string heads;

		read_request(fd, 3);
		for (int i = 0; i < 4096; i++)
			heads += "HTTP/1.1 102 Wait\r\n\r\n";
		while (sent < (256 << 20) &&
		       send(fd, heads.data(), heads.size(), MSG_NOSIGNAL) ==
			       (ssize_t)heads.size())
			sent += heads.size();
	});
	UpRun run = perform(up, server.url(), true);

	EXPECT_FALSE(run.complete);
	EXPECT_LT(sent, 16u << 20);
}
