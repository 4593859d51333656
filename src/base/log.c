#include "base/log.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Longest line; the rest is cut. Lines are written with one write(2). */
#define LINE_MAX_BYTES 2048

static const char *const severity_names[] = {
	[LOG_EMERG] = "emerg",	   [LOG_ALERT] = "alert",
	[LOG_CRIT] = "crit",	   [LOG_ERR] = "err",
	[LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
	[LOG_INFO] = "info",	   [LOG_DEBUG] = "debug",
};

/* Lines of one kind in a second; more are counted and told in one line. The
 * busiest kind writes one line for each request, and an entry of the smallest
 * size answers fewer requests than this. */
#define LINES_PER_S 200
#define KINDS_MAX 64

struct kind {
	const char *module;
	const char *event;
	int64_t second;
	unsigned lines;
	unsigned dropped; /* in this second */
};

static _Atomic int max_severity = LOG_INFO;
static _Atomic int output = STDERR_FILENO;
static _Atomic unsigned unwritten; /* nobody read the output */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct kind kinds[KINDS_MAX]; /* lock */
static size_t n_kinds;		     /* lock */

/* Sets the least important severity (syslog number) that is written. */
void log_set_level(int severity)
{
	max_severity = severity;
}

/* Returns the syslog number of a severity name, or -1 for an unknown name. */
int log_level_from_name(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(severity_names); i++)
		if (!strcmp(name, severity_names[i]))
			return (int)i;
	return -1;
}

/* Sets the descriptor that lines are written to; standard error at first. */
void log_set_output(int fd)
{
	output = fd;
}

/* Writes without waiting for a reader that is behind. */
static void write_line(const char *line, size_t len)
{
	struct pollfd out = { .fd = output, .events = POLLOUT };

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(out.fd, line, len) < 0)
		unwritten++;
}

static size_t begin_line(char *line, size_t size, int severity,
			 const char *module, const char *event)
{
	struct timespec ts;
	struct tm tm;
	size_t len;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	len = (size_t)snprintf(line, size, "<%d>", severity);
	len += strftime(line + len, size - len, "%Y-%m-%dT%H:%M:%S", &tm);
	len += (size_t)snprintf(
		line + len, size - len, ".%03ldZ %s %s: event=%s ",
		ts.tv_nsec / 1000000, severity_names[severity], module, event);
	return len;
}

static void tell_dropped(const struct kind *kind, unsigned dropped)
{
	char line[LINE_MAX_BYTES];
	size_t len =
		begin_line(line, sizeof(line), LOG_WARNING, "log", "dropped");

	len += (size_t)snprintf(line + len, sizeof(line) - len,
				"of=%s/%s lines=%u unwritten=%u\n",
				kind->module, kind->event, dropped, unwritten);
	write_line(line, MIN(len, sizeof(line) - 1));
}

static struct kind *kind_of(const char *module, const char *event)
{
	for (size_t i = 0; i < n_kinds; i++)
		if (!strcmp(kinds[i].event, event) &&
		    !strcmp(kinds[i].module, module))
			return &kinds[i];
	if (n_kinds == KINDS_MAX)
		return NULL;
	kinds[n_kinds] = (struct kind){ .module = module, .event = event };
	return &kinds[n_kinds++];
}

/* Counts a line of this kind; returns whether it is written. */
static bool may_write(const char *module, const char *event)
{
	struct kind before = { 0 };
	struct timespec ts;
	struct kind *kind;
	bool ok = true;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	pthread_mutex_lock(&lock);
	kind = kind_of(module, event);
	if (kind && kind->second != ts.tv_sec) {
		before = *kind;
		kind->second = ts.tv_sec;
		kind->lines = 0;
		kind->dropped = 0;
	}
	if (kind && kind->lines >= LINES_PER_S) {
		kind->dropped++;
		ok = false;
	} else if (kind) {
		kind->lines++;
	}
	pthread_mutex_unlock(&lock);
	if (before.dropped)
		tell_dropped(&before, before.dropped);
	return ok;
}

/*
 * Writes one event line. The line starts with the syslog priority prefix "<N>",
 * so that a service manager keeps the severity. Control characters in the
 * fields are replaced so that an event stays one line. module and event are
 * string constants.
 */
void log_event(int severity, const char *module, const char *event,
	       const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	va_list args;
	size_t len;
	size_t start;

	if (severity > max_severity || !may_write(module, event))
		return;
	len = begin_line(line, sizeof(line), severity, module, event);
	start = len;
	va_start(args, format);
	len += (size_t)vsnprintf(line + len, sizeof(line) - len, format, args);
	va_end(args);
	if (len > sizeof(line) - 1)
		len = sizeof(line) - 1;
	for (size_t i = start; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	line[len++] = '\n';
	write_line(line, len);
}
