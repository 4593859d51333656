#ifndef TRAFFIC_UP_H
#define TRAFFIC_UP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * HTTP client to endpoints (libcurl). Connections to one endpoint are pooled
 * for idempotent calls; fresh calls never use a pooled connection.
 */
struct up;

#define UP_ERROR up_error_quark()
enum up_error {
	UP_ERROR_NOT_SENT, /* no byte of the request left this process */
	UP_ERROR_BROKEN,   /* the connection broke after bytes were sent */
	UP_ERROR_SILENT,   /* a silence limit passed */
	UP_ERROR_TIMEOUT,  /* the deadline passed */
	UP_ERROR_STOPPED,  /* the data callback asked to stop */
};
GQuark up_error_quark(void);

struct up_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", NULL-terminated */
	const char *body;
	size_t body_len;
	bool fresh; /* own new connection, never retried */
	int64_t connect_timeout_us;
	int64_t first_byte_timeout_us; /* 0: none */
	int64_t silence_timeout_us;    /* between bytes; 0: none */
	int64_t total_timeout_us;      /* 0: none */
	void *data;
	/* Status and headers are known. */
	void (*on_head)(void *data, int status, const char *content_type);
	/* One header of the final answer; before on_head. NULL: none. */
	void (*on_header)(void *data, const char *name, const char *value);
	/* Some body bytes; false stops the transfer. */
	bool (*on_data)(void *data, const char *bytes, size_t len);
	/* Called at least each 100 ms; false stops the transfer. NULL: none. */
	bool (*on_tick)(void *data);
};

struct up *up_new(void);
void up_free(struct up *ctx);
/* Runs one request and blocks until it ends. False with err set when no
 * complete answer was received. */
bool up_perform(struct up *ctx, const struct up_request *request, GError **err);

/* Queries. */
/* True when the process at http://IP:PORT has ended. A silent host is not known
 * to have ended. */
bool up_has_ended(const char *address, int64_t timeout_us);

#endif
