#include <string.h>
#include <xxhash.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Orders, and accounting of the accelerator memory that they reserve (section
 * 8 of docs/design.md).
 *
 * The memory of a reservation is counted while its copy is resident, a load of
 * it is unanswered, or an answered load of it may be delivered again (field
 * "repeatable"). The last condition ends as follows:
 * - engines that check fences and incarnations: with a residency report whose
 *   fence is above the load, or a finished unload with a higher fence;
 * - engines that check incarnations only: with a new incarnation;
 * - other engines: never. A process that checks neither executes every order
 *   that arrives, and one that checks fences only restarts at fence 0.
 * A load that its creator sent exactly once, in a service whose document says
 * orders_may_duplicate = false, never becomes repeatable.
 */

/* Finished orders that are kept for delayed answers and for queries. */
#define FINISHED_MAX 4096

static const Dsp__OrderState pending_state = DSP__ORDER_STATE__ORDER_PENDING;

/* Hashes the key of a reservation: endpoint, model, version, adapter. */
guint reservation_key_hash(gconstpointer p)
{
	const struct reservation *r = p;
	uint64_t h = XXH3_64bits(r->model, strlen(r->model));

	h = XXH3_64bits_withSeed(r->version, strlen(r->version), h);
	h = XXH3_64bits_withSeed(r->adapter, strlen(r->adapter), h);
	return (guint)(h ^ ((uintptr_t)r->endpoint >> 4));
}

/* Compares the keys of two reservations. */
gboolean reservation_key_equal(gconstpointer a, gconstpointer b)
{
	const struct reservation *x = a, *y = b;

	return x->endpoint == y->endpoint && !strcmp(x->model, y->model) &&
	       !strcmp(x->version, y->version) &&
	       !strcmp(x->adapter, y->adapter);
}

/* Frees a struct model_reservations; value destructor of model_by_key. */
void model_reservations_free(gpointer p)
{
	struct model_reservations *m = p;

	g_free(m->key);
	g_free(m);
}

static struct model_reservations *
model_reservations_get(struct st *ctx, const char *team, const char *model)
{
	char *key = g_strdup_printf("%s/%s", team, model);
	struct model_reservations *m =
		g_hash_table_lookup(ctx->model_by_key, key);

	if (m) {
		g_free(key);
		return m;
	}
	m = g_new0(struct model_reservations, 1);
	m->key = key;
	TAILQ_INIT(&m->reservations);
	g_hash_table_insert(ctx->model_by_key, key, m);
	return m;
}

static struct reservation *
reservations_of_key(const struct st *ctx, const struct endpoint *ep,
		    const char *model, const char *version, const char *adapter)
{
	struct reservation key = {
		.endpoint = (struct endpoint *)ep,
		.model = (char *)model,
		.version = (char *)version,
		.adapter = (char *)adapter,
	};

	return g_hash_table_lookup(ctx->reservation_by_key, &key);
}

static struct reservation *
reservation_find(const struct st *ctx, const struct endpoint *ep,
		 const char *model, const char *version, const char *adapter,
		 uint32_t first, uint32_t accelerators)
{
	struct reservation *r =
		reservations_of_key(ctx, ep, model, version, adapter);

	while (r && (r->first != first || r->accelerators != accelerators))
		r = r->next_span;
	return r;
}

/* Adds a reservation to the lists and tables of the current incarnation. */
static void reservation_attach(struct st *ctx, struct reservation *r)
{
	r->next_span = g_hash_table_lookup(ctx->reservation_by_key, r);
	g_hash_table_replace(ctx->reservation_by_key, r, r);
	TAILQ_INSERT_TAIL(&r->endpoint->reservations, r, link);
	if (*r->adapter)
		return;
	r->model_group =
		model_reservations_get(ctx, r->endpoint->msg->team, r->model);
	TAILQ_INSERT_TAIL(&r->model_group->reservations, r, model_link);
}

