#include "state_util.h"

#include <map>

extern "C" {
#include "core/adm.h"
#include "core/bal.h"
#include "core/rep.h"
#include "core/rtab.h"
#include "core/sse.h"
}

/*
 * Decision modules of the traffic layer, without a network: route table, retry
 * budget, load balancer, admission queue, and the splitting of event streams.
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

/* Messages do not write to their strings. */
char *lit(const char *text)
{
	return const_cast<char *>(text);
}

/* A route table with one route to one service for each (host, path prefix). */
struct Table {
	Dsp__RouteTable table = DSP__ROUTE_TABLE__INIT;
	std::vector<Dsp__Route> routes;
	std::vector<Dsp__Split> splits;
	std::vector<Dsp__Split *> split_pointers;
	std::vector<Dsp__Route *> route_pointers;

	explicit Table(const std::vector<std::pair<std::string, std::string>>
			       &prefixes)
	    : routes(prefixes.size()), splits(prefixes.size())
	{
		for (size_t i = 0; i < prefixes.size(); i++) {
			dsp__route__init(&routes[i]);
			dsp__split__init(&splits[i]);
			routes[i].name = str(prefixes[i].second);
			routes[i].host = str(prefixes[i].first);
			routes[i].path_prefix = str(prefixes[i].second);
			splits[i].service = str(prefixes[i].second);
			splits[i].weight = 1;
			split_pointers.push_back(&splits[i]);
			route_pointers.push_back(&routes[i]);
		}
		for (size_t i = 0; i < prefixes.size(); i++) {
			routes[i].splits = &split_pointers[i];
			routes[i].n_splits = 1;
		}
		table.routes = route_pointers.data();
		table.n_routes = route_pointers.size();
	}
};

std::string match(const struct rtab *t, const char *host, const char *target)
{
	const Dsp__Route *route = rtab_match(t, host, target);

	return route ? route->path_prefix : "";
}

} // namespace

TEST(Rtab, SelectsTheLongestPrefixOfTheHost)
{
	std::vector<std::pair<std::string, std::string>> prefixes = {
		{ "a.example", "/" },
		{ "a.example", "/x/" },
		{ "a.example", "/x/y/" },
		{ "b.example", "/x/" },
	};
	Table table(prefixes);
	struct rtab *t = rtab_new(&table.table);

	EXPECT_EQ(match(t, "a.example", "/x/y/z"), "/x/y/");
	EXPECT_EQ(match(t, "a.example", "/x/y"), "/x/");
	EXPECT_EQ(match(t, "a.example", "/x"), "/");
	EXPECT_EQ(match(t, "A.Example:8080", "/x/1?q=/x/y/"), "/x/");
	EXPECT_EQ(match(t, "b.example", "/x/"), "/x/");
	EXPECT_EQ(match(t, "b.example", "/"), "");
	EXPECT_EQ(match(t, "c.example", "/x/"), "");
	rtab_free(t);
}

/* Customers named by the first byte of their keys' digests. */
struct Keys {
	Dsp__Customers list = DSP__CUSTOMERS__INIT;
	std::vector<Dsp__Customer> customers;
	std::vector<Dsp__Customer *> pointers;
	std::vector<ProtobufCBinaryData> digests;
	std::vector<std::vector<uint8_t>> bytes;

	explicit Keys(const std::string &firsts)
	    : customers(firsts.size()), digests(firsts.size())
	{
		for (size_t i = 0; i < firsts.size(); i++) {
			bytes.push_back(digest(firsts[i]));
			dsp__customer__init(&customers[i]);
			digests[i] = { RTAB_KEY_DIGEST_LEN, bytes[i].data() };
			customers[i].key_digests = &digests[i];
			customers[i].n_key_digests = 1;
			pointers.push_back(&customers[i]);
		}
		list.all = pointers.data();
		list.n_all = pointers.size();
	}
	static std::vector<uint8_t> digest(char first)
	{
		std::vector<uint8_t> out(RTAB_KEY_DIGEST_LEN, 7);

		out[0] = (uint8_t)first;
		return out;
	}
};

