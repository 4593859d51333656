#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include <glib.h>
#include <stdbool.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "node/ctl.h"

/*
 * Event-driven traffic layer: serves callers, endpoints, operators and checks
 * on one thread, and on the leader sends the orders of sequenced engines.
 */
struct edge;

struct edge *edge_new(const struct set *settings, struct clk *clock,
		      struct met *metrics);
void edge_free(struct edge *ctx);

/* Commands. */
/* Opens the listening addresses and starts the thread; ctl outlives it. */
bool edge_start(struct edge *ctx, struct ctl *ctl, GError **err);
/* Leaves the entry lists and ends connections after their next answer. */
void edge_drain(struct edge *ctx);
/* Ends the thread and closes all connections. */
void edge_stop(struct edge *ctx);

/* Queries; any thread. */
struct ctl_callbacks edge_ctl_callbacks(struct edge *ctx);
unsigned edge_in_flight(const struct edge *ctx);

#endif
