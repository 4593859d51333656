#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "lib_proc.h"
#include "lib_proxy.h"
#include "node/ctl.h"
}

/*
 * Tests of the control thread (ctl): several instances, each with its own
 * control thread, run in this process and are connected over loopback.
 */

namespace
{

constexpr int64_t WAIT_US = 20000000;

constexpr const char *DOCUMENT_TAIL = R"(
team = "verband"
default_class = "shop"
[weights]
attainment = 0.2
moves = 0.8
[store]
loads_per_s = 2.0
parallel_loads = 2
adapters_in_transit = 4
[[service]]
name = "kellerrat"
kind = "engine"
[[model]]
name = "m1"
service = "kellerrat"
version = "1"
memory_mb = 1000
accelerators = 1
[[class]]
name = "shop"
priority = 0
first_token_ms = 510
token_gap_ms = 55
deadline_ms = 30000
attainment = 0.95
share = 0.5
queue_max = 100
)";

struct Instance {
	std::string id;
	std::string site = "north";
	int port = 0;
	std::string folder; /* empty: no control role */
	struct set *settings = nullptr;
	struct clk *clock = clk_new_real();
	struct met *met = met_new();
	struct ctl *ctl = nullptr;

	~Instance()
	{
		stop();
		set_free(settings);
		met_free(met);
		clk_free(clock);
	}

	void start()
	{
		struct ctl_callbacks callbacks = {};
		GError *err = nullptr;

		ctl = ctl_start(settings, clock, met, &callbacks, &err);
		ASSERT_NE(ctl, nullptr) << (err ? err->message : "");
	}

	void stop()
	{
		if (ctl)
			ctl_stop(ctl);
		ctl = nullptr;
	}

	uint64_t number(const char *team)
	{
		struct view *view = ctl_view(ctl);
		const struct view_document *d = view_document(view, team);
		uint64_t number = d ? d->document->number : 0;

		view_unref(view);
		return number;
	}

	bool has_status(const std::string &text)
	{
		char *json = ctl_status_json(ctl);
		bool found = std::string(json).find(text) != std::string::npos;

		g_free(json);
		return found;
	}
};

bool wait_until(const std::function<bool()> &done)
{
	for (int64_t waited = 0; waited < WAIT_US; waited += 20000) {
		if (done())
			return true;
		usleep(20000);
	}
	return done();
}

class Control : public ::testing::Test
{
      protected:
	std::string root;
	std::vector<std::unique_ptr<Instance>> all;
	int isolated_after_ms = 2000;

	void SetUp() override
	{
		char name[] = "/tmp/ctl_test.XXXXXX";

		root = mkdtemp(name);
	}

	void TearDown() override
	{
		std::string command = "rm -rf " + root;

		all.clear();
		EXPECT_EQ(system(command.c_str()), 0);
	}

	/* Creates instances n0, n1, ... The first `voters` have the control
	 * role, in the site "north"; the rest are entries in entry_site. */
	void create(size_t voters, size_t entries,
		    const char *entry_site = "north")
	{
		for (size_t i = 0; i < voters + entries; i++) {
			auto instance = std::make_unique<Instance>();

			instance->id = "n" + std::to_string(i);
			instance->port = proc_free_port();
			if (i < voters)
				instance->folder = root + "/" + instance->id;
			else
				instance->site = entry_site;
			all.push_back(std::move(instance));
		}
		for (auto &instance : all)
			configure(*instance);
	}

	/* Peer settings that route the connection between two instances through
	 * a proxy; empty for a direct connection. */
	virtual std::string via(const Instance &, const Instance &)
	{
		return "";
	}

	/* Settings of another address that is told to the others; empty: the
	 * own one. */
	virtual std::string advertise(const Instance &)
	{
		return "";
	}

	void configure(Instance &instance)
	{
		std::string address =
			"127.0.0.1:" + std::to_string(instance.port);
		std::string text = "id = \"" + instance.id + "\"\nsite = \"" +
				   instance.site +
				   "\"\nregion = \"r\"\n"
				   "internal_listen = \"tcp://" +
				   address +
				   "\"\nhttp_listen = \"127.0.0.1:1\"\n" +
				   advertise(instance);

		if (!instance.folder.empty())
			text += "control = true\ndata_folder = \"" +
				instance.folder + "\"\n";
		text += "[timing]\nelection_timeout_ms = 300\n"
			"heartbeat_ms = 50\nreport_interval_ms = 200\n"
			"node_lease_ms = 2000\nendpoint_lease_ms = 1500\n"
			"isolated_after_ms = " +
			std::to_string(isolated_after_ms) + "\n";
		for (auto &peer : all)
			if (!peer->folder.empty())
				text += "[[peer]]\nid = \"" + peer->id +
					"\"\naddress = \"tcp://127.0.0.1:" +
					std::to_string(peer->port) +
					"\"\nsite = \"" + peer->site + "\"\n" +
					via(instance, *peer);
		parse(instance, text);
	}

	void parse(Instance &instance, const std::string &text)
	{
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

		instance.settings =
			set_parse("test", text.c_str(), text.size(), faults);
		for (guint i = 0; i < faults->len; i++)
			ADD_FAILURE() << (char *)g_ptr_array_index(faults, i);
		g_ptr_array_free(faults, TRUE);
		ASSERT_NE(instance.settings, nullptr);
	}

	void start_all()
	{
		for (auto &instance : all)
			instance->start();
	}

	bool all_serve()
	{
		for (auto &instance : all)
			if (instance->ctl &&
			    ctl_state(instance->ctl).readiness != CTL_SERVING)
				return false;
		return true;
	}

	Instance *leader()
	{
		for (auto &instance : all)
			if (instance->ctl &&
			    instance->has_status("\"role\":\"leader\""))
				return instance.get();
		return nullptr;
	}
};

Dsp__CommandResult *put_document(Instance &instance, uint64_t number,
				 GError **err, size_t padding = 0)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	std::string text = "number = " + std::to_string(number) + "\n" +
			   DOCUMENT_TAIL + "#" + std::string(padding, 'x') +
			   "\n";

	put.team = (char *)"verband";
	put.number = number;
	put.text = (char *)text.c_str();
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	return ctl_submit(instance.ctl, &command, WAIT_US, err);
}

/* A command that is resent after a lost reply gets the first result again, with
 * the code RESULT_SAME. */
bool is_accepted(const Dsp__CommandResult *result)
{
	return result->code == DSP__RESULT_CODE__RESULT_OK ||
	       result->code == DSP__RESULT_CODE__RESULT_SAME;
}

bool put(Instance &instance, uint64_t number, size_t padding = 0)
{
	GError *err = nullptr;
	Dsp__CommandResult *result =
		put_document(instance, number, &err, padding);
	bool accepted;

	EXPECT_NE(result, nullptr) << (err ? err->message : "");
	g_clear_error(&err);
	if (!result)
		return false;
	accepted = is_accepted(result);
	EXPECT_TRUE(accepted) << result->message;
	dsp__command_result__free_unpacked(result, NULL);
	return accepted;
}

