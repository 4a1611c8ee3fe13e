/* Turns messages between nodes into framed XDR and back. */
#include "wickbridge/message.h"

#include <arpa/inet.h>
#include <string.h>

#define FRAME_HEAD_BYTES 4

apr_status_t wb_message_encode(const wb_wire_message *message, GByteArray *out, wb_error_t *error) {
    /* XDR only reads from the message while encoding, but its interface isn't const. */
    wb_wire_message *source = (wb_wire_message *)message;
    unsigned long size = xdr_sizeof((xdrproc_t)xdr_wb_wire_message, source);
    if (size == 0 || size > WB_MESSAGE_MAX_BYTES)
        return wb_error_set(error, APR_EINVAL, "a %s message of %lu bytes can't be sent",
                            wb_message_kind_name(message->kind), size);
    guint start = out->len;
    g_byte_array_set_size(out, (guint)(start + FRAME_HEAD_BYTES + size));
    uint32_t head = htonl((uint32_t)size);
    memcpy(out->data + start, &head, sizeof(head));
    XDR stream;
    xdrmem_create(&stream, (char *)out->data + start + FRAME_HEAD_BYTES, (u_int)size, XDR_ENCODE);
    bool_t whole = xdr_wb_wire_message(&stream, source);
    xdr_destroy(&stream);
    if (whole)
        return APR_SUCCESS;
    g_byte_array_set_size(out, start);
    return wb_error_set(error, APR_EINVAL, "a %s message breaks its bounds",
                        wb_message_kind_name(message->kind));
}

apr_status_t wb_message_decode(const void *data, size_t length, wb_wire_message *message,
                               wb_error_t *error) {
    memset(message, 0, sizeof(*message));
    XDR stream;
    xdrmem_create(&stream, (char *)data, (u_int)length, XDR_DECODE);
    bool_t whole = xdr_wb_wire_message(&stream, message);
    u_int used = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (whole && used == length)
        return APR_SUCCESS;
    wb_message_clear(message);
    return wb_error_set(error, APR_EINVAL, "%zu bytes are not a message", length);
}

void wb_message_clear(wb_wire_message *message) {
    xdr_free((xdrproc_t)xdr_wb_wire_message, message);
    memset(message, 0, sizeof(*message));
}

const char *wb_message_kind_name(wb_wire_kind kind) {
    static const char *const names[] = {
        "none",         "hello",         "heartbeat",       "gossip",       "sync",
        "config-fetch", "config-change", "group-state",     "group-append", "group-ack",
        "group-vote",   "group-ballot",  "route-want",      "route-show",   "claim-want",
        "claim-show",   "claim-done",    "group-hand-over", "demand",       "placement",
        "store-news",   "load-plan",     "quota",           "poison",       "engine-loads"};
    return (unsigned)kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}
