#include "core/rtab.h"

#include <glib.h>
#include <string.h>

struct rtab {
	GHashTable *routes; /* "host/prefix/" in lower-case host -> route */
	GHashTable *services;
	GHashTable *customers; /* digest of a key -> customer; NULL: requests
				  need no key */
};

/* Digests are uniformly distributed. */
static guint digest_hash(const void *data)
{
	guint hash;

	memcpy(&hash, data, sizeof(hash));
	return hash;
}

/* The time does not depend on how many bytes of two digests are equal. */
static gboolean digest_equal(const void *a, const void *b)
{
	const uint8_t *x = a;
	const uint8_t *y = b;
	unsigned differ = 0;

	for (size_t i = 0; i < RTAB_KEY_DIGEST_LEN; i++)
		differ |= x[i] ^ y[i];
	return !differ;
}

static char *route_key(const char *host, size_t host_len, const char *path,
		       size_t path_len)
{
	char *key = g_malloc(host_len + path_len + 1);

	for (size_t i = 0; i < host_len; i++)
		key[i] = g_ascii_tolower(host[i]);
	memcpy(key + host_len, path, path_len);
	key[host_len + path_len] = '\0';
	return key;
}

static char *key_of(const Dsp__Route *route)
{
	return route_key(route->host, strlen(route->host), route->path_prefix,
			 strlen(route->path_prefix));
}

static void index_services(struct rtab *ctx, const Dsp__RouteTable *table)
{
	g_hash_table_remove_all(ctx->services);
	for (size_t i = 0; i < table->n_services; i++)
		g_hash_table_insert(ctx->services, table->services[i]->name,
				    table->services[i]);
}

/* Replaces the index of the customers' keys by that of the table. */
static void index_customers(struct rtab *ctx, const Dsp__RouteTable *table)
{
	const Dsp__Customers *customers = table->customers;

	g_clear_pointer(&ctx->customers, g_hash_table_destroy);
	if (!customers)
		return;
	ctx->customers = g_hash_table_new(digest_hash, digest_equal);
	for (size_t i = 0; i < customers->n_all; i++) {
		Dsp__Customer *customer = customers->all[i];

		for (size_t k = 0; k < customer->n_key_digests; k++)
			if (customer->key_digests[k].len == RTAB_KEY_DIGEST_LEN)
				g_hash_table_insert(
					ctx->customers,
					customer->key_digests[k].data,
					customer);
	}
}

/* Builds the index of a valid table, which must outlive it. */
struct rtab *rtab_new(const Dsp__RouteTable *table)
{
	struct rtab *ctx = g_new0(struct rtab, 1);

	ctx->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ctx->services = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < table->n_routes; i++)
		g_hash_table_insert(ctx->routes, key_of(table->routes[i]),
				    table->routes[i]);
	index_services(ctx, table);
	index_customers(ctx, table);
	return ctx;
}

static void forget_route(struct rtab *ctx, const Dsp__Route *route)
{
	char *key = key_of(route);

	if (g_hash_table_lookup(ctx->routes, key) == route)
		g_hash_table_remove(ctx->routes, key);
	g_free(key);
}

/*
 * Makes the index of old that of a valid table, which must outlive it, and
 * returns the number of routes removed and added. Routes that both tables share
 * and have in the same order, as versions of a tbl do, are not touched; old may
 * be freed afterwards.
 */
size_t rtab_update(struct rtab *ctx, const Dsp__RouteTable *old,
		   const Dsp__RouteTable *table)
{
	GPtrArray *added = g_ptr_array_new();
	GHashTable *left = g_hash_table_new(NULL, NULL);
	size_t n_old = old->n_routes;
	size_t n = table->n_routes;
	size_t first = 0;
	size_t cost;

	while (first < MIN(n_old, n) &&
	       old->routes[first] == table->routes[first])
		first++;
	while (MIN(n_old, n) > first &&
	       old->routes[n_old - 1] == table->routes[n - 1]) {
		n_old--;
		n--;
	}
	for (size_t i = first; i < n_old; i++)
		g_hash_table_add(left, old->routes[i]);
	for (size_t i = first; i < n; i++)
		if (!g_hash_table_remove(left, table->routes[i]))
			g_ptr_array_add(added, table->routes[i]);
	cost = g_hash_table_size(left) + added->len;
	for (size_t i = first; i < n_old; i++)
		if (g_hash_table_contains(left, old->routes[i]))
			forget_route(ctx, old->routes[i]);
	for (guint i = 0; i < added->len; i++)
		g_hash_table_replace(ctx->routes, key_of(added->pdata[i]),
				     added->pdata[i]);
	index_services(ctx, table);
	index_customers(ctx, table);
	g_hash_table_destroy(left);
	g_ptr_array_free(added, TRUE);
	return cost;
}

/* Frees the index; NULL is allowed. */
void rtab_free(struct rtab *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->routes);
	g_hash_table_destroy(ctx->services);
	if (ctx->customers)
		g_hash_table_destroy(ctx->customers);
	g_free(ctx);
}

/*
 * Returns the host's route with the longest matching path prefix, or NULL. host
 * may have a port, target a query. Prefixes end with a slash, so one lookup for
 * each slash of the path suffices.
 */
const Dsp__Route *rtab_match(const struct rtab *ctx, const char *host,
			     const char *target)
{
	size_t host_len = strcspn(host, ":");
	size_t len = strcspn(target, "?");
	const Dsp__Route *route = NULL;

	while (len && !route) {
		if (target[len - 1] == '/') {
			char *key = route_key(host, host_len, target, len);

			route = g_hash_table_lookup(ctx->routes, key);
			g_free(key);
		}
		len--;
	}
	return route;
}

/* Returns a service or NULL. */
const Dsp__RoutedService *rtab_service(const struct rtab *ctx, const char *name)
{
	return g_hash_table_lookup(ctx->services, name);
}

/* Draws one of the route's services with probability proportional to its
 * weight; NULL if all weights are 0. */
const char *rtab_draw(const Dsp__Route *route, uint64_t random)
{
	uint64_t sum = 0;
	uint64_t point;

	for (size_t i = 0; i < route->n_splits; i++)
		sum += route->splits[i]->weight;
	if (!sum)
		return NULL;
	point = random % sum;
	for (size_t i = 0; i < route->n_splits; i++) {
		if (point < route->splits[i]->weight)
			return route->splits[i]->service;
		point -= route->splits[i]->weight;
	}
	return NULL;
}

/* Returns whether requests need a key, unless their route is open. */
bool rtab_has_customers(const struct rtab *ctx)
{
	return ctx->customers != NULL;
}

/* Returns the customer that has the key with this digest, or NULL. */
const Dsp__Customer *rtab_customer(const struct rtab *ctx,
				   const uint8_t digest[RTAB_KEY_DIGEST_LEN])
{
	return ctx->customers ? g_hash_table_lookup(ctx->customers, digest)
			      : NULL;
}
