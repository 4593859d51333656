#include "core/ver.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

/* Bounds memory, at some 150 bytes each; the oldest go first. */
#define STREAMS_MAX 32768
/* Longest time that another entry is asked to remember a stream. */
#define KEEP_MAX_MS 600000
/* A view that was confirmed longer ago may lack a new version. */
#define VIEW_AGE_MAX_US 1000000
#define DIGEST_SEED 0x73747265616dull

struct stream {
	TAILQ_ENTRY(stream) link; /* ver.streams, oldest first */
	TAILQ_ENTRY(stream) news; /* ver.news */
	TAILQ_ENTRY(stream) copy; /* ver.uncopied */
	uint64_t digest;
	char *service;	/* GRefString */
	char *software; /* GRefString; NULL: not known */
	int64_t until_us;
	bool told;     /* in ver.news, or taken */
	bool uncopied; /* in ver.uncopied */
};
TAILQ_HEAD(stream_list, stream);

struct ver {
	GHashTable *services; /* name -> version of all; NULL: several */
	unsigned n_mixed;     /* services with several */
	GHashTable *by_digest;
	struct stream_list streams;
	struct stream_list news;
	struct stream_list uncopied; /* other entries are to remember them */
};

/* Creates an empty record. */
struct ver *ver_new(void)
{
	struct ver *ctx = g_new0(struct ver, 1);

	ctx->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->by_digest = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&ctx->streams);
	TAILQ_INIT(&ctx->news);
	TAILQ_INIT(&ctx->uncopied);
	return ctx;
}

static bool is_news(const struct stream *s)
{
	return s->told && s->news.tqe_prev;
}

static void stream_free(struct ver *ctx, struct stream *s)
{
	TAILQ_REMOVE(&ctx->streams, s, link);
	if (is_news(s))
		TAILQ_REMOVE(&ctx->news, s, news);
	if (s->uncopied)
		TAILQ_REMOVE(&ctx->uncopied, s, copy);
	g_hash_table_remove(ctx->by_digest, &s->digest);
	g_ref_string_release(s->service);
	if (s->software)
		g_ref_string_release(s->software);
	g_free(s);
}

/* Frees the record; NULL is allowed. */
void ver_free(struct ver *ctx)
{
	if (!ctx)
		return;
	while (!TAILQ_EMPTY(&ctx->streams))
		stream_free(ctx, TAILQ_FIRST(&ctx->streams));
	g_hash_table_destroy(ctx->by_digest);
	g_hash_table_destroy(ctx->services);
	g_free(ctx);
}

/* Returns the digest by which a stream is known to all instances. */
uint64_t ver_digest(const char *request_id)
{
	return XXH3_64bits_withSeed(request_id, strlen(request_id),
				    DIGEST_SEED);
}

static bool add_software(const char *version, const char **software)
{
	if (*software && strcmp(*software, version) != 0)
		return false;
	*software = version;
	return true;
}

/* An endpoint that is down has no version once its streams are too old. */
bool ver_add_endpoint(const Dsp__Endpoint *endpoint, const char **software)
{
	for (size_t i = 0; i < endpoint->n_software_before; i++)
		if (!add_software(endpoint->software_before[i], software))
			return false;
	if (endpoint->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN &&
	    !endpoint->software[0])
		return true;
	return add_software(endpoint->software, software);
}

static void tell(struct ver *ctx, struct stream *s)
{
	if (s->told || !s->software || !ver_is_mixed(ctx, s->service))
		return;
	s->told = true;
	TAILQ_INSERT_TAIL(&ctx->news, s, news);
}

/* Takes over the versions of a view. The streams of a service that has several
 * versions now are news for the other instances. */
void ver_set_view(struct ver *ctx, const struct view *view)
{
	struct stream *s;

	g_hash_table_remove_all(ctx->services);
	ctx->n_mixed = 0;
	for (size_t i = 0; i < view_n_endpoints(view); i++) {
		const Dsp__Endpoint *e = view_endpoint_at(view, i);
		char *known = NULL;
		const char *software;
		bool listed = g_hash_table_lookup_extended(
			ctx->services, e->service, NULL, (void **)&known);

		if (listed && !known)
			continue;
		software = known;
		if (!ver_add_endpoint(e, &software)) {
			g_hash_table_replace(ctx->services,
					     g_strdup(e->service), NULL);
			ctx->n_mixed++;
		} else if (software && !listed) {
			g_hash_table_replace(ctx->services,
					     g_strdup(e->service),
					     g_strdup(software));
		}
	}
	if (!ctx->n_mixed)
		return;
	TAILQ_FOREACH (s, &ctx->streams, link)
		tell(ctx, s);
}

/* Whether streams of the service may have begun with different software. */
bool ver_is_mixed(const struct ver *ctx, const char *service)
{
	void *software;

	return g_hash_table_lookup_extended(ctx->services, service, NULL,
					    &software) &&
	       !software;
}

/* Adds a stream, in place of those that are over or too many. Returns NULL if
 * it is known: what wrote the first event never changes. */
static struct stream *add(struct ver *ctx, uint64_t digest, const char *service,
			  const char *software, int64_t until_us,
			  int64_t now_us)
{
	struct stream *s = TAILQ_FIRST(&ctx->streams);

	while (s && (now_us >= s->until_us ||
		     g_hash_table_size(ctx->by_digest) >= STREAMS_MAX)) {
		stream_free(ctx, s);
		s = TAILQ_FIRST(&ctx->streams);
	}
	if (g_hash_table_contains(ctx->by_digest, &digest))
		return NULL;
	s = g_new0(struct stream, 1);
	s->digest = digest;
	s->service = g_ref_string_new_intern(service);
	if (software)
		s->software = g_ref_string_new_intern(software);
	s->until_us = until_us;
	TAILQ_INSERT_TAIL(&ctx->streams, s, link);
	g_hash_table_insert(ctx->by_digest, &s->digest, s);
	tell(ctx, s);
	return s;
}

