#include <gtest/gtest.h>

extern "C" {
#include "core/rep.h"
}

namespace
{

constexpr int64_t S = 1000000;
constexpr double EXTRA = 20;

unsigned take_all(struct rep *rep, int64_t now_us)
{
	const struct rep_options options = { 0.2, 10, EXTRA };
	unsigned n = 0;

	while (rep_take(rep, &options, REP_BEGUN, now_us))
		n++;
	return n;
}

} // namespace

TEST(LateRepeats, HeldForLongerThanTheWindowStillCountWhenTheyAreSent)
{
	struct rep *rep = rep_new();
	unsigned held = take_all(rep, 100 * S);
	unsigned taken = take_all(rep, 111 * S);

	for (unsigned i = 0; i < held; i++)
		rep_move(rep, 100 * S, 111 * S);
	EXPECT_GT(held, 0u);
	EXPECT_LE(held + taken, EXTRA);
	rep_free(rep);
}