/* Guards against keys of an earlier table that still have an owner. */
TEST(Rtab, FindsTheCustomersOfTheTableInForceOnly)
{
	std::vector<std::pair<std::string, std::string>> prefixes = {
		{ "a.example", "/" },
	};
	Table before(prefixes);
	Table after(prefixes);
	Table none(prefixes);
	Keys first("ab"), second("bc");
	struct rtab *t;
	auto owner = [&](char key) {
		return rtab_customer(t, Keys::digest(key).data());
	};

	before.table.customers = &first.list;
	after.table.customers = &second.list;
	t = rtab_new(&before.table);
	EXPECT_TRUE(rtab_has_customers(t));
	EXPECT_EQ(owner('a'), &first.customers[0]);
	EXPECT_EQ(owner('b'), &first.customers[1]);
	EXPECT_EQ(owner('c'), nullptr);
	rtab_update(t, &before.table, &after.table);
	EXPECT_EQ(owner('a'), nullptr);
	EXPECT_EQ(owner('b'), &second.customers[0]);
	EXPECT_EQ(owner('c'), &second.customers[1]);
	rtab_update(t, &after.table, &none.table);
	EXPECT_FALSE(rtab_has_customers(t));
	EXPECT_EQ(owner('c'), nullptr);
	rtab_free(t);
}

TEST(Rtab, DigestsThatDifferInOneByteHaveNoCommonOwner)
{
	std::vector<std::pair<std::string, std::string>> prefixes = {
		{ "a.example", "/" },
	};
	Table table(prefixes);
	Keys keys("a");
	struct rtab *t;

	table.table.customers = &keys.list;
	t = rtab_new(&table.table);
	for (size_t i = 0; i < RTAB_KEY_DIGEST_LEN; i++) {
		std::vector<uint8_t> digest = Keys::digest('a');

		digest[i]++;
		EXPECT_EQ(rtab_customer(t, digest.data()), nullptr) << i;
	}
	rtab_free(t);
}

TEST(Rtab, DrawsServicesByWeight)
{
	Dsp__Route route = DSP__ROUTE__INIT;
	Dsp__Split a = DSP__SPLIT__INIT, b = DSP__SPLIT__INIT;
	Dsp__Split *splits[] = { &a, &b };
	std::map<std::string, int> drawn;

	a.service = lit("a");
	b.service = lit("b");
	a.weight = 90;
	b.weight = 10;
	route.splits = splits;
	route.n_splits = 2;
	for (uint64_t i = 0; i < 1000; i++)
		drawn[rtab_draw(&route, i)]++;
	EXPECT_EQ(drawn["a"], 900);
	EXPECT_EQ(drawn["b"], 100);
	a.weight = b.weight = 0;
	EXPECT_EQ(rtab_draw(&route, 5), nullptr);
}

/* Entries that each count only their own requests stay within the common limit
 * on repeats in every window, also when one stops and the others take over its
 * part of the fixed number. */
TEST(Rep, AllEntriesTogetherStayWithinTheLimit)
{
	constexpr int ENTRIES = 7;
	constexpr double RATIO = 0.2, EXTRA = 54;
	std::mt19937_64 random(7);
	std::vector<struct rep *> entries;
	std::vector<std::pair<int64_t, bool>> sent; /* time, repeat */

	for (int i = 0; i < ENTRIES; i++)
		entries.push_back(rep_new());
	for (int64_t now = 100 * S; now < 160 * S; now += 10 * MS) {
		int alive = now < 130 * S ? ENTRIES : ENTRIES - 1;
		struct rep_options options = { RATIO, 10, EXTRA / alive };

		for (int i = 0; i < alive; i++) {
			if (random() % 8 == 0) {
				rep_count_request(entries[i], now);
				sent.emplace_back(now, false);
			}
			if (!rep_take(entries[i], &options, REP_BEGUN, now))
				continue;
			/* One in four never reaches an endpoint, another one
			 * is sent later. */
			if (random() % 4 == 0) {
				rep_return(entries[i], now);
			} else if (random() % 4 == 0) {
				int64_t later =
					now + (int64_t)(random() % 800) * MS;

				rep_move(entries[i], now, later);
				sent.emplace_back(later, true);
			} else {
				sent.emplace_back(now, true);
			}
		}
	}
	size_t most = 0;
	for (int64_t from = 100 * S; from < 150 * S; from += 100 * MS) {
		double requests = 0, repeats = 0;

		for (auto &s : sent)
			if (s.first >= from && s.first < from + 10 * S)
				(s.second ? repeats : requests)++;
		ASSERT_LE(repeats, RATIO * requests + EXTRA) << from;
		most = std::max(most, (size_t)repeats);
	}
	/* The entries do use the budget. */
	EXPECT_GT(most, 40u);
	for (auto *entry : entries)
		rep_free(entry);
}

namespace
{

/* Entries that take all repeats they may, and the leader that lists them. */
class Entries
{
      public:
	static constexpr double RATIO = 0.2, EXTRA = 54;
	static constexpr int64_t LEASE = 3 * S, WINDOW = 10 * S;

