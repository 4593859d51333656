#ifndef EDGE_EDGE_INT_H
#define EDGE_EDGE_INT_H

#include <event2/event.h>
#include <pthread.h>
#include <sys/queue.h>

#include "core/adm.h"
#include "core/bal.h"
#include "core/pth.h"
#include "core/rep.h"
#include "core/rtab.h"
#include "core/sus.h"
#include "core/tok.h"
#include "edge/edge.h"
#include "http/hio.h"
#include "platform/wire.h"

/*
 * Internal interface of the edge, for the files of the edge thread only.
 * fwd_: forwards callers' requests to endpoints.
 * agent_: sends the leader's orders to engines.
 */

#define EDGE_S_US 1000000LL

struct fwd;
struct agent;
struct edge_detour;
struct edge_parts;
struct edge_quota;
struct edge_slots;
struct edge_versions;

/* A request that is held until the first confirmed view. */
struct fwd_held {
	STAILQ_ENTRY(fwd_held) link;
	struct hio_exchange *exchange;
	int64_t arrived_us;
};
LIST_HEAD(fwd_list, fwd);

/* Demand for a model or adapter in the next report; keyed by "model/adapter".
 */
struct edge_demand {
	char *model;
	char *adapter; /* "" for the model itself */
	uint32_t requests;
	uint32_t refused;
};

/* Prefill speed of an engine in the next report. */
struct edge_pace {
	uint64_t incarnation;
	uint64_t read_tokens;
	int64_t read_us;
};

/* A command whose result arrives from the control thread (edge_call.c). */
struct edge_call;
typedef void edge_done(struct edge *ctx, struct edge_call *call);

struct edge_call {
	STAILQ_ENTRY(edge_call) link;
	struct edge *edge;
	struct hio_exchange *exchange; /* NULL: the caller disconnected */
	Dsp__Command *command;	       /* owned */
	int64_t start_us;
	int64_t timeout_us;
	edge_done *done;
	void *data;		    /* for done */
	Dsp__CommandResult *result; /* owned; NULL: unknown */
	bool not_sent;		    /* the command can never take effect */
};

struct edge {
	/* Constant after the start. */
	const struct set *set;
	struct clk *clock;
	struct met *met;
	struct ctl *ctl;
	struct event_base *base;
	struct event *wake; /* may be activated by any thread */
	pthread_t thread;
	bool running;

	pthread_mutex_t lock;
	struct view *next_view; /* lock; NULL: no change */
	int64_t next_view_us;	/* lock; when the oldest unused view came */
	GPtrArray *paces_in;	/* lock; Dsp__Pace */
	GPtrArray *demands_in;	/* lock; Dsp__Demand */
	GPtrArray *loads_in;	/* lock; Dsp__LoadReport */
	GPtrArray *copies_in;	/* lock; Dsp__StreamCopies */
	STAILQ_HEAD(edge_calls, edge_call) done; /* lock */
	bool stop;				 /* lock */
	bool drain;				 /* lock */
	unsigned calls_running;			 /* lock */
	pthread_cond_t calls_ended;		 /* with lock */
	_Atomic unsigned in_flight;
	struct hio_mem *mem; /* buffers of the edge thread */

	/* Used by the edge thread only. */
	struct hio_server *front;
	struct hio_server *ready;
	struct hio_server *directory;
	struct hio_server *control;
	struct hio_server *metrics;
	struct hio_server *announce;
	struct hio_server *detours; /* for other instances */
	GHashTable *sent_elsewhere; /* endpoint -> when it was named an entry */
	struct hio_client *client;
	struct event *tick;
	struct view *view;
	const Dsp__RouteTable *table; /* of the view; NULL: none yet */
	struct rtab *routes;	      /* of the table */
	struct lse lease;	      /* of the view */
	struct bal *bal;
	struct adm *queue;	   /* requests that wait for an endpoint */
	struct event *queue_event; /* an endpoint may have capacity; its timer
				      runs while requests are queued */
	GHashTable *budgets;	   /* service -> struct rep */
	struct rep_share repeat_share;
	struct fwd_list forwards;
	STAILQ_HEAD(fwd_helds, fwd_held) held;
	unsigned n_held;
	GHashTable *demands; /* "model/adapter" -> struct edge_demand */
	GHashTable *paces;   /* endpoint -> struct edge_pace */
	int64_t next_report_us;
	bool draining;
	int64_t drain_start_us; /* when the drain began */
	struct agent *agent;
	struct edge_detour *detour;
	struct edge_parts *parts;
	struct edge_quota *quota;
	struct edge_slots *slots;
	struct edge_versions *versions;
};

