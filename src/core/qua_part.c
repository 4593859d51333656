#include <string.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Prompt parts and requests that crash endpoints (section 10 of
 * docs/design.md). A part of a request whose answer had not begun when its
 * endpoint crashed is suspected; an answer with that part that begins
 * afterwards clears it. After two crashes without such an answer it is
 * quarantined: requests with it are refused, but for granted runs with growing
 * pauses, one at a time in the whole system.
 *
 * The whole request is suspected too. Few others are the same, so it needs a
 * grant from its first crash on, and is quarantined if a granted run ends in a
 * crash. The others that were in flight with it are cleared by their own runs.
 */

/* Crashes that quarantine a part. */
#define CRASHES 2
/* Crashes of endpoints within this time may have one common cause and count as
 * one. The delays of reports may add to it. */
#define JOINT_MS 300
/* Time for answers that have begun to be reported, since the first crash. */
#define CONTEST_MS 800
/* A suspected part is dropped when it crashes nothing more. */
#define SUSPECTED_MS 30000
/* Pause before the first granted run, which clears a sound part that was
 * quarantined along with the faulty one. */
#define FIRST_PAUSE_MS 2000
/* Pause after the first failed run; it grows by PAUSE_FACTOR each. */
#define PAUSE_MS 20000
#define PAUSE_FACTOR 3
#define PAUSE_MAX_MS 600000
/* The same for a whole request: endpoints that it has crashed are back before
 * the first. */
#define REQUEST_PAUSE_MS 5000
#define REQUEST_PAUSE_FACTOR 12
/* A granted run without an outcome has failed. */
#define RUN_MS 30000
/* Bounds views; the parts with the fewest crashes go first. */
#define PARTS_MAX 512
/* Remembered crashes of a part. */
#define CRASHED_MAX 16

static uint64_t change_ms(const struct st *ctx, const Dsp__Suspect *msg)
{
	if (msg->run_ms)
		return msg->run_ms + RUN_MS;
	if (msg->quarantined)
		return msg->since_ms + (uint64_t)ctx->limits.quarantine_ms;
	if (!msg->request && msg->crashes >= CRASHES &&
	    msg->first_ms + CONTEST_MS > ctx->wall_ms)
		return msg->first_ms + CONTEST_MS;
	return msg->last_ms + SUSPECTED_MS;
}

/* Sets the time at which the next part changes without evidence. */
void qua_part_schedule(struct st *ctx)
{
	const struct suspect *s;

	ctx->parts_due_ms = UINT64_MAX;
	TAILQ_FOREACH (s, &ctx->parts, link)
		ctx->parts_due_ms =
			MIN(ctx->parts_due_ms, change_ms(ctx, s->msg));
}

static Dsp__SuspectCrash *find_crash(const Dsp__Suspect *msg,
				     const char *endpoint, uint64_t incarnation)
{
	for (size_t i = 0; i < msg->n_crashed; i++)
		if (msg->crashed[i]->incarnation == incarnation &&
		    !strcmp(msg->crashed[i]->endpoint, endpoint))
			return msg->crashed[i];
	return NULL;
}

/* Remembers a crash; the oldest one beyond CRASHED_MAX is forgotten. */
static Dsp__SuspectCrash *add_crash(Dsp__Suspect *msg, const char *endpoint,
				    uint64_t incarnation, bool counted)
{
	Dsp__SuspectCrash *crash = g_new(Dsp__SuspectCrash, 1);

	dsp__suspect_crash__init(crash);
	crash->endpoint = g_strdup(endpoint);
	crash->incarnation = incarnation;
	crash->counted = counted;
	if (msg->n_crashed >= CRASHED_MAX) {
		dsp__suspect_crash__free_unpacked(msg->crashed[0], NULL);
		msg->n_crashed--;
		memmove(msg->crashed, msg->crashed + 1,
			msg->n_crashed * sizeof(void *));
	}
	msg->crashed =
		g_renew(Dsp__SuspectCrash *, msg->crashed, msg->n_crashed + 1);
	msg->crashed[msg->n_crashed++] = crash;
	return crash;
}

static uint64_t pause_ms(const Dsp__Suspect *msg)
{
	uint64_t pause = msg->request ? REQUEST_PAUSE_MS : PAUSE_MS;
	uint64_t factor = msg->request ? REQUEST_PAUSE_FACTOR : PAUSE_FACTOR;

	if (!msg->failed_runs)
		return FIRST_PAUSE_MS;
	for (uint32_t i = 1; i < msg->failed_runs && pause < PAUSE_MAX_MS; i++)
		pause *= factor;
	return MIN(pause, PAUSE_MAX_MS);
}