/* Puts a table in which the first of its routes has a timeout of its own. */
bool put_table(Instance &instance, uint64_t number, size_t n_routes = 0,
	       uint32_t timeout_ms = 1000)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTablePut change = DSP__ROUTE_TABLE_PUT__INIT;
	Dsp__RouteTable table = DSP__ROUTE_TABLE__INIT;
	std::vector<Dsp__Route> routes(n_routes);
	std::vector<std::string> prefixes(n_routes);
	std::vector<Dsp__Route *> pointers(n_routes);
	char host[] = "shop.example";
	Dsp__CommandResult *result;
	bool accepted;

	for (size_t i = 0; i < n_routes; i++) {
		prefixes[i] = "/path/to/" + std::to_string(i) + "/";
		dsp__route__init(&routes[i]);
		routes[i].name = &prefixes[i][0];
		routes[i].host = host;
		routes[i].path_prefix = &prefixes[i][0];
		routes[i].timeout_ms = i ? 1000 : timeout_ms;
		pointers[i] = &routes[i];
	}
	table.number = number;
	table.n_routes = n_routes;
	table.routes = pointers.data();
	change.table = &table;
	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
	command.route_table_put = &change;
	result = ctl_submit(instance.ctl, &command, WAIT_US, NULL);
	if (!result)
		return false;
	accepted = is_accepted(result);
	dsp__command_result__free_unpacked(result, NULL);
	return accepted;
}

/* Reads the number of the route table. Returns 0 if the instance cannot confirm
 * within timeout_us that its table is the newest. */
uint64_t get_table(Instance &instance, int64_t timeout_us)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTableGet query = DSP__ROUTE_TABLE_GET__INIT;
	Dsp__CommandResult *result;
	uint64_t number = 0;

	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_GET;
	command.route_table_get = &query;
	result = ctl_submit(instance.ctl, &command, timeout_us, NULL);
	if (!result)
		return 0;
	if (result->route_table)
		number = result->route_table->number;
	dsp__command_result__free_unpacked(result, NULL);
	return number;
}

} // namespace

/* Three empty voters form one group, a command commits whichever instance
 * submits it, and every instance installs the document. */
TEST_F(Control, ThreeVotersFormAGroupAndDistributeDocuments)
{
	uint64_t number = 0;

	create(3, 3);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	for (auto &submitter : all) {
		ASSERT_TRUE(put(*submitter, ++number));
		for (auto &instance : all)
			EXPECT_TRUE(wait_until([&] {
				return instance->number("verband") == number;
			})) << instance->id;
	}
}

/* Guards against an acknowledgement before all entries have the document: if
 * the leader failed at that point, the entries would get it only after an
 * election. */
TEST_F(Control, AcknowledgedDocumentsAreAtEveryInstance)
{
	create(3, 4, "south");
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[0], 1));
	ASSERT_TRUE(wait_until([&] {
		Instance *now = leader();

		return now && now->has_status("\"instance\":\"n6\",\"site\"");
	}));
	for (uint64_t number = 2; number <= 40; number++) {
		ASSERT_TRUE(put(*all[number % all.size()], number));
		for (auto &instance : all)
			EXPECT_EQ(instance->number("verband"), number)
				<< instance->id;
	}
}

/* The same for an endpoint that leaves: once its leaving is acknowledged,
 * entries must send it no more requests. */
TEST_F(Control, AcknowledgedLeavingIsKnownAtEveryInstance)
{
	auto put_endpoint = [](Instance &instance, const std::string &id,
			       Dsp__EndpointState state) {
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointPut change = DSP__ENDPOINT_PUT__INIT;
		Dsp__Endpoint endpoint = DSP__ENDPOINT__INIT;
		Dsp__CommandResult *result;
		bool accepted;

		endpoint.id = (char *)id.c_str();
		endpoint.incarnation = 5;
		endpoint.address = (char *)"127.0.0.1:1";
		endpoint.site = (char *)"north";
		endpoint.team = (char *)"verband";
		endpoint.service = (char *)"pressplan";
		endpoint.kind = DSP__ENDPOINT_KIND__ENDPOINT_SERVICE;
		endpoint.state = state;
		change.endpoint = &endpoint;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		command.endpoint_put = &change;
		result = ctl_submit(instance.ctl, &command, WAIT_US, NULL);
		accepted = result && is_accepted(result);
		if (result)
			dsp__command_result__free_unpacked(result, NULL);
		return accepted;
	};
	/* The endpoint sends no announcements, so the leader may also have
	 * marked it as down, a state above LEAVING. */
	auto state = [](Instance &instance, const std::string &id) {
		struct view *view = ctl_view(instance.ctl);
		const Dsp__Endpoint *e = view_endpoint(view, id.c_str());
		int state = e ? (int)e->state : -1;

		view_unref(view);
		return state;
	};

	create(3, 4, "south");
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(wait_until([&] {
		Instance *now = leader();

		return now && now->has_status("\"instance\":\"n6\",\"site\"");
	}));
	for (int i = 0; i < 20; i++) {
		std::string id = "r" + std::to_string(i);

		ASSERT_TRUE(put_endpoint(*all[i % all.size()], id,
					 DSP__ENDPOINT_STATE__ENDPOINT_UP));
		ASSERT_TRUE(
			put_endpoint(*all[i % all.size()], id,
				     DSP__ENDPOINT_STATE__ENDPOINT_LEAVING));
		for (auto &instance : all)
			EXPECT_GE(state(*instance, id),
				  DSP__ENDPOINT_STATE__ENDPOINT_LEAVING)
				<< instance->id << " " << id;
	}
}

/* Guards against acknowledgements that wait for an entry that has stopped. */
TEST_F(Control, LostEntryDoesNotHoldAcknowledgements)
{
	char *text;

	create(3, 2);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[3], 1));
	all[4]->stop();
	/* Longer than three report intervals, shorter than the node lease. */
	usleep(800000);
	ASSERT_TRUE(put(*all[3], 2));
	ASSERT_TRUE(wait_until([&] { return leader() != nullptr; }));
	text = met_to_prometheus(leader()->met);
	EXPECT_EQ(strstr(text, "dandelionspar_results_held_long"), nullptr)
		<< text;
	g_free(text);
}

/* Checks the metric that tells slow distribution of a route table from lost
 * contact with an entry. */
TEST_F(Control, LeaderMeasuresWhenTheLastEntryHasATable)
{
	create(3, 2);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put_table(*all[4], 7));
	EXPECT_TRUE(wait_until([&] {
		Instance *now = leader();
		char *text = met_to_prometheus(now ? now->met : all[0]->met);
		bool found =
			strstr(text,
			       "dandelionspar_table_spread_us_count{} 1\n") !=
			nullptr;

		g_free(text);
		return found;
	}));
}

/* When the leader stops, the other voters elect a new one, documents still
 * commit, and the stopped instance catches up after its restart. */
TEST_F(Control, LeaderStopsAndReturns)
{
	Instance *old;

	create(3, 2);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[4], 1));
	old = leader();
	ASSERT_NE(old, nullptr);
	old->stop();
	ASSERT_TRUE(put(*all[4], 2));
	EXPECT_NE(leader(), nullptr);
	old->start();
	EXPECT_TRUE(wait_until([&] { return all_serve(); }));
	for (auto &instance : all)
		EXPECT_TRUE(wait_until([&] {
			return instance->number("verband") == 2;
		})) << instance->id;
}

/* Section 5 of docs/design.md: a voter that restarts without a quorum serves
 * nothing, since its document may be outdated; with a quorum it serves. A
 * command that no leader accepts fails as not sent. */
TEST_F(Control, RestartWithoutQuorumServesNothing)
{
	GError *err = nullptr;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__Expire expire = DSP__EXPIRE__INIT;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[0], 1));
	for (auto &instance : all)
		instance->stop();
	all[0]->start();
	usleep(1500000);
	EXPECT_EQ(ctl_state(all[0]->ctl).readiness, CTL_STARTING);
	command.body_case = DSP__COMMAND__BODY_EXPIRE;
	command.expire = &expire;
	EXPECT_EQ(ctl_submit(all[0]->ctl, &command, 500000, &err), nullptr);
	EXPECT_TRUE(g_error_matches(err, CTL_ERROR, CTL_ERROR_NOT_SENT));
	g_clear_error(&err);
	all[1]->start();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	EXPECT_EQ(all[0]->number("verband"), 1u);
	EXPECT_EQ(all[1]->number("verband"), 1u);
}

