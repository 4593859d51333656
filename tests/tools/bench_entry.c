/*
 * Measures the latency that an entry adds to a stream: the time of each token
 * from the endpoint to the caller and the time to the first token, directly and
 * through an entry, with the same endpoint and the same caller. Everything runs
 * in this process, so that the load of caller and endpoint is in both cases.
 *
 * bench_entry [STREAMS [TOKENS [GAP_MS]]]
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hist.h"
#include "base/log.h"
#include "lib_fake_ctl.h"
#include "lib_stub_endpoint.h"

static const char document[] = "team = \"bench\"\nnumber = 1\n"
			       "default_class = \"c\"\n"
			       "[weights]\nattainment = 1.0\nmoves = 1.0\n"
			       "[store]\nloads_per_s = 1.0\n"
			       "parallel_loads = 1\nadapters_in_transit = 1\n"
			       "[[service]]\nname = \"s\"\nkind = \"engine\"\n"
			       "[[model]]\nname = \"m\"\nservice = \"s\"\n"
			       "memory_mb = 1\n"
			       "[[class]]\nname = \"c\"\n"
			       "first_token_ms = 60000\nshare = 1.0\n";

struct stream {
	int fd;
	int64_t start_us;
	bool first_seen;
	bool ended;
	char tail[64]; /* end of the last read, may be part of an event */
};

struct results {
	struct hist *token_latency;
	struct hist *first_token;
	uint32_t complete;
	int64_t cpu_us; /* of the whole process */
};

static int64_t cpu_us(void)
{
	struct rusage use;

	getrusage(RUSAGE_SELF, &use);
	return (use.ru_utime.tv_sec + use.ru_stime.tv_sec) * 1000000LL +
	       use.ru_utime.tv_usec + use.ru_stime.tv_usec;
}

static int port_of(const char *address)
{
	return (int)strtol(strrchr(address, ':') + 1, NULL, 10);
}

static int open_stream(int port)
{
	static const char body[] = "{\"model\":\"m\",\"stream\":true,"
				   "\"messages\":[{\"role\":\"user\","
				   "\"content\":\"hello\"}]}";
	struct sockaddr_in address = { .sin_family = AF_INET };
	char request[512];
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int len;

	address.sin_port = htons((uint16_t)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		perror("connect");
		exit(1);
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	len = snprintf(request, sizeof(request),
		       "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
		       "X-Team: bench\r\nX-Request-Id: b\r\n"
		       "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		       strlen(body), body);
	if (send(fd, request, (size_t)len, 0) != len) {
		perror("send");
		exit(1);
	}
	return fd;
}

/* Records the latency of the tokens in a piece of a stream, and its end. */
static void record_events(struct stream *s, struct results *f, char *text)
{
	int64_t now = g_get_monotonic_time();
	char *at = text;

	while ((at = strstr(at, "\"t\":")) && strchr(at, ',')) {
		hist_add(f->token_latency, now - strtoll(at + 4, NULL, 10));
		if (!s->first_seen)
			hist_add(f->first_token, now - s->start_us);
		s->first_seen = true;
		at += 4;
	}
	if (strstr(text, "[DONE]")) {
		f->complete++;
		s->ended = true;
	}
}

static bool read_stream(struct stream *s, struct results *f)
{
	char buffer[65536 + sizeof(s->tail)];
	size_t before = strlen(s->tail);
	char *open;
	ssize_t n;

	memcpy(buffer, s->tail, before);
	n = read(s->fd, buffer + before, 65536 - 1);
	if (n <= 0)
		return false;
	buffer[before + (size_t)n] = '\0';
	s->tail[0] = '\0';
	record_events(s, f, buffer);
	open = strrchr(buffer, '\n');
	if (open && strlen(open) < sizeof(s->tail))
		strcpy(s->tail, open);
	return !s->ended;
}

static void start_stream(struct stream *s, int epoll, int port)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = s };

	s->start_us = g_get_monotonic_time();
	s->fd = open_stream(port);
	epoll_ctl(epoll, EPOLL_CTL_ADD, s->fd, &event);
}

