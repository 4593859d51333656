#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "http/hio_mem.h"
}

/*
 * The account of buffered bytes. Run alone: build/unit/hio_mem_test.
 */
namespace
{

constexpr size_t LIMIT = 100 << 20;

struct Account : ::testing::Test {
	struct hio_mem *mem = hio_mem_new(LIMIT);

	~Account()
	{
		hio_mem_free(mem);
	}
	/* Takes items of this size until the account refuses; returns the share
	 * of its limit that they have, in percent. */
	int fill(enum hio_mem_kind kind, size_t bytes = 1 << 20)
	{
		size_t n = 0;

		while (hio_mem_take(mem, kind, 0, bytes))
			n += bytes;
		return (int)(n * 100 / LIMIT);
	}
};

} // namespace

/* Answers to requests that have been taken find room when no further request
 * does. */
TEST_F(Account, RequestsLeaveRoomForAnswers)
{
	EXPECT_EQ(fill(HIO_MEM_REQUEST), 75);
	EXPECT_EQ(fill(HIO_MEM_ANSWER), 15);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 0);
	EXPECT_FALSE(hio_mem_is_full(mem, HIO_MEM_OUTPUT));
	EXPECT_EQ(fill(HIO_MEM_OUTPUT), 10);
	EXPECT_TRUE(hio_mem_is_full(mem, HIO_MEM_OUTPUT));
	hio_mem_give(mem, HIO_MEM_REQUEST, 75 << 20);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 25);
}

TEST_F(Account, EachKindHasALimit)
{
	EXPECT_EQ(fill(HIO_MEM_ANSWER), 50);
	EXPECT_EQ(fill(HIO_MEM_EVENT), 25);
	EXPECT_EQ(fill(HIO_MEM_REQUEST), 0);
	EXPECT_EQ(fill(HIO_MEM_OUTPUT), 25);
}

/* Small items are served when large ones have taken what they may, and the sum
 * bounds them too. */
TEST_F(Account, SmallItemsPassWhereLargeOnesDoNot)
{
	EXPECT_EQ(fill(HIO_MEM_OUTPUT), 50);
	EXPECT_EQ(fill(HIO_MEM_ANSWER), 40);
	EXPECT_EQ(fill(HIO_MEM_REQUEST), 0);
	EXPECT_EQ(fill(HIO_MEM_REQUEST, 16 << 10), 10);
	EXPECT_FALSE(hio_mem_take(mem, HIO_MEM_REQUEST, 0, 1));
	hio_mem_give(mem, HIO_MEM_REQUEST, 1 << 20);
	/* An item that grows is not small for ever. */
	EXPECT_TRUE(hio_mem_take(mem, HIO_MEM_REQUEST, 1 << 10, 1 << 10));
	EXPECT_FALSE(hio_mem_take(mem, HIO_MEM_REQUEST, 64 << 10, 1));
}

namespace
{

/* Connections of many kinds against one account, without a network: they send
 * headers and bodies, stop, read slowly or not at all, and leave. */
struct History {
	struct Conn {
		struct hio_mem_client client = {}; /* first: see close() */
		size_t header = 0, body = 0, output = 0;
		bool closing = false, reads = false;
		History *history = nullptr;
		int64_t moved_us = 0;

		void progress(int64_t now_us)
		{
			client.progress_us = moved_us = now_us;
		}
		int64_t last_us() const
		{
			return moved_us;
		}
	};
	static constexpr size_t LIMIT_BYTES = 8 << 20;
	static constexpr size_t OUTPUT_BYTES = 128 << 10;

