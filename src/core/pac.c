#include "core/pac.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Assignments remembered for each engine, until their streams have probably
 * ended. More than a batch has places. */
#define ASSIGNED_MAX 48
#define STREAM_MAX_US 8000000
/* Duration of a stream, assumed until some are known. */
#define DEFAULT_STREAM_US 2000000
/* Assignments that wait to be sent to the other coordinators. */
#define UNTAKEN_MAX 512
/* Interval at which engines without assignments are forgotten. */
#define SWEEP_US 1000000
/* Cost of a stream that is late, at its first event or between two. */
#define LATE_COST_MS 2500.0
/* Share of streams with a gap above their objective, by the share b of a window
 * that goes to prompts: LATE_SQUARE x (b - BUSY_FREE)^2 up to BUSY_LINEAR, then
 * a line. Measured on a day of the second deployment: 1.6 %, 5.9 % and 13 %
 * with one, two and three other prompts in 250 ms, 45 % with eight. */
#define BUSY_FREE 0.3
#define BUSY_LINEAR 1.2
#define LATE_SQUARE 0.18
#define LATE_LINEAR 0.2
/* The first event is late for certain this long after the time that the asker
 * has for it, and not late this long before. */
#define FIRST_SPREAD_MS 60.0
/* Cost of a wait, apart from that: small, as callers see only late events. */
#define WAIT_WEIGHT 0.1
/* A wait at the engine costs this much more: there no other engine can take the
 * prompt. */
#define WAIT_AT_ENGINE 0.5
/* Costs of a full batch, and of a wait for a place in it, which grows with the
 * cube of the occupied share. As in core/bal.c. */
#define BATCH_COST_MS 120.0
#define PLACE_COST_MS 600.0
/* An entry coordinates for about this many, and at least COORDINATORS_MIN do,
 * so that the loss of one affects a part of the models. */
#define ENTRIES_PER_COORDINATOR 20
#define COORDINATORS_MIN 4

struct assigned {
	int64_t start_us;
	int64_t end_us;	  /* of its prefill */
	int64_t until_us; /* of its stream */
};

struct engine {
	char *id;
	uint64_t incarnation;
	struct assigned all[ASSIGNED_MAX];
	size_t n;
};

struct pac {
	GHashTable *engines; /* id -> struct engine */
	GArray *untaken;     /* struct pac_send */
	int64_t swept_us;
	int64_t stream_us; /* average expected duration; 0: unknown */
};

static void engine_free(void *data)
{
	struct engine *e = data;

	g_free(e->id);
	g_free(e);
}

static void send_clear(void *data)
{
	struct pac_send *send = data;

	g_free(send->id);
}

/* Creates a coordinator that has assigned nothing. */
struct pac *pac_new(void)
{
	struct pac *ctx = g_new0(struct pac, 1);

	ctx->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     engine_free);
	ctx->untaken = g_array_new(FALSE, FALSE, sizeof(struct pac_send));
	return ctx;
}

/* Frees the coordinator; NULL is allowed. */
void pac_free(struct pac *ctx)
{
	if (!ctx)
		return;
	for (guint i = 0; i < ctx->untaken->len; i++)
		send_clear(&g_array_index(ctx->untaken, struct pac_send, i));
	g_array_free(ctx->untaken, TRUE);
	g_hash_table_destroy(ctx->engines);
	g_free(ctx);
}

static void expire(struct engine *e, int64_t now_us)
{
	size_t kept = 0;

	for (size_t i = 0; i < e->n; i++)
		if (e->all[i].until_us > now_us)
			e->all[kept++] = e->all[i];
	e->n = kept;
}

static gboolean is_idle(void *key, void *value, void *data)
{
	struct engine *e = value;

	(void)key;
	expire(e, *(const int64_t *)data);
	return !e->n;
}

static void sweep(struct pac *ctx, int64_t now_us)
{
	if (now_us - ctx->swept_us < SWEEP_US)
		return;
	ctx->swept_us = now_us;
	g_hash_table_foreach_remove(ctx->engines, is_idle, &now_us);
}

