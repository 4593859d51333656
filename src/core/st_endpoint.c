#include <string.h>

#include "base/msg.h"
#include "core/st_private.h"

/*
 * Earlier incarnations of an endpoint, or boots of an instance, that are kept
 * so that a delayed announcement of one of them is recognised.
 */
#define OLD_IDS_MAX 64
/*
 * Replaced incarnations whose reservations are kept in case they announce
 * themselves again. Delayed announcements come from the last few ones only.
 */
#define RETIRED_INCARNATIONS_MAX 4
/* An endpoint without reservations is removed when down for this time. */
#define ENDPOINT_RETENTION_MS (24ull * 3600 * 1000)
/* An instance is removed when down for this time. */
#define NODE_RETENTION_MS (3600ull * 1000)
#define ACCELERATORS_MAX 1024
/* Versions of software that an endpoint had before, within the time in which a
 * stream can be resumed. */
#define SOFTWARE_BEFORE_MAX 8

static bool contains_id(const GArray *ids, uint64_t id)
{
	for (guint i = 0; i < ids->len; i++)
		if (g_array_index(ids, uint64_t, i) == id)
			return true;
	return false;
}

static void add_old_id(GArray *ids, uint64_t id)
{
	if (ids->len >= OLD_IDS_MAX)
		g_array_remove_index(ids, 0);
	g_array_append_val(ids, id);
}

/* Returns the endpoint record, or NULL. */
struct endpoint *endpoint_find(const struct st *ctx, const char *id)
{
	return g_hash_table_lookup(ctx->endpoint_by_id, id);
}

/* Adds the endpoint to those at its address. */
static void address_link(struct st *ctx, struct endpoint *ep)
{
	const char *address = ep->msg->address;
	GPtrArray *at = g_hash_table_lookup(ctx->endpoints_by_address, address);

	if (!at) {
		at = g_ptr_array_new();
		g_hash_table_insert(ctx->endpoints_by_address,
				    g_strdup(address), at);
	}
	g_ptr_array_add(at, ep);
}

/* Removes the endpoint from those at its address; call it before the address
 * changes. */
static void address_unlink(struct st *ctx, struct endpoint *ep)
{
	const char *address = ep->msg->address;
	GPtrArray *at = g_hash_table_lookup(ctx->endpoints_by_address, address);

	g_ptr_array_remove(at, ep);
	if (!at->len)
		g_hash_table_remove(ctx->endpoints_by_address, address);
}

/* Adds an endpoint record with a copy of msg and no reservations. */
struct endpoint *endpoint_new(struct st *ctx, const Dsp__Endpoint *msg,
			      uint64_t index)
{
	struct endpoint *ep = g_new0(struct endpoint, 1);

	ep->msg = msg_dup(msg);
	ep->old_incarnations = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ep->n_used = msg->accelerators;
	ep->used_mb = g_new0(uint64_t, msg->accelerators + 1);
	TAILQ_INIT(&ep->retired);
	TAILQ_INIT(&ep->reservations);
	TAILQ_INIT(&ep->pending);
	TAILQ_INSERT_TAIL(&ctx->endpoints, ep, link);
	g_hash_table_insert(ctx->endpoint_by_id, ep->msg->id, ep);
	address_link(ctx, ep);
	item_insert(ctx, &ep->item, DSP__VIEW_RECORD__BODY_ENDPOINT,
		    ep->msg->id, ep->msg, index);
	return ep;
}

static void endpoint_free(struct st *ctx, struct endpoint *ep,
			  bool leave_tombstone)
{
	ord_free_reservations(ctx, ep);
	item_remove(ctx, &ep->item, leave_tombstone);
	g_hash_table_remove(ctx->endpoint_by_id, ep->msg->id);
	address_unlink(ctx, ep);
	TAILQ_REMOVE(&ctx->endpoints, ep, link);
	dsp__endpoint__free_unpacked(ep->msg, NULL);
	g_array_free(ep->old_incarnations, TRUE);
	g_free(ep->used_mb);
	g_free(ep);
}

/* Frees all endpoints and their reservations; ord_clear() comes before. */
void endpoints_clear(struct st *ctx)
{
	while (!TAILQ_EMPTY(&ctx->endpoints)) {
		struct endpoint *ep = TAILQ_FIRST(&ctx->endpoints);

		endpoint_free(ctx, ep, false);
	}
}

