/* Encodes and decodes messages between nodes. A frame is the length of its content in 4 bytes, in
 * network order, then the message in XDR, then the extensions in XDR if there are any. */
#include "wickbridge/message.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define FRAME_HEADER_BYTES 4
#define LAST_KNOWN_KIND WB_WIRE_TUNNEL_OPEN_COUNTED

/* Returns the encoded size in bytes, or 0 when something exceeds a limit of the protocol. */
static unsigned long encoded_size(wb_wire_message *message, wb_wire_extensions *extensions) {
    unsigned long size = xdr_sizeof((xdrproc_t)xdr_wb_wire_message, message);
    unsigned long extension_size =
        extensions != NULL ? xdr_sizeof((xdrproc_t)xdr_wb_wire_extensions, extensions) : 0;
    return size == 0 || (extensions != NULL && extension_size == 0) ? 0 : size + extension_size;
}

apr_status_t wb_message_encode_with_extensions(const wb_wire_message *message,
                                               const wb_wire_extensions *extensions,
                                               GByteArray *out, wb_error_t *error) {
    /* XDR doesn't modify its source while encoding, but its interface isn't const. */
    wb_wire_message *source = (wb_wire_message *)message;
    wb_wire_extensions *extension_source = (wb_wire_extensions *)extensions;
    unsigned long size = encoded_size(source, extension_source);
    if (size == 0 || size > WB_MESSAGE_MAX_BYTES)
        return wb_error_set(error, APR_EINVAL, "a %s message is invalid or too large (%lu bytes)",
                            wb_message_kind_name(message->kind), size);
    guint start = out->len;
    g_byte_array_set_size(out, (guint)(start + FRAME_HEADER_BYTES + size));
    uint32_t head = htonl((uint32_t)size);
    memcpy(out->data + start, &head, sizeof(head));
    XDR stream;
    xdrmem_create(&stream, (char *)out->data + start + FRAME_HEADER_BYTES, (u_int)size, XDR_ENCODE);
    bool_t valid = xdr_wb_wire_message(&stream, source) &&
                   (extension_source == NULL || xdr_wb_wire_extensions(&stream, extension_source));
    xdr_destroy(&stream);
    if (valid)
        return APR_SUCCESS;
    g_byte_array_set_size(out, start);
    return wb_error_set(error, APR_EINVAL, "a %s message exceeds a limit of the protocol",
                        wb_message_kind_name(message->kind));
}

apr_status_t wb_message_encode(const wb_wire_message *message, GByteArray *out, wb_error_t *error) {
    return wb_message_encode_with_extensions(message, NULL, out, error);
}

apr_status_t wb_message_decode_with_extensions(const void *data, size_t length,
                                               wb_wire_message *message,
                                               wb_wire_extensions *extensions, wb_error_t *error) {
    memset(message, 0, sizeof(*message));
    memset(extensions, 0, sizeof(*extensions));
    XDR stream;
    xdrmem_create(&stream, (char *)data, (u_int)length, XDR_DECODE);
    bool_t valid = xdr_wb_wire_message(&stream, message);
    if (valid && xdr_getpos(&stream) < length)
        valid = xdr_wb_wire_extensions(&stream, extensions);
    u_int used = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (valid && used == length)
        return APR_SUCCESS;
    wb_message_clear(message);
    wb_extensions_clear(extensions);
    return wb_error_set(error, APR_EINVAL, "%zu bytes are not a valid message", length);
}

apr_status_t wb_message_decode(const void *data, size_t length, wb_wire_message *message,
                               wb_error_t *error) {
    wb_wire_extensions extensions;
    apr_status_t status =
        wb_message_decode_with_extensions(data, length, message, &extensions, error);
    if (status == APR_SUCCESS)
        wb_extensions_clear(&extensions);
    return status;
}

gboolean wb_message_is_unknown(const void *data, size_t length) {
    uint32_t kind;
    if (length < sizeof(kind))
        return FALSE;
    memcpy(&kind, data, sizeof(kind));
    return ntohl(kind) > LAST_KNOWN_KIND;
}

void wb_extensions_clear(wb_wire_extensions *extensions) {
    xdr_free((xdrproc_t)xdr_wb_wire_extensions, extensions);
    memset(extensions, 0, sizeof(*extensions));
}

const wb_wire_extension *wb_extensions_find(const wb_wire_extensions *extensions,
                                            wb_wire_extension_kind kind) {
    for (u_int i = 0; i < extensions->parts.parts_len; i++) {
        if (extensions->parts.parts_val[i].kind == (u_int)kind)
            return &extensions->parts.parts_val[i];
    }
    return NULL;
}

gboolean wb_extensions_add(wb_wire_extensions *extensions, wb_wire_extension_kind kind,
                           xdrproc_t encode, void *value) {
    u_int size = (u_int)xdr_sizeof(encode, value);
    char *bytes = malloc(MAX(size, 1));
    XDR stream;
    xdrmem_create(&stream, bytes, size, XDR_ENCODE);
    bool_t valid = size > 0 && encode(&stream, value);
    xdr_destroy(&stream);
    if (!valid) {
        free(bytes);
        return FALSE;
    }
    u_int count = extensions->parts.parts_len++;
    extensions->parts.parts_val =
        realloc(extensions->parts.parts_val, (count + 1) * sizeof(wb_wire_extension));
    extensions->parts.parts_val[count] =
        (wb_wire_extension){.kind = (u_int)kind, .value = {size, bytes}};
    return TRUE;
}

gboolean wb_extensions_read(const wb_wire_extensions *extensions, wb_wire_extension_kind kind,
                            xdrproc_t decode, void *value) {
    const wb_wire_extension *extension = wb_extensions_find(extensions, kind);
    if (extension == NULL)
        return FALSE;
    XDR stream;
    xdrmem_create(&stream, extension->value.value_val, extension->value.value_len, XDR_DECODE);
    bool_t valid = decode(&stream, value); /* ignores bytes that a later version has appended */
    xdr_destroy(&stream);
    return valid;
}

void wb_message_clear(wb_wire_message *message) {
    xdr_free((xdrproc_t)xdr_wb_wire_message, message);
    memset(message, 0, sizeof(*message));
}

const char *wb_message_kind_name(wb_wire_kind kind) {
    static const char *const names[] = {
        "none",          "hello",           "heartbeat",     "gossip",
        "sync",          "config-fetch",    "config-change", "group-state",
        "group-append",  "group-ack",       "group-vote",    "group-ballot",
        "route-want",    "route-show",      "claim-want",    "claim-show",
        "claim-done",    "group-hand-over", "demand",        "placement",
        "store-news",    "load-plan",       "quota",         "poison",
        "engine-loads",  "engines-want",    "engines-show",  "engine-states",
        "catalog-fetch", "catalog-answer",  "tunnel-open",   "tunnel-answer",
        "stream-starts", "stream-query",    "stream-answer", "tunnel-open-counted"};
    return (unsigned)kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}
