#ifndef TOOLS_LIB_PROXY_H
#define TOOLS_LIB_PROXY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Fault-injecting TCP proxy on loopback, run by a thread of its own. Forwards
 * the connections to its port to a target port; each fault can be switched on
 * or off at any time.
 */
struct proxy;

enum proxy_direction {
	PROXY_TO_TARGET,
	PROXY_TO_CLIENT,
};

struct proxy *proxy_start(uint16_t port, uint16_t target_port);
void proxy_stop(struct proxy *ctx);

/* Commands. */
void proxy_drop(struct proxy *ctx, enum proxy_direction direction, bool on);
void proxy_silence_open(struct proxy *ctx);
void proxy_break_open(struct proxy *ctx);
void proxy_refuse(struct proxy *ctx, bool on);
void proxy_delay(struct proxy *ctx, int ms);
void proxy_hold(struct proxy *ctx, bool on);
bool proxy_deliver(struct proxy *ctx, size_t i);
void proxy_record(struct proxy *ctx, bool on);

/* Queries. */
size_t proxy_recorded(struct proxy *ctx);
size_t proxy_open_connections(struct proxy *ctx);

#endif
