/* A node that is stopped (SIGTERM) answers every request that it has read. */
#include "faulty.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Idle client connections are closed early enough to answer requests that still arrive on them. */
static void test_resting_connections_end_early(void) {
    estate_t *estate = estate_start(1, "--stop-grace-s=6");
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"llm-9\",\"options\":{\"service\":\"llm\","
                   "\"streams\":1,\"models\":[\"m7\"],\"events\":400,\"event_ms\":20}}");
    g_usleep(600000);
    int port = estate->nodes[0].clients_port;
    wire_t *idle = wire_open(port);
    wire_post(idle, "/lock/x", "k1", EDGE_DEADLINE, "hello");
    wire_response_t *answer = wire_read(idle, 3000);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    wire_t *streaming = wire_open(port);
    wire_post(streaming, "/chat/x", "k2", EDGE_MODEL("m7"), "hello");
    g_usleep(200000);
    process_signal(&estate->nodes[0].process, SIGTERM);
    int64_t stopped_ms = harness_now_ms();
    g_assert_true(wire_is_closed(idle, 4000));
    int64_t elapsed_ms = harness_now_ms() - stopped_ms;
    /* The load balancer must first see that the node is stopping. */
    g_assert_cmpint(elapsed_ms, >=, 2000);
    g_assert_cmpint(elapsed_ms, <=, 3300);
    wire_close(idle);
    wire_close(streaming);
    estate_stop(estate);
}

/* A request that arrives late in a stop is refused at once, without a run. */
static void test_late_request_is_refused(void) {
    estate_t *estate = estate_start(1, "--stop-grace-s=6");
    int port = estate->nodes[0].clients_port;
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"llm-9\",\"options\":{\"service\":\"llm\","
                   "\"streams\":1,\"models\":[\"m7\"],\"events\":400,\"event_ms\":20}}");
    g_usleep(600000);
    wire_t *streaming = wire_open(port);
    wire_post(streaming, "/chat/x", "l1", EDGE_MODEL("m7"), "hello");
    g_usleep(200000);
    process_signal(&estate->nodes[0].process, SIGTERM);
    g_usleep(3500000);
    wire_response_t *answer = wire_request(port, "/chat/x", "l2", EDGE_MODEL("m0"));
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_nonnull(strstr(answer->head->str, "Retry-After: "));
    g_assert_cmpint(estate_runs(estate, "l2"), ==, 0);
    wire_response_free(answer);
    wire_close(streaming);
    estate_stop(estate);
}

/* Requests that run at SIGTERM are finished, and then the process exits. */
static void test_running_requests_finish(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"llm-9\",\"options\":{\"service\":\"llm\","
                   "\"streams\":1,\"models\":[\"m7\"],\"events\":50,\"event_ms\":20}}");
    g_usleep(600000);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, "/chat/x", "f1", EDGE_MODEL("m7"), "hello");
    g_usleep(200000);
    process_signal(&estate->nodes[0].process, SIGTERM);
    g_usleep(100000);
    g_assert_false(estate_node_is_ready(estate, 0));
    wire_response_t *answer = wire_read(wire, 5000);
    g_assert_true(answer->whole);
    wire_response_free(answer);
    wire_close(wire);
    g_assert_cmpint(process_stop(&estate->nodes[0].process, 6000), ==, 0);
    estate_stop(estate);
}

/* A request that arrives while the process is paused at the end of a stop is answered. */
static void test_request_beside_the_end(void) {
    estate_t *estate = estate_start(2, "--stop-grace-s=6");
    while (estate_controller(estate) < 0) {
        g_usleep(50000);
    }
    /* The controller would take longer to stop, because it releases its lease. */
    int other = 1 - estate_controller(estate);
    process_t *process = &estate->nodes[other].process;
    process_signal(process, SIGTERM);
    g_usleep(2450000);
    process_signal(process, SIGSTOP);
    wire_t *wire = wire_open(estate->nodes[other].clients_port);
    wire_post(wire, "/lock/x", "e1", EDGE_DEADLINE, "hello");
    g_usleep(300000);
    process_signal(process, SIGCONT);
    wire_response_t *answer = wire_read(wire, 3000);
    g_assert_nonnull(answer);
    g_assert_true(answer->whole);
    wire_response_free(answer);
    wire_close(wire);
    estate_stop(estate);
}

