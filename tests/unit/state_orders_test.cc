#include "state_util.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

/*
 * Orders and memory reservations of the replicated state under an adversarial
 * network: it keeps every order that was sent and may deliver it late,
 * repeatedly and after the unload of the same copy, also from a deposed leader.
 * The reference is the list of all loads that can still be delivered: together
 * with the resident copies they must fit into each accelerator after every
 * step.
 *
 * Run: build/unit/state_orders_test [--gtest_filter=...]; set STATE_SEED=n to
 * run one seed only.
 */
namespace
{

constexpr uint32_t CAPACITY_MB = 100;
constexpr uint32_t ACCELERATORS = 2;

using Key = std::tuple<std::string, std::string, std::string, uint32_t,
		       uint32_t>; /* model, version, adapter, first, n */

/* A committed order, and how often it was sent. */
struct Order {
	uint64_t id;
	size_t endpoint;
	uint64_t incarnation;
	Dsp__OrderKind kind;
	Key key;
	uint32_t memory_mb;
	uint64_t term;	     /* of the leader that created it */
	uint32_t sends = 0;  /* by that leader in that term */
	bool others = false; /* sent by another leader or in another term */
};

/* A copy that is resident on an engine, loading or unloading. */
struct EngineCopy {
	uint32_t memory_mb;
	uint64_t order; /* id of the load */
	bool ready;
	bool unloading;
	uint64_t unload; /* position of the unload + 1; 0: none */
};

/* A residency report or announcement, as written at one time. */
struct Report {
	uint64_t incarnation;
	uint64_t fence;
	std::map<Key, EngineCopy> copies;
	bool leaving;
};

struct Answer {
	size_t order; /* position in Simulation::orders */
	Dsp__OrderState state;
};

/* A simulated endpoint and the messages from and to it. */
struct Engine {
	std::string id;
	bool fencing, checks_incarnation;
	uint64_t incarnation = 0;
	uint64_t fence = 0;
	bool leaving = false;
	std::map<Key, EngineCopy> copies;
	std::vector<Report> reports;   /* all that were written */
	std::vector<Report> announced; /* one per incarnation */
	std::vector<Answer> answers;
	/* Orders in transit; unused if orders may be duplicated. */
	std::vector<size_t> network;
};

/* Applies random events to engines, network, leaders and the state. */
class Simulation
{
      public:
	/* One endpoint with the given features, for Enumeration. */
	Simulation(bool duplicates, bool fencing, bool checks_incarnation)
	    : trace(nullptr), r(&st_default_limits, false),
	      duplicates(duplicates)
	{
		Engine e;

		e.id = "runner0";
		e.fencing = fencing;
		e.checks_incarnation = checks_incarnation;
		engines.push_back(e);
		publish();
		start(engines[0], {});
		announce(engines[0], engines[0].announced.back());
	}

	/* Two endpoints with random features. */
	Simulation(uint64_t seed, Trace *trace) : trace(trace)
	{
		std::mt19937_64 random(seed * 7919);

		duplicates = random() % 3 != 0;
		for (size_t i = 0; i < 2; i++) {
			Engine e;

			e.id = "runner" + std::to_string(i);
			e.fencing = random() % 2;
			e.checks_incarnation = random() % 3 != 0;
			engines.push_back(e);
		}
		note("duplicates " + std::to_string(duplicates) + ", fencing " +
		     std::to_string(engines[0].fencing) +
		     std::to_string(engines[1].fencing) +
		     ", checks incarnation " +
		     std::to_string(engines[0].checks_incarnation) +
		     std::to_string(engines[1].checks_incarnation));
		publish();
		for (Engine &e : engines) {
			start(e, {});
			announce(e, e.announced.back());
		}
	}

	void step(const Step &s)
	{
		Engine &e = engines[s.a % engines.size()];
		uint32_t b = s.b, c = s.c;

		r.wall_ms += s.a / 8 % 500;
		switch (s.op % 22) {
		case 0:
		case 1:
		case 2:
			create(e, Dsp__OrderKind(DSP__ORDER_KIND__ORDER_LOAD),
			       b, c);
			break;
		case 3:
		case 4:
			create(e, DSP__ORDER_KIND__ORDER_UNLOAD, b, c);
			break;
		case 5:
			create(e, DSP__ORDER_KIND__ORDER_FENCE, b, c);
			break;
		case 6:
		case 7:
		case 8:
		case 9:
			send_or_deliver(e, b, c);
			break;
		case 10:
		case 11:
			progress(e, b, c);
			break;
		case 12:
		case 13:
			if (!e.answers.empty())
				answer(e.answers[b % e.answers.size()]);
			break;
		case 14:
			write_report(e);
			break;
		case 15:
		case 16:
			if (!e.reports.empty())
				report(e, pick(e.reports, b));
			break;
		case 17:
			if (b % 3 == 0)
				restart(e, c);
			break;
		case 18:
			announce(e, pick(e.announced, b));
			break;
		case 19:
			if (b % 3 == 0)
				down(e, c);
			else
				drop_copy(e, c);
			break;
		case 20:
			if (b % 4 == 0)
				change_leader();
			else if (b % 4 == 1)
				publish();
			break;
		default:
			if (b % 2)
				r.restore();
			else
				r.update_view();
		}
		check();
	}

