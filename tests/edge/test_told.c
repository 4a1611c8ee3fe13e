/* Nodes must respect what engines report in response headers: limits, draining and backoff. */
#include "edge.h"

#include "harness/limit_oracle.h"

#include <stdlib.h>
#include <string.h>

/* Time after the first report of a limit until nodes must respect it. */
#define LIMIT_GRACE_MS 3000
#define DRAIN_MS 2000
#define BACKOFF_MS 3000
/* Time after the engine's first Retry-After from which arrivals count as violations. */
#define BACKOFF_GRACE_MS 500
#define CLIENTS_PER_NODE 3
#define CLIENT_INTERVAL_US 20000
/* Time after its start from which a node uses its share of amounts that all nodes divide. */
#define SHARES_SETTLE_MS 6000

/* A response as received by a client. */
typedef struct response_t {
    char id[32];
    char engine[32]; /* "": the response isn't from an engine */
    int node;
    gboolean limited;
    gboolean draining;
    int64_t sent_ms;
    int64_t answered_ms;
} response_t;

/* Clients of the lock service at each node; each sends one request after the other. */
typedef struct clients_t {
    const estate_t *estate;
    GMutex lock;
    GArray *responses; /* of response_t */
    GPtrArray *threads;
    gint next_number;
    gint stop;
} clients_t;

typedef struct client_t {
    clients_t *clients;
    int node;
} client_t;

/* Reads which engine ran a request: the stand-in's body ends with "at ENGINE". */
static void engine_read(const wire_response_t *answer, char *engine, gsize size) {
    const char *at = answer->body != NULL ? strstr(answer->body->str, " at ") : NULL;
    g_strlcpy(engine, at != NULL ? at + strlen(" at ") : "", size);
}

static gpointer client_run(gpointer data) {
    g_autofree client_t *client = data;
    clients_t *clients = client->clients;
    while (!g_atomic_int_get(&clients->stop)) {
        response_t response = {.node = client->node, .sent_ms = harness_now_ms()};
        g_snprintf(response.id, sizeof(response.id), "n%d-%d", client->node,
                   g_atomic_int_add(&clients->next_number, 1));
        wire_response_t *answer = wire_request(clients->estate->nodes[client->node].clients_port,
                                               "/lock/x", response.id, EDGE_DEADLINE);
        response.answered_ms = harness_now_ms();
        response.limited = strstr(answer->head->str, "Server-Limit") != NULL;
        response.draining = strstr(answer->head->str, "Server-Leaving: 1") != NULL;
        engine_read(answer, response.engine, sizeof(response.engine));
        wire_response_free(answer);
        g_mutex_lock(&clients->lock);
        g_array_append_val(clients->responses, response);
        g_mutex_unlock(&clients->lock);
        g_usleep(CLIENT_INTERVAL_US);
    }
    return NULL;
}

static clients_t *clients_start(const estate_t *estate) {
    clients_t *clients = g_new0(clients_t, 1);
    clients->estate = estate;
    g_mutex_init(&clients->lock);
    clients->responses = g_array_new(FALSE, FALSE, sizeof(response_t));
    clients->threads = g_ptr_array_new();
    for (int i = 0; i < estate->node_count * CLIENTS_PER_NODE; i++) {
        client_t *client = g_new0(client_t, 1);
        *client = (client_t){clients, i / CLIENTS_PER_NODE};
        g_ptr_array_add(clients->threads, g_thread_new("caller", client_run, client));
    }
    return clients;
}

static void clients_join(clients_t *clients) {
    g_atomic_int_set(&clients->stop, 1);
    for (guint i = 0; i < clients->threads->len; i++) {
        g_thread_join(g_ptr_array_index(clients->threads, i));
    }
    g_ptr_array_set_size(clients->threads, 0);
}

static void clients_free(clients_t *clients) {
    g_ptr_array_unref(clients->threads);
    g_array_unref(clients->responses);
    g_mutex_clear(&clients->lock);
    g_free(clients);
}

static void state_headers_set(const estate_t *estate, const char *engine, const char *lines) {
    estate_command(estate, "{\"do\":\"engine-state\",\"engine\":\"%s\",\"lines\":\"%s\"}", engine,
                   lines);
}

static void retry_after_set(const estate_t *estate, const char *engine, const char *retry_after) {
    estate_command(estate, "{\"do\":\"engine-rest\",\"engine\":\"%s\",\"retry_after\":\"%s\"}",
                   engine, retry_after);
}

