#ifndef TESTS_UNIT_RAFT_SIM_H
#define TESTS_UNIT_RAFT_SIM_H

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/raft.h"
}

/*
 * Simulates a group of Raft replicas with their network and disks; one seed
 * determines the whole run. Every entry that a replica applies is compared with
 * a single reference log. All times are in microseconds of the simulated clock.
 */
namespace sim
{

constexpr int64_t ms = 1000;

struct Options {
	uint64_t seed = 1;
	int n = 3;
	int initial = 0; /* replicas that are voters at the start; 0: all */
	int64_t election_timeout = 200 * ms;
	int64_t heartbeat = 40 * ms;
	int64_t tick = 10 * ms;
	uint32_t max_batch_bytes = 2000;
	int64_t delay_min = 1 * ms;
	int64_t delay_max = 1 * ms;
	/* Of a connection; messages that keep their order wait for those before
	 * them. 0: no limit. */
	int64_t link_bytes_per_ms = 0;
	double loss = 0;
	double duplicate = 0;
	int64_t sync_max = 0;
	/* Messages are handled while a sync is under way. */
	bool step_during_sync = false;
	/* Messages that need no sync are sent before it (n_before_sync). */
	bool send_before_sync = false;
	/* Applied entries between two snapshots; 0: none. */
	uint64_t snapshot_every = 0;
	size_t snapshot_bytes = 5000;
};

struct Entry {
	uint64_t index = 0;
	uint64_t term = 0;
	Dsp__EntryKind kind = DSP__ENTRY_KIND__ENTRY_NOOP;
	std::string data;

	bool operator==(const Entry &other) const
	{
		return index == other.index && term == other.term &&
		       kind == other.kind && data == other.data;
	}
};

inline Entry copy_of(const Dsp__LogEntry *entry)
{
	return { entry->index, entry->term, entry->kind,
		 std::string((const char *)entry->data.data, entry->data.len) };
}

struct Snapshot {
	uint64_t index = 0;
	uint64_t term = 0;
	std::string config;
	std::string data;
};

/* Durable state of a replica; the log follows the snapshot. */
struct Disk {
	uint64_t replica = 0;
	uint64_t term = 0;
	uint64_t voted_for = 0;
	Snapshot snapshot;
	std::vector<Entry> log;

	uint64_t last() const
	{
		return snapshot.index + log.size();
	}

	void truncate_from(uint64_t index)
	{
		while (!log.empty() && last() >= index)
			log.pop_back();
	}

	bool holds(uint64_t index, uint64_t entry_term) const
	{
		if (index <= snapshot.index)
			return true;
		if (index > last())
			return false;
		return log[index - snapshot.index - 1].term == entry_term;
	}

	/* Follows the rule of sto_write_snapshot(): the entries after the
	 * snapshot stay only if the log has the snapshot's last entry. */
	void put_snapshot(const Snapshot &s)
	{
		if (s.index <= snapshot.index)
			return;
		if (s.index <= last() &&
		    log[s.index - snapshot.index - 1].term == s.term)
			log.erase(log.begin(),
				  log.begin() +
					  (long)(s.index - snapshot.index));
		else
			log.clear();
		snapshot = s;
	}
};

using Members = std::map<uint64_t, bool>; /* identity: voter */

inline std::string pack_config(const Members &members)
{
	Dsp__RaftConfig config = DSP__RAFT_CONFIG__INIT;
	std::vector<Dsp__Member> items(members.size());
	std::vector<Dsp__Member *> pointers;
	std::string packed;
	size_t i = 0;

	for (auto [replica, voter] : members) {
		dsp__member__init(&items[i]);
		items[i].replica = replica;
		items[i].voter = voter;
		pointers.push_back(&items[i++]);
	}
	config.n_members = pointers.size();
	config.members = pointers.data();
	packed.resize(dsp__raft_config__get_packed_size(&config));
	dsp__raft_config__pack(&config, (uint8_t *)packed.data());
	return packed;
}

inline Members members_of(const Dsp__RaftConfig *config)
{
	Members members;

	for (size_t i = 0; config && i < config->n_members; i++)
		members[config->members[i]->replica] =
			config->members[i]->voter;
	return members;
}

using Config = std::unique_ptr<Dsp__RaftConfig, void (*)(Dsp__RaftConfig *)>;

inline Config unpack_config(const std::string &packed)
{
	return Config(dsp__raft_config__unpack(NULL, packed.size(),
					       (const uint8_t *)packed.data()),
		      [](Dsp__RaftConfig *c) {
			      dsp__raft_config__free_unpacked(c, NULL);
		      });
}

struct Node {
	int slot = 0;
	std::shared_ptr<Disk> disk;
	struct raft *raft = nullptr;
	uint64_t incarnation = 0;	   /* counts starts */
	uint64_t disabled_incarnation = 0; /* in which the disk failed */
	bool frozen = false;
	std::deque<std::string> inbox;

