#include "http/hio_int.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"

/* Limits of buffered input: of a request that is read, and of later requests
 * that arrive while one is answered or its answer is not read. The second times
 * the number of connections stays small against the memory of a machine. */
#define READ_AHEAD_BYTES (64 << 10)
#define PIPELINED_BYTES (4 << 10)
/* The next request of a connection is read when less than this of earlier
 * answers is unread. */
#define UNREAD_MAX_BYTES (64 << 10)
/* The kernel's receive buffer of a connection, which counts for the machine: it
 * grows to 6 MB otherwise. With 2 ms of latency it allows 64 MB/s. */
#define RECEIVE_BYTES (128 << 10)
/* Under pressure a body of more chunks than this must have as many bytes in
 * each on average. */
#define CHUNKS_FREE 1024
#define CHUNK_MIN_BYTES 16
/* A field takes four bytes at least on the wire, so that no header within its
 * limit has more fields than this part of it. */
#define FIELD_MIN_BYTES 4
/* Connections without progress for less than this are not closed to make room
 * for others: while a request is sent, since a round trip and a busy loop take
 * less, and while an answer is read, which callers may do slowly. */
#define SEND_STALL_MIN_US 250000
#define READ_STALL_MIN_US 3000000
/* Size from which the allocator maps a buffer of its own. */
#define BODY_MAPPED_BYTES (1 << 20)
/* Reasons with a limit of log lines, and the interval of two lines. */
#define REASONS_MAX 16
#define LOG_INTERVAL_US 1000000
/* A client that does not read is disconnected when more than this is buffered
 * for it. */
#define OUTPUT_MAX_BYTES (8 << 20)
/* A client with less output than this is not disconnected for the memory of
 * all. */
#define OUTPUT_SMALL_BYTES (64 << 10)
/* After the last byte of an answer the client has this long to close its side:
 * closing a socket with unread input resets the connection, and the client can
 * lose the answer. */
#define LINGER_US 1000000
#define BACKLOG 1024
/* A body has the idle limit for each so many bytes: one that comes slowly goes
 * on, and one of which a byte comes now and then is refused. */
#define BODY_PROGRESS_BYTES 512
/* Retry-After of a request that is refused for want of memory, in seconds:
 * most bodies are answered and freed within this time. */
#define NO_MEMORY_RETRY_S 1

enum phase {
	IDLE,	   /* between requests */
	READING,   /* a request is arriving */
	ANSWERING, /* the application has the request and has not answered */
	FLUSHING,  /* the rest of the output is written before the shutdown */
	LINGERING, /* shut down for writing; the client has yet to close */
};

struct hio_exchange {
	struct conn *conn;
	struct hio_request request;
	void *data;
	size_t header_held; /* of the account */
	bool no_body;	    /* the request is a HEAD */
};

struct conn {
	TAILQ_ENTRY(conn) link;
	struct hio_mem_client client; /* of the account */
	uint32_t address;
	TAILQ_ENTRY(conn) output_link; /* while it has output */
	struct hio_server *server;
	struct bufferevent *bev;
	struct hio_peer peer;
	struct event *timer;
	enum phase phase;
	http_parser parser;
	/* The request that is arriving. */
	struct hio_builder builder;
	size_t header_held; /* of the account */
	size_t n_chunks;
	struct hio_input input;
	GString *target;
	GByteArray *body;
	size_t body_progress; /* bytes of it since the timer was set */
	int64_t deadline_us;  /* of the last answer; 0: none */
	/* Set by the callback that stops the parser; or 0 and NULL. */
	int error_status;
	const char *error_reason;
	bool complete;
	bool keep_alive;
	struct hio_exchange *exchange; /* in ANSWERING */
	bool is_unread;		       /* it counts as having output */
	bool processing;
	bool is_too_slow; /* it is about to be disconnected */
	bool had_request;
};

/* Limits the log lines of one reason; the reason is a literal. */
struct reason_log {
	const char *reason;
	int64_t next_us;
	unsigned skipped;
};

struct hio_server {
	struct hio_server_options options;
	struct evconnlistener *listener;
	struct hio_peers *peers;
	TAILQ_HEAD(, conn) conns;
	/* Those with output; whose client has not read for longest is first. */
	TAILQ_HEAD(, conn) with_output;
	size_t n_conns;
	GHashTable *by_address; /* number of connections */
	struct reason_log reasons[REASONS_MAX];
	bool draining;
};

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 421:
		return "Misdirected Request";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static int64_t now_us(const struct hio_server *ctx)
{
	return ctx->options.clock ? clk_now_us(ctx->options.clock) : 0;
}

