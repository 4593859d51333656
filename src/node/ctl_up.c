#include "node/ctl_up.h"

#include <string.h>

/* Upstreams that ctl_rule_upstream() knows before it goes on with voters. */
#define NAMED_UPSTREAMS 2

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

/* Notes the designated upstream. It is used at once only when there is no
 * other; else it is asked until it confirms the view. */
bool ctl_up_designate(struct ctl_up *up, const char *address)
{
	replace(&up->designated, address);
	return !up->address && replace(&up->address, address);
}

/*
 * Notes that an instance sent a newer confirmation of the view. One that is
 * older than the limit comes from an instance without contact, too: while there
 * is no leader, all would take each other for upstreams.
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

/* Sets the upstream, without asking it first. */
bool ctl_up_set(struct ctl_up *up, const char *address)
{
	replace(&up->designated, address);
	return replace(&up->address, address);
}

/* Judges the upstream by the age of the view; confirmed_us 0: there is no
 * confirmed view yet. */
bool ctl_up_check(struct ctl_up *up, int64_t confirmed_us, int64_t now_us,
		  int64_t limit_us)
{
	bool before = up->failing;

	up->failing = ctl_rule_upstream_failed(up->since_us, confirmed_us,
					       now_us, limit_us);
	return up->failing && !before;
}

/* Returns true for the upstream. It must not get its own confirmation back as
 * news: two instances would keep each other. */
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
 * Returns whom to ask for a confirmed view: nobody while all is well, the
 * designated upstream while another one is in use, and every candidate while
 * the upstream fails. Some of them may be the same lost instance, so they are
 * not tried one after the other.
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
