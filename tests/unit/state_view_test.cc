#include "state_util.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <set>

/*
 * Documents, suspects, nodes, snapshots and views of the replicated state,
 * checked against a simple reference model.
 *
 * Run: build/unit/state_view_test [--gtest_filter=...]; set STATE_SEED=n to
 * run one seed only.
 */
namespace
{

const Dsp__ResultCode OK = DSP__RESULT_CODE__RESULT_OK;
const Dsp__ResultCode SAME = DSP__RESULT_CODE__RESULT_SAME;
const Dsp__ResultCode CONFLICT = DSP__RESULT_CODE__RESULT_CONFLICT;
const Dsp__ResultCode INVALID = DSP__RESULT_CODE__RESULT_INVALID;

constexpr uint64_t QUARANTINE_MS = 20000;

const struct st_limits limits = {
	100, 1000, 100, 40000, (int64_t)QUARANTINE_MS,
};

/* Reference record of a document that was accepted. */
struct DocumentRecord {
	std::string text;
	uint64_t index;
};

/* Reference record of a suspect: a request that was in a crash report. */
struct SuspectRecord {
	bool quarantined = false;
	uint64_t since_ms = 0;	       /* start of suspicion or quarantine */
	std::string endpoint, attempt; /* of the run under way, or empty */
	uint64_t incarnation = 0;
};

/* Applies random commands and keeps the reference records. */
class Simulation
{
      public:
	explicit Simulation(Trace *trace) : r(&limits), trace(trace)
	{
		for (const char *id : { "runner0", "runner1" })
			announce(id, ++last_incarnation);
	}

	void step(const Step &s)
	{
		std::string ep = s.a % 2 ? "runner0" : "runner1";
		char digest = (char)('a' + s.b % 4);

		expire_suspects();
		switch (s.op % 12) {
		case 0:
		case 1:
			put_next_document(s.a, s.b, s.c);
			break;
		case 2:
		case 3:
			crash(ep, s.b, s.c);
			break;
		case 4:
		case 5:
			run_suspect(ep, digest, s.c);
			break;
		case 6:
			finish_suspect(digest, s.c);
			break;
		case 7:
			if (s.b % 3 == 0)
				endpoint_is_down(r, ep, incarnations[ep]);
			else if (s.b % 3 == 1)
				announce(ep, incarnations[ep]);
			else
				announce(ep, ++last_incarnation);
			break;
		case 8:
			if (s.b % 2)
				put_node(r, node_name(s.a), s.c % 3);
			else
				node_is_down(r, node_name(s.a), s.c % 3);
			break;
		case 9:
			r.wall_ms += s.c % 64 ? s.b % 4000 : 3700000;
			expire(r);
			note("time passes");
			break;
		case 10:
			r.restore();
			break;
		default:
			if (s.b % 2)
				r.update_view();
			else
				r.update_relayed_view();
		}
		expire_suspects();
		compare();
	}

	void check_replicas()
	{
		if (failure.empty())
			failure = r.check();
	}

	std::string failure;

      private:
	void note(const std::string &line)
	{
		if (trace)
			trace->push_back(line);
	}

	void fail(const std::string &text)
	{
		if (failure.empty())
			failure = text;
	}

	static std::string node_name(uint32_t a)
	{
		return "entry-" + std::to_string(a % 5);
	}

	void announce(const std::string &id, uint64_t incarnation)
	{
		Dsp__Endpoint msg = DSP__ENDPOINT__INIT;
		std::string team = "verband", service = "kellerrat";

		msg.id = str(id);
		msg.incarnation = incarnation;
		msg.team = str(team);
		msg.service = str(service);
		if (incarnation != incarnations[id])
			for (auto &s : suspects)
				if (s.second.endpoint == id)
					quarantine(s.second);
		incarnations[id] = incarnation;
		put_endpoint(r, &msg);
		note("announcement of " + id + " as " +
		     std::to_string(incarnation));
	}

