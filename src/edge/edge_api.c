#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>
#include <sys/resource.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/msg.h"

/* API for endpoints, operators, callers that resolve entries, and health
 * checks; metrics. */

/* Limits of API requests; a route table with hundreds of routes has some
 * hundred kilobytes. */
#define CALL_HEADER_BYTES (16 << 10)
#define CALL_BODY_BYTES (8 << 20)
#define CALL_HEADER_US (5 * EDGE_S_US)
#define CALL_IDLE_US (30 * EDGE_S_US)
/* Limits of callers' requests until the first route table. */
#define INITIAL_HEADER_BYTES (16 << 10)
#define INITIAL_BODY_BYTES (4 << 20)
/* Operators time out after a second, later for large bodies, and then ask
 * another instance. */
#define PUT_TIMEOUT_US 2500000
#define GET_TIMEOUT_US 900000
/* Endpoints time out after one second. */
#define LEAVE_TIMEOUT_US 900000
#define ENTRIES_MAX 64
/* Endpoints up to which control instances take all announcements themselves. */
#define ANNOUNCE_HERE_MAX 256
/* An endpoint that was named an entry and comes back within this time could not
 * announce itself there. It stays here for the rest of the time. */
#define ELSEWHERE_RETRY_US (10 * EDGE_S_US)
/* Shares of the process's descriptors, in 1/32, that a listener may use. A
 * quarter is left for endpoints, other instances and files. */
#define MAIN_SHARE 16 /* callers */
#define ALONE_SHARE \
	24 /* endpoints and operators of an instance without callers */
#define OTHER_SHARE 4 /* endpoints and operators beside callers */
#define SMALL_SHARE 2 /* readiness, entry lists, other instances */
#define METRICS_SHARE 1
#define IDLE_SHARE 4 /* idle connections to endpoints */
#define SHARES 32
#define CONNS_MIN 8
/* Part of a listener's connections that one address may have: callers may come
 * through a common address, and a single one must not fill the listener. */
#define PER_ADDRESS_SHARE 0.75
/* Where the system's limit cannot be read. */
#define DESCRIPTORS_DEFAULT 1024

static void reply_text(struct hio_exchange *exchange, int status,
		       const char *type, const char *body)
{
	struct hio_field field = { .name = "Content-Type",
				   .value = (char *)type };

	hio_reply(exchange, status, &field, 1, body, strlen(body));
}

static void reply_error(struct hio_exchange *exchange, int status,
			const char *message)
{
	char *body = wire_write_error(message);

	reply_text(exchange, status, "application/json", body);
	g_free(body);
}

/* ---- Entry lists ---- */

static void reply_entries(struct edge *ctx, struct hio_exchange *exchange)
{
	const char *addresses[ENTRIES_MAX];
	size_t total = view_n_nodes(ctx->view);
	size_t n = 0;
	char *body;

	for (size_t i = 0; i < total && n < ENTRIES_MAX; i++) {
		const Dsp__Node *node = view_node_at(ctx->view, i);

		if (node->http_address[0] && !node->down && !node->draining)
			addresses[n++] = node->http_address;
	}
	if (!n) {
		reply_error(exchange, 503, "no entry is known");
		return;
	}
	body = wire_write_entry_list(addresses, n,
				     ctx->set->edge.entry_validity_s);
	reply_text(exchange, 200, "application/json", body);
	g_free(body);
}

/* Refuses a command that no leader would take within its caller's time. The
 * caller asks another instance then, instead of waiting here. */
static bool refuse_without_leader(struct edge *ctx,
				  struct hio_exchange *exchange,
				  const char *what)
{
	if (ctl_expects_leader(ctx->ctl))
		return false;
	met_count(ctx->met, "dandelionspar_commands_without_leader", "", 1);
	LOG_EVENT_INFO("edge", "no_leader",
		       "refused=%s leaderless_us=%" PRId64
		       " view_age_us=%" PRId64,
		       what, ctl_state(ctx->ctl).leaderless_us,
		       ctl_state(ctx->ctl).stale_us);
	reply_error(exchange, 503, "no contact with a leader");
	return true;
}

/* ---- Endpoints ---- */

