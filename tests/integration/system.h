#ifndef INTEGRATION_SYSTEM_H
#define INTEGRATION_SYSTEM_H

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include <signal.h>
#include <unistd.h>

#include "lib_cluster.h"
#include "lib_fake.h"
#include "lib_http.h"
#include "lib_proc.h"
}

/* Limit of a wait, which ends as soon as its condition holds. */
constexpr int kTimeoutMs = 60000;

struct Reply {
	bool complete = false;
	long status = 0;
	std::string body;
	std::string id; /* X-Request-Id */

	/* Returns a string of the JSON error object, such as "code" or "ran";
	 * empty if there is none. */
	std::string error(const char *key) const
	{
		json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
		const char *text = json_string_value(
			json_object_get(json_object_get(root, "error"), key));
		std::string out = text ? text : "";

		json_decref(root);
		return out;
	}
};

/* An event that a fake endpoint recorded. */
struct Event {
	std::string event;
	std::string endpoint;
	std::string attempt;
	std::string body;
	std::string prompt;
	int64_t us;
};

/* A cluster of instances and fake endpoints, as real processes. Tests inject
 * faults into it and check it through its external interfaces. */
class System
{
      public:
	explicit System(size_t instances = 3, size_t voters = 3,
			bool proxies = false, const char *limits = nullptr,
			const char *timing = nullptr)
	{
		struct cluster_options options = {};

		options.instances = instances;
		options.voters = voters;
		options.proxies = proxies;
		options.limits = limits;
		options.timing = timing;
		cluster = cluster_new(&options);
		count = instances;
	}

	~System()
	{
		cluster_free(cluster, ::testing::Test::HasFailure());
	}

	System(const System &) = delete;
	System &operator=(const System &) = delete;

	void start()
	{
		cluster_start_all(cluster);
		ASSERT_TRUE(cluster_wait_all_serving(cluster, kTimeoutMs));
	}

	size_t endpoint(const char *id, std::vector<const char *> args = {})
	{
		args.push_back(nullptr);
		return cluster_start_endpoint(cluster, id, args.data());
	}

	Reply call(size_t instance, const char *method, const std::string &path,
		   const std::string &body = "",
		   const std::vector<std::string> &headers = {},
		   int timeout_ms = kTimeoutMs) const
	{
		std::vector<const char *> list = {
			"X-Team: demo", "Content-Type: application/json"
		};
		struct http_call request = {};
		Reply out;

		for (const std::string &header : headers)
			list.push_back(header.c_str());
		list.push_back(nullptr);
		request.method = method;
		request.address = cluster_http(cluster, instance);
		request.path = path.c_str();
		request.headers = list.data();
		request.body = strcmp(method, "GET") ? body.c_str() : nullptr;
		request.timeout_ms = timeout_ms;
		struct http_reply reply = http_call(&request);
		char *id = http_header(&reply, "X-Request-Id");
		out.complete = reply.complete;
		out.status = reply.status;
		out.body = reply.body->str;
		out.id = id ? id : "";
		g_free(id);
		http_reply_clear(&reply);
		return out;
	}

	/* Applies a document of the team "demo"; `more` is appended to
	 * document(). */
	Reply put_document(size_t instance, uint64_t number,
			   const std::string &more = "",
			   int timeout_ms = kTimeoutMs) const
	{
		return call(instance, "PUT", "/v1/documents/demo",
			    document(number, more), {}, timeout_ms);
	}

	static std::string document(uint64_t number,
				    const std::string &more = "")
	{
		return "team = \"demo\"\nnumber = " + std::to_string(number) +
		       "\ndefault_class = \"standard\"\n"
		       "[store]\nloads_per_s = 100\nparallel_loads = 4\n"
		       "adapters_in_transit = 8\n"
		       "[[service]]\nname = \"engine\"\nkind = \"engine\"\n"
		       "[[service]]\nname = \"bookings\"\nkind = \"plain\"\n"
		       "[[class]]\nname = \"standard\"\n"
		       "first_token_ms = 3000\ntoken_gap_ms = 2000\n"
		       "deadline_ms = 30000\n"
		       "[[non_idempotent]]\nservice = \"bookings\"\n"
		       "method = \"POST\"\npath_prefix = \"/\"\n" +
		       more;
	}

