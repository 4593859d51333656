#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "platform/wire.h"
}

/* Decoders and encoders of the platform's messages: examples, and damaged input
 * from fixed seeds. */
namespace
{

const std::string TABLE =
	R"({"version":7,"routes":[{"name":"r","host":"a.example",)"
	R"("pathPrefix":"/p/","kind":"streaming","timeoutMs":25000,)"
	R"("goalMs":5000,"priority":2,"split":[{"service":"s","weight":90},)"
	R"({"service":"t","weight":10}],"maxAttempts":2,"sticky":true,)"
	R"("resumable":true,"gapTargetMs":250},{"name":"u","host":)"
	R"("a.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":1500,)"
	R"("service":"t"}],"services":[{"name":"s","healthPath":"/h",)"
	R"("maxConns":360,"engine":{"slots":64,"kvCapacityTokens":141676,)"
	R"("stride":3,"models":[{"name":"m","weightsMb":65099.99999,)"
	R"("loadS":5.8,"adapters":42,"adapterMb":40.0,"warmS":0.57,)"
	R"("diskS":1.2}],"weightsMb":200000.0,"adapterSlots":8,)"
	R"("loadsPerS":1.6}},{"name":"t","maxConns":100}],"limits":)"
	R"({"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
	R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const std::string ANNOUNCEMENT =
	R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":)"
	R"("v1","slots":64,"state":"ready","coldLeftMs":0,"born":1700,)"
	R"("models":[{"name":"m","version":3,"adapters":["a1","a2@3"]}],)"
	R"("seq":4})";

Dsp__RouteTable *read_table(const std::string &text)
{
	GError *error = nullptr;
	Dsp__RouteTable *table =
		wire_read_route_table(text.data(), text.size(), &error);

	EXPECT_EQ(table == nullptr, error != nullptr);
	g_clear_error(&error);
	return table;
}

Dsp__Announcement *read_announcement(const std::string &text)
{
	GError *error = nullptr;
	Dsp__Announcement *a =
		wire_read_announcement("i-1", text.data(), text.size(), &error);

	EXPECT_EQ(a == nullptr, error != nullptr);
	g_clear_error(&error);
	return a;
}

std::string replaced(std::string text, const std::string &from,
		     const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

/* Truncates, changes, repeats and erases bytes at random. */
std::string damaged(const std::string &text, std::mt19937_64 &random)
{
	std::string out = text;

	for (size_t n = 1 + random() % 4; n; n--) {
		size_t at = random() % out.size();

		switch (random() % 4) {
		case 0:
			out = out.substr(0, at + 1);
			break;
		case 1:
			out[at] = (char)random();
			break;
		case 2:
			out.insert(at, out.substr(at, random() % 20));
			break;
		default:
			out.erase(at, random() % 8);
			break;
		}
		if (out.empty())
			return "x";
	}
	return out;
}

struct Fields {
	std::vector<std::pair<std::string, std::string>> text;
	std::vector<struct hio_field> list;
	struct hio_fields fields = {};

	Fields(const Fields &) = delete;
	explicit Fields(
		std::initializer_list<std::pair<const char *, const char *>>
			pairs)
	{
		for (auto &p : pairs)
			text.emplace_back(p.first, p.second);
		use_text();
	}
	/* n fields of one name and value. */
	Fields(size_t n, const char *name, const char *value)
	    : text(n, { name, value })
	{
		use_text();
	}

      private:
	void use_text()
	{
		for (auto &p : text)
			list.push_back({ &p.first[0], &p.second[0] });
		fields.all = list.data();
		fields.n = list.size();
	}
};

} // namespace

TEST(WireTable, ReadsRoutesServicesAndLimits)
{
	Dsp__RouteTable *t = read_table(TABLE);

	ASSERT_NE(t, nullptr);
	EXPECT_EQ(t->number, 7u);
	ASSERT_EQ(t->n_routes, 2u);
	EXPECT_EQ(t->routes[0]->kind, DSP__ROUTE_KIND__ROUTE_STREAM);
	EXPECT_EQ(t->routes[0]->n_splits, 2u);
	EXPECT_EQ(t->routes[0]->splits[0]->weight, 90u);
	EXPECT_TRUE(t->routes[0]->resumable);
	EXPECT_EQ(t->routes[1]->kind, DSP__ROUTE_KIND__ROUTE_NON_IDEMPOTENT);
	EXPECT_STREQ(t->routes[1]->splits[0]->service, "t");
	EXPECT_EQ(t->routes[1]->attempts_max, 1u);
	ASSERT_NE(t->services[0]->engine, nullptr);
	EXPECT_EQ(t->services[1]->engine, nullptr);
	EXPECT_EQ(t->services[0]->engine->models[0]->memory_mb, 65100u);
	EXPECT_EQ(t->services[0]->engine->models[0]->load_ms, 5800u);
	EXPECT_EQ(t->services[0]->engine->tokens_per_event, 3u);
	EXPECT_EQ(t->limits->idle_ms, 15000u);
	EXPECT_EQ(std::string((char *)t->source.data, t->source.len), TABLE);
	dsp__route_table__free_unpacked(t, nullptr);
}

TEST(WireTable, RefusesFaultyTables)
{
	EXPECT_EQ(read_table(TABLE.substr(0, TABLE.size() - 1)), nullptr);
	EXPECT_EQ(read_table(replaced(TABLE, R"("service":"t","weight")",
				      R"("service":"no","weight")")),
		  nullptr);
	EXPECT_EQ(read_table(replaced(TABLE, "/q/", "/p/")), nullptr);
	EXPECT_EQ(read_table(replaced(replaced(TABLE, "90", "0"),
				      R"("weight":10)", R"("weight":0)")),
		  nullptr);
	EXPECT_EQ(read_table(replaced(TABLE, "1500", "0")), nullptr);
	EXPECT_EQ(read_table(replaced(TABLE, R"("version":7,)", "")), nullptr);
}

/* A table whose customers are the elements of a JSON list. */
std::string with_customers(const std::string &list)
{
	return replaced(TABLE, R"({"version":7,)",
			R"({"version":7,"tenants":[)" + list + "],");
}

TEST(WireTable, ReadsCustomersAndKeepsDigestsOfTheirKeys)
{
	/* The first 16 bytes of the SHA-256 of "key-one". */
	const uint8_t digest[] = { 0x9b, 0x34, 0x60, 0x41, 0xbc, 0x9a,
				   0x49, 0x57, 0x4e, 0xb2, 0x66, 0x5b,
				   0x2a, 0xd2, 0xa0, 0xa3 };
	Dsp__RouteTable *t = read_table(replaced(
		with_customers(
			R"({"name":"one","apiKeys":["key-one","key-2"],)"
			R"("priority":0,"unit":"token_stream",)"
			R"("plainTokens":20,"ratePerS":2700.5,"burst":9000},)"
			R"({"name":"two","apiKeys":[],"unit":"request"})"),
		R"("kind":"unsafe")", R"("kind":"unsafe","authExempt":true)"));

	ASSERT_NE(t, nullptr);
	ASSERT_NE(t->customers, nullptr);
	ASSERT_EQ(t->customers->n_all, 2u);
	const Dsp__Customer *one = t->customers->all[0];
	EXPECT_STREQ(one->name, "one");
	ASSERT_EQ(one->n_key_digests, 2u);
	ASSERT_EQ(one->key_digests[0].len, sizeof(digest));
	EXPECT_EQ(memcmp(one->key_digests[0].data, digest, sizeof(digest)), 0);
	EXPECT_TRUE(one->has_rank);
	EXPECT_EQ(one->rank, 0u);
	EXPECT_DOUBLE_EQ(one->rate, 2700.5);
	EXPECT_DOUBLE_EQ(one->burst, 9000);
	EXPECT_TRUE(one->counts_tokens);
	EXPECT_EQ(one->plain_tokens, 20u);
	const Dsp__Customer *two = t->customers->all[1];
	EXPECT_EQ(two->n_key_digests, 0u);
	EXPECT_FALSE(two->has_rank);
	EXPECT_FALSE(two->counts_tokens);
	EXPECT_EQ(two->rate, 0);
	EXPECT_FALSE(t->routes[0]->open);
	EXPECT_TRUE(t->routes[1]->open);
	dsp__route_table__free_unpacked(t, nullptr);
}

TEST(WireTable, AnEmptyListOfCustomersIsNotTheSameAsNone)
{
	Dsp__RouteTable *t = read_table(with_customers(""));

	ASSERT_NE(t, nullptr);
	ASSERT_NE(t->customers, nullptr);
	EXPECT_EQ(t->customers->n_all, 0u);
	dsp__route_table__free_unpacked(t, nullptr);
	t = read_table(TABLE);
	ASSERT_NE(t, nullptr);
	EXPECT_EQ(t->customers, nullptr);
	dsp__route_table__free_unpacked(t, nullptr);
}

/* Guards against a key with two owners, and against a key in the error, which
 * is logged. */
TEST(WireTable, RefusesFaultyCustomersWithoutNamingTheirKeys)
{
	std::vector<std::string> faulty = {
		with_customers(R"({"name":"a","apiKeys":["secret"]},)"
			       R"({"name":"b","apiKeys":["x","secret"]})"),
		with_customers(R"({"name":"a","apiKeys":["secret"]},)"
			       R"({"name":"a","apiKeys":["secret"]})"),
		with_customers(R"({"apiKeys":["secret"]})"),
		with_customers(R"({"name":"","apiKeys":["secret"]})"),
		with_customers(R"({"name":"a\r\nX: y","apiKeys":["secret"]})"),
		with_customers(R"({"name":"a","apiKeys":"secret"})"),
		with_customers(R"({"name":"a","apiKeys":["secret",""]})"),
		with_customers(R"({"name":"a","apiKeys":["secret",7]})"),
		with_customers(R"("secret")"),
		with_customers(R"({"name":"a","apiKeys":["x" "secret"]})"),
		replaced(TABLE, R"({"version":7,)",
			 R"({"version":7,"tenants":{"secret":1},)"),
	};

	for (const std::string &text : faulty) {
		GError *error = nullptr;

		EXPECT_EQ(
			wire_read_route_table(text.data(), text.size(), &error),
			nullptr)
			<< text;
		ASSERT_NE(error, nullptr) << text;
		EXPECT_EQ(std::string(error->message).find("secret"),
			  std::string::npos)
			<< error->message;
		g_clear_error(&error);
	}
	Dsp__RouteTable *t = read_table(
		with_customers(R"({"name":"a","apiKeys":["x","x"]})"));
	EXPECT_NE(t, nullptr);
	dsp__route_table__free_unpacked(t, nullptr);
}

TEST(WireTable, SurvivesDamagedInput)
{
	std::mt19937_64 random(11);
	size_t valid = 0;

	for (int i = 0; i < 20000; i++) {
		Dsp__RouteTable *t = read_table(damaged(TABLE, random));

		if (!t)
			continue;
		valid++;
		for (size_t k = 0; k < t->n_routes; k++)
			EXPECT_GT(t->routes[k]->timeout_ms, 0u);
		dsp__route_table__free_unpacked(t, nullptr);
	}
	EXPECT_LT(valid, 10000u);
}

TEST(WireAnnouncement, ReadsTheEndpointAndItsCopies)
{
	Dsp__Announcement *a = read_announcement(ANNOUNCEMENT);

	ASSERT_NE(a, nullptr);
	EXPECT_STREQ(a->endpoint->id, "i-1");
	EXPECT_EQ(a->endpoint->incarnation, 1700u);
	EXPECT_STREQ(a->endpoint->site, "z");
	EXPECT_EQ(a->endpoint->max_batch, 64u);
	EXPECT_TRUE(a->endpoint->features->sequenced);
	EXPECT_FALSE(a->leaving);
	EXPECT_EQ(a->load->sequence, 4u);
	ASSERT_EQ(a->endpoint->n_copies, 3u);
	EXPECT_STREQ(a->endpoint->copies[2]->adapter, "a2");
	dsp__announcement__free_unpacked(a, nullptr);
	a = read_announcement(replaced(ANNOUNCEMENT, "ready", "draining"));
	ASSERT_NE(a, nullptr);
	EXPECT_TRUE(a->leaving);
	dsp__announcement__free_unpacked(a, nullptr);
}

TEST(WireAnnouncement, RefusesFaultyFields)
{
	EXPECT_EQ(read_announcement(
			  replaced(ANNOUNCEMENT, "\"ready\"", "\"odd\"")),
		  nullptr);
	EXPECT_EQ(read_announcement(replaced(ANNOUNCEMENT, "\"ready\"", "1")),
		  nullptr);
	EXPECT_EQ(read_announcement(replaced(ANNOUNCEMENT, "1700", "\"x\"")),
		  nullptr);
	EXPECT_EQ(read_announcement(
			  replaced(ANNOUNCEMENT, "\"seq\":4", "\"seq\":\"4\"")),
		  nullptr);
	EXPECT_EQ(read_announcement(
			  replaced(ANNOUNCEMENT, "\"10.0.0.9:8080\"", "null")),
		  nullptr);
	EXPECT_EQ(read_announcement(
			  replaced(ANNOUNCEMENT, "\"service\":\"s\",", "")),
		  nullptr);
}

TEST(WireAnnouncement, RefusesValuesThatNameNoEndpoint)
{
	for (const char *address :
	     { "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
	       "10.0.0.9:80x", "10.0.0.256:80", "runner:80", ":80", "[::1]:80",
	       "10.0.0.9:99999999999999999999", "10.0.0.9: 80" })
		EXPECT_EQ(read_announcement(replaced(ANNOUNCEMENT,
						     "10.0.0.9:8080", address)),
			  nullptr)
			<< address;
	for (const char *born : { "0", "-1", "9223372036854775807",
				  "9223372036854775808", "1e300" })
		EXPECT_EQ(
			read_announcement(replaced(ANNOUNCEMENT, "1700", born)),
			nullptr)
			<< born;
	for (const char *seq :
	     { "-1", "9223372036854775807", "18446744073709551615" })
		EXPECT_EQ(read_announcement(
				  replaced(ANNOUNCEMENT, "\"seq\":4",
					   std::string("\"seq\":") + seq)),
			  nullptr)
			<< seq;
	for (const char *slots : { "-1", "1e300", "4294967296" })
		EXPECT_EQ(read_announcement(
				  replaced(ANNOUNCEMENT, "\"slots\":64",
					   std::string("\"slots\":") + slots)),
			  nullptr)
			<< slots;
	EXPECT_EQ(read_announcement(replaced(
			  ANNOUNCEMENT, "\"zone\":\"z\"",
			  "\"zone\":\"" + std::string(10000, 'z') + "\"")),
		  nullptr);
	std::string models;
	for (int i = 0; i < 20000; i++)
		models += "{\"name\":\"m" + std::to_string(i) + "\"},";
	EXPECT_EQ(read_announcement(replaced(ANNOUNCEMENT, "\"models\":[",
					     "\"models\":[" + models)),
		  nullptr);
	std::string deep = ANNOUNCEMENT;
	deep.insert(1, "\"x\":" + std::string(100000, '[') + ",");
	EXPECT_EQ(read_announcement(deep), nullptr);
}

TEST(WireAnnouncement, RefusesOddIds)
{
	for (std::string id :
	     { std::string(""), std::string(300, 'i'), std::string("i 1"),
	       std::string("i\xff"), std::string("i\"1"), std::string("i=1"),
	       std::string("i\n1") }) {
		GError *error = nullptr;
		Dsp__Announcement *a =
			wire_read_announcement(id.c_str(), ANNOUNCEMENT.data(),
					       ANNOUNCEMENT.size(), &error);

		EXPECT_EQ(a, nullptr) << id;
		if (a)
			dsp__announcement__free_unpacked(a, nullptr);
		g_clear_error(&error);
	}
}

TEST(WireTable, TimesAndSizesOutOfRangeAreBounded)
{
	Dsp__RouteTable *t = read_table(
		replaced(replaced(TABLE, "\"loadS\":5.8", "\"loadS\":1e300"),
			 "\"warmS\"", "\"warmS\":-3,\"x\""));

	if (!t)
		t = read_table(
			replaced(TABLE, "\"loadS\":5.8", "\"loadS\":1e300"));
	ASSERT_NE(t, nullptr);
	EXPECT_EQ(t->services[0]->engine->models[0]->load_ms, UINT32_MAX);
	dsp__route_table__free_unpacked(t, nullptr);
}

TEST(WireAnnouncement, SurvivesDamagedInput)
{
	std::mt19937_64 random(12);

	for (int i = 0; i < 20000; i++) {
		std::string text = damaged(ANNOUNCEMENT, random);
		Dsp__Announcement *a = read_announcement(text);
		struct wire_engine_state state;
		uint64_t incarnation;

		if (a)
			dsp__announcement__free_unpacked(a, nullptr);
		if (wire_read_state(text.data(), text.size(), &state))
			wire_engine_state_clear(&state);
		wire_read_withdrawal(text.data(), text.size(), &incarnation);
	}
}

TEST(WireRequest, ReadsModelAdapterAndPrompt)
{
	Fields f({ { "X-Attempt-Id", "id" },
		   { "x-model", "m/a3" },
		   { "X-Token-Count", "1460,80" },
		   { "X-Length-Hint", "50" },
		   { "X-Deadline-Ms", "15000" },
		   { "X-Prompt-Prefix", "5c:800,91:410,e4:250" } });
	struct wire_request r;

	wire_read_request(&f.fields, &r);
	EXPECT_STREQ(r.request_id, "id");
	EXPECT_STREQ(r.model, "m");
	EXPECT_STREQ(r.adapter, "a3");
	EXPECT_EQ(r.tokens_in, 1460u);
	EXPECT_EQ(r.tokens_out, 50u);
	EXPECT_EQ(r.timeout_us, 15000000);
	EXPECT_NE(r.prefix, 0u);
	uint64_t prefix = r.prefix;
	wire_request_clear(&r);
	/* The last part belongs to this request only and is not hashed. */
	Fields g({ { "X-Model", "m/a3" },
		   { "X-Prompt-Prefix", "5c:800,91:410,00:1" } });
	wire_read_request(&g.fields, &r);
	EXPECT_EQ(r.prefix, prefix);
	wire_request_clear(&r);
}

struct Digested {
	std::string method = "GET", target = "/p/x?y", host = "a.example",
		    model = "m", prompt = "5c:800,e4:250", body = "ask",
		    id = "id", deadline = "900", last_event = "";

