#include "base/hist.h"

#include <glib.h>

#define SUB_BITS 5
#define SUB_BUCKETS (1 << SUB_BITS)
#define BUCKETS ((64 - SUB_BITS) * SUB_BUCKETS)

struct hist {
	_Atomic uint64_t count;		   /* any thread */
	_Atomic int64_t sum;		   /* any thread */
	_Atomic uint64_t buckets[BUCKETS]; /* any thread */
};

static int bucket_of(int64_t value)
{
	uint64_t v = value < 0 ? 0 : (uint64_t)value;
	int shift;

	if (v < SUB_BUCKETS)
		return (int)v;
	shift = 63 - __builtin_clzll(v) - SUB_BITS;
	return (shift + 1) * SUB_BUCKETS + (int)((v >> shift) - SUB_BUCKETS);
}

static int64_t upper_bound_of(int bucket)
{
	int shift = bucket / SUB_BUCKETS - 1;

	if (shift < 0)
		return bucket;
	return (int64_t)(((uint64_t)(bucket % SUB_BUCKETS) + SUB_BUCKETS + 1)
			 << shift) -
	       1;
}

/* Creates an empty histogram. */
struct hist *hist_new(void)
{
	return g_new0(struct hist, 1);
}

/* Frees a histogram; NULL is allowed. */
void hist_free(struct hist *ctx)
{
	g_free(ctx);
}

/* Adds one value; negative values count as 0. */
void hist_add(struct hist *ctx, int64_t value)
{
	ctx->buckets[bucket_of(value)]++;
	ctx->count++;
	ctx->sum += value < 0 ? 0 : value;
}

/* Adds all values of other to ctx. */
void hist_merge(struct hist *ctx, const struct hist *other)
{
	for (int i = 0; i < BUCKETS; i++)
		ctx->buckets[i] += other->buckets[i];
	ctx->count += other->count;
	ctx->sum += other->sum;
}

/* Returns how many values were added. */
uint64_t hist_count(const struct hist *ctx)
{
	return ctx->count;
}

/* Returns the sum of all values. */
int64_t hist_sum(const struct hist *ctx)
{
	return ctx->sum;
}

/*
 * Returns an upper bound of the given quantile (0 to 1), at most 1/32 above
 * the true value; 0 for an empty histogram.
 */
int64_t hist_quantile(const struct hist *ctx, double quantile)
{
	uint64_t total = ctx->count;
	uint64_t rank = (uint64_t)(quantile * (double)total + 0.9999999);
	uint64_t seen = 0;

	if (!total)
		return 0;
	if (rank < 1)
		rank = 1;
	for (int i = 0; i < BUCKETS; i++) {
		seen += ctx->buckets[i];
		if (seen >= rank)
			return upper_bound_of(i);
	}
	return upper_bound_of(BUCKETS - 1);
}

/* Returns how many values fell in buckets that end at or below value. */
uint64_t hist_count_at_most(const struct hist *ctx, int64_t value)
{
	uint64_t seen = 0;

	for (int i = 0; i < BUCKETS && upper_bound_of(i) <= value; i++)
		seen += ctx->buckets[i];
	return seen;
}
