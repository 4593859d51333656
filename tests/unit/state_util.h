#ifndef TESTS_UNIT_STATE_UTIL_H
#define TESTS_UNIT_STATE_UTIL_H

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/st.h"
#include "core/view.h"
}

/*
 * Helpers of the tests of the replicated state (st.h, view.h): random command
 * histories, replicas to compare, and constructors of commands.
 */

using Result =
	std::unique_ptr<Dsp__CommandResult, void (*)(Dsp__CommandResult *)>;
using State = std::unique_ptr<struct st, void (*)(struct st *)>;
using View = std::unique_ptr<struct view, void (*)(struct view *)>;
using Update = std::unique_ptr<Dsp__ViewUpdate, void (*)(Dsp__ViewUpdate *)>;

inline State new_state(const struct st_limits *limits = &st_default_limits)
{
	return State(st_new(limits), st_free);
}

/* Frees the update at the end of its scope. */
inline Update own(Dsp__ViewUpdate *update)
{
	return Update(update, [](Dsp__ViewUpdate *u) {
		dsp__view_update__free_unpacked(u, nullptr);
	});
}

inline char *str(const std::string &s)
{
	return const_cast<char *>(s.c_str());
}

/*
 * One step of a random history. op selects the operation; a, b and c are its
 * random arguments. The test reduces each of them modulo what it needs.
 */
struct Step {
	uint32_t op, a, b, c;
};
using Steps = std::vector<Step>;
/* Readable steps of a history, for the report of a failure. */
using Trace = std::vector<std::string>;
/* Runs a history; returns the first failure, or an empty string. */
using Run = std::function<std::string(uint64_t seed, const Steps &, Trace *)>;

inline Steps make_steps(uint64_t seed, size_t n)
{
	std::mt19937_64 random(seed);
	Steps steps(n);

	for (Step &s : steps)
		s = { (uint32_t)random(), (uint32_t)random(),
		      (uint32_t)random(), (uint32_t)random() };
	return steps;
}

/*
 * Shrinks a failing history: removes runs of steps, halving their length down
 * to one step, and keeps each removal after which the history still fails.
 */
inline Steps shrink(uint64_t seed, Steps steps, const Run &run)
{
	for (size_t size = steps.size() / 2; size; size /= 2) {
		for (size_t at = 0; at + size <= steps.size();) {
			Steps fewer = steps;

			fewer.erase(fewer.begin() + (long)at,
				    fewer.begin() + (long)(at + size));
			if (!run(seed, fewer, nullptr).empty())
				steps = fewer;
			else
				at += size;
		}
	}
	return steps;
}

/*
 * Runs one history of the given length for each of the seeds 1 to n. With the
 * environment variable STATE_SEED, runs STATE_COUNT (default 1) seeds from
 * that one on instead. Stops at the first failing history; shrinks and prints
 * it.
 */
inline void run_histories(uint64_t n, size_t length, const Run &run)
{
	const char *from = getenv("STATE_SEED");
	const char *count = getenv("STATE_COUNT");
	uint64_t first = from ? strtoull(from, nullptr, 10) : 1;

	if (from)
		n = count ? strtoull(count, nullptr, 10) : 1;
	for (uint64_t seed = first; seed < first + n; seed++) {
		Steps steps = make_steps(seed, length);
		std::string failure = run(seed, steps, nullptr);
		std::string text;
		Trace trace;

		if (failure.empty())
			continue;
		steps = shrink(seed, steps, run);
		failure = run(seed, steps, &trace);
		for (const std::string &line : trace)
			text += "  " + line + "\n";
		FAIL() << "seed " << seed << ": " << failure << "\nhistory of "
		       << steps.size() << " steps:\n"
		       << text;
	}
}

/*
 * Two replicas of the state that apply the same commands, and two views:
 *
 * st		the reference; never restored from a snapshot
 * restored	replaced by a copy from its own snapshot on each restore();
 *		null without with_restored
 * view		updated by deltas from the restored replica
 * relayed_view	updated by deltas from view
 *
 * check() compares the replicas, and both views with the state.
 */