static void leave_done(struct edge *ctx, struct edge_call *call)
{
	(void)ctx;
	if (!call->exchange)
		return;
	if (call->result &&
	    (call->result->code == DSP__RESULT_CODE__RESULT_OK ||
	     call->result->code == DSP__RESULT_CODE__RESULT_SAME ||
	     call->result->code == DSP__RESULT_CODE__RESULT_STALE))
		reply_text(call->exchange, 200, "application/json", "{}");
	else
		reply_error(call->exchange, 503, "not recorded");
}

/* Acknowledges a leaving endpoint once the state is committed, so that every
 * later leader knows it. */
static void commit_leaving(struct edge *ctx, struct hio_exchange *exchange,
			   const Dsp__Endpoint *endpoint)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
	Dsp__Endpoint leaving = *endpoint;

	if (refuse_without_leader(ctx, exchange, "departure"))
		return;
	leaving.state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	put.endpoint = &leaving;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	edge_call_start(ctx, exchange, msg_dup(&command), LEAVE_TIMEOUT_US,
			leave_done, NULL);
	LOG_EVENT_NOTICE("edge", "endpoint_leaves",
			 "endpoint=%s incarnation=%" G_GUINT64_FORMAT,
			 endpoint->id, endpoint->incarnation);
}

/* Returns whether the leader can be reached. An endpoint that announces itself
 * to an instance without contact would lose its lease, so it is refused and
 * goes to another instance. */
static bool has_leader_contact(struct edge *ctx)
{
	switch (ctl_state(ctx->ctl).readiness) {
	case CTL_SERVING:
	case CTL_DRAINING:
		return true;
	case CTL_STARTING:
	case CTL_ISOLATED:
	case CTL_STALE:
		break;
	}
	return false;
}

/* Returns where the endpoint should announce itself from now on: at an entry of
 * its site, so that a few control instances need not read the announcements of
 * thousands of endpoints. NULL: here. */
static const char *announce_elsewhere(struct edge *ctx,
				      const Dsp__Endpoint *endpoint)
{
	const char *best = NULL;
	uint64_t best_rank = 0;

	if (ctx->set->edge.announce ||
	    view_n_endpoints(ctx->view) < ANNOUNCE_HERE_MAX)
		return NULL;
	for (size_t i = 0; i < view_n_nodes(ctx->view); i++) {
		const Dsp__Node *node = view_node_at(ctx->view, i);
		uint64_t rank;

		if (!node->announce_address[0] || node->down ||
		    node->draining || strcmp(node->site, endpoint->site) != 0)
			continue;
		rank = XXH3_64bits_withSeed(node->id, strlen(node->id),
					    g_str_hash(endpoint->id));
		if (best && rank <= best_rank)
			continue;
		best = node->announce_address;
		best_rank = rank;
	}
	return best;
}

/* Returns true if the endpoint was named an entry a short time ago, or else
 * notes that it is now. */
static bool came_back(struct edge *ctx, const char *id)
{
	int64_t now_us = clk_now_us(ctx->clock);
	int64_t *sent_us = g_hash_table_lookup(ctx->sent_elsewhere, id);

	if (sent_us && now_us - *sent_us < ELSEWHERE_RETRY_US)
		return true;
	/* Those that have ended are dropped with all others. */
	if (g_hash_table_size(ctx->sent_elsewhere) >
	    2 * view_n_endpoints(ctx->view))
		g_hash_table_remove_all(ctx->sent_elsewhere);
	g_hash_table_replace(ctx->sent_elsewhere, g_strdup(id),
			     g_memdup2(&now_us, sizeof(now_us)));
	return false;
}

static void reply_announced(struct edge *ctx, struct hio_exchange *exchange,
			    const Dsp__Endpoint *endpoint)
{
	const char *entry = announce_elsewhere(ctx, endpoint);
	char *body = wire_write_announced(
		entry && !came_back(ctx, endpoint->id) ? entry : NULL);

	reply_text(exchange, 200, "application/json", body);
	g_free(body);
}

