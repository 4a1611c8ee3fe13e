/* Program of the platform stand-in: its store, its engines, and the control interface by which
 * tests drive it. */
#include "estate.h"

#include "wickbridge/json.h"

#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct wb_estate_t {
    wb_loop_t *loop;
    wb_estate_store_t *store;
    wb_estate_seen_t seen;
    GHashTable *engines; /* id -> wb_estate_engine_t */
    GHashTable *faulty;  /* id -> wb_estate_faulty_engine_t */
} wb_estate_t;

static void text_answer(wb_http_connection_t *connection, unsigned status, json_t *body) {
    char *text = wb_json_dump(body);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status),
                             "Content-Type: application/json\r\n", text, strlen(text));
    free(text);
    json_decref(body);
}

static json_t *seen_json(const wb_estate_t *estate) {
    return json_pack("{s:O, s:O, s:O, s:O, s:O, s:O, s:O, s:O, s:O}", "runs", estate->seen.runs,
                     "arrivals", estate->seen.arrivals, "orders", estate->seen.orders, "crashes",
                     estate->seen.crashes, "falls", estate->seen.falls, "states",
                     estate->seen.states, "rests", estate->seen.backoffs, "floods",
                     estate->seen.floods, "violations", estate->seen.violations);
}

/* Runs a command for an engine that sends bytes that are no answer. Returns as command_run. */
static gboolean faulty_command_run(wb_estate_t *estate, const json_t *command) {
    const char *name = wb_json_text(command, "do", "");
    const char *id = wb_json_text(command, "engine", "");
    wb_estate_faulty_engine_t *engine = g_hash_table_lookup(estate->faulty, id);
    if (strcmp(name, "faulty-engine-start") == 0)
        g_hash_table_insert(estate->faulty, g_strdup(id),
                            wb_estate_faulty_engine_start(estate->loop, estate->store,
                                                          &estate->seen, id,
                                                          json_object_get(command, "options")));
    else if (engine == NULL)
        return FALSE;
    else if (strcmp(name, "faulty-engine-fault") == 0)
        wb_estate_faulty_engine_set_fault(engine, wb_json_text(command, "fault", ""),
                                          (int)wb_json_integer(command, "count", 1));
    else if (strcmp(name, "faulty-engine-option") == 0)
        wb_estate_faulty_engine_set_option(engine, wb_json_text(command, "name", ""),
                                           wb_json_integer(command, "value", 0));
    else
        return FALSE;
    return TRUE;
}

/* Writes a row: `value` is its text, `base64` its bytes; without either it is removed. */
static void row_put(wb_estate_t *estate, const json_t *command) {
    const char *table = wb_json_text(command, "table", "op");
    const char *key = wb_json_text(command, "key", "config");
    const char *base64 = wb_json_text(command, "base64", NULL);
    if (base64 != NULL)
        wb_estate_store_put_base64(estate->store, table, key, base64);
    else
        wb_estate_store_put(estate->store, table, key, wb_json_text(command, "value", NULL));
}

