#include "edge/edge_int.h"

#include "base/log.h"

/* The thread only waits for the control thread, so a small stack suffices. */
#define STACK_BYTES (96 << 10)

static void call_free(struct edge_call *call)
{
	dsp__command__free_unpacked(call->command, NULL);
	if (call->result)
		dsp__command_result__free_unpacked(call->result, NULL);
	g_free(call);
}

static void post_done(struct edge_call *call)
{
	struct edge *ctx = call->edge;

	pthread_mutex_lock(&ctx->lock);
	STAILQ_INSERT_TAIL(&ctx->done, call, link);
	ctx->calls_running--;
	pthread_cond_signal(&ctx->calls_ended);
	event_active(ctx->wake, EV_READ, 0);
	pthread_mutex_unlock(&ctx->lock);
}

static void *run(void *data)
{
	struct edge_call *call = data;
	GError *error = NULL;

	call->result = ctl_submit(call->edge->ctl, call->command,
				  call->timeout_us, &error);
	call->not_sent = g_error_matches(error, CTL_ERROR, CTL_ERROR_NOT_SENT);
	if (error)
		LOG_EVENT_INFO("edge", "command_failed", "reason=\"%s\"",
			       error->message);
	g_clear_error(&error);
	post_done(call);
	return NULL;
}

/* Submits a command on a separate thread; done is called on the edge thread
 * with the result and data. */
void edge_call_start(struct edge *ctx, struct hio_exchange *exchange,
		     Dsp__Command *command, int64_t timeout_us, edge_done *done,
		     void *data)
{
	struct edge_call *call = g_new0(struct edge_call, 1);
	pthread_attr_t attributes;
	pthread_t thread;
	int error;

	call->edge = ctx;
	call->exchange = exchange;
	call->command = command;
	call->start_us = clk_now_us(ctx->clock);
	call->timeout_us = timeout_us;
	call->done = done;
	call->data = data;
	if (exchange)
		hio_exchange_set_data(exchange, call);
	pthread_mutex_lock(&ctx->lock);
	ctx->calls_running++;
	pthread_mutex_unlock(&ctx->lock);
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	error = pthread_create(&thread, &attributes, run, call);
	pthread_attr_destroy(&attributes);
	if (!error)
		return;
	LOG_EVENT_ERROR("edge", "no_thread", "reason=\"%s\"",
			g_strerror(error));
	call->not_sent = true;
	post_done(call);
}

/* Calls the callbacks of the commands that have finished. */
void edge_calls_run(struct edge *ctx)
{
	struct edge_calls calls = STAILQ_HEAD_INITIALIZER(calls);

	pthread_mutex_lock(&ctx->lock);
	STAILQ_CONCAT(&calls, &ctx->done);
	pthread_mutex_unlock(&ctx->lock);
	while (!STAILQ_EMPTY(&calls)) {
		struct edge_call *call = STAILQ_FIRST(&calls);

		STAILQ_REMOVE_HEAD(&calls, link);
		call->done(ctx, call);
		call_free(call);
	}
}

/* Waits for the threads of all calls and discards their results. */
void edge_calls_wait(struct edge *ctx)
{
	pthread_mutex_lock(&ctx->lock);
	while (ctx->calls_running)
		pthread_cond_wait(&ctx->calls_ended, &ctx->lock);
	pthread_mutex_unlock(&ctx->lock);
	while (!STAILQ_EMPTY(&ctx->done)) {
		struct edge_call *call = STAILQ_FIRST(&ctx->done);

		STAILQ_REMOVE_HEAD(&ctx->done, link);
		call_free(call);
	}
}
