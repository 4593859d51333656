/*
 * A caller that leaves takes the queue's timer with it: the request behind it
 * is never answered. See claim.txt.
 */
#include "review/lib/rig.h"

using namespace rig;

namespace
{

const int ROUNDS = 10;
const int TIMEOUT_MS = 1500; /* of the route */
const int SLACK_MS = 500;
const int DEADLINE_MS = 3000;
const int LEAVE_MS = 100;   /* give_up: within half the objective */
const int WORK_MS = 300;    /* of a request; the site's largest is 450 */
const size_t CLUMP = 12;    /* requests that come at once to front-0 */

const char *const TABLE =
	"{\"version\":1,\"routes\":[{\"name\":\"tide-read\",\"host\":"
	"\"host.example\",\"pathPrefix\":\"/safe/\",\"kind\":\"safe\","
	"\"timeoutMs\":1500,\"goalMs\":300,\"priority\":2,\"service\":"
	"\"reservas\",\"maxAttempts\":2}],\"services\":[{\"name\":"
	"\"reservas\",\"healthPath\":\"/health\",\"maxConns\":100,"
	"\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":"
	"16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

std::string get(const std::string &id)
{
	return "GET /safe/tide HTTP/1.1\r\nHost: host.example\r\n"
	       "X-Attempt-Id: " +
	       id + "\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS) +
	       "\r\n\r\n";
}

/* A caller with a channel of its own. */
struct Caller {
	Socket socket;
	std::string id;
	int64_t sent = 0;
	int status = 0;
	int64_t took = -1;

	bool send(const std::string &front, const std::string &name,
		  Record &record)
	{
		id = name;
		sent = proc_now_ms();
		record.line("%s: sent to %s", id.c_str(), front.c_str());
		return socket.connect_to(front) && socket.send(get(id));
	}
	/* Waits for the answer until the deadline. */
	void wait(Record &record)
	{
		Message m;

		while (proc_now_ms() - sent < DEADLINE_MS && !socket.ended)
			if (socket.read(&m, (int)(sent + DEADLINE_MS -
						  proc_now_ms()))) {
				status = m.status();
				took = proc_now_ms() - sent;
				break;
			}
		if (took < 0)
			record.line("%s: no answer after %lld ms, caller leaves",
				    id.c_str(), (long long)(proc_now_ms() - sent));
		else
			record.line("%s: answered %d after %lld ms", id.c_str(),
				    status, (long long)took);
		socket.shut();
	}
};

/* Runners that have rejected one of the round's requests to front-1. */
std::mutex rejected_lock;
std::set<std::string> rejected_by;

struct Count {
	unsigned open = 0;  /* unanswered at the route's timeoutMs */
	unsigned never = 0; /* and half a second later */

	void add(const Caller &c)
	{
		if (c.took < 0 || c.took > TIMEOUT_MS)
			open++;
		if (c.took < 0 || c.took > TIMEOUT_MS + SLACK_MS)
			never++;
	}
};

bool warm(Deployment &d, Record &record, size_t entry)
{
	return Deployment::eventually(
		[&] {
			Caller c;

			return c.send(d.entry(entry).front, "warm", record) &&
			       (c.wait(record), c.status == 200);
		},
		10000);
}

void round(Deployment &d, Record &record, int n, Count &count)
{
	std::string name = "r" + std::to_string(n) + "-";
	std::vector<std::unique_ptr<Caller>> clump;
	std::vector<std::thread> threads;
	Caller before[2], first, second;

	for (size_t i = 0; i < CLUMP; i++) {
		clump.push_back(std::make_unique<Caller>());
		clump[i]->send(d.entry(0).front, name + "clump" +
			       std::to_string(i), record);
	}
	usleep(60000);
	/* The entry learns that both runners are full. */
	rejected_by.clear();
	for (int i = 0; i < 2 && rejected_by.size() < 2; i++) {
		before[i].send(d.entry(1).front,
			       name + "before" + std::to_string(i), record);
		before[i].wait(record);
		count.add(before[i]);
	}
	first.send(d.entry(1).front, name + "first", record);
	usleep(5000);
	second.send(d.entry(1).front, name + "second", record);
	if (trouble()) {
		usleep(LEAVE_MS * 1000);
		record.line("%s: its caller leaves", first.id.c_str());
		first.socket.shut();
	} else {
		threads.emplace_back([&] { first.wait(record); });
	}
	for (auto &c : clump)
		threads.emplace_back([&c, &record] { c->wait(record); });
	second.wait(record);
	for (auto &t : threads)
		t.join();
	count.add(second);
	for (auto &c : clump)
		count.add(*c);
	if (!trouble())
		count.add(first);
}

} // namespace

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Deployment d(1, 2);
	Runner a("reservas", "i-a"), b("reservas", "i-b");
	Places places_a(2, 2), places_b(2, 2);
	std::atomic<bool> stop{ false };
	Count count;

	auto serve = [&](Runner &r, Places &places) {
		r.slots = 2;
		r.handler = [&](Socket &socket, const Message &m) {
			std::string id = m.field("X-Attempt-Id");

			if (!places.take()) {
				if (id.find("before") != std::string::npos) {
					std::lock_guard<std::mutex> guard(
						rejected_lock);

					rejected_by.insert(r.id);
				}
				record.line("%s: rejects %s, full",
					    r.id.c_str(), id.c_str());
				return socket.send(platform::answer(
					503,
					"X-Not-Executed: 1\r\n" +
						Runner::echo(m) + places.load(),
					""));
			}
			record.line("%s: runs %s", r.id.c_str(), id.c_str());
			usleep(id == "warm" ? 20000 : WORK_MS * 1000);
			places.give();
			return socket.send(platform::answer(
				200, r.seal() + Runner::echo(m) + places.load(),
				"tide"));
		};
	};
	serve(a, places_a);
	serve(b, places_b);
	if (!d.serve(TABLE) || !d.announce(a) || !d.announce(b))
		return 2;
	std::thread beats([&] {
		while (!stop) {
			a.beat_once(d.control().api);
			b.beat_once(d.control().api);
			for (int i = 0; i < 12 && !stop; i++)
				usleep(100000);
		}
	});
	bool ok = warm(d, record, 0) && warm(d, record, 1);

	sleep(1);
	for (int i = 0; ok && i < ROUNDS; i++)
		round(d, record, i, count);
	stop = true;
	beats.join();
	if (!ok)
		return 2;
	record.line("unanswered at timeoutMs: %u; half a second later: %u",
		    count.open, count.never);
	if (count.never * 2 > count.open) {
		record.line("CONFIG is broken");
		return 1;
	}
	record.line("CONFIG holds");
	return 0;
}
