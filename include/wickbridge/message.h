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

/** As wb_message_encode, with parts behind the message, for readers of form 2 or later.
 * @param parts may be NULL: none */
apr_status_t wb_message_encode_with_extensions(const wb_wire_message *message, const wb_wire_extensions *parts,
                                     GByteArray *out, wb_error_t *error);
/** As wb_message_decode; what follows the message is read as parts. @param parts to be cleared with
 * wb_extensions_clear */
apr_status_t wb_message_decode_with_extensions(const void *data, size_t length, wb_wire_message *message,
                                     wb_wire_extensions *parts, wb_error_t *error);
/** @return TRUE when bytes begin as a message of a kind that this build doesn't know: a later one
 * sends it, and it is to be passed over */
gboolean wb_message_is_unknown(const void *data, size_t length);

void wb_extensions_clear(wb_wire_extensions *parts);
/** @return the part of a kind, or NULL; owned by `parts` */
const wb_wire_extension *wb_extensions_find(const wb_wire_extensions *parts, wb_wire_extension_kind kind);
/** Append a part. @param encode XDR routine of what it holds @return FALSE when that breaks its
 * bounds */
gboolean wb_extensions_add(wb_wire_extensions *parts, wb_wire_extension_kind kind, xdrproc_t encode, void *value);
/** Read what a part holds. @param value zeroed; to be freed with xdr_free @return FALSE when there
 * is no such part or it is malformed */
gboolean wb_extensions_read(const wb_wire_extensions *parts, wb_wire_extension_kind kind, xdrproc_t decode,
                       void *value);

/** Free what wb_message_decode allocated. */
void wb_message_clear(wb_wire_message *message);

/** @return a kind's name for logs and metrics */
const char *wb_message_kind_name(wb_wire_kind kind);

#endif
