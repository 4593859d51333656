#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/bal.h"
#include "core/hint.h"
}

/*
 * What endpoints say about further requests: the state itself, the balancer
 * that uses it, and seeded histories of an entry and its endpoints. All times
 * are simulated.
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr auto UP = DSP__ENDPOINT_STATE__ENDPOINT_UP;
constexpr auto LEAVING = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;

struct Process {
	std::string id, address;
	uint64_t incarnation = 1;
	Dsp__EndpointState state = UP;
};

/* A view of plain endpoints of one service. */
struct view *make_view(const std::vector<Process> &processes)
{
	Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
	std::vector<Dsp__ViewRecord> records(processes.size());
	std::vector<Dsp__Endpoint> endpoints(processes.size());
	std::vector<Dsp__ViewRecord *> pointers;
	struct view *empty = view_new_empty();

	for (size_t i = 0; i < processes.size(); i++) {
		Dsp__Endpoint &e = endpoints[i];
		Dsp__ViewRecord &r = records[i];

		dsp__endpoint__init(&e);
		e.id = (char *)processes[i].id.c_str();
		e.address = (char *)processes[i].address.c_str();
		e.incarnation = processes[i].incarnation;
		e.state = processes[i].state;
		e.service = (char *)"service";
		e.kind = DSP__ENDPOINT_KIND__ENDPOINT_SERVICE;
		e.max_batch = 8;
		dsp__view_record__init(&r);
		r.body_case = DSP__VIEW_RECORD__BODY_ENDPOINT;
		r.kind = r.body_case;
		r.key = e.id;
		r.endpoint = &e;
		pointers.push_back(&r);
	}
	update.reset = true;
	update.to_index = 1;
	update.records = pointers.data();
	update.n_records = pointers.size();
	struct view *view = view_apply(empty, &update);
	view_unref(empty);
	return view;
}

class HintBalance : public ::testing::Test
{
      protected:
	struct bal *bal = bal_new();
	int64_t now = 100 * S;

	void TearDown() override
	{
		bal_free(bal);
	}
	void set(const std::vector<Process> &processes)
	{
		struct view *view = make_view(processes);

		bal_set_view(bal, view, "self");
		view_unref(view);
	}
	struct bal_choice choose(const char *const *avoid = nullptr)
	{
		struct bal_query query = {};

		query.service = "service";
		query.avoid = avoid;
		return bal_choose(bal, &query, now);
	}
	void leave(const char *id, uint64_t incarnation = 1)
	{
		bal_saw_hint(bal, id, incarnation, true, 0, 0, now);
	}
	void pause(const char *id, int64_t pause_us)
	{
		bal_saw_hint(bal, id, 1, false, pause_us, 0, now);
	}
};

} // namespace

TEST(Hint, LongerPauseReplacesAShorterOne)
{
	struct hint h = {};

	EXPECT_EQ(hint_bar(&h, S), HINT_FREE);
	EXPECT_EQ(hint_saw(&h, false, 2 * S, 0, S), (unsigned)HINT_NEW_PAUSE);
	EXPECT_EQ(hint_saw(&h, false, S, 0, S + 500 * MS), 0u);
	EXPECT_EQ(hint_wait_us(&h, 2 * S), S);
	EXPECT_EQ(hint_saw(&h, false, 5 * S, 0, 2 * S),
		  (unsigned)HINT_LONGER_PAUSE);
	EXPECT_EQ(hint_bar(&h, 7 * S - 1), HINT_PAUSED);
	EXPECT_EQ(hint_age_us(&h, 3 * S), S);
	EXPECT_EQ(hint_bar(&h, 7 * S), HINT_FREE);
	EXPECT_EQ(hint_wait_us(&h, 8 * S), 0);
}

TEST(Hint, EndOfAPauseIsSpread)
{
	struct hint first = {}, last = {};

	hint_saw(&first, false, 2 * S, 0, S);
	hint_saw(&last, false, 2 * S, 1, S);
	EXPECT_EQ(first.pause_until_us, 3 * S);
	EXPECT_EQ(last.pause_until_us, 3 * S + 200 * MS);
	hint_saw(&last, false, 100 * S, 1, S);
	EXPECT_EQ(last.pause_until_us, 102 * S); /* at most a second more */
	/* What waits goes one by one at first. */
	EXPECT_FALSE(hint_is_spaced(&first, 3 * S));
	hint_sent(&first, 3 * S);
	EXPECT_TRUE(hint_is_spaced(&first, 3 * S + 10 * MS));
	EXPECT_FALSE(hint_is_spaced(&first, 3 * S + 20 * MS));
	hint_sent(&first, 4 * S);
	EXPECT_FALSE(hint_is_spaced(&first, 4 * S));
}