	/*
	 * Puts a document whose number is between two below the next number
	 * and one above it. Its text is new, invalid, or that of the accepted
	 * document with this number.
	 */
	void put_next_document(uint32_t a, uint32_t b, uint32_t c)
	{
		uint64_t number = documents.size() + 2 - b % 4;
		std::string text = document_text(
			number, c % 2,
			{ { "m" + std::to_string(c % 3), 1, 1 } });
		const DocumentRecord *old = nullptr;

		if (!number)
			return;
		if (a % 16 == 0)
			text += "nonsense = 1\n";
		if (number <= documents.size())
			old = &documents[number - 1];
		if (old && c % 4 == 0)
			text = old->text; /* a resend */
		Result res = put_document(r, "verband", number, text);
		note("document " + std::to_string(number) + ": code " +
		     std::to_string(res->code));
		if (old && old->text == text) {
			if (res->code != SAME || res->index != old->index)
				fail("resend is not recognised");
		} else if (number != documents.size() + 1) {
			if (res->code != CONFLICT ||
			    res->number != documents.size())
				fail("no conflict reported with the number in "
				     "force");
		} else if (a % 16 == 0) {
			if (res->code != INVALID ||
			    !strstr(res->message, "nonsense"))
				fail("invalid document is accepted");
		} else {
			if (res->code != OK)
				fail("next document is not accepted");
			documents.push_back({ text, r.index });
		}
	}

	void quarantine(SuspectRecord &s)
	{
		s.quarantined = true;
		s.since_ms = r.wall_ms;
		s.endpoint.clear();
	}

	void expire_suspects()
	{
		for (auto at = suspects.begin(); at != suspects.end();)
			if (at->second.since_ms + QUARANTINE_MS <= r.wall_ms)
				at = suspects.erase(at);
			else
				++at;
	}

	void crash(const std::string &ep, uint32_t b, uint32_t c)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__CrashReport report = DSP__CRASH_REPORT__INIT;
		std::vector<std::string> digests;
		std::vector<ProtobufCBinaryData> data;
		/* Sometimes a late report of the incarnation before. */
		uint64_t incarnation = incarnations[ep] - (c % 4 == 0);

		for (char d = 'a'; d < 'e'; d++) {
			if (b & 1)
				digests.push_back(std::string(16, d));
			b >>= 1;
		}
		for (std::string &d : digests) {
			SuspectRecord fresh;

			data.push_back({ 16, (uint8_t *)&d[0] });
			fresh.since_ms = r.wall_ms;
			auto at = suspects.insert({ d[0], fresh });
			SuspectRecord &s = at.first->second;
			if (s.endpoint == ep && s.incarnation == incarnation)
				quarantine(s);
		}
		report.endpoint = str(ep);
		report.incarnation = incarnation;
		report.digests = data.data();
		report.n_digests = data.size();
		cmd.body_case = DSP__COMMAND__BODY_CRASH_REPORT;
		cmd.crash_report = &report;
		r.apply(&cmd);
		note("crash of " + ep + " with " +
		     std::to_string(digests.size()) + " requests");
	}

	void run_suspect(const std::string &ep, char digest, uint32_t c)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__SuspectRun run = DSP__SUSPECT_RUN__INIT;
		std::string bytes(16, digest);
		std::string attempt = "attempt" + std::to_string(c % 3);
		auto at = suspects.find(digest);
		bool busy = false, granted;

