#include <algorithm>
#include <cmath>
#include <cstdio>

#include "pac_sim.h"

extern "C" {
#include "core/bal.h"
#include "core/pac.h"
}

/*
 * Pacing of prompts on the manual clock: single assignments, the choice of
 * coordinators, and a simulated deployment of 88 entries and 90 engines.
 */
using namespace pac_sim;

namespace
{

constexpr uint32_t TOKENS = 1460;

struct Pac {
	Pac() : p(pac_new())
	{
	}
	~Pac()
	{
		pac_free(p);
	}
	Pac(const Pac &) = delete;
	struct pac *p;
};

struct pac_engine engine(const char *id, int64_t prefill_us, double load = 0)
{
	struct pac_engine e = {};

	e.id = id;
	e.incarnation = 1;
	e.prefill_us = prefill_us;
	e.load = load;
	e.places = 16;
	return e;
}

TEST(Pac, SpreadsPromptsOverEnginesThenInTime)
{
	Pac pac;
	struct pac_engine engines[] = { engine("a", 75 * MS),
					engine("b", 75 * MS) };
	struct pac_slot slot[3] = {};

	for (auto &s : slot)
		ASSERT_TRUE(
			pac_assign(pac.p, engines, 2, 1460, 250 * MS, S, &s));
	EXPECT_NE(slot[0].engine, slot[1].engine);
	EXPECT_EQ(slot[0].delay_us, 0);
	EXPECT_EQ(slot[1].delay_us, 0);
	EXPECT_GE(slot[2].delay_us, 75 * MS);
}

/* Guards against prompts that wait at a slow engine while a fast one is free,
 * and against a choice without regard to the batch. */
TEST(Pac, PrefersTheFasterAndTheEmptier)
{
	Pac pac;
	struct pac_engine speeds[] = { engine("slow", 120 * MS),
				       engine("fast", 50 * MS) };
	struct pac_engine loads[] = { engine("x", 75 * MS, 15),
				      engine("y", 75 * MS, 3) };
	struct pac_slot slot = {};

	ASSERT_TRUE(pac_assign(pac.p, speeds, 2, 1460, 0, S, &slot));
	EXPECT_EQ(slot.engine, 1u);
	ASSERT_TRUE(pac_assign(pac.p, loads, 2, 1460, 0, S, &slot));
	EXPECT_EQ(slot.engine, 1u);
}

TEST(Pac, CountsWhatOthersAssignedAndForgetsEarlierProcesses)
{
	Pac pac;
	struct pac_engine engines[] = { engine("a", 75 * MS) };
	struct pac_slot slot = {};

	EXPECT_FALSE(pac_assign(pac.p, engines, 0, 1, 0, S, &slot));
	pac_observe(pac.p, "a", 1, 200 * MS, S, S);
	ASSERT_TRUE(pac_assign(pac.p, engines, 1, 1460, 300 * MS, S, &slot));
	EXPECT_GE(slot.delay_us, 200 * MS);
	engines[0].incarnation = 2;
	ASSERT_TRUE(pac_assign(pac.p, engines, 1, 1460, 300 * MS, S, &slot));
	EXPECT_EQ(slot.delay_us, 0);
}

/* Guards against memory that grows with engines and prompts of the past. */
TEST(Pac, MemoryIsBounded)
{
	Pac pac;
	struct pac_slot slot = {};
	struct pac_send sends[64];
	size_t n;

	for (int i = 0; i < 5000; i++) {
		std::string id = "e" + std::to_string(i);
		struct pac_engine e = engine(id.c_str(), 75 * MS);

		pac_assign(pac.p, &e, 1, 100, 0, S, &slot);
	}
	EXPECT_LE(pac_untaken(pac.p), 512u);
	n = pac_take(pac.p, sends, 64);
	EXPECT_EQ(n, 64u);
	EXPECT_STREQ(sends[0].id, "e0");
	for (size_t i = 0; i < n; i++)
		g_free(sends[i].id);
	struct pac_engine e = engine("last", 75 * MS);

	pac_assign(pac.p, &e, 1, 100, 0, 5 * S, &slot);
	EXPECT_LE(pac_engines(pac.p), 1u);
}

/* ---- Coordinators ---- */

std::map<std::string, std::string> coordinators_of(const std::set<unsigned> &n,
						   size_t *count)
{
	const Dsp__Node *list[PAC_COORDINATORS_MAX];
	std::map<std::string, std::string> by_model;
	ViewPtr view = make_view(n, {});

	*count = pac_coordinators(view.get(), list);
	for (int m = 0; m < 147; m++) {
		std::string model = "m" + std::to_string(m);

		by_model[model] =
			pac_coordinator(list, *count, model.c_str())->id;
	}
	return by_model;
}

/* Guards against models that change their coordinator when an entry that is
 * not theirs leaves. */
TEST(Coordinators, OneForTwentyEntriesAndStableWhenOneLeaves)
{
	std::set<unsigned> nodes = first_nodes(88);
	size_t n = 0;
	auto before = coordinators_of(nodes, &n);
	std::set<std::string> used;

	EXPECT_EQ(n, 5u);
	for (auto &[model, node] : before)
		used.insert(node);
	EXPECT_EQ(used.size(), 5u);
	for (unsigned left = 0; left < 88; left++) {
		std::set<unsigned> rest = nodes;
		unsigned moved = 0;

		rest.erase(left);
		for (auto &[model, node] : coordinators_of(rest, &n))
			moved += node != before[model] &&
				 before[model] != node_id(left);
		/* Another entry may take its place, and a part of the models
		 * goes to that one. */
		if (!used.count(node_id(left))) {
			EXPECT_EQ(moved, 0u);
		}
		EXPECT_LT(moved, 147u / 2);
	}
	coordinators_of(first_nodes(9), &n);
	EXPECT_EQ(n, 4u);
	coordinators_of(first_nodes(400), &n);
	EXPECT_EQ(n, 20u);
	EXPECT_EQ(pac_coordinator(nullptr, 0, "m"), nullptr);
}

/* ---- What the balancer offers and accepts ---- */

struct Balancer {
	explicit Balancer(unsigned entries)
	    : bal(bal_new()),
	      view(make_view(first_nodes(entries),
			     { { "e1", { "m" } }, { "e2", { "m" } } }))
	{
		bal_set_view(bal, view.get(), "node-0");
		query.service = "llm";
		query.model = "m";
		query.tokens = TOKENS;
	}
	~Balancer()
	{
		bal_free(bal);
	}
	bool accepts(const char *id, uint64_t incarnation = 1)
	{
		return bal_choose_named(bal, &query, id, incarnation, S)
			       .outcome == BAL_CHOSEN;
	}
	size_t offers()
	{
		struct pac_engine out[8];

		return bal_offers(bal, &query, S, out, 8);
	}
	struct bal *bal;
	ViewPtr view;
	struct bal_query query = {};
};

/* Guards against a request that goes where bal_choose() would not send it,
 * because a coordinator with another view said so. */
TEST(PacBalancer, SlotIsUsedOnlyWhereTheEngineIsUsable)
{
	Balancer b(20);
	const char *avoid[] = { "e1", nullptr };

	EXPECT_EQ(b.offers(), 2u);
	EXPECT_TRUE(b.accepts("e1"));
	EXPECT_FALSE(b.accepts("e1", 2));
	EXPECT_FALSE(b.accepts("e3"));
	b.query.avoid = avoid;
	EXPECT_FALSE(b.accepts("e1"));
	b.query.avoid = nullptr;
	b.query.adapter = "a";
	EXPECT_FALSE(b.accepts("e1"));
	b.query.adapter = nullptr;
	b.query.model = "other";
	EXPECT_FALSE(b.accepts("e1"));
	b.query.model = "m";
	bal_saw_hint(b.bal, "e1", 1, false, 5 * S, 0, S - 1);
	EXPECT_FALSE(b.accepts("e1"));
	EXPECT_EQ(b.offers(), 1u);

	struct bal_endpoint *e = bal_choose(b.bal, &b.query, S).endpoint;

	bal_begin(b.bal, e, TOKENS, S);
	bal_end(b.bal, e, BAL_UNREACHED, TOKENS, S);
	EXPECT_FALSE(b.accepts("e2"));
	/* Others may reach what the coordinator does not. */
	EXPECT_EQ(b.offers(), 1u);
}

bool only_second(const void *, const char *address)
{
	return !strcmp(address, "10.1.0.1:e2");
}

TEST(PacBalancer, IdleConnectionDecidesAmongEqualEndpointsOfManyEntries)
{
	for (unsigned entries : { 4u, 20u }) {
		Balancer b(entries);
		std::string usual;

		b.query.model = nullptr;
		usual = bal_id(bal_choose(b.bal, &b.query, S).endpoint);
		b.query.is_connected = only_second;
		EXPECT_EQ(bal_id(bal_choose(b.bal, &b.query, S).endpoint),
			  entries == 20 ? "e2" : usual);
		EXPECT_EQ(bal_is_large(b.bal), entries == 20);
	}
}

/* ---- Simulated deployment ---- */

enum class Mode { CENTRAL, PACED, ALONE };

constexpr unsigned ENTRIES = 88;
constexpr unsigned ENGINES = 90;
constexpr unsigned MODELS = 147;
constexpr double RATE = 343;
constexpr int64_t ONE_WAY = 1400;
constexpr int64_t LOAD_DELAY = 400 * MS;
constexpr int64_t STREAM = 1700 * MS;
constexpr double TOKENS_PER_MS = 20.4;

class Deployment : Events
{
      public:
	Deployment(Mode how, unsigned seed) : mode(how), random(seed)
	{
		place();
		view = make_view(first_nodes(ENTRIES), holdings).release();
		n_coordinators = pac_coordinators(view, list);
		if (mode == Mode::CENTRAL)
			n_coordinators = 1;
		for (size_t i = 0; i < n_coordinators; i++)
			pacs.push_back(pac_new());
		for (unsigned i = 0; mode == Mode::ALONE && i < ENTRIES; i++) {
			bals.push_back(bal_new());
			bal_set_view(bals.back(), view, node_id(i).c_str());
		}
	}
	~Deployment()
	{
		for (struct pac *p : pacs)
			pac_free(p);
		for (struct bal *b : bals)
			bal_free(b);
		view_unref(view);
	}

