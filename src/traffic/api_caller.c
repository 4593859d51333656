#include "traffic/trf_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEADLINE_MAX_MS 86400000
#define DEADLINE_DEFAULT_US 600000000LL
/* For non-idempotent requests: the caller waits for the answer, and the claim
 * blocks the idempotency key meanwhile. */
#define CLAIM_DEADLINE_DEFAULT_US 60000000LL
#define ANSWER_QUERY_TIMEOUT_US 2000000
#define CLAIM_GET_TIMEOUT_US 2000000
#define MAX_TOKENS_DEFAULT 256
#define PREFIX_BYTES_MIN 256
#define BYTES_PER_TOKEN 4

/* Retry-After: an entry that lost contact with the leader usually finds it
 * again within this time. */
#define RETRY_ISOLATED_S 5

/* ---- Admission ---- */

static bool check_readiness(struct api *api)
{
	switch (api->ctx->ops->state(api->ctx->ctl).readiness) {
	case CTL_STARTING:
		api_error(api, 503, "starting", TRF_NOT_RUN, 1,
			  "this entry has no confirmed view yet");
		return false;
	case CTL_STALE:
		api_error(api, 503, "stale", TRF_NOT_RUN, 5,
			  "this entry was isolated for longer than "
			  "limits.stale_limit_s");
		return false;
	case CTL_SERVING:
	case CTL_ISOLATED:
	case CTL_DRAINING:
		break;
	}
	return true;
}

/* Counts a request as in flight and decides whether to serve it. Either way
 * end_request() must follow. */
static bool begin_request(struct api *api)
{
	struct trf *ctx = api->ctx;

	ctx->in_flight++;
	if (ctx->stopping) {
		api_error(api, 503, "draining", TRF_NOT_RUN, 1,
			  "this entry is about to stop");
		return false;
	}
	if (ctx->in_flight > ctx->settings->requests_max) {
		met_count(ctx->metrics, "dandelionspar_limit_rejections_total",
			  "limit=\"requests_max\"", 1);
		api_error(api, 429, "too_many_requests", TRF_NOT_RUN, 1,
			  "%u requests are in flight (limits.requests_max)",
			  ctx->settings->requests_max);
		return false;
	}
	return check_readiness(api);
}

static void end_request(struct api *api)
{
	api->ctx->in_flight--;
}

/* ---- Checks common to all requests ---- */

/* Rejects a name that the document in force at this entry lacks. While the
 * entry is isolated a newer document may have it, so the caller may retry. */
static void __attribute__((format(printf, 4, 5)))
reply_unknown_name(struct api *api, int status, const char *code,
		   const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (api->ctx->ops->state(api->ctx->ctl).readiness == CTL_ISOLATED)
		api_error(api, 503, "isolated", TRF_NOT_RUN, RETRY_ISOLATED_S,
			  "%s; this entry has no contact with the leader",
			  message);
	else
		api_error(api, status, code, TRF_NOT_RUN, 0, "%s", message);
	g_free(message);
}

static bool find_team(struct api *api, struct view *view, const char **team,
		      const struct view_document **document)
{
	*team = api_header(api, "X-Team");
	*document = NULL;
	if (!*team) {
		api_error(api, 400, "team_required", TRF_NOT_RUN, 0,
			  "the header X-Team is missing");
		return false;
	}
	if (api_is_valid_name(*team))
		*document = view_document(view, *team);
	if (*document)
		return true;
	reply_unknown_name(api, 404, "unknown_team",
			   "no document of this team is in force");
	return false;
}

static bool find_class(struct trf_request *r)
{
	const char *name = api_header(r->api, "X-Class");

	r->class_limits = doc_class(r->document->parsed, name);
	if (r->class_limits)
		return true;
	reply_unknown_name(r->api, 400, "unknown_class",
			   "the document of team %s has no class \"%s\"",
			   r->team, name ? name : "");
	return false;
}

