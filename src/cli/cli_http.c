#include "cli/cli_http.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/cli.h"
#include "traffic/up.h"

#define DEFAULT_TIMEOUT_S 10
#define US_PER_S 1000000

static const struct argp_option options[] = {
	{ "address", 'a', "IP:PORT[,...]", 0,
	  "HTTP addresses of instances; the next is tried when one does not "
	  "answer (required; or DANDELIONSPAR_ADDRESS)",
	  0 },
	{ "json", 'j', NULL, 0, "Print JSON", 0 },
	{ "timeout", 't', "SECONDS", 0, "Longest wait for each instance (10)",
	  0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct cli_remote *remote = state->input;
	char *end;
	long seconds;

	switch (key) {
	case ARGP_KEY_INIT:
		remote->addresses = getenv("DANDELIONSPAR_ADDRESS");
		remote->timeout_s = DEFAULT_TIMEOUT_S;
		return 0;
	case 'a':
		remote->addresses = arg;
		return 0;
	case 'j':
		remote->json = true;
		return 0;
	case 't':
		seconds = strtol(arg, &end, 10);
		if (*end || end == arg || seconds < 1 || seconds > 3600)
			argp_error(state,
				   "--timeout: given \"%s\"; allowed: 1 "
				   "to 3600",
				   arg);
		remote->timeout_s = (int)seconds;
		return 0;
	case ARGP_KEY_END:
		if (!remote->addresses || !remote->addresses[0])
			argp_error(state, "--address is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp cli_remote_argp = {
	.options = options,
	.parser = parse_option,
};

static void on_head(void *data, int status, const char *content_type)
{
	struct cli_reply *reply = data;

	(void)content_type;
	reply->status = status;
}

static bool on_data(void *data, const char *bytes, size_t len)
{
	struct cli_reply *reply = data;

	g_string_append_len(reply->body, bytes, (gssize)len);
	return true;
}

static bool call_address(struct up *up, const char *address,
			 const struct cli_remote *remote, const char *method,
			 const char *path, const char *body, size_t len,
			 struct cli_reply *reply)
{
	int64_t timeout_us = (int64_t)remote->timeout_s * US_PER_S;
	char *url = g_strdup_printf("http://%s%s", address, path);
	struct up_request request = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = len,
		.fresh = true,
		.connect_timeout_us = timeout_us,
		.total_timeout_us = timeout_us,
		.data = reply,
		.on_head = on_head,
		.on_data = on_data,
	};
	GError *err = NULL;
	bool ok = up_perform(up, &request, &err);

	if (!ok) {
		fprintf(stderr, "dandelionspar: %s: %s\n", address,
			err->message);
		g_error_free(err);
		reply->status = 0;
		g_string_truncate(reply->body, 0);
	}
	g_free(url);
	return ok;
}

/*
 * Sends a request to the addresses in order until one answers. If none does,
 * the status of the reply is 0 and the reasons are printed on standard error.
 * The request must be idempotent, because an instance whose answer is lost may
 * have executed it. The caller clears the reply with cli_reply_clear().
 */
struct cli_reply cli_call(const struct cli_remote *remote, const char *method,
			  const char *path, const char *body, size_t len)
{
	char **addresses = g_strsplit(remote->addresses, ",", -1);
	struct cli_reply reply = { .body = g_string_new(NULL) };
	struct up *up = up_new();

	for (size_t i = 0; addresses[i]; i++)
		if (call_address(up, addresses[i], remote, method, path, body,
				 len, &reply))
			break;
	up_free(up);
	g_strfreev(addresses);
	return reply;
}

/* Frees the body of a reply. */
void cli_reply_clear(struct cli_reply *reply)
{
	g_string_free(reply->body, TRUE);
	reply->body = NULL;
}

static void print_error(const json_t *error)
{
	const char *code = json_string_value(json_object_get(error, "code"));
	const char *message =
		json_string_value(json_object_get(error, "message"));
	const json_t *faults = json_object_get(error, "faults");
	const json_t *fault;
	size_t i;

	fprintf(stderr, "dandelionspar: %s: %s\n", code ? code : "error",
		message ? message : "no message");
	json_array_foreach(faults, i, fault)
		fprintf(stderr, "%s\n", json_string_value(fault));
}

/*
 * Prints the error in a reply whose status is not 2xx: as JSON on standard
 * output with --json, else as text on standard error. Prints nothing for status
 * 0, since cli_call() has printed the reasons. Returns the exit code:
 * CLI_UNREACHABLE, CLI_INVALID or CLI_FAILED.
 */
int cli_print_failure(const struct cli_remote *remote,
		      const struct cli_reply *reply)
{
	const char *code;
	json_t *error;
	json_t *root;
	int result = CLI_FAILED;

	if (!reply->status)
		return CLI_UNREACHABLE;
	root = json_loadb(reply->body->str, reply->body->len, 0, NULL);
	error = json_object_get(root, "error");
	code = json_string_value(json_object_get(error, "code"));
	if (!g_strcmp0(code, "document_invalid"))
		result = CLI_INVALID;
	if (remote->json)
		printf("%s\n", reply->body->str);
	else if (error)
		print_error(error);
	else
		fprintf(stderr, "dandelionspar: HTTP status %d\n",
			reply->status);
	json_decref(root);
	return result;
}