	std::string digest() const
	{
		Fields f({ { "Host", host.c_str() },
			   { "X-Attempt-Id", id.c_str() },
			   { "X-Deadline-Ms", deadline.c_str() },
			   { "Last-Event-Id", last_event.c_str() },
			   { "X-Model", model.c_str() },
			   { "X-Prompt-Prefix", prompt.c_str() } });
		struct hio_request request = {};
		uint8_t out[WIRE_DIGEST_LEN];

		request.method = const_cast<char *>(method.c_str());
		request.target = const_cast<char *>(target.c_str());
		request.fields = f.fields;
		request.body = g_byte_array_new();
		g_byte_array_append(request.body, (const guint8 *)body.data(),
				    (guint)body.size());
		wire_digest_request(&request, out);
		g_byte_array_unref(request.body);
		return std::string((const char *)out, sizeof(out));
	}
};

TEST(WireRequest, ContinuationNamesTheRequestThatBeganTheStream)
{
	Fields f({ { "X-Attempt-Id", "b" },
		   { "Last-Event-Id", "3" },
		   { "Resumes", "a" } });
	struct wire_request request;

	wire_read_request(&f.fields, &request);
	EXPECT_STREQ(request.resumes, "a");
	wire_request_clear(&request);
}

TEST(WireAnnouncement, HasTheVersionOfTheSoftware)
{
	Dsp__Announcement *a = read_announcement(ANNOUNCEMENT);

	ASSERT_NE(a, nullptr);
	EXPECT_STREQ(a->endpoint->software, "v1");
	dsp__announcement__free_unpacked(a, nullptr);
	EXPECT_EQ(read_announcement(replaced(ANNOUNCEMENT, "\"v1\"", "1")),
		  nullptr);
}

TEST(WireRequest, DigestIsThatOfTheContentAndNotOfTheAttempt)
{
	const std::string same = Digested().digest();
	Digested r;

	r.id = "other";
	r.deadline = "5";
	r.last_event = "7";
	EXPECT_EQ(r.digest(), same);
	for (std::string Digested::*field :
	     { &Digested::method, &Digested::target, &Digested::host,
	       &Digested::model, &Digested::prompt, &Digested::body }) {
		Digested other;

		(other.*field) += "1";
		EXPECT_NE(other.digest(), same);
	}
	/* The end of one field is not the start of the next. */
	Digested a, b;
	a.model = "m5";
	a.prompt = "c:800";
	b.model = "m";
	b.prompt = "5c:800";
	EXPECT_NE(a.digest(), b.digest());
}

struct Parts {
	explicit Parts(const std::string &list)
	{
		Fields f({ { "X-Prompt-Prefix", list.c_str() } });

		wire_read_request(&f.fields, &r);
	}
	~Parts()
	{
		wire_request_clear(&r);
	}
	std::string digest(size_t i) const
	{
		return std::string((const char *)r.parts[i].digest,
				   WIRE_DIGEST_LEN);
	}

