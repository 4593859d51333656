#include "traffic/trf_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* After an early reply at most this much of the unread body is discarded.
 * Closing a connection with unread input could lose the reply. */
#define DISCARD_MAX_BYTES (4u << 20)

/* Jansson recurses for each level, and CivetWeb's worker threads have a stack
 * of 100 KB, which 1000 levels overflowed. */
#define JSON_DEPTH_MAX 128

static const char *const ran_names[] = {
	[TRF_NOT_RUN] = "not_run",
	[TRF_RAN] = "ran",
	[TRF_RAN_UNKNOWN] = "unknown",
};

/* Returns the value of a request header, or NULL if it is absent or empty. */
const char *api_header(const struct api *api, const char *name)
{
	const char *value = mg_get_header(api->conn, name);

	return value && value[0] ? value : NULL;
}

static void write_all(struct api *api, const char *bytes, size_t len)
{
	if (api->disconnected)
		return;
	if (mg_write(api->conn, bytes, len) != (int)len) {
		api->disconnected = true;
		met_count(api->ctx->metrics, "dandelionspar_caller_gone_total",
			  "", 1);
	}
}

static void append_common_headers(struct api *api, GString *out, int status,
				  const char *content_type)
{
	struct ctl_state state = api->ctx->ops->state(api->ctx->ctl);

	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status,
			       mg_get_response_code_text(api->conn, status));
	if (content_type && content_type[0])
		g_string_append_printf(out, "Content-Type: %s\r\n",
				       content_type);
	g_string_append_printf(out,
			       "X-Request-Id: %s\r\n"
			       "X-Dandelionspar-Entry: %s\r\n",
			       api->id, api->ctx->settings->id);
	if (state.readiness == CTL_ISOLATED || state.readiness == CTL_STALE)
		g_string_append_printf(out,
				       "X-Dandelionspar-Stale: %" PRId64 "\r\n",
				       state.stale_us / 1000000);
	g_string_append_printf(out, "Connection: %s\r\n",
			       api->close ? "close" : "keep-alive");
}

static void discard_body(struct api *api)
{
	char buffer[8192];
	size_t left = DISCARD_MAX_BYTES;
	int n;

	if (api->body_done)
		return;
	api->body_done = true;
	while (left && (n = mg_read(api->conn, buffer, sizeof(buffer))) > 0)
		left -= MIN((size_t)n, left);
}

static bool is_http_1_0(const struct api *api)
{
	return api->info->http_version &&
	       !strcmp(api->info->http_version, "1.0");
}

/* Decides whether the connection closes after the reply: when the rest of the
 * body is too large to discard or of unknown length, for HTTP/1.0, and when
 * more than 3/4 as many connections are open as there are worker threads. */
static void decide_close(struct api *api)
{
	long long length = api->info->content_length;

	if (!api->body_done &&
	    (length < 0 || length > (long long)DISCARD_MAX_BYTES))
		api->close = true;
	if (is_http_1_0(api) ||
	    api->ctx->connections * 4 > api->ctx->threads * 3)
		api->close = true;
	if (api->close)
		mg_disable_connection_keep_alive(api->conn);
}

/* Sends a part of a streamed reply at once, as one chunk in one write. */
void api_stream_write(struct api *api, const char *bytes, size_t len)
{
	char fixed[4096];
	char *buffer = fixed;
	size_t used;

	if (!len || api->disconnected)
		return;
	if (is_http_1_0(api)) {
		write_all(api, bytes, len);
		return;
	}
	if (len + 32 > sizeof(fixed))
		buffer = g_malloc(len + 32);
	used = (size_t)g_snprintf(buffer, 24, "%zx\r\n", len);
	memcpy(buffer + used, bytes, len);
	used += len;
	buffer[used++] = '\r';
	buffer[used++] = '\n';
	write_all(api, buffer, used);
	if (buffer != fixed)
		g_free(buffer);
}

/* Ends a streamed reply. */
void api_stream_end(struct api *api)
{
	if (!is_http_1_0(api))
		write_all(api, "0\r\n\r\n", 5);
}

/* Sends a reply as the last event of a stream that has begun, when the status
 * can no longer be changed. */
