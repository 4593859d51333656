#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

/*
 * Evidence about prompt parts. An attempt that breaks off before its answer was
 * begun may have crashed its endpoint. If the endpoint's process has ended, the
 * parts of all such attempts there are reported, once for each process.
 */

/* Time limit of the connection by which a crash is confirmed; longer than a
 * round trip between sites. */
#define PROBE_TIMEOUT_US 150000
/* A view that arrives within this time after the break may confirm the crash,
 * too. */
#define CONFIRM_US (3 * EDGE_S_US)
/* Processes that are remembered as crashed, or suspected to be. */
#define CHECKS_MAX 64
/* Parts in the evidence of one crash. */
#define DIGESTS_MAX 256
/* Parts that are named in one log line. */
#define LOG_DIGESTS_MAX 12

/* An endpoint's process at which attempts have broken off. */
struct check {
	TAILQ_ENTRY(check) link;
	struct edge *edge;
	char *endpoint;
	uint64_t incarnation;
	int64_t broke_us;
	struct hio_probe *probe; /* NULL: none in progress */
	bool reported;
	GByteArray *digests; /* WIRE_DIGEST_LEN bytes each */
	unsigned n_attempts; /* that they are from */
	TAILQ_HEAD(, edge_attempt) waiting;
};

struct edge_parts {
	struct edge *edge;
	LIST_HEAD(, edge_attempt) attempts;
	TAILQ_HEAD(, check) checks; /* oldest first */
	unsigned n_checks;
};

/* Creates the collection without any attempts. */
struct edge_parts *edge_parts_new(struct edge *edge)
{
	struct edge_parts *ctx = g_new0(struct edge_parts, 1);

	ctx->edge = edge;
	LIST_INIT(&ctx->attempts);
	TAILQ_INIT(&ctx->checks);
	return ctx;
}

static void check_free(struct edge_parts *ctx, struct check *c)
{
	TAILQ_REMOVE(&ctx->checks, c, link);
	ctx->n_checks--;
	hio_probe_cancel(c->probe);
	g_byte_array_free(c->digests, TRUE);
	g_free(c->endpoint);
	g_free(c);
}

/* Frees the collection after all attempts have ended; NULL is allowed. */
void edge_parts_free(struct edge_parts *ctx)
{
	if (!ctx)
		return;
	while (!TAILQ_EMPTY(&ctx->checks))
		check_free(ctx, TAILQ_FIRST(&ctx->checks));
	g_free(ctx);
}

/* ---- Attempts ---- */

/* Registers an attempt that is sent to an endpoint. */
void edge_parts_sent(struct edge_parts *ctx, struct edge_attempt *attempt,
		     const struct wire_request *request,
		     const struct bal_endpoint *endpoint)
{
	edge_parts_forget(attempt);
	attempt->request = request;
	attempt->endpoint = g_strdup(bal_id(endpoint));
	attempt->incarnation = bal_incarnation(endpoint);
	attempt->address = g_strdup(bal_address(endpoint));
	attempt->is_listed = true;
	LIST_INSERT_HEAD(&ctx->attempts, attempt, link);
}

static void unlist(struct edge_attempt *attempt)
{
	if (attempt->is_listed)
		LIST_REMOVE(attempt, link);
	attempt->is_listed = false;
}

/* Handles that an attempt's answer is begun: its endpoint has survived it. */
void edge_parts_begun(struct edge_parts *ctx, struct edge_attempt *attempt)
{
	(void)ctx;
	unlist(attempt);
}

/* Handles the end of an attempt; a wait for a check goes on. */
void edge_parts_ended(struct edge_attempt *attempt)
{
	unlist(attempt);
}

/* Ends the wait for a check, too, and releases the attempt. */
void edge_parts_forget(struct edge_attempt *attempt)
{
	unlist(attempt);
	if (attempt->check)
		TAILQ_REMOVE(&attempt->check->waiting, attempt, wait_link);
	attempt->check = NULL;
	g_clear_pointer(&attempt->endpoint, g_free);
	g_clear_pointer(&attempt->address, g_free);
}

