#include "core/loc.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Time constant of the rates of requests that stay and leave. */
#define RATE_TAU_US 1000000.0
/* Requests a second below which the share that leaves is not limited: one of
 * two requests would be half of them. */
#define RATE_MIN 4.0
/* A site that has just sent requests elsewhere goes on while that pays at all;
 * to begin, it must pay ENTER_FACTOR times. Without the difference it would
 * turn back and forth with each load report. */
#define ENTER_FACTOR 2.0
#define LEAVING_FOR_US 1000000
/* An endpoint of another site takes no more requests of this one when it is
 * used this far: the rest is for its own site. */
#define OCCUPIED_MAX 0.75
/* Failed connections to different endpoints of a site within LOST_WINDOW_US
 * after which the site counts as lost. It is tried again after LOST_MIN_US,
 * which doubles up to LOST_MAX_US. */
#define LOST_ENDPOINTS 2
#define LOST_WINDOW_US 500000
#define LOST_MIN_US 1000000
#define LOST_MAX_US 8000000

struct site {
	char *endpoint; /* of the last failed connection, or NULL */
	int64_t failed_us;
	unsigned failed; /* different endpoints in a row */
	unsigned losses; /* in a row */
	int64_t lost_until_us;
};

struct loc {
	struct loc_options options;
	char *own;	   /* site; NULL: not known yet */
	GHashTable *sites; /* name -> struct site; others than the own */
	double staying;	   /* decayed counts of requests */
	double leaving;
	int64_t counted_us;
	int64_t left_us; /* last request that left though it could stay */
};

static void site_free(void *data)
{
	struct site *s = data;

	g_free(s->endpoint);
	g_free(s);
}

/* Creates the state for an entry whose site is not known yet. */
struct loc *loc_new(const struct loc_options *options)
{
	struct loc *ctx = g_new0(struct loc, 1);

	ctx->options = *options;
	ctx->left_us = INT64_MIN / 2;
	ctx->sites = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   site_free);
	return ctx;
}

/* Frees the state; NULL is allowed. */
void loc_free(struct loc *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->sites);
	g_free(ctx->own);
	g_free(ctx);
}

/* Sets the entry's own site. */
void loc_set_site(struct loc *ctx, const char *site)
{
	if (!g_strcmp0(ctx->own, site))
		return;
	g_free(ctx->own);
	ctx->own = g_strdup(site);
}

/* Returns whether bytes between sites have a price here. */
bool loc_is_on(const struct loc *ctx)
{
	return ctx && ctx->options.ms_per_kb > 0;
}

/* Returns whether a site is the entry's own, or either is not known. */
bool loc_is_own(const struct loc *ctx, const char *site)
{
	return !ctx->own || !site[0] || !strcmp(ctx->own, site);
}

static struct site *site_of(struct loc *ctx, const char *name)
{
	struct site *s = g_hash_table_lookup(ctx->sites, name);

	if (s)
		return s;
	s = g_new0(struct site, 1);
	g_hash_table_insert(ctx->sites, g_strdup(name), s);
	return s;
}

static void decay(struct loc *ctx, int64_t now_us)
{
	double share = exp(-(double)(now_us - ctx->counted_us) / RATE_TAU_US);

	ctx->counted_us = now_us;
	ctx->staying *= share;
	ctx->leaving *= share;
}

/* Counts a request that was sent to an endpoint of a site. had_local: an
 * endpoint of the own site could have taken it. */
void loc_sent(struct loc *ctx, const char *site, bool had_local, int64_t now_us)
{
	decay(ctx, now_us);
	if (loc_is_own(ctx, site)) {
		ctx->staying++;
		return;
	}
	if (!had_local)
		return;
	ctx->leaving++;
	ctx->left_us = now_us;
}

/* Returns the share of the requests of the last second that left, of those that
 * could have stayed. */
double loc_leaving_share(struct loc *ctx, int64_t now_us)
{
	double sum;

	decay(ctx, now_us);
	sum = ctx->staying + ctx->leaving;
	return sum > 0 ? ctx->leaving / sum : 0;
}

/* Records that an endpoint of a site took a connection. */
void loc_reached(struct loc *ctx, const char *site)
{
	struct site *s = g_hash_table_lookup(ctx->sites, site);

	if (!s)
		return;
	s->failed = 0;
	s->losses = 0;
	s->lost_until_us = 0;
}

/* Records a failed connection. One endpoint may have failed by itself; several
 * in a row mean that the site is lost or cut off. */
void loc_unreached(struct loc *ctx, const char *site, const char *endpoint,
		   int64_t now_us)
{
	struct site *s;

	if (loc_is_own(ctx, site))
		return;
	s = site_of(ctx, site);
	if (now_us - s->failed_us > LOST_WINDOW_US)
		s->failed = 0;
	if (!s->failed || strcmp(s->endpoint, endpoint) != 0)
		s->failed++;
	s->failed_us = now_us;
	g_free(s->endpoint);
	s->endpoint = g_strdup(endpoint);
	if (s->failed < LOST_ENDPOINTS || now_us < s->lost_until_us)
		return;
	s->lost_until_us =
		now_us + MIN(LOST_MIN_US << MIN(s->losses, 3), LOST_MAX_US);
	s->losses++;
}

static bool may_leave(struct loc *ctx, const char *site, double occupied,
		      int64_t now_us)
{
	const struct site *s = g_hash_table_lookup(ctx->sites, site);

	if (s && now_us < s->lost_until_us)
		return false;
	if (occupied > OCCUPIED_MAX)
		return false;
	decay(ctx, now_us);
	return ctx->staying + ctx->leaving < RATE_MIN ||
	       ctx->leaving + 1 <= ctx->options.leave_share_max *
					   (ctx->staying + ctx->leaving + 1);
}

/*
 * Returns whether an endpoint of a site may take a request that an endpoint of
 * the own site could take as well, and what its bytes are worth in waiting
 * time. occupied is the used share of the endpoint's places.
 */
struct loc_offer loc_offer(struct loc *ctx, const char *site, double occupied,
			   uint32_t bytes, int64_t now_us)
{
	struct loc_offer offer = { .allowed = true };

	if (loc_is_own(ctx, site))
		return offer;
	offer.allowed = may_leave(ctx, site, occupied, now_us);
	offer.cost_ms = ctx->options.ms_per_kb * bytes / 1024;
	if (now_us - ctx->left_us > LEAVING_FOR_US)
		offer.cost_ms *= ENTER_FACTOR;
	return offer;
}
