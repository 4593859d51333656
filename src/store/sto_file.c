#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include "store/sto_priv.h"

struct sto_io sto_io = {
	.pwrite = pwrite,
	.fdatasync = fdatasync,
	.fsync = fsync,
	.renameat = renameat,
};

G_DEFINE_QUARK(sto - error - quark, sto_error)

/* Sets the error of a failed system call. A full disk, an exhausted quota and
 * the file size limit of the process give STO_ERROR_FULL. */
void sto_set_error(GError **err, const char *what, const char *name, int code)
{
	bool full = code == ENOSPC || code == EDQUOT || code == EFBIG;

	g_set_error(err, STO_ERROR, full ? STO_ERROR_FULL : STO_ERROR_IO,
		    "%s %s: %s", what, name, g_strerror(code));
}

/* Sets STO_ERROR_DAMAGED for a file. */
void sto_set_damaged(GError **err, const char *name, const char *format, ...)
{
	char text[256];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	g_set_error(err, STO_ERROR, STO_ERROR_DAMAGED, "%s is damaged: %s",
		    name, text);
}

/* Writes all bytes at offset. */
bool sto_pwrite_all(int fd, const char *name, const void *data, size_t len,
		    uint64_t offset, GError **err)
{
	const uint8_t *bytes = data;

	while (len) {
		ssize_t n = sto_io.pwrite(fd, bytes, len, (off_t)offset);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			sto_set_error(err, "cannot write", name,
				      n ? errno : ENOSPC);
			return false;
		}
		bytes += n;
		offset += (uint64_t)n;
		len -= (size_t)n;
	}
	return true;
}

/* Reads a whole file of the folder; the caller frees the result with g_free().
 */
uint8_t *sto_read_file(int folder, const char *name, size_t *len, GError **err)
{
	struct stat st;
	uint8_t *data = NULL;
	size_t done = 0;
	int fd = openat(folder, name, O_RDONLY | O_CLOEXEC);

	if (fd < 0 || fstat(fd, &st))
		goto failed;
	data = g_malloc((size_t)st.st_size + 1);
	while (done < (size_t)st.st_size) {
		ssize_t n = read(fd, data + done, (size_t)st.st_size - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			goto failed;
		if (!n)
			break;
		done += (size_t)n;
	}
	close(fd);
	*len = done;
	return data;
failed:
	sto_set_error(err, "cannot read", name, errno);
	g_free(data);
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Creates or replaces a file atomically: writes and syncs a temporary file,
 * renames it and syncs the folder, so that after a crash either the old or the
 * complete new file exists. */
bool sto_write_file(int folder, const char *name, const void *const *parts,
		    const size_t *lens, size_t n, GError **err)
{
	char tmp[STO_NAME_MAX + 8];
	uint64_t offset = 0;
	bool ok = false;
	int fd;

	snprintf(tmp, sizeof(tmp), "%s.tmp", name);
	fd = openat(folder, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		    0600);
	if (fd < 0) {
		sto_set_error(err, "cannot create", tmp, errno);
		return false;
	}
	for (size_t i = 0; i < n; i++) {
		if (!sto_pwrite_all(fd, tmp, parts[i], lens[i], offset, err))
			goto out;
		offset += lens[i];
	}
	if (sto_io.fsync(fd)) {
		sto_set_error(err, "cannot sync", tmp, errno);
		goto out;
	}
	if (sto_io.renameat(folder, tmp, folder, name)) {
		sto_set_error(err, "cannot rename", tmp, errno);
		goto out;
	}
	if (sto_io.fsync(folder)) {
		sto_set_error(err, "cannot sync the folder of", name, errno);
		goto out;
	}
	ok = true;
out:
	close(fd);
	return ok;
}

static uint64_t file_checksum(const struct sto_file_header *header,
			      const uint8_t *config, const uint8_t *data)
{
	struct sto_file_header copy = *header;
	XXH3_state_t *state = XXH3_createState();
	uint64_t sum;

	if (!state)
		abort();
	copy.checksum = 0;
	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, &copy, sizeof(copy));
	XXH3_64bits_update(state, config, copy.config_len);
	XXH3_64bits_update(state, data, copy.data_len);
	sum = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return sum;
}

/* Writes an identity or snapshot file; the caller sets replica,
 * group_or_index and snapshot_term of header, this function the rest. */
bool sto_write_record_file(int folder, const char *name,
			   const struct sto_file_header *header,
			   const Dsp__RaftConfig *config, const uint8_t *data,
			   size_t len, GError **err)
{
	static const Dsp__RaftConfig empty = DSP__RAFT_CONFIG__INIT;
	struct sto_file_header full = *header;
	uint8_t *packed;
	const void *parts[3];
	size_t lens[3];
	bool ok;

	if (!config)
		config = &empty;
	packed = g_malloc(dsp__raft_config__get_packed_size(config) + 1);
	full.magic = STO_FILE_MAGIC;
	full.config_len = dsp__raft_config__pack(config, packed);
	full.data_len = len;
	full.checksum = file_checksum(&full, packed, data);
	parts[0] = &full;
	lens[0] = sizeof(full);
	parts[1] = packed;
	lens[1] = full.config_len;
	parts[2] = data;
	lens[2] = len;
	ok = sto_write_file(folder, name, parts, lens, 3, err);
	g_free(packed);
	return ok;
}

/* Checks an identity or snapshot file. The data starts config_len bytes after
 * the header; the caller frees the configuration. */
bool sto_parse_record_file(const char *name, const uint8_t *file, size_t len,
			   struct sto_file_header *header,
			   Dsp__RaftConfig **config, GError **err)
{
	const uint8_t *body = file + sizeof(*header);

	if (len < sizeof(*header)) {
		sto_set_damaged(err, name, "file is shorter than its header");
		return false;
	}
	memcpy(header, file, sizeof(*header));
	len -= sizeof(*header);
	if (header->magic != STO_FILE_MAGIC || header->config_len > len ||
	    header->data_len != len - header->config_len) {
		sto_set_damaged(err, name, "invalid header");
		return false;
	}
	if (header->checksum !=
	    file_checksum(header, body, body + header->config_len)) {
		sto_set_damaged(err, name, "checksum mismatch");
		return false;
	}
	*config = dsp__raft_config__unpack(NULL, header->config_len, body);
	if (!*config) {
		sto_set_damaged(err, name, "invalid configuration");
		return false;
	}
	return true;
}
