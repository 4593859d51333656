#ifndef CORE_PTH_H
#define CORE_PTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/view.h"

/*
 * Paths (pth): which endpoints this instance cannot reach although other
 * instances do, and which of these helps. A refused or silent connection may
 * mean that the endpoint has ended or that the path to it is lost; another
 * instance that reaches the endpoint tells the two apart. No I/O; one thread.
 */
struct pth;

/* Helpers that are asked about one endpoint, and that a request is sent to. */
#define PTH_HELPERS_MAX 3

enum pth_state {
	PTH_OPEN,     /* direct */
	PTH_CHECKING, /* a connection failed; helpers are asked */
	PTH_LOST,     /* a helper reaches the endpoint, this instance doesn't */
};

/* What a helper said about an endpoint. */
enum pth_reply {
	PTH_REACHED,
	PTH_UNREACHED, /* its connection failed */
	PTH_NO_PATH,   /* it has lost its path as well */
	PTH_NO_REPLY,  /* the helper itself was not reached, or does not help */
};

enum pth_action_kind {
	PTH_ASK,   /* ask the helper whether it reaches the endpoint */
	PTH_PROBE, /* connect to the endpoint */
};

/* What the caller does next; the strings are valid until the next view. */
struct pth_action {
	enum pth_action_kind kind;
	const Dsp__Endpoint *endpoint;
	const Dsp__Node *helper; /* PTH_ASK */
};

struct pth *pth_new(uint64_t seed);
void pth_free(struct pth *ctx);

/* Commands. */
void pth_set_view(struct pth *ctx, struct view *view, const char *self);
void pth_connected(struct pth *ctx, const char *endpoint, int64_t now_us);
void pth_unreached(struct pth *ctx, const char *endpoint, int64_t now_us);
/* Results of actions. */
void pth_replied(struct pth *ctx, const char *endpoint, const char *helper,
		 enum pth_reply reply, int64_t now_us);
void pth_probed(struct pth *ctx, const char *endpoint, bool connected,
		int64_t now_us);
/* A request that a helper was sent. */
void pth_detour_begun(struct pth *ctx, const char *helper);
void pth_detour_ended(struct pth *ctx, const char *helper);
void pth_detour_failed(struct pth *ctx, const char *endpoint,
		       const char *helper, enum pth_reply reply,
		       int64_t now_us);
bool pth_next(struct pth *ctx, int64_t now_us, struct pth_action *out);
/* Returns true if a path was lost or found since the last call. */
bool pth_take_change(struct pth *ctx);

/* Queries. */
enum pth_state pth_state_of(const struct pth *ctx, const char *endpoint);
/* The best instance to send a request for the endpoint through, or NULL; avoid
 * is a NULL-terminated list of ids. */
const Dsp__Node *pth_helper(struct pth *ctx, const char *endpoint,
			    const char *const *avoid, int64_t now_us);
size_t pth_n_lost(const struct pth *ctx);

#endif
