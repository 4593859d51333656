#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/rtab.h"
#include "core/st.h"
#include "core/view.h"
#include "platform/wire.h"

/*
 * Measures what the first table and a change of one route's timeout cost each
 * instance that handles them, for growing route tables: CPU time, bytes, and
 * the heap. The steps are those between the operator's call and the first
 * request that uses the new table.
 */

/* Bits per second of the slowest link between instances that the figures are
 * converted to. */
#define LINK_BITS_PER_S 7.5e6
#define RUNS 5

struct step {
	double s; /* of the fastest run */
	size_t bytes;
};

enum {
	PARSE,
	ENCODE_COMMAND,
	APPLY,
	PUBLISH,
	RELAY,
	ENCODE_UPDATE,
	DECODE_UPDATE,
	INSTALL,
	INDEX,
	FREE_VIEW,
	N_STEPS,
};

static double cpu_time_s(void)
{
	struct timespec ts;

	/* CPU time is less affected by other load on the machine. */
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Returns the document that an operator sends, with n routes. */
static GString *document(size_t n, uint64_t number, unsigned timeout_ms)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
			number);
	for (size_t i = 0; i < n; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"route-%zu\",\"host\":\"h%zu.example\","
			"\"pathPrefix\":\"/service/%zu/\","
			"\"kind\":\"idempotent\",\"timeoutMs\":%u,"
			"\"goalMs\":400,\"priority\":1,\"maxAttempts\":2,"
			"\"split\":[{\"service\":\"booking\",\"weight\":90},"
			"{\"service\":\"booking-next\",\"weight\":10}]}",
			i ? "," : "", i, i % 97, i, i ? 2000 : timeout_ms);
	g_string_append(text, "],\"services\":["
			      "{\"name\":\"booking\",\"healthPath\":\"/h\","
			      "\"maxConns\":64},"
			      "{\"name\":\"booking-next\",\"healthPath\":"
			      "\"/h\",\"maxConns\":64}],"
			      "\"limits\":{\"maxHeaderBytes\":16384,"
			      "\"maxBodyBytes\":1048576,"
			      "\"headerTimeoutMs\":5000,"
			      "\"idleTimeoutMs\":30000}}");
	return text;
}

static Dsp__RouteTable *parse(const GString *text)
{
	GError *error = NULL;
	Dsp__RouteTable *table =
		wire_read_route_table(text->str, text->len, &error);

	if (!table)
		g_error("the document is refused: %s", error->message);
	return table;
}

static void take(struct step *step, double since_s, size_t bytes)
{
	double s = cpu_time_s() - since_s;

	if (!step->s || s < step->s)
		step->s = s;
	step->bytes = bytes;
}

/* Returns the encoded command that a leader proposes. */
static uint8_t *propose(const struct st *st, Dsp__RouteTable *table,
			uint64_t index, size_t *len)
{
	Dsp__RouteTableChangePut *change = st_table_change(st, table, index);
	Dsp__RouteTablePut put = DSP__ROUTE_TABLE_PUT__INIT;
	Dsp__Command command = DSP__COMMAND__INIT;
	uint8_t *data;

	command.wall_ms = 1700000000000 + index;
	if (change) {
		command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT;
		command.route_table_change_put = change;
	} else {
		put.table = table;
		command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
		command.route_table_put = &put;
	}
	*len = dsp__command__get_packed_size(&command);
	data = g_malloc(*len);
	dsp__command__pack(&command, data);
	if (change)
		dsp__route_table_change_put__free_unpacked(change, NULL);
	return data;
}

static uint64_t table_index(const struct view *view)
{
	const Dsp__RouteTable *table = view_route_table(view);

	return table ? table->index : 0;
}

/* Instances of each role. */
struct world {
	struct st *st;
	struct view *relay;
	struct view *entry;
	struct rtab *index; /* of the entry's table */
};

/* The entry: decodes the update, installs the view and indexes the table. */
static void receive(struct step *steps, const uint8_t *data, size_t len,
		    struct world *w)
{
	struct view *old = w->entry;
	double t = cpu_time_s();
	Dsp__ViewUpdate *update = dsp__view_update__unpack(NULL, len, data);

