#include "net/net.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/queue.h>
#include <zmq.h>

/* Messages that wait in one direction of a connection. A peer that is behind
 * by this many gets newer ones only after a resend by the upper layer. */
#define HIGH_WATER_MARK 4096
/* Larger than a snapshot chunk or a full view of the design scale. */
#define MESSAGE_BYTES_MAX (64 << 20)
/* A connection that is being opened takes a few round trips; messages that
 * waited longer are out of date. */
#define UNCONNECTED_LIMIT_US 500000
#define UNCONNECTED_MAX 256
/* A connection that carries nothing shows within this time, well before nodes
 * and endpoints lose their leases of some seconds. */
#define PING_INTERVAL_US 500000
#define SILENCE_LIMIT_US 1500000
/* Longest pause between two tries to connect: callers of an instance that has
 * restarted wait for its first view. */
#define RECONNECT_MAX_MS 300
/* Opening a connection takes a few round trips. One that was begun while the
 * path was cut may hang after the cut, too. */
#define CONNECT_TIMEOUT_MS 1000
#define UNUSED_LIMIT_US 60000000

/* A message that waits for its connection to open. */
struct waiting {
	STAILQ_ENTRY(waiting) link;
	uint8_t *data; /* owned */
	size_t len;
	int64_t since_us;
};

struct peer {
	char *address;			     /* owned */
	void *socket;			     /* owned DEALER */
	STAILQ_HEAD(waitings, waiting) wait; /* in order of sending */
	size_t n_wait;
	int64_t used_us;      /* last send */
	int64_t pinged_us;    /* last ping */
	int64_t unheard_us;   /* first ping without a reply since; 0: none */
	int64_t stuck_us;     /* first message not taken since; 0: none */
	bool sent_since_ping; /* an idle connection is not probed */
};

struct net {
	void *zmq;	    /* owned */
	void *router;	    /* owned */
	char *node;	    /* owned */
	char *advertise;    /* owned */
	uint64_t boot;	    /* fixed */
	GHashTable *peers;  /* address -> struct peer, owned */
	GHashTable *routes; /* address -> address to connect to */
	int64_t now_us;	    /* of the last net_tick() */
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t malformed;
	uint64_t dropped;
	uint64_t resets;
};

G_DEFINE_QUARK(net - error - quark, net_error)

static void set_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	int64_t max = MESSAGE_BYTES_MAX;

	set_option(socket, ZMQ_LINGER, 0);
	set_option(socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
	set_option(socket, ZMQ_RCVHWM, HIGH_WATER_MARK);
	set_option(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, 30);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

static void waiting_drop_first(struct peer *p)
{
	struct waiting *w = STAILQ_FIRST(&p->wait);

	STAILQ_REMOVE_HEAD(&p->wait, link);
	p->n_wait--;
	g_free(w->data);
	g_free(w);
}

static void peer_free(void *data)
{
	struct peer *p = data;

	while (!STAILQ_EMPTY(&p->wait))
		waiting_drop_first(p);
	if (p->socket)
		zmq_close(p->socket);
	g_free(p->address);
	g_free(p);
}

/*
 * Binds the receiving socket to listen ("tcp://IP:PORT"). boot is the random
 * number of this process. Returns NULL with NET_ERROR_BIND when the address
 * cannot be bound.
 */
struct net *net_new(const char *listen, const char *advertise, const char *node,
		    uint64_t boot, GError **err)
{
	struct net *ctx = g_new0(struct net, 1);

	ctx->zmq = zmq_ctx_new();
	zmq_ctx_set(ctx->zmq, ZMQ_MAX_SOCKETS, 4096);
	ctx->router = zmq_socket(ctx->zmq, ZMQ_ROUTER);
	ctx->node = g_strdup(node);
	ctx->advertise = g_strdup(advertise);
	ctx->boot = boot;
	ctx->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	set_common_options(ctx->router);
	if (zmq_bind(ctx->router, listen)) {
		g_set_error(err, NET_ERROR, NET_ERROR_BIND,
			    "cannot listen on %s: %s", listen,
			    zmq_strerror(errno));
		net_free(ctx);
		return NULL;
	}
	return ctx;
}

/* Closes all sockets; messages that were not sent are dropped. */
void net_free(struct net *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->peers);
	g_hash_table_destroy(ctx->routes);
	if (ctx->router)
		zmq_close(ctx->router);
	zmq_ctx_term(ctx->zmq);
	g_free(ctx->node);
	g_free(ctx->advertise);
	g_free(ctx);
}

static struct peer *peer_get(struct net *ctx, const char *address)
{
	const char *via = g_hash_table_lookup(ctx->routes, address);
	struct peer *p = g_hash_table_lookup(ctx->peers, address);

