#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "lib_cluster.h"
#include "lib_fake.h"
#include "lib_http.h"
#include "lib_proc.h"

/*
 * Demonstrates the system end to end on loopback with real processes: three
 * instances, two model engines and one plain service. Each step prints what it
 * does and the answers; the exit code is 1 if any result is wrong.
 */

#define TIMEOUT_MS 60000
#define TOKENS 12

/* The deploy document after its team and number. */
static const char document_rest[] =
	"default_class = \"standard\"\n"
	"[store]\nloads_per_s = 50\nparallel_loads = 4\n"
	"adapters_in_transit = 8\n"
	"[[service]]\nname = \"engine\"\nkind = \"engine\"\n"
	"[[service]]\nname = \"bookings\"\nkind = \"plain\"\n"
	"[[model]]\nname = \"small\"\nservice = \"engine\"\n"
	"memory_mb = 8000\n"
	"[[adapter]]\nname = \"coast\"\nmodel = \"small\"\nmemory_mb = 100\n"
	"[[class]]\nname = \"standard\"\nfirst_token_ms = 1000\n"
	"[[non_idempotent]]\nservice = \"bookings\"\nmethod = \"POST\"\n"
	"path_prefix = \"/\"\n";

static const char added_model[] = "[[model]]\nname = \"large\"\n"
				  "service = \"engine\"\n"
				  "memory_mb = 30000\n";

static int step_number;
static bool failed;

static void step(const char *text)
{
	printf("\n%d. %s\n", ++step_number, text);
	fflush(stdout);
}

static bool expect(bool ok, const char *text)
{
	printf("   %s: %s\n", ok ? "ok" : "WRONG", text);
	fflush(stdout);
	if (!ok)
		failed = true;
	return ok;
}

/*
 * Runs a dandelionspar subcommand with the addresses of all instances; operand
 * may be NULL. Returns the exit code, or -1 after TIMEOUT_MS.
 */
static int run_command(struct cluster *cluster, const char *subcommand,
		       const char *operand)
{
	char *program = cluster_program("dandelionspar");
	const char *argv[] = { program,	    subcommand,
			       "--address", cluster_addresses(cluster),
			       operand,	    NULL };
	int code;

	printf("   $ dandelionspar %s --address ... %s\n", subcommand,
	       operand ? operand : "");
	fflush(stdout);
	code = proc_wait(proc_start(argv, NULL), TIMEOUT_MS);
	g_free(program);
	return code;
}

static char *write_document(struct cluster *cluster, int number)
{
	char *path = g_strdup_printf("%s/document%d.toml",
				     cluster_folder(cluster), number);
	char *text =
		g_strdup_printf("team = \"demo\"\nnumber = %d\n%s%s", number,
				document_rest, number > 1 ? added_model : "");

	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return path;
}

static void start_system(struct cluster *cluster)
{
	static const char *const plain[] = { "--plain", "--service", "bookings",
					     NULL };

	step("Start three instances that form a group and two model engines "
	     "and "
	     "one plain service that announce themselves");
	cluster_start_all(cluster);
	expect(cluster_wait_all_serving(cluster, TIMEOUT_MS),
	       "all instances serve");
	cluster_start_endpoint(cluster, "engine1", NULL);
	cluster_start_endpoint(cluster, "engine2", NULL);
	cluster_start_endpoint(cluster, "bookings1", plain);
}

static void apply_document(struct cluster *cluster, int number,
			   const char *model)
{
	char *path = write_document(cluster, number);

	expect(run_command(cluster, "apply", path) == 0,
	       "the document is accepted");
	for (size_t i = 0; i < 3 && !failed; i++)
		expect(cluster_wait_document(cluster, i, "demo",
					     (uint64_t)number, TIMEOUT_MS) &&
			       cluster_wait_model(cluster, i, "demo", model,
						  TIMEOUT_MS),
		       "it is in force on an instance, and the model is ready");
	g_free(path);
}

/* Returns the first listed entry's address, or NULL; free with g_free(). */
static char *ask_entry(struct cluster *cluster)
{
	struct http_call call = { .address = cluster_http(cluster, 0),
				  .path = "/v1/entries" };
	struct http_reply reply;
	char *address;
	json_t *root;

	step("Ask which entry to use");
	reply = http_call(&call);
	root = http_json(&reply);
	address = g_strdup(json_string_value(json_object_get(
		json_array_get(json_object_get(root, "entries"), 0),
		"address")));
	printf("   GET /v1/entries -> %s\n", reply.body->str);
	expect(address != NULL, "an address is named");
	json_decref(root);
	http_reply_clear(&reply);
	return address;
}

