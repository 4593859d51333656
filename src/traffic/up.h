#ifndef TRAFFIC_UP_H
#define TRAFFIC_UP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Upstream (up): blocking HTTP client for calls to endpoints, on libcurl. Idle
 * connections are pooled for each endpoint. A request that must not be sent
 * twice is marked fresh: it gets a connection of its own.
 */
struct up;
struct wire_hint;

#define UP_ERROR up_error_quark()
enum up_error {
	UP_ERROR_NOT_SENT, /* no byte of the request left this process */
	UP_ERROR_BROKEN,   /* the connection failed after bytes were sent */
	UP_ERROR_SILENT,   /* no byte arrived within a time limit */
	UP_ERROR_TIMEOUT,  /* total_timeout_us passed */
	UP_ERROR_STOPPED,  /* a callback returned false */
};
GQuark up_error_quark(void);

struct up_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", NULL-terminated */
	const char *body;
	size_t body_len;
	bool fresh; /* uses a new connection; never resent by libcurl */
	int64_t connect_timeout_us;
	int64_t first_byte_timeout_us; /* 0: none */
	int64_t silence_timeout_us;    /* between two reads; 0: none */
	int64_t total_timeout_us;      /* 0: none */
	void *data;
	/* Status and headers have been received. NULL: none. */
	void (*on_head)(void *data, int status, const char *content_type);
	/* One header of the final answer (not 1xx); called before on_head.
	 * NULL: none. */
	void (*on_header)(void *data, const char *name, const char *value);
	/* What the answer says about further requests; called before on_head.
	 * NULL: not wanted. */
	void (*on_hint)(void *data, const struct wire_hint *hint);
	/* A part of the body; false stops the transfer. NULL: discarded. */
	bool (*on_data)(void *data, const char *bytes, size_t len);
	/* Called about every 100 ms; false stops the transfer. NULL: none. */
	bool (*on_tick)(void *data);
};

struct up *up_new(void);
void up_free(struct up *ctx);
bool up_perform(struct up *ctx, const struct up_request *request, GError **err);

/* Queries. */
bool up_has_ended(const char *address, int64_t timeout_us);

#endif