TEST(Hint, OnlyAnAnnouncementAfterTheOneOfLeavingEndsIt)
{
	struct hint h = {};

	EXPECT_EQ(hint_saw(&h, true, 0, 0, S), (unsigned)HINT_NEW_LEAVING);
	EXPECT_EQ(hint_saw(&h, true, 0, 0, 2 * S), 0u);
	/* Sent before the answer, as far as this instance can know. */
	EXPECT_FALSE(hint_announced(&h, false));
	EXPECT_EQ(hint_bar(&h, 1000 * S), HINT_LEAVING);
	EXPECT_FALSE(hint_announced(&h, true));
	EXPECT_TRUE(hint_announced(&h, false));
	EXPECT_EQ(hint_bar(&h, 1000 * S), HINT_FREE);
	hint_announced(&h, true);
	hint_saw(&h, true, 0, 0, 1000 * S);
	EXPECT_TRUE(hint_announced(&h, false));
}

TEST(Hint, ReportOfAnotherInstanceExpires)
{
	struct hint h = {};

	hint_reported(&h, S, 10 * S);
	EXPECT_EQ(hint_bar(&h, 10 * S), HINT_LEAVING);
	EXPECT_EQ(hint_age_us(&h, 10 * S), S);
	hint_reported(&h, 5 * S, 11 * S); /* older */
	EXPECT_EQ(hint_bar(&h, 19 * S - 1), HINT_LEAVING);
	EXPECT_EQ(hint_bar(&h, 19 * S), HINT_FREE);
}

TEST_F(HintBalance, LeavingEndpointGetsNoRequest)
{
	set({ { "a", "x:1" }, { "b", "x:2" } });
	leave("a");
	for (int i = 0; i < 20; i++) {
		struct bal_choice choice = choose();

		ASSERT_EQ(choice.outcome, BAL_CHOSEN);
		EXPECT_STREQ(bal_id(choice.endpoint), "b");
		bal_begin(bal, choice.endpoint, 1, now);
	}
	const char *avoid[] = { "b", nullptr };
	EXPECT_EQ(choose(avoid).outcome, BAL_NO_OTHER);
	leave("b");
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	EXPECT_EQ(choose().leaving, 2u);
	EXPECT_GT(choose().retry_us, 0);
}

TEST_F(HintBalance, LeavingEndsWithTheProcess)
{
	set({ { "a", "x:1", 1 } });
	leave("a", 2); /* no such process */
	EXPECT_EQ(choose().outcome, BAL_CHOSEN);
	leave("a");
	set({ { "a", "x:9", 1 } }); /* the same process at another address */
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	set({ { "a", "x:9", 2 } });
	EXPECT_EQ(choose().outcome, BAL_CHOSEN);
	bal_saw_hint(bal, "a", 2, true, 0, 0, now);
	set({ { "b", "x:9", 3 } });
	EXPECT_EQ(choose().outcome, BAL_CHOSEN);
}

TEST_F(HintBalance, LeavingEndsWithTheEndpointsOwnAnnouncement)
{
	set({ { "a", "x:1" } });
	leave("a");
	set({ { "a", "x:1" } });
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	set({ { "a", "x:1", 1, LEAVING } });
	set({ { "a", "x:1" } });
	EXPECT_EQ(choose().outcome, BAL_CHOSEN);
}

TEST_F(HintBalance, RefusalSaysWhenTheFirstPauseEnds)
{
	set({ { "a", "x:1" }, { "b", "x:2" }, { "c", "x:3" } });
	leave("c");
	pause("a", 3 * S);
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
	pause("b", 2 * S);
	struct bal_choice choice = choose();
	EXPECT_EQ(choice.outcome, BAL_PAUSED);
	EXPECT_EQ(choice.retry_us, 2 * S);
	EXPECT_EQ(choice.paused, 2u);
	EXPECT_EQ(choice.leaving, 1u);
	/* Those that were tried are paused too, and nothing else is left. */
	const char *both[] = { "a", "b", nullptr };
	choice = choose(both);
	EXPECT_EQ(choice.outcome, BAL_NO_OTHER);
	EXPECT_EQ(choice.retry_us, 2 * S);
	now += 1 * S;
	EXPECT_EQ(choose().hint_age_us, 1 * S);
	now += 1 * S;
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
}

TEST_F(HintBalance, PauseOutlastsBackoffOfTheOthers)
{
	set({ { "a", "x:1" }, { "b", "x:2" } });
	const char *avoid[] = { "a", nullptr };
	struct bal_endpoint *b = choose(avoid).endpoint;
	bal_begin(bal, b, 1, now);
	bal_end(bal, b, BAL_UNREACHED, 1, now);
	pause("a", 500 * MS);
	/* One in backoff is used rather than one that is paused. */
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
}

