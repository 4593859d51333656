#include <math.h>

#include "core/rt_int.h"

/* Fixed cost of a request in units of one prompt token. */
#define COST_FIXED 64.0
/* Assumed before anything is learned: 1 ms a unit is a slow runner, so that a
 * new endpoint is tried but does not attract all requests. */
#define DEFAULT_UNIT_US 500.0
#define DEFAULT_DECODE_US 500000.0
#define DEFAULT_PLAIN_US 20000.0
/* Weight of a new observation once many are known. */
#define LEARN_WEIGHT 0.1
/* A report of this age has half its weight: three missed reports. */
#define REPORT_HALF_US 3000000.0
/* A prefix older than this has half its value; engines evict by use. */
#define PREFIX_HALF_US 60000000.0
/* Part of the shared prefix that is assumed to be still cached: cache events
 * arrive late and with gaps. */
#define PREFIX_TRUST 0.8
#define SAMPLE_SPACING_US 50000
#define BIAS_MIN 0.25
#define BIAS_MAX 8.0

/* Weight of an observation after n others. */
static double learn_weight(double n)
{
	return MAX(1.0 / (n + 1.0), LEARN_WEIGHT);
}

static void learn(double *mean, double *n, double value)
{
	*mean += learn_weight(*n) * (value - *mean);
	*n = MIN(*n + 1.0, 1000.0);
}

/* Returns the own requests in flight at a past time, as far as it is known. */
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

/* Records the own requests in flight of an endpoint after a change. */
void rt_sample_in_flight(struct rt_ep *ep, int64_t now_us)
{
	struct rt_sample *last;

	last = &ep->samples[(ep->next_sample + RT_SAMPLES - 1) % RT_SAMPLES];
	if (last->at_us && now_us - last->at_us < SAMPLE_SPACING_US) {
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
 * Estimates the requests on an endpoint: own ones, and those of other entries
 * from the last report. The weight of the report falls with its age; in its
 * place the other entries are assumed to do as this one does.
 */
double rt_load_estimate(const struct rt *ctx, const struct rt_ep *ep,
			int64_t now_us)
{
	double mirrored = (double)ep->in_flight * (ctx->entries - 1);
	double others = mirrored;
	double age, weight;

	mirrored = MIN(mirrored, (double)ep->slots);
	others = mirrored;
	if (ep->reported) {
		age = (double)MAX(now_us - ep->report_us, 0) / REPORT_HALF_US;
		weight = 1.0 / (1.0 + age * age);
		others = weight * ep->others + (1.0 - weight) * mirrored;
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

/* Returns the learned speed of an endpoint for a base model. */
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

/* Share of the prompt that the endpoint probably has cached, 0 to 1. */
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
	return PREFIX_TRUST * matched / n / (1.0 + age * age);
}

/* Remembers that the endpoint of a dispatched ticket now caches its prompt. */
void rt_prefix_note(struct rt *ctx, const struct rt_ticket *ticket,
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

/* Drops the prefixes of an endpoint that restarted. */
void rt_prefix_forget(struct rt *ctx, const struct rt_ep *ep)
{
	for (size_t i = 0; i < RT_PREFIX_SLOTS; i++) {
		if (ctx->prefixes[i].ep == ep)
			ctx->prefixes[i] = (struct rt_prefix){ 0 };
	}
}

/*
 * Predicts the times of a request on one endpoint, in microseconds from now.
 * An endpoint that was not yet tried with the model is predicted from the mean
 * of the model and from its speed with other models.
 */
void rt_predict(const struct rt *ctx, const struct rt_link *link,
		const struct rt_ticket *ticket, int64_t now_us,
		struct rt_pick *out)
{
	const struct rt_ep *ep = link->ep;
	const struct rt_pool *base = link->pool->base;
	const struct rt_speed *speed = link->speed;
	double service = rt_service_us(link->pool, ep);
	bool plain = base->plain;
	double unit, decode, wait = 0, fill, known;

	out->load = rt_load_estimate(ctx, ep, now_us);
	unit = base->n_first > 0 ? base->unit_us
	       : plain		 ? DEFAULT_PLAIN_US / COST_FIXED
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

	out->cost = COST_FIXED +
		    ticket->prompt_tokens *
			    (1.0 - prefix_reuse(ctx, ep, ticket, now_us));
	/* Continuous batching: the batch slows down as it fills. */
	fill = MIN(out->load / ep->slots, 1.0);
	if (out->load >= ep->slots)
		wait = (out->load - ep->slots + 1.0) * service / ep->slots;
	out->base_us = unit * out->cost * (1.0 + fill);
	out->first_us = (out->base_us + wait) * ep->bias;
	out->total_us = out->first_us + decode * (1.0 + fill) / 1.5;
	out->room = MAX(ep->slots - out->load, 0.05 * ep->slots);
	out->weight = out->room / MAX(service, 1.0);
}

/* Learns from the first token of a dispatched ticket. */
void rt_learn_first(struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_ep *ep = ticket->ep;
	struct rt_pool *base = ticket->pool->base;
	struct rt_speed *speed = ticket->speed;
	double seen = (double)MAX(now_us - ticket->dispatch_us, 1);
	double fill, unit, ratio;

	ticket->first_us = now_us;
	ratio = seen / MAX((double)ticket->predicted_us, 1.0);
	ratio = CLAMP(ratio * ep->bias, BIAS_MIN, BIAS_MAX);
	/* A request that had to wait in the endpoint says nothing about the
	 * speed, only about the trust in the reported load. */
	if (ticket->load > ep->slots ||
	    (speed->n_first >= 4 && seen > 3.0 * ticket->first_pred_us)) {
		ep->bias += 0.1 * (ratio - ep->bias);
		if (speed->n_first >= 4 && ticket->load <= ep->slots) {
			/* Slower learning, so that a lasting slowdown is
			 * still learned. */
			speed->unit_us *= 1.05;
		}
		return;
	}
	ep->bias += 0.1 * (1.0 - ep->bias);
	fill = MIN(ticket->load / ep->slots, 1.0);
	unit = seen / (ticket->cost * (1.0 + fill));
	learn(&speed->unit_us, &speed->n_first, unit);
	if (base->n_first > 0) {
		double factor = unit / MAX(base->unit_us, 1e-3);

		factor = CLAMP(factor, 0.1, 10.0);
		ep->factor += 0.05 * (factor - ep->factor);
	}
	learn(&base->unit_us, &base->n_first, unit);
}

/* Learns from the successful end of a dispatched ticket. */
void rt_learn_done(struct rt_ticket *ticket, int64_t now_us)
{
	struct rt_ep *ep = ticket->ep;
	double whole = (double)MAX(now_us - ticket->dispatch_us, 1);
	double decode = 0;

	if (ticket->first_us)
		decode = (double)(now_us - ticket->first_us);
	learn(&ep->service_us, &ep->n_service, whole);
	learn(&ticket->speed->decode_us, &ticket->speed->n_decode, decode);
	learn(&ticket->pool->base->decode_us, &ticket->pool->base->n_decode,
	      decode);
}
