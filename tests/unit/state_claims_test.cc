#include "state_util.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <set>

/*
 * Claims of the replicated state, checked against a reference table under
 * stalled owners, resends, and lost and repeated commands. The table implements
 * only the rules of section 9 of docs/design.md and is compared with every
 * claim after every step.
 *
 * Run: build/unit/state_claims_test [--gtest_filter=...]; set STATE_SEED=n to
 * run one seed only.
 */
namespace
{

const Dsp__ClaimState CLAIMED = DSP__CLAIM_STATE__CLAIM_CLAIMED;
const Dsp__ClaimState ANSWERED = DSP__CLAIM_STATE__CLAIM_ANSWERED;
const Dsp__ClaimState UNKNOWN = DSP__CLAIM_STATE__CLAIM_UNKNOWN;
const Dsp__ClaimState RELEASED = DSP__CLAIM_STATE__CLAIM_RELEASED;

const Dsp__ResultCode OK = DSP__RESULT_CODE__RESULT_OK;
const Dsp__ResultCode INVALID = DSP__RESULT_CODE__RESULT_INVALID;
const Dsp__ResultCode SAME = DSP__RESULT_CODE__RESULT_SAME;

constexpr uint64_t GRACE_MS = 10000;
constexpr uint64_t RETENTION_MS = 40000;
constexpr uint64_t RELEASE_RETENTION_MS = 60000;
constexpr size_t CLAIMS_MAX = 4;
constexpr size_t BODIES_MAX_BYTES = 40;
constexpr size_t BODY_MAX_BYTES = 20;

const struct st_limits limits = {
	CLAIMS_MAX, BODIES_MAX_BYTES, BODY_MAX_BYTES, (int64_t)RETENTION_MS,
	3600000,
};

/* One node's attempt to claim and run a request. */
struct Attempt {
	std::string name, node, request;
	uint64_t boot;
	char digest;
	uint64_t deadline_ms;
	bool granted = false;	 /* received the grant */
	bool abandoned = false;	 /* never dispatches */
	bool dispatched = false; /* sent to an endpoint */
};

/* A claim in the reference table. */
struct Entry {
	Dsp__ClaimState state;
	std::string attempt, node, body;
	uint64_t boot;
	char digest;
	uint64_t deadline_ms, finished_ms = 0;
	bool body_dropped = false;
	uint32_t status = 0;
};

/* Applies random commands and keeps the reference table. */
class Simulation
{
      public:
	explicit Simulation(Trace *trace, bool with_restored = true)
	    : r(&limits, with_restored), trace(trace)
	{
		for (const char *node : { "entry-a", "entry-b" }) {
			boots[node] = ++last_boot;
			put_node(r, node, boots[node]);
		}
	}

	void step(const Step &s)
	{
		switch (s.op % 14) {
		case 0:
		case 1:
		case 2:
			propose(s.a, s.b, s.c);
			break;
		case 3:
			if (!attempts.empty())
				create(attempts[s.a % attempts.size()]);
			break;
		case 4:
		case 5:
			if (!attempts.empty())
				dispatch(attempts[s.a % attempts.size()]);
			break;
		case 6:
		case 7:
		case 8:
			if (!attempts.empty())
				finish(attempts[s.a % attempts.size()], s.b);
			break;
		case 9:
			if (!attempts.empty())
				abandon(attempts[s.a % attempts.size()]);
			break;
		case 10:
			if (s.b % 4 == 0)
				reboot(s.a % 2 ? "entry-a" : "entry-b", s.c);
			break;
		case 11:
			wait(s.a % 4 ? s.b % 3000 : s.b % 30000);
			break;
		case 12:
			r.restore();
			break;
		default:
			get("request" + std::to_string(s.a % 5));
		}
		check();
	}

	void check_replicas()
	{
		if (failure.empty())
			failure = r.check();
	}

	std::string failure;

	/* The public functions below are used by enumerate() too. */
	Attempt &add(const std::string &node, const std::string &request,
		     char digest, uint64_t remaining_ms)
	{
		Attempt a;

		a.node = node;
		a.boot = boots[node];
		a.name = node + "." + std::to_string(a.boot) + "." +
			 std::to_string(++counter);
		a.request = request;
		a.digest = digest;
		a.deadline_ms = r.wall_ms + remaining_ms;
		attempts.push_back(a);
		return attempts.back();
	}

	/* Proposes the claim of an attempt, or repeats the proposal. */
	void create(Attempt &a)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__ClaimCreate body = DSP__CLAIM_CREATE__INIT;
		Dsp__Claim claim = DSP__CLAIM__INIT;
		std::string digest(16, a.digest);
		bool other = is_other_request(a);
		bool expected = expect_grant(a);