	/*
	 * Checks that an engine that checks fences and incarnations gets back
	 * all memory that it does not use, after a fence and two reports. On
	 * other engines memory may stay reserved, because an old load can still
	 * arrive.
	 */
	void check_released_memory()
	{
		for (Engine &e : engines) {
			if (!e.fencing || !e.checks_incarnation ||
			    !failure.empty())
				continue;
			announce(e, e.announced.back());
			create(e, DSP__ORDER_KIND__ORDER_FENCE, 0, 0);
			if (orders.back().endpoint != size_t(&e - &engines[0]))
				continue;
			deliver(e, orders.size() - 1);
			write_report(e);
			report(e, e.reports.back());
			for (auto &c : e.copies) {
				c.second.ready = true;
				c.second.unloading = false;
			}
			write_report(e);
			report(e, e.reports.back());
			std::vector<uint64_t> least = used_mb(e.copies);
			/* A reservation has the size of its largest load. */
			for (const Order &o : orders) {
				auto at = e.copies.find(o.key);

				if (at != e.copies.end())
					at->second.memory_mb =
						std::max(at->second.memory_mb,
							 o.memory_mb);
			}
			std::vector<uint64_t> most = used_mb(e.copies);
			for (uint32_t i = 0; i < ACCELERATORS; i++)
				if (free_mb(e, i) + least[i] > CAPACITY_MB ||
				    free_mb(e, i) + most[i] < CAPACITY_MB)
					fail("memory is not released on " +
					     e.id);
		}
		if (failure.empty())
			failure = r.check();
	}

	std::string failure;

      protected:
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

	template <class T> T pick(const std::vector<T> &all, uint32_t n)
	{
		/* Every second pick is the latest; the others are any. */
		return n % 2 ? all.back() : all[n / 2 % all.size()];
	}

	uint32_t free_mb(const Engine &e, uint32_t accelerator)
	{
		return st_free_memory_mb(r.st.get(), e.id.c_str(), accelerator);
	}

	static std::string name(const Key &key)
	{
		return std::get<0>(key) + "@" + std::get<1>(key) + ":" +
		       std::get<2>(key) + " on " +
		       std::to_string(std::get<3>(key)) + "+" +
		       std::to_string(std::get<4>(key));
	}

	static std::vector<uint64_t>
	used_mb(const std::map<Key, EngineCopy> &copies)
	{
		std::vector<uint64_t> used(ACCELERATORS);

		for (const auto &c : copies)
			for (uint32_t i = 0; i < std::get<4>(c.first); i++)
				used[std::get<3>(c.first) + i] +=
					c.second.memory_mb;
		return used;
	}

	void publish()
	{
		static const char *const versions[] = { "1", "2" };

		number++;
		models = { { "small", 30, 1, "1" },
			   { "middle", 50, 1, versions[number / 2 % 2] },
			   { "wide", 40, 2, "1" } };
		if (number % 3)
			models.push_back({ "large", 80, 1, "1" });
		adapters = { { "bavarian", "small", 15 },
			     { "legal", "small", 10 },
			     { "huge", "small", 50 } };
		Result res =
			put_document(r, "verband", number,
				     document_text(number, duplicates, models,
						   adapters, 3, 2));
		note("document " + std::to_string(number));
		if (res->code != DSP__RESULT_CODE__RESULT_OK)
			fail(std::string("document: ") + res->message);
	}

	void start(Engine &e, std::map<Key, EngineCopy> copies)
	{
		e.incarnation = ++last_incarnation;
		e.fence = 0;
		e.leaving = false;
		e.copies = std::move(copies);
		note(e.id + " starts as " + std::to_string(e.incarnation) +
		     " with " + std::to_string(e.copies.size()) + " copies");
		e.announced.push_back(
			{ e.incarnation, 0, e.copies, e.leaving });
	}

	void restart(Engine &e, uint32_t c)
	{
		std::map<Key, EngineCopy> kept;

		for (const auto &copy : e.copies) {
			if (copy.second.ready && (c & 1))
				kept.insert(copy);
			c >>= 1;
		}
		start(e, kept);
	}

	static std::vector<Dsp__Copy>
	copies_of(const std::map<Key, EngineCopy> &in)
	{
		std::vector<Dsp__Copy> out;

		for (const auto &c : in) {
			Dsp__Copy copy = DSP__COPY__INIT;

			copy.model = str(std::get<0>(c.first));
			copy.version = str(std::get<1>(c.first));
			copy.adapter = str(std::get<2>(c.first));
			copy.first_accelerator = std::get<3>(c.first);
			copy.accelerators = std::get<4>(c.first);
			copy.memory_mb = c.second.memory_mb;
			copy.order = c.second.order;
			copy.ready = c.second.ready;
			copy.unloading = c.second.unloading;
			out.push_back(copy);
		}
		return out;
	}

