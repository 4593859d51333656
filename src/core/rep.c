#include "core/rep.h"

#include <glib.h>
#include <string.h>

/* Length of the history in seconds; two of them are kept as a margin beside the
 * window. */
#define SECONDS_MAX 64
/* Share of the budget that is used. The rest covers the rounding to whole
 * seconds, and the time in which the remaining instances take over the part of
 * one that has just left while its repeats still count. */
#define SAFETY_SHARE 0.75

/* Share of the budget that is kept for requests that an endpoint may have run.
 * Their callers cannot repeat them, or have a part of the answer; the others
 * can be told to come back, as requests of their own. */
#define BEGUN_SHARE 0.5

struct second {
	int64_t at; /* clock time in seconds */
	uint32_t requests;
	uint32_t repeats;
};

struct rep {
	struct second seconds[SECONDS_MAX];
};

/* Creates an empty budget. */
struct rep *rep_new(void)
{
	return g_new0(struct rep, 1);
}

/* Frees the budget; NULL is allowed. */
void rep_free(struct rep *ctx)
{
	g_free(ctx);
}

static struct second *second_of(struct rep *ctx, int64_t now_us)
{
	int64_t at = now_us / 1000000;
	struct second *second = &ctx->seconds[at % SECONDS_MAX];

	if (second->at != at)
		*second = (struct second){ .at = at };
	return second;
}

/* Counts a request that is sent for the first time. */
void rep_count_request(struct rep *ctx, int64_t now_us)
{
	second_of(ctx, now_us)->requests++;
}

/* Repeats allowed and sent in the window that ends now. */
struct balance {
	double allowed;
	double sent;
};

static struct balance balance_of(const struct rep *ctx,
				 const struct rep_options *options,
				 int64_t now_us)
{
	int64_t now_s = now_us / 1000000;
	int64_t window = MIN(options->window_s, SECONDS_MAX - 2);
	struct balance b = { 0 };
	uint64_t requests = 0;

	for (size_t i = 0; i < SECONDS_MAX; i++) {
		const struct second *second = &ctx->seconds[i];

		if (second->at > now_s - window && second->at <= now_s)
			requests += second->requests;
		if (second->at >= now_s - window && second->at <= now_s)
			b.sent += second->repeats;
	}
	b.allowed = SAFETY_SHARE *
		    (options->ratio * (double)requests + options->extra_share);
	return b;
}

/* Returns how many repeats may be sent now; negative if more were sent than a
 * budget that has since shrunk allows. */
double rep_left(struct rep *ctx, const struct rep_options *options,
		int64_t now_us)
{
	struct balance b = balance_of(ctx, options, now_us);

	return b.allowed - b.sent;
}

/* Takes one repeat from the budget; false if the budget is exhausted, or if the
 * rest is kept for requests that may have run. */
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      enum rep_use use, int64_t now_us)
{
	struct balance b = balance_of(ctx, options, now_us);
	double kept = use == REP_NOT_RUN ? BEGUN_SHARE * b.allowed : 0;

	if (b.allowed - b.sent - kept < 1)
		return false;
	second_of(ctx, now_us)->repeats++;
	return true;
}

/* Gives back a repeat that no endpoint has seen. */
void rep_return(struct rep *ctx, int64_t taken_us)
{
	int64_t at = taken_us / 1000000;
	struct second *second = &ctx->seconds[at % SECONDS_MAX];

	if (second->at == at && second->repeats)
		second->repeats--;
}

/* Counts a repeat at the time at which it is sent. */
void rep_move(struct rep *ctx, int64_t taken_us, int64_t now_us)
{
	rep_return(ctx, taken_us);
	second_of(ctx, now_us)->repeats++;
}

/*
 * Prepares the share of an instance that has just started. lease_us is the time
 * after which the leader takes a silent instance off the view. An instance that
 * leaves or is started again may have sent repeats, which count for a window,
 * and the others notice it up to a lease later: settle_us is the longest window
 * of a budget, the lease and the time for which views may differ.
 */
void rep_share_init(struct rep_share *share, int64_t settle_us,
		    int64_t lease_us, int64_t now_us)
{
	*share = (struct rep_share){
		.settle_us = settle_us,
		.lease_us = lease_us,
		.away_us = now_us,
		.updated_us = now_us,
		.parts = 1,
	};
}

/*
 * Takes the number of instances of the view, whether they include this one, and
 * the age of the view's confirmation. Call it several times a lease. More
 * instances divide the number at once, fewer only after the settling time.
 */
void rep_share_update(struct rep_share *share, unsigned instances, bool listed,
		      int64_t view_age_us, int64_t now_us)
{
	if (!listed || view_age_us > share->lease_us ||
	    now_us - share->updated_us > share->lease_us)
		share->away_us = now_us;
	share->updated_us = now_us;
	if (instances >= share->parts) {
		share->parts = instances;
		share->fewer_since_us = 0;
		return;
	}
	if (!share->fewer_since_us) {
		share->fewer_since_us = now_us;
		share->fewer = instances;
	}
	share->fewer = MAX(share->fewer, instances);
	if (now_us - share->fewer_since_us < share->settle_us)
		return;
	share->parts = MAX(share->fewer, 1);
	share->fewer_since_us = 0;
}

/*
 * Returns this instance's part of a fixed number: none without contact, since
 * the others may have divided its part among themselves, and none until the
 * repeats that they sent for it no longer count.
 */
double rep_share_of(const struct rep_share *share, double number,
		    int64_t view_age_us, int64_t now_us)
{
	if (view_age_us > share->lease_us ||
	    now_us - share->updated_us > share->lease_us ||
	    now_us - share->away_us < share->settle_us)
		return 0;
	return number / share->parts;
}
