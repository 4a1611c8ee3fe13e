/* Pure parts of an edge node: routes, budgets, load windows, the lease, placement, HTTP messages.
 */
#include "unit.h"

#include "control/load_window.h"
#include "control/placement.h"
#include "edge/event_stream.h"
#include "edge/retry_budget.h"
#include "wickbridge/http_reader.h"
#include "wickbridge/lease.h"

#include <string.h>

static wb_catalog_t *catalog_create(void)
{
    wb_catalog_t *catalog = wb_catalog_create(1);
    wb_route_t *all = wb_catalog_add_route(catalog, "all", "A.example", "/");
    wb_route_t *deep = wb_catalog_add_route(catalog, "deep", "a.example", "/a/b/");
    wb_route_t *shallow = wb_catalog_add_route(catalog, "shallow", "a.example", "/a/");
    wb_route_add_part(all, "one", 1);
    wb_route_add_part(deep, "one", 70);
    wb_route_add_part(deep, "two", 25);
    wb_route_add_part(deep, "three", 5);
    wb_route_add_part(shallow, "one", 0);
    wb_catalog_seal(catalog);
    return catalog;
}

static void route_is(const wb_catalog_t *catalog, const char *host, const char *path,
                     const char *name)
{
    const wb_route_t *route = wb_catalog_route(catalog, host, path);
    g_assert_cmpstr(route != NULL ? route->name : NULL, ==, name);
}

static void test_longest_prefix(void)
{
    wb_catalog_t *catalog = catalog_create();
    route_is(catalog, "a.example", "/a/b/c", "deep");
    route_is(catalog, "a.example:8080", "/a/bc", "shallow");
    route_is(catalog, "A.EXAMPLE", "/x", "all");
    route_is(catalog, "a.example", "/x?y=/a/b/", "all");
    route_is(catalog, "b.example", "/a/", NULL);
    g_assert_null(wb_route_pick_service(wb_catalog_route(catalog, "a.example", "/a/x")));
    wb_catalog_unref(catalog);
}

/* Shares of a split are met closely in any 200 requests, not only in the long run. */
static void test_split_shares(void)
{
    wb_catalog_t *catalog = catalog_create();
    wb_route_t *route = wb_catalog_route(catalog, "a.example", "/a/b/c");
    for (int window = 0; window < 50; window++) {
        int two = 0;
        int three = 0;
        for (int i = 0; i < 200; i++) {
            const char *service = wb_route_pick_service(route);
            two += strcmp(service, "two") == 0;
            three += strcmp(service, "three") == 0;
        }
        g_assert_cmpint(ABS(two - 50), <=, 3);
        g_assert_cmpint(ABS(three - 10), <=, 3);
    }
    wb_catalog_unref(catalog);
}

/* In every window of 10 s the resends taken stay within ratio x requests + slack. */
static void test_retry_budget(void)
{
    enum { SECONDS = 60, PER_S = 20 };
    static unsigned taken[SECONDS * 10];
    wb_retry_budget_t *budget = wb_retry_budget_create(0.2, 10000);
    GRand *random = g_rand_new_with_seed(5);
    for (int tick = 0; tick < SECONDS * 10; tick++) {
        int64_t now_ms = 1000000 + tick * 100;
        for (int i = 0; i < PER_S / 10; i++)
            wb_retry_budget_request(budget, now_ms);
        for (int i = 0; i < g_rand_int_range(random, 0, 8); i++)
            taken[tick] += wb_retry_budget_take(budget, 7, now_ms) ? 1 : 0;
    }
    for (int begin = 0; begin + 100 <= SECONDS * 10; begin++) {
        unsigned sum = 0;
        for (int tick = begin; tick < begin + 100; tick++)
            sum += taken[tick];
        /* Requests of a window may be counted in the one before it, too. */
        g_assert_cmpfloat(sum, <=, 0.2 * PER_S * 10.5 + 7);
    }
    g_rand_free(random);
    wb_retry_budget_free(budget);
}

static void test_load_window(void)
{
    wb_load_window_t *window = wb_load_window_create(5000, 1500);
    wb_load_window_set_rate(window, 4);
    int64_t begun[1000] = {0};
    int count = 0;
    wb_load_window_assume(window, 5, 0);
    for (int64_t now_ms = 0; now_ms < 60000; now_ms += 10)
        if (wb_load_window_has_room(window, now_ms)) {
            wb_load_window_count(window, now_ms);
            begun[count++] = now_ms;
        }
    g_assert_cmpint(count, >=, 200); /* the rate is used */
    for (int i = 0; i + 20 < count; i++)
        g_assert_cmpint(begun[i + 20] - begun[i], >=, 5000);
    g_assert_cmpint(begun[9], >=, 5000); /* what the holder before began counts */
    wb_load_window_free(window);
}

