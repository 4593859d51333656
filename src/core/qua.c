#include <string.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Suspects and quarantine (section 10 of docs/design.md). A request that was in
 * flight when its endpoint crashed is a suspect. It runs only with a grant, and
 * an endpoint runs one suspect at a time. If that endpoint crashes too, the
 * request is quarantined. Prompt parts, and requests that entries report as
 * evidence, are suspects too, see qua_part.c.
 */

/* Bounds the size of views; further suspects are not recorded. */
#define SUSPECTS_MAX 65536

static void digest_to_key(const ProtobufCBinaryData *digest,
			  char key[2 * ST_DIGEST_LEN + 1])
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < ST_DIGEST_LEN; i++) {
		key[2 * i] = digits[digest->data[i] >> 4];
		key[2 * i + 1] = digits[digest->data[i] & 15];
	}
	key[2 * ST_DIGEST_LEN] = '\0';
}

/* Returns the suspect with this digest, or NULL. */
struct suspect *qua_find(const struct st *ctx,
			 const ProtobufCBinaryData *digest)
{
	char key[2 * ST_DIGEST_LEN + 1];

	if (digest->len != ST_DIGEST_LEN)
		return NULL;
	digest_to_key(digest, key);
	return g_hash_table_lookup(ctx->suspect_by_key, key);
}

/* Adds a suspect and takes over msg, which has a new digest of 16 bytes. */
struct suspect *qua_add(struct st *ctx, Dsp__Suspect *msg, uint64_t index)
{
	struct suspect *s = g_new0(struct suspect, 1);

	s->msg = msg;
	digest_to_key(&msg->digest, s->key);
	if (msg->part) {
		TAILQ_INSERT_TAIL(&ctx->parts, s, link);
		ctx->n_parts++;
	} else {
		TAILQ_INSERT_TAIL(&ctx->suspects, s, link);
		ctx->n_suspects++;
	}
	g_hash_table_insert(ctx->suspect_by_key, s->key, s);
	item_insert(ctx, &s->item, DSP__VIEW_RECORD__BODY_SUSPECT, s->key, msg,
		    index);
	return s;
}

static struct endpoint *granted_endpoint(const struct st *ctx,
					 const struct suspect *s)
{
	struct endpoint *ep;

	if (!*s->msg->running_endpoint)
		return NULL;
	ep = endpoint_find(ctx, s->msg->running_endpoint);
	return ep && ep->running == s ? ep : NULL;
}

/* Ends the suspect's grant, if it has one. */
void qua_end_grant(struct st *ctx, struct suspect *s)
{
	struct endpoint *ep = granted_endpoint(ctx, s);

	if (ep)
		ep->running = NULL;
	st_replace_string(&s->msg->running_endpoint, "");
	st_replace_string(&s->msg->running_attempt, "");
	s->msg->running_incarnation = 0;
	s->msg->run_ms = 0;
}

/* Removes and frees a suspect. */
void qua_remove(struct st *ctx, struct suspect *s, bool leave_tombstone)
{
	qua_end_grant(ctx, s);
	item_remove(ctx, &s->item, leave_tombstone);
	g_hash_table_remove(ctx->suspect_by_key, s->key);
	if (s->msg->part) {
		TAILQ_REMOVE(&ctx->parts, s, link);
		ctx->n_parts--;
	} else {
		TAILQ_REMOVE(&ctx->suspects, s, link);
		ctx->n_suspects--;
	}
	dsp__suspect__free_unpacked(s->msg, NULL);
	g_free(s);
}

static void quarantine(struct st *ctx, struct suspect *s)
{
	qua_end_grant(ctx, s);
	s->msg->crashes++;
	s->msg->quarantined = true;
	s->msg->since_ms = ctx->wall_ms;
	TAILQ_REMOVE(&ctx->suspects, s, link);
	TAILQ_INSERT_TAIL(&ctx->suspects, s, link);
	item_touch(ctx, &s->item);
}

static bool has_grant(const struct suspect *s, const Dsp__CrashReport *cmd)
{
	return !strcmp(s->msg->running_endpoint, cmd->endpoint) &&
	       s->msg->running_incarnation == cmd->incarnation;
}

/*
 * Records the requests that were in flight when an endpoint crashed. Only a
 * suspect with a grant for this endpoint and incarnation is quarantined, so a
 * repeated report has no effect, nor does the crash count against suspects that
 * were reported along with it. RESULT_LIMIT: SUSPECTS_MAX is reached.
 */
Dsp__CommandResult *qua_crash(struct st *ctx, const Dsp__CrashReport *cmd)
{
	bool full = false;

	for (size_t i = 0; i < cmd->n_digests; i++) {
		const ProtobufCBinaryData *digest = &cmd->digests[i];
		struct suspect *s = qua_find(ctx, digest);
		Dsp__Suspect *msg;

		if (digest->len != ST_DIGEST_LEN)
			return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
					 "digest is not 16 bytes");
		if (s && !s->msg->part && has_grant(s, cmd))
			quarantine(ctx, s);
		if (s)
			continue;
		if (ctx->n_suspects >= SUSPECTS_MAX) {
			full = true;
			continue;
		}
		msg = g_new(Dsp__Suspect, 1);
		dsp__suspect__init(msg);
		msg->digest.data = g_memdup2(digest->data, digest->len);
		msg->digest.len = digest->len;
		msg->crashes = 1;
		msg->since_ms = ctx->wall_ms;
		qua_add(ctx, msg, ctx->index);
	}
	return st_result(ctx,
			 full ? DSP__RESULT_CODE__RESULT_LIMIT
			      : DSP__RESULT_CODE__RESULT_OK,
			 NULL);
}

