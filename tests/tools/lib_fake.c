#include "lib_fake.h"

#include <civetweb.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#define RESULTS_MAX 64
#define TARGETS_MAX 4
#define BODY_BYTES_MAX (16 << 20)
#define TOKEN_BYTES 32

struct fake_copy {
	TAILQ_ENTRY(fake_copy) link;
	char *model;
	char *version;
	char *adapter;
	uint32_t first;
	uint32_t accelerators;
	uint32_t memory_mb;
	uint64_t order;
	int64_t ready_us;
	bool ready;
	uint64_t unload_order; /* 0: none; ends when users is 0 */
	uint32_t users;
};

struct fake_call {
	TAILQ_ENTRY(fake_call) link;
	const char *attempt; /* borrowed from the request */
	bool cancelled;
};

struct fake_result {
	uint64_t order;
	const char *state;
};

TAILQ_HEAD(fake_copy_list, fake_copy);
TAILQ_HEAD(fake_call_list, fake_call);

struct fake {
	struct fake_options options; /* strings borrowed from the caller */
	uint64_t incarnation;	     /* fixed */
	struct mg_context *server;   /* main thread */
	pthread_t announcer;	     /* main thread */
	int record_fd;		     /* fixed */

	pthread_mutex_t lock;  /* guards everything below */
	pthread_cond_t wakeup; /* announcer */
	struct fake_copy_list copies;
	struct fake_call_list calls;
	struct fake_result results[RESULTS_MAX]; /* ring */
	uint64_t n_results;
	uint64_t highest_fence;
	uint64_t load_sequence;
	uint32_t running;
	uint64_t runs;
	uint64_t overcommits;
	bool leaving;
	bool stopping;
	const char *role;
	char *announce_to[TARGETS_MAX]; /* owned */
};

const struct fake_options fake_defaults = {
	.site = "site1",
	.team = "demo",
	.service = "engine",
	.checks_incarnation = true,
	.fencing = true,
	.cancel = true,
	.resume = true,
	.accelerators = 1,
	.memory_mb = 80000,
	.max_batch = 32,
	.threads = 64,
	.load_ms = 50,
	.adapter_load_ms = 8,
	.first_token_us = 5000,
	.token_us = 2000,
	.tokens = 16,
	.service_us = 1000,
	.announce_ms = 200,
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void sleep_until_us(int64_t when)
{
	struct timespec ts = { .tv_sec = when / 1000000,
			       .tv_nsec = when % 1000000 * 1000 };

	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL))
		continue;
}

/* Appends an event to the record file as one JSON line; takes ownership of the
 * event. */
static void record_event(struct fake *ctx, json_t *event)
{
	char *line;
	char *text;

	if (ctx->record_fd < 0)
		goto out;
	json_object_set_new(event, "endpoint", json_string(ctx->options.id));
	json_object_set_new(event, "incarnation",
			    json_integer((json_int_t)ctx->incarnation));
	json_object_set_new(event, "us", json_integer(now_us()));
	line = json_dumps(event, JSON_COMPACT);
	text = g_strconcat(line, "\n", NULL);
	if (write(ctx->record_fd, text, strlen(text)) < 0)
		perror("fake endpoint: record");
	g_free(text);
	free(line);
out:
	json_decref(event);
}

/* Writes the token at position i of the answer to a prompt. */
static void token_text(const char *model, const char *prompt, uint32_t i,
		       char out[TOKEN_BYTES])
{
	uint64_t seed = XXH3_64bits(prompt, strlen(prompt)) ^
			XXH3_64bits(model, strlen(model));
	uint64_t hash = XXH3_64bits_withSeed(&i, sizeof(i), seed);

	snprintf(out, TOKEN_BYTES, "w%u-%04" PRIx64 " ", i, hash & 0xffff);
}

/* Returns the whole deterministic answer to a prompt; g_free(). */
char *fake_answer(const char *model, const char *prompt, uint32_t tokens)
{
	GString *out = g_string_new(NULL);
	char token[TOKEN_BYTES];

	for (uint32_t i = 0; i < tokens; i++) {
		token_text(model, prompt, i, token);
		g_string_append(out, token);
	}
	return g_string_free(out, FALSE);
}

static int send_json(struct mg_connection *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  status, mg_get_response_code_text(conn, status), strlen(text),
		  text);
	free(text);
	json_decref(body);
	return status;
}