	static std::string model(const char *name, int memory_mb = 8000)
	{
		return std::string("[[model]]\nname = \"") + name +
		       "\"\nservice = \"engine\"\nmemory_mb = " +
		       std::to_string(memory_mb) + "\n";
	}

	Reply book(size_t instance, const std::string &key,
		   const std::string &body = "{\"slot\":1}",
		   int timeout_ms = kTimeoutMs) const
	{
		return call(instance, "POST", "/v1/services/bookings/slots",
			    body, { "Idempotency-Key: " + key }, timeout_ms);
	}

	Reply complete(size_t instance, const std::string &prompt,
		       uint32_t tokens, bool stream = true,
		       const char *model = "small",
		       int timeout_ms = kTimeoutMs) const
	{
		return call(
			instance, "POST", "/v1/chat/completions",
			std::string("{\"model\":\"") + model +
				"\",\"stream\":" + (stream ? "true" : "false") +
				",\"max_tokens\":" + std::to_string(tokens) +
				",\"messages\":[{\"role\":\"user\","
				"\"content\":\"" +
				prompt + "\"}]}",
			{}, timeout_ms);
	}

	static std::string text(const Reply &reply)
	{
		struct http_reply raw = {};
		raw.body = g_string_new(reply.body.c_str());
		char *text = http_completion_text(&raw);
		std::string out = text;

		g_free(text);
		g_string_free(raw.body, TRUE);
		return out;
	}

	static std::string expected(const std::string &prompt, uint32_t tokens,
				    const char *model = "small")
	{
		char *text = fake_answer(model, prompt.c_str(), tokens);
		std::string out = text;

		g_free(text);
		return out;
	}

	/* Returns the events that the endpoints recorded, in order. */
	std::vector<Event> record() const
	{
		json_t *events = cluster_record(cluster);
		std::vector<Event> out;
		const json_t *event;
		size_t i;

		json_array_foreach(events, i, event) out.push_back(
			{ string(event, "event"), string(event, "endpoint"),
			  string(event, "attempt"), string(event, "body"),
			  string(event, "prompt"),
			  json_integer_value(json_object_get(event, "us")) });
		json_decref(events);
		return out;
	}

	size_t count_events(const char *event) const
	{
		size_t n = 0;

		for (const Event &e : record())
			n += e.event == event;
		return n;
	}

	/* Counts the calls with this body or prompt that an endpoint began to
	 * execute. */
	size_t runs(const std::string &text) const
	{
		size_t n = 0;

		for (const Event &e : record())
			n += e.event == "start" &&
			     (e.body == text || e.prompt == text);
		return n;
	}

	/* Returns the first running instance that reports itself as the leader;
	 * -1: none. */
	int leader() const
	{
		for (size_t i = 0; i < count; i++) {
			if (!cluster_pid(cluster, i))
				continue;
			json_t *status = cluster_status(cluster, i);
			bool leads = string(status, "role") == "leader";

			json_decref(status);
			if (leads)
				return (int)i;
		}
		return -1;
	}

	/* Waits until an instance other than other_than is the leader. */
	int wait_leader(int other_than = -1) const
	{
		int found = -1;

		EXPECT_TRUE(wait_for([&] {
			found = leader();
			return found >= 0 && found != other_than;
		})) << "no leader";
		return found;
	}

	/* Returns the number of the document that the instance serves; 0: it
	 * does not answer or has none. */
	uint64_t number_in_force(size_t instance) const
	{
		struct http_call request = {};
		uint64_t number = 0;

		request.address = cluster_http(cluster, instance);
		request.path = "/v1/documents/demo";
		request.timeout_ms = 2000;
		struct http_reply reply = http_call(&request);
		char *text = http_header(&reply, "X-Document-Number");
		if (text)
			number = strtoull(text, nullptr, 10);
		g_free(text);
		http_reply_clear(&reply);
		return number;
	}

	static bool wait_for(const std::function<bool()> &condition,
			     int timeout_ms = kTimeoutMs)
	{
		int64_t until = proc_now_ms() + timeout_ms;

		while (!condition()) {
			if (proc_now_ms() >= until)
				return false;
			usleep(20000);
		}
		return true;
	}

	static std::string string(const json_t *object, const char *key)
	{
		const char *text =
			json_string_value(json_object_get(object, key));

		return text ? text : "";
	}

	struct cluster *cluster;
	size_t count;
};

#endif