/* Without a quorum an instance becomes isolated once the leader's last
 * confirmation is too old, and it serves again when the quorum is back. */
TEST_F(Control, LosesAndRegainsTheQuorum)
{
	create(3, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	all[1]->stop();
	all[2]->stop();
	for (size_t i : { 0, 3 })
		EXPECT_TRUE(wait_until([&] {
			return ctl_state(all[i]->ctl).readiness == CTL_ISOLATED;
		})) << all[i]->id;
	all[1]->start();
	EXPECT_TRUE(wait_until([&] { return all_serve(); }));
}

/*
 * Repair of a lost disk: the instance joins with a new replica identity, the
 * repair is finished only when no learner is left, and the group then survives
 * the loss of another instance.
 */
TEST_F(Control, LostDiskIsRepairedAndTheGroupSurvivesTheNextLoss)
{
	Instance *lost;
	Instance *other;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[0], 1));
	lost = leader() == all[2].get() ? all[1].get() : all[2].get();
	lost->stop();
	ASSERT_EQ(system(("rm -rf " + lost->folder).c_str()), 0);
	lost->start();
	ASSERT_TRUE(wait_until([&] {
		return lost->has_status("\"state\":\"voter\"") &&
		       (lost->has_status("\"role\":\"follower\"") ||
			lost->has_status("\"role\":\"leader\"")) &&
		       all[0]->has_status("\"repairs\":[]") &&
		       lost->has_status("\"repairs\":[]");
	}));
	other = all[0].get();
	other->stop();
	ASSERT_TRUE(put(*lost, 2));
	EXPECT_TRUE(wait_until([&] { return lost->number("verband") == 2; }));
}

/* Concurrent commands each get their own result, and no document number is
 * accepted twice. */
TEST_F(Control, RacingOperatorsGetOneWinner)
{
	std::vector<std::thread> threads;
	std::atomic<int> accepted{ 0 };

	create(3, 3);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	for (size_t i = 0; i < 6; i++)
		threads.emplace_back([&, i] {
			Dsp__Command command = DSP__COMMAND__INIT;
			Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
			std::string text = "# " + std::to_string(i) +
					   "\nnumber = 1\n" + DOCUMENT_TAIL;
			Dsp__CommandResult *result;

			put.team = (char *)"verband";
			put.number = 1;
			put.text = (char *)text.c_str();
			command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
			command.document_put = &put;
			result = ctl_submit(all[i]->ctl, &command, WAIT_US,
					    NULL);
			ASSERT_NE(result, nullptr);
			accepted += result->code == DSP__RESULT_CODE__RESULT_OK;
			dsp__command_result__free_unpacked(result, NULL);
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(accepted, 1);
}

/* An instance that stops is marked as down in the views after its lease has
 * expired; one that drains is marked as draining at once. */
TEST_F(Control, ViewsShowDrainingAndLostInstances)
{
	auto node_is = [&](const char *id, auto predicate) {
		struct view *view = ctl_view(all[0]->ctl);
		const Dsp__Node *node = view_node(view, id);
		bool matches = node && predicate(node);

		view_unref(view);
		return matches;
	};

	create(1, 2);
	start_all();
	ASSERT_TRUE(wait_until([&] {
		return all_serve() && node_is("n1", [](const Dsp__Node *node) {
			       return !node->down;
		       });
	}));
	ctl_drain(all[1]->ctl);
	EXPECT_TRUE(wait_until([&] {
		return node_is("n1", [](const Dsp__Node *node) {
			return (bool)node->draining;
		});
	}));
	all[1]->stop();
	EXPECT_TRUE(wait_until([&] {
		return node_is("n1", [](const Dsp__Node *node) {
			return (bool)node->down;
		});
	}));
	EXPECT_TRUE(node_is("n2", [](const Dsp__Node *node) {
		return !node->down && !node->draining;
	}));
}

/* When the relay of a site fails, the other instances of the site find another
 * upstream before they become isolated. */
TEST_F(Control, SiteOutlivesItsRelay)
{
	/* An upstream fails after 3 s without a confirmation. */
	isolated_after_ms = 6000;
	create(3, 3, "south");
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[4], 1));
	all[3]->stop();
	for (int i = 0; i < 350; i++) {
		EXPECT_TRUE(all_serve());
		usleep(20000);
	}
	ASSERT_TRUE(put(*all[5], 2));
	for (size_t i : { 4, 5 })
		EXPECT_TRUE(wait_until(
			[&] { return all[i]->number("verband") == 2; }));
}

/* Guards against an encoding of the same update for each instance that gets it:
 * the leader's work grew with instances times endpoints. */
TEST_F(Control, UpdatesAreEncodedOnceForAll)
{
	const char *packed = "dandelionspar_updates_packed";
	const uint64_t seconds = 4;
	Instance *at;
	uint64_t before;

	create(3, 12);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve() && leader(); }));
	usleep(2000000);
	at = leader();
	ASSERT_NE(at, nullptr);
	before = met_value(at->met, packed, "");
	usleep(seconds * 1000000);
	/* A round each 200 ms; twelve instances report here. */
	EXPECT_GE(met_value(at->met, packed, "") - before, seconds * 4);
	EXPECT_LE(met_value(at->met, packed, "") - before, seconds * 5 * 2);
}

/* Guards against a change of one timeout that is sent to each instance as the
 * whole table. */
TEST_F(Control, ChangeOfOneRouteIsSentAsAChange)
{
	const size_t entries = 8;
	const size_t routes = 3000;
	auto timeout_at = [&](Instance &instance) -> uint32_t {
		struct view *view = ctl_view(instance.ctl);
		const Dsp__RouteTable *table = view_route_table(view);
		uint32_t timeout_ms = table && table->n_routes == routes
					      ? table->routes[0]->timeout_ms
					      : 0;

		view_unref(view);
		return timeout_ms;
	};
	auto everywhere = [&](uint32_t timeout_ms) {
		for (auto &instance : all)
			if (timeout_at(*instance) != timeout_ms)
				return false;
		return true;
	};
	auto sent = [&] {
		/* The gauge is set in intervals. */
		usleep(2500000);
		return met_value(all[0]->met, "dandelionspar_net_sent_bytes",
				 "");
	};
	auto whole_tables = [&] {
		return met_value(all[0]->met, "dandelionspar_tables_whole",
				 "reason=\"not_had\"") +
		       met_value(all[0]->met, "dandelionspar_tables_whole",
				 "reason=\"changes_not_kept\"");
	};
	uint64_t whole;
	uint64_t whole_before;
	uint64_t change;
	uint64_t idle;
	uint64_t before;

	create(1, entries);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve() && leader(); }));
	ASSERT_TRUE(put_table(*all[0], 1, routes));
	ASSERT_TRUE(wait_until([&] { return everywhere(1000); }));
	whole = sent();
	before = sent();
	idle = before - whole;
	whole_before = whole_tables();
	EXPECT_GT(whole_before, 0u);
	ASSERT_TRUE(put_table(*all[0], 2, routes, 2000));
	EXPECT_TRUE(wait_until([&] { return everywhere(2000); }));
	change = sent() - before;
	EXPECT_EQ(whole_tables(), whole_before);
	/* Updates of this size are compressed, to about 6 bytes a route. */
	EXPECT_GT(whole, entries * routes * 4);
	/* Beside the traffic of some seconds without a change. */
	EXPECT_LT(change, 2 * idle + entries * 2000);
}

/* Guards against a change of one timeout that is written to each replica's log
 * as the whole table. */
