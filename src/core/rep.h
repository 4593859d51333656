#ifndef CORE_REP_H
#define CORE_REP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget for repeats of one service: all instances together may send a share
 * of the requests and a fixed number in each window. An instance counts its
 * own requests and takes its share of the fixed number, so no message is
 * needed for each repeat. No I/O.
 */
struct rep;

struct rep_options {
	double ratio;	    /* repeats for each request */
	uint32_t window_s;  /* sliding */
	double extra_share; /* this instance's part of the fixed number */
};

struct rep *rep_new(void);
void rep_free(struct rep *ctx);

/* Commands. */
void rep_count_request(struct rep *ctx, int64_t now_us);
/* Takes one repeat; false: the budget is used up. */
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      int64_t now_us);

/* Queries. */
double rep_left(struct rep *ctx, const struct rep_options *options,
		int64_t now_us);

#endif
