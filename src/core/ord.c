#include <string.h>
#include <xxhash.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Orders and the memory ledger (section 8 of docs/design.md).
 *
 * A slot is counted while its copy is resident, a load of it is unanswered, or
 * an answered load of it may be delivered once more ("repeatable"). What ends
 * the last state:
 * - engines that check fences and incarnations: a residency report whose fence
 *   is above the load, or a finished unload with a higher fence;
 * - engines that check incarnations only: a new incarnation;
 * - other engines: nothing. A process that checks neither executes whatever
 *   arrives, and one that checks fences only starts again at fence 0.
 * A load that its creator sent exactly once, in a service whose document says
 * orders_may_duplicate = false, never becomes repeatable.
 */

/* Finished orders that are kept for late answers and queries. */
#define FINISHED_MAX 4096

static const Dsp__OrderState pending_state = DSP__ORDER_STATE__ORDER_PENDING;

/* Hashes the key of a slot: endpoint, model, version, adapter. */
guint slot_key_hash(gconstpointer p)
{
	const struct slot *s = p;
	uint64_t h = XXH3_64bits(s->model, strlen(s->model));

	h = XXH3_64bits_withSeed(s->version, strlen(s->version), h);
	h = XXH3_64bits_withSeed(s->adapter, strlen(s->adapter), h);
	return (guint)(h ^ ((uintptr_t)s->endpoint >> 4));
}

/* Compares the keys of two slots. */
gboolean slot_key_equal(gconstpointer a, gconstpointer b)
{
	const struct slot *x = a, *y = b;

	return x->endpoint == y->endpoint && !strcmp(x->model, y->model) &&
	       !strcmp(x->version, y->version) &&
	       !strcmp(x->adapter, y->adapter);
}

/* Frees a model_slots entry of the hash table. */
void model_slots_free(gpointer p)
{
	struct model_slots *m = p;

	g_free(m->key);
	g_free(m);
}

static struct model_slots *model_slots_get(struct st *ctx, const char *team,
					   const char *model)
{
	char *key = g_strdup_printf("%s/%s", team, model);
	struct model_slots *m = g_hash_table_lookup(ctx->model_by_key, key);

	if (m) {
		g_free(key);
		return m;
	}
	m = g_new0(struct model_slots, 1);
	m->key = key;
	TAILQ_INIT(&m->slots);
	g_hash_table_insert(ctx->model_by_key, key, m);
	return m;
}

static struct slot *slots_of_key(const struct st *ctx,
				 const struct endpoint *ep, const char *model,
				 const char *version, const char *adapter)
{
	struct slot key = {
		.endpoint = (struct endpoint *)ep,
		.model = (char *)model,
		.version = (char *)version,
		.adapter = (char *)adapter,
	};

	return g_hash_table_lookup(ctx->slot_by_key, &key);
}

static struct slot *slot_find(const struct st *ctx, const struct endpoint *ep,
			      const char *model, const char *version,
			      const char *adapter, uint32_t first,
			      uint32_t accelerators)
{
	struct slot *s = slots_of_key(ctx, ep, model, version, adapter);

	while (s && (s->first != first || s->accelerators != accelerators))
		s = s->next_span;
	return s;
}

/* Enters a slot into the lists and tables of the current incarnation. */
static void slot_attach(struct st *ctx, struct slot *s)
{
	s->next_span = g_hash_table_lookup(ctx->slot_by_key, s);
	g_hash_table_replace(ctx->slot_by_key, s, s);
	TAILQ_INSERT_TAIL(&s->endpoint->slots, s, link);
	if (*s->adapter)
		return;
	s->published = model_slots_get(ctx, s->endpoint->msg->team, s->model);
	TAILQ_INSERT_TAIL(&s->published->slots, s, model_link);
}

static void slot_detach(struct st *ctx, struct slot *s)
{
	struct slot *head = g_hash_table_lookup(ctx->slot_by_key, s);

	if (head == s) {
		g_hash_table_remove(ctx->slot_by_key, s);
		if (s->next_span)
			g_hash_table_add(ctx->slot_by_key, s->next_span);
	} else {
		while (head->next_span != s)
			head = head->next_span;
		head->next_span = s->next_span;
	}
	s->next_span = NULL;
	TAILQ_REMOVE(&s->endpoint->slots, s, link);
	if (!s->published)
		return;
	TAILQ_REMOVE(&s->published->slots, s, model_link);
	if (TAILQ_EMPTY(&s->published->slots))
		g_hash_table_remove(ctx->model_by_key, s->published->key);
	s->published = NULL;
}

static struct slot *slot_new(struct endpoint *ep, const char *model,
			     const char *version, const char *adapter,
			     uint32_t first, uint32_t accelerators)
{
	struct slot *s = g_new0(struct slot, 1);

	s->endpoint = ep;
	s->model = g_strdup(model);
	s->version = g_strdup(version);
	s->adapter = g_strdup(adapter);
	s->first = first;
	s->accelerators = accelerators;
	return s;
}