static Dsp__Features features_of(const Dsp__Endpoint *msg)
{
	Dsp__Features none = DSP__FEATURES__INIT;

	return msg->features ? *msg->features : none;
}

static bool same_features(const Dsp__Endpoint *a, const Dsp__Endpoint *b)
{
	Dsp__Features x = features_of(a), y = features_of(b);

	return x.fencing == y.fencing &&
	       x.checks_incarnation == y.checks_incarnation &&
	       x.cancel == y.cancel && x.resume == y.resume &&
	       x.priorities == y.priorities && x.kv_transfer == y.kv_transfer &&
	       x.roles == y.roles && x.sequenced == y.sequenced;
}

static const char *endpoint_error(const Dsp__Endpoint *msg)
{
	if (!msg)
		return "no endpoint";
	if (!st_is_identifier(msg->id))
		return "endpoint id is not an identifier";
	if (!st_is_identifier(msg->team) || !st_is_identifier(msg->service))
		return "team or service is not an identifier";
	if (msg->accelerators > ACCELERATORS_MAX)
		return "too many accelerators";
	if (msg->state != DSP__ENDPOINT_STATE__ENDPOINT_UP &&
	    msg->state != DSP__ENDPOINT_STATE__ENDPOINT_LEAVING)
		return "an announced endpoint is up or leaving";
	return NULL;
}

static void set_state(struct st *ctx, struct endpoint *ep,
		      Dsp__EndpointState state)
{
	const Dsp__EndpointState down = DSP__ENDPOINT_STATE__ENDPOINT_DOWN;

	if ((ep->msg->state == down) != (state == down))
		ord_count_transit(ctx, ep, state != down);
	ep->msg->state = state;
	ep->down_ms = state == down ? MAX(ctx->wall_ms, 1) : 0;
}

static bool has_text(char *const *list, size_t n, const char *text)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(list[i], text))
			return true;
	return false;
}

/* Keeps in the endpoint's next record what software its earlier processes had.
 * The oldest beyond SOFTWARE_BEFORE_MAX are dropped. */
static void keep_software(const struct st *ctx, struct endpoint *ep,
			  Dsp__Endpoint *next)
{
	const Dsp__Endpoint *now = ep->msg;
	bool changed =
		now->software[0] && strcmp(now->software, next->software);
	size_t n = now->n_software_before + changed;
	size_t skip = n > SOFTWARE_BEFORE_MAX ? n - SOFTWARE_BEFORE_MAX : 0;
	char **all = g_new0(char *, n + 1);
	size_t n_all = 0;

	for (size_t i = skip; i < now->n_software_before; i++)
		all[n_all++] = g_strdup(now->software_before[i]);
	if (changed && !has_text(all, n_all, now->software))
		all[n_all++] = g_strdup(now->software);
	for (size_t i = 0; i < next->n_software_before; i++)
		g_free(next->software_before[i]);
	g_free(next->software_before);
	next->software_before = all;
	next->n_software_before = n_all;
	if (changed)
		ep->software_ms = ctx->wall_ms;
}

/* RESULT_SAME with the index of the last change of the endpoint. */
static Dsp__CommandResult *unchanged(const struct st *ctx,
				     const struct endpoint *ep)
{
	Dsp__CommandResult *result =
		st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);

	result->index = ep->item.index;
	return result;
}

/* Exchanges the fields about software of two records. */
static void exchange_software(Dsp__Endpoint *a, Dsp__Endpoint *b)
{
	Dsp__Endpoint before = *a;

	a->software = b->software;
	a->software_before = b->software_before;
	a->n_software_before = b->n_software_before;
	b->software = before.software;
	b->software_before = before.software_before;
	b->n_software_before = before.n_software_before;
}