/* Calls a function for each client request that arrived at an engine. The id names the node:
 * "nNODE-NUMBER". */
static void arrivals_visit(const estate_t *estate, const char *engine,
                           void (*visit)(const char *id, int node, int64_t at_ms, void *context),
                           void *context) {
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        const char *id = json_string_value(json_object_get(arrival, "id"));
        const char *at = json_string_value(json_object_get(arrival, "engine"));
        if (*id == 'n' && strcmp(at, engine) == 0) {
            visit(id, atoi(id + 1), json_integer_value(json_object_get(arrival, "at_ms")), context);
        }
    }
    json_decref(seen);
}

static void arrival_record(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    limit_oracle_arrival(context, node, at_ms);
}

static void arrival_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    (void)node;
    (void)at_ms;
    (*(unsigned *)context)++;
}

static unsigned arrivals_count(const estate_t *estate, const char *engine) {
    unsigned count = 0;
    arrivals_visit(estate, engine, arrival_count, &count);
    return count;
}

/* Checks the bound on arrivals at a limited engine. Returns the arrivals of its fullest window. */
static unsigned limit_check(const clients_t *clients, const char *engine, double per_s,
                            int64_t reported_ms) {
    limit_oracle_t *oracle = limit_oracle_create(per_s, LIMIT_GRACE_MS);
    limit_oracle_reported(oracle, reported_ms);
    for (guint i = 0; i < clients->responses->len; i++) {
        const response_t *response = &g_array_index(clients->responses, response_t, i);
        if (response->limited && strcmp(response->engine, engine) == 0) {
            limit_oracle_forwarded(oracle, response->node, response->answered_ms);
        }
    }
    arrivals_visit(clients->estate, engine, arrival_record, oracle);
    limit_window_t worst = limit_oracle_fullest_window(oracle);
    g_test_message("%s: %u in 4 s, %.1f allowed", engine, worst.arrivals, worst.allowed);
    g_assert_cmpfloat(worst.arrivals, <=, worst.allowed);
    limit_oracle_free(oracle);
    return worst.arrivals;
}

static void limits_test(const char *lines, double per_s) {
    estate_t *estate = estate_start(3, NULL);
    g_usleep(SHARES_SETTLE_MS * 1000);
    clients_t *clients = clients_start(estate);
    g_usleep(500000);
    int64_t reported_ms = harness_now_ms();
    state_headers_set(estate, "lock-1", lines);
    state_headers_set(estate, "lock-2", lines);
    g_usleep(13000000);
    clients_join(clients);
    unsigned arrivals = limit_check(clients, "lock-1", per_s, reported_ms) +
                        limit_check(clients, "lock-2", per_s, reported_ms);
    /* Nodes must also use what the limit allows. */
    g_assert_cmpfloat(arrivals, >=, per_s * 4);
    clients_free(clients);
    estate_stop(estate);
}

/* Guards against more arrivals at engines than their reported limit allows. */
static void test_limit_is_kept(void) {
    limits_test("Server-Limit: 1\\r\\n", 1);
}

static void test_limit_of_a_fraction(void) {
    limits_test("Server-Limit: 0.4\\r\\n", 0.4);
}

static void test_limit_of_many(void) {
    limits_test("Server-Limit: 12\\r\\n", 12);
}

/* An engine with limit 0 gets almost no requests. */
static void test_limit_of_none_ends(void) {
    limits_test("Server-Limit: 0\\r\\n", 0);
}

/* After a limit has ended all nodes use the engine again, also those that had no share of the limit
 * and so received no response from it. */
