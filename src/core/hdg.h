#ifndef CORE_HDG_H
#define CORE_HDG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Hedged requests (hdg): decides when a request whose endpoint is silent is
 * also sent to another one, and which of its attempts is used. A silent
 * endpoint may be sound, so no attempt ends before another one has begun to
 * answer. No I/O.
 */

/* Attempts of one request that may be under way at once. */
#define HDG_ATTEMPTS_MAX 4
/* An attempt that has begun to answer is used after this time at the latest, so
 * that two endpoints do not go on with one request. */
#define HDG_GRACE_US 250000
/* Interval of further tries while no other endpoint can take the request. */
#define HDG_RETRY_US 300000
/* A check that is later than this shows that this process was held up: input
 * that has arrived is read first. */
#define HDG_STALL_US 50000

struct hdg_attempt {
	unsigned id;
	int64_t progress_us; /* last sign of progress, or its start */
	int64_t begun_us;    /* it began to answer after the last attempt was
				added; 0: it did not */
};

/* Zero-initialised: no attempt. */
struct hdg {
	struct hdg_attempt attempts[HDG_ATTEMPTS_MAX];
	size_t n;
	int64_t not_before_us; /* of the next attempt */
	bool stalled;	       /* a check was put off since the last progress */
};

/* Commands. */
void hdg_add(struct hdg *h, unsigned id, int64_t now_us);
void hdg_remove(struct hdg *h, unsigned id, int64_t now_us);
void hdg_progress(struct hdg *h, unsigned id, int64_t now_us);
void hdg_begun(struct hdg *h, unsigned id, int64_t now_us);
bool hdg_take_silence(struct hdg *h, int64_t silence_us, int64_t now_us);
void hdg_put_off(struct hdg *h, int64_t now_us);

/* Queries. */
bool hdg_is_hedged(const struct hdg *h);
unsigned hdg_winner(const struct hdg *h, int64_t now_us);
int64_t hdg_grace_end_us(const struct hdg *h);
int64_t hdg_silence_end_us(const struct hdg *h, int64_t silence_us);

#endif
