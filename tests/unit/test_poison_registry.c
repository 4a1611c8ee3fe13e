/* Guards against harmless requests that are refused as poison, and poison requests that are not. */
#include "unit.h"

#include "poison/poison_registry.h"

#include <string.h>

#define BODY_BYTES 500
#define NOW_MS 1000000

static wb_poison_registry_t *registry_create(void) {
    static const wb_poison_options_t defaults = {0};
    return wb_poison_registry_create(&defaults);
}

static wb_request_digest_t digest_of(unsigned id) {
    wb_request_digest_t digest = {{0}};
    memcpy(digest.bytes, &id, sizeof(id));
    return digest;
}

static wb_poison_state_t state_of(const wb_poison_registry_t *registry, unsigned id) {
    wb_request_digest_t digest = digest_of(id);
    return wb_poison_entry_state(wb_poison_registry_find(registry, &digest));
}

static gboolean add_crash(wb_poison_registry_t *registry, unsigned id, uint64_t engine) {
    wb_request_digest_t digest = digest_of(id);
    return wb_poison_registry_add_crash(registry, &digest, BODY_BYTES, engine, NOW_MS);
}

static gboolean clear_crashes(wb_poison_registry_t *registry, unsigned id) {
    wb_request_digest_t digest = digest_of(id);
    return wb_poison_registry_clear_crashes(registry, &digest);
}

static void merge_all(wb_poison_registry_t *to, const wb_poison_registry_t *from) {
    WB_LIST_EACH(item, wb_poison_registry_entries(from)) {
        wb_poison_registry_merge(to, WB_LIST_OF(item, wb_poison_entry_t, item));
    }
}

static void test_three_engines(void) {
    wb_poison_registry_t *registry = registry_create();
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_NONE);
    g_assert_true(add_crash(registry, 1, 10));
    g_assert_true(add_crash(registry, 1, 11));
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_SUSPECT);
    g_assert_true(add_crash(registry, 1, 12));
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(registry, 2), ==, WB_POISON_NONE);
    g_assert_cmpuint(wb_poison_registry_count(registry, WB_POISON_REFUSED), ==, 1);
    wb_poison_registry_free(registry);
}

/* Several copies of a request on one crashed engine count once. */
static void test_one_engine_counts_once(void) {
    wb_poison_registry_t *registry = registry_create();
    g_assert_true(add_crash(registry, 1, 10));
    for (int i = 0; i < 10; i++) {
        g_assert_false(add_crash(registry, 1, 10));
    }
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_SUSPECT);
    wb_poison_registry_free(registry);
}

/* A bystander that completes between two crashes is cleared: counting restarts. */
static void test_good_end_forgives(void) {
    wb_poison_registry_t *registry = registry_create();
    add_crash(registry, 1, 10);
    add_crash(registry, 1, 11);
    g_assert_true(clear_crashes(registry, 1));
    g_assert_false(clear_crashes(registry, 1));
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_NONE);
    /* Already cleared: a late report of the same crash. */
    g_assert_false(add_crash(registry, 1, 10));
    add_crash(registry, 1, 12);
    add_crash(registry, 1, 13);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_SUSPECT);
    add_crash(registry, 1, 14);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(registry);
}

/* Three nodes saw one crash each: merging their entries in any order gets the request refused. */
static void test_merge_in_any_order(void) {
    static const int orders[][3] = {{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}};
    wb_poison_registry_t *nodes[3];
    for (int i = 0; i < 3; i++) {
        nodes[i] = registry_create();
        add_crash(nodes[i], 1, 10 + (uint64_t)i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        wb_poison_registry_t *aggregator = registry_create();
        for (int j = 0; j < 3; j++) {
            merge_all(aggregator, nodes[orders[i][j]]);
            merge_all(aggregator, nodes[orders[i][0]]); /* received twice */
        }
        g_assert_cmpint(state_of(aggregator, 1), ==, WB_POISON_REFUSED);
        wb_poison_registry_free(aggregator);
    }
    for (int i = 0; i < 3; i++) {
        wb_poison_registry_free(nodes[i]);
    }
}

/* A cleared crash isn't restored by a node that hasn't received the clearing. */
static void test_old_news_dont_undo_forgiveness(void) {
    wb_poison_registry_t *up_to_date = registry_create();
    wb_poison_registry_t *lagging = registry_create();
    add_crash(lagging, 1, 10);
    add_crash(lagging, 1, 11);
    merge_all(up_to_date, lagging);
    clear_crashes(up_to_date, 1);
    merge_all(up_to_date, lagging);
    g_assert_cmpint(state_of(up_to_date, 1), ==, WB_POISON_NONE);
    merge_all(lagging, up_to_date);
    g_assert_cmpint(state_of(lagging, 1), ==, WB_POISON_NONE);
    wb_poison_registry_free(up_to_date);
    wb_poison_registry_free(lagging);
}

static void test_merge_tells_news_once(void) {
    wb_poison_registry_t *left = registry_create();
    wb_poison_registry_t *right = registry_create();
    add_crash(left, 1, 10);
    const wb_poison_entry_t *entry =
        WB_LIST_OF(wb_list_first(wb_poison_registry_entries(left)), wb_poison_entry_t, item);
    uint64_t before = wb_poison_registry_version(right);
    g_assert_true(wb_poison_registry_merge(right, entry));
    g_assert_cmpuint(wb_poison_registry_version(right), >, before);
    before = wb_poison_registry_version(right);
    g_assert_false(wb_poison_registry_merge(right, entry));
    g_assert_cmpuint(wb_poison_registry_version(right), ==, before);
    wb_poison_registry_free(left);
    wb_poison_registry_free(right);
}

/* A refused request is allowed again after the retention time; one more crash refuses it again. */
static void test_time_is_over(void) {
    wb_poison_registry_t *registry = registry_create();
    add_crash(registry, 1, 10);
    add_crash(registry, 1, 11);
    add_crash(registry, 1, 12);
    add_crash(registry, 1, 13);
    add_crash(registry, 2, 10);
    wb_poison_registry_sweep(registry, NOW_MS + WB_POISON_RETENTION_MS - 1);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(registry, 2), ==, WB_POISON_SUSPECT);
    wb_poison_registry_sweep(registry, NOW_MS + WB_POISON_RETENTION_MS);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_SUSPECT);
    g_assert_cmpint(state_of(registry, 2), ==, WB_POISON_NONE);
    add_crash(registry, 1, 14);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(registry);
}

