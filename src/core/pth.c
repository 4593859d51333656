#include "core/pth.h"

#include <glib.h>
#include <string.h>

/* Interval of probes of a lost path. A path is in use again after
 * CONFIRMATIONS probes in a row that connected, CONFIRMATIONS_MAX at most where
 * it was lost again within RELAPSE_US. */
#define PROBE_INTERVAL_US 500000
/* Probes of lost paths a second, of this instance; more paths are probed less
 * often. */
#define PROBES_PER_S 128
#define CONFIRMATIONS 2
#define CONFIRMATIONS_MAX 16
#define RELAPSE_US 10000000
/* An endpoint that no helper reached is not asked about again before this. */
#define CHECK_INTERVAL_US 1000000
/* Helpers that must not reach an endpoint for it to count as ended. One alone
 * may lack a path too. */
#define UNREACHED_MIN 2
/* A helper that did not answer is not used before this: it may have stopped or
 * just started. */
#define REST_SHORT_US 300000
/* A helper without a path is not used for the service before this, which
 * doubles with each failure in a row. */
#define REST_MIN_US 1000000
#define REST_MAX_US 8000000
/* Probes and questions that may be under way at once. */
#define ACTIONS_MAX 32
/* Time after which an action without a result is taken for failed. */
#define ACTION_LIMIT_US 2000000

struct path {
	const Dsp__Endpoint *msg; /* in the view */
	char *address;
	enum pth_state state;
	int64_t connected_us; /* last direct connection; 0: never */
	int64_t failed_us;    /* last direct connection that failed */
	int64_t checked_us;   /* end of the last check without a helper */
	int64_t found_us;     /* last time that a lost path came back */
	int64_t due_us;	      /* next probe; 0: none */
	int64_t busy_us;      /* start of the action under way; 0: none */
	bool in_doubt;	 /* lost, and a helper did not reach the endpoint */
	unsigned in_row; /* probes that connected */
	unsigned wanted; /* of them, for the path to be used */
	char *asked[PTH_HELPERS_MAX + 1];
	size_t n_asked;
	bool unreached[PTH_HELPERS_MAX]; /* whose connection failed */
};

struct rest {
	int64_t until_us;
	unsigned failures; /* in a row */
};

struct pth {
	struct view *view;
	char *self;
	const char *site;  /* of this instance; NULL: unknown */
	GHashTable *paths; /* endpoint id -> struct path */
	GHashTable *rests; /* "helper service" -> struct rest */
	GHashTable *loads; /* helper id -> requests under way */
	GRand *random;
	bool changed;
	size_t n_lost;
	size_t n_busy;
};

static void forget_asked(struct path *p)
{
	for (size_t i = 0; i < p->n_asked; i++)
		g_clear_pointer(&p->asked[i], g_free);
	p->n_asked = 0;
}

static void path_free(void *data)
{
	struct path *p = data;

	forget_asked(p);
	g_free(p->address);
	g_free(p);
}

/* Creates an instance without a view; seed spreads requests over helpers. */
struct pth *pth_new(uint64_t seed)
{
	struct pth *ctx = g_new0(struct pth, 1);

	ctx->view = view_new_empty();
	ctx->paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   path_free);
	ctx->rests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ctx->random = g_rand_new_with_seed((guint32)seed);
	return ctx;
}

/* Frees ctx; NULL is allowed. */
void pth_free(struct pth *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->paths);
	g_hash_table_destroy(ctx->rests);
	g_hash_table_destroy(ctx->loads);
	g_rand_free(ctx->random);
	g_free(ctx->self);
	view_unref(ctx->view);
	g_free(ctx);
}

static void set_state(struct pth *ctx, struct path *p, enum pth_state state)
{
	if ((p->state == PTH_LOST) != (state == PTH_LOST)) {
		ctx->changed = true;
		if (state == PTH_LOST)
			ctx->n_lost++;
		else
			ctx->n_lost--;
	}
	p->state = state;
}

