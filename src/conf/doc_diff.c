#include "conf/doc.h"

#include <inttypes.h>
#include <string.h>

/* A document as a map from "kind name" to a text with all values, for example
 * "model m" to "service=... version=...". */
struct item_list {
	GPtrArray *keys;    /* char *, owned, in document order */
	GHashTable *by_key; /* key -> char *, owned */
};

static void add_item(struct item_list *list, const char *kind, const char *name,
		     char *text)
{
	char *key = g_strdup_printf("%s %s", kind, name);

	g_ptr_array_add(list->keys, key);
	g_hash_table_replace(list->by_key, key, text);
}

static void add_document(struct item_list *list, const struct doc *ctx)
{
	add_item(list, "document", "number",
		 g_strdup_printf("%" PRIu64, ctx->number));
	add_item(list, "document", "default_class",
		 g_strdup(ctx->default_class));
	add_item(list, "document", "weights",
		 g_strdup_printf("attainment=%g moves=%g",
				 ctx->weight_attainment, ctx->weight_moves));
	add_item(list, "document", "store",
		 g_strdup_printf("loads_per_s=%g parallel_loads=%u "
				 "adapters_in_transit=%u",
				 ctx->store_loads_per_s,
				 ctx->store_parallel_loads,
				 ctx->adapters_in_transit));
}

static void add_services(struct item_list *list, const struct doc *ctx)
{
	for (size_t i = 0; i < ctx->n_services; i++) {
		const struct doc_service *s = &ctx->services[i];

		add_item(list, "service", s->name,
			 g_strdup_printf(
				 "kind=%s orders_may_duplicate=%s",
				 s->kind == DOC_SERVICE_ENGINE ? "engine"
							       : "plain",
				 s->orders_may_duplicate ? "true" : "false"));
	}
	for (size_t i = 0; i < ctx->n_non_idempotent; i++) {
		const struct doc_non_idempotent *n = &ctx->non_idempotent[i];
		char *name = g_strdup_printf("%s %s %s", n->service, n->method,
					     n->path_prefix);

		add_item(list, "non_idempotent", name, g_strdup(""));
		g_free(name);
	}
}

static void add_models(struct item_list *list, const struct doc *ctx)
{
	for (size_t i = 0; i < ctx->n_models; i++) {
		const struct doc_model *m = &ctx->models[i];

		add_item(list, "model", m->name,
			 g_strdup_printf("service=%s version=%s memory_mb=%u "
					 "accelerators=%u min_copies=%u",
					 m->service, m->version, m->memory_mb,
					 m->accelerators, m->min_copies));
	}
	for (size_t i = 0; i < ctx->n_adapters; i++) {
		const struct doc_adapter *a = &ctx->adapters[i];
		char *name = g_strdup_printf("%s:%s", a->model, a->name);

		add_item(list, "adapter", name,
			 g_strdup_printf("version=%s memory_mb=%u", a->version,
					 a->memory_mb));
		g_free(name);
	}
}

static void add_classes(struct item_list *list, const struct doc *ctx)
{
	for (size_t i = 0; i < ctx->n_classes; i++) {
		const struct doc_class *c = &ctx->classes[i];

		add_item(list, "class", c->name,
			 g_strdup_printf("priority=%u first_token_ms=%" PRId64
					 " token_gap_ms=%" PRId64
					 " deadline_ms=%" PRId64
					 " attainment=%g share=%g queue_max=%u",
					 c->priority, c->first_token_us / 1000,
					 c->token_gap_us / 1000,
					 c->deadline_us / 1000, c->attainment,
					 c->share, c->queue_max));
	}
}

static struct item_list list_items(const struct doc *ctx)
{
	struct item_list list = {
		.keys = g_ptr_array_new_with_free_func(g_free),
		.by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						g_free),
	};

	if (!ctx)
		return list;
	add_document(&list, ctx);
	add_services(&list, ctx);
	add_models(&list, ctx);
	add_classes(&list, ctx);
	return list;
}

static void free_items(struct item_list *list)
{
	g_hash_table_destroy(list->by_key);
	g_ptr_array_free(list->keys, TRUE);
}

/*
 * Returns one line for each difference: "- item: text" for items that only from
 * has, "+ item: text" for items that only to has, and "~ item: old -> new" for
 * changed items. The text is empty if there is no difference. from may be NULL
 * (no document in force). The caller frees the text with g_free().
 */
char *doc_diff(const struct doc *from, const struct doc *to)
{
	struct item_list old_items = list_items(from);
	struct item_list new_items = list_items(to);
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < old_items.keys->len; i++) {
		const char *key = old_items.keys->pdata[i];
		const char *old_text =
			g_hash_table_lookup(old_items.by_key, key);
		const char *new_text =
			g_hash_table_lookup(new_items.by_key, key);

		if (!new_text)
			g_string_append_printf(out, "- %s: %s\n", key,
					       old_text);
		else if (strcmp(old_text, new_text))
			g_string_append_printf(out, "~ %s: %s -> %s\n", key,
					       old_text, new_text);
	}
	for (guint i = 0; i < new_items.keys->len; i++) {
		const char *key = new_items.keys->pdata[i];

		if (!g_hash_table_contains(old_items.by_key, key))
			g_string_append_printf(out, "+ %s: %s\n", key,
					       (char *)g_hash_table_lookup(
						       new_items.by_key, key));
	}
	free_items(&old_items);
	free_items(&new_items);
	return g_string_free(out, FALSE);
}
