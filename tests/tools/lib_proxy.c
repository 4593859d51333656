#include "lib_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CHUNK_BYTES 65536
#define CONNECTIONS_MAX 4096
#define IDLE_POLL_MS 1000

struct chunk {
	STAILQ_ENTRY(chunk) link;
	int64_t due_ms; /* earliest time to write it */
	size_t len;
	size_t written;
	char bytes[];
};

STAILQ_HEAD(chunk_queue, chunk);

/* One direction of a connection. */
struct relay {
	int from; /* file descriptors, owned by the connection */
	int to;
	bool from_closed;
	bool shut; /* end of stream was passed on */
	struct chunk_queue queue;
};

struct connection {
	TAILQ_ENTRY(connection) link;
	int client;
	int target; /* -1 while held */
	bool silent;
	bool held;
	GByteArray *sent; /* NULL: not recorded; owned by proxy.records */
	struct relay relays[2];
};

TAILQ_HEAD(connection_list, connection);

struct proxy {
	pthread_t thread;
	int listener;	      /* used by the proxy thread only */
	int wake;	      /* eventfd that interrupts poll() */
	uint16_t target_port; /* constant after start */
	pthread_mutex_t lock; /* guards everything below */
	struct connection_list connections;
	size_t n_connections;
	GPtrArray *records; /* GByteArray *, owned */
	bool drop[2];
	bool refuse;
	bool hold;
	bool record;
	bool stopping;
	int delay_ms;
};

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void wake(struct proxy *ctx)
{
	uint64_t one = 1;

	if (write(ctx->wake, &one, sizeof(one)) < 0)
		abort();
}

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static int connect_target(const struct proxy *ctx)
{
	struct sockaddr_in address = loopback(ctx->target_port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void close_connection(struct proxy *ctx, struct connection *conn,
			     bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	struct chunk *chunk;

	for (int i = 0; i < 2; i++) {
		while ((chunk = STAILQ_FIRST(&conn->relays[i].queue))) {
			STAILQ_REMOVE_HEAD(&conn->relays[i].queue, link);
			g_free(chunk);
		}
	}
	if (reset) {
		setsockopt(conn->client, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		if (conn->target >= 0)
			setsockopt(conn->target, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
	}
	close(conn->client);
	if (conn->target >= 0)
		close(conn->target);
	TAILQ_REMOVE(&ctx->connections, conn, link);
	ctx->n_connections--;
	g_free(conn);
}

static void accept_connection(struct proxy *ctx)
{
	int fd = accept4(ctx->listener, NULL, NULL, SOCK_NONBLOCK);
	struct connection *conn;
	int target = -1;
	int one = 1;

	if (fd < 0)
		return;
	if (!ctx->refuse && !ctx->hold)
		target = connect_target(ctx);
	if (ctx->refuse || (!ctx->hold && target < 0) ||
	    ctx->n_connections >= CONNECTIONS_MAX) {
		close(fd);
		if (target >= 0)
			close(target);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn = g_new0(struct connection, 1);
	conn->client = fd;
	conn->target = target;
	conn->held = ctx->hold;
	conn->relays[PROXY_TO_TARGET] =
		(struct relay){ .from = fd, .to = target };
	conn->relays[PROXY_TO_CLIENT] =
		(struct relay){ .from = target, .to = fd };
	for (int i = 0; i < 2; i++)
		STAILQ_INIT(&conn->relays[i].queue);
	if (ctx->record || ctx->hold) {
		conn->sent = g_byte_array_new();
		g_ptr_array_add(ctx->records, conn->sent);
	}
	TAILQ_INSERT_TAIL(&ctx->connections, conn, link);
	ctx->n_connections++;
}

/* Reads from one side and queues it; returns false on a connection error. */
static bool relay_read(struct proxy *ctx, struct connection *conn,
		       enum proxy_direction direction)
{
	struct relay *relay = &conn->relays[direction];
	char bytes[CHUNK_BYTES];
	struct chunk *chunk;
	ssize_t n = read(relay->from, bytes, sizeof(bytes));

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	if (n == 0) {
		relay->from_closed = true;
		return true;
	}
	if (direction == PROXY_TO_TARGET && conn->sent)
		g_byte_array_append(conn->sent, (guint8 *)bytes, (guint)n);
	if (conn->silent || conn->held || ctx->drop[direction])
		return true;
	chunk = g_malloc0(sizeof(*chunk) + (size_t)n);
	chunk->due_ms = now_ms() + ctx->delay_ms;
	chunk->len = (size_t)n;
	memcpy(chunk->bytes, bytes, (size_t)n);
	STAILQ_INSERT_TAIL(&relay->queue, chunk, link);
	return true;
}

/* Writes the chunks that are due; returns false on a connection error. */
static bool relay_write(struct relay *relay)
{
	struct chunk *chunk;

	while ((chunk = STAILQ_FIRST(&relay->queue)) &&
	       chunk->due_ms <= now_ms()) {
		ssize_t n = send(relay->to, chunk->bytes + chunk->written,
				 chunk->len - chunk->written, MSG_NOSIGNAL);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		chunk->written += (size_t)n;
		if (chunk->written < chunk->len)
			return true;
		STAILQ_REMOVE_HEAD(&relay->queue, link);
		g_free(chunk);
	}
	return true;
}

/*
 * Passes on an end of stream after all bytes before it are written. A silent
 * connection or a dropped direction hides it too. Returns false if the
 * connection is to be closed, which is so for a held one.
 */
static bool relay_finish(const struct proxy *ctx, struct connection *conn,
			 enum proxy_direction direction)
{
	struct relay *relay = &conn->relays[direction];

	if (!relay->from_closed || relay->shut || !STAILQ_EMPTY(&relay->queue))
		return true;
	if (conn->silent || ctx->drop[direction])
		return true;
	relay->shut = true;
	if (relay->to >= 0)
		shutdown(relay->to, SHUT_WR);
	return !conn->held;
}

static void serve_connection(struct proxy *ctx, struct connection *conn,
			     short client_events, short target_events)
{
	bool ok = true;

	if (client_events & (POLLIN | POLLHUP | POLLERR))
		ok = relay_read(ctx, conn, PROXY_TO_TARGET);
	if (ok && conn->target >= 0 &&
	    (target_events & (POLLIN | POLLHUP | POLLERR)))
		ok = relay_read(ctx, conn, PROXY_TO_CLIENT);
	for (int i = 0; ok && i < 2; i++)
		if (conn->relays[i].to >= 0)
			ok = relay_write(&conn->relays[i]) &&
			     relay_finish(ctx, conn, i);
	if (conn->held && conn->relays[PROXY_TO_TARGET].from_closed)
		ok = false;
	if (conn->relays[0].shut && conn->relays[1].shut)
		ok = false;
	if (!ok)
		close_connection(ctx, conn, false);
}

/*
 * Returns the milliseconds until the next chunk is due: at least 1, at most
 * IDLE_POLL_MS.
 */
static int poll_timeout(struct proxy *ctx)
{
	int64_t due = now_ms() + IDLE_POLL_MS;
	struct connection *conn;

	TAILQ_FOREACH (conn, &ctx->connections, link)
		for (int i = 0; i < 2; i++) {
			const struct chunk *c =
				STAILQ_FIRST(&conn->relays[i].queue);

			if (c && c->due_ms < due)
				due = c->due_ms;
		}
	return due <= now_ms() ? 1 : (int)(due - now_ms());
}

static short wanted_events(const struct relay *in, const struct relay *out)
{
	return (short)((in->from_closed ? 0 : POLLIN) |
		       (STAILQ_EMPTY(&out->queue) ? 0 : POLLOUT));
}

/*
 * Fills the poll set: listener, eventfd, then client and target of each
 * connection. Returns the number of entries.
 */
static nfds_t fill_poll_set(struct proxy *ctx, struct pollfd *set)
{
	struct connection *conn;
	nfds_t n = 2;

	set[0] = (struct pollfd){ .fd = ctx->listener, .events = POLLIN };
	set[1] = (struct pollfd){ .fd = ctx->wake, .events = POLLIN };
	TAILQ_FOREACH (conn, &ctx->connections, link) {
		struct relay *to_target = &conn->relays[PROXY_TO_TARGET];
		struct relay *to_client = &conn->relays[PROXY_TO_CLIENT];
		short client = wanted_events(to_target, to_client);
		short target = wanted_events(to_client, to_target);

		/* poll() skips negative descriptors: without this, the POLLHUP
		 * of a closed side would make it return at once each time. */
		set[n++] = (struct pollfd){ .fd = client ? conn->client : -1,
					    .events = client };
		set[n++] = (struct pollfd){ .fd = target ? conn->target : -1,
					    .events = target };
	}
	return n;
}

static void serve_all(struct proxy *ctx, const struct pollfd *set, nfds_t n)
{
	struct connection *conn = TAILQ_FIRST(&ctx->connections);
	struct connection *next;

	for (nfds_t i = 2; conn && i + 1 < n; i += 2, conn = next) {
		next = TAILQ_NEXT(conn, link);
		serve_connection(ctx, conn, set[i].revents, set[i + 1].revents);
	}
}

static void *proxy_main(void *data)
{
	static const size_t poll_set_max = 2 * CONNECTIONS_MAX + 2;
	struct pollfd *set = g_new0(struct pollfd, poll_set_max);
	struct proxy *ctx = data;
	uint64_t count;
	int timeout;
	nfds_t n;

	pthread_mutex_lock(&ctx->lock);
	while (!ctx->stopping) {
		n = fill_poll_set(ctx, set);
		timeout = poll_timeout(ctx);
		pthread_mutex_unlock(&ctx->lock);
		poll(set, n, timeout);
		pthread_mutex_lock(&ctx->lock);
		if ((set[1].revents & POLLIN) &&
		    read(ctx->wake, &count, sizeof(count)) < 0)
			abort();
		/* If woken, the connection list may no longer match the set. */
		if (!(set[1].revents & POLLIN))
			serve_all(ctx, set, n);
		if (set[0].revents & POLLIN)
			accept_connection(ctx);
	}
	pthread_mutex_unlock(&ctx->lock);
	g_free(set);
	return NULL;
}

/*
 * Starts a proxy from one port of 127.0.0.1 to another; returns NULL if it
 * cannot listen on the port. Stop it with proxy_stop().
 */
struct proxy *proxy_start(uint16_t port, uint16_t target_port)
{
	struct sockaddr_in address = loopback(port);
	struct proxy *ctx = g_new0(struct proxy, 1);
	int one = 1;

	ctx->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(ctx->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(ctx->listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(ctx->listener, 512)) {
		close(ctx->listener);
		g_free(ctx);
		return NULL;
	}
	ctx->wake = eventfd(0, EFD_NONBLOCK);
	ctx->target_port = target_port;
	ctx->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	TAILQ_INIT(&ctx->connections);
	pthread_mutex_init(&ctx->lock, NULL);
	if (pthread_create(&ctx->thread, NULL, proxy_main, ctx))
		abort();
	return ctx;
}

/* Stops the proxy and resets its connections; NULL is allowed. */
void proxy_stop(struct proxy *ctx)
{
	struct connection *conn;

	if (!ctx)
		return;
	pthread_mutex_lock(&ctx->lock);
	ctx->stopping = true;
	pthread_mutex_unlock(&ctx->lock);
	wake(ctx);
	pthread_join(ctx->thread, NULL);
	while ((conn = TAILQ_FIRST(&ctx->connections)))
		close_connection(ctx, conn, true);
	g_ptr_array_free(ctx->records, TRUE);
	close(ctx->listener);
	close(ctx->wake);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

static void set_flag(struct proxy *ctx, bool *flag, bool on)
{
	pthread_mutex_lock(&ctx->lock);
	*flag = on;
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

/* Discards all bytes of one direction while on; connections stay open. */
void proxy_drop(struct proxy *ctx, enum proxy_direction direction, bool on)
{
	set_flag(ctx, &ctx->drop[direction], on);
}

/* Closes new connections at once while on. */
void proxy_refuse(struct proxy *ctx, bool on)
{
	set_flag(ctx, &ctx->refuse, on);
}

/*
 * While on, holds new connections: what they send is recorded but not
 * forwarded; only proxy_deliver() sends it to the target.
 */
void proxy_hold(struct proxy *ctx, bool on)
{
	set_flag(ctx, &ctx->hold, on);
}

/* While on, records what new connections send, for proxy_deliver(). */
void proxy_record(struct proxy *ctx, bool on)
{
	set_flag(ctx, &ctx->record, on);
}

/*
 * Makes all connections that are open now silent for good, in both directions;
 * new ones work.
 */
void proxy_silence_open(struct proxy *ctx)
{
	struct connection *conn;

	pthread_mutex_lock(&ctx->lock);
	TAILQ_FOREACH (conn, &ctx->connections, link)
		conn->silent = true;
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

/* Closes all open connections with a reset. */
void proxy_break_open(struct proxy *ctx)
{
	struct connection *conn;

	pthread_mutex_lock(&ctx->lock);
	while ((conn = TAILQ_FIRST(&ctx->connections)))
		close_connection(ctx, conn, true);
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

/*
 * Sets the delay in milliseconds, in both directions, of bytes that arrive from
 * now on.
 */
void proxy_delay(struct proxy *ctx, int ms)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->delay_ms = ms;
	wake(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

/*
 * Sends the recorded bytes of connection i (in order of arrival) to the target
 * on a new connection and waits up to IDLE_POLL_MS for the start of an answer.
 * Each call sends them again, so that a test can deliver late, out of order or
 * twice. Returns false if there is no such record or the target cannot be
 * reached.
 */
bool proxy_deliver(struct proxy *ctx, size_t i)
{
	GByteArray *bytes = NULL;
	struct pollfd set;
	bool ok = false;
	int fd;

	pthread_mutex_lock(&ctx->lock);
	if (i < ctx->records->len) {
		const GByteArray *record = ctx->records->pdata[i];

		bytes = g_byte_array_new();
		g_byte_array_append(bytes, record->data, record->len);
	}
	pthread_mutex_unlock(&ctx->lock);
	if (!bytes)
		return false;
	fd = connect_target(ctx);
	if (fd >= 0) {
		ok = send(fd, bytes->data, bytes->len, MSG_NOSIGNAL) ==
		     (ssize_t)bytes->len;
		set = (struct pollfd){ .fd = fd, .events = POLLIN };
		poll(&set, 1, IDLE_POLL_MS);
		close(fd);
	}
	g_byte_array_unref(bytes);
	return ok;
}

/* Returns the number of recorded connections. */
size_t proxy_recorded(struct proxy *ctx)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->records->len;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Returns the number of open connections. */
size_t proxy_open_connections(struct proxy *ctx)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->n_connections;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}