	if (p)
		return p;
	p = g_new0(struct peer, 1);
	p->address = g_strdup(address);
	STAILQ_INIT(&p->wait);
	p->socket = zmq_socket(ctx->zmq, ZMQ_DEALER);
	if (!p->socket) {
		peer_free(p);
		return NULL;
	}
	set_common_options(p->socket);
	/* Without this, ZeroMQ would queue for peers that do not answer and
	 * deliver outdated messages once they do. */
	set_option(p->socket, ZMQ_IMMEDIATE, 1);
	set_option(p->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_option(p->socket, ZMQ_HANDSHAKE_IVL, 2000);
	set_option(p->socket, ZMQ_RECONNECT_IVL, 100);
	set_option(p->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (zmq_connect(p->socket, via ? via : address)) {
		LOG_EVENT_WARN("net", "bad_address", "address=%s reason=\"%s\"",
			       address, zmq_strerror(errno));
		peer_free(p);
		return NULL;
	}
	g_hash_table_insert(ctx->peers, p->address, p);
	return p;
}

/*
 * Connects to via instead of a peer's own address. The peer is still known by
 * its own address everywhere else.
 */
void net_set_route(struct net *ctx, const char *address, const char *via)
{
	g_hash_table_replace(ctx->routes, g_strdup(address), g_strdup(via));
}

static void flush_waiting(struct net *ctx, struct peer *p)
{
	struct waiting *w;

	while ((w = STAILQ_FIRST(&p->wait))) {
		if (ctx->now_us - w->since_us > UNCONNECTED_LIMIT_US) {
			ctx->dropped++;
		} else if (zmq_send(p->socket, w->data, w->len, ZMQ_DONTWAIT) <
			   0) {
			if (errno == EAGAIN)
				return;
			ctx->dropped++;
		} else {
			ctx->bytes_sent += w->len;
			p->sent_since_ping = true;
			p->stuck_us = 0;
		}
		waiting_drop_first(p);
	}
}

static void wait_for_connection(struct net *ctx, struct peer *p, uint8_t *data,
				size_t len)
{
	struct waiting *w = g_new0(struct waiting, 1);

	w->data = data;
	w->len = len;
	w->since_us = ctx->now_us;
	if (!p->stuck_us)
		p->stuck_us = MAX(ctx->now_us, 1);
	STAILQ_INSERT_TAIL(&p->wait, w, link);
	p->n_wait++;
	if (p->n_wait > UNCONNECTED_MAX) {
		waiting_drop_first(p);
		ctx->dropped++;
	}
}

/* Sends one message; it is dropped when the peer does not take it in time. */
void net_send(struct net *ctx, const char *address, Dsp__Envelope *envelope)
{
	struct peer *p = peer_get(ctx, address);
	char *from = envelope->from;
	char *reply_to = envelope->address;
	uint8_t *data;
	size_t len;

	if (!p) {
		ctx->dropped++;
		return;
	}
	envelope->from = ctx->node;
	envelope->boot = ctx->boot;
	envelope->address = ctx->advertise;
	len = dsp__envelope__get_packed_size(envelope);
	data = g_malloc(len);
	dsp__envelope__pack(envelope, data);
	envelope->from = from;
	envelope->address = reply_to;
	p->used_us = ctx->now_us;
	flush_waiting(ctx, p);
	if (p->n_wait) {
		wait_for_connection(ctx, p, data, len);
		return;
	}
	if (zmq_send(p->socket, data, len, ZMQ_DONTWAIT) >= 0) {
		ctx->bytes_sent += len;
		p->stuck_us = 0;
		p->sent_since_ping = true;
	} else if (errno == EAGAIN) {
		wait_for_connection(ctx, p, data, len);
		return;
	} else {
		ctx->dropped++;
	}
	g_free(data);
}

/* Blocks until something is readable, at most timeout_us microseconds. */
void net_wait(struct net *ctx, int wake_fd, int64_t timeout_us)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(zmq_pollitem_t));
	zmq_pollitem_t item = { .socket = ctx->router, .events = ZMQ_POLLIN };
	GHashTableIter iter;
	struct peer *p;

	g_array_append_val(items, item);
	item = (zmq_pollitem_t){ .fd = wake_fd, .events = ZMQ_POLLIN };
	g_array_append_val(items, item);
	g_hash_table_iter_init(&iter, ctx->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (!p->n_wait)
			continue;
		item = (zmq_pollitem_t){ .socket = p->socket,
					 .events = ZMQ_POLLOUT };
		g_array_append_val(items, item);
	}
	zmq_poll((zmq_pollitem_t *)items->data, (int)items->len,
		 (timeout_us + 999) / 1000);
	g_array_free(items, TRUE);
	g_hash_table_iter_init(&iter, ctx->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p))
		if (p->n_wait)
			flush_waiting(ctx, p);
}

/*
 * Empty messages are pings; the receiver returns them on the connection they
 * came on. This proves that this very connection carries data both ways, which
 * messages from the peer do not: they arrive on the peer's own connection.
 */
