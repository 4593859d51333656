#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/quo.h"
#include "core/tok.h"
}

/*
 * Quotas of several leaders and many entries on simulated time. The histories
 * guard against use above the bound of core/quo.h while leaders change, freeze
 * or are cut off, entries freeze, limits change, and messages are lost, late or
 * duplicated; the other tests against refusals below the limit, and against
 * limits that cannot be used in full.
 *
 * QUOTA_SEED: first seed; QUOTA_HISTORIES: their number (64).
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t ELECTION = 500 * MS;

struct Limit {
	std::string name;
	double rate;
	double burst;
	bool tokens;
};

std::vector<Limit> usual_limits()
{
	return { { "large", 245170, 245170, true },
		 { "middle", 60000, 60000, true },
		 { "calls", 30, 30, false },
		 { "tiny-burst", 20000, 4000, true },
		 { "smallest", 2700, 2700, true } };
}

struct Table {
	std::vector<Dsp__Customer> all;
	std::vector<Dsp__Customer *> pointers;
	Dsp__Customers message = DSP__CUSTOMERS__INIT;

	explicit Table(const std::vector<Limit> &limits) : all(limits.size())
	{
		for (size_t i = 0; i < limits.size(); i++) {
			dsp__customer__init(&all[i]);
			all[i].name = (char *)limits[i].name.c_str();
			all[i].rate = limits[i].rate;
			all[i].burst = limits[i].burst;
			all[i].counts_tokens = limits[i].tokens;
			pointers.push_back(&all[i]);
		}
		message.all = pointers.data();
		message.n_all = pointers.size();
	}
};

struct Net {
	double lost = 0;
	double copied = 0;
	double late = 0; /* by up to 1.5 s */
};

struct Use {
	int64_t us;
	double units;
};

struct Results {
	std::vector<Use> used;
	double asked = 0; /* units of all requests */
	unsigned requests = 0, denied = 0, no_grant = 0;
	unsigned at_once = 0; /* without a wait */
	int64_t longest_wait_us = 0;
};

struct Request {
	struct tok_item item = {};
	size_t customer = 0;
	int64_t arrived_us = 0;
};

struct Entry {
	struct tok *tok = nullptr;
	size_t leader = 0;
	int64_t frozen_until = 0;
	std::list<Request> requests;
	int64_t wake_us = INT64_MAX;
};

struct Leader {
	struct quo *quo = nullptr;
	int64_t answers_until = INT64_MAX;
	int64_t frozen_until = 0;
};

class World
{
      public:
	World(uint64_t seed, size_t n, std::vector<Limit> l, Net net_)
	    : net(net_), random(seed), limits(std::move(l)),
	      results(limits.size()), entries(n)
	{
		tables.push_back(std::make_unique<std::vector<Limit>>(limits));
		add_leader();
		for (size_t i = 0; i < n; i++) {
			entries[i].tok = tok_new(1 + i * 1000000);
			apply(i);
			tick(i);
		}
		history.push_back({ 0, limits });
	}

	~World()
	{
		for (auto &e : entries) {
			for (auto &r : e.requests)
				tok_give_back(e.tok, &r.item, now);
			tok_free(e.tok);
		}
		for (auto &l : leaders)
			quo_free(l.quo);
	}

	void at(int64_t us, std::function<void()> f)
	{
		events.push({ us, order++, std::move(f) });
	}

	void run_until(int64_t end)
	{
		while (!events.empty() && events.top().us <= end) {
			Event event = events.top();

			events.pop();
			now = event.us;
			event.f();
		}
		now = end;
	}

	double uniform(double low, double high)
	{
		return std::uniform_real_distribution<>(low, high)(random);
	}

	bool chance(double p)
	{
		return uniform(0, 1) < p;
	}

