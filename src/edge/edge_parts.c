#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/msg.h"

/*
 * Requests and prompt parts that crash endpoints. An attempt that breaks off
 * before its answer is proven to have begun may have crashed its endpoint. If
 * the endpoint's process has ended, such attempts there and their parts are
 * reported, once for each process. What is in doubt is refused, waits, or runs
 * with a grant.
 */

/* Time limit of the connection by which a crash is confirmed; longer than a
 * round trip between sites. */
#define PROBE_TIMEOUT_US 150000
/* A view that arrives within this time after the break may confirm the crash,
 * too. */
#define CONFIRM_US (3 * EDGE_S_US)
/* Processes that are remembered as crashed, or suspected to be. */
#define CHECKS_MAX 64
/* Parts that are named in one log line. */
#define LOG_DIGESTS_MAX 12
/* Time limit of the command after a granted run. */
#define DONE_TIMEOUT_US (2 * EDGE_S_US)
/* Endpoints that are named as crashed by a part. */
#define LOG_CRASHES_MAX 8
/* Grants asked for or in use. */
#define TRIALS_MAX 64
/* An endpoint that serves this long after a run whose answer was not proven to
 * have begun has survived what it did of it. */
#define TRIAL_CHECK_US EDGE_S_US

/* An endpoint's process at which attempts have broken off. */
struct edge_check {
	TAILQ_ENTRY(edge_check) link;
	struct edge *edge;
	char *endpoint;
	uint64_t incarnation;
	int64_t broke_us;
	struct hio_probe *probe; /* NULL: none in progress */
	bool reported;
	GPtrArray *requests; /* struct sus_parts, last sent first */
	TAILQ_HEAD(, edge_prompt) waiting;
};

/* A run of a part in doubt. */
struct edge_trial {
	LIST_ENTRY(edge_trial) link;
	struct edge_parts *parts;
	struct edge_prompt *prompt;   /* that waits to be sent, or NULL */
	struct edge_attempt *attempt; /* that it is for, or NULL */
	bool asked;		      /* the command's result is awaited */
	bool request;		      /* of a whole request, not a part */
	/* After an attempt without an outcome; one of them is set. */
	struct event *timer;
	struct hio_probe *probe;
	uint8_t digest[SUS_DIGEST_LEN];
	char *id; /* names the run in the commands */
	char *endpoint;
	char *address;
	uint64_t incarnation;
};

struct edge_parts {
	struct edge *edge;
	struct sus *sus;
	GHashTable *quarantined;	    /* digests in the view, as text */
	LIST_HEAD(, edge_attempt) attempts; /* last sent first */
	LIST_HEAD(, edge_trial) trials;
	unsigned n_trials;
	uint64_t last_trial;
	TAILQ_HEAD(, edge_check) checks; /* oldest first */
	unsigned n_checks;
};

static GHashTable *text_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Creates the collection without any attempts. */
struct edge_parts *edge_parts_new(struct edge *edge)
{
	struct edge_parts *ctx = g_new0(struct edge_parts, 1);

	ctx->edge = edge;
	ctx->sus = sus_new();
	ctx->quarantined = text_set();
	LIST_INIT(&ctx->attempts);
	LIST_INIT(&ctx->trials);
	TAILQ_INIT(&ctx->checks);
	return ctx;
}

static void check_free(struct edge_parts *ctx, struct edge_check *c)
{
	TAILQ_REMOVE(&ctx->checks, c, link);
	ctx->n_checks--;
	hio_probe_cancel(c->probe);
	g_ptr_array_free(c->requests, TRUE);
	g_free(c->endpoint);
	g_free(c);
}

static void trial_free(struct edge_trial *t)
{
	LIST_REMOVE(t, link);
	t->parts->n_trials--;
	if (t->prompt)
		t->prompt->trial = NULL;
	if (t->attempt)
		t->attempt->trial = NULL;
	if (t->timer)
		event_free(t->timer);
	hio_probe_cancel(t->probe);
	g_free(t->id);
	g_free(t->endpoint);
	g_free(t->address);
	g_free(t);
}

