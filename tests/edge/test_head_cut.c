/* Guards against an answer of which an engine has sent the beginning only, down to a part of its
 * head, and that reaches its client as a complete one. */
#include "faulty.h"

#include <string.h>

#define ROUTES                                                                                     \
    FAULTY_ROUTES(3000)                                                                            \
    ",{\"name\":\"go\",\"host\":\"a.example\",\"pathPrefix\":\"/go/\",\"routeType\":\"streaming\"" \
    ",\"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"seat\","             \
    "\"maxAttempts\":2,\"resumable\":true,\"targetGapMs\":400}"
#define WHOLE "data: whole\n\n"
/* More bytes than the longest form has: nothing is sent then but the end of the connection. */
#define LONGEST_BYTES 240

static const char *const forms[] = {"length",  "empty", "chunks", "trailers", "unframed",
                                    "interim", "hints", "204",    "304"};

/* A request as the engines' stand-in reads it (wb_estate_cut_answer). */
typedef struct cut_t {
    const char *method;
    const char *path;
    const char *form;
    int left_bytes; /* that are not sent */
    const char *end;
    gboolean is_kept; /* on a connection that has carried an answer */
    int runs_max;
} cut_t;

/* Sends a request with a body of its own: requests that break connections off aren't one another's
 * poison. */
static wire_response_t *request_send(int port, const cut_t *cut, const char *id) {
    wire_t *wire = wire_open(port);
    gboolean is_head = strcmp(cut->method, "HEAD") == 0;
    const char *body = is_head ? "" : id;
    wire_send(wire,
              "%s %s?%s HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: %s\r\n" EDGE_DEADLINE
              "Content-Length: %zu\r\n\r\n%s",
              cut->method, cut->path, id, id, strlen(body), body);
    wire_response_t *answer = wire_read(wire, 4000);
    wire_close(wire);
    return answer;
}

static char *cut_id(const cut_t *cut) {
    static int sent;
    return g_strdup_printf("%s.%d.%s.%d", cut->form, cut->left_bytes, cut->end, ++sent);
}

/* A client of an answer that broke off gets a failure that promises nothing, or what its engine had
 * sent and the end of its connection. */
static void assert_broken_off(int port, const cut_t *cut) {
    g_autofree char *id = cut_id(cut);
    wire_response_t *answer = request_send(port, cut, id);
    gboolean is_success = answer->status / 100 == 2;
    if (answer->status != 502)
        g_test_message("%s %s: %d, %s, %s", cut->path, id, answer->status,
                       answer->whole ? "whole" : "broken off", answer->body->str);
    g_assert_false(is_success && answer->whole);
    g_assert_true(is_success || answer->status == 502);
    g_assert_true(answer->status == 502 || g_str_has_prefix(WHOLE, answer->body->str));
    wire_response_free(answer);
}

/* Asserts how often each request ran. */
static void assert_runs(const estate_t *estate, int runs_max) {
    g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    json_t *records = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(records, "runs"), i, run) {
        const char *id = json_string_value(json_object_get(run, "id"));
        int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, id)) + 1;
        if (count > runs_max)
            g_test_message("%s: %d runs", id, count);
        g_assert_cmpint(count, <=, runs_max);
        g_hash_table_insert(counts, g_strdup(id), GINT_TO_POINTER(count));
    }
    json_decref(records);
}

static void warm(const estate_t *estate) {
    static int sent;
    g_autofree char *id = g_strdup_printf("kept-%d", ++sent);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/hold/x", id, EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
}

static void assert_whole(const estate_t *estate, int port, const cut_t *cut, int status,
                         const char *body) {
    g_autofree char *id = cut_id(cut);
    wire_response_t *answer = request_send(port, cut, id);
    g_test_message("%s %s: %d %s", cut->path, id, answer->status, answer->body->str);
    g_assert_cmpint(answer->status, ==, status);
    g_assert_cmpstr(answer->body->str, ==, body);
    g_assert_true(answer->whole);
    g_assert_cmpint(estate_runs(estate, id), ==, 1);
    wire_response_free(answer);
}

/* Cuts every form, with fewer and fewer bytes left. */
static int forms_cut(const estate_t *estate, int port, cut_t cut, int step) {
    int count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
        cut.form = forms[i];
        for (cut.left_bytes = 1; cut.left_bytes < LONGEST_BYTES; cut.left_bytes += step) {
            if (cut.is_kept)
                warm(estate);
            assert_broken_off(port, &cut);
            count++;
        }
    }
    return count;
}

static estate_t *start(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    estate_configure(estate, ROUTES);
    faulty_option(estate, 1, "cuts", 1);
    g_usleep(500000); /* until the routes are known */
    return estate;
}

typedef struct cuts_t {
    const char *name;
    cut_t cut;
    int step; /* bytes between two cuts */
} cuts_t;

/* /hold/ may run once, /tell/ is a stream that can't be resumed, /find/ may be repeated, /go/ is a
 * stream that may be resumed. */
