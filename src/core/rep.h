#ifndef CORE_REP_H
#define CORE_REP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one service (rep: repeats). In each sliding window, all
 * instances together may send as many repeats as a share of the requests plus a
 * fixed number. Each instance counts its own requests and gets its part of the
 * fixed number, so that a repeat needs no message between instances. No I/O.
 */
struct rep;

struct rep_options {
	double ratio;	    /* repeats allowed per request */
	uint32_t window_s;  /* length of the sliding window */
	double extra_share; /* this instance's part of the fixed number */
};

struct rep *rep_new(void);
void rep_free(struct rep *ctx);

/* Commands. */
void rep_count_request(struct rep *ctx, int64_t now_us);
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      int64_t now_us);

/* Queries. */
double rep_left(struct rep *ctx, const struct rep_options *options,
		int64_t now_us);

#endif