static int send_error(struct mg_connection *conn, int status, const char *code)
{
	return send_json(conn, status,
			 json_pack("{s:{s:s}}", "error", "code", code));
}

static char *read_body(struct mg_connection *conn, size_t *len)
{
	GString *body = g_string_new(NULL);
	char chunk[8192];
	int n;

	while (body->len < BODY_BYTES_MAX &&
	       (n = mg_read(conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(body, chunk, n);
	*len = body->len;
	return g_string_free(body, FALSE);
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static uint64_t get_number(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}

/* ---- Copies and orders; the lock is held ---- */

static struct fake_copy *find_copy(struct fake *ctx, const char *model,
				   const char *adapter, int64_t accelerator)
{
	struct fake_copy *copy;

	TAILQ_FOREACH (copy, &ctx->copies, link)
		if (!strcmp(copy->model, model) &&
		    !strcmp(copy->adapter, adapter) &&
		    (accelerator < 0 || copy->first == accelerator))
			return copy;
	return NULL;
}

static uint32_t used_mb(struct fake *ctx, uint32_t accelerator)
{
	struct fake_copy *copy;
	uint32_t used = 0;

	TAILQ_FOREACH (copy, &ctx->copies, link)
		if (accelerator >= copy->first &&
		    accelerator < copy->first + copy->accelerators)
			used += copy->memory_mb;
	return used;
}

static void add_result(struct fake *ctx, uint64_t order, const char *state)
{
	ctx->results[ctx->n_results++ % RESULTS_MAX] =
		(struct fake_result){ .order = order, .state = state };
	pthread_cond_signal(&ctx->wakeup);
}

static void remove_copy(struct fake *ctx, struct fake_copy *copy)
{
	TAILQ_REMOVE(&ctx->copies, copy, link);
	g_free(copy->model);
	g_free(copy->version);
	g_free(copy->adapter);
	g_free(copy);
}

/* Finishes loads whose time has passed, and unloads of copies that no request
 * uses any more. */
static void update_copies(struct fake *ctx)
{
	struct fake_copy *copy = TAILQ_FIRST(&ctx->copies);
	struct fake_copy *next;

	for (; copy; copy = next) {
		next = TAILQ_NEXT(copy, link);
		if (!copy->ready && now_us() >= copy->ready_us) {
			copy->ready = true;
			add_result(ctx, copy->order, "done");
		}
		if (!copy->unload_order || copy->users)
			continue;
		add_result(ctx, copy->unload_order, "done");
		record_event(ctx, json_pack("{s:s, s:s, s:s}", "event",
					    "unloaded", "model", copy->model,
					    "adapter", copy->adapter));
		remove_copy(ctx, copy);
	}
}

static void check_memory(struct fake *ctx, const struct fake_copy *copy)
{
	for (uint32_t i = 0; i < copy->accelerators; i++) {
		uint32_t used = used_mb(ctx, copy->first + i);

		if (copy->first + i < ctx->options.accelerators &&
		    used <= ctx->options.memory_mb)
			continue;
		ctx->overcommits++;
		record_event(ctx, json_pack("{s:s, s:i, s:i, s:s}", "event",
					    "overcommit", "accelerator",
					    (int)(copy->first + i), "used_mb",
					    (int)used, "model", copy->model));
	}
}

static void start_load(struct fake *ctx, const json_t *order)
{
	const char *adapter = get_string(order, "adapter");
	uint32_t first = (uint32_t)get_number(order, "first_accelerator");
	uint32_t load_ms = adapter[0] ? ctx->options.adapter_load_ms
				      : ctx->options.load_ms;
	struct fake_copy *copy;

	copy = find_copy(ctx, get_string(order, "model"), adapter, first);
	if (copy && !strcmp(copy->version, get_string(order, "version"))) {
		if (copy->ready)
			add_result(ctx, get_number(order, "order"), "done");
		return;
	}
	copy = g_new0(struct fake_copy, 1);
	copy->model = g_strdup(get_string(order, "model"));
	copy->version = g_strdup(get_string(order, "version"));
	copy->adapter = g_strdup(adapter);
	copy->first = first;
	copy->accelerators = (uint32_t)get_number(order, "accelerators");
	copy->memory_mb = (uint32_t)get_number(order, "memory_mb");
	copy->order = get_number(order, "order");
	copy->ready_us = now_us() + (int64_t)load_ms * 1000;
	TAILQ_INSERT_TAIL(&ctx->copies, copy, link);
	check_memory(ctx, copy);
}

static void start_unload(struct fake *ctx, const json_t *order)
{
	struct fake_copy *copy;

	copy = find_copy(ctx, get_string(order, "model"),
			 get_string(order, "adapter"),
			 (int64_t)get_number(order, "first_accelerator"));
	if (copy)
		copy->unload_order = get_number(order, "order");
	else
		add_result(ctx, get_number(order, "order"), "done");
}

static void set_role(struct fake *ctx, const json_t *order)
{
	static const char *const roles[] = { "both", "prefill", "decode" };

	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
		if (!strcmp(get_string(order, "role"), roles[i]))
			ctx->role = roles[i];
	add_result(ctx, get_number(order, "order"), "done");
}

static bool accepts_order(const struct fake *ctx, const json_t *order)
{
	if (ctx->options.fencing &&
	    get_number(order, "fence") < ctx->highest_fence)
		return false;
	return !ctx->options.checks_incarnation ||
	       get_number(order, "incarnation") == ctx->incarnation;
}

static bool run_order(struct fake *ctx, const json_t *order)
{
	const char *kind = get_string(order, "kind");
	uint64_t fence = get_number(order, "fence");

	if (!accepts_order(ctx, order))
		return false;
	if (fence > ctx->highest_fence)
		ctx->highest_fence = fence;
	if (!strcmp(kind, "load"))
		start_load(ctx, order);
	else if (!strcmp(kind, "unload"))
		start_unload(ctx, order);
	else if (!strcmp(kind, "role"))
		set_role(ctx, order);
	else
		add_result(ctx, get_number(order, "order"), "done");
	update_copies(ctx);
	return true;
}

static int on_order(struct mg_connection *conn, void *data)
{
	struct fake *ctx = data;
	bool accepted;
	size_t len;
	char *body = read_body(conn, &len);
	json_t *order = json_loadb(body, len, 0, NULL);

	g_free(body);
	if (!order)
		return send_error(conn, 400, "bad_order");
	record_event(ctx,
		     json_pack("{s:s, s:O}", "event", "order", "order", order));
	pthread_mutex_lock(&ctx->lock);
	accepted = run_order(ctx, order);
	pthread_mutex_unlock(&ctx->lock);
	json_decref(order);
	if (!accepted)
		return send_error(conn, 409, "stale_fence");
	return send_json(conn, 202, json_pack("{s:s}", "state", "accepted"));
}

/* ---- Announcements ---- */

static json_t *copies_json(struct fake *ctx)
{
	json_t *list = json_array();
	struct fake_copy *copy;

	TAILQ_FOREACH (copy, &ctx->copies, link)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:i, s:i, s:I, s:i, s:b, "
				  "s:b}",
				  "model", copy->model, "version",
				  copy->version, "adapter", copy->adapter,
				  "first_accelerator", (int)copy->first,
				  "accelerators", (int)copy->accelerators,
				  "order", (json_int_t)copy->order, "memory_mb",
				  (int)copy->memory_mb, "ready", copy->ready,
				  "unloading", copy->unload_order != 0));
	return list;
}

static json_t *results_json(struct fake *ctx)
{
	uint64_t n = MIN(ctx->n_results, RESULTS_MAX);
	json_t *list = json_array();

	for (uint64_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:I, s:s}", "order",
					(json_int_t)ctx->results[i].order,
					"state", ctx->results[i].state));
	return list;
}