	/* Applied state. */
	uint64_t applied = 0;
	uint64_t digest = 0;
	uint64_t last_snapshot = 0;

	/* Set while the sync of the ready batch is under way. */
	bool busy = false;
	struct raft_ready ready = {};
	std::vector<std::function<void(Disk &)>> writes;

	/* For checks. */
	/* Since then all incoming or all outgoing links are cut; -1: no. */
	int64_t cut_since = -1;
	uint64_t seen_commit = 0;
	uint64_t leader_term = 0;
	int64_t leader_since = 0;
	uint64_t transfer_term = 0; /* a transfer was started in this term */
};

class Sim
{
      public:
	explicit Sim(const Options &options)
	    : o(options), random(options.seed * 2654435761 + 1)
	{
		Members members;

		for (int i = 0; i < o.n; i++) {
			nodes.emplace_back(std::make_unique<Node>());
			nodes[(size_t)i]->slot = i;
			nodes[(size_t)i]->disk = new_disk();
			if (!o.initial || i < o.initial)
				members[nodes[(size_t)i]->disk->replica] = true;
		}
		for (auto &node : nodes) {
			node->disk->snapshot.config = pack_config(members);
			start(*node);
		}
		committed_config = members;
		cut.assign((size_t)o.n, std::vector<bool>((size_t)o.n, false));
		for (auto &node : nodes)
			schedule_tick(*node);
	}

	~Sim()
	{
		for (auto &node : nodes)
			raft_free(node->raft);
	}

	Sim(const Sim &) = delete;
	Sim &operator=(const Sim &) = delete;

	/* ---- Driving ---- */

	void at(int64_t delay, std::function<void()> action)
	{
		events.push({ now + delay, next_event++, std::move(action) });
	}

	void run(int64_t duration)
	{
		int64_t end = now + duration;

		while (!failed() && !events.empty() &&
		       events.top().time <= end) {
			auto action = std::move(
				const_cast<Event &>(events.top()).action);

			now = events.top().time;
			events.pop();
			action();
		}
		now = end;
	}

	template <typename Condition>
	bool run_until(int64_t limit, Condition condition)
	{
		int64_t end = now + limit;

		while (!failed() && now < end) {
			if (condition())
				return true;
			run(1 * ms);
		}
		return !failed() && condition();
	}

	uint64_t draw(uint64_t below)
	{
		return below ? random() % below : 0;
	}

	bool chance(double p)
	{
		return (double)(random() >> 11) / 9007199254740992.0 < p;
	}

	/* ---- Faults and commands ---- */

	Node &node(int slot)
	{
		return *nodes[(size_t)slot];
	}

	/* Stops the replica. A random number of the last unsynced writes, up to
	 * all of them, is lost. */
	void crash(Node &node)
	{
		if (!node.raft)
			return;
		trace("crash %d", node.slot);
		if (node.busy) {
			size_t survive = draw(node.writes.size() + 1);

			for (size_t i = 0; i < survive; i++)
				node.writes[i](*node.disk);
		}
		raft_free(node.raft);
		node.raft = nullptr;
		node.busy = false;
		node.frozen = false;
		node.writes.clear();
		node.inbox.clear();
	}

