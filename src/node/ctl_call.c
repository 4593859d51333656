#include "node/ctl_int.h"

#include "base/log.h"
#include "base/msg.h"

#include <string.h>
#include <time.h>

/* Interval between checks of the pending calls. */
#define RUN_INTERVAL_US 20000
/* A forwarded command without a reply is sent again after this time, which is
 * several times a round trip with a sync on a busy disk. */
#define RESEND_US 400000
/* Sends to the known leader before other voters are asked who leads. */
#define TRIES_AT_LEADER 2
/* Immediate sends to the leader that a reply names; further ones wait for the
 * resend. Two instances that each take the other for the leader would otherwise
 * pass a command back and forth without a pause. */
#define REDIRECTS_MAX 2
/* A call of unknown outcome is submitted again for this long after its start.
 * The leader keeps results for longer, so that a resend gets the same one. */
#define RESEND_PERIOD_US (8LL * CTL_S_US)

/*
 * Returns true when applying the command twice has the same effect as once.
 * Such a command may be sent to a new leader even if the old one may have
 * committed it.
 */
static bool is_idempotent(const Dsp__Command *command)
{
	switch (command->body_case) {
	case DSP__COMMAND__BODY_CRASH_REPORT:
	case DSP__COMMAND__BODY_ORDER_CREATE:
		return false;
	default:
		return true;
	}
}

static struct ctl_call *call_new(enum ctl_call_kind kind)
{
	struct ctl_call *call = g_new0(struct ctl_call, 1);
	pthread_condattr_t attributes;

	call->kind = kind;
	call->refs = 2; /* the caller's and the job's */
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&call->done, &attributes);
	pthread_condattr_destroy(&attributes);
	return call;
}

/* Drops one reference; frees the call with the last one. */
void ctl_call_unref(struct ctl *ctx, struct ctl_call *call)
{
	bool last;

	pthread_mutex_lock(&ctx->lock);
	last = !--call->refs;
	pthread_mutex_unlock(&ctx->lock);
	if (!last)
		return;
	if (call->query)
		dsp__answer_query__free_unpacked(call->query, NULL);
	if (call->result)
		dsp__command_result__free_unpacked(call->result, NULL);
	if (call->answer)
		dsp__answer_reply__free_unpacked(call->answer, NULL);
	pthread_cond_destroy(&call->done);
	g_free(call->text);
	g_free(call->command);
	g_free(call->node);
	g_free(call);
}

static void call_ref(struct ctl *ctx, struct ctl_call *call)
{
	pthread_mutex_lock(&ctx->lock);
	call->refs++;
	pthread_mutex_unlock(&ctx->lock);
}

/* ---- Any thread ---- */

/*
 * Queues the call and waits until it is done, at most timeout_us microseconds.
 * Returns its state at the end of the wait.
 */
static enum ctl_call_state wait_for(struct ctl *ctx, struct ctl_call *call,
				    int64_t timeout_us)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);
	enum ctl_call_state state;
	struct timespec until;

	job->kind = CTL_JOB_CALL;
	job->call = call;
	ctl_post(ctx, job);
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += timeout_us / CTL_S_US;
	until.tv_nsec += timeout_us % CTL_S_US * 1000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&ctx->lock);
	while (call->state != CTL_CALL_DONE)
		if (pthread_cond_timedwait(&call->done, &ctx->lock, &until))
			break;
	state = call->state;
	call->abandoned = true;
	pthread_mutex_unlock(&ctx->lock);
	return state;
}

static Dsp__CommandResult *wait_for_result(struct ctl *ctx,
					   struct ctl_call *call,
					   int64_t timeout_us, GError **err)
{
	enum ctl_call_state state = wait_for(ctx, call, timeout_us);
	Dsp__CommandResult *result = NULL;

	if (state == CTL_CALL_DONE)
		result = g_steal_pointer(&call->result);
	if (state == CTL_CALL_QUEUED)
		g_set_error(
			err, CTL_ERROR, CTL_ERROR_NOT_SENT,
			"no leader took the command within %" G_GINT64_FORMAT
			" ms",
			timeout_us / 1000);
	else if (!result)
		g_set_error(err, CTL_ERROR, CTL_ERROR_UNAVAILABLE,
			    "the outcome of the command is not known");
	ctl_call_unref(ctx, call);
	return result;
}