	struct Entry {
		struct rep *rep = nullptr;
		struct rep_share share = {};
		std::vector<bool> view; /* by entry: listed as up */
		int64_t confirmed = 0;
		int64_t heard = 0; /* by the leader */
		int64_t back = 0;  /* when it is started or thaws */
		int64_t cut_until = 0;
		bool frozen = false;
		bool deaf = false; /* the cut is one-way: it gets no views */
	};

	Entries(uint64_t seed, size_t n) : random(seed), all(n)
	{
		for (auto &e : all)
			start(e);
	}
	~Entries()
	{
		for (auto &e : all)
			rep_free(e.rep);
	}

	void run(int64_t duration)
	{
		for (int64_t end = now + duration; now < end; now += 100 * MS) {
			if (random() % 12 == 0)
				disturb();
			listed.resize(all.size());
			for (size_t i = 0; i < all.size(); i++)
				listed[i] = now - all[i].heard <= LEASE;
			for (size_t i = 0; i < all.size(); i++)
				step(i);
		}
	}

	/* Most repeats of a window over what the rule allows there. */
	double worst()
	{
		double most = -1e9;

		for (int64_t from = 0; from < now; from += 200 * MS) {
			double allowed = 0;

			/* Requests of the window, or of one before it. */
			for (int64_t back : { (int64_t)0, WINDOW / 2, WINDOW })
				allowed = std::max(
					allowed, count(requests, from - back));
			most = std::max(most, count(repeats, from) -
						      RATIO * allowed - EXTRA);
		}
		return most;
	}

	size_t n_repeats() const
	{
		return repeats.size();
	}

      private:
	void start(Entry &e)
	{
		rep_free(e.rep);
		e.rep = rep_new();
		e.view.clear();
		e.confirmed = now - 10 * LEASE;
		e.frozen = false;
		rep_share_init(&e.share, WINDOW + LEASE + S, LEASE, now);
	}

	void disturb()
	{
		size_t share = 1 + random() % all.size();
		int64_t until = now + (int64_t)(random() % 20) * S;
		uint64_t kind = random() % 3;
		bool one_way = random() % 2;

		for (size_t i = 0; i < share; i++) {
			Entry &e = all[random() % all.size()];

			if (kind == 0) { /* killed, started again */
				start(e);
				e.back = until;
			} else if (kind == 1) {
				e.frozen = true;
				e.back = until;
			} else {
				e.cut_until = until;
				e.deaf = one_way;
			}
		}
		if (random() % 8 == 0 && all.size() < 40) { /* added */
			all.emplace_back();
			start(all.back());
		}
	}

	void step(size_t i)
	{
		Entry &e = all[i];
		bool cut = now < e.cut_until;
		unsigned n = 0;

		if (now < e.back)
			return;
		if (!cut || e.deaf)
			e.heard = now;
		if (!cut || !e.deaf) {
			/* Views arrive some hundred milliseconds late. */
			if (random() % 4 == 0) {
				e.view = listed;
				e.confirmed = now;
			}
		}
		for (bool up : e.view)
			n += up;
		rep_share_update(&e.share, std::max(n, 1u),
				 i < e.view.size() && e.view[i],
				 now - e.confirmed, now);
		if (random() % 5 == 0) {
			rep_count_request(e.rep, now);
			requests.push_back(now);
		}
		struct rep_options options = {
			RATIO, 10,
			rep_share_of(&e.share, EXTRA, now - e.confirmed, now)
		};
		while (rep_take(e.rep, &options, REP_BEGUN, now)) {
			int64_t later = now + (int64_t)(random() % 2000) * MS;

			if (random() % 4 == 0) {
				rep_return(e.rep, now);
				break;
			}
			if (random() % 4 == 0)
				rep_move(e.rep, now, later);
			else
				later = now;
			repeats.push_back(later);
		}
	}

	static double count(const std::vector<int64_t> &times, int64_t from)
	{
		return (double)std::count_if(
			times.begin(), times.end(), [&](int64_t at) {
				return at >= from && at < from + WINDOW;
			});
	}

	std::mt19937_64 random;
	std::vector<Entry> all;
	std::vector<bool> listed;
	std::vector<int64_t> requests, repeats;
	int64_t now = 100 * S;
};

} // namespace

/* The parts of the fixed number never add up to more than it, whatever entries
 * are killed, frozen, cut off, started again and added. */
TEST(Rep, PartsAddUpToTheNumberWhileEntriesComeAndGo)
{
	size_t used = 0;

	for (uint64_t seed = 1; seed <= 60; seed++) {
		Entries entries(seed, 3 + seed % 20);

		entries.run(90 * S);
		EXPECT_LE(entries.worst(), 0) << "seed " << seed;
		used += entries.n_repeats();
	}
	/* In 60 histories of 90 s, the entries do use the budget. */
	EXPECT_GT(used, 60 * 90 / 10 * 10);
}