static void test_limit_ends(void) {
    estate_t *estate = estate_start(3, NULL);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(SHARES_SETTLE_MS * 1000);
    clients_t *clients = clients_start(estate);
    state_headers_set(estate, "lock-1", "Server-Limit: 0.4\\r\\n");
    g_usleep(5000000);
    state_headers_set(estate, "lock-1", "");
    g_usleep(15000000);
    clients_join(clients);
    clients_free(clients);
    for (int i = 0; i < 30; i++) {
        g_autofree char *id = g_strdup_printf("after-%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[i % 3].clients_port, "/lock/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

/* A response without the engine's seal or name must not end a limit: it may not be the engine's. */
static void test_unsealed_answer_ends_no_limit(void) {
    estate_t *estate = estate_start(1, NULL);
    int port = estate->nodes[0].clients_port;
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(5000000);
    state_headers_set(estate, "lock-1", "Server-Limit: 1\\r\\n");
    wire_response_free(wire_request(port, "/lock/x", "u1", EDGE_DEADLINE));
    state_headers_set(estate, "lock-1", "");
    g_usleep(50000);
    estate_command(estate, "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"unsealed\","
                           "\"count\":1}");
    wire_response_free(wire_request(port, "/lock/x", "u2", EDGE_DEADLINE));
    g_usleep(300000); /* logs are flushed ten times a second */
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-limited\""));
    g_assert_false(estate_log_has(estate, 0, "\"event\":\"engine-limit-ended\""));
    wire_response_free(wire_request(port, "/lock/x", "u3", EDGE_DEADLINE));
    g_usleep(300000);
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-limit-ended\""));
    estate_stop(estate);
}

/* Counts requests that reached a draining engine although their client sent them more than DRAIN_MS
 * after the node had forwarded a response that reports draining. */
typedef struct draining_check_t {
    const clients_t *clients;
    int64_t told_ms[ESTATE_NODES]; /* first response per node that reports draining; 0: none */
    unsigned late;
} draining_check_t;

static void late_arrival_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)at_ms;
    draining_check_t *check = context;
    for (guint i = 0; i < check->clients->responses->len; i++) {
        const response_t *response = &g_array_index(check->clients->responses, response_t, i);
        if (strcmp(response->id, id) == 0 && check->told_ms[node] != 0 &&
            response->sent_ms > check->told_ms[node] + DRAIN_MS) {
            check->late++;
        }
    }
}

static void draining_assert(const clients_t *clients, const char *engine) {
    draining_check_t check = {.clients = clients};
    for (guint i = 0; i < clients->responses->len; i++) {
        const response_t *response = &g_array_index(clients->responses, response_t, i);
        int64_t *told_ms = &check.told_ms[response->node];
        if (response->draining && (*told_ms == 0 || response->answered_ms < *told_ms)) {
            *told_ms = response->answered_ms;
        }
    }
    g_assert_true(check.told_ms[0] != 0 || check.told_ms[1] != 0);
    arrivals_visit(clients->estate, engine, late_arrival_count, &check);
    g_test_message("%u requests later than %d ms after the node had passed the word on", check.late,
                   DRAIN_MS);
    g_assert_cmpuint(check.late, ==, 0);
}

/* Guards against requests sent to an engine more than the drain time after it reported draining in
 * a response, while its row in the store still says that it is ready. */
static void test_leaving_is_kept(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    clients_t *clients = clients_start(estate);
    g_usleep(500000);
    state_headers_set(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    g_usleep(5000000);
    clients_join(clients);
    draining_assert(clients, "lock-1");
    clients_free(clients);
    estate_stop(estate);
}

/* The same if the engine's row expires, is removed, and is written again as ready, without a
 * restart of the engine. */
static void test_leaving_outlives_the_row(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    clients_t *clients = clients_start(estate);
    g_usleep(500000);
    state_headers_set(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    g_usleep(1000000);
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":1}");
    estate_command(estate, "{\"do\":\"put\",\"table\":\"servers\",\"key\":\"lock-1\"}");
    g_usleep(8000000);
    state_headers_set(estate, "lock-1", "");
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":0}");
    g_usleep(2000000);
    clients_join(clients);
    draining_assert(clients, "lock-1");
    clients_free(clients);
    estate_stop(estate);
}

/* A restart of the engine under its id ends its draining state. */
static void test_leaving_ends_with_a_start(void) {
    estate_t *estate = estate_start(1, "--drain-ms=2000");
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"same_id\","
                           "\"value\":1}");
    g_usleep(1000000);
    state_headers_set(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/lock/x", "l1", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"lock-1\"}");
    g_usleep(3000000);
    answer = wire_request(estate->nodes[0].clients_port, "/lock/x", "l2", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    estate_stop(estate);
}

/* A model whose only engine reports draining in a response is loaded on another engine, though the
 * engine's row never says so. */
