#ifndef TESTS_TEST_HTTP_H
#define TESTS_TEST_HTTP_H

/* C++ helpers for the tests of the traffic layer: an HTTP client, a group of
 * entries on loopback, and waiting for conditions. */

#include <arpa/inet.h>
#include <curl/curl.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "lib_fake_ctl.h"
#include "lib_stub_endpoint.h"
}

struct Reply {
	long status = 0;
	CURLcode result = CURLE_OK;
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;

	/* Returns a string or integer of the JSON body by its path of keys
	 * (an index in an array), or "" when there is none. */
	std::string at(std::initializer_list<const char *> keys) const
	{
		json_t *root = json_loads(body.c_str(), 0, nullptr);
		json_t *value = root;
		std::string out;

		for (const char *key : keys)
			value = json_is_array(value)
					? json_array_get(value, atoi(key))
					: json_object_get(value, key);
		if (json_is_string(value))
			out = json_string_value(value);
		else if (json_is_integer(value))
			out = std::to_string(json_integer_value(value));
		json_decref(root);
		return out;
	}
	std::string code() const
	{
		return at({ "error", "code" });
	}
	std::string ran() const
	{
		return at({ "error", "ran" });
	}
};

/* Waits until a condition holds; returns false after about 60 s, a limit that
 * only bounds a failing test. */
inline bool eventually(const std::function<bool()> &condition)
{
	for (int i = 0; i < 6000; i++) {
		if (condition())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	return false;
}

inline int free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	close(fd);
	return ntohs(address.sin_port);
}

/* One HTTP call. data is called after each piece of the body; when it returns
 * false, the connection is closed. */
struct Call {
	std::string method = "GET";
	std::string url;
	std::vector<std::string> headers;
	std::string body;
	std::function<bool(const Reply &)> data;

	Reply run() const
	{
		struct State {
			const Call *call;
			Reply reply;
		} state = { this, {} };
		CURL *easy = curl_easy_init();
		struct curl_slist *list = nullptr;

		list = curl_slist_append(list, "Expect:");
		for (const auto &header : headers)
			list = curl_slist_append(list, header.c_str());
		curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
		curl_easy_setopt(easy, CURLOPT_PROXY, "");
		curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
		curl_easy_setopt(easy, CURLOPT_TIMEOUT, 120L);
		curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
		if (!body.empty() || method == "POST" || method == "PUT") {
			curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
					 body.c_str());
			curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
					 (curl_off_t)body.size());
		}
		curl_easy_setopt(
			easy, CURLOPT_HEADERFUNCTION,
			+[](char *p, size_t s, size_t n, void *d) -> size_t {
				auto *st = (State *)d;
				std::string line(p, s * n);
				size_t colon = line.find(':');

				if (colon == std::string::npos)
					return s * n;
				std::string name = line.substr(0, colon);
				for (auto &c : name)
					c = (char)tolower(c);
				size_t end = line.find_last_not_of("\r\n");
				size_t from =
					line.find_first_not_of(' ', colon + 1);
				st->reply.headers[name] =
					line.substr(from, end + 1 - from);
				return s * n;
			});
		curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
		curl_easy_setopt(
			easy, CURLOPT_WRITEFUNCTION,
			+[](char *p, size_t s, size_t n, void *d) -> size_t {
				auto *st = (State *)d;

				st->reply.body.append(p, s * n);
				if (st->call->data &&
				    !st->call->data(st->reply))
					return 0;
				return s * n;
			});
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
		state.reply.result = curl_easy_perform(easy);
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE,
				  &state.reply.status);
		curl_slist_free_all(list);
		curl_easy_cleanup(easy);
		return state.reply;
	}
};

/* Returns the text of a streamed response, with "E" for each error event and a
 * final "!" when [DONE] is missing. */
inline std::string stream_text(const std::string &body)
{
	std::string out;
	bool done = false;
	size_t at = 0;

	while (at < body.size()) {
		size_t end = body.find("\n\n", at);
		std::string event = body.substr(at, end - at);

		at = end == std::string::npos ? body.size() : end + 2;
		if (event.rfind("data: ", 0) != 0)
			continue;
		event = event.substr(6);
		if (event == "[DONE]") {
			done = true;
			continue;
		}
		json_t *root = json_loads(event.c_str(), 0, nullptr);
		json_t *choice =
			json_array_get(json_object_get(root, "choices"), 0);
		const char *chat = json_string_value(json_object_get(
			json_object_get(choice, "delta"), "content"));
		const char *text =
			json_string_value(json_object_get(choice, "text"));

		out += chat ? chat : text ? text : "";
		if (json_object_get(root, "error"))
			out += "E";
		json_decref(root);
	}
	return done ? out : out + "!";
}

inline std::string words(uint32_t n)
{
	std::string out;

	for (uint32_t i = 0; i < n; i++)
		out += "w" + std::to_string(i) + " ";
	return out;
}

