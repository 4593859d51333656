#include "core/quo.h"

#include <glib.h>
#include <math.h>
#include <sys/queue.h>

/* Share of the rate that is granted. Units of a window of 8 s may have been
 * asked for up to QUO_LIFETIME_US before it; with this share the time costs
 * 0.82 rate, of which the bound allows 0.8. */
#define RATE_SHARE 0.98
/* The bound allows this share beyond rate and burst, and these tokens. */
#define BURST_SLACK 0.1
#define TOKEN_SLACK 11000.0
/* Share of that allowance by which a bucket is larger than the burst, since
 * requests of a customer below its limit arrive in groups. */
#define CAPACITY_SHARE 0.5
/* Share that a bucket contains when a leadership begins. Four changes of the
 * leader within 8 s use what CAPACITY_SHARE leaves. */
#define START_SHARE 0.125
/* Units are granted ahead of requests only from the upper part of a bucket: the
 * rest is for requests that wait. */
#define AHEAD_FLOOR 0.5
/* Returned units are credited within this time of their grant. */
#define RECORD_US 1750000
/* A bucket's highest levels are kept for intervals of this length. */
#define SLOT_US 50000
#define SLOTS 40
/* Far above a limit each entry asks again after its denial has expired. With
 * this time for each denial a second, 81 entries ask 570 times a second, 400
 * entries 1,260 times. Not longer: while no entry asks, room is not used. */
#define DENIAL_RATE_US 250
#define DENIAL_MAX_US 500000
#define DENIAL_TAU_S 1.0
/* Uses of a customer that is not in the table any more may still be in the
 * window of the bound for this long. */
#define FORGET_US 10000000

struct slot {
	int64_t number; /* time / SLOT_US */
	double highest;
	double raised; /* by units credited for it or earlier slots */
};

struct bucket {
	double rate; /* of the table; 0: not limited */
	double capacity;
	double level; /* may be negative: reserved */
	int64_t level_us;
	struct slot slots[SLOTS];
	int64_t removed_us; /* no longer in the table since; 0: it is */
	double denials;	    /* a second, decayed */
	int64_t denied_us;
};

/* A grant that may still be returned. */
struct record {
	STAILQ_ENTRY(record) link;
	uint64_t key;
	struct bucket *bucket;
	uint64_t units;
	int64_t granted_us;
	double level; /* of the bucket after it */
};

struct quo {
	uint64_t term;
	int64_t began_us;
	GHashTable *buckets;		      /* customer -> struct bucket */
	STAILQ_HEAD(records, record) records; /* oldest first */
	GHashTable *by_key;		      /* of the records */
	struct quo_counts counts;
};

/* Creates the buckets of an instance that does not lead. */
struct quo *quo_new(void)
{
	struct quo *ctx = g_new0(struct quo, 1);

	ctx->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	STAILQ_INIT(&ctx->records);
	return ctx;
}

static void drop_first_record(struct quo *ctx)
{
	struct record *record = STAILQ_FIRST(&ctx->records);

	STAILQ_REMOVE_HEAD(&ctx->records, link);
	g_hash_table_remove(ctx->by_key, &record->key);
	g_free(record);
}

static void drop_records(struct quo *ctx)
{
	while (!STAILQ_EMPTY(&ctx->records))
		drop_first_record(ctx);
}

/* Frees the buckets; NULL is allowed. */
void quo_free(struct quo *ctx)
{
	if (!ctx)
		return;
	drop_records(ctx);
	g_hash_table_destroy(ctx->by_key);
	g_hash_table_destroy(ctx->buckets);
	g_free(ctx);
}

/* ---- One bucket ---- */

static void note_level(struct bucket *b, int64_t now_us)
{
	int64_t number = now_us / SLOT_US;
	struct slot *slot = &b->slots[number % SLOTS];

	if (slot->number != number)
		*slot = (struct slot){ .number = number, .highest = b->level };
	slot->highest = MAX(slot->highest, b->level);
}

static double refill_rate(const struct bucket *b)
{
	return RATE_SHARE * b->rate;
}

