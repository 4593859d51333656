#include "state_util.h"

#include <map>

/* Tests of the evidence about prompt parts in the replicated state (qua). */

namespace
{

constexpr auto OK = DSP__RESULT_CODE__RESULT_OK;
constexpr auto SAME = DSP__RESULT_CODE__RESULT_SAME;
constexpr auto BUSY = DSP__RESULT_CODE__RESULT_BUSY;
constexpr auto STALE = DSP__RESULT_CODE__RESULT_STALE;
constexpr auto LIMIT = DSP__RESULT_CODE__RESULT_LIMIT;
constexpr auto INVALID = DSP__RESULT_CODE__RESULT_INVALID;
constexpr auto NOT_FOUND = DSP__RESULT_CODE__RESULT_NOT_FOUND;
constexpr auto QUARANTINED = DSP__RESULT_CODE__RESULT_QUARANTINED;

struct Crash {
	std::string endpoint;
	uint64_t incarnation;
	std::vector<std::string> digests;
	std::vector<std::string> requests = {};
};

ProtobufCBinaryData data_of(const std::string &s)
{
	return { s.size(), (uint8_t *)str(s) };
}

std::string part(char c)
{
	return std::string(16, c);
}

class Parts : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		for (int i = 0; i < 8; i++)
			start(endpoint(i), 1);
	}
	void TearDown() override
	{
		/* The replica from snapshots and the views agree. */
		r.restore();
		EXPECT_EQ(r.check(), "");
	}
	static std::string endpoint(int i)
	{
		return "engine-" + std::to_string(i);
	}
	void start(const std::string &id, uint64_t incarnation)
	{
		Dsp__Endpoint ep = DSP__ENDPOINT__INIT;

		ep.id = str(id);
		ep.team = (char *)"verband";
		ep.service = (char *)"kellerrat";
		ep.kind = DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
		ep.incarnation = incarnation;
		ep.state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		EXPECT_EQ(put_endpoint(r, &ep)->code, OK);
	}
	Dsp__ResultCode evidence(const std::vector<Crash> &crashes,
				 const std::vector<std::string> &begun = {})
	{
		std::vector<Dsp__PartCrash> msgs(crashes.size());
		std::vector<Dsp__PartCrash *> pointers;
		std::vector<std::vector<ProtobufCBinaryData>> digests, requests;
		std::vector<ProtobufCBinaryData> proofs;
		Dsp__PartEvidence body = DSP__PART_EVIDENCE__INIT;
		Dsp__Command cmd = DSP__COMMAND__INIT;

		digests.resize(crashes.size());
		requests.resize(crashes.size());
		for (size_t i = 0; i < crashes.size(); i++) {
			for (const std::string &d : crashes[i].digests)
				digests[i].push_back(data_of(d));
			for (const std::string &d : crashes[i].requests)
				requests[i].push_back(data_of(d));
			dsp__part_crash__init(&msgs[i]);
			msgs[i].n_requests = requests[i].size();
			msgs[i].requests = requests[i].data();
			msgs[i].endpoint = str(crashes[i].endpoint);
			msgs[i].incarnation = crashes[i].incarnation;
			msgs[i].n_digests = digests[i].size();
			msgs[i].digests = digests[i].data();
			pointers.push_back(&msgs[i]);
		}
		for (const std::string &d : begun)
			proofs.push_back(data_of(d));
		body.n_crashes = pointers.size();
		body.crashes = pointers.data();
		body.n_begun = proofs.size();
		body.begun = proofs.data();
		cmd.body_case = DSP__COMMAND__BODY_PART_EVIDENCE;
		cmd.part_evidence = &body;
		return r.apply(&cmd)->code;
	}
	void crash(int i, const std::vector<std::string> &digests,
		   uint64_t incarnation = 1)
	{
		EXPECT_EQ(evidence({ { endpoint(i), incarnation, digests } }),
			  OK);
	}
	void crash_requests(int i, const std::vector<std::string> &requests,
			    uint64_t incarnation = 1)
	{
		EXPECT_EQ(
			evidence(
				{ { endpoint(i), incarnation, {}, requests } }),
			OK);
	}
	void begun(const std::string &digest)
	{
		EXPECT_EQ(evidence({}, { digest }), OK);
	}
	void wait(uint64_t ms)
	{
		r.wall_ms += ms;
		expire(r);
	}
	Dsp__ResultCode run(const std::string &digest, int i,
			    const std::string &attempt = "a",
			    uint64_t incarnation = 1, bool suspected = false)
	{
		Dsp__SuspectRun body = DSP__SUSPECT_RUN__INIT;
		Dsp__Command cmd = DSP__COMMAND__INIT;
		std::string id = endpoint(i);

		body.digest = data_of(digest);
		body.endpoint = str(id);
		body.incarnation = incarnation;
		body.attempt = str(attempt);
		body.suspected = suspected;
		cmd.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
		cmd.suspect_run = &body;
		return r.apply(&cmd)->code;
	}
	Dsp__ResultCode done(const std::string &digest,
			     const std::string &attempt = "a",
			     bool not_run = false)
	{
		Dsp__SuspectDone body = DSP__SUSPECT_DONE__INIT;
		Dsp__Command cmd = DSP__COMMAND__INIT;

		body.digest = data_of(digest);
		body.attempt = str(attempt);
		body.not_run = not_run;
		cmd.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
		cmd.suspect_done = &body;
		return r.apply(&cmd)->code;
	}
	/* The record in the view, which must be that of the state. */
	const Dsp__Suspect *find(const std::string &digest)
	{
		EXPECT_EQ(r.check(), "");
		return view_suspect(r.view.get(),
				    (const uint8_t *)digest.data());
	}
	bool suspected(char c)
	{
		const Dsp__Suspect *s = find(part(c));

		return s && s->part && !s->quarantined;
	}
	bool quarantined(char c)
	{
		const Dsp__Suspect *s = find(part(c));

		return s && s->part && s->quarantined;
	}
	/* Two crashes that count, and the time for objections. */
	void quarantine(char c)
	{
		crash(0, { part(c) });
		wait(1000);
		crash(1, { part(c) });
		EXPECT_TRUE(quarantined(c));
	}
	size_t count()
	{
		const Dsp__Suspect **all;
		size_t n = st_suspects(r.st.get(), &all);

		free(all);
		return n;
	}

	Replicas r;
};

