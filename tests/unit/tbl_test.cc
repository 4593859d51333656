/* Versions of the route table as changes of each other. */
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/rtab.h"
#include "core/st.h"
#include "core/tbl.h"
#include "core/txt.h"
#include "core/view.h"
}

namespace
{

using Table = std::unique_ptr<Dsp__RouteTable, void (*)(Dsp__RouteTable *)>;
using Steps =
	std::unique_ptr<Dsp__RouteTableSteps, void (*)(Dsp__RouteTableSteps *)>;
using Version = std::unique_ptr<struct tbl, void (*)(struct tbl *)>;
using View = std::unique_ptr<struct view, void (*)(struct view *)>;
using Update = std::unique_ptr<Dsp__ViewUpdate, void (*)(Dsp__ViewUpdate *)>;

char *dup(const std::string &text)
{
	return g_strdup(text.c_str());
}

struct RouteText {
	size_t id;
	uint32_t timeout_ms;
};

/* The operator's routes, to be changed by the tests. */
struct Operator {
	std::vector<RouteText> routes;
	/* Names of the customers, whose keys' digests repeat the last letter;
	 * without has_customers the table has none. */
	std::vector<std::string> customers;
	bool has_customers = false;
	uint64_t number = 0;

	explicit Operator(size_t n)
	{
		for (size_t i = 0; i < n; i++)
			routes.push_back({ i, 1000 });
	}

	void add_customers(Dsp__RouteTable *table)
	{
		auto *list = g_new(Dsp__Customers, 1);

		dsp__customers__init(list);
		list->all = g_new(Dsp__Customer *, customers.size() + 1);
		for (const std::string &name : customers) {
			auto *customer = g_new(Dsp__Customer, 1);

			dsp__customer__init(customer);
			customer->name = dup(name);
			customer->rate = 100;
			customer->n_key_digests = 1;
			customer->key_digests = g_new(ProtobufCBinaryData, 1);
			customer->key_digests[0].len = RTAB_KEY_DIGEST_LEN;
			customer->key_digests[0].data =
				(uint8_t *)g_malloc(RTAB_KEY_DIGEST_LEN);
			memset(customer->key_digests[0].data, name.back(),
			       RTAB_KEY_DIGEST_LEN);
			list->all[list->n_all++] = customer;
		}
		table->customers = list;
	}

