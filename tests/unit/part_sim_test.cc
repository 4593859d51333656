#include "state_util.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <queue>

extern "C" {
#include "core/sus.h"
}

/*
 * Simulation of prompt parts that crash endpoints: entries with their own
 * decisions (sus), the replicated state (qua), evidence and views with delays,
 * endpoints with places and queues. PART_SIM_SEED=n runs one seed,
 * PART_SIM_COUNT=n that many from there on.
 */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr int64_t NEVER = INT64_MAX / 2;
/* From the users' rules. */
constexpr int64_t CONTACT = 3 * SECOND;
constexpr size_t FIFTH = 5;
constexpr size_t BUDGET = 3;

struct Options {
	size_t entries = 7, engines = 12, places = 8;
	double rate = 30; /* requests/s at all entries */
	double share = 0.05;
	size_t faulty = 1; /* number of faulty parts */
	int64_t from = 4 * SECOND, to = 26 * SECOND, end = 30 * SECOND;
	int64_t mass_crash = NEVER; /* of many engines at one moment */
	double mass_share = 0.2;
	double crashes = 0; /* other crashes/s, since from */
	size_t callers = 40;
	size_t joining = 0;	/* entries that start after the fault */
	bool decisions = true;	/* entries refuse */
	bool objections = true; /* entries report answers that began */
	int64_t report_delay = 500 * MS, view_delay = 400 * MS;
};

struct Request {
	struct sus_parts parts;
	int faulty = -1;
	bool first_route;
	size_t entry;
	size_t engine;
	int64_t arrived, sent, started = -1;
	bool proven = false, done = false, running = false;
	uint32_t crashes = 0;
	std::string attempt; /* of a granted run */
	std::string tried;   /* its part */
};

struct Engine {
	std::string id;
	uint64_t incarnation = 1;
	bool up = true;
	std::list<Request *> requests; /* in the order of their arrival */
	size_t running = 0;
};

struct Entry {
	struct sus *sus;
	struct view *view;
	bool up = true;
};

struct Outcome {
	size_t crashes = 0;	  /* by faulty parts */
	std::vector<size_t> late; /* per part: sent after the contact time */
	size_t unfound = 0;	  /* faulty parts never in quarantine */
	double usual = 1, during = 1; /* served at the first attempt */
	size_t n_during = 0;
	int64_t longest_first = 0; /* quarantine of a sound first part */
	int64_t longest_sound = 0; /* until the last refusal for it */
	int64_t again = -1;	   /* first faulty part served after the end */
	size_t other_crashes = 0;
};

class Sim
{
      public:
	Sim(uint64_t seed, const Options &options)
	    : o(options), random(seed), st(new_state())
	{
		for (size_t i = 0; i < o.engines; i++) {
			engines.emplace_back();
			engines[i].id = "engine-" + std::to_string(i);
			announce(i);
		}
		for (size_t i = 0; i < o.entries + o.joining; i++) {
			entries.push_back(
				{ sus_new(), view_new_empty(), i < o.entries });
			if (i < o.entries)
				update_view(i);
			else
				at(o.from + between(0, 10 * SECOND),
				   [=] { update_view(i); });
		}
		crash_times.resize(o.faulty);
		reached.resize(o.faulty);
		found.resize(o.faulty);
	}
	~Sim()
	{
		for (Entry &e : entries) {
			sus_free(e.sus);
			view_unref(e.view);
		}
	}

	Outcome run()
	{
		arrive();
		watch();
		if (o.crashes > 0)
			at(o.from, [=] { crash_other(); });
		if (o.mass_crash < o.end)
			at(o.mass_crash, [=] { crash_many(); });
		while (!events.empty() && events.top().at <= o.end) {
			Event e = events.top();

			events.pop();
			now = e.at;
			e.run();
		}
		return outcome();
	}

      private:
	struct Event {
		int64_t at;
		uint64_t order;
		std::function<void()> run;
		bool operator<(const Event &other) const
		{
			return std::tie(other.at, other.order) <
			       std::tie(at, order);
		}
	};

