#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/plc.h"
#include "core/rt.h"
#include "core/st.h"
#include "lib_sim.h"

#define SECOND_US INT64_C(1000000)
#define WARMUP_US (120 * SECOND_US)
#define RUN_US (720 * SECOND_US)
#define MEASURED_MINUTES 10
#define REPORT_INTERVAL_US SECOND_US
#define REPORT_DELAY_US 150000
#define PLAN_INTERVAL_US 500000
#define VIEW_DELAY_US 30000
#define NETWORK_DELAY_US 1000
#define LEASE_US (3 * SECOND_US)
/* An unload is sent only after the entries have the view that announces it. */
#define UNLOAD_DELAY_US (2 * SECOND_US)
#define CACHED_PREFIXES 64
/* Clients give up then, which also bounds the backlog of the baselines. */
#define CLIENT_TIMEOUT_US (30 * SECOND_US)
#define COPIES_MAX 128
#define ENTRIES_MAX 16

static const char *const verband_sites[] = { "muenchen", "augsburg",
					     "regensburg", "wuerzburg" };
static const char *const marea_sites[] = { "santander", "somo", "laredo" };

/* Deployments of section 1 of docs/design.md. */
const struct sim_shape sim_verband = {
	.name = "verband",
	.service = "kellerrat",
	.sites = verband_sites,
	.n_sites = 4,
	.n_runners = 9,
	.n_models = 13,
	.n_adapters = 55,
	.n_entries = 7,
	.loads_per_s = 1.0,
	.parallel_loads = 5,
	.adapter_ms = 12,
	.adapters_in_transit = 40,
	.weight_attainment = 0.3,
	.weight_moves = 1.0,
	.first_token_ms = { 2000, 8000 },
	.utilisation = 0.40,
};
const struct sim_shape sim_marea = {
	.name = "marea-alta",
	.service = "mareas-llm",
	.sites = marea_sites,
	.n_sites = 3,
	.n_runners = 12,
	.n_models = 15,
	.n_adapters = 75,
	.n_entries = 7,
	.loads_per_s = 1.5,
	.parallel_loads = 8,
	.adapter_ms = 13,
	.adapters_in_transit = 64,
	.weight_attainment = 1.0,
	.weight_moves = 0.3,
	.first_token_ms = { 510, 2000 },
	.utilisation = 0.40,
};

enum event_kind {
	EV_ARRIVAL,
	EV_POLL,
	EV_ENGINE_ARRIVAL, /* a request reaches an engine */
	EV_FIRST_TOKEN,
	EV_DONE,
	EV_REPORT, /* an endpoint sends its load */
	EV_REPORT_RECEIVED,
	EV_PLAN,
	EV_VIEW,
	EV_ORDER, /* an order reaches an endpoint */
	EV_LOADED,
	EV_FAIL,
	EV_DOWN,
	EV_DOCUMENT,
};

struct event {
	int64_t at;
	uint64_t seq;
	enum event_kind kind;
	uint32_t index; /* of the request or the endpoint */
	uint64_t value; /* attempt, order id or packed data */
};

struct model {
	char name[32];
	char version[8];
	uint32_t memory_mb;
	uint32_t accelerators;
	double rate;	      /* share of all requests */
	double output_tokens; /* mean of a request */
	double token_cost;    /* relative */
	uint32_t first_adapter, n_adapters;
	int64_t unavailable_since; /* no ready copy since then; 0: has one */
};

struct adapter {
	char name[32];
	uint32_t model;
	uint32_t memory_mb;
};

struct copy {
	bool used; /* this array element is in use */
	bool ready;
	bool loading;
	bool unloading;
	uint32_t model;
	int32_t adapter; /* -1: the model */
	char version[8];
	uint32_t first, n;  /* accelerators */
	uint32_t memory_mb; /* on each of them */
	uint64_t load_order;
	uint64_t unload_order;
	uint32_t in_flight;
	int64_t used_at;
	uint64_t generation; /* counts the loads of this array element */
};

struct request {
	int64_t arrived_at;
	uint32_t model;
	int32_t adapter;
	uint32_t class;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t session;
	uint32_t entry;
	struct rt_ticket *ticket;
	int32_t ep;	  /* index; -1: none */
	int32_t copy;	  /* index; -1: none */
	uint32_t attempt; /* events of earlier attempts are ignored */
	bool retried;
	bool finished;
	bool running;
	int64_t first_at; /* first token; 0: none yet */
};

struct ep {
	char id[32];
	const char *site;
	uint64_t incarnation;
	bool dead;
	bool known_down;
	uint32_t accelerators;
	uint32_t memory_mb;
	uint32_t slots;
	double prompt_token_us; /* per prompt token */
	double token_us;	/* per generated token */
	uint32_t running;
	GQueue waiting; /* request indices, queued at the engine */
	GQueue parked;	/* baselines: request indices, wait for a load */
	struct copy copies[COPIES_MAX];
	int n_copies; /* elements up to the last one ever used */
	uint32_t cache[CACHED_PREFIXES];
	uint32_t cache_next;
	uint64_t report_seq;
	uint64_t highest_fence;
	uint32_t naive_in_flight;
};

struct sim {
	const struct sim_shape *shape;
	enum sim_policy policy;
	enum sim_scenario scenario;
	int64_t now;
	uint64_t seq;
	uint64_t random;
	GArray *heap; /* struct event, the next one first */
	struct model *models;
	struct adapter *adapters;
	struct ep *eps;
	GArray *requests;
	uint32_t model_loads; /* in progress from the store */
	uint32_t adapter_loads;

	struct st *st;
	struct plc *plc;
	struct rt *rts[ENTRIES_MAX];
	struct view *view;
	uint64_t index;
	uint64_t number;
	bool view_queued;
	Dsp__Demand **demands; /* per model, then per adapter */
	struct doc *doc;

	uint64_t minute_all[MEASURED_MINUTES];
	uint64_t minute_good[MEASURED_MINUTES];
	uint64_t refused;
	struct sim_result result;
};

const char *sim_policy_name(enum sim_policy policy)
{
	static const char *const names[] = { "ours", "naive-any", "naive-spill",
					     "naive-sticky" };

	return policy < SIM_POLICIES ? names[policy] : "";
}

const char *sim_scenario_name(enum sim_scenario scenario)
{
	static const char *const names[] = { "steady", "burst", "lose-endpoint",
					     "lose-site", "document" };

	return scenario < SIM_SCENARIOS ? names[scenario] : "";
}

