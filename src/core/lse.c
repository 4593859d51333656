#include "core/lse.h"

#include <glib.h>

/* Origins leave room for any time on the clock. */
#define ORIGIN_MASK ((UINT64_C(1) << 62) - 1)

/* Returns the clock of a process that starts now. */
struct lse_clock lse_clock_new(uint64_t random, int64_t now_us)
{
	return (struct lse_clock){
		.origin = (random & ORIGIN_MASK) + 1,
		.began_us = now_us,
	};
}

/* Returns the value that a report carries. now_us must not be later than its
 * sending. */
uint64_t lse_sent_us(const struct lse_clock *clock, int64_t now_us)
{
	return clock->origin + (uint64_t)now_us;
}

/* Returns when this process sent the report that is echoed, or 0. */
int64_t lse_echoed_us(const struct lse_clock *clock, uint64_t echo_us,
		      int64_t now_us)
{
	int64_t sent_us = (int64_t)(echo_us - clock->origin);

	if (!echo_us || sent_us < clock->began_us || sent_us > now_us)
		return 0;
	return sent_us;
}

/*
 * Sets the start of the lease of the view with this index, on the leader from
 * its last contact with a quorum. Returns false if the lease has a later start
 * already.
 */
bool lse_extend(struct lse *ctx, int64_t start_us, uint64_t index)
{
	if (start_us <= ctx->start_us)
		return false;
	ctx->start_us = start_us;
	ctx->index = index;
	return true;
}

/*
 * Handles the grant of an update, after the update was applied; index is that
 * of the view now, which must be the one that the update leads to or a later
 * one. Returns true if the lease was extended.
 *
 * The sender had received the report before it took the age of its own lease.
 * So its lease began at least that long after the report was sent, less the
 * age, however late the update arrives.
 */
bool lse_accept(struct lse *ctx, const struct lse_clock *clock,
		const struct lse_grant *grant, uint64_t index, int64_t now_us)
{
	int64_t sent_us = lse_echoed_us(clock, grant->echo_us, now_us);

	if (!sent_us || grant->age_ms == LSE_NO_AGE)
		return false;
	return lse_extend(ctx, sent_us - grant->age_ms * 1000LL, index);
}

/* A reader whose view has a lower index keeps the lease that it has. */
void lse_follow(struct lse *ctx, const struct lse *of, uint64_t index)
{
	if (of->index <= index)
		lse_extend(ctx, of->start_us, of->index);
}

/* Returns what an update packed now may say. now_us must be read after the
 * report with echo_us was received. */
struct lse_grant lse_grant(const struct lse *ctx, uint64_t echo_us,
			   int64_t now_us)
{
	int64_t age_ms = (lse_age_us(ctx, now_us) + 999) / 1000;

	if (!ctx->start_us || !echo_us || age_ms > UINT32_MAX)
		return (struct lse_grant){ 0 };
	return (struct lse_grant){
		.echo_us = echo_us,
		.age_ms = (uint32_t)age_ms,
	};
}

/* Returns the age of the lease; without one, that of the clock. */
int64_t lse_age_us(const struct lse *ctx, int64_t now_us)
{
	return MAX(now_us - ctx->start_us, 0);
}

/* Returns whether a lease of this length has not ended at now_us. */
bool lse_holds(const struct lse *ctx, int64_t length_us, int64_t now_us)
{
	return ctx->start_us && now_us - ctx->start_us < length_us;
}