TEST_F(Parts, FirstCrashSuspectsAndSecondQuarantines)
{
	crash(0, { part('p') });
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(run(part('p'), 2), NOT_FOUND);
	wait(1000);
	EXPECT_TRUE(suspected('p'));
	crash(1, { part('p') });
	EXPECT_TRUE(quarantined('p'));
	EXPECT_EQ(find(part('p'))->crashes, 2u);
	EXPECT_EQ(run(part('p'), 2), QUARANTINED);
}

TEST_F(Parts, RepeatedReportOfACrashDoesNotCount)
{
	for (int i = 0; i < 5; i++) {
		crash(0, { part('p') });
		wait(1000);
	}
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(find(part('p'))->crashes, 1u);
}

TEST_F(Parts, SecondCrashOfARestartedEndpointCounts)
{
	crash(0, { part('p') });
	wait(3000);
	crash(0, { part('p') }, 2);
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, CrashesAtTheSameMomentCountOnce)
{
	EXPECT_EQ(evidence({ { endpoint(0), 1, { part('p') } },
			     { endpoint(1), 1, { part('p') } },
			     { endpoint(2), 1, { part('p') } } }),
		  OK);
	wait(299);
	crash(3, { part('p') });
	wait(1000);
	/* A late copy of a report that did not count. */
	crash(3, { part('p') });
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(find(part('p'))->crashes, 1u);
	crash(4, { part('p') });
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, QuarantineWaitsForAnswersThatHaveBegun)
{
	crash(0, { part('p'), part('f') });
	wait(650);
	crash(1, { part('p'), part('f') });
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(find(part('p'))->crashes, 2u);
	begun(part('f'));
	EXPECT_EQ(find(part('f')), nullptr);
	wait(149);
	EXPECT_TRUE(suspected('p'));
	wait(1);
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, PartThatBeganAnswersIsNeverBlamed)
{
	for (int i = 0; i < 8; i++) {
		crash(i, { part('f') });
		EXPECT_TRUE(suspected('f'));
		wait(600);
		begun(part('f'));
		EXPECT_EQ(find(part('f')), nullptr);
		wait(300);
	}
}

