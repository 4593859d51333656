#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "conf/doc.h"
#include "conf/set.h"
}

namespace
{

const char kDocument[] = R"(team = "verband"
number = 3
default_class = "staff"
[weights]
attainment = 1.0
moves = 4.0
[store]
loads_per_s = 1.0
parallel_loads = 5
adapters_in_transit = 40
[[service]]
name = "kellerrat"
kind = "engine"
[[service]]
name = "pressplan"
kind = "plain"
[[model]]
name = "brine-7b"
service = "kellerrat"
memory_mb = 16000
[[adapter]]
name = "picual"
model = "brine-7b"
memory_mb = 200
[[class]]
name = "staff"
first_token_ms = 500
share = 0.5
[[non_idempotent]]
service = "pressplan"
path_prefix = "/slots"
)";

const char kSettings[] = R"(id = "muc1"
site = "muenchen"
region = "bayern"
control = true
data_folder = "/tmp/muc1"
internal_listen = "tcp://127.0.0.1:7001"
http_listen = "127.0.0.1:8001"
[[peer]]
id = "muc1"
address = "tcp://127.0.0.1:7001"
site = "muenchen"
)";

std::string replaced(std::string text, const std::string &from,
		     const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

template <typename Parse, typename Free>
std::vector<std::string> faults_of(const std::string &text, Parse parse,
				   Free release)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	std::vector<std::string> out;
	auto *parsed = parse("file.toml", text.data(), text.size(), faults);

	for (guint i = 0; i < faults->len; i++)
		out.push_back((const char *)faults->pdata[i]);
	EXPECT_EQ(parsed == nullptr, !out.empty());
	release(parsed);
	g_ptr_array_free(faults, TRUE);
	return out;
}

std::vector<std::string> document_faults(const std::string &text)
{
	return faults_of(text, doc_parse, doc_free);
}

std::vector<std::string> settings_faults(const std::string &text)
{
	return faults_of(text, set_parse, set_free);
}

} // namespace

/* The number of voters follows from losses unless the settings give it. */
TEST(Settings, VotersFollowFromLosses)
{
	struct Case {
		const char *line;
		uint32_t voters;
	} const cases[] = { { "", 7 },
			    { "losses = 0\n", 3 },
			    { "losses = 1\n", 3 },
			    { "losses = 2\n", 5 },
			    { "losses = 2\nvoters = 3\n", 3 } };

	for (const auto &c : cases) {
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		std::string text = c.line + std::string(kSettings);
		struct set *set =
			set_parse("x", text.c_str(), text.size(), faults);

		ASSERT_NE(set, nullptr) << c.line;
		EXPECT_EQ(set->voters, c.voters) << c.line;
		set_free(set);
		g_ptr_array_free(faults, TRUE);
	}
}

/* A valid document is read with its values and the defaults. */
TEST(Document, ReadsValuesAndDefaults)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct doc *doc =
		doc_parse("d", kDocument, sizeof(kDocument) - 1, faults);

	ASSERT_NE(doc, nullptr) << (const char *)faults->pdata[0];
	EXPECT_STREQ(doc->team, "verband");
	EXPECT_EQ(doc->number, 3u);
	EXPECT_EQ(doc->weight_moves, 4.0);
	EXPECT_TRUE(doc_service(doc, "kellerrat")->orders_may_duplicate);
	EXPECT_EQ(doc_model(doc, "brine-7b")->min_copies, 1u);
	EXPECT_STREQ(doc_model(doc, "brine-7b")->version, "1");
	EXPECT_NE(doc_adapter(doc, "brine-7b", "picual"), nullptr);
	EXPECT_EQ(doc_class(doc, "")->first_token_us, 500000);
	EXPECT_EQ(doc_class(doc, "nobody"), nullptr);
	EXPECT_TRUE(
		doc_is_non_idempotent(doc, "pressplan", "POST", "/slots/7"));
	EXPECT_FALSE(
		doc_is_non_idempotent(doc, "pressplan", "GET", "/slots/7"));
	EXPECT_FALSE(doc_is_non_idempotent(doc, "pressplan", "POST", "/lots"));
	doc_free(doc);
	g_ptr_array_free(faults, TRUE);
}

/* All faults are reported at once, each with file, line, key, value and what is
 * allowed. */
TEST(Document, ReportsEveryFaultWithItsLine)
{
	std::string text =
		replaced(kDocument, "moves = 4.0", "moves = -1\nmvoes = 2");
	text = replaced(text, "memory_mb = 16000", "memory_mb = \"big\"");
	text = replaced(text, "kind = \"plain\"", "kind = \"fancy\"");
	text = replaced(text, "first_token_ms = 500\n", "");
	std::vector<std::string> faults = document_faults(text);

	ASSERT_EQ(faults.size(), 5u);
	EXPECT_EQ(faults[0], "file.toml:6: weights.moves: given -1; allowed: a "
			     "number from 0 to 1000");
	EXPECT_EQ(faults[1], "file.toml:7: weights.mvoes: unknown key; "
			     "allowed: attainment, moves");
	EXPECT_EQ(faults[2], "file.toml:17: service.kind: given \"fancy\"; "
			     "allowed: engine, plain");
	EXPECT_EQ(faults[3], "file.toml:21: model.memory_mb: given big; "
			     "allowed: a whole number from 1 to 16777216");
	EXPECT_EQ(faults[4], "file.toml:26: class.first_token_ms: missing; the "
			     "key is required");
}

