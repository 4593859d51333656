#include "http/hio_mem.h"

#include <glib.h>
#include <malloc.h>
#include <stdatomic.h>

/* Free memory is returned to the system when the account has fallen to
 * TRIM_SHARE of its last peak, if that was TRIM_MIN_BYTES or more. */
#define TRIM_MIN_BYTES ((size_t)16 << 20)
#define TRIM_SHARE 0.25

/* Limits as shares of the account's limit: of the kind, and of the sum of all
 * kinds up to which this kind is taken. New requests are refused before work
 * that has begun. */
struct kind_limits {
	const char *name;
	double own;
	double sum;
};

static const struct kind_limits limits[HIO_MEM_KINDS] = {
	[HIO_MEM_REQUEST] = { "kind=\"request\"", 0.75, 0.75 },
	[HIO_MEM_ANSWER] = { "kind=\"answer\"", 0.5, 0.9 },
	[HIO_MEM_EVENT] = { "kind=\"event\"", 0.25, 0.9 },
	[HIO_MEM_OUTPUT] = { "kind=\"output\"", 0.5, 1 },
};

struct hio_mem {
	size_t limit;
	size_t held[HIO_MEM_KINDS];
	size_t sum;
	size_t peak; /* of the sum, since the last trim */
	_Atomic unsigned unsent;
};

/* Creates an account with a limit in bytes. */
struct hio_mem *hio_mem_new(size_t limit_bytes)
{
	struct hio_mem *ctx = g_new0(struct hio_mem, 1);

	ctx->limit = limit_bytes;
	return ctx;
}

/* Frees the account; NULL is allowed. */
void hio_mem_free(struct hio_mem *ctx)
{
	g_free(ctx);
}

/* Returns whether hio_mem_take() would succeed. */
bool hio_mem_has_room(const struct hio_mem *ctx, enum hio_mem_kind kind,
		      size_t bytes)
{
	double limit;

	if (!ctx)
		return true;
	limit = (double)ctx->limit;
	return (double)(ctx->held[kind] + bytes) <= limits[kind].own * limit &&
	       (double)(ctx->sum + bytes) <= limits[kind].sum * limit;
}

/* Adds bytes without regard to the limits. */
void hio_mem_add(struct hio_mem *ctx, enum hio_mem_kind kind, size_t bytes)
{
	if (!ctx)
		return;
	ctx->held[kind] += bytes;
	ctx->sum += bytes;
	ctx->peak = MAX(ctx->peak, ctx->sum);
}

/* Adds bytes that are about to be buffered; returns false, and adds nothing, if
 * they exceed a limit. */
bool hio_mem_take(struct hio_mem *ctx, enum hio_mem_kind kind, size_t bytes)
{
	if (!hio_mem_has_room(ctx, kind, bytes))
		return false;
	hio_mem_add(ctx, kind, bytes);
	return true;
}

/* Subtracts bytes that are no longer buffered. */
void hio_mem_give(struct hio_mem *ctx, enum hio_mem_kind kind, size_t bytes)
{
	if (!ctx)
		return;
	ctx->held[kind] -= bytes;
	ctx->sum -= bytes;
}

/* Counts a connection whose output is not empty any more. */
void hio_mem_begin_output(struct hio_mem *ctx)
{
	if (ctx)
		ctx->unsent++;
}

/* Counts a connection whose output is empty again, or that has ended. */
void hio_mem_end_output(struct hio_mem *ctx)
{
	if (ctx)
		ctx->unsent--;
}

/* Returns whether a connection has an output of more bytes than the average
 * while all output is at its limit: its client reads more slowly than others.
 */
bool hio_mem_over_share(const struct hio_mem *ctx, size_t bytes)
{
	if (hio_mem_has_room(ctx, HIO_MEM_OUTPUT, 0))
		return false;
	return bytes >= ctx->held[HIO_MEM_OUTPUT] / MAX(ctx->unsent, 1);
}

/* Returns the number of connections with output; callable from any thread. */
unsigned hio_mem_unsent(const struct hio_mem *ctx)
{
	return ctx->unsent;
}

/* Returns freed memory to the system after a peak: the allocator keeps it, and
 * the next peak may need it elsewhere. */
void hio_mem_trim(struct hio_mem *ctx)
{
	if (ctx->peak < TRIM_MIN_BYTES ||
	    (double)ctx->sum > TRIM_SHARE * (double)ctx->peak)
		return;
	malloc_trim(0);
	ctx->peak = ctx->sum;
}

/* Sets a gauge for each kind, and one for the connections with output. */
void hio_mem_set_gauges(const struct hio_mem *ctx, struct met *met)
{
	for (size_t i = 0; i < HIO_MEM_KINDS; i++)
		met_gauge(met, "dandelionspar_edge_buffered_bytes",
			  limits[i].name, (int64_t)ctx->held[i]);
	met_gauge(met, "dandelionspar_edge_connections_with_output", "",
		  ctx->unsent);
}
