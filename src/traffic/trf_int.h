#ifndef TRAFFIC_TRF_INT_H
#define TRAFFIC_TRF_INT_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <sys/queue.h>

#include "core/rt.h"
#include "traffic/trf.h"
#include "traffic/up.h"

/* Internals shared by the files of src/traffic and by their tests. */

/* Bytes of a request or attempt id, with its NUL. */
#define TRF_ID_MAX 256
/* Bytes of a name in a path, or of an Idempotency-Key. */
#define TRF_KEY_MAX 200

/* Functions of the control thread that the traffic threads call; see
 * node/ctl.h. Tests pass functions of their own. */
struct trf_ctl_ops {
	Dsp__CommandResult *(*submit)(struct ctl *ctx,
				      const Dsp__Command *command,
				      int64_t timeout_us, GError **err);
	void (*announce)(struct ctl *ctx, const Dsp__Announcement *announced);
	void (*demand)(struct ctl *ctx, const Dsp__Demand *demand);
	void (*drain)(struct ctl *ctx);
	bool (*replace)(struct ctl *ctx, uint64_t old_replica, GError **err);
	Dsp__AnswerReply *(*ask_answer)(struct ctl *ctx, const char *node,
					const Dsp__AnswerQuery *query,
					int64_t timeout_us);
	struct view *(*view)(struct ctl *ctx);
	struct ctl_state (*state)(struct ctl *ctx);
	char *(*status_json)(struct ctl *ctx);
};

bool trf_start_with(struct trf *ctx, const struct trf_ctl_ops *ops,
		    struct ctl *ctl, GError **err);

/* Whether a request that is refused or fails has run on an endpoint. */
enum trf_ran {
	TRF_NOT_RUN, /* no endpoint ran it, nor will one for this attempt */
	TRF_RAN,
	TRF_RAN_UNKNOWN,
};

/* ---- Table of running and recently finished answers (trf_answer.c) ---- */

struct trf_answer {
	TAILQ_ENTRY(trf_answer) link; /* in trf_answers.finished */
	char *team;
	char *id;
	char *key; /* Idempotency-Key, or NULL */
	_Atomic int refs;
	/* trf_answers.lock guards link and all fields below. */
	bool finished;
	bool dropped; /* the body is not kept: memory limit, or evicted */
	uint32_t status;
	char *content_type;
	GString *body;
	int64_t finished_us;
};

struct trf_answers {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* broadcast when an answer finishes */
	GHashTable *index;	/* "team\nid" and "team\nkey" -> answer; owns
				 * a reference per entry */
	TAILQ_HEAD(, trf_answer) finished; /* oldest first */
};

struct trf_answer *trf_answer_begin(struct trf *ctx, const char *team,
				    const char *id, const char *key);
void trf_answer_append(struct trf *ctx, struct trf_answer *answer,
		       const char *bytes, size_t len);
void trf_answer_finish(struct trf *ctx, struct trf_answer *answer,
		       uint32_t status, const char *content_type);
void trf_answer_unref(struct trf_answer *answer);
Dsp__AnswerReply *trf_answer_reply(struct trf *ctx, const char *team,
				   const char *id);
void trf_answers_init(struct trf *ctx);
void trf_answers_clear(struct trf *ctx);

/* Accounting of the memory for bodies and answers. */
bool trf_memory_reserve(struct trf *ctx, size_t bytes);
void trf_memory_release(struct trf *ctx, size_t bytes);
void trf_memory_trim(struct trf *ctx);

/* ---- Routing (trf_route.c) ---- */

/* Endpoint of an attempt: a copy that stays valid when the view changes. */
struct trf_target {
	char id[64];
	char address[128];
	uint64_t incarnation;
	char software[256];
	bool cancel;
	bool resume;
	bool priorities;
};

/* Routing state of one request. trf.rt_lock guards it while it is queued. */
struct trf_waiter {
	TAILQ_ENTRY(trf_waiter) link;
	pthread_cond_t wake;
	struct rt_ticket *ticket;
	struct rt_decision decision;
	struct trf_target target;
	const char *class_key;
	bool resolved; /* not in the queue: decided, or the wait has ended */
};

/* Called about once a second of waiting; false ends the wait. */
typedef bool (*trf_wait_tick)(void *data);

void trf_route_submit(struct trf *ctx, struct trf_waiter *w,
		      const struct rt_request *request);
void trf_route_retry(struct trf *ctx, struct trf_waiter *w);
bool trf_route_wait(struct trf *ctx, struct trf_waiter *w, int64_t deadline_us,
		    trf_wait_tick tick, void *data);
void trf_route_done(struct trf *ctx, struct trf_waiter *w, uint32_t tokens,
		    bool success);
