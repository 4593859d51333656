#ifndef UNIT_POLICY_WORLD_H
#define UNIT_POLICY_WORLD_H

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/ent.h"
#include "core/plc.h"
#include "core/rt.h"
#include "core/st.h"
#include "core/view.h"
}

/*
 * Simulated deployment for tests of placement and routing: the replicated
 * state, endpoints that execute all orders, and a clock that the test sets.
 */
class World
{
      public:
	struct Model {
		std::string name;
		uint32_t memory = 10;
		uint32_t accelerators = 1;
		uint32_t min_copies = 1;
		std::string version = "1";
	};
	struct Adapter {
		std::string name;
		std::string model;
		uint32_t memory = 1;
	};
	struct Copy {
		std::string model, version, adapter;
		uint32_t first = 0, accelerators = 1, memory = 10;
		bool ready = true, unloading = false;
	};
	struct Endpoint {
		std::string id;
		std::string site = "a";
		uint32_t accelerators = 1;
		uint32_t memory = 100;
		uint32_t batch = 8;
		bool fenced = true;
		bool roles = false;
		Dsp__EndpointRole role = DSP__ENDPOINT_ROLE__ROLE_BOTH;
		Dsp__EndpointState state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		uint64_t incarnation = 1;
		std::string software;
		std::vector<Copy> copies;
		bool plain = false; /* of service p; otherwise an engine of s */
	};

	std::vector<Model> models;
	std::vector<Adapter> adapters;
	double weight_attainment = 1, weight_moves = 1;
	double loads_per_s = 100;
	uint32_t parallel_loads = 8, adapters_in_transit = 40;
	bool orders_may_duplicate = true;
	int64_t now_us = 1000000;
	struct st *st = st_new(&st_default_limits);
	struct view *view = view_new_empty();
	struct doc *doc = nullptr;
	std::vector<Dsp__Order> orders_seen;
	unsigned rejected = 0;
	std::string last_message;

	~World()
	{
		doc_free(doc);
		view_unref(view);
		st_free(st);
	}

	/* Applies a command; last_message keeps the text of the result. */
	Dsp__ResultCode apply(Dsp__Command *command)
	{
		command->wall_ms = (uint64_t)now_us / 1000;
		Dsp__CommandResult *result = st_apply(st, ++index_, command);
		Dsp__ResultCode code = result->code;

		last_message = result->message ? result->message : "";
		dsp__command_result__free_unpacked(result, NULL);
		return code;
	}

	/* The team's document (TOML) with this number. */
	std::string text(uint64_t number) const
	{
		std::string t =
			"team = \"t\"\nnumber = " + std::to_string(number) +
			"\ndefault_class = \"c0\"\n[weights]\nattainment = " +
			std::to_string(weight_attainment) +
			"\nmoves = " + std::to_string(weight_moves) +
			"\n[store]\nloads_per_s = " +
			std::to_string(loads_per_s) +
			"\nparallel_loads = " + std::to_string(parallel_loads) +
			"\nadapters_in_transit = " +
			std::to_string(adapters_in_transit) +
			"\n[[service]]\nname = \"s\"\nkind = \"engine\"\n"
			"orders_may_duplicate = " +
			(orders_may_duplicate ? "true" : "false") +
			"\n[[service]]\nname = \"p\"\nkind = \"plain\"\n";

		for (const Model &m : models)
			t += "[[model]]\nservice = \"s\"\nname = \"" + m.name +
			     "\"\nversion = \"" + m.version +
			     "\"\nmemory_mb = " + std::to_string(m.memory) +
			     "\naccelerators = " +
			     std::to_string(m.accelerators) +
			     "\nmin_copies = " + std::to_string(m.min_copies) +
			     "\n";
		for (const Adapter &a : adapters)
			t += "[[adapter]]\nname = \"" + a.name +
			     "\"\nmodel = \"" + a.model +
			     "\"\nmemory_mb = " + std::to_string(a.memory) +
			     "\n";
		t += "[[class]]\nname = \"c0\"\npriority = 0\n"
		     "first_token_ms = 1000\nshare = 0.5\nqueue_max = 100\n"
		     "[[class]]\nname = \"c1\"\npriority = 10\n"
		     "first_token_ms = 5000\nshare = 0.2\nqueue_max = 100\n";
		return t;
	}

	/* Publishes the models and adapters under the next number. */
	void put_document()
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
		std::string t = text(++number_);
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

