#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "store/sto_priv.h"

/* Writes the file name of a log segment to name. */
void sto_segment_name(uint64_t sequence, char name[STO_NAME_MAX])
{
	snprintf(name, STO_NAME_MAX, "%016llx.log",
		 (unsigned long long)sequence);
}

/* Returns the checksum of a segment header. */
uint64_t sto_segment_checksum(const struct sto_segment_header *header)
{
	return XXH3_64bits(header,
			   offsetof(struct sto_segment_header, checksum));
}

/*
 * Returns the checksum of a frame with len bytes of records and padding. Its
 * seed depends on replica, segment and offset, so that a copy of a frame in
 * another place is never taken for a valid frame.
 */
uint64_t sto_frame_checksum(const struct sto *ctx, uint64_t sequence,
			    uint64_t offset, const uint8_t *frame, size_t len)
{
	size_t padded =
		(len + STO_FRAME_ALIGN - 1) / STO_FRAME_ALIGN * STO_FRAME_ALIGN;
	uint64_t place[3] = { ctx->content.replica, sequence, offset };
	uint64_t seed = XXH3_64bits(place, sizeof(place));

	seed = XXH3_64bits_withSeed(
		frame, offsetof(struct sto_frame_header, checksum), seed);
	return XXH3_64bits_withSeed(frame + sizeof(struct sto_frame_header),
				    padded, seed);
}

/* Returns the size of the valid frame at offset, or 0. */
static size_t valid_frame_size(const struct sto *ctx, uint64_t sequence,
			       const uint8_t *file, size_t file_len,
			       uint64_t offset, struct sto_frame_header *header)
{
	size_t left = file_len - offset;
	size_t padded;

	if (left < sizeof(*header))
		return 0;
	memcpy(header, file + offset, sizeof(*header));
	if (header->magic != STO_FRAME_MAGIC)
		return 0;
	padded = ((size_t)header->len + STO_FRAME_ALIGN - 1) / STO_FRAME_ALIGN *
		 STO_FRAME_ALIGN;
	if (padded > left - sizeof(*header) ||
	    header->checksum != sto_frame_checksum(ctx, sequence, offset,
						   file + offset, header->len))
		return 0;
	return sizeof(*header) + padded;
}

/* Entries collected during replay; their indexes are consecutive. */
struct replay {
	Dsp__LogEntry **entries;
	size_t *sizes; /* packed bytes of each entry */
	size_t n;
	size_t capacity;
	uint64_t first;
};

static void drop_entries(struct replay *replay, uint64_t from)
{
	while (replay->n && replay->first + replay->n - 1 >= from) {
		replay->n--;
		dsp__log_entry__free_unpacked(replay->entries[replay->n], NULL);
	}
}

/* Removes the first n entries. */
static void remove_first_entries(struct replay *replay, size_t n)
{
	for (size_t i = 0; i < n; i++)
		dsp__log_entry__free_unpacked(replay->entries[i], NULL);
	replay->n -= n;
	replay->first += n;
	for (size_t i = 0; i < replay->n; i++) {
		replay->entries[i] = replay->entries[i + n];
		replay->sizes[i] = replay->sizes[i + n];
	}
}

static bool add_entry(struct replay *replay, Dsp__LogEntry *entry, size_t size)
{
	if (!replay->n)
		replay->first = entry->index;
	drop_entries(replay, entry->index);
	if (!replay->n)
		replay->first = entry->index;
	if (entry->index != replay->first + replay->n)
		return false;
	if (replay->n == replay->capacity) {
		replay->capacity = replay->capacity * 2 + 256;
		replay->entries = g_renew(Dsp__LogEntry *, replay->entries,
					  replay->capacity);
		replay->sizes =
			g_renew(size_t, replay->sizes, replay->capacity);
	}
	replay->sizes[replay->n] = size;
	replay->entries[replay->n++] = entry;
	return true;
}

