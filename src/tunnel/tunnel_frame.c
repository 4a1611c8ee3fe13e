/* Messages that begin a tunnel, and the blocks after them. */
#include "tunnel/tunnel_frame.h"

#include "wickbridge/log.h"

#include <arpa/inet.h>
#include <string.h>

/* More than either message takes, whose strings have 200 bytes at most. */
#define FRAME_MAX_BYTES 2048

void wb_tunnel_frame_send(wb_tcp_stream_t *stream, const wb_wire_message *message,
                          gboolean in_blocks) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    wb_wire_extensions extensions = {0};
    wb_wire_tunnel_form form = {TRUE};
    wb_error_t error;
    if (in_blocks)
        wb_extensions_add(&extensions, WB_WIRE_EXTENSION_TUNNEL, (xdrproc_t)xdr_wb_wire_tunnel_form,
                          &form);
    if (wb_message_encode_with_extensions(message, in_blocks ? &extensions : NULL, frame, &error) ==
        APR_SUCCESS)
        wb_tcp_stream_write(stream, frame->data, frame->len);
    else
        wb_log_warning(WB_LOG_LINK, "Tunnel message not sent: %s.", error.message);
    wb_extensions_clear(&extensions);
}

wb_tunnel_frame_t wb_tunnel_frame_read(const GByteArray *received, wb_wire_kind kind,
                                       wb_wire_message *message, gboolean *in_blocks) {
    uint32_t head;
    wb_error_t error;
    wb_wire_extensions extensions;
    wb_wire_tunnel_form form = {FALSE};
    if (received->len < sizeof(head))
        return WB_TUNNEL_FRAME_INCOMPLETE;
    memcpy(&head, received->data, sizeof(head));
    uint32_t length = ntohl(head);
    if (length > FRAME_MAX_BYTES || received->len > sizeof(head) + length)
        return WB_TUNNEL_FRAME_INVALID;
    if (received->len < sizeof(head) + length)
        return WB_TUNNEL_FRAME_INCOMPLETE;
    if (wb_message_decode_with_extensions(received->data + sizeof(head), length, message,
                                          &extensions, &error) != APR_SUCCESS)
        return WB_TUNNEL_FRAME_INVALID;
    *in_blocks = wb_extensions_read(&extensions, WB_WIRE_EXTENSION_TUNNEL,
                                    (xdrproc_t)xdr_wb_wire_tunnel_form, &form) &&
                 form.in_blocks;
    wb_extensions_clear(&extensions);
    gboolean is_counted_question =
        kind == WB_WIRE_TUNNEL_OPEN && message->kind == WB_WIRE_TUNNEL_OPEN_COUNTED;
    if (message->kind == kind || is_counted_question)
        return WB_TUNNEL_FRAME_COMPLETE;
    wb_message_clear(message);
    return WB_TUNNEL_FRAME_INVALID;
}

void wb_tunnel_block_send(wb_tcp_stream_t *stream, const char *data, size_t length) {
    uint32_t head = htonl((uint32_t)length);
    wb_tcp_stream_write(stream, &head, sizeof(head));
    if (length > 0)
        wb_tcp_stream_write(stream, data, length);
}

/* Reads the length of the next block. Returns the bytes used. */
static size_t block_begin(wb_tunnel_blocks_t *blocks, const char *data, size_t length) {
    size_t used = 0;
    uint32_t head;
    while (blocks->head_bytes < sizeof(blocks->head) && used < length)
        blocks->head[blocks->head_bytes++] = (guint8)data[used++];
    if (blocks->head_bytes == sizeof(blocks->head)) {
        memcpy(&head, blocks->head, sizeof(head));
        blocks->head_bytes = 0;
        blocks->left = ntohl(head);
        blocks->ended = head == 0;
    }
    return used;
}

void wb_tunnel_blocks_read(wb_tunnel_blocks_t *blocks, const char *data, size_t length,
                           GByteArray *content) {
    while (length > 0 && !blocks->ended) {
        size_t used = MIN(length, (size_t)blocks->left);
        if (used > 0) {
            g_byte_array_append(content, (const guint8 *)data, (guint)used);
            blocks->left -= (uint32_t)used;
        } else {
            used = block_begin(blocks, data, length);
        }
        data += used;
        length -= used;
    }
}
