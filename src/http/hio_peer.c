#include "http/hio_int.h"

#include <linux/tcp.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"

/*
 * Tells a peer that is gone from one that reads slowly. A peer whose receive
 * window is closed acknowledges every window probe, for as long as it likes;
 * one that cannot be reached any more acknowledges nothing. TCP_USER_TIMEOUT
 * ends both kinds of connections, so it is used only where the kernel does not
 * say what is acknowledged.
 */

/* Since Linux 6.15; older headers lack it. */
#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44
#endif

/* A peer that has bytes to acknowledge and stays silent for this long is gone,
 * so that a broken network path is noticed before the usual deadlines of
 * seconds expire. */
#define SILENCE_MAX_US 3000000
/* Of that time it must have left so many transmissions unanswered: the kernel
 * limits the rate at which it answers probes, so that one may go without. */
#define UNANSWERED_MIN 2
/* Interval of the checks of connections with bytes to acknowledge. */
#define CHECK_US 500000
/* Checks after which a peer is slow: the first may come right after a write. */
#define SLOW_CHECKS 2
/* Longest interval of the probes of a closed window, and the kernel's limit for
 * retransmissions and probes, which is in force otherwise: with the short one
 * it gives up early on the bytes of a closed socket, and sends too often where
 * a round trip takes longer. */
#define PROBE_INTERVAL_MS 1000
#define RTO_MAX_MS 120000
/* Where the kernel has no such limit: it ends a connection whose window is
 * closed this long after the last check that found all probes answered, and
 * sends the next probe by then. */
#define PROBE_LEASE_MS 5000

struct hio_peers {
	const char *name;
	struct event *timer;
	TAILQ_HEAD(, hio_peer) pending;
	bool is_blind; /* the kernel does not say what is acknowledged */
	/* Found gone by the check that runs. */
	unsigned n_gone;
	struct hio_sending last_gone;
};

/* Returns whether a peer is gone that has had bytes to acknowledge for
 * waited_us. */
bool hio_peer_is_gone(const struct hio_sending *sending, int64_t waited_us)
{
	return sending->is_pending && sending->unanswered >= UNANSWERED_MIN &&
	       MIN(sending->silent_us, waited_us) >= SILENCE_MAX_US;
}

/* Reads the kernel's counters. Returns false if it keeps none. */
static bool read_info(evutil_socket_t fd, struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	memset(info, 0, sizeof(*info));
	return !getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &len) &&
	       len >= offsetof(struct tcp_info, tcpi_min_rtt) && info->tcpi_rto;
}

static struct hio_sending sending_of(const struct tcp_info *info)
{
	return (struct hio_sending){
		.is_pending = info->tcpi_unacked || info->tcpi_notsent_bytes,
		.acked = info->tcpi_bytes_acked,
		.unanswered = MAX(info->tcpi_probes, info->tcpi_retransmits),
		.silent_us = info->tcpi_last_ack_recv * 1000LL,
	};
}