static void test_leaving_moves_models(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    state_headers_set(estate, "llm-2", "Server-Leaving: 1\\r\\n");
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/chat/x", "m1", EDGE_MODEL("m2"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    g_usleep(2500000);
    for (int i = 0; i < 2; i++) {
        g_autofree char *id = g_strdup_printf("m2-%d", i);
        answer = wire_request(estate->nodes[i].clients_port, "/chat/x", id, EDGE_MODEL("m2"));
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), >=, 1);
    estate_stop(estate);
}

/* A limited engine still loads adapters of its models; these need no other replica. */
static void test_adapter_at_a_limited_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    int port = estate->nodes[0].clients_port;
    state_headers_set(estate, "llm-2", "Server-Limit: 2\\r\\n");
    wire_response_free(wire_request(port, "/chat/x", "l1", EDGE_MODEL("m2")));
    g_usleep(5000000);
    wire_response_t *answer = wire_request(port, "/chat/x", "l2", EDGE_MODEL("m2/a1"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), ==, 1);
    estate_stop(estate);
}

/* What an engine reports must not be attributed to another engine whose row names its address. */
static void test_answer_of_another_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":1}");
    g_usleep(500000);
    /* The row of lock-1 now has the address of lock-2, which rejects requests for lock-1. */
    estate_command(estate,
                   "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"announce_port\","
                   "\"value\":%d}",
                   estate->engine_ports[1]);
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":0}");
    state_headers_set(estate, "lock-2", "Server-Leaving: 1\\r\\n");
    g_usleep(1000000);
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("w%d", i);
        wire_response_free(
            wire_request(estate->nodes[0].clients_port, "/lock/x", id, EDGE_DEADLINE));
    }
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-leaving\",\"engine\":\"lock-2\""));
    g_assert_false(estate_log_has(estate, 0, "\"event\":\"engine-leaving\",\"engine\":\"lock-1\""));
    estate_stop(estate);
}

static void log_wait(const estate_t *estate, int node, const char *text) {
    int64_t until_ms = harness_now_ms() + 5000;
    while (!estate_log_has(estate, node, text)) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(20000);
    }
}

/* Engine state that one node received is sent to all nodes, also after the controller has changed
 * and to a node that starts later. */
static void test_others_learn(void) {
    static const char limited[] =
        "\"event\":\"engine-state-news\",\"engine\":\"lock-1\",\"limited\":true";
    static const char draining[] =
        "\"event\":\"engine-state-news\",\"engine\":\"lock-2\",\"limited\":false,\"per_s\":0,"
        "\"leaving\":true";
    estate_t *estate = estate_start(3, NULL);
    int controller = estate_wait_controller(estate, 5000);
    int receiver = (controller + 1) % 3;
    int other = (controller + 2) % 3;
    state_headers_set(estate, "lock-1", "Server-Limit: 1\\r\\n");
    state_headers_set(estate, "lock-2", "Server-Leaving: 1\\r\\n");
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("o%d", i);
        wire_response_free(
            wire_request(estate->nodes[receiver].clients_port, "/lock/x", id, EDGE_DEADLINE));
    }
    log_wait(estate, controller, limited);
    log_wait(estate, other, limited);
    log_wait(estate, other, draining);
    /* Nodes don't report back state that they got from other nodes. */
    g_assert_false(estate_log_has(estate, receiver, "engine-state-news"));
    process_kill(&estate->nodes[controller].process);
    estate_node_launch(estate, controller);
    log_wait(estate, controller, limited);
    log_wait(estate, controller, draining);
    estate_stop(estate);
}

/* Arrivals from one node during the backoff that the engine asked of it. */
typedef struct backoff_check_t {
    int64_t first_rejected_ms; /* first rejected request of the node; 0: none */
    unsigned arrivals;
} backoff_check_t;

static void backoff_arrival_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    backoff_check_t *check = &((backoff_check_t *)context)[node];
    if (check->first_rejected_ms == 0) {
        check->first_rejected_ms = at_ms;
    }
    check->arrivals += at_ms > check->first_rejected_ms + BACKOFF_GRACE_MS &&
                       at_ms < check->first_rejected_ms + BACKOFF_MS - 50;
}

/* Guards against requests (other ones, and retries of the rejected one) to an engine from which the
 * node got a Retry-After that hasn't passed. */