static bool find_deadline(struct trf_request *r, int64_t default_us)
{
	const char *text = api_header(r->api, "X-Deadline-Ms");
	int64_t us = default_us;
	char *end;

	if (r->class_limits->deadline_us)
		us = r->class_limits->deadline_us;
	if (text) {
		int64_t ms = g_ascii_strtoll(text, &end, 10);

		if (*end || end == text || ms < 1 || ms > DEADLINE_MAX_MS) {
			api_error(r->api, 400, "invalid_deadline", TRF_NOT_RUN,
				  0, "X-Deadline-Ms must be 1 to %d",
				  DEADLINE_MAX_MS);
			return false;
		}
		us = ms * 1000;
	}
	r->deadline_us = r->api->arrival_us + us;
	return true;
}

/* XXH3-128 of team, method, path (each with its terminating NUL) and body. */
static void compute_digest(struct trf_request *r)
{
	XXH3_state_t *state = XXH3_createState();
	const char *const parts[] = { r->team, r->method, r->path };
	XXH128_canonical_t out;

	XXH3_128bits_reset(state);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		XXH3_128bits_update(state, parts[i], strlen(parts[i]) + 1);
	XXH3_128bits_update(state, r->api->body, r->api->body_len);
	XXH128_canonicalFromHash(&out, XXH3_128bits_digest(state));
	memcpy(r->digest, out.digest, sizeof(r->digest));
	XXH3_freeState(state);
}

static bool check_quarantine(struct trf_request *r)
{
	const Dsp__Suspect *suspect = view_suspect(r->view, r->digest);

	if (suspect && suspect->quarantined) {
		met_count(r->ctx->metrics,
			  "dandelionspar_quarantine_rejections_total",
			  r->labels, 1);
		api_error(r->api, 422, "request_quarantined", TRF_NOT_RUN, 0,
			  "endpoints crashed while they ran this request");
		return false;
	}
	r->suspect = suspect != NULL;
	return true;
}

static void fill_route(struct trf_request *r)
{
	struct rt_request *route = &r->route;

	route->team = r->team;
	route->service = r->service;
	route->model = r->model;
	route->adapter = r->adapter;
	route->class_name = r->class_limits->name;
	route->class_limits = r->class_limits;
	route->arrival_us = r->api->arrival_us;
	route->deadline_us = r->deadline_us;
	route->suspect = r->suspect;
	r->class_key =
		g_strdup_printf("%s\n%s", r->team, r->class_limits->name);
	r->labels = g_strdup_printf("team=\"%s\",class=\"%s\"", r->team,
				    r->class_limits->name);
}

static void request_clear(struct trf_request *r)
{
	g_free(r->model);
	g_free(r->adapter);
	g_free(r->class_key);
	g_free(r->labels);
	view_unref(r->view);
}

/* ---- Models ---- */

static bool reply_invalid(struct trf_request *r, const char *message)
{
	api_error(r->api, 400, "invalid_request", TRF_NOT_RUN, 0, "%s",
		  message);
	return false;
}

static bool check_messages(struct trf_request *r, const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *message;
	size_t i;

	if (!json_is_array(messages) || !json_array_size(messages))
		return reply_invalid(r, "messages must be a non-empty array");
	json_array_foreach(messages, i, message) if (
		!json_is_string(json_object_get(
			message,
			"role"))) return reply_invalid(r, "each message must "
							  "be an object "
							  "with a role");
	return true;
}

static bool check_prompt(struct trf_request *r, const json_t *body)
{
	const json_t *prompt = json_object_get(body, "prompt");

	if (json_is_string(prompt) ||
	    (json_is_array(prompt) && json_array_size(prompt)))
		return true;
	return reply_invalid(r, "prompt must be a string or a non-empty array");
}

