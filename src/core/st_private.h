#ifndef CORE_ST_PRIVATE_H
#define CORE_ST_PRIVATE_H

#include <glib.h>
#include <sys/queue.h>

#include "conf/doc.h"
#include "core/st.h"

/*
 * Internals of the state machine, for its own files only:
 * st (state): dispatch of commands, documents, endpoints, snapshots, views;
 * ord (orders): load and unload orders, and the accelerator memory that they
 * reserve;
 * clm (claims): which attempt runs a request that must run at most once;
 * qua (quarantine): requests and prompt parts during which endpoints crashed.
 */

#define ST_DIGEST_LEN 16

/*
 * Tombstones kept for incremental view updates. A reader that is further
 * behind receives the whole view.
 */
#define ST_TOMBSTONES_MAX 4096

/*
 * Entry of the change list, from which view updates are built: a record of the
 * view, or a tombstone (msg NULL).
 */
struct item {
	TAILQ_ENTRY(item) link; /* st.items, ordered by index */
	uint64_t index;		/* log index of the last change */
	uint32_t kind;		/* Dsp__ViewRecord__BodyCase */
	const char *key;	/* owned by the record */
	const ProtobufCMessage *msg;
};

struct tombstone {
	struct item item; /* first */
	TAILQ_ENTRY(tombstone) link;
	char *id; /* kind and key */
	char *key;
};

struct history_entry {
	uint64_t number;
	uint64_t index;
	uint8_t digest[ST_DIGEST_LEN];
};

struct document {
	struct item item;
	TAILQ_ENTRY(document) link;
	Dsp__Document *msg;
	struct doc *parsed;
	GArray *history; /* struct history_entry, oldest first */
};

struct order {
	TAILQ_ENTRY(order) link;	  /* st.pending or st.finished */
	TAILQ_ENTRY(order) endpoint_link; /* endpoint.pending */
	Dsp__Order *msg;
	struct endpoint *endpoint; /* NULL once finished */
	/* Loads and unloads; NULL once finished. */
	struct reservation *reservation;
};
TAILQ_HEAD(order_list, order);

/*
 * Memory reserved for one copy of a model or adapter on a range of consecutive
 * accelerators of an endpoint. It is counted in endpoint.used_mb while the copy
 * is resident or a load of it may still be executed. See message Reservation
 * for the fields with the same names.
 */
struct reservation {
	/* endpoint.reservations or retired_incarnation.reservations */
	TAILQ_ENTRY(reservation) link;
	/* model_reservations.reservations; adapters are not listed there */
	TAILQ_ENTRY(reservation) model_link;
	struct reservation *next_span; /* same key, other accelerators */
	struct endpoint *endpoint;
	struct model_reservations *model_group; /* NULL for adapters */
	char *model;
	char *version;
	char *adapter;
	uint32_t first;
	uint32_t accelerators;
	uint32_t memory_mb; /* per accelerator; max of loads and reports */
	uint32_t pending_loads;
	uint32_t pending_unloads;
	uint64_t order;
	uint64_t repeatable; /* order id; 0: none */
	uint64_t last_load;
	uint64_t last_finish;
	bool resident;
	bool listed;
	bool ready;
	bool unloading;
	bool counted;
};
TAILQ_HEAD(reservation_list, reservation);

/* Reservations for one model of one team on all endpoints. */
struct model_reservations {
	char *key;
	struct reservation_list reservations;
};

/*
 * Reservations of an incarnation that was replaced. A delayed announcement of a
 * process that has ended can replace the incarnation that is still running;
 * when the running one announces itself again, its reservations are restored.
 */
struct retired_incarnation {
	/* endpoint.retired, oldest first */
	TAILQ_ENTRY(retired_incarnation) link;
	uint64_t incarnation;
	uint64_t fence;
	struct reservation_list reservations;
};

struct endpoint {
	struct item item;
	TAILQ_ENTRY(endpoint) link;
	Dsp__Endpoint *msg;
	GArray *old_incarnations; /* uint64_t, oldest first; none of retired */
	TAILQ_HEAD(, retired_incarnation) retired;
	uint32_t n_retired;
	uint64_t fence;	      /* highest order id that the engine has seen */
	uint64_t down_ms;     /* when it went down; 0: not down */
	uint64_t software_ms; /* when msg->software_before grew last */
	bool leaving;	      /* never reset within an incarnation */
	bool ever_loaded;
	uint64_t *used_mb; /* per accelerator */
	uint32_t n_used;   /* largest accelerator count of all incarnations */
	struct reservation_list reservations;
	struct order_list pending;
	struct suspect *running; /* suspect with a grant for it, or NULL */
};

