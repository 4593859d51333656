#include <gtest/gtest.h>

#include "raft_sim.h"

using namespace sim;

namespace
{

constexpr int64_t timeout = 200 * ms;

/* One replica (identity 1); the test builds each message that it receives. */
class Replica
{
      public:
	explicit Replica(const Members &members, uint64_t term = 0,
			 uint64_t voted_for = 0,
			 const std::vector<uint64_t> &entry_terms = {},
			 int64_t election_timeout = timeout,
			 int64_t heartbeat = 40 * ms)
	    : election(election_timeout)
	{
		struct raft_options options = {};
		struct raft_durable_state durable = {};
		Config config = unpack_config(pack_config(members));
		std::vector<Dsp__LogEntry> entries(entry_terms.size());
		std::vector<Dsp__LogEntry *> pointers;

		for (size_t i = 0; i < entries.size(); i++) {
			dsp__log_entry__init(&entries[i]);
			entries[i].index = i + 1;
			entries[i].term = entry_terms[i];
			pointers.push_back(&entries[i]);
		}
		options.replica = 1;
		options.group = 99;
		options.seed = 5;
		options.election_timeout_us = election;
		options.heartbeat_us = heartbeat;
		options.max_batch_bytes = 100000;
		durable.term = term;
		durable.voted_for = voted_for;
		durable.config = config.get();
		durable.entries = pointers.data();
		durable.n_entries = pointers.size();
		raft = raft_new(&options, &durable, now);
	}

	~Replica()
	{
		raft_free(raft);
	}

	Replica(const Replica &) = delete;
	Replica &operator=(const Replica &) = delete;

	/* Carries out all ready batches; returns their messages. */
	std::vector<std::string> flush()
	{
		std::vector<std::string> messages;
		struct raft_ready ready;

		while (raft_take_ready(raft, &ready)) {
			batches++;
			appended += ready.n_append;
			if (ready.hard_state_changed)
				durable_vote = ready.voted_for;
			for (size_t i = 0; i < ready.n_messages; i++)
				messages.push_back(pack(ready.messages[i]));
			raft_advance(raft, &ready, now);
		}
		return messages;
	}

	static std::string pack(const Dsp__RaftMessage *msg)
	{
		std::string packed(dsp__raft_message__get_packed_size(msg), 0);

		dsp__raft_message__pack(msg, (uint8_t *)packed.data());
		return packed;
	}

	Dsp__RaftMessage message(uint64_t from, uint64_t term) const
	{
		Dsp__RaftMessage msg = DSP__RAFT_MESSAGE__INIT;

		msg.from = from;
		msg.to = 1;
		msg.group = 99;
		msg.term = term;
		return msg;
	}

	void request_vote(uint64_t from, uint64_t term, uint64_t last_index,
			  uint64_t last_term, bool pre = false,
			  bool transfer = false)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__VoteRequest body = DSP__VOTE_REQUEST__INIT;

		body.pre = pre;
		body.transfer = transfer;
		body.last_index = last_index;
		body.last_term = last_term;
		msg.body_case = DSP__RAFT_MESSAGE__BODY_VOTE_REQUEST;
		msg.vote_request = &body;
		raft_step(raft, &msg, now);
	}

	void reply_vote(uint64_t from, uint64_t term, bool pre)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__VoteReply body = DSP__VOTE_REPLY__INIT;

		body.pre = pre;
		body.granted = true;
		msg.body_case = DSP__RAFT_MESSAGE__BODY_VOTE_REPLY;
		msg.vote_reply = &body;
		raft_step(raft, &msg, now);
	}

	void acknowledge(uint64_t from, uint64_t term, uint64_t match,
			 int64_t sent)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__AppendReply body = DSP__APPEND_REPLY__INIT;

		body.success = true;
		body.match = match;
		body.sequence = (uint64_t)sent << 12;
		msg.body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REPLY;
		msg.append_reply = &body;
		raft_step(raft, &msg, now);
	}

	void read_contact(uint64_t from, uint64_t term, int64_t sent)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__AppendReply body = DSP__APPEND_REPLY__INIT;

		body.success = true;
		body.sequence = (uint64_t)sent << 12;
		msg.body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REPLY;
		msg.append_reply = &body;
		raft_read_contact(raft, &msg);
	}

	void append(uint64_t from, uint64_t term, uint64_t sequence,
		    uint64_t prev_index = 0, uint64_t prev_term = 0,
		    const std::vector<uint64_t> &entry_terms = {},
		    uint64_t gap = 0)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__AppendRequest body = DSP__APPEND_REQUEST__INIT;
		std::vector<Dsp__LogEntry> entries(entry_terms.size());
		std::vector<Dsp__LogEntry *> pointers;

		for (size_t i = 0; i < entries.size(); i++) {
			dsp__log_entry__init(&entries[i]);
			entries[i].index = prev_index + 1 + i;
			/* The last entry skips this many indexes. */
			if (i + 1 == entries.size())
				entries[i].index += gap;
			entries[i].term = entry_terms[i];
			pointers.push_back(&entries[i]);
		}
		body.prev_index = prev_index;
		body.prev_term = prev_term;
		body.sequence = sequence;
		body.entries = pointers.data();
		body.n_entries = pointers.size();
		msg.body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST;
		msg.append_request = &body;
		raft_step(raft, &msg, now);
	}

	void transfer_request(uint64_t from, uint64_t term, uint64_t sequence)
	{
		Dsp__RaftMessage msg = message(from, term);
		Dsp__TransferRequest body = DSP__TRANSFER_REQUEST__INIT;

		body.sequence = sequence;
		msg.body_case = DSP__RAFT_MESSAGE__BODY_TRANSFER_REQUEST;
		msg.transfer_request = &body;
		raft_step(raft, &msg, now);
	}

	/* Advances the clock past the election timeout; wins the election with
	 * the given voters. */
	void win_election(const std::vector<uint64_t> &voters)
	{
		uint64_t term = raft_term(raft) + 1;

		now += 2 * election;
		raft_tick(raft, now);
		for (uint64_t voter : voters)
			reply_vote(voter, term, true);
		for (uint64_t voter : voters)
			reply_vote(voter, term, false);
	}

	enum raft_role role() const
	{
		return raft_role(raft);
	}

	struct raft *raft;
	int64_t election;
	int64_t now = 1000 * ms;
	int batches = 0;
	size_t appended = 0;
	uint64_t durable_vote = 0;
};

