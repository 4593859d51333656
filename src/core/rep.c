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
