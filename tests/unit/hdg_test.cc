#include <gtest/gtest.h>

#include <map>
#include <random>

extern "C" {
#include "core/hdg.h"
}

/*
 * Decisions about hedged requests on a paused clock: when a silent request is
 * sent to another endpoint too, and which attempt is used.
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SILENCE = 1500 * MS;

TEST(Hdg, OneAttemptWithProgressIsLeftAlone)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	EXPECT_EQ(hdg_silence_end_us(&h, SILENCE), 2500 * MS);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 2400 * MS));
	hdg_progress(&h, 1, 2400 * MS);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 3800 * MS));
	EXPECT_EQ(hdg_silence_end_us(&h, SILENCE), 3900 * MS);
	EXPECT_FALSE(hdg_is_hedged(&h));
	EXPECT_EQ(hdg_winner(&h, 9000 * MS), 0u);
	EXPECT_EQ(hdg_grace_end_us(&h), INT64_MAX);
}

TEST(Hdg, SilenceAsksForAnotherAttempt)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	EXPECT_TRUE(hdg_take_silence(&h, SILENCE, 2500 * MS));
	hdg_add(&h, 2, 2500 * MS);
	EXPECT_TRUE(hdg_is_hedged(&h));
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 3900 * MS));
	EXPECT_TRUE(hdg_take_silence(&h, SILENCE, 4000 * MS));
}

TEST(Hdg, WithoutAnotherEndpointItIsTriedAgainAtIntervals)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	EXPECT_TRUE(hdg_take_silence(&h, SILENCE, 2500 * MS));
	hdg_put_off(&h, 2500 * MS);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 2700 * MS));
	EXPECT_EQ(hdg_silence_end_us(&h, SILENCE), 2800 * MS);
	EXPECT_TRUE(hdg_take_silence(&h, SILENCE, 2800 * MS));
}

/* Guards against waiting out the silence of an attempt that has failed. */
TEST(Hdg, FailureOfTheSecondLeavesTheSilenceOfTheFirst)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	hdg_add(&h, 2, 2500 * MS);
	hdg_remove(&h, 2, 2510 * MS);
	EXPECT_FALSE(hdg_is_hedged(&h));
	EXPECT_EQ(hdg_silence_end_us(&h, SILENCE), 2810 * MS);
}

TEST(Hdg, AnswerThatHasBegunIsUsedAfterItsGrace)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	hdg_begun(&h, 1, 1100 * MS);
	hdg_add(&h, 2, 2600 * MS);
	EXPECT_EQ(hdg_grace_end_us(&h), INT64_MAX);
	hdg_begun(&h, 2, 3000 * MS);
	EXPECT_EQ(hdg_grace_end_us(&h), 3000 * MS + HDG_GRACE_US);
	EXPECT_EQ(hdg_winner(&h, 3100 * MS), 0u);
	EXPECT_EQ(hdg_winner(&h, 3000 * MS + HDG_GRACE_US), 2u);
}

TEST(Hdg, FirstToBeginIsUsed)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	hdg_add(&h, 2, 2500 * MS);
	hdg_begun(&h, 1, 2600 * MS);
	hdg_begun(&h, 2, 2700 * MS);
	hdg_begun(&h, 1, 2800 * MS);
	EXPECT_EQ(hdg_winner(&h, 2600 * MS + HDG_GRACE_US), 1u);
}

TEST(Hdg, AttemptThatFailsInItsGraceIsNotUsed)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	hdg_add(&h, 2, 2500 * MS);
	hdg_begun(&h, 2, 2600 * MS);
	hdg_remove(&h, 2, 2650 * MS);
	EXPECT_EQ(hdg_winner(&h, 9000 * MS), 0u);
}

/* Guards against taking a stall of this process for silence. */
TEST(Hdg, LateCheckIsPutOffOnce)
{
	struct hdg h = {};

	hdg_add(&h, 1, 1000 * MS);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 4000 * MS));
	EXPECT_EQ(hdg_silence_end_us(&h, SILENCE), 4000 * MS + HDG_STALL_US);
	EXPECT_TRUE(
		hdg_take_silence(&h, SILENCE, 4000 * MS + 3 * HDG_STALL_US));
	hdg_progress(&h, 1, 4200 * MS);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 9000 * MS));
}

TEST(Hdg, NumberOfAttemptsIsBounded)
{
	struct hdg h = {};

	for (unsigned id = 1; id <= HDG_ATTEMPTS_MAX + 2; id++)
		hdg_add(&h, id, 1000 * MS);
	EXPECT_EQ(h.n, (size_t)HDG_ATTEMPTS_MAX);
	EXPECT_FALSE(hdg_take_silence(&h, SILENCE, 9000 * MS));
	hdg_remove(&h, HDG_ATTEMPTS_MAX + 2, 1000 * MS);
	EXPECT_EQ(h.n, (size_t)HDG_ATTEMPTS_MAX);
}

/* In random histories an attempt is used only if it began to answer after the
 * last one was added, and the last attempt is never given up by silence. */
TEST(Hdg, RandomHistoriesKeepAnAttempt)
{
	for (unsigned seed = 0; seed < 2000; seed++) {
		std::mt19937 random(seed);
		struct hdg h = {};
		std::map<unsigned, bool> begun;
		unsigned next = 1;
		int64_t now = 1000 * MS;

		hdg_add(&h, next, now);
		begun[next++] = false;
		for (int step = 0; step < 60 && !begun.empty(); step++) {
			auto any = std::next(begun.begin(),
					     (long)(random() % begun.size()));
			unsigned winner;

			now += (int64_t)(random() % 400) * MS;
			winner = hdg_winner(&h, now);
			if (winner) {
				ASSERT_GT(begun.size(), 1u) << seed;
				ASSERT_TRUE(begun.count(winner)) << seed;
				ASSERT_TRUE(begun[winner]) << seed;
				for (auto &x : std::map<unsigned, bool>(begun))
					if (x.first != winner) {
						hdg_remove(&h, x.first, now);
						begun.erase(x.first);
					}
				continue;
			}
			switch (random() % 4) {
			case 0:
				hdg_begun(&h, any->first, now);
				any->second = true;
				break;
			case 1:
				hdg_progress(&h, any->first, now);
				break;
			case 2:
				if (begun.size() == 1)
					break;
				hdg_remove(&h, any->first, now);
				begun.erase(any);
				break;
			case 3:
				if (!hdg_take_silence(&h, SILENCE, now))
					break;
				for (auto &x : begun)
					x.second = false;
				hdg_add(&h, next, now);
				begun[next++] = false;
				break;
			}
			ASSERT_EQ(h.n, begun.size()) << seed;
			ASSERT_EQ(hdg_is_hedged(&h), begun.size() > 1) << seed;
		}
	}
}

} // namespace
