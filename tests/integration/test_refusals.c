/* Malformed requests and requests without capacity are refused and not run, and the node keeps
 * serving. */
#include "integration.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

typedef struct invalid_request_t {
    const char *method;
    const char *path;
    const char *header;
    const char *body;
    long status;
} invalid_request_t;

static void test_bad_input(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1, .node_flags = "--body-limit-bytes=2000"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    g_autofree char *large = g_strnfill(5000, 'x');
    g_autofree char *long_header =
        g_strconcat("X-Long: ", large, large, large, large, large, large, NULL);
    static const char valid_body[] = "{\"model\":\"m1\",\"messages\":[]}";
    const invalid_request_t cases[] = {
        {"POST", "/v1/chat/completions", NULL, "{\"model\":", 400},
        {"POST", "/v1/chat/completions", NULL, "[]", 400},
        {"POST", "/v1/chat/completions", NULL, "{\"messages\":[]}", 400},
        {"POST", "/v1/chat/completions", NULL, "{\"model\":\"m1\"}", 400},
        {"POST", "/v1/chat/completions", NULL, "{\"model\":\"nobody\",\"messages\":[]}", 404},
        {"POST", "/v1/chat/completions", NULL, "{\"model\":\"m1:nobody\",\"messages\":[]}", 404},
        {"POST", "/v1/completions", NULL, "{\"model\":\"m1\"}", 400},
        {"POST", "/v1/chat/completions", NULL, large, 413},
        {"POST", "/v1/chat/completions", long_header, valid_body, 431},
        {"POST", "/v1/chat/completions", "Wickbridge-Deadline-Ms: soon", valid_body, 400},
        {"POST", "/v1/chat/completions", "Wickbridge-Deadline-Ms: -5", valid_body, 400},
        {"POST", "/v1/chat/completions", "Wickbridge-Repeatable: maybe", valid_body, 400},
        {"POST", "/v1/chat/completions", "Wickbridge-Owner: stranger", valid_body, 400},
        {"GET", "/v1/chat/completions", NULL, NULL, 405},
        {"DELETE", "/v1/models", NULL, NULL, 405},
        {"GET", "/v1/nothing", NULL, NULL, 404},
        {"POST", "/v1/services/nothing/x", NULL, "{}", 404},
        {"GET", "/v1/requests/unknown?model=m1", NULL, NULL, 404},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *headers[] = {cases[i].header, NULL};
        answer_t *answer = call(cases[i].method, cluster->nodes[0].clients_port, cases[i].path,
                                headers, cases[i].body, 20000);
        g_test_message("%s %s", cases[i].path, cases[i].body != NULL ? "with body" : "");
        g_assert_cmpint(answer->status, ==, cases[i].status);
        if (cases[i].status != 431) {
            g_assert_nonnull(strstr(answer->body, "\"error\""));
            g_assert_cmpstr(answer->verdict, ==, "not-run");
        }
        answer_free(answer);
    }
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 0);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 4));
    answer_free(answer);
    cluster_stop(cluster);
}

/* Connects and sends an incomplete request. */
static int stalled_sender_open(int port, const char *text) {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons((uint16_t)port)};
    g_assert_cmpint(connect(descriptor, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    g_assert_cmpint(send(descriptor, text, strlen(text), 0), ==, (int)strlen(text));
    return descriptor;
}

/* Stalled senders are disconnected and don't delay other clients. */
static void test_slow_senders(void) {
    enum { SENDERS = 50 };
    cluster_options_t options = {.nodes = 1, .engines = 1, .node_flags = "--sender-timeout-s=1"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    int senders[SENDERS];
    for (int i = 0; i < SENDERS; i++)
        senders[i] =
            stalled_sender_open(cluster->nodes[0].clients_port,
                                i % 2 == 0 ? "POST /v1/chat/comp"
                                           : "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                                             "Content-Length: 500\r\n\r\n{\"model\"");
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 4));
    answer_free(answer);
    for (int i = 0; i < SENDERS; i++) {
        struct timeval timeout = {.tv_sec = 30};
        char response[2048];
        setsockopt(senders[i], SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        /* a timeout response may precede the close */
        errno = 0;
        while (recv(senders[i], response, sizeof(response), 0) > 0)
            continue;
        g_assert_cmpint(errno, !=, EAGAIN);
        close(senders[i]);
    }
    cluster_stop(cluster);
}

/* A request whose load can't finish before its deadline is refused at once. */
static void test_late_wake_is_refused_at_once(void) {
    cluster_options_t options = {.nodes = 2, .engines = 1, .engine_flags = "--load-slowdown=100"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    /* The owner estimates 250 ms per GiB, without the slowdown; the deadline is below that. */
    static const char *const headers[] = {"Wickbridge-Deadline-Ms: 150", NULL};
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, headers);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpstr(answer->verdict, ==, "not-run");
    g_assert_nonnull(answer->retry_after);
    answer_free(answer);
    cluster_stop(cluster);
}

/* Without engines a request is refused early instead of waiting for its deadline. */
static void test_no_capacity(void) {
    cluster_options_t options = {.nodes = 2, .engines = 0};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    g_usleep(2500000); /* a new owner first polls for engines */
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpstr(answer->verdict, ==, "not-run");
    g_assert_nonnull(answer->retry_after);
    /* well before the deadline of 60 s */
    g_assert_cmpfloat(answer->seconds, <, 20.0);
    answer_free(answer);
    cluster_stop(cluster);
}

/* If all engines are full of models in use, waiting clients are refused, never dropped. */
static void test_burst_on_a_full_cell(void) {
    cluster_options_t options = {.nodes = 3,
                                 .engines = 1,
                                 .engine_flags = "--memory-mib=1100 --token-interval-ms=20",
                                 .node_flags = "--busy-wait-ms=500"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 1);
    crowd_call_t long_call = {cluster->nodes[0].clients_port, "m1", 400, ",\"stream\":true"};
    crowd_t *busy = crowd_start(&long_call, 1);
    g_usleep(2000000);
    enum { CALLERS = 30 };
    crowd_call_t calls[CALLERS];
    for (int i = 0; i < CALLERS; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % 3].clients_port, "m2", 4, NULL};
    crowd_t *crowd = crowd_start(calls, CALLERS);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 4) + crowd_refused(crowd), ==, CALLERS);
    crowd_join(busy);
    g_assert_cmpint(crowd_complete(busy, 400), ==, 1);
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    crowd_free(crowd);
    crowd_free(busy);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/refusals/bad-input", test_bad_input);
    g_test_add_func("/refusals/slow-senders", test_slow_senders);
    g_test_add_func("/refusals/late-wake-is-refused-at-once", test_late_wake_is_refused_at_once);
    g_test_add_func("/refusals/no-capacity", test_no_capacity);
    g_test_add_func("/refusals/burst-on-a-full-cell", test_burst_on_a_full_cell);
}

PROCESS_TEST_MAIN(tests_add)
