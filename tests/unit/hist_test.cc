#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "base/hist.h"
}

/* Every quantile stays within the relative error bound of 1/32. */
TEST(Hist, QuantileStaysWithinTheErrorBound)
{
	std::mt19937_64 random(7);
	std::vector<int64_t> values;
	struct hist *hist = hist_new();

	for (int i = 0; i < 20000; i++) {
		int64_t value = (int64_t)(random() >> (random() % 50 + 14));
		values.push_back(value);
		hist_add(hist, value);
	}
	std::sort(values.begin(), values.end());
	for (double q : { 0.01, 0.5, 0.9, 0.99, 0.999, 1.0 }) {
		size_t rank = (size_t)(q * (double)values.size() + 0.9999999);
		int64_t exact = values[rank - 1];
		int64_t got = hist_quantile(hist, q);
		EXPECT_GE(got, exact);
		EXPECT_LE((double)got, (double)exact * (1 + 1.0 / 32) + 1);
	}
	EXPECT_EQ(hist_count(hist), values.size());
	hist_free(hist);
}

TEST(Hist, EmptyHistogramHasQuantileZero)
{
	struct hist *hist = hist_new();

	EXPECT_EQ(hist_quantile(hist, 0.99), 0);
	hist_free(hist);
}