static void note_progress(struct conn *conn)
{
	conn->client.progress_us = now_us(conn->server);
}

/* Returns whether bytes of an answer have not reached the client yet. */
static bool has_unread_output(const struct conn *conn)
{
	return conn->peer.is_pending ||
	       evbuffer_get_length(bufferevent_get_output(conn->bev));
}

/*
 * Returns how long a client that is idle, or has an answer to read, may go on
 * so without progress; 0 or less: it was too long. A receive window opens in
 * steps, so that nothing is seen of a client that reads slowly until it has
 * read half of it, nor when it reads the last of what it has acknowledged:
 * until the deadline of its request it may read as it likes.
 */
static int64_t patience_us(const struct conn *conn)
{
	const struct hio_server *ctx = conn->server;
	int64_t idle_us = ctx->options.limits.idle_us;
	int64_t until_us = conn->client.progress_us + idle_us;

	if (!ctx->options.clock)
		return 0;
	if (has_unread_output(conn))
		until_us = MAX(until_us, conn->deadline_us);
	else if (conn->peer.was_closed)
		until_us = MAX(until_us, conn->deadline_us + idle_us);
	return until_us - now_us(ctx);
}

/* Counts a connection as long as its client has yet to read. */
static void count_unread(struct conn *conn, bool is_unread)
{
	struct hio_mem *mem = conn->server->options.mem;

	if (is_unread == conn->is_unread)
		return;
	conn->is_unread = is_unread;
	if (is_unread)
		hio_mem_begin_output(mem);
	else
		hio_mem_end_output(mem);
}

/* Tells the account what a connection does. */
static void update_client(struct conn *conn)
{
	bool has_output =
		evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0;

	conn->client.waits = conn->phase == ANSWERING && !has_output;
	conn->client.stall_min_us =
		has_unread_output(conn) ? READ_STALL_MIN_US : SEND_STALL_MIN_US;
	/* Bytes that were just sent are not unread: they are with the client
	 * within a round trip. */
	count_unread(conn, has_output || conn->peer.is_slow);
}

/* Returns whether an event may be logged for this reason now, and how many were
 * not since the last line. */
static bool may_log(struct hio_server *ctx, const char *reason,
		    unsigned *skipped)
{
	int64_t now = now_us(ctx);

	for (size_t i = 0; i < REASONS_MAX; i++) {
		struct reason_log *r = &ctx->reasons[i];

		if (r->reason && strcmp(r->reason, reason) != 0)
			continue;
		r->reason = reason;
		*skipped = r->skipped;
		if (ctx->options.clock && now < r->next_us) {
			r->skipped++;
			return false;
		}
		r->next_us = now + LOG_INTERVAL_US;
		r->skipped = 0;
		return true;
	}
	return false;
}

/* Returns what the account has for a body: small buffers grow to powers of two,
 * and the unused part of large ones is not resident. */
static size_t body_held(size_t len)
{
	size_t held = 16;

	if (!len || len >= BODY_MAPPED_BYTES)
		return len;
	while (held < len)
		held *= 2;
	return held;
}

static void give(struct conn *conn, enum hio_mem_kind kind, size_t bytes)
{
	hio_mem_release(conn->server->options.mem, &conn->client, kind, bytes);
}

/* Takes room for bytes that an item needs beyond what it has held. */
static bool take(struct conn *conn, enum hio_mem_kind kind, size_t held,
		 size_t bytes)
{
	return hio_mem_hold(conn->server->options.mem, &conn->client, kind,
			    held, bytes, now_us(conn->server));
}

/* Drops the request that is arriving, with all that it took. */
static void drop_request(struct conn *conn)
{
	give(conn, HIO_MEM_REQUEST, body_held(conn->body->len));
	g_byte_array_unref(conn->body);
	conn->body = g_byte_array_new();
	give(conn, HIO_MEM_HEADER, conn->header_held);
	conn->header_held = 0;
	hio_builder_clear(&conn->builder);
	g_string_free(conn->target, TRUE);
	conn->target = g_string_new(NULL);
}

static void exchange_free(struct hio_exchange *ex)
{
	struct conn *conn = ex->conn;

	conn->exchange = NULL;
	g_free(ex->request.method);
	g_free(ex->request.target);
	hio_fields_clear(&ex->request.fields);
	give(conn, HIO_MEM_HEADER, ex->header_held);
	give(conn, HIO_MEM_REQUEST, body_held(ex->request.body->len));
	g_byte_array_unref(ex->request.body);
	g_free(ex);
}

/* Keeps the account of a connection's output, and the order of those that have
 * some. */
