#include <algorithm>
#include <functional>
#include <random>
#include <set>

#include "policy_world.h"

/*
 * The placement planner, with replicated state and simulated endpoints that
 * execute its orders.
 */
namespace
{

class Placement : public testing::Test
{
      protected:
	World world;
	struct plc *plc = plc_new(1);

	void TearDown() override
	{
		plc_free(plc);
	}

	void model(const std::string &name, uint32_t memory = 10,
		   uint32_t accelerators = 1, uint32_t min_copies = 1)
	{
		World::Model m;

		m.name = name;
		m.memory = memory;
		m.accelerators = accelerators;
		m.min_copies = min_copies;
		world.models.push_back(m);
	}

	World::Endpoint endpoint(const std::string &id,
				 const std::string &site = "a",
				 uint32_t memory = 100,
				 uint32_t accelerators = 1)
	{
		World::Endpoint e;

		e.id = id;
		e.site = site;
		e.memory = memory;
		e.accelerators = accelerators;
		return e;
	}

	void demand(const std::string &model, uint32_t requests,
		    uint32_t service_ms, const std::string &adapter = "",
		    uint32_t late = 0)
	{
		Dsp__Demand msg = DSP__DEMAND__INIT;

		msg.team = (char *)"t";
		msg.model = (char *)model.c_str();
		msg.adapter = (char *)adapter.c_str();
		msg.requests = requests;
		msg.late = late;
		msg.service_ms = (uint64_t)requests * service_ms;
		plc_add_demand(plc, &msg, world.now_us);
	}

	std::set<std::string> sites_of(const std::string &model)
	{
		const Dsp__Endpoint **all = nullptr;
		size_t n = st_endpoints(world.st, &all);
		std::set<std::string> sites;

		for (size_t i = 0; i < n; i++)
			for (size_t j = 0; j < all[i]->n_copies; j++)
				if (model == all[i]->copies[j]->model &&
				    all[i]->copies[j]->ready)
					sites.insert(all[i]->site);
		g_free(all);
		return sites;
	}

	/* Number of pending orders for which the test is true. */
	size_t pending(std::function<bool(const Dsp__Order *)> test)
	{
		const Dsp__Order **all = nullptr;
		size_t n = st_orders_pending(world.st, &all);
		size_t found = 0;

		for (size_t i = 0; i < n; i++)
			found += test(all[i]);
		g_free(all);
		return found;
	}
};

/* Every published model and adapter gets a ready copy, and while demand is
 * constant nothing moves afterwards. */
TEST_F(Placement, LoadsEverythingThenMovesNothing)
{
	for (int i = 0; i < 13; i++)
		model("m" + std::to_string(i), 20 + (uint32_t)i,
		      i % 5 == 4 ? 2 : 1);
	for (int i = 0; i < 40; i++) {
		World::Adapter a;

		a.name = "a" + std::to_string(i);
		a.model = "m" + std::to_string(i % 13);
		world.adapters.push_back(a);
	}
	world.put_document();
	for (int i = 0; i < 9; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i),
					    "s" + std::to_string(i % 3), 80,
					    1 + (uint32_t)i % 2));
	world.rounds(plc, 40);
	EXPECT_EQ(world.missing(), 0u);
	for (auto &a : world.adapters)
		EXPECT_GE(world.ready(a.model, a.name), 1u) << a.name;
	EXPECT_EQ(world.rounds(plc, 40), 0u);
}

/* No order overcommits memory, unloads the last ready copy or is rejected, and
 * a model stays reachable once it was, for random deployments, demands,
 * failures, document changes and late completions. World::plan() checks each
 * order against plain sums over the state. */
