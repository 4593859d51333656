#include "edge/edge_int.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/msg.h"

/*
 * Pacing of prompts over the edge thread: asks the coordinator of a model for
 * an engine and a time, and answers the asks of other entries. See core/pac.h.
 */

/* Time for an answer. Two messages take some 3 ms between sites; an entry with
 * a small share of a core may stand still for longer. */
#define ANSWER_LIMIT_US 25000
/* A limit timer that is late by more shows that this process stood still; then
 * the control thread gets GRACE_US to pass on the answers that have arrived. */
#define STALL_US 5000
#define GRACE_US 5000
/* A coordinator that did not answer is not asked for this time. */
#define SILENT_US 1000000
/* Interval of the messages with assignments to the other coordinators. */
#define EXCHANGE_US 50000
/* Messages of other entries that wait for the edge thread. A coordinator at the
 * scale to design for gets about 320 asks a second. */
#define MESSAGES_IN_MAX 256
/* Limits for the contents of one message. */
#define ASKS_MAX 64
#define SENDS_MAX 64
/* Assignments to a start that is farther off are not used. */
#define SEND_DELAY_MAX_MS 1000

struct message_in {
	Dsp__Envelope *envelope; /* owned */
	int64_t arrived_us;
};

struct edge_slots {
	struct edge *edge;
	struct pac *pac;
	TAILQ_HEAD(edge_slot_list, edge_slot) asked; /* oldest first */
	struct event *limit_timer;		     /* of the oldest */
	struct event *exchange_timer; /* while there are assignments to send */
	GArray *in;		      /* edge.lock; struct message_in */
	uint64_t next_id;
	const Dsp__Node *coordinators[PAC_COORDINATORS_MAX]; /* of the view */
	size_t n_coordinators;
	bool greeted;	      /* these coordinators */
	int64_t limit_due_us; /* of limit_timer */
	GHashTable *silent;   /* node id -> int64_t, until when */
};

static void on_limit(evutil_socket_t fd, short what, void *data);
static void on_exchange(evutil_socket_t fd, short what, void *data);

/* Creates the part of the edge that paces prompts. */
struct edge_slots *edge_slots_new(struct edge *edge)
{
	struct edge_slots *ctx = g_new0(struct edge_slots, 1);

	ctx->edge = edge;
	ctx->pac = pac_new();
	TAILQ_INIT(&ctx->asked);
	ctx->limit_timer = event_new(edge->base, -1, 0, on_limit, ctx);
	ctx->exchange_timer = event_new(edge->base, -1, 0, on_exchange, ctx);
	ctx->in = g_array_new(FALSE, FALSE, sizeof(struct message_in));
	/* An answer to an earlier process must not be taken for one to this. */
	ctx->next_id = ((uint64_t)g_random_int() << 32) + 1;
	ctx->silent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ctx;
}

static void messages_free(GArray *messages)
{
	for (guint i = 0; i < messages->len; i++)
		dsp__envelope__free_unpacked(
			g_array_index(messages, struct message_in, i).envelope,
			NULL);
	g_array_free(messages, TRUE);
}

/* Frees it after all requests have ended; NULL is allowed. */
void edge_slots_free(struct edge_slots *ctx)
{
	if (!ctx)
		return;
	event_free(ctx->limit_timer);
	event_free(ctx->exchange_timer);
	messages_free(ctx->in);
	g_hash_table_destroy(ctx->silent);
	pac_free(ctx->pac);
	g_free(ctx);
}

/* Takes a message of another entry; called by the control thread. */
void edge_slots_receive(void *data, const Dsp__Envelope *message)
{
	struct edge *edge = data;
	struct message_in in = { .arrived_us = clk_now_us(edge->clock) };

	pthread_mutex_lock(&edge->lock);
	if (edge->slots->in->len < MESSAGES_IN_MAX) {
		in.envelope = msg_dup(message);
		g_array_append_val(edge->slots->in, in);
	} else {
		met_count(edge->met, "dandelionspar_edge_prompts_dropped", "",
			  1);
	}
	if (edge->wake)
		event_active(edge->wake, EV_READ, 0);
	pthread_mutex_unlock(&edge->lock);
}

static void set_limit_timer(struct edge_slots *ctx, int64_t at_us)
{
	ctx->limit_due_us = at_us;
	hio_set_timer(ctx->limit_timer,
		      MAX(at_us - clk_now_us(ctx->edge->clock), 1));
}