static uint64_t random_next(uint64_t *state)
{
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static double random_unit(uint64_t *state)
{
	return ((double)(random_next(state) >> 11) + 0.5) * 0x1.0p-53;
}

/* The last bit of log() may differ between processors, and with it a time by a
 * microsecond. */
static double random_exponential(uint64_t *state, double mean)
{
	return -mean * log(random_unit(state));
}

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void event_push(struct sim *sim, int64_t at, enum event_kind kind,
		       uint32_t index, uint64_t value)
{
	struct event event = { at, sim->seq++, kind, index, value };
	struct event *heap;
	guint i;

	g_array_append_val(sim->heap, event);
	heap = (struct event *)(void *)sim->heap->data;
	for (i = sim->heap->len - 1; i > 0; i = (i - 1) / 2) {
		struct event *parent = &heap[(i - 1) / 2];

		if (!event_before(&heap[i], parent))
			break;
		event = *parent;
		*parent = heap[i];
		heap[i] = event;
	}
}

static struct event event_pop(struct sim *sim)
{
	struct event *heap = (struct event *)(void *)sim->heap->data;
	struct event top = heap[0];
	guint n = sim->heap->len - 1, i = 0;

	heap[0] = heap[n];
	g_array_set_size(sim->heap, n);
	for (;;) {
		guint child = 2 * i + 1;
		struct event swap;

		if (child >= n)
			break;
		if (child + 1 < n &&
		    event_before(&heap[child + 1], &heap[child]))
			child++;
		if (!event_before(&heap[child], &heap[i]))
			break;
		swap = heap[i];
		heap[i] = heap[child];
		heap[child] = swap;
		i = child;
	}
	return top;
}

static struct request *request_at(struct sim *sim, uint32_t i)
{
	return &g_array_index(sim->requests, struct request, i);
}

/* ---- Models, adapters, endpoints and arrivals of a shape ---- */

static void make_models(struct sim *sim, uint64_t *random)
{
	const struct sim_shape *shape = sim->shape;
	double sum = 0;

	for (size_t i = 0; i < shape->n_models; i++) {
		struct model *model = &sim->models[i];

		g_snprintf(model->name, sizeof(model->name), "m%02zu", i);
		g_strlcpy(model->version, "1", sizeof(model->version));
		model->memory_mb =
			12000 + (uint32_t)(random_next(random) % 24000);
		model->accelerators = i % 6 == 5 ? 2 : 1;
		model->rate = 1.0 / (double)(i + 1);
		model->output_tokens = 60 + 120 * random_unit(random);
		model->token_cost = model->memory_mb / 24000.0;
		sum += model->rate;
	}
	for (size_t i = 0; i < shape->n_models; i++)
		sim->models[i].rate /= sum;
	for (size_t i = 0; i < shape->n_adapters; i++) {
		struct adapter *adapter = &sim->adapters[i];

		adapter->model =
			(uint32_t)(i * shape->n_models / shape->n_adapters);
		g_snprintf(adapter->name, sizeof(adapter->name), "a%02zu", i);
		adapter->memory_mb =
			100 + (uint32_t)(random_next(random) % 400);
		if (!sim->models[adapter->model].n_adapters++)
			sim->models[adapter->model].first_adapter = (uint32_t)i;
	}
}

static void make_endpoints(struct sim *sim, uint64_t *random)
{
	const struct sim_shape *shape = sim->shape;

	for (size_t i = 0; i < shape->n_runners; i++) {
		struct ep *ep = &sim->eps[i];
		/* Speeds differ by a factor of up to three. */
		double speed = 1.0 + 2.0 * random_unit(random);

		g_snprintf(ep->id, sizeof(ep->id), "r%02zu", i);
		ep->site = shape->sites[i % shape->n_sites];
		ep->incarnation = 100 + i;
		ep->accelerators = i % 3 == 2 ? 2 : 1;
		ep->memory_mb = 80000;
		ep->slots = (uint32_t)(8 * ep->accelerators +
				       random_next(random) % 5);
		ep->prompt_token_us = 400 / speed;
		ep->token_us = 12000 / speed;
		g_queue_init(&ep->waiting);
		g_queue_init(&ep->parked);
		sim->result.accelerators += ep->accelerators;
	}
}

/*
 * Returns the seconds an endpoint needs for a prompt and output of these
 * lengths in tokens, when the share fill of its slots is in use.
 */
static double service_s(const struct ep *ep, const struct model *model,
			double prompt, double out, double fill)
{
	return ((64 + prompt) * ep->prompt_token_us + out * ep->token_us) *
	       model->token_cost * (1.0 + fill) / 1e6;
}

static void make_arrivals(struct sim *sim, uint64_t *random)
{
	const struct sim_shape *shape = sim->shape;
	double capacity = 0, work = 0, total;
	int64_t *burst_from = g_new0(int64_t, shape->n_models);
	int64_t *burst_to = g_new0(int64_t, shape->n_models);
	int64_t next_burst =
		WARMUP_US + (int64_t)(random_unit(random) * 20 * SECOND_US);
	int64_t at = 0;

	for (size_t i = 0; i < shape->n_runners; i++) {
		const struct ep *ep = &sim->eps[i];
		double mean = 0;

		for (size_t m = 0; m < shape->n_models; m++)
			mean += sim->models[m].rate *
				service_s(ep, &sim->models[m], 300,
					  sim->models[m].output_tokens, 0.5);
		capacity += ep->slots / mean;
	}
	work = shape->utilisation * capacity;
	for (;;) {
		struct request request = { .ep = -1, .copy = -1 };
		double pick;
		size_t m;

		total = 0;
		for (m = 0; m < shape->n_models; m++) {
			double factor = at >= burst_from[m] && at < burst_to[m]
						? 10
						: 1;

			total += sim->models[m].rate * factor;
		}
		at += (int64_t)(random_exponential(random,
						   1e6 / (work * total))) +
		      1;
		if (at >= RUN_US - 20 * SECOND_US)
			break;
		if (sim->scenario == SIM_BURST && at >= next_burst) {
			/* Skips the two most used models: a burst of one of
			 * them could exceed the whole deployment. */
			m = 2 + random_next(random) % (shape->n_models - 2);
			burst_from[m] = at;
			burst_to[m] =
				at + 30 * SECOND_US +
				(int64_t)(random_unit(random) * 40 * SECOND_US);
			next_burst =
				at + 20 * SECOND_US +
				(int64_t)(random_unit(random) * 30 * SECOND_US);
		}
		pick = random_unit(random) * total;
		for (m = 0; m + 1 < shape->n_models; m++) {
			double factor = at >= burst_from[m] && at < burst_to[m]
						? 10
						: 1;

			pick -= sim->models[m].rate * factor;
			if (pick < 0)
				break;
		}
		request.arrived_at = at;
		request.model = (uint32_t)m;
		request.adapter = -1;
		if (sim->models[m].n_adapters && random_unit(random) < 0.5)
			request.adapter =
				(int32_t)(sim->models[m].first_adapter +
					  random_next(random) %
						  sim->models[m].n_adapters);
		request.class = random_unit(random) < 0.3;
		request.prompt_tokens =
			(uint32_t)random_exponential(random, 300);
		request.output_tokens =
			1 + (uint32_t)random_exponential(
				    random, sim->models[m].output_tokens);
		request.session = 1 + (uint32_t)(random_next(random) % 200);
		request.entry =
			(uint32_t)(random_next(random) % shape->n_entries);
		g_array_append_val(sim->requests, request);
	}
	g_free(burst_from);
	g_free(burst_to);
}

/* ---- Results ---- */

static void count_result(struct sim *sim, const struct request *request,
			 bool refused)
{
	int64_t limit =
		sim->shape->first_token_ms[request->class] * INT64_C(1000);
	int64_t minute = (request->arrived_at - WARMUP_US) / (60 * SECOND_US);

	if (request->arrived_at < WARMUP_US || minute >= MEASURED_MINUTES)
		return;
	sim->result.requests++;
	sim->minute_all[minute]++;
	if (refused)
		sim->refused++;
	else if (request->first_at &&
		 request->first_at - request->arrived_at <= limit)
		sim->minute_good[minute]++;
}

static void count_move(struct sim *sim, bool adapter)
{
	if (sim->now < WARMUP_US)
		return;
	sim->result.moves++;
	sim->result.adapter_moves += adapter;
}

static void track_unavailable(struct sim *sim)
{
	for (size_t m = 0; m < sim->shape->n_models; m++) {
		struct model *model = &sim->models[m];
		bool found = false;

		for (size_t e = 0; e < sim->shape->n_runners && !found; e++) {
			for (int c = 0; c < sim->eps[e].n_copies && !found;
			     c++) {
				const struct copy *copy;

				copy = &sim->eps[e].copies[c];
				found = copy->used && copy->ready &&
					copy->adapter < 0 && copy->model == m &&
					!sim->eps[e].dead;
			}
		}
		if (found) {
			if (model->unavailable_since > 0 &&
			    sim->now >= WARMUP_US)
				sim->result.unreachable_s =
					MAX(sim->result.unreachable_s,
					    (double)(sim->now -
						     model->unavailable_since) /
						    1e6);
			model->unavailable_since = 0;
		} else if (!model->unavailable_since) {
			model->unavailable_since = MAX(sim->now, WARMUP_US);
		}
	}
}

/* ---- Engine ---- */

static struct copy *copy_find(struct ep *ep, uint32_t model, int32_t adapter,
			      const char *version)
{
	for (int i = 0; i < ep->n_copies; i++) {
		struct copy *copy = &ep->copies[i];

		if (copy->used && copy->model == model &&
		    copy->adapter == adapter &&
		    (!version || !strcmp(copy->version, version)))
			return copy;
	}
	return NULL;
}

static uint32_t used_mb(const struct ep *ep, uint32_t accelerator)
{
	uint32_t sum = 0;

	for (int i = 0; i < ep->n_copies; i++) {
		const struct copy *copy = &ep->copies[i];

		if (copy->used && accelerator >= copy->first &&
		    accelerator < copy->first + copy->n)
			sum += copy->memory_mb;
	}
	return sum;
}

static struct copy *start_load(struct sim *sim, struct ep *ep, uint32_t model,
			       int32_t adapter, const char *version,
			       uint32_t first, uint32_t n, uint32_t memory_mb)
{
	uint32_t e = (uint32_t)(ep - sim->eps);
	struct copy *copy = NULL;
	uint32_t parallel;
	double s;

	for (int i = 0; i < COPIES_MAX && !copy; i++) {
		if (!ep->copies[i].used)
			copy = &ep->copies[i];
	}
	if (!copy)
		abort();
	ep->n_copies = MAX(ep->n_copies, (int)(copy - ep->copies) + 1);
	*copy = (struct copy){
		.used = true,
		.loading = true,
		.model = model,
		.adapter = adapter,
		.first = first,
		.n = n,
		.memory_mb = memory_mb,
		.used_at = sim->now,
		.generation = copy->generation + 1,
	};
	g_strlcpy(copy->version, version, sizeof(copy->version));
	for (uint32_t k = first; k < first + n; k++)
		sim->result.overcommits += used_mb(ep, k) > ep->memory_mb;
	if (adapter >= 0) {
		parallel = ++sim->adapter_loads;
		s = sim->shape->adapter_ms / 1000.0;
		s *= MAX(1.0,
			 (double)parallel / sim->shape->adapters_in_transit);
	} else {
		parallel = ++sim->model_loads;
		/* Beyond the parallel limit, loads share the bandwidth. */
		s = sim->shape->parallel_loads / sim->shape->loads_per_s;
		s *= MAX(1.0, (double)parallel / sim->shape->parallel_loads);
	}
	count_move(sim, adapter >= 0);
	event_push(sim, sim->now + (int64_t)(s * 1e6), EV_LOADED, e,
		   (uint64_t)(copy - ep->copies) | copy->generation << 16);
	return copy;
}

/* Returns whether a prefix is cached; caches it if not. */
static bool cache_lookup(struct ep *ep, uint32_t key)
{
	for (int i = 0; i < CACHED_PREFIXES; i++) {
		if (ep->cache[i] == key)
			return true;
	}
	ep->cache[ep->cache_next++ % CACHED_PREFIXES] = key;
	return false;
}

static void engine_start(struct sim *sim, struct ep *ep)
{
	while (!ep->dead && ep->running < ep->slots &&
	       !g_queue_is_empty(&ep->waiting)) {
		uint32_t i = GPOINTER_TO_UINT(g_queue_pop_head(&ep->waiting));
		struct request *request = request_at(sim, i);
		const struct model *model = &sim->models[request->model];
		double fill = (double)ep->running / ep->slots;
		double prompt = request->prompt_tokens;
		uint32_t key = request->model * 1000 + request->session;
		double first, all;

		/* A cached prefix leaves a fifth of the prompt to process. */
		if (cache_lookup(ep, key))
			prompt *= 0.2;
		ep->running++;
		request->running = true;
		first = service_s(ep, model, prompt, 0, fill);
		all = service_s(ep, model, prompt, request->output_tokens,
				fill);
		event_push(sim, sim->now + (int64_t)(first * 1e6),
			   EV_FIRST_TOKEN, i, request->attempt);
		event_push(sim, sim->now + (int64_t)(all * 1e6) + 1, EV_DONE, i,
			   request->attempt);
	}
}

/* Orders requests by class; those of one class stay in order of arrival. */
static gint compare_class(gconstpointer a, gconstpointer b, gpointer data)
{
	struct sim *sim = data;
	uint32_t x = request_at(sim, GPOINTER_TO_UINT(a))->class;
	uint32_t y = request_at(sim, GPOINTER_TO_UINT(b))->class;

	return x > y ? 1 : -1;
}

static void engine_enqueue(struct sim *sim, struct ep *ep, uint32_t i)
{
	/* The engine honours priorities; the baselines send none. */
	if (sim->policy == SIM_OURS)
		g_queue_insert_sorted(&ep->waiting, GUINT_TO_POINTER(i),
				      compare_class, sim);
	else
		g_queue_push_tail(&ep->waiting, GUINT_TO_POINTER(i));
	engine_start(sim, ep);
}

/* ---- SIM_OURS: the code under test ---- */

static void queue_view(struct sim *sim)
{
	if (sim->view_queued)
		return;
	sim->view_queued = true;
	event_push(sim, sim->now + VIEW_DELAY_US, EV_VIEW, 0, 0);
}

static Dsp__CommandResult *apply_command(struct sim *sim, Dsp__Command *command)
{
	Dsp__CommandResult *result;

	command->wall_ms = 1000000 + (uint64_t)(sim->now / 1000);
	result = st_apply(sim->st, ++sim->index, command);
	queue_view(sim);
	return result;
}

/* Applies a command and prints the error if the state rejects it. */
static void apply_checked(struct sim *sim, Dsp__Command *command)
{
	Dsp__CommandResult *result = apply_command(sim, command);

	if (result->code != DSP__RESULT_CODE__RESULT_OK &&
	    result->code != DSP__RESULT_CODE__RESULT_SAME &&
	    result->code != DSP__RESULT_CODE__RESULT_STALE)
		fprintf(stderr, "command rejected: %s\n", result->message);
	dsp__command_result__free_unpacked(result, NULL);
}

static void put_document(struct sim *sim)
{
	const struct sim_shape *shape = sim->shape;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	GString *text = g_string_new(NULL);
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

	g_string_append_printf(
		text,
		"team = \"%s\"\nnumber = %" G_GUINT64_FORMAT
		"\ndefault_class = \"batch\"\n"
		"[weights]\nattainment = %.3f\nmoves = %.3f\n"
		"[store]\nloads_per_s = %.3f\nparallel_loads = %u\n"
		"adapters_in_transit = %u\n"
		"[[service]]\nname = \"%s\"\nkind = \"engine\"\n",
		shape->name, ++sim->number, shape->weight_attainment,
		shape->weight_moves, shape->loads_per_s, shape->parallel_loads,
		shape->adapters_in_transit, shape->service);
	for (size_t i = 0; i < shape->n_models; i++)
		g_string_append_printf(
			text,
			"[[model]]\nname = \"%s\"\nservice = \"%s\"\n"
			"version = \"%s\"\nmemory_mb = %u\n"
			"accelerators = %u\n",
			sim->models[i].name, shape->service,
			sim->models[i].version, sim->models[i].memory_mb,
			sim->models[i].accelerators);
	for (size_t i = 0; i < shape->n_adapters; i++)
		g_string_append_printf(
			text,
			"[[adapter]]\nname = \"%s\"\nmodel = \"%s\"\n"
			"memory_mb = %u\n",
			sim->adapters[i].name,
			sim->models[sim->adapters[i].model].name,
			sim->adapters[i].memory_mb);
	g_string_append_printf(
		text,
		"[[class]]\nname = \"chat\"\npriority = 0\n"
		"first_token_ms = %u\nshare = 0.5\nqueue_max = 400\n"
		"[[class]]\nname = \"batch\"\npriority = 10\n"
		"first_token_ms = %u\nshare = 0.2\nqueue_max = 400\n",
		shape->first_token_ms[0], shape->first_token_ms[1]);
	doc_free(sim->doc);
	sim->doc = doc_parse("sim", text->str, text->len, faults);
	if (!sim->doc) {
		for (guint i = 0; i < faults->len; i++)
			fprintf(stderr, "%s\n",
				(char *)g_ptr_array_index(faults, i));
		abort();
	}
	g_ptr_array_free(faults, TRUE);
	put.team = (char *)shape->name;
	put.number = sim->number;
	put.text = text->str;
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	apply_checked(sim, &command);
	g_string_free(text, TRUE);
}

static void put_endpoint(struct sim *sim, struct ep *ep)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
	Dsp__Endpoint msg = DSP__ENDPOINT__INIT;
	Dsp__Features features = DSP__FEATURES__INIT;

	features.fencing = true;
	features.checks_incarnation = true;
	features.priorities = true;
	msg.id = ep->id;
	msg.incarnation = ep->incarnation;
	msg.address = (char *)"http://127.0.0.1:1";
	msg.site = (char *)ep->site;
	msg.team = (char *)sim->shape->name;
	msg.service = (char *)sim->shape->service;
	msg.features = &features;
	msg.accelerators = ep->accelerators;
	msg.accelerator_memory_mb = ep->memory_mb;
	msg.max_batch = ep->slots;
	put.endpoint = &msg;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	apply_checked(sim, &command);
}

