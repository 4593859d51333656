#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "policy_world.h"

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000000;

/* A router (rt) on the view of a simulated world, with a manual clock. */
class Router : public testing::Test
{
      protected:
	World world;
	struct rt *rt = rt_new(1);
	std::vector<struct rt_ticket *> open;

	void TearDown() override
	{
		for (struct rt_ticket *ticket : open)
			rt_done(rt, ticket, world.now_us, 1, false);
		rt_free(rt);
	}

	void model(const std::string &name)
	{
		World::Model m;

		m.name = name;
		world.models.push_back(m);
	}

	World::Endpoint endpoint(const std::string &id,
				 std::vector<std::string> loaded,
				 uint32_t batch = 8)
	{
		World::Endpoint e;

		e.id = id;
		e.batch = batch;
		for (const std::string &name : loaded) {
			World::Copy c;

			c.model = name;
			c.version = "1";
			e.copies.push_back(c);
		}
		return e;
	}

	void update_view()
	{
		rt_set_view(rt, world.refresh(), world.now_us);
	}

	struct rt_request request(const char *model, int class_index = 0,
				  int64_t deadline = kS)
	{
		struct rt_request r = {};

		r.team = "t";
		r.service = "s";
		r.model = model;
		r.class_limits = &world.doc->classes[class_index];
		r.class_name = r.class_limits->name;
		r.arrival_us = world.now_us;
		r.deadline_us = world.now_us + deadline;
		r.prompt_tokens = 100;
		r.max_tokens = 100;
		return r;
	}

	struct rt_decision submit(const struct rt_request &r)
	{
		struct rt_decision out;

		rt_submit(rt, &r, world.now_us, &out);
		if (out.ticket)
			open.push_back(out.ticket);
		return out;
	}

	struct rt_decision poll(struct rt_ticket *ticket)
	{
		struct rt_decision out;

		rt_poll(rt, ticket, world.now_us, &out);
		return out;
	}

	void done(struct rt_ticket *ticket, bool success = true)
	{
		rt_done(rt, ticket, world.now_us, 10, success);
		open.erase(std::find(open.begin(), open.end(), ticket));
	}

	/* Runs one request to its end, with these latencies. */
	void serve(const struct rt_request &r, int64_t first_token_us,
		   int64_t decode_us)
	{
		struct rt_decision d = submit(r);

		ASSERT_EQ(d.outcome, RT_DISPATCH);
		world.now_us += first_token_us;
		rt_first_token(rt, d.ticket, world.now_us);
		world.now_us += decode_us;
		done(d.ticket);
	}

	void report(const std::string &id, uint64_t sequence, uint32_t running,
		    uint32_t waiting, uint64_t incarnation = 1,
		    uint32_t age_ms = 0)
	{
		Dsp__LoadReport msg = DSP__LOAD_REPORT__INIT;

		msg.endpoint = (char *)id.c_str();
		msg.incarnation = incarnation;
		msg.sequence = sequence;
		msg.running = running;
		msg.waiting = waiting;
		msg.age_ms = age_ms;
		rt_report(rt, &msg, world.now_us);
	}
};

/* Only an endpoint that is up and has a ready copy that is not unloading is
 * chosen, and one is chosen whenever any has room. A direct filter of the
 * endpoints gives the expected set. */
TEST_F(Router, ChoosesOnlyReadyCopies)
{
	std::mt19937 random(5);

	model("m");
	world.put_document();
	for (int round = 0; round < 300; round++) {
		std::set<std::string> allowed;

		for (int i = 0; i < 6; i++) {
			std::string id = "e" + std::to_string(i);
			World::Endpoint e = endpoint(id, { "m" });
			bool other = random() % 4 == 0;

			e.incarnation = (uint64_t)round * 10 + 1;
			e.copies[0].ready = random() % 2;
			e.copies[0].unloading = random() % 3 == 0;
			if (other)
				e.copies[0].model = "x";
			if (random() % 4 == 0)
				e.state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
			if (e.copies[0].ready && !e.copies[0].unloading &&
			    !other &&
			    e.state == DSP__ENDPOINT_STATE__ENDPOINT_UP)
				allowed.insert(id);
			world.put_endpoint(e);
		}
		world.now_us += kS;
		update_view();
		for (int i = 0; i < 3; i++) {
			struct rt_decision d = submit(request("m"));

			if (allowed.empty()) {
				EXPECT_NE(d.outcome, RT_DISPATCH);
				continue;
			}
			ASSERT_EQ(d.outcome, RT_DISPATCH);
			EXPECT_EQ(allowed.count(d.endpoint->id), 1u);
		}
		while (!open.empty())
			done(open.back());
	}
}

/* A dispatch decision that the caller has not fetched yet is withdrawn when its
 * endpoint starts to leave. */