static void reply_in_stream(struct api *api, const char *body, size_t len)
{
	GString *event = g_string_new("data: ");

	g_string_append_len(event, body, (gssize)len);
	g_string_append(event, "\n\n");
	if (api->answer) {
		trf_answer_append(api->ctx, api->answer, event->str,
				  event->len);
		trf_answer_finish(api->ctx, api->answer, 200,
				  "text/event-stream");
	}
	api_stream_write(api, event->str, event->len);
	api_stream_end(api);
	g_string_free(event, TRUE);
}

/*
 * Sends a complete reply and, if api->answer is set, stores it as the answer to
 * the request. extra_headers are complete lines with CRLF, or NULL.
 */
void api_reply(struct api *api, int status, const char *content_type,
	       const char *extra_headers, const char *body, size_t len)
{
	bool head = !strcmp(api->info->request_method, "HEAD");
	GString *out;

	if (api->chunked) {
		reply_in_stream(api, body, len);
		return;
	}
	out = g_string_sized_new(len + 512);
	if (api->answer) {
		trf_answer_append(api->ctx, api->answer, body, len);
		trf_answer_finish(api->ctx, api->answer, (uint32_t)status,
				  content_type);
	}
	decide_close(api);
	append_common_headers(api, out, status, content_type);
	g_string_append_printf(out, "Content-Length: %zu\r\n%s\r\n", len,
			       extra_headers ? extra_headers : "");
	if (!head)
		g_string_append_len(out, body, (gssize)len);
	api->replied = true;
	write_all(api, out->str, out->len);
	g_string_free(out, TRUE);
	discard_body(api);
}

/* Sends a JSON object with api_reply() and takes over the reference to it. */
void api_json(struct api *api, int status, const char *extra_headers,
	      json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	json_decref(object);
	api_reply(api, status, "application/json", extra_headers, text,
		  strlen(text));
	free(text);
}

/* Returns the JSON form of an error: section 16 of docs/design.md. */
json_t *api_error_json(const char *code, const char *message, enum trf_ran ran)
{
	json_t *object = json_object();
	json_t *error = json_object();
	json_t *text = json_string(message);

	/* A value of the caller in the message may not be valid UTF-8. */
	json_object_set_new(error, "code", json_string(code));
	json_object_set_new(error, "message",
			    text ? text : json_string("malformed value"));
	json_object_set_new(error, "ran", json_string(ran_names[ran]));
	json_object_set_new(object, "error", error);
	return object;
}

/*
 * Sends an error; in a stream that has begun, as its last event. retry_after_s
 * 0: no header Retry-After. TRF_NOT_RUN is reported as TRF_RAN_UNKNOWN while
 * api->claim_unread is set.
 */
void api_error(struct api *api, int status, const char *code, enum trf_ran ran,
	       uint32_t retry_after_s, const char *format, ...)
{
	char extra[64] = "";
	char labels[96];
	json_t *object;
	char *message;
	va_list args;

	if (ran == TRF_NOT_RUN && api->claim_unread)
		ran = TRF_RAN_UNKNOWN;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_snprintf(labels, sizeof(labels), "code=\"%s\",ran=\"%s\"", code,
		   ran_names[ran]);
	met_count(api->ctx->metrics, "dandelionspar_errors_total", labels, 1);
	object = api_error_json(code, message, ran);
	g_free(message);
	if (retry_after_s)
		g_snprintf(extra, sizeof(extra), "Retry-After: %u\r\n",
			   retry_after_s);
	api_json(api, status, extra, object);
}

static bool body_too_large(struct api *api)
{
	uint32_t limit = api->ctx->settings->body_bytes_max;

	met_count(api->ctx->metrics, "dandelionspar_limit_rejections_total",
		  "limit=\"body_bytes_max\"", 1);
	api->close = true;
	api_error(api, 413, "body_too_large", TRF_NOT_RUN, 0,
		  "the body exceeds %u bytes (limits.body_bytes_max)", limit);
	return false;
}

static bool reserve_body(struct api *api, size_t capacity)
{
	size_t more = capacity - api->reserved_bytes;

	if (capacity <= api->reserved_bytes)
		return true;
	if (trf_memory_reserve(api->ctx, more)) {
		api->reserved_bytes += more;
		return true;
	}
	met_count(api->ctx->metrics, "dandelionspar_limit_rejections_total",
		  "limit=\"memory_mb_max\"", 1);
	api_error(api, 503, "memory_limit", TRF_NOT_RUN, 1,
		  "bodies and answers held exceed %u MB "
		  "(limits.memory_mb_max)",
		  api->ctx->settings->memory_mb_max);
	return false;
}