static void set_idle(struct pth *ctx, struct path *p)
{
	if (p->busy_us)
		ctx->n_busy--;
	p->busy_us = 0;
}

static gboolean has_left(void *key, void *value, void *data)
{
	struct pth *ctx = data;
	struct path *p = value;
	const Dsp__Endpoint *msg = view_endpoint(ctx->view, key);

	if (msg && !strcmp(msg->address, p->address)) {
		p->msg = msg;
		return FALSE;
	}
	set_idle(ctx, p);
	set_state(ctx, p, PTH_OPEN);
	return TRUE;
}

static gboolean is_over(void *key, void *value, void *data)
{
	const struct rest *rest = value;

	(void)key;
	return rest->until_us + REST_MAX_US < *(const int64_t *)data;
}

/* Installs a view and takes a reference to it; self is this instance's id. What
 * is known of a path is kept while its endpoint has the same address. */
void pth_set_view(struct pth *ctx, struct view *view, const char *self)
{
	const Dsp__Node *node = view_node(view, self);

	view_ref(view);
	view_unref(ctx->view);
	ctx->view = view;
	g_free(ctx->self);
	ctx->self = g_strdup(self);
	ctx->site = node ? node->site : NULL;
	g_hash_table_foreach_remove(ctx->paths, has_left, ctx);
}

static struct path *find(const struct pth *ctx, const char *endpoint)
{
	return g_hash_table_lookup(ctx->paths, endpoint);
}

/* Returns the path to an endpoint of the view, or NULL. */
static struct path *get(struct pth *ctx, const char *endpoint)
{
	const Dsp__Endpoint *msg = view_endpoint(ctx->view, endpoint);
	struct path *p = find(ctx, endpoint);

	if (p || !msg)
		return p;
	p = g_new0(struct path, 1);
	p->msg = msg;
	p->address = g_strdup(msg->address);
	p->wanted = CONFIRMATIONS;
	g_hash_table_insert(ctx->paths, g_strdup(endpoint), p);
	return p;
}

/* ---- Helpers ---- */

static char *rest_key(const struct path *p, const char *helper)
{
	return g_strdup_printf("%s %s", helper, p->msg->service);
}

static struct rest *get_rest(struct pth *ctx, const struct path *p,
			     const char *helper, int64_t now_us)
{
	char *key = rest_key(p, helper);
	struct rest *rest = g_hash_table_lookup(ctx->rests, key);

	if (rest) {
		g_free(key);
		return rest;
	}
	g_hash_table_foreach_remove(ctx->rests, is_over, &now_us);
	rest = g_new0(struct rest, 1);
	g_hash_table_insert(ctx->rests, key, rest);
	return rest;
}

/* A helper has no path to the endpoints of a service. */
static void set_rest(struct pth *ctx, const struct path *p, const char *helper,
		     int64_t now_us)
{
	struct rest *rest = get_rest(ctx, p, helper, now_us);

	rest->until_us = now_us + MIN(REST_MIN_US << MIN(rest->failures, 3),
				      REST_MAX_US);
	rest->failures++;
}

/* A helper did not answer. */
static void set_short_rest(struct pth *ctx, const struct path *p,
			   const char *helper, int64_t now_us)
{
	struct rest *rest = get_rest(ctx, p, helper, now_us);

	rest->until_us = MAX(rest->until_us, now_us + REST_SHORT_US);
}

static void end_rest(struct pth *ctx, const struct path *p, const char *helper)
{
	char *key = rest_key(p, helper);

	g_hash_table_remove(ctx->rests, key);
	g_free(key);
}

static bool rests(const struct pth *ctx, const struct path *p,
		  const char *helper, int64_t now_us)
{
	char *key = rest_key(p, helper);
	const struct rest *rest = g_hash_table_lookup(ctx->rests, key);

	g_free(key);
	return rest && now_us < rest->until_us;
}

static bool is_in(const char *const *list, const char *id)
{
	for (size_t i = 0; list && list[i]; i++)
		if (!strcmp(list[i], id))
			return true;
	return false;
}

