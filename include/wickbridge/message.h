/**
 * @file message.h
 * @brief Messages between nodes as bytes: XDR made by rpcgen, checked against its bounds.
 */
#ifndef WICKBRIDGE_MESSAGE_H
#define WICKBRIDGE_MESSAGE_H

#include "wickbridge/error.h"

#include "protocol/generated/messages.h"

#include <glib.h>

/** Largest message in bytes; a longer one ends its link. */
#define WB_MESSAGE_MAX_BYTES (32 * 1024 * 1024)

/** Append a frame (length, then XDR) to `out`. */
apr_status_t wb_message_encode(const wb_wire_message *message, GByteArray *out, wb_error_t *error);

/** Read one message's XDR. @return APR_EINVAL for bytes that are no message */
apr_status_t wb_message_decode(const void *data, size_t length, wb_wire_message *message,
                               wb_error_t *error);

/** Free what wb_message_decode allocated. */
void wb_message_clear(wb_wire_message *message);

/** @return a kind's name for logs and metrics */
const char *wb_message_kind_name(wb_wire_kind kind);

#endif
