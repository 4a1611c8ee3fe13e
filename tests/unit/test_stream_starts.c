/* Guards against streams that go on at a version that isn't known to be theirs. */
#include "unit.h"

#include "fleet/version_history.h"
#include "request/stream_starts.h"

#define NOW_MS 1000000
#define WINDOW_MS 30000

static void test_first_entry_stays(void) {
    wb_stream_starts_t *starts = wb_stream_starts_create();
    wb_request_digest_t key = wb_stream_key(NULL, "r1");
    wb_request_digest_t of_tenant = wb_stream_key("t", "r1");
    g_assert_null(wb_stream_starts_find(starts, &key));
    g_assert_nonnull(wb_stream_starts_add(starts, &key, "llm", "v1", NOW_MS));
    g_assert_null(wb_stream_starts_add(starts, &key, "llm", "v2", NOW_MS));
    g_assert_cmpstr(wb_stream_starts_find(starts, &key)->software_version, ==, "v1");
    g_assert_null(wb_stream_starts_find(starts, &of_tenant));
    wb_stream_starts_sweep(starts, NOW_MS - 1);
    g_assert_nonnull(wb_stream_starts_find(starts, &key));
    wb_stream_starts_sweep(starts, NOW_MS);
    g_assert_null(wb_stream_starts_find(starts, &key));
    wb_stream_starts_free(starts);
}

static void test_services(void) {
    wb_stream_starts_t *starts = wb_stream_starts_create();
    GHashTable *services = wb_stream_starts_services(starts);
    wb_request_digest_t first = wb_stream_key(NULL, "r1");
    wb_request_digest_t second = wb_stream_key(NULL, "r2");
    wb_stream_starts_add(starts, &first, "llm", "v1", NOW_MS);
    wb_stream_starts_restore(starts, &second, "llm", "v2", NOW_MS + 1);
    g_assert_cmpuint(g_hash_table_size(services), ==, 1);
    wb_stream_starts_sweep(starts, NOW_MS);
    g_assert_true(g_hash_table_contains(services, "llm"));
    wb_stream_starts_sweep(starts, NOW_MS + 1);
    g_assert_cmpuint(g_hash_table_size(services), ==, 0);
    wb_stream_starts_free(starts);
}

static void test_bounded(void) {
    wb_stream_starts_t *starts = wb_stream_starts_create();
    for (int i = 0; i < WB_STREAM_STARTS_MAX + 10; i++) {
        g_autofree char *id = g_strdup_printf("r%d", i);
        wb_request_digest_t key = wb_stream_key(NULL, id);
        g_assert_nonnull(wb_stream_starts_add(starts, &key, "llm", "v1", NOW_MS));
    }
    wb_request_digest_t oldest = wb_stream_key(NULL, "r0");
    wb_request_digest_t kept = wb_stream_key(NULL, "r10");
    g_assert_cmpuint(wb_stream_starts_all(starts)->len, ==, WB_STREAM_STARTS_MAX);
    g_assert_null(wb_stream_starts_find(starts, &oldest));
    g_assert_nonnull(wb_stream_starts_find(starts, &kept));
    wb_stream_starts_free(starts);
}

static void test_sole_version(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, 0);
    int64_t enough_ms = WINDOW_MS;
    wb_version_history_see(history, "llm", "v1", 0);
    wb_version_history_see(history, "llm", "v1", enough_ms - 1);
    g_assert_null(wb_version_history_sole(history, "llm", enough_ms - 1)); /* too short */
    g_assert_cmpstr(wb_version_history_sole(history, "llm", enough_ms), ==, "v1");
    g_assert_null(wb_version_history_sole(history, "other", enough_ms));
    wb_version_history_see(history, "llm", "v2", enough_ms);
    g_assert_null(wb_version_history_sole(history, "llm", enough_ms + 1));
    /* v1 is gone for long enough. */
    wb_version_history_see(history, "llm", "v2", 3 * enough_ms);
    g_assert_cmpstr(wb_version_history_sole(history, "llm", 3 * enough_ms), ==, "v2");
    wb_version_history_set_began(history, 3 * enough_ms);
    g_assert_null(wb_version_history_sole(history, "llm", 3 * enough_ms + 1));
    wb_version_history_free(history);
}

