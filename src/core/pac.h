#ifndef CORE_PAC_H
#define CORE_PAC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/view.h"

/*
 * Pacing of prompts (pac): assigns prompts to engines in time, so that few of
 * them are processed by one engine at once. The coordinator of a model is one
 * of a few entries; it assigns the prompts of all entries for that model. The
 * others tell it what they assign to the engines that they share. No I/O; one
 * thread.
 */
struct pac;

#define PAC_COORDINATORS_MAX 32
/* A stream is late if too much of such a period goes to prompts. */
#define PAC_WINDOW_US 250000

/* An engine that may get the prompt. */
struct pac_engine {
	const char *id;
	uint64_t incarnation;
	int64_t prefill_us; /* expected time for this prompt, at this moment */
	int64_t stream_us;  /* expected time from then to its end */
	double load;	    /* requests running and waiting at load_us */
	int64_t load_us;    /* when the load was seen */
	uint32_t places;    /* of its batch */
	double cost_ms;	    /* of the engine, other than load and prompts */
};

struct pac_query {
	uint32_t tokens; /* of the prompt */
	/* For the first event to be in time: longest wait and prefill. */
	int64_t wait_max_us;
	int64_t now_us;
};

struct pac_slot {
	size_t engine; /* index among the engines offered */
	int64_t delay_us;
	double cost_ms;
	double busy; /* share of the window that goes to prompts, with this */
};

/* A prompt that this coordinator has assigned. */
struct pac_send {
	char *id; /* owned by the receiver of pac_take() */
	uint64_t incarnation;
	uint32_t tokens;
	int64_t start_us;
};

struct pac *pac_new(void);
void pac_free(struct pac *ctx);

/* Commands. */
bool pac_assign(struct pac *ctx, const struct pac_engine *engines, size_t n,
		const struct pac_query *query, struct pac_slot *slot);
void pac_observe(struct pac *ctx, const char *id, uint64_t incarnation,
		 int64_t prefill_us, int64_t start_us, int64_t now_us);
void pac_pass_on(struct pac *ctx, const char *id, uint64_t incarnation,
		 uint32_t tokens, int64_t start_us);
size_t pac_take(struct pac *ctx, struct pac_send *out, size_t max);

/* Queries. */
size_t pac_engines(const struct pac *ctx);
size_t pac_untaken(const struct pac *ctx);
size_t pac_coordinators(const struct view *view,
			const Dsp__Node *out[PAC_COORDINATORS_MAX]);
const Dsp__Node *pac_coordinator(const Dsp__Node *const *coordinators, size_t n,
				 const char *model);

#endif