/* Returns whether one of the helpers in the list is of this instance's site. */
static bool tried_own_site(const struct pth *ctx, const char *const *list)
{
	for (size_t i = 0; list && list[i]; i++) {
		const Dsp__Node *node = view_node(ctx->view, list[i]);

		if (node && ctx->site && !strcmp(node->site, ctx->site))
			return true;
	}
	return false;
}

static double load_of(const struct pth *ctx, const Dsp__Node *node)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(ctx->loads, node->id)) /
	       (double)MAX(node->weight, 1);
}

/*
 * Chooses among the instances that take requests of others: those of the own
 * site first, unless one of them has failed already, since a whole site may
 * have lost its paths; then the one with the fewest requests of this instance,
 * and among equals a random one, so that the instances of a site use all
 * others.
 */
static const Dsp__Node *choose_helper(struct pth *ctx, const struct path *p,
				      const char *const *avoid, int64_t now_us)
{
	bool leave_site = tried_own_site(ctx, avoid);
	const Dsp__Node *best = NULL;
	bool best_near = false;
	unsigned equals = 0;

	for (size_t i = 0; i < view_n_nodes(ctx->view); i++) {
		const Dsp__Node *node = view_node_at(ctx->view, i);
		bool near = ctx->site && !strcmp(node->site, ctx->site);

		if (!node->detour_port || node->down || node->draining ||
		    !strcmp(node->id, ctx->self) || is_in(avoid, node->id) ||
		    rests(ctx, p, node->id, now_us))
			continue;
		if (leave_site)
			near = !near;
		if (best && (best_near > near ||
			     (best_near == near &&
			      load_of(ctx, best) < load_of(ctx, node))))
			continue;
		if (best && best_near == near &&
		    load_of(ctx, best) >= load_of(ctx, node) &&
		    load_of(ctx, best) <= load_of(ctx, node)) {
			equals++;
			if (g_rand_int_range(ctx->random, 0,
					     (gint32)equals + 1))
				continue;
		} else {
			equals = 0;
		}
		best = node;
		best_near = near;
	}
	return best;
}

const Dsp__Node *pth_helper(struct pth *ctx, const char *endpoint,
			    const char *const *avoid, int64_t now_us)
{
	const struct path *p = get(ctx, endpoint);

	return p ? choose_helper(ctx, p, avoid, now_us) : NULL;
}

/* Counts a request that is sent through a helper, until pth_detour_ended(). */
void pth_detour_begun(struct pth *ctx, const char *helper)
{
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(ctx->loads, helper));

	g_hash_table_insert(ctx->loads, g_strdup(helper),
			    GUINT_TO_POINTER(n + 1));
}

void pth_detour_ended(struct pth *ctx, const char *helper)
{
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(ctx->loads, helper));

	if (n > 1)
		g_hash_table_insert(ctx->loads, g_strdup(helper),
				    GUINT_TO_POINTER(n - 1));
	else
		g_hash_table_remove(ctx->loads, helper);
}

/* Returns the place of a helper among those that were asked, which has room for
 * it; PTH_HELPERS_MAX: there is none. */
static size_t add_asked(struct path *p, const char *helper)
{
	size_t i = 0;

	while (i < p->n_asked && strcmp(p->asked[i], helper) != 0)
		i++;
	if (i < p->n_asked || i == PTH_HELPERS_MAX)
		return i;
	p->unreached[i] = false;
	p->asked[p->n_asked++] = g_strdup(helper);
	return i;
}

static unsigned count_unreached(const struct path *p)
{
	unsigned n = 0;

	for (size_t i = 0; i < p->n_asked; i++)
		n += p->unreached[i];
	return n;
}

/* Takes into account that a helper does not reach an endpoint. */
static void note_reply(struct pth *ctx, struct path *p, const char *helper,
		       enum pth_reply reply, int64_t now_us)
{
	size_t i;