	/* Requests at factor times the rate, until the end. conforming: never
	 * more than factor times rate and burst in any interval. */
	void demand(size_t c, double factor, int64_t from, int64_t end,
		    bool conforming)
	{
		double mean = limits[c].tokens ? 1540 : 1;
		double rate = factor * limits[c].rate / mean;
		double level = factor * limits[c].burst;
		int64_t level_us = from;
		int64_t us = from;

		if (rate <= 0)
			return;
		for (;;) {
			double units =
				limits[c].tokens ? uniform(1460, 1620) : 1;

			us += (int64_t)(std::exponential_distribution<>(
						conforming ? 2 * rate
							   : rate)(random) *
					S);
			if (us >= end)
				return;
			level += (double)(us - level_us) / S * factor *
				 limits[c].rate;
			level = std::min(level, factor * limits[c].burst);
			level_us = us;
			if (conforming && level < units)
				continue;
			level -= units;
			at(us, [this, c, units] { arrive(c, units); });
		}
	}

	void replace_leader(int64_t delay)
	{
		at(now + delay, [this] {
			add_leader();
			for (size_t i = 0; i < entries.size(); i++)
				at(now + (int64_t)uniform(0, 300 * MS),
				   [this, i] { learn(i); });
		});
	}

	/* Ends the leadership in a random way. */
	void end_leadership()
	{
		Leader &old = leaders.back();
		int64_t election = ELECTION + (int64_t)uniform(0, 700 * MS);

		switch ((int)uniform(0, 4)) {
		case 0: /* hands over */
			old.answers_until = now;
			replace_leader(0);
			break;
		case 1: /* killed */
			old.answers_until = now;
			replace_leader(election);
			break;
		case 2: /* cut off from the others, not from all entries */
			old.answers_until = now + ELECTION;
			replace_leader(election);
			break;
		default: /* frozen, with its input kept */
			old.answers_until = now + ELECTION;
			old.frozen_until = now + (int64_t)uniform(0, 3 * S);
			replace_leader(election);
			break;
		}
	}

	void freeze(size_t i, int64_t us)
	{
		entries[i].frozen_until = now + us;
	}

	void set_limits(const std::vector<Limit> &to)
	{
		limits = to;
		tables.push_back(std::make_unique<std::vector<Limit>>(to));
		history.push_back({ now, to });
		Table table(*tables.back());

		quo_set_customers(leaders.back().quo, &table.message, now);
		for (size_t i = 0; i < entries.size(); i++)
			at(now + (int64_t)uniform(0, 500 * MS),
			   [this, i] { apply(i); });
	}

	/* Highest use in any 8 s, as a share of the bound. */
	double worst(size_t c) const
	{
		const auto &used = results[c].used;
		double sum = 0;
		double out = 0;
		size_t first = 0;

		for (size_t i = 0; i < used.size(); i++) {
			sum += used[i].units;
			while (used[first].us <= used[i].us - 8 * S)
				sum -= used[first++].units;
			out = std::max(out, sum / bound(c, used[i].us));
		}
		return out;
	}

	/* Highest use in any 2 s as a share of what the buckets can grant for
	 * it: the bound above hides faults within its allowance. Without
	 * changes of limits. */
	double worst_short(size_t c) const
	{
		const auto &used = results[c].used;
		const Limit &l = limits[c];
		double slack = std::max(0.1 * l.burst - 0.02 * l.rate +
						(l.tokens ? 11000 : 0),
					0.0);
		double largest = l.tokens ? 1620 : 1;
		double sum = 0;
		double out = 0;
		size_t first = 0;

		for (size_t i = 0; i < used.size(); i++) {
			sum += used[i].units;
			while (used[first].us <= used[i].us - 2 * S)
				sum -= used[first++].units;
			auto changes = std::count_if(
				began.begin(), began.end(), [&](int64_t at) {
					return at > used[i].us - 3 * S &&
					       at <= used[i].us;
				});
			out = std::max(out,
				       sum / (0.98 * l.rate * 3 + l.burst +
					      0.5 * slack +
					      0.125 * slack * (double)changes +
					      largest));
		}
		return out;
	}

	/* A lower limit binds one window after its table. */
	double bound(size_t c, int64_t us) const
	{
		double out = 0;

		for (size_t i = 0; i < history.size(); i++) {
			const Limit &l = history[i].limits[c];

			if (i + 1 < history.size() &&
			    history[i + 1].us < us - 16 * S - 500 * MS)
				continue;
			if (history[i].us > us)
				break;
			out = std::max(out, (8 * l.rate + l.burst) * 1.1 +
						    (l.tokens ? 11000 : 0));
		}
		return out;
	}

