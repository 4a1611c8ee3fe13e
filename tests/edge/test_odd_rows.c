/* Guards against rows by another writer, in any table but that of engines, that end a process, keep
 * it from following the table, or hide other rows. */
#include "edge.h"

#include "wickbridge/message.h"

#include <glib/gstdio.h>
#include <string.h>

#define NODES 3
/* Of the row of the lease in the system's own table. */
#define OWN_TABLE "wickbridge"
#define LEASE_KEY "controller"
/* Most for which the lease may have no holder after an odd row: its duration and margin, and the
 * wait before a takeover. */
#define LEASE_BACK_MS 6000
#define SETTLE_US 1500000
#define DEEP 30000
#define ROW_MAX_BYTES 1024
/* Nodes decide 2.5 s after they see that the table is large. */
#define DECISION_TIMEOUT_MS 6000
#define ODD_ROWS 90
/* Until the engines of an evacuated zone get no requests, with a margin. */
#define EVACUATED_US 3500000

static void row_put(const estate_t *estate, const char *table, const char *key, const char *value) {
    json_t *command = json_pack("{s:s, s:s, s:s}", "do", "put", "table", table, "key", key);
    if (value != NULL)
        json_object_set_new(command, "value", json_string(value));
    char *text = json_dumps(command, JSON_COMPACT);
    estate_command(estate, "%s", text);
    free(text);
    json_decref(command);
}

static void assert_served(const estate_t *estate, int node, const char *path, const char *id,
                          const char *headers) {
    wire_response_t *answer = wire_request(estate->nodes[node].clients_port, path, id, headers);
    g_test_message("%s at node %d: %d", id, node, answer->status);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
}

/* Asserts that no process ended: each was launched once and is ready. */
static void assert_all_live(const estate_t *estate) {
    for (int i = 0; i < NODES; i++)
        g_assert_true(estate_node_is_ready(estate, i));
}

/* Guards against a lease that nobody holds any more after its row couldn't be read. */
static void test_lease_row(void) {
    static const char *const values[] = {"odd", "", "\x7f\x7f\x7f\x7f more than is there"};
    estate_t *estate = estate_start(NODES, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        estate_wait_controller(estate, LEASE_BACK_MS);
        row_put(estate, OWN_TABLE, LEASE_KEY, values[i]);
        g_usleep(SETTLE_US);
        estate_wait_controller(estate, LEASE_BACK_MS);
    }
    assert_all_live(estate);
    /* An order is carried out: its token is higher than those before. */
    assert_served(estate, 0, "/chat/x", "cold", EDGE_MODEL("m5"));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Asserts that the configuration with these routes is in force at all nodes. */
static void assert_default_routes(const estate_t *estate, const char *id) {
    for (int node = 0; node < NODES; node++) {
        assert_served(estate, node, "/look/x", id, EDGE_DEADLINE);
        assert_served(estate, node, "/chat/x", id, EDGE_MODEL("m0"));
    }
}

/* Guards against a configuration by which no request is allowed any more, as it can't be read, and
 * against one that keeps later ones from being followed. */
static void test_configuration(void) {
    static const char *const members[] = {"\"services\":[]",
                                          "\"routes\":{},\"services\":[]",
                                          "\"routes\":[5],\"services\":[]",
                                          "\"routes\":[{\"host\":7}],\"services\":[]",
                                          "\"routes\":[],\"services\":\"none\"",
                                          "\"routes\":[],\"services\":[],\"limits\":[]",
                                          "\"routes\":[],\"services\":[],\"limits\":"
                                          "{\"idleTimeoutMs\":-1}",
                                          "\"routes\":[],\"services\":[],\"tenants\":{}"};
    estate_t *estate = estate_start(NODES, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        g_autofree char *value = g_strdup_printf(
            "{\"version\":%lld,%s}", (long long)estate->catalog_version + 1, members[i]);
        row_put(estate, "op", "config", value);
    }
    g_usleep(SETTLE_US);
    assert_default_routes(estate, "odd");
    g_autoptr(GString) deep = g_string_new("{\"version\":9,\"routes\":");
    for (int i = 0; i < DEEP; i++)
        g_string_append_c(deep, '[');
    row_put(estate, "op", "config", deep->str);
    row_put(estate, "op", "config",
            "{\"version\":9223372036854775807,\"routes\":[],\"services\":[]}");
    row_put(estate, "op", "config", "{\"version\":1e300,\"routes\":[],\"services\":[]}");
    g_usleep(SETTLE_US);
    assert_default_routes(estate, "far");
    g_assert_cmpfloat(estate_metric(estate, 0, "rows_refused_total"), >, 0);
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"catalog-refused\""));
    /* The next one is followed. */
    estate_configure(estate, "{\"name\":\"new\",\"host\":\"a.example\",\"pathPrefix\":\"/new/\","
                             "\"routeType\":\"idempotent\",\"timeoutMs\":2000,"
                             "\"service\":\"lock\"}");
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++)
        assert_served(estate, node, "/new/x", "next", EDGE_DEADLINE);
    assert_all_live(estate);
    estate_stop(estate);
}

