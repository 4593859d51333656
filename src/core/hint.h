#ifndef CORE_HINT_H
#define CORE_HINT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What an endpoint's answers say about further requests (hint): that the
 * endpoint leaves, or that it wants none for some time. One structure for each
 * endpoint and incarnation, all zero at first; whoever chooses an endpoint for
 * a request asks it. Times are microseconds of one monotonic clock, which the
 * caller passes in. No I/O.
 */
struct hint {
	bool leaving;		   /* seen by this instance */
	bool announced;		   /* the view shows it as leaving */
	int64_t leaving_us;	   /* when it was first seen */
	int64_t reported_us;	   /* when another instance saw it leaving */
	int64_t reported_until_us; /* 0: none has */
	int64_t pause_us;	   /* when the pause in force was seen */
	int64_t pause_until_us;	   /* 0: there was none */
	int64_t next_us;	   /* after a pause: time of the next send */
};

/* What changed; several may be set. */
enum hint_news {
	HINT_NEW_LEAVING = 1, /* not known to leave before */
	HINT_NEW_PAUSE = 2,   /* a pause begins */
	HINT_LONGER_PAUSE = 4,
};

enum hint_bar {
	HINT_FREE,
	HINT_PAUSED,
	HINT_LEAVING,
};

/* Commands. */
unsigned hint_saw(struct hint *h, bool leaving, int64_t pause_us, double jitter,
		  int64_t now_us);
void hint_reported(struct hint *h, int64_t age_us, int64_t now_us);
bool hint_announced(struct hint *h, bool leaving);
void hint_sent(struct hint *h, int64_t now_us);

/* Queries. */
enum hint_bar hint_bar(const struct hint *h, int64_t now_us);
int64_t hint_wait_us(const struct hint *h, int64_t now_us);
int64_t hint_age_us(const struct hint *h, int64_t now_us);
bool hint_is_spaced(const struct hint *h, int64_t now_us);
const char *hint_bar_name(enum hint_bar bar);

#endif
