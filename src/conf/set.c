#include "conf/set.h"

#include <stdlib.h>
#include <string.h>

#include "conf/opt.h"

#define VOTERS_MAX 7
#define LOSSES_MAX 3

static const char *const log_levels[] = { "err",  "warning", "notice",
					  "info", "debug",   NULL };

#define AT(field) offsetof(struct set, field)

static const struct opt root_options[] = {
	{ "id", OPT_NAME, AT(id), .required = true },
	{ "site", OPT_NAME, AT(site), .required = true },
	{ "region", OPT_NAME, AT(region), .required = true },
	{ "control", OPT_BOOL, AT(control) },
	{ "data_folder", OPT_STRING, AT(data_folder) },
	{ "internal_listen", OPT_TCP, AT(internal_listen), .required = true },
	{ "internal_advertise", OPT_TCP, AT(internal_advertise) },
	{ "http_listen", OPT_IP_PORT, AT(http_listen), .required = true },
	{ "http_advertise", OPT_IP_PORT, AT(http_advertise) },
	{ "log_level", OPT_STRING, AT(log_level), .default_text = "info" },
	{ "weight", OPT_U32, AT(weight), .min = 1, .max = 100000,
	  .default_value = 100 },
	{ "limits", OPT_TABLE },
	{ "timing", OPT_TABLE },
	{ "peer", OPT_TABLES },
	{ "seeds", OPT_LIST },
	{ "voters", OPT_U32, AT(voters), .min = 1, .max = VOTERS_MAX,
	  .default_value = VOTERS_MAX },
	/* Three replicas tolerate the loss of one disk, five of two, seven of
	 * three. */
	{ "losses", OPT_U32, AT(losses), .max = LOSSES_MAX,
	  .default_value = LOSSES_MAX },
	{ "bootstrap", OPT_BOOL, AT(bootstrap) },
	{ "edge", OPT_TABLE },
};

static const struct opt limit_options[] = {
	{ "body_bytes_max", OPT_U32, AT(body_bytes_max), .min = 1024,
	  .max = 1 << 30, .default_value = 4 << 20 },
	{ "header_bytes_max", OPT_U32, AT(header_bytes_max), .min = 1024,
	  .max = 1 << 20, .default_value = 16 << 10 },
	{ "requests_max", OPT_U32, AT(requests_max), .min = 1, .max = 20000,
	  .default_value = 1000 },
	{ "queue_max", OPT_U32, AT(queue_max), .min = 1, .max = 100000,
	  .default_value = 500 },
	{ "memory_mb_max", OPT_U32, AT(memory_mb_max), .min = 1, .max = 1 << 20,
	  .default_value = 128 },
	{ "claims_max", OPT_U32, AT(claims_max), .min = 1, .max = 10000000,
	  .default_value = 1000000 },
	{ "claim_bodies_mb", OPT_U32, AT(claim_bodies_mb), .min = 1,
	  .max = 1 << 16, .default_value = 64 },
	{ "stale_limit_s", OPT_U32, AT(stale_limit_s), .min = 1, .max = 86400,
	  .default_value = 3600 },
};

static const struct opt timing_options[] = {
	{ "election_timeout_ms", OPT_U32, AT(election_timeout_ms), .min = 50,
	  .max = 60000, .default_value = 500 },
	{ "heartbeat_ms", OPT_U32, AT(heartbeat_ms), .min = 10, .max = 10000,
	  .default_value = 100 },
	{ "report_interval_ms", OPT_U32, AT(report_interval_ms), .min = 10,
	  .max = 60000, .default_value = 1000 },
	{ "endpoint_lease_ms", OPT_U32, AT(endpoint_lease_ms), .min = 100,
	  .max = 600000, .default_value = 3000 },
	{ "node_lease_ms", OPT_U32, AT(node_lease_ms), .min = 100,
	  .max = 600000, .default_value = 5000 },
	{ "isolated_after_ms", OPT_U32, AT(isolated_after_ms), .min = 100,
	  .max = 600000, .default_value = 5000 },
	{ "entry_validity_s", OPT_U32, AT(entry_validity_s), .min = 1,
	  .max = 3600, .default_value = 30 },
	{ "answer_retention_s", OPT_U32, AT(answer_retention_s), .min = 1,
	  .max = 86400, .default_value = 60 },
	{ "silence_limit_ms", OPT_U32, AT(silence_limit_ms), .min = 100,
	  .max = 600000, .default_value = 2000 },
	{ "drain_limit_s", OPT_U32, AT(drain_limit_s), .min = 0, .max = 86400,
	  .default_value = 600 },
};

