#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

extern "C" {
#include "base/clk.h"
#include "http/hio.h"
}

/* Timers that expire late, as after the process was stopped. */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

class Timer : public ::testing::Test
{
      protected:
	event_base *base = event_base_new();
	clk *clock = clk_new_manual(S, 0);
	hio_timer *timer = hio_timer_new(base, clock, on_expired, this);
	event *input = nullptr;
	int ends[2];
	int polls = 0; /* that found input */
	int expired = 0;

	void SetUp() override
	{
		ASSERT_EQ(pipe(ends), 0);
		input = event_new(base, ends[0], EV_READ | EV_PERSIST, on_input,
				  this);
		event_add(input, nullptr);
		ASSERT_EQ(write(ends[1], "x", 1), 1);
	}
	void TearDown() override
	{
		event_free(input);
		hio_timer_free(timer);
		clk_free(clock);
		event_base_free(base);
		close(ends[0]);
		close(ends[1]);
	}
	static void on_expired(void *data)
	{
		Timer *test = (Timer *)data;

		test->expired++;
		event_base_loopbreak(test->base);
	}
	/* The input is not taken out, so that each poll finds it. */
	static void on_input(evutil_socket_t, short, void *data)
	{
		((Timer *)data)->polls++;
	}
	/* Runs until the timer expires. The loop has not polled since the timer
	 * was due, as after an interrupted poll. */
	void expire()
	{
		usleep(20000);
		event_base_dispatch(base);
	}
};

TEST_F(Timer, LateOneExpiresAfterInputHasBeenRead)
{
	hio_timer_set(timer, MS);
	clk_advance(clock, S);
	EXPECT_TRUE(hio_timer_is_held_up(timer));
	expire();
	EXPECT_EQ(expired, 1);
	EXPECT_GE(polls, 4);
	EXPECT_FALSE(hio_timer_is_held_up(timer));
}

TEST_F(Timer, OneInTimeExpiresAtOnce)
{
	hio_timer_set(timer, MS);
	clk_advance(clock, MS);
	EXPECT_FALSE(hio_timer_is_held_up(timer));
	expire();
	EXPECT_EQ(expired, 1);
	EXPECT_LE(polls, 1);
}

TEST_F(Timer, StoppedOneDoesNotExpire)
{
	timeval limit = { .tv_sec = 0, .tv_usec = 20 * MS };

	hio_timer_set(timer, MS);
	clk_advance(clock, S);
	hio_timer_set(timer, 0);
	EXPECT_FALSE(hio_timer_is_running(timer));
	event_base_loopexit(base, &limit);
	expire();
	EXPECT_EQ(expired, 0);
}

} // namespace
