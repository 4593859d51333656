#ifndef NODE_CTL_UP_H
#define NODE_CTL_UP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/ctl_rules.h"

/*
 * Upstream of an instance (ctl_up): the instance that it reports to and gets
 * views from. An upstream is checked by its confirmations of the view. If they
 * stop, it stays in use for now, but all candidates are queried at once, and
 * the first one in contact with the leader replaces it. The designated upstream
 * returns to use in the same way. The caller passes the time.
 */
struct ctl_up {
	char *address;	      /* NULL: none yet; owned */
	char *designated;     /* by the leader's choice of relays; owned */
	int64_t since_us;     /* start of the search for the first upstream */
	bool failing;	      /* has not confirmed the view in time */
	unsigned rounds;      /* rounds of queries since it fails */
	int64_t round_due_us; /* next round */
	uint8_t spread; /* differs between instances, so that their rounds do */
};

/* Commands. */
void ctl_up_clear(struct ctl_up *up);
/* These two return true if the upstream changed. */
bool ctl_up_designate(struct ctl_up *up, const char *address);
bool ctl_up_confirmed(struct ctl_up *up, const char *from, int64_t age_us,
		      int64_t limit_us);
/* Sets an upstream without querying it first. */
bool ctl_up_set(struct ctl_up *up, const char *address);
/* Returns true if the upstream has just begun to fail. */
bool ctl_up_check(struct ctl_up *up, int64_t confirmed_us, int64_t now_us,
		  int64_t limit_us);

/* Returns true if a round of queries is due, and plans the next one. */
bool ctl_up_begin_round(struct ctl_up *up, int64_t now_us, int64_t interval_us);

/* Queries. */
/* Microseconds between two rounds of queries, and between two reports while the
 * upstream fails; interval_us: the same while it works. */
int64_t ctl_up_interval_us(const struct ctl_up *up, int64_t interval_us);
/* The longest of these intervals at any instance, in microseconds. */
int64_t ctl_up_longest_interval_us(int64_t interval_us);
/* Whether the instance at this address is the upstream. */
bool ctl_up_is(const struct ctl_up *up, const char *address);
/* Addresses of other instances to query for a confirmed view; valid as long as
 * the input. Free the array with g_free(). */
size_t ctl_up_candidates(const struct ctl_up *up,
			 const struct ctl_upstream_input *in,
			 const char ***out);

#endif