	void run(int64_t length)
	{
		schedule_arrival();
		exchange();
		report();
		run_until(length);
	}

	/* Share of prompts in a window of 250 ms with others at the engine. */
	double share_meeting(size_t others) const
	{
		size_t met = 0;
		size_t n = 0;

		for (const Engine &e : engines)
			for (size_t i = 0; i < e.arrivals.size(); i++, n++)
				met += most_met(e.arrivals, i) >= others;
		return (double)met / (double)n;
	}
	double late_share(int64_t limit) const
	{
		size_t late = 0;

		for (int64_t w : waits)
			late += w > limit;
		return (double)late / (double)waits.size();
	}
	size_t served() const
	{
		return waits.size();
	}

      private:
	struct Engine {
		double speed = 1;
		int64_t free_at = 0;
		unsigned load = 0;
		std::vector<int64_t> arrivals;
	};
	struct Reported {
		unsigned load = 0;
		int64_t at = 0;
	};

	Mode mode;
	std::mt19937 random;
	struct view *view;
	const Dsp__Node *list[PAC_COORDINATORS_MAX];
	size_t n_coordinators;
	std::vector<struct pac *> pacs;
	std::vector<struct bal *> bals;
	std::vector<Holding> holdings;
	std::vector<double> popularity;
	std::vector<std::vector<unsigned>> holders;
	std::vector<Engine> engines{ ENGINES };
	std::vector<Reported> reported{ ENGINES };
	std::vector<int64_t> waits;
	static size_t most_met(const std::vector<int64_t> &all, size_t i)
	{
		size_t most = 0;

		for (size_t from = i; from + 1 > 0; from--) {
			size_t to = from;

			if (all[i] - all[from] >= PAC_WINDOW_US)
				break;
			while (to < all.size() &&
			       all[to] - all[from] < PAC_WINDOW_US)
				to++;
			most = std::max(most, to - from);
			if (!from)
				break;
		}
		return most - 1;
	}

