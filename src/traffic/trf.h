#ifndef TRAFFIC_TRF_H
#define TRAFFIC_TRF_H

#include <glib.h>
#include <stdbool.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "node/ctl.h"

/*
 * trf ("traffic"): the data path of one entry, the process that callers send
 * their requests to. It serves the HTTP interface, routes each request to an
 * endpoint, calls the endpoint, commits claims for requests that must run at
 * most once, and keeps finished answers for a while. Requests run on CivetWeb's
 * worker threads.
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
bool trf_start(struct trf *ctx, struct ctl *ctl, GError **err);
void trf_stop(struct trf *ctx, uint32_t limit_s); /* 0: no limit */

/* Queries. */
uint32_t trf_in_flight(const struct trf *ctx);
bool trf_drain_requested(struct trf *ctx);

#endif
