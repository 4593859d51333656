#ifndef CLI_CLI_H
#define CLI_CLI_H

/* Subcommands of the dandelionspar program (cli), and their exit codes. */

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,	     /* rejected by an instance, or could not run */
	CLI_USAGE = 2,	     /* wrong command line */
	CLI_INVALID = 3,     /* a settings file or document is not valid */
	CLI_UNREACHABLE = 4, /* no instance answered */
};

/* Subcommands; argv[0] is the name for usage messages. */
int cli_trace(int argc, char **argv);
int cli_run(int argc, char **argv);
int cli_check(int argc, char **argv);
int cli_apply(int argc, char **argv);
int cli_show(int argc, char **argv);
int cli_diff(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_drain(int argc, char **argv);
int cli_replace(int argc, char **argv);

#endif
