#ifndef TESTS_UNIT_PAC_SIM_H
#define TESTS_UNIT_PAC_SIM_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clk.h"
#include "core/view.h"
}

/* Views and events on the manual clock, for simulated deployments. */
namespace pac_sim
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

using ViewPtr = std::unique_ptr<struct view, decltype(&view_unref)>;

struct Holding {
	std::string id;
	std::vector<std::string> models; /* none: a plain endpoint */
	uint32_t places = 16;
};

inline std::string node_id(unsigned i)
{
	return "node-" + std::to_string(i);
}

/* A view with these entries and endpoints. */
inline ViewPtr make_view(const std::set<unsigned> &nodes,
			 const std::vector<Holding> &engines)
{
	Dsp__ViewUpdate *update = g_new0(Dsp__ViewUpdate, 1);

	dsp__view_update__init(update);
	update->reset = true;
	update->to_index = 1;
	update->records =
		g_new0(Dsp__ViewRecord *, nodes.size() + engines.size());
	for (unsigned i : nodes) {
		Dsp__ViewRecord *r = g_new0(Dsp__ViewRecord, 1);
		Dsp__Node *node = g_new0(Dsp__Node, 1);

		dsp__view_record__init(r);
		dsp__node__init(node);
		node->id = g_strdup(node_id(i).c_str());
		node->http_address = g_strdup("10.0.0.1:80");
		node->weight = 1;
		r->index = 1;
		r->body_case = DSP__VIEW_RECORD__BODY_NODE;
		r->kind = r->body_case;
		r->key = g_strdup(node->id);
		r->node = node;
		update->records[update->n_records++] = r;
	}
	for (const Holding &h : engines) {
		Dsp__ViewRecord *r = g_new0(Dsp__ViewRecord, 1);
		Dsp__Endpoint *e = g_new0(Dsp__Endpoint, 1);

		dsp__view_record__init(r);
		dsp__endpoint__init(e);
		e->id = g_strdup(h.id.c_str());
		e->incarnation = 1;
		e->address = g_strdup(("10.1.0.1:" + h.id).c_str());
		e->service = g_strdup("llm");
		e->kind = h.models.empty()
				  ? DSP__ENDPOINT_KIND__ENDPOINT_SERVICE
				  : DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
		e->state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		e->max_batch = h.places;
		e->copies = g_new0(Dsp__Copy *, h.models.size());
		for (const std::string &model : h.models) {
			Dsp__Copy *copy = g_new0(Dsp__Copy, 1);

			dsp__copy__init(copy);
			copy->model = g_strdup(model.c_str());
			copy->ready = true;
			e->copies[e->n_copies++] = copy;
		}
		r->index = 1;
		r->body_case = DSP__VIEW_RECORD__BODY_ENDPOINT;
		r->kind = r->body_case;
		r->key = g_strdup(e->id);
		r->endpoint = e;
		update->records[update->n_records++] = r;
	}
	ViewPtr empty(view_new_empty(), view_unref);
	ViewPtr view(view_apply(empty.get(), update), view_unref);

	dsp__view_update__free_unpacked(update, nullptr);
	return view;
}

inline std::set<unsigned> first_nodes(unsigned n)
{
	std::set<unsigned> nodes;

	for (unsigned i = 0; i < n; i++)
		nodes.insert(i);
	return nodes;
}

/* Events in the order of their times. */
class Events
{
      public:
	~Events()
	{
		clk_free(clock);
	}

      protected:
	void at(int64_t when, std::function<void()> run)
	{
		events.push({ when, order++, std::move(run) });
	}
	int64_t now() const
	{
		return clk_now_us(clock);
	}
	void run_until(int64_t end)
	{
		while (!events.empty() && events.top().at < end) {
			Event e = events.top();

			events.pop();
			clk_advance(clock, e.at - now());
			e.run();
		}
	}

      private:
	struct Event {
		int64_t at;
		uint64_t order;
		std::function<void()> run;
		bool operator<(const Event &o) const
		{
			return at > o.at || (at == o.at && order > o.order);
		}
	};
	struct clk *clock = clk_new_manual(S, 0);
	std::priority_queue<Event> events;
	uint64_t order = 0;
};

} // namespace pac_sim

#endif
