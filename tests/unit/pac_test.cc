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
	e.stream_us = 2 * S;
	return e;
}

bool assign(struct pac *p, const struct pac_engine *engines, size_t n,
	    int64_t wait_max_us, int64_t now_us, struct pac_slot *slot)
{
	struct pac_query query = { TOKENS, wait_max_us, now_us };

	return pac_assign(p, engines, n, &query, slot);
}

TEST(Pac, SpreadsPromptsOverEnginesThenInTime)
{
	Pac pac;
	struct pac_engine engines[] = { engine("a", 75 * MS),
					engine("b", 75 * MS) };
	struct pac_slot slot[3] = {};

	for (auto &s : slot)
		ASSERT_TRUE(assign(pac.p, engines, 2, 450 * MS, S, &s));
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

	ASSERT_TRUE(assign(pac.p, speeds, 2, 0, S, &slot));
	EXPECT_EQ(slot.engine, 1u);
	ASSERT_TRUE(assign(pac.p, loads, 2, 0, S, &slot));
	EXPECT_EQ(slot.engine, 1u);
}

TEST(Pac, CountsWhatOthersAssignedAndForgetsEarlierProcesses)
{
	Pac pac;
	struct pac_engine engines[] = { engine("a", 75 * MS) };
	struct pac_slot slot = {};

	EXPECT_FALSE(assign(pac.p, engines, 0, 0, S, &slot));
	pac_observe(pac.p, "a", 1, 200 * MS, S, S);
	ASSERT_TRUE(assign(pac.p, engines, 1, 450 * MS, S, &slot));
	EXPECT_GE(slot.delay_us, 200 * MS);
	engines[0].incarnation = 2;
	ASSERT_TRUE(assign(pac.p, engines, 1, 300 * MS, S, &slot));
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

		assign(pac.p, &e, 1, 0, S, &slot);
	}
	EXPECT_LE(pac_untaken(pac.p), 512u);
	n = pac_take(pac.p, sends, 64);
	EXPECT_EQ(n, 64u);
	EXPECT_STREQ(sends[0].id, "e0");
	for (size_t i = 0; i < n; i++)
		g_free(sends[i].id);
	struct pac_engine e = engine("last", 75 * MS);

	assign(pac.p, &e, 1, 0, 5 * S, &slot);
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
constexpr unsigned PLACES = 16;
constexpr double RATE = 343;
constexpr int64_t ONE_WAY = 1400;
constexpr int64_t OBJECTIVE = 500 * MS;
constexpr double TOKENS_PER_MS = 20.4;
constexpr size_t MET_MAX = 9;

