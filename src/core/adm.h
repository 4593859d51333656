#ifndef CORE_ADM_H
#define CORE_ADM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Admission queue (adm): requests that wait at this instance for a free slot at
 * an endpoint. Endpoints prefill prompts one after the other, so in bursts and
 * when demand moves to other models, a request that waits here can still be
 * reordered, sent elsewhere or refused. No I/O; one thread.
 */
struct adm;

/* One waiting request, embedded in the caller's structure. */
struct adm_item {
	TAILQ_ENTRY(adm_item) link; /* owned by the queue */
	bool queued;
	const char *group; /* of adm_intern_group(); one for each target */
	uint32_t rank;	   /* lower is more urgent; 0 is the first */
	/* Among those of a rank, customers share the sends; NULL: none. Must
	 * stay until the item is removed. */
	const char *customer;
	int64_t arrived_us;
	int64_t objective_us; /* time by which it should be sent */
	int64_t give_up_us;   /* time from which it is refused */
	uint64_t order;	      /* sequence number of arrival */
	int64_t key_us;	      /* owned by the queue; its place */
};

struct adm *adm_new(void);
void adm_free(struct adm *ctx);

/* Commands. */
const char *adm_intern_group(struct adm *ctx, const char *name);
void adm_add(struct adm *ctx, struct adm_item *item);
void adm_remove(struct adm *ctx, struct adm_item *item);
void adm_sent(struct adm *ctx, const char *group, int64_t now_us);

/* Queries. */
struct adm_item *adm_next(const struct adm *ctx, const struct adm_item *after,
			  int64_t now_us);
unsigned adm_total(const struct adm *ctx);
unsigned adm_length(const struct adm *ctx, const char *group);
int64_t adm_expected_wait_us(const struct adm *ctx, const char *group,
			     const char *customer, int64_t now_us);

#endif
