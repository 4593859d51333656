/* See claim.txt. */
#include "../lib-2/rig.h"

using namespace rig;

/* Within what the site file names for the class night-caption: at most 150
 * events of at most 300 bytes, 50 on average; deadline and timeout 30 s. */
static const int EVENTS = 80;
static const int EVENT_BYTES = 100;
static const int DEADLINE_MS = 30000;
/* How the callers read: a receive buffer as the pages' "small windows", and
 * 128 bytes each 400 ms, so that the whole answer takes about 27 s. */
static const int WINDOW_BYTES = 4096;
static const int PIECE_BYTES = 128;
static const int PAUSE_MS = 400;
static const int CALLERS = 6;

static std::string event(int i)
{
	std::string text = "id: " + std::to_string(i) + "\ndata: ";

	text.append(EVENT_BYTES - text.size() - 2, 'x');
	return text + "\n\n";
}

/* Writes a stream of events, one each 20 ms. */
static void stream(Runner &r, Socket &s, const Message &m)
{
	char size[16];

	s.send(r.head(m, 200, -1, "text/event-stream"));
	for (int i = 1; i <= EVENTS; i++) {
		std::string text = event(i);

		snprintf(size, sizeof(size), "%zx\r\n", text.size());
		if (!s.send(size + text + "\r\n")) {
			record().line("runner: %s was cut at event %d",
				      m.field("X-Attempt-Id").c_str(), i);
			return;
		}
		sleep_ms(20);
	}
	s.send("0\r\n\r\n");
	record().line("runner: %s ended well",
		      m.field("X-Attempt-Id").c_str());
}

static void answer(Runner &r, Socket &s, const Message &m)
{
	if (m.target().rfind("/night/", 0) == 0) {
		stream(r, s, m);
		return;
	}
	s.send(r.head(m, 200, 2) + "ok");
}

int main()
{
	Bounds bounds;
	bounds.losses = 1;
	bounds.budget_extra = 240;
	bounds.memory_mb = 112;
	bounds.max_fds = 2870;
	System system(3, 2, bounds);
	Runner desk("gallery-desk", "i-desk", answer);
	Runner writer("caption-writers", "i-writer", answer, { "m0" });
	std::vector<std::string> apis;
	std::string manifest =
		"{\"version\":1,\"routes\":["
		"{\"name\":\"r-lookup\",\"host\":\"nilrose.example\","
		"\"pathPrefix\":\"/lookup/\",\"kind\":\"safe\",\"timeoutMs\":"
		"1500,\"goalMs\":300,\"priority\":2,\"service\":"
		"\"gallery-desk\",\"maxAttempts\":2},"
		"{\"name\":\"r-night\",\"host\":\"nilrose.example\","
		"\"pathPrefix\":\"/night/\",\"kind\":\"streaming\","
		"\"timeoutMs\":30000,\"goalMs\":10000,\"priority\":1,"
		"\"service\":\"caption-writers\",\"maxAttempts\":1,\"sticky\":"
		"true,\"resumable\":false,\"gapTargetMs\":300}],"
		"\"services\":[{\"name\":\"gallery-desk\",\"healthPath\":"
		"\"/health\",\"maxConns\":624,\"protocol\":\"h1\",\"tls\":"
		"false},{\"name\":\"caption-writers\",\"healthPath\":"
		"\"/health\",\"maxConns\":736,\"protocol\":\"h1\",\"tls\":"
		"false,\"engine\":{\"slots\":16,\"kvCapacityTokens\":54845,"
		"\"stride\":4,\"models\":[{\"name\":\"m0\",\"weightsMb\":"
		"65500.0,\"loadS\":9,\"adapters\":0,\"adapterMb\":40.0}],"
		"\"weightsMb\":230000.0,\"adapterSlots\":8,\"loadsPerS\":13}}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
	std::vector<std::thread> callers;
	std::atomic<int> whole{ 0 }, cut{ 0 }, other{ 0 };

	for (auto &m : system.machines)
		if (m.control)
			apis.push_back(m.api);
	desk.beat(apis);
	writer.beat(apis);
	if (!system.serve(manifest)) {
		record().line("the system did not start");
		return 2;
	}
	/* Well beyond contactMs after the last start. */
	sleep_ms(6000);
	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back([&, i] {
			Socket s;
			std::string id = "night-" + std::to_string(i);
			Message first, m;
			int64_t begun;

			if (!s.open(system.entry((size_t)i % 2).front, 1000,
				    trouble() ? WINDOW_BYTES : 0)) {
				other++;
				return;
			}
			/* Makes it a kept channel. */
			s.send(request("GET", "/lookup/a", "nilrose.example",
				       { { "X-Attempt-Id", "look-" + id },
					 { "X-Deadline-Ms", "3000" } }));
			first = s.read(3000);
			record().line("caller %d: lookup %d", i,
				      first.status());
			if (first.status() != 200) {
				other++;
				return;
			}
			begun = now_ms();
			record().line("caller %d: sends %s", i, id.c_str());
			s.send(request(
				"POST", "/night/a", "nilrose.example",
				{ { "X-Attempt-Id", id },
				  { "X-Deadline-Ms",
				    std::to_string(DEADLINE_MS) },
				  { "X-Model", "m0" },
				  { "X-Token-Count", "1460,600" },
				  { "X-Prompt-Prefix", "5c1e07a2:350,e4402b7d:"
						       "1110" } },
				std::string(1500, 'p')));
			m = trouble() ? s.read(DEADLINE_MS, PAUSE_MS,
					       PIECE_BYTES)
				      : s.read(DEADLINE_MS);
			record().line("caller %d: %s status %d, %zu of %d "
				      "bytes, complete %d, channel ended %d "
				      "(reset %d) after %.1f s",
				      i, id.c_str(), m.status(), m.body.size(),
				      EVENTS * EVENT_BYTES, m.complete, m.ended,
				      m.reset,
				      (double)(now_ms() - begun) / 1000);
			if (m.complete && m.status() == 200 &&
			    m.body.size() == (size_t)EVENTS * EVENT_BYTES)
				whole++;
			else if (m.ended)
				cut++;
			else
				other++;
		});
	for (auto &t : callers)
		t.join();
	record().line("whole %d, cut %d, other %d", (int)whole, (int)cut,
		      (int)other);
	desk.stop();
	writer.stop();
	system.stop_all();
	if (other)
		return 2;
	/* LOST: more than three times. */
	return cut > 3 ? 1 : 0;
}
