#ifndef NODE_CTL_H
#define NODE_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/met.h"
#include "conf/set.h"
#include "core/lse.h"
#include "core/view.h"

/*
 * Control thread of an instance. It runs the replica and its state machine, the
 * placement of models, the group's membership, and the messages between
 * instances. The functions below are its interface for traffic threads and may
 * be called from any thread.
 */
struct ctl;

#define CTL_ERROR ctl_error_quark()
enum ctl_error {
	CTL_ERROR_START,
	CTL_ERROR_UNAVAILABLE, /* the command may or may not take effect */
	CTL_ERROR_NOT_SENT,    /* the command can never take effect */
};
GQuark ctl_error_quark(void);

/* Called on the control thread; must not block. */
struct ctl_callbacks {
	void *data;
	void (*view_changed)(void *data, struct view *view);
	void (*load)(void *data, const Dsp__LoadReport *report);
	/* A load that an answer to any instance carried; age_ms says when. */
	void (*observed_load)(void *data, const Dsp__LoadReport *report);
	/* Another entry queries a stored answer. Returns a new message. */
	Dsp__AnswerReply *(*answer_query)(void *data,
					  const Dsp__AnswerQuery *query);
	/* A message between entries about pacing of prompts; may be NULL. */
	void (*prompts)(void *data, const Dsp__Envelope *message);
	/* Streams of another entry, to be remembered; may be NULL. */
	void (*stream_copies)(void *data, const Dsp__StreamCopies *copies);
	uint32_t (*streams)(void *data); /* requests in flight */
	/* Called on the leader only; may be NULL. */
	void (*demand)(void *data, const Dsp__Demand *demand);
	void (*pace)(void *data, const Dsp__Pace *pace);
	/* Answer of the leader to ctl_quota_ask(); may be NULL. */
	void (*quota_grants)(void *data, const Dsp__QuotaGrants *grants);
	/* Another instance leads; may be NULL. */
	void (*quota_leader)(void *data);
};

/* The instance's own leadership as the control thread knows it. */
struct ctl_leadership {
	bool leads;
	uint64_t term;	  /* in which no other instance leads */
	int64_t since_us; /* steady clock */
	/* The previous leader may still send orders: a message of it arrived
	 * since, or it is unknown which instance led. */
	bool predecessor_may_be_active;
	int64_t until_us; /* no other instance leads before this time */
};

enum ctl_readiness {
	CTL_STARTING, /* no confirmed view yet: refuse all */
	CTL_SERVING,
	CTL_ISOLATED, /* serve idempotent calls until the stale limit */
	CTL_STALE,    /* past the stale limit: refuse all */
	CTL_DRAINING,
};

struct ctl_state {
	enum ctl_readiness readiness;
	bool draining;
	int64_t stale_us;      /* time since the view was last confirmed */
	int64_t leaderless_us; /* time since the last contact with a leader */
	struct lse lease; /* of the view; unlike stale_us its age includes time
			     in transit */
	uint64_t boot;
};

struct ctl *ctl_start(const struct set *settings, struct clk *clock,
		      struct met *metrics,
		      const struct ctl_callbacks *callbacks, GError **err);
/* Transfers leadership if possible, then stops the thread. */
void ctl_stop(struct ctl *ctx);

/* Commands. */
/*
 * Commits a command through the leader and waits for its result, which the
 * caller frees. After CTL_ERROR_NOT_SENT no instance has the command and it
 * never takes effect; after CTL_ERROR_UNAVAILABLE it still may.
 */
Dsp__CommandResult *ctl_submit(struct ctl *ctx, const Dsp__Command *command,
			       int64_t timeout_us, GError **err);
bool ctl_is_behind(struct ctl *ctx);
void ctl_announce(struct ctl *ctx, const Dsp__Announcement *announcement);
void ctl_demand(struct ctl *ctx, const Dsp__Demand *demand);
void ctl_pace(struct ctl *ctx, const Dsp__Pace *pace);
void ctl_observed_load(struct ctl *ctx, const Dsp__LoadReport *report);
void ctl_prompts(struct ctl *ctx, const char *node,
		 const Dsp__Envelope *message);
void ctl_streams_begun(struct ctl *ctx, Dsp__StreamsBegun *begun);
void ctl_stream_copies(struct ctl *ctx, const char *node,
		       const Dsp__StreamCopies *copies);
void ctl_part_evidence(struct ctl *ctx, const Dsp__PartEvidence *evidence);
/* Takes the message. */
void ctl_quota_ask(struct ctl *ctx, Dsp__QuotaAsks *asks);
void ctl_drain(struct ctl *ctx); /* takes the instance off the entry list */
/* Uses the seeds of changed settings from now on. */
void ctl_reload(struct ctl *ctx, const struct set *settings);
bool ctl_replace_replica(struct ctl *ctx, uint64_t old_replica, GError **err);
/* Queries an answer that another entry holds; NULL without a reply in time. */
Dsp__AnswerReply *ctl_ask_answer(struct ctl *ctx, const char *node,
				 const Dsp__AnswerQuery *query,
				 int64_t timeout_us);

/* Queries. */
struct view *ctl_view(struct ctl *ctx); /* returns a new reference */
struct ctl_state ctl_state(struct ctl *ctx);
/* False if a command would wait in vain for a leader. */
bool ctl_expects_leader(struct ctl *ctx);
struct ctl_leadership ctl_leadership(struct ctl *ctx);
char *ctl_status_json(struct ctl *ctx); /* free with g_free() */

#endif