/* Requests that no endpoint has run leave half of the budget to those that may
 * have run, whose callers cannot come back for a complete answer. */
TEST(Rep, RequestsThatHaveBegunHaveARestOfTheirOwn)
{
	struct rep *rep = rep_new();
	struct rep_options options = { 0.2, 10, 40 };
	int64_t now = 100 * S;
	int not_run = 0;
	int begun = 0;

	while (rep_take(rep, &options, REP_NOT_RUN, now))
		not_run++;
	EXPECT_GE(rep_left(rep, &options, now), not_run);
	while (rep_take(rep, &options, REP_BEGUN, now))
		begun++;
	EXPECT_GE(begun, not_run);
	EXPECT_GE(not_run, 10);
	EXPECT_LE(begun + not_run, 40);
	/* One that found no connection can be used again. */
	rep_return(rep, now);
	EXPECT_TRUE(rep_take(rep, &options, REP_BEGUN, now));
	EXPECT_FALSE(rep_take(rep, &options, REP_BEGUN, now));
	rep_free(rep);
}

namespace
{

/* A balancer whose endpoints of one service come from the replicated state. */
class Balance : public ::testing::Test
{
      protected:
	State state = new_state();
	struct bal *bal = bal_new();
	struct view *view = view_new_empty();
	uint64_t index = 0;
	int64_t now = 100 * S;

	void TearDown() override
	{
		bal_free(bal);
		view_unref(view);
	}
	void put(const char *id, std::vector<std::string> models,
		 Dsp__EndpointState s = DSP__ENDPOINT_STATE__ENDPOINT_UP,
		 uint64_t incarnation = 1, const char *address = nullptr)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
		Dsp__Endpoint e = DSP__ENDPOINT__INIT;
		Dsp__Features features = DSP__FEATURES__INIT;
		std::vector<Dsp__Copy> copies(models.size());
		std::vector<Dsp__Copy *> pointers;
		std::string where = address ? address : std::string(id) + ":1";

		for (size_t i = 0; i < models.size(); i++) {
			size_t slash = models[i].find('/');

			dsp__copy__init(&copies[i]);
			if (slash != std::string::npos) {
				copies[i].adapter = &models[i][slash + 1];
				models[i][slash] = '\0';
			}
			copies[i].model = &models[i][0];
			copies[i].ready = true;
			pointers.push_back(&copies[i]);
		}
		features.sequenced = true;
		e.id = lit(id);
		e.address = str(where);
		e.site = lit("here");
		e.team = lit("team");
		e.service = lit("service");
		e.incarnation = incarnation;
		e.kind = models.empty() ? DSP__ENDPOINT_KIND__ENDPOINT_SERVICE
					: DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
		e.state = s;
		e.max_batch = 8;
		e.features = &features;
		e.copies = pointers.data();
		e.n_copies = pointers.size();
		put.endpoint = &e;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		command.endpoint_put = &put;
		last = Result(st_apply(state.get(), ++index, &command),
			      [](Dsp__CommandResult *r) {
				      dsp__command_result__free_unpacked(
					      r, nullptr);
			      });
		refresh();
	}
	void refresh()
	{
		Update update =
			own(st_view_since(state.get(), view_index(view)));
		struct view *next = view_apply(view, update.get());

		ASSERT_NE(next, nullptr);
		view_unref(view);
		view = next;
		bal_set_view(bal, view, "self");
	}
	struct bal_choice choose(const char *model = nullptr,
				 const char *adapter = nullptr,
				 const char *const *avoid = nullptr)
	{
		struct bal_query query = {};

		query.service = "service";
		query.model = model;
		query.adapter = adapter;
		query.tokens = model ? 1000 : 0;
		query.avoid = avoid;
		return bal_choose(bal, &query, now);
	}
	Result last{ nullptr, [](Dsp__CommandResult *) {} };
};

} // namespace

TEST_F(Balance, ReportsWhyNoEndpointIsChosen)
{
	EXPECT_EQ(choose("m").outcome, BAL_NO_ENDPOINT);
	put("a", { "other" });
	EXPECT_EQ(choose("m").outcome, BAL_NO_MODEL);
	put("b", { "m" });
	EXPECT_EQ(choose("m").outcome, BAL_CHOSEN);
	EXPECT_EQ(choose("m", "a1").outcome, BAL_NO_ADAPTER);
	put("b", { "m", "m/a1" });
	EXPECT_EQ(choose("m", "a1").outcome, BAL_CHOSEN);
}

