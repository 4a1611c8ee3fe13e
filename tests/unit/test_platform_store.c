/* Guards against an adapter that takes an answer of one era of the store for one of another. */
#include "unit.h"

#include "../../platform/platform.h"

#include "wickbridge/http_listener.h"
#include "wickbridge/table_watch.h"

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
    const char *next_body; /* of the page behind key "b"; NULL: as `body` */
    int requests;
    char *target; /* of the last request */
    char *request_body;
    wb_table_outcome_t outcome;
    int64_t version;
    guint rows;
    int64_t row_version;
    guint refused;
    int64_t now_ms;
    char *last_key;
} fixture_t;

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    fixture_t *fixture = context;
    fixture->requests++;
    g_free(fixture->target);
    fixture->target = g_strdup(head->target);
    gboolean is_next = fixture->next_body != NULL && strstr(head->target, "startRev=b%01&") != NULL;
    const char *text = is_next ? fixture->next_body : fixture->body;
    g_free(fixture->request_body);
    fixture->request_body = g_strndup((const char *)body->data, body->len);
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_reply(connection, fixture->status, wb_http_status_reason(fixture->status),
                             fixture->headers, text, strlen(text));
}

static void answer_record(const wb_table_answer_t *answer, void *context) {
    fixture_t *fixture = context;
    fixture->outcome = answer->outcome;
    fixture->version = answer->version;
    fixture->rows = answer->rows->len;
    fixture->now_ms = answer->now_ms;
    g_free(fixture->last_key);
    fixture->last_key = g_strdup(answer->last_key);
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

/* Guards against a whole page that is lost for one row whose key can't be used, and against reading
 * that stops there: the next page begins behind the last row of the answer. */
static void test_odd_keys(void) {
    static const char *const bodies[] = {
        "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":7},"
        "{\"key\":\"b\\u0000c\",\"value\":\"dg==\",\"ver\":8}],\"ver\":9,\"more\":true}",
        "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":7},"
        "{\"value\":\"dg==\",\"ver\":8}],\"ver\":9,\"more\":true}",
        "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":7},5,null,[],"
        "{\"key\":7,\"ver\":8}],\"ver\":9,\"more\":true}"};
    static const char *const last_keys[] = {"b", "a", "a"};
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        fixture_t fixture;
        fixture_open(&fixture);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", bodies[i]);
        table_read(&fixture);
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
        g_assert_cmpuint(fixture.rows, ==, 1);
        g_assert_cmpint(fixture.row_version, ==, wb_store_version(ERA, 7));
        g_assert_cmpint(fixture.version, ==, wb_store_version(ERA, 9));
        g_assert_cmpstr(fixture.last_key, ==, last_keys[i]);
    }
}

/* Guards against times and versions that overflow, and values that end the process. */
static void test_odd_values(void) {
    static const char *const rows[] = {
        "{\"key\":\"a\",\"value\":\"!!\",\"ver\":7}",
        "{\"key\":\"a\",\"value\":\"=\",\"ver\":7}",
        "{\"key\":\"a\",\"value\":\"\",\"ver\":7}",
        "{\"key\":\"a\",\"value\":\"dg==dg==\",\"ver\":7.5}",
        "{\"key\":\"a\",\"value\":{\"deep\":[[[[[]]]]]},\"ver\":-9223372036854775808}",
        "{\"key\":\"a\",\"value\":5,\"ver\":9223372036854775807}",
        "{\"key\":\"a\",\"value\":\"\\u0000\\u0000\",\"ver\":1e300,\"gone\":1}"};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        fixture_t fixture;
        fixture_open(&fixture);
        g_autofree char *body = g_strdup_printf("{\"rows\":[%s],\"ver\":9223372036854775807,"
                                                "\"now_ms\":9223372036854775807}",
                                                rows[i]);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", body);
        table_read(&fixture);
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
        g_assert_cmpuint(fixture.rows, ==, 1);
        g_assert_cmpint(fixture.version, ==, wb_store_version(ERA, WB_STORE_NUMBER_MAX));
        g_assert_cmpint(wb_store_version_era(fixture.row_version), ==, ERA);
        g_assert_cmpint(fixture.now_ms, <=, G_MAXINT64 / 2);
    }
}

/* Guards against a process that ends, or a call without an end, by an answer that is no page. */
static void test_odd_answers(void) {
    g_autofree char *deep = g_strnfill(30000, '[');
    const char *const bodies[] = {"",
                                  "[]",
                                  "null",
                                  "{\"rows\":",
                                  "{\"rows\":[{\"key\":\"a\"",
                                  "<html>",
                                  "\xff\xfe",
                                  "{\"ver\":1e999}",
                                  "{\"ver\":99999999999999999999999}",
                                  deep};
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        fixture_t fixture;
        fixture_open(&fixture);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", bodies[i]);
        table_read(&fixture);
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
        g_assert_cmpuint(fixture.rows, ==, 0);
        table_changes(&fixture, wb_store_version(ERA, 9));
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_NOT_DONE);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", rows_body);
        table_read(&fixture);
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
        g_assert_cmpuint(fixture.rows, ==, 1);
    }
}

