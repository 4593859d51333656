#include "edge/edge_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"

/*
 * Requests for endpoints that this instance does not reach go through another
 * instance that does. The other one, the helper, passes a single attempt on and
 * decides nothing: the choice of the endpoint, keys, quotas, repeats and the
 * version of a stream stay with the instance that the caller has asked. See
 * docs/design/detours.md.
 *
 * An attempt is the request as the endpoint gets it, with the fields below in
 * addition, which the helper removes. Its answer has the field FIELD_OUTCOME.
 */

#define FIELD_PREFIX "Dandelionspar-Detour-"
#define FIELD_FROM FIELD_PREFIX "From"
#define FIELD_TOKEN FIELD_PREFIX "Token"
#define FIELD_ENDPOINT FIELD_PREFIX "Endpoint"
#define FIELD_INCARNATION FIELD_PREFIX "Incarnation"
#define FIELD_TIMEOUT FIELD_PREFIX "Timeout-Us"
#define FIELD_REUSE FIELD_PREFIX "Reuse-Us"
#define FIELD_CHECK FIELD_PREFIX "Check"
#define FIELD_OUTCOME FIELD_PREFIX "Outcome"

/* Limit of the time to connect, of a helper and to one. */
#define CONNECT_US 400000
/* Limit of a helper's reply to a question about an endpoint. */
#define ASK_US 900000
/* A helper ends an attempt this long after the time that the sender gave it,
 * in case the sender is gone without a trace. */
#define OVERTIME_US 500000
/* Attempts of others that an instance has under way at most. */
#define TAKEN_MAX 1024
/* Length of a token as hexadecimal digits. */
#define TOKEN_LEN 32

static const char *const outcome_names[] = {
	[DETOUR_NONE] = "none",
	[DETOUR_ANSWER] = "answer",
	[DETOUR_UNREACHED] = "unreached",
	[DETOUR_NO_PATH] = "no_path",
	[DETOUR_UNKNOWN_ENDPOINT] = "unknown_endpoint",
	[DETOUR_REFUSED] = "refused",
	[DETOUR_BROKEN] = "broken",
};

/* A question to a helper. */
struct ask {
	LIST_ENTRY(ask) link; /* edge_detour.asks */
	struct edge_detour *owner;
	struct hio_call *call; /* NULL: it has ended */
	struct event *timer;
	char *endpoint;
	char *helper;
	enum edge_detour_outcome outcome;
	int64_t start_us;
};

/* A probe of a path of this instance. */
struct probe {
	LIST_ENTRY(probe) link; /* edge_detour.probes */
	struct edge_detour *owner;
	struct hio_probe *probe;
	char *endpoint;
};

/* An attempt or a question of another instance. */
struct taken {
	LIST_ENTRY(taken) link; /* edge_detour.taken */
	struct edge_detour *owner;
	struct hio_exchange *exchange;
	struct hio_call *call;	 /* NULL: it has ended */
	struct hio_probe *probe; /* of a question; or NULL */
	struct event *timer;
	char *endpoint;
	char *from;
	char *request_id; /* NULL: none */
	bool begun;	  /* the answer to the sender */
	int bodiless;	  /* status of an answer without a body; 0: none */
	struct hio_fields fields;
};

struct edge_detour {
	struct edge *edge;
	struct pth *paths;
	LIST_HEAD(, ask) asks;
	LIST_HEAD(, probe) probes;
	LIST_HEAD(, taken) taken;
	size_t n_taken;
};

/* Creates the paths and detours of an edge. */
struct edge_detour *edge_detour_new(struct edge *edge)
{
	struct edge_detour *ctx = g_new0(struct edge_detour, 1);

	ctx->edge = edge;
	ctx->paths = pth_new(g_random_int());
	LIST_INIT(&ctx->asks);
	LIST_INIT(&ctx->probes);
	LIST_INIT(&ctx->taken);
	return ctx;
}

static int64_t now_of(const struct edge_detour *ctx)
{
	return clk_now_us(ctx->edge->clock);
}

/* Returns whether a field belongs to detours and not to a request or answer. */
bool edge_detour_is_field(const char *name)
{
	return !g_ascii_strncasecmp(name, FIELD_PREFIX, strlen(FIELD_PREFIX));
}