TEST_F(Parts, SuspectedPartIsDroppedAfterATime)
{
	crash(0, { part('p') });
	wait(29999);
	EXPECT_TRUE(suspected('p'));
	wait(1);
	EXPECT_EQ(find(part('p')), nullptr);
	crash(1, { part('p') });
	EXPECT_TRUE(suspected('p'));
}

TEST_F(Parts, KnownPartExplainsTheCrash)
{
	quarantine('p');
	for (int i = 2; i < 6; i++) {
		crash(i, { part('f'), part('p') });
		EXPECT_EQ(find(part('f')), nullptr);
		/* The same crash as another entry saw it. */
		crash(i, { part('f'), part('c') });
		EXPECT_EQ(find(part('f')), nullptr);
		EXPECT_EQ(find(part('c')), nullptr);
		wait(1000);
	}
}

TEST_F(Parts, CrashThatIsExplainedLaterIsTakenOff)
{
	quarantine('p');
	crash(2, { part('f') });
	EXPECT_TRUE(suspected('f'));
	crash(2, { part('p') });
	EXPECT_TRUE(suspected('f'));
	EXPECT_EQ(find(part('f'))->crashes, 0u);
	/* One crash of its own counts. */
	wait(700);
	crash(3, { part('f') });
	wait(700);
	crash(4, { part('f'), part('p') });
	EXPECT_TRUE(suspected('f'));
	EXPECT_EQ(find(part('f'))->crashes, 1u);
}

TEST_F(Parts, QuarantineExplainsTheSameCrashesOfOthers)
{
	crash(0, { part('p') });
	wait(1000);
	crash(1, { part('p'), part('f') });
	EXPECT_TRUE(quarantined('p'));
	EXPECT_TRUE(suspected('f'));
	EXPECT_EQ(find(part('f'))->crashes, 0u);
	wait(30000);
	EXPECT_EQ(find(part('f')), nullptr);
}

TEST_F(Parts, SoundPartInQuarantineDoesNotClearTheFaultyOne)
{
	/* The sound part c was in one crash more. */
	crash(0, { part('c') });
	wait(700);
	crash(1, { part('c'), part('p') });
	wait(100);
	EXPECT_TRUE(quarantined('c'));
	crash(2, { part('c'), part('p') });
	wait(700);
	crash(3, { part('c'), part('p') });
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(find(part('p'))->crashes, 0u);
	begun(part('c'));
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, RunThatClearsAPartBringsBackWhatItExplained)
{
	crash(0, { part('c') });
	wait(700);
	crash(1, { part('c'), part('p') });
	wait(100);
	EXPECT_TRUE(quarantined('c'));
	wait(600);
	crash(2, { part('c'), part('p') });
	wait(1400);
	EXPECT_TRUE(suspected('p'));
	EXPECT_EQ(run(part('c'), 3), OK);
	EXPECT_EQ(done(part('c')), OK);
	EXPECT_EQ(find(part('c')), nullptr);
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, PartInAsManyCrashesIsNotExplained)
{
	crash(0, { part('c') });
	wait(700);
	crash(1, { part('c'), part('p') });
	crash(2, { part('p') });
	wait(100);
	EXPECT_TRUE(quarantined('c'));
	EXPECT_EQ(find(part('p'))->crashes, 1u);
	crash(3, { part('p') });
	wait(1000);
	crash(4, { part('c'), part('p') });
	EXPECT_TRUE(quarantined('p'));
}

TEST_F(Parts, PartInMoreCrashesIsJudgedFirst)
{
	crash(0, { part('c') });
	wait(500);
	for (int i = 1; i < 5; i++)
		crash(i, { part('p') });
	wait(250);
	crash(5, { part('c'), part('p') });
	wait(50);
	/* c could be judged, but p was in more crashes. */
	EXPECT_TRUE(suspected('c'));
	wait(500);
	crash(6, { part('p') });
	EXPECT_TRUE(quarantined('p'));
	EXPECT_TRUE(suspected('c'));
	EXPECT_EQ(find(part('c'))->crashes, 1u);
}

