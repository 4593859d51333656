#include "net/net.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/queue.h>
#include <zmq.h>

/* ZeroMQ's limit of messages queued per direction of a connection. Beyond it
 * messages are lost unless the upper layer sends them again. */
#define HIGH_WATER_MARK_MESSAGES 4096
/* Must exceed a snapshot chunk and a full view at the design scale. */
#define MESSAGE_BYTES_MAX (64 << 20)
/* Messages are queued while their connection opens, which takes a few round
 * trips; older ones are out of date and are dropped. */
#define QUEUED_MESSAGE_AGE_MAX_US 500000
#define QUEUED_MESSAGES_MAX 256
/* A dead connection is detected within the silence limit, well before nodes
 * and endpoints lose their leases of a few seconds. */
#define PING_INTERVAL_US 500000
/* Interval of the checks of all connections. A check may cost a system call for
 * each of some hundred connections. */
#define PROBE_INTERVAL_US 100000
#define SILENCE_LIMIT_US 1500000
/* Longest time that bytes on their way prolong the silence limit: a connection
 * that is dead must not seem busy. */
#define DRAIN_MAX_US 1500000
/* Longest delay between connection attempts. Kept short because callers of a
 * restarted instance wait for its first view. */
#define RECONNECT_MAX_MS 300
/* Opening a connection takes a few round trips. An attempt that started during
 * a network outage may still hang after the outage. */
#define CONNECT_TIMEOUT_MS 1000
#define UNUSED_CLOSE_US 60000000
/* The same with more than PEERS_MANY connections. Each takes some 50 KB on both
 * sides, and instances without a view query all control instances. */
#define UNUSED_CLOSE_MANY_US 5000000
#define PEERS_MANY 64
/* Room after a packed message for the fields of one receiver: two numbers of at
 * most 10 bytes with tags of 2. */
#define TAIL_BYTES_MAX 24
/* Received messages that wait, in number and bytes. Beyond it the oldest
 * reports are dropped: their senders repeat them each few hundred
 * milliseconds, and a leader that lags behind by seconds serves nobody. */
#define WAITING_MESSAGES_MAX 2048
#define WAITING_BYTES_MAX (8 << 20)

/* A message queued until its connection opens. */
struct queued_message {
	STAILQ_ENTRY(queued_message) link;
	uint8_t *data; /* owned */
	size_t len;
	int64_t queued_us;
};

struct peer {
	char *key;     /* owned; in net.peers */
	char *address; /* owned */
	void *socket;  /* owned DEALER */
	STAILQ_HEAD(message_queue, queued_message) queue; /* oldest first */
	size_t n_queued;
	int64_t used_us;	    /* last send */
	int64_t pinged_us;	    /* last ping */
	int64_t unanswered_ping_us; /* first since last reply; 0: none */
	int64_t ping_due_us;	    /* when a slow link has delivered it */
	int64_t blocked_since_us;   /* first rejected message since; 0: none */
	int64_t drained_us;   /* a slow link has delivered all sent by then */
	bool sent_since_ping; /* idle connections are not pinged */
};

/* Order in which received messages are handled. */
enum lane {
	LANE_CONSENSUS,
	LANE_OTHER,
	LANE_REPORTS,
	N_LANES,
};

/* A received message that waits. */
struct received_message {
	STAILQ_ENTRY(received_message) link;
	zmq_msg_t body;
};
STAILQ_HEAD(received_queue, received_message);

