#include "http/hio_int.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

struct hio_probe {
	struct event *event;
	int fd;
	int error; /* of connect(), if it failed at once */
	void (*done)(void *data, enum hio_probe_result result);
	void *data;
};

static void probe_free(struct hio_probe *probe)
{
	event_free(probe->event);
	if (probe->fd >= 0)
		close(probe->fd);
	g_free(probe);
}

static enum hio_probe_result result_of(int error)
{
	switch (error) {
	case 0:
		return HIO_PROBE_CONNECTED;
	case ECONNREFUSED:
		return HIO_PROBE_REFUSED;
	default:
		return HIO_PROBE_UNKNOWN;
	}
}

static void on_done(evutil_socket_t fd, short what, void *data)
{
	struct hio_probe *probe = data;
	void (*done)(void *, enum hio_probe_result) = probe->done;
	void *done_data = probe->data;
	int error = probe->error;
	socklen_t len = sizeof(error);

	if (!error && !(what & EV_WRITE))
		error = ETIMEDOUT;
	else if (!error &&
		 getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		error = errno;
	probe_free(probe);
	done(done_data, result_of(error));
}

/*
 * Connects to an address and closes the connection at once. done is called
 * within timeout_us, but not before this returns, and frees the probe.
 */
struct hio_probe *hio_probe_start(
	struct event_base *base, const char *address, int64_t timeout_us,
	void (*done)(void *data, enum hio_probe_result result), void *data)
{
	struct hio_probe *probe = g_new0(struct hio_probe, 1);
	struct sockaddr_in to;

	probe->done = done;
	probe->data = data;
	probe->fd = -1;
	if (!hio_parse_address(address, &to)) {
		probe->error = EINVAL;
	} else {
		probe->fd = socket(
			AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		if (probe->fd < 0 || (connect(probe->fd, (struct sockaddr *)&to,
					      sizeof(to)) < 0 &&
				      errno != EINPROGRESS))
			probe->error = errno;
	}
	if (probe->error) {
		probe->event = event_new(base, -1, 0, on_done, probe);
		hio_set_timer(probe->event, 1);
	} else {
		probe->event =
			event_new(base, probe->fd, EV_WRITE, on_done, probe);
		hio_set_timer(probe->event, timeout_us);
	}
	return probe;
}

/* Ends the probe without a callback; NULL is allowed. */
void hio_probe_cancel(struct hio_probe *probe)
{
	if (probe)
		probe_free(probe);
}
