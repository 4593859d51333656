#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/res.h"
}

/*
 * The residency planner, driven by simulated engines that execute its orders in
 * simulated time. The demand is that of the two deployments: mostly for two
 * models, which other models replace later; rarely used models; more adapters
 * than adapter places.
 *
 * To run only these tests: build/unit/res_test [--gtest_filter=...].
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

struct Model {
	std::string name;
	uint32_t memory_mb, load_ms, adapters;
};

/* One service with simulated engines, and the planner under test. */
class World
{
      public:
	World(size_t n_engines, uint32_t memory_mb, uint32_t places,
	      double loads_per_s, std::vector<Model> models)
	    : models(models), engines(n_engines), memory_mb(memory_mb),
	      places(places), plan(res_new(1.1))
	{
		Dsp__EngineSpec spec = DSP__ENGINE_SPEC__INIT;
		std::vector<Dsp__EngineModel> list(models.size());
		std::vector<Dsp__EngineModel *> pointers;

		for (size_t i = 0; i < models.size(); i++) {
			dsp__engine_model__init(&list[i]);
			list[i].name = models[i].name.data();
			list[i].memory_mb = models[i].memory_mb;
			list[i].load_ms = models[i].load_ms;
			list[i].adapters = models[i].adapters;
			list[i].adapter_mb = 40;
			pointers.push_back(&list[i]);
		}
		spec.memory_mb = memory_mb;
		spec.adapter_places = places;
		spec.store_loads_per_s = loads_per_s;
		spec.models = pointers.data();
		spec.n_models = pointers.size();
		res_set_spec(plan, &spec);
		for (size_t i = 0; i < n_engines; i++) {
			memset(&engines[i].e, 0, sizeof(engines[i].e));
			engines[i].id = "e" + std::to_string(i);
			engines[i].e.usable = true;
		}
	}

	~World()
	{
		res_free(plan);
	}

	/* Takes an engine away, with the copies that it holds. */
	void leave(size_t engine)
	{
		engines[engine].e.usable = false;
		for (size_t i = 0; i < models.size(); i++)
			held[i] = copies(i) > 0;
	}

	bool holds(size_t engine, size_t model) const
	{
		return has(engines[engine].e, { (uint16_t)model, 0 });
	}

	void hold(size_t engine, size_t model)
	{
		add(engines[engine].e, { (uint16_t)model, 0 });
	}

	/* Loaded copies on usable engines; adapter 0: of the model itself. */
	size_t copies(size_t model, size_t adapter = 0) const
	{
		size_t n = 0;

		for (const auto &engine : engines)
			n += engine.e.usable &&
			     has(engine.e,
				 { (uint16_t)model, (uint16_t)adapter });
		return n;
	}

	/* Advances the time in steps of 100 ms, each of which reports demand,
	 * completes loads, plans orders and checks the invariants. */
	void run(int64_t for_us)
	{
		int64_t until = now + for_us;

		for (; now < until; now += 100 * MS) {
			for (size_t i = 0; i < rates.size(); i++)
				report_demand(rates[i]);
			complete_orders();
			plan_orders();
			check_invariants();
		}
	}

	struct Rate {
		size_t model, adapter;
		double per_s;
		double carry; /* fraction of a request not yet reported */
	};
	std::vector<Rate> rates;
	std::vector<Model> models;
	size_t unloads = 0, loads = 0, adapter_loads = 0;
	int64_t now = 0;

	struct Engine {
		std::string id;
		struct res_engine e;
		int64_t until = 0;
		bool ordered = false;
		struct res_order order;
	};
	std::vector<Engine> engines;

      private:
	static bool has(const res_engine &e, res_item item)
	{
		for (size_t i = 0; i < e.n_items; i++)
			if (e.items[i].model == item.model &&
			    e.items[i].adapter == item.adapter)
				return true;
		return false;
	}

	static void add(res_engine &e, res_item item)
	{
		e.items[e.n_items++] = item;
	}

	static void drop(res_engine &e, res_item item)
	{
		size_t n = 0;

		for (size_t i = 0; i < e.n_items; i++)
			if (e.items[i].model != item.model ||
			    (item.adapter &&
			     e.items[i].adapter != item.adapter))
				e.items[n++] = e.items[i];
		e.n_items = n;
	}

