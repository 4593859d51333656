#include "state_util.h"

/* Tests of the versions of streams in the replicated state (st_stream.c). */

namespace
{

class Streams : public ::testing::Test
{
      protected:
	Replicas r;

	void TearDown() override
	{
		/* The replica from snapshots and the views agree. */
		r.restore();
		EXPECT_EQ(r.check(), "");
	}

	void put(const std::string &id, const std::string &software,
		 uint64_t incarnation = 1)
	{
		Dsp__Endpoint ep = DSP__ENDPOINT__INIT;
		Dsp__Features features = DSP__FEATURES__INIT;
		std::string address = "127.0.0.1:" + id;

		features.sequenced = true;
		ep.id = str(id);
		ep.team = (char *)"verband";
		ep.service = (char *)"llm";
		ep.address = str(address);
		ep.software = str(software);
		ep.incarnation = incarnation;
		ep.features = &features;
		EXPECT_EQ(put_endpoint(r, &ep)->code,
			  DSP__RESULT_CODE__RESULT_OK);
	}

	void begun(const std::string &software, std::vector<uint64_t> streams)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__StreamsBegun begun = DSP__STREAMS_BEGUN__INIT;
		Dsp__StreamGroup group = DSP__STREAM_GROUP__INIT;
		Dsp__StreamGroup *groups[] = { &group };

		group.software = str(software);
		group.streams = streams.data();
		group.n_streams = streams.size();
		begun.groups = groups;
		begun.n_groups = 1;
		cmd.body_case = DSP__COMMAND__BODY_STREAMS_BEGUN;
		cmd.streams_begun = &begun;
		r.apply(&cmd);
	}

	/* Version of a stream; "?": not known. */
	std::string find(uint64_t stream)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__StreamsFind find = DSP__STREAMS_FIND__INIT;

		find.service = (char *)"llm";
		find.streams = &stream;
		find.n_streams = 1;
		cmd.body_case = DSP__COMMAND__BODY_STREAMS_FIND;
		cmd.streams_find = &find;
		Result result = r.apply(&cmd);
		EXPECT_EQ(result->n_streams, 1u);
		return result->streams[0]->known ? result->streams[0]->software
						 : "?";
	}

	void pass_ms(uint64_t ms)
	{
		r.wall_ms += ms;
		expire(r);
	}
};

} // namespace

TEST_F(Streams, OnlyRecordedOnesAreKnownWhereThereAreTwoVersions)
{
	put("a", "v1");
	EXPECT_EQ(find(7), "v1");
	put("b", "v2");
	EXPECT_EQ(find(7), "?");
	begun("v1", { 7, 8 });
	begun("v2", { 8, 9 });
	EXPECT_EQ(find(7), "v1");
	EXPECT_EQ(find(8), "v1");
	EXPECT_EQ(find(9), "v2");
	r.restore();
	EXPECT_EQ(find(9), "v2");
}

TEST_F(Streams, VersionThatLeftCountsUntilItsStreamsAreTooOld)
{
	put("a", "v1");
	put("b", "v2");
	endpoint_is_down(r, "a", 1);
	EXPECT_EQ(find(7), "?");
	pass_ms(29000);
	EXPECT_EQ(find(7), "?");
	pass_ms(2000);
	EXPECT_EQ(find(7), "v2");
}

TEST_F(Streams, VersionBeforeARestartUnderTheSameIdCounts)
{
	put("a", "v1");
	begun("v1", { 7 });
	put("a", "v2", 2);
	EXPECT_EQ(find(7), "v1");
	EXPECT_EQ(find(8), "?");
	r.restore();
	EXPECT_EQ(find(8), "?");
	pass_ms(31000);
	EXPECT_EQ(find(8), "v2");
}

TEST_F(Streams, RecordsAreBoundedInTimeAndNumber)
{
	std::vector<uint64_t> many;

	put("a", "v1");
	put("b", "v2");
	begun("v1", { 7 });
	pass_ms(31000);
	EXPECT_EQ(find(7), "?");
	for (uint64_t i = 0; i < (1 << 18) + 10; i++)
		many.push_back(100 + i);
	begun("v2", many);
	EXPECT_EQ(find(100), "?");
	EXPECT_EQ(find(many.back()), "v2");
	pass_ms(31000);
}
