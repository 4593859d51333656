#include <string.h>
#include <xxhash.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Claims (section 9 of docs/design.md). Up to 1,000,000 are kept, so a claim is
 * a single compact allocation; fields that only an open claim needs are in a
 * struct of their own.
 */

/*
 * An open claim becomes unknown when this time has passed since its deadline
 * (section 9).
 */
#define DEADLINE_GRACE_MS 10000
/* Maximum time from a claim to its deadline; used if it has no deadline. */
#define OPEN_MAX_MS (3600ull * 1000)
/*
 * A released claim is kept for this time, so that a delayed duplicate of the
 * proposal of the released attempt is not granted. Such a grant would do no
 * harm, but would block other attempts until the deadline.
 */
#define RELEASED_RETENTION_MS 60000
#define TEXT_LEN_MAX 255

struct body {
	TAILQ_ENTRY(body) link; /* clm.bodies, oldest first */
	struct claim *claim;
	uint32_t len;
	uint32_t content_type_len;
	uint8_t data[]; /* body, then content type and NUL */
};

/* Process that owns claims, shared by all of them. */
struct owner {
	TAILQ_HEAD(, open_claim) open;
	uint32_t refs;
	uint64_t boot;
	char *key;  /* "boot/node" */
	char *node; /* inside key */
};

/* Team name, shared by all claims of the team. */
struct team {
	uint32_t refs;
	char *name;
};

struct open_claim {
	TAILQ_ENTRY(open_claim) owner_link;
	struct claim *claim;
	GSequenceIter *expiry_iter;
	uint64_t expires_ms;
	uint64_t sequence;
};

struct claim {
	TAILQ_ENTRY(claim) link; /* the list of its state */
	struct owner *owner;
	struct team *team;
	union {
		struct open_claim *open; /* claimed */
		struct body *body;	 /* answered; may be NULL */
	};
	uint64_t claimed_ms;
	uint32_t deadline_after_ms;
	uint32_t finished_after_ms;
	uint8_t digest[ST_DIGEST_LEN];
	uint32_t status;
	uint8_t state; /* Dsp__ClaimState */
	bool body_dropped;
	uint8_t id_len;
	uint8_t attempt_len;
	char text[]; /* request id, NUL, attempt, NUL */
};
TAILQ_HEAD(claim_list, claim);

struct clm {
	const struct st_limits *limits;
	GHashTable *table; /* set of struct claim */
	GHashTable *teams;
	GHashTable *owners;
	struct claim_list open;	    /* in the order of the claims */
	struct claim_list finished; /* oldest outcome first */
	struct claim_list released; /* oldest release first */
	GSequence *expiry; /* struct open_claim by expires_ms, sequence */
	uint64_t sequence;
	TAILQ_HEAD(, body) bodies;
	uint64_t bodies_bytes;
	struct claim *lookup_key; /* scratch key for claim_find() */
	GPtrArray *query_results; /* freed with the next command */
};

static guint claim_hash(gconstpointer p)
{
	const struct claim *c = p;
	uint64_t h = XXH3_64bits(c->text, c->id_len);

	return (guint)(h ^ (h >> 32));
}

static gboolean claim_equal(gconstpointer a, gconstpointer b)
{
	const struct claim *x = a, *y = b;

	return x->team == y->team && x->id_len == y->id_len &&
	       !memcmp(x->text, y->text, x->id_len);
}

static const char *attempt_of(const struct claim *c)
{
	return c->text + c->id_len + 1;
}

/* Creates an empty table; limits must outlive it. */
struct clm *clm_new(const struct st_limits *limits)
{
	struct clm *ctx = g_new0(struct clm, 1);

	ctx->limits = limits;
	ctx->table = g_hash_table_new(claim_hash, claim_equal);
	ctx->teams = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->owners = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->expiry = g_sequence_new(NULL);
	TAILQ_INIT(&ctx->open);
	TAILQ_INIT(&ctx->finished);
	TAILQ_INIT(&ctx->released);
	TAILQ_INIT(&ctx->bodies);
	ctx->lookup_key = g_malloc0(sizeof(struct claim) + TEXT_LEN_MAX + 1);
	ctx->query_results = g_ptr_array_new_with_free_func(g_free);
	return ctx;
}