TEST_F(Placement, NoOrderBreaksAnInvariantInRandomRuns)
{
	for (unsigned seed = 0; seed < 30; seed++) {
		std::mt19937 random(seed);
		World w;
		struct plc *p = plc_new(seed);
		std::map<std::string, World::Endpoint> eps;
		unsigned n_models = 3 + random() % 10;

		w.parallel_loads = 1 + random() % 5;
		w.orders_may_duplicate = random() % 2;
		w.weight_attainment = 0.1 + random() % 10;
		w.weight_moves = 0.1 + random() % 3;
		for (unsigned i = 0; i < n_models; i++) {
			World::Model m;

			m.name = "m" + std::to_string(i);
			m.memory = 10 + random() % 40;
			m.accelerators = 1 + random() % 2;
			m.min_copies = 1 + random() % 2;
			w.models.push_back(m);
			for (unsigned j = 0; j < random() % 4; j++) {
				World::Adapter a;

				a.name = "a" + std::to_string(j);
				a.model = m.name;
				a.memory = 1 + random() % 8;
				w.adapters.push_back(a);
			}
		}
		w.put_document();
		for (int i = 0; i < 8; i++) {
			World::Endpoint e;

			e.id = "e" + std::to_string(i);
			e.site = "s" + std::to_string(i % 3);
			e.accelerators = 1 + random() % 4;
			e.fenced = random() % 3;
			eps[e.id] = e;
			w.put_endpoint(e);
		}
		for (int step = 0; step < 150; step++) {
			const Dsp__Order **all = nullptr;
			std::vector<uint64_t> ids;
			size_t n;

			for (auto &m : w.models) {
				Dsp__Demand d = DSP__DEMAND__INIT;

				d.team = (char *)"t";
				d.model = (char *)m.name.c_str();
				d.adapter = (char *)"";
				d.requests =
					random() % 5 == 0 ? 40 : random() % 4;
				d.late = d.requests / 3;
				d.service_ms = d.requests * 400;
				plc_add_demand(p, &d, w.now_us);
			}
			w.now_us += 500000;
			w.plan(p);
			/* Orders end late and in any order. */
			n = st_orders_pending(w.st, &all);
			for (size_t i = 0; i < n; i++)
				if (random() % 3 == 0)
					ids.push_back(all[i]->id);
			g_free(all);
			/* Its draws depend on the library: libstdc++. */
			std::shuffle(ids.begin(), ids.end(), random);
			for (uint64_t id : ids)
				w.finish(id, random() % 10 != 0);
			w.check_memory();
			if (random() % 30 == 0) {
				auto &e =
					eps["e" + std::to_string(random() % 8)];

				e.incarnation++;
				w.put_endpoint(e);
			}
			if (random() % 25 == 0) {
				auto &m = w.models[random() % n_models];

				m.version = std::to_string(step + 2);
				w.put_document();
			}
			if (testing::Test::HasFailure()) {
				ADD_FAILURE()
					<< "seed " << seed << " step " << step;
				plc_free(p);
				return;
			}
		}
		plc_free(p);
	}
}

/* A model that fits only after another has moved gets its copy, and the one
 * that moves has a copy at all times. */
TEST_F(Placement, MovesAnotherModelToMakeRoom)
{
	model("small0", 30);
	model("small1", 30);
	world.put_document();
	for (int i = 0; i < 2; i++) {
		World::Endpoint e = endpoint("e" + std::to_string(i));
		World::Copy c;

		e.memory = 80;
		c.model = "small" + std::to_string(i);
		c.version = "1";
		c.memory = 30;
		e.copies.push_back(c);
		world.put_endpoint(e);
	}
	model("large", 70);
	world.put_document();
	world.rounds(plc, 12);
	EXPECT_EQ(world.missing(), 0u);
}

/* Whenever first-fit placement of all models on empty endpoints succeeds with a
 * tenth of the memory spare, all models become ready, also from a random
 * earlier placement. */