TEST_F(Control, ChangeOfOneRouteIsASmallLogEntry)
{
	const char *log = "dandelionspar_log_bytes";
	const size_t routes = 3000;
	auto log_bytes = [&] {
		/* The gauge is set in intervals. */
		usleep(2500000);
		return met_value(all[0]->met, log, "");
	};
	uint64_t before;

	create(3, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve() && leader(); }));
	before = log_bytes();
	ASSERT_TRUE(put_table(*all[0], 1, routes));
	EXPECT_GT(log_bytes() - before, routes * 40);
	before = log_bytes();
	ASSERT_TRUE(put_table(*all[1], 2, routes, 2000));
	EXPECT_LT(log_bytes() - before, 5000u);
	EXPECT_EQ(get_table(*all[2], 2000000), 2u);
}

/* Sites with one voter and two entries each; the voters are connected through
 * proxies. */
class ControlSites : public Control
{
      protected:
	static constexpr size_t SITES = 3;
	struct Link {
		std::string from;
		std::string to;
		struct proxy *proxy;
	};
	std::vector<Link> links;

	void TearDown() override
	{
		all.clear();
		for (Link &link : links)
			proxy_stop(link.proxy);
		if (updates)
			proxy_stop(updates);
		Control::TearDown();
	}

	/* Views and grants reach this instance through a proxy; NULL: none. */
	std::string held_up = "";
	struct proxy *updates = nullptr;

	std::string advertise(const Instance &instance) override
	{
		int port;

		if (instance.id != held_up)
			return "";
		port = proc_free_port();
		updates = proxy_start(port, instance.port);
		return "internal_advertise = \"tcp://127.0.0.1:" +
		       std::to_string(port) + "\"\n";
	}

	/* Waits until the result of a put is known. Returns whether some entry
	 * that serves lacked the table when it was accepted. */
	bool is_accepted_too_early(Instance &instance, uint64_t number)
	{
		if (!put_table(instance, number))
			return false;
		for (size_t k = SITES; k < all.size(); k++)
			if (ctl_state(all[k]->ctl).readiness == CTL_SERVING &&
			    table_of(*all[k]) != number)
				return true;
		return false;
	}

	static uint64_t table_of(Instance &instance)
	{
		struct view *view = ctl_view(instance.ctl);
		const Dsp__RouteTable *table = view_route_table(view);
		uint64_t number = table ? table->number : 0;

		view_unref(view);
		return number;
	}

	std::string via(const Instance &from, const Instance &to) override
	{
		int port;

		if (from.folder.empty() || to.folder.empty() || &from == &to)
			return "";
		port = proc_free_port();
		links.push_back({ from.id, to.id, proxy_start(port, to.port) });
		return "via = \"tcp://127.0.0.1:" + std::to_string(port) +
		       "\"\n";
	}

	void start_sites()
	{
		for (size_t i = 0; i < 3 * SITES; i++) {
			auto instance = std::make_unique<Instance>();

			instance->id = "n" + std::to_string(i);
			instance->port = proc_free_port();
			instance->site = "site" + std::to_string(i % SITES);
			if (i < SITES)
				instance->folder = root + "/" + instance->id;
			all.push_back(std::move(instance));
		}
		for (auto &instance : all)
			configure(*instance);
		start_all();
		ASSERT_TRUE(wait_until([&] { return all_serve(); }));
		ASSERT_TRUE(put(*all[SITES], 1));
		ASSERT_TRUE(wait_until([&] { return all_have(1); }));
		ASSERT_TRUE(wait_until([&] { return leader_knows_all(); }));
		/* Until 3 s have passed, the first upstreams send updates,
		 * too. */
		usleep(3000000);
		ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	}

	bool all_have(uint64_t number)
	{
		for (auto &instance : all)
			if (instance->number("verband") != number)
				return false;
		return true;
	}

	bool leader_knows_all()
	{
		Instance *instance = leader();

		for (auto &other : all)
			if (!instance ||
			    !instance->has_status("\"instance\":\"" +
						  other->id + "\",\"site\""))
				return false;
		return true;
	}

	/* Cuts a voter off from the other voters, in both directions. */
	void cut_off(const Instance &voter, bool on)
	{
		for (Link &link : links)
			if (link.from == voter.id || link.to == voter.id) {
				proxy_drop(link.proxy, PROXY_TO_TARGET, on);
				proxy_drop(link.proxy, PROXY_TO_CLIENT, on);
			}
	}
};

/* Guards against entries that become isolated because the relay of their site
 * was the leader and is cut off from the other voters: they must change to
 * another upstream in time. */
TEST_F(ControlSites, EntriesFindTheNextLeaderWhenTheirRelayLedAndIsCutOff)
{
	Instance *old;
	Instance *other;

	/* An upstream fails after 3 s without a confirmation. */
	isolated_after_ms = 5000;
	start_sites();
	old = leader();
	ASSERT_NE(old, nullptr);
	other = all[old == all[0].get() ? 1 : 0].get();
	cut_off(*old, true);
	for (int i = 0; i < 400; i++) {
		for (size_t k = SITES; k < all.size(); k++)
			ASSERT_EQ(ctl_state(all[k]->ctl).readiness, CTL_SERVING)
				<< all[k]->id << " of " << all[k]->site
				<< ", cut off: " << old->site << ", after "
				<< i * 20 << " ms";
		usleep(20000);
	}
	ASSERT_TRUE(put(*other, 2));
	for (size_t k = SITES; k < all.size(); k++)
		EXPECT_TRUE(wait_until(
			[&] { return all[k]->number("verband") == 2; }));
}

/* Guards against a command that never gets a result: an instance that has sent
 * it to a lost leader and then becomes the leader must propose it itself. */
TEST_F(ControlSites, CommandSentToALostLeaderIsCommittedByTheNext)
{
	std::vector<std::thread> operators;
	std::atomic<int> accepted{ 0 };
	Instance *old;

	start_sites();
	old = leader();
	ASSERT_NE(old, nullptr);
	cut_off(*old, true);
	for (size_t i = 0; i < SITES; i++)
		if (all[i].get() != old)
			operators.emplace_back(
				[&, i] { accepted += put_table(*all[i], 9); });
	for (auto &thread : operators)
		thread.join();
	EXPECT_EQ(accepted, 2);
}

/* Guards against stale reads: a leader that is cut off answers a read with the
 * newest route table or not at all, also after its restart. */
TEST_F(ControlSites, ReadAtADeposedLeaderIsNotOlder)
{
	Instance *old;
	Instance *other;

	start_sites();
	ASSERT_TRUE(put_table(*all[SITES], 7));
	old = leader();
	ASSERT_NE(old, nullptr);
	other = all[old == all[0].get() ? 1 : 0].get();
	EXPECT_EQ(get_table(*old, WAIT_US), 7u);
	cut_off(*old, true);
	ASSERT_TRUE(put_table(*other, 9));
	for (int i = 0; i < 10; i++)
		EXPECT_NE(get_table(*old, 100000), 7u);
	old->stop();
	old->start();
	for (int i = 0; i < 10; i++)
		EXPECT_NE(get_table(*old, 100000), 7u);
	cut_off(*old, false);
	EXPECT_TRUE(wait_until([&] { return get_table(*old, 500000) == 9; }));
}

TEST_F(ControlSites, TableIsNotAcknowledgedWhileAnEntryInContactLacksIt)
{
	held_up = "n4";
	start_sites();
	proxy_drop(updates, PROXY_TO_TARGET, true);
	EXPECT_FALSE(is_accepted_too_early(*all[0], 7));
}

TEST_F(ControlSites, TableIsNotAcknowledgedByADeposedLeader)
{
	std::atomic<bool> early{ true };
	std::thread oper;
	Instance *old;

	held_up = "n4";
	start_sites();
	old = leader();
	ASSERT_NE(old, nullptr);
	proxy_drop(updates, PROXY_TO_TARGET, true);
	oper = std::thread([&] { early = is_accepted_too_early(*old, 7); });
	usleep(200000);
	cut_off(*old, true);
	usleep(3000000);
	cut_off(*old, false);
	oper.join();
	EXPECT_FALSE(early);
}

