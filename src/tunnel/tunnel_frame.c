/* Messages that begin a tunnel. */
#include "tunnel/tunnel_frame.h"

#include "wickbridge/log.h"

#include <arpa/inet.h>
#include <string.h>

/* More than either message takes, whose strings have 200 bytes at most. */
#define FRAME_MAX_BYTES 2048

void wb_tunnel_frame_send(wb_tcp_stream_t *stream, const wb_wire_message *message) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    wb_error_t error;
    if (wb_message_encode(message, frame, &error) != APR_SUCCESS) {
        wb_log_warning(WB_LOG_LINK, "Tunnel message not sent: %s.", error.message);
        return;
    }
    wb_tcp_stream_write(stream, frame->data, frame->len);
}

wb_tunnel_frame_t wb_tunnel_frame_read(const GByteArray *received, wb_wire_kind kind,
                                       wb_wire_message *message) {
    uint32_t head;
    wb_error_t error;
    if (received->len < sizeof(head))
        return WB_TUNNEL_FRAME_INCOMPLETE;
    memcpy(&head, received->data, sizeof(head));
    uint32_t length = ntohl(head);
    if (length > FRAME_MAX_BYTES || received->len > sizeof(head) + length)
        return WB_TUNNEL_FRAME_INVALID;
    if (received->len < sizeof(head) + length)
        return WB_TUNNEL_FRAME_INCOMPLETE;
    if (wb_message_decode(received->data + sizeof(head), length, message, &error) != APR_SUCCESS)
        return WB_TUNNEL_FRAME_INVALID;
    if (message->kind == kind)
        return WB_TUNNEL_FRAME_COMPLETE;
    wb_message_clear(message);
    return WB_TUNNEL_FRAME_INVALID;
}
