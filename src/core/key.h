#ifndef CORE_KEY_H
#define CORE_KEY_H

#include <stdbool.h>

/* Keys of requests (key): decides whether a request may be served, by its key
 * and by how far the view may be relied on. No I/O. */

struct key_question {
	bool keyed;    /* the table has customers */
	bool open;     /* the route needs no key */
	bool owned;    /* the table has an owner for the request's key */
	bool leased;   /* no key of the view was taken away for too long */
	bool isolated; /* the view may lack keys that were added */
};

enum key_verdict {
	KEY_SERVE,	   /* in the name of its owner, if it has one */
	KEY_SERVE_UNNAMED, /* open route, no valid key */
	KEY_NO_LEASE,
	KEY_OLD_VIEW,
	KEY_UNKNOWN,
};

enum key_verdict key_decide(const struct key_question *q);
/* HTTP status and reason of a refusal. */
int key_status(enum key_verdict verdict);
const char *key_reason(enum key_verdict verdict);

#endif
