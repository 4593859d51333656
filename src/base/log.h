#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <syslog.h>

/*
 * Event log. Each event is one line: syslog priority, time, severity, module,
 * event and key=value fields, which the format string lists. The lines per
 * second of each type of event are limited, and writing never blocks.
 */
#define LOG_EVENT_ERROR(module, event, ...) \
	log_event(LOG_ERR, module, event, __VA_ARGS__)
#define LOG_EVENT_WARN(module, event, ...) \
	log_event(LOG_WARNING, module, event, __VA_ARGS__)
#define LOG_EVENT_NOTICE(module, event, ...) \
	log_event(LOG_NOTICE, module, event, __VA_ARGS__)
#define LOG_EVENT_INFO(module, event, ...) \
	log_event(LOG_INFO, module, event, __VA_ARGS__)
#define LOG_EVENT_DEBUG(module, event, ...) \
	log_event(LOG_DEBUG, module, event, __VA_ARGS__)

void log_set_level(int severity);
void log_set_output(int fd);
int log_level_from_name(const char *name);
void log_event(int severity, const char *module, const char *event,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));

#endif
