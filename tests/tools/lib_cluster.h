#ifndef TOOLS_LIB_CLUSTER_H
#define TOOLS_LIB_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "lib_proxy.h"

/*
 * A system of real processes on loopback for tests and tools: instances and
 * fake endpoints, with ports chosen at start and a temporary folder. With
 * proxies, every pair of instances talks through a fault proxy of its own, one
 * for each direction.
 */
struct cluster;

#define CLUSTER_INSTANCES_MAX 40

struct cluster_options {
	size_t instances;
	size_t voters; /* the first ones; the others have no data folder */
	const char *sites[CLUSTER_INSTANCES_MAX]; /* NULL: site1, site2, ... */
	bool proxies;
	const char *timing; /* lines of [timing]; NULL: fast ones for tests */
	const char *limits; /* lines of [limits]; NULL: few requests */
};

struct cluster *cluster_new(const struct cluster_options *options);
/* Kills what still runs. Keeps the folder when keep is true. */
void cluster_free(struct cluster *ctx, bool keep);

/* Commands. */
void cluster_start(struct cluster *ctx, size_t i);
void cluster_start_all(struct cluster *ctx);
void cluster_kill(struct cluster *ctx, size_t i);
void cluster_freeze(struct cluster *ctx, size_t i);
void cluster_thaw(struct cluster *ctx, size_t i);
/* SIGTERM and wait; the exit code, or -1 after timeout_ms. */
int cluster_stop(struct cluster *ctx, size_t i, int timeout_ms);
/* Removes the data folder of a stopped instance. */
void cluster_wipe(struct cluster *ctx, size_t i);
/* Drops all messages between an instance and the others. Needs proxies. */
void cluster_isolate(struct cluster *ctx, size_t i, bool on);
/* Drops what an instance sends, not what it receives. Needs proxies. */
void cluster_mute(struct cluster *ctx, size_t i, bool on);
/* Starts a fake endpoint; args are options of build/fake_endpoint, ended by
 * NULL. Returns its number. */
size_t cluster_start_endpoint(struct cluster *ctx, const char *id,
			      const char *const *args);
void cluster_kill_endpoint(struct cluster *ctx, size_t endpoint);
void cluster_signal_endpoint(struct cluster *ctx, size_t endpoint, int signal);
/* Whether an endpoint's process has ended by itself. */
bool cluster_endpoint_exited(struct cluster *ctx, size_t endpoint);
/* Starts a killed endpoint again with the same address and options. */
void cluster_restart_endpoint(struct cluster *ctx, size_t endpoint);

/* Queries. */
const char *cluster_folder(const struct cluster *ctx);
const char *cluster_http(const struct cluster *ctx, size_t i);
const char *cluster_addresses(const struct cluster *ctx); /* comma-separated */
pid_t cluster_pid(const struct cluster *ctx, size_t i);
char *cluster_log_path(const struct cluster *ctx, size_t i); /* g_free() */
char *cluster_data_folder(const struct cluster *ctx, size_t i);
/* The proxy of messages from one instance to another. */
struct proxy *cluster_proxy(const struct cluster *ctx, size_t from, size_t to);
/* The proxy of callers' and instances' connections to an endpoint. */
struct proxy *cluster_endpoint_proxy(const struct cluster *ctx,
				     size_t endpoint);
const char *cluster_endpoint_address(const struct cluster *ctx,
				     size_t endpoint);
/* /v1/status of an instance, or NULL; json_decref() */
json_t *cluster_status(const struct cluster *ctx, size_t i);
/* All events that endpoints recorded, in file order; json_decref() */
json_t *cluster_record(const struct cluster *ctx);
/* Waits until an instance serves; prints its log's end when it does not. */
bool cluster_wait_serving(struct cluster *ctx, size_t i, int timeout_ms);
bool cluster_wait_all_serving(struct cluster *ctx, int timeout_ms);
/* Waits until an instance lists a ready copy of the model ("model" or
 * "model:adapter"). */
bool cluster_wait_model(struct cluster *ctx, size_t i, const char *team,
			const char *model, int timeout_ms);
/* Waits until an instance has the document number in force. */
bool cluster_wait_document(struct cluster *ctx, size_t i, const char *team,
			   uint64_t number, int timeout_ms);
/* The path of a program of the build folder; g_free() */
char *cluster_program(const char *name);

#endif
