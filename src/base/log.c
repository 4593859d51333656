#include "base/log.h"

#include <glib.h>
#include <stdarg.h>
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

static _Atomic int max_severity = LOG_INFO;

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

/*
 * Writes one event line to standard error. The line starts with the syslog
 * priority prefix "<N>", so that a service manager keeps the severity. Control
 * characters in the fields are replaced so that an event stays one line.
 */
void log_event(int severity, const char *module, const char *event,
	       const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	struct timespec ts;
	struct tm tm;
	va_list args;
	size_t len;
	size_t start;

	if (severity > max_severity)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	len = (size_t)snprintf(line, sizeof(line), "<%d>", severity);
	len += strftime(line + len, sizeof(line) - len, "%Y-%m-%dT%H:%M:%S",
			&tm);
	len += (size_t)snprintf(
		line + len, sizeof(line) - len, ".%03ldZ %s %s: event=%s ",
		ts.tv_nsec / 1000000, severity_names[severity], module, event);
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
	if (write(STDERR_FILENO, line, len) < 0)
		return; /* nowhere left to report it */
}
