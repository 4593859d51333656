#include <gtest/gtest.h>

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform/system.h"

extern "C" {
#include "lib_proc.h"
#include "lib_proxy.h"
#include "node/ctl.h"
}

/*
 * Tests of view updates that an instance reads long after they were sent.
 */

namespace
{

using platform::request;
using platform::System;
using platform::table;

constexpr int64_t WAIT_US = 20000000;
constexpr int64_t ISOLATED_AFTER_MS = 2000;
constexpr int64_t DELAY_MS = 3000;
/* Clocks are read one after the other. */
constexpr int64_t TOLERANCE_MS = 20;

struct Instance {
	std::string id;
	int port = 0;
	struct set *settings = nullptr;
	struct clk *clock = clk_new_real();
	struct met *met = met_new();
	struct ctl *ctl = nullptr;

	~Instance()
	{
		if (ctl)
			ctl_stop(ctl);
		set_free(settings);
		met_free(met);
		clk_free(clock);
	}

	int64_t age_ms() const
	{
		return ctl_state(ctl).stale_us / 1000;
	}
};

/* Three voters and two entries in one process; the updates for the last entry
 * pass a proxy. */
class HeldUpdate : public ::testing::Test
{
      protected:
	static constexpr size_t VOTERS = 3;
	static constexpr size_t INSTANCES = 5;
	std::string root;
	std::vector<std::unique_ptr<Instance>> all;
	struct proxy *updates = nullptr;
	int64_t delayed_since_ms = 0;

	void SetUp() override
	{
		char name[] = "/tmp/held_update_test.XXXXXX";

		root = mkdtemp(name);
		for (size_t i = 0; i < INSTANCES; i++) {
			all.push_back(std::make_unique<Instance>());
			all[i]->id = "n" + std::to_string(i);
			all[i]->port = proc_free_port();
		}
		for (size_t i = 0; i < INSTANCES; i++)
			start(i);
		ASSERT_TRUE(System::eventually([&] { return all_serve(); }));
		/* Entries are waited for from their first report on. */
		ASSERT_TRUE(put_table(1));
		ASSERT_TRUE(System::eventually([&] { return all_have(1); }));
		ASSERT_TRUE(System::eventually([&] { return is_known(); }));
	}

	void TearDown() override
	{
		std::string command = "rm -rf " + root;

		all.clear();
		proxy_stop(updates);
		EXPECT_EQ(system(command.c_str()), 0);
	}

	static std::string address(int port)
	{
		return "tcp://127.0.0.1:" + std::to_string(port);
	}

	std::string settings_of(size_t i)
	{
		const Instance &x = *all[i];
		std::string text = "id = \"" + x.id +
				   "\"\nsite = \"north\"\nregion = \"r\"\n"
				   "http_listen = \"127.0.0.1:1\"\n"
				   "internal_listen = \"" +
				   address(x.port) + "\"\n";

		if (i < VOTERS)
			text += "control = true\ndata_folder = \"" + root +
				"/" + x.id + "\"\n";
		if (i == INSTANCES - 1) {
			int port = proc_free_port();

			updates = proxy_start(port, x.port);
			text += "internal_advertise = \"" + address(port) +
				"\"\n";
		}
		text += "[timing]\nelection_timeout_ms = 1000\n"
			"heartbeat_ms = 50\nreport_interval_ms = 200\n"
			"node_lease_ms = 10000\nisolated_after_ms = " +
			std::to_string(ISOLATED_AFTER_MS) + "\n";
		for (size_t k = 0; k < VOTERS; k++)
			text += "[[peer]]\nid = \"" + all[k]->id +
				"\"\naddress = \"" + address(all[k]->port) +
				"\"\nsite = \"north\"\n";
		return text;
	}

	void start(size_t i)
	{
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		struct ctl_callbacks callbacks = {};
		std::string text = settings_of(i);
		GError *err = nullptr;

		all[i]->settings =
			set_parse("test", text.c_str(), text.size(), faults);
		for (guint k = 0; k < faults->len; k++)
			ADD_FAILURE() << (char *)g_ptr_array_index(faults, k);
		g_ptr_array_free(faults, TRUE);
		ASSERT_NE(all[i]->settings, nullptr);
		all[i]->ctl = ctl_start(all[i]->settings, all[i]->clock,
					all[i]->met, &callbacks, &err);
		ASSERT_NE(all[i]->ctl, nullptr) << (err ? err->message : "");
	}

	Instance &entry()
	{
		return *all.back();
	}

	bool all_serve()
	{
		for (auto &x : all)
			if (ctl_state(x->ctl).readiness != CTL_SERVING)
				return false;
		return true;
	}

	bool all_have(uint64_t number)
	{
		for (auto &x : all) {
			struct view *view = ctl_view(x->ctl);
			const Dsp__RouteTable *t = view_route_table(view);
			bool has = t && t->number == number;

			view_unref(view);
			if (!has)
				return false;
		}
		return true;
	}

	/* Returns whether the leader has a report of the entry. */
	bool is_known()
	{
		std::string text = "\"instance\":\"" + entry().id + "\",\"site";

		for (size_t i = 0; i < VOTERS; i++) {
			char *json = ctl_status_json(all[i]->ctl);
			std::string status = json;

			g_free(json);
			if (status.find("\"role\":\"leader\"") !=
				    std::string::npos &&
			    status.find(text) != std::string::npos)
				return true;
		}
		return false;
	}

