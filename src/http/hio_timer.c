#include "http/hio.h"

/* A timer that expires later than this was not served in time. */
#define LATE_US 20000
/* Polls for input before a late timer takes effect: one each for a new
 * connection, the first bytes on it, a long body, and a reply that follows. */
#define LATE_POLLS 4
/* Time until the next one. Other threads read meanwhile what they got. */
#define POLL_US 2000

struct hio_timer {
	struct event *event; /* owned */
	const struct clk *clock;
	int64_t due_us;
	unsigned polls; /* since it was found to be late */
	void (*expired)(void *data);
	void *data;
};

static int64_t now_us(const struct hio_timer *ctx)
{
	return ctx->clock ? clk_now_us(ctx->clock) : 0;
}

static bool is_overdue(const struct hio_timer *ctx)
{
	return now_us(ctx) - ctx->due_us > LATE_US;
}

/*
 * A process that was stopped returns from its poll without events, and expired
 * timers run before the input of meanwhile is read. A late timer is started
 * again, so that its callback judges by what has arrived.
 */
static void on_expired(evutil_socket_t fd, short what, void *data)
{
	struct hio_timer *ctx = data;

	(void)fd;
	(void)what;
	if (is_overdue(ctx) && ctx->polls < LATE_POLLS) {
		ctx->polls++;
		hio_set_timer(ctx->event, POLL_US);
		return;
	}
	ctx->expired(ctx->data);
}

/* Creates a stopped timer. Without a clock it is never late. The callback may
 * free it. */
struct hio_timer *hio_timer_new(struct event_base *base,
				const struct clk *clock,
				void (*expired)(void *data), void *data)
{
	struct hio_timer *ctx = g_new0(struct hio_timer, 1);

	ctx->event = event_new(base, -1, 0, on_expired, ctx);
	ctx->clock = clock;
	ctx->expired = expired;
	ctx->data = data;
	return ctx;
}

/* Frees the timer; NULL is allowed. */
void hio_timer_free(struct hio_timer *ctx)
{
	if (!ctx)
		return;
	event_free(ctx->event);
	g_free(ctx);
}

/* Starts the timer with a delay in microseconds; 0 or less stops it. */
void hio_timer_set(struct hio_timer *ctx, int64_t delay_us)
{
	ctx->due_us = now_us(ctx) + delay_us;
	ctx->polls = 0;
	hio_set_timer(ctx->event, delay_us);
}

/* Returns whether the timer was started and has not expired. */
bool hio_timer_is_running(const struct hio_timer *ctx)
{
	return event_pending(ctx->event, EV_TIMEOUT, NULL);
}

/* Returns whether the timer is overdue and expires once input has been read. */
bool hio_timer_is_held_up(const struct hio_timer *ctx)
{
	return hio_timer_is_running(ctx) && is_overdue(ctx);
}