static void reservation_detach(struct st *ctx, struct reservation *r)
{
	struct reservation *head =
		g_hash_table_lookup(ctx->reservation_by_key, r);

	if (head == r) {
		g_hash_table_remove(ctx->reservation_by_key, r);
		if (r->next_span)
			g_hash_table_add(ctx->reservation_by_key, r->next_span);
	} else {
		while (head->next_span != r)
			head = head->next_span;
		head->next_span = r->next_span;
	}
	r->next_span = NULL;
	TAILQ_REMOVE(&r->endpoint->reservations, r, link);
	if (!r->model_group)
		return;
	TAILQ_REMOVE(&r->model_group->reservations, r, model_link);
	if (TAILQ_EMPTY(&r->model_group->reservations))
		g_hash_table_remove(ctx->model_by_key, r->model_group->key);
	r->model_group = NULL;
}

static struct reservation *
reservation_new(struct endpoint *ep, const char *model, const char *version,
		const char *adapter, uint32_t first, uint32_t accelerators)
{
	struct reservation *r = g_new0(struct reservation, 1);

	r->endpoint = ep;
	r->model = g_strdup(model);
	r->version = g_strdup(version);
	r->adapter = g_strdup(adapter);
	r->first = first;
	r->accelerators = accelerators;
	return r;
}

static void reservation_free(struct reservation *r)
{
	g_free(r->model);
	g_free(r->version);
	g_free(r->adapter);
	g_free(r);
}

static struct reservation *reservation_get(struct st *ctx, struct endpoint *ep,
					   const char *model,
					   const char *version,
					   const char *adapter, uint32_t first,
					   uint32_t accelerators)
{
	struct reservation *r = reservation_find(ctx, ep, model, version,
						 adapter, first, accelerators);

	if (r)
		return r;
	r = reservation_new(ep, model, version, adapter, first, accelerators);
	reservation_attach(ctx, r);
	return r;
}

static void add_used_mb(const struct reservation *r, int64_t mb)
{
	for (uint32_t i = 0; i < r->accelerators; i++)
		r->endpoint->used_mb[r->first + i] += (uint64_t)mb;
}

/* Raises the reserved memory; it never shrinks while it is counted. */
static void reservation_grow(struct reservation *r, uint32_t memory_mb)
{
	if (memory_mb <= r->memory_mb)
		return;
	if (r->counted)
		add_used_mb(r, (int64_t)memory_mb - r->memory_mb);
	r->memory_mb = memory_mb;
}

/*
 * Starts or stops counting the memory according to the state of a reservation;
 * frees a reservation that is neither counted nor used by an unload.
 */
static void reservation_update(struct st *ctx, struct reservation *r)
{
	bool count = r->resident || r->pending_loads || r->repeatable;

	if (count != r->counted) {
		add_used_mb(r, count ? r->memory_mb : -(int64_t)r->memory_mb);
		r->counted = count;
	}
	if (count)
		return;
	r->memory_mb = 0;
	if (r->pending_unloads)
		return;
	reservation_detach(ctx, r);
	reservation_free(r);
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
 * Adds the pending loads of an endpoint to the loads in transit, or subtracts
 * them, when it goes up or down. Loads of an endpoint that is down must not use
 * up the store's limit of parallel loads for all others.
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
	if (!o->reservation)
		return;
	if (is_load(o))
		o->reservation->pending_loads++;
	else
		o->reservation->pending_unloads++;
}

/* Ends a pending order. The caller updates the reservation. */
static void order_end(struct st *ctx, struct order *o, Dsp__OrderState state)
{
	if (counts_in_transit(o->endpoint))
		count_transit(ctx, o, false);
	TAILQ_REMOVE(&ctx->pending, o, link);
	TAILQ_REMOVE(&o->endpoint->pending, o, endpoint_link);
	if (o->reservation && is_load(o))
		o->reservation->pending_loads--;
	else if (o->reservation)
		o->reservation->pending_unloads--;
	o->reservation = NULL;
	o->endpoint = NULL;
	o->msg->state = state;
	add_finished(ctx, o);
}

