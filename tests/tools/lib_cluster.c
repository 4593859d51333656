#include "lib_cluster.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib_http.h"
#include "lib_proc.h"

#define ENDPOINTS_MAX 64
#define LOG_TAIL_BYTES 4000
#define CALL_TIMEOUT_MS 2000

/* Short enough to detect failures within a second, long enough that a loaded
 * machine with ten cores does not trigger elections. */
static const char default_timing[] = "election_timeout_ms = 500\n"
				     "heartbeat_ms = 50\n"
				     "report_interval_ms = 100\n"
				     "endpoint_lease_ms = 1500\n"
				     "node_lease_ms = 2000\n"
				     "isolated_after_ms = 2000\n"
				     "entry_validity_s = 1\n"
				     "drain_limit_s = 60\n";

/* CivetWeb has one thread per concurrent request; with the default of 1000,
 * tests that run several clusters at once exceed the machine's limit of 32768
 * threads. */
static const char default_limits[] = "requests_max = 100\n";

struct instance {
	char id[32];
	char *site;	     /* owned */
	char *data_folder;   /* owned; NULL: none */
	char *settings_path; /* owned */
	char *log_path;	     /* owned */
	char http[32];	     /* IP:PORT */
	uint16_t internal_port;
	pid_t pid; /* 0: not running */
};

struct endpoint {
	char *id;	  /* owned */
	char address[32]; /* of the proxy */
	struct proxy *proxy;
	GPtrArray *argv; /* char *, owned; ended by NULL */
	pid_t pid;
};

struct cluster {
	struct cluster_options options;
	char *folder;	 /* owned */
	char *addresses; /* owned */
	char *program;	 /* owned */
	struct instance instances[CLUSTER_INSTANCES_MAX];
	struct proxy *proxies[CLUSTER_INSTANCES_MAX][CLUSTER_INSTANCES_MAX];
	uint16_t proxy_ports[CLUSTER_INSTANCES_MAX][CLUSTER_INSTANCES_MAX];
	struct endpoint endpoints[ENDPOINTS_MAX];
	size_t n_endpoints;
};

/* Returns the path of a program of the build folder, beside the running program
 * or one folder above; g_free(). */
char *cluster_program(const char *name)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *folder = g_path_get_dirname(self);
	char *path = g_build_filename(folder, name, NULL);

	if (access(path, X_OK)) {
		g_free(path);
		path = g_build_filename(folder, "..", name, NULL);
	}
	g_free(folder);
	g_free(self);
	return path;
}

static void write_settings(const struct cluster *ctx, size_t i)
{
	const struct instance *self = &ctx->instances[i];
	GString *text = g_string_new(NULL);
	bool control = i < ctx->options.voters;

	g_string_append_printf(text,
			       "id = \"%s\"\nsite = \"%s\"\n"
			       "region = \"region1\"\n"
			       "internal_listen = \"tcp://127.0.0.1:%u\"\n"
			       "http_listen = \"%s\"\ncontrol = %s\n",
			       self->id, self->site, self->internal_port,
			       self->http, control ? "true" : "false");
	if (control)
		g_string_append_printf(text, "data_folder = \"%s\"\n",
				       self->data_folder);
	for (size_t k = 0; k < ctx->options.instances; k++) {
		g_string_append_printf(
			text,
			"[[peer]]\nid = \"%s\"\n"
			"address = \"tcp://127.0.0.1:%u\"\n"
			"site = \"%s\"\ncontrol = %s\n",
			ctx->instances[k].id, ctx->instances[k].internal_port,
			ctx->instances[k].site,
			k < ctx->options.voters ? "true" : "false");
		if (ctx->options.proxies && k != i)
			g_string_append_printf(text,
					       "via = \"tcp://127.0.0.1:%u\"\n",
					       ctx->proxy_ports[i][k]);
	}
	g_string_append_printf(text, "[timing]\n%s",
			       ctx->options.timing ? ctx->options.timing
						   : default_timing);
	g_string_append_printf(text, "[limits]\n%s",
			       ctx->options.limits ? ctx->options.limits
						   : default_limits);
	g_file_set_contents(self->settings_path, text->str, (gssize)text->len,
			    NULL);
	g_string_free(text, TRUE);
}

