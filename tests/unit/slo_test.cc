#include <algorithm>
#include <cstdio>

#include "pac_sim.h"

extern "C" {
#include "core/bal.h"
}

/*
 * Current slowness: the factor on the manual clock, and 88 dispatchers that
 * send to 90 endpoints of three speeds whose slowness jumps ten times a second.
 */
using namespace pac_sim;

namespace
{

TEST(Slo, CountsLessWithAgeAndWithLongerWork)
{
	struct slo s = {};

	EXPECT_EQ(slo_factor(&s, 50, S), 1.0);
	slo_saw(&s, 0, S);
	EXPECT_EQ(slo_factor(&s, 50, S), 1.0);
	for (int i = 0; i < 100; i++)
		slo_saw(&s, 100, S + i);
	slo_saw(&s, 250, 2 * S);
	EXPECT_GT(slo_factor(&s, 1, 2 * S), 2.0);
	EXPECT_GT(slo_factor(&s, 1, 2 * S), slo_factor(&s, 300, 2 * S));
	EXPECT_GT(slo_factor(&s, 1, 2 * S), slo_factor(&s, 1, 2 * S + 50 * MS));
	EXPECT_NEAR(slo_factor(&s, 1, 3 * S), 1, 0.01);
	slo_saw(&s, 100, S); /* older than the newest */
	EXPECT_GT(slo_factor(&s, 1, 2 * S), 2.0);
}

/* ---- Dispatchers ---- */

constexpr unsigned ENDPOINTS = 90;
constexpr unsigned ENTRIES = 88;
constexpr unsigned PLACES = 2;
constexpr double WORK_MS = 40;
constexpr double RATE = 2400;
constexpr int64_t LAG = 150 * MS;

enum class Rule { TOLD, UNTOLD, LEAST_LOADED, PERFECT };

class Fleet : Events
{
      public:
	Fleet(Rule how, unsigned seed)
	    : rule(how), random(seed), endpoints(ENDPOINTS)
	{
		std::vector<Holding> holdings;

		for (unsigned e = 0; e < ENDPOINTS; e++)
			holdings.push_back({ std::to_string(e), {}, PLACES });
		ViewPtr view = make_view(first_nodes(ENTRIES), holdings);

		for (unsigned i = 0; i < ENTRIES; i++) {
			bals.push_back(bal_new());
			bal_set_view(bals[i], view.get(), node_id(i).c_str());
		}
		for (unsigned e = 0; e < ENDPOINTS; e++) {
			const double speeds[] = { 0.6, 1, 1.6 };

			endpoints[e].speed = speeds[e % 3];
			jump(e);
		}
	}
	~Fleet()
	{
		for (struct bal *b : bals)
			bal_free(b);
	}

	void run(int64_t length)
	{
		arrive();
		run_until(length);
		std::sort(took.begin(), took.end());
	}
	double mean_ms() const
	{
		double sum = 0;

		for (int64_t t : took)
			sum += (double)t / MS;
		return sum / (double)took.size();
	}
	double percentile_ms(double share) const
	{
		return (double)took[(size_t)(share * (double)took.size())] / MS;
	}

      private:
	struct Endpoint {
		double speed = 1;
		double slowness = 1;
		unsigned running = 0;
		unsigned reported = 0;
		std::queue<std::function<void()>> waiting;
	};

	Rule rule;
	std::mt19937 random;
	std::vector<Endpoint> endpoints;
	std::vector<struct bal *> bals;
	std::vector<int64_t> took;

	/* 2.5 in 9 % of the time, else as usual. */
	void jump(unsigned e)
	{
		std::exponential_distribution<double> next(10);

		endpoints[e].slowness = random() % 100 < 9 ? 2.5 : 1;
		at(now() + (int64_t)(next(random) * 1e6), [=] { jump(e); });
	}

	void arrive()
	{
		std::exponential_distribution<double> next(RATE);
		unsigned entry = (unsigned)(random() % ENTRIES);

		send(entry, now());
		at(now() + (int64_t)(next(random) * 1e6), [=] { arrive(); });
	}

	static unsigned load(const Endpoint &e)
	{
		return e.running + (unsigned)e.waiting.size();
	}

	unsigned choose_by(const std::function<double(const Endpoint &)> &cost)
	{
		unsigned best = (unsigned)(random() % ENDPOINTS);

		for (unsigned i = 0, first = best; i < ENDPOINTS; i++) {
			unsigned e = (first + i) % ENDPOINTS;

			if (cost(endpoints[e]) < cost(endpoints[best]))
				best = e;
		}
		return best;
	}