	void start(Node &node)
	{
		struct raft_options options = {};
		struct raft_durable_state durable = {};
		const Disk &disk = *node.disk;
		Config config = unpack_config(disk.snapshot.config);
		std::vector<Dsp__LogEntry> entries(disk.log.size());
		std::vector<Dsp__LogEntry *> pointers;

		if (node.raft)
			return;
		trace("start %d as %llx", node.slot, id(disk.replica));
		for (size_t i = 0; i < entries.size(); i++) {
			dsp__log_entry__init(&entries[i]);
			entries[i].index = disk.log[i].index;
			entries[i].term = disk.log[i].term;
			entries[i].kind = disk.log[i].kind;
			entries[i].data.data =
				(uint8_t *)disk.log[i].data.data();
			entries[i].data.len = disk.log[i].data.size();
			pointers.push_back(&entries[i]);
		}
		options.replica = disk.replica;
		options.group = 99;
		options.seed = random();
		options.election_timeout_us = o.election_timeout;
		options.heartbeat_us = o.heartbeat;
		options.max_batch_bytes = o.max_batch_bytes;
		durable.term = disk.term;
		durable.voted_for = disk.voted_for;
		durable.snapshot_index = disk.snapshot.index;
		durable.snapshot_term = disk.snapshot.term;
		durable.config = config.get();
		durable.entries = pointers.data();
		durable.n_entries = pointers.size();
		node.raft = raft_new(&options, &durable, now);
		node.incarnation++;
		node.seen_commit = 0;
		node.leader_term = 0;
		load(node, disk.snapshot);
		process(node);
	}

	/* Makes a write fail: a part of the batch may be on disk; none of it is
	 * sent or applied. */
	void fail_disk(Node &node)
	{
		uint64_t incarnation = node.incarnation;

		if (!node.raft)
			return;
		trace("disk of %d fails", node.slot);
		if (node.busy) {
			size_t survive = draw(node.writes.size() + 1);

			for (size_t i = 0; i < survive; i++)
				node.writes[i](*node.disk);
		}
		node.busy = false;
		node.writes.clear();
		node.disabled_incarnation = incarnation;
		raft_disable(node.raft);
	}

	void freeze(Node &node)
	{
		trace("freeze %d", node.slot);
		node.frozen = true;
	}

	void thaw(Node &node)
	{
		trace("thaw %d", node.slot);
		node.frozen = false;
		if (!node.raft)
			return;
		if (chance(0.5)) {
			raft_tick(node.raft, now);
			process(node);
		}
		drain(node);
	}

	/* Replaces the disk by an empty one; the replica starts again under a
	 * new identity. */
	void lose_disk(Node &node)
	{
		trace("lose disk of %d (%llx)", node.slot,
		      id(node.disk->replica));
		crash(node);
		lost_identities.insert(node.disk->replica);
		lost_disks.push_back(node.disk);
		node.disk = new_disk();
		start(node);
	}

	void set_cut(int from, int to, bool value)
	{
		cut[(size_t)from][(size_t)to] = value;
		update_cuts();
	}

	void isolate(int slot, bool in, bool out)
	{
		trace("isolate %d%s%s", slot, in ? " in" : "",
		      out ? " out" : "");
		for (int i = 0; i < o.n; i++) {
			if (i == slot)
				continue;
			cut[(size_t)i][(size_t)slot] =
				cut[(size_t)i][(size_t)slot] || in;
			cut[(size_t)slot][(size_t)i] =
				cut[(size_t)slot][(size_t)i] || out;
		}
		update_cuts();
	}

	bool is_cut(int from, int to) const
	{
		return cut[(size_t)from][(size_t)to];
	}

	void heal()
	{
		trace("heal");
		for (auto &row : cut)
			row.assign(row.size(), false);
		update_cuts();
	}

	uint64_t propose(Node &node, const std::string &data)
	{
		uint64_t index;

		if (!node.raft || node.frozen)
			return 0;
		index = raft_propose(node.raft, (const uint8_t *)data.data(),
				     data.size());
		process(node);
		return index;
	}

	uint64_t propose_members(Node &node, const Members &members)
	{
		Config config = unpack_config(pack_config(members));
		uint64_t index = raft_propose_config(node.raft, config.get());

		if (index)
			trace("config %s by %d at %llu", text(members).c_str(),
			      node.slot, num(index));
		process(node);
		return index;
	}