	/* Use from a time on as a share of the rate. */
	double share(size_t c, int64_t from, int64_t end) const
	{
		double sum = 0;

		for (const Use &use : results[c].used)
			if (use.us >= from && use.us < end)
				sum += use.units;
		return sum * S / limits[c].rate / (double)(end - from);
	}

	int64_t now = 0;
	Net net;
	std::mt19937_64 random;
	std::vector<Limit> limits;
	std::vector<Results> results;
	std::vector<Entry> entries;
	std::deque<Leader> leaders;
	uint64_t asks = 0;
	uint64_t messages = 0;
	double short_wait = 0.3; /* share of requests with 50 ms to wait */
	double hot = 0;		 /* share of requests at the first entry */
	double queued = 0;	 /* share that waits after its grant */
	double given_back = 0;	 /* share that runs nowhere */

      private:
	struct Event {
		int64_t us;
		uint64_t order;
		std::function<void()> f;
		bool operator<(const Event &other) const
		{
			return us != other.us ? us > other.us
					      : order > other.order;
		}
	};
	struct Change {
		int64_t us;
		std::vector<Limit> limits;
	};

	void add_leader()
	{
		Table table(limits);

		began.push_back(now);
		leaders.emplace_back();
		leaders.back().quo = quo_new();
		quo_begin(leaders.back().quo, leaders.size(), &table.message,
			  now);
	}

	/* Runs f now, or when the entry is not frozen any more. */
	void on_entry(size_t i, std::function<void()> f)
	{
		if (now < entries[i].frozen_until) {
			at(entries[i].frozen_until,
			   [this, i, f] { on_entry(i, f); });
			return;
		}
		f();
		work(i);
	}

	void apply(size_t i)
	{
		on_entry(i, [this, i] {
			Table table(*tables.back());

			tok_set_customers(entries[i].tok, &table.message, now);
		});
	}

	void learn(size_t i)
	{
		on_entry(i, [this, i] {
			entries[i].leader = leaders.size() - 1;
			tok_ask_again(entries[i].tok, now);
		});
	}

	void tick(size_t i)
	{
		on_entry(i, [this, i] { tok_run(entries[i].tok, now); });
		at(now + 100 * MS + (int64_t)uniform(0, MS),
		   [this, i] { tick(i); });
	}

	void deliver(std::function<void()> f)
	{
		int copies = chance(net.copied) ? 2 : 1;

		for (int k = 0; k < copies; k++) {
			int64_t delay = (int64_t)uniform(500, 2000);

			if (chance(net.lost))
				continue;
			if (chance(net.late))
				delay += (int64_t)uniform(0, 1500 * MS);
			at(now + delay, f);
		}
	}

	void answer(size_t i, size_t to, std::shared_ptr<Dsp__QuotaAsks> asked)
	{
		Leader &leader = leaders[to];

		if (now < leader.frozen_until) {
			at(leader.frozen_until,
			   [this, i, to, asked] { answer(i, to, asked); });
			return;
		}
		if (now >= leader.answers_until)
			return;
		std::string sender = "entry-" + std::to_string(i);
		std::shared_ptr<Dsp__QuotaGrants> grants(
			quo_answer(leader.quo, sender.c_str(), asked.get(),
				   now),
			[](Dsp__QuotaGrants *g) {
				dsp__quota_grants__free_unpacked(g, nullptr);
			});

		asks += asked->n_asks;
		messages++;
		deliver([this, i, grants] {
			on_entry(i, [this, i, grants] {
				tok_granted(entries[i].tok, grants.get(), now);
			});
		});
	}