	void at(int64_t time, std::function<void()> run)
	{
		events.push({ time, n_events++, std::move(run) });
	}
	void after(int64_t delay, std::function<void()> run)
	{
		at(now + delay, std::move(run));
	}
	double unit()
	{
		return (double)(random() >> 11) / (double)(1ull << 53);
	}
	int64_t between(int64_t low, int64_t high)
	{
		return low + (int64_t)(unit() * (double)(high - low));
	}
	int64_t exponential(double mean_us)
	{
		return (int64_t)(-std::log(1 - unit()) * mean_us);
	}
	/* Few of n are frequent, most are rare. */
	size_t skewed(size_t n)
	{
		return (size_t)(std::pow(unit(), 2) * (double)n);
	}
	int64_t wall_ms() const
	{
		return 1700000000000 + now / 1000;
	}

	/* ---- Replicated state ---- */

	Dsp__ResultCode apply(Dsp__Command *cmd)
	{
		Dsp__CommandResult *result;
		Dsp__ResultCode code;

		cmd->wall_ms = (uint64_t)wall_ms();
		result = st_apply(st.get(), ++index, cmd);
		code = result->code;
		dsp__command_result__free_unpacked(result, nullptr);
		return code;
	}
	void announce(size_t i)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__EndpointPut put = DSP__ENDPOINT_PUT__INIT;
		Dsp__Endpoint ep = DSP__ENDPOINT__INIT;