	explicit History(unsigned seed) : random(seed)
	{
	}
	~History()
	{
		while (!conns.empty())
			drop(0);
		EXPECT_EQ(hio_mem_sum(mem), 0u);
		hio_mem_free(mem);
	}
	size_t pick(size_t n)
	{
		return random() % n;
	}
	Conn &open()
	{
		conns.push_back(std::make_unique<Conn>());
		Conn &c = *conns.back();

		c.history = this;
		c.reads = pick(2);
		c.progress(now_us);
		c.client.stall_min_us = 250000;
		c.client.close = close;
		hio_mem_join(mem, &c.client);
		return c;
	}
	/* As the server does: a request is freed at once, an output when the
	 * connection ends. */
	static void close(struct hio_mem_client *client)
	{
		Conn *c = reinterpret_cast<Conn *>(client);

		EXPECT_FALSE(c->client.waits);
		EXPECT_FALSE(c->output && c->reads) << "it reads";
		EXPECT_GE(c->history->now_us - c->last_us(), 250000);
		c->history->release(*c);
		c->history->closed++;
		c->closing = true;
	}
	void release(Conn &c)
	{
		hio_mem_release(mem, &c.client, HIO_MEM_HEADER, c.header);
		hio_mem_release(mem, &c.client, HIO_MEM_REQUEST, c.body);
		c.header = c.body = 0;
	}
	void drop(size_t i)
	{
		Conn &c = *conns[i];

		release(c);
		hio_mem_release(mem, &c.client, HIO_MEM_OUTPUT, c.output);
		EXPECT_EQ(c.client.held, 0u);
		hio_mem_leave(mem, &c.client);
		conns.erase(conns.begin() + (long)i);
	}
	bool hold(Conn &c, enum hio_mem_kind kind, size_t &item, size_t bytes)
	{
		if (!hio_mem_hold(mem, &c.client, kind, item, bytes, now_us))
			return false;
		item += bytes;
		c.progress(now_us);
		return true;
	}
	/* One step of one connection. */
	void step()
	{
		size_t i = pick(conns.size());
		Conn &c = *conns[i];

		now_us += (int64_t)pick(2000);
		if (c.closing || !pick(50))
			return drop(i);
		if (c.output) {
			if (!c.reads)
				return;
			size_t n = std::min(c.output, pick(20000));

			hio_mem_release(mem, &c.client, HIO_MEM_OUTPUT, n);
			c.output -= n;
			c.progress(now_us);
			c.client.waits = false;
			return;
		}
		switch (pick(4)) {
		case 0:
			if (!hold(c, HIO_MEM_HEADER, c.header, pick(8000)))
				drop(i);
			break;
		case 1:
			if (!hold(c, HIO_MEM_REQUEST, c.body, pick(400000)))
				drop(i);
			break;
		case 2:
			c.client.waits = true;
			break;
		case 3:
			answer(c);
			break;
		}
	}
	/* The request is answered, unless outputs are at their limit. */
	void answer(Conn &c)
	{
		if (hio_mem_is_full(mem, HIO_MEM_OUTPUT))
			return;
		release(c);
		c.client.waits = false;
		hio_mem_add(mem, HIO_MEM_OUTPUT, OUTPUT_BYTES);
		c.client.held += OUTPUT_BYTES;
		c.output = OUTPUT_BYTES;
		c.progress(now_us);
		/* Readers make progress in each step, which may be rare here.
		 */
		c.client.stall_min_us = c.reads ? 1000000000 : 3000000;
	}
	/* Whether a small request finds room within a second. */
	bool serves_ordinary()
	{
		Conn &c = open();
		bool held = false;

		for (int i = 0; i < 10 && !held; i++, now_us += 100000)
			held = hold(c, HIO_MEM_HEADER, c.header, 2000) &&
			       hold(c, HIO_MEM_REQUEST, c.body, 2000);
		drop(conns.size() - 1);
		return held;
	}

	std::mt19937 random;
	struct hio_mem *mem = hio_mem_new(LIMIT_BYTES);
	std::vector<std::unique_ptr<Conn>> conns;
	int64_t now_us = 1000000;
	size_t closed = 0;
};

} // namespace

/* Guards against an account that misses bytes, closes clients that wait or
 * read, or leaves no room for an ordinary request. The first seed and the
 * number of histories: HISTORIES_SEED, HISTORIES. */
TEST(AccountHistories, TheSumIsBoundedAndOrdinaryRequestsHaveRoom)
{
	const char *first = getenv("HISTORIES_SEED");
	const char *count = getenv("HISTORIES");
	unsigned seed = first ? (unsigned)atoi(first) : 1;
	int n = count ? atoi(count) : 64;
	size_t closed = 0, pressed = 0;

	for (int i = 0; i < n; i++, seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		History h(seed);
		size_t target = 20 + h.pick(300);

		for (int k = 0; k < 4000; k++) {
			while (h.conns.size() < target)
				h.open();
			h.step();
			pressed += hio_mem_is_pressed(h.mem);
			ASSERT_LE(hio_mem_sum(h.mem),
				  History::LIMIT_BYTES + History::OUTPUT_BYTES);
			if (k % 200 == 0) {
				ASSERT_TRUE(h.serves_ordinary());
			}
		}
		closed += h.closed;
	}
	/* The histories reach the limit. */
	EXPECT_GT(closed, (size_t)n);
	EXPECT_GT(pressed, (size_t)n);
}