static bool check_options(struct trf_request *r, const json_t *body)
{
	const json_t *stream = json_object_get(body, "stream");
	const json_t *n = json_object_get(body, "n");
	const json_t *max = json_object_get(body, "max_tokens");

	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return reply_invalid(r, "stream must be a boolean");
	if (n && !json_is_null(n) && json_integer_value(n) != 1)
		return reply_invalid(r, "n must be 1");
	if (max && !json_is_null(max) &&
	    (!json_is_integer(max) || json_integer_value(max) < 1 ||
	     json_integer_value(max) > UINT32_MAX))
		return reply_invalid(r,
				     "max_tokens must be a positive integer");
	r->stream = json_is_true(stream);
	r->route.max_tokens = json_is_integer(max)
				      ? (uint32_t)json_integer_value(max)
				      : MAX_TOKENS_DEFAULT;
	return true;
}

/* Finds "model" or "model:adapter" in the document. */
static bool find_model(struct trf_request *r, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "model"));
	const char *colon = name ? strchr(name, ':') : NULL;
	const struct doc *doc = r->document->parsed;
	const struct doc_model *model;

	if (!name || !name[0])
		return reply_invalid(r, "model must be a string");
	r->model =
		colon ? g_strndup(name, (gsize)(colon - name)) : g_strdup(name);
	model = doc_model(doc, r->model);
	if (!model) {
		reply_unknown_name(r->api, 404, "unknown_model",
				   "team %s has no model \"%s\"", r->team,
				   r->model);
		return false;
	}
	r->service = model->service;
	if (!colon)
		return true;
	r->adapter = g_strdup(colon + 1);
	if (doc_adapter(doc, r->model, r->adapter))
		return true;
	reply_unknown_name(r->api, 404, "unknown_adapter",
			   "model \"%s\" has no adapter \"%s\"", r->model,
			   r->adapter);
	return false;
}

/* Hashes prefixes of the prompt, each twice as long as the one before, so that
 * the router can find an endpoint that has one of them cached. */
static void hash_prompt(struct trf_request *r, const json_t *body)
{
	const json_t *prompt =
		json_object_get(body, r->chat ? "messages" : "prompt");
	char *text = json_dumps(prompt, (size_t)JSON_COMPACT | JSON_ENCODE_ANY);
	size_t len = text ? strlen(text) : 0;
	XXH64_hash_t seed = XXH3_64bits(r->model, strlen(r->model));
	size_t n = 0;

	if (r->adapter)
		seed = XXH3_64bits_withSeed(r->adapter, strlen(r->adapter),
					    seed);
	for (size_t end = PREFIX_BYTES_MIN;
	     end <= len && n < G_N_ELEMENTS(r->route.prefix_hashes); end *= 2)
		r->route.prefix_hashes[n++] =
			XXH3_64bits_withSeed(text, end, seed);
	r->route.prompt_tokens = (uint32_t)(len / BYTES_PER_TOKEN) + 1;
	free(text);
}

static bool parse_model_request(struct trf_request *r)
{
	json_error_t where;
	json_t *body = trf_parse_json(r->api->body, r->api->body_len, &where);
	bool ok = false;

	if (!json_is_object(body)) {
		api_error(r->api, 400, "invalid_json", TRF_NOT_RUN, 0,
			  "the body must be a JSON object: line %d: %s",
			  where.line, body ? "not an object" : where.text);
		goto out;
	}
	if (!find_model(r, body) || !check_options(r, body) ||
	    !(r->chat ? check_messages(r, body) : check_prompt(r, body)))
		goto out;
	hash_prompt(r, body);
	/* The entry always requests a stream: a broken one can be resumed. */
	json_object_set_new(body, "stream", json_true());
	r->body = json_dumps(body, JSON_COMPACT);
	r->body_len = strlen(r->body);
	ok = true;
out:
	json_decref(body);
	return ok;
}

