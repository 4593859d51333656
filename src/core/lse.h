#ifndef CORE_LSE_H
#define CORE_LSE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Lease of a view (lse): until when an instance may rely on its view. Its start
 * is a time on the instance's own clock such that the view has all changes that
 * were acknowledged before. Time in transit, in queues and in stopped processes
 * makes a lease older, never younger. No I/O.
 */

/* Zero-initialised: no lease. */
struct lse {
	int64_t start_us; /* own clock; 0: none */
	uint64_t index;	  /* of the view that it is for, and of later ones */
};

/* What an update says of its sender's lease. */
struct lse_grant {
	uint64_t echo_us; /* sending time of a report of the receiver, on the
			     receiver's clock; 0: no grant */
	uint32_t age_ms;  /* of the sender's lease; LSE_NO_AGE: it has none */
};
#define LSE_NO_AGE UINT32_MAX

/* The clock that an instance sends in its reports. Its origin is random for
 * each process, so that a grant for an earlier one has no valid time. */
struct lse_clock {
	uint64_t origin;  /* value sent for time 0 */
	int64_t began_us; /* start of the process */
};

struct lse_clock lse_clock_new(uint64_t random, int64_t now_us);
uint64_t lse_sent_us(const struct lse_clock *clock, int64_t now_us);

/* Commands. */
bool lse_extend(struct lse *ctx, int64_t start_us, uint64_t index);
bool lse_accept(struct lse *ctx, const struct lse_clock *clock,
		const struct lse_grant *grant, uint64_t index, int64_t now_us);
/* Takes over the lease of a view that is at most as new as the one in use. */
void lse_follow(struct lse *ctx, const struct lse *of, uint64_t index);

/* Queries. */
/* Time on the own clock at which this process sent the report that an update
 * echoes, in microseconds; 0: the update echoes none of this process. */
int64_t lse_echoed_us(const struct lse_clock *clock, uint64_t echo_us,
		      int64_t now_us);
struct lse_grant lse_grant(const struct lse *ctx, uint64_t echo_us,
			   int64_t now_us);
int64_t lse_age_us(const struct lse *ctx, int64_t now_us);
bool lse_holds(const struct lse *ctx, int64_t length_us, int64_t now_us);

/* Share of the time until a removed key is refused everywhere for which a lease
 * lasts. A view without contact is served for 0.6 of that time; the rest of the
 * lease covers its age at the loss of contact, and what remains after the lease
 * covers the difference between clocks. */
#define LSE_REVOKE_PERCENT 80

#endif