TEST_F(Router, LeavingEndpointLosesUnfetchedDispatches)
{
	struct rt_decision waiting;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0", { "m" }, 1));
	update_view();
	std::vector<struct rt_ticket *> first;
	for (int i = 0; i < 2; i++)
		first.push_back(submit(request("m")).ticket);
	waiting = submit(request("m", 0, 20 * kS));
	ASSERT_EQ(waiting.outcome, RT_WAIT);
	done(first[0]);
	EXPECT_TRUE(rt_decided(waiting.ticket));
	World::Endpoint e = endpoint("e0", { "m" }, 1);
	e.state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	world.put_endpoint(e);
	update_view();
	EXPECT_EQ(poll(waiting.ticket).outcome, RT_WAIT);
	EXPECT_EQ(rt_in_flight(rt, "e0"), 1u);
}

TEST_F(Router, LimitedEndpointGetsNoMoreThanItsLimit)
{
	unsigned limited = 0;

	model("m");
	world.put_document();
	for (const char *id : { "e0", "e1" })
		world.put_endpoint(endpoint(id, { "m" }, 64));
	update_view();
	EXPECT_EQ(rt_saw_limit(rt, "e0", 7, 3, 0, world.now_us), LIM_SAME);
	EXPECT_EQ(rt_saw_limit(rt, "e0", 1, 3, 0, world.now_us), LIM_NAMED);
	for (int i = 0; i < 400; i++) {
		struct rt_decision d = submit(request("m"));

		ASSERT_EQ(d.outcome, RT_DISPATCH);
		limited += !strcmp(d.endpoint->id, "e0");
		world.now_us += 10 * kMs;
		done(d.ticket);
	}
	EXPECT_LE(limited, 12u);
	EXPECT_EQ(rt_saw_limit(rt, "e0", 1, 0, 0, world.now_us), LIM_ENDED);
	rt_saw_hint(rt, "e1", 1, true, 0, 0, world.now_us);
	EXPECT_STREQ(submit(request("m")).endpoint->id, "e0");
	EXPECT_STREQ(submit(request("m")).endpoint->id, "e0");
}

TEST_F(Router, RequestWaitsForAnEndpointAtItsLimitAndIsSentInTime)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0", { "m" }, 64));
	update_view();
	rt_saw_limit(rt, "e0", 1, 2, 0, world.now_us);
	struct rt_decision waiting = submit(request("m", 0, 20 * kS));
	ASSERT_EQ(waiting.outcome, RT_WAIT);
	world.now_us += kS;
	EXPECT_EQ(poll(waiting.ticket).outcome, RT_DISPATCH);
	EXPECT_EQ(submit(request("m", 0, 20 * kS)).outcome, RT_WAIT);
}

TEST_F(Router, PausedAndLeavingEndpointsGetNoDispatch)
{
	model("m");
	world.put_document();
	for (const char *id : { "e0", "e1", "e2" })
		world.put_endpoint(endpoint(id, { "m" }, 64));
	update_view();
	rt_saw_hint(rt, "e0", 1, true, 0, 0, world.now_us);
	rt_saw_hint(rt, "e1", 1, false, 2 * kS, 0, world.now_us);
	rt_saw_hint(rt, "e2", 7, true, 0, 0,
		    world.now_us); /* no such process */
	for (int i = 0; i < 30; i++)
		EXPECT_STREQ(submit(request("m")).endpoint->id, "e2");
	rt_saw_hint(rt, "e2", 1, false, 5 * kS, 0, world.now_us);
	/* Refused at once, with the end of the first pause. */
	struct rt_decision d = submit(request("m"));
	EXPECT_EQ(d.outcome, RT_REFUSE);
	EXPECT_EQ(d.reason, RT_REASON_DEADLINE_UNREACHABLE);
	EXPECT_GE(d.retry_after_us, 2 * kS);
	/* Waits where the deadline leaves room. */
	d = submit(request("m", 0, 4 * kS));
	EXPECT_EQ(d.outcome, RT_WAIT);
	world.now_us += 2 * kS;
	EXPECT_STREQ(poll(d.ticket).endpoint->id, "e1");
}

TEST_F(Router, PauseWithdrawsUnfetchedDispatchesAndEndsTheWait)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0", { "m" }, 1));
	update_view();
	std::vector<struct rt_ticket *> first;
	for (int i = 0; i < 2; i++)
		first.push_back(submit(request("m")).ticket);
	struct rt_decision waiting = submit(request("m", 0, 20 * kS));
	ASSERT_EQ(waiting.outcome, RT_WAIT);
	done(first[0]);
	ASSERT_TRUE(rt_decided(waiting.ticket));
	rt_saw_hint(rt, "e0", 1, false, 3 * kS, 0, world.now_us);
	EXPECT_EQ(poll(waiting.ticket).outcome, RT_WAIT);
	rt_saw_hint(rt, "e0", 1, false, 60 * kS, 0, world.now_us);
	struct rt_decision d = poll(waiting.ticket);
	EXPECT_EQ(d.outcome, RT_REFUSE);
	EXPECT_GE(d.retry_after_us, 60 * kS);
}