/* Returns the engine's assignments. Those of an earlier process are dropped. */
static struct engine *engine_of(struct pac *ctx, const char *id,
				uint64_t incarnation)
{
	struct engine *e = g_hash_table_lookup(ctx->engines, id);

	if (!e) {
		e = g_new0(struct engine, 1);
		e->id = g_strdup(id);
		e->incarnation = incarnation;
		g_hash_table_insert(ctx->engines, e->id, e);
	}
	if (e->incarnation != incarnation) {
		e->incarnation = incarnation;
		e->n = 0;
	}
	return e;
}

static void add(struct engine *e, int64_t start_us, int64_t prefill_us,
		int64_t stream_us)
{
	size_t at = e->n;

	if (at == ASSIGNED_MAX) {
		at = 0;
		for (size_t i = 1; i < e->n; i++)
			if (e->all[i].start_us < e->all[at].start_us)
				at = i;
	} else {
		e->n++;
	}
	e->all[at].start_us = start_us;
	e->all[at].end_us = start_us + prefill_us;
	e->all[at].until_us = e->all[at].end_us +
			      CLAMP(stream_us, PAC_WINDOW_US, STREAM_MAX_US);
}

/* Returns how much of the window that starts at from_us goes to prompts that
 * start in it. */
static int64_t busy_from(const struct engine *e, int64_t from_us)
{
	int64_t busy_us = 0;

	for (size_t i = 0; i < e->n; i++)
		if (e->all[i].start_us >= from_us &&
		    e->all[i].start_us < from_us + PAC_WINDOW_US)
			busy_us += e->all[i].end_us - e->all[i].start_us;
	return busy_us;
}

/* Returns the highest share of a window around start_us that would go to
 * prompts with one more that starts then. */
static double busy_with(const struct engine *e, int64_t start_us,
			int64_t prefill_us)
{
	int64_t most_us = busy_from(e, start_us);

	for (size_t i = 0; i < e->n; i++)
		if (e->all[i].start_us < start_us &&
		    e->all[i].start_us > start_us - PAC_WINDOW_US)
			most_us =
				MAX(most_us, busy_from(e, e->all[i].start_us));
	return (double)(most_us + prefill_us) / PAC_WINDOW_US;
}

/* Returns when a prompt ends that starts at start_us: an engine processes one
 * after the other. The assignments are in the order of their starts. */
static int64_t end_of(const struct engine *e, int64_t start_us,
		      int64_t prefill_us)
{
	int64_t free_us = 0;

	for (size_t i = 0; i < e->n && e->all[i].start_us <= start_us; i++)
		free_us = MAX(free_us, e->all[i].start_us) + e->all[i].end_us -
			  e->all[i].start_us;
	return MAX(free_us, start_us) + prefill_us;
}

/* Share of streams that are late where this share of a window goes to prompts.
 */
static double late_share(double busy)
{
	double over = CLAMP(busy, BUSY_FREE, BUSY_LINEAR) - BUSY_FREE;

	return LATE_SQUARE * over * over +
	       LATE_LINEAR * MAX(busy - BUSY_LINEAR, 0);
}

/* Requests at the engine: those that were seen and the assignments since, or
 * all assignments whose streams still run, whichever is more. */
static double load_of(const struct engine *e, const struct pac_engine *offer)
{
	double load = offer->load;

	if (!e)
		return load;
	for (size_t i = 0; i < e->n; i++)
		load += e->all[i].start_us > offer->load_us;
	return MAX(load, (double)e->n);
}

static double load_cost_ms(double load, const struct pac_engine *offer)
{
	double occupied = load / MAX(offer->places, 1);

	return BATCH_COST_MS * occupied +
	       PLACE_COST_MS * occupied * occupied * occupied;
}

/* Cost of a start at an engine: gaps of the streams there and of the prompt's
 * own, and a late first event. */
