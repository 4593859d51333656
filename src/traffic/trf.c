#include "traffic/trf_int.h"

#include "base/log.h"
#include "http/hio.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

/* Worker threads in addition to requests_max: for requests of operators and
 * endpoints, to answer the requests that are rejected over the limit, and for
 * connections that send no whole request: each takes a thread until
 * CALLER_TIMEOUT_MS. With 48 some hundred of them kept others waiting for 20
 * s. */
#define SPARE_THREADS 320
/* Heaps of the allocator. By default there are eight for each core, and what
 * one request has freed is kept in the heap of its thread. */
#define ARENAS_MAX 4
/* Size from which a buffer is mapped alone, and so returned when it is freed;
 * otherwise the allocator raises it to that of freed bodies. */
#define MAPPED_MIN_BYTES (256 << 10)
/* Size of CivetWeb's header buffer as a multiple of header_bytes_max. */
#define HEADER_BUFFER_FACTOR 4
/* A connection is closed when a write to the caller or the read of a request
 * makes no progress for this long (section 11 of docs/design.md). */
#define CALLER_TIMEOUT_MS "10000"
/* Short, because an idle connection of a caller occupies a worker thread. */
#define KEEP_ALIVE_MS "3000"
#define STOP_POLL_US 20000

/* Returns the GError domain of this module. */
GQuark trf_error_quark(void)
{
	return g_quark_from_static_string("trf-error-quark");
}

/* Returns the monotonic time in microseconds. */
int64_t trf_now(const struct trf *ctx)
{
	return clk_now_us(ctx->clock);
}

/* Creates the traffic context; nothing is opened before trf_start(). settings,
 * clock and metrics must outlive it. */
struct trf *trf_new(const struct set *settings, struct clk *clock,
		    struct met *metrics)
{
	struct trf *ctx = g_new0(struct trf, 1);

	ctx->settings = settings;
	ctx->clock = clock;
	ctx->metrics = metrics;
	ctx->up = up_new();
	ctx->view = view_new_empty();
	ctx->boot = ((uint64_t)g_random_int() << 32) | g_random_int();
	ctx->rt = rt_new(ctx->boot);
	rt_set_instance(ctx->rt, settings->id);
	ctx->waiting_per_class =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	TAILQ_INIT(&ctx->waiters);
	pthread_mutex_init(&ctx->view_lock, NULL);
	pthread_mutex_init(&ctx->rt_lock, NULL);
	pthread_cond_init(&ctx->rt_wake, NULL);
	trf_answers_init(ctx);
	return ctx;
}

/* ---- Callbacks on the control thread ---- */

static uint32_t live_nodes(const struct view *view)
{
	uint32_t live = 0;

	for (size_t i = 0; i < view_n_nodes(view); i++)
		live += !view_node_at(view, i)->down;
	return live ? live : 1;
}

static void set_view(struct trf *ctx, struct view *view)
{
	struct view *old;

	pthread_mutex_lock(&ctx->view_lock);
	old = ctx->view;
	ctx->view = view_ref(view);
	pthread_mutex_unlock(&ctx->view_lock);
	view_unref(old);
	pthread_mutex_lock(&ctx->rt_lock);
	rt_set_view(ctx->rt, view, trf_now(ctx));
	rt_set_entries(ctx->rt, live_nodes(view));
	trf_route_wake(ctx);
	pthread_mutex_unlock(&ctx->rt_lock);
}

static void on_view(void *data, struct view *view)
{
	set_view(data, view);
}

static void on_load(void *data, const Dsp__LoadReport *report)
{
	struct trf *ctx = data;

	pthread_mutex_lock(&ctx->rt_lock);
	rt_report(ctx->rt, report, trf_now(ctx));
	trf_route_wake(ctx);
	pthread_mutex_unlock(&ctx->rt_lock);
}

static Dsp__AnswerReply *on_answer_query(void *data,
					 const Dsp__AnswerQuery *query)
{
	Dsp__AnswerReply *reply =
		trf_answer_reply(data, query->team, query->request_id);

	reply->id = query->id;
	return reply;
}

static uint32_t on_streams(void *data)
{
	return trf_in_flight(data);
}

/* Returns the callbacks to pass to ctl_start(). */
struct ctl_callbacks trf_ctl_callbacks(struct trf *ctx)
{
	return (struct ctl_callbacks){
		.data = ctx,
		.view_changed = on_view,
		.load = on_load,
		.answer_query = on_answer_query,
		.streams = on_streams,
	};
}

