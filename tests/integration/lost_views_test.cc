#include "system.h"

extern "C" {
#include "lib_proxy.h"
}

/* Tests of an entry that reports to the leader but gets no view. */

namespace
{

/* No entry calls itself isolated during a test. The interval at which an entry
 * asks for a newer view grows to a multiple of report_interval_ms. */
const char *const kTiming = "election_timeout_ms = 500\n"
			    "heartbeat_ms = 50\n"
			    "report_interval_ms = 200\n"
			    "node_lease_ms = 20000\n"
			    "isolated_after_ms = 20000\n";

constexpr size_t kVoter = 0;
constexpr size_t kEntry = 1;
constexpr int kAttemptMs = 8000;
constexpr int kAckLimitMs = 5000;

} // namespace

TEST(LostViews, ChangeIsNotAcknowledgedWhileAnEntryAsksForIt)
{
	System system(2, 1, true, nullptr, kTiming);

	system.start();
	ASSERT_EQ(system.put_document(kVoter, 1).status, 200);
	ASSERT_TRUE(cluster_wait_document(system.cluster, kEntry, "demo", 1,
					  kTimeoutMs));
	struct proxy *views = cluster_proxy(system.cluster, kVoter, kEntry);
	proxy_drop(views, PROXY_TO_TARGET, true);
	Reply reply = system.put_document(kVoter, 2, "", kAttemptMs);
	EXPECT_EQ(system.number_in_force(kEntry), 1u);
	EXPECT_NE(reply.status, 200);
	proxy_drop(views, PROXY_TO_TARGET, false);
	proxy_break_open(views);
	EXPECT_EQ(system.put_document(kVoter, 2).status, 200);
	EXPECT_EQ(system.number_in_force(kEntry), 2u);
}

/* Guards against a change that waits for an entry which has fallen silent, for
 * as long as its lease. */
TEST(LostViews, ChangeDoesNotWaitForAnEntryThatAsksNoMore)
{
	System system(2, 1, true, nullptr, kTiming);

	system.start();
	ASSERT_EQ(system.put_document(kVoter, 1).status, 200);
	ASSERT_TRUE(cluster_wait_document(system.cluster, kEntry, "demo", 1,
					  kTimeoutMs));
	struct proxy *views = cluster_proxy(system.cluster, kVoter, kEntry);
	proxy_drop(views, PROXY_TO_TARGET, true);
	/* Its view is old by then, and it asks at the longest interval. */
	usleep(6000000);
	cluster_freeze(system.cluster, kEntry);
	Reply reply = system.put_document(kVoter, 2, "", kAckLimitMs);
	EXPECT_EQ(reply.status, 200);
	cluster_thaw(system.cluster, kEntry);
}