	void announce(Engine &e, const Report &report)
	{
		Dsp__Endpoint msg = DSP__ENDPOINT__INIT;
		Dsp__Features features = DSP__FEATURES__INIT;
		std::vector<Dsp__Copy> copies = copies_of(report.copies);
		std::vector<Dsp__Copy *> pointers;

		for (Dsp__Copy &c : copies)
			pointers.push_back(&c);
		features.fencing = e.fencing;
		features.checks_incarnation = e.checks_incarnation;
		msg.id = str(e.id);
		msg.incarnation = report.incarnation;
		msg.team = str(team);
		msg.service = str(service);
		msg.state = report.leaving
				    ? DSP__ENDPOINT_STATE__ENDPOINT_LEAVING
				    : DSP__ENDPOINT_STATE__ENDPOINT_UP;
		msg.features = &features;
		msg.accelerators = ACCELERATORS;
		msg.accelerator_memory_mb = CAPACITY_MB;
		msg.copies = pointers.data();
		msg.n_copies = pointers.size();
		Result res = put_endpoint(r, &msg);
		note("announcement of " + e.id + " as " +
		     std::to_string(report.incarnation) + ": code " +
		     std::to_string(res->code));
	}

	void down(Engine &e, uint32_t c)
	{
		Report about = pick(e.announced, c);

		endpoint_is_down(r, e.id, about.incarnation);
		note(e.id + " declared down as " +
		     std::to_string(about.incarnation));
	}

	Key make_key(uint32_t b, uint32_t c, uint32_t *memory_mb)
	{
		const TestModel &m = models[b % models.size()];
		uint32_t first = m.accelerators == 2 ? 0 : c % ACCELERATORS;

		if (m.name == "small" && b / 16 % 2) {
			const TestAdapter &a =
				adapters[b / 32 % adapters.size()];

			*memory_mb = a.memory_mb;
			return Key(m.name, "1", a.name, first, 1);
		}
		*memory_mb = m.memory_mb + (c / 2 % 8 == 0 ? 5 : 0);
		return Key(m.name, m.version, "", first, m.accelerators);
	}

	/*
	 * Counts other ready copies of the model in its current version, as
	 * the state records them. Sets ready if the copy itself is one that
	 * takes requests.
	 */
	size_t others_ready(const Engine &e, const Key &key, bool *ready)
	{
		const Dsp__Endpoint **all;
		size_t n = st_endpoints(r.st.get(), &all), count = 0;
		std::string version;

		*ready = false;
		for (const TestModel &m : models)
			if (m.name == std::get<0>(key))
				version = m.version;
		for (size_t i = 0; i < n; i++) {
			if (all[i]->state != DSP__ENDPOINT_STATE__ENDPOINT_UP)
				continue;
			for (size_t k = 0; k < all[i]->n_copies; k++) {
				const Dsp__Copy *c = all[i]->copies[k];
				bool same = all[i]->id == e.id &&
					    key == Key(c->model, c->version,
						       c->adapter,
						       c->first_accelerator,
						       c->accelerators);
				bool usable = c->ready && !c->unloading &&
					      !*c->adapter &&
					      c->model == std::get<0>(key);

				if (same)
					*ready = usable && !version.empty();
				else if (usable && c->version == version)
					count++;
			}
		}
		free(all);
		return count;
	}

	/*
	 * Counts pending loads of models, and of adapters (transit), on
	 * endpoints that are not down.
	 */
	void pending(uint32_t *loads, uint32_t *transit)
	{
		const Dsp__Order **all;
		size_t n = st_orders_pending(r.st.get(), &all);

		*loads = *transit = 0;
		for (size_t i = 0; i < n; i++) {
			const Dsp__Endpoint *ep =
				st_endpoint(r.st.get(), all[i]->endpoint);

			if (all[i]->kind != DSP__ORDER_KIND__ORDER_LOAD ||
			    ep->state == DSP__ENDPOINT_STATE__ENDPOINT_DOWN)
				continue;
			(*all[i]->adapter ? *transit : *loads)++;
		}
		free(all);
	}

	void create(Engine &e, Dsp__OrderKind kind, uint32_t b, uint32_t c)
	{
		const Dsp__Endpoint *known =
			st_endpoint(r.st.get(), e.id.c_str());
		Key key("", "", "", 0, 0);
		uint32_t memory_mb = 0;

		if (kind == DSP__ORDER_KIND__ORDER_UNLOAD && known->n_copies &&
		    b % 4) {
			const Dsp__Copy *copy =
				known->copies[c % known->n_copies];

			key = Key(copy->model, copy->version, copy->adapter,
				  copy->first_accelerator, copy->accelerators);
		} else if (kind != DSP__ORDER_KIND__ORDER_FENCE) {
			key = make_key(b, c, &memory_mb);
		}
		create(e, kind, key, memory_mb);
	}

