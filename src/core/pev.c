#include "core/pev.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

/* Limits of the evidence that is kept, some 100 KB. */
#define CRASHES_MAX 128
#define CRASH_DIGESTS_MAX 256
#define BEGUN_MAX 1024
#define DIGESTS_MAX 4096
/* Evidence that could not be passed on for this long is dropped: more recent
 * requests with these parts say more. */
#define EXPIRY_US 5000000
#define DIGEST_LEN 16

struct crash {
	TAILQ_ENTRY(crash) link;
	char *endpoint;
	uint64_t incarnation;
	GHashTable *digests;  /* GBytes */
	GHashTable *requests; /* GBytes */
	int64_t added_us;
};

struct pev {
	TAILQ_HEAD(, crash) crashes; /* oldest first */
	unsigned n_crashes;
	unsigned n_digests; /* of all crashes */
	GHashTable *begun;  /* GBytes */
	int64_t begun_us;   /* when the newest of them was added */
};

static GHashTable *digest_set(void)
{
	return g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				     (GDestroyNotify)g_bytes_unref, NULL);
}

/* Creates an empty collection. */
struct pev *pev_new(void)
{
	struct pev *ctx = g_new0(struct pev, 1);

	TAILQ_INIT(&ctx->crashes);
	ctx->begun = digest_set();
	return ctx;
}

static unsigned n_digests_of(const struct crash *c)
{
	return g_hash_table_size(c->digests) + g_hash_table_size(c->requests);
}

static void remove_crash(struct pev *ctx, struct crash *c)
{
	TAILQ_REMOVE(&ctx->crashes, c, link);
	ctx->n_crashes--;
	ctx->n_digests -= n_digests_of(c);
	g_hash_table_destroy(c->digests);
	g_hash_table_destroy(c->requests);
	g_free(c->endpoint);
	g_free(c);
}

/* Frees the collection; NULL is allowed. */
void pev_free(struct pev *ctx)
{
	if (!ctx)
		return;
	while (!TAILQ_EMPTY(&ctx->crashes))
		remove_crash(ctx, TAILQ_FIRST(&ctx->crashes));
	g_hash_table_destroy(ctx->begun);
	g_free(ctx);
}

/* Removes expired evidence and returns the number of its digests. */
static unsigned expire(struct pev *ctx, int64_t now_us)
{
	unsigned before = ctx->n_digests;
	unsigned dropped = 0;
	struct crash *c;

	while ((c = TAILQ_FIRST(&ctx->crashes)) &&
	       now_us - c->added_us > EXPIRY_US)
		remove_crash(ctx, c);
	if (now_us - ctx->begun_us > EXPIRY_US) {
		dropped = g_hash_table_size(ctx->begun);
		g_hash_table_remove_all(ctx->begun);
	}
	return dropped + before - ctx->n_digests;
}

static struct crash *crash_of(struct pev *ctx, const Dsp__PartCrash *from,
			      int64_t now_us)
{
	struct crash *c;

	TAILQ_FOREACH (c, &ctx->crashes, link)
		if (c->incarnation == from->incarnation &&
		    !strcmp(c->endpoint, from->endpoint))
			return c;
	if (ctx->n_crashes >= CRASHES_MAX)
		return NULL;
	c = g_new0(struct crash, 1);
	c->endpoint = g_strdup(from->endpoint);
	c->incarnation = from->incarnation;
	c->digests = digest_set();
	c->requests = digest_set();
	c->added_us = now_us;
	TAILQ_INSERT_TAIL(&ctx->crashes, c, link);
	ctx->n_crashes++;
	return c;
}

/* Adds a digest to a set of at most max. Returns false if it was dropped. */
static bool add_digest(GHashTable *set, const ProtobufCBinaryData *digest,
		       unsigned max)
{
	GBytes *bytes;

	if (digest->len != DIGEST_LEN)
		return false;
	bytes = g_bytes_new(digest->data, digest->len);
	if (g_hash_table_size(set) < max || g_hash_table_contains(set, bytes)) {
		g_hash_table_add(set, bytes);
		return true;
	}
	g_bytes_unref(bytes);
	return false;
}

/* Adds digests to one of a crash's sets; returns how many were dropped. */
static unsigned add_digests(struct pev *ctx, GHashTable *set,
			    const ProtobufCBinaryData *digests, size_t n)
{
	unsigned dropped = 0;

	for (size_t i = 0; i < n; i++) {
		unsigned before = g_hash_table_size(set);
		unsigned max = MIN(CRASH_DIGESTS_MAX,
				   before + DIGESTS_MAX - ctx->n_digests);

		if (!add_digest(set, &digests[i], max))
			dropped++;
		ctx->n_digests += g_hash_table_size(set) - before;
	}
	return dropped;
}

static unsigned add_crash(struct pev *ctx, const Dsp__PartCrash *from,
			  int64_t now_us)
{
	struct crash *c = crash_of(ctx, from, now_us);

	if (!c)
		return (unsigned)(from->n_digests + from->n_requests);
	return add_digests(ctx, c->digests, from->digests, from->n_digests) +
	       add_digests(ctx, c->requests, from->requests, from->n_requests);
}

/* Adds evidence, each digest once for each crash. */
unsigned pev_add(struct pev *ctx, const Dsp__PartEvidence *evidence,
		 int64_t now_us)
{
	unsigned dropped = expire(ctx, now_us);

	for (size_t i = 0; i < evidence->n_crashes; i++)
		dropped += add_crash(ctx, evidence->crashes[i], now_us);
	for (size_t i = 0; i < evidence->n_begun; i++) {
		if (!add_digest(ctx->begun, &evidence->begun[i], BEGUN_MAX))
			dropped++;
		ctx->begun_us = now_us;
	}
	return dropped;
}

static ProtobufCBinaryData *list_digests(GHashTable *set, size_t *n)
{
	ProtobufCBinaryData *out =
		g_new0(ProtobufCBinaryData, g_hash_table_size(set) + 1);
	GHashTableIter iter;
	GBytes *bytes;

	*n = 0;
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, (void **)&bytes, NULL)) {
		gsize len;
		const void *data = g_bytes_get_data(bytes, &len);

		out[*n].data = g_memdup2(data, len);
		out[(*n)++].len = len;
	}
	return out;
}

/* Moves all evidence that has not expired into a new message. */
Dsp__PartEvidence *pev_take(struct pev *ctx, int64_t now_us)
{
	Dsp__PartEvidence *out;
	struct crash *c;

	expire(ctx, now_us);
	if (pev_is_empty(ctx))
		return NULL;
	out = g_new(Dsp__PartEvidence, 1);
	dsp__part_evidence__init(out);
	out->crashes = g_new0(Dsp__PartCrash *, ctx->n_crashes + 1);
	while ((c = TAILQ_FIRST(&ctx->crashes))) {
		Dsp__PartCrash *crash = g_new(Dsp__PartCrash, 1);

		dsp__part_crash__init(crash);
		crash->endpoint = g_strdup(c->endpoint);
		crash->incarnation = c->incarnation;
		crash->digests = list_digests(c->digests, &crash->n_digests);
		crash->requests = list_digests(c->requests, &crash->n_requests);
		out->crashes[out->n_crashes++] = crash;
		remove_crash(ctx, c);
	}
	out->begun = list_digests(ctx->begun, &out->n_begun);
	g_hash_table_remove_all(ctx->begun);
	return out;
}

/* Returns true if there is nothing to take. */
bool pev_is_empty(const struct pev *ctx)
{
	return !ctx->n_crashes && !g_hash_table_size(ctx->begun);
}
