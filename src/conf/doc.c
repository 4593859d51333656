#include "conf/doc.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "conf/opt.h"

/* 2^53. Limits of options are doubles, which hold the signed 64-bit integers
 * of TOML exactly only up to here. */
#define DOCUMENT_NUMBER_MAX 9007199254740992.0
#define MS_MAX 86400000.0 /* one day */
#define MEMORY_MB_MAX 16777216.0

static const char *const service_kinds[] = { "engine", "plain", NULL };

#define AT(field) offsetof(struct doc, field)

static const struct opt root_options[] = {
	{ "team", OPT_NAME, AT(team), .required = true },
	{ "number", OPT_U64, AT(number), .required = true, .min = 1,
	  .max = DOCUMENT_NUMBER_MAX },
	{ "default_class", OPT_NAME, AT(default_class), .required = true },
	{ "weights", OPT_TABLE },
	{ "store", OPT_TABLE, .required = true },
	{ "service", OPT_TABLES, .required = true },
	{ "model", OPT_TABLES },
	{ "adapter", OPT_TABLES },
	{ "class", OPT_TABLES, .required = true },
	{ "non_idempotent", OPT_TABLES },
};

static const struct opt weight_options[] = {
	{ "attainment", OPT_NUMBER, AT(weight_attainment), .max = 1000,
	  .default_value = 1 },
	{ "moves", OPT_NUMBER, AT(weight_moves), .max = 1000,
	  .default_value = 1 },
};

static const struct opt store_options[] = {
	{ "loads_per_s", OPT_NUMBER, AT(store_loads_per_s), .required = true,
	  .min = 0.001, .max = 100000 },
	{ "parallel_loads", OPT_U32, AT(store_parallel_loads), .required = true,
	  .min = 1, .max = 100000 },
	{ "adapters_in_transit", OPT_U32, AT(adapters_in_transit),
	  .required = true, .min = 1, .max = 100000 },
};

#undef AT
#define AT(field) offsetof(struct doc_service, field)

static const struct opt service_options[] = {
	{ "name", OPT_NAME, AT(name), .required = true },
	{ "kind", OPT_CHOICE, AT(kind), .required = true,
	  .choices = service_kinds },
	{ "orders_may_duplicate", OPT_BOOL, AT(orders_may_duplicate),
	  .default_value = 1 },
};

#undef AT
#define AT(field) offsetof(struct doc_model, field)

static const struct opt model_options[] = {
	{ "name", OPT_NAME, AT(name), .required = true },
	{ "service", OPT_NAME, AT(service), .required = true },
	{ "version", OPT_STRING, AT(version), .default_text = "1" },
	{ "memory_mb", OPT_U32, AT(memory_mb), .required = true, .min = 1,
	  .max = MEMORY_MB_MAX },
	{ "accelerators", OPT_U32, AT(accelerators), .min = 1, .max = 64,
	  .default_value = 1 },
	{ "min_copies", OPT_U32, AT(min_copies), .min = 1, .max = 1000,
	  .default_value = 1 },
};

#undef AT
#define AT(field) offsetof(struct doc_adapter, field)

static const struct opt adapter_options[] = {
	{ "name", OPT_NAME, AT(name), .required = true },
	{ "model", OPT_NAME, AT(model), .required = true },
	{ "version", OPT_STRING, AT(version), .default_text = "1" },
	{ "memory_mb", OPT_U32, AT(memory_mb), .required = true, .min = 1,
	  .max = MEMORY_MB_MAX },
};

#undef AT
#define AT(field) offsetof(struct doc_class, field)

