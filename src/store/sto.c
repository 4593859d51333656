#include "store/sto.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/log.h"
#include "store/sto_priv.h"

/* A segment that has grown to this size is followed by a new one. */
#define SEGMENT_MAX_BYTES (16 << 20)

static void snapshot_name(uint64_t index, uint64_t term,
			  char name[STO_NAME_MAX])
{
	snprintf(name, STO_NAME_MAX, "%016llx-%016llx.snap",
		 (unsigned long long)index, (unsigned long long)term);
}

static uint64_t last_index(const struct sto *ctx)
{
	return ctx->snapshot_index + ctx->n_entries;
}

static struct sto_segment *last_segment(struct sto *ctx)
{
	return TAILQ_LAST(&ctx->segments, sto_segments);
}

/* Returns false with the first failure once there was one. */
static bool usable(struct sto *ctx, GError **err)
{
	if (!ctx->failure)
		return true;
	if (err)
		*err = g_error_copy(ctx->failure);
	return false;
}

/* Makes a failure final: after a failed write or sync it is not known what
 * reached the disk, and a second sync would not tell. */
static bool fail(struct sto *ctx, GError *cause, GError **err)
{
	ctx->failure = cause;
	LOG_EVENT_ERROR("store", "failed", "error=\"%s\"", cause->message);
	return usable(ctx, err);
}

static bool write_identity(struct sto *ctx, uint64_t group,
			   const Dsp__RaftConfig *config, GError **err)
{
	struct sto_file_header header = {
		.replica = ctx->content.replica,
		.a = group,
	};

	return sto_write_record_file(ctx->folder, "identity", &header, config,
				     NULL, 0, err);
}

static bool create_identity(struct sto *ctx, GError **err)
{
	while (!ctx->content.replica) {
		if (getrandom(&ctx->content.replica,
			      sizeof(ctx->content.replica),
			      0) != (ssize_t)sizeof(ctx->content.replica)) {
			sto_set_error(err, "cannot create", "an identity",
				      errno);
			return false;
		}
	}
	return write_identity(ctx, 0, NULL, err);
}

/* Starts the next segment; the records so far are synced. With discard_older
 * the entries of all earlier segments are void. */
bool sto_new_segment(struct sto *ctx, bool discard_older, GError **err)
{
	struct sto_segment *last = last_segment(ctx);
	struct sto_segment *segment;
	struct sto_segment_header header = {
		.magic = STO_SEGMENT_MAGIC,
		.sequence = last ? last->sequence + 1 : 1,
		.replica = ctx->content.replica,
		.term = ctx->term,
		.voted_for = ctx->voted_for,
		.previous_end = ctx->synced,
		.last_index = last_index(ctx),
		.discard_older = discard_older,
	};
	const void *part = &header;
	size_t len = sizeof(header);
	char name[STO_NAME_MAX];
	int fd;

	header.checksum = sto_segment_checksum(&header);
	sto_segment_name(header.sequence, name);
	if (!sto_write_file(ctx->folder, name, &part, &len, 1, err))
		return false;
	fd = openat(ctx->folder, name, O_WRONLY | O_CLOEXEC);
	if (fd < 0) {
		sto_set_error(err, "cannot open", name, errno);
		return false;
	}
	if (ctx->fd >= 0)
		close(ctx->fd);
	ctx->fd = fd;
	ctx->end = sizeof(header);
	ctx->synced = ctx->end;
	segment = g_new0(struct sto_segment, 1);
	segment->sequence = header.sequence;
	TAILQ_INSERT_TAIL(&ctx->segments, segment, link);
	return true;
}

/* Opens the last segment for writing. What a crash left after its last valid
 * frame is cut off, and what was read is synced: the process may have been
 * killed between its write and its sync. */
static bool open_last_segment(struct sto *ctx, GError **err)
{
	struct sto_segment *segment = last_segment(ctx);
	char name[STO_NAME_MAX];
	struct stat st;

	sto_segment_name(segment->sequence, name);
	ctx->fd = openat(ctx->folder, name, O_WRONLY | O_CLOEXEC);
	if (ctx->fd < 0 || fstat(ctx->fd, &st)) {
		sto_set_error(err, "cannot open", name, errno);
		return false;
	}
	if ((uint64_t)st.st_size > ctx->end) {
		LOG_EVENT_NOTICE("store", "torn_tail",
				 "file=%s offset=%llu bytes=%llu", name,
				 (unsigned long long)ctx->end,
				 (unsigned long long)st.st_size -
					 (unsigned long long)ctx->end);
		if (ftruncate(ctx->fd, (off_t)ctx->end)) {
			sto_set_error(err, "cannot truncate", name, errno);
			return false;
		}
	}
	if (sto_io.fsync(ctx->fd) || sto_io.fsync(ctx->folder)) {
		sto_set_error(err, "cannot sync", name, errno);
		return false;
	}
	ctx->synced = ctx->end;
	return true;
}