	void report_demand(Rate &rate)
	{
		std::string adapter =
			rate.adapter ? "a" + std::to_string(rate.adapter) : "";
		uint32_t n;

		rate.carry += rate.per_s / 10;
		n = (uint32_t)rate.carry;
		rate.carry -= n;
		if (n)
			res_add_demand(plan, models[rate.model].name.c_str(),
				       adapter.c_str(), n, 0, now);
	}

	void complete_orders()
	{
		for (auto &engine : engines) {
			if (!engine.e.busy || now < engine.until)
				continue;
			engine.e.busy = false;
			if (engine.order.kind == RES_LOAD)
				add(engine.e, engine.order.item);
		}
	}

	/* The planner's input. The items of a busy engine include the one that
	 * it will hold after its order. */
	std::vector<res_engine> planner_input() const
	{
		std::vector<res_engine> list;

		for (const auto &engine : engines) {
			res_engine e = engine.e;

			e.id = engine.id.c_str();
			e.n_present = e.n_items;
			e.load_follows = e.busy && engine.order.load_follows;
			e.reserved = !e.busy && engine.ordered &&
				     engine.order.load_follows;
			e.reserved_for = engine.order.load_item;
			if (e.busy && engine.order.kind == RES_LOAD)
				add(e, engine.order.item);
			else if (e.busy && engine.order.load_follows)
				add(e, engine.order.load_item);
			list.push_back(e);
		}
		return list;
	}

	void plan_orders()
	{
		for (int round = 0; round < 50; round++) {
			auto list = planner_input();
			std::vector<res_order> orders(list.size());
			size_t n = res_plan(plan, list.data(), list.size(), now,
					    orders.data(), orders.size());

			if (!n)
				return;
			for (size_t i = 0; i < n; i++)
				execute(orders[i]);
		}
		ADD_FAILURE() << "planning does not end at " << now;
	}

	void execute(const res_order &order)
	{
		Engine &engine = engines[order.engine];
		const Model &m = models[order.item.model];

		ASSERT_FALSE(engine.e.busy);
		ASSERT_TRUE(engine.e.usable);
		engine.order = order;
		engine.ordered = true;
		if (order.kind == RES_UNLOAD) {
			ASSERT_TRUE(has(engine.e, order.item));
			drop(engine.e, order.item);
			unloads += !order.item.adapter;
			if (order.item.adapter)
				return; /* takes no time */
			engine.until = now + 800 * MS;
		} else if (order.item.adapter) {
			ASSERT_FALSE(has(engine.e, order.item));
			ASSERT_TRUE(has(engine.e, { order.item.model, 0 }));
			add(engine.e, order.item);
			adapter_loads++;
			return;
		} else {
			ASSERT_FALSE(has(engine.e, order.item));
			engine.until = now + m.load_ms * MS;
			loads++;
			load_times.push_back(now);
			res_load_sent(plan, now);
		}
		engine.e.busy = true;
	}

	/* Invariants: memory, adapter places and the store's rate of loads are
	 * kept, and a model that has a copy never loses its last one. */
	void check_invariants()
	{
		for (const auto &engine : engines) {
			uint64_t used = 0;
			size_t adapters = 0;
			res_engine e = engine.e;

			if (e.busy && engine.order.kind == RES_LOAD)
				add(e, engine.order.item);
			for (size_t i = 0; i < e.n_items; i++) {
				adapters += e.items[i].adapter != 0;
				used += e.items[i].adapter
						? 40
						: models[e.items[i].model]
							  .memory_mb;
			}
			ASSERT_LE(used, memory_mb) << engine.id;
			ASSERT_LE(adapters, places) << engine.id;
		}
		for (size_t i = 0; i < models.size(); i++) {
			bool now_held = copies(i) > 0;

			ASSERT_FALSE(held[i] && !now_held)
				<< models[i].name << " lost at " << now;
			held[i] = now_held;
		}
		size_t recent = std::count_if(
			load_times.begin(), load_times.end(),
			[this](int64_t at) { return at > now - 5 * S; });
		ASSERT_LE((double)recent, std::max(1.0, 1.1 * 5 * rate()));
	}