static double start_cost_ms(const struct engine *near,
			    const struct pac_engine *offer, double load,
			    const struct pac_query *query,
			    struct pac_slot *slot)
{
	int64_t start_us = query->now_us + slot->delay_us;
	int64_t first_us =
		end_of(near, start_us, offer->prefill_us) - query->now_us;
	double at_engine_us =
		(double)(first_us - offer->prefill_us - slot->delay_us);
	double behind_ms = (double)(first_us - query->wait_max_us) / 1000;
	double first = CLAMP(0.5 + behind_ms / (2 * FIRST_SPREAD_MS), 0, 1);
	double before;

	slot->busy = busy_with(near, start_us, offer->prefill_us);
	before = busy_with(near, start_us, 0);
	return LATE_COST_MS * ((load + 1) * (late_share(slot->busy) -
					     late_share(before)) +
			       first) +
	       WAIT_WEIGHT *
		       (double)(first_us + WAIT_AT_ENGINE * at_engine_us) /
		       1000;
}

/* Copies the assignments that can meet one that starts at now_us or later, in
 * the order of their starts. */
static void copy_near(struct engine *near, const struct engine *e,
		      int64_t now_us)
{
	near->n = 0;
	for (size_t i = 0; e && i < e->n; i++) {
		const struct assigned *a = &e->all[i];
		size_t at = near->n;

		if (MAX(a->end_us, a->start_us + PAC_WINDOW_US) <= now_us)
			continue;
		for (; at && near->all[at - 1].start_us > a->start_us; at--)
			near->all[at] = near->all[at - 1];
		near->all[at] = *a;
		near->n++;
	}
}

/* Offers the best start at one engine: at once, when a prompt that was assigned
 * before ends, or a window after it began. */
static void offer_starts(const struct engine *e, const struct pac_engine *offer,
			 const struct pac_query *query, size_t index,
			 bool *found, struct pac_slot *slot)
{
	double load = load_of(e, offer);
	double base_ms = offer->cost_ms + load_cost_ms(load, offer);
	struct engine near;

	copy_near(&near, e, query->now_us);
	for (size_t i = 0; i <= 2 * near.n; i++) {
		struct pac_slot next = { .engine = index };

		if (i > near.n)
			next.delay_us = near.all[i - near.n - 1].start_us +
					PAC_WINDOW_US - query->now_us;
		else if (i)
			next.delay_us =
				end_of(&near, near.all[i - 1].start_us, 0) -
				query->now_us;
		if (next.delay_us < 0 || next.delay_us > query->wait_max_us)
			continue;
		next.cost_ms = base_ms +
			       start_cost_ms(&near, offer, load, query, &next);
		if (*found && next.cost_ms >= slot->cost_ms)
			continue;
		*found = true;
		*slot = next;
	}
}

/* Has pac_take() return a prompt that was assigned, or that an entry has sent
 * by its own decision. */
void pac_pass_on(struct pac *ctx, const char *id, uint64_t incarnation,
		 uint32_t tokens, int64_t start_us)
{
	struct pac_send send = {
		.incarnation = incarnation,
		.tokens = tokens,
		.start_us = start_us,
	};

	if (ctx->untaken->len >= UNTAKEN_MAX)
		return;
	send.id = g_strdup(id);
	g_array_append_val(ctx->untaken, send);
}

static void count_stream(struct pac *ctx, int64_t stream_us)
{
	if (!ctx->stream_us)
		ctx->stream_us = DEFAULT_STREAM_US;
	ctx->stream_us += (stream_us - ctx->stream_us) / 16;
}

/*
 * Assigns a prompt to one of the engines offered, at the time at which it is
 * expected to make the fewest streams late, itself included. Returns false if n
 * is 0.
 */
bool pac_assign(struct pac *ctx, const struct pac_engine *engines, size_t n,
		const struct pac_query *query, struct pac_slot *slot)
{
	const struct pac_engine *chosen;
	int64_t start_us;
	bool found = false;

	sweep(ctx, query->now_us);
	for (size_t i = 0; i < n; i++) {
		struct engine *e =
			g_hash_table_lookup(ctx->engines, engines[i].id);

		if (e && e->incarnation != engines[i].incarnation)
			e = NULL;
		if (e)
			expire(e, query->now_us);
		offer_starts(e, &engines[i], query, i, &found, slot);
	}
	if (!found)
		return false;
	chosen = &engines[slot->engine];
	start_us = query->now_us + slot->delay_us;
	count_stream(ctx, chosen->stream_us);
	add(engine_of(ctx, chosen->id, chosen->incarnation), start_us,
	    chosen->prefill_us, chosen->stream_us);
	pac_pass_on(ctx, chosen->id, chosen->incarnation, query->tokens,
		    start_us);
	return true;
}

