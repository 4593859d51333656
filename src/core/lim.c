#include "core/lim.h"

#include <glib.h>
#include <string.h>

/* Share of the limit that is used; the rest is for state requests and orders,
 * and for views that differ. */
#define RATE_SHARE 0.9
/* More instances than the limit's requests a second may share it by this
 * number. Each may send one request at any time, so their number bounds how
 * many arrive at once. */
#define USERS_EXTRA 4
/* A limit that is lower still lets a request pass now and then: its answer says
 * whether the limit has ended. */
#define RATE_MIN 0.1
/* A limit that no answer confirms for this long has ended. */
#define EXPIRY_US 30000000
/* Answers without a limit that arrive this soon after one with a limit may have
 * been sent before it. Reports of other instances look younger than they are
 * by the time that they took. */
#define REORDERED_US 100000
#define REPORT_DELAY_US 1000000
/* Wait of an instance that has no part: the endpoint's models may be loaded
 * elsewhere by then. */
#define NO_PART_WAIT_US 2000000

/* Returns whether a limit is in force. */
bool lim_is_active(const struct lim *l, int64_t now_us)
{
	return l->rate > 0 && now_us - l->seen_us < EXPIRY_US;
}

static enum lim_news take(struct lim *l, double rate, int64_t sent_us,
			  int64_t delay_us, int64_t now_us)
{
	bool was_active = lim_is_active(l, now_us);
	double before = l->rate;

	if (rate <= 0) {
		if (!was_active || sent_us < l->seen_us + delay_us)
			return LIM_SAME;
		l->rate = 0;
		return LIM_ENDED;
	}
	if (now_us - sent_us >= EXPIRY_US ||
	    (l->rate > 0 && sent_us < l->seen_us))
		return LIM_SAME;
	l->seen_us = sent_us;
	l->rate = MAX(rate, RATE_MIN);
	if (!was_active)
		return LIM_NAMED;
	return l->rate == before ? LIM_SAME : LIM_CHANGED;
}

/* Records the limit that an answer to this instance named; 0: none. On
 * LIM_NAMED and LIM_CHANGED, lim_set_share() must follow. */
enum lim_news lim_saw(struct lim *l, double rate, int64_t now_us)
{
	return take(l, rate, now_us, REORDERED_US, now_us);
}

/* The same for an answer to another instance, age_us ago. */
enum lim_news lim_reported(struct lim *l, double rate, int64_t age_us,
			   int64_t now_us)
{
	return take(l, rate, now_us - age_us, REPORT_DELAY_US, now_us);
}

/* Sets who shares the limit. */
void lim_set_share(struct lim *l, struct lim_share share)
{
	l->users = MAX(share.users, 1);
	l->is_user = share.is_user;
}

static int64_t interval_us(const struct lim *l)
{
	return (int64_t)(1e6 * l->users / (RATE_SHARE * l->rate));
}

/* Starts the pace of a limit that has just been named. All instances learn it
 * at the same moment; jitter, from 0 to 1, keeps them apart. */
void lim_begin(struct lim *l, double jitter, int64_t now_us)
{
	l->next_us =
		now_us + (int64_t)((1 + jitter) / 2 * (double)interval_us(l));
}

/* Records that a request was sent. */
void lim_sent(struct lim *l, int64_t now_us)
{
	if (lim_is_active(l, now_us))
		l->next_us = MAX(l->next_us, now_us) + interval_us(l);
}

/* Returns the time until this instance may send a request; 0: at once. */
int64_t lim_wait_us(const struct lim *l, int64_t now_us)
{
	if (!lim_is_active(l, now_us))
		return 0;
	if (!l->is_user)
		return NO_PART_WAIT_US;
	return MAX(l->next_us - now_us, 0);
}

static uint64_t rank_of(const char *instance, const char *endpoint)
{
	uint64_t hash = 0xcbf29ce484222325ull;

	for (const char *at = instance; *at; at++)
		hash = (hash ^ (unsigned char)*at) * 0x100000001b3ull;
	hash = (hash ^ '/') * 0x100000001b3ull;
	for (const char *at = endpoint; *at; at++)
		hash = (hash ^ (unsigned char)*at) * 0x100000001b3ull;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdull;
	return hash ^ hash >> 33;
}

/*
 * Returns who shares the limit of an endpoint: all instances that serve
 * callers, or, where there are too many, those with the highest rank for this
 * endpoint. Instances with the same view agree. self NULL: the only instance.
 */
struct lim_share lim_share_of(const struct view *view, const char *self,
			      const char *endpoint, double rate)
{
	struct lim_share out = { .users = 1, .is_user = true };
	unsigned instances = 0;
	unsigned higher = 0;
	bool listed = false;
	uint64_t own;

	if (!self)
		return out;
	own = rank_of(self, endpoint);
	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);
		uint64_t rank;

		if (!node->http_address[0] || node->down)
			continue;
		instances++;
		if (!strcmp(node->id, self)) {
			listed = true;
			continue;
		}
		rank = rank_of(node->id, endpoint);
		higher += rank > own ||
			  (rank == own && strcmp(node->id, self) < 0);
	}
	out.users = MIN(instances, (unsigned)MIN(rate, 1e6) + USERS_EXTRA);
	out.users = MAX(out.users, 1);
	out.is_user = listed && higher < out.users;
	return out;
}

/* Returns the name of a change for logs. */
const char *lim_news_name(enum lim_news news)
{
	switch (news) {
	case LIM_SAME:
		return "same";
	case LIM_NAMED:
		return "named";
	case LIM_CHANGED:
		return "changed";
	case LIM_ENDED:
		return "ended";
	}
	return "unknown";
}
