#include "core/rt_int.h"

/* Share of requests that may be retried (section 10 of docs/design.md). */
#define RETRY_SHARE 0.1
/* Enough for one retry for each slot of a lost endpoint. */
#define RETRY_BURST 32.0
/* Initial credit, so that a team with few requests can retry too. */
#define RETRY_START 4.0

/* Returns the retry budget of a team, which lives as long as ctx. */
struct rt_budget *rt_budget_of(struct rt *ctx, const char *team)
{
	struct rt_budget *budget;

	budget = g_hash_table_lookup(ctx->budgets, team);
	if (budget)
		return budget;
	budget = g_new0(struct rt_budget, 1);
	budget->team = g_strdup(team);
	budget->tokens = RETRY_START;
	g_hash_table_insert(ctx->budgets, budget->team, budget);
	return budget;
}

/* Credits the budget for one request that is not a retry. */
void rt_budget_credit(struct rt_budget *budget)
{
	budget->tokens = MIN(budget->tokens + RETRY_SHARE, RETRY_BURST);
}

/* Takes one retry from the budget; false when it is exhausted. */
bool rt_budget_take(struct rt_budget *budget)
{
	/* Ten credits of 0.1 add up to slightly less than 1.
	 */
	if (budget->tokens < 1.0 - 1e-9)
		return false;
	budget->tokens -= 1.0;
	return true;
}