void trf_route_failed(struct trf *ctx, const struct trf_target *target);
void trf_route_hint(struct trf *ctx, const struct trf_target *target,
		    const struct wire_hint *hint);
enum hint_bar trf_route_bar(struct trf *ctx, const char *endpoint,
			    uint64_t incarnation);
void trf_route_first_token(struct trf *ctx, struct trf_waiter *w);
void trf_route_wake(struct trf *ctx);
void *trf_route_thread(void *data);

/* ---- Background work (trf_bg.c) ---- */

enum trf_job_kind {
	/* Cancel an attempt at its endpoint (DELETE). */
	TRF_JOB_CANCEL,
	/* Commit the outcome of a claim. */
	TRF_JOB_FINISH_CLAIM,
	/* Release the claim of an abandoned attempt. */
	TRF_JOB_RELEASE_CLAIM,
	/* Commit that a suspect request has run without a crash. */
	TRF_JOB_CLEAR_SUSPECT,
	/* Report a crash of the endpoint once one is detected. */
	TRF_JOB_CHECK_CRASH,
};

/* A job holds copies of all that it needs; which fields are set depends on its
 * kind. */
struct trf_job {
	TAILQ_ENTRY(trf_job) link;
	enum trf_job_kind kind;
	char *team;
	char *key;
	char *attempt;
	char *address;
	char *endpoint;
	uint64_t incarnation;
	uint8_t digest[16];
	Dsp__ClaimState state;
	uint32_t status;
	char *content_type;
	uint8_t *body;
	size_t body_len;
	int64_t not_before_us;
	int64_t expires_us; /* not tried again after this */
};

/* A list of jobs and the thread that works on them. */
struct trf_bg {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	TAILQ_HEAD(, trf_job) jobs;
	pthread_t thread;
	uint32_t n_jobs;
	bool stop;
	bool running;
};

void trf_bg_start(struct trf *ctx, struct trf_bg *bg, void *(*run)(void *));
void trf_bg_stop(struct trf_bg *bg);
void trf_bg_add(struct trf *ctx, struct trf_job *job);
void trf_job_free(struct trf_job *job);
void *trf_bg_claims_thread(void *data);
void *trf_bg_cancels_thread(void *data);
bool trf_claim_finish(struct trf *ctx, const struct trf_job *job,
		      int64_t timeout_us);

/* ---- Traffic context ---- */

struct trf {
	const struct set *settings;
	struct clk *clock;
	struct met *metrics;
	struct up *up;
	const struct trf_ctl_ops *ops; /* set by trf_start_with() */
	struct ctl *ctl;
	struct mg_context *http;

	pthread_mutex_t view_lock;
	struct view *view; /* guarded by view_lock */

	pthread_mutex_t rt_lock; /* guards rt, waiters and the fields below */
	struct rt *rt;
	TAILQ_HEAD(, trf_waiter) waiters;
	GHashTable *waiting_per_class; /* class key -> number */
	pthread_cond_t rt_wake;
	pthread_t rt_thread;
	bool rt_changed; /* waiting requests are to be polled again */
	bool rt_stop;

	struct trf_answers answers;
	struct trf_bg claims_bg;
	struct trf_bg cancels_bg;

	uint64_t boot;
	_Atomic uint64_t counter; /* for request ids */
	_Atomic uint64_t memory_used;
	_Atomic uint64_t memory_peak; /* since the last trim */
	_Atomic uint32_t in_flight;
	_Atomic uint32_t connections;
	_Atomic bool stopping;
	_Atomic bool drain_requested;
	uint32_t threads;
};

struct view *trf_view(struct trf *ctx);
int64_t trf_now(const struct trf *ctx);

/* ---- HTTP (api_http.c) ---- */

/* One HTTP request; lives on the stack of its worker thread. */
struct api {
	struct trf *ctx;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	const char *path;
	char id[TRF_ID_MAX];
	int64_t arrival_us;
	char *body;
	size_t body_len;
	size_t reserved_bytes; /* with trf_memory_reserve() */
	bool body_done;
	bool close;
	bool chunked;
	bool replied;
	bool disconnected; /* the caller's connection broke */
	/* The claim of the request's key has not been read yet. An earlier
	 * attempt under the key may have run, so no refusal may say not_run. */
	bool claim_unread;
	struct trf_answer *answer; /* stores the reply; or NULL */
};

const char *api_header(const struct api *api, const char *name);
void api_reply(struct api *api, int status, const char *content_type,
	       const char *extra_headers, const char *body, size_t len);
void api_json(struct api *api, int status, const char *extra_headers,
	      json_t *object);