/* Returns a value that differs between lists of coordinators. */
static uint64_t list_hash(const struct edge_slots *ctx)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < ctx->n_coordinators; i++)
		hash = hash * 31 + g_str_hash(ctx->coordinators[i]->id);
	return hash;
}

/* Uses the coordinators of a changed view. */
void edge_slots_view_changed(struct edge_slots *ctx)
{
	uint64_t before = list_hash(ctx);

	ctx->n_coordinators = 0;
	if (bal_is_large(ctx->edge->bal))
		ctx->n_coordinators =
			pac_coordinators(ctx->edge->view, ctx->coordinators);
	if (list_hash(ctx) != before)
		ctx->greeted = false;
	/* Those that have left the view are not kept forever. */
	if (g_hash_table_size(ctx->silent) > PAC_COORDINATORS_MAX)
		g_hash_table_remove_all(ctx->silent);
}

static bool is_self(const struct edge_slots *ctx, const char *node)
{
	return !strcmp(node, ctx->edge->set->id);
}

static bool is_silent(const struct edge_slots *ctx, const char *node)
{
	const int64_t *until_us = g_hash_table_lookup(ctx->silent, node);

	return until_us && clk_now_us(ctx->edge->clock) < *until_us;
}

/* ---- Coordinator ---- */

static void set_exchange_timer(struct edge_slots *ctx)
{
	if (!event_pending(ctx->exchange_timer, EV_TIMEOUT, NULL))
		hio_set_timer(ctx->exchange_timer, EXCHANGE_US);
}

/* Assigns a prompt; endpoint is empty if there is none. It is valid until the
 * next view. */
static void assign(struct edge_slots *ctx, const Dsp__PromptAsk *ask,
		   const char *from, int64_t age_us, Dsp__PromptSlot *out)
{
	struct edge *edge = ctx->edge;
	size_t max = view_n_endpoints(edge->view) + 1;
	g_autofree char **avoid = g_new0(char *, ask->n_avoid + 1);
	g_autofree struct pac_engine *offers = g_new(struct pac_engine, max);
	struct bal_query query = {
		.service = ask->service,
		.model = ask->model,
		.adapter = ask->adapter[0] ? ask->adapter : NULL,
		.tokens = ask->tokens,
		.events = ask->events,
		.prefix = ask->prefix,
		.gap_objective_us = ask->gap_objective_ms * 1000LL,
		.avoid = (const char *const *)avoid,
	};
	int64_t now_us = clk_now_us(edge->clock);
	const struct pac_engine *chosen;
	struct pac_slot slot;
	size_t n;

	for (size_t i = 0; i < ask->n_avoid; i++)
		avoid[i] = ask->avoid[i];
	dsp__prompt_slot__init(out);
	out->id = ask->id;
	n = bal_offers(edge->bal, &query, now_us, offers, max);
	if (!pac_assign(ctx->pac, offers, n,
			&(struct pac_query){
				.tokens = ask->tokens,
				.wait_max_us = ask->wait_max_ms * 1000LL,
				.now_us = now_us,
			},
			&slot)) {
		met_count(edge->met, "dandelionspar_edge_prompts_assigned",
			  "outcome=\"none\"", 1);
		return;
	}
	chosen = &offers[slot.engine];
	out->endpoint = (char *)chosen->id;
	out->incarnation = chosen->incarnation;
	out->delay_ms = (uint32_t)((slot.delay_us + 500) / 1000);
	met_count(edge->met, "dandelionspar_edge_prompts_assigned",
		  "outcome=\"assigned\"", 1);
	LOG_EVENT_DEBUG("prompt", "assigned",
			"from=%s ask=%" PRIu64 " age_us=%" PRId64
			" model=%s tokens=%u offers=%zu endpoint=%s "
			"delay_us=%" PRId64 " prefill_us=%" PRId64
			" cost_ms=%.0f busy=%.2f load=%.1f load_age_us=%" PRId64
			" view=%" PRIu64,
			from, ask->id, age_us, ask->model, ask->tokens, n,
			chosen->id, slot.delay_us, chosen->prefill_us,
			slot.cost_ms, slot.busy, chosen->load,
			chosen->load_us ? now_us - chosen->load_us : -1,
			view_index(edge->view));
	set_exchange_timer(ctx);
}