TEST_F(Placement, EveryModelGetsACopyWheneverItFits)
{
	int tried = 0, missed = 0;

	for (unsigned seed = 0; seed < 200; seed++) {
		std::mt19937 random(seed);
		World w;
		struct plc *p = plc_new(seed);
		std::vector<uint32_t> space(5, 90);
		bool fits = true;
		unsigned n = 6 + random() % 6;

		for (unsigned i = 0; i < n; i++) {
			World::Model m;

			m.name = "m" + std::to_string(i);
			m.memory = 15 + random() % 45;
			w.models.push_back(m);
		}
		std::vector<uint32_t> sizes;
		for (auto &m : w.models)
			sizes.push_back(m.memory);
		std::sort(sizes.rbegin(), sizes.rend());
		for (uint32_t size : sizes) {
			auto at = std::find_if(
				space.begin(), space.end(),
				[size](uint32_t s) { return s >= size; });

			if (at == space.end())
				fits = false;
			else
				*at -= size;
		}
		/* The last two models are published later. */
		std::vector<World::Model> late(w.models.end() - 2,
					       w.models.end());
		w.models.resize(n - 2);
		w.put_document();
		for (int i = 0; i < 5; i++) {
			World::Endpoint e;

			e.id = "e" + std::to_string(i);
			e.memory = 100;
			w.put_endpoint(e);
		}
		w.rounds(p, 30);
		w.models.insert(w.models.end(), late.begin(), late.end());
		w.put_document();
		w.rounds(p, 60);
		if (fits) {
			tried++;
			missed += w.missing() > 0;
		}
		plc_free(p);
	}
	EXPECT_GT(tried, 100);
	EXPECT_EQ(missed, 0);
}

/* A new version serves before the old one leaves, and the old one does leave,
 * with its adapters served all the time. */
TEST_F(Placement, NewVersionServesBeforeTheOldOneLeaves)
{
	World::Adapter a;

	model("m", 40);
	a.name = "a";
	a.model = "m";
	world.adapters.push_back(a);
	world.put_document();
	for (int i = 0; i < 3; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i)));
	world.rounds(plc, 6);
	ASSERT_GE(world.ready("m", "a"), 1u);
	world.models[0].version = "2";
	world.put_document();
	for (int i = 0; i < 20; i++) {
		world.rounds(plc, 1);
		EXPECT_GE(world.ready("m"), 1u);
		EXPECT_GE(world.ready("m", "a"), 1u);
	}
	EXPECT_GE(world.ready("m", "", "2"), 1u);
	EXPECT_EQ(world.ready("m", "", "1"), 0u);
}

/* Copies of a withdrawn model are unloaded, adapters before the model. */
TEST_F(Placement, WithdrawnModelIsUnloaded)
{
	World::Adapter a;

	model("keep");
	model("gone");
	a.name = "a";
	a.model = "gone";
	world.adapters.push_back(a);
	world.put_document();
	world.put_endpoint(endpoint("e0"));
	world.rounds(plc, 6);
	ASSERT_EQ(world.ready("gone", "a"), 1u);
	world.adapters.clear();
	world.models.pop_back();
	world.put_document();
	world.now_us += 500000;
	world.plan(plc);
	EXPECT_EQ(pending([](const Dsp__Order *o) { return !*o->adapter; }),
		  0u);
	world.complete_orders();
	world.rounds(plc, 4);
	EXPECT_EQ(world.ready("gone"), 0u);
	EXPECT_EQ(world.ready("keep"), 1u);
}

/* The min_copies of each model are loaded and spread over sites. */
TEST_F(Placement, MinCopiesAreSpreadOverSites)
{
	model("m", 20, 1, 3);
	model("n", 20, 1, 2);
	world.put_document();
	for (int i = 0; i < 9; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i),
					    "s" + std::to_string(i / 3)));
	world.rounds(plc, 10);
	EXPECT_EQ(world.ready("m"), 3u);
	EXPECT_EQ(sites_of("m").size(), 3u);
	EXPECT_EQ(sites_of("n").size(), 2u);
}

/* After the loss of three of four sites, models without any copy come first,
 * the most used before others, and all are reachable again. */
