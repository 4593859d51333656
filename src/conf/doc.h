#ifndef CONF_DOC_H
#define CONF_DOC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One team's document, parsed. All strings are owned by the document. */

enum doc_service_kind {
	DOC_SERVICE_ENGINE,
	DOC_SERVICE_PLAIN,
};

struct doc_service {
	char *name;
	enum doc_service_kind kind;
	bool orders_may_duplicate; /* default true; section 8 of design.md */
};

struct doc_model {
	char *name;
	char *service;
	char *version;
	uint32_t memory_mb;    /* on each accelerator of a copy */
	uint32_t accelerators; /* that one copy spans */
	uint32_t min_copies;   /* at least 1 */
};

struct doc_adapter {
	char *name;
	char *model;
	char *version;
	uint32_t memory_mb; /* on each accelerator of the model's copy */
};

struct doc_class {
	char *name;
	uint32_t priority;	/* 0 is served first */
	int64_t first_token_us; /* worst-minute target */
	int64_t token_gap_us;	/* worst-minute target */
	int64_t deadline_us;	/* whole answer; 0: none */
	double attainment;	/* share within target in the worst minute */
	double share;		/* guaranteed share of capacity, 0 to 1 */
	uint32_t queue_max;
};

struct doc_non_idempotent {
	char *service;
	char *method;
	char *path_prefix;
};

struct doc {
	char *team;
	uint64_t number;
	double weight_attainment;
	double weight_moves;
	double store_loads_per_s;
	uint32_t store_parallel_loads;
	uint32_t adapters_in_transit;
	char *default_class;
	struct doc_service *services;
	size_t n_services;
	struct doc_model *models;
	size_t n_models;
	struct doc_adapter *adapters;
	size_t n_adapters;
	struct doc_class *classes;
	size_t n_classes;
	struct doc_non_idempotent *non_idempotent;
	size_t n_non_idempotent;
};

/*
 * Parses and validates a document. Returns NULL and fills faults (strings
 * "name:line: key: value given; what is allowed", g_free'd by the array) when
 * it is not valid; every fault is reported. name is used in the messages only.
 */
struct doc *doc_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults);
void doc_free(struct doc *ctx);
/* XXH3-128 of the text. */
void doc_digest(const char *text, size_t len, uint8_t out[16]);

/* Queries. */
const struct doc_service *doc_service(const struct doc *ctx, const char *name);
const struct doc_model *doc_model(const struct doc *ctx, const char *name);
const struct doc_adapter *doc_adapter(const struct doc *ctx, const char *model,
				      const char *name);
/* The default class for NULL or empty; NULL for an unknown name. */
const struct doc_class *doc_class(const struct doc *ctx, const char *name);
bool doc_is_non_idempotent(const struct doc *ctx, const char *service,
			   const char *method, const char *path);
/* Text that lists the differences, one a line; g_free(). */
char *doc_diff(const struct doc *from, const struct doc *to);

#endif
