#include "state_util.h"

extern "C" {
#include "core/sus.h"
}

/* Tests of the decisions about prompt parts at an entry (sus). */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

struct Record {
	char digest;
	bool quarantined = false;
	uint64_t first_ms = 1000;
	uint64_t retry_ms = 0;
	bool part = true;
	std::string running;
	bool request = false;
};

class Sus : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		sus_free(sus);
		view_unref(view);
	}
	/* A capital letter is the digest of the whole request. */
	static struct sus_parts parts(const std::string &digests)
	{
		struct sus_parts out = {};

		for (char c : digests)
			memset(isupper(c) ? out.request : out.digests[out.n++],
			       c, SUS_DIGEST_LEN);
		return out;
	}
	void see(const std::vector<Record> &records)
	{
		std::vector<Dsp__ViewRecord> msgs(records.size());
		std::vector<Dsp__Suspect> suspects(records.size());
		std::vector<Dsp__ViewRecord *> pointers;
		std::vector<std::string> digests, keys;
		Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
		struct view *next;

		for (const Record &r : records) {
			char hex[3];

			snprintf(hex, sizeof(hex), "%02x", r.digest);
			digests.push_back(std::string(16, r.digest));
			keys.push_back("");
			for (int i = 0; i < 16; i++)
				keys.back() += hex;
		}
		for (size_t i = 0; i < records.size(); i++) {
			Dsp__Suspect *s = &suspects[i];

			dsp__suspect__init(s);
			s->digest = { 16, (uint8_t *)str(digests[i]) };
			s->part = records[i].part;
			s->request = records[i].request;
			s->quarantined = records[i].quarantined;
			s->first_ms = records[i].first_ms;
			s->retry_ms = records[i].retry_ms;
			s->running_endpoint = str(records[i].running);
			dsp__view_record__init(&msgs[i]);
			msgs[i].kind = DSP__VIEW_RECORD__BODY_SUSPECT;
			msgs[i].key = str(keys[i]);
			msgs[i].index = index + 1;
			msgs[i].body_case = DSP__VIEW_RECORD__BODY_SUSPECT;
			msgs[i].suspect = s;
			pointers.push_back(&msgs[i]);
		}
		update.reset = true;
		update.to_index = ++index;
		update.n_records = pointers.size();
		update.records = pointers.data();
		next = view_apply(view, &update);
		ASSERT_NE(next, nullptr);
		view_unref(view);
		view = next;
		sus_view(sus, view, now);
	}
	struct sus_decision decide(const std::string &digests,
				   uint32_t crashes = 0)
	{
		struct sus_parts p = parts(digests);

		return sus_decide(sus, &p, crashes, now, wall_ms);
	}
	enum sus_action action(const std::string &digests, uint32_t crashes = 0)
	{
		return decide(digests, crashes).action;
	}
	std::string begun(const std::string &digests, int64_t age_us)
	{
		uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN];
		struct sus_parts p = parts(digests);
		std::string text;
		size_t n = sus_begun(sus, &p, now - age_us, now, out);

		for (size_t i = 0; i < n; i++)
			text += (char)out[i][0];
		return text;
	}
	std::string crashed(const std::vector<std::string> &requests)
	{
		static uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN];
		std::vector<struct sus_parts> all;
		std::vector<const struct sus_parts *> pointers;
		std::string text;
		size_t n;

		for (const std::string &r : requests)
			all.push_back(parts(r));
		for (const struct sus_parts &p : all)
			pointers.push_back(&p);
		n = sus_crashed(sus, pointers.data(), pointers.size(), now,
				out);
		for (size_t i = 0; i < n; i++)
			text += (char)out[i][0];
		return text;
	}
	std::string requests_crashed(const std::vector<std::string> &requests)
	{
		static uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN];
		std::vector<struct sus_parts> all;
		std::vector<const struct sus_parts *> pointers;
		std::string text;
		size_t n;

		for (const std::string &r : requests)
			all.push_back(parts(r));
		for (const struct sus_parts &p : all)
			pointers.push_back(&p);
		n = sus_requests_crashed(sus, pointers.data(), pointers.size(),
					 now, out);
		for (size_t i = 0; i < n; i++)
			text += (char)out[i][0];
		return text;
	}
	static Record request(char digest, bool quarantined = false,
			      uint64_t retry_ms = 0,
			      const std::string &running = "")
	{
		return { digest, quarantined, 1000, retry_ms,
			 true,	 running,     true };
	}
	size_t count_crashed(const struct sus_parts &p)
	{
		static uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN];
		const struct sus_parts *request = &p;

		return sus_crashed(sus, &request, 1, now, out);
	}
	/* Lets two answers of a request break off in crashes of endpoints. */
	void crash_twice(const std::string &digests)
	{
		crashed({ digests });
		now += SECOND;
		crashed({ digests });
		now += SECOND;
	}

	struct sus *sus = sus_new();
	struct view *view = view_new_empty();
	uint64_t index = 0;
	int64_t now = 1000 * SECOND;
	int64_t wall_ms = 1700000000000;
};

