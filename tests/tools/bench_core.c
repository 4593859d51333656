#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <malloc.h>

#include "core/ent.h"
#include "core/plc.h"
#include "core/quo.h"
#include "core/rt.h"
#include "core/st.h"

/*
 * Measures time and memory of the core's decisions at several sizes: routing
 * (submit, first token, done), view change, report, placement round and entry
 * list. Times are elapsed real time.
 */

struct size {
	unsigned endpoints, models, nodes, copies;
};

static const struct size sizes[] = {
	{ 12, 15, 7, 3 },
	{ 60, 60, 40, 4 },
	{ 200, 120, 150, 6 },
	{ 600, 240, 400, 8 },
};

static uint64_t last_index;

static double now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static double heap_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / 1e6;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_times(const char *what, double *times, size_t n)
{
	double sum = 0;

	qsort(times, n, sizeof(*times), compare_doubles);
	for (size_t i = 0; i < n; i++)
		sum += times[i];
	printf("  %-28s mean %10.2f us  p50 %10.2f  p99 %10.2f  max %10.2f\n",
	       what, sum / (double)n, times[n / 2], times[n * 99 / 100],
	       times[n - 1]);
}

static void apply(struct st *st, Dsp__Command *command)
{
	Dsp__CommandResult *result;

	command->wall_ms = 1000;
	result = st_apply(st, ++last_index, command);
	if (result->code != DSP__RESULT_CODE__RESULT_OK)
		fprintf(stderr, "rejected: %s\n", result->message);
	dsp__command_result__free_unpacked(result, NULL);
}

static void put_document(struct st *st, const struct size *size)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	GString *text = g_string_new(
		"team = \"t\"\nnumber = 1\ndefault_class = \"c\"\n"
		"[store]\nloads_per_s = 100\nparallel_loads = 64\n"
		"adapters_in_transit = 40\n[[service]]\nname = \"s\"\n"
		"kind = \"engine\"\n[[class]]\nname = \"c\"\n"
		"first_token_ms = 510\n");

	for (unsigned i = 0; i < size->models; i++)
		g_string_append_printf(text,
				       "[[model]]\nname = \"m%u\"\n"
				       "service = \"s\"\nmemory_mb = 20000\n",
				       i);
	put.team = (char *)"t";
	put.number = 1;
	put.text = text->str;
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	apply(st, &command);
	g_string_free(text, TRUE);
}

static void put_endpoint(struct st *st, const struct size *size, unsigned i,
			 uint64_t incarnation)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
	Dsp__Endpoint msg = DSP__ENDPOINT__INIT;
	Dsp__Features features = DSP__FEATURES__INIT;
	Dsp__Copy copies[32], *pointers[32];
	char id[32], site[8], names[32][16];

	features.fencing = true;
	features.checks_incarnation = true;
	g_snprintf(id, sizeof(id), "e%u", i);
	g_snprintf(site, sizeof(site), "s%u", i % 6);
	for (unsigned c = 0; c < size->copies; c++) {
		dsp__copy__init(&copies[c]);
		g_snprintf(names[c], sizeof(names[c]), "m%u",
			   (i * size->copies + c) % size->models);
		copies[c].model = names[c];
		copies[c].version = (char *)"1";
		copies[c].first_accelerator = c;
		copies[c].accelerators = 1;
		copies[c].memory_mb = 20000;
		copies[c].ready = true;
		pointers[c] = &copies[c];
	}
	msg.id = id;
	msg.incarnation = incarnation;
	msg.address = (char *)"http://127.0.0.1:1";
	msg.site = site;
	msg.team = (char *)"t";
	msg.service = (char *)"s";
	msg.features = &features;
	msg.accelerators = 8;
	msg.accelerator_memory_mb = 80000;
	msg.max_batch = 64;
	msg.n_copies = size->copies;
	msg.copies = pointers;
	put.endpoint = &msg;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	apply(st, &command);
}

static void put_node(struct st *st, unsigned i)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__NodePut put = DSP__NODE_PUT__INIT;
	Dsp__Node msg = DSP__NODE__INIT;
	char id[32], site[8];

	g_snprintf(id, sizeof(id), "n%u", i);
	g_snprintf(site, sizeof(site), "s%u", i % 6);
	msg.id = id;
	msg.boot = 1;
	msg.site = site;
	msg.region = (char *)"r";
	msg.internal_address = (char *)"tcp://127.0.0.1:1";
	msg.http_address = (char *)"127.0.0.1:2";
	msg.weight = 10;
	put.node = &msg;
	command.body_case = DSP__COMMAND__BODY_NODE_PUT;
	command.node_put = &put;
	apply(st, &command);
}

