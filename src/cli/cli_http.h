#ifndef CLI_CLI_HTTP_H
#define CLI_CLI_HTTP_H

#include <argp.h>
#include <glib.h>
#include <stdbool.h>

/* HTTP client of the subcommands that talk to instances: common options,
 * requests, and output of errors. */

struct cli_remote {
	const char *addresses; /* IP:PORT, comma-separated */
	bool json;	       /* print JSON */
	int timeout_s;	       /* for each address */
};

struct cli_reply {
	int status; /* HTTP status, 2xx: success; 0: no instance answered */
	GString *body;
};

extern const struct argp cli_remote_argp; /* child parser */

struct cli_reply cli_call(const struct cli_remote *remote, const char *method,
			  const char *path, const char *body, size_t len);
void cli_reply_clear(struct cli_reply *reply);
int cli_print_failure(const struct cli_remote *remote,
		      const struct cli_reply *reply);

#endif
