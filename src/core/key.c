#include "core/key.h"

/*
 * Decides about a request when it is read, and before each sending. Where the
 * view may be too old to know, the refusal is temporary, so that a caller with
 * a new key tries again.
 */
enum key_verdict key_decide(const struct key_question *q)
{
	if (!q->keyed || (q->owned && q->leased))
		return KEY_SERVE;
	if (q->open)
		return KEY_SERVE_UNNAMED;
	if (!q->leased)
		return KEY_NO_LEASE;
	return q->isolated ? KEY_OLD_VIEW : KEY_UNKNOWN;
}

int key_status(enum key_verdict verdict)
{
	switch (verdict) {
	case KEY_UNKNOWN:
		return 401;
	case KEY_NO_LEASE:
	case KEY_OLD_VIEW:
		return 503;
	case KEY_SERVE:
	case KEY_SERVE_UNNAMED:
		break;
	}
	return 0;
}

const char *key_reason(enum key_verdict verdict)
{
	switch (verdict) {
	case KEY_UNKNOWN:
		return "unknown_key";
	case KEY_NO_LEASE:
		return "no_lease";
	case KEY_OLD_VIEW:
		return "no_key_in_old_view";
	case KEY_SERVE:
	case KEY_SERVE_UNNAMED:
		break;
	}
	return "-";
}
