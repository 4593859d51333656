#ifndef HTTP_HIO_H
#define HTTP_HIO_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/*
 * HTTP/1.1 server and client on one libevent loop. All functions and callbacks
 * belong to the loop's thread. Bodies of requests are read whole; bodies of
 * answers are passed on as they arrive.
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
	size_t bytes; /* of names and values */
};

void hio_fields_clear(struct hio_fields *fields);
/* Sets a timer to a delay in microseconds; 0 or less stops it. */
void hio_set_timer(struct event *timer, int64_t delay_us);
/* The first field of this name (any case), or NULL. */
const char *hio_field(const struct hio_fields *fields, const char *name);
/* True for fields that concern one connection only, those that the field
 * "Connection" names included. */
bool hio_is_hop_by_hop_field(const struct hio_fields *fields, const char *name);

/* ---- Server (hio_server.c) ---- */

struct hio_server;
struct hio_exchange; /* one request and its answer */

struct hio_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_us; /* from the first byte to the end of the request */
	int64_t idle_us;   /* between requests of a connection */
};

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
	void *data;
	/* A whole request was read; it is answered now or later. */
	void (*request)(void *data, struct hio_exchange *exchange);
	/* The caller left before the end of the answer. The exchange is freed
	 * after the call. */
	void (*disconnected)(void *data, struct hio_exchange *exchange);
	/* A request was refused before it was read whole; may be NULL. */
	void (*refused)(void *data, int status);
};

struct hio_server *hio_server_new(const struct hio_server_options *options,
				  GError **err);
void hio_server_free(struct hio_server *ctx);

/* Commands. */
void hio_server_set_limits(struct hio_server *ctx,
			   const struct hio_limits *limits);
/* From now on each answer ends its connection. */
void hio_server_drain(struct hio_server *ctx);
/* Answers with a whole body; ends the exchange. Content-Length and Connection
 * are set here. */
void hio_reply(struct hio_exchange *ex, int status,
	       const struct hio_field *fields, size_t n, const void *body,
	       size_t len);
/* Begins an answer whose body follows in chunks. */
void hio_reply_begin(struct hio_exchange *ex, int status,
		     const struct hio_field *fields, size_t n);
void hio_reply_chunk(struct hio_exchange *ex, const void *data, size_t len);
void hio_reply_end(struct hio_exchange *ex);
/* Closes the connection, so that a begun answer stays incomplete. */
void hio_reply_abort(struct hio_exchange *ex);
void hio_exchange_set_data(struct hio_exchange *ex, void *data);

/* Queries. */
const struct hio_request *hio_exchange_request(const struct hio_exchange *ex);
void *hio_exchange_data(const struct hio_exchange *ex);
size_t hio_server_connections(const struct hio_server *ctx);

/* ---- Client (hio_client.c) ---- */

struct hio_client;
struct hio_call;

enum hio_failure {
	HIO_NOT_CONNECTED, /* no byte of the request left this process */
	HIO_BROKEN,	   /* the connection ended early */
	HIO_MALFORMED,	   /* bytes that are not an answer */
};

struct hio_answer {
	int status;
	struct hio_fields fields;
};

struct hio_call_options {
	const char *address; /* IP:PORT */
	GString *head;	     /* request line and fields; taken */
	const void *body;    /* copied */
	bool no_answer_body; /* answer to HEAD */
	size_t body_len;
	/* An answer with another value of this field belongs to another
	 * request and is skipped; NULL: no check. */
	const char *echo_name;
	const char *echo_value;
	int64_t connect_timeout_us;
	int64_t reuse_idle_us; /* oldest idle connection to use; 0: new one */
	void *data;
	/* One of end and failed is the last callback. */
	void (*head_read)(void *data, const struct hio_answer *answer);
	void (*body_read)(void *data, const char *bytes, size_t len);
	void (*end)(void *data);
	void (*failed)(void *data, enum hio_failure failure);
};

struct hio_client_counts {
	uint64_t opened;
	uint64_t reused;
};

struct hio_client *hio_client_new(struct event_base *base,
				  const struct clk *clock);
void hio_client_free(struct hio_client *ctx);

/* Commands. */
struct hio_call *hio_call_start(struct hio_client *ctx,
				const struct hio_call_options *options);
/* Ends the call without a callback and closes its connection. */
void hio_call_cancel(struct hio_call *call);

/* Queries. */
struct hio_client_counts hio_client_counts(const struct hio_client *ctx);

#endif
