#include "node/ctl_int.h"

#include "base/log.h"

#include <string.h>

/*
 * Quotas between instances: asks of this entry go to the leader that the
 * control thread knows; the leader answers asks of all entries.
 */

static bool may_grant(const struct ctl *ctx)
{
	return ctx->quo && ctl_raft_leads(ctx) &&
	       quo_term(ctx->quo) == raft_term(ctx->raft);
}

static Dsp__QuotaGrants *answer(struct ctl *ctx, const char *sender,
				const Dsp__QuotaAsks *asks)
{
	met_count(ctx->met, "dandelionspar_quota_asks", "", asks->n_asks);
	return quo_answer(ctx->quo, sender, asks, clk_now_us(ctx->clock));
}

/* Sends the asks of this entry to the leader. Without one they are dropped: the
 * entry repeats them. */
void ctl_quota_send(struct ctl *ctx, Dsp__QuotaAsks *asks)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__QuotaGrants *grants;

	if (!ctx->ready_leader) {
		out.body_case = DSP__ENVELOPE__BODY_QUOTA_ASKS;
		out.quota_asks = asks;
		ctl_send(ctx, ctx->leader_address, &out);
		return;
	}
	if (!may_grant(ctx))
		return;
	grants = answer(ctx, ctx->set->id, asks);
	ctl_quota_granted(ctx, grants);
	dsp__quota_grants__free_unpacked(grants, NULL);
}

/* Answers the asks of an entry, if this instance leads. */
void ctl_quota_asked(struct ctl *ctx, const Dsp__Envelope *from,
		     const Dsp__QuotaAsks *asks)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__QuotaGrants *grants;

	if (!may_grant(ctx)) {
		met_count(ctx->met, "dandelionspar_quota_asks_ignored", "",
			  asks->n_asks);
		return;
	}
	grants = answer(ctx, from->from, asks);
	out.body_case = DSP__ENVELOPE__BODY_QUOTA_GRANTS;
	out.quota_grants = grants;
	if (grants->n_grants)
		ctl_send(ctx, from->address, &out);
	dsp__quota_grants__free_unpacked(grants, NULL);
}

/* Passes grants on to the traffic thread. */
void ctl_quota_granted(struct ctl *ctx, const Dsp__QuotaGrants *grants)
{
	if (ctx->cb.quota_grants)
		ctx->cb.quota_grants(ctx->cb.data, grants);
}

/* Keeps the buckets of a leader up to date with its term and the table. */
static void update_buckets(struct ctl *ctx)
{
	const Dsp__RouteTable *table = st_route_table(ctx->st);
	const Dsp__Customers *customers = table ? table->customers : NULL;
	uint64_t index = table ? table->index : 0;

	if (!ctx->quo) {
		if (!customers)
			return;
		ctx->quo = quo_new();
	}
	if (quo_term(ctx->quo) != raft_term(ctx->raft)) {
		quo_begin(ctx->quo, raft_term(ctx->raft), customers,
			  ctx->now_us);
		LOG_EVENT_NOTICE("ctl", "quotas_begin",
				 "term=%" G_GUINT64_FORMAT
				 " table=%" G_GUINT64_FORMAT " customers=%zu",
				 raft_term(ctx->raft), index,
				 customers ? customers->n_all : 0);
	} else if (index != ctx->quota_table) {
		quo_set_customers(ctx->quo, customers, ctx->now_us);
	}
	ctx->quota_table = index;
}

/* Runs once in an iteration: prepares the buckets of a leader, and tells the
 * traffic thread about another leader. */
void ctl_quota_run(struct ctl *ctx)
{
	const char *leader = ctx->leader_address;

	if (ctx->ready_leader && ctl_raft_is_leader(ctx)) {
		update_buckets(ctx);
		leader = "";
	}
	if (!g_strcmp0(leader, ctx->quota_leader))
		return;
	g_free(ctx->quota_leader);
	ctx->quota_leader = g_strdup(leader);
	if (leader && ctx->cb.quota_leader)
		ctx->cb.quota_leader(ctx->cb.data);
}

/* Sets the metrics of a leader. */
void ctl_quota_metrics(struct ctl *ctx)
{
	struct quo_counts counts;

	if (!ctx->quo)
		return;
	counts = quo_counts(ctx->quo);
	met_gauge(ctx->met, "dandelionspar_quota_granted", "",
		  (int64_t)counts.granted);
	met_gauge(ctx->met, "dandelionspar_quota_denied", "",
		  (int64_t)counts.denied);
	met_gauge(ctx->met, "dandelionspar_quota_credited", "",
		  (int64_t)counts.credited);
	met_gauge(ctx->met, "dandelionspar_quota_returns_lost", "",
		  (int64_t)counts.refused);
}
