#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

/*
 * Log-linear histogram: 32 buckets for each power of two, so that a quantile is
 * at most 1/32 (3.2%) above the true value. Values are non-negative.
 */
struct hist;

struct hist *hist_new(void);
void hist_free(struct hist *ctx);

/* Commands; any thread. */
void hist_add(struct hist *ctx, int64_t value);
void hist_merge(struct hist *ctx, const struct hist *other);

/* Queries; any thread. */
uint64_t hist_count(const struct hist *ctx);
int64_t hist_sum(const struct hist *ctx);
int64_t hist_quantile(const struct hist *ctx, double quantile);
uint64_t hist_count_at_most(const struct hist *ctx, int64_t value);

#endif
