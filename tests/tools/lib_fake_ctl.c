#include "lib_fake_ctl.h"

#include <pthread.h>
#include <string.h>

#include "core/st.h"
#include "traffic/trf_int.h"

#define ENTRIES_MAX 4
#define RECORDS_MAX 64
#define COMMAND_KINDS 64
#define LATE_MAX 256

struct fake_entry {
	struct fake_group *group;
	struct ctl_callbacks callbacks;
	char *node;
	enum ctl_readiness readiness; /* guarded by the group's lock */
	bool draining;
};

struct planned_outcome {
	enum fake_outcome outcome;
	int left; /* commands; < 0: no limit */
};

struct fake_group {
	pthread_mutex_t lock; /* guards everything below */
	struct st *state;
	uint64_t index;
	uint64_t view_index;
	struct view *view;
	struct fake_entry *entries[ENTRIES_MAX];
	size_t n_entries;
	Dsp__Document *documents[RECORDS_MAX];
	size_t n_documents;
	Dsp__Endpoint *endpoints[RECORDS_MAX];
	size_t n_endpoints;
	Dsp__Node *nodes[ENTRIES_MAX];
	struct planned_outcome outcomes[COMMAND_KINDS];
	size_t counts[COMMAND_KINDS];
	uint8_t *late[LATE_MAX]; /* packed commands */
	size_t late_len[LATE_MAX];
	size_t n_late;
	Dsp__Demand demand;
	Dsp__Announcement *announced;
};

static uint64_t wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

static void *copy_message(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *buffer = g_malloc(len + 1);
	void *copy;

	protobuf_c_message_pack(message, buffer);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, len,
					 buffer);
	g_free(buffer);
	return copy;
}

/* Creates a group without entries. */
struct fake_group *fake_group_new(void)
{
	struct fake_group *ctx = g_new0(struct fake_group, 1);

	pthread_mutex_init(&ctx->lock, NULL);
	ctx->state = st_new(&st_default_limits);
	ctx->view = view_new_empty();
	dsp__demand__init(&ctx->demand);
	return ctx;
}

