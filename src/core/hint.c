#include "core/hint.h"

#include <glib.h>

/* A pause lasts longer than asked for by up to this share, within the limit, so
 * that the instances that the endpoint turned away come back one by one. */
#define JITTER_SHARE 0.1
#define JITTER_MAX_US 1000000
/* For this long after a pause, one request in each interval is sent. */
#define SPACED_US 500000
#define SPACE_US 20000
/* What another instance saw bars the endpoint for this long: the endpoint's own
 * announcement takes a second or two, and an instance that is wrong must not
 * bar it everywhere for good. */
#define REPORTED_US 10000000

/*
 * Records what an answer said. pause_us is the pause asked for, 0 for none;
 * jitter is from 0 to 1. The pause that ends last is in force. Returns the
 * changes as bits of enum hint_news.
 */
unsigned hint_saw(struct hint *h, bool leaving, int64_t pause_us, double jitter,
		  int64_t now_us)
{
	int64_t until_us = now_us + pause_us;
	unsigned news = 0;

	if (leaving && !h->leaving) {
		h->leaving = true;
		h->leaving_us = now_us;
		news |= HINT_NEW_LEAVING;
	}
	if (pause_us <= 0)
		return news;
	until_us += MIN((int64_t)(JITTER_SHARE * jitter * (double)pause_us),
			JITTER_MAX_US);
	if (until_us <= h->pause_until_us)
		return news;
	news |= now_us < h->pause_until_us ? HINT_LONGER_PAUSE : HINT_NEW_PAUSE;
	h->pause_us = now_us;
	h->pause_until_us = until_us;
	return news;
}

/* Records that another instance saw the endpoint leaving, age_us ago. */
void hint_reported(struct hint *h, int64_t age_us, int64_t now_us)
{
	int64_t seen_us = now_us - age_us;

	if (h->reported_until_us && seen_us <= h->reported_us)
		return;
	h->reported_us = seen_us;
	h->reported_until_us = seen_us + REPORTED_US;
}

/*
 * Records the state that the endpoint announced, from the view. It ends a
 * leaving only where the view has shown that leaving: any other announcement
 * may be older than the answer. Returns true if it does.
 */
bool hint_announced(struct hint *h, bool leaving)
{
	if (leaving) {
		h->announced = true;
		return false;
	}
	if (!h->announced)
		return false;
	h->announced = false;
	if (!h->leaving && !h->reported_until_us)
		return false;
	h->leaving = false;
	h->reported_until_us = 0;
	return true;
}

/* Records that a request was sent. */
void hint_sent(struct hint *h, int64_t now_us)
{
	if (h->pause_until_us && now_us - h->pause_until_us < SPACED_US)
		h->next_us = now_us + SPACE_US;
}

/* Returns whether and why the endpoint must get no request now. */
enum hint_bar hint_bar(const struct hint *h, int64_t now_us)
{
	if (h->leaving || now_us < h->reported_until_us)
		return HINT_LEAVING;
	return now_us < h->pause_until_us ? HINT_PAUSED : HINT_FREE;
}

/* Returns the time until the pause ends; 0: there is none. */
int64_t hint_wait_us(const struct hint *h, int64_t now_us)
{
	return MAX(h->pause_until_us - now_us, 0);
}

/* Returns the age of what bars the endpoint; 0: nothing does. */
int64_t hint_age_us(const struct hint *h, int64_t now_us)
{
	switch (hint_bar(h, now_us)) {
	case HINT_LEAVING:
		return now_us - (h->leaving ? h->leaving_us : h->reported_us);
	case HINT_PAUSED:
		return now_us - h->pause_us;
	case HINT_FREE:
		break;
	}
	return 0;
}

/* Returns whether the next request must wait because another one was sent just
 * now, after a pause. */
bool hint_is_spaced(const struct hint *h, int64_t now_us)
{
	return now_us < h->next_us;
}

/* Returns the name of a bar for logs. */
const char *hint_bar_name(enum hint_bar bar)
{
	switch (bar) {
	case HINT_FREE:
		return "free";
	case HINT_PAUSED:
		return "paused";
	case HINT_LEAVING:
		return "leaving";
	}
	return "unknown";
}
