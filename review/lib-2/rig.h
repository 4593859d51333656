/*
 * Rig of the second review's scripts: starts the project's programs with
 * settings as the platform fills them in, and plays the platform around them:
 * callers, runners and the operator. All addresses are loopback addresses, all
 * threads and processes end with the program.
 */
#ifndef REVIEW_LIB_2_RIG_H
#define REVIEW_LIB_2_RIG_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

inline int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

inline int64_t wall_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

inline void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* ---- Record: what was sent, answered and run ---- */

struct Record {
	Record()
	{
		const char *path = getenv("RECORD");

		file = fopen(path ? path : "record.txt", "w");
		begun = now_ms();
	}
	void line(const char *format, ...)
	{
		std::lock_guard<std::mutex> hold(mutex);
		va_list args;

		fprintf(file, "%8.3f ", (double)(now_ms() - begun) / 1000);
		va_start(args, format);
		vfprintf(file, format, args);
		va_end(args);
		fputc('\n', file);
		fflush(file);
	}
	std::mutex mutex;
	FILE *file;
	int64_t begun;
};

inline Record &record()
{
	static Record all;

	return all;
}

/* Whether the disruption is to be played. */
inline bool trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

/* ---- HTTP ---- */

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
	std::string first;
	Fields fields;
	std::string body;
	bool head = false;     /* the fields are whole */
	bool complete = false; /* and so is the body */
	bool ended = false;    /* the peer closed or reset first */
	bool reset = false;
	std::string field(const std::string &name) const
	{
		for (const auto &f : fields)
			if (!strcasecmp(f.first.c_str(), name.c_str()))
				return f.second;
		return "";
	}
	int status() const
	{
		return head && first.size() > 12 ? atoi(first.c_str() + 9) : 0;
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

inline bool parse_address(const std::string &text, sockaddr_in *out)
{
	size_t colon = text.find(':');

	*out = {};
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)atoi(text.c_str() + colon + 1));
	return inet_pton(AF_INET, text.substr(0, colon).c_str(),
			 &out->sin_addr) == 1;
}

/* A connection. receive_bytes: size of its receive buffer, 0: the system's. */
struct Socket {
	explicit Socket(int fd = -1) : fd(fd)
	{
	}
	Socket(const Socket &) = delete;
	~Socket()
	{
		shut();
	}
	void shut()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	bool open(const std::string &address, int timeout_ms = 1000,
		  int receive_bytes = 0)
	{
		sockaddr_in to;
		struct pollfd p;
		int error = 0;
		socklen_t len = sizeof(error);

		shut();
		buffer.clear();
		if (!parse_address(address, &to))
			return false;
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
			    0);
		if (receive_bytes)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
				   sizeof(receive_bytes));
		if (connect(fd, (sockaddr *)&to, sizeof(to)) &&
		    errno != EINPROGRESS) {
			shut();
			return false;
		}
		p = { fd, POLLOUT, 0 };
		if (poll(&p, 1, timeout_ms) <= 0 ||
		    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
		    error) {
			shut();
			return false;
		}
		fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
		return true;
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
	/* Reads at most `most` bytes; 1: some, 0: none in time, -1: the end. */
	int fill(int timeout_ms, size_t most = 65536)
	{
		struct pollfd p = { fd, POLLIN, 0 };
		std::string bytes(most, '\0');
		ssize_t n;

		if (fd < 0)
			return -1;
		if (poll(&p, 1, timeout_ms) <= 0)
			return 0;
		n = recv(fd, &bytes[0], most, 0);
		if (n <= 0) {
			reset = n < 0;
			error = n < 0 ? errno : 0;
			return -1;
		}
		buffer.append(bytes, 0, (size_t)n);
		return 1;
	}
	/* Reads one message. pause_ms and most: it is read in pieces of so
	 * many bytes with so long a pause before each. */
	Message read(int timeout_ms, int pause_ms = 0, size_t most = 65536)
	{
		Message m;
		int64_t until = now_ms() + timeout_ms;
		size_t end;
		auto more = [&] {
			int got;

			if (pause_ms)
				sleep_ms(pause_ms);
			got = fill((int)std::max<int64_t>(until - now_ms(), 1),
				   most);
			if (got < 0) {
				m.ended = true;
				m.reset = reset;
			}
			return got > 0;
		};

		while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
			if (now_ms() > until || !more())
				return m;
		parse(&m, buffer.substr(0, end));
		buffer.erase(0, end + 4);
		m.head = true;
		if (!strcasecmp(m.field("Transfer-Encoding").c_str(),
				"chunked")) {
			for (;;) {
				size_t line, len;

				while ((line = buffer.find("\r\n")) ==
				       std::string::npos)
					if (now_ms() > until || !more())
						return m;
				len = strtoul(buffer.c_str(), nullptr, 16);
				while (buffer.size() < line + 2 + len + 2)
					if (now_ms() > until || !more())
						return m;
				m.body += buffer.substr(line + 2, len);
				buffer.erase(0, line + 2 + len + 2);
				if (!len)
					break;
			}
			m.complete = true;
			return m;
		}
		size_t len = strtoul(m.field("Content-Length").c_str(), nullptr,
				     10);

		while (buffer.size() < len)
			if (now_ms() > until || !more())
				break;
		m.complete = buffer.size() >= len;
		m.body = buffer.substr(0, len);
		buffer.erase(0, std::min(len, buffer.size()));
		return m;
	}
	int fd;
	std::string buffer;
	bool reset = false;
	int error = 0;

      private:
	static void parse(Message *m, const std::string &head)
	{
		size_t at = head.find("\r\n");

		m->first = head.substr(0, at);
		while (at != std::string::npos) {
			size_t next = head.find("\r\n", at + 2);
			std::string line = head.substr(
				at + 2,
				next == std::string::npos ? next
							  : next - at - 2);
			size_t colon = line.find(':');

			if (colon != std::string::npos) {
				size_t from = line.find_first_not_of(
					" ", colon + 1);

				m->fields.emplace_back(
					line.substr(0, colon),
					from == std::string::npos
						? ""
						: line.substr(from));
			}
			at = next;
		}
	}
};