static void announce(struct edge *ctx, struct hio_exchange *exchange,
		     const char *id)
{
	const struct hio_request *request = hio_exchange_request(exchange);
	g_autofree char *escaped = NULL;
	GError *error = NULL;
	Dsp__Announcement *a =
		wire_read_announcement(id, (const char *)request->body->data,
				       request->body->len, &error);

	if (!a) {
		met_count(ctx->met, "dandelionspar_announcements_malformed", "",
			  1);
		escaped = g_strescape(id, NULL);
		LOG_EVENT_INFO("edge", "announcement_refused",
			       "endpoint=%.128s reason=\"%s\"", escaped,
			       error->message);
		g_clear_error(&error);
		reply_error(exchange, 400, "malformed announcement");
		return;
	}
	if (!a->leaving && ctl_is_behind(ctx->ctl)) {
		met_count(ctx->met, "dandelionspar_announcements_behind", "",
			  1);
		reply_error(exchange, 503, "the control thread is behind");
		dsp__announcement__free_unpacked(a, NULL);
		return;
	}
	if (!has_leader_contact(ctx))
		reply_error(exchange, 503, "no contact with the leader");
	else if (a->leaving)
		commit_leaving(ctx, exchange, a->endpoint);
	else
		reply_announced(ctx, exchange, a->endpoint);
	ctl_announce(ctx->ctl, a);
	dsp__announcement__free_unpacked(a, NULL);
}

/* Refuses a withdrawal of a process that the view does not have yet: others may
 * have it already, and would send it requests after an acknowledgement. */
static void refuse_withdrawal(struct edge *ctx, struct hio_exchange *exchange,
			      const char *id, uint64_t incarnation,
			      const Dsp__Endpoint *known)
{
	g_autofree char *escaped = g_strescape(id, NULL);

	met_count(ctx->met, "dandelionspar_withdrawals_unknown", "", 1);
	LOG_EVENT_INFO("edge", "withdrawal_unknown",
		       "endpoint=%.128s incarnation=%" G_GUINT64_FORMAT
		       " known=%" G_GUINT64_FORMAT " view=%" G_GUINT64_FORMAT
		       " view_age_us=%" PRId64,
		       escaped, incarnation, known ? known->incarnation : 0,
		       view_index(ctx->view), ctl_state(ctx->ctl).stale_us);
	reply_error(exchange, 503, "the endpoint is not known here");
}

static void withdraw(struct edge *ctx, struct hio_exchange *exchange,
		     const char *id)
{
	const struct hio_request *request = hio_exchange_request(exchange);
	const Dsp__Endpoint *known = view_endpoint(ctx->view, id);
	uint64_t incarnation;

	if (!wire_read_withdrawal((const char *)request->body->data,
				  request->body->len, &incarnation)) {
		reply_error(exchange, 400, "malformed withdrawal");
		return;
	}
	if (!has_leader_contact(ctx))
		reply_error(exchange, 503, "no contact with the leader");
	else if (known && incarnation && incarnation < known->incarnation)
		reply_text(exchange, 200, "application/json", "{}");
	else if (known && (!incarnation || incarnation == known->incarnation))
		commit_leaving(ctx, exchange, known);
	else
		refuse_withdrawal(ctx, exchange, id, incarnation, known);
}

/* ---- Operators ---- */

/* Returns what became of a route table, for logs and metrics. */
static const char *put_outcome(const struct edge_call *call)
{
	if (!call->result)
		return call->not_sent ? "not_sent" : "unknown";
	switch (call->result->code) {
	case DSP__RESULT_CODE__RESULT_OK:
		return "accepted";
	case DSP__RESULT_CODE__RESULT_SAME:
		return "in_force";
	default:
		return "refused";
	}
}

static void report_put(struct edge *ctx, const struct edge_call *call)
{
	const Dsp__CommandResult *result = call->result;
	int64_t took_us = clk_now_us(ctx->clock) - call->start_us;
	g_autofree char *labels =
		g_strdup_printf("outcome=\"%s\",answered=\"%d\"",
				put_outcome(call), call->exchange != NULL);

	met_observe_us(ctx->met, "dandelionspar_route_table_put_us", labels,
		       took_us);
	LOG_EVENT_NOTICE(
		"edge", "route_table_put",
		"number=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT
		" code=%d outcome=%s took_us=%" PRId64 " caller_left=%d",
		call->command->route_table_put->table->number,
		result ? result->number : 0, result ? (int)result->code : -1,
		put_outcome(call), took_us, !call->exchange);
}