static void init_instance(struct cluster *ctx, size_t i)
{
	const char *site = ctx->options.sites[i];
	struct instance *self = &ctx->instances[i];

	snprintf(self->id, sizeof(self->id), "node%zu", i + 1);
	self->site =
		site ? g_strdup(site) : g_strdup_printf("site%zu", i % 3 + 1);
	if (i < ctx->options.voters)
		self->data_folder =
			g_strdup_printf("%s/%s.data", ctx->folder, self->id);
	self->settings_path =
		g_strdup_printf("%s/%s.toml", ctx->folder, self->id);
	self->log_path = g_strdup_printf("%s/%s.log", ctx->folder, self->id);
	self->internal_port = proc_free_port();
	snprintf(self->http, sizeof(self->http), "127.0.0.1:%u",
		 proc_free_port());
}

static void start_proxies(struct cluster *ctx)
{
	for (size_t from = 0; from < ctx->options.instances; from++)
		for (size_t to = 0; to < ctx->options.instances; to++) {
			uint16_t port;

			if (from == to)
				continue;
			port = proc_free_port();
			ctx->proxy_ports[from][to] = port;
			ctx->proxies[from][to] = proxy_start(
				port, ctx->instances[to].internal_port);
		}
}

/* Creates the folder, ports, settings and proxies of a cluster; no process is
 * started. */
struct cluster *cluster_new(const struct cluster_options *options)
{
	struct cluster *ctx = g_new0(struct cluster, 1);
	GString *addresses = g_string_new(NULL);

	signal(SIGPIPE, SIG_IGN);
	ctx->options = *options;
	ctx->folder = proc_temp_folder();
	ctx->program = cluster_program("dandelionspar");
	for (size_t i = 0; i < options->instances; i++) {
		init_instance(ctx, i);
		g_string_append_printf(addresses, "%s%s", i ? "," : "",
				       ctx->instances[i].http);
	}
	ctx->addresses = g_string_free(addresses, FALSE);
	if (options->proxies)
		start_proxies(ctx);
	for (size_t i = 0; i < options->instances; i++)
		write_settings(ctx, i);
	return ctx;
}

static void free_endpoint(struct endpoint *endpoint)
{
	proc_kill(endpoint->pid);
	proxy_stop(endpoint->proxy);
	g_free(endpoint->id);
	g_ptr_array_free(endpoint->argv, TRUE);
}

/* Kills all processes and frees the cluster; removes its folder unless keep. */
void cluster_free(struct cluster *ctx, bool keep)
{
	for (size_t i = 0; i < ctx->n_endpoints; i++)
		free_endpoint(&ctx->endpoints[i]);
	for (size_t i = 0; i < ctx->options.instances; i++) {
		struct instance *self = &ctx->instances[i];

		proc_kill(self->pid);
		g_free(self->site);
		g_free(self->data_folder);
		g_free(self->settings_path);
		g_free(self->log_path);
	}
	for (size_t from = 0; from < ctx->options.instances; from++)
		for (size_t to = 0; to < ctx->options.instances; to++)
			proxy_stop(ctx->proxies[from][to]);
	if (keep)
		fprintf(stderr, "files are kept in %s\n", ctx->folder);
	else
		proc_remove_folder(ctx->folder);
	g_free(ctx->folder);
	g_free(ctx->addresses);
	g_free(ctx->program);
	g_free(ctx);
}

/* Starts one instance. */
void cluster_start(struct cluster *ctx, size_t i)
{
	struct instance *self = &ctx->instances[i];
	const char *const argv[] = { ctx->program, "run", "--settings",
				     self->settings_path, NULL };

	self->pid = proc_start(argv, self->log_path);
}

/* Starts all instances. */
void cluster_start_all(struct cluster *ctx)
{
	for (size_t i = 0; i < ctx->options.instances; i++)
		cluster_start(ctx, i);
}