static const struct opt class_options[] = {
	{ "name", OPT_NAME, AT(name), .required = true },
	{ "priority", OPT_U32, AT(priority), .max = 100, .default_value = 10 },
	{ "first_token_ms", OPT_MS_AS_US, AT(first_token_us), .required = true,
	  .min = 1, .max = MS_MAX },
	{ "token_gap_ms", OPT_MS_AS_US, AT(token_gap_us), .min = 1,
	  .max = MS_MAX, .default_value = 1000 },
	{ "deadline_ms", OPT_MS_AS_US, AT(deadline_us), .max = MS_MAX },
	{ "attainment", OPT_NUMBER, AT(attainment), .min = 0.01, .max = 1,
	  .default_value = 0.95 },
	{ "share", OPT_NUMBER, AT(share), .max = 1 },
	{ "queue_max", OPT_U32, AT(queue_max), .min = 1, .max = 100000,
	  .default_value = 200 },
};

#undef AT
#define AT(field) offsetof(struct doc_non_idempotent, field)

static const struct opt non_idempotent_options[] = {
	{ "service", OPT_NAME, AT(service), .required = true },
	{ "method", OPT_STRING, AT(method), .default_text = "POST" },
	{ "path_prefix", OPT_STRING, AT(path_prefix), .default_text = "/" },
};

#undef AT

/* Reads an array of tables into a new array of n structs of item_size bytes;
 * NULL if the key is missing or not an array. */
static void *read_tables(const struct opt_source *source,
			 const struct tb_value *root, const char *key,
			 const struct opt *options, size_t n_options,
			 size_t item_size, size_t *n)
{
	const struct tb_value *array = opt_child(root, key);
	char *items;

	if (!array || array->type != TB_ARRAY)
		return NULL;
	*n = array->n_children;
	items = g_malloc0_n(array->n_children + 1, item_size);
	for (size_t i = 0; i < array->n_children; i++)
		opt_read(source, &array->children[i], key, options, n_options,
			 items + i * item_size);
	return items;
}

static int line_of(const struct tb_value *root, const char *array, size_t i)
{
	return opt_child(root, array)->children[i].line;
}

static void check_unique(const struct opt_source *source,
			 const struct tb_value *root, const char *array,
			 GHashTable *seen, size_t i, const char *name)
{
	char *key = g_strconcat(array, ".name", NULL);

	if (!g_hash_table_add(seen, g_strdup(name)))
		opt_fault(source, line_of(root, array, i), key,
			  "given \"%s\"; allowed: a name that is used once",
			  name);
	g_free(key);
}

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void check_services(const struct doc *ctx,
			   const struct opt_source *source,
			   const struct tb_value *root)
{
	GHashTable *seen = new_set();

	for (size_t i = 0; i < ctx->n_services; i++)
		check_unique(source, root, "service", seen, i,
			     ctx->services[i].name);
	g_hash_table_destroy(seen);
}

static void check_models(const struct doc *ctx, const struct opt_source *source,
			 const struct tb_value *root)
{
	GHashTable *seen = new_set();

	for (size_t i = 0; i < ctx->n_models; i++) {
		const struct doc_model *model = &ctx->models[i];
		const struct doc_service *service =
			doc_service(ctx, model->service);

		check_unique(source, root, "model", seen, i, model->name);
		if (!service || service->kind != DOC_SERVICE_ENGINE)
			opt_fault(source, line_of(root, "model", i),
				  "model.service",
				  "given \"%s\"; allowed: a service of kind "
				  "\"engine\" in this document",
				  model->service);
	}
	g_hash_table_destroy(seen);
}

static void check_adapters(const struct doc *ctx,
			   const struct opt_source *source,
			   const struct tb_value *root)
{
	GHashTable *seen = new_set();

	for (size_t i = 0; i < ctx->n_adapters; i++) {
		const struct doc_adapter *adapter = &ctx->adapters[i];
		char *name =
			g_strdup_printf("%s:%s", adapter->model, adapter->name);

		check_unique(source, root, "adapter", seen, i, name);
		if (!doc_model(ctx, adapter->model))
			opt_fault(source, line_of(root, "adapter", i),
				  "adapter.model",
				  "given \"%s\"; allowed: a model of this "
				  "document",
				  adapter->model);
		g_free(name);
	}
	g_hash_table_destroy(seen);
}

