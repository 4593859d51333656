#ifndef CONF_TB_H
#define CONF_TB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * TOML bridge (tb): a C interface to the C++ parser toml++. A parsed file is a
 * tree of values, each with its type and line.
 */

enum tb_type {
	TB_TABLE,
	TB_ARRAY,
	TB_STRING,
	TB_INTEGER,
	TB_FLOAT,
	TB_BOOLEAN,
	TB_OTHER, /* date, time, or string with a NUL; text names which */
};

struct tb_value {
	enum tb_type type;
	int line;
	char *key;  /* owned; NULL for array items and the root */
	char *text; /* owned; string, scalar as text, or name of the type */
	int64_t integer;
	double number; /* TB_FLOAT, and TB_INTEGER as a double */
	bool boolean;
	struct tb_value *children; /* owned; TB_TABLE and TB_ARRAY */
	size_t n_children;
};

struct tb_value *tb_parse(const char *text, size_t len, char **error,
			  int *line);
void tb_free(struct tb_value *root);

#ifdef __cplusplus
}
#endif

#endif
