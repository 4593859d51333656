#include <argp.h>
#include <stdio.h>

#include "base/log.h"
#include "cli/cli.h"
#include "cli/cli_file.h"
#include "node/node.h"

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of the instance (required)",
	  0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case 's':
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*path)
			argp_error(state, "--settings is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Runs an instance in the foreground. SIGTERM or SIGINT drains "
	       "it and stops it after the last request; a second signal stops "
	       "it at once."
	       "\vExit codes: 0 stopped, 1 could not start, 2 wrong usage, 3 "
	       "settings not valid.",
};

/* Runs an instance until it is stopped. */
int cli_run(int argc, char **argv)
{
	const char *path = NULL;
	struct set *settings;
	GError *err = NULL;
	int status;

	argp_parse(&parser, argc, argv, 0, NULL, &path);
	settings = cli_read_settings(path);
	if (!settings)
		return CLI_INVALID;
	log_set_level(log_level_from_name(settings->log_level));
	status = node_run(settings, path, &err);
	if (err) {
		LOG_EVENT_ERROR("node", "start_failed", "reason=\"%s\"",
				err->message);
		g_error_free(err);
	}
	set_free(settings);
	return status ? CLI_FAILED : CLI_OK;
}