/* Starts are stored as long as it matters which version they are of. */
static void test_mixed_versions(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, 0);
    wb_version_history_see(history, "llm", "v1", 100);
    wb_version_history_see(history, "other", "v2", 100);
    g_assert_false(wb_version_history_any_is_mixed(history, 0));
    wb_version_history_see(history, "llm", "v2", 200);
    g_assert_true(wb_version_history_any_is_mixed(history, 100));
    g_assert_true(wb_version_history_is_mixed(history, "llm", 100));
    g_assert_false(wb_version_history_is_mixed(history, "other", 100));
    g_assert_false(wb_version_history_is_mixed(history, "third", 100));
    g_assert_false(wb_version_history_any_is_mixed(history, 101));
    wb_version_history_see(history, "llm", "v1", 300);
    g_assert_true(wb_version_history_is_mixed(history, "llm", 200));
    wb_version_history_free(history);
}

/* Guards against a history that a restart of all nodes ends, though one version only had engines.
 */
static void test_history_of_predecessor(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, WINDOW_MS);
    wb_version_history_see(history, "llm", "v1", WINDOW_MS);
    g_assert_null(wb_version_history_sole(history, "llm", WINDOW_MS));
    wb_version_history_set_began(history, 0);
    g_assert_cmpstr(wb_version_history_sole(history, "llm", WINDOW_MS), ==, "v1");
    g_assert_true(wb_version_history_see_stored(history, "llm", "v2", WINDOW_MS - 1));
    g_assert_false(wb_version_history_see_stored(history, "llm", "v2", WINDOW_MS - 1));
    g_assert_null(wb_version_history_sole(history, "llm", WINDOW_MS));
    wb_version_history_free(history);
}

/* Guards against a stream that begins at a version before a write that has it was answered. */
static void test_stored_versions(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, 0);
    g_assert_true(wb_version_history_see(history, "llm", "v1", 0));
    uint64_t written = wb_version_history_number(history);
    g_assert_true(wb_version_history_see(history, "llm", "v2", 1));
    g_assert_false(wb_version_history_see(history, "llm", "v2", 2));
    g_assert_false(wb_version_history_may_begin(history, "llm", "v1"));
    g_assert_true(wb_version_history_confirm(history, written));
    g_assert_false(wb_version_history_confirm(history, written));
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    g_assert_false(wb_version_history_may_begin(history, "llm", "v2"));
    g_assert_false(wb_version_history_may_begin(history, "other", "v1"));
    wb_version_history_free(history);
}

/* Guards against a store that is away keeping a new service from beginning streams, and against a
 * successor that then takes the version that it sees for the only one. */
static void test_only_version_before_it_is_stored(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, 0);
    g_assert_false(wb_version_history_has_service(history, "llm"));
    wb_version_history_see(history, "llm", "v1", 0);
    wb_version_history_see(history, "other", "v1", 0);
    wb_version_history_allow_only(history, "llm");
    g_assert_true(wb_version_history_may_begin(history, "llm", "v1"));
    wb_version_history_see(history, "llm", "v2", 1);
    wb_version_history_allow_only(history, "llm");
    g_assert_false(wb_version_history_may_begin(history, "llm", "v2"));
    wb_version_history_doubt(history, WINDOW_MS);
    g_assert_cmpstr(wb_version_history_sole(history, "llm", WINDOW_MS + 1), ==, "v2");
    g_assert_null(wb_version_history_sole(history, "other", WINDOW_MS));
    wb_version_history_free(history);
}

/* An unknown version is no match, not even as the only one. */
static void test_unknown_version(void) {
    wb_version_history_t *history = wb_version_history_create(WINDOW_MS, 0);
    wb_version_history_see(history, "llm", "", WINDOW_MS);
    g_assert_null(wb_version_history_sole(history, "llm", WINDOW_MS));
    wb_version_history_free(history);
}

static void tests_add(void) {
    g_test_add_func("/stream-starts/first-entry-stays", test_first_entry_stays);
    g_test_add_func("/stream-starts/services", test_services);
    g_test_add_func("/stream-starts/bounded", test_bounded);
    g_test_add_func("/stream-starts/sole-version", test_sole_version);
    g_test_add_func("/stream-starts/mixed-versions", test_mixed_versions);
    g_test_add_func("/stream-starts/history-of-predecessor", test_history_of_predecessor);
    g_test_add_func("/stream-starts/stored-versions", test_stored_versions);
    g_test_add_func("/stream-starts/only-version-before-it-is-stored",
                    test_only_version_before_it_is_stored);
    g_test_add_func("/stream-starts/unknown-version", test_unknown_version);
}

UNIT_TEST_MAIN(tests_add)
