#ifndef TESTS_PLATFORM_SYSTEM_H
#define TESTS_PLATFORM_SYSTEM_H

#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <memory>

#include "tests/platform/runner.h"

namespace platform
{

/*
 * A system under test: one process for each instance, each on a loopback
 * address of its own. Control instances come first, then entries, which take
 * calls.
 */
class System
{
      public:
	struct Instance {
		std::string id, ip, folder, settings;
		bool control;
		pid_t pid = 0;
		std::string front, ready, directory, api, metrics;
		std::string preload; /* library with faults; empty: none */
		std::string program; /* another build; empty: the present one */

		/* What tests/preload/cut_connect.c reads. */
		std::string cut_file() const
		{
			return folder + ".cut";
		}
	};

	/* edge: more lines of the section [edge] of all instances; descriptors:
	 * limit of each process, 0 for that of the test. */
	System(size_t n_controls, size_t n_entries,
	       const std::string &edge = "", unsigned descriptors = 0)
	    : internal_port(proc_free_port()), edge(edge),
	      descriptors(descriptors)
	{
		char *path = proc_temp_folder();

		folder = path;
		free(path);
		for (size_t i = 0; i < n_controls + n_entries; i++) {
			Instance x;

			x.control = i < n_controls;
			x.id = (x.control ? "core" : "front") +
			       std::to_string(i);
			x.ip = "127.0.0." + std::to_string(i + 1);
			x.folder = folder + "/" + x.id;
			x.settings = folder + "/" + x.id + ".toml";
			x.front = x.ip + ":" + std::to_string(proc_free_port());
			x.ready = x.ip + ":" + std::to_string(proc_free_port());
			x.directory =
				x.ip + ":" + std::to_string(proc_free_port());
			x.api = x.ip + ":" + std::to_string(proc_free_port());
			x.metrics =
				x.ip + ":" + std::to_string(proc_free_port());
			instances.push_back(x);
		}
		for (auto &x : instances)
			write_settings(x, true);
	}
	~System()
	{
		for (auto &x : instances)
			if (x.pid)
				proc_kill(x.pid);
		proc_remove_folder(folder.c_str());
	}

	void write_settings(const Instance &x, bool bootstrap)
	{
		std::ofstream out(x.settings);

		out << "id = \"" << x.id << "\"\nsite = \"here\"\n"
		    << "region = \"region\"\ncontrol = "
		    << (x.control ? "true" : "false") << "\n";
		if (x.control)
			out << "data_folder = \"" << x.folder << "\"\n";
		out << "internal_listen = \"tcp://" << x.ip << ":"
		    << internal_port << "\"\nhttp_listen = \"" << x.ip
		    << ":1\"\nvoters = 3\nbootstrap = "
		    << (bootstrap ? "true" : "false") << "\nseeds = [";
		for (size_t i = 0; i < instances.size() && i < 3; i++)
			if (instances[i].control)
				out << (i ? ", " : "") << "\""
				    << instances[i].api << "\"";
		out << "]\n[timing]\nelection_timeout_ms = 500\n"
		       "heartbeat_ms = 100\nreport_interval_ms = 200\n"
		       "node_lease_ms = 2000\nisolated_after_ms = 1500\n"
		       "endpoint_lease_ms = 3000\n[edge]\n"
		       "repeat_extra = 50\nrepeat_settle_ms = 0\n"
		       "prompt_pacing = true\n"
		       "order_lease_ms = 300\n"
		       "drain_limit_ms = 4000\nentry_validity_s = 1\n"
		    << "start_wait_ms = " << start_wait_ms << "\nmetrics = \""
		    << x.metrics << "\"\n"
		    << edge;
		if (x.control)
			out << "control = \"" << x.api << "\"\n";
		if (!x.control)
			out << "front = \"" << x.front << "\"\nready = \""
			    << x.ready << "\"\ndirectory = \"" << x.directory
			    << "\"\n";
	}
	void start(Instance &x)
	{
		std::string program = "build/dandelionspar";
		const char *build = getenv("BUILD");

		if (build)
			program = std::string(build) + "/dandelionspar";
		if (!x.program.empty())
			program = x.program;
		const char *argv[] = { program.c_str(), "run", "--settings",
				       x.settings.c_str(), nullptr };
		std::string limited =
			"ulimit -n " + std::to_string(descriptors) +
			" && exec " + program + " run --settings " + x.settings;
		const char *shell[] = { "/bin/sh", "-c", limited.c_str(),
					nullptr };

		if (!x.preload.empty()) {
			setenv("LD_PRELOAD", x.preload.c_str(), 1);
			setenv("CUT_FILE", x.cut_file().c_str(), 1);
		}
		x.pid = proc_start(descriptors ? shell : argv,
				   (x.folder + ".log").c_str());
		unsetenv("LD_PRELOAD");
		unsetenv("CUT_FILE");
	}
	void start_all()
	{
		for (auto &x : instances)
			start(x);
	}
	/* Polls the condition every 20 ms; returns whether it became true. */
	static bool eventually(const std::function<bool()> &condition,
			       int timeout_ms = 20000)
	{
		int64_t until = proc_now_ms() + timeout_ms;

		while (proc_now_ms() < until) {
			if (condition())
				return true;
			usleep(20000);
		}
		return condition();
	}
	/* Stores the route table; returns the HTTP status, 0 without answer. */
	int put(const std::string &table, size_t i = 0)
	{
		return call(instances[i].api,
			    request("PUT", "/dandelionspar/config", "x",
				    "Content-Type: application/json\r\n",
				    table),
			    4000)
			.status();
	}
	/* Returns the route table in force. */
	Message get(size_t i = 0)
	{
		return call(instances[i].api,
			    request("GET", "/dandelionspar/config", "x"), 4000);
	}
	/* The first instance that is no control instance, if any. */
	Instance &entry()
	{
		for (auto &x : instances)
			if (!x.control)
				return x;
		return instances[0];
	}
	/* HTTP status of the readiness check; 0 without answer. */
	int readiness(const Instance &x)
	{
		return call(x.ready,
			    request("GET", "/dandelionspar/ready", "x"), 1000)
			.status();
	}
	bool is_ready(const Instance &x)
	{
		return readiness(x) == 200;
	}
	/* Starts all instances, stores the route table and waits until the
	 * entry is ready. */
	void serve(const std::string &table)
	{
		start_all();
		ASSERT_TRUE(eventually([&] { return put(table) == 200; }))
			<< whole_logs();
		ASSERT_TRUE(eventually([&] { return is_ready(entry()); }))
			<< whole_logs();
	}
	/* The logs from their start, and which processes have ended. */
	std::string whole_logs()
	{
		std::string all;

		for (auto &x : instances) {
			std::ifstream in(x.folder + ".log");
			siginfo_t info = {};

			waitid(P_PID, (id_t)x.pid, &info,
			       WEXITED | WNOHANG | WNOWAIT);
			all += "== " + x.id + " pid " + std::to_string(x.pid) +
			       (info.si_pid
					? " ended, status " +
						  std::to_string(info.si_status)
					: " runs") +
			       "\n" +
			       std::string((std::istreambuf_iterator<char>(in)),
					   std::istreambuf_iterator<char>());
		}
		return all;
	}
	/* Starts the runner's announcements and waits until the entry routes a
	 * request on this path to it. */
	void add(Runner &runner, const std::string &path)
	{
		ASSERT_TRUE(eventually([&] {
			return runner.beat_once(instances[0].api) == 200;
		})) << logs();
		runner.beat(instances[0].api);
		ASSERT_TRUE(eventually([&] {
			size_t before = runner.n_ran();

			send("GET", path, "X-Attempt-Id: probe\r\n");
			return runner.n_ran() > before;
		})) << logs();
	}
	Message send(const std::string &method, const std::string &path,
		     const std::string &fields = "",
		     const std::string &body = "", int timeout_ms = 8000)
	{
		return call(entry().front,
			    request(method, path, "host.example", fields, body),
			    timeout_ms);
	}
	/* The last 3000 bytes of the instance's log. */
	std::string log_of(const Instance &x)
	{
		std::ifstream in(x.folder + ".log");
		std::string text((std::istreambuf_iterator<char>(in)),
				 std::istreambuf_iterator<char>());

		return text.size() > 3000 ? text.substr(text.size() - 3000)
					  : text;
	}
	std::string logs()
	{
		std::string all;

		for (auto &x : instances)
			all += "== " + x.id + "\n" + log_of(x);
		return all;
	}

