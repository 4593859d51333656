#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "cli/cli.h"
#include "cli/cli_file.h"
#include "cli/cli_http.h"

/* apply, show and diff: subcommands on a team's document. */

struct document_args {
	struct cli_remote remote;
	const char *operand; /* file or team */
};

static const struct argp_child children[] = {
	{ &cli_remote_argp, 0, NULL, 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct document_args *args = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &args->remote;
		return 0;
	case ARGP_KEY_ARG:
		if (args->operand)
			argp_error(state, "one argument is allowed");
		args->operand = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "an argument is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp apply_parser = {
	.parser = parse_option,
	.args_doc = "FILE",
	.doc = "Applies a document. Its number must be the number in force "
	       "plus one. Sending the same file again is safe and gives the "
	       "first result."
	       "\vExit codes: 0 accepted, 1 rejected, 2 wrong usage, 3 not "
	       "valid, 4 no instance reachable (send the same file again).",
	.children = children,
};

static const struct argp show_parser = {
	.parser = parse_option,
	.args_doc = "TEAM",
	.doc = "Prints the document in force for a team; with --json its "
	       "number as well.",
	.children = children,
};

static const struct argp diff_parser = {
	.parser = parse_option,
	.args_doc = "FILE",
	.doc = "Compares a file with the document in force: '-' lines are in "
	       "force only, '+' lines in the file only, '~' lines differ."
	       "\vExit codes: 0 compared, 1 failed, 2 wrong usage, 3 not "
	       "valid, 4 no instance reachable.",
	.children = children,
};

static char *document_path(const char *team)
{
	return g_strdup_printf("/v1/documents/%s", team);
}

/* Requests the document in force for a team. */
static struct cli_reply get_document(const struct cli_remote *remote,
				     const char *team)
{
	char *path = document_path(team);
	struct cli_reply reply = cli_call(remote, "GET", path, NULL, 0);

	g_free(path);
	return reply;
}

/* Sends a document to an instance, which applies it. */
int cli_apply(int argc, char **argv)
{
	struct document_args args = { 0 };
	struct cli_reply reply;
	struct doc *document;
	json_t *root;
	char *path;
	char *text;
	size_t len;
	int result = CLI_OK;

	argp_parse(&apply_parser, argc, argv, 0, NULL, &args);
	document = cli_read_document(args.operand, &text, &len);
	if (!document)
		return CLI_INVALID;
	path = document_path(document->team);
	reply = cli_call(&args.remote, "PUT", path, text, len);
	if (reply.status / 100 != 2) {
		result = cli_print_failure(&args.remote, &reply);
		goto out;
	}
	if (args.remote.json) {
		printf("%s\n", reply.body->str);
		goto out;
	}
	root = json_loadb(reply.body->str, reply.body->len, 0, NULL);
	printf("document %" PRIu64 " of team %s is accepted at log index "
	       "%" JSON_INTEGER_FORMAT "\n",
	       document->number, document->team,
	       json_integer_value(json_object_get(root, "index")));
	json_decref(root);
out:
	cli_reply_clear(&reply);
	g_free(path);
	g_free(text);
	doc_free(document);
	return result;
}

/* Parses the document in a reply; doc_free(). Returns NULL if this program does
 * not accept it. */
static struct doc *parse_reply(const struct cli_reply *reply)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct doc *document = doc_parse("in force", reply->body->str,
					 reply->body->len, faults);

	g_ptr_array_free(faults, TRUE);
	return document;
}

static void print_json(const char *team, const struct cli_reply *reply)
{
	struct doc *document = parse_reply(reply);
	json_t *root = json_pack("{s:s, s:I, s:s}", "team", team, "number",
				 (json_int_t)(document ? document->number : 0),
				 "text", reply->body->str);

	json_dumpf(root, stdout, 0);
	putchar('\n');
	json_decref(root);
	doc_free(document);
}

/* Prints the document in force. */
int cli_show(int argc, char **argv)
{
	struct document_args args = { 0 };
	struct cli_reply reply;
	int result = CLI_OK;

	argp_parse(&show_parser, argc, argv, 0, NULL, &args);
	reply = get_document(&args.remote, args.operand);
	if (reply.status != 200) {
		result = cli_print_failure(&args.remote, &reply);
		goto out;
	}
	if (args.remote.json)
		print_json(args.operand, &reply);
	else
		fputs(reply.body->str, stdout);
out:
	cli_reply_clear(&reply);
	return result;
}

/* Prints the differences between a file and the document in force. */
int cli_diff(int argc, char **argv)
{
	struct document_args args = { 0 };
	struct doc *in_force = NULL;
	struct cli_reply reply;
	int result = CLI_OK;
	struct doc *file;
	char *text;
	char *diff;
	size_t len;

	argp_parse(&diff_parser, argc, argv, 0, NULL, &args);
	file = cli_read_document(args.operand, &text, &len);
	if (!file)
		return CLI_INVALID;
	reply = get_document(&args.remote, file->team);
	/* 404: no document is in force, so all of the file is new. */
	if (reply.status != 200 && reply.status != 404) {
		result = cli_print_failure(&args.remote, &reply);
		goto out;
	}
	if (reply.status == 200)
		in_force = parse_reply(&reply);
	diff = doc_diff(in_force, file);
	if (args.remote.json) {
		json_t *root = json_pack("{s:s, s:b}", "diff", diff, "equal",
					 !diff[0]);

		json_dumpf(root, stdout, 0);
		putchar('\n');
		json_decref(root);
	} else {
		fputs(diff, stdout);
	}
	g_free(diff);
out:
	doc_free(in_force);
	cli_reply_clear(&reply);
	g_free(text);
	doc_free(file);
	return result;
}
