#ifndef BASE_JSN_H
#define BASE_JSN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * JSON reader (jsn): a C interface to the C++ parser RapidJSON, for bodies that
 * are too large to allocate each value by itself. Values belong to their
 * document. The queries accept NULL and values of other types, for which they
 * return the neutral result that they name.
 */
struct jsn_document;
struct jsn;

/* Returns the document, to be freed with jsn_free(). If the text is no valid
 * JSON in UTF-8, or a string has a NUL, returns NULL and sets error, which is a
 * constant, and the line. */
struct jsn_document *jsn_parse(const char *text, size_t len, const char **error,
			       int *line);
void jsn_free(struct jsn_document *ctx);

/* Queries. */
const struct jsn *jsn_root(const struct jsn_document *ctx);
bool jsn_is_object(const struct jsn *value);
bool jsn_is_array(const struct jsn *value);
bool jsn_is_number(const struct jsn *value);
bool jsn_is_integer(const struct jsn *value); /* of 64 bits */
bool jsn_is_null(const struct jsn *value);
bool jsn_is_true(const struct jsn *value);
const struct jsn *jsn_get(const struct jsn *object, const char *key); /* NULL */
size_t jsn_size(const struct jsn *array);			      /* 0 */
const struct jsn *jsn_at(const struct jsn *array, size_t i);	      /* NULL */
const char *jsn_text(const struct jsn *value);			      /* NULL */
double jsn_number(const struct jsn *value);			      /* 0 */
int64_t jsn_integer(const struct jsn *value);			      /* 0 */

#ifdef __cplusplus
}
#endif

#endif
