#ifndef NODE_CTL_UP_H
#define NODE_CTL_UP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/ctl_rules.h"

/*
 * The instance that this one reports to and gets views from. An upstream proves
 * itself by confirmations of the view: one that brings none for a while is
 * kept, but all candidates are asked at once, and the first with contact to the
 * leader takes its place. The designated upstream takes it back in the same
 * way. The clock value is an argument.
 */
struct ctl_up {
	char *address;	  /* NULL: none yet; owned */
	char *designated; /* by the leader's choice of relays; owned */
	int64_t since_us; /* start of the search for the first one */
	bool failing;
};

/* Commands. */
void ctl_up_clear(struct ctl_up *up);
/* The two return true when the upstream has changed. */
bool ctl_up_designate(struct ctl_up *up, const char *address);
bool ctl_up_confirmed(struct ctl_up *up, const char *from, int64_t age_us,
		      int64_t limit_us);
/* Uses an upstream that is known to be right. */
bool ctl_up_set(struct ctl_up *up, const char *address);
/* Returns true when the upstream begins to fail. */
bool ctl_up_check(struct ctl_up *up, int64_t confirmed_us, int64_t now_us,
		  int64_t limit_us);

/* Queries. */
/* Whether an instance is the upstream. */
bool ctl_up_is(const struct ctl_up *up, const char *address);
/* Addresses to ask beside the upstream; they live as the input. g_free() the
 * array. */
size_t ctl_up_candidates(const struct ctl_up *up,
			 const struct ctl_upstream_input *in,
			 const char ***out);

#endif
