#include <string.h>

#include "core/plc_int.h"

/* Most copies that are moved to fit one missing item. */
#define MOVES_MAX 4

/* Tells whether an item is an adapter. */
bool plc_is_adapter(const struct plc_item *item)
{
	return *item->adapter;
}

/* Counts the ready copies of an item on usable endpoints. */
uint32_t plc_count_ready(const struct plc_item *item)
{
	uint32_t n = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		n += copy->ready && copy->ep->usable;
	}
	return n;
}

static bool is_expected(const struct plc_copy *copy)
{
	return copy->ep->usable &&
	       (copy->ready || (copy->loading && !copy->stalled));
}

static const struct plc_copy *base_on(const struct plc_item *adapter,
				      const struct plc_ep *ep)
{
	for (guint i = 0; i < adapter->base->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(adapter->base->copies, i);
		if (copy->ep == ep && copy->ready)
			return copy;
	}
	return NULL;
}

/* Counts the copies of an item that are ready or being loaded. A copy of an
 * adapter counts only where the current version of its model is ready. */
uint32_t plc_count_expected(const struct plc_item *item)
{
	uint32_t n = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		if (!is_expected(copy))
			continue;
		if (!plc_is_adapter(item) || base_on(item, copy->ep))
			n++;
	}
	return n;
}

/* Counts the copies of an item, other than except, that can serve requests. */
static uint32_t ready_beside(const struct plc_item *item,
			     const struct plc_copy *except)
{
	uint32_t n = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		if (copy == except || !copy->ready || !copy->ep->usable)
			continue;
		if (!plc_is_adapter(item) || base_on(item, copy->ep))
			n++;
	}
	return n;
}

static bool overlap(const struct plc_copy *a, const struct plc_copy *b)
{
	return a->first < b->first + b->accelerators &&
	       b->first < a->first + a->accelerators;
}

static bool depends(const struct plc_copy *adapter, const struct plc_copy *base)
{
	return *adapter->adapter && !*base->adapter &&
	       !strcmp(adapter->model, base->model) && overlap(adapter, base);
}

/* Whether another copy of the model on the endpoint can run the adapters. */
static bool has_other_base(const struct plc_copy *base)
{
	for (guint i = 0; i < base->ep->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(base->ep->copies, i);
		if (copy != base && !*copy->adapter && copy->ready &&
		    copy->item == base->item && !copy->old &&
		    overlap(copy, base))
			return true;
	}
	return false;
}

static bool wanted_elsewhere(const struct plc_round *round,
			     const struct plc_copy *copy)
{
	g_autofree char *name = NULL;
	const struct plc_item *item;

	/* The model moved to another service: keep it until it is ready there.
	 */
	name = g_strjoin("\x1f", copy->ep->rec->team, copy->model,
			 copy->adapter, NULL);
	item = g_hash_table_lookup(round->by_name, name);
	return item && !plc_count_ready(item);
}

/*
 * Tells whether a copy may be unloaded while at least keep copies (at least
 * one) of its item stay ready. Does not check adapters on a model, which must
 * be unloaded first.
 */
bool plc_may_unload(const struct plc_round *round, const struct plc_copy *copy,
		    uint32_t keep)
{
	if (copy->unloading || !copy->ready || !copy->ep->usable)
		return false;
	if (!copy->item)
		return !wanted_elsewhere(round, copy);
	return ready_beside(copy->item, copy) >= MAX(keep, 1);
}

/* Appends the adapters that must be unloaded before a model; false when one has
 * no other ready copy. */
static bool find_dependents(const struct plc_round *round,
			    const struct plc_copy *base, GPtrArray *out)
{
	if (*base->adapter || has_other_base(base))
		return true;
	for (guint i = 0; i < base->ep->copies->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(base->ep->copies, i);

		if (!depends(copy, base) || copy->unloading)
			continue;
		if (!plc_may_unload(round, copy, 1))
			return false;
		if (out)
			g_ptr_array_add(out, copy);
	}
	return true;
}

/* Tells whether the memory of an unloaded copy can be used for another. */
bool plc_unload_frees(const struct plc_round *round, const struct plc_ep *ep)
{
	const Dsp__Features *features = ep->rec->features;
	g_autofree char *key = NULL;

	if (features && features->fencing && features->checks_incarnation)
		return true;
	/* Other engines may run a duplicate of an old load at any time, so its
	 * memory stays reserved for the same model. */
	key = g_strjoin("\x1f", ep->rec->team, ep->rec->service, NULL);
	return g_hash_table_contains(round->exactly_once, key);
}