TEST_F(Balance, LeavingAndDownEndpointsGetNoRequests)
{
	put("a", {});
	put("a", {}, DSP__ENDPOINT_STATE__ENDPOINT_LEAVING);
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	/* A late announcement of the same process does not undo its leaving. */
	put("a", {});
	EXPECT_EQ(choose().outcome, BAL_NO_ENDPOINT);
	put("a", {}, DSP__ENDPOINT_STATE__ENDPOINT_UP, 2);
	EXPECT_EQ(choose().outcome, BAL_CHOSEN);
}

TEST_F(Balance, LaterProcessTakesOverTheAddress)
{
	put("a", {}, DSP__ENDPOINT_STATE__ENDPOINT_UP, 5, "x:1");
	put("b", {}, DSP__ENDPOINT_STATE__ENDPOINT_UP, 9, "x:1");
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
	/* Arrives late: sent by the first process before it ended. */
	put("a", {}, DSP__ENDPOINT_STATE__ENDPOINT_UP, 5, "x:1");
	EXPECT_EQ(last->code, DSP__RESULT_CODE__RESULT_STALE);
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
}

TEST_F(Balance, SpreadsLoadAndRefusesWhenAllAreFull)
{
	std::map<std::string, int> sent;

	put("a", {});
	put("b", {});
	for (int i = 0; i < 200; i++) {
		struct bal_choice choice = choose();

		if (choice.outcome != BAL_CHOSEN) {
			EXPECT_EQ(choice.outcome, BAL_FULL);
			EXPECT_GT(choice.retry_us, 0);
			break;
		}
		bal_begin(bal, choice.endpoint, 1, now);
		sent[bal_id(choice.endpoint)]++;
	}
	/* Each runs a batch of 8 and may queue a few more requests. */
	EXPECT_EQ(sent["a"], sent["b"]);
	EXPECT_GE(sent["a"], 8);
	EXPECT_LE(sent["a"], 40);
}

TEST_F(Balance, FailingEndpointIsAvoidedForAWhile)
{
	put("a", {});
	put("b", {});
	for (int i = 0; i < 3; i++) {
		const char *avoid[] = { "b", nullptr };
		struct bal_choice choice = choose(nullptr, nullptr, avoid);

		ASSERT_STREQ(bal_id(choice.endpoint), "a");
		bal_begin(bal, choice.endpoint, 1, now);
		bal_end(bal, choice.endpoint, BAL_FAILED, 1, now);
	}
	for (int i = 0; i < 10; i++)
		EXPECT_STREQ(bal_id(choose().endpoint), "b");
	/* It is chosen when there is no other endpoint, */
	const char *avoid[] = { "b", nullptr };
	EXPECT_EQ(choose(nullptr, nullptr, avoid).outcome, BAL_CHOSEN);
	/* not when the other one is full, and again once the time is over. */
	struct bal_choice other = choose();
	for (int i = 0; i < 100; i++)
		bal_begin(bal, other.endpoint, 1, now);
	EXPECT_EQ(choose().outcome, BAL_FULL);
	now += 10 * S;
	ASSERT_EQ(choose().outcome, BAL_CHOSEN);
	EXPECT_STREQ(bal_id(choose().endpoint), "a");
}

/* An engine whose batch is nearly full is left for a slower one that has
 * places, also by an instance that knows its load from others only. */
TEST_F(Balance, NearlyFullEngineIsLeftForASlowerOne)
{
	Dsp__LoadReport load = DSP__LOAD_REPORT__INIT;
	struct bal_query query = {};
	const char *avoid_a[] = { "a", nullptr };

	put("a", { "m" });
	put("b", { "m" });
	query.service = "service";
	query.model = "m";
	query.tokens = 1000;
	query.events = 57;
	struct bal_endpoint *a = bal_choose(bal, &query, now).endpoint;
	ASSERT_STREQ(bal_id(a), "a");
	query.avoid = avoid_a;
	struct bal_endpoint *b = bal_choose(bal, &query, now).endpoint;
	ASSERT_STREQ(bal_id(b), "b");
	query.avoid = nullptr;
	bal_stream_interval(bal, a, 10 * MS);
	bal_stream_interval(bal, b, 60 * MS);
	load.incarnation = bal_incarnation(a);
	load.endpoint = (char *)"a";
	load.running = 2;
	bal_observe(bal, &load, now);
	EXPECT_STREQ(bal_id(bal_choose(bal, &query, now).endpoint), "a");
	load.running = 7; /* of 8 */
	now += 100 * MS;
	bal_observe(bal, &load, now);
	EXPECT_STREQ(bal_id(bal_choose(bal, &query, now).endpoint), "b");
}

