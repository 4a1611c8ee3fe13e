/* Program of the fault-injecting proxy: its relays, and the control interface that sets their
 * faults. */
#include "relay.h"

#include "../standin_http.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define LOOP_CAPACITY 8192
#define BODY_LIMIT_BYTES 65536

typedef struct proxy_settings_t {
    const char *control;
    const char *relays;
} proxy_settings_t;

static const wb_setting_t rows[] = {
    {"control", WB_SETTING_ADDRESS, "", 0, 0, "127.0.0.1:7900", offsetof(proxy_settings_t, control),
     "Address to set faults at"},
    {"relays", WB_SETTING_TEXT, "", 0, 0, NULL, offsetof(proxy_settings_t, relays),
     "LISTEN=TARGET pairs with commas between"},
};

static const wb_settings_table_t table = {"wb-standin-proxy",
                                          "A proxy that injects faults between two processes.",
                                          rows, G_N_ELEMENTS(rows)};

static GHashTable *relays; /* listen address -> relay_t */

static void fault_set(wb_http_exchange_t *exchange, const json_t *body) {
    relay_t *relay = g_hash_table_lookup(relays, wb_json_text(body, "relay", ""));
    int kind = relay_fault_kind_parse(wb_json_text(body, "fault", "pass"));
    if (relay == NULL || kind < 0) {
        standin_reply_error(exchange, 400, "bad_fault", "no such relay or fault", -1);
        return;
    }
    const char *blocked = wb_json_text(body, "block", NULL);
    if (blocked != NULL)
        relay_set_blocked(relay, blocked);
    const char *partitioned = wb_json_text(body, "partition", NULL);
    if (partitioned != NULL) {
        int how = relay_partition_parse(wb_json_text(body, "how", "silent"));
        if (how < 0) {
            standin_reply_error(exchange, 400, "bad_partition", "no such partition", -1);
            return;
        }
        relay_set_partition(relay, partitioned, (relay_partition_t)how);
        standin_reply_json(exchange, 200, json_object());
        return;
    }
    if (json_object_get(body, "bytes_per_s") != NULL) {
        relay_set_rate(relay, wb_json_integer(body, "bytes_per_s", 0));
        standin_reply_json(exchange, 200, json_object());
        return;
    }
    relay_fault_t fault = {(relay_fault_kind_t)kind, wb_json_integer(body, "delay_ms", 0),
                           wb_json_integer(body, "bytes", 0), wb_json_integer(body, "times", 0)};
    relay_set_fault(relay, &fault);
    standin_reply_json(exchange, 200, json_object());
}

static void request_handle(wb_http_exchange_t *exchange, void *context) {
    (void)context;
    json_t *body = standin_read_json(exchange);
    if (body != NULL)
        fault_set(exchange, body);
    json_decref(body);
}

static apr_status_t relays_open(wb_loop_t *loop, const char *list, wb_error_t *error) {
    relays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_auto(GStrv) pairs = g_strsplit(list, ",", -1);
    for (int i = 0; pairs[i] != NULL; i++) {
        char *target = strchr(pairs[i], '=');
        if (target == NULL)
            return wb_error_set(error, APR_EINVAL, "'%s' is not LISTEN=TARGET", pairs[i]);
        *target++ = '\0';
        relay_t *relay;
        apr_status_t status = relay_open(loop, pairs[i], target, &relay, error);
        if (status != APR_SUCCESS)
            return status;
        g_hash_table_insert(relays, g_strdup(pairs[i]), relay);
    }
    return APR_SUCCESS;
}

int main(int argc, char **argv) {
    apr_initialize();
    proxy_settings_t settings;
    wb_error_t error;
    wb_loop_t *loop;
    if (wb_settings_read(&table, argc, argv, &settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-proxy: %s\n", error.message);
        return 2;
    }
    standin_signals_block();
    wb_http_server_options_t options = {.address = settings.control,
                                        .body_limit_bytes = BODY_LIMIT_BYTES,
                                        .thread_count = 1,
                                        .handler = request_handle};
    wb_http_server_t *server;
    if (wb_loop_create(&loop, "relays", LOOP_CAPACITY, &error) != APR_SUCCESS ||
        relays_open(loop, settings.relays, &error) != APR_SUCCESS ||
        wb_http_server_start(&server, &options, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-standin-proxy: %s\n", error.message);
        return 1;
    }
    wb_loop_start(loop);
    standin_signals_wait();
    return 0;
}