/* Frees the collection after all attempts and commands have ended; NULL is
 * allowed. */
void edge_parts_free(struct edge_parts *ctx)
{
	if (!ctx)
		return;
	while (!TAILQ_EMPTY(&ctx->checks))
		check_free(ctx, TAILQ_FIRST(&ctx->checks));
	while (!LIST_EMPTY(&ctx->trials))
		trial_free(LIST_FIRST(&ctx->trials));
	sus_free(ctx->sus);
	g_hash_table_destroy(ctx->quarantined);
	g_free(ctx);
}

static char *digest_text(const uint8_t digest[SUS_DIGEST_LEN])
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < SUS_DIGEST_LEN; i++)
		g_string_append_printf(out, "%02x", digest[i]);
	return g_string_free(out, FALSE);
}

static char *digests_text(const uint8_t (*digests)[SUS_DIGEST_LEN], size_t n)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < MIN(n, LOG_DIGESTS_MAX); i++) {
		g_autofree char *text = digest_text(digests[i]);

		g_string_append_printf(out, "%s%s", i ? "," : "", text);
	}
	return g_string_free(out, FALSE);
}

/* ---- Attempts ---- */

/* Stores the digests of a request and its parts. */
void edge_parts_read(struct edge_parts *ctx, struct edge_prompt *prompt,
		     const struct wire_request *request,
		     const struct hio_request *message)
{
	struct sus_parts *parts = &prompt->parts;
	g_autofree char *digest = NULL;

	wire_digest_request(message, parts->request);
	digest = digest_text(parts->request);
	g_strlcpy(prompt->digest, digest, sizeof(prompt->digest));
	prompt->request_id = request->request_id ? request->request_id : "-";
	parts->n = MIN(request->n_parts, SUS_PARTS_MAX);
	for (size_t i = 0; i < parts->n; i++)
		memcpy(parts->digests[i], request->parts[i].digest,
		       SUS_DIGEST_LEN);
	if (!request->parts_skipped)
		return;
	met_count(ctx->edge->met, "dandelionspar_edge_parts_skipped", "",
		  request->parts_skipped);
	LOG_EVENT_INFO("parts", "skipped", "request=%s skipped=%u read=%zu",
		       prompt->request_id, request->parts_skipped,
		       request->n_parts);
}

/* Registers an attempt that is sent to an endpoint, with the grant that the
 * request may have. */
void edge_parts_sent(struct edge_parts *ctx, struct edge_attempt *attempt,
		     struct edge_prompt *prompt,
		     const struct bal_endpoint *endpoint)
{
	attempt->prompt = prompt;
	attempt->endpoint = g_strdup(bal_id(endpoint));
	attempt->incarnation = bal_incarnation(endpoint);
	attempt->address = g_strdup(bal_address(endpoint));
	attempt->trial = prompt->trial;
	prompt->trial = NULL;
	if (attempt->trial) {
		attempt->trial->prompt = NULL;
		attempt->trial->attempt = attempt;
	}
	attempt->is_listed = true;
	LIST_INSERT_HEAD(&ctx->attempts, attempt, link);
}

static void unlist(struct edge_attempt *attempt)
{
	if (attempt->is_listed)
		LIST_REMOVE(attempt, link);
	attempt->is_listed = false;
}

enum trial_outcome {
	TRIAL_SURVIVED, /* the endpoint did: the part is in doubt no more */
	TRIAL_NOT_RUN,	/* the grant was not used */
	/* The endpoint may yet crash. */
	TRIAL_UNDECIDED,
};

static void end_trial(struct edge_trial *t, enum trial_outcome outcome);

