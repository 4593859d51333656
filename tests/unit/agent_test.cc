#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "state_util.h"
#include "tests/platform/system.h"

/* edge_int.h is C11. _Atomic is defined away, since the test needs only the
 * layout of the structures. */
#define _Atomic
extern "C" {
#include "edge/edge_int.h"
#include "node/ctl.h"
}
#undef _Atomic

/*
 * The agent, which sends the leader's orders to engines, against a simulated
 * engine. The test sets the leadership.
 *
 * Run alone: build/unit/agent_test [--gtest_filter=...].
 */
namespace
{

struct ctl_leadership leadership;

} // namespace

/* Replaces the function of the control thread. */
extern "C" struct ctl_leadership ctl_leadership(struct ctl *)
{
	return leadership;
}

extern "C" void ctl_announce(struct ctl *, const Dsp__Announcement *)
{
}

/* Counts what the instance reports of endpoints that leave. */
static int reported_leaving;

extern "C" void ctl_observed_load(struct ctl *, const Dsp__LoadReport *report)
{
	reported_leaving += report->leaving;
}

using namespace platform;

namespace
{

class Agent : public ::testing::TestWithParam<bool>
{
      protected:
	State state = new_state();
	uint64_t index = 0;
	struct set set = {};
	struct edge edge = {};
	Runner engine{ "engine", "i-e", true };

	void SetUp() override
	{
		set.id = (char *)"core0";
		set.edge.store_excess = 1.1;
		edge.set = &set;
		edge.clock = clk_new_real();
		edge.met = met_new();
		edge.base = event_base_new();
		edge.client = hio_client_new(edge.base, edge.clock);
		edge.view = view_new_empty();
		edge.bal = bal_new();
		edge.agent = agent_new(&edge);
		leadership = {};
		leadership.leads = true;
		leadership.term = 1;
		leadership.until_us = INT64_MAX;
	}
	void TearDown() override
	{
		agent_free(edge.agent);
		bal_free(edge.bal);
		hio_client_free(edge.client);
		view_unref(edge.view);
		event_base_free(edge.base);
		met_free(edge.met);
		clk_free(edge.clock);
	}
	void apply(Dsp__Command *command)
	{
		dsp__command_result__free_unpacked(
			st_apply(state.get(), ++index, command), nullptr);
	}
	void put_table(const std::string &text)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__RouteTablePut put = DSP__ROUTE_TABLE_PUT__INIT;

		put.table = wire_read_route_table(text.c_str(), text.size(),
						  nullptr);
		ASSERT_NE(put.table, nullptr);
		command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
		command.route_table_put = &put;
		apply(&command);
		dsp__route_table__free_unpacked(put.table, nullptr);
	}
	/* Applies the engine's announcement to the replicated state. */
	void put_engine()
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
		std::string text = engine.announcement();
		Dsp__Announcement *a = wire_read_announcement(
			"i-e", text.c_str(), text.size(), nullptr);

		ASSERT_NE(a, nullptr);
		a->endpoint->state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		put.endpoint = a->endpoint;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		command.endpoint_put = &put;
		apply(&command);
		dsp__announcement__free_unpacked(a, nullptr);
	}
	void refresh()
	{
		Dsp__ViewUpdate *update =
			st_view_since(state.get(), view_index(edge.view));
		struct view *next = view_apply(edge.view, update);

		ASSERT_NE(next, nullptr);
		dsp__view_update__free_unpacked(update, nullptr);
		/* The agent still points to the route table of the old view. */
		old_views.push_back(edge.view);
		edge.view = next;
		bal_set_view(edge.bal, next, "core0");
		agent_view_changed(edge.agent);
	}
	void add_demand(int adapter)
	{
		Dsp__Demand demand = DSP__DEMAND__INIT;
		std::string name = "a" + std::to_string(adapter);

		demand.team = (char *)"platform";
		demand.model = (char *)"m";
		demand.adapter = name.data();
		demand.requests = demand.refused = 1;
		agent_demand(edge.agent, &demand);
	}
	void run_loop(int ms)
	{
		timeval wait = { 0, ms * 1000 };

		event_base_loopexit(edge.base, &wait);
		event_base_dispatch(edge.base);
	}
	bool run_until(const std::function<bool()> &condition)
	{
		for (int i = 0; i < 2000 && !condition(); i++) {
			agent_tick(edge.agent, clk_now_us(edge.clock));
			run_loop(10);
		}
		return condition();
	}
	size_t orders()
	{
		std::lock_guard<std::mutex> guard(engine.lock);

		return engine.orders;
	}
	void release_views()
	{
		for (auto *view : old_views)
			view_unref(view);
	}
	std::vector<struct view *> old_views;
};

} // namespace