static void answer_asks(struct edge_slots *ctx, const Dsp__Envelope *message,
			int64_t age_us)
{
	const Dsp__PromptAsks *asks = message->prompt_asks;
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__PromptSlots answer = DSP__PROMPT_SLOTS__INIT;
	Dsp__PromptSlot slots[ASKS_MAX];
	Dsp__PromptSlot *list[ASKS_MAX];

	/* The asker has decided by itself. */
	if (age_us > ANSWER_LIMIT_US) {
		met_count(ctx->edge->met, "dandelionspar_edge_prompts_assigned",
			  "outcome=\"late\"", asks->n_asks);
		return;
	}
	for (size_t i = 0; i < asks->n_asks && i < ASKS_MAX; i++) {
		assign(ctx, asks->asks[i], message->from, age_us, &slots[i]);
		list[answer.n_slots++] = &slots[i];
	}
	answer.slots = list;
	out.body_case = DSP__ENVELOPE__BODY_PROMPT_SLOTS;
	out.prompt_slots = &answer;
	ctl_prompts(ctx->edge->ctl, message->from, &out);
}

static void send_to_coordinators(struct edge_slots *ctx,
				 const Dsp__Envelope *out)
{
	for (size_t i = 0; i < ctx->n_coordinators; i++)
		if (!is_self(ctx, ctx->coordinators[i]->id))
			ctl_prompts(ctx->edge->ctl, ctx->coordinators[i]->id,
				    out);
}

/* Tells the other coordinators what this one has assigned. */
static void on_exchange(evutil_socket_t fd, short what, void *data)
{
	struct edge_slots *ctx = data;
	int64_t now_us = clk_now_us(ctx->edge->clock);
	struct pac_send taken[SENDS_MAX];
	Dsp__PromptSend sends[SENDS_MAX];
	Dsp__PromptSend *list[SENDS_MAX];
	Dsp__PromptSends message = DSP__PROMPT_SENDS__INIT;
	Dsp__Envelope out = DSP__ENVELOPE__INIT;

	(void)fd;
	(void)what;
	message.n_sends = pac_take(ctx->pac, taken, SENDS_MAX);
	message.sends = list;
	for (size_t i = 0; i < message.n_sends; i++) {
		dsp__prompt_send__init(&sends[i]);
		sends[i].endpoint = taken[i].id;
		sends[i].incarnation = taken[i].incarnation;
		sends[i].tokens = taken[i].tokens;
		sends[i].delay_ms =
			(int32_t)((taken[i].start_us - now_us) / 1000);
		list[i] = &sends[i];
	}
	out.body_case = DSP__ENVELOPE__BODY_PROMPT_SENDS;
	out.prompt_sends = &message;
	if (message.n_sends)
		send_to_coordinators(ctx, &out);
	for (size_t i = 0; i < message.n_sends; i++)
		g_free(taken[i].id);
	if (pac_untaken(ctx->pac))
		hio_set_timer(ctx->exchange_timer, EXCHANGE_US);
}

static bool is_coordinator(const struct edge_slots *ctx, const char *node)
{
	for (size_t i = 0; i < ctx->n_coordinators; i++)
		if (!strcmp(ctx->coordinators[i]->id, node))
			return true;
	return false;
}

/* Records a prompt that this instance has not assigned. One that no coordinator
 * has assigned is passed on to the others. */
static void observe(struct edge_slots *ctx, const Dsp__PromptSend *send,
		    bool pass_on, int64_t arrived_us)
{
	struct edge *edge = ctx->edge;
	int64_t start_us = arrived_us + send->delay_ms * 1000LL;
	int64_t prefill_us =
		bal_prefill_us(edge->bal, send->endpoint, send->tokens);

	if (!prefill_us || ABS(send->delay_ms) > SEND_DELAY_MAX_MS)
		return;
	pac_observe(ctx->pac, send->endpoint, send->incarnation, prefill_us,
		    start_us, clk_now_us(edge->clock));
	if (!pass_on)
		return;
	pac_pass_on(ctx->pac, send->endpoint, send->incarnation, send->tokens,
		    start_us);
	set_exchange_timer(ctx);
}

static void observe_sends(struct edge_slots *ctx, const Dsp__Envelope *message,
			  int64_t arrived_us)
{
	const Dsp__PromptSends *sends = message->prompt_sends;
	bool pass_on = !is_coordinator(ctx, message->from);

	for (size_t i = 0; i < sends->n_sends && i < SENDS_MAX; i++)
		observe(ctx, sends->sends[i], pass_on, arrived_us);
}

/* Tells the coordinator of the model of a prompt that this instance sends by
 * its own decision. */