	void create(Engine &e, Dsp__OrderKind kind, const Key &key,
		    uint32_t memory_mb)
	{
		const Dsp__Endpoint *known =
			st_endpoint(r.st.get(), e.id.c_str());
		Dsp__Order msg = DSP__ORDER__INIT;
		uint32_t loads, transit;
		bool ready = false;
		size_t others = 0;
		Order o;

		if (kind == DSP__ORDER_KIND__ORDER_UNLOAD)
			others = others_ready(e, key, &ready);
		msg.endpoint = str(e.id);
		msg.incarnation = known->incarnation;
		msg.kind = kind;
		msg.model = str(std::get<0>(key));
		msg.version = str(std::get<1>(key));
		msg.adapter = str(std::get<2>(key));
		msg.first_accelerator = std::get<3>(key);
		msg.accelerators = std::get<4>(key);
		msg.memory_mb = memory_mb;
		pending(&loads, &transit);
		Result res = create_order(r, &msg);
		note("order " + std::to_string(r.index) + " kind " +
		     std::to_string(kind) + " " + name(key) + " to " + e.id +
		     ": code " + std::to_string(res->code) + " " +
		     res->message);
		bool adapter = !std::get<2>(key).empty();
		if (kind == DSP__ORDER_KIND__ORDER_LOAD &&
		    (adapter ? transit >= 2 : loads >= 3) &&
		    res->code == DSP__RESULT_CODE__RESULT_OK)
			fail("transit limit is exceeded");
		if (res->code == DSP__RESULT_CODE__RESULT_LIMIT &&
		    kind == DSP__ORDER_KIND__ORDER_LOAD &&
		    (adapter ? transit < 2 : loads < 3))
			fail("load rejected below the transit limit");
		if (kind == DSP__ORDER_KIND__ORDER_UNLOAD && ready &&
		    (res->code == DSP__RESULT_CODE__RESULT_OK) != (others > 0))
			fail("unload of a ready copy is not decided by "
			     "the number of other ready copies");
		if (kind == DSP__ORDER_KIND__ORDER_UNLOAD && !ready &&
		    res->code == DSP__RESULT_CODE__RESULT_LIMIT)
			fail("unload rejected though the copy is not ready");
		if (res->code != DSP__RESULT_CODE__RESULT_OK)
			return;
		o.id = res->order->id;
		if (o.id != r.index)
			fail("order id is not the log index");
		o.endpoint = size_t(&e - &engines[0]);
		o.incarnation = known->incarnation;
		o.kind = kind;
		o.key = key;
		o.memory_mb = memory_mb;
		o.term = term;
		orders.push_back(o);
	}

	bool is_pending(const Order &o)
	{
		const Dsp__Order *known = st_order(r.st.get(), o.id);

		return known && known->state == DSP__ORDER_STATE__ORDER_PENDING;
	}

	/* With duplicates, any committed order may arrive at any time. */
	void send_or_deliver(Engine &e, uint32_t b, uint32_t c)
	{
		std::vector<size_t> mine;

		for (size_t i = 0; i < orders.size(); i++)
			if (orders[i].endpoint == size_t(&e - &engines[0]))
				mine.push_back(i);
		if (mine.empty())
			return;
		if (duplicates) {
			deliver(e, b % 2 ? mine.back() : mine[c % mine.size()]);
			return;
		}
		if (b % 2 && !e.network.empty()) {
			size_t at = c % e.network.size();
			size_t i = e.network[at];

			e.network.erase(e.network.begin() + (long)at);
			if (b % 16 != 1)
				deliver(e, i);
			else
				note("order " + std::to_string(orders[i].id) +
				     " is lost");
			return;
		}
		size_t i = c % 2 ? mine.back() : mine[c / 2 % mine.size()];
		send(e, i, b);
	}

	void send(Engine &e, size_t i, uint32_t b)
	{
		Order &o = orders[i];

		if (b / 2 % 4 == 0 && deposed.count(i)) {
			note("deposed leader sends " + std::to_string(o.id));
			e.network.push_back(i);
			return;
		}
		if (!is_pending(o))
			return;
		if (o.term == term)
			o.sends++;
		else
			o.others = true;
		note("leader sends " + std::to_string(o.id));
		e.network.push_back(i);
	}

	/* The old leader may still send its unanswered orders. */
	void change_leader()
	{
		for (size_t i = 0; i < orders.size(); i++)
			if (orders[i].term == term && is_pending(orders[i]))
				deposed.insert(i);
		term++;
		note("leader of term " + std::to_string(term));
	}

	void add_answer(Engine &e, size_t i, Dsp__OrderState state)
	{
		e.answers.push_back({ i, state });
	}

	/* The engine accepts, refuses or answers an order that arrives. */
	void deliver(Engine &e, size_t i)
	{
		const Order &o = orders[i];
		auto at = e.copies.find(o.key);

		note("order " + std::to_string(o.id) + " arrives at " + e.id);
		if (e.checks_incarnation && o.incarnation != e.incarnation)
			return add_answer(e, i,
					  DSP__ORDER_STATE__ORDER_REFUSED);
		if (e.fencing && o.id < e.fence)
			return add_answer(e, i,
					  DSP__ORDER_STATE__ORDER_REFUSED);
		e.fence = std::max(e.fence, o.id);
		switch (o.kind) {
		case DSP__ORDER_KIND__ORDER_LOAD:
			if (at == e.copies.end())
				e.copies[o.key] = { o.memory_mb, o.id, false,
						    false, 0 };
			else if (at->second.unloading)
				add_answer(e, i,
					   DSP__ORDER_STATE__ORDER_REFUSED);
			else if (at->second.ready)
				add_answer(e, i, DSP__ORDER_STATE__ORDER_DONE);
			break;
		case DSP__ORDER_KIND__ORDER_UNLOAD:
			if (at == e.copies.end())
				return add_answer(e, i,
						  DSP__ORDER_STATE__ORDER_DONE);
			at->second.unloading = true;
			at->second.unload = i + 1;
			break;
		default:
			add_answer(e, i, DSP__ORDER_STATE__ORDER_DONE);
		}
	}

