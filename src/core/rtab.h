#ifndef CORE_RTAB_H
#define CORE_RTAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/* Index of a route table (rtab): finds the route of a request and draws a
 * service from it. No I/O. */
struct rtab;

/* Length of the digest of a key. */
#define RTAB_KEY_DIGEST_LEN 16

struct rtab *rtab_new(const Dsp__RouteTable *table);
size_t rtab_update(struct rtab *ctx, const Dsp__RouteTable *old,
		   const Dsp__RouteTable *table);
void rtab_free(struct rtab *ctx);

/* Queries. */
const Dsp__Route *rtab_match(const struct rtab *ctx, const char *host,
			     const char *target);
const Dsp__RoutedService *rtab_service(const struct rtab *ctx,
				       const char *name);
bool rtab_has_customers(const struct rtab *ctx);
const Dsp__Customer *rtab_customer(const struct rtab *ctx,
				   const uint8_t digest[RTAB_KEY_DIGEST_LEN]);
const char *rtab_draw(const Dsp__Route *route, uint64_t random);

#endif