static void slot_free(struct slot *s)
{
	g_free(s->model);
	g_free(s->version);
	g_free(s->adapter);
	g_free(s);
}

static struct slot *slot_get(struct st *ctx, struct endpoint *ep,
			     const char *model, const char *version,
			     const char *adapter, uint32_t first,
			     uint32_t accelerators)
{
	struct slot *s = slot_find(ctx, ep, model, version, adapter, first,
				   accelerators);

	if (s)
		return s;
	s = slot_new(ep, model, version, adapter, first, accelerators);
	slot_attach(ctx, s);
	return s;
}

static void use_memory(const struct slot *s, int64_t mb)
{
	for (uint32_t i = 0; i < s->accelerators; i++)
		s->endpoint->used_mb[s->first + i] += (uint64_t)mb;
}

/* Raises the memory of a slot; a slot never shrinks while it is counted. */
static void slot_raise(struct slot *s, uint32_t memory_mb)
{
	if (memory_mb <= s->memory_mb)
		return;
	if (s->counted)
		use_memory(s, (int64_t)memory_mb - s->memory_mb);
	s->memory_mb = memory_mb;
}

/* Adapts the ledger to the state of a slot; frees a slot without any use. */
static void slot_settle(struct st *ctx, struct slot *s)
{
	bool count = s->resident || s->pending_loads || s->repeatable;

	if (count != s->counted) {
		use_memory(s, count ? s->memory_mb : -(int64_t)s->memory_mb);
		s->counted = count;
	}
	if (count)
		return;
	s->memory_mb = 0;
	if (s->pending_unloads)
		return;
	slot_detach(ctx, s);
	slot_free(s);
}

static bool is_load(const struct order *o)
{
	return o->msg->kind == DSP__ORDER_KIND__ORDER_LOAD;
}

static bool is_unload(const struct order *o)
{
	return o->msg->kind == DSP__ORDER_KIND__ORDER_UNLOAD;
}

static void count_transit(struct st *ctx, const struct order *o, bool add)
{
	uint32_t *counter = *o->msg->adapter ? &ctx->adapters_in_transit
					     : &ctx->loads_in_transit;

	if (is_load(o))
		*counter += add ? 1 : -1;
}

static bool counts_in_transit(const struct endpoint *ep)
{
	return ep->msg->state != DSP__ENDPOINT_STATE__ENDPOINT_DOWN;
}

/*
 * Adds or removes the loads of an endpoint that goes up or down. The loads of
 * a dead endpoint must not block the store for all others.
 */
void ord_count_transit(struct st *ctx, const struct endpoint *ep, bool add)
{
	const struct order *o;

	TAILQ_FOREACH (o, &ep->pending, endpoint_link)
		count_transit(ctx, o, add);
}

static void order_free(struct st *ctx, struct order *o)
{
	g_hash_table_remove(ctx->order_by_id, &o->msg->id);
	dsp__order__free_unpacked(o->msg, NULL);
	g_free(o);
}

static void add_finished(struct st *ctx, struct order *o)
{
	TAILQ_INSERT_TAIL(&ctx->finished, o, link);
	if (++ctx->n_finished <= FINISHED_MAX)
		return;
	o = TAILQ_FIRST(&ctx->finished);
	TAILQ_REMOVE(&ctx->finished, o, link);
	ctx->n_finished--;
	order_free(ctx, o);
}

static void add_pending(struct st *ctx, struct order *o)
{
	TAILQ_INSERT_TAIL(&ctx->pending, o, link);
	TAILQ_INSERT_TAIL(&o->endpoint->pending, o, endpoint_link);
	if (counts_in_transit(o->endpoint))
		count_transit(ctx, o, true);
	if (!o->slot)
		return;
	if (is_load(o))
		o->slot->pending_loads++;
	else
		o->slot->pending_unloads++;
}

/* Ends a pending order. The slot is neither settled nor freed here. */
static void order_end(struct st *ctx, struct order *o, Dsp__OrderState state)
{
	if (counts_in_transit(o->endpoint))
		count_transit(ctx, o, false);
	TAILQ_REMOVE(&ctx->pending, o, link);
	TAILQ_REMOVE(&o->endpoint->pending, o, endpoint_link);
	if (o->slot && is_load(o))
		o->slot->pending_loads--;
	else if (o->slot)
		o->slot->pending_unloads--;
	o->slot = NULL;
	o->endpoint = NULL;
	o->msg->state = state;
	add_finished(ctx, o);
}

/* Ends a load whose delivery may still happen or happen again. */
static void load_end(struct st *ctx, struct order *o, Dsp__OrderState state,
		     bool repeatable)
{
	struct slot *s = o->slot;

	if (repeatable && o->msg->id > s->repeatable)
		s->repeatable = o->msg->id;
	s->last_finish = ctx->index;
	order_end(ctx, o, state);
}

