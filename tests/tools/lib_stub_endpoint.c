#include "lib_stub_endpoint.h"

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct stub {
	struct mg_context *http;
	char address[64];
	uint32_t tokens;
	pthread_mutex_t lock; /* guards the rest */
	pthread_cond_t wake;
	GArray *requests;     /* struct stub_request */
	GPtrArray *cancelled; /* char *, ids of attempts */
	enum stub_fault fault;
	uint32_t fault_tokens;
	int fault_left; /* requests; < 0: no limit */
	uint32_t token_interval_us;
	size_t n_held;
	bool stopping;
};

static void copy_header(struct mg_connection *conn, const char *name, char *out,
			size_t len)
{
	const char *value = mg_get_header(conn, name);

	g_strlcpy(out, value ? value : "", len);
}

static char *read_body(struct mg_connection *conn)
{
	GString *body = g_string_new(NULL);
	char buffer[4096];
	int n;

	while ((n = mg_read(conn, buffer, sizeof(buffer))) > 0)
		g_string_append_len(body, buffer, n);
	return g_string_free(body, FALSE);
}

static void record_request(struct stub *ctx, struct mg_connection *conn,
			   const char *body, enum stub_fault fault,
			   struct stub_request *r)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *offset = mg_get_header(conn, "X-Resume-Offset");
	const char *priority = mg_get_header(conn, "X-Priority");
	json_t *json = json_loads(body, 0, NULL);
	const char *model = json_string_value(json_object_get(json, "model"));

	memset(r, 0, sizeof(*r));
	g_strlcpy(r->method, info->request_method, sizeof(r->method));
	g_snprintf(r->path, sizeof(r->path), "%s%s%s", info->local_uri_raw,
		   info->query_string ? "?" : "",
		   info->query_string ? info->query_string : "");
	copy_header(conn, "X-Request-Id", r->attempt, sizeof(r->attempt));
	copy_header(conn, "Content-Type", r->content_type,
		    sizeof(r->content_type));
	g_strlcpy(r->body, body, sizeof(r->body));
	g_strlcpy(r->model, model ? model : "", sizeof(r->model));
	r->offset = offset ? (uint32_t)strtoul(offset, NULL, 10) : 0;
	r->priority = priority ? (int)strtol(priority, NULL, 10) : -1;
	r->ran = fault != STUB_OVERLOADED && fault != STUB_REFUSE &&
		 fault != STUB_PAUSE;
	json_decref(json);
	pthread_mutex_lock(&ctx->lock);
	g_array_append_val(ctx->requests, *r);
	pthread_mutex_unlock(&ctx->lock);
}

static enum stub_fault take_fault(struct stub *ctx, uint32_t *tokens)
{
	enum stub_fault fault = STUB_OK;

	pthread_mutex_lock(&ctx->lock);
	*tokens = ctx->fault_tokens;
	if (ctx->fault_left) {
		fault = ctx->fault;
		if (ctx->fault_left > 0)
			ctx->fault_left--;
	}
	pthread_mutex_unlock(&ctx->lock);
	return fault;
}

/* Waits for stub_release() or stub_free(). */
static void wait_for_release(struct stub *ctx)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->n_held++;
	while (ctx->n_held && !ctx->stopping)
		pthread_cond_wait(&ctx->wake, &ctx->lock);
	pthread_mutex_unlock(&ctx->lock);
}

/* Header field of an answer that says something of further requests. */
static const char *hint_field(enum stub_fault fault)
{
	switch (fault) {
	case STUB_PAUSE:
		return "Retry-After: 2\r\n";
	case STUB_LEAVING:
		return "Server-Leaving: 1\r\n";
	default:
		return "";
	}
}

static void send_hinting_json(struct mg_connection *conn, int status,
			      const char *attempt, enum stub_fault fault,
			      const char *text)
{
	mg_printf(conn,
		  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s"
		  "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
		  status, hint_field(fault), attempt, strlen(text), text);
}

static void send_json(struct mg_connection *conn, int status,
		      const char *attempt, const char *text)
{
	send_hinting_json(conn, status, attempt, STUB_OK, text);
}

static void send_event(struct mg_connection *conn, const char *data)
{
	char *event = g_strdup_printf("data: %s\n\n", data);

	mg_send_chunk(conn, event, (unsigned)strlen(event));
	g_free(event);
}