/* Levels only rise between two calls, so the highest one is noted here. */
static void refill(struct bucket *b, int64_t now_us)
{
	double added = refill_rate(b) * (double)(now_us - b->level_us) / 1e6;

	if (now_us > b->level_us) {
		b->level = MIN(b->level + added, MAX(b->capacity, b->level));
		b->level_us = now_us;
	}
	note_level(b, now_us);
}

/* Returns the highest level since a grant. In the slot of the grant, levels
 * from before it do not count. */
static double highest_since(const struct bucket *b, const struct record *record,
			    int64_t now_us)
{
	int64_t first = record->granted_us / SLOT_US;
	int64_t end_us = MIN(now_us, (first + 1) * SLOT_US);
	double highest = b->level;

	for (size_t i = 0; i < SLOTS; i++) {
		const struct slot *slot = &b->slots[i];
		double level = slot->highest;

		if (slot->number < first)
			continue;
		if (slot->number == first)
			level = MIN(
				level,
				record->level + slot->raised +
					refill_rate(b) *
						(double)(end_us -
							 record->granted_us) /
						1e6);
		highest = MAX(highest, level);
	}
	return highest;
}

/* What the bound allows beyond rate and burst. */
static double allowance(const Dsp__Customer *customer)
{
	double window_s = QUO_LIFETIME_US / 1e6 + 8;
	double out = BURST_SLACK * customer->burst -
		     (window_s * RATE_SHARE - 8 * (1 + BURST_SLACK)) *
			     customer->rate;

	if (customer->counts_tokens)
		out += TOKEN_SLACK;
	return MAX(out, 0);
}

static double capacity_of(const Dsp__Customer *customer)
{
	double extra = CAPACITY_SHARE * allowance(customer);

	return MAX(customer->burst + extra, 1);
}

/* Level of a bucket whose earlier grants are not known: those of the leader
 * before may have been delayed until QUO_WAIT_MAX_US from now. */
static double start_level(const Dsp__Customer *customer)
{
	return START_SHARE * allowance(customer) -
	       RATE_SHARE * customer->rate * QUO_WAIT_MAX_US / 1e6;
}

/*
 * Adds units that were returned. The result is the level that the bucket would
 * have if the units had never been granted: it would have been full for part of
 * the time, so part of them may be lost. Returns the units credited.
 */
static double credit(struct bucket *b, double units,
		     const struct record *record, int64_t now_us)
{
	double room;

	refill(b, now_us);
	room = b->capacity - highest_since(b, record, now_us);
	units = MIN(units, MAX(room, 0));
	b->level += units;
	for (size_t i = 0; i < SLOTS; i++)
		if (b->slots[i].number >= record->granted_us / SLOT_US) {
			b->slots[i].highest += units;
			b->slots[i].raised += units;
		}
	return units;
}

/* ---- Customers ---- */

static bool is_limited(const Dsp__Customer *customer)
{
	return customer->rate > 0;
}

/*
 * Returns the first level of a customer that this leadership has not known. The
 * bucket is full only if no earlier leader can have granted units that are
 * used in the same window.
 */
static double first_level(const struct quo *ctx, const Dsp__Customer *customer,
			  int64_t now_us)
{
	if (now_us - ctx->began_us > FORGET_US)
		return capacity_of(customer);
	return start_level(customer);
}

static void set_customer(struct quo *ctx, const Dsp__Customer *customer,
			 int64_t now_us)
{
	struct bucket *b = g_hash_table_lookup(ctx->buckets, customer->name);

	if (!b) {
		b = g_new0(struct bucket, 1);
		g_hash_table_insert(ctx->buckets, g_strdup(customer->name), b);
		b->level = first_level(ctx, customer, now_us);
	} else if (b->rate > 0) {
		refill(b, now_us);
	} else {
		/* What it used without a limit is not known. */
		b->level = start_level(customer);
	}
	b->level_us = now_us;
	b->removed_us = 0;
	b->rate = customer->rate;
	b->capacity = capacity_of(customer);
	b->level = MIN(b->level, b->capacity);
	note_level(b, now_us);
}