TEST_F(HintBalance, WhatAnotherInstanceSawIsHeeded)
{
	Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

	set({ { "a", "x:1" } });
	report.endpoint = (char *)"a";
	report.incarnation = 1;
	report.leaving = true;
	struct bal_endpoint *a = choose().endpoint;
	bal_report(bal, a, 3, 0, now); /* newer than the report's load */
	report.age_ms = 100;
	bal_observe(bal, &report, now);
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	EXPECT_EQ(bal_bar(bal, "a", 1, now), HINT_LEAVING);
	EXPECT_EQ(bal_bar(bal, "a", 2, now), HINT_FREE);
}

namespace
{

/*
 * One entry and its endpoints. Endpoints leave, are replaced and turn requests
 * away; answers break off, get lost or come late; requests wait, are repeated,
 * resumed, and sent a second time while the first endpoint is silent.
 */
class History
{
      public:
	explicit History(uint64_t seed) : random(seed)
	{
		for (int i = 0; i < 5; i++) {
			Endpoint e;

			e.process.id = "e" + std::to_string(i);
			e.process.address = "x:" + std::to_string(i);
			endpoints.push_back(e);
		}
		show();
	}
	~History()
	{
		bal_free(bal);
	}
	/* Returns the first broken rule; empty if there is none. */
	std::string run()
	{
		for (; now < START + 60 * S && broken.empty(); now += 5 * MS) {
			deliver();
			if (chance(0.004))
				change(endpoints[random() % 5]);
			if (chance(0.01))
				show();
			if (chance(0.3))
				waiting.push_back({});
			run_queue();
		}
		return broken;
	}
	size_t answered = 0, paused = 0, left = 0, refused = 0, after_pause = 0;

      private:
	static constexpr int64_t START = 100 * S;
	/* Limits of a connection attempt and of the network. */
	static constexpr int64_t CONNECT_US = 400 * MS;
	static constexpr int64_t TRANSIT_US = 50 * MS;

	struct Endpoint {
		Process process;
		bool leaves = false;	/* says so in its answers */
		int64_t busy_until = 0; /* turns requests away */
		bool seen_leaving = false;
		/* Answers with a pause that this entry got: when it was sent,
		 * and when the pause ends. */
		std::vector<std::pair<int64_t, int64_t>> pauses;
	};
	struct Request {
		std::vector<std::string> tried;
		int64_t since = 0;
		bool resumed = false;
	};
	struct Event {
		int64_t at;
		bool is_answer;
		size_t endpoint;
		uint64_t incarnation;
		struct bal_endpoint *to;
		Request request;
		bool leaving;
		int64_t pause_us, sent_us;
		enum bal_result result;

		bool operator<(const Event &other) const
		{
			return at > other.at;
		}
	};

