#include "traffic/trf_int.h"

#include "core/ent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Announcements of endpoints: section 13 of docs/design.md. */

#define COPIES_MAX 4096
#define RESULTS_MAX 4096
/* As trf_target.software. */
#define SOFTWARE_MAX 256

/* Reads the members of a JSON object and records the first invalid one. */
struct reader {
	const json_t *object;
	const char *first_invalid; /* name of a member; NULL: none */
};

static void mark_invalid(struct reader *in, const char *name)
{
	if (!in->first_invalid)
		in->first_invalid = name;
}

/* A 64-bit number may also be a string: JSON numbers of many programs are exact
 * up to 53 bits only. A missing member is 0. */
static uint64_t get_u64(struct reader *in, const char *name)
{
	const json_t *value = json_object_get(in->object, name);
	const char *text = json_string_value(value);
	char *end;
	uint64_t number;

	if (!value || json_is_null(value))
		return 0;
	if (json_is_integer(value) && json_integer_value(value) >= 0)
		return (uint64_t)json_integer_value(value);
	if (!text || !g_ascii_isdigit(text[0])) {
		mark_invalid(in, name);
		return 0;
	}
	number = g_ascii_strtoull(text, &end, 10);
	if (*end)
		mark_invalid(in, name);
	return number;
}

static uint32_t get_u32(struct reader *in, const char *name)
{
	uint64_t value = get_u64(in, name);

	if (value > UINT32_MAX)
		mark_invalid(in, name);
	return (uint32_t)value;
}

static bool get_bool(struct reader *in, const char *name, bool default_value)
{
	const json_t *value = json_object_get(in->object, name);

	if (!value || json_is_null(value))
		return default_value;
	if (!json_is_boolean(value))
		mark_invalid(in, name);
	return json_is_true(value);
}

static char *get_text(struct reader *in, const char *name)
{
	const json_t *value = json_object_get(in->object, name);

	if (value && !json_is_string(value) && !json_is_null(value))
		mark_invalid(in, name);
	return g_strdup(json_is_string(value) ? json_string_value(value) : "");
}

/* Reads a name, which may be empty only if it is optional. */
static char *get_name(struct reader *in, const char *name, bool optional)
{
	char *text = get_text(in, name);

	if (!(optional && !text[0]) && !api_is_valid_name(text))
		mark_invalid(in, name);
	return text;
}

static int get_choice(struct reader *in, const char *name,
		      const char *const *choices)
{
	const char *text = json_string_value(json_object_get(in->object, name));

	if (!text)
		return 0;
	for (int i = 0; choices[i]; i++)
		if (!strcmp(text, choices[i]))
			return i;
	mark_invalid(in, name);
	return 0;
}

static Dsp__Features *read_features(struct reader *in)
{
	Dsp__Features *f = g_new0(Dsp__Features, 1);
	struct reader sub = { json_object_get(in->object, "features"), NULL };

	dsp__features__init(f);
	if (sub.object && !json_is_object(sub.object))
		mark_invalid(in, "features");
	f->fencing = get_bool(&sub, "fencing", false);
	f->checks_incarnation = get_bool(&sub, "checks_incarnation", false);
	f->cancel = get_bool(&sub, "cancel", false);
	f->resume = get_bool(&sub, "resume", false);
	f->priorities = get_bool(&sub, "priorities", false);
	f->kv_transfer = get_bool(&sub, "kv_transfer", false);
	f->roles = get_bool(&sub, "roles", false);
	if (sub.first_invalid)
		mark_invalid(in, "features");
	return f;
}

static Dsp__Copy *read_copy(struct reader *in, const json_t *object)
{
	Dsp__Copy *copy = g_new0(Dsp__Copy, 1);
	struct reader sub = { object, NULL };

	dsp__copy__init(copy);
	copy->model = get_name(&sub, "model", false);
	copy->version = get_text(&sub, "version");
	copy->adapter = get_name(&sub, "adapter", true);
	copy->first_accelerator = get_u32(&sub, "first_accelerator");
	copy->accelerators = get_u32(&sub, "accelerators");
	copy->order = get_u64(&sub, "order");
	copy->memory_mb = get_u32(&sub, "memory_mb");
	copy->ready = get_bool(&sub, "ready", true);
	copy->unloading = get_bool(&sub, "unloading", false);
	if (sub.first_invalid)
		mark_invalid(in, "copies");
	return copy;
}

static void read_copies(struct reader *in, Dsp__Endpoint *e)
{
	const json_t *list = json_object_get(in->object, "copies");
	size_t n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > COPIES_MAX) {
		mark_invalid(in, "copies");
		return;
	}
	e->copies = g_new0(Dsp__Copy *, n);
	for (e->n_copies = 0; e->n_copies < n; e->n_copies++)
		e->copies[e->n_copies] =
			read_copy(in, json_array_get(list, e->n_copies));
}