static struct view *next_view(struct st *st, struct view *old)
{
	Dsp__ViewUpdate *update = st_view_since(st, view_index(old));
	struct view *view = view_apply(old, update);

	dsp__view_update__free_unpacked(update, NULL);
	view_unref(old);
	return view;
}

#define DECISIONS 100000
#define IN_FLIGHT 2000

static void bench_routing(const struct size *size, struct st *st,
			  struct view **view)
{
	double *times = g_new(double, DECISIONS), heap = heap_mb();
	struct rt_ticket **in_flight = g_new0(struct rt_ticket *, IN_FLIGHT);
	struct rt *rt = rt_new(1);
	struct rt_decision out;
	size_t n = 0;
	int64_t t = 1000000;
	char name[16], id[32];

	rt_set_entries(rt, size->nodes);
	rt_set_view(rt, *view, t);
	for (unsigned i = 0; i < DECISIONS; i++) {
		struct rt_request request = {
			.team = "t",
			.service = "s",
			.model = name,
			.arrival_us = t,
			.deadline_us = t + 60000000,
			.prompt_tokens = 300,
			.prefix_hashes = { i % 97 + 1, i % 1009 + 1000 },
		};
		struct rt_ticket **slot = &in_flight[i % IN_FLIGHT];
		double start;

		t += 1000;
		request.arrival_us = t;
		g_snprintf(name, sizeof(name), "m%u",
			   (unsigned)rand() % size->models);
		start = now_us();
		rt_submit(rt, &request, t, &out);
		times[n++] = now_us() - start;
		if (*slot) {
			rt_first_token(rt, *slot, t);
			rt_done(rt, *slot, t, 100, true);
		}
		*slot = out.ticket;
		if (i % 10 == 0) {
			Dsp__LoadReport report = DSP__LOAD_REPORT__INIT;

			g_snprintf(id, sizeof(id), "e%u",
				   (unsigned)rand() % size->endpoints);
			report.endpoint = id;
			report.incarnation = 1;
			report.sequence = i + 1;
			report.running = (uint32_t)rand() % 40;
			rt_report(rt, &report, t);
		}
	}
	print_times("routing decision", times, n);
	n = 0;
	for (unsigned i = 0; i < 200; i++) {
		double start;

		put_endpoint(st, size, i % size->endpoints, 2 + i);
		*view = next_view(st, *view);
		start = now_us();
		rt_set_view(rt, *view, t);
		times[n++] = now_us() - start;
	}
	print_times("view with one new endpoint", times, n);
	for (size_t i = 0; i < IN_FLIGHT; i++) {
		if (in_flight[i])
			rt_done(rt, in_flight[i], t, 0, false);
	}
	printf("  router heap %.2f MB\n", heap_mb() - heap);
	rt_free(rt);
	g_free(in_flight);
	g_free(times);
}

static size_t run_round(struct plc *plc, struct st *st, int64_t t,
			double *time_us)
{
	Dsp__Command **commands = NULL;
	double start = now_us();
	size_t n = plc_round(plc, st, t, &commands);

	*time_us = now_us() - start;
	for (size_t i = 0; i < n; i++)
		dsp__command__free_unpacked(commands[i], NULL);
	g_free(commands);
	return n;
}