static Dsp__Features features(const struct endpoint *ep)
{
	Dsp__Features none = DSP__FEATURES__INIT;

	return ep->msg->features ? *ep->msg->features : none;
}

/* Whether a fence bounds what can still be executed for good. */
static bool trusts_fence(const struct endpoint *ep)
{
	Dsp__Features f = features(ep);

	return f.fencing && f.checks_incarnation;
}

static bool may_duplicate(const struct st *ctx, const struct endpoint *ep)
{
	const struct doc *doc = document_parsed(ctx, ep->msg->team);
	const struct doc_service *service;

	service = doc ? doc_service(doc, ep->msg->service) : NULL;
	return !service || service->orders_may_duplicate;
}

static bool copy_ready(const struct slot *s)
{
	return s->listed && s->ready && !s->unloading && !s->pending_unloads;
}

static bool same_copy(const Dsp__Copy *c, const struct slot *s)
{
	return !strcmp(c->model, s->model) && !strcmp(c->version, s->version) &&
	       !strcmp(c->adapter, s->adapter) &&
	       c->first_accelerator == s->first &&
	       c->accelerators == s->accelerators && c->order == s->order &&
	       c->memory_mb == s->memory_mb &&
	       c->ready == (s->listed && s->ready) &&
	       c->unloading == (s->unloading || s->pending_unloads);
}

static bool is_shown(const struct slot *s)
{
	return s->listed || s->pending_loads;
}

static Dsp__Copy *copy_new(const struct slot *s)
{
	Dsp__Copy *c = g_new(Dsp__Copy, 1);

	dsp__copy__init(c);
	c->model = g_strdup(s->model);
	c->version = g_strdup(s->version);
	c->adapter = g_strdup(s->adapter);
	c->first_accelerator = s->first;
	c->accelerators = s->accelerators;
	c->order = s->order;
	c->memory_mb = s->memory_mb;
	c->ready = s->listed && s->ready;
	c->unloading = s->unloading || s->pending_unloads;
	return c;
}

/*
 * Brings the copies in the endpoint's record up to date with the ledger.
 * Returns whether they changed.
 */
bool ord_refresh_copies(struct st *ctx, struct endpoint *ep)
{
	Dsp__Endpoint *msg = ep->msg;
	const struct slot *s;
	bool same = true;
	size_t n = 0, i = 0;

	TAILQ_FOREACH (s, &ep->slots, link) {
		if (!is_shown(s))
			continue;
		same = same && n < msg->n_copies &&
		       same_copy(msg->copies[n], s);
		n++;
	}
	if (same && n == msg->n_copies)
		return false;
	for (i = 0; i < msg->n_copies; i++)
		dsp__copy__free_unpacked(msg->copies[i], NULL);
	msg->copies = g_renew(Dsp__Copy *, msg->copies, n + 1);
	msg->n_copies = n;
	i = 0;
	TAILQ_FOREACH (s, &ep->slots, link)
		if (is_shown(s))
			msg->copies[i++] = copy_new(s);
	item_touch(ctx, &ep->item);
	return true;
}

static uint32_t document_memory(const struct st *ctx, const struct endpoint *ep,
				const char *model, const char *adapter)
{
	const struct doc *doc = document_parsed(ctx, ep->msg->team);
	const struct doc_model *m;
	const struct doc_adapter *a;

	if (!doc)
		return 0;
	if (*adapter) {
		a = doc_adapter(doc, model, adapter);
		return a ? a->memory_mb : 0;
	}
	m = doc_model(doc, model);
	return m ? m->memory_mb : 0;
}

/* Takes the reported copies into the slots; the others are not listed. */
static void list_copies(struct st *ctx, struct endpoint *ep, Dsp__Copy **copies,
			size_t n_copies)
{
	struct slot *s;

	TAILQ_FOREACH (s, &ep->slots, link)
		s->listed = s->ready = s->unloading = false;
	for (size_t i = 0; i < n_copies; i++) {
		const Dsp__Copy *c = copies[i];

		if (!c->accelerators || !*c->model ||
		    (uint64_t)c->first_accelerator + c->accelerators >
			    ep->msg->accelerators)
			continue;
		s = slot_get(ctx, ep, c->model, c->version, c->adapter,
			     c->first_accelerator, c->accelerators);
		slot_raise(s, c->memory_mb ? c->memory_mb
					   : document_memory(ctx, ep, c->model,
							     c->adapter));
		s->listed = true;
		s->resident = true;
		s->ready = c->ready;
		s->unloading = c->unloading;
		s->order = c->order;
	}
}

static void settle_all(struct st *ctx, struct endpoint *ep)
{
	struct slot *s, *next;

	for (s = TAILQ_FIRST(&ep->slots); s; s = next) {
		next = TAILQ_NEXT(s, link);
		slot_settle(ctx, s);
	}
}

