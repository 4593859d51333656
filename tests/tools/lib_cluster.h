#ifndef TOOLS_LIB_CLUSTER_H
#define TOOLS_LIB_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "lib_proxy.h"

/*
 * A cluster of real processes on loopback for tests and tools: instances and
 * fake endpoints, with free ports chosen at start and a temporary folder. With
 * proxies, each ordered pair of instances has its own fault proxy for the
 * messages that the first sends to the second.
 */
struct cluster;

#define CLUSTER_INSTANCES_MAX 40

struct cluster_options {
	size_t instances;
	size_t voters; /* the first ones; others have no data folder */
	const char *sites[CLUSTER_INSTANCES_MAX]; /* NULL: site1, site2, ... */
	bool proxies;
	const char *timing; /* lines of [timing]; NULL: short ones for tests */
	const char *limits; /* lines of [limits]; NULL: 100 requests */
};

struct cluster *cluster_new(const struct cluster_options *options);
void cluster_free(struct cluster *ctx, bool keep);

/* Commands. */
void cluster_start(struct cluster *ctx, size_t i);
void cluster_start_all(struct cluster *ctx);
void cluster_kill(struct cluster *ctx, size_t i);
void cluster_freeze(struct cluster *ctx, size_t i);
void cluster_thaw(struct cluster *ctx, size_t i);
int cluster_stop(struct cluster *ctx, size_t i, int timeout_ms);
void cluster_wipe(struct cluster *ctx, size_t i);
void cluster_isolate(struct cluster *ctx, size_t i, bool on);
void cluster_mute(struct cluster *ctx, size_t i, bool on);
size_t cluster_start_endpoint(struct cluster *ctx, const char *id,
			      const char *const *args);
void cluster_kill_endpoint(struct cluster *ctx, size_t endpoint);
void cluster_signal_endpoint(struct cluster *ctx, size_t endpoint, int signal);
bool cluster_endpoint_exited(struct cluster *ctx, size_t endpoint);
void cluster_restart_endpoint(struct cluster *ctx, size_t endpoint);

/* Queries. */
const char *cluster_folder(const struct cluster *ctx);
const char *cluster_http(const struct cluster *ctx, size_t i);
const char *cluster_addresses(const struct cluster *ctx);
pid_t cluster_pid(const struct cluster *ctx, size_t i);
char *cluster_log_path(const struct cluster *ctx, size_t i);
char *cluster_data_folder(const struct cluster *ctx, size_t i);
struct proxy *cluster_proxy(const struct cluster *ctx, size_t from, size_t to);
struct proxy *cluster_endpoint_proxy(const struct cluster *ctx,
				     size_t endpoint);
const char *cluster_endpoint_address(const struct cluster *ctx,
				     size_t endpoint);
json_t *cluster_status(const struct cluster *ctx, size_t i);
json_t *cluster_record(const struct cluster *ctx);
bool cluster_wait_serving(struct cluster *ctx, size_t i, int timeout_ms);
bool cluster_wait_all_serving(struct cluster *ctx, int timeout_ms);
bool cluster_wait_model(struct cluster *ctx, size_t i, const char *team,
			const char *model, int timeout_ms);
bool cluster_wait_document(struct cluster *ctx, size_t i, const char *team,
			   uint64_t number, int timeout_ms);
char *cluster_program(const char *name);

#endif
