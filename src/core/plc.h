#ifndef CORE_PLC_H
#define CORE_PLC_H

#include <stdbool.h>
#include <stdint.h>

#include "core/st.h"

/*
 * Placement planner of the leader. Reads the replicated state and the demand,
 * returns orders to commit. No I/O; one thread.
 */
struct plc;

struct plc *plc_new(uint64_t seed);
void plc_free(struct plc *ctx);

/* Commands. */
void plc_add_demand(struct plc *ctx, const Dsp__Demand *demand, int64_t now_us);
/* Leader's own load table, for speeds and queues. */
void plc_update_load(struct plc *ctx, const Dsp__LoadReport *report,
		     int64_t now_us);
/*
 * Plans one round. Returns the number of OrderCreate commands that respect all
 * limits when they are applied in order; the caller frees each with
 * dsp__command__free_unpacked() and the array with g_free().
 */
size_t plc_round(struct plc *ctx, const struct st *state, int64_t now_us,
		 Dsp__Command ***out);

/* Queries. */
uint64_t plc_moves(const struct plc *ctx); /* orders planned since the start */

#endif