/*
 * Has the leader commit a command and waits for the result, at most timeout_us
 * microseconds. Returns NULL with CTL_ERROR_NOT_SENT when the command can never
 * take effect and with CTL_ERROR_UNAVAILABLE when it may still do so.
 */
Dsp__CommandResult *ctl_submit(struct ctl *ctx, const Dsp__Command *command,
			       int64_t timeout_us, GError **err)
{
	struct ctl_call *call = call_new(CTL_CALL_COMMAND);

	call->command_len = dsp__command__get_packed_size(command);
	call->command = g_malloc(call->command_len + 1);
	dsp__command__pack(command, call->command);
	call->idempotent = is_idempotent(command);
	return wait_for_result(ctx, call, timeout_us, err);
}

/* Time limit for an operator's change of the group. */
#define REPLACE_TIMEOUT_US (10LL * CTL_S_US)

/*
 * Removes a permanently lost replica from the group, so that another one may
 * take its place. Returns false with err set when this was refused or its
 * outcome is not known.
 */
bool ctl_replace_replica(struct ctl *ctx, uint64_t old_replica, GError **err)
{
	struct ctl_call *call = call_new(CTL_CALL_REPLACE);
	Dsp__CommandResult *result;
	bool ok;

	call->replica = old_replica;
	call->idempotent = true;
	result = wait_for_result(ctx, call, REPLACE_TIMEOUT_US, err);
	if (!result)
		return false;
	ok = result->code == DSP__RESULT_CODE__RESULT_OK;
	if (!ok)
		g_set_error(err, CTL_ERROR, CTL_ERROR_NOT_SENT, "%s",
			    result->message);
	dsp__command_result__free_unpacked(result, NULL);
	return ok;
}

/*
 * Asks an entry for an answer that it holds; node is its instance id. Returns
 * NULL when no reply came within timeout_us microseconds. The caller frees the
 * reply.
 */
Dsp__AnswerReply *ctl_ask_answer(struct ctl *ctx, const char *node,
				 const Dsp__AnswerQuery *query,
				 int64_t timeout_us)
{
	struct ctl_call *call = call_new(CTL_CALL_ANSWER_QUERY);
	Dsp__AnswerReply *answer = NULL;

	call->node = g_strdup(node);
	call->query = msg_dup(query);
	if (wait_for(ctx, call, timeout_us) == CTL_CALL_DONE)
		answer = g_steal_pointer(&call->answer);
	ctl_call_unref(ctx, call);
	return answer;
}

/* Time limit for the control thread to build the status. */
#define STATUS_TIMEOUT_US (3LL * CTL_S_US)

/* Returns the status as JSON, or a JSON error when the control thread did not
 * answer within STATUS_TIMEOUT_US. The caller frees it with g_free(). */
char *ctl_status_json(struct ctl *ctx)
{
	struct ctl_call *call = call_new(CTL_CALL_STATUS);
	char *text = NULL;

	if (wait_for(ctx, call, STATUS_TIMEOUT_US) == CTL_CALL_DONE)
		text = g_steal_pointer(&call->text);
	ctl_call_unref(ctx, call);
	return text ? text : g_strdup("{\"error\":\"control thread busy\"}");
}

/* ---- Control thread ---- */

/* Marks the call as one that may take effect; returns false when its caller
 * gave up. */
static bool mark_submitted(struct ctl *ctx, struct ctl_call *call)
{
	bool ok;

	pthread_mutex_lock(&ctx->lock);
	ok = !call->abandoned;
	if (ok)
		call->state = CTL_CALL_SUBMITTED;
	pthread_mutex_unlock(&ctx->lock);
	return ok;
}

