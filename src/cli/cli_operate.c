#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "cli/cli_http.h"

/* status, drain and replace: subcommands on instances and replicas. */

struct operate_args {
	struct cli_remote remote;
	const char *replica;
};

static const struct argp_child children[] = {
	{ &cli_remote_argp, 0, NULL, 0 },
	{ 0 },
};

static const struct argp_option replace_options[] = {
	{ "replica", 'r', "ID", 0,
	  "Identity of the lost replica, as status shows it (required)", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct operate_args *args = state->input;

	(void)arg;
	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = &args->remote;
	return 0;
}

static error_t parse_replace_option(int key, char *arg,
				    struct argp_state *state)
{
	struct operate_args *args = state->input;

	switch (key) {
	case 'r':
		args->replica = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->replica)
			argp_error(state, "--replica is needed");
		return 0;
	default:
		return parse_option(key, arg, state);
	}
}

static const struct argp status_parser = {
	.parser = parse_option,
	.doc = "Shows the documents in force per site and instance, replicas, "
	       "endpoints, models and orders in flight, as the instance sees "
	       "them.",
	.children = children,
};

static const struct argp drain_parser = {
	.parser = parse_option,
	.doc = "Drains the addressed instance: it leaves the entry list, "
	       "serves for the validity time of the list, finishes its "
	       "requests and stops. Give one address only.",
	.children = children,
};

static const struct argp replace_parser = {
	.options = replace_options,
	.parser = parse_replace_option,
	.doc = "Removes a replica that will not return from the voters, so "
	       "that another instance with an empty data folder can take its "
	       "place. An instance that lost its own data folder needs no "
	       "command: it is repaired when it starts.",
	.children = children,
};

static void print_scalar(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fputs(json_string_value(value), stdout);
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	fputs(text, stdout);
	free(text);
}

static void print_row(const json_t *row)
{
	const char *key;
	json_t *value;

	if (!json_is_object(row)) {
		fputs("  ", stdout);
		print_scalar(row);
		putchar('\n');
		return;
	}
	putchar(' ');
	json_object_foreach((json_t *)row, key, value)
	{
		printf(" %s=", key);
		print_scalar(value);
	}
	putchar('\n');
}

/* Prints each array as a heading and one line per item, and each other member
 * as one line. */
static void print_status(json_t *root)
{
	const json_t *item;
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach(root, key, value)
	{
		if (!json_is_array(value)) {
			printf("%s: ", key);
			print_scalar(value);
			putchar('\n');
			continue;
		}
		printf("%s (%zu):\n", key, json_array_size(value));
		json_array_foreach(value, i, item) print_row(item);
	}
}

static int print_result(const struct cli_remote *remote,
			struct cli_reply *reply, const char *text)
{
	int result = CLI_OK;

	if (reply->status / 100 != 2)
		result = cli_print_failure(remote, reply);
	else if (remote->json)
		printf("%s\n", reply->body->str);
	else
		puts(text);
	cli_reply_clear(reply);
	return result;
}

/* Shows the state of the system. */
int cli_status(int argc, char **argv)
{
	struct operate_args args = { 0 };
	struct cli_reply reply;
	int result = CLI_OK;
	json_t *root;

	argp_parse(&status_parser, argc, argv, 0, NULL, &args);
	reply = cli_call(&args.remote, "GET", "/v1/status", NULL, 0);
	if (reply.status != 200) {
		result = cli_print_failure(&args.remote, &reply);
	} else if (args.remote.json) {
		printf("%s\n", reply.body->str);
	} else {
		root = json_loadb(reply.body->str, reply.body->len, 0, NULL);
		print_status(root);
		json_decref(root);
	}
	cli_reply_clear(&reply);
	return result;
}

/* Drains and stops one instance. */
int cli_drain(int argc, char **argv)
{
	struct operate_args args = { 0 };
	struct cli_reply reply;

	argp_parse(&drain_parser, argc, argv, 0, NULL, &args);
	if (strchr(args.remote.addresses, ',')) {
		fprintf(stderr, "dandelionspar drain: give one address\n");
		return CLI_USAGE;
	}
	reply = cli_call(&args.remote, "POST", "/v1/drain", "{}", 2);
	return print_result(&args.remote, &reply, "the instance is draining");
}

/* Removes a lost replica from the voters. */
int cli_replace(int argc, char **argv)
{
	struct operate_args args = { 0 };
	struct cli_reply reply;
	char *body;
	json_t *root;

	argp_parse(&replace_parser, argc, argv, 0, NULL, &args);
	root = json_pack("{s:s}", "replica", args.replica);
	body = json_dumps(root, JSON_COMPACT);
	reply = cli_call(&args.remote, "POST", "/v1/replicas/replace", body,
			 strlen(body));
	free(body);
	json_decref(root);
	return print_result(&args.remote, &reply,
			    "the replica is out of the group");
}
