#include <gtest/gtest.h>

extern "C" {
#include "core/loc.h"
}

namespace
{

constexpr int64_t ms = 1000;

struct Loc {
	struct loc_options options = { .ms_per_kb = 2, .leave_share_max = 0.5 };
	struct loc *l = loc_new(&options);

	Loc()
	{
		loc_set_site(l, "a");
	}
	~Loc()
	{
		loc_free(l);
	}
};

TEST(Loc, OwnSiteIsFreeAndOthersCostTheirBytes)
{
	Loc s;

	EXPECT_EQ(loc_offer(s.l, "a", 1, 4096, 0).cost_ms, 0);
	EXPECT_TRUE(loc_offer(s.l, "a", 1, 4096, 0).allowed);
	EXPECT_TRUE(loc_offer(s.l, "b", 0.5, 4096, 0).allowed);
}

/* Guards against traffic that turns back and forth with each load report: to
 * begin must pay twice as much as to go on. */
TEST(Loc, BeginningCostsMoreThanGoingOn)
{
	Loc s;

	EXPECT_EQ(loc_offer(s.l, "b", 0, 4096, 0).cost_ms, 16);
	loc_sent(s.l, "b", true, 0);
	EXPECT_EQ(loc_offer(s.l, "b", 0, 4096, 900 * ms).cost_ms, 8);
	EXPECT_EQ(loc_offer(s.l, "b", 0, 4096, 1100 * ms).cost_ms, 16);
}

/* Guards against an overload that is passed on in full: 200 requests a second
 * to which the other site always looks better. */
TEST(Loc, SendsOnNoMoreThanItsShare)
{
	Loc s;
	int left = 0;

	for (int i = 0; i < 1000; i++) {
		int64_t now_us = i * 5 * ms;
		bool leaves = loc_offer(s.l, "b", 0.2, 4096, now_us).allowed;

		left += leaves;
		loc_sent(s.l, leaves ? "b" : "a", true, now_us);
	}
	EXPECT_LE(left, 505);
	EXPECT_GE(left, 450);
	EXPECT_LE(loc_leaving_share(s.l, 5000 * ms), 0.51);
}

/* Guards against a second site that is overloaded by the first. */
TEST(Loc, LeavesOthersTheirOwnRoom)
{
	Loc s;

	EXPECT_TRUE(loc_offer(s.l, "b", 0.7, 4096, 0).allowed);
	EXPECT_FALSE(loc_offer(s.l, "b", 0.8, 4096, 0).allowed);
}

/* Requests that no endpoint of the own site can take are not limited. */
TEST(Loc, RequestsWithoutLocalEndpointDoNotCount)
{
	Loc s;

	for (int i = 0; i < 100; i++)
		loc_sent(s.l, "b", false, 0);
	EXPECT_EQ(loc_leaving_share(s.l, 0), 0);
}

/* Guards against a lost site that goes on getting requests: one failed endpoint
 * says nothing of its site, two do, within a second. */
TEST(Loc, LostSiteGetsNothingForAWhile)
{
	Loc s;

	loc_unreached(s.l, "b", "b1", 0);
	loc_unreached(s.l, "b", "b1", 100 * ms);
	EXPECT_TRUE(loc_offer(s.l, "b", 0, 0, 100 * ms).allowed);
	loc_unreached(s.l, "b", "b2", 200 * ms);
	EXPECT_FALSE(loc_offer(s.l, "b", 0, 0, 200 * ms).allowed);
	EXPECT_TRUE(loc_offer(s.l, "c", 0, 0, 200 * ms).allowed);
	EXPECT_TRUE(loc_offer(s.l, "b", 0, 0, 1300 * ms).allowed);
	loc_unreached(s.l, "b", "b1", 1300 * ms);
	loc_unreached(s.l, "b", "b2", 1350 * ms);
	EXPECT_FALSE(loc_offer(s.l, "b", 0, 0, 3000 * ms).allowed);
	loc_reached(s.l, "b");
	EXPECT_TRUE(loc_offer(s.l, "b", 0, 0, 3000 * ms).allowed);
}

} /* namespace */
