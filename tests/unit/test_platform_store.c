/* Guards against an adapter that takes an answer of one era of the store for one of another. */
#include "unit.h"

#include "../../platform/platform.h"

#include "wickbridge/http_listener.h"

#include <string.h>

#define ERA 3
#define LATER_ERA 4
#define TIMEOUT_MS 1000

/* A store with one scripted answer, and the last call's outcome. */
typedef struct fixture_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener;
    wb_table_t *table;
    unsigned status;
    const char *headers;
    const char *body;
    int requests;
    char *target; /* of the last request */
    char *request_body;
    wb_table_outcome_t outcome;
    int64_t version;
    guint rows;
    int64_t row_version;
} fixture_t;

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    fixture_t *fixture = context;
    fixture->requests++;
    g_free(fixture->target);
    fixture->target = g_strdup(head->target);
    g_free(fixture->request_body);
    fixture->request_body = g_strndup((const char *)body->data, body->len);
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_reply(connection, fixture->status, wb_http_status_reason(fixture->status),
                             fixture->headers, fixture->body, strlen(fixture->body));
}

static void answer_record(const wb_table_answer_t *answer, void *context) {
    fixture_t *fixture = context;
    fixture->outcome = answer->outcome;
    fixture->version = answer->version;
    fixture->rows = answer->rows->len;
    fixture->row_version =
        answer->rows->len > 0 ? ((wb_table_row_t *)answer->rows->pdata[0])->version : 0;
    wb_loop_quit(fixture->loop);
}

static void fixture_open(fixture_t *fixture) {
    static const wb_http_limits_t limits = {65536, 65536, TIMEOUT_MS, 60000};
    wb_http_handler_t handler = {on_request, NULL, NULL, fixture};
    wb_error_t error;
    *fixture = (fixture_t){.status = 200, .headers = "Store-Era: 3\r\n"};
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 16, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_http_listener_open(fixture->loop, "127.0.0.1:0", &handler, &limits,
                                          &fixture->listener, &error),
                    ==, APR_SUCCESS);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%u", wb_http_listener_port(fixture->listener));
    fixture->table = wb_platform_table_open(fixture->loop, address, TIMEOUT_MS);
}

static void answer_set(fixture_t *fixture, unsigned status, const char *headers, const char *body) {
    fixture->status = status;
    fixture->headers = headers;
    fixture->body = body;
}

static void table_read(fixture_t *fixture) {
    fixture->table->read(fixture->table, WB_TABLE_ENGINES, "", answer_record, fixture);
    wb_loop_run(fixture->loop);
}

static void table_changes(fixture_t *fixture, int64_t after) {
    fixture->table->changes(fixture->table, WB_TABLE_ENGINES, after, 0, answer_record, fixture);
    wb_loop_run(fixture->loop);
}

static void table_write(fixture_t *fixture, int64_t expected) {
    fixture->table->write(fixture->table, WB_TABLE_NODES, "key", expected, (const guchar *)"v", 1,
                          answer_record, fixture);
    wb_loop_run(fixture->loop);
}

static const char rows_body[] =
    "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":7}],\"ver\":9}";

static void test_versions_carry_era(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
    table_read(&fixture);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_cmpint(fixture.version, ==, wb_store_version(ERA, 9));
    g_assert_cmpint(fixture.row_version, ==, wb_store_version(ERA, 7));
    g_assert_cmpint(fixture.table->era, ==, ERA);
    table_changes(&fixture, fixture.version);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_nonnull(strstr(fixture.target, "after=9&"));
    table_write(&fixture, wb_store_version(ERA, 7));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_nonnull(strstr(fixture.request_body, "\"ver\":7"));
}

/* A store that names no era works as one that never goes back. */
static void test_no_era(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 200, "", rows_body);
    table_read(&fixture);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_cmpint(fixture.version, ==, 9);
    table_changes(&fixture, 9);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    table_write(&fixture, 7);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
}