static struct team *team_get(struct clm *ctx, const char *name)
{
	struct team *team = g_hash_table_lookup(ctx->teams, name);

	if (!team) {
		team = g_new0(struct team, 1);
		team->name = g_strdup(name);
		g_hash_table_insert(ctx->teams, team->name, team);
	}
	team->refs++;
	return team;
}

static void team_put(struct clm *ctx, struct team *team)
{
	if (--team->refs)
		return;
	g_hash_table_remove(ctx->teams, team->name);
	g_free(team->name);
	g_free(team);
}

static char *owner_key(const char *node, uint64_t boot)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT "/%s", boot, node);
}

static struct owner *owner_get(struct clm *ctx, const char *node, uint64_t boot)
{
	char *key = owner_key(node, boot);
	struct owner *owner = g_hash_table_lookup(ctx->owners, key);

	if (owner) {
		g_free(key);
	} else {
		owner = g_new0(struct owner, 1);
		owner->key = key;
		owner->node = strchr(key, '/') + 1;
		owner->boot = boot;
		TAILQ_INIT(&owner->open);
		g_hash_table_insert(ctx->owners, key, owner);
	}
	owner->refs++;
	return owner;
}

static void owner_put(struct clm *ctx, struct owner *owner)
{
	if (--owner->refs)
		return;
	g_hash_table_remove(ctx->owners, owner->key);
	g_free(owner->key);
	g_free(owner);
}

static struct claim *claim_find(const struct clm *ctx, const char *team,
				const char *request_id)
{
	struct claim *lookup_key = ctx->lookup_key;
	size_t len = strlen(request_id);

	lookup_key->team = g_hash_table_lookup(ctx->teams, team);
	if (!lookup_key->team || len > TEXT_LEN_MAX)
		return NULL;
	lookup_key->id_len = (uint8_t)len;
	memcpy(lookup_key->text, request_id, len);
	return g_hash_table_lookup(ctx->table, lookup_key);
}

static uint64_t finished_ms(const struct claim *c)
{
	return c->claimed_ms + c->finished_after_ms;
}

static void set_finished_ms(struct claim *c, uint64_t wall_ms)
{
	uint64_t after = wall_ms - c->claimed_ms;

	c->finished_after_ms = (uint32_t)MIN(after, UINT32_MAX);
}

static struct claim_list *list_of(struct clm *ctx, const struct claim *c)
{
	switch ((Dsp__ClaimState)c->state) {
	case DSP__CLAIM_STATE__CLAIM_CLAIMED:
		return &ctx->open;
	case DSP__CLAIM_STATE__CLAIM_RELEASED:
		return &ctx->released;
	default:
		return &ctx->finished;
	}
}

static gint compare_expiry(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct open_claim *x = a, *y = b;

	(void)data;
	if (x->expires_ms != y->expires_ms)
		return x->expires_ms < y->expires_ms ? -1 : 1;
	if (x->sequence != y->sequence)
		return x->sequence < y->sequence ? -1 : 1;
	return 0;
}

static struct claim *claim_add(struct clm *ctx, const Dsp__Claim *msg)
{
	size_t id_len = strlen(msg->request_id);
	size_t attempt_len = strlen(msg->attempt);
	struct claim *c = g_malloc0(sizeof(*c) + id_len + attempt_len + 2);

