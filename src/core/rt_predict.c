#include <math.h>

#include "core/rt_int.h"

/* Fixed cost of a request in units of one prompt token. */
#define FIXED_COST 64.0
/* Assumed until times are measured. An engine that takes 1 ms a unit is slow;
 * the defaults are near that, so that a new endpoint is tried but does not
 * attract all requests. */
#define DEFAULT_UNIT_US 500.0
#define DEFAULT_DECODE_US 500000.0
#define DEFAULT_PLAIN_US 20000.0
/* Lower limit of the weight of a new observation. */
#define OBSERVATION_WEIGHT_MIN 0.1
/* Age at which a report has half its weight: three missed reports. */
#define REPORT_HALF_US 3000000.0
/* Age at which a prefix has half its value; engines evict the least recently
 * used ones. */
#define PREFIX_HALF_US 60000000.0
/* Share of a matching prefix that is assumed to be still cached: cache events
 * arrive late and with gaps. */
#define PREFIX_CACHED_SHARE 0.8
#define SAMPLE_INTERVAL_US 50000
#define BIAS_MIN 0.25
#define BIAS_MAX 8.0

/* Weight of an observation after n others. */
static double observation_weight(double n)
{
	return MAX(1.0 / (n + 1.0), OBSERVATION_WEIGHT_MIN);
}

static void update_mean(double *mean, double *n, double value)
{
	*mean += observation_weight(*n) * (value - *mean);
	*n = MIN(*n + 1.0, 1000.0);
}

/* Returns this entry's requests in flight at a past time, from the samples; 0
 * if they do not reach back so far. */
uint32_t rt_in_flight_at(const struct rt_ep *ep, int64_t at_us)
{
	const struct rt_sample *best = NULL;

	for (uint32_t i = 0; i < RT_SAMPLES; i++) {
		const struct rt_sample *sample = &ep->samples[i];

		if (!sample->at_us || sample->at_us > at_us)
			continue;
		if (!best || sample->at_us > best->at_us)
			best = sample;
	}
	return best ? best->in_flight : 0;
}

/* Records a sample of this entry's requests in flight after a change. */
void rt_sample_in_flight(struct rt_ep *ep, int64_t now_us)
{
	struct rt_sample *last;

	last = &ep->samples[(ep->next_sample + RT_SAMPLES - 1) % RT_SAMPLES];
	if (last->at_us && now_us - last->at_us < SAMPLE_INTERVAL_US) {
		last->in_flight = ep->in_flight;
		return;
	}
	ep->samples[ep->next_sample] = (struct rt_sample){
		.at_us = MAX(now_us, 1),
		.in_flight = ep->in_flight,
	};
	ep->next_sample = (ep->next_sample + 1) % RT_SAMPLES;
}

/*
 * Estimates the requests on an endpoint: this entry's, and those of other
 * entries from the last report. The weight of the report falls with its age;
 * for the rest, each other entry is assumed to have as many as this one.
 */
double rt_load_estimate(const struct rt *ctx, const struct rt_ep *ep,
			int64_t now_us)
{
	double extrapolated = (double)ep->in_flight * (ctx->entries - 1);
	double others = extrapolated;
	double age, weight;

	extrapolated = MIN(extrapolated, (double)ep->slots);
	others = extrapolated;
	if (ep->reported) {
		age = (double)MAX(now_us - ep->report_us, 0) / REPORT_HALF_US;
		weight = 1.0 / (1.0 + age * age);
		others = weight * ep->others + (1.0 - weight) * extrapolated;
	}
	return (double)ep->in_flight + others;
}

/* Returns the mean time that a request occupies a slot, in microseconds. */
double rt_service_us(const struct rt_pool *pool, const struct rt_ep *ep)
{
	if (ep->n_service > 0)
		return ep->service_us;
	if (pool->base->n_decode > 0)
		return pool->base->decode_us;
	return pool->plain ? DEFAULT_PLAIN_US : DEFAULT_DECODE_US;
}

/* Returns the measured speed of an endpoint for a base model; adds an empty one
 * if there is none. */
struct rt_speed *rt_speed_of(struct rt_ep *ep, struct rt_pool *base)
{
	struct rt_speed *speed;

	for (guint i = 0; i < ep->speeds->len; i++) {
		speed = g_ptr_array_index(ep->speeds, i);
		if (speed->base == base)
			return speed;
	}
	speed = g_new0(struct rt_speed, 1);
	speed->base = base;
	g_ptr_array_add(ep->speeds, speed);
	return speed;
}

static struct rt_prefix *prefix_slot(const struct rt *ctx, uint64_t hash,
				     unsigned way)
{
	return &ctx->prefixes[(hash * 2 + way) % RT_PREFIX_SLOTS];
}

/* Estimates the share of the prompt that the endpoint has cached, 0 to 1. */
static double prefix_reuse(const struct rt *ctx, const struct rt_ep *ep,
			   const struct rt_ticket *ticket, int64_t now_us)
{
	unsigned n = 0, matched = 0;
	double age = 0;

	while (n < RT_PREFIXES && ticket->prefix_hashes[n])
		n++;
	for (unsigned i = n; i > 0 && !matched; i--) {
		for (unsigned way = 0; way < 2; way++) {
			const struct rt_prefix *slot;

			slot = prefix_slot(ctx, ticket->prefix_hashes[i - 1],
					   way);
			if (slot->hash != ticket->prefix_hashes[i - 1] ||
			    slot->ep != ep)
				continue;
			matched = i;
			age = (double)MAX(now_us - slot->at_us, 0);
		}
	}
	if (!matched)
		return 0;
	age /= PREFIX_HALF_US;
	return PREFIX_CACHED_SHARE * matched / n / (1.0 + age * age);
}