/* edge.c */
void edge_count_demand(struct edge *ctx, const char *model, const char *adapter,
		       bool missed);
void edge_add_prefill_sample(struct edge *ctx, const struct bal_endpoint *e,
			     uint32_t tokens, int64_t first_us);
struct rep *edge_budget(struct edge *ctx, const char *service);
struct rep_options edge_budget_options(const struct edge *ctx);
bool edge_is_ready(struct edge *ctx);
bool edge_has_lease(struct edge *ctx);

/* edge_hint.c */
void edge_saw_hint(struct edge *ctx, const char *endpoint, uint64_t incarnation,
		   const struct wire_answer *answer);
void edge_limit_news(struct edge *ctx, const char *endpoint, enum lim_news news,
		     const char *source);
void edge_report_limit(Dsp__LoadReport *report, const struct wire_hint *hint);

/* edge_quota.c */
struct edge_quota *edge_quota_new(struct edge *edge);
void edge_quota_free(struct edge_quota *ctx);
void edge_quota_receive(struct edge_quota *ctx, const Dsp__QuotaGrants *grants);
void edge_quota_leader_changed(struct edge_quota *ctx);
void edge_quota_process(struct edge_quota *ctx);
void edge_quota_set_table(struct edge_quota *ctx, const Dsp__RouteTable *table);
void edge_quota_tick(struct edge_quota *ctx);
enum tok_state edge_quota_take(struct edge_quota *ctx, struct tok_item *item,
			       const Dsp__Customer *customer,
			       const struct wire_request *request,
			       int64_t wait_us);
bool edge_quota_keep(struct edge_quota *ctx, struct tok_item *item);
void edge_quota_end(struct edge_quota *ctx, struct tok_item *item, bool ran);
int64_t edge_quota_retry_us(struct edge_quota *ctx, const char *customer,
			    int64_t room_us);
int64_t edge_quota_grant_age_us(const struct edge_quota *ctx);
void edge_quota_waited(struct edge_quota *ctx, const char *customer,
		       int64_t wait_us);
void edge_quota_set_gauges(struct edge_quota *ctx);

/* edge_call.c */
/* Submits a command on a separate thread; done runs on the edge thread. Takes
 * ownership of the command. */
void edge_call_start(struct edge *ctx, struct hio_exchange *exchange,
		     Dsp__Command *command, int64_t timeout_us, edge_done *done,
		     void *data);
void edge_calls_run(struct edge *ctx);
void edge_calls_wait(struct edge *ctx);

/* edge_api.c */
bool edge_api_open(struct edge *ctx, GError **err);
void edge_api_close(struct edge *ctx);

/* edge_parts.c */
struct edge_check;
struct edge_trial;

/* The prompt parts of a request; embedded in it. */
struct edge_prompt {
	TAILQ_ENTRY(edge_prompt) wait_link;
	struct sus_parts parts;
	const char *request_id;		     /* for log lines */
	char digest[2 * SUS_DIGEST_LEN + 1]; /* of the request, as text */
	uint32_t crashes; /* endpoints that crashed before it was begun */
	struct edge_check *check; /* whose end it waits for, or NULL */
	struct edge_trial *trial; /* for its next attempt, or NULL */
};

/* A sending of a request to an endpoint; embedded in it. */
struct edge_attempt {
	LIST_ENTRY(edge_attempt) link;
	struct edge_prompt *prompt;
	bool is_listed; /* in flight, and its answer not proven begun */
	struct edge_trial *trial; /* granted for it, or NULL */
	char *endpoint;
	uint64_t incarnation;
	char *address;
};

