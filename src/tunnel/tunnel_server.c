/* Connects to engines for other nodes. */
#include "tunnel/tunnel_server.h"

#include "tunnel/tunnel_frame.h"

#include "wickbridge/event_log.h"

#include <string.h>

/* Unsent bytes for one side at which reading from the other stops. */
#define UNSENT_MAX_BYTES (64 * 1024)
/* Time for the asking node to send its question. */
#define QUESTION_TIMEOUT_MS 1000

struct wb_tunnel_server_t {
    wb_loop_t *loop;
    wb_tunnel_server_options_t options;
    wb_tcp_listener_t *listener;
    GHashTable *tunnels;          /* set of wb_tunnel_t */
    wb_tcp_finishing_t finishing; /* streams to nodes of ended tunnels */
    gboolean draining;
};

typedef struct wb_tunnel_t {
    wb_tunnel_server_t *server;
    wb_tcp_stream_t *node;   /* to the asking node */
    wb_tcp_stream_t *engine; /* NULL: not connecting yet */
    wb_timer_t *timer;       /* until the question has arrived */
    GByteArray *received;    /* of the question; NULL once it has arrived */
    gboolean open;
    gboolean in_blocks; /* the asking node reads blocks */
    char *asking;
    char *request;
    char *engine_id;
    int64_t began_ms;
    int64_t bytes; /* passed, in both directions */
} wb_tunnel_t;

static void tunnel_free(wb_tunnel_t *tunnel) {
    g_hash_table_remove(tunnel->server->tunnels, tunnel);
    if (tunnel->timer != NULL)
        wb_timer_cancel(tunnel->timer);
    if (tunnel->received != NULL)
        g_byte_array_unref(tunnel->received);
    g_free(tunnel->asking);
    g_free(tunnel->request);
    g_free(tunnel->engine_id);
    g_free(tunnel);
}

static void engine_side_close(wb_tunnel_t *tunnel) {
    if (tunnel->engine != NULL)
        wb_tcp_stream_close(tunnel->engine);
    tunnel->engine = NULL;
}

static void closed_log(const wb_tunnel_t *tunnel, const char *by) {
    if (tunnel->open)
        wb_event("tunnel-closed",
                 ",\"id\":\"%s\",\"for\":\"%s\",\"engine\":\"%s\",\"by\":\"%s\",\"bytes\":%lld,"
                 "\"ms\":%lld",
                 tunnel->request, tunnel->asking, tunnel->engine_id, by, (long long)tunnel->bytes,
                 (long long)(wb_clock_ms() - tunnel->began_ms));
}

/* Sends an answer other than that the tunnel is open, and ends it. */
static void tunnel_refuse(wb_tunnel_t *tunnel, wb_wire_tunnel_result result) {
    wb_wire_message message = {.kind = WB_WIRE_TUNNEL_ANSWER};
    message.wb_wire_message_u.tunnel_answer.result = (u_int)result;
    tunnel->server->options.metrics->tunnels_refused++;
    wb_event("tunnel-refused", ",\"id\":\"%s\",\"for\":\"%s\",\"engine\":\"%s\",\"result\":%d",
             tunnel->request, tunnel->asking, tunnel->engine_id, (int)result);
    engine_side_close(tunnel);
    wb_tunnel_frame_send(tunnel->node, &message, tunnel->in_blocks);
    wb_tcp_stream_finish_listed(tunnel->node, &tunnel->server->finishing);
    tunnel_free(tunnel);
}

/* Counts passed bytes, and stops reading from a side while the other doesn't take them. */
static void bytes_passed(wb_tunnel_t *tunnel, wb_tcp_stream_t *from, wb_tcp_stream_t *to,
                         size_t length) {
    tunnel->bytes += (int64_t)length;
    tunnel->server->options.metrics->tunnel_bytes += length;
    if (wb_tcp_stream_unsent(to) > UNSENT_MAX_BYTES)
        wb_tcp_stream_set_reading(from, FALSE);
}

/* The engine's side. */

