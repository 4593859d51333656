#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/pev.h"
}

/* Tests of the evidence about prompt parts that waits to be passed on. */

namespace
{

constexpr int64_t SECOND = 1000000;

std::string digest(unsigned n)
{
	std::string out(16, '\0');

	out[0] = (char)n;
	out[1] = (char)(n >> 8);
	return out;
}

/* Builds a message; the strings must outlive it. */
class Message
{
      public:
	void crash(const char *endpoint, uint64_t incarnation,
		   const std::vector<std::string> &digests)
	{
		endpoint_ = endpoint;
		crash_.endpoint = const_cast<char *>(endpoint_.c_str());
		crash_.incarnation = incarnation;
		fill(digests, &crash_data_);
		crash_.digests = crash_data_.data();
		crash_.n_digests = crash_data_.size();
		crashes_[0] = &crash_;
		message.crashes = crashes_;
		message.n_crashes = 1;
	}
	void requests(const std::vector<std::string> &digests)
	{
		fill(digests, &request_data_);
		crash_.requests = request_data_.data();
		crash_.n_requests = request_data_.size();
	}
	void begun(const std::vector<std::string> &digests)
	{
		fill(digests, &begun_data_);
		message.begun = begun_data_.data();
		message.n_begun = begun_data_.size();
	}

	Dsp__PartEvidence message = DSP__PART_EVIDENCE__INIT;

      private:
	void fill(const std::vector<std::string> &digests,
		  std::vector<ProtobufCBinaryData> *out)
	{
		for (const std::string &d : digests) {
			kept_.push_back(std::make_unique<std::string>(d));
			out->push_back(
				{ d.size(), (uint8_t *)kept_.back()->data() });
		}
	}

	std::string endpoint_;
	Dsp__PartCrash crash_ = DSP__PART_CRASH__INIT;
	Dsp__PartCrash *crashes_[1];
	std::vector<ProtobufCBinaryData> crash_data_, request_data_;
	std::vector<ProtobufCBinaryData> begun_data_;
	std::vector<std::unique_ptr<std::string>> kept_;
};

class PartEvidence : public ::testing::Test
{
      protected:
	struct pev *pev = pev_new();
	int64_t now = 1000 * SECOND;

	void TearDown() override
	{
		pev_free(pev);
	}
	unsigned crash(const char *endpoint, uint64_t incarnation,
		       const std::vector<std::string> &digests)
	{
		Message m;

		m.crash(endpoint, incarnation, digests);
		return pev_add(pev, &m.message, now);
	}
	unsigned begun(const std::vector<std::string> &digests)
	{
		Message m;

		m.begun(digests);
		return pev_add(pev, &m.message, now);
	}
};

std::set<std::string> set_of(const ProtobufCBinaryData *data, size_t n)
{
	std::set<std::string> out;

	for (size_t i = 0; i < n; i++)
		out.insert(std::string((char *)data[i].data, data[i].len));
	return out;
}

TEST_F(PartEvidence, KeepsRequestsApartFromParts)
{
	for (unsigned n : { 1, 2 }) {
		Message m;

		m.crash("e1", 7, { digest(n) });
		m.requests({ digest(n + 10), digest(20) });
		EXPECT_EQ(pev_add(pev, &m.message, now), 0u);
	}
	Dsp__PartEvidence *out = pev_take(pev, now);

	ASSERT_NE(out, nullptr);
	ASSERT_EQ(out->n_crashes, 1u);
	EXPECT_EQ(set_of(out->crashes[0]->digests, out->crashes[0]->n_digests),
		  (std::set<std::string>{ digest(1), digest(2) }));
	EXPECT_EQ(
		set_of(out->crashes[0]->requests, out->crashes[0]->n_requests),
		(std::set<std::string>{ digest(11), digest(12), digest(20) }));
	dsp__part_evidence__free_unpacked(out, nullptr);
	EXPECT_TRUE(pev_is_empty(pev));
}

TEST_F(PartEvidence, JoinsWhatSeveralEntriesSawOfOneCrash)
{
	EXPECT_TRUE(pev_is_empty(pev));
	EXPECT_EQ(crash("e1", 7, { digest(1), digest(2) }), 0u);
	EXPECT_EQ(crash("e1", 7, { digest(2), digest(3) }), 0u);
	EXPECT_EQ(crash("e1", 8, { digest(2) }), 0u);
	EXPECT_EQ(begun({ digest(9), digest(9) }), 0u);

	Dsp__PartEvidence *out = pev_take(pev, now);

	ASSERT_NE(out, nullptr);
	ASSERT_EQ(out->n_crashes, 2u);
	EXPECT_EQ(out->crashes[0]->incarnation, 7u);
	EXPECT_EQ(set_of(out->crashes[0]->digests, out->crashes[0]->n_digests),
		  (std::set<std::string>{ digest(1), digest(2), digest(3) }));
	EXPECT_EQ(out->crashes[1]->incarnation, 8u);
	EXPECT_EQ(set_of(out->begun, out->n_begun),
		  (std::set<std::string>{ digest(9) }));
	dsp__part_evidence__free_unpacked(out, nullptr);
	EXPECT_TRUE(pev_is_empty(pev));
	EXPECT_EQ(pev_take(pev, now), nullptr);
}

TEST_F(PartEvidence, ExpiresWithoutALeaderAndCountsIt)
{
	crash("e1", 7, { digest(1), digest(2) });
	begun({ digest(3) });
	now += 6 * SECOND;
	EXPECT_EQ(crash("e2", 1, { digest(4) }), 3u);

	Dsp__PartEvidence *out = pev_take(pev, now);

	ASSERT_EQ(out->n_crashes, 1u);
	EXPECT_STREQ(out->crashes[0]->endpoint, "e2");
	EXPECT_EQ(out->n_begun, 0u);
	dsp__part_evidence__free_unpacked(out, nullptr);
}

TEST_F(PartEvidence, IsBoundedAndCountsWhatItDrops)
{
	unsigned dropped = 0;

	for (unsigned e = 0; e < 200; e++) {
		std::string id = "e" + std::to_string(e);
		std::vector<std::string> digests;

		for (unsigned i = 0; i < 300; i++)
			digests.push_back(digest(e * 300 + i));
		dropped += crash(id.c_str(), 1, digests);
	}

	Dsp__PartEvidence *out = pev_take(pev, now);
	unsigned kept = 0;

	for (size_t i = 0; i < out->n_crashes; i++)
		kept += (unsigned)out->crashes[i]->n_digests;
	EXPECT_EQ(kept + dropped, 200u * 300u);
	EXPECT_LE(kept, 4096u);
	EXPECT_LE(out->n_crashes, 128u);
	dsp__part_evidence__free_unpacked(out, nullptr);
	EXPECT_EQ(crash("e1", 1, { "short" }), 1u);
}

} // namespace
