/* Requests that crash engines are told from those that happened to run there. */
#include "unit.h"

#include "poison/poison_registry.h"

#include <string.h>

#define BODY_BYTES 500
#define NOW_MS 1000000

static wb_poison_registry_t *book_create(void) {
    static const wb_poison_options_t usual = {0};
    return wb_poison_registry_create(&usual);
}

static wb_request_digest_t digest_of(unsigned number) {
    wb_request_digest_t digest = {{0}};
    memcpy(digest.bytes, &number, sizeof(number));
    return digest;
}

static wb_poison_state_t state_of(const wb_poison_registry_t *book, unsigned number) {
    wb_request_digest_t digest = digest_of(number);
    return wb_poison_entry_state(wb_poison_registry_find(book, &digest));
}

static gboolean note(wb_poison_registry_t *book, unsigned number, uint64_t engine) {
    wb_request_digest_t digest = digest_of(number);
    return wb_poison_registry_add_crash(book, &digest, BODY_BYTES, engine, NOW_MS);
}

static gboolean forgive(wb_poison_registry_t *book, unsigned number) {
    wb_request_digest_t digest = digest_of(number);
    return wb_poison_registry_clear_crashes(book, &digest);
}

static void merge_all(wb_poison_registry_t *to, const wb_poison_registry_t *from) {
    WB_LIST_EACH(item, wb_poison_registry_entries(from)) {
        wb_poison_registry_merge(to, WB_LIST_OF(item, wb_poison_entry_t, item));
    }
}

static void test_three_engines(void) {
    wb_poison_registry_t *book = book_create();
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_NONE);
    g_assert_true(note(book, 1, 10));
    g_assert_true(note(book, 1, 11));
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_SUSPECT);
    g_assert_true(note(book, 1, 12));
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(book, 2), ==, WB_POISON_NONE);
    g_assert_cmpuint(wb_poison_registry_count(book, WB_POISON_REFUSED), ==, 1);
    wb_poison_registry_free(book);
}

/* Several copies that one engine took along count once. */
static void test_one_engine_counts_once(void) {
    wb_poison_registry_t *book = book_create();
    g_assert_true(note(book, 1, 10));
    for (int i = 0; i < 10; i++) {
        g_assert_false(note(book, 1, 10));
    }
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_SUSPECT);
    wb_poison_registry_free(book);
}

/* A bystander is served whole between two crashes: it starts anew. */
static void test_good_end_forgives(void) {
    wb_poison_registry_t *book = book_create();
    note(book, 1, 10);
    note(book, 1, 11);
    g_assert_true(forgive(book, 1));
    g_assert_false(forgive(book, 1));
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_NONE);
    g_assert_false(note(book, 1, 10)); /* known and forgiven: a late report of the same crash */
    note(book, 1, 12);
    note(book, 1, 13);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_SUSPECT);
    note(book, 1, 14);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(book);
}