	struct wire_request r;
};

TEST(WireRequest, ReadsSharedPartsButNotTheLast)
{
	Parts p("5c1e07a2:800,91bd3f06:410,e4402b7d:250");

	ASSERT_EQ(p.r.n_parts, 2u);
	EXPECT_EQ(p.r.parts[0].tokens, 800u);
	EXPECT_EQ(p.r.parts[1].tokens, 410u);
	EXPECT_NE(p.digest(0), p.digest(1));
	EXPECT_EQ(p.r.parts_skipped, 0u);
	EXPECT_EQ(Parts("5c1e07a2:800").r.n_parts, 0u);
	EXPECT_EQ(Parts("").r.n_parts, 0u);
}

TEST(WireRequest, DigestsPartsByTheirIdAlone)
{
	Parts p("5C1E:800,aa:1,01:5");
	Parts q("bb:7, 5c1e:3 ,02:9");

	ASSERT_EQ(p.r.n_parts, 2u);
	ASSERT_EQ(q.r.n_parts, 2u);
	EXPECT_EQ(p.digest(0), q.digest(1));
	EXPECT_NE(p.digest(1), q.digest(0));
	/* Each part counts once. */
	EXPECT_EQ(Parts("5c:1,5c:1,5C:2,00:1").r.n_parts, 1u);
}

TEST(WireRequest, SkipsMalformedAndExcessParts)
{
	std::string list;

	for (const char *bad : { "", ":", ":5", "5c", "5c:", "5c:x", "5c:1x",
				 "xyz:5", "5 c:1", "5c:-1", "5c:1:2" }) {
		Parts p(std::string(bad) + ",aa:1,bb:2");

		EXPECT_EQ(p.r.n_parts, 1u) << bad;
		EXPECT_EQ(p.r.parts_skipped, 1u) << bad;
	}
	for (int i = 0; i < WIRE_PARTS_MAX + 5; i++)
		list += "a" + std::to_string(i) + ":9,";
	Parts p(list + "bb:1");
	EXPECT_EQ(p.r.n_parts, (size_t)WIRE_PARTS_MAX);
	EXPECT_EQ(p.r.parts_skipped, 5u);
}

TEST(WireRequest, WritesTheRequestToAnEndpoint)
{
	Fields f({ { "Host", "a.example" },
		   { "X-Attempt-Id", "id" },
		   { "Connection", "close, X-Hop" },
		   { "X-Hop", "1" },
		   { "X-Pin-Ms", "9" },
		   { "Kv-From", "9" },
		   { "Last-Event-Id", "3" },
		   { "X-Deadline-Ms", "15000" } });
	struct hio_request request = {};
	struct wire_dispatch dispatch = {};

	request.method = const_cast<char *>("POST");
	request.target = const_cast<char *>("/p/x?y");
	request.fields = f.fields;
	request.body = g_byte_array_new();
	dispatch.endpoint_id = "i-1";
	dispatch.timeout_us = 1234567;
	dispatch.rank = 2;
	dispatch.last_event_id = "7";
	GString *head = wire_write_request(&request, &dispatch);
	EXPECT_STREQ(head->str, "POST /p/x?y HTTP/1.1\r\nHost: a.example\r\n"
				"X-Attempt-Id: id\r\nX-Deadline-Ms: 1234\r\n"
				"X-Expect-Instance: i-1\r\n"
				"X-Request-Urgency: 2\r\nLast-Event-Id: 7\r\n"
				"Content-Length: 0\r\n\r\n");
	g_string_free(head, TRUE);
	g_byte_array_free(request.body, TRUE);
}

namespace
{

/* Processor time that the head of a request with n fields takes, in us: the
 * least of a few. */
int64_t cost_of_head(size_t n, const char *name, const char *value)
{
	struct hio_request request = {};
	struct wire_dispatch dispatch = {};
	int64_t least = INT64_MAX;
	Fields f(n, name, value);

	request.method = const_cast<char *>("POST");
	request.target = const_cast<char *>("/p/x");
	request.fields = f.fields;
	request.body = g_byte_array_new();
	dispatch.endpoint_id = "i-1";
	for (int i = 0; i < 5; i++) {
		timespec from, to;

		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &from);
		g_string_free(wire_write_request(&request, &dispatch), TRUE);
		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &to);
		least = std::min(least,
				 (to.tv_sec - from.tv_sec) * 1000000 +
					 (to.tv_nsec - from.tv_nsec) / 1000);
	}
	g_byte_array_free(request.body, TRUE);
	return least;
}

} // namespace