static void watched_row(const wb_table_row_t *row, void *context) {
    fixture_t *fixture = context;
    fixture->rows++;
    fixture->row_version = row->version;
}

static void watched_batch(gboolean full_read, void *context) {
    fixture_t *fixture = context;
    g_assert_true(full_read);
    wb_loop_quit(fixture->loop);
}

static void watched_refused(wb_table_name_t table, unsigned rows, void *context) {
    fixture_t *fixture = context;
    g_assert_cmpint(table, ==, WB_TABLE_ENGINES);
    fixture->refused += rows;
}

/* Guards against a table that ends for its readers at a page of odd rows only. */
static void test_odd_page(void) {
    fixture_t fixture;
    fixture_open(&fixture);
    g_autoptr(GString) page = g_string_new("{\"ver\":900,\"more\":true,\"rows\":[");
    for (int i = 0; i < 500; i++)
        g_string_append_printf(page, "%s{\"key\":\"b\\u0000%d\",\"value\":\"dg==\",\"ver\":%d}",
                               i > 0 ? "," : "", i, i + 1);
    g_string_append(page, "]}");
    answer_set(&fixture, 200, "Store-Era: 3\r\n", page->str);
    fixture.next_body = "{\"ver\":900,\"more\":false,\"rows\":[{\"key\":\"z\",\"value\":\"dg==\","
                        "\"ver\":777}]}";
    wb_table_watch_intervals_t settings = {10, 10, 500, 20, 300};
    wb_table_watch_events_t events = {.on_row = watched_row,
                                      .on_batch = watched_batch,
                                      .context = &fixture,
                                      .on_rows_refused = watched_refused};
    wb_table_watch_create(fixture.loop, fixture.table, WB_TABLE_ENGINES, &settings, &events);
    wb_loop_run(fixture.loop);
    g_assert_cmpuint(fixture.rows, ==, 1);
    g_assert_cmpuint(fixture.refused, ==, 500);
    g_assert_cmpint(fixture.row_version, ==, wb_store_version(ERA, 777));
}

/* Guards against a page that is lost for a text that is no Unicode, escaped or not. */
static void test_odd_texts(void) {
    static const char *const keys[] = {"\\ud800",      "\\udc00\\ud800", "x\\ud83dy", "\xff\xfe",
                                       "\xed\xa0\x80", "\\\\\\ud800",    "\\uDBFF\\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        fixture_t fixture;
        fixture_open(&fixture);
        g_autofree char *body =
            g_strdup_printf("{\"ver\":9,\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":7},"
                            "{\"key\":\"%s\",\"value\":\"dg==\",\"ver\":8}]}",
                            keys[i]);
        answer_set(&fixture, 200, "Store-Era: 3\r\n", body);
        table_read(&fixture);
        g_assert_cmpint(fixture.outcome, ==, WB_TABLE_DONE);
        g_assert_cmpuint(fixture.rows, ==, 2);
        g_assert_true(g_utf8_validate(fixture.last_key, -1, NULL));
        answer_set(&fixture, 200, "Store-Era: 3\r\n",
                   "{\"ver\":9,\"rows\":[{\"key\":\"\\ud83d\\ude00\",\"ver\":7}]}");
        table_read(&fixture);
        g_assert_cmpstr(fixture.last_key, ==, "\xf0\x9f\x98\x80");
    }
}

static void tests_add(void) {
    g_test_add_func("/platform-store/odd-page", test_odd_page);
    g_test_add_func("/platform-store/odd-texts", test_odd_texts);
    g_test_add_func("/platform-store/odd-keys", test_odd_keys);
    g_test_add_func("/platform-store/odd-values", test_odd_values);
    g_test_add_func("/platform-store/odd-answers", test_odd_answers);
    g_test_add_func("/platform-store/versions-carry-era", test_versions_carry_era);
    g_test_add_func("/platform-store/no-era", test_no_era);
    g_test_add_func("/platform-store/feed-of-earlier-era", test_feed_of_earlier_era);
    g_test_add_func("/platform-store/write-of-earlier-era", test_write_of_earlier_era);
    g_test_add_func("/platform-store/conflict-of-later-era", test_conflict_of_later_era);
    g_test_add_func("/platform-store/late-answers", test_late_answers);
    g_test_add_func("/platform-store/era-of-refusals", test_era_of_refusals);
}

UNIT_TEST_MAIN(tests_add)
