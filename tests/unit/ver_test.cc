#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/ver.h"
}

/* Tests of what an entry knows of the versions of streams (ver.h). */

namespace
{

constexpr int64_t S = 1000000;

class Ver : public ::testing::Test
{
      protected:
	struct ver *ver = ver_new();
	uint64_t index = 0;

	~Ver() override
	{
		ver_free(ver);
	}

	struct Endpoint {
		std::string service, software;
		Dsp__EndpointState state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		std::vector<std::string> before;
	};

	void view(const std::vector<Endpoint> &endpoints)
	{
		Dsp__ViewUpdate update = DSP__VIEW_UPDATE__INIT;
		std::vector<Dsp__ViewRecord> records(endpoints.size());
		std::vector<Dsp__Endpoint> messages(endpoints.size());
		std::vector<std::string> ids(endpoints.size());
		std::vector<std::vector<char *>> before(endpoints.size());
		std::vector<Dsp__ViewRecord *> all;
		struct view *empty = view_new_empty();
		struct view *next;

		index++;
		for (size_t i = 0; i < endpoints.size(); i++) {
			ids[i] = "e" + std::to_string(i);
			dsp__endpoint__init(&messages[i]);
			messages[i].id = &ids[i][0];
			messages[i].service =
				(char *)endpoints[i].service.c_str();
			messages[i].software =
				(char *)endpoints[i].software.c_str();
			messages[i].state = endpoints[i].state;
			for (const std::string &text : endpoints[i].before)
				before[i].push_back((char *)text.c_str());
			messages[i].software_before = before[i].data();
			messages[i].n_software_before = before[i].size();
			dsp__view_record__init(&records[i]);
			records[i].index = index;
			records[i].key = &ids[i][0];
			records[i].kind = DSP__VIEW_RECORD__BODY_ENDPOINT;
			records[i].body_case = DSP__VIEW_RECORD__BODY_ENDPOINT;
			records[i].endpoint = &messages[i];
			all.push_back(&records[i]);
		}
		update.reset = true;
		update.to_index = index;
		update.records = all.data();
		update.n_records = all.size();
		next = view_apply(empty, &update);
		ASSERT_NE(next, nullptr);
		ver_set_view(ver, next);
		view_unref(next);
		view_unref(empty);
	}

	ver_answer find(const std::string &id, int64_t view_age_us = 0)
	{
		ver_question question = {};

		question.digest = ver_digest(id.c_str());
		question.service = "llm";
		question.view_age_us = view_age_us;
		return ver_find(ver, &question);
	}

	void begun(const std::string &id, const char *software,
		   int64_t now_us = 0)
	{
		ver_begun(ver, ver_digest(id.c_str()), "llm", software,
			  now_us + 10 * S, now_us);
	}

	/* Number of streams in the next report. */
	size_t told()
	{
		Dsp__StreamsBegun *begun = ver_take(ver);
		size_t n = 0;

		if (!begun)
			return 0;
		for (size_t i = 0; i < begun->n_groups; i++)
			n += begun->groups[i]->n_streams;
		dsp__streams_begun__free_unpacked(begun, nullptr);
		return n;
	}
};

const Dsp__EndpointState DOWN = DSP__ENDPOINT_STATE__ENDPOINT_DOWN;

} // namespace

TEST_F(Ver, OneVersionNeedsNothingToBeKnown)
{
	view({ { "llm", "v1" }, { "llm", "v1" }, { "other", "v2" } });
	EXPECT_FALSE(ver_is_mixed(ver, "llm"));
	EXPECT_EQ(find("a").place, VER_ANYWHERE);
	begun("a", "v1");
	EXPECT_EQ(told(), 0u);
}

TEST_F(Ver, ViewThatMayBeBehindIsNotRelied)
{
	view({ { "llm", "v1" } });
	EXPECT_EQ(find("a", 2 * S).place, VER_ASK);
	begun("a", "v1");
	EXPECT_EQ(find("a", 2 * S).place, VER_SAME);
}

TEST_F(Ver, OwnStreamsAreKnownAndTold)
{
	view({ { "llm", "v1" }, { "llm", "v2" } });
	EXPECT_TRUE(ver_is_mixed(ver, "llm"));
	EXPECT_EQ(find("a").place, VER_ASK);
	begun("a", "v2");
	EXPECT_EQ(find("a").place, VER_SAME);
	EXPECT_STREQ(find("a").software, "v2");
	EXPECT_EQ(told(), 1u);
	EXPECT_EQ(told(), 0u);
}