static void put_done(struct edge *ctx, struct edge_call *call)
{
	const Dsp__CommandResult *result = call->result;

	report_put(ctx, call);
	if (!call->exchange)
		return;
	if (!result) {
		reply_error(call->exchange, 503,
			    call->not_sent ? "not recorded"
					   : "the outcome is not known");
		return;
	}
	switch (result->code) {
	case DSP__RESULT_CODE__RESULT_OK:
	case DSP__RESULT_CODE__RESULT_SAME:
		reply_text(call->exchange, 200, "application/json", "{}");
		break;
	default:
		reply_error(call->exchange, 503, result->message);
		break;
	}
}

static void put_route_table(struct edge *ctx, struct hio_exchange *exchange)
{
	const struct hio_request *request = hio_exchange_request(exchange);
	GError *error = NULL;
	Dsp__RouteTable *table = wire_read_route_table(
		(const char *)request->body->data, request->body->len, &error);
	Dsp__Command *command;

	if (!table) {
		LOG_EVENT_NOTICE("edge", "route_table_refused", "reason=\"%s\"",
				 error->message);
		reply_error(exchange, 400, error->message);
		g_clear_error(&error);
		return;
	}
	if (refuse_without_leader(ctx, exchange, "route_table")) {
		dsp__route_table__free_unpacked(table, NULL);
		return;
	}
	command = g_new(Dsp__Command, 1);
	dsp__command__init(command);
	command->body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
	command->route_table_put = g_new(Dsp__RouteTablePut, 1);
	dsp__route_table_put__init(command->route_table_put);
	command->route_table_put->table = table;
	edge_call_start(ctx, exchange, command, PUT_TIMEOUT_US, put_done, NULL);
}

static void get_done(struct edge *ctx, struct edge_call *call)
{
	const Dsp__CommandResult *result = call->result;
	struct hio_field field = { .name = "Content-Type",
				   .value = "application/json" };

	(void)ctx;
	if (!call->exchange)
		return;
	if (result && result->code == DSP__RESULT_CODE__RESULT_OK &&
	    result->route_table)
		hio_reply(call->exchange, 200, &field, 1,
			  result->route_table->source.data,
			  result->route_table->source.len);
	else
		reply_error(call->exchange, 503,
			    result ? "no route table yet"
				   : "the route table in force is not known");
}

static void get_route_table(struct edge *ctx, struct hio_exchange *exchange)
{
	Dsp__Command *command;

	if (refuse_without_leader(ctx, exchange, "read"))
		return;
	command = g_new(Dsp__Command, 1);
	dsp__command__init(command);
	command->body_case = DSP__COMMAND__BODY_ROUTE_TABLE_GET;
	command->route_table_get = g_new(Dsp__RouteTableGet, 1);
	dsp__route_table_get__init(command->route_table_get);
	edge_call_start(ctx, exchange, command, GET_TIMEOUT_US, get_done, NULL);
}

/* ---- Dispatch ---- */

static void on_call(void *data, struct hio_exchange *exchange)
{
	struct edge *ctx = data;
	const struct hio_request *request = hio_exchange_request(exchange);
	char *id;

	switch (wire_call_of(request->method, request->target, &id)) {
	case WIRE_READINESS:
		if (edge_is_ready(ctx))
			reply_text(exchange, 200, "text/plain", "ready\n");
		else
			reply_error(exchange, 503, "not ready");
		break;
	case WIRE_ENTRY_LIST:
		reply_entries(ctx, exchange);
		break;
	case WIRE_ANNOUNCE:
		announce(ctx, exchange, id);
		break;
	case WIRE_WITHDRAW:
		withdraw(ctx, exchange, id);
		break;
	case WIRE_PUT_ROUTE_TABLE:
		put_route_table(ctx, exchange);
		break;
	case WIRE_GET_ROUTE_TABLE:
		get_route_table(ctx, exchange);
		break;
	case WIRE_UNKNOWN:
		reply_error(exchange, 404, "no such call");
		break;
	}
	g_free(id);
}

static void on_call_closed(void *data, struct hio_exchange *exchange)
{
	struct edge_call *call = hio_exchange_data(exchange);

	(void)data;
	if (call)
		call->exchange = NULL;
}

static void on_metrics(void *data, struct hio_exchange *exchange)
{
	struct edge *ctx = data;
	char *text = met_to_prometheus(ctx->met);

	reply_text(exchange, 200, "text/plain; version=0.0.4", text);
	g_free(text);
}