/* Kills an instance with SIGKILL. */
void cluster_kill(struct cluster *ctx, size_t i)
{
	proc_kill(ctx->instances[i].pid);
	ctx->instances[i].pid = 0;
}

/* Suspends an instance with SIGSTOP until cluster_thaw(). */
void cluster_freeze(struct cluster *ctx, size_t i)
{
	kill(ctx->instances[i].pid, SIGSTOP);
}

/* Resumes a suspended instance. */
void cluster_thaw(struct cluster *ctx, size_t i)
{
	kill(ctx->instances[i].pid, SIGCONT);
}

/* Sends SIGTERM and waits; returns the exit code, or -1 after timeout_ms. */
int cluster_stop(struct cluster *ctx, size_t i, int timeout_ms)
{
	int code;

	kill(ctx->instances[i].pid, SIGTERM);
	code = proc_wait(ctx->instances[i].pid, timeout_ms);
	if (code >= 0)
		ctx->instances[i].pid = 0;
	return code;
}

/* Removes the data folder of a stopped instance. */
void cluster_wipe(struct cluster *ctx, size_t i)
{
	proc_remove_folder(ctx->instances[i].data_folder);
}

static void set_drop(struct proxy *proxy, bool on)
{
	proxy_drop(proxy, PROXY_TO_TARGET, on);
	proxy_drop(proxy, PROXY_TO_CLIENT, on);
	/* A connection that lost part of a message cannot continue. */
	if (!on)
		proxy_break_open(proxy);
}

/* Drops all messages between an instance and the others, or ends that. Needs
 * proxies. */
void cluster_isolate(struct cluster *ctx, size_t i, bool on)
{
	for (size_t k = 0; k < ctx->options.instances; k++) {
		if (k == i)
			continue;
		set_drop(ctx->proxies[i][k], on);
		set_drop(ctx->proxies[k][i], on);
	}
}

/* Drops the messages that an instance sends, not those it receives, or ends
 * that. Needs proxies. */
void cluster_mute(struct cluster *ctx, size_t i, bool on)
{
	for (size_t k = 0; k < ctx->options.instances; k++)
		if (k != i)
			set_drop(ctx->proxies[i][k], on);
}

static void add_argument(GPtrArray *argv, const char *name, const char *value)
{
	g_ptr_array_add(argv, g_strdup(name));
	if (value)
		g_ptr_array_add(argv, g_strdup(value));
}

static void start_endpoint_process(struct cluster *ctx,
				   struct endpoint *endpoint)
{
	char *log = g_strdup_printf("%s/%s.log", ctx->folder, endpoint->id);

	endpoint->pid =
		proc_start((const char *const *)endpoint->argv->pdata, log);
	g_free(log);
}

/* Starts a fake endpoint behind a proxy and returns its number. args: options
 * of build/fake_endpoint, ended by NULL; NULL: none. */
size_t cluster_start_endpoint(struct cluster *ctx, const char *id,
			      const char *const *args)
{
	size_t number = ctx->n_endpoints++;
	struct endpoint *endpoint = &ctx->endpoints[number];
	uint16_t port = proc_free_port();
	uint16_t proxy_port = proc_free_port();
	char *record = g_strdup_printf("%s/record", ctx->folder);
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);

	endpoint->id = g_strdup(id);
	snprintf(endpoint->address, sizeof(endpoint->address), "127.0.0.1:%u",
		 proxy_port);
	endpoint->proxy = proxy_start(proxy_port, port);
	g_ptr_array_add(argv, cluster_program("fake_endpoint"));
	add_argument(argv, "--id", id);
	add_argument(argv, "--address", address);
	add_argument(argv, "--advertise", endpoint->address);
	add_argument(argv, "--entries", ctx->addresses);
	add_argument(argv, "--record", record);
	for (size_t i = 0; args && args[i]; i++)
		add_argument(argv, args[i], NULL);
	g_ptr_array_add(argv, NULL);
	endpoint->argv = argv;
	start_endpoint_process(ctx, endpoint);
	g_free(address);
	g_free(record);
	return number;
}

