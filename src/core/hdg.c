#include "core/hdg.h"

#include <glib.h>

/* Timers may fire earlier than asked for by this. */
#define TIMER_SLACK_US 1000

static struct hdg_attempt *attempt_of(struct hdg *h, unsigned id)
{
	for (size_t i = 0; i < h->n; i++)
		if (h->attempts[i].id == id)
			return &h->attempts[i];
	return NULL;
}

/* Adds an attempt that is sent now. At most HDG_ATTEMPTS_MAX; ids are not 0.
 * What the attempts before it have answered does not decide between them. */
void hdg_add(struct hdg *h, unsigned id, int64_t now_us)
{
	if (h->n == HDG_ATTEMPTS_MAX)
		return;
	for (size_t i = 0; i < h->n; i++)
		h->attempts[i].begun_us = 0;
	h->attempts[h->n++] = (struct hdg_attempt){
		.id = id,
		.progress_us = now_us,
	};
	h->stalled = false;
}

/* Removes an attempt that has failed or is cancelled. The others remain; the
 * next one may follow after HDG_RETRY_US. */
void hdg_remove(struct hdg *h, unsigned id, int64_t now_us)
{
	struct hdg_attempt *at = attempt_of(h, id);

	if (!at)
		return;
	*at = h->attempts[--h->n];
	hdg_put_off(h, now_us);
}

/* The attempt shows that its endpoint works on it. */
void hdg_progress(struct hdg *h, unsigned id, int64_t now_us)
{
	struct hdg_attempt *at = attempt_of(h, id);

	if (!at)
		return;
	at->progress_us = now_us;
	h->stalled = false;
}

/* The attempt has begun to answer, or goes on with an answer, that the caller
 * may get. */
void hdg_begun(struct hdg *h, unsigned id, int64_t now_us)
{
	struct hdg_attempt *at = attempt_of(h, id);

	hdg_progress(h, id, now_us);
	if (at && !at->begun_us)
		at->begun_us = now_us;
}

/*
 * Returns true if no attempt has made progress for silence_us and another one
 * may be added. A check that comes late is put off once, since the silence may
 * be this process's own.
 */
bool hdg_take_silence(struct hdg *h, int64_t silence_us, int64_t now_us)
{
	int64_t due_us = hdg_silence_end_us(h, silence_us);

	if (now_us + TIMER_SLACK_US < due_us)
		return false;
	if (now_us - due_us > HDG_STALL_US && !h->stalled) {
		h->stalled = true;
		h->not_before_us = now_us + HDG_STALL_US;
		return false;
	}
	return true;
}

/* No other endpoint can take the request now. */
void hdg_put_off(struct hdg *h, int64_t now_us)
{
	h->not_before_us = now_us + HDG_RETRY_US;
}

/* Returns whether more than one attempt is under way. */
bool hdg_is_hedged(const struct hdg *h)
{
	return h->n > 1;
}

static int64_t last_progress_us(const struct hdg *h)
{
	int64_t last_us = 0;

	for (size_t i = 0; i < h->n; i++)
		last_us = MAX(last_us, h->attempts[i].progress_us);
	return last_us;
}

static const struct hdg_attempt *first_begun(const struct hdg *h)
{
	const struct hdg_attempt *first = NULL;

	for (size_t i = 0; i < h->n; i++) {
		const struct hdg_attempt *at = &h->attempts[i];

		if (at->begun_us && (!first || at->begun_us < first->begun_us))
			first = at;
	}
	return first;
}

/* Returns the id of the attempt that is used from now on although its answer
 * has only begun; 0: none. */
unsigned hdg_winner(const struct hdg *h, int64_t now_us)
{
	if (now_us + TIMER_SLACK_US < hdg_grace_end_us(h))
		return 0;
	return first_begun(h)->id;
}

/* Returns the time from which hdg_winner() names an attempt; INT64_MAX: none.
 */
int64_t hdg_grace_end_us(const struct hdg *h)
{
	const struct hdg_attempt *at = first_begun(h);

	if (!at || !hdg_is_hedged(h))
		return INT64_MAX;
	return at->begun_us + HDG_GRACE_US;
}

/* Returns the time from which another attempt may be added; INT64_MAX: never.
 */
int64_t hdg_silence_end_us(const struct hdg *h, int64_t silence_us)
{
	if (!h->n || h->n == HDG_ATTEMPTS_MAX)
		return INT64_MAX;
	return MAX(last_progress_us(h) + silence_us, h->not_before_us);
}