struct edge_parts *edge_parts_new(struct edge *edge);
void edge_parts_free(struct edge_parts *ctx);
void edge_parts_read(struct edge_parts *ctx, struct edge_prompt *prompt,
		     const struct wire_request *request,
		     const struct hio_request *message);
void edge_parts_forget(struct edge_prompt *prompt);
bool edge_parts_are_sound(struct edge_parts *ctx,
			  const struct edge_prompt *prompt);
struct sus_decision edge_parts_decide(struct edge_parts *ctx,
				      const struct edge_prompt *prompt);
void edge_parts_try(struct edge_parts *ctx, struct edge_prompt *prompt,
		    const struct sus_decision *decision,
		    const struct bal_endpoint *endpoint, int64_t timeout_us);
void edge_parts_sent(struct edge_parts *ctx, struct edge_attempt *attempt,
		     struct edge_prompt *prompt,
		     const struct bal_endpoint *endpoint);
void edge_parts_begun(struct edge_parts *ctx, struct edge_attempt *attempt,
		      int64_t started_us);
void edge_parts_answered(struct edge_parts *ctx, struct edge_attempt *attempt,
			 int64_t started_us);
bool edge_parts_broken(struct edge_parts *ctx, struct edge_attempt *attempt);
void edge_parts_not_run(struct edge_attempt *attempt);
void edge_parts_ended(struct edge_attempt *attempt);
void edge_parts_view_changed(struct edge_parts *ctx);

/* edge_detour.c */
/* What a helper did with an attempt. */
enum edge_detour_outcome {
	DETOUR_NONE,		 /* it did not say, or was not reached */
	DETOUR_ANSWER,		 /* the answer is the endpoint's */
	DETOUR_UNREACHED,	 /* not sent: no connection to the endpoint */
	DETOUR_NO_PATH,		 /* not sent: it has lost its path too */
	DETOUR_UNKNOWN_ENDPOINT, /* not sent: not in its view, or leaves */
	DETOUR_REFUSED,		 /* not sent: it takes none */
	DETOUR_BROKEN,		 /* sent; there is no answer */
};

struct edge_detour *edge_detour_new(struct edge *edge);
void edge_detour_free(struct edge_detour *ctx);
void edge_detour_stop(struct edge_detour *ctx);
void edge_detour_run(struct edge_detour *ctx);
void edge_detour_view_changed(struct edge_detour *ctx);
void edge_detour_connected(struct edge_detour *ctx, const char *endpoint);
void edge_detour_unreached(struct edge_detour *ctx, const char *endpoint);
const Dsp__Node *edge_detour_helper(struct edge_detour *ctx,
				    const char *endpoint,
				    const char *const *avoid);
bool edge_detour_may_help(const struct edge_detour *ctx, const char *endpoint);
bool edge_detour_is_lost(const struct edge_detour *ctx, const char *endpoint);
char *edge_detour_begin(struct edge_detour *ctx, GString *head,
			const Dsp__Node *helper,
			const struct bal_endpoint *endpoint, int64_t timeout_us,
			int64_t reuse_idle_us);
void edge_detour_end(struct edge_detour *ctx, const char *helper);
enum edge_detour_outcome edge_detour_read(const struct hio_fields *fields);
void edge_detour_result(struct edge_detour *ctx, const char *endpoint,
			const char *helper, enum edge_detour_outcome outcome);
bool edge_detour_is_field(const char *name);
void edge_detour_request(void *data, struct hio_exchange *exchange);
void edge_detour_sender_left(void *data, struct hio_exchange *exchange);

/* edge_prompt.c */
enum edge_slot_state {
	EDGE_SLOT_NONE, /* not asked for */
	EDGE_SLOT_ASKED,
	EDGE_SLOT_GIVEN,
	EDGE_SLOT_ENDED, /* used, or the entry decides by itself */
};

/* The engine and time that a coordinator assigned to a prompt; embedded in its
 * request. */
