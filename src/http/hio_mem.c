#include "http/hio_mem.h"

#include <glib.h>
#include <malloc.h>
#include <stdatomic.h>

/* Free memory is returned to the system when the account has fallen to
 * TRIM_SHARE of its last peak, if that was TRIM_MIN_BYTES or more. */
#define TRIM_MIN_BYTES ((size_t)16 << 20)
/* Or this share of the account, so that a small machine gets back more than
 * its peaks leave. */
#define TRIM_MIN_SHARE 0.125
#define TRIM_SHARE 0.25
/* Size from which the allocator maps a buffer of its own. */
#define MAPPED_MIN_BYTES (1 << 20)

/* An item of this size or less is taken as long as the sum allows: a few large
 * items must not keep out the many small ones. */
#define SMALL_BYTES ((size_t)64 << 10)

/* After a search that found no client to close, the next one is this much
 * later: each looks at all connections. */
#define SEARCH_INTERVAL_US 50000
/* Clients closed at most to make room for one item: several small ones may have
 * to go for a large one. */
#define RELIEF_MAX 8
/* From this share of the limit on, clients that cost much more than their bytes
 * are refused. */
#define PRESSED_SHARE 0.5

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
	[HIO_MEM_HEADER] = { "kind=\"header\"", 0.5, 0.9 },
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
	TAILQ_HEAD(, hio_mem_client) clients;
	int64_t next_search_us; /* after one that found no client */
};

/* Creates an account with a limit in bytes. Sets the allocator to map large
 * buffers one by one: they grow without a copy and are returned when freed. */
struct hio_mem *hio_mem_new(size_t limit_bytes)
{
	struct hio_mem *ctx = g_new0(struct hio_mem, 1);

	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	ctx->limit = limit_bytes;
	TAILQ_INIT(&ctx->clients);
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

/* Counts a connection whose client has output to read. */
void hio_mem_begin_output(struct hio_mem *ctx)
{
	if (ctx)
		ctx->unsent++;
}

/* Counts a connection whose client has read all, or that has ended. */
void hio_mem_end_output(struct hio_mem *ctx)
{
	if (ctx)
		ctx->unsent--;
}

/* Returns the number of connections with output that their clients have yet to
 * read; callable from any thread. */
unsigned hio_mem_unsent(const struct hio_mem *ctx)
{
	return ctx->unsent;
}

/* Adds a connection to those that may be closed for others. */
void hio_mem_join(struct hio_mem *ctx, struct hio_mem_client *client)
{
	if (ctx)
		TAILQ_INSERT_TAIL(&ctx->clients, client, link);
}

/* Removes a connection that ends; what it held is given back before. */
void hio_mem_leave(struct hio_mem *ctx, struct hio_mem_client *client)
{
	if (ctx)
		TAILQ_REMOVE(&ctx->clients, client, link);
}

/* Bytes held times the time without progress: a small request that stopped a
 * while ago goes after a large one that stopped just now. */
static double cost_of(const struct hio_mem_client *client, int64_t now_us)
{
	int64_t stalled_us = now_us - client->progress_us;

	if (client->waits || !client->held || stalled_us < client->stall_min_us)
		return 0;
	return (double)client->held * (double)stalled_us;
}

/*
 * Closes the client that has kept most for longest without progress. Returns
 * false if there is none.
 */
static bool relieve(struct hio_mem *ctx, const struct hio_mem_client *except,
		    int64_t now_us)
{
	struct hio_mem_client *client, *worst = NULL;
	double cost, most = 0;

	if (now_us < ctx->next_search_us)
		return false;
	TAILQ_FOREACH (client, &ctx->clients, link) {
		cost = client == except ? 0 : cost_of(client, now_us);
		if (cost <= most)
			continue;
		most = cost;
		worst = client;
	}
	if (!worst) {
		ctx->next_search_us = now_us + SEARCH_INTERVAL_US;
		return false;
	}
	worst->progress_us = now_us; /* not again while it closes */
	worst->close(worst);
	return true;
}

/* Like hio_mem_take(), for an item of a connection. Closes clients that keep
 * much without progress if there is no room. */
bool hio_mem_hold(struct hio_mem *ctx, struct hio_mem_client *client,
		  enum hio_mem_kind kind, size_t held, size_t bytes,
		  int64_t now_us)
{
	int tries = RELIEF_MAX;

	while (!hio_mem_take(ctx, kind, held, bytes))
		if (!tries-- || !relieve(ctx, client, now_us))
			return false;
	client->held += bytes;
	return true;
}

/* Subtracts bytes that a connection no longer keeps. */
void hio_mem_release(struct hio_mem *ctx, struct hio_mem_client *client,
		     enum hio_mem_kind kind, size_t bytes)
{
	hio_mem_give(ctx, kind, bytes);
	client->held -= bytes;
}

/* Returns the bytes of all kinds. */
size_t hio_mem_sum(const struct hio_mem *ctx)
{
	return ctx->sum;
}

/* Returns whether the account is so full that wasteful requests are refused. */
bool hio_mem_is_pressed(const struct hio_mem *ctx)
{
	return ctx && (double)ctx->sum > PRESSED_SHARE * (double)ctx->limit;
}

/* Returns freed memory to the system after a peak: the allocator keeps it, and
 * the next peak may need it elsewhere. */
void hio_mem_trim(struct hio_mem *ctx)
{
	if (!ctx ||
	    (ctx->peak < TRIM_MIN_BYTES &&
	     (double)ctx->peak < TRIM_MIN_SHARE * (double)ctx->limit) ||
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