		claim.team = str(team);
		claim.request_id = str(a.request);
		claim.digest.data = (uint8_t *)&digest[0];
		claim.digest.len = 16;
		claim.attempt = str(a.name);
		claim.node = str(a.node);
		claim.boot = a.boot;
		claim.deadline_ms = a.deadline_ms;
		body.claim = &claim;
		cmd.body_case = DSP__COMMAND__BODY_CLAIM_CREATE;
		cmd.claim_create = &body;
		Result res = r.apply(&cmd);
		bool granted = (res->code == OK || res->code == SAME) &&
			       res->claim && res->claim->state == CLAIMED &&
			       res->claim->attempt == a.name;
		note("claim " + a.request + " by " + a.name + ": code " +
		     std::to_string(res->code));
		if (other != (res->code == INVALID))
			fail("digest of the request is not compared");
		if (granted != expected)
			fail(granted ? "claim granted against the rules"
				     : "claim refused although the rules grant "
				       "it");
		a.granted = a.granted || granted;
	}

	/* The node sends the request once, if it received the grant. */
	void dispatch(Attempt &a)
	{
		if (!a.granted || a.abandoned || a.dispatched)
			return;
		a.dispatched = true;
		note(a.name + " dispatches " + a.request);
		if (++n_dispatches[a.request] > 1)
			fail("request ran twice");
	}

	void finish_as(Attempt &a, Dsp__ClaimState state,
		       const std::string &text)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__ClaimFinish body = DSP__CLAIM_FINISH__INIT;
		std::string type = "text/plain";