/* Adds an empty set of reservations for an incarnation that was replaced. */
struct life *life_new(struct endpoint *ep, uint64_t incarnation)
{
	struct life *life = g_new0(struct life, 1);

	life->incarnation = incarnation;
	TAILQ_INIT(&life->slots);
	TAILQ_INSERT_TAIL(&ep->retired, life, link);
	ep->n_retired++;
	return life;
}

/* Frees the reservations of an incarnation that was replaced. */
void life_free(struct endpoint *ep, struct life *life)
{
	struct slot *s, *next;

	for (s = TAILQ_FIRST(&life->slots); s; s = next) {
		next = TAILQ_NEXT(s, link);
		slot_free(s);
	}
	TAILQ_REMOVE(&ep->retired, life, link);
	ep->n_retired--;
	g_free(life);
}

static void void_pending(struct st *ctx, struct endpoint *ep)
{
	struct order *o;

	while ((o = TAILQ_FIRST(&ep->pending))) {
		if (is_load(o))
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID, true);
		else
			order_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID);
	}
}

/*
 * Voids all orders of the incarnation that ended and sets its reservations
 * aside: the next process rejects what was ordered for this one.
 */
struct life *ord_retire(struct st *ctx, struct endpoint *ep)
{
	struct life *life = life_new(ep, ep->msg->incarnation);
	struct slot *s, *next;

	void_pending(ctx, ep);
	settle_all(ctx, ep);
	for (s = TAILQ_FIRST(&ep->slots); s; s = next) {
		next = TAILQ_NEXT(s, link);
		use_memory(s, -(int64_t)s->memory_mb);
		s->counted = s->listed = s->ready = s->unloading = false;
		slot_detach(ctx, s);
		TAILQ_INSERT_TAIL(&life->slots, s, link);
	}
	life->fence = ep->fence;
	ep->fence = 0;
	return life;
}

/* Counts the reservations of an incarnation that announced itself again. */
void ord_return(struct st *ctx, struct endpoint *ep, struct life *life)
{
	struct slot *s, *next;

	for (s = TAILQ_FIRST(&life->slots); s; s = next) {
		next = TAILQ_NEXT(s, link);
		TAILQ_REMOVE(&life->slots, s, link);
		slot_attach(ctx, s);
		s->counted = true;
		use_memory(s, s->memory_mb);
	}
	ep->fence = life->fence;
	life_free(ep, life);
}

/*
 * Voids all orders of the incarnation that ended. The next process does not
 * check incarnations, so all loads that were not certainly delivered for the
 * last time stay counted. ord_adopt() follows.
 */
void ord_restart(struct st *ctx, struct endpoint *ep)
{
	struct slot *s;

	void_pending(ctx, ep);
	TAILQ_FOREACH (s, &ep->slots, link) {
		s->listed = s->ready = s->unloading = false;
		/*
		 * The new process may have executed a load after its first
		 * announcement was written.
		 */
		s->resident = s->resident && s->last_load;
	}
	ep->fence = 0;
}

/* Takes over the copies that a new incarnation reports at its start. */
void ord_adopt(struct st *ctx, struct endpoint *ep, Dsp__Copy **copies,
	       size_t n_copies)
{
	list_copies(ctx, ep, copies, n_copies);
	settle_all(ctx, ep);
	ord_refresh_copies(ctx, ep);
}

/* Whether orders or copies are known that keep the endpoint's record. */
bool ord_has_reservations(const struct endpoint *ep)
{
	return !TAILQ_EMPTY(&ep->slots) || !TAILQ_EMPTY(&ep->pending);
}

static Dsp__CommandResult *order_result(const struct st *ctx,
					Dsp__ResultCode code,
					const char *message,
					const struct order *o)
{
	Dsp__CommandResult *result = st_result(ctx, code, message);

	if (o)
		result->order = msg_dup(o->msg);
	return result;
}

static Dsp__CommandResult *reject(const struct st *ctx, Dsp__ResultCode code,
				  const char *message)
{
	return order_result(ctx, code, message, NULL);
}

/* The document must publish what is loaded, with at most this memory. */
static const char *load_fault(const struct st *ctx, const struct endpoint *ep,
			      const Dsp__Order *msg)
{
	const struct doc *doc = document_parsed(ctx, ep->msg->team);
	const struct doc_model *m = doc ? doc_model(doc, msg->model) : NULL;
	const struct doc_adapter *a;

	if (!m || strcmp(m->service, ep->msg->service))
		return "model is not in the document in force";
	if (m->accelerators != msg->accelerators)
		return "accelerators differ from the document";
	if (!*msg->adapter) {
		if (strcmp(m->version, msg->version))
			return "version is not in the document in force";
		if (msg->memory_mb < m->memory_mb)
			return "less memory than in the document";
		return NULL;
	}
	a = doc_adapter(doc, msg->model, msg->adapter);
	if (!a)
		return "adapter is not in the document in force";
	if (msg->memory_mb < a->memory_mb)
		return "less memory than in the document";
	return NULL;
}

