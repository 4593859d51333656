#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <glib.h>

#include "conf/set.h"

/* path: the settings' file, read again when it changes. Runs one instance until
 * SIGTERM or SIGINT, then drains and stops it. Returns 0, or 1 with err set
 * when it could not start. */
int node_run(const struct set *settings, const char *path, GError **err);

#endif
