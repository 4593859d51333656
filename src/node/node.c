#include "node/node.h"

#include "base/log.h"
#include "edge/edge.h"
#include "node/ctl.h"
#include "traffic/trf.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

/* How often the main thread looks for a drain request and for the end of the
 * requests in flight. */
#define POLL_NS 100000000
/* Limit for closing the HTTP port once no request is in flight. */
#define CLOSE_LIMIT_S 1

struct node {
	const struct set *set;
	struct clk *clock; /* owned */
	struct met *met;   /* owned */
	struct trf *trf;   /* owned */
	struct ctl *ctl;   /* owned */
	struct edge *edge; /* owned; instead of trf */
	sigset_t signals;  /* blocked in all threads */
};

/* Waits a short time for a signal; returns its number or 0. */
static int poll_signal(const struct node *ctx)
{
	struct timespec limit = { .tv_nsec = POLL_NS };
	int number = sigtimedwait(&ctx->signals, NULL, &limit);

	return number > 0 ? number : 0;
}

static void wait_for_stop(const struct node *ctx)
{
	int number = 0;

	while (!number && !trf_drain_requested(ctx->trf))
		number = poll_signal(ctx);
	LOG_EVENT_NOTICE("node", "drain", "signal=%d", number);
}

/*
 * Serves on for the validity time of entry lists that name this instance, then
 * until no request is in flight; both within the drain limit. A second signal
 * ends the wait.
 */
static void drain(const struct node *ctx)
{
	int64_t start_us = clk_now_us(ctx->clock);
	int64_t listed_us = (int64_t)ctx->set->entry_validity_s * 1000000;
	int64_t limit_us = (int64_t)ctx->set->drain_limit_s * 1000000;
	int64_t waited_us = 0;

	ctl_drain(ctx->ctl);
	while (!limit_us || waited_us < limit_us) {
		if (poll_signal(ctx)) {
			LOG_EVENT_WARN("node", "stop_at_once", "in_flight=%u",
				       trf_in_flight(ctx->trf));
			return;
		}
		waited_us = clk_now_us(ctx->clock) - start_us;
		if (waited_us >= listed_us && !trf_in_flight(ctx->trf))
			return;
	}
	LOG_EVENT_WARN("node", "drain_limit", "in_flight=%u",
		       trf_in_flight(ctx->trf));
}

/*
 * Leaves the entry lists, serves until no request is in flight and callers have
 * had time to learn of it, all within the drain limit.
 */
static void drain_edge(const struct node *ctx)
{
	const struct set_edge *set = &ctx->set->edge;
	int64_t start_us = clk_now_us(ctx->clock);
	int64_t listed_us = (int64_t)set->entry_validity_s * 1000000;
	int64_t waited_us = 0;

	ctl_drain(ctx->ctl);
	edge_drain(ctx->edge);
	while (waited_us < set->drain_limit_ms * 1000LL) {
		poll_signal(ctx);
		waited_us = clk_now_us(ctx->clock) - start_us;
		if (waited_us >= listed_us && !edge_in_flight(ctx->edge))
			return;
	}
	LOG_EVENT_WARN("node", "drain_limit", "in_flight=%u",
		       edge_in_flight(ctx->edge));
}

/* Runs an instance whose traffic is served by the edge. */
static int run_edge(struct node *ctx, GError **err)
{
	struct ctl_callbacks callbacks;
	int number = 0;
	int result = 1;

	ctx->edge = edge_new(ctx->set, ctx->clock, ctx->met);
	callbacks = edge_ctl_callbacks(ctx->edge);
	ctx->ctl = ctl_start(ctx->set, ctx->clock, ctx->met, &callbacks, err);
	if (!ctx->ctl || !edge_start(ctx->edge, ctx->ctl, err))
		goto out;
	LOG_EVENT_NOTICE("node", "started", "instance=%s site=%s",
			 ctx->set->id, ctx->set->site);
	while (!number)
		number = poll_signal(ctx);
	LOG_EVENT_NOTICE("node", "drain", "signal=%d", number);
	drain_edge(ctx);
	result = 0;
out:
	edge_stop(ctx->edge);
	if (ctx->ctl)
		ctl_stop(ctx->ctl);
	edge_free(ctx->edge);
	LOG_EVENT_NOTICE("node", "stopped", "instance=%s", ctx->set->id);
	return result;
}

static void block_signals(struct node *ctx)
{
	sigemptyset(&ctx->signals);
	sigaddset(&ctx->signals, SIGTERM);
	sigaddset(&ctx->signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &ctx->signals, NULL);
	/* Both are handled as errors of the write. */
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
}

/*
 * Runs one instance: starts the control thread, then the HTTP port; after
 * SIGTERM, SIGINT or an operator's drain request it drains and stops. Returns
 * 0, or 1 with err set when it could not start.
 */
int node_run(const struct set *settings, GError **err)
{
	struct node ctx = { .set = settings };
	struct ctl_callbacks callbacks;
	int result = 1;

	block_signals(&ctx);
	ctx.clock = clk_new_real();
	ctx.met = met_new();
	if (settings->has_edge) {
		result = run_edge(&ctx, err);
		met_free(ctx.met);
		clk_free(ctx.clock);
		return result;
	}
	ctx.trf = trf_new(settings, ctx.clock, ctx.met);
	callbacks = trf_ctl_callbacks(ctx.trf);
	ctx.ctl = ctl_start(settings, ctx.clock, ctx.met, &callbacks, err);
	if (!ctx.ctl)
		goto out;
	if (!trf_start(ctx.trf, ctx.ctl, err))
		goto out;
	LOG_EVENT_NOTICE("node", "started", "instance=%s site=%s http=%s",
			 settings->id, settings->site, settings->http_listen);
	wait_for_stop(&ctx);
	drain(&ctx);
	trf_stop(ctx.trf, CLOSE_LIMIT_S);
	LOG_EVENT_NOTICE("node", "stopped", "instance=%s", settings->id);
	result = 0;
out:
	if (ctx.ctl)
		ctl_stop(ctx.ctl);
	trf_free(ctx.trf);
	met_free(ctx.met);
	clk_free(ctx.clock);
	return result;
}