static json_t *load_json(struct fake *ctx)
{
	uint32_t batch = ctx->options.max_batch;
	uint32_t running = MIN(ctx->running, batch);

	return json_pack("{s:I, s:i, s:i, s:i}", "sequence",
			 (json_int_t)++ctx->load_sequence, "running",
			 (int)running, "waiting", (int)(ctx->running - running),
			 "kv_used_permille", (int)(running * 1000 / batch));
}

static json_t *features_json(const struct fake_options *o)
{
	return json_pack("{s:b, s:b, s:b, s:b, s:b, s:b, s:b}", "fencing",
			 o->fencing, "checks_incarnation",
			 o->checks_incarnation, "cancel", o->cancel, "resume",
			 o->resume, "priorities", 1, "kv_transfer", 0, "roles",
			 o->roles);
}

static char *announcement(struct fake *ctx)
{
	const struct fake_options *o = &ctx->options;
	char *address;
	json_t *root;
	char *text;

	address = g_strconcat("http://",
			      o->advertise ? o->advertise : o->address, NULL);
	pthread_mutex_lock(&ctx->lock);
	update_copies(ctx);
	root = json_pack(
		"{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, "
		"s:i, s:b, s:I, s:o, s:o, s:o, s:o}",
		"id", o->id, "incarnation", (json_int_t)ctx->incarnation,
		"address", address, "site", o->site, "team", o->team, "service",
		o->service, "kind", o->plain ? "service" : "engine", "role",
		ctx->role, "accelerators",
		(int)(o->plain ? 0 : o->accelerators), "accelerator_memory_mb",
		(int)(o->plain ? 0 : o->memory_mb), "max_batch",
		(int)o->max_batch, "leaving", ctx->leaving, "highest_fence",
		(json_int_t)ctx->highest_fence, "features", features_json(o),
		"load", load_json(ctx), "copies", copies_json(ctx), "results",
		results_json(ctx));
	pthread_mutex_unlock(&ctx->lock);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	g_free(address);
	return text;
}