	void transfer(Node &node, uint64_t to)
	{
		trace("transfer %d to %llx", node.slot, id(to));
		node.transfer_term = raft_term(node.raft);
		raft_transfer_leadership(node.raft, to, now);
		process(node);
	}

	/* Stores a snapshot of the applied state, like the control thread. */
	void snapshot(Node &node)
	{
		Snapshot s;
		const Dsp__RaftConfig *config;

		if (!node.applied ||
		    node.disabled_incarnation == node.incarnation)
			return;
		config = raft_config_at(node.raft, node.applied);
		s.index = node.applied;
		s.term = raft_term_at(node.raft, node.applied);
		s.config = pack_config(members_of(config));
		s.data = state_of(node);
		if (s.term != reference[s.index - 1].term)
			fail("%d: term of snapshot %llu", node.slot,
			     num(s.index));
		node.disk->put_snapshot(s);
		node.last_snapshot = s.index;
		raft_provide_snapshot(node.raft, s.index,
				      (const uint8_t *)s.data.data(),
				      s.data.size());
	}

	/* Carries out what raft_take_ready() returns. */
	void process(Node &node)
	{
		uint64_t incarnation = node.incarnation;

		while (node.raft && node.incarnation == incarnation &&
		       !node.busy && !failed() &&
		       raft_take_ready(node.raft, &node.ready)) {
			collect_writes(node);
			if (o.send_before_sync)
				for (size_t i = 0; i < node.ready.n_before_sync;
				     i++)
					send(node, node.ready.messages[i]);
			if (node.writes.empty() || !o.sync_max) {
				complete(node);
				continue;
			}
			node.busy = true;
			at(1 + (int64_t)draw((uint64_t)o.sync_max),
			   [this, &node, incarnation] {
				   finish_sync(node, incarnation);
			   });
		}
		if (node.raft)
			observe(node);
	}

	/* ---- Queries ---- */

	Node *leader()
	{
		Node *best = nullptr;

		for (auto &node : nodes) {
			if (!node->raft || node->frozen ||
			    raft_role(node->raft) != RAFT_LEADER)
				continue;
			if (!best ||
			    raft_term(node->raft) > raft_term(best->raft))
				best = node.get();
		}
		return best;
	}

	Node *ready_leader()
	{
		Node *node = leader();

		return node && raft_is_ready_leader(node->raft) ? node
								: nullptr;
	}

	bool failed() const
	{
		return !failure.empty();
	}

	/* Returns the seed, the failure and the last events. */
	std::string report() const
	{
		std::string out = "seed " + std::to_string(o.seed) + ": " +
				  failure + "\n";

		for (auto &line : recent_events)
			out += "  " + line + "\n";
		return out;
	}

	bool all_applied()
	{
		for (auto &node : nodes)
			if (!node->raft || node->applied < reference.size())
				return false;
		return true;
	}

	static unsigned long long num(uint64_t value)
	{
		return value;
	}

	static unsigned long long id(uint64_t replica)
	{
		return replica;
	}

	static std::string text(const Members &members)
	{
		std::string out;

		for (auto [replica, voter] : members)
			out += (out.empty() ? "" : ",") +
			       std::to_string(replica) + (voter ? "" : "l");
		return out;
	}

	template <typename... Args> void trace(const char *format, Args... args)
	{
		char line[256];
		int len = snprintf(line, sizeof(line), "%8.3f ",
				   (double)now / 1e6);

		if constexpr (sizeof...(args) == 0)
			snprintf(line + len, sizeof(line) - (size_t)len, "%s",
				 format);
		else
			snprintf(line + len, sizeof(line) - (size_t)len, format,
				 args...);
		recent_events.emplace_back(line);
		if (recent_events.size() > 60)
			recent_events.pop_front();
		if (getenv("RAFT_SIM_TRACE"))
			fprintf(stderr, "%s\n", line);
	}

	template <typename... Args> void fail(const char *format, Args... args)
	{
		char line[256];

		if (failed())
			return;
		if constexpr (sizeof...(args) == 0)
			snprintf(line, sizeof(line), "%s", format);
		else
			snprintf(line, sizeof(line), format, args...);
		failure = line;
		trace("FAILED %s", line);
	}