/*
 * The right to send through a helper: only instances of the group know the
 * random numbers of both processes, from the view. out has room for TOKEN_LEN
 * digits and the end of the string.
 */
static void write_token(char *out, const char *from, uint64_t from_boot,
			const char *to, uint64_t to_boot)
{
	g_autofree char *text =
		g_strdup_printf("%s %016" PRIx64 " %s %016" PRIx64, from,
				from_boot, to, to_boot);
	XXH128_hash_t hash = XXH3_128bits(text, strlen(text));

	g_snprintf(out, TOKEN_LEN + 1, "%016" PRIx64 "%016" PRIx64,
		   (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* ---- Sending ---- */

static char *address_of(const Dsp__Node *helper)
{
	const char *host = helper->internal_address;
	const char *port = strrchr(host, ':');

	if (!g_str_has_prefix(host, "tcp://") || !port)
		return NULL;
	host += strlen("tcp://");
	return g_strdup_printf("%.*s:%u", (int)(port - host), host,
			       helper->detour_port);
}

/* Removes fields that a caller has sent under the names of detours. */
static void remove_fields(GString *head)
{
	char *line = strstr(head->str, "\r\n") + 2;

	while (strncmp(line, "\r\n", 2) != 0) {
		char *end = strstr(line, "\r\n") + 2;

		if (!edge_detour_is_field(line)) {
			line = end;
			continue;
		}
		g_string_erase(head, line - head->str, end - line);
	}
}

/* Adds the fields for a helper below the request line. */
static void add_fields(struct edge_detour *ctx, GString *head,
		       const Dsp__Node *helper, const char *endpoint,
		       uint64_t incarnation, int64_t timeout_us,
		       int64_t reuse_idle_us)
{
	const char *self = ctx->edge->set->id;
	char token[TOKEN_LEN + 1];
	const char *line_end = strstr(head->str, "\r\n");
	g_autofree char *fields = NULL;

	write_token(token, self, ctl_state(ctx->edge->ctl).boot, helper->id,
		    helper->boot);
	fields = g_strdup_printf(
		FIELD_FROM ": %s\r\n" FIELD_TOKEN ": %s\r\n" FIELD_ENDPOINT
			   ": %s\r\n" FIELD_INCARNATION ": %" PRIu64
			   "\r\n" FIELD_TIMEOUT ": %" PRId64 "\r\n" FIELD_REUSE
			   ": %" PRId64 "\r\n",
		self, token, endpoint, incarnation, timeout_us, reuse_idle_us);
	g_string_insert(head, line_end + 2 - head->str, fields);
}

/*
 * Returns the instance through which an attempt for the endpoint goes, or NULL:
 * this instance sends it itself. avoid is a NULL-terminated list of ids.
 */
const Dsp__Node *edge_detour_helper(struct edge_detour *ctx,
				    const char *endpoint,
				    const char *const *avoid)
{
	if (pth_state_of(ctx->paths, endpoint) != PTH_LOST)
		return NULL;
	return pth_helper(ctx->paths, endpoint, avoid, now_of(ctx));
}

/* Returns whether helpers are being asked about the endpoint, or reach it. */
bool edge_detour_may_help(const struct edge_detour *ctx, const char *endpoint)
{
	return pth_state_of(ctx->paths, endpoint) != PTH_OPEN;
}

/* Returns whether helpers reach the endpoint and this instance doesn't. */
bool edge_detour_is_lost(const struct edge_detour *ctx, const char *endpoint)
{
	return pth_state_of(ctx->paths, endpoint) == PTH_LOST;
}

/* Directs an attempt to a helper. Returns the helper's address, which the
 * caller frees, or NULL if it has none. */
char *edge_detour_begin(struct edge_detour *ctx, GString *head,
			const Dsp__Node *helper,
			const struct bal_endpoint *endpoint, int64_t timeout_us,
			int64_t reuse_idle_us)
{
	char *address = address_of(helper);

	if (!address)
		return NULL;
	remove_fields(head);
	add_fields(ctx, head, helper, bal_id(endpoint),
		   bal_incarnation(endpoint), timeout_us, reuse_idle_us);
	pth_detour_begun(ctx->paths, helper->id);
	return address;
}

/* Ends an attempt of edge_detour_begin(). */
void edge_detour_end(struct edge_detour *ctx, const char *helper)
{
	pth_detour_ended(ctx->paths, helper);
}

/* Reads what became of an attempt at a helper from its answer. */
enum edge_detour_outcome edge_detour_read(const struct hio_fields *fields)
{
	const char *name = hio_field(fields, FIELD_OUTCOME);

	for (size_t i = 0; name && i < G_N_ELEMENTS(outcome_names); i++)
		if (!strcmp(name, outcome_names[i]))
			return (enum edge_detour_outcome)i;
	return DETOUR_NONE;
}

static void count_sent(struct edge_detour *ctx,
		       enum edge_detour_outcome outcome)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "outcome=\"%s\"",
		   outcome_names[outcome]);
	met_count(ctx->edge->met, "dandelionspar_edge_detours", labels, 1);
}

static enum pth_reply reply_of(enum edge_detour_outcome outcome)
{
	switch (outcome) {
	case DETOUR_ANSWER:
		return PTH_REACHED;
	case DETOUR_UNREACHED:
		return PTH_UNREACHED;
	case DETOUR_NO_PATH:
		return PTH_NO_PATH;
	case DETOUR_NONE:
	case DETOUR_UNKNOWN_ENDPOINT:
	case DETOUR_REFUSED:
	case DETOUR_BROKEN:
		break;
	}
	return PTH_NO_REPLY;
}

/* Records how an attempt through a helper went. DETOUR_NONE: the helper was not
 * reached. */
void edge_detour_result(struct edge_detour *ctx, const char *endpoint,
			const char *helper, enum edge_detour_outcome outcome)
{
	count_sent(ctx, outcome);
	if (outcome == DETOUR_ANSWER || outcome == DETOUR_UNKNOWN_ENDPOINT ||
	    outcome == DETOUR_BROKEN)
		return;
	pth_detour_failed(ctx->paths, endpoint, helper, reply_of(outcome),
			  now_of(ctx));
	edge_detour_run(ctx);
}

/* ---- Paths of this instance ---- */

static void ask_free(struct ask *ask)
{
	LIST_REMOVE(ask, link);
	if (ask->call)
		hio_call_cancel(ask->call);
	event_free(ask->timer);
	g_free(ask->endpoint);
	g_free(ask->helper);
	g_free(ask);
}

static void finish_ask(struct ask *ask)
{
	struct edge_detour *ctx = ask->owner;
	bool was_lost = edge_detour_is_lost(ctx, ask->endpoint);

	pth_replied(ctx->paths, ask->endpoint, ask->helper,
		    reply_of(ask->outcome), now_of(ctx));
	LOG_EVENT_INFO("detour", "asked",
		       "endpoint=%s helper=%s outcome=%s lost=%d was_lost=%d "
		       "took_us=%" PRId64,
		       ask->endpoint, ask->helper, outcome_names[ask->outcome],
		       edge_detour_is_lost(ctx, ask->endpoint), was_lost,
		       now_of(ctx) - ask->start_us);
	ask_free(ask);
	edge_detour_run(ctx);
}

static void on_ask_head(void *data, const struct hio_answer *answer)
{
	struct ask *ask = data;

	ask->outcome = edge_detour_read(&answer->fields);
}

static void on_ask_body(void *data, const char *bytes, size_t len)
{
	(void)data;
	(void)bytes;
	(void)len;
}

static void on_ask_end(void *data)
{
	struct ask *ask = data;

	ask->call = NULL;
	finish_ask(ask);
}

static void on_ask_failed(void *data, enum hio_failure failure)
{
	struct ask *ask = data;

	(void)failure;
	ask->call = NULL;
	ask->outcome = DETOUR_NONE;
	finish_ask(ask);
}

static void on_ask_timer(evutil_socket_t fd, short what, void *data)
{
	struct ask *ask = data;

	(void)fd;
	(void)what;
	ask->outcome = DETOUR_NONE;
	finish_ask(ask);
}

static void start_ask(struct edge_detour *ctx, const struct pth_action *action)
{
	char *address = address_of(action->helper);
	struct ask *ask = g_new0(struct ask, 1);
	struct hio_call_options options = {
		.address = address ? address : "",
		.head = g_string_new(
			"GET / HTTP/1.1\r\nHost: detour\r\n" FIELD_CHECK
			": 1\r\n\r\n"),
		.connect_timeout_us = CONNECT_US,
		.data = ask,
		.head_read = on_ask_head,
		.body_read = on_ask_body,
		.end = on_ask_end,
		.failed = on_ask_failed,
	};

	add_fields(ctx, options.head, action->helper, action->endpoint->id,
		   action->endpoint->incarnation, ASK_US, 0);
	ask->owner = ctx;
	ask->endpoint = g_strdup(action->endpoint->id);
	ask->helper = g_strdup(action->helper->id);
	ask->start_us = now_of(ctx);
	ask->timer = event_new(ctx->edge->base, -1, 0, on_ask_timer, ask);
	hio_set_timer(ask->timer, ASK_US);
	LIST_INSERT_HEAD(&ctx->asks, ask, link);
	ask->call = hio_call_start(ctx->edge->client, &options);
	g_free(address);
}

static void probe_free(struct probe *probe)
{
	LIST_REMOVE(probe, link);
	if (probe->probe)
		hio_probe_cancel(probe->probe);
	g_free(probe->endpoint);
	g_free(probe);
}

static void on_probed(void *data, enum hio_probe_result result)
{
	struct probe *probe = data;
	struct edge_detour *ctx = probe->owner;

	probe->probe = NULL;
	pth_probed(ctx->paths, probe->endpoint, result == HIO_PROBE_CONNECTED,
		   now_of(ctx));
	probe_free(probe);
	edge_detour_run(ctx);
}

static void start_probe(struct edge_detour *ctx,
			const struct pth_action *action)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->owner = ctx;
	probe->endpoint = g_strdup(action->endpoint->id);
	LIST_INSERT_HEAD(&ctx->probes, probe, link);
	met_count(ctx->edge->met, "dandelionspar_edge_path_probes", "", 1);
	probe->probe =
		hio_probe_start(ctx->edge->base, action->endpoint->address,
				CONNECT_US, on_probed, probe);
}