/* Guards against an evacuation that isn't followed for the rows of zones that aren't there, also at
 * a node without the store. */
static void test_evacuations(void) {
    static const char *const names[] = {"",     "/", "\"quoted\"", "line\r\nX: y",
                                        "%s%n", "{", "\\",         "\xc3\xa9"};
    estate_t *estate = estate_start(NODES, "--catalog-ms=1500 --evacuate-ms=2500");
    int holder = estate_wait_controller(estate, LEASE_BACK_MS);
    int without_store = (holder + 1) % NODES;
    estate_store_fault(estate, without_store, "cut", 0);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_autofree char *key = g_strconcat("evacuate/", names[i], NULL);
        row_put(estate, "op", key, "\x01 odd");
    }
    for (int i = 0; i < ODD_ROWS; i++) {
        g_autofree char *key = g_strdup_printf("evacuate/odd-%d", i);
        row_put(estate, "op", key, "[[[[");
    }
    row_put(estate, "op", "evacuate/zone-1", "{}");
    g_usleep(EVACUATED_US);
    int64_t evacuated_ms = harness_now_ms();
    for (int i = 0; i < 12; i++) {
        g_autofree char *id = g_strdup_printf("e%d", i);
        assert_served(estate, i % NODES, "/look/x", id, EDGE_DEADLINE);
    }
    g_assert_cmpint(estate_runs_after(estate, "lock-1", evacuated_ms), ==, 0);
    assert_all_live(estate);
    estate_stop(estate);
}

/* Guards against rows of nodes that end those that read them, and rows after them that are missed.
 */