static void finish_order(struct sim *sim, uint64_t order)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__OrderFinish finish = DSP__ORDER_FINISH__INIT;

	finish.order = order;
	finish.state = DSP__ORDER_STATE__ORDER_DONE;
	command.body_case = DSP__COMMAND__BODY_ORDER_FINISH;
	command.order_finish = &finish;
	apply_checked(sim, &command);
}

static void set_view(struct sim *sim)
{
	Dsp__ViewUpdate *update;
	struct view *next;

	sim->view_queued = false;
	update = st_view_since(sim->st, view_index(sim->view));
	next = view_apply(sim->view, update);
	dsp__view_update__free_unpacked(update, NULL);
	if (!next)
		abort();
	view_unref(sim->view);
	sim->view = next;
	for (size_t i = 0; i < sim->shape->n_entries; i++)
		rt_set_view(sim->rts[i], sim->view, sim->now);
}

static struct ep *ep_by_id(struct sim *sim, const char *id)
{
	for (size_t i = 0; i < sim->shape->n_runners; i++) {
		if (!strcmp(sim->eps[i].id, id))
			return &sim->eps[i];
	}
	return NULL;
}

static void plan_round(struct sim *sim)
{
	Dsp__Command **commands;
	size_t n, slots = sim->shape->n_models + sim->shape->n_adapters;

	for (size_t i = 0; i < slots; i++) {
		Dsp__Demand *demand = sim->demands[i];

		if (!demand->requests && !demand->service_ms)
			continue;
		plc_add_demand(sim->plc, demand, sim->now);
		demand->requests = 0;
		demand->refused = 0;
		demand->late = 0;
		demand->service_ms = 0;
	}
	n = plc_round(sim->plc, sim->st, sim->now, &commands);
	for (size_t i = 0; i < n; i++) {
		Dsp__CommandResult *result = apply_command(sim, commands[i]);

		if (result->code == DSP__RESULT_CODE__RESULT_OK) {
			struct ep *ep;

			ep = ep_by_id(sim, result->order->endpoint);
			event_push(
				sim,
				sim->now +
					(result->order->kind ==
							 DSP__ORDER_KIND__ORDER_UNLOAD
						 ? UNLOAD_DELAY_US
						 : NETWORK_DELAY_US),
				EV_ORDER, (uint32_t)(ep - sim->eps),
				result->order->id);
		} else {
			sim->result.rejected_orders++;
			if (getenv("SIM_VERBOSE"))
				fprintf(stderr, "%s: %s\n",
					commands[i]->order_create->order->model,
					result->message);
		}
		dsp__command_result__free_unpacked(result, NULL);
		dsp__command__free_unpacked(commands[i], NULL);
	}
	g_free(commands);
}

