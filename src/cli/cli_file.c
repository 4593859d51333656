#include "cli/cli_file.h"

#include <stdio.h>

/* Reads a whole file; g_free(). If that fails, prints the reason on standard
 * error and returns NULL. */
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

/* Reads and validates a settings file; set_free(). If it is unreadable or not
 * valid, prints all faults on standard error and returns NULL. */
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

/* Reads and validates a document; doc_free(). Also sets its text, which the
 * caller frees with g_free(). If it is unreadable or not valid, prints all
 * faults on standard error, sets text to NULL and returns NULL. */
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
