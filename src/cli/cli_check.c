#include <argp.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>

#include "cli/cli.h"
#include "cli/cli_file.h"

struct check_args {
	const char *settings;
	const char *document;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Check the settings of an instance", 0 },
	{ "document", 'd', "FILE", 0, "Check a team's document", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct check_args *args = state->input;

	switch (key) {
	case 's':
		args->settings = arg;
		return 0;
	case 'd':
		args->document = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->settings && !args->document)
			argp_error(state, "--settings or --document is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Checks files without applying them. Each fault is one line on "
	       "standard error: file, line, key, value given, what is allowed."
	       "\vExit codes: 0 valid, 2 wrong usage, 3 not valid.",
};

static bool check_settings(const char *path)
{
	struct set *settings = cli_read_settings(path);

	if (!settings)
		return false;
	printf("%s: settings of instance %s in site %s are valid\n", path,
	       settings->id, settings->site);
	set_free(settings);
	return true;
}

static bool check_document(const char *path)
{
	struct doc *document;
	size_t len;
	char *text;

	document = cli_read_document(path, &text, &len);
	if (!document)
		return false;
	printf("%s: document %" PRIu64 " of team %s is valid: %zu services, "
	       "%zu models, %zu adapters, %zu classes\n",
	       path, document->number, document->team, document->n_services,
	       document->n_models, document->n_adapters, document->n_classes);
	doc_free(document);
	g_free(text);
	return true;
}

/* Checks settings and documents without applying them. */
int cli_check(int argc, char **argv)
{
	struct check_args args = { 0 };
	bool valid = true;

	argp_parse(&parser, argc, argv, 0, NULL, &args);
	if (args.settings)
		valid = check_settings(args.settings) && valid;
	if (args.document)
		valid = check_document(args.document) && valid;
	return valid ? CLI_OK : CLI_INVALID;
}
