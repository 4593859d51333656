#include "traffic/trf_int.h"

#include "base/log.h"
#include "core/ent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define APPLY_TIMEOUT_US 10000000

/* GET /v1/entries: section 12 of docs/design.md. */
void api_entries(struct api *api)
{
	struct ctl_state state = api->ctx->ops->state(api->ctx->ctl);
	const char *query = api->info->query_string;
	struct view *view = trf_view(api->ctx);
	struct ent_item items[ENT_LIST_MAX];
	json_t *list = json_array();
	char site[64] = "";
	char extra[64];
	json_t *object;
	size_t n;

	if (query &&
	    mg_get_var(query, strlen(query), "site", site, sizeof(site)) < 0)
		site[0] = '\0';
	n = ent_list(view, site[0] ? site : NULL, ++api->ctx->counter, items);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:I}", "id", items[i].node->id,
				  "address", items[i].node->http_address,
				  "site", items[i].node->site, "weight",
				  (json_int_t)items[i].weight));
	object =
		json_pack("{s:o,s:i,s:b}", "entries", list, "valid_s",
			  (int)api->ctx->settings->entry_validity_s, "isolated",
			  state.readiness == CTL_ISOLATED ||
				  state.readiness == CTL_STALE);
	g_snprintf(extra, sizeof(extra), "Cache-Control: max-age=%u\r\n",
		   api->ctx->settings->entry_validity_s);
	api_json(api, 200, extra, object);
	view_unref(view);
}

/* ---- Documents ---- */

static void reply_faults(struct api *api, const GPtrArray *faults)
{
	json_t *object = api_error_json(
		"document_invalid", "the document is not valid", TRF_NOT_RUN);
	json_t *list = json_array();

	for (guint i = 0; i < faults->len; i++) {
		json_t *text = json_string(faults->pdata[i]);

		json_array_append_new(list,
				      text ? text : json_string("not UTF-8"));
	}
	json_object_set_new(json_object_get(object, "error"), "faults", list);
	api_json(api, 400, NULL, object);
}

static void reply_applied(struct api *api, const char *team,
			  const Dsp__CommandResult *result, uint64_t number)
{
	bool same = result->code == DSP__RESULT_CODE__RESULT_SAME;
	uint64_t in_force = result->number ? result->number : number;

	/* A document that is sent again, because the answer was lost, gets the
	 * same answer as the first time. */
	api_json(api, 200, NULL,
		 json_pack("{s:s,s:I,s:I,s:s}", "team", team, "number",
			   (json_int_t)(same ? number : in_force), "index",
			   (json_int_t)result->index, "result", "accepted"));
}

static void reply_conflict(struct api *api, const Dsp__CommandResult *result)
{
	json_t *object = api_error_json(
		"document_conflict",
		"the number is not one above the number in force", TRF_NOT_RUN);

	json_object_set_new(json_object_get(object, "error"), "number",
			    json_integer((json_int_t)result->number));
	api_json(api, 409, NULL, object);
}

static void reply_result(struct api *api, const char *team,
			 const Dsp__CommandResult *result, uint64_t number)
{
	switch (result->code) {
	case DSP__RESULT_CODE__RESULT_OK:
	case DSP__RESULT_CODE__RESULT_SAME:
		reply_applied(api, team, result, number);
		return;
	case DSP__RESULT_CODE__RESULT_CONFLICT:
		reply_conflict(api, result);
		return;
	case DSP__RESULT_CODE__RESULT_INVALID:
	case DSP__RESULT_CODE__RESULT_LIMIT:
		api_error(api, 400, "document_rejected", TRF_NOT_RUN, 0, "%s",
			  result->message ? result->message : "");
		return;
	default:
		api_error(api, 503, "outcome_unknown", TRF_RAN_UNKNOWN, 1,
			  "it is not known whether the document was accepted; "
			  "send it again");
	}
}