static Dsp__CommandResult *put_same_incarnation(struct st *ctx,
						struct endpoint *ep,
						const Dsp__Endpoint *msg)
{
	Dsp__EndpointState state = msg->state;
	Dsp__Endpoint *next;

	if (!same_features(msg, ep->msg) ||
	    msg->accelerators != ep->msg->accelerators ||
	    msg->accelerator_memory_mb != ep->msg->accelerator_memory_mb)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "features and accelerators are fixed for an "
				 "incarnation");
	if (state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING)
		ep->leaving = true;
	/* A delayed announcement must not set a leaving endpoint up again. */
	if (ep->leaving)
		state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	if (ep->msg->state == state &&
	    !strcmp(ep->msg->address, msg->address) &&
	    !strcmp(ep->msg->site, msg->site) &&
	    !strcmp(ep->msg->software, msg->software) &&
	    ep->msg->max_batch == msg->max_batch && ep->msg->role == msg->role)
		return unchanged(ctx, ep);
	set_state(ctx, ep, state);
	next = msg_dup(msg);
	keep_software(ctx, ep, next);
	exchange_software(ep->msg, next);
	dsp__endpoint__free_unpacked(next, NULL);
	address_unlink(ctx, ep);
	st_replace_string(&ep->msg->address, msg->address);
	address_link(ctx, ep);
	st_replace_string(&ep->msg->site, msg->site);
	ep->msg->max_batch = msg->max_batch;
	ep->msg->role = msg->role;
	item_touch(ctx, &ep->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

static void replace_message(struct st *ctx, struct endpoint *ep,
			    const Dsp__Endpoint *msg)
{
	Dsp__Endpoint *copy = msg_dup(msg);

	keep_software(ctx, ep, copy);
	if (copy->accelerators > ep->n_used) {
		ep->used_mb =
			g_renew(uint64_t, ep->used_mb, copy->accelerators + 1);
		memset(ep->used_mb + ep->n_used, 0,
		       (copy->accelerators + 1 - ep->n_used) *
			       sizeof(*ep->used_mb));
		ep->n_used = copy->accelerators;
	}
	g_hash_table_remove(ctx->endpoint_by_id, ep->msg->id);
	address_unlink(ctx, ep);
	/* The copies are set from the reservations. */
	for (size_t i = 0; i < copy->n_copies; i++)
		dsp__copy__free_unpacked(copy->copies[i], NULL);
	g_free(copy->copies);
	copy->copies = NULL;
	copy->n_copies = 0;
	dsp__endpoint__free_unpacked(ep->msg, NULL);
	ep->msg = copy;
	ep->item.msg = &copy->base;
	ep->item.key = copy->id;
	g_hash_table_insert(ctx->endpoint_by_id, copy->id, ep);
	address_link(ctx, ep);
}

static struct retired_incarnation *retired_find(const struct endpoint *ep,
						uint64_t incarnation)
{
	struct retired_incarnation *old;

	TAILQ_FOREACH (old, &ep->retired, link)
		if (old->incarnation == incarnation)
			return old;
	return NULL;
}

/*
 * Retires the reservations of the current incarnation and restores those of the
 * next one, if it was retired. The next one rejects orders for the current one.
 */
static void switch_incarnation(struct st *ctx, struct endpoint *ep,
			       uint64_t incarnation)
{
	struct retired_incarnation *back = retired_find(ep, incarnation);
	struct retired_incarnation *oldest;

	ord_retire(ctx, ep);
	if (back)
		ord_reinstate(ctx, ep, back);
	if (ep->n_retired <= RETIRED_INCARNATIONS_MAX)
		return;
	oldest = TAILQ_FIRST(&ep->retired);
	add_old_id(ep->old_incarnations, oldest->incarnation);
	retired_free(ep, oldest);
}

static Dsp__CommandResult *put_new_incarnation(struct st *ctx,
					       struct endpoint *ep,
					       const Dsp__Endpoint *msg)
{
	bool checked_before = features_of(ep->msg).checks_incarnation;

	if (contains_id(ep->old_incarnations, msg->incarnation))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "earlier incarnation");
	if (strcmp(ep->msg->team, msg->team) ||
	    strcmp(ep->msg->service, msg->service) ||
	    ep->msg->kind != msg->kind)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "team, service and kind of an endpoint id "
				 "are fixed");
	/*
	 * The memory of loads for earlier incarnations was freed because the
	 * engine rejects them. Without that check it could execute them.
	 */
	if (checked_before && ep->ever_loaded &&
	    !features_of(msg).checks_incarnation)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "an endpoint id cannot stop checking the "
				 "incarnation of orders; use another id");
	qua_endpoint_restarted(ctx, ep);
	if (features_of(msg).checks_incarnation)
		switch_incarnation(ctx, ep, msg->incarnation);
	else
		ord_restart(ctx, ep);
	ep->leaving = msg->state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	ep->down_ms = 0;
	replace_message(ctx, ep, msg);
	ord_set_initial_copies(ctx, ep, msg->copies, msg->n_copies);
	item_touch(ctx, &ep->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/*
 * Whether two endpoints list the same copies in the same order. Compares model,
 * adapter, version and readiness.
 */
bool st_same_copies(const Dsp__Endpoint *a, const Dsp__Endpoint *b)
{
	if (a->n_copies != b->n_copies)
		return false;
	for (size_t i = 0; i < a->n_copies; i++) {
		const Dsp__Copy *x = a->copies[i], *y = b->copies[i];

		if (x->ready != y->ready || strcmp(x->model, y->model) ||
		    strcmp(x->adapter, y->adapter) ||
		    strcmp(x->version, y->version))
			return false;
	}
	return true;
}

static bool same_record(const Dsp__Endpoint *a, const Dsp__Endpoint *b)
{
	return a->incarnation == b->incarnation && a->state == b->state &&
	       a->kind == b->kind && a->max_batch == b->max_batch &&
	       !strcmp(a->address, b->address) && !strcmp(a->site, b->site) &&
	       !strcmp(a->team, b->team) && !strcmp(a->service, b->service) &&
	       !strcmp(a->software, b->software) && st_same_copies(a, b);
}

/*
 * Marks all other endpoints at the address of current as down: only one process
 * can listen on it, so the others have ended.
 */
static void mark_others_at_address_down(struct st *ctx,
					const struct endpoint *current)
{
	const GPtrArray *at = g_hash_table_lookup(ctx->endpoints_by_address,
						  current->msg->address);

	for (guint i = 0; i < at->len; i++) {
		struct endpoint *ep = at->pdata[i];

		if (ep == current ||
		    ep->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
			continue;
		set_state(ctx, ep, DSP__ENDPOINT_STATE__ENDPOINT_DOWN);
		item_touch(ctx, &ep->item);
	}
}

/* Whether a later process announced itself at the address of msg. */
static bool address_has_newer_endpoint(const struct st *ctx,
				       const Dsp__Endpoint *msg)
{
	const GPtrArray *at =
		g_hash_table_lookup(ctx->endpoints_by_address, msg->address);

	for (guint i = 0; at && i < at->len; i++) {
		const struct endpoint *ep = at->pdata[i];

		if (strcmp(ep->msg->id, msg->id) &&
		    ep->msg->incarnation > msg->incarnation)
			return true;
	}
	return false;
}

/*
 * Adds or changes an endpoint whose orders are sequenced. Its incarnation
 * numbers increase with time. Its copies are taken as announced: delayed orders
 * have no effect, so no memory is reserved for them.
 */
static Dsp__CommandResult *put_sequenced(struct st *ctx,
					 const Dsp__Endpoint *msg)
{
	struct endpoint *ep = endpoint_find(ctx, msg->id);
	Dsp__Endpoint next = *msg;
	Dsp__Endpoint *copy;

	if ((ep && msg->incarnation < ep->msg->incarnation) ||
	    address_has_newer_endpoint(ctx, msg))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "earlier incarnation");
	if (!ep) {
		ep = endpoint_new(ctx, msg, ctx->index);
	} else {
		if (ep->msg->incarnation != msg->incarnation)
			ep->leaving = false;
		else if (ep->leaving)
			next.state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
		if (same_record(ep->msg, &next))
			return unchanged(ctx, ep);
		copy = msg_dup(&next);
		keep_software(ctx, ep, copy);
		g_hash_table_remove(ctx->endpoint_by_id, ep->msg->id);
		address_unlink(ctx, ep);
		dsp__endpoint__free_unpacked(ep->msg, NULL);
		ep->msg = copy;
		ep->item.msg = &copy->base;
		ep->item.key = copy->id;
		g_hash_table_insert(ctx->endpoint_by_id, copy->id, ep);
		address_link(ctx, ep);
		item_touch(ctx, &ep->item);
	}
	ep->down_ms = 0;
	ep->leaving = next.state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	mark_others_at_address_down(ctx, ep);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/*
 * Adds an endpoint, replaces its incarnation, or changes its address, site,
 * batch size, role or state. Unless orders are sequenced, the list of copies is
 * used only for a new incarnation.
 */
Dsp__CommandResult *endpoint_put(struct st *ctx, const Dsp__EndpointPut *cmd)
{
	const Dsp__Endpoint *msg = cmd->endpoint;
	const char *error = endpoint_error(msg);
	struct endpoint *ep;

	if (error)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID, error);
	if (features_of(msg).sequenced)
		return put_sequenced(ctx, msg);
	ep = endpoint_find(ctx, msg->id);
	if (ep && ep->msg->incarnation == msg->incarnation)
		return put_same_incarnation(ctx, ep, msg);
	if (ep)
		return put_new_incarnation(ctx, ep, msg);
	ep = endpoint_new(ctx, msg, ctx->index);
	ep->leaving = msg->state == DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	replace_message(ctx, ep, msg);
	ord_set_initial_copies(ctx, ep, msg->copies, msg->n_copies);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/* Marks an endpoint down; its reservations stay, since it may still run. */
Dsp__CommandResult *endpoint_down(struct st *ctx, const Dsp__EndpointDown *cmd)
{
	struct endpoint *ep = endpoint_find(ctx, cmd->id);

	if (!ep)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND, NULL);
	if (ep->msg->incarnation != cmd->incarnation)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE, NULL);
	if (ep->msg->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);
	set_state(ctx, ep, DSP__ENDPOINT_STATE__ENDPOINT_DOWN);
	item_touch(ctx, &ep->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/*
 * Removes endpoints that have been down for ENDPOINT_RETENTION_MS. One that has
 * reservations or pending orders is kept: orders may still reach it.
 */
void endpoints_expire(struct st *ctx)
{
	struct endpoint *ep, *next;

	if (!st_crossed_interval(ctx, ENDPOINT_RETENTION_MS / 24))
		return;
	for (ep = TAILQ_FIRST(&ctx->endpoints); ep; ep = next) {
		next = TAILQ_NEXT(ep, link);
		if (ep->down_ms &&
		    ctx->wall_ms >= ep->down_ms + ENDPOINT_RETENTION_MS &&
		    !ord_has_reservations(ep) && !ep->running)
			endpoint_free(ctx, ep, true);
	}
}

/* Returns an endpoint, or NULL. */
const Dsp__Endpoint *st_endpoint(const struct st *ctx, const char *id)
{
	const struct endpoint *ep = endpoint_find(ctx, id);

	return ep ? ep->msg : NULL;
}

/* Lists all endpoints, including those that are down. */
size_t st_endpoints(const struct st *ctx, const Dsp__Endpoint ***out)
{
	size_t n = g_hash_table_size(ctx->endpoint_by_id), i = 0;
	const struct endpoint *ep;

	*out = g_new(const Dsp__Endpoint *, n + 1);
	TAILQ_FOREACH (ep, &ctx->endpoints, link)
		(*out)[i++] = ep->msg;
	return i;
}

/* Returns the record of an instance, or NULL. */
struct node *node_find(const struct st *ctx, const char *id)
{
	return g_hash_table_lookup(ctx->node_by_id, id);
}

/* Adds the record of an instance with a copy of msg. */
struct node *node_new(struct st *ctx, const Dsp__Node *msg, uint64_t index)
{
	struct node *node = g_new0(struct node, 1);

	node->msg = msg_dup(msg);
	node->old_boots = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	TAILQ_INSERT_TAIL(&ctx->nodes, node, link);
	g_hash_table_insert(ctx->node_by_id, node->msg->id, node);
	item_insert(ctx, &node->item, DSP__VIEW_RECORD__BODY_NODE,
		    node->msg->id, node->msg, index);
	return node;
}

static void node_free(struct st *ctx, struct node *node, bool leave_tombstone)
{
	item_remove(ctx, &node->item, leave_tombstone);
	g_hash_table_remove(ctx->node_by_id, node->msg->id);
	TAILQ_REMOVE(&ctx->nodes, node, link);
	dsp__node__free_unpacked(node->msg, NULL);
	g_array_free(node->old_boots, TRUE);
	g_free(node);
}

/* Frees the records of all instances. */
void nodes_clear(struct st *ctx)
{
	while (!TAILQ_EMPTY(&ctx->nodes))
		node_free(ctx, TAILQ_FIRST(&ctx->nodes), false);
}

static bool same_node(const Dsp__Node *a, const Dsp__Node *b)
{
	return !strcmp(a->site, b->site) && !strcmp(a->region, b->region) &&
	       !strcmp(a->internal_address, b->internal_address) &&
	       !strcmp(a->http_address, b->http_address) &&
	       a->boot == b->boot && a->weight == b->weight &&
	       a->control == b->control && a->draining == b->draining &&
	       a->down == b->down;
}

/*
 * Adds or changes an instance. With a new boot the open claims of the previous
 * process become unknown, since that process has ended.
 */
Dsp__CommandResult *node_put(struct st *ctx, const Dsp__NodePut *cmd)
{
	const Dsp__Node *msg = cmd->node;
	struct node *node;

	if (!msg || !st_is_identifier(msg->id))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_INVALID,
				 "node id is not an identifier");
	node = node_find(ctx, msg->id);
	if (!node) {
		node = node_new(ctx, msg, ctx->index);
		node->msg->down = false;
		return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
	}
	if (contains_id(node->old_boots, msg->boot))
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE,
				 "earlier boot");
	if (node->msg->boot != msg->boot) {
		add_old_id(node->old_boots, node->msg->boot);
		clm_owner_failed(ctx->claims, msg->id, node->msg->boot,
				 ctx->wall_ms);
	} else if (!node->down_ms && same_node(node->msg, msg)) {
		return st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);
	}
	g_hash_table_remove(ctx->node_by_id, msg->id);
	dsp__node__free_unpacked(node->msg, NULL);
	node->msg = msg_dup(msg);
	node->msg->down = false;
	node->down_ms = 0;
	node->item.msg = &node->msg->base;
	node->item.key = node->msg->id;
	g_hash_table_insert(ctx->node_by_id, node->msg->id, node);
	item_touch(ctx, &node->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/* Marks an instance down if its boot matches; its open claims become unknown.
 */
Dsp__CommandResult *node_down(struct st *ctx, const Dsp__NodeDown *cmd)
{
	struct node *node = node_find(ctx, cmd->id);

	clm_owner_failed(ctx->claims, cmd->id, cmd->boot, ctx->wall_ms);
	if (!node)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_NOT_FOUND, NULL);
	if (node->msg->boot != cmd->boot)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_STALE, NULL);
	if (node->down_ms)
		return st_result(ctx, DSP__RESULT_CODE__RESULT_SAME, NULL);
	node->down_ms = MAX(ctx->wall_ms, 1);
	node->msg->down = true;
	item_touch(ctx, &node->item);
	return st_result(ctx, DSP__RESULT_CODE__RESULT_OK, NULL);
}

/* Removes instances that have been down for NODE_RETENTION_MS. */
void nodes_expire(struct st *ctx)
{
	struct node *node, *next;

	if (!st_crossed_interval(ctx, NODE_RETENTION_MS / 60))
		return;
	for (node = TAILQ_FIRST(&ctx->nodes); node; node = next) {
		next = TAILQ_NEXT(node, link);
		if (node->down_ms &&
		    ctx->wall_ms >= node->down_ms + NODE_RETENTION_MS)
			node_free(ctx, node, true);
	}
}

/* Returns an instance, or NULL. */
const Dsp__Node *st_node(const struct st *ctx, const char *id)
{
	const struct node *node = node_find(ctx, id);

	return node ? node->msg : NULL;
}

/* Lists all instances, including those that are down. */
size_t st_nodes(const struct st *ctx, const Dsp__Node ***out)
{
	size_t n = g_hash_table_size(ctx->node_by_id), i = 0;
	const struct node *node;

	*out = g_new(const Dsp__Node *, n + 1);
	TAILQ_FOREACH (node, &ctx->nodes, link)
		(*out)[i++] = node->msg;
	return i;
}
