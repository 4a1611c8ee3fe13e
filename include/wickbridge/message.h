/**
 * @file message.h
 * @brief Encoding and decoding of messages between nodes: XDR (src/protocol/messages.x, rpcgen).
 *
 * A message may be followed by extensions (wb_wire_extensions), which readers of format version 1
 * don't know. Lengths are checked against the bounds in messages.x; violations return APR_EINVAL
 * with a message. Sizes are in bytes. The functions keep no state.
 */
#ifndef WICKBRIDGE_MESSAGE_H
#define WICKBRIDGE_MESSAGE_H

#include "wickbridge/error.h"

#include "protocol/generated/messages.h"

#include <glib.h>

/** Max size of an encoded message; a longer one closes its link. */
#define WB_MESSAGE_MAX_BYTES (32 * 1024 * 1024)

/** Append a frame (length, then XDR) to `out`. */
apr_status_t wb_message_encode(const wb_wire_message *message, GByteArray *out, wb_error_t *error);

/** Decode the XDR of one message; free it with wb_message_clear. @return APR_EINVAL if malformed */
apr_status_t wb_message_decode(const void *data, size_t length, wb_wire_message *message,
                               wb_error_t *error);

/** Like wb_message_encode, followed by extensions, for readers of format version 2 or later.
 * @param parts may be NULL: none */
apr_status_t wb_message_encode_with_extensions(const wb_wire_message *message,
                                               const wb_wire_extensions *parts, GByteArray *out,
                                               wb_error_t *error);
/** Like wb_message_decode; the bytes after the message are decoded as extensions. @param parts free
 * it with wb_extensions_clear */
apr_status_t wb_message_decode_with_extensions(const void *data, size_t length, wb_wire_message *message,
                                     wb_wire_extensions *parts, wb_error_t *error);
/** @return TRUE if the bytes begin with a message kind that this build doesn't know. A newer build
 * sent it, and it must be ignored. */
gboolean wb_message_is_unknown(const void *data, size_t length);

/** Free decoded or added extensions. */
void wb_extensions_clear(wb_wire_extensions *parts);
/** @return the extension of a kind, or NULL; owned by `parts` */
const wb_wire_extension *wb_extensions_find(const wb_wire_extensions *parts,
                                       wb_wire_extension_kind kind);
/** Append an extension. @param encode XDR routine of `value` @return FALSE if `value` exceeds its
 * bounds */
gboolean wb_extensions_add(wb_wire_extensions *parts, wb_wire_extension_kind kind, xdrproc_t encode,
                           void *value);
/** Decode an extension. @param value must be zeroed; free it with xdr_free @return FALSE if there
 * is no such extension or it is malformed */
gboolean wb_extensions_read(const wb_wire_extensions *parts, wb_wire_extension_kind kind,
                            xdrproc_t decode, void *value);

/** Free what wb_message_decode allocated. */
void wb_message_clear(wb_wire_message *message);

/** @return a kind's name for logs and metrics */
const char *wb_message_kind_name(wb_wire_kind kind);

#endif
