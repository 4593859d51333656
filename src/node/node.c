#include "node/node.h"

#include "base/log.h"
#include "edge/edge.h"
#include "node/ctl.h"
#include "traffic/trf.h"

#include <pthread.h>
#include <signal.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* Interval of the main thread's checks for a drain request and, in a drain, for
 * requests in flight. */
#define POLL_NS 100000000
/* Intervals between checks of the settings file for a change. */
#define RELOAD_POLLS 10
/* Time limit for closing the HTTP port once the drain has ended. */
#define CLOSE_LIMIT_S 1

struct node {
	const struct set *set;
	const char *path;  /* of the settings file */
	struct stat file;  /* its state when it was last read */
	unsigned polls;	   /* since the file was last checked */
	struct clk *clock; /* owned */
	struct met *met;   /* owned */
	struct trf *trf;   /* owned */
	struct ctl *ctl;   /* owned */
	struct edge *edge; /* owned; instead of trf */
	sigset_t signals;  /* blocked in all threads */
};

/* Waits POLL_NS for a signal; returns its number or 0. */
static int poll_signal(const struct node *ctx)
{
	struct timespec limit = { .tv_nsec = POLL_NS };
	int number = sigtimedwait(&ctx->signals, NULL, &limit);

	return number > 0 ? number : 0;
}

static bool file_changed(struct node *ctx)
{
	struct stat now;

	if (stat(ctx->path, &now) < 0)
		return false; /* being replaced; the next check finds it */
	if (now.st_mtim.tv_sec == ctx->file.st_mtim.tv_sec &&
	    now.st_mtim.tv_nsec == ctx->file.st_mtim.tv_nsec &&
	    now.st_size == ctx->file.st_size && now.st_ino == ctx->file.st_ino)
		return false;
	ctx->file = now;
	return true;
}

/* Reads the settings file again; only a change of the seeds takes effect. */
static void reload(struct node *ctx)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct set *next = NULL;
	GError *error = NULL;
	char *text;
	gsize len;

	if (g_file_get_contents(ctx->path, &text, &len, &error)) {
		next = set_parse(ctx->path, text, len, faults);
		g_free(text);
	}
	if (next)
		ctl_reload(ctx->ctl, next);
	LOG_EVENT_NOTICE("node", "reload", "path=%s outcome=%s reason=\"%s\"",
			 ctx->path, next ? "done" : "refused",
			 error	       ? error->message
			 : faults->len ? (char *)faults->pdata[0]
				       : "");
	g_clear_error(&error);
	set_free(next);
	g_ptr_array_free(faults, TRUE);
}

/* As poll_signal(), but reloads the settings after SIGHUP or when their file
 * has changed, and returns 0 for SIGHUP. */
static int poll_stop_signal(struct node *ctx)
{
	int number = poll_signal(ctx);
	bool due = ++ctx->polls >= RELOAD_POLLS;

	if (due)
		ctx->polls = 0;
	if (number == SIGHUP || (due && file_changed(ctx)))
		reload(ctx);
	return number == SIGHUP ? 0 : number;
}

static void wait_for_stop(struct node *ctx)
{
	int number = 0;

	while (!number && !trf_drain_requested(ctx->trf))
		number = poll_stop_signal(ctx);
	LOG_EVENT_NOTICE("node", "drain", "signal=%d", number);
}

/*
 * Drains an instance: it leaves the entry lists, but serves until the lists
 * that still name it have expired and no request is in flight, at most for the
 * drain limit (0: no limit). A second signal ends the wait.
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

/* As drain(), for an instance with the edge: the drain limit always applies,
 * and further signals are ignored. Answers are finished when they are written:
 * the end of the process drops what a slow caller has not read. */
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
		if (waited_us >= listed_us && !edge_in_flight(ctx->edge) &&
		    !edge_unsent(ctx->edge))
			return;
	}
	LOG_EVENT_WARN("node", "drain_limit", "in_flight=%u unsent=%u",
		       edge_in_flight(ctx->edge), edge_unsent(ctx->edge));
}

/* Runs an instance whose requests are served by the edge (src/edge). */
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
	LOG_EVENT_NOTICE("node", "started", "instance=%s site=%s", ctx->set->id,
			 ctx->set->site);
	while (!number)
		number = poll_stop_signal(ctx);
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
	sigaddset(&ctx->signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &ctx->signals, NULL);
	/* These cases are handled as errors of write(). */
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
}

/*
 * Runs one instance: starts the control thread, then the HTTP port; after
 * SIGTERM, SIGINT or an operator's drain request it drains and stops. path is
 * the settings file, which is read again after SIGHUP or a change. Returns 0,
 * or 1 with err set when it could not start.
 */
int node_run(const struct set *settings, const char *path, GError **err)
{
	struct node ctx = { .set = settings, .path = path };
	struct ctl_callbacks callbacks;
	int result = 1;

	log_set_output(STDOUT_FILENO);
	block_signals(&ctx);
	file_changed(&ctx);
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