	/* Completes a load or unload, or fails a load. */
	void progress(Engine &e, uint32_t b, uint32_t c)
	{
		if (e.copies.empty())
			return;
		auto at = e.copies.begin();

		std::advance(at, b % e.copies.size());
		size_t load = SIZE_MAX;
		for (size_t i = 0; i < orders.size(); i++)
			if (orders[i].id == at->second.order)
				load = i;
		if (at->second.unloading) {
			size_t unload = at->second.unload - 1;

			note(e.id + " unloaded " + name(at->first));
			add_answer(e, unload, DSP__ORDER_STATE__ORDER_DONE);
			e.copies.erase(at);
		} else if (!at->second.ready && c % 5 == 0) {
			note(e.id + " failed to load " + name(at->first));
			if (load != SIZE_MAX)
				add_answer(e, load,
					   DSP__ORDER_STATE__ORDER_REFUSED);
			e.copies.erase(at);
		} else if (!at->second.ready) {
			note(e.id + " loaded " + name(at->first));
			at->second.ready = true;
			if (load != SIZE_MAX)
				add_answer(e, load,
					   DSP__ORDER_STATE__ORDER_DONE);
		}
	}

	void drop_copy(Engine &e, uint32_t c)
	{
		if (e.copies.empty() || c % 4)
			return;
		note(e.id + " drops " + name(e.copies.begin()->first));
		e.copies.erase(e.copies.begin());
	}

	void write_report(Engine &e)
	{
		e.reports.push_back(
			{ e.incarnation, e.fence, e.copies, e.leaving });
	}

	void answer(const Answer &a)
	{
		const Order &o = orders[a.order];
		bool once = !duplicates && o.term == term && o.sends == 1 &&
			    !o.others && !deposed.count(a.order);
		Result res = finish_order(r, o.id, a.state, once);

		note("answer to " + std::to_string(o.id) + ": state " +
		     std::to_string(a.state) + (once ? " sent once" : "") +
		     ", code " + std::to_string(res->code));
	}

	void report(Engine &e, const Report &report)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__ResidencyReport msg = DSP__RESIDENCY_REPORT__INIT;
		std::vector<Dsp__Copy> copies = copies_of(report.copies);
		std::vector<Dsp__Copy *> pointers;

		for (Dsp__Copy &c : copies)
			pointers.push_back(&c);
		msg.endpoint = str(e.id);
		msg.incarnation = report.incarnation;
		msg.highest_fence = report.fence;
		msg.copies = pointers.data();
		msg.n_copies = pointers.size();
		cmd.body_case = DSP__COMMAND__BODY_RESIDENCY_REPORT;
		cmd.residency_report = &msg;
		Result res = r.apply(&cmd);
		note("report of " + e.id + " as " +
		     std::to_string(report.incarnation) + " with fence " +
		     std::to_string(report.fence) + " and " +
		     std::to_string(report.copies.size()) + " copies: code " +
		     std::to_string(res->code));
	}

	/*
	 * The copies of an engine (after a restart, if restarted) together with
	 * all loads that the network can still deliver to it.
	 */
	std::map<Key, EngineCopy> worst_case(const Engine &e, bool restarted)
	{
		std::map<Key, EngineCopy> all = e.copies;
		std::vector<size_t> sent;

		if (duplicates)
			for (size_t i = 0; i < orders.size(); i++)
				sent.push_back(i);
		else
			sent = e.network;
		for (size_t i : sent) {
			const Order &o = orders[i];

			if (o.endpoint != size_t(&e - &engines[0]) ||
			    o.kind != DSP__ORDER_KIND__ORDER_LOAD)
				continue;
			if (e.checks_incarnation &&
			    (restarted || o.incarnation != e.incarnation))
				continue;
			if (e.fencing && !restarted && o.id < e.fence)
				continue;
			EngineCopy &p = all[o.key];
			p.memory_mb = std::max(p.memory_mb, o.memory_mb);
		}
		return all;
	}

	void check()
	{
		for (const Engine &e : engines) {
			for (bool restarted : { false, true }) {
				auto used = used_mb(worst_case(e, restarted));

				for (uint32_t i = 0; i < ACCELERATORS; i++)
					if (used[i] > CAPACITY_MB)
						fail("accelerator " +
						     std::to_string(i) +
						     " of " + e.id +
						     " can be overcommitted");
			}
		}
		if (++steps % 16 == 0 && failure.empty())
			failure = r.check();
	}

	Trace *trace;
	Replicas r;
	std::vector<Engine> engines;
	std::vector<Order> orders;
	std::set<size_t> deposed; /* orders that a deposed leader may send */
	std::vector<TestModel> models;
	std::vector<TestAdapter> adapters;
	std::string team = "verband", service = "kellerrat";
	bool duplicates;
	uint64_t number = 0, last_incarnation = 100, term = 1, steps = 0;
};

/*
 * One run of a fixed script of commands by two leaders, interleaved with the
 * arrivals, answers and reports that it makes possible. enumerate() explores
 * all interleavings; histories with equal key() are continued only once.
 */
