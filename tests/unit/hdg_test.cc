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

struct Model {
	int64_t progress = 0;
	int64_t begun = 0; /* 0: not after the last one was added */
};

/* In random histories the attempt that began first is used, not before and not
 * long after its grace, and another one is added only after a silence of all.
 */
TEST(Hdg, RandomHistoriesKeepAnAttempt)
{
	unsigned used = 0, added = 0;

	for (unsigned seed = 0; seed < 2000; seed++) {
		std::mt19937 random(seed);
		struct hdg h = {};
		std::map<unsigned, Model> model;
		unsigned next = 1;
		int64_t now = 1000 * MS;

		hdg_add(&h, next, now);
		model[next++].progress = now;
		for (int step = 0; step < 150; step++) {
			auto any = std::next(model.begin(),
					     (long)(random() % model.size()));
			int64_t first = INT64_MAX;
			int64_t last = 0;
			unsigned winner;

			now += (int64_t)(1 + random() % 120) * MS;
			for (auto &x : model) {
				last = std::max(last, x.second.progress);
				if (x.second.begun)
					first = std::min(first, x.second.begun);
			}
			winner = hdg_winner(&h, now);
			ASSERT_EQ(winner != 0,
				  model.size() > 1 && first < INT64_MAX &&
					  now >= first + HDG_GRACE_US - MS)
				<< seed;
			if (winner) {
				ASSERT_TRUE(model.count(winner)) << seed;
				ASSERT_EQ(model[winner].begun, first) << seed;
				for (auto &x : std::map<unsigned, Model>(model))
					if (x.first != winner) {
						hdg_remove(&h, x.first, now);
						model.erase(x.first);
					}
				used++;
				continue;
			}
			if (hdg_take_silence(&h, SILENCE, now)) {
				ASSERT_GE(now, last + SILENCE - MS) << seed;
				ASSERT_LT(model.size(),
					  (size_t)HDG_ATTEMPTS_MAX)
					<< seed;
				for (auto &x : model)
					x.second.begun = 0;
				hdg_add(&h, next, now);
				model[next++].progress = now;
				added++;
			}
			switch (random() % 16) {
			case 0:
				hdg_begun(&h, any->first, now);
				any->second.progress = now;
				if (!any->second.begun)
					any->second.begun = now;
				break;
			case 1:
				hdg_progress(&h, any->first, now);
				any->second.progress = now;
				break;
			case 2:
				if (model.size() == 1)
					break;
				hdg_remove(&h, any->first, now);
				model.erase(any);
				break;
			}
			ASSERT_EQ(h.n, model.size()) << seed;
			ASSERT_EQ(hdg_is_hedged(&h), model.size() > 1) << seed;
		}
	}
	EXPECT_GT(used, 0u);
	EXPECT_GT(added, 0u);
}

} // namespace