/* Ends a load; repeatable: it may still be delivered, or delivered again. */
static void load_end(struct st *ctx, struct order *o, Dsp__OrderState state,
		     bool repeatable)
{
	struct reservation *r = o->reservation;

	if (repeatable && o->msg->id > r->repeatable)
		r->repeatable = o->msg->id;
	r->last_finish = ctx->index;
	order_end(ctx, o, state);
}

static Dsp__Features features(const struct endpoint *ep)
{
	Dsp__Features none = DSP__FEATURES__INIT;

	return ep->msg->features ? *ep->msg->features : none;
}

/*
 * Whether an order below the fence can never be executed, not even after a
 * restart of the engine, which resets its fence.
 */
static bool fence_is_final(const struct endpoint *ep)
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

static bool copy_ready(const struct reservation *r)
{
	return r->listed && r->ready && !r->unloading && !r->pending_unloads;
}

static bool same_copy(const Dsp__Copy *c, const struct reservation *r)
{
	return !strcmp(c->model, r->model) && !strcmp(c->version, r->version) &&
	       !strcmp(c->adapter, r->adapter) &&
	       c->first_accelerator == r->first &&
	       c->accelerators == r->accelerators && c->order == r->order &&
	       c->memory_mb == r->memory_mb &&
	       c->ready == (r->listed && r->ready) &&
	       c->unloading == (r->unloading || r->pending_unloads);
}

static bool in_endpoint_record(const struct reservation *r)
{
	return r->listed || r->pending_loads;
}

static Dsp__Copy *copy_new(const struct reservation *r)
{
	Dsp__Copy *c = g_new(Dsp__Copy, 1);

	dsp__copy__init(c);
	c->model = g_strdup(r->model);
	c->version = g_strdup(r->version);
	c->adapter = g_strdup(r->adapter);
	c->first_accelerator = r->first;
	c->accelerators = r->accelerators;
	c->order = r->order;
	c->memory_mb = r->memory_mb;
	c->ready = r->listed && r->ready;
	c->unloading = r->unloading || r->pending_unloads;
	return c;
}

/*
 * Updates the copies in the endpoint's record from its reservations. Returns
 * whether they changed.
 */