/* Two nodes and a row: a pure lease played by hand. */
typedef struct row_t {
    wb_lease_row_t row;
    int64_t version;
} row_t;

static void row_set(row_t *target, const wb_lease_row_t *source)
{
    g_free(target->row.holder);
    g_free(target->row.address);
    target->row = *source;
    target->row.holder = g_strdup(source->holder);
    target->row.address = g_strdup(source->address);
    target->version++;
}

static gboolean lease_write(wb_lease_t *lease, row_t *store, int64_t now_ms)
{
    wb_lease_row_t row;
    int64_t expected;
    if (!wb_lease_next_write(lease, now_ms, &row, &expected))
        return FALSE;
    if (expected != store->version) {
        wb_lease_on_not_written(lease, now_ms);
        return FALSE;
    }
    row_set(store, &row);
    wb_lease_on_written(lease, store->version, now_ms);
    return TRUE;
}

static void test_lease_takeover(void)
{
    wb_lease_settings_t first = {"a", "1.1.1.1:1", 1600, 500, 3000, 200, 900};
    wb_lease_settings_t second = {"b", "1.1.1.2:1", 1600, 500, 3000, 200, 900};
    wb_lease_t *a = wb_lease_create(&first);
    wb_lease_t *b = wb_lease_create(&second);
    row_t store = {{0}, 0};
    g_assert_false(lease_write(a, &store, 100)); /* the row was never read */
    wb_lease_on_row(a, NULL, 0, 100);
    wb_lease_on_row(b, NULL, 0, 100);
    g_assert_true(lease_write(a, &store, 100));
    g_assert_false(lease_write(b, &store, 100)); /* lost the race */
    wb_lease_on_row(b, &store.row, store.version, 110);
    g_assert_true(wb_lease_is_held(a, 1499));
    g_assert_false(wb_lease_is_held(a, 1500)); /* its own margin ends it early */
    int64_t taken_ms = 0;
    for (int64_t now_ms = 120; taken_ms == 0 && now_ms < 20000; now_ms += 10)
        if (lease_write(b, &store, now_ms))
            taken_ms = now_ms;
    g_assert_cmpint(taken_ms, >=, 1500 + 3000);
    g_assert_cmpuint(wb_lease_token(b), ==, 2);
    g_assert_true(wb_lease_is_held(b, taken_ms));
    wb_lease_on_row(a, &store.row, store.version, taken_ms + 5);
    g_assert_false(wb_lease_is_held(a, taken_ms + 5));
    wb_lease_free(a);
    wb_lease_free(b);
}

/* A write whose answer is lost counts from when it was sent, and only once the row shows it. */
static void test_lease_lost_answer(void)
{
    wb_lease_settings_t settings = {"a", "1.1.1.1:1", 1600, 500, 3000, 200, 900};
    wb_lease_t *lease = wb_lease_create(&settings);
    row_t store = {{0}, 0};
    wb_lease_row_t row;
    int64_t expected;
    wb_lease_on_row(lease, NULL, 0, 0);
    g_assert_true(wb_lease_next_write(lease, 0, &row, &expected));
    row_set(&store, &row); /* done, and not answered */
    wb_lease_on_unknown(lease, 900);
    g_assert_false(wb_lease_is_held(lease, 900));
    g_assert_true(wb_lease_next_write(lease, 900, &row, &expected)); /* the same condition again */
    g_assert_cmpint(expected, ==, 0);
    wb_lease_on_not_written(lease, 905);
    wb_lease_on_row(lease, &store.row, store.version, 905);
    g_assert_true(wb_lease_is_held(lease, 910));
    g_assert_false(wb_lease_is_held(lease, 1401)); /* from 0, not from 900 */
    wb_lease_free(lease);
}

static void test_lease_restart(void)
{
    wb_lease_settings_t settings = {"a", "1.1.1.1:1", 1600, 500, 3000, 200, 900};
    wb_lease_t *before = wb_lease_create(&settings);
    row_t store = {{0}, 0};
    wb_lease_on_row(before, NULL, 0, 0);
    g_assert_true(lease_write(before, &store, 0));
    wb_lease_t *after = wb_lease_create(&settings);
    wb_lease_on_row(after, &store.row, store.version, 300);
    g_assert_false(wb_lease_is_held(after, 300)); /* the row is another process's */
    g_assert_true(lease_write(after, &store, 300));
    g_assert_cmpuint(wb_lease_token(after), ==, 2);
    g_assert_true(wb_lease_is_held(after, 300));
    wb_lease_free(before);
    wb_lease_free(after);
}