struct net {
	struct received_queue lanes[N_LANES];
	size_t n_waiting;
	size_t waiting_bytes;
	void *zmq;	      /* owned */
	void *router;	      /* owned */
	char *node;	      /* owned */
	char *advertise;      /* owned */
	uint64_t boot;	      /* fixed */
	GHashTable *peers;    /* address and lane -> struct peer, owned */
	GHashTable *routes;   /* address -> address to connect to */
	int64_t now_us;	      /* time of the last net_tick() */
	int64_t probe_due_us; /* next check of all connections */
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t malformed;
	uint64_t shed;
	uint64_t dropped;
	uint64_t resets;
	uint64_t probes;
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
	set_option(socket, ZMQ_SNDHWM, HIGH_WATER_MARK_MESSAGES);
	set_option(socket, ZMQ_RCVHWM, HIGH_WATER_MARK_MESSAGES);
	set_option(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, 30);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

static void drop_first_queued(struct peer *p)
{
	struct queued_message *w = STAILQ_FIRST(&p->queue);

	STAILQ_REMOVE_HEAD(&p->queue, link);
	p->n_queued--;
	g_free(w->data);
	g_free(w);
}

static void peer_free(void *data)
{
	struct peer *p = data;

	while (!STAILQ_EMPTY(&p->queue))
		drop_first_queued(p);
	if (p->socket)
		zmq_close(p->socket);
	g_free(p->address);
	g_free(p->key);
	g_free(p);
}

/*
 * Binds the receiving socket to listen ("tcp://IP:PORT"). Peers send replies to
 * advertise; boot is a random number that identifies this process. Returns NULL
 * with NET_ERROR_BIND when the address cannot be bound.
 */
struct net *net_new(const char *listen, const char *advertise, const char *node,
		    uint64_t boot, GError **err)
{
	struct net *ctx = g_new0(struct net, 1);

	for (int i = 0; i < N_LANES; i++)
		STAILQ_INIT(&ctx->lanes[i]);
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

static void drop_first_received(struct net *ctx, enum lane lane)
{
	struct received_message *m = STAILQ_FIRST(&ctx->lanes[lane]);

	STAILQ_REMOVE_HEAD(&ctx->lanes[lane], link);
	ctx->n_waiting--;
	ctx->waiting_bytes -= zmq_msg_size(&m->body);
	zmq_msg_close(&m->body);
	g_free(m);
}

/* Closes all sockets; messages that were not sent are dropped. */
void net_free(struct net *ctx)
{
	if (!ctx)
		return;
	for (int i = 0; i < N_LANES; i++)
		while (!STAILQ_EMPTY(&ctx->lanes[i]))
			drop_first_received(ctx, (enum lane)i);
	g_hash_table_destroy(ctx->peers);
	g_hash_table_destroy(ctx->routes);
	if (ctx->router)
		zmq_close(ctx->router);
	zmq_ctx_term(ctx->zmq);
	g_free(ctx->node);
	g_free(ctx->advertise);
	g_free(ctx);
}

/* Returns the key of the connection for messages that go ahead of others;
 * g_free(). */
static char *key_ahead(const char *address)
{
	return g_strdup_printf("%s ahead", address);
}

static struct peer *peer_get(struct net *ctx, const char *address, bool ahead)
{
	const char *via = g_hash_table_lookup(ctx->routes, address);
	g_autofree char *key = ahead ? key_ahead(address) : g_strdup(address);
	struct peer *p = g_hash_table_lookup(ctx->peers, key);

	if (p)
		return p;
	p = g_new0(struct peer, 1);
	p->key = g_steal_pointer(&key);
	p->address = g_strdup(address);
	STAILQ_INIT(&p->queue);
	p->socket = zmq_socket(ctx->zmq, ZMQ_DEALER);
	if (!p->socket) {
		peer_free(p);
		return NULL;
	}
	set_common_options(p->socket);
	/* Without this, ZeroMQ would queue messages for unreachable peers and
	 * deliver them out of date later. */
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
	g_hash_table_insert(ctx->peers, p->key, p);
	return p;
}

/*
 * Connects to via instead of a peer's own address, for peers behind a tunnel or
 * port forwarding. All other calls still name the peer by its own address. Call
 * it before the first send.
 */
void net_set_route(struct net *ctx, const char *address, const char *via)
{
	g_hash_table_replace(ctx->routes, g_strdup(address), g_strdup(via));
}

/* Accounts for a message that was handed to the connection. */
static void note_sent(struct net *ctx, struct peer *p, size_t len)
{
	int64_t from_us = MAX(p->drained_us, ctx->now_us);

	p->drained_us = MIN(from_us + (int64_t)len * 8 * G_USEC_PER_SEC /
					      NET_SLOW_BITS_PER_S,
			    ctx->now_us + DRAIN_MAX_US);
	ctx->bytes_sent += len;
	p->sent_since_ping = true;
	p->blocked_since_us = 0;
}

static void send_queued(struct net *ctx, struct peer *p)
{
	struct queued_message *w;

	while ((w = STAILQ_FIRST(&p->queue))) {
		if (ctx->now_us - w->queued_us > QUEUED_MESSAGE_AGE_MAX_US) {
			ctx->dropped++;
		} else if (zmq_send(p->socket, w->data, w->len, ZMQ_DONTWAIT) <
			   0) {
			if (errno == EAGAIN)
				return;
			ctx->dropped++;
		} else {
			note_sent(ctx, p, w->len);
		}
		drop_first_queued(p);
	}
}

static void queue_message(struct net *ctx, struct peer *p, uint8_t *data,
			  size_t len)
{
	struct queued_message *w = g_new0(struct queued_message, 1);

	w->data = data;
	w->len = len;
	w->queued_us = ctx->now_us;
	if (!p->blocked_since_us)
		p->blocked_since_us = MAX(ctx->now_us, 1);
	STAILQ_INSERT_TAIL(&p->queue, w, link);
	p->n_queued++;
	if (p->n_queued > QUEUED_MESSAGES_MAX) {
		drop_first_queued(p);
		ctx->dropped++;
	}
}

/* Returns the encoded message, to be freed with g_free(), and its length. from,
 * boot and address of the envelope are filled in here. */
uint8_t *net_pack(struct net *ctx, Dsp__Envelope *envelope, size_t *len)
{
	char *from = envelope->from;
	char *reply_to = envelope->address;
	uint8_t *data;

	envelope->from = ctx->node;
	envelope->boot = ctx->boot;
	envelope->address = ctx->advertise;
	*len = dsp__envelope__get_packed_size(envelope);
	data = g_malloc(*len + TAIL_BYTES_MAX);
	dsp__envelope__pack(envelope, data);
	envelope->from = from;
	envelope->address = reply_to;
	return data;
}

static void send_to(struct net *ctx, struct peer *p, const uint8_t *data,
		    size_t len)
{
	if (!p) {
		ctx->dropped++;
		return;
	}
	p->used_us = ctx->now_us;
	send_queued(ctx, p);
	if (p->n_queued) {
		queue_message(ctx, p, g_memdup2(data, len), len);
	} else if (zmq_send(p->socket, data, len, ZMQ_DONTWAIT) >= 0) {
		note_sent(ctx, p, len);
	} else if (errno == EAGAIN) {
		queue_message(ctx, p, g_memdup2(data, len), len);
	} else {
		ctx->dropped++;
	}
}

/* Sends an encoded message, or queues it while the connection opens. A queued
 * message is dropped when it gets too old or newer ones overflow the queue. */
void net_send_packed(struct net *ctx, const char *address, const uint8_t *data,
		     size_t len)
{
	send_to(ctx, peer_get(ctx, address, false), data, len);
}

/* As net_send_packed(), with the fields of a lease appended in the room that
 * net_pack() leaves. Encoded fields that follow a message become part of it. */
void net_send_packed_lease(struct net *ctx, const char *address, uint8_t *data,
			   size_t len, uint64_t echo_us, uint32_t lease_age_ms)
{
	Dsp__Envelope tail = DSP__ENVELOPE__INIT;

	tail.echo_us = echo_us;
	tail.lease_age_ms = lease_age_ms;
	len += dsp__envelope__pack(&tail, data + len);
	net_send_packed(ctx, address, data, len);
}

/* As net_send(), ahead of the messages that were sent before and wait. */
void net_send_ahead(struct net *ctx, const char *address,
		    Dsp__Envelope *envelope)
{
	size_t len;
	uint8_t *data = net_pack(ctx, envelope, &len);

	send_to(ctx, peer_get(ctx, address, true), data, len);
	g_free(data);
}

/* Encodes and sends one message, as net_send_packed(). */
void net_send(struct net *ctx, const char *address, Dsp__Envelope *envelope)
{
	size_t len;
	uint8_t *data = net_pack(ctx, envelope, &len);

	net_send_packed(ctx, address, data, len);
	g_free(data);
}

/* Waits up to timeout_us for messages or for wake_fd to become readable, and
 * sends queued messages. */
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
		if (!p->n_queued)
			continue;
		item = (zmq_pollitem_t){ .socket = p->socket,
					 .events = ZMQ_POLLOUT };
		g_array_append_val(items, item);
	}
	zmq_poll((zmq_pollitem_t *)items->data, (int)items->len,
		 ctx->n_waiting ? 0 : (timeout_us + 999) / 1000);
	g_array_free(items, TRUE);
	g_hash_table_iter_init(&iter, ctx->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p))
		if (p->n_queued)
			send_queued(ctx, p);
}

