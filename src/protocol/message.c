/* Turns messages between nodes into framed XDR and back. */
#include "wickbridge/message.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define FRAME_HEAD_BYTES 4
#define NEWEST_KIND WB_WIRE_ENGINE_STATES

static unsigned long sizeof_all(wb_wire_message *message, wb_wire_extensions *parts) {
    unsigned long size = xdr_sizeof((xdrproc_t)xdr_wb_wire_message, message);
    unsigned long more = parts != NULL ? xdr_sizeof((xdrproc_t)xdr_wb_wire_extensions, parts) : 0;
    return size == 0 || (parts != NULL && more == 0) ? 0 : size + more;
}

apr_status_t wb_message_encode_with_extensions(const wb_wire_message *message,
                                               const wb_wire_extensions *parts, GByteArray *out,
                                               wb_error_t *error) {
    /* XDR only reads from its source while encoding, but its interface isn't const. */
    wb_wire_message *source = (wb_wire_message *)message;
    wb_wire_extensions *more = (wb_wire_extensions *)parts;
    unsigned long size = sizeof_all(source, more);
    if (size == 0 || size > WB_MESSAGE_MAX_BYTES)
        return wb_error_set(error, APR_EINVAL, "a %s message of %lu bytes can't be sent",
                            wb_message_kind_name(message->kind), size);
    guint start = out->len;
    g_byte_array_set_size(out, (guint)(start + FRAME_HEAD_BYTES + size));
    uint32_t head = htonl((uint32_t)size);
    memcpy(out->data + start, &head, sizeof(head));
    XDR stream;
    xdrmem_create(&stream, (char *)out->data + start + FRAME_HEAD_BYTES, (u_int)size, XDR_ENCODE);
    bool_t whole = xdr_wb_wire_message(&stream, source) &&
                   (more == NULL || xdr_wb_wire_extensions(&stream, more));
    xdr_destroy(&stream);
    if (whole)
        return APR_SUCCESS;
    g_byte_array_set_size(out, start);
    return wb_error_set(error, APR_EINVAL, "a %s message breaks its bounds",
                        wb_message_kind_name(message->kind));
}

apr_status_t wb_message_encode(const wb_wire_message *message, GByteArray *out, wb_error_t *error) {
    return wb_message_encode_with_extensions(message, NULL, out, error);
}

apr_status_t wb_message_decode_with_extensions(const void *data, size_t length, wb_wire_message *message,
                                     wb_wire_extensions *parts, wb_error_t *error) {
    memset(message, 0, sizeof(*message));
    memset(parts, 0, sizeof(*parts));
    XDR stream;
    xdrmem_create(&stream, (char *)data, (u_int)length, XDR_DECODE);
    bool_t whole = xdr_wb_wire_message(&stream, message);
    if (whole && xdr_getpos(&stream) < length)
        whole = xdr_wb_wire_extensions(&stream, parts);
    u_int used = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (whole && used == length)
        return APR_SUCCESS;
    wb_message_clear(message);
    wb_extensions_clear(parts);
    return wb_error_set(error, APR_EINVAL, "%zu bytes are not a message", length);
}

apr_status_t wb_message_decode(const void *data, size_t length, wb_wire_message *message,
                               wb_error_t *error) {
    wb_wire_extensions parts;
    apr_status_t status = wb_message_decode_with_extensions(data, length, message, &parts, error);
    if (status == APR_SUCCESS)
        wb_extensions_clear(&parts);
    return status;
}

gboolean wb_message_is_unknown(const void *data, size_t length) {
    uint32_t kind;
    if (length < sizeof(kind))
        return FALSE;
    memcpy(&kind, data, sizeof(kind));
    return ntohl(kind) > NEWEST_KIND;
}

void wb_extensions_clear(wb_wire_extensions *parts) {
    xdr_free((xdrproc_t)xdr_wb_wire_extensions, parts);
    memset(parts, 0, sizeof(*parts));
}

const wb_wire_extension *wb_extensions_find(const wb_wire_extensions *parts,
                                       wb_wire_extension_kind kind) {
    for (u_int i = 0; i < parts->parts.parts_len; i++) {
        if (parts->parts.parts_val[i].kind == (u_int)kind)
            return &parts->parts.parts_val[i];
    }
    return NULL;
}

gboolean wb_extensions_add(wb_wire_extensions *parts, wb_wire_extension_kind kind, xdrproc_t encode,
                           void *value) {
    u_int size = (u_int)xdr_sizeof(encode, value);
    char *bytes = malloc(MAX(size, 1));
    XDR stream;
    xdrmem_create(&stream, bytes, size, XDR_ENCODE);
    bool_t whole = size > 0 && encode(&stream, value);
    xdr_destroy(&stream);
    if (!whole) {
        free(bytes);
        return FALSE;
    }
    u_int count = parts->parts.parts_len++;
    parts->parts.parts_val =
        realloc(parts->parts.parts_val, (count + 1) * sizeof(wb_wire_extension));
    parts->parts.parts_val[count] =
        (wb_wire_extension){.kind = (u_int)kind, .value = {size, bytes}};
    return TRUE;
}

gboolean wb_extensions_read(const wb_wire_extensions *parts, wb_wire_extension_kind kind,
                            xdrproc_t decode, void *value) {
    const wb_wire_extension *part = wb_extensions_find(parts, kind);
    if (part == NULL)
        return FALSE;
    XDR stream;
    xdrmem_create(&stream, part->value.value_val, part->value.value_len, XDR_DECODE);
    bool_t whole = decode(&stream, value); /* a later build may have added to its end */
    xdr_destroy(&stream);
    return whole;
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
        "store-news",   "load-plan",     "quota",           "poison",       "engine-loads",
        "engines-want", "engines-show",  "engine-states"};
    return (unsigned)kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}