	double rate() const
	{
		return loads_per_s;
	}

      public:
	double loads_per_s = 0;

      private:
	std::vector<bool> held = std::vector<bool>(256);
	std::vector<int64_t> load_times;
	uint32_t memory_mb;
	uint32_t places;
	struct res *plan;
};

/* Nine engines with memory for two large models each; eleven models. */
struct LargeModels : public World {
	LargeModels() : World(9, 83000, 8, 1.1, list())
	{
		loads_per_s = 1.1;
		for (size_t i = 0; i < 9; i++)
			hold(i, i < 7 ? 0 : 1);
		for (size_t i = 0; i < 9; i++)
			hold(i, i < 2 ? 1 : i);
	}

	static std::vector<Model> list()
	{
		std::vector<Model> out;

		for (int i = 0; i < 11; i++)
			out.push_back({ "m" + std::to_string(i), 34300, 5400,
					i == 0	 ? 32u
					: i == 2 ? 12u
						 : 0u });
		return out;
	}
};

TEST(Res, ModelsWithoutACopyAreLoadedBeforeTraffic)
{
	LargeModels world;

	world.run(20 * S);
	for (size_t i = 0; i < world.models.size(); i++)
		EXPECT_GE(world.copies(i), 1u) << i;
	/* The model that most engines started with keeps most of its copies. */
	EXPECT_GE(world.copies(0), 4u);
}

TEST(Res, CopiesFollowChangingDemand)
{
	LargeModels world;

	world.run(8 * S);
	world.rates = { { 0, 0, 40, 0 },
			{ 1, 0, 15, 0 },
			{ 5, 0, 0.5, 0 },
			{ 6, 0, 0.5, 0 } };
	world.run(15 * S);
	EXPECT_GE(world.copies(0), 4u);
	EXPECT_GE(world.copies(1), 2u);
	world.rates = { { 2, 0, 40, 0 },
			{ 3, 0, 15, 0 },
			{ 5, 0, 0.5, 0 },
			{ 6, 0, 0.5, 0 } };
	world.run(20 * S);
	EXPECT_GE(world.copies(2), 4u);
	EXPECT_GE(world.copies(3), 2u);
	for (size_t i = 0; i < world.models.size(); i++)
		EXPECT_GE(world.copies(i), 1u) << i;
}

TEST(Res, SteadyDemandMovesNothing)
{
	LargeModels world;

	world.run(8 * S);
	world.rates = { { 0, 0, 40, 0 }, { 1, 0, 15, 0 }, { 5, 0, 0.5, 0 } };
	world.run(20 * S);
	size_t loads = world.loads;
	world.run(30 * S);
	EXPECT_LE(world.loads, loads + 1);
}

TEST(Res, RequestedAdaptersReplaceIdleOnes)
{
	LargeModels world;

	world.run(8 * S);
	world.rates = { { 0, 0, 10, 0 } };
	for (size_t a = 20; a <= 32; a++)
		world.rates.push_back({ 0, a, 1, 0 });
	world.run(6 * S);
	for (size_t a = 20; a <= 32; a++)
		EXPECT_GE(world.copies(0, a), 1u) << a;
}

/* More adapters have demand than there are places: each is loaded in turn. */
TEST(Res, AdaptersTakeTurnsInTooFewPlaces)
{
	World world(2, 200000, 8, 1.6, { { "m0", 65000, 5800, 42 } });
	std::vector<bool> seen(43);

	world.loads_per_s = 1.6;
	world.hold(0, 0);
	world.hold(1, 0);
	for (size_t a = 1; a <= 42; a++)
		world.rates.push_back({ 0, a, 0.3, (double)a / 42 });
	for (int i = 0; i < 100; i++) {
		world.run(200 * MS);
		for (size_t a = 1; a <= 42; a++)
			seen[a] = seen[a] || world.copies(0, a) > 0;
	}
	EXPECT_EQ(std::count(seen.begin() + 1, seen.end(), true), 42);
}

