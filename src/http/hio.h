#ifndef HTTP_HIO_H
#define HTTP_HIO_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"
#include "http/hio_mem.h"

/*
 * HTTP I/O (hio): HTTP/1.1 server and client on one libevent loop. All
 * functions and callbacks run in the loop's thread. The server reads a request
 * body as a whole; the client passes on an answer's body as it arrives.
 */

#define HIO_ERROR hio_error_quark()
enum hio_error {
	HIO_ERROR_ADDRESS,
	HIO_ERROR_LISTEN,
};
GQuark hio_error_quark(void);

struct hio_field {
	char *name;
	char *value;
};

struct hio_fields {
	struct hio_field *all; /* owned */
	size_t n;
	size_t bytes; /* total length of names and values */
	char *text;   /* holds all names and values; NULL: each is owned */
};

void hio_fields_clear(struct hio_fields *fields);
void hio_set_timer(struct event *timer, int64_t delay_us);
const char *hio_field(const struct hio_fields *fields, const char *name);
bool hio_is_target(const char *text, size_t len);
bool hio_is_token(const char *text, size_t len);
bool hio_is_status(int status);
GHashTable *hio_connection_names(const struct hio_fields *fields);
bool hio_is_hop_by_hop_field(GHashTable *connection_names, const char *name);

/* ---- Server (hio_server.c) ---- */

struct hio_server;
struct hio_exchange; /* one request and its answer */

struct hio_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_us; /* from the first byte to the end of the header */
	/* Between requests, for a request's body, and without progress of a
	 * client that reads an answer. */
	int64_t idle_us;
};

/* Parses IP:PORT with a numeric IPv4 address and a port above 0. */
bool hio_parse_address(const char *text, struct sockaddr_in *out);

struct hio_request {
	char *method;
	char *target; /* path and query, as sent */
	struct hio_fields fields;
	GByteArray *body;
};

struct hio_server_options {
	struct event_base *base;
	const char *listen; /* IP:PORT */
	struct hio_limits limits;
	size_t conns_max; /* open at a time; 0: no limit */
	size_t conns_max_per_address;
	struct hio_mem *mem; /* of its buffers; outlives it. NULL: none */
	/* For the time without progress; outlives it. NULL: no connection is
	 * closed for the sake of others. */
	const struct clk *clock;
	void *data;
	/* A complete request was read; it may be answered in this call or
	 * later. */
	void (*request)(void *data, struct hio_exchange *exchange);
	/* The connection was closed before the end of the answer. The exchange
	 * is freed after this callback. */
	void (*disconnected)(void *data, struct hio_exchange *exchange);
	/* A request was answered with this error status before it was read
	 * completely; reason is a word for logs and metrics. May be NULL. */
	void (*refused)(void *data, int status, const char *reason);
	/* A connection was closed to bound what clients keep. May be NULL. */
	void (*closed)(void *data, const char *reason);
};

struct hio_server *hio_server_new(const struct hio_server_options *options,
				  GError **err);
void hio_server_free(struct hio_server *ctx);

/* Commands. */
void hio_server_set_limits(struct hio_server *ctx,
			   const struct hio_limits *limits);
void hio_server_drain(struct hio_server *ctx);
void hio_reply(struct hio_exchange *ex, int status,
	       const struct hio_field *fields, size_t n, const void *body,
	       size_t len);
void hio_reply_bytes(struct hio_exchange *ex, int status,
		     const struct hio_field *fields, size_t n,
		     GByteArray *body);
void hio_reply_begin(struct hio_exchange *ex, int status,
		     const struct hio_field *fields, size_t n);
void hio_reply_chunk(struct hio_exchange *ex, const void *data, size_t len);
void hio_reply_end(struct hio_exchange *ex);
void hio_reply_abort(struct hio_exchange *ex);
void hio_exchange_set_data(struct hio_exchange *ex, void *data);
void hio_exchange_set_deadline(struct hio_exchange *ex, int64_t deadline_us);

/* Queries. */
const struct hio_request *hio_exchange_request(const struct hio_exchange *ex);
void *hio_exchange_data(const struct hio_exchange *ex);
size_t hio_server_connections(const struct hio_server *ctx);

/* ---- Client (hio_client.c) ---- */

struct hio_client;
struct hio_call;

enum hio_failure {
	HIO_NOT_CONNECTED, /* no byte of the request left this process */
	HIO_BROKEN,	   /* the connection ended before the answer did */
	HIO_MALFORMED,	   /* the bytes received are no valid answer */
};

struct hio_answer {
	int status;
	bool echoed; /* it has the field echo_name with echo_value */
	struct hio_fields fields;
};

struct hio_call_options {
	const char *address; /* IP:PORT */
	GString *head; /* request line and fields; ownership is transferred */
	GByteArray *body;    /* shared, so not to be changed; NULL: none */
	bool no_answer_body; /* the request is a HEAD */
	/* An answer in which this field has another value belongs to another
	 * request and is skipped; so is one without the field on a connection
	 * that has had an earlier call. NULL: no check. */
	const char *echo_name;
	const char *echo_value;
	int64_t connect_timeout_us; /* 0: none */
	/* An idle connection is reused if it was idle for less than this; 0:
	 * always opens a new one. */
	int64_t reuse_idle_us;
	void *data;
	/* The last callback is either end or failed. */
	void (*head_read)(void *data, const struct hio_answer *answer);
	void (*body_read)(void *data, const char *bytes, size_t len);
	void (*end)(void *data);
	void (*failed)(void *data, enum hio_failure failure);
};

struct hio_client_counts {
	uint64_t opened; /* connections */
	uint64_t reused; /* calls on a connection that was idle */
};

struct hio_client *hio_client_new(struct event_base *base,
				  const struct clk *clock);
void hio_client_free(struct hio_client *ctx);
void hio_client_set_idle_max(struct hio_client *ctx, size_t max);

/* Commands. */
struct hio_call *hio_call_start(struct hio_client *ctx,
				const struct hio_call_options *options);
void hio_call_cancel(struct hio_call *call);

/* Queries. */
bool hio_client_has_idle(const struct hio_client *ctx, const char *address,
			 int64_t reuse_idle_us);
struct hio_client_counts hio_client_counts(const struct hio_client *ctx);

/* ---- Probe of an address (hio_probe.c) ---- */

struct hio_probe;

enum hio_probe_result {
	HIO_PROBE_CONNECTED,
	HIO_PROBE_REFUSED, /* the host has no process at this port */
	HIO_PROBE_UNKNOWN, /* no reply in time, or another error */
};

struct hio_probe *hio_probe_start(
	struct event_base *base, const char *address, int64_t timeout_us,
	void (*done)(void *data, enum hio_probe_result result), void *data);
void hio_probe_cancel(struct hio_probe *probe);

#endif