		ep.id = str(engines[i].id);
		ep.team = (char *)"verband";
		ep.service = (char *)"kellerrat";
		ep.kind = DSP__ENDPOINT_KIND__ENDPOINT_ENGINE;
		ep.state = DSP__ENDPOINT_STATE__ENDPOINT_UP;
		ep.incarnation = engines[i].incarnation;
		put.endpoint = &ep;
		cmd.body_case = DSP__COMMAND__BODY_ENDPOINT_PUT;
		cmd.endpoint_put = &put;
		apply(&cmd);
	}
	void send_evidence(std::vector<std::string> digests, bool crash,
			   const std::string &id = "", uint64_t incarnation = 0)
	{
		if (digests.empty() || (!crash && !o.objections))
			return;
		after(between(0, o.report_delay), [=] {
			Dsp__Command cmd = DSP__COMMAND__INIT;
			Dsp__PartEvidence body = DSP__PART_EVIDENCE__INIT;
			Dsp__PartCrash msg = DSP__PART_CRASH__INIT;
			Dsp__PartCrash *msgs = &msg;
			std::vector<ProtobufCBinaryData> data;

			for (const std::string &d : digests)
				data.push_back({ 16, (uint8_t *)str(d) });
			if (crash) {
				msg.endpoint = str(id);
				msg.incarnation = incarnation;
				msg.digests = data.data();
				msg.n_digests = data.size();
				body.crashes = &msgs;
				body.n_crashes = 1;
			} else {
				body.begun = data.data();
				body.n_begun = data.size();
			}
			cmd.body_case = DSP__COMMAND__BODY_PART_EVIDENCE;
			cmd.part_evidence = &body;
			apply(&cmd);
		});
	}
	/* The view is that of some time ago when it arrives. */
	void update_view(size_t i)
	{
		Entry &e = entries[i];
		std::shared_ptr<Dsp__ViewUpdate> update =
			own(st_view_since(st.get(), view_index(e.view)));

		after(between(50 * MS, o.view_delay), [=] {
			Entry &entry = entries[i];
			struct view *next =
				view_apply(entry.view, update.get());

			if (next) {
				view_unref(entry.view);
				entry.view = next;
				sus_view(entry.sus, next, now);
				entry.up = true; /* it has the routes */
			}
			update_view(i);
		});
	}
	/* The leader's Expire commands; notes who is in quarantine. */
	void watch()
	{
		const Dsp__Suspect **all;
		size_t n;

		if (st_parts_due_ms(st.get()) <= (uint64_t)wall_ms()) {
			Dsp__Command cmd = DSP__COMMAND__INIT;
			Dsp__Expire body = DSP__EXPIRE__INIT;

			cmd.body_case = DSP__COMMAND__BODY_EXPIRE;
			cmd.expire = &body;
			apply(&cmd);
		}
		std::map<std::string, int64_t> present;
		n = st_suspects(st.get(), &all);
		for (size_t i = 0; i < n; i++) {
			std::string d((char *)all[i]->digest.data, 16);

			if (!all[i]->quarantined)
				continue;
			auto before = quarantined.find(d);
			present[d] = before == quarantined.end()
					     ? now
					     : before->second;
			note_quarantine(d, now - present[d]);
		}
		free(all);
		quarantined.swap(present);
		after(100 * MS, [=] { watch(); });
	}
	void note_quarantine(const std::string &d, int64_t age)
	{
		if (d[0] == 'p')
			found[(size_t)(d[1] - '0')] = true;
		else if (d[0] == 'f')
			result.longest_first =
				std::max(result.longest_first, age);
	}
	/* How long a sound part has been in quarantine when a sound request
	 * is refused for it. */
	void note_refusal(const Request *r, const std::string &d)
	{
		auto since = quarantined.find(d);

		if (r->faulty < 0 && since != quarantined.end())
			result.longest_sound = std::max(result.longest_sound,
							now - since->second);
	}

	/* ---- Requests ---- */

	void add_part(Request *r, char kind, uint64_t number)
	{
		char digest[SUS_DIGEST_LEN + 1];

		snprintf(digest, sizeof(digest), "%c%-15llu", kind,
			 (unsigned long long)number);
		memcpy(r->parts.digests[r->parts.n++], digest, SUS_DIGEST_LEN);
	}
	void arrive()
	{
		Request *r;

		after(exponential((double)SECOND / o.rate), [=] { arrive(); });
		requests.emplace_back();
		r = &requests.back();
		r->parts = {};
		r->arrived = now;
		r->first_route = unit() < 0.6;
		do
			r->entry = random() % entries.size();
		while (!entries[r->entry].up);
		if (r->first_route && now >= o.from && unit() < o.share)
			r->faulty = (int)(random() % o.faulty);
		add_part(r, 'f', r->first_route ? 0 : 1);
		add_part(r, 'c', skewed(o.callers));
		add_part(r, 'o', skewed(200));
		if (unit() < 0.3)
			add_part(r, 'u', requests.size());
		if (r->faulty >= 0)
			add_part(r, 'p', (uint64_t)r->faulty);
		if (r->faulty >= 0 && now < o.to)
			last_faulty = now;
		decide(r);
	}
	void decide(Request *r)
	{
		struct sus_decision d = { .action = SUS_SEND };

		if (o.decisions)
			d = sus_decide(entries[r->entry].sus, &r->parts,
				       r->crashes, now, wall_ms());
		if (d.action == SUS_SEND)
			send(r);
		else if (d.action == SUS_TRY)
			ask(r, std::string((char *)d.digest, 16));
		else
			note_refusal(r, std::string((char *)d.digest, 16));
	}
	/* Returns engines.size() if none is up. */
	size_t choose()
	{
		size_t best = engines.size();

		for (int i = 0; i < 4; i++) {
			size_t e = random() % engines.size();

			if (engines[e].up &&
			    (best == engines.size() ||
			     engines[e].requests.size() <
				     engines[best].requests.size()))
				best = e;
		}
		return best;
	}
	void ask(Request *r, const std::string &digest)
	{
		size_t target = choose();

		if (target == engines.size())
			return;
		r->attempt = "attempt-" + std::to_string(++n_attempts);
		after(between(10 * MS, 100 * MS), [=] {
			Dsp__Command cmd = DSP__COMMAND__INIT;
			Dsp__SuspectRun body = DSP__SUSPECT_RUN__INIT;
			Dsp__ResultCode code;

			body.digest = { 16, (uint8_t *)str(digest) };
			body.endpoint = str(engines[target].id);
			body.incarnation = engines[target].incarnation;
			body.attempt = str(r->attempt);
			cmd.body_case = DSP__COMMAND__BODY_SUSPECT_RUN;
			cmd.suspect_run = &body;
			code = apply(&cmd);
			if (code != DSP__RESULT_CODE__RESULT_OK &&
			    code != DSP__RESULT_CODE__RESULT_NOT_FOUND)
				return;
			if (code == DSP__RESULT_CODE__RESULT_OK)
				r->tried = digest;
			after(between(10 * MS, 100 * MS),
			      [=] { send_to(r, target); });
		});
	}
	void send(Request *r)
	{
		size_t target = choose();

		if (target < engines.size())
			send_to(r, target);
	}
	void send_to(Request *r, size_t target)
	{
		Engine &e = engines[target];

		if (!e.up)
			return;
		r->sent = now;
		r->engine = target;
		r->running = false;
		if (r->faulty >= 0 && is_faulty())
			reached[(size_t)r->faulty].push_back(now);
		e.requests.push_back(r);
		begin_next(target);
	}
	bool is_faulty() const
	{
		return now >= o.from && now < o.to;
	}
	void begin_next(size_t target)
	{
		Engine &e = engines[target];

		for (Request *r : e.requests)
			if (e.running < o.places && !r->running)
				begin(r);
	}
	/* Runs f if the request is still at the same run of its engine. */
	void later(Request *r, int64_t delay, std::function<void()> f)
	{
		uint64_t incarnation = engines[r->engine].incarnation;
		size_t engine = r->engine;

		after(delay, [=] {
			if (engines[engine].incarnation == incarnation &&
			    engines[engine].up && r->engine == engine &&
			    !r->done)
				f();
		});
	}
	void begin(Request *r)
	{
		r->running = true;
		engines[r->engine].running++;
		if (r->faulty >= 0 && is_faulty()) {
			int part = r->faulty;

			later(r, between(60 * MS, 140 * MS), [=] {
				crash_times[(size_t)part].push_back(now);
				crash(r->engine);
			});
			return;
		}
		later(r, 20 * MS + exponential(80 * MS), [=] {
			int64_t length = between(200 * MS, 2500 * MS);

			r->started = now;
			if (r->faulty >= 0 && now >= o.to && result.again < 0)
				result.again = now - o.to;
			later(r, std::min(length, (int64_t)SUS_PROOF_US),
			      [=] { prove(r); });
			later(r, length, [=] {
				Engine &e = engines[r->engine];

				r->done = true;
				e.running--;
				e.requests.remove(r);
				begin_next(r->engine);
			});
		});
	}
	void prove(Request *r)
	{
		uint8_t out[SUS_PARTS_MAX][SUS_DIGEST_LEN];
		std::vector<std::string> digests;
		size_t n = sus_begun(entries[r->entry].sus, &r->parts,
				     r->started, now, out);

		r->proven = true;
		for (size_t i = 0; i < n; i++)
			digests.push_back(std::string((char *)out[i], 16));
		send_evidence(digests, false);
		if (r->tried.empty())
			return;
		after(between(10 * MS, 100 * MS), [=] {
			Dsp__Command cmd = DSP__COMMAND__INIT;
			Dsp__SuspectDone body = DSP__SUSPECT_DONE__INIT;

			body.digest = { 16, (uint8_t *)str(r->tried) };
			body.attempt = str(r->attempt);
			cmd.body_case = DSP__COMMAND__BODY_SUSPECT_DONE;
			cmd.suspect_done = &body;
			apply(&cmd);
		});
	}

	/* ---- Crashes ---- */

	void crash(size_t target)
	{
		Engine &e = engines[target];
		uint64_t incarnation = e.incarnation;
		std::map<size_t, std::vector<Request *>> by_entry;

		if (!e.up)
			return;
		e.up = false;
		e.running = 0;
		for (Request *r : e.requests)
			if (!r->proven)
				by_entry[r->entry].push_back(r);
		e.requests.clear();
		for (auto &lost : by_entry) {
			size_t entry = lost.first;
			std::vector<Request *> all = lost.second;

			std::reverse(all.begin(), all.end());
			after(between(0, 50 * MS),
			      [=] { notice(entry, target, incarnation, all); });
		}
		after(3 * SECOND, [=] {
			engines[target].up = true;
			engines[target].incarnation++;
			announce(target);
		});
	}
	void notice(size_t entry, size_t target, uint64_t incarnation,
		    const std::vector<Request *> &all)
	{
		static uint8_t out[SUS_REPORT_MAX][SUS_DIGEST_LEN];
		std::vector<const struct sus_parts *> parts;
		std::vector<std::string> digests;
		std::vector<Request *> repeats;
		size_t n;

		for (Request *r : all) {
			struct sus_decision d = { .action = SUS_SEND };

			r->crashes++;
			parts.push_back(&r->parts);
			if (r->started >= 0)
				continue; /* the caller has a part of it */
			if (o.decisions)
				d = sus_decide(entries[entry].sus, &r->parts,
					       r->crashes, now, wall_ms());
			if (d.action == SUS_SEND && r->crashes < 3)
				repeats.push_back(r);
		}
		n = sus_crashed(entries[entry].sus, parts.data(), parts.size(),
				now, out);
		for (size_t i = 0; i < n; i++)
			digests.push_back(std::string((char *)out[i], 16));
		send_evidence(digests, true, engines[target].id, incarnation);
		for (Request *r : repeats)
			send(r);
	}
	void crash_other()
	{
		after(exponential((double)SECOND / o.crashes), [=] {
			result.other_crashes++;
			crash(random() % engines.size());
			crash_other();
		});
	}
	void crash_many()
	{
		size_t first = random() % engines.size();

		for (size_t i = 0;
		     i < (size_t)(o.mass_share * (double)engines.size()); i++)
			after(between(0, 100 * MS),
			      [=] { crash((first + i) % engines.size()); });
	}

	/* ---- Outcome ---- */

	/* Share of sound requests of the faulty part's route that arrived from
	 * one time to another and began at the first attempt. */
	double served(int64_t from, int64_t to, size_t *n)
	{
		size_t total = 0, first = 0;

		for (const Request &r : requests) {
			if (!r.first_route || r.faulty >= 0 ||
			    r.arrived < from || r.arrived >= to)
				continue;
			total++;
			first += r.started >= 0 &&
				 !(r.crashes && r.sent != r.arrived);
		}
		*n = total;
		return total ? (double)first / (double)total : 1;
	}
	Outcome outcome()
	{
		int64_t fifth = -1;
		size_t n;

		for (size_t i = 0; i < o.faulty; i++) {
			std::vector<int64_t> &times = crash_times[i];
			int64_t limit = NEVER;
			size_t late = 0;

			result.crashes += times.size();
			if (times.size() >= FIFTH)
				limit = times[FIFTH - 1];
			else if (!times.empty())
				limit = times.back();
			fifth = std::max(fifth, limit);
			if (times.size() >= FIFTH)
				for (int64_t t : reached[i])
					late += t > limit + CONTACT;
			result.late.push_back(late);
			if (times.size() >= FIFTH && !found[i])
				result.unfound++;
		}
		result.usual = served(2 * SECOND, o.from, &n);
		if (fifth >= 0 && fifth < o.to)
			result.during = served(fifth + 2 * CONTACT, last_faulty,
					       &result.n_during);
		return result;
	}

	Options o;
	std::mt19937_64 random;
	State st;
	uint64_t index = 0, n_events = 0, n_attempts = 0;
	int64_t now = 0, last_faulty = 0;
	std::priority_queue<Event> events;
	std::vector<Engine> engines;
	std::vector<Entry> entries;
	std::list<Request> requests;
	std::vector<std::vector<int64_t>> crash_times, reached;
	std::vector<bool> found;
	std::map<std::string, int64_t> quarantined; /* and since when */
	Outcome result;
};