static void submit_document(struct api *api, const char *team, uint64_t number)
{
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__CommandResult *result;
	GError *err = NULL;

	put.team = (char *)team;
	put.number = number;
	put.text = api->body;
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	result = api->ctx->ops->submit(api->ctx->ctl, &command,
				       APPLY_TIMEOUT_US, &err);
	if (result) {
		LOG_EVENT_NOTICE("api", "document",
				 "team=%s number=%" PRIu64 " result=%d", team,
				 number, (int)result->code);
		reply_result(api, team, result, number);
		dsp__command_result__free_unpacked(result, NULL);
		return;
	}
	if (g_error_matches(err, CTL_ERROR, CTL_ERROR_NOT_SENT))
		api_error(api, 503, "control_unavailable", TRF_NOT_RUN, 1,
			  "no leader can be reached");
	else
		api_error(api, 503, "outcome_unknown", TRF_RAN_UNKNOWN, 1,
			  "it is not known whether the document was accepted; "
			  "send it again");
	g_clear_error(&err);
}

struct parse_args {
	const char *team;
	const struct api *api;
	GPtrArray *faults;
	struct doc *doc;
};

static void *parse_thread(void *data)
{
	struct parse_args *p = data;

	p->doc = doc_parse(p->team, p->api->body, p->api->body_len, p->faults);
	return NULL;
}

/* Parses in a thread with the default stack size: the TOML parser recurses for
 * nested values, and the stacks of CivetWeb's threads have 100 KB only. */
static struct doc *parse_document(const struct api *api, const char *team,
				  GPtrArray *faults)
{
	struct parse_args p = { .team = team, .api = api, .faults = faults };
	pthread_t thread;

	if (pthread_create(&thread, NULL, parse_thread, &p)) {
		g_ptr_array_add(faults, g_strdup("no thread to parse it"));
		return NULL;
	}
	pthread_join(thread, NULL);
	return p.doc;
}

/* PUT /v1/documents/{team}: validates the whole document and commits it. */
void api_document_put(struct api *api, const char *team)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct doc *doc = NULL;

	if (!api_read_body(api))
		goto out;
	doc = parse_document(api, team, faults);
	if (doc && strcmp(doc->team, team))
		g_ptr_array_add(faults,
				g_strdup_printf("%s: team: \"%s\" given; must "
						"be the team of the path",
						team, doc->team));
	if (!doc || faults->len) {
		reply_faults(api, faults);
		goto out;
	}
	if (strlen(api->body) != api->body_len) {
		api_error(api, 400, "document_invalid", TRF_NOT_RUN, 0,
			  "the document contains a NUL character");
		goto out;
	}
	submit_document(api, team, doc->number);
out:
	doc_free(doc);
	g_ptr_array_unref(faults);
}

/* GET /v1/documents/{team}: the text in force at this entry. Headers have the
 * document's number and log index. */
void api_document_get(struct api *api, const char *team)
{
	struct view *view = trf_view(api->ctx);
	const struct view_document *d =
		api_is_valid_name(team) ? view_document(view, team) : NULL;
	char extra[128];

	if (!d) {
		api_error(api, 404, "unknown_team", TRF_NOT_RUN, 0,
			  "no document of this team is in force");
		goto out;
	}
	g_snprintf(extra, sizeof(extra),
		   "X-Document-Number: %" PRIu64 "\r\n"
		   "X-Document-Index: %" PRIu64 "\r\n",
		   d->document->number, d->document->index);
	api_reply(api, 200, "application/toml", extra, d->document->text,
		  strlen(d->document->text));
out:
	view_unref(view);
}

/* ---- Operators' calls ---- */

/* GET /v1/status: the state of the system and the load of this entry. */
void api_status(struct api *api)
{
	struct trf *ctx = api->ctx;
	char *text = ctx->ops->status_json(ctx->ctl);
	json_t *object = text ? json_loads(text, 0, NULL) : NULL;
	json_t *traffic = json_pack(
		"{s:I,s:I,s:I}", "in_flight", (json_int_t)ctx->in_flight,
		"connections", (json_int_t)ctx->connections, "memory_bytes",
		(json_int_t)ctx->memory_used);

	g_free(text);
	if (!json_is_object(object)) {
		json_decref(object);
		object = json_object();
	}
	json_object_set_new(object, "traffic", traffic);
	api_json(api, 200, NULL, object);
}

