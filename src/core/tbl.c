#include "core/tbl.h"

#include <stdatomic.h>
#include <string.h>
#include <xxhash.h>

#include "base/msg.h"

/* Changes kept for readers that have an earlier version. Readers further behind
 * get the whole table. */
#define CHANGES_MAX 16
/* Changes kept as a share of the whole table: sending more than this costs
 * about as much as the table. */
#define CHANGES_PERCENT_MAX 60

/* One route, shared by all versions that contain it. */
struct route {
	_Atomic uint32_t refs; /* any thread; the rest never changes */
	Dsp__Route *msg;
	size_t len; /* encoded */
	XXH128_hash_t hash;
};

/* A change, shared by all versions that know it. */
struct change {
	_Atomic uint32_t refs; /* any thread; the rest never changes */
	Dsp__RouteTableChange *msg;
	size_t len; /* encoded */
};

struct tbl {
	_Atomic uint32_t refs; /* any thread; the rest never changes */
	Dsp__RouteTable table; /* services and limits owned, routes borrowed */
	struct route **routes; /* those of the table */
	XXH128_hash_t sum;     /* of the hashes of the routes */
	size_t len;	       /* encoded routes */
	struct change *changes[CHANGES_MAX]; /* oldest first */
	size_t n_changes;
	size_t n_copied;
};

G_DEFINE_QUARK(tbl - error - quark, tbl_error)

static XXH128_hash_t hash_of(const void *msg, size_t *len)
{
	XXH128_hash_t hash;
	uint8_t *data;

	*len = protobuf_c_message_get_packed_size(msg);
	data = g_malloc(*len + 1);
	protobuf_c_message_pack(msg, data);
	hash = XXH3_128bits(data, *len);
	g_free(data);
	return hash;
}

static struct route *route_new(const Dsp__Route *msg, XXH128_hash_t hash,
			       size_t len)
{
	struct route *route = g_new0(struct route, 1);

	atomic_init(&route->refs, 1);
	route->msg = msg_dup(msg);
	route->hash = hash;
	route->len = len;
	return route;
}

static struct route *route_ref(struct route *route)
{
	atomic_fetch_add(&route->refs, 1);
	return route;
}

static void route_unref(struct route *route)
{
	if (atomic_fetch_sub(&route->refs, 1) != 1)
		return;
	dsp__route__free_unpacked(route->msg, NULL);
	g_free(route);
}

/* Takes the message. */
static struct change *change_new(Dsp__RouteTableChange *msg)
{
	struct change *change = g_new0(struct change, 1);

	atomic_init(&change->refs, 1);
	change->msg = msg;
	change->len = dsp__route_table_change__get_packed_size(msg);
	return change;
}

static struct change *change_ref(struct change *change)
{
	atomic_fetch_add(&change->refs, 1);
	return change;
}

static void change_unref(struct change *change)
{
	if (atomic_fetch_sub(&change->refs, 1) != 1)
		return;
	dsp__route_table_change__free_unpacked(change->msg, NULL);
	g_free(change);
}

/* Creates a version without routes, with room for n of them. */
static struct tbl *version_new(uint64_t number, uint64_t index, size_t n)
{
	struct tbl *ctx = g_new0(struct tbl, 1);

	atomic_init(&ctx->refs, 1);
	dsp__route_table__init(&ctx->table);
	ctx->table.number = number;
	ctx->table.index = index;
	ctx->table.routes = g_new(Dsp__Route *, n + 1);
	ctx->routes = g_new(struct route *, n + 1);
	return ctx;
}

/* Adds a route to the sums over all routes. */
static void add_route(struct tbl *ctx, const struct route *route)
{
	ctx->sum.low64 += route->hash.low64;
	ctx->sum.high64 += route->hash.high64;
	ctx->len += route->len;
}

/* Appends a route; takes the reference. */
static void append(struct tbl *ctx, struct route *route)
{
	ctx->routes[ctx->table.n_routes] = route;
	ctx->table.routes[ctx->table.n_routes++] = route->msg;
	add_route(ctx, route);
}

/* Copies services, limits and customers. */
static void copy_rest(struct tbl *ctx, Dsp__RoutedService *const *services,
		      size_t n, const Dsp__CallerLimits *limits,
		      const Dsp__Customers *customers)
{
	ctx->table.services = g_new(Dsp__RoutedService *, n + 1);
	for (size_t i = 0; i < n; i++)
		ctx->table.services[ctx->table.n_services++] =
			msg_dup(services[i]);
	if (limits)
		ctx->table.limits = msg_dup(limits);
	if (customers)
		ctx->table.customers = msg_dup(customers);
}

