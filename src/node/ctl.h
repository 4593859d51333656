#ifndef NODE_CTL_H
#define NODE_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "core/view.h"

/*
 * Control thread of an instance: replica, state machine, placement, membership
 * and messages between instances. The functions below are the interface for
 * traffic threads; all may be called from any thread.
 */
struct ctl;

#define CTL_ERROR ctl_error_quark()
enum ctl_error {
	CTL_ERROR_START,
	CTL_ERROR_UNAVAILABLE, /* not known whether the command took effect */
	CTL_ERROR_NOT_SENT,    /* the command can never take effect */
};
GQuark ctl_error_quark(void);

/* Called on the control thread; must not block. */
struct ctl_callbacks {
	void *data;
	void (*view_changed)(void *data, struct view *view);
	void (*load)(void *data, const Dsp__LoadReport *report);
	/* Another entry asks for an answer; reply with a new message. */
	Dsp__AnswerReply *(*answer_query)(void *data,
					  const Dsp__AnswerQuery *query);
	uint32_t (*streams)(void *data); /* requests in flight */
	/* Only on the leader; may be NULL. */
	void (*demand)(void *data, const Dsp__Demand *demand);
	void (*pace)(void *data, const Dsp__Pace *pace);
};

/* What the control thread knows of its own leadership. */
struct ctl_leadership {
	bool leads;
	uint64_t term;	  /* no other instance leads in it */
	int64_t since_us; /* steady clock */
	/* Another instance that led before may still be at work: it was heard
	 * since, or it is not known which one led. */
	bool predecessor_may_be_active;
	int64_t until_us; /* no other instance leads before */
};

enum ctl_readiness {
	CTL_STARTING, /* no confirmed view yet: serve nothing */
	CTL_SERVING,
	CTL_ISOLATED, /* serve idempotent calls, up to the stale limit */
	CTL_STALE,    /* past the stale limit: refuse all */
	CTL_DRAINING,
};

struct ctl_state {
	enum ctl_readiness readiness;
	bool draining;
	int64_t stale_us; /* since the view was last confirmed */
	uint64_t boot;
};

struct ctl *ctl_start(const struct set *settings, struct clk *clock,
		      struct met *metrics,
		      const struct ctl_callbacks *callbacks, GError **err);
/* Stops the thread; leadership is transferred first when possible. */
void ctl_stop(struct ctl *ctx);

/* Commands. */
/*
 * Commits a command through the leader and waits for its result. With
 * CTL_ERROR_NOT_SENT the command was never handed out and will not take
 * effect; with CTL_ERROR_UNAVAILABLE it may still do so. The caller frees the
 * result.
 */
Dsp__CommandResult *ctl_submit(struct ctl *ctx, const Dsp__Command *command,
			       int64_t timeout_us, GError **err);
void ctl_announce(struct ctl *ctx, const Dsp__Announcement *announcement);
void ctl_demand(struct ctl *ctx, const Dsp__Demand *demand);
void ctl_pace(struct ctl *ctx, const Dsp__Pace *pace);
void ctl_drain(struct ctl *ctx); /* leave the entry list */
/* Takes the seeds of changed settings. */
void ctl_reload(struct ctl *ctx, const struct set *settings);
bool ctl_replace_replica(struct ctl *ctx, uint64_t old_replica, GError **err);
/* Asks another entry for an answer; NULL when it did not reply in time. */
Dsp__AnswerReply *ctl_ask_answer(struct ctl *ctx, const char *node,
				 const Dsp__AnswerQuery *query,
				 int64_t timeout_us);

/* Queries. */
struct view *ctl_view(struct ctl *ctx); /* a new reference */
struct ctl_state ctl_state(struct ctl *ctx);
struct ctl_leadership ctl_leadership(struct ctl *ctx);
char *ctl_status_json(struct ctl *ctx); /* whole status; g_free() */

#endif
