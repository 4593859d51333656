#ifndef CORE_LOC_H
#define CORE_LOC_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Locality (loc): decides when a request leaves its entry's site, and how many
 * may. Traffic between sites is slower and is paid for, so an endpoint of
 * another site has to save more waiting time than its bytes are worth. The
 * load that it answers: a site whose own endpoints are too few for a while,
 * beside others that have room. Times are microseconds of one monotonic clock,
 * which the caller passes in. No I/O; one thread.
 */
struct loc;

struct loc_options {
	double ms_per_kb; /* waiting time that a kilobyte is worth; 0: off */
	double leave_share_max; /* of the requests of the last second, 0 to 1 */
};

/* How an endpoint of a site may be used for a request. */
struct loc_offer {
	bool allowed;
	double cost_ms; /* added to the endpoint's cost */
};

struct loc *loc_new(const struct loc_options *options);
void loc_free(struct loc *ctx);

/* Commands. */
void loc_set_site(struct loc *ctx, const char *site);
void loc_sent(struct loc *ctx, const char *site, bool had_local,
	      int64_t now_us);
void loc_reached(struct loc *ctx, const char *site);
void loc_unreached(struct loc *ctx, const char *site, const char *endpoint,
		   int64_t now_us);

/* Queries. */
bool loc_is_on(const struct loc *ctx);
bool loc_is_own(const struct loc *ctx, const char *site);
struct loc_offer loc_offer(struct loc *ctx, const char *site, double occupied,
			   uint32_t bytes, int64_t now_us);
double loc_leaving_share(struct loc *ctx, int64_t now_us);

#endif
