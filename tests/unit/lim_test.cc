#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/bal.h"
#include "core/lim.h"
}

/*
 * Rate limits that endpoints name: the state itself, who shares a limit, and
 * seeded histories of many instances that come, go, restart and freeze. All
 * times are simulated.
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

struct ViewUnref {
	void operator()(struct view *v) const
	{
		view_unref(v);
	}
};
using View = std::unique_ptr<struct view, ViewUnref>;

/* A view of instances that serve callers. */
View make_view(const std::vector<std::string> &ids)
{
	Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
	std::vector<Dsp__ViewRecord> records(ids.size());
	std::vector<Dsp__Node> nodes(ids.size());
	std::vector<Dsp__ViewRecord *> pointers;
	View empty(view_new_empty());

	for (size_t i = 0; i < ids.size(); i++) {
		dsp__node__init(&nodes[i]);
		nodes[i].id = (char *)ids[i].c_str();
		nodes[i].http_address = (char *)"10.0.0.1:80";
		dsp__view_record__init(&records[i]);
		records[i].body_case = DSP__VIEW_RECORD__BODY_NODE;
		records[i].kind = records[i].body_case;
		records[i].key = nodes[i].id;
		records[i].node = &nodes[i];
		pointers.push_back(&records[i]);
	}
	update.reset = true;
	update.to_index = 1;
	update.records = pointers.data();
	update.n_records = pointers.size();
	return View(view_apply(empty.get(), &update));
}

std::vector<std::string> names(size_t n)
{
	std::vector<std::string> out;

	for (size_t i = 0; i < n; i++)
		out.push_back("front-" + std::to_string(i));
	return out;
}

/* A limit that this instance alone uses. */
struct lim named(double rate, int64_t now)
{
	struct lim l = {};

	EXPECT_EQ(lim_saw(&l, rate, now), LIM_NAMED);
	lim_set_share(&l, { 1, true });
	return l;
}

} // namespace

TEST(Lim, NoLimitUntilOneIsNamed)
{
	struct lim l = {};

	EXPECT_EQ(lim_saw(&l, 0, S), LIM_SAME);
	EXPECT_FALSE(lim_is_active(&l, S));
	EXPECT_EQ(lim_wait_us(&l, S), 0);
	lim_sent(&l, S);
	EXPECT_EQ(lim_wait_us(&l, S), 0);
}

TEST(Lim, RequestsArePacedWithoutABurst)
{
	struct lim l = named(10, S);
	int64_t now = S;
	unsigned sent = 0;

	now += 60 * S; /* unused time is not saved up */
	lim_saw(&l, 10, now);
	for (int64_t end = now + 10 * S; now < end; now += MS) {
		lim_saw(&l, 10, now);
		if (lim_wait_us(&l, now))
			continue;
		lim_sent(&l, now);
		sent++;
	}
	EXPECT_GE(sent, 85u);
	EXPECT_LE(sent, 100u);
}

TEST(Lim, InstancesThatLearnItTogetherDoNotSendTogether)
{
	struct lim first = named(1, S), last = named(1, S);

	lim_begin(&first, 0, S);
	lim_begin(&last, 1, S);
	EXPECT_GT(lim_wait_us(&first, S), 0);
	EXPECT_GT(lim_wait_us(&last, S) - lim_wait_us(&first, S), S / 3);
}

TEST(Lim, ChangesAndEndsWithTheAnswers)
{
	struct lim l = named(3, S);

	EXPECT_EQ(lim_saw(&l, 3, S + 1), LIM_SAME);
	EXPECT_EQ(lim_saw(&l, 2.5, 2 * S), LIM_CHANGED);
	EXPECT_EQ(lim_saw(&l, 0, 2 * S + 50 * MS), LIM_SAME); /* overtaken */
	EXPECT_EQ(lim_saw(&l, 0, 2 * S + 100 * MS), LIM_ENDED);
	EXPECT_EQ(lim_wait_us(&l, 3 * S), 0);
	EXPECT_EQ(lim_saw(&l, 2.5, 3 * S), LIM_NAMED);
}

TEST(Lim, ReportsOfOthersNameAndEndIt)
{
	struct lim l = {};

	EXPECT_EQ(lim_reported(&l, 3, 400 * MS, 10 * S), LIM_NAMED);
	EXPECT_EQ(lim_reported(&l, 0, 300 * MS, 10 * S), LIM_SAME);
	EXPECT_EQ(lim_reported(&l, 4, 500 * MS, 10 * S), LIM_SAME);
	EXPECT_EQ(lim_reported(&l, 0, 300 * MS, 11 * S), LIM_ENDED);
	EXPECT_EQ(lim_reported(&l, 3, 40 * S, 50 * S), LIM_SAME);
}

