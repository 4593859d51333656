#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <glib.h>

#include "conf/set.h"

/* The process of one instance, from start to stop. */

int node_run(const struct set *settings, const char *path, GError **err);

#endif