namespace
{

/* Three engines and the planner, called directly without simulated time. */
struct DirectPlan {
	struct res *plan = res_new(1.1);
	std::vector<res_engine> engines = std::vector<res_engine>(3);

	DirectPlan()
	{
		Dsp__EngineSpec spec = DSP__ENGINE_SPEC__INIT;
		Dsp__EngineModel models[3];
		Dsp__EngineModel *list[3];
		static char names[3][3] = { "m0", "m1", "m2" };

		for (int i = 0; i < 3; i++) {
			dsp__engine_model__init(&models[i]);
			models[i].name = names[i];
			models[i].memory_mb = 45000;
			models[i].load_ms = 5000;
			models[i].disk_ms = 1000;
			models[i].warm_ms = 500;
			list[i] = &models[i];
			engines[i] = {};
			engines[i].id = names[i];
			engines[i].usable = true;
		}
		spec.memory_mb = 100000;
		spec.store_loads_per_s = 2;
		spec.models = list;
		spec.n_models = 3;
		res_set_spec(plan, &spec);
	}
	~DirectPlan()
	{
		res_free(plan);
	}
	void hold(size_t engine, size_t model, bool present = true)
	{
		res_engine &e = engines[engine];

		e.items[e.n_items++] = { (uint16_t)model, 0 };
		e.n_present += present;
	}
	/* Reports demand for model m0 or m1 over five seconds, to 105 s. */
	void add_demand(const char *model, unsigned per_s)
	{
		for (int i = 0; i < 50; i++)
			res_add_demand(plan, model, "", per_s / 10, 0,
				       100 * S + i * 100 * MS);
	}
	/* Reports one request that missed, 100 ms before orders() plans. */
	void add_missed(const char *model)
	{
		res_add_demand(plan, model, "", 1, 1, 104 * S + 900 * MS);
	}
	std::vector<res_order> orders(int64_t now = 105 * S)
	{
		std::vector<res_order> out(3);

		out.resize(
			res_plan(plan, engines.data(), 3, now, out.data(), 3));
		return out;
	}
};

} // namespace

/* Two slow engines held the busiest model, and most of their streams paused for
 * longer than their objective. */
TEST(Res, BusyModelsGoToFastEngines)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(1, 1);
	d.hold(2, 2);
	d.engines[1].speed = 0.55;
	d.engines[2].speed = 1.43;
	d.add_demand("m0", 30);
	auto orders = d.orders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].kind, RES_LOAD);
	EXPECT_EQ(orders[0].item.model, 0);
	EXPECT_EQ(orders[0].engine, 2u);
}

/* A serving copy was unloaded because other copies were loading, long before
 * those could serve. */
TEST(Res, LoadingCopiesDoNotReplaceAServingOne)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(0, 2);
	d.hold(1, 2);
	d.hold(2, 2);
	d.hold(1, 0, false);
	d.hold(2, 0, false);
	d.engines[1].busy = d.engines[2].busy = true;
	d.add_demand("m0", 10);
	d.add_demand("m1", 50);
	for (const auto &order : d.orders())
		EXPECT_FALSE(order.kind == RES_UNLOAD && order.item.model == 0);
}

/* In the benchmark scale-1, a model with half a request a second replaced one
 * of the two copies of a model with 98 requests a second. */
TEST(Res, RareModelsTakeNoCopyOfABusyOne)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(0, 1);
	d.hold(1, 0);
	d.hold(1, 1);
	d.add_demand("m0", 90);
	d.add_demand("m1", 10);
	d.add_missed("m2");
	d.engines[2].usable = false;
	for (const auto &order : d.orders())
		EXPECT_FALSE(order.kind == RES_UNLOAD && order.item.model == 0);
}

/* A rare model does not wait forever: every published model stays reachable. */
TEST(Res, ModelThatWaitsLongReplacesACopy)
{
	DirectPlan d;
	bool unloaded = false;

	d.hold(0, 0);
	d.hold(0, 1);
	d.hold(1, 0);
	d.hold(1, 1);
	d.engines[2].usable = false;
	for (int t = 0; t < 30 && !unloaded; t++) {
		for (int i = 0; i < 50; i++)
			res_add_demand(d.plan, "m0", "", 1, 0,
				       (100 + t) * S + i * 20 * MS);
		res_add_demand(d.plan, "m2", "", 1, 1, (101 + t) * S);
		for (const auto &order : d.orders((101 + t) * S))
			unloaded = unloaded || order.kind == RES_UNLOAD;
	}
	EXPECT_TRUE(unloaded);
}

