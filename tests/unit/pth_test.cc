#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/pth.h"
}

/* Tests of lost paths and of the choice of helpers (pth.h). */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

/* What a network does to connections: entries and endpoints by name. */
class Paths : public ::testing::Test
{
      protected:
	struct pth *pth = pth_new(1);
	struct view *view = nullptr;
	int64_t now = 100 * S;
	std::set<std::string> down;	 /* endpoints that have ended */
	std::set<std::string> cut_off;	 /* entries without any path */
	std::set<std::string> knows;	 /* of these: those that know it */
	std::set<std::string> gone;	 /* entries that do not answer */
	std::vector<std::string> asked;	 /* helpers, in order */
	std::vector<std::string> probed; /* endpoints, in order */

	~Paths() override
	{
		pth_free(pth);
		if (view)
			view_unref(view);
	}

	struct Entry {
		std::string id, site;
	};

	/* Installs a view of these entries, the first of which is the own one,
	 * and of n endpoints e0, e1, ... of one service. */
	void install(const std::vector<Entry> &entries, size_t n,
		     const std::string &address = "10.0.0.1:1")
	{
		Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
		size_t n_all = entries.size() + n;
		std::vector<Dsp__ViewRecord> records(n_all);
		std::vector<Dsp__Node> nodes(entries.size());
		std::vector<Dsp__Endpoint> endpoints(n);
		std::vector<std::string> ids(n);
		std::vector<Dsp__ViewRecord *> all;
		struct view *empty = view_new_empty();

		for (size_t i = 0; i < n_all; i++) {
			dsp__view_record__init(&records[i]);
			records[i].index = 1;
			all.push_back(&records[i]);
		}
		for (size_t i = 0; i < entries.size(); i++) {
			dsp__node__init(&nodes[i]);
			nodes[i].id = (char *)entries[i].id.c_str();
			nodes[i].site = (char *)entries[i].site.c_str();
			nodes[i].weight = 100;
			nodes[i].detour_port = 7;
			records[i].key = nodes[i].id;
			records[i].kind = DSP__VIEW_RECORD__BODY_NODE;
			records[i].body_case = DSP__VIEW_RECORD__BODY_NODE;
			records[i].node = &nodes[i];
		}
		for (size_t i = 0; i < n; i++) {
			Dsp__ViewRecord &r = records[entries.size() + i];

			ids[i] = "e" + std::to_string(i);
			dsp__endpoint__init(&endpoints[i]);
			endpoints[i].id = &ids[i][0];
			endpoints[i].service = (char *)"llm";
			endpoints[i].address = (char *)address.c_str();
			endpoints[i].state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
			r.key = endpoints[i].id;
			r.kind = DSP__VIEW_RECORD__BODY_ENDPOINT;
			r.body_case = DSP__VIEW_RECORD__BODY_ENDPOINT;
			r.endpoint = &endpoints[i];
		}
		update.reset = true;
		update.to_index = 1;
		update.records = all.data();
		update.n_records = all.size();
		if (view)
			view_unref(view);
		view = view_apply(empty, &update);
		ASSERT_NE(view, nullptr);
		pth_set_view(pth, view, entries[0].id.c_str());
		view_unref(empty);
	}
	/* Carries out what is due for some time, in steps of 100 ms. */
	void run(int64_t us = 0)
	{
		for (int64_t end = now + us;; now += 100 * MS) {
			struct pth_action action;

			while (pth_next(pth, now, &action))
				act(action);
			if (now >= end)
				return;
		}
	}
	void act(const struct pth_action &action)
	{
		std::string endpoint = action.endpoint->id;
		bool up = !down.count(endpoint);

		if (action.kind == PTH_PROBE) {
			probed.push_back(endpoint);
			pth_probed(pth, endpoint.c_str(),
				   up && !cut_off.count("self"), now);
			return;
		}
		std::string helper = action.helper->id;
		enum pth_reply reply = up && !cut_off.count(helper)
					       ? PTH_REACHED
				       : knows.count(helper) ? PTH_NO_PATH
							     : PTH_UNREACHED;

		asked.push_back(helper);
		pth_replied(pth, endpoint.c_str(), helper.c_str(),
			    gone.count(helper) ? PTH_NO_REPLY : reply, now);
	}
	std::string helper(const char *endpoint,
			   const std::vector<const char *> &avoid = {})
	{
		std::vector<const char *> list = avoid;

		list.push_back(nullptr);
		const Dsp__Node *node =
			pth_helper(pth, endpoint, list.data(), now);

		return node ? node->id : "";
	}
};

} // namespace