/*
 * Guards against overloading an engine after the leader lost its quorum for a
 * moment: the leader took the copies of the engine from the view, which lacked
 * its last order, and sent the next order when that one was answered, before it
 * had read the engine's state. The answer arrives before or after the tick at
 * which the leader resumes (the parameter).
 */
TEST_P(Agent, ReadsEngineStateAgainBeforeItSendsOrders)
{
	for (int a = 1; a <= 7; a++)
		engine.holds["m"].push_back("a" + std::to_string(a));
	put_table(table(1, "", model("m", 30)));
	put_engine();
	refresh();
	/* The eighth adapter slot goes to an order that is answered late. */
	engine.order_delay_ms = 300;
	ASSERT_TRUE(run_until([&] {
		add_demand(20);
		return orders() == 1;
	}));
	leadership.until_us = 0;
	agent_tick(edge.agent, clk_now_us(edge.clock));
	/* A view that does not show the effect of that order yet. */
	engine.slots = 9;
	engine.announced_stale = true;
	{
		std::lock_guard<std::mutex> guard(engine.lock);

		engine.stale = engine.holds;
		engine.stale["m"].pop_back();
	}
	put_engine();
	refresh();
	leadership.until_us = INT64_MAX;
	if (GetParam())
		agent_tick(edge.agent, clk_now_us(edge.clock));
	for (int a = 21; a < 25; a++) {
		add_demand(a);
		run_loop(100);
	}
	EXPECT_FALSE(engine.overloaded);
	EXPECT_EQ(orders(), 1u);
	/* Orders resume, within the slots that are free. */
	EXPECT_TRUE(run_until([&] {
		add_demand(21);
		return orders() > 1;
	}));
	EXPECT_FALSE(engine.overloaded);
	for (auto *view : old_views)
		view_unref(view);
}

/* Guards against a plan for each event: while all engines answered, plans left
 * no processor time to the control thread, and the leader lost its quorum. */
TEST_P(Agent, EventsShareAPlan)
{
	const char *plans = "dandelionspar_agent_plans";
	uint64_t before;

	put_table(table(1, "", model("m", 30)));
	put_engine();
	refresh();
	agent_tick(edge.agent, clk_now_us(edge.clock));
	before = met_value(edge.met, plans, "");
	for (int i = 0; i < 200; i++)
		add_demand(1);
	/* A plan in 20 ms, however long the loop took. */
	EXPECT_LE(met_value(edge.met, plans, "") - before, 3u);
	run_loop(60);
	EXPECT_GE(met_value(edge.met, plans, "") - before, 1u);
	for (auto *view : old_views)
		view_unref(view);
}

INSTANTIATE_TEST_SUITE_P(AnswerAfterTheTick, Agent, ::testing::Bool());

using AgentHint = Agent;

TEST_F(AgentHint, PausedEngineGetsNoCallUntilThePauseEnds)
{
	put_table(table(1, "", model("m", 30)));
	put_engine();
	refresh();
	engine.paused_reports = true;
	ASSERT_TRUE(run_until([&] { return engine.reports == 1; }));
	int64_t start = proc_now_ms();
	engine.paused_reports = false;
	run_until([&] { return proc_now_ms() - start > 1900; });
	EXPECT_EQ(engine.reports, 1u);
	EXPECT_EQ(orders(), 0u);
	EXPECT_TRUE(run_until([&] { return engine.reports > 1; }));
	for (auto *view : old_views)
		view_unref(view);
}

TEST_F(AgentHint, EngineThatSaysThatItLeavesGetsNoOrder)
{
	reported_leaving = 0;
	put_table(table(1, "", model("m", 30)));
	put_engine();
	refresh();
	engine.leaving_reports = true;
	ASSERT_TRUE(run_until([&] { return engine.reports == 1; }));
	ASSERT_TRUE(run_until([&] { return reported_leaving > 0; }));
	for (int i = 0; i < 200; i++) {
		add_demand(1);
		agent_tick(edge.agent, clk_now_us(edge.clock));
		run_loop(10);
	}
	EXPECT_EQ(orders(), 0u);
	EXPECT_EQ(engine.reports, 1u);
	for (auto *view : old_views)
		view_unref(view);
}

using AgentDocument = Agent;

/*
 * Guards against orders beyond an engine's memory after a change of the
 * document: the agent kept the copies of an engine as positions in the list of
 * models, and a document with a further model in front moved those positions.
 * The engine holds the large model, which was then taken for the small one.
 */
