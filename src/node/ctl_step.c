#include "node/ctl_int.h"

#include "base/log.h"

/*
 * Accounts for the time of the control thread, step by step. While it works it
 * reads no messages and sends no heartbeats, so one long iteration of the
 * leader may end its leadership, and a thread that is always busy answers late.
 */

static const char *const names[CTL_N_STEPS] = {
	[CTL_STEP_NET] = "net",	      [CTL_STEP_RECEIVE] = "receive",
	[CTL_STEP_JOBS] = "jobs",     [CTL_STEP_MEMBERS] = "members",
	[CTL_STEP_REPORT] = "report", [CTL_STEP_RAFT] = "raft",
	[CTL_STEP_ORDERS] = "orders", [CTL_STEP_PUBLISH] = "publish",
	[CTL_STEP_PUSH] = "push",     [CTL_STEP_REST] = "rest",
};

/* Starts the account of an iteration at the time of ctl.now_us. */
void ctl_step_begin(struct ctl *ctx)
{
	struct ctl_steps *steps = &ctx->steps;

	steps->mark_us = ctx->now_us;
	for (int i = 0; i < CTL_N_STEPS; i++)
		steps->took_us[i] = 0;
}

/* Charges the time since the last step's end to a step. */
void ctl_step_done(struct ctl *ctx, enum ctl_step step)
{
	struct ctl_steps *steps = &ctx->steps;
	int64_t now_us = clk_now_us(ctx->clock);

	steps->took_us[step] += now_us - steps->mark_us;
	steps->mark_us = now_us;
}

static void log_long_iteration(const struct ctl *ctx, int64_t total_us)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (int i = 0; i < CTL_N_STEPS; i++)
		if (ctx->steps.took_us[i] >= total_us / 10)
			g_string_append_printf(text, "%s%s/%" G_GINT64_FORMAT,
					       text->len ? "," : "", names[i],
					       ctx->steps.took_us[i]);
	LOG_EVENT_NOTICE("ctl", "iteration_long",
			 "took_us=%" G_GINT64_FORMAT
			 " leads=%d view=%" G_GUINT64_FORMAT
			 " children=%u steps=%s",
			 total_us, ctx->ready_leader, view_index(ctx->view),
			 g_hash_table_size(ctx->children), text->str);
}

/* Ends the account of an iteration. One that took longer than half an election
 * timeout is logged with its longest steps, in microseconds. */
void ctl_step_end(struct ctl *ctx)
{
	struct ctl_steps *steps = &ctx->steps;
	int64_t total_us = 0;

	for (int i = 0; i < CTL_N_STEPS; i++) {
		total_us += steps->took_us[i];
		steps->busy_us[i] += steps->took_us[i];
	}
	if (total_us > (int64_t)ctx->set->election_timeout_ms * 1000 / 2)
		log_long_iteration(ctx, total_us);
}

/* Adds the time of each step, in microseconds, to the counters. */
void ctl_step_metrics(struct ctl *ctx)
{
	struct ctl_steps *steps = &ctx->steps;

	for (int i = 0; i < CTL_N_STEPS; i++) {
		g_autofree char *label =
			g_strdup_printf("step=\"%s\"", names[i]);

		met_count(ctx->met, "dandelionspar_control_busy_us", label,
			  (uint64_t)MAX(steps->busy_us[i], 0));
		steps->busy_us[i] = 0;
	}
}
