#ifndef TOOLS_LIB_HTTP_H
#define TOOLS_LIB_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* HTTP client for tests and tools (libcurl), one call at a time. */

struct http_call {
	const char *method;  /* NULL: GET */
	const char *address; /* IP:PORT */
	const char *path;
	const char *const *headers; /* "Name: value", NULL-terminated; NULL */
	const char *body;	    /* NULL: none */
	int timeout_ms;		    /* 0: 30000 */
	/* Each server-sent event's data, in order; NULL: none. */
	void (*on_event)(void *data, const char *event);
	void *data;
};

struct http_reply {
	bool complete; /* the whole answer was received */
	long status;   /* 0: none */
	GString *body;
	GString *headers;
};

struct http_reply http_call(const struct http_call *call);
void http_reply_clear(struct http_reply *reply);

/* Queries. */
char *http_header(const struct http_reply *reply, const char *name);
json_t *http_json(const struct http_reply *reply);
/* The text of a streamed or single completion; g_free() */
char *http_completion_text(const struct http_reply *reply);

#endif