void edge_slots_sent(struct edge_slots *ctx, const char *model,
		     const struct bal_endpoint *endpoint, uint32_t tokens)
{
	const Dsp__Node *node =
		pac_coordinator(ctx->coordinators, ctx->n_coordinators, model);
	Dsp__PromptSend send = DSP__PROMPT_SEND__INIT;
	Dsp__PromptSend *list[] = { &send };
	Dsp__PromptSends sends = DSP__PROMPT_SENDS__INIT;
	Dsp__Envelope out = DSP__ENVELOPE__INIT;

	if (!node)
		return;
	send.endpoint = (char *)bal_id(endpoint);
	send.incarnation = bal_incarnation(endpoint);
	send.tokens = tokens;
	if (is_self(ctx, node->id)) {
		observe(ctx, &send, true, clk_now_us(ctx->edge->clock));
		return;
	}
	sends.sends = list;
	sends.n_sends = 1;
	out.body_case = DSP__ENVELOPE__BODY_PROMPT_SENDS;
	out.prompt_sends = &sends;
	ctl_prompts(ctx->edge->ctl, node->id, &out);
}

/* ---- Asker ---- */

static void take(struct edge_slots *ctx, struct edge_slot *slot,
		 const Dsp__PromptSlot *answer)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);

	/* A delay beyond what was asked for would hold the request back. */
	if (!answer->endpoint[0] || answer->delay_ms > slot->wait_max_ms) {
		slot->state = EDGE_SLOT_ENDED;
		return;
	}
	slot->state = EDGE_SLOT_GIVEN;
	slot->endpoint = g_strdup(answer->endpoint);
	slot->incarnation = answer->incarnation;
	slot->at_us = now_us + answer->delay_ms * 1000LL;
	met_observe_us(ctx->edge->met, "dandelionspar_edge_prompt_delay_us", "",
		       slot->at_us - now_us);
}

/* Counts and logs the end of an ask. */
static void log_ask(const struct edge_slots *ctx, const struct edge_slot *slot,
		    const char *outcome)
{
	int64_t now_us = clk_now_us(ctx->edge->clock);
	char label[64];

	g_snprintf(label, sizeof(label), "outcome=\"%s\"", outcome);
	met_count(ctx->edge->met, "dandelionspar_edge_prompt_asks", label, 1);
	met_observe_us(ctx->edge->met, "dandelionspar_edge_prompt_ask_us", "",
		       now_us - slot->asked_us);
	LOG_EVENT_INFO("prompt", "slot",
		       "request=%s outcome=%s coordinator=%s endpoint=%s "
		       "delay_us=%" PRId64 " took_us=%" PRId64 " view=%" PRIu64
		       " view_age_us=%" PRId64,
		       slot->request_id ? slot->request_id : "-", outcome,
		       slot->node, slot->endpoint ? slot->endpoint : "-",
		       slot->endpoint ? slot->at_us - now_us : 0,
		       now_us - slot->asked_us, view_index(ctx->edge->view),
		       ctl_state(ctx->edge->ctl).stale_us);
}

static void unlist(struct edge_slot *slot)
{
	TAILQ_REMOVE(&slot->owner->asked, slot, link);
	slot->state = EDGE_SLOT_ENDED;
}

/* Sends an empty ask to all coordinators before the first one, which opens the
 * connections in both directions: that may take longer than an ask waits. */
static void greet(struct edge_slots *ctx)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__PromptAsks asks = DSP__PROMPT_ASKS__INIT;

	if (ctx->greeted)
		return;
	ctx->greeted = true;
	out.body_case = DSP__ENVELOPE__BODY_PROMPT_ASKS;
	out.prompt_asks = &asks;
	send_to_coordinators(ctx, &out);
}

/*
 * Asks the coordinator of the ask's model for an engine and a time. Returns
 * false if there is none to ask. Otherwise the slot is given at once, or
 * fwd_slot_decided() follows.
 */
bool edge_slot_ask(struct edge_slots *ctx, struct edge_slot *slot,
		   Dsp__PromptAsk *ask)
{
	const Dsp__Node *node = pac_coordinator(
		ctx->coordinators, ctx->n_coordinators, ask->model);
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__PromptAsks asks = DSP__PROMPT_ASKS__INIT;
	Dsp__PromptSlot own;

	slot->state = EDGE_SLOT_ENDED;
	if (!node)
		return false;
	greet(ctx);
	if (is_silent(ctx, node->id)) {
		met_count(ctx->edge->met, "dandelionspar_edge_prompt_asks",
			  "outcome=\"silent\"", 1);
		return false;
	}
	slot->owner = ctx;
	slot->wait_max_ms = ask->wait_max_ms;
	slot->asked_us = clk_now_us(ctx->edge->clock);
	slot->id = ask->id = ctx->next_id++;
	slot->node = g_strdup(node->id);
	if (is_self(ctx, node->id)) {
		assign(ctx, ask, node->id, 0, &own);
		take(ctx, slot, &own);
		log_ask(ctx, slot, slot->endpoint ? "own" : "none");
		return slot->state == EDGE_SLOT_GIVEN;
	}
	asks.asks = &ask;
	asks.n_asks = 1;
	out.body_case = DSP__ENVELOPE__BODY_PROMPT_ASKS;
	out.prompt_asks = &asks;
	ctl_prompts(ctx->edge->ctl, node->id, &out);
	slot->state = EDGE_SLOT_ASKED;
	if (TAILQ_EMPTY(&ctx->asked))
		set_limit_timer(ctx, slot->asked_us + ANSWER_LIMIT_US);
	TAILQ_INSERT_TAIL(&ctx->asked, slot, link);
	return true;
}