/* A seeded history of pauses and departures beside retries and replacements. */
TEST_F(Router, NoDispatchToPausedOrLeavingEndpointsInRandomRuns)
{
	std::mt19937 random(27);
	std::map<std::string, int64_t> paused_until;
	std::set<std::string> leaving;
	std::vector<struct rt_ticket *> waiting;
	std::set<struct rt_ticket *> in_flight;
	uint64_t incarnation[5] = { 1, 1, 1, 1, 1 };
	int dispatched = 0, hints = 0;

	model("m");
	world.put_document();
	for (int i = 0; i < 5; i++)
		world.put_endpoint(
			endpoint("e" + std::to_string(i), { "m" }, 3));
	update_view();
	for (int step = 0; step < 50000; step++) {
		struct rt_decision d = {};
		unsigned action = random() % 1000;
		int e = (int)(random() % 5);
		std::string id = "e" + std::to_string(e);

		d.outcome = RT_REFUSE;
		world.now_us += (int64_t)(random() % 20) * kMs;
		if (action < 400) {
			d = submit(request("m", 0,
					   (int64_t)(random() % 4000) * kMs));
		} else if (action < 600 && !waiting.empty()) {
			d = poll(waiting[random() % waiting.size()]);
		} else if (action < 700 && !in_flight.empty()) {
			struct rt_ticket *ticket = *in_flight.begin();

			in_flight.erase(ticket);
			rt_retry(rt, ticket, world.now_us, &d);
		} else if (action < 980 && !open.empty()) {
			struct rt_ticket *ticket = open[random() % open.size()];

			in_flight.erase(ticket);
			done(ticket, random() % 2);
		} else if (action < 992) {
			int64_t pause = (int64_t)(random() % 3000) * kMs;

			hints++;
			rt_saw_hint(rt, id.c_str(), incarnation[e], false,
				    pause, 0, world.now_us);
			paused_until[id] = std::max(paused_until[id],
						    world.now_us + pause);
		} else if (action < 995) {
			hints++;
			rt_saw_hint(rt, id.c_str(), incarnation[e], true, 0, 0,
				    world.now_us);
			leaving.insert(id);
		} else {
			World::Endpoint next = endpoint(id, { "m" }, 3);

			next.incarnation = ++incarnation[e];
			paused_until.erase(id);
			leaving.erase(id);
			world.put_endpoint(next);
			update_view();
		}
		waiting.clear();
		for (struct rt_ticket *t : open)
			if (!rt_decided(t))
				waiting.push_back(t);
		if (d.outcome != RT_DISPATCH)
			continue;
		dispatched++;
		in_flight.insert(d.ticket);
		ASSERT_EQ(leaving.count(d.endpoint->id), 0u) << step;
		ASSERT_GE(world.now_us, paused_until[d.endpoint->id]) << step;
	}
	EXPECT_GT(dispatched, 1000);
	EXPECT_GT(hints, 200);
}

/* After a failed connection an endpoint is avoided at once, then probed with
 * one request at a time until one succeeds. */
TEST_F(Router, FailedEndpointIsAvoidedThenProbedOnce)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("bad", { "m" }));
	world.put_endpoint(endpoint("good", { "m" }, 64));
	update_view();
	rt_endpoint_failed(rt, "bad", 1, world.now_us);
	for (int i = 0; i < 30; i++)
		EXPECT_STREQ(submit(request("m")).endpoint->id, "good");
	world.now_us += 300 * kMs;
	for (int i = 0; i < 30; i++)
		submit(request("m"));
	EXPECT_LE(rt_in_flight(rt, "bad"), 1u);
	/* A failure of another process of an endpoint has no effect. */
	while (!open.empty())
		done(open.back());
	rt_endpoint_failed(rt, "bad", 1, world.now_us);
	rt_endpoint_failed(rt, "good", 7, world.now_us);
	for (int i = 0; i < 2; i++) {
		struct rt_decision d = submit(request("m"));

		ASSERT_EQ(d.outcome, RT_DISPATCH);
		EXPECT_STREQ(d.endpoint->id, "good");
	}
}

/* Dispatch follows measured speed: of two endpoints, the one that is four times
 * as fast gets most requests. */