TEST(Lim, ExpiresWithoutAnAnswerThatConfirmsIt)
{
	struct lim l = named(3, S);

	EXPECT_TRUE(lim_is_active(&l, 30 * S));
	EXPECT_FALSE(lim_is_active(&l, 31 * S));
	EXPECT_EQ(lim_wait_us(&l, 31 * S), 0);
}

TEST(Lim, TinyLimitLetsARequestPassNowAndThen)
{
	struct lim l = named(0.001, S);

	lim_sent(&l, S);
	EXPECT_GT(lim_wait_us(&l, S), 5 * S);
	EXPECT_LT(lim_wait_us(&l, S), 20 * S);
}

TEST(Lim, AFewInstancesShareALimitAndAgreeWho)
{
	for (size_t n : { 1, 7, 76, 191 }) {
		View view = make_view(names(n));
		unsigned users = 0;

		for (const std::string &id : names(n)) {
			struct lim_share s = lim_share_of(
				view.get(), id.c_str(), "i-1", 2.9);

			EXPECT_EQ(s.users, std::min<size_t>(n, 6));
			users += s.is_user;
		}
		EXPECT_EQ(users, std::min<size_t>(n, 6));
		EXPECT_FALSE(lim_share_of(view.get(), "x", "i-1", 2.9).is_user);
	}
	View none = make_view({});
	EXPECT_TRUE(lim_share_of(none.get(), nullptr, "i-1", 2.9).is_user);
	EXPECT_FALSE(lim_share_of(none.get(), "x", "i-1", 2.9).is_user);
}

TEST(Lim, OtherEndpointsAreSharedByOtherInstances)
{
	View view = make_view(names(76));
	unsigned most = 0;

	for (const std::string &id : names(76)) {
		unsigned used = 0;

		for (int e = 0; e < 90; e++)
			used += lim_share_of(view.get(), id.c_str(),
					     ("i-" + std::to_string(e)).c_str(),
					     2.9)
					.is_user;
		most = std::max(most, used);
	}
	EXPECT_LE(most, 20u); /* 7 on average */
}

namespace
{

/* A balancer with plain endpoints of one service, for instance front-0. */
class LimBalance : public ::testing::Test
{
      protected:
	struct bal *bal = bal_new();
	int64_t now = 1000 * S;

	void TearDown() override
	{
		bal_free(bal);
	}
	void install(size_t endpoints, size_t instances,
		     uint64_t incarnation = 1)
	{
		Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
		std::vector<std::string> ids;
		std::vector<Dsp__Endpoint> msgs(endpoints);
		std::vector<Dsp__ViewRecord> records(endpoints);
		std::vector<Dsp__ViewRecord *> pointers;
		View nodes = make_view(names(instances));

		for (size_t i = 0; i < endpoints; i++)
			ids.push_back("e" + std::to_string(i));
		for (size_t i = 0; i < endpoints; i++) {
			dsp__endpoint__init(&msgs[i]);
			msgs[i].id = (char *)ids[i].c_str();
			msgs[i].address = (char *)"10.0.0.2:80";
			msgs[i].incarnation = incarnation;
			msgs[i].service = (char *)"service";
			msgs[i].kind = DSP__ENDPOINT_KIND__ENDPOINT_SERVICE;
			msgs[i].state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
			msgs[i].max_batch = 4;
			dsp__view_record__init(&records[i]);
			records[i].body_case = DSP__VIEW_RECORD__BODY_ENDPOINT;
			records[i].kind = records[i].body_case;
			records[i].key = msgs[i].id;
			records[i].index = 2;
			records[i].endpoint = &msgs[i];
			pointers.push_back(&records[i]);
		}
		update.from_index = 1;
		update.to_index = 2;
		update.records = pointers.data();
		update.n_records = pointers.size();
		View view(view_apply(nodes.get(), &update));
		ASSERT_NE(view, nullptr);
		bal_set_view(bal, view.get(), "front-0");
	}
	struct bal_choice choose(const char *const *avoid = nullptr)
	{
		struct bal_query query = {};