using Message = std::unique_ptr<Dsp__RaftMessage, void (*)(Dsp__RaftMessage *)>;

Message unpack(const std::string &packed)
{
	return Message(
		dsp__raft_message__unpack(NULL, packed.size(),
					  (const uint8_t *)packed.data()),
		[](Dsp__RaftMessage *m) {
			dsp__raft_message__free_unpacked(m, NULL);
		});
}

/* Returns the last vote reply among the messages: 1 granted, 0 refused, -1
 * none. */
int vote_reply(const std::vector<std::string> &messages)
{
	int result = -1;

	for (auto &packed : messages) {
		Message msg = unpack(packed);

		if (msg->body_case == DSP__RAFT_MESSAGE__BODY_VOTE_REPLY)
			result = msg->vote_reply->granted;
	}
	return result;
}

const Members three = { { 1, true }, { 2, true }, { 3, true } };
const Members five = {
	{ 1, true }, { 2, true }, { 3, true }, { 4, true }, { 5, true }
};

Node *elect(Sim &s)
{
	EXPECT_TRUE(s.run_until(3000 * ms, [&] { return s.ready_leader(); }))
		<< s.report();
	return s.ready_leader();
}

Node &other(Sim &s, const Node &node, int step = 1)
{
	return s.node((node.slot + step) % s.o.n);
}

void propose_some(Sim &s, Node &leader, int n)
{
	static int counter;

	for (int i = 0; i < n; i++)
		s.propose(leader, "command " + std::to_string(counter++));
}

bool settle(Sim &s)
{
	return s.run_until(5000 * ms, [&] {
		Node *leader = s.ready_leader();

		return leader &&
		       raft_last_index(leader->raft) == s.reference.size() &&
		       s.all_applied();
	});
}

} // namespace

/* Guards the pre-vote: a follower that is cut off for long does not raise its
 * term, so the leader stays when the follower returns. */
TEST(Raft, ReturningReplicaDoesNotDeposeTheLeader)
{
	Sim s({});
	Node *leader = elect(s);
	uint64_t term = raft_term(leader->raft);

	s.isolate(other(s, *leader).slot, true, true);
	s.run(10000 * ms);
	s.heal();
	s.run(2000 * ms);
	EXPECT_EQ(s.leader(), leader) << s.report();
	EXPECT_EQ(raft_term(leader->raft), term);
}

/* Guards the refusal of votes while a leader is heard: a follower that only the
 * leader cannot reach would otherwise win a pre-vote with the third replica. */
TEST(Raft, ReplicaThatOnlyTheLeaderCannotReachDoesNotDisturb)
{
	Sim s({});
	Node *leader = elect(s);
	uint64_t term = raft_term(leader->raft);

	s.set_cut(leader->slot, other(s, *leader).slot, true);
	s.run(5000 * ms);
	EXPECT_EQ(s.leader(), leader) << s.report();
	EXPECT_EQ(raft_term(leader->raft), term);
	propose_some(s, *leader, 3);
	s.heal();
	EXPECT_TRUE(settle(s)) << s.report();
	EXPECT_EQ(raft_term(leader->raft), term);
}

/* Guards the check-quorum rule: a leader that is cut off in one or both
 * directions steps down, commits nothing, and does not prevent the election of
 * another. */
TEST(Raft, CutOffLeaderStepsDownAndCommitsNothing)
{
	for (int direction = 1; direction <= 3; direction++) {
		Options o;

		o.seed = (uint64_t)direction;
		Sim s(o);
		Node *old = elect(s);

		propose_some(s, *old, 5);
		s.run(100 * ms);
		uint64_t commit = raft_commit_index(old->raft);
		s.isolate(old->slot, direction & 1, direction & 2);
		s.run(1 * ms);
		propose_some(s, *old, 5);
		s.run(3 * timeout + 100 * ms);
		EXPECT_NE(raft_role(old->raft), RAFT_LEADER) << direction;
		Node *leader = s.leader();
		ASSERT_NE(leader, nullptr) << s.report();
		EXPECT_NE(leader, old);
		propose_some(s, *leader, 5);
		s.run(100 * ms);
		EXPECT_GT(raft_commit_index(leader->raft), commit);
		if (direction & 1) {
			EXPECT_EQ(raft_commit_index(old->raft), commit);
		}
		s.heal();
		EXPECT_TRUE(settle(s)) << s.report();
	}
}