		doc_free(doc);
		doc = doc_parse("test", t.c_str(), t.size(), faults);
		for (guint i = 0; i < faults->len; i++)
			ADD_FAILURE() << (char *)faults->pdata[i];
		g_ptr_array_free(faults, TRUE);
		put.team = (char *)"t";
		put.number = number_;
		put.text = (char *)t.c_str();
		command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
		command.document_put = &put;
		ASSERT_EQ(apply(&command), DSP__RESULT_CODE__RESULT_OK)
			<< last_message;
	}

	void put_endpoint(const Endpoint &e)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
		Dsp__Endpoint msg = DSP__ENDPOINT__INIT;
		Dsp__Features features = DSP__FEATURES__INIT;
		std::vector<Dsp__Copy> copies(e.copies.size());
		std::vector<Dsp__Copy *> pointers;

		for (size_t i = 0; i < copies.size(); i++) {
			const Copy &c = e.copies[i];

			dsp__copy__init(&copies[i]);
			copies[i].model = (char *)c.model.c_str();
			copies[i].version = (char *)c.version.c_str();
			copies[i].adapter = (char *)c.adapter.c_str();
			copies[i].first_accelerator = c.first;
			copies[i].accelerators = c.accelerators;
			copies[i].memory_mb = c.memory;
			copies[i].ready = c.ready;
			copies[i].unloading = c.unloading;
			pointers.push_back(&copies[i]);
		}
		features.fencing = e.fenced;
		features.checks_incarnation = e.fenced;
		features.roles = e.roles;
		msg.id = (char *)e.id.c_str();
		msg.incarnation = e.incarnation;
		msg.address = (char *)"http://127.0.0.1:1";
		msg.site = (char *)e.site.c_str();
		msg.team = (char *)"t";
		msg.service = (char *)(e.plain ? "p" : "s");
		msg.kind = e.plain ? DSP__ENDPOINT_KIND__ENDPOINT_SERVICE
				   : DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
		msg.state = e.state;
		msg.role = e.role;
		msg.features = &features;
		msg.accelerators = e.accelerators;
		msg.accelerator_memory_mb = e.memory;
		msg.max_batch = e.batch;
		msg.software = (char *)e.software.c_str();
		msg.n_copies = pointers.size();
		msg.copies = pointers.data();
		put.endpoint = &msg;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		command.endpoint_put = &put;
		ASSERT_EQ(apply(&command), DSP__RESULT_CODE__RESULT_OK)
			<< last_message;
	}

	void endpoint_down(const std::string &id, uint64_t incarnation = 1)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointDown down = DSP__ENDPOINT_DOWN__INIT;

		down.id = (char *)id.c_str();
		down.incarnation = incarnation;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_DOWN;
		command.endpoint_down = &down;
		ASSERT_EQ(apply(&command), DSP__RESULT_CODE__RESULT_OK);
	}

	/* Reports the end of an order: done, or refused by the engine. */
	Dsp__ResultCode finish(uint64_t order, bool done = true)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__OrderFinish finish = DSP__ORDER_FINISH__INIT;

		finish.order = order;
		finish.state = done ? DSP__ORDER_STATE__ORDER_DONE
				    : DSP__ORDER_STATE__ORDER_REFUSED;
		finish.sent_once = true;
		command.body_case = DSP__COMMAND__BODY_ORDER_FINISH;
		command.order_finish = &finish;
		return apply(&command);
	}

	void node(const std::string &id, const std::string &site,
		  uint32_t weight = 10, bool draining = false,
		  const std::string &region = "r")
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__NodePut put = DSP__NODE_PUT__INIT;
		Dsp__Node msg = DSP__NODE__INIT;

		msg.id = (char *)id.c_str();
		msg.boot = 1;
		msg.site = (char *)site.c_str();
		msg.region = (char *)region.c_str();
		msg.internal_address = (char *)"tcp://127.0.0.1:1";
		msg.http_address = (char *)"127.0.0.1:2";
		msg.weight = weight;
		msg.draining = draining;
		put.node = &msg;
		command.body_case = DSP__COMMAND__BODY_NODE_PUT;
		command.node_put = &put;
		ASSERT_EQ(apply(&command), DSP__RESULT_CODE__RESULT_OK)
			<< last_message;
	}

	void node_down(const std::string &id)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__NodeDown down = DSP__NODE_DOWN__INIT;

		down.id = (char *)id.c_str();
		down.boot = 1;
		command.body_case = DSP__COMMAND__BODY_NODE_DOWN;
		command.node_down = &down;
		ASSERT_EQ(apply(&command), DSP__RESULT_CODE__RESULT_OK);
	}

	/* Brings the view of an entry up to date with the replicated state. */
	struct view *refresh()
	{
		Dsp__ViewUpdate *update = st_view_since(st, view_index(view));
		struct view *next = view_apply(view, update);

		dsp__view_update__free_unpacked(update, NULL);
		EXPECT_NE(next, nullptr);
		view_unref(view);
		view = next;
		return view;
	}

	/* Plans one round, then applies and checks its orders one by one.
	 * Returns their number. */
	size_t plan(struct plc *plc)
	{
		Dsp__Command **commands = nullptr;
		size_t n = plc_round(plc, st, now_us, &commands);

		for (size_t i = 0; i < n; i++) {
			const Dsp__Order *o = commands[i]->order_create->order;

			if (o->kind == DSP__ORDER_KIND__ORDER_UNLOAD)
				check_unload(o);
			if (apply(commands[i]) != DSP__RESULT_CODE__RESULT_OK) {
				rejected++;
				ADD_FAILURE()
					<< "order rejected: " << last_message
					<< " model " << o->model << " kind "
					<< o->kind;
			}
			check_memory();
			dsp__command__free_unpacked(commands[i], NULL);
		}
		g_free(commands);
		return n;
	}

	/* Completes all pending orders to endpoints that are not down. */
	void complete_orders()
	{
		const Dsp__Order **pending = nullptr;
		std::vector<uint64_t> ids;
		size_t n = st_orders_pending(st, &pending);

		for (size_t i = 0; i < n; i++) {
			const Dsp__Endpoint *ep =
				st_endpoint(st, pending[i]->endpoint);

			if (ep &&
			    ep->state != DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
				ids.push_back(pending[i]->id);
		}
		g_free(pending);
		for (uint64_t id : ids)
			finish(id);
	}

	/* Plans n rounds half a second apart and completes the orders of each
	 * before the next. Returns the number of orders. */
	size_t rounds(struct plc *plc, int n)
	{
		size_t orders = 0;

		for (int i = 0; i < n; i++) {
			now_us += 500000;
			orders += plan(plc);
			complete_orders();
		}
		return orders;
	}

	/* Ready copies on endpoints that are up; empty version: any. */
	unsigned ready(const std::string &model,
		       const std::string &adapter = "",
		       const std::string &version = "") const
	{
		const Dsp__Endpoint **all = nullptr;
		size_t n = st_endpoints(st, &all);
		unsigned found = 0;

		for (size_t i = 0; i < n; i++) {
			if (all[i]->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
				continue;
			for (size_t j = 0; j < all[i]->n_copies; j++) {
				const Dsp__Copy *c = all[i]->copies[j];

				found += model == c->model &&
					 adapter == c->adapter && c->ready &&
					 !c->unloading &&
					 (version.empty() ||
					  version == c->version);
			}
		}
		g_free(all);
		return found;
	}

	/* Models without a ready copy. */
	unsigned missing() const
	{
		unsigned n = 0;

		for (const Model &m : models)
			n += ready(m.name) == 0;
		return n;
	}

	/* Checks that the copies in the state, added up for each accelerator,
	 * stay within its memory. */
	void check_memory() const
	{
		const Dsp__Endpoint **all = nullptr;
		size_t n = st_endpoints(st, &all);

		for (size_t i = 0; i < n; i++) {
			std::vector<uint64_t> used(all[i]->accelerators + 1);

			for (size_t j = 0; j < all[i]->n_copies; j++) {
				const Dsp__Copy *c = all[i]->copies[j];

				for (uint32_t k = 0; k < c->accelerators; k++)
					used[c->first_accelerator + k] +=
						c->memory_mb;
			}
			for (uint64_t mb : used)
				EXPECT_LE(mb, all[i]->accelerator_memory_mb);
		}
		g_free(all);
	}

      private:
	/* Checks that another ready copy remains, of the current version
	 * unless it is an adapter. */
	void check_unload(const Dsp__Order *o) const
	{
		std::string current;

		for (const Model &m : models)
			if (m.name == o->model)
				current = m.version;
		if (current.empty())
			return;
		if (*o->adapter) {
			for (const Adapter &a : adapters) {
				if (a.name != o->adapter || a.model != o->model)
					continue;
				EXPECT_GE(ready(o->model, o->adapter), 2u)
					<< "last copy of adapter "
					<< o->adapter;
			}
			return;
		}
		unsigned same = ready(o->model, "", current);
		bool own = current == o->version;
		EXPECT_GE(same, own ? 2u : 1u)
			<< "last ready copy of " << o->model;
	}

	uint64_t index_ = 0;
	uint64_t number_ = 0;
};

#endif