/* Three nodes saw one crash each: whoever hears of them in whatever order knows the request. */
static void test_merge_in_any_order(void) {
    static const int orders[][3] = {{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}};
    wb_poison_registry_t *nodes[3];
    for (int i = 0; i < 3; i++) {
        nodes[i] = book_create();
        note(nodes[i], 1, 10 + (uint64_t)i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        wb_poison_registry_t *keeper = book_create();
        for (int j = 0; j < 3; j++) {
            merge_all(keeper, nodes[orders[i][j]]);
            merge_all(keeper, nodes[orders[i][0]]); /* told twice */
        }
        g_assert_cmpint(state_of(keeper, 1), ==, WB_POISON_REFUSED);
        wb_poison_registry_free(keeper);
    }
    for (int i = 0; i < 3; i++) {
        wb_poison_registry_free(nodes[i]);
    }
}

/* What was forgiven isn't brought back by a node that hasn't heard of it. */
static void test_old_news_dont_undo_forgiveness(void) {
    wb_poison_registry_t *served = book_create();
    wb_poison_registry_t *lagging = book_create();
    note(lagging, 1, 10);
    note(lagging, 1, 11);
    merge_all(served, lagging);
    forgive(served, 1);
    merge_all(served, lagging);
    g_assert_cmpint(state_of(served, 1), ==, WB_POISON_NONE);
    merge_all(lagging, served);
    g_assert_cmpint(state_of(lagging, 1), ==, WB_POISON_NONE);
    wb_poison_registry_free(served);
    wb_poison_registry_free(lagging);
}

static void test_merge_tells_news_once(void) {
    wb_poison_registry_t *left = book_create();
    wb_poison_registry_t *right = book_create();
    note(left, 1, 10);
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

/* A refused request is let through after its time; one more crash refuses it again. */
static void test_time_is_over(void) {
    wb_poison_registry_t *book = book_create();
    note(book, 1, 10);
    note(book, 1, 11);
    note(book, 1, 12);
    note(book, 1, 13);
    note(book, 2, 10);
    wb_poison_registry_sweep(book, NOW_MS + WB_POISON_RETENTION_MS - 1);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(book, 2), ==, WB_POISON_SUSPECT);
    wb_poison_registry_sweep(book, NOW_MS + WB_POISON_RETENTION_MS);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_SUSPECT);
    g_assert_cmpint(state_of(book, 2), ==, WB_POISON_NONE);
    note(book, 1, 14);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(book);
}

/* Two nodes that let a request through at different moments don't make each other refuse it. */
static void test_let_through_alike(void) {
    wb_poison_registry_t *first = book_create();
    wb_poison_registry_t *second = book_create();
    for (uint64_t engine = 13; engine >= 10; engine--) {
        note(first, 1, engine);
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

/* Many requests that break off with engines don't push out those that matter. */
static void test_bystanders_give_way(void) {
    wb_poison_registry_t *book = book_create();
    for (uint64_t engine = 10; engine < 13; engine++) {
        note(book, 1, engine);
    }
    note(book, 2, 10);
    note(book, 2, 11);
    for (unsigned number = 100; number < 100 + 10 * WB_POISON_ENTRIES; number++) {
        note(book, number, 20);
    }
    g_assert_cmpuint(wb_poison_registry_entries(book)->len, ==, WB_POISON_ENTRIES);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(book, 2), ==, WB_POISON_SUSPECT);
    wb_poison_registry_free(book);
}

/* Of many engines only some are kept; those that are forgiven give way to new ones. */
static void test_many_engines(void) {
    wb_poison_registry_t *book = book_create();
    for (uint64_t engine = 10; engine < 50; engine++) {
        note(book, 1, engine);
    }
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    g_assert_true(forgive(book, 1));
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_NONE);
    for (uint64_t engine = 60; engine < 63; engine++) {
        g_assert_true(note(book, 1, engine));
    }
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    wb_poison_registry_free(book);
}

/* A refused request is tried a minute after it came again, then ever more rarely. */
static void test_trials(void) {
    wb_poison_registry_t *book = book_create();
    wb_request_digest_t digest = digest_of(1);
    note(book, 1, 10);
    note(book, 1, 11);
    g_assert_false(wb_poison_registry_take_trial(book, &digest, NOW_MS));
    note(book, 1, 12);
    int64_t now_ms = NOW_MS;
    int64_t pause_ms = WB_POISON_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(book, &digest, now_ms));
    for (int i = 0; i < 3; i++) {
        g_assert_false(wb_poison_registry_take_trial(book, &digest, now_ms + pause_ms - 1));
        now_ms += pause_ms;
        g_assert_true(wb_poison_registry_take_trial(book, &digest, now_ms));
        g_assert_false(wb_poison_registry_take_trial(book, &digest, now_ms));
        pause_ms *= WB_POISON_TRIAL_FACTOR;
    }
    forgive(book, 1);
    g_assert_false(wb_poison_registry_take_trial(book, &digest, now_ms + pause_ms));
    wb_poison_registry_free(book);
}