	Options o;
	int64_t now = 1000 * ms;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Entry> reference; /* [i] is the entry at index i + 1 */
	std::vector<uint64_t> digests;
	std::set<std::string> commands; /* committed; each is proposed once */
	Members committed_config;
	uint64_t committed_config_index = 0;
	std::set<uint64_t> lost_identities; /* their disks were lost */
	std::map<uint64_t, uint64_t> leader_of_term;
	uint64_t messages_sent = 0;
	uint64_t snapshots_installed = 0;
	std::function<bool(Node &, const Dsp__RaftMessage *)> drop;
	/* Called before a replica handles a message. */
	std::function<void(Node &, const Dsp__RaftMessage *)> received;

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

	std::shared_ptr<Disk> new_disk()
	{
		auto disk = std::make_shared<Disk>();

		disk->replica = ++last_replica;
		return disk;
	}

	void schedule_tick(Node &node)
	{
		at(1 + (int64_t)draw((uint64_t)o.tick), [this, &node] {
			if (node.raft && !node.frozen &&
			    (!node.busy || o.step_during_sync)) {
				raft_tick(node.raft, now);
				process(node);
			}
			schedule_tick(node);
		});
	}

	void update_cuts()
	{
		for (auto &node : nodes) {
			bool in = true;
			bool out = true;

			for (size_t i = 0; i < nodes.size(); i++) {
				if ((int)i == node->slot)
					continue;
				in = in && cut[i][(size_t)node->slot];
				out = out && cut[(size_t)node->slot][i];
			}
			if (!in && !out)
				node->cut_since = -1;
			else if (node->cut_since < 0)
				node->cut_since = now;
		}
	}

	Node *find(uint64_t replica)
	{
		for (auto &node : nodes)
			if (node->disk->replica == replica)
				return node.get();
		return nullptr;
	}

	/* Returns the applied state: index, digest of all applied entries and
	 * padding. */
	std::string state_of(const Node &node) const
	{
		std::string state(16 + o.snapshot_bytes, 'x');

		memcpy(state.data(), &node.applied, 8);
		memcpy(state.data() + 8, &node.digest, 8);
		for (size_t i = 16; i < state.size(); i++)
			state[i] = (char)(node.digest >> (i % 8 * 8));
		return state;
	}

	void load(Node &node, const Snapshot &s)
	{
		node.applied = s.index;
		node.last_snapshot = s.index;
		node.digest = s.index ? digests[s.index - 1] : 0;
		if (s.index && s.data != state_of(node))
			fail("%d: snapshot %llu differs", node.slot,
			     num(s.index));
	}

	void collect_writes(Node &node)
	{
		const struct raft_ready &r = node.ready;

		node.writes.clear();
		if (r.hard_state_changed) {
			uint64_t term = r.term;
			uint64_t vote = r.voted_for;

			node.writes.emplace_back([term, vote](Disk &disk) {
				disk.term = term;
				disk.voted_for = vote;
			});
		}
		if (r.install_snapshot) {
			Snapshot s;

			s.index = r.snapshot_index;
			s.term = r.snapshot_term;
			s.config = pack_config(members_of(r.snapshot_config));
			s.data.assign((const char *)r.snapshot_data,
				      r.snapshot_len);
			node.writes.emplace_back(
				[s](Disk &disk) { disk.put_snapshot(s); });
		}
		if (r.truncate_from) {
			uint64_t from = r.truncate_from;

			node.writes.emplace_back([from](Disk &disk) {
				disk.truncate_from(from);
			});
		}
		for (size_t i = 0; i < r.n_append; i++) {
			Entry entry = copy_of(r.append[i]);

			node.writes.emplace_back([this, entry](Disk &disk) {
				if (entry.index != disk.last() + 1)
					fail("%llx: append of %llu after %llu",
					     id(disk.replica), num(entry.index),
					     num(disk.last()));
				disk.log.push_back(entry);
			});
		}
	}

	void finish_sync(Node &node, uint64_t incarnation)
	{
		if (!node.raft || node.incarnation != incarnation || !node.busy)
			return;
		if (node.frozen) {
			at(5 * ms, [this, &node, incarnation] {
				finish_sync(node, incarnation);
			});
			return;
		}
		node.busy = false;
		complete(node);
		process(node);
		drain(node);
	}

