/* Most new connections go to one of several nodes, which are opened more often than before:
 * requests must be served at the first try as they were when all nodes got their part. */
#include "edge.h"

#include <string.h>

#define NODES 4
#define THREADS 120
#define EVEN_MS 4000
#define FLOOD_MS 8000
/* From so long after the turn on, requests are compared. */
#define CONTACT_MS 3000
#define SERVED_RATIO 0.75
/* Nodes that have just started have no share of engines' limits. */
#define SHARES_KNOWN_US 6000000

/* A time in which requests are opened at a rate. */
typedef struct phase_t {
    int per_s;
    int nodes; /* the first so many get all of them */
    int64_t for_ms;
    int64_t counted_after_ms;
} phase_t;

typedef struct flood_t {
    estate_t *estate;
    const char *path;
    const char *headers;
    const phase_t *phase;
    int64_t began_ms;
    gint next; /* number of the next request */
    gint asked;
    gint served;
} flood_t;

/* Each thread takes the next request when it is due. */
static gpointer thread_run(gpointer data) {
    flood_t *flood = data;
    const phase_t *phase = flood->phase;
    for (;;) {
        int number = g_atomic_int_add(&flood->next, 1);
        int64_t due_ms = flood->began_ms + (int64_t)number * 1000 / phase->per_s;
        if (due_ms - flood->began_ms >= phase->for_ms) {
            return NULL;
        }
        while (harness_now_ms() < due_ms) {
            g_usleep(1000);
        }
        g_autofree char *id = g_strdup_printf("f%d-%d", phase->nodes, number);
        int port = flood->estate->nodes[number % phase->nodes].clients_port;
        wire_t *wire = wire_try_open(port);
        if (wire == NULL) {
            continue; /* a connection that is refused doesn't count */
        }
        wire_post(wire, flood->path, id, flood->headers, id);
        wire_response_t *answer = wire_read(wire, 4000);
        if (due_ms - flood->began_ms >= phase->counted_after_ms) {
            g_atomic_int_inc(&flood->asked);
            g_atomic_int_add(&flood->served, answer->status == 200 && answer->whole);
        }
        wire_response_free(answer);
        wire_close(wire);
    }
}

/* Returns the served share of a phase. */
static double phase_run(flood_t *flood, const phase_t *phase) {
    GThread *threads[THREADS];
    flood->phase = phase;
    flood->began_ms = harness_now_ms();
    flood->next = flood->asked = flood->served = 0;
    for (int i = 0; i < THREADS; i++) {
        threads[i] = g_thread_new("flood", thread_run, flood);
    }
    for (int i = 0; i < THREADS; i++) {
        g_thread_join(threads[i]);
    }
    g_test_message("%d a second at %d nodes: %d of %d served", phase->per_s, phase->nodes,
                   flood->served, flood->asked);
    g_assert_cmpint(flood->asked, >, 0);
    return (double)flood->served / flood->asked;
}

static void flood_run(estate_t *estate, const char *path, const char *headers, int even_per_s) {
    flood_t flood = {.estate = estate, .path = path, .headers = headers};
    phase_t even = {even_per_s, NODES, EVEN_MS, 0};
    phase_t turned = {even_per_s * 3 / 2, 1, FLOOD_MS, CONTACT_MS};
    estate_wait_controller(estate, 8000);
    g_usleep(SHARES_KNOWN_US);
    double before = phase_run(&flood, &even);
    double after = phase_run(&flood, &turned);
    g_assert_cmpfloat(after, >=, SERVED_RATIO * before);
}

/* 300 a second at one node, of calls and of streams. */
static void test_calls(void) {
    estate_t *estate = estate_start(NODES, NULL);
    flood_run(estate, "/look/x", "Request-Deadline-Ms: 2000\r\n", 200);
    estate_stop(estate);
}

static void test_streams(void) {
    estate_t *estate = estate_start(NODES, NULL);
    flood_run(estate, "/note/x",
              "Model: m0\r\nPrompt-Prefix: ab:50,cd:50\r\nRequest-Deadline-Ms: 3000\r\n", 200);
    estate_stop(estate);
}

/* The engines name a limit that all requests together keep to: the share of it that was for the
 * other nodes isn't asked for now. */
static void test_limited_engines(void) {
    estate_t *estate = estate_start(NODES, NULL);
    for (int i = 1; i <= ESTATE_LOCK_ENGINES; i++) {
        estate_command(estate,
                       "{\"do\":\"engine-state\",\"engine\":\"lock-%d\",\"lines\":"
                       "\"Server-Limit: 60\\r\\n\"}",
                       i);
    }
    flood_run(estate, "/look/x", "Request-Deadline-Ms: 2000\r\n", 60);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/flood/calls", test_calls);
    g_test_add_func("/edge/flood/streams", test_streams);
    g_test_add_func("/edge/flood/limited-engines", test_limited_engines);
}

PROCESS_TEST_MAIN(tests_add)