/* Nodes that expire an entry at different times don't make each other refuse the request again. */
static void test_let_through_alike(void) {
    wb_poison_registry_t *first = registry_create();
    wb_poison_registry_t *second = registry_create();
    for (uint64_t engine = 13; engine >= 10; engine--) {
        add_crash(first, 1, engine);
    }
    merge_all(second, first);
    wb_poison_registry_sweep(first, NOW_MS + WB_POISON_RETENTION_MS);
    merge_all(first, second);
    g_assert_cmpint(state_of(first, 1), ==, WB_POISON_SUSPECT);
    wb_poison_registry_sweep(second, NOW_MS + WB_POISON_RETENTION_MS);
    merge_all(first, second);
    g_assert_cmpint(state_of(first, 1), ==, WB_POISON_SUSPECT);
    wb_poison_registry_free(first);
    wb_poison_registry_free(second);
}

/* Many requests aborted by one engine don't evict suspected or refused ones. */
static void test_bystanders_give_way(void) {
    wb_poison_registry_t *registry = registry_create();
    for (uint64_t engine = 10; engine < 13; engine++) {
        add_crash(registry, 1, engine);
    }
    add_crash(registry, 2, 10);
    add_crash(registry, 2, 11);
    for (unsigned id = 100; id < 100 + 10 * WB_POISON_ENTRIES; id++) {
        add_crash(registry, id, 20);
    }
    g_assert_cmpuint(wb_poison_registry_entries(registry)->len, ==, WB_POISON_ENTRIES);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(registry, 2), ==, WB_POISON_SUSPECT);
    wb_poison_registry_free(registry);
}

/* The engines of an entry are bounded; cleared ones give way to new ones. */
static void test_many_engines(void) {
    wb_poison_registry_t *registry = registry_create();
    for (uint64_t engine = 10; engine < 50; engine++) {
        add_crash(registry, 1, engine);
    }
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    g_assert_true(clear_crashes(registry, 1));
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_NONE);
    for (uint64_t engine = 60; engine < 63; engine++) {
        g_assert_true(add_crash(registry, 1, engine));
    }
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(registry);
}

/* A refused request gets a trial WB_POISON_TRIAL_MS after it was seen again, then at growing
 * intervals. */
static void test_trials(void) {
    wb_poison_registry_t *registry = registry_create();
    wb_request_digest_t digest = digest_of(1);
    add_crash(registry, 1, 10);
    add_crash(registry, 1, 11);
    g_assert_false(wb_poison_registry_take_trial(registry, &digest, NOW_MS));
    add_crash(registry, 1, 12);
    int64_t now_ms = NOW_MS;
    int64_t interval_ms = WB_POISON_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(registry, &digest, now_ms));
    for (int i = 0; i < 3; i++) {
        g_assert_false(wb_poison_registry_take_trial(registry, &digest, now_ms + interval_ms - 1));
        now_ms += interval_ms;
        g_assert_true(wb_poison_registry_take_trial(registry, &digest, now_ms));
        g_assert_false(wb_poison_registry_take_trial(registry, &digest, now_ms));
        interval_ms *= WB_POISON_TRIAL_FACTOR;
    }
    clear_crashes(registry, 1);
    g_assert_false(wb_poison_registry_take_trial(registry, &digest, now_ms + interval_ms));
    wb_poison_registry_free(registry);
}

/* A bystander refused together with the poison request gets an early trial, but not at the same
 * time. */