bool ord_refresh_copies(struct st *ctx, struct endpoint *ep)
{
	Dsp__Endpoint *msg = ep->msg;
	const struct reservation *r;
	bool unchanged = true;
	size_t n = 0, i = 0;

	TAILQ_FOREACH (r, &ep->reservations, link) {
		if (!in_endpoint_record(r))
			continue;
		unchanged = unchanged && n < msg->n_copies &&
			    same_copy(msg->copies[n], r);
		n++;
	}
	if (unchanged && n == msg->n_copies)
		return false;
	for (i = 0; i < msg->n_copies; i++)
		dsp__copy__free_unpacked(msg->copies[i], NULL);
	msg->copies = g_renew(Dsp__Copy *, msg->copies, n + 1);
	msg->n_copies = n;
	i = 0;
	TAILQ_FOREACH (r, &ep->reservations, link)
		if (in_endpoint_record(r))
			msg->copies[i++] = copy_new(r);
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

/* Marks the reported copies as listed and resident, all others as unlisted. */
static void set_listed_copies(struct st *ctx, struct endpoint *ep,
			      Dsp__Copy **copies, size_t n_copies)
{
	struct reservation *r;

	TAILQ_FOREACH (r, &ep->reservations, link)
		r->listed = r->ready = r->unloading = false;
	for (size_t i = 0; i < n_copies; i++) {
		const Dsp__Copy *c = copies[i];

		if (!c->accelerators || !*c->model ||
		    (uint64_t)c->first_accelerator + c->accelerators >
			    ep->msg->accelerators)
			continue;
		r = reservation_get(ctx, ep, c->model, c->version, c->adapter,
				    c->first_accelerator, c->accelerators);
		reservation_grow(r, c->memory_mb
					    ? c->memory_mb
					    : document_memory(ctx, ep, c->model,
							      c->adapter));
		r->listed = true;
		r->resident = true;
		r->ready = c->ready;
		r->unloading = c->unloading;
		r->order = c->order;
	}
}

static void update_all(struct st *ctx, struct endpoint *ep)
{
	struct reservation *r, *next;

	for (r = TAILQ_FIRST(&ep->reservations); r; r = next) {
		next = TAILQ_NEXT(r, link);
		reservation_update(ctx, r);
	}
}

/* Adds an incarnation that was replaced, without reservations yet. */
struct retired_incarnation *retired_new(struct endpoint *ep,
					uint64_t incarnation)
{
	struct retired_incarnation *old = g_new0(struct retired_incarnation, 1);

	old->incarnation = incarnation;
	TAILQ_INIT(&old->reservations);
	TAILQ_INSERT_TAIL(&ep->retired, old, link);
	ep->n_retired++;
	return old;
}

/* Removes a replaced incarnation and frees its reservations. */
void retired_free(struct endpoint *ep, struct retired_incarnation *old)
{
	struct reservation *r, *next;

	for (r = TAILQ_FIRST(&old->reservations); r; r = next) {
		next = TAILQ_NEXT(r, link);
		reservation_free(r);
	}
	TAILQ_REMOVE(&ep->retired, old, link);
	ep->n_retired--;
	g_free(old);
}

static void void_pending_orders(struct st *ctx, struct endpoint *ep)
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
 * Voids all orders of the current incarnation and moves its reservations to the
 * list of retired ones, where they are not counted: the next process rejects
 * orders for this one.
 */
struct retired_incarnation *ord_retire(struct st *ctx, struct endpoint *ep)
{
	struct retired_incarnation *old = retired_new(ep, ep->msg->incarnation);
	struct reservation *r, *next;

	void_pending_orders(ctx, ep);
	update_all(ctx, ep);
	for (r = TAILQ_FIRST(&ep->reservations); r; r = next) {
		next = TAILQ_NEXT(r, link);
		add_used_mb(r, -(int64_t)r->memory_mb);
		r->counted = r->listed = r->ready = r->unloading = false;
		reservation_detach(ctx, r);
		TAILQ_INSERT_TAIL(&old->reservations, r, link);
	}
	old->fence = ep->fence;
	ep->fence = 0;
	return old;
}

/*
 * Restores and counts the reservations of a retired incarnation that announced
 * itself again.
 */
void ord_reinstate(struct st *ctx, struct endpoint *ep,
		   struct retired_incarnation *old)
{
	struct reservation *r, *next;

	for (r = TAILQ_FIRST(&old->reservations); r; r = next) {
		next = TAILQ_NEXT(r, link);
		TAILQ_REMOVE(&old->reservations, r, link);
		reservation_attach(ctx, r);
		r->counted = true;
		add_used_mb(r, r->memory_mb);
	}
	ep->fence = old->fence;
	retired_free(ep, old);
}

/*
 * Voids all orders of the incarnation that ended. The next process does not
 * check incarnations, so every load that may still be delivered, or delivered
 * again, stays counted. The caller calls ord_set_initial_copies() next.
 */
void ord_restart(struct st *ctx, struct endpoint *ep)
{
	struct reservation *r;

	void_pending_orders(ctx, ep);
	TAILQ_FOREACH (r, &ep->reservations, link) {
		r->listed = r->ready = r->unloading = false;
		/*
		 * The new process may have executed a load after it wrote its
		 * first announcement, which then misses the copy.
		 */
		r->resident = r->resident && r->last_load;
	}
	ep->fence = 0;
}

/* Sets the copies that a new incarnation reports at its start. */
void ord_set_initial_copies(struct st *ctx, struct endpoint *ep,
			    Dsp__Copy **copies, size_t n_copies)
{
	set_listed_copies(ctx, ep, copies, n_copies);
	update_all(ctx, ep);
	ord_refresh_copies(ctx, ep);
}

/* Whether the endpoint has reservations or pending orders. */
bool ord_has_reservations(const struct endpoint *ep)
{
	return !TAILQ_EMPTY(&ep->reservations) || !TAILQ_EMPTY(&ep->pending);
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

static Dsp__CommandResult *
plain_result(const struct st *ctx, Dsp__ResultCode code, const char *message)
{
	return order_result(ctx, code, message, NULL);
}

/*
 * Checks a load against the document, which must contain the model or adapter
 * with no more memory than ordered. Returns the error or NULL.
 */
static const char *load_error(const struct st *ctx, const struct endpoint *ep,
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

static bool fits(const struct endpoint *ep, const struct reservation *r,
		 const Dsp__Order *msg)
{
	uint32_t held_mb = r && r->counted ? r->memory_mb : 0;
	uint64_t extra_mb =
		msg->memory_mb > held_mb ? msg->memory_mb - held_mb : 0;

	/*
	 * A delayed residency report can list a copy again after its memory
	 * was reserved for another one. The accelerator is overcommitted then,
	 * and no load is accepted, not even of that copy.
	 */
	for (uint32_t i = 0; i < msg->accelerators; i++)
		if (ep->used_mb[msg->first_accelerator + i] + extra_mb >
		    ep->msg->accelerator_memory_mb)
			return false;
	return true;
}

static Dsp__CommandResult *check_load(const struct st *ctx,
				      const struct endpoint *ep,
				      const Dsp__Order *msg)
{
	const struct reservation *r = reservation_find(
		ctx, ep, msg->model, msg->version, msg->adapter,
		msg->first_accelerator, msg->accelerators);
	const char *error = load_error(ctx, ep, msg);

	if (ep->msg->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "endpoint is leaving or down");
	if (error)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    error);
	if (!fits(ep, r, msg))
		return plain_result(
			ctx, DSP__RESULT_CODE__RESULT_OVERCOMMIT,
			"accelerator memory would be overcommitted");
	if (!*msg->adapter && ctx->loads_in_transit >= ctx->parallel_loads_max)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
				    "too many parallel loads from the store");
	if (*msg->adapter && ctx->adapters_in_transit >= ctx->adapters_max)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
				    "too many adapters in transit");
	return NULL;
}