/* Guards against connections that are reset in the queue of those to be accepted: more of them than
 * one round of the loop accepts, while the process is paused at the end of a stop. */
static void test_crowd_beside_the_end(void) {
    enum { CROWD = 150 };
    estate_t *estate = estate_start(2, "--stop-grace-s=6");
    while (estate_controller(estate) < 0) {
        g_usleep(50000);
    }
    int other = 1 - estate_controller(estate);
    process_t *process = &estate->nodes[other].process;
    process_signal(process, SIGTERM);
    g_usleep(2450000);
    process_signal(process, SIGSTOP);
    wire_t *wires[CROWD];
    for (int i = 0; i < CROWD; i++) {
        g_autofree char *id = g_strdup_printf("e%d", i);
        wires[i] = wire_open(estate->nodes[other].clients_port);
        wire_post(wires[i], "/lock/x", id, EDGE_DEADLINE, "hello");
    }
    g_usleep(300000);
    process_signal(process, SIGCONT);
    int whole = 0;
    for (int i = 0; i < CROWD; i++) {
        wire_response_t *answer = wire_read(wires[i], 3000);
        whole += answer != NULL && answer->whole;
        if (answer != NULL)
            wire_response_free(answer);
        wire_close(wires[i]);
    }
    g_assert_cmpint(whole, ==, CROWD);
    estate_stop(estate);
}

/* A request that waits for its model is refused in time before a stop ends. */
static void test_waiting_requests_are_answered(void) {
    estate_t *estate = estate_start(1, "--stop-grace-s=4");
    int port = estate->nodes[0].clients_port;
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"busy\"}");
    g_usleep(2500000); /* the lease expires, so no models are loaded */
    process_signal(&estate->nodes[0].process, SIGTERM);
    int64_t stopped_ms = harness_now_ms();
    g_usleep(2500000);
    wire_t *wire = wire_open(port);
    wire_post(wire, "/chat/x", "w1", "Model: m5\r\nRequest-Deadline-Ms: 20000\r\n", "hello");
    wire_response_t *answer = wire_read(wire, 5000);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_nonnull(strstr(answer->head->str, "Retry-After: "));
    g_test_message("answered after %d ms", (int)(harness_now_ms() - stopped_ms));
    g_assert_cmpint(harness_now_ms() - stopped_ms, <, 3300);
    wire_response_free(answer);
    wire_close(wire);
    estate_stop(estate);
}

/* Settings are applied on SIGHUP or when their file changes; a file with errors changes nothing. */
static void test_settings_reload(void) {
    g_autofree char *path =
        g_strdup_printf("%s/wickbridge-reload-%d.conf", g_get_tmp_dir(), (int)getpid());
    g_file_set_contents(path, "[wickbridge-edge]\nstop-grace-s=20\n", -1, NULL);
    g_setenv("WICKBRIDGE_BOOT", path, TRUE);
    estate_t *estate = estate_start(1, NULL);
    g_unsetenv("WICKBRIDGE_BOOT");
    g_file_set_contents(path, "[wickbridge-edge]\nstop-grace-s=soon\n", -1, NULL);
    process_signal(&estate->nodes[0].process, SIGHUP);
    g_usleep(500000);
    g_assert_true(estate_log_has(estate, 0, "\"good\":false,\"reason\":\""));
    g_file_set_contents(
        path, "[wickbridge-edge]\nstop-grace-s=4\nlease-quiet-ms=1\nstore-look-s=3\n", -1, NULL);
    process_signal(&estate->nodes[0].process, SIGHUP);
    g_usleep(500000);
    g_assert_true(estate_log_has(estate, 0, "\"good\":true,\"reason\":\"\",\"for_a_start\":2"));
    g_usleep(2500000);
    g_file_set_contents(path, "[wickbridge-edge]\nstop-grace-s=5\n", -1, NULL); /* no signal */
    g_usleep(2500000);
    g_assert_true(estate_log_has(estate, 0, "\"good\":true,\"reason\":\"\",\"for_a_start\":0"));
    process_signal(&estate->nodes[0].process, SIGTERM);
    g_usleep(300000);
    g_assert_true(estate_log_has(estate, 0, "\"grace_s\":5"));
    remove(path);
    estate_stop(estate);
}

#define SLOW_CLIENTS 4
#define SLOW_ANSWER_BYTES 600000
#define SLOW_BYTES_PER_S 100000
#define SLOW_PIECE_BYTES 5000

