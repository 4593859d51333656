#include "http/hio_int.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Idle connections older than this are closed. */
#define IDLE_MAX_US 10000000
/* Bytes before the answer to a request begins: interim answers, late ones of
 * other requests, and its own fields. */
#define BEFORE_ANSWER_MAX_BYTES (1 << 20)
/* An endpoint closes idle connections at the time that it announced; the
 * request must reach it before. */
#define ANNOUNCED_MARGIN_US 500000

enum link_phase {
	CONNECTING,
	BUSY,
	PARKED, /* idle, in the list of its address */
	FAILED, /* the call is told in the next iteration */
};

struct link {
	TAILQ_ENTRY(link) entry; /* peer.parked, newest first */
	struct peer *peer;
	struct bufferevent *bev;
	struct event *timer;
	enum link_phase phase;
	struct hio_call *call; /* CONNECTING, BUSY and FAILED */
	http_parser parser;
	struct hio_builder builder;
	struct hio_answer answer;
	bool skipped; /* the answer belongs to another request */
	bool begun;   /* the answer to the call */
	size_t before_bytes;
	bool complete;
	bool parsing;
	bool dead; /* freed once the parser returns */
	int64_t parked_us;
	int64_t idle_limit_us;
};

struct peer {
	struct hio_client *client;
	char *address;
	struct sockaddr_in socket_address;
	TAILQ_HEAD(, link) parked;
};

struct hio_call {
	struct hio_call_options options;
	char *echo_value; /* owned */
	struct link *link;
};

struct hio_client {
	struct event_base *base;
	const struct clk *clock;
	GHashTable *peers;
	struct hio_client_counts counts;
};

static void answer_clear(struct link *link)
{
	hio_fields_clear(&link->answer.fields);
	link->answer.status = 0;
}

static void link_free(struct link *link)
{
	if (link->parsing) {
		link->dead = true;
		return;
	}
	if (link->phase == PARKED)
		TAILQ_REMOVE(&link->peer->parked, link, entry);
	bufferevent_free(link->bev);
	event_free(link->timer);
	hio_builder_clear(&link->builder);
	answer_clear(link);
	g_free(link);
}

static void call_free(struct hio_call *call)
{
	if (call->link)
		call->link->call = NULL;
	g_free(call->echo_value);
	g_free(call);
}

/* Tells the user and frees the call; the link is gone or about to be. */
static void call_fail(struct hio_call *call, enum hio_failure failure)
{
	void (*failed)(void *, enum hio_failure) = call->options.failed;
	void *data = call->options.data;

	call_free(call);
	failed(data, failure);
}

static void link_fail(struct link *link, enum hio_failure failure)
{
	struct hio_call *call = link->call;

	link_free(link);
	if (call) {
		call->link = NULL;
		call_fail(call, failure);
	}
}

/* ---- Parser callbacks ---- */

