#include "node/ctl_int.h"

#include "base/log.h"

#include <inttypes.h>

/*
 * Evidence about prompt parts: entries report what they saw of crashes and of
 * answers that were begun, relays pass it on, and the leader commits it.
 */

/* Delay of a report with a crash, so that the requests that broke together
 * share it. The next request with the part may arrive at any time. */
#define CRASH_DELAY_US 3000
/* The same for answers that were begun. */
#define BEGUN_DELAY_US 50000
/* Shortest interval between two commands with evidence; bounds the growth of
 * the log. */
#define PROPOSE_INTERVAL_US 100000

/* Adds evidence to the next report, or on the leader to the next command. */
void ctl_parts_add(struct ctl *ctx, const Dsp__PartEvidence *evidence)
{
	unsigned dropped;

	if (!evidence)
		return;
	dropped = pev_add(ctx->parts, evidence, ctx->now_us);
	if (dropped) {
		met_count(ctx->met, "dandelionspar_part_evidence_dropped", "",
			  dropped);
		LOG_EVENT_WARN("ctl", "part_evidence_dropped", "digests=%u",
			       dropped);
	}
	if (evidence->n_crashes)
		ctl_report_schedule(ctx, CRASH_DELAY_US);
	else if (evidence->n_begun)
		ctl_report_schedule(ctx, BEGUN_DELAY_US);
}

/* Returns the evidence for a report to the upstream, or NULL; the caller frees
 * it. */
Dsp__PartEvidence *ctl_parts_take(struct ctl *ctx)
{
	return pev_take(ctx->parts, ctx->now_us);
}

/* On the leader: proposes the collected evidence, one command at a time. */
void ctl_parts_run(struct ctl *ctx)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	struct ctl_waiter *waiter;
	Dsp__PartEvidence *evidence;

	if (!ctx->ready_leader || ctx->parts_pending ||
	    ctx->now_us < ctx->parts_due_us || pev_is_empty(ctx->parts))
		return;
	evidence = pev_take(ctx->parts, ctx->now_us);
	if (!evidence)
		return;
	ctx->parts_due_us = ctx->now_us + PROPOSE_INTERVAL_US;
	waiter = ctl_waiter_new(CTL_WAIT_PARTS);
	waiter->evidence = evidence;
	command.body_case = DSP__COMMAND__BODY_PART_EVIDENCE;
	command.part_evidence = evidence;
	if (ctl_raft_propose(ctx, &command, waiter)) {
		ctx->parts_pending = true;
		met_count(ctx->met, "dandelionspar_part_evidence_proposed", "",
			  1);
		return;
	}
	ctl_parts_add(ctx, evidence);
	dsp__part_evidence__free_unpacked(evidence, NULL);
	g_free(waiter);
}

/* Handles the outcome of a command with evidence; NULL: it never takes effect,
 * and the evidence is passed on again. Takes the evidence. */
void ctl_parts_committed(struct ctl *ctx, Dsp__PartEvidence *evidence,
			 const Dsp__CommandResult *result)
{
	ctx->parts_pending = false;
	if (!result)
		ctl_parts_add(ctx, evidence);
	else if (result->code != DSP__RESULT_CODE__RESULT_OK &&
		 result->code != DSP__RESULT_CODE__RESULT_SAME)
		LOG_EVENT_WARN("ctl", "part_evidence_refused",
			       "crashes=%zu begun=%zu result=%d reason=\"%s\"",
			       evidence->n_crashes, evidence->n_begun,
			       (int)result->code, result->message);
	dsp__part_evidence__free_unpacked(evidence, NULL);
}
