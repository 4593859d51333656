#include "edge/edge_int.h"

#include <inttypes.h>

#include "base/log.h"

/* Logs and counts a change of the limit that an endpoint names. */
void edge_limit_news(struct edge *ctx, const char *endpoint, enum lim_news news,
		     const char *source)
{
	const struct lim *lim = bal_limit(ctx->bal, endpoint);
	char label[64];

	if (news == LIM_SAME || !lim)
		return;
	g_snprintf(label, sizeof(label), "news=\"%s\"", lim_news_name(news));
	met_count(ctx->met, "dandelionspar_edge_limits", label, 1);
	LOG_EVENT_NOTICE("edge", "endpoint_limit",
			 "endpoint=%s news=%s source=%s rate=%.3f users=%u "
			 "is_user=%d view=%" PRIu64,
			 endpoint, lim_news_name(news), source, lim->rate,
			 lim->users, lim->is_user, view_index(ctx->view));
}

/* Sets the limit of a report to the other instances. */
void edge_report_limit(Dsp__LoadReport *report, const struct wire_hint *hint)
{
	report->limit_milli = (uint32_t)(hint->limit * 1000);
}

/*
 * Records what an answer of an endpoint's process says about further requests,
 * and reports to the other instances that it leaves. Called for each answer,
 * also for those that are not passed on.
 */
void edge_saw_hint(struct edge *ctx, const char *endpoint, uint64_t incarnation,
		   const struct wire_answer *answer)
{
	const struct wire_hint *hint = &answer->hint;
	Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;
	unsigned news;

	edge_limit_news(ctx, endpoint,
			bal_saw_limit(ctx->bal, endpoint, incarnation,
				      hint->limit, g_random_double(),
				      clk_now_us(ctx->clock)),
			"answer");
	if (hint->malformed) {
		met_count(ctx->met, "dandelionspar_edge_hints_malformed", "",
			  1);
		LOG_EVENT_WARN("edge", "hint_malformed",
			       "endpoint=%s leaving=%d pause_us=%" PRId64
			       " limit=%.3f",
			       endpoint, hint->leaving, hint->pause_us,
			       hint->limit);
	}
	if (!hint->leaving && !hint->pause_us)
		return;
	news = bal_saw_hint(ctx->bal, endpoint, incarnation, hint->leaving,
			    hint->pause_us, g_random_double(),
			    clk_now_us(ctx->clock));
	if (hint->pause_us)
		met_count(ctx->met, "dandelionspar_edge_pauses_seen", "", 1);
	if (news)
		LOG_EVENT_NOTICE("edge", "endpoint_hint",
				 "endpoint=%s incarnation=%" PRIu64
				 " leaving=%d pause_us=%" PRId64
				 " new_leaving=%d new_pause=%d longer_pause=%d",
				 endpoint, incarnation, hint->leaving,
				 hint->pause_us, (news & HINT_NEW_LEAVING) != 0,
				 (news & HINT_NEW_PAUSE) != 0,
				 (news & HINT_LONGER_PAUSE) != 0);
	if (!hint->leaving)
		return;
	met_count(ctx->met, "dandelionspar_edge_leaving_seen", "", 1);
	report.endpoint = (char *)endpoint;
	report.incarnation = incarnation;
	report.running = answer->running;
	report.waiting = answer->waiting;
	report.slowness_percent = answer->slowness_percent;
	report.leaving = true;
	edge_report_limit(&report, hint);
	ctl_observed_load(ctx->ctl, &report);
}