/* Reports what is proven by an answer, to the other instances. */
static void report_begun(struct edge_parts *ctx,
			 const struct edge_attempt *attempt,
			 uint8_t (*digests)[SUS_DIGEST_LEN], size_t n)
{
	Dsp__PartEvidence evidence = DSP__PART_EVIDENCE__INIT;
	ProtobufCBinaryData begun[SUS_BEGUN_MAX];
	g_autofree char *text = NULL;

	if (!n)
		return;
	for (size_t i = 0; i < n; i++)
		begun[i] = (ProtobufCBinaryData){ .data = digests[i],
						  .len = SUS_DIGEST_LEN };
	evidence.begun = begun;
	evidence.n_begun = n;
	ctl_part_evidence(ctx->edge->ctl, &evidence);
	met_count(ctx->edge->met, "dandelionspar_edge_parts_begun", "", n);
	text = digests_text((const uint8_t(*)[SUS_DIGEST_LEN])digests, n);
	LOG_EVENT_INFO("parts", "begun",
		       "request=%s endpoint=%s parts=%zu digests=%s",
		       attempt->prompt->request_id, attempt->endpoint, n, text);
}

/*
 * Handles that an attempt's answer is proven to have begun: its endpoint has
 * survived it. started_us: its first whole event or byte.
 */
void edge_parts_begun(struct edge_parts *ctx, struct edge_attempt *attempt,
		      int64_t started_us)
{
	uint8_t digests[SUS_BEGUN_MAX][SUS_DIGEST_LEN];
	size_t n;

	if (!attempt->is_listed)
		return;
	unlist(attempt);
	if (attempt->trial)
		end_trial(attempt->trial, TRIAL_SURVIVED);
	n = sus_begun(ctx->sus, &attempt->prompt->parts, started_us,
		      clk_now_us(ctx->edge->clock), digests);
	report_begun(ctx, attempt, digests, n);
}

/* Handles a whole answer that is neither a success nor a failure of the
 * endpoint: it has survived the request, which says nothing of its parts. */
void edge_parts_answered(struct edge_parts *ctx, struct edge_attempt *attempt,
			 int64_t started_us)
{
	uint8_t digests[SUS_BEGUN_MAX][SUS_DIGEST_LEN];
	size_t n;

	if (!attempt->is_listed)
		return;
	unlist(attempt);
	if (attempt->trial && attempt->trial->request)
		end_trial(attempt->trial, TRIAL_SURVIVED);
	n = sus_answered(ctx->sus, &attempt->prompt->parts, started_us,
			 clk_now_us(ctx->edge->clock), digests);
	report_begun(ctx, attempt, digests, n);
}

/* Handles that the endpoint did not run the request of an attempt. */
void edge_parts_not_run(struct edge_attempt *attempt)
{
	unlist(attempt);
	if (attempt->trial)
		end_trial(attempt->trial, TRIAL_NOT_RUN);
}

/* Handles the end of an attempt. */
void edge_parts_ended(struct edge_attempt *attempt)
{
	unlist(attempt);
	if (attempt->trial)
		end_trial(attempt->trial, TRIAL_UNDECIDED);
	g_clear_pointer(&attempt->endpoint, g_free);
	g_clear_pointer(&attempt->address, g_free);
}

static void end_wait(struct edge_prompt *prompt)
{
	if (prompt->check)
		TAILQ_REMOVE(&prompt->check->waiting, prompt, wait_link);
	prompt->check = NULL;
}

/* Ends the waits of a request. */
void edge_parts_forget(struct edge_prompt *prompt)
{
	struct edge_trial *trial = prompt->trial;

	end_wait(prompt);
	if (!trial)
		return;
	prompt->trial = NULL;
	trial->prompt = NULL;
	/* A grant that is still asked for ends when it is known. */
	if (!trial->asked)
		end_trial(trial, TRIAL_NOT_RUN);
}

/* ---- Decisions and trials ---- */

static const char *action_name(enum sus_action action)
{
	switch (action) {
	case SUS_SEND:
		return "send";
	case SUS_REFUSE:
		return "refuse";
	case SUS_WAIT:
		return "wait";
	case SUS_TRY:
		break;
	}
	return "try";
}

static struct edge_trial *find_trial(struct edge_parts *ctx,
				     const uint8_t digest[SUS_DIGEST_LEN])
{
	struct edge_trial *t;

	LIST_FOREACH (t, &ctx->trials, link)
		if (!memcmp(t->digest, digest, SUS_DIGEST_LEN))
			return t;
	return NULL;
}