static void check_classes(const struct doc *ctx,
			  const struct opt_source *source,
			  const struct tb_value *root)
{
	GHashTable *seen = new_set();
	double shares = 0;

	for (size_t i = 0; i < ctx->n_classes; i++) {
		check_unique(source, root, "class", seen, i,
			     ctx->classes[i].name);
		shares += ctx->classes[i].share;
	}
	g_hash_table_destroy(seen);
	/* Sums of decimal fractions may end slightly above 1. */
	if (shares > 1 + 1e-9)
		opt_fault(source, opt_child(root, "class")->line, "class.share",
			  "given a sum of %g; allowed: at most 1 over all "
			  "classes",
			  shares);
	if (!doc_class(ctx, ctx->default_class))
		opt_fault(source, opt_child(root, "default_class")->line,
			  "default_class",
			  "given \"%s\"; allowed: a class of this document",
			  ctx->default_class);
}

static void check_non_idempotent(const struct doc *ctx,
				 const struct opt_source *source,
				 const struct tb_value *root)
{
	for (size_t i = 0; i < ctx->n_non_idempotent; i++) {
		const struct doc_non_idempotent *rule = &ctx->non_idempotent[i];
		int line = line_of(root, "non_idempotent", i);

		if (!doc_service(ctx, rule->service))
			opt_fault(source, line, "non_idempotent.service",
				  "given \"%s\"; allowed: a service of this "
				  "document",
				  rule->service);
		if (strspn(rule->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
		    strlen(rule->method))
			opt_fault(source, line, "non_idempotent.method",
				  "given \"%s\"; allowed: an HTTP method in "
				  "capital letters",
				  rule->method);
		if (rule->path_prefix[0] != '/')
			opt_fault(source, line, "non_idempotent.path_prefix",
				  "given \"%s\"; allowed: a path that starts "
				  "with '/'",
				  rule->path_prefix);
	}
}

static void read_document(struct doc *ctx, const struct opt_source *source,
			  const struct tb_value *root)
{
	opt_read(source, root, "", root_options, G_N_ELEMENTS(root_options),
		 ctx);
	opt_read(source, opt_child(root, "weights"), "weights", weight_options,
		 G_N_ELEMENTS(weight_options), ctx);
	opt_read(source, opt_child(root, "store"), "store", store_options,
		 opt_child(root, "store") ? G_N_ELEMENTS(store_options) : 0,
		 ctx);
	ctx->services = read_tables(source, root, "service", service_options,
				    G_N_ELEMENTS(service_options),
				    sizeof(*ctx->services), &ctx->n_services);
	ctx->models = read_tables(source, root, "model", model_options,
				  G_N_ELEMENTS(model_options),
				  sizeof(*ctx->models), &ctx->n_models);
	ctx->adapters = read_tables(source, root, "adapter", adapter_options,
				    G_N_ELEMENTS(adapter_options),
				    sizeof(*ctx->adapters), &ctx->n_adapters);
	ctx->classes = read_tables(source, root, "class", class_options,
				   G_N_ELEMENTS(class_options),
				   sizeof(*ctx->classes), &ctx->n_classes);
	ctx->non_idempotent = read_tables(
		source, root, "non_idempotent", non_idempotent_options,
		G_N_ELEMENTS(non_idempotent_options),
		sizeof(*ctx->non_idempotent), &ctx->n_non_idempotent);
}

/*
 * Parses and validates one team's document; doc_free(). When the text is not
 * valid, returns NULL and adds all faults ("name:line: key: given VALUE;
 * allowed: ...", freed with g_free()) to faults. name is the file's name in
 * these messages. References between tables are checked only if all values are
 * valid.
 */
struct doc *doc_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults)
{
	struct opt_source source = { .file = name, .faults = faults };
	guint before = faults->len;
	struct tb_value *root;
	struct doc *ctx;