/* Guards against a leader that was frozen, resumes and handles queued messages
 * as leader before its first tick. */
TEST(Raft, FrozenLeaderStepsDownBeforeItHandlesMessages)
{
	Replica r(three);

	r.win_election({ 2 });
	ASSERT_EQ(r.role(), RAFT_LEADER);
	r.flush();
	int64_t sent = r.now;
	r.now += 2 * timeout;
	r.acknowledge(2, 1, 1, sent);
	EXPECT_NE(r.role(), RAFT_LEADER);
	EXPECT_EQ(raft_commit_index(r.raft), 0u);
}

/*
 * Guards against leaders that end their own leadership because their process
 * got no processor time: a new leader at 3,000 endpoints proposes thousands of
 * commands and then stands still. The answers that came meanwhile count; a
 * stall of an election timeout or longer still ends the leadership.
 */
TEST(Raft, ShortStallOfTheLeaderIsNotSilenceOfTheOthers)
{
	const std::string route(300, 'r');

	for (bool read : { true, false }) {
		Replica r(three, 0, 0, {}, 500 * ms, 120 * ms);

		r.win_election({ 2 });
		ASSERT_EQ(r.role(), RAFT_LEADER);
		r.flush();
		r.acknowledge(2, 1, 1, r.now);
		for (int i = 0; i < 2000; i++)
			ASSERT_NE(raft_propose(r.raft,
					       (const uint8_t *)route.data(),
					       route.size()),
				  0u);
		r.now += 170 * ms;
		raft_tick(r.raft, r.now);
		r.flush();
		int64_t sent = r.now;
		r.now += 340 * ms;
		if (read)
			r.read_contact(2, 1, sent);
		raft_tick(r.raft, r.now);
		ASSERT_EQ(r.role() == RAFT_LEADER, read);
		r.acknowledge(2, 1, 2001, sent);
		EXPECT_EQ(raft_commit_index(r.raft), read ? 2001u : 1u);
	}
}

/* Guards the bound above against answers that a frozen leader finds: they do
 * not prolong its leadership, and neither do those of another term. */
TEST(Raft, AnswersDoNotProlongALongStall)
{
	Replica r(three, 0, 0, {}, 500 * ms, 120 * ms);

	r.win_election({ 2 });
	ASSERT_EQ(r.role(), RAFT_LEADER);
	r.flush();
	int64_t sent = r.now;
	r.now += 100 * ms;
	raft_tick(r.raft, r.now);
	r.read_contact(2, 2, r.now);
	r.now += 400 * ms;
	r.read_contact(2, 1, sent);
	r.read_contact(2, 1, r.now);
	raft_tick(r.raft, r.now);
	EXPECT_NE(r.role(), RAFT_LEADER);
}

/* Guards against an election that is won by outdated votes, which were queued
 * while the candidate was frozen. */
TEST(Raft, VotesAfterTheEndOfAnElectionDoNotCount)
{
	Replica r(three);

	r.now += 2 * timeout;
	raft_tick(r.raft, r.now);
	r.now += 3 * timeout;
	r.reply_vote(2, 1, true);
	EXPECT_EQ(r.role(), RAFT_PRE_CANDIDATE);
	EXPECT_EQ(raft_term(r.raft), 0u);
}

/* Guards the rule that an entry of an earlier term commits only together with
 * one of the leader's own term: without that it can still be overwritten,
 * although a majority has it. */
TEST(Raft, EntryOfEarlierTermNeedsOneOfTheLeadersTerm)
{
	Replica r(five, 3, 0, { 1, 2 });

	r.win_election({ 2, 3 });
	ASSERT_EQ(r.role(), RAFT_LEADER);
	r.flush();
	r.acknowledge(2, 4, 2, r.now);
	r.acknowledge(3, 4, 2, r.now);
	r.acknowledge(4, 4, 2, r.now);
	EXPECT_EQ(raft_commit_index(r.raft), 0u);
	EXPECT_FALSE(raft_is_ready_leader(r.raft));
	r.acknowledge(2, 4, 3, r.now);
	r.acknowledge(3, 4, 3, r.now);
	EXPECT_EQ(raft_commit_index(r.raft), 3u);
	EXPECT_TRUE(raft_is_ready_leader(r.raft));
}