struct node {
	struct item item;
	TAILQ_ENTRY(node) link;
	Dsp__Node *msg;
	GArray *old_boots; /* uint64_t, oldest first */
	uint64_t down_ms;
};

struct suspect {
	struct item item;
	/* st.suspects, ordered by since_ms, or st.parts, ordered by first_ms */
	TAILQ_ENTRY(suspect) link;
	Dsp__Suspect *msg;
	char key[2 * ST_DIGEST_LEN + 1];
};

struct st {
	struct st_limits limits;
	uint64_t index;
	uint64_t wall_ms;
	uint64_t previous_wall_ms; /* before the current command */

	TAILQ_HEAD(item_list, item) items;
	TAILQ_HEAD(, tombstone) tombstones; /* oldest first */
	GHashTable *tombstone_by_id;
	size_t n_tombstones;
	uint64_t tombstone_floor;

	TAILQ_HEAD(, document) documents;
	GHashTable *document_by_team;
	uint32_t parallel_loads_max; /* lowest of all documents; 0: none */
	uint32_t adapters_max;

	TAILQ_HEAD(, endpoint) endpoints;
	GHashTable *endpoint_by_id;
	GHashTable *endpoints_by_address; /* owned address -> GPtrArray */
	TAILQ_HEAD(, node) nodes;
	GHashTable *node_by_id;

	struct order_list pending;  /* by id */
	struct order_list finished; /* in the order of finishing */
	size_t n_finished;
	GHashTable *order_by_id;
	GHashTable *reservation_by_key; /* first one of each key */
	GHashTable *model_by_key;	/* struct model_reservations */
	uint32_t loads_in_transit;	/* pending, endpoint not down */
	uint32_t adapters_in_transit;

	TAILQ_HEAD(suspect_list, suspect) suspects; /* requests */
	struct suspect_list parts;
	GHashTable *suspect_by_key; /* both */
	size_t n_suspects;
	size_t n_parts;
	uint64_t parts_due_ms; /* derived: when a part changes by itself */

	TAILQ_HEAD(, stream) streams; /* oldest first */
	GHashTable *stream_by_digest;

	struct clm *claims;

	struct item table_item;
	struct tbl *tbl;	      /* NULL: none yet */
	const Dsp__RouteTable *table; /* of tbl */
	ProtobufCBinaryData table_source;
};

/* st.c */
Dsp__CommandResult *st_result(const struct st *ctx, Dsp__ResultCode code,
			      const char *message);
void st_replace_string(char **field, const char *value);
bool st_crossed_interval(const struct st *ctx, uint64_t interval_ms);
bool st_is_identifier(const char *text);
void st_clear(struct st *ctx);
void st_init(struct st *ctx);

/* st_view.c */
void item_touch(struct st *ctx, struct item *item);
void item_insert(struct st *ctx, struct item *item, uint32_t kind,
		 const char *key, const void *msg, uint64_t index);
void item_remove(struct st *ctx, struct item *item, bool leave_tombstone);
void tombstone_add(struct st *ctx, uint32_t kind, const char *key,
		   uint64_t index);
void tombstones_clear(struct st *ctx);
void items_sort(struct st *ctx);

/* st_doc.c */
Dsp__CommandResult *document_put(struct st *ctx, const Dsp__DocumentPut *cmd);
bool document_restore(struct st *ctx, const Dsp__Document *msg);
bool document_history_restore(struct st *ctx, const Dsp__DocumentHistory *msg);
void documents_clear(struct st *ctx);
const struct doc *document_parsed(const struct st *ctx, const char *team);

/* st_table.c */
Dsp__CommandResult *table_put(struct st *ctx, const Dsp__RouteTablePut *cmd);
Dsp__CommandResult *table_change_put(struct st *ctx,
				     const Dsp__RouteTableChangePut *cmd);
Dsp__CommandResult *table_get(const struct st *ctx);
void table_restore(struct st *ctx, const Dsp__RouteTable *table);
void table_clear(struct st *ctx);

/* st_endpoint.c */
Dsp__CommandResult *endpoint_put(struct st *ctx, const Dsp__EndpointPut *cmd);
Dsp__CommandResult *endpoint_down(struct st *ctx, const Dsp__EndpointDown *cmd);
void endpoints_expire(struct st *ctx);
struct endpoint *endpoint_find(const struct st *ctx, const char *id);
struct endpoint *endpoint_new(struct st *ctx, const Dsp__Endpoint *msg,
			      uint64_t index);
void endpoints_clear(struct st *ctx);
Dsp__CommandResult *node_put(struct st *ctx, const Dsp__NodePut *cmd);
Dsp__CommandResult *node_down(struct st *ctx, const Dsp__NodeDown *cmd);
struct node *node_find(const struct st *ctx, const char *id);
struct node *node_new(struct st *ctx, const Dsp__Node *msg, uint64_t index);
void nodes_expire(struct st *ctx);
void nodes_clear(struct st *ctx);