/* Tells the balancer which endpoints are reached through others. */
static void apply_paths(struct edge_detour *ctx)
{
	for (size_t i = 0; i < view_n_endpoints(ctx->edge->view); i++) {
		const char *id = view_endpoint_at(ctx->edge->view, i)->id;

		bal_set_detour(ctx->edge->bal, id,
			       edge_detour_is_lost(ctx, id));
	}
}

static void log_paths(const struct edge_detour *ctx)
{
	met_gauge(ctx->edge->met, "dandelionspar_edge_paths_lost", "",
		  (int64_t)pth_n_lost(ctx->paths));
	LOG_EVENT_NOTICE("detour", "paths",
			 "lost=%zu endpoints=%zu view=%" G_GUINT64_FORMAT
			 " view_age_us=%" PRId64,
			 pth_n_lost(ctx->paths),
			 view_n_endpoints(ctx->edge->view),
			 view_index(ctx->edge->view),
			 ctl_state(ctx->edge->ctl).stale_us);
}

/* Asks and probes what is due. */
void edge_detour_run(struct edge_detour *ctx)
{
	struct pth_action action;

	while (pth_next(ctx->paths, now_of(ctx), &action)) {
		switch (action.kind) {
		case PTH_ASK:
			start_ask(ctx, &action);
			break;
		case PTH_PROBE:
			start_probe(ctx, &action);
			break;
		}
	}
	if (!pth_take_change(ctx->paths))
		return;
	apply_paths(ctx);
	log_paths(ctx);
}

