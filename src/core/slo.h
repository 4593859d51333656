#ifndef CORE_SLO_H
#define CORE_SLO_H

#include <stdint.h>

/*
 * Current slowness of an endpoint's machine (slo): how long work takes there at
 * a moment, as its answers tell it. One structure for each endpoint, all zero
 * at first. Times are microseconds of one monotonic clock, which the caller
 * passes in. No I/O.
 */
struct slo {
	double mean;	 /* of the figures, in percent; 0: none was told */
	double percent;	 /* the newest */
	int64_t seen_us; /* when it was told */
};

/* Commands. */
void slo_saw(struct slo *s, uint32_t percent, int64_t seen_us);

/* Queries. */
double slo_factor(const struct slo *s, double work_ms, int64_t now_us);

#endif
