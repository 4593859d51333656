#ifndef CORE_REP_H
#define CORE_REP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one service (rep: repeats). In each sliding window, all
 * instances together may send as many repeats as a share of the requests plus a
 * fixed number. Each instance counts its own requests and gets its part of the
 * fixed number, so that a repeat needs no message between instances. The parts
 * (rep_share) add up to no more than the number while instances come, go, are
 * restarted, freeze or are cut off. No I/O.
 */
struct rep;

struct rep_options {
	double ratio;	    /* repeats allowed per request */
	uint32_t window_s;  /* length of the sliding window */
	double extra_share; /* this instance's part of the fixed number */
};

/* This instance's part of the fixed numbers. */
struct rep_share {
	int64_t settle_us;	/* see rep_share_init() */
	int64_t lease_us;	/* of an instance in the view */
	int64_t away_us;	/* last time without contact, or start */
	int64_t updated_us;	/* last rep_share_update() */
	unsigned parts;		/* that the number is divided into */
	unsigned fewer;		/* most instances since fewer_since_us */
	int64_t fewer_since_us; /* 0: there are as many as parts */
};

/* What a repeat is for. */
enum rep_use {
	REP_BEGUN,   /* an endpoint may have run the request */
	REP_NOT_RUN, /* no endpoint has; the caller can be told to come back */
};

struct rep *rep_new(void);
void rep_free(struct rep *ctx);

/* Commands. */
void rep_share_init(struct rep_share *share, int64_t settle_us,
		    int64_t lease_us, int64_t now_us);
void rep_share_update(struct rep_share *share, unsigned instances, bool listed,
		      int64_t view_age_us, int64_t now_us);
void rep_count_request(struct rep *ctx, int64_t now_us);
bool rep_take(struct rep *ctx, const struct rep_options *options,
	      enum rep_use use, int64_t now_us);
/* The repeat that was taken at taken_us is sent at now_us. */
void rep_move(struct rep *ctx, int64_t taken_us, int64_t now_us);
/* The repeat that was taken at taken_us did not reach an endpoint. */
void rep_return(struct rep *ctx, int64_t taken_us);

/* Queries. */
/* Part of a fixed number that may be used at a view of this age in
 * microseconds. */
double rep_share_of(const struct rep_share *share, double number,
		    int64_t view_age_us, int64_t now_us);
double rep_left(struct rep *ctx, const struct rep_options *options,
		int64_t now_us);

#endif