/* A bystander that ended up refused beside the poison is tried soon, and not at the same time. */
static void test_tied_requests_are_tried_soon(void) {
    wb_poison_registry_t *book = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t poison = digest_of(1);
    wb_request_digest_t bystander = digest_of(2);
    wb_request_digest_t alone = digest_of(3);
    for (uint64_t engine = 10; engine < 13; engine++) {
        note(book, 1, engine);
        note(book, 2, engine);
        note(book, 3, engine + 10);
    }
    int64_t due_ms = NOW_MS + WB_POISON_OVERLAP_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(book, &poison, NOW_MS));
    g_assert_false(wb_poison_registry_take_trial(book, &bystander, NOW_MS));
    g_assert_false(wb_poison_registry_take_trial(book, &alone, NOW_MS));
    g_assert_true(wb_poison_registry_take_trial(book, &poison, due_ms));
    g_assert_false(wb_poison_registry_take_trial(book, &bystander, due_ms));
    note(book, 1, 13);
    due_ms += WB_POISON_TRIAL_SPACING_MS;
    g_assert_true(wb_poison_registry_take_trial(book, &bystander, due_ms));
    forgive(book, 2);
    g_assert_cmpint(state_of(book, 1), ==, WB_POISON_REFUSED);
    g_assert_cmpint(state_of(book, 2), ==, WB_POISON_NONE);
    g_assert_false(wb_poison_registry_take_trial(book, &alone, due_ms + 2 * WB_POISON_TRIAL_SPACING_MS));
    wb_poison_registry_free(book);
}

/* Guards against a harmless request that stays refused because each node that could have tried it
 * ended before it had been one for long enough: the time runs from the last crash. */
static void test_trials_outlive_nodes(void) {
    wb_poison_registry_t *book = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_poison_registry_t *later = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t bystander = digest_of(2);
    for (uint64_t engine = 10; engine < 13; engine++) {
        note(book, 1, engine);
        note(book, 2, engine);
    }
    WB_LIST_EACH(item, wb_poison_registry_entries(book)) {
        wb_poison_registry_merge(later, WB_LIST_OF(item, wb_poison_entry_t, item));
    }
    int64_t due_ms = NOW_MS + WB_POISON_OVERLAP_TRIAL_MS;
    g_assert_false(wb_poison_registry_take_trial(later, &bystander, due_ms - 1));
    g_assert_true(wb_poison_registry_take_trial(later, &bystander, due_ms));
    wb_poison_registry_free(book);
    wb_poison_registry_free(later);
}

/* The same where what other nodes told was seconds on its way, so that the crash looks newer. */
static void test_trials_of_late_news(void) {
    enum { LATE_MS = 4000 };
    wb_poison_registry_t *book = wb_poison_registry_create(&(wb_poison_options_t){0});
    wb_request_digest_t bystander = digest_of(2);
    for (uint64_t engine = 10; engine < 13; engine++) {
        note(book, 1, engine);
        note(book, 2, engine);
    }
    wb_poison_entry_t late = *wb_poison_registry_find(book, &bystander);
    late.until_ms += LATE_MS;
    wb_poison_registry_merge(book, &late);
    g_assert_false(wb_poison_registry_take_trial(book, &bystander, NOW_MS + 100));
    g_assert_true(
        wb_poison_registry_take_trial(book, &bystander, NOW_MS + 100 + WB_POISON_OVERLAP_TRIAL_MS));
    wb_poison_registry_free(book);
}

static void test_lengths(void) {
    wb_poison_registry_t *book = book_create();
    g_assert_false(wb_poison_registry_has_length(book, BODY_BYTES));
    note(book, 1, 10);
    g_assert_true(wb_poison_registry_has_length(book, BODY_BYTES));
    g_assert_false(wb_poison_registry_has_length(book, BODY_BYTES + 1));
    wb_poison_registry_free(book);
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