/* Guards against a second vote in a term, before and after a restart. */
TEST(Raft, VoteIsDurableAndGivenOnce)
{
	Replica r(three);

	r.now += timeout;
	r.request_vote(2, 5, 0, 0);
	EXPECT_EQ(vote_reply(r.flush()), 1);
	EXPECT_EQ(r.durable_vote, 2u);
	r.request_vote(3, 5, 7, 4);
	EXPECT_EQ(vote_reply(r.flush()), 0);

	Replica restarted(three, 5, 2);
	restarted.now += timeout;
	restarted.request_vote(3, 5, 7, 4);
	EXPECT_EQ(vote_reply(restarted.flush()), 0);
	restarted.request_vote(2, 5, 0, 0);
	EXPECT_EQ(vote_reply(restarted.flush()), 1);

	Replica unvoted(three, 5); /* knows the term, has not voted */
	unvoted.now += timeout;
	unvoted.request_vote(3, 5, 7, 4);
	EXPECT_EQ(vote_reply(unvoted.flush()), 1);
	EXPECT_EQ(unvoted.durable_vote, 3u);
}

/* Guards against a leader that lacks committed entries. */
TEST(Raft, OlderLogGetsNoVote)
{
	for (bool pre : { true, false }) {
		Replica r(three, 3, 0, { 1, 3, 3 });

		r.now += timeout;
		r.request_vote(2, 4, 9, 2, pre); /* longer, older term */
		EXPECT_EQ(vote_reply(r.flush()), 0);
		r.request_vote(2, 5, 2, 3, pre); /* same term, shorter */
		EXPECT_EQ(vote_reply(r.flush()), 0);
		r.request_vote(2, 6, 3, 3, pre);
		EXPECT_EQ(vote_reply(r.flush()), 1);
	}
}

/* Guards the promise that a voter makes when it answers a heartbeat: it grants
 * no vote for one election timeout, also after a restart. */
TEST(Raft, RestartedVoterWaitsOneElectionTimeout)
{
	Replica r(three, 3);

	r.now += timeout - 1;
	r.request_vote(2, 4, 0, 0);
	EXPECT_EQ(vote_reply(r.flush()), -1);
	EXPECT_EQ(raft_term(r.raft), 3u);
	r.now += 1;
	r.request_vote(2, 4, 0, 0);
	EXPECT_EQ(vote_reply(r.flush()), 1);
}

/* Guards against a group that cannot elect because a promoted replica does not
 * know yet that it is a voter, and against learners that start elections. */
TEST(Raft, LearnerVotesButNeverCampaigns)
{
	Replica r({ { 1, false }, { 2, true }, { 3, true } });

	EXPECT_EQ(r.role(), RAFT_LEARNER);
	r.now += 10 * timeout;
	raft_tick(r.raft, r.now);
	EXPECT_EQ(r.role(), RAFT_LEARNER);
	EXPECT_TRUE(r.flush().empty());
	r.request_vote(2, 1, 0, 0);
	EXPECT_EQ(vote_reply(r.flush()), 1);
}

/* Guards against a commit for which a learner's acknowledgement is counted. */
TEST(Raft, LearnerDoesNotCountForTheQuorum)
{
	Replica r({ { 1, true },
		    { 2, true },
		    { 3, true },
		    { 4, false },
		    { 5, false } });

	r.win_election({ 2 });
	r.flush();
	r.acknowledge(4, 1, 1, r.now);
	r.acknowledge(5, 1, 1, r.now);
	EXPECT_EQ(raft_commit_index(r.raft), 0u);
	EXPECT_EQ(raft_quorum_contact_us(r.raft), 0);
	r.acknowledge(3, 1, 1, r.now);
	EXPECT_EQ(raft_commit_index(r.raft), 1u);
}

/* Guards against a leader that counts as silent while a large entry is on its
 * way to the voters. */
TEST(Raft, SignOfLifeOvertakesALargeEntry)
{
	Replica r({ { 1, true }, { 2, true }, { 3, true } });
	const std::string large(100000, 'x');
	std::vector<Message> sent;

	r.win_election({ 2 });
	r.flush();
	for (uint64_t member : { 2, 3 })
		r.acknowledge(member, 1, 1, r.now);
	r.flush();
	raft_propose(r.raft, (const uint8_t *)large.data(), large.size());
	for (auto &packed : r.flush())
		if (unpack(packed)->to == 2)
			sent.push_back(unpack(packed));
	ASSERT_EQ(sent.size(), 2u);
	EXPECT_TRUE(raft_overtakes(sent[0].get()));
	EXPECT_FALSE(raft_overtakes(sent[1].get()));
	EXPECT_EQ(sent[1]->append_request->n_entries, 1u);
}

/* Guards against a leader whose work for each entry grows with the learners. */
TEST(Raft, LearnerGetsEntriesTogetherWithTheNextHeartbeat)
{
	Replica r({ { 1, true }, { 2, true }, { 3, true }, { 4, false } });
	size_t n_messages = 0;
	size_t n_entries = 0;
	auto propose = [&](int n) {
		for (int i = 0; i < n; i++)
			raft_propose(r.raft, (const uint8_t *)"x", 1);
		for (auto &packed : r.flush()) {
			Message msg = unpack(packed);

			if (msg->to != 4)
				continue;
			n_messages++;
			n_entries += msg->append_request->n_entries;
		}
	};

	r.win_election({ 2 });
	propose(0);
	for (uint64_t member : { 2, 3, 4 })
		r.acknowledge(member, 1, 1, r.now);
	propose(0);
	n_messages = n_entries = 0;
	for (int i = 0; i < 9; i++) {
		r.now += ms;
		raft_tick(r.raft, r.now);
		propose(1);
	}
	EXPECT_EQ(n_messages, 0u);
	r.now += 40 * ms;
	raft_tick(r.raft, r.now);
	propose(0);
	EXPECT_EQ(n_messages, 1u);
	EXPECT_EQ(n_entries, 9u);
	/* One that lags behind does not wait. */
	propose(32);
	EXPECT_EQ(n_entries, 9u + 32u);
}

