#ifndef CLI_CLI_HTTP_H
#define CLI_CLI_HTTP_H

#include <argp.h>
#include <glib.h>
#include <stdbool.h>

/* Options and calls that all subcommands that talk to instances share. */

struct cli_remote {
	const char *addresses; /* IP:PORT, comma-separated */
	bool json;
	int timeout_s;
};

struct cli_reply {
	int status; /* HTTP status; 0: no instance answered */
	GString *body;
};

extern const struct argp cli_remote_argp; /* child parser */

/*
 * Sends one request to the first address that answers. A request that got no
 * answer is sent again to the next address, so it must be idempotent.
 */
struct cli_reply cli_call(const struct cli_remote *remote, const char *method,
			  const char *path, const char *body, size_t len);
void cli_reply_clear(struct cli_reply *reply);
/* Prints the error of a reply that is not 2xx and returns the exit code. */
int cli_print_failure(const struct cli_remote *remote,
		      const struct cli_reply *reply);

#endif
