#include "node/ctl_int.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METRICS_INTERVAL_US CTL_S_US

static const char *const readiness_names[] = {
	[CTL_STARTING] = "starting", [CTL_SERVING] = "serving",
	[CTL_ISOLATED] = "isolated", [CTL_STALE] = "stale",
	[CTL_DRAINING] = "draining",
};

static const char *const role_names[] = {
	[RAFT_FOLLOWER] = "follower",	[RAFT_PRE_CANDIDATE] = "candidate",
	[RAFT_CANDIDATE] = "candidate", [RAFT_LEADER] = "leader",
	[RAFT_LEARNER] = "learner",
};

/* Returns an id as a string of decimal digits, since many programs read JSON
 * numbers with 53 bits of precision. */
static json_t *id_json(uint64_t id)
{
	char text[24];

	(void)snprintf(text, sizeof(text), "%" PRIu64, id);
	return json_string(text);
}

static const Dsp__RaftConfig *known_config(const struct ctl *ctx)
{
	return ctx->raft ? raft_config(ctx->raft) : ctx->config;
}

static const char *role_of(const struct ctl *ctx)
{
	if (ctx->disk_failed)
		return "disk_failed";
	if (ctx->raft)
		return role_names[raft_role(ctx->raft)];
	if (ctx->forming)
		return ctx->joining ? "joining" : "forming";
	return "entry";
}

static const char *member_state(const Dsp__RaftConfig *config,
				const Dsp__Member *member)
{
	if (member->voter)
		return "voter";
	for (size_t i = 0; i < config->n_members; i++)
		if (config->members[i]->voter &&
		    !strcmp(config->members[i]->node, member->node))
			return "learner, replaces the old replica";
	return "learner";
}

static json_t *replicas_json(struct ctl *ctx)
{
	const Dsp__RaftConfig *config = known_config(ctx);
	json_t *list = json_array();

	for (size_t i = 0; config && i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];
		json_t *row = json_pack("{so ss ss ss}", "replica",
					id_json(m->replica), "instance",
					m->node, "site", m->site, "state",
					member_state(config, m));

		if (ctl_raft_is_leader(ctx))
			json_object_set_new(
				row, "match",
				json_integer((json_int_t)raft_match_index(
					ctx->raft, m->replica)));
		json_array_append_new(list, row);
	}
	return list;
}

/* Lists the repairs in progress. Each has a learner until its last step is
 * committed. */
static json_t *repairs_json(struct ctl *ctx)
{
	const Dsp__RaftConfig *config = known_config(ctx);
	json_t *list = json_array();
	GHashTableIter iter;
	struct ctl_join *join;

	for (size_t i = 0; config && i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];

		if (!m->voter)
			json_array_append_new(
				list, json_pack("{ss so ss}", "instance",
						m->node, "replica",
						id_json(m->replica), "step",
						ctx->ready_leader
							? ctl_rule_repair_name(
								  ctx->repair)
							: "running"));
	}
	if (ctx->raft && raft_config_pending(ctx->raft) &&
	    !json_array_size(list))
		json_array_append_new(
			list, json_pack("{ss}", "step", "commit_change"));
	g_hash_table_iter_init(&iter, ctx->joins);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&join))
		json_array_append_new(list,
				      json_pack("{ss so ss}", "instance",
						join->member->node, "replica",
						id_json(join->member->replica),
						"step", "wait"));
	return list;
}

/* Returns the index of the view that an instance is known to have installed;
 * 0: unknown. */
static uint64_t installed_index(struct ctl *ctx, const Dsp__Node *node)
{
	const struct ctl_member *m;

	if (!strcmp(node->id, ctx->set->id))
		return view_index(ctx->view);
	if (!ctx->ready_leader)
		return 0;
	m = g_hash_table_lookup(ctx->members, node->id);
	return m && m->heard_us ? m->view_index : 0;
}

/* Returns for each site whether all of its instances that are up have installed
 * the document. */
static json_t *in_force_json(struct ctl *ctx, const Dsp__Document *document)
{
	json_t *sites = json_object();

	for (size_t i = 0; i < view_n_nodes(ctx->view); i++) {
		const Dsp__Node *node = view_node_at(ctx->view, i);
		bool has_it = installed_index(ctx, node) >= document->index;

		if (node->down)
			continue;
		if (!has_it || !json_object_get(sites, node->site))
			json_object_set_new(sites, node->site,
					    json_boolean(has_it));
	}
	return sites;
}

static json_t *documents_json(struct ctl *ctx)
{
	json_t *list = json_array();

	for (size_t i = 0; i < view_n_documents(ctx->view); i++) {
		const Dsp__Document *d =
			view_document_at(ctx->view, i)->document;
		json_t *row = json_pack("{ss sI sI}", "team", d->team, "number",
					(json_int_t)d->number, "index",
					(json_int_t)d->index);

		/* Only the leader gets reports of all instances. */
		if (ctx->ready_leader)
			json_object_set_new(row, "in_force",
					    in_force_json(ctx, d));
		json_array_append_new(list, row);
	}
	return list;
}

