/* Leases of views, and what they decide about keys. */
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/key.h"
#include "core/lse.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

} // namespace

/* Guards against a lease that time in transit makes younger. */
TEST(Lse, StartsAtTheSendingOfTheReportLessTheSendersAge)
{
	struct lse_clock clock = lse_clock_new(12345, 100 * S);
	struct lse leader = { 500 * S, 7 };
	struct lse lease = {};
	uint64_t echo = lse_sent_us(&clock, 110 * S);
	struct lse_grant grant = lse_grant(&leader, echo, 500 * S + 300 * MS);

	EXPECT_EQ(grant.age_ms, 300u);
	EXPECT_TRUE(lse_accept(&lease, &clock, &grant, 8, 190 * S));
	EXPECT_EQ(lease.start_us, 110 * S - 300 * MS);
	EXPECT_EQ(lease.index, 8u);
	EXPECT_EQ(lse_age_us(&lease, 190 * S), 80 * S + 300 * MS);
	EXPECT_FALSE(lse_holds(&lease, 4 * S, 190 * S));
	EXPECT_TRUE(lse_holds(&lease, 4 * S, 113 * S));
}

TEST(Lse, TellsWhenAnEchoedReportWasSent)
{
	struct lse_clock clock = lse_clock_new(12345, 100 * S);
	struct lse_clock other = lse_clock_new(UINT64_C(1) << 60, 100 * S);
	uint64_t echo = lse_sent_us(&clock, 110 * S);

	EXPECT_EQ(lse_echoed_us(&clock, echo, 190 * S), 110 * S);
	EXPECT_EQ(lse_echoed_us(&clock, echo, 109 * S), 0);
	EXPECT_EQ(lse_echoed_us(&clock, 0, 190 * S), 0);
	EXPECT_EQ(lse_echoed_us(&other, echo, 190 * S), 0);
}

TEST(Lse, RoundsTheAgeUpAndDoesNotGoBack)
{
	struct lse_clock clock = lse_clock_new(1, 1);
	struct lse leader = { 500 * S, 7 };
	struct lse lease = {};
	struct lse_grant grant =
		lse_grant(&leader, lse_sent_us(&clock, 9 * S), 500 * S + 1);

	EXPECT_EQ(grant.age_ms, 1u);
	EXPECT_TRUE(lse_accept(&lease, &clock, &grant, 8, 10 * S));
	EXPECT_FALSE(lse_accept(&lease, &clock, &grant, 9, 11 * S));
	grant = lse_grant(&leader, lse_sent_us(&clock, 8 * S), 500 * S);
	EXPECT_FALSE(lse_accept(&lease, &clock, &grant, 9, 11 * S));
	EXPECT_EQ(lease.index, 8u);
	EXPECT_EQ(lease.start_us, 9 * S - 1 * MS);
}

/* Guards against a grant for an earlier process of the instance, whose machine
 * may have restarted and its clock with it. */
TEST(Lse, GrantsForOtherProcessesAreRefused)
{
	struct lse leader = { 500 * S, 7 };
	std::mt19937_64 random(1);

	for (int i = 0; i < 1000; i++) {
		struct lse_clock before = lse_clock_new(random(), 5 * S);
		struct lse_clock now = lse_clock_new(random(), 6 * S);
		struct lse lease = {};
		struct lse_grant grant = lse_grant(
			&leader, lse_sent_us(&before, 20 * S), 500 * S);

		EXPECT_FALSE(lse_accept(&lease, &now, &grant, 8, 30 * S));
	}
	struct lse_clock clock = lse_clock_new(random(), 6 * S);
	struct lse lease = {};
	for (int64_t at : { 5 * S, 31 * S }) {
		struct lse_grant grant =
			lse_grant(&leader, lse_sent_us(&clock, at), 500 * S);

		EXPECT_FALSE(lse_accept(&lease, &clock, &grant, 8, 30 * S));
	}
}

TEST(Lse, WithoutALeaseOrAReportThereIsNoGrant)
{
	struct lse none = {};
	struct lse some = { 1 * S, 7 };
	struct lse_clock clock = lse_clock_new(1, 1);
	struct lse_grant empty = {};
	struct lse lease = {};

	EXPECT_EQ(lse_grant(&none, 5, 9 * S).echo_us, 0u);
	EXPECT_EQ(lse_grant(&some, 0, 9 * S).echo_us, 0u);
	EXPECT_EQ(lse_grant(&some, 5, INT64_C(5000000) * S).echo_us, 0u);
	EXPECT_FALSE(lse_accept(&lease, &clock, &empty, 8, 30 * S));
	EXPECT_FALSE(lse_holds(&none, 1000 * S, 1));
}

/* Guards against the use of a lease with a view that is older than it. */
TEST(Lse, ReaderWithAnOlderViewKeepsItsLease)
{
	struct lse newest = { 20 * S, 7 };
	struct lse lease = { 10 * S, 5 };

	lse_follow(&lease, &newest, 6);
	EXPECT_EQ(lease.start_us, 10 * S);
	lse_follow(&lease, &newest, 7);
	EXPECT_EQ(lease.start_us, 20 * S);
}

TEST(Key, DecidesByOwnerRouteLeaseAndContact)
{
	for (int bits = 0; bits < 32; bits++) {
		struct key_question q = {};

		q.keyed = bits & 1;
		q.open = bits & 2;
		q.owned = bits & 4;
		q.leased = bits & 8;
		q.isolated = bits & 16;
		int status = key_status(key_decide(&q));

		if (!q.keyed)
			EXPECT_EQ(key_decide(&q), KEY_SERVE) << bits;
		else if (q.open)
			EXPECT_EQ(key_decide(&q), q.owned && q.leased
							  ? KEY_SERVE
							  : KEY_SERVE_UNNAMED)
				<< bits;
		else if (q.owned && q.leased)
			EXPECT_EQ(status, 0) << bits;
		else if (!q.leased || q.isolated)
			EXPECT_EQ(status, 503) << bits;
		else
			EXPECT_EQ(status, 401) << bits;
	}
}
