#include "http/hio_mem.h"

#include <glib.h>
#include <malloc.h>
#include <stdatomic.h>

/* Free memory is returned to the system when the account has fallen to
 * TRIM_SHARE of its last peak, if that was TRIM_MIN_BYTES or more. */
#define TRIM_MIN_BYTES ((size_t)16 << 20)
#define TRIM_SHARE 0.25
/* Size from which the allocator maps a buffer of its own. */
#define MAPPED_MIN_BYTES (1 << 20)

/* An item of this size or less is taken as long as the sum allows: a few large
 * items must not keep out the many small ones. */
#define SMALL_BYTES ((size_t)64 << 10)

/* Limits of items that are not small, as shares of the account's limit: of the
 * kind, and of the sum of all kinds up to which this kind is taken. New
 * requests are refused before work that has begun. */
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

/* Creates an account with a limit in bytes. Sets the allocator to map large
 * buffers one by one: they grow without a copy and are returned when freed. */
struct hio_mem *hio_mem_new(size_t limit_bytes)
{
	struct hio_mem *ctx = g_new0(struct hio_mem, 1);

	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
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
		      size_t held, size_t bytes)
{
	double limit, own, sum;

	if (!ctx)
		return true;
	limit = (double)ctx->limit;
	own = (double)(ctx->held[kind] + bytes);
	sum = (double)(ctx->sum + bytes);
	if (held + bytes <= SMALL_BYTES)
		return sum <= limit;
	return own <= limits[kind].own * limit &&
	       sum <= limits[kind].sum * limit;
}

/* Returns whether items of this kind that are not small have no room. */
bool hio_mem_is_full(const struct hio_mem *ctx, enum hio_mem_kind kind)
{
	return !hio_mem_has_room(ctx, kind, SMALL_BYTES, 1);
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

/* Adds bytes that are about to be buffered, to an item that has held bytes so
 * far; returns false, and adds nothing, if they exceed a limit. */
bool hio_mem_take(struct hio_mem *ctx, enum hio_mem_kind kind, size_t held,
		  size_t bytes)
{
	if (!hio_mem_has_room(ctx, kind, held, bytes))
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

/* Returns the number of connections with output; callable from any thread. */
unsigned hio_mem_unsent(const struct hio_mem *ctx)
{
	return ctx->unsent;
}

/* Returns freed memory to the system after a peak: the allocator keeps it, and
 * the next peak may need it elsewhere. */
void hio_mem_trim(struct hio_mem *ctx)
{
	if (!ctx || ctx->peak < TRIM_MIN_BYTES ||
	    (double)ctx->sum > TRIM_SHARE * (double)ctx->peak)
		return;
	malloc_trim(0);
	ctx->peak = ctx->sum;
}

/* Sets a gauge for each kind, and one for the connections with output. */
void hio_mem_set_gauges(const struct hio_mem *ctx, struct met *met)
{
	if (!ctx)
		return;
	for (size_t i = 0; i < HIO_MEM_KINDS; i++)
		met_gauge(met, "dandelionspar_edge_buffered_bytes",
			  limits[i].name, (int64_t)ctx->held[i]);
	met_gauge(met, "dandelionspar_edge_connections_with_output", "",
		  ctx->unsent);
}
