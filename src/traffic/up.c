#include "traffic/up.h"

#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <time.h>

#include "http/hio.h"
#include "platform/wire.h"

/* A pooled connection that was idle for longer is closed instead of reused:
 * endpoints close idle connections, and middleboxes drop their state. */
#define IDLE_MAX_US (10 * 1000000LL)
#define IDLE_PER_ORIGIN_MAX 256
#define TICK_INTERVAL_US 100000
#define POLL_MAX_US 1000000

/* An easy handle with a multi handle of its own. The multi handle owns the
 * connection, so that only one thread at a time uses it. */
struct handle {
	TAILQ_ENTRY(handle) link;
	CURLM *multi;
	CURL *easy;
	int64_t idle_since_us;
	curl_socket_t socket; /* of the idle connection; CURL_SOCKET_BAD: none
			       */
};

TAILQ_HEAD(handle_list, handle);

struct pool {
	struct handle_list idle; /* most recently used first */
	size_t n;		 /* length of idle */
};

struct up {
	pthread_mutex_t lock; /* guards pools and their contents */
	GHashTable *pools;    /* scheme://host:port -> struct pool */
};

struct transfer {
	const struct up_request *request;
	char *content_type; /* owned */
	int status;
	bool connected; /* a byte of the request may have been sent */
	bool head_done;
	bool stopped;	      /* on_data returned false */
	int64_t last_data_us; /* 0: no body byte yet */
	struct wire_hint hint;
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

static void close_list(struct handle_list *list)
{
	struct handle *handle;

	while ((handle = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, handle, link);
		handle_free(handle);
	}
}

static void pool_close_idle(struct pool *pool)
{
	close_list(&pool->idle);
	pool->n = 0;
}

static void pool_free(gpointer data)
{
	pool_close_idle(data);
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

static struct pool *pool_get(struct up *ctx, const char *origin)
{
	struct pool *pool = g_hash_table_lookup(ctx->pools, origin);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	TAILQ_INIT(&pool->idle);
	g_hash_table_insert(ctx->pools, g_strdup(origin), pool);
	return pool;
}

/* Closes connections of a pool that were idle for longer than IDLE_MAX_US. */
static void pool_close_expired(struct pool *pool, int64_t now)
{
	struct handle_list expired = TAILQ_HEAD_INITIALIZER(expired);
	struct handle *handle = TAILQ_FIRST(&pool->idle);

	while (handle && now - handle->idle_since_us <= IDLE_MAX_US)
		handle = TAILQ_NEXT(handle, link);
	while (handle) { /* the list is sorted: the rest is older */
		struct handle *next = TAILQ_NEXT(handle, link);

		TAILQ_REMOVE(&pool->idle, handle, link);
		TAILQ_INSERT_TAIL(&expired, handle, link);
		pool->n--;
		handle = next;
	}
	close_list(&expired);
}

static struct handle *take_idle(struct up *ctx, const char *origin)
{
	struct handle *handle;
	struct pool *pool;

	pthread_mutex_lock(&ctx->lock);
	pool = pool_get(ctx, origin);
	pool_close_expired(pool, now_us());
	handle = TAILQ_FIRST(&pool->idle);
	if (handle) {
		TAILQ_REMOVE(&pool->idle, handle, link);
		pool->n--;
	}
	pthread_mutex_unlock(&ctx->lock);
	return handle;
}

/* Returns whether input, or its end, waits on an idle connection. libcurl would
 * take the input for the answer to the next request. */
static bool has_unasked_input(const struct handle *handle)
{
	char byte;

	if (handle->socket == CURL_SOCKET_BAD)
		return false;
	return recv(handle->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

static struct handle *take_handle(struct up *ctx, const char *origin)
{
	struct handle *handle;

	while ((handle = take_idle(ctx, origin)) && has_unasked_input(handle))
		handle_free(handle);
	return handle ? handle : handle_new();
}

/* Puts a handle back after a complete answer; its connection can be reused. */
static void put_handle(struct up *ctx, const char *origin,
		       struct handle *handle)
{
	struct pool *pool;

	curl_easy_reset(handle->easy);
	pthread_mutex_lock(&ctx->lock);
	pool = pool_get(ctx, origin);
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

/* Closes the idle connections of an origin. After a failure the others may be
 * dead too, and a retry must not use one of them. */
static void close_idle_connections(struct up *ctx, const char *origin)
{
	struct pool *pool;

	pthread_mutex_lock(&ctx->lock);
	pool = g_hash_table_lookup(ctx->pools, origin);
	if (pool)
		pool_close_idle(pool);
	pthread_mutex_unlock(&ctx->lock);
}

static char *copy_value(const char *value, size_t len)
{
	return g_strstrip(g_strndup(value, len));
}

static void end_hint(struct transfer *t)
{
	const struct up_request *r = t->request;

	wire_end_hint(t->status, &t->hint);
	/* That nothing is named ends a limit. */
	if (r->on_hint)
		r->on_hint(r->data, &t->hint);
}

/* Returns whether a line of the head, without its line end, has only bytes that
 * the standard allows and does not continue the line before it. */
static bool is_valid_line(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	for (size_t i = 0; i < len; i++)
		if (g_ascii_iscntrl(line[i]) && line[i] != '\t')
			return false;
	return colon && colon > line && hio_is_token(line, colon - line);
}

static size_t without_line_end(const char *line, size_t len)
{
	if (len && line[len - 1] == '\n')
		len--;
	if (len && line[len - 1] == '\r')
		len--;
	return len;
}

/* Ends the transfer with an error by returning 0. */
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
		if (!hio_is_status(t->status))
			return 0;
		t->hint = (struct wire_hint){ 0 };
		g_clear_pointer(&t->content_type, g_free);
		return len;
	}
	if (len <= 2) { /* end of the headers; after 1xx others follow */
		if (t->status < 200)
			return len;
		t->head_done = true;
		end_hint(t);
		if (r->on_head)
			r->on_head(r->data, t->status, t->content_type);
		return len;
	}
	if (!is_valid_line(bytes, without_line_end(bytes, len)))
		return 0;
	colon = memchr(bytes, ':', len);
	if (t->head_done)
		return len;
	name = copy_value(bytes, (size_t)(colon - bytes));
	value = copy_value(colon + 1, len - (size_t)(colon + 1 - bytes));
	if (!strcasecmp(name, "content-type")) {
		g_free(t->content_type);
		t->content_type = g_strdup(value);
	}
	wire_read_hint(name, value, &t->hint);
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

	/* The callback may block on a slow client: silence_timeout_us counts
	 * from its return. */
	t->last_data_us = now_us();
	if (more)
		return len;
	t->stopped = true;
	return 0;
}

/* Called by libcurl when the connection is established, before the first byte
 * of the request is written. */
static int on_connected(void *data, char *remote_ip, char *local_ip,
			int remote_port, int local_port)
{
	struct transfer *t = data;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	t->connected = true;
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
	/* libcurl resends a request only if it failed on a reused connection,
	 * hence never on a new one. */
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
		/* No "Expect: 100-continue", which libcurl would add. */
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

/* Stores libcurl's result if the transfer has ended; false while it runs. */
static bool get_result(CURLM *multi, CURLcode *result)
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

/* Returns the time at which the next time limit of a transfer expires, and the
 * error to report then. */
static int64_t next_timeout(const struct transfer *t, int64_t start,
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

/* Runs the transfer until it ends; true if the answer is complete. */
static bool run_transfer(struct handle *handle, struct transfer *t,
			 enum up_error *error, CURLcode *result)
{
	const struct up_request *r = t->request;
	int64_t start = now_us();
	int64_t last_tick = start;
	int running;

	*result = CURLE_OK;
	for (;;) {
		int64_t now;
		int64_t limit;
		int64_t wait;

		curl_multi_perform(handle->multi, &running);
		if (get_result(handle->multi, result)) {
			*error =
				t->stopped ? UP_ERROR_STOPPED : UP_ERROR_BROKEN;
			return *result == CURLE_OK;
		}
		now = now_us();
		limit = next_timeout(t, start, error);
		if (now >= limit)
			return false;
		if (r->on_tick && now - last_tick >= TICK_INTERVAL_US) {
			last_tick = now;
			if (!r->on_tick(r->data)) {
				*error = UP_ERROR_STOPPED;
				return false;
			}
		}
		wait = MIN(limit - now, POLL_MAX_US);
		if (r->on_tick)
			wait = MIN(wait, last_tick + TICK_INTERVAL_US - now);
		curl_multi_poll(handle->multi, NULL, 0,
				(int)((MAX(wait, 0) + 999) / 1000), NULL);
	}
}

static bool is_unsent(CURL *easy, const struct transfer *t)
{
	long size = 0;

	/* libcurl counts the bytes that the socket has accepted; a write that
	 * failed adds none. */
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
	return !t->connected || size == 0;
}

/*
 * Runs one request and blocks until it ends. Returns false with err set if no
 * complete answer was received. UP_ERROR_NOT_SENT takes precedence over other
 * errors: it is set if and only if the kernel accepted no byte of the request.
 * None is sent later either, because the connection is closed.
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
	/* libcurl reports a connection that was closed in the middle of the
	 * head as an answer with an empty body. */
	complete = run_transfer(handle, &t, &error, &result) && t.head_done;
	unsent = is_unsent(handle->easy, &t);
	if (curl_easy_getinfo(handle->easy, CURLINFO_ACTIVESOCKET,
			      &handle->socket) != CURLE_OK)
		handle->socket = CURL_SOCKET_BAD;
	curl_multi_remove_handle(handle->multi, handle->easy);
	if (complete) {
		put_handle(ctx, origin, handle);
		goto out;
	}
	handle_free(handle);
	if (unsent)
		error = UP_ERROR_NOT_SENT;
	if (!request->fresh && error != UP_ERROR_STOPPED)
		close_idle_connections(ctx, origin);
	g_set_error(err, UP_ERROR, error, "%s %s: %s", request->method,
		    request->url,
		    result != CURLE_OK
			    ? curl_easy_strerror(result)
			    : "limit passed, stopped or closed early");
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
 * connection is refused, or it is closed without an answer to OPTIONS, which is
 * a safe method. The second case is that of a proxy in front of an ended
 * process, which accepts the connection and then closes it. A host that doesn't
 * respond within timeout_us or is unreachable is not known to have ended.
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
