/* Program of the platform stand-in: settings, routes, faults and the tick thread. */
#include "platform.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 5
#define BODY_LIMIT_BYTES (64 * 1024 * 1024)

#define ROW(name, type, unit, low, high, fallback, field, text)                                    \
    { name, type, unit, low, high, fallback, offsetof(platform_settings_t, field), text }

static const wb_setting_t rows[] = {
    ROW("listen", WB_SETTING_ADDRESS, "", 0, 0, "127.0.0.1:7000", listen, "Address to listen on"),
    ROW("table-operations-per-s", WB_SETTING_INTEGER, "", 1, 1000000, "200", table_operations_per_s,
        "Rate limit of the table service"),
    ROW("object-operations-per-s", WB_SETTING_INTEGER, "", 1, 1000000, "50",
        object_operations_per_s, "Rate limit of the object store"),
    ROW("machine-list-lag-ms", WB_SETTING_INTEGER, "ms", 0, 600000, "2000", machine_list_lag_ms,
        "How late the machine list shows a change"),
    ROW("weight-loads-per-s", WB_SETTING_INTEGER, "", 1, 100000, "3", weight_loads_per_s,
        "Loads a second that the weight store starts (rail 3, agency 4)"),
    ROW("weight-loads-at-once", WB_SETTING_INTEGER, "", 1, 100000, "6", weight_loads_at_once,
        "Loads at once at full speed (rail 6, agency 13)"),
    ROW("tls-key", WB_SETTING_TEXT, "", 0, 0, "", tls_key, "Key file in PEM; empty: plain HTTP"),
    ROW("tls-certificate", WB_SETTING_TEXT, "", 0, 0, "", tls_certificate,
        "Certificate file in PEM"),
    ROW("tls-trust", WB_SETTING_TEXT, "", 0, 0, "", tls_trust,
        "Authority that must have signed callers' certificates, in PEM"),
    ROW("log-level", WB_SETTING_TEXT, "", 0, 0, "message", log_level, "Least severe level logged"),
};

static const wb_settings_table_t table = {
    "wb-standin-platform",
    "A stand-in for the platform: table service, object store, machine list, weight store.", rows,
    G_N_ELEMENTS(rows)};

int64_t platform_bucket_take(platform_bucket_t *bucket) {
    int64_t now_us = g_get_monotonic_time();
    if (bucket->filled_us == 0)
        bucket->tokens = bucket->per_s;
    else
        bucket->tokens += (double)(now_us - bucket->filled_us) / 1e6 * bucket->per_s;
    bucket->tokens = MIN(bucket->tokens, MAX(bucket->per_s, 1.0));
    bucket->filled_us = now_us;
    if (bucket->tokens >= 1.0) {
        bucket->tokens -= 1.0;
        bucket->taken++;
        return 0;
    }
    bucket->refused++;
    return 1 + (int64_t)((1.0 - bucket->tokens) / bucket->per_s * 1000.0);
}

void platform_hang(wb_http_exchange_t *exchange) {
    (void)exchange; /* stays suspended until the client disconnects */
}

static platform_mode_t mode_parse(const json_t *faults, const char *key) {
    const char *name = wb_json_text(faults, key, "up");
    if (strcmp(name, "refuse") == 0)
        return PLATFORM_REFUSE;
    return strcmp(name, "hang") == 0 ? PLATFORM_HANG : PLATFORM_UP;
}

static void faults_set(wb_http_exchange_t *exchange) {
    json_t *faults = standin_read_json(exchange);
    if (faults == NULL)
        return;
    table_set_fault(mode_parse(faults, "table"), wb_json_integer(faults, "table_delay_ms", 0));
    objects_set_fault(mode_parse(faults, "objects"));
    machines_set_fault(mode_parse(faults, "machines"));
    weights_set_slowdown((double)wb_json_integer(faults, "weight_slowdown", 1));
    json_decref(faults);
    standin_reply_json(exchange, 200, json_object());
}

static void counters_show(wb_http_exchange_t *exchange) {
    standin_reply_json(exchange, 200,
                       json_pack("{s:o, s:o, s:o}", "table", table_counters(), "objects",
                                 objects_counters(), "weights", weights_counters()));
}

static void request_handle(wb_http_exchange_t *exchange, void *context) {
    (void)context;
    const char *path = wb_http_exchange_path(exchange);
    if (g_str_has_prefix(path, "/table/v1/"))
        table_handle(exchange);
    else if (g_str_has_prefix(path, "/objects/v1/"))
        objects_handle(exchange);
    else if (strcmp(path, "/machines/v1/list") == 0)
        machines_handle(exchange);
    else if (strcmp(path, "/weights/v1/loads") == 0)
        weights_handle(exchange);
    else if (strcmp(path, "/standin/v1/machines") == 0)
        machines_register(exchange);
    else if (strcmp(path, "/standin/v1/leave") == 0)
        machines_drain(exchange);
    else if (strcmp(path, "/standin/v1/faults") == 0)
        faults_set(exchange);
    else if (strcmp(path, "/standin/v1/counters") == 0)
        counters_show(exchange);
    else
        standin_reply_error(exchange, 404, "no_such_path", path, -1);
}

static gpointer tick_run(gpointer data) {
    (void)data;
    for (;;) {
        machines_tick();
        weights_tick();
        g_usleep(TICK_MS * 1000);
    }
    return NULL;
}

int main(int argc, char **argv) {
    apr_initialize();
    platform_settings_t settings;
    wb_error_t error;
    if (wb_settings_read(&table, argc, argv, &settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-platform: %s\n", error.message);
        return 2;
    }
    wb_log_setup(FALSE, wb_log_level_parse(settings.log_level), "platform");
    standin_signals_block();
    table_setup((double)settings.table_operations_per_s);
    objects_setup((double)settings.object_operations_per_s);
    machines_setup(settings.machine_list_lag_ms);
    weights_setup((double)settings.weight_loads_per_s, settings.weight_loads_at_once);
    wb_http_server_options_t options = {.address = settings.listen,
                                        .body_limit_bytes = BODY_LIMIT_BYTES,
                                        .thread_count = 4,
                                        .idle_timeout_s = 0,
                                        .tls_key_pem = standin_read_file(settings.tls_key),
                                        .tls_cert_pem = standin_read_file(settings.tls_certificate),
                                        .tls_trust_pem = standin_read_file(settings.tls_trust),
                                        .handler = request_handle};
    wb_http_server_t *server;
    if (wb_http_server_start(&server, &options, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-platform: %s\n", error.message);
        return 1;
    }
    g_thread_unref(g_thread_new("tick", tick_run, NULL));
    wb_log_message(WB_LOG_STANDIN, "The platform listens on %s.", settings.listen);
    standin_signals_wait();
    return 0;
}
