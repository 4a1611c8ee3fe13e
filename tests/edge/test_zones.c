/* Evacuated zones: their engines get no new requests, models that only they have are loaded in
 * other zones, and when the evacuation ends the engines are used again. */
#include "edge.h"

#include <string.h>

#define EVACUATE_MS 2500
#define FLAGS "--catalog-ms=1500 --evacuate-ms=2500"

static void zone_evacuate(const estate_t *estate, const char *zone, gboolean evacuate) {
    estate_command(estate, "{\"do\":\"put\",\"table\":\"op\",\"key\":\"evacuate/%s\"%s}", zone,
                   evacuate ? ",\"value\":\"{}\"" : "");
}

static void assert_all_served(const estate_t *estate, const char *name, int count) {
    for (int i = 0; i < count; i++) {
        g_autofree char *lock = g_strdup_printf("%s-lock-%d", name, i);
        g_autofree char *chat = g_strdup_printf("%s-chat-%d", name, i);
        g_assert_cmpint(asked(estate, i % estate->node_count, "/lock/x", lock, EDGE_DEADLINE), ==,
                        200);
        g_assert_cmpint(asked(estate, i % estate->node_count, "/chat/x", chat, EDGE_MODEL("m1")),
                        ==, 200);
    }
}

/* Only llm-1 in zone-1 has m1. */
static void test_evacuated_and_taken_back(void) {
    estate_t *estate = estate_start(2, FLAGS);
    assert_all_served(estate, "before", 4);
    int64_t evacuated_ms = harness_now_ms();
    zone_evacuate(estate, "zone-1", TRUE);
    while (harness_now_ms() < evacuated_ms + EVACUATE_MS) {
        assert_all_served(estate, "while", 1);
    }
    assert_all_served(estate, "after", 10);
    g_assert_cmpint(estate_runs_after(estate, "lock-1", evacuated_ms + EVACUATE_MS), ==, 0);
    g_assert_cmpint(estate_runs_after(estate, "llm-1", evacuated_ms + EVACUATE_MS), ==, 0);
    g_assert_cmpint(estate_orders(estate, "model_load", "m1"), >=, 1);
    zone_evacuate(estate, "zone-1", FALSE);
    g_usleep(1500000);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(800000);
    g_assert_cmpint(asked(estate, 0, "/lock/x", "back", EDGE_DEADLINE), ==, 200);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Models with demand that are only in the zone are loaded elsewhere before the grace time ends. */
static void test_models_move_ahead(void) {
    estate_t *estate = estate_start(1, "--catalog-ms=1000 --evacuate-ms=5000");
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"llm-3\",\"options\":{\"service\":\"llm\","
                   "\"zone\":\"zone-2\",\"streams\":1,\"load_ms\":200,\"weights_mb\":2100}}");
    estate_wait_controller(estate, 5000);
    assert_all_served(estate, "often", 3);
    g_usleep(500000);
    zone_evacuate(estate, "zone-1", TRUE);
    g_usleep(1500000);
    g_assert_cmpint(estate_orders(estate, "model_load", "m1"), >=, 1);
    estate_stop(estate);
}

/* A node that can't reach the store learns of the evacuation from the lease holder. */
static void test_node_without_the_store(void) {
    estate_t *estate = estate_start(2, FLAGS);
    int holder = estate_wait_controller(estate, 5000);
    g_usleep(700000);
    estate_store_fault(estate, 1 - holder, "freeze", 0);
    int64_t evacuated_ms = harness_now_ms();
    zone_evacuate(estate, "zone-1", TRUE);
    g_usleep(EVACUATE_MS * 1000);
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("cut-%d", i);
        g_assert_cmpint(asked(estate, 1 - holder, "/lock/x", id, EDGE_DEADLINE), ==, 200);
    }
    g_assert_cmpint(estate_runs_after(estate, "lock-1", evacuated_ms + EVACUATE_MS), ==, 0);
    estate_store_fault(estate, 1 - holder, "pass", 0);
    estate_stop(estate);
}

/* A node that starts during an evacuation uses no grace time. With all zones evacuated, requests
 * are refused at once without a run. An unknown zone has no effect. */
static void test_two_zones_and_a_start(void) {
    estate_t *estate = estate_start(1, FLAGS);
    zone_evacuate(estate, "zone-nowhere", TRUE);
    zone_evacuate(estate, "zone-2", TRUE);
    g_usleep(300000);
    zone_evacuate(estate, "zone-1", TRUE);
    g_usleep(EVACUATE_MS * 1000);
    process_kill(&estate->nodes[0].process);
    estate_node_launch(estate, 0);
    estate_wait_ready(estate, 0);
    int64_t started_ms = harness_now_ms();
    g_assert_cmpint(asked(estate, 0, "/lock/x", "none", EDGE_DEADLINE), ==, 503);
    g_assert_cmpint(harness_now_ms() - started_ms, <, 500);
    g_assert_cmpint(estate_runs(estate, "none"), ==, 0);
    zone_evacuate(estate, "zone-2", FALSE);
    g_usleep(1500000);
    g_assert_cmpint(asked(estate, 0, "/lock/x", "some", EDGE_DEADLINE), ==, 200);
    estate_stop(estate);
}

/* A route with allowed regions is served only there, whatever region the client names. If no engine
 * is in them, requests are refused at once without a run. */
static void test_homes(void) {
    estate_t *estate = estate_start(2, "--zone-regions=zone-1=north,zone-2=south");
    estate_configure(
        estate,
        "{\"name\":\"s\",\"host\":\"a.example\",\"pathPrefix\":\"/south/\",\"routeType\":"
        "\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\",\"allowedRegions\":[\"south\"]},"
        "{\"name\":\"w\",\"host\":\"a.example\",\"pathPrefix\":\"/west/\",\"routeType\":"
        "\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\",\"allowedRegions\":[\"west\"]}");
    g_usleep(1000000);
    int64_t started_ms = harness_now_ms();
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("home-%d", i);
        g_assert_cmpint(asked(estate, i % 2, "/south/x", id, EDGE_DEADLINE "Region: north\r\n"), ==,
                        200);
    }
    g_assert_cmpint(estate_runs_after(estate, "lock-1", started_ms), ==, 0);
    started_ms = harness_now_ms();
    g_assert_cmpint(asked(estate, 0, "/west/x", "west", EDGE_DEADLINE), ==, 503);
    g_assert_cmpint(harness_now_ms() - started_ms, <, 300);
    g_assert_cmpint(estate_runs(estate, "west"), ==, 0);
    /* The last engine in an allowed region stops. */
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(2500000);
    g_assert_cmpint(asked(estate, 0, "/south/x", "gone", EDGE_DEADLINE), ==, 503);
    g_assert_cmpint(estate_runs_after(estate, "lock-1", started_ms), ==, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/zones/evacuated-and-taken-back", test_evacuated_and_taken_back);
    g_test_add_func("/edge/zones/homes", test_homes);
    g_test_add_func("/edge/zones/models-move-ahead", test_models_move_ahead);
    g_test_add_func("/edge/zones/node-without-the-store", test_node_without_the_store);
    g_test_add_func("/edge/zones/two-zones-and-a-start", test_two_zones_and_a_start);
}

PROCESS_TEST_MAIN(tests_add)