static void log_decision(const struct edge_parts *ctx,
			 const struct edge_prompt *prompt,
			 const struct sus_decision *d)
{
	const Dsp__Suspect *s = view_suspect(ctx->edge->view, d->digest);
	int64_t wall_ms = clk_wall_ms(ctx->edge->clock);
	g_autofree char *digest = digest_text(d->digest);

	LOG_EVENT_INFO(
		"parts", action_name(d->action),
		"request=%s digest=%s whole=%d crashes=%u quarantined=%d "
		"failed_runs=%u age_ms=%" PRId64 " own_crashes=%u "
		"retry_us=%" PRId64 " view=%" G_GUINT64_FORMAT
		" view_age_us=%" PRId64,
		prompt->request_id, digest, d->request, s ? s->crashes : 0,
		s ? s->quarantined : 0, s ? s->failed_runs : 0,
		s ? wall_ms - (int64_t)s->since_ms : -1, prompt->crashes,
		d->retry_us, view_index(ctx->edge->view),
		ctl_state(ctx->edge->ctl).stale_us);
}

/* Returns whether neither a request nor a part of it is in doubt. */
bool edge_parts_are_sound(struct edge_parts *ctx,
			  const struct edge_prompt *prompt)
{
	return sus_decide(ctx->sus, &prompt->parts, prompt->crashes,
			  clk_now_us(ctx->edge->clock),
			  clk_wall_ms(ctx->edge->clock))
		       .action == SUS_SEND;
}

/* Decides whether a request may be sent to an endpoint. */
struct sus_decision edge_parts_decide(struct edge_parts *ctx,
				      const struct edge_prompt *prompt)
{
	struct sus_decision d = sus_decide(
		ctx->sus, &prompt->parts, prompt->crashes,
		clk_now_us(ctx->edge->clock), clk_wall_ms(ctx->edge->clock));

	/* One request at a time asks for the grant. */
	if (d.action == SUS_TRY &&
	    (find_trial(ctx, d.digest) || ctx->n_trials >= TRIALS_MAX))
		d.action = d.request ? SUS_WAIT : SUS_REFUSE;
	if (d.action == SUS_REFUSE) {
		met_count(ctx->edge->met, "dandelionspar_edge_parts_refused",
			  "", 1);
		log_decision(ctx, prompt, &d);
	}
	return d;
}

static void log_trial(const struct edge_trial *t, const char *event,
		      const char *outcome)
{
	g_autofree char *digest = digest_text(t->digest);

	LOG_EVENT_NOTICE("parts", event,
			 "request=%s digest=%s endpoint=%s "
			 "incarnation=%" PRIu64 " outcome=%s",
			 t->id, digest, t->endpoint, t->incarnation, outcome);
}

static const char *outcome_name(const Dsp__CommandResult *result)
{
	if (!result)
		return "no_answer";
	switch (result->code) {
	case DSP__RESULT_CODE__RESULT_OK:
	case DSP__RESULT_CODE__RESULT_SAME:
		return "granted";
	case DSP__RESULT_CODE__RESULT_NOT_FOUND:
		return "no_suspect";
	case DSP__RESULT_CODE__RESULT_BUSY:
		return "busy";
	case DSP__RESULT_CODE__RESULT_QUARANTINED:
		return "quarantined";
	default:
		return "denied";
	}
}

/*
 * Whether a request may run although no grant was given. Without a leader, a
 * request that one crash alone speaks against is repeated once, as the crash
 * may have had any cause.
 */
static bool needs_no_grant(const struct edge *edge, const struct edge_trial *t,
			   const Dsp__CommandResult *result)
{
	const struct edge_prompt *prompt = t->prompt;

	if (result)
		return result->code == DSP__RESULT_CODE__RESULT_NOT_FOUND &&
		       !sus_has_other(edge->parts->sus, &prompt->parts,
				      t->digest);
	return t->request && prompt->crashes == 1 &&
	       !view_suspect(edge->view, t->digest);
}

