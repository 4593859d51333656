#ifndef CORE_TXT_H
#define CORE_TXT_H

#include <glib.h>
#include <stdbool.h>

#include "proto/messages.pb-c.h"

/* A text as a change of an earlier one (txt): pieces that are taken from the
 * earlier text or are given. No I/O. */

GPtrArray *txt_diff(const ProtobufCBinaryData *base,
		    const ProtobufCBinaryData *text);
bool txt_apply(const ProtobufCBinaryData *base, Dsp__TextPiece *const *pieces,
	       size_t n, ProtobufCBinaryData *out);

#endif
