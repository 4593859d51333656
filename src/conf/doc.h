#ifndef CONF_DOC_H
#define CONF_DOC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Document (doc): the TOML file in which a team declares its services, models,
 * adapters and request classes. This module parses, validates, queries and
 * compares documents, and computes their digests (XXH3-128). All strings are
 * owned by the document.
 */

enum doc_service_kind {
	DOC_SERVICE_ENGINE,
	DOC_SERVICE_PLAIN,
};

struct doc_service {
	char *name;
	enum doc_service_kind kind;
	/* An order may reach an endpoint more than once; true by default. See
	 * section 8 of docs/design.md. */
	bool orders_may_duplicate;
};

struct doc_model {
	char *name;
	char *service;
	char *version;
	uint32_t memory_mb;    /* on each accelerator of a copy */
	uint32_t accelerators; /* spanned by one copy */
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
	uint32_t priority; /* 0 is served first */
	/* Targets for the worst minute; attainment is the share of requests
	 * that have to meet them in it. */
	int64_t first_token_us;
	int64_t token_gap_us;
	int64_t deadline_us; /* for the whole answer; 0: none */
	double attainment;
	double share; /* guaranteed share of the capacity, 0 to 1 */
	uint32_t queue_max;
};

struct doc_non_idempotent {
	char *service;
	char *method;
	char *path_prefix;
};

struct doc {
	char *team;
	uint64_t number;	  /* of this version of the team's document */
	double weight_attainment; /* relative to weight_moves */
	double weight_moves;
	double store_loads_per_s; /* the model store's limits */
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

struct doc *doc_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults);
void doc_free(struct doc *ctx);
void doc_digest(const char *text, size_t len, uint8_t out[16]);

/* Queries. */
const struct doc_service *doc_service(const struct doc *ctx, const char *name);
const struct doc_model *doc_model(const struct doc *ctx, const char *name);
const struct doc_adapter *doc_adapter(const struct doc *ctx, const char *model,
				      const char *name);
const struct doc_class *doc_class(const struct doc *ctx, const char *name);
bool doc_is_non_idempotent(const struct doc *ctx, const char *service,
			   const char *method, const char *path);
char *doc_diff(const struct doc *from, const struct doc *to);

#endif