/* Guards against two majorities without a common member: a change concerns
 * one voter only, and is accepted only after an entry of the leader's own term
 * and the last change are committed. */
TEST(Raft, ConfigurationChangesOneVoterAtATime)
{
	Replica r(three);
	auto propose = [&](const Members &members) {
		Config config = unpack_config(pack_config(members));

		return raft_propose_config(r.raft, config.get());
	};
	const Members four = {
		{ 1, true }, { 2, true }, { 3, true }, { 4, true }
	};

	EXPECT_EQ(propose(four), 0u); /* not the leader */
	r.win_election({ 2 });
	r.flush();
	EXPECT_EQ(propose(four), 0u); /* no entry of its term committed */
	r.acknowledge(2, 1, 1, r.now);
	r.flush();
	EXPECT_EQ(propose(five), 0u);
	EXPECT_EQ(propose({ { 1, true }, { 2, true }, { 4, true } }), 0u);
	EXPECT_EQ(propose({}), 0u);
	EXPECT_EQ(propose(four), 2u);
	EXPECT_TRUE(raft_config_pending(r.raft));
	EXPECT_EQ(propose(five), 0u); /* the last one is pending */
	r.flush();
	r.acknowledge(2, 1, 2, r.now);
	EXPECT_TRUE(raft_config_pending(r.raft)); /* needs 3 of 4 */
	r.acknowledge(3, 1, 2, r.now);
	EXPECT_FALSE(raft_config_pending(r.raft));
}

/* Guards against messages from replicas that are no members or are in another
 * group, and against messages to the identity that a replica had before it lost
 * its disk. */
TEST(Raft, MessagesFromOutsideTheGroupDoNotChangeTheTerm)
{
	Replica r(three);

	r.win_election({ 2 });
	r.flush();
	r.acknowledge(9, 50, 1, r.now); /* no member */
	EXPECT_EQ(r.role(), RAFT_LEADER);
	EXPECT_EQ(raft_term(r.raft), 1u);

	Dsp__RaftMessage msg = r.message(2, 50);
	Dsp__AppendReply body = DSP__APPEND_REPLY__INIT;
	msg.body_case = DSP__RAFT_MESSAGE__BODY_APPEND_REPLY;
	msg.append_reply = &body;
	msg.group = 98; /* another group */
	raft_step(r.raft, &msg, r.now);
	msg.group = 99;
	msg.to = 7; /* the identity before the disk was lost */
	raft_step(r.raft, &msg, r.now);
	EXPECT_EQ(raft_term(r.raft), 1u);
	msg.to = 1;
	raft_step(r.raft, &msg, r.now);
	EXPECT_EQ(raft_term(r.raft), 50u);
}

/* Guards group commit: proposals of one loop iteration share one batch, one
 * sync and one message for each peer. */
TEST(Raft, ProposalsOfOneIterationShareOneBatch)
{
	Replica r(three);

	r.win_election({ 2 });
	r.flush();
	r.acknowledge(2, 1, 1, r.now);
	r.acknowledge(3, 1, 1, r.now);
	r.flush();
	r.batches = 0;
	r.appended = 0;
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(raft_propose(r.raft, (const uint8_t *)"x", 1),
			  2u + (uint64_t)i);
	EXPECT_EQ(r.flush().size(), 2u);
	EXPECT_EQ(r.batches, 1);
	EXPECT_EQ(r.appended, 100u);
}

/* Guards against an acknowledgement before the sync: the leader does not count
 * its own unsynced entry, and a follower's reply is in the same batch as the
 * entry. */
TEST(Raft, NothingIsAcknowledgedBeforeTheSync)
{
	Replica leader(three);
	struct raft_ready ready;

	leader.win_election({ 2 });
	ASSERT_TRUE(raft_take_ready(leader.raft, &ready));
	leader.acknowledge(2, 1, 1, leader.now);
	EXPECT_EQ(raft_commit_index(leader.raft), 0u);
	raft_advance(leader.raft, &ready, leader.now);
	EXPECT_EQ(raft_commit_index(leader.raft), 1u);

	Replica follower(three);
	follower.append(2, 1, 1, 0, 0, { 1 });
	ASSERT_TRUE(raft_take_ready(follower.raft, &ready));
	EXPECT_EQ(ready.n_append, 1u);
	EXPECT_EQ(ready.n_messages, 1u);
	/* The reply to the next entry waits for the next batch. */
	follower.append(2, 1, 2, 1, 1, { 1 });
	EXPECT_EQ(ready.n_messages, 1u);
	struct raft_ready second;
	EXPECT_FALSE(raft_take_ready(follower.raft, &second));
	raft_advance(follower.raft, &ready, follower.now);
	ASSERT_TRUE(raft_take_ready(follower.raft, &second));
	EXPECT_EQ(second.n_append, 1u);
	EXPECT_EQ(second.append[0]->index, 2u);
	EXPECT_EQ(second.n_messages, 1u);
	raft_advance(follower.raft, &second, follower.now);
}

