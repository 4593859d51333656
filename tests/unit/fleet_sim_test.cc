#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

extern "C" {
#include "base/msg.h"
#include "core/raft.h"
#include "core/st.h"
}

/*
 * A control group of seven with 264 entries and 3,000 endpoints on a manual
 * clock. Each instance has 0.15 of a core: an iteration takes the cost of its
 * messages divided by that, and what arrives meanwhile waits. The iterations
 * follow iterate() of node/ctl.c; agreement and state are the real ones.
 */
namespace
{

constexpr int64_t ms = 1000;
constexpr int64_t second = 1000 * ms;
constexpr int n_replicas = 7;
constexpr int n_relays = 4;
constexpr int n_entries = 264;
constexpr int n_endpoints = 3000;

/* Costs in microseconds of processor time, about those of tools/bench_fleet. */
constexpr double cost_iteration = 60;
constexpr double cost_consensus = 20;
constexpr double cost_report = 60;
constexpr double cost_announcement = 10;
constexpr double cost_update = 25; /* to one child */
constexpr double cost_entry = 12;  /* log, state and view, for each command */

struct Options {
	double cpu_share = 0.15;
	bool consensus_first = true;
	bool read_contact = true;
};

struct Message {
	std::string raft; /* empty: a report */
	std::vector<int> endpoints;
};

struct Replica {
	int slot = 0;
	uint64_t id = 0;
	struct raft *raft = nullptr;
	struct st *st = nullptr;
	std::deque<Message> consensus, reports;
	std::vector<int> merged; /* a relay's next report */
	int64_t forward_at = 0;
	int64_t push_at = 0;
	int64_t wall = 0; /* end of the last iteration */
	std::map<int, int64_t> put_at;
	uint64_t led_term = 0;
};

class Fleet
{
      public:
	explicit Fleet(const Options &options) : o(options)
	{
		Dsp__RaftConfig config = DSP__RAFT_CONFIG__INIT;
		std::vector<Dsp__Member> members(n_replicas);
		std::vector<Dsp__Member *> pointers;

		for (int i = 0; i < n_replicas; i++) {
			dsp__member__init(&members[(size_t)i]);
			members[(size_t)i].replica = (uint64_t)i + 1;
			members[(size_t)i].voter = true;
			pointers.push_back(&members[(size_t)i]);
		}
		config.n_members = pointers.size();
		config.members = pointers.data();
		for (int i = 0; i < n_replicas; i++) {
			struct raft_options ro = {};
			struct raft_durable_state durable = {};
			auto r = std::make_unique<Replica>();

			r->slot = i;
			r->id = ro.replica = (uint64_t)i + 1;
			ro.group = 1;
			ro.seed = 77 + (uint64_t)i;
			ro.election_timeout_us = 500 * ms;
			ro.heartbeat_us = 120 * ms;
			ro.max_batch_bytes = 256 << 10;
			durable.config = &config;
			r->raft = raft_new(&ro, &durable, now);
			r->st = st_new(NULL);
			replicas.push_back(std::move(r));
		}
		for (auto &r : replicas)
			at(0, [this, p = r.get()] { iterate(*p); });
		for (int e = 0; e < n_entries; e++)
			at(e * 400 * ms / n_entries, [this, e] { report(e); });
	}
	~Fleet()
	{
		for (auto &r : replicas) {
			raft_free(r->raft);
			st_free(r->st);
		}
	}
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	void run(int64_t duration)
	{
		int64_t end = now + duration;

		while (!events.empty() && events.top().time <= end) {
			auto action = events.top().action;

			now = events.top().time;
			events.pop();
			action();
		}
		now = end;
	}

	Replica *leader()
	{
		Replica *best = nullptr;

		for (auto &r : replicas)
			if (raft_role(r->raft) == RAFT_LEADER &&
			    (!best ||
			     raft_term(r->raft) > raft_term(best->raft)))
				best = r.get();
		return best;
	}

	size_t registered()
	{
		size_t least = n_endpoints;

		for (auto &r : replicas)
			least = std::min(least, count(*r));
		return least;
	}

	/* Returns the longest time that an announcement waits at an instance,
	 * by the time of an iteration for those that wait now. */
	double backlog_ms() const
	{
		double most = 0;

		for (auto &r : replicas) {
			double cost = 0;

			for (auto &m : r->reports)
				cost += cost_report +
					cost_announcement *
						(double)m.endpoints.size();
			most = std::max(most, cost / o.cpu_share / ms);
		}
		return most;
	}

