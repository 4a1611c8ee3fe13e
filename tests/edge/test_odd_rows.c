/* Guards against rows by another writer, in any table but that of engines, that end a process, keep
 * it from following the table, or hide other rows. */
#include "edge.h"

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

static void tests_add(void) {
    g_test_add_func("/edge/odd-rows/configuration", test_configuration);
    g_test_add_func("/edge/odd-rows/lease-row", test_lease_row);
}

PROCESS_TEST_MAIN(tests_add)
