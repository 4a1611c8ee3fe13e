/* Guards against streams that are taken to have begun at the service that their path leads to now.
 */
#include "unit.h"

#include "catalog/route_moves.h"

#define NOW_MS 1000000
#define HORIZON_MS 50000

/* Adds a route of streams that clients may take up. */
static wb_route_t *stream_route_add(wb_catalog_t *catalog, const char *prefix,
                                    const char *service) {
    wb_route_t *route = wb_catalog_add_route(catalog, prefix, "a.example", prefix);
    route->kind = WB_ROUTE_STREAM;
    route->resumable = TRUE;
    wb_route_add_target(route, service, 1);
    return route;
}

typedef struct case_t {
    wb_route_moves_t *moves;
    wb_catalog_t *before;
    wb_catalog_t *after;
} case_t;

/* Both catalogs lead /once/ to "llm". */
static case_t case_begin(void) {
    case_t created = {wb_route_moves_create(HORIZON_MS), wb_catalog_create(1),
                      wb_catalog_create(2)};
    stream_route_add(created.before, "/once/", "llm");
    return created;
}

static unsigned compare(case_t *tested) {
    wb_catalog_seal(tested->before);
    wb_catalog_seal(tested->after);
    return wb_route_moves_compare(tested->moves, tested->before, tested->after, NOW_MS);
}

static gboolean has_moved(const case_t *tested, const char *path) {
    return wb_route_moves_include(tested->moves, "A.example:80", path, NOW_MS);
}

static void case_end(case_t *tested) {
    wb_route_moves_free(tested->moves);
    wb_catalog_unref(tested->before);
    wb_catalog_unref(tested->after);
}

static void test_same_service(void) {
    case_t tested = case_begin();
    wb_route_t *renamed = stream_route_add(tested.after, "/once/", "llm");
    renamed->timeout_ms = 7;
    stream_route_add(tested.after, "/new/", "other");
    g_assert_cmpuint(compare(&tested), ==, 0);
    g_assert_false(has_moved(&tested, "/once/x"));
    g_assert_false(has_moved(&tested, "/new/x"));
    g_assert_false(renamed->moved);
    case_end(&tested);
}

static void test_other_service(void) {
    case_t tested = case_begin();
    wb_route_t *route = stream_route_add(tested.after, "/once/", "other");
    g_assert_cmpuint(compare(&tested), ==, 1);
    g_assert_true(has_moved(&tested, "/once/x?a=/b"));
    g_assert_false(has_moved(&tested, "/onc?e=/once/"));
    g_assert_false(wb_route_moves_include(tested.moves, "b.example", "/once/x", NOW_MS));
    g_assert_false(
        wb_route_moves_include(tested.moves, "a.example", "/once/x", NOW_MS + HORIZON_MS + 1));
    g_assert_true(route->moved);
    case_end(&tested);
}

/* A longer prefix takes some of the paths away, and gives them back. */
static void test_longer_prefix(void) {
    case_t tested = case_begin();
    stream_route_add(tested.after, "/once/", "llm");
    wb_route_t *longer = stream_route_add(tested.after, "/once/b/", "other");
    g_assert_cmpuint(compare(&tested), ==, 1);
    g_assert_true(longer->moved);
    g_assert_true(has_moved(&tested, "/once/b/x"));
    g_assert_false(has_moved(&tested, "/once/a/x"));
    wb_catalog_t *third = wb_catalog_create(3);
    wb_route_t *shorter = stream_route_add(third, "/once/", "llm");
    wb_catalog_seal(third);
    wb_route_moves_t *later = wb_route_moves_create(HORIZON_MS);
    g_assert_cmpuint(wb_route_moves_compare(later, tested.after, third, NOW_MS), ==, 1);
    g_assert_true(wb_route_moves_include(later, "a.example", "/once/b/x", NOW_MS));
    g_assert_true(shorter->moved);
    wb_route_moves_free(later);
    wb_catalog_unref(third);
    case_end(&tested);
}

