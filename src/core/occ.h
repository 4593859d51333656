#ifndef CORE_OCC_H
#define CORE_OCC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Observed occupancy (occ): the newest load of each endpoint that any instance
 * has seen in an answer. Instances report what they saw, relays and the leader
 * keep the newest and pass it on, so that an entry among hundreds knows the
 * load of endpoints that it rarely uses. The age of a report counts from the
 * answer; the time that a message takes is not added. No I/O; one thread.
 */
struct occ;

struct occ *occ_new(void);
void occ_free(struct occ *ctx);

/* Commands. */
/* Returns true if the report is newer than the known one, and keeps it. */
bool occ_put(struct occ *ctx, const Dsp__LoadReport *report, int64_t now_us);
/* Moves up to max reports that changed since they were last taken to out, with
 * their age as of now_us. They are valid until the next command. */
size_t occ_take(struct occ *ctx, Dsp__LoadReport **out, size_t max,
		int64_t now_us);

/* Queries. */
size_t occ_size(const struct occ *ctx);

#endif