/* Whether no run is granted at present. */
static bool is_barred(const struct st *ctx, const Dsp__Suspect *msg)
{
	return msg->quarantined && (!msg->part || ctx->wall_ms < msg->retry_ms);
}

/* Whether runs of the suspect need a grant. */
static bool needs_grant(const struct suspect *s)
{
	return s && (!s->msg->part || s->msg->request || s->msg->quarantined);
}

/*
 * Grants a suspect one run on one endpoint. RESULT_NOT_FOUND: the request is no
 * longer a suspect, or the part is not in quarantine, and needs no grant.
 */
Dsp__CommandResult *qua_run(struct st *ctx, const Dsp__SuspectRun *cmd)
{
	struct suspect *s = qua_find(ctx, &cmd->digest);
	struct endpoint *ep = endpoint_find(ctx, cmd->endpoint);

	if (!s && cmd->suspected) {
		s = qua_part_suspect(ctx, &cmd->digest);
		qua_part_schedule(ctx);
	}
	if (!needs_grant(s))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND, NULL);
	if (is_barred(ctx, s->msg))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_QUARANTINED,
				 NULL);
	if (!ep || ep->msg->incarnation != cmd->incarnation ||
	    ep->msg->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "endpoint is leaving, down or restarted");
	if (!*cmd->attempt)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "no attempt");
	if (*s->msg->running_endpoint) {
		if (granted_endpoint(ctx, s) == ep &&
		    !strcmp(s->msg->running_attempt, cmd->attempt))
			return st_result(ctx, DSP__RESULT_CODE__RESULT_SAME,
					 NULL);
		return st_result(ctx, DSP__RESULT_CODE__RESULT_BUSY,
				 "the suspect runs elsewhere");
	}
	if (ep->running)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_BUSY,
				 "another suspect runs on this endpoint");
	ep->running = s;
	st_replace_string(&s->msg->running_endpoint, cmd->endpoint);
	st_replace_string(&s->msg->running_attempt, cmd->attempt);
	s->msg->running_incarnation = cmd->incarnation;
	if (s->msg->part)
		qua_part_granted(ctx, s);
	item_touch(ctx, &s->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/* Removes a suspect whose granted run completed without a crash, or ends a
 * grant that was not used. */
Dsp__CommandResult *qua_done(struct st *ctx, const Dsp__SuspectDone *cmd)
{
	struct suspect *s = qua_find(ctx, &cmd->digest);

	if (!s)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND, NULL);
	if ((s->msg->quarantined && !s->msg->part) || !*cmd->attempt ||
	    strcmp(s->msg->running_attempt, cmd->attempt) != 0)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "no grant for this attempt");
	if (cmd->not_run) {
		qua_end_grant(ctx, s);
		item_touch(ctx, &s->item);
		qua_part_schedule(ctx);
	} else if (s->msg->part) {
		qua_part_clear(ctx, s);
	} else {
		qua_remove(ctx, s, true);
	}
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/*
 * Quarantines the suspect that has a grant for an endpoint with a new
 * incarnation. The restart counts as a crash, even if the entry that ran the
 * suspect failed too and cannot report it.
 */
void qua_endpoint_restarted(struct st *ctx, struct endpoint *ep)
{
	if (!ep->running)
		return;
	if (ep->running->msg->part)
		qua_part_failed(ctx, ep->running);
	else
		quarantine(ctx, ep->running);
}

/* Removes suspects and quarantined requests after limits.quarantine_ms. */
void qua_expire(struct st *ctx)
{
	uint64_t retention_ms = (uint64_t)ctx->limits.quarantine_ms;
	struct suspect *s;

	while ((s = TAILQ_FIRST(&ctx->suspects)) &&
	       s->msg->since_ms + retention_ms <= ctx->wall_ms)
		qua_remove(ctx, s, true);
	qua_part_expire(ctx);
}

/* Restores a suspect; its endpoint must have been restored before. */
bool qua_restore(struct st *ctx, const Dsp__Suspect *msg, uint64_t index)
{
	struct endpoint *ep = endpoint_find(ctx, msg->running_endpoint);
	struct suspect *s;

	if (msg->digest.len != ST_DIGEST_LEN || qua_find(ctx, &msg->digest))
		return false;
	s = qua_add(ctx, msg_dup(msg), index);
	if (ep && ep->msg->incarnation == msg->running_incarnation)
		ep->running = s;
	if (msg->part)
		qua_part_schedule(ctx);
	return true;
}

/* Frees all suspects. */
void qua_clear(struct st *ctx)
{
	while (!TAILQ_EMPTY(&ctx->suspects))
		qua_remove(ctx, TAILQ_FIRST(&ctx->suspects), false);
	while (!TAILQ_EMPTY(&ctx->parts))
		qua_remove(ctx, TAILQ_FIRST(&ctx->parts), false);
}

/* Lists suspects in quarantine and others: requests, then parts, each kind
 * oldest first. */
size_t st_suspects(const struct st *ctx, const Dsp__Suspect ***out)
{
	size_t i = 0;
	const struct suspect *s;

	*out = g_new(const Dsp__Suspect *, ctx->n_suspects + ctx->n_parts + 1);
	TAILQ_FOREACH (s, &ctx->suspects, link)
		(*out)[i++] = s->msg;
	TAILQ_FOREACH (s, &ctx->parts, link)
		(*out)[i++] = s->msg;
	return i;
}