static size_t append_to_string(char *bytes, size_t size, size_t n, void *data)
{
	g_string_append_len(data, bytes, (gssize)(size * n));
	return size * n;
}

/* Sets the targets from the answer's "announce_to". */
static void set_targets(struct fake *ctx, const GString *answer)
{
	json_t *root = json_loadb(answer->str, answer->len, 0, NULL);
	const json_t *list = json_object_get(root, "announce_to");
	size_t n = json_array_size(list);

	pthread_mutex_lock(&ctx->lock);
	for (size_t i = 0; n && i < TARGETS_MAX; i++) {
		g_free(ctx->announce_to[i]);
		ctx->announce_to[i] =
			g_strdup(json_string_value(json_array_get(list, i)));
	}
	pthread_mutex_unlock(&ctx->lock);
	json_decref(root);
}

static bool announce_to_target(struct fake *ctx, const char *address,
			       const char *body)
{
	char *url = g_strdup_printf("http://%s/v1/endpoints/announce", address);
	GString *answer = g_string_new(NULL);
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	long status = 0;
	CURLcode code;

	headers = curl_slist_append(headers, "Content-Type: application/json");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_to_string);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 200)
		set_targets(ctx, answer);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	g_string_free(answer, TRUE);
	g_free(url);
	return code == CURLE_OK && status == 200;
}

/* Announces to the targets that the last answer named; if none of them answers,
 * to the first entry of the options that does. */
static void announce_all(struct fake *ctx)
{
	char *targets[TARGETS_MAX];
	char *body = announcement(ctx);
	char **entries;
	bool any = false;

	pthread_mutex_lock(&ctx->lock);
	for (size_t i = 0; i < TARGETS_MAX; i++)
		targets[i] = g_strdup(ctx->announce_to[i]);
	pthread_mutex_unlock(&ctx->lock);
	for (size_t i = 0; i < TARGETS_MAX; i++) {
		if (targets[i])
			any = announce_to_target(ctx, targets[i], body) || any;
		g_free(targets[i]);
	}
	entries = g_strsplit(ctx->options.entries, ",", -1);
	for (size_t i = 0; !any && entries[i] && entries[i][0]; i++)
		any = announce_to_target(ctx, entries[i], body);
	g_strfreev(entries);
	free(body);
}

/* Waits one announcement interval, or until the announcer is woken for a new
 * order result, a leave or a stop. Returns false to stop. */
static bool wait_for_interval(struct fake *ctx)
{
	int64_t until = now_us() + (int64_t)ctx->options.announce_ms * 1000;
	struct timespec ts = { .tv_sec = until / 1000000,
			       .tv_nsec = until % 1000000 * 1000 };
	bool stopping;

	pthread_mutex_lock(&ctx->lock);
	if (!ctx->stopping)
		pthread_cond_timedwait(&ctx->wakeup, &ctx->lock, &ts);
	stopping = ctx->stopping;
	pthread_mutex_unlock(&ctx->lock);
	return !stopping;
}

static void *announcer_main(void *data)
{
	struct fake *ctx = data;

	do
		announce_all(ctx);
	while (wait_for_interval(ctx));
	return NULL;
}

/* ---- Requests ---- */

