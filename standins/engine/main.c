/* Program of the engine stand-in: settings, routes, batch and model threads. */
#include "engine.h"

#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define BODY_LIMIT_BYTES (16 * 1024 * 1024)
#define MODELS_TICK_MS 2
#define REPORT_TICK_MS 50

engine_settings_t engine_settings;
GMutex engine_lock;
wb_http_client_t *engine_client;

#define ROW(name, type, unit, low, high, fallback, field, text)                                    \
    { name, type, unit, low, high, fallback, offsetof(engine_settings_t, field), text }

static const wb_setting_t rows[] = {
    ROW("listen", WB_SETTING_ADDRESS, "", 0, 0, "127.0.0.1:7100", listen, "Address to listen on"),
    ROW("id", WB_SETTING_TEXT, "", 0, 0, "engine-1", id, "The machine's name in the machine list"),
    ROW("weights", WB_SETTING_ADDRESS, "", 0, 0, "", weights,
        "Platform address for remote loads; empty: every load comes from disk"),
    ROW("disk-models", WB_SETTING_TEXT, "", 0, 0, "", disk_models,
        "Names of models with a copy on disk, with commas between"),
    ROW("tls-key", WB_SETTING_TEXT, "", 0, 0, "", tls_key, "Key file in PEM; empty: plain HTTP"),
    ROW("tls-certificate", WB_SETTING_TEXT, "", 0, 0, "", tls_certificate,
        "Certificate file in PEM"),
    ROW("tls-trust", WB_SETTING_TEXT, "", 0, 0, "", tls_trust,
        "Authority that must have signed callers' certificates, in PEM"),
    ROW("log-level", WB_SETTING_TEXT, "", 0, 0, "message", log_level, "Least severe level logged"),
    ROW("memory-mib", WB_SETTING_INTEGER, "MiB", 1, 1 << 30, "81920", memory_mib,
        "Accelerator memory for models and adapters"),
    ROW("host-cache-mib", WB_SETTING_INTEGER, "MiB", 0, 1 << 30, "65536", host_cache_mib,
        "Host memory that keeps copies of unloaded models"),
    ROW("batch", WB_SETTING_INTEGER, "streams", 1, 100000, "32", batch, "Most streams at once"),
    ROW("queue-limit", WB_SETTING_INTEGER, "streams", 0, 100000, "64", queue_limit,
        "Most streams that wait for the batch"),
    ROW("token-interval-ms", WB_SETTING_INTEGER, "ms", 1, 10000, "20", token_interval_ms,
        "Time between two tokens of a stream"),
    ROW("prefill-ms-per-kib", WB_SETTING_INTEGER, "ms", 0, 10000, "10", prefill_ms_per_kib,
        "Time to read a prompt that isn't cached"),
    ROW("call-ms", WB_SETTING_INTEGER, "ms", 0, 600000, "20", call_ms, "Time an opaque call runs"),
    ROW("remote-ms-per-gib", WB_SETTING_INTEGER, "ms", 0, 600000, "250", remote_ms_per_gib,
        "Load time from the weight store at full speed"),
    ROW("disk-ms-per-gib", WB_SETTING_INTEGER, "ms", 0, 600000, "120", disk_ms_per_gib,
        "Load time from disk"),
    ROW("memory-ms-per-gib", WB_SETTING_INTEGER, "ms", 0, 600000, "30", memory_ms_per_gib,
        "Load time from host memory"),
    ROW("report-lag-ms", WB_SETTING_INTEGER, "ms", 0, 600000, "500", report_lag_ms,
        "How old the load report is"),
    ROW("cache-entries", WB_SETTING_INTEGER, "prefixes", 1, 1000000, "256", cache_entries,
        "Prompt prefixes that the cache keeps"),
    ROW("stream-retention-ms", WB_SETTING_INTEGER, "ms", 0, 86400000, "120000", stream_retention_ms,
        "How long a finished stream can be read again"),
    ROW("load-slowdown", WB_SETTING_INTEGER, "", 1, 1000, "1", load_slowdown,
        "Factor on every load time"),
};

static const wb_settings_table_t table = {"wb-standin-engine",
                                          "A stand-in for a model engine with continuous batching.",
                                          rows, G_N_ELEMENTS(rows)};

int64_t engine_now_ms(void) {
    return g_get_monotonic_time() / 1000;
}

