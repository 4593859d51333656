#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include <glib.h>
#include <stdbool.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "node/ctl.h"

/*
 * Event-driven traffic layer: serves callers, endpoints, operators and health
 * checks on one thread, and on the leader sends the orders of sequenced
 * engines.
 */
struct edge;

struct edge *edge_new(const struct set *settings, struct clk *clock,
		      struct met *metrics);
void edge_free(struct edge *ctx);

/* Commands. */
/* Opens the listening sockets and starts the thread; ctl must outlive the edge.
 */
bool edge_start(struct edge *ctx, struct ctl *ctl, GError **err);
/* Starts a graceful stop: the entry is not ready any more, and connections are
 * closed after their next response. */
void edge_drain(struct edge *ctx);
/* Stops the thread and closes all connections. */
void edge_stop(struct edge *ctx);

/* Queries; callable from any thread. */
struct ctl_callbacks edge_ctl_callbacks(struct edge *ctx);
unsigned edge_in_flight(const struct edge *ctx);
unsigned edge_unsent(const struct edge *ctx);

#endif
