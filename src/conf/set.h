#ifndef CONF_SET_H
#define CONF_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Settings of one instance. All strings are owned. */

struct set_peer {
	char *id;      /* instance id */
	char *address; /* tcp://IP:PORT of its internal socket */
	char *via;     /* connect to this instead of address; NULL: no */
	char *site;
	bool control; /* initial voter */
};

/* Addresses and bounds of the event-driven traffic layer (src/edge). */
struct set_edge {
	char *front;	 /* IP:PORT for callers; NULL: none */
	char *ready;	 /* IP:PORT for readiness checks; NULL: none */
	char *directory; /* IP:PORT for entry lists; NULL: none */
	char *control;	 /* IP:PORT for endpoints and operators; NULL: none */
	char *metrics;	 /* IP:PORT; NULL: none */
	uint32_t entry_validity_s;
	uint32_t drain_limit_ms; /* from the signal to the end of the process */
	uint32_t start_wait_ms;	 /* requests wait so long for the first view */
	double repeat_ratio; /* repeats for each request, over all instances */
	uint32_t repeat_window_s;
	uint32_t repeat_extra;	 /* repeats in a window without requests */
	uint32_t order_lease_ms; /* between orders of two leaders */
	double store_excess;	 /* loads over the store's rate, as a factor */
};

struct set {
	char *id;
	char *site;
	char *region;
	bool control;		  /* control role; needs data_folder */
	char *data_folder;	  /* NULL: none */
	char *internal_listen;	  /* tcp://IP:PORT */
	char *http_listen;	  /* IP:PORT */
	char *http_advertise;	  /* IP:PORT that callers use */
	char *internal_advertise; /* tcp://IP:PORT that instances use */
	char *log_level;
	uint32_t weight;	/* relative capacity, 100 is usual */
	struct set_peer *peers; /* all initial voters, and self if control */
	size_t n_peers;
	bool seeded;	 /* peers are seeds: addresses without ids */
	uint32_t voters; /* of the group, as far as there are replicas */
	uint32_t losses; /* disks that may be lost at once; bounds voters */
	bool bootstrap;	 /* the whole system starts for the first time */
	bool has_edge;
	struct set_edge edge;
	/* [limits] */
	uint32_t body_bytes_max;
	uint32_t header_bytes_max;
	uint32_t requests_max;	/* concurrent */
	uint32_t queue_max;	/* waiting, each class */
	uint32_t memory_mb_max; /* bodies and answers held */
	uint32_t claims_max;
	uint32_t claim_bodies_mb;
	uint32_t stale_limit_s;
	/* [timing] */
	uint32_t election_timeout_ms;
	uint32_t heartbeat_ms;
	uint32_t report_interval_ms;
	uint32_t endpoint_lease_ms;
	uint32_t node_lease_ms;
	uint32_t isolated_after_ms;
	uint32_t entry_validity_s;
	uint32_t answer_retention_s;
	uint32_t silence_limit_ms; /* between bytes of an endpoint's answer */
	uint32_t drain_limit_s;	   /* longest graceful stop; 0: no limit */
};

/* As doc_parse(), for a settings file. */
struct set *set_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults);
void set_free(struct set *ctx);

#endif