/* A restarted entry whose first view is lost on connections that have gone
 * silent must get it again, although changes follow each other. */
TEST_F(ControlSites, LostViewIsSentAgainWhileChangesGoOn)
{
	std::atomic<bool> done{ false };
	std::thread oper;
	Instance *entry;
	bool serves;

	held_up = "n4";
	start_sites();
	entry = all[4].get();
	proxy_silence_open(updates);
	entry->stop();
	oper = std::thread([&] {
		for (uint64_t number = 2; !done; number++) {
			put_table(*all[0], number);
			usleep(100000);
		}
	});
	entry->start();
	/* Connections are replaced after 1.5 s, and what was lost on them is
	 * sent again 0.5 s later. */
	for (int i = 0; i < 300; i++) {
		serves = ctl_state(entry->ctl).readiness == CTL_SERVING;
		if (serves)
			break;
		usleep(20000);
	}
	done = true;
	oper.join();
	EXPECT_TRUE(serves) << "not within 6 s";
}

/* Control instances that find each other through three seeds. One more than the
 * group wants voters is a learner. */
class ControlSeeds : public Control
{
      protected:
	static constexpr size_t SEEDS = 3;
	size_t voters = 0;
	size_t n_removed = 0; /* stopped instances that left the group */

	/* Starts the control instances of a group that bears the loss of this
	 * many disks at once, each on an address of its own. */
	void start_seeded(size_t losses, size_t learners = 1)
	{
		size_t n = 2 * losses + 1 + learners;
		int port = proc_free_port();
		std::string seeds;

		voters = 2 * losses + 1;
		for (size_t i = 0; i < SEEDS; i++)
			seeds += (i ? ", \"" : "\"") + ip(i) + ":1\"";
		for (size_t i = 0; i < n; i++) {
			auto instance = std::make_unique<Instance>();

			instance->id = "n" + std::to_string(i);
			instance->port = port;
			instance->folder = root + "/" + instance->id;
			all.push_back(std::move(instance));
			parse(*all[i],
			      "id = \"" + all[i]->id +
				      "\"\nsite = \"north\"\nregion = \"r\"\n"
				      "control = true\nbootstrap = true\n"
				      "losses = " +
				      std::to_string(losses) +
				      "\ndata_folder = \"" + all[i]->folder +
				      "\"\ninternal_listen = \"tcp://" + ip(i) +
				      ":" + std::to_string(port) +
				      "\"\nhttp_listen = \"" + ip(i) +
				      ":1\"\nseeds = [" + seeds +
				      "]\n[timing]\nelection_timeout_ms = 300\n"
				      "heartbeat_ms = 50\n"
				      "report_interval_ms = 200\n"
				      "node_lease_ms = 2000\n"
				      "isolated_after_ms = 2000\n");
		}
		start_all();
		ASSERT_TRUE(wait_until([&] { return all_serve(); }));
		ASSERT_TRUE(wait_until([&] { return is_complete(); }));
	}

	static std::string ip(size_t i)
	{
		return "127.0.0." + std::to_string(i + 1);
	}

	bool is_in_state(const Instance &instance, const char *state)
	{
		Instance *at = leader();

		return at &&
		       at->has_status("\"instance\":\"" + instance.id +
				      "\",\"site\":\"north\",\"state\":\"" +
				      state + "\"");
	}

	size_t count_members(const char *state)
	{
		size_t n = 0;

		for (auto &instance : all)
			n += is_in_state(*instance, state);
		return n;
	}

	/* Returns the status of the leader, or "". */
	std::string leader_status()
	{
		Instance *at = leader();
		std::string text;
		char *json;

		if (!at)
			return "";
		json = ctl_status_json(at->ctl);
		text = json;
		g_free(json);
		return text;
	}

	static size_t count(const std::string &text, const std::string &part)
	{
		size_t n = 0;

		for (size_t at = text.find(part); at != std::string::npos;
		     at = text.find(part, at + 1))
			n++;
		return n;
	}

	/* True when every running instance is a member of the group with the
	 * disk that it has now, and the group has all of its voters. */
	bool is_complete()
	{
		const std::string state = "\"site\":\"north\",\"state\":";
		std::vector<std::string> rows;
		std::string status;

		for (auto &instance : all)
			if (instance->ctl)
				rows.push_back("{\"replica\":\"" +
					       replica_of(*instance) + "\"");
		status = leader_status();
		for (const std::string &row : rows)
			if (!count(status, row))
				return false;
		return !count(status, "replaces the old replica") &&
		       count(status, state + "\"voter\"") == voters &&
		       count(status, state + "\"learner\"") ==
			       all.size() - voters - n_removed;
	}

	/* True when the instance is a member with the disk that it has now, and
	 * no member with a disk of before is left. */
	bool has_replaced(Instance &instance)
	{
		std::string row =
			"{\"replica\":\"" + replica_of(instance) + "\"";
		std::string status = leader_status();

		return count(status, row) &&
		       !count(status, "replaces the old replica");
	}

	/* Returns a voter that does not lead, or NULL. */
	Instance *follower()
	{
		for (auto &instance : all)
			if (instance.get() != leader() &&
			    is_in_state(*instance, "voter"))
				return instance.get();
		return nullptr;
	}

	/* Replaces the disks of all running instances, one after the other, so
	 * that no replica of before is left among them. */
	void replace_disks()
	{
		for (auto &instance : all) {
			if (!instance->ctl)
				continue;
			instance->stop();
			lose_disk(*instance);
			instance->start();
			ASSERT_TRUE(wait_until([&] { return is_complete(); }))
				<< "no repair after the loss of the disk of "
				<< instance->id;
		}
	}

	/* Returns the identity of the instance's replica, or "none" until it
	 * has started: the members that it knows of have identities too. */
	static std::string replica_of(Instance &instance)
	{
		char *json = ctl_status_json(instance.ctl);
		std::string text = json;
		size_t end = text.rfind("\",\"group\":\"");

		g_free(json);
		if (end == std::string::npos)
			return "none";
		return text.substr(text.rfind('"', end - 1) + 1,
				   end - text.rfind('"', end - 1) - 1);
	}

	/* True when the leader knows that the instance has its whole log. */
	bool catches_up(Instance &instance)
	{
		Instance *at = leader();
		uint64_t last = at ? match_of(*at, *at) : 0;

		return last && match_of(*at, instance) >= last;
	}

	/* Returns the last index of an instance's log that the leader knows, or
	 * 0. */
	static uint64_t match_of(Instance &at, Instance &instance)
	{
		const std::string key = "\"match\":";
		char *json = ctl_status_json(at.ctl);
		std::string text = json;
		size_t row = text.find("{\"replica\":\"" +
				       replica_of(instance) + "\"");
		size_t field = text.find(key, row);

		g_free(json);
		if (row == std::string::npos || field == std::string::npos ||
		    field > text.find('}', row))
			return 0;
		return strtoull(text.c_str() + field + key.size(), NULL, 10);
	}

	void lose_disk(const Instance &instance)
	{
		std::string command = "rm -rf " + instance.folder;

		ASSERT_EQ(system(command.c_str()), 0);
	}

	/* Stops a voter until the learner has taken its place, and starts it
	 * again with the disk that it had. */
	void replace_and_return(Instance &voter)
	{
		voter.stop();
		ASSERT_TRUE(wait_until([&] {
			return !is_in_state(voter, "voter") &&
			       count_members("voter") == voters;
		})) << voter.id
		    << " was not replaced";
		voter.start();
	}
};