class Enumeration : public Simulation
{
      public:
	Enumeration(bool duplicates, bool fencing, bool checks_incarnation)
	    : Simulation(duplicates, fencing, checks_incarnation)
	{
	}

	/* Returns the events that are possible now. */
	std::vector<std::string> events()
	{
		std::vector<std::string> all;
		Engine &e = engines[0];

		if (position < script_length)
			all.push_back("script");
		for (size_t i = 0; i < orders.size(); i++) {
			std::string n = std::to_string(i);
			bool load =
				orders[i].kind == DSP__ORDER_KIND__ORDER_LOAD;
			auto waiting = std::count(e.network.begin(),
						  e.network.end(), i);

			if (duplicates ? arrivals[i] < (load ? 2 : 1)
				       : waiting > 0)
				all.push_back("arrive " + n);
			if (!duplicates && position > 2 &&
			    is_pending(orders[i]) && resends[i] < 1)
				all.push_back("resend " + n);
			if (has_answer(i))
				all.push_back("answer " + n);
		}
		if (e.reports.empty())
			all.push_back("keep report");
		else if (!late_report_sent)
			all.push_back("late report");
		all.push_back("report");
		if (last_incarnation == 101 && position > 3)
			all.push_back("restart");
		if (st_endpoint(r.st.get(), e.id.c_str())->incarnation !=
		    e.incarnation)
			all.push_back("announce");
		return all;
	}

	void run(const std::string &event)
	{
		Engine &e = engines[0];
		std::string verb = event.substr(0, event.find(' '));
		size_t i = 0;

		if (verb == "arrive" || verb == "resend" || verb == "answer")
			i = std::stoul(event.substr(event.find(' ')));
		if (verb == "script") {
			script();
		} else if (verb == "arrive") {
			arrivals[i]++;
			if (!duplicates)
				e.network.erase(std::find(e.network.begin(),
							  e.network.end(), i));
			deliver(e, i);
			complete_one(e);
			keep_one_answer(i);
		} else if (verb == "answer") {
			answer(take_answer(i));
		} else if (verb == "report") {
			write_report(e);
			report(e, e.reports.back());
			e.reports.pop_back();
		} else if (verb == "keep") {
			write_report(e);
		} else if (verb == "late") {
			late_report_sent = true;
			report(e, e.reports.front());
		} else if (verb == "restart") {
			restart(e, 0);
		} else if (verb == "announce") {
			announce(e, e.announced.back());
		} else {
			resends[i]++;
			if (orders[i].term == term)
				orders[i].sends++;
			else
				orders[i].others = true;
			e.network.push_back(i);
		}
		check();
	}

	/* Replicated state, endpoint and network as text. */
	std::string key()
	{
		const Engine &e = engines[0];
		std::vector<std::string> parts = {
			normalised_state(),
			std::to_string(position) +
				(late_report_sent ? "l" : ""),
			std::to_string(e.incarnation),
			std::to_string(e.fence),
		};
		std::vector<std::string> answers;
		std::string k;

		add(parts, e.copies);
		for (const Report &w : e.reports) {
			parts.push_back("report " + std::to_string(w.fence));
			add(parts, w.copies);
		}
		for (size_t i = 0; i < orders.size(); i++)
			parts.push_back(
				std::to_string(arrivals[i]) + "." +
				std::to_string(resends[i]) + "." +
				std::to_string(orders[i].sends) + "." +
				std::to_string(std::count(e.network.begin(),
							  e.network.end(), i)));
		for (const Answer &a : e.answers)
			answers.push_back(std::to_string(a.order) + ":" +
					  std::to_string(a.state));
		std::sort(answers.begin(), answers.end());
		parts.insert(parts.end(), answers.begin(), answers.end());
		for (const std::string &part : parts)
			k += part + "/";
		return k;
	}

      private:
	static void add(std::vector<std::string> &parts,
			const std::map<Key, EngineCopy> &copies)
	{
		for (const auto &c : copies)
			parts.push_back(name(c.first) + " " +
					std::to_string(c.second.order));
	}

	/*
	 * The replicated state without the fields that only depend on the
	 * number of commands. The ids of orders stay: they depend only on the
	 * position in the script.
	 */
	std::string normalised_state()
	{
		std::string out;
		size_t len, at = 0;
		uint8_t *data = st_snapshot(r.st.get(), &len);

		while (at < len) {
			uint32_t size;

			memcpy(&size, data + at, 4);
			Dsp__StateSnapshot *f = dsp__state_snapshot__unpack(
				nullptr, size, data + at + 4);
			at += 4 + size;
			f->index = 0;
			for (size_t i = 0; i < f->n_endpoint_metas; i++)
				f->endpoint_metas[i]->index = 0;
			/* Only its rank among the order ids matters. */
			for (size_t i = 0; i < f->n_reservations; i++)
				f->reservations[i]->last_finish /= 1000;
			std::string bytes(
				dsp__state_snapshot__get_packed_size(f), 0);
			dsp__state_snapshot__pack(f, (uint8_t *)&bytes[0]);
			dsp__state_snapshot__free_unpacked(f, nullptr);
			out += bytes;
		}
		free(data);
		return out;
	}

