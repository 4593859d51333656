#include <argp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "lib_fake.h"

/*
 * Runs a fake endpoint as a process. On SIGTERM it announces that it is
 * leaving, serves for leave_ms and until its calls have ended, and stops; on
 * SIGINT it stops without an announcement.
 */

struct arguments {
	struct fake_options fake;
	uint32_t leave_ms;
};

enum kind {
	KIND_TEXT,
	KIND_NUMBER,
	KIND_SET,   /* flag that sets a field to true */
	KIND_CLEAR, /* flag that sets a field to false */
};

#define FIRST_KEY 256 /* above all characters: no short options */
#define AT(field) offsetof(struct arguments, field)

static const struct option_spec {
	const char *name;
	enum kind kind;
	size_t offset;
	const char *help;
} option_specs[] = {
	{ "id", KIND_TEXT, AT(fake.id), "Endpoint id" },
	{ "address", KIND_TEXT, AT(fake.address), "IP:PORT to listen on" },
	{ "advertise", KIND_TEXT, AT(fake.advertise), "IP:PORT to announce" },
	{ "site", KIND_TEXT, AT(fake.site), "Site" },
	{ "team", KIND_TEXT, AT(fake.team), "Team" },
	{ "service", KIND_TEXT, AT(fake.service), "Service" },
	{ "entries", KIND_TEXT, AT(fake.entries), "IP:PORT,... of entries" },
	{ "record", KIND_TEXT, AT(fake.record), "File to record runs in" },
	{ "crash-on", KIND_TEXT, AT(fake.crash_on), "Prompt that crashes it" },
	{ "plain", KIND_SET, AT(fake.plain), "Plain service" },
	{ "no-fencing", KIND_CLEAR, AT(fake.fencing), "Ignore fences" },
	{ "no-incarnation", KIND_CLEAR, AT(fake.checks_incarnation),
	  "Ignore the incarnation of orders" },
	{ "no-cancel", KIND_CLEAR, AT(fake.cancel), "Ignore cancels" },
	{ "no-resume", KIND_CLEAR, AT(fake.resume), "No resume of streams" },
	{ "roles", KIND_SET, AT(fake.roles), "Take role orders" },
	{ "accelerators", KIND_NUMBER, AT(fake.accelerators), "Accelerators" },
	{ "memory-mb", KIND_NUMBER, AT(fake.memory_mb), "Memory of each" },
	{ "max-batch", KIND_NUMBER, AT(fake.max_batch), "Batch size" },
	{ "threads", KIND_NUMBER, AT(fake.threads), "Connections" },
	{ "load-ms", KIND_NUMBER, AT(fake.load_ms), "Model load time" },
	{ "adapter-load-ms", KIND_NUMBER, AT(fake.adapter_load_ms),
	  "Adapter load time" },
	{ "first-token-us", KIND_NUMBER, AT(fake.first_token_us),
	  "Time to the first token" },
	{ "token-us", KIND_NUMBER, AT(fake.token_us), "Time between tokens" },
	{ "tokens", KIND_NUMBER, AT(fake.tokens), "Default answer length" },
	{ "service-us", KIND_NUMBER, AT(fake.service_us),
	  "Time of a plain call" },
	{ "announce-ms", KIND_NUMBER, AT(fake.announce_ms),
	  "Announcement interval" },
	{ "leave-ms", KIND_NUMBER, AT(leave_ms),
	  "Time to serve after SIGTERM" },
};

#define N_OPTIONS (sizeof(option_specs) / sizeof(option_specs[0]))

static uint32_t parse_number(const char *text, struct argp_state *state)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (*end || end == text || value > UINT32_MAX)
		argp_error(state, "not a number: \"%s\"", text);
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;
	const struct option_spec *spec;
	void *field;

	if (key == ARGP_KEY_END && (!args->fake.id || !args->fake.address))
		argp_error(state, "--id and --address are needed");
	if (key < FIRST_KEY || key >= FIRST_KEY + (int)N_OPTIONS)
		return ARGP_ERR_UNKNOWN;
	spec = &option_specs[key - FIRST_KEY];
	field = (char *)args + spec->offset;
	switch (spec->kind) {
	case KIND_TEXT:
		*(const char **)field = arg;
		break;
	case KIND_NUMBER:
		*(uint32_t *)field = parse_number(arg, state);
		break;
	case KIND_SET:
		*(bool *)field = true;
		break;
	case KIND_CLEAR:
		*(bool *)field = false;
		break;
	}
	return 0;
}

static void parse_arguments(int argc, char **argv, struct arguments *args)
{
	struct argp_option options[N_OPTIONS + 1] = { 0 };
	struct argp parser = {
		.options = options,
		.parser = parse_option,
		.doc = "Runs a fake endpoint for tests and demonstrations.",
	};

	for (size_t i = 0; i < N_OPTIONS; i++) {
		options[i].name = option_specs[i].name;
		options[i].key = FIRST_KEY + (int)i;
		options[i].doc = option_specs[i].help;
		if (option_specs[i].kind == KIND_TEXT)
			options[i].arg = "TEXT";
		else if (option_specs[i].kind == KIND_NUMBER)
			options[i].arg = "N";
	}
	argp_parse(&parser, argc, argv, 0, NULL, args);
}

/* Runs a fake endpoint until SIGTERM or SIGINT. */
int main(int argc, char **argv)
{
	struct arguments args = { .fake = fake_defaults, .leave_ms = 3000 };
	struct fake *fake;
	sigset_t signals;
	int signal_number;

	parse_arguments(argc, argv, &args);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	fake = fake_start(&args.fake);
	if (!fake)
		return 1;
	sigwait(&signals, &signal_number);
	if (signal_number == SIGTERM) {
		fake_leave(fake);
		usleep(args.leave_ms * 1000);
		while (fake_running(fake))
			usleep(10000);
	}
	fake_stop(fake);
	return 0;
}
