#ifndef REVIEW_LIB_RIG_H
#define REVIEW_LIB_RIG_H

/*
 * A small deployment on loopback addresses for the cases of this review: the
 * program of the deploy file with settings as platform/settings.toml gives
 * them, and the project's stand-in runner (tests/platform/runner.h).
 */

#include <signal.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <fstream>

#include "tests/platform/runner.h"

namespace rig
{

using platform::Message;
using platform::Runner;
using platform::Socket;

/* What was sent, answered and run, with the time in ms since the start. */
class Record
{
      public:
	explicit Record(const char *path) : out(fopen(path, "w"))
	{
		start = proc_now_ms();
	}
	~Record()
	{
		if (out)
			fclose(out);
	}
	void line(const char *format, ...)
	{
		std::lock_guard<std::mutex> guard(lock);
		va_list args;

		if (!out)
			return;
		fprintf(out, "%7lld ms  ", (long long)(proc_now_ms() - start));
		va_start(args, format);
		vfprintf(out, format, args);
		va_end(args);
		fputc('\n', out);
		fflush(out);
	}

      private:
	FILE *out;
	int64_t start;
	std::mutex lock;
};

struct Instance {
	std::string id, ip, folder, settings, log;
	bool control;
	pid_t pid = 0;
	std::string front, ready, directory, api;
};

class Deployment
{
      public:
	Deployment(size_t n_controls, size_t n_entries)
	    : internal_port(proc_free_port())
	{
		char *path = proc_temp_folder();

		folder = path;
		free(path);
		for (size_t i = 0; i < n_controls + n_entries; i++) {
			Instance x;

			x.control = i < n_controls;
			x.id = (x.control ? "core-" : "front-") +
			       std::to_string(x.control ? i : i - n_controls);
			x.ip = "127.0.0." + std::to_string(i + 1);
			x.folder = folder + "/" + x.id;
			x.settings = x.folder + ".toml";
			x.log = x.folder + ".log";
			x.front = x.ip + ":" + std::to_string(proc_free_port());
			x.ready = x.ip + ":" + std::to_string(proc_free_port());
			x.directory =
				x.ip + ":" + std::to_string(proc_free_port());
			x.api = x.ip + ":" + std::to_string(proc_free_port());
			instances.push_back(x);
		}
		for (auto &x : instances)
			write_settings(x, true);
	}
	~Deployment()
	{
		for (auto &x : instances)
			if (x.pid)
				proc_kill(x.pid);
		if (!getenv("KEEP"))
			proc_remove_folder(folder.c_str());
	}

	/* As platform/settings.toml with the bounds of olas-cantabria. */
	void write_settings(const Instance &x, bool bootstrap)
	{
		std::ofstream out(x.settings);

		out << "id = \"" << x.id << "\"\nsite = \"here\"\n"
		    << "region = \"region\"\ncontrol = "
		    << (x.control ? "true" : "false") << "\n";
		if (x.control)
			out << "data_folder = \"" << x.folder << "\"\n";
		out << "internal_listen = \"tcp://" << x.ip << ":"
		    << internal_port << "\"\nhttp_listen = \"" << x.ip << ":"
		    << proc_free_port() << "\"\nseeds = [";
		for (size_t i = 0; i < instances.size() && i < 3; i++)
			if (instances[i].control)
				out << (i ? ", " : "") << "\""
				    << instances[i].api << "\"";
		out << "]\nbootstrap = " << (bootstrap ? "true" : "false")
		    << "\nlosses = 1\n\n[timing]\nelection_timeout_ms = 500\n"
		       "heartbeat_ms = 120\nreport_interval_ms = 400\n"
		       "endpoint_lease_ms = 5000\nnode_lease_ms = 3000\n"
		       "isolated_after_ms = 2000\n\n[edge]\n";
		if (x.control)
			out << "control = \"" << x.api << "\"\n";
		else
			out << "front = \"" << x.front << "\"\nready = \""
			    << x.ready << "\"\ndirectory = \"" << x.directory
			    << "\"\n";
		out << "metrics = \"" << x.ip << ":" << proc_free_port()
		    << "\"\nentry_validity_s = 2\ndrain_limit_ms = 7500\n"
		       "repeat_ratio = 0.2\nrepeat_window_s = 10\n"
		       "repeat_extra = 54\norder_lease_ms = 3000\n"
		       "store_excess = 1.1\n";
	}
	void start(Instance &x)
	{
		const char *argv[] = { "target/dandelionspar", "run",
				       "--settings", x.settings.c_str(),
				       nullptr };

		x.pid = proc_start(argv, x.log.c_str());
	}
	Instance &control(size_t i = 0)
	{
		return instances[i];
	}
	Instance &entry(size_t i = 0)
	{
		for (auto &x : instances)
			if (!x.control && !i--)
				return x;
		abort();
	}
	int put(const std::string &table, size_t i = 0)
	{
		return platform::call(
			       instances[i].api,
			       platform::request(
				       "PUT", "/dandelionspar/config", "x",
				       "Content-Type: application/json\r\n",
				       table),
			       4000)
			.status();
	}
	bool is_ready(const Instance &x)
	{
		return platform::call(x.ready,
				      platform::request("GET",
							"/dandelionspar/ready",
							"x"),
				      1000)
			       .status() == 200;
	}
	static bool eventually(const std::function<bool()> &condition,
			       int timeout_ms)
	{
		int64_t until = proc_now_ms() + timeout_ms;

		while (proc_now_ms() < until) {
			if (condition())
				return true;
			usleep(20000);
		}
		return condition();
	}
	/* Starts all, stores the manifest and waits until the entries are
	 * ready. */
	bool serve(const std::string &table)
	{
		for (auto &x : instances)
			start(x);
		if (!eventually([&] { return put(table) == 200; }, 15000))
			return false;
		return eventually(
			[&] {
				for (auto &x : instances)
					if (!x.control && !is_ready(x))
						return false;
				return true;
			},
			10000);
	}
	/* Announces a runner as the pages say, each 1.2 s. */
	template <class R> bool announce(R &runner)
	{
		return eventually(
			[&] {
				return runner.beat_once(instances[0].api) ==
				       200;
			},
			5000);
	}