	int64_t now = second;
	int announce_factor = 1;
	int leaders = 0;
	std::vector<std::unique_ptr<Replica>> replicas;

      private:
	struct Event {
		int64_t time;
		uint64_t number;
		std::function<void()> action;
		bool operator<(const Event &other) const
		{
			return time != other.time ? time > other.time
						  : number > other.number;
		}
	};

	void at(int64_t delay, std::function<void()> action)
	{
		events.push({ now + delay, n_events++, std::move(action) });
	}

	static size_t count(const Replica &r)
	{
		const Dsp__Endpoint **list;
		size_t n = st_endpoints(r.st, &list);

		g_free(list);
		return n;
	}

	/* An entry's report to the relay of its site, with a third of its
	 * endpoints' announcements. */
	void report(int entry)
	{
		Replica &relay = *replicas[(size_t)(entry % n_relays)];
		Message m;
		int turn = n_reports++ / n_entries % 3;

		for (int f = 0; f < announce_factor; f++)
			for (int e = entry; e < n_endpoints; e += n_entries)
				if (e / n_entries % 3 == turn)
					m.endpoints.push_back(e);
		relay.reports.push_back(m);
		at(400 * ms, [this, entry] { report(entry); });
	}

	void propose(Replica &r, int endpoint)
	{
		Dsp__Command command = DSP__COMMAND__INIT;
		Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
		Dsp__Endpoint e = DSP__ENDPOINT__INIT;
		Dsp__Features features = DSP__FEATURES__INIT;
		std::string id = "server" + std::to_string(endpoint);
		std::string address = "http://" + std::to_string(endpoint);
		std::string service = "plain";
		int64_t &before = r.put_at[endpoint];

		if (st_endpoint(r.st, id.c_str()) ||
		    (before && now - before < second))
			return;
		before = now;
		features.sequenced = true;
		e.id = id.data();
		e.incarnation = 1;
		e.address = address.data();
		e.team = e.service = service.data();
		e.features = &features;
		put.endpoint = &e;
		command.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		command.endpoint_put = &put;
		std::string packed(dsp__command__get_packed_size(&command), 0);
		dsp__command__pack(&command, (uint8_t *)packed.data());
		raft_propose(r.raft, (const uint8_t *)packed.data(),
			     packed.size());
	}

	double handle_consensus(Replica &r)
	{
		std::vector<Dsp__RaftMessage *> all;
		double cost = 0;

		while (!r.consensus.empty()) {
			const std::string &p = r.consensus.front().raft;

			all.push_back(dsp__raft_message__unpack(
				NULL, p.size(), (const uint8_t *)p.data()));
			r.consensus.pop_front();
		}
		for (auto *m : all)
			if (o.read_contact)
				raft_read_contact(r.raft, m);
		for (auto *m : all) {
			raft_step(r.raft, m, now);
			cost += cost_consensus;
			dsp__raft_message__free_unpacked(m, NULL);
		}
		return cost;
	}

	double handle_report(Replica &r, const Message &m)
	{
		bool leads = raft_role(r.raft) == RAFT_LEADER &&
			     raft_is_ready_leader(r.raft);

		for (int e : m.endpoints) {
			if (leads)
				propose(r, e);
			else
				r.merged.push_back(e);
		}
		if (!leads && !r.forward_at)
			r.forward_at = now + 100 * ms;
		return cost_report +
		       cost_announcement * (double)m.endpoints.size();
	}

	/* Without consensus_first, one queue for all messages. */
	double handle_messages(Replica &r)
	{
		double cost = 0;

		if (o.consensus_first)
			cost += handle_consensus(r);
		while (!r.reports.empty() && cost / o.cpu_share < 30 * ms) {
			Message m = std::move(r.reports.front());

			r.reports.pop_front();
			if (m.raft.empty()) {
				cost += handle_report(r, m);
				continue;
			}
			r.consensus.push_back(std::move(m));
			cost += handle_consensus(r);
		}
		return cost;
	}

	double forward(Replica &r)
	{
		Message m;
		uint64_t to = raft_leader(r.raft);

		if (!r.forward_at || now < r.forward_at || !to || to == r.id)
			return 0;
		r.forward_at = 0;
		std::sort(r.merged.begin(), r.merged.end());
		r.merged.erase(std::unique(r.merged.begin(), r.merged.end()),
			       r.merged.end());
		m.endpoints = std::move(r.merged);
		r.merged.clear();
		double cost = (double)m.endpoints.size() * 2;
		at(ms,
		   [this, to, m] { replicas[to - 1]->reports.push_back(m); });
		return cost;
	}

