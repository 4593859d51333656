#include "http/hio_int.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/* A connection that is idle for longer is closed. */
#define IDLE_MAX_US 10000000
/* Limit of the bytes received before the header of the expected answer is
 * complete: interim (1xx) answers, late answers to other requests, and that
 * header. */
#define BEFORE_ANSWER_MAX_BYTES (1 << 20)
/* An endpoint that sends "Keep-Alive: timeout" closes an idle connection after
 * that time; the next request must reach it earlier, by this margin. */
#define KEEP_ALIVE_MARGIN_US 500000

enum conn_phase {
	CONNECTING,
	BUSY,
	IDLE,	/* in the list of its pool */
	FAILED, /* connect failed at once; reported by the timer */
};

struct conn {
	TAILQ_ENTRY(conn) entry; /* in pool.idle, most recently used first */
	struct pool *pool;
	struct bufferevent *bev;
	struct hio_peer peer;
	struct event *timer;
	enum conn_phase phase;
	struct hio_call *call; /* CONNECTING, BUSY and FAILED */
	http_parser parser;
	struct hio_builder builder;
	struct hio_input input;
	struct hio_answer answer;
	bool skipped;	   /* this answer is interim or to another request */
	bool answer_begun; /* the header of the call's answer was read */
	bool reused;	   /* it has had an earlier call */
	size_t bytes_before_answer;
	bool complete;
	bool parsing;
	bool free_pending; /* conn_free() was called in a parser callback */
	int64_t idle_since_us;
	int64_t idle_limit_us;
};

struct pool {
	struct hio_client *client;
	char *address;
	struct sockaddr_in socket_address;
	TAILQ_HEAD(idle_list, conn) idle;
};

struct hio_call {
	struct hio_call_options options;
	char *echo_value; /* owned */
	struct conn *conn;
};

struct hio_client {
	struct event_base *base;
	const struct clk *clock;
	struct hio_peers *peers;
	GHashTable *pools;
	struct hio_client_counts counts;
	size_t n_idle; /* connections */
	size_t idle_max;
};

static void answer_clear(struct conn *conn)
{
	hio_fields_clear(&conn->answer.fields);
	conn->answer.status = 0;
}

static void remove_idle(struct conn *conn)
{
	TAILQ_REMOVE(&conn->pool->idle, conn, entry);
	conn->pool->client->n_idle--;
}

static void on_output_changed(struct evbuffer *out,
			      const struct evbuffer_cb_info *info, void *data)
{
	struct conn *conn = data;

	(void)out;
	if (info->n_deleted)
		hio_peer_wrote(&conn->peer);
}

static void conn_free(struct conn *conn)
{
	if (conn->parsing) {
		conn->free_pending = true;
		return;
	}
	if (conn->phase == IDLE)
		remove_idle(conn);
	hio_peer_end(&conn->peer);
	evbuffer_remove_cb(bufferevent_get_output(conn->bev), on_output_changed,
			   conn);
	bufferevent_free(conn->bev);
	event_free(conn->timer);
	hio_builder_clear(&conn->builder);
	answer_clear(conn);
	g_free(conn);
}

static void call_free(struct hio_call *call)
{
	if (call->conn)
		call->conn->call = NULL;
	g_free(call->echo_value);
	g_free(call);
}

/* Frees the call and reports its failure. Its connection has been freed, or
 * will be when the parser returns. */
static void call_fail(struct hio_call *call, enum hio_failure failure)
{
	void (*failed)(void *, enum hio_failure) = call->options.failed;
	void *data = call->options.data;

	call_free(call);
	failed(data, failure);
}

static void conn_fail(struct conn *conn, enum hio_failure failure)
{
	struct hio_call *call = conn->call;

	conn_free(conn);
	if (call) {
		call->conn = NULL;
		call_fail(call, failure);
	}
}

/* ---- Parser callbacks ---- */

static int on_begin(http_parser *parser)
{
	struct conn *conn = parser->data;

	hio_builder_clear(&conn->builder);
	hio_builder_init(&conn->builder);
	conn->skipped = false;
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	return hio_builder_name(&conn->builder, at, len) ? 0 : -1;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;
	uint64_t offset = hio_input_offset(&conn->input, at);

	return hio_builder_value(&conn->builder, offset, at, len) ? 0 : -1;
}

