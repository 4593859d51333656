#include <string.h>

#include "core/st_private.h"
#include "core/ver.h"

/*
 * Streams: with which software of an endpoint a stream began, kept while its
 * service has, or has just had, endpoints with different software. What two
 * versions write does not fit together, so a stream is resumed only where the
 * software is the same, by whichever instance the caller returns to. A stream
 * that is not known here must not be resumed while there is a choice.
 */

/* Bounds snapshots and memory, at some 100 bytes each; the oldest go first. */
#define STREAMS_MAX (1u << 18)
/* A caller returns within its own time limit, for which the route's timeout is
 * the measure. */
#define KEEP_TIMEOUTS 2
#define KEEP_MIN_MS 30000
#define KEEP_MAX_MS 600000
/* Interval of the state's clock at which what is too old is dropped. */
#define EXPIRE_INTERVAL_MS 1000
/* Records in one message of a snapshot. */
#define GROUP_MAX 1024

struct stream {
	TAILQ_ENTRY(stream) link; /* st.streams, oldest first */
	uint64_t digest;
	uint64_t begun_ms; /* state's clock at the commit */
	char *software;	   /* GRefString */
};

static void stream_free(struct st *ctx, struct stream *s)
{
	TAILQ_REMOVE(&ctx->streams, s, link);
	g_hash_table_remove(ctx->stream_by_digest, &s->digest);
	g_ref_string_release(s->software);
	g_free(s);
}

static void stream_add(struct st *ctx, uint64_t digest, char *software,
		       uint64_t begun_ms)
{
	struct stream *s;

	/* The software that wrote the first event never changes. */
	if (g_hash_table_contains(ctx->stream_by_digest, &digest))
		return;
	s = g_new0(struct stream, 1);
	s->digest = digest;
	s->begun_ms = begun_ms;
	s->software = g_ref_string_acquire(software);
	TAILQ_INSERT_TAIL(&ctx->streams, s, link);
	g_hash_table_insert(ctx->stream_by_digest, &s->digest, s);
	if (g_hash_table_size(ctx->stream_by_digest) > STREAMS_MAX)
		stream_free(ctx, TAILQ_FIRST(&ctx->streams));
}

static void group_add(struct st *ctx, const Dsp__StreamGroup *group,
		      uint64_t begun_ms)
{
	char *software = g_ref_string_new(group->software);

	for (size_t i = 0; i < group->n_streams; i++)
		stream_add(ctx, group->streams[i], software, begun_ms);
	g_ref_string_release(software);
}

/* Records streams that have begun. */
Dsp__CommandResult *streams_begun(struct st *ctx, const Dsp__StreamsBegun *cmd)
{
	for (size_t i = 0; i < cmd->n_groups; i++)
		group_add(ctx, cmd->groups[i], ctx->wall_ms);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/*
 * Returns whether streams of the service that can still be resumed can only
 * have begun with one version of its software, which *software is then; NULL:
 * with none.
 */
static bool has_one_software(const struct st *ctx, const char *service,
			     const char **software)
{
	const struct endpoint *ep;

	*software = NULL;
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		if (!strcmp(ep->msg->service, service) &&
		    !ver_add_endpoint(ep->msg, software))
			return false;
	return true;
}

static Dsp__StreamFound *found_new(const char *software)
{
	Dsp__StreamFound *found = g_new(Dsp__StreamFound, 1);

	dsp__stream_found__init(found);
	found->known = software != NULL;
	if (software)
		found->software = g_strdup(software);
	return found;
}

/* Tells with which software streams of a service began. */
Dsp__CommandResult *st_find_streams(const struct st *ctx,
				    const Dsp__StreamsFind *cmd)
{
	Dsp__CommandResult *result =
		st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
	const char *only;
	bool one = has_one_software(ctx, cmd->service, &only);

	result->streams = g_new0(Dsp__StreamFound *, cmd->n_streams + 1);
	for (size_t i = 0; i < cmd->n_streams; i++) {
		const struct stream *s = g_hash_table_lookup(
			ctx->stream_by_digest, &cmd->streams[i]);

		result->streams[result->n_streams++] = found_new(s ? s->software
								 : one ? only
								       : NULL);
	}
	return result;
}

/* Returns how long after its begin a stream may be resumed. */
static uint64_t keep_ms(const struct st *ctx)
{
	uint64_t timeout_ms = 0;

	for (size_t i = 0; ctx->table && i < ctx->table->n_routes; i++)
		if (ctx->table->routes[i]->resumable)
			timeout_ms = MAX(timeout_ms,
					 ctx->table->routes[i]->timeout_ms);
	return CLAMP(KEEP_TIMEOUTS * timeout_ms, KEEP_MIN_MS, KEEP_MAX_MS);
}

/* Clears what is known of software none of whose streams is resumed any more.
 */
static void forget_software(struct st *ctx, struct endpoint *ep, uint64_t keep)
{
	Dsp__Endpoint *msg = ep->msg;
	bool down = ep->down_ms && msg->software[0] &&
		    ctx->wall_ms >= ep->down_ms + keep;
	bool before = msg->n_software_before &&
		      ctx->wall_ms >= ep->software_ms + keep;

	if (down)
		st_replace_string(&msg->software, "");
	if (before) {
		for (size_t i = 0; i < msg->n_software_before; i++)
			g_free(msg->software_before[i]);
		g_clear_pointer(&msg->software_before, g_free);
		msg->n_software_before = 0;
	}
	if (down || before)
		item_touch(ctx, &ep->item);
}

/* Drops the streams that no caller resumes any more, and the software of
 * processes that ended as long ago. */
void streams_expire(struct st *ctx)
{
	struct endpoint *ep;
	struct stream *s;
	uint64_t keep;

	if (!st_crossed_interval(ctx, EXPIRE_INTERVAL_MS))
		return;
	keep = keep_ms(ctx);
	while ((s = TAILQ_FIRST(&ctx->streams)) &&
	       ctx->wall_ms >= s->begun_ms + keep)
		stream_free(ctx, s);
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		forget_software(ctx, ep, keep);
}

/* Calls visit with the streams in the order of their begin, in groups whose
 * contents are valid during the call. */
void streams_visit(const struct st *ctx,
		   void (*visit)(void *data, const Dsp__StreamGroup *group),
		   void *data)
{
	Dsp__StreamGroup group = DSP__STREAM_GROUP__INIT;
	const struct stream *s;
	uint64_t digests[GROUP_MAX];

	group.streams = digests;
	TAILQ_FOREACH (s, &ctx->streams, link) {
		if (group.n_streams &&
		    (group.n_streams == GROUP_MAX ||
		     group.begun_ms != s->begun_ms ||
		     strcmp(group.software, s->software) != 0)) {
			visit(data, &group);
			group.n_streams = 0;
		}
		group.begun_ms = s->begun_ms;
		group.software = s->software;
		digests[group.n_streams++] = s->digest;
	}
	if (group.n_streams)
		visit(data, &group);
}

/* Restores streams from a snapshot. */
void streams_restore(struct st *ctx, const Dsp__StreamGroup *group)
{
	group_add(ctx, group, group->begun_ms);
}

/* Drops all streams. */
void streams_clear(struct st *ctx)
{
	while (!TAILQ_EMPTY(&ctx->streams))
		stream_free(ctx, TAILQ_FIRST(&ctx->streams));
}

/* Returns the number of streams whose software is known. */
size_t st_streams(const struct st *ctx)
{
	return g_hash_table_size(ctx->stream_by_digest);
}
