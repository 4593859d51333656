#ifndef HTTP_HIO_MEM_H
#define HTTP_HIO_MEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/met.h"

/*
 * Account of the memory that the bytes of other parties take in this process
 * (hio_mem): requests, answers and unfinished events that are buffered, and
 * output that its receiver has not read. Each kind has a limit, and so has the
 * sum. Used by one thread, except for hio_mem_unsent().
 */
struct hio_mem;

enum hio_mem_kind {
	HIO_MEM_REQUEST, /* bodies, until the request is answered */
	HIO_MEM_HEADER,	 /* targets and fields of requests, as allocated */
	HIO_MEM_ANSWER,	 /* buffered until they are complete */
	HIO_MEM_EVENT,	 /* unfinished events of streams */
	HIO_MEM_OUTPUT,	 /* for clients that have not read it yet */
	HIO_MEM_KINDS,
};

/* A connection that makes this process keep bytes. */
struct hio_mem_client {
	TAILQ_ENTRY(hio_mem_client) link;
	size_t held;
	/* When its client last sent or read as much as is expected of it. */
	int64_t progress_us;
	int64_t stall_min_us; /* without progress, before it may be closed */
	/* Its request is with the application: it waits for others. */
	bool waits;
	/* Ends the connection or refuses its request, so that what it holds is
	 * freed, at once or in the next iteration of the loop. */
	void (*close)(struct hio_mem_client *self);
};

struct hio_mem *hio_mem_new(size_t limit_bytes);
void hio_mem_free(struct hio_mem *ctx);

/* Commands. All allow ctx to be NULL, which has no limits. */
bool hio_mem_take(struct hio_mem *ctx, enum hio_mem_kind kind, size_t held,
		  size_t bytes);
void hio_mem_add(struct hio_mem *ctx, enum hio_mem_kind kind, size_t bytes);
void hio_mem_give(struct hio_mem *ctx, enum hio_mem_kind kind, size_t bytes);
void hio_mem_begin_output(struct hio_mem *ctx);
void hio_mem_end_output(struct hio_mem *ctx);
void hio_mem_join(struct hio_mem *ctx, struct hio_mem_client *client);
void hio_mem_leave(struct hio_mem *ctx, struct hio_mem_client *client);
bool hio_mem_hold(struct hio_mem *ctx, struct hio_mem_client *client,
		  enum hio_mem_kind kind, size_t held, size_t bytes,
		  int64_t now_us);
void hio_mem_release(struct hio_mem *ctx, struct hio_mem_client *client,
		     enum hio_mem_kind kind, size_t bytes);
void hio_mem_trim(struct hio_mem *ctx);
void hio_mem_set_gauges(const struct hio_mem *ctx, struct met *met);

/* Queries. */
bool hio_mem_has_room(const struct hio_mem *ctx, enum hio_mem_kind kind,
		      size_t held, size_t bytes);
bool hio_mem_is_full(const struct hio_mem *ctx, enum hio_mem_kind kind);
size_t hio_mem_sum(const struct hio_mem *ctx);
bool hio_mem_is_pressed(const struct hio_mem *ctx);
unsigned hio_mem_unsent(const struct hio_mem *ctx);

#endif