#undef AT
#define AT(field) offsetof(struct set, edge.field)

static const struct opt edge_options[] = {
	{ "front", OPT_IP_PORT, AT(front) },
	{ "ready", OPT_IP_PORT, AT(ready) },
	{ "directory", OPT_IP_PORT, AT(directory) },
	{ "control", OPT_IP_PORT, AT(control) },
	{ "metrics", OPT_IP_PORT, AT(metrics) },
	{ "announce", OPT_IP_PORT, AT(announce) },
	{ "detour_offset", OPT_U32, AT(detour_offset), .max = 1000 },
	{ "entry_validity_s", OPT_U32, AT(entry_validity_s), .min = 1,
	  .max = 3600, .default_value = 3 },
	{ "drain_limit_ms", OPT_U32, AT(drain_limit_ms), .min = 100,
	  .max = 600000, .default_value = 8000 },
	/* Longer than an election and a report, about a second, and shorter
	 * than the shortest timeout of the routes in use, 1.5 s. */
	{ "start_wait_ms", OPT_U32, AT(start_wait_ms), .max = 60000,
	  .default_value = 1200 },
	{ "key_revoke_ms", OPT_U32, AT(key_revoke_ms), .max = 600000 },
	{ "repeat_ratio", OPT_NUMBER, AT(repeat_ratio), .min = 0, .max = 10,
	  .default_value = 0.1 },
	{ "repeat_window_s", OPT_U32, AT(repeat_window_s), .min = 1, .max = 600,
	  .default_value = 10 },
	{ "repeat_settle_ms", OPT_U32, AT(repeat_settle_ms), .min = 0,
	  .max = 700000, .default_value = 14000 },
	{ "repeat_extra", OPT_U32, AT(repeat_extra), .min = 0, .max = 100000,
	  .default_value = 32 },
	{ "order_lease_ms", OPT_U32, AT(order_lease_ms), .min = 0,
	  .max = 600000, .default_value = 3000 },
	{ "store_excess", OPT_NUMBER, AT(store_excess), .min = 0.1, .max = 10,
	  .default_value = 1 },
	{ "prompt_pacing", OPT_BOOL, AT(prompt_pacing) },
	{ "memory_mb", OPT_NUMBER, AT(memory_mb), .min = 64, .max = 1048576,
	  .default_value = 256 },
	{ "site_ms_per_kb", OPT_NUMBER, AT(site_ms_per_kb), .min = 0,
	  .max = 1000, .default_value = 0 },
	{ "site_leave_share", OPT_NUMBER, AT(site_leave_share), .min = 0,
	  .max = 1, .default_value = 0.5 },
	{ "descriptors_max", OPT_U32, AT(descriptors_max), .max = 1 << 20 },
	{ "descriptors_reserved", OPT_U32, AT(descriptors_reserved),
	  .max = 1 << 20 },
};

#undef AT
#define AT(field) offsetof(struct set_peer, field)

static const struct opt peer_options[] = {
	{ "id", OPT_NAME, AT(id), .required = true },
	{ "address", OPT_TCP, AT(address), .required = true },
	{ "via", OPT_TCP, AT(via) },
	{ "site", OPT_NAME, AT(site), .required = true },
	{ "control", OPT_BOOL, AT(control), .default_value = 1 },
};

static void read_peers(struct set *ctx, const struct opt_source *source,
		       const struct tb_value *array)
{
	if (!array || array->type != TB_ARRAY)
		return;
	ctx->peers = g_new0(struct set_peer, array->n_children);
	ctx->n_peers = array->n_children;
	for (size_t i = 0; i < array->n_children; i++)
		opt_read(source, &array->children[i], "peer", peer_options,
			 G_N_ELEMENTS(peer_options), &ctx->peers[i]);
}