		body.team = str(team);
		body.request_id = str(a.request);
		body.attempt = str(a.name);
		body.state = state;
		body.status = 200;
		body.content_type = str(type);
		body.body.data = (uint8_t *)text.data();
		body.body.len = text.size();
		cmd.body_case = DSP__COMMAND__BODY_CLAIM_FINISH;
		cmd.claim_finish = &body;
		expire_table();
		auto at = table.find(a.request);
		if (at == table.end()) {
			if (state == RELEASED && make_room()) {
				Entry e = {};

				e.state = RELEASED;
				e.attempt = a.name;
				e.deadline_ms = e.finished_ms = r.wall_ms;
				enter(a.request, e);
			}
		} else if (at->second.attempt == a.name &&
			   (at->second.state == CLAIMED ||
			    (at->second.state == UNKNOWN &&
			     state == ANSWERED))) {
			end(a.request, state);
			if (state == ANSWERED)
				store(a.request, text);
		}
		Result res = r.apply(&cmd);
		note(a.name + " finishes " + a.request + " as " +
		     std::to_string(state) + ": code " +
		     std::to_string(res->code));
	}

	void abandon(Attempt &a)
	{
		if (a.dispatched)
			return;
		a.abandoned = true;
		finish_as(a, RELEASED, "");
	}

	void wait(uint64_t ms)
	{
		r.wall_ms += ms;
		expire(r);
		expire_table();
		note("time passes: " + std::to_string(ms) + " ms");
	}

	void down(const std::string &node)
	{
		node_is_down(r, node, boots[node]);
		note(node + " is down");
		down_nodes.insert(node);
		fail_owner(node, boots[node]);
	}

	void check()
	{
		const Dsp__Claim **open;
		size_t n = st_claims_open(r.st.get(), &open), expected = 0;

		free(open);
		expire_table();
		for (int i = 0; i < 5; i++)
			compare("request" + std::to_string(i));
		for (const auto &e : table)
			expected += e.second.state == CLAIMED;
		if (n != expected)
			fail("number of open claims differs");
		if (++steps % 16 == 0 && failure.empty())
			failure = r.check();
	}

	std::vector<Attempt> attempts;
	std::map<std::string, int> n_dispatches; /* per request */
	std::map<std::string, Entry> table;
	std::map<std::string, uint64_t> boots;
	Replicas r;

      private:
	void note(const std::string &line)
	{
		if (trace)
			trace->push_back(line);
	}

	void fail(const std::string &text)
	{
		if (failure.empty())
			failure = text;
	}

	void propose(uint32_t a, uint32_t b, uint32_t c)
	{
		Attempt &attempt = add(a % 2 ? "entry-a" : "entry-b",
				       "request" + std::to_string(b % 5),
				       c % 16 == 0 ? 'x' : 'd', c % 5000);

		/* Otherwise it is proposed by a later step, or never. */
		if (a / 2 % 8)
			create(attempt);
	}

	void finish(Attempt &a, uint32_t b)
	{
		if (a.dispatched)
			finish_as(a, b % 4 ? ANSWERED : UNKNOWN,
				  std::string(b / 4 % 30, 'b'));
		else if (b % 2)
			abandon(a);
	}

	void reboot(const std::string &node, uint32_t c)
	{
		if (c % 3 == 0) {
			down(node);
			return;
		}
		if (c % 3 == 1) { /* the process was not down */
			put_node(r, node, boots[node]);
			down_nodes.erase(node);
			note(node + " is back");
			return;
		}
		uint64_t old = boots[node];

		boots[node] = ++last_boot;
		put_node(r, node, boots[node]);
		down_nodes.erase(node);
		note(node + " restarts");
		fail_owner(node, old);
	}

	/* Open claims of a boot that ended get an unknown outcome. */
	void fail_owner(const std::string &node, uint64_t boot)
	{
		std::vector<std::string> ended;

		for (const std::string &request : by_last_change) {
			const Entry &e = table[request];

			if (e.state == CLAIMED && e.node == node &&
			    e.boot == boot)
				ended.push_back(request);
		}
		for (const std::string &request : ended)
			end(request, UNKNOWN);
	}

	void enter(const std::string &request, const Entry &e)
	{
		table[request] = e;
		by_last_change.push_back(request);
	}

	void forget(const std::string &request)
	{
		table.erase(request);
		by_last_change.erase(std::find(by_last_change.begin(),
					       by_last_change.end(), request));
	}

	void end(const std::string &request, Dsp__ClaimState state)
	{
		Entry e = table[request];

		forget(request);
		e.state = state;
		e.finished_ms = r.wall_ms;
		enter(request, e);
	}

	/*
	 * Stores the body of an answer, unless it is too large; then drops the
	 * oldest bodies until their sum is within its limit.
	 */
	void store(const std::string &request, const std::string &text)
	{
		Entry &e = table[request];
		size_t total = 0;

		e.status = 200;
		if (text.size() > BODY_MAX_BYTES) {
			e.body_dropped = true;
			return;
		}
		e.body = text;
		for (const auto &other : table)
			total += other.second.body.size();
		for (const std::string &oldest : by_last_change) {
			Entry &o = table[oldest];

			if (total <= BODIES_MAX_BYTES)
				break;
			if (o.state != ANSWERED || o.body_dropped)
				continue;
			total -= o.body.size();
			o.body.clear();
			o.body_dropped = true;
		}
	}

	void expire_table()
	{
		std::vector<std::string> all(by_last_change.begin(),
					     by_last_change.end());

		for (const std::string &request : all) {
			const Entry &e = table[request];

			if (e.state == CLAIMED &&
			    e.deadline_ms + GRACE_MS <= r.wall_ms)
				end(request, UNKNOWN);
		}
		for (const std::string &request : all) {
			const Entry &e = table[request];
			uint64_t keep = e.state == RELEASED
						? RELEASE_RETENTION_MS
						: RETENTION_MS;

			if (e.state != CLAIMED &&
			    e.finished_ms + keep <= r.wall_ms) {
				/*
				 * A request may run again once its outcome is
				 * forgotten. No attempt lasts longer than an
				 * outcome is kept (24 h).
				 */
				if (e.state != RELEASED)
					end_attempts(request);
				forget(request);
			}
		}
	}

	/* No granted attempt dispatches the request from now on. */
	void end_attempts(const std::string &request)
	{
		n_dispatches.erase(request);
		for (Attempt &a : attempts)
			if (a.request == request && a.granted)
				a.abandoned = true;
	}

	/* Removes the oldest released claim if the table is full, or fails. */
	bool make_room()
	{
		if (table.size() < CLAIMS_MAX)
			return true;
		for (const std::string &request : by_last_change) {
			if (table[request].state == RELEASED) {
				forget(request);
				return true;
			}
		}
		return false;
	}

	/* The request id is held by a request with another digest. */
	bool is_other_request(const Attempt &a)
	{
		expire_table();
		auto at = table.find(a.request);

		return at != table.end() && at->second.state != RELEASED &&
		       at->second.digest != a.digest;
	}

	/*
	 * Returns whether the rules grant the claim; enters a new claim into
	 * the table.
	 */
	bool expect_grant(const Attempt &a)
	{
		expire_table();
		auto at = table.find(a.request);
		if (at != table.end() && at->second.state != RELEASED)
			return at->second.state == CLAIMED &&
			       at->second.attempt == a.name &&
			       at->second.digest == a.digest;
		if (at != table.end() && at->second.attempt == a.name)
			return false;
		if (at != table.end())
			forget(a.request);
		if (a.deadline_ms + GRACE_MS <= r.wall_ms ||
		    boots[a.node] != a.boot || down_nodes.count(a.node) ||
		    !make_room())
			return false;
		Entry e = {};
		e.state = CLAIMED;
		e.attempt = a.name;
		e.node = a.node;
		e.boot = a.boot;
		e.digest = a.digest;
		e.deadline_ms = std::max(a.deadline_ms, r.wall_ms);
		enter(a.request, e);
		return true;
	}

	void get(const std::string &request)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__ClaimGet body = DSP__CLAIM_GET__INIT;

		body.team = str(team);
		body.request_id = str(request);
		cmd.body_case = DSP__COMMAND__BODY_CLAIM_GET;
		cmd.claim_get = &body;
		expire_table();
		Result res = r.apply(&cmd);
		if ((res->code == OK) != (table.count(request) > 0))
			fail("read of a claim differs");
	}

	void compare(const std::string &request)
	{
		const Dsp__Claim *c =
			st_claim(r.st.get(), team.c_str(), request.c_str());
		auto at = table.find(request);

		if (!c || at == table.end()) {
			if (c || at != table.end())
				fail("presence of " + request + " differs");
			return;
		}
		const Entry &e = at->second;
		if (c->state != e.state)
			fail("state of " + request + " differs");
		if (c->attempt != e.attempt)
			fail("owner of " + request + " differs");
		if (c->state == ANSWERED &&
		    (std::string((char *)c->body.data, c->body.len) != e.body ||
		     (bool)c->body_dropped != e.body_dropped ||
		     c->status != e.status))
			fail("outcome of " + request + " differs");
	}

	Trace *trace;
	/* Requests in the table, oldest change first. */
	std::vector<std::string> by_last_change;
	std::set<std::string> down_nodes;
	std::string team = "verband";
	uint64_t last_boot = 0, counter = 0, steps = 0;
};

