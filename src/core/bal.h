#ifndef CORE_BAL_H
#define CORE_BAL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/view.h"

/*
 * Chooses the endpoint for each request of a routed service from what this
 * instance knows: the view, its own requests in flight, the load that answers
 * carry, and how endpoints answered. No I/O; one thread.
 */
struct bal;
struct bal_endpoint; /* valid while listed or while it has requests */

struct bal_query {
	const char *service;
	const char *model;	  /* NULL: plain service */
	const char *adapter;	  /* NULL: none */
	uint32_t tokens;	  /* of the prompt; 0: plain service */
	uint32_t events;	  /* expected in the answer; 0: no stream */
	uint64_t prefix;	  /* hash of the shared prompt parts; 0: none */
	int64_t gap_objective_us; /* longest good pause between events; 0: any
				   */
	int64_t remaining_us;	  /* until its caller waits no longer; 0: any */
	bool may_wait;		  /* a better endpoint is worth waiting for */
	bool resumed; /* a stream whose caller has read a part of it */
	const char *const *avoid; /* endpoint ids; NULL-terminated, or NULL */
};

enum bal_outcome {
	BAL_CHOSEN,
	BAL_NO_ENDPOINT,  /* none of the service is usable */
	BAL_NO_MODEL,	  /* no usable endpoint holds the model */
	BAL_NO_ADAPTER,	  /* some hold the model, none the adapter */
	BAL_NO_OTHER,	  /* all that hold it are to be avoided */
	BAL_PREFILL_BUSY, /* all that hold it are busy reading prompts */
	BAL_FULL,	  /* all that hold it have no place */
};

struct bal_choice {
	enum bal_outcome outcome;
	struct bal_endpoint *endpoint; /* BAL_CHOSEN */
	double load;		       /* of the endpoint, in requests */
	double cost_ms;	     /* expected time to the first byte, and more */
	double load_age_s;   /* age of the reported part; below 0: none */
	int64_t retry_us;    /* else: when a place may be free */
	unsigned candidates; /* usable endpoints with what is asked for */
};

enum bal_result {
	BAL_ANSWERED,  /* any answer of the endpoint that ran the request */
	BAL_REFUSED,   /* it did not run it */
	BAL_FAILED,    /* broken or malformed answer, or none */
	BAL_UNREACHED, /* no connection */
	BAL_REPLACED,  /* another process uses its address */
	BAL_CANCELLED, /* ended by the caller or this instance */
};

struct bal *bal_new(void);
void bal_free(struct bal *ctx);

/* Commands. */
/* Takes a reference to the view. self: node id of this instance; each instance
 * prefers other endpoints, so that it knows most of their load. */
void bal_set_view(struct bal *ctx, struct view *view, const char *self);
/* Instances that serve callers; at least 1. */
unsigned bal_entries(const struct bal *ctx);
void bal_begin(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens);
/* The first byte of an answer came; first_us after the request was sent.
 * alone: no other request of this instance was being read at that endpoint. */
void bal_first_byte(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
		    int64_t first_us, bool alone);
/* An event of a stream came, gap_us after the one before. */
void bal_stream_event(struct bal *ctx, struct bal_endpoint *e, int64_t gap_us,
		      int64_t now_us);
/* A stream's average time between events, of a whole stream. */
void bal_stream_interval(struct bal *ctx, struct bal_endpoint *e,
			 int64_t gap_us);
/* A stream of the endpoint has ended; late: it paused longer than is good. */
void bal_stream_end(struct bal *ctx, struct bal_endpoint *e, bool late,
		    int64_t now_us);
/* unread_tokens: prompt that the endpoint had not read when it ended. */
void bal_end(struct bal *ctx, struct bal_endpoint *e, enum bal_result result,
	     uint32_t unread_tokens, int64_t now_us);
/* Load that an answer carried. */
void bal_report(struct bal *ctx, struct bal_endpoint *e, uint32_t running,
		uint32_t waiting, int64_t now_us);

/* Queries. */
struct bal_choice bal_choose(struct bal *ctx, const struct bal_query *query,
			     int64_t now_us);
bool bal_is_prefilling(
	const struct bal_endpoint *e); /* prompts of this instance */
const char *bal_id(const struct bal_endpoint *e);
uint64_t bal_incarnation(const struct bal_endpoint *e);
const char *bal_address(const struct bal_endpoint *e);
const char *bal_outcome_name(enum bal_outcome outcome);

#endif