static int on_begin(http_parser *parser)
{
	struct link *link = parser->data;

	hio_builder_clear(&link->builder);
	hio_builder_init(&link->builder);
	link->skipped = false;
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	hio_builder_name(&((struct link *)parser->data)->builder, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	hio_builder_value(&((struct link *)parser->data)->builder, at, len);
	return 0;
}

static bool is_of_other_request(const struct link *link)
{
	const struct hio_call_options *options = &link->call->options;
	const char *echo;

	if (!options->echo_name)
		return false;
	echo = hio_field(&link->builder.fields, options->echo_name);
	return echo && strcmp(echo, link->call->echo_value) != 0;
}

static int on_headers(http_parser *parser)
{
	struct link *link = parser->data;
	bool no_body;

	hio_builder_finish(&link->builder);
	if (!link->call)
		return -1;
	no_body = link->call->options.no_answer_body;
	if (parser->status_code < 200 || is_of_other_request(link)) {
		link->skipped = true;
		return 0;
	}
	answer_clear(link);
	link->begun = true;
	link->answer.status = (int)parser->status_code;
	link->answer.fields = link->builder.fields;
	link->builder.fields = (struct hio_fields){ 0 };
	link->call->options.head_read(link->call->options.data, &link->answer);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct link *link = parser->data;

	if (link->skipped)
		return 0;
	if (!link->call)
		return -1;
	link->call->options.body_read(link->call->options.data, at, len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct link *link = parser->data;

	if (link->skipped)
		return 0;
	link->complete = true;
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

/* ---- Links ---- */

/* Returns how long the endpoint keeps the connection open when it is idle. */
static int64_t announced_limit(const struct hio_answer *answer)
{
	const char *text = hio_field(&answer->fields, "keep-alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t limit_us;

	if (!timeout)
		return IDLE_MAX_US;
	limit_us = strtoll(timeout + strlen("timeout="), NULL, 10) * 1000000 -
		   ANNOUNCED_MARGIN_US;
	return CLAMP(limit_us, 0, IDLE_MAX_US);
}

static bool may_park(const struct link *link)
{
	return http_should_keep_alive(&link->parser) &&
	       !evbuffer_get_length(bufferevent_get_input(link->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(link->bev));
}

static void finish(struct link *link)
{
	struct hio_call *call = link->call;
	void (*end)(void *) = call->options.end;
	void *data = call->options.data;

	call_free(call);
	link->complete = false;
	link->idle_limit_us = announced_limit(&link->answer);
	if (may_park(link) && link->idle_limit_us > 0) {
		answer_clear(link);
		hio_builder_clear(&link->builder);
		link->phase = PARKED;
		link->parked_us = clk_now_us(link->peer->client->clock);
		TAILQ_INSERT_HEAD(&link->peer->parked, link, entry);
		hio_set_timer(link->timer, link->idle_limit_us);
	} else {
		link_free(link);
	}
	end(data);
}

/* Parses what arrived; eof: the endpoint has closed its side. Returns false
 * when the link is gone. */
static bool parse(struct link *link, bool eof)
{
	struct evbuffer *input = bufferevent_get_input(link->bev);
	enum http_errno error = HPE_OK;
	size_t len;

	link->parsing = true;
	while (link->call && !link->dead && !link->complete &&
	       (len = evbuffer_get_contiguous_space(input))) {
		const char *data =
			(const char *)evbuffer_pullup(input, (ssize_t)len);
		size_t used = http_parser_execute(&link->parser,
						  &parser_settings, data, len);

		evbuffer_drain(input, used);
		error = HTTP_PARSER_ERRNO(&link->parser);
		if (error == HPE_PAUSED)
			http_parser_pause(&link->parser, 0);
		else if (error != HPE_OK)
			break;
		if (link->parser.upgrade)
			break;
		if (link->begun)
			continue;
		link->before_bytes += used;
		if (link->before_bytes > BEFORE_ANSWER_MAX_BYTES) {
			error = HPE_HEADER_OVERFLOW;
			break;
		}
	}
	if (eof && link->call && !link->dead && !link->complete &&
	    (error == HPE_OK || error == HPE_PAUSED)) {
		http_parser_execute(&link->parser, &parser_settings, NULL, 0);
		error = HTTP_PARSER_ERRNO(&link->parser);
		if (error == HPE_PAUSED)
			http_parser_pause(&link->parser, 0);
	}
	link->parsing = false;
	if (link->dead) {
		link_free(link);
		return false;
	}
	if (link->complete && link->call) {
		finish(link);
		return false;
	}
	if (error != HPE_OK && error != HPE_PAUSED) {
		link_fail(link, error == HPE_INVALID_EOF_STATE ? HIO_BROKEN
							       : HIO_MALFORMED);
		return false;
	}
	return true;
}

static void on_readable(struct bufferevent *bev, void *data)
{
	struct link *link = data;

	(void)bev;
	if (link->phase == BUSY)
		parse(link, false);
	else if (link->phase == PARKED)
		link_free(link); /* bytes that belong to no request */
}

static void on_event(struct bufferevent *bev, short what, void *data)
{
	struct link *link = data;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		hio_set_socket_options(bufferevent_getfd(link->bev));
		link->phase = BUSY;
		hio_set_timer(link->timer, 0);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	switch (link->phase) {
	case CONNECTING:
	case FAILED:
		link_fail(link, HIO_NOT_CONNECTED);
		break;
	case BUSY:
		/* Only a proper end of the connection may end a body. */
		if (parse(link, (what & BEV_EVENT_EOF) != 0))
			link_fail(link, HIO_BROKEN);
		break;
	case PARKED:
		link_free(link);
		break;
	}
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	struct link *link = data;

	(void)fd;
	(void)what;
	switch (link->phase) {
	case CONNECTING:
	case FAILED:
		link_fail(link, HIO_NOT_CONNECTED);
		break;
	case PARKED:
		link_free(link);
		break;
	case BUSY:
		break;
	}
}

static struct link *link_open(struct hio_client *ctx, struct peer *peer,
			      const struct hio_call_options *options)
{
	struct link *link = g_new0(struct link, 1);

	link->peer = peer;
	link->bev =
		bufferevent_socket_new(ctx->base, -1, BEV_OPT_CLOSE_ON_FREE);
	link->timer = event_new(ctx->base, -1, 0, on_timer, link);
	link->phase = CONNECTING;
	bufferevent_setcb(link->bev, on_readable, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	hio_set_timer(link->timer, options->connect_timeout_us);
	if (bufferevent_socket_connect(link->bev,
				       (struct sockaddr *)&peer->socket_address,
				       sizeof(peer->socket_address)) < 0) {
		link->phase = FAILED;
		hio_set_timer(link->timer, 1);
	}
	ctx->counts.opened++;
	return link;
}

static void peer_free(void *data)
{
	struct peer *peer = data;

	while (!TAILQ_EMPTY(&peer->parked))
		link_free(TAILQ_FIRST(&peer->parked));
	g_free(peer->address);
	g_free(peer);
}

static struct peer *peer_get(struct hio_client *ctx, const char *address)
{
	struct peer *peer = g_hash_table_lookup(ctx->peers, address);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->client = ctx;
	peer->address = g_strdup(address);
	TAILQ_INIT(&peer->parked);
	/* An address that cannot be parsed fails to connect. */
	if (!hio_parse_address(address, &peer->socket_address))
		peer->socket_address.sin_family = AF_INET;
	g_hash_table_insert(ctx->peers, peer->address, peer);
	return peer;
}

/* Creates a client without connections. */
struct hio_client *hio_client_new(struct event_base *base,
				  const struct clk *clock)
{
	struct hio_client *ctx = g_new0(struct hio_client, 1);

	ctx->base = base;
	ctx->clock = clock;
	ctx->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return ctx;
}

/* Closes idle connections; calls were cancelled before. NULL is allowed. */
void hio_client_free(struct hio_client *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->peers);
	g_free(ctx);
}

/*
 * Sends a request, on an idle connection that is young enough or on a new one.
 * No callback comes before this returns.
 */
struct hio_call *hio_call_start(struct hio_client *ctx,
				const struct hio_call_options *options)
{
	struct peer *peer = peer_get(ctx, options->address);
	struct hio_call *call = g_new0(struct hio_call, 1);
	struct link *link = TAILQ_FIRST(&peer->parked);
	struct evbuffer *out;

	call->options = *options;
	call->echo_value = g_strdup(options->echo_value);
	if (link &&
	    clk_now_us(ctx->clock) - link->parked_us < options->reuse_idle_us) {
		TAILQ_REMOVE(&peer->parked, link, entry);
		link->phase = BUSY;
		hio_set_timer(link->timer, 0);
		ctx->counts.reused++;
	} else {
		link = link_open(ctx, peer, options);
	}
	hio_builder_init(&link->builder);
	http_parser_init(&link->parser, HTTP_RESPONSE);
	link->parser.data = link;
	link->begun = false;
	link->before_bytes = 0;
	link->call = call;
	call->link = link;
	out = bufferevent_get_output(link->bev);
	evbuffer_add(out, options->head->str, options->head->len);
	if (options->body_len)
		evbuffer_add(out, options->body, options->body_len);
	g_string_free(options->head, TRUE);
	return call;
}

/* Ends the call without a callback and closes its connection. */
void hio_call_cancel(struct hio_call *call)
{
	struct link *link = call->link;

	call_free(call);
	if (link)
		link_free(link);
}

/* Returns what was done since the start. */
struct hio_client_counts hio_client_counts(const struct hio_client *ctx)
{
	return ctx->counts;
}
