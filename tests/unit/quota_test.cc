#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/quo.h"
#include "core/tok.h"
}

/*
 * The rules of the leader's buckets (quo) and of the units at an entry (tok),
 * one at a time. Histories of many of them are in quota_sim_test.cc.
 */
namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;

struct Grant {
	uint64_t units, ahead;
	int64_t delay_ms, retry_ms;
	bool answered;
};

class Quota : public testing::Test
{
      protected:
	Dsp__Customer customer = DSP__CUSTOMER__INIT;
	Dsp__Customer *all[1] = { &customer };
	Dsp__Customers customers = DSP__CUSTOMERS__INIT;
	struct quo *quo = quo_new();
	struct tok *tok = tok_new(1);
	int64_t now = 1000 * S;
	uint64_t next_id = 1000000; /* not those of the entry */

	Quota()
	{
		customer.name = (char *)"c";
		customer.rate = 1000;
		customer.burst = 1000;
		customers.all = all;
		customers.n_all = 1;
		quo_begin(quo, 1, &customers, now);
		tok_set_customers(tok, &customers, now);
		now += 10 * S;
	}
	~Quota() override
	{
		quo_free(quo);
		tok_free(tok);
	}
	Grant ask(uint64_t units, uint32_t wait_ms = 250, uint64_t ahead = 0,
		  uint64_t id = 0)
	{
		Dsp__QuotaAsk one = DSP__QUOTA_ASK__INIT;
		Dsp__QuotaAsk *list[] = { &one };
		Dsp__QuotaAsks asks = DSP__QUOTA_ASKS__INIT;

		one.id = id ? id : next_id++;
		one.customer = customer.name;
		one.units = units;
		one.ahead = ahead;
		one.wait_ms = wait_ms;
		asks.asks = list;
		asks.n_asks = 1;
		return send(asks);
	}
	void give_back(uint64_t units, uint64_t id, uint64_t term = 1)
	{
		Dsp__QuotaReturn one = DSP__QUOTA_RETURN__INIT;
		Dsp__QuotaReturn *list[] = { &one };
		Dsp__QuotaAsks asks = DSP__QUOTA_ASKS__INIT;

		one.id = id;
		one.customer = customer.name;
		one.units = units;
		one.term = term;
		asks.returns = list;
		asks.n_returns = 1;
		send(asks);
	}
	Grant send(const Dsp__QuotaAsks &asks)
	{
		Dsp__QuotaGrants *grants = quo_answer(quo, "e", &asks, now);
		Grant out = {};

		if (grants->n_grants)
			out = { grants->grants[0]->units,
				grants->grants[0]->ahead,
				grants->grants[0]->delay_ms,
				grants->grants[0]->retry_ms, true };
		dsp__quota_grants__free_unpacked(grants, nullptr);
		return out;
	}
	/* Passes what the entry asks for to the leader and back. */
	void exchange()
	{
		now += 5 * MS;
		Dsp__QuotaAsks *asks = tok_asks(tok, now);

		ASSERT_TRUE(asks);
		Dsp__QuotaGrants *grants = quo_answer(quo, "e", asks, now);

		tok_granted(tok, grants, now);
		dsp__quota_asks__free_unpacked(asks, nullptr);
		dsp__quota_grants__free_unpacked(grants, nullptr);
	}
	double level()
	{
		return quo_level(quo, customer.name, now);
	}
};

} // namespace

TEST_F(Quota, WhatIsLackingIsReservedUpToTheWait)
{
	uint64_t full = (uint64_t)level();

	EXPECT_EQ(ask(full).units, full);
	Grant reserved = ask(200);
	EXPECT_EQ(reserved.units, 200u);
	EXPECT_NEAR((double)reserved.delay_ms, 204, 3);
	Grant denied = ask(200);
	EXPECT_EQ(denied.units, 0u);
	EXPECT_NEAR((double)denied.retry_ms, 158, 5);
	/* A request that cannot wait gets nothing that others reserved. */
	EXPECT_EQ(ask(1, 20).units, 0u);
	now += denied.retry_ms * MS;
	EXPECT_EQ(ask(200).units, 200u);
}

