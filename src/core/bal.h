#ifndef CORE_BAL_H
#define CORE_BAL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/hint.h"
#include "core/lim.h"
#include "core/loc.h"
#include "core/pac.h"
#include "core/slo.h"
#include "core/view.h"

/*
 * Load balancer (bal): chooses the endpoint for each request of a routed
 * service. Its inputs are the view, this instance's own requests in flight, the
 * load that answers carry, and the measured latencies and failures of
 * endpoints. An engine's prefill is the processing of a prompt before the first
 * token. No I/O; one thread.
 */
struct bal;
struct bal_endpoint; /* valid while in the view or while it has requests */

struct bal_query {
	const char *service;
	const char *model;   /* NULL: plain service */
	const char *adapter; /* NULL: none */
	uint32_t tokens;     /* of the prompt; 0: plain service */
	uint32_t events;     /* expected in the answer; 0: no stream */
	uint64_t prefix;     /* hash of the shared prompt prefix; 0: none */
	uint32_t bytes;	     /* expected of request and answer */
	int64_t gap_objective_us; /* limit between events; 0: none */
	int64_t remaining_us;	  /* until the deadline; 0: none */
	bool may_wait;		  /* may wait for a better endpoint */
	bool resumed;		  /* the caller has part of the stream */
	const char *software; /* only endpoints with this version; NULL: any */
	const char *const *avoid; /* endpoint ids; NULL-terminated, or NULL */
	/* Whether this instance has an idle connection to the address; NULL: it
	 * does not matter. */
	bool (*is_connected)(const void *data, const char *address);
	const void *data; /* for is_connected */
};

enum bal_outcome {
	BAL_CHOSEN,
	BAL_NO_ENDPOINT,  /* none of the service is usable */
	BAL_NO_MODEL,	  /* no usable endpoint holds the model */
	BAL_NO_ADAPTER,	  /* some hold the model, none the adapter */
	BAL_NO_OTHER,	  /* all that hold it are in query.avoid */
	BAL_PAUSED,	  /* all others that hold it want no requests now */
	BAL_PREFILL_BUSY, /* all that hold it are busy with prefill */
	BAL_FULL,	  /* all that hold it have no free slot */
};

struct bal_choice {
	enum bal_outcome outcome;
	struct bal_endpoint *endpoint; /* BAL_CHOSEN */
	double load;		       /* of the endpoint, in requests */
	double cost_ms;	     /* expected time to first byte plus penalties */
	double load_age_s;   /* age of the last load report; below 0: none */
	int64_t retry_us;    /* other outcomes: when to retry */
	bool leaves_site;    /* BAL_CHOSEN: endpoint of another site */
	double site_cost_ms; /* part of cost_ms for that */
	unsigned candidates; /* usable, with the model and adapter */
	unsigned paused;     /* of them: want no requests now */
	unsigned limited;    /* of the paused: by a limit that they named */
	unsigned leaving;    /* of the service: left out, as they leave */
	double slowness;     /* factor in the cost; 1: as usual or not told */
	int64_t slowness_age_us; /* of the figure; below 0: none */
	int64_t hint_age_us;	 /* of the oldest hint of these two; 0: none */
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
void bal_set_locality(struct bal *ctx, const struct loc_options *options);
void bal_set_view(struct bal *ctx, struct view *view, const char *self);
unsigned bal_entries(const struct bal *ctx);
bool bal_is_entry(const struct bal *ctx); /* the view lists this instance */
/* More entries than prompts that an engine may have in prefill, so that no
 * entry alone can keep to that limit. */
bool bal_is_large(const struct bal *ctx);
/* Whether requests for the endpoint go through other instances. */
void bal_set_detour(struct bal *ctx, const char *id, bool detour);
void bal_begin(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
	       int64_t now_us);
void bal_first_byte(struct bal *ctx, struct bal_endpoint *e, uint32_t tokens,
		    int64_t first_us, bool alone);
void bal_stream_event(struct bal *ctx, struct bal_endpoint *e, int64_t gap_us,
		      int64_t now_us);
void bal_stream_interval(struct bal *ctx, struct bal_endpoint *e,
			 int64_t gap_us);
void bal_stream_end(struct bal *ctx, struct bal_endpoint *e, bool late,
		    int64_t now_us);
void bal_end(struct bal *ctx, struct bal_endpoint *e, enum bal_result result,
	     uint32_t unread_tokens, int64_t now_us);
void bal_report(struct bal *ctx, struct bal_endpoint *e, uint32_t running,
		uint32_t waiting, int64_t now_us);
void bal_saw_slowness(struct bal *ctx, struct bal_endpoint *e, uint32_t percent,
		      int64_t now_us);
void bal_observe(struct bal *ctx, const Dsp__LoadReport *report,
		 int64_t now_us);
enum lim_news bal_observe_limit(struct bal *ctx, const Dsp__LoadReport *report,
				double jitter, int64_t now_us);
unsigned bal_saw_hint(struct bal *ctx, const char *id, uint64_t incarnation,
		      bool leaving, int64_t pause_us, double jitter,
		      int64_t now_us);
enum lim_news bal_saw_limit(struct bal *ctx, const char *id,
			    uint64_t incarnation, double rate, double jitter,
			    int64_t now_us);

/* Queries. */
struct bal_choice bal_choose(struct bal *ctx, const struct bal_query *query,
			     int64_t now_us);
struct bal_choice bal_choose_named(struct bal *ctx,
				   const struct bal_query *query,
				   const char *id, uint64_t incarnation,
				   int64_t now_us);
size_t bal_offers(const struct bal *ctx, const struct bal_query *query,
		  int64_t now_us, struct pac_engine *out, size_t max);
int64_t bal_prefill_us(const struct bal *ctx, const char *id, uint32_t tokens);
enum hint_bar bal_bar(const struct bal *ctx, const char *id,
		      uint64_t incarnation, int64_t now_us);
double bal_leaving_share(struct bal *ctx, int64_t now_us);
const struct lim *bal_limit(const struct bal *ctx, const char *id);
/* An endpoint of the service that takes requests has the version. */
bool bal_has_software(const struct bal *ctx, const char *service,
		      const char *software);
/* Version of the endpoint's process; NULL: another one has taken its id. */
const char *bal_software(const struct bal_endpoint *e);
bool bal_is_prefilling(const struct bal_endpoint *e);
const char *bal_id(const struct bal_endpoint *e);
uint64_t bal_incarnation(const struct bal_endpoint *e);
const char *bal_address(const struct bal_endpoint *e);
const char *bal_outcome_name(enum bal_outcome outcome);

#endif