	bool put_table(uint64_t number)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__RouteTablePut change = DSP__ROUTE_TABLE_PUT__INIT;
		Dsp__RouteTable table = DSP__ROUTE_TABLE__INIT;
		Dsp__CommandResult *result;
		bool accepted;

		table.number = number;
		change.table = &table;
		command.body_case = DSP__COMMAND__BODY_ROUTE_TABLE_PUT;
		command.route_table_put = &change;
		result = ctl_submit(all[0]->ctl, &command, WAIT_US, NULL);
		if (!result)
			return false;
		accepted = result->code == DSP__RESULT_CODE__RESULT_OK ||
			   result->code == DSP__RESULT_CODE__RESULT_SAME;
		dsp__command_result__free_unpacked(result, NULL);
		return accepted;
	}

	void delay_updates()
	{
		proxy_delay(updates, DELAY_MS);
		delayed_since_ms = proc_now_ms();
	}

	int64_t delayed_for_ms() const
	{
		return proc_now_ms() - delayed_since_ms;
	}
};

} // namespace

/* Guards against an update that takes seconds and counts as a fresh one. */
TEST_F(HeldUpdate, AgeOfTheViewIncludesTheTimeInTransit)
{
	int64_t oldest_ms = 0;

	delay_updates();
	while (delayed_for_ms() < DELAY_MS + 2500) {
		int64_t least_ms = std::min(delayed_for_ms(), DELAY_MS);
		int64_t age_ms = entry().age_ms();

		ASSERT_GE(age_ms, least_ms - TOLERANCE_MS)
			<< "after " << delayed_for_ms() << " ms, before at "
			<< oldest_ms << " ms";
		oldest_ms = std::max(oldest_ms, age_ms);
		usleep(5000);
	}
}

/* Guards against waiting for an entry that takes old updates for fresh ones. */
TEST_F(HeldUpdate, AcknowledgementsDoNotWaitForAnEntryThatReadsOldUpdates)
{
	uint64_t number = 1;

	delay_updates();
	while (delayed_for_ms() < DELAY_MS)
		usleep(5000);
	while (delayed_for_ms() < DELAY_MS + 1600) {
		int64_t sent_ms = proc_now_ms();

		ASSERT_TRUE(put_table(++number));
		ASSERT_LT(proc_now_ms() - sent_ms, 1500);
		usleep(20000);
	}
}

/* Guards against updates that wait while the reader is stopped and count as
 * fresh ones when it goes on. */
TEST(StoppedReader, AgeOfTheViewIncludesTheTimeInItsQueue)
{
	constexpr int64_t STOP_MS = 4000;
	const std::string name = "\ndandelionspar_view_age_ms{} ";
	int64_t until_ms;
	System system(3, 1);

	system.serve(table(1));
	/* Until then other instances send updates, too. */
	usleep(3000000);
	kill(system.entry().pid, SIGSTOP);
	usleep(1000000);
	for (auto &x : system.instances)
		kill(x.pid, SIGSTOP);
	usleep((STOP_MS + 100) * 1000);
	kill(system.entry().pid, SIGCONT);
	/* The gauge is set in intervals. */
	usleep(300000);
	until_ms = proc_now_ms() + 1500;
	while (proc_now_ms() < until_ms) {
		std::string text =
			platform::call(system.entry().metrics,
				       request("GET", "/metrics", "x"), 1000)
				.body;
		size_t at = text.find(name);

		ASSERT_NE(at, std::string::npos) << text;
		ASSERT_GE(atoll(text.c_str() + at + name.size()), STOP_MS)
			<< system.log_of(system.entry());
		usleep(20000);
	}
}

static void set_isolated_after(const std::string &path, int ms)
{
	const std::string name = "isolated_after_ms = ";
	std::ifstream in(path);
	std::string text((std::istreambuf_iterator<char>(in)),
			 std::istreambuf_iterator<char>());
	size_t at = text.find(name) + name.size();

	text.replace(at, text.find('\n', at) - at, std::to_string(ms));
	std::ofstream(path) << text;
}

/* Guards against a restarted entry that serves the table of a control instance
 * which stood still while the table was replaced. */
TEST(StoppedReader, RestartedEntryTakesNoViewFromALeaderThatStoodStill)
{
	System system(3, 1);
	auto leads = [&](size_t i) {
		return platform::call(system.instances[i].metrics,
				      request("GET", "/metrics", "x"), 1000)
			       .body.find("\ndandelionspar_leader{} 1\n") !=
		       std::string::npos;
	};
	size_t leader = 0;

	for (auto &x : system.instances)
		set_isolated_after(x.settings, 5000);
	system.serve(table(1));
	usleep(3000000);
	while (leader < 3 && !leads(leader))
		leader++;
	ASSERT_LT(leader, 3u);
	kill(system.instances[leader].pid, SIGSTOP);
	ASSERT_TRUE(System::eventually([&] {
		return system.put(table(2), (leader + 1) % 3) == 200;
	})) << system.whole_logs();
	usleep(6000000);
	for (size_t i = 0; i < 3; i++)
		kill(system.instances[i].pid, SIGSTOP);
	proc_kill(system.entry().pid);
	system.start(system.entry());
	usleep(300000);
	kill(system.instances[leader].pid, SIGCONT);
	EXPECT_FALSE(System::eventually(
		[&] { return system.is_ready(system.entry()); }, 2000))
		<< system.whole_logs();
}