static void measure(int port, uint32_t n, struct results *f)
{
	struct stream *streams = g_new0(struct stream, n);
	struct epoll_event events[64];
	int epoll = epoll_create1(0);
	uint32_t opened = 0;
	uint32_t open = 0;

	f->cpu_us = cpu_us();
	while (opened < n || open) {
		int wait_ms = opened < n ? 1 : 60000;
		int ready;

		/* Staggers the starts of the callers. */
		if (opened < n) {
			start_stream(&streams[opened++], epoll, port);
			open++;
		}
		ready = epoll_wait(epoll, events, 64, wait_ms);
		if (ready <= 0 && opened == n)
			break;
		for (int i = 0; i < ready; i++) {
			struct stream *s = events[i].data.ptr;

			if (read_stream(s, f))
				continue;
			close(s->fd);
			open--;
		}
	}
	f->cpu_us = cpu_us() - f->cpu_us;
	close(epoll);
	g_free(streams);
}

static void print_results(const char *name, const struct results *f, uint32_t n)
{
	printf("%-14s streams=%u/%u token_way_us p50=%lld p95=%lld p99=%lld "
	       "first_token_us p50=%lld p99=%lld cpu_us_per_token=%.1f\n",
	       name, f->complete, n,
	       (long long)hist_quantile(f->token_latency, 0.5),
	       (long long)hist_quantile(f->token_latency, 0.95),
	       (long long)hist_quantile(f->token_latency, 0.99),
	       (long long)hist_quantile(f->first_token, 0.5),
	       (long long)hist_quantile(f->first_token, 0.99),
	       (double)f->cpu_us /
		       (double)MAX(hist_count(f->token_latency), 1));
	fflush(stdout);
}

static uint32_t number_argument(int argc, char **argv, int i,
				uint32_t default_value)
{
	return argc > i ? (uint32_t)strtoul(argv[i], NULL, 10) : default_value;
}

int main(int argc, char **argv)
{
	uint32_t n = number_argument(argc, argv, 1, 500);
	uint32_t tokens = number_argument(argc, argv, 2, 100);
	uint32_t gap_ms = number_argument(argc, argv, 3, 50);
	struct set settings = {
		.id = (char *)"bench",
		.site = (char *)"here",
		.http_listen = (char *)"127.0.0.1:18471",
		.body_bytes_max = 1 << 20,
		.header_bytes_max = 16384,
		.requests_max = 2 * n,
		.queue_max = n,
		.memory_mb_max = 512,
		.answer_retention_s = 60,
		.silence_limit_ms = 2000,
	};
	struct stub *stub = stub_new_sized(tokens, 2 * n + 16);
	struct fake_group *group = fake_group_new();
	struct clk *clock = clk_new_real();
	struct met *metrics = met_new();
	struct trf *trf = trf_new(&settings, clock, metrics);
	struct rlimit limit;
	GError *err = NULL;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	log_set_level(LOG_ERR);
	stub_set_token_interval(stub, gap_ms * 1000);
	fake_group_put_document(group, "bench", 1, document);
	if (!fake_group_join(group, trf, "bench", settings.http_listen, &err)) {
		fprintf(stderr, "bench_entry: %s\n", err->message);
		return 1;
	}
	fake_group_put_endpoint(group, "r1", 1, stub_address(stub), "bench",
				"s", "m", NULL, true);
	for (int round = 0; round < 2; round++) {
		struct results direct = { hist_new(), hist_new(), 0, 0 };
		struct results through = { hist_new(), hist_new(), 0, 0 };

		measure(port_of(stub_address(stub)), n, &direct);
		print_results("direct", &direct, n);
		measure(18471, n, &through);
		print_results("through entry", &through, n);
	}
	trf_stop(trf, 5);
	trf_free(trf);
	stub_free(stub);
	fake_group_free(group);
	met_free(metrics);
	clk_free(clock);
	return 0;
}