/* Loads read the weight store, which took 5.4 s, although another engine had
 * the weights on its disk. */
TEST(Res, EnginesWithTheWeightsOnTheirDiskComeFirst)
{
	DirectPlan d;

	d.hold(0, 0);
	d.engines[2].on_disk[d.engines[2].n_on_disk++] = 0;
	d.add_demand("m0", 30);
	d.hold(1, 1);
	d.hold(2, 2);
	auto orders = d.orders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].engine, 2u);
	EXPECT_EQ(orders[0].item.model, 0);
	EXPECT_FALSE(res_reads_store(d.plan, &d.engines[2], orders[0].item));
	EXPECT_TRUE(res_reads_store(d.plan, &d.engines[1], orders[0].item));
	EXPECT_EQ(res_load_ms(d.plan, &d.engines[2], orders[0].item), 1000u);
}

/* The store's limit of loads per second does not apply to loads from disk. */
TEST(Res, LoadsFromDiskDoNotWaitForTheStore)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(1, 1);
	d.hold(2, 2);
	d.add_demand("m0", 30);
	for (int i = 0; i < 20; i++)
		res_load_sent(d.plan, 105 * S);
	EXPECT_TRUE(d.orders().empty());
	d.engines[1].on_disk[d.engines[1].n_on_disk++] = 0;
	auto orders = d.orders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].engine, 1u);
}

/* An unload freed memory for a model without a copy, and a busier model was
 * loaded into it, three times in a row. */
TEST(Res, RoomIsKeptForTheModelThatItWasMadeFor)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(0, 1);
	d.hold(1, 1);
	d.engines[1].reserved = true;
	d.engines[1].reserved_for.model = 2;
	d.engines[2].usable = false;
	d.add_demand("m0", 60);
	d.add_missed("m2");
	auto orders = d.orders();
	ASSERT_EQ(orders.size(), 1u);
	EXPECT_EQ(orders[0].kind, RES_LOAD);
	EXPECT_EQ(orders[0].item.model, 2);
}

/* Before all engines had announced themselves, five copies of the busiest model
 * were unloaded for models that other engines held. */
TEST(Res, NothingMovesBeforeEnginesAreKnown)
{
	DirectPlan d;

	d.hold(0, 0);
	d.hold(0, 1);
	d.hold(1, 0);
	d.hold(1, 1);
	d.engines[2].usable = false;
	EXPECT_TRUE(d.orders(100 * S).empty());
	EXPECT_TRUE(d.orders(101 * S).empty());
	d.engines[2].usable = true;
	d.hold(2, 2);
	EXPECT_TRUE(d.orders(101 * S + 200 * MS).empty());
	for (const auto &order : d.orders(110 * S))
		EXPECT_EQ(order.kind, RES_LOAD);
}

TEST(Res, EngineThatLeavesIsReplaced)
{
	LargeModels world;

	world.run(8 * S);
	world.rates = { { 0, 0, 40, 0 }, { 1, 0, 15, 0 } };
	world.run(10 * S);
	size_t before = world.copies(0);
	size_t left = 0;
	while (left < 9 && !world.holds(left, 0))
		left++;
	ASSERT_LT(left, 9u);
	/* Copies on an engine that left do not count. */
	world.leave(left);
	EXPECT_EQ(world.copies(0), before - 1);
	/* A model that lost its only copy and is asked for has one again within
	 * 12 s, the shortest recovery time of a deployment; one that nobody
	 * asks for has one in the end. The busiest keeps enough for 40
	 * requests a second at 11 a copy. */
	std::vector<size_t> asked;
	for (size_t model = 2; model < world.models.size(); model++)
		if (!world.copies(model)) {
			asked.push_back(model);
			world.rates.push_back({ model, 0, 0.5, 0 });
			break;
		}
	world.run(12 * S);
	for (size_t model : asked)
		EXPECT_GE(world.copies(model), 1u) << "model " << model;
	EXPECT_GE(world.copies(0), 4u);
	world.run(60 * S);
	for (size_t model = 0; model < world.models.size(); model++)
		EXPECT_GE(world.copies(model), 1u) << "model " << model;
}

} // namespace