/* Installs the edge's view. */
void edge_detour_view_changed(struct edge_detour *ctx)
{
	pth_set_view(ctx->paths, ctx->edge->view, ctx->edge->set->id);
	/* The balancer's record of an endpoint may be a new one. */
	if (pth_n_lost(ctx->paths))
		apply_paths(ctx);
	edge_detour_run(ctx);
}

/* A new connection to the endpoint was used. */
void edge_detour_connected(struct edge_detour *ctx, const char *endpoint)
{
	pth_connected(ctx->paths, endpoint, now_of(ctx));
}

/* No connection to the endpoint was possible. */
void edge_detour_unreached(struct edge_detour *ctx, const char *endpoint)
{
	if (!ctx->edge->set->edge.detour)
		return;
	pth_unreached(ctx->paths, endpoint, now_of(ctx));
	edge_detour_run(ctx);
}

/* ---- Attempts of others ---- */

/* Frees an attempt after its answer has ended. */
static void taken_free(struct taken *t)
{
	struct edge_detour *ctx = t->owner;

	LIST_REMOVE(t, link);
	ctx->n_taken--;
	ctx->edge->in_flight--;
	if (t->call)
		hio_call_cancel(t->call);
	if (t->probe)
		hio_probe_cancel(t->probe);
	if (t->timer)
		event_free(t->timer);
	hio_fields_clear(&t->fields);
	g_free(t->endpoint);
	g_free(t->from);
	g_free(t->request_id);
	g_free(t);
}