/* Reads the seeds as peers without an id. The address of each is its host with
 * this instance's internal port, since all instances use the same one. */
static void read_seeds(struct set *ctx, const struct opt_source *source,
		       const struct tb_value *array)
{
	const char *port;

	if (!array || array->type != TB_ARRAY || !ctx->internal_listen)
		return;
	if (ctx->n_peers) {
		opt_fault(source, array->line, "seeds",
			  "given with peer; allowed: one of them");
		return;
	}
	port = strrchr(ctx->internal_listen, ':');
	ctx->seeded = true;
	ctx->peers = g_new0(struct set_peer, array->n_children + 1);
	for (size_t i = 0; i < array->n_children; i++) {
		const struct tb_value *value = &array->children[i];
		struct set_peer *peer = &ctx->peers[ctx->n_peers];
		const char *colon;

		if (value->type != TB_STRING || !opt_is_ip_port(value->text)) {
			opt_fault(source, value->line, "seeds",
				  "given \"%s\"; allowed: IP:PORT",
				  value->text ? value->text : "");
			continue;
		}
		colon = strrchr(value->text, ':');
		peer->id = g_strdup("");
		peer->site = g_strdup("");
		peer->address = g_strdup_printf("tcp://%.*s%s",
						(int)(colon - value->text),
						value->text, port);
		peer->control = true;
		ctx->n_peers++;
	}
}

static void check_peers(const struct set *ctx, const struct opt_source *source,
			const struct tb_value *array)
{
	size_t voters = 0;
	bool self = false;

	for (size_t i = 0; i < ctx->n_peers; i++) {
		const struct set_peer *peer = &ctx->peers[i];
		int line = array->children[i].line;

		voters += peer->control;
		for (size_t k = 0; peer->id && k < i; k++)
			if (ctx->peers[k].id &&
			    !strcmp(ctx->peers[k].id, peer->id))
				opt_fault(
					source, line, "peer.id",
					"given \"%s\"; allowed: an id that no "
					"other peer has",
					peer->id);
		if (!peer->id || !ctx->id || strcmp(peer->id, ctx->id) != 0)
			continue;
		self = true;
		if (peer->control != ctx->control)
			opt_fault(
				source, line, "peer.control",
				"given %s; allowed: the same value as control "
				"of this instance",
				peer->control ? "true" : "false");
	}
	if (voters != 1 && voters != 3 && voters != 5 && voters != VOTERS_MAX)
		opt_fault(
			source, array->line, "peer",
			"given %zu peers with control = true; allowed: 1, 3, 5 "
			"or 7",
			voters);
	if (ctx->control && !self)
		opt_fault(
			source, array->line, "peer",
			"given no peer with the id of this instance; allowed: "
			"every voter, this instance included");
}

static void check_consistency(const struct set *ctx,
			      const struct opt_source *source,
			      const struct tb_value *root)
{
	const struct tb_value *peers = opt_child(root, "peer");
	const struct tb_value *level = opt_child(root, "log_level");
	const struct tb_value *timing = opt_child(root, "timing");
	int line = timing ? timing->line : 0;

	if (ctx->control && !ctx->data_folder)
		opt_fault(source, opt_child(root, "control")->line,
			  "data_folder",
			  "missing; control = true needs a data folder");
	if (level && !g_strv_contains(log_levels, ctx->log_level))
		opt_fault(source, level->line, "log_level",
			  "given \"%s\"; allowed: err, warning, notice, info, "
			  "debug",
			  level->text);
	if (ctx->edge.key_revoke_ms &&
	    ctx->edge.key_revoke_ms < ctx->report_interval_ms * 4)
		opt_fault(source, opt_child(root, "edge")->line,
			  "edge.key_revoke_ms",
			  "given %u; allowed: 0, or at least four times "
			  "report_interval_ms (%u)",
			  ctx->edge.key_revoke_ms, ctx->report_interval_ms);
	if (ctx->heartbeat_ms * 2 > ctx->election_timeout_ms)
		opt_fault(source, line, "timing.heartbeat_ms",
			  "given %u; allowed: at most half of "
			  "election_timeout_ms (%u)",
			  ctx->heartbeat_ms, ctx->election_timeout_ms);
	if (ctx->report_interval_ms * 2 > ctx->node_lease_ms)
		opt_fault(source, line, "timing.report_interval_ms",
			  "given %u; allowed: at most half of node_lease_ms "
			  "(%u)",
			  ctx->report_interval_ms, ctx->node_lease_ms);
	if (!peers && !ctx->seeded)
		opt_fault(source, 0, "peer", "missing; allowed: peer or seeds");
	if (peers && peers->type == TB_ARRAY)
		check_peers(ctx, source, peers);
}