/*
 * Digest of the whole version. It costs time in proportion to the services,
 * not to the routes, whose sum is kept up to date; their order has no meaning.
 */
static XXH128_hash_t digest_of(const struct tbl *ctx)
{
	Dsp__RouteTable rest = ctx->table;
	XXH128_hash_t digest;
	size_t len;

	rest.n_routes = 0;
	rest.routes = NULL;
	digest = hash_of(&rest, &len);
	digest.low64 += ctx->sum.low64;
	digest.high64 += ctx->sum.high64;
	return digest;
}

static XXH128_canonical_t canonical_digest(const struct tbl *ctx)
{
	XXH128_canonical_t bytes;

	XXH128_canonicalFromHash(&bytes, digest_of(ctx));
	return bytes;
}

/* Adds a reference; any thread. */
struct tbl *tbl_ref(struct tbl *ctx)
{
	atomic_fetch_add(&ctx->refs, 1);
	return ctx;
}

/* Drops a reference; the last one frees the version. NULL is allowed. */
void tbl_unref(struct tbl *ctx)
{
	if (!ctx || atomic_fetch_sub(&ctx->refs, 1) != 1)
		return;
	for (size_t i = 0; i < ctx->table.n_routes; i++)
		route_unref(ctx->routes[i]);
	for (size_t i = 0; i < ctx->table.n_services; i++)
		dsp__routed_service__free_unpacked(ctx->table.services[i],
						   NULL);
	if (ctx->table.limits)
		dsp__caller_limits__free_unpacked(ctx->table.limits, NULL);
	if (ctx->table.customers)
		dsp__customers__free_unpacked(ctx->table.customers, NULL);
	for (size_t i = 0; i < ctx->n_changes; i++)
		change_unref(ctx->changes[i]);
	g_free(ctx->table.routes);
	g_free(ctx->table.services);
	g_free(ctx->routes);
	g_free(ctx);
}

/* ---- Changes ---- */

/* Returns the bytes of the changes that a version keeps at most. */
static size_t change_bytes_max(const struct tbl *ctx)
{
	return ctx->len / 100 * CHANGES_PERCENT_MAX;
}

/* Takes over the changes that base knows, as far as limits allow, and the one
 * from base to this version. */
static void keep_changes(struct tbl *ctx, const struct tbl *base,
			 struct change *last)
{
	size_t limit = change_bytes_max(ctx);
	size_t bytes = last->len;
	size_t from = base->n_changes;

	if (bytes > limit) {
		change_unref(last);
		return;
	}
	while (from && base->n_changes - from + 1 < CHANGES_MAX &&
	       bytes + base->changes[from - 1]->len <= limit)
		bytes += base->changes[--from]->len;
	for (size_t i = from; i < base->n_changes; i++)
		ctx->changes[ctx->n_changes++] = change_ref(base->changes[i]);
	ctx->changes[ctx->n_changes++] = last;
}

static Dsp__RouteTablePiece *add_piece(Dsp__RouteTableChange *change)
{
	Dsp__RouteTablePiece *piece = g_new(Dsp__RouteTablePiece, 1);

	dsp__route_table_piece__init(piece);
	change->pieces = g_renew(Dsp__RouteTablePiece *, change->pieces,
				 change->n_pieces + 1);
	change->pieces[change->n_pieces++] = piece;
	return piece;
}

/* Returns the change from base to a version that shares its routes. from[i] is
 * the position of route i in base, or SIZE_MAX. */