static uint32_t site_copies(const struct plc_item *item, const char *site)
{
	uint32_t n = 0;

	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		if (is_expected(copy) && !strcmp(copy->ep->rec->site, site))
			n++;
	}
	return n;
}

static bool has_copy(const struct plc_item *item, const struct plc_ep *ep)
{
	for (guint i = 0; i < item->copies->len; i++) {
		const struct plc_copy *copy;

		copy = g_ptr_array_index(item->copies, i);
		if (copy->ep == ep)
			return true;
	}
	return false;
}

static bool eligible(const struct plc_item *item, const struct plc_ep *ep,
		     uint32_t *from, uint32_t *to)
{
	const struct plc_copy *base;

	if (!ep->usable || strcmp(ep->rec->service, item->service) ||
	    strcmp(ep->rec->team, item->team) ||
	    item->accelerators > ep->rec->accelerators || has_copy(item, ep))
		return false;
	*from = 0;
	*to = ep->rec->accelerators - item->accelerators;
	if (!plc_is_adapter(item))
		return true;
	base = base_on(item, ep);
	if (!base)
		return false;
	*from = base->first;
	*to = base->first;
	return true;
}

static uint32_t reserved_mb(const struct plc_round *round,
			    const struct plc_item *item,
			    const struct plc_ep *ep, uint32_t accelerator)
{
	return st_reserved_mb(round->state, ep->rec->id, accelerator,
			      item->model, item->version, item->adapter);
}

/*
 * Returns the memory that a load at first takes from what is free on each of
 * its accelerators: less where memory is still reserved for the same model on
 * exactly these accelerators.
 */
uint32_t plc_needed(const struct plc_round *round, const struct plc_item *item,
		    const struct plc_ep *ep, uint32_t first)
{
	uint32_t end = first + item->accelerators;
	uint32_t reserved = G_MAXUINT32;

	/* Where unloads free memory, reservations are short-lived. */
	if (ep->unload_frees)
		return item->memory_mb;
	for (uint32_t k = first; k < end && reserved; k++)
		reserved = MIN(reserved, reserved_mb(round, item, ep, k));
	/* A reservation of the same model that overlaps is not one for first.
	 */
	if (reserved && first > 0 && item->accelerators > 1 &&
	    reserved_mb(round, item, ep, first - 1))
		reserved = 0;
	if (reserved && end < ep->rec->accelerators && item->accelerators > 1 &&
	    reserved_mb(round, item, ep, end))
		reserved = 0;
	return item->memory_mb > reserved ? item->memory_mb - reserved : 0;
}

/* Score of a place for a load; the lowest is best. */
static double place_score(const struct plc_round *round,
			  const struct plc_item *item, const struct plc_ep *ep,
			  uint32_t left_mb)
{
	double score, sites = site_copies(item, ep->rec->site);

	(void)round;
	/* The second copy goes to another site; from the third on, load has
	 * more weight. */
	score = item->copies->len < 2 ? 4.0 * sites : 0.25 * sites;
	score += ep->load / ep->slots;
	score += 0.3 * ep->planned;
	score += 0.2 * left_mb / MAX(ep->rec->accelerator_memory_mb, 1);
	return score;
}

/*
 * Finds free memory for another copy, leaving spare_mb free on each of its
 * accelerators: prefers another site, then low load, then the tightest fit, so
 * that large free areas remain for large models.
 */
bool plc_find_free(const struct plc_round *round, const struct plc_item *item,
		   uint32_t spare_mb, struct plc_space *out)
{
	double best = 0;
	bool found = false;

	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);
		uint32_t from, to;

		if (!eligible(item, ep, &from, &to))
			continue;
		for (uint32_t first = from; first <= to; first++) {
			uint32_t need = plc_needed(round, item, ep, first);
			uint32_t left = G_MAXUINT32, k;
			double score;

			for (k = first; k < first + item->accelerators; k++) {
				if (ep->free_mb[k] < need + spare_mb)
					break;
				left = MIN(left, ep->free_mb[k] - need);
			}
			if (k < first + item->accelerators)
				continue;
			score = place_score(round, item, ep, left);
			if (found && score >= best)
				continue;
			found = true;
			best = score;
			out->ep = ep;
			out->first = first;
		}
	}
	return found;
}

struct victim {
	struct plc_copy *copy;
	double loss;
	bool movable; /* its only copy: it must be moved, not only unloaded */
};

static int compare_victims(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a, *y = b;

	if (x->movable != y->movable)
		return x->movable ? 1 : -1;
	if (x->loss != y->loss)
		return x->loss < y->loss ? -1 : 1;
	if (x->copy->memory_mb != y->copy->memory_mb)
		return x->copy->memory_mb > y->copy->memory_mb ? -1 : 1;
	return x->copy->order < y->copy->order ? -1 : 1;
}