	root = opt_parse(&source, text, len);
	if (!root)
		return NULL;
	ctx = g_new0(struct doc, 1);
	read_document(ctx, &source, root);
	if (faults->len == before) {
		check_services(ctx, &source, root);
		check_models(ctx, &source, root);
		check_adapters(ctx, &source, root);
		check_classes(ctx, &source, root);
		check_non_idempotent(ctx, &source, root);
	}
	tb_free(root);
	if (faults->len != before) {
		doc_free(ctx);
		return NULL;
	}
	return ctx;
}

/* Frees a document; NULL is allowed. */
void doc_free(struct doc *ctx)
{
	if (!ctx)
		return;
	for (size_t i = 0; i < ctx->n_services; i++)
		g_free(ctx->services[i].name);
	for (size_t i = 0; i < ctx->n_models; i++) {
		g_free(ctx->models[i].name);
		g_free(ctx->models[i].service);
		g_free(ctx->models[i].version);
	}
	for (size_t i = 0; i < ctx->n_adapters; i++) {
		g_free(ctx->adapters[i].name);
		g_free(ctx->adapters[i].model);
		g_free(ctx->adapters[i].version);
	}
	for (size_t i = 0; i < ctx->n_classes; i++)
		g_free(ctx->classes[i].name);
	for (size_t i = 0; i < ctx->n_non_idempotent; i++) {
		g_free(ctx->non_idempotent[i].service);
		g_free(ctx->non_idempotent[i].method);
		g_free(ctx->non_idempotent[i].path_prefix);
	}
	g_free(ctx->services);
	g_free(ctx->models);
	g_free(ctx->adapters);
	g_free(ctx->classes);
	g_free(ctx->non_idempotent);
	g_free(ctx->default_class);
	g_free(ctx->team);
	g_free(ctx);
}

/* Writes the XXH3-128 digest of the text in canonical (big-endian) form: 16
 * bytes. */
void doc_digest(const char *text, size_t len, uint8_t out[16])
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(&canonical, XXH3_128bits(text, len));
	memcpy(out, canonical.digest, sizeof(canonical.digest));
}

/* Returns the service of that name, or NULL. */
const struct doc_service *doc_service(const struct doc *ctx, const char *name)
{
	for (size_t i = 0; i < ctx->n_services; i++)
		if (!strcmp(ctx->services[i].name, name))
			return &ctx->services[i];
	return NULL;
}

/* Returns the model of that name, or NULL. */
const struct doc_model *doc_model(const struct doc *ctx, const char *name)
{
	for (size_t i = 0; i < ctx->n_models; i++)
		if (!strcmp(ctx->models[i].name, name))
			return &ctx->models[i];
	return NULL;
}

/* Returns the adapter of that name of the given model, or NULL. */
const struct doc_adapter *doc_adapter(const struct doc *ctx, const char *model,
				      const char *name)
{
	for (size_t i = 0; i < ctx->n_adapters; i++)
		if (!strcmp(ctx->adapters[i].name, name) &&
		    !strcmp(ctx->adapters[i].model, model))
			return &ctx->adapters[i];
	return NULL;
}

/* Returns the class of that name; the default class for NULL or an empty name;
 * NULL for an unknown name. */
const struct doc_class *doc_class(const struct doc *ctx, const char *name)
{
	if (!name || !name[0])
		name = ctx->default_class;
	for (size_t i = 0; i < ctx->n_classes; i++)
		if (!g_strcmp0(ctx->classes[i].name, name))
			return &ctx->classes[i];
	return NULL;
}

/* Returns whether the document declares this request as non-idempotent, by a
 * rule for its service, its method and a prefix of its path. */
bool doc_is_non_idempotent(const struct doc *ctx, const char *service,
			   const char *method, const char *path)
{
	for (size_t i = 0; i < ctx->n_non_idempotent; i++) {
		const struct doc_non_idempotent *rule = &ctx->non_idempotent[i];

		if (!strcmp(rule->service, service) &&
		    !strcmp(rule->method, method) &&
		    g_str_has_prefix(path, rule->path_prefix))
			return true;
	}
	return false;
}