/* Records a prompt that this coordinator has not assigned. */
void pac_observe(struct pac *ctx, const char *id, uint64_t incarnation,
		 int64_t prefill_us, int64_t start_us, int64_t now_us)
{
	struct engine *e;

	sweep(ctx, now_us);
	e = engine_of(ctx, id, incarnation);
	expire(e, now_us);
	add(e, start_us, prefill_us,
	    ctx->stream_us ? ctx->stream_us : DEFAULT_STREAM_US);
}

/* Moves up to max of the prompts assigned since the last call to out. */
size_t pac_take(struct pac *ctx, struct pac_send *out, size_t max)
{
	size_t n = MIN(max, ctx->untaken->len);

	if (!n)
		return 0;
	memcpy(out, ctx->untaken->data, n * sizeof(*out));
	g_array_remove_range(ctx->untaken, 0, (guint)n);
	return n;
}

/* Returns the number of engines with assignments that are remembered. */
size_t pac_engines(const struct pac *ctx)
{
	return g_hash_table_size(ctx->engines);
}

/* Returns the number of assignments that the others are not told yet. */
size_t pac_untaken(const struct pac *ctx)
{
	return ctx->untaken->len;
}

/* ---- Coordinators ---- */

static bool is_entry(const Dsp__Node *node)
{
	return node->http_address[0] && !node->down && !node->draining;
}

/* Rendezvous hash; a node of twice the weight is chosen twice as often. */
static double rank_of(const Dsp__Node *node, uint64_t seed)
{
	uint64_t hash = XXH3_64bits_withSeed(node->id, strlen(node->id), seed);
	double unit = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);

	return -MAX(node->weight, 1) / log(unit);
}

static void insert_ranked(const Dsp__Node **out, double *ranks, size_t *n,
			  size_t max, const Dsp__Node *node)
{
	double rank = rank_of(node, 0);
	size_t at = *n;

	while (at && ranks[at - 1] < rank)
		at--;
	if (at >= max)
		return;
	*n = MIN(*n + 1, max);
	for (size_t i = *n - 1; i > at; i--) {
		out[i] = out[i - 1];
		ranks[i] = ranks[i - 1];
	}
	out[at] = node;
	ranks[at] = rank;
}

/*
 * Fills in the entries that coordinate and returns their number. Control
 * instances are left out if there are enough others. When one leaves the view
 * another takes its place, and the models of the others stay where they are.
 */
size_t pac_coordinators(const struct view *view,
			const Dsp__Node *out[PAC_COORDINATORS_MAX])
{
	double ranks[PAC_COORDINATORS_MAX];
	size_t entries = 0;
	size_t others = 0;
	size_t n = 0;
	size_t max;

	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		entries += is_entry(node);
		others += is_entry(node) && !node->control;
	}
	max = (entries + ENTRIES_PER_COORDINATOR - 1) / ENTRIES_PER_COORDINATOR;
	max = CLAMP(max, COORDINATORS_MIN, PAC_COORDINATORS_MAX);
	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		if (is_entry(node) && (!node->control || others < max))
			insert_ranked(out, ranks, &n, max, node);
	}
	return n;
}

/* Returns the coordinator of a model, or NULL if there is none. */
const Dsp__Node *pac_coordinator(const Dsp__Node *const *coordinators, size_t n,
				 const char *model)
{
	uint64_t seed = XXH3_64bits(model, strlen(model));
	const Dsp__Node *best = NULL;
	double most = 0;

	for (size_t i = 0; i < n; i++) {
		double rank = rank_of(coordinators[i], seed);

		if (best && rank <= most)
			continue;
		best = coordinators[i];
		most = rank;
	}
	return best;
}