	/* Returns the next table, accepted at a log index. */
	Table next(uint64_t index)
	{
		auto *table = g_new(Dsp__RouteTable, 1);

		dsp__route_table__init(table);
		table->number = ++number;
		table->index = index;
		table->routes = g_new(Dsp__Route *, routes.size() + 1);
		for (const RouteText &text : routes) {
			auto *route = g_new(Dsp__Route, 1);

			dsp__route__init(route);
			route->name = dup("r" + std::to_string(text.id));
			route->host = dup("h.example");
			route->path_prefix =
				dup("/" + std::to_string(text.id) + "/");
			route->timeout_ms = text.timeout_ms;
			route->n_splits = 1;
			route->splits = g_new(Dsp__Split *, 1);
			route->splits[0] = g_new(Dsp__Split, 1);
			dsp__split__init(route->splits[0]);
			route->splits[0]->service = dup("s");
			route->splits[0]->weight = 1;
			table->routes[table->n_routes++] = route;
		}
		table->n_services = 1;
		table->services = g_new(Dsp__RoutedService *, 1);
		table->services[0] = g_new(Dsp__RoutedService, 1);
		dsp__routed_service__init(table->services[0]);
		table->services[0]->name = dup("s");
		table->services[0]->health_path = dup("/h");
		if (has_customers)
			add_customers(table);
		return { table, [](Dsp__RouteTable *t) {
				dsp__route_table__free_unpacked(t, nullptr);
			} };
	}
};

std::string packed(const Dsp__RouteTable *table)
{
	std::string data(dsp__route_table__get_packed_size(table), '\0');

	dsp__route_table__pack(table, reinterpret_cast<uint8_t *>(data.data()));
	return data;
}

Version version(struct tbl *base, const Dsp__RouteTable *table)
{
	return { tbl_new(base, table), tbl_unref };
}

Steps since(const struct tbl *ctx, uint64_t index)
{
	return { tbl_since(ctx, index), [](Dsp__RouteTableSteps *s) {
			if (s)
				dsp__route_table_steps__free_unpacked(s,
								      nullptr);
		} };
}

/* Guards against a change whose size follows the table: one timeout of 6,000
 * costs one route, for its sender and its receiver. */
TEST(Tbl, ChangeOfOneTimeoutCostsOneRoute)
{
	for (size_t n : { 250, 6000 }) {
		Operator op(n);
		Table first = op.next(10);
		Version old = version(nullptr, first.get());
		Version reader = version(nullptr, first.get());

		op.routes[n / 2].timeout_ms = 2000;
		Table second = op.next(20);
		Version now = version(old.get(), second.get());
		Steps steps = since(now.get(), 10);

		EXPECT_EQ(tbl_n_copied(now.get()), 1u);
		ASSERT_TRUE(steps);
		EXPECT_LT(dsp__route_table_steps__get_packed_size(steps.get()),
			  200u);
		Version got(tbl_apply(reader.get(), steps.get(), nullptr),
			    tbl_unref);
		ASSERT_TRUE(got);
		EXPECT_EQ(tbl_n_copied(got.get()), 1u);
		EXPECT_EQ(packed(tbl_table(got.get())), packed(second.get()));
	}
}

/* Guards against a change that loses customers or keeps those that the operator
 * removed, and against a digest that does not cover them. */
TEST(Tbl, ChangesCarryTheCustomers)
{
	Operator op(50);
	Version leader = version(nullptr, op.next(1).get());
	Version reader = version(nullptr, tbl_table(leader.get()));
	std::vector<std::vector<std::string>> lists = {
		{ "a", "b" }, { "b" }, { "b", "c" }, {}, { "a" }
	};

	for (uint64_t step = 2; step < 2 + lists.size() + 1; step++) {
		op.has_customers = step - 2 < lists.size();
		if (op.has_customers)
			op.customers = lists[step - 2];
		Table table = op.next(step);
		Version next = version(leader.get(), table.get());
		Steps steps = since(next.get(), step - 1);

		ASSERT_TRUE(steps);
		ASSERT_EQ(steps->n_steps, 1u);
		EXPECT_EQ(tbl_n_copied(next.get()), 0u);
		Version got(tbl_apply(reader.get(), steps.get(), nullptr),
			    tbl_unref);
		ASSERT_TRUE(got);
		EXPECT_EQ(packed(tbl_table(got.get())), packed(table.get()));
		if (op.has_customers && !op.customers.empty()) {
			Dsp__Customer *c = steps->steps[0]->customers->all[0];

			c->key_digests[0].data[3]++;
			Version bad(
				tbl_apply(reader.get(), steps.get(), nullptr),
				tbl_unref);
			EXPECT_FALSE(bad) << "step " << step;
		}
		leader = std::move(next);
		reader = std::move(got);
	}
}

/* Guards against a change that is applied to another version than its own, or
 * half applied. */
TEST(Tbl, ChangeThatDoesNotFitIsRefusedWhole)
{
	Operator op(50);
	Table first = op.next(10);
	Version old = version(nullptr, first.get());
	op.routes.erase(op.routes.begin() + 3);
	op.routes[20].timeout_ms = 1;
	Version now = version(old.get(), op.next(20).get());
	Steps good = since(now.get(), 10);
	Operator other(49);
	Version stranger = version(nullptr, other.next(11).get());
	Version twin = version(nullptr, other.next(10).get());
	Dsp__RouteTableChange *change = good->steps[0];
	GError *error = nullptr;
	auto refused = [&](struct tbl *base, int code) {
		std::string before = packed(tbl_table(base));
		struct tbl *got = tbl_apply(base, good.get(), &error);

		EXPECT_EQ(got, nullptr);
		EXPECT_TRUE(g_error_matches(error, TBL_ERROR, code))
			<< (error ? error->message : "no error");
		g_clear_error(&error);
		EXPECT_EQ(packed(tbl_table(base)), before);
	};

	refused(stranger.get(), TBL_ERROR_BASE);
	/* The same index, but another table. */
	refused(twin.get(), TBL_ERROR_FORM);
	change->pieces[0]->first += 1;
	refused(old.get(), TBL_ERROR_DIGEST);
	change->pieces[0]->first = UINT32_MAX;
	refused(old.get(), TBL_ERROR_FORM);
	change->pieces[0]->first = 0;
	change->pieces[0]->count = 50;
	refused(old.get(), TBL_ERROR_FORM);
	change->pieces[0]->count = 3;
	change->number++;
	refused(old.get(), TBL_ERROR_DIGEST);
	change->number--;
	change->digest.len = 3;
	refused(old.get(), TBL_ERROR_DIGEST);
	change->digest.len = 16;
	Version got(tbl_apply(old.get(), good.get(), &error), tbl_unref);
	EXPECT_TRUE(got);
}

/* Guards against changes kept without bound, and against a change that costs
 * more than the table. */
TEST(Tbl, ReaderFarBehindNeedsTheWholeTable)
{
	Operator op(400);
	Version now = version(nullptr, op.next(1).get());

	for (uint64_t index = 2; index <= 40; index++) {
		op.routes[index].timeout_ms++;
		now = version(now.get(), op.next(index).get());
	}
	EXPECT_FALSE(since(now.get(), 1));
	ASSERT_TRUE(since(now.get(), 39));
	ASSERT_TRUE(since(now.get(), 24));
	EXPECT_EQ(since(now.get(), 24)->n_steps, 16u);
	EXPECT_FALSE(since(now.get(), 23));
	for (RouteText &route : op.routes)
		route.timeout_ms = 7;
	now = version(now.get(), op.next(41).get());
	EXPECT_FALSE(since(now.get(), 40));
}

struct Reader {
	View view{ view_new_empty(), view_unref };
	bool refused = false;
};

Update own(Dsp__ViewUpdate *update)
{
	return { update, [](Dsp__ViewUpdate *u) {
			if (u)
				dsp__view_update__free_unpacked(u, nullptr);
		} };
}

uint64_t table_index(const struct view *view)
{
	const Dsp__RouteTable *table = view_route_table(view);

	return table ? table->index : 0;
}

/* Installs a table at a log index in the view that the others follow. */
void publish(View &source, Dsp__RouteTable *table)
{
	Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
	Dsp__ViewRecord record = DSP__VIEW_RECORD__INIT;
	Dsp__ViewRecord *records[] = { &record };
	char key[] = "routes";

	record.index = table->index;
	record.key = key;
	record.kind = DSP__VIEW_RECORD__BODY_ROUTE_TABLE;
	record.body_case = DSP__VIEW_RECORD__BODY_ROUTE_TABLE;
	record.route_table = table;
	update.from_index = view_index(source.get());
	update.to_index = table->index;
	update.n_records = 1;
	update.records = records;
	source.reset(view_apply(source.get(), &update));
	ASSERT_TRUE(source);
}

/*
 * Guards against a reader that has another table than the operator's: series of
 * changes, lost and late updates, restarts, relays, and readers that skip
 * versions.
 */
TEST(Tbl, RandomSeriesReachEachReader)
{
	size_t n_steps = 0;
	size_t n_whole = 0;

	for (unsigned seed = 1; seed <= 20; seed++) {
		std::mt19937 random(seed);
		auto below = [&](size_t n) { return random() % n; };
		Operator op(20 + below(200));
		View leader(view_new_empty(), view_unref);
		View relay(view_new_empty(), view_unref);
		std::vector<Reader> readers(4);
		std::vector<std::string> history;
		std::vector<std::pair<size_t, Update>> late;
		size_t id = 1000;

		for (uint64_t index = 1; index <= 60; index++) {
			for (size_t k = below(4); k && !op.routes.empty(); k--)
				op.routes[below(op.routes.size())].timeout_ms++;
			if (!below(3))
				for (size_t k = below(30); k; k--)
					op.routes.insert(
						op.routes.begin() +
							below(op.routes.size() +
							      1),
						{ id++, 1 });
			for (size_t k = below(3); k && op.routes.size() > 1;
			     k--)
				op.routes.erase(op.routes.begin() +
						below(op.routes.size()));
			if (!below(10))
				std::shuffle(op.routes.begin(), op.routes.end(),
					     random);
			op.has_customers = below(4) != 0;
			op.customers.clear();
			for (size_t k = below(4); k; k--)
				op.customers.push_back(
					std::string(1, (char)('a' + k)));
			Table table = op.next(index);
			history.push_back(packed(table.get()));
			publish(leader, table.get());
			if (!relay || below(2)) {
				Update update = own(view_since_table(
					leader.get(), view_index(relay.get()),
					table_index(relay.get())));
				relay.reset(
					view_apply(relay.get(), update.get()));
				ASSERT_TRUE(relay);
			}
			for (size_t i = 0; i < readers.size(); i++) {
				Reader &r = readers[i];
				const View &from = below(3) ? relay : leader;

				if (!below(20))
					r.view.reset(view_new_empty());
				uint64_t before = table_index(r.view.get());
				if (view_index(from.get()) <
				    view_index(r.view.get()))
					continue;
				Update update = own(view_since_table(
					from.get(), view_index(r.view.get()),
					before));
				if (!below(5))
					continue; /* lost */
				if (!below(6)) {
					late.emplace_back(i, std::move(update));
					continue;
				}
				for (size_t k = 0; k < update->n_records; k++) {
					bool whole =
						update->records[k]->body_case ==
						DSP__VIEW_RECORD__BODY_ROUTE_TABLE;

					n_whole += whole;
					n_steps += !whole;
				}
				r.view.reset(
					view_apply(r.view.get(), update.get()));
				ASSERT_TRUE(r.view) << "seed " << seed;
				EXPECT_GE(table_index(r.view.get()), before);
			}
			if (!late.empty() && !below(2)) {
				Reader &r = readers[late.back().first];
				struct view *next = view_apply(
					r.view.get(), late.back().second.get());

				if (next)
					r.view.reset(next);
				late.pop_back();
			}
			for (const Reader &r : readers) {
				uint64_t at = table_index(r.view.get());

				if (!at)
					continue;
				ASSERT_EQ(
					packed(view_route_table(r.view.get())),
					history[at - 1])
					<< "seed " << seed << " index "
					<< index;
			}
		}
	}
	EXPECT_GT(n_steps, 4 * n_whole);
	EXPECT_GT(n_whole, 0u);
}

/* Guards against an index that is built anew for each change, in the thread
 * that forwards requests. */
TEST(Tbl, IndexTakesOverUnchangedRoutes)
{
	Operator op(6000);
	Version old = version(nullptr, op.next(10).get());
	struct rtab *index = rtab_new(tbl_table(old.get()));

	op.routes[3000].timeout_ms = 2000;
	Version now = version(old.get(), op.next(20).get());
	EXPECT_EQ(
		rtab_update(index, tbl_table(old.get()), tbl_table(now.get())),
		2u);
	old.reset();
	EXPECT_EQ(rtab_match(index, "h.example", "/3000/x")->timeout_ms, 2000u);
	EXPECT_EQ(rtab_match(index, "h.example", "/3001/x")->timeout_ms, 1000u);
	EXPECT_STREQ(rtab_service(index, "s")->name, "s");
	rtab_free(index);
}

/* Guards against an updated index that differs from a new one, or refers to a
 * route of a table that was freed. */
TEST(Tbl, UpdatedIndexFindsWhatANewOneFinds)
{
	for (unsigned seed = 1; seed <= 30; seed++) {
		std::mt19937 random(seed);
		auto below = [&](size_t n) { return random() % n; };
		Operator op(1 + below(100));
		size_t id = 100;
		Version now = version(nullptr, op.next(1).get());
		struct rtab *index = rtab_new(tbl_table(now.get()));

		for (uint64_t step = 2; step <= 40; step++) {
			for (size_t k = below(4); k; k--)
				op.routes.push_back({ id++, 1 });
			for (size_t k = below(4); k && op.routes.size() > 1;
			     k--)
				op.routes.erase(op.routes.begin() +
						below(op.routes.size()));
			op.routes[below(op.routes.size())].timeout_ms++;
			if (!below(4))
				std::shuffle(op.routes.begin(), op.routes.end(),
					     random);
			Version next = version(below(9) ? now.get() : nullptr,
					       op.next(step).get());
			rtab_update(index, tbl_table(now.get()),
				    tbl_table(next.get()));
			now = std::move(next);
			struct rtab *want = rtab_new(tbl_table(now.get()));

			for (size_t k = 0; k < id; k++) {
				std::string path =
					"/" + std::to_string(k) + "/x";

				ASSERT_EQ(rtab_match(index, "h.example",
						     path.c_str()),
					  rtab_match(want, "h.example",
						     path.c_str()))
					<< "seed " << seed << " step " << step;
			}
			rtab_free(want);
		}
		rtab_free(index);
	}
}

using State = std::unique_ptr<struct st, void (*)(struct st *)>;

/* Guards against a whole table for a reader that has it: a relay that is behind
 * its reader answers with its whole view. */
TEST(Tbl, ReaderWithTheTableDoesNotGetItAgain)
{
	Operator op(400);
	View leader(view_new_empty(), view_unref);
	Table first = op.next(5);

	publish(leader, first.get());
	for (uint64_t has : { 5, 6 }) {
		Update update = own(view_since_table(leader.get(), 9, has));
		std::string want = packed(view_route_table(leader.get()));

		EXPECT_TRUE(update->reset);
		EXPECT_LT(dsp__view_update__get_packed_size(update.get()),
			  100u);
		View got(view_apply(leader.get(), update.get()), view_unref);
		ASSERT_TRUE(got);
		EXPECT_EQ(packed(view_route_table(got.get())), want);
		/* One that has been restarted since asks for it. */
		View empty(view_new_empty(), view_unref);
		GError *error = nullptr;
		EXPECT_EQ(view_try_apply(empty.get(), update.get(), nullptr,
					 &error),
			  nullptr);
		EXPECT_TRUE(g_error_matches(error, TBL_ERROR, TBL_ERROR_BASE));
		g_clear_error(&error);
	}
}

/* The operator's document, in a form of its own. */
void set_source(Dsp__RouteTable *table)
{
	std::string text = "{\"version\":" + std::to_string(table->number) +
			   ",\"routes\":[";

	for (size_t i = 0; i < table->n_routes; i++)
		text += std::string(i ? "," : "") + "{\"name\":\"" +
			table->routes[i]->name + "\",\"timeoutMs\":" +
			std::to_string(table->routes[i]->timeout_ms) + "}";
	text += "]}";
	table->source.len = text.size();
	table->source.data = (uint8_t *)g_memdup2(text.data(), text.size());
}

Dsp__ResultCode apply(struct st *st, uint64_t index, Dsp__Command *command)
{
	Dsp__CommandResult *result;
	Dsp__ResultCode code;

	command->wall_ms = 1700000000000 + index;
	result = st_apply(st, index, command);
	code = result->code;
	dsp__command_result__free_unpacked(result, nullptr);
	return code;
}

Dsp__ResultCode put(struct st *st, uint64_t index, Dsp__RouteTable *table)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTablePut body = DSP__ROUTE_TABLE_PUT__INIT;

