#ifndef CORE_RES_H
#define CORE_RES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Plans which models and adapters the engines of one service hold. Copies
 * follow demand; every model keeps one. For engines whose orders are
 * sequenced, so that what they report can be relied on. No I/O; one thread.
 */
struct res;

#define RES_ITEMS_MAX 64
/* Models in the memory or on the disk of an engine's host that count. */
#define RES_CACHED_MAX 32
/* Size of a buffer for an adapter's name. */
#define RES_ADAPTER_NAME_MAX 8

/* A model, or an adapter of it, by number: adapter 0 is the model itself. */
struct res_item {
	uint16_t model;
	uint16_t adapter;
};

struct res_engine {
	const char *id;
	bool usable; /* up and takes orders */
	bool busy;   /* an order is under way or its outcome is not known */
	/* With busy, items lists what is to be held after that order. */
	bool load_follows; /* busy with an unload that a load will follow */
	/* An unload made room for reserved_for, which is not loaded yet. */
	bool reserved;
	struct res_item reserved_for;
	double speed; /* of reading prompts; 1: as the others; 0: unknown */
	struct res_item items[RES_ITEMS_MAX];
	size_t n_items;
	size_t n_present; /* the first ones; the others are coming */
	/* Weights that it need not read from the store. */
	uint16_t in_memory[RES_CACHED_MAX];
	size_t n_in_memory;
	uint16_t on_disk[RES_CACHED_MAX];
	size_t n_on_disk;
};

enum res_order_kind {
	RES_LOAD,
	RES_UNLOAD,
};

struct res_order {
	size_t engine; /* position in the array */
	enum res_order_kind kind;
	struct res_item item;
	struct res_item load_item; /* what is loaded, in the end */
	double gain;		   /* of a model: requests; above 0 */
};

struct res *res_new(double store_excess);
void res_free(struct res *ctx);

/* Commands. */
/* Takes the models of the service; demand of known names is kept. */
void res_set_spec(struct res *ctx, const Dsp__EngineSpec *spec);
void res_add_demand(struct res *ctx, const char *model, const char *adapter,
		    uint32_t requests, uint32_t missed, int64_t now_us);
/* Plans at most one order for each engine. */
size_t res_plan(struct res *ctx, const struct res_engine *engines, size_t n,
		int64_t now_us, struct res_order *out, size_t max);
/* A load of a model that reads the weight store was sent. */
void res_load_sent(struct res *ctx, int64_t now_us);

/* Queries. */
bool res_find(const struct res *ctx, const char *model, const char *adapter,
	      struct res_item *out);
const char *res_model_name(const struct res *ctx, struct res_item item);
char *res_adapter_name(struct res_item item, char name[RES_ADAPTER_NAME_MAX]);
bool res_holds(const struct res_engine *e, struct res_item item);
uint32_t res_load_ms(const struct res *ctx, const struct res_engine *e,
		     struct res_item item);
bool res_reads_store(const struct res *ctx, const struct res_engine *e,
		     struct res_item item);
double res_rate(const struct res *ctx, struct res_item item); /* per second */

#endif