	void complete(Node &node)
	{
		const struct raft_ready r = node.ready;

		for (auto &write : node.writes)
			write(*node.disk);
		node.writes.clear();
		for (size_t i = o.send_before_sync ? r.n_before_sync : 0;
		     i < r.n_messages; i++)
			send(node, r.messages[i]);
		if (r.install_snapshot) {
			snapshots_installed++;
			trace("%d installs snapshot %llu", node.slot,
			      num(r.snapshot_index));
			load(node, node.disk->snapshot);
		}
		for (size_t i = 0; i < r.n_committed && !failed(); i++)
			apply(node, r.committed[i]);
		if (r.want_snapshot ||
		    (o.snapshot_every &&
		     node.applied >= node.last_snapshot + o.snapshot_every))
			snapshot(node);
		raft_advance(node.raft, &r, now);
	}

	void apply(Node &node, const Dsp__LogEntry *raw)
	{
		Entry entry = copy_of(raw);

		if (entry.index != node.applied + 1) {
			fail("%d: applies %llu after %llu", node.slot,
			     num(entry.index), num(node.applied));
			return;
		}
		if (entry.index > reference.size())
			commit(node, entry);
		else if (!(reference[entry.index - 1] == entry))
			fail("%d: entry %llu differs from the committed one",
			     node.slot, num(entry.index));
		if (failed())
			return;
		node.applied = entry.index;
		node.digest = digests[entry.index - 1];
	}

	/* Adds an entry to the reference when the first replica applies it. */
	void commit(Node &node, const Entry &entry)
	{
		uint64_t digest = digests.empty() ? 7 : digests.back();

		for (char c : entry.data)
			digest = (digest ^ (uint8_t)c) * 1099511628211u;
		digest = (digest ^ entry.term) * 1099511628211u;
		reference.push_back(entry);
		digests.push_back(digest);
		if (entry.kind == DSP__ENTRY_KIND__ENTRY_COMMAND &&
		    !commands.insert(entry.data).second)
			fail("%d: command at %llu committed twice", node.slot,
			     num(entry.index));
		check_durable(node, entry);
		if (entry.kind == DSP__ENTRY_KIND__ENTRY_CONFIG) {
			committed_config =
				members_of(unpack_config(entry.data).get());
			committed_config_index = entry.index;
			trace("committed config %s at %llu",
			      text(committed_config).c_str(), num(entry.index));
		}
	}

	/* Checks that a majority has the entry on disk: of the configuration at
	 * the entry, or of the one in force, which may be a later one. */
	void check_durable(Node &node, const Entry &entry)
	{
		if (!majority_holds(raft_config_at(node.raft, entry.index),
				    entry) &&
		    !majority_holds(raft_config(node.raft), entry))
			fail("%d: commits %llu without a majority of disks",
			     node.slot, num(entry.index));
	}

	bool majority_holds(const Dsp__RaftConfig *config, const Entry &entry)
	{
		size_t voters = 0;
		size_t holding = 0;

		for (auto [replica, voter] : members_of(config)) {
			const Disk *disk = nullptr;

			if (!voter)
				continue;
			voters++;
			for (auto &other : nodes)
				if (other->disk->replica == replica)
					disk = other->disk.get();
			for (auto &old : lost_disks)
				if (old->replica == replica)
					disk = old.get();
			holding += disk && disk->holds(entry.index, entry.term);
		}
		return holding > voters / 2;
	}

	void send(Node &from, const Dsp__RaftMessage *msg)
	{
		std::string packed(dsp__raft_message__get_packed_size(msg), 0);
		uint64_t to = msg->to;
		int copies = chance(o.duplicate) ? 2 : 1;

		if (from.disabled_incarnation == from.incarnation)
			fail("%d: sends although its disk failed", from.slot);

		dsp__raft_message__pack(msg, (uint8_t *)packed.data());
		messages_sent++;
		if (drop && drop(from, msg))
			return;
		for (int i = 0; i < copies; i++) {
			int64_t delay =
				o.delay_min +
				(int64_t)draw((uint64_t)(o.delay_max -
							 o.delay_min + 1));

			if (chance(o.loss))
				continue;
			if (o.link_bytes_per_ms && !raft_overtakes(msg))
				delay += queue(from.slot, to, packed.size());
			at(delay, [this, slot = from.slot, to, packed] {
				deliver(slot, to, packed);
			});
		}
	}

