#include <glib.h>
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/zip.h"
}

namespace
{

/* Returns the text after compression and decompression to len bytes, or
 * "refused". */
std::string through(const std::string &text, size_t len, size_t flipped)
{
	size_t n = 0;
	uint8_t *small =
		zip_deflate((const uint8_t *)text.data(), text.size(), &n);
	std::string result = "refused";

	if (flipped < n)
		small[flipped] ^= 0x55;
	uint8_t *large = zip_inflate(small, n, len);
	if (large)
		result.assign((const char *)large, len);
	g_free(large);
	g_free(small);
	return result;
}

} // namespace

/* Guards against updates that arrive changed, or that a peer makes an instance
 * expand to another size than announced. */
TEST(Zip, RefusesOtherSizesAndDamage)
{
	for (size_t len : { 0, 1, 5000, 100000 }) {
		std::string text;

		while (text.size() < len)
			text += "server" + std::to_string(text.size());
		text.resize(len);
		EXPECT_EQ(through(text, len, SIZE_MAX), text);
		EXPECT_EQ(through(text, len + 1, SIZE_MAX), "refused");
		if (len) {
			EXPECT_EQ(through(text, len - 1, SIZE_MAX), "refused");
		}
		EXPECT_EQ(through(text, len, 0), "refused");
	}
}
