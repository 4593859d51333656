#include "traffic/trf_int.h"

#include "base/log.h"
#include "platform/wire.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

/* Interval at which waiting requests are polled without an event: deadlines
 * pass with time alone. */
#define POLL_INTERVAL_US 20000
#define TICK_INTERVAL_US 1000000
#define QUEUE_FULL_RETRY_AFTER_US 1000000

static void copy_target(struct trf_waiter *w)
{
	const Dsp__Endpoint *e = w->decision.endpoint;
	struct trf_target *t = &w->target;

	g_strlcpy(t->id, e->id, sizeof(t->id));
	g_strlcpy(t->address, e->address, sizeof(t->address));
	t->incarnation = e->incarnation;
	g_strlcpy(t->software, e->software, sizeof(t->software));
	t->cancel = e->features && e->features->cancel;
	t->resume = e->features && e->features->resume;
	t->priorities = e->features && e->features->priorities;
}

static uint32_t waiting_in_class(struct trf *ctx, const char *key)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(ctx->waiting_per_class, key));
}

static void adjust_waiting(struct trf *ctx, const char *key, int change)
{
	uint32_t n = waiting_in_class(ctx, key) + (uint32_t)change;

	if (n)
		g_hash_table_replace(ctx->waiting_per_class, g_strdup(key),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(ctx->waiting_per_class, key);
	met_gauge(ctx->metrics, "dandelionspar_requests_waiting", "",
		  (int64_t)rt_waiting(ctx->rt));
}

/* Applies a decision to the waiter: queues it, resolves it, or refuses it when
 * the queue of its class is full. The caller holds rt_lock. */
static void apply_decision(struct trf *ctx, struct trf_waiter *w)
{
	if (w->decision.ticket)
		w->ticket = w->decision.ticket;
	switch (w->decision.outcome) {
	case RT_DISPATCH:
		copy_target(w);
		w->resolved = true;
		return;
	case RT_REFUSE:
		w->resolved = true;
		return;
	case RT_WAIT:
		break;
	}
	w->resolved = false;
	if (waiting_in_class(ctx, w->class_key) >= ctx->settings->queue_max) {
		rt_done(ctx->rt, w->ticket, trf_now(ctx), 0, false);
		w->ticket = NULL;
		w->decision.outcome = RT_REFUSE;
		w->decision.reason = RT_REASON_QUEUE_FULL;
		w->decision.retry_after_us = QUEUE_FULL_RETRY_AFTER_US;
		w->resolved = true;
		return;
	}
	adjust_waiting(ctx, w->class_key, 1);
	TAILQ_INSERT_TAIL(&ctx->waiters, w, link);
	pthread_cond_signal(&ctx->rt_wake);
}

/* Asks the router for the first endpoint. The caller has set class_key, and
 * ends the request with trf_route_done(). */
void trf_route_submit(struct trf *ctx, struct trf_waiter *w,
		      const struct rt_request *request)
{
	pthread_cond_init(&w->wake, NULL);
	pthread_mutex_lock(&ctx->rt_lock);
	memset(&w->decision, 0, sizeof(w->decision));
	rt_submit(ctx->rt, request, trf_now(ctx), &w->decision);
	apply_decision(ctx, w);
	pthread_mutex_unlock(&ctx->rt_lock);
}

/* Asks the router for another endpoint after a failed attempt. */
void trf_route_retry(struct trf *ctx, struct trf_waiter *w)
{
	pthread_mutex_lock(&ctx->rt_lock);
	memset(&w->decision, 0, sizeof(w->decision));
	rt_retry(ctx->rt, w->ticket, trf_now(ctx), &w->decision);
	apply_decision(ctx, w);
	pthread_mutex_unlock(&ctx->rt_lock);
}

static void remove_waiter(struct trf *ctx, struct trf_waiter *w)
{
	TAILQ_REMOVE(&ctx->waiters, w, link);
	adjust_waiting(ctx, w->class_key, -1);
}

static struct timespec realtime_after(int64_t us)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += us / 1000000;
	ts.tv_nsec += us % 1000000 * 1000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}

/*
 * Waits until the decision is no longer RT_WAIT. Calls tick (NULL: none) about
 * once a second with no lock held. Returns false when the deadline passed or
 * tick ended the wait; the ticket must still be ended with trf_route_done().
 */
bool trf_route_wait(struct trf *ctx, struct trf_waiter *w, int64_t deadline_us,
		    trf_wait_tick tick, void *data)
{
	bool keep_waiting = true;
	bool resolved;

	pthread_mutex_lock(&ctx->rt_lock);
	while (!w->resolved && keep_waiting) {
		int64_t left = deadline_us - trf_now(ctx);
		struct timespec until;

		if (left <= 0)
			break;
		until = realtime_after(MIN(left, TICK_INTERVAL_US));
		pthread_cond_timedwait(&w->wake, &ctx->rt_lock, &until);
		if (w->resolved || !tick)
			continue;
		pthread_mutex_unlock(&ctx->rt_lock);
		keep_waiting = tick(data);
		pthread_mutex_lock(&ctx->rt_lock);
	}
	resolved = w->resolved;
	if (!resolved) {
		remove_waiter(ctx, w);
		w->resolved = true;
	}
	pthread_mutex_unlock(&ctx->rt_lock);
	return resolved;
}