static const char *echo_of(const struct conn *conn)
{
	const char *name = conn->call->options.echo_name;

	return name ? hio_field(&conn->builder.fields, name) : NULL;
}

static bool answers_other_request(const struct conn *conn)
{
	const char *echo = echo_of(conn);

	if (!conn->call->options.echo_name)
		return false;
	if (!echo)
		return conn->reused;
	return strcmp(echo, conn->call->echo_value) != 0;
}

static int on_headers(http_parser *parser)
{
	struct conn *conn = parser->data;
	bool no_body;

	hio_builder_finish(&conn->builder);
	if (!conn->call || !hio_is_status((int)parser->status_code))
		return -1;
	no_body = conn->call->options.no_answer_body;
	if (parser->status_code < 200 || answers_other_request(conn)) {
		conn->skipped = true;
		return 0;
	}
	answer_clear(conn);
	conn->answer_begun = true;
	conn->answer.echoed = echo_of(conn) != NULL;
	conn->answer.status = (int)parser->status_code;
	conn->answer.fields = conn->builder.fields;
	conn->builder.fields = (struct hio_fields){ 0 };
	conn->call->options.head_read(conn->call->options.data, &conn->answer);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (!hio_input_body(&conn->input, parser, at, len))
		return -1;
	if (conn->skipped)
		return 0;
	if (!conn->call)
		return -1;
	conn->call->options.body_read(conn->call->options.data, at, len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	if (conn->skipped)
		return 0;
	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ---- Connections ---- */

/* Returns how long the connection may be kept idle, from the endpoint's header
 * field Keep-Alive where there is one. */
static int64_t keep_alive_limit(const struct hio_answer *answer)
{
	const char *text = hio_field(&answer->fields, "keep-alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t limit_us;

	if (!timeout)
		return IDLE_MAX_US;
	limit_us = strtoll(timeout + strlen("timeout="), NULL, 10) * 1000000 -
		   KEEP_ALIVE_MARGIN_US;
	return CLAMP(limit_us, 0, IDLE_MAX_US);
}

static bool is_reusable(const struct conn *conn)
{
	return http_should_keep_alive(&conn->parser) &&
	       !evbuffer_get_length(bufferevent_get_input(conn->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(conn->bev));
}

/* Closes the pool's connection that was idle for longest if the client has too
 * many idle ones. */
static void limit_idle(struct pool *pool)
{
	const struct hio_client *client = pool->client;

	if (client->idle_max && client->n_idle > client->idle_max)
		conn_free(TAILQ_LAST(&pool->idle, idle_list));
}

static void call_finish(struct conn *conn)
{
	struct hio_call *call = conn->call;
	void (*end)(void *) = call->options.end;
	void *data = call->options.data;

	call_free(call);
	conn->complete = false;
	conn->idle_limit_us = keep_alive_limit(&conn->answer);
	if (is_reusable(conn) && conn->idle_limit_us > 0) {
		answer_clear(conn);
		hio_builder_clear(&conn->builder);
		conn->phase = IDLE;
		conn->idle_since_us = clk_now_us(conn->pool->client->clock);
		TAILQ_INSERT_HEAD(&conn->pool->idle, conn, entry);
		conn->pool->client->n_idle++;
		hio_set_timer(conn->timer, conn->idle_limit_us);
		limit_idle(conn->pool);
	} else {
		conn_free(conn);
	}
	end(data);
}

/* Parses the buffered input; eof: the endpoint has closed its side. Returns
 * false if the call has ended; the connection may have been freed then. */
static bool parse(struct conn *conn, bool eof)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);
	enum http_errno error = HPE_OK;
	size_t len;

	conn->parsing = true;
	while (conn->call && !conn->free_pending && !conn->complete &&
	       (len = evbuffer_get_contiguous_space(input))) {
		const char *data =
			(const char *)evbuffer_pullup(input, (ssize_t)len);
		size_t used;
		bool valid;

		hio_input_begin(&conn->input, data);
		used = http_parser_execute(&conn->parser, &parser_settings,
					   data, len);
		valid = hio_input_end(&conn->input, used);
		evbuffer_drain(input, used);
		error = HTTP_PARSER_ERRNO(&conn->parser);
		if (error == HPE_PAUSED)
			http_parser_pause(&conn->parser, 0);
		else if (error != HPE_OK)
			break;
		if (!valid) {
			conn->complete = false;
			error = HPE_STRICT;
			break;
		}
		if (conn->parser.upgrade)
			break;
		if (conn->answer_begun)
			continue;
		conn->bytes_before_answer += used;
		if (conn->bytes_before_answer > BEFORE_ANSWER_MAX_BYTES) {
			error = HPE_HEADER_OVERFLOW;
			break;
		}
	}
	if (eof && conn->call && !conn->free_pending && !conn->complete &&
	    (error == HPE_OK || error == HPE_PAUSED)) {
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
		error = HTTP_PARSER_ERRNO(&conn->parser);
		if (error == HPE_PAUSED)
			http_parser_pause(&conn->parser, 0);
	}
	conn->parsing = false;
	if (conn->free_pending) {
		conn_free(conn);
		return false;
	}
	if (conn->complete && conn->call) {
		call_finish(conn);
		return false;
	}
	if (error != HPE_OK && error != HPE_PAUSED) {
		conn_fail(conn, error == HPE_INVALID_EOF_STATE ? HIO_BROKEN
							       : HIO_MALFORMED);
		return false;
	}
	return true;
}

static void on_readable(struct bufferevent *bev, void *data)
{
	struct conn *conn = data;

	(void)bev;
	if (conn->phase == BUSY)
		parse(conn, false);
	else if (conn->phase == IDLE)
		conn_free(conn); /* input that no request asked for */
}

static void on_peer_changed(struct hio_peer *peer, enum hio_peer_change change)
{
	struct conn *conn =
		(struct conn *)((char *)peer - offsetof(struct conn, peer));

	switch (change) {
	case HIO_PEER_READ:
	case HIO_PEER_SLOW:
		break;
	case HIO_PEER_GONE:
		bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
					  BEV_TRIG_DEFER_CALLBACKS);
		break;
	}
}

static void on_event(struct bufferevent *bev, short what, void *data)
{
	struct conn *conn = data;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		hio_peer_begin(&conn->peer, conn->pool->client->peers,
			       bufferevent_getfd(conn->bev), on_peer_changed);
		conn->phase = BUSY;
		hio_set_timer(conn->timer, 0);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	switch (conn->phase) {
	case CONNECTING:
	case FAILED:
		conn_fail(conn, HIO_NOT_CONNECTED);
		break;
	case BUSY:
		/* A body without a length ends with the connection, but only
		 * if it was closed in order. */
		if (parse(conn, (what & BEV_EVENT_EOF) != 0))
			conn_fail(conn, HIO_BROKEN);
		break;
	case IDLE:
		conn_free(conn);
		break;
	}
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	struct conn *conn = data;

	(void)fd;
	(void)what;
	switch (conn->phase) {
	case CONNECTING:
	case FAILED:
		conn_fail(conn, HIO_NOT_CONNECTED);
		break;
	case IDLE:
		conn_free(conn);
		break;
	case BUSY:
		break;
	}
}

static struct conn *conn_open(struct hio_client *ctx, struct pool *pool,
			      const struct hio_call_options *options)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->pool = pool;
	conn->bev =
		bufferevent_socket_new(ctx->base, -1, BEV_OPT_CLOSE_ON_FREE);
	conn->timer = event_new(ctx->base, -1, 0, on_timer, conn);
	conn->phase = CONNECTING;
	bufferevent_setcb(conn->bev, on_readable, NULL, on_event, conn);
	evbuffer_add_cb(bufferevent_get_output(conn->bev), on_output_changed,
			conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	hio_set_timer(conn->timer, options->connect_timeout_us);
	if (bufferevent_socket_connect(conn->bev,
				       (struct sockaddr *)&pool->socket_address,
				       sizeof(pool->socket_address)) < 0) {
		conn->phase = FAILED;
		hio_set_timer(conn->timer, 1);
	}
	ctx->counts.opened++;
	return conn;
}

static void pool_free(void *data)
{
	struct pool *pool = data;

	while (!TAILQ_EMPTY(&pool->idle))
		conn_free(TAILQ_FIRST(&pool->idle));
	g_free(pool->address);
	g_free(pool);
}

static struct pool *pool_get(struct hio_client *ctx, const char *address)
{
	struct pool *pool = g_hash_table_lookup(ctx->pools, address);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->client = ctx;
	pool->address = g_strdup(address);
	TAILQ_INIT(&pool->idle);
	/* For an address that cannot be parsed the rest stays zero, and the
	 * connect fails. */
	if (!hio_parse_address(address, &pool->socket_address))
		pool->socket_address.sin_family = AF_INET;
	g_hash_table_insert(ctx->pools, pool->address, pool);
	return pool;
}

/* Creates a client without connections. */
struct hio_client *hio_client_new(struct event_base *base,
				  const struct clk *clock)
{
	struct hio_client *ctx = g_new0(struct hio_client, 1);

	ctx->base = base;
	ctx->clock = clock;
	ctx->peers = hio_peers_new(base, "endpoints");
	ctx->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	return ctx;
}

/* Limits the idle connections to all endpoints together; 0: no limit. */
void hio_client_set_idle_max(struct hio_client *ctx, size_t max)
{
	ctx->idle_max = max;
}

/* Closes all idle connections. All calls must have ended or been cancelled.
 * NULL is allowed. */
void hio_client_free(struct hio_client *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->pools);
	hio_peers_free(ctx->peers);
	g_free(ctx);
}