static const cuts_t cuts_tests[] = {
    {"/edge/head-cut/each-byte", {"POST", "/hold/x", NULL, 0, "close", FALSE, 1}, 1},
    {"/edge/head-cut/reset", {"POST", "/hold/x", NULL, 0, "reset", FALSE, 1}, 3},
    {"/edge/head-cut/kept-connections", {"POST", "/hold/x", NULL, 0, "close", TRUE, 1}, 3},
    {"/edge/head-cut/kept-reset", {"POST", "/hold/x", NULL, 0, "reset", TRUE, 1}, 11},
    {"/edge/head-cut/streams", {"POST", "/tell/x", NULL, 0, "close", FALSE, 1}, 3},
    {"/edge/head-cut/repeatable", {"POST", "/find/x", NULL, 0, "close", FALSE, 3}, 3},
    {"/edge/head-cut/resumable-streams", {"POST", "/go/x", NULL, 0, "close", FALSE, 2}, 3},
};

static void test_cuts(gconstpointer data) {
    const cuts_t *test = data;
    const cut_t *cut = &test->cut;
    estate_t *estate = start();
    double reused = estate_metric(estate, 0, "engine_connections_reused_total");
    int count = forms_cut(estate, estate->nodes[0].clients_port, *cut, test->step);
    reused = estate_metric(estate, 0, "engine_connections_reused_total") - reused;
    assert_runs(estate, cut->runs_max);
    g_test_message("%s, %s: %d cuts, %.0f on kept connections", cut->path, cut->end, count, reused);
    if (cut->is_kept)
        g_assert_cmpfloat(reused, >=, count);
    estate_stop(estate);
}

/* The service "lock" has one engine, which answers in part; node 0 reaches it through node 1 only.
 */
static estate_t *tunnelled_start(void) {
    estate_t *estate = faulty_start_tunnelled();
    cut_t whole = {"POST", "/lock/x", "length", 0, "close", FALSE, 1};
    faulty_option(estate, 1, "cuts", 1);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    for (int served = 0, i = 0; served < 4; i++) {
        g_autofree char *id = cut_id(&whole);
        wire_response_t *answer = request_send(estate->nodes[0].clients_port, &whole, id);
        served += answer->status == 200 && strcmp(answer->body->str, WHOLE) == 0;
        g_assert_cmpint(i, <, 100);
        wire_response_free(answer);
    }
    return estate;
}

/* The end of a tunnel, too, isn't that of an answer whose head isn't whole. */
static void test_by_peer(void) {
    estate_t *estate = tunnelled_start();
    double served = estate_metric(estate, 1, "tunnels_served_total");
    cut_t cut = {"POST", "/lock/x", NULL, 0, "close", FALSE, 1};
    int count = forms_cut(estate, estate->nodes[0].clients_port, cut, 7);
    served = estate_metric(estate, 1, "tunnels_served_total") - served;
    g_test_message("%d cuts, %.0f tunnels", count, served);
    g_assert_cmpfloat(served, >=, count);
    assert_runs(estate, cut.runs_max);
    estate_stop(estate);
}

static void test_head_requests(void) {
    estate_t *estate = start();
    int port = estate->nodes[0].clients_port;
    cut_t cut = {"HEAD", "/hold/x", "head", 0, "close", FALSE, 1};
    assert_whole(estate, port, &cut, 200, "");
    for (cut.left_bytes = 1; cut.left_bytes < LONGEST_BYTES; cut.left_bytes += 2)
        assert_broken_off(port, &cut);
    assert_runs(estate, cut.runs_max);
    estate_stop(estate);
}

/* Answers of which nothing lacks are passed on, of every form. */
static void test_whole_answers(void) {
    static const struct {
        const char *form;
        int status;
        const char *body;
    } whole[] = {{"length", 200, WHOLE},   {"empty", 200, ""},      {"chunks", 200, WHOLE},
                 {"trailers", 200, WHOLE}, {"interim", 200, WHOLE}, {"hints", 200, WHOLE},
                 {"204", 204, ""},         {"304", 304, ""}};
    static const char *const paths[] = {"/hold/x", "/find/x"};
    estate_t *estate = start();
    for (size_t i = 0; i < G_N_ELEMENTS(whole); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
            cut_t cut = {"POST", paths[j], whole[i].form, 0, "close", FALSE, 1};
            assert_whole(estate, estate->nodes[0].clients_port, &cut, whole[i].status,
                         whole[i].body);
        }
    }
    estate_stop(estate);
}

/* Sends requests whose answer is a whole head without a frame, and nothing behind it. */
static wire_response_t *empty_request(const estate_t *estate, const char *path, int runs) {
    cut_t cut = {"POST", path, "unframed", 0, "close", FALSE, runs};
    g_autofree char *id = cut_id(&cut);
    wire_response_t *answer = request_send(estate->nodes[0].clients_port, &cut, id);
    g_test_message("%s: %d %s", path, answer->status, answer->body->str);
    g_assert_cmpint(estate_runs(estate, id), ==, runs);
    return answer;
}

