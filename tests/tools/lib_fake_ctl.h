#ifndef TESTS_LIB_FAKE_CTL_H
#define TESTS_LIB_FAKE_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "node/ctl.h"
#include "traffic/trf.h"

/*
 * In-process fake of the control threads of several entry instances, for tests
 * of the traffic threads. The entries share one state machine without
 * replication; a command commits at once unless the test chose another outcome
 * for it. All functions may be called from any thread.
 */
struct fake_group;
struct fake_entry;

enum fake_outcome {
	FAKE_COMMIT,   /* committed at once */
	FAKE_NOT_SENT, /* CTL_ERROR_NOT_SENT */
	FAKE_LOST,     /* CTL_ERROR_UNAVAILABLE, never committed */
	FAKE_LATE,     /* CTL_ERROR_UNAVAILABLE, committed by
			  fake_group_deliver_late() */
};

struct fake_group *fake_group_new(void);
void fake_group_free(struct fake_group *ctx);

/* Commands. */
struct fake_entry *fake_group_join(struct fake_group *ctx, struct trf *trf,
				   const char *node, const char *http_address,
				   GError **err);
void fake_group_set_outcome(struct fake_group *ctx, Dsp__Command__BodyCase kind,
			    enum fake_outcome outcome, int n);
void fake_group_deliver_late(struct fake_group *ctx);
Dsp__CommandResult *fake_group_apply(struct fake_group *ctx,
				     const Dsp__Command *command);
void fake_group_put_document(struct fake_group *ctx, const char *team,
			     uint64_t number, const char *text);
void fake_group_put_endpoint(struct fake_group *ctx, const char *id,
			     uint64_t incarnation, const char *address,
			     const char *team, const char *service,
			     const char *model, const char *adapter,
			     bool resume);
void fake_group_set_batch(struct fake_group *ctx, uint32_t max_batch);
void fake_entry_set_readiness(struct fake_entry *entry,
			      enum ctl_readiness readiness);

/* Queries. */
size_t fake_group_n_commands(struct fake_group *ctx,
			     Dsp__Command__BodyCase kind);
int fake_group_claim_state(struct fake_group *ctx, const char *team,
			   const char *request_id);
size_t fake_group_n_late(struct fake_group *ctx);
Dsp__Demand fake_group_demand(struct fake_group *ctx);
Dsp__Announcement *fake_group_announced(struct fake_group *ctx);
bool fake_entry_draining(struct fake_entry *entry);

#endif