/*
 * Guards against a group that replacements use up: a voter that was replaced
 * while it was away returns with its old disk and is taken back without an
 * operator, so that it can take the place of the next voter that is lost.
 */
TEST_F(ControlSeeds, ReplacedVoterThatReturnsIsTakenBack)
{
	start_seeded(1);
	for (size_t i = 0; i < voters; i++) {
		ASSERT_TRUE(put_table(*all[i], i + 1));
		replace_and_return(*all[i]);
		ASSERT_TRUE(wait_until([&] { return is_complete(); }))
			<< all[i]->id << " was not taken back";
	}
	EXPECT_TRUE(put_table(*all[0], 9));
	for (auto &instance : all)
		EXPECT_EQ(get_table(*instance, WAIT_US), 9u);
}

/* Guards against a replica that catches up no more after all others were
 * replaced while it was away: it has no member's address for the leader. */
TEST_F(ControlSeeds, ReplicaOfAnOldMembershipCatchesUp)
{
	Instance *away;

	start_seeded(1);
	ASSERT_TRUE(put_table(*all[0], 1));
	ASSERT_NE(away = follower(), nullptr);
	away->stop();
	ASSERT_TRUE(wait_until([&] {
		return !is_in_state(*away, "voter") &&
		       count_members("voter") == voters;
	})) << away->id
	    << " was not replaced";
	n_removed = 1;
	replace_disks();
	ASSERT_FALSE(HasFatalFailure());
	n_removed = 0;
	away->start();
	EXPECT_TRUE(wait_until([&] { return is_in_state(*away, "learner"); }));
	EXPECT_TRUE(wait_until([&] {
		return away->has_status("\"role\":\"learner\"") &&
		       catches_up(*away);
	})) << away->id
	    << " does not catch up";
}

/* Guards against a group without a leader: a voter must be able to vote for a
 * candidate that joined while it was away. */
TEST_F(ControlSeeds, VoterOfAnOldMembershipVotesForAReplicaThatJoinedLater)
{
	std::vector<Instance *> started;
	Instance *away;

	start_seeded(2, 0);
	ASSERT_TRUE(put_table(*all[0], 1));
	ASSERT_NE(away = follower(), nullptr);
	away->stop();
	replace_disks();
	ASSERT_FALSE(HasFatalFailure());
	ASSERT_TRUE(is_in_state(*away, "voter"));
	for (auto &instance : all) {
		instance->stop();
		if (instance.get() != away && started.size() < 2)
			started.push_back(instance.get());
	}
	away->start();
	for (Instance *instance : started)
		instance->start();
	EXPECT_TRUE(wait_until([&] { return leader() != nullptr; }))
		<< "no leader with three of five voters";
	EXPECT_TRUE(put_table(*started[0], 2));
}

/*
 * Voters are away for a while, disks are lost and leaders restart meanwhile, in
 * series and overlapping, two losses at a time at most. The group takes changes
 * all the time, and is complete again at the end. Other runs: CONTROL_SEED.
 */
TEST_F(ControlSeeds, ChangesAreTakenWhileMembersComeAndGo)
{
	const char *seed = getenv("CONTROL_SEED");
	std::mt19937 random(seed ? (unsigned)atoi(seed) : 1);
	uint64_t table = 0;

	start_seeded(2);
	for (int round = 0; round < 4; round++) {
		size_t first = random() % all.size();
		Instance &away = *all[first];
		size_t n_lost = 1 + random() % 3;

		away.stop();
		for (size_t i = 1; i <= n_lost; i++) {
			Instance &lost = *all[(first + i) % all.size()];

			usleep((useconds_t)(random() % 2500) * 1000);
			lost.stop();
			if (random() % 3)
				lose_disk(lost);
			lost.start();
			ASSERT_TRUE(put_table(lost, ++table))
				<< "round " << round << ", " << i << " lost";
			if (random() % 2) {
				Instance *at = leader();

				if (at) {
					at->stop();
					at->start();
				}
			}
			ASSERT_TRUE(wait_until([&] {
				return has_replaced(lost);
			})) << lost.id
			    << ", round " << round;
		}
		away.start();
		ASSERT_TRUE(put_table(away, ++table));
		ASSERT_TRUE(wait_until([&] { return is_complete(); }))
			<< "round " << round;
	}
	for (auto &instance : all)
		EXPECT_EQ(get_table(*instance, WAIT_US), table) << instance->id;
}

/*
 * Guards against faults that come one after the other while two voters of five
 * are away: CONTACT_US later a third voter loses its disk and the rest lose
 * power. The learner must have taken a voter's place by then, or there is no
 * majority until the two return. After two such rounds, all lose power and as
 * many disks are lost as the group bears.
 */
TEST_F(ControlSeeds, OutlastsALostDiskWhileTwoVotersAreAway)
{
	/* The shortest time that the platform leaves between two faults. */
	const useconds_t CONTACT_US = 3000000;
	uint64_t table = 0;

	start_seeded(2);
	for (int round = 0; round < 2; round++) {
		std::vector<Instance *> away;
		std::vector<Instance *> others;

		for (auto &instance : all)
			if (away.size() < 2 && leader() != instance.get() &&
			    is_in_state(*instance, "voter"))
				away.push_back(instance.get());
			else
				others.push_back(instance.get());
		/* The learner is among the others; the last voter of them loses
		 * its disk. */
		if (is_in_state(*others.back(), "learner"))
			std::swap(others[0], others.back());
		for (Instance *instance : away)
			instance->stop();
		usleep(CONTACT_US);
		ASSERT_TRUE(put_table(*others[0], ++table));
		for (Instance *instance : others)
			instance->stop();
		lose_disk(*others.back());
		for (Instance *instance : others)
			instance->start();
		EXPECT_TRUE(wait_until([&] { return leader() != nullptr; }))
			<< "no leader in round " << round;
		EXPECT_TRUE(put_table(*others[0], ++table));
		for (Instance *instance : away)
			instance->start();
		ASSERT_TRUE(wait_until([&] { return is_complete(); }));
	}
	for (auto &instance : all)
		instance->stop();
	lose_disk(*all[0]);
	lose_disk(*all[1]);
	start_all();
	for (auto &instance : all)
		EXPECT_TRUE(wait_until([&] {
			return get_table(*instance, 500000) == table;
		})) << instance->id;
}

/* Guards against a replica that hears no leader, led last itself, and sends its
 * request to be taken back to itself without end. */
TEST_F(Control, FormerLeaderAloneSendsLittle)
{
	auto sent = [](Instance &instance) {
		return met_value(instance.met, "dandelionspar_net_sent_bytes",
				 "");
	};
	Instance *alone;
	uint64_t before;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_NE(alone = leader(), nullptr);
	for (auto &instance : all)
		if (instance.get() != alone)
			instance->stop();
	ASSERT_TRUE(wait_until([&] {
		return met_value(alone->met, "dandelionspar_rejoins", "") > 0;
	}));
	usleep(1500000);
	before = sent(*alone);
	EXPECT_GT(before, 0u);
	usleep(3000000);
	EXPECT_LT(sent(*alone) - before, 100000u);
}

/*
 * Bounded log and snapshot transfer: when more has been logged than is kept, a
 * replica that lost its disk joins from a snapshot, and restarted replicas load
 * theirs.
 */
