#include "system.h"

/* Tests of orders that are lost, late, duplicated, or superseded when they
 * arrive, with engines that check fences and engines that ignore them. The fake
 * engines record an event when the memory of an accelerator is exceeded. */

namespace
{

constexpr int kFirstMb = 30000;
constexpr int kSecondMb = 45000; /* fits beside it in 80000 MB */

class Orders : public ::testing::TestWithParam<bool>
{
      protected:
	void SetUp() override
	{
		std::vector<const char *> args = { "--load-ms", "200" };

		if (!GetParam())
			args.push_back("--no-fencing");
		system.start();
		engine = system.endpoint("engine1", args);
		proxy = cluster_endpoint_proxy(system.cluster, engine);
	}

	void expect_model(const char *model)
	{
		for (size_t i = 0; i < 3; i++)
			EXPECT_TRUE(cluster_wait_model(
				system.cluster, i, "demo", model, kTimeoutMs));
	}

	void expect_no_overcommit()
	{
		EXPECT_EQ(system.count_events("overcommit"), 0u);
	}

	/* Delivers every recorded order twice more, first in the order of
	 * arrival, then in reverse. */
	void deliver_all_again()
	{
		size_t n = proxy_recorded(proxy);

		for (size_t i = 0; i < n; i++)
			proxy_deliver(proxy, i);
		for (size_t i = n; i > 0; i--)
			proxy_deliver(proxy, i - 1);
	}

	System system;
	size_t engine = 0;
	struct proxy *proxy = nullptr;
};

} // namespace

/* Late and duplicate orders: after a model was withdrawn and others took its
 * place, every order that was ever sent arrives again, twice. An accelerator
 * has memory for one of the three models. On an engine that ignores fences, the
 * memory of the withdrawn model must not be used again. The test fails if the
 * reservation of section 8 of docs/design.md is relaxed
 * (orders_may_duplicate = false). */
TEST_P(Orders, AllOrdersArriveAgain)
{
	constexpr int kLargeMb = 45000;
	std::vector<const char *> args = { "--load-ms", "200" };

	if (!GetParam())
		args.push_back("--no-fencing");
	size_t second = system.endpoint("engine2", args);
	struct proxy *proxies[] = { proxy, cluster_endpoint_proxy(
						   system.cluster, second) };
	for (struct proxy *p : proxies)
		proxy_record(p, true);
	ASSERT_EQ(system.put_document(0, 1, System::model("first", kLargeMb))
			  .status,
		  200);
	expect_model("first");
	ASSERT_EQ(system.put_document(0, 2, System::model("second", kLargeMb))
			  .status,
		  200);
	expect_model("second");
	ASSERT_TRUE(System::wait_for(
		[&] { return system.count_events("unloaded") >= 1; }));
	ASSERT_EQ(system.put_document(0, 3,
				      System::model("second", kLargeMb) +
					      System::model("third", kLargeMb))
			  .status,
		  200);
	if (GetParam())
		expect_model("third");
	else
		usleep(3000000); /* placement rounds must not load it */
	for (struct proxy *p : proxies) {
		proxy = p;
		deliver_all_again();
	}
	usleep(1000000);
	expect_no_overcommit();
	expect_model("second");
}

/* Lost orders and a change of leader: orders are held back, the leader is
 * killed, and the next leader completes the load; then they arrive. */
TEST_P(Orders, HeldOrdersArriveAfterTheLeaderChanged)
{
	proxy_hold(proxy, true);
	ASSERT_EQ(system.put_document(0, 1, System::model("first", kFirstMb))
			  .status,
		  200);
	ASSERT_TRUE(System::wait_for([&] { return proxy_recorded(proxy) > 0; }))
		<< "no order was sent";
	size_t leader = (size_t)system.wait_leader();
	cluster_kill(system.cluster, leader);
	system.wait_leader();
	proxy_hold(proxy, false);
	proxy_break_open(proxy);
	size_t other = (leader + 1) % 3;
	EXPECT_TRUE(cluster_wait_model(system.cluster, other, "demo", "first",
				       kTimeoutMs));
	ASSERT_TRUE(System::wait_for([&] {
		return system.put_document(other, 2,
					   System::model("second", kSecondMb))
			       .status == 200;
	}));
	EXPECT_TRUE(cluster_wait_model(system.cluster, other, "demo", "second",
				       kTimeoutMs));
	deliver_all_again();
	usleep(1000000);
	expect_no_overcommit();
	EXPECT_TRUE(cluster_wait_model(system.cluster, other, "demo", "second",
				       kTimeoutMs));
}

/* A leader that was frozen continues after another one has taken over: whatever
 * it still sends is a late order. */
TEST_P(Orders, FrozenLeaderSendsLate)
{
	ASSERT_EQ(system.put_document(0, 1, System::model("first", kFirstMb))
			  .status,
		  200);
	expect_model("first");
	size_t leader = (size_t)system.wait_leader();
	size_t other = (leader + 1) % 3;
	proxy_hold(proxy, true);
	std::thread operation([&] {
		system.put_document(other, 2,
				    System::model("second", kSecondMb), 5000);
	});
	usleep(300000);
	cluster_freeze(system.cluster, leader);
	operation.join();
	proxy_hold(proxy, false);
	proxy_break_open(proxy);
	ASSERT_TRUE(System::wait_for([&] {
		return system.put_document(other, 2,
					   System::model("second", kSecondMb),
					   5000)
			       .status == 200;
	}));
	EXPECT_TRUE(cluster_wait_model(system.cluster, other, "demo", "second",
				       kTimeoutMs));
	cluster_thaw(system.cluster, leader);
	deliver_all_again();
	usleep(1000000);
	expect_no_overcommit();
	EXPECT_TRUE(cluster_wait_model(system.cluster, leader, "demo", "second",
				       kTimeoutMs));
}

/* After the restart of an engine its copies are gone and must be loaded again,
 * while orders to its previous incarnation arrive late. */
TEST_P(Orders, RestartedEngineGetsItsModelsBack)
{
	proxy_record(proxy, true);
	ASSERT_EQ(
		system.put_document(0, 1,
				    System::model("first", kFirstMb) +
					    System::model("second", kSecondMb))
			.status,
		200);
	expect_model("first");
	expect_model("second");
	cluster_kill_endpoint(system.cluster, engine);
	cluster_restart_endpoint(system.cluster, engine);
	deliver_all_again();
	for (const char *model : { "first", "second" })
		EXPECT_TRUE(System::wait_for([&] {
			Reply reply = system.complete(0, "again", 3, false,
						      model, 5000);

			return System::text(reply) ==
			       System::expected("again", 3, model);
		})) << model;
	deliver_all_again();
	usleep(500000);
	expect_no_overcommit();
}

INSTANTIATE_TEST_SUITE_P(Engines, Orders, ::testing::Bool(),
			 [](const ::testing::TestParamInfo<bool> &info) {
				 return info.param ? "CheckFences"
						   : "IgnoreFences";
			 });
