#ifndef TRAFFIC_TRF_H
#define TRAFFIC_TRF_H

#include <glib.h>
#include <stdbool.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "node/ctl.h"

/*
 * Traffic of one entry: callers' requests, routing, endpoint calls, claims,
 * stored answers. Requests run on CivetWeb's worker threads.
 */
struct trf;

#define TRF_ERROR trf_error_quark()
enum trf_error {
	TRF_ERROR_LISTEN,
};
GQuark trf_error_quark(void);

struct trf *trf_new(const struct set *settings, struct clk *clock,
		    struct met *metrics);
void trf_free(struct trf *ctx);

/* Callbacks to pass to ctl_start(). */
struct ctl_callbacks trf_ctl_callbacks(struct trf *ctx);

/* Commands. */
/* Opens the HTTP port; ctl must outlive trf_stop(). */
bool trf_start(struct trf *ctx, struct ctl *ctl, GError **err);
/* Waits until no request is in flight (at most limit_s; 0: no limit), then
 * closes the HTTP port. */
void trf_stop(struct trf *ctx, uint32_t limit_s);

/* Queries. */
uint32_t trf_in_flight(const struct trf *ctx);
/* True once after an operator asked for a drain over HTTP. */
bool trf_drain_requested(struct trf *ctx);

#endif