/* Guards against a detour to an endpoint that has ended. */
TEST_F(Paths, EndpointThatNoHelperReachesIsNotLost)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 2);
	down = { "e0" };
	pth_unreached(pth, "e0", now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_OPEN);
	EXPECT_EQ(asked.size(), 2u);
	/* It is not asked about all the time. */
	for (int i = 0; i < 9; i++) {
		now += 100 * MS;
		pth_unreached(pth, "e0", now);
		run();
	}
	EXPECT_EQ(asked.size(), 2u);
	now += 200 * MS;
	pth_unreached(pth, "e0", now);
	run();
	EXPECT_EQ(asked.size(), 4u);
}

/* One failed connection is enough to find all lost paths of a service. */
TEST_F(Paths, OthersOfTheServiceAreProbedOnceAPathIsLost)
{
	install({ { "self", "x" }, { "h1", "x" } }, 8);
	cut_off = { "self" };
	pth_unreached(pth, "e3", now);
	run(200 * MS);
	EXPECT_EQ(pth_n_lost(pth), 8u);
	EXPECT_TRUE(pth_take_change(pth));
	EXPECT_FALSE(pth_take_change(pth));
}

/* A path that works meanwhile is left alone. */
TEST_F(Paths, PathsThatWorkStayDirect)
{
	install({ { "self", "x" }, { "h1", "x" } }, 3);
	pth_unreached(pth, "e0", now);
	run(200 * MS);
	EXPECT_EQ(pth_n_lost(pth), 1u);
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_LOST);
	EXPECT_EQ(pth_state_of(pth, "e1"), PTH_OPEN);
}

TEST_F(Paths, PathIsUsedAgainAfterProbesInARow)
{
	install({ { "self", "x" }, { "h1", "x" } }, 2);
	cut_off = { "self" };
	pth_unreached(pth, "e0", now);
	run(5 * S);
	EXPECT_EQ(pth_n_lost(pth), 2u);
	cut_off.clear();
	run(500 * MS);
	EXPECT_EQ(pth_n_lost(pth), 2u) << "after one probe";
	run(700 * MS);
	EXPECT_EQ(pth_n_lost(pth), 0u);
}

/* Guards against a change of way with each of the connections that a bad link
 * lets through. */
TEST_F(Paths, PathThatIsLostAgainNeedsMoreProbes)
{
	int64_t took[3];

	install({ { "self", "x" }, { "h1", "x" } }, 1);
	for (int64_t &us : took) {
		cut_off = { "self" };
		now += 1500 * MS;
		pth_unreached(pth, "e0", now);
		run();
		ASSERT_EQ(pth_n_lost(pth), 1u);
		cut_off.clear();
		int64_t start = now;
		while (pth_n_lost(pth) && now < start + 60 * S) {
			now += 100 * MS;
			run();
		}
		us = now - start;
	}
	EXPECT_LT(took[0], 2 * S);
	EXPECT_GT(took[1], took[0]);
	EXPECT_LE(took[2], 10 * S);
}

/* Guards against a site whose entries all ask one another. */
TEST_F(Paths, HelperOfAnotherSiteIsTakenWhereTheOwnSiteIsCutOff)
{
	install({ { "self", "x" },
		  { "x1", "x" },
		  { "x2", "x" },
		  { "x3", "x" },
		  { "x4", "x" },
		  { "y1", "y" } },
		2);
	cut_off = { "self", "x1", "x2", "x3", "x4" };
	pth_unreached(pth, "e0", now);
	run(200 * MS);
	EXPECT_EQ(pth_n_lost(pth), 2u);
	std::string first = helper("e0");
	EXPECT_EQ(helper("e0", { first.c_str() }), "y1");
}

/* Guards against instances that rest because an endpoint has ended. */
TEST_F(Paths, HelpersAreOfUseForOthersAfterAnEndpointHasEnded)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 2);
	cut_off = { "self" };
	pth_unreached(pth, "e0", now);
	run(200 * MS);
	ASSERT_EQ(pth_n_lost(pth), 2u);
	down = { "e0" };
	pth_detour_failed(pth, "e0", "h1", PTH_UNREACHED, now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_OPEN);
	EXPECT_EQ(pth_state_of(pth, "e1"), PTH_LOST);
	EXPECT_EQ(helper("e1"), "h1");
}