static bool replay_record(struct sto *ctx, struct sto_segment *segment,
			  struct replay *replay, uint32_t type,
			  const uint8_t *data, size_t len)
{
	Dsp__LogEntry *entry;
	uint64_t values[2];

	switch (type) {
	case STO_RECORD_HARD_STATE:
		if (len != sizeof(values))
			return false;
		memcpy(values, data, sizeof(values));
		ctx->term = values[0];
		ctx->voted_for = values[1];
		return true;
	case STO_RECORD_TRUNCATE:
		if (len != sizeof(values[0]))
			return false;
		memcpy(values, data, sizeof(values[0]));
		drop_entries(replay, values[0]);
		return true;
	case STO_RECORD_ENTRY:
		entry = dsp__log_entry__unpack(NULL, len, data);
		if (!entry)
			return false;
		if (!add_entry(replay, entry, len)) {
			dsp__log_entry__free_unpacked(entry, NULL);
			return false;
		}
		if (entry->index > segment->last_index)
			segment->last_index = entry->index;
		return true;
	default:
		return false;
	}
}

static bool replay_frame(struct sto *ctx, struct sto_segment *segment,
			 struct replay *replay, const uint8_t *records,
			 size_t len)
{
	struct sto_record_header header;

	while (len >= sizeof(header)) {
		memcpy(&header, records, sizeof(header));
		records += sizeof(header);
		len -= sizeof(header);
		if (header.len > len ||
		    !replay_record(ctx, segment, replay, header.type, records,
				   header.len))
			return false;
		records += header.len;
		len -= header.len;
	}
	return !len;
}

/* Returns the highest synced_to of any valid frame after offset. */
static uint64_t max_synced_to_after(const struct sto *ctx, uint64_t sequence,
				    const uint8_t *file, size_t len,
				    uint64_t offset)
{
	struct sto_frame_header header;
	uint64_t synced_to = 0;

	for (offset += STO_FRAME_ALIGN; offset < len; offset += STO_FRAME_ALIGN)
		if (valid_frame_size(ctx, sequence, file, len, offset,
				     &header) &&
		    header.synced_to > synced_to)
			synced_to = header.synced_to;
	return synced_to;
}

static bool check_segment_header(struct sto *ctx, const char *name,
				 const struct sto_segment *segment,
				 const uint8_t *file, size_t len,
				 struct sto_segment_header *header,
				 GError **err)
{
	if (len < sizeof(*header)) {
		sto_set_damaged(err, name, "file is shorter than its header");
		return false;
	}
	memcpy(header, file, sizeof(*header));
	if (header->magic != STO_SEGMENT_MAGIC ||
	    header->checksum != sto_segment_checksum(header) ||
	    header->sequence != segment->sequence ||
	    header->replica != ctx->content.replica) {
		sto_set_damaged(err, name, "invalid header");
		return false;
	}
	return true;
}

/* Replays one segment. On entry *end is the end offset of the valid frames of
 * the previous segment; it is set to that of this segment. */
static bool read_segment(struct sto *ctx, struct sto_segment *segment,
			 struct replay *replay, uint64_t *end, GError **err)
{
	struct sto_segment *next = TAILQ_NEXT(segment, link);
	char name[STO_NAME_MAX];
	struct sto_segment_header header;
	struct sto_frame_header frame;
	uint64_t offset = sizeof(header);
	uint64_t synced_to;
	uint8_t *file;
	size_t size;
	size_t len;
	bool ok = false;

