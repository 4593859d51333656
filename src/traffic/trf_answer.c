#include "traffic/trf_int.h"

#include <malloc.h>
#include <stdatomic.h>
#include <string.h>

/* Smaller peaks are not worth the search for free pages. */
#define TRIM_MIN_BYTES (4u << 20)

static char *index_key(const char *team, const char *id)
{
	return g_strdup_printf("%s\n%s", team, id);
}

/* Counts bytes of bodies and answers against memory_mb_max. Returns false, and
 * counts nothing, when they would exceed it. */
bool trf_memory_reserve(struct trf *ctx, size_t bytes)
{
	uint64_t limit = (uint64_t)ctx->settings->memory_mb_max << 20;

	uint64_t used = atomic_fetch_add(&ctx->memory_used, bytes) + bytes;

	if (used <= limit) {
		/* A lost update only delays trf_memory_trim(). */
		if (used > ctx->memory_peak)
			ctx->memory_peak = used;
		return true;
	}
	ctx->memory_used -= bytes;
	return false;
}

/* Releases bytes that trf_memory_reserve() has counted. */
void trf_memory_release(struct trf *ctx, size_t bytes)
{
	ctx->memory_used -= bytes;
}

/* Returns freed memory to the system when little is left of a peak: the
 * allocator keeps it for each thread that used some. */
void trf_memory_trim(struct trf *ctx)
{
	uint64_t peak = ctx->memory_peak;

	if (peak < TRIM_MIN_BYTES || ctx->memory_used > peak / 4)
		return;
	if (atomic_compare_exchange_strong(&ctx->memory_peak, &peak, 0))
		malloc_trim(0);
}

static void answer_ref(struct trf_answer *answer)
{
	answer->refs++;
}

/* Drops a reference; NULL is allowed. remove_from_index() has released the
 * memory of the body. */
void trf_answer_unref(struct trf_answer *answer)
{
	if (!answer || --answer->refs)
		return;
	g_free(answer->team);
	g_free(answer->id);
	g_free(answer->key);
	g_free(answer->content_type);
	g_string_free(answer->body, TRUE);
	g_free(answer);
}

/* Creates the table of answers. */
void trf_answers_init(struct trf *ctx)
{
	struct trf_answers *table = &ctx->answers;

	pthread_mutex_init(&table->lock, NULL);
	pthread_cond_init(&table->changed, NULL);
	TAILQ_INIT(&table->finished);
	table->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)trf_answer_unref);
}

/* Removes an answer from the index and drops its body. The caller holds the
 * lock. */
static void remove_from_index(struct trf *ctx, struct trf_answer *answer)
{
	char *by_id = index_key(answer->team, answer->id);
	char *by_key =
		answer->key ? index_key(answer->team, answer->key) : NULL;

	trf_memory_release(ctx, answer->body->len);
	g_string_truncate(answer->body, 0);
	answer->dropped = true;
	/* A later request with the same key may have replaced the index entry.
	 */
	if (by_key && g_hash_table_lookup(ctx->answers.index, by_key) == answer)
		g_hash_table_remove(ctx->answers.index, by_key);
	g_hash_table_remove(ctx->answers.index, by_id);
	g_free(by_id);
	g_free(by_key);
}

static void evict_oldest(struct trf *ctx)
{
	struct trf_answer *oldest = TAILQ_FIRST(&ctx->answers.finished);

	TAILQ_REMOVE(&ctx->answers.finished, oldest, link);
	remove_from_index(ctx, oldest);
}

static void evict_expired(struct trf *ctx)
{
	int64_t retention = ctx->settings->answer_retention_s * 1000000LL;
	int64_t now = trf_now(ctx);
	struct trf_answer *oldest;

	while ((oldest = TAILQ_FIRST(&ctx->answers.finished)) &&
	       now - oldest->finished_us > retention)
		evict_oldest(ctx);
}