/* Records of a bucket must not outlive it: they are dropped with it, RECORD_US
 * being shorter than FORGET_US. */
static void forget_removed(struct quo *ctx, int64_t now_us)
{
	GHashTableIter iter;
	struct bucket *b;

	g_hash_table_iter_init(&iter, ctx->buckets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&b))
		if (b->removed_us && now_us - b->removed_us > FORGET_US)
			g_hash_table_iter_remove(&iter);
}

static void drop_old_records(struct quo *ctx, int64_t now_us)
{
	struct record *record;

	while ((record = STAILQ_FIRST(&ctx->records)) &&
	       now_us - record->granted_us > RECORD_US)
		drop_first_record(ctx);
}

/* Takes the customers of a new table; NULL: it has none. */
void quo_set_customers(struct quo *ctx, const Dsp__Customers *customers,
		       int64_t now_us)
{
	GHashTableIter iter;
	struct bucket *b;

	drop_old_records(ctx, now_us);
	forget_removed(ctx, now_us);
	g_hash_table_iter_init(&iter, ctx->buckets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&b))
		if (!b->removed_us)
			b->removed_us = now_us;
	for (size_t i = 0; customers && i < customers->n_all; i++) {
		const Dsp__Customer *customer = customers->all[i];

		b = g_hash_table_lookup(ctx->buckets, customer->name);
		if (is_limited(customer))
			set_customer(ctx, customer, now_us);
		else if (b)
			b->rate = 0;
	}
}

/* Begins a leadership: all buckets are nearly empty, and grants of earlier
 * terms are not known. */
void quo_begin(struct quo *ctx, uint64_t term, const Dsp__Customers *customers,
	       int64_t now_us)
{
	drop_records(ctx);
	g_hash_table_remove_all(ctx->buckets);
	ctx->term = term;
	ctx->began_us = now_us;
	quo_set_customers(ctx, customers, now_us);
}

/* ---- Asks ---- */

static uint64_t record_key(const char *sender, uint64_t id)
{
	uint64_t hash = 0xcbf29ce484222325ull ^ id;

	for (const char *at = sender; *at; at++)
		hash = (hash ^ (unsigned char)*at) * 0x100000001b3ull;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdull;
	return hash ^ hash >> 33;
}

static void add_record(struct quo *ctx, uint64_t key, struct bucket *bucket,
		       uint64_t units, int64_t now_us)
{
	struct record *record = g_new0(struct record, 1);

	record->key = key;
	record->bucket = bucket;
	record->units = units;
	record->level = bucket->level;
	record->granted_us = now_us;
	STAILQ_INSERT_TAIL(&ctx->records, record, link);
	g_hash_table_insert(ctx->by_key, &record->key, record);
}

static void take_return(struct quo *ctx, const char *sender,
			const Dsp__QuotaReturn *from, int64_t now_us)
{
	uint64_t key = record_key(sender, from->id);
	struct record *record = g_hash_table_lookup(ctx->by_key, &key);
	uint64_t units;
	double credited;

	if (from->term != ctx->term || !record) {
		ctx->counts.refused += from->units;
		return;
	}
	units = MIN(from->units, record->units);
	record->units -= units;
	credited = credit(record->bucket, (double)units, record, now_us);
	ctx->counts.credited += (uint64_t)credited;
	ctx->counts.refused += from->units - (uint64_t)credited;
}

/* Counts a denial and returns the time that it is to be remembered at least. */
static int64_t note_denial(struct bucket *b, int64_t now_us)
{
	double age_s = (double)(now_us - b->denied_us) / 1e6;

	b->denials = b->denials * exp(-age_s / DENIAL_TAU_S) + 1 / DENIAL_TAU_S;
	b->denied_us = now_us;
	return MIN((int64_t)(b->denials * DENIAL_RATE_US), DENIAL_MAX_US);
}

/*
 * Decides on the units for requests that wait. Units that the bucket lacks are
 * reserved from what it gains within the wait. A request that is larger than
 * the bucket needs a full one, and the rest is on credit.
 */
