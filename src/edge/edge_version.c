#include "edge/edge_int.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/ver.h"

/*
 * Versions of streams at an entry: tells the other instances with which
 * software the own streams began, and asks the leader about those that a caller
 * began elsewhere, several at a time.
 */

/* Delay of the message to the control thread, so that streams share it. */
#define TELL_DELAY_US 10000
/* Wait for the leader's answer: an election and a resend. */
#define ASK_TIMEOUT_US 1500000
#define ASK_MAX 1024
/* Delay of the copies of streams for other entries while services have one
 * version each; with several it is TELL_DELAY_US. What an entry began in that
 * time is not known if it is lost. */
#define COPY_DELAY_US 200000
/* Other entries that remember a stream. */
#define COPIES 2

struct edge_versions {
	struct edge *edge;
	struct ver *ver;
	struct event *tell;
	struct event *copy;
	TAILQ_HEAD(, edge_version) waiting;
	/* The first n_asked items that wait are in the question that is on its
	 * way; an item that ends leaves a gap. */
	struct edge_version *asked[ASK_MAX];
	size_t n_asked;
};

static void on_tell(evutil_socket_t fd, short what, void *data)
{
	struct edge_versions *ctx = data;
	Dsp__StreamsBegun *begun = ver_take(ctx->ver);

	(void)fd;
	(void)what;
	if (begun)
		ctl_streams_begun(ctx->edge->ctl, begun);
}

static bool is_other_entry(const struct edge *edge, const Dsp__Node *node)
{
	return node->http_address[0] && !node->down && !node->draining &&
	       strcmp(node->id, edge->set->id) != 0;
}

/*
 * Chooses the entries that remember this one's streams: those that follow it in
 * the view, the first of them from another site where there is one, since a
 * site may be cut off as a whole.
 */
static size_t choose_keepers(const struct edge *edge,
			     const char *out[static COPIES])
{
	const struct view *view = edge->view;
	size_t n_nodes = view_n_nodes(view);
	const Dsp__Node *far = NULL;
	size_t self = 0;
	size_t n = 0;

	for (size_t i = 0; i < n_nodes; i++)
		if (!strcmp(view_node_at(view, i)->id, edge->set->id))
			self = i;
	for (size_t i = 1; i < n_nodes && !far; i++) {
		const Dsp__Node *node =
			view_node_at(view, (self + i) % n_nodes);

		if (is_other_entry(edge, node) &&
		    strcmp(node->site, edge->set->site) != 0)
			far = node;
	}
	if (far)
		out[n++] = far->id;
	for (size_t i = 1; i < n_nodes && n < COPIES; i++) {
		const Dsp__Node *node =
			view_node_at(view, (self + i) % n_nodes);

		if (is_other_entry(edge, node) && node != far)
			out[n++] = node->id;
	}
	return n;
}

static void on_copy(evutil_socket_t fd, short what, void *data)
{
	struct edge_versions *ctx = data;
	Dsp__StreamCopies *copies =
		ver_take_copies(ctx->ver, clk_now_us(ctx->edge->clock));
	const char *keepers[COPIES];
	size_t n;

	(void)fd;
	(void)what;
	if (!copies)
		return;
	n = choose_keepers(ctx->edge, keepers);
	for (size_t i = 0; i < n; i++)
		ctl_stream_copies(ctx->edge->ctl, keepers[i], copies);
	met_count(ctx->edge->met, "dandelionspar_edge_stream_copies", "", n);
	dsp__stream_copies__free_unpacked(copies, NULL);
}

/* Starts without a view. */
struct edge_versions *edge_versions_new(struct edge *edge)
{
	struct edge_versions *ctx = g_new0(struct edge_versions, 1);

	ctx->edge = edge;
	ctx->ver = ver_new();
	ctx->tell = event_new(edge->base, -1, 0, on_tell, ctx);
	ctx->copy = event_new(edge->base, -1, 0, on_copy, ctx);
	TAILQ_INIT(&ctx->waiting);
	return ctx;
}

/* Frees the versions; no item may wait any more. NULL is allowed. */
void edge_versions_free(struct edge_versions *ctx)
{
	if (!ctx)
		return;
	event_free(ctx->tell);
	event_free(ctx->copy);
	ver_free(ctx->ver);
	g_free(ctx);
}

static void schedule_tell(struct edge_versions *ctx)
{
	struct timeval delay = { .tv_usec = TELL_DELAY_US };

	if (ver_has_news(ctx->ver) &&
	    !event_pending(ctx->tell, EV_TIMEOUT, NULL))
		event_add(ctx->tell, &delay);
}

/* Takes over the versions of the edge's view. */
void edge_versions_view_changed(struct edge_versions *ctx)
{
	ver_set_view(ctx->ver, ctx->edge->view);
	schedule_tell(ctx);
}

/* Remembers a stream whose first event is passed on. software NULL: not known.
 * until_us: when its caller gives up. */
void edge_versions_begun(struct edge_versions *ctx, const char *request_id,
			 const char *service, const char *software,
			 int64_t until_us)
{
	struct timeval delay = {
		.tv_usec = edge_versions_are_mixed(ctx, service)
				   ? TELL_DELAY_US
				   : COPY_DELAY_US,
	};

	ver_begun(ctx->ver, ver_digest(request_id), service, software, until_us,
		  clk_now_us(ctx->edge->clock));
	schedule_tell(ctx);
	if (!event_pending(ctx->copy, EV_TIMEOUT, NULL))
		event_add(ctx->copy, &delay);
}

