#ifndef CORE_ENT_H
#define CORE_ENT_H

#include <stdint.h>

#include "core/view.h"

/*
 * Choice of entries (ent: entry, an instance that takes requests): which ones a
 * caller should use, and which ones an endpoint announces itself to. No I/O.
 */

#define ENT_LIST_MAX 8

struct ent_item {
	const Dsp__Node *node; /* valid as long as the view */
	uint32_t weight;       /* relative share of this caller's requests */
};

/* Fills up to ENT_LIST_MAX items, the best first, and returns their number.
 * Draining and down nodes are left out. site is the caller's preferred site
 * (NULL: none); seed varies the choice among callers. */
size_t ent_list(const struct view *view, const char *site, uint64_t seed,
		struct ent_item out[ENT_LIST_MAX]);
/* The entries that an endpoint should announce itself to (rendezvous hash). */
size_t ent_announce_to(const struct view *view, const char *endpoint,
		       const Dsp__Node *out[2]);

#endif