/* Guards against never choosing an endpoint that has not been used yet; the
 * fault showed in tests/integration/platform_test.cc. */
TEST_F(Balance, UnusedEndpointIsTried)
{
	put("a", {});
	for (int i = 0; i < 20; i++) {
		struct bal_choice choice = choose();

		bal_begin(bal, choice.endpoint, 1, now);
		bal_first_byte(bal, choice.endpoint, 1, 200, true);
		bal_end(bal, choice.endpoint, BAL_ANSWERED, 0, now);
	}
	put("b", {});
	EXPECT_STREQ(bal_id(choose().endpoint), "b");
}

/* Guards against waiting for the only engine that holds the model after the
 * request has already failed there; one request waited four seconds. */
TEST_F(Balance, ReportsThatThereIsNoOtherEndpoint)
{
	const char *avoid[] = { "a", nullptr };

	put("a", { "m" });
	EXPECT_EQ(choose("m", nullptr, avoid).outcome, BAL_NO_OTHER);
	put("b", { "m" });
	EXPECT_EQ(choose("m", nullptr, avoid).outcome, BAL_CHOSEN);
}

TEST_F(Balance, LimitsPromptsThatWaitAtAnEngine)
{
	int sent = 0;

	put("a", { "m" });
	for (; sent < 100; sent++) {
		struct bal_choice choice = choose("m");

		if (choice.outcome != BAL_CHOSEN) {
			EXPECT_EQ(choice.outcome, BAL_PREFILL_BUSY);
			break;
		}
		bal_begin(bal, choice.endpoint, 1000, now);
	}
	EXPECT_LE(sent, 8);
}

/* Guards against overload in which an engine prefills all the time and finishes
 * no stream. */
TEST_F(Balance, EngineWhoseStreamsAreSlowGetsNoPrompt)
{
	struct bal_query query = {};
	struct bal_choice choice;

	put("a", { "m" });
	query.service = "service";
	query.model = "m";
	query.tokens = 1000;
	query.gap_objective_us = 250 * MS;
	choice = bal_choose(bal, &query, now);
	ASSERT_EQ(choice.outcome, BAL_CHOSEN);
	bal_begin(bal, choice.endpoint, 1000, now);
	bal_first_byte(bal, choice.endpoint, 1000, 60 * MS, true);
	for (int i = 0; i < 10; i++) {
		now += 200 * MS;
		bal_stream_event(bal, choice.endpoint, 200 * MS, now);
	}
	EXPECT_EQ(bal_choose(bal, &query, now).outcome, BAL_PREFILL_BUSY);
	/* A resumed stream, of which the caller has a part, does not wait. */
	query.resumed = true;
	EXPECT_EQ(bal_choose(bal, &query, now).outcome, BAL_CHOSEN);
	query.resumed = false;
	for (int i = 0; i < 30; i++) {
		now += 30 * MS;
		bal_stream_event(bal, choice.endpoint, 30 * MS, now);
	}
	EXPECT_EQ(bal_choose(bal, &query, now).outcome, BAL_CHOSEN);
}

/* Guards against sending long streams to engines too slow to finish them in
 * time: streams of 240 events were cut off at their deadline. */
TEST_F(Balance, LongStreamsAvoidEnginesTooSlowForTheDeadline)
{
	struct bal_query query = {};

	put("fast", { "m" });
	put("slow", { "m" });
	query.service = "service";
	query.model = "m";
	query.tokens = 1000;
	const char *not_slow[] = { "slow", nullptr };
	const char *not_fast[] = { "fast", nullptr };
	struct bal_endpoint *slow = choose("m", nullptr, not_fast).endpoint;
	struct bal_endpoint *fast = choose("m", nullptr, not_slow).endpoint;
	bal_stream_interval(bal, slow, 70 * 1000);
	bal_stream_interval(bal, fast, 30 * 1000);
	/* The fast one has far more requests. */
	for (int i = 0; i < 6; i++)
		bal_begin(bal, fast, 1500, now);
	query.events = 40;
	query.remaining_us = 15 * 1000 * 1000;
	EXPECT_STREQ(bal_id(bal_choose(bal, &query, now).endpoint), "slow");
	query.events = 200;
	EXPECT_STREQ(bal_id(bal_choose(bal, &query, now).endpoint), "fast");
}

/* Streams of an engine stall while it prefills. The gap shows in the interval
 * of the next event only after the prefill, so the time since the last event
 * counts too. */