/* ---- Crashes ---- */

static bool has_digest(const GByteArray *digests, const uint8_t *digest)
{
	for (guint i = 0; i < digests->len; i += WIRE_DIGEST_LEN)
		if (!memcmp(digests->data + i, digest, WIRE_DIGEST_LEN))
			return true;
	return false;
}

static void add_parts(struct check *c, const struct wire_request *request)
{
	c->n_attempts++;
	for (size_t i = 0; i < request->n_parts; i++) {
		const uint8_t *digest = request->parts[i].digest;

		if (c->digests->len < DIGESTS_MAX * WIRE_DIGEST_LEN &&
		    !has_digest(c->digests, digest))
			g_byte_array_append(c->digests, digest,
					    WIRE_DIGEST_LEN);
	}
}

static void collect_parts(struct edge_parts *ctx, struct check *c)
{
	struct edge_attempt *attempt;

	g_byte_array_set_size(c->digests, 0);
	c->n_attempts = 0;
	LIST_FOREACH (attempt, &ctx->attempts, link)
		if (attempt->incarnation == c->incarnation &&
		    !strcmp(attempt->endpoint, c->endpoint))
			add_parts(c, attempt->request);
}

static char *digests_text(const GByteArray *digests)
{
	GString *out = g_string_new(NULL);
	guint n = MIN(digests->len / WIRE_DIGEST_LEN, LOG_DIGESTS_MAX);

	for (guint i = 0; i < n * WIRE_DIGEST_LEN; i++)
		g_string_append_printf(out, "%s%02x",
				       i && i % WIRE_DIGEST_LEN == 0 ? "," : "",
				       digests->data[i]);
	return g_string_free(out, FALSE);
}

static void report(struct check *c, const char *confirmed_by)
{
	Dsp__PartEvidence evidence = DSP__PART_EVIDENCE__INIT;
	Dsp__PartCrash crash = DSP__PART_CRASH__INIT;
	Dsp__PartCrash *crashes[] = { &crash };
	guint n = c->digests->len / WIRE_DIGEST_LEN;
	g_autofree ProtobufCBinaryData *digests =
		g_new0(ProtobufCBinaryData, n + 1);
	g_autofree char *text = digests_text(c->digests);

	c->reported = true;
	for (guint i = 0; i < n; i++)
		digests[i] = (ProtobufCBinaryData){
			.data = c->digests->data + (gsize)i * WIRE_DIGEST_LEN,
			.len = WIRE_DIGEST_LEN,
		};
	crash.endpoint = c->endpoint;
	crash.incarnation = c->incarnation;
	crash.digests = digests;
	crash.n_digests = n;
	evidence.crashes = crashes;
	evidence.n_crashes = G_N_ELEMENTS(crashes);
	ctl_part_evidence(c->edge->ctl, &evidence);
	met_count(c->edge->met, "dandelionspar_edge_part_crashes", "", 1);
	LOG_EVENT_NOTICE("parts", "crash",
			 "endpoint=%s incarnation=%" PRIu64
			 " confirmed_by=%s attempts=%u parts=%u digests=%s "
			 "age_us=%" PRId64,
			 c->endpoint, c->incarnation, confirmed_by,
			 c->n_attempts, n, text,
			 clk_now_us(c->edge->clock) - c->broke_us);
}

/* Lets the attempts that wait for the check go on. */
static void release_waiting(struct check *c)
{
	struct edge_attempt *attempt;

	while ((attempt = TAILQ_FIRST(&c->waiting))) {
		edge_parts_forget(attempt);
		fwd_crash_checked(attempt, c->reported);
	}
}

static const char *probe_result_name(enum hio_probe_result result)
{
	switch (result) {
	case HIO_PROBE_CONNECTED:
		return "connected";
	case HIO_PROBE_REFUSED:
		return "refused";
	case HIO_PROBE_UNKNOWN:
		break;
	}
	return "unknown";
}