/* References between tables, duplicate names and the sum of shares are checked.
 */
TEST(Document, ReportsBrokenReferences)
{
	std::string text = replaced(kDocument, "model = \"brine-7b\"",
				    "model = \"other\"");
	text = replaced(text, "service = \"kellerrat\"",
			"service = \"pressplan\"");
	text = replaced(text, "share = 0.5",
			"share = 0.5\n[[class]]\nname = \"staff\"\n"
			"first_token_ms = 9\nshare = 0.6");
	text = replaced(text, "default_class = \"staff\"",
			"default_class = \"boss\"");
	text = replaced(text, "path_prefix = \"/slots\"",
			"path_prefix = \"slots\"");
	EXPECT_EQ(document_faults(text).size(), 6u);
}

/* Text that is not TOML, NUL bytes, and numbers out of range are refused. */
TEST(Document, RefusesBrokenText)
{
	EXPECT_EQ(document_faults("team = ").size(), 1u);
	EXPECT_FALSE(document_faults("").empty());
	EXPECT_FALSE(document_faults(std::string("team=\"a\0b\"", 10)).empty());
	EXPECT_EQ(document_faults(replaced(kDocument, "path_prefix = \"/slots",
					   "path_prefix = \"/\\u0000slots"))
			  .size(),
		  1u);
	EXPECT_EQ(
		document_faults(replaced(kDocument, "number = 3", "number = 0"))
			.size(),
		1u);
	EXPECT_EQ(document_faults(
			  replaced(kDocument, "moves = 4.0", "moves = nan"))
			  .size(),
		  1u);
}

/* A difference names the item, its old value and its new value. */
TEST(Document, DiffNamesOldAndNew)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	std::string text = replaced(kDocument, "number = 3", "number = 4");
	text = replaced(text, "picual", "arbequina");
	struct doc *from =
		doc_parse("d", kDocument, sizeof(kDocument) - 1, faults);
	struct doc *to = doc_parse("d", text.data(), text.size(), faults);
	char *diff = doc_diff(from, to);

	EXPECT_STREQ(diff, "~ document number: 3 -> 4\n"
			   "- adapter brine-7b:picual: version=1 "
			   "memory_mb=200\n"
			   "+ adapter brine-7b:arbequina: version=1 "
			   "memory_mb=200\n");
	g_free(diff);
	doc_free(from);
	doc_free(to);
	g_ptr_array_free(faults, TRUE);
}

/* Valid settings are read with the defaults; advertised addresses default to
 * the listen addresses. */
TEST(Settings, ReadsValuesAndDefaults)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct set *set =
		set_parse("s", kSettings, sizeof(kSettings) - 1, faults);

	ASSERT_NE(set, nullptr) << (const char *)faults->pdata[0];
	EXPECT_STREQ(set->http_advertise, "127.0.0.1:8001");
	EXPECT_EQ(set->stale_limit_s, 3600u);
	EXPECT_EQ(set->n_peers, 1u);
	EXPECT_TRUE(set->peers[0].control);
	set_free(set);
	g_ptr_array_free(faults, TRUE);
}

/* Faulty settings are reported instead of replaced by defaults: host names in
 * place of numeric addresses, misspelt keys, a missing data folder, invalid
 * voter counts, timing out of range. */
TEST(Settings, ReportsFaults)
{
	std::string text = kSettings;

	EXPECT_EQ(settings_faults(
			  replaced(text, "http_listen = \"127.0.0.1:8001\"",
				   "http_listen = \"localhost:8001\""))[0],
		  "file.toml:7: http_listen: given \"localhost:8001\"; "
		  "allowed: IP:PORT with a numeric address");
	EXPECT_EQ(settings_faults(replaced(text, "region", "regoin")).size(),
		  2u);
	EXPECT_EQ(settings_faults(
			  replaced(text, "data_folder = \"/tmp/muc1\"", ""))
			  .size(),
		  1u);
	EXPECT_EQ(settings_faults(text + "[[peer]]\nid=\"b\"\nsite=\"x\"\n"
					 "address=\"tcp://127.0.0.1:1\"\n")
			  .size(),
		  1u);
	EXPECT_EQ(
		settings_faults(text + "[timing]\nheartbeat_ms = 400\n").size(),
		0u + 1u);
	text += "[timing]\nreport_interval_ms = 400\n";
	for (const char *good : { "0", "1600", "5000" })
		EXPECT_TRUE(settings_faults(text + "[edge]\nkey_revoke_ms = " +
					    good + "\n")
				    .empty())
			<< good;
	for (const char *bad : { "1599", "600001", "-1" })
		EXPECT_EQ(settings_faults(text + "[edge]\nkey_revoke_ms = " +
					  bad + "\n")
				  .size(),
			  1u)
			<< bad;
}
