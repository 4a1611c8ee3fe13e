/* Engines that write their software version into each event, and streams that break and are taken
 * up. */
#ifndef WICKBRIDGE_TEST_VERSIONS_H
#define WICKBRIDGE_TEST_VERSIONS_H

#include "edge.h"

#include <string.h>

#define FLAGS "--lease-quiet-ms=1000 --lease-duration-ms=800 --retry-slack=300 --retry-ratio=1"
#define STREAMS 12
#define NODES 3
#define SETTLE_US 800000

/* Streams that are broken off go on at the next attempt ("chat") or only when their client comes
 * back ("once"). */
#define ROUTE_TO(name, prefix, attempts, service)                                                  \
    "{\"name\":\"" name "\",\"host\":\"a.example\",\"pathPrefix\":\"" prefix                       \
    "\",\"routeType\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":800,"                   \
    "\"priority\":1,\"service\":\"" service "\",\"maxAttempts\":" attempts                         \
    ",\"resumable\":true,\"targetGapMs\":400}"
#define ROUTE(name, attempts) ROUTE_TO(name, "/" name "/", attempts, "llm")

/* A service beside "llm", with model m3. */
#define OTHER_SERVICE                                                                              \
    ",{\"name\":\"other\",\"maxConnections\":100,\"engine\":{\"weightsMb\":2100,\"adapterSlots\":" \
    "2,"                                                                                           \
    "\"loadsPerS\":4,\"models\":[{\"name\":\"m3\",\"weightsMb\":1000,\"loadS\":0.2,\"adapters\":"  \
    "5,"                                                                                           \
    "\"adapterMb\":1,\"warmS\":0.1,\"diskS\":0.15}]}}"

static const char *const versions[] = {"v1", "v2"};

static inline void service_engine_start(const estate_t *estate, const char *service,
                                        const char *name, const char *version, const char *models) {
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"%s\","
                   "\"zone\":\"zone-1\",\"version\":\"%s\",\"streams\":1,\"models\":[%s],"
                   "\"load_ms\":200,\"weights_mb\":2100}}",
                   name, service, version, models);
}

static inline void engine_start(const estate_t *estate, const char *name, const char *version,
                                const char *models) {
    service_engine_start(estate, "llm", name, version, models);
}

static inline void engine_stop(const estate_t *estate, const char *name) {
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\",\"announce\":true}", name);
}

static inline void stream_fault_set(const estate_t *estate, const char *name, const char *fault,
                                    int count) {
    estate_command(estate,
                   "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"%s\",\"count\":%d}",
                   name, fault, count);
}

static inline void faults_set(const estate_t *estate, const char *fault, int count) {
    static const char *const engines[] = {"a1", "a2", "b1", "b2"};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++)
        stream_fault_set(estate, engines[i], fault, count);
}

static inline gboolean has_version(const wire_response_t *answer, const char *version) {
    g_autofree char *end = g_strdup_printf(" %s\n", version);
    return strstr(answer->body->str, end) != NULL;
}

/* Returns the version that wrote the answer's events, or NULL when there are none. */
static inline const char *version_of(const wire_response_t *answer) {
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
        if (has_version(answer, versions[i]))
            return versions[i];
    return NULL;
}

/* Begins streams that are broken off after two events. @param began out: their versions */
static inline void streams_begin(const estate_t *estate, int node, const char *began[STREAMS]) {
    faults_set(estate, "cut", 1000);
    for (int i = 0; i < STREAMS; i++) {
        g_autofree char *id = g_strdup_printf("s%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/once/x", id, EDGE_MODEL("m3"));
        began[i] = version_of(answer);
        g_assert_nonnull(began[i]);
        g_assert_false(answer->whole);
        wire_response_free(answer);
        g_usleep(150000);
    }
    faults_set(estate, "", 0);
    g_usleep(SETTLE_US);
}

/* Takes a stream up as its client does. */
static inline wire_response_t *stream_resume(const estate_t *estate, int node, int stream,
                                             const char *id) {
    g_autofree char *headers =
        g_strdup_printf(EDGE_MODEL("m3") "Last-Event-Id: 2\r\nResumes: s%d\r\n", stream);
    return wire_request(estate->nodes[node].clients_port, "/once/x", id, headers);
}

typedef struct resumed_t {
    int mixed;
    int whole;
} resumed_t;

/* Takes all streams up at two nodes in turn. */
static inline resumed_t streams_resume(const estate_t *estate, const char *const began[STREAMS],
                                       int first_node, int second_node) {
    resumed_t result = {0};
    for (int i = 0; i < STREAMS; i++) {
        g_autofree char *id = g_strdup_printf("r%d", i);
        wire_response_t *answer =
            stream_resume(estate, i % 2 == 0 ? first_node : second_node, i, id);
        const char *version = version_of(answer);
        result.mixed += version != NULL && strcmp(version, began[i]) != 0;
        result.whole += answer->status == 200 && answer->whole;
        g_test_message("s%d: began at %s, status %d at %s", i, began[i], answer->status,
                       version != NULL ? version : "none");
        wire_response_free(answer);
    }
    return result;
}

static inline void nodes_kill(estate_t *estate) {
    for (int i = 0; i < NODES; i++)
        process_kill(&estate->nodes[i].process);
}

static inline void nodes_launch(estate_t *estate) {
    for (int i = 0; i < NODES; i++)
        estate_node_launch(estate, i);
    for (int i = 0; i < NODES; i++)
        estate_wait_ready(estate, i);
    estate_wait_controller(estate, 8000);
    g_usleep(SETTLE_US);
}

/* All nodes are killed, and with them what they knew of streams. */
static inline void all_killed(estate_t *estate) {
    nodes_kill(estate);
    nodes_launch(estate);
}

/* Else a test would hold without having met a second version. */
static inline void assert_both_began(const char *const began[STREAMS]) {
    int first = 0;
    for (int i = 0; i < STREAMS; i++)
        first += strcmp(began[i], versions[0]) == 0;
    g_assert_cmpint(first, >, 0);
    g_assert_cmpint(first, <, STREAMS);
}

static inline void version_start(const estate_t *estate, const char *service, const char *version,
                                 const char *first, const char *second) {
    service_engine_start(estate, service, first, version, "\"m3\"");
    service_engine_start(estate, service, second, version, "\"m3\"");
}

static inline void version_stop(const estate_t *estate, const char *first, const char *second) {
    engine_stop(estate, first);
    engine_stop(estate, second);
}

/* Takes all streams up; none may get events of another version. */
static inline resumed_t assert_not_mixed(const estate_t *estate, const char *const began[STREAMS]) {
    resumed_t result = streams_resume(estate, began, 0, 1);
    g_test_message("%d mixed, %d whole", result.mixed, result.whole);
    g_assert_cmpint(result.mixed, ==, 0);
    return result;
}

/* Starts nodes with engines of both versions, or of the first only. */
static inline estate_t *versions_start(const char *flags, gboolean both) {
    estate_t *estate = estate_start(NODES, flags);
    estate_configure(estate, ROUTE("chat", "2") "," ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    version_start(estate, "llm", "v1", "a1", "a2");
    if (both)
        version_start(estate, "llm", "v2", "b1", "b2");
    estate_wait_controller(estate, 8000);
    for (int i = 0; i < NODES; i++)
        estate_wait_retry_share(estate, i, NODES);
    g_usleep(SETTLE_US);
    return estate;
}

/* The store comes back from a copy that is so old, and nothing is written again. */
static inline void store_roll_back(const estate_t *estate, int back_ms) {
    estate_command(estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":100,"
                   "\"rewrite_ms\":0}",
                   back_ms);
}

#endif