static bool fits(const struct endpoint *ep, const struct slot *s,
		 const Dsp__Order *msg)
{
	uint32_t held = s && s->counted ? s->memory_mb : 0;
	uint64_t more = msg->memory_mb > held ? msg->memory_mb - held : 0;

	/*
	 * A late residency report can list a copy again whose memory was
	 * ordered otherwise in between. No load is accepted then, not even
	 * of that copy.
	 */
	for (uint32_t i = 0; i < msg->accelerators; i++)
		if (ep->used_mb[msg->first_accelerator + i] + more >
		    ep->msg->accelerator_memory_mb)
			return false;
	return true;
}

static Dsp__CommandResult *check_load(const struct st *ctx,
				      const struct endpoint *ep,
				      const Dsp__Order *msg)
{
	const struct slot *s =
		slot_find(ctx, ep, msg->model, msg->version, msg->adapter,
			  msg->first_accelerator, msg->accelerators);
	const char *fault = load_fault(ctx, ep, msg);

	if (ep->msg->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
		return reject(ctx, DSP__RESULT_CODE__RESULT_STALE,
			      "endpoint is leaving or down");
	if (fault)
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID, fault);
	if (!fits(ep, s, msg))
		return reject(ctx, DSP__RESULT_CODE__RESULT_OVERCOMMIT,
			      "accelerator memory would be overcommitted");
	if (!*msg->adapter && ctx->loads_in_transit >= ctx->parallel_loads_max)
		return reject(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
			      "too many parallel loads from the store");
	if (*msg->adapter && ctx->adapters_in_transit >= ctx->adapters_max)
		return reject(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
			      "too many adapters in transit");
	return NULL;
}

/*
 * A copy may go only when another ready copy of the version in the document
 * in force remains on an endpoint that takes new requests.
 */
static bool is_last_ready_copy(const struct st *ctx, const struct slot *s)
{
	const Dsp__EndpointState up = DSP__ENDPOINT_STATE__ENDPOINT_UP;
	const struct doc *doc = document_parsed(ctx, s->endpoint->msg->team);
	const struct doc_model *m = doc ? doc_model(doc, s->model) : NULL;
	const struct slot *other;

	if (!m || !s->published || !copy_ready(s) ||
	    s->endpoint->msg->state != up ||
	    strcmp(m->service, s->endpoint->msg->service))
		return false;
	TAILQ_FOREACH (other, &s->published->slots, model_link)
		if (other != s && copy_ready(other) &&
		    other->endpoint->msg->state == up &&
		    !strcmp(other->version, m->version))
			return false;
	return true;
}

static Dsp__CommandResult *check_unload(const struct st *ctx,
					const struct endpoint *ep,
					const Dsp__Order *msg)
{
	const struct slot *s =
		slot_find(ctx, ep, msg->model, msg->version, msg->adapter,
			  msg->first_accelerator, msg->accelerators);

	if (!s)
		return reject(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
			      "no such copy");
	if (is_last_ready_copy(ctx, s))
		return reject(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
			      "last ready copy of a published model");
	return NULL;
}

static Dsp__CommandResult *check_order(const struct st *ctx,
				       const struct endpoint *ep,
				       const Dsp__Order *msg)
{
	bool has_span = msg->kind == DSP__ORDER_KIND__ORDER_LOAD ||
			msg->kind == DSP__ORDER_KIND__ORDER_UNLOAD;

	if (!ep)
		return reject(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
			      "no such endpoint");
	if (ep->msg->incarnation != msg->incarnation)
		return reject(ctx, DSP__RESULT_CODE__RESULT_STALE,
			      "earlier incarnation");
	if (ep->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
		return reject(ctx, DSP__RESULT_CODE__RESULT_STALE,
			      "endpoint is down");
	if (*msg->team && strcmp(msg->team, ep->msg->team))
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "endpoint of another team");
	if (has_span && (!*msg->model || !msg->accelerators ||
			 (uint64_t)msg->first_accelerator + msg->accelerators >
				 ep->msg->accelerators))
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "no model, or no such accelerators");
	switch (msg->kind) {
	case DSP__ORDER_KIND__ORDER_LOAD:
		return check_load(ctx, ep, msg);
	case DSP__ORDER_KIND__ORDER_UNLOAD:
		return check_unload(ctx, ep, msg);
	case DSP__ORDER_KIND__ORDER_ROLE:
		if (!features(ep).roles)
			return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				      "endpoint has no roles");
		return NULL;
	case DSP__ORDER_KIND__ORDER_FENCE:
		return NULL;
	default:
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "unknown kind of order");
	}
}

