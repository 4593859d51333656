#ifndef CORE_RT_H
#define CORE_RT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/hint.h"
#include "core/lim.h"
#include "core/view.h"

/*
 * Router (rt): admission, queueing and endpoint choice for the model and
 * service requests of one entry. No I/O; the caller serialises calls with its
 * own lock. Times are microseconds of one monotonic clock.
 */
struct rt;

struct rt_request {
	const char *team;
	const char *service;
	const char *model;   /* NULL for plain services */
	const char *adapter; /* NULL or empty: none */
	const char *class_name;
	const struct doc_class *class_limits;
	int64_t arrival_us;
	int64_t deadline_us;	/* absolute; first token or whole answer */
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	uint64_t prefix_hashes[8]; /* of growing prompt prefixes; 0 ends */
	const char *exclude;	   /* endpoint not to use (retry), or NULL */
	const char *software;	   /* the caller has a part from an endpoint
				      with this version; NULL: none */
	bool suspect; /* suspected of crashing endpoints; one per endpoint */
};

enum rt_outcome {
	RT_DISPATCH, /* send to endpoint now; call rt_done() afterwards */
	RT_WAIT,     /* queued; ask again at rt_next_us() or a completion */
	/* No byte was sent (after rt_retry(): by this attempt). There is no
	 * ticket after rt_submit(); after other calls the ticket must still
	 * be ended by rt_done(). */
	RT_REFUSE,
};

enum rt_reason {
	RT_REASON_NONE,
	RT_REASON_NO_ENDPOINT, /* no ready copy on any endpoint */
	RT_REASON_DEADLINE_UNREACHABLE,
	RT_REASON_QUEUE_FULL,
	RT_REASON_MODEL_SHARE, /* one model's burst exceeds its share */
	RT_REASON_RETRY_BUDGET,
};

struct rt_ticket; /* one queued or dispatched request, owned by rt */

struct rt_decision {
	enum rt_outcome outcome;
	enum rt_reason reason;
	/* RT_DISPATCH; lives until rt_done() or the next rt_retry() */
	const Dsp__Endpoint *endpoint;
	int64_t predicted_us;	  /* time to first token */
	int64_t retry_after_us;	  /* RT_REFUSE */
	struct rt_ticket *ticket; /* NULL when rt_submit() refuses */
};

struct rt *rt_new(uint64_t seed);
void rt_free(struct rt *ctx);

/* Commands. */
void rt_set_instance(struct rt *ctx, const char *id);
void rt_set_view(struct rt *ctx, struct view *view, int64_t now_us);
void rt_report(struct rt *ctx, const Dsp__LoadReport *report, int64_t now_us);
void rt_set_entries(struct rt *ctx, uint32_t entries);
void rt_submit(struct rt *ctx, const struct rt_request *request, int64_t now_us,
	       struct rt_decision *out);
void rt_poll(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	     struct rt_decision *out);
void rt_retry(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	      struct rt_decision *out);
void rt_first_token(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us);
void rt_done(struct rt *ctx, struct rt_ticket *ticket, int64_t now_us,
	     uint32_t tokens, bool success);
void rt_endpoint_failed(struct rt *ctx, const char *endpoint,
			uint64_t incarnation, int64_t now_us);

unsigned rt_saw_hint(struct rt *ctx, const char *endpoint, uint64_t incarnation,
		     bool leaving, int64_t pause_us, double jitter,
		     int64_t now_us);
enum lim_news rt_saw_limit(struct rt *ctx, const char *endpoint,
			   uint64_t incarnation, double rate, double jitter,
			   int64_t now_us);

/* Queries. */
enum hint_bar rt_bar(const struct rt *ctx, const char *endpoint,
		     uint64_t incarnation, int64_t now_us);
uint32_t rt_in_flight(const struct rt *ctx, const char *endpoint);
uint32_t rt_waiting(const struct rt *ctx);
int64_t rt_next_us(const struct rt *ctx, const struct rt_ticket *ticket,
		   int64_t now_us);
bool rt_decided(const struct rt_ticket *ticket);
const char *rt_reason_code(enum rt_reason reason);

#endif
