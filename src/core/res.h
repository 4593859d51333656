#ifndef CORE_RES_H
#define CORE_RES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Planner of which models and adapters are resident on the engines of one
 * service (res: residency). The number of copies follows demand; every model
 * keeps one. For engines with sequenced orders, whose reports are reliable. No
 * I/O; one thread.
 */
struct res;

#define RES_ITEMS_MAX 64
/* Most models listed in the memory or on the disk of an engine's host. */
#define RES_CACHED_MAX 32
/* Size of a buffer for an adapter's name. */
#define RES_ADAPTER_NAME_MAX 8

/* A model, or an adapter of it, by number: adapter 0 is the model itself. A
 * model keeps its number when the document changes, also after the document no
 * longer lists it, until res_release_unused(). */
struct res_item {
	uint32_t model;
	uint16_t adapter;
};

struct res_engine {
	const char *id;
	bool usable; /* up and takes orders */
	bool busy;   /* an order is pending or its outcome is unknown */
	/* If busy, items lists what it holds after that order. */
	bool load_follows; /* busy with an unload that a load will follow */
	/* An unload freed memory for reserved_for, which is not loaded yet. */
	bool reserved;
	struct res_item reserved_for;
	double speed; /* of prefill; 1: average; 0: unknown */
	struct res_item items[RES_ITEMS_MAX];
	/* Sizes of the items in MB when they were loaded; what the document
	 * says now counts if it is more. */
	uint32_t items_mb[RES_ITEMS_MAX];
	size_t n_items;
	size_t n_present; /* of items, from the first; the others are loading */
	bool truncated;	  /* holds more than items has room for */
	/* Models whose weights are cached on the host. */
	uint32_t in_memory[RES_CACHED_MAX];
	size_t n_in_memory;
	uint32_t on_disk[RES_CACHED_MAX];
	size_t n_on_disk;
};

enum res_order_kind {
	RES_NONE,
	RES_LOAD,
	RES_UNLOAD,
};

struct res_order {
	size_t engine; /* position in the array */
	enum res_order_kind kind;
	struct res_item item;
	struct res_item load_item; /* item for which this order is sent */
	bool load_follows;	   /* an unload; load_item is loaded next */
	double gain;		   /* requests, above 0; models only */
};

struct res *res_new(double store_excess);
void res_free(struct res *ctx);

/* Commands. */
/* Takes the models of the service; demand of known names is kept. */
void res_set_spec(struct res *ctx, const Dsp__EngineSpec *spec);
/* Like res_find(), but gives a number to a name that the document does not
 * list, whose size is then unknown. */
bool res_add_name(struct res *ctx, const char *model, const char *adapter,
		  struct res_item *out);
/* Frees the numbers of models that the document does not list, except used. */
void res_release_unused(struct res *ctx, const uint32_t *used, size_t n);
void res_add_demand(struct res *ctx, const char *model, const char *adapter,
		    uint32_t requests, uint32_t missed, int64_t now_us);
/* Plans at most one order for each engine. */
size_t res_plan(struct res *ctx, const struct res_engine *engines, size_t n,
		int64_t now_us, struct res_order *out, size_t max);
/* Counts a model load from the weight store that was sent. */
void res_load_sent(struct res *ctx, int64_t now_us);

/* Queries. */
bool res_find(const struct res *ctx, const char *model, const char *adapter,
	      struct res_item *out);
size_t res_n_numbers(const struct res *ctx);
bool res_is_listed(const struct res *ctx, struct res_item item);
uint32_t res_size_mb(const struct res *ctx, struct res_item item);
const char *res_model_name(const struct res *ctx, struct res_item item);
char *res_adapter_name(struct res_item item, char name[RES_ADAPTER_NAME_MAX]);
bool res_holds(const struct res_engine *e, struct res_item item);
uint32_t res_load_ms(const struct res *ctx, const struct res_engine *e,
		     struct res_item item);
bool res_reads_store(const struct res *ctx, const struct res_engine *e,
		     struct res_item item);
double res_rate(const struct res *ctx, struct res_item item); /* per second */

#endif