/* Placement: two engines of 100 MB, models of 40. */
typedef struct scene_t {
    wb_catalog_t *catalog;
    wb_service_t *service;
    wb_placement_snapshot_t snapshot;
    wb_engine_t engines[2];
    wb_model_use_t uses[6];
} scene_t;

static void scene_open(scene_t *scene)
{
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    memset(scene, 0, sizeof(*scene));
    scene->catalog = wb_catalog_create(1);
    scene->service = wb_catalog_add_service(scene->catalog, "s");
    scene->service->weights_mb = 100;
    scene->snapshot.service = scene->service;
    scene->snapshot.engines = g_array_new(FALSE, TRUE, sizeof(wb_placement_engine_t));
    scene->snapshot.uses = g_hash_table_new(g_str_hash, g_str_equal);
    scene->snapshot.tokens_per_ms = 30;
    scene->snapshot.store_has_room = TRUE;
    for (int i = 0; i < 6; i++) {
        wb_model_spec_t *model = wb_service_add_model(scene->service, names[i]);
        model->weights_mb = 40;
        model->store_load_ms = 2000;
        model->disk_load_ms = 800;
        model->memory_load_ms = 400;
        g_hash_table_insert(scene->snapshot.uses, (gpointer)names[i], &scene->uses[i]);
    }
    for (int i = 0; i < 2; i++) {
        scene->engines[i].state = wb_engine_state_create(i == 0 ? "e0" : "e1");
        wb_placement_engine_t place = {&scene->engines[i], scene->engines[i].state, 0, TRUE};
        g_array_append_val(scene->snapshot.engines, place);
    }
}

static void scene_hold(scene_t *scene, int engine, int model)
{
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    wb_engine_state_add_model(scene->engines[engine].state, names[model], 1);
    scene->uses[model].replicas++;
}

static void scene_close(scene_t *scene)
{
    for (int i = 0; i < 2; i++)
        wb_engine_state_free(scene->engines[i].state);
    g_array_unref(scene->snapshot.engines);
    g_hash_table_unref(scene->snapshot.uses);
    wb_catalog_unref(scene->catalog);
}

static const char *scene_choose(scene_t *scene, const char *model)
{
    double cost_ms;
    double victims_ms;
    const wb_placement_engine_t *place =
        wb_placement_choose(&scene->snapshot, g_hash_table_lookup(scene->service->models, model),
                            &cost_ms, &victims_ms);
    return place != NULL ? place->state->id : NULL;
}

static void test_placement_prefers_copies_at_hand(void)
{
    scene_t scene;
    scene_open(&scene);
    g_hash_table_add(scene.engines[1].state->on_disk, g_strdup("m0"));
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    g_hash_table_add(scene.engines[0].state->in_memory, g_strdup("m0"));
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e0");
    scene_close(&scene);
}

static void test_placement_spares_what_is_used(void)
{
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 0, 2);
    scene_hold(&scene, 1, 3);
    scene_hold(&scene, 1, 4);
    scene.uses[1].rate_per_s = scene.uses[2].rate_per_s = scene.uses[3].rate_per_s = 2;
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(scene.service->models, "m0");
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpuint(victims->len, ==, 1);
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m4");
    scene.uses[4].waiting = 1; /* who waits for its last replica keeps it */
    g_assert_cmpstr(scene_choose(&scene, "m0"), !=, NULL);
    g_autoptr(GPtrArray) others =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpstr(g_ptr_array_index(others, 0), ==, "m3");
    scene_close(&scene);
}

/* Engines whose adapters are asked for are spared, as a load holds adapters up. */
static void test_placement_spares_adapters(void)
{
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 1, 2);
    scene.uses[1].adapter_rate_per_s = 3;
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    scene.uses[1].adapter_rate_per_s = 0;
    scene.uses[2].adapter_rate_per_s = 3;
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e0");
    scene_close(&scene);
}

/* Adding an engine and dropping one are judged by the same measure, so neither undoes the other. */
static void test_placement_gain_matches_cost(void)
{
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 1, 1);
    scene_hold(&scene, 1, 2);
    scene.uses[1].rate_per_s = scene.uses[1].recent_rate_per_s = 8;
    scene.uses[1].work_per_s = scene.uses[1].recent_work_per_s = 60000;
    wb_model_use_t one = scene.uses[1];
    one.replicas = 1;
    g_assert_cmpuint(wb_placement_wanted(&one, 30), >, 1);
    double gain_ms = wb_placement_gain_ms(&one, 30);
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(scene.service->models, "m0");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m2"); /* not the busy one's second */
    g_assert_cmpfloat(gain_ms, >, 1000);
    scene_close(&scene);
}

/* Reads a message in pieces of every size; heads and bodies come out the same. */
typedef struct reading_t {
    GString *body;
    char *target;
    int whole;
} reading_t;

