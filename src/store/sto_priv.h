#ifndef STORE_STO_PRIV_H
#define STORE_STO_PRIV_H

#include <sys/queue.h>
#include <sys/types.h>

#include "store/sto.h"

/*
 * Folder contents:
 *   lock              locked while the store is open
 *   identity          replica, group, initial configuration
 *   SEQUENCE.log      log segments, numbered consecutively
 *   INDEX-TERM.snap   the newest snapshot
 *   *.tmp             unfinished file; removed at open
 *
 * A segment consists of a header and frames. A frame holds the records between
 * two syncs and is written at once; it starts at a multiple of 8 bytes. Each
 * frame stores the offset up to which the segment was synced when the frame was
 * written. An invalid frame below that offset of any later frame was synced
 * before, so the file is damaged; any other invalid frame is a torn write that
 * was never acknowledged. After each sync an empty frame (marker), which is not
 * synced itself, records that the frame before it was synced. Integers are
 * little-endian; other hosts are not supported.
 */
#if __BYTE_ORDER__ != __ORDER_LITTLE_ENDIAN__
#error "the files are little-endian"
#endif

#define STO_SEGMENT_MAGIC 0x31474f4c50534444ULL
#define STO_FRAME_MAGIC 0x4d415246U
#define STO_FILE_MAGIC 0x31454c4950534444ULL
#define STO_FRAME_ALIGN 8
#define STO_NAME_MAX 64

struct sto_segment_header {
	uint64_t magic;
	uint64_t sequence;
	uint64_t replica;
	uint64_t term; /* hard state at creation */
	uint64_t voted_for;
	uint64_t previous_end;	/* synced bytes of the previous segment */
	uint64_t last_index;	/* last entry of the segments before */
	uint64_t discard_older; /* 1: ignore entries of earlier segments */
	uint64_t checksum;
};

struct sto_frame_header {
	uint32_t magic;
	uint32_t len;	    /* bytes of records, without padding */
	uint64_t synced_to; /* offset in this segment */
	uint64_t checksum;  /* of the rest; seed: see sto_frame_checksum() */
};

enum sto_record_type {
	STO_RECORD_HARD_STATE = 1, /* term, voted_for */
	STO_RECORD_ENTRY = 2,	   /* packed LogEntry */
	STO_RECORD_TRUNCATE = 3,   /* index */
};

struct sto_record_header {
	uint32_t len;
	uint32_t type;
};

/* Identity and snapshot files: header, packed configuration, data. */
struct sto_file_header {
	uint64_t magic;
	uint64_t replica;
	uint64_t group_or_index; /* identity: group; snapshot: index */
	uint64_t snapshot_term;
	uint64_t config_len;
	uint64_t data_len;
	uint64_t checksum; /* of everything else */
};

struct sto_segment {
	TAILQ_ENTRY(sto_segment) link;
	uint64_t sequence;
	uint64_t last_index; /* highest index of an entry in it; 0: none */
};
TAILQ_HEAD(sto_segments, sto_segment);

struct sto_entry_info {
	uint64_t term;
	uint64_t size; /* bytes in the log */
};

struct sto_buffer {
	uint8_t *data;
	size_t len;
	size_t capacity;
};

struct sto {
	int folder_fd;
	int lock_fd;
	struct sto_content content;
	uint8_t *snapshot_file; /* holds content.snapshot */
	uint64_t term;
	uint64_t voted_for;
	uint64_t snapshot_index;
	uint64_t snapshot_term;

	struct sto_segments segments;
	int fd;		 /* last segment, open for writing */
	uint64_t end;	 /* offset for the next frame */
	uint64_t synced; /* offset up to which it is synced */

	struct sto_entry_info *entries; /* after snapshot_index */
	size_t n_entries;
	size_t entries_capacity;

	struct sto_buffer buffer; /* frame header and records to write */
	uint64_t log_bytes;
	uint64_t syncs;
	GError *failure; /* the first failure; the store stays unusable */
	bool sync_failed;
};

/* System calls, which tests replace to inject failures. */
struct sto_io {
	ssize_t (*pwrite)(int fd, const void *data, size_t len, off_t offset);
	int (*fdatasync)(int fd);
	int (*fsync)(int fd);
	int (*renameat)(int from_folder, const char *from, int to_folder,
			const char *to);
};
extern struct sto_io sto_io;

/* sto_file.c */
void sto_set_error(GError **err, const char *what, const char *name, int code);
void sto_set_damaged(GError **err, const char *name, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
bool sto_pwrite_all(int fd, const char *name, const void *data, size_t len,
		    uint64_t offset, GError **err);
uint8_t *sto_read_file(int folder, const char *name, size_t *len, GError **err);
bool sto_write_file(int folder, const char *name, const void *const *parts,
		    const size_t *lens, size_t n, GError **err);
bool sto_write_record_file(int folder, const char *name,
			   const struct sto_file_header *header,
			   const Dsp__RaftConfig *config, const uint8_t *data,
			   size_t len, GError **err);
bool sto_parse_record_file(const char *name, const uint8_t *file, size_t len,
			   struct sto_file_header *header,
			   Dsp__RaftConfig **config, GError **err);

/* sto_read.c */
void sto_segment_name(uint64_t sequence, char name[STO_NAME_MAX]);
uint64_t sto_segment_checksum(const struct sto_segment_header *header);
uint64_t sto_frame_checksum(const struct sto *ctx, uint64_t sequence,
			    uint64_t offset, const uint8_t *frame, size_t len);
bool sto_read_folder(struct sto *ctx, bool *discard, GError **err);

/* sto.c */
bool sto_new_segment(struct sto *ctx, bool discard_older, GError **err);

#endif
