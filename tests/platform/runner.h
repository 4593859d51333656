#ifndef TESTS_PLATFORM_RUNNER_H
#define TESTS_PLATFORM_RUNNER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "lib_proc.h"
}

/*
 * Test doubles of the platform around the system: an HTTP/1.1 client and a
 * runner (the back end that executes requests). Both use plain sockets, so that
 * a test can send malformed or truncated messages.
 */
namespace platform
{

/* An HTTP request or response. */
struct Message {
	std::string first; /* request or status line */
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;
	bool complete = false; /* whole body received, as framed */
	bool closed = false;   /* by the peer, before the end of the fields */

	std::string field(const std::string &name) const
	{
		for (const auto &f : fields)
			if (!strcasecmp(f.first.c_str(), name.c_str()))
				return f.second;
		return "";
	}
	size_t count(const std::string &name) const
	{
		size_t n = 0;

		for (const auto &f : fields)
			n += !strcasecmp(f.first.c_str(), name.c_str());
		return n;
	}
	int status() const
	{
		return first.size() > 12 ? atoi(first.c_str() + 9) : 0;
	}
	std::string method() const
	{
		return first.substr(0, first.find(' '));
	}
	std::string target() const
	{
		size_t at = first.find(' ') + 1;

		return first.substr(at, first.find(' ', at) - at);
	}
};

/* A TCP connection that reads HTTP messages; closed by the destructor. */
class Socket
{
      public:
	explicit Socket(int fd = -1) : fd(fd)
	{
	}
	Socket(const Socket &) = delete;
	~Socket()
	{
		shut();
	}

	bool connect_to(const std::string &address, int timeout_ms = 2000)
	{
		struct sockaddr_in in = {};
		size_t colon = address.find(':');

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		in.sin_family = AF_INET;
		in.sin_port = htons(
			(uint16_t)atoi(address.substr(colon + 1).c_str()));
		inet_pton(AF_INET, address.substr(0, colon).c_str(),
			  &in.sin_addr);
		struct timeval limit = { timeout_ms / 1000,
					 timeout_ms % 1000 * 1000 };
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		return !::connect(fd, (struct sockaddr *)&in, sizeof(in));
	}
	bool send(const std::string &text)
	{
		size_t done = 0;

		while (done < text.size()) {
			ssize_t n = ::send(fd, text.data() + done,
					   text.size() - done, MSG_NOSIGNAL);

			if (n <= 0)
				return false;
			done += (size_t)n;
		}
		return true;
	}
	/* Appends what arrives next to the buffer; false at the end of the
	 * stream, on an error or a timeout. */
	bool fill(int timeout_ms)
	{
		struct pollfd p = { fd, POLLIN, 0 };
		char bytes[65536];
		ssize_t n;

		if (poll(&p, 1, timeout_ms) <= 0)
			return false;
		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0) {
			ended = true;
			was_reset = n < 0;
			return false;
		}
		buffer.append(bytes, (size_t)n);
		return true;
	}
	/* Reads until the peer closes or nothing arrives for timeout_ms.
	 * Returns all unread bytes. */
	std::string read_all(int timeout_ms)
	{
		while (fill(timeout_ms))
			;
		return buffer;
	}
	/* Reads one message; false if its header fields do not arrive. With
	 * answer set, a message without a length ends with the connection. */
	bool read(Message *m, int timeout_ms = 5000, bool answer = false)
	{
		size_t end;

		*m = Message();
		while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
			if (!fill(timeout_ms)) {
				m->closed = ended;
				return false;
			}
		parse_head(m, buffer.substr(0, end));
		buffer.erase(0, end + 4);
		messages++;
		if (!strcasecmp(m->field("Transfer-Encoding").c_str(),
				"chunked"))
			read_chunks(m, timeout_ms);
		else if (!m->field("Content-Length").empty())
			read_length(m,
				    strtoul(m->field("Content-Length").c_str(),
					    nullptr, 10),
				    timeout_ms);
		else if (answer)
			read_to_end(m, timeout_ms);
		else
			m->complete = true;
		return true;
	}
	/* Closes with a TCP reset instead of an orderly shutdown. */
	void reset()
	{
		struct linger linger = { 1, 0 };

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		shut();
	}
	void shut()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	/* Returns whether the peer closes within timeout_ms. */
	bool wait_closed(int timeout_ms)
	{
		auto until = std::chrono::steady_clock::now() +
			     std::chrono::milliseconds(timeout_ms);

		while (!ended && std::chrono::steady_clock::now() < until)
			fill(20);
		return ended;
	}
	int fd;
	std::string buffer;
	bool ended = false;
	bool was_reset = false;
	size_t messages = 0; /* read so far */