struct Totals {
	size_t runs = 0, crashes = 0, late = 0, over = 0, low = 0, unfound = 0;
	size_t worst_late = 0, most_crashes = 0, never_again = 0;
	double worst_share = 1;
	int64_t longest_first = 0, longest_sound = 0, longest_again = 0;
	std::string failures;
};

Totals run_seeds(const Options &options, uint64_t n)
{
	const char *from = getenv("PART_SIM_SEED");
	const char *count = getenv("PART_SIM_COUNT");
	uint64_t first = from ? strtoull(from, nullptr, 10) : 1;
	Totals t;

	if (from)
		n = count ? strtoull(count, nullptr, 10) : 1;
	for (uint64_t seed = first; seed < first + n; seed++) {
		Outcome out = Sim(seed, options).run();
		bool over = false, low;

		t.runs++;
		t.crashes += out.crashes;
		t.most_crashes = std::max(t.most_crashes, out.crashes);
		for (size_t late : out.late) {
			t.late += late;
			t.worst_late = std::max(t.worst_late, late);
			over = over || late > BUDGET;
		}
		low = out.n_during >= 20 && out.during < out.usual / 2;
		t.over += over;
		t.low += low;
		t.unfound += out.unfound;
		if (out.n_during >= 20)
			t.worst_share =
				std::min(t.worst_share, out.during / out.usual);
		t.longest_first = std::max(t.longest_first, out.longest_first);
		t.longest_sound = std::max(t.longest_sound, out.longest_sound);
		t.longest_again = std::max(t.longest_again, out.again);
		t.never_again += out.again < 0;
		if (over || low || out.unfound)
			t.failures += " " + std::to_string(seed) +
				      (over ? "o" : "") + (low ? "l" : "") +
				      (out.unfound ? "u" : "");
	}
	printf("%zu runs: crashes %zu, most %zu; late %zu, most %zu; over "
	       "budget %zu, low %zu, unfound %zu; least served %.3f; "
	       "quarantine of a first part %.1f s, refusals for a sound one "
	       "until %.1f s; served again after %.1f s, not at all %zu; "
	       "seeds%s\n",
	       t.runs, t.crashes, t.most_crashes, t.late, t.worst_late, t.over,
	       t.low, t.unfound, t.worst_share, (double)t.longest_first / 1e6,
	       (double)t.longest_sound / 1e6, (double)t.longest_again / 1e6,
	       t.never_again, t.failures.c_str());
	return t;
}