	body.table = table;
	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
	command.route_table_put = &body;
	return apply(st, index, &command);
}

Dsp__ResultCode put_change(struct st *st, uint64_t index,
			   Dsp__RouteTableChangePut *body)
{
	Dsp__Command command = DSP__COMMAND__INIT;

	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_CHANGE_PUT;
	command.route_table_change_put = body;
	return apply(st, index, &command);
}

using Change = std::unique_ptr<Dsp__RouteTableChangePut,
			       void (*)(Dsp__RouteTableChangePut *)>;

Change change_to(struct st *st, const Dsp__RouteTable *table, uint64_t index)
{
	return { st_table_change(st, table, index),
		 [](Dsp__RouteTableChangePut *c) {
			 if (c)
				 dsp__route_table_change_put__free_unpacked(
					 c, nullptr);
		 } };
}

std::string snapshot(const struct st *st)
{
	size_t len;
	uint8_t *data = st_snapshot(st, &len);
	std::string text((char *)data, len);

	g_free(data);
	return text;
}

/* Guards against a log entry whose size follows the table: one timeout of 6,000
 * took 1.9 MB to each replica. */
TEST(TableLog, ChangeOfOneTimeoutIsASmallEntry)
{
	Operator op(6000);
	State st(st_new(nullptr), st_free);
	Table first = op.next(0);

	set_source(first.get());
	ASSERT_FALSE(change_to(st.get(), first.get(), 1));
	ASSERT_EQ(put(st.get(), 1, first.get()), DSP__RESULT_CODE__RESULT_OK);
	op.routes[3000].timeout_ms = 2000;
	Table second = op.next(0);
	set_source(second.get());
	Change change = change_to(st.get(), second.get(), 2);
	ASSERT_TRUE(change);
	EXPECT_LT(dsp__route_table_change_put__get_packed_size(change.get()),
		  600u);
	EXPECT_EQ(put_change(st.get(), 2, change.get()),
		  DSP__RESULT_CODE__RESULT_OK);
}

