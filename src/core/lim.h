#ifndef CORE_LIM_H
#define CORE_LIM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/view.h"

/*
 * Rate limit that an endpoint's answers name (lim): the requests a second that
 * it takes from all instances together. A few instances share it, each with an
 * equal part and no burst; the others send elsewhere. One structure for each
 * endpoint and incarnation, all zero at first; whoever chooses an endpoint for
 * a request asks it. Times are microseconds of one monotonic clock, which the
 * caller passes in. No I/O.
 */
struct lim {
	double rate;	 /* requests a second; 0: none is named */
	int64_t seen_us; /* when the newest answer that named it was sent */
	unsigned users;	 /* instances that share it */
	bool is_user;	 /* this instance is one of them */
	int64_t next_us; /* when this instance may send again */
};

/* Who shares a limit. */
struct lim_share {
	unsigned users;
	bool is_user; /* this instance */
};

enum lim_news {
	LIM_SAME,
	LIM_NAMED, /* a limit begins */
	LIM_CHANGED,
	LIM_ENDED,
};

/* Commands. */
enum lim_news lim_saw(struct lim *l, double rate, int64_t now_us);
enum lim_news lim_reported(struct lim *l, double rate, int64_t age_us,
			   int64_t now_us);
void lim_set_share(struct lim *l, struct lim_share share);
void lim_begin(struct lim *l, double jitter, int64_t now_us);
void lim_sent(struct lim *l, int64_t now_us);

/* Queries. */
bool lim_is_active(const struct lim *l, int64_t now_us);
int64_t lim_wait_us(const struct lim *l, int64_t now_us);
struct lim_share lim_share_of(const struct view *view, const char *self,
			      const char *endpoint, double rate);
const char *lim_news_name(enum lim_news news);

#endif