/*
 * A ready copy may be unloaded only if another ready copy, of the version in
 * the document in force, remains on an endpoint that takes new requests.
 */
static bool is_last_ready_copy(const struct st *ctx,
			       const struct reservation *r)
{
	const Dsp__EndpointState up = DSP__ENDPOINT_STATE__ENDPOINT_UP;
	const struct doc *doc = document_parsed(ctx, r->endpoint->msg->team);
	const struct doc_model *m = doc ? doc_model(doc, r->model) : NULL;
	const struct reservation *other;

	if (!m || !r->model_group || !copy_ready(r) ||
	    r->endpoint->msg->state != up ||
	    strcmp(m->service, r->endpoint->msg->service))
		return false;
	TAILQ_FOREACH (other, &r->model_group->reservations, model_link)
		if (other != r && copy_ready(other) &&
		    other->endpoint->msg->state == up &&
		    !strcmp(other->version, m->version))
			return false;
	return true;
}

static Dsp__CommandResult *check_unload(const struct st *ctx,
					const struct endpoint *ep,
					const Dsp__Order *msg)
{
	const struct reservation *r = reservation_find(
		ctx, ep, msg->model, msg->version, msg->adapter,
		msg->first_accelerator, msg->accelerators);

	if (!r)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
				    "no such copy");
	if (is_last_ready_copy(ctx, r))
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_LIMIT,
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
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
				    "no such endpoint");
	if (ep->msg->incarnation != msg->incarnation)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "earlier incarnation");
	if (ep->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "endpoint is down");
	if (*msg->team && strcmp(msg->team, ep->msg->team))
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "endpoint of another team");
	if (has_span && (!*msg->model || !msg->accelerators ||
			 (uint64_t)msg->first_accelerator + msg->accelerators >
				 ep->msg->accelerators))
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "no model, or no such accelerators");
	switch (msg->kind) {
	case DSP__ORDER_KIND__ORDER_LOAD:
		return check_load(ctx, ep, msg);
	case DSP__ORDER_KIND__ORDER_UNLOAD:
		return check_unload(ctx, ep, msg);
	case DSP__ORDER_KIND__ORDER_ROLE:
		if (!features(ep).roles)
			return plain_result(ctx,
					    DSP__RESULT_CODE__RESULT_INVALID,
					    "endpoint has no roles");
		return NULL;
	case DSP__ORDER_KIND__ORDER_FENCE:
		return NULL;
	default:
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "unknown kind of order");
	}
}