static void copy_unloaded(struct sim *sim, struct ep *ep, struct copy *copy)
{
	uint64_t order = copy->unload_order;

	(void)ep;
	copy->used = false;
	copy->ready = false;
	copy->unloading = false;
	count_move(sim, copy->adapter >= 0);
	if (order)
		finish_order(sim, order);
}

static void receive_order(struct sim *sim, struct ep *ep, uint64_t id)
{
	const Dsp__Order *order = st_order(sim->st, id);
	uint32_t model = 0;
	int32_t adapter = -1;
	struct copy *copy;

	if (!order || ep->dead ||
	    order->state != DSP__ORDER_STATE__ORDER_PENDING)
		return;
	while (strcmp(sim->models[model].name, order->model))
		model++;
	if (*order->adapter) {
		adapter = 0;
		while (strcmp(sim->adapters[adapter].name, order->adapter))
			adapter++;
	}
	ep->highest_fence = MAX(ep->highest_fence, id);
	if (order->kind == DSP__ORDER_KIND__ORDER_LOAD) {
		copy = start_load(sim, ep, model, adapter, order->version,
				  order->first_accelerator, order->accelerators,
				  order->memory_mb);
		copy->load_order = id;
		return;
	}
	copy = copy_find(ep, model, adapter, order->version);
	if (!copy) {
		finish_order(sim, id);
		return;
	}
	copy->ready = false;
	copy->unloading = true;
	copy->unload_order = id;
	if (!copy->in_flight)
		copy_unloaded(sim, ep, copy);
}

