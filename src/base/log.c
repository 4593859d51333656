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

/* Longest line; the rest is truncated. Each line is one write(2). */
#define LINE_MAX_BYTES 2048

static const char *const severity_names[] = {
	[LOG_EMERG] = "emerg",	   [LOG_ALERT] = "alert",
	[LOG_CRIT] = "crit",	   [LOG_ERR] = "err",
	[LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
	[LOG_INFO] = "info",	   [LOG_DEBUG] = "debug",
};

/* Lines per second for each type of event, that is each module and event name.
 * Further lines are counted and reported in one line. The most frequent type
 * writes one line for each request, and an entry of the smallest size answers
 * fewer requests per second than this. */
#define LINES_PER_S 200
#define EVENT_TYPES_MAX 64 /* further ones are not limited */

struct event_type {
	const char *module;
	const char *event;
	int64_t second;	  /* of the last line */
	unsigned lines;	  /* written in that second */
	unsigned dropped; /* in that second */
};

static _Atomic int max_severity = LOG_INFO;
static _Atomic int output = STDERR_FILENO;
static _Atomic unsigned unwritten; /* lines lost: output was not ready */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_type event_types[EVENT_TYPES_MAX]; /* lock */
static size_t n_event_types;			       /* lock */

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

/* Writes the line, or counts it as unwritten if the output would block. */
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

static void report_dropped(const struct event_type *type, unsigned dropped)
{
	char line[LINE_MAX_BYTES];
	size_t len =
		begin_line(line, sizeof(line), LOG_WARNING, "log", "dropped");

	len += (size_t)snprintf(line + len, sizeof(line) - len,
				"of=%s/%s lines=%u unwritten=%u\n",
				type->module, type->event, dropped, unwritten);
	write_line(line, MIN(len, sizeof(line) - 1));
}

static struct event_type *get_event_type(const char *module, const char *event)
{
	for (size_t i = 0; i < n_event_types; i++)
		if (!strcmp(event_types[i].event, event) &&
		    !strcmp(event_types[i].module, module))
			return &event_types[i];
	if (n_event_types == EVENT_TYPES_MAX)
		return NULL;
	event_types[n_event_types] =
		(struct event_type){ .module = module, .event = event };
	return &event_types[n_event_types++];
}

/* Counts a line of this type; returns true if it is within the limit. */
static bool may_write(const char *module, const char *event)
{
	struct event_type previous = { 0 };
	struct timespec ts;
	struct event_type *type;
	bool ok = true;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	pthread_mutex_lock(&lock);
	type = get_event_type(module, event);
	if (type && type->second != ts.tv_sec) {
		previous = *type;
		type->second = ts.tv_sec;
		type->lines = 0;
		type->dropped = 0;
	}
	if (type && type->lines >= LINES_PER_S) {
		type->dropped++;
		ok = false;
	} else if (type) {
		type->lines++;
	}
	pthread_mutex_unlock(&lock);
	if (previous.dropped)
		report_dropped(&previous, previous.dropped);
	return ok;
}

/*
 * Writes one event line. The line starts with the syslog priority prefix "<N>",
 * so that a service manager keeps the severity. Control characters in the
 * fields are replaced so that an event stays one line. module and event must be
 * string constants, since only their addresses are kept.
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