/*
 * Creates an order; its id and fence are the log index. It is rejected if it
 * would exceed the memory or the limits of loads in transit, or would unload
 * the last ready copy of a model.
 */
Dsp__CommandResult *ord_create(struct st *ctx, const Dsp__OrderCreate *cmd)
{
	const Dsp__Order *msg = cmd->order;
	Dsp__CommandResult *rejection;
	struct endpoint *ep;
	struct order *o;

	if (!msg)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
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
		o->reservation = reservation_get(
			ctx, ep, msg->model, msg->version, msg->adapter,
			msg->first_accelerator, msg->accelerators);
	if (is_load(o)) {
		reservation_grow(o->reservation, msg->memory_mb);
		o->reservation->last_load = ctx->index;
		if (!o->reservation->listed)
			o->reservation->order = ctx->index;
		ep->ever_loaded = true;
	}
	g_hash_table_insert(ctx->order_by_id, &o->msg->id, o);
	add_pending(ctx, o);
	if (o->reservation)
		reservation_update(ctx, o->reservation);
	ord_refresh_copies(ctx, ep);
	return order_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL, o);
}

/* Voids the pending loads of a reservation with ids below that of an unload. */
static void void_loads_before(struct st *ctx, struct reservation *r,
			      uint64_t id)
{
	struct order *o, *next;

	for (o = TAILQ_FIRST(&r->endpoint->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		if (o->reservation == r && is_load(o) && o->msg->id < id)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID, true);
	}
}

static bool has_load_before(const struct reservation *r, uint64_t id)
{
	const struct order *o;

	TAILQ_FOREACH (o, &r->endpoint->pending, endpoint_link)
		if (o->reservation == r && is_load(o) && o->msg->id < id)
			return true;
	return false;
}

static void load_done(struct st *ctx, struct order *o, bool sent_once)
{
	struct reservation *r = o->reservation;

	r->resident = r->listed = r->ready = true;
	r->order = o->msg->id;
	load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE,
		 !sent_once || may_duplicate(ctx, r->endpoint));
}

/*
 * A finished unload frees the memory of every load that the engine executed
 * before it. With fences these are all loads with a lower id; without fences,
 * the loads that were answered before the unload was committed.
 */
static void unload_done(struct st *ctx, struct order *o)
{
	struct reservation *r = o->reservation;
	uint64_t id = o->msg->id;

	order_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE);
	if (features(r->endpoint).fencing) {
		void_loads_before(ctx, r, id);
		if (r->last_load > id)
			return;
		if (fence_is_final(r->endpoint))
			r->repeatable = 0;
	} else if (r->last_finish > id || has_load_before(r, id)) {
		return;
	}
	r->resident = r->listed = r->ready = r->unloading = false;
}

/* Applies the answer of an endpoint to an order. */
Dsp__CommandResult *ord_finish(struct st *ctx, const Dsp__OrderFinish *cmd)
{
	struct order *o = g_hash_table_lookup(ctx->order_by_id, &cmd->order);
	bool done = cmd->state == DSP__ORDER_STATE__ORDER_DONE;
	struct endpoint *ep;
	struct reservation *r;

	if (!o)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
				    "no such order");
	if (!done && cmd->state != DSP__ORDER_STATE__ORDER_REFUSED)
		return plain_result(
			ctx, DSP__RESULT_CODE__RESULT_INVALID,
			"an endpoint reports an order done or refused");
	if (o->msg->state != pending_state)
		return order_result(ctx,
				    o->msg->state == cmd->state
					    ? DSP__RESULT_CODE__RESULT_SAME
					    : DSP__RESULT_CODE__RESULT_STALE,
				    "order is finished", o);
	ep = o->endpoint;
	r = o->reservation;
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
	if (r)
		reservation_update(ctx, r);
	ord_refresh_copies(ctx, ep);
	return order_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL, o);
}