static Dsp__RouteTableChange *
describe(const struct tbl *ctx, const struct tbl *base, const size_t *from)
{
	XXH128_canonical_t digest = canonical_digest(ctx);
	Dsp__RouteTableChange *change = g_new(Dsp__RouteTableChange, 1);
	Dsp__RouteTablePiece *piece = NULL;

	dsp__route_table_change__init(change);
	change->base_index = base->table.index;
	change->number = ctx->table.number;
	change->index = ctx->table.index;
	change->digest.len = sizeof(digest);
	change->digest.data = g_memdup2(&digest, sizeof(digest));
	for (size_t i = 0; i < ctx->table.n_routes; i++) {
		if (from[i] == SIZE_MAX) {
			if (!piece)
				piece = add_piece(change);
			piece->routes = g_renew(Dsp__Route *, piece->routes,
						piece->n_routes + 1);
			piece->routes[piece->n_routes++] =
				msg_dup(ctx->table.routes[i]);
			continue;
		}
		if (!piece || piece->n_routes ||
		    piece->first + piece->count != from[i]) {
			piece = add_piece(change);
			piece->first = (uint32_t)from[i];
		}
		piece->count++;
	}
	change->n_services = ctx->table.n_services;
	change->services = g_new(Dsp__RoutedService *, change->n_services + 1);
	for (size_t i = 0; i < change->n_services; i++)
		change->services[i] = msg_dup(ctx->table.services[i]);
	if (ctx->table.limits)
		change->limits = msg_dup(ctx->table.limits);
	if (ctx->table.customers)
		change->customers = msg_dup(ctx->table.customers);
	return change;
}

static guint route_hash(const void *data)
{
	return (guint)((const struct route *)data)->hash.low64;
}

static gboolean route_equal(const void *a, const void *b)
{
	const struct route *x = a;
	const struct route *y = b;

	return XXH128_isEqual(x->hash, y->hash);
}

/* Returns the positions of a version's routes, plus 1. NULL has none. */
static GHashTable *index_routes(const struct tbl *base)
{
	GHashTable *known = g_hash_table_new(route_hash, route_equal);

	for (size_t i = 0; base && i < base->table.n_routes; i++)
		g_hash_table_insert(known, base->routes[i], (void *)(i + 1));
	return known;
}

/* Returns the position of a route in the indexed version, or SIZE_MAX. A change
 * takes each route of its base once. */
static size_t take_known(GHashTable *known, const struct route *wanted)
{
	size_t at = (size_t)g_hash_table_lookup(known, wanted);

	g_hash_table_remove(known, wanted);
	return at - 1;
}

/*
 * Returns a version with a whole table. Routes that base has, too, are shared,
 * and only the others are copied.
 */
struct tbl *tbl_new(struct tbl *base, const Dsp__RouteTable *table)
{
	struct tbl *ctx =
		version_new(table->number, table->index, table->n_routes);
	GHashTable *known = index_routes(base);
	size_t *from = g_new0(size_t, table->n_routes + 1);

	for (size_t i = 0; i < table->n_routes; i++) {
		struct route wanted = { 0 };

		wanted.hash = hash_of(table->routes[i], &wanted.len);
		from[i] = take_known(known, &wanted);
		if (from[i] != SIZE_MAX) {
			append(ctx, route_ref(base->routes[from[i]]));
			continue;
		}
		append(ctx,
		       route_new(table->routes[i], wanted.hash, wanted.len));
		ctx->n_copied++;
	}
	copy_rest(ctx, table->services, table->n_services, table->limits,
		  table->customers);
	if (base)
		keep_changes(ctx, base, change_new(describe(ctx, base, from)));
	g_hash_table_destroy(known);
	g_free(from);
	return ctx;
}

/*
 * Returns the change from base to a whole table as a new message, or NULL if it
 * is so large that versions do not keep it. It copies what is new once, and no
 * version of the table is made.
 */
Dsp__RouteTableChange *tbl_change(const struct tbl *base,
				  const Dsp__RouteTable *table)
{
	/* Borrows the table, except for its source, which versions lack. */
	struct tbl next = { .table = *table };
	GHashTable *known = index_routes(base);
	size_t *from = g_new0(size_t, table->n_routes + 1);
	Dsp__RouteTableChange *change;

	next.table.source = (ProtobufCBinaryData){ 0 };
	for (size_t i = 0; i < table->n_routes; i++) {
		struct route wanted = { 0 };

		wanted.hash = hash_of(table->routes[i], &wanted.len);
		from[i] = take_known(known, &wanted);
		add_route(&next, &wanted);
	}
	change = describe(&next, base, from);
	if (dsp__route_table_change__get_packed_size(change) >
	    change_bytes_max(&next)) {
		dsp__route_table_change__free_unpacked(change, NULL);
		change = NULL;
	}
	g_hash_table_destroy(known);
	g_free(from);
	return change;
}

/* Counts the routes of the result. Returns false if the change refers to routes
 * that base does not have, or to more than it has. */
