#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/ent.h"

/* Entries of other sites that are listed even when all entries of the caller's
 * site are usable, so that it has an alternative when the site fails. */
#define FALLBACKS 2
/* Sum of the weights of a list. */
#define WEIGHT_SCALE 1000.0

static bool usable(const Dsp__Node *node)
{
	return !node->draining && !node->down && *node->http_address;
}

static uint32_t weight_of(const Dsp__Node *node)
{
	return node->weight ? node->weight : 1;
}

/* Pseudo-random number above 0, at most 1. */
static double unit_hash(const void *data, size_t len, uint64_t seed)
{
	uint64_t hash = XXH3_64bits_withSeed(data, len, seed);

	return ((double)(hash >> 11) + 1.0) * 0x1.0p-53;
}

struct candidate {
	const Dsp__Node *node;
	double weight;
	double key; /* weight / uniform: priority sampling */
};

static int by_key(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->key != y->key)
		return x->key < y->key ? 1 : -1;
	return strcmp(x->node->id, y->node->id);
}

static int by_weight(const void *a, const void *b)
{
	const struct ent_item *x = a, *y = b;

	if (x->weight != y->weight)
		return x->weight < y->weight ? 1 : -1;
	return strcmp(x->node->id, y->node->id);
}

/*
 * Chooses up to max of n candidates by priority sampling (Duffield, Lund and
 * Thorup, 2007): each chosen one gets max(weight, threshold), so that over all
 * seeds each node gets its share. The weights are scaled to a sum of about
 * total. Returns the number chosen.
 */
static size_t sample(struct candidate *candidates, size_t n, size_t max,
		     double total, struct ent_item *out)
{
	double threshold = 0, sum = 0;

	qsort(candidates, n, sizeof(*candidates), by_key);
	if (n > max) {
		threshold = candidates[max].key;
		n = max;
	}
	for (size_t i = 0; i < n; i++) {
		candidates[i].weight = MAX(candidates[i].weight, threshold);
		sum += candidates[i].weight;
	}
	for (size_t i = 0; i < n; i++) {
		double weight = total * candidates[i].weight / sum;

		out[i].node = candidates[i].node;
		out[i].weight = (uint32_t)(weight + 0.5);
		if (total > 0 && !out[i].weight)
			out[i].weight = 1;
	}
	qsort(out, n, sizeof(*out), by_weight);
	return n;
}

static size_t gather(const struct view *view, const char *site,
		     const char *region, bool inside, uint64_t seed,
		     struct candidate *out)
{
	size_t n = 0;

	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);
		bool local = site && !strcmp(node->site, site);
		double u;

		if (!usable(node) || local != inside)
			continue;
		if (region && strcmp(node->region, region))
			continue;
		u = unit_hash(node->id, strlen(node->id), seed);
		out[n++] = (struct candidate){
			.node = node,
			.weight = weight_of(node),
			.key = weight_of(node) / u,
		};
	}
	return n;
}

/* Share of a site's callers that its usable entries can serve: their weight
 * divided by the weight of all known entries of the site. */
static double site_share(const struct view *view, const char *site,
			 const char **region)
{
	double all = 0, left = 0;

	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		if (!site || strcmp(node->site, site))
			continue;
		*region = node->region;
		all += weight_of(node);
		if (usable(node))
			left += weight_of(node);
	}
	return all > 0 ? left / all : 0;
}

/*
 * Fills the entry list for a caller at a site: entries of that site first, then
 * others. While all entries of the site are usable, the others have weight 0
 * (to be used only when the rest fails). The weight of unusable entries is
 * distributed over all other sites of the region, not over a single one, or
 * over all regions when the region has no other site.
 */
size_t ent_list(const struct view *view, const char *site, uint64_t seed,
		struct ent_item out[ENT_LIST_MAX])
{
	struct candidate *candidates;
	const char *region = NULL;
	double share = site_share(view, site, &region);
	size_t max_local = ENT_LIST_MAX - FALLBACKS;
	size_t n = 0, found;

	candidates = g_new(struct candidate, view_n_nodes(view) + 1);
	if (share > 0 && share < 1) {
		max_local = (size_t)(share * ENT_LIST_MAX + 0.5);
		max_local = CLAMP(max_local, 1, ENT_LIST_MAX - FALLBACKS);
	}
	if (share > 0) {
		found = gather(view, site, NULL, true, seed, candidates);
		n = sample(candidates, found, max_local, WEIGHT_SCALE * share,
			   out);
	}
	found = gather(view, site, region, false, seed, candidates);
	if (!found && region)
		found = gather(view, site, NULL, false, seed, candidates);
	if (found)
		n += sample(candidates, found, ENT_LIST_MAX - n,
			    WEIGHT_SCALE * (1.0 - share), out + n);
	else
		for (size_t i = 0; i < n; i++)
			out[i].weight = MAX(out[i].weight, 1);
	g_free(candidates);
	return n;
}

struct rank {
	bool other_region;
	bool other_site;
	double hash;
};

static bool ranks_before(const struct rank *a, const struct rank *b)
{
	if (a->other_region != b->other_region)
		return b->other_region;
	if (a->other_site != b->other_site)
		return b->other_site;
	return a->hash > b->hash;
}

static double rendezvous(const char *endpoint, const Dsp__Node *node)
{
	uint64_t seed = XXH3_64bits(endpoint, strlen(endpoint));

	return unit_hash(node->id, strlen(node->id), seed);
}

static const Dsp__Node *best_node(const struct view *view, const char *endpoint,
				  const char *region, const char *prefer_site,
				  const char *not_site, const Dsp__Node *except)
{
	const Dsp__Node *best = NULL;
	struct rank best_rank = { 0 };

	for (size_t i = 0; i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);
		struct rank rank = { 0 };

		if (!usable(node) || node == except)
			continue;
		if (not_site && !strcmp(node->site, not_site))
			continue;
		rank.other_region = region && strcmp(node->region, region);
		rank.other_site =
			prefer_site && strcmp(node->site, prefer_site);
		rank.hash = rendezvous(endpoint, node);
		if (best && !ranks_before(&rank, &best_rank))
			continue;
		best = node;
		best_rank = rank;
	}
	return best;
}

static const char *region_of(const struct view *view, const char *site)
{
	for (size_t i = 0; site && i < view_n_nodes(view); i++) {
		const Dsp__Node *node = view_node_at(view, i);

		if (!strcmp(node->site, site))
			return node->region;
	}
	return NULL;
}

/*
 * Chooses the entries that an endpoint announces itself to, by rendezvous
 * hashing, so that the loss of an entry affects only its own endpoints. The
 * first is at the endpoint's site if possible, else in its region; the second
 * is at another site, in its region if possible. Returns the number chosen, 0
 * to 2.
 */
size_t ent_announce_to(const struct view *view, const char *endpoint,
		       const Dsp__Node *out[2])
{
	const Dsp__Endpoint *known = view_endpoint(view, endpoint);
	const char *site = known && *known->site ? known->site : NULL;
	const char *region = region_of(view, site);
	size_t n = 0;

	out[0] = best_node(view, endpoint, region, site, NULL, NULL);
	if (!out[0])
		return 0;
	n++;
	out[1] = best_node(view, endpoint, region, NULL, out[0]->site, out[0]);
	if (!out[1])
		out[1] = best_node(view, endpoint, region, NULL, NULL, out[0]);
	return out[1] ? n + 1 : n;
}
