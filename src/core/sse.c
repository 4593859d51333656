#include "core/sse.h"

#include <glib.h>
#include <string.h>

struct sse {
	GString *event;	   /* bytes since the last complete event */
	size_t line_start; /* offset of the current line in event */
	char *id;	   /* of the current event, or NULL */
};

/* Creates a parser at the start of a stream. */
struct sse *sse_new(void)
{
	struct sse *ctx = g_new0(struct sse, 1);

	ctx->event = g_string_new(NULL);
	return ctx;
}

/* Frees the parser; NULL is allowed. */
void sse_free(struct sse *ctx)
{
	if (!ctx)
		return;
	g_string_free(ctx->event, TRUE);
	g_free(ctx->id);
	g_free(ctx);
}

/* Drops an unfinished event; the next byte starts a new one. */
void sse_reset(struct sse *ctx)
{
	g_string_truncate(ctx->event, 0);
	ctx->line_start = 0;
	g_clear_pointer(&ctx->id, g_free);
}

/* Returns the size of the unfinished event in bytes. */
size_t sse_unfinished(const struct sse *ctx)
{
	return ctx->event->len;
}

/* Parses one line without its line feed; returns true for a blank line. */
static bool parse_line(struct sse *ctx, const char *line, size_t len)
{
	if (len && line[len - 1] == '\r')
		len--;
	if (!len)
		return true;
	if (len > 3 && !strncmp(line, "id:", 3)) {
		g_free(ctx->id);
		ctx->id = g_strstrip(g_strndup(line + 3, len - 3));
	}
	return false;
}

/* Parses bytes of the stream and calls emit for each event that they complete.
 */
void sse_feed(struct sse *ctx, const char *bytes, size_t len, sse_emit *emit,
	      void *data)
{
	for (size_t i = 0; i < len; i++) {
		bool blank;

		g_string_append_c(ctx->event, bytes[i]);
		if (bytes[i] != '\n')
			continue;
		blank = parse_line(ctx, ctx->event->str + ctx->line_start,
				   ctx->event->len - 1 - ctx->line_start);
		ctx->line_start = ctx->event->len;
		if (!blank)
			continue;
		emit(data, ctx->event->str, ctx->event->len, ctx->id);
		sse_reset(ctx);
	}
}