static void begin_call(struct fake *ctx, struct fake_call *call,
		       const char *attempt)
{
	call->attempt = attempt;
	pthread_mutex_lock(&ctx->lock);
	TAILQ_INSERT_TAIL(&ctx->calls, call, link);
	ctx->running++;
	ctx->runs++;
	pthread_mutex_unlock(&ctx->lock);
}

static void end_call(struct fake *ctx, struct fake_call *call, bool whole)
{
	pthread_mutex_lock(&ctx->lock);
	TAILQ_REMOVE(&ctx->calls, call, link);
	ctx->running--;
	pthread_mutex_unlock(&ctx->lock);
	record_event(ctx, json_pack("{s:s, s:s, s:b}", "event", "end",
				    "attempt", call->attempt, "whole", whole));
}

static bool is_cancelled(struct fake *ctx, const struct fake_call *call)
{
	bool cancelled;

	pthread_mutex_lock(&ctx->lock);
	cancelled = call->cancelled;
	pthread_mutex_unlock(&ctx->lock);
	return cancelled;
}

/* Returns the time between tokens. Above the batch size it grows in proportion,
 * as requests then share the accelerator. */
static int64_t token_interval_us(struct fake *ctx)
{
	uint32_t batch = ctx->options.max_batch;
	int64_t interval = ctx->options.token_us;

	pthread_mutex_lock(&ctx->lock);
	if (ctx->running > batch)
		interval = interval * ctx->running / batch;
	pthread_mutex_unlock(&ctx->lock);
	return interval;
}

static bool send_event(struct mg_connection *conn, const char *text, bool chat)
{
	json_t *chunk = chat ? json_pack("{s:[{s:i, s:{s:s}}]}", "choices",
					 "index", 0, "delta", "content", text)
			     : json_pack("{s:[{s:i, s:s}]}", "choices", "index",
					 0, "text", text);
	char *json = json_dumps(chunk, JSON_COMPACT);
	char *event = g_strdup_printf("data: %s\n\n", json);
	int sent = mg_send_chunk(conn, event, (unsigned)strlen(event));

	g_free(event);
	free(json);
	json_decref(chunk);
	return sent > 0;
}

struct fake_completion {
	json_t *request; /* owned */
	const char *model;
	const char *prompt;
	uint32_t offset; /* first token to send */
	uint32_t tokens;
	bool chat;
};

/* Returns the text that determines the answer: the last chat message or the
 * prompt. */
static const char *get_prompt(const json_t *request)
{
	const json_t *messages = json_object_get(request, "messages");
	size_t n = json_array_size(messages);

	if (n)
		return get_string(json_array_get(messages, n - 1), "content");
	return get_string(request, "prompt");
}

static bool read_completion(struct fake *ctx, struct mg_connection *conn,
			    struct fake_completion *out)
{
	const char *resume = mg_get_header(conn, "X-Resume-Offset");
	size_t len;
	char *body = read_body(conn, &len);

	out->request = json_loadb(body, len, 0, NULL);
	g_free(body);
	if (!out->request)
		return false;
	out->model = get_string(out->request, "model");
	out->prompt = get_prompt(out->request);
	out->tokens = (uint32_t)get_number(out->request, "max_tokens");
	if (!out->tokens)
		out->tokens = ctx->options.tokens;
	if (resume && ctx->options.resume)
		out->offset = (uint32_t)strtoul(resume, NULL, 10);
	out->chat = strstr(mg_get_request_info(conn)->local_uri, "chat");
	return true;
}

/* Streams the tokens from the offset; false if the client disconnected or
 * cancelled the call. */
static bool stream_tokens(struct fake *ctx, struct mg_connection *conn,
			  const struct fake_call *call,
			  const struct fake_completion *c)
{
	int64_t when = now_us() + ctx->options.first_token_us;
	static const char done[] = "data: [DONE]\n\n";
	char token[TOKEN_BYTES];

	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
	for (uint32_t i = c->offset; i < c->tokens; i++) {
		sleep_until_us(when);
		if (is_cancelled(ctx, call))
			return false;
		token_text(c->model, c->prompt, i, token);
		if (!send_event(conn, token, c->chat))
			return false;
		when += token_interval_us(ctx);
	}
	mg_send_chunk(conn, done, sizeof(done) - 1);
	return mg_send_chunk(conn, "", 0) >= 0;
}

/* Finds the ready copy of "model" or "model:adapter" and counts one user. */
static struct fake_copy *use_copy(struct fake *ctx, const char *name)
{
	char **parts = g_strsplit(name, ":", 2);
	const char *adapter = parts[0] && parts[1] ? parts[1] : "";
	struct fake_copy *copy;