      private:
	static void parse_head(Message *m, const std::string &head)
	{
		size_t at = head.find("\r\n");

		m->first = head.substr(0, at);
		while (at != std::string::npos) {
			size_t next = head.find("\r\n", at + 2);
			std::string line =
				head.substr(at + 2, next == std::string::npos
							    ? next
							    : next - at - 2);
			size_t colon = line.find(':');

			if (colon != std::string::npos)
				m->fields.emplace_back(
					line.substr(0, colon),
					line.substr(line.find_first_not_of(
						" ", colon + 1)));
			at = next;
		}
	}
	void read_length(Message *m, size_t len, int timeout_ms)
	{
		while (buffer.size() < len && fill(timeout_ms))
			;
		m->complete = buffer.size() >= len;
		m->body = buffer.substr(0, len);
		buffer.erase(0, len);
	}
	void read_chunks(Message *m, int timeout_ms)
	{
		for (;;) {
			size_t line;

			while ((line = buffer.find("\r\n")) ==
			       std::string::npos)
				if (!fill(timeout_ms))
					return;
			size_t len = strtoul(buffer.c_str(), nullptr, 16);

			while (buffer.size() < line + 2 + len + 2)
				if (!fill(timeout_ms))
					return;
			m->body += buffer.substr(line + 2, len);
			buffer.erase(0, line + 2 + len + 2);
			if (!len) {
				m->complete = true;
				return;
			}
		}
	}
	void read_to_end(Message *m, int timeout_ms)
	{
		while (fill(timeout_ms))
			;
		m->body = buffer;
		m->complete = ended && !was_reset;
	}
};

/* Sends a request on a new connection and returns the response. Its status is 0
 * if there is none. */
inline Message call(const std::string &address, const std::string &request,
		    int timeout_ms = 8000)
{
	Socket socket;
	Message m;

	if (socket.connect_to(address) && socket.send(request))
		socket.read(&m, timeout_ms, true);
	return m;
}

