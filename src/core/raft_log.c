#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/raft_priv.h"

/* Returns a deep copy; NULL gives an empty configuration. */
Dsp__RaftConfig *raft_config_copy(const Dsp__RaftConfig *config)
{
	Dsp__RaftConfig empty = DSP__RAFT_CONFIG__INIT;
	Dsp__RaftConfig *copy;
	uint8_t *packed;
	size_t len;

	if (!config)
		config = &empty;
	packed = g_malloc(dsp__raft_config__get_packed_size(config) + 1);
	len = dsp__raft_config__pack(config, packed);
	copy = dsp__raft_config__unpack(NULL, len, packed);
	g_free(packed);
	return copy;
}

/* Creates an entry in one allocation; free it with g_free(). */
Dsp__LogEntry *raft_entry_new(uint64_t index, uint64_t term,
			      Dsp__EntryKind kind, const uint8_t *data,
			      size_t len)
{
	Dsp__LogEntry *entry = g_malloc(sizeof(*entry) + len);

	dsp__log_entry__init(entry);
	entry->index = index;
	entry->term = term;
	entry->kind = kind;
	entry->data.len = len;
	entry->data.data = (uint8_t *)(entry + 1);
	if (len)
		memcpy(entry->data.data, data, len);
	return entry;
}

/* Returns the index of the last entry, or the base when there is none. */
uint64_t raft_log_last(const struct raft_log *log)
{
	return log->base_index + log->n;
}

/* Returns the term of the last entry, or of the base when there is none. */
uint64_t raft_log_last_term(const struct raft_log *log)
{
	return log->n ? log->entries[log->n - 1]->term : log->base_term;
}

/* Returns the entry at an index after base and up to last, else NULL. */
Dsp__LogEntry *raft_log_entry(const struct raft_log *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_last(log))
		return NULL;
	return log->entries[index - log->base_index - 1];
}

/* Returns the term at an index from base to last; 0 when it is not known. */
uint64_t raft_log_term(const struct raft_log *log, uint64_t index)
{
	const Dsp__LogEntry *entry = raft_log_entry(log, index);

	if (entry)
		return entry->term;
	return index == log->base_index ? log->base_term : 0;
}

/* Returns the configuration in force, which is the last one in the log whether
 * committed or not. */
const struct raft_config_version *raft_log_config(const struct raft_log *log)
{
	return &log->configs[log->n_configs - 1];
}

/* Returns the last configuration at or before index. */
const struct raft_config_version *raft_log_config_at(const struct raft_log *log,
						     uint64_t index)
{
	size_t i = log->n_configs - 1;

	while (i && log->configs[i].index > index)
		i--;
	return &log->configs[i];
}

/*
 * Returns the highest index, at most index, whose term is not above term. After
 * a mismatch no later entry can match the other log, because terms never
 * decrease in either log; this skips a whole term with one message.
 */
uint64_t raft_log_find_conflict(const struct raft_log *log, uint64_t index,
				uint64_t term)
{
	if (index > raft_log_last(log))
		index = raft_log_last(log);
	while (index > log->base_index && raft_log_term(log, index) > term)
		index--;
	return index;
}

/* Initializes an empty log after base; config may be NULL. */
void raft_log_init(struct raft_log *log, uint64_t base_index,
		   uint64_t base_term, const Dsp__RaftConfig *config)
{
	*log = (struct raft_log){
		.base_index = base_index,
		.base_term = base_term,
		.written = base_index,
		.synced = base_index,
		.configs = g_new0(struct raft_config_version, 1),
		.n_configs = 1,
	};
	log->configs[0].index = base_index;
	log->configs[0].config = raft_config_copy(config);
}

/* Frees everything that the log holds. */
void raft_log_clear(struct raft_log *log)
{
	raft_log_free_removed(log);
	for (size_t i = 0; i < log->n; i++)
		g_free(log->entries[i]);
	for (size_t i = 0; i < log->n_configs; i++)
		dsp__raft_config__free_unpacked(log->configs[i].config, NULL);
	g_free(log->entries);
	g_free(log->configs);
	g_free(log->removed);
}