TEST_F(AgentDocument, ModelAddedInFrontKeepsWhatEnginesHold)
{
	std::string known = model("large", 0, 90) + "," + model("other", 0, 20);

	engine.memory_mb = 100;
	engine.sizes_mb = { { "first", 5 }, { "large", 90 }, { "other", 20 } };
	engine.holds["large"];
	put_table(table(1, "", known));
	put_engine();
	refresh();
	/* Planned once with the old list: the other model has no room. */
	ASSERT_TRUE(run_until([&] { return engine.reports >= 2; }));
	ASSERT_EQ(orders(), 0u);
	put_table(table(2, "", model("first", 0, 5) + "," + known));
	refresh();
	ASSERT_TRUE(run_until([&] { return engine.reports >= 4; }));
	EXPECT_FALSE(engine.overloaded);
	release_views();
}

/*
 * Guards against the end of the leader's process when a document no longer
 * lists a model that an engine holds with an adapter: its position was then
 * behind the end of the list. The model stays counted until it is unloaded, and
 * its memory is available to others afterwards.
 */
TEST_F(AgentDocument, WithdrawnModelIsCountedUntilItIsUnloaded)
{
	std::string kept = model("kept", 0, 20);

	engine.memory_mb = 100;
	engine.sizes_mb = { { "kept", 20 }, { "withdrawn", 90 } };
	engine.holds["withdrawn"] = { "a7" };
	put_table(table(1, "", kept + "," + model("withdrawn", 9, 90)));
	put_engine();
	refresh();
	ASSERT_TRUE(run_until([&] { return engine.reports >= 2; }));
	put_table(table(2, "", kept));
	refresh();
	EXPECT_TRUE(run_until([&] {
		std::lock_guard<std::mutex> guard(engine.lock);

		return engine.holds.count("kept") > 0;
	}));
	EXPECT_EQ(engine.holds.count("withdrawn"), 0u);
	EXPECT_FALSE(engine.overloaded);
	release_views();
}

/* Guards against an index behind a model's adapters: the document lists fewer
 * adapters of a model than an engine holds. */
TEST_F(AgentDocument, FewerAdaptersThanAnEngineHolds)
{
	for (int a = 3993; a <= 4000; a++)
		engine.holds["m"].push_back("a" + std::to_string(a));
	put_table(table(1, "", model("m", 4000)));
	put_engine();
	refresh();
	ASSERT_TRUE(run_until([&] { return engine.reports >= 2; }));
	put_table(table(2, "", model("m", 2)));
	refresh();
	ASSERT_TRUE(run_until([&] {
		add_demand(2);
		return orders() >= 2;
	}));
	EXPECT_FALSE(engine.overloaded);
	release_views();
}

/* Guards against an engine whose report names models without end: only as many
 * as the agent keeps for an engine get a number. */
TEST_F(AgentDocument, ReportWithManyModelsIsBounded)
{
	const char *numbers = "dandelionspar_agent_model_numbers";
	size_t reports;

	put_table(table(1, "", model("m")));
	put_engine();
	refresh();
	{
		std::lock_guard<std::mutex> guard(engine.lock);

		for (int i = 0; i < 5000; i++)
			engine.holds["junk" + std::to_string(i)];
	}
	reports = engine.reports;
	ASSERT_TRUE(run_until([&] { return engine.reports > reports + 1; }));
	put_table(table(2, "", model("m")));
	refresh();
	EXPECT_GT(met_value(edge.met, numbers, ""), 1u);
	EXPECT_LE(met_value(edge.met, numbers, ""), 100u);
	release_views();
}

/*
 * Random documents while orders are under way: models come, leave, return, move
 * in the list and change their sizes. The engine is never ordered to load more
 * than its memory holds.
 */
using AgentDocumentHistory = Agent;

TEST_F(AgentDocumentHistory, EngineIsNeverOverloaded)
{
	const char *seed = getenv("SEED");
	std::mt19937 random(seed ? (unsigned)atoi(seed) : 1);
	int64_t until = proc_now_ms() + 12000;
	int number = 1;

	engine.memory_mb = 100;
	engine.load_ms = 30;
	while (proc_now_ms() < until) {
		std::vector<std::string> names = {
			"a", "b", "c", "d", "e", "m"
		};
		std::string list;
		size_t n = 1 + random() % names.size();

		std::shuffle(names.begin(), names.end(), random);
		{
			std::lock_guard<std::mutex> guard(engine.lock);

			for (size_t i = 0; i < n; i++)
				engine.sizes_mb[names[i]] = 5 + random() % 90;
		}
		for (size_t i = 0; i < n; i++)
			list += (i ? "," : "") +
				model(names[i], random() % 4,
				      engine.sizes_mb[names[i]]);
		put_table(table(number++, "", list));
		put_engine();
		refresh();
		int64_t next = proc_now_ms() + random() % 900;
		run_until([&] {
			add_demand(1);
			return proc_now_ms() >= next;
		});
		ASSERT_FALSE(engine.overloaded) << "document " << number - 1;
	}
	EXPECT_GT(orders(), 10u);
	release_views();
}
