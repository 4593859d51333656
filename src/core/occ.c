#include "core/occ.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/msg.h"

/* A report that is newer by less comes from the same answer over another path:
 * each hop makes it look younger by the time that the message took. */
#define SAME_ANSWER_US 20000
/* Older reports say nothing of the present load and are dropped. */
#define EXPIRY_US 5000000

struct known {
	TAILQ_ENTRY(known) link; /* in occ.all */
	TAILQ_ENTRY(known) changed_link;
	Dsp__LoadReport *report; /* owned */
	int64_t observed_us;
	int64_t arrived_us;
	bool changed; /* in occ.changed */
};
TAILQ_HEAD(known_list, known);

struct occ {
	GHashTable *by_endpoint; /* id -> struct known */
	struct known_list all;	 /* longest without a newer report first */
	struct known_list changed;
};

/* Creates an empty table. */
struct occ *occ_new(void)
{
	struct occ *ctx = g_new0(struct occ, 1);

	ctx->by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&ctx->all);
	TAILQ_INIT(&ctx->changed);
	return ctx;
}

static void remove_known(struct occ *ctx, struct known *k)
{
	g_hash_table_remove(ctx->by_endpoint, k->report->endpoint);
	TAILQ_REMOVE(&ctx->all, k, link);
	if (k->changed)
		TAILQ_REMOVE(&ctx->changed, k, changed_link);
	dsp__load_report__free_unpacked(k->report, NULL);
	g_free(k);
}

/* Frees the table; NULL is allowed. */
void occ_free(struct occ *ctx)
{
	struct known *k;

	if (!ctx)
		return;
	while ((k = TAILQ_FIRST(&ctx->all)))
		remove_known(ctx, k);
	g_hash_table_destroy(ctx->by_endpoint);
	g_free(ctx);
}

static void expire(struct occ *ctx, int64_t now_us)
{
	struct known *k;

	while ((k = TAILQ_FIRST(&ctx->all)) &&
	       now_us - k->arrived_us > EXPIRY_US)
		remove_known(ctx, k);
}

static struct known *add_known(struct occ *ctx, const Dsp__LoadReport *report)
{
	struct known *k = g_new0(struct known, 1);

	k->report = msg_dup(report);
	g_hash_table_insert(ctx->by_endpoint, k->report->endpoint, k);
	TAILQ_INSERT_TAIL(&ctx->all, k, link);
	return k;
}

/* Adds to a known report that the endpoint's process leaves; reports of the
 * same moment may differ in that. */
static bool add_leaving(struct known *k, const Dsp__LoadReport *report)
{
	if (!report->leaving || k->report->leaving ||
	    k->report->incarnation != report->incarnation)
		return false;
	k->report->leaving = true;
	return true;
}

static void mark_changed(struct occ *ctx, struct known *k)
{
	if (!k->changed)
		TAILQ_INSERT_TAIL(&ctx->changed, k, changed_link);
	k->changed = true;
}

/*
 * Keeps the newest report of each endpoint. An incarnation that differs is
 * taken for newer only if its report is: one from before a restart may arrive
 * after one from after it.
 */
bool occ_put(struct occ *ctx, const Dsp__LoadReport *report, int64_t now_us)
{
	int64_t observed_us = now_us - (int64_t)report->age_ms * 1000;
	struct known *k;

	expire(ctx, now_us);
	if (!report->endpoint[0] || now_us - observed_us > EXPIRY_US)
		return false;
	k = g_hash_table_lookup(ctx->by_endpoint, report->endpoint);
	if (k && observed_us < k->observed_us + SAME_ANSWER_US) {
		if (!add_leaving(k, report))
			return false;
		mark_changed(ctx, k);
		return true;
	}
	if (!k) {
		k = add_known(ctx, report);
	} else {
		/* What has not been passed on yet is not overwritten. */
		k->report->leaving =
			report->leaving ||
			(k->changed && k->report->leaving &&
			 k->report->incarnation == report->incarnation);
		k->report->incarnation = report->incarnation;
		k->report->running = report->running;
		k->report->waiting = report->waiting;
		k->report->limit_milli = report->limit_milli;
		k->report->slowness_percent = report->slowness_percent;
		TAILQ_REMOVE(&ctx->all, k, link);
		TAILQ_INSERT_TAIL(&ctx->all, k, link);
	}
	k->observed_us = observed_us;
	k->arrived_us = now_us;
	mark_changed(ctx, k);
	return true;
}

/* Takes the reports that changed, those that have waited longest first. */
size_t occ_take(struct occ *ctx, Dsp__LoadReport **out, size_t max,
		int64_t now_us)
{
	struct known *k;
	size_t n = 0;

	expire(ctx, now_us);
	while (n < max && (k = TAILQ_FIRST(&ctx->changed))) {
		TAILQ_REMOVE(&ctx->changed, k, changed_link);
		k->changed = false;
		k->report->age_ms =
			(uint32_t)((now_us - k->observed_us) / 1000);
		out[n++] = k->report;
	}
	return n;
}

/* Returns the number of endpoints with a report that has not expired. */
size_t occ_size(const struct occ *ctx)
{
	return g_hash_table_size(ctx->by_endpoint);
}
