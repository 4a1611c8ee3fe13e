/**
 * @file tunnel_frame.h
 * @brief The two messages that begin a tunnel, on a connection of its own: the question to a node
 * to connect to an engine, and its answer.
 *
 * Loop thread only.
 */
#ifndef WICKBRIDGE_TUNNEL_FRAME_H
#define WICKBRIDGE_TUNNEL_FRAME_H

#include "wickbridge/message.h"
#include "wickbridge/tcp_stream.h"

/** What the received bytes are. */
typedef enum wb_tunnel_frame_t {
    WB_TUNNEL_FRAME_INCOMPLETE,
    WB_TUNNEL_FRAME_COMPLETE, /**< a message of the expected kind, and no more bytes */
    WB_TUNNEL_FRAME_INVALID
} wb_tunnel_frame_t;

/** Send a message. Lengths of its strings are bounded by the sender. */
void wb_tunnel_frame_send(wb_tcp_stream_t *stream, const wb_wire_message *message);
/**
 * Read the only message that the peer sends.
 * @param received all bytes so far
 * @param message  out, if complete; free it with wb_message_clear
 */
wb_tunnel_frame_t wb_tunnel_frame_read(const GByteArray *received, wb_wire_kind kind,
                                       wb_wire_message *message);

#endif