inline std::string request(const std::string &method, const std::string &path,
			   const std::string &host,
			   const std::string &fields = "",
			   const std::string &body = "")
{
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" +
	       fields + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

inline std::string answer(int status, const std::string &fields,
			  const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + fields +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

/*
 * A runner of one service: announces itself, answers requests and, as an
 * engine, takes load and unload orders and reports the models that it holds.
 */
class Runner
{
      public:
	/* Handles one request; false closes the connection. */
	using Handler = std::function<bool(Socket &, const Message &)>;

	Runner(const std::string &service, const std::string &id,
	       bool engine = false)
	    : id(id), service(service), engine(engine)
	{
		open_listener(0);
		acceptor = std::thread([this] { accept_all(); });
	}
	~Runner()
	{
		stopping = true;
		announcing = false;
		close_listener();
		acceptor.join();
		if (announcer.joinable())
			announcer.join();
		for (auto &t : threads)
			t.join();
	}

	/* Header field that marks an answer as this runner's. */
	std::string seal() const
	{
		return "X-Server-Seal: seal-" + id + "\r\n";
	}
	/* Header field that returns the request's attempt id. */
	static std::string echo(const Message &m)
	{
		return "X-Attempt-Id: " + m.field("X-Attempt-Id") + "\r\n";
	}

	/* Body of an announcement: lists the models in `holds`, or those in
	 * `stale` if announced_stale is set. */
	std::string announcement()
	{
		std::lock_guard<std::mutex> guard(lock);
		std::string models =
			models_json(announced_stale ? stale : holds);

		return "{\"service\":\"" + service + "\",\"address\":\"" +
		       address + "\",\"zone\":\"here\",\"version\":\"" +
		       version + "\",\"slots\":" + std::to_string(slots) +
		       ",\"state\":\"" + state +
		       "\",\"coldLeftMs\":0,\"born\":" + std::to_string(born) +
		       (engine ? ",\"models\":[" + models + "]" : "") +
		       ",\"seq\":" + std::to_string(++beats) + "}";
	}
	/* Sends one announcement; returns the HTTP status, 0 without answer. */
	int beat_once(const std::string &control)
	{
		return call(control,
			    request("PUT", "/dandelionspar/instances/" + id,
				    "control",
				    "Content-Type: application/json\r\n",
				    announcement()),
			    2000)
			.status();
	}
	/* Sends announcements every 200 ms until destruction. */
	void beat(const std::string &control)
	{
		announcing = true;
		announcer = std::thread([this, control] {
			while (announcing) {
				if (!is_down)
					beat_once(control);
				usleep(200000);
			}
		});
	}
	/* Ends as a killed process does: refuses connections, resets those that
	 * are open, and sends no announcements. The address is free until
	 * restart(). */
	void crash()
	{
		std::lock_guard<std::mutex> guard(lock);

		if (is_down)
			return;
		is_down = true;
		crashes++;
		close_listener();
		for (int fd : open_fds)
			shutdown(fd, SHUT_RD);
	}
	/* Starts again at the same address as a new process. */
	void restart(const std::string &new_id)
	{
		acceptor.join();
		{
			std::lock_guard<std::mutex> guard(lock);

			id = new_id;
			born++;
			holds.clear();
			open_listener(atoi(
				address.substr(address.find(':') + 1).c_str()));
			is_down = false;
		}
		acceptor = std::thread([this] { accept_all(); });
	}
	/* Ends the announcements; the runner goes on with its requests. */
	void fall_silent()
	{
		announcing = false;
	}
	size_t n_ran()
	{
		std::lock_guard<std::mutex> guard(lock);

		return ran.size();
	}
	std::vector<Message> ran_requests()
	{
		std::lock_guard<std::mutex> guard(lock);

		return ran;
	}

	std::string id, service, address;
	std::string version = "v1"; /* of its software */
	bool engine;
	int slots = 8;
	std::string state = "ready";
	uint64_t born = 1000;
	Handler handler; /* replaces the default answer; set before use */

	std::atomic<bool> is_down{ false };
	std::atomic<unsigned> crashes{ 0 };

	std::mutex lock; /* guards the engine's state and the requests run */
	/* Engine: the adapters of each model in memory. */
	std::map<std::string, std::vector<std::string>> holds, stale;
	bool announced_stale = false;
	size_t memory = 2; /* capacity in models */
	/* Capacity in MB and sizes of models in MB; if set, they replace
	 * `memory`. A model keeps the size it was loaded with. Adapters take no
	 * memory. */
	int memory_mb = 0;
	std::map<std::string, int> sizes_mb, loaded_mb;
	size_t places = 8; /* capacity in adapters */
	int load_ms = 100;
	std::atomic<int> order_delay_ms{ 0 }; /* delays the answer only */
	/* Reports are answered with spaces without end, counted below. */
	std::atomic<bool> endless_reports{ false };
	std::atomic<bool> endless_orders{ false }; /* the same for orders */
	std::atomic<size_t> endless_bytes{ 0 };
	std::atomic<bool> leaving_reports{ false }; /* reports say leaving */
	std::atomic<bool> paused_reports{ false };  /* 503, wait 2 s */
	std::atomic<size_t> reports{ 0 };
	uint64_t sequence = 0;
	bool overloaded = false; /* an order exceeded memory or places */
	size_t orders = 0;
	uint64_t highest_fence = 0;

      private:
	using Holds = std::map<std::string, std::vector<std::string>>;

	static std::string models_json(const Holds &holds)
	{
		std::string models;

		for (const auto &copy : holds) {
			std::string adapters;

			for (const auto &a : copy.second)
				adapters += (adapters.empty() ? "\"" : ",\"") +
					    a + "\"";
			models += std::string(models.empty() ? "" : ",") +
				  "{\"name\":\"" + copy.first +
				  "\",\"version\":1,\"adapters\":[" + adapters +
				  "]}";
		}
		return models;
	}
	void open_listener(int port)
	{
		struct sockaddr_in in = {};
		socklen_t len = sizeof(in);
		int on = 1;

		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		in.sin_family = AF_INET;
		in.sin_port = htons((uint16_t)port);
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (::bind(listener, (struct sockaddr *)&in, sizeof(in)) < 0)
			abort();
		listen(listener, 64);
		getsockname(listener, (struct sockaddr *)&in, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(in.sin_port));
	}
	void close_listener()
	{
		int fd = listener.exchange(-1);

		if (fd < 0)
			return;
		shutdown(fd, SHUT_RDWR);
		close(fd);
	}
	void accept_all()
	{
		while (!stopping && !is_down) {
			int fd = accept4(listener, nullptr, nullptr,
					 SOCK_CLOEXEC);

			if (fd < 0)
				return;
			threads.emplace_back([this, fd] { serve(fd); });
		}
	}
	void serve(int fd)
	{
		Socket socket(fd);
		Message m;

		{
			std::lock_guard<std::mutex> guard(lock);

			open_fds.insert(fd);
		}
		while (!stopping && !is_down) {
			if (!socket.read(&m, 100)) {
				if (socket.ended)
					break;
				continue;
			}
			if (!answer_one(socket, m))
				break;
		}
		{
			std::lock_guard<std::mutex> guard(lock);

			open_fds.erase(fd);
		}
		if (is_down)
			socket.reset();
	}
	bool answer_one(Socket &socket, const Message &m)
	{
		if (m.target() == "/dandelionspar/report" && endless_reports)
			return send_endless(socket);
		if (m.target() == "/dandelionspar/report")
			return answer_report(socket);
		if (m.target() == "/dandelionspar/order") {
			int status = execute_order(m.body);

			usleep((useconds_t)order_delay_ms * 1000);
			if (endless_orders)
				return send_endless(socket);
			return socket.send(answer(status, "", "{}"));
		}
		if (!m.field("X-Expect-Instance").empty() &&
		    m.field("X-Expect-Instance") != id)
			return socket.send(answer(
				421, "X-Instance-Id: " + id + "\r\n" + echo(m),
				""));
		{
			std::lock_guard<std::mutex> guard(lock);

			ran.push_back(m);
		}
		if (handler)
			return handler(socket, m);
		return socket.send(answer(200, seal() + echo(m),
					  "from " + id + ": " + m.body));
	}
	bool answer_report(Socket &socket)
	{
		reports++;
		if (paused_reports)
			return socket.send(
				answer(503, "Retry-After: 2\r\n", ""));
		return socket.send(answer(
			200, leaving_reports ? "Server-Leaving: 1\r\n" : "",
			report()));
	}
	bool send_endless(Socket &socket)
	{
		std::string bytes(65536, ' ');

		if (!socket.send("HTTP/1.1 200 OK\r\n\r\n"))
			return false;
		while (!stopping && socket.send(bytes))
			endless_bytes += bytes.size();
		return false;
	}
	std::string report()
	{
		std::lock_guard<std::mutex> guard(lock);
		std::string models;

		finish_load();
		models = models_json(holds);
		return "{\"stage\":\"unified\",\"models\":[" + models +
		       "],\"busy\":" + (loading.empty() ? "false" : "true") +
		       ",\"seq\":" + std::to_string(sequence) +
		       ",\"queued\":0,\"active\":0,\"born\":" +
		       std::to_string(born) + "}";
	}
	/* Value of a top-level JSON member; empty if missing. */
	static std::string json_value(const std::string &body,
				      const std::string &key)
	{
		size_t at = body.find("\"" + key + "\":");

		if (at == std::string::npos)
			return "";
		at += key.size() + 3;
		if (body[at] == '"')
			return body.substr(at + 1,
					   body.find('"', at + 1) - at - 1);
		return body.substr(at, body.find_first_of(",}", at) - at);
	}
	/* Whether the model fits beside what the engine holds. */
	bool take_room(const std::string &model)
	{
		int used_mb = 0;

		if (!memory_mb)
			return holds.size() < memory;
		loaded_mb[model] = sizes_mb.at(model);
		for (const auto &copy : holds)
			used_mb += loaded_mb.count(copy.first)
					   ? loaded_mb[copy.first]
					   : sizes_mb.at(copy.first);
		return used_mb + loaded_mb[model] <= memory_mb;
	}
	/* Completes a load whose time is over; the caller holds the lock. */
	void finish_load()
	{
		if (loading.empty() || proc_now_ms() < loading_until)
			return;
		holds[loading];
		loading.clear();
	}
	/* Carries out an order; returns the HTTP status: 412 for an old fence,
	 * 409 while a load runs or if the expected sequence differs. */
	int execute_order(const std::string &body)
	{
		std::lock_guard<std::mutex> guard(lock);
		std::string model = json_value(body, "model");
		std::string adapter = json_value(body, "adapter");
		uint64_t fence = strtoull(json_value(body, "fence").c_str(),
					  nullptr, 10);

		finish_load();
		if (fence < highest_fence)
			return 412;
		highest_fence = fence;
		if (!loading.empty() ||
		    strtoull(json_value(body, "expected").c_str(), nullptr,
			     10) != sequence)
			return 409;
		orders++;
		if (json_value(body, "operation") == "unload") {
			if (adapter.empty())
				holds.erase(model);
			else {
				auto &list = holds[model];

				list.erase(std::remove(list.begin(), list.end(),
						       adapter),
					   list.end());
			}
			sequence++;
			return adapter.empty() ? 202 : 200;
		}
		if (!adapter.empty()) {
			size_t n = 0;

			for (const auto &copy : holds)
				n += copy.second.size();
			overloaded = overloaded || n >= places;
			holds[model].push_back(adapter);
		} else {
			overloaded = overloaded || !take_room(model);
			loading = model;
			loading_until = proc_now_ms() + load_ms;
		}
		sequence++;
		return 202;
	}

	std::atomic<int> listener{ -1 };
	std::set<int> open_fds;
	std::atomic<bool> stopping{ false };
	std::atomic<bool> announcing{ false };
	std::thread acceptor, announcer;
	std::vector<std::thread> threads;
	std::vector<Message> ran;
	std::string loading;
	int64_t loading_until = 0;
	uint64_t beats = 0;
};

} // namespace platform

#endif