static void on_output_changed(struct evbuffer *out,
			      const struct evbuffer_cb_info *info, void *data)
{
	struct conn *conn = data;
	struct hio_server *ctx = conn->server;
	bool had_output = info->orig_size > 0;
	bool has_output = evbuffer_get_length(out) > 0;

	hio_mem_add(ctx->options.mem, HIO_MEM_OUTPUT, info->n_added);
	hio_mem_give(ctx->options.mem, HIO_MEM_OUTPUT, info->n_deleted);
	conn->client.held += info->n_added;
	conn->client.held -= info->n_deleted;
	if (info->n_deleted)
		hio_peer_wrote(&conn->peer);
	update_client(conn);
	if (info->n_deleted || !had_output)
		note_progress(conn);
	/* A client may read slowly, as long as it reads. */
	if (info->n_deleted && has_output &&
	    (conn->phase == IDLE || conn->phase == FLUSHING))
		hio_set_timer(conn->timer, ctx->options.limits.idle_us);
	if (had_output && (info->n_deleted || !has_output))
		TAILQ_REMOVE(&ctx->with_output, conn, output_link);
	if (has_output && (info->n_deleted || !had_output))
		TAILQ_INSERT_TAIL(&ctx->with_output, conn, output_link);
}

/* Ends the account of an output that will not be written. */
static void drop_output(struct conn *conn)
{
	struct hio_server *ctx = conn->server;
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t unsent = evbuffer_get_length(out);

	evbuffer_remove_cb(out, on_output_changed, conn);
	count_unread(conn, false);
	if (!unsent)
		return;
	TAILQ_REMOVE(&ctx->with_output, conn, output_link);
	give(conn, HIO_MEM_OUTPUT, unsent);
}

static size_t count_address(struct hio_server *ctx, uint32_t address, int add)
{
	gpointer key = GUINT_TO_POINTER(address);
	size_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(ctx->by_address, key));

	n += (size_t)add;
	if (n)
		g_hash_table_insert(ctx->by_address, key, GSIZE_TO_POINTER(n));
	else
		g_hash_table_remove(ctx->by_address, key);
	return n;
}

static void conn_free(struct conn *conn)
{
	struct hio_server *ctx = conn->server;

	if (conn->exchange) {
		ctx->options.disconnected(ctx->options.data, conn->exchange);
		exchange_free(conn->exchange);
	}
	TAILQ_REMOVE(&ctx->conns, conn, link);
	ctx->n_conns--;
	count_address(ctx, conn->address, -1);
	drop_output(conn);
	drop_request(conn);
	hio_mem_leave(ctx->options.mem, &conn->client);
	hio_peer_end(&conn->peer);
	bufferevent_free(conn->bev);
	event_free(conn->timer);
	g_string_free(conn->target, TRUE);
	g_byte_array_unref(conn->body);
	g_free(conn);
}

/* Counts and logs a connection that is closed to bound what clients keep. */
static void report_closed(struct hio_server *ctx, const char *reason)
{
	unsigned skipped;

	if (ctx->options.closed)
		ctx->options.closed(ctx->options.data, reason);
	if (may_log(ctx, reason, &skipped))
		LOG_EVENT_INFO("http", "connection_closed",
			       "listen=%s reason=%s connections=%zu skipped=%u",
			       ctx->options.listen, reason, ctx->n_conns,
			       skipped);
}

static void begin_idle(struct conn *conn)
{
	conn->phase = IDLE;
	conn->complete = false;
	conn->client.waits = false;
	note_progress(conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, READ_AHEAD_BYTES);
	hio_set_timer(conn->timer, conn->server->options.limits.idle_us);
}

/* Shuts the connection down for writing once all output is written. */
static void shutdown_if_flushed(struct conn *conn)
{
	if (conn->phase != FLUSHING ||
	    evbuffer_get_length(bufferevent_get_output(conn->bev)))
		return;
	conn->phase = LINGERING;
	/* Fails if the client has reset the connection, which the event
	 * callback reports. */
	(void)shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	hio_set_timer(conn->timer, LINGER_US);
}

static void begin_flush(struct conn *conn)
{
	conn->phase = FLUSHING;
	conn->client.waits = false;
	hio_set_timer(conn->timer, conn->server->options.limits.idle_us);
	if (!evbuffer_get_length(bufferevent_get_output(conn->bev)))
		/* Deferred to the timer: this may run in a callback of the
		 * application. */
		hio_set_timer(conn->timer, 1);
}