/*
 * Derives the outcome of an unanswered order from a residency report of an
 * engine that checks fences: orders below the reported fence can no longer
 * start. The order whose id equals the fence has started, or a duplicate of it
 * may still start.
 */
static void resolve_by_report(struct st *ctx, struct order *o, uint64_t fence)
{
	const struct reservation *r = o->reservation;
	bool before = o->msg->id < fence;
	bool copy_is_of_order;

	switch (o->msg->kind) {
	case DSP__ORDER_KIND__ORDER_LOAD:
		copy_is_of_order = r->listed && r->order == o->msg->id;
		if (copy_is_of_order && r->ready)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE, true);
		else if (before && !copy_is_of_order)
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_VOID, true);
		break;
	case DSP__ORDER_KIND__ORDER_UNLOAD:
		if (!r->listed)
			order_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE);
		else if (before && !r->unloading)
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

/*
 * Applies a report of an engine that checks fences: a copy that is not listed
 * and whose last load is not above the fence is gone.
 */
static void report_fenced(struct st *ctx, struct endpoint *ep,
			  const Dsp__ResidencyReport *cmd)
{
	uint64_t fence = cmd->highest_fence;
	struct order *o, *next;
	struct reservation *r;

	set_listed_copies(ctx, ep, cmd->copies, cmd->n_copies);
	for (o = TAILQ_FIRST(&ep->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		if (o->msg->id <= fence)
			resolve_by_report(ctx, o, fence);
	}
	TAILQ_FOREACH (r, &ep->reservations, link) {
		r->resident =
			r->listed || (r->resident && r->last_load > fence);
		if (r->repeatable < fence && fence_is_final(ep))
			r->repeatable = 0;
	}
	ep->fence = fence;
}

/*
 * Applies a report of an engine that ignores fences. The report may have been
 * written before or after any load, so a copy that is not listed may still be
 * resident unless no load was ever ordered for it.
 */
static void report_unfenced(struct st *ctx, struct endpoint *ep,
			    const Dsp__ResidencyReport *cmd)
{
	struct order *o, *next;
	struct reservation *r;

	set_listed_copies(ctx, ep, cmd->copies, cmd->n_copies);
	for (o = TAILQ_FIRST(&ep->pending); o; o = next) {
		next = TAILQ_NEXT(o, endpoint_link);
		/*
		 * Without duplicates the order waits for its answer, whose
		 * sent_once may show that the load cannot be delivered again.
		 */
		if (is_load(o) && o->reservation->listed &&
		    o->reservation->ready &&
		    o->reservation->order == o->msg->id &&
		    may_duplicate(ctx, ep))
			load_end(ctx, o, DSP__ORDER_STATE__ORDER_DONE, true);
	}
	TAILQ_FOREACH (r, &ep->reservations, link)
		if (!r->listed && !r->last_load)
			r->resident = false;
}

/* Applies a residency report; one with a fence below the known one is stale. */
Dsp__CommandResult *ord_report(struct st *ctx, const Dsp__ResidencyReport *cmd)
{
	struct endpoint *ep = endpoint_find(ctx, cmd->endpoint);

	if (!ep)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND,
				    "no such endpoint");
	if (ep->msg->incarnation != cmd->incarnation)
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "earlier incarnation");
	if (!features(ep).fencing) {
		report_unfenced(ctx, ep, cmd);
	} else if (cmd->highest_fence >= ctx->index) {
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				    "fence of no order");
	} else if (cmd->highest_fence < ep->fence) {
		return plain_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				    "older than a report before");
	} else {
		report_fenced(ctx, ep, cmd);
	}
	update_all(ctx, ep);
	return plain_result(ctx,
			    ord_refresh_copies(ctx, ep)
				    ? DSP__RESULT_CODE__RESULT_OK
				    : DSP__RESULT_CODE__RESULT_SAME,
			    NULL);
}