	c->team = team_get(ctx, msg->team);
	c->owner = owner_get(ctx, msg->node, msg->boot);
	c->claimed_ms = msg->claimed_ms;
	c->deadline_after_ms = (uint32_t)(msg->deadline_ms - msg->claimed_ms);
	c->state = (uint8_t)msg->state;
	c->status = msg->status;
	c->body_dropped = msg->body_dropped;
	c->id_len = (uint8_t)id_len;
	c->attempt_len = (uint8_t)attempt_len;
	if (msg->digest.len == ST_DIGEST_LEN)
		memcpy(c->digest, msg->digest.data, ST_DIGEST_LEN);
	memcpy(c->text, msg->request_id, id_len);
	memcpy(c->text + id_len + 1, msg->attempt, attempt_len);
	g_hash_table_add(ctx->table, c);
	TAILQ_INSERT_TAIL(list_of(ctx, c), c, link);
	if (c->state != DSP__CLAIM_STATE__CLAIM_CLAIMED)
		return c;
	c->open = g_new0(struct open_claim, 1);
	c->open->claim = c;
	c->open->expires_ms =
		c->claimed_ms + c->deadline_after_ms + DEADLINE_GRACE_MS;
	c->open->sequence = ctx->sequence++;
	c->open->expiry_iter = g_sequence_insert_sorted(ctx->expiry, c->open,
							compare_expiry, NULL);
	TAILQ_INSERT_TAIL(&c->owner->open, c->open, owner_link);
	return c;
}

static void open_free(struct claim *c)
{
	TAILQ_REMOVE(&c->owner->open, c->open, owner_link);
	g_sequence_remove(c->open->expiry_iter);
	g_free(c->open);
	c->open = NULL;
}

static void body_free(struct clm *ctx, struct claim *c)
{
	struct body *b = c->body;

	if (!b)
		return;
	TAILQ_REMOVE(&ctx->bodies, b, link);
	ctx->bodies_bytes -= b->len;
	g_free(b);
	c->body = NULL;
}

