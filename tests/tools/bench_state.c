#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/st.h"
#include "core/view.h"

/*
 * Measures apply time and memory of the replicated state for growing numbers of
 * claims and endpoints, one line per size. Times are CPU time, per command
 * unless stated otherwise.
 */

#define ACCELERATORS 8
#define MEMORY_MB 80000
#define MODELS 240
/* Number of claims without an outcome at any one time. */
#define OPEN_CLAIMS 1000

static uint64_t next_index;
static uint64_t wall_ms = 1700000000000;

static double cpu_time_s(void)
{
	struct timespec ts;

	/* CPU time is less affected by other load on the machine. */
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

/* Returns the index of the applied command, or 0 when it was rejected. */
static uint64_t apply(struct st *st, Dsp__Command *command)
{
	Dsp__CommandResult *result;
	uint64_t index = ++next_index;

	command->wall_ms = wall_ms;
	result = st_apply(st, index, command);
	if (result->code > DSP__RESULT_CODE__RESULT_SAME) {
		fprintf(stderr, "command rejected: %d %s\n", result->code,
			result->message);
		index = 0;
	}
	dsp__command_result__free_unpacked(result, NULL);
	return index;
}

static void claim_create(struct st *st, size_t i)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__ClaimCreate create = DSP__CLAIM_CREATE__INIT;
	Dsp__Claim claim = DSP__CLAIM__INIT;
	uint8_t digest[16] = { 1 };
	char id[48], attempt[48];

	/* As long as a UUID, the usual idempotency key. */
	snprintf(id, sizeof(id), "%036zu", i);
	snprintf(attempt, sizeof(attempt), "entry-%02zu.5f3a9c1e.%zu", i % 7,
		 i);
	claim.team = "verband";
	claim.request_id = id;
	claim.digest.data = digest;
	claim.digest.len = sizeof(digest);
	claim.attempt = attempt;
	claim.node = "entry-01";
	claim.boot = 7;
	claim.deadline_ms = wall_ms + 30000;
	create.claim = &claim;
	command.body_case = DSP__COMMAND__BODY_CLAIM_CREATE;
	command.claim_create = &create;
	apply(st, &command);
}

static void claim_finish(struct st *st, size_t i)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__ClaimFinish finish = DSP__CLAIM_FINISH__INIT;
	char id[48], attempt[48];

	snprintf(id, sizeof(id), "%036zu", i);
	snprintf(attempt, sizeof(attempt), "entry-%02zu.5f3a9c1e.%zu", i % 7,
		 i);
	finish.team = "verband";
	finish.request_id = id;
	finish.attempt = attempt;
	finish.state = DSP__CLAIM_STATE__CLAIM_ANSWERED;
	finish.status = 201;
	command.body_case = DSP__COMMAND__BODY_CLAIM_FINISH;
	command.claim_finish = &finish;
	apply(st, &command);
}

static void apply_expire(struct st *st)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__Expire body = DSP__EXPIRE__INIT;

	command.body_case = DSP__COMMAND__BODY_EXPIRE;
	command.expire = &body;
	apply(st, &command);
}

static void bench_claims(size_t n)
{
	struct st *st = st_new(NULL);
	struct st *copy;
	double before = heap_bytes(), claim_s, expire_s, t, bytes;
	double snapshot_s, restore_s;
	uint8_t *data;
	size_t len;

	t = cpu_time_s();
	for (size_t i = 0; i < n + OPEN_CLAIMS; i++) {
		if (i < n)
			claim_create(st, i);
		if (i >= OPEN_CLAIMS)
			claim_finish(st, i - OPEN_CLAIMS);
	}
	claim_s = cpu_time_s() - t;
	bytes = heap_bytes() - before;
	t = cpu_time_s();
	for (size_t i = 0; i < 1000; i++)
		apply_expire(st);
	expire_s = cpu_time_s() - t;
	t = cpu_time_s();
	data = st_snapshot(st, &len);
	snapshot_s = cpu_time_s() - t;
	copy = st_new(NULL);
	t = cpu_time_s();
	if (!st_restore(copy, data, len))
		fprintf(stderr, "snapshot is not accepted\n");
	restore_s = cpu_time_s() - t;
	printf("claims %7zu: claim and outcome %.2f us, expire %.2f us, "
	       "%.0f bytes per claim, snapshot %.0f ms %.1f MB, "
	       "restore %.0f ms\n",
	       n, claim_s / (double)n * 1e6, expire_s / 1000 * 1e6,
	       bytes / (double)n, snapshot_s * 1e3, (double)len / 1e6,
	       restore_s * 1e3);
	g_free(data);
	st_free(copy);
	st_free(st);
	malloc_trim(0);
}

static void put_document(struct st *st)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	GString *text = g_string_new(
		"team = \"verband\"\nnumber = 1\ndefault_class = \"normal\"\n"
		"[store]\nloads_per_s = 1000\nparallel_loads = 100000\n"
		"adapters_in_transit = 100000\n[[service]]\n"
		"name = \"kellerrat\"\nkind = \"engine\"\n[[class]]\n"
		"name = \"normal\"\nfirst_token_ms = 500\n");

	for (int i = 0; i < MODELS; i++)
		g_string_append_printf(text,
				       "[[model]]\nname = \"m%d\"\n"
				       "service = \"kellerrat\"\n"
				       "memory_mb = 20000\n",
				       i);
	put.team = "verband";
	put.number = 1;
	put.text = text->str;
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	apply(st, &command);
	g_string_free(text, TRUE);
}