static void log_taken(const struct edge_detour *ctx, const char *from,
		      const char *endpoint, const char *request_id,
		      enum edge_detour_outcome outcome, const char *reason)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "outcome=\"%s\"",
		   outcome_names[outcome]);
	met_count(ctx->edge->met, "dandelionspar_edge_detours_taken", labels,
		  1);
	LOG_EVENT_INFO("detour", "taken",
		       "request=%s from=%s endpoint=%s outcome=%s reason=%s "
		       "view=%" G_GUINT64_FORMAT,
		       request_id ? request_id : "-", from ? from : "-",
		       endpoint ? endpoint : "-", outcome_names[outcome],
		       reason, view_index(ctx->edge->view));
}

/* Answers the sender without an answer of the endpoint. */
static void reply_outcome(struct hio_exchange *exchange,
			  enum edge_detour_outcome outcome)
{
	struct hio_field field = {
		.name = FIELD_OUTCOME,
		.value = (char *)outcome_names[outcome],
	};

	hio_reply(exchange, outcome == DETOUR_ANSWER ? 200 : 503, &field, 1, "",
		  0);
}

static void end_taken(struct taken *t, enum edge_detour_outcome outcome,
		      const char *reason)
{
	log_taken(t->owner, t->from, t->endpoint, t->request_id, outcome,
		  reason);
	if (t->begun)
		hio_reply_abort(t->exchange);
	else
		reply_outcome(t->exchange, outcome);
	taken_free(t);
}

/* Copies the fields of the endpoint's answer for the sender, which gets all
 * that concern more than one connection. */
static void keep_fields(struct taken *t, const struct hio_fields *from)
{
	g_autoptr(GHashTable) named = hio_connection_names(from);
	struct hio_fields *to = &t->fields;

	to->all = g_new0(struct hio_field, from->n + 2);
	for (size_t i = 0; i < from->n; i++) {
		const struct hio_field *field = &from->all[i];

		if (hio_is_hop_by_hop_field(named, field->name) ||
		    edge_detour_is_field(field->name))
			continue;
		to->all[to->n].name = g_strdup(field->name);
		to->all[to->n++].value = g_strdup(field->value);
	}
	to->all[to->n].name = g_strdup(FIELD_OUTCOME);
	to->all[to->n++].value = g_strdup(outcome_names[DETOUR_ANSWER]);
}

static void on_taken_head(void *data, const struct hio_answer *answer)
{
	struct taken *t = data;

	keep_fields(t, &answer->fields);
	if (answer->status == 204 || answer->status == 304) {
		t->bodiless = answer->status;
		return;
	}
	t->begun = true;
	hio_reply_begin(t->exchange, answer->status, t->fields.all,
			t->fields.n);
}

static void on_taken_body(void *data, const char *bytes, size_t len)
{
	struct taken *t = data;

	if (t->begun)
		hio_reply_chunk(t->exchange, bytes, len);
}

static void on_taken_end(void *data)
{
	struct taken *t = data;

	t->call = NULL;
	log_taken(t->owner, t->from, t->endpoint, t->request_id, DETOUR_ANSWER,
		  "-");
	if (t->bodiless)
		hio_reply(t->exchange, t->bodiless, t->fields.all, t->fields.n,
			  "", 0);
	else
		hio_reply_end(t->exchange);
	taken_free(t);
}

