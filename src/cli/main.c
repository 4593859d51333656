#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

const char *argp_program_version = "dandelionspar 0.1.0";
error_t argp_err_exit_status = CLI_USAGE;

static const struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} subcommands[] = {
	{ "run", cli_run, "run an instance" },
	{ "check", cli_check, "check a settings file or a document" },
	{ "apply", cli_apply, "apply a document" },
	{ "show", cli_show, "print the document in force" },
	{ "diff", cli_diff, "compare a file with the document in force" },
	{ "status", cli_status, "show the state of the system" },
	{ "trace", cli_trace, "print the history of a request from logs" },
	{ "drain", cli_drain, "take an instance out of service" },
	{ "replace", cli_replace, "replace a lost replica" },
};

#define N_SUBCOMMANDS (sizeof(subcommands) / sizeof(subcommands[0]))

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: dandelionspar SUBCOMMAND [OPTION...]\n"
		     "Serves many models from fewer accelerators.\n\n"
		     "Subcommands:\n");
	for (size_t i = 0; i < N_SUBCOMMANDS; i++)
		fprintf(out, "  %-9s %s\n", subcommands[i].name,
			subcommands[i].help);
	fprintf(out,
		"\n\"dandelionspar SUBCOMMAND --help\" lists its options.\n"
		"Exit codes: 0 success, 1 rejected or failed, 2 wrong usage,\n"
		"3 invalid file, 4 no instance reachable.\n");
}

/* Runs the subcommand named by the first argument. */
int main(int argc, char **argv)
{
	char name[64];

	if (argc < 2) {
		print_usage(stderr);
		return CLI_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?")) {
		print_usage(stdout);
		return CLI_OK;
	}
	if (!strcmp(argv[1], "--version") || !strcmp(argv[1], "-V")) {
		puts(argp_program_version);
		return CLI_OK;
	}
	for (size_t i = 0; i < N_SUBCOMMANDS; i++) {
		if (strcmp(argv[1], subcommands[i].name))
			continue;
		snprintf(name, sizeof(name), "dandelionspar %s", argv[1]);
		argv[1] = name;
		return subcommands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "dandelionspar: unknown subcommand \"%s\"\n", argv[1]);
	print_usage(stderr);
	return CLI_USAGE;
}
