#include "base/zip.h"

#include <glib.h>
#include <zlib.h>

/* Returns the compressed data, to be freed with g_free(), or NULL. The fastest
 * level: a control instance has a fraction of a processor. */
uint8_t *zip_deflate(const uint8_t *data, size_t len, size_t *out_len)
{
	uLongf n = compressBound(len);
	uint8_t *out = g_malloc(n + 1);

	if (compress2(out, &n, data, len, Z_BEST_SPEED) != Z_OK) {
		g_free(out);
		return NULL;
	}
	*out_len = n;
	return out;
}

/* Returns the out_len bytes that were compressed, to be freed with g_free(), or
 * NULL if the data is malformed or has another number of bytes. */
uint8_t *zip_inflate(const uint8_t *data, size_t len, size_t out_len)
{
	uLongf n = out_len + 1; /* with 0, a longer result is no error */
	uint8_t *out = g_try_malloc(out_len + 1);

	if (!out)
		return NULL;
	if (uncompress(out, &n, data, len) != Z_OK || n != out_len) {
		g_free(out);
		return NULL;
	}
	return out;
}
