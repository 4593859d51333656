#include "conf/opt.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 63

/* Adds one fault as "file:line: key: text"; line 0 leaves out ":line". */
void opt_fault(const struct opt_source *source, int line, const char *key,
	       const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	if (line > 0)
		g_ptr_array_add(source->faults,
				g_strdup_printf("%s:%d: %s: %s", source->file,
						line, key, text));
	else
		g_ptr_array_add(
			source->faults,
			g_strdup_printf("%s: %s: %s", source->file, key, text));
	g_free(text);
}

/* Parses TOML text; tb_free(). Adds a fault and returns NULL if it is not
 * valid TOML. */
struct tb_value *opt_parse(const struct opt_source *source, const char *text,
			   size_t len)
{
	char *error = NULL;
	int line = 0;
	struct tb_value *root = tb_parse(text, len, &error, &line);

	if (root)
		return root;
	opt_fault(source, line, "toml", "%s", error);
	free(error);
	return NULL;
}

/* Returns the value of a key, or NULL if there is none or if table is NULL or
 * not a table. */
const struct tb_value *opt_child(const struct tb_value *table, const char *key)
{
	if (!table || table->type != TB_TABLE)
		return NULL;
	for (size_t i = 0; i < table->n_children; i++)
		if (!strcmp(table->children[i].key, key))
			return &table->children[i];
	return NULL;
}

/* Returns whether the text is a name: [a-z0-9][a-z0-9._-]{0,62}. */
bool opt_is_name(const char *text)
{
	size_t len = strlen(text);

	if (!len || len > NAME_MAX_BYTES)
		return false;
	if (!g_ascii_islower(text[0]) && !g_ascii_isdigit(text[0]))
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

/* Returns whether the text is IP:PORT with a numeric IPv4 address, or
 * [IP]:PORT with a numeric IPv6 address, and a port from 1 to 65535. */
bool opt_is_ip_port(const char *text)
{
	unsigned char address[sizeof(struct in6_addr)];
	const char *colon = strrchr(text, ':');
	char host[INET6_ADDRSTRLEN + 2];
	char *end;
	size_t len;
	long port;

	if (!colon || colon == text || !g_ascii_isdigit(colon[1]))
		return false;
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 1 || port > 65535)
		return false;
	len = (size_t)(colon - text);
	if (len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	if (host[0] == '[' && host[len - 1] == ']') {
		host[len - 1] = '\0';
		return inet_pton(AF_INET6, host + 1, address) == 1;
	}
	return inet_pton(AF_INET, host, address) == 1;
}

static char *join_keys(const struct opt *options, size_t n)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < n; i++)
		g_string_append_printf(out, "%s%s", i ? ", " : "",
				       options[i].key);
	return g_string_free(out, FALSE);
}

static char *join_choices(const char *const *choices)
{
	return g_strjoinv(", ", (char **)choices);
}

static void set_default(const struct opt *option, char *base)
{
	void *at = base + option->offset;

	switch (option->type) {
	case OPT_STRING:
	case OPT_NAME:
	case OPT_IP_PORT:
	case OPT_TCP:
		*(char **)at = g_strdup(option->default_text);
		break;
	case OPT_CHOICE:
		*(int *)at = (int)option->default_value;
		break;
	case OPT_U32:
		*(uint32_t *)at = (uint32_t)option->default_value;
		break;
	case OPT_U64:
		*(uint64_t *)at = (uint64_t)option->default_value;
		break;
	case OPT_MS_AS_US:
		*(int64_t *)at = (int64_t)(option->default_value * 1000);
		break;
	case OPT_NUMBER:
		*(double *)at = option->default_value;
		break;
	case OPT_BOOL:
		*(bool *)at = option->default_value != 0;
		break;
	case OPT_TABLE:
	case OPT_TABLES:
	case OPT_LIST:
		break;
	}
}

static void replace_string(void *at, const char *text)
{
	g_free(*(char **)at);
	*(char **)at = g_strdup(text);
}

static bool text_is_valid(const struct opt *option, const char *text,
			  const char **allowed)
{
	switch (option->type) {
	case OPT_NAME:
		*allowed = "a name of up to 63 characters from a-z, 0-9, '.', "
			   "'_' and '-' that starts with a letter or digit";
		return opt_is_name(text);
	case OPT_IP_PORT:
		*allowed = "IP:PORT with a numeric address";
		return opt_is_ip_port(text);
	case OPT_TCP:
		*allowed = "tcp://IP:PORT with a numeric address";
		return g_str_has_prefix(text, "tcp://") &&
		       opt_is_ip_port(text + strlen("tcp://"));
	default:
		*allowed = "a string that is not empty";
		return *text != '\0';
	}
}