/* ord.c */
Dsp__CommandResult *ord_create(struct st *ctx, const Dsp__OrderCreate *cmd);
Dsp__CommandResult *ord_finish(struct st *ctx, const Dsp__OrderFinish *cmd);
Dsp__CommandResult *ord_report(struct st *ctx, const Dsp__ResidencyReport *cmd);
void ord_restart(struct st *ctx, struct endpoint *ep);
struct retired_incarnation *ord_retire(struct st *ctx, struct endpoint *ep);
void ord_reinstate(struct st *ctx, struct endpoint *ep,
		   struct retired_incarnation *old);
struct retired_incarnation *retired_new(struct endpoint *ep,
					uint64_t incarnation);
void retired_free(struct endpoint *ep, struct retired_incarnation *old);
void ord_set_initial_copies(struct st *ctx, struct endpoint *ep,
			    Dsp__Copy **copies, size_t n_copies);
void ord_count_transit(struct st *ctx, const struct endpoint *ep, bool add);
bool ord_refresh_copies(struct st *ctx, struct endpoint *ep);
bool ord_has_reservations(const struct endpoint *ep);
bool ord_restore_reservation(struct st *ctx, const Dsp__Reservation *msg);
bool ord_restore_order(struct st *ctx, const Dsp__Order *msg);
void ord_free_reservations(struct st *ctx, struct endpoint *ep);
void ord_clear(struct st *ctx);
guint reservation_key_hash(gconstpointer p);
gboolean reservation_key_equal(gconstpointer a, gconstpointer b);
void model_reservations_free(gpointer p);

/* qua.c */
Dsp__CommandResult *qua_crash(struct st *ctx, const Dsp__CrashReport *cmd);
Dsp__CommandResult *qua_run(struct st *ctx, const Dsp__SuspectRun *cmd);
Dsp__CommandResult *qua_done(struct st *ctx, const Dsp__SuspectDone *cmd);
void qua_endpoint_restarted(struct st *ctx, struct endpoint *ep);
void qua_expire(struct st *ctx);
bool qua_restore(struct st *ctx, const Dsp__Suspect *msg, uint64_t index);
void qua_clear(struct st *ctx);
struct suspect *qua_find(const struct st *ctx,
			 const ProtobufCBinaryData *digest);
struct suspect *qua_add(struct st *ctx, Dsp__Suspect *msg, uint64_t index);
void qua_remove(struct st *ctx, struct suspect *s, bool leave_tombstone);
void qua_end_grant(struct st *ctx, struct suspect *s);

/* qua_part.c */
Dsp__CommandResult *qua_part_evidence(struct st *ctx,
				      const Dsp__PartEvidence *cmd);
struct suspect *qua_part_suspect(struct st *ctx,
				 const ProtobufCBinaryData *digest);
void qua_part_granted(struct st *ctx, struct suspect *s);
void qua_part_clear(struct st *ctx, struct suspect *s);
void qua_part_failed(struct st *ctx, struct suspect *s);
void qua_part_expire(struct st *ctx);
void qua_part_schedule(struct st *ctx);

/* st_stream.c */
Dsp__CommandResult *streams_begun(struct st *ctx, const Dsp__StreamsBegun *cmd);
void streams_expire(struct st *ctx);
void streams_visit(const struct st *ctx,
		   void (*visit)(void *data, const Dsp__StreamGroup *group),
		   void *data);
void streams_restore(struct st *ctx, const Dsp__StreamGroup *group);
void streams_clear(struct st *ctx);

/* clm.c */
struct clm *clm_new(const struct st_limits *limits);
void clm_free(struct clm *ctx);
void clm_expire(struct clm *ctx, uint64_t wall_ms);
void clm_owner_failed(struct clm *ctx, const char *node, uint64_t boot,
		      uint64_t wall_ms);
Dsp__CommandResult *clm_create(struct st *ctx, const Dsp__ClaimCreate *cmd);
Dsp__CommandResult *clm_finish(struct st *ctx, const Dsp__ClaimFinish *cmd);
Dsp__CommandResult *clm_get(struct st *ctx, const Dsp__ClaimGet *cmd);
void clm_release_queries(struct clm *ctx);
void clm_visit(const struct clm *ctx,
	       void (*visit)(void *data, const Dsp__Claim *claim), void *data);
bool clm_restore(struct clm *ctx, const Dsp__Claim *claim);
const Dsp__Claim *clm_query(const struct clm *ctx, const char *team,
			    const char *request_id);
size_t clm_query_open(const struct clm *ctx, const Dsp__Claim ***out);

#endif