TEST_F(Ver, StreamsFromBeforeTheSecondVersionAreTold)
{
	view({ { "llm", "v1" } });
	begun("a", "v1");
	begun("b", "v1");
	view({ { "llm", "v1" }, { "llm", "v2" } });
	EXPECT_EQ(told(), 2u);
}

TEST_F(Ver, FirstVersionOfAStreamHolds)
{
	view({ { "llm", "v1" }, { "llm", "v2" } });
	begun("a", "v1");
	begun("a", "v2");
	EXPECT_STREQ(find("a").software, "v1");
}

TEST_F(Ver, StreamOfAReplacedProcessIsNotKnown)
{
	view({ { "llm", "v1" }, { "llm", "v2" } });
	begun("a", nullptr);
	EXPECT_EQ(find("a").place, VER_ASK);
	EXPECT_EQ(told(), 0u);
}

TEST_F(Ver, VersionsThatHaveLeftCountWhileTheirStreamsMatter)
{
	view({ { "llm", "v1", DOWN }, { "llm", "v2" } });
	EXPECT_TRUE(ver_is_mixed(ver, "llm"));
	view({ { "llm", "", DOWN }, { "llm", "v2" } });
	EXPECT_FALSE(ver_is_mixed(ver, "llm"));
	view({ { "llm", "v2", DSP__ENDPOINT_STATE__ENDPOINT_UP, { "v1" } } });
	EXPECT_TRUE(ver_is_mixed(ver, "llm"));
}

TEST_F(Ver, StreamsAreForgottenWhenTheirCallersGiveUp)
{
	for (int i = 0; i < 1000; i++)
		begun("a" + std::to_string(i), "v1", i * S / 10);
	EXPECT_LE(ver_n_streams(ver), 101u);
	for (int i = 0; i < 100000; i++)
		begun("b" + std::to_string(i), "v1", 100 * S);
	EXPECT_LE(ver_n_streams(ver), 32768u);
}

/* Guards against streams that nobody tells of because their entry is gone when
 * their service gets a second version. */
TEST_F(Ver, CopiesOfStreamsAreNewsOnceThereAreSeveralVersions)
{
	struct ver *other = ver_new();
	Dsp__StreamCopies *copies;
	Dsp__StreamsBegun *news;

	view({ { "llm", "v1" } });
	begun("a", "v1");
	begun("b", "v1");
	begun("unknown", NULL);
	copies = ver_take_copies(ver, 0);
	ASSERT_NE(copies, nullptr);
	EXPECT_EQ(ver_take_copies(ver, 0), nullptr);
	std::swap(ver, other);
	view({ { "llm", "v1" } });
	ver_keep(ver, copies, 0);
	EXPECT_EQ(ver_n_streams(ver), 2u);
	EXPECT_FALSE(ver_has_news(ver));
	EXPECT_EQ(ver_take_copies(ver, 0), nullptr) << "a copy of a copy";
	view({ { "llm", "v1" }, { "llm", "v2" } });
	EXPECT_STREQ(find("a").software, "v1");
	news = ver_take(ver);
	ASSERT_NE(news, nullptr);
	ASSERT_EQ(news->n_groups, 1u);
	EXPECT_STREQ(news->groups[0]->software, "v1");
	EXPECT_EQ(news->groups[0]->n_streams, 2u);
	dsp__streams_begun__free_unpacked(news, NULL);
	dsp__stream_copies__free_unpacked(copies, NULL);
	ver_free(other);
}

/* What an entry has seen itself counts, whatever others say later. */
TEST_F(Ver, CopyDoesNotChangeAKnownStream)
{
	Dsp__StreamCopyGroup group = DSP__STREAM_COPY_GROUP__INIT;
	Dsp__StreamCopyGroup *groups[] = { &group };
	Dsp__StreamCopies copies = DSP__STREAM_COPIES__INIT;
	uint64_t digest = ver_digest("a");

	view({ { "llm", "v1" }, { "llm", "v2" } });
	begun("a", "v2");
	group.service = (char *)"llm";
	group.software = (char *)"v1";
	group.streams = &digest;
	group.n_streams = 1;
	group.keep_ms = 1000;
	copies.groups = groups;
	copies.n_groups = 1;
	ver_keep(ver, &copies, 0);
	EXPECT_STREQ(find("a").software, "v2");
}