static void engine_open(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_tunnel_t *tunnel = context;
    const wb_tunnel_server_options_t *options = &tunnel->server->options;
    wb_wire_message message = {.kind = WB_WIRE_TUNNEL_ANSWER};
    message.wb_wire_message_u.tunnel_answer.result = WB_WIRE_TUNNEL_CONNECTED;
    if (options->on_result != NULL)
        options->on_result(tunnel->engine_id, TRUE, options->context);
    tunnel->open = TRUE;
    options->metrics->tunnels_served++;
    options->metrics->connections_opened++;
    wb_event("tunnel-open", ",\"id\":\"%s\",\"for\":\"%s\",\"engine\":\"%s\",\"ms\":%lld",
             tunnel->request, tunnel->asking, tunnel->engine_id,
             (long long)(wb_clock_ms() - tunnel->began_ms));
    wb_tunnel_frame_send(tunnel->node, &message, tunnel->in_blocks);
}

static void engine_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    wb_tunnel_t *tunnel = context;
    if (tunnel->in_blocks)
        wb_tunnel_block_send(tunnel->node, data, length);
    else
        wb_tcp_stream_write(tunnel->node, data, length);
    bytes_passed(tunnel, stream, tunnel->node, length);
}

static void engine_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_tunnel_t *tunnel = context;
    const wb_tunnel_server_options_t *options = &tunnel->server->options;
    if (!tunnel->open) {
        if (options->on_result != NULL)
            options->on_result(tunnel->engine_id, FALSE, options->context);
        gboolean in_doubt =
            options->may_be_cut_off != NULL && options->may_be_cut_off(options->context);
        tunnel_refuse(tunnel, how == WB_TCP_END_REFUSED && !in_doubt ? WB_WIRE_TUNNEL_REFUSED
                                                                     : WB_WIRE_TUNNEL_UNREACHABLE);
        return;
    }
    engine_side_close(tunnel);
    closed_log(tunnel, how == WB_TCP_END_CLOSED ? "engine" : "engine-reset");
    if (how == WB_TCP_END_CLOSED && tunnel->in_blocks)
        wb_tunnel_block_send(tunnel->node, NULL, 0);
    if (how == WB_TCP_END_CLOSED)
        wb_tcp_stream_finish_listed(tunnel->node, &tunnel->server->finishing);
    else
        wb_tcp_stream_reset(tunnel->node);
    tunnel_free(tunnel);
}

static void engine_drained(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_tcp_stream_set_reading(((wb_tunnel_t *)context)->node, TRUE);
}

/* The asking node's side. */

/* Keeps the question's names, for logs. */
static void question_keep(wb_tunnel_t *tunnel, const wb_wire_tunnel_open *question) {
    g_free(tunnel->asking);
    g_free(tunnel->request);
    g_free(tunnel->engine_id);
    tunnel->asking = g_strdup(question->node);
    tunnel->request = g_strdup(question->request);
    tunnel->engine_id = g_strdup(question->engine);
}

static void question_take(wb_tunnel_t *tunnel, const wb_wire_message *message) {
    const wb_wire_tunnel_open *question = &message->wb_wire_message_u.tunnel_open;
    gboolean is_counted = message->kind == WB_WIRE_TUNNEL_OPEN_COUNTED;
    static const wb_tcp_events_t events = {engine_open, engine_data, engine_end, engine_drained};
    wb_tunnel_server_t *server = tunnel->server;
    const wb_tunnel_server_options_t *options = &server->options;
    wb_error_t error;
    question_keep(tunnel, question);
    if (server->draining || g_hash_table_size(server->tunnels) > options->max_tunnels) {
        tunnel_refuse(tunnel, WB_WIRE_TUNNEL_BUSY);
        return;
    }
    wb_wire_tunnel_result result = options->check(question, is_counted, options->context);
    if (result != WB_WIRE_TUNNEL_CONNECTED) {
        tunnel_refuse(tunnel, result);
        return;
    }
    if (wb_tcp_stream_connect(server->loop, question->address, &options->connect, &events, tunnel,
                              &tunnel->engine, &error) != APR_SUCCESS)
        tunnel_refuse(tunnel, WB_WIRE_TUNNEL_UNREACHABLE);
}