/*
 * Pings a peer when due and returns true when its connection is dead. Empty
 * messages are pings; the receiver returns them on the same connection. This
 * proves that the connection carries data both ways, which messages from the
 * peer do not: they arrive on the peer's own connection.
 */
static bool probe_peer(struct net *ctx, struct peer *p)
{
	char pong[1];

	if (p->unanswered_ping_us) {
		ctx->probes++;
		while (zmq_recv(p->socket, pong, sizeof(pong), ZMQ_DONTWAIT) >=
		       0)
			p->unanswered_ping_us = 0;
	}
	/* A ping waits behind the messages that were sent before it. */
	if (p->unanswered_ping_us &&
	    ctx->now_us - MAX(p->unanswered_ping_us, p->ping_due_us) >
		    SILENCE_LIMIT_US)
		return true;
	/* ZeroMQ retries by itself, but a connection attempt that started
	 * during a network outage can stay closed long after the outage. */
	if (p->blocked_since_us &&
	    ctx->now_us - p->blocked_since_us > SILENCE_LIMIT_US)
		return true;
	if (!p->sent_since_ping && !p->unanswered_ping_us)
		return false;
	if (ctx->now_us - p->pinged_us < PING_INTERVAL_US)
		return false;
	p->pinged_us = ctx->now_us;
	p->sent_since_ping = false;
	zmq_send(p->socket, "", 0, ZMQ_DONTWAIT);
	if (!p->unanswered_ping_us) {
		p->unanswered_ping_us = ctx->now_us;
		p->ping_due_us = p->drained_us;
	}
	return false;
}

