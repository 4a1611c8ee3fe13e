/* Guards against bytes that no engine made for a stream getting into it, or an end that comes too
 * early, when its engine breaks off and the next one answers with something else. */
#include "faulty.h"

#include <string.h>

#define ALL_EVENTS                                                                                 \
    "id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\nid: 3\r\ndata: three\r\n\r\n"
#define ENGINES 3
/* So that the retry budget isn't used up at once. */
#define BUDGET_PAUSE_US 300000

static const char *const forms[] = {
    "500",          "500-long",      "500-chunks", "500-close", "500-events",
    "404-long",     "302-long",      "304",        "204",       "206-events",
    "200-page",     "200-page-long", "200-coded",  "503-own",   "200-page-close",
    "200-unsealed", "503-rejected",  "000",        "999",       NULL};
/* Fewer, as the retry budget of a service is divided among nodes. */
static const char *const forms_by_peer[] = {
    "500-long",      "500-close",      "404-long",     "204", "200-page",
    "200-page-long", "200-page-close", "503-rejected", NULL};

static wire_response_t *stream_read(const estate_t *estate, const char *version, const char *id) {
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_send(wire,
              "POST /go/x HTTP/%s\r\nHost: a.example\r\nRequest-Attempt-Id: %s\r\n" EDGE_DEADLINE
              "Content-Length: %zu\r\n\r\n%s",
              version, id, strlen(id), id);
    wire_response_t *answer = wire_read(wire, 4000);
    if (strcmp(version, "1.0") == 0) { /* the body is what comes until the close */
        wire_is_closed(wire, 4000);
        g_string_append(answer->body, wire->unread->str);
    }
    wire_close(wire);
    return answer;
}

/* The client gets the events of the first and of the third engine, and nothing else. */
static void assert_goes_on(const estate_t *estate, const char *const *names, const char *version) {
    for (size_t i = 0; names[i] != NULL; i++) {
        g_autofree char *id = g_strdup_printf("broken.%s.%s", names[i], version);
        wire_response_t *answer = stream_read(estate, version, id);
        g_test_message("%s: %d, %u bytes, %s", id, answer->status, (unsigned)answer->body->len,
                       answer->whole ? "whole" : "broken off");
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(g_str_equal(answer->body->str, ALL_EVENTS));
        g_assert_true(answer->whole);
        wire_response_free(answer);
        g_usleep(BUDGET_PAUSE_US);
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "answers_dropped_total"), >, 0);
}

static estate_t *start(void) {
    estate_t *estate = faulty_start(1, ENGINES, NULL);
    estate_configure(estate, FAULTY_ROUTES(3000) "," FAULTY_STREAM_ROUTE);
    for (int i = 1; i <= ENGINES; i++)
        faulty_option(estate, i, "breaks", 1);
    g_usleep(500000); /* until the routes are known */
    return estate;
}

static void test_second_engine(void) {
    estate_t *estate = start();
    assert_goes_on(estate, forms, "1.1");
    estate_stop(estate);
}

/* The close of the connection ends the answers of such clients. */
static void test_old_client(void) {
    estate_t *estate = start();
    assert_goes_on(estate, forms, "1.0");
    estate_stop(estate);
}

static void test_by_peer(void) {
    estate_t *estate = faulty_start_streams_by_peer();
    for (int i = 1; i <= ENGINES; i++)
        faulty_option(estate, i, "breaks", 1);
    assert_goes_on(estate, forms_by_peer, "1.1");
    estate_stop(estate);
}

/* Guards against an engine's long error page being passed on although another engine can serve the
 * stream. */
static void test_first_engine_fails(void) {
    static const char *const failures[] = {"500", "500-long", "500-chunks", "500-close"};
    estate_t *estate = start();
    for (size_t i = 0; i < G_N_ELEMENTS(failures); i++) {
        g_autofree char *id = g_strdup_printf("failed.%s.1", failures[i]);
        wire_response_t *answer = stream_read(estate, "1.1", id);
        g_test_message("%s: %d", id, answer->status);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(g_str_equal(answer->body->str, ALL_EVENTS));
        g_assert_true(answer->whole);
        wire_response_free(answer);
        g_usleep(BUDGET_PAUSE_US);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/broken-streams/second-engine", test_second_engine);
    g_test_add_func("/edge/broken-streams/old-client", test_old_client);
    g_test_add_func("/edge/broken-streams/by-peer", test_by_peer);
    g_test_add_func("/edge/broken-streams/first-engine-fails", test_first_engine_fails);
}

PROCESS_TEST_MAIN(tests_add)