std::string run_history(uint64_t seed, const Steps &steps, Trace *trace)
{
	Simulation simulation(trace);

	(void)seed;
	for (const Step &s : steps) {
		simulation.step(s);
		if (!simulation.failure.empty())
			return simulation.failure;
	}
	simulation.check_replicas();
	return simulation.failure;
}

/*
 * Runs all continuations of path up to depth events: one request id, two entry
 * nodes, and all interleavings of their claims, repeated claims, abandonments,
 * dispatches and outcomes with expiry and the loss of an owner. Returns the
 * number of histories.
 */
size_t enumerate(const std::vector<std::string> &path, size_t depth,
		 std::set<std::string> *failures)
{
	static const char *const events[] = {
		"claim a",    "claim b",    "abandon a", "abandon b",
		"dispatch a", "dispatch b", "answer a",	 "answer b",
		"expire",     "down a",
	};
	size_t n = 1;

	Simulation simulation(nullptr, false);
	simulation.add("entry-a", "request0", 'd', 1000);
	simulation.add("entry-b", "request0", 'd', 4000);
	for (const std::string &event : path) {
		Attempt &a = simulation.attempts[event.back() == 'b' ? 1 : 0];

		if (event[0] == 'c')
			simulation.create(a);
		else if (event.rfind("ab", 0) == 0)
			simulation.abandon(a);
		else if (event.rfind("di", 0) == 0)
			simulation.dispatch(a);
		else if (event.rfind("an", 0) == 0 && a.dispatched)
			simulation.finish_as(a, ANSWERED, "done");
		else if (event[0] == 'e')
			simulation.wait(5000);
		else if (event[0] == 'd')
			simulation.down("entry-a");
		simulation.check();
	}
	if (!simulation.failure.empty()) {
		std::string text = simulation.failure + " after";

		for (const std::string &event : path)
			text += ", " + event;
		failures->insert(text);
		return n;
	}
	if (path.size() < depth) {
		for (const char *event : events) {
			const Attempt &a =
				simulation.attempts[event[strlen(event) - 1] ==
						    'b'];
			std::vector<std::string> next = path;

			/* An event without effect adds no new history. */
			if ((event[0] == 'd' && event[1] == 'i' &&
			     (!a.granted || a.abandoned || a.dispatched)) ||
			    (event[0] == 'a' && event[1] == 'n' &&
			     !a.dispatched) ||
			    (event[0] == 'a' && event[1] == 'b' &&
			     a.dispatched))
				continue;

			next.push_back(event);
			n += enumerate(next, depth, failures);
		}
	}
	return n;
}

} // namespace

/*
 * Guards section 9 of docs/design.md: a claim is granted to one attempt only,
 * and never again unless its owner released it. Expiry, retention, the limits
 * of the table and restored replicas match the reference table.
 */
TEST(StateClaims, HistoriesMatchTheReferenceTable)
{
	run_histories(3000, 120, run_history);
}

/*
 * Guards section 9 of docs/design.md for one request id and two entry nodes:
 * no interleaving runs the request twice.
 */
TEST(StateClaims, EveryInterleavingOfTwoEntries)
{
	std::set<std::string> failures;
	size_t n = enumerate({}, 7, &failures);

	for (const std::string &text : failures)
		ADD_FAILURE() << text;
	printf("%zu histories\n", n);
}