/*
 * Reads the complete request body. Replies with an error and returns false if
 * it is too large, incomplete, or does not fit into the memory limit.
 */
bool api_read_body(struct api *api)
{
	long long announced = api->info->content_length;
	size_t limit = api->ctx->settings->body_bytes_max;
	const char *expect = api_header(api, "Expect");
	GString *body = g_string_new(NULL);
	char buffer[8192];
	bool ok = false;
	int n = 0;

	if (announced > (long long)limit) {
		ok = body_too_large(api);
		goto out;
	}
	if (announced > 0 && !reserve_body(api, (size_t)announced))
		goto out;
	if (expect && !g_ascii_strcasecmp(expect, "100-continue"))
		mg_printf(api->conn, "HTTP/1.1 100 Continue\r\n\r\n");
	while (announced != 0 &&
	       (n = mg_read(api->conn, buffer, sizeof(buffer))) > 0) {
		if (body->len + (size_t)n > limit) {
			ok = body_too_large(api);
			goto out;
		}
		if (!reserve_body(api, body->len + (size_t)n))
			goto out;
		g_string_append_len(body, buffer, n);
	}
	api->body_done = true;
	if (n < 0 || (announced > 0 && (long long)body->len < announced)) {
		api->close = true;
		api_error(api, 400, "body_incomplete", TRF_NOT_RUN, 0,
			  "%zu bytes of the body arrived", body->len);
		goto out;
	}
	api->body_len = body->len;
	api->body = g_string_free(body, FALSE);
	return true;
out:
	g_string_free(body, TRUE);
	return ok;
}

/* Begins a streamed reply with status 200, unless a reply was begun before. */
void api_stream_head(struct api *api, const char *content_type)
{
	GString *out;

	if (api->replied)
		return;
	out = g_string_sized_new(512);
	decide_close(api);
	append_common_headers(api, out, 200, content_type);
	g_string_append(out, "Cache-Control: no-cache\r\n");
	if (!is_http_1_0(api))
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	g_string_append(out, "\r\n");
	api->replied = true;
	api->chunked = true;
	write_all(api, out->str, out->len);
	g_string_free(out, TRUE);
}

static bool is_too_deep(const char *text, size_t len)
{
	int depth = 0;
	bool in_string = false;

	for (size_t i = 0; i < len; i++) {
		if (in_string && text[i] == '\\')
			i++;
		else if (text[i] == '"')
			in_string = !in_string;
		else if (in_string)
			continue;
		else if (text[i] == '[' || text[i] == '{')
			depth++;
		else if (text[i] == ']' || text[i] == '}')
			depth--;
		if (depth > JSON_DEPTH_MAX)
			return true;
	}
	return false;
}

/* Parses JSON text of callers and endpoints. Returns NULL and fills where if it
 * is malformed or nested too deeply. */
json_t *trf_parse_json(const char *text, size_t len, json_error_t *where)
{
	where->line = 1;
	g_strlcpy(where->text, "nested too deeply", sizeof(where->text));
	if (is_too_deep(text, len))
		return NULL;
	return json_loadb(text, len, 0, where);
}

/* Decodes %XX in one path segment. Returns NULL if it is malformed or has a
 * NUL; otherwise the caller frees the result with g_free(). */
char *api_percent_decode(const char *segment, size_t len)
{
	GString *out = g_string_sized_new(len);

	for (size_t i = 0; i < len; i++) {
		int high;
		int low;

		if (segment[i] != '%') {
			g_string_append_c(out, segment[i]);
			continue;
		}
		high = i + 2 < len ? g_ascii_xdigit_value(segment[i + 1]) : -1;
		low = i + 2 < len ? g_ascii_xdigit_value(segment[i + 2]) : -1;
		if (high < 0 || low < 0 || high + low == 0) {
			g_string_free(out, TRUE);
			return NULL;
		}
		g_string_append_c(out, (char)(high << 4 | low));
		i += 2;
	}
	return g_string_free(out, FALSE);
}

/* Returns whether a name has the form [a-z0-9][a-z0-9._-]{0,62}. */
bool api_is_valid_name(const char *name)
{
	size_t len = strlen(name);

	if (!len || len > 63 ||
	    !(g_ascii_isdigit(name[0]) || g_ascii_islower(name[0])))
		return false;
	return strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}
