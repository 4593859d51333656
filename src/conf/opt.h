#ifndef CONF_OPT_H
#define CONF_OPT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "conf/tb.h"

/*
 * Options (opt): reads TOML tables into structs. A constant array of struct opt
 * describes the keys of a table: type, place in the struct, limits, default.
 * All faults of a file are collected, not only the first.
 */

enum opt_type {
	OPT_STRING,   /* char *, owned */
	OPT_NAME,     /* char *, as in opt_is_name() */
	OPT_CHOICE,   /* enum, index in choices */
	OPT_U32,      /* uint32_t */
	OPT_U64,      /* uint64_t */
	OPT_MS_AS_US, /* int64_t microseconds, written in milliseconds */
	OPT_NUMBER,   /* double */
	OPT_BOOL,     /* bool */
	OPT_IP_PORT,  /* char *, IP:PORT */
	OPT_TCP,      /* char *, tcp://IP:PORT */
	/* Values that the caller reads itself; offset is not used. */
	OPT_TABLE,
	OPT_TABLES, /* array of tables */
	OPT_LIST,   /* array of values */
};

struct opt {
	const char *key;
	enum opt_type type;
	size_t offset;
	bool required;
	double min; /* numbers; in the unit of the file */
	double max;
	double default_value;	    /* numbers, choices (index), booleans */
	const char *default_text;   /* strings; may be NULL */
	const char *const *choices; /* OPT_CHOICE, NULL-terminated */
};

struct opt_source {
	const char *file;  /* name in messages */
	GPtrArray *faults; /* char *, g_free() */
};

void opt_fault(const struct opt_source *source, int line, const char *key,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));
void opt_read(const struct opt_source *source, const struct tb_value *table,
	      const char *path, const struct opt *options, size_t n, void *out);
struct tb_value *opt_parse(const struct opt_source *source, const char *text,
			   size_t len);
const struct tb_value *opt_child(const struct tb_value *table, const char *key);
bool opt_is_name(const char *text);
bool opt_is_ip_port(const char *text);

#endif