	switch (reply) {
	case PTH_REACHED:
		break;
	case PTH_UNREACHED:
		i = add_asked(p, helper);
		if (i < PTH_HELPERS_MAX)
			p->unreached[i] = true;
		break;
	case PTH_NO_PATH:
		set_rest(ctx, p, helper, now_us);
		break;
	case PTH_NO_REPLY:
		set_short_rest(ctx, p, helper, now_us);
		break;
	}
}

/* A helper did not pass a request on to the endpoint. If it did not reach it,
 * others are asked whether they do: the endpoint may have ended since. */
void pth_detour_failed(struct pth *ctx, const char *endpoint,
		       const char *helper, enum pth_reply reply, int64_t now_us)
{
	struct path *p = get(ctx, endpoint);

	if (!p)
		return;
	if (reply == PTH_UNREACHED && p->state == PTH_LOST) {
		if (is_in((const char *const *)p->asked, helper))
			return;
		p->in_doubt = true;
	}
	note_reply(ctx, p, helper, reply, now_us);
}

/* ---- Paths ---- */

/* Has the other endpoints of the service probed that were not reached since a
 * path was found lost: their paths are probably lost as well. */
static void suspect_others(struct pth *ctx, const struct path *lost,
			   int64_t now_us)
{
	for (size_t i = 0; i < view_n_endpoints(ctx->view); i++) {
		const Dsp__Endpoint *msg = view_endpoint_at(ctx->view, i);
		struct path *p;

		if (msg->state != DSP__ENDPOINT_STATE__ENDPOINT_UP ||
		    strcmp(msg->service, lost->msg->service) != 0)
			continue;
		p = get(ctx, msg->id);
		if (p != lost && p->state == PTH_OPEN && !p->due_us &&
		    p->connected_us <= lost->failed_us)
			p->due_us = now_us;
	}
}

static int64_t probe_interval_us(const struct pth *ctx)
{
	return MAX(PROBE_INTERVAL_US,
		   (int64_t)ctx->n_lost * 1000000 / PROBES_PER_S);
}

static void path_lost(struct pth *ctx, struct path *p, int64_t now_us)
{
	p->wanted = CONFIRMATIONS;
	if (p->found_us && now_us - p->found_us < RELAPSE_US)
		p->wanted = MIN(p->wanted * 2, CONFIRMATIONS_MAX);
	p->in_row = 0;
	p->due_us = now_us + probe_interval_us(ctx);
	set_state(ctx, p, PTH_LOST);
	suspect_others(ctx, p, now_us);
}

/* A helper reaches the endpoint. Those whose connection failed are of no use
 * for the service. */
static void reached_by(struct pth *ctx, struct path *p, const char *helper,
		       int64_t now_us)
{
	for (size_t i = 0; i < p->n_asked; i++)
		if (p->unreached[i] && strcmp(p->asked[i], helper) != 0)
			set_rest(ctx, p, p->asked[i], now_us);
	end_rest(ctx, p, helper);
	forget_asked(p);
	p->in_doubt = false;
	if (p->state == PTH_CHECKING)
		path_lost(ctx, p, now_us);
}

static void path_open(struct pth *ctx, struct path *p)
{
	p->in_row = 0;
	p->due_us = 0;
	p->in_doubt = false;
	forget_asked(p);
	set_state(ctx, p, PTH_OPEN);
}

/* This instance has opened a connection to the endpoint for a request. */
void pth_connected(struct pth *ctx, const char *endpoint, int64_t now_us)
{
	struct path *p = find(ctx, endpoint);

	if (!p)
		return;
	p->connected_us = now_us;
	if (p->state == PTH_CHECKING)
		path_open(ctx, p);
}

/* A connection to the endpoint failed. Helpers are asked about the endpoint,
 * but not all the time about one that has ended. */
void pth_unreached(struct pth *ctx, const char *endpoint, int64_t now_us)
{
	struct path *p = get(ctx, endpoint);

	if (!p)
		return;
	p->failed_us = now_us;
	if (p->state != PTH_OPEN)
		return;
	p->due_us = 0;
	if (p->checked_us && now_us - p->checked_us < CHECK_INTERVAL_US)
		return;
	forget_asked(p);
	set_state(ctx, p, PTH_CHECKING);
}