/* Frees the table; no request may be in flight. */
void trf_answers_clear(struct trf *ctx)
{
	while (TAILQ_FIRST(&ctx->answers.finished))
		evict_oldest(ctx);
	g_hash_table_destroy(ctx->answers.index);
	pthread_mutex_destroy(&ctx->answers.lock);
	pthread_cond_destroy(&ctx->answers.changed);
}

/*
 * Adds a running request to the table under its id, and under its key (NULL:
 * none). The caller holds a reference until trf_answer_unref().
 */
struct trf_answer *trf_answer_begin(struct trf *ctx, const char *team,
				    const char *id, const char *key)
{
	struct trf_answer *answer = g_new0(struct trf_answer, 1);

	answer->team = g_strdup(team);
	answer->id = g_strdup(id);
	answer->key = g_strdup(key);
	answer->body = g_string_new(NULL);
	answer->refs = key ? 3 : 2;
	pthread_mutex_lock(&ctx->answers.lock);
	evict_expired(ctx);
	g_hash_table_insert(ctx->answers.index, index_key(team, id), answer);
	if (key)
		g_hash_table_replace(ctx->answers.index, index_key(team, key),
				     answer);
	pthread_mutex_unlock(&ctx->answers.lock);
	return answer;
}

/*
 * Appends bytes to a running answer. At the memory limit the oldest finished
 * answers are evicted; if that is not enough, the body of this one is dropped,
 * and only its outcome is kept.
 */
void trf_answer_append(struct trf *ctx, struct trf_answer *answer,
		       const char *bytes, size_t len)
{
	bool fits;

	pthread_mutex_lock(&ctx->answers.lock);
	if (answer->dropped)
		goto out;
	while (!(fits = trf_memory_reserve(ctx, len)) &&
	       TAILQ_FIRST(&ctx->answers.finished))
		evict_oldest(ctx);
	if (fits) {
		g_string_append_len(answer->body, bytes, (gssize)len);
		goto out;
	}
	met_count(ctx->metrics, "dandelionspar_answers_dropped_total", "", 1);
	trf_memory_release(ctx, answer->body->len);
	g_string_truncate(answer->body, 0);
	answer->dropped = true;
out:
	pthread_mutex_unlock(&ctx->answers.lock);
}

/* Marks an answer as complete; it is kept for answer_retention_s, unless memory
 * runs short. */
void trf_answer_finish(struct trf *ctx, struct trf_answer *answer,
		       uint32_t status, const char *content_type)
{
	pthread_mutex_lock(&ctx->answers.lock);
	answer->finished = true;
	answer->status = status;
	answer->content_type = g_strdup(content_type);
	answer->finished_us = trf_now(ctx);
	TAILQ_INSERT_TAIL(&ctx->answers.finished, answer, link);
	pthread_cond_broadcast(&ctx->answers.changed);
	pthread_mutex_unlock(&ctx->answers.lock);
}

/*
 * Returns what this entry has stored for a request id or key; the reply says
 * whether there is anything. The caller frees it with
 * dsp__answer_reply__free_unpacked(). A dropped body shows as a status with an
 * empty content type.
 */
Dsp__AnswerReply *trf_answer_reply(struct trf *ctx, const char *team,
				   const char *id)
{
	Dsp__AnswerReply *reply = g_new0(Dsp__AnswerReply, 1);
	char *key = index_key(team, id);
	struct trf_answer *answer;

	dsp__answer_reply__init(reply);
	pthread_mutex_lock(&ctx->answers.lock);
	evict_expired(ctx);
	answer = g_hash_table_lookup(ctx->answers.index, key);
	if (!answer)
		goto out;
	answer_ref(answer);
	reply->found = true;
	reply->running = !answer->finished;
	reply->status = answer->status;
	if (answer->finished && !answer->dropped) {
		reply->content_type = g_strdup(
			answer->content_type ? answer->content_type : "-");
		reply->body.len = answer->body->len;
		reply->body.data =
			g_memdup2(answer->body->str, answer->body->len);
	}
	trf_answer_unref(answer);
out:
	pthread_mutex_unlock(&ctx->answers.lock);
	g_free(key);
	return reply;
}
