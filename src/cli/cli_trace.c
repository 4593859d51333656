#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

/* Size of the line buffer; the log cuts its lines to fewer bytes. */
#define LINE_BYTES 4096

struct trace_options {
	const char *id;
	char **files;
	int n_files;
};

struct trace_line {
	char *time; /* points into text */
	const char *file;
	char *text;	 /* owned */
	size_t sequence; /* among all lines, in the order of reading */
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct trace_options *options = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (!state->arg_num)
			options->id = arg;
		return 0;
	case ARGP_KEY_ARGS:
		return ARGP_ERR_UNKNOWN;
	case ARGP_KEY_END:
		if (state->arg_num < 2)
			argp_error(state, "ID and at least one FILE are "
					  "needed");
		options->files = &state->argv[state->argc - state->arg_num + 1];
		options->n_files = (int)state->arg_num - 1;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.parser = parse_option,
	.args_doc = "ID FILE...",
	.doc = "Prints all log lines about one request, one endpoint or one "
	       "instance from the logs of several instances, in the order of "
	       "their times. \"-\" reads standard input."
	       "\vExit codes: 0 lines were found, 1 none, 2 wrong usage, 3 a "
	       "file cannot be read.",
};

/* Returns whether the id is one of the values in the line, not just a part of
 * one. */
static bool has_value(const char *line, const char *id)
{
	size_t len = strlen(id);

	for (const char *at = strstr(line, id); at; at = strstr(at + 1, id))
		if (at > line && strchr("= \"", at[-1]) &&
		    strchr(" \"\r\n", at[len]))
			return true;
	return false;
}

static int compare_lines(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;
	int order = strcmp(x->time, y->time);

	if (order)
		return order;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Adds the lines of one file that have the id; returns false if the file cannot
 * be opened. */
static bool collect_lines(const char *path, const char *id, GArray *lines)
{
	FILE *in = strcmp(path, "-") != 0 ? fopen(path, "re") : stdin;
	char text[LINE_BYTES];

	if (!in) {
		perror(path);
		return false;
	}
	while (fgets(text, sizeof(text), in)) {
		struct trace_line line = { .file = path,
					   .sequence = lines->len };
		char *severity;

		if (!has_value(text, id))
			continue;
		line.text = g_strdup(g_strchomp(text));
		/* The time follows the severity, which is in angle brackets. A
		 * log collector may have put a prefix before it. */
		severity = strchr(line.text, '<');
		severity = severity ? strchr(severity, '>') : NULL;
		line.time = severity ? severity + 1 : line.text;
		g_array_append_val(lines, line);
	}
	if (in != stdin)
		fclose(in);
	return true;
}

/* Prints the log lines about one request, endpoint or instance by time. */
int cli_trace(int argc, char **argv)
{
	struct trace_options options = { 0 };
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct trace_line));
	int status = CLI_OK;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	for (int i = 0; i < options.n_files; i++)
		if (!collect_lines(options.files[i], options.id, lines))
			status = CLI_INVALID;
	g_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++) {
		struct trace_line *line =
			&g_array_index(lines, struct trace_line, i);

		printf("%s: %s\n", line->file, line->text);
		g_free(line->text);
	}
	if (!lines->len && status == CLI_OK)
		status = CLI_FAILED;
	g_array_free(lines, TRUE);
	return status;
}