TEST_F(Router, PrefersTheFasterEndpoint)
{
	std::map<std::string, int> count;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("fast", { "m" }));
	world.put_endpoint(endpoint("slow", { "m" }));
	update_view();
	for (int i = 0; i < 300; i++) {
		struct rt_decision d = submit(request("m"));
		bool fast;

		ASSERT_EQ(d.outcome, RT_DISPATCH);
		fast = !strcmp(d.endpoint->id, "fast");
		if (i >= 100)
			count[d.endpoint->id]++;
		world.now_us += (fast ? 50 : 200) * kMs;
		rt_first_token(rt, d.ticket, world.now_us);
		world.now_us += (fast ? 100 : 400) * kMs;
		done(d.ticket);
	}
	EXPECT_GT(count["fast"], 180);
}

/* Within a class, the earliest deadline goes first. The expected order is that
 * of all waiting requests sorted by deadline. */
TEST_F(Router, EarliestDeadlineFirstWithinAClass)
{
	std::mt19937 random(9);
	std::vector<std::pair<int64_t, struct rt_ticket *>> waiting;
	std::vector<struct rt_ticket *> running;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 1));
	update_view();
	for (int i = 0; i < 2; i++)
		running.push_back(submit(request("m", 0, 900 * kS)).ticket);
	for (int i = 0; i < 40; i++) {
		int64_t deadline = (500 + (int64_t)(random() % 300)) * kS + i;
		struct rt_decision d = submit(request("m", 0, deadline));

		ASSERT_EQ(d.outcome, RT_WAIT);
		waiting.push_back({ deadline, d.ticket });
	}
	std::sort(waiting.begin(), waiting.end());
	for (auto &next : waiting) {
		world.now_us += 10 * kMs;
		done(running.front());
		running.erase(running.begin());
		ASSERT_EQ(poll(next.second).outcome, RT_DISPATCH);
		running.push_back(next.second);
	}
}

/* The class of higher priority goes first, but a class with a guaranteed share
 * gets about that share while both always have requests waiting. */
TEST_F(Router, PriorityWithGuaranteedShare)
{
	int served[2] = { 0, 0 };

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 4));
	update_view();
	std::vector<std::pair<struct rt_ticket *, int>> running;
	std::vector<std::pair<struct rt_ticket *, int>> waiting;
	for (int step = 0; step < 2000; step++) {
		world.now_us += 25 * kMs;
		for (int c = 0; c < 2; c++) {
			long have = std::count_if(
				waiting.begin(), waiting.end(),
				[c](auto &w) { return w.second == c; });

			for (; have < 20; have++) {
				struct rt_decision d =
					submit(request("m", c, 3600 * kS));

				if (d.outcome == RT_DISPATCH)
					running.push_back({ d.ticket, c });
				else if (d.outcome == RT_WAIT)
					waiting.push_back({ d.ticket, c });
			}
		}
		if (!running.empty()) {
			done(running.front().first);
			served[running.front().second]++;
			running.erase(running.begin());
		}
		for (size_t i = 0; i < waiting.size();) {
			if (!rt_decided(waiting[i].first)) {
				i++;
				continue;
			}
			ASSERT_EQ(poll(waiting[i].first).outcome, RT_DISPATCH);
			running.push_back(waiting[i]);
			waiting.erase(waiting.begin() + (long)i);
		}
	}
	double low = (double)served[1] / (served[0] + served[1]);
	EXPECT_GT(low, 0.15);
	EXPECT_LT(low, 0.35);
}

/* A request that cannot meet its deadline behind others is refused at once and
 * nothing is dispatched. On an idle endpoint it is dispatched, so that a wrong
 * prediction cannot make a model unreachable. */
TEST_F(Router, RefusesEarlyOnlyUnderContention)
{
	struct rt_decision d;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 2));
	update_view();
	for (int i = 0; i < 20; i++)
		serve(request("m", 0, 60 * kS), 500 * kMs, 1500 * kMs);
	EXPECT_EQ(submit(request("m", 0, 10 * kMs)).outcome, RT_DISPATCH);
	for (int i = 0; i < 8; i++)
		submit(request("m", 0, 60 * kS));
	uint32_t before = rt_in_flight(rt, "e");
	d = submit(request("m", 0, 600 * kMs));
	EXPECT_EQ(d.outcome, RT_REFUSE);
	EXPECT_EQ(d.reason, RT_REASON_DEADLINE_UNREACHABLE);
	EXPECT_EQ(d.ticket, nullptr);
	EXPECT_GT(d.retry_after_us, 0);
	EXPECT_EQ(rt_in_flight(rt, "e"), before);
	EXPECT_EQ(submit(request("m", 0, 60 * kS)).outcome, RT_WAIT);
}