static void read_results(struct reader *in, Dsp__Announcement *a)
{
	static const char *const states[] = { "pending", "done", "refused",
					      "void", NULL };
	const json_t *list = json_object_get(in->object, "results");
	size_t n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > RESULTS_MAX) {
		mark_invalid(in, "results");
		return;
	}
	a->results = g_new0(Dsp__OrderResult *, n);
	for (a->n_results = 0; a->n_results < n; a->n_results++) {
		Dsp__OrderResult *result = g_new0(Dsp__OrderResult, 1);
		struct reader sub = { json_array_get(list, a->n_results),
				      NULL };

		dsp__order_result__init(result);
		result->order = get_u64(&sub, "order");
		result->state =
			(Dsp__OrderState)get_choice(&sub, "state", states);
		a->results[a->n_results] = result;
		if (sub.first_invalid || !result->order)
			mark_invalid(in, "results");
	}
}

static Dsp__LoadReport *read_load(struct reader *in, const Dsp__Endpoint *e)
{
	Dsp__LoadReport *load = g_new0(Dsp__LoadReport, 1);
	struct reader sub = { json_object_get(in->object, "load"), NULL };

	dsp__load_report__init(load);
	load->endpoint = g_strdup(e->id);
	load->incarnation = e->incarnation;
	load->sequence = get_u64(&sub, "sequence");
	load->running = get_u32(&sub, "running");
	load->waiting = get_u32(&sub, "waiting");
	load->kv_used_permille = get_u32(&sub, "kv_used_permille");
	if (sub.first_invalid || (sub.object && !json_is_object(sub.object)))
		mark_invalid(in, "load");
	return load;
}

static Dsp__Endpoint *read_endpoint(struct reader *in)
{
	static const char *const kinds[] = { "engine", "service", NULL };
	static const char *const roles[] = { "both", "prefill", "decode",
					     NULL };
	Dsp__Endpoint *e = g_new0(Dsp__Endpoint, 1);

	dsp__endpoint__init(e);
	e->id = get_name(in, "id", false);
	e->incarnation = get_u64(in, "incarnation");
	if (!e->incarnation)
		mark_invalid(in, "incarnation");
	e->address = get_text(in, "address");
	if (!g_str_has_prefix(e->address, "http://") ||
	    strlen(e->address) > 100 || strchr(e->address + 7, '/'))
		mark_invalid(in, "address");
	e->site = get_name(in, "site", false);
	e->team = get_name(in, "team", false);
	e->service = get_name(in, "service", false);
	e->kind = (Dsp__EndpointKind)get_choice(in, "kind", kinds);
	e->role = (Dsp__EndpointRole)get_choice(in, "role", roles);
	e->features = read_features(in);
	e->accelerators = get_u32(in, "accelerators");
	e->accelerator_memory_mb = get_u32(in, "accelerator_memory_mb");
	e->max_batch = get_u32(in, "max_batch");
	e->software = get_text(in, "software");
	if (strlen(e->software) >= SOFTWARE_MAX)
		mark_invalid(in, "software");
	read_copies(in, e);
	return e;
}

static Dsp__Announcement *read_announcement(struct reader *in)
{
	Dsp__Announcement *a = g_new0(Dsp__Announcement, 1);

	dsp__announcement__init(a);
	a->endpoint = read_endpoint(in);
	a->load = read_load(in, a->endpoint);
	a->highest_fence = get_u64(in, "highest_fence");
	a->leaving = get_bool(in, "leaving", false);
	if (a->leaving)
		a->endpoint->state = DSP__ENDPOINT_STATE__ENDPOINT_LEAVING;
	read_results(in, a);
	return a;
}

/* Replies with the entries that the endpoint is to announce itself to, and with
 * the orders whose results need not be sent again. */
static void reply_announced(struct api *api, const Dsp__Announcement *a)
{
	struct view *view = trf_view(api->ctx);
	const Dsp__Node *nodes[2];
	size_t n = ent_announce_to(view, a->endpoint->id, nodes);
	json_t *to = json_array();
	json_t *results = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(to, json_string(nodes[i]->http_address));
	for (size_t i = 0; i < a->n_results; i++)
		json_array_append_new(
			results,
			json_integer((json_int_t)a->results[i]->order));
	api_json(api, 200, NULL,
		 json_pack("{s:o,s:o}", "announce_to", to,
			   "results_acknowledged", results));
	view_unref(view);
}

/* POST /v1/endpoints/announce. */
void api_announce(struct api *api)
{
	Dsp__Announcement *announcement;
	json_error_t where;
	struct reader in = { 0 };
	json_t *body;

	if (!api_read_body(api))
		return;
	body = trf_parse_json(api->body, api->body_len, &where);
	if (!json_is_object(body)) {
		api_error(api, 400, "invalid_json", TRF_NOT_RUN, 0,
			  "the body must be a JSON object: line %d: %s",
			  where.line, body ? "not an object" : where.text);
		json_decref(body);
		return;
	}
	in.object = body;
	announcement = read_announcement(&in);
	if (in.first_invalid) {
		met_count(api->ctx->metrics,
			  "dandelionspar_announcements_invalid_total", "", 1);
		api_error(api, 400, "invalid_announcement", TRF_NOT_RUN, 0,
			  "the member \"%s\" is missing or not valid",
			  in.first_invalid);
	} else {
		api->ctx->ops->announce(api->ctx->ctl, announcement);
		reply_announced(api, announcement);
	}
	dsp__announcement__free_unpacked(announcement, NULL);
	json_decref(body);
}