static bool count_routes(const struct tbl *base,
			 const Dsp__RouteTableChange *change, size_t *n)
{
	size_t kept = 0;

	*n = 0;
	for (size_t i = 0; i < change->n_pieces; i++) {
		const Dsp__RouteTablePiece *piece = change->pieces[i];

		if ((uint64_t)piece->first + piece->count >
		    base->table.n_routes)
			return false;
		kept += piece->count;
		if (kept > base->table.n_routes)
			return false;
		*n += piece->count + piece->n_routes;
	}
	return true;
}

static void append_piece(struct tbl *ctx, const struct tbl *base,
			 const Dsp__RouteTablePiece *piece)
{
	for (size_t i = 0; i < piece->count; i++)
		append(ctx, route_ref(base->routes[piece->first + i]));
	for (size_t i = 0; i < piece->n_routes; i++) {
		size_t len;
		XXH128_hash_t hash = hash_of(piece->routes[i], &len);

		append(ctx, route_new(piece->routes[i], hash, len));
		ctx->n_copied++;
	}
}

static struct tbl *apply_change(struct tbl *base,
				const Dsp__RouteTableChange *change,
				GError **err)
{
	XXH128_canonical_t digest;
	struct tbl *ctx;
	size_t n;

	if (change->base_index != base->table.index) {
		g_set_error(err, TBL_ERROR, TBL_ERROR_BASE,
			    "the change is for the table of index "
			    "%" G_GUINT64_FORMAT ", not %" G_GUINT64_FORMAT,
			    change->base_index, base->table.index);
		return NULL;
	}
	if (!count_routes(base, change, &n)) {
		g_set_error(err, TBL_ERROR, TBL_ERROR_FORM,
			    "the change refers to routes that the table does "
			    "not have");
		return NULL;
	}
	ctx = version_new(change->number, change->index, n);
	for (size_t i = 0; i < change->n_pieces; i++)
		append_piece(ctx, base, change->pieces[i]);
	copy_rest(ctx, change->services, change->n_services, change->limits,
		  change->customers);
	digest = canonical_digest(ctx);
	if (change->digest.len != sizeof(digest) ||
	    memcmp(change->digest.data, &digest, sizeof(digest)) != 0) {
		g_set_error(err, TBL_ERROR, TBL_ERROR_DIGEST,
			    "the result of the change has another digest");
		tbl_unref(ctx);
		return NULL;
	}
	keep_changes(ctx, base, change_new(msg_dup(change)));
	return ctx;
}

/*
 * Returns the version that the steps lead to from base. Steps up to base are
 * skipped. NULL with TBL_ERROR; base stays as it is.
 */
struct tbl *tbl_apply(struct tbl *base, const Dsp__RouteTableSteps *steps,
		      GError **err)
{
	struct tbl *ctx = tbl_ref(base);
	size_t n_copied = 0;

	for (size_t i = 0; i < steps->n_steps; i++) {
		struct tbl *next;

		if (steps->steps[i]->index <= ctx->table.index)
			continue;
		next = apply_change(ctx, steps->steps[i], err);
		tbl_unref(ctx);
		if (!next)
			return NULL;
		ctx = next;
		n_copied += ctx->n_copied;
	}
	if (ctx != base)
		ctx->n_copied = n_copied;
	return ctx;
}

/* ---- Queries ---- */

/* Returns the table without its source. */
Dsp__RouteTable *tbl_table(const struct tbl *ctx)
{
	return (Dsp__RouteTable *)&ctx->table;
}

/*
 * Returns the changes since the version of a log index as a new message, or
 * NULL if they are not known and the whole table is needed. There are none
 * since this version or a later one.
 */
Dsp__RouteTableSteps *tbl_since(const struct tbl *ctx, uint64_t index)
{
	Dsp__RouteTableSteps steps = DSP__ROUTE_TABLE_STEPS__INIT;
	Dsp__RouteTableChange *list[CHANGES_MAX];
	size_t from = ctx->n_changes;

	if (index >= ctx->table.index)
		return msg_dup(&steps);
	while (from && ctx->changes[from - 1]->msg->base_index >= index)
		from--;
	if (from == ctx->n_changes ||
	    ctx->changes[from]->msg->base_index != index)
		return NULL;
	steps.steps = list;
	for (size_t i = from; i < ctx->n_changes; i++)
		list[steps.n_steps++] = ctx->changes[i]->msg;
	return msg_dup(&steps);
}

/* Returns how many routes were copied for this version and not shared. */
size_t tbl_n_copied(const struct tbl *ctx)
{
	return ctx->n_copied;
}