/* Kills an endpoint with SIGKILL. */
void cluster_kill_endpoint(struct cluster *ctx, size_t endpoint)
{
	proc_kill(ctx->endpoints[endpoint].pid);
	ctx->endpoints[endpoint].pid = 0;
}

/* Sends a signal to an endpoint. */
void cluster_signal_endpoint(struct cluster *ctx, size_t endpoint, int signal)
{
	kill(ctx->endpoints[endpoint].pid, signal);
}

/* Returns whether an endpoint's process has exited by itself. */
bool cluster_endpoint_exited(struct cluster *ctx, size_t endpoint)
{
	pid_t pid = ctx->endpoints[endpoint].pid;

	return pid > 0 && proc_wait(pid, 0) >= 0;
}

/* Restarts an endpoint that was killed or has crashed, with the same address
 * and options, as a new incarnation. */
void cluster_restart_endpoint(struct cluster *ctx, size_t endpoint)
{
	cluster_kill_endpoint(ctx, endpoint);
	start_endpoint_process(ctx, &ctx->endpoints[endpoint]);
}

/* Returns the temporary folder. */
const char *cluster_folder(const struct cluster *ctx)
{
	return ctx->folder;
}

/* Returns the IP:PORT of an instance's HTTP server. */
const char *cluster_http(const struct cluster *ctx, size_t i)
{
	return ctx->instances[i].http;
}

/* Returns the HTTP addresses of all instances, comma-separated. */
const char *cluster_addresses(const struct cluster *ctx)
{
	return ctx->addresses;
}

/* Returns the process id of an instance; 0 after a stop or kill. */
pid_t cluster_pid(const struct cluster *ctx, size_t i)
{
	return ctx->instances[i].pid;
}

/* Returns the path of an instance's log file; g_free(). */
char *cluster_log_path(const struct cluster *ctx, size_t i)
{
	return g_strdup(ctx->instances[i].log_path);
}

/* Returns the data folder of an instance, or NULL; g_free(). */
char *cluster_data_folder(const struct cluster *ctx, size_t i)
{
	return g_strdup(ctx->instances[i].data_folder);
}

/* Returns the proxy of messages from one instance to another. */
struct proxy *cluster_proxy(const struct cluster *ctx, size_t from, size_t to)
{
	return ctx->proxies[from][to];
}

/* Returns the proxy of callers' and instances' connections to an endpoint. */
struct proxy *cluster_endpoint_proxy(const struct cluster *ctx, size_t endpoint)
{
	return ctx->endpoints[endpoint].proxy;
}

/* Returns the IP:PORT that an endpoint announces. */
const char *cluster_endpoint_address(const struct cluster *ctx, size_t endpoint)
{
	return ctx->endpoints[endpoint].address;
}

/* Returns /v1/status of an instance, or NULL if the call fails;
 * json_decref(). */
json_t *cluster_status(const struct cluster *ctx, size_t i)
{
	struct http_call call = { .address = cluster_http(ctx, i),
				  .path = "/v1/status",
				  .timeout_ms = CALL_TIMEOUT_MS };
	struct http_reply reply = http_call(&call);
	json_t *root = reply.status == 200 ? http_json(&reply) : NULL;

	http_reply_clear(&reply);
	return root;
}

/* Returns all events that endpoints recorded, in file order; json_decref(). */
json_t *cluster_record(const struct cluster *ctx)
{
	char *path = g_strdup_printf("%s/record", ctx->folder);
	json_t *events = json_array();
	char **lines = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines && lines[i]; i++) {
		json_t *event = json_loads(lines[i], 0, NULL);

		if (event)
			json_array_append_new(events, event);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return events;
}

static void print_log_tail(const char *path)
{
	char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return;
	fprintf(stderr, "--- end of %s\n%s", path,
		text + (len > LOG_TAIL_BYTES ? len - LOG_TAIL_BYTES : 0));
	g_free(text);
}