static void bench_placement(const struct size *size, struct st *st)
{
	enum { ROUNDS = 100 };
	double times[ROUNDS], heap = heap_mb();
	struct plc *plc = plc_new(1);
	size_t n = 0, orders = 0;
	char name[16];

	for (int round = 0; round < ROUNDS; round++) {
		int64_t t = 1000000 + (int64_t)round * 1000000;

		for (unsigned m = 0; m < size->models; m++) {
			Dsp__Demand demand = DSP__DEMAND__INIT;
			bool burst = (m + (unsigned)round / 10) % 10 == 0;

			g_snprintf(name, sizeof(name), "m%u", m);
			demand.team = (char *)"t";
			demand.model = name;
			demand.adapter = (char *)"";
			demand.requests = burst ? 300 : 30;
			demand.late = burst ? 50 : 0;
			demand.service_ms = demand.requests * 3000;
			plc_add_demand(plc, &demand, t);
		}
		orders += run_round(plc, st, t, &times[n++]);
	}
	print_times("placement round, bursts", times, n);
	printf("  orders %zu, planner heap %.2f MB\n", orders,
	       heap_mb() - heap);
	plc_free(plc);
	/* A tenth of the endpoints goes down at once. */
	for (unsigned i = 0; i < size->endpoints / 10 + 1; i++) {
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointDown down = DSP__ENDPOINT_DOWN__INIT;
		char id[32];

		g_snprintf(id, sizeof(id), "e%u", i);
		down.id = id;
		down.incarnation = st_endpoint(st, id)->incarnation;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_DOWN;
		command.endpoint_down = &down;
		apply(st, &command);
	}
	plc = plc_new(1);
	n = 0;
	for (int round = 0; round < 20; round++)
		run_round(plc, st, 1000000 + (int64_t)round * 1000000,
			  &times[n++]);
	print_times("placement round, repair", times, n);
	plc_free(plc);
}

static void bench_entry_lists(const struct view *view)
{
	enum { LISTS = 2000 };
	static double times[LISTS];
	struct ent_item items[ENT_LIST_MAX];

	for (int i = 0; i < LISTS; i++) {
		double start = now_us();

		ent_list(view, "s1", (uint64_t)i, items);
		times[i] = now_us() - start;
	}
	print_times("entry list", times, LISTS);
}

/* One message of an entry with an ask, as the leader handles it: decoded,
 * decided and answered, with 16 customers. */
static void bench_asks(void)
{
	enum { ASKS = 20000, CUSTOMERS = 16 };
	static double times[ASKS];
	Dsp__Customer all[CUSTOMERS];
	Dsp__Customer *list[CUSTOMERS];
	Dsp__Customers customers = DSP__CUSTOMERS__INIT;
	char names[CUSTOMERS][16];
	struct quo *quo = quo_new();

	for (int i = 0; i < CUSTOMERS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "customer-%d", i);
		dsp__customer__init(&all[i]);
		all[i].name = names[i];
		all[i].rate = all[i].burst = 2700 << i / 2;
		list[i] = &all[i];
	}
	customers.all = list;
	customers.n_all = CUSTOMERS;
	quo_begin(quo, 1, &customers, 0);
	for (int i = 0; i < ASKS; i++) {
		Dsp__QuotaAsk ask = DSP__QUOTA_ASK__INIT;
		Dsp__QuotaAsk *asks[] = { &ask };
		Dsp__QuotaAsks message = DSP__QUOTA_ASKS__INIT;
		Dsp__QuotaGrants *grants;
		Dsp__QuotaAsks *read;
		uint8_t data[256];
		double start;
		size_t len;

		ask.id = (uint64_t)i + 1;
		ask.customer = names[rand() % CUSTOMERS];
		ask.units = 1540;
		ask.wait_ms = 250;
		message.asks = asks;
		message.n_asks = 1;
		len = dsp__quota_asks__pack(&message, data);
		start = now_us();
		read = dsp__quota_asks__unpack(NULL, len, data);
		grants = quo_answer(quo, "front-1", read, i * 2500LL);
		dsp__quota_grants__pack(grants, data);
		dsp__quota_grants__free_unpacked(grants, NULL);
		dsp__quota_asks__free_unpacked(read, NULL);
		times[i] = now_us() - start;
	}
	print_times("quota ask, leader", times, ASKS);
	quo_free(quo);
}

int main(void)
{
	srand(1);
	bench_asks();
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		const struct size *size = &sizes[i];
		struct st *st = st_new(&st_default_limits);
		struct view *view = view_new_empty();

		last_index = 0;
		printf("%u endpoints, %u models, %u entries, %u copies each\n",
		       size->endpoints, size->models, size->nodes,
		       size->copies);
		put_document(st, size);
		for (unsigned e = 0; e < size->endpoints; e++)
			put_endpoint(st, size, e, 1);
		for (unsigned n = 0; n < size->nodes; n++)
			put_node(st, n);
		view = next_view(st, view);
		bench_routing(size, st, &view);
		bench_placement(size, st);
		bench_entry_lists(view);
		view_unref(view);
		st_free(st);
	}
	return 0;
}