class Replicas
{
      public:
	explicit Replicas(const struct st_limits *limits = &st_default_limits,
			  bool with_restored = true)
	    : limits(limits), st(new_state(limits)),
	      restored(with_restored ? new_state(limits)
				     : State(nullptr, st_free)),
	      view(view_new_empty(), view_unref),
	      relayed_view(view_new_empty(), view_unref)
	{
	}

	/* Applies a command to both replicas; returns the result of st. */
	Result apply(Dsp__Command *cmd)
	{
		Result result(nullptr, [](Dsp__CommandResult *r) {
			dsp__command_result__free_unpacked(r, nullptr);
		});

		cmd->wall_ms = wall_ms;
		index++;
		if (restored)
			dsp__command_result__free_unpacked(
				st_apply(restored.get(), index, cmd), nullptr);
		result.reset(st_apply(st.get(), index, cmd));
		return result;
	}

	/* Replaces the restored replica by one from its snapshot. */
	void restore()
	{
		size_t len;
		uint8_t *data = st_snapshot(restored.get(), &len);
		State fresh = new_state(limits);

		if (!st_restore(fresh.get(), data, len))
			failure = "snapshot was rejected";
		free(data);
		restored = std::move(fresh);
	}

	void update_view()
	{
		Update update = own(
			st_view_since(restored.get(), view_index(view.get())));
		View next(view_apply(view.get(), update.get()), view_unref);

		if (!next) {
			failure = "view update was rejected";
			return;
		}
		view = std::move(next);
	}

	void update_relayed_view()
	{
		Update update = own(
			view_since(view.get(), view_index(relayed_view.get())));
		View next(view_apply(relayed_view.get(), update.get()),
			  view_unref);

		if (!next) {
			failure = "relayed view update was rejected";
			return;
		}
		relayed_view = std::move(next);
	}

	/* Updates both views. Returns the first difference, or "". */
	std::string check()
	{
		if (!restored)
			return "";
		if (st_digest(st.get()) != st_digest(restored.get()))
			return "restored replica differs from the reference";
		update_view();
		update_relayed_view();
		if (!failure.empty())
			return failure;
		for (const View *v : { &view, &relayed_view }) {
			Update want = own(st_view_since(st.get(), 0));
			Update got = own(view_since(v->get(), 0));

			if (packed(want.get()) != packed(got.get()))
				return "view built from deltas differs from "
				       "the state";
		}
		return "";
	}

	const struct st_limits *limits;
	State st, restored;
	View view, relayed_view;
	uint64_t index = 0;
	uint64_t wall_ms = 1700000000000;
	std::string failure; /* rejected snapshot or update, or empty */

      private:
	/* Serialized records of an update, sorted. */
	static std::vector<std::string> packed(const Dsp__ViewUpdate *update)
	{
		std::vector<std::string> all;

		for (size_t i = 0; i < update->n_records; i++) {
			const Dsp__ViewRecord *r = update->records[i];
			std::string bytes(dsp__view_record__get_packed_size(r),
					  '\0');

			dsp__view_record__pack(r, (uint8_t *)&bytes[0]);
			all.push_back(bytes);
		}
		std::sort(all.begin(), all.end());
		return all;
	}
};

/* Each of these applies one command to the replicas; returns its result. */

inline Result put_document(Replicas &r, const std::string &team,
			   uint64_t number, const std::string &text)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;

	put.team = str(team);
	put.number = number;
	put.text = str(text);
	cmd.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	cmd.document_put = &put;
	return r.apply(&cmd);
}

inline Result expire(Replicas &r)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__Expire body = DSP__EXPIRE__INIT;

	cmd.body_case = DSP__COMMAND__BODY_EXPIRE;
	cmd.expire = &body;
	return r.apply(&cmd);
}

