#ifndef HTTP_HIO_INT_H
#define HTTP_HIO_INT_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <netinet/in.h>

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
void hio_set_socket_options(evutil_socket_t fd);

#endif
