/* Guards against streams that begin at a version which a lease's holder counts no more. */
#include "unit.h"

#include "fleet/version_history.h"

#define NOW_MS 1000000
#define HORIZON_MS 50000
#define LONG_MS (HORIZON_MS / 2 + 1)

/* A version of "llm" that was stored when an engine was last seen to have it, at NOW_MS. */
static wb_version_history_t *history_begin(void) {
    wb_version_history_t *history = wb_version_history_create(HORIZON_MS, NOW_MS);
    g_assert_true(wb_version_history_see(history, "llm", "v1", NOW_MS));
    g_assert_false(wb_version_history_may_begin(history, "llm", "v1"));
    g_assert_true(wb_version_history_confirm(history, wb_version_history_number(history)));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    return history;
}

static void test_stays(void) {
    wb_version_history_t *history = history_begin();
    for (int64_t now_ms = NOW_MS; now_ms < NOW_MS + 2 * HORIZON_MS; now_ms += HORIZON_MS / 4)
        g_assert_false(wb_version_history_see(history, "llm", "v1", now_ms));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    wb_version_history_free(history);
}

static void test_returns_late(void) {
    wb_version_history_t *history = history_begin();
    uint64_t number = wb_version_history_number(history);
    g_assert_true(wb_version_history_see(history, "llm", "v1", NOW_MS + LONG_MS));
    g_assert_false(wb_version_history_may_begin(history, "llm", "v1"));
    /* The row that was written before doesn't show that it has come back. */
    g_assert_false(wb_version_history_confirm(history, number));
    g_assert_true(wb_version_history_confirm(history, number + 1));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    wb_version_history_free(history);
}

/* A message of the holder may have been under way since before the version came back. */
static void test_returns_before_it_is_listed(void) {
    wb_version_history_t *history = history_begin();
    g_assert_true(wb_version_history_see(history, "llm", "v1", NOW_MS + LONG_MS));
    g_assert_false(wb_version_history_see_stored(history, "llm", "v1", NOW_MS));
    g_assert_false(wb_version_history_may_begin(history, "llm", "v1"));
    g_assert_true(wb_version_history_see_stored(history, "llm", "v1", NOW_MS + LONG_MS));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    wb_version_history_free(history);
}

/* The holder saw it first. */
static void test_is_listed_before_it_is_seen(void) {
    wb_version_history_t *history = history_begin();
    wb_version_history_see_stored(history, "llm", "v1", NOW_MS + LONG_MS);
    g_assert_false(wb_version_history_see(history, "llm", "v1", NOW_MS + LONG_MS + 1));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    wb_version_history_free(history);
}

static void tests_add(void) {
    g_test_add_func("/version-history/stays", test_stays);
    g_test_add_func("/version-history/returns-late", test_returns_late);
    g_test_add_func("/version-history/returns-before-it-is-listed",
                    test_returns_before_it_is_listed);
    g_test_add_func("/version-history/is-listed-before-it-is-seen",
                    test_is_listed_before_it_is_seen);
}

UNIT_TEST_MAIN(tests_add)
