#include <cmath>
#include <map>
#include <set>

#include "policy_world.h"

namespace
{

/* Each entry's share of the requests of many callers at one site. */
std::map<std::string, double> shares(const struct view *view, const char *site)
{
	std::map<std::string, double> sum;
	const int callers = 4000;

	for (int seed = 0; seed < callers; seed++) {
		struct ent_item items[ENT_LIST_MAX];
		size_t n = ent_list(view, site, (uint64_t)seed, items);
		double total = 0;

		for (size_t i = 0; i < n; i++)
			total += items[i].weight;
		for (size_t i = 0; i < n && total > 0; i++)
			sum[items[i].node->id] +=
				items[i].weight / total / callers;
	}
	return sum;
}

void three_sites(World &world, int per_site)
{
	const char *const sites[] = { "a", "b", "c" };

	for (const char *site : sites)
		for (int i = 0; i < per_site; i++)
			world.node(site + std::to_string(i), site);
}

/* Callers use the entries of their own site in proportion to size, also when a
 * site has more entries than a list can hold. */
TEST(EntryList, OwnSiteByWeight)
{
	World world;

	three_sites(world, 4);
	for (int i = 0; i < 20; i++)
		world.node("d" + std::to_string(i), "d", i < 10 ? 10 : 30);
	world.refresh();
	auto own = shares(world.view, "d");
	double small = 0, large = 0;
	for (int i = 0; i < 20; i++)
		(i < 10 ? small : large) += own["d" + std::to_string(i)];
	EXPECT_NEAR(large, 0.75, 0.03);
	EXPECT_NEAR(small, 0.25, 0.03);
	auto a = shares(world.view, "a");
	for (int i = 0; i < 4; i++)
		EXPECT_NEAR(a["a" + std::to_string(i)], 0.25, 0.02);
}

/* Draining and down entries are not listed; entries of other sites are listed
 * as alternatives. */
TEST(EntryList, OmitsDrainingAndDownEntries)
{
	World world;
	struct ent_item items[ENT_LIST_MAX];
	std::set<std::string> sites;

	three_sites(world, 3);
	world.node("a0", "a", 10, true);
	world.node_down("a1");
	world.refresh();
	for (uint64_t seed = 0; seed < 50; seed++) {
		size_t n = ent_list(world.view, "a", seed, items);

		ASSERT_GE(n, 2u);
		ASSERT_LE(n, (size_t)ENT_LIST_MAX);
		EXPECT_STREQ(items[0].node->site, "a");
		for (size_t i = 0; i < n; i++) {
			EXPECT_STRNE(items[i].node->id, "a0");
			EXPECT_STRNE(items[i].node->id, "a1");
			sites.insert(items[i].node->site);
		}
	}
	EXPECT_EQ(sites.size(), 3u);
}

/* The weight of a lost site is distributed over all others by size. */
TEST(EntryList, LostSiteIsSpreadOverAllOthers)
{
	World world;

	three_sites(world, 4);
	for (int i = 0; i < 4; i++)
		world.node_down("a" + std::to_string(i));
	world.refresh();
	auto a = shares(world.view, "a");
	for (const char *site : { "b", "c" })
		for (int i = 0; i < 4; i++)
			EXPECT_NEAR(a[site + std::to_string(i)], 0.125, 0.02);
}

/* When a site loses one of four entries, the other three get no more requests
 * than before; the remainder goes to all other sites. */
TEST(EntryList, LostEntryDoesNotOverloadItsSite)
{
	World world;

	three_sites(world, 4);
	world.node_down("a0");
	world.refresh();
	auto a = shares(world.view, "a");
	for (int i = 1; i < 4; i++)
		EXPECT_NEAR(a["a" + std::to_string(i)], 0.25, 0.02);
	double others = 0;
	for (auto &entry : a) {
		if (entry.first[0] == 'a')
			continue;
		others += entry.second;
		EXPECT_NEAR(entry.second, 0.25 / 8, 0.02);
	}
	EXPECT_NEAR(others, 0.25, 0.02);
}

/* Callers without a site are distributed over all entries by size. */
TEST(EntryList, CallerWithoutSite)
{
	World world;

	three_sites(world, 4);
	world.refresh();
	auto all = shares(world.view, NULL);
	EXPECT_EQ(all.size(), 12u);
	for (auto &entry : all)
		EXPECT_NEAR(entry.second, 1.0 / 12, 0.02);
}

/* Other sites of the caller's region come before sites of another region. */
TEST(EntryList, PrefersItsRegion)
{
	World world;

	world.node("a0", "a", 10, false, "north");
	world.node("b0", "b", 10, false, "north");
	world.node("c0", "c", 10, false, "south");
	world.node_down("a0");
	world.refresh();
	EXPECT_NEAR(shares(world.view, "a")["b0"], 1.0, 1e-9);
	world.node_down("b0");
	world.refresh();
	EXPECT_NEAR(shares(world.view, "a")["c0"], 1.0, 1e-9);
}

/* Endpoints announce themselves to entries of two sites; when an entry is lost,
 * only the endpoints that used it change entries. */
TEST(EntryList, LostEntryMovesOnlyItsEndpoints)
{
	World world;
	std::map<std::string, std::pair<std::string, std::string>> before;
	std::map<std::string, int> load;
	const Dsp__Node *out[2];
	int moved = 0;

	three_sites(world, 5);
	world.refresh();
	for (int i = 0; i < 300; i++) {
		std::string id = "e" + std::to_string(i);

		ASSERT_EQ(ent_announce_to(world.view, id.c_str(), out), 2u);
		EXPECT_STRNE(out[0]->site, out[1]->site);
		before[id] = { out[0]->id, out[1]->id };
		load[out[0]->id]++;
		load[out[1]->id]++;
	}
	for (auto &entry : load) {
		EXPECT_GT(entry.second, 15);
		EXPECT_LT(entry.second, 80);
	}
	world.node_down("b2");
	world.refresh();
	for (auto &entry : before) {
		ASSERT_EQ(ent_announce_to(world.view, entry.first.c_str(), out),
			  2u);
		EXPECT_STRNE(out[0]->id, "b2");
		EXPECT_STRNE(out[1]->id, "b2");
		bool used = entry.second.first == "b2" ||
			    entry.second.second == "b2";
		bool same = entry.second.first == out[0]->id &&
			    entry.second.second == out[1]->id;
		if (!used)
			moved += !same;
	}
	EXPECT_EQ(moved, 0);
}

} // namespace