	bool chance(double share)
	{
		return (double)(random() % 1000000) < share * 1e6;
	}
	int64_t between(int64_t from, int64_t to)
	{
		return from + (int64_t)(random() % (uint64_t)(to - from));
	}
	/* Installs a view of the endpoints as they have announced themselves.
	 */
	void show()
	{
		std::vector<Process> list;

		for (const auto &e : endpoints)
			list.push_back(e.process);
		struct view *view = make_view(list);
		bal_set_view(bal, view, "self");
		view_unref(view);
	}
	void change(Endpoint &e)
	{
		switch (random() % 5) {
		case 0:
			e.leaves = true;
			break;
		case 1: /* its announcement arrives, without or after an answer
			 */
			e.process.state = e.leaves ? LEAVING : UP;
			break;
		case 2:
			if (!e.leaves)
				break;
			e.process.incarnation++;
			e.process.state = UP;
			if (chance(0.5))
				e.process.id += "n";
			e.leaves = e.seen_leaving = false;
			e.pauses.clear();
			show();
			break;
		case 3:
			e.process.address += "0";
			break;
		case 4:
			e.busy_until = now + between(100 * MS, 3 * S);
			break;
		}
	}
	void run_queue()
	{
		std::vector<Request> still;

		for (auto &r : waiting) {
			if (!r.since)
				r.since = now;
			if (try_send(r))
				continue;
			if (now - r.since > 300 * MS)
				refused++;
			else
				still.push_back(r);
		}
		waiting = still;
	}
	bool try_send(const Request &r)
	{
		std::vector<const char *> avoid;
		struct bal_query query = {};

		for (const auto &id : r.tried)
			avoid.push_back(id.c_str());
		avoid.push_back(nullptr);
		query.service = "service";
		query.avoid = avoid.data();
		query.resumed = r.resumed;
		struct bal_choice choice = bal_choose(bal, &query, now);
		if (choice.outcome == BAL_PAUSED && choice.retry_us <= 0)
			broken = "a pause without an end";
		if (choice.outcome != BAL_CHOSEN)
			return false;
		for (size_t i = 0; i < endpoints.size(); i++)
			if (endpoints[i].process.id == bal_id(choice.endpoint))
				send(i, choice.endpoint, r);
		return true;
	}
	void send(size_t i, struct bal_endpoint *to, const Request &r)
	{
		Event e = {};

		if (endpoints[i].seen_leaving)
			broken = "sent to " + endpoints[i].process.id +
				 ", which was seen to leave";
		bal_begin(bal, to, 1, now);
		e.at = now + (chance(0.1) ? between(0, CONNECT_US)
					  : between(0, 3 * MS));
		e.endpoint = i;
		e.incarnation = endpoints[i].process.incarnation;
		e.to = to;
		e.request = r;
		e.request.tried.push_back(endpoints[i].process.id);
		e.sent_us = now;
		events.push(e);
		/* A second attempt while the first endpoint is silent. */
		if (chance(0.05) && r.tried.size() < 3)
			try_send(e.request);
	}
	void deliver()
	{
		while (!events.empty() && events.top().at <= now) {
			Event e = events.top();

			events.pop();
			if (e.is_answer)
				take_answer(e);
			else
				arrive(e);
		}
	}
	void arrive(Event e)
	{
		Endpoint &to = endpoints[e.endpoint];
		bool same = to.process.incarnation == e.incarnation;

		for (const auto &p : to.pauses) {
			if (same && e.at > p.first + 500 * MS &&
			    e.at < p.second)
				broken = "reached " + to.process.id +
					 " in its pause";
			after_pause += same && e.at >= p.second;
		}
		e.is_answer = true;
		e.leaving = same && to.leaves;
		e.result = same ? BAL_ANSWERED : BAL_REPLACED;
		if (same && now < to.busy_until) {
			e.result = chance(0.8) ? BAL_REFUSED : BAL_ANSWERED;
			e.pause_us = between(100 * MS, 4 * S);
		} else if (same && chance(0.1)) {
			e.result = BAL_FAILED; /* breaks off after its head */
		}
		e.sent_us = e.at;
		e.at += between(MS, TRANSIT_US);
		if (chance(0.05)) { /* lost with its head */
			e.leaving = false;
			e.pause_us = 0;
			e.result = BAL_FAILED;
		}
		events.push(e);
	}
	void take_answer(const Event &e)
	{
		Endpoint &from = endpoints[e.endpoint];
		Request r = e.request;

		if (e.leaving || e.pause_us)
			bal_saw_hint(bal, bal_id(e.to), e.incarnation,
				     e.leaving, e.pause_us,
				     (double)(random() % 1000) / 1000, now);
		if (from.process.incarnation == e.incarnation) {
			left += e.leaving && !from.seen_leaving;
			from.seen_leaving = from.seen_leaving || e.leaving;
			paused += e.pause_us > 0;
			if (e.pause_us)
				from.pauses.emplace_back(
					e.sent_us, e.sent_us + e.pause_us);
		}
		answered += e.result == BAL_ANSWERED;
		bal_end(bal, e.to, e.result, 1, now);
		if (e.result == BAL_ANSWERED || r.tried.size() > 3)
			return;
		r.resumed = chance(0.3);
		if (!try_send(r)) /* else it waits */
			waiting.push_back(r);
	}

	std::mt19937_64 random;
	struct bal *bal = bal_new();
	int64_t now = START;
	std::vector<Endpoint> endpoints;
	std::vector<Request> waiting;
	std::priority_queue<Event> events;
	std::string broken;
};

} // namespace

TEST(HintHistory, NoRequestReachesAPausedOrLeavingEndpoint)
{
	const char *seed = getenv("HINT_SEED");
	uint64_t first = seed ? strtoull(seed, nullptr, 10) : 1;
	size_t answered = 0, paused = 0, left = 0, after_pause = 0;

	for (uint64_t s = first; s < first + (seed ? 1 : 200); s++) {
		History history(s);

		ASSERT_EQ(history.run(), "") << "HINT_SEED=" << s;
		answered += history.answered;
		paused += history.paused;
		left += history.left;
		after_pause += history.after_pause;
	}
	if (seed)
		return;
	/* The histories contain what they are about. */
	EXPECT_GT(answered, 200u * 1000);
	EXPECT_GT(paused, 1000u);
	EXPECT_GT(left, 200u);
	EXPECT_GT(after_pause, 1000u);
}