	take(&steps[DECODE_UPDATE], t, len);
	t = cpu_time_s();
	w->entry = view_apply(old, update);
	dsp__view_update__free_unpacked(update, NULL);
	take(&steps[INSTALL], t, 0);
	t = cpu_time_s();
	if (w->index)
		rtab_update(w->index, view_route_table(old),
			    view_route_table(w->entry));
	else
		w->index = rtab_new(view_route_table(w->entry));
	take(&steps[INDEX], t, 0);
	t = cpu_time_s();
	view_unref(old);
	take(&steps[FREE_VIEW], t, 0);
}

/* One change from the operator's document to the view of an entry. */
static void change(struct step *steps, struct world *w, size_t n,
		   uint64_t number)
{
	GString *text = document(n, number, 1000 + (unsigned)number);
	double t = cpu_time_s();
	Dsp__RouteTable *table = parse(text);
	Dsp__Command *command;
	Dsp__ViewUpdate *update;
	struct view *next;
	uint8_t *data;
	size_t len;

	take(&steps[PARSE], t, text->len);
	g_string_free(text, TRUE);
	t = cpu_time_s();
	data = propose(w->st, table, number, &len);
	take(&steps[ENCODE_COMMAND], t, len);
	dsp__route_table__free_unpacked(table, NULL);

	t = cpu_time_s();
	command = dsp__command__unpack(NULL, len, data);
	dsp__command_result__free_unpacked(st_apply(w->st, number, command),
					   NULL);
	dsp__command__free_unpacked(command, NULL);
	take(&steps[APPLY], t, len);
	g_free(data);

	t = cpu_time_s();
	update = st_view_since_table(w->st, view_index(w->relay),
				     table_index(w->relay));
	next = view_apply(w->relay, update);
	dsp__view_update__free_unpacked(update, NULL);
	view_unref(w->relay);
	w->relay = next;
	take(&steps[PUBLISH], t, 0);

	t = cpu_time_s();
	update = view_since_table(w->relay, view_index(w->entry),
				  table_index(w->entry));
	take(&steps[RELAY], t, 0);
	t = cpu_time_s();
	len = dsp__view_update__get_packed_size(update);
	data = g_malloc(len);
	dsp__view_update__pack(update, data);
	take(&steps[ENCODE_UPDATE], t, len);
	dsp__view_update__free_unpacked(update, NULL);
	receive(steps, data, len, w);
	g_free(data);
}

static void print_steps(const struct step *steps)
{
	static const char *const names[N_STEPS] = {
		[PARSE] = "parse the document (instance called)",
		[ENCODE_COMMAND] = "make the command (leader)",
		[APPLY] = "decode and apply the command (replica)",
		[PUBLISH] = "publish the view (replica)",
		[RELAY] = "copy records for an update (sender)",
		[ENCODE_UPDATE] = "encode the update (sender)",
		[DECODE_UPDATE] = "decode the update (entry)",
		[INSTALL] = "install the view (entry)",
		[INDEX] = "index the table (edge thread)",
		[FREE_VIEW] = "free the old table (edge thread)",
	};

	for (size_t i = 0; i < N_STEPS; i++) {
		printf("  %-40s %9.3f ms", names[i], steps[i].s * 1e3);
		if (steps[i].bytes)
			printf(" %9zu bytes %8.1f ms at %.1f Mbit/s",
			       steps[i].bytes,
			       (double)steps[i].bytes * 8e3 / LINK_BITS_PER_S,
			       LINK_BITS_PER_S / 1e6);
		printf("\n");
	}
}

static void bench(size_t n)
{
	struct step first[N_STEPS] = { 0 };
	struct step later[N_STEPS] = { 0 };
	size_t before = heap_bytes();
	struct world w = {
		.st = st_new(NULL),
		.relay = view_new_empty(),
		.entry = view_new_empty(),
	};

	change(first, &w, n, 1);
	for (uint64_t i = 2; i <= RUNS; i++)
		change(later, &w, n, i);
	printf("%zu routes, first table:\n", n);
	print_steps(first);
	printf("%zu routes, change of a timeout:\n", n);
	print_steps(later);
	printf("  %-40s %9zu bytes\n",
	       "state, view of a replica and of an entry",
	       heap_bytes() - before);
	rtab_free(w.index);
	view_unref(w.entry);
	view_unref(w.relay);
	st_free(w.st);
}

int main(void)
{
	static const size_t sizes[] = { 250, 2000, 6000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench(sizes[i]);
	return 0;
}
