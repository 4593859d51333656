#ifndef CORE_PEV_H
#define CORE_PEV_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Part evidence (pev): what entries saw of prompt parts and requests, collected
 * until it can be passed on. Bounded; no I/O; one thread.
 */
struct pev;

struct pev *pev_new(void);
void pev_free(struct pev *ctx);

/* Commands. */
/* Adds evidence. Returns the number of digests that were dropped, because a
 * limit was reached or they have expired. */
unsigned pev_add(struct pev *ctx, const Dsp__PartEvidence *evidence,
		 int64_t now_us);
/* Takes all that has not expired; NULL: nothing. The caller frees it. */
Dsp__PartEvidence *pev_take(struct pev *ctx, int64_t now_us);

/* Queries. */
bool pev_is_empty(const struct pev *ctx);

#endif
