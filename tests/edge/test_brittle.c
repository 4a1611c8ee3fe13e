/* Engines that fall over when they have to reject too many requests in a second, for want of room.
 */
#include "edge.h"

#include <string.h>

#define NODES 3
#define CLIENTS 40
#define LOAD_MS 9000
/* Time after an engine first says that it is brittle for which falls aren't counted. */
#define KNOWN_AFTER_MS 3000

typedef struct client_t {
    const estate_t *estate;
    int number;
    int64_t until_ms;
    int served;
    int asked;
} client_t;

static gpointer client_run(gpointer data) {
    client_t *client = data;
    for (int i = 0; harness_now_ms() < client->until_ms; i++) {
        g_autofree char *id = g_strdup_printf("b-%d-%d", client->number, i);
        int node = (client->number + i) % NODES;
        wire_response_t *answer =
            wire_request(client->estate->nodes[node].clients_port, "/lock/x", id, EDGE_DEADLINE);
        client->served += answer->status == 200;
        client->asked++;
        wire_response_free(answer);
        g_usleep(5000);
    }
    return NULL;
}

static void engines_option(const estate_t *estate, const char *name, int value) {
    for (int i = 1; i <= ESTATE_LOCK_ENGINES; i++)
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"lock-%d\",\"name\":\"%s\","
                       "\"value\":%d}",
                       i, name, value);
}

/* Returns the crashes of engines from `from_ms` on. */
static int crashes_since(const estate_t *estate, int64_t from_ms) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *crash;
    json_array_foreach(json_object_get(seen, "crashes"), i, crash) count +=
        json_integer_value(json_object_get(crash, "at_ms")) >= from_ms;
    json_decref(seen);
    return count;
}

/* Far more clients than two small brittle engines have room for: nodes send them no more than they
 * may reject, once they know, and the engines go on serving. */
static void test_herd(void) {
    estate_t *estate = estate_start(NODES, NULL);
    GThread *threads[CLIENTS];
    client_t clients[CLIENTS];
    engines_option(estate, "work_ms", 60);
    engines_option(estate, "slots", 4);
    engines_option(estate, "room", 4);
    engines_option(estate, "brittle", 6);
    int64_t began_ms = harness_now_ms();
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = (client_t){estate, i, began_ms + LOAD_MS, 0, 0};
        threads[i] = g_thread_new("client", client_run, &clients[i]);
    }
    int served = 0;
    int asked = 0;
    for (int i = 0; i < CLIENTS; i++) {
        g_thread_join(threads[i]);
        served += clients[i].served;
        asked += clients[i].asked;
    }
    int falls = crashes_since(estate, began_ms + KNOWN_AFTER_MS);
    g_test_message("%d of %d served, %d falls, %d after %d ms", served, asked,
                   crashes_since(estate, 0), falls, KNOWN_AFTER_MS);
    g_assert_cmpint(falls, <=, 2); /* the rule: two and a tenth of the engines */
    g_assert_cmpint(served, >, 200);
    for (int i = 0; i < NODES; i++)
        g_assert_cmpfloat(estate_metric(estate, i, "poison_requests"), ==, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/brittle/herd", test_herd);
}

PROCESS_TEST_MAIN(tests_add)