/* Guards against a crowd of legal heads of many short fields that take all of
 * an entry's time: ten times the fields cost some ten times as much, not a
 * hundred times. */
TEST(WireRequest, HeadOfManyFieldsCostsInProportion)
{
	const std::pair<const char *, const char *> kinds[] = {
		{ "a", "" },
		{ "Connection", "b" },
	};

	for (auto &kind : kinds) {
		int64_t few = cost_of_head(400, kind.first, kind.second);
		int64_t many = cost_of_head(4000, kind.first, kind.second);

		EXPECT_LT(many, 35 * std::max<int64_t>(few, 20))
			<< kind.first << " " << few << " us";
	}
}

/* Guards against a key that reaches an endpoint, and against a caller that
 * names another customer. */
TEST(WireRequest, NamesTheOwnerInPlaceOfTheKey)
{
	Fields f({ { "Host", "a.example" },
		   { "x-key", "secret" },
		   { "X-Tenant", "forged" },
		   { "X-KEY", "secret" },
		   { "x-tenant", "forged" } });
	struct hio_request request = {};
	struct wire_dispatch dispatch = {};
	auto written = [&] {
		GString *head = wire_write_request(&request, &dispatch);
		std::string out = head->str;

		g_string_free(head, TRUE);
		return out;
	};

	request.method = const_cast<char *>("GET");
	request.target = const_cast<char *>("/p/x");
	request.fields = f.fields;
	request.body = g_byte_array_new();
	dispatch.endpoint_id = "i-1";
	dispatch.timeout_us = 1000000;
	std::string plain = written();
	EXPECT_NE(plain.find("x-key: secret\r\n"), std::string::npos);
	EXPECT_NE(plain.find("X-Tenant: forged\r\n"), std::string::npos);
	dispatch.keyed = true;
	std::string open = written();
	EXPECT_EQ(open.find("secret"), std::string::npos) << open;
	EXPECT_EQ(open.find("enant"), std::string::npos) << open;
	dispatch.customer = "owner";
	std::string owned = written();
	EXPECT_EQ(owned.find("secret"), std::string::npos) << owned;
	EXPECT_EQ(owned.find("forged"), std::string::npos) << owned;
	EXPECT_NE(owned.find("\r\nX-Tenant: owner\r\n"), std::string::npos)
		<< owned;
	g_byte_array_free(request.body, TRUE);
}

