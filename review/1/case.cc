/*
 * A manifest that lists a further model before the others makes the leader take
 * what runners hold for other models. See claim.txt.
 */
#include "review/lib/engine.h"

using namespace rig;

namespace
{

const int WEIGHTS_MB = 100; /* of a runner */
const int WATCH_MS = 6000;

/* As in a manifest: the list is in the order of the names. */
const std::vector<Model> before = { { "bravo", 90, 0 }, { "delta", 20, 0 } };
const std::vector<Model> after = { { "alpha", 5, 0 },
				   { "bravo", 90, 0 },
				   { "delta", 20, 0 } };

} // namespace

int main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Deployment d(3, 1);
	Engine a("i-a", "bravo", weights_of(after), WEIGHTS_MB, record);
	Engine b("i-b", "delta", weights_of(after), WEIGHTS_MB, record);
	std::atomic<bool> stop{ false };
	int status = 200;

	if (!d.serve(engine_table(1, before)) || !d.announce(a) || !d.announce(b))
		return 2;
	std::thread beats([&] {
		while (!stop) {
			a.beat_once(d.control().api);
			b.beat_once(d.control().api);
			for (int i = 0; i < 12 && !stop; i++)
				usleep(100000);
		}
	});
	/* The leader reads the state of all runners from time to time. */
	bool ok = Deployment::eventually(
		[&] { return a.reports >= 3 && b.reports >= 3; }, 20000);

	if (ok && trouble()) {
		status = d.put(engine_table(2, after));
		record.line("manifest 2, which also lists alpha: %d", status);
	}
	if (ok)
		usleep(WATCH_MS * 1000);
	stop = true;
	beats.join();
	if (!ok || status != 200)
		return 2;
	for (auto &x : d.instances) {
		siginfo_t info = {};

		waitid(P_PID, (id_t)x.pid, &info, WEXITED | WNOHANG | WNOWAIT);
		if (info.si_pid)
			record.line("%s has ended by itself, status %d",
				    x.id.c_str(), info.si_status);
	}
	record.line(a.exceeded || b.exceeded ? "LIMIT is broken"
					     : "LIMIT holds");
	return a.exceeded || b.exceeded ? 1 : 0;
}