	/* Three models on each engine, and more copies of those that are asked
	 * for most. */
	void place()
	{
		std::vector<double> copies;
		std::vector<unsigned> order_of(ENGINES);
		double sum = 0;

		for (unsigned m = 0; m < MODELS; m++)
			sum += 1 / std::pow(m + 1, 0.9);
		for (unsigned m = 0; m < MODELS; m++)
			popularity.push_back(1 / std::pow(m + 1, 0.9) / sum);
		holders.resize(MODELS);
		for (unsigned e = 0; e < ENGINES; e++)
			holdings.push_back(
				{ "e" + std::to_string(100 + e), {} });
		for (unsigned i = 0; i < ENGINES * 3; i++) {
			unsigned m = i;

			for (unsigned k = 0; i >= MODELS && k < MODELS; k++)
				if (k == 0 ||
				    popularity[k] / holders[k].size() >
					    popularity[m] / holders[m].size())
					m = k;
			add_copy(m);
		}
	}

	void add_copy(unsigned m)
	{
		unsigned best = ENGINES;

		for (unsigned e = 0; e < ENGINES; e++) {
			const auto &has = holders[m];

			if (holdings[e].models.size() >= 3 ||
			    std::count(has.begin(), has.end(), e))
				continue;
			if (best == ENGINES || demand(e) < demand(best))
				best = e;
		}
		if (best == ENGINES)
			return;
		holders[m].push_back(best);
		holdings[best].models.push_back("m" + std::to_string(m));
	}