/* Returns true when the call has an outcome or its caller gave up. */
static bool is_over(struct ctl *ctx, struct ctl_call *call)
{
	bool over;

	pthread_mutex_lock(&ctx->lock);
	over = call->abandoned || call->state == CTL_CALL_DONE;
	pthread_mutex_unlock(&ctx->lock);
	return over;
}

/* Counts down the submissions, one of which certainly had no effect; without
 * any left the call is queued again. */
static void submission_refused(struct ctl *ctx, struct ctl_call *call)
{
	if (call->n_outstanding)
		call->n_outstanding--;
	if (call->n_outstanding)
		return;
	pthread_mutex_lock(&ctx->lock);
	if (call->state == CTL_CALL_SUBMITTED)
		call->state = CTL_CALL_QUEUED;
	pthread_mutex_unlock(&ctx->lock);
}

static void remove_call(struct ctl *ctx, struct ctl_call *call)
{
	if (!call->listed)
		return;
	call->listed = false;
	TAILQ_REMOVE(&ctx->calls, call, link);
	g_hash_table_remove(ctx->calls_by_id, &call->id);
	ctl_call_unref(ctx, call);
}

/* Wakes the caller; the outcome fields are set. ctl_call_run() removes the call
 * from the list. */
static void finish(struct ctl *ctx, struct ctl_call *call)
{
	pthread_mutex_lock(&ctx->lock);
	call->state = CTL_CALL_DONE;
	pthread_cond_signal(&call->done);
	pthread_mutex_unlock(&ctx->lock);
}

/* Ends the call with a result, unless it has one. Takes ownership of the
 * result. */
static void finish_with_result(struct ctl *ctx, struct ctl_call *call,
			       Dsp__CommandResult *result)
{
	pthread_mutex_lock(&ctx->lock);
	if (call->state == CTL_CALL_DONE || call->result) {
		pthread_mutex_unlock(&ctx->lock);
		dsp__command_result__free_unpacked(result, NULL);
		return;
	}
	call->result = result;
	pthread_mutex_unlock(&ctx->lock);
	finish(ctx, call);
}

static bool propose_removal(struct ctl *ctx, struct ctl_call *call,
			    struct ctl_waiter *waiter)
{
	Dsp__RaftConfig *config =
		ctl_rule_config_without(raft_config(ctx->raft), call->replica);
	bool ok = ctl_raft_propose_config(ctx, config, waiter);

	dsp__raft_config__free_unpacked(config, NULL);
	return ok;
}

static bool propose(struct ctl *ctx, struct ctl_call *call)
{
	struct ctl_waiter *waiter = ctl_waiter_new(CTL_WAIT_CALL);
	Dsp__CommandResult *read;
	Dsp__Command *command;
	bool ok;

	waiter->call = call;
	if (call->kind == CTL_CALL_REPLACE) {
		ok = propose_removal(ctx, call, waiter);
	} else {
		command = dsp__command__unpack(NULL, call->command_len,
					       call->command);
		read = command ? ctl_raft_read(ctx, command) : NULL;
		if (read) {
			finish_with_result(ctx, call, read);
			dsp__command__free_unpacked(command, NULL);
			g_free(waiter);
			return true;
		}
		ok = command && (ctl_raft_hold_known(ctx, command, waiter) ||
				 ctl_raft_propose(ctx, command, waiter));
		if (command)
			dsp__command__free_unpacked(command, NULL);
	}
	if (!ok) {
		g_free(waiter);
		return false;
	}
	call_ref(ctx, call);
	return true;
}

/*
 * Returns the address that a command is forwarded to, or NULL: the leader's, or
 * when the leader does not answer, from time to time that of another voter,
 * whose reply names the leader. Without a known leader the command is not sent,
 * so that its caller may learn that it had no effect.
 */
static const char *forward_address(struct ctl *ctx, struct ctl_call *call)
{
	const char *address = ctx->leader_address;
	const char **voters;
	size_t n;

	if (!address || call->tries % (TRIES_AT_LEADER + 2) < TRIES_AT_LEADER)
		return address;
	n = ctl_report_voters(ctx, &voters);
	if (n)
		address = voters[(call->tries + call->id) % n];
	g_free(voters);
	return address;
}

