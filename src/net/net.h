#ifndef NET_NET_H
#define NET_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Messages between instances over ZeroMQ: one ROUTER that receives, one DEALER
 * for each peer address that sends. Messages may be lost, never duplicated or
 * damaged. One thread (the control thread).
 */
struct net;

#define NET_ERROR net_error_quark()
enum net_error {
	NET_ERROR_BIND,
	NET_ERROR_ADDRESS,
};
GQuark net_error_quark(void);

/* advertise is the address that peers reply to. */
struct net *net_new(const char *listen, const char *advertise, const char *node,
		    uint64_t boot, GError **err);
void net_free(struct net *ctx);

/* Commands. */
/* Connects to via instead of a peer's own address, for peers behind a tunnel
 * or a port forwarding. Call it before the first send. */
void net_set_route(struct net *ctx, const char *address, const char *via);
/* Sends to a peer; drops the message when its queue is full. from, boot and
 * address of the envelope are set here. */
void net_send(struct net *ctx, const char *address, Dsp__Envelope *envelope);
/* Waits up to timeout_us for messages or for wake_fd to become readable. */
void net_wait(struct net *ctx, int wake_fd, int64_t timeout_us);
/* Sets the time, probes connections, replaces silent ones and closes unused
 * ones. Called at least once a second. */
void net_tick(struct net *ctx, int64_t now_us);
/* The next received message, or NULL; freed with
 * dsp__envelope__free_unpacked(). Malformed ones are counted and dropped. */
Dsp__Envelope *net_receive(struct net *ctx);
/* Closes the connection to a silent peer, so that the next send opens a new
 * one. */
void net_reset(struct net *ctx, const char *address);

/* Queries. */
uint64_t net_bytes_sent(const struct net *ctx);
uint64_t net_bytes_received(const struct net *ctx);
uint64_t net_malformed(const struct net *ctx);
uint64_t net_dropped(const struct net *ctx);
uint64_t net_resets(const struct net *ctx);

#endif
