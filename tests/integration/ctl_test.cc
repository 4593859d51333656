#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "node/ctl.h"
}

/* Several control threads in this process, connected over loopback. */

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

int free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&address, sizeof(address));
	getsockname(fd, (struct sockaddr *)&address, &len);
	close(fd);
	return ntohs(address.sin_port);
}

struct Instance {
	std::string id;
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

	/* Instances n0.. of one site; the first `voters` have the control
	 * role. */
	void create(size_t voters, size_t entries)
	{
		for (size_t i = 0; i < voters + entries; i++) {
			auto instance = std::make_unique<Instance>();

			instance->id = "n" + std::to_string(i);
			instance->port = free_port();
			if (i < voters)
				instance->folder = root + "/" + instance->id;
			all.push_back(std::move(instance));
		}
		for (auto &instance : all)
			configure(*instance);
	}

	void configure(Instance &instance)
	{
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		std::string address =
			"127.0.0.1:" + std::to_string(instance.port);
		std::string text = "id = \"" + instance.id +
				   "\"\nsite = \"north\"\nregion = \"r\"\n"
				   "internal_listen = \"tcp://" +
				   address +
				   "\"\nhttp_listen = \"127.0.0.1:1\"\n";

		if (!instance.folder.empty())
			text += "control = true\ndata_folder = \"" +
				instance.folder + "\"\n";
		text += "[timing]\nelection_timeout_ms = 300\n"
			"heartbeat_ms = 50\nreport_interval_ms = 200\n"
			"node_lease_ms = 2000\nendpoint_lease_ms = 1500\n"
			"isolated_after_ms = 2000\n";
		for (auto &peer : all)
			if (!peer->folder.empty())
				text += "[[peer]]\nid = \"" + peer->id +
					"\"\naddress = \"tcp://127.0.0.1:" +
					std::to_string(peer->port) +
					"\"\nsite = \"north\"\n";
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
				 GError **err)
{
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__DocumentPut put = DSP__DOCUMENT_PUT__INIT;
	std::string text =
		"number = " + std::to_string(number) + "\n" + DOCUMENT_TAIL;

	put.team = (char *)"verband";
	put.number = number;
	put.text = (char *)text.c_str();
	command.body_case = DSP__COMMAND__BODY_DOCUMENT_PUT;
	command.document_put = &put;
	return ctl_submit(instance.ctl, &command, WAIT_US, err);
}

Dsp__ResultCode put_code(Instance &instance, uint64_t number)
{
	GError *err = nullptr;
	Dsp__CommandResult *result = put_document(instance, number, &err);
	Dsp__ResultCode code;

	EXPECT_NE(result, nullptr) << (err ? err->message : "");
	g_clear_error(&err);
	if (!result)
		return DSP__RESULT_CODE__RESULT_UNAVAILABLE;
	code = result->code;
	EXPECT_EQ(code, DSP__RESULT_CODE__RESULT_OK) << result->message;
	dsp__command_result__free_unpacked(result, NULL);
	return code;
}

} // namespace

/* Guards the whole path: three empty voters form one group, a command that any
 * instance submits commits, and every instance installs the document. */
TEST_F(Control, ThreeVotersFormAGroupAndDistributeDocuments)
{
	uint64_t number = 0;

	create(3, 3);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	for (auto &submitter : all) {
		ASSERT_EQ(put_code(*submitter, ++number),
			  DSP__RESULT_CODE__RESULT_OK);
		for (auto &instance : all)
			EXPECT_TRUE(wait_until([&] {
				return instance->number("verband") == number;
			})) << instance->id;
	}
}

/* Guards a change of the leader: the others elect one, documents commit on,
 * and the instance that stopped catches up after its restart. */
TEST_F(Control, LeaderStopsAndReturns)
{
	Instance *old;

	create(3, 2);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_EQ(put_code(*all[4], 1), DSP__RESULT_CODE__RESULT_OK);
	old = leader();
	ASSERT_NE(old, nullptr);
	old->stop();
	ASSERT_EQ(put_code(*all[4], 2), DSP__RESULT_CODE__RESULT_OK);
	EXPECT_NE(leader(), nullptr);
	old->start();
	EXPECT_TRUE(wait_until([&] { return all_serve(); }));
	for (auto &instance : all)
		EXPECT_TRUE(wait_until([&] {
			return instance->number("verband") == 2;
		})) << instance->id;
}

/* Guards section 5 of the design page: an instance that was restarted alone
 * serves nothing, since it may hold an outdated document; with a quorum it
 * serves. A command that no leader takes is reported as not sent. */
TEST_F(Control, RestartWithoutQuorumServesNothing)
{
	GError *err = nullptr;
	Dsp__Command command = DSP__COMMAND__INIT;
	Dsp__Expire expire = DSP__EXPIRE__INIT;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_EQ(put_code(*all[0], 1), DSP__RESULT_CODE__RESULT_OK);
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

/* Guards isolation: without a quorum an instance notices it by the age of the
 * confirmation, and serves again once the quorum is back. */
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
 * Guards the repair of a lost disk: the instance joins with a new identity,
 * the group is whole only when no learner is left, and then it survives the
 * loss of another instance.
 */
TEST_F(Control, LostDiskIsRepairedAndTheGroupSurvivesTheNextLoss)
{
	Instance *lost;
	Instance *other;

	create(3, 0);
	start_all();
	ASSERT_TRUE(wait_until([&] { return all_serve(); }));
	ASSERT_EQ(put_code(*all[0], 1), DSP__RESULT_CODE__RESULT_OK);
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
	ASSERT_EQ(put_code(*lost, 2), DSP__RESULT_CODE__RESULT_OK);
	EXPECT_TRUE(wait_until([&] { return lost->number("verband") == 2; }));
}

/* Guards concurrent commands: each gets its own result, and no document number
 * is accepted twice. */
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

/* Guards leases: an instance that stops is marked down in every view, one that
 * drains is marked as draining at once. */
TEST_F(Control, ViewsShowDrainingAndLostInstances)
{
	auto node_is = [&](const char *id, auto what) {
		struct view *view = ctl_view(all[0]->ctl);
		const Dsp__Node *node = view_node(view, id);
		bool is = node && what(node);

		view_unref(view);
		return is;
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