		query.service = "service";
		query.avoid = avoid;
		return bal_choose(bal, &query, now);
	}
	/* Sends a request if there is an endpoint; returns its id or "". */
	std::string send()
	{
		struct bal_choice c = choose();

		if (c.outcome != BAL_CHOSEN)
			return "";
		std::string id = bal_id(c.endpoint);
		bal_begin(bal, c.endpoint, 1, now);
		bal_end(bal, c.endpoint, BAL_ANSWERED, 1, now);
		return id;
	}
	enum lim_news saw(const char *id, double rate, uint64_t incarnation = 1)
	{
		return bal_saw_limit(bal, id, incarnation, rate, 0.5, now);
	}
};

} // namespace

TEST_F(LimBalance, OthersAreUsedBeyondTheLimit)
{
	unsigned limited = 0;

	install(2, 1);
	EXPECT_EQ(saw("e0", 2), LIM_NAMED);
	for (int i = 0; i < 1000; i++) {
		std::string id = send();

		ASSERT_NE(id, "");
		limited += id == "e0";
		now += 10 * MS;
	}
	EXPECT_LE(limited, 20u);
}

TEST_F(LimBalance, OnlyEndpointSaysWhenTheNextRequestMayBeSent)
{
	install(1, 1);
	saw("e0", 2);
	struct bal_choice c = choose();
	EXPECT_EQ(c.outcome, BAL_PAUSED);
	EXPECT_EQ(c.limited, 1u);
	EXPECT_GT(c.retry_us, 0);
	EXPECT_LE(c.retry_us, S);
	now += c.retry_us;
	EXPECT_EQ(send(), "e0");
	EXPECT_EQ(send(), "");
}

TEST_F(LimBalance, RepeatsAreHeldToTheLimit)
{
	const char *const tried[] = { "e1", nullptr };

	install(2, 1);
	saw("e0", 2);
	EXPECT_EQ(choose(tried).outcome, BAL_PAUSED);
}

TEST_F(LimBalance, ViewsKeepTheLimitAndANewProcessHasNone)
{
	install(1, 1);
	saw("e0", 2);
	install(1, 1);
	EXPECT_EQ(send(), "");
	install(1, 1, 2);
	EXPECT_EQ(send(), "e0");
	EXPECT_EQ(saw("e0", 2, 1), LIM_SAME); /* of the process before */
	EXPECT_EQ(send(), "e0");
}

TEST_F(LimBalance, ReportOfAnotherInstanceIsHeeded)
{
	Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

	install(1, 1);
	report.endpoint = (char *)"e0";
	report.incarnation = 1;
	report.limit_milli = 2000;
	report.age_ms = 300;
	EXPECT_EQ(bal_observe_limit(bal, &report, 0.5, now), LIM_NAMED);
	EXPECT_EQ(send(), "");
	report.limit_milli = 0;
	now += 2 * S;
	EXPECT_EQ(bal_observe_limit(bal, &report, 0.5, now), LIM_ENDED);
	EXPECT_EQ(send(), "e0");
	EXPECT_EQ(send(), "e0");
}

namespace
{

/* One instance of a history. */
struct Instance {
	std::string id;
	struct lim lim = {};
	View view; /* may be old */
	bool up = true;
	int64_t frozen_until = 0;
	int64_t told_us = -1; /* passed on an answer that named the limit */
	int64_t excused_until = 0;
};

struct Message {
	int64_t at;
	size_t to;
	bool answer;
	double rate;
	int64_t sent_us;
};

/* Instances, one endpoint and callers who ask for more than its limit. */
class History
{
	static constexpr int64_t TICK = 20 * MS;

      public:
	History(uint32_t seed, size_t n, double rate) : random(seed), rate(rate)
	{
		for (size_t i = 0; i < n; i++) {
			instances.emplace_back();
			instances.back().id = "front-" + std::to_string(i);
		}
		for (Instance &x : instances)
			x.view = make_view(ids());
	}
	/* Returns the most requests in 4 s beyond what is allowed. */
	int run(int64_t span)
	{
		int excess = -1000;

		for (; now < span; now += TICK) {
			disturb();
			deliver();
			demand();
			excess = std::max(excess, beyond());
		}
		return excess;
	}
	size_t counted = 0; /* requests of instances that had been told */

