#include "node/ctl_int.h"

#include "base/log.h"
#include "traffic/up.h"

#include <jansson.h>
#include <string.h>

/* Delay of unload orders, as a multiple of report_interval_ms. */
#define UNLOAD_DELAY_INTERVALS 2
/* Interval between checks of the pending orders while nothing changes. */
#define RUN_INTERVAL_US 200000
/* An endpoint answers an order before it executes it, so these limits are
 * short: the only sender thread must not wait long for an unresponsive
 * endpoint. */
#define CONNECT_TIMEOUT_US 500000
#define ANSWER_TIMEOUT_US CTL_S_US
/* Time for an endpoint to report orders that an earlier leader may have sent,
 * before this leader sends them. */
#define REPORT_WAIT_US (2LL * CTL_S_US)
/* An endpoint that did not answer gets no order for this long, so that it does
 * not delay the orders of the others. */
#define UNRESPONSIVE_PAUSE_US (2LL * CTL_S_US)

struct send_job {
	STAILQ_ENTRY(send_job) link;
	uint64_t id;
	uint64_t term;
	char *url;  /* owned */
	char *body; /* owned */
};

struct ctl_sender {
	struct ctl *ctl;
	struct up *up;	       /* sender thread */
	GHashTable *failed_us; /* sender thread; url -> time of the failure */
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	STAILQ_HEAD(send_jobs, send_job) jobs; /* lock */
	bool stop;			       /* lock */
	/* End of the leader's lease; no order is sent later. */
	_Atomic int64_t lease_until_us;
};

/* ---- Sender thread ---- */

static void on_head(void *data, int status, const char *content_type)
{
	(void)content_type;
	*(int *)data = status;
}

static enum ctl_order_outcome outcome_of(int status)
{
	if (status == 200)
		return CTL_ORDER_DONE;
	if (status == 202)
		return CTL_ORDER_ACCEPTED;
	if (status == 409)
		return CTL_ORDER_STALE_FENCE;
	if (status >= 400 && status < 500 && status != 408 && status != 429)
		return CTL_ORDER_REFUSED;
	return CTL_ORDER_IN_DOUBT;
}

static bool is_paused(struct ctl_sender *sender, const struct send_job *job,
		      int64_t now_us)
{
	const int64_t *failed_us =
		g_hash_table_lookup(sender->failed_us, job->url);

	if (!failed_us)
		return false;
	if (now_us - *failed_us < UNRESPONSIVE_PAUSE_US)
		return true;
	g_hash_table_remove(sender->failed_us, job->url);
	return false;
}

static enum ctl_order_outcome send_order(struct ctl_sender *sender,
					 const struct send_job *job)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	int status = 0;
	int64_t now_us;
	GError *error = NULL;
	enum ctl_order_outcome outcome;
	struct up_request request = {
		.method = "POST",
		.url = job->url,
		.headers = headers,
		.body = job->body,
		.body_len = strlen(job->body),
		.fresh = true,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.first_byte_timeout_us = ANSWER_TIMEOUT_US,
		.total_timeout_us = CONNECT_TIMEOUT_US + ANSWER_TIMEOUT_US,
		.data = &status,
		.on_head = on_head,
	};

	now_us = clk_now_us(sender->ctl->clock);
	if (now_us > sender->lease_until_us || is_paused(sender, job, now_us))
		return CTL_ORDER_NOT_SENT;
	if (up_perform(sender->up, &request, &error))
		return outcome_of(status);
	now_us = clk_now_us(sender->ctl->clock);
	g_hash_table_replace(sender->failed_us, g_strdup(job->url),
			     g_memdup2(&now_us, sizeof(now_us)));
	outcome = g_error_matches(error, UP_ERROR, UP_ERROR_NOT_SENT)
			  ? CTL_ORDER_NOT_SENT
			  : CTL_ORDER_IN_DOUBT;
	LOG_EVENT_INFO("ctl", "order_unanswered",
		       "order=%" G_GUINT64_FORMAT " url=%s reason=\"%s\"",
		       job->id, job->url, error ? error->message : "");
	g_clear_error(&error);
	return outcome;
}

static void job_free(struct send_job *job)
{
	g_free(job->url);
	g_free(job->body);
	g_free(job);
}

static struct send_job *next_job(struct ctl_sender *sender)
{
	struct send_job *job = NULL;

