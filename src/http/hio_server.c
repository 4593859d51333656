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

/* Limit of buffered input, such as later requests that arrive while one is
 * answered. */
#define READ_AHEAD_BYTES (64 << 10)
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
	bool no_body; /* the request is a HEAD */
};

struct conn {
	TAILQ_ENTRY(conn) link;
	TAILQ_ENTRY(conn) output_link; /* while it has output */
	struct hio_server *server;
	struct bufferevent *bev;
	struct event *timer;
	enum phase phase;
	http_parser parser;
	/* The request that is arriving. */
	struct hio_builder builder;
	size_t n_head_fields; /* of the builder; trailers follow them */
	struct hio_input input;
	GString *target;
	GByteArray *body;
	size_t body_progress; /* bytes of it since the timer was set */
	/* Set by the callback that stops the parser; or 0 and NULL. */
	int error_status;
	const char *error_reason;
	bool complete;
	bool keep_alive;
	struct hio_exchange *exchange; /* in ANSWERING */
	bool processing;
	bool is_too_slow; /* it is about to be disconnected */
};

struct hio_server {
	struct hio_server_options options;
	struct evconnlistener *listener;
	TAILQ_HEAD(, conn) conns;
	/* Those with output; whose client has not read for longest is first. */
	TAILQ_HEAD(, conn) with_output;
	size_t n_conns;
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

/* Releases a body that hio_mem counts. */
static void free_body(struct hio_server *ctx, GByteArray *body)
{
	hio_mem_give(ctx->options.mem, HIO_MEM_REQUEST, body->len);
	g_byte_array_unref(body);
}

static void exchange_free(struct hio_exchange *ex)
{
	struct conn *conn = ex->conn;

	conn->exchange = NULL;
	g_free(ex->request.method);
	g_free(ex->request.target);
	hio_fields_clear(&ex->request.fields);
	free_body(conn->server, ex->request.body);
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
	if (had_output && (info->n_deleted || !has_output))
		TAILQ_REMOVE(&ctx->with_output, conn, output_link);
	if (has_output && (info->n_deleted || !had_output))
		TAILQ_INSERT_TAIL(&ctx->with_output, conn, output_link);
	if (has_output && !had_output)
		hio_mem_begin_output(ctx->options.mem);
	else if (had_output && !has_output)
		hio_mem_end_output(ctx->options.mem);
}

/* Ends the account of an output that will not be written. */
static void drop_output(struct conn *conn)
{
	struct hio_server *ctx = conn->server;
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t unsent = evbuffer_get_length(out);

	evbuffer_remove_cb(out, on_output_changed, conn);
	if (!unsent)
		return;
	TAILQ_REMOVE(&ctx->with_output, conn, output_link);
	hio_mem_give(ctx->options.mem, HIO_MEM_OUTPUT, unsent);
	hio_mem_end_output(ctx->options.mem);
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
	drop_output(conn);
	bufferevent_free(conn->bev);
	event_free(conn->timer);
	hio_builder_clear(&conn->builder);
	g_string_free(conn->target, TRUE);
	free_body(ctx, conn->body);
	g_free(conn);
}

static void begin_idle(struct conn *conn)
{
	conn->phase = IDLE;
	conn->complete = false;
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
	hio_set_timer(conn->timer, 0);
	if (!evbuffer_get_length(bufferevent_get_output(conn->bev)))
		/* Deferred to the timer: this may run in a callback of the
		 * application. */
		hio_set_timer(conn->timer, 1);
}

static void refuse(struct conn *conn, int status, const char *reason)
{
	struct hio_server *ctx = conn->server;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	LOG_EVENT_INFO("http", "request_refused",
		       "listen=%s status=%d reason=%s", ctx->options.listen,
		       status, reason);
	if (ctx->options.refused)
		ctx->options.refused(ctx->options.data, status, reason);
	free_body(ctx, conn->body);
	conn->body = g_byte_array_new();
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

	hio_builder_clear(&conn->builder);
	hio_builder_init(&conn->builder);
	g_string_truncate(conn->target, 0);
	hio_mem_give(conn->server->options.mem, HIO_MEM_REQUEST,
		     conn->body->len);
	g_byte_array_set_size(conn->body, 0);
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

static int check_header_size(struct conn *conn)
{
	size_t bytes = conn->target->len + conn->builder.fields.bytes +
		       conn->builder.name->len + conn->builder.value->len;

	if (bytes <= conn->server->options.limits.header_bytes)
		return 0;
	return stop_parser(conn, 431, "header_size");
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

static int on_headers(http_parser *parser)
{
	struct conn *conn = parser->data;
	const struct hio_limits *limits = &conn->server->options.limits;

	hio_builder_finish(&conn->builder);
	conn->n_head_fields = conn->builder.fields.n;
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > limits->body_bytes)
		return stop_parser(conn, 413, "body_size");
	if (parser->content_length != UINT64_MAX &&
	    !hio_mem_has_room(conn->server->options.mem, HIO_MEM_REQUEST, 0,
			      (size_t)parser->content_length))
		return stop_parser(conn, 503, "memory");
	if (hio_field(&conn->builder.fields, "expect"))
		evbuffer_add_printf(bufferevent_get_output(conn->bev),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	/* The body gets the idle limit: it may take longer than a header. */
	conn->body_progress = 0;
	hio_set_timer(conn->timer, limits->idle_us);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (!hio_input_body(&conn->input, parser, at, len))
		return stop_parser(conn, 400, "line_end");
	if (conn->body->len + len > conn->server->options.limits.body_bytes)
		return stop_parser(conn, 413, "body_size");
	if (!hio_mem_take(conn->server->options.mem, HIO_MEM_REQUEST,
			  conn->body->len, len))
		return stop_parser(conn, 503, "memory");
	g_byte_array_append(conn->body, (const guint8 *)at, (guint)len);
	conn->body_progress += len;
	if (conn->body_progress >= BODY_PROGRESS_BYTES) {
		conn->body_progress = 0;
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
	ex->request.target = g_strdup(conn->target->str);
	hio_fields_truncate(&conn->builder.fields, conn->n_head_fields);
	ex->request.fields = conn->builder.fields;
	conn->builder.fields = (struct hio_fields){ 0 };
	ex->request.body = conn->body;
	conn->body = g_byte_array_new();
	ex->no_body = !strcmp(ex->request.method, "HEAD");
	conn->exchange = ex;
	conn->complete = false;
	conn->phase = ANSWERING;
	hio_set_timer(conn->timer, 0);
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

static void process_input(struct conn *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);

	if (conn->processing)
		return;
	conn->processing = true;
	while ((conn->phase == IDLE || conn->phase == READING) &&
	       evbuffer_get_length(input))
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
}

static void on_event(struct bufferevent *bev, short what, void *data)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		conn_free(data);
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
		break;
	case ANSWERING:
		break;
	case IDLE:
	case LINGERING:
		conn_free(conn);
		break;
	}
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *data)
{
	struct hio_server *ctx = data;
	struct conn *conn = g_new0(struct conn, 1);

	(void)listener;
	(void)address;
	(void)len;
	hio_set_socket_options(fd);
	conn->server = ctx;
	conn->bev = bufferevent_socket_new(ctx->options.base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	conn->timer = event_new(ctx->options.base, -1, 0, on_timer, conn);
	conn->target = g_string_new(NULL);
	conn->body = g_byte_array_new();
	hio_builder_init(&conn->builder);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	TAILQ_INSERT_TAIL(&ctx->conns, conn, link);
	ctx->n_conns++;
	bufferevent_setcb(conn->bev, on_readable, on_output_written, on_event,
			  conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, READ_AHEAD_BYTES);
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

	if (!hio_parse_address(options->listen, &address)) {
		g_set_error(err, HIO_ERROR, HIO_ERROR_ADDRESS,
			    "%s is not IP:PORT", options->listen);
		return NULL;
	}
	ctx = g_new0(struct hio_server, 1);
	ctx->options = *options;
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
		g_free(ctx);
		return NULL;
	}
	evconnlistener_set_error_cb(ctx->listener, on_accept_error);
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
	conn->is_too_slow = true;
	LOG_EVENT_INFO(
		"http", "client_too_slow", "listen=%s unread=%zu limit=%s",
		conn->server->options.listen,
		evbuffer_get_length(bufferevent_get_output(conn->bev)), limit);
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