TEST_F(Control, SnapshotReplacesALongLog)
{
	constexpr uint64_t DOCUMENTS = 100;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	for (uint64_t i = 1; i <= DOCUMENTS; i++)
		ASSERT_TRUE(put(*all[0], i, i == 1 ? 2000000 : 250000));
	all[2]->stop();
	ASSERT_EQ(system(("rm -rf " + all[2]->folder).c_str()), 0);
	all[2]->start();
	ASSERT_TRUE(wait_until([&] {
		return all[2]->has_status("\"repairs\":[]") &&
		       all[2]->has_status("\"role\":\"follower\"") &&
		       all[2]->number("verband") == DOCUMENTS;
	}));
	for (auto &instance : all)
		instance->stop();
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	for (auto &instance : all)
		EXPECT_EQ(instance->number("verband"), DOCUMENTS);
	EXPECT_TRUE(put(*all[2], DOCUMENTS + 1));
}

/* Simulates a full disk: while the object exists, writes of this process to
 * regular files fail. */
class FullDisk
{
      public:
	FullDisk()
	{
		struct rlimit none;

		signal(SIGXFSZ, SIG_IGN);
		fflush(stdout);
		EXPECT_EQ(getrlimit(RLIMIT_FSIZE, &before), 0);
		none = before;
		none.rlim_cur = 0;
		EXPECT_EQ(setrlimit(RLIMIT_FSIZE, &none), 0);
	}

	~FullDisk()
	{
		EXPECT_EQ(setrlimit(RLIMIT_FSIZE, &before), 0);
	}

      private:
	struct rlimit before;
};

/* Submits a command without a lasting effect. */
Dsp__CommandResult *submit_expire(struct ctl *ctl, int64_t timeout_us)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__Expire expire = DSP__EXPIRE__INIT;

	command.body_case = DSP__COMMAND__BODY_EXPIRE;
	command.expire = &expire;
	return ctl_submit(ctl, &command, timeout_us, NULL);
}

/*
 * When its disk fails, a replica acknowledges nothing more, the entry role of
 * the instance continues as isolated, and a restart with a working disk brings
 * back every acknowledged document.
 */
TEST_F(Control, DiskFailureEndsTheReplicaOnly)
{
	Dsp__CommandResult *result;
	bool isolated, told;
	uint64_t number;

	create(1, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[1], 1));
	{
		FullDisk full;

		result = submit_expire(all[1]->ctl, 1000000);
		isolated = wait_until([&] {
			return ctl_state(all[0]->ctl).readiness == CTL_ISOLATED;
		});
		told = all[0]->has_status("\"role\":\"disk_failed\"");
		number = all[0]->number("verband");
	}
	EXPECT_EQ(result, nullptr);
	EXPECT_TRUE(isolated);
	EXPECT_TRUE(told);
	EXPECT_EQ(number, 1u);
	all[0]->stop();
	all[0]->start();
	EXPECT_TRUE(wait_until([&] { return all_serve(); }));
	EXPECT_EQ(all[0]->number("verband"), 1u);
	EXPECT_TRUE(put(*all[1], 2));
}

/*
 * Guards against a replica that stays out of the group after its disk was full
 * for some time: it must take part again without a restart. Otherwise the later
 * loss of another disk, such as a wiped one, costs the group its quorum.
 */
TEST_F(Control, ReplicaReturnsOnceTheDiskHasRoom)
{
	bool told;

	create(1, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[1], 1));
	{
		FullDisk full;

		EXPECT_EQ(submit_expire(all[1]->ctl, 1000000), nullptr);
		told = all[0]->has_status("\"role\":\"disk_failed\"");
	}
	EXPECT_TRUE(told);
	EXPECT_TRUE(wait_until([&] { return all_serve(); }));
	EXPECT_EQ(all[0]->number("verband"), 1u);
	EXPECT_TRUE(put(*all[1], 2));
	EXPECT_TRUE(
		wait_until([&] { return all[0]->number("verband") == 2u; }));
}

/* Announces an engine with the feature "sequenced". from_orders marks what the
 * leader derives from its orders; it carries no load report. */
void announce_engine(struct ctl *ctl, uint64_t sequence, uint32_t max_batch,
		     std::vector<std::string> models, bool from_orders)
{
	Dsp__Announcement a = DSP__ANNOUNCEMENT__INIT;
	Dsp__Endpoint e = DSP__ENDPOINT__INIT;
	Dsp__Features features = DSP__FEATURES__INIT;
	Dsp__LoadReport load = DSP__LOAD_REPORT__INIT;
	std::vector<Dsp__Copy> copies(models.size());
	std::vector<Dsp__Copy *> list;

	e.id = (char *)"engine";
	e.incarnation = 7;
	e.address = (char *)"127.0.0.1:1";
	e.site = (char *)"north";
	e.team = (char *)"verband";
	e.service = (char *)"kellerrat";
	e.max_batch = max_batch;
	features.sequenced = true;
	e.features = &features;
	for (size_t i = 0; i < models.size(); i++) {
		dsp__copy__init(&copies[i]);
		copies[i].model = models[i].data();
		copies[i].version = (char *)"1";
		copies[i].ready = true;
		list.push_back(&copies[i]);
	}
	e.copies = list.data();
	e.n_copies = list.size();
	load.endpoint = e.id;
	load.incarnation = 7;
	load.sequence = sequence;
	a.endpoint = &e;
	a.from_orders = from_orders;
	if (!from_orders)
		a.load = &load;
	ctl_announce(ctl, &a);
}

/* Returns the engine in the instance's view as "MAX_BATCH MODEL...", or
 * "none". */
std::string engine_in_view(struct ctl *ctl)
{
	struct view *view = ctl_view(ctl);
	const Dsp__Endpoint *e = view_endpoint(view, "engine");
	std::string out = e ? std::to_string(e->max_batch) : "none";

	for (size_t i = 0; e && i < e->n_copies; i++)
		out += std::string(" ") + e->copies[i]->model;
	view_unref(view);
	return out;
}

/*
 * Guards against requests for a model that an engine is unloading. The engine's
 * own announcements list the model until its last request has ended, but it
 * refuses new ones; entries must follow the orders instead.
 */