TEST_F(Placement, RepairsTheLossOfSites)
{
	std::vector<std::string> order;

	world.loads_per_s = 2;
	world.parallel_loads = 1;
	for (int i = 0; i < 8; i++)
		model("m" + std::to_string(i), 30);
	world.put_document();
	for (int i = 0; i < 12; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i),
					    "s" + std::to_string(i % 4)));
	world.rounds(plc, 40);
	ASSERT_EQ(world.missing(), 0u);
	for (int i = 0; i < 8; i++)
		demand("m" + std::to_string(i), 1 + (uint32_t)i, 100);
	world.rounds(plc, 1);
	for (int i = 0; i < 12; i++) {
		if (i % 4)
			world.endpoint_down("e" + std::to_string(i));
	}
	std::set<std::string> lost;
	for (auto &m : world.models)
		if (!world.ready(m.name))
			lost.insert(m.name);
	ASSERT_GE(lost.size(), 2u);
	for (int i = 0; i < 40 && world.missing(); i++) {
		world.now_us += 500000;
		world.plan(plc);
		const Dsp__Order **all = nullptr;
		size_t n = st_orders_pending(world.st, &all);
		for (size_t j = 0; j < n; j++)
			order.push_back(all[j]->model);
		g_free(all);
		world.complete_orders();
	}
	EXPECT_EQ(world.missing(), 0u);
	ASSERT_GE(order.size(), lost.size());
	for (size_t i = 0; i < lost.size(); i++)
		EXPECT_EQ(lost.count(order[i]), 1u);
	for (size_t i = 1; i < lost.size(); i++)
		EXPECT_GT(order[i - 1], order[i]);
}

/* Where memory is free, each model and its adapters have a second copy at
 * another site, so that the loss of a site makes none unreachable. */
TEST_F(Placement, SecondCopyAtAnotherSiteWhereMemoryIsFree)
{
	for (int i = 0; i < 5; i++) {
		World::Adapter a;

		model("m" + std::to_string(i), 20);
		a.name = "a";
		a.model = "m" + std::to_string(i);
		world.adapters.push_back(a);
	}
	world.put_document();
	for (int i = 0; i < 6; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i),
					    "s" + std::to_string(i % 3)));
	world.rounds(plc, 60);
	for (int i = 0; i < 6; i += 3)
		world.endpoint_down("e" + std::to_string(i));
	EXPECT_EQ(world.missing(), 0u);
	for (auto &a : world.adapters)
		EXPECT_GE(world.ready(a.model, a.name), 1u);
}

/* Loads in parallel, loads per second and adapters in transit stay within the
 * limits of the document. */
TEST_F(Placement, KeepsTheLimitsOfTheStore)
{
	int64_t start;
	size_t loads = 0;

	world.loads_per_s = 2;
	world.parallel_loads = 3;
	world.adapters_in_transit = 4;
	for (int i = 0; i < 12; i++) {
		model("m" + std::to_string(i));
		for (int j = 0; j < 5; j++) {
			World::Adapter a;

			a.name = "a" + std::to_string(j);
			a.model = "m" + std::to_string(i);
			world.adapters.push_back(a);
		}
	}
	world.put_document();
	for (int i = 0; i < 4; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i)));
	start = world.now_us;
	while (world.missing()) {
		world.now_us += 200000;
		ASSERT_LT(world.now_us, start + 60000000);
		world.plan(plc);
		EXPECT_LE(pending([](const Dsp__Order *o) {
				  return !*o->adapter;
			  }),
			  3u);
		EXPECT_LE(pending([](const Dsp__Order *o) {
				  return *o->adapter != 0;
			  }),
			  4u);
		loads += pending(
			[](const Dsp__Order *o) { return !*o->adapter; });
		EXPECT_LE((double)loads,
			  (double)(world.now_us - start) / 1e6 * 2 + 3);
		world.complete_orders();
	}
}

/* Demand above the capacity of a model's copies adds copies; when it falls,
 * they stay, as unloading gains nothing; recurring demand moves nothing. */
TEST_F(Placement, FollowsDemandWithHysteresis)
{
	model("hot", 20);
	model("cold", 20);
	world.put_document();
	for (int i = 0; i < 4; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i)));
	world.rounds(plc, 10);
	for (int i = 0; i < 60; i++) {
		demand("hot", 10, 800);
		world.rounds(plc, 1);
	}
	unsigned copies = world.ready("hot");
	EXPECT_GE(copies, 3u);
	uint64_t before = plc_moves(plc);
	for (int i = 0; i < 60; i++) {
		demand("hot", i % 20 < 10 ? 10 : 1, 800);
		world.rounds(plc, 1);
	}
	EXPECT_EQ(plc_moves(plc), before);
}