TEST_F(Quota, ARequestLargerThanTheBucketIsAdmittedOnCredit)
{
	uint64_t large = (uint64_t)level() + 2000;

	EXPECT_EQ(ask(large).units, large);
	EXPECT_NEAR(level(), -2000, 2);
	now += S;
	EXPECT_EQ(ask(100).units, 0u);
	now += 2 * S;
	EXPECT_EQ(ask(100).units, 100u);
	EXPECT_EQ(ask(large, 0).units, 0u); /* the bucket is not full */
}

TEST_F(Quota, AheadIsGrantedOnlyFromTheUpperHalf)
{
	double full = level();

	EXPECT_NEAR((double)ask(0, 0, 100000).ahead, full / 2, 2);
	EXPECT_EQ(ask(0, 0, 100).ahead, 0u);
	EXPECT_EQ(ask(100, 0, 100).units, 100u);
}

/* Guards against units that come back after the bucket was full without them:
 * they would add up to more than the burst. */
TEST_F(Quota, ReturnedUnitsAreCreditedUpToTheHighestLevelSince)
{
	double full = level();

	ask(400, 0, 0, 77);
	now += 100 * MS;
	give_back(400, 77);
	EXPECT_NEAR(level(), full, 1);
	now += S;
	ask(400, 0, 0, 78);
	now += S; /* it is full again */
	ask(500, 0, 0, 79);
	give_back(400, 78);
	EXPECT_NEAR(level(), full - 500, 1);
}

TEST_F(Quota, CopiesAndReturnsOfOtherTermsAreNotCredited)
{
	double full = level();

	EXPECT_TRUE(ask(600, 0, 0, 77).answered);
	EXPECT_FALSE(ask(600, 0, 0, 77).answered);
	EXPECT_NEAR(level(), full - 600, 1);
	give_back(300, 77);
	give_back(600, 77);
	give_back(600, 77);
	EXPECT_NEAR(level(), full, 1);
	ask(600, 0, 0, 78);
	give_back(600, 78, 2);
	EXPECT_NEAR(level(), full - 600, 1);
	/* More than was granted. */
	ask(100, 0, 0, 79);
	give_back(600, 79);
	EXPECT_NEAR(level(), full - 600, 1);
}

TEST_F(Quota, AnotherLeadershipBeginsWithoutUnits)
{
	quo_begin(quo, 2, &customers, now);
	EXPECT_LE(level(), 0);
	EXPECT_EQ(ask(1000).units, 0u);
	now += 3 * S;
	EXPECT_EQ(ask(1000).units, 1000u);
}

/* Guards against a customer that is removed and added again for a full
 * bucket. */
TEST_F(Quota, ARemovedCustomerKeepsItsBucket)
{
	ask((uint64_t)level());
	quo_set_customers(quo, nullptr, now);
	now += 100 * MS;
	quo_set_customers(quo, &customers, now);
	EXPECT_NEAR(level(), 98, 2);
	/* One that was never there is not limited by its past. */
	customer.name = (char *)"new";
	quo_set_customers(quo, &customers, now);
	EXPECT_GE(level(), 1000);
}

TEST_F(Quota, ALowerLimitHoldsAtOnceAndAHigherOneFillsUp)
{
	customer.rate = customer.burst = 100;
	quo_set_customers(quo, &customers, now);
	EXPECT_LE(level(), 110);
	customer.rate = customer.burst = 2000;
	quo_set_customers(quo, &customers, now);
	EXPECT_LE(level(), 110);
	now += 500 * MS;
	EXPECT_NEAR(level(), 100 + 980, 20);
}

