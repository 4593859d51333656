#include "traffic/up.h"

#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <time.h>

/* A pooled connection that was idle for longer is closed instead of reused:
 * endpoints and middleboxes close or forget idle connections. */
#define IDLE_MAX_US (10 * 1000000LL)
#define IDLE_PER_ORIGIN_MAX 256
#define IDLE_CALLBACK_US 100000
#define WAIT_MAX_US 1000000

/* One easy handle in a multi handle of its own: the multi handle owns the
 * connection, so that a connection is used by one thread at a time. */
struct handle {
	TAILQ_ENTRY(handle) link;
	CURLM *multi;
	CURL *easy;
	int64_t idle_since_us;
};

TAILQ_HEAD(handle_list, handle);

struct pool {
	struct handle_list idle; /* most recently used first */
	size_t n;
};

struct up {
	pthread_mutex_t lock; /* guards pools and all that they hold */
	GHashTable *pools;    /* scheme://host:port -> pool */
};

struct transfer {
	const struct up_request *request;
	char *content_type; /* owned */
	int status;
	bool sending; /* curl was about to write the first byte */
	bool head_done;
	bool stopped;
	int64_t last_data_us; /* 0: none yet */
};

static pthread_once_t global_once = PTHREAD_ONCE_INIT;

/* Returns the GError domain of this module. */
GQuark up_error_quark(void)
{
	return g_quark_from_static_string("up-error-quark");
}

static void global_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void handle_free(struct handle *handle)
{
	curl_easy_cleanup(handle->easy);
	curl_multi_cleanup(handle->multi);
	g_free(handle);
}

static struct handle *handle_new(void)
{
	struct handle *handle = g_new0(struct handle, 1);

	handle->multi = curl_multi_init();
	handle->easy = curl_easy_init();
	if (!handle->multi || !handle->easy)
		g_error("curl: out of memory");
	return handle;
}

static void drop_list(struct handle_list *list)
{
	struct handle *handle;

	while ((handle = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, handle, link);
		handle_free(handle);
	}
}

static void drop_idle(struct pool *pool)
{
	drop_list(&pool->idle);
	pool->n = 0;
}

static void pool_free(gpointer data)
{
	drop_idle(data);
	g_free(data);
}

/* Creates a client without connections. */
struct up *up_new(void)
{
	struct up *ctx = g_new0(struct up, 1);

	pthread_once(&global_once, global_init);
	pthread_mutex_init(&ctx->lock, NULL);
	ctx->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   pool_free);
	return ctx;
}