	pthread_mutex_lock(&ctx->lock);
	update_copies(ctx);
	copy = find_copy(ctx, parts[0] ? parts[0] : "", adapter, -1);
	if (copy && copy->ready)
		copy->users++;
	else
		copy = NULL;
	pthread_mutex_unlock(&ctx->lock);
	g_strfreev(parts);
	return copy;
}

static void release_copy(struct fake *ctx, struct fake_copy *copy)
{
	pthread_mutex_lock(&ctx->lock);
	copy->users--;
	update_copies(ctx);
	pthread_mutex_unlock(&ctx->lock);
}

static void crash_if_configured(struct fake *ctx, const char *prompt,
				const char *attempt)
{
	if (!ctx->options.crash_on || !strstr(prompt, ctx->options.crash_on))
		return;
	record_event(ctx, json_pack("{s:s, s:s}", "event", "crash", "attempt",
				    attempt));
	_exit(70);
}

static const char *get_attempt(struct mg_connection *conn)
{
	const char *attempt = mg_get_header(conn, "X-Request-Id");

	return attempt ? attempt : "";
}

static int on_completion(struct mg_connection *conn, void *data)
{
	const char *attempt = get_attempt(conn);
	struct fake_completion c = { 0 };
	struct fake_call call = { 0 };
	struct fake *ctx = data;
	struct fake_copy *copy;
	int status = 200;

	if (!read_completion(ctx, conn, &c))
		return send_error(conn, 400, "bad_json");
	copy = use_copy(ctx, c.model);
	if (!copy) {
		status = send_error(conn, 503, "overloaded");
		goto out;
	}
	begin_call(ctx, &call, attempt);
	record_event(ctx, json_pack("{s:s, s:s, s:s, s:s}", "event", "start",
				    "attempt", attempt, "model", c.model,
				    "prompt", c.prompt));
	crash_if_configured(ctx, c.prompt, attempt);
	end_call(ctx, &call, stream_tokens(ctx, conn, &call, &c));
	release_copy(ctx, copy);
out:
	json_decref(c.request);
	return status;
}

static int on_cancel(struct mg_connection *conn, void *data)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	const char *attempt = strrchr(uri, '/') + 1;
	struct fake *ctx = data;
	struct fake_call *call;
	bool found = false;

	pthread_mutex_lock(&ctx->lock);
	TAILQ_FOREACH (call, &ctx->calls, link) {
		if (strcmp(call->attempt, attempt))
			continue;
		call->cancelled = ctx->options.cancel;
		found = true;
	}
	pthread_mutex_unlock(&ctx->lock);
	return send_json(conn, found ? 200 : 404,
			 json_pack("{s:b}", "found", found));
}

/* Handles any call of a plain service; "run" in the answer counts the calls
 * that have begun so far. */
static int on_service(struct mg_connection *conn, void *data)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *attempt = get_attempt(conn);
	struct fake_call call = { 0 };
	struct fake *ctx = data;
	int status;
	size_t len;
	char *body;

	if (!strcmp(info->request_method, "OPTIONS"))
		return send_json(conn, 200, json_object());
	if (!ctx->options.plain)
		return send_error(conn, 404, "not_found");
	body = read_body(conn, &len);
	begin_call(ctx, &call, attempt);
	record_event(ctx, json_pack("{s:s, s:s, s:s, s:s, s:s}", "event",
				    "start", "attempt", attempt, "method",
				    info->request_method, "path",
				    info->local_uri, "body", body));
	crash_if_configured(ctx, body, attempt);
	sleep_until_us(now_us() + ctx->options.service_us);
	end_call(ctx, &call, true);
	status = !strcmp(info->request_method, "POST") ? 201 : 200;
	send_json(conn, status,
		  json_pack("{s:s, s:s, s:s, s:s, s:I}", "endpoint",
			    ctx->options.id, "method", info->request_method,
			    "path", info->local_uri, "body", body, "run",
			    (json_int_t)fake_runs(ctx)));
	g_free(body);
	return status;
}

/* ---- Start and stop ---- */