	std::vector<Instance> instances;
	std::string folder;
	uint16_t internal_port;
};

/* A runner that runs `slots` requests at once, queues `queue` more and rejects
 * those beyond, as PROTOCOL.md, "Runners", says. */
class Places
{
      public:
	Places(unsigned slots, unsigned queue) : slots(slots), queue(queue)
	{
	}
	bool take()
	{
		std::unique_lock<std::mutex> guard(lock);

		if (running + waiting >= slots + queue)
			return false;
		waiting++;
		freed.wait(guard, [this] { return running < slots; });
		waiting--;
		running++;
		return true;
	}
	void give()
	{
		std::lock_guard<std::mutex> guard(lock);

		running--;
		freed.notify_one();
	}
	std::string load()
	{
		std::lock_guard<std::mutex> guard(lock);

		return "X-Server-Load: " + std::to_string(running) + "," +
		       std::to_string(waiting) + "," + std::to_string(slots) +
		       "\r\n";
	}

      private:
	unsigned slots, queue, running = 0, waiting = 0;
	std::mutex lock;
	std::condition_variable freed;
};

/* A runner of a plain service that keeps no copy of what it has read. */
class PlainRunner
{
      public:
	using Handler = std::function<bool(Socket &, const Message &)>;

	PlainRunner(const std::string &service, const std::string &id,
		    unsigned slots)
	    : id(id), service(service), slots(slots)
	{
		struct sockaddr_in in = {};
		socklen_t len = sizeof(in);

		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		in.sin_family = AF_INET;
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (::bind(listener, (struct sockaddr *)&in, sizeof(in)) < 0)
			abort();
		listen(listener, 256);
		getsockname(listener, (struct sockaddr *)&in, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(in.sin_port));
		acceptor = std::thread([this] { accept_all(); });
	}
	~PlainRunner()
	{
		stopping = true;
		shutdown(listener, SHUT_RDWR);
		acceptor.join();
		close(listener);
		for (auto &t : threads)
			t.join();
	}
	int beat_once(const std::string &control)
	{
		std::string body =
			"{\"service\":\"" + service + "\",\"address\":\"" +
			address +
			"\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":" +
			std::to_string(slots) +
			",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1000,"
			"\"seq\":" +
			std::to_string(++beats) + "}";

		return platform::call(
			       control,
			       platform::request(
				       "PUT", "/dandelionspar/instances/" + id,
				       "control",
				       "Content-Type: application/json\r\n",
				       body),
			       2000)
			.status();
	}
	std::string seal() const
	{
		return "X-Server-Seal: seal-" + id + "\r\n";
	}

	std::string id, service, address;
	unsigned slots;
	Handler handler; /* set before use */

      private:
	void accept_all()
	{
		while (!stopping) {
			int fd = accept4(listener, nullptr, nullptr,
					 SOCK_CLOEXEC);

			if (fd < 0)
				return;
			threads.emplace_back([this, fd] {
				Socket socket(fd);
				Message m;

				while (!stopping) {
					if (!socket.read(&m, 100)) {
						if (socket.ended)
							return;
						continue;
					}
					if (!handler(socket, m))
						return;
				}
			});
		}
	}

	int listener;
	std::atomic<bool> stopping{ false };
	std::thread acceptor;
	std::vector<std::thread> threads;
	uint64_t beats = 0;
};

inline bool trouble()
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

} // namespace rig

#endif