/* A helper without a path is passed over while another one has it. */
TEST_F(Paths, HelperThatLosesItsPathRests)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 2);
	cut_off = { "self" };
	pth_unreached(pth, "e0", now);
	run(200 * MS);
	ASSERT_EQ(helper("e0"), "h1");
	cut_off.insert("h1");
	pth_detour_failed(pth, "e0", "h1", PTH_UNREACHED, now);
	run();
	EXPECT_EQ(pth_n_lost(pth), 2u);
	EXPECT_EQ(helper("e0"), "h2");
	EXPECT_EQ(helper("e1"), "h2");
	now += 20 * S;
	EXPECT_EQ(helper("e0"), "h1");
}

TEST_F(Paths, HelperThatDoesNotAnswerRestsForAShortTime)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 1);
	cut_off = { "self" };
	gone = { "h1" };
	pth_unreached(pth, "e0", now);
	run();
	EXPECT_EQ(pth_n_lost(pth), 1u);
	EXPECT_EQ(helper("e0"), "h2");
	for (int i = 0; i < 5; i++) {
		pth_detour_failed(pth, "e0", "h1", PTH_NO_REPLY, now);
		pth_detour_failed(pth, "e0", "h2", PTH_NO_REPLY, now);
		EXPECT_EQ(helper("e0"), "") << "both rest";
		now += 400 * MS;
		EXPECT_EQ(helper("e0"), "h1");
	}
}

/* The load of several entries without a path goes over all others. */
TEST_F(Paths, RequestsAreSpreadOverHelpers)
{
	std::map<std::string, int> n;

	install({ { "self", "x" },
		  { "h1", "x" },
		  { "h2", "x" },
		  { "h3", "x" } },
		1);
	for (int i = 0; i < 30; i++) {
		std::string id = helper("e0");

		n[id]++;
		pth_detour_begun(pth, id.c_str());
	}
	EXPECT_EQ(n["h1"], 10);
	EXPECT_EQ(n["h2"], 10);
	EXPECT_EQ(n["h3"], 10);
	for (int i = 0; i < 10; i++)
		pth_detour_ended(pth, "h2");
	EXPECT_EQ(helper("e0"), "h2");
}

/* An endpoint at another address is reached by another path. */
TEST_F(Paths, NewAddressIsTriedDirectly)
{
	install({ { "self", "x" }, { "h1", "x" } }, 1);
	cut_off = { "self" };
	pth_unreached(pth, "e0", now);
	run();
	ASSERT_EQ(pth_n_lost(pth), 1u);
	install({ { "self", "x" }, { "h1", "x" } }, 1, "10.0.0.2:1");
	EXPECT_EQ(pth_n_lost(pth), 0u);
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_OPEN);
}

/* Guards against going back to a lost path because the only helper left, in
 * the middle of restarts, has lost its path as well. */
TEST_F(Paths, LostPathStaysLostWhereNobodyCanSay)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 1);
	cut_off = { "self" };
	pth_unreached(pth, "e0", now);
	run();
	ASSERT_EQ(pth_state_of(pth, "e0"), PTH_LOST);
	cut_off.insert("h1");
	gone = { "h2" };
	pth_detour_failed(pth, "e0", "h1", PTH_UNREACHED, now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_LOST);
	knows = { "h1" };
	pth_detour_failed(pth, "e0", "h1", PTH_NO_PATH, now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_LOST);
	gone.clear();
	now += 400 * MS;
	EXPECT_EQ(helper("e0"), "h2");
}

/* A helper without a path is no evidence that an endpoint has ended. */
TEST_F(Paths, CheckIsRepeatedSoonWhereNobodyCouldSay)
{
	install({ { "self", "x" }, { "h1", "x" }, { "h2", "y" } }, 1);
	cut_off = { "self", "h1" };
	knows = { "h1" };
	gone = { "h2" };
	pth_unreached(pth, "e0", now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_OPEN);
	gone.clear();
	now += 400 * MS;
	pth_unreached(pth, "e0", now);
	run();
	EXPECT_EQ(pth_state_of(pth, "e0"), PTH_LOST);
}