	pthread_mutex_lock(&sender->lock);
	while (!sender->stop && STAILQ_EMPTY(&sender->jobs))
		pthread_cond_wait(&sender->wake, &sender->lock);
	if (!sender->stop) {
		job = STAILQ_FIRST(&sender->jobs);
		STAILQ_REMOVE_HEAD(&sender->jobs, link);
	}
	pthread_mutex_unlock(&sender->lock);
	return job;
}

static void *run_sender(void *data)
{
	struct ctl_sender *sender = data;
	struct send_job *job;
	struct ctl_job *result;

	while ((job = next_job(sender))) {
		result = g_new0(struct ctl_job, 1);
		result->kind = CTL_JOB_ORDER;
		result->order.id = job->id;
		result->order.term = job->term;
		result->order.outcome = send_order(sender, job);
		ctl_post(sender->ctl, result);
		job_free(job);
	}
	return NULL;
}

/* Starts the sender thread; returns NULL when it cannot be created. */
struct ctl_sender *ctl_order_open(struct ctl *ctx)
{
	struct ctl_sender *sender = g_new0(struct ctl_sender, 1);

	sender->ctl = ctx;
	sender->up = up_new();
	sender->failed_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pthread_mutex_init(&sender->lock, NULL);
	pthread_cond_init(&sender->wake, NULL);
	STAILQ_INIT(&sender->jobs);
	if (pthread_create(&sender->thread, NULL, run_sender, sender)) {
		LOG_EVENT_ERROR("ctl", "no_order_sender", "node=%s",
				ctx->set->id);
		up_free(sender->up);
		g_hash_table_destroy(sender->failed_us);
		g_free(sender);
		return NULL;
	}
	return sender;
}

static void drop_jobs(struct ctl_sender *sender)
{
	struct send_job *job;

	while (!STAILQ_EMPTY(&sender->jobs)) {
		job = STAILQ_FIRST(&sender->jobs);
		STAILQ_REMOVE_HEAD(&sender->jobs, link);
		job_free(job);
	}
}

/* Waits for the order that is being sent, ends the sender thread and frees it;
 * NULL is allowed. */
void ctl_order_close(struct ctl_sender *sender)
{
	if (!sender)
		return;
	pthread_mutex_lock(&sender->lock);
	sender->stop = true;
	pthread_cond_signal(&sender->wake);
	pthread_mutex_unlock(&sender->lock);
	pthread_join(sender->thread, NULL);
	drop_jobs(sender);
	up_free(sender->up);
	g_hash_table_destroy(sender->failed_us);
	pthread_cond_destroy(&sender->wake);
	pthread_mutex_destroy(&sender->lock);
	g_free(sender);
}

/* ---- Control thread ---- */

/* Drops the orders that were not sent yet; the next leader sends them. */
void ctl_order_stop_sending(struct ctl *ctx)
{
	ctx->sender->lease_until_us = 0;
	pthread_mutex_lock(&ctx->sender->lock);
	drop_jobs(ctx->sender);
	pthread_mutex_unlock(&ctx->sender->lock);
}

static const char *kind_name(Dsp__OrderKind kind)
{
	switch (kind) {
	case DSP__ORDER_KIND__ORDER_LOAD:
		return "load";
	case DSP__ORDER_KIND__ORDER_UNLOAD:
		return "unload";
	case DSP__ORDER_KIND__ORDER_ROLE:
		return "role";
	default:
		return "fence";
	}
}

static const char *role_name(Dsp__EndpointRole role)
{
	switch (role) {
	case DSP__ENDPOINT_ROLE__ROLE_PREFILL:
		return "prefill";
	case DSP__ENDPOINT_ROLE__ROLE_DECODE:
		return "decode";
	default:
		return "both";
	}
}

static char *order_body(const Dsp__Order *o)
{
	json_t *body = json_pack(
		"{sI sI sI ss ss ss ss si si si ss}", "order",
		(json_int_t)o->id, "fence", (json_int_t)o->id, "incarnation",
		(json_int_t)o->incarnation, "kind", kind_name(o->kind), "model",
		o->model, "version", o->version, "adapter", o->adapter,
		"first_accelerator", (int)o->first_accelerator, "accelerators",
		(int)o->accelerators, "memory_mb", (int)o->memory_mb, "role",
		role_name(o->role));
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}