static void stream_handle(wb_http_exchange_t *exchange, const char *id) {
    const char *method = wb_http_exchange_method(exchange);
    if (strcmp(method, "POST") == 0)
        streams_start(exchange, id);
    else if (strcmp(method, "GET") == 0)
        streams_resume(exchange, id);
    else if (strcmp(method, "DELETE") == 0)
        streams_cancel(exchange, id);
    else
        standin_reply_error(exchange, 405, "bad_method", method, -1);
}

static void request_handle(wb_http_exchange_t *exchange, void *context) {
    (void)context;
    const char *path = wb_http_exchange_path(exchange);
    if (g_str_has_prefix(path, "/engine/v1/streams/"))
        stream_handle(exchange, path + strlen("/engine/v1/streams/"));
    else if (strcmp(path, "/engine/v1/orders") == 0)
        models_order(exchange);
    else if (strcmp(path, "/engine/v1/fence") == 0)
        models_fence(exchange);
    else if (strcmp(path, "/engine/v1/inventory") == 0)
        models_inventory(exchange);
    else if (strcmp(path, "/engine/v1/load") == 0)
        report_show(exchange);
    else if (strcmp(path, "/engine/v1/cache-events") == 0)
        cache_events(exchange);
    else if (g_str_has_prefix(path, "/engine/v1/kv/export/"))
        cache_export(exchange, path + strlen("/engine/v1/kv/export/"));
    else if (strcmp(path, "/engine/v1/kv/import") == 0)
        cache_import(exchange);
    else if (strcmp(path, "/standin/v1/history") == 0)
        models_history(exchange);
    else if (strcmp(path, "/standin/v1/ledger") == 0)
        streams_ledger(exchange);
    else
        standin_reply_error(exchange, 404, "no_such_path", path, -1);
}

static gpointer batch_run(gpointer data) {
    (void)data;
    int64_t next_us = g_get_monotonic_time();
    for (;;) {
        streams_tick();
        next_us += engine_settings.token_interval_ms * 1000;
        int64_t now_us = g_get_monotonic_time();
        if (next_us > now_us)
            g_usleep((gulong)(next_us - now_us));
        else
            next_us = now_us;
    }
    return NULL;
}

static gpointer models_run(gpointer data) {
    (void)data;
    int64_t reported_ms = 0;
    for (;;) {
        models_tick();
        if (engine_now_ms() - reported_ms >= REPORT_TICK_MS) {
            report_tick();
            reported_ms = engine_now_ms();
        }
        g_usleep(MODELS_TICK_MS * 1000);
    }
    return NULL;
}

/* Refuses new streams and waits until all others ended. */
static void drain_and_wait(void) {
    engine_drain();
    int running = 1, waiting = 0;
    while (running + waiting > 0) {
        g_usleep(20 * 1000);
        g_mutex_lock(&engine_lock);
        streams_count(&running, &waiting);
        g_mutex_unlock(&engine_lock);
    }
    g_usleep(200 * 1000); /* time for the last bytes to be sent */
}

int main(int argc, char **argv) {
    apr_initialize();
    wb_error_t error;
    if (wb_settings_read(&table, argc, argv, &engine_settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-engine: %s\n", error.message);
        return 2;
    }
    wb_log_setup(FALSE, wb_log_level_parse(engine_settings.log_level), engine_settings.id);
    standin_signals_block();
    models_setup();
    streams_setup();
    cache_setup();
    wb_http_server_options_t options = {
        .address = engine_settings.listen,
        .body_limit_bytes = BODY_LIMIT_BYTES,
        .thread_count = 2,
        .idle_timeout_s = 0,
        .tls_key_pem = standin_read_file(engine_settings.tls_key),
        .tls_cert_pem = standin_read_file(engine_settings.tls_certificate),
        .tls_trust_pem = standin_read_file(engine_settings.tls_trust),
        .handler = request_handle};
    wb_http_server_t *server;
    if (wb_http_client_start(&engine_client, NULL, &error) != APR_SUCCESS ||
        wb_http_server_start(&server, &options, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-engine: %s\n", error.message);
        return 1;
    }
    g_thread_unref(g_thread_new("batch", batch_run, NULL));
    g_thread_unref(g_thread_new("models", models_run, NULL));
    wb_log_message(WB_LOG_STANDIN, "The engine listens on %s.", engine_settings.listen);
    standin_signals_wait();
    drain_and_wait();
    return 0;
}