		run.digest.data = (uint8_t *)&bytes[0];
		run.digest.len = 16;
		run.endpoint = str(ep);
		run.incarnation = incarnations[ep];
		run.attempt = str(attempt);
		cmd.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
		cmd.suspect_run = &run;
		for (const auto &s : suspects)
			busy = busy || s.second.endpoint == ep;
		Result res = r.apply(&cmd);
		granted = res->code == OK;
		note("run of " + bytes + " on " + ep + ": code " +
		     std::to_string(res->code));
		const Dsp__Endpoint *known =
			st_endpoint(r.st.get(), ep.c_str());
		bool usable = known &&
			      known->state == DSP__ENDPOINT_STATE__ENDPOINT_UP;
		if (granted !=
		    (at != suspects.end() && usable && !busy &&
		     !at->second.quarantined && at->second.endpoint.empty()))
			fail(granted ? "suspect was granted a run against the "
				       "rules"
				     : "suspect was refused a run without a "
				       "reason");
		if (granted) {
			at->second.endpoint = ep;
			at->second.incarnation = incarnations[ep];
			at->second.attempt = attempt;
		}
	}

	void finish_suspect(char digest, uint32_t c)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__SuspectDone body = DSP__SUSPECT_DONE__INIT;
		std::string bytes(16, digest);
		std::string attempt = "attempt" + std::to_string(c % 3);
		auto at = suspects.find(digest);

		body.digest.data = (uint8_t *)&bytes[0];
		body.digest.len = 16;
		body.attempt = str(attempt);
		cmd.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
		cmd.suspect_done = &body;
		r.apply(&cmd);
		note("end of " + bytes);
		if (at != suspects.end() && !at->second.quarantined &&
		    !at->second.endpoint.empty() &&
		    at->second.attempt == attempt)
			suspects.erase(at);
	}

	void compare()
	{
		const Dsp__Document *d = st_document(r.st.get(), "verband");
		const Dsp__Suspect **all;
		size_t n = st_suspects(r.st.get(), &all);

		if (d ? documents.empty() || d->text != documents.back().text
		      : !documents.empty())
			fail("document in force differs");
		if (n != suspects.size())
			fail("number of suspects differs");
		for (size_t i = 0; i < n; i++) {
			auto at = suspects.find((char)all[i]->digest.data[0]);

			if (at == suspects.end() ||
			    (bool)all[i]->quarantined !=
				    at->second.quarantined ||
			    all[i]->running_endpoint != at->second.endpoint)
				fail("suspect differs");
		}
		free(all);
		if (++steps % 8 == 0 && failure.empty())
			failure = r.check();
		if (!r.failure.empty())
			fail(r.failure);
	}

	Replicas r;
	Trace *trace;
	std::vector<DocumentRecord> documents;
	std::map<char, SuspectRecord> suspects;
	std::map<std::string, uint64_t> incarnations;
	uint64_t last_incarnation = 100, steps = 0;
};

std::string run_history(uint64_t seed, const Steps &steps, Trace *trace)
{
	Simulation simulation(trace);

	(void)seed;
	for (const Step &s : steps) {
		simulation.step(s);
		if (!simulation.failure.empty())
			return simulation.failure;
	}
	simulation.check_replicas();
	return simulation.failure;
}

void add_nodes(Replicas &r, size_t n)
{
	for (size_t i = 0; i < n; i++)
		put_node(r, "entry-" + std::to_string(i), 1);
}

} // namespace

/*
 * Guards section 7 of docs/design.md (compare-and-set on the document number,
 * resends, concurrent puts of one number), section 10 (one suspect per
 * endpoint, quarantine of the granted suspect only, expiry), view deltas with
 * tombstones through a relay, and snapshots.
 */
TEST(StateView, HistoriesMatchTheReferenceModel)
{
	run_histories(600, 120, run_history);
}

/*
 * Guards against a resend of an earlier document that is reported as a conflict
 * because only the number in force is compared.
 */
TEST(StateView, ResendOfTheLast256DocumentsIsRecognised)
{
	Replicas r;
	std::vector<uint64_t> indexes;
	auto text = [](uint64_t n) { return document_text(n, true, {}); };

	for (uint64_t n = 1; n <= 300; n++) {
		ASSERT_EQ(put_document(r, "verband", n, text(n))->code, OK);
		indexes.push_back(r.index);
	}
	r.restore();
	EXPECT_EQ(r.check(), "");
	for (uint64_t n = 45; n <= 300; n++) {
		Result res = put_document(r, "verband", n, text(n));

		EXPECT_EQ(res->code, SAME);
		EXPECT_EQ(res->index, indexes[n - 1]);
	}
	EXPECT_EQ(put_document(r, "verband", 44, text(44))->code, CONFLICT);
}

