#include "http/hio_int.h"

#include <arpa/inet.h>
#include <string.h>

G_DEFINE_QUARK(hio - error - quark, hio_error)

/* Starts a timer with a delay in microseconds; 0 or less stops it. */
void hio_set_timer(struct event *timer, int64_t delay_us)
{
	struct timeval delay = { .tv_sec = delay_us / 1000000,
				 .tv_usec = delay_us % 1000000 };

	if (delay_us > 0)
		event_add(timer, &delay);
	else
		event_del(timer);
}

/* Returns the value of the first field with this name (any case), or NULL. */
const char *hio_field(const struct hio_fields *fields, const char *name)
{
	for (size_t i = 0; i < fields->n; i++)
		if (!g_ascii_strcasecmp(fields->all[i].name, name))
			return fields->all[i].value;
	return NULL;
}

static bool has_only(const char *text, size_t len, const char *marks)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (!text[i] || !strchr(marks, text[i])))
			return false;
	return true;
}

/* Returns whether all bytes may stand in a request's target: RFC 9112, section
 * 3.2. */
bool hio_is_target(const char *text, size_t len)
{
	return has_only(text, len, "-._~:/?[]@!$&'()*+,;=%");
}

/* Returns whether all bytes may stand in a token, such as a field's name: RFC
 * 9110, section 5.6.2. */
bool hio_is_token(const char *text, size_t len)
{
	return has_only(text, len, "!#$%&'*+-.^_`|~");
}

/* Returns whether a number is a status code, also one that is not registered:
 * RFC 9110, section 15. */
bool hio_is_status(int status)
{
	return status >= 100 && status <= 599;
}

static guint hash_name(gconstpointer name)
{
	guint hash = 5381;

	for (const char *c = name; *c; c++)
		hash = hash * 33 + (guchar)g_ascii_tolower(*c);
	return hash;
}

static gboolean is_same_name(gconstpointer a, gconstpointer b)
{
	return !g_ascii_strcasecmp(a, b);
}

/* Returns the names that the fields "Connection" list, or NULL for none. Free
 * the set with g_hash_table_unref(). */
GHashTable *hio_connection_names(const struct hio_fields *fields)
{
	GHashTable *names = NULL;

	for (size_t i = 0; i < fields->n; i++) {
		g_auto(GStrv) items = NULL;

		if (g_ascii_strcasecmp(fields->all[i].name, "connection") != 0)
			continue;
		if (!names)
			names = g_hash_table_new_full(hash_name, is_same_name,
						      g_free, NULL);
		items = g_strsplit(fields->all[i].value, ",", -1);
		for (size_t k = 0; items[k]; k++)
			g_hash_table_add(names, g_strdup(g_strstrip(items[k])));
	}
	return names;
}

/* Returns whether a field concerns one connection only and must not be
 * forwarded: RFC 9110, section 7.6.1. connection_names are those of its
 * message; NULL: none. */
bool hio_is_hop_by_hop_field(GHashTable *connection_names, const char *name)
{
	static const char *const hop[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"te",
		"transfer-encoding",
		"trailer",
		"upgrade",
		"content-length",
		"proxy-authenticate",
		"proxy-authorization",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(hop[i], name))
			return true;
	return connection_names &&
	       g_hash_table_contains(connection_names, name);
}

/* Frees all fields. */
void hio_fields_clear(struct hio_fields *fields)
{
	for (size_t i = 0; i < fields->n && !fields->text; i++) {
		g_free(fields->all[i].name);
		g_free(fields->all[i].value);
	}
	g_free(fields->text);
	g_free(fields->all);
	*fields = (struct hio_fields){ 0 };
}

/* Begins with the bytes that the parser reads next. */
void hio_input_begin(struct hio_input *ctx, const char *bytes)
{
	ctx->bytes = bytes;
	ctx->unchecked = bytes;
}

/* Returns the place of a byte in the connection's input. */
uint64_t hio_input_offset(const struct hio_input *ctx, const char *at)
{
	return ctx->offset + (uint64_t)(at - ctx->bytes);
}

/* Returns false for a CR without its LF, and for chunk data without CRLF behind
 * it: the parser takes any two bytes there, and any byte after a CR. */
static bool check_line_ends(struct hio_input *ctx, const char *end)
{
	for (const char *c = ctx->unchecked; c < end; c++) {
		if (ctx->expect == HIO_CR && *c != '\r')
			return false;
		if (ctx->expect == HIO_LF && *c != '\n')
			return false;
		ctx->expect = *c == '\r' ? HIO_LF : HIO_ANY;
	}
	return true;
}

/* Takes note of a piece of a body. Returns false if a line end before it is
 * malformed. */
bool hio_input_body(struct hio_input *ctx, const http_parser *parser,
		    const char *at, size_t len)
{
	/* Further data of the same chunk has no line end before it. */
	if (at > ctx->unchecked &&
	    (!check_line_ends(ctx, at) || ctx->expect != HIO_ANY))
		return false;
	ctx->unchecked = at + len;
	ctx->expect = parser->flags & F_CHUNKED ? HIO_CR : HIO_ANY;
	return true;
}

/* Ends with len bytes that the parser has read. Returns false if a line end in
 * them is malformed. */
