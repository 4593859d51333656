#include "base/met.h"

#include "base/hist.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/queue.h>

enum met_kind {
	MET_COUNTER,
	MET_GAUGE,
	MET_HISTOGRAM,
};

struct series {
	TAILQ_ENTRY(series) link;
	char *name;	    /* owned */
	char *labels;	    /* owned */
	enum met_kind kind; /* fixed */
	union {
		_Atomic uint64_t counter;
		_Atomic int64_t gauge;
		struct hist *hist; /* owned; values in microseconds */
	};
};

struct met {
	pthread_mutex_t lock;		       /* guards the two below */
	TAILQ_HEAD(series_list, series) order; /* sorted by name, labels */
	GHashTable *index;		       /* name{labels} -> series */
};

/* Upper bounds of the exported histogram buckets, in microseconds. */
static const int64_t bucket_bounds_us[] = {
	500,	1000,	2000,	 5000,	  10000,   20000,    55000,    100000,
	200000, 510000, 1000000, 2000000, 5000000, 10000000, 30000000, 60000000,
};

/* Creates an empty registry. */
struct met *met_new(void)
{
	struct met *ctx = g_new0(struct met, 1);

	pthread_mutex_init(&ctx->lock, NULL);
	TAILQ_INIT(&ctx->order);
	ctx->index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return ctx;
}

/* Frees the registry with all series; NULL is allowed. */
void met_free(struct met *ctx)
{
	struct series *s;

	if (!ctx)
		return;
	while ((s = TAILQ_FIRST(&ctx->order))) {
		TAILQ_REMOVE(&ctx->order, s, link);
		if (s->kind == MET_HISTOGRAM)
			hist_free(s->hist);
		g_free(s->name);
		g_free(s->labels);
		g_free(s);
	}
	g_hash_table_destroy(ctx->index);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

static int series_compare(const struct series *s, const char *name,
			  const char *labels)
{
	int diff = strcmp(s->name, name);

	return diff ? diff : strcmp(s->labels, labels);
}

static struct series *get_series(struct met *ctx, const char *name,
				 const char *labels, enum met_kind kind)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct series *s;
	struct series *after;

	pthread_mutex_lock(&ctx->lock);
	s = g_hash_table_lookup(ctx->index, key);
	if (s) {
		g_free(key);
		goto out;
	}
	s = g_new0(struct series, 1);
	s->name = g_strdup(name);
	s->labels = g_strdup(labels);
	s->kind = kind;
	if (kind == MET_HISTOGRAM)
		s->hist = hist_new();
	TAILQ_FOREACH (after, &ctx->order, link)
		if (series_compare(after, name, labels) > 0)
			break;
	if (after)
		TAILQ_INSERT_BEFORE(after, s, link);
	else
		TAILQ_INSERT_TAIL(&ctx->order, s, link);
	g_hash_table_insert(ctx->index, key, s);
out:
	pthread_mutex_unlock(&ctx->lock);
	return s;
}

/* Adds to a counter, which starts at 0. */
void met_count(struct met *ctx, const char *name, const char *labels,
	       uint64_t add)
{
	get_series(ctx, name, labels, MET_COUNTER)->counter += add;
}

/* Sets a gauge. */
void met_gauge(struct met *ctx, const char *name, const char *labels,
	       int64_t value)
{
	get_series(ctx, name, labels, MET_GAUGE)->gauge = value;
}

/* Adds a duration in microseconds to a histogram, exported in seconds. */
void met_observe_us(struct met *ctx, const char *name, const char *labels,
		    int64_t us)
{
	hist_add(get_series(ctx, name, labels, MET_HISTOGRAM)->hist, us);
}

/* Returns a counter's or gauge's value, or a histogram's count; 0 if unset. */
uint64_t met_value(struct met *ctx, const char *name, const char *labels)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct series *s;
	uint64_t value = 0;

	pthread_mutex_lock(&ctx->lock);
	s = g_hash_table_lookup(ctx->index, key);
	pthread_mutex_unlock(&ctx->lock);
	g_free(key);
	if (!s)
		return 0;
	switch (s->kind) {
	case MET_COUNTER:
		value = s->counter;
		break;
	case MET_GAUGE:
		value = (uint64_t)s->gauge;
		break;
	case MET_HISTOGRAM:
		value = hist_count(s->hist);
		break;
	}
	return value;
}

static void append_histogram(GString *out, const struct series *s)
{
	const char *comma = s->labels[0] ? "," : "";

	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_us); i++)
		g_string_append_printf(
			out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", s->name,
			s->labels, comma, (double)bucket_bounds_us[i] / 1e6,
			hist_count_at_most(s->hist, bucket_bounds_us[i]));
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			       s->name, s->labels, comma, hist_count(s->hist));
	g_string_append_printf(out, "%s_sum{%s} %g\n", s->name, s->labels,
			       (double)hist_sum(s->hist) / 1e6);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", s->name,
			       s->labels, hist_count(s->hist));
}

/*
 * Returns all series in the Prometheus text format 0.0.4. The caller frees the
 * string with g_free().
 */
char *met_to_prometheus(struct met *ctx)
{
	static const char *const kinds[] = {
		[MET_COUNTER] = "counter",
		[MET_GAUGE] = "gauge",
		[MET_HISTOGRAM] = "histogram",
	};
	GString *out = g_string_new(NULL);
	const char *last = "";
	struct series *s;

	pthread_mutex_lock(&ctx->lock);
	TAILQ_FOREACH (s, &ctx->order, link) {
		if (strcmp(last, s->name))
			g_string_append_printf(out, "# TYPE %s %s\n", s->name,
					       kinds[s->kind]);
		last = s->name;
		switch (s->kind) {
		case MET_COUNTER:
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
					       s->name, s->labels, s->counter);
			break;
		case MET_GAUGE:
			g_string_append_printf(out, "%s{%s} %" PRId64 "\n",
					       s->name, s->labels, s->gauge);
			break;
		case MET_HISTOGRAM:
			append_histogram(out, s);
			break;
		}
	}
	pthread_mutex_unlock(&ctx->lock);
	return g_string_free(out, FALSE);
}
