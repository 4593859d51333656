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

/* Returns how many repeats may be sent now; negative if more were sent than a
 * budget that has since shrunk allows. */
double rep_left(struct rep *ctx, const struct rep_options *options,
		int64_t now_us)
{
	int64_t now_s = now_us / 1000000;
	int64_t window = MIN(options->window_s, SECONDS_MAX - 2);
	uint64_t requests = 0;
	uint64_t repeats = 0;

	for (size_t i = 0; i < SECONDS_MAX; i++) {
		const struct second *second = &ctx->seconds[i];

		if (second->at > now_s - window && second->at <= now_s)
			requests += second->requests;
		if (second->at >= now_s - window && second->at <= now_s)
			repeats += second->repeats;
	}
	return SAFETY_SHARE * (options->ratio * (double)requests +
			       options->extra_share) -
	       (double)repeats;
}

/* Takes one repeat from the budget; false if the budget is exhausted. */
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      int64_t now_us)
{
	if (rep_left(ctx, options, now_us) < 1)
		return false;
	second_of(ctx, now_us)->repeats++;
	return true;
}
