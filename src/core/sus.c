#include "core/sus.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

/* A part in an answer that began within this time is not blamed for a crash. */
#define PROVEN_US 1000000
/* A crash counts against repeats of requests with the same part. */
#define CRASHED_US 10000000
/* Crashes within this time may have one cause other than the request. */
#define JOINT_US 600000
/* Endpoints that one request may crash before it is no longer repeated. */
#define CRASHES_MAX 2
/* Interval of the requests for a grant for one part, and for one request. */
#define TRY_US 200000
#define TRY_REQUEST_US 50000
/* A report that a part has begun is repeated if the part is still suspected. */
#define REPORT_US 500000
/* A request with several parts in quarantine is tried later by this time for
 * each further one, so that one with a single such part goes first. */
#define OTHER_PART_MS 1000
/* Bounds the table; the parts that were used least recently go first. */
#define PARTS_MAX 4096

/* What an entry knows of one part, or of one request. */
struct part {
	TAILQ_ENTRY(part) link;
	uint8_t digest[SUS_DIGEST_LEN];
	int64_t proven_us;  /* start of the last proven answer */
	int64_t crashed_us; /* first of the last joint crashes here */
	int64_t earlier_us; /* first of the joint crashes before those */
	/* From the view; first_ms 0: not suspected. */
	uint64_t first_ms;
	uint64_t retry_ms;
	bool quarantined;
	bool running;
	bool request;	     /* a whole request */
	uint64_t view;	     /* number of the view that it was last in */
	int64_t seen_us;     /* since when the view has the record */
	int64_t reported_us; /* last report that it has begun */
	int64_t tried_us;    /* last request for a grant */
};
TAILQ_HEAD(part_list, part);

struct sus {
	GHashTable *by_digest;
	struct part_list parts;	    /* not suspected; longest unused first */
	struct part_list suspected; /* in the view */
	size_t n_parts;		    /* in parts */
	uint64_t view;
};

/* Longer ago than any time that is compared. */
#define NEVER (INT64_MIN / 2)

static guint digest_hash(gconstpointer p)
{
	guint hash;

	memcpy(&hash, p, sizeof(hash));
	return hash;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, SUS_DIGEST_LEN);
}

/* Creates an entry's table, without parts. */
struct sus *sus_new(void)
{
	struct sus *ctx = g_new0(struct sus, 1);

	ctx->by_digest = g_hash_table_new(digest_hash, digest_equal);
	TAILQ_INIT(&ctx->parts);
	TAILQ_INIT(&ctx->suspected);
	return ctx;
}

static void free_list(struct part_list *list)
{
	struct part *p;

	while ((p = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, p, link);
		g_free(p);
	}
}

/* Frees the table; NULL is allowed. */
void sus_free(struct sus *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->by_digest);
	free_list(&ctx->parts);
	free_list(&ctx->suspected);
	g_free(ctx);
}

static struct part *find_part(const struct sus *ctx, const uint8_t *digest)
{
	return g_hash_table_lookup(ctx->by_digest, digest);
}

static void insert_unsuspected(struct sus *ctx, struct part *p)
{
	struct part *oldest;

	TAILQ_INSERT_TAIL(&ctx->parts, p, link);
	if (++ctx->n_parts <= PARTS_MAX)
		return;
	oldest = TAILQ_FIRST(&ctx->parts);
	TAILQ_REMOVE(&ctx->parts, oldest, link);
	ctx->n_parts--;
	g_hash_table_remove(ctx->by_digest, oldest->digest);
	g_free(oldest);
}

/* Returns the part as the one that was used last; adds it if it is new. */
static struct part *use_part(struct sus *ctx, const uint8_t *digest)
{
	struct part *p = find_part(ctx, digest);

	if (p && p->first_ms)
		return p;
	if (p) {
		TAILQ_REMOVE(&ctx->parts, p, link);
		TAILQ_INSERT_TAIL(&ctx->parts, p, link);
		return p;
	}
	p = g_new0(struct part, 1);
	memcpy(p->digest, digest, SUS_DIGEST_LEN);
	p->proven_us = NEVER;
	p->crashed_us = NEVER;
	p->earlier_us = NEVER;
	p->tried_us = NEVER;
	g_hash_table_insert(ctx->by_digest, p->digest, p);
	insert_unsuspected(ctx, p);
	return p;
}

static void note_suspect(struct sus *ctx, const Dsp__Suspect *msg,
			 int64_t now_us)
{
	struct part *p = use_part(ctx, msg->digest.data);

	if (!p->first_ms) {
		TAILQ_REMOVE(&ctx->parts, p, link);
		ctx->n_parts--;
		TAILQ_INSERT_TAIL(&ctx->suspected, p, link);
	}
	if (p->first_ms != msg->first_ms) {
		p->first_ms = msg->first_ms;
		p->seen_us = now_us;
		p->reported_us = NEVER;
	}
	p->request = msg->request;
	p->quarantined = msg->quarantined;
	p->retry_ms = msg->retry_ms;
	p->running = *msg->running_endpoint;
	p->view = ctx->view;
}