static Dsp__Demand *demand_of(struct sim *sim, const struct request *request)
{
	return sim->demands[request->adapter < 0
				    ? request->model
				    : sim->shape->n_models +
					      (size_t)request->adapter];
}

static void dispatch(struct sim *sim, uint32_t i, struct ep *ep,
		     struct copy *copy)
{
	struct request *request = request_at(sim, i);

	request->attempt++;
	request->ep = (int32_t)(ep - sim->eps);
	request->copy = copy ? (int32_t)(copy - ep->copies) : -1;
	if (copy) {
		copy->in_flight++;
		copy->used_at = sim->now;
	}
	event_push(sim, sim->now + NETWORK_DELAY_US, EV_ENGINE_ARRIVAL, i,
		   request->attempt);
}

static void finish_ours(struct sim *sim, struct request *request, bool success,
			bool refused)
{
	Dsp__Demand *demand = demand_of(sim, request);
	int64_t limit =
		sim->shape->first_token_ms[request->class] * INT64_C(1000);

	if (request->finished)
		return;
	request->finished = true;
	if (refused)
		demand->refused++;
	else if (!request->first_at ||
		 request->first_at - request->arrived_at > limit)
		demand->late++;
	if (request->ticket)
		rt_done(sim->rts[request->entry], request->ticket, sim->now,
			request->output_tokens, success);
	request->ticket = NULL;
	count_result(sim, request, refused);
}

static void follow_decision(struct sim *sim, uint32_t i,
			    const struct rt_decision *out)
{
	struct request *request = request_at(sim, i);
	struct rt *rt = sim->rts[request->entry];
	struct ep *ep;
	struct copy *copy;

	request->ticket = out->ticket;
	switch (out->outcome) {
	case RT_REFUSE:
		finish_ours(sim, request, false, true);
		return;
	case RT_WAIT:
		request->ep = -1;
		event_push(sim, rt_next_us(rt, out->ticket, sim->now) + 1,
			   EV_POLL, i, 0);
		return;
	case RT_DISPATCH:
		break;
	}
	ep = ep_by_id(sim, out->endpoint->id);
	copy = copy_find(ep, request->model, request->adapter, NULL);
	if (!ep->dead && !copy)
		sim->result.wrong++;
	dispatch(sim, i, ep, copy);
}

static void arrive_ours(struct sim *sim, uint32_t i)
{
	struct request *request = request_at(sim, i);
	const struct doc_class *class = &sim->doc->classes[request->class];
	struct rt_request in = {
		.team = sim->shape->name,
		.service = sim->shape->service,
		.model = sim->models[request->model].name,
		.adapter = request->adapter < 0
				   ? NULL
				   : sim->adapters[request->adapter].name,
		.class_name = class->name,
		.class_limits = class,
		.arrival_us = sim->now,
		.deadline_us = sim->now + class->first_token_us,
		.prompt_tokens = request->prompt_tokens,
		.max_tokens = request->output_tokens,
		.prefix_hashes = { (uint64_t)request->model * 1000 +
				   request->session },
	};
	struct rt_decision out;

	demand_of(sim, request)->requests++;
	rt_submit(sim->rts[request->entry], &in, sim->now, &out);
	follow_decision(sim, i, &out);
}

static void retry_ours(struct sim *sim, uint32_t i)
{
	struct request *request = request_at(sim, i);
	struct rt *rt = sim->rts[request->entry];
	struct rt_decision out;

	if (request->ep >= 0)
		rt_endpoint_failed(rt, sim->eps[request->ep].id,
				   sim->eps[request->ep].incarnation, sim->now);
	request->running = false;
	if (request->first_at) {
		finish_ours(sim, request, false, false);
		return;
	}
	rt_retry(rt, request->ticket, sim->now, &out);
	follow_decision(sim, i, &out);
}

/* ---- SIM_NAIVE_*: baselines ---- */

/*
 * Evicts the least recently used idle copy on the n accelerators from first on,
 * other than the base copy of the model; returns false if there is none.
 */
static bool evict_lru(struct sim *sim, struct ep *ep, uint32_t first,
		      uint32_t n, uint32_t model)
{
	struct copy *oldest = NULL;

	for (int i = 0; i < ep->n_copies; i++) {
		struct copy *copy = &ep->copies[i];
		bool busy = false;

		if (!copy->used || !copy->ready || copy->in_flight ||
		    copy->first >= first + n || first >= copy->first + copy->n)
			continue;
		if (copy->model == model && copy->adapter < 0)
			continue;
		for (int j = 0; j < ep->n_copies && copy->adapter < 0; j++)
			busy |= ep->copies[j].used &&
				ep->copies[j].model == copy->model &&
				(ep->copies[j].in_flight ||
				 ep->copies[j].loading);
		if (busy || (oldest && copy->used_at >= oldest->used_at))
			continue;
		oldest = copy;
	}
	if (!oldest)
		return false;
	/* Evicting a model also unloads its adapters. */
	for (int j = 0; j < ep->n_copies && oldest->adapter < 0; j++) {
		struct copy *copy = &ep->copies[j];

		if (copy->used && copy->model == oldest->model &&
		    copy->adapter >= 0)
			copy_unloaded(sim, ep, copy);
	}
	copy_unloaded(sim, ep, oldest);
	return true;
}

