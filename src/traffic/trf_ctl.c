#include "traffic/trf_int.h"

/*
 * Opens the HTTP port; ctl must outlive trf_stop(). Returns false with err set
 * when the port cannot be opened. This file is separate so that tests that call
 * trf_start_with() don't link the control thread.
 */
bool trf_start(struct trf *ctx, struct ctl *ctl, GError **err)
{
	static const struct trf_ctl_ops ops = {
		.submit = ctl_submit,
		.announce = ctl_announce,
		.demand = ctl_demand,
		.drain = ctl_drain,
		.replace = ctl_replace_replica,
		.ask_answer = ctl_ask_answer,
		.view = ctl_view,
		.state = ctl_state,
		.status_json = ctl_status_json,
	};

	return trf_start_with(ctx, &ops, ctl, err);
}