static void send_token(struct mg_connection *conn, bool chat, uint32_t i)
{
	char data[200];

	/* "t" is the send time in microseconds, so that a program on the same
	 * machine can measure the transfer time. */
	if (chat)
		g_snprintf(data, sizeof(data),
			   "{\"t\":%" G_GINT64_FORMAT
			   ",\"choices\":[{\"index\":0,"
			   "\"delta\":{\"content\":\"w%u \"}}]}",
			   g_get_monotonic_time(), i);
	else
		g_snprintf(data, sizeof(data),
			   "{\"choices\":[{\"index\":0,\"text\":\"w%u \"}]}",
			   i);
	send_event(conn, data);
}

static void stream_answer(struct stub *ctx, struct mg_connection *conn,
			  const struct stub_request *r, enum stub_fault fault,
			  uint32_t fault_tokens)
{
	bool chat = strstr(r->path, "/chat/") != NULL;

	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s"
		  "X-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		  hint_field(fault),
		  fault == STUB_CROSSED ? "another~1~1.1" : r->attempt);
	for (uint32_t i = r->offset; i <= ctx->tokens; i++) {
		if (i - r->offset >= fault_tokens && fault == STUB_BREAK) {
			mg_disable_connection_keep_alive(conn);
			return;
		}
		if (i - r->offset >= fault_tokens && fault == STUB_SILENT) {
			wait_for_release(ctx);
			mg_disable_connection_keep_alive(conn);
			return;
		}
		if (i == ctx->tokens)
			break;
		send_token(conn, chat, i);
		if (ctx->token_interval_us)
			g_usleep(ctx->token_interval_us);
	}
	send_event(conn, chat ? "{\"choices\":[{\"index\":0,\"delta\":{},"
				"\"finish_reason\":\"stop\"}]}"
			      : "{\"choices\":[{\"index\":0,\"text\":\"\","
				"\"finish_reason\":\"stop\"}]}");
	send_event(conn, "[DONE]");
	mg_send_chunk(conn, "", 0);
}

static void record_cancel(struct stub *ctx, const char *path)
{
	pthread_mutex_lock(&ctx->lock);
	g_ptr_array_add(ctx->cancelled,
			g_strdup(path + strlen("/v1/requests/")));
	pthread_mutex_unlock(&ctx->lock);
}

static void send_answer(struct stub *ctx, struct mg_connection *conn,
			const struct stub_request *r, enum stub_fault fault,
			uint32_t tokens)
{
	bool model = g_str_has_suffix(r->path, "/completions");

	switch (fault) {
	case STUB_OVERLOADED:
	case STUB_PAUSE:
		send_hinting_json(conn, 503, r->attempt, fault,
				  "{\"error\":{\"code\":\"overloaded\"}}");
		return;
	case STUB_ERROR:
		send_json(conn, 500, r->attempt,
			  "{\"error\":{\"code\":\"internal\"}}");
		return;
	case STUB_REFUSE:
		send_json(conn, 400, r->attempt,
			  "{\"error\":{\"code\":\"bad_prompt\"}}");
		return;
	case STUB_LOST:
		mg_disable_connection_keep_alive(conn);
		return;
	case STUB_HOLD:
		wait_for_release(ctx);
		break;
	case STUB_SILENT:
		if (model)
			break;
		wait_for_release(ctx);
		mg_disable_connection_keep_alive(conn);
		return;
	default:
		break;
	}
	if (model)
		stream_answer(ctx, conn, r, fault, tokens);
	else
		send_hinting_json(
			conn, !strcmp(r->method, "DELETE") ? 410 : 201,
			fault == STUB_CROSSED ? "another~1~1.1" : r->attempt,
			fault, r->body);
}

static int on_request(struct mg_connection *conn)
{
	struct stub *ctx = mg_get_user_data(mg_get_context(conn));
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct stub_request r;
	enum stub_fault fault;
	uint32_t tokens;
	char *body;

	if (!strcmp(info->request_method, "OPTIONS")) { /* health probe */
		send_json(conn, 200, "", "{}");
		return 200;
	}
	if (g_str_has_prefix(info->local_uri_raw, "/v1/requests/")) {
		record_cancel(ctx, info->local_uri_raw);
		send_json(conn, 200, "", "{}");
		return 200;
	}
	/* Probe after a broken connection: is the process still alive? */
	if (!strcmp(info->request_method, "OPTIONS")) {
		send_json(conn, 200, "", "{}");
		return 200;
	}
	body = read_body(conn);
	fault = take_fault(ctx, &tokens);
	record_request(ctx, conn, body, fault, &r);
	g_free(body);
	send_answer(ctx, conn, &r, fault, tokens);
	return 200;
}