static void refuse(struct conn *conn, int status, const char *reason)
{
	struct hio_server *ctx = conn->server;
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	unsigned skipped;

	if (may_log(ctx, reason, &skipped))
		LOG_EVENT_INFO("http", "request_refused",
			       "listen=%s status=%d reason=%s skipped=%u",
			       ctx->options.listen, status, reason, skipped);
	if (ctx->options.refused)
		ctx->options.refused(ctx->options.data, status, reason);
	drop_request(conn);
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n",
			    status, reason_phrase(status));
	if (status == 503)
		evbuffer_add_printf(out, "Retry-After: %d\r\n",
				    NO_MEMORY_RETRY_S);
	evbuffer_add_printf(out, "Connection: close\r\n\r\n");
	begin_flush(conn);
}

/* ---- Parser callbacks ---- */

static int on_begin(http_parser *parser)
{
	struct conn *conn = parser->data;

	drop_request(conn);
	hio_builder_init(&conn->builder);
	conn->n_chunks = 0;
	conn->error_status = 0;
	conn->error_reason = NULL;
	return 0;
}

/* Stops the parser: the request is refused with this status. */
static int stop_parser(struct conn *conn, int status, const char *reason)
{
	conn->error_status = status;
	conn->error_reason = reason;
	return -1;
}

/* Keeps the account of the header as far as it was read. */
static bool hold_header(struct conn *conn)
{
	size_t held =
		conn->target->allocated_len + hio_builder_held(&conn->builder);
	size_t before = conn->header_held;

	if (held > before && !take(conn, HIO_MEM_HEADER, before, held - before))
		return false;
	if (held < before)
		give(conn, HIO_MEM_HEADER, before - held);
	conn->header_held = held;
	return true;
}

static int check_header_size(struct conn *conn)
{
	uint32_t limit = conn->server->options.limits.header_bytes;
	size_t bytes = conn->target->len + conn->builder.fields.bytes +
		       conn->builder.name->len + conn->builder.value->len;

	if (bytes > limit)
		return stop_parser(conn, 431, "header_size");
	if (conn->builder.fields.n > limit / FIELD_MIN_BYTES)
		return stop_parser(conn, 431, "fields");
	if (!hold_header(conn))
		return stop_parser(conn, 503, "memory");
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	/* The parser accepts other bytes, including control bytes. */
	if (!hio_is_target(at, len))
		return stop_parser(conn, 400, "target_byte");
	g_string_append_len(conn->target, at, (gssize)len);
	return check_header_size(conn);
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (!hio_builder_name(&conn->builder, at, len))
		return stop_parser(conn, 400, "field_name");
	return check_header_size(conn);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (!hio_builder_value(&conn->builder,
			       hio_input_offset(&conn->input, at), at, len))
		return stop_parser(conn, 400, "field_value");
	return check_header_size(conn);
}

/* Returns whether a body of this length has room now. */
static bool make_room(struct conn *conn, size_t len)
{
	if (!take(conn, HIO_MEM_REQUEST, 0, len))
		return false;
	give(conn, HIO_MEM_REQUEST, len);
	return true;
}

static int on_headers(http_parser *parser)
{
	struct conn *conn = parser->data;
	const struct hio_limits *limits = &conn->server->options.limits;

	hio_builder_finish(&conn->builder);
	if (!hold_header(conn))
		return stop_parser(conn, 503, "memory");
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > limits->body_bytes)
		return stop_parser(conn, 413, "body_size");
	if (parser->content_length != UINT64_MAX &&
	    !make_room(conn, (size_t)parser->content_length))
		return stop_parser(conn, 503, "memory");
	if (hio_field(&conn->builder.fields, "expect"))
		evbuffer_add_printf(bufferevent_get_output(conn->bev),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	/* The body gets the idle limit: it may take longer than a header. */
	conn->body_progress = 0;
	note_progress(conn);
	hio_set_timer(conn->timer, limits->idle_us);
	return 0;
}

/* Refuses bodies of very small chunks when memory is short: they take most time
 * for each byte. */
static int on_chunk(http_parser *parser)
{
	struct conn *conn = parser->data;

	conn->n_chunks++;
	if (conn->n_chunks <= CHUNKS_FREE ||
	    conn->body->len >= conn->n_chunks * CHUNK_MIN_BYTES ||
	    !hio_mem_is_pressed(conn->server->options.mem))
		return 0;
	return stop_parser(conn, 503, "chunks");
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;
	size_t held;

	if (!hio_input_body(&conn->input, parser, at, len))
		return stop_parser(conn, 400, "line_end");
	if (conn->body->len + len > conn->server->options.limits.body_bytes)
		return stop_parser(conn, 413, "body_size");
	held = body_held(conn->body->len);
	if (!take(conn, HIO_MEM_REQUEST, conn->body->len,
		  body_held(conn->body->len + len) - held))
		return stop_parser(conn, 503, "memory");
	g_byte_array_append(conn->body, (const guint8 *)at, (guint)len);
	conn->body_progress += len;
	if (conn->body_progress >= BODY_PROGRESS_BYTES) {
		conn->body_progress = 0;
		note_progress(conn);
		hio_set_timer(conn->timer,
			      conn->server->options.limits.idle_us);
	}
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	conn->complete = true;
	conn->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_chunk_header = on_chunk,
	.on_message_complete = on_complete,
};

