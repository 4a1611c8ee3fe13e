/* wickbridged, the node program: reads settings, starts threads and HTTP servers, and drains the
 * node on SIGTERM or SIGINT. Exit codes: 0 after a stop, 1 if the start failed, 2 for invalid
 * settings; errors go to stderr. */
#include "node_settings.h"
#include "operators.h"

#include "wickbridge/log.h"

#include <apr_general.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define LOOP_CAPACITY 4096
#define DRAIN_CHECK_MS 50
#define FLUSH_DELAY_MS 300 /* for the last gossip and responses to be sent */

typedef struct daemon_t {
    wb_node_settings_t settings;
    wb_loop_t *loop;
    wb_http_client_t *control_client;
    wb_http_client_t **stream_clients;
    wb_node_t *node;
    wb_operators_t operators;
    wb_http_server_t *client_server;
    wb_http_server_t *operator_server;
    GMutex drain_lock;
    GCond drain_changed;
    gboolean drained;
} daemon_t;

static int fail(const wb_error_t *error) {
    fprintf(stderr, "wickbridged: %s\n", error->message);
    return 1;
}

static void client_handle(wb_http_exchange_t *exchange, void *context) {
    static const char missing[] = "{\"error\":{\"message\":\"There is nothing at this path.\","
                                  "\"type\":\"invalid_request_error\",\"code\":\"not_found\","
                                  "\"param\":null},\"verdict\":\"not-run\"}";
    daemon_t *daemon = context;
    if (wb_gateway_handle(wb_node_gateway(daemon->node), exchange))
        return;
    wb_http_exchange_add_header(exchange, "Wickbridge-Verdict", "not-run");
    wb_http_exchange_reply(exchange, 404, "application/json", missing, sizeof(missing) - 1);
}

static apr_status_t clients_start(daemon_t *daemon, wb_error_t *error) {
    const wb_node_settings_t *settings = &daemon->settings;
    gboolean secure = *settings->tls_platform_trust != '\0';
    wb_http_client_tls_t tls = {settings->tls_platform_trust,
                                *settings->tls_certificate != '\0' ? settings->tls_certificate
                                                                   : NULL,
                                *settings->tls_key != '\0' ? settings->tls_key : NULL};
    apr_status_t status =
        wb_http_client_start(&daemon->control_client, secure ? &tls : NULL, error);
    daemon->stream_clients = g_new0(wb_http_client_t *, (gsize)daemon->settings.client_threads);
    for (int64_t i = 0; status == APR_SUCCESS && i < daemon->settings.client_threads; i++)
        status = wb_http_client_start(&daemon->stream_clients[i], secure ? &tls : NULL, error);
    return status;
}

/* Reads a PEM file; text is NULL if path is empty. Returns APR_EINVAL if it can't be read. */
static apr_status_t pem_read(const char *path, char **text, wb_error_t *error) {
    *text = NULL;
    g_autoptr(GError) failure = NULL;
    if (*path != '\0' && !g_file_get_contents(path, text, NULL, &failure))
        return wb_error_set(error, APR_EINVAL, "%s", failure->message);
    return APR_SUCCESS;
}

static apr_status_t servers_start(daemon_t *daemon, wb_error_t *error) {
    const wb_node_settings_t *settings = &daemon->settings;
    char *key, *certificate, *trust;
    apr_status_t status = pem_read(settings->tls_key, &key, error);
    if (status == APR_SUCCESS)
        status = pem_read(settings->tls_certificate, &certificate, error);
    if (status == APR_SUCCESS)
        status = pem_read(settings->tls_trust, &trust, error);
    if (status != APR_SUCCESS)
        return status;
    wb_http_server_options_t client_options = {
        .address = settings->listen_callers,
        .body_limit_bytes = (size_t)settings->body_limit_bytes,
        .thread_count = (unsigned)settings->http_threads,
        .idle_timeout_s = (unsigned)settings->sender_timeout_s,
        .tls_key_pem = key,
        .tls_cert_pem = certificate,
        .handler = client_handle,
        .handler_context = daemon};
    daemon->operators = (wb_operators_t){daemon->node, daemon->loop};
    wb_http_server_options_t operator_options = client_options;
    operator_options.address = settings->listen_operators;
    operator_options.thread_count = 1;
    operator_options.tls_trust_pem = trust;
    operator_options.handler = wb_operators_handle;
    operator_options.handler_context = &daemon->operators;
    status = wb_http_server_start(&daemon->operator_server, &operator_options, error);
    if (status == APR_SUCCESS)
        status = wb_http_server_start(&daemon->client_server, &client_options, error);
    return status;
}