static void send_forward(struct ctl *ctx, struct ctl_call *call)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__Forward forward = DSP__FORWARD__INIT;
	const char *address = forward_address(ctx, call);

	if (!address || !mark_submitted(ctx, call))
		return;
	forward.id = call->id;
	forward.node = ctx->set->id;
	forward.boot = ctx->boot;
	forward.command.data = call->command;
	forward.command.len = call->command_len;
	forward.replace_replica = call->replica;
	out.body_case = DSP__ENVELOPE__BODY_FORWARD;
	out.forward = &forward;
	ctl_send(ctx, address, &out);
	call->n_outstanding++;
	call->tries++;
	call->sent_us = ctx->now_us;
}

/* Proposes a command on the leader, else forwards it there; it stays queued
 * when no leader is known. */
static void submit_command(struct ctl *ctx, struct ctl_call *call)
{
	Dsp__CommandResult *rejection = NULL;

	if (ctl_raft_is_leader(ctx)) {
		if (call->kind == CTL_CALL_REPLACE)
			rejection = ctl_raft_check_removal(ctx, call->replica);
		if (rejection) {
			finish_with_result(ctx, call, rejection);
			return;
		}
		if (!mark_submitted(ctx, call))
			return;
		call->proposed = propose(ctx, call);
		if (call->proposed)
			call->n_outstanding++;
		else
			submission_refused(ctx, call);
		call->sent_us = ctx->now_us;
		return;
	}
	send_forward(ctx, call);
}

static void send_answer_query(struct ctl *ctx, struct ctl_call *call)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	const Dsp__Node *node = view_node(ctx->view, call->node);

	if (!strcmp(call->node, ctx->set->id)) {
		call->answer = ctx->cb.answer_query
				       ? ctx->cb.answer_query(ctx->cb.data,
							      call->query)
				       : NULL;
		finish(ctx, call);
		return;
	}
	call->query->id = call->id;
	out.body_case = DSP__ENVELOPE__BODY_ANSWER_QUERY;
	out.answer_query = call->query;
	ctl_send(ctx,
		 node ? node->internal_address
		      : g_hash_table_lookup(ctx->addresses, call->node),
		 &out);
	call->sent_us = ctx->now_us;
}

/* Starts a call that another thread queued. */
void ctl_call_start(struct ctl *ctx, struct ctl_call *call)
{
	if (is_over(ctx, call))
		return;
	if (call->kind == CTL_CALL_STATUS) {
		call->text = ctl_status_build(ctx);
		finish(ctx, call);
		return;
	}
	call->id = ++ctx->next_call;
	call->start_us = ctx->now_us;
	call->listed = true;
	call_ref(ctx, call);
	TAILQ_INSERT_TAIL(&ctx->calls, call, link);
	g_hash_table_insert(ctx->calls_by_id, &call->id, call);
	if (call->kind == CTL_CALL_ANSWER_QUERY)
		send_answer_query(ctx, call);
	else
		submit_command(ctx, call);
}

/* Reports a call whose caller gave up before it had an outcome. */
static void report_given_up(struct ctl *ctx, const struct ctl_call *call)
{
	const char *waits_for = "leader";

	if (call->proposed)
		waits_for = "outcome";
	else if (call->n_outstanding)
		waits_for = "reply";
	LOG_EVENT_INFO("ctl", "call_given_up",
		       "id=%" G_GUINT64_FORMAT
		       " kind=%d waits_for=%s handled_ago_us=%" G_GINT64_FORMAT
		       " sent_ago_us=%" G_GINT64_FORMAT
		       " tries=%u outstanding=%u leader=%s"
		       " view_age_ms=%u",
		       call->id, (int)call->kind, waits_for,
		       ctx->now_us - call->start_us,
		       call->sent_us ? ctx->now_us - call->sent_us : (gint64)-1,
		       call->tries, call->n_outstanding,
		       ctx->leader_address ? ctx->leader_address : "none",
		       ctl_confirmed_age_ms(ctx));
}