static void put_endpoint(struct st *st, size_t i)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
	Dsp__Endpoint endpoint = DSP__ENDPOINT__INIT;
	Dsp__Features features = DSP__FEATURES__INIT;
	char id[32];

	snprintf(id, sizeof(id), "runner-%03zu", i);
	features.fencing = features.checks_incarnation = true;
	endpoint.id = id;
	endpoint.incarnation = 1;
	endpoint.address = "http://127.0.0.1:9000";
	endpoint.site = "muenchen";
	endpoint.team = "verband";
	endpoint.service = "kellerrat";
	endpoint.features = &features;
	endpoint.accelerators = ACCELERATORS;
	endpoint.accelerator_memory_mb = MEMORY_MB;
	put.endpoint = &endpoint;
	command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
	command.endpoint_put = &put;
	apply(st, &command);
}

static uint64_t create_load_order(struct st *st, size_t endpoint,
				  uint32_t accelerator)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__OrderCreate create = DSP__ORDER_CREATE__INIT;
	Dsp__Order order = DSP__ORDER__INIT;
	char id[32], model[32];

	snprintf(id, sizeof(id), "runner-%03zu", endpoint);
	snprintf(model, sizeof(model), "m%zu",
		 (endpoint * ACCELERATORS + accelerator) % MODELS);
	order.endpoint = id;
	order.incarnation = 1;
	order.model = model;
	order.version = "1";
	order.first_accelerator = accelerator;
	order.accelerators = 1;
	order.memory_mb = 20000;
	create.order = &order;
	command.body_case = DSP__COMMAND__BODY_ORDER_CREATE;
	command.order_create = &create;
	return apply(st, &command);
}

static void finish_order(struct st *st, uint64_t order)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__OrderFinish body = DSP__ORDER_FINISH__INIT;

	body.order = order;
	body.state = DSP__ORDER_STATE__ORDER_DONE;
	command.body_case = DSP__COMMAND__BODY_ORDER_FINISH;
	command.order_finish = &body;
	apply(st, &command);
}

static void bench_views(const struct st *st, size_t n, uint64_t from)
{
	struct view *view = view_new_empty(), *full;
	Dsp__ViewUpdate *update;
	double t = cpu_time_s(), full_s, delta_s, apply_s;

	update = st_view_since(st, 0);
	full_s = cpu_time_s() - t;
	full = view_apply(view, update);
	dsp__view_update__free_unpacked(update, NULL);
	t = cpu_time_s();
	update = st_view_since(st, from);
	delta_s = cpu_time_s() - t;
	update->from_index = view_index(full);
	view_unref(view);
	t = cpu_time_s();
	view = view_apply(full, update);
	apply_s = cpu_time_s() - t;
	printf("endpoints %4zu: whole view %.2f ms, delta of %zu records "
	       "%.1f us, its installation %.1f us\n",
	       n, full_s * 1e3, update->n_records, delta_s * 1e6,
	       apply_s * 1e6);
	dsp__view_update__free_unpacked(update, NULL);
	view_unref(view);
	view_unref(full);
}

static void bench_endpoints(size_t n)
{
	size_t loads = n * ACCELERATORS, k = 0;
	uint64_t *orders = g_new(uint64_t, loads);
	double before, t, put_s, create_s, finish_s, query_s;
	struct st *st = st_new(NULL);
	uint64_t from, free_mb = 0;
	char id[32];

	next_index = 0;
	before = heap_bytes();
	put_document(st);
	t = cpu_time_s();
	for (size_t i = 0; i < n; i++)
		put_endpoint(st, i);
	put_s = cpu_time_s() - t;
	t = cpu_time_s();
	for (uint32_t a = 0; a < ACCELERATORS; a++)
		for (size_t i = 0; i < n; i++)
			orders[k++] = create_load_order(st, i, a);
	create_s = cpu_time_s() - t;
	from = next_index;
	t = cpu_time_s();
	for (size_t i = 0; i < loads; i++) {
		finish_order(st, orders[i]);
		if (i + 10 == loads)
			from = next_index;
	}
	finish_s = cpu_time_s() - t;
	t = cpu_time_s();
	for (size_t i = 0; i < 100 * n; i++) {
		snprintf(id, sizeof(id), "runner-%03zu", i % n);
		free_mb += st_reserved_mb(st, id, 0, "m0", "1", "");
		free_mb += st_free_memory_mb(st, id, 0);
	}
	query_s = cpu_time_s() - t;
	printf("endpoints %4zu: put %.2f us, load %.2f us, done %.2f us, "
	       "free and reserved memory %.3f us, %.0f bytes per endpoint "
	       "(%llu)\n",
	       n, put_s / (double)n * 1e6, create_s / (double)loads * 1e6,
	       finish_s / (double)loads * 1e6,
	       query_s / (double)(100 * n) * 1e6,
	       (heap_bytes() - before) / (double)n,
	       (unsigned long long)(free_mb % 10));
	bench_views(st, n, from);
	g_free(orders);
	st_free(st);
}

int main(void)
{
	bench_claims(10000);
	bench_claims(100000);
	bench_claims(1000000);
	bench_endpoints(100);
	bench_endpoints(300);
	bench_endpoints(600);
	return 0;
}
