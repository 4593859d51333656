#ifndef TOOLS_LIB_PROXY_H
#define TOOLS_LIB_PROXY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Fault-injecting TCP proxy in a thread of its own. Connections to its port are
 * forwarded to a target; each fault can be switched at any time.
 */
struct proxy;

enum proxy_direction {
	PROXY_TO_TARGET,
	PROXY_TO_CLIENT,
};

struct proxy *proxy_start(uint16_t port, uint16_t target_port);
void proxy_stop(struct proxy *ctx);

/* Commands. */
/* Discards all bytes of one direction; connections stay open. */
void proxy_drop(struct proxy *ctx, enum proxy_direction direction, bool on);
/* Makes all connections that are open now silent for good, in both
 * directions; new ones work. */
void proxy_silence_open(struct proxy *ctx);
/* Closes all open connections with a reset. */
void proxy_break_open(struct proxy *ctx);
/* Closes new connections at once. */
void proxy_refuse(struct proxy *ctx, bool on);
/* Delays the bytes of both directions. */
void proxy_delay(struct proxy *ctx, int ms);
/* Keeps what new connections send to the target until proxy_release(). */
void proxy_hold(struct proxy *ctx, bool on);
/* Delivers held connection number i (in order of arrival) to the target, now
 * and each time it is called again: late, out of order and twice. */
bool proxy_deliver(struct proxy *ctx, size_t i);
/* Keeps a copy of what every new connection sends, for proxy_deliver(). */
void proxy_record(struct proxy *ctx, bool on);

/* Queries. */
size_t proxy_recorded(struct proxy *ctx);
size_t proxy_open_connections(struct proxy *ctx);

#endif
