#include "node/ctl_int.h"

#include "base/msg.h"

/*
 * Messages between entries about pacing of prompts. They go directly to the
 * other entry, at the address that the view has. One that is lost is not sent
 * again: it would be out of date.
 */

/* Sends a message to another entry. */
void ctl_prompt_send(struct ctl *ctx, const char *node, Dsp__Envelope *message)
{
	const Dsp__Node *to = view_node(ctx->view, node);
	const char *address = to ? to->internal_address
				 : g_hash_table_lookup(ctx->addresses, node);

	if (!address || !address[0]) {
		met_count(ctx->met, "dandelionspar_prompt_messages_unaddressed",
			  "", 1);
		return;
	}
	met_count(ctx->met, "dandelionspar_prompt_messages_sent", "", 1);
	ctl_send(ctx, address, message);
}

/* Passes a message of another entry to the traffic thread. */
void ctl_prompt_receive(struct ctl *ctx, const Dsp__Envelope *message)
{
	met_count(ctx->met, "dandelionspar_prompt_messages_received", "", 1);
	if (ctx->cb.prompts)
		ctx->cb.prompts(ctx->cb.data, message);
}

/* Sends a message about prompts to another entry; callable from any thread. The
 * message is copied. */
void ctl_prompts(struct ctl *ctx, const char *node,
		 const Dsp__Envelope *message)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_PROMPTS;
	job->prompts.node = g_strdup(node);
	job->prompts.message = msg_dup(message);
	ctl_post(ctx, job);
}