	/*
	 * Applies the next command of the script: two leaders order an adapter
	 * and a model that do not fit into the accelerator together.
	 */
	void script()
	{
		const Key huge("small", "1", "huge", 0, 1);
		const Key large("large", "1", "", 0, 1);
		Engine &e = engines[0];
		size_t before = orders.size();

		r.index = 1000 * (position + 1);
		switch (position++) {
		case 0:
			create(e, DSP__ORDER_KIND__ORDER_LOAD, huge, 50);
			break;
		case 1:
			create(e, DSP__ORDER_KIND__ORDER_UNLOAD, huge, 0);
			break;
		case 2:
			change_leader();
			break;
		case 4:
			create(e, DSP__ORDER_KIND__ORDER_FENCE,
			       Key("", "", "", 0, 0), 0);
			break;
		default:
			create(e, DSP__ORDER_KIND__ORDER_LOAD, large, 80);
		}
		if (orders.size() > before && !duplicates) {
			orders.back().sends = 1;
			e.network.push_back(before);
		}
	}

	/* Executes an accepted order at once. */
	void complete_one(Engine &e)
	{
		uint32_t i = 0;

		for (const auto &c : e.copies) {
			if (!c.second.ready || c.second.unloading) {
				progress(e, i, 1);
				return;
			}
			i++;
		}
	}

	/* Drops the last answer if an equal one to the order is queued. */
	void keep_one_answer(size_t order)
	{
		std::vector<Answer> &all = engines[0].answers;

		for (size_t i = 0; i + 1 < all.size(); i++)
			if (all[i].order == order &&
			    all.back().order == order &&
			    all[i].state == all.back().state) {
				all.pop_back();
				return;
			}
	}

	bool has_answer(size_t order)
	{
		for (const Answer &a : engines[0].answers)
			if (a.order == order)
				return true;
		return false;
	}

	Answer take_answer(size_t order)
	{
		std::vector<Answer> &all = engines[0].answers;
		size_t i = 0;

		while (all[i].order != order)
			i++;
		Answer a = all[i];
		all.erase(all.begin() + (long)i);
		return a;
	}

	static constexpr size_t script_length = 5;
	size_t position = 0;
	bool late_report_sent = false;
	std::map<size_t, uint32_t> arrivals, resends;
};

using Path = std::vector<std::string>;

/*
 * Runs all continuations of a beginning by up to depth events; returns the
 * number of histories.
 */
size_t enumerate(bool duplicates, bool fencing, bool checks_incarnation,
		 const Path &beginning, size_t depth)
{
	std::set<std::pair<size_t, std::string>> seen;
	std::vector<Path> unexplored = { beginning };
	size_t n = 0;

	while (!unexplored.empty()) {
		Path path = unexplored.back();
		Enumeration simulation(duplicates, fencing, checks_incarnation);

		unexplored.pop_back();
		for (const std::string &event : path)
			simulation.run(event);
		/* Continues with the first event; queues the others. */
		for (;;) {
			std::vector<std::string> events;

			n++;
			if (!simulation.failure.empty()) {
				std::string text;

				for (const std::string &event : path)
					text += "  " + event + "\n";
				ADD_FAILURE()
					<< simulation.failure << " after\n"
					<< text;
				return n;
			}
			if (path.size() >= beginning.size() + depth ||
			    !seen.insert({ path.size(), simulation.key() })
				     .second)
				break;
			events = simulation.events();
			if (events.empty())
				break;
			for (size_t i = 1; i < events.size(); i++) {
				unexplored.push_back(path);
				unexplored.back().push_back(events[i]);
			}
			path.push_back(events[0]);
			simulation.run(events[0]);
		}
	}
	return n;
}

std::string run_history(uint64_t seed, const Steps &steps, Trace *trace)
{
	Simulation simulation(seed, trace);

	for (const Step &s : steps) {
		simulation.step(s);
		if (!simulation.failure.empty())
			return simulation.failure;
	}
	simulation.check_released_memory();
	return simulation.failure;
}

} // namespace

/*
 * Guards section 8 of docs/design.md: late, repeated or lost orders, restarts,
 * leader changes and late reports overcommit no accelerator; transit limits are
 * kept; the last ready copy is not unloaded; memory is released where fences
 * are checked; a restored replica and the view built from deltas equal the
 * state.
 */
TEST(StateOrders, HistoriesNeverOvercommit)
{
	run_histories(2000, 150, run_history);
}

/*
 * Guards section 8 of docs/design.md for two leaders and one endpoint: every
 * sequence of arrivals, answers and reports, with loss, duplication and a
 * restart. Each beginning leads to one stage of the script, from which all
 * continuations are explored.
 */
TEST(StateOrders, EveryArrivalOrderOfTwoLeaders)
{
	const std::vector<Path> beginnings = {
		{},
		{ "script", "arrive 0", "answer 0", "script" },
		{ "script", "script", "script" },
		{ "script", "script", "arrive 1", "arrive 0" },
		{ "script", "restart", "arrive 0" },
		{ "script", "restart", "keep report", "arrive 0", "answer 0" },
		{ "script", "arrive 0", "answer 0", "script", "arrive 1",
		  "script" },
		{ "script", "arrive 0", "answer 0", "script", "arrive 1",
		  "answer 1", "script", "script" },
		{ "script", "arrive 0", "keep report", "answer 0", "script",
		  "arrive 1", "answer 1", "script", "script" },
	};
	size_t n = 0;

	for (int features = 0; features < 8; features++)
		for (const Path &beginning : beginnings)
			n += enumerate(features & 1, features & 2, features & 4,
				       beginning, 5);
	RecordProperty("histories", std::to_string(n));
	printf("%zu histories\n", n);
}