static void test_rest_is_kept(void) {
    estate_t *estate = estate_start(2, NULL);
    retry_after_set(estate, "lock-1", "3");
    clients_t *clients = clients_start(estate);
    g_usleep(2800000);
    clients_join(clients);
    backoff_check_t checks[ESTATE_NODES] = {0};
    arrivals_visit(estate, "lock-1", backoff_arrival_count, checks);
    for (int i = 0; i < 2; i++) {
        g_test_message("node %d: %u requests in the time of rest", i, checks[i].arrivals);
        g_assert_cmpuint(checks[i].arrivals, <=, 2);
    }
    /* The other engine serves requests meanwhile. */
    g_assert_cmpuint(arrivals_count(estate, "lock-2"), >, 50);
    clients_free(clients);
    estate_stop(estate);
}

/* Without another engine, a request that can't be served in time is refused at once, with a
 * Retry-After at the end of the backoff; after it requests are served. */
static void test_rest_of_the_only_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(1000000);
    retry_after_set(estate, "lock-1", "3");
    int port = estate->nodes[0].clients_port;
    wire_response_free(wire_request(port, "/lock/x", "n0-1", EDGE_DEADLINE));
    retry_after_set(estate, "lock-1", "");
    g_usleep(600000);
    int64_t sent_ms = harness_now_ms();
    wire_response_t *answer = wire_request(port, "/lock/x", "n0-2", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - sent_ms, <, 300);
    const char *header = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(header);
    double retry_after_s = g_ascii_strtod(header + strlen("Retry-After: "), NULL);
    g_assert_cmpfloat(retry_after_s, >, 2.0);
    g_assert_cmpfloat(retry_after_s, <, 2.7);
    wire_response_free(answer);
    g_usleep((gulong)(retry_after_s * 1000000));
    answer = wire_request(port, "/lock/x", "n0-3", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Malformed and out-of-range header values are counted and otherwise ignored. */
static void test_absurd_values(void) {
    static const char *const lines[] = {"Server-Limit: -1\\r\\n",
                                        "Server-Limit:\\r\\n",
                                        "Server-Limit: nan\\r\\n",
                                        "Server-Limit: 1000000000000\\r\\n",
                                        "Server-Limit: 1\\r\\nServer-Limit: 0\\r\\n",
                                        "Server-Leaving: perhaps\\r\\n",
                                        "Server-Leaving: 1\\r\\nServer-Leaving: 1\\r\\n"};
    estate_t *estate = estate_start(1, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(lines); i++) {
        state_headers_set(estate, "lock-1", lines[i]);
        state_headers_set(estate, "lock-2", lines[i]);
        for (int j = 0; j < 6; j++) {
            g_autofree char *id = g_strdup_printf("a%zu-%d", i, j);
            wire_response_t *answer =
                wire_request(estate->nodes[0].clients_port, "/lock/x", id, EDGE_DEADLINE);
            g_assert_cmpint(answer->status, ==, 200);
            wire_response_free(answer);
        }
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "engine_figures_refused_total"), >=,
                      6 * G_N_ELEMENTS(lines));
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/told/limit-is-kept", test_limit_is_kept);
    g_test_add_func("/edge/told/limit-of-a-fraction", test_limit_of_a_fraction);
    g_test_add_func("/edge/told/limit-of-many", test_limit_of_many);
    g_test_add_func("/edge/told/limit-of-none-ends", test_limit_of_none_ends);
    g_test_add_func("/edge/told/limit-ends", test_limit_ends);
    g_test_add_func("/edge/told/unsealed-answer-ends-no-limit", test_unsealed_answer_ends_no_limit);
    g_test_add_func("/edge/told/leaving-is-kept", test_leaving_is_kept);
    g_test_add_func("/edge/told/leaving-outlives-the-row", test_leaving_outlives_the_row);
    g_test_add_func("/edge/told/leaving-ends-with-a-start", test_leaving_ends_with_a_start);
    g_test_add_func("/edge/told/leaving-moves-models", test_leaving_moves_models);
    g_test_add_func("/edge/told/adapter-at-a-limited-engine", test_adapter_at_a_limited_engine);
    g_test_add_func("/edge/told/answer-of-another-engine", test_answer_of_another_engine);
    g_test_add_func("/edge/told/others-learn", test_others_learn);
    g_test_add_func("/edge/told/rest-is-kept", test_rest_is_kept);
    g_test_add_func("/edge/told/rest-of-the-only-engine", test_rest_of_the_only_engine);
    g_test_add_func("/edge/told/absurd-values", test_absurd_values);
}

PROCESS_TEST_MAIN(tests_add)
