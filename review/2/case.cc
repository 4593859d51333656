/*
 * A manifest without its last model ends the leader's process while a runner
 * holds an adapter of that model. See claim.txt.
 */
#include "review/lib/engine.h"

using namespace rig;

namespace
{

const int ENDS = 3;	     /* on half of the core */
const int64_t LIMIT_MS = 90000; /* of the whole script */

const std::vector<Model> without = { { "alpha", 20, 4 }, { "bravo", 20, 4 } };
const std::vector<Model> with = { { "alpha", 20, 4 },
				  { "bravo", 20, 4 },
				  { "delta", 20, 4 } };

} // namespace

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Deployment d(3, 1);
	Engine a("i-a", "alpha", weights_of(with), 100, record);
	Engine b("i-b", "bravo", weights_of(with), 100, record);
	Engine c("i-c", "delta", weights_of(with), 100, record, { "a1" });
	std::atomic<bool> stop{ false };
	std::map<std::string, int> ends;
	std::mutex lock;
	int version = 1, machines = 0;
	int64_t start = proc_now_ms();

	if (!d.serve(engine_table(version, with)) || !d.announce(a) ||
	    !d.announce(b) || !d.announce(c))
		return 2;
	std::thread beats([&] {
		while (!stop) {
			for (Engine *e : { &a, &b, &c })
				/* The next instance if one doesn't answer. */
				for (size_t i = 0; i < 3; i++)
					if (e->beat_once(d.control(i).api) ==
					    200)
						break;
			for (int i = 0; i < 12 && !stop; i++)
				usleep(100000);
		}
	});
	/* The platform: starts a process that has ended again. */
	std::thread platform([&] {
		while (!stop) {
			for (auto &x : d.instances) {
				int code = proc_wait(x.pid, 0);

				if (code < 0)
					continue;
				record.line("%s has ended by itself, code %d",
					    x.id.c_str(), code);
				{
					std::lock_guard<std::mutex> guard(lock);

					ends[x.id]++;
				}
				usleep(300000);
				d.write_settings(x, false);
				d.start(x);
			}
			usleep(50000);
		}
	});
	auto put = [&](const std::vector<Model> &models, const char *what) {
		std::string table = engine_table(++version, models);
		bool ok = Deployment::eventually(
			[&] {
				for (size_t i = 0; i < 3; i++)
					if (d.put(table, i) == 200)
						return true;
				return false;
			},
			15000);

		record.line("manifest %d, %s: %s", version, what,
			    ok ? "acknowledged" : "not acknowledged");
		return ok;
	};
	bool ok = true;

	while (ok && machines < 2 && proc_now_ms() - start < LIMIT_MS) {
		/* The leader has read the state of the runners. */
		unsigned reports = c.reports;

		Deployment::eventually([&] { return c.reports >= reports + 2; },
				       15000);
		if (trouble())
			ok = put(without, "without delta") &&
			     (sleep(1), put(with, "with delta"));
		else
			ok = put(with, "the same models") &&
			     (sleep(1), put(with, "the same models"));
		sleep(1);
		std::lock_guard<std::mutex> guard(lock);

		machines = 0;
		for (const auto &e : ends)
			machines += e.second >= ENDS;
	}
	stop = true;
	beats.join();
	platform.join();
	if (!ok && !machines)
		return 2;
	for (const auto &e : ends)
		record.line("%s: ended by itself %d times", e.first.c_str(),
			    e.second);
	record.line(machines >= 2 ? "Fault is broken" : "Fault holds");
	return machines >= 2 ? 1 : 0;
}
