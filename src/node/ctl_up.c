#include "node/ctl_up.h"

#include <string.h>

/* Attempts of ctl_rule_upstream() that come before the voters. */
#define NAMED_UPSTREAMS 2
/* Longest interval of queries. An instance sends updates to those that asked in
 * the last two seconds, so that one that has found the leader passes the view
 * on without being asked again. */
#define INTERVAL_MAX_US 1000000
/* The interval is stretched by up to this share of itself. */
#define SPREAD_SHARE 4

static bool replace(char **to, const char *address)
{
	if (!g_strcmp0(*to, address))
		return false;
	g_free(*to);
	*to = g_strdup(address);
	return true;
}

/* Frees the addresses. */
void ctl_up_clear(struct ctl_up *up)
{
	g_clear_pointer(&up->address, g_free);
	g_clear_pointer(&up->designated, g_free);
}

/* Stores the designated upstream. It is used at once only if there is no other;
 * otherwise it is queried until it confirms the view. */
bool ctl_up_designate(struct ctl_up *up, const char *address)
{
	replace(&up->designated, address);
	return !up->address && replace(&up->address, address);
}

/*
 * Handles a newer confirmation of the view from an instance. One older than the
 * limit is ignored, since its sender has no contact with the leader either:
 * without a leader, all instances would choose each other as upstreams.
 */
bool ctl_up_confirmed(struct ctl_up *up, const char *from, int64_t age_us,
		      int64_t limit_us)
{
	if (age_us > limit_us ||
	    (!up->failing && g_strcmp0(from, up->designated) != 0))
		return false;
	up->failing = false;
	return replace(&up->address, from);
}

/* Sets the upstream without querying it first. */
bool ctl_up_set(struct ctl_up *up, const char *address)
{
	replace(&up->designated, address);
	return replace(&up->address, address);
}

/* Checks the upstream by the age of the confirmed view; confirmed_us 0: no view
 * was confirmed yet. */
bool ctl_up_check(struct ctl_up *up, int64_t confirmed_us, int64_t now_us,
		  int64_t limit_us)
{
	bool before = up->failing;

	up->failing = ctl_rule_upstream_failed(up->since_us, confirmed_us,
					       now_us, limit_us);
	if (up->failing && before)
		return false;
	up->rounds = 0;
	if (up->failing)
		up->round_due_us = now_us;
	return up->failing;
}

/*
 * The interval doubles with each round without a confirmation. Without a
 * leader, all instances of the system query the same few control instances,
 * which need their processor time to elect one.
 */
int64_t ctl_up_interval_us(const struct ctl_up *up, int64_t interval_us)
{
	int64_t longest_us = MAX(interval_us, INTERVAL_MAX_US);

	if (!up->failing || !up->rounds)
		return interval_us;
	for (unsigned i = 1; i < up->rounds && interval_us < longest_us; i++)
		interval_us *= 2;
	interval_us = MIN(interval_us, longest_us);
	return interval_us +
	       interval_us * up->spread / (SPREAD_SHARE * (UINT8_MAX + 1));
}

/* Returns what ctl_up_interval_us() stays below, whatever the instance. */
int64_t ctl_up_longest_interval_us(int64_t interval_us)
{
	int64_t longest_us = MAX(interval_us, INTERVAL_MAX_US);

	return longest_us + longest_us / SPREAD_SHARE;
}

/* Returns true if a round of queries is due at now_us, and plans the next
 * one. */
bool ctl_up_begin_round(struct ctl_up *up, int64_t now_us, int64_t interval_us)
{
	if (now_us < up->round_due_us)
		return false;
	up->rounds++;
	up->round_due_us = now_us + ctl_up_interval_us(up, interval_us);
	return true;
}

/* Returns true for the upstream's address. Its own confirmation must not be
 * sent back to it: two instances would keep each other as upstreams. */
bool ctl_up_is(const struct ctl_up *up, const char *address)
{
	return !g_strcmp0(up->address, address);
}

static bool is_listed(const char *const *list, size_t n, const char *address)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(list[i], address))
			return true;
	return false;
}

/*
 * Returns the instances to query for a confirmed view: none while the
 * designated upstream works, that one while another is in use, and every
 * candidate while the upstream fails. Several of these addresses may lead to
 * the same unreachable instance, so they are not tried one by one.
 */
size_t ctl_up_candidates(const struct ctl_up *up,
			 const struct ctl_upstream_input *in, const char ***out)
{
	size_t attempts = up->failing ? NAMED_UPSTREAMS + in->n_voters : 1;
	size_t n = 0;

	*out = g_new0(const char *, attempts + 1);
	for (size_t i = 0; i < attempts; i++) {
		const char *address = i < NAMED_UPSTREAMS
					      ? ctl_rule_upstream(in, i)
					      : in->voters[i - NAMED_UPSTREAMS];

		if (address && g_strcmp0(address, up->address) != 0 &&
		    !is_listed(*out, n, address))
			(*out)[n++] = address;
	}
	return n;
}
