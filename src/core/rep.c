#include "core/rep.h"

#include <glib.h>
#include <string.h>

/* Seconds that are remembered; windows are at most this long. */
#define SECONDS_MAX 64
/* Part of the bound that is used: instances count in whole seconds, and others
 * may take over the share of one that has just left. */
#define SAFETY 0.75

struct second {
	int64_t at; /* seconds of the clock */
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

static struct second *second_at(struct rep *ctx, int64_t now_us)
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
	second_at(ctx, now_us)->requests++;
}

/* Returns how many repeats may be sent now; negative after an excess. */
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
	return SAFETY * (options->ratio * (double)requests +
			 options->extra_share) -
	       (double)repeats;
}

/* Takes one repeat of the budget if there is one. */
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      int64_t now_us)
{
	if (rep_left(ctx, options, now_us) < 1)
		return false;
	second_at(ctx, now_us)->repeats++;
	return true;
}
