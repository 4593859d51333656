#ifndef HTTP_HIO_INT_H
#define HTTP_HIO_INT_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/queue.h>

#include "http/hio.h"

/* Shared by server and client: collects the header fields of a message from the
 * fragments that the parser delivers. */

struct hio_builder {
	/* Until hio_builder_finish(), names and values are offsets in text. */
	struct hio_fields fields;
	size_t capacity; /* of fields.all */
	bool finished;	 /* further fields are trailers and not kept */
	GString *text;
	GString *name;
	GString *value;
	bool in_value;
	uint64_t value_end; /* offset in the input behind the last piece */
};

enum hio_expect { HIO_ANY, HIO_CR, HIO_LF };

/* The input of a connection, as the parser reads it: its bytes outside of
 * bodies. */
struct hio_input {
	const char *bytes;     /* that the parser reads now */
	uint64_t offset;       /* of them in the connection's input */
	const char *unchecked; /* the first that hio_input_check() has not seen
				*/
	enum hio_expect expect;
};

void hio_input_begin(struct hio_input *ctx, const char *bytes);
uint64_t hio_input_offset(const struct hio_input *ctx, const char *at);
bool hio_input_body(struct hio_input *ctx, const http_parser *parser,
		    const char *at, size_t len);
bool hio_input_end(struct hio_input *ctx, size_t len);
void hio_builder_init(struct hio_builder *ctx);
void hio_builder_clear(struct hio_builder *ctx);
bool hio_builder_name(struct hio_builder *ctx, const char *at, size_t len);
bool hio_builder_value(struct hio_builder *ctx, uint64_t offset, const char *at,
		       size_t len);
size_t hio_builder_finish(struct hio_builder *ctx);
size_t hio_builder_held(const struct hio_builder *ctx);
void hio_add_shared(struct evbuffer *out, GByteArray *bytes);

/* ---- Peers with bytes to acknowledge (hio_peer.c) ---- */

struct hio_peers;

enum hio_peer_change {
	HIO_PEER_READ, /* it has acknowledged more, perhaps all */
	HIO_PEER_SLOW, /* it has had bytes to acknowledge for a while */
	HIO_PEER_GONE, /* it acknowledges nothing any more; reported once */
};

/* The other side of a connected socket; its fields are private. */
struct hio_peer {
	TAILQ_ENTRY(hio_peer) link; /* in hio_peers.pending */
	struct hio_peers *peers;    /* NULL: it is not watched */
	evutil_socket_t fd;
	bool is_pending; /* bytes may be unsent or unacknowledged */
	bool is_closed;	 /* its receive window, at the last check */
	bool was_closed; /* since bytes became pending */
	bool is_slow;	 /* HIO_PEER_SLOW was reported, and bytes are pending */
	bool has_lease;	 /* the kernel cannot bound the probes' interval */
	unsigned n_checks; /* since bytes became pending */
	uint64_t acked;	   /* bytes, at the last check */
	void (*changed)(struct hio_peer *peer, enum hio_peer_change change);
};

/* What the kernel knows of the bytes that were sent to a peer. */
struct hio_sending {
	bool is_pending;     /* some are unsent or unacknowledged */
	uint64_t acked;	     /* bytes acknowledged so far */
	unsigned unanswered; /* retransmissions or window probes in a row */
	int64_t silent_us;   /* since the last acknowledgement */
};

bool hio_peer_is_gone(const struct hio_sending *sending, int64_t waited_us);
struct hio_peers *hio_peers_new(struct event_base *base, const char *name);
void hio_peers_free(struct hio_peers *ctx);
void hio_peer_begin(struct hio_peer *peer, struct hio_peers *peers,
		    evutil_socket_t fd,
		    void (*changed)(struct hio_peer *peer,
				    enum hio_peer_change change));
void hio_peer_wrote(struct hio_peer *peer);
void hio_peer_end(struct hio_peer *peer);

#endif