static void decide_units(struct bucket *b, const Dsp__QuotaAsk *ask,
			 Dsp__QuotaGrant *out, int64_t now_us)
{
	int64_t wait_us = MIN(ask->wait_ms * 1000LL, QUO_WAIT_MAX_US);
	double need = MIN((double)ask->units, b->capacity);
	double lack_us = (need - b->level) / refill_rate(b) * 1e6;

	if (!ask->units)
		return;
	if (lack_us > (double)wait_us) {
		lack_us = MAX(MIN(lack_us, 1e9) - (double)wait_us,
			      (double)note_denial(b, now_us));
		out->retry_ms = (uint32_t)(lack_us / 1000) + 1;
		return;
	}
	out->units = ask->units;
	if (lack_us > 0)
		out->delay_ms = (uint32_t)(lack_us / 1000) + 1;
	b->level -= (double)ask->units;
}

static void decide_ahead(struct bucket *b, const Dsp__QuotaAsk *ask,
			 Dsp__QuotaGrant *out)
{
	double room = b->level - AHEAD_FLOOR * b->capacity;

	if (room < 1)
		return;
	out->ahead = MIN(ask->ahead, (uint64_t)room);
	b->level -= (double)out->ahead;
}

/* Returns false if the ask is the copy of one that was granted. */
static bool decide(struct quo *ctx, const char *sender,
		   const Dsp__QuotaAsk *ask, Dsp__QuotaGrant *out,
		   int64_t now_us)
{
	struct bucket *b = g_hash_table_lookup(ctx->buckets, ask->customer);
	uint64_t key = record_key(sender, ask->id);

	if (g_hash_table_contains(ctx->by_key, &key))
		return false;
	out->id = ask->id;
	out->customer = g_strdup(ask->customer);
	if (!b || b->rate <= 0) {
		/* The newest table has no limit for this customer; the entry
		 * does not have the table yet. */
		out->units = ask->units;
		return true;
	}
	refill(b, now_us);
	decide_units(b, ask, out, now_us);
	if (out->units == ask->units)
		decide_ahead(b, ask, out);
	ctx->counts.granted += out->units + out->ahead;
	ctx->counts.denied += ask->units && !out->units;
	if (out->units + out->ahead)
		add_record(ctx, key, b, out->units + out->ahead, now_us);
	return true;
}

/* Returns the grants for the asks of an entry; the caller frees them. Units of
 * a copy of a granted ask are not granted again. */
Dsp__QuotaGrants *quo_answer(struct quo *ctx, const char *sender,
			     const Dsp__QuotaAsks *asks, int64_t now_us)
{
	Dsp__QuotaGrants *out = g_new0(Dsp__QuotaGrants, 1);

	drop_old_records(ctx, now_us);
	dsp__quota_grants__init(out);
	out->term = ctx->term;
	for (size_t i = 0; i < asks->n_returns; i++)
		take_return(ctx, sender, asks->returns[i], now_us);
	out->grants = g_new0(Dsp__QuotaGrant *, asks->n_asks + 1);
	for (size_t i = 0; i < asks->n_asks; i++) {
		Dsp__QuotaGrant *grant = g_new0(Dsp__QuotaGrant, 1);

		dsp__quota_grant__init(grant);
		if (decide(ctx, sender, asks->asks[i], grant, now_us))
			out->grants[out->n_grants++] = grant;
		else
			g_free(grant);
	}
	return out;
}

/* ---- Queries ---- */

/* Returns whether any customer has a limit. */
bool quo_has_customers(const struct quo *ctx)
{
	return g_hash_table_size(ctx->buckets) > 0;
}

/* Returns the units in a customer's bucket; 0 for an unknown customer. */
double quo_level(const struct quo *ctx, const char *customer, int64_t now_us)
{
	struct bucket *b = g_hash_table_lookup(ctx->buckets, customer);

	if (!b)
		return 0;
	refill(b, now_us);
	return b->level;
}

/* Returns the sums since the creation. */
struct quo_counts quo_counts(const struct quo *ctx)
{
	return ctx->counts;
}

/* Returns the term of the leadership that began last. */
uint64_t quo_term(const struct quo *ctx)
{
	return ctx->term;
}
