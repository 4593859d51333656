#include "node/ctl_int.h"

#include "base/log.h"
#include "base/msg.h"

/*
 * Streams that began with one of several versions of their service: entries
 * report them, relays pass them on, and the leader commits them. One that is
 * lost on the way is not known, so it is not resumed; nothing waits for them.
 */

/* Delay of a report with streams, so that several share it. A stream whose
 * entry is lost before is not known. */
#define REPORT_DELAY_US 100000
/* Shortest interval between two commands; bounds the growth of the log and the
 * work of the voters. */
#define PROPOSE_INTERVAL_US 200000
/* Streams that wait for a report or a command; further ones are dropped. */
#define PENDING_MAX 32768

static Dsp__StreamGroup *pending_group(struct ctl *ctx, const char *software)
{
	Dsp__StreamsBegun *all = ctx->streams;
	Dsp__StreamGroup *group;

	for (size_t i = 0; i < all->n_groups; i++)
		if (!strcmp(all->groups[i]->software, software))
			return all->groups[i];
	group = g_new(Dsp__StreamGroup, 1);
	dsp__stream_group__init(group);
	group->software = g_strdup(software);
	all->groups =
		g_renew(Dsp__StreamGroup *, all->groups, all->n_groups + 1);
	all->groups[all->n_groups++] = group;
	return group;
}

static void add_group(struct ctl *ctx, const Dsp__StreamGroup *group)
{
	Dsp__StreamGroup *to = pending_group(ctx, group->software);
	size_t room = PENDING_MAX - MIN(ctx->n_streams, PENDING_MAX);
	size_t n = MIN(group->n_streams, room);

	to->streams = g_renew(uint64_t, to->streams, to->n_streams + n);
	if (n)
		memcpy(to->streams + to->n_streams, group->streams,
		       n * sizeof(*group->streams));
	to->n_streams += n;
	ctx->n_streams += n;
	if (n == group->n_streams)
		return;
	met_count(ctx->met, "dandelionspar_streams_dropped", "",
		  group->n_streams - n);
	LOG_EVENT_WARN("ctl", "streams_dropped",
		       "streams=%zu software=\"%s\" pending=%zu",
		       group->n_streams - n, group->software, ctx->n_streams);
}

/* Adds streams to the next report, or on the leader to the next command. */
void ctl_stream_add(struct ctl *ctx, const Dsp__StreamsBegun *begun)
{
	if (!begun || !begun->n_groups)
		return;
	if (!ctx->streams) {
		ctx->streams = g_new(Dsp__StreamsBegun, 1);
		dsp__streams_begun__init(ctx->streams);
	}
	for (size_t i = 0; i < begun->n_groups; i++)
		add_group(ctx, begun->groups[i]);
	ctl_report_schedule(ctx, REPORT_DELAY_US);
}

/* Returns the streams for a report to the upstream, or NULL; the caller frees
 * them. */
Dsp__StreamsBegun *ctl_stream_take(struct ctl *ctx)
{
	ctx->n_streams = 0;
	return g_steal_pointer(&ctx->streams);
}

/* On the leader: proposes the collected streams, one command at a time. */
void ctl_stream_run(struct ctl *ctx)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	struct ctl_waiter *waiter;
	Dsp__StreamsBegun *begun;

	if (!ctx->ready_leader || ctx->streams_pending || !ctx->streams ||
	    ctx->now_us < ctx->streams_due_us)
		return;
	begun = ctl_stream_take(ctx);
	if (!ctl_raft_members_read(ctx, CTL_LOG_FORMAT_STREAMS)) {
		dsp__streams_begun__free_unpacked(begun, NULL);
		return;
	}
	ctx->streams_due_us = ctx->now_us + PROPOSE_INTERVAL_US;
	waiter = ctl_waiter_new(CTL_WAIT_STREAMS);
	waiter->streams = begun;
	command.body_case = DSP__COMMAND__BODY_STREAMS_BEGUN;
	command.streams_begun = begun;
	if (ctl_raft_propose(ctx, &command, waiter)) {
		ctx->streams_pending = true;
		return;
	}
	ctl_stream_add(ctx, begun);
	dsp__streams_begun__free_unpacked(begun, NULL);
	g_free(waiter);
}

/* Handles the outcome of a command with streams. Without a result, it never
 * takes effect, and the streams are passed on again. Takes the streams. */
void ctl_stream_committed(struct ctl *ctx, Dsp__StreamsBegun *begun,
			  const Dsp__CommandResult *result)
{
	ctx->streams_pending = false;
	if (!result)
		ctl_stream_add(ctx, begun);
	dsp__streams_begun__free_unpacked(begun, NULL);
}

/* Sends copies of streams to another entry. They are lost without a trace if it
 * is not reached: a stream that nobody remembers is not resumed. */
void ctl_stream_send_copies(struct ctl *ctx, const char *node,
			    Dsp__StreamCopies *copies)
{
	const Dsp__Node *to = view_node(ctx->view, node);
	Dsp__Envelope out = DSP__ENVELOPE__INIT;

	if (!to || !to->internal_address[0])
		return;
	out.body_case = DSP__ENVELOPE__BODY_STREAM_COPIES;
	out.stream_copies = copies;
	ctl_send(ctx, to->internal_address, &out);
}