TEST_F(Control, OrdersTellWhatAnEngineHolds)
{
	create(1, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	announce_engine(all[0]->ctl, 1, 8, { "m1", "m2" }, false);
	ASSERT_TRUE(wait_until(
		[&] { return engine_in_view(all[1]->ctl) == "8 m1 m2"; }));
	announce_engine(all[0]->ctl, 0, 8, { "m1" }, true);
	EXPECT_TRUE(wait_until(
		[&] { return engine_in_view(all[1]->ctl) == "8 m1"; }));
	announce_engine(all[0]->ctl, 2, 9, { "m1", "m2" }, false);
	EXPECT_TRUE(wait_until([&] {
		return engine_in_view(all[1]->ctl).substr(0, 1) == "9";
	}));
	EXPECT_EQ(engine_in_view(all[1]->ctl), "9 m1");
}

/* Guards against a key, or its digest, in the status. */
TEST_F(Control, StatusListsCustomersWithoutKeys)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__RouteTablePut change = DSP__ROUTE_TABLE_PUT__INIT;
	Dsp__RouteTable table = DSP__ROUTE_TABLE__INIT;
	Dsp__Customers customers = DSP__CUSTOMERS__INIT;
	Dsp__Customer one = DSP__CUSTOMER__INIT;
	Dsp__Customer *list[] = { &one };
	char name[] = "one";
	uint8_t digest[] = "digest-of-a-key";
	ProtobufCBinaryData digests[] = { { sizeof(digest), digest } };
	Dsp__CommandResult *result;

	create(1, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	EXPECT_FALSE(all[0]->has_status("\"customers\""));
	one.name = name;
	one.key_digests = digests;
	one.n_key_digests = 1;
	one.rate = 2.5;
	customers.all = list;
	customers.n_all = 1;
	table.number = 1;
	table.customers = &customers;
	change.table = &table;
	command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
	command.route_table_put = &change;
	result = ctl_submit(all[0]->ctl, &command, WAIT_US, NULL);
	ASSERT_NE(result, nullptr);
	dsp__command_result__free_unpacked(result, NULL);
	EXPECT_TRUE(wait_until([&] {
		return all[0]->has_status(
			"\"customers\":[{\"customer\":\"one\","
			"\"keys\":1,\"rate\":2.5");
	}));
	EXPECT_FALSE(all[0]->has_status("digest-of"));
}

/* An operator can remove a replica that will not return, through any
 * instance. */
TEST_F(Control, LostReplicaIsRemovedOnRequest)
{
	const std::string key = "\"replica\":\"";
	GError *err = nullptr;
	uint64_t replica;
	char *json;
	size_t at;

	create(3, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	json = ctl_status_json(all[2]->ctl);
	at = std::string(json).rfind(key);
	ASSERT_NE(at, std::string::npos);
	replica = strtoull(json + at + key.size(), NULL, 10);
	g_free(json);
	all[2]->stop();
	for (size_t i : { 0, 1, 3 }) {
		EXPECT_FALSE(
			ctl_replace_replica(all[i]->ctl, replica + 1, &err));
		EXPECT_STREQ(err ? err->message : "",
			     "no replica of the group has this identity");
		g_clear_error(&err);
	}
	ASSERT_TRUE(ctl_replace_replica(all[3]->ctl, replica, &err))
		<< (err ? err->message : "");
	EXPECT_FALSE(all[0]->has_status(key + std::to_string(replica)));
	EXPECT_TRUE(put(*all[3], 1));
}

namespace
{

/* A fake engine that records the orders it gets and answers them according to
 * its mode. */
class Engine
{
      public:
	enum Mode { ACCEPT, CLOSE_WITHOUT_ANSWER };

	Engine() : port_(proc_free_port())
	{
		struct sockaddr_in address = {};
		int one = 1;

		address.sin_family = AF_INET;
		address.sin_port = htons((uint16_t)port_);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		EXPECT_EQ(
			bind(fd_, (struct sockaddr *)&address, sizeof(address)),
			0);
		listen(fd_, 16);
		thread_ = std::thread([this] { serve(); });
	}
	~Engine()
	{
		stop_ = true;
		shutdown(fd_, SHUT_RDWR);
		thread_.join();
		close(fd_);
	}

	std::atomic<Mode> mode{ ACCEPT };

	std::vector<std::string> bodies()
	{
		std::lock_guard<std::mutex> guard(lock_);

		return bodies_;
	}

	/* Announces the engine through an instance, with the copy that the last
	 * accepted order has loaded. */
	void announce(struct ctl *ctl)
	{
		Dsp__Announcement a = DSP__ANNOUNCEMENT__INIT;
		Dsp__Endpoint e = DSP__ENDPOINT__INIT;
		Dsp__LoadReport load = DSP__LOAD_REPORT__INIT;
		Dsp__Copy copy = DSP__COPY__INIT;
		Dsp__Copy *copies[] = { &copy };
		std::string address =
			"http://127.0.0.1:" + std::to_string(port_);

		e.id = (char *)"engine";
		e.incarnation = 7;
		e.address = (char *)address.c_str();
		e.site = (char *)"north";
		e.team = (char *)"verband";
		e.service = (char *)"kellerrat";
		e.accelerators = 1;
		e.accelerator_memory_mb = 1500;
		e.max_batch = 8;
		load.endpoint = e.id;
		load.incarnation = 7;
		load.sequence = ++sequence_;
		a.endpoint = &e;
		a.load = &load;
		if (loaded_) {
			copy.model = (char *)"m1";
			copy.version = (char *)"1";
			copy.accelerators = 1;
			copy.memory_mb = 1000;
			copy.ready = true;
			copy.order = loaded_;
			e.copies = copies;
			e.n_copies = 1;
		}
		ctl_announce(ctl, &a);
	}

      private:
	static uint64_t number_of(const std::string &body, const char *key)
	{
		std::string pattern = "\"" + std::string(key) + "\":";
		size_t at = body.find(pattern);

		return at == std::string::npos
			       ? 0
			       : strtoull(body.c_str() + at + pattern.size(),
					  NULL, 10);
	}

	static std::string read_request(int fd)
	{
		std::string text;
		char buffer[4096];
		size_t head, len = 0;

		for (;;) {
			ssize_t n = read(fd, buffer, sizeof(buffer));

			if (n <= 0)
				return "";
			text.append(buffer, (size_t)n);
			head = text.find("\r\n\r\n");
			if (head == std::string::npos)
				continue;
			len = text.find("Content-Length: ");
			len = strtoul(text.c_str() + len + 16, NULL, 10);
			if (text.size() >= head + 4 + len)
				return text.substr(head + 4);
		}
	}

	void serve()
	{
		static const char answer[] =
			"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n"
			"Connection: close\r\n\r\n{}";

		while (!stop_) {
			int fd = accept(fd_, NULL, NULL);
			std::string body;

			if (fd < 0)
				return;
			body = read_request(fd);
			{
				std::lock_guard<std::mutex> guard(lock_);

				bodies_.push_back(body);
			}
			if (mode == ACCEPT) {
				loaded_ = number_of(body, "order");
				EXPECT_EQ(loaded_, number_of(body, "fence"));
				EXPECT_EQ(number_of(body, "incarnation"), 7u);
				EXPECT_EQ(write(fd, answer, sizeof(answer) - 1),
					  (ssize_t)sizeof(answer) - 1);
			}
			close(fd);
		}
	}

	int port_;
	int fd_;
	std::thread thread_;
	std::mutex lock_;
	std::vector<std::string> bodies_;
	std::atomic<bool> stop_{ false };
	std::atomic<uint64_t> loaded_{ 0 };
	uint64_t sequence_ = 0;
};

} // namespace

/*
 * The leader commits an order and sends it, resends it unchanged while it is
 * unanswered, and completes it when the engine reports the copy. The engine has
 * memory for one copy, so a second load order would overcommit it.
 */
TEST_F(Control, OrderIsSentAgainUntilTheEngineReportsIt)
{
	Engine engine;
	std::vector<std::string> bodies;
	auto announced = [&](auto done) {
		return wait_until([&] {
			engine.announce(all[3]->ctl);
			return done();
		});
	};

	engine.mode = Engine::CLOSE_WITHOUT_ANSWER;
	create(3, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[0], 1));
	ASSERT_TRUE(announced([&] { return engine.bodies().size() >= 2; }));
	engine.mode = Engine::ACCEPT;
	ASSERT_TRUE(announced([&] {
		return all[3]->has_status("\"ready\":1") &&
		       all[0]->has_status("\"orders\":[]");
	}));
	bodies = engine.bodies();
	for (const std::string &body : bodies)
		EXPECT_EQ(body, bodies[0]);
}

/* When the leader changes between the commit of an order and its answer, the
 * next leader sends the same order, not a second one. */
TEST_F(Control, NextLeaderCompletesAnUnansweredOrder)
{
	Engine engine;
	std::vector<std::string> bodies;
	Instance *old;
	auto announced = [&](auto done) {
		return wait_until([&] {
			engine.announce(all[3]->ctl);
			return done();
		});
	};

	engine.mode = Engine::CLOSE_WITHOUT_ANSWER;
	create(3, 1);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_TRUE(put(*all[0], 1));
	ASSERT_TRUE(announced([&] { return !engine.bodies().empty(); }));
	old = leader();
	ASSERT_NE(old, nullptr);
	old->stop();
	engine.mode = Engine::ACCEPT;
	ASSERT_TRUE(
		announced([&] { return all[3]->has_status("\"ready\":1"); }));
	bodies = engine.bodies();
	EXPECT_GE(bodies.size(), 2u);
	for (const std::string &body : bodies)
		EXPECT_EQ(body, bodies[0]);
}
