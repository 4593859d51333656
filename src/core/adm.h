#ifndef CORE_ADM_H
#define CORE_ADM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Queue of the requests that wait at this instance for a place at an endpoint.
 * It answers bursts and demand that moves to other models: endpoints read
 * prompts one after the other, so a request that waits here can still be put
 * in order, sent elsewhere or refused. No I/O; one thread.
 */
struct adm;

/* One waiting request, part of the user's structure. */
struct adm_item {
	TAILQ_ENTRY(adm_item) link; /* owned by the queue */
	bool queued;
	const char *group; /* of adm_intern_group(): what it waits for */
	uint32_t rank;	   /* 0 is served first */
	int64_t arrived_us;
	int64_t objective_us; /* time by which it is worth most */
	int64_t give_up_us;   /* time after which it is refused */
	uint64_t order;	      /* of arrival */
};

struct adm *adm_new(void);
void adm_free(struct adm *ctx);

/* Commands. */
/* The queue's own copy of a group's name; equal names, equal pointers. */
const char *adm_intern_group(struct adm *ctx, const char *name);
void adm_add(struct adm *ctx, struct adm_item *item);
void adm_remove(struct adm *ctx, struct adm_item *item);
/* A request of the group was sent; for the expected wait. */
void adm_sent(struct adm *ctx, const char *group, int64_t now_us);

/* Queries. */
/* The next item to try after one; after NULL: the first. Those that can still
 * meet their objective come first. */
struct adm_item *adm_next(const struct adm *ctx, const struct adm_item *after,
			  int64_t now_us);
unsigned adm_total(const struct adm *ctx);
unsigned adm_length(const struct adm *ctx, const char *group);
/* Time until a new request of the group would be sent; 0: not known to wait. */
int64_t adm_expected_wait_us(const struct adm *ctx, const char *group,
			     int64_t now_us);

#endif
