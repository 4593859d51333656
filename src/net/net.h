#ifndef NET_NET_H
#define NET_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Messages between instances over ZeroMQ: one ROUTER socket receives, one
 * DEALER socket per peer address sends, and another one what must not wait.
 * Messages may be lost, but are never duplicated or corrupted. Used by one
 * thread (the control thread).
 */
struct net;

/* Bits per second of a slow link between instances. A message is given the time
 * that such a link needs for it, and for what was sent before, to arrive. */
#define NET_SLOW_BITS_PER_S 4000000

#define NET_ERROR net_error_quark()
enum net_error {
	NET_ERROR_BIND,
	NET_ERROR_ADDRESS,
};
GQuark net_error_quark(void);

struct net *net_new(const char *listen, const char *advertise, const char *node,
		    uint64_t boot, GError **err);
void net_free(struct net *ctx);

/* Commands. */
void net_set_route(struct net *ctx, const char *address, const char *via);
void net_send(struct net *ctx, const char *address, Dsp__Envelope *envelope);
/* The same, ahead of the messages that wait on the connection: on one of its
 * own. */
void net_send_ahead(struct net *ctx, const char *address,
		    Dsp__Envelope *envelope);
/* The same in two steps, for a message that goes to several addresses. */
uint8_t *net_pack(struct net *ctx, Dsp__Envelope *envelope, size_t *len);
void net_send_packed(struct net *ctx, const char *address, const uint8_t *data,
		     size_t len);
/* The same with fields for this receiver only; data comes from net_pack(). */
void net_send_packed_lease(struct net *ctx, const char *address, uint8_t *data,
			   size_t len, uint64_t echo_us, uint32_t lease_age_ms);
void net_wait(struct net *ctx, int wake_fd, int64_t timeout_us);
void net_tick(struct net *ctx, int64_t now_us);
Dsp__Envelope *net_receive(struct net *ctx);
void net_reset(struct net *ctx, const char *address);

/* Queries. */
uint64_t net_bytes_sent(const struct net *ctx);
uint64_t net_bytes_received(const struct net *ctx);
uint64_t net_malformed(const struct net *ctx);
uint64_t net_dropped(const struct net *ctx);
uint64_t net_resets(const struct net *ctx);
uint64_t net_probes(const struct net *ctx);

#endif
