#ifndef BASE_MET_H
#define BASE_MET_H

#include <glib.h>
#include <stdint.h>

/*
 * Registry of metrics: counters, gauges and histograms. A series is identified
 * by a metric name and a label string in Prometheus form, for example
 * team="verband",class="shop" (empty: no labels). All functions may be called
 * from any thread.
 */
struct met;

struct met *met_new(void);
void met_free(struct met *ctx);

/* Commands. */
void met_count(struct met *ctx, const char *name, const char *labels,
	       uint64_t add);
void met_gauge(struct met *ctx, const char *name, const char *labels,
	       int64_t value);
void met_observe_us(struct met *ctx, const char *name, const char *labels,
		    int64_t us);

/* Queries. */
uint64_t met_value(struct met *ctx, const char *name, const char *labels);
char *met_to_prometheus(struct met *ctx);

#endif