static void run_completion(struct trf_request *r)
{
	struct api *api = r->api;
	int64_t first_token;

	if (!find_team(api, r->view, &r->team, &r->document) ||
	    !find_class(r) || !find_deadline(r, DEADLINE_DEFAULT_US) ||
	    !api_read_body(api) || !parse_model_request(r))
		return;
	if (doc_is_non_idempotent(r->document->parsed, r->service, "POST",
				  r->path)) {
		api_error(api, 400, "non_idempotent_model", TRF_NOT_RUN, 0,
			  "calls of engines cannot be non-idempotent");
		return;
	}
	compute_digest(r);
	fill_route(r);
	if (!check_quarantine(r))
		return;
	first_token = api->arrival_us + r->class_limits->first_token_us;
	if (r->class_limits->first_token_us &&
	    !api_header(api, "X-Deadline-Ms"))
		r->route.deadline_us = MIN(first_token, r->deadline_us);
	r->route.suspect = r->suspect;
	api->answer = trf_answer_begin(r->ctx, r->team, api->id, NULL);
	trf_run_model(r);
}

/* POST /v1/chat/completions (chat) and /v1/completions. */
void api_completion(struct api *api, bool chat)
{
	struct trf_request r = {
		.api = api,
		.ctx = api->ctx,
		.chat = chat,
		.method = "POST",
		.path = api->path,
	};

	if (begin_request(api)) {
		r.view = trf_view(api->ctx);
		run_completion(&r);
		free(r.body);
		request_clear(&r);
	}
	end_request(api);
}

/* ---- Plain services ---- */

static bool is_valid_key(const char *key)
{
	size_t len = strlen(key);

	if (len > TRF_KEY_MAX)
		return false;
	for (size_t i = 0; i < len; i++)
		if (key[i] < '!' || key[i] > '~')
			return false;
	/* "~" separates the parts of ids that entries generate. */
	return !strchr(key, '~');
}

static bool is_safe_path(const char *path)
{
	char *decoded = api_percent_decode(path, strlen(path));
	char **segments;
	bool safe = decoded != NULL;

	if (!decoded)
		return false;
	segments = g_strsplit(decoded, "/", -1);
	for (size_t i = 0; segments[i]; i++)
		if (!strcmp(segments[i], "..") || !strcmp(segments[i], "."))
			safe = false;
	g_strfreev(segments);
	g_free(decoded);
	return safe;
}

static bool find_service(struct trf_request *r, const char *name)
{
	const struct doc_service *service =
		doc_service(r->document->parsed, name);

	if (service && service->kind == DOC_SERVICE_PLAIN) {
		r->service = service->name;
		return true;
	}
	reply_unknown_name(r->api, 404, "unknown_service",
			   "team %s has no plain service \"%s\"", r->team,
			   name);
	return false;
}

static void run_claimed(struct trf_request *r)
{
	const char *key = api_header(r->api, "Idempotency-Key");

	if (!key) {
		api_error(r->api, 400, "idempotency_key_required", TRF_NOT_RUN,
			  0, "this call needs the header Idempotency-Key");
		return;
	}
	if (!is_valid_key(key)) {
		api_error(r->api, 400, "idempotency_key_invalid", TRF_NOT_RUN,
			  0,
			  "Idempotency-Key: 1 to %d printable ASCII "
			  "characters without \"~\"",
			  TRF_KEY_MAX);
		return;
	}
	if (r->ctx->ops->state(r->ctx->ctl).readiness == CTL_ISOLATED) {
		api_error(r->api, 503, "isolated", TRF_NOT_RUN,
			  RETRY_ISOLATED_S,
			  "this entry has no contact with the leader");
		return;
	}
	trf_run_claimed(r, key);
}

/* Matches the decoded path against the document's declarations, so that
 * percent-encoding does not change whether a call is idempotent. */
static bool is_non_idempotent(const struct trf_request *r, const char *path)
{
	char *decoded = api_percent_decode(path, strlen(path));
	bool yes = doc_is_non_idempotent(r->document->parsed, r->service,
					 r->method, decoded);

	g_free(decoded);
	return yes;
}

