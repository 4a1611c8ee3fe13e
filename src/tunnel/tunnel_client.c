/* Opens a tunnel through another node. */
#include "tunnel/tunnel_client.h"

#include "tunnel/tunnel_frame.h"

#include <string.h>

struct wb_tunnel_client_t {
    wb_tcp_stream_t *stream;
    wb_timer_t *timer;
    GByteArray *received;
    gboolean in_blocks; /* of the answer */
    gboolean is_counted;
    wb_wire_tunnel_open question; /* strings owned */
    wb_tunnel_done_fn on_done;
    void *context;
};

static void client_free(wb_tunnel_client_t *client) {
    if (client->timer != NULL)
        wb_timer_cancel(client->timer);
    g_byte_array_unref(client->received);
    xdr_free((xdrproc_t)xdr_wb_wire_tunnel_open, &client->question);
    g_free(client);
}

void wb_tunnel_cancel(wb_tunnel_client_t *client) {
    wb_tcp_stream_close(client->stream);
    client_free(client);
}

static void client_done(wb_tunnel_client_t *client, wb_tunnel_outcome_t outcome) {
    wb_tcp_stream_t *stream = client->stream;
    gboolean in_blocks = client->in_blocks;
    if (outcome != WB_TUNNEL_OPENED) {
        wb_tcp_stream_close(stream);
        stream = NULL;
    }
    client->on_done(client, outcome, stream, in_blocks, client->context);
    client_free(client);
}

static void timed_out(void *context) {
    wb_tunnel_client_t *client = context;
    client->timer = NULL;
    client_done(client, WB_TUNNEL_PEER_UNAVAILABLE);
}

static void stream_open(wb_tcp_stream_t *stream, void *context) {
    const wb_tunnel_client_t *client = context;
    wb_wire_message message = {.kind = client->is_counted ? WB_WIRE_TUNNEL_OPEN_COUNTED
                                                          : WB_WIRE_TUNNEL_OPEN};
    message.wb_wire_message_u.tunnel_open = client->question;
    wb_tunnel_frame_send(stream, &message, TRUE);
}

static wb_tunnel_outcome_t outcome_of(unsigned result) {
    switch (result) {
    case WB_WIRE_TUNNEL_CONNECTED:
        return WB_TUNNEL_OPENED;
    case WB_WIRE_TUNNEL_UNREACHABLE:
        return WB_TUNNEL_ENGINE_FAILED;
    case WB_WIRE_TUNNEL_REFUSED:
        return WB_TUNNEL_ENGINE_REFUSED;
    default: /* also results of later builds */
        return WB_TUNNEL_PEER_UNAVAILABLE;
    }
}

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    wb_tunnel_client_t *client = context;
    wb_wire_message message;
    g_byte_array_append(client->received, (const guint8 *)data, (guint)length);
    switch (wb_tunnel_frame_read(client->received, WB_WIRE_TUNNEL_ANSWER, &message,
                                 &client->in_blocks)) {
    case WB_TUNNEL_FRAME_INCOMPLETE:
        return;
    case WB_TUNNEL_FRAME_INVALID:
        client_done(client, WB_TUNNEL_PEER_UNAVAILABLE);
        return;
    default:
        client_done(client, outcome_of(message.wb_wire_message_u.tunnel_answer.result));
        wb_message_clear(&message);
    }
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    (void)how;
    client_done(context, WB_TUNNEL_PEER_UNAVAILABLE);
}

wb_tunnel_client_t *wb_tunnel_open(wb_loop_t *loop, const wb_tunnel_request_t *request,
                                   wb_tunnel_done_fn on_done, void *context) {
    static const wb_tcp_events_t events = {stream_open, stream_data, stream_end, NULL};
    wb_tunnel_client_t *client = g_new0(wb_tunnel_client_t, 1);
    wb_error_t error;
    if (wb_tcp_stream_connect(loop, request->peer_address, &request->connect, &events, client,
                              &client->stream, &error) != APR_SUCCESS) {
        g_free(client);
        return NULL;
    }
    client->received = g_byte_array_new();
    client->question = (wb_wire_tunnel_open){.node = strdup(request->node),
                                             .request = strndup(request->request, WB_WIRE_NAME_MAX),
                                             .engine = strdup(request->engine),
                                             .incarnation = strdup(request->incarnation),
                                             .address = strdup(request->engine_address)};
    client->is_counted = request->is_counted;
    client->on_done = on_done;
    client->context = context;
    client->timer = wb_loop_after(loop, request->connect.connect_timeout_ms, timed_out, client);
    return client;
}