static bool window_fits(const struct ep *ep, uint32_t first, uint32_t n,
			uint32_t memory_mb)
{
	for (uint32_t k = first; k < first + n; k++) {
		if (used_mb(ep, k) + memory_mb > ep->memory_mb)
			return false;
	}
	return true;
}

/*
 * Returns the ready copy for a request. If there is none, starts the missing
 * load where room can be made, unless it is in progress, and returns NULL.
 */
static struct copy *naive_get_copy(struct sim *sim, struct ep *ep,
				   const struct request *request)
{
	const struct model *model = &sim->models[request->model];
	struct copy *base, *copy;
	uint32_t best = 0;
	uint32_t memory_mb;

	base = copy_find(ep, request->model, -1, model->version);
	if (!base) {
		uint32_t first, room = 0;

		for (first = 0; first + model->accelerators <= ep->accelerators;
		     first++) {
			uint32_t left = ep->memory_mb - used_mb(ep, first);

			if (left >= room) {
				room = left;
				best = first;
			}
		}
		while (!window_fits(ep, best, model->accelerators,
				    model->memory_mb)) {
			if (!evict_lru(sim, ep, best, model->accelerators,
				       request->model))
				return NULL;
		}
		start_load(sim, ep, request->model, -1, model->version, best,
			   model->accelerators, model->memory_mb);
		return NULL;
	}
	if (!base->ready || request->adapter < 0)
		return base->ready ? base : NULL;
	base->used_at = sim->now;
	copy = copy_find(ep, request->model, request->adapter, NULL);
	if (copy)
		return copy->ready ? copy : NULL;
	memory_mb = sim->adapters[request->adapter].memory_mb;
	while (!window_fits(ep, base->first, base->n, memory_mb)) {
		if (!evict_lru(sim, ep, base->first, base->n, request->model))
			return NULL;
	}
	start_load(sim, ep, request->model, request->adapter, "1", base->first,
		   base->n, memory_mb);
	return NULL;
}

static struct ep *naive_choose_endpoint(struct sim *sim,
					const struct request *request)
{
	const struct model *model = &sim->models[request->model];
	struct ep *best = NULL, *best_resident = NULL;

	for (size_t i = 0; i < sim->shape->n_runners; i++) {
		struct ep *ep = &sim->eps[i];
		struct copy *copy;

		if (ep->known_down || (int32_t)i == request->ep ||
		    ep->accelerators < model->accelerators)
			continue;
		if (!best || ep->naive_in_flight < best->naive_in_flight)
			best = ep;
		copy = copy_find(ep, request->model, -1, model->version);
		if (!copy)
			continue;
		if (!best_resident ||
		    ep->naive_in_flight < best_resident->naive_in_flight)
			best_resident = ep;
	}
	if (!best_resident || sim->policy == SIM_NAIVE_ANY)
		return best;
	if (sim->policy == SIM_NAIVE_STICKY ||
	    best_resident->naive_in_flight < best_resident->slots)
		return best_resident;
	return best;
}

static bool naive_serve(struct sim *sim, uint32_t i, struct ep *ep)
{
	struct request *request = request_at(sim, i);
	struct copy *copy;

	if (sim->now - request->arrived_at > CLIENT_TIMEOUT_US) {
		ep->naive_in_flight--;
		request->finished = true;
		count_result(sim, request, false);
		return true;
	}
	copy = naive_get_copy(sim, ep, request);

	if (copy)
		dispatch(sim, i, ep, copy);
	else
		g_queue_push_tail(&ep->parked, GUINT_TO_POINTER(i));
	return copy != NULL;
}

/*
 * Serves parked requests. If only is not NULL, serves just those for that copy,
 * which has just been loaded, so that no other request evicts it before its
 * first use.
 */
static void naive_serve_parked(struct sim *sim, struct ep *ep,
			       const struct copy *only)
{
	size_t kinds = sim->shape->n_models + sim->shape->n_adapters;
	guint n = g_queue_get_length(&ep->parked);
	bool *missing = g_new0(bool, kinds);

	while (n--) {
		uint32_t i = GPOINTER_TO_UINT(g_queue_pop_head(&ep->parked));
		const struct request *request = request_at(sim, i);
		size_t kind = request->model;
		bool skip;

		if (request->adapter >= 0)
			kind = sim->shape->n_models + (size_t)request->adapter;
		skip = missing[kind];
		if (only && only->model != request->model)
			skip = true;
		if (only && only->adapter >= 0 &&
		    only->adapter != request->adapter)
			skip = true;
		if (skip)
			g_queue_push_tail(&ep->parked, GUINT_TO_POINTER(i));
		else
			missing[kind] = !naive_serve(sim, i, ep);
	}
	g_free(missing);
}

static void arrive_naive(struct sim *sim, uint32_t i)
{
	struct request *request = request_at(sim, i);
	struct ep *ep = naive_choose_endpoint(sim, request);

	if (!ep) {
		request->finished = true;
		count_result(sim, request, true);
		return;
	}
	request->ep = (int32_t)(ep - sim->eps);
	ep->naive_in_flight++;
	naive_serve(sim, i, ep);
}

static void retry_naive(struct sim *sim, uint32_t i)
{
	struct request *request = request_at(sim, i);

	sim->eps[request->ep].naive_in_flight--;
	request->running = false;
	if (request->retried || request->first_at) {
		request->finished = true;
		count_result(sim, request, false);
		return;
	}
	request->retried = true;
	arrive_naive(sim, i);
}

/* ---- Common events ---- */

static void request_failed(struct sim *sim, uint32_t i)
{
	request_at(sim, i)->attempt++;
	if (sim->policy == SIM_OURS)
		retry_ours(sim, i);
	else
		retry_naive(sim, i);
}

static void engine_arrival(struct sim *sim, uint32_t i, uint64_t attempt)
{
	struct request *request = request_at(sim, i);
	struct ep *ep = &sim->eps[request->ep];

	if (request->attempt != attempt)
		return;
	if (ep->dead) {
		request_failed(sim, i);
		return;
	}
	engine_enqueue(sim, ep, i);
}