	void work(size_t i)
	{
		Entry &e = entries[i];
		struct tok_item *item;
		int64_t due;

		if (tok_due_us(e.tok, now) <= now)
			tok_run(e.tok, now);
		while ((item = tok_decided(e.tok)))
			decided(i, item);
		if (Dsp__QuotaAsks *out = tok_asks(e.tok, now)) {
			std::shared_ptr<Dsp__QuotaAsks> message(
				out, [](Dsp__QuotaAsks *a) {
					dsp__quota_asks__free_unpacked(a,
								       nullptr);
				});
			size_t to = e.leader;

			deliver([this, i, to, message] {
				answer(i, to, message);
			});
		}
		due = tok_due_us(e.tok, now);
		if (due == INT64_MAX || (e.wake_us > now && e.wake_us <= due))
			return;
		due = std::max(due, now + 1);
		e.wake_us = due;
		at(due, [this, i, due] {
			if (entries[i].wake_us != due)
				return;
			entries[i].wake_us = INT64_MAX;
			on_entry(i, [] {});
		});
	}

	std::list<Request>::iterator find(size_t i, struct tok_item *item)
	{
		auto &all = entries[i].requests;
		auto at = all.begin();

		while (&at->item != item)
			++at;
		return at;
	}

	void arrive(size_t c, double units)
	{
		size_t i = chance(hot) ? 0 : random() % entries.size();

		results[c].requests++;
		results[c].asked += units;
		on_entry(i, [this, i, c, units] {
			Entry &e = entries[i];
			int64_t wait = chance(short_wait) ? 50 * MS : 250 * MS;

			e.requests.emplace_front();
			Request &r = e.requests.front();

			r.customer = c;
			r.arrived_us = now;
			switch (tok_take(e.tok, &r.item, limits[c].name.c_str(),
					 (uint64_t)units, wait, now)) {
			case TOK_WAITING:
				break;
			case TOK_DENIED:
				results[c].denied++;
				e.requests.pop_front();
				break;
			default:
				results[c].at_once++;
				held(i, &r.item);
			}
		});
	}

	void decided(size_t i, struct tok_item *item)
	{
		auto r = find(i, item);
		Results &out = results[r->customer];

		out.longest_wait_us =
			std::max(out.longest_wait_us, now - r->arrived_us);
		switch (item->state) {
		case TOK_HELD:
			held(i, item);
			return;
		case TOK_DENIED:
			out.denied++;
			break;
		case TOK_NO_GRANT:
			out.no_grant++;
			break;
		default:
			ADD_FAILURE() << "state " << item->state;
		}
		entries[i].requests.erase(r);
	}

	void held(size_t i, struct tok_item *item)
	{
		auto r = find(i, item);

		if (chance(given_back)) {
			tok_give_back(entries[i].tok, item, now);
			entries[i].requests.erase(r);
		} else if (chance(queued)) {
			at(now + (int64_t)uniform(0, 2 * S), [this, i, item] {
				on_entry(i, [this, i, item] { send(i, item); });
			});
		} else {
			send(i, item);
		}
	}

	void send(size_t i, struct tok_item *item)
	{
		auto r = find(i, item);

		if (!tok_keep(entries[i].tok, item, now))
			return;
		results[r->customer].used.push_back(
			{ now, (double)item->units });
		tok_used(item);
		entries[i].requests.erase(r);
	}

	std::priority_queue<Event> events;
	uint64_t order = 0;
	std::vector<std::unique_ptr<std::vector<Limit>>> tables;
	std::vector<Change> history;
	std::vector<int64_t> began; /* leaderships */
};

uint64_t setting(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, nullptr, 10) : otherwise;
}