static struct mg_context *start_server(struct fake *ctx)
{
	char threads[16];
	const char *options[] = { "listening_ports",
				  ctx->options.address,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "30000",
				  "request_timeout_ms",
				  "60000",
				  "tcp_nodelay",
				  "1",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *server;

	snprintf(threads, sizeof(threads), "%u", ctx->options.threads);
	server = mg_start(&callbacks, ctx, options);
	if (!server)
		return NULL;
	if (!ctx->options.plain) {
		mg_set_request_handler(server, "/v1/chat/completions",
				       on_completion, ctx);
		mg_set_request_handler(server, "/v1/completions", on_completion,
				       ctx);
		mg_set_request_handler(server, "/v1/requests/", on_cancel, ctx);
		mg_set_request_handler(server, "/orders", on_order, ctx);
	}
	mg_set_request_handler(server, "/", on_service, ctx);
	return server;
}

static void init_wakeup(struct fake *ctx)
{
	pthread_condattr_t attributes;

	pthread_mutex_init(&ctx->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&ctx->wakeup, &attributes);
	pthread_condattr_destroy(&attributes);
}

/* Returns an incarnation of at most 53 bits, as larger JSON numbers may lose
 * precision. */
static uint64_t random_incarnation(void)
{
	uint64_t high = g_random_int() & 0x1fffff;

	return high << 32 | g_random_int() | 1;
}

/*
 * Starts the endpoint with a new incarnation and, with entries given, begins
 * to announce it. Returns NULL after a message on standard error. Strings of
 * the options must outlive the endpoint.
 */
struct fake *fake_start(const struct fake_options *options)
{
	struct fake *ctx = g_new0(struct fake, 1);

	ctx->options = *options;
	ctx->role = "both";
	ctx->incarnation = random_incarnation();
	ctx->record_fd = -1;
	if (options->record)
		ctx->record_fd = open(options->record,
				      O_WRONLY | O_CREAT | O_APPEND, 0644);
	TAILQ_INIT(&ctx->copies);
	TAILQ_INIT(&ctx->calls);
	init_wakeup(ctx);
	ctx->server = start_server(ctx);
	if (!ctx->server) {
		fprintf(stderr, "fake endpoint: cannot listen on %s\n",
			options->address);
		g_free(ctx);
		return NULL;
	}
	record_event(ctx, json_pack("{s:s}", "event", "started"));
	if (options->entries &&
	    pthread_create(&ctx->announcer, NULL, announcer_main, ctx))
		abort();
	return ctx;
}

/* Marks the endpoint as leaving in further announcements; it still serves. */
void fake_leave(struct fake *ctx)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->leaving = true;
	pthread_cond_signal(&ctx->wakeup);
	pthread_mutex_unlock(&ctx->lock);
	record_event(ctx, json_pack("{s:s}", "event", "leaving"));
}

/* Stops the announcer and the server, waits for running calls, and frees the
 * endpoint. */
void fake_stop(struct fake *ctx)
{
	struct fake_copy *copy;

	pthread_mutex_lock(&ctx->lock);
	ctx->stopping = true;
	pthread_cond_signal(&ctx->wakeup);
	pthread_mutex_unlock(&ctx->lock);
	if (ctx->options.entries)
		pthread_join(ctx->announcer, NULL);
	mg_stop(ctx->server);
	while ((copy = TAILQ_FIRST(&ctx->copies)))
		remove_copy(ctx, copy);
	for (size_t i = 0; i < TARGETS_MAX; i++)
		g_free(ctx->announce_to[i]);
	if (ctx->record_fd >= 0)
		close(ctx->record_fd);
	pthread_cond_destroy(&ctx->wakeup);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

/* Returns the number of calls in progress. */
uint32_t fake_running(struct fake *ctx)
{
	uint32_t running;

	pthread_mutex_lock(&ctx->lock);
	running = ctx->running;
	pthread_mutex_unlock(&ctx->lock);
	return running;
}

/* Returns the number of calls started so far. */
uint64_t fake_runs(struct fake *ctx)
{
	uint64_t runs;

	pthread_mutex_lock(&ctx->lock);
	runs = ctx->runs;
	pthread_mutex_unlock(&ctx->lock);
	return runs;
}

/* Returns how often a load exceeded the memory of an accelerator or named one
 * that does not exist. */
uint64_t fake_overcommits(struct fake *ctx)
{
	uint64_t overcommits;

	pthread_mutex_lock(&ctx->lock);
	overcommits = ctx->overcommits;
	pthread_mutex_unlock(&ctx->lock);
	return overcommits;
}