/* Closes all connections; no request may be running. NULL is allowed. */
void up_free(struct up *ctx)
{
	if (!ctx)
		return;
	g_hash_table_destroy(ctx->pools);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

/* Copies scheme://host:port of a URL. */
static char *origin_of(const char *url)
{
	const char *host = strstr(url, "://");
	const char *end = host ? strchr(host + 3, '/') : NULL;

	return end ? g_strndup(url, (gsize)(end - url)) : g_strdup(url);
}

static struct pool *pool_of(struct up *ctx, const char *origin)
{
	struct pool *pool = g_hash_table_lookup(ctx->pools, origin);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	TAILQ_INIT(&pool->idle);
	g_hash_table_insert(ctx->pools, g_strdup(origin), pool);
	return pool;
}

/* Closes the pooled connections of one origin that were idle for too long. */
static void drop_expired(struct pool *pool, int64_t now)
{
	struct handle_list expired = TAILQ_HEAD_INITIALIZER(expired);
	struct handle *handle = TAILQ_FIRST(&pool->idle);

	while (handle && now - handle->idle_since_us <= IDLE_MAX_US)
		handle = TAILQ_NEXT(handle, link);
	while (handle) { /* sorted: all that follow are older */
		struct handle *next = TAILQ_NEXT(handle, link);

		TAILQ_REMOVE(&pool->idle, handle, link);
		TAILQ_INSERT_TAIL(&expired, handle, link);
		pool->n--;
		handle = next;
	}
	drop_list(&expired);
}

static struct handle *take_handle(struct up *ctx, const char *origin)
{
	struct handle *handle = NULL;
	struct pool *pool;

	pthread_mutex_lock(&ctx->lock);
	pool = pool_of(ctx, origin);
	drop_expired(pool, now_us());
	handle = TAILQ_FIRST(&pool->idle);
	if (handle) {
		TAILQ_REMOVE(&pool->idle, handle, link);
		pool->n--;
	}
	pthread_mutex_unlock(&ctx->lock);
	return handle ? handle : handle_new();
}

/* Returns a handle after a complete answer; its connection can be reused. */
static void put_handle(struct up *ctx, const char *origin,
		       struct handle *handle)
{
	struct pool *pool;

	curl_easy_reset(handle->easy);
	pthread_mutex_lock(&ctx->lock);
	pool = pool_of(ctx, origin);
	handle->idle_since_us = now_us();
	if (pool->n < IDLE_PER_ORIGIN_MAX) {
		TAILQ_INSERT_HEAD(&pool->idle, handle, link);
		pool->n++;
		handle = NULL;
	}
	pthread_mutex_unlock(&ctx->lock);
	if (handle)
		handle_free(handle);
}

/* After a failure the other idle connections to the same origin may be dead
 * too; a retry must not pick one of them. */
static void drop_origin(struct up *ctx, const char *origin)
{
	struct pool *pool;

	pthread_mutex_lock(&ctx->lock);
	pool = g_hash_table_lookup(ctx->pools, origin);
	if (pool)
		drop_idle(pool);
	pthread_mutex_unlock(&ctx->lock);
}

static char *copy_value(const char *value, size_t len)
{
	return g_strstrip(g_strndup(value, len));
}

static size_t on_header(char *bytes, size_t size, size_t n, void *data)
{
	struct transfer *t = data;
	const struct up_request *r = t->request;
	size_t len = size * n;
	const char *colon;
	char *name;
	char *value;

	if (len >= 5 && !memcmp(bytes, "HTTP/", 5)) {
		const char *space = memchr(bytes, ' ', len);

		t->status = space ? (int)strtol(space + 1, NULL, 10) : 0;
		g_clear_pointer(&t->content_type, g_free);
		return len;
	}
	if (len <= 2) { /* end of the headers; 1xx are followed by others */
		if (t->status < 200)
			return len;
		t->head_done = true;
		if (r->on_head)
			r->on_head(r->data, t->status, t->content_type);
		return len;
	}
	colon = memchr(bytes, ':', len);
	if (!colon || t->head_done)
		return len;
	name = copy_value(bytes, (size_t)(colon - bytes));
	value = copy_value(colon + 1, len - (size_t)(colon + 1 - bytes));
	if (!strcasecmp(name, "content-type")) {
		g_free(t->content_type);
		t->content_type = g_strdup(value);
	}
	if (r->on_header && t->status >= 200)
		r->on_header(r->data, name, value);
	g_free(name);
	g_free(value);
	return len;
}

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct transfer *t = data;
	size_t len = size * n;
	bool more = !t->request->on_data ||
		    t->request->on_data(t->request->data, bytes, len);

	/* The callback may block on a slow reader: silence is counted from its
	 * return. */
	t->last_data_us = now_us();
	if (more)
		return len;
	t->stopped = true;
	return 0;
}

/* Called by curl when the connection stands and no byte has been written. */
static int on_connected(void *data, char *remote_ip, char *local_ip,
			int remote_port, int local_port)
{
	struct transfer *t = data;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	t->sending = true;
	return CURL_PREREQFUNC_OK;
}

static struct curl_slist *set_options(CURL *easy, struct transfer *t)
{
	const struct up_request *r = t->request;
	struct curl_slist *headers = NULL;
	bool get = !r->body_len && !strcmp(r->method, "GET");
	bool head = !strcmp(r->method, "HEAD");

	curl_easy_setopt(easy, CURLOPT_URL, r->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	if (r->connect_timeout_us > 0)
		curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
				 (long)((r->connect_timeout_us + 999) / 1000));
	/* A fresh connection is never retried by curl: it resends only what
	 * failed on a reused connection. */
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, r->fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, r->fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
			 (long)(IDLE_MAX_US / 1000000));
	if (head) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	} else if (!get) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 r->body ? r->body : "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body_len);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
		/* No type unless the caller names one. */
		headers = curl_slist_append(headers, "Expect:");
	}
	for (size_t i = 0; r->headers && r->headers[i]; i++)
		headers = curl_slist_append(headers, r->headers[i]);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
	return headers;
}

/* The transfer has ended: takes curl's result; false while it still runs. */
static bool take_result(CURLM *multi, CURLcode *result)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(multi, &left)))
		if (message->msg == CURLMSG_DONE) {
			*result = message->data.result;
			return true;
		}
	return false;
}

/*
 * Returns the absolute time at which the next limit of a transfer passes, and
 * which error that is.
 */
static int64_t next_limit(const struct transfer *t, int64_t start,
			  enum up_error *error)
{
	const struct up_request *r = t->request;
	int64_t limit = INT64_MAX;