void run_history(uint64_t seed)
{
	const size_t sizes[] = { 3, 7, 81, 191 };
	std::mt19937_64 random(seed);
	bool faulty = random() % 4 != 0;
	Net net;

	if (faulty)
		net = { 0.05 * (double)(random() % 4),
			0.05 * (double)(random() % 4),
			0.05 * (double)(random() % 4) };
	World w(seed, sizes[seed % 4], usual_limits(), net);
	const int64_t end = 24 * S;

	w.queued = 0.1 * (double)(random() % 4);
	w.given_back = 0.1 * (double)(random() % 3);
	w.hot = random() % 3 ? 0 : 0.5;
	for (size_t c = 0; c < w.limits.size(); c++) {
		for (int64_t t = 0; t < end; t += 4 * S) {
			const double factors[] = { 0.0, 0.5, 0.8, 2, 6 };

			w.demand(c, factors[random() % 5], t, t + 4 * S, false);
		}
	}
	for (int64_t t = S; t < end; t += (int64_t)w.uniform(300 * MS, 6 * S)) {
		if (random() % 3)
			w.at(t, [&w] { w.end_leadership(); });
	}
	for (unsigned k = 0; k < w.entries.size() / 2 + 1; k++) {
		size_t i = random() % w.entries.size();
		int64_t us = (int64_t)w.uniform(50 * MS, 4 * S);

		w.at((int64_t)w.uniform(0, end),
		     [&w, i, us] { w.freeze(i, us); });
	}
	bool change_limits = random() % 2;

	for (unsigned k = 0; change_limits && k < 3; k++) {
		double factor = random() % 2 ? 0.3 : 1.5;
		size_t c = random() % w.limits.size();

		w.at((int64_t)w.uniform(0, end), [&w, c, factor] {
			auto limits = w.limits;

			limits[c].rate *= factor;
			limits[c].burst *= factor;
			w.set_limits(limits);
		});
	}
	w.run_until(end + 4 * S);
	for (size_t c = 0; c < w.limits.size(); c++)
		EXPECT_LE(w.worst(c), 1)
			<< "seed " << seed << " customer " << w.limits[c].name
			<< " entries " << w.entries.size() << " leaders "
			<< w.leaders.size();
	for (size_t c = 0; !change_limits && c < w.limits.size(); c++)
		EXPECT_LE(w.worst_short(c), 1)
			<< "seed " << seed << " customer " << w.limits[c].name
			<< " entries " << w.entries.size();
}

TEST(QuotaHistory, the_bound_holds_in_each_window)
{
	uint64_t first = setting("QUOTA_SEED", 1);
	uint64_t n = setting("QUOTA_HISTORIES", 64);

	for (uint64_t seed = first; seed < first + n; seed++)
		run_history(seed);
}

class QuotaShare : public testing::TestWithParam<size_t>
{
};

TEST_P(QuotaShare, a_limit_is_used_where_demand_exceeds_it)
{
	for (double factor : { 1.5, 4.0, 8.0 }) {
		World w(7, GetParam(), usual_limits(), {});

		for (size_t c = 0; c < w.limits.size(); c++)
			w.demand(c, factor, 0, 24 * S, false);
		w.run_until(24 * S);
		for (size_t c = 0; c < w.limits.size(); c++) {
			double share = w.share(c, 4 * S, 24 * S);

			printf("%zu entries, %.1f times %-10s: used %.3f, "
			       "worst window %.3f of the bound\n",
			       w.entries.size(), factor,
			       w.limits[c].name.c_str(), share, w.worst(c));
			EXPECT_GE(share, c ? 0.85 : 0.95) << w.limits[c].name;
			EXPECT_LE(w.worst(c), 1) << w.limits[c].name;
		}
		printf("%.0f asks/s in %.0f messages/s\n", (double)w.asks / 24,
		       (double)w.messages / 24);
	}
}

TEST_P(QuotaShare, nothing_is_refused_at_80_percent)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		World w(seed, GetParam(), usual_limits(), {});

		/* The buckets are full a second after the start. */
		for (size_t c = 0; c < w.limits.size(); c++)
			w.demand(c, 0.8, 2 * S, 22 * S, true);
		w.run_until(24 * S);
		for (size_t c = 0; c < w.limits.size(); c++) {
			const Results &r = w.results[c];

			printf("%zu entries, %-10s: %u requests, %.1f %% at "
			       "once, longest wait %.1f ms\n",
			       w.entries.size(), w.limits[c].name.c_str(),
			       r.requests, 100.0 * r.at_once / r.requests,
			       (double)r.longest_wait_us / MS);
			EXPECT_EQ(r.denied + r.no_grant, 0u)
				<< w.limits[c].name << " seed " << seed;
		}
		printf("%.0f asks/s in %.0f messages/s\n", (double)w.asks / 22,
		       (double)w.messages / 22);
	}
}

INSTANTIATE_TEST_SUITE_P(Entries, QuotaShare, testing::Values(3, 7, 81, 191));

} // namespace