	double demand(unsigned e) const
	{
		double sum = 0;

		for (const std::string &name : holdings[e].models) {
			size_t m = (size_t)std::stoi(name.substr(1));

			sum += popularity[m] / (double)holders[m].size();
		}
		return sum + (double)holdings[e].models.size() * 0.001;
	}

	int64_t prefill(unsigned e) const
	{
		return (int64_t)(TOKENS / TOKENS_PER_MS * 1000 /
				 engines[e].speed);
	}

	void schedule_arrival()
	{
		std::exponential_distribution<double> gap(RATE);
		std::discrete_distribution<unsigned> pick(popularity.begin(),
							  popularity.end());
		unsigned model = pick(random);
		unsigned entry = (unsigned)(random() % ENTRIES);

		at(now() + (int64_t)(gap(random) * 1e6), [=] {
			if (mode == Mode::ALONE)
				decide_alone(entry, model, now());
			else
				ask(model, now());
			schedule_arrival();
		});
	}

	void ask(unsigned model, int64_t arrived)
	{
		int64_t way = mode == Mode::CENTRAL ? 0 : ONE_WAY;

		at(now() + way, [=] {
			std::string name = "m" + std::to_string(model);
			const Dsp__Node *node = pac_coordinator(
				list, n_coordinators, name.c_str());
			size_t c = 0;

			while (list[c] != node)
				c++;
			assign(c, model, arrived, way);
		});
	}

	void assign(size_t c, unsigned model, int64_t arrived, int64_t way)
	{
		std::vector<struct pac_engine> offers;
		struct pac_slot slot;

		for (unsigned e : holders[model]) {
			struct pac_engine offer = {};

			offer.id = holdings[e].id.c_str();
			offer.incarnation = 1;
			offer.prefill_us = prefill(e);
			offer.load = reported[e].load;
			offer.load_us = reported[e].at;
			offer.places = 16;
			offers.push_back(offer);
		}
		ASSERT_TRUE(pac_assign(pacs[c], offers.data(), offers.size(),
				       TOKENS, 250 * MS, now(), &slot));
		at(now() + way + slot.delay_us + ONE_WAY, [=] {
			begin(holders[model][slot.engine], arrived, ENTRIES);
		});
	}