	*error = UP_ERROR_SILENT;
	if (!t->last_data_us && r->first_byte_timeout_us)
		limit = start + r->first_byte_timeout_us;
	if (t->last_data_us && r->silence_timeout_us)
		limit = t->last_data_us + r->silence_timeout_us;
	if (r->total_timeout_us && start + r->total_timeout_us < limit) {
		limit = start + r->total_timeout_us;
		*error = UP_ERROR_TIMEOUT;
	}
	return limit;
}

/* Runs the transfer to its end; true when the answer is complete. */
static bool run(struct handle *handle, struct transfer *t, enum up_error *error,
		CURLcode *result)
{
	const struct up_request *r = t->request;
	int64_t start = now_us();
	int64_t last_idle = start;
	int running;

	*result = CURLE_OK;
	for (;;) {
		int64_t now;
		int64_t limit;
		int64_t wait;

		curl_multi_perform(handle->multi, &running);
		if (take_result(handle->multi, result)) {
			*error =
				t->stopped ? UP_ERROR_STOPPED : UP_ERROR_BROKEN;
			return *result == CURLE_OK;
		}
		now = now_us();
		limit = next_limit(t, start, error);
		if (now >= limit)
			return false;
		if (r->on_tick && now - last_idle >= IDLE_CALLBACK_US) {
			last_idle = now;
			if (!r->on_tick(r->data)) {
				*error = UP_ERROR_STOPPED;
				return false;
			}
		}
		wait = MIN(limit - now, WAIT_MAX_US);
		if (r->on_tick)
			wait = MIN(wait, last_idle + IDLE_CALLBACK_US - now);
		curl_multi_poll(handle->multi, NULL, 0,
				(int)((MAX(wait, 0) + 999) / 1000), NULL);
	}
}

static bool no_byte_left(CURL *easy, const struct transfer *t)
{
	long size = 0;

	/* curl counts each byte that the socket has accepted. A write that
	 * failed left none. */
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
	return !t->sending || size == 0;
}

/*
 * Runs one request and blocks until it ends. Returns false with err set when no
 * complete answer was received. UP_ERROR_NOT_SENT takes precedence: it is set
 * exactly when the system accepted no byte of the request for sending, and then
 * none will be sent later, because the connection is closed.
 */
bool up_perform(struct up *ctx, const struct up_request *request, GError **err)
{
	char *origin = request->fresh ? g_strdup("") : origin_of(request->url);
	struct handle *handle = take_handle(ctx, origin);
	struct transfer t = { .request = request };
	struct curl_slist *headers = set_options(handle->easy, &t);
	enum up_error error = UP_ERROR_BROKEN;
	CURLcode result;
	bool complete;
	bool unsent;

	curl_multi_add_handle(handle->multi, handle->easy);
	complete = run(handle, &t, &error, &result);
	unsent = no_byte_left(handle->easy, &t);
	curl_multi_remove_handle(handle->multi, handle->easy);
	if (complete) {
		put_handle(ctx, origin, handle);
		goto out;
	}
	handle_free(handle);
	if (unsent)
		error = UP_ERROR_NOT_SENT;
	if (!request->fresh && error != UP_ERROR_STOPPED)
		drop_origin(ctx, origin);
	g_set_error(err, UP_ERROR, error, "%s %s: %s", request->method,
		    request->url,
		    result != CURLE_OK ? curl_easy_strerror(result)
				       : "limit passed or stopped");
out:
	curl_slist_free_all(headers);
	g_free(t.content_type);
	g_free(origin);
	return complete;
}

static size_t ignore_bytes(char *bytes, size_t size, size_t n, void *data)
{
	(void)bytes;
	(void)data;
	return size * n;
}

/*
 * Returns whether the process at an address (http://IP:PORT) has ended: a new
 * connection is refused, or closed without an answer to OPTIONS, which is a
 * safe method. A forwarder in front of an ended process accepts the connection
 * and closes it, so a refusal alone is not enough. A silent or unreachable host
 * is not known to have ended.
 */
bool up_has_ended(const char *address, int64_t timeout_us)
{
	char *url = g_strdup_printf("%s/", address);
	CURL *curl = curl_easy_init();
	long os_error = 0;
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "OPTIONS");
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ignore_bytes);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)(timeout_us / 1000));
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_OS_ERRNO, &os_error);
	curl_easy_cleanup(curl);
	g_free(url);
	if (code == CURLE_COULDNT_CONNECT)
		return os_error == ECONNREFUSED;
	return code == CURLE_GOT_NOTHING || code == CURLE_SEND_ERROR ||
	       code == CURLE_RECV_ERROR;
}