	double push(Replica &r)
	{
		if (r.slot >= n_relays || now < r.push_at)
			return 0;
		r.push_at = now + 150 * ms;
		return cost_update * n_entries / n_relays;
	}

	double run_raft(Replica &r)
	{
		struct raft_ready ready;
		double cost = 0;

		raft_tick(r.raft, now);
		while (raft_take_ready(r.raft, &ready)) {
			for (size_t i = 0; i < ready.n_messages; i++)
				send(ready.messages[i]);
			for (size_t i = 0; i < ready.n_committed; i++) {
				apply(r, ready.committed[i]);
				cost += cost_entry;
			}
			raft_advance(r.raft, &ready, now);
		}
		if (raft_role(r.raft) == RAFT_LEADER &&
		    raft_term(r.raft) != r.led_term) {
			r.led_term = raft_term(r.raft);
			r.put_at.clear();
			leaders++;
		}
		return cost;
	}

	void apply(Replica &r, const Dsp__LogEntry *entry)
	{
		Dsp__Command *command;

		if (entry->kind != DSP__ENTRY_KIND__ENTRY_COMMAND)
			return;
		command = dsp__command__unpack(NULL, entry->data.len,
					       entry->data.data);
		dsp__command_result__free_unpacked(
			st_apply(r.st, entry->index, command), NULL);
		dsp__command__free_unpacked(command, NULL);
	}

	void send(const Dsp__RaftMessage *msg)
	{
		Message m;
		uint64_t to = msg->to;

		m.raft.resize(dsp__raft_message__get_packed_size(msg));
		dsp__raft_message__pack(msg, (uint8_t *)m.raft.data());
		at(ms, [this, to, m] {
			Replica &r = *replicas[to - 1];

			(o.consensus_first ? r.consensus : r.reports)
				.push_back(m);
		});
	}

	void iterate(Replica &r)
	{
		double cost = cost_iteration;

		cost += handle_messages(r);
		cost += forward(r);
		cost += run_raft(r);
		cost += push(r);
		at(std::max((int64_t)(cost / o.cpu_share), 5 * ms),
		   [this, p = &r] { iterate(*p); });
	}

	Options o;
	std::priority_queue<Event> events;
	uint64_t n_events = 0;
	int n_reports = 0;
};

} // namespace

/*
 * Guards against a group that starts at this size and loses its leader again
 * and again: seven leaders in eight seconds were seen. All endpoints are
 * registered on all replicas within 5 s, by at most two leaders in 10 s.
 */
TEST(FleetSim, FewLeadersAtTheStart)
{
	Fleet f({});

	f.run(5 * second);
	EXPECT_EQ(f.registered(), (size_t)n_endpoints);
	f.run(5 * second);
	EXPECT_LE(f.leaders, 2);
	EXPECT_LT(f.backlog_ms(), 200);
}

/* Guards against an overload that goes on by itself: the effects of twice the
 * usual announcements for 5 s are over 3 s after they end. */
TEST(FleetSim, RecoversFromTwiceTheAnnouncements)
{
	Fleet f({});

	f.run(10 * second);
	ASSERT_EQ(f.registered(), (size_t)n_endpoints);
	Replica *leader = f.leader();
	ASSERT_NE(leader, nullptr);
	uint64_t term = raft_term(leader->raft);
	f.announce_factor = 2;
	f.run(5 * second);
	f.announce_factor = 1;
	f.run(3 * second);
	EXPECT_LT(f.backlog_ms(), 200);
	ASSERT_EQ(f.leader(), leader);
	EXPECT_EQ(raft_term(leader->raft), term);
}

/*
 * Guards against an overload that costs the group its leader: with 0.3 of the
 * share the announcements are more than it can process. Without the two
 * measures there were nine leaders in 10 s.
 */
TEST(FleetSim, LastingOverloadDoesNotCostTheLeader)
{
	for (bool measures : { true, false }) {
		Fleet f({ 0.045, measures, measures });

		f.run(10 * second);
		EXPECT_GT(f.backlog_ms(), 200);
		if (measures)
			EXPECT_EQ(f.leaders, 1);
		else
			EXPECT_GT(f.leaders, 2);
	}
}