	std::vector<Instance> instances;
	std::string folder;
	/* Short, so that an instance without a view refuses calls within the
	 * test's time. */
	int start_wait_ms = 100;
	uint16_t internal_port;
	std::string edge;
	unsigned descriptors;
};

/* A route table (JSON) with one plain service and one engine service. */
inline std::string table(int version, const std::string &more_routes = "",
			 const std::string &models = "")
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"routes\":["
	       "{\"name\":\"safe\",\"host\":\"host.example\",\"pathPrefix\":"
	       "\"/safe/\",\"kind\":\"safe\",\"timeoutMs\":3000,\"goalMs\":300,"
	       "\"priority\":1,\"service\":\"plain\",\"maxAttempts\":2},"
	       "{\"name\":\"once\",\"host\":\"host.example\",\"pathPrefix\":"
	       "\"/once/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"goalMs\":"
	       "300,\"priority\":1,\"service\":\"plain\",\"maxAttempts\":1},"
	       "{\"name\":\"flow\",\"host\":\"host.example\",\"pathPrefix\":"
	       "\"/flow/\",\"kind\":\"streaming\",\"timeoutMs\":8000,"
	       "\"goalMs\":500,\"priority\":0,\"service\":\"plain\","
	       "\"maxAttempts\":2,\"resumable\":true,\"gapTargetMs\":250},"
	       "{\"name\":\"model\",\"host\":\"host.example\",\"pathPrefix\":"
	       "\"/model/\",\"kind\":\"streaming\",\"timeoutMs\":8000,"
	       "\"goalMs\":500,\"priority\":0,\"service\":\"engine\","
	       "\"maxAttempts\":2,\"resumable\":true,\"gapTargetMs\":250}" +
	       more_routes +
	       "],\"services\":[{\"name\":\"plain\",\"healthPath\":\"/health\","
	       "\"maxConns\":50},{\"name\":\"engine\",\"healthPath\":"
	       "\"/health\",\"maxConns\":50,\"engine\":{\"slots\":8,"
	       "\"stride\":2,\"weightsMb\":100.0,\"adapterSlots\":8,"
	       "\"loadsPerS\":10,\"models\":[" +
	       models +
	       "]}}],\"limits\":{\"maxHeaderBytes\":2048,\"maxBodyBytes\":4096,"
	       "\"headerTimeoutMs\":700,\"idleTimeoutMs\":4000}}";
}

/* A model of the engine service in the route table. */
inline std::string model(const std::string &name, int adapters = 0,
			 int size_mb = 45)
{
	return "{\"name\":\"" + name +
	       "\",\"weightsMb\":" + std::to_string(size_mb) +
	       ".0,\"loadS\":0.1,\"adapters\":" + std::to_string(adapters) +
	       ",\"adapterMb\":0.1,\"warmS\":0.1,\"diskS\":0.1}";
}

} // namespace platform

#endif
