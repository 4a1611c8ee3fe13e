/* Guards against a large configuration that blocks the loop, and configurations applied out of
 * order. */
#include "unit.h"

#include "edge/catalog_reader.h"

#include <string.h>

#define READ_US 200000
#define TICK_MS 10
/* Max gap between ticks on a busy machine, well below READ_US. */
#define MAX_GAP_MS 100

typedef struct fixture_t {
    wb_loop_t *loop;
    wb_catalog_reader_t *reader;
    GString *read; /* versions of the rows read, ! for an invalid one */
    int64_t ticked_ms;
    int64_t max_gap_ms;
    int64_t last_row;
} fixture_t;

/* Parses long values slowly. */
static wb_catalog_t *slow_parse(const guchar *value, gsize length, wb_error_t *error) {
    if (length > 1000) {
        g_usleep(READ_US);
    }
    if (*value == '!') {
        wb_error_set(error, APR_EINVAL, "it makes no sense");
        return NULL;
    }
    return wb_catalog_create(1);
}

static const wb_dialect_t slow_dialect = {.catalog_parse = slow_parse};

static void give_row(fixture_t *fixture, char first, gsize length, int64_t version) {
    g_autofree guchar *value = g_malloc0(length);
    *value = (guchar)first;
    wb_table_row_t row = {(char *)"config", value, length, version};
    wb_catalog_reader_take(fixture->reader, &row);
}

static void record_read(wb_catalog_t *catalog, int64_t row_version, int64_t took_ms,
                        const wb_error_t *error, void *context) {
    (void)took_ms;
    fixture_t *fixture = context;
    if (catalog == NULL) {
        g_assert_cmpstr(error->message, ==, "it makes no sense");
        g_string_append(fixture->read, "! ");
    } else {
        g_string_append_printf(fixture->read, "%lld ", (long long)row_version);
        wb_catalog_unref(catalog);
    }
    if (row_version == fixture->last_row) {
        wb_loop_quit(fixture->loop);
    }
}

static void tick(void *context) {
    fixture_t *fixture = context;
    int64_t now_ms = wb_clock_ms();
    if (fixture->ticked_ms != 0) {
        fixture->max_gap_ms = MAX(fixture->max_gap_ms, now_ms - fixture->ticked_ms);
    }
    fixture->ticked_ms = now_ms;
}

static void fixture_init(fixture_t *fixture, int64_t last_row) {
    wb_error_t error;
    memset(fixture, 0, sizeof(*fixture));
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 16, &error), ==, APR_SUCCESS);
    fixture->reader = wb_catalog_reader_create(fixture->loop, &slow_dialect, record_read, fixture);
    fixture->read = g_string_new(NULL);
    fixture->last_row = last_row;
    wb_loop_every(fixture->loop, TICK_MS, tick, fixture);
}

static void give_long_rows(void *context) {
    fixture_t *fixture = context;
    for (int64_t version = 1; version <= 4; version++) {
        give_row(fixture, 'v', 100000, version);
    }
}

static void test_loop_goes_on(void) {
    fixture_t fixture;
    fixture_init(&fixture, 4);
    wb_loop_after(fixture.loop, 30, give_long_rows, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.read->str, ==, "1 4 ");
    g_assert_cmpint(fixture.max_gap_ms, <, MAX_GAP_MS);
    g_string_free(fixture.read, TRUE);
}

static void give_mixed_rows(void *context) {
    fixture_t *fixture = context;
    give_row(fixture, 'v', 100, 1); /* short: read at once */
    g_assert_cmpstr(fixture->read->str, ==, "1 ");
    give_row(fixture, '!', 100000, 2);
    give_row(fixture, 'v', 100, 3); /* waits for the previous row */
    g_assert_cmpstr(fixture->read->str, ==, "1 ");
}

static void test_short_and_bad_rows(void) {
    fixture_t fixture;
    fixture_init(&fixture, 3);
    wb_loop_after(fixture.loop, 30, give_mixed_rows, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.read->str, ==, "1 ! 3 ");
    g_string_free(fixture.read, TRUE);
}

static void tests_add(void) {
    g_test_add_func("/catalog-reader/loop-goes-on", test_loop_goes_on);
    g_test_add_func("/catalog-reader/short-and-bad-rows", test_short_and_bad_rows);
}

UNIT_TEST_MAIN(tests_add)