/* Returns whether input, or the end of it, has arrived on an idle connection
 * since the loop last looked. */
static bool has_unasked_input(const struct conn *conn)
{
	char byte;

	return recv(bufferevent_getfd(conn->bev), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/* Takes an idle connection that may be reused out of its pool; NULL: none. */
static struct conn *take_idle(struct pool *pool, int64_t reuse_idle_us)
{
	int64_t now_us = clk_now_us(pool->client->clock);
	struct conn *conn;

	while ((conn = TAILQ_FIRST(&pool->idle)) &&
	       now_us - conn->idle_since_us < reuse_idle_us) {
		if (has_unasked_input(conn)) {
			conn_free(conn);
			continue;
		}
		remove_idle(conn);
		return conn;
	}
	return NULL;
}

/*
 * Sends a request on a recently used idle connection or on a new one; see
 * reuse_idle_us. No callback is called before this returns.
 */
struct hio_call *hio_call_start(struct hio_client *ctx,
				const struct hio_call_options *options)
{
	struct pool *pool = pool_get(ctx, options->address);
	struct hio_call *call = g_new0(struct hio_call, 1);
	struct conn *conn = take_idle(pool, options->reuse_idle_us);
	struct evbuffer *out;

	call->options = *options;
	call->echo_value = g_strdup(options->echo_value);
	if (conn) {
		conn->reused = true;
		conn->phase = BUSY;
		hio_set_timer(conn->timer, 0);
		ctx->counts.reused++;
	} else {
		conn = conn_open(ctx, pool, options);
	}
	hio_builder_init(&conn->builder);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->answer_begun = false;
	conn->bytes_before_answer = 0;
	conn->call = call;
	call->conn = conn;
	out = bufferevent_get_output(conn->bev);
	evbuffer_add(out, options->head->str, options->head->len);
	if (options->body)
		hio_add_shared(out, options->body);
	g_string_free(options->head, TRUE);
	return call;
}

/* Ends the call without a callback and closes its connection. */
void hio_call_cancel(struct hio_call *call)
{
	struct conn *conn = call->conn;

	call_free(call);
	if (conn)
		conn_free(conn);
}

/* Returns whether a call with this reuse_idle_us would probably need no new
 * connection. */
bool hio_client_has_idle(const struct hio_client *ctx, const char *address,
			 int64_t reuse_idle_us)
{
	const struct pool *pool = g_hash_table_lookup(ctx->pools, address);
	const struct conn *conn = pool ? TAILQ_FIRST(&pool->idle) : NULL;

	return conn &&
	       clk_now_us(ctx->clock) - conn->idle_since_us < reuse_idle_us;
}

/* Returns the counts since the client was created. */
struct hio_client_counts hio_client_counts(const struct hio_client *ctx)
{
	return ctx->counts;
}