/* The users' rules, and how long a sound part may be refused. */
void expect_rules(const Totals &t)
{
	EXPECT_EQ(t.over, 0u) << "BUDGET, seeds" << t.failures;
	EXPECT_EQ(t.low, 0u) << "LOST, seeds" << t.failures;
	EXPECT_EQ(t.unfound, 0u) << "not found, seeds" << t.failures;
	EXPECT_LE(t.longest_first, 2 * CONTACT);
	EXPECT_LE(t.longest_sound, 30 * SECOND);
}

Options large_site()
{
	Options o;

	o.entries = 191;
	o.engines = 117;
	o.rate = 300;
	o.callers = 400;
	return o;
}

TEST(PartSim, SmallSiteKeepsTheRules)
{
	expect_rules(run_seeds({}, 100));
}

TEST(PartSim, LargeSiteKeepsTheRules)
{
	expect_rules(run_seeds(large_site(), 4));
}

TEST(PartSim, WithoutRefusalsTheBudgetBreaks)
{
	Totals t;
	Options o;

	o.decisions = false;
	t = run_seeds(o, 20);
	EXPECT_EQ(t.over, t.runs);
}

TEST(PartSim, RareRequestsAreFoundToo)
{
	Options o;

	o.rate = 8;
	o.to = 80 * SECOND;
	o.end = 84 * SECOND;
	expect_rules(run_seeds(o, 40));
}