static void remove_entry(struct raft_log *log, Dsp__LogEntry *entry)
{
	if (log->n_removed == log->removed_capacity) {
		log->removed_capacity = log->removed_capacity * 2 + 64;
		log->removed = g_renew(Dsp__LogEntry *, log->removed,
				       log->removed_capacity);
	}
	log->removed[log->n_removed++] = entry;
}

/*
 * Appends the entry, which must follow the last one, and takes ownership of it.
 * Returns true when it changed the configuration. A configuration entry that
 * cannot be parsed stays in the log without effect, on every replica alike.
 */
bool raft_log_append(struct raft_log *log, Dsp__LogEntry *entry)
{
	Dsp__RaftConfig *config;

	if (log->n == log->capacity) {
		log->capacity = log->capacity * 2 + 64;
		log->entries =
			g_renew(Dsp__LogEntry *, log->entries, log->capacity);
	}
	log->entries[log->n++] = entry;
	if (entry->kind != DSP__ENTRY_KIND__ENTRY_CONFIG)
		return false;
	config = dsp__raft_config__unpack(NULL, entry->data.len,
					  entry->data.data);
	if (!config)
		return false;
	log->configs = g_renew(struct raft_config_version, log->configs,
			       log->n_configs + 1);
	log->configs[log->n_configs].index = entry->index;
	log->configs[log->n_configs++].config = config;
	return true;
}

/* Drops the entries from index on. Returns true when that changed the
 * configuration. */
bool raft_log_truncate(struct raft_log *log, uint64_t index)
{
	bool changed = false;

	while (raft_log_last(log) >= index && log->n)
		remove_entry(log, log->entries[--log->n]);
	while (log->n_configs > 1 &&
	       log->configs[log->n_configs - 1].index >= index) {
		log->n_configs--;
		dsp__raft_config__free_unpacked(
			log->configs[log->n_configs].config, NULL);
		changed = true;
	}
	if (index <= log->written) {
		if (!log->truncate_from || index < log->truncate_from)
			log->truncate_from = index;
		log->written = index - 1;
		if (log->synced > log->written)
			log->synced = log->written;
	}
	return changed;
}

/* Drops the entries up to index, which becomes the base. */
void raft_log_compact(struct raft_log *log, uint64_t index)
{
	const struct raft_config_version *at;
	size_t n;
	size_t keep;

	if (index <= log->base_index || index > raft_log_last(log))
		return;
	at = raft_log_config_at(log, index);
	keep = (size_t)(at - log->configs);
	for (size_t i = 0; i < keep; i++)
		dsp__raft_config__free_unpacked(log->configs[i].config, NULL);
	log->n_configs -= keep;
	memmove(log->configs, log->configs + keep,
		log->n_configs * sizeof(*log->configs));

	n = index - log->base_index;
	log->base_term = raft_log_term(log, index);
	for (size_t i = 0; i < n; i++)
		remove_entry(log, log->entries[i]);
	log->n -= n;
	for (size_t i = 0; i < log->n; i++)
		log->entries[i] = log->entries[i + n];
	log->base_index = index;
}

/* Replaces the whole log with a snapshot at index that the caller will write.
 */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term,
		    const Dsp__RaftConfig *config)
{
	struct raft_config_version version = {
		.index = index,
		.config = raft_config_copy(config),
	};

	for (size_t i = 0; i < log->n; i++)
		remove_entry(log, log->entries[i]);
	for (size_t i = 0; i < log->n_configs; i++)
		dsp__raft_config__free_unpacked(log->configs[i].config, NULL);
	log->n = 0;
	log->configs[0] = version;
	log->n_configs = 1;
	log->base_index = index;
	log->base_term = term;
	log->written = index;
	log->synced = index;
	log->truncate_from = 0;
}

/* Frees removed entries; no ready batch refers to them any more. */
void raft_log_free_removed(struct raft_log *log)
{
	for (size_t i = 0; i < log->n_removed; i++)
		g_free(log->removed[i]);
	log->n_removed = 0;
}