/* Guards against units that an entry used after it was stopped. */
TEST_F(Quota, AnEntryDoesNotUseOldUnits)
{
	struct tok_item item = {};

	ASSERT_EQ(tok_take(tok, &item, "c", 100, 100 * MS, now), TOK_WAITING);
	exchange();
	ASSERT_EQ(tok_decided(tok), &item);
	ASSERT_EQ(item.state, TOK_HELD);
	EXPECT_TRUE(tok_keep(tok, &item, now));
	now += 1100 * MS;
	EXPECT_FALSE(tok_keep(tok, &item, now));
	EXPECT_EQ(item.state, TOK_WAITING);
	exchange(); /* returns the old ones and grants others */
	ASSERT_EQ(tok_decided(tok), &item);
	EXPECT_TRUE(tok_keep(tok, &item, now));
	/* Given back, they serve the next request, but not for longer. */
	tok_give_back(tok, &item, now);
	ASSERT_EQ(tok_take(tok, &item, "c", 100, 100 * MS, now), TOK_HELD);
	tok_give_back(tok, &item, now);
	now += 1100 * MS;
	EXPECT_EQ(tok_take(tok, &item, "c", 100, 100 * MS, now), TOK_WAITING);
	tok_give_back(tok, &item, now);
}

TEST_F(Quota, DenialsAreRememberedUntilTheyExpire)
{
	struct tok_item item = {};

	ask((uint64_t)level() + 240);
	ASSERT_EQ(tok_take(tok, &item, "c", 500, 100 * MS, now), TOK_WAITING);
	exchange();
	ASSERT_EQ(tok_decided(tok), &item);
	EXPECT_EQ(item.state, TOK_DENIED);
	EXPECT_GT(item.retry_us, 0);
	EXPECT_EQ(tok_take(tok, &item, "c", 500, 100 * MS, now), TOK_DENIED);
	/* A smaller one may fit. */
	EXPECT_EQ(tok_take(tok, &item, "c", 10, 250 * MS, now), TOK_WAITING);
	tok_give_back(tok, &item, now);
	now += S;
	EXPECT_EQ(tok_take(tok, &item, "c", 500, 100 * MS, now), TOK_WAITING);
	tok_give_back(tok, &item, now);
}

TEST_F(Quota, ARequestWithoutAnAnswerEndsItsWait)
{
	struct tok_item item = {};

	ASSERT_EQ(tok_take(tok, &item, "c", 100, 300 * MS, now), TOK_WAITING);
	for (int i = 0; i < 4; i++) {
		Dsp__QuotaAsks *asks;

		now += 60 * MS;
		tok_run(tok, now);
		asks = tok_asks(tok, now); /* lost; once repeated */
		if (asks)
			dsp__quota_asks__free_unpacked(asks, nullptr);
		EXPECT_EQ(tok_decided(tok), nullptr);
	}
	now += 60 * MS;
	tok_run(tok, now);
	ASSERT_EQ(tok_decided(tok), &item);
	EXPECT_EQ(item.state, TOK_NO_GRANT);
	EXPECT_EQ(tok_n_waiting(tok), 0u);
}

TEST_F(Quota, RequestsOfOthersTakeNothing)
{
	struct tok_item item = {};

	EXPECT_EQ(tok_take(tok, &item, "other", 100, MS, now), TOK_NONE);
	EXPECT_TRUE(tok_keep(tok, &item, now));
	/* A limit that ends serves those that wait. */
	ASSERT_EQ(tok_take(tok, &item, "c", 100, 300 * MS, now), TOK_WAITING);
	tok_set_customers(tok, nullptr, now);
	ASSERT_EQ(tok_decided(tok), &item);
	EXPECT_EQ(item.state, TOK_HELD);
	tok_used(&item);
}

TEST_F(Quota, UnitsAreTokensOrRequests)
{
	customer.plain_tokens = 30;
	EXPECT_EQ(tok_units(&customer, true, 1620), 1u);
	customer.counts_tokens = true;
	EXPECT_EQ(tok_units(&customer, true, 1620), 1620u);
	EXPECT_EQ(tok_units(&customer, false, 0), 30u);
}