TEST(PartSim, TwoPartsAtTheSameTimeAreBothFound)
{
	Options o;

	o.faulty = 2;
	o.share = 0.1;
	expect_rules(run_seeds(o, 60));
}

TEST(PartSim, OtherCrashesDoNotHideThePart)
{
	Options o;

	o.crashes = 0.3;
	o.mass_crash = o.from + 2 * SECOND;
	expect_rules(run_seeds(o, 60));
}

TEST(PartSim, OtherCrashesDoNotHideThePartOnALargeSite)
{
	Options o = large_site();

	o.crashes = 1;
	o.mass_crash = o.from + 2 * SECOND;
	expect_rules(run_seeds(o, 2));
}

TEST(PartSim, CrashesWithoutAFaultyPartBlameNone)
{
	Options o;

	o.share = 0;
	o.crashes = 0.5;
	o.mass_crash = o.from + 2 * SECOND;
	expect_rules(run_seeds(o, 60));
}

TEST(PartSim, CrashOfAllEndpointsIsOverSoon)
{
	Options o;

	o.share = 0;
	o.mass_crash = o.from + 2 * SECOND;
	o.mass_share = 1;
	expect_rules(run_seeds(o, 60));
}

TEST(PartSim, PartIsFoundDespiteCrashesAtOneMomentThatCountOnce)
{
	const uint64_t seeds[] = { 1091, 2367 };
	Options o;

	o.joining = 5;
	for (uint64_t seed : seeds)
		for (size_t late : Sim(seed, o).run().late)
			EXPECT_LE(late, BUDGET) << "seed " << seed;
	o.joining = 0;
	o.faulty = 2;
	o.share = 0.1;
	for (size_t late : Sim(1532, o).run().late)
		EXPECT_LE(late, BUDGET);
}

TEST(PartSim, EntriesThatJoinKnowThePart)
{
	Options o;

	o.joining = 5;
	expect_rules(run_seeds(o, 40));
}

TEST(PartSim, PartIsServedAgainAfterTheFault)
{
	Totals t;
	Options o;

	o.end = o.to + 75 * SECOND;
	t = run_seeds(o, 40);
	expect_rules(t);
	EXPECT_EQ(t.never_again, 0u);
	EXPECT_LE(t.longest_again, 65 * SECOND);
}

} // namespace