TEST(WireRequest, ReadsTheDigestOfTheKey)
{
	Fields none({ { "Host", "a.example" } });
	Fields empty({ { "X-Key", "" } });
	Fields some({ { "x-key", "key-one" } });
	uint8_t digest[WIRE_DIGEST_LEN];
	uint8_t want[WIRE_DIGEST_LEN];

	EXPECT_FALSE(wire_read_key(&none.fields, digest));
	EXPECT_FALSE(wire_read_key(&empty.fields, digest));
	ASSERT_TRUE(wire_read_key(&some.fields, digest));
	wire_digest_key("key-one", want);
	EXPECT_EQ(memcmp(digest, want, sizeof(want)), 0);
}

TEST(WireAnswer, ReportsRequestsThatDidNotRun)
{
	struct wire_answer out;
	struct hio_answer answer = {};
	Fields sealed(
		{ { "X-Server-Seal", "s" }, { "X-Server-Load", "3,1,8" } });
	Fields refused({ { "X-Not-Executed", "1" } });

	answer.status = 500;
	answer.fields = sealed.fields;
	wire_read_answer(&answer, &out);
	EXPECT_TRUE(out.sealed);
	EXPECT_FALSE(out.not_run);
	EXPECT_TRUE(out.has_load);
	EXPECT_EQ(out.running, 3u);
	EXPECT_EQ(out.waiting, 1u);
	EXPECT_EQ(out.slowness_percent, 0u);
	answer.status = 503;
	answer.fields = refused.fields;
	wire_read_answer(&answer, &out);
	EXPECT_TRUE(out.not_run);
	answer.fields.n = 0;
	wire_read_answer(&answer, &out);
	EXPECT_FALSE(out.not_run); /* no field excludes that it ran */
	answer.status = 421;
	wire_read_answer(&answer, &out);
	EXPECT_TRUE(out.not_run);
	EXPECT_TRUE(out.other_process);
}