static void queue_order(struct ctl *ctx, const Dsp__Order *o,
			const Dsp__Endpoint *endpoint)
{
	struct ctl_sender *sender = ctx->sender;
	struct send_job *job = g_new0(struct send_job, 1);
	char *body = order_body(o);

	job->id = o->id;
	job->term = raft_term(ctx->raft);
	job->url = g_strdup_printf("%s/orders", endpoint->address);
	job->body = g_strdup(body);
	free(body); /* NOLINT: allocated by Jansson */
	pthread_mutex_lock(&sender->lock);
	STAILQ_INSERT_TAIL(&sender->jobs, job, link);
	pthread_cond_signal(&sender->wake);
	pthread_mutex_unlock(&sender->lock);
}

static bool may_duplicate(struct ctl *ctx, const Dsp__Endpoint *endpoint)
{
	const struct view_document *document =
		view_document(ctx->view, endpoint->team);
	const struct doc_service *service = NULL;

	if (document && document->parsed)
		service = doc_service(document->parsed, endpoint->service);
	return !service || service->orders_may_duplicate;
}

static struct ctl_order *order_get(struct ctl *ctx, uint64_t id)
{
	struct ctl_order *track = g_hash_table_lookup(ctx->orders, &id);

	if (track)
		return track;
	track = g_new0(struct ctl_order, 1);
	track->id = id;
	g_hash_table_insert(ctx->orders, g_memdup2(&id, sizeof(id)), track);
	return track;
}

/* Handles the commit of an order that this leader proposed. */
void ctl_order_committed(struct ctl *ctx, const Dsp__CommandResult *result)
{
	struct ctl_order *track;

	if (result->code != DSP__RESULT_CODE__RESULT_OK || !result->order) {
		met_count(ctx->met, "dandelionspar_orders_rejected", "", 1);
		LOG_EVENT_WARN("ctl", "order_rejected", "reason=\"%s\"",
			       result->message);
		return;
	}
	met_count(ctx->met, "dandelionspar_orders", "", 1);
	if (!ctx->ready_leader)
		return;
	track = order_get(ctx, result->order->id);
	track->this_term = true;
	/* Entries dispatch requests to the copy until they receive the view
	 * that marks it as unloading, directly or over one relay. */
	if (result->order->kind == DSP__ORDER_KIND__ORDER_UNLOAD)
		track->next_us =
			ctx->now_us + UNLOAD_DELAY_INTERVALS * 1000LL *
					      ctx->set->report_interval_ms;
}