/* Takes a helper's reply to PTH_ASK. */
void pth_replied(struct pth *ctx, const char *endpoint, const char *helper,
		 enum pth_reply reply, int64_t now_us)
{
	struct path *p = find(ctx, endpoint);

	if (!p)
		return;
	set_idle(ctx, p);
	if (reply == PTH_REACHED)
		reached_by(ctx, p, helper, now_us);
	else
		note_reply(ctx, p, helper, reply, now_us);
}

/* Takes the result of PTH_PROBE. */
void pth_probed(struct pth *ctx, const char *endpoint, bool connected,
		int64_t now_us)
{
	struct path *p = find(ctx, endpoint);

	if (!p)
		return;
	set_idle(ctx, p);
	if (p->state == PTH_OPEN) {
		p->due_us = 0;
		if (connected)
			p->connected_us = now_us;
		else
			pth_unreached(ctx, endpoint, now_us);
		return;
	}
	if (p->state != PTH_LOST)
		return;
	p->due_us = now_us + probe_interval_us(ctx);
	p->in_row = connected ? p->in_row + 1 : 0;
	if (p->in_row < p->wanted)
		return;
	p->connected_us = now_us;
	p->found_us = now_us;
	path_open(ctx, p);
}

/*
 * Ends a check without a helper that reaches the endpoint. It has ended if
 * several do not; otherwise nobody can say: a lost path stays lost, and an open
 * one is checked again soon.
 */
static void end_check(struct pth *ctx, struct path *p, int64_t now_us)
{
	unsigned unreached = count_unreached(p);
	bool ended = unreached >= UNREACHED_MIN;

	p->checked_us = now_us;
	if (!unreached)
		p->checked_us -= CHECK_INTERVAL_US - REST_SHORT_US;
	if (p->state == PTH_LOST && !ended) {
		p->in_doubt = false;
		forget_asked(p);
		return;
	}
	path_open(ctx, p);
}

static bool next_of(struct pth *ctx, struct path *p, int64_t now_us,
		    struct pth_action *out)
{
	if (p->state == PTH_CHECKING || p->in_doubt) {
		out->kind = PTH_ASK;
		out->helper = NULL;
		if (p->n_asked < PTH_HELPERS_MAX)
			out->helper = choose_helper(
				ctx, p, (const char *const *)p->asked, now_us);
		if (!out->helper) {
			end_check(ctx, p, now_us);
			return false;
		}
		add_asked(p, out->helper->id);
	} else {
		if (!p->due_us || now_us < p->due_us)
			return false;
		out->kind = PTH_PROBE;
		out->helper = NULL;
	}
	p->busy_us = now_us;
	ctx->n_busy++;
	out->endpoint = p->msg;
	return true;
}

/* Returns false if there is nothing to do now. */
bool pth_next(struct pth *ctx, int64_t now_us, struct pth_action *out)
{
	GHashTableIter iter;
	struct path *p;

	g_hash_table_iter_init(&iter, ctx->paths);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (p->busy_us && now_us - p->busy_us > ACTION_LIMIT_US)
			set_idle(ctx, p);
		if (!p->busy_us && ctx->n_busy < ACTIONS_MAX &&
		    next_of(ctx, p, now_us, out))
			return true;
	}
	return false;
}

bool pth_take_change(struct pth *ctx)
{
	bool changed = ctx->changed;

	ctx->changed = false;
	return changed;
}

/* Returns what is known of the path to an endpoint. */
enum pth_state pth_state_of(const struct pth *ctx, const char *endpoint)
{
	const struct path *p = find(ctx, endpoint);

	return p ? p->state : PTH_OPEN;
}

/* Returns the number of endpoints whose path is lost. */
size_t pth_n_lost(const struct pth *ctx)
{
	return ctx->n_lost;
}