/* Ends a request's interest in its slot. */
void edge_slot_clear(struct edge_slot *slot)
{
	if (slot->state == EDGE_SLOT_ASKED)
		unlist(slot);
	g_clear_pointer(&slot->endpoint, g_free);
	g_clear_pointer(&slot->node, g_free);
}

static struct edge_slot *find_asked(struct edge_slots *ctx, uint64_t id)
{
	struct edge_slot *slot;

	TAILQ_FOREACH (slot, &ctx->asked, link)
		if (slot->id == id)
			break;
	return slot;
}

static void use_answers(struct edge_slots *ctx, const Dsp__Envelope *message)
{
	const Dsp__PromptSlots *answers = message->prompt_slots;

	g_hash_table_remove(ctx->silent, message->from);
	for (size_t i = 0; i < answers->n_slots; i++) {
		struct edge_slot *slot = find_asked(ctx, answers->slots[i]->id);

		if (!slot || strcmp(slot->node, message->from) != 0)
			continue;
		unlist(slot);
		take(ctx, slot, answers->slots[i]);
		log_ask(ctx, slot, slot->endpoint ? "answered" : "none");
		fwd_slot_decided(slot);
	}
}

/* Handles the messages of other entries. */
void edge_slots_run(struct edge_slots *ctx)
{
	struct edge *edge = ctx->edge;
	GArray *in;

	pthread_mutex_lock(&edge->lock);
	in = ctx->in;
	if (in->len)
		ctx->in = g_array_new(FALSE, FALSE, sizeof(struct message_in));
	pthread_mutex_unlock(&edge->lock);
	if (!in->len)
		return;
	for (guint i = 0; i < in->len; i++) {
		struct message_in *m = &g_array_index(in, struct message_in, i);
		int64_t age_us = clk_now_us(edge->clock) - m->arrived_us;

		switch (m->envelope->body_case) {
		case DSP__ENVELOPE__BODY_PROMPT_ASKS:
			answer_asks(ctx, m->envelope, age_us);
			break;
		case DSP__ENVELOPE__BODY_PROMPT_SLOTS:
			use_answers(ctx, m->envelope);
			break;
		case DSP__ENVELOPE__BODY_PROMPT_SENDS:
			observe_sends(ctx, m->envelope, m->arrived_us);
			break;
		default:
			break;
		}
	}
	messages_free(in);
}

static void set_silent(struct edge_slots *ctx, const char *node, int64_t now_us)
{
	int64_t until_us = now_us + SILENT_US;

	g_hash_table_replace(ctx->silent, g_strdup(node),
			     g_memdup2(&until_us, sizeof(until_us)));
}

/* Ends the asks without an answer in time. Answers that wait for this thread
 * are used first: it may have stood still for longer than the limit. */
static void on_limit(evutil_socket_t fd, short what, void *data)
{
	struct edge_slots *ctx = data;
	struct edge_slot *slot;
	int64_t now_us;

	(void)fd;
	(void)what;
	edge_slots_run(ctx);
	now_us = clk_now_us(ctx->edge->clock);
	if (now_us - ctx->limit_due_us > STALL_US &&
	    !TAILQ_EMPTY(&ctx->asked)) {
		set_limit_timer(ctx, now_us + GRACE_US);
		return;
	}
	while ((slot = TAILQ_FIRST(&ctx->asked)) &&
	       now_us - slot->asked_us >= ANSWER_LIMIT_US) {
		unlist(slot);
		set_silent(ctx, slot->node, now_us);
		log_ask(ctx, slot, "late");
		fwd_slot_decided(slot);
	}
	if (slot)
		set_limit_timer(ctx, slot->asked_us + ANSWER_LIMIT_US);
}
