#ifndef CORE_VER_H
#define CORE_VER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/view.h"
#include "proto/messages.pb-c.h"

/*
 * Versions of streams (ver): with which software of an endpoint a stream began,
 * as far as an entry knows, and where it may be resumed. Versions are those of
 * the endpoints' software; what two of them write does not fit together. No
 * I/O; one thread.
 */
struct ver;

struct ver *ver_new(void);
void ver_free(struct ver *ctx);

/* Identifies a stream by the id of the caller's request that brought its first
 * event. */
uint64_t ver_digest(const char *request_id);

/*
 * Adds an endpoint to those of a service. *software is the version of all so
 * far; NULL: there was none. Returns false if the endpoint, or an earlier
 * process with its id whose streams can still be resumed, has another one.
 */
bool ver_add_endpoint(const Dsp__Endpoint *endpoint, const char **software);

/* Commands. */
void ver_set_view(struct ver *ctx, const struct view *view);
/* A stream's first event was passed on. software NULL: not known. until_us:
 * when its caller gives up. */
void ver_begun(struct ver *ctx, uint64_t digest, const char *service,
	       const char *software, int64_t until_us, int64_t now_us);
/* Remembers streams that began at another entry. */
void ver_keep(struct ver *ctx, const Dsp__StreamCopies *copies, int64_t now_us);
/* Takes the streams that other instances need to know of; NULL: none. The
 * caller frees the message. */
Dsp__StreamsBegun *ver_take(struct ver *ctx);
/* Takes the streams of this instance that other entries are to remember; NULL:
 * none. The caller frees the message. */
Dsp__StreamCopies *ver_take_copies(struct ver *ctx, int64_t now_us);

/* Where a stream may be resumed. */
enum ver_place {
	VER_ANYWHERE, /* the service has one version */
	VER_SAME,     /* at endpoints with the software */
	VER_ASK,      /* the leader may know */
};

struct ver_question {
	uint64_t digest;
	const char *service;
	int64_t view_age_us; /* since the view was confirmed */
};

struct ver_answer {
	enum ver_place place;
	const char *software; /* VER_SAME; valid until the next command */
};

/* Queries. */
struct ver_answer ver_find(const struct ver *ctx,
			   const struct ver_question *question);
/* The service has endpoints with several versions, or had a short time ago. */
bool ver_is_mixed(const struct ver *ctx, const char *service);
bool ver_has_news(const struct ver *ctx);
size_t ver_n_streams(const struct ver *ctx);

#endif