/* Guards against a malformed figure that makes an endpoint look fast. */
TEST(WireAnswer, ReadsSlownessOnlyFromAWholeNumber)
{
	const std::map<std::string, uint32_t> cases = {
		{ "3,1,8,250", 250 }, { "3,1,8,", 0 },	      { "3,1,8,-5", 0 },
		{ "3,1,8,2x", 0 },    { "3,1,8,1000000", 0 }, { "3,1", 0 },
	};

	for (const auto &[text, percent] : cases) {
		struct wire_answer out;
		struct hio_answer answer = {};
		Fields fields({ { "X-Server-Load", text.c_str() } });

		answer.status = 200;
		answer.fields = fields.fields;
		wire_read_answer(&answer, &out);
		EXPECT_EQ(out.slowness_percent, percent) << text;
		EXPECT_TRUE(out.has_load);
		EXPECT_EQ(out.waiting, 1u);
	}
}

TEST(WireAnswer, ReadsLeavingAndPauses)
{
	struct {
		const char *name, *value;
		int status;
		bool leaving;
		int64_t pause_us;
		bool malformed;
	} cases[] = {
		{ "Server-Leaving", "1", 200, true, 0, false },
		{ "server-leaving", "1", 503, true, 0, false },
		{ "Server-Leaving", "0", 200, false, 0, false },
		{ "Server-Leaving", "yes", 200, false, 0, true },
		{ "Retry-After", "2", 503, false, 2000000, false },
		{ "retry-after", "0.25", 503, false, 250000, false },
		{ "Retry-After", "0", 503, false, 0, false },
		{ "Retry-After", "2", 429, false, 0, false },
		{ "Retry-After", "2", 200, false, 0, false },
		{ "Retry-After", "600", 503, false, 600000000, false },
		{ "Retry-After", "601", 503, false, 600000000, true },
		{ "Retry-After", "99999999999999999999999", 503, false,
		  600000000, true },
		{ "Retry-After", "-1", 503, false, 0, true },
		{ "Retry-After", "", 503, false, 0, true },
		{ "Retry-After", ".5", 503, false, 0, true },
		{ "Retry-After", "1.2.3", 503, false, 0, true },
		{ "Retry-After", "1e9", 503, false, 0, true },
		{ "Retry-After", "inf", 503, false, 0, true },
		{ "Retry-After", "nan", 503, false, 0, true },
		{ "Retry-After", "Sat, 05 Dec 2026 02:00:00 GMT", 503, false, 0,
		  true },
	};

	for (const auto &c : cases) {
		struct wire_answer out;
		struct hio_answer answer = {};
		Fields fields({ { c.name, c.value } });

		answer.status = c.status;
		answer.fields = fields.fields;
		wire_read_answer(&answer, &out);
		EXPECT_EQ(out.hint.leaving, c.leaving) << c.value;
		EXPECT_EQ(out.hint.pause_us, c.pause_us) << c.value;
		EXPECT_EQ(out.hint.malformed, c.malformed) << c.value;
		EXPECT_TRUE(wire_is_internal_answer_field(c.name));
	}
	Fields several({ { "Retry-After", "3" },
			 { "Server-Leaving", "1" },
			 { "Retry-After", "1" } });
	struct hio_answer answer = {};
	struct wire_answer out;
	answer.status = 503;
	answer.fields = several.fields;
	wire_read_answer(&answer, &out);
	EXPECT_TRUE(out.hint.leaving);
	EXPECT_EQ(out.hint.pause_us, 3000000); /* the longest */
}