static void claim_remove(struct clm *ctx, struct claim *c)
{
	TAILQ_REMOVE(list_of(ctx, c), c, link);
	g_hash_table_remove(ctx->table, c);
	if (c->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
		open_free(c);
	else
		body_free(ctx, c);
	team_put(ctx, c->team);
	owner_put(ctx, c->owner);
	g_free(c);
}

static void claim_end(struct clm *ctx, struct claim *c, Dsp__ClaimState state,
		      uint64_t wall_ms)
{
	TAILQ_REMOVE(list_of(ctx, c), c, link);
	if (c->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
		open_free(c);
	c->state = (uint8_t)state;
	set_finished_ms(c, wall_ms);
	TAILQ_INSERT_TAIL(list_of(ctx, c), c, link);
}

/* Stores a body and evicts the oldest ones beyond claim_bodies_bytes. */
static void body_store(struct clm *ctx, struct claim *c, const char *type,
		       const ProtobufCBinaryData *data)
{
	size_t content_type_len = strlen(type);
	struct body *b;

	if (!data->len && !content_type_len)
		return;
	if (data->len > ctx->limits->claim_body_bytes ||
	    data->len > ctx->limits->claim_bodies_bytes ||
	    content_type_len > TEXT_LEN_MAX) {
		c->body_dropped = true;
		return;
	}
	b = g_malloc(sizeof(*b) + data->len + content_type_len + 1);
	b->claim = c;
	b->len = (uint32_t)data->len;
	b->content_type_len = (uint32_t)content_type_len;
	if (data->len)
		memcpy(b->data, data->data, data->len);
	memcpy(b->data + data->len, type, content_type_len + 1);
	c->body = b;
	TAILQ_INSERT_TAIL(&ctx->bodies, b, link);
	ctx->bodies_bytes += b->len;
	while (ctx->bodies_bytes > ctx->limits->claim_bodies_bytes) {
		struct claim *oldest = TAILQ_FIRST(&ctx->bodies)->claim;

		body_free(ctx, oldest);
		oldest->body_dropped = true;
	}
}

static void remove_expired(struct clm *ctx, struct claim_list *list,
			   uint64_t retention_ms, uint64_t wall_ms)
{
	struct claim *c, *next;

	for (c = TAILQ_FIRST(list); c; c = next) {
		if (finished_ms(c) + retention_ms > wall_ms)
			return;
		next = TAILQ_NEXT(c, link);
		claim_remove(ctx, c);
	}
}

/*
 * Applies the time limits: open claims past their deadline and grace time
 * become unknown, outcomes and releases past their retention time are removed.
 * The cost is proportional to the number of claims that are due.
 */
void clm_expire(struct clm *ctx, uint64_t wall_ms)
{
	uint64_t retention_ms = (uint64_t)ctx->limits->claim_retention_ms;

	while (!g_sequence_is_empty(ctx->expiry)) {
		struct open_claim *o =
			g_sequence_get(g_sequence_get_begin_iter(ctx->expiry));

		if (o->expires_ms > wall_ms)
			break;
		claim_end(ctx, o->claim, DSP__CLAIM_STATE__CLAIM_UNKNOWN,
			  wall_ms);
	}
	remove_expired(ctx, &ctx->finished, retention_ms, wall_ms);
	remove_expired(ctx, &ctx->released, RELEASED_RETENTION_MS, wall_ms);
}

/* Sets the open claims of a process that has ended to unknown. */
void clm_owner_failed(struct clm *ctx, const char *node, uint64_t boot,
		      uint64_t wall_ms)
{
	char *key = owner_key(node, boot);
	struct owner *owner = g_hash_table_lookup(ctx->owners, key);

	g_free(key);
	while (owner && !TAILQ_EMPTY(&owner->open))
		claim_end(ctx, TAILQ_FIRST(&owner->open)->claim,
			  DSP__CLAIM_STATE__CLAIM_UNKNOWN, wall_ms);
}

/* Fills msg; its strings and bytes point into the claim. */
static void claim_to_msg(const struct claim *c, Dsp__Claim *msg)
{
	dsp__claim__init(msg);
	msg->team = c->team->name;
	msg->request_id = (char *)c->text;
	msg->digest.data = (uint8_t *)c->digest;
	msg->digest.len = ST_DIGEST_LEN;
	msg->attempt = (char *)attempt_of(c);
	msg->node = c->owner->node;
	msg->boot = c->owner->boot;
	msg->state = (Dsp__ClaimState)c->state;
	msg->claimed_ms = c->claimed_ms;
	msg->deadline_ms = c->claimed_ms + c->deadline_after_ms;
	msg->status = c->status;
	msg->body_dropped = c->body_dropped;
	if (c->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
		return;
	msg->finished_ms = finished_ms(c);
	if (c->body) {
		msg->body.data = c->body->data;
		msg->body.len = c->body->len;
		msg->content_type = (char *)c->body->data + c->body->len;
	}
}

static Dsp__CommandResult *claim_result(const struct st *ctx,
					Dsp__ResultCode code,
					const char *message,
					const struct claim *c)
{
	Dsp__CommandResult *result = st_result(ctx, code, message);
	Dsp__Claim msg;

	if (c) {
		claim_to_msg(c, &msg);
		result->claim = msg_dup(&msg);
	}
	return result;
}

static bool text_ok(const char *text)
{
	size_t len = strlen(text);

	return len >= 1 && len <= TEXT_LEN_MAX;
}

/* Evicts the oldest release if the table is full; false: it is still full. */
static bool make_room(struct clm *ctx)
{
	if (g_hash_table_size(ctx->table) >= ctx->limits->claims_max &&
	    !TAILQ_EMPTY(&ctx->released))
		claim_remove(ctx, TAILQ_FIRST(&ctx->released));
	return g_hash_table_size(ctx->table) < ctx->limits->claims_max;
}

/* A claim of a process that has ended would never get an outcome. */
static bool owner_has_ended(const struct st *ctx, const Dsp__Claim *msg)
{
	const struct node *node = node_find(ctx, msg->node);

	if (!node)
		return false;
	return node->msg->boot != msg->boot || node->down_ms;
}

static Dsp__CommandResult *claim_grant(struct st *ctx,
				       const Dsp__Claim *requested)
{
	Dsp__Claim msg = *requested;
	uint64_t now = ctx->wall_ms;

	if (!msg.deadline_ms || msg.deadline_ms > now + OPEN_MAX_MS)
		msg.deadline_ms = now + OPEN_MAX_MS;
	if (msg.deadline_ms + DEADLINE_GRACE_MS <= now)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "deadline passed", NULL);
	if (owner_has_ended(ctx, &msg))
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "earlier boot", NULL);
	if (!make_room(ctx->claims))
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
				    "claims table is full", NULL);
	/* The clock of an entry may be behind by less than the grace time. */
	msg.deadline_ms = MAX(msg.deadline_ms, now);
	msg.claimed_ms = now;
	msg.state = DSP__CLAIM_STATE__CLAIM_CLAIMED;
	msg.status = 0;
	msg.body_dropped = false;
	return claim_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL,
			    claim_add(ctx->claims, &msg));
}