static bool may_ask_again(const struct edge_trial *t,
			  const Dsp__CommandResult *result)
{
	return t->request && result &&
	       (result->code == DSP__RESULT_CODE__RESULT_BUSY ||
		result->code == DSP__RESULT_CODE__RESULT_STALE ||
		result->code == DSP__RESULT_CODE__RESULT_QUARANTINED);
}

static void trial_decided(struct edge *edge, struct edge_call *call)
{
	struct edge_trial *t = call->data;
	struct edge_prompt *prompt = t->prompt;
	const Dsp__CommandResult *result = call->result;
	bool granted =
		result && (result->code == DSP__RESULT_CODE__RESULT_OK ||
			   result->code == DSP__RESULT_CODE__RESULT_SAME);
	enum fwd_trial outcome = FWD_DENIED;

	if (granted || (prompt && needs_no_grant(edge, t, result)))
		outcome = FWD_GRANTED;
	else if (may_ask_again(t, result))
		outcome = FWD_LATER;
	t->asked = false;
	log_trial(t, "trial", outcome_name(result));
	if (!granted)
		trial_free(t);
	else if (!prompt)
		end_trial(t, TRIAL_NOT_RUN);
	if (prompt)
		fwd_trial_decided(prompt, outcome);
}

/*
 * Asks for a grant to run a request with a part in doubt on an endpoint, which
 * must stay valid. fwd_trial_decided() is called within timeout_us, unless
 * edge_parts_forget() is called before.
 */
void edge_parts_try(struct edge_parts *ctx, struct edge_prompt *prompt,
		    const struct sus_decision *decision,
		    const struct bal_endpoint *endpoint, int64_t timeout_us)
{
	struct edge_trial *t = g_new0(struct edge_trial, 1);
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__SuspectRun run = DSP__SUSPECT_RUN__INIT;

	t->parts = ctx;
	t->prompt = prompt;
	t->asked = true;
	t->request = decision->request;
	memcpy(t->digest, decision->digest, SUS_DIGEST_LEN);
	t->id = g_strdup_printf("%s/%s/%" PRIu64, prompt->request_id,
				ctx->edge->set->id, ++ctx->last_trial);
	t->endpoint = g_strdup(bal_id(endpoint));
	t->address = g_strdup(bal_address(endpoint));
	t->incarnation = bal_incarnation(endpoint);
	LIST_INSERT_HEAD(&ctx->trials, t, link);
	ctx->n_trials++;
	prompt->trial = t;
	run.digest.data = t->digest;
	run.digest.len = SUS_DIGEST_LEN;
	run.endpoint = t->endpoint;
	run.incarnation = t->incarnation;
	run.attempt = t->id;
	run.suspected = decision->unrecorded;
	command.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
	command.suspect_run = &run;
	sus_asked(ctx->sus, t->digest, clk_now_us(ctx->edge->clock));
	log_decision(ctx, prompt, decision);
	met_count(ctx->edge->met, "dandelionspar_edge_part_trials", "", 1);
	edge_call_start(ctx->edge, NULL, msg_dup(&command), timeout_us,
			trial_decided, t);
}

static void done_committed(struct edge *edge, struct edge_call *call)
{
	(void)edge;
	if (!call->result)
		LOG_EVENT_WARN("parts", "trial_end_unknown", "request=%s",
			       call->command->suspect_done->attempt);
}

static const char *trial_outcome_name(enum trial_outcome outcome)
{
	switch (outcome) {
	case TRIAL_SURVIVED:
		return "survived";
	case TRIAL_NOT_RUN:
		return "not_run";
	case TRIAL_UNDECIDED:
		break;
	}
	return "undecided";
}

static void submit_done(const struct edge_trial *t, bool not_run)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__SuspectDone done = DSP__SUSPECT_DONE__INIT;

	done.digest.data = (uint8_t *)t->digest;
	done.digest.len = SUS_DIGEST_LEN;
	done.attempt = t->id;
	done.not_run = not_run;
	command.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
	command.suspect_done = &done;
	edge_call_start(t->parts->edge, NULL, msg_dup(&command),
			DONE_TIMEOUT_US, done_committed, NULL);
}