/* Guards the split of messages at the sync: entries may be sent before it;
 * votes, acknowledgements and all messages of a term that is not durable yet
 * may not. */
TEST(Raft, OnlyMessagesOfADurableTermAreSentBeforeTheSync)
{
	Replica r(three);
	struct raft_ready ready;

	r.now += 2 * timeout;
	raft_tick(r.raft, r.now);
	r.reply_vote(2, 1, true);
	ASSERT_EQ(r.role(), RAFT_CANDIDATE);
	ASSERT_TRUE(raft_take_ready(r.raft, &ready));
	EXPECT_TRUE(ready.hard_state_changed);
	EXPECT_EQ(ready.n_before_sync, 0u);
	raft_advance(r.raft, &ready, r.now);
	r.reply_vote(2, 1, false);
	r.request_vote(3, 1, 0, 0); /* refused, by a reply */
	ASSERT_EQ(r.role(), RAFT_LEADER);
	ASSERT_TRUE(raft_take_ready(r.raft, &ready));
	EXPECT_EQ(ready.n_before_sync, 2u);
	EXPECT_EQ(ready.n_messages, 3u);
	EXPECT_EQ(ready.messages[2]->body_case,
		  DSP__RAFT_MESSAGE__BODY_VOTE_REPLY);
	raft_advance(r.raft, &ready, r.now);

	Replica one({ { 1, true }, { 4, false } });
	raft_tick(one.raft, one.now);
	ASSERT_TRUE(raft_take_ready(one.raft, &ready));
	EXPECT_TRUE(ready.hard_state_changed);
	EXPECT_GT(ready.n_messages, 0u);
	EXPECT_EQ(ready.n_before_sync, 0u);
	raft_advance(one.raft, &ready, one.now);
}

/* Guards against malformed messages: if the terms of entries decrease or exceed
 * the term of the message, all its entries are dropped. */
TEST(Raft, MalformedEntriesAreDropped)
{
	Replica r(three);

	r.append(2, 3, 1, 0, 0, { 2, 1 });
	EXPECT_EQ(raft_last_index(r.raft), 0u);
	r.append(2, 3, 1, 0, 0, { 4 });
	EXPECT_EQ(raft_last_index(r.raft), 0u);
	/* Gaps in the indexes: after the first entry, and before it. */
	r.append(2, 3, 1, 0, 0, { 1, 3 }, 1);
	EXPECT_EQ(raft_last_index(r.raft), 0u);
	r.append(2, 3, 1, 0, 0, { 1 }, 1);
	EXPECT_EQ(raft_last_index(r.raft), 0u);
	r.append(2, 3, 1, 0, 0, { 1, 3 });
	EXPECT_EQ(raft_last_index(r.raft), 2u);
}

/* Guards the conflict hint of a refused append: a follower with many
 * conflicting entries catches up in a few round trips, not one per entry. */
TEST(Raft, ConflictingTermIsSkippedAtOnce)
{
	Options o;

	o.max_batch_bytes = 1 << 20;
	Sim s(o);
	Node *old = elect(s);
	int refusals = 0;

	propose_some(s, *old, 3);
	s.run(100 * ms);
	/* The old leader's entries reach nobody. */
	s.isolate(old->slot, true, true);
	propose_some(s, *old, 1000);
	ASSERT_TRUE(s.run_until(3000 * ms, [&] {
		return s.ready_leader() && s.ready_leader() != old;
	}));
	/* The third replica leads with other entries at the same indexes. */
	Node *interim = s.ready_leader();
	propose_some(s, *interim, 1000);
	s.run(100 * ms);
	s.transfer(*interim,
		   s.node(3 - old->slot - interim->slot).disk->replica);
	s.run(100 * ms);
	s.drop = [&](Node &, const Dsp__RaftMessage *msg) {
		refusals += msg->body_case ==
				    DSP__RAFT_MESSAGE__BODY_APPEND_REPLY &&
			    !msg->append_reply->success;
		return false;
	};
	s.heal();
	EXPECT_TRUE(settle(s)) << s.report();
	EXPECT_GE(refusals, 1);
	EXPECT_LE(refusals, 4);
}

/* Guards against a group that ignores a replica with a higher term forever: the
 * leader must learn the term, and the replica take part again. */
TEST(Raft, ReplicaWithHigherTermTakesPartAgain)
{
	Sim s({});
	Node *leader = elect(s);
	Node &ahead = other(s, *leader);

	s.crash(ahead);
	propose_some(s, *leader, 5);
	s.run(100 * ms);
	ahead.disk->term += 5;
	s.start(ahead);
	EXPECT_TRUE(settle(s)) << s.report();
}

/* Guards the transfer of a snapshot in chunks over a lossy network by a
 * restarted leader, which first has to request the snapshot from its caller;
 * and against duplicate replies that multiply the chunks in transit. */
