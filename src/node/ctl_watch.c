#include "node/ctl_int.h"

#include "base/log.h"

#include <stdio.h>

/*
 * Watches the leader's progress: a repair that waits and entries that are not
 * committed end only by messages of other replicas, so their absence would
 * otherwise show nowhere.
 */

/* Time without progress after which it is logged, and how often. It is longer
 * than an election and a replaced connection take together. */
#define STALL_US (3LL * CTL_S_US)

static int64_t heard_ms_ago(const struct ctl *ctx, uint64_t replica)
{
	int64_t heard_us = ctl_raft_heard_us(ctx, replica);

	if (replica == ctx->replica)
		return 0;
	return heard_us ? (ctx->now_us - heard_us) / 1000 : -1;
}

/* Returns what the leader knows of each member: its last index, and how long
 * ago it sent a message (-1: never). Free it with g_free(). */
static char *describe_members(const struct ctl *ctx)
{
	const Dsp__RaftConfig *config = raft_config(ctx->raft);
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];

		g_string_append_printf(
			text,
			"%s%s/%s/match=%" G_GUINT64_FORMAT
			"/heard_ms=%" G_GINT64_FORMAT,
			i ? "," : "", m->node, m->voter ? "voter" : "learner",
			m->replica == ctx->replica
				? raft_last_index(ctx->raft)
				: raft_match_index(ctx->raft, m->replica),
			heard_ms_ago(ctx, m->replica));
	}
	return g_string_free(text, FALSE);
}

/* Returns a position that changes with each step of a repair, and while its
 * learner catches up. */
static uint64_t repair_position(const struct ctl *ctx)
{
	const Dsp__RaftConfig *config = raft_config(ctx->raft);
	uint64_t lowest = UINT64_MAX;

	for (size_t i = 0; i < config->n_members; i++)
		if (!config->members[i]->voter)
			lowest = MIN(
				lowest,
				raft_match_index(ctx->raft,
						 config->members[i]->replica));
	return lowest * 8 + (uint64_t)ctx->repair;
}

static void log_stall(struct ctl *ctx, const char *what, int64_t stalled_us)
{
	char *members = describe_members(ctx);
	char labels[64];

	g_snprintf(labels, sizeof(labels), "what=\"%s\"", what);
	met_count(ctx->met, "dandelionspar_group_stalls", labels, 1);
	LOG_EVENT_WARN("ctl", "group_stalled",
		       "what=%s step=%s stalled_ms=%" G_GINT64_FORMAT
		       " commit=%" G_GUINT64_FORMAT " last=%" G_GUINT64_FORMAT
		       " config_pending=%d members=%s",
		       what, ctl_rule_repair_name(ctx->repair),
		       stalled_us / 1000, raft_commit_index(ctx->raft),
		       raft_last_index(ctx->raft),
		       raft_config_pending(ctx->raft), members);
	g_free(members);
}

/* Runs once in an iteration: logs and counts a lack of progress. */
void ctl_watch_run(struct ctl *ctx)
{
	struct ctl_watch *w = &ctx->watch;
	uint64_t commit;

	if (!ctl_raft_is_leader(ctx)) {
		*w = (struct ctl_watch){ 0 };
		return;
	}
	commit = raft_commit_index(ctx->raft);
	if (ctl_stall_update(&w->commit, raft_last_index(ctx->raft) > commit,
			     commit, ctx->now_us, STALL_US))
		log_stall(ctx, "commit", ctx->now_us - w->commit.since_us);
	if (ctl_stall_update(&w->repair, ctx->repair != CTL_REPAIR_NONE,
			     repair_position(ctx), ctx->now_us, STALL_US))
		log_stall(ctx, "repair", ctx->now_us - w->repair.since_us);
}

/* Returns for how long a repair or a commit has made no progress; 0: they
 * progress, or this instance does not lead. */
int64_t ctl_watch_stalled_us(const struct ctl *ctx)
{
	int64_t commit_us = ctl_stall_us(&ctx->watch.commit, ctx->now_us);
	int64_t repair_us = ctl_stall_us(&ctx->watch.repair, ctx->now_us);

	return MAX(commit_us, repair_us);
}
