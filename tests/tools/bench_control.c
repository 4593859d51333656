#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/hist.h"
#include "lib_cluster.h"
#include "lib_http.h"
#include "lib_proc.h"

/*
 * Measures the control layer with real processes on loopback: committed
 * non-idempotent calls per second compared with one bare sync, the time until a
 * document is in force on every instance, and the cost of control per instance
 * at several sizes.
 */

#define TIMEOUT_MS 60000
#define CALLERS 64
#define BOOKINGS_PER_CALLER 100
#define SYNCS 500
#define RECORD_BYTES 300
#define DOCUMENTS 20
#define COST_WINDOW_MS 20000

/* The default settings, so that the measured costs are realistic. */
static const char default_timing[] = "entry_validity_s = 30\n";

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static char *document(int number)
{
	return g_strdup_printf(
		"team = \"demo\"\nnumber = %d\ndefault_class = \"standard\"\n"
		"[store]\nloads_per_s = 50\nparallel_loads = 4\n"
		"adapters_in_transit = 8\n"
		"[[service]]\nname = \"engine\"\nkind = \"engine\"\n"
		"[[service]]\nname = \"bookings\"\nkind = \"plain\"\n"
		"[[model]]\nname = \"small\"\nservice = \"engine\"\n"
		"memory_mb = 8000\n"
		"[[class]]\nname = \"standard\"\nfirst_token_ms = 1000\n"
		"deadline_ms = 20000\n"
		"[[non_idempotent]]\nservice = \"bookings\"\n",
		number);
}

static bool put_document(struct cluster *cluster, size_t instance, int number)
{
	char *text = document(number);
	struct http_call call = { .method = "PUT",
				  .address = cluster_http(cluster, instance),
				  .path = "/v1/documents/demo",
				  .body = text };
	struct http_reply reply = http_call(&call);
	bool ok = reply.status == 200;

	http_reply_clear(&reply);
	g_free(text);
	return ok;
}

/* ---- Claims ---- */

struct caller {
	struct cluster *cluster;
	struct hist *latency; /* shared */
	int number;
	int failed;
};

static void *caller_main(void *data)
{
	struct caller *caller = data;
	char key[64];
	const char *const headers[] = { "X-Team: demo", key, NULL };

	for (int i = 0; i < BOOKINGS_PER_CALLER; i++) {
		size_t instance = (size_t)caller->number % 3;
		struct http_call call = {
			.method = "POST",
			.address = cluster_http(caller->cluster, instance),
			.path = "/v1/services/bookings/slots",
			.headers = headers,
			.body = "{}",
		};
		struct http_reply reply;
		int64_t start = now_us();

		snprintf(key, sizeof(key), "Idempotency-Key: bench-%d-%d",
			 caller->number, i);
		reply = http_call(&call);
		hist_add(caller->latency, now_us() - start);
		if (reply.status != 201)
			caller->failed++;
		http_reply_clear(&reply);
	}
	return NULL;
}

static void measure_bare_sync(const char *folder, struct hist *latency)
{
	char *path = g_build_filename(folder, "sync", NULL);
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	char record[RECORD_BYTES] = { 0 };

	for (int i = 0; i < SYNCS; i++) {
		int64_t start = now_us();

		if (write(fd, record, sizeof(record)) < 0 || fdatasync(fd))
			abort();
		hist_add(latency, now_us() - start);
	}
	close(fd);
	g_free(path);
}

static bool service_is_reachable(void *data)
{
	static const char *const headers[] = { "X-Team: demo", NULL };
	struct cluster *cluster = data;
	bool ok = true;

	for (size_t i = 0; i < 3 && ok; i++) {
		struct http_call call = { .address = cluster_http(cluster, i),
					  .path = "/v1/services/bookings/x",
					  .headers = headers };
		struct http_reply reply = http_call(&call);

		ok = reply.status == 200;
		http_reply_clear(&reply);
	}
	return ok;
}

