#include <string.h>

#include "base/msg.h"
#include "core/st_private.h"

/* Accepted documents per team of which a resend is recognised (section 4). */
#define HISTORY_MAX 256

static struct document *document_find(const struct st *ctx, const char *team)
{
	return g_hash_table_lookup(ctx->document_by_team, team);
}

/* Returns the parsed document in force of a team, or NULL. */
const struct doc *document_parsed(const struct st *ctx, const char *team)
{
	const struct document *d = document_find(ctx, team);

	return d ? d->parsed : NULL;
}

/*
 * The weight store is shared by all teams, so the sum of their loads is bounded
 * by the lowest limit of all documents that have models.
 */
static void update_limits(struct st *ctx)
{
	const struct document *d;

	ctx->parallel_loads_max = 0;
	ctx->adapters_max = 0;
	TAILQ_FOREACH (d, &ctx->documents, link) {
		const struct doc *doc = d->parsed;

		if (!doc->n_models)
			continue;
		if (!ctx->parallel_loads_max ||
		    doc->store_parallel_loads < ctx->parallel_loads_max)
			ctx->parallel_loads_max = doc->store_parallel_loads;
		if (!doc->n_adapters)
			continue;
		if (!ctx->adapters_max ||
		    doc->adapters_in_transit < ctx->adapters_max)
			ctx->adapters_max = doc->adapters_in_transit;
	}
}

static void history_add(struct document *d, uint64_t number, uint64_t index,
			const uint8_t digest[ST_DIGEST_LEN])
{
	struct history_entry entry = { .number = number, .index = index };

	memcpy(entry.digest, digest, ST_DIGEST_LEN);
	if (d->history->len >= HISTORY_MAX)
		g_array_remove_index(d->history, 0);
	g_array_append_val(d->history, entry);
}

static const struct history_entry *history_find(const struct document *d,
						uint64_t number)
{
	/* Numbers are consecutive, so the position follows from the first. */
	const struct history_entry *first;

	if (!d || !d->history->len)
		return NULL;
	first = &g_array_index(d->history, struct history_entry, 0);
	if (number < first->number || number >= first->number + d->history->len)
		return NULL;
	return first + (number - first->number);
}

static struct document *document_set(struct st *ctx, Dsp__Document *msg,
				     struct doc *parsed)
{
	struct document *d = document_find(ctx, msg->team);

	if (!d) {
		d = g_new0(struct document, 1);
		d->history =
			g_array_new(FALSE, FALSE, sizeof(struct history_entry));
		TAILQ_INSERT_TAIL(&ctx->documents, d, link);
	} else {
		g_hash_table_remove(ctx->document_by_team, d->msg->team);
		item_remove(ctx, &d->item, false);
		dsp__document__free_unpacked(d->msg, NULL);
		doc_free(d->parsed);
	}
	d->msg = msg;
	d->parsed = parsed;
	g_hash_table_insert(ctx->document_by_team, msg->team, d);
	item_insert(ctx, &d->item, DSP__VIEW_RECORD__BODY_DOCUMENT, msg->team,
		    msg, msg->index);
	update_limits(ctx);
	return d;
}

static Dsp__CommandResult *document_result(const struct st *ctx,
					   Dsp__ResultCode code,
					   const char *message, uint64_t number)
{
	Dsp__CommandResult *result = st_result(ctx, code, message);

	result->number = number;
	return result;
}

static struct doc *parse_document(const char *team, const char *text,
				  char **message)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct doc *doc = doc_parse(team, text, strlen(text), errors);

	*message = NULL;
	if (!doc) {
		g_ptr_array_add(errors, NULL);
		*message = g_strjoinv("\n", (char **)errors->pdata);
	}
	g_ptr_array_free(errors, TRUE);
	return doc;
}

/*
 * Puts a document in force if its number is one above the number in force. A
 * resend of an accepted document returns RESULT_SAME and the index of its
 * acceptance; any other document whose number is not the next one returns
 * RESULT_CONFLICT and the number in force.
 */
Dsp__CommandResult *document_put(struct st *ctx, const Dsp__DocumentPut *cmd)
{
	const struct document *d = document_find(ctx, cmd->team);
	uint64_t in_force = d ? d->msg->number : 0;
	const struct history_entry *accepted = history_find(d, cmd->number);
	Dsp__CommandResult *result;
	uint8_t digest[ST_DIGEST_LEN];
	Dsp__Document *msg;
	struct doc *parsed;
	char *message;

	doc_digest(cmd->text, strlen(cmd->text), digest);
	if (accepted && !memcmp(accepted->digest, digest, sizeof(digest))) {
		result = document_result(ctx, DSP__RESULT_CODE__RESULT_SAME,
					 NULL, cmd->number);
		result->index = accepted->index;
		return result;
	}
	if (cmd->number != in_force + 1)
		return document_result(ctx, DSP__RESULT_CODE__RESULT_CONFLICT,
				       "document number is not the next one",
				       in_force);
	parsed = parse_document(cmd->team, cmd->text, &message);
	if (!parsed) {
		result = document_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
					 message, in_force);
		g_free(message);
		return result;
	}
	if (strcmp(parsed->team, cmd->team) || parsed->number != cmd->number) {
		doc_free(parsed);
		return document_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				       "team or number differs from the text",
				       in_force);
	}
	msg = g_new(Dsp__Document, 1);
	dsp__document__init(msg);
	msg->team = g_strdup(cmd->team);
	msg->number = cmd->number;
	msg->index = ctx->index;
	msg->digest.data = g_memdup2(digest, sizeof(digest));
	msg->digest.len = sizeof(digest);
	msg->text = g_strdup(cmd->text);
	msg->accepted_ms = ctx->wall_ms;
	history_add(document_set(ctx, msg, parsed), msg->number, msg->index,
		    digest);
	return document_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL,
			       cmd->number);
}

/* Restores the document in force from a snapshot. */
bool document_restore(struct st *ctx, const Dsp__Document *msg)
{
	struct doc *parsed;
	char *message;

	parsed = parse_document(msg->team, msg->text, &message);
	g_free(message);
	if (!parsed)
		return false;
	document_set(ctx, msg_dup(msg), parsed);
	return true;
}

/* Restores one history entry; its document must have been restored before. */
bool document_history_restore(struct st *ctx, const Dsp__DocumentHistory *msg)
{
	struct document *d = document_find(ctx, msg->team);

	if (!d || msg->digest.len != ST_DIGEST_LEN)
		return false;
	history_add(d, msg->number, msg->index, msg->digest.data);
	return true;
}

/* Frees all documents. */
void documents_clear(struct st *ctx)
{
	struct document *d;

	while ((d = TAILQ_FIRST(&ctx->documents))) {
		TAILQ_REMOVE(&ctx->documents, d, link);
		TAILQ_REMOVE(&ctx->items, &d->item, link);
		dsp__document__free_unpacked(d->msg, NULL);
		doc_free(d->parsed);
		g_array_free(d->history, TRUE);
		g_free(d);
	}
}

/* Returns the document in force of a team, or NULL. */
const Dsp__Document *st_document(const struct st *ctx, const char *team)
{
	const struct document *d = document_find(ctx, team);

	return d ? d->msg : NULL;
}

/* Lists the documents in force. */
size_t st_documents(const struct st *ctx, const Dsp__Document ***out)
{
	size_t n = g_hash_table_size(ctx->document_by_team), i = 0;
	const struct document *d;

	*out = g_new(const Dsp__Document *, n + 1);
	TAILQ_FOREACH (d, &ctx->documents, link)
		(*out)[i++] = d->msg;
	return i;
}