/* Two models with alternating bursts of demand do not replace each other
 * repeatedly on one endpoint; second copies are never unloaded. */
TEST_F(Placement, CompetingModelsDoNotAlternate)
{
	world.weight_attainment = 10;
	world.weight_moves = 0.1;
	model("x", 60);
	model("y", 60);
	world.put_document();
	for (int i = 0; i < 5; i++)
		world.put_endpoint(endpoint("e" + std::to_string(i)));
	world.rounds(plc, 10);
	uint64_t before = plc_moves(plc);
	for (int i = 0; i < 480; i++) {
		demand(i / 40 % 2 ? "x" : "y", 20, 1000, "", 10);
		world.rounds(plc, 1);
		EXPECT_GE(world.ready("x"), 2u);
		EXPECT_GE(world.ready("y"), 2u);
	}
	/* 240 s: one load, then at most one replacement (an unload and a load)
	 * in two minutes. */
	EXPECT_GE(plc_moves(plc) - before, 1u);
	EXPECT_LE(plc_moves(plc) - before, 1u + 2 * 2);
}

/* The weights of the document trade attainment against moves: with the same
 * short bursts of demand, a greater weight of moves gives fewer moves. */
TEST_F(Placement, WeightsTradeAttainmentAgainstMoves)
{
	uint64_t moves[2];

	for (int variant = 0; variant < 2; variant++) {
		World w;
		struct plc *p = plc_new(1);

		w.weight_attainment = variant ? 1.0 : 0.1;
		w.weight_moves = variant ? 0.1 : 1.0;
		for (int i = 0; i < 4; i++) {
			World::Model m;

			m.name = "m" + std::to_string(i);
			m.memory = 40;
			w.models.push_back(m);
		}
		w.put_document();
		for (int i = 0; i < 5; i++) {
			World::Endpoint e;

			e.id = "e" + std::to_string(i);
			w.put_endpoint(e);
		}
		w.rounds(p, 20);
		for (int i = 0; i < 200; i++) {
			Dsp__Demand d = DSP__DEMAND__INIT;
			std::string name = "m" + std::to_string(i / 8 % 4);

			d.team = (char *)"t";
			d.model = (char *)name.c_str();
			d.adapter = (char *)"";
			d.requests = 10;
			d.service_ms = 10 * 1000;
			plc_add_demand(p, &d, w.now_us);
			w.rounds(p, 1);
		}
		moves[variant] = plc_moves(p);
		plc_free(p);
	}
	EXPECT_LT(moves[0], moves[1]);
}

/* On an engine that ignores fences, memory of an unloaded model stays reserved
 * for it; it is used again for the same model and not counted on for another.
 */
TEST_F(Placement, ReusesReservedMemory)
{
	World::Endpoint e = endpoint("e0", "a", 100);

	e.fenced = false;
	model("m", 60);
	model("n", 30);
	world.put_document();
	world.put_endpoint(e);
	world.rounds(plc, 6);
	ASSERT_EQ(world.missing(), 0u);
	World::Model m = world.models[0];
	world.models.erase(world.models.begin());
	world.put_document();
	world.rounds(plc, 6);
	ASSERT_EQ(world.ready("m"), 0u);
	ASSERT_LT(st_free_memory_mb(world.st, "e0", 0), 60u);
	World::Model other = m;
	other.name = "o";
	world.models.push_back(other);
	world.put_document();
	world.rounds(plc, 6);
	EXPECT_EQ(world.ready("o"), 0u);
	world.models.back() = m;
	world.put_document();
	world.rounds(plc, 6);
	EXPECT_EQ(world.ready("m"), 1u);
}

/* The models of a leaving endpoint are loaded elsewhere, and it gets no order.
 */