static struct edge_check *find_check(struct edge_parts *ctx,
				     const char *endpoint, uint64_t incarnation)
{
	struct edge_check *c;

	TAILQ_FOREACH (c, &ctx->checks, link)
		if (c->incarnation == incarnation &&
		    !strcmp(c->endpoint, endpoint))
			return c;
	return NULL;
}

/* Whether the process that the trial ran at is not known to have ended. */
static bool is_same_process(const struct edge_trial *t)
{
	const struct edge_check *c =
		find_check(t->parts, t->endpoint, t->incarnation);
	const Dsp__Endpoint *e =
		view_endpoint(t->parts->edge->view, t->endpoint);

	return !(c && c->reported) && e && e->incarnation == t->incarnation &&
	       e->state != DSP__ENDPOINT_STATE__ENDPOINT_DOWN;
}

static void on_trial_probed(void *data, enum hio_probe_result result)
{
	struct edge_trial *t = data;
	bool survived = result == HIO_PROBE_CONNECTED && is_same_process(t);

	t->probe = NULL;
	log_trial(t, "trial_check", survived ? "no_crash" : "undecided");
	if (survived)
		submit_done(t, true);
	trial_free(t);
}

static void on_trial_timer(evutil_socket_t fd, short what, void *data)
{
	struct edge_trial *t = data;

	(void)fd;
	(void)what;
	event_free(t->timer);
	t->timer = NULL;
	t->probe = hio_probe_start(t->parts->edge->base, t->address,
				   PROBE_TIMEOUT_US, on_trial_probed, t);
}

/*
 * Ends a trial whose grant is known. A run without an outcome proves nothing
 * about the part: once its endpoint is known to have survived it, the grant is
 * given back. Otherwise the crash, or the end of the grant, fails the run.
 */
static void end_trial(struct edge_trial *t, enum trial_outcome outcome)
{
	log_trial(t, "trial_end", trial_outcome_name(outcome));
	if (outcome != TRIAL_UNDECIDED) {
		submit_done(t, outcome == TRIAL_NOT_RUN);
		trial_free(t);
		return;
	}
	if (t->attempt)
		t->attempt->trial = NULL;
	t->attempt = NULL;
	t->timer = event_new(t->parts->edge->base, -1, 0, on_trial_timer, t);
	hio_set_timer(t->timer, TRIAL_CHECK_US);
}

/* ---- Crashes ---- */

static void collect_requests(struct edge_parts *ctx, struct edge_check *c)
{
	struct edge_attempt *attempt;

	g_ptr_array_set_size(c->requests, 0);
	LIST_FOREACH (attempt, &ctx->attempts, link)
		if (attempt->incarnation == c->incarnation &&
		    !strcmp(attempt->endpoint, c->endpoint))
			g_ptr_array_add(c->requests,
					g_memdup2(&attempt->prompt->parts,
						  sizeof(struct sus_parts)));
}

/* Digests of one kind that a crash reports. */
struct reported {
	uint8_t digests[SUS_REPORT_MAX][SUS_DIGEST_LEN];
	ProtobufCBinaryData list[SUS_REPORT_MAX];
	size_t n;
};

static ProtobufCBinaryData *list_reported(struct reported *r)
{
	for (size_t i = 0; i < r->n; i++)
		r->list[i] = (ProtobufCBinaryData){ .data = r->digests[i],
						    .len = SUS_DIGEST_LEN };
	return r->list;
}

static void send_crash(const struct edge_check *c, struct reported *parts,
		       struct reported *requests)
{
	Dsp__PartEvidence evidence = DSP__PART_EVIDENCE__INIT;
	Dsp__PartCrash crash = DSP__PART_CRASH__INIT;
	Dsp__PartCrash *crashes[] = { &crash };

	crash.endpoint = c->endpoint;
	crash.incarnation = c->incarnation;
	crash.digests = list_reported(parts);
	crash.n_digests = parts->n;
	crash.requests = list_reported(requests);
	crash.n_requests = requests->n;
	evidence.crashes = crashes;
	evidence.n_crashes = G_N_ELEMENTS(crashes);
	ctl_part_evidence(c->edge->ctl, &evidence);
}