namespace
{

/*
 * Engines that keep each copy at the size it was loaded with, and a document
 * that changes at random: models come, leave, return, change their sizes,
 * adapters and places in the list. Orders take some steps; documents change
 * meanwhile.
 */
class DocumentHistory
{
      public:
	explicit DocumentHistory(unsigned seed) : random(seed)
	{
		change_document();
	}
	~DocumentHistory()
	{
		res_free(plan);
	}
	/* Returns the first broken invariant; empty: none. */
	std::string run(int steps)
	{
		for (int step = 0; step < steps && broken.empty(); step++) {
			now += 100 * MS;
			if (random() % 12 == 0)
				change_document();
			if (random() % 40 == 0)
				forget();
			for (int i = 0; i < 3; i++)
				res_add_demand(plan, name(random() % 8).c_str(),
					       random() % 3 ? "" : "a1",
					       1 + random() % 9, 0, now);
			for (auto &e : engines)
				finish(e);
			order();
		}
		return broken;
	}
	size_t unloads = 0, loads = 0;

      private:
	struct Held {
		uint32_t mb;
		std::map<int, uint32_t> adapters;
	};
	struct Engine {
		std::map<std::string, Held> holds;
		struct res_engine known = {}; /* as its owner sees it */
		struct res_order order = {};
		std::string model; /* of the order */
		uint32_t order_mb = 0;
		int64_t done = -1;
	};