TEST(Raft, SnapshotReachesALateFollower)
{
	Options o;

	o.seed = 4;
	o.max_batch_bytes = 1000;
	o.snapshot_bytes = 100000;
	Sim s(o);
	Node *leader = elect(s);
	Node &late = other(s, *leader);
	int chunks = 0;

	s.crash(late);
	for (int i = 0; i < 30; i++) {
		propose_some(s, *leader, 100);
		s.run(10 * ms);
	}
	for (int i = 0; i < 2; i++) {
		Node &node = i ? other(s, late) : other(s, late, 2);

		s.snapshot(node);
		s.crash(node);
		s.start(node);
	}
	leader = elect(s);
	s.o.loss = 0.1;
	s.o.duplicate = 0.3;
	s.drop = [&](Node &, const Dsp__RaftMessage *msg) {
		chunks += msg->body_case ==
			  DSP__RAFT_MESSAGE__BODY_SNAPSHOT_CHUNK;
		return false;
	};
	s.start(late);
	EXPECT_TRUE(s.run_until(20000 * ms, [&] {
		return s.snapshots_installed;
	})) << s.report();
	EXPECT_GE(chunks, 100);
	EXPECT_LE(chunks, 300); /* 101 chunks, each way loses 10% */
	s.o.loss = 0;
	EXPECT_TRUE(settle(s)) << s.report();
	EXPECT_EQ(s.snapshots_installed, 1u);
}

/* Guards against a snapshot transfer that restarts whenever the leader takes a
 * new snapshot: under load it would never finish. */
TEST(Raft, NewSnapshotsDoNotRestartATransfer)
{
	Options o;

	o.max_batch_bytes = 1000;
	o.snapshot_bytes = 200000;
	o.snapshot_every = 50;
	Sim s(o);
	Node *leader = elect(s);
	Node &late = other(s, *leader);

	s.crash(late);
	for (int i = 0; i < 30; i++) {
		propose_some(s, *leader, 100);
		s.run(10 * ms);
	}
	s.start(late);
	for (int i = 0; i < 60 && !s.snapshots_installed; i++) {
		propose_some(s, *leader, 50);
		s.run(10 * ms);
	}
	EXPECT_GE(s.snapshots_installed, 1u) << s.report();
	EXPECT_TRUE(settle(s)) << s.report();
	/* The leader kept the entries that follow the snapshot. */
	EXPECT_EQ(s.snapshots_installed, 1u);
}

/* Guards against needless traffic to a dead peer: it gets heartbeats, but
 * entries are not sent to it repeatedly and no snapshot is made for it. */
TEST(Raft, DeadPeerGetsHeartbeatsOnly)
{
	Sim s({});
	Node *leader = elect(s);
	Node &dead = other(s, *leader);
	size_t entries = 0;
	size_t heartbeats = 0;

	s.crash(dead);
	leader->disk->snapshot.data.size();
	propose_some(s, *leader, 20);
	s.run(1000 * ms);
	/* A new leader that probes. */
	s.crash(*leader);
	s.start(*leader);
	leader = elect(s);
	s.drop = [&](Node &, const Dsp__RaftMessage *msg) {
		if (msg->to != dead.disk->replica ||
		    msg->body_case != DSP__RAFT_MESSAGE__BODY_APPEND_REQUEST)
			return false;
		entries += msg->append_request->n_entries;
		heartbeats++;
		return false;
	};
	propose_some(s, *leader, 20);
	s.run(4000 * ms);
	EXPECT_LE(entries, 22u);
	EXPECT_GE(heartbeats, 50u);
	EXPECT_LE(heartbeats, 130u);
}

/* Guards against a large entry that makes the leader look silent: it takes
 * longer than an election timeout on each link. */
TEST(Raft, LargeEntryDoesNotCostTheLeader)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		Options o;

		o.seed = seed;
		o.n = 5;
		o.link_bytes_per_ms = 1000;
		Sim s(o);
		Node *leader = elect(s);
		uint64_t term = raft_term(leader->raft);

		for (int i = 0; i < 3; i++) {
			s.propose(*leader,
				  std::string(1500000, (char)('a' + i)));
			propose_some(s, *leader, 3);
			s.run(2000 * ms);
			EXPECT_EQ(s.ready_leader(), leader);
			EXPECT_EQ(raft_term(leader->raft), term);
		}
		EXPECT_TRUE(settle(s)) << s.report();
	}
}

/* Guards leadership transfer: the target takes over with all entries, and does
 * so without an election timeout, although the others still hear the leader. */
TEST(Raft, TransferMovesLeadershipAtOnce)
{
	Sim s({});
	Node *old = elect(s);
	Node &target = other(s, *old);

	propose_some(s, *old, 10);
	s.transfer(*old, target.disk->replica);
	EXPECT_EQ(s.propose(*old, "refused"), 0u);
	EXPECT_TRUE(s.run_until(20 * ms, [&] {
		return s.ready_leader() == &target;
	})) << s.report();
	EXPECT_TRUE(settle(s));
	EXPECT_EQ(s.commands.size(), 10u);

	/* A transfer to a dead replica ends after one election timeout. */
	Node &dead = other(s, target);
	s.crash(dead);
	s.transfer(target, dead.disk->replica);
	s.run(timeout + 50 * ms);
	EXPECT_NE(s.propose(target, "accepted"), 0u);
}