      private:
	std::vector<std::string> ids() const
	{
		std::vector<std::string> out;

		for (const Instance &x : instances)
			if (x.up)
				out.push_back(x.id);
		return out;
	}
	double draw(double max)
	{
		return std::uniform_real_distribution<double>(0, max)(random);
	}
	size_t any()
	{
		return random() % instances.size();
	}
	void share(Instance &x)
	{
		lim_set_share(&x.lim, lim_share_of(x.view.get(), x.id.c_str(),
						   "i-1", x.lim.rate));
	}
	/* Views differ between instances for up to 2 s. */
	void disturb()
	{
		double what = draw(1);
		Instance &x = instances[any()];

		if (what < 0.004) {
			x.up = !x.up;
			x.lim = {};
			x.told_us = -1;
			x.excused_until = now + 4 * S;
		} else if (what < 0.006) {
			x.frozen_until = now + (int64_t)draw(4e6);
			x.excused_until = x.frozen_until + 4 * S;
		} else if (what < 0.008) {
			rate = std::max(0.05, rate * (0.7 + draw(0.6)));
		}
		for (Instance &y : instances)
			if (draw(1) < 0.02) {
				y.view = make_view(ids());
				if (y.lim.rate > 0)
					share(y);
			}
	}
	void learn(Instance &x, enum lim_news news)
	{
		if (news == LIM_NAMED || news == LIM_CHANGED)
			share(x);
		if (news == LIM_NAMED)
			lim_begin(&x.lim, draw(1), now);
	}
	void deliver()
	{
		for (size_t i = 0; i < messages.size();) {
			Message m = messages[i];
			Instance &x = instances[m.to];

			if (m.at > now || (x.up && x.frozen_until > now)) {
				i++;
				continue;
			}
			messages.erase(messages.begin() + (long)i);
			if (!x.up)
				continue;
			if (!m.answer) {
				learn(x, lim_reported(&x.lim, m.rate,
						      now - m.sent_us, now));
				continue;
			}
			learn(x, lim_saw(&x.lim, m.rate, now));
			if (x.told_us < 0)
				x.told_us = now;
			for (size_t j = 0; j < instances.size(); j++)
				if (j != m.to && draw(1) < 0.95)
					messages.push_back(
						{ now + (int64_t)draw(8e5), j,
						  false, m.rate, now });
		}
	}
	/* Each request comes to any instance: few for 8 s, so that no instance
	 * has sent for long, then many times the limit for 4 s. */
	void demand()
	{
		bool burst = now % (12 * S) >= 8 * S;
		double per_s = burst ? 20 * rate + 40 : rate / 2;
		std::poisson_distribution<int> arrivals(per_s * (double)TICK /
							S);

		for (int n = arrivals(random); n > 0; n--) {
			size_t to = any();
			Instance &x = instances[to];

			if (!x.up || x.frozen_until > now ||
			    lim_wait_us(&x.lim, now))
				continue;
			lim_sent(&x.lim, now);
			messages.push_back({ now + 20 * MS + (int64_t)draw(8e4),
					     to, true, rate, now });
			if (x.told_us < 0 || now < x.told_us + S / 2 ||
			    now < x.excused_until)
				continue;
			counted++;
			arrived.push_back(now);
		}
	}
	/* The limit may have changed within the window: the highest counts. */
	int beyond()
	{
		double highest = rate;

		if (rates.empty() || rates.back().second != rate)
			rates.push_back({ now, rate });
		while (rates.size() > 1 && rates[1].first <= now - 4 * S)
			rates.pop_front();
		for (auto &r : rates)
			highest = std::max(highest, r.second);
		while (!arrived.empty() && arrived.front() <= now - 4 * S)
			arrived.pop_front();
		return now < 4 * S ? -1000
				   : (int)arrived.size() -
					     (int)(1.5 * highest * 4 + 5);
	}

	std::mt19937 random;
	double rate;
	int64_t now = 0;
	std::vector<Instance> instances;
	std::vector<Message> messages;
	std::deque<int64_t> arrived;
	std::deque<std::pair<int64_t, double>> rates; /* since when */
};

} // namespace

TEST(LimHistory, AllInstancesTogetherKeepTheLimit)
{
	const char *from = getenv("LIM_SEED");
	uint32_t first = from ? (uint32_t)atoi(from) : 1;
	size_t counted = 0;

	for (uint32_t seed = first; seed < first + 4; seed++)
		for (size_t n : { 3, 7, 20, 76 })
			for (double rate : { 0.3, 1.0, 3.0, 12.0 }) {
				History h(seed, n, rate);

				EXPECT_LE(h.run(100 * S), 0)
					<< "seed " << seed << " instances " << n
					<< " rate " << rate;
				counted += h.counted;
			}
	EXPECT_GT(counted, 5000u);
}