	void send(unsigned entry, int64_t arrived)
	{
		struct bal_query query = {};
		struct bal_choice choice = {};

		query.service = "llm";
		switch (rule) {
		case Rule::LEAST_LOADED:
			return begin(choose_by([](const Endpoint &e) {
					     return (double)e.reported;
				     }),
				     entry, nullptr, arrived);
		case Rule::PERFECT:
			return begin(choose_by([](const Endpoint &e) {
					     return (load(e) + 1) * e.slowness /
						    e.speed;
				     }),
				     entry, nullptr, arrived);
		case Rule::TOLD:
		case Rule::UNTOLD:
			break;
		}
		choice = bal_choose(bals[entry], &query, now());
		if (choice.outcome != BAL_CHOSEN) {
			at(now() + 25 * MS, [=] { send(entry, arrived); });
			return;
		}
		bal_begin(bals[entry], choice.endpoint, 1, now());
		begin((unsigned)std::stoi(bal_id(choice.endpoint)), entry,
		      choice.endpoint, arrived);
	}

	void begin(unsigned e, unsigned entry, struct bal_endpoint *target,
		   int64_t arrived)
	{
		int64_t sent = now();
		auto work = [=] { start(e, entry, target, arrived, sent); };

		if (endpoints[e].running < PLACES)
			work();
		else
			endpoints[e].waiting.push(work);
	}

	/* The work goes on at the speed that it began with. */
	void start(unsigned e, unsigned entry, struct bal_endpoint *target,
		   int64_t arrived, int64_t sent)
	{
		Endpoint &endpoint = endpoints[e];
		double ms = WORK_MS * endpoint.slowness / endpoint.speed;

		endpoint.running++;
		at(now() + (int64_t)(ms * MS),
		   [=] { end(e, entry, target, arrived, sent); });
	}

	void end(unsigned e, unsigned entry, struct bal_endpoint *target,
		 int64_t arrived, int64_t sent)
	{
		Endpoint &endpoint = endpoints[e];

		endpoint.running--;
		if (!endpoint.waiting.empty()) {
			auto next = endpoint.waiting.front();

			endpoint.waiting.pop();
			next();
		}
		if (arrived > 4 * S) /* the speeds are known */
			took.push_back(now() - arrived);
		if (target) {
			bal_first_byte(bals[entry], target, 1, now() - sent,
				       true);
			bal_end(bals[entry], target, BAL_ANSWERED, 0, now());
			bal_report(bals[entry], target, load(endpoint), 0,
				   now());
			bal_saw_slowness(bals[entry], target, told(endpoint),
					 now());
		}
		report(e);
	}

	uint32_t told(const Endpoint &e) const
	{
		return rule == Rule::TOLD ? (uint32_t)(100 * e.slowness) : 0;
	}

	/* The other dispatchers learn it later. */
	void report(unsigned e)
	{
		unsigned seen = load(endpoints[e]);
		uint32_t slowness = told(endpoints[e]);

		if (random() % 8)
			return;
		at(now() + LAG, [=] {
			std::string id = std::to_string(e);
			Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

			endpoints[e].reported = seen;
			report.endpoint = (char *)id.c_str();
			report.incarnation = 1;
			report.running = seen;
			report.slowness_percent = slowness;
			report.age_ms = LAG / MS;
			for (struct bal *b : bals)
				bal_observe(b, &report, now());
		});
	}
};

double mean_of(Rule rule, const char *name, unsigned seed)
{
	Fleet fleet(rule, seed);

	fleet.run(12 * S);
	printf("%s seed=%u mean_ms=%.1f p99_ms=%.1f\n", name, seed,
	       fleet.mean_ms(), fleet.percentile_ms(0.99));
	return fleet.mean_ms();
}

/* Guards against a figure that is taken for more than it says: dispatchers that
 * all go to whichever endpoint was fast some time ago. */
TEST(Slowness, HelpsAndAttractsNoHerd)
{
	for (unsigned seed = 1; seed <= 2; seed++) {
		double told = mean_of(Rule::TOLD, "told", seed);
		double untold = mean_of(Rule::UNTOLD, "untold", seed);
		double least = mean_of(Rule::LEAST_LOADED, "least", seed);
		double perfect = mean_of(Rule::PERFECT, "perfect", seed);

		EXPECT_LE(told, untold * 1.01);
		EXPECT_LT(told, least);
		EXPECT_GT(told, perfect);
	}
}

} // namespace