TEST_F(Sus, SendsWithoutSuspicion)
{
	EXPECT_EQ(action("fcp"), SUS_SEND);
	EXPECT_EQ(action(""), SUS_SEND);
	see({ { 'x', true } });
	EXPECT_EQ(action("fcp"), SUS_SEND);
}

TEST_F(Sus, RequestNeedsAGrantFromItsFirstCrashOn)
{
	struct sus_decision d;

	EXPECT_EQ(action("R"), SUS_SEND);
	EXPECT_EQ(requests_crashed({ "R", "R", "aS", "b" }), "RS");
	d = decide("R", 1);
	EXPECT_EQ(d.action, SUS_TRY);
	EXPECT_TRUE(d.request);
	EXPECT_TRUE(d.unrecorded);
	EXPECT_EQ(d.digest[0], 'R');
	EXPECT_EQ(action("R"), SUS_TRY); /* of another caller */
	EXPECT_EQ(action("T"), SUS_SEND);
	see({ request('R') });
	d = decide("R");
	EXPECT_EQ(d.action, SUS_TRY);
	EXPECT_FALSE(d.unrecorded);
}

TEST_F(Sus, RequestWaitsForTheRunThatDecides)
{
	see({ request('R', false, 0, "engine-1") });
	EXPECT_EQ(action("R"), SUS_WAIT);
	see({ request('R') });
	EXPECT_EQ(action("R"), SUS_TRY);
	sus_asked(sus, decide("R").digest, now);
	EXPECT_EQ(action("R"), SUS_WAIT);
	now += 50 * MS;
	EXPECT_EQ(action("R"), SUS_TRY);
}

TEST_F(Sus, QuarantinedRequestIsRefusedUntilItsNextRun)
{
	struct sus_decision d;

	see({ request('R', true, (uint64_t)wall_ms + 5000) });
	d = decide("R");
	EXPECT_EQ(d.action, SUS_REFUSE);
	EXPECT_TRUE(d.request);
	EXPECT_EQ(d.retry_us, 5 * SECOND);
	EXPECT_EQ(action("pR"), SUS_REFUSE);
	EXPECT_EQ(action("pS"), SUS_SEND);
	wall_ms += 5000;
	EXPECT_EQ(action("R"), SUS_TRY);
}

TEST_F(Sus, ClearedRequestIsSentAtOnce)
{
	requests_crashed({ "R" });
	see({ request('R') });
	EXPECT_EQ(action("R"), SUS_TRY);
	see({});
	EXPECT_EQ(action("R"), SUS_SEND);
}

TEST_F(Sus, AnswerToTheRequestAfterItsCrashIsReported)
{
	EXPECT_EQ(begun("R", 0), "");
	requests_crashed({ "R" });
	now += 10 * MS;
	see({ request('R') });
	now += 50 * MS;
	EXPECT_EQ(begun("R", 55 * MS), ""); /* from before the record */
	EXPECT_EQ(action("R"), SUS_TRY);
	EXPECT_EQ(begun("R", 20 * MS), "R");
	EXPECT_EQ(action("R"), SUS_SEND);
}

TEST_F(Sus, AnswerWithoutSuccessClearsTheRequestButNoPart)
{
	uint8_t out[SUS_BEGUN_MAX][SUS_DIGEST_LEN];
	struct sus_parts both = parts("pR");

	see({ { 'p' }, request('R') });
	now += 50 * MS;
	ASSERT_EQ(sus_answered(sus, &both, now - MS, now, out), 1u);
	EXPECT_EQ(out[0][0], 'R');
	EXPECT_EQ(action("R"), SUS_SEND);
	EXPECT_EQ(begun("p", 0), "p");
}

TEST_F(Sus, CrashWithoutARecordIsForgotten)
{
	requests_crashed({ "R" });
	now += 9 * SECOND;
	EXPECT_EQ(action("R"), SUS_TRY);
	now += SECOND;
	EXPECT_EQ(action("R"), SUS_SEND);
}