static void engine_done(struct sim *sim, uint32_t i, uint64_t attempt)
{
	struct request *request = request_at(sim, i);
	struct ep *ep = &sim->eps[request->ep];
	struct copy *copy = NULL;

	if (request->attempt != attempt || ep->dead)
		return;
	request->running = false;
	ep->running--;
	if (request->copy >= 0)
		copy = &ep->copies[request->copy];
	if (copy && copy->in_flight)
		copy->in_flight--;
	if (copy && copy->unloading && !copy->in_flight)
		copy_unloaded(sim, ep, copy);
	engine_start(sim, ep);
	if (sim->policy == SIM_OURS) {
		demand_of(sim, request)->service_ms +=
			(uint64_t)((sim->now - request->first_at) / 1000 + 1);
		finish_ours(sim, request, true, false);
		return;
	}
	ep->naive_in_flight--;
	request->finished = true;
	count_result(sim, request, false);
	/* An idle copy can be evicted for a parked request. */
	if (copy && !copy->in_flight)
		naive_serve_parked(sim, ep, NULL);
}

static void first_token(struct sim *sim, uint32_t i, uint64_t attempt)
{
	struct request *request = request_at(sim, i);

	if (request->attempt != attempt || sim->eps[request->ep].dead)
		return;
	request->first_at = sim->now;
	if (sim->policy == SIM_OURS)
		rt_first_token(sim->rts[request->entry], request->ticket,
			       sim->now);
}

/* Completes a load; packed: copy index (low 16 bits) and its generation. */
static void load_done(struct sim *sim, struct ep *ep, uint64_t packed)
{
	struct copy *copy = &ep->copies[packed & 0xffff];

	if (copy->adapter >= 0)
		sim->adapter_loads--;
	else
		sim->model_loads--;
	if (ep->dead || !copy->used || copy->generation != packed >> 16)
		return;
	copy->loading = false;
	copy->ready = true;
	if (copy->load_order)
		finish_order(sim, copy->load_order);
	if (sim->policy != SIM_OURS) {
		naive_serve_parked(sim, ep, copy);
		naive_serve_parked(sim, ep, NULL);
	}
}

static void fail_endpoint(struct sim *sim, uint32_t e)
{
	struct ep *ep = &sim->eps[e];

	ep->dead = true;
	event_push(sim, sim->now + LEASE_US, EV_DOWN, e, 0);
	g_queue_clear(&ep->waiting);
	g_queue_clear(&ep->parked);
	for (uint32_t i = 0; i < sim->requests->len; i++) {
		struct request *request = request_at(sim, i);

		if (request->arrived_at > sim->now)
			break;
		if (request->ep == (int32_t)e && !request->finished &&
		    (sim->policy != SIM_OURS || request->ticket))
			request_failed(sim, i);
	}
}

static void mark_down(struct sim *sim, uint32_t e)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointDown msg = DSP__ENDPOINT_DOWN__INIT;

	sim->eps[e].known_down = true;
	if (sim->policy != SIM_OURS)
		return;
	msg.id = sim->eps[e].id;
	msg.incarnation = sim->eps[e].incarnation;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_DOWN;
	command.endpoint_down = &msg;
	apply_checked(sim, &command);
}

static void change_document(struct sim *sim)
{
	/* New versions of three models, one of them heavily used. */
	for (size_t i = 1; i < 12; i += 4)
		g_strlcpy(sim->models[i].version, "2",
			  sizeof(sim->models[i].version));
	if (sim->policy == SIM_OURS) {
		put_document(sim);
		return;
	}
	/* The baselines load the new version on demand; aging the copies of
	 * the old one makes them the first to be evicted. */
	for (size_t e = 0; e < sim->shape->n_runners; e++) {
		for (int c = 0; c < sim->eps[e].n_copies; c++) {
			struct copy *copy = &sim->eps[e].copies[c];

			if (copy->used && copy->adapter < 0)
				copy->used_at -=
					strcmp(copy->version,
					       sim->models[copy->model].version)
						? 1000 * SECOND_US
						: 0;
		}
	}
}

static void send_report(struct sim *sim, uint32_t e)
{
	struct ep *ep = &sim->eps[e];
	uint64_t packed =
		(uint64_t)ep->running << 32 | g_queue_get_length(&ep->waiting);

	if (ep->dead)
		return;
	event_push(sim, sim->now + REPORT_INTERVAL_US, EV_REPORT, e, 0);
	event_push(sim, sim->now + REPORT_DELAY_US, EV_REPORT_RECEIVED, e,
		   packed);
}

static void receive_report(struct sim *sim, uint32_t e, uint64_t packed)
{
	struct ep *ep = &sim->eps[e];
	Dsp__LoadReport msg = DSP__LOAD_REPORT__INIT;

	msg.endpoint = ep->id;
	msg.incarnation = ep->incarnation;
	msg.sequence = ++ep->report_seq;
	msg.running = (uint32_t)(packed >> 32);
	msg.waiting = (uint32_t)packed;
	msg.age_ms = REPORT_DELAY_US / 1000;
	plc_update_load(sim->plc, &msg, sim->now);
	for (size_t i = 0; i < sim->shape->n_entries; i++)
		rt_report(sim->rts[i], &msg, sim->now);
}

static void poll_ticket(struct sim *sim, uint32_t i)
{
	struct request *request = request_at(sim, i);
	struct rt_decision out;

	if (request->finished || !request->ticket)
		return;
	rt_poll(sim->rts[request->entry], request->ticket, sim->now, &out);
	follow_decision(sim, i, &out);
}

static void handle_event(struct sim *sim, const struct event *event)
{
	switch (event->kind) {
	case EV_ARRIVAL:
		if (event->index + 1 < sim->requests->len)
			event_push(
				sim,
				request_at(sim, event->index + 1)->arrived_at,
				EV_ARRIVAL, event->index + 1, 0);
		if (sim->policy == SIM_OURS)
			arrive_ours(sim, event->index);
		else
			arrive_naive(sim, event->index);
		break;
	case EV_POLL:
		poll_ticket(sim, event->index);
		break;
	case EV_ENGINE_ARRIVAL:
		engine_arrival(sim, event->index, event->value);
		break;
	case EV_FIRST_TOKEN:
		first_token(sim, event->index, event->value);
		break;
	case EV_DONE:
		engine_done(sim, event->index, event->value);
		break;
	case EV_REPORT:
		send_report(sim, event->index);
		break;
	case EV_REPORT_RECEIVED:
		receive_report(sim, event->index, event->value);
		break;
	case EV_PLAN:
		if (sim->policy == SIM_OURS)
			plan_round(sim);
		track_unavailable(sim);
		event_push(sim, sim->now + PLAN_INTERVAL_US, EV_PLAN, 0, 0);
		break;
	case EV_VIEW:
		set_view(sim);
		break;
	case EV_ORDER:
		receive_order(sim, &sim->eps[event->index], event->value);
		break;
	case EV_LOADED:
		load_done(sim, &sim->eps[event->index], event->value);
		break;
	case EV_FAIL:
		fail_endpoint(sim, event->index);
		break;
	case EV_DOWN:
		mark_down(sim, event->index);
		break;
	case EV_DOCUMENT:
		change_document(sim);
		break;
	}
}