/* A client behind a slow link: its kernel holds little, and it reads slowly. */
typedef struct slow_client_t {
    int descriptor;
    int port;
    int number;
    size_t received;
    gboolean ended; /* the end of the chunks has arrived */
} slow_client_t;

static int slow_connect(int port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    int receive_bytes = 4096;
    int segment_bytes = 1400;
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
    g_assert_cmpint(connect(descriptor, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    return descriptor;
}

static gpointer slow_client_run(gpointer data) {
    static const char end[] = "\r\n0\r\n\r\n";
    slow_client_t *client = data;
    g_autoptr(GString) tail = g_string_new(NULL);
    g_autofree char *request = g_strdup_printf(
        "POST /tell/x HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: slow-%d\r\n"
        "Request-Deadline-Ms: 15000\r\nContent-Length: 5\r\n\r\nhello",
        client->number);
    client->descriptor = slow_connect(client->port);
    g_assert_cmpint(write(client->descriptor, request, strlen(request)), ==, strlen(request));
    while (!client->ended) {
        char piece[SLOW_PIECE_BYTES];
        struct pollfd polled = {.fd = client->descriptor, .events = POLLIN};
        ssize_t length =
            poll(&polled, 1, 8000) == 1 ? read(client->descriptor, piece, sizeof(piece)) : 0;
        if (length <= 0)
            break;
        client->received += (size_t)length;
        g_string_append_len(tail, piece, length);
        client->ended = g_str_has_suffix(tail->str, end);
        g_string_erase(tail, 0, (gssize)MAX(tail->len, sizeof(end)) - (gssize)sizeof(end));
        g_usleep((gulong)(1000000LL * length / SLOW_BYTES_PER_S));
    }
    close(client->descriptor);
    return NULL;
}

/* Guards against a planned stop that ends the process while answers, which no request waits for any
 * more in the node, are still on their way to slow clients. */
static void test_slow_clients_get_their_answers(void) {
    estate_t *estate = faulty_start(1, 1, "--stop-grace-s=12");
    slow_client_t clients[SLOW_CLIENTS] = {{0}};
    GThread *threads[SLOW_CLIENTS];
    estate_configure(estate, FAULTY_ROUTES(15000));
    g_usleep(500000);
    faulty_option(estate, 1, "event_bytes", SLOW_ANSWER_BYTES);
    faulty_fault(estate, 1, "long-event", SLOW_CLIENTS);
    for (int i = 0; i < SLOW_CLIENTS; i++) {
        clients[i] = (slow_client_t){.port = estate->nodes[0].clients_port, .number = i};
        threads[i] = g_thread_new("slow", slow_client_run, &clients[i]);
    }
    g_usleep(500000);
    process_signal(&estate->nodes[0].process, SIGTERM);
    for (int i = 0; i < SLOW_CLIENTS; i++)
        g_thread_join(threads[i]);
    g_assert_cmpint(process_stop(&estate->nodes[0].process, 2000), ==, 0);
    for (int i = 0; i < SLOW_CLIENTS; i++) {
        g_test_message("client %d: %zu bytes, %s", i, clients[i].received,
                       clients[i].ended ? "whole" : "cut off");
        g_assert_true(clients[i].ended);
    }
    g_assert_true(estate_log_has(estate, 0, "\"unsent_bytes\":0"));
    estate_stop(estate);
}

#define LATE_CLIENTS 16
#define LATE_ANSWERS_MAX 4000

/* A request of a client, and what came of it. */
typedef struct late_request_t {
    char id[32];
    int64_t sent_ms;
    int status; /* 0: no answer */
    gboolean whole;
} late_request_t;

/* A client that goes on until its node's process is gone. */
typedef struct late_client_t {
    const estate_t *estate;
    const char *path;
    int number;
    gboolean keeps_connections;
    GArray *requests; /* of late_request_t */
} late_client_t;

/* Sends requests on one connection. */
static void late_connection_use(late_client_t *client, wire_t *wire) {
    gboolean is_open = TRUE;
    while (is_open) {
        late_request_t request = {.sent_ms = harness_now_ms()};
        g_snprintf(request.id, sizeof(request.id), "late-%d-%u", client->number,
                   client->requests->len);
        wire_post(wire, client->path, request.id, EDGE_DEADLINE, request.id);
        wire_response_t *answer = wire_read(wire, 9000);
        request.status = answer->status;
        request.whole = answer->whole;
        is_open = client->keeps_connections && answer->whole && !answer->closed &&
                  strstr(answer->head->str, "Connection: close") == NULL;
        wire_response_free(answer);
        g_array_append_val(client->requests, request);
        g_usleep(20000);
    }
}

static gpointer late_client_run(gpointer data) {
    late_client_t *client = data;
    wire_t *wire;
    while (client->requests->len < LATE_ANSWERS_MAX &&
           (wire = wire_try_open(client->estate->nodes[0].clients_port)) != NULL) {
        late_connection_use(client, wire);
        wire_close(wire);
    }
    return NULL;
}

/* Returns how many requests a client sent that were cut: without a whole answer, or with one that
 * promises nothing, though an engine had begun them. */
static int late_cuts_count(const late_client_t *client, int64_t stopped_ms) {
    int cuts = 0;
    for (guint i = 0; i < client->requests->len; i++) {
        const late_request_t *request = &g_array_index(client->requests, late_request_t, i);
        gboolean is_good = request->whole && (request->status == 200 || request->status == 503);
        int runs = is_good && request->status == 200 ? 1 : estate_runs(client->estate, request->id);
        if (is_good && request->status == 503)
            g_assert_cmpint(runs, ==, 0);
        if (is_good || runs == 0)
            continue;
        g_test_message("%s: %d, sent %d ms after the signal", request->id, request->status,
                       (int)(request->sent_ms - stopped_ms));
        cuts++;
    }
    return cuts;
}

/* Clients send requests that may run once all through a planned stop. */
static void late_test(int work_ms) {
    estate_t *estate = faulty_start(1, 2, "--stop-grace-s=8");
    late_client_t clients[LATE_CLIENTS];
    GThread *threads[LATE_CLIENTS];
    int cuts = 0;
    estate_configure(estate, FAULTY_ROUTES(6000));
    faulty_option(estate, 1, "work_ms", work_ms);
    faulty_option(estate, 2, "work_ms", work_ms);
    g_usleep(500000); /* until the routes are known */
    for (int i = 0; i < LATE_CLIENTS; i++) {
        clients[i] = (late_client_t){estate, "/hold/x", i, i % 2 == 0,
                                     g_array_new(FALSE, FALSE, sizeof(late_request_t))};
        threads[i] = g_thread_new("late", late_client_run, &clients[i]);
        g_usleep((gulong)work_ms * 1000 /
                 LATE_CLIENTS); /* so that some request comes at any time */
    }
    g_usleep(1000000);
    process_signal(&estate->nodes[0].process, SIGTERM);
    int64_t stopped_ms = harness_now_ms();
    g_assert_cmpint(process_stop(&estate->nodes[0].process, 9000), ==, 0);
    for (int i = 0; i < LATE_CLIENTS; i++) {
        g_thread_join(threads[i]);
        cuts += late_cuts_count(&clients[i], stopped_ms);
        g_array_unref(clients[i].requests);
    }
    g_assert_cmpint(cuts, ==, 0);
    estate_stop(estate);
}

/* Guards against a request that may run once, taken late in a planned stop and cut at its end. */
static void test_late_requests_end(void) {
    late_test(50);
    late_test(1500);
}

static void test_late_long_requests_end(void) {
    late_test(3000);
    late_test(5000);
}

static void tests_add(void) {
    g_test_add_func("/edge/stops/late-requests-end", test_late_requests_end);
    g_test_add_func("/edge/stops/late-long-requests-end", test_late_long_requests_end);
    g_test_add_func("/edge/stops/slow-clients-get-their-answers",
                    test_slow_clients_get_their_answers);
    g_test_add_func("/edge/stops/settings-reload", test_settings_reload);
    g_test_add_func("/edge/stops/waiting-requests-are-answered",
                    test_waiting_requests_are_answered);
    g_test_add_func("/edge/stops/resting-connections-end-early",
                    test_resting_connections_end_early);
    g_test_add_func("/edge/stops/crowd-beside-the-end", test_crowd_beside_the_end);
    g_test_add_func("/edge/stops/request-beside-the-end", test_request_beside_the_end);
    g_test_add_func("/edge/stops/late-request-is-refused", test_late_request_is_refused);
    g_test_add_func("/edge/stops/running-requests-finish", test_running_requests_finish);
}

PROCESS_TEST_MAIN(tests_add)
