/* What all gateways together know of engines, and what they are told of it. */
#include "unit.h"

#include "pace/pace_aggregate.h"

#define TOKEN_MS 0.02

static const wb_engine_load_t *load_find(const GArray *loads, const char *engine) {
    for (guint i = 0; i < loads->len; i++) {
        const wb_engine_load_t *load = &g_array_index(loads, wb_engine_load_t, i);
        if (load->engine == wb_pace_engine_key(engine)) {
            return load;
        }
    }
    return NULL;
}

/* Three gateways see one engine; a figure of a slowed moment doesn't raise its pace. */
static void test_adds_up(void) {
    wb_pace_aggregate_t *book = wb_pace_aggregate_create(TOKEN_MS);
    wb_pace_report_t first[] = {{"e1", 55, 4000}, {"e2", 120, 0}};
    wb_pace_report_t second[] = {{"e1", 137, 2000}};
    wb_pace_aggregate_report(book, first, 2, 1000);
    wb_pace_aggregate_report(book, second, 1, 1000);
    wb_pace_aggregate_report(book, second, 1, 1100);
    g_autoptr(GArray) loads = wb_pace_aggregate_changes(book, 100, 1100);
    g_assert_cmpuint(loads->len, ==, 2);
    const wb_engine_load_t *load = load_find(loads, "e1");
    g_assert_cmpuint(load->pace_percent, ==, 55);
    g_assert_cmpuint(load->tokens_per_s, >, 1500);
    g_assert_cmpuint(load_find(loads, "e2")->pace_percent, ==, 120);
    g_assert_cmpuint(wb_pace_aggregate_pace(book, "e1", 1100), ==, 55);
    g_assert_cmpuint(wb_pace_aggregate_pace(book, "e9", 1100), ==, 0);
    wb_pace_aggregate_free(book);
}

/* What is no longer sent fades out, and an engine that nobody names is forgotten. */
static void test_ends(void) {
    wb_pace_aggregate_t *book = wb_pace_aggregate_create(TOKEN_MS);
    wb_pace_report_t report = {"e1", 100, 50000};
    wb_pace_aggregate_report(book, &report, 1, 1000);
    g_autoptr(GArray) begun = wb_pace_aggregate_changes(book, 100, 1000);
    g_assert_cmpuint(load_find(begun, "e1")->tokens_per_s, ==, 10000);
    g_autoptr(GArray) faded = wb_pace_aggregate_changes(book, 100, 31000);
    g_assert_cmpuint(load_find(faded, "e1")->tokens_per_s, <, 100);
    wb_pace_aggregate_sweep(book, 200000);
    g_autoptr(GArray) told = wb_pace_aggregate_snapshot(book);
    g_assert_cmpuint(told->len, ==, 0);
    wb_pace_aggregate_free(book);
}

/* 1,000 engines change at once: messages stay bounded, what changed most goes first, and nothing is
 * left out for good. */
static void test_bounded(void) {
    wb_pace_aggregate_t *book = wb_pace_aggregate_create(TOKEN_MS);
    for (unsigned i = 0; i < 1000; i++) {
        g_autofree char *id = g_strdup_printf("e%u", i);
        wb_pace_report_t report = {id, 100, i % 50 * 10000};
        wb_pace_aggregate_report(book, &report, 1, 1000);
    }
    unsigned told = 0;
    for (unsigned round = 0; round < 20; round++) {
        g_autoptr(GArray) loads = wb_pace_aggregate_changes(book, 70, 1000);
        g_assert_cmpuint(loads->len, <=, 70);
        told += loads->len;
        if (round == 0) {
            g_assert_cmpuint(g_array_index(loads, wb_engine_load_t, 0).tokens_per_s, ==, 98000);
        }
    }
    g_assert_cmpuint(told, ==, 1000);
    wb_pace_aggregate_resend_all(book);
    g_autoptr(GArray) again = wb_pace_aggregate_changes(book, 5000, 1000);
    g_assert_cmpuint(again->len, ==, 1000);
    wb_pace_aggregate_free(book);
}

/* What is sent faster than it can be read piles up, and is read when less comes. */
static void test_backlog(void) {
    wb_pace_aggregate_t *book = wb_pace_aggregate_create(TOKEN_MS);
    wb_pace_report_t report = {"e1", 50, 20000}; /* 200 ms of reading at this pace */
    int64_t now_ms = 1000;
    for (; now_ms < 3000; now_ms += 100) {
        wb_pace_aggregate_report(book, &report, 1, now_ms);
    }
    g_autoptr(GArray) piled = wb_pace_aggregate_changes(book, 9, now_ms);
    g_assert_cmpuint(load_find(piled, "e1")->backlog_ms, >, 1500);
    g_assert_cmpuint(load_find(piled, "e1")->backlog_ms, <, 3000);
    double behind_ms;
    g_assert_cmpstr(wb_pace_aggregate_max_backlog(book, now_ms, &behind_ms), ==, "e1");
    g_assert_cmpfloat(behind_ms, >, 1500);
    report.tokens = 5000;
    for (; now_ms < 8000; now_ms += 100) {
        wb_pace_aggregate_report(book, &report, 1, now_ms);
    }
    g_autoptr(GArray) read = wb_pace_aggregate_changes(book, 9, now_ms);
    g_assert_cmpuint(load_find(read, "e1")->backlog_ms, <, 100);
    wb_pace_aggregate_free(book);
}

static void tests_add(void) {
    g_test_add_func("/pace-book/adds-up", test_adds_up);
    g_test_add_func("/pace-book/ends", test_ends);
    g_test_add_func("/pace-book/backlog", test_backlog);
    g_test_add_func("/pace-book/bounded", test_bounded);
}

UNIT_TEST_MAIN(tests_add)