/* Runs a control command {"do": NAME, ...}. Returns FALSE for an unknown command or engine. */
static gboolean command_run(wb_estate_t *estate, const json_t *command) {
    const char *name = wb_json_text(command, "do", "");
    const char *id = wb_json_text(command, "engine", "");
    wb_estate_engine_t *engine = g_hash_table_lookup(estate->engines, id);
    if (strcmp(name, "put") == 0)
        row_put(estate, command);
    else if (strcmp(name, "store-fault") == 0)
        wb_estate_store_set_fault(estate->store, wb_json_text(command, "fault", ""),
                                  wb_json_integer(command, "delay_ms", 0));
    else if (strcmp(name, "compact") == 0)
        wb_estate_store_compact(estate->store);
    else if (strcmp(name, "store-behind") == 0)
        wb_estate_store_set_behind(estate->store, wb_json_integer(command, "behind_ms", 0),
                                   wb_json_integer(command, "for_ms", 0));
    else if (strcmp(name, "store-skip-versions") == 0)
        wb_estate_store_skip_versions(estate->store, wb_json_integer(command, "count", 0));
    else if (strcmp(name, "store-rollback") == 0)
        wb_estate_store_roll_back(estate->store, wb_json_integer(command, "back_ms", 0),
                                  wb_json_integer(command, "away_ms", 0),
                                  wb_json_integer(command, "rewrite_ms", 0));
    else if (strcmp(name, "engine-start") == 0)
        g_hash_table_insert(estate->engines, g_strdup(id),
                            wb_estate_engine_start(estate->loop, estate->store, &estate->seen, id,
                                                   json_object_get(command, "options")));
    else if (engine == NULL)
        return faulty_command_run(estate, command);
    else if (strcmp(name, "engine-fault") == 0)
        wb_estate_engine_set_fault(engine, wb_json_text(command, "fault", ""),
                                   (int)wb_json_integer(command, "count", 1));
    else if (strcmp(name, "engine-crash-model") == 0)
        wb_estate_engine_set_crash_model(engine, wb_json_text(command, "model", ""));
    else if (strcmp(name, "engine-pace") == 0)
        wb_estate_engine_set_pace(engine, wb_json_text(command, "told", ""),
                                  wb_json_integer(command, "percent", 100));
    else if (strcmp(name, "engine-state") == 0)
        wb_estate_engine_set_state_lines(engine, wb_json_text(command, "lines", ""));
    else if (strcmp(name, "engine-rest") == 0)
        wb_estate_engine_set_backoff(engine, wb_json_text(command, "retry_after", ""));
    else if (strcmp(name, "engine-crash") == 0)
        wb_estate_engine_kill(engine);
    else if (strcmp(name, "engine-option") == 0)
        wb_estate_engine_set_option(engine, wb_json_text(command, "name", ""),
                                    wb_json_integer(command, "value", 0));
    else if (strcmp(name, "engine-harden") == 0)
        wb_estate_engine_harden(engine);
    else if (strcmp(name, "engine-leave") == 0)
        wb_estate_engine_set_draining(engine);
    else if (strcmp(name, "engine-stop") == 0) {
        wb_estate_engine_stop(engine, wb_json_boolean(command, "announce", 1));
        g_hash_table_remove(estate->engines, id);
    } else
        return FALSE;
    return TRUE;
}

static void control_request(wb_http_connection_t *connection, wb_http_head_t *head,
                            GByteArray *body, void *context) {
    wb_estate_t *estate = context;
    if (strcmp(head->method, "GET") == 0) {
        text_answer(connection, 200, seen_json(estate));
    } else {
        json_t *command = json_loadb((const char *)body->data, body->len, 0, NULL);
        gboolean known = json_is_object(command) && command_run(estate, command);
        json_decref(command);
        text_answer(connection, known ? 200 : 400, json_object());
    }
    wb_http_head_free(head);
    g_byte_array_unref(body);
}

int main(int argc, char **argv) {
    if (argc != 3) {
        fprintf(stderr, "usage: wb-standin-estate STORE-ADDRESS CONTROL-ADDRESS\n");
        return 2;
    }
    wb_estate_t estate = {0};
    wb_http_limits_t limits = {65536, 8 * 1024 * 1024, 30000, 600000};
    wb_http_handler_t handler = {control_request, NULL, NULL, &estate};
    wb_http_listener_t *control;
    wb_error_t error;
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    if (wb_loop_create(&estate.loop, "estate", 4096, &error) != APR_SUCCESS)
        return 1;
    estate.seen =
        (wb_estate_seen_t){json_array(), json_array(), json_array(), json_array(), json_array(),
                           json_array(), json_array(), json_array(), json_array()};
    estate.faulty = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    estate.engines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    estate.store = wb_estate_store_open(estate.loop, argv[1]);
    if (wb_http_listener_open(estate.loop, argv[2], &handler, &limits, &control, &error) !=
        APR_SUCCESS) {
        fprintf(stderr, "wb-standin-estate: %s\n", error.message);
        return 1;
    }
    printf("ready %u %u\n", wb_estate_store_port(estate.store), wb_http_listener_port(control));
    fflush(stdout);
    wb_loop_run(estate.loop);
    return 0;
}