static void on_refused(void *data, int status, const char *reason)
{
	struct edge *ctx = data;
	char labels[64];

	g_snprintf(labels, sizeof(labels), "status=\"%d\",reason=\"%s\"",
		   status, reason);
	met_count(ctx->met, "dandelionspar_unreadable_requests", labels, 1);
}

static void on_closed(void *data, const char *reason)
{
	struct edge *ctx = data;
	char labels[64];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	met_count(ctx->met, "dandelionspar_connections_closed", labels, 1);
}

/* Descriptors that this process may use. */
static size_t descriptors_max(const struct edge *ctx)
{
	size_t reserved = ctx->set->edge.descriptors_reserved;
	size_t max = ctx->set->edge.descriptors_max;
	struct rlimit limit;

	if (!max)
		max = getrlimit(RLIMIT_NOFILE, &limit) ? DESCRIPTORS_DEFAULT
						       : limit.rlim_cur;
	return max > reserved ? max - reserved : 0;
}

static bool open_server(struct edge *ctx, const char *listen, size_t share,
			const struct hio_server_options *like,
			struct hio_server **out, GError **err)
{
	struct hio_server_options options = *like;
	size_t conns = descriptors_max(ctx) * share / SHARES;

	if (!listen)
		return true;
	options.base = ctx->base;
	options.listen = listen;
	options.data = ctx;
	options.refused = on_refused;
	options.closed = on_closed;
	options.mem = ctx->mem;
	options.clock = ctx->clock;
	options.conns_max = MAX(conns, CONNS_MIN);
	options.conns_max_per_address =
		(size_t)(PER_ADDRESS_SHARE * (double)options.conns_max);
	*out = hio_server_new(&options, err);
	return *out != NULL;
}

/* Opens all configured listening sockets. */
bool edge_api_open(struct edge *ctx, GError **err)
{
	const struct set_edge *set = &ctx->set->edge;
	const struct hio_limits limits = {
		.header_bytes = CALL_HEADER_BYTES,
		.body_bytes = CALL_BODY_BYTES,
		.header_us = CALL_HEADER_US,
		.idle_us = CALL_IDLE_US,
	};
	const struct hio_server_options calls = {
		.limits = limits,
		.request = on_call,
		.disconnected = on_call_closed,
	};
	const struct hio_server_options front = {
		.limits = { .header_bytes = INITIAL_HEADER_BYTES,
			    .body_bytes = INITIAL_BODY_BYTES,
			    .header_us = CALL_HEADER_US,
			    .idle_us = CALL_IDLE_US },
		.request = fwd_request,
		.disconnected = fwd_caller_left,
	};
	const struct hio_server_options detours = {
		.limits = front.limits,
		.request = edge_detour_request,
		.disconnected = edge_detour_sender_left,
	};
	const struct hio_server_options metrics = {
		.limits = limits,
		.request = on_metrics,
		.disconnected = on_call_closed,
	};
	const struct {
		const char *listen;
		size_t share;
		const struct hio_server_options *like;
		struct hio_server **out;
	} servers[] = {
		{ set->ready, SMALL_SHARE, &calls, &ctx->ready },
		{ set->directory, SMALL_SHARE, &calls, &ctx->directory },
		{ set->control, set->front ? OTHER_SHARE : ALONE_SHARE, &calls,
		  &ctx->control },
		{ set->front, MAIN_SHARE, &front, &ctx->front },
		{ set->announce, OTHER_SHARE, &calls, &ctx->announce },
		{ set->front ? set->detour : NULL, SMALL_SHARE, &detours,
		  &ctx->detours },
		{ set->metrics, METRICS_SHARE, &metrics, &ctx->metrics },
	};

	hio_client_set_idle_max(ctx->client,
				descriptors_max(ctx) * IDLE_SHARE / SHARES);
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		if (!open_server(ctx, servers[i].listen, servers[i].share,
				 servers[i].like, servers[i].out, err))
			return false;
	return true;
}

/* Closes all listening sockets and connections. */
void edge_api_close(struct edge *ctx)
{
	struct hio_server **servers[] = { &ctx->front,	   &ctx->ready,
					  &ctx->directory, &ctx->control,
					  &ctx->announce,  &ctx->detours,
					  &ctx->metrics };

	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		hio_server_free(*servers[i]);
		*servers[i] = NULL;
	}
}