inline std::string request(const std::string &method, const std::string &target,
			   const std::string &host, const Fields &fields = {},
			   const std::string &body = "")
{
	std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
			  "\r\n";

	for (const auto &f : fields)
		out += f.first + ": " + f.second + "\r\n";
	if (!body.empty() || method == "POST" || method == "PUT")
		out += "Content-Length: " + std::to_string(body.size()) +
		       "\r\n";
	return out + "\r\n" + body;
}

/* One call on a connection of its own. */
inline Message call(const std::string &address, const std::string &text,
		    int timeout_ms = 1000)
{
	Socket s;

	if (!s.open(address, std::min(timeout_ms, 1000)) || !s.send(text))
		return Message();
	return s.read(timeout_ms);
}

/* ---- Machines of the system ---- */

struct Bounds {
	int losses = 1;
	double budget_extra = 52;
	int lease_ms = 3000;
	int memory_mb = 260;
	int max_fds = 4100;
};

struct Machine {
	std::string id, ip, zone, folder, settings, log;
	bool control = false;
	pid_t pid = 0;
	std::string front, ready, directory, api;
};

/* The system's machines: control ones first, then entries. */
class System
{
      public:
	System(size_t n_controls, size_t n_entries, const Bounds &bounds = {})
	    : bounds(bounds)
	{
		char path[] = "/tmp/review2-XXXXXX";
		std::mt19937 random(std::random_device{}());
		std::string net = "127." + std::to_string(20 + random() % 200) +
				  "." + std::to_string(1 + random() % 250) +
				  ".";

		folder = mkdtemp(path);
		/* Ports are the same on all machines. */
		for (auto *port : { &port_internal, &port_other, &port_front,
				    &port_ready, &port_directory, &port_api })
			*port = free_port(net + "1");
		for (size_t i = 0; i < n_controls + n_entries; i++) {
			Machine m;
			auto at = [&](int port) {
				return m.ip + ":" + std::to_string(port);
			};

			m.control = i < n_controls;
			m.zone = "zone" + std::to_string(
						  m.control ? i : i % n_controls);
			m.id = std::string(m.control ? "core-" : "front-") +
			       m.zone + "-" +
			       std::to_string(m.control ? 1
							: 1 + (i - n_controls) /
								      n_controls);
			m.ip = net + std::to_string(i + 1);
			m.folder = folder + "/" + m.id;
			m.settings = m.folder + ".toml";
			m.log = m.folder + ".log";
			m.front = at(port_front);
			m.ready = at(port_ready);
			m.directory = at(port_directory);
			m.api = at(port_api);
			machines.push_back(m);
		}
		for (auto &m : machines)
			write_settings(m, true);
	}
	~System()
	{
		stop_all();
		if (!getenv("KEEP")) {
			std::string command = "rm -rf " + folder;

			if (system(command.c_str()))
				fprintf(stderr, "cannot remove %s\n",
					folder.c_str());
		}
	}
	/* As the platform fills in platform/settings.toml. */
	void write_settings(const Machine &m, bool bootstrap)
	{
		std::ofstream out(m.settings);

		out << "id = \"" << m.id << "\"\nsite = \"" << m.zone
		    << "\"\nregion = \"region\"\ncontrol = "
		    << (m.control ? "true" : "false") << "\n";
		if (m.control)
			out << "data_folder = \"" << m.folder << "\"\n";
		out << "internal_listen = \"tcp://" << m.ip << ":"
		    << port_internal << "\"\nhttp_listen = \"" << m.ip << ":"
		    << port_other << "\"\nseeds = [";
		for (size_t i = 0; i < machines.size() && i < 3; i++)
			if (machines[i].control)
				out << (i ? "," : "") << "\"" << machines[i].api
				    << "\"";
		out << "]\nbootstrap = " << (bootstrap ? "true" : "false")
		    << "\nlosses = " << bounds.losses
		    << "\n\n[timing]\nelection_timeout_ms = 500\n"
		       "heartbeat_ms = 120\nreport_interval_ms = 400\n"
		       "endpoint_lease_ms = 5000\nnode_lease_ms = 3000\n"
		       "isolated_after_ms = 2000\n\n[edge]\n";
		if (m.control)
			out << "control = \"" << m.api << "\"\n";
		else
			out << "front = \"" << m.front << "\"\nready = \""
			    << m.ready << "\"\ndirectory = \"" << m.directory
			    << "\"\n";
		out << "metrics = \"" << m.ip << ":9187\"\n";
		if (!m.control)
			out << "announce = \"" << m.ip << ":" << port_other
			    << "\"\n";
		out << "entry_validity_s = 2\ndrain_limit_ms = 7500\n"
		       "repeat_ratio = 0.2\nrepeat_window_s = 10\n"
		       "repeat_extra = "
		    << bounds.budget_extra
		    << "\norder_lease_ms = " << bounds.lease_ms
		    << "\nstore_excess = 1.1\nmemory_mb = " << bounds.memory_mb
		    << "\ndescriptors_max = " << bounds.max_fds
		    << "\ndescriptors_reserved = 200\n";
	}
	void start(Machine &m)
	{
		const char *program = getenv("PROGRAM");

		if (!program)
			program = "target/dandelionspar";
		m.pid = fork();
		if (!m.pid) {
			int fd = ::open(m.log.c_str(),
					O_WRONLY | O_CREAT | O_APPEND, 0644);

			dup2(fd, 1);
			dup2(fd, 2);
			/* Ends with the rig, also if that is killed. */
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			execl(program, program, "run", "--settings",
			      m.settings.c_str(), (char *)nullptr);
			_exit(127);
		}
		record().line("start %s pid %d", m.id.c_str(), (int)m.pid);
	}
	void start_all()
	{
		for (auto &m : machines)
			start(m);
	}
	void signal_to(Machine &m, int number)
	{
		record().line("signal %d to %s", number, m.id.c_str());
		if (m.pid)
			kill(m.pid, number);
	}
	/* SIGKILL, and waits for the end. */
	void end(Machine &m)
	{
		int status;

		if (!m.pid)
			return;
		kill(m.pid, SIGCONT);
		kill(m.pid, SIGKILL);
		waitpid(m.pid, &status, 0);
		m.pid = 0;
	}
	void stop_all()
	{
		for (auto &m : machines)
			end(m);
	}
	/* Whether the process has ended by itself; status in *status. */
	bool has_ended(Machine &m, int *status)
	{
		if (!m.pid || waitpid(m.pid, status, WNOHANG) != m.pid)
			return false;
		m.pid = 0;
		return true;
	}
	Machine &entry(size_t i = 0)
	{
		for (auto &m : machines)
			if (!m.control && !i--)
				return m;
		abort();
	}
	Message put(const std::string &manifest, size_t i = 0,
		    int timeout_ms = 4000)
	{
		Message m = call(machines[i].api,
				 request("PUT", "/dandelionspar/config",
					 "control",
					 { { "Content-Type",
					     "application/json" } },
					 manifest),
				 timeout_ms);

		record().line("PUT config to %s: %d %s",
			      machines[i].id.c_str(), m.status(),
			      m.body.substr(0, 200).c_str());
		return m;
	}
	Message get(size_t i = 0)
	{
		Message m = call(machines[i].api,
				 request("GET", "/dandelionspar/config",
					 "control"),
				 2000);

		record().line("GET config of %s: %d, %zu bytes",
			      machines[i].id.c_str(), m.status(),
			      m.body.size());
		return m;
	}
	int readiness(const Machine &m)
	{
		return call(m.ready,
			    request("GET", "/dandelionspar/ready", "ready"))
			.status();
	}
	static bool eventually(const std::function<bool()> &condition,
			       int timeout_ms = 15000, int step_ms = 50)
	{
		int64_t until = now_ms() + timeout_ms;

		while (now_ms() < until) {
			if (condition())
				return true;
			sleep_ms(step_ms);
		}
		return condition();
	}
	/* Starts all, has the manifest acknowledged, and waits for entries. */
	bool serve(const std::string &manifest)
	{
		size_t i = 0;

		start_all();
		if (!eventually([&] {
			    return put(manifest, i++ % n_controls(), 1500)
					   .status() == 200;
		    }, 20000, 200))
			return false;
		for (auto &m : machines)
			if (!m.control &&
			    !eventually([&] { return readiness(m) == 200; }))
				return false;
		return true;
	}
	size_t n_controls() const
	{
		return (size_t)std::count_if(
			machines.begin(), machines.end(),
			[](const Machine &m) { return m.control; });
	}
	std::vector<Machine> machines;
	std::string folder;
	Bounds bounds;