TEST_F(Parts, TwoPartsAreBothFound)
{
	crash(0, { part('p') });
	crash(1, { part('q') });
	wait(900);
	crash(2, { part('p') });
	crash(3, { part('q') });
	EXPECT_TRUE(quarantined('p'));
	EXPECT_TRUE(quarantined('q'));
}

TEST_F(Parts, AnswerThatBeginsEndsTheQuarantine)
{
	quarantine('p');
	begun(part('p'));
	EXPECT_EQ(find(part('p')), nullptr);
	EXPECT_EQ(run(part('p'), 2), NOT_FOUND);
}

TEST_F(Parts, OneGrantAtATimeAndItsOutcomeClears)
{
	quarantine('p');
	wait(1999);
	EXPECT_EQ(run(part('p'), 2), QUARANTINED);
	wait(1);
	EXPECT_EQ(run(part('p'), 2, "a", 9), STALE);
	EXPECT_EQ(run(part('p'), 2, ""), INVALID);
	EXPECT_EQ(run(part('p'), 2), OK);
	EXPECT_EQ(run(part('p'), 2), SAME);
	EXPECT_EQ(run(part('p'), 3, "b"), BUSY);
	EXPECT_EQ(done(part('p'), "b"), STALE);
	EXPECT_EQ(find(part('p'))->running_endpoint, endpoint(2));
	EXPECT_EQ(done(part('p')), OK);
	EXPECT_EQ(find(part('p')), nullptr);
}

TEST_F(Parts, UnusedGrantEndsWithoutEffect)
{
	quarantine('p');
	wait(2000);
	EXPECT_EQ(run(part('p'), 2), OK);
	EXPECT_EQ(done(part('p'), "b", true), STALE);
	EXPECT_EQ(done(part('p'), "a", true), OK);
	EXPECT_TRUE(find(part('p'))->quarantined);
	EXPECT_EQ(find(part('p'))->failed_runs, 0u);
	EXPECT_STREQ(find(part('p'))->running_endpoint, "");
	EXPECT_EQ(done(part('p'), "a", true), STALE);
	EXPECT_EQ(run(part('p'), 2, "b"), OK);
	EXPECT_EQ(done(part('p'), "b"), OK);
	EXPECT_EQ(find(part('p')), nullptr);
}

TEST_F(Parts, OneSuspectAtATimeOnAnEndpoint)
{
	quarantine('p');
	crash(2, { part('q') });
	wait(1000);
	crash(3, { part('q') });
	wait(3000);
	EXPECT_EQ(run(part('p'), 4), OK);
	EXPECT_EQ(run(part('q'), 4, "b"), BUSY);
	EXPECT_EQ(run(part('q'), 5, "b"), OK);
}

TEST_F(Parts, FailedRunsMakeThePauseGrow)
{
	const uint64_t pauses[] = {
		20000, 60000, 180000, 540000, 600000, 600000
	};
	int failed = 0;

	quarantine('p');
	wait(2000);
	for (uint64_t pause : pauses) {
		EXPECT_EQ(run(part('p'), 2, "a", 1 + failed), OK);
		crash(2, { part('p') }, 1 + failed);
		crash(2, { part('p') }, 1 + failed);
		EXPECT_EQ(find(part('p'))->failed_runs, (uint32_t)++failed);
		EXPECT_STREQ(find(part('p'))->running_endpoint, "");
		start(endpoint(2), 1 + failed);
		wait(pause - 1);
		EXPECT_EQ(run(part('p'), 2, "a", 1 + failed), QUARANTINED);
		wait(1);
	}
	EXPECT_EQ(run(part('p'), 2, "a", 1 + failed), OK);
	EXPECT_EQ(done(part('p')), OK);
}

TEST_F(Parts, RestartOfTheGrantedEndpointIsAFailedRun)
{
	quarantine('p');
	wait(2000);
	EXPECT_EQ(run(part('p'), 2), OK);
	start(endpoint(2), 2);
	EXPECT_EQ(find(part('p'))->failed_runs, 1u);
	EXPECT_EQ(run(part('p'), 3), QUARANTINED);
	crash(2, { part('p') });
	EXPECT_EQ(find(part('p'))->failed_runs, 1u);
	wait(20000);
	EXPECT_EQ(run(part('p'), 3), OK);
}