void api_error(struct api *api, int status, const char *code, enum trf_ran ran,
	       uint32_t retry_after_s, const char *format, ...)
	__attribute__((format(printf, 6, 7)));
json_t *api_error_json(const char *code, const char *message, enum trf_ran ran);
/* Reads the whole body; false after an error reply. */
bool api_read_body(struct api *api);
void api_stream_head(struct api *api, const char *content_type);
void api_stream_write(struct api *api, const char *bytes, size_t len);
void api_stream_end(struct api *api);
json_t *trf_parse_json(const char *text, size_t len, json_error_t *where);
/* Decodes one percent-encoded path segment; NULL when it is malformed. */
char *api_percent_decode(const char *segment, size_t len);
bool api_is_valid_name(const char *name);

/* ---- Handlers ---- */

void api_completion(struct api *api, bool chat);
void api_service(struct api *api, const char *rest);
void api_models(struct api *api);
void api_request_get(struct api *api, const char *id);
void api_entries(struct api *api);
void api_document_put(struct api *api, const char *team);
void api_document_get(struct api *api, const char *team);
void api_status(struct api *api);
void api_drain(struct api *api);
void api_replace(struct api *api);
void api_metrics(struct api *api);
void api_healthz(struct api *api);
void api_announce(struct api *api);

/* ---- Requests of callers ---- */

/* A validated request of a caller. */
struct trf_request {
	struct api *api;
	struct trf *ctx;
	struct view *view;
	const struct view_document *document;
	const struct doc_class *class_limits;
	const char *team;
	const char *service;
	char *model;	 /* NULL: plain service */
	char *adapter;	 /* NULL: none */
	char *class_key; /* team \n class */
	char *labels;	 /* metric labels */
	const char *method;
	const char *path; /* below the endpoint's address, with the query */
	char *body;	  /* to the endpoint; owned by the caller */
	size_t body_len;
	const char *content_type;
	uint8_t digest[16];
	bool suspect; /* an endpoint crashed while it ran this request */
	bool chat;
	bool stream;	     /* the caller asked for a stream */
	int64_t deadline_us; /* of the whole answer */
	struct rt_request route;
	uint32_t attempts;
	bool may_have_run; /* an attempt may have run on an endpoint */
	bool has_run;	   /* an endpoint has sent events */
};

/* Run an idempotent request and answer the caller (trf_run.c, trf_plain.c). */
void trf_run_model(struct trf_request *r);
void trf_run_plain(struct trf_request *r);
/* Run a non-idempotent request and answer the caller (trf_claim.c). */
void trf_reply_outcome(struct api *api, const Dsp__Claim *claim);
void trf_run_claimed(struct trf_request *r, const char *key);

bool trf_has_ready_copy(const struct view *view, const char *team,
			const char *model, const char *adapter,
			const char *except);
void trf_refuse(struct trf_request *r, const struct rt_decision *decision,
		bool timed_out);
void trf_attempt_id(struct trf_request *r, char out[TRF_ID_MAX]);
void trf_record_outcome(struct trf_request *r, const char *outcome,
			int64_t service_us, bool refused, bool late);

/*
 * Suspects (trf_suspect.c): requests that were in flight when an endpoint
 * crashed. A suspect runs only with a committed grant for one endpoint, and an
 * endpoint has at most one such grant at a time.
 */
enum trf_grant {
	TRF_GRANT_YES,
	TRF_GRANT_QUARANTINED, /* the request must not run any more */
	TRF_GRANT_NO,	       /* not granted in time */
};

enum trf_grant trf_wait_for_grant(struct trf_request *r,
				  const struct trf_target *target,
				  const char *attempt, trf_wait_tick tick,
				  void *data);
void trf_suspect_done(struct trf_request *r, const char *attempt);
bool trf_crashed(struct trf *ctx, const struct trf_target *target);
bool trf_report_crash(struct trf *ctx, const char *endpoint,
		      uint64_t incarnation, const uint8_t digest[16]);
void trf_watch_for_crash(struct trf_request *r,
			 const struct trf_target *target);
enum trf_ran trf_ran_of(const struct trf_request *r);

/* Answer of a plain service, buffered until it is complete. */
struct trf_buffered {
	struct trf *ctx;
	const struct trf_target *target;
	const char *attempt;
	int status;
	char *content_type;
	GString *body;
	size_t reserved_bytes; /* with trf_memory_reserve() */
	bool wrong_attempt;    /* X-Request-Id names another attempt */
	bool too_large;
};

bool trf_call_plain(struct trf_request *r, const struct trf_target *target,
		    const char *attempt, bool fresh,
		    struct trf_buffered *answer, GError **err);
void trf_buffered_clear(struct trf_buffered *answer);

#endif
