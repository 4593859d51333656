#ifndef BASE_MSG_H
#define BASE_MSG_H

/* Helpers for protobuf messages of any type. */

void *msg_dup(const void *message);

#endif
