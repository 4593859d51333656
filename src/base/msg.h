#ifndef BASE_MSG_H
#define BASE_MSG_H

/* Returns a deep copy of a protobuf message, freed with its free_unpacked
 * function. */
void *msg_dup(const void *message);

#endif