static void on_probed(void *data, enum hio_probe_result result)
{
	struct check *c = data;

	c->probe = NULL;
	if (c->reported) {
		release_waiting(c);
		return;
	}
	if (result == HIO_PROBE_REFUSED) {
		report(c, "refused_connection");
	} else {
		met_count(c->edge->met, "dandelionspar_edge_part_no_crash", "",
			  1);
		LOG_EVENT_INFO("parts", "no_crash",
			       "endpoint=%s incarnation=%" PRIu64
			       " probe=%s attempts=%u",
			       c->endpoint, c->incarnation,
			       probe_result_name(result), c->n_attempts);
	}
	release_waiting(c);
}

static struct check *find_check(struct edge_parts *ctx, const char *endpoint,
				uint64_t incarnation)
{
	struct check *c;

	TAILQ_FOREACH (c, &ctx->checks, link)
		if (c->incarnation == incarnation &&
		    !strcmp(c->endpoint, endpoint))
			return c;
	return NULL;
}

/* Makes room for a check by removing the oldest without a probe. Returns false
 * if there is none. */
static bool make_room(struct edge_parts *ctx)
{
	struct check *c;

	if (ctx->n_checks < CHECKS_MAX)
		return true;
	TAILQ_FOREACH (c, &ctx->checks, link) {
		if (c->probe)
			continue;
		check_free(ctx, c);
		return true;
	}
	return false;
}

static struct check *check_new(struct edge_parts *ctx,
			       const struct edge_attempt *attempt)
{
	struct check *c;

	if (!make_room(ctx))
		return NULL;
	c = g_new0(struct check, 1);
	c->edge = ctx->edge;
	c->endpoint = g_strdup(attempt->endpoint);
	c->incarnation = attempt->incarnation;
	c->digests = g_byte_array_new();
	TAILQ_INIT(&c->waiting);
	TAILQ_INSERT_TAIL(&ctx->checks, c, link);
	ctx->n_checks++;
	return c;
}

/* An endpoint that was about to end is no evidence, nor is one that was
 * removed. */
static bool was_expected_to_end(const struct edge_parts *ctx,
				const struct edge_attempt *attempt)
{
	const Dsp__Endpoint *e =
		view_endpoint(ctx->edge->view, attempt->endpoint);

	return !e || (e->incarnation == attempt->incarnation &&
		      e->state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING);
}

/*
 * Handles an attempt that broke off without an answer. Returns true if the
 * attempt waits until it is known whether its endpoint has crashed;
 * fwd_crash_checked() is called then, but not before this returns.
 */
bool edge_parts_broken(struct edge_parts *ctx, struct edge_attempt *attempt)
{
	struct check *c;

	if (!attempt->is_listed || !attempt->request->n_parts ||
	    was_expected_to_end(ctx, attempt))
		return false;
	c = find_check(ctx, attempt->endpoint, attempt->incarnation);
	if (c && c->reported)
		return false;
	if (!c)
		c = check_new(ctx, attempt);
	if (!c)
		return false;
	if (!c->probe) {
		c->broke_us = clk_now_us(ctx->edge->clock);
		collect_parts(ctx, c);
		c->probe = hio_probe_start(ctx->edge->base, attempt->address,
					   PROBE_TIMEOUT_US, on_probed, c);
	}
	unlist(attempt);
	attempt->check = c;
	TAILQ_INSERT_TAIL(&c->waiting, attempt, wait_link);
	return true;
}

/* Confirms crashes by a new view: the process is gone or was replaced. */
void edge_parts_view_changed(struct edge_parts *ctx)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	struct check *c;

	TAILQ_FOREACH (c, &ctx->checks, link) {
		const Dsp__Endpoint *e =
			view_endpoint(ctx->edge->view, c->endpoint);

		if (c->reported || !e || now_us - c->broke_us > CONFIRM_US)
			continue;
		if (e->incarnation != c->incarnation ||
		    e->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
			report(c, "view");
	}
}