/* Records that the endpoint of a dispatched ticket now caches its prompt. */
void rt_prefix_record(struct rt *ctx, const struct rt_ticket *ticket,
		      int64_t now_us)
{
	for (unsigned i = 0; i < RT_PREFIXES && ticket->prefix_hashes[i]; i++) {
		uint64_t hash = ticket->prefix_hashes[i];
		struct rt_prefix *a = prefix_slot(ctx, hash, 0);
		struct rt_prefix *b = prefix_slot(ctx, hash, 1);
		struct rt_prefix *slot = a->at_us <= b->at_us ? a : b;

		if (a->hash == hash && a->ep == ticket->ep)
			slot = a;
		else if (b->hash == hash && b->ep == ticket->ep)
			slot = b;
		*slot = (struct rt_prefix){
			.hash = hash,
			.ep = ticket->ep,
			.at_us = now_us,
		};
	}
}

/* Drops the prefixes of an endpoint that restarted or left. */
void rt_prefix_drop(struct rt *ctx, const struct rt_ep *ep)
{
	for (size_t i = 0; i < RT_PREFIX_SLOTS; i++) {
		if (ctx->prefixes[i].ep == ep)
			ctx->prefixes[i] = (struct rt_prefix){ 0 };
	}
}

/*
 * Predicts the times of a request on one endpoint, in microseconds from now.
 * For an endpoint that has not yet run the model, the prediction uses the
 * model's mean and the endpoint's speed with other models.
 */
void rt_predict(const struct rt *ctx, const struct rt_link *link,
		const struct rt_ticket *ticket, int64_t now_us,
		struct rt_candidate *out)
{
	const struct rt_ep *ep = link->ep;
	const struct rt_pool *base = link->pool->base;
	const struct rt_speed *speed = link->speed;
	double service = rt_service_us(link->pool, ep);
	bool plain = base->plain;
	double unit, decode, wait = 0, fill, known;

	out->load = rt_load_estimate(ctx, ep, now_us);
	unit = base->n_first > 0 ? base->unit_us
	       : plain		 ? DEFAULT_PLAIN_US / FIXED_COST
				 : DEFAULT_UNIT_US;
	decode = base->n_decode > 0 ? base->decode_us
		 : plain	    ? 0
				    : DEFAULT_DECODE_US;
	unit *= ep->factor;
	decode *= ep->factor;
	known = speed->n_first / (speed->n_first + 2.0);
	unit += known * (speed->unit_us - unit);
	known = speed->n_decode / (speed->n_decode + 2.0);
	decode += known * (speed->decode_us - decode);

	out->cost = FIXED_COST +
		    ticket->prompt_tokens *
			    (1.0 - prefix_reuse(ctx, ep, ticket, now_us));
	/* With continuous batching, each request gets slower as the batch
	 * fills. */
	fill = MIN(out->load / ep->slots, 1.0);
	if (out->load >= ep->slots)
		wait = (out->load - ep->slots + 1.0) * service / ep->slots;
	out->base_us = unit * out->cost * (1.0 + fill);
	out->first_us = (out->base_us + wait) * ep->bias;
	out->total_us = out->first_us + decode * (1.0 + fill) / 1.5;
	out->room = MAX(ep->slots - out->load, 0.05 * ep->slots);
	out->weight = out->room / MAX(service, 1.0);
}

/* Updates the measured speed with the first token of a dispatched ticket. */
void rt_record_first_token(struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_ep *ep = ticket->ep;
	struct rt_pool *base = ticket->pool->base;
	struct rt_speed *speed = ticket->speed;
	double seen = (double)MAX(now_us - ticket->dispatch_us, 1);
	double fill, unit, ratio;

	ticket->first_us = now_us;
	ratio = seen / MAX((double)ticket->predicted_us, 1.0);
	ratio = CLAMP(ratio * ep->bias, BIAS_MIN, BIAS_MAX);
	/* A request that was queued at the endpoint does not measure its speed;
	 * it only shows how far off the reported load is. */
	if (ticket->load > ep->slots ||
	    (speed->n_first >= 4 && seen > 3.0 * ticket->predicted_base_us)) {
		ep->bias += 0.1 * (ratio - ep->bias);
		if (speed->n_first >= 4 && ticket->load <= ep->slots) {
			/* Adapts slowly, so that a lasting slowdown still
			 * shows in the speed. */
			speed->unit_us *= 1.05;
		}
		return;
	}
	ep->bias += 0.1 * (1.0 - ep->bias);
	fill = MIN(ticket->load / ep->slots, 1.0);
	unit = seen / (ticket->cost * (1.0 + fill));
	update_mean(&speed->unit_us, &speed->n_first, unit);
	if (base->n_first > 0) {
		double factor = unit / MAX(base->unit_us, 1e-3);

		factor = CLAMP(factor, 0.1, 10.0);
		ep->factor += 0.05 * (factor - ep->factor);
	}
	update_mean(&base->unit_us, &base->n_first, unit);
}

/* Updates the measured times with the successful end of a dispatched ticket. */
void rt_record_completion(struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_ep *ep = ticket->ep;
	double whole = (double)MAX(now_us - ticket->dispatch_us, 1);
	double decode = 0;

	if (ticket->first_us)
		decode = (double)(now_us - ticket->first_us);
	update_mean(&ep->service_us, &ep->n_service, whole);
	update_mean(&ticket->speed->decode_us, &ticket->speed->n_decode,
		    decode);
	update_mean(&ticket->pool->base->decode_us,
		    &ticket->pool->base->n_decode, decode);
}