TEST_F(Balance, StalledEngineGetsNoPrompt)
{
	struct bal_query query = {};

	put("a", { "m" });
	query.service = "service";
	query.model = "m";
	query.tokens = 1000;
	query.gap_objective_us = 300 * 1000;
	struct bal_choice choice = bal_choose(bal, &query, now);
	ASSERT_EQ(choice.outcome, BAL_CHOSEN);
	bal_begin(bal, choice.endpoint, 1000, now);
	bal_first_byte(bal, choice.endpoint, 1000, 60 * 1000, true);
	bal_stream_event(bal, choice.endpoint, 20 * 1000, now);
	EXPECT_EQ(bal_choose(bal, &query, now + 20 * 1000).outcome, BAL_CHOSEN);
	EXPECT_EQ(bal_choose(bal, &query, now + 120 * 1000).outcome,
		  BAL_PREFILL_BUSY);
	bal_stream_event(bal, choice.endpoint, 25 * 1000, now + 121 * 1000);
	EXPECT_EQ(bal_choose(bal, &query, now + 125 * 1000).outcome,
		  BAL_CHOSEN);
}

TEST(Adm, ItemsThatCanMeetTheirObjectiveComeFirst)
{
	struct adm *queue = adm_new();
	const char *group = adm_intern_group(queue, "g");
	struct adm_item late = {}, soon = {}, later = {};
	std::vector<struct adm_item *> order;

	late.group = soon.group = later.group = group;
	late.objective_us = 1 * S;
	soon.objective_us = 5 * S;
	later.objective_us = 9 * S;
	adm_add(queue, &later);
	adm_add(queue, &late);
	adm_add(queue, &soon);
	for (struct adm_item *item = adm_next(queue, nullptr, 2 * S); item;
	     item = adm_next(queue, item, 2 * S))
		order.push_back(item);
	EXPECT_EQ(order,
		  (std::vector<struct adm_item *>{ &soon, &later, &late }));
	EXPECT_EQ(adm_length(queue, "g"), 3u);
	for (auto *item : order)
		adm_remove(queue, item);
	adm_remove(queue, &soon); /* has no effect */
	EXPECT_EQ(adm_length(queue, "g"), 0u);
	adm_free(queue);
}

/* Guards against a customer that keeps the others out of the queue: one sends
 * 40 requests a second, four others two each, and 20 can be sent. */
TEST(Adm, ACustomerWithManyRequestsDelaysOnlyItself)
{
	struct Waiting {
		struct adm_item item = {};
		size_t customer = 0;
	};
	const char *names[] = { "many", "a", "b", "c", "d" };
	struct adm *queue = adm_new();
	const char *group = adm_intern_group(queue, "g");
	std::vector<std::unique_ptr<Waiting>> all;
	unsigned sent[5] = {}, arrived[5] = {};
	int64_t longest[5] = {};

	for (int64_t ms = 0; ms < 20000; ms++) {
		int64_t now = 100 * S + ms * 1000;

		for (size_t c = 0; c < 5; c++) {
			int64_t each = c ? 500 : 25;

			if ((ms + 37 * (int64_t)c) % each)
				continue;
			all.push_back(std::make_unique<Waiting>());
			struct adm_item *item = &all.back()->item;

			all.back()->customer = c;
			item->group = group;
			item->customer = names[c];
			item->arrived_us = now;
			item->objective_us = now + S / 2;
			arrived[c]++;
			/* As the entry does: refused at once. */
			if (adm_expected_wait_us(queue, "g", names[c], now) <=
			    S)
				adm_add(queue, item);
		}
		if (ms % 50)
			continue;
		if (struct adm_item *item = adm_next(queue, nullptr, now)) {
			auto at = std::find_if(
				all.begin(), all.end(),
				[&](auto &w) { return &w->item == item; });

			adm_remove(queue, item);
			adm_sent(queue, group, now);
			sent[(*at)->customer]++;
			longest[(*at)->customer] =
				std::max(longest[(*at)->customer],
					 now - item->arrived_us);
		}
	}
	for (size_t c = 1; c < 5; c++) {
		EXPECT_GE(sent[c], arrived[c] - 2) << names[c];
		/* One request of each customer may be ahead. */
		EXPECT_LE(longest[c], 6 * 50000 + 50000) << names[c];
	}
	/* Nothing that could be sent is left unused. */
	EXPECT_GE(sent[0], 400u - 4 * 40 - 2);
	for (auto &w : all)
		adm_remove(queue, &w->item);
	adm_free(queue);
}