      private:
	static int free_port(const std::string &ip)
	{
		sockaddr_in at;
		socklen_t len = sizeof(at);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		parse_address(ip + ":0", &at);
		if (bind(fd, (sockaddr *)&at, sizeof(at)) ||
		    getsockname(fd, (sockaddr *)&at, &len))
			abort();
		close(fd);
		return ntohs(at.sin_port);
	}
	int port_internal, port_other, port_front, port_ready, port_directory,
		port_api;
};

/* ---- Runners ---- */

/*
 * A runner of a service. It announces itself each 1.2 s, refuses what names
 * another instance, and has `run` answer the rest on the connection. With
 * models it is an engine that holds them, and answers reports and orders.
 */
class Runner
{
      public:
	using Run = std::function<void(Runner &, Socket &, const Message &)>;
	/* Answers a call of the giver of orders; false: the rig does. */
	using Control =
		std::function<bool(Runner &, Socket &, const Message &)>;

	Runner(const std::string &service, const std::string &id, Run run,
	       const std::vector<std::string> &models = {},
	       const std::string &listen_at = "127.0.0.1:0")
	    : service(service), id(id), run(run), models(models),
	      born(wall_ms())
	{
		sockaddr_in at;
		socklen_t len = sizeof(at);
		char ip[32];
		int on = 1;

		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		parse_address(listen_at, &at);
		if (bind(listener, (sockaddr *)&at, sizeof(at)) ||
		    listen(listener, 256) ||
		    getsockname(listener, (sockaddr *)&at, &len))
			abort();
		inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
		address = std::string(ip) + ":" +
			  std::to_string(ntohs(at.sin_port));
		accepting = std::thread([this] { accept_all(); });
	}
	~Runner()
	{
		stop();
	}
	void stop()
	{
		stopping = true;
		if (beating.joinable())
			beating.join();
		if (listener >= 0)
			shutdown(listener, SHUT_RDWR);
		if (accepting.joinable())
			accepting.join();
		if (listener >= 0)
			close(listener);
		listener = -1;
		{
			std::lock_guard<std::mutex> hold(mutex);

			for (int fd : open)
				shutdown(fd, SHUT_RDWR);
		}
		for (auto &t : serving)
			t.join();
		serving.clear();
	}
	std::string announcement(const std::string &state = "ready")
	{
		std::string text =
			"{\"service\":\"" + service + "\",\"address\":\"" +
			address + "\",\"zone\":\"" + zone +
			"\",\"version\":\"" + software + "\",\"slots\":" +
			std::to_string(slots) + ",\"state\":\"" + state +
			"\",\"coldLeftMs\":0,\"born\":" + std::to_string(born);

		if (!models.empty())
			text += ",\"stage\":\"unified\",\"models\":" +
				models_json();
		return text + ",\"seq\":" + std::to_string(++seq) + "}";
	}
	int announce(const std::string &api, const std::string &state = "ready")
	{
		return call(api,
			    request("PUT", "/dandelionspar/instances/" + id,
				    "control",
				    { { "Content-Type", "application/json" } },
				    announcement(state)))
			.status();
	}
	/* Announces itself until the end, at the first of these that answers. */
	void beat(std::vector<std::string> apis)
	{
		beating = std::thread([this, apis] {
			size_t at = 0;

			while (!stopping) {
				size_t tries = 0;

				while (announce(apis[at % apis.size()]) / 100 !=
					       2 &&
				       ++tries < apis.size())
					at++;
				for (int i = 0; i < 24 && !stopping; i++)
					sleep_ms(50);
			}
		});
	}
	/* An answer's head; length < 0: chunked. */
	std::string head(const Message &m, int status, long length,
			 const std::string &type = "application/json") const
	{
		std::string out = "HTTP/1.1 " + std::to_string(status) +
				  " X\r\nContent-Type: " + type +
				  "\r\nX-Attempt-Id: " +
				  m.field("X-Attempt-Id") + "\r\n";

		if (status != 421 && status != 503)
			out += "X-Server-Seal: " + id + "." +
			       m.field("X-Attempt-Id") + "\r\n";
		if (!models.empty())
			out += "X-Weight-Versions: 1\r\n";
		out += "X-Server-Load: " + std::to_string(active) + ",0," +
		       std::to_string(slots) + "\r\n";
		if (length < 0)
			out += "Transfer-Encoding: chunked\r\n";
		else
			out += "Content-Length: " + std::to_string(length) +
			       "\r\n";
		return out + "\r\n";
	}
	std::string service, id, address;
	std::string zone = "zone0", software = "v1";
	int slots = 16;
	Run run;
	std::vector<std::string> models;
	int64_t born;
	std::atomic<int> active{ 0 };
	std::atomic<int> n_ran{ 0 };
	std::atomic<int> n_orders{ 0 };
	std::atomic<long> seq{ 0 };
	Control control;
	/* The models that it announces, as JSON; instead of models. */
	std::function<std::string()> models_text;
	void reply_json(Socket &s, int status, const std::string &body)
	{
		s.send(json_answer(status, body));
	}
	static std::string json_answer(int status, const std::string &body)
	{
		return "HTTP/1.1 " + std::to_string(status) +
		       " X\r\nContent-Type: application/json\r\n"
		       "Content-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}

      private:
	std::string models_json() const
	{
		std::string out = "[";

		if (models_text)
			return models_text();

		for (size_t i = 0; i < models.size(); i++)
			out += (i ? "," : "") + std::string("{\"name\":\"") +
			       models[i] + "\",\"version\":1,\"adapters\":[]}";
		return out + "]";
	}
	void serve(int fd)
	{
		Socket s(fd);

		while (!stopping) {
			Message m = s.read(3600 * 1000);
			std::string expect = m.field("X-Expect-Instance");

			if (!m.complete)
				break;
			if (!expect.empty() && expect != id) {
				s.send(head(m, 421, 0));
				continue;
			}
			if (m.target().rfind("/dandelionspar/", 0) == 0 &&
			    control && control(*this, s, m)) {
				continue;
			} else if (m.target() == "/health") {
				reply_json(s, 200, "{}");
			} else if (m.target() == "/dandelionspar/report") {
				reply_json(s, 200,
					   "{\"stage\":\"unified\",\"models\":" +
						   models_json() +
						   ",\"busy\":false,\"seq\":"
						   "0,\"queued\":0,\"active\":"
						   "0,\"kvUsed\":0,\"kvTotal\":"
						   "54845,\"handles\":0,"
						   "\"born\":" +
						   std::to_string(born) + "}");
			} else if (m.target() == "/dandelionspar/order") {
				n_orders++;
				reply_json(s, 409, "{}");
			} else {
				active++;
				n_ran++;
				record().line("run %s at %s",
					      m.field("X-Attempt-Id").c_str(),
					      id.c_str());
				run(*this, s, m);
				active--;
			}
		}
		std::lock_guard<std::mutex> hold(mutex);

		open.erase(fd);
	}
	void accept_all()
	{
		for (;;) {
			int fd = accept4(listener, nullptr, nullptr,
					 SOCK_CLOEXEC);
			int on = 1;

			if (fd < 0)
				return;
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			std::lock_guard<std::mutex> hold(mutex);

			if (stopping) {
				close(fd);
				return;
			}
			open.insert(fd);
			serving.emplace_back([this, fd] { serve(fd); });
		}
	}
	int listener;
	std::atomic<bool> stopping{ false };
	std::thread accepting, beating;
	std::vector<std::thread> serving;
	std::set<int> open;
	std::mutex mutex;
};

} // namespace rig

#endif