TEST_F(Sus, QuarantinedPartDecidesBeforeTheRequest)
{
	struct sus_decision d;

	see({ { 'p', true, 1000, (uint64_t)wall_ms + 1500 }, request('R') });
	d = decide("pR");
	EXPECT_EQ(d.action, SUS_REFUSE);
	EXPECT_FALSE(d.request);
	EXPECT_EQ(d.digest[0], 'p');
}

TEST_F(Sus, SuspectedPartIsSentAndQuarantinedOneRefused)
{
	struct sus_decision d;

	see({ { 'p' } });
	EXPECT_EQ(action("fcp"), SUS_SEND);
	see({ { 'p', true, 1000, (uint64_t)wall_ms + 1500 } });
	d = decide("fcp");
	EXPECT_EQ(d.action, SUS_REFUSE);
	EXPECT_EQ(d.retry_us, 1500 * MS);
	EXPECT_EQ(d.digest[0], 'p');
	EXPECT_EQ(action("fc"), SUS_SEND);
	see({});
	EXPECT_EQ(action("fcp"), SUS_SEND);
}

TEST_F(Sus, SuspectsByRequestAreNoParts)
{
	see({ { 'p', true, 0, 0, false } });
	EXPECT_EQ(action("p"), SUS_SEND);
}

TEST_F(Sus, GrantIsAskedForWhenATrialMayRun)
{
	see({ { 'p', true, 1000, (uint64_t)wall_ms } });
	EXPECT_EQ(action("fp"), SUS_TRY);
	/* Other requests don't ask until that one had an answer. */
	EXPECT_EQ(action("fp"), SUS_REFUSE);
	now += 199 * MS;
	EXPECT_EQ(action("fp"), SUS_REFUSE);
	now += 1 * MS;
	EXPECT_EQ(decide("fp").digest[0], 'p');
	now += SECOND;
	see({ { 'p', true, 1000, (uint64_t)wall_ms, true, "engine-1" } });
	EXPECT_EQ(action("fp"), SUS_REFUSE);
}

TEST_F(Sus, RequestWithSeveralQuarantinedPartsIsTriedLater)
{
	uint64_t retry_ms = (uint64_t)wall_ms;

	see({ { 'p', true, 1000, retry_ms + 500 },
	      { 'f', true, 1000, retry_ms } });
	EXPECT_EQ(decide("fp").digest[0], 'p');
	EXPECT_EQ(decide("fp").retry_us, 1500 * MS);
	EXPECT_EQ(action("f"), SUS_TRY);
	wall_ms += 1500;
	EXPECT_EQ(action("fp"), SUS_TRY);
}

TEST_F(Sus, AnswersFromBeforeTheRecordProveNothing)
{
	see({ { 'f' } });
	now += SECOND;
	EXPECT_EQ(begun("f", 1001 * MS), "");
	EXPECT_EQ(begun("f", 1000 * MS), "f");
}

TEST_F(Sus, ReportsOnlySuspectedPartsAndEachOnce)
{
	see({ { 'f' }, { 'x' } });
	EXPECT_EQ(begun("fc", 0), "f");
	EXPECT_EQ(begun("fc", 0), "");
	now += 499 * MS;
	EXPECT_EQ(begun("fc", 0), "");
	/* The first report may have been lost. */
	now += 1 * MS;
	EXPECT_EQ(begun("fc", 0), "f");
}

TEST_F(Sus, NewRecordOfAPartIsReportedAnew)
{
	see({ { 'f' } });
	EXPECT_EQ(begun("f", 0), "f");
	now += 100 * MS;
	see({ { 'f', false, 1100 } });
	EXPECT_EQ(begun("f", 50 * MS), "");
	EXPECT_EQ(begun("f", 0), "f");
}

TEST_F(Sus, QuarantineOfAKnownRecordKeepsItsTime)
{
	see({ { 'f' } });
	now += 600 * MS;
	see({ { 'f', true, 1000, (uint64_t)wall_ms + 2000 } });
	EXPECT_EQ(begun("f", 500 * MS), "f");
}

TEST_F(Sus, CrashReportsEachUnprovenPartOnce)
{
	EXPECT_EQ(crashed({ "fcp", "fd", "" }), "fcpd");
	EXPECT_EQ(crashed({}), "");
}