/* Polls until the node is drained, then makes it leave the cluster and wakes drain_and_wait. */
static void drain_poll(void *context) {
    daemon_t *daemon = context;
    if (!wb_node_is_drained(daemon->node)) {
        wb_loop_after(daemon->loop, DRAIN_CHECK_MS, drain_poll, daemon);
        return;
    }
    wb_node_leave(daemon->node);
    g_mutex_lock(&daemon->drain_lock);
    daemon->drained = TRUE;
    g_cond_signal(&daemon->drain_changed);
    g_mutex_unlock(&daemon->drain_lock);
}

static void drain_begin(void *context) {
    daemon_t *daemon = context;
    wb_node_drain(daemon->node);
    drain_poll(daemon);
}

/* Drains the node: waits until no request is open and other nodes own its cells, or until the
 * setting drain-timeout-s has passed. */
static void drain_and_wait(daemon_t *daemon) {
    int64_t until_us = g_get_monotonic_time() + daemon->settings.drain_timeout_s * G_USEC_PER_SEC;
    wb_loop_post(daemon->loop, drain_begin, daemon);
    g_mutex_lock(&daemon->drain_lock);
    while (!daemon->drained)
        if (!g_cond_wait_until(&daemon->drain_changed, &daemon->drain_lock, until_us))
            break;
    g_mutex_unlock(&daemon->drain_lock);
    g_usleep(FLUSH_DELAY_MS * 1000);
}

/* Call before any thread starts, so that only sigwait receives SIGTERM and SIGINT. */
static void signals_block(sigset_t *set) {
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
    pthread_sigmask(SIG_BLOCK, set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv) {
    apr_initialize();
    static daemon_t daemon;
    wb_error_t error;
    if (wb_settings_read(&wb_node_settings_table, argc, argv, &daemon.settings, &error) !=
        APR_SUCCESS) {
        fprintf(stderr, "wickbridged: %s\n", error.message);
        return 2;
    }
    GLogLevelFlags level = wb_log_level_parse(daemon.settings.log_level);
    if (level == 0) {
        fprintf(stderr,
                "wickbridged: log-level is '%s', but must be error, warning, message, "
                "info or debug\n",
                daemon.settings.log_level);
        return 2;
    }
    wb_log_setup(daemon.settings.log_json != 0, level, daemon.settings.id);
    sigset_t signals;
    signals_block(&signals);
    if (wb_loop_create(&daemon.loop, "node", LOOP_CAPACITY, &error) != APR_SUCCESS ||
        clients_start(&daemon, &error) != APR_SUCCESS)
        return fail(&error);
    wb_node_parts_t parts = {daemon.loop,
                             daemon.control_client,
                             daemon.stream_clients,
                             (guint)daemon.settings.client_threads,
                             NULL,
                             *daemon.settings.tls_platform_trust != '\0' ? "https" : "http"};
    if (*daemon.settings.tls_node_trust != '\0' &&
        wb_tls_context_create(&parts.link_tls, daemon.settings.tls_key,
                              daemon.settings.tls_certificate, daemon.settings.tls_node_trust,
                              &error) != APR_SUCCESS)
        return fail(&error);
    if (wb_node_create(&daemon.node, &daemon.settings, &parts, &error) != APR_SUCCESS)
        return fail(&error);
    wb_loop_start(daemon.loop);
    if (servers_start(&daemon, &error) != APR_SUCCESS)
        return fail(&error);
    wb_log_message(WB_LOG_NODE, "Node %s serves clients on %s.", wb_node_name(daemon.node),
                   daemon.settings.listen_callers);
    int received;
    sigwait(&signals, &received);
    drain_and_wait(&daemon);
    wb_log_message(WB_LOG_NODE, "Node %s stopped.", wb_node_name(daemon.node));
    return 0;
}
