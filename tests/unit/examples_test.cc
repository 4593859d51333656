#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

extern "C" {
#include "conf/doc.h"
#include "conf/set.h"
}

namespace
{

std::string read_file(const std::filesystem::path &path)
{
	std::ifstream in(path);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

std::string join(GPtrArray *faults)
{
	std::string out;

	for (guint i = 0; i < faults->len; i++)
		out += std::string((char *)faults->pdata[i]) + "\n";
	g_ptr_array_free(faults, TRUE);
	return out;
}

struct Example {
	std::set<std::string> sites;
	size_t instances = 0;
};

/* Checks all settings files of an example; document.toml is no settings file.
 */
Example check_settings(const std::string &folder)
{
	Example example;

	for (const auto &file : std::filesystem::directory_iterator(folder)) {
		if (file.path().filename() == "document.toml")
			continue;
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		std::string text = read_file(file.path());
		struct set *set = set_parse(file.path().c_str(), text.data(),
					    text.size(), faults);

		EXPECT_EQ(join(faults), "");
		if (!set)
			continue;
		example.sites.insert(set->site);
		example.instances++;
		set_free(set);
	}
	return example;
}

void check_document(const std::string &folder, size_t models, size_t adapters)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	std::string text = read_file(folder + "/document.toml");
	struct doc *doc =
		doc_parse("document.toml", text.data(), text.size(), faults);

	EXPECT_EQ(join(faults), "");
	ASSERT_NE(doc, nullptr);
	EXPECT_EQ(doc->n_models, models);
	EXPECT_EQ(doc->n_adapters, adapters);
	doc_free(doc);
}

} // namespace

/* The shipped example is valid and has the documented size. */
TEST(Examples, VerbandIsValid)
{
	Example example = check_settings("examples/verband");

	EXPECT_EQ(example.sites.size(), 4u);
	EXPECT_EQ(example.instances, 7u);
	check_document("examples/verband", 13, 55);
}

/* The shipped example is valid and has the documented size. */
TEST(Examples, MareaAltaIsValid)
{
	Example example = check_settings("examples/marea-alta");

	EXPECT_EQ(example.sites.size(), 3u);
	EXPECT_EQ(example.instances, 6u);
	check_document("examples/marea-alta", 15, 75);
}

/* The shipped example is valid and has the documented size. */
TEST(Examples, TasmexIsValid)
{
	Example example = check_settings("examples/tasmex");

	EXPECT_EQ(example.sites.size(), 4u);
	EXPECT_EQ(example.instances, 7u);
	check_document("examples/tasmex", 26, 94);
}