/*
 * Commits an order; its id and fence are the log index. It is rejected when it
 * would break memory, transit limits or the reachability of a model.
 */
Dsp__CommandResult *ord_create(struct st *ctx, const Dsp__OrderCreate *cmd)
{
	const Dsp__Order *msg = cmd->order;
	Dsp__CommandResult *rejection;
	struct endpoint *ep;
	struct order *o;

	if (!msg)
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "no order");
	ep = endpoint_find(ctx, msg->endpoint);
	rejection = check_order(ctx, ep, msg);
	if (rejection)
		return rejection;
	o = g_new0(struct order, 1);
	o->endpoint = ep;
	o->msg = msg_dup(msg);
	o->msg->id = ctx->index;
	o->msg->state = pending_state;
	o->msg->created_ms = ctx->wall_ms;
	st_replace_string(&o->msg->team, ep->msg->team);
	if (is_load(o) || is_unload(o))
		o->slot = slot_get(ctx, ep, msg->model, msg->version,
				   msg->adapter, msg->first_accelerator,
				   msg->accelerators);
	if (is_load(o)) {
		slot_raise(o->slot, msg->memory_mb);
		o->slot->last_load = ctx->index;
		if (!o->slot->listed)
			o->slot->order = ctx->index;
		ep->ever_loaded = true;
	}
	g_hash_table_insert(ctx->order_by_id, &o->msg->id, o);
	add_pending(ctx, o);
	if (o->slot)
		slot_settle(ctx, o->slot);
	ord_refresh_copies(ctx, ep);
	return order_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL, o);
}

/* Voids the unanswered loads of a slot that have a lower id than an unload. */
static void void_loads_before(struct st *ctx, struct slot *s, uint64_t id)
{
	struct order *o, *next;

	for (o = TAILQ_FIRST(&s->endpoint->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		if (o->slot == s && is_load(o) && o->msg->id < id)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID, true);
	}
}

static bool has_load_before(const struct slot *s, uint64_t id)
{
	const struct order *o;

	TAILQ_FOREACH (o, &s->endpoint->pending, endpoint_link)
		if (o->slot == s && is_load(o) && o->msg->id < id)
			return true;
	return false;
}

static void load_done(struct st *ctx, struct order *o, bool sent_once)
{
	struct slot *s = o->slot;

	s->resident = s->listed = s->ready = true;
	s->order = o->msg->id;
	load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE,
		 !sent_once || may_duplicate(ctx, s->endpoint));
}

/*
 * A finished unload frees the memory of every load that the engine executed
 * before. With fences these are all loads with a lower id. Without, they are
 * the loads that were answered before the unload was committed.
 */
static void unload_done(struct st *ctx, struct order *o)
{
	struct slot *s = o->slot;
	uint64_t id = o->msg->id;

	order_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE);
	if (features(s->endpoint).fencing) {
		void_loads_before(ctx, s, id);
		if (s->last_load > id)
			return;
		if (trusts_fence(s->endpoint))
			s->repeatable = 0;
	} else if (s->last_finish > id || has_load_before(s, id)) {
		return;
	}
	s->resident = s->listed = s->ready = s->unloading = false;
}

/* Takes the answer of an endpoint to an order. */
Dsp__CommandResult *ord_finish(struct st *ctx, const Dsp__OrderFinish *cmd)
{
	struct order *o = g_hash_table_lookup(ctx->order_by_id, &cmd->order);
	bool done = cmd->state == DSP__ORDER_STATE__ORDER_DONE;
	struct endpoint *ep;
	struct slot *s;

	if (!o)
		return reject(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
			      "no such order");
	if (!done && cmd->state != DSP__ORDER_STATE__ORDER_REFUSED)
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "an endpoint reports an order done or refused");
	if (o->msg->state != pending_state)
		return order_result(ctx,
				    o->msg->state == cmd->state
					    ? DSP__RESULT_CODE__RESULT_SAME
					    : DSP__RESULT_CODE__RESULT_STALE,
				    "order is finished", o);
	ep = o->endpoint;
	s = o->slot;
	if (done && o->msg->id > ep->fence)
		ep->fence = o->msg->id;
	if (is_load(o) && done) {
		load_done(ctx, o, cmd->sent_once);
	} else if (is_load(o)) {
		load_end(ctx, o, cmd->state,
			 !cmd->sent_once || may_duplicate(ctx, ep));
	} else if (is_unload(o) && done) {
		unload_done(ctx, o);
	} else {
		if (o->msg->kind == DSP__ORDER_KIND__ORDER_ROLE && done &&
		    ep->msg->role != o->msg->role) {
			ep->msg->role = o->msg->role;
			item_touch(ctx, &ep->item);
		}
		order_end(ctx, o, cmd->state);
	}
	if (s)
		slot_settle(ctx, s);
	ord_refresh_copies(ctx, ep);
	return order_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL, o);
}

