#ifndef STORE_STO_H
#define STORE_STO_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Durable log, snapshots and replica identity in one data folder. One thread
 * (the control thread). A file counts only after sto_sync().
 */
struct sto;

#define STO_ERROR sto_error_quark()
enum sto_error {
	STO_ERROR_IO,	   /* open, write or sync failed */
	STO_ERROR_FULL,	   /* no space left */
	STO_ERROR_DAMAGED, /* a record before the tail is damaged */
	STO_ERROR_LOCKED,  /* another process uses the folder */
};
GQuark sto_error_quark(void);

/* What was found at open; owned by sto, valid until sto_close(). */
struct sto_content {
	uint64_t replica; /* random identity, created with an empty folder */
	bool fresh;	  /* the folder was empty */
	uint64_t group;	  /* 0: not yet a member of a group */
	uint64_t term;
	uint64_t voted_for;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	Dsp__RaftConfig *config; /* of the snapshot or of formation */
	const uint8_t *snapshot; /* NULL: none */
	size_t snapshot_len;
	Dsp__LogEntry **entries;
	size_t n_entries;
};

struct sto *sto_open(const char *folder, GError **err);
void sto_close(struct sto *ctx);
const struct sto_content *sto_content(const struct sto *ctx);
/* Optional, saves memory: the caller has copied entries and snapshot. */
void sto_drop_content(struct sto *ctx);

/* Commands; false with err set on failure, after which the store refuses all
 * further writes. */
bool sto_set_group(struct sto *ctx, uint64_t group,
		   const Dsp__RaftConfig *config, GError **err);
bool sto_write_hard_state(struct sto *ctx, uint64_t term, uint64_t voted_for,
			  GError **err);
bool sto_truncate_from(struct sto *ctx, uint64_t index, GError **err);
bool sto_append(struct sto *ctx, Dsp__LogEntry *const *entries, size_t n,
		GError **err);
bool sto_sync(struct sto *ctx, GError **err);
bool sto_write_snapshot(struct sto *ctx, uint64_t index, uint64_t term,
			const Dsp__RaftConfig *config, const uint8_t *data,
			size_t len, GError **err);

/* Queries. */
uint64_t sto_log_bytes(const struct sto *ctx);
uint64_t sto_syncs(const struct sto *ctx);
bool sto_sync_failed(const struct sto *ctx);

#endif