/* Guards against replicas that differ: of those that apply tables, changes, and
 * changes on top of a snapshot. */
TEST(TableLog, ChangesLeadToTheSameState)
{
	size_t n_changes = 0;

	for (unsigned seed = 1; seed <= 30; seed++) {
		std::mt19937 random(seed);
		auto below = [&](size_t n) { return random() % n; };
		Operator op(50 + below(100));
		State whole(st_new(nullptr), st_free);
		State changed(st_new(nullptr), st_free);
		View view(view_new_empty(), view_unref);
		size_t id = 1000;

		for (uint64_t index = 1; index <= 40; index++) {
			for (size_t k = below(3); k; k--)
				op.routes.insert(
					op.routes.begin() +
						below(op.routes.size()),
					{ id++, 1 });
			for (size_t k = below(3); k && op.routes.size() > 1;
			     k--)
				op.routes.erase(op.routes.begin() +
						below(op.routes.size()));
			if (!below(8))
				for (RouteText &route : op.routes)
					route.timeout_ms++;
			/* The same route twice, which no checked table has. */
			if (!below(8))
				op.routes.push_back(op.routes[0]);
			op.routes[below(op.routes.size())].timeout_ms++;
			Table table = op.next(0);
			set_source(table.get());
			Change change =
				change_to(changed.get(), table.get(), index);
			ASSERT_EQ(put(whole.get(), index, table.get()),
				  DSP__RESULT_CODE__RESULT_OK);
			if (change) {
				n_changes++;
				ASSERT_EQ(put_change(changed.get(), index,
						     change.get()),
					  DSP__RESULT_CODE__RESULT_OK);
			} else {
				ASSERT_EQ(
					put(changed.get(), index, table.get()),
					DSP__RESULT_CODE__RESULT_OK);
			}
			ASSERT_EQ(snapshot(whole.get()),
				  snapshot(changed.get()))
				<< "seed " << seed << " index " << index;
			Update update = own(st_view_since_table(
				changed.get(), view_index(view.get()),
				table_index(view.get())));
			view.reset(view_apply(view.get(), update.get()));
			ASSERT_TRUE(view);
			ASSERT_EQ(packed(view_route_table(view.get())),
				  packed(st_route_table(whole.get())));
			if (!below(5)) {
				std::string data = snapshot(changed.get());

				changed.reset(st_new(nullptr));
				ASSERT_TRUE(st_restore(changed.get(),
						       (uint8_t *)data.data(),
						       data.size()));
			}
		}
	}
	EXPECT_GT(n_changes, 500u);
}