static json_t *model_json(struct ctl *ctx, const char *team, const char *model,
			  const char *adapter)
{
	int copies = 0;
	int ready = 0;

	for (size_t i = 0; i < view_n_endpoints(ctx->view); i++) {
		const Dsp__Endpoint *e = view_endpoint_at(ctx->view, i);

		if (e->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN ||
		    strcmp(e->team, team))
			continue;
		for (size_t k = 0; k < e->n_copies; k++) {
			const Dsp__Copy *copy = e->copies[k];

			if (strcmp(copy->model, model) ||
			    strcmp(copy->adapter, adapter))
				continue;
			copies++;
			ready += copy->ready && !copy->unloading;
		}
	}
	return json_pack("{ss ss ss si si}", "team", team, "model", model,
			 "adapter", adapter, "copies", copies, "ready", ready);
}

static json_t *models_json(struct ctl *ctx)
{
	json_t *list = json_array();

	for (size_t i = 0; i < view_n_documents(ctx->view); i++) {
		const struct doc *doc = view_document_at(ctx->view, i)->parsed;

		for (size_t k = 0; doc && k < doc->n_models; k++)
			json_array_append_new(
				list, model_json(ctx, doc->team,
						 doc->models[k].name, ""));
		for (size_t k = 0; doc && k < doc->n_adapters; k++)
			json_array_append_new(
				list, model_json(ctx, doc->team,
						 doc->adapters[k].model,
						 doc->adapters[k].name));
	}
	return list;
}

/* Lists the instances. One has installed a document when its view index is at
 * least the document's index; the leader knows view indexes from reports. */
static json_t *instances_json(struct ctl *ctx)
{
	json_t *list = json_array();

	for (size_t i = 0; i < view_n_nodes(ctx->view); i++) {
		const Dsp__Node *node = view_node_at(ctx->view, i);
		const struct ctl_member *m =
			ctx->ready_leader
				? g_hash_table_lookup(ctx->members, node->id)
				: NULL;
		const char *state = node->draining ? "draining" : "up";
		uint64_t installed = installed_index(ctx, node);
		json_t *row =
			json_pack("{ss ss ss ss ss}", "instance", node->id,
				  "site", node->site, "region", node->region,
				  "address", node->http_address, "state",
				  node->down ? "down" : state);

		if (installed)
			json_object_set_new(
				row, "view_index",
				json_integer((json_int_t)installed));
		if (m && m->heard_us) {
			json_object_set_new(row, "streams",
					    json_integer(m->streams));
			json_object_set_new(row, "confirmed_age_ms",
					    json_integer(m->confirmed_age_ms));
		}
		json_array_append_new(list, row);
	}
	return list;
}

static json_t *endpoints_json(struct ctl *ctx)
{
	static const char *const states[] = { "up", "leaving", "down" };
	json_t *list = json_array();

	for (size_t i = 0; i < view_n_endpoints(ctx->view); i++) {
		const Dsp__Endpoint *e = view_endpoint_at(ctx->view, i);
		size_t ready = 0;

		for (size_t k = 0; k < e->n_copies; k++)
			ready += e->copies[k]->ready;
		json_array_append_new(
			list,
			json_pack("{ss ss ss ss ss ss si si}", "endpoint",
				  e->id, "site", e->site, "team", e->team,
				  "service", e->service, "address", e->address,
				  "state", states[e->state % 3], "copies",
				  (int)e->n_copies, "ready", (int)ready));
	}
	return list;
}

static json_t *orders_json(struct ctl *ctx)
{
	static const char *const kinds[] = { "load", "unload", "role",
					     "fence" };
	json_t *list = json_array();
	const Dsp__Order **orders;
	size_t n;

	if (!ctx->raft)
		return list;
	n = st_orders_pending(ctx->st, &orders);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{sI ss ss ss ss}", "order",
					(json_int_t)orders[i]->id, "endpoint",
					orders[i]->endpoint, "kind",
					kinds[orders[i]->kind % 4], "model",
					orders[i]->model, "adapter",
					orders[i]->adapter));
	g_free(orders);
	return list;
}

/* Customers without their keys. */
static json_t *customers_json(const Dsp__Customers *customers)
{
	json_t *list = json_array();

	for (size_t i = 0; i < customers->n_all; i++) {
		const Dsp__Customer *c = customers->all[i];
		json_t *row =
			json_pack("{ss sI sf sf ss}", "customer", c->name,
				  "keys", (json_int_t)c->n_key_digests, "rate",
				  c->rate, "burst", c->burst, "unit",
				  c->counts_tokens ? "token" : "request");

		if (c->has_rank)
			json_object_set_new(row, "rank", json_integer(c->rank));
		json_array_append_new(list, row);
	}
	return list;
}

static const char *http_address_of(struct ctl *ctx, const char *id)
{
	const Dsp__Node *node = id ? view_node(ctx->view, id) : NULL;

	return node ? node->http_address : "";
}

/* Returns the state of this instance and what it knows of the system as JSON;
 * the caller frees it with g_free(). */
