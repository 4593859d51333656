#ifndef REVIEW_LIB_ENGINE_H
#define REVIEW_LIB_ENGINE_H

#include "review/lib/rig.h"

namespace rig
{

struct Model {
	std::string name;
	int mb;
	int adapters;
};

/* A manifest with one model service; the models are listed in this order. */
inline std::string engine_table(int version, const std::vector<Model> &models)
{
	std::string list;

	for (const auto &m : models)
		list += (list.empty() ? "" : ",") + ("{\"name\":\"" + m.name) +
			"\",\"weightsMb\":" + std::to_string(m.mb) +
			".0,\"loadS\":0.3,\"adapters\":" +
			std::to_string(m.adapters) +
			",\"adapterMb\":1.0,\"warmS\":0.3,\"diskS\":0.3}";
	return "{\"version\":" + std::to_string(version) +
	       ",\"routes\":[{\"name\":\"lesson-plan\",\"host\":"
	       "\"host.example\",\"pathPrefix\":\"/flow/\",\"kind\":"
	       "\"streaming\",\"timeoutMs\":15000,\"goalMs\":500,"
	       "\"priority\":1,\"service\":\"mareas-llm\",\"maxAttempts\":2,"
	       "\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250}],"
	       "\"services\":[{\"name\":\"mareas-llm\",\"healthPath\":"
	       "\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,"
	       "\"engine\":{\"slots\":64,\"kvCapacityTokens\":141676,"
	       "\"stride\":3,\"weightsMb\":100.0,\"adapterSlots\":8,"
	       "\"loadsPerS\":1.6,\"models\":[" +
	       list +
	       "]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
	       "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

inline std::map<std::string, int> weights_of(const std::vector<Model> &models)
{
	std::map<std::string, int> out;

	for (const auto &m : models)
		out[m.name] = m.mb;
	return out;
}

/* A model runner as PROTOCOL.md, "Model placement", says. */
class Engine
{
      public:
	/* weights: MB of each model; adapters: those of the model that it
	 * starts with. Adapters need no memory here. */
	Engine(const std::string &id, const std::string &model,
	       const std::map<std::string, int> &weights, int weights_mb,
	       Record &record, const std::set<std::string> &adapters = {})
	    : plain("mareas-llm", id, 64), record(record), weights(weights),
	      weights_mb(weights_mb), holds{ { model, adapters } }
	{
		plain.handler = [this](Socket &socket, const Message &m) {
			return answer(socket, m);
		};
	}
	int beat_once(const std::string &control)
	{
		std::string body;

		{
			std::lock_guard<std::mutex> guard(lock);

			body = "{\"service\":\"mareas-llm\",\"address\":\"" +
			       plain.address +
			       "\",\"zone\":\"here\",\"version\":\"v1\","
			       "\"slots\":64,\"state\":\"ready\","
			       "\"coldLeftMs\":0,\"stage\":\"unified\","
			       "\"born\":1000,\"models\":[" +
			       models() +
			       "],\"seq\":" + std::to_string(++beats) + "}";
		}
		return platform::call(
			       control,
			       platform::request(
				       "PUT",
				       "/dandelionspar/instances/" + plain.id,
				       "control",
				       "Content-Type: application/json\r\n",
				       body),
			       2000)
			.status();
	}

	PlainRunner plain;
	std::atomic<unsigned> reports{ 0 };
	std::atomic<bool> exceeded{ false };

      private:
	std::string models()
	{
		std::string list;

		for (const auto &m : holds) {
			std::string adapters;

			for (const auto &a : m.second)
				adapters += (adapters.empty() ? "\"" : ",\"") +
					    a + "\"";
			list += (list.empty() ? "" : ",") + ("{\"name\":\"" +
				m.first + "\",\"version\":1,\"adapters\":[" +
				adapters + "]}");
		}
		return list;
	}
	int mb_of(const std::string &model) const
	{
		auto at = weights.find(model);

		return at == weights.end() ? 0 : at->second;
	}
	static std::string member(const std::string &body,
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
	void finish_load()
	{
		if (loading.empty() || proc_now_ms() < loaded_ms)
			return;
		holds[loading];
		loading.clear();
	}
	int execute(const std::string &body)
	{
		std::string model = member(body, "model");
		uint64_t fence = strtoull(member(body, "fence").c_str(),
					  nullptr, 10);
		std::string adapter = member(body, "adapter");
		bool load = member(body, "operation") == "load";
		int used = mb_of(model);

		if (member(body, "holder").empty() || !fence)
			return 400;
		if (fence < highest_fence)
			return 412;
		highest_fence = fence;
		if (!loading.empty() ||
		    strtoull(member(body, "expected").c_str(), nullptr, 10) !=
			    sequence)
			return 409;
		if (!adapter.empty() && !holds.count(model))
			return 421;
		if (!adapter.empty()) {
			auto &list = holds[model];

			if (load == (list.count(adapter) > 0))
				return 200;
			sequence++;
			if (load)
				list.insert(adapter);
			else
				list.erase(adapter);
			return load ? 202 : 200;
		}
		if (load == (holds.count(model) > 0))
			return 200;
		sequence++;
		if (!load) {
			holds.erase(model);
			return 202;
		}
		for (const auto &m : holds)
			used += mb_of(m.first);
		if (used > weights_mb) {
			record.line("%s: is ordered to load %s beside what it "
				    "holds (%s): %d MB of %d MB",
				    plain.id.c_str(), model.c_str(),
				    models().c_str(), used, weights_mb);
			exceeded = true;
		}
		loading = model;
		loaded_ms = proc_now_ms() + 300;
		return 202;
	}
	bool answer(Socket &socket, const Message &m)
	{
		std::lock_guard<std::mutex> guard(lock);

		if (!m.field("X-Expect-Instance").empty() &&
		    m.field("X-Expect-Instance") != plain.id)
			return socket.send(platform::answer(421, "", ""));
		finish_load();
		if (m.target() == "/dandelionspar/report") {
			reports++;
			return socket.send(platform::answer(
				200, "Content-Type: application/json\r\n",
				"{\"stage\":\"unified\",\"models\":[" +
					models() + "],\"busy\":" +
					(loading.empty() ? "false" : "true") +
					",\"seq\":" + std::to_string(sequence) +
					",\"queued\":0,\"active\":0,\"kvUsed\":"
					"0,\"kvTotal\":141676,\"handles\":0,"
					"\"born\":1000}"));
		}
		if (m.target() == "/dandelionspar/order") {
			int status = execute(m.body);

			record.line("%s: order %s -> %d", plain.id.c_str(),
				    m.body.c_str(), status);
			return socket.send(platform::answer(status, "", "{}"));
		}
		return socket.send(platform::answer(404, "", ""));
	}

	Record &record;
	std::map<std::string, int> weights;
	int weights_mb;
	std::mutex lock;
	std::map<std::string, std::set<std::string>> holds;
	std::string loading;
	int64_t loaded_ms = 0;
	uint64_t sequence = 0, highest_fence = 0, beats = 0;
};

} // namespace rig

#endif