/* POST /v1/drain: this instance leaves the list of entries and then stops. */
void api_drain(struct api *api)
{
	LOG_EVENT_NOTICE("api", "drain", "from=%s", api->info->remote_addr);
	api->ctx->ops->drain(api->ctx->ctl);
	api->ctx->drain_requested = true;
	api_json(api, 202, NULL, json_pack("{s:s}", "status", "draining"));
}

static bool read_u64(const json_t *value, uint64_t *out)
{
	const char *text = json_string_value(value);
	char *end;

	if (json_is_integer(value) && json_integer_value(value) > 0) {
		*out = (uint64_t)json_integer_value(value);
		return true;
	}
	if (!text || !g_ascii_isdigit(text[0]))
		return false;
	*out = g_ascii_strtoull(text, &end,
				g_str_has_prefix(text, "0x") ? 16 : 10);
	return !*end && *out;
}

/* POST /v1/replicas/replace {"replica": id}. The id may be a string: JSON
 * numbers of many programs are exact up to 53 bits only. */
void api_replace(struct api *api)
{
	GError *err = NULL;
	uint64_t replica;
	json_error_t where;
	json_t *body;
	bool ok;

	if (!api_read_body(api))
		return;
	body = trf_parse_json(api->body, api->body_len, &where);
	ok = read_u64(json_object_get(body, "replica"), &replica);
	json_decref(body);
	if (!ok) {
		api_error(api, 400, "invalid_request", TRF_NOT_RUN, 0,
			  "the body must be {\"replica\": id}");
		return;
	}
	if (!api->ctx->ops->replace(api->ctx->ctl, replica, &err)) {
		api_error(api, 409, "replace_rejected", TRF_NOT_RUN, 0, "%s",
			  err ? err->message : "rejected");
		g_clear_error(&err);
		return;
	}
	api_json(api, 202, NULL, json_pack("{s:s}", "status", "replacing"));
}

/* GET /metrics in the Prometheus text format. */
void api_metrics(struct api *api)
{
	struct trf *ctx = api->ctx;
	char *text;

	met_gauge(ctx->metrics, "dandelionspar_requests_in_flight", "",
		  (int64_t)ctx->in_flight);
	met_gauge(ctx->metrics, "dandelionspar_connections", "",
		  (int64_t)ctx->connections);
	met_gauge(ctx->metrics, "dandelionspar_memory_held_bytes", "",
		  (int64_t)ctx->memory_used);
	met_gauge(ctx->metrics, "dandelionspar_limit", "limit=\"requests_max\"",
		  ctx->settings->requests_max);
	met_gauge(ctx->metrics, "dandelionspar_limit",
		  "limit=\"memory_mb_max\"", ctx->settings->memory_mb_max);
	met_gauge(ctx->metrics, "dandelionspar_limit", "limit=\"queue_max\"",
		  ctx->settings->queue_max);
	text = met_to_prometheus(ctx->metrics);
	api_reply(api, 200, "text/plain; version=0.0.4", NULL, text,
		  strlen(text));
	g_free(text);
}

/* GET /healthz: 200 while this entry serves requests. */
void api_healthz(struct api *api)
{
	static const char *const names[] = {
		[CTL_STARTING] = "starting", [CTL_SERVING] = "serving",
		[CTL_ISOLATED] = "isolated", [CTL_STALE] = "stale",
		[CTL_DRAINING] = "draining",
	};
	struct ctl_state state = api->ctx->ops->state(api->ctx->ctl);
	bool serves = state.readiness == CTL_SERVING ||
		      state.readiness == CTL_ISOLATED ||
		      state.readiness == CTL_DRAINING;

	api_json(api, serves ? 200 : 503, NULL,
		 json_pack("{s:s,s:b}", "status", names[state.readiness],
			   "draining", state.draining));
}