static GArray *victims_of(const struct plc_round *round,
			  const struct plc_item *item, struct plc_ep *ep,
			  uint32_t keep, bool moving)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));

	for (guint i = 0; i < ep->copies->len; i++) {
		struct plc_copy *copy = g_ptr_array_index(ep->copies, i);
		struct victim victim = { .copy = copy };
		uint32_t min = keep;

		if (copy->unloading || copy->item == item)
			continue;
		/* An adapter needs its model. */
		if (item->base && copy->item == item->base)
			continue;
		if (copy->item && !copy->old)
			min = keep ? MAX(keep, copy->item->min_copies) : 1;
		if (plc_may_unload(round, copy, min) &&
		    find_dependents(round, copy, NULL)) {
			victim.loss = plc_loss(round, copy);
			g_array_append_val(victims, victim);
		} else if (moving && copy->ready && copy->item && !copy->old) {
			victim.movable = true;
			g_array_append_val(victims, victim);
		}
	}
	g_array_sort(victims, compare_victims);
	return victims;
}

static bool covers(const struct plc_copy *copy, uint32_t accelerator)
{
	return accelerator >= copy->first &&
	       accelerator < copy->first + copy->accelerators;
}

/* Memory on an accelerator that pending unloads will free. */
static uint32_t leaving_mb(const struct plc_ep *ep, uint32_t accelerator)
{
	uint32_t sum = 0;

	for (guint i = 0; i < ep->copies->len; i++) {
		const struct plc_copy *copy = g_ptr_array_index(ep->copies, i);

		if (copy->unloading && covers(copy, accelerator))
			sum += copy->memory_mb;
	}
	return sum;
}

struct choice {
	GPtrArray *copies; /* struct plc_copy, not owned */
	double loss;
	uint32_t moves;
};

/* Chooses victims until the item fits at first; false when it cannot. */
static bool choose_victims(const struct plc_round *round,
			   const struct plc_item *item, struct plc_ep *ep,
			   uint32_t first, const GArray *victims,
			   struct choice *out)
{
	uint32_t n = item->accelerators;
	int64_t *missing_mb = g_new0(int64_t, n);
	bool open = false;

	g_ptr_array_set_size(out->copies, 0);
	out->loss = 0;
	out->moves = 0;
	for (uint32_t k = 0; k < n; k++) {
		missing_mb[k] = (int64_t)plc_needed(round, item, ep, first) -
				ep->free_mb[first + k] -
				leaving_mb(ep, first + k);
		open |= missing_mb[k] > 0;
	}
	for (guint i = 0; open && i < victims->len; i++) {
		const struct victim *victim;
		bool helps = false, twice = false;

		victim = &g_array_index(victims, struct victim, i);
		for (uint32_t k = 0; k < n; k++)
			helps |= missing_mb[k] > 0 &&
				 covers(victim->copy, first + k);
		/* Evict at most one copy of each item. */
		for (guint j = 0; j < out->copies->len; j++) {
			const struct plc_copy *other;

			other = g_ptr_array_index(out->copies, j);
			twice |= victim->copy->item &&
				 other->item == victim->copy->item;
		}
		if (!helps || twice)
			continue;
		if (victim->movable && ++out->moves > MOVES_MAX)
			break;
		g_ptr_array_add(out->copies, victim->copy);
		out->loss += victim->loss;
		open = false;
		for (uint32_t k = 0; k < n; k++) {
			if (covers(victim->copy, first + k))
				missing_mb[k] -= victim->copy->memory_mb;
			open |= missing_mb[k] > 0;
		}
	}
	g_free(missing_mb);
	return !open;
}

/*
 * Finds a place for another copy after unloading copies of items that have
 * others. keep is the number of copies that each model retains (0: one, even
 * below its min_copies); loss_max limits the requests lost. The caller frees
 * out->evict.
 */
bool plc_find_evicting(const struct plc_round *round,
		       const struct plc_item *item, uint32_t keep,
		       double loss_max, struct plc_space *out)
{
	struct choice choice = { .copies = g_ptr_array_new() };
	double best = 0;
	bool found = false;

	out->evict = NULL;
	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);
		uint32_t from, to;
		GArray *victims;

		if (!eligible(item, ep, &from, &to) || !ep->unload_frees)
			continue;
		victims = victims_of(round, item, ep, keep, false);
		for (uint32_t first = from; first <= to; first++) {
			double score;

			if (!choose_victims(round, item, ep, first, victims,
					    &choice) ||
			    choice.loss > loss_max)
				continue;
			score = place_score(round, item, ep, 0) +
				choice.copies->len + choice.loss;
			if (found && score >= best)
				continue;
			found = true;
			best = score;
			out->ep = ep;
			out->first = first;
			out->loss = choice.loss;
			if (out->evict)
				g_ptr_array_free(out->evict, TRUE);
			out->evict =
				g_ptr_array_copy(choice.copies, NULL, NULL);
		}
		g_array_free(victims, TRUE);
	}
	g_ptr_array_free(choice.copies, TRUE);
	return found;
}