static void quarantine_part(struct st *ctx, struct suspect *s)
{
	s->msg->quarantined = true;
	s->msg->since_ms = ctx->wall_ms;
	s->msg->retry_ms = ctx->wall_ms + pause_ms(s->msg);
	item_touch(ctx, &s->item);
}

/*
 * Returns the highest number of crashes of a part in quarantine that is known
 * to have been in this crash; 0: none.
 */
static size_t known_weight(const struct st *ctx, const char *endpoint,
			   uint64_t incarnation)
{
	const struct suspect *s;
	size_t weight = 0;

	TAILQ_FOREACH (s, &ctx->parts, link)
		if (s->msg->quarantined && s->msg->n_crashed > weight &&
		    find_crash(s->msg, endpoint, incarnation))
			weight = s->msg->n_crashed;
	return weight;
}

/*
 * Marks a crash that a quarantined part explains, so that it does not count for
 * the other parts. One with as many crashes as the quarantined one (weight) is
 * at least as likely to be the cause.
 */
static void explain_crash(struct st *ctx, const char *endpoint,
			  uint64_t incarnation, size_t weight)
{
	struct suspect *s;

	TAILQ_FOREACH (s, &ctx->parts, link) {
		Dsp__SuspectCrash *crash;

		if (s->msg->quarantined || s->msg->request ||
		    s->msg->n_crashed >= weight)
			continue;
		crash = find_crash(s->msg, endpoint, incarnation);
		if (!crash || crash->explained)
			continue;
		crash->explained = true;
		if (crash->counted)
			s->msg->crashes--;
		item_touch(ctx, &s->item);
	}
}

/* Undoes explain_crash() unless another part in quarantine explains it. */
static void reopen_crash(struct st *ctx, const char *endpoint,
			 uint64_t incarnation)
{
	size_t weight = known_weight(ctx, endpoint, incarnation);
	struct suspect *s;

	TAILQ_FOREACH (s, &ctx->parts, link) {
		Dsp__SuspectCrash *crash;

		if (s->msg->quarantined || s->msg->request ||
		    s->msg->n_crashed < weight)
			continue;
		crash = find_crash(s->msg, endpoint, incarnation);
		if (!crash || !crash->explained)
			continue;
		crash->explained = false;
		if (crash->counted)
			s->msg->crashes++;
		item_touch(ctx, &s->item);
	}
}

static bool is_due(const struct st *ctx, const Dsp__Suspect *msg)
{
	return !msg->quarantined && !msg->request && msg->crashes >= CRASHES &&
	       msg->first_ms + CONTEST_MS <= ctx->wall_ms;
}

static bool share_a_crash(const Dsp__Suspect *a, const Dsp__Suspect *b)
{
	for (size_t i = 0; i < a->n_crashed; i++)
		if (find_crash(b, a->crashed[i]->endpoint,
			       a->crashed[i]->incarnation))
			return true;
	return false;
}

/* Whether another part was in more crashes, some of them the same ones. */
static bool has_likelier(const struct st *ctx, const Dsp__Suspect *msg)
{
	const struct suspect *s;

	TAILQ_FOREACH (s, &ctx->parts, link)
		if (!s->msg->quarantined &&
		    s->msg->n_crashed > msg->n_crashed &&
		    share_a_crash(s->msg, msg))
			return true;
	return false;
}

/* Quarantines the parts with enough crashes that no answer has cleared. */
static void judge_parts(struct st *ctx)
{
	GPtrArray *found = g_ptr_array_new();
	struct suspect *s;

	TAILQ_FOREACH (s, &ctx->parts, link)
		if (is_due(ctx, s->msg) && !has_likelier(ctx, s->msg))
			g_ptr_array_add(found, s);
	for (guint i = 0; i < found->len; i++)
		quarantine_part(ctx, found->pdata[i]);
	for (guint i = 0; i < found->len; i++) {
		const Dsp__Suspect *msg =
			((const struct suspect *)found->pdata[i])->msg;

		for (size_t j = 0; j < msg->n_crashed; j++)
			explain_crash(ctx, msg->crashed[j]->endpoint,
				      msg->crashed[j]->incarnation,
				      msg->n_crashed);
	}
	g_ptr_array_free(found, TRUE);
}

/*
 * Removes a part that is sound, or whose fault has ended. The crashes that it
 * explained count for the others again.
 */
