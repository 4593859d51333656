/* Debian has no fast JSON parser for C. */
#include "base/jsn.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <cstring>

/* Bytes that a document allocates at a time. */
#define CHUNK_MIN_BYTES 1024
#define CHUNK_MAX_BYTES (256 << 10)
/* Values take about as much memory as their text. */
#define CHUNK_SHARE 2

namespace
{

using Value = rapidjson::Value;

const Value *value_of(const struct jsn *value)
{
	return reinterpret_cast<const Value *>(value);
}

const struct jsn *jsn_of(const Value *value)
{
	return reinterpret_cast<const struct jsn *>(value);
}

size_t chunk_bytes(size_t len)
{
	return std::clamp<size_t>(len * CHUNK_SHARE, CHUNK_MIN_BYTES,
				  CHUNK_MAX_BYTES);
}

/* Returns true if the text has an escaped NUL: C strings would end there. */
bool has_nul(const char *text, size_t len)
{
	static const char escape[] = "\\u0000";
	const char *end = text + len;
	const void *found = text;

	while ((found = memmem(found, (size_t)(end - (const char *)found),
			       escape, sizeof(escape) - 1))) {
		const char *at = static_cast<const char *>(found);
		const char *first = at;

		while (first > text && first[-1] == '\\')
			first--;
		if ((at - first) % 2 == 0)
			return true;
		found = at + 1;
	}
	return false;
}

} // namespace

struct jsn_document {
	explicit jsn_document(size_t len)
	    : allocator(chunk_bytes(len)), document(&allocator)
	{
	}

	rapidjson::MemoryPoolAllocator<> allocator;
	rapidjson::Document document;
};

/* The parser keeps its state on the heap, as bodies may nest values without
 * bound. */
extern "C" struct jsn_document *jsn_parse(const char *text, size_t len,
					  const char **error, int *line)
{
	constexpr unsigned flags = rapidjson::kParseIterativeFlag |
				   rapidjson::kParseValidateEncodingFlag |
				   rapidjson::kParseFullPrecisionFlag;
	auto *ctx = new jsn_document(len);
	rapidjson::Document &document = ctx->document;
	size_t offset = 0;

	document.Parse<flags>(text, len);
	if (document.HasParseError()) {
		*error = rapidjson::GetParseError_En(document.GetParseError());
		offset = std::min(document.GetErrorOffset(), len);
	} else if (has_nul(text, len)) {
		*error = "A string has a NUL.";
	} else {
		return ctx;
	}
	*line = 1 + (int)std::count(text, text + offset, '\n');
	delete ctx;
	return nullptr;
}

/* Frees the document and its values; NULL is allowed. */
extern "C" void jsn_free(struct jsn_document *ctx)
{
	delete ctx;
}

/* Returns the value at the top; NULL for a NULL document. */
extern "C" const struct jsn *jsn_root(const struct jsn_document *ctx)
{
	return ctx ? jsn_of(&ctx->document) : nullptr;
}

/* Returns whether the value is of a type; false for NULL. */
extern "C" bool jsn_is_object(const struct jsn *value)
{
	return value && value_of(value)->IsObject();
}

extern "C" bool jsn_is_array(const struct jsn *value)
{
	return value && value_of(value)->IsArray();
}

extern "C" bool jsn_is_number(const struct jsn *value)
{
	return value && value_of(value)->IsNumber();
}

extern "C" bool jsn_is_integer(const struct jsn *value)
{
	return value && value_of(value)->IsInt64();
}

extern "C" bool jsn_is_null(const struct jsn *value)
{
	return value && value_of(value)->IsNull();
}

extern "C" bool jsn_is_true(const struct jsn *value)
{
	return value && value_of(value)->IsTrue();
}

/* Returns the last member with the key, or NULL. */
extern "C" const struct jsn *jsn_get(const struct jsn *object, const char *key)
{
	const Value *found = nullptr;
	size_t len = std::strlen(key);

	if (!jsn_is_object(object))
		return nullptr;
	for (const auto &member : value_of(object)->GetObject())
		if (member.name.GetStringLength() == len &&
		    !std::memcmp(member.name.GetString(), key, len))
			found = &member.value;
	return jsn_of(found);
}

/* Returns the number of items. */
extern "C" size_t jsn_size(const struct jsn *array)
{
	return jsn_is_array(array) ? value_of(array)->Size() : 0;
}

/* Returns an item, or NULL beyond the last one. */
extern "C" const struct jsn *jsn_at(const struct jsn *array, size_t i)
{
	return i < jsn_size(array)
		       ? jsn_of(&(*value_of(array))[(rapidjson::SizeType)i])
		       : nullptr;
}

/* Returns the text of a string, which has no NUL, or NULL. */
extern "C" const char *jsn_text(const struct jsn *value)
{
	return value && value_of(value)->IsString()
		       ? value_of(value)->GetString()
		       : nullptr;
}

/* Returns a number as the nearest double, or 0. */
extern "C" double jsn_number(const struct jsn *value)
{
	return jsn_is_number(value) ? value_of(value)->GetDouble() : 0;
}

/* Returns an integer of 64 bits, or 0. */
extern "C" int64_t jsn_integer(const struct jsn *value)
{
	return jsn_is_integer(value) ? value_of(value)->GetInt64() : 0;
}