static int set_tcp_option(evutil_socket_t fd, int option, unsigned value)
{
	return setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

/*
 * Bounds the interval of the probes of a closed window: the kernel doubles it
 * up to two minutes. No data is sent meanwhile, so the time since the last
 * tells how long the window has been closed.
 */
static void bound_probe_interval(struct hio_peer *peer,
				 const struct tcp_info *info)
{
	bool is_closed = !info->tcpi_unacked && info->tcpi_notsent_bytes;
	bool changes = is_closed != peer->is_closed;

	peer->is_closed = is_closed;
	peer->was_closed |= is_closed;
	if (changes && !peer->has_lease)
		peer->has_lease = set_tcp_option(peer->fd, TCP_RTO_MAX_MS,
						 is_closed ? PROBE_INTERVAL_MS
							   : RTO_MAX_MS) != 0;
	if (peer->has_lease && is_closed && !info->tcpi_probes)
		(void)set_tcp_option(peer->fd, TCP_USER_TIMEOUT,
				     info->tcpi_last_data_sent +
					     PROBE_LEASE_MS);
}

static void stop_watching(struct hio_peer *peer)
{
	if (!peer->is_pending)
		return;
	peer->is_pending = false;
	peer->is_slow = false;
	TAILQ_REMOVE(&peer->peers->pending, peer, link);
}

/* Brings a peer up to date with what the kernel knows. */
static void check_peer(struct hio_peer *peer)
{
	struct hio_peers *ctx = peer->peers;
	struct hio_sending sending;
	struct tcp_info info;

	if (!read_info(peer->fd, &info)) {
		stop_watching(peer);
		return;
	}
	sending = sending_of(&info);
	if (hio_peer_is_gone(&sending, peer->n_checks * (int64_t)CHECK_US)) {
		ctx->n_gone++;
		ctx->last_gone = sending;
		stop_watching(peer);
		peer->changed(peer, HIO_PEER_GONE);
		return;
	}
	bound_probe_interval(peer, &info);
	if (!sending.is_pending)
		stop_watching(peer);
	if (sending.acked != peer->acked || !sending.is_pending) {
		peer->acked = sending.acked;
		peer->changed(peer, HIO_PEER_READ);
	}
	if (peer->is_pending && !peer->is_slow &&
	    peer->n_checks >= SLOW_CHECKS) {
		peer->is_slow = true;
		peer->changed(peer, HIO_PEER_SLOW);
	}
}

static void on_check(evutil_socket_t fd, short what, void *data)
{
	struct hio_peers *ctx = data;
	struct hio_peer *peer, *next;

	(void)fd;
	(void)what;
	ctx->n_gone = 0;
	for (peer = TAILQ_FIRST(&ctx->pending); peer; peer = next) {
		next = TAILQ_NEXT(peer, link);
		peer->n_checks++;
		check_peer(peer);
	}
	if (ctx->n_gone)
		LOG_EVENT_INFO("http", "peers_gone",
			       "of=%s connections=%u unanswered=%u"
			       " silent_ms=%" G_GINT64_FORMAT,
			       ctx->name, ctx->n_gone,
			       ctx->last_gone.unanswered,
			       ctx->last_gone.silent_us / 1000);
	if (!TAILQ_EMPTY(&ctx->pending))
		hio_set_timer(ctx->timer, CHECK_US);
}

/* Creates a set of peers that are checked together; name is for logs and
 * outlives it. */
struct hio_peers *hio_peers_new(struct event_base *base, const char *name)
{
	struct hio_peers *ctx = g_new0(struct hio_peers, 1);

	ctx->name = name;
	ctx->timer = event_new(base, -1, 0, on_check, ctx);
	TAILQ_INIT(&ctx->pending);
	return ctx;
}

/* Frees a set whose peers have all ended. */
void hio_peers_free(struct hio_peers *ctx)
{
	event_free(ctx->timer);
	g_free(ctx);
}

/*
 * Begins to watch the peer of a connected socket; changed() is called from the
 * loop and must not free a peer. Without the kernel's counters changed() is
 * never called, and the kernel ends connections whose bytes stay
 * unacknowledged.
 */
void hio_peer_begin(struct hio_peer *peer, struct hio_peers *peers,
		    evutil_socket_t fd,
		    void (*changed)(struct hio_peer *peer,
				    enum hio_peer_change change))
{
	struct tcp_info info;

	/* Errors of options are ignored: without them the connection works, but
	 * a failure is noticed later. */
	(void)set_tcp_option(fd, TCP_NODELAY, 1);
	*peer = (struct hio_peer){ .fd = fd, .changed = changed };
	if (!peers->is_blind && !read_info(fd, &info)) {
		peers->is_blind = true;
		LOG_EVENT_NOTICE("http", "peers_unknown", "of=%s", peers->name);
	}
	if (peers->is_blind) {
		(void)set_tcp_option(fd, TCP_USER_TIMEOUT,
				     SILENCE_MAX_US / 1000);
		return;
	}
	peer->peers = peers;
	peer->acked = info.tcpi_bytes_acked;
}

/* Notes that bytes were handed to the kernel. */
void hio_peer_wrote(struct hio_peer *peer)
{
	struct hio_peers *ctx = peer->peers;

	if (!ctx || peer->is_pending)
		return;
	if (TAILQ_EMPTY(&ctx->pending))
		hio_set_timer(ctx->timer, CHECK_US);
	peer->is_pending = true;
	peer->was_closed = false;
	peer->n_checks = 0;
	TAILQ_INSERT_TAIL(&ctx->pending, peer, link);
}

/* Ends the watch of a socket that is about to be closed. The kernel goes on to
 * send what is pending. */
void hio_peer_end(struct hio_peer *peer)
{
	if (!peer->peers)
		return;
	if (peer->has_lease)
		(void)set_tcp_option(peer->fd, TCP_USER_TIMEOUT, 0);
	else if (peer->is_closed)
		(void)set_tcp_option(peer->fd, TCP_RTO_MAX_MS, RTO_MAX_MS);
	stop_watching(peer);
	peer->peers = NULL;
}