/* The node doesn't know whether it is whole, and doesn't say so. */
static void assert_passed_on_unframed(wire_response_t *answer) {
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_cmpstr(answer->body->str, ==, "");
    g_assert_null(strstr(answer->head->str, "Content-Length"));
    g_assert_null(strstr(answer->head->str, "Transfer-Encoding"));
    g_assert_nonnull(strstr(answer->head->str, "Connection: close"));
    wire_response_free(answer);
}

/* Guards against an engine that dies between the head and the body of an answer without a frame,
 * and whose client gets an empty answer framed as whole. Nobody else can be asked here. */
static void test_empty_unframed_answer(void) {
    static const char *const paths[] = {"/hold/x", "/find/x"};
    estate_t *estate = start();
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++)
        assert_passed_on_unframed(empty_request(estate, paths[i], 1));
    g_assert_cmpfloat(estate_metric(estate, 0, "unframed_empty_answers_total"), ==, 2);
    estate_stop(estate);
}

/* The same where the request may be repeated: another engine's answer decides. */
static void test_empty_unframed_answer_is_checked(void) {
    enum { REQUESTS = 12 };
    estate_t *estate = faulty_start(1, 2, NULL);
    int checked = 0;
    faulty_option(estate, 1, "cuts", 1);
    for (int i = 0; i < REQUESTS; i++) {
        cut_t cut = {"POST", "/find/x", "unframed", 0, "close", FALSE, 2};
        g_autofree char *id = cut_id(&cut);
        wire_response_t *answer = request_send(estate->nodes[0].clients_port, &cut, id);
        g_autofree char *expected = g_strdup_printf("data: ran %s at seat-2\n\n", id);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpstr(answer->body->str, ==, expected);
        g_assert_true(answer->whole);
        checked += estate_runs(estate, id) == 2;
        wire_response_free(answer);
    }
    g_test_message("%d of %d checked", checked, REQUESTS);
    g_assert_cmpint(checked, >, 0);
    estate_stop(estate);
}

/* Guards against the check of an empty answer costing the client that answer: a second engine
 * answers alike, or the retry budget has no room. */
static void test_proper_empty_unframed_answer(void) {
    estate_t *estate = faulty_start(1, 2, NULL);
    for (int i = 1; i <= 2; i++)
        faulty_option(estate, i, "cuts", 1);
    for (int i = 0; i < 5; i++)
        assert_passed_on_unframed(empty_request(estate, "/find/x", 2));
    estate_stop(estate);
    estate = faulty_start(1, 2, "--retry-slack=0 --retry-ratio=0");
    for (int i = 1; i <= 2; i++)
        faulty_option(estate, i, "cuts", 1);
    for (int i = 0; i < 5; i++)
        assert_passed_on_unframed(empty_request(estate, "/find/x", 1));
    estate_stop(estate);
}

/* Guards against a stream that was broken off, goes on at another engine, and is ended as complete
 * when that one dies behind the head of an answer without a frame. */
static void test_stream_goes_on_with_nothing(void) {
    estate_t *estate = faulty_start(1, 2, NULL);
    cut_t cut = {"POST", "/go/x", "stream", 3, "close", FALSE, 2};
    estate_configure(estate, ROUTES);
    for (int i = 1; i <= 2; i++)
        faulty_option(estate, i, "cuts", 1);
    g_usleep(500000); /* until the routes are known */
    for (int i = 0; i < 5; i++) {
        g_autofree char *id = cut_id(&cut);
        wire_response_t *answer = request_send(estate->nodes[0].clients_port, &cut, id);
        g_test_message("%d, whole %d, %d runs", answer->status, answer->whole,
                       estate_runs(estate, id));
        g_assert_cmpint(estate_runs(estate, id), ==, 2);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpstr(answer->body->str, ==, "id: 1\n" WHOLE);
        g_assert_false(answer->whole);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    for (size_t i = 0; i < G_N_ELEMENTS(cuts_tests); i++)
        g_test_add_data_func(cuts_tests[i].name, &cuts_tests[i], test_cuts);
    g_test_add_func("/edge/head-cut/by-peer", test_by_peer);
    g_test_add_func("/edge/head-cut/head-requests", test_head_requests);
    g_test_add_func("/edge/head-cut/whole-answers", test_whole_answers);
    g_test_add_func("/edge/head-cut/empty-unframed-answer", test_empty_unframed_answer);
    g_test_add_func("/edge/head-cut/empty-unframed-answer-is-checked",
                    test_empty_unframed_answer_is_checked);
    g_test_add_func("/edge/head-cut/proper-empty-unframed-answer",
                    test_proper_empty_unframed_answer);
    g_test_add_func("/edge/head-cut/stream-goes-on-with-nothing", test_stream_goes_on_with_nothing);
}

PROCESS_TEST_MAIN(tests_add)