TEST_F(Sus, CrashReportLeavesOutPartsProvenAMomentAgo)
{
	begun("fc", 500 * MS);
	now += 999 * MS;
	EXPECT_EQ(crashed({ "fcp" }), "p");
	now += 1 * MS;
	EXPECT_EQ(crashed({ "fcp" }), "fcp");
}

TEST_F(Sus, PartThatCrashedHereIsNotProvenByEarlierAnswers)
{
	begun("f", 0);
	now += 2 * SECOND;
	EXPECT_EQ(crashed({ "f" }), "f");
	now += 400 * MS;
	begun("f", 500 * MS); /* began before the crash */
	now += 100 * MS;
	EXPECT_EQ(crashed({ "f" }), "f");
	now += SECOND;
	begun("f", 100 * MS);
	EXPECT_EQ(crashed({ "f" }), "");
}

TEST_F(Sus, CrashReportIsBounded)
{
	std::vector<std::string> requests;

	for (int i = 0; i < 20; i++) {
		std::string digests;

		for (int j = 0; j < 10; j++)
			digests += (char)(i * 10 + j);
		requests.push_back(digests);
	}
	EXPECT_EQ(crashed(requests).size(), (size_t)SUS_REPORT_MAX);
}

TEST_F(Sus, FirstCrashOfUnknownPartsIsRepeatedOnce)
{
	EXPECT_EQ(action("fcp", 1), SUS_SEND);
	crashed({ "fcp" });
	EXPECT_EQ(action("fcp", 2), SUS_REFUSE);
}

TEST_F(Sus, SuspectedPartIsNotRepeated)
{
	see({ { 'p' } });
	EXPECT_EQ(action("fcp", 1), SUS_REFUSE);
	EXPECT_EQ(decide("fcp", 1).digest[0], 'p');
	EXPECT_EQ(action("fc", 1), SUS_SEND);
	see({ { 'p', true } });
	EXPECT_EQ(action("fcp", 1), SUS_REFUSE);
}

TEST_F(Sus, PartThatCrashedHereBeforeIsNotRepeated)
{
	crashed({ "fcp" });
	now += 700 * MS;
	EXPECT_EQ(action("fdp", 1), SUS_REFUSE);
	crashed({ "fdp" });
	now += 100 * MS;
	EXPECT_EQ(action("fep", 1), SUS_REFUSE);
	now += 11 * SECOND;
	EXPECT_EQ(action("fep", 1), SUS_SEND);
}

TEST_F(Sus, CrashesAtOneMomentAreRepeatedOnce)
{
	EXPECT_EQ(action("fc", 1), SUS_SEND);
	crashed({ "fc" });
	now += 5 * MS;
	EXPECT_EQ(action("fd", 1), SUS_SEND);
	crashed({ "fd" });
}

TEST_F(Sus, ProvenPartsAreRepeated)
{
	crash_twice("fc");
	see({ { 'f' }, { 'c' } });
	EXPECT_EQ(action("fc", 2), SUS_REFUSE);
	begun("fc", 0);
	now += 100 * MS;
	EXPECT_EQ(action("fc", 2), SUS_SEND);
}

TEST_F(Sus, PartThatNeedsNoGrantDoesNotAdmitAnotherInQuarantine)
{
	struct sus_parts p = parts("fpq");

	see({ { 'f', true }, { 'p', true }, { 's' } });
	EXPECT_TRUE(sus_has_other(sus, &p, p.digests[0]));
	see({ { 'f', true } });
	EXPECT_FALSE(sus_has_other(sus, &p, p.digests[0]));
	see({ { 'f', true }, { 'q' } });
	EXPECT_FALSE(sus_has_other(sus, &p, p.digests[0]));
}

TEST_F(Sus, TableIsBounded)
{
	std::vector<std::string> requests;
	struct sus_parts p = parts("a");

	see({ { 'z', true, 1000, (uint64_t)wall_ms + 1000 } });
	for (uint32_t i = 0; i < 20000; i++) {
		uint8_t out[SUS_PARTS_MAX][SUS_DIGEST_LEN];

		memcpy(p.digests[0], &i, sizeof(i));
		sus_begun(sus, &p, now, now, out);
	}
	EXPECT_EQ(action("z"), SUS_REFUSE);
	/* The oldest proof is forgotten, the newest is known. */
	EXPECT_EQ(count_crashed(p), 0u);
	memset(p.digests[0], 0, sizeof(uint32_t));
	EXPECT_EQ(count_crashed(p), 1u);
}

} // namespace
