/* C++, as Debian has no TOML library for C. */
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>

#include "conf/tb.h"

namespace
{

char *copy_string(std::string_view text)
{
	char *out = static_cast<char *>(std::malloc(text.size() + 1));

	std::memcpy(out, text.data(), text.size());
	out[text.size()] = '\0';
	return out;
}

void allocate_children(tb_value *out, size_t n)
{
	out->n_children = n;
	out->children = static_cast<tb_value *>(
		std::calloc(n ? n : 1, sizeof(*out->children)));
}

void convert(const toml::node &node, tb_value *out)
{
	std::ostringstream text;
	size_t i = 0;

	out->line = static_cast<int>(node.source().begin.line);
	if (const toml::table *table = node.as_table()) {
		out->type = TB_TABLE;
		out->text = copy_string("a table");
		allocate_children(out, table->size());
		for (const auto &[key, child] : *table) {
			out->children[i].key =
				copy_string(std::string_view(key));
			convert(child, &out->children[i++]);
		}
		return;
	}
	if (const toml::array *array = node.as_array()) {
		out->type = TB_ARRAY;
		out->text = copy_string("an array");
		allocate_children(out, array->size());
		for (const auto &child : *array)
			convert(child, &out->children[i++]);
		return;
	}
	if (const auto *value = node.as_string()) {
		/* C strings end at a NUL, which TOML allows as an escape. */
		bool has_nul = value->get().find('\0') != std::string::npos;

		out->type = has_nul ? TB_OTHER : TB_STRING;
		out->text = copy_string(
			has_nul ? std::string_view("a string with a NUL")
				: std::string_view(value->get()));
		return;
	}
	if (const auto *value = node.as_integer()) {
		out->type = TB_INTEGER;
		out->integer = value->get();
		out->number = static_cast<double>(value->get());
		text << value->get();
	} else if (const auto *floating = node.as_floating_point()) {
		out->type = TB_FLOAT;
		out->number = floating->get();
		text << floating->get();
	} else if (const auto *flag = node.as_boolean()) {
		out->type = TB_BOOLEAN;
		out->boolean = flag->get();
		text << (flag->get() ? "true" : "false");
	} else {
		out->type = TB_OTHER;
		text << "a date or time";
	}
	out->text = copy_string(text.str());
}

void free_members(tb_value *value)
{
	for (size_t i = 0; i < value->n_children; i++)
		free_members(&value->children[i]);
	std::free(value->children);
	std::free(value->key);
	std::free(value->text);
}

} // namespace

/* Parses TOML text; tb_free(). If it is not valid TOML, returns NULL and sets
 * line and error, which is freed with free(). */
extern "C" struct tb_value *tb_parse(const char *text, size_t len, char **error,
				     int *line)
{
	toml::parse_result result = toml::parse(std::string_view(text, len));

	if (!result) {
		*error = copy_string(result.error().description());
		*line = static_cast<int>(result.error().source().begin.line);
		return nullptr;
	}
	auto *root = static_cast<tb_value *>(std::calloc(1, sizeof(tb_value)));
	convert(result.table(), root);
	return root;
}

/* Frees a tree of values; NULL is allowed. */
extern "C" void tb_free(struct tb_value *root)
{
	if (!root)
		return;
	free_members(root);
	std::free(root);
}