static void on_taken_failed(void *data, enum hio_failure failure)
{
	struct taken *t = data;

	t->call = NULL;
	switch (failure) {
	case HIO_NOT_CONNECTED:
		end_taken(t, DETOUR_UNREACHED, "not_connected");
		break;
	case HIO_BROKEN:
		end_taken(t, DETOUR_BROKEN, "broken");
		break;
	case HIO_MALFORMED:
		end_taken(t, DETOUR_BROKEN, "malformed");
		break;
	}
}

static void on_taken_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	end_taken(data, DETOUR_BROKEN, "timeout");
}

static void on_taken_probed(void *data, enum hio_probe_result result)
{
	struct taken *t = data;

	t->probe = NULL;
	if (result == HIO_PROBE_CONNECTED)
		end_taken(t, DETOUR_ANSWER, "check");
	else
		end_taken(t, DETOUR_UNREACHED, "check");
}

/* Writes the request line and fields as the endpoint gets them. */
static GString *write_head(const struct hio_request *request)
{
	g_autoptr(GHashTable) named = hio_connection_names(&request->fields);
	GString *out = g_string_sized_new(512);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", request->method,
			       request->target);
	for (size_t i = 0; i < request->fields.n; i++) {
		const struct hio_field *field = &request->fields.all[i];

		if (!hio_is_hop_by_hop_field(named, field->name) &&
		    !edge_detour_is_field(field->name))
			g_string_append_printf(out, "%s: %s\r\n", field->name,
					       field->value);
	}
	if (hio_field(&request->fields, "Content-Length"))
		g_string_append_printf(out, "Content-Length: %u\r\n",
				       request->body->len);
	g_string_append(out, "\r\n");
	return out;
}

