/**
 * @file tunnel_frame.h
 * @brief The two messages that begin a tunnel, on a connection of its own: the question to a node
 * to connect to an engine, and its answer; then the blocks in which the engine's bytes follow.
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

/** Send a message. Lengths of its strings are bounded by the sender.
 * @param in_blocks send it with the extension for blocks */
void wb_tunnel_frame_send(wb_tcp_stream_t *stream, const wb_wire_message *message,
                          gboolean in_blocks);
/**
 * Read the only message that the peer sends.
 * @param received all bytes so far
 * @param message  out, if complete; free it with wb_message_clear
 * @param in_blocks out, if complete: it has the extension for blocks
 */
wb_tunnel_frame_t wb_tunnel_frame_read(const GByteArray *received, wb_wire_kind kind,
                                       wb_wire_message *message, gboolean *in_blocks);

/** Send a block. @param length 0: the engine closed its connection normally */
void wb_tunnel_block_send(wb_tcp_stream_t *stream, const char *data, size_t length);

/** Reader of blocks; zeroed at the start. */
typedef struct wb_tunnel_blocks_t {
    guint8 head[4];
    guint head_bytes; /**< of a length that isn't complete */
    uint32_t left;    /**< bytes of the current block that are to come */
    gboolean ended;   /**< the engine closed its connection normally */
} wb_tunnel_blocks_t;

/** Append the content of blocks to `content`. Bytes after the end are dropped. */
void wb_tunnel_blocks_read(wb_tunnel_blocks_t *blocks, const char *data, size_t length,
                           GByteArray *content);

#endif
