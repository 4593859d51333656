#include "base/clk.h"

#include <assert.h>
#include <glib.h>
#include <stdbool.h>
#include <time.h>

struct clk {
	bool manual;	    /* set at creation */
	_Atomic int64_t us; /* manual only; the test writes, any thread reads */
	_Atomic int64_t wall_ms; /* likewise */
};

/* Creates a clock that follows the system's boot-time and wall clocks. */
struct clk *clk_new_real(void)
{
	return g_new0(struct clk, 1);
}

/*
 * Creates a clock for tests that moves only with clk_advance(). start_us is the
 * first monotonic value in microseconds, wall_ms the first wall clock value in
 * milliseconds.
 */
struct clk *clk_new_manual(int64_t start_us, int64_t wall_ms)
{
	struct clk *ctx = g_new0(struct clk, 1);

	ctx->manual = true;
	ctx->us = start_us;
	ctx->wall_ms = wall_ms;
	return ctx;
}

/* Frees a clock; NULL is allowed. */
void clk_free(struct clk *ctx)
{
	g_free(ctx);
}

/* Returns the monotonic time in microseconds; only differences have meaning.
 * Unlike CLOCK_MONOTONIC it goes on while the machine is suspended, so that
 * leases end then, too. */
int64_t clk_now_us(const struct clk *ctx)
{
	struct timespec ts;

	if (ctx->manual)
		return ctx->us;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns the wall clock time in milliseconds since 1970-01-01 UTC. */
int64_t clk_wall_ms(const struct clk *ctx)
{
	struct timespec ts;

	if (ctx->manual)
		return ctx->wall_ms;
	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Advances both values of a manual clock by us microseconds. */
void clk_advance(struct clk *ctx, int64_t us)
{
	assert(ctx->manual);
	ctx->us += us;
	ctx->wall_ms = ctx->wall_ms + us / 1000;
}
