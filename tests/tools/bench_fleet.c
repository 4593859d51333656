#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/zip.h"
#include "lib_proc.h"
#include "net/net.h"

/*
 * Measures the processor time of one control instance, a real process, that
 * leads and takes the reports of a large fleet from this program: each report
 * interval one report of each entry with the announcements of its endpoints.
 * Usage: bench_fleet [ENTRIES [ENDPOINTS [SECONDS]]]
 */

#define REPORT_US 400000
#define ANNOUNCE_US 1200000
#define COPIES 16
#define ENGINE_SHARE 5	  /* one endpoint in so many is an engine */
#define CHANGED_PERCENT 2 /* announcements with other copies */
#define OBSERVED 5	  /* loads seen in answers, for each report */
#define SINK "tcp://127.0.0.9"
#define CONTROL "tcp://127.0.0.8"

struct fleet {
	struct net *net;
	char control[64];
	char sink[64];
	size_t n_entries;
	size_t n_endpoints;
	uint64_t view_index;
	uint64_t table_index;
	uint64_t sequence;
	uint64_t updates;
	uint64_t records;
	uint64_t loads;
	unsigned *generation; /* of the copies, by endpoint */
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static Dsp__LoadReport *load_new(struct fleet *f, size_t endpoint)
{
	Dsp__LoadReport *load = g_new(Dsp__LoadReport, 1);

	dsp__load_report__init(load);
	load->endpoint = g_strdup_printf("server%04zu", endpoint);
	load->incarnation = 1000 + endpoint;
	load->sequence = ++f->sequence;
	load->running = (uint32_t)(rand() % 8);
	load->waiting = (uint32_t)(rand() % 3);
	return load;
}

static Dsp__Announcement *announcement_new(struct fleet *f, size_t i)
{
	Dsp__Announcement *a = g_new(Dsp__Announcement, 1);
	Dsp__Endpoint *e = g_new(Dsp__Endpoint, 1);
	bool engine = i % ENGINE_SHARE == 0;

	dsp__announcement__init(a);
	dsp__endpoint__init(e);
	e->id = g_strdup_printf("server%04zu", i);
	e->incarnation = 1000 + i;
	e->address =
		g_strdup_printf("http://10.1.%zu.%zu:8000", i / 250, i % 250);
	e->site = g_strdup_printf("site%zu", i % 4);
	e->team = g_strdup("default");
	e->service = g_strdup(engine ? "chat" : "plain");
	e->kind = engine ? DSP__ENDPOINT_KIND__ENDPOINT_ENGINE
			 : DSP__ENDPOINT_KIND__ENDPOINT_SERVICE;
	e->max_batch = 32;
	e->features = g_new(Dsp__Features, 1);
	dsp__features__init(e->features);
	e->features->sequenced = true;
	if (engine && rand() % 100 < CHANGED_PERCENT)
		f->generation[i]++;
	e->n_copies = engine ? COPIES : 0;
	e->copies = g_new(Dsp__Copy *, COPIES);
	for (size_t k = 0; k < e->n_copies; k++) {
		Dsp__Copy *c = g_new(Dsp__Copy, 1);

		dsp__copy__init(c);
		c->model = g_strdup("model-large-7b");
		c->adapter = g_strdup_printf("adapter-%zu-%u", k,
					     k ? 0 : f->generation[i]);
		c->version = g_strdup("1");
		c->ready = true;
		e->copies[k] = c;
	}
	a->endpoint = e;
	a->load = load_new(f, i);
	return a;
}

/* Sends the report of an entry. Its endpoints are those whose number has its
 * own as remainder. */
static void send_report(struct fleet *f, size_t entry, bool announce)
{
	Dsp__Envelope *out = g_new(Dsp__Envelope, 1);
	Dsp__Report *report = g_new(Dsp__Report, 1);
	Dsp__NodeStatus *status = g_new(Dsp__NodeStatus, 1);
	Dsp__Node *node = g_new(Dsp__Node, 1);
	uint8_t *data;
	size_t len;

	dsp__envelope__init(out);
	dsp__report__init(report);
	dsp__node_status__init(status);
	dsp__node__init(node);
	out->from = g_strdup_printf("front%03zu", entry);
	out->boot = 7000 + entry;
	out->address = g_strdup(f->sink);
	out->body_case = DSP__ENVELOPE__BODY_REPORT;
	out->report = report;
	node->id = g_strdup(out->from);
	node->boot = out->boot;
	node->site = g_strdup_printf("site%zu", entry % 4);
	node->internal_address = g_strdup(f->sink);
	node->http_address = g_strdup_printf("10.0.0.%zu:80", entry % 250);
	node->weight = 1;
	node->log_format = 1;
	status->node = node;
	status->view_index = f->view_index;
	status->reads_packed = true;
	report->nodes = g_new(Dsp__NodeStatus *, 1);
	report->nodes[report->n_nodes++] = status;
	report->announcements =
		g_new(Dsp__Announcement *, f->n_endpoints / f->n_entries + 2);
	for (size_t i = entry; announce && i < f->n_endpoints;
	     i += f->n_entries)
		report->announcements[report->n_announcements++] =
			announcement_new(f, i);
	report->observed_loads = g_new(Dsp__LoadReport *, OBSERVED);
	for (int i = 0; i < OBSERVED; i++)
		report->observed_loads[report->n_observed_loads++] =
			load_new(f, (size_t)rand() % f->n_endpoints);
	len = dsp__envelope__get_packed_size(out);
	data = g_malloc(len);
	dsp__envelope__pack(out, data);
	net_send_packed(f->net, f->control, data, len);
	g_free(data);
	dsp__envelope__free_unpacked(out, NULL);
}

static void note_update(struct fleet *f, const Dsp__ViewUpdate *update)
{
	f->updates++;
	f->records += update->n_records;
	f->loads += update->n_loads + update->n_observed_loads;
	f->view_index = MAX(f->view_index, update->to_index);
}

static void note_packed(struct fleet *f, const Dsp__PackedUpdate *packed)
{
	uint8_t *data = zip_inflate(packed->deflated.data, packed->deflated.len,
				    packed->bytes);
	Dsp__ViewUpdate *update =
		data ? dsp__view_update__unpack(NULL, packed->bytes, data)
		     : NULL;

	if (!update)
		abort();
	note_update(f, update);
	dsp__view_update__free_unpacked(update, NULL);
	g_free(data);
}

static void receive(struct fleet *f)
{
	Dsp__Envelope *e;

	while ((e = net_receive(f->net))) {
		if (e->body_case == DSP__ENVELOPE__BODY_VIEW_UPDATE)
			note_update(f, e->view_update);
		else if (e->body_case == DSP__ENVELOPE__BODY_PACKED_UPDATE)
			note_packed(f, e->packed_update);
		dsp__envelope__free_unpacked(e, NULL);
	}
}

/* Returns the processor time that a process has used, in milliseconds. */
static long cpu_ms(pid_t pid)
{
	char path[64];
	char text[1024] = "";
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fgets(text, sizeof(text), file) && strrchr(text, ')'))
		sscanf(strrchr(text, ')') + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	fclose(file);
	return (long)((user + system) * 1000 /
		      (unsigned long)sysconf(_SC_CLK_TCK));
}

static long resident_kb(pid_t pid)
{
	char path[64];
	long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static pid_t start_control(const char *folder, int port)
{
	char *path = g_strdup_printf("%s/control.toml", folder);
	char *log = g_strdup_printf("%s/control.log", folder);
	const char *argv[] = { "build/dandelionspar", "run", "--settings", path,
			       NULL };
	FILE *out = fopen(path, "w");
	pid_t pid;

	if (!out)
		abort();
	fprintf(out,
		"id = \"core0\"\nsite = \"site0\"\nregion = \"r\"\n"
		"control = true\ndata_folder = \"%s/data\"\n"
		"internal_listen = \"" CONTROL ":%d\"\n"
		"http_listen = \"127.0.0.8:1\"\nvoters = 1\n"
		"bootstrap = true\nseeds = [\"127.0.0.8:%d\"]\n"
		"[timing]\nelection_timeout_ms = 500\nheartbeat_ms = 120\n"
		"report_interval_ms = 400\nendpoint_lease_ms = 5000\n"
		"node_lease_ms = 3000\nisolated_after_ms = 2000\n"
		"[edge]\nrepeat_extra = 50\nentry_validity_s = 2\n"
		"drain_limit_ms = 4000\ncontrol = \"127.0.0.8:%d\"\n",
		folder, port, port + 1, port + 1);
	fclose(out);
	pid = proc_start(argv, log);
	g_free(path);
	g_free(log);
	return pid;
}

int main(int argc, char **argv)
{
	struct fleet f = { .n_entries = argc > 1 ? (size_t)atoi(argv[1]) : 264,
			   .n_endpoints =
				   argc > 2 ? (size_t)atoi(argv[2]) : 3000 };
	int seconds = argc > 3 ? atoi(argv[3]) : 15;
	char *folder = proc_temp_folder();
	int port = proc_free_port();
	pid_t pid = start_control(folder, port);
	int64_t start_us;
	long before = 0;
	uint64_t bytes = 0;
	size_t sent = 0;
	int wake_fd = eventfd(0, EFD_CLOEXEC);

	snprintf(f.control, sizeof(f.control), CONTROL ":%d", port);
	snprintf(f.sink, sizeof(f.sink), SINK ":%d", port);
	f.generation = g_new0(unsigned, f.n_endpoints);
	f.net = net_new(f.sink, f.sink, "driver", 1, NULL);
	if (!f.net)
		return 1;
	printf("control process %d, folder %s\n", (int)pid, folder);
	fflush(stdout);
	sleep(1);
	start_us = now_us();
	for (int s = 0; s < seconds;) {
		int64_t at = now_us() - start_us;
		size_t due =
			(size_t)((double)at * (double)f.n_entries / REPORT_US);

		net_tick(f.net, now_us());
		for (; sent < due; sent++)
			send_report(&f, sent % f.n_entries,
				    sent / f.n_entries %
						    (ANNOUNCE_US / REPORT_US) ==
					    0);
		net_wait(f.net, wake_fd, 1000);
		receive(&f);
		if (at < (int64_t)(s + 1) * 1000000)
			continue;
		s++;
		printf("%3d s: %4ld ms of processor time, %6ld KB, %7.0f KB/s "
		       "sent, %5" PRIu64 " updates, %6" PRIu64
		       " records, %6" PRIu64 " loads\n",
		       s, cpu_ms(pid) - before, resident_kb(pid),
		       (double)(net_bytes_received(f.net) - bytes) / 1000,
		       f.updates, f.records, f.loads);
		fflush(stdout);
		before = cpu_ms(pid);
		bytes = net_bytes_received(f.net);
		f.updates = f.records = f.loads = 0;
	}
	proc_kill(pid);
	net_free(f.net);
	proc_remove_folder(folder);
	return 0;
}