static void print_event(void *data, const char *event)
{
	(void)data;
	printf("   data: %s\n", event);
	fflush(stdout);
}

static void stream_completion(const char *entry, const char *model)
{
	static const char *const headers[] = { "X-Team: demo",
					       "Content-Type: application/json",
					       NULL };
	char *body = g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
		"\"messages\":[{\"role\":\"user\",\"content\":\"When is the "
		"tide?\"}]}",
		model, TOKENS);
	struct http_call call = { .method = "POST",
				  .address = entry,
				  .path = "/v1/chat/completions",
				  .headers = headers,
				  .body = body,
				  .on_event = print_event };
	struct http_reply reply = http_call(&call);
	char *expected = fake_answer(model, "When is the tide?", TOKENS);
	char *text = http_completion_text(&reply);

	if (!expect(reply.complete && reply.status == 200 &&
			    !strcmp(text, expected),
		    "the whole answer arrived, each token once"))
		printf("   status %ld, body %s\n", reply.status,
		       reply.body->str);
	g_free(text);
	g_free(expected);
	http_reply_clear(&reply);
	g_free(body);
}

static char *book(const char *entry)
{
	static const char *const headers[] = { "X-Team: demo",
					       "Idempotency-Key: booking-4711",
					       "Content-Type: application/json",
					       NULL };
	struct http_call call = { .method = "POST",
				  .address = entry,
				  .path = "/v1/services/bookings/slots",
				  .headers = headers,
				  .body = "{\"slot\":\"monday 8:00\"}" };
	struct http_reply reply = http_call(&call);
	char *answer = g_strdup(reply.body->str);

	printf("   POST /v1/services/bookings/slots -> %ld %s\n", reply.status,
	       answer);
	expect(reply.complete && reply.status == 201, "the booking is made");
	http_reply_clear(&reply);
	return answer;
}

static size_t count_runs(struct cluster *cluster, const char *endpoint)
{
	json_t *events = cluster_record(cluster);
	const json_t *event;
	size_t runs = 0;
	size_t i;

	json_array_foreach(
		events, i,
		event) if (!strcmp(json_string_value(json_object_get(event,
								     "event")),
				   "start") &&
			   !strcmp(json_string_value(
					   json_object_get(event, "endpoint")),
				   endpoint)) runs++;
	json_decref(events);
	return runs;
}

static void repeat_booking(struct cluster *cluster, const char *entry)
{
	char *first;
	char *again;

	step("Send a non-idempotent booking, then send it again with the same "
	     "request id through another entry");
	first = book(entry);
	again = book(cluster_http(cluster, 1));
	expect(!strcmp(first, again), "both got the same answer");
	expect(count_runs(cluster, "bookings1") == 1, "it ran once");
	g_free(first);
	g_free(again);
}

static void stop_system(struct cluster *cluster)
{
	step("Stop everything gracefully");
	for (size_t i = 0; i < 3; i++)
		expect(cluster_stop(cluster, 2 - i, TIMEOUT_MS) == 0,
		       "an instance drained and stopped");
}

/* Runs the demonstration; stops at the first failed setup step. */
int main(void)
{
	struct cluster_options options = { .instances = 3, .voters = 3 };
	struct cluster *cluster = cluster_new(&options);
	char *entry = NULL;

	start_system(cluster);
	if (failed)
		goto out;
	step("Apply a document");
	apply_document(cluster, 1, "small");
	if (failed)
		goto out;
	expect(cluster_wait_model(cluster, 0, "demo", "small:coast",
				  TIMEOUT_MS),
	       "the adapter is ready");
	entry = ask_entry(cluster);
	if (!entry)
		goto out;
	step("Send a streamed completion through that entry");
	stream_completion(entry, "small:coast");
	repeat_booking(cluster, entry);
	step("Change the document: add a model");
	apply_document(cluster, 2, "large");
	stream_completion(entry, "large");
	run_command(cluster, "status", NULL);
	stop_system(cluster);
out:
	g_free(entry);
	cluster_free(cluster, failed);
	printf("\n%s\n", failed ? "demo failed" : "demo passed");
	return failed;
}