/* Notes which parts are suspected in the view and for how long. */
void sus_view(struct sus *ctx, const struct view *view, int64_t now_us)
{
	size_t n = view_n_suspects(view);
	struct part *p, *next;

	ctx->view++;
	for (size_t i = 0; i < n; i++) {
		const Dsp__Suspect *msg = view_suspect_at(view, i);

		if (msg->part && msg->first_ms &&
		    msg->digest.len == SUS_DIGEST_LEN)
			note_suspect(ctx, msg, now_us);
	}
	for (p = TAILQ_FIRST(&ctx->suspected); p; p = next) {
		next = TAILQ_NEXT(p, link);
		if (p->view == ctx->view)
			continue;
		TAILQ_REMOVE(&ctx->suspected, p, link);
		if (p->request)
			p->crashed_us = NEVER; /* it has been cleared */
		p->first_ms = 0;
		p->quarantined = false;
		p->running = false;
		insert_unsuspected(ctx, p);
	}
}

static size_t n_parts(const struct sus_parts *parts)
{
	return MIN(parts->n, SUS_PARTS_MAX);
}

/*
 * Notes a part as proven. Only an answer that began after the record was seen,
 * and so after the crash, is evidence that the part is sound. Returns whether
 * it is to be reported.
 */
static bool note_begun(struct part *p, int64_t started_us, int64_t now_us)
{
	p->proven_us = MAX(p->proven_us, started_us);
	if (!p->first_ms || started_us < p->seen_us ||
	    now_us - p->reported_us < REPORT_US)
		return false;
	p->reported_us = now_us;
	return true;
}

/* Notes the request and its parts as proven. */
size_t sus_begun(struct sus *ctx, const struct sus_parts *parts,
		 int64_t started_us, int64_t now_us,
		 uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN])
{
	size_t n = 0;
	struct part *p;

	for (size_t i = 0; i < n_parts(parts); i++) {
		p = use_part(ctx, parts->digests[i]);
		if (note_begun(p, started_us, now_us))
			memcpy(out[n++], p->digest, SUS_DIGEST_LEN);
	}
	return n + sus_answered(ctx, parts, started_us, now_us, out + n);
}

/* Notes the request as proven. Few requests come again: only those in doubt are
 * remembered. */
size_t sus_answered(struct sus *ctx, const struct sus_parts *parts,
		    int64_t started_us, int64_t now_us,
		    uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN])
{
	struct part *p = find_part(ctx, parts->request);

	if (!p || !note_begun(p, started_us, now_us))
		return 0;
	memcpy(out[0], p->digest, SUS_DIGEST_LEN);
	return 1;
}

/* A part that crashed an endpoint here is proven by a later answer only. */
static bool is_proven(const struct part *p, int64_t now_us)
{
	return p->proven_us > p->crashed_us &&
	       now_us - p->proven_us < PROVEN_US + SUS_PROOF_US;
}

static bool contains(uint8_t out[][SUS_DIGEST_LEN], size_t n,
		     const uint8_t *digest)
{
	for (size_t i = 0; i < n; i++)
		if (!memcmp(out[i], digest, SUS_DIGEST_LEN))
			return true;
	return false;
}

/* Collects the parts that may have crashed the endpoint, each once. */
size_t sus_crashed(struct sus *ctx, const struct sus_parts *const *requests,
		   size_t n, int64_t now_us,
		   uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN])
{
	size_t n_out = 0;

	for (size_t i = 0; i < n; i++) {
		for (size_t j = 0; j < n_parts(requests[i]); j++) {
			struct part *p = use_part(ctx, requests[i]->digests[j]);

			if (is_proven(p, now_us) ||
			    contains(out, n_out, p->digest))
				continue;
			if (n_out >= SUS_REPORT_MAX)
				return n_out;
			memcpy(out[n_out++], p->digest, SUS_DIGEST_LEN);
			if (now_us - p->crashed_us < JOINT_US)
				continue;
			p->earlier_us = p->crashed_us;
			p->crashed_us = now_us;
		}
	}
	return n_out;
}

static bool is_known(const uint8_t digest[SUS_DIGEST_LEN])
{
	static const uint8_t none[SUS_DIGEST_LEN];

	return memcmp(digest, none, SUS_DIGEST_LEN) != 0;
}

/* Collects the requests that may have crashed the endpoint, each once. */
size_t sus_requests_crashed(struct sus *ctx,
			    const struct sus_parts *const *requests, size_t n,
			    int64_t now_us,
			    uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN])
{
	size_t n_out = 0;

	for (size_t i = 0; i < n && n_out < SUS_REPORT_MAX; i++) {
		struct part *p;

		if (!is_known(requests[i]->request) ||
		    contains(out, n_out, requests[i]->request))
			continue;
		p = use_part(ctx, requests[i]->request);
		p->request = true;
		if (is_proven(p, now_us))
			continue;
		p->crashed_us = now_us;
		memcpy(out[n_out++], p->digest, SUS_DIGEST_LEN);
	}
	return n_out;
}