static int on_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

/* Starts an endpoint on a free port of 127.0.0.1. Every model answer has the
 * given number of tokens, "w0 ", "w1 " and so on; threads is the number of
 * connections served concurrently. */
struct stub *stub_new_sized(uint32_t tokens, uint32_t threads)
{
	char n_threads[16];
	static const struct mg_callbacks callbacks = {
		.begin_request = on_request,
		.log_message = on_log,
	};
	const char *options[] = { "listening_ports",
				  "127.0.0.1:0",
				  "num_threads",
				  n_threads,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "5000",
				  "tcp_nodelay",
				  "1",
				  "decode_url",
				  "no",
				  NULL };
	struct stub *ctx = g_new0(struct stub, 1);
	struct mg_server_port port;

	g_snprintf(n_threads, sizeof(n_threads), "%u", threads);
	ctx->tokens = tokens;
	pthread_mutex_init(&ctx->lock, NULL);
	pthread_cond_init(&ctx->wake, NULL);
	ctx->requests = g_array_new(FALSE, FALSE, sizeof(struct stub_request));
	ctx->cancelled = g_ptr_array_new_with_free_func(g_free);
	ctx->http = mg_start(&callbacks, ctx, options);
	if (!ctx->http || mg_get_server_ports(ctx->http, 1, &port) != 1)
		g_error("stub_endpoint: cannot listen");
	g_snprintf(ctx->address, sizeof(ctx->address), "http://127.0.0.1:%d",
		   port.port);
	return ctx;
}

/* As stub_new_sized() with 64 threads. */
struct stub *stub_new(uint32_t tokens)
{
	return stub_new_sized(tokens, 64);
}

/* Closes the port and all connections at once, as a crash does. */
void stub_free(struct stub *ctx)
{
	if (!ctx)
		return;
	pthread_mutex_lock(&ctx->lock);
	ctx->stopping = true;
	pthread_cond_broadcast(&ctx->wake);
	pthread_mutex_unlock(&ctx->lock);
	mg_stop(ctx->http);
	g_array_unref(ctx->requests);
	g_ptr_array_unref(ctx->cancelled);
	pthread_cond_destroy(&ctx->wake);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

/* Sets the fault of the next n requests; n < 0: of all further ones. tokens:
 * answer tokens sent before STUB_BREAK or STUB_SILENT takes effect. */
void stub_fault(struct stub *ctx, enum stub_fault fault, uint32_t tokens, int n)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->fault = fault;
	ctx->fault_tokens = tokens;
	ctx->fault_left = n;
	pthread_mutex_unlock(&ctx->lock);
}

/* Resumes all held requests. */
void stub_release(struct stub *ctx)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->n_held = 0;
	pthread_cond_broadcast(&ctx->wake);
	pthread_mutex_unlock(&ctx->lock);
}

/* Sets the pause after each token in microseconds. */
void stub_set_token_interval(struct stub *ctx, uint32_t us)
{
	ctx->token_interval_us = us;
}

/* Returns http://IP:PORT. */
const char *stub_address(const struct stub *ctx)
{
	return ctx->address;
}

/* Returns how many requests arrived. */
size_t stub_n_requests(struct stub *ctx)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->requests->len;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Returns how many requests ran. */
size_t stub_n_ran(struct stub *ctx)
{
	size_t n = 0;

	pthread_mutex_lock(&ctx->lock);
	for (guint i = 0; i < ctx->requests->len; i++)
		n += g_array_index(ctx->requests, struct stub_request, i).ran;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Returns how many requests are held. */
size_t stub_n_held(struct stub *ctx)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->n_held;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Copies the record of the i-th request (from 0); false if there is none. */
bool stub_request(struct stub *ctx, size_t i, struct stub_request *out)
{
	bool found;

	pthread_mutex_lock(&ctx->lock);
	found = i < ctx->requests->len;
	if (found)
		*out = g_array_index(ctx->requests, struct stub_request, i);
	pthread_mutex_unlock(&ctx->lock);
	return found;
}

/* Returns whether an attempt was cancelled. */
bool stub_cancelled(struct stub *ctx, const char *attempt)
{
	bool found = false;

	pthread_mutex_lock(&ctx->lock);
	for (guint i = 0; i < ctx->cancelled->len; i++)
		found |= !strcmp(ctx->cancelled->pdata[i], attempt);
	pthread_mutex_unlock(&ctx->lock);
	return found;
}