/* A ticket that is refused while it waits does not count as dispatched. */
TEST_F(Router, WaitingTicketIsRefusedWhenItsDeadlinePasses)
{
	struct rt_decision d;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 1));
	update_view();
	submit(request("m"));
	submit(request("m"));
	d = submit(request("m", 0, 5 * kS));
	ASSERT_EQ(d.outcome, RT_WAIT);
	EXPECT_LE(rt_next_us(rt, d.ticket, world.now_us),
		  world.now_us + 5 * kS + 1);
	world.now_us += 6 * kS;
	struct rt_decision late = poll(d.ticket);
	EXPECT_EQ(late.outcome, RT_REFUSE);
	EXPECT_EQ(late.reason, RT_REASON_DEADLINE_UNREACHABLE);
	EXPECT_EQ(rt_in_flight(rt, "e"), 2u);
	EXPECT_EQ(rt_waiting(rt), 0u);
}

/* Retries stay within 10% of the requests of a team, so that they do not
 * multiply the load during an outage. A request is retried at most once, at
 * another endpoint. */
TEST_F(Router, RetriesStayWithinTheBudget)
{
	int retried = 0, requests = 1000;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0", { "m" }, 100));
	world.put_endpoint(endpoint("e1", { "m" }, 100));
	update_view();
	for (int i = 0; i < requests; i++) {
		struct rt_decision d = submit(request("m")), again;
		std::string id;

		ASSERT_EQ(d.outcome, RT_DISPATCH);
		id = d.endpoint->id;
		rt_retry(rt, d.ticket, world.now_us, &again);
		if (again.outcome == RT_DISPATCH) {
			retried++;
			EXPECT_NE(id, again.endpoint->id);
			rt_retry(rt, d.ticket, world.now_us, &again);
			EXPECT_EQ(again.outcome, RT_REFUSE);
		}
		EXPECT_EQ(again.reason, RT_REASON_RETRY_BUDGET);
		done(d.ticket, false);
	}
	EXPECT_LE(retried, requests / 10 + 5);
	EXPECT_GE(retried, requests / 10 - 1);
}

/* A burst of requests for one model causes no refusal or starvation of another
 * model of the same class on the same endpoint. */
TEST_F(Router, BurstOfOneModelDoesNotStarveOthers)
{
	int refused[2] = { 0, 0 }, served[2] = { 0, 0 }, sent[2] = { 0, 0 };
	std::vector<std::pair<struct rt_ticket *, int>> running, waiting;

	model("burst");
	model("calm");
	world.put_document();
	world.put_endpoint(endpoint("e", { "burst", "calm" }, 4));
	update_view();
	for (int step = 0; step < 2000; step++) {
		world.now_us += 20 * kMs;
		for (int i = 0; i < 5; i++) {
			int m = i == 0 && step % 4 == 0;
			struct rt_decision d;

			d = submit(request(m ? "calm" : "burst", 0, 30 * kS));
			sent[m]++;
			if (d.outcome == RT_REFUSE)
				refused[m]++;
			else if (d.outcome == RT_DISPATCH)
				running.push_back({ d.ticket, m });
			else
				waiting.push_back({ d.ticket, m });
		}
		if (running.size()) {
			done(running.front().first);
			served[running.front().second]++;
			running.erase(running.begin());
		}
		for (size_t i = 0; i < waiting.size();) {
			struct rt_decision d;

			if (!rt_decided(waiting[i].first)) {
				i++;
				continue;
			}
			d = poll(waiting[i].first);
			if (d.outcome == RT_DISPATCH) {
				running.push_back(waiting[i]);
			} else {
				done(waiting[i].first, false);
				refused[waiting[i].second]++;
			}
			waiting.erase(waiting.begin() + (long)i);
		}
	}
	EXPECT_GT(refused[0], sent[0] / 2);
	EXPECT_LT(refused[1], sent[1] / 20);
	EXPECT_GT(served[1], sent[1] * 8 / 10);
}

/* A model that has used more than its share goes after others of its class,
 * even if its deadlines are earlier. */
TEST_F(Router, BurstingModelGoesAfterOthersOfItsClass)
{
	std::vector<std::pair<struct rt_ticket *, int>> running, waiting;
	int served[2] = { 0, 0 };

	model("burst");
	model("calm");
	world.put_document();
	world.put_endpoint(endpoint("e", { "burst", "calm" }, 4));
	update_view();
	for (int step = 0; step < 400; step++) {
		world.now_us += 50 * kMs;
		for (int m = 0; m < 2; m++) {
			long have = std::count_if(
				waiting.begin(), waiting.end(),
				[m](auto &w) { return w.second == m; });

			for (; have < (m ? 2 : 20); have++) {
				struct rt_decision d =
					submit(request(m ? "calm" : "burst", 0,
						       (m ? 7200 : 3600) * kS));

				ASSERT_NE(d.outcome, RT_REFUSE);
				(d.outcome == RT_DISPATCH ? running : waiting)
					.push_back({ d.ticket, m });
			}
		}
		done(running.front().first);
		served[running.front().second]++;
		running.erase(running.begin());
		for (size_t i = 0; i < waiting.size();) {
			if (!rt_decided(waiting[i].first)) {
				i++;
				continue;
			}
			ASSERT_EQ(poll(waiting[i].first).outcome, RT_DISPATCH);
			running.push_back(waiting[i]);
			waiting.erase(waiting.begin() + (long)i);
		}
	}
	EXPECT_GT(served[1], 80);
	EXPECT_GT(served[0], 200);
}