static void test_tied_requests_are_tried_soon(void) {
    wb_poison_registry_t *registry = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t poison = digest_of(1);
    wb_request_digest_t bystander = digest_of(2);
    wb_request_digest_t unrelated = digest_of(3);
    for (uint64_t engine = 10; engine < 13; engine++) {
        add_crash(registry, 1, engine);
        add_crash(registry, 2, engine);
        add_crash(registry, 3, engine + 10);
    }
    int64_t due_ms = NOW_MS + WB_POISON_OVERLAP_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(registry, &poison, NOW_MS));
    g_assert_false(wb_poison_registry_take_trial(registry, &bystander, NOW_MS));
    g_assert_false(wb_poison_registry_take_trial(registry, &unrelated, NOW_MS));
    g_assert_true(wb_poison_registry_take_trial(registry, &poison, due_ms));
    g_assert_false(wb_poison_registry_take_trial(registry, &bystander, due_ms));
    add_crash(registry, 1, 13);
    due_ms += WB_POISON_TRIAL_SPACING_MS;
    g_assert_true(wb_poison_registry_take_trial(registry, &bystander, due_ms));
    clear_crashes(registry, 2);
    g_assert_cmpint(state_of(registry, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(registry, 2), ==, WB_POISON_NONE);
    g_assert_false(wb_poison_registry_take_trial(registry, &unrelated,
                                                 due_ms + 2 * WB_POISON_TRIAL_SPACING_MS));
    wb_poison_registry_free(registry);
}

/* A harmless request isn't refused forever when nodes restart often: the time to its trial runs
 * from the last crash. */
static void test_trials_outlive_nodes(void) {
    wb_poison_registry_t *registry = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_poison_registry_t *restarted = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t bystander = digest_of(2);
    for (uint64_t engine = 10; engine < 13; engine++) {
        add_crash(registry, 1, engine);
        add_crash(registry, 2, engine);
    }
    WB_LIST_EACH(item, wb_poison_registry_entries(registry)) {
        wb_poison_registry_merge(restarted, WB_LIST_OF(item, wb_poison_entry_t, item));
    }
    int64_t due_ms = NOW_MS + WB_POISON_OVERLAP_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(restarted, &bystander, due_ms - 1));
    g_assert_true(wb_poison_registry_take_trial(restarted, &bystander, due_ms));
    wb_poison_registry_free(registry);
    wb_poison_registry_free(restarted);
}

/* The same when an entry arrives seconds late, so that its crash looks newer. */
static void test_trials_of_late_news(void) {
    enum { LATE_MS = 4000 };
    wb_poison_registry_t *registry = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t bystander = digest_of(2);
    for (uint64_t engine = 10; engine < 13; engine++) {
        add_crash(registry, 1, engine);
        add_crash(registry, 2, engine);
    }
    wb_poison_entry_t late = *wb_poison_registry_find(registry, &bystander);
    late.until_ms += LATE_MS;
    wb_poison_registry_merge(registry, &late);
    g_assert_false(wb_poison_registry_take_trial(registry, &bystander, NOW_MS + 100));
    g_assert_true(wb_poison_registry_take_trial(registry, &bystander,
                                                NOW_MS + 100 + WB_POISON_OVERLAP_TRIAL_MS));
    wb_poison_registry_free(registry);
}

static void test_lengths(void) {
    wb_poison_registry_t *registry = registry_create();
    g_assert_false(wb_poison_registry_has_length(registry, BODY_BYTES));
    add_crash(registry, 1, 10);
    g_assert_true(wb_poison_registry_has_length(registry, BODY_BYTES));
    g_assert_false(wb_poison_registry_has_length(registry, BODY_BYTES + 1));
    wb_poison_registry_free(registry);
}

static void tests_add(void) {
    g_test_add_func("/poison-book/three-engines", test_three_engines);
    g_test_add_func("/poison-book/one-engine-counts-once", test_one_engine_counts_once);
    g_test_add_func("/poison-book/good-end-forgives", test_good_end_forgives);
    g_test_add_func("/poison-book/merge-in-any-order", test_merge_in_any_order);
    g_test_add_func("/poison-book/old-news-dont-undo-forgiveness",
                    test_old_news_dont_undo_forgiveness);
    g_test_add_func("/poison-book/merge-tells-news-once", test_merge_tells_news_once);
    g_test_add_func("/poison-book/time-is-over", test_time_is_over);
    g_test_add_func("/poison-book/let-through-alike", test_let_through_alike);
    g_test_add_func("/poison-book/bystanders-give-way", test_bystanders_give_way);
    g_test_add_func("/poison-book/many-engines", test_many_engines);
    g_test_add_func("/poison-book/tied-requests-are-tried-soon", test_tied_requests_are_tried_soon);
    g_test_add_func("/poison-book/trials", test_trials);
    g_test_add_func("/poison-book/trials-outlive-nodes", test_trials_outlive_nodes);
    g_test_add_func("/poison-book/trials-of-late-news", test_trials_of_late_news);
    g_test_add_func("/poison-book/lengths", test_lengths);
}

UNIT_TEST_MAIN(tests_add)