static bool peer_is_silent(struct net *ctx, struct peer *p)
{
	char pong[1];

	while (zmq_recv(p->socket, pong, sizeof(pong), ZMQ_DONTWAIT) >= 0)
		p->unheard_us = 0;
	if (p->unheard_us && ctx->now_us - p->unheard_us > SILENCE_LIMIT_US)
		return true;
	/* ZeroMQ keeps opening a connection, but one that was begun while the
	 * path was cut was seen to stay closed long after. */
	if (p->stuck_us && ctx->now_us - p->stuck_us > SILENCE_LIMIT_US)
		return true;
	if (!p->sent_since_ping && !p->unheard_us)
		return false;
	if (ctx->now_us - p->pinged_us < PING_INTERVAL_US)
		return false;
	p->pinged_us = ctx->now_us;
	p->sent_since_ping = false;
	zmq_send(p->socket, "", 0, ZMQ_DONTWAIT);
	if (!p->unheard_us)
		p->unheard_us = ctx->now_us;
	return false;
}

/* Sets the time (microseconds, monotonic) and maintains the connections. */
void net_tick(struct net *ctx, int64_t now_us)
{
	GHashTableIter iter;
	struct peer *p;

	ctx->now_us = now_us;
	g_hash_table_iter_init(&iter, ctx->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (p->n_wait)
			flush_waiting(ctx, p);
		if (peer_is_silent(ctx, p)) {
			ctx->resets++;
			LOG_EVENT_INFO("net", "reset_silent", "address=%s",
				       p->address);
			g_hash_table_iter_remove(&iter);
		} else if (now_us - p->used_us > UNUSED_LIMIT_US) {
			g_hash_table_iter_remove(&iter);
		}
	}
}

static void return_ping(struct net *ctx, zmq_msg_t *identity)
{
	if (zmq_send(ctx->router, zmq_msg_data(identity),
		     zmq_msg_size(identity), ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
		zmq_send(ctx->router, "", 0, ZMQ_DONTWAIT);
}

/*
 * Receives one multipart message. Returns false when there is none; otherwise
 * *out is the envelope, or NULL for a ping or a malformed message.
 */
static bool receive_one(struct net *ctx, Dsp__Envelope **out)
{
	zmq_msg_t identity;
	zmq_msg_t body;
	size_t len;
	int parts = 1;
	bool more;

	*out = NULL;
	zmq_msg_init(&identity);
	zmq_msg_init(&body);
	if (zmq_msg_recv(&identity, ctx->router, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&identity);
		zmq_msg_close(&body);
		return false;
	}
	more = zmq_msg_more(&identity);
	while (more) {
		zmq_msg_close(&body);
		zmq_msg_init(&body);
		if (zmq_msg_recv(&body, ctx->router, ZMQ_DONTWAIT) < 0)
			break;
		parts++;
		more = zmq_msg_more(&body);
	}
	len = zmq_msg_size(&body);
	ctx->bytes_received += len;
	if (parts == 2 && !len) {
		return_ping(ctx, &identity);
	} else {
		if (parts == 2)
			*out = dsp__envelope__unpack(NULL, len,
						     zmq_msg_data(&body));
		if (*out &&
		    ((*out)->body_case == DSP__ENVELOPE__BODY__NOT_SET ||
		     !(*out)->from[0] || !(*out)->address[0])) {
			dsp__envelope__free_unpacked(*out, NULL);
			*out = NULL;
		}
		if (!*out)
			ctx->malformed++;
	}
	zmq_msg_close(&identity);
	zmq_msg_close(&body);
	return true;
}

/* Returns the next message, or NULL when no more are waiting. */
Dsp__Envelope *net_receive(struct net *ctx)
{
	Dsp__Envelope *envelope;

	while (receive_one(ctx, &envelope))
		if (envelope)
			return envelope;
	return NULL;
}

/* Closes the connection to a peer with all messages that wait in it. */
void net_reset(struct net *ctx, const char *address)
{
	if (g_hash_table_remove(ctx->peers, address))
		ctx->resets++;
}

/* Returns the bytes of all messages handed to connections. */
uint64_t net_bytes_sent(const struct net *ctx)
{
	return ctx->bytes_sent;
}

/* Returns the bytes of all messages received, malformed ones included. */
uint64_t net_bytes_received(const struct net *ctx)
{
	return ctx->bytes_received;
}

/* Returns how many received messages could not be parsed. */
uint64_t net_malformed(const struct net *ctx)
{
	return ctx->malformed;
}

/* Returns how many messages were dropped before they were sent. */
uint64_t net_dropped(const struct net *ctx)
{
	return ctx->dropped;
}

/* Returns how many connections were closed because they were silent. */
uint64_t net_resets(const struct net *ctx)
{
	return ctx->resets;
}