/* Finds the next load to move a copy: of the copy itself, or of an adapter on
 * it; *step is NULL when none is needed now. False: no place for it. */
static bool next_move(const struct plc_round *round, struct plc_copy *copy,
		      struct plc_copy **step, struct plc_space *space)
{
	*step = NULL;
	if (ready_beside(copy->item, copy) == 0) {
		if (plc_count_expected(copy->item) > 1)
			return true; /* its other copy is being loaded */
		*step = copy;
		return plc_find_free(round, copy->item, copy->item->adapters_mb,
				     space) ||
		       plc_find_free(round, copy->item, 0, space);
	}
	for (guint i = 0; i < copy->ep->copies->len; i++) {
		struct plc_copy *adapter;

		adapter = g_ptr_array_index(copy->ep->copies, i);
		if (!depends(adapter, copy) || !adapter->item || adapter->old ||
		    !adapter->ready || ready_beside(adapter->item, adapter))
			continue;
		if (plc_count_expected(adapter->item) > 1)
			continue;
		*step = adapter;
		return plc_find_free(round, adapter->item, 0, space);
	}
	return true;
}

/*
 * Finds a place for an item that fits only after other copies have moved, and
 * the next load for that. *copy is NULL when such a load is pending. The copies
 * that were moved become surplus, and a later round unloads them.
 */
bool plc_find_moving(const struct plc_round *round, const struct plc_item *item,
		     struct plc_copy **copy, struct plc_space *out)
{
	struct choice choice = { .copies = g_ptr_array_new() };
	uint32_t best = G_MAXUINT32;

	for (guint i = 0; i < round->eps->len; i++) {
		struct plc_ep *ep = g_ptr_array_index(round->eps, i);
		uint32_t from, to;
		GArray *victims;

		if (!eligible(item, ep, &from, &to) || !ep->unload_frees)
			continue;
		victims = victims_of(round, item, ep, 0, true);
		for (uint32_t first = from; first <= to; first++) {
			struct plc_space space = { 0 };
			struct plc_copy *step = NULL, *next = NULL;
			struct plc_space next_space = { 0 };
			bool possible = true;

			if (!choose_victims(round, item, ep, first, victims,
					    &choice) ||
			    choice.moves >= best)
				continue;
			for (guint j = 0; possible && j < choice.copies->len;
			     j++) {
				struct plc_copy *victim;

				victim = g_ptr_array_index(choice.copies, j);
				if (!victim->item || victim->old)
					continue;
				if (ready_beside(victim->item, victim) &&
				    find_dependents(round, victim, NULL))
					continue;
				possible =
					next_move(round, victim, &step, &space);
				if (possible && step && !next) {
					next = step;
					next_space = space;
				}
			}
			if (!possible)
				continue;
			best = choice.moves;
			*copy = next;
			*out = next_space;
		}
		g_array_free(victims, TRUE);
	}
	g_ptr_array_free(choice.copies, TRUE);
	return best != G_MAXUINT32;
}

/* Unloads the adapters on a copy, or the copy itself when it has none. Returns
 * true when an unload of the copy itself was planned. */
bool plc_evict(struct plc_round *round, struct plc_copy *copy)
{
	g_autoptr(GPtrArray) adapters = g_ptr_array_new();

	if (!find_dependents(round, copy, adapters))
		return false;
	for (guint i = 0; i < adapters->len; i++) {
		struct plc_copy *adapter = g_ptr_array_index(adapters, i);

		if (adapter->item)
			plc_history_of(round->plc, adapter->item)->removed_us =
				round->now_us;
		plc_unload_copy(round, adapter);
	}
	if (adapters->len)
		return false;
	/* An adapter that is being unloaded still needs its model. */
	for (guint i = 0; i < copy->ep->copies->len; i++) {
		const struct plc_copy *other;

		other = g_ptr_array_index(copy->ep->copies, i);
		if (depends(other, copy) && !has_other_base(copy))
			return false;
	}
	if (copy->item && plc_is_adapter(copy->item))
		plc_history_of(round->plc, copy->item)->removed_us =
			round->now_us;
	return plc_unload_copy(round, copy);
}
