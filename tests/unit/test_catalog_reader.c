/* A large configuration is read beside the loop, and only the newest of several. */
#include "unit.h"

#include "edge/catalog_reader.h"

#include <string.h>

#define READ_US 200000
#define TICK_MS 10
/* What a tick may come late on a busy machine, well under the time of a read. */
#define LATE_MS 100

typedef struct scene_t {
    wb_loop_t *loop;
    wb_catalog_reader_t *reader;
    GString *read; /* row versions, or ! for one that can't be read */
    int64_t ticked_ms;
    int64_t most_ms; /* longest time between two ticks */
    int64_t last_row;
} scene_t;

/* Takes its time with long values. */
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

static void row_give(scene_t *scene, char first, gsize length, int64_t version) {
    g_autofree guchar *value = g_malloc0(length);
    *value = (guchar)first;
    wb_table_row_t row = {(char *)"config", value, length, version};
    wb_catalog_reader_take(scene->reader, &row);
}

static void read_seen(wb_catalog_t *catalog, int64_t row_version, const wb_error_t *error,
                      void *context) {
    scene_t *scene = context;
    if (catalog == NULL) {
        g_assert_cmpstr(error->message, ==, "it makes no sense");
        g_string_append(scene->read, "! ");
    } else {
        g_string_append_printf(scene->read, "%lld ", (long long)row_version);
        wb_catalog_unref(catalog);
    }
    if (row_version == scene->last_row) {
        wb_loop_quit(scene->loop);
    }
}

static void tick(void *context) {
    scene_t *scene = context;
    int64_t now_ms = wb_clock_ms();
    if (scene->ticked_ms != 0) {
        scene->most_ms = MAX(scene->most_ms, now_ms - scene->ticked_ms);
    }
    scene->ticked_ms = now_ms;
}

static void scene_open(scene_t *scene, int64_t last_row) {
    wb_error_t error;
    memset(scene, 0, sizeof(*scene));
    g_assert_cmpint(wb_loop_create(&scene->loop, "test", 16, &error), ==, APR_SUCCESS);
    scene->reader = wb_catalog_reader_create(scene->loop, &slow_dialect, read_seen, scene);
    scene->read = g_string_new(NULL);
    scene->last_row = last_row;
    wb_loop_every(scene->loop, TICK_MS, tick, scene);
}

static void rows_give(void *context) {
    scene_t *scene = context;
    for (int64_t version = 1; version <= 4; version++) {
        row_give(scene, 'v', 100000, version);
    }
}

static void test_loop_goes_on(void) {
    scene_t scene;
    scene_open(&scene, 4);
    wb_loop_after(scene.loop, 30, rows_give, &scene);
    wb_loop_run(scene.loop);
    g_assert_cmpstr(scene.read->str, ==, "1 4 ");
    g_assert_cmpint(scene.most_ms, <, LATE_MS);
    g_string_free(scene.read, TRUE);
}

static void odd_rows_give(void *context) {
    scene_t *scene = context;
    row_give(scene, 'v', 100, 1); /* short: read at once */
    g_assert_cmpstr(scene->read->str, ==, "1 ");
    row_give(scene, '!', 100000, 2);
    row_give(scene, 'v', 100, 3); /* waits for the one before */
    g_assert_cmpstr(scene->read->str, ==, "1 ");
}

static void test_short_and_bad_rows(void) {
    scene_t scene;
    scene_open(&scene, 3);
    wb_loop_after(scene.loop, 30, odd_rows_give, &scene);
    wb_loop_run(scene.loop);
    g_assert_cmpstr(scene.read->str, ==, "1 ! 3 ");
    g_string_free(scene.read, TRUE);
}

static void tests_add(void) {
    g_test_add_func("/catalog-reader/loop-goes-on", test_loop_goes_on);
    g_test_add_func("/catalog-reader/short-and-bad-rows", test_short_and_bad_rows);
}

UNIT_TEST_MAIN(tests_add)