TEST_F(Parts, RunWithoutAnOutcomeHasFailed)
{
	quarantine('p');
	wait(2000);
	EXPECT_EQ(run(part('p'), 2), OK);
	wait(29999);
	EXPECT_EQ(run(part('p'), 3, "b"), BUSY);
	wait(1);
	EXPECT_EQ(find(part('p'))->failed_runs, 1u);
	EXPECT_EQ(done(part('p')), STALE);
	wait(20000);
	EXPECT_EQ(run(part('p'), 3, "b"), OK);
}

TEST_F(Parts, QuarantineEndsAfterTheRetention)
{
	quarantine('p');
	wait((uint64_t)st_default_limits.quarantine_ms - 1);
	EXPECT_TRUE(quarantined('p'));
	wait(1);
	EXPECT_EQ(find(part('p')), nullptr);
}

TEST_F(Parts, TableIsBoundedAndKeepsTheQuarantined)
{
	std::vector<std::string> many;

	quarantine('p');
	for (int i = 0; i < 511; i++) {
		std::string digest = part('x');

		memcpy(&digest[0], &i, sizeof(i));
		many.push_back(digest);
	}
	EXPECT_EQ(evidence({ { endpoint(2), 1, many } }), OK);
	EXPECT_EQ(count(), 512u);
	wait(1000);
	EXPECT_EQ(evidence({ { endpoint(3), 1, { part('y'), part('z') } } }),
		  LIMIT);
	EXPECT_EQ(count(), 512u);
	EXPECT_EQ(find(many[0]), nullptr);
	EXPECT_EQ(find(many[1]), nullptr);
	EXPECT_NE(find(many[2]), nullptr);
	EXPECT_TRUE(quarantined('p'));
	EXPECT_TRUE(suspected('z'));
}

TEST_F(Parts, FullTableOfQuarantinedPartsTakesNoMore)
{
	std::vector<std::string> many;

	for (int i = 0; i < 512; i++) {
		many.push_back(part('x'));
		memcpy(&many.back()[0], &i, sizeof(i));
	}
	crash(0, many);
	wait(1000);
	crash(1, many);
	wait(1000);
	EXPECT_EQ(evidence({ { endpoint(3), 1, { part('y') } } }), LIMIT);
	EXPECT_EQ(count(), 512u);
	EXPECT_EQ(find(part('y')), nullptr);
}

TEST_F(Parts, MalformedEvidenceIsRefusedAsAWhole)
{
	EXPECT_EQ(evidence({ { endpoint(0), 1, { part('p'), "short" } } }),
		  INVALID);
	EXPECT_EQ(evidence({ { "", 1, { part('p') } } }), INVALID);
	EXPECT_EQ(evidence({ { endpoint(0), 1, { part('p') } } }, { "short" }),
		  INVALID);
	EXPECT_EQ(find(part('p')), nullptr);
}

TEST_F(Parts, TimeOfTheNextChangeIsKnown)
{
	uint64_t start_ms = r.wall_ms;

	EXPECT_EQ(st_parts_due_ms(r.st.get()), UINT64_MAX);
	crash(0, { part('p') });
	EXPECT_EQ(st_parts_due_ms(r.st.get()), start_ms + 30000);
	r.wall_ms += 600;
	crash(1, { part('p') });
	EXPECT_EQ(st_parts_due_ms(r.st.get()), start_ms + 800);
	r.restore();
	EXPECT_EQ(st_parts_due_ms(r.restored.get()), start_ms + 800);
	wait(200);
	EXPECT_TRUE(quarantined('p'));
	wait(2000);
	EXPECT_EQ(run(part('p'), 2), OK);
	EXPECT_EQ(st_parts_due_ms(r.st.get()), r.wall_ms + 30000);
	EXPECT_EQ(done(part('p')), OK);
	EXPECT_EQ(st_parts_due_ms(r.st.get()), UINT64_MAX);
}

