#ifndef CORE_TOK_H
#define CORE_TOK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "proto/messages.pb-c.h"

/*
 * Quotas at an entry (tok): the units that the leader has granted to this entry
 * for requests of customers with a rate (core/quo.h), the requests that wait
 * for a grant, and what is to be asked. Times are microseconds of one monotonic
 * clock that also counts suspension. No I/O; one thread.
 */
struct tok;

/* Units of one request may come from this many grants. */
#define TOK_PARTS_MAX 4

enum tok_state {
	TOK_NONE, /* not counted: takes no units, or has used them */
	TOK_HELD,
	TOK_WAITING,
	TOK_DENIED,   /* over the limit */
	TOK_NO_GRANT, /* no answer of the leader in time */
};

/* Units of one grant. */
struct tok_part {
	uint64_t id; /* of the ask */
	uint64_t term;
	uint64_t units;
	int64_t asked_us;
};

/* One request, embedded in the caller's structure; all zero at first. */
struct tok_item {
	TAILQ_ENTRY(tok_item) link;
	enum tok_state state;
	struct tok_customer *customer;
	uint64_t units;
	struct tok_part parts[TOK_PARTS_MAX];
	size_t n_parts;
	uint64_t ask; /* last ask for it; 0: it has been answered */
	int64_t asked_us;
	int64_t usable_us; /* of granted units; 0: not granted yet */
	int64_t begun_us;  /* start of the wait */
	int64_t give_up_us;
	int64_t wait_us;  /* longest wait */
	int64_t retry_us; /* TOK_DENIED: time until there may be room */
	bool decided;	  /* in the list of tok_decided() */
};

struct tok_counts {
	uint64_t used; /* units taken for requests */
	uint64_t granted;
	uint64_t returned;
	uint64_t served;
	uint64_t denied;
	uint64_t no_grant;
};

struct tok *tok_new(uint64_t first_id);
void tok_free(struct tok *ctx);

/* Commands. */
void tok_set_customers(struct tok *ctx, const Dsp__Customers *customers,
		       int64_t now_us);
enum tok_state tok_take(struct tok *ctx, struct tok_item *item,
			const char *customer, uint64_t units, int64_t wait_us,
			int64_t now_us);
bool tok_keep(struct tok *ctx, struct tok_item *item, int64_t now_us);
void tok_used(struct tok_item *item);
void tok_give_back(struct tok *ctx, struct tok_item *item, int64_t now_us);
void tok_granted(struct tok *ctx, const Dsp__QuotaGrants *grants,
		 int64_t now_us);
void tok_ask_again(struct tok *ctx, int64_t now_us);
void tok_run(struct tok *ctx, int64_t now_us);
struct tok_item *tok_decided(struct tok *ctx);
Dsp__QuotaAsks *tok_asks(struct tok *ctx, int64_t now_us);

/* Queries. */
int64_t tok_due_us(const struct tok *ctx, int64_t now_us);
unsigned tok_n_waiting(const struct tok *ctx);
size_t tok_n_customers(const struct tok *ctx);
bool tok_is_limited(const struct tok *ctx, const char *customer);
uint64_t tok_units(const Dsp__Customer *customer, bool has_counts,
		   uint64_t counted);
double tok_excess(const struct tok *ctx, const char *customer);
struct tok_counts tok_counts(const struct tok *ctx, const char *customer);
int64_t tok_grant_age_us(const struct tok *ctx, int64_t now_us);

#endif