/* Removes the oldest segments as long as all their entries are covered by the
 * snapshot. A failure is harmless: the next snapshot tries again. */
static void remove_old_segments(struct sto *ctx, bool all)
{
	const struct sto_segment *last = last_segment(ctx);
	struct sto_segment *segment = TAILQ_FIRST(&ctx->segments);

	while (segment != last &&
	       (all || segment->last_index <= ctx->snapshot_index)) {
		struct sto_segment *next = TAILQ_NEXT(segment, link);
		char name[STO_NAME_MAX];

		sto_segment_name(segment->sequence, name);
		if (unlinkat(ctx->folder, name, 0) && errno != ENOENT)
			return;
		TAILQ_REMOVE(&ctx->segments, segment, link);
		g_free(segment);
		segment = next;
	}
}

static bool lock_folder(struct sto *ctx, const char *folder, GError **err)
{
	ctx->lock =
		openat(ctx->folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (ctx->lock < 0) {
		sto_set_error(err, "cannot create the lock of", folder, errno);
		return false;
	}
	if (flock(ctx->lock, LOCK_EX | LOCK_NB)) {
		g_set_error(err, STO_ERROR, STO_ERROR_LOCKED,
			    "%s is used by another process", folder);
		return false;
	}
	return true;
}

/*
 * Opens a data folder, which is created when it does not exist, and reads its
 * content. Errors: STO_ERROR_LOCKED, STO_ERROR_DAMAGED (the replica must be
 * replaced), STO_ERROR_IO and STO_ERROR_FULL.
 */
struct sto *sto_open(const char *folder, GError **err)
{
	struct sto *ctx = g_new0(struct sto, 1);
	bool discard = false;

	ctx->folder = -1;
	ctx->lock = -1;
	ctx->fd = -1;
	TAILQ_INIT(&ctx->segments);
	if (mkdir(folder, 0700) && errno != EEXIST) {
		sto_set_error(err, "cannot create", folder, errno);
		goto failed;
	}
	ctx->folder = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (ctx->folder < 0) {
		sto_set_error(err, "cannot open", folder, errno);
		goto failed;
	}
	if (!lock_folder(ctx, folder, err) || !sto_read(ctx, &discard, err))
		goto failed;
	if (ctx->content.fresh && !create_identity(ctx, err))
		goto failed;
	if (last_segment(ctx) && !open_last_segment(ctx, err))
		goto failed;
	if ((!last_segment(ctx) || discard) &&
	    !sto_new_segment(ctx, discard, err))
		goto failed;
	remove_old_segments(ctx, discard);
	ctx->content.term = ctx->term;
	ctx->content.voted_for = ctx->voted_for;
	return ctx;
failed:
	sto_close(ctx);
	return NULL;
}

/* Frees the entries and the snapshot of the content, which then has none. */
void sto_drop_content(struct sto *ctx)
{
	struct sto_content *content = &ctx->content;

	for (size_t i = 0; i < content->n_entries; i++)
		dsp__log_entry__free_unpacked(content->entries[i], NULL);
	g_clear_pointer(&content->entries, g_free);
	content->n_entries = 0;
	g_clear_pointer(&ctx->snapshot_file, g_free);
	content->snapshot = NULL;
	content->snapshot_len = 0;
}

/* Closes the folder; records without sto_sync() are dropped. NULL is allowed.
 */
void sto_close(struct sto *ctx)
{
	struct sto_segment *segment;

	if (!ctx)
		return;
	while ((segment = TAILQ_FIRST(&ctx->segments))) {
		TAILQ_REMOVE(&ctx->segments, segment, link);
		g_free(segment);
	}
	sto_drop_content(ctx);
	dsp__raft_config__free_unpacked(ctx->content.config, NULL);
	g_free(ctx->entries);
	g_free(ctx->buffer.data);
	g_clear_error(&ctx->failure);
	if (ctx->fd >= 0)
		close(ctx->fd);
	if (ctx->lock >= 0)
		close(ctx->lock);
	if (ctx->folder >= 0)
		close(ctx->folder);
	g_free(ctx);
}

/* Returns what was found at open. */
const struct sto_content *sto_content(const struct sto *ctx)
{
	return &ctx->content;
}

/* Returns room for len bytes at the end of the buffer, which starts with room
 * for a frame header. */
static uint8_t *reserve(struct sto *ctx, size_t len)
{
	struct sto_buffer *buffer = &ctx->buffer;
	uint8_t *place;

	if (!buffer->len)
		buffer->len = sizeof(struct sto_frame_header);
	if (buffer->len + len + STO_ALIGN > buffer->capacity) {
		buffer->capacity = (buffer->len + len + STO_ALIGN) * 2;
		buffer->data = g_realloc(buffer->data, buffer->capacity);
	}
	place = buffer->data + buffer->len;
	buffer->len += len;
	return place;
}

static uint8_t *add_record(struct sto *ctx, enum sto_record_type type,
			   size_t len)
{
	struct sto_record_header header = { .len = (uint32_t)len,
					    .type = type };
	uint8_t *place = reserve(ctx, sizeof(header) + len);

	memcpy(place, &header, sizeof(header));
	return place + sizeof(header);
}

/* Writes the buffer as one frame after the last one. */
static bool write_frame(struct sto *ctx, GError **err)
{
	struct sto_buffer *buffer = &ctx->buffer;
	const struct sto_segment *segment = last_segment(ctx);
	struct sto_frame_header header = { .magic = STO_FRAME_MAGIC };
	size_t len;
	size_t padding;
	char name[STO_NAME_MAX];

	reserve(ctx, 0);
	len = buffer->len - sizeof(header);
	padding = (STO_ALIGN - len % STO_ALIGN) % STO_ALIGN;
	memset(reserve(ctx, padding), 0, padding);
	header.len = (uint32_t)len;
	header.synced_to = ctx->synced;
	memcpy(buffer->data, &header, sizeof(header));
	header.checksum = sto_frame_checksum(ctx, segment->sequence, ctx->end,
					     buffer->data, len);
	memcpy(buffer->data, &header, sizeof(header));
	sto_segment_name(segment->sequence, name);
	if (!sto_pwrite_all(ctx->fd, name, buffer->data, buffer->len, ctx->end,
			    err))
		return false;
	ctx->end += buffer->len;
	buffer->len = 0;
	return true;
}

/*
 * Stores the group and the configuration at its formation, synced at once. A
 * snapshot's configuration takes precedence over this one.
 */
bool sto_set_group(struct sto *ctx, uint64_t group,
		   const Dsp__RaftConfig *config, GError **err)
{
	GError *cause = NULL;

	if (!usable(ctx, err))
		return false;
	if (!write_identity(ctx, group, config, &cause))
		return fail(ctx, cause, err);
	return true;
}

/* Records term and vote; durable after sto_sync(). */
bool sto_write_hard_state(struct sto *ctx, uint64_t term, uint64_t voted_for,
			  GError **err)
{
	uint64_t values[2] = { term, voted_for };

	if (!usable(ctx, err))
		return false;
	memcpy(add_record(ctx, STO_RECORD_HARD_STATE, sizeof(values)), values,
	       sizeof(values));
	ctx->term = term;
	ctx->voted_for = voted_for;
	return true;
}

static void forget_entries(struct sto *ctx, uint64_t from)
{
	while (ctx->n_entries && last_index(ctx) >= from)
		ctx->bytes -= ctx->entries[--ctx->n_entries].size;
}

/* Drops the entries from index on; durable after sto_sync(). */
bool sto_truncate_from(struct sto *ctx, uint64_t index, GError **err)
{
	if (!usable(ctx, err))
		return false;
	if (index <= ctx->snapshot_index) {
		return fail(ctx,
			    g_error_new(STO_ERROR, STO_ERROR_IO,
					"truncation inside of the snapshot"),
			    err);
	}
	memcpy(add_record(ctx, STO_RECORD_TRUNCATE, sizeof(index)), &index,
	       sizeof(index));
	forget_entries(ctx, index);
	return true;
}

/* Appends entries that follow the last one without a gap; durable after
 * sto_sync(). */
bool sto_append(struct sto *ctx, Dsp__LogEntry *const *entries, size_t n,
		GError **err)
{
	struct sto_segment *segment = last_segment(ctx);

	if (!usable(ctx, err))
		return false;
	for (size_t i = 0; i < n; i++) {
		const Dsp__LogEntry *entry = entries[i];
		struct sto_entry_info info = { .term = entry->term };

		if (entry->index != last_index(ctx) + 1) {
			return fail(ctx,
				    g_error_new(STO_ERROR, STO_ERROR_IO,
						"append leaves a gap"),
				    err);
		}
		info.size = dsp__log_entry__get_packed_size(entry);
		dsp__log_entry__pack(
			entry, add_record(ctx, STO_RECORD_ENTRY, info.size));
		if (ctx->n_entries == ctx->entries_capacity) {
			ctx->entries_capacity = ctx->entries_capacity * 2 + 64;
			ctx->entries =
				g_renew(struct sto_entry_info, ctx->entries,
					ctx->entries_capacity);
		}
		ctx->entries[ctx->n_entries++] = info;
		ctx->bytes += info.size;
		if (entry->index > segment->last_index)
			segment->last_index = entry->index;
	}
	return true;
}

/* Writes and syncs all records since the last call. */
bool sto_sync(struct sto *ctx, GError **err)
{
	GError *cause = NULL;

	if (!usable(ctx, err))
		return false;
	if (!ctx->buffer.len)
		return true;
	if (!write_frame(ctx, &cause))
		return fail(ctx, cause, err);
	if (sto_io.fdatasync(ctx->fd)) {
		ctx->sync_failed = true;
		sto_set_error(&cause, "cannot sync", "the log", errno);
		return fail(ctx, cause, err);
	}
	ctx->syncs++;
	ctx->synced = ctx->end;
	if (ctx->end >= SEGMENT_MAX_BYTES) {
		if (!sto_new_segment(ctx, false, &cause))
			return fail(ctx, cause, err);
	} else if (!write_frame(ctx, &cause)) {
		return fail(ctx, cause, err);
	}
	return true;
}

/* Keeps the entries after index when the log holds the entry (index, term),
 * else none. Returns whether it does. */
static bool cut_entries(struct sto *ctx, uint64_t index, uint64_t term)
{
	size_t n = index - ctx->snapshot_index;

	if (n > ctx->n_entries || ctx->entries[n - 1].term != term) {
		ctx->n_entries = 0;
		ctx->bytes = 0;
		return false;
	}
	for (size_t i = 0; i < n; i++)
		ctx->bytes -= ctx->entries[i].size;
	ctx->n_entries -= n;
	memmove(ctx->entries, ctx->entries + n,
		ctx->n_entries * sizeof(*ctx->entries));
	return true;
}

/*
 * Stores a snapshot, durable on return, and removes what it makes unnecessary.
 * Entries after index are kept when the log holds the entry (index, term),
 * that is, for a snapshot of the own state; a snapshot from the leader that
 * contradicts the log replaces the log. A snapshot that is not newer than the
 * stored one is ignored.
 */
bool sto_write_snapshot(struct sto *ctx, uint64_t index, uint64_t term,
			const Dsp__RaftConfig *config, const uint8_t *data,
			size_t len, GError **err)
{
	struct sto_file_header header = {
		.replica = ctx->content.replica,
		.a = index,
		.b = term,
	};
	uint64_t old_index = ctx->snapshot_index;
	uint64_t old_term = ctx->snapshot_term;
	GError *cause = NULL;
	char name[STO_NAME_MAX];
	bool kept;

	if (!sto_sync(ctx, err))
		return false;
	if (index <= old_index)
		return true;
	snapshot_name(index, term, name);
	if (!sto_write_record_file(ctx->folder, name, &header, config, data,
				   len, &cause))
		return fail(ctx, cause, err);
	kept = cut_entries(ctx, index, term);
	ctx->snapshot_index = index;
	ctx->snapshot_term = term;
	if (!sto_new_segment(ctx, !kept, &cause))
		return fail(ctx, cause, err);
	if (old_index) {
		snapshot_name(old_index, old_term, name);
		unlinkat(ctx->folder, name, 0);
	}
	remove_old_segments(ctx, !kept);
	return true;
}

/* Returns the bytes of the log entries after the snapshot. */
uint64_t sto_log_bytes(const struct sto *ctx)
{
	return ctx->bytes;
}

/* Returns whether a sync failed: unlike after a write without room, what was
 * written before may be lost and look intact. */
bool sto_sync_failed(const struct sto *ctx)
{
	return ctx->sync_failed;
}

/* Returns how many times the log was synced since open. */
uint64_t sto_syncs(const struct sto *ctx)
{
	return ctx->syncs;
}