TEST_F(Parts, SnapshotsKeepPartsGrantsAndTheirTimes)
{
	crash(0, { part('p'), part('f') });
	wait(700);
	crash(1, { part('p') });
	r.restore();
	wait(100);
	EXPECT_TRUE(quarantined('p'));
	wait(2000);
	EXPECT_EQ(run(part('p'), 2), OK);
	r.restore();
	EXPECT_EQ(run(part('p'), 3, "b"), BUSY);
	wait(30000);
	EXPECT_EQ(find(part('p'))->failed_runs, 1u);
	EXPECT_EQ(find(part('f')), nullptr);
}

/* Random evidence, runs and restarts on both replicas, with restored ones. */
std::string random_history(uint64_t, const Steps &steps, Trace *trace)
{
	Replicas r;
	std::map<std::string, uint64_t> incarnations;
	std::map<char, std::string> grants;
	size_t n = 0;

	for (const Step &s : steps) {
		std::string id = "engine-" + std::to_string(s.a % 4);
		std::string digest = part((char)('a' + s.b % 4));
		std::string other = part((char)('a' + s.c % 4));
		ProtobufCBinaryData digests[] = { data_of(digest),
						  data_of(other) };
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__PartEvidence evidence = DSP__PART_EVIDENCE__INIT;
		Dsp__PartCrash crash = DSP__PART_CRASH__INIT;
		Dsp__PartCrash *crashes = &crash;
		Dsp__SuspectRun run = DSP__SUSPECT_RUN__INIT;
		Dsp__SuspectDone done = DSP__SUSPECT_DONE__INIT;
		Dsp__Endpoint ep = DSP__ENDPOINT__INIT;

		r.wall_ms += s.c % 7 ? s.c % 700 : s.c % 30000;
		if (trace)
			trace->push_back(std::to_string(s.op % 8) + " " + id +
					 " " + digest + " " + other + " at " +
					 std::to_string(r.wall_ms));
		switch (s.op % 8) {
		case 0:
			ep.id = str(id);
			ep.team = (char *)"verband";
			ep.service = (char *)"kellerrat";
			ep.kind = DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
			ep.incarnation = ++incarnations[id];
			ep.state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
			put_endpoint(r, &ep);
			break;
		case 1:
		case 2:
		case 3:
			crash.endpoint = str(id);
			crash.incarnation = incarnations[id] - s.c % 2;
			crash.digests = digests;
			crash.n_digests = 1 + s.c % 2;
			evidence.crashes = &crashes;
			evidence.n_crashes = 1;
			cmd.body_case = DSP__COMMAND__BODY_PART_EVIDENCE;
			cmd.part_evidence = &evidence;
			r.apply(&cmd);
			break;
		case 4:
			evidence.begun = digests;
			evidence.n_begun = 1;
			cmd.body_case = DSP__COMMAND__BODY_PART_EVIDENCE;
			cmd.part_evidence = &evidence;
			r.apply(&cmd);
			break;
		case 5:
		case 6:
			run.digest = digests[0];
			run.endpoint = str(id);
			run.incarnation = incarnations[id];
			run.attempt = (char *)"a";
			cmd.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
			cmd.suspect_run = &run;
			r.apply(&cmd);
			break;
		default:
			if (s.c % 3) {
				r.restore();
				break;
			}
			done.digest = digests[0];
			done.attempt = (char *)"a";
			cmd.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
			cmd.suspect_done = &done;
			r.apply(&cmd);
		}
		if (++n % 4 == 0) {
			std::string failure = r.check();

			if (!failure.empty())
				return failure;
		}
	}
	return "";
}

TEST(PartsRandom, ReplicasAndViewsAgree)
{
	run_histories(400, 120, random_history);
}

} // namespace

TEST_F(Parts, RequestIsQuarantinedByTheCrashOfItsGrantedRunOnly)
{
	crash_requests(0, { part('r'), part('s') });
	wait(2000);
	crash_requests(1, { part('r') }); /* run where the record was unknown */
	EXPECT_TRUE(suspected('r'));
	EXPECT_EQ(find(part('r'))->crashes, 2u);
	EXPECT_EQ(run(part('r'), 2), OK);
	EXPECT_EQ(run(part('s'), 3, "b"), OK);
	EXPECT_EQ(run(part('s'), 4, "c"), BUSY);
	crash_requests(2, { part('r'), part('s'), part('t') });
	EXPECT_TRUE(quarantined('r'));
	EXPECT_TRUE(suspected('s'));
	EXPECT_TRUE(suspected('t'));
	EXPECT_EQ(done(part('s'), "b"), OK);
	EXPECT_EQ(find(part('s')), nullptr);
	crash_requests(2, { part('r') }); /* a repeated report */
	EXPECT_EQ(find(part('r'))->failed_runs, 1u);
}