/* Derives the address for requests of instances that do not reach an endpoint
 * from the internal one, tcp://IP:PORT. */
static void derive_detour(struct set *ctx)
{
	const char *host = ctx->internal_listen;
	const char *port = host ? strrchr(host, ':') : NULL;
	unsigned long number;

	if (!ctx->edge.detour_offset || !port ||
	    !g_str_has_prefix(host, "tcp://"))
		return;
	number = strtoul(port + 1, NULL, 10) + ctx->edge.detour_offset;
	if (number > UINT16_MAX)
		return;
	host += strlen("tcp://");
	ctx->edge.detour =
		g_strdup_printf("%.*s:%lu", (int)(port - host), host, number);
	ctx->edge.detour_port = (uint32_t)number;
}

/*
 * Parses and validates the settings of one instance; set_free(). When the text
 * is not valid, returns NULL and adds all faults ("name:line: key: given VALUE;
 * allowed: ...", freed with g_free()) to faults. name is the file's name in
 * these messages.
 */
struct set *set_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults)
{
	struct opt_source source = { .file = name, .faults = faults };
	guint before = faults->len;
	struct tb_value *root;
	struct set *ctx;

	root = opt_parse(&source, text, len);
	if (!root)
		return NULL;
	ctx = g_new0(struct set, 1);
	opt_read(&source, root, "", root_options, G_N_ELEMENTS(root_options),
		 ctx);
	opt_read(&source, opt_child(root, "limits"), "limits", limit_options,
		 G_N_ELEMENTS(limit_options), ctx);
	opt_read(&source, opt_child(root, "timing"), "timing", timing_options,
		 G_N_ELEMENTS(timing_options), ctx);
	opt_read(&source, opt_child(root, "edge"), "edge", edge_options,
		 G_N_ELEMENTS(edge_options), ctx);
	ctx->has_edge = opt_child(root, "edge") != NULL;
	ctx->voters = MIN(ctx->voters, 2 * MAX(ctx->losses, 1) + 1);
	read_peers(ctx, &source, opt_child(root, "peer"));
	read_seeds(ctx, &source, opt_child(root, "seeds"));
	if (faults->len == before)
		check_consistency(ctx, &source, root);
	if (!ctx->internal_advertise)
		ctx->internal_advertise = g_strdup(ctx->internal_listen);
	if (!ctx->http_advertise)
		ctx->http_advertise = g_strdup(ctx->http_listen);
	derive_detour(ctx);
	tb_free(root);
	if (faults->len != before) {
		set_free(ctx);
		return NULL;
	}
	return ctx;
}

/* Frees the settings; NULL is allowed. */
void set_free(struct set *ctx)
{
	if (!ctx)
		return;
	for (size_t i = 0; i < ctx->n_peers; i++) {
		g_free(ctx->peers[i].id);
		g_free(ctx->peers[i].address);
		g_free(ctx->peers[i].via);
		g_free(ctx->peers[i].site);
	}
	g_free(ctx->peers);
	g_free(ctx->id);
	g_free(ctx->site);
	g_free(ctx->region);
	g_free(ctx->data_folder);
	g_free(ctx->internal_listen);
	g_free(ctx->internal_advertise);
	g_free(ctx->http_listen);
	g_free(ctx->http_advertise);
	g_free(ctx->log_level);
	g_free(ctx->edge.front);
	g_free(ctx->edge.ready);
	g_free(ctx->edge.directory);
	g_free(ctx->edge.control);
	g_free(ctx->edge.metrics);
	g_free(ctx->edge.announce);
	g_free(ctx->edge.detour);
	g_free(ctx);
}
