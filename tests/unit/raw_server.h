/**
 * @file raw_server.h
 * @brief A server that sends given bytes for each read, and closes: also what is no whole response.
 */
#ifndef WICKBRIDGE_RAW_SERVER_H
#define WICKBRIDGE_RAW_SERVER_H

#include "wickbridge/tcp_stream.h"

#include <glib.h>

#define RAW_SILENCE_LIMIT_MS 20000

typedef struct raw_server_t {
    wb_tcp_listener_t *listener;
    const char *text;
    size_t text_bytes; /* of the text, that are sent */
} raw_server_t;

static inline void raw_server_data(wb_tcp_stream_t *stream, const char *data, size_t length,
                                   void *context) {
    const raw_server_t *server = context;
    (void)data;
    (void)length;
    wb_tcp_stream_write(stream, server->text, server->text_bytes);
    wb_tcp_stream_finish(stream);
}

static inline void raw_server_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)how;
    (void)context;
    wb_tcp_stream_close(stream);
}

static inline void raw_server_accepted(wb_tcp_stream_t *stream, void *context) {
    static const wb_tcp_events_t events = {NULL, raw_server_data, raw_server_end, NULL};
    wb_tcp_stream_set_events(stream, &events, context);
}

/** Listen on a free port. @return the address; free it with g_free */
static inline char *raw_server_open(raw_server_t *server, wb_loop_t *loop) {
    wb_error_t error;
    g_assert_cmpint(wb_tcp_listen(loop, "127.0.0.1:0", RAW_SILENCE_LIMIT_MS, raw_server_accepted,
                                  server, &server->listener, &error),
                    ==, APR_SUCCESS);
    return g_strdup_printf("127.0.0.1:%u", wb_tcp_listener_port(server->listener));
}

#endif