static void bench_claims(struct cluster *cluster)
{
	struct caller callers[CALLERS];
	pthread_t threads[CALLERS];
	struct hist *latency = hist_new();
	struct hist *sync = hist_new();
	int64_t start;
	double seconds;
	int failed = 0;

	measure_bare_sync(cluster_folder(cluster), sync);
	start = now_us();
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){ .cluster = cluster,
					      .latency = latency,
					      .number = i };
		pthread_create(&threads[i], NULL, caller_main, &callers[i]);
	}
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		failed += callers[i].failed;
	}
	seconds = (double)(now_us() - start) / 1e6;
	printf("claims: %d callers, %d calls, %d failed: %.0f calls/s, each "
	       "with a committed claim (goal 1000/s)\n",
	       CALLERS, CALLERS * BOOKINGS_PER_CALLER, failed,
	       CALLERS * BOOKINGS_PER_CALLER / seconds);
	printf("  call:      p50 %6" PRId64 " us  p99 %6" PRId64 " us\n",
	       hist_quantile(latency, 0.5), hist_quantile(latency, 0.99));
	printf("  bare sync: p50 %6" PRId64 " us  p99 %6" PRId64
	       " us  (baseline)\n",
	       hist_quantile(sync, 0.5), hist_quantile(sync, 0.99));
	hist_free(latency);
	hist_free(sync);
}

/* ---- Documents ---- */

static void bench_documents(struct cluster *cluster, size_t instances)
{
	struct hist *in_force = hist_new();

	for (int number = 2; number < 2 + DOCUMENTS; number++) {
		int64_t start = now_us();

		if (!put_document(cluster, 0, number))
			abort();
		for (size_t i = 0; i < instances; i++)
			if (!cluster_wait_document(cluster, i, "demo",
						   (uint64_t)number,
						   TIMEOUT_MS))
				abort();
		hist_add(in_force, now_us() - start);
	}
	printf("documents: in force on all %zu instances after p50 %" PRId64
	       " ms, max %" PRId64 " ms (goal 1000 ms; polled each 10 ms)\n",
	       instances, hist_quantile(in_force, 0.5) / 1000,
	       hist_quantile(in_force, 1) / 1000);
	hist_free(in_force);
}

/* ---- Cost of control ---- */

struct cost {
	int64_t cpu_us;
	int64_t rss_kb;
	int64_t bytes; /* sent and received between instances */
};

static int64_t metric(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : 0;
}

static struct cost read_cost(struct cluster *cluster, size_t i)
{
	struct http_call call = { .address = cluster_http(cluster, i),
				  .path = "/metrics" };
	struct http_reply reply = http_call(&call);
	char *path = g_strdup_printf("/proc/%d/stat", cluster_pid(cluster, i));
	char *stat = NULL;
	struct cost cost = { 0 };
	unsigned long user;
	unsigned long system;
	long pages;

	cost.bytes =
		metric(reply.body->str, "\ndandelionspar_net_sent_bytes{} ") +
		metric(reply.body->str,
		       "\ndandelionspar_net_received_bytes{} ");
	if (g_file_get_contents(path, &stat, NULL, NULL) &&
	    sscanf(strrchr(stat, ')'),
		   ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu "
		   "%*d %*d %*d %*d %*d %*d %*u %*u %ld",
		   &user, &system, &pages) == 3) {
		cost.cpu_us = (int64_t)(user + system) * 1000000 /
			      sysconf(_SC_CLK_TCK);
		cost.rss_kb = pages * sysconf(_SC_PAGESIZE) / 1024;
	}
	g_free(stat);
	g_free(path);
	http_reply_clear(&reply);
	return cost;
}

static const char *role_of(struct cluster *cluster, size_t i, size_t voters)
{
	json_t *status = cluster_status(cluster, i);
	const char *role = json_string_value(json_object_get(status, "role"));
	bool leads = !g_strcmp0(role, "leader");

	json_decref(status);
	return leads ? "leader" : i < voters ? "voter" : "entry";
}