/*
 * Decides an unanswered order of an engine that checks fences from a report
 * with fence: orders below it can no longer start. An order with the fence
 * itself has started, or a repetition of it may still do so.
 */
static void resolve_by_report(struct st *ctx, struct order *o, uint64_t fence)
{
	const struct slot *s = o->slot;
	bool before = o->msg->id < fence;
	bool mine;

	switch (o->msg->kind) {
	case DSP__ORDER_KIND__ORDER_LOAD:
		mine = s->listed && s->order == o->msg->id;
		if (mine && s->ready)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE, true);
		else if (before && !mine)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID, true);
		break;
	case DSP__ORDER_KIND__ORDER_UNLOAD:
		if (!s->listed)
			order_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE);
		else if (before && !s->unloading)
			order_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID);
		break;
	case DSP__ORDER_KIND__ORDER_FENCE:
		order_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE);
		break;
	default:
		if (before)
			order_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID);
	}
}

/* Report of an engine that checks fences: the list is complete. */
static void report_fenced(struct st *ctx, struct endpoint *ep,
			  const Dsp__ResidencyReport *cmd)
{
	uint64_t fence = cmd->highest_fence;
	struct order *o, *next;
	struct slot *s;

	list_copies(ctx, ep, cmd->copies, cmd->n_copies);
	for (o = TAILQ_FIRST(&ep->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		if (o->msg->id <= fence)
			resolve_by_report(ctx, o, fence);
	}
	TAILQ_FOREACH (s, &ep->slots, link) {
		s->resident =
			s->listed || (s->resident && s->last_load > fence);
		if (s->repeatable < fence && trusts_fence(ep))
			s->repeatable = 0;
	}
	ep->fence = fence;
}

/*
 * Report of an engine that ignores fences: it cannot be ordered against loads,
 * so a missing copy proves nothing unless no load was ever ordered for it.
 */
static void report_unfenced(struct st *ctx, struct endpoint *ep,
			    const Dsp__ResidencyReport *cmd)
{
	struct order *o, *next;
	struct slot *s;

	list_copies(ctx, ep, cmd->copies, cmd->n_copies);
	for (o = TAILQ_FIRST(&ep->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		/* Without duplicates the answer says more: see sent_once. */
		if (is_load(o) && o->slot->listed && o->slot->ready &&
		    o->slot->order == o->msg->id && may_duplicate(ctx, ep))
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE, true);
	}
	TAILQ_FOREACH (s, &ep->slots, link)
		if (!s->listed && !s->last_load)
			s->resident = false;
}

/* Takes a residency report; one that is older than a known fence is stale. */
Dsp__CommandResult *ord_report(struct st *ctx, const Dsp__ResidencyReport *cmd)
{
	struct endpoint *ep = endpoint_find(ctx, cmd->endpoint);

	if (!ep)
		return reject(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
			      "no such endpoint");
	if (ep->msg->incarnation != cmd->incarnation)
		return reject(ctx, DSP__RESULT_CODE__RESULT_STALE,
			      "earlier incarnation");
	if (!features(ep).fencing) {
		report_unfenced(ctx, ep, cmd);
	} else if (cmd->highest_fence >= ctx->index) {
		return reject(ctx, DSP__RESULT_CODE__RESULT_INVALID,
			      "fence of no order");
	} else if (cmd->highest_fence < ep->fence) {
		return reject(ctx, DSP__RESULT_CODE__RESULT_STALE,
			      "older than a report before");
	} else {
		report_fenced(ctx, ep, cmd);
	}
	settle_all(ctx, ep);
	return reject(ctx,
		      ord_refresh_copies(ctx, ep)
			      ? DSP__RESULT_CODE__RESULT_OK
			      : DSP__RESULT_CODE__RESULT_SAME,
		      NULL);
}

static bool restore_retired(struct endpoint *ep, struct slot *s,
			    uint64_t incarnation)
{
	struct life *life;

	TAILQ_FOREACH (life, &ep->retired, link) {
		if (life->incarnation != incarnation)
			continue;
		TAILQ_INSERT_TAIL(&life->slots, s, link);
		return true;
	}
	slot_free(s);
	return false;
}

/* Restores a reservation; its endpoint comes first. */
bool ord_restore_slot(struct st *ctx, const Dsp__Reservation *msg)
{
	struct endpoint *ep = endpoint_find(ctx, msg->endpoint);
	uint64_t end = (uint64_t)msg->first_accelerator + msg->accelerators;
	struct slot *s;

	if (!ep)
		return false;
	if (end > ep->n_used) {
		ep->used_mb = g_renew(uint64_t, ep->used_mb, end + 1);
		memset(ep->used_mb + ep->n_used, 0,
		       (end + 1 - ep->n_used) * sizeof(*ep->used_mb));
		ep->n_used = (uint32_t)end;
	}
	s = slot_new(ep, msg->model, msg->version, msg->adapter,
		     msg->first_accelerator, msg->accelerators);
	s->memory_mb = msg->memory_mb;
	s->order = msg->order;
	s->resident = msg->resident;
	s->listed = msg->listed;
	s->ready = msg->ready;
	s->unloading = msg->unloading;
	s->repeatable = msg->repeatable;
	s->last_load = msg->last_load;
	s->last_finish = msg->last_finish;
	if (msg->retired)
		return restore_retired(ep, s, msg->incarnation);
	slot_attach(ctx, s);
	/* With unanswered loads only, ord_restore_order() counts the slot. */
	if (s->resident || s->repeatable) {
		s->counted = true;
		use_memory(s, s->memory_mb);
	}
	return true;
}

/* Restores an order; pending ones come in the order of their ids. */
bool ord_restore_order(struct st *ctx, const Dsp__Order *msg)
{
	struct order *o = g_new0(struct order, 1);

	o->msg = msg_dup(msg);
	g_hash_table_insert(ctx->order_by_id, &o->msg->id, o);
	if (msg->state != pending_state) {
		add_finished(ctx, o);
		return true;
	}
	o->endpoint = endpoint_find(ctx, msg->endpoint);
	if (!o->endpoint)
		goto invalid;
	if (is_load(o) || is_unload(o)) {
		o->slot = slot_find(ctx, o->endpoint, msg->model, msg->version,
				    msg->adapter, msg->first_accelerator,
				    msg->accelerators);
		if (!o->slot)
			goto invalid;
	}
	add_pending(ctx, o);
	if (is_load(o) && !o->slot->counted) {
		o->slot->counted = true;
		use_memory(o->slot, o->slot->memory_mb);
	}
	return true;
invalid:
	order_free(ctx, o);
	return false;
}

/* Frees the slots of an endpoint without touching the ledger. */
void ord_free_slots(struct st *ctx, struct endpoint *ep)
{
	struct slot *s, *next;
	struct life *life, *next_life;

	for (s = TAILQ_FIRST(&ep->slots); s; s = next) {
		next = TAILQ_NEXT(s, link);
		slot_detach(ctx, s);
		slot_free(s);
	}
	for (life = TAILQ_FIRST(&ep->retired); life; life = next_life) {
		next_life = TAILQ_NEXT(life, link);
		life_free(ep, life);
	}
}

/* Frees all orders. */
void ord_clear(struct st *ctx)
{
	struct order *o;

	while ((o = TAILQ_FIRST(&ctx->pending))) {
		TAILQ_REMOVE(&ctx->pending, o, link);
		order_free(ctx, o);
	}
	while ((o = TAILQ_FIRST(&ctx->finished))) {
		TAILQ_REMOVE(&ctx->finished, o, link);
		order_free(ctx, o);
	}
}

/* Lists the unanswered orders in the order of their ids. */
size_t st_orders_pending(const struct st *ctx, const Dsp__Order ***out)
{
	GPtrArray *all = g_ptr_array_new();
	const struct order *o;
	size_t n;

	TAILQ_FOREACH (o, &ctx->pending, link)
		g_ptr_array_add(all, o->msg);
	n = all->len;
	*out = (const Dsp__Order **)g_ptr_array_free(all, FALSE);
	return n;
}

/* Returns an order that is pending or among the last finished, or NULL. */
const Dsp__Order *st_order(const struct st *ctx, uint64_t id)
{
	const struct order *o = g_hash_table_lookup(ctx->order_by_id, &id);

	return o ? o->msg : NULL;
}

/* Returns the memory in MB that is free to order on one accelerator. */
uint32_t st_free_memory_mb(const struct st *ctx, const char *endpoint,
			   uint32_t accelerator)
{
	const struct endpoint *ep = endpoint_find(ctx, endpoint);

	if (!ep || accelerator >= ep->msg->accelerators ||
	    ep->used_mb[accelerator] >= ep->msg->accelerator_memory_mb)
		return 0;
	return ep->msg->accelerator_memory_mb -
	       (uint32_t)ep->used_mb[accelerator];
}

/*
 * Returns the memory in MB that a copy holds on an accelerator. A load on the
 * same accelerators as that copy needs only what exceeds it.
 */
uint32_t st_reserved_mb(const struct st *ctx, const char *endpoint,
			uint32_t accelerator, const char *model,
			const char *version, const char *adapter)
{
	const struct endpoint *ep = endpoint_find(ctx, endpoint);
	const struct slot *s;
	uint32_t held = 0;

	if (!ep)
		return 0;
	s = slots_of_key(ctx, ep, model, version ? version : "",
			 adapter ? adapter : "");
	for (; s; s = s->next_span)
		if (s->counted && accelerator >= s->first &&
		    accelerator - s->first < s->accelerators &&
		    s->memory_mb > held)
			held = s->memory_mb;
	return held;
}
