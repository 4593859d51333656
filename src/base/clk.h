#ifndef BASE_CLK_H
#define BASE_CLK_H

#include <stdint.h>

/* Source of time: the system's clocks, or a manual clock for tests. */
struct clk;

struct clk *clk_new_real(void);
struct clk *clk_new_manual(int64_t start_us, int64_t wall_ms);
void clk_free(struct clk *ctx);

/* Queries. */
int64_t clk_now_us(const struct clk *ctx);
int64_t clk_wall_ms(const struct clk *ctx);

/* Commands; manual clocks only. */
void clk_advance(struct clk *ctx, int64_t us);

#endif