inline Result put_node(Replicas &r, const std::string &id, uint64_t boot)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__NodePut put = DSP__NODE_PUT__INIT;
	Dsp__Node node = DSP__NODE__INIT;

	node.id = str(id);
	node.boot = boot;
	put.node = &node;
	cmd.body_case = DSP__COMMAND__BODY_NODE_PUT;
	cmd.node_put = &put;
	return r.apply(&cmd);
}

inline Result node_is_down(Replicas &r, const std::string &id, uint64_t boot)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__NodeDown down = DSP__NODE_DOWN__INIT;

	down.id = str(id);
	down.boot = boot;
	cmd.body_case = DSP__COMMAND__BODY_NODE_DOWN;
	cmd.node_down = &down;
	return r.apply(&cmd);
}

inline Result endpoint_is_down(Replicas &r, const std::string &id,
			       uint64_t incarnation)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__EndpointDown down = DSP__ENDPOINT_DOWN__INIT;

	down.id = str(id);
	down.incarnation = incarnation;
	cmd.body_case = DSP__COMMAND__BODY_ENDPOINT_DOWN;
	cmd.endpoint_down = &down;
	return r.apply(&cmd);
}

inline Result finish_order(Replicas &r, uint64_t id, Dsp__OrderState state,
			   bool sent_once = false)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__OrderFinish finish = DSP__ORDER_FINISH__INIT;

	finish.order = id;
	finish.state = state;
	finish.sent_once = sent_once;
	cmd.body_case = DSP__COMMAND__BODY_ORDER_FINISH;
	cmd.order_finish = &finish;
	return r.apply(&cmd);
}

inline Result create_order(Replicas &r, Dsp__Order *order)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__OrderCreate create = DSP__ORDER_CREATE__INIT;

	create.order = order;
	cmd.body_case = DSP__COMMAND__BODY_ORDER_CREATE;
	cmd.order_create = &create;
	return r.apply(&cmd);
}

inline Result put_endpoint(Replicas &r, Dsp__Endpoint *endpoint)
{
	Dsp__Command cmd = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;

	put.endpoint = endpoint;
	cmd.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	cmd.endpoint_put = &put;
	return r.apply(&cmd);
}

/* Model and adapter entries of a document for document_text(). */
struct TestModel {
	std::string name;
	uint32_t memory_mb;
	uint32_t accelerators;
	std::string version = "1";
};

struct TestAdapter {
	std::string name;
	std::string model;
	uint32_t memory_mb;
};

/* A configuration document of the team "verband" with one engine service. */
inline std::string document_text(uint64_t number, bool may_duplicate,
				 const std::vector<TestModel> &models,
				 const std::vector<TestAdapter> &adapters = {},
				 uint32_t parallel_loads = 100,
				 uint32_t adapters_in_transit = 100)
{
	std::string text =
		"team = \"verband\"\nnumber = " + std::to_string(number) +
		"\ndefault_class = \"normal\"\n[store]\n"
		"loads_per_s = 1000\nparallel_loads = " +
		std::to_string(parallel_loads) + "\nadapters_in_transit = " +
		std::to_string(adapters_in_transit) +
		"\n[[service]]\nname = \"kellerrat\"\n"
		"kind = \"engine\"\norders_may_duplicate = " +
		(may_duplicate ? "true" : "false") +
		"\n[[class]]\nname = \"normal\"\n"
		"first_token_ms = 500\n";

	for (const TestModel &m : models)
		text += "[[model]]\nname = \"" + m.name +
			"\"\nservice = \"kellerrat\"\nversion = \"" +
			m.version +
			"\"\nmemory_mb = " + std::to_string(m.memory_mb) +
			"\naccelerators = " + std::to_string(m.accelerators) +
			"\n";
	for (const TestAdapter &a : adapters)
		text += "[[adapter]]\nname = \"" + a.name + "\"\nmodel = \"" +
			a.model +
			"\"\nmemory_mb = " + std::to_string(a.memory_mb) + "\n";
	return text;
}

#endif