/* Returns a new reference to the current view. */
struct view *trf_view(struct trf *ctx)
{
	struct view *view;

	pthread_mutex_lock(&ctx->view_lock);
	view = view_ref(ctx->view);
	pthread_mutex_unlock(&ctx->view_lock);
	return view;
}

/* ---- HTTP ---- */

enum match {
	MATCH_EXACT,
	MATCH_NAME,   /* path and one more segment */
	MATCH_PREFIX, /* path and any non-empty rest */
};

struct route {
	const char *method; /* NULL: any */
	const char *path;
	enum match match;
	void (*plain)(struct api *api);			  /* MATCH_EXACT */
	void (*named)(struct api *api, const char *rest); /* the others */
};

static void chat(struct api *api)
{
	api_completion(api, true);
}

static void completion(struct api *api)
{
	api_completion(api, false);
}

static const struct route routes[] = {
	{ "POST", "/v1/chat/completions", MATCH_EXACT, .plain = chat },
	{ "POST", "/v1/completions", MATCH_EXACT, .plain = completion },
	{ NULL, "/v1/services/", MATCH_PREFIX, .named = api_service },
	{ "GET", "/v1/models", MATCH_EXACT, .plain = api_models },
	{ "GET", "/v1/requests/", MATCH_NAME, .named = api_request_get },
	{ "GET", "/v1/entries", MATCH_EXACT, .plain = api_entries },
	{ "PUT", "/v1/documents/", MATCH_NAME, .named = api_document_put },
	{ "GET", "/v1/documents/", MATCH_NAME, .named = api_document_get },
	{ "GET", "/v1/status", MATCH_EXACT, .plain = api_status },
	{ "POST", "/v1/drain", MATCH_EXACT, .plain = api_drain },
	{ "POST", "/v1/replicas/replace", MATCH_EXACT, .plain = api_replace },
	{ "POST", "/v1/endpoints/announce", MATCH_EXACT,
	  .plain = api_announce },
	{ "GET", "/metrics", MATCH_EXACT, .plain = api_metrics },
	{ "GET", "/healthz", MATCH_EXACT, .plain = api_healthz },
};

static bool path_matches(const struct route *route, const char *path)
{
	size_t len = strlen(route->path);

	if (route->match == MATCH_EXACT)
		return !strcmp(path, route->path);
	if (strncmp(path, route->path, len) || !path[len])
		return false;
	return route->match == MATCH_PREFIX || !strchr(path + len, '/');
}

static void call_named(struct api *api, const struct route *route)
{
	const char *rest = api->path + strlen(route->path);
	char *name;

	if (route->match == MATCH_PREFIX) {
		route->named(api, rest);
		return;
	}
	name = api_percent_decode(rest, strlen(rest));
	if (!name || strlen(name) > TRF_KEY_MAX)
		api_error(api, 400, "invalid_path", TRF_NOT_RUN, 0,
			  "malformed path segment");
	else
		route->named(api, name);
	g_free(name);
}

static void handle(struct api *api)
{
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct route *route = &routes[i];

		if (!path_matches(route, api->path))
			continue;
		known = true;
		if (route->method &&
		    strcmp(route->method, api->info->request_method))
			continue;
		if (route->plain)
			route->plain(api);
		else
			call_named(api, route);
		return;
	}
	if (known)
		api_error(api, 405, "method_not_allowed", TRF_NOT_RUN, 0,
			  "%s is not allowed here", api->info->request_method);
	else
		api_error(api, 404, "unknown_path", TRF_NOT_RUN, 0,
			  "no such path");
}

static void new_id(struct trf *ctx, char out[TRF_ID_MAX])
{
	g_snprintf(out, TRF_ID_MAX, "%s~%" PRIx64 "~%" PRIu64,
		   ctx->settings->id, ctx->boot, ++ctx->counter);
}

/* Answers 431 to headers over the limit. CivetWeb reports headers that exceed
 * its buffer as malformed; the buffer is larger than the limit, so that most of
 * them are detected here. */