static bool restore_retired(struct endpoint *ep, struct reservation *r,
			    uint64_t incarnation)
{
	struct retired_incarnation *old;

	TAILQ_FOREACH (old, &ep->retired, link) {
		if (old->incarnation != incarnation)
			continue;
		TAILQ_INSERT_TAIL(&old->reservations, r, link);
		return true;
	}
	reservation_free(r);
	return false;
}

/* Restores a reservation; its endpoint must have been restored before. */
bool ord_restore_reservation(struct st *ctx, const Dsp__Reservation *msg)
{
	struct endpoint *ep = endpoint_find(ctx, msg->endpoint);
	uint64_t end = (uint64_t)msg->first_accelerator + msg->accelerators;
	struct reservation *r;

	if (!ep)
		return false;
	if (end > ep->n_used) {
		ep->used_mb = g_renew(uint64_t, ep->used_mb, end + 1);
		memset(ep->used_mb + ep->n_used, 0,
		       (end + 1 - ep->n_used) * sizeof(*ep->used_mb));
		ep->n_used = (uint32_t)end;
	}
	r = reservation_new(ep, msg->model, msg->version, msg->adapter,
			    msg->first_accelerator, msg->accelerators);
	r->memory_mb = msg->memory_mb;
	r->order = msg->order;
	r->resident = msg->resident;
	r->listed = msg->listed;
	r->ready = msg->ready;
	r->unloading = msg->unloading;
	r->repeatable = msg->repeatable;
	r->last_load = msg->last_load;
	r->last_finish = msg->last_finish;
	if (msg->retired)
		return restore_retired(ep, r, msg->incarnation);
	reservation_attach(ctx, r);
	/* If only pending loads use it, ord_restore_order() counts it. */
	if (r->resident || r->repeatable) {
		r->counted = true;
		add_used_mb(r, r->memory_mb);
	}
	return true;
}

/* Restores an order; pending ones must be restored in the order of their ids.
 */
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
		o->reservation = reservation_find(ctx, o->endpoint, msg->model,
						  msg->version, msg->adapter,
						  msg->first_accelerator,
						  msg->accelerators);
		if (!o->reservation)
			goto invalid;
	}
	add_pending(ctx, o);
	if (is_load(o) && !o->reservation->counted) {
		o->reservation->counted = true;
		add_used_mb(o->reservation, o->reservation->memory_mb);
	}
	return true;
invalid:
	order_free(ctx, o);
	return false;
}

/* Frees the reservations of an endpoint without updating its used_mb. */
void ord_free_reservations(struct st *ctx, struct endpoint *ep)
{
	struct reservation *r, *next;
	struct retired_incarnation *old, *next_old;

	for (r = TAILQ_FIRST(&ep->reservations); r; r = next) {
		next = TAILQ_NEXT(r, link);
		reservation_detach(ctx, r);
		reservation_free(r);
	}
	for (old = TAILQ_FIRST(&ep->retired); old; old = next_old) {
		next_old = TAILQ_NEXT(old, link);
		retired_free(ep, old);
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

/* Returns the memory in MB that is not reserved on one accelerator. */
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
 * Returns the memory in MB that is reserved for a copy on an accelerator;
 * version and adapter may be NULL. A load on the same accelerators as that copy
 * needs only what exceeds it.
 */
uint32_t st_reserved_mb(const struct st *ctx, const char *endpoint,
			uint32_t accelerator, const char *model,
			const char *version, const char *adapter)
{
	const struct endpoint *ep = endpoint_find(ctx, endpoint);
	const struct reservation *r;
	uint32_t held_mb = 0;

	if (!ep)
		return 0;
	r = reservations_of_key(ctx, ep, model, version ? version : "",
				adapter ? adapter : "");
	for (; r; r = r->next_span)
		if (r->counted && accelerator >= r->first &&
		    accelerator - r->first < r->accelerators &&
		    r->memory_mb > held_mb)
			held_mb = r->memory_mb;
	return held_mb;
}