/* Remembers a stream until its caller gives up. */
void ver_begun(struct ver *ctx, uint64_t digest, const char *service,
	       const char *software, int64_t until_us, int64_t now_us)
{
	struct stream *s =
		add(ctx, digest, service, software, until_us, now_us);

	if (!s || !software)
		return;
	s->uncopied = true;
	TAILQ_INSERT_TAIL(&ctx->uncopied, s, copy);
}

/* Remembers streams that began at another entry, which may not be able to tell
 * of them when their service gets a second version. */
void ver_keep(struct ver *ctx, const Dsp__StreamCopies *copies, int64_t now_us)
{
	for (size_t i = 0; i < copies->n_groups; i++) {
		const Dsp__StreamCopyGroup *group = copies->groups[i];
		int64_t until_us = now_us + group->keep_ms * 1000LL;

		for (size_t k = 0; k < group->n_streams; k++)
			add(ctx, group->streams[k], group->service,
			    group->software, until_us, now_us);
	}
}

static Dsp__StreamGroup *group_of(Dsp__StreamsBegun *out, const char *software)
{
	Dsp__StreamGroup *group;

	for (size_t i = 0; i < out->n_groups; i++)
		if (!strcmp(out->groups[i]->software, software))
			return out->groups[i];
	group = g_new(Dsp__StreamGroup, 1);
	dsp__stream_group__init(group);
	group->software = g_strdup(software);
	out->groups =
		g_renew(Dsp__StreamGroup *, out->groups, out->n_groups + 1);
	out->groups[out->n_groups++] = group;
	return group;
}

/* Returns the streams that were not taken yet, by their software. */
Dsp__StreamsBegun *ver_take(struct ver *ctx)
{
	Dsp__StreamsBegun *out;
	struct stream *s;

	if (TAILQ_EMPTY(&ctx->news))
		return NULL;
	out = g_new(Dsp__StreamsBegun, 1);
	dsp__streams_begun__init(out);
	while ((s = TAILQ_FIRST(&ctx->news))) {
		Dsp__StreamGroup *group = group_of(out, s->software);

		TAILQ_REMOVE(&ctx->news, s, news);
		s->news.tqe_prev = NULL;
		group->streams =
			g_renew(uint64_t, group->streams, group->n_streams + 1);
		group->streams[group->n_streams++] = s->digest;
	}
	return out;
}

static Dsp__StreamCopyGroup *copy_group_of(Dsp__StreamCopies *out,
					   const struct stream *s)
{
	Dsp__StreamCopyGroup *group;

	for (size_t i = 0; i < out->n_groups; i++)
		if (!strcmp(out->groups[i]->service, s->service) &&
		    !strcmp(out->groups[i]->software, s->software))
			return out->groups[i];
	group = g_new(Dsp__StreamCopyGroup, 1);
	dsp__stream_copy_group__init(group);
	group->service = g_strdup(s->service);
	group->software = g_strdup(s->software);
	out->groups =
		g_renew(Dsp__StreamCopyGroup *, out->groups, out->n_groups + 1);
	out->groups[out->n_groups++] = group;
	return group;
}

/* Returns the own streams that were not taken yet, by service and software. */
Dsp__StreamCopies *ver_take_copies(struct ver *ctx, int64_t now_us)
{
	Dsp__StreamCopies *out;
	struct stream *s;

	if (TAILQ_EMPTY(&ctx->uncopied))
		return NULL;
	out = g_new(Dsp__StreamCopies, 1);
	dsp__stream_copies__init(out);
	while ((s = TAILQ_FIRST(&ctx->uncopied))) {
		Dsp__StreamCopyGroup *group = copy_group_of(out, s);
		int64_t keep_ms = MAX(s->until_us - now_us, 0) / 1000;

		TAILQ_REMOVE(&ctx->uncopied, s, copy);
		s->uncopied = false;
		group->keep_ms = (uint32_t)MAX(group->keep_ms,
					       MIN(keep_ms, KEEP_MAX_MS));
		group->streams =
			g_renew(uint64_t, group->streams, group->n_streams + 1);
		group->streams[group->n_streams++] = s->digest;
	}
	return out;
}

/* Returns whether ver_take() has something to return. */
bool ver_has_news(const struct ver *ctx)
{
	return !TAILQ_EMPTY(&ctx->news);
}

/* Returns the number of streams that are remembered. */
size_t ver_n_streams(const struct ver *ctx)
{
	return g_hash_table_size(ctx->by_digest);
}

/*
 * Tells where a stream may be resumed. What this instance has seen itself holds
 * always. Otherwise its view is asked, unless it may be behind: an entry that
 * is cut off does not know which versions there are.
 */
struct ver_answer ver_find(const struct ver *ctx,
			   const struct ver_question *question)
{
	const struct stream *s =
		g_hash_table_lookup(ctx->by_digest, &question->digest);

	if (s && s->software)
		return (struct ver_answer){ .place = VER_SAME,
					    .software = s->software };
	if (question->view_age_us <= VIEW_AGE_MAX_US && !s &&
	    !ver_is_mixed(ctx, question->service))
		return (struct ver_answer){ .place = VER_ANYWHERE };
	return (struct ver_answer){ .place = VER_ASK };
}