static bool headers_fit(struct api *api)
{
	const struct mg_request_info *info = api->info;
	uint32_t limit = api->ctx->settings->header_bytes_max;
	size_t size = strlen(api->path);

	size += info->query_string ? strlen(info->query_string) : 0;
	for (int i = 0; i < info->num_headers; i++)
		size += strlen(info->http_headers[i].name) +
			strlen(info->http_headers[i].value) + 4;
	if (size <= limit)
		return true;
	met_count(api->ctx->metrics, "dandelionspar_limit_rejections_total",
		  "limit=\"header_bytes_max\"", 1);
	api->close = true;
	api_error(api, 431, "headers_too_large", TRF_NOT_RUN, 0,
		  "path and headers exceed %u bytes "
		  "(limits.header_bytes_max)",
		  limit);
	return false;
}

static bool has_valid_head(const struct mg_request_info *info)
{
	const char *target = info->request_uri ? info->request_uri : "";
	const char *query = info->query_string ? info->query_string : "";

	if (!hio_is_target(target, strlen(target)) ||
	    !hio_is_target(query, strlen(query)))
		return false;
	for (int i = 0; i < info->num_headers; i++) {
		const char *name = info->http_headers[i].name;

		if (!hio_is_token(name, strlen(name)))
			return false;
	}
	return true;
}

/* Answers 400 to a target or a field's name with bytes that the standard does
 * not allow. CivetWeb refuses control bytes, but not all others. */
static bool head_is_valid(struct api *api)
{
	if (has_valid_head(api->info))
		return true;
	LOG_EVENT_INFO("trf", "request_refused",
		       "request=%s listen=%s status=400 reason=head_byte",
		       api->id, api->ctx->settings->http_listen);
	met_count(api->ctx->metrics, "dandelionspar_malformed_requests_total",
		  "", 1);
	api->close = true;
	api_error(api, 400, "malformed_request", TRF_NOT_RUN, 0,
		  "the target or a header's name has a byte that is not "
		  "allowed there");
	return false;
}

static int on_request(struct mg_connection *conn)
{
	struct trf *ctx = mg_get_user_data(mg_get_context(conn));
	struct api api = {
		.ctx = ctx,
		.conn = conn,
		.info = mg_get_request_info(conn),
		.arrival_us = trf_now(ctx),
	};

	api.path = api.info->local_uri_raw ? api.info->local_uri_raw : "/";
	api.claim_unread = g_str_has_prefix(api.path, "/v1/services/") &&
			   api_header(&api, "Idempotency-Key");
	new_id(ctx, api.id);
	if (headers_fit(&api) && head_is_valid(&api))
		handle(&api);
	if (api.answer) {
		trf_answer_unref(api.answer);
		api.answer = NULL;
	}
	g_free(api.body);
	trf_memory_release(ctx, api.reserved_bytes);
	trf_memory_trim(ctx);
	return 200;
}

/* Answers requests that CivetWeb rejects itself as malformed. */
static int on_http_error(struct mg_connection *conn, int status,
			 const char *message)
{
	struct trf *ctx = mg_get_user_data(mg_get_context(conn));
	const char *code = "malformed_request";
	json_t *object;
	char *text;

	if (status == 408)
		code = "request_timeout";
	met_count(ctx->metrics, "dandelionspar_malformed_requests_total", "",
		  1);
	(void)message;
	object = api_error_json(code,
				"malformed, incomplete, or with headers far "
				"larger than limits.header_bytes_max",
				TRF_NOT_RUN);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		  "X-Dandelionspar-Entry: %s\r\n"
		  "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		  status, mg_get_response_code_text(conn, status),
		  ctx->settings->id, strlen(text), text);
	free(text);
	return 0;
}

static int on_connection(const struct mg_connection *conn, void **data)
{
	struct trf *ctx = mg_get_user_data(mg_get_context(conn));

	(void)data;
	ctx->connections++;
	return 0;
}

static void on_connection_closed(const struct mg_connection *conn)
{
	struct trf *ctx = mg_get_user_data(mg_get_context(conn));

	ctx->connections--;
}

static int on_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	LOG_EVENT_DEBUG("trf", "http", "message=\"%s\"", message);
	return 1;
}