char *ctl_status_build(struct ctl *ctx)
{
	const Dsp__RouteTable *table = view_route_table(ctx->view);
	struct ctl_state state = ctl_state(ctx);
	json_t *root = json_pack(
		"{ss ss ss ss sI ss sI ss ss sI so so so so so so so}",
		"instance", ctx->set->id, "site", ctx->set->site, "region",
		ctx->set->region ? ctx->set->region : "", "readiness",
		readiness_names[state.readiness], "stale_ms",
		(json_int_t)state.stale_us / 1000, "role", role_of(ctx), "term",
		(json_int_t)(ctx->raft ? raft_term(ctx->raft) : ctx->term),
		"leader", ctx->leader_node ? ctx->leader_node : "",
		"leader_http", http_address_of(ctx, ctx->leader_node),
		"view_index", (json_int_t)view_index(ctx->view), "documents",
		documents_json(ctx), "replicas", replicas_json(ctx), "repairs",
		repairs_json(ctx), "instances", instances_json(ctx),
		"endpoints", endpoints_json(ctx), "models", models_json(ctx),
		"orders", orders_json(ctx));
	char *dump;
	char *text;

	if (table && table->customers)
		json_object_set_new(root, "customers",
				    customers_json(table->customers));
	if (ctl_raft_is_leader(ctx))
		json_object_set_new(
			root, "stalled_ms",
			json_integer((json_int_t)(ctl_watch_stalled_us(ctx) /
						  1000)));
	if (ctx->raft) {
		json_object_set_new(root, "replica", id_json(ctx->replica));
		json_object_set_new(root, "group", id_json(ctx->group));
		json_object_set_new(
			root, "applied_index",
			json_integer((json_int_t)ctx->applied_index));
	}
	dump = json_dumps(root, JSON_COMPACT);
	text = g_strdup(dump);
	free(dump);
	json_decref(root);
	return text;
}

static void gauge(struct ctl *ctx, const char *name, uint64_t value)
{
	met_gauge(ctx->met, name, "", (int64_t)value);
}

static void set_part_gauges(struct ctl *ctx)
{
	size_t quarantined = 0;
	size_t all = 0;

	for (size_t i = 0; i < view_n_suspects(ctx->view); i++) {
		const Dsp__Suspect *s = view_suspect_at(ctx->view, i);

		all += s->part;
		quarantined += s->part && s->quarantined;
	}
	gauge(ctx, "dandelionspar_parts_suspected", all);
	gauge(ctx, "dandelionspar_parts_quarantined", quarantined);
}

/* Updates the control thread's gauges if METRICS_INTERVAL_US has passed. */
void ctl_status_metrics(struct ctl *ctx)
{
	if (!ctx->met || ctx->now_us < ctx->metrics_due_us)
		return;
	ctx->metrics_due_us = ctx->now_us + METRICS_INTERVAL_US;
	ctl_quota_metrics(ctx);
	ctl_step_metrics(ctx);
	gauge(ctx, "dandelionspar_net_sent_bytes", net_bytes_sent(ctx->net));
	gauge(ctx, "dandelionspar_net_received_bytes",
	      net_bytes_received(ctx->net));
	gauge(ctx, "dandelionspar_net_malformed", net_malformed(ctx->net));
	gauge(ctx, "dandelionspar_net_dropped", net_dropped(ctx->net));
	gauge(ctx, "dandelionspar_net_reports_shed", net_shed(ctx->net));
	gauge(ctx, "dandelionspar_net_resets", net_resets(ctx->net));
	gauge(ctx, "dandelionspar_net_probes", net_probes(ctx->net));
	gauge(ctx, "dandelionspar_updates_packed", ctx->updates_packed);
	gauge(ctx, "dandelionspar_updates_sent", ctx->updates_sent);
	gauge(ctx, "dandelionspar_update_rounds", ctx->update_rounds);
	gauge(ctx, "dandelionspar_observed_loads",
	      occ_size(ctx->observed_down));
	gauge(ctx, "dandelionspar_view_index", view_index(ctx->view));
	gauge(ctx, "dandelionspar_view_age_ms", ctl_confirmed_age_ms(ctx));
	set_part_gauges(ctx);
	gauge(ctx, "dandelionspar_leader", ctx->ready_leader);
	gauge(ctx, "dandelionspar_disk_failed", ctx->disk_failed);
	if (!ctx->raft)
		return;
	gauge(ctx, "dandelionspar_raft_term", raft_term(ctx->raft));
	gauge(ctx, "dandelionspar_raft_commit_index",
	      raft_commit_index(ctx->raft));
	gauge(ctx, "dandelionspar_raft_applied_index", ctx->applied_index);
	gauge(ctx, "dandelionspar_group_stalled_ms",
	      (uint64_t)ctl_watch_stalled_us(ctx) / 1000);
	gauge(ctx, "dandelionspar_log_bytes", sto_log_bytes(ctx->sto));
	gauge(ctx, "dandelionspar_log_syncs", sto_syncs(ctx->sto));
	if (ctx->plc)
		gauge(ctx, "dandelionspar_moves_planned", plc_moves(ctx->plc));
}