bool hio_input_end(struct hio_input *ctx, size_t len)
{
	bool valid = check_line_ends(ctx, ctx->bytes + len);

	ctx->offset += len;
	return valid;
}

/* Initializes a builder without fields. */
void hio_builder_init(struct hio_builder *ctx)
{
	*ctx = (struct hio_builder){
		.text = g_string_new(NULL),
		.name = g_string_new(NULL),
		.value = g_string_new(NULL),
	};
}

static void free_string(GString *string)
{
	if (string)
		g_string_free(string, TRUE);
}

/* Frees what a builder holds. */
void hio_builder_clear(struct hio_builder *ctx)
{
	if (!ctx->finished)
		ctx->fields.n = 0; /* offsets, not strings */
	hio_fields_clear(&ctx->fields);
	free_string(ctx->text);
	free_string(ctx->name);
	free_string(ctx->value);
	*ctx = (struct hio_builder){ 0 };
}

static size_t append_text(GString *text, const GString *piece)
{
	size_t offset = text->len;

	g_string_append_len(text, piece->str, (gssize)piece->len + 1);
	return offset;
}

/* One text for all fields: two allocations for each took 17 times the size of
 * short ones. */
static void keep_field(struct hio_builder *ctx)
{
	struct hio_fields *fields = &ctx->fields;

	if (fields->n == ctx->capacity) {
		ctx->capacity = MAX(8, ctx->capacity * 2);
		fields->all =
			g_renew(struct hio_field, fields->all, ctx->capacity);
	}
	fields->all[fields->n++] = (struct hio_field){
		.name = GSIZE_TO_POINTER(append_text(ctx->text, ctx->name)),
		.value = GSIZE_TO_POINTER(append_text(ctx->text, ctx->value)),
	};
}

static void end_field(struct hio_builder *ctx)
{
	if (!ctx->name->len)
		return;
	if (!ctx->finished)
		keep_field(ctx);
	ctx->fields.bytes += ctx->name->len + ctx->value->len;
	g_string_truncate(ctx->name, 0);
	g_string_truncate(ctx->value, 0);
	ctx->in_value = false;
}

/* Appends bytes to a field's name. Returns false if one is not allowed there:
 * the parser accepts spaces in names. */
bool hio_builder_name(struct hio_builder *ctx, const char *at, size_t len)
{
	if (ctx->in_value)
		end_field(ctx);
	if (!hio_is_token(at, len))
		return false;
	g_string_append_len(ctx->name, at, (gssize)len);
	return true;
}

/*
 * Appends bytes to a field's value; offset is their place in the connection's
 * input. Returns false for a control byte other than a tab, which the parser
 * accepts as the first byte, and for a value folded over several lines, whose
 * pieces the parser delivers without the line ends between them.
 */
bool hio_builder_value(struct hio_builder *ctx, uint64_t offset, const char *at,
		       size_t len)
{
	if (ctx->in_value && offset != ctx->value_end)
		return false;
	ctx->in_value = true;
	ctx->value_end = offset + len;
	for (size_t i = 0; i < len; i++)
		if (g_ascii_iscntrl(at[i]) && at[i] != '\t')
			return false;
	g_string_append_len(ctx->value, at, (gssize)len);
	return true;
}

/* Ends the last field, and the header with the first call; fields that follow
 * are trailers, whose bytes are checked and not kept. Returns the total length
 * of names and values. */
size_t hio_builder_finish(struct hio_builder *ctx)
{
	struct hio_fields *fields = &ctx->fields;
	size_t len;

	end_field(ctx);
	if (ctx->finished)
		return fields->bytes;
	ctx->finished = true;
	ctx->capacity = fields->n;
	fields->all = g_renew(struct hio_field, fields->all, fields->n);
	len = ctx->text->len;
	fields->text = g_realloc(g_string_free(ctx->text, FALSE), len + 1);
	ctx->text = NULL;
	for (size_t i = 0; i < fields->n; i++) {
		struct hio_field *field = &fields->all[i];

		field->name = fields->text + GPOINTER_TO_SIZE(field->name);
		field->value = fields->text + GPOINTER_TO_SIZE(field->value);
	}
	return fields->bytes;
}

/* Returns the memory that a builder and its fields take, with what the
 * allocator adds left out. */
size_t hio_builder_held(const struct hio_builder *ctx)
{
	size_t held = ctx->capacity * sizeof(struct hio_field);

	held += ctx->text ? ctx->text->allocated_len : ctx->fields.bytes;
	if (ctx->finished)
		held += 2 * ctx->fields.n;
	if (ctx->name)
		held += ctx->name->allocated_len + ctx->value->allocated_len;
	return held;
}

/* Parses IP:PORT with a numeric IPv4 address. */
bool hio_parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	guint64 port;

	if (!colon)
		return false;
	host = g_strndup(text, (gsize)(colon - text));
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return false;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static void unref_bytes(const void *data, size_t len, void *bytes)
{
	(void)data;
	(void)len;
	g_byte_array_unref(bytes);
}

/* Appends bytes to a buffer without a copy. The array must not be changed as
 * long as the buffer has it. */
void hio_add_shared(struct evbuffer *out, GByteArray *bytes)
{
	if (bytes->len)
		evbuffer_add_reference(out, bytes->data, bytes->len,
				       unref_bytes, g_byte_array_ref(bytes));
}
