#ifndef CORE_RTAB_H
#define CORE_RTAB_H

#include <stdint.h>

#include "proto/messages.pb-c.h"

/* Index over a route table: selects routes and services. No I/O. */
struct rtab;

/* The table must outlive the index. */
struct rtab *rtab_new(const Dsp__RouteTable *table);
void rtab_free(struct rtab *ctx);

/* Queries. */
/* host may carry a port; target may carry a query. */
const Dsp__Route *rtab_match(const struct rtab *ctx, const char *host,
			     const char *target);
const Dsp__RoutedService *rtab_service(const struct rtab *ctx,
				       const char *name);
/* Draws one of the route's services by weight; NULL: all weights are 0. */
const char *rtab_draw(const Dsp__Route *route, uint64_t random);

#endif
