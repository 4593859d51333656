#ifndef CONF_SET_H
#define CONF_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Settings (set): the TOML file of one instance, parsed and validated. All
 * strings are owned by the settings.
 */

struct set_peer {
	char *id;      /* of the instance; empty for a seed */
	char *address; /* tcp://IP:PORT of its internal socket */
	char *via;     /* tcp://IP:PORT to connect to; NULL: address */
	char *site;
	bool control; /* initial voter */
};

/* Listeners and limits of the event-driven traffic layer (src/edge). */
struct set_edge {
	char *front;	 /* IP:PORT for callers; NULL: none */
	char *ready;	 /* IP:PORT for readiness checks; NULL: none */
	char *directory; /* IP:PORT for entry lists; NULL: none */
	char *control;	 /* IP:PORT for endpoints and operators; NULL: none */
	char *metrics;	 /* IP:PORT; NULL: none */
	char *announce; /* IP:PORT for endpoints that were sent here; NULL: none
			 */
	/* The port for requests of instances that do not reach an endpoint is
	 * this much above the internal one; 0: there is none. */
	uint32_t detour_offset;
	char *detour;	      /* IP:PORT of it; derived. NULL: none */
	uint32_t detour_port; /* derived; 0: none */
	uint32_t entry_validity_s;
	uint32_t drain_limit_ms; /* from the signal to the end of the process */
	uint32_t start_wait_ms;	 /* longest wait of a request for a view */
	/* Time after the acknowledgement of a table without a key from which
	 * no instance serves a request with it; 0: no such bound. */
	uint32_t key_revoke_ms;
	/* Retry budget of all instances together: repeats allowed per request,
	 * in a sliding window, plus repeat_extra in each window. */
	double repeat_ratio;
	uint32_t repeat_window_s;
	/* Time in which an instance that has started uses none of
	 * repeat_extra, and after which the others divide the part of one that
	 * has left: the window, the lease of a node and a second. */
	uint32_t repeat_settle_ms;
	uint32_t repeat_extra;
	/* Wait of a new leader before its first order while its predecessor may
	 * still send orders. */
	uint32_t order_lease_ms;
	double memory_mb; /* that the process may use */
	/* Waiting time of a request that a kilobyte between sites is worth; 0:
	 * endpoints of all sites are alike. */
	double site_ms_per_kb;
	/* Of an entry's requests, those that may leave its site at most. */
	double site_leave_share;
	/* Descriptors that the process may have, 0: the limit of the system,
	 * and those of them that others use. */
	uint32_t descriptors_max;
	uint32_t descriptors_reserved;
	/* Limit of planned loads, as a multiple of the store's loads_per_s. */
	double store_excess;
	bool prompt_pacing; /* ask coordinators for prompts, see core/pac.h */
};

struct set {
	char *id;
	char *site;
	char *region;
	bool control;		  /* runs a replica; needs data_folder */
	char *data_folder;	  /* NULL: none */
	char *internal_listen;	  /* tcp://IP:PORT */
	char *http_listen;	  /* IP:PORT */
	char *http_advertise;	  /* IP:PORT for callers */
	char *internal_advertise; /* tcp://IP:PORT for other instances */
	char *log_level;
	uint32_t weight;	/* relative capacity, 100 is usual */
	struct set_peer *peers; /* includes all initial voters */
	size_t n_peers;
	bool seeded;	 /* peers come from seeds and have no ids */
	uint32_t voters; /* wanted in the group, if there are as many */
	uint32_t losses; /* disks that may be lost at once; limits voters */
	bool bootstrap;	 /* the whole system starts for the first time */
	bool has_edge;
	struct set_edge edge;
	/* [limits] */
	uint32_t body_bytes_max;
	uint32_t header_bytes_max;
	uint32_t requests_max;	/* concurrent */
	uint32_t queue_max;	/* waiting, in each class */
	uint32_t memory_mb_max; /* for bodies and answers */
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

struct set *set_parse(const char *name, const char *text, size_t len,
		      GPtrArray *faults);
void set_free(struct set *ctx);

#endif