static char *reported_text(const struct reported *r)
{
	return digests_text((const uint8_t(*)[SUS_DIGEST_LEN])r->digests, r->n);
}

/* Reports the attempts that a crash has ended, and their parts. */
static void report(struct edge_check *c, const char *confirmed_by)
{
	const struct sus_parts *const *all =
		(const struct sus_parts *const *)c->requests->pdata;
	struct sus *sus = c->edge->parts->sus;
	int64_t now_us = clk_now_us(c->edge->clock);
	g_autofree char *parts_text = NULL;
	g_autofree char *requests_text = NULL;
	struct reported parts, requests;

	c->reported = true;
	parts.n =
		sus_crashed(sus, all, c->requests->len, now_us, parts.digests);
	requests.n = sus_requests_crashed(sus, all, c->requests->len, now_us,
					  requests.digests);
	if (parts.n || requests.n)
		send_crash(c, &parts, &requests);
	met_count(c->edge->met, "dandelionspar_edge_part_crashes", "", 1);
	parts_text = reported_text(&parts);
	requests_text = reported_text(&requests);
	LOG_EVENT_NOTICE("parts", "crash",
			 "endpoint=%s incarnation=%" PRIu64
			 " confirmed_by=%s attempts=%u parts=%zu digests=%s "
			 "requests=%zu request_digests=%s age_us=%" PRId64,
			 c->endpoint, c->incarnation, confirmed_by,
			 c->requests->len, parts.n, parts_text, requests.n,
			 requests_text, now_us - c->broke_us);
}

/* Lets the requests that wait for the check go on. */
static void release_waiting(struct edge_check *c)
{
	struct edge_prompt *prompt;

	while ((prompt = TAILQ_FIRST(&c->waiting))) {
		end_wait(prompt);
		if (c->reported)
			prompt->crashes++;
		fwd_crash_checked(prompt, c->reported);
	}
}

static const char *probe_result_name(enum hio_probe_result result)
{
	switch (result) {
	case HIO_PROBE_CONNECTED:
		return "connected";
	case HIO_PROBE_REFUSED:
		return "refused";
	case HIO_PROBE_UNKNOWN:
		break;
	}
	return "unknown";
}

static void on_probed(void *data, enum hio_probe_result result)
{
	struct edge_check *c = data;

	c->probe = NULL;
	if (c->reported) {
		release_waiting(c);
		return;
	}
	if (result == HIO_PROBE_REFUSED &&
	    !edge_detour_is_lost(c->edge->detour, c->endpoint)) {
		report(c, "refused_connection");
	} else {
		met_count(c->edge->met, "dandelionspar_edge_part_no_crash", "",
			  1);
		LOG_EVENT_INFO("parts", "no_crash",
			       "endpoint=%s incarnation=%" PRIu64
			       " probe=%s attempts=%u",
			       c->endpoint, c->incarnation,
			       probe_result_name(result), c->requests->len);
	}
	release_waiting(c);
}

/* Makes room for a check by removing the oldest without a probe. Returns false
 * if there is none. */
static bool make_room(struct edge_parts *ctx)
{
	struct edge_check *c;

	if (ctx->n_checks < CHECKS_MAX)
		return true;
	TAILQ_FOREACH (c, &ctx->checks, link) {
		if (c->probe)
			continue;
		check_free(ctx, c);
		return true;
	}
	return false;
}

static struct edge_check *check_new(struct edge_parts *ctx,
				    const struct edge_attempt *attempt)
{
	struct edge_check *c;

	if (!make_room(ctx))
		return NULL;
	c = g_new0(struct edge_check, 1);
	c->edge = ctx->edge;
	c->endpoint = g_strdup(attempt->endpoint);
	c->incarnation = attempt->incarnation;
	c->requests = g_ptr_array_new_with_free_func(g_free);
	TAILQ_INIT(&c->waiting);
	TAILQ_INSERT_TAIL(&ctx->checks, c, link);
	ctx->n_checks++;
	return c;
}

