#ifndef CONF_OPT_H
#define CONF_OPT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "conf/tb.h"

/* Option tables: read TOML tables into structs and report every fault. */

enum opt_type {
	OPT_STRING,   /* char *, owned */
	OPT_NAME,     /* char *, an identifier */
	OPT_CHOICE,   /* enum, index in choices */
	OPT_U32,      /* uint32_t */
	OPT_U64,      /* uint64_t */
	OPT_MS_AS_US, /* int64_t microseconds, written in milliseconds */
	OPT_NUMBER,   /* double */
	OPT_BOOL,     /* bool */
	OPT_IP_PORT,  /* char *, IP:PORT */
	OPT_TCP,      /* char *, tcp://IP:PORT */
	OPT_TABLE,    /* read by its own table; offset is not used */
	OPT_TABLES,   /* array of tables; offset is not used */
	OPT_LIST,     /* array of values, read apart; offset is not used */
};

struct opt {
	const char *key;
	enum opt_type type;
	size_t offset;
	bool required;
	double min; /* numbers */
	double max;
	double fallback;	    /* numbers, choices, booleans */
	const char *fallback_text;  /* strings; NULL stays NULL */
	const char *const *choices; /* OPT_CHOICE, NULL-terminated */
};

struct opt_source {
	const char *file;
	GPtrArray *faults; /* char *, g_free() */
};

void opt_fault(const struct opt_source *source, int line, const char *key,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));
/* Sets all defaults, then reads the table's keys. value may be NULL. */
void opt_read(const struct opt_source *source, const struct tb_value *table,
	      const char *path, const struct opt *options, size_t n, void *out);
/* Parses TOML; NULL after a fault was added. tb_free() */
struct tb_value *opt_parse(const struct opt_source *source, const char *text,
			   size_t len);
const struct tb_value *opt_child(const struct tb_value *table, const char *key);
bool opt_is_name(const char *text);
bool opt_is_ip_port(const char *text);

#endif
