#ifndef TOOLS_LIB_HTTP_H
#define TOOLS_LIB_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Blocking HTTP client for tests and tools, on libcurl. */

struct http_call {
	const char *method;  /* NULL: GET */
	const char *address; /* IP:PORT */
	const char *path;
	/* "Name: value" lines, NULL-terminated; NULL: none. */
	const char *const *headers;
	const char *body; /* NULL: none */
	int timeout_ms;	  /* 0: 30000 */
	/* Called with the data of each event in order; NULL: not called. */
	void (*on_event)(void *data, const char *event);
	void *data;
};

struct http_reply {
	bool complete; /* the whole response was received */
	long status;   /* 0: no response */
	GString *body;
	GString *headers;
};

struct http_reply http_call(const struct http_call *call);
void http_reply_clear(struct http_reply *reply);

char *http_header(const struct http_reply *reply, const char *name);
json_t *http_json(const struct http_reply *reply);
char *http_completion_text(const struct http_reply *reply);

#endif