	void decide_alone(unsigned entry, unsigned model, int64_t arrived)
	{
		struct bal *bal = bals[entry];
		std::string name = "m" + std::to_string(model);
		struct bal_query query = {};

		query.service = "llm";
		query.model = name.c_str();
		query.tokens = TOKENS;
		query.events = 40;
		query.gap_objective_us = 300 * MS;
		query.may_wait = now() - arrived < 170 * MS;
		struct bal_choice choice = bal_choose(bal, &query, now());

		if (choice.outcome != BAL_CHOSEN) {
			at(now() + 25 * MS,
			   [=] { decide_alone(entry, model, arrived); });
			return;
		}
		bal_begin(bal, choice.endpoint, TOKENS, now());
		unsigned e =
			(unsigned)std::stoi(bal_id(choice.endpoint) + 1) - 100;
		struct bal_endpoint *target = choice.endpoint;
		int64_t sent = now();

		at(now() + ONE_WAY, [=] {
			int64_t first = begin(e, arrived, entry);

			at(first + ONE_WAY, [=] {
				bal_first_byte(bal, target, TOKENS,
					       now() - sent, true);
			});
			at(first + STREAM, [=] {
				bal_end(bal, target, BAL_ANSWERED, 0, now());
			});
		});
	}

	/* The engine processes prompts in order. Returns the first event. */
	int64_t begin(unsigned e, int64_t arrived, unsigned)
	{
		Engine &engine = engines[e];

		engine.arrivals.push_back(now());
		engine.free_at = std::max(engine.free_at, now()) + prefill(e);
		engine.load++;
		waits.push_back(engine.free_at - arrived);
		at(engine.free_at + STREAM, [this, e] { engines[e].load--; });
		return engine.free_at;
	}

	void exchange()
	{
		for (size_t c = 0; c < pacs.size(); c++) {
			struct pac_send sends[64];
			size_t n = pac_take(pacs[c], sends, 64);

			for (size_t i = 0; i < n; i++)
				tell_others(c, sends[i]);
		}
		at(now() + 50 * MS, [this] { exchange(); });
	}

	void tell_others(size_t from, const struct pac_send &send)
	{
		std::string id = send.id;
		int64_t start = send.start_us;

		g_free(send.id);
		at(now() + ONE_WAY, [=] {
			unsigned e = (unsigned)std::stoi(id.substr(1)) - 100;

			for (size_t c = 0; c < pacs.size(); c++)
				if (c != from)
					pac_observe(pacs[c], id.c_str(), 1,
						    prefill(e), start, now());
		});
	}

	/* Loads arrive late, as by the reports of other entries. */
	void report()
	{
		int64_t seen = now();

		for (unsigned e = 0; e < ENGINES; e++) {
			unsigned load = engines[e].load;

			at(seen + LOAD_DELAY,
			   [=] { tell_load(e, load, seen); });
		}
		at(seen + 100 * MS, [this] { report(); });
	}

	void tell_load(unsigned e, unsigned load, int64_t seen)
	{
		Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

		reported[e].load = load;
		reported[e].at = seen;
		report.endpoint = (char *)holdings[e].id.c_str();
		report.incarnation = 1;
		report.running = load;
		report.age_ms = (uint32_t)((now() - seen) / MS);
		for (struct bal *bal : bals)
			bal_observe(bal, &report, now());
	}
};

struct Outcome {
	double two;
	double three;
	double late;
};

Outcome simulate(Mode mode, const char *name, unsigned seed)
{
	Deployment d(mode, seed);

	d.run(21 * S);
	Outcome o = { d.share_meeting(2), d.share_meeting(3),
		      d.late_share(500 * MS) };

	printf("%s seed=%u prompts=%zu meet_2=%.4f meet_3=%.4f "
	       "first_over_500ms=%.4f\n",
	       name, seed, d.served(), o.two, o.three, o.late);
	return o;
}

/* Guards against engines that get several prompts at once because each entry
 * decides alone. */
TEST(PacDeployment, FewPromptsMeetThreeOthersAtAnEngine)
{
	for (unsigned seed = 1; seed <= 3; seed++) {
		Outcome central = simulate(Mode::CENTRAL, "central", seed);
		Outcome paced = simulate(Mode::PACED, "paced", seed);
		Outcome alone = simulate(Mode::ALONE, "alone", seed);

		EXPECT_LT(central.three, 0.002);
		EXPECT_LT(paced.three, 0.01);
		EXPECT_LT(paced.three, alone.three / 4);
		EXPECT_LT(paced.late, 0.02);
	}
}

} // namespace