TEST_F(Parts, SuspectedRequestsShareNoEndpoint)
{
	crash_requests(0, { part('r'), part('s') });
	EXPECT_EQ(run(part('r'), 1), OK);
	EXPECT_EQ(run(part('s'), 1, "b"), BUSY);
	EXPECT_EQ(run(part('s'), 2, "b"), OK);
	EXPECT_EQ(run(part('t'), 3), NOT_FOUND);
}

TEST_F(Parts, QuarantinedRequestRunsAgainAfterGrowingPauses)
{
	const uint64_t pauses_ms[] = { 5000, 60000, 600000, 600000 };
	uint64_t incarnation = 1;

	crash_requests(0, { part('r') });
	EXPECT_EQ(run(part('r'), 1), OK);
	crash_requests(1, { part('r') });
	for (uint64_t pause_ms : pauses_ms) {
		wait(pause_ms - 1);
		EXPECT_EQ(run(part('r'), 2, "a", incarnation), QUARANTINED);
		wait(1);
		EXPECT_EQ(run(part('r'), 2, "a", incarnation), OK);
		crash_requests(2, { part('r') }, incarnation);
		start(endpoint(2), ++incarnation);
	}
	wait(600000);
	EXPECT_EQ(run(part('r'), 2, "a", incarnation), OK);
	EXPECT_EQ(done(part('r')), OK);
	EXPECT_EQ(find(part('r')), nullptr);
}

TEST_F(Parts, AnswerToARequestClearsIt)
{
	crash_requests(0, { part('r') });
	begun(part('r'));
	EXPECT_EQ(find(part('r')), nullptr);
	crash_requests(0, { part('r') });
	EXPECT_EQ(run(part('r'), 1), OK);
	crash_requests(1, { part('r') });
	EXPECT_TRUE(quarantined('r'));
	begun(part('r'));
	EXPECT_EQ(find(part('r')), nullptr);
}

TEST_F(Parts, GrantMayArriveBeforeTheEvidence)
{
	EXPECT_EQ(run(part('r'), 1, "a", 1, true), OK);
	EXPECT_TRUE(suspected('r'));
	crash_requests(0, { part('r') });
	EXPECT_EQ(run(part('r'), 1), SAME);
	crash_requests(1, { part('r') });
	EXPECT_TRUE(quarantined('r'));
}

TEST_F(Parts, SuspectedRequestIsDroppedWithoutAnOutcome)
{
	crash_requests(0, { part('r'), part('s') });
	wait(29000);
	EXPECT_EQ(run(part('s'), 1), OK);
	wait(1000);
	EXPECT_EQ(find(part('r')), nullptr);
	EXPECT_TRUE(suspected('s'));
	wait(29000);
	EXPECT_EQ(find(part('s')), nullptr);
	EXPECT_EQ(count(), 0u);
}

TEST_F(Parts, RestartOfTheEndpointFailsTheGrantedRunOfARequest)
{
	crash_requests(0, { part('r') });
	EXPECT_EQ(run(part('r'), 1), OK);
	start(endpoint(1), 2);
	EXPECT_TRUE(quarantined('r'));
}

TEST_F(Parts, SuspectedRequestsAreBounded)
{
	std::vector<std::string> all;

	for (int i = 0; i < 600; i++) {
		std::string d = part('r');

		d[1] = (char)i;
		d[2] = (char)(i >> 8);
		all.push_back(d);
	}
	EXPECT_EQ(evidence({ { endpoint(0), 1, {}, all } }), LIMIT);
	EXPECT_EQ(count(), 512u);
	EXPECT_EQ(run(part('q'), 1, "a", 1, true), OK);
	EXPECT_EQ(count(), 512u);
}