/*
 * Guards against a relay that reverts or skips records: a view rejects an
 * update that is older than itself or leaves a gap after its index.
 */
TEST(StateView, UpdateThatDoesNotFollowIsRefused)
{
	Replicas r;
	add_nodes(r, 3);
	Update early = own(st_view_since(r.st.get(), 0));
	uint64_t at = r.index;
	add_nodes(r, 4);
	Update delta = own(st_view_since(r.st.get(), at));
	View empty(view_new_empty(), view_unref);
	View late(view_apply(empty.get(),
			     own(st_view_since(r.st.get(), 0)).get()),
		  view_unref);

	ASSERT_TRUE(late);
	EXPECT_EQ(view_n_nodes(late.get()), 4u);
	EXPECT_EQ(view_apply(empty.get(), delta.get()), nullptr);
	EXPECT_EQ(view_apply(late.get(), early.get()), nullptr);
}

/*
 * Guards against copies of unchanged records in a new view, and against a
 * record that is freed while an older view still refers to it.
 */
TEST(StateView, UnchangedRecordsAreShared)
{
	Replicas r;
	View old(view_new_empty(), view_unref);

	put_document(r, "verband", 1, document_text(1, true, {}));
	add_nodes(r, 2);
	r.update_view();
	const Dsp__Node *node = view_node(r.view.get(), "entry-0");
	const struct view_document *document =
		view_document(r.view.get(), "verband");
	const struct doc *parsed = document->parsed;
	old.reset(view_ref(r.view.get()));
	put_node(r, "entry-1", 2);
	r.update_view();
	EXPECT_EQ(view_node(r.view.get(), "entry-0"), node);
	EXPECT_EQ(view_document(r.view.get(), "verband")->parsed, parsed);
	EXPECT_EQ(view_node(r.view.get(), "entry-1")->boot, 2u);
	EXPECT_EQ(view_node(old.get(), "entry-1")->boot, 1u);
	/* An update with the whole state shares unchanged records too. */
	View whole(view_apply(r.view.get(),
			      own(st_view_since(r.st.get(), 0)).get()),
		   view_unref);
	EXPECT_EQ(view_node(whole.get(), "entry-0"), node);
}

/*
 * Guards against a delta without removals whose tombstones were discarded: a
 * reader that is older than the kept tombstones gets the whole view.
 */
TEST(StateView, ReaderBeforeTheTombstoneFloorGetsTheWholeView)
{
	Replicas r;

	for (uint64_t round = 0; round < 6; round++) {
		for (size_t i = 0; i < 1000; i++) {
			std::string id = "n" + std::to_string(round) + "-" +
					 std::to_string(i);

			put_node(r, id, 1);
			node_is_down(r, id, 1);
		}
		if (round == 0)
			r.update_view();
		r.wall_ms += 2 * 3600 * 1000;
		expire(r);
	}
	EXPECT_EQ(view_n_nodes(r.view.get()), 1000u);
	EXPECT_TRUE(own(st_view_since(r.st.get(), view_index(r.view.get())))
			    ->reset);
	EXPECT_EQ(r.check(), "");
	EXPECT_EQ(view_n_nodes(r.view.get()), 0u);
	r.restore();
	EXPECT_EQ(r.check(), "");
}

/* Guards against a crash or a partial state after a truncated snapshot. */
TEST(StateView, DamagedSnapshotIsRefused)
{
	Replicas r;
	State other = new_state();
	State empty = new_state();
	size_t len;

	put_document(r, "verband", 1, document_text(1, true, {}));
	add_nodes(r, 20);
	uint8_t *data = st_snapshot(r.st.get(), &len);
	for (size_t cut = 0; cut < len; cut++) {
		EXPECT_FALSE(st_restore(other.get(), data, cut));
		EXPECT_EQ(st_digest(other.get()), st_digest(empty.get()));
	}
	EXPECT_TRUE(st_restore(other.get(), data, len));
	EXPECT_EQ(st_digest(other.get()), st_digest(r.st.get()));
	free(data);
}