static void read_text(const struct opt_source *source,
		      const struct tb_value *value, const char *key,
		      const struct opt *option, void *at)
{
	const char *allowed;

	if (text_is_valid(option, value->type == TB_STRING ? value->text : "",
			  &allowed)) {
		replace_string(at, value->text);
		return;
	}
	opt_fault(source, value->line, key, "given \"%s\"; allowed: %s",
		  value->text, allowed);
}

static void read_choice(const struct opt_source *source,
			const struct tb_value *value, const char *key,
			const struct opt *option, void *at)
{
	char *list;

	for (int i = 0; value->type == TB_STRING && option->choices[i]; i++) {
		if (!strcmp(option->choices[i], value->text)) {
			*(int *)at = i;
			return;
		}
	}
	list = join_choices(option->choices);
	opt_fault(source, value->line, key, "given \"%s\"; allowed: %s",
		  value->text, list);
	g_free(list);
}

static void read_number(const struct opt_source *source,
			const struct tb_value *value, const char *key,
			const struct opt *option, void *at)
{
	bool whole = option->type != OPT_NUMBER;
	bool type_ok = value->type == TB_INTEGER ||
		       (!whole && value->type == TB_FLOAT);

	/* The negated comparison also rejects NaN. */
	if (!type_ok ||
	    !(value->number >= option->min && value->number <= option->max)) {
		opt_fault(source, value->line, key,
			  "given %s; allowed: %s from %.15g to %.15g",
			  value->text, whole ? "a whole number" : "a number",
			  option->min, option->max);
		return;
	}
	if (option->type == OPT_U32)
		*(uint32_t *)at = (uint32_t)value->integer;
	else if (option->type == OPT_U64)
		*(uint64_t *)at = (uint64_t)value->integer;
	else if (option->type == OPT_MS_AS_US)
		*(int64_t *)at = value->integer * 1000;
	else
		*(double *)at = value->number;
}

static void read_value(const struct opt_source *source,
		       const struct tb_value *value, const char *key,
		       const struct opt *option, char *base)
{
	void *at = base + option->offset;

	switch (option->type) {
	case OPT_STRING:
	case OPT_NAME:
	case OPT_IP_PORT:
	case OPT_TCP:
		read_text(source, value, key, option, at);
		break;
	case OPT_CHOICE:
		read_choice(source, value, key, option, at);
		break;
	case OPT_U32:
	case OPT_U64:
	case OPT_MS_AS_US:
	case OPT_NUMBER:
		read_number(source, value, key, option, at);
		break;
	case OPT_BOOL:
		if (value->type == TB_BOOLEAN)
			*(bool *)at = value->boolean;
		else
			opt_fault(source, value->line, key,
				  "given \"%s\"; allowed: true, false",
				  value->text);
		break;
	case OPT_TABLE:
		if (value->type != TB_TABLE)
			opt_fault(source, value->line, key,
				  "given \"%s\"; allowed: a table [%s]",
				  value->text, key);
		break;
	case OPT_LIST:
		if (value->type != TB_ARRAY)
			opt_fault(source, value->line, key,
				  "given \"%s\"; allowed: a list", value->text);
		break;
	case OPT_TABLES:
		if (value->type != TB_ARRAY)
			opt_fault(source, value->line, key,
				  "given \"%s\"; allowed: tables [[%s]]",
				  value->text, key);
		break;
	}
}

/*
 * Sets all options in the struct out to their defaults, then reads the keys of
 * the table. Unknown keys, wrong types, values out of range and missing
 * required keys are added to the faults. path is the table's name in messages,
 * "" for the root. A NULL table counts as empty.
 */
void opt_read(const struct opt_source *source, const struct tb_value *table,
	      const char *path, const struct opt *options, size_t n, void *out)
{
	const char *dot = path[0] ? "." : "";
	size_t children =
		table && table->type == TB_TABLE ? table->n_children : 0;

	for (size_t i = 0; i < n; i++)
		set_default(&options[i], out);
	for (size_t i = 0; i < children; i++) {
		const struct tb_value *value = &table->children[i];
		char *key = g_strconcat(path, dot, value->key, NULL);
		size_t k;

		for (k = 0; k < n; k++)
			if (!strcmp(options[k].key, value->key))
				break;
		if (k < n) {
			read_value(source, value, key, &options[k], out);
		} else {
			char *known = join_keys(options, n);

			opt_fault(source, value->line, key,
				  "unknown key; allowed: %s", known);
			g_free(known);
		}
		g_free(key);
	}
	for (size_t i = 0; i < n; i++) {
		char *key;

		if (!options[i].required || opt_child(table, options[i].key))
			continue;
		key = g_strconcat(path, dot, options[i].key, NULL);
		opt_fault(source, table ? table->line : 0, key,
			  "missing; the key is required");
		g_free(key);
	}
}