	static std::string name(size_t i)
	{
		return "m" + std::to_string(i);
	}
	void change_document()
	{
		Dsp__EngineSpec spec = DSP__ENGINE_SPEC__INIT;
		std::vector<size_t> order = { 0, 1, 2, 3, 4, 5, 6, 7 };
		std::vector<Dsp__EngineModel> list(1 + random() % 8);
		std::vector<Dsp__EngineModel *> pointers;
		std::vector<std::string> names;

		std::shuffle(order.begin(), order.end(), random);
		sizes.clear();
		for (size_t i = 0; i < list.size(); i++)
			names.push_back(name(order[i]));
		for (size_t i = 0; i < list.size(); i++) {
			dsp__engine_model__init(&list[i]);
			list[i].name = names[i].data();
			list[i].memory_mb = 5 + random() % 60;
			list[i].load_ms = 300;
			list[i].adapters = random() % 5;
			list[i].adapter_mb = 1 + random() % 5;
			pointers.push_back(&list[i]);
			sizes[names[i]] = { list[i].memory_mb,
					    list[i].adapter_mb };
		}
		spec.memory_mb = 100;
		spec.adapter_places = 3;
		spec.store_loads_per_s = 20;
		spec.models = pointers.data();
		spec.n_models = pointers.size();
		res_set_spec(plan, &spec);
		for (auto &e : engines)
			if (e.order.kind != RES_NONE)
				e.order_mb = std::max(
					e.order_mb,
					res_size_mb(plan, e.order.item));
		release();
	}
	void release()
	{
		std::vector<uint32_t> used;

		for (auto &e : engines) {
			for (size_t i = 0; i < e.known.n_items; i++)
				used.push_back(e.known.items[i].model);
			if (e.order.kind == RES_NONE)
				continue;
			used.push_back(e.order.item.model);
			used.push_back(e.order.load_item.model);
		}
		res_release_unused(plan, used.data(), used.size());
	}
	/* A new owner of one engine, which learns from its report only. */
	void forget()
	{
		Engine &e = engines[random() % engines.size()];

		if (e.done >= 0)
			return;
		e.known = {};
		e.order = {};
		report(e);
		/* The sizes of these copies are known to nobody now. */
		for (size_t i = 0; i < e.known.n_items; i++)
			e.known.items_mb[i] = 100;
	}
	void report(Engine &e)
	{
		struct res_engine before = e.known;

		e.known.n_items = 0;
		for (const auto &model : e.holds) {
			add(e, before, model.first, "");
			for (const auto &adapter : model.second.adapters)
				add(e, before, model.first,
				    "a" + std::to_string(adapter.first));
		}
	}
	void add(Engine &e, const res_engine &before, const std::string &model,
		 const std::string &adapter)
	{
		struct res_item item;
		size_t at = e.known.n_items;

		ASSERT_TRUE(res_add_name(plan, model.c_str(), adapter.c_str(),
					 &item));
		e.known.items[at] = item;
		e.known.items_mb[at] =
			std::max(e.order_mb, res_size_mb(plan, item));
		for (size_t i = 0; i < before.n_items; i++)
			if (before.items[i].model == item.model &&
			    before.items[i].adapter == item.adapter)
				e.known.items_mb[at] = before.items_mb[i];
		e.known.n_items++;
	}
	void finish(Engine &e)
	{
		if (e.done < 0 || now < e.done)
			return;
		e.done = -1;
		if (e.order.kind == RES_UNLOAD)
			e.holds.erase(e.model);
		report(e);
	}
	void order()
	{
		std::vector<res_engine> list;
		std::vector<res_order> out(engines.size());

		for (auto &e : engines) {
			res_engine input = e.known;

			input.id = "e";
			input.usable = true;
			input.busy = e.done >= 0;
			input.n_present = input.n_items;
			input.load_follows = input.busy && e.order.load_follows;
			input.reserved = !input.busy && e.order.load_follows;
			input.reserved_for = e.order.load_item;
			list.push_back(input);
		}
		size_t n = res_plan(plan, list.data(), list.size(), now,
				    out.data(), out.size());
		for (size_t i = 0; i < n; i++)
			execute(engines[out[i].engine], out[i]);
	}
	void execute(Engine &e, const res_order &order)
	{
		uint64_t used = 0, places = 0;
		uint32_t mb;

		e.model = res_model_name(plan, order.item);
		e.order = order;
		e.order_mb = res_size_mb(plan, order.item);
		if (order.kind == RES_UNLOAD) {
			unloads++;
			if (!e.holds.count(e.model))
				broken = "unload of what is not held";
			else if (order.item.adapter)
				e.holds[e.model].adapters.erase(
					order.item.adapter);
			if (order.item.adapter)
				report(e);
			else
				e.done = now + 200 * MS;
			return;
		}
		loads++;
		if (!sizes.count(e.model)) {
			broken = "load of a model that is not listed";
			return;
		}
		mb = order.item.adapter ? sizes[e.model].second
					: sizes[e.model].first;
		if (order.item.adapter)
			e.holds[e.model].adapters[order.item.adapter] = mb;
		else
			e.holds[e.model] = { mb, {} };
		for (const auto &model : e.holds) {
			used += model.second.mb;
			for (const auto &adapter : model.second.adapters)
				used += adapter.second;
			places += model.second.adapters.size();
		}
		if (used > 100 || places > 3)
			broken = std::to_string(used) + " MB and " +
				 std::to_string(places) + " adapters";
		if (order.item.adapter)
			report(e);
		else
			e.done = now + 300 * MS;
	}

	std::mt19937 random;
	struct res *plan = res_new(1.1);
	std::vector<Engine> engines = std::vector<Engine>(4);
	std::map<std::string, std::pair<uint32_t, uint32_t>> sizes;
	int64_t now = 100 * S;
	std::string broken;
};

} // namespace

/* Guards against orders beyond an engine's memory or places when documents
 * change while engines hold models and orders are under way. */
TEST(ResDocument, RandomDocumentsNeverOverloadAnEngine)
{
	const char *more = getenv("HISTORIES");
	unsigned n = more ? (unsigned)atoi(more) : 200;
	size_t loads = 0, unloads = 0;

	for (unsigned seed = 1; seed <= n; seed++) {
		DocumentHistory history(seed);

		ASSERT_EQ(history.run(600), "") << "seed " << seed;
		loads += history.loads;
		unloads += history.unloads;
	}
	EXPECT_GT(loads, 20 * n);
	EXPECT_GT(unloads, 10 * n);
}