	/* Returns the time until the link has sent the bytes, too. */
	int64_t queue(int from, uint64_t to, size_t bytes)
	{
		int64_t &free = link_free[{ from, to }];

		free = std::max(free, now) +
		       (int64_t)bytes * ms / o.link_bytes_per_ms;
		return free - now;
	}

	std::map<std::pair<int, uint64_t>, int64_t> link_free;

	void deliver(int from, uint64_t to, const std::string &packed)
	{
		Node *node = find(to);

		if (!node || !node->raft ||
		    cut[(size_t)from][(size_t)node->slot])
			return;
		if (node->frozen || (node->busy && !o.step_during_sync)) {
			if (node->inbox.size() < 500)
				node->inbox.push_back(packed);
			return;
		}
		step(*node, packed);
	}

	void step(Node &node, const std::string &packed)
	{
		Dsp__RaftMessage *msg = dsp__raft_message__unpack(
			NULL, packed.size(), (const uint8_t *)packed.data());

		if (received)
			received(node, msg);
		raft_step(node.raft, msg, now);
		dsp__raft_message__free_unpacked(msg, NULL);
		process(node);
	}

	void drain(Node &node)
	{
		while (node.raft && !node.frozen && !node.inbox.empty() &&
		       (!node.busy || o.step_during_sync) && !failed()) {
			std::string packed = std::move(node.inbox.front());

			node.inbox.pop_front();
			step(node, packed);
		}
	}

	/* Checks that a leader that is cut off steps down. Votes sent before
	 * the cut may still elect it; an election ends after at most two
	 * election timeouts, and without contact it leads for one. */
	void check_cut_off(Node &node)
	{
		int64_t slack = o.delay_max + o.sync_max + 2 * o.tick;
		int64_t since = std::max(node.cut_since, node.leader_since);

		if (node.cut_since < 0 || node.busy)
			return;
		if (now - since > o.election_timeout + slack)
			fail("%d: leads although cut off", node.slot);
		if (node.leader_since - node.cut_since >
		    2 * o.election_timeout + slack)
			fail("%d: elected although cut off", node.slot);
	}

	void observe(Node &node)
	{
		uint64_t term = raft_term(node.raft);
		uint64_t commit = raft_commit_index(node.raft);
		int64_t contact;

		if (commit < node.seen_commit)
			fail("%d: commit index falls", node.slot);
		node.seen_commit = commit;
		if (raft_role(node.raft) != RAFT_LEADER)
			return;
		if (node.leader_term != term) {
			trace("%d leads term %llu", node.slot, num(term));
			node.leader_term = term;
			node.leader_since = now;
		}
		auto [it, added] =
			leader_of_term.emplace(term, node.disk->replica);
		if (!added && it->second != node.disk->replica)
			fail("%d: second leader of term %llu", node.slot,
			     num(term));
		check_cut_off(node);
		/* While a quorum confirms a leader, no other leads a later
		 * term, unless a leadership transfer was started. */
		contact = raft_quorum_contact_us(node.raft);
		if (now - contact >= o.election_timeout ||
		    node.transfer_term == term)
			return;
		for (auto &other : nodes)
			if (other.get() != &node && other->raft &&
			    raft_role(other->raft) == RAFT_LEADER &&
			    raft_term(other->raft) > term)
				fail("%d: confirmed while %d leads a later "
				     "term",
				     node.slot, other->slot);
	}

	std::mt19937_64 random;
	std::priority_queue<Event> events;
	uint64_t next_event = 0;
	uint64_t last_replica = 0;
	std::vector<std::vector<bool>> cut; /* [from][to] */
	std::vector<std::shared_ptr<Disk>> lost_disks;
	std::deque<std::string> recent_events;
	std::string failure;
};

} // namespace sim

#endif
