#include "core/slo.h"

#include <glib.h>
#include <math.h>

/* Time constant with which a figure loses its meaning: machines change their
 * speed about ten times a second. */
#define MEMORY_MS 100.0
/* Weight of a new figure in the mean. */
#define MEAN_WEIGHT 0.05
/* Figures are taken within these limits, so that a wrong one neither attracts
 * nor repels all requests. */
#define PERCENT_MIN 10.0
#define PERCENT_MAX 1000.0

/* Records a figure; 0: none was told. One that is older than the newest only
 * counts in the mean. */
void slo_saw(struct slo *s, uint32_t percent, int64_t seen_us)
{
	double value = CLAMP(percent, PERCENT_MIN, PERCENT_MAX);

	if (!percent)
		return;
	s->mean =
		s->mean > 0 ? s->mean + MEAN_WEIGHT * (value - s->mean) : value;
	if (seen_us < s->seen_us)
		return;
	s->percent = value;
	s->seen_us = seen_us;
}

/*
 * Returns the factor by which work that usually takes work_ms is expected to
 * take longer or shorter than the average that was measured. The figure counts
 * the less the older it is and the longer the work takes, since the machine's
 * speed will have changed. 1 if none was told.
 */
double slo_factor(const struct slo *s, double work_ms, int64_t now_us)
{
	double age_ms = (double)MAX(now_us - s->seen_us, 0) / 1000;
	double span = MAX(work_ms, 1) / MEMORY_MS;
	double weight;

	if (!(s->mean > 0))
		return 1;
	weight = exp(-age_ms / MEMORY_MS) * (1 - exp(-span)) / span;
	return 1 + (s->percent / s->mean - 1) * weight;
}
