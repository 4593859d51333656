#ifndef CORE_SSE_H
#define CORE_SSE_H

#include <stdbool.h>
#include <stddef.h>

/* Splits a text/event-stream into whole events. No I/O. */
struct sse;

/* One whole event with its blank line; id is NULL when it has none. */
typedef void sse_emit(void *data, const char *event, size_t len,
		      const char *id);

struct sse *sse_new(void);
void sse_free(struct sse *ctx);

/* Commands. */
void sse_feed(struct sse *ctx, const char *bytes, size_t len, sse_emit *emit,
	      void *data);
void sse_reset(struct sse *ctx); /* drops an unfinished event */

/* Queries. */
size_t sse_unfinished(const struct sse *ctx); /* bytes */

#endif