class Deployment : Events
{
      public:
	Deployment(Mode how, unsigned seed) : mode(how), random(seed)
	{
		std::lognormal_distribution<double> skew(0, 0.5);
		std::lognormal_distribution<double> wrong(0, 0.25);

		place();
		for (double p : popularity)
			demanded.push_back(p * skew(random));
		for (unsigned e = 0; e < ENGINES; e++) {
			const double speeds[] = { 0.6, 1, 1.6 };

			engines[e].speed = speeds[e % 3];
		}
		error.resize(PAC_COORDINATORS_MAX);
		for (auto &of_coordinator : error)
			for (unsigned e = 0; e < ENGINES; e++)
				of_coordinator.push_back(
					mode == Mode::CENTRAL ? 1
							      : wrong(random));
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

	/* Share of streams by the most others in a window of 250 ms of their
	 * life at their engine. */
	std::vector<double> meeting() const
	{
		std::vector<double> share(MET_MAX);
		size_t n = 0;

		for (const Engine &e : engines)
			n += e.streams.size();
		for (const Engine &e : engines)
			for (const Stream &stream : e.streams)
				share[std::min(most_met(e, stream),
					       MET_MAX - 1)] += 1.0 / (double)n;
		return share;
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
	unsigned waited_for_place = 0;

      private:
	struct Stream {
		int64_t from;
		int64_t to;
	};
	struct Engine {
		double speed = 1;
		int64_t free_at = 0;
		unsigned running = 0;
		std::vector<Stream> streams; /* by arrival */
		std::queue<std::function<void()>> waiting;
	};
	struct Prompt {
		unsigned model;
		unsigned entry;
		uint32_t tokens;
		int64_t arrived;
		int64_t stream;
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
	std::vector<double> popularity; /* for the placement */
	std::vector<double> demanded;
	std::vector<std::vector<double>> error; /* of prefill times */
	std::vector<std::vector<unsigned>> holders;
	std::vector<Engine> engines{ ENGINES };
	std::vector<Reported> reported{ ENGINES };
	std::vector<int64_t> waits;
	static size_t most_met(const Engine &e, const Stream &stream)
	{
		size_t most = 0;
		size_t to = 0;

		for (size_t i = 0; i < e.streams.size(); i++) {
			int64_t from = e.streams[i].from;
			bool own = from <= stream.from &&
				   stream.from < from + PAC_WINDOW_US;

			while (to < e.streams.size() &&
			       e.streams[to].from < from + PAC_WINDOW_US)
				to++;
			if (from + PAC_WINDOW_US > stream.from &&
			    from < stream.to)
				most = std::max(most, to - i - own);
		}
		return most;
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

	int64_t prefill(unsigned e, uint32_t tokens) const
	{
		return (int64_t)(tokens / TOKENS_PER_MS * 1000 /
				 engines[e].speed);
	}

	void schedule_arrival()
	{
		std::exponential_distribution<double> gap(RATE);
		std::discrete_distribution<unsigned> pick(demanded.begin(),
							  demanded.end());
		std::lognormal_distribution<double> size(7.1, 0.6);
		std::uniform_int_distribution<int64_t> stream(2 * S, 4 * S);
		Prompt p = {};

		p.model = pick(random);
		p.entry = (unsigned)(random() % ENTRIES);
		p.tokens = (uint32_t)std::min(size(random), 3790.0);
		p.stream = stream(random);
		at(now() + (int64_t)(gap(random) * 1e6), [=] {
			Prompt arrived = p;

			arrived.arrived = now();
			if (mode == Mode::ALONE)
				decide_alone(arrived);
			else
				ask(arrived);
			schedule_arrival();
		});
	}

	void ask(const Prompt &p)
	{
		int64_t way = mode == Mode::CENTRAL ? 0 : ONE_WAY;

		at(now() + way, [=] {
			std::string name = "m" + std::to_string(p.model);
			const Dsp__Node *node = pac_coordinator(
				list, n_coordinators, name.c_str());
			size_t c = 0;

			while (list[c] != node)
				c++;
			assign_at(c, p, way);
		});
	}

	void assign_at(size_t c, const Prompt &p, int64_t way)
	{
		std::vector<struct pac_engine> offers;
		std::vector<unsigned> offered;
		int64_t left = p.arrived + OBJECTIVE - 40 * MS - now();
		struct pac_query query = { p.tokens, left, now() };
		struct pac_slot slot;

		for (unsigned e : holders[p.model]) {
			struct pac_engine offer = {};

			if (reported[e].load >= PLACES + 2)
				continue;
			offer.id = holdings[e].id.c_str();
			offer.incarnation = 1;
			offer.prefill_us =
				(int64_t)(error[c][e] *
					  (double)prefill(e, p.tokens));
			offer.stream_us = 3 * S;
			offer.load = reported[e].load;
			offer.load_us = reported[e].at;
			offer.places = PLACES;
			offers.push_back(offer);
			offered.push_back(e);
		}
		query.wait_max_us = std::max<int64_t>(left, 0);
		if (!pac_assign(pacs[c], offers.data(), offers.size(), &query,
				&slot)) {
			at(now() + 25 * MS, [=] { ask(p); });
			return;
		}
		at(now() + way + slot.delay_us + ONE_WAY,
		   [=] { begin(offered[slot.engine], p); });
	}

	void decide_alone(const Prompt &p)
	{
		struct bal *bal = bals[p.entry];
		std::string name = "m" + std::to_string(p.model);
		struct bal_query query = {};

		query.service = "llm";
		query.model = name.c_str();
		query.tokens = p.tokens;
		query.events = 40;
		query.gap_objective_us = 300 * MS;
		query.may_wait = now() - p.arrived < 170 * MS;
		struct bal_choice choice = bal_choose(bal, &query, now());

		if (choice.outcome != BAL_CHOSEN) {
			at(now() + 25 * MS, [=] { decide_alone(p); });
			return;
		}
		bal_begin(bal, choice.endpoint, p.tokens, now());
		unsigned e =
			(unsigned)std::stoi(bal_id(choice.endpoint) + 1) - 100;
		struct bal_endpoint *target = choice.endpoint;
		int64_t sent = now();

		at(now() + ONE_WAY, [=] {
			begin(e, p, [=](int64_t first) {
				at(first + ONE_WAY, [=] {
					bal_first_byte(bal, target, p.tokens,
						       now() - sent, true);
				});
				at(first + p.stream, [=] {
					bal_end(bal, target, BAL_ANSWERED, 0,
						now());
				});
			});
		});
	}

	/* The engine processes prompts in order, if it has a place. */
	void begin(unsigned e, const Prompt &p,
		   const std::function<void(int64_t)> &sent = nullptr)
	{
		Engine &engine = engines[e];
		size_t i = engine.streams.size();
		auto work = [=] {
			Engine &at_engine = engines[e];
			int64_t first = std::max(at_engine.free_at, now()) +
					prefill(e, p.tokens);

			at_engine.running++;
			at_engine.free_at = first;
			at_engine.streams[i].to = first + p.stream;
			waits.push_back(first - p.arrived);
			if (sent)
				sent(first);
			at(first + p.stream, [=] { end(e); });
		};

		engine.streams.push_back({ now(), now() });
		if (engine.running < PLACES)
			return work();
		waited_for_place++;
		engine.waiting.push(work);
	}

	void end(unsigned e)
	{
		Engine &engine = engines[e];

		engine.running--;
		if (engine.waiting.empty())
			return;
		auto next = engine.waiting.front();

		engine.waiting.pop();
		next();
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
		uint32_t tokens = send.tokens;

		g_free(send.id);
		at(now() + ONE_WAY, [=] {
			unsigned e = (unsigned)std::stoi(id.substr(1)) - 100;

			for (size_t c = 0; c < pacs.size(); c++)
				if (c != from)
					pac_observe(pacs[c], id.c_str(), 1,
						    prefill(e, tokens), start,
						    now());
		});
	}

	/* Loads arrive late, as by the reports of other entries. */
	void report()
	{
		int64_t seen = now();

		for (unsigned e = 0; e < ENGINES; e++) {
			unsigned load = engines[e].running +
					(unsigned)engines[e].waiting.size();
			int64_t delay =
				500 * MS + (int64_t)(random() % 500) * MS;

			at(seen + delay, [=] { tell_load(e, load, seen); });
		}
		at(seen + 250 * MS, [this] { report(); });
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
	double three = 0; /* met three others or more */
	double gaps = 0;  /* expected share with a late gap */
	double first = 0; /* share with a late first event */
};

Outcome simulate(Mode mode, const char *name, unsigned seed)
{
	/* Share of streams with a late gap by the others that they met, as
	 * measured on a day of the second deployment. */
	const double late[MET_MAX] = { 0,    0.016, 0.059, 0.13, 0.18,
				       0.23, 0.30,  0.37,  0.45 };
	Deployment d(mode, seed);
	Outcome o;

	d.run(21 * S);
	printf("%s seed=%u prompts=%zu met:", name, seed, d.served());
	std::vector<double> met = d.meeting();

	for (size_t i = 0; i < MET_MAX; i++) {
		printf(" %.2f", met[i]);
		o.gaps += met[i] * late[i];
		o.three += i >= 3 ? met[i] : 0;
	}
	o.first = d.late_share(OBJECTIVE);
	printf(" gaps_late=%.3f first_late=%.3f no_place=%u\n", o.gaps, o.first,
	       d.waited_for_place);
	return o;
}

/* Guards against engines that get several prompts at once because each entry
 * decides alone, and against a coordination that crowds the fast ones. */
TEST(PacDeployment, FewerPromptsMeetAtAnEngineThanWithoutCoordination)
{
	for (unsigned seed = 1; seed <= 3; seed++) {
		Outcome central = simulate(Mode::CENTRAL, "central", seed);
		Outcome paced = simulate(Mode::PACED, "paced", seed);
		Outcome alone = simulate(Mode::ALONE, "alone", seed);

		EXPECT_LT(paced.three, alone.three / 2);
		EXPECT_LT(paced.gaps, alone.gaps / 2);
		EXPECT_LT(paced.first, alone.first);
		EXPECT_LE(central.gaps, paced.gaps);
	}
}

} // namespace