TEST_F(Placement, ReplacesTheCopiesOfALeavingEndpoint)
{
	World::Endpoint e = endpoint("e0");

	model("m");
	world.put_document();
	world.put_endpoint(e);
	world.rounds(plc, 4);
	ASSERT_EQ(world.ready("m"), 1u);
	e.state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	World::Copy c;
	c.model = "m";
	c.version = "1";
	e.copies.push_back(c);
	world.put_endpoint(e);
	world.put_endpoint(endpoint("e1"));
	world.now_us += 500000;
	world.plan(plc);
	EXPECT_EQ(pending([](const Dsp__Order *o) {
			  return strcmp(o->endpoint, "e1") == 0;
		  }),
		  1u);
	EXPECT_EQ(pending([](const Dsp__Order *o) {
			  return strcmp(o->endpoint, "e0") == 0;
		  }),
		  0u);
	world.complete_orders();
	EXPECT_EQ(world.ready("m"), 1u);
}

/* After a while, a load without an answer no longer counts as a copy that is
 * loading; another endpoint loads the model, and a fence voids the lost order
 * where the engine checks fences. */
TEST_F(Placement, LostLoadIsReplacedAndFenced)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0"));
	world.now_us += 500000;
	world.plan(plc);
	ASSERT_EQ(pending([](const Dsp__Order *) { return true; }), 1u);
	world.put_endpoint(endpoint("e1"));
	for (int i = 0; i < 10; i++) {
		world.now_us += 500000;
		world.plan(plc);
	}
	EXPECT_EQ(pending([](const Dsp__Order *) { return true; }), 1u);
	world.now_us += 90000000;
	world.plan(plc);
	world.now_us += 500000;
	world.plan(plc);
	EXPECT_EQ(pending([](const Dsp__Order *o) {
			  return o->kind == DSP__ORDER_KIND__ORDER_LOAD &&
				 strcmp(o->endpoint, "e1") == 0;
		  }),
		  1u);
	EXPECT_EQ(pending([](const Dsp__Order *o) {
			  return o->kind == DSP__ORDER_KIND__ORDER_FENCE &&
				 strcmp(o->endpoint, "e0") == 0;
		  }),
		  1u);
}

/* After a lasting imbalance one endpoint changes its role, never the last of a
 * role and never one that holds the only copy there; a balanced service is left
 * alone. */
TEST_F(Placement, ChangesARoleAfterALastingImbalance)
{
	uint64_t sequence = 1;
	size_t roles = 0;

	model("m");
	world.put_document();
	for (int i = 0; i < 5; i++) {
		World::Endpoint e = endpoint("e" + std::to_string(i));
		World::Copy c;

		e.roles = true;
		e.role = i < 2 ? DSP__ENDPOINT_ROLE__ROLE_PREFILL
			       : DSP__ENDPOINT_ROLE__ROLE_DECODE;
		c.model = "m";
		c.version = "1";
		e.copies.push_back(c);
		world.put_endpoint(e);
	}
	for (int i = 0; i < 400; i++) {
		for (int j = 0; j < 5; j++) {
			std::string id = "e" + std::to_string(j);
			Dsp__LoadReport msg = DSP__LOAD_REPORT__INIT;

			msg.endpoint = (char *)id.c_str();
			msg.incarnation = 1;
			msg.sequence = sequence++;
			msg.running =
				st_endpoint(world.st, id.c_str())->role ==
						DSP__ENDPOINT_ROLE__ROLE_PREFILL
					? 8
					: 1;
			plc_update_load(plc, &msg, world.now_us);
		}
		world.now_us += 500000;
		world.plan(plc);
		size_t now = pending([](const Dsp__Order *o) {
			return o->kind == DSP__ORDER_KIND__ORDER_ROLE &&
			       o->role == DSP__ENDPOINT_ROLE__ROLE_PREFILL;
		});
		roles += now;
		EXPECT_TRUE(i >= 20 || now == 0);
		EXPECT_LE(now, 1u);
		world.complete_orders();
	}
	/* Three decode endpoints: two may change, the last may not. */
	EXPECT_EQ(roles, 2u);
}

} // namespace
