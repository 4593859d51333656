#ifndef BASE_ZIP_H
#define BASE_ZIP_H

#include <stddef.h>
#include <stdint.h>

/* Compression of messages in memory, in zlib format. */

uint8_t *zip_deflate(const uint8_t *data, size_t len, size_t *out_len);
uint8_t *zip_inflate(const uint8_t *data, size_t len, size_t out_len);

#endif