void qua_part_clear(struct st *ctx, struct suspect *s)
{
	Dsp__Suspect *msg = msg_dup(s->msg);

	qua_remove(ctx, s, true);
	for (size_t i = 0; i < msg->n_crashed; i++)
		reopen_crash(ctx, msg->crashed[i]->endpoint,
			     msg->crashed[i]->incarnation);
	dsp__suspect__free_unpacked(msg, NULL);
	judge_parts(ctx);
	qua_part_schedule(ctx);
}

/* Counts a granted run that ended in a crash or had no outcome. */
void qua_part_failed(struct st *ctx, struct suspect *s)
{
	qua_end_grant(ctx, s);
	s->msg->failed_runs++;
	quarantine_part(ctx, s);
	qua_part_schedule(ctx);
}

/* Notes the time of a grant; the caller touches the record. */
void qua_part_granted(struct st *ctx, struct suspect *s)
{
	s->msg->run_ms = ctx->wall_ms;
	qua_part_schedule(ctx);
}

/* Applies what happens to parts by the passing of time. */
void qua_part_expire(struct st *ctx)
{
	struct suspect *s, *next;

	if (ctx->wall_ms < ctx->parts_due_ms)
		return;
	judge_parts(ctx);
	for (s = TAILQ_FIRST(&ctx->parts); s; s = next) {
		next = TAILQ_NEXT(s, link);
		if (ctx->wall_ms < change_ms(ctx, s->msg))
			continue;
		if (s->msg->run_ms && s->msg->quarantined)
			qua_part_failed(ctx, s);
		else
			qua_remove(ctx, s, true);
	}
	judge_parts(ctx);
	qua_part_schedule(ctx);
}

/* Returns the wall-clock time from which an Expire command is due for prompt
 * parts; UINT64_MAX: none. */
uint64_t st_parts_due_ms(const struct st *ctx)
{
	return ctx->parts_due_ms;
}

/*
 * Makes room for one part: drops the oldest of the suspected parts with the
 * fewest crashes. Returns false if all are in quarantine.
 */
static bool evict_part(struct st *ctx)
{
	struct suspect *s, *fewest = NULL;

	TAILQ_FOREACH (s, &ctx->parts, link)
		if (!s->msg->quarantined &&
		    (!fewest || s->msg->crashes < fewest->msg->crashes))
			fewest = s;
	if (fewest)
		qua_remove(ctx, fewest, true);
	return fewest != NULL;
}

static struct suspect *
add_suspect(struct st *ctx, const ProtobufCBinaryData *digest, bool request)
{
	Dsp__Suspect *msg = g_new(Dsp__Suspect, 1);

	dsp__suspect__init(msg);
	msg->part = true;
	msg->request = request;
	msg->digest.data = g_memdup2(digest->data, digest->len);
	msg->digest.len = digest->len;
	msg->crashes = 1;
	msg->since_ms = ctx->wall_ms;
	msg->first_ms = ctx->wall_ms;
	msg->last_ms = ctx->wall_ms;
	return qua_add(ctx, msg, ctx->index);
}

/*
 * Records a request that an instance saw in a crash before its evidence has
 * arrived. Returns NULL if there is no room.
 */
struct suspect *qua_part_suspect(struct st *ctx,
				 const ProtobufCBinaryData *digest)
{
	if (digest->len != ST_DIGEST_LEN ||
	    (ctx->n_parts >= PARTS_MAX && !evict_part(ctx)))
		return NULL;
	return add_suspect(ctx, digest, true);
}

/* Counts a crash for a request. Returns false if the table was full. */
static bool count_request_crash(struct st *ctx,
				const ProtobufCBinaryData *digest,
				const Dsp__PartCrash *msg)
{
	struct suspect *s = qua_find(ctx, digest);
	bool full = !s && ctx->n_parts >= PARTS_MAX;

	if (!s)
		s = qua_part_suspect(ctx, digest);
	if (!s || !s->msg->request || s->msg->quarantined ||
	    find_crash(s->msg, msg->endpoint, msg->incarnation))
		return !full;
	add_crash(s->msg, msg->endpoint, msg->incarnation, true);
	s->msg->crashes = (uint32_t)s->msg->n_crashed;
	s->msg->last_ms = ctx->wall_ms;
	item_touch(ctx, &s->item);
	return !full;
}

/*
 * Counts a crash for a part. One with less crashes than weight is not added, or
 * only remembers the crash. Returns false if the table was full, whether or not
 * there was room.
 */