/* An endpoint that was about to end is no evidence, nor is one that was
 * removed. */
static bool was_expected_to_end(const struct edge_parts *ctx,
				const struct edge_attempt *attempt)
{
	const Dsp__Endpoint *e =
		view_endpoint(ctx->edge->view, attempt->endpoint);

	return !e || (e->incarnation == attempt->incarnation &&
		      e->state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING);
}

/*
 * Handles an attempt that broke off without an answer; call it before
 * edge_parts_ended(). Returns true if the request waits until it is known
 * whether the endpoint has crashed; fwd_crash_checked() is called then, but not
 * before this returns. A request waits for the last of its attempts only.
 */
bool edge_parts_broken(struct edge_parts *ctx, struct edge_attempt *attempt)
{
	struct edge_check *c;

	if (!attempt->is_listed || was_expected_to_end(ctx, attempt))
		return false;
	c = find_check(ctx, attempt->endpoint, attempt->incarnation);
	if (c && c->reported) {
		attempt->prompt->crashes++;
		return false;
	}
	if (!c)
		c = check_new(ctx, attempt);
	if (!c)
		return false;
	if (!c->probe) {
		c->broke_us = clk_now_us(ctx->edge->clock);
		collect_requests(ctx, c);
		c->probe = hio_probe_start(ctx->edge->base, attempt->address,
					   PROBE_TIMEOUT_US, on_probed, c);
	}
	unlist(attempt);
	end_wait(attempt->prompt);
	attempt->prompt->check = c;
	TAILQ_INSERT_TAIL(&c->waiting, attempt->prompt, wait_link);
	return true;
}

static void log_quarantined(const Dsp__Suspect *s, const char *digest)
{
	GString *endpoints = g_string_new(NULL);
	size_t first = s->n_crashed > LOG_CRASHES_MAX
			       ? s->n_crashed - LOG_CRASHES_MAX
			       : 0;

	for (size_t i = first; i < s->n_crashed; i++)
		g_string_append_printf(endpoints, "%s%s", i > first ? "," : "",
				       s->crashed[i]->endpoint);
	LOG_EVENT_NOTICE("parts", "quarantined",
			 "digest=%s crashes=%u endpoints=%s failed_runs=%u",
			 digest, s->crashes, endpoints->str, s->failed_runs);
	g_string_free(endpoints, TRUE);
}

/* Logs which parts are quarantined by a new view, and which no longer are. */
static void log_quarantine(struct edge_parts *ctx)
{
	const struct view *view = ctx->edge->view;
	GHashTable *now = text_set();
	GHashTableIter iter;
	char *digest;

	for (size_t i = 0; i < view_n_suspects(view); i++) {
		const Dsp__Suspect *s = view_suspect_at(view, i);

		if (!s->part || !s->quarantined ||
		    s->digest.len != SUS_DIGEST_LEN)
			continue;
		digest = digest_text(s->digest.data);
		if (!g_hash_table_remove(ctx->quarantined, digest))
			log_quarantined(s, digest);
		g_hash_table_add(now, digest);
	}
	g_hash_table_iter_init(&iter, ctx->quarantined);
	while (g_hash_table_iter_next(&iter, (void **)&digest, NULL))
		LOG_EVENT_NOTICE("parts", "released", "digest=%s view=%" PRIu64,
				 digest, view_index(view));
	g_hash_table_destroy(ctx->quarantined);
	ctx->quarantined = now;
}

/* Confirms crashes by a new view: the process is gone or was replaced. */
void edge_parts_view_changed(struct edge_parts *ctx)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	struct edge_check *c;

	sus_view(ctx->sus, ctx->edge->view, now_us);
	log_quarantine(ctx);
	TAILQ_FOREACH (c, &ctx->checks, link) {
		const Dsp__Endpoint *e =
			view_endpoint(ctx->edge->view, c->endpoint);

		if (c->reported || !e || now_us - c->broke_us > CONFIRM_US)
			continue;
		if (e->incarnation != c->incarnation ||
		    e->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
			report(c, "view");
	}
}