/* One model may fill only a part of the queue of its class. When the queue is
 * full, a request of the model with the most waiting requests is refused to
 * admit one of another model. */
TEST_F(Router, QueueIsSharedBetweenModels)
{
	std::map<std::string, std::vector<struct rt_ticket *>> waiting;
	struct rt_decision d;
	int refused = 0;

	for (const char *name : { "m0", "m1", "m2" })
		model(name);
	world.put_document();
	world.put_endpoint(endpoint("e", { "m0", "m1", "m2" }, 1));
	update_view();
	for (const char *name : { "m0", "m1" }) {
		for (int i = 0; i < 80; i++) {
			d = submit(request(name, 0, 3600 * kS));
			EXPECT_TRUE(d.outcome != RT_REFUSE ||
				    d.reason == RT_REASON_MODEL_SHARE);
			if (d.outcome == RT_WAIT)
				waiting[name].push_back(d.ticket);
		}
	}
	/* queue_max is 100. */
	EXPECT_EQ(waiting["m0"].size(), 50u);
	EXPECT_EQ(waiting["m1"].size(), 50u);
	EXPECT_EQ(rt_waiting(rt), 100u);
	d = submit(request("m2", 0, 3600 * kS));
	EXPECT_EQ(d.outcome, RT_WAIT);
	EXPECT_EQ(rt_waiting(rt), 100u);
	for (auto &model : waiting) {
		for (struct rt_ticket *ticket : model.second) {
			struct rt_decision out = poll(ticket);

			refused += out.outcome == RT_REFUSE &&
				   out.reason == RT_REASON_MODEL_SHARE;
		}
	}
	EXPECT_EQ(refused, 1);
}

/* Load reports that are older than the last one, or of another process, are
 * ignored. */
TEST_F(Router, IgnoresReportsOutOfOrder)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 4));
	update_view();
	report("e", 5, 0, 0);
	report("e", 4, 4, 4);
	report("e", 9, 4, 4, 77);
	EXPECT_EQ(submit(request("m")).outcome, RT_DISPATCH);
	report("e", 6, 4, 4);
	EXPECT_NE(submit(request("m", 0, 60 * kS)).outcome, RT_DISPATCH);
}

/* The weight of the last load report falls with its age, so an endpoint whose
 * reports stopped while it was full is used again. */
TEST_F(Router, OldReportLosesItsWeight)
{
	struct rt_decision d;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 4));
	update_view();
	report("e", 1, 4, 4);
	d = submit(request("m", 0, 60 * kS));
	ASSERT_EQ(d.outcome, RT_WAIT);
	world.now_us += 12 * kS;
	EXPECT_EQ(poll(d.ticket).outcome, RT_DISPATCH);
}

/* An endpoint that reports a full queue all the time does not make its models
 * unreachable. */
TEST_F(Router, FalseLoadReportsDoNotBlockForever)
{
	struct rt_decision d;
	uint64_t sequence = 1;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 4));
	update_view();
	report("e", sequence++, 4, 1000000);
	d = submit(request("m", 0, 10 * kS));
	for (int i = 0; i < 100 && d.outcome == RT_WAIT; i++) {
		world.now_us += 100 * kMs;
		report("e", sequence++, 4, 1000000);
		d = poll(d.ticket);
	}
	EXPECT_EQ(d.outcome, RT_DISPATCH);
}

/* Requests of this entry that a load report does not include yet are added to
 * it. */
TEST_F(Router, CorrectsReportsByOwnRequestsInFlight)
{
	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }, 4));
	update_view();
	for (int i = 0; i < 4; i++)
		submit(request("m"));
	world.now_us += 500 * kMs;
	/* Describes the load one second before the requests were sent. */
	report("e", 1, 0, 0, 1, 1500);
	submit(request("m"));
	EXPECT_EQ(submit(request("m", 0, 60 * kS)).outcome, RT_WAIT);
	/* The same four requests are not counted twice. */
	while (!open.empty())
		done(open.back());
	EXPECT_EQ(rt_in_flight(rt, "e"), 0u);
	for (int i = 0; i < 4; i++)
		submit(request("m"));
	world.now_us += kS;
	report("e", 2, 4, 0);
	EXPECT_EQ(submit(request("m")).outcome, RT_DISPATCH);
}

/* Entries that get the same load reports do not all choose the one endpoint
 * that is shown as idle. */