/* Guards against a delayed transfer request that the leader has given up: a
 * request older than the last heartbeat is ignored. */
TEST(Raft, OutdatedTransferRequestIsIgnored)
{
	Replica r(three);

	r.append(2, 1, 100);
	r.append(2, 1, 300);
	r.transfer_request(2, 1, 200);
	EXPECT_EQ(r.role(), RAFT_FOLLOWER);
	r.transfer_request(3, 1, 400); /* not the leader */
	EXPECT_EQ(r.role(), RAFT_FOLLOWER);
	r.transfer_request(2, 1, 400);
	EXPECT_EQ(r.role(), RAFT_CANDIDATE);
	EXPECT_EQ(raft_term(r.raft), 2u);
}

/* Guards the removal of the leader itself: it transfers leadership once the
 * change is committed and does not disturb the group afterwards. */
TEST(Raft, RemovedLeaderTransfersLeadership)
{
	Sim s({});
	Node *old = elect(s);
	Members members = s.committed_config;
	uint64_t term = raft_term(old->raft);

	members.erase(old->disk->replica);
	ASSERT_NE(s.propose_members(*old, members), 0u);
	EXPECT_TRUE(s.run_until(30 * ms, [&] {
		return s.ready_leader() && s.ready_leader() != old;
	})) << s.report();
	s.run(5000 * ms);
	EXPECT_EQ(s.committed_config, members);
	EXPECT_EQ(raft_role(old->raft), RAFT_LEARNER);
	EXPECT_EQ(raft_term(s.leader()->raft), term + 1);
}

/* Guards the repair of a lost disk, then the loss of a second one right after
 * it: the two remaining replicas have every committed entry and continue. */
TEST(Raft, SecondDiskLostRightAfterTheRepair)
{
	Options o;

	o.snapshot_every = 30;
	Sim s(o);
	Node *leader = elect(s);
	Node &first = other(s, *leader);
	Node &second = other(s, *leader, 2);
	uint64_t old = first.disk->replica;
	Members members = s.committed_config;
	auto change = [&] {
		ASSERT_NE(s.propose_members(*leader, members), 0u);
		ASSERT_TRUE(s.run_until(2000 * ms, [&] {
			return s.committed_config == members;
		})) << s.report();
	};

	propose_some(s, *leader, 500);
	s.run(500 * ms);
	s.lose_disk(first);
	EXPECT_EQ(raft_role(first.raft), RAFT_LEARNER);
	members[first.disk->replica] = false;
	change();
	ASSERT_TRUE(s.run_until(5000 * ms, [&] {
		return raft_match_index(leader->raft, first.disk->replica) >=
		       raft_commit_index(leader->raft);
	})) << s.report();
	members.erase(old);
	change();
	members[first.disk->replica] = true;
	change();
	propose_some(s, *leader, 50);
	s.run(20 * ms);
	s.lose_disk(second);
	propose_some(s, *leader, 50);
	s.run(500 * ms);
	EXPECT_EQ(s.commands.size(), 600u) << s.report();
	EXPECT_EQ(first.applied, s.reference.size());
	EXPECT_FALSE(s.failed()) << s.report();
}

/* Guards against a replica that still votes, leads or acknowledges after its
 * disk failed. */
TEST(Raft, DisabledReplicaDoesNothing)
{
	Replica r(three);
	struct raft_ready ready;

	r.win_election({ 2 });
	raft_propose(r.raft, (const uint8_t *)"x", 1);
	ASSERT_TRUE(raft_take_ready(r.raft, &ready));
	raft_disable(r.raft); /* its write failed */
	EXPECT_NE(r.role(), RAFT_LEADER);
	EXPECT_EQ(raft_propose(r.raft, (const uint8_t *)"x", 1), 0u);
	r.now += 10 * timeout;
	raft_tick(r.raft, r.now);
	r.append(2, 5, 1, 0, 0, { 1 });
	r.request_vote(3, 9, 100, 8);
	EXPECT_FALSE(raft_take_ready(r.raft, &ready));
	EXPECT_EQ(raft_commit_index(r.raft), 0u);
	EXPECT_EQ(raft_term(r.raft), 1u);

	/* The write of a snapshot failed between two batches. */
	Replica idle(three, 3);
	raft_disable(idle.raft);
	idle.now += 10 * timeout;
	raft_tick(idle.raft, idle.now);
	idle.append(2, 5, 1, 0, 0, { 1 });
	idle.request_vote(3, 9, 100, 8);
	EXPECT_TRUE(idle.flush().empty());
	EXPECT_EQ(raft_term(idle.raft), 3u);
}

/* Guards a group of one voter: it leads without an election timeout or peer. */
TEST(Raft, SingleVoterLeadsAtOnce)
{
	Replica r({ { 1, true } });

	raft_tick(r.raft, r.now);
	r.flush();
	EXPECT_TRUE(raft_is_ready_leader(r.raft));
	EXPECT_EQ(raft_propose(r.raft, (const uint8_t *)"x", 1), 2u);
	r.flush();
	EXPECT_EQ(raft_commit_index(r.raft), 2u);
	EXPECT_EQ(raft_quorum_contact_us(r.raft), r.now);
}
