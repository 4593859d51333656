#include <gtest/gtest.h>

extern "C" {
#include "http/hio_mem.h"
}

/*
 * The account of buffered bytes. Run alone: build/unit/hio_mem_test.
 */
namespace
{

struct Account : ::testing::Test {
	struct hio_mem *mem = hio_mem_new(1000);

	~Account()
	{
		hio_mem_free(mem);
	}
	/* Takes bytes one by one until the account refuses. */
	size_t fill(enum hio_mem_kind kind)
	{
		size_t n = 0;

		while (hio_mem_take(mem, kind, 1))
			n++;
		return n;
	}
};

} // namespace

/* Answers to requests that have been taken find room when no further request
 * does. */
TEST_F(Account, RequestsLeaveRoomForAnswers)
{
	EXPECT_EQ(fill(HIO_MEM_REQUEST), 750u);
	EXPECT_EQ(fill(HIO_MEM_ANSWER), 150u);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 0u);
	EXPECT_EQ(fill(HIO_MEM_OUTPUT), 100u);
	hio_mem_give(mem, HIO_MEM_REQUEST, 750);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 250u);
}

TEST_F(Account, EachKindHasALimit)
{
	EXPECT_EQ(fill(HIO_MEM_ANSWER), 500u);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 250u);
	EXPECT_EQ(fill(HIO_MEM_REQUEST), 0u);
	EXPECT_EQ(fill(HIO_MEM_OUTPUT), 250u);
}

/* A client that reads is not disconnected for those that do not. */
TEST_F(Account, OnlyOutputsAboveTheAverageExceedTheirShare)
{
	for (int i = 0; i < 4; i++)
		hio_mem_begin_output(mem);
	hio_mem_add(mem, HIO_MEM_OUTPUT, 400);
	EXPECT_FALSE(hio_mem_over_share(mem, 400)) << "below the limit";
	hio_mem_add(mem, HIO_MEM_OUTPUT, 200);
	EXPECT_TRUE(hio_mem_over_share(mem, 150));
	EXPECT_FALSE(hio_mem_over_share(mem, 149));
	hio_mem_give(mem, HIO_MEM_OUTPUT, 200);
	EXPECT_FALSE(hio_mem_over_share(mem, 400));
	EXPECT_EQ(hio_mem_unsent(mem), 4u);
}
