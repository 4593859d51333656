#ifndef CORE_SSE_H
#define CORE_SSE_H

#include <stdbool.h>
#include <stddef.h>

/* Splits a server-sent event stream (text/event-stream) into complete events.
 * No I/O. */
struct sse;

/* Called with one complete event, including its terminating blank line; id is
 * NULL if the event has none. */
typedef void sse_emit(void *data, const char *event, size_t len,
		      const char *id);

struct sse *sse_new(void);
void sse_free(struct sse *ctx);

/* Commands. */
void sse_feed(struct sse *ctx, const char *bytes, size_t len, sse_emit *emit,
	      void *data);
void sse_reset(struct sse *ctx);

/* Queries. */
size_t sse_unfinished(const struct sse *ctx);

#endif