/* ---- Connection ---- */

static void dispatch_request(struct conn *conn)
{
	struct hio_server *ctx = conn->server;
	struct hio_exchange *ex = g_new0(struct hio_exchange, 1);

	ex->conn = conn;
	ex->request.method = g_strdup(
		http_method_str((enum http_method)conn->parser.method));
	ex->request.target = g_string_free(conn->target, FALSE);
	conn->target = g_string_new(NULL);
	ex->header_held = conn->header_held;
	conn->header_held = 0;
	ex->request.fields = conn->builder.fields;
	conn->builder.fields = (struct hio_fields){ 0 };
	ex->request.body = conn->body;
	conn->body = g_byte_array_new();
	ex->no_body = !strcmp(ex->request.method, "HEAD");
	conn->exchange = ex;
	conn->complete = false;
	conn->deadline_us = 0;
	conn->phase = ANSWERING;
	conn->had_request = true;
	conn->client.waits =
		!evbuffer_get_length(bufferevent_get_output(conn->bev));
	hio_set_timer(conn->timer, 0);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, PIPELINED_BYTES);
	ctx->options.request(ctx->options.data, ex);
}

static bool parse_input(struct conn *conn, struct evbuffer *input)
{
	size_t len = evbuffer_get_contiguous_space(input);
	const char *data = (const char *)evbuffer_pullup(input, (ssize_t)len);
	size_t used;
	bool valid;
	enum http_errno error;

	if (conn->phase == IDLE) {
		conn->phase = READING;
		note_progress(conn);
		hio_set_timer(conn->timer,
			      conn->server->options.limits.header_us);
	}
	hio_input_begin(&conn->input, data);
	used = http_parser_execute(&conn->parser, &parser_settings, data, len);
	valid = hio_input_end(&conn->input, used);
	evbuffer_drain(input, used);
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (error == HPE_PAUSED)
		http_parser_pause(&conn->parser, 0);
	if (error != HPE_OK && error != HPE_PAUSED) {
		if (conn->error_status)
			refuse(conn, conn->error_status, conn->error_reason);
		else
			refuse(conn, 400, "syntax");
		return false;
	}
	if (!valid) {
		refuse(conn, 400, "line_end");
		return false;
	}
	if (!conn->complete)
		return true;
	if (conn->parser.upgrade) {
		refuse(conn, 400, "upgrade");
		return false;
	}
	dispatch_request(conn);
	return true;
}

/* A client that sends requests without reading the answers waits. */
static bool has_unread_answers(const struct conn *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	return conn->phase == IDLE &&
	       evbuffer_get_length(out) >= UNREAD_MAX_BYTES;
}

static void process_input(struct conn *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);

	if (conn->processing)
		return;
	conn->processing = true;
	while ((conn->phase == IDLE || conn->phase == READING) &&
	       evbuffer_get_length(input) && !has_unread_answers(conn))
		if (!parse_input(conn, input))
			break;
	conn->processing = false;
	if (conn->phase == FLUSHING || conn->phase == LINGERING)
		evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_readable(struct bufferevent *bev, void *data)
{
	(void)bev;
	process_input(data);
}

static void on_output_written(struct bufferevent *bev, void *data)
{
	(void)bev;
	shutdown_if_flushed(data);
	process_input(data);
}

static void on_event(struct bufferevent *bev, short what, void *data)
{
	struct conn *conn = data;

	(void)bev;
	if ((what & BEV_EVENT_ERROR) && !conn->is_too_slow &&
	    EVUTIL_SOCKET_ERROR() == ETIMEDOUT)
		report_closed(conn->server, "timed_out");
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		conn_free(conn);
}

/* Closes a connection that is idle, or whose client does not read its answer,
 * unless it has time left. */