static void run_service(struct trf_request *r, const char *name,
			const char *path)
{
	struct api *api = r->api;
	bool claimed;

	if (!is_safe_path(path)) {
		api_error(api, 400, "invalid_path", TRF_NOT_RUN, 0,
			  "malformed path");
		return;
	}
	if (!find_team(api, r->view, &r->team, &r->document) ||
	    !find_service(r, name))
		return;
	claimed = is_non_idempotent(r, path);
	if (!claimed)
		api->claim_unread = false;
	if (!find_class(r) ||
	    !find_deadline(r, claimed ? CLAIM_DEADLINE_DEFAULT_US
				      : DEADLINE_DEFAULT_US) ||
	    !api_read_body(api))
		return;
	r->body = api->body;
	r->body_len = api->body_len;
	compute_digest(r);
	fill_route(r);
	if (!check_quarantine(r))
		return;
	r->route.suspect = r->suspect;
	if (claimed) {
		run_claimed(r);
		return;
	}
	api->answer = trf_answer_begin(r->ctx, r->team, api->id, NULL);
	trf_run_plain(r);
}

/* ANY /v1/services/{service}/{path}. */
void api_service(struct api *api, const char *rest)
{
	const char *slash = strchr(rest, '/');
	const char *query = api->info->query_string;
	const char *path = slash ? slash : "/";
	char *name =
		g_strndup(rest, slash ? (gsize)(slash - rest) : strlen(rest));
	char *target =
		query ? g_strdup_printf("%s?%s", path, query) : g_strdup(path);
	struct trf_request r = {
		.api = api,
		.ctx = api->ctx,
		.method = api->info->request_method,
		.path = target,
		.content_type = api_header(api, "Content-Type"),
	};

	if (begin_request(api)) {
		r.view = trf_view(api->ctx);
		run_service(&r, name, path);
		request_clear(&r);
	}
	end_request(api);
	g_free(name);
	g_free(target);
}

/* ---- Queries ---- */

/* Returns whether an endpoint is up and has a copy that accepts new work. The
 * endpoint with the id except is left out; NULL: none. */
bool trf_has_ready_copy(const struct view *view, const char *team,
			const char *model, const char *adapter,
			const char *except)
{
	for (size_t i = 0; i < view_n_endpoints(view); i++) {
		const Dsp__Endpoint *e = view_endpoint_at(view, i);

		if (e->state == DSP__ENDPOINT_STATE__ENDPOINT_UP &&
		    !strcmp(e->team, team) && g_strcmp0(e->id, except) &&
		    view_ready_copy(e, model, adapter))
			return true;
	}
	return false;
}

static json_t *model_item(const struct view *view, const char *team,
			  const char *model, const char *adapter)
{
	char *id = adapter ? g_strdup_printf("%s:%s", model, adapter)
			   : g_strdup(model);
	json_t *item =
		json_pack("{s:s,s:s,s:s,s:b}", "id", id, "object", "model",
			  "owned_by", team, "ready",
			  trf_has_ready_copy(view, team, model, adapter, NULL));

	g_free(id);
	return item;
}

/* GET /v1/models: lists the models and adapters of the caller's team; "ready"
 * has the meaning of trf_has_ready_copy(). */
void api_models(struct api *api)
{
	struct view *view = trf_view(api->ctx);
	const struct view_document *document;
	const struct doc *doc;
	const char *team;
	json_t *list;

	if (!check_readiness(api) || !find_team(api, view, &team, &document))
		goto out;
	doc = document->parsed;
	list = json_array();
	for (size_t i = 0; i < doc->n_models; i++)
		json_array_append_new(
			list,
			model_item(view, team, doc->models[i].name, NULL));
	for (size_t i = 0; i < doc->n_adapters; i++)
		json_array_append_new(list, model_item(view, team,
						       doc->adapters[i].model,
						       doc->adapters[i].name));
	api_json(api, 200, NULL,
		 json_pack("{s:s,s:o}", "object", "list", "data", list));
out:
	view_unref(view);
}