static void reading_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context)
{
    (void)reader;
    reading_t *reading = context;
    g_free(reading->target);
    reading->target = g_strdup(head->target);
}

static void reading_body(wb_http_reader_t *reader, const char *data, size_t length, void *context)
{
    (void)reader;
    g_string_append_len(((reading_t *)context)->body, data, (gssize)length);
}

static void reading_complete(wb_http_reader_t *reader, void *context)
{
    ((reading_t *)context)->whole++;
    wb_http_reader_next(reader);
}

static const wb_http_reader_events_t reading_events = {reading_head, reading_body,
                                                       reading_complete};

static wb_http_failure_t message_read(const char *text, size_t step, reading_t *reading)
{
    wb_http_reader_t *reader = wb_http_reader_create(TRUE, 4096, &reading_events, reading);
    size_t length = strlen(text);
    size_t at = 0;
    while (at < length && wb_http_reader_failure(reader) == WB_HTTP_FAILURE_NONE) {
        size_t end = MIN(at + step, length);
        while (at < end && wb_http_reader_failure(reader) == WB_HTTP_FAILURE_NONE)
            at += wb_http_reader_feed(reader, text + at, end - at);
    }
    wb_http_failure_t failure = wb_http_reader_failure(reader);
    wb_http_reader_free(reader);
    return failure;
}

static void test_http_pieces(void)
{
    static const char text[] =
        "POST /a%2Fb?c=%20 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        "POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nend"
        "GET /third HTTP/1.1\r\nHost: x\r\n\r\n";
    for (size_t step = 1; step <= strlen(text); step++) {
        reading_t reading = {g_string_new(NULL), NULL, 0};
        g_assert_cmpint(message_read(text, step, &reading), ==, WB_HTTP_FAILURE_NONE);
        g_assert_cmpint(reading.whole, ==, 3);
        g_assert_cmpstr(reading.body->str, ==, "hello worldend");
        g_assert_cmpstr(reading.target, ==, "/third");
        g_string_free(reading.body, TRUE);
        g_free(reading.target);
    }
}

static void test_http_smuggling(void)
{
    static const char *const bad[] = {
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc",
        "\x16\x03\x01",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        for (size_t step = 1; step < 60; step += 7) {
            reading_t reading = {g_string_new(NULL), NULL, 0};
            g_assert_cmpint(message_read(bad[i], step, &reading), ==, WB_HTTP_FAILURE_SYNTAX);
            g_assert_cmpint(reading.whole, ==, 0);
            g_string_free(reading.body, TRUE);
            g_free(reading.target);
        }
}

/* At each cut of a stream, only whole events are passed on, and the last one's id is known. */
static void test_events_at_every_cut(void)
{
    static const char text[] =
        "id: 1\ndata: a\n\nid: 22\r\ndata: id: 9\r\n\r\ndata: no id\n\nid:333\ndata\n\n";
    static const size_t ends[] = {15, 38, 51, 64};
    static const char *const ids[] = {"1", "22", "22", "333"};
    g_assert_cmpuint(strlen(text), ==, ends[3]);
    for (size_t cut = 0; cut <= strlen(text); cut++) {
        size_t expected = 0;
        const char *id = NULL;
        for (size_t i = 0; i < G_N_ELEMENTS(ends); i++)
            if (ends[i] <= cut) {
                expected = ends[i];
                id = ids[i];
            }
        g_assert_cmpuint(wb_events_whole(text, cut), ==, expected);
        g_autofree char *found = wb_events_last_id(text, expected);
        g_assert_cmpstr(found, ==, id);
    }
}

void edge_tests_add(void)
{
    g_test_add_func("/events/every-cut", test_events_at_every_cut);
    g_test_add_func("/catalog/longest-prefix", test_longest_prefix);
    g_test_add_func("/catalog/split-shares", test_split_shares);
    g_test_add_func("/retry-budget/every-window", test_retry_budget);
    g_test_add_func("/load-window/every-window", test_load_window);
    g_test_add_func("/lease/takeover", test_lease_takeover);
    g_test_add_func("/lease/lost-answer", test_lease_lost_answer);
    g_test_add_func("/lease/restart", test_lease_restart);
    g_test_add_func("/placement/copies-at-hand", test_placement_prefers_copies_at_hand);
    g_test_add_func("/placement/spares-what-is-used", test_placement_spares_what_is_used);
    g_test_add_func("/placement/spares-adapters", test_placement_spares_adapters);
    g_test_add_func("/placement/gain-matches-cost", test_placement_gain_matches_cost);
    g_test_add_func("/http/pieces", test_http_pieces);
    g_test_add_func("/http/smuggling", test_http_smuggling);
}