static void close_if_stalled(struct conn *conn)
{
	int64_t left_us = patience_us(conn);

	if (left_us > 0) {
		hio_set_timer(conn->timer, left_us);
		return;
	}
	if (has_unread_output(conn))
		report_closed(conn->server, "unread");
	conn_free(conn);
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	struct conn *conn = data;

	(void)fd;
	(void)what;
	switch (conn->phase) {
	case READING:
		refuse(conn, 408, "timeout");
		break;
	case FLUSHING:
		shutdown_if_flushed(conn);
		if (conn->phase == FLUSHING)
			close_if_stalled(conn);
		break;
	case ANSWERING:
		break;
	case IDLE:
		close_if_stalled(conn);
		break;
	case LINGERING:
		if (conn->peer.is_pending)
			close_if_stalled(conn);
		else
			conn_free(conn);
		break;
	}
}

/* Closes a connection of the account that keeps much without progress. */
static void close_for_memory(struct hio_mem_client *client)
{
	struct conn *conn =
		(struct conn *)((char *)client - offsetof(struct conn, client));

	report_closed(conn->server, "memory");
	if (conn->phase == READING) {
		refuse(conn, 503, "pressure");
		return;
	}
	conn->is_too_slow = true;
	bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
				  BEV_TRIG_DEFER_CALLBACKS);
}

/* The order in which connections are closed for new ones: requests that stopped
 * halfway and clients that sent none, then clients between two requests, then
 * those that have an answer to read. 0: it is not closed. */
static int closing_rank(const struct conn *conn)
{
	switch (conn->phase) {
	case READING:
		return 3;
	case IDLE:
	case FLUSHING:
	case LINGERING:
		if (has_unread_output(conn))
			return 1;
		return conn->phase == IDLE && conn->had_request ? 2 : 3;
	case ANSWERING:
		break;
	}
	return 0;
}

/* Closes the connection that is first in order, of this address or of all (0),
 * and has made no progress for longest. Returns false if there is none. */
static bool close_one(struct hio_server *ctx, uint32_t address)
{
	int64_t now = now_us(ctx);
	struct conn *conn, *worst = NULL;
	int rank, highest = 0;

	TAILQ_FOREACH (conn, &ctx->conns, link) {
		rank = closing_rank(conn);
		if (!rank || rank < highest ||
		    now - conn->client.progress_us <
			    conn->client.stall_min_us ||
		    (address && conn->address != address))
			continue;
		if (rank == highest &&
		    conn->client.progress_us >= worst->client.progress_us)
			continue;
		highest = rank;
		worst = conn;
	}
	if (!worst)
		return false;
	conn_free(worst);
	return true;
}

/* Returns whether a further connection of this address is allowed, perhaps in
 * place of another. */
static bool admit(struct hio_server *ctx, uint32_t address)
{
	const struct hio_server_options *o = &ctx->options;

	if (o->conns_max_per_address &&
	    count_address(ctx, address, 0) >= o->conns_max_per_address) {
		report_closed(ctx, "address_connections");
		return close_one(ctx, address);
	}
	if (o->conns_max && ctx->n_conns >= o->conns_max) {
		report_closed(ctx, "connections");
		return close_one(ctx, 0);
	}
	return true;
}