/* Sets the time (monotonic, microseconds), pings connections, resets dead ones
 * and closes unused ones. Call it at least once a second. */
void net_tick(struct net *ctx, int64_t now_us)
{
	GHashTableIter iter;
	struct peer *p;
	int64_t unused_us = g_hash_table_size(ctx->peers) > PEERS_MANY
				    ? UNUSED_CLOSE_MANY_US
				    : UNUSED_CLOSE_US;

	ctx->now_us = now_us;
	if (now_us < ctx->probe_due_us)
		return;
	ctx->probe_due_us = now_us + PROBE_INTERVAL_US;
	g_hash_table_iter_init(&iter, ctx->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (p->n_queued)
			send_queued(ctx, p);
		if (probe_peer(ctx, p)) {
			ctx->resets++;
			LOG_EVENT_INFO("net", "reset_silent", "address=%s",
				       p->address);
			g_hash_table_iter_remove(&iter);
		} else if (now_us - p->used_us > unused_us) {
			g_hash_table_iter_remove(&iter);
		}
	}
}

static void reply_to_ping(struct net *ctx, zmq_msg_t *identity)
{
	if (zmq_send(ctx->router, zmq_msg_data(identity),
		     zmq_msg_size(identity), ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
		zmq_send(ctx->router, "", 0, ZMQ_DONTWAIT);
}

/* Reads a number in protobuf's variable-length encoding at *at, and moves *at
 * past it. Returns false at the end of the data. */
static bool read_varint(const uint8_t *data, size_t len, size_t *at,
			uint64_t *out)
{
	*out = 0;
	for (unsigned shift = 0; shift < 64 && *at < len; shift += 7) {
		uint8_t byte = data[(*at)++];

		*out |= (uint64_t)(byte & 0x7f) << shift;
		if (!(byte & 0x80))
			return true;
	}
	return false;
}

/* Returns the lane of an encoded envelope by the number of its body's field. It
 * is decoded only when its turn comes. */
static enum lane lane_of(const uint8_t *data, size_t len)
{
	size_t at = 0;
	uint64_t tag;
	uint64_t value;

	while (read_varint(data, len, &at, &tag)) {
		if (tag >> 3 == DSP__ENVELOPE__BODY_RAFT)
			return LANE_CONSENSUS;
		if (tag >> 3 == DSP__ENVELOPE__BODY_REPORT)
			return LANE_REPORTS;
		if (((tag & 7) != 0 && (tag & 7) != 2) ||
		    !read_varint(data, len, &at, &value))
			break;
		if ((tag & 7) == 2) {
			if (value > len - at)
				break;
			at += (size_t)value;
		}
	}
	return LANE_OTHER;
}

/* Adds a message to its lane; takes body. */
static void add_received(struct net *ctx, zmq_msg_t *body)
{
	struct received_message *m = g_new0(struct received_message, 1);
	size_t len = zmq_msg_size(body);
	enum lane lane = lane_of(zmq_msg_data(body), len);

	zmq_msg_init(&m->body);
	zmq_msg_move(&m->body, body);
	STAILQ_INSERT_TAIL(&ctx->lanes[lane], m, link);
	ctx->n_waiting++;
	ctx->waiting_bytes += len;
	while ((ctx->n_waiting > WAITING_MESSAGES_MAX ||
		ctx->waiting_bytes > WAITING_BYTES_MAX) &&
	       !STAILQ_EMPTY(&ctx->lanes[LANE_REPORTS])) {
		drop_first_received(ctx, LANE_REPORTS);
		ctx->shed++;
	}
}

/* Receives one multipart message into its lane and answers a ping. Returns
 * false when there is none. */
static bool receive_one(struct net *ctx)
{
	zmq_msg_t identity;
	zmq_msg_t body;
	size_t len;
	int parts = 1;
	bool more;

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
	if (parts == 2 && !len)
		reply_to_ping(ctx, &identity);
	else if (parts == 2)
		add_received(ctx, &body);
	else
		ctx->malformed++;
	zmq_msg_close(&identity);
	zmq_msg_close(&body);
	return true;
}

/* Decodes the first message of a lane and removes it. Returns NULL if it is
 * malformed. */
static Dsp__Envelope *take_received(struct net *ctx, enum lane lane)
{
	struct received_message *m = STAILQ_FIRST(&ctx->lanes[lane]);
	Dsp__Envelope *e = dsp__envelope__unpack(NULL, zmq_msg_size(&m->body),
						 zmq_msg_data(&m->body));

	drop_first_received(ctx, lane);
	if (e && (e->body_case == DSP__ENVELOPE__BODY__NOT_SET || !e->from[0] ||
		  !e->address[0])) {
		dsp__envelope__free_unpacked(e, NULL);
		e = NULL;
	}
	if (!e)
		ctx->malformed++;
	return e;
}

/* Moves what the sockets have received to the lanes. Where other messages than
 * reports fill them, the rest stays with ZeroMQ, whose connections take turns:
 * an urgent message does not wait for all of a large one on another. */
static void receive_waiting(struct net *ctx)
{
	for (int i = 0; i < WAITING_MESSAGES_MAX &&
			ctx->waiting_bytes <= WAITING_BYTES_MAX;
	     i++)
		if (!receive_one(ctx))
			return;
}

static Dsp__Envelope *receive_from(struct net *ctx, int n_lanes)
{
	for (int lane = 0; lane < n_lanes; lane++)
		while (!STAILQ_EMPTY(&ctx->lanes[lane])) {
			Dsp__Envelope *e = take_received(ctx, (enum lane)lane);

			if (e)
				return e;
		}
	return NULL;
}

/*
 * Returns the next received message, or NULL when there is none; free it with
 * dsp__envelope__free_unpacked(). Messages of the consensus protocol come first
 * and reports last, so that elections and proposals do not wait behind the
 * reports of all instances. Malformed messages are counted and dropped.
 */
Dsp__Envelope *net_receive(struct net *ctx)
{
	receive_waiting(ctx);
	return receive_from(ctx, N_LANES);
}

/* As net_receive(), for messages of the consensus protocol only. */
Dsp__Envelope *net_receive_consensus(struct net *ctx)
{
	receive_waiting(ctx);
	return receive_from(ctx, LANE_CONSENSUS + 1);
}

/* Closes the connections to a peer and drops its queued messages; the next send
 * opens a new connection. */
void net_reset(struct net *ctx, const char *address)
{
	g_autofree char *ahead = key_ahead(address);

	g_hash_table_remove(ctx->peers, ahead);
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

/* Returns how many received reports were dropped because too many waited. */
uint64_t net_shed(const struct net *ctx)
{
	return ctx->shed;
}

/* Returns how many messages were dropped before they were sent. */
uint64_t net_dropped(const struct net *ctx)
{
	return ctx->dropped;
}

/* Returns how often a connection was checked for the answer to a ping. */
uint64_t net_probes(const struct net *ctx)
{
	return ctx->probes;
}

/* Returns how many connections were closed by net_reset() or as dead. */
uint64_t net_resets(const struct net *ctx)
{
	return ctx->resets;
}