static void measure_costs(struct cluster *cluster, size_t instances,
			  size_t voters, size_t endpoints)
{
	struct cost before[CLUSTER_INSTANCES_MAX];
	struct cost after[CLUSTER_INSTANCES_MAX];
	const char *role[CLUSTER_INSTANCES_MAX];
	static const char *const roles[] = { "leader", "voter", "entry" };
	double seconds = COST_WINDOW_MS / 1000.0;

	for (size_t i = 0; i < instances; i++)
		role[i] = role_of(cluster, i, voters);
	for (size_t i = 0; i < instances; i++)
		before[i] = read_cost(cluster, i);
	usleep(COST_WINDOW_MS * 1000);
	for (size_t i = 0; i < instances; i++)
		after[i] = read_cost(cluster, i);
	for (size_t r = 0; r < G_N_ELEMENTS(roles); r++) {
		struct cost sum = { 0 };
		int64_t n = 0;

		for (size_t i = 0; i < instances; i++) {
			if (strcmp(role[i], roles[r]))
				continue;
			sum.cpu_us += after[i].cpu_us - before[i].cpu_us;
			sum.bytes += after[i].bytes - before[i].bytes;
			sum.rss_kb += after[i].rss_kb;
			n++;
		}
		if (!n)
			continue;
		printf("  %3zu instances %3zu endpoints  %-6s  %5.2f%% of a "
		       "core  %6.1f MB  %7.2f KB/s\n",
		       instances, endpoints, roles[r],
		       (double)sum.cpu_us / (double)n / seconds / 1e4,
		       (double)sum.rss_kb / (double)n / 1024,
		       (double)sum.bytes / (double)n / seconds / 1000);
	}
	fflush(stdout);
}

static struct cluster *start_cluster(size_t instances, size_t endpoints)
{
	static const char *const plain[] = {
		"--plain",	 "--service", "bookings",  "--service-us", "0",
		"--announce-ms", "1000",      "--threads", "128",	   NULL
	};
	static const char *const engine[] = { "--announce-ms", "1000",
					      "--threads", "8", NULL };
	/* CivetWeb uses a thread per concurrent request; many instances on
	 * one machine would exceed the thread limit of the machine. */
	struct cluster_options options = {
		.instances = instances,
		.voters = 3,
		.timing = default_timing,
		.limits = instances > 9 ? "requests_max = 64\n" : NULL,
	};
	struct cluster *cluster = cluster_new(&options);

	cluster_start_all(cluster);
	if (!cluster_wait_all_serving(cluster, TIMEOUT_MS))
		exit(1);
	for (size_t i = 0; i < endpoints; i++) {
		char id[32];

		snprintf(id, sizeof(id), "endpoint%zu", i);
		cluster_start_endpoint(cluster, id, i ? engine : plain);
	}
	if (!put_document(cluster, 0, 1))
		exit(1);
	return cluster;
}

static void bench_costs(size_t instances, size_t endpoints)
{
	struct cluster *cluster = start_cluster(instances, endpoints);

	/* Lets start-up and the first placement finish. */
	usleep(5000000);
	measure_costs(cluster, instances, 3, endpoints);
	cluster_free(cluster, false);
}

/* Prints the table of measurements. */
int main(void)
{
	struct cluster *cluster = start_cluster(3, 2);

	if (!proc_wait_for(service_is_reachable, cluster, TIMEOUT_MS))
		return 1;
	bench_claims(cluster);
	bench_documents(cluster, 3);
	cluster_free(cluster, false);
	printf("cost of control, idle (limits 1.5%% of a core, 256 MB, 25 "
	       "KB/s):\n");
	bench_costs(3, 4);
	bench_costs(9, 4);
	bench_costs(27, 4);
	bench_costs(9, 16);
	bench_costs(9, 48);
	return 0;
}