/*
 * Grants a claim to one attempt, or returns the existing claim: RESULT_SAME
 * with an open claim of the same attempt (granted before) or with an outcome,
 * RESULT_CONFLICT with an open claim of another attempt, RESULT_INVALID with a
 * claim of a request with another digest. RESULT_STALE: the attempt was
 * released, its deadline has passed or its process has ended.
 */
Dsp__CommandResult *clm_create(struct st *ctx, const Dsp__ClaimCreate *cmd)
{
	const Dsp__Claim *msg = cmd->claim;
	struct claim *c;
	bool same_attempt;

	if (!msg || !text_ok(msg->team) || !text_ok(msg->request_id) ||
	    !text_ok(msg->attempt) || msg->digest.len != ST_DIGEST_LEN)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "team, request id, attempt or digest is "
				    "missing or too long",
				    NULL);
	c = claim_find(ctx->claims, msg->team, msg->request_id);
	if (!c)
		return claim_grant(ctx, msg);
	same_attempt = !strcmp(attempt_of(c), msg->attempt);
	if (c->state == DSP__CLAIM_STATE__CLAIM_RELEASED) {
		if (same_attempt)
			return claim_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
					    "released by this attempt", c);
		claim_remove(ctx->claims, c);
		return claim_grant(ctx, msg);
	}
	if (memcmp(c->digest, msg->digest.data, ST_DIGEST_LEN) != 0)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "request id was used for another request",
				    c);
	if (c->state == DSP__CLAIM_STATE__CLAIM_CLAIMED && !same_attempt)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_CONFLICT,
				    "claimed by another attempt", c);
	return claim_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL, c);
}

/*
 * Records a release that was committed before the proposal of the same attempt,
 * so that the proposal is not granted afterwards.
 */
static void remember_release(struct st *ctx, const Dsp__ClaimFinish *cmd)
{
	Dsp__Claim msg = DSP__CLAIM__INIT;

	if (!text_ok(cmd->team) || !text_ok(cmd->request_id) ||
	    !text_ok(cmd->attempt) || !make_room(ctx->claims))
		return;
	msg.team = cmd->team;
	msg.request_id = cmd->request_id;
	msg.attempt = cmd->attempt;
	msg.state = DSP__CLAIM_STATE__CLAIM_RELEASED;
	msg.claimed_ms = msg.deadline_ms = ctx->wall_ms;
	claim_add(ctx->claims, &msg);
}

/*
 * Sets the outcome that the owning attempt reports. An outcome is final, except
 * that the owner may still store the response of an unknown one.
 */
Dsp__CommandResult *clm_finish(struct st *ctx, const Dsp__ClaimFinish *cmd)
{
	const Dsp__ClaimState claimed = DSP__CLAIM_STATE__CLAIM_CLAIMED;
	const Dsp__ClaimState unknown = DSP__CLAIM_STATE__CLAIM_UNKNOWN;
	const Dsp__ClaimState answered = DSP__CLAIM_STATE__CLAIM_ANSWERED;
	const Dsp__ClaimState released = DSP__CLAIM_STATE__CLAIM_RELEASED;
	struct claim *c = claim_find(ctx->claims, cmd->team, cmd->request_id);

	if (cmd->state != answered && cmd->state != unknown &&
	    cmd->state != released)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "not an outcome", c);
	if (!c && cmd->state == released)
		remember_release(ctx, cmd);
	if (!c)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
				    NULL, NULL);
	if (strcmp(attempt_of(c), cmd->attempt) != 0)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "another attempt owns the claim", c);
	if (c->state == cmd->state)
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL,
				    c);
	if (c->state != claimed &&
	    !(c->state == unknown && cmd->state == answered))
		return claim_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "the outcome is final", c);
	claim_end(ctx->claims, c, cmd->state, ctx->wall_ms);
	if (cmd->state == answered) {
		c->status = cmd->status;
		body_store(ctx->claims, c, cmd->content_type, &cmd->body);
	}
	return claim_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL, c);
}