static void test_node_rows(void) {
    static const char *const values[] = {"",
                                         " ",
                                         "nowhere 1",
                                         "127.0.0.1:99999 1 nan 4 - z",
                                         "127.0.0.1:-1 1 inf 99999999999999999999 127.0.0.1:0 z",
                                         "999.1.1.1:1 -1 1e999 -4 x:y \"\r\n",
                                         "127.0.0.1:1 1 -1 0 127.0.0.1:99999 \xc3\xa9",
                                         "a b c d e f g h i j k",
                                         "127.0.0.1: 1 0x10 1e5 [::1]:1 z"};
    estate_t *estate = estate_start(NODES, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    for (int i = 0; i < ODD_ROWS; i++) {
        g_autofree char *key = g_strdup_printf("node/%s%d", i % 2 == 0 ? "odd-" : "\r\n\"{", i);
        row_put(estate, OWN_TABLE, key, values[(size_t)i % G_N_ELEMENTS(values)]);
    }
    g_autofree char *deep = g_strnfill(DEEP, ' ');
    row_put(estate, OWN_TABLE, "node/", deep);
    row_put(estate, OWN_TABLE, "\xc3\xa9", deep);
    g_usleep(SETTLE_US);
    assert_all_live(estate);
    /* A node that starts reads them all, and one that takes over calls those that it can. */
    int holder = estate_wait_controller(estate, LEASE_BACK_MS);
    process_kill(&estate->nodes[holder].process);
    estate_node_launch(estate, holder);
    estate_wait_ready(estate, holder);
    estate_wait_controller(estate, LEASE_BACK_MS);
    assert_served(estate, holder, "/chat/x", "cold", EDGE_MODEL("m5"));
    assert_all_live(estate);
    estate_stop(estate);
}

/* Restarts all nodes, and waits until each has logged again how it reads the table of engines. */
static void all_restarted(estate_t *estate) {
    for (int node = 0; node < NODES; node++)
        process_kill(&estate->nodes[node].process);
    for (int node = 0; node < NODES; node++) {
        g_unlink(estate->nodes[node].process.log_path);
        estate_node_launch(estate, node);
    }
    for (int node = 0; node < NODES; node++) {
        int64_t until_ms = harness_now_ms() + DECISION_TIMEOUT_MS;
        while (!estate_log_has(estate, node, "\"event\":\"engines-table\",\"read\":\"whole\"") &&
               !estate_log_has(estate, node, "\"event\":\"engines-table\",\"read\":\"part\"")) {
            g_assert_cmpint(harness_now_ms(), <, until_ms);
            g_usleep(20000);
        }
    }
}

/* Guards against a list of engines that no node reads any more, as a row names a stronger node than
 * there can be. */
static void test_strongest_node(void) {
    static const char *const shares[] = {"inf", "1e300", "nan", "1025"};
    estate_t *estate = estate_start(NODES, "--engine-rows-most=2 --processor-share=1");
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        g_autofree char *value = g_strdup_printf("127.0.0.1:9 1 %s 4 - z", shares[i]);
        row_put(estate, OWN_TABLE, "node/odd", value);
        all_restarted(estate);
        for (int node = 0; node < NODES; node++)
            g_assert_true(estate_log_has(estate, node, "\"read\":\"whole\",\"why\":\"reader\""));
        assert_served(estate, 0, "/look/x", shares[i], EDGE_DEADLINE);
    }
    estate_stop(estate);
}

/* Guards against shares of limits that a row doesn't have, as a part before them can't be read. */
static void test_parts_of_lease_row(void) {
    wb_wire_lease lease = {.holder = "odd", .address = "127.0.0.1:9", .token = 5, .beat = 1};
    wb_wire_quota_entry share = {"north", 0, 0};
    wb_wire_quota quota = {{1, &share}};
    u_int too_many = G_MAXUINT;
    char bytes[ROW_MAX_BYTES];
    XDR stream;
    xdrmem_create(&stream, bytes, sizeof(bytes), XDR_ENCODE);
    g_assert_true(xdr_wb_wire_lease(&stream, &lease));
    g_assert_true(xdr_u_int(&stream, &too_many)); /* of requests that crash engines */
    g_assert_true(xdr_wb_wire_quota(&stream, &quota));
    g_autofree char *value = g_base64_encode((const guchar *)bytes, xdr_getpos(&stream));
    xdr_destroy(&stream);
    estate_t *estate = estate_start(NODES, NULL);
    for (int node = 0; node < NODES; node++)
        process_kill(&estate->nodes[node].process);
    estate_command(estate,
                   "{\"do\":\"put\",\"table\":\"" OWN_TABLE "\",\"key\":\"" LEASE_KEY
                   "\",\"base64\":\"%s\"}",
                   value);
    for (int node = 0; node < NODES; node++)
        estate_node_launch(estate, node);
    estate_wait_controller(estate, LEASE_BACK_MS);
    for (int node = 0; node < NODES; node++) {
        g_assert_true(estate_log_has(estate, node, "\"event\":\"poison-row-refused\""));
        g_assert_false(estate_log_has(estate, node, "\"event\":\"quota-row-taken\""));
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/odd-rows/parts-of-lease-row", test_parts_of_lease_row);
    g_test_add_func("/edge/odd-rows/strongest-node", test_strongest_node);
    g_test_add_func("/edge/odd-rows/evacuations", test_evacuations);
    g_test_add_func("/edge/odd-rows/node-rows", test_node_rows);
    g_test_add_func("/edge/odd-rows/configuration", test_configuration);
    g_test_add_func("/edge/odd-rows/lease-row", test_lease_row);
}

PROCESS_TEST_MAIN(tests_add)