static void run_call(struct ctl *ctx, struct ctl_call *call)
{
	if (is_over(ctx, call)) {
		if (call->state != CTL_CALL_DONE)
			report_given_up(ctx, call);
		remove_call(ctx, call);
		return;
	}
	if (call->n_outstanding &&
	    (!call->idempotent ||
	     ctx->now_us - call->start_us > RESEND_PERIOD_US))
		return;
	if (ctx->now_us - call->sent_us < RESEND_US && call->tries)
		return;
	if (call->kind == CTL_CALL_ANSWER_QUERY) {
		if (ctx->now_us - call->sent_us >= RESEND_US)
			send_answer_query(ctx, call);
		return;
	}
	/* The log decides on a proposal of this replica: no second one. */
	if (call->proposed && ctl_raft_is_leader(ctx))
		return;
	call->redirects = 0;
	submit_command(ctx, call);
}

/* Sends calls without a reply again and removes those that are over. */
void ctl_call_run(struct ctl *ctx)
{
	struct ctl_call *call;
	struct ctl_call *next;

	if (ctx->now_us < ctx->calls_due_us)
		return;
	ctx->calls_due_us = ctx->now_us + RUN_INTERVAL_US;
	for (call = TAILQ_FIRST(&ctx->calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		run_call(ctx, call);
	}
}

/* Handles the leader's reply to a forwarded command. */
void ctl_call_reply(struct ctl *ctx, const Dsp__Envelope *from,
		    const Dsp__ForwardReply *reply)
{
	struct ctl_call *call;

	if (reply->boot != ctx->boot || !reply->result)
		return;
	call = g_hash_table_lookup(ctx->calls_by_id, &reply->id);
	if (!call || is_over(ctx, call))
		return;
	switch (reply->result->code) {
	case DSP__RESULT_CODE__RESULT_NOT_LEADER:
		if (ctx->leader_address &&
		    !strcmp(ctx->leader_address, from->address))
			g_clear_pointer(&ctx->leader_address, g_free);
		if (reply->leader[0]) {
			g_free(ctx->leader_address);
			ctx->leader_address = g_strdup(reply->leader);
			call->tries = 0;
		}
		submission_refused(ctx, call);
		if (!call->n_outstanding && reply->leader[0] &&
		    call->redirects++ < REDIRECTS_MAX)
			submit_command(ctx, call);
		break;
	case DSP__RESULT_CODE__RESULT_UNAVAILABLE:
		break;
	default:
		finish_with_result(ctx, call, msg_dup(reply->result));
		break;
	}
}

/* Handles another entry's reply to an answer query. */
void ctl_call_answer(struct ctl *ctx, const Dsp__AnswerReply *reply)
{
	struct ctl_call *call =
		g_hash_table_lookup(ctx->calls_by_id, &reply->id);

	if (!call || call->kind != CTL_CALL_ANSWER_QUERY || is_over(ctx, call))
		return;
	call->answer = msg_dup(reply);
	finish(ctx, call);
}

/*
 * Handles the end of a call's proposal. Without a result, another leader has
 * overwritten it and it never takes effect, so it is submitted again. Takes
 * ownership of the result and the waiter's reference.
 */
void ctl_call_committed(struct ctl *ctx, struct ctl_call *call,
			Dsp__CommandResult *result)
{
	if (result) {
		finish_with_result(ctx, call, result);
	} else {
		call->proposed = false;
		submission_refused(ctx, call);
		call->sent_us = 0;
	}
	ctl_call_unref(ctx, call);
}

/* Handles a proposal that was committed and may not be acknowledged here; the
 * next leader gets the command again. Takes the waiter's reference. */
void ctl_call_abandoned(struct ctl *ctx, struct ctl_call *call)
{
	call->proposed = false;
	call->sent_us = 0;
	ctl_call_unref(ctx, call);
}

/* Removes all calls when the control thread stops; their callers get no
 * result. */
void ctl_call_finish_all(struct ctl *ctx)
{
	struct ctl_call *call;
	struct ctl_call *next;

	for (call = TAILQ_FIRST(&ctx->calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		remove_call(ctx, call);
	}
}