static bool count_crash(struct st *ctx, const ProtobufCBinaryData *digest,
			const Dsp__PartCrash *msg, size_t weight)
{
	struct suspect *s = qua_find(ctx, digest);
	Dsp__SuspectCrash *crash;

	if (!s && !weight) {
		bool full = ctx->n_parts >= PARTS_MAX;

		if (full && !evict_part(ctx))
			return false;
		s = add_suspect(ctx, digest, false);
		add_crash(s->msg, msg->endpoint, msg->incarnation, true);
		return !full;
	}
	if (!s || !s->msg->part || s->msg->request || s->msg->quarantined ||
	    find_crash(s->msg, msg->endpoint, msg->incarnation))
		return true;
	crash = add_crash(s->msg, msg->endpoint, msg->incarnation,
			  s->msg->last_ms + JOINT_MS <= ctx->wall_ms);
	crash->explained = s->msg->n_crashed <= weight;
	if (crash->counted) {
		s->msg->last_ms = ctx->wall_ms;
		s->msg->crashes += !crash->explained;
	}
	item_touch(ctx, &s->item);
	return true;
}

/*
 * Notes the crash at those of the digests that are in quarantine or were
 * granted a run on this endpoint, which has failed. A repeated report has no
 * effect.
 */
static void blame_known(struct st *ctx, const Dsp__PartCrash *crash,
			const ProtobufCBinaryData *digests, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct suspect *s = qua_find(ctx, &digests[i]);
		bool granted;

		if (!s || !s->msg->part)
			continue;
		granted = !strcmp(s->msg->running_endpoint, crash->endpoint) &&
			  s->msg->running_incarnation == crash->incarnation;
		if (!granted && !s->msg->quarantined)
			continue;
		if (!find_crash(s->msg, crash->endpoint, crash->incarnation)) {
			add_crash(s->msg, crash->endpoint, crash->incarnation,
				  true);
			s->msg->crashes++;
			item_touch(ctx, &s->item);
		}
		if (granted)
			qua_part_failed(ctx, s);
	}
}

static bool apply_crash(struct st *ctx, const Dsp__PartCrash *crash)
{
	bool room = true;
	size_t weight;

	blame_known(ctx, crash, crash->digests, crash->n_digests);
	blame_known(ctx, crash, crash->requests, crash->n_requests);
	weight = known_weight(ctx, crash->endpoint, crash->incarnation);
	explain_crash(ctx, crash->endpoint, crash->incarnation, weight);
	for (size_t i = 0; i < crash->n_digests; i++)
		if (!count_crash(ctx, &crash->digests[i], crash, weight))
			room = false;
	for (size_t i = 0; i < crash->n_requests; i++)
		if (!count_request_crash(ctx, &crash->requests[i], crash))
			room = false;
	return room;
}

static bool are_digests(const ProtobufCBinaryData *digests, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (digests[i].len != ST_DIGEST_LEN)
			return false;
	return true;
}

/*
 * Applies what entries saw of prompt parts and requests. begun holds those of
 * answers that began after the entry had seen them as suspected; answers from
 * before the crash prove nothing and must not be reported. RESULT_LIMIT:
 * PARTS_MAX is reached and suspected ones were dropped or not recorded.
 */
Dsp__CommandResult *qua_part_evidence(struct st *ctx,
				      const Dsp__PartEvidence *cmd)
{
	bool valid = are_digests(cmd->begun, cmd->n_begun), room = true;

	for (size_t i = 0; i < cmd->n_crashes; i++)
		if (!are_digests(cmd->crashes[i]->digests,
				 cmd->crashes[i]->n_digests) ||
		    !are_digests(cmd->crashes[i]->requests,
				 cmd->crashes[i]->n_requests) ||
		    !*cmd->crashes[i]->endpoint)
			valid = false;
	if (!valid)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "digest is not 16 bytes, or no endpoint");
	for (size_t i = 0; i < cmd->n_begun; i++) {
		struct suspect *s = qua_find(ctx, &cmd->begun[i]);

		if (s && s->msg->part)
			qua_part_clear(ctx, s);
	}
	for (size_t i = 0; i < cmd->n_crashes; i++)
		if (!apply_crash(ctx, cmd->crashes[i]))
			room = false;
	judge_parts(ctx);
	qua_part_schedule(ctx);
	return st_result(ctx,
			 room ? DSP__RESULT_CODE__RESULT_OK
			      : DSP__RESULT_CODE__RESULT_LIMIT,
			 NULL);
}