static void question_read(wb_tunnel_t *tunnel, const char *data, size_t length) {
    wb_wire_message message;
    g_byte_array_append(tunnel->received, (const guint8 *)data, (guint)length);
    switch (
        wb_tunnel_frame_read(tunnel->received, WB_WIRE_TUNNEL_OPEN, &message, &tunnel->in_blocks)) {
    case WB_TUNNEL_FRAME_INCOMPLETE:
        return;
    case WB_TUNNEL_FRAME_INVALID:
        wb_tcp_stream_close(tunnel->node);
        tunnel_free(tunnel);
        return;
    default:
        break;
    }
    g_clear_pointer(&tunnel->received, g_byte_array_unref);
    wb_timer_cancel(tunnel->timer);
    tunnel->timer = NULL;
    question_take(tunnel, &message);
    wb_message_clear(&message);
}

static void node_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    wb_tunnel_t *tunnel = context;
    if (tunnel->received != NULL)
        question_read(tunnel, data, length);
    else if (tunnel->engine != NULL) {
        wb_tcp_stream_write(tunnel->engine, data, length);
        bytes_passed(tunnel, stream, tunnel->engine, length);
    }
}

static void node_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)how;
    wb_tunnel_t *tunnel = context;
    closed_log(tunnel, "node");
    engine_side_close(tunnel);
    wb_tcp_stream_close(stream);
    tunnel_free(tunnel);
}

static void node_drained(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_tunnel_t *tunnel = context;
    if (tunnel->engine != NULL)
        wb_tcp_stream_set_reading(tunnel->engine, TRUE);
}

static void question_timed_out(void *context) {
    wb_tunnel_t *tunnel = context;
    tunnel->timer = NULL;
    wb_tcp_stream_close(tunnel->node);
    tunnel_free(tunnel);
}

static void accepted(wb_tcp_stream_t *stream, void *context) {
    static const wb_tcp_events_t events = {NULL, node_data, node_end, node_drained};
    wb_tunnel_server_t *server = context;
    wb_tunnel_t *tunnel = g_new0(wb_tunnel_t, 1);
    tunnel->server = server;
    tunnel->node = stream;
    tunnel->received = g_byte_array_new();
    tunnel->began_ms = wb_clock_ms();
    tunnel->timer = wb_loop_after(server->loop, QUESTION_TIMEOUT_MS, question_timed_out, tunnel);
    wb_tcp_stream_set_events(stream, &events, tunnel);
    g_hash_table_add(server->tunnels, tunnel);
}

apr_status_t wb_tunnel_server_create(wb_loop_t *loop, const wb_tunnel_server_options_t *options,
                                     wb_tunnel_server_t **server, wb_error_t *error) {
    wb_tunnel_server_t *created = g_new0(wb_tunnel_server_t, 1);
    created->loop = loop;
    created->options = *options;
    created->tunnels = g_hash_table_new(NULL, NULL);
    wb_tcp_finishing_init(&created->finishing);
    apr_status_t status = wb_tcp_listen(loop, options->listen, options->silence_limit_ms, accepted,
                                        created, &created->listener, error);
    if (status != APR_SUCCESS) {
        g_hash_table_unref(created->tunnels);
        g_free(created);
        return status;
    }
    *server = created;
    return APR_SUCCESS;
}

unsigned wb_tunnel_server_port(const wb_tunnel_server_t *server) {
    return wb_tcp_listener_port(server->listener);
}

void wb_tunnel_server_drain(wb_tunnel_server_t *server) {
    server->draining = TRUE;
}

unsigned wb_tunnel_server_count(const wb_tunnel_server_t *server) {
    return g_hash_table_size(server->tunnels) + server->finishing.unsent.len;
}

void wb_tunnel_server_free(wb_tunnel_server_t *server) {
    wb_tcp_finishing_clear(&server->finishing);
    g_autoptr(GList) tunnels = g_hash_table_get_keys(server->tunnels);
    for (GList *item = tunnels; item != NULL; item = item->next) {
        wb_tunnel_t *tunnel = item->data;
        engine_side_close(tunnel);
        wb_tcp_stream_close(tunnel->node);
        tunnel_free(tunnel);
    }
    wb_tcp_listener_close(server->listener);
    g_hash_table_unref(server->tunnels);
    g_free(server);
}
