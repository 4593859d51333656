#include "lib_http.h"

#include <curl/curl.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 30000L

struct transfer {
	const struct http_call *call;
	struct http_reply *reply;
	size_t delivered; /* bytes of the body whose events on_event has got */
};

static void deliver_events(struct transfer *t)
{
	const GString *body = t->reply->body;
	const char *end;

	while ((end = strstr(body->str + t->delivered, "\n\n"))) {
		const char *start = body->str + t->delivered;
		char *event = g_strndup(start, (gsize)(end - start));

		t->delivered += (size_t)(end - start) + 2;
		if (g_str_has_prefix(event, "data: "))
			t->call->on_event(t->call->data, event + 6);
		g_free(event);
	}
}

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct transfer *t = data;

	g_string_append_len(t->reply->body, bytes, (gssize)(size * n));
	if (t->call->on_event)
		deliver_events(t);
	return size * n;
}

static size_t on_header(char *bytes, size_t size, size_t n, void *data)
{
	struct transfer *t = data;

	g_string_append_len(t->reply->headers, bytes, (gssize)(size * n));
	return size * n;
}

static void set_options(CURL *curl, const struct http_call *call,
			struct transfer *t)
{
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 call->timeout_ms ? (long)call->timeout_ms
					  : DEFAULT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, t);
	if (call->body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(call->body));
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
	}
	if (call->method)
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
}

/* Makes one call on a new connection and returns what was received. */
struct http_reply http_call(const struct http_call *call)
{
	char *url = g_strdup_printf("http://%s%s", call->address, call->path);
	struct http_reply reply = { .body = g_string_new(NULL),
				    .headers = g_string_new(NULL) };
	struct transfer t = { .call = call, .reply = &reply };
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();

	headers = curl_slist_append(headers, "Expect:");
	for (size_t i = 0; call->headers && call->headers[i]; i++)
		headers = curl_slist_append(headers, call->headers[i]);
	set_options(curl, call, &t);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	reply.complete = curl_easy_perform(curl) == CURLE_OK;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	g_free(url);
	return reply;
}

/* Frees the contents of a reply. */
void http_reply_clear(struct http_reply *reply)
{
	g_string_free(reply->body, TRUE);
	g_string_free(reply->headers, TRUE);
	reply->body = NULL;
	reply->headers = NULL;
}

/* Returns the value of a header, or NULL; free it with g_free(). */
char *http_header(const struct http_reply *reply, const char *name)
{
	char **lines = g_strsplit(reply->headers->str, "\r\n", -1);
	char *value = NULL;
	size_t len = strlen(name);

	for (size_t i = 0; lines[i] && !value; i++)
		if (!g_ascii_strncasecmp(lines[i], name, len) &&
		    lines[i][len] == ':')
			value = g_strdup(g_strstrip(lines[i] + len + 1));
	g_strfreev(lines);
	return value;
}

/* Returns the parsed JSON body, or NULL on an error; free it with
 * json_decref(). */
json_t *http_json(const struct http_reply *reply)
{
	return json_loadb(reply->body->str, reply->body->len, 0, NULL);
}

static const char *chunk_text(const json_t *root)
{
	const json_t *choice =
		json_array_get(json_object_get(root, "choices"), 0);
	const json_t *part = json_object_get(choice, "delta");

	if (!part)
		part = json_object_get(choice, "message");
	if (part)
		return json_string_value(json_object_get(part, "content"));
	return json_string_value(json_object_get(choice, "text"));
}

static void append_chunk(GString *out, const char *json)
{
	json_t *root = json_loads(json, 0, NULL);
	const char *text = chunk_text(root);

	if (text)
		g_string_append(out, text);
	json_decref(root);
}

/* Returns the text of a completion, streamed or not; free it with g_free(). */
char *http_completion_text(const struct http_reply *reply)
{
	GString *out = g_string_new(NULL);
	char **events;

	if (!strstr(reply->body->str, "data: ")) {
		append_chunk(out, reply->body->str);
		return g_string_free(out, FALSE);
	}
	events = g_strsplit(reply->body->str, "\n\n", -1);
	for (size_t i = 0; events[i]; i++)
		if (g_str_has_prefix(events[i], "data: {"))
			append_chunk(out, events[i] + 6);
	g_strfreev(events);
	return g_string_free(out, FALSE);
}
