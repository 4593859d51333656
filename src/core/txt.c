#include "core/txt.h"

#include <string.h>
#include <xxhash.h>

/* Longest part of a text that is looked up in the earlier one. */
#define PART_BYTES_MAX 256
/* Largest text that pieces may describe. */
#define TEXT_BYTES_MAX (64U << 20)

struct part {
	const uint8_t *data;
	size_t len;
};

/* Returns the next part: up to the end of an object, list or line. */
static struct part next_part(const ProtobufCBinaryData *text, size_t from)
{
	struct part part = { .data = text->data + from };
	size_t left = text->len - from;

	while (part.len < MIN(left, PART_BYTES_MAX)) {
		uint8_t c = part.data[part.len++];

		if (c == '}' || c == ']' || c == '\n')
			break;
	}
	return part;
}

static guint part_hash(const void *data)
{
	const struct part *part = data;

	return (guint)XXH3_64bits(part->data, part->len);
}

static gboolean part_equal(const void *a, const void *b)
{
	const struct part *x = a;
	const struct part *y = b;

	return x->len == y->len && !memcmp(x->data, y->data, x->len);
}

static void free_piece(void *data)
{
	dsp__text_piece__free_unpacked(data, NULL);
}

static Dsp__TextPiece *add_piece(GPtrArray *pieces)
{
	Dsp__TextPiece *piece = g_new(Dsp__TextPiece, 1);

	dsp__text_piece__init(piece);
	g_ptr_array_add(pieces, piece);
	return piece;
}

static void give(GPtrArray *pieces, const struct part *part)
{
	Dsp__TextPiece *piece =
		pieces->len ? pieces->pdata[pieces->len - 1] : NULL;

	if (!piece)
		piece = add_piece(pieces);
	piece->text.data =
		g_realloc(piece->text.data, piece->text.len + part->len);
	memcpy(piece->text.data + piece->text.len, part->data, part->len);
	piece->text.len += part->len;
}

static void take(GPtrArray *pieces, size_t at, size_t len)
{
	Dsp__TextPiece *piece =
		pieces->len ? pieces->pdata[pieces->len - 1] : NULL;

	if (!piece || piece->text.len || piece->first + piece->count != at) {
		piece = add_piece(pieces);
		piece->first = at;
	}
	piece->count += len;
}

/* Returns the pieces (Dsp__TextPiece, owned) that make text from base. */
GPtrArray *txt_diff(const ProtobufCBinaryData *base,
		    const ProtobufCBinaryData *text)
{
	GPtrArray *pieces = g_ptr_array_new_with_free_func(free_piece);
	GHashTable *known =
		g_hash_table_new_full(part_hash, part_equal, g_free, NULL);
	size_t expected = 0;
	struct part part;

	for (size_t at = 0; at < base->len; at += part.len) {
		part = next_part(base, at);
		g_hash_table_replace(known, g_memdup2(&part, sizeof(part)),
				     (void *)(at + 1));
	}
	for (size_t at = 0; at < text->len; at += part.len) {
		size_t found;

		part = next_part(text, at);
		/* A part that is there more than once continues the run. */
		if (base->len - expected >= part.len &&
		    !memcmp(base->data + expected, part.data, part.len))
			found = expected + 1;
		else
			found = (size_t)g_hash_table_lookup(known, &part);
		if (!found) {
			give(pieces, &part);
			continue;
		}
		take(pieces, found - 1, part.len);
		expected = found - 1 + part.len;
	}
	g_hash_table_destroy(known);
	return pieces;
}

/* Makes the text of the pieces; g_free() its data. Returns false if they refer
 * to what base does not have, or if the text is too long. */
bool txt_apply(const ProtobufCBinaryData *base, Dsp__TextPiece *const *pieces,
	       size_t n, ProtobufCBinaryData *out)
{
	size_t len = 0;

	for (size_t i = 0; i < n; i++) {
		if (pieces[i]->first > base->len ||
		    pieces[i]->count > base->len - pieces[i]->first)
			return false;
		len += pieces[i]->count + pieces[i]->text.len;
		if (len > TEXT_BYTES_MAX)
			return false;
	}
	*out = (ProtobufCBinaryData){ .data = g_malloc(len + 1) };
	for (size_t i = 0; i < n; i++) {
		const Dsp__TextPiece *piece = pieces[i];

		if (piece->count)
			memcpy(out->data + out->len, base->data + piece->first,
			       piece->count);
		out->len += piece->count;
		if (piece->text.len)
			memcpy(out->data + out->len, piece->text.data,
			       piece->text.len);
		out->len += piece->text.len;
	}
	return true;
}