static int64_t number_field(const struct hio_fields *fields, const char *name)
{
	const char *text = hio_field(fields, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/* Returns whether the sender is another instance of the group, whose process
 * this instance knows. */
static bool is_from_group(const struct edge_detour *ctx,
			  const struct hio_fields *fields)
{
	const struct edge *edge = ctx->edge;
	const char *from = hio_field(fields, FIELD_FROM);
	const char *token = hio_field(fields, FIELD_TOKEN);
	const Dsp__Node *node = from ? view_node(edge->view, from) : NULL;
	char expected[TOKEN_LEN + 1];

	if (!node || !token)
		return false;
	write_token(expected, from, node->boot, edge->set->id,
		    ctl_state(edge->ctl).boot);
	return !strcmp(token, expected);
}

/* Returns the endpoint that an attempt is for, if this instance would send a
 * request of its own there. */
static const Dsp__Endpoint *find_endpoint(const struct edge_detour *ctx,
					  const struct hio_fields *fields)
{
	const char *id = hio_field(fields, FIELD_ENDPOINT);
	const char *incarnation = hio_field(fields, FIELD_INCARNATION);
	const Dsp__Endpoint *e = id ? view_endpoint(ctx->edge->view, id) : NULL;

	if (!e || !incarnation ||
	    e->incarnation != g_ascii_strtoull(incarnation, NULL, 10) ||
	    e->state != DSP__ENDPOINT_STATE__ENDPOINT_UP ||
	    bal_bar(ctx->edge->bal, e->id, e->incarnation, now_of(ctx)) ==
		    HINT_LEAVING)
		return NULL;
	return e;
}

static void pass_on(struct taken *t, const Dsp__Endpoint *endpoint,
		    const struct hio_request *request)
{
	struct edge *edge = t->owner->edge;
	struct hio_call_options options = {
		.address = endpoint->address,
		.head = write_head(request),
		.body = request->body,
		.no_answer_body = !strcmp(request->method, "HEAD"),
		.echo_name = t->request_id ? wire_request_id_field : NULL,
		.echo_value = t->request_id,
		.connect_timeout_us = CONNECT_US,
		.reuse_idle_us = number_field(&request->fields, FIELD_REUSE),
		.data = t,
		.head_read = on_taken_head,
		.body_read = on_taken_body,
		.end = on_taken_end,
		.failed = on_taken_failed,
	};

	t->call = hio_call_start(edge->client, &options);
}

/* Returns why this instance does not take an attempt, or NULL. */
static const char *refusal(const struct edge_detour *ctx,
			   const struct hio_fields *fields)
{
	if (!is_from_group(ctx, fields))
		return "not_of_group";
	if (ctx->edge->draining)
		return "stopping";
	switch (ctl_state(ctx->edge->ctl).readiness) {
	case CTL_STARTING:
	case CTL_STALE:
		return "no_confirmed_view";
	case CTL_SERVING:
	case CTL_ISOLATED:
	case CTL_DRAINING:
		break;
	}
	if (ctx->n_taken >= TAKEN_MAX)
		return "too_many";
	return NULL;
}

/*
 * Handles an attempt or a question of another instance; the server's callback.
 * It is sent to the named endpoint only, and by this instance itself: one hop.
 */
void edge_detour_request(void *data, struct hio_exchange *exchange)
{
	struct edge *edge = data;
	struct edge_detour *ctx = edge->detour;
	const struct hio_request *request = hio_exchange_request(exchange);
	const struct hio_fields *fields = &request->fields;
	const char *from = hio_field(fields, FIELD_FROM);
	const char *id = hio_field(fields, FIELD_ENDPOINT);
	const char *request_id = hio_field(fields, wire_request_id_field);
	const char *reason = refusal(ctx, fields);
	const Dsp__Endpoint *endpoint;
	enum edge_detour_outcome outcome = DETOUR_REFUSED;
	struct taken *t;

	endpoint = reason ? NULL : find_endpoint(ctx, fields);
	if (!reason && !endpoint) {
		outcome = DETOUR_UNKNOWN_ENDPOINT;
		reason = "not_in_view";
	} else if (endpoint && edge_detour_is_lost(ctx, endpoint->id)) {
		outcome = DETOUR_NO_PATH;
		reason = "path_lost";
	}
	if (reason) {
		log_taken(ctx, from, id, request_id, outcome, reason);
		reply_outcome(exchange, outcome);
		return;
	}
	t = g_new0(struct taken, 1);
	t->owner = ctx;
	t->exchange = exchange;
	t->endpoint = g_strdup(id);
	t->from = g_strdup(from);
	t->request_id = g_strdup(request_id);
	t->timer = event_new(edge->base, -1, 0, on_taken_timer, t);
	hio_set_timer(t->timer, CLAMP(number_field(fields, FIELD_TIMEOUT), 1,
				      3600 * EDGE_S_US) +
					OVERTIME_US);
	LIST_INSERT_HEAD(&ctx->taken, t, link);
	ctx->n_taken++;
	edge->in_flight++;
	hio_exchange_set_data(exchange, t);
	if (hio_field(fields, FIELD_CHECK))
		t->probe = hio_probe_start(edge->base, endpoint->address,
					   CONNECT_US, on_taken_probed, t);
	else
		pass_on(t, endpoint, request);
}

/* Cancels the attempt of a sender that has left, at the endpoint too; the
 * server's callback. */
void edge_detour_sender_left(void *data, struct hio_exchange *exchange)
{
	struct taken *t = hio_exchange_data(exchange);

	(void)data;
	if (!t)
		return;
	log_taken(t->owner, t->from, t->endpoint, t->request_id, DETOUR_BROKEN,
		  "sender_left");
	taken_free(t);
}

/* Cancels everything when the process ends. */
void edge_detour_stop(struct edge_detour *ctx)
{
	while (!LIST_EMPTY(&ctx->asks))
		ask_free(LIST_FIRST(&ctx->asks));
	while (!LIST_EMPTY(&ctx->probes))
		probe_free(LIST_FIRST(&ctx->probes));
	while (!LIST_EMPTY(&ctx->taken)) {
		hio_exchange_set_data(LIST_FIRST(&ctx->taken)->exchange, NULL);
		taken_free(LIST_FIRST(&ctx->taken));
	}
}

/* Frees ctx after edge_detour_stop(). */
void edge_detour_free(struct edge_detour *ctx)
{
	if (!ctx)
		return;
	pth_free(ctx->paths);
	g_free(ctx);
}