TEST_F(Router, EntriesDoNotAllChooseTheIdleEndpoint)
{
	std::map<std::string, int> count;
	const int entries = 40;

	model("m");
	world.put_document();
	for (int i = 0; i < 10; i++)
		world.put_endpoint(
			endpoint("e" + std::to_string(i), { "m" }, 16));
	world.refresh();
	for (int i = 0; i < entries; i++) {
		struct rt *other = rt_new((uint64_t)i + 100);
		struct rt_request r = request("m");
		struct rt_decision d;

		rt_set_entries(other, entries);
		rt_set_view(other, world.view, world.now_us);
		std::swap(rt, other);
		for (int j = 0; j < 10; j++)
			report("e" + std::to_string(j), 1, j == 3 ? 0 : 8, 0);
		std::swap(rt, other);
		rt_submit(other, &r, world.now_us, &d);
		ASSERT_EQ(d.outcome, RT_DISPATCH);
		count[d.endpoint->id]++;
		rt_done(other, d.ticket, world.now_us, 1, false);
		rt_free(other);
	}
	/* e3 has 16 free slots, the others 8 each. */
	EXPECT_LE(count["e3"], 20);
	EXPECT_GE(count["e3"], 4);
}

/* The predicted latency is lower where the endpoint has already processed the
 * prefix of the prompt, until the process of the endpoint restarts. */
TEST_F(Router, PredictsPrefixReuse)
{
	struct rt_request r;
	int64_t cold, warm, restarted;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e", { "m" }));
	update_view();
	for (int i = 0; i < 20; i++)
		serve(request("m"), 100 * kMs, 100 * kMs);
	r = request("m");
	r.prompt_tokens = 2000;
	for (int i = 0; i < 4; i++)
		r.prefix_hashes[i] = 1000 + (uint64_t)i;
	cold = submit(r).predicted_us;
	rt_first_token(rt, open.back(), world.now_us + 1);
	done(open.back());
	warm = submit(r).predicted_us;
	done(open.back(), false);
	EXPECT_LT(warm, cold * 7 / 10);
	World::Endpoint e = endpoint("e", { "m" });
	e.incarnation = 2;
	world.put_endpoint(e);
	update_view();
	restarted = submit(r).predicted_us;
	EXPECT_GT(restarted, warm * 13 / 10);
}

/* At most one suspect request runs on an endpoint at a time. */
TEST_F(Router, OneSuspectPerEndpoint)
{
	struct rt_request r;

	model("m");
	world.put_document();
	world.put_endpoint(endpoint("e0", { "m" }));
	world.put_endpoint(endpoint("e1", { "m" }));
	update_view();
	r = request("m", 0, 60 * kS);
	r.suspect = true;
	std::string a = submit(r).endpoint->id, b = submit(r).endpoint->id;
	EXPECT_NE(a, b);
	EXPECT_EQ(submit(r).outcome, RT_WAIT);
	EXPECT_EQ(submit(request("m")).outcome, RT_DISPATCH);
}

/* Requests for a model whose copy is loading wait for it; those for a model
 * that is not in the published document are refused at once. */
TEST_F(Router, WaitsForALoadingCopy)
{
	struct rt_decision d;
	World::Endpoint e = endpoint("e", { "m" });

	model("m");
	world.put_document();
	e.copies[0].ready = false;
	world.put_endpoint(e);
	update_view();
	d = submit(request("m", 0, 20 * kS));
	ASSERT_EQ(d.outcome, RT_WAIT);
	EXPECT_EQ(submit(request("other")).reason, RT_REASON_NO_ENDPOINT);
	world.now_us += 7 * kS;
	EXPECT_EQ(poll(d.ticket).outcome, RT_WAIT);
	e.copies[0].ready = true;
	e.incarnation = 2;
	world.put_endpoint(e);
	update_view();
	EXPECT_EQ(poll(d.ticket).outcome, RT_DISPATCH);
}

/* While two versions are loaded, requests go to the current one, and to the
 * other only if the current one has no room. */
TEST_F(Router, PrefersTheCurrentVersion)
{
	World::Endpoint fresh = endpoint("fresh", { "m" }, 4);
	World::Endpoint old = endpoint("old", { "m" }, 4);

	model("m");
	world.models[0].version = "2";
	world.put_document();
	world.put_endpoint(old);
	update_view();
	EXPECT_STREQ(submit(request("m")).endpoint->id, "old");
	fresh.copies[0].version = "2";
	world.put_endpoint(fresh);
	update_view();
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(submit(request("m")).endpoint->id, "fresh");
	submit(request("m"));
	EXPECT_STREQ(submit(request("m")).endpoint->id, "old");
}