/* Frees the group and its entries, whose trf must have been stopped. */
void fake_group_free(struct fake_group *ctx)
{
	for (size_t i = 0; i < ctx->n_documents; i++)
		dsp__document__free_unpacked(ctx->documents[i], NULL);
	for (size_t i = 0; i < ctx->n_endpoints; i++)
		dsp__endpoint__free_unpacked(ctx->endpoints[i], NULL);
	for (size_t i = 0; i < ctx->n_entries; i++) {
		dsp__node__free_unpacked(ctx->nodes[i], NULL);
		g_free(ctx->entries[i]->node);
		g_free(ctx->entries[i]);
	}
	for (size_t i = 0; i < ctx->n_late; i++)
		g_free(ctx->late[i]);
	if (ctx->announced)
		dsp__announcement__free_unpacked(ctx->announced, NULL);
	view_unref(ctx->view);
	st_free(ctx->state);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

static void add_record(Dsp__ViewUpdate *update, uint64_t index, uint32_t kind,
		       ProtobufCMessage *message, const char *key)
{
	Dsp__ViewRecord *record = g_new0(Dsp__ViewRecord, 1);

	dsp__view_record__init(record);
	record->index = index;
	record->key = g_strdup(key);
	record->kind = kind;
	record->body_case = (Dsp__ViewRecord__BodyCase)kind;
	switch (kind) {
	case DSP__VIEW_RECORD__BODY_DOCUMENT:
		record->document = copy_message(message);
		break;
	case DSP__VIEW_RECORD__BODY_ENDPOINT:
		record->endpoint = copy_message(message);
		break;
	case DSP__VIEW_RECORD__BODY_NODE:
		record->node = copy_message(message);
		break;
	default:
		record->suspect = copy_message(message);
		break;
	}
	update->records[update->n_records++] = record;
}

static void add_suspects(struct fake_group *ctx, Dsp__ViewUpdate *update)
{
	const Dsp__Suspect **suspects;
	size_t n = st_suspects(ctx->state, &suspects);

	for (size_t i = 0; i < n && i < RECORDS_MAX; i++) {
		GString *key = g_string_new(NULL);

		for (size_t j = 0; j < suspects[i]->digest.len; j++)
			g_string_append_printf(key, "%02x",
					       suspects[i]->digest.data[j]);
		add_record(update, ctx->view_index,
			   DSP__VIEW_RECORD__BODY_SUSPECT,
			   (ProtobufCMessage *)&suspects[i]->base, key->str);
		g_string_free(key, TRUE);
	}
	g_free(suspects);
}

/* Builds a new view from all records and returns a reference to it, which the
 * caller releases. The lock is held. */
static struct view *rebuild(struct fake_group *ctx)
{
	Dsp__ViewUpdate *update = g_new0(Dsp__ViewUpdate, 1);
	struct view *view;

	dsp__view_update__init(update);
	update->records = g_new0(Dsp__ViewRecord *, 4 * RECORDS_MAX);
	update->reset = true;
	update->to_index = ++ctx->view_index;
	for (size_t i = 0; i < ctx->n_documents; i++)
		add_record(update, ctx->view_index,
			   DSP__VIEW_RECORD__BODY_DOCUMENT,
			   &ctx->documents[i]->base, ctx->documents[i]->team);
	for (size_t i = 0; i < ctx->n_endpoints; i++)
		add_record(update, ctx->view_index,
			   DSP__VIEW_RECORD__BODY_ENDPOINT,
			   &ctx->endpoints[i]->base, ctx->endpoints[i]->id);
	for (size_t i = 0; i < ctx->n_entries; i++)
		add_record(update, ctx->view_index, DSP__VIEW_RECORD__BODY_NODE,
			   &ctx->nodes[i]->base, ctx->nodes[i]->id);
	add_suspects(ctx, update);
	view = view_apply(ctx->view, update);
	dsp__view_update__free_unpacked(update, NULL);
	if (!view)
		g_error("fake_ctl: the view was not accepted");
	view_unref(ctx->view);
	ctx->view = view;
	return view_ref(view);
}

static void publish(struct fake_group *ctx)
{
	struct view *view;
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	view = rebuild(ctx);
	n = ctx->n_entries;
	pthread_mutex_unlock(&ctx->lock);
	for (size_t i = 0; i < n; i++) {
		struct fake_entry *entry = ctx->entries[i];

		entry->callbacks.view_changed(entry->callbacks.data, view);
	}
	view_unref(view);
}

static void store_document(struct fake_group *ctx, const Dsp__DocumentPut *put,
			   uint64_t index)
{
	Dsp__Document *d = g_new0(Dsp__Document, 1);
	size_t i = 0;

	dsp__document__init(d);
	d->team = g_strdup(put->team);
	d->number = put->number;
	d->index = index;
	d->text = g_strdup(put->text);
	d->digest.len = 16;
	d->digest.data = g_malloc0(16);
	doc_digest(d->text, strlen(d->text), d->digest.data);
	while (i < ctx->n_documents && strcmp(ctx->documents[i]->team, d->team))
		i++;
	if (i == ctx->n_documents)
		ctx->n_documents++;
	else
		dsp__document__free_unpacked(ctx->documents[i], NULL);
	ctx->documents[i] = d;
}

/* Applies a command to the state machine and publishes a new view if the
 * command can change it. The caller frees the result. */
Dsp__CommandResult *fake_group_apply(struct fake_group *ctx,
				     const Dsp__Command *command)
{
	Dsp__Command copy = *command;
	Dsp__CommandResult *result;
	bool view_changes;

	pthread_mutex_lock(&ctx->lock);
	copy.wall_ms = wall_ms();
	result = st_apply(ctx->state, ++ctx->index, &copy);
	if (command->body_case == DSP__COMMAND__BODY_DOCUMENT_PUT &&
	    result->code == DSP__RESULT_CODE__RESULT_OK)
		store_document(ctx, command->document_put, result->index);
	view_changes = command->body_case == DSP__COMMAND__BODY_DOCUMENT_PUT ||
		       command->body_case == DSP__COMMAND__BODY_CRASH_REPORT ||
		       command->body_case == DSP__COMMAND__BODY_SUSPECT_DONE;
	pthread_mutex_unlock(&ctx->lock);
	if (view_changes)
		publish(ctx);
	return result;
}

static enum fake_outcome take_outcome(struct fake_group *ctx, size_t kind)
{
	struct planned_outcome *f = &ctx->outcomes[kind];

	ctx->counts[kind]++;
	if (!f->left)
		return FAKE_COMMIT;
	if (f->left > 0)
		f->left--;
	return f->outcome;
}

static Dsp__CommandResult *op_submit(struct ctl *ctl,
				     const Dsp__Command *command,
				     int64_t timeout_us, GError **err)
{
	struct fake_group *ctx = ((struct fake_entry *)ctl)->group;
	enum fake_outcome outcome;

	(void)timeout_us;
	pthread_mutex_lock(&ctx->lock);
	outcome = take_outcome(ctx, (size_t)command->body_case);
	if (outcome == FAKE_LATE && ctx->n_late < LATE_MAX) {
		size_t len = dsp__command__get_packed_size(command);

		ctx->late[ctx->n_late] = g_malloc(len + 1);
		ctx->late_len[ctx->n_late] = len;
		dsp__command__pack(command, ctx->late[ctx->n_late++]);
	}
	pthread_mutex_unlock(&ctx->lock);
	switch (outcome) {
	case FAKE_COMMIT:
		return fake_group_apply(ctx, command);
	case FAKE_NOT_SENT:
		g_set_error(err, CTL_ERROR, CTL_ERROR_NOT_SENT, "not sent");
		return NULL;
	case FAKE_LOST:
	case FAKE_LATE:
		break;
	}
	g_set_error(err, CTL_ERROR, CTL_ERROR_UNAVAILABLE, "unavailable");
	return NULL;
}

/* Commits the commands whose outcome was FAKE_LATE, in order of submission. */
void fake_group_deliver_late(struct fake_group *ctx)
{
	for (size_t i = 0; i < ctx->n_late; i++) {
		Dsp__Command *command = dsp__command__unpack(
			NULL, ctx->late_len[i], ctx->late[i]);

		dsp__command_result__free_unpacked(
			fake_group_apply(ctx, command), NULL);
		dsp__command__free_unpacked(command, NULL);
		g_free(ctx->late[i]);
	}
	ctx->n_late = 0;
}

static void op_announce(struct ctl *ctl, const Dsp__Announcement *announced)
{
	struct fake_group *ctx = ((struct fake_entry *)ctl)->group;

	pthread_mutex_lock(&ctx->lock);
	if (ctx->announced)
		dsp__announcement__free_unpacked(ctx->announced, NULL);
	ctx->announced = copy_message(&announced->base);
	pthread_mutex_unlock(&ctx->lock);
}

static void op_demand(struct ctl *ctl, const Dsp__Demand *demand)
{
	struct fake_group *ctx = ((struct fake_entry *)ctl)->group;

	pthread_mutex_lock(&ctx->lock);
	ctx->demand.requests += demand->requests;
	ctx->demand.refused += demand->refused;
	ctx->demand.late += demand->late;
	ctx->demand.service_ms += demand->service_ms;
	pthread_mutex_unlock(&ctx->lock);
}

static void op_drain(struct ctl *ctl)
{
	struct fake_entry *entry = (struct fake_entry *)ctl;

	pthread_mutex_lock(&entry->group->lock);
	entry->draining = true;
	pthread_mutex_unlock(&entry->group->lock);
}

static bool op_replace(struct ctl *ctl, uint64_t old_replica, GError **err)
{
	(void)ctl;
	if (old_replica == 7)
		return true;
	g_set_error(err, CTL_ERROR, CTL_ERROR_START, "unknown replica");
	return false;
}

static Dsp__AnswerReply *op_ask_answer(struct ctl *ctl, const char *node,
				       const Dsp__AnswerQuery *query,
				       int64_t timeout_us)
{
	struct fake_group *ctx = ((struct fake_entry *)ctl)->group;

	(void)timeout_us;
	for (size_t i = 0; i < ctx->n_entries; i++) {
		const struct ctl_callbacks *c = &ctx->entries[i]->callbacks;

		if (!strcmp(ctx->entries[i]->node, node))
			return c->answer_query(c->data, query);
	}
	return NULL;
}

static struct view *op_view(struct ctl *ctl)
{
	struct fake_group *ctx = ((struct fake_entry *)ctl)->group;
	struct view *view;

	pthread_mutex_lock(&ctx->lock);
	view = view_ref(ctx->view);
	pthread_mutex_unlock(&ctx->lock);
	return view;
}

static struct ctl_state op_state(struct ctl *ctl)
{
	struct fake_entry *entry = (struct fake_entry *)ctl;
	struct ctl_state state = { .boot = 1 };

	pthread_mutex_lock(&entry->group->lock);
	state.readiness = entry->readiness;
	state.draining = entry->draining;
	state.stale_us = entry->readiness == CTL_SERVING ? 0 : 7000000;
	pthread_mutex_unlock(&entry->group->lock);
	return state;
}

static char *op_status_json(struct ctl *ctl)
{
	(void)ctl;
	return g_strdup("{\"leader\":\"fake\"}");
}

/* Adds an entry and starts its traffic threads, which open the HTTP port; NULL
 * with err set on failure. */
struct fake_entry *fake_group_join(struct fake_group *ctx, struct trf *trf,
				   const char *node, const char *http_address,
				   GError **err)
{
	static const struct trf_ctl_ops ops = {
		.submit = op_submit,
		.announce = op_announce,
		.demand = op_demand,
		.drain = op_drain,
		.replace = op_replace,
		.ask_answer = op_ask_answer,
		.view = op_view,
		.state = op_state,
		.status_json = op_status_json,
	};
	struct fake_entry *entry = g_new0(struct fake_entry, 1);
	Dsp__Node *record = g_new0(Dsp__Node, 1);

	entry->group = ctx;
	entry->node = g_strdup(node);
	entry->callbacks = trf_ctl_callbacks(trf);
	entry->readiness = CTL_SERVING;
	dsp__node__init(record);
	record->id = g_strdup(node);
	record->boot = 1;
	record->site = g_strdup("muenchen");
	record->http_address = g_strdup(http_address);
	record->weight = 100;
	pthread_mutex_lock(&ctx->lock);
	ctx->nodes[ctx->n_entries] = record;
	ctx->entries[ctx->n_entries++] = entry;
	pthread_mutex_unlock(&ctx->lock);
	publish(ctx);
	return trf_start_with(trf, &ops, (struct ctl *)entry, err) ? entry
								   : NULL;
}

/* Sets the outcome of the next n commands of a kind; n < 0: of all further
 * ones. */
void fake_group_set_outcome(struct fake_group *ctx, Dsp__Command__BodyCase kind,
			    enum fake_outcome outcome, int n)
{
	pthread_mutex_lock(&ctx->lock);
	ctx->outcomes[kind].outcome = outcome;
	ctx->outcomes[kind].left = n;
	pthread_mutex_unlock(&ctx->lock);
}

/* Commits a document of a team; ends the test if it is refused. */
void fake_group_put_document(struct fake_group *ctx, const char *team,
			     uint64_t number, const char *text)
{
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__CommandResult *result;

	put.team = (char *)team;
	put.number = number;
	put.text = (char *)text;
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	result = fake_group_apply(ctx, &command);
	if (result->code != DSP__RESULT_CODE__RESULT_OK)
		g_error("fake_ctl: document: %s", result->message);
	dsp__command_result__free_unpacked(result, NULL);
}

static Dsp__Copy *new_copy(const char *model, const char *adapter)
{
	Dsp__Copy *copy = g_new0(Dsp__Copy, 1);

	dsp__copy__init(copy);
	copy->model = g_strdup(model);
	if (adapter)
		copy->adapter = g_strdup(adapter);
	copy->accelerators = 1;
	copy->memory_mb = 1000;
	copy->ready = true;
	return copy;
}

/* Adds an endpoint, or replaces the one with the same id. It has ready copies
 * of the model and of the adapter (NULL: none); with model NULL it is a plain
 * service. */
void fake_group_put_endpoint(struct fake_group *ctx, const char *id,
			     uint64_t incarnation, const char *address,
			     const char *team, const char *service,
			     const char *model, const char *adapter,
			     bool resume)
{
	Dsp__Endpoint *e = g_new0(Dsp__Endpoint, 1);
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	size_t i = 0;

	dsp__endpoint__init(e);
	e->id = g_strdup(id);
	e->incarnation = incarnation;
	e->address = g_strdup(address);
	e->site = g_strdup("muenchen");
	e->team = g_strdup(team);
	e->service = g_strdup(service);
	e->kind = model ? DSP__ENDPOINT_KIND__ENDPOINT_ENGINE
			: DSP__ENDPOINT_KIND__ENDPOINT_SERVICE;
	e->features = g_new0(Dsp__Features, 1);
	dsp__features__init(e->features);
	e->features->resume = resume;
	e->features->priorities = true;
	e->features->cancel = true;
	e->accelerators = 1;
	e->accelerator_memory_mb = 80000;
	e->max_batch = 1024;
	if (model) {
		e->copies = g_new0(Dsp__Copy *, 2);
		e->copies[e->n_copies++] = new_copy(model, NULL);
		if (adapter)
			e->copies[e->n_copies++] = new_copy(model, adapter);
	}
	put.endpoint = e;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	dsp__command_result__free_unpacked(fake_group_apply(ctx, &command),
					   NULL);
	pthread_mutex_lock(&ctx->lock);
	while (i < ctx->n_endpoints && strcmp(ctx->endpoints[i]->id, id))
		i++;
	if (i == ctx->n_endpoints)
		ctx->n_endpoints++;
	else
		dsp__endpoint__free_unpacked(ctx->endpoints[i], NULL);
	ctx->endpoints[i] = e;
	pthread_mutex_unlock(&ctx->lock);
	publish(ctx);
}

/* Sets the batch size of all endpoints. */
void fake_group_set_batch(struct fake_group *ctx, uint32_t max_batch)
{
	pthread_mutex_lock(&ctx->lock);
	for (size_t i = 0; i < ctx->n_endpoints; i++)
		ctx->endpoints[i]->max_batch = max_batch;
	pthread_mutex_unlock(&ctx->lock);
	publish(ctx);
}

/* Sets the readiness that the control side reports to the entry. */
void fake_entry_set_readiness(struct fake_entry *entry,
			      enum ctl_readiness readiness)
{
	pthread_mutex_lock(&entry->group->lock);
	entry->readiness = readiness;
	pthread_mutex_unlock(&entry->group->lock);
}

/* Returns how many commands of a kind were submitted. */
size_t fake_group_n_commands(struct fake_group *ctx,
			     Dsp__Command__BodyCase kind)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->counts[kind];
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Returns the state of a claim, or -1 if there is none. */
int fake_group_claim_state(struct fake_group *ctx, const char *team,
			   const char *request_id)
{
	const Dsp__Claim *claim;
	int state;

	pthread_mutex_lock(&ctx->lock);
	claim = st_claim(ctx->state, team, request_id);
	state = claim ? (int)claim->state : -1;
	pthread_mutex_unlock(&ctx->lock);
	return state;
}

/* Returns how many FAKE_LATE commands are not yet committed. */
size_t fake_group_n_late(struct fake_group *ctx)
{
	size_t n;

	pthread_mutex_lock(&ctx->lock);
	n = ctx->n_late;
	pthread_mutex_unlock(&ctx->lock);
	return n;
}

/* Returns the demand that entries reported, summed over all models: requests,
 * refused and late ones, service time. */
Dsp__Demand fake_group_demand(struct fake_group *ctx)
{
	Dsp__Demand demand;

	pthread_mutex_lock(&ctx->lock);
	demand = ctx->demand;
	pthread_mutex_unlock(&ctx->lock);
	return demand;
}

/* Returns a copy of the last announcement; NULL: none. The caller frees it with
 * dsp__announcement__free_unpacked(). */
Dsp__Announcement *fake_group_announced(struct fake_group *ctx)
{
	Dsp__Announcement *copy = NULL;

	pthread_mutex_lock(&ctx->lock);
	if (ctx->announced)
		copy = copy_message(&ctx->announced->base);
	pthread_mutex_unlock(&ctx->lock);
	return copy;
}

/* Returns whether the entry has requested a drain. */
bool fake_entry_draining(struct fake_entry *entry)
{
	bool draining;

	pthread_mutex_lock(&entry->group->lock);
	draining = entry->draining;
	pthread_mutex_unlock(&entry->group->lock);
	return draining;
}