	sto_segment_name(segment->sequence, name);
	file = sto_read_file(ctx->folder_fd, name, &len, err);
	if (!file)
		return false;
	if (!check_segment_header(ctx, name, segment, file, len, &header, err))
		goto out;
	if (segment != TAILQ_FIRST(&ctx->segments) &&
	    header.previous_end > *end) {
		sto_set_damaged(err, name,
				"the previous segment ends early, at %llu",
				(unsigned long long)*end);
		goto out;
	}
	ctx->term = header.term;
	ctx->voted_for = header.voted_for;
	if (header.discard_older)
		drop_entries(replay, 0);
	if (replay->n ? replay->first + replay->n - 1 != header.last_index
		      : header.last_index > ctx->snapshot_index) {
		sto_set_damaged(err, name,
				"entries before this segment are missing");
		goto out;
	}
	while ((size = valid_frame_size(ctx, segment->sequence, file, len,
					offset, &frame))) {
		if (!replay_frame(ctx, segment, replay,
				  file + offset + sizeof(frame), frame.len)) {
			sto_set_damaged(err, name,
					"invalid record in the frame at %llu",
					(unsigned long long)offset);
			goto out;
		}
		offset += size;
	}
	synced_to = offset < len && !next
			    ? max_synced_to_after(ctx, segment->sequence, file,
						  len, offset)
			    : 0;
	if (offset < synced_to) {
		sto_set_damaged(err, name, "invalid frame at %llu",
				(unsigned long long)offset);
		goto out;
	}
	*end = offset;
	ok = true;
out:
	g_free(file);
	return ok;
}

/*
 * Drops the entries up to the snapshot. When the log holds a different entry at
 * the index of the snapshot, the snapshot came from the leader and the process
 * crashed before it discarded the log: drops all entries and sets *discard, so
 * that the caller records that the log is invalid.
 */
static bool drop_snapshot_entries(struct sto *ctx, struct replay *replay,
				  bool *discard, GError **err)
{
	uint64_t index = ctx->snapshot_index;
	size_t before;

	*discard = false;
	if (!replay->n)
		return true;
	if (replay->first > index + 1) {
		sto_set_damaged(err, "log", "entries %llu to %llu are missing",
				(unsigned long long)index + 1,
				(unsigned long long)replay->first - 1);
		return false;
	}
	before = index + 1 - replay->first;
	if (before > replay->n) {
		/* All entries are older than the snapshot; new ones would
		 * leave a gap. */
		*discard = true;
		before = replay->n;
	} else if (before &&
		   replay->entries[before - 1]->term != ctx->snapshot_term) {
		*discard = true;
		before = replay->n;
	}
	remove_first_entries(replay, before);
	return true;
}

