#include <gtest/gtest.h>

#include <random>
#include <string>

#include <jansson.h>

extern "C" {
#include "base/jsn.h"
}

namespace
{

struct jsn_document *read(const std::string &text)
{
	const char *error = nullptr;
	int line = 0;
	struct jsn_document *out =
		jsn_parse(text.data(), text.size(), &error, &line);

	if (!out) {
		EXPECT_NE(error, nullptr);
		EXPECT_GE(line, 1);
	}
	return out;
}

bool is_read(const std::string &text)
{
	struct jsn_document *document = read(text);

	jsn_free(document);
	return document != nullptr;
}

void expect_same(const struct jsn *value, json_t *want)
{
	const char *text = json_string_value(want);
	const char *key;
	json_t *item;
	size_t i;

	EXPECT_EQ(jsn_is_object(value), json_is_object(want));
	EXPECT_EQ(jsn_is_array(value), json_is_array(want));
	EXPECT_EQ(jsn_is_number(value), json_is_number(want));
	EXPECT_EQ(jsn_is_integer(value), json_is_integer(want));
	EXPECT_EQ(jsn_is_null(value), json_is_null(want));
	EXPECT_EQ(jsn_is_true(value), json_is_true(want));
	EXPECT_EQ(jsn_size(value), json_array_size(want));
	EXPECT_EQ(jsn_number(value), json_number_value(want));
	EXPECT_EQ(jsn_integer(value), json_integer_value(want));
	ASSERT_EQ(jsn_text(value) != nullptr, text != nullptr);
	if (text) {
		EXPECT_STREQ(jsn_text(value), text);
	}
	json_array_foreach(want, i, item)
	{
		expect_same(jsn_at(value, i), item);
	}
	json_object_foreach(want, key, item)
	{
		expect_same(jsn_get(value, key), item);
	}
}

const char *const DOCUMENT =
	"{\"version\": 7, \"routes\": [{\"name\": \"r\\u00e9 \\\"1\\\" \\\\\", "
	"\"weight\": 0.5, \"open\": true, \"none\": null, \"back\": -3}, {}],\n"
	" \"services\": [[], [1, 2.25e2, \"\xc3\xa9\"], false], \"version\": "
	"9, "
	"\"\": \"\"}";

} // namespace

/* Guards against a reader that takes other bodies for valid, or reads other
 * values, than the library that was used before. */
TEST(Jsn, ReadsWhatJanssonReads)
{
	static const char bytes[] = "{}[]\",:\\0123456789.eE+-tfnu \n\x80\xc3";
	std::mt19937 random(5);
	int valid = 0;

	for (int round = 0; round < 20000; round++) {
		std::string text = DOCUMENT;
		json_error_t error;
		json_t *want;
		struct jsn_document *document;

		for (unsigned n = random() % 3; n; n--) {
			size_t at = random() % text.size();

			if (random() % 2)
				text[at] =
					bytes[random() % (sizeof(bytes) - 1)];
			else
				text.erase(at, 1 + random() % 3);
		}
		want = json_loadb(text.data(), text.size(), 0, &error);
		document = read(text);
		ASSERT_EQ(document != nullptr, want != nullptr) << text;
		if (document) {
			valid++;
			expect_same(jsn_root(document), want);
		}
		ASSERT_FALSE(HasFailure()) << text;
		json_decref(want);
		jsn_free(document);
	}
	EXPECT_GT(valid, 1000);
}

TEST(Jsn, StringWithANulIsRefused)
{
	EXPECT_FALSE(is_read("{\"name\": \"a\\u0000b\"}"));
	EXPECT_FALSE(is_read("{\"a\\u0000\": 1}"));
	EXPECT_FALSE(is_read("[\"\\\\\\u0000\"]"));
	EXPECT_TRUE(is_read("[\"\\\\u0000\"]"));
	EXPECT_FALSE(is_read(std::string("[\"\0\"]", 5)));
}

/* Guards against a body that overflows the stack. */
TEST(Jsn, DeepNestingIsRead)
{
	size_t depth = 1000000;

	EXPECT_TRUE(is_read(std::string(depth, '[') + std::string(depth, ']')));
	EXPECT_FALSE(is_read(std::string(depth, '[')));
}

TEST(Jsn, LineOfAnErrorIsNamed)
{
	const char *error = nullptr;
	const std::string text = "{\n\"a\": 1,\n\"b\" 2}";
	int line = 0;

	EXPECT_EQ(jsn_parse(text.data(), text.size(), &error, &line), nullptr);
	EXPECT_EQ(line, 3);
}