TEST(WireCall, FindsCallsByMethodAndPath)
{
	char *id;

	EXPECT_EQ(wire_call_of("GET", "/dandelionspar/resolve?name=x", &id),
		  WIRE_ENTRY_LIST);
	EXPECT_EQ(wire_call_of("POST", "/dandelionspar/config", &id),
		  WIRE_UNKNOWN);
	EXPECT_EQ(wire_call_of("PUT", "/dandelionspar/instances/i-7", &id),
		  WIRE_ANNOUNCE);
	EXPECT_STREQ(id, "i-7");
	g_free(id);
	EXPECT_EQ(wire_call_of("DELETE", "/dandelionspar/instances/i-7?x", &id),
		  WIRE_WITHDRAW);
	EXPECT_STREQ(id, "i-7");
	g_free(id);
	char *site = wire_entry_list_site("/r?name=x&region=r&zone=here");
	EXPECT_STREQ(site, "here");
	g_free(site);
	EXPECT_EQ(wire_entry_list_site("/r?ozone=here"), nullptr);
}

TEST(WireHint, ReadsLimits)
{
	const struct {
		const char *value;
		double limit;
		bool malformed;
	} cases[] = {
		{ "3", 3, false },
		{ "2.9", 2.9, false },
		{ "0", 0.001, false },
		{ "0.00000001", 0.001, false },
		{ "1000000", 1e6, false },
		{ "1000001", 1e6, true },
		{ "99999999999999999999999", 1e6, true },
		{ "-1", 0, true },
		{ "", 0, true },
		{ ".5", 0, true },
		{ "1.2.3", 0, true },
		{ "1e9", 0, true },
		{ "nan", 0, true },
		{ "inf", 0, true },
		{ "3/s", 0, true },
	};

	for (const auto &c : cases) {
		struct wire_hint hint = {};

		wire_read_hint("server-limit", c.value, &hint);
		wire_end_hint(200, &hint);
		EXPECT_DOUBLE_EQ(hint.limit, c.limit) << c.value;
		EXPECT_EQ(hint.malformed, c.malformed) << c.value;
	}
	struct wire_hint hint = {};
	wire_read_hint("Server-Limit", "4", &hint);
	wire_read_hint("Server-Limit", "2", &hint);
	wire_read_hint("Server-Limit", "3", &hint);
	EXPECT_DOUBLE_EQ(hint.limit, 2); /* the lowest */
	EXPECT_TRUE(wire_is_internal_answer_field("Server-Limit"));
}
