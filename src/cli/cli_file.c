#include "cli/cli_file.h"

#include <stdio.h>

/* Reads a whole file. Returns NULL after a message on standard error. The
 * caller frees the text with g_free(). */
char *cli_read_file(const char *path, size_t *len)
{
	GError *err = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, len, &err))
		return text;
	fprintf(stderr, "dandelionspar: %s\n", err->message);
	g_error_free(err);
	return NULL;
}

static void print_faults(GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++)
		fprintf(stderr, "%s\n", (char *)faults->pdata[i]);
	g_ptr_array_free(faults, TRUE);
}

/* Reads and validates a settings file. Returns NULL after all faults were
 * printed on standard error. */
struct set *cli_read_settings(const char *path)
{
	GPtrArray *faults;
	struct set *settings;
	size_t len;
	char *text = cli_read_file(path, &len);

	if (!text)
		return NULL;
	faults = g_ptr_array_new_with_free_func(g_free);
	settings = set_parse(path, text, len, faults);
	print_faults(faults);
	g_free(text);
	return settings;
}

/* Reads and validates a document. Returns NULL after all faults were printed
 * on standard error, else sets text, which the caller frees with g_free(). */
struct doc *cli_read_document(const char *path, char **text, size_t *len)
{
	GPtrArray *faults;
	struct doc *document;

	*text = cli_read_file(path, len);
	if (!*text)
		return NULL;
	faults = g_ptr_array_new_with_free_func(g_free);
	document = doc_parse(path, *text, *len, faults);
	print_faults(faults);
	if (!document) {
		g_free(*text);
		*text = NULL;
	}
	return document;
}
