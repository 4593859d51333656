#ifndef TOOLS_LIB_FAKE_H
#define TOOLS_LIB_FAKE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Fake endpoint: a model engine or a plain service with configurable speed,
 * memory size and load time. It announces itself, executes orders, streams
 * deterministic answers, and records the requests that ran, so that a checker
 * outside of the system can compare them with the answers that callers got.
 */
struct fake;

struct fake_options {
	const char *id;
	const char *address;   /* IP:PORT to listen on */
	const char *advertise; /* IP:PORT to announce; NULL: address */
	const char *site;
	const char *team;
	const char *service;
	const char *entries;  /* IP:PORT,... of first targets; NULL: none */
	const char *record;   /* event file of JSON lines; NULL: none */
	const char *crash_on; /* exit if a prompt has this; NULL: never */
	bool plain;	      /* a plain service, not an engine */
	bool fencing;
	bool checks_incarnation;
	bool cancel;
	bool resume;
	bool roles;
	uint32_t accelerators;
	uint32_t memory_mb; /* of each accelerator */
	uint32_t max_batch;
	uint32_t threads; /* concurrent connections */
	uint32_t load_ms; /* time to load a model */
	uint32_t adapter_load_ms;
	uint32_t first_token_us;
	uint32_t token_us;
	uint32_t tokens;      /* default answer length */
	uint32_t service_us;  /* plain services: duration of a call */
	uint32_t announce_ms; /* interval of announcements */
};

extern const struct fake_options fake_defaults;

struct fake *fake_start(const struct fake_options *options);
void fake_leave(struct fake *ctx);
void fake_stop(struct fake *ctx);

/* Queries. */
uint32_t fake_running(struct fake *ctx);
uint64_t fake_runs(struct fake *ctx);
uint64_t fake_overcommits(struct fake *ctx);
char *fake_answer(const char *model, const char *prompt, uint32_t tokens);

#endif
