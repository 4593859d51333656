#include "base/msg.h"

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* Returns a deep copy of a protobuf message; freed with the free_unpacked
 * function of its type. */
void *msg_dup(const void *message)
{
	const ProtobufCMessage *msg = message;
	size_t len = protobuf_c_message_get_packed_size(msg);
	uint8_t *data = g_malloc(len + 1);
	void *copy;

	protobuf_c_message_pack(msg, data);
	copy = protobuf_c_message_unpack(msg->descriptor, NULL, len, data);
	g_free(data);
	g_assert(copy);
	return copy;
}