static void test_split(void) {
    case_t tested = case_begin();
    wb_route_t *route = stream_route_add(tested.after, "/once/", "llm");
    wb_route_add_target(route, "other", 0);
    g_assert_cmpuint(compare(&tested), ==, 0);
    case_end(&tested);
    tested = case_begin();
    route = stream_route_add(tested.after, "/once/", "llm");
    wb_route_add_target(route, "other", 0.1);
    g_assert_cmpuint(compare(&tested), ==, 1);
    case_end(&tested);
}

/* A route that is gone, or can't be taken up for a while, may come back with another service. */
static void test_removed(void) {
    case_t tested = case_begin();
    g_assert_cmpuint(compare(&tested), ==, 1);
    g_assert_true(has_moved(&tested, "/once/x"));
    case_end(&tested);
    tested = case_begin();
    stream_route_add(tested.after, "/once/", "llm")->resumable = FALSE;
    g_assert_cmpuint(compare(&tested), ==, 1);
    case_end(&tested);
}

/* Guards against streams that began while they couldn't be taken up, and so before it was stored
 * where, being taken for ones of the present version. */
static void test_becomes_resumable(void) {
    case_t tested = case_begin();
    wb_catalog_seal(tested.before);
    wb_catalog_route(tested.before, "a.example", "/once/")->resumable = FALSE;
    stream_route_add(tested.after, "/once/", "llm");
    g_assert_cmpuint(compare(&tested), ==, 1);
    g_assert_true(has_moved(&tested, "/once/x"));
    case_end(&tested);
}

/* Guards against a route that moved twice being used before its first move is stored. */
static void test_unstored_move_stays(void) {
    case_t tested = case_begin();
    stream_route_add(tested.after, "/once/", "other");
    g_assert_cmpuint(compare(&tested), ==, 1);
    wb_catalog_t *third = wb_catalog_create(3);
    wb_route_t *route = stream_route_add(third, "/once/", "other");
    wb_catalog_seal(third);
    g_assert_cmpuint(wb_route_moves_compare(tested.moves, tested.after, third, NOW_MS), ==, 0);
    g_assert_true(route->moved);
    route->moved = FALSE;
    tested.after->moves_stored = TRUE;
    wb_route_moves_compare(tested.moves, tested.after, third, NOW_MS);
    g_assert_false(route->moved);
    wb_catalog_unref(third);
    case_end(&tested);
}

static void test_bounded(void) {
    wb_route_moves_t *moves = wb_route_moves_create(HORIZON_MS);
    for (uint64_t hash = 0; hash < WB_ROUTE_MOVES_MAX; hash++)
        wb_route_moves_add(moves, hash, NOW_MS);
    g_assert_false(wb_route_moves_has_all(moves, NOW_MS));
    g_autoptr(GArray) hashes = wb_route_moves_hashes(moves, NOW_MS);
    g_assert_cmpuint(hashes->len, ==, WB_ROUTE_MOVES_MAX);
    wb_route_moves_add(moves, WB_ROUTE_MOVES_MAX, NOW_MS);
    g_assert_true(wb_route_moves_has_all(moves, NOW_MS));
    g_assert_true(wb_route_moves_include(moves, "a.example", "/", NOW_MS));
    g_assert_false(wb_route_moves_has_all(moves, NOW_MS + HORIZON_MS + 1));
    wb_route_moves_free(moves);
}

static void tests_add(void) {
    g_test_add_func("/route-moves/same-service", test_same_service);
    g_test_add_func("/route-moves/other-service", test_other_service);
    g_test_add_func("/route-moves/longer-prefix", test_longer_prefix);
    g_test_add_func("/route-moves/split", test_split);
    g_test_add_func("/route-moves/removed", test_removed);
    g_test_add_func("/route-moves/becomes-resumable", test_becomes_resumable);
    g_test_add_func("/route-moves/unstored-move-stays", test_unstored_move_stays);
    g_test_add_func("/route-moves/bounded", test_bounded);
}

UNIT_TEST_MAIN(tests_add)