/* Notes that a grant is asked for. */
void sus_asked(struct sus *ctx, const uint8_t digest[SUS_DIGEST_LEN],
	       int64_t now_us)
{
	use_part(ctx, digest)->tried_us = now_us;
}

/* Whether the part was in a crash before the present one. */
static bool is_in_doubt(const struct part *p, int64_t now_us)
{
	int64_t age_us = now_us - p->crashed_us;

	if (is_proven(p, now_us))
		return false;
	if (p->first_ms)
		return true;
	if (age_us < JOINT_US)
		age_us = now_us - p->earlier_us;
	return age_us < CRASHED_US;
}

static struct sus_decision refuse(const struct part *p, int64_t retry_us)
{
	struct sus_decision out = {
		.action = SUS_REFUSE,
		.retry_us = MAX(retry_us, 0),
	};

	memcpy(out.digest, p->digest, SUS_DIGEST_LEN);
	return out;
}

/* Decides about a repeat after a crash; action SUS_SEND: no objection. */
static struct sus_decision decide_repeat(const struct sus *ctx,
					 const struct sus_parts *parts,
					 uint32_t crashes, int64_t now_us)
{
	const struct sus_decision send = { .action = SUS_SEND };

	for (size_t i = 0; i < n_parts(parts); i++) {
		const struct part *p = find_part(ctx, parts->digests[i]);

		if (p && (is_in_doubt(p, now_us) ||
			  (crashes >= CRASHES_MAX && !is_proven(p, now_us))))
			return refuse(p, 0);
	}
	return send;
}

/*
 * Decides about the whole request. From its first crash on it runs with a
 * grant, one run at a time, so that a crash tells which request it is due to.
 */
static struct sus_decision decide_request(const struct sus *ctx,
					  const struct sus_parts *parts,
					  int64_t now_us, int64_t wall_ms)
{
	const struct part *p = find_part(ctx, parts->request);
	struct sus_decision out = { .action = SUS_SEND };
	int64_t wait_us;

	if (!p || p->proven_us > MAX(p->crashed_us, p->seen_us) ||
	    (!p->first_ms && now_us - p->crashed_us >= CRASHED_US))
		return out;
	out.request = true;
	out.unrecorded = !p->first_ms;
	memcpy(out.digest, p->digest, SUS_DIGEST_LEN);
	wait_us = ((int64_t)p->retry_ms - wall_ms) * 1000;
	if (p->quarantined && wait_us > 0) {
		out.action = SUS_REFUSE;
		out.retry_us = wait_us;
	} else if (p->running || now_us - p->tried_us < TRY_REQUEST_US) {
		out.action = SUS_WAIT;
	} else {
		out.action = SUS_TRY;
	}
	return out;
}

static struct sus_decision try_part(struct part *p, size_t n_quarantined,
				    int64_t now_us, int64_t wall_ms)
{
	struct sus_decision out = { .action = SUS_TRY };
	int64_t wait_us =
		((int64_t)p->retry_ms +
		 (int64_t)(n_quarantined - 1) * OTHER_PART_MS - wall_ms) *
		1000;

	wait_us = MAX(wait_us, p->tried_us + TRY_US - now_us);
	if (p->running)
		wait_us = MAX(wait_us, TRY_US);
	if (wait_us > 0)
		return refuse(p, wait_us);
	p->tried_us = now_us;
	memcpy(out.digest, p->digest, SUS_DIGEST_LEN);
	return out;
}

/*
 * Decides whether a request is sent. With several parts in quarantine, the one
 * that is barred longest decides: a trial of another one would run it too.
 */
struct sus_decision sus_decide(struct sus *ctx, const struct sus_parts *parts,
			       uint32_t crashes, int64_t now_us,
			       int64_t wall_ms)
{
	struct sus_decision out = { .action = SUS_SEND };
	struct part *longest = NULL;
	size_t n_quarantined = 0;

	if (crashes)
		out = decide_repeat(ctx, parts, crashes, now_us);
	if (out.action != SUS_SEND)
		return out;
	for (size_t i = 0; i < n_parts(parts); i++) {
		struct part *p = find_part(ctx, parts->digests[i]);

		if (!p || !p->quarantined)
			continue;
		n_quarantined++;
		if (!longest || p->retry_ms > longest->retry_ms)
			longest = p;
	}
	if (!longest)
		return decide_request(ctx, parts, now_us, wall_ms);
	if (crashes)
		return refuse(longest, 0);
	return try_part(longest, n_quarantined, now_us, wall_ms);
}

/* Whether another part than the one with this digest is in quarantine. */
bool sus_has_other(const struct sus *ctx, const struct sus_parts *parts,
		   const uint8_t digest[SUS_DIGEST_LEN])
{
	for (size_t i = 0; i < n_parts(parts); i++) {
		const struct part *p = find_part(ctx, parts->digests[i]);

		if (p && p->quarantined &&
		    memcmp(p->digest, digest, SUS_DIGEST_LEN) != 0)
			return true;
	}
	return false;
}
