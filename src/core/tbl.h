#ifndef CORE_TBL_H
#define CORE_TBL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.pb-c.h"

/*
 * Version of the route table (tbl): immutable and reference-counted. A version
 * shares the routes that it has in common with the one before, and knows the
 * changes that lead to it from the last few versions. No I/O.
 */
struct tbl;

#define TBL_ERROR tbl_error_quark()
GQuark tbl_error_quark(void);

enum tbl_error {
	TBL_ERROR_BASE,	  /* the changes are for another version */
	TBL_ERROR_FORM,	  /* malformed */
	TBL_ERROR_DIGEST, /* the result is not the table that was meant */
};

/* base NULL: no version before. The source of the table is not kept. */
struct tbl *tbl_new(struct tbl *base, const Dsp__RouteTable *table);
struct tbl *tbl_apply(struct tbl *base, const Dsp__RouteTableSteps *steps,
		      GError **err);
Dsp__RouteTableChange *tbl_change(const struct tbl *base,
				  const Dsp__RouteTable *table);
struct tbl *tbl_ref(struct tbl *ctx);
void tbl_unref(struct tbl *ctx);

/* Queries; results are valid as long as the reference. */
Dsp__RouteTable *tbl_table(const struct tbl *ctx);
Dsp__RouteTableSteps *tbl_since(const struct tbl *ctx, uint64_t index);
size_t tbl_n_copied(const struct tbl *ctx);

#endif