/* Raises the soft limit to the hard limit: a stream needs two descriptors for
 * its connections and two for curl. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static bool listen_http(struct trf *ctx, GError **err)
{
	static const struct mg_callbacks callbacks = {
		.begin_request = on_request,
		.http_error = on_http_error,
		.log_message = on_log,
		.init_connection = on_connection,
		.connection_closed = on_connection_closed,
	};
	char threads[16];
	char header_max[16];
	const char *options[] = {
		"listening_ports",
		ctx->settings->http_listen,
		"num_threads",
		threads,
		"max_request_size",
		header_max,
		"request_timeout_ms",
		CALLER_TIMEOUT_MS,
		"keep_alive_timeout_ms",
		KEEP_ALIVE_MS,
		"enable_keep_alive",
		"yes",
		"tcp_nodelay",
		"1",
		"listen_backlog",
		"1024",
		"connection_queue",
		"256",
		"decode_url",
		"no",
		NULL,
	};

	ctx->threads = ctx->settings->requests_max + SPARE_THREADS;
	g_snprintf(threads, sizeof(threads), "%u", ctx->threads);
	g_snprintf(header_max, sizeof(header_max), "%" PRIu64,
		   (uint64_t)ctx->settings->header_bytes_max *
			   HEADER_BUFFER_FACTOR);
	ctx->http = mg_start(&callbacks, ctx, options);
	if (ctx->http)
		return true;
	g_set_error(err, TRF_ERROR, TRF_ERROR_LISTEN,
		    "http_listen: cannot listen on %s",
		    ctx->settings->http_listen);
	return false;
}

/*
 * Starts the threads and opens the HTTP port. ops and ctl must outlive
 * trf_stop(). Returns false with err set when the port cannot be opened.
 */
bool trf_start_with(struct trf *ctx, const struct trf_ctl_ops *ops,
		    struct ctl *ctl, GError **err)
{
	struct view *view;

	mallopt(M_ARENA_MAX, ARENAS_MAX);
	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	ctx->ops = ops;
	ctx->ctl = ctl;
	ctx->boot = ops->state(ctl).boot;
	view = ops->view(ctl);
	if (view) {
		set_view(ctx, view);
		view_unref(view);
	}
	raise_descriptor_limit();
	pthread_create(&ctx->rt_thread, NULL, trf_route_thread, ctx);
	trf_bg_start(ctx, &ctx->claims_bg, trf_bg_claims_thread);
	trf_bg_start(ctx, &ctx->cancels_bg, trf_bg_cancels_thread);
	return listen_http(ctx, err);
}

static void stop_threads(struct trf *ctx)
{
	if (!ctx->ops)
		return;
	trf_bg_stop(&ctx->claims_bg);
	trf_bg_stop(&ctx->cancels_bg);
	pthread_mutex_lock(&ctx->rt_lock);
	ctx->rt_stop = true;
	pthread_cond_signal(&ctx->rt_wake);
	pthread_mutex_unlock(&ctx->rt_lock);
	pthread_join(ctx->rt_thread, NULL);
	ctx->ops = NULL;
}

/* Frees a context that is stopped or was never started; NULL is allowed. */
void trf_free(struct trf *ctx)
{
	if (!ctx)
		return;
	stop_threads(ctx); /* they run if trf_start() failed to listen */
	trf_answers_clear(ctx);
	rt_free(ctx->rt);
	view_unref(ctx->view);
	up_free(ctx->up);
	g_hash_table_destroy(ctx->waiting_per_class);
	pthread_cond_destroy(&ctx->rt_wake);
	pthread_mutex_destroy(&ctx->rt_lock);
	pthread_mutex_destroy(&ctx->view_lock);
	g_free(ctx);
}

/*
 * Refuses new requests, waits until none is in flight (at most limit_s seconds;
 * 0: no limit), then closes the HTTP port and stops all threads.
 */
void trf_stop(struct trf *ctx, uint32_t limit_s)
{
	int64_t until = trf_now(ctx) + limit_s * 1000000LL;

	ctx->stopping = true;
	while (ctx->in_flight && (!limit_s || trf_now(ctx) < until))
		usleep(STOP_POLL_US);
	if (ctx->http)
		mg_stop(ctx->http);
	ctx->http = NULL;
	stop_threads(ctx);
}

/* ---- Queries ---- */

/* Returns the number of callers' requests in flight. */
uint32_t trf_in_flight(const struct trf *ctx)
{
	return ctx->in_flight;
}

/* Returns whether an operator has requested a drain over HTTP, and clears the
 * request. */
bool trf_drain_requested(struct trf *ctx)
{
	return atomic_exchange(&ctx->drain_requested, false);
}