/* Returns the deploy document of the tests. */
inline std::string test_document(int number = 1)
{
	return "team = \"verband\"\nnumber = " + std::to_string(number) + R"(
default_class = "staff"
[weights]
attainment = 1.0
moves = 4.0
[store]
loads_per_s = 1.0
parallel_loads = 5
adapters_in_transit = 40
[[service]]
name = "kellerrat"
kind = "engine"
[[service]]
name = "pressplan"
kind = "plain"
[[model]]
name = "brine-7b"
service = "kellerrat"
memory_mb = 1000
[[adapter]]
name = "picual"
model = "brine-7b"
memory_mb = 200
[[class]]
name = "staff"
priority = 3
first_token_ms = 20000
share = 0.5
[[non_idempotent]]
service = "pressplan"
path_prefix = "/slots"
)";
}

struct Entry {
	struct set *settings = nullptr;
	struct clk *clock = clk_new_real();
	struct met *metrics = met_new();
	struct trf *trf = nullptr;
	struct fake_entry *ctl = nullptr;
	int port = free_port();

	Entry(struct fake_group *group, const std::string &id,
	      const std::string &extra)
	{
		std::string address = "127.0.0.1:" + std::to_string(port);
		std::string text = "id = \"" + id + R"("
site = "muenchen"
region = "bayern"
control = true
data_folder = "/tmp/none"
internal_listen = "tcp://127.0.0.1:7001"
http_listen = ")" + address + "\"\n[[peer]]\nid = \"" +
				   id + R"("
address = "tcp://127.0.0.1:7001"
site = "muenchen"
)" + extra;
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		GError *err = nullptr;

		settings = set_parse("test", text.data(), text.size(), faults);
		if (!settings) {
			ADD_FAILURE() << (const char *)faults->pdata[0];
			abort();
		}
		g_ptr_array_unref(faults);
		trf = trf_new(settings, clock, metrics);
		ctl = fake_group_join(group, trf, id.c_str(), address.c_str(),
				      &err);
		if (!ctl) {
			ADD_FAILURE() << err->message;
			abort();
		}
	}
	Entry(const Entry &) = delete;
	~Entry()
	{
		trf_stop(trf, 30);
		trf_free(trf);
		met_free(metrics);
		clk_free(clock);
		set_free(settings);
	}
	std::string url(const std::string &path) const
	{
		return "http://127.0.0.1:" + std::to_string(port) + path;
	}
	uint64_t metric(const char *name, const char *labels = "") const
	{
		return met_value(metrics, name, labels);
	}
	Reply call(const std::string &method, const std::string &path,
		   const std::vector<std::string> &headers = {},
		   const std::string &body = "") const
	{
		Call c;

		c.method = method;
		c.url = url(path);
		c.headers = headers;
		c.body = body;
		return c.run();
	}
	Reply chat(bool stream,
		   const std::vector<std::string> &headers = {}) const
	{
		std::vector<std::string> all = headers;

		all.push_back("X-Team: verband");
		return call("POST", "/v1/chat/completions", all,
			    chat_body(stream));
	}
	static std::string chat_body(bool stream,
				     const std::string &text = "hello")
	{
		return std::string("{\"model\":\"brine-7b\",\"stream\":") +
		       (stream ? "true" : "false") +
		       ",\"messages\":[{\"role\":\"user\",\"content\":\"" +
		       text + "\"}]}";
	}
	Reply book(const std::string &key, const std::string &body = "{}",
		   const std::vector<std::string> &headers = {}) const
	{
		std::vector<std::string> all = headers;

		all.push_back("X-Team: verband");
		all.push_back("Idempotency-Key: " + key);
		return call("POST", "/v1/services/pressplan/slots/7", all,
			    body);
	}
};

class TrafficTest : public testing::Test
{
      protected:
	static constexpr uint32_t kTokens = 6;
	struct fake_group *group = fake_group_new();
	struct stub *model = stub_new(kTokens);
	struct stub *plain = stub_new(0);
	std::vector<std::unique_ptr<Entry>> entries;
	/* The silence limit is short because tests wait until it has passed. */
	std::string extra = "[timing]\nsilence_limit_ms = 400\n";

	Entry &start(const std::string &more = "")
	{
		std::string id = "muc" + std::to_string(entries.size() + 1);

		if (entries.empty())
			fake_group_put_document(group, "verband", 1,
						test_document().c_str());
		entries.emplace_back(new Entry(group, id, extra + more));
		return *entries.back();
	}
	/* Two endpoints of each service at one address, so that a fault set
	 * for one request hits the first attempt, wherever it goes. */
	void add_endpoints(bool resume)
	{
		for (const char *id : { "r1", "r2" })
			fake_group_put_endpoint(
				group, id, 1, stub_address(model), "verband",
				"kellerrat", "brine-7b", "picual", resume);
		for (const char *id : { "p1", "p2" })
			fake_group_put_endpoint(
				group, id, 1, stub_address(plain), "verband",
				"pressplan", nullptr, nullptr, false);
	}
	/* A server needs up to 2 s to stop, so they are stopped in parallel. */
	void TearDown() override
	{
		std::vector<std::thread> stops;

		stub_release(model);
		stub_release(plain);
		for (auto &entry : entries)
			stops.emplace_back([&] { entry.reset(); });
		for (auto &stop : stops)
			stop.join();
		std::thread other([&] { stub_free(plain); });
		stub_free(model);
		other.join();
		fake_group_free(group);
	}
	struct stub_request request(struct stub *stub, size_t i)
	{
		struct stub_request r = {};

		EXPECT_TRUE(stub_request(stub, i, &r));
		return r;
	}
};

#endif