/* Remembers streams of another entry. */
void edge_versions_keep(struct edge_versions *ctx,
			const Dsp__StreamCopies *copies)
{
	ver_keep(ctx->ver, copies, clk_now_us(ctx->edge->clock));
	schedule_tell(ctx);
}

/* Returns whether streams of the service may have different versions. */
bool edge_versions_are_mixed(const struct edge_versions *ctx,
			     const char *service)
{
	return ver_is_mixed(ctx->ver, service);
}

static void ask(struct edge_versions *ctx);

static void count_found(struct edge_versions *ctx, const char *outcome)
{
	char label[48];

	g_snprintf(label, sizeof(label), "outcome=\"%s\"", outcome);
	met_count(ctx->edge->met, "dandelionspar_edge_versions_asked", label,
		  1);
}

static void found(struct edge *edge, struct edge_call *call)
{
	struct edge_versions *ctx = edge->versions;
	const Dsp__CommandResult *result = call->result;
	size_t n = ctx->n_asked;
	bool answered = result && result->n_streams == n;

	for (size_t i = 0; i < n; i++) {
		struct edge_version *item = ctx->asked[i];
		const Dsp__StreamFound *stream =
			answered ? result->streams[i] : NULL;

		if (!item)
			continue;
		TAILQ_REMOVE(&ctx->waiting, item, link);
		item->asked = NULL;
		item->state = !stream	      ? EDGE_VERSION_UNANSWERED
			      : stream->known ? EDGE_VERSION_KNOWN
					      : EDGE_VERSION_UNKNOWN;
		if (stream && stream->known)
			item->software = g_strdup(stream->software);
		count_found(ctx, !stream	 ? "unanswered"
				 : stream->known ? "known"
						 : "unknown");
		fwd_version_found(item);
	}
	ctx->n_asked = 0;
	ask(ctx);
}

/* Asks about the streams of one service that wait, unless a question is on its
 * way. */
static void ask(struct edge_versions *ctx)
{
	struct edge_version *first = TAILQ_FIRST(&ctx->waiting);
	struct edge_version *item;
	Dsp__Command *command;
	Dsp__StreamsFind *find;

	if (!first || ctx->n_asked)
		return;
	find = g_new(Dsp__StreamsFind, 1);
	dsp__streams_find__init(find);
	find->service = g_strdup(first->service);
	find->streams = g_new(uint64_t, ASK_MAX);
	TAILQ_FOREACH (item, &ctx->waiting, link) {
		if (strcmp(item->service, first->service) != 0 ||
		    ctx->n_asked == ASK_MAX)
			continue;
		item->asked = &ctx->asked[ctx->n_asked];
		ctx->asked[ctx->n_asked++] = item;
		find->streams[find->n_streams++] = item->digest;
	}
	command = g_new(Dsp__Command, 1);
	dsp__command__init(command);
	command->body_case = DSP__COMMAND__BODY_STREAMS_FIND;
	command->streams_find = find;
	edge_call_start(ctx->edge, NULL, command, ASK_TIMEOUT_US, found, NULL);
}

/*
 * Finds out with which version a stream may be resumed. If the leader has to be
 * asked, the state is EDGE_VERSION_ASKED until fwd_version_found() is called.
 * service must stay valid; begun_by NULL: the caller does not tell.
 */
void edge_version_find(struct edge_versions *ctx, struct edge_version *item,
		       const char *begun_by, const char *service)
{
	struct ver_question question = {
		.digest = begun_by ? ver_digest(begun_by) : 0,
		.service = service,
		.view_age_us = ctl_state(ctx->edge->ctl).stale_us,
	};
	struct ver_answer answer = ver_find(ctx->ver, &question);

	switch (answer.place) {
	case VER_ANYWHERE:
		item->state = EDGE_VERSION_KNOWN;
		return;
	case VER_SAME:
		item->state = EDGE_VERSION_KNOWN;
		item->software = g_strdup(answer.software);
		return;
	case VER_ASK:
		break;
	}
	if (!begun_by) {
		item->state = EDGE_VERSION_UNKNOWN;
		return;
	}
	item->owner = ctx;
	item->digest = question.digest;
	item->service = service;
	item->state = EDGE_VERSION_ASKED;
	TAILQ_INSERT_TAIL(&ctx->waiting, item, link);
	ask(ctx);
}

/* Ends the item of a request that ends. */
void edge_version_clear(struct edge_version *item)
{
	if (item->state == EDGE_VERSION_ASKED) {
		TAILQ_REMOVE(&item->owner->waiting, item, link);
		if (item->asked)
			*item->asked = NULL;
	}
	g_clear_pointer(&item->software, g_free);
	item->state = EDGE_VERSION_NONE;
}

/* Sets the gauges. */
void edge_versions_set_gauges(struct edge_versions *ctx)
{
	met_gauge(ctx->edge->met, "dandelionspar_edge_streams_remembered", "",
		  (int64_t)ver_n_streams(ctx->ver));
}