/* Returns a claim as of this position in the log. */
Dsp__CommandResult *clm_get(struct st *ctx, const Dsp__ClaimGet *cmd)
{
	const struct claim *c =
		claim_find(ctx->claims, cmd->team, cmd->request_id);

	return claim_result(ctx,
			    c ? DSP__RESULT_CODE__RESULT_OK
			      : DSP__RESULT_CODE__RESULT_NOT_FOUND,
			    NULL, c);
}

/* Frees the messages that clm_query() and clm_query_open() returned. */
void clm_release_queries(struct clm *ctx)
{
	if (ctx->query_results->len)
		g_ptr_array_set_size(ctx->query_results, 0);
}

static const Dsp__Claim *query_new(const struct clm *ctx, const struct claim *c)
{
	Dsp__Claim *msg = g_new(Dsp__Claim, 1);

	claim_to_msg(c, msg);
	g_ptr_array_add(ctx->query_results, msg);
	return msg;
}

/* Returns a claim, or NULL; valid until the next command. */
const Dsp__Claim *clm_query(const struct clm *ctx, const char *team,
			    const char *request_id)
{
	const struct claim *c = claim_find(ctx, team, request_id);

	return c ? query_new(ctx, c) : NULL;
}

/* Lists the open claims, oldest first; free the array with g_free(). */
size_t clm_query_open(const struct clm *ctx, const Dsp__Claim ***out)
{
	GPtrArray *all = g_ptr_array_new();
	const struct claim *c;
	size_t n;

	TAILQ_FOREACH (c, &ctx->open, link)
		g_ptr_array_add(all, (gpointer)query_new(ctx, c));
	n = all->len;
	*out = (const Dsp__Claim **)g_ptr_array_free(all, FALSE);
	return n;
}

/*
 * Calls visit for all claims; the message is valid during the call. Restoring
 * them in this order gives an equal table: bodies are evicted in the order of
 * the finished list.
 */
void clm_visit(const struct clm *ctx,
	       void (*visit)(void *data, const Dsp__Claim *claim), void *data)
{
	const struct claim_list *lists[] = { &ctx->open, &ctx->finished,
					     &ctx->released };
	const struct claim *c;
	Dsp__Claim msg;

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		TAILQ_FOREACH (c, lists[i], link) {
			claim_to_msg(c, &msg);
			visit(data, &msg);
		}
	}
}

/* Restores a claim from clm_visit(); false: it is invalid or exists. */
bool clm_restore(struct clm *ctx, const Dsp__Claim *msg)
{
	struct claim *c;

	if (!text_ok(msg->team) || !text_ok(msg->request_id) ||
	    !text_ok(msg->attempt) || msg->deadline_ms < msg->claimed_ms ||
	    claim_find(ctx, msg->team, msg->request_id))
		return false;
	c = claim_add(ctx, msg);
	if (c->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
		return true;
	set_finished_ms(c, msg->finished_ms);
	if (c->state == DSP__CLAIM_STATE__CLAIM_ANSWERED && !c->body_dropped)
		body_store(ctx, c, msg->content_type, &msg->body);
	return true;
}

static void list_clear(struct clm *ctx, struct claim_list *list)
{
	struct claim *c, *next;

	for (c = TAILQ_FIRST(list); c; c = next) {
		next = TAILQ_NEXT(c, link);
		claim_remove(ctx, c);
	}
}

/* Frees the table. */
void clm_free(struct clm *ctx)
{
	list_clear(ctx, &ctx->open);
	list_clear(ctx, &ctx->finished);
	list_clear(ctx, &ctx->released);
	g_sequence_free(ctx->expiry);
	g_hash_table_destroy(ctx->table);
	g_hash_table_destroy(ctx->teams);
	g_hash_table_destroy(ctx->owners);
	g_ptr_array_free(ctx->query_results, TRUE);
	g_free(ctx->lookup_key);
	g_free(ctx);
}
