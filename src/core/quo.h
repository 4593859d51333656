#ifndef CORE_QUO_H
#define CORE_QUO_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Quotas on the leader (quo): a bucket of units for each customer with a rate,
 * from which entries are granted what their requests use. No I/O.
 *
 * Bound: of one customer's units at most (8 rate + burst) x 1.1 + 11,000 are
 * used within any 8 s (the last term for customers whose unit is a token), over
 * all leaders and entries, if entries use units within QUO_LIFETIME_US of the
 * ask, and if a leader answers no ask once another one may lead.
 */
struct quo;

/* Entries use granted units within this time of the ask. */
#define QUO_LIFETIME_US 1000000
/* Longest delay of a grant. */
#define QUO_WAIT_MAX_US 250000

struct quo_counts {
	uint64_t granted;  /* units */
	uint64_t denied;   /* asks */
	uint64_t credited; /* units */
	uint64_t refused;  /* returned units that were not credited */
};

struct quo *quo_new(void);
void quo_free(struct quo *ctx);

/* Commands. */
void quo_begin(struct quo *ctx, uint64_t term, const Dsp__Customers *customers,
	       int64_t now_us);
void quo_set_customers(struct quo *ctx, const Dsp__Customers *customers,
		       int64_t now_us);
Dsp__QuotaGrants *quo_answer(struct quo *ctx, const char *sender,
			     const Dsp__QuotaAsks *asks, int64_t now_us);

/* Queries. */
bool quo_has_customers(const struct quo *ctx);
double quo_level(const struct quo *ctx, const char *customer, int64_t now_us);
struct quo_counts quo_counts(const struct quo *ctx);
uint64_t quo_term(const struct quo *ctx);

#endif