/* Guards against a change that is applied to another table, at another index or
 * with another result. */
TEST(TableLog, ChangeThatDoesNotFitHasNoEffect)
{
	Operator op(50);
	State st(st_new(nullptr), st_free);
	State other(st_new(nullptr), st_free);
	Table first = op.next(0);
	uint64_t index = 2;

	set_source(first.get());
	ASSERT_EQ(put(st.get(), 1, first.get()), DSP__RESULT_CODE__RESULT_OK);
	op.routes[7].timeout_ms = 9;
	Table second = op.next(0);
	set_source(second.get());
	auto refused = [&](Dsp__RouteTableChangePut *change,
			   Dsp__ResultCode code) {
		EXPECT_EQ(put_change(st.get(), index++, change), code);
		EXPECT_EQ(st_route_table(st.get())->number, 1u);
	};
	Change change = change_to(st.get(), second.get(), 99);

	refused(change.get(), DSP__RESULT_CODE__RESULT_STALE);
	EXPECT_EQ(put_change(other.get(), 1, change.get()),
		  DSP__RESULT_CODE__RESULT_STALE);
	change = change_to(st.get(), second.get(), index);
	change->change->base_index = 7;
	refused(change.get(), DSP__RESULT_CODE__RESULT_STALE);
	change = change_to(st.get(), second.get(), index);
	change->change->digest.data[3]++;
	refused(change.get(), DSP__RESULT_CODE__RESULT_INVALID);
	change = change_to(st.get(), second.get(), index);
	change->source_digest.data[3]++;
	refused(change.get(), DSP__RESULT_CODE__RESULT_INVALID);
	change = change_to(st.get(), second.get(), index);
	change->source[0]->count = UINT64_MAX;
	refused(change.get(), DSP__RESULT_CODE__RESULT_INVALID);
	change = change_to(st.get(), second.get(), index);
	EXPECT_EQ(put_change(st.get(), index++, change.get()),
		  DSP__RESULT_CODE__RESULT_OK);
	EXPECT_EQ(put_change(st.get(), index, change.get()),
		  DSP__RESULT_CODE__RESULT_SAME);
}