static void reply_answer(struct api *api, const Dsp__AnswerReply *answer)
{
	if (answer->running) {
		api_json(api, 202, "Retry-After: 1\r\n",
			 json_pack("{s:s}", "status", "running"));
		return;
	}
	if (!answer->content_type || !answer->content_type[0]) {
		api_error(api, 410, "answer_dropped", TRF_RAN_UNKNOWN, 0,
			  "the answer with status %u is no longer stored",
			  answer->status);
		return;
	}
	api_reply(api, (int)answer->status,
		  strcmp(answer->content_type, "-") ? answer->content_type
						    : NULL,
		  NULL, (const char *)answer->body.data, answer->body.len);
}

static void reply_unknown_request(struct api *api)
{
	api_error(api, 404, "unknown_request", TRF_RAN_UNKNOWN, 0,
		  "no answer is stored for this id");
}

/* Gets the answer from the entry that the id starts with. */
static void query_entry(struct api *api, const char *team, const char *id,
			const char *separator)
{
	char *node = g_strndup(id, (gsize)(separator - id));
	Dsp__AnswerQuery query = DSP__ANSWER_QUERY__INIT;
	Dsp__AnswerReply *reply;

	if (!strcmp(node, api->ctx->settings->id)) {
		reply_unknown_request(api);
		goto out;
	}
	query.team = (char *)team;
	query.request_id = (char *)id;
	reply = api->ctx->ops->ask_answer(api->ctx->ctl, node, &query,
					  ANSWER_QUERY_TIMEOUT_US);
	if (!reply) {
		api_error(api, 503, "holder_unreachable", TRF_RAN_UNKNOWN, 1,
			  "entry \"%s\" holds this answer and does not reply",
			  api_is_valid_name(node) ? node : "?");
		goto out;
	}
	if (reply->found)
		reply_answer(api, reply);
	else
		reply_unknown_request(api);
	dsp__answer_reply__free_unpacked(reply, NULL);
out:
	g_free(node);
}

/* Looks up the outcome of a non-idempotent request by its key. */
static void query_claim(struct api *api, const char *team, const char *key)
{
	Dsp__ClaimGet get = DSP__CLAIM_GET__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__CommandResult *result;

	get.team = (char *)team;
	get.request_id = (char *)key;
	command.body_case = DSP__COMMAND__BODY_CLAIM_GET;
	command.claim_get = &get;
	result = api->ctx->ops->submit(api->ctx->ctl, &command,
				       CLAIM_GET_TIMEOUT_US, NULL);
	if (!result) {
		api_error(api, 503, "control_unavailable", TRF_RAN_UNKNOWN, 1,
			  "the outcome cannot be read now");
		return;
	}
	if (!result->claim)
		reply_unknown_request(api);
	else if (result->claim->state == DSP__CLAIM_STATE__CLAIM_CLAIMED)
		api_json(api, 202, "Retry-After: 1\r\n",
			 json_pack("{s:s}", "status", "running"));
	else
		trf_reply_outcome(api, result->claim);
	dsp__command_result__free_unpacked(result, NULL);
}

/* GET /v1/requests/{id}: the id is a request id or an idempotency key. */
void api_request_get(struct api *api, const char *id)
{
	struct view *view = trf_view(api->ctx);
	const struct view_document *document;
	const char *separator = strchr(id, '~');
	Dsp__AnswerReply *answer;
	const char *team;

	if (!find_team(api, view, &team, &document))
		goto out;
	answer = trf_answer_reply(api->ctx, team, id);
	if (answer->found && (separator || answer->running))
		reply_answer(api, answer);
	else if (separator)
		query_entry(api, team, id, separator);
	else
		query_claim(api, team, id);
	dsp__answer_reply__free_unpacked(answer, NULL);
out:
	view_unref(view);
}
