#ifndef CORE_SUS_H
#define CORE_SUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/view.h"

/*
 * Suspects at an entry (sus): whether a request may be sent, given the requests
 * and prompt parts that the replicated state suspects of crashing endpoints
 * (qua), and which evidence about them the entry reports to the leader. No I/O;
 * one thread. Digests are 16 bytes; now_us is the monotonic time, wall_ms the
 * wall-clock time.
 */
struct sus;

#define SUS_DIGEST_LEN 16
/* Parts of one request; further ones are not looked at. */
#define SUS_PARTS_MAX 32
/* Digests of parts that one crash reports at most, and of requests. */
#define SUS_REPORT_MAX 128
/* Digests that one answer reports at most: its parts and the request. */
#define SUS_BEGUN_MAX (SUS_PARTS_MAX + 1)
/* An answer that goes on for this time after its first whole event is proven
 * to have begun; a completed one at once. */
#define SUS_PROOF_US 500000

/* What of a request may crash its endpoint. */
struct sus_parts {
	uint8_t request[SUS_DIGEST_LEN]; /* the whole; all zero: not known */
	size_t n;			 /* parts of its prompt but the last */
	uint8_t digests[SUS_PARTS_MAX][SUS_DIGEST_LEN];
};

enum sus_action {
	SUS_SEND,
	SUS_REFUSE,
	/* Send only with a SuspectRun grant for the digest. If it is refused:
	 * as SUS_REFUSE, or SUS_WAIT for a whole request. */
	SUS_TRY,
	/* The request runs elsewhere: its outcome decides. Ask again later. */
	SUS_WAIT,
};

struct sus_decision {
	enum sus_action action;
	int64_t retry_us; /* SUS_REFUSE: until a trial may run; at least 0 */
	bool request;	  /* the whole request is in doubt, not a part */
	/* request: no record of it was seen, only the crash. */
	bool unrecorded;
	uint8_t digest[SUS_DIGEST_LEN]; /* but SUS_SEND: what is in doubt */
};

struct sus *sus_new(void);
void sus_free(struct sus *ctx);

/* Commands. */
/* Notes which parts are suspected; call it with each new view. */
void sus_view(struct sus *ctx, const struct view *view, int64_t now_us);
/*
 * An answer with success (2xx) whose first whole event or byte of body came at
 * started_us was proven to have begun: it completed, or it went on for
 * SUS_PROOF_US. Call it once for each answer. Returns the number of digests in
 * out that are to be reported as PartEvidence.begun.
 */
size_t sus_begun(struct sus *ctx, const struct sus_parts *parts,
		 int64_t started_us, int64_t now_us,
		 uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN]);
/* The same for an answer without success that is no failure of the endpoint
 * (4xx): it proves the request alone. */
size_t sus_answered(struct sus *ctx, const struct sus_parts *parts,
		    int64_t started_us, int64_t now_us,
		    uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN]);
/*
 * An endpoint crashed. requests: the parts of the n requests that it had from
 * this entry and whose answers were not proven to have begun, last sent first.
 * Returns the number of digests in out that are to be reported as one
 * PartCrash. For requests that are to be repeated, call sus_decide() first.
 */
size_t sus_crashed(struct sus *ctx, const struct sus_parts *const *requests,
		   size_t n, int64_t now_us,
		   uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN]);

/* The same for whole requests. Call both. */
size_t sus_requests_crashed(struct sus *ctx,
			    const struct sus_parts *const *requests, size_t n,
			    int64_t now_us,
			    uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN]);
/* A grant for the digest is asked for. */
void sus_asked(struct sus *ctx, const uint8_t digest[SUS_DIGEST_LEN],
	       int64_t now_us);

/*
 * Decides about a new request (crashes 0), or about the repeat of one whose
 * answer was not proven to have begun when its endpoint crashed; crashes counts
 * the endpoints that crashed with it. Uses the view of the last sus_view().
 * A part whose SuspectRun was asked for is not tried again for some 200 ms.
 */
struct sus_decision sus_decide(struct sus *ctx, const struct sus_parts *parts,
			       uint32_t crashes, int64_t now_us,
			       int64_t wall_ms);
/* Whether a request whose part with this digest needs no grant may need one for
 * another part. */
bool sus_has_other(const struct sus *ctx, const struct sus_parts *parts,
		   const uint8_t digest[SUS_DIGEST_LEN]);

#endif