/* An adapter is served only where it and its model are ready. */
TEST_F(Router, RestOfAnAnswerComesFromTheSameSoftware)
{
	model("m");
	world.put_document();
	for (const char *id : { "a", "b", "c", "d" }) {
		World::Endpoint e = endpoint(id, { "m" });

		e.software = id[0] < 'c' ? "v1" : "v2";
		world.put_endpoint(e);
	}
	update_view();
	for (int i = 0; i < 20; i++) {
		struct rt_decision first = submit(request("m"));
		struct rt_decision next;
		std::string software = first.endpoint->software;

		world.now_us += 10 * kMs;
		rt_first_token(rt, first.ticket, world.now_us);
		rt_retry(rt, first.ticket, world.now_us, &next);
		if (next.outcome == RT_DISPATCH) {
			EXPECT_EQ(next.endpoint->software, software);
		}
		done(first.ticket);
		world.now_us += kS;
	}
}

TEST_F(Router, AdapterNeedsItsModel)
{
	World::Endpoint both = endpoint("both", { "m", "m" });
	World::Endpoint bare = endpoint("bare", { "x", "m" });
	struct rt_request r;

	model("m");
	World::Adapter a;
	a.name = "a";
	a.model = "m";
	world.adapters.push_back(a);
	world.put_document();
	both.copies[1].adapter = "a";
	bare.copies[1].adapter = "a";
	world.put_endpoint(both);
	world.put_endpoint(bare);
	update_view();
	r = request("m");
	r.adapter = "a";
	for (int i = 0; i < 6; i++)
		EXPECT_STREQ(submit(r).endpoint->id, "both");
}

/* With random calls and changes of the view, the number of waiting requests
 * equals that of a reference model, and the number in flight stays within the
 * reference model's limits. */
TEST_F(Router, CountsStayConsistentUnderRandomCalls)
{
	std::mt19937 random(3);
	/* Tickets in the order of their submission, not of their addresses. */
	std::map<struct rt_ticket *, int> numbers;
	auto earlier = [&](struct rt_ticket *a, struct rt_ticket *b) {
		return numbers.at(a) < numbers.at(b);
	};
	std::map<struct rt_ticket *, std::string, decltype(earlier)> in_flight(
		earlier);
	std::set<struct rt_ticket *, decltype(earlier)> waiting(earlier);
	uint64_t incarnation[5] = { 1, 1, 1, 1, 1 };

	model("m0");
	model("m1");
	world.put_document();
	for (int i = 0; i < 5; i++)
		world.put_endpoint(
			endpoint("e" + std::to_string(i), { "m0", "m1" }, 3));
	update_view();
	for (int step = 0; step < 20000; step++) {
		struct rt_decision d = {};
		struct rt_ticket *ticket = nullptr;
		unsigned action = random() % 100;
		int e = (int)(random() % 5);
		std::string id = "e" + std::to_string(e);

		world.now_us += (int64_t)(random() % 20) * kMs;
		if (action < 40) {
			const char *name = random() % 2 ? "m0" : "m1";
			int rank = (int)(random() % 2);
			int64_t deadline = (int64_t)(random() % 4000) * kMs;

			d = submit(request(name, rank, deadline));
			ticket = d.ticket;
			numbers[ticket] = step;
		} else if (action < 60 && !open.empty()) {
			ticket = open[random() % open.size()];
			in_flight.erase(ticket);
			waiting.erase(ticket);
			done(ticket, random() % 4);
			ticket = nullptr;
		} else if (action < 80 && !waiting.empty()) {
			ticket = *waiting.begin();
			waiting.erase(ticket);
			d = poll(ticket);
		} else if (action < 85 && !in_flight.empty()) {
			ticket = in_flight.begin()->first;
			rt_endpoint_failed(rt, in_flight[ticket].c_str(),
					   incarnation[e], world.now_us);
			in_flight.erase(ticket);
			rt_retry(rt, ticket, world.now_us, &d);
		} else if (action < 95) {
			unsigned running = random() % 5;
			unsigned queued = random() % 3;

			report(id, (uint64_t)step + 1, running, queued,
			       incarnation[e]);
		} else {
			World::Endpoint next = endpoint(id, { "m0", "m1" }, 3);

			next.incarnation = ++incarnation[e];
			if (random() % 3 == 0)
				next.copies.pop_back();
			if (random() % 4 == 0)
				next.state =
					DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
			world.put_endpoint(next);
			update_view();
		}
		if (ticket && d.outcome == RT_DISPATCH)
			in_flight[ticket] = d.endpoint->id;
		else if (ticket && d.outcome == RT_WAIT)
			waiting.insert(ticket);
		uint32_t sum = 0;
		for (int i = 0; i < 5; i++)
			sum += rt_in_flight(rt,
					    ("e" + std::to_string(i)).c_str());
		uint32_t undecided = 0;
		for (struct rt_ticket *t : waiting)
			undecided += !rt_decided(t);
		ASSERT_EQ(rt_waiting(rt), undecided);
		ASSERT_GE(sum, in_flight.size());
		ASSERT_LE(sum, in_flight.size() + waiting.size());
	}
}

} // namespace