/* Ends the ticket, if there is one, and has waiting requests polled. */
void trf_route_done(struct trf *ctx, struct trf_waiter *w, uint32_t tokens,
		    bool success)
{
	pthread_mutex_lock(&ctx->rt_lock);
	if (w->ticket)
		rt_done(ctx->rt, w->ticket, trf_now(ctx), tokens, success);
	w->ticket = NULL;
	ctx->rt_changed = true;
	if (!TAILQ_EMPTY(&ctx->waiters))
		pthread_cond_signal(&ctx->rt_wake);
	pthread_mutex_unlock(&ctx->rt_lock);
	pthread_cond_destroy(&w->wake);
}

/* Reports the first token of a request to the router. */
void trf_route_first_token(struct trf *ctx, struct trf_waiter *w)
{
	pthread_mutex_lock(&ctx->rt_lock);
	if (w->ticket)
		rt_first_token(ctx->rt, w->ticket, trf_now(ctx));
	pthread_mutex_unlock(&ctx->rt_lock);
}

/* Reports a failed endpoint to the router, which avoids it for a while. */
void trf_route_failed(struct trf *ctx, const struct trf_target *target)
{
	pthread_mutex_lock(&ctx->rt_lock);
	rt_endpoint_failed(ctx->rt, target->id, target->incarnation,
			   trf_now(ctx));
	pthread_mutex_unlock(&ctx->rt_lock);
}

static void count_hint(struct trf *ctx, const struct wire_hint *hint)
{
	if (hint->malformed)
		met_count(ctx->metrics, "dandelionspar_hints_malformed_total",
			  "", 1);
	if (hint->pause_us)
		met_count(ctx->metrics, "dandelionspar_pauses_seen_total", "",
			  1);
	if (hint->leaving)
		met_count(ctx->metrics, "dandelionspar_leaving_seen_total", "",
			  1);
}

/* Records what an answer of the endpoint says about further requests. */
void trf_route_hint(struct trf *ctx, const struct trf_target *target,
		    const struct wire_hint *hint)
{
	enum lim_news limit;
	unsigned news;

	count_hint(ctx, hint);
	pthread_mutex_lock(&ctx->rt_lock);
	news = rt_saw_hint(ctx->rt, target->id, target->incarnation,
			   hint->leaving, hint->pause_us, g_random_double(),
			   trf_now(ctx));
	limit = rt_saw_limit(ctx->rt, target->id, target->incarnation,
			     hint->limit, g_random_double(), trf_now(ctx));
	if (news || limit != LIM_SAME)
		trf_route_wake(ctx);
	pthread_mutex_unlock(&ctx->rt_lock);
	if (limit != LIM_SAME)
		LOG_EVENT_NOTICE("trf", "endpoint_limit",
				 "endpoint=%s incarnation=%" PRIu64
				 " news=%s rate=%.3f",
				 target->id, target->incarnation,
				 lim_news_name(limit), hint->limit);
	if (news || hint->malformed)
		LOG_EVENT_NOTICE("trf", "endpoint_hint",
				 "endpoint=%s incarnation=%" PRIu64
				 " leaving=%d pause_us=%" PRId64
				 " malformed=%d news=%u",
				 target->id, target->incarnation, hint->leaving,
				 hint->pause_us, hint->malformed, news);
}

/* Returns whether the endpoint's process wants no requests now. */
enum hint_bar trf_route_bar(struct trf *ctx, const char *endpoint,
			    uint64_t incarnation)
{
	enum hint_bar bar;

	pthread_mutex_lock(&ctx->rt_lock);
	bar = rt_bar(ctx->rt, endpoint, incarnation, trf_now(ctx));
	pthread_mutex_unlock(&ctx->rt_lock);
	return bar;
}

/* Has all waiting requests polled again. The caller holds rt_lock. */
void trf_route_wake(struct trf *ctx)
{
	ctx->rt_changed = true;
	pthread_cond_signal(&ctx->rt_wake);
}

static void poll_waiters(struct trf *ctx)
{
	struct trf_waiter *w = TAILQ_FIRST(&ctx->waiters);
	struct trf_waiter *next;

	for (; w; w = next) {
		next = TAILQ_NEXT(w, link);
		rt_poll(ctx->rt, w->ticket, trf_now(ctx), &w->decision);
		if (w->decision.outcome == RT_WAIT)
			continue;
		remove_waiter(ctx, w);
		if (w->decision.outcome == RT_DISPATCH)
			copy_target(w);
		w->resolved = true;
		pthread_cond_signal(&w->wake);
	}
}

/*
 * Thread that polls the router for all waiting requests after each completion
 * or event, and wakes the thread of each request that is decided. With one
 * thread for this, completions that come close together share one pass, and a
 * request that completes is not delayed by it.
 */
void *trf_route_thread(void *data)
{
	struct trf *ctx = data;

	pthread_mutex_lock(&ctx->rt_lock);
	while (!ctx->rt_stop) {
		struct timespec until = realtime_after(POLL_INTERVAL_US);

		if (TAILQ_EMPTY(&ctx->waiters))
			pthread_cond_wait(&ctx->rt_wake, &ctx->rt_lock);
		else if (!ctx->rt_changed)
			pthread_cond_timedwait(&ctx->rt_wake, &ctx->rt_lock,
					       &until);
		ctx->rt_changed = false;
		poll_waiters(ctx);
	}
	pthread_mutex_unlock(&ctx->rt_lock);
	return NULL;
}
