#include <dirent.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/hist.h"
#include "store/sto.h"

/*
 * Compares append and sync of the store with a bare write and fdatasync of as
 * many entry bytes in the same folder. The two alternate batch by batch, so
 * that other load on the disk affects both alike.
 *
 *	bench_store [folder [seconds]]
 */
#define ENTRY_BYTES 300
#define BATCH_MAX 64

struct bench {
	struct clk *clock;
	struct sto *store;
	int file;
	uint64_t last_index;
	int64_t file_bytes;
};

static int64_t append_to_store(struct bench *b, size_t batch)
{
	static uint8_t data[ENTRY_BYTES];
	Dsp__LogEntry entries[BATCH_MAX];
	Dsp__LogEntry *pointers[BATCH_MAX];
	int64_t start = clk_now_us(b->clock);
	GError *err = NULL;

	for (size_t i = 0; i < batch; i++) {
		dsp__log_entry__init(&entries[i]);
		entries[i].index = ++b->last_index;
		entries[i].term = 1;
		entries[i].kind = DSP__ENTRY_KIND__ENTRY_COMMAND;
		entries[i].data.data = data;
		entries[i].data.len = sizeof(data);
		pointers[i] = &entries[i];
	}
	if (!sto_append(b->store, pointers, batch, &err) ||
	    !sto_sync(b->store, &err)) {
		fprintf(stderr, "%s\n", err->message);
		exit(1);
	}
	return clk_now_us(b->clock) - start;
}

static int64_t write_bare(struct bench *b, size_t batch)
{
	static uint8_t data[ENTRY_BYTES * BATCH_MAX];
	int64_t start = clk_now_us(b->clock);
	size_t len = batch * ENTRY_BYTES;

	if (pwrite(b->file, data, len, b->file_bytes) != (ssize_t)len ||
	    fdatasync(b->file)) {
		perror("bare write");
		exit(1);
	}
	b->file_bytes += (int64_t)len;
	return clk_now_us(b->clock) - start;
}

static void print_row(const char *name, size_t batch, const struct hist *hist)
{
	uint64_t n = hist_count(hist);
	double mean = (double)hist_sum(hist) / (double)n;

	printf("%-6s batch %2zu: %6llu syncs, median %6lld us, 99%% %6lld us, "
	       "%8.0f entries/s\n",
	       name, batch, (unsigned long long)n,
	       (long long)hist_quantile(hist, 0.5),
	       (long long)hist_quantile(hist, 0.99),
	       (double)batch * 1e6 / mean);
}

static void remove_folder(const char *folder)
{
	DIR *dir = opendir(folder);
	const struct dirent *item;

	if (!dir)
		return;
	while ((item = readdir(dir)))
		if (item->d_name[0] != '.')
			unlinkat(dirfd(dir), item->d_name, 0);
	closedir(dir);
	rmdir(folder);
}

/* Runs each batch size for the given time and prints the results. */
int main(int argc, char **argv)
{
	static const size_t batch_sizes[] = { 1, 8, BATCH_MAX };
	const char *parent = argc > 1 ? argv[1] : "/tmp";
	double seconds = argc > 2 ? atof(argv[2]) : 3;
	char *folder = g_strdup_printf("%s/bench-store-%d", parent, getpid());
	char *path = g_strdup_printf("%s.bare", folder);
	struct bench b = { .clock = clk_new_real() };
	GError *err = NULL;
	int64_t start;

	b.store = sto_open(folder, &err);
	b.file = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (!b.store || b.file < 0) {
		fprintf(stderr, "cannot open %s: %s\n", folder,
			err ? err->message : "bare file");
		return 1;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(batch_sizes); i++) {
		struct hist *store = hist_new();
		struct hist *bare = hist_new();
		int64_t end =
			clk_now_us(b.clock) + (int64_t)(seconds * 1000000.0);

		while (clk_now_us(b.clock) < end) {
			hist_add(store, append_to_store(&b, batch_sizes[i]));
			hist_add(bare, write_bare(&b, batch_sizes[i]));
		}
		print_row("store", batch_sizes[i], store);
		print_row("bare", batch_sizes[i], bare);
		hist_free(store);
		hist_free(bare);
	}
	start = clk_now_us(b.clock);
	sto_close(b.store);
	b.store = sto_open(folder, &err);
	printf("reopen: %llu entries in %lld us\n",
	       (unsigned long long)b.last_index,
	       (long long)(clk_now_us(b.clock) - start));
	sto_close(b.store);
	close(b.file);
	unlink(path);
	remove_folder(folder);
	g_free(path);
	g_free(folder);
	clk_free(b.clock);
	return 0;
}