/* Guards against a table that is copied and hashed once more for the view of a
 * replica, which has it from the log: a third of the work of a change. */
TEST(TableLog, ViewOfAReplicaSharesTheTableOfItsLog)
{
	Operator op(50);
	State st(st_new(nullptr), st_free);
	View view(view_new_empty(), view_unref);
	auto publish = [&] {
		struct tbl *table = st_route_table_version(st.get());
		Update update = own(
			st_view_since_table(st.get(), view_index(view.get()),
					    tbl_table(table)->index));

		view.reset(view_try_apply(view.get(), update.get(), table,
					  nullptr));
		ASSERT_TRUE(view);
		EXPECT_EQ(view_route_table(view.get()),
			  st_route_table(st.get()));
	};
	Table first = op.next(0);

	set_source(first.get());
	ASSERT_EQ(put(st.get(), 1, first.get()), DSP__RESULT_CODE__RESULT_OK);
	publish();
	op.routes[7].timeout_ms = 9;
	Table second = op.next(0);
	set_source(second.get());
	ASSERT_EQ(put_change(st.get(), 2,
			     change_to(st.get(), second.get(), 2).get()),
		  DSP__RESULT_CODE__RESULT_OK);
	publish();
	/* A reader gets the change, not the table. */
	Update update = own(view_since_table(view.get(), 1, 1));
	ASSERT_EQ(update->n_records, 1u);
	EXPECT_EQ(update->records[0]->body_case,
		  DSP__VIEW_RECORD__BODY_ROUTE_TABLE_STEPS);
	EXPECT_EQ(update->records[0]->route_table_steps->n_steps, 1u);
}

} // namespace