struct edge_slot {
	TAILQ_ENTRY(edge_slot) link; /* while it is asked for */
	struct edge_slots *owner;
	enum edge_slot_state state;
	const char *request_id; /* for log lines */
	uint64_t id;		/* of the ask */
	int64_t asked_us;
	uint32_t wait_max_ms;
	char *node;	/* the coordinator */
	char *endpoint; /* NULL: none was assigned */
	uint64_t incarnation;
	int64_t at_us; /* when to send */
	bool used;     /* by the send that follows */
};

struct edge_slots *edge_slots_new(struct edge *edge);
void edge_slots_free(struct edge_slots *ctx);
void edge_slots_receive(void *data, const Dsp__Envelope *message);
void edge_slots_view_changed(struct edge_slots *ctx);
void edge_slots_run(struct edge_slots *ctx);
bool edge_slot_ask(struct edge_slots *ctx, struct edge_slot *slot,
		   Dsp__PromptAsk *ask);
void edge_slots_sent(struct edge_slots *ctx, const char *model,
		     const struct bal_endpoint *endpoint, uint32_t tokens);
void edge_slot_clear(struct edge_slot *slot);

/* edge_version.c */
enum edge_version_state {
	EDGE_VERSION_NONE, /* not looked for */
	EDGE_VERSION_ASKED,
	EDGE_VERSION_KNOWN,
	EDGE_VERSION_UNKNOWN,	 /* nobody knows, and there are several */
	EDGE_VERSION_UNANSWERED, /* the leader was not reached */
};

/* The version that a stream must be resumed with; embedded in its request. */
struct edge_version {
	TAILQ_ENTRY(edge_version) link; /* while it is asked for */
	struct edge_versions *owner;
	enum edge_version_state state;
	struct edge_version **asked; /* its place in the question; NULL: none */
	const char *service;
	uint64_t digest;
	char *software; /* owned; NULL: any */
};

struct edge_versions *edge_versions_new(struct edge *edge);
void edge_versions_free(struct edge_versions *ctx);
void edge_versions_view_changed(struct edge_versions *ctx);
void edge_versions_begun(struct edge_versions *ctx, const char *request_id,
			 const char *service, const char *software,
			 int64_t until_us);
void edge_versions_keep(struct edge_versions *ctx,
			const Dsp__StreamCopies *copies);
bool edge_versions_are_mixed(const struct edge_versions *ctx,
			     const char *service);
void edge_version_find(struct edge_versions *ctx, struct edge_version *item,
		       const char *begun_by, const char *service);
void edge_version_clear(struct edge_version *item);
void edge_versions_set_gauges(struct edge_versions *ctx);

/* fwd.c */
/* What became of the request for a grant. */
enum fwd_trial {
	FWD_GRANTED, /* or no grant is needed */
	FWD_DENIED,
	FWD_LATER, /* the endpoint or the run of another one prevents it */
};
void fwd_quota_decided(struct tok_item *item);
void fwd_crash_checked(struct edge_prompt *prompt, bool crashed);
void fwd_trial_decided(struct edge_prompt *prompt, enum fwd_trial outcome);
void fwd_version_found(struct edge_version *item);
void fwd_slot_decided(struct edge_slot *slot);
void fwd_request(void *data, struct hio_exchange *exchange);
void fwd_caller_left(void *data, struct hio_exchange *exchange);
/* Processes requests held for the first view. */
void fwd_run_held(struct edge *ctx);
/* Tries the queued requests. */
void fwd_run_queue(struct edge *ctx);
void fwd_drain(struct edge *ctx);
void fwd_abort_all(struct edge *ctx);

/* agent.c */
struct agent *agent_new(struct edge *ctx);
void agent_free(struct agent *ctx);
void agent_tick(struct agent *ctx, int64_t now_us);
void agent_view_changed(struct agent *ctx);
void agent_pace(struct agent *ctx, const Dsp__Pace *pace);
void agent_demand(struct agent *ctx, const Dsp__Demand *demand);

#endif