static bool read_log(struct sto *ctx, bool *discard, GError **err)
{
	struct replay replay = { 0 };
	struct sto_segment *segment;
	struct sto_segment *previous = NULL;
	uint64_t end = 0;
	bool ok = false;

	TAILQ_FOREACH (segment, &ctx->segments, link) {
		/* A crash during the removal of old segments may leave a gap
		 * in the sequence; the segments before it are obsolete. */
		if (previous && segment->sequence != previous->sequence + 1) {
			drop_entries(&replay, 0);
			end = UINT64_MAX;
		}
		if (!read_segment(ctx, segment, &replay, &end, err))
			goto out;
		previous = segment;
	}
	if (!previous && ctx->content.group) {
		sto_set_damaged(err, "log", "no segment found");
		goto out;
	}
	ctx->end = end;
	if (!drop_snapshot_entries(ctx, &replay, discard, err))
		goto out;
	ctx->entries = g_new(struct sto_entry_info, replay.n + 1);
	ctx->n_entries = replay.n;
	ctx->entries_capacity = replay.n + 1;
	for (size_t i = 0; i < replay.n; i++) {
		ctx->entries[i].term = replay.entries[i]->term;
		ctx->entries[i].size = replay.sizes[i];
		ctx->log_bytes += replay.sizes[i];
	}
	ctx->content.entries = replay.entries;
	ctx->content.n_entries = replay.n;
	replay.entries = NULL;
	replay.n = 0;
	ok = true;
out:
	drop_entries(&replay, 0);
	g_free(replay.entries);
	g_free(replay.sizes);
	return ok;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the sorted file names of the folder; the caller frees them. */
static char **list_folder(struct sto *ctx, size_t *n, GError **err)
{
	int fd =
		openat(ctx->folder_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *dir = fd < 0 ? NULL : fdopendir(fd);
	const struct dirent *item;
	char **names = NULL;

	*n = 0;
	if (!dir) {
		sto_set_error(err, "cannot read", "the folder", errno);
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	while ((item = readdir(dir))) {
		names = g_renew(char *, names, *n + 1);
		names[(*n)++] = g_strdup(item->d_name);
	}
	closedir(dir);
	if (names)
		qsort(names, *n, sizeof(char *), compare_names);
	return names;
}

static bool read_identity(struct sto *ctx, GError **err)
{
	struct sto_file_header header;
	size_t len;
	uint8_t *file = sto_read_file(ctx->folder_fd, "identity", &len, err);
	bool ok;

	if (!file)
		return false;
	ok = sto_parse_record_file("identity", file, len, &header,
				   &ctx->content.config, err);
	g_free(file);
	if (!ok)
		return false;
	ctx->content.replica = header.replica;
	ctx->content.group = header.group_or_index;
	return true;
}

static bool read_snapshot(struct sto *ctx, const char *name, GError **err)
{
	struct sto_content *content = &ctx->content;
	struct sto_file_header header;
	Dsp__RaftConfig *config;
	size_t len;
	uint8_t *file = sto_read_file(ctx->folder_fd, name, &len, err);

	if (!file)
		return false;
	if (!sto_parse_record_file(name, file, len, &header, &config, err)) {
		g_free(file);
		return false;
	}
	dsp__raft_config__free_unpacked(content->config, NULL);
	content->config = config;
	ctx->snapshot_file = file;
	content->snapshot = file + sizeof(header) + header.config_len;
	content->snapshot_len = header.data_len;
	content->snapshot_index = header.group_or_index;
	content->snapshot_term = header.snapshot_term;
	ctx->snapshot_index = header.group_or_index;
	ctx->snapshot_term = header.snapshot_term;
	if (header.replica != content->replica) {
		sto_set_damaged(err, name, "belongs to another replica");
		return false;
	}
	return true;
}

/*
 * Reads the folder into ctx. A folder without an identity file is fresh if it
 * holds no snapshot or segment. File names sort by index or sequence, so the
 * last snapshot is the newest. Removes temporary files and old snapshots that
 * a crash has left.
 */
bool sto_read_folder(struct sto *ctx, bool *discard, GError **err)
{
	const char *snapshot = NULL;
	bool identity = false;
	bool ok = false;
	size_t n;
	char **names = list_folder(ctx, &n, err);

	if (!names)
		return false;
	*discard = false;
	for (size_t i = 0; i < n; i++) {
		if (g_str_has_suffix(names[i], ".tmp")) {
			unlinkat(ctx->folder_fd, names[i], 0);
		} else if (!strcmp(names[i], "identity")) {
			identity = true;
		} else if (g_str_has_suffix(names[i], ".log")) {
			struct sto_segment *segment =
				g_new0(struct sto_segment, 1);

			segment->sequence = strtoull(names[i], NULL, 16);
			TAILQ_INSERT_TAIL(&ctx->segments, segment, link);
		} else if (g_str_has_suffix(names[i], ".snap")) {
			snapshot = names[i];
		}
	}
	if (!identity) {
		ctx->content.fresh = true;
		ok = !snapshot && TAILQ_EMPTY(&ctx->segments);
		if (!ok)
			sto_set_damaged(err, "folder", "no identity file");
		goto out;
	}
	if (!read_identity(ctx, err))
		goto out;
	if (snapshot && !read_snapshot(ctx, snapshot, err))
		goto out;
	ok = read_log(ctx, discard, err);
	for (size_t i = 0; ok && i < n; i++)
		if (g_str_has_suffix(names[i], ".snap") && names[i] != snapshot)
			unlinkat(ctx->folder_fd, names[i], 0);
out:
	for (size_t i = 0; i < n; i++)
		g_free(names[i]);
	g_free(names);
	return ok;
}