namespace
{

/* A runner that checks fences and incarnations; the test sends its reports. */
class Runner
{
      public:
	Runner()
	{
		Dsp__Endpoint msg = DSP__ENDPOINT__INIT;

		features.fencing = features.checks_incarnation = true;
		put_document(r, team, 1,
			     document_text(
				     1, true,
				     { { "small", 30, 1 }, { "large", 80, 1 } },
				     { { "huge", "small", 50 } }));
		msg.id = str(id);
		msg.incarnation = 1;
		msg.team = str(team);
		msg.service = str(service);
		msg.features = &features;
		msg.accelerators = 1;
		msg.accelerator_memory_mb = CAPACITY_MB;
		put_endpoint(r, &msg);
	}

	Dsp__ResultCode order(Dsp__OrderKind kind, std::string model,
			      std::string adapter, uint32_t memory_mb)
	{
		Dsp__Order msg = DSP__ORDER__INIT;

		msg.endpoint = str(id);
		msg.incarnation = 1;
		msg.kind = kind;
		msg.model = str(model);
		msg.version = str(version);
		msg.adapter = str(adapter);
		msg.accelerators = 1;
		msg.memory_mb = memory_mb;
		return create_order(r, &msg)->code;
	}

	void report(uint64_t fence, bool huge_is_listed)
	{
		Dsp__Command cmd = DSP__COMMAND__INIT;
		Dsp__ResidencyReport msg = DSP__RESIDENCY_REPORT__INIT;
		Dsp__Copy copy = DSP__COPY__INIT, *copies = &copy;
		std::string model = "small", adapter = "huge";

		copy.model = str(model);
		copy.version = str(version);
		copy.adapter = str(adapter);
		copy.accelerators = 1;
		copy.memory_mb = 50;
		copy.unloading = true;
		msg.endpoint = str(id);
		msg.incarnation = 1;
		msg.highest_fence = fence;
		msg.copies = &copies;
		msg.n_copies = huge_is_listed;
		cmd.body_case = DSP__COMMAND__BODY_RESIDENCY_REPORT;
		cmd.residency_report = &msg;
		r.apply(&cmd);
	}

	Replicas r;

      private:
	Dsp__Features features = DSP__FEATURES__INIT;
	std::string id = "runner0", team = "verband", service = "kellerrat",
		    version = "1";
};

} // namespace

/*
 * Guards section 8 of docs/design.md: a report that was written before a known
 * fence must not list a copy again that was unloaded since.
 */
TEST(StateOrders, ReportBelowAKnownFenceIsStale)
{
	const Dsp__OrderKind load = DSP__ORDER_KIND__ORDER_LOAD;
	const Dsp__OrderKind unload = DSP__ORDER_KIND__ORDER_UNLOAD;
	const Dsp__OrderState done = DSP__ORDER_STATE__ORDER_DONE;
	Runner runner;
	uint64_t loaded;

	runner.order(load, "small", "huge", 50);
	loaded = runner.r.index;
	finish_order(runner.r, loaded, done);
	runner.order(unload, "small", "huge", 0);
	finish_order(runner.r, runner.r.index, done);
	runner.report(loaded, true);
	EXPECT_EQ(st_free_memory_mb(runner.r.st.get(), "runner0", 0),
		  CAPACITY_MB);
	EXPECT_EQ(st_endpoint(runner.r.st.get(), "runner0")->n_copies, 0u);
}

/*
 * Guards section 8 of docs/design.md: a late report that lists a copy again
 * after its unload was answered must not make its memory usable for a second
 * load.
 */
TEST(StateOrders, LateReportDoesNotReserveMemoryTwice)
{
	const Dsp__OrderKind load = DSP__ORDER_KIND__ORDER_LOAD;
	const Dsp__OrderKind unload = DSP__ORDER_KIND__ORDER_UNLOAD;
	const Dsp__OrderState done = DSP__ORDER_STATE__ORDER_DONE;
	const Dsp__ResultCode ok = DSP__RESULT_CODE__RESULT_OK;
	Runner runner;
	uint64_t id;

	EXPECT_EQ(runner.order(load, "small", "huge", 50), ok);
	finish_order(runner.r, runner.r.index, done);
	EXPECT_EQ(runner.order(unload, "small", "huge", 0), ok);
	id = runner.r.index;
	finish_order(runner.r, id, done);
	EXPECT_EQ(runner.order(load, "large", "", 80), ok);
	runner.report(id, true);
	EXPECT_EQ(runner.order(load, "small", "huge", 50),
		  DSP__RESULT_CODE__RESULT_OVERCOMMIT);
	runner.report(id, false);
	EXPECT_EQ(st_free_memory_mb(runner.r.st.get(), "runner0", 0), 20u);
}