static void on_peer_changed(struct hio_peer *peer, enum hio_peer_change change)
{
	struct conn *conn =
		(struct conn *)((char *)peer - offsetof(struct conn, peer));

	switch (change) {
	case HIO_PEER_READ:
		if (conn->phase != READING)
			note_progress(conn);
		update_client(conn);
		/* The client has the whole answer, and is about to close. */
		if (conn->phase == LINGERING && !peer->is_pending)
			hio_set_timer(conn->timer, LINGER_US);
		break;
	case HIO_PEER_SLOW:
		update_client(conn);
		break;
	case HIO_PEER_GONE:
		report_closed(conn->server, "gone");
		conn->is_too_slow = true;
		bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
					  BEV_TRIG_DEFER_CALLBACKS);
		break;
	}
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *data)
{
	const struct sockaddr_in *from = (const struct sockaddr_in *)address;
	struct hio_server *ctx = data;
	struct conn *conn;

	(void)listener;
	(void)len;
	if (!admit(ctx, from->sin_addr.s_addr)) {
		evutil_closesocket(fd);
		return;
	}
	conn = g_new0(struct conn, 1);
	hio_peer_begin(&conn->peer, ctx->peers, fd, on_peer_changed);
	conn->server = ctx;
	conn->address = from->sin_addr.s_addr;
	conn->client.close = close_for_memory;
	conn->client.stall_min_us = SEND_STALL_MIN_US;
	conn->bev = bufferevent_socket_new(ctx->options.base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	conn->timer = event_new(ctx->options.base, -1, 0, on_timer, conn);
	conn->target = g_string_new(NULL);
	conn->body = g_byte_array_new();
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	TAILQ_INSERT_TAIL(&ctx->conns, conn, link);
	ctx->n_conns++;
	count_address(ctx, conn->address, 1);
	hio_mem_join(ctx->options.mem, &conn->client);
	bufferevent_setcb(conn->bev, on_readable, on_output_written, on_event,
			  conn);
	evbuffer_add_cb(bufferevent_get_output(conn->bev), on_output_changed,
			conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	begin_idle(conn);
}

static void on_accept_error(struct evconnlistener *listener, void *data)
{
	struct hio_server *ctx = data;

	(void)listener;
	LOG_EVENT_WARN("http", "accept_failed", "listen=%s reason=\"%s\"",
		       ctx->options.listen, g_strerror(errno));
}

/* Starts listening. Returns NULL with err set to a HIO_ERROR if the address is
 * not valid or cannot be listened on. */
struct hio_server *hio_server_new(const struct hio_server_options *options,
				  GError **err)
{
	struct hio_server *ctx;
	struct sockaddr_in address;
	int receive_bytes = RECEIVE_BYTES;

	if (!hio_parse_address(options->listen, &address)) {
		g_set_error(err, HIO_ERROR, HIO_ERROR_ADDRESS,
			    "%s is not IP:PORT", options->listen);
		return NULL;
	}
	ctx = g_new0(struct hio_server, 1);
	ctx->options = *options;
	ctx->by_address = g_hash_table_new(NULL, NULL);
	ctx->peers = hio_peers_new(options->base, "callers");
	TAILQ_INIT(&ctx->conns);
	TAILQ_INIT(&ctx->with_output);
	ctx->listener = evconnlistener_new_bind(
		options->base, on_accept, ctx,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&address, sizeof(address));
	if (!ctx->listener) {
		g_set_error(err, HIO_ERROR, HIO_ERROR_LISTEN,
			    "cannot listen on %s: %s", options->listen,
			    g_strerror(errno));
		hio_peers_free(ctx->peers);
		g_hash_table_destroy(ctx->by_address);
		g_free(ctx);
		return NULL;
	}
	evconnlistener_set_error_cb(ctx->listener, on_accept_error);
	/* Accepted sockets have the listener's. An error is ignored: then the
	 * kernel chooses. */
	(void)setsockopt(evconnlistener_get_fd(ctx->listener), SOL_SOCKET,
			 SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	return ctx;
}

/* Stops listening and closes all connections, with a call of disconnected() for
 * each unfinished exchange. NULL is allowed. */
void hio_server_free(struct hio_server *ctx)
{
	if (!ctx)
		return;
	if (ctx->listener)
		evconnlistener_free(ctx->listener);
	while (!TAILQ_EMPTY(&ctx->conns))
		conn_free(TAILQ_FIRST(&ctx->conns));
	hio_peers_free(ctx->peers);
	g_hash_table_destroy(ctx->by_address);
	g_free(ctx);
}

/* Replaces the limits. A running timer keeps the delay that it started with. */
void hio_server_set_limits(struct hio_server *ctx,
			   const struct hio_limits *limits)
{
	ctx->options.limits = *limits;
}

/* From now on each answer is the last one of its connection. */
void hio_server_drain(struct hio_server *ctx)
{
	ctx->draining = true;
}

/* ---- Answers ---- */

/* Disconnects a client that does not read what is written for it. */
static void disconnect_slow(struct conn *conn, const char *limit)
{
	unsigned skipped;

	conn->is_too_slow = true;
	if (may_log(conn->server, limit, &skipped))
		LOG_EVENT_INFO(
			"http", "client_too_slow",
			"listen=%s unread=%zu limit=%s skipped=%u",
			conn->server->options.listen,
			evbuffer_get_length(bufferevent_get_output(conn->bev)),
			limit, skipped);
	if (conn->server->options.closed)
		conn->server->options.closed(conn->server->options.data,
					     "unread");
	bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
				  BEV_TRIG_DEFER_CALLBACKS);
}

/* Disconnects the client that has not read for longest, if all output together
 * is at its limit. Those with little output are left out. */
static void limit_outputs(struct hio_server *ctx)
{
	struct conn *conn;

	if (!hio_mem_is_full(ctx->options.mem, HIO_MEM_OUTPUT))
		return;
	TAILQ_FOREACH (conn, &ctx->with_output, output_link) {
		if (conn->is_too_slow)
			continue;
		if (evbuffer_get_length(bufferevent_get_output(conn->bev)) <
		    OUTPUT_SMALL_BYTES)
			continue;
		disconnect_slow(conn, "all");
		return;
	}
}

static void write_head(struct hio_exchange *ex, int status,
		       const struct hio_field *fields, size_t n)
{
	struct conn *conn = ex->conn;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (conn->server->draining)
		conn->keep_alive = false;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
			    reason_phrase(status));
	for (size_t i = 0; i < n; i++)
		evbuffer_add_printf(out, "%s: %s\r\n", fields[i].name,
				    fields[i].value);
	if (!conn->keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
}

static void exchange_finish(struct hio_exchange *ex)
{
	struct conn *conn = ex->conn;

	exchange_free(ex);
	if (!conn->keep_alive) {
		begin_flush(conn);
		return;
	}
	begin_idle(conn);
	if (!conn->processing &&
	    evbuffer_get_length(bufferevent_get_input(conn->bev)))
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_DEFER_CALLBACKS);
}

static void write_whole_head(struct hio_exchange *ex, int status,
			     const struct hio_field *fields, size_t n,
			     size_t body_len)
{
	struct evbuffer *out = bufferevent_get_output(ex->conn->bev);

	write_head(ex, status, fields, n);
	if (status != 204 && status != 304)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", body_len);
	evbuffer_add(out, "\r\n", 2);
}

/* Answers with a complete body and ends the exchange. Adds Content-Length, and
 * Connection if the connection closes afterwards. */
void hio_reply(struct hio_exchange *ex, int status,
	       const struct hio_field *fields, size_t n, const void *body,
	       size_t len)
{
	write_whole_head(ex, status, fields, n, len);
	if (len && !ex->no_body)
		evbuffer_add(bufferevent_get_output(ex->conn->bev), body, len);
	limit_outputs(ex->conn->server);
	exchange_finish(ex);
}

/* Like hio_reply(), without a copy of the body, which must not be changed
 * afterwards. */
void hio_reply_bytes(struct hio_exchange *ex, int status,
		     const struct hio_field *fields, size_t n, GByteArray *body)
{
	write_whole_head(ex, status, fields, n, body->len);
	if (!ex->no_body)
		hio_add_shared(bufferevent_get_output(ex->conn->bev), body);
	limit_outputs(ex->conn->server);
	exchange_finish(ex);
}

/* Begins an answer whose body follows with hio_reply_chunk(). */
void hio_reply_begin(struct hio_exchange *ex, int status,
		     const struct hio_field *fields, size_t n)
{
	struct evbuffer *out = bufferevent_get_output(ex->conn->bev);

	write_head(ex, status, fields, n);
	evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
}

/* Writes one chunk. A client that has stopped reading is disconnected. */
void hio_reply_chunk(struct hio_exchange *ex, const void *data, size_t len)
{
	struct conn *conn = ex->conn;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (!len || ex->no_body || conn->is_too_slow)
		return;
	if (evbuffer_get_length(out) > OUTPUT_MAX_BYTES) {
		disconnect_slow(conn, "client");
		return;
	}
	evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	evbuffer_add(out, "\r\n", 2);
	limit_outputs(conn->server);
}

/* Ends a chunked answer and its exchange. An answer that lacks chunks, since
 * its client is about to be disconnected, stays without an end. */
void hio_reply_end(struct hio_exchange *ex)
{
	if (!ex->no_body && !ex->conn->is_too_slow)
		evbuffer_add(bufferevent_get_output(ex->conn->bev), "0\r\n\r\n",
			     5);
	exchange_finish(ex);
}

/* Ends the exchange and leaves a begun answer incomplete: writes what is
 * buffered and closes the connection. */
void hio_reply_abort(struct hio_exchange *ex)
{
	ex->conn->keep_alive = false;
	exchange_finish(ex);
}

/* Sets the time, on the server's clock in microseconds, until which the client
 * waits for the answer: until then it may read as slowly as it likes. */
void hio_exchange_set_deadline(struct hio_exchange *ex, int64_t deadline_us)
{
	ex->conn->deadline_us = deadline_us;
}

/* Stores a pointer of the application in the exchange. */
void hio_exchange_set_data(struct hio_exchange *ex, void *data)
{
	ex->data = data;
}

/* Returns the request; it lives as long as the exchange. */
const struct hio_request *hio_exchange_request(const struct hio_exchange *ex)
{
	return &ex->request;
}

/* Returns the pointer set with hio_exchange_set_data(). */
void *hio_exchange_data(const struct hio_exchange *ex)
{
	return ex->data;
}

/* Returns the number of open connections. */
size_t hio_server_connections(const struct hio_server *ctx)
{
	return ctx->n_conns;
}