struct wait_condition {
	struct cluster *ctx;
	size_t instance;
	const char *team;
	const char *model;
	uint64_t number;
};

static bool check_wait(const struct wait_condition *wait, const char *what,
		       bool ok)
{
	if (ok)
		return true;
	fprintf(stderr, "instance %zu: timed out waiting for %s\n",
		wait->instance + 1, what);
	for (size_t i = 0; i < wait->ctx->options.instances; i++)
		print_log_tail(wait->ctx->instances[i].log_path);
	return false;
}

static bool is_serving(void *data)
{
	const struct wait_condition *wait = data;
	struct http_call call = { .address = cluster_http(wait->ctx,
							  wait->instance),
				  .path = "/healthz",
				  .timeout_ms = CALL_TIMEOUT_MS };
	struct http_reply reply = http_call(&call);
	bool ok = reply.status == 200;

	http_reply_clear(&reply);
	return ok;
}

/* Waits until an instance serves requests; on a timeout prints the end of all
 * instances' logs and returns false, like the other waits below. */
bool cluster_wait_serving(struct cluster *ctx, size_t i, int timeout_ms)
{
	struct wait_condition wait = { .ctx = ctx, .instance = i };

	return check_wait(&wait, "serving",
			  proc_wait_for(is_serving, &wait, timeout_ms));
}

/* Waits until all instances serve requests; timeout_ms is for each of them. */
bool cluster_wait_all_serving(struct cluster *ctx, int timeout_ms)
{
	for (size_t i = 0; i < ctx->options.instances; i++)
		if (!cluster_wait_serving(ctx, i, timeout_ms))
			return false;
	return true;
}

static bool lists_ready_model(const json_t *root, const char *name)
{
	const json_t *model;
	size_t i;

	json_array_foreach(json_object_get(root, "data"), i, model) if (
		!g_strcmp0(json_string_value(json_object_get(model, "id")),
			   name)) return json_is_true(json_object_get(model,
								      "ready"));
	return false;
}

static bool has_model(void *data)
{
	const struct wait_condition *wait = data;
	char *team = g_strdup_printf("X-Team: %s", wait->team);
	const char *const headers[] = { team, NULL };
	struct http_call call = { .address = cluster_http(wait->ctx,
							  wait->instance),
				  .path = "/v1/models",
				  .headers = headers,
				  .timeout_ms = CALL_TIMEOUT_MS };
	struct http_reply reply = http_call(&call);
	json_t *root = http_json(&reply);
	bool ok = lists_ready_model(root, wait->model);

	json_decref(root);
	http_reply_clear(&reply);
	g_free(team);
	return ok;
}

/* Waits until an instance lists a ready copy of a model, "model" or
 * "model:adapter". */
bool cluster_wait_model(struct cluster *ctx, size_t i, const char *team,
			const char *model, int timeout_ms)
{
	struct wait_condition wait = {
		.ctx = ctx, .instance = i, .team = team, .model = model
	};

	return check_wait(&wait, model,
			  proc_wait_for(has_model, &wait, timeout_ms));
}

static bool has_document(void *data)
{
	const struct wait_condition *wait = data;
	char *path = g_strdup_printf("/v1/documents/%s", wait->team);
	struct http_call call = { .address = cluster_http(wait->ctx,
							  wait->instance),
				  .path = path,
				  .timeout_ms = CALL_TIMEOUT_MS };
	struct http_reply reply = http_call(&call);
	char *number = http_header(&reply, "X-Document-Number");
	bool ok = reply.status == 200 && number &&
		  strtoull(number, NULL, 10) >= wait->number;

	g_free(number);
	http_reply_clear(&reply);
	g_free(path);
	return ok;
}

/* Waits until an instance has a document with at least this number in force. */
bool cluster_wait_document(struct cluster *ctx, size_t i, const char *team,
			   uint64_t number, int timeout_ms)
{
	struct wait_condition wait = {
		.ctx = ctx, .instance = i, .team = team, .number = number
	};

	return check_wait(&wait, "the document",
			  proc_wait_for(has_document, &wait, timeout_ms));
}
