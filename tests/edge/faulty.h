/* A service "seat" whose engines seat-1 and seat-2 also send bytes that are no answer, and its
 * routes: /hold/ may run once, /tell/ streams and can't be resumed, /find/ may be repeated. */
#ifndef WICKBRIDGE_TEST_FAULTY_H
#define WICKBRIDGE_TEST_FAULTY_H

#include "edge.h"

#define FAULTY_ROUTE(name, type, attempts, timeout_ms)                                             \
    "{\"name\":\"" name "\",\"host\":\"a.example\",\"pathPrefix\":\"/" name                        \
    "/\",\"routeType\":\"" type "\",\"timeoutMs\":" #timeout_ms                                    \
    ",\"targetLatencyMs\":400,\"priority\":2,\"service\":\"seat\",\"maxAttempts\":" attempts "}"
#define FAULTY_ROUTES(timeout_ms)                                                                  \
    FAULTY_ROUTE("hold", "non_idempotent", "1", timeout_ms)                                        \
    "," FAULTY_ROUTE("tell", "streaming", "1", timeout_ms) "," FAULTY_ROUTE("find", "idempotent",  \
                                                                            "3", timeout_ms)

static inline void faulty_fault(const estate_t *estate, int engine, const char *fault, int count) {
    estate_command(estate,
                   "{\"do\":\"faulty-engine-fault\",\"engine\":\"seat-%d\",\"fault\":\"%s\","
                   "\"count\":%d}",
                   engine, fault, count);
}

static inline void faulty_option(const estate_t *estate, int engine, const char *name, int value) {
    estate_command(estate,
                   "{\"do\":\"faulty-engine-option\",\"engine\":\"seat-%d\",\"name\":\"%s\","
                   "\"value\":%d}",
                   engine, name, value);
}

/* Streams that may be resumed, at up to three engines. */
#define FAULTY_STREAM_ROUTE                                                                        \
    "{\"name\":\"go\",\"host\":\"a.example\",\"pathPrefix\":\"/go/\",\"routeType\":\"streaming\""  \
    ",\"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"seat\","             \
    "\"maxAttempts\":3,\"resumable\":true,\"targetGapMs\":400}"

/* Starts nodes with so many engines of the service, and waits until the first node serves it. */
static inline estate_t *faulty_start(int nodes, int engines, const char *flags) {
    estate_t *estate = estate_start(nodes, flags);
    estate_wait_retry_share(estate, 0, nodes);
    estate->services = ",{\"name\":\"seat\",\"maxConnections\":50}";
    estate_configure(estate, FAULTY_ROUTES(3000));
    for (int i = 1; i <= engines; i++)
        estate_command(estate,
                       "{\"do\":\"faulty-engine-start\",\"engine\":\"seat-%d\",\"options\":"
                       "{\"service\":\"seat\",\"zone\":\"zone-%d\",\"events\":1}}",
                       i, i);
    g_usleep(600000); /* until engines and routes are known */
    for (int i = 0, served = 0; served < 4; i++) {
        g_autofree char *id = g_strdup_printf("warm-%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/hold/x", id, EDGE_DEADLINE);
        g_assert_cmpint(i, <, 100);
        served += answer->status == 200;
        wire_response_free(answer);
        g_usleep(20000);
    }
    return estate;
}

/* Starts two nodes with three engines of the service "seat" behind a proxy, and cuts node 0 off
 * from them: its streams lead through node 1. */
static inline estate_t *faulty_start_streams_by_peer(void) {
    enum { ENGINES = 3, ALL = (1 << ESTATE_ENGINES) - 1 };
    static const char *const replaced[] = {"lock-1", "lock-2", "llm-1"};
    estate_t *estate = estate_start_partitionable(2, NULL);
    estate->services = ",{\"name\":\"seat\",\"maxConnections\":50}";
    estate_configure(estate, FAULTY_STREAM_ROUTE);
    for (int i = 0; i < ENGINES; i++) {
        estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\"}", replaced[i]);
        estate_command(estate,
                       "{\"do\":\"faulty-engine-start\",\"engine\":\"seat-%d\",\"options\":"
                       "{\"service\":\"seat\",\"zone\":\"zone-1\",\"events\":1,\"port\":%d,"
                       "\"announce_port\":%d}}",
                       i + 1, estate->engine_ports[i], estate->engine_proxy_ports[i]);
    }
    estate_wait_retry_share(estate, 0, 2);
    estate_partition(estate, 1, ALL, "silent");
    return estate;
}

/* Starts two nodes that reach the engines of the service "lock" through a proxy, and cuts node 0
 * off from them; seat-1 stands for lock-1. */
static inline estate_t *faulty_start_tunnelled(void) {
    estate_t *estate = estate_start_partitionable(2, NULL);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-1\"}");
    estate_command(estate,
                   "{\"do\":\"faulty-engine-start\",\"engine\":\"seat-1\",\"options\":{\"service\":"
                   "\"lock\",\"zone\":\"zone-1\",\"port\":%d,\"announce_port\":%d}}",
                   estate->engine_ports[0], estate->engine_proxy_ports[0]);
    estate_wait_retry_share(estate, 0, 2);
    estate_partition(estate, 1, 3, "silent");
    return estate;
}

#endif