static void run_order(struct ctl *ctx, const Dsp__Order *o)
{
	const Dsp__Endpoint *endpoint = st_endpoint(ctx->st, o->endpoint);
	struct ctl_order *track = g_hash_table_lookup(ctx->orders, &o->id);

	if (!track) {
		/* An earlier leader may have sent it. */
		track = order_get(ctx, o->id);
		track->next_us = ctx->now_us + REPORT_WAIT_US;
	}
	track->seen = true;
	if (track->queued || ctx->now_us < track->next_us)
		return;
	if (!endpoint || endpoint->incarnation != o->incarnation ||
	    endpoint->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
		return;
	track->queued = true;
	queue_order(ctx, o, endpoint);
}

/* Returns true when an order was not pending in this pass, so that its record
 * is removed; resets the mark for the next pass. */
static gboolean reset_seen(gpointer key, gpointer value, gpointer data)
{
	struct ctl_order *track = value;
	bool seen = track->seen || track->queued;

	(void)key;
	(void)data;
	track->seen = false;
	return !seen;
}

/* Sends the pending orders that are due; only on the leader. */
void ctl_order_run(struct ctl *ctx)
{
	const Dsp__Order **orders;
	size_t n;

	if (!ctx->ready_leader || !ctx->sender)
		return;
	ctx->sender->lease_until_us =
		raft_quorum_contact_us(ctx->raft) +
		(int64_t)ctx->set->election_timeout_ms * 1000;
	if (!ctx->orders_dirty && ctx->now_us < ctx->orders_due_us)
		return;
	ctx->orders_dirty = false;
	ctx->orders_due_us = ctx->now_us + RUN_INTERVAL_US;
	n = st_orders_pending(ctx->st, &orders);
	for (size_t i = 0; i < n; i++)
		run_order(ctx, orders[i]);
	g_free(orders);
	g_hash_table_foreach_remove(ctx->orders, reset_seen, NULL);
}

static void finish_order(struct ctl *ctx, uint64_t id, Dsp__OrderState state)
{
	const struct ctl_order *track = g_hash_table_lookup(ctx->orders, &id);
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__OrderFinish finish = DSP__ORDER_FINISH__INIT;
	struct ctl_waiter *waiter = ctl_waiter_new(CTL_WAIT_NONE);

	finish.order = id;
	finish.state = state;
	/* A send in progress may still arrive after this answer, so it
	 * counts. */
	finish.sent_once =
		track && track->this_term && track->sends + track->queued == 1;
	command.body_case = DSP__COMMAND__BODY_ORDER_FINISH;
	command.order_finish = &finish;
	if (!ctl_raft_propose(ctx, &command, waiter))
		g_free(waiter);
}

static int64_t resend_delay_us(struct ctl *ctx, const struct ctl_order *track,
			       const Dsp__Order *o)
{
	const Dsp__Endpoint *endpoint = st_endpoint(ctx->st, o->endpoint);
	bool fencing =
		endpoint && endpoint->features && endpoint->features->fencing;
	struct ctl_order_sends sends = {
		.sends = track->sends,
		.failures = track->failures,
		.accepted = track->accepted,
		.no_duplicate = o->kind == DSP__ORDER_KIND__ORDER_LOAD &&
				!fencing && endpoint &&
				!may_duplicate(ctx, endpoint),
	};

	return ctl_rule_resend_us(&sends);
}

/* Handles the outcome of one send: finishes the order or schedules the next
 * send. */
void ctl_order_sent(struct ctl *ctx, uint64_t id, uint64_t term,
		    enum ctl_order_outcome outcome)
{
	struct ctl_order *track = g_hash_table_lookup(ctx->orders, &id);
	const Dsp__Order *o;

	if (!ctx->ready_leader || !track || term != raft_term(ctx->raft))
		return;
	track->queued = false;
	if (outcome != CTL_ORDER_NOT_SENT)
		track->sends++;
	o = st_order(ctx->st, id);
	if (!o || o->state != DSP__ORDER_STATE__ORDER_PENDING)
		return;
	switch (outcome) {
	case CTL_ORDER_DONE:
		finish_order(ctx, id, DSP__ORDER_STATE__ORDER_DONE);
		break;
	case CTL_ORDER_REFUSED:
		finish_order(ctx, id, DSP__ORDER_STATE__ORDER_REFUSED);
		break;
	case CTL_ORDER_STALE_FENCE:
		/* The refusal of a second send does not tell whether the first
		 * was executed; the residency report does. */
		if (track->this_term && track->sends == 1)
			finish_order(ctx, id, DSP__ORDER_STATE__ORDER_REFUSED);
		else
			track->failures++;
		break;
	case CTL_ORDER_ACCEPTED:
		track->accepted = true;
		break;
	case CTL_ORDER_IN_DOUBT:
	case CTL_ORDER_NOT_SENT:
		track->failures++;
		break;
	}
	track->next_us = ctx->now_us + resend_delay_us(ctx, track, o);
}

/* Handles the result of an order that an endpoint announced. */
void ctl_order_result(struct ctl *ctx, const char *endpoint,
		      const Dsp__OrderResult *result)
{
	const Dsp__Order *o = st_order(ctx->st, result->order);

	if (!o || o->state != DSP__ORDER_STATE__ORDER_PENDING ||
	    strcmp(o->endpoint, endpoint) != 0)
		return;
	if (result->state == DSP__ORDER_STATE__ORDER_DONE ||
	    result->state == DSP__ORDER_STATE__ORDER_REFUSED)
		finish_order(ctx, result->order, result->state);
}

/*
 * Finishes the loads of the copies that an endpoint announced. An engine
 * without fencing names the order with each copy, which tells that the load was
 * executed; its residency report alone does not finish a load that must not be
 * duplicated.
 */
void ctl_order_copies(struct ctl *ctx, const Dsp__Endpoint *endpoint)
{
	Dsp__OrderResult result = DSP__ORDER_RESULT__INIT;

	if (endpoint->features && endpoint->features->fencing)
		return;
	result.state = DSP__ORDER_STATE__ORDER_DONE;
	for (size_t i = 0; i < endpoint->n_copies; i++) {
		if (!endpoint->copies[i]->ready || !endpoint->copies[i]->order)
			continue;
		result.order = endpoint->copies[i]->order;
		ctl_order_result(ctx, endpoint->id, &result);
	}
}