TEST(Adm, EstimatesTheWaitFromRecentSends)
{
	struct adm *queue = adm_new();
	const char *group = adm_intern_group(queue, "g");
	std::vector<struct adm_item> items(10);
	int64_t now = 100 * S;

	EXPECT_EQ(adm_expected_wait_us(queue, "g", nullptr, now), 0);
	for (int i = 0; i < 50; i++) {
		now += 100 * MS; /* ten per second */
		adm_sent(queue, group, now);
	}
	EXPECT_EQ(adm_expected_wait_us(queue, "g", nullptr, now), 0);
	for (auto &item : items) {
		item.group = group;
		adm_add(queue, &item);
	}
	EXPECT_NEAR((double)adm_expected_wait_us(queue, "g", nullptr, now),
		    1.0 * S, 0.2 * S);
	for (auto &item : items)
		adm_remove(queue, &item);
	adm_free(queue);
}

TEST(Sse, EmitsWholeEventsWhereverInputIsSplit)
{
	const std::string text = "id: 1\ndata: a\n\nx-weight-versions: 2\n"
				 "id: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
	struct Seen {
		std::string all;
		std::vector<std::string> ids;
	};

	for (size_t cut = 0; cut <= text.size(); cut++) {
		struct sse *sse = sse_new();
		Seen seen;
		auto emit = [](void *data, const char *event, size_t len,
			       const char *id) {
			static_cast<Seen *>(data)->all.append(event, len);
			static_cast<Seen *>(data)->ids.push_back(id ? id : "-");
		};

		sse_feed(sse, text.data(), cut, emit, &seen);
		sse_feed(sse, text.data() + cut, text.size() - cut, emit,
			 &seen);
		EXPECT_EQ(seen.all, text.substr(0, text.size() - 8)) << cut;
		EXPECT_EQ(seen.ids,
			  (std::vector<std::string>{ "1", "2", "-" }));
		EXPECT_EQ(sse_unfinished(sse), 8u);
		sse_reset(sse);
		EXPECT_EQ(sse_unfinished(sse), 0u);
		sse_free(sse);
	}
}

namespace
{

Result put_table(struct st *state, uint64_t index, uint64_t number,
		 const std::string &source)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTablePut put = DSP__ROUTE_TABLE_PUT__INIT;
	Dsp__RouteTable table = DSP__ROUTE_TABLE__INIT;

	table.number = number;
	table.source.data = (uint8_t *)source.data();
	table.source.len = source.size();
	put.table = &table;
	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
	command.route_table_put = &put;
	return Result(st_apply(state, index, &command),
		      [](Dsp__CommandResult *r) {
			      dsp__command_result__free_unpacked(r, nullptr);
		      });
}

std::string get_table(struct st *state, uint64_t index)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTableGet get = DSP__ROUTE_TABLE_GET__INIT;

	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_GET;
	command.route_table_get = &get;
	Result result(st_apply(state, index, &command),
		      [](Dsp__CommandResult *r) {
			      dsp__command_result__free_unpacked(r, nullptr);
		      });
	if (!result->route_table)
		return "";
	return std::string((char *)result->route_table->source.data,
			   result->route_table->source.len);
}

} // namespace

TEST(RouteTable, HighestNumberIsInForceAndKeptInSnapshots)
{
	State state = new_state();
	State copy = new_state();
	size_t len;

	EXPECT_EQ(get_table(state.get(), 1), "");
	EXPECT_EQ(put_table(state.get(), 2, 5, "five")->code,
		  DSP__RESULT_CODE__RESULT_OK);
	EXPECT_EQ(put_table(state.get(), 3, 5, "other")->code,
		  DSP__RESULT_CODE__RESULT_SAME);
	EXPECT_EQ(put_table(state.get(), 4, 3, "three")->code,
		  DSP__RESULT_CODE__RESULT_SAME);
	EXPECT_EQ(get_table(state.get(), 5), "five");
	EXPECT_EQ(put_table(state.get(), 6, 8, "eight")->number, 8u);
	uint8_t *snapshot = st_snapshot(state.get(), &len);
	ASSERT_TRUE(st_restore(copy.get(), snapshot, len));
	g_free(snapshot);
	EXPECT_EQ(get_table(copy.get(), 7), "eight");
	/* Views contain the table without its source text. */
	Update update = own(st_view_since(copy.get(), 0));
	struct view *empty = view_new_empty();
	struct view *view = view_apply(empty, update.get());
	ASSERT_NE(view, nullptr);
	ASSERT_NE(view_route_table(view), nullptr);
	EXPECT_EQ(view_route_table(view)->number, 8u);
	EXPECT_EQ(view_route_table(view)->source.len, 0u);
	view_unref(view);
	view_unref(empty);
}