static void schedule_scenario(struct sim *sim)
{
	const struct sim_shape *shape = sim->shape;
	int64_t at = 300 * SECOND_US;

	switch (sim->scenario) {
	case SIM_LOSE_ENDPOINT:
		event_push(sim, at, EV_FAIL, 1, 0);
		break;
	case SIM_LOSE_SITE:
		for (size_t i = 0; i < shape->n_runners; i++) {
			if (!strcmp(sim->eps[i].site, shape->sites[0]))
				event_push(sim, at, EV_FAIL, (uint32_t)i, 0);
		}
		break;
	case SIM_DOCUMENT:
		event_push(sim, at, EV_DOCUMENT, 0, 0);
		break;
	default:
		break;
	}
}

static void start_ours(struct sim *sim, uint64_t seed)
{
	const struct sim_shape *shape = sim->shape;
	size_t slots = shape->n_models + shape->n_adapters;

	sim->st = st_new(&st_default_limits);
	sim->plc = plc_new(seed);
	sim->view = view_new_empty();
	sim->demands = g_new0(Dsp__Demand *, slots);
	for (size_t i = 0; i < shape->n_entries; i++) {
		sim->rts[i] = rt_new(seed * 100 + i);
		rt_set_entries(sim->rts[i], (uint32_t)shape->n_entries);
	}
	for (size_t i = 0; i < slots; i++) {
		Dsp__Demand *demand = g_new(Dsp__Demand, 1);
		uint32_t model;

		dsp__demand__init(demand);
		demand->team = (char *)shape->name;
		model = i < shape->n_models
				? (uint32_t)i
				: sim->adapters[i - shape->n_models].model;
		demand->model = sim->models[model].name;
		demand->adapter = (char *)"";
		if (i >= shape->n_models)
			demand->adapter =
				sim->adapters[i - shape->n_models].name;
		sim->demands[i] = demand;
	}
	put_document(sim);
	for (size_t i = 0; i < shape->n_runners; i++)
		put_endpoint(sim, &sim->eps[i]);
	set_view(sim);
	for (size_t i = 0; i < shape->n_runners; i++)
		event_push(sim, (int64_t)i * (REPORT_INTERVAL_US / 16),
			   EV_REPORT, (uint32_t)i, 0);
}

static void stop_ours(struct sim *sim)
{
	size_t slots = sim->shape->n_models + sim->shape->n_adapters;

	for (uint32_t i = 0; i < sim->requests->len; i++) {
		struct request *request = request_at(sim, i);

		if (request->ticket)
			rt_done(sim->rts[request->entry], request->ticket,
				sim->now, 0, false);
	}
	for (size_t i = 0; i < sim->shape->n_entries; i++)
		rt_free(sim->rts[i]);
	for (size_t i = 0; i < slots; i++)
		g_free(sim->demands[i]);
	g_free(sim->demands);
	view_unref(sim->view);
	plc_free(sim->plc);
	st_free(sim->st);
	doc_free(sim->doc);
}

/*
 * Gives the baselines one copy of each model at the start, on the endpoint with
 * the most free memory: a cold start would overload the store.
 */
static void start_naive(struct sim *sim)
{
	for (size_t m = 0; m < sim->shape->n_models; m++) {
		struct model *model = &sim->models[m];
		struct ep *best = NULL;
		uint32_t room = 0;

		for (size_t e = 0; e < sim->shape->n_runners; e++) {
			struct ep *ep = &sim->eps[e];
			uint32_t left;

			if (ep->accelerators < model->accelerators)
				continue;
			left = ep->memory_mb * ep->accelerators;
			for (uint32_t k = 0; k < ep->accelerators; k++)
				left -= used_mb(ep, k);
			left /= MAX(ep->accelerators, 1);
			if (!best || left > room) {
				best = ep;
				room = left;
			}
		}
		if (!best || !window_fits(best, 0, model->accelerators,
					  model->memory_mb))
			continue;
		start_load(sim, best, (uint32_t)m, -1, model->version, 0,
			   model->accelerators, model->memory_mb);
	}
}

static void compute_result(struct sim *sim)
{
	uint64_t good = 0, all = 0;

	sim->result.worst_minute = 1.0;
	for (int i = 0; i < MEASURED_MINUTES; i++) {
		good += sim->minute_good[i];
		all += sim->minute_all[i];
		/* Minutes with fewer than 100 requests do not count. */
		if (sim->minute_all[i] >= 100)
			sim->result.worst_minute =
				MIN(sim->result.worst_minute,
				    (double)sim->minute_good[i] /
					    (double)sim->minute_all[i]);
	}
	sim->result.overall = (double)good / (double)MAX(all, 1);
	sim->result.refused = (double)sim->refused / (double)MAX(all, 1);
}

/*
 * Simulates one policy with the arrivals of a shape, scenario and seed, and
 * returns its measures. The same arguments give the same result.
 */
struct sim_result sim_run(const struct sim_shape *shape, enum sim_policy policy,
			  enum sim_scenario scenario, uint64_t seed)
{
	struct sim sim = {
		.shape = shape,
		.policy = policy,
		.scenario = scenario,
		.heap = g_array_new(FALSE, FALSE, sizeof(struct event)),
		.requests = g_array_new(FALSE, FALSE, sizeof(struct request)),
		.models = g_new0(struct model, shape->n_models),
		.adapters = g_new0(struct adapter, shape->n_adapters),
		.eps = g_new0(struct ep, shape->n_runners),
	};
	uint64_t random = seed * 7919 + 17;

	make_models(&sim, &random);
	make_endpoints(&sim, &random);
	make_arrivals(&sim, &random);
	if (policy == SIM_OURS)
		start_ours(&sim, seed);
	else
		start_naive(&sim);
	event_push(&sim, request_at(&sim, 0)->arrived_at, EV_ARRIVAL, 0, 0);
	event_push(&sim, 0, EV_PLAN, 0, 0);
	schedule_scenario(&sim);
	while (sim.heap->len) {
		struct event event = event_pop(&sim);

		if (event.at > RUN_US)
			break;
		sim.now = event.at;
		handle_event(&sim, &event);
	}
	for (uint32_t i = 0; i < sim.requests->len; i++) {
		struct request *request = request_at(&sim, i);

		if (!request->finished)
			count_result(&sim, request, false);
	}
	if (policy == SIM_OURS)
		stop_ours(&sim);
	compute_result(&sim);
	for (size_t i = 0; i < shape->n_runners; i++) {
		g_queue_clear(&sim.eps[i].waiting);
		g_queue_clear(&sim.eps[i].parked);
	}
	g_array_free(sim.heap, TRUE);
	g_array_free(sim.requests, TRUE);
	g_free(sim.models);
	g_free(sim.adapters);
	g_free(sim.eps);
	return sim.result;
}