static void test_feed_of_earlier_era(void) {
    static const unsigned statuses[] = {200, 410};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        fixture_t fixture;
        fixture_open(&fixture);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
        table_read(&fixture);
        answer_set(&fixture, statuses[i], "Store-Era: 4\r\n", rows_body);
        table_changes(&fixture, wb_store_version(ERA, 9));
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_HISTORY_EXPIRED);
        g_assert_cmpuint(fixture.rows, ==, 0);
        g_assert_cmpint(fixture.table->era, ==, LATER_ERA);
    }
}

static void test_write_of_earlier_era(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
    table_read(&fixture);
    answer_set(&fixture, 200, "Store-Era: 4\r\n", "{\"ver\":12}");
    table_write(&fixture, wb_store_version(ERA, 7));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_UNKNOWN);
    int requests = fixture.requests;
    table_write(&fixture, wb_store_version(ERA, 7));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
    table_changes(&fixture, wb_store_version(ERA, 9));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_HISTORY_EXPIRED);
    g_assert_cmpint(fixture.requests, ==, requests); /* neither was sent */
    table_write(&fixture, wb_store_version(LATER_ERA, 0));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_cmpint(fixture.version, ==, wb_store_version(LATER_ERA, 12));
}

/* The row that a refused write names is of the era that refused it. */
static void test_conflict_of_later_era(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
    table_read(&fixture);
    answer_set(&fixture, 412, "Store-Era: 4\r\n", rows_body);
    table_write(&fixture, wb_store_version(ERA, 9));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_CONFLICT);
    g_assert_cmpint(fixture.row_version, ==, wb_store_version(LATER_ERA, 7));
}

/* A late answer of an earlier era changes nothing. */
static void test_late_answers(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 503, "Store-Era: 4\r\n", "{}");
    table_read(&fixture);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
    g_assert_cmpint(fixture.table->era, ==, LATER_ERA);
    answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
    table_read(&fixture);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
    g_assert_cmpuint(fixture.rows, ==, 0);
    table_write(&fixture, wb_store_version(LATER_ERA, 7));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_UNKNOWN);
    answer_set(&fixture, 412, "Store-Era: 3\r\n", rows_body);
    table_write(&fixture, wb_store_version(LATER_ERA, 7));
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
    g_assert_cmpuint(fixture.rows, ==, 0);
    g_assert_cmpint(fixture.table->era, ==, LATER_ERA);
}

/* Each answer names the era, also refusals; a value out of range is bounded. */
static void test_era_of_refusals(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    answer_set(&fixture, 429, "Store-Era: 5\r\n", "");
    table_read(&fixture);
    g_assert_cmpint(fixture.table->era, ==, 5);
    answer_set(&fixture, 503, "Store-Era: -8\r\n", "");
    table_read(&fixture);
    answer_set(&fixture, 503, "Store-Era: many\r\n", "");
    table_read(&fixture);
    g_assert_cmpint(fixture.table->era, ==, 5);
    answer_set(&fixture, 200, "Store-Era: 999999999999999999\r\n", rows_body);
    table_read(&fixture);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
    g_assert_cmpint(wb_store_version_era(fixture.version), ==, WB_STORE_ERA_MAX);
    table_changes(&fixture, fixture.version);
    g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
}

static void tests_add(void) {
    g_test_add_func("/platform-store/versions-carry-era", test_versions_carry_era);
    g_test_add_func("/platform-store/no-era", test_no_era);
    g_test_add_func("/platform-store/feed-of-earlier-era", test_feed_of_earlier_era);
    g_test_add_func("/platform-store/write-of-earlier-era", test_write_of_earlier_era);
    g_test_add_func("/platform-store/conflict-of-later-era", test_conflict_of_later_era);
    g_test_add_func("/platform-store/late-answers", test_late_answers);
    g_test_add_func("/platform-store/era-of-refusals", test_era_of_refusals);
}

UNIT_TEST_MAIN(tests_add)
