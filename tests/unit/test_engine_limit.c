/* Guards against nodes that together exceed a rate limit an engine reported, or leave it unused. */
#include "unit.h"

#include "wickbridge/engine_limit.h"

#include <math.h>

#define CONTACT_MS 3000
#define PERIOD_MS 4000
#define STEP_MS 50

/* Nodes that always have requests to send. */
typedef struct node_set_t {
    unsigned count;
    wb_engine_limit_t *limits;
    wb_share_rank_t *places;
} node_set_t;

static node_set_t node_set_create(unsigned count, double per_s, int64_t limit_reported_ms) {
    node_set_t set = {count, g_new0(wb_engine_limit_t, count), g_new0(wb_share_rank_t, count)};
    g_autoptr(GHashTable) ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < count; i++) {
        g_hash_table_add(ids, g_strdup_printf("edge-%u", i));
    }
    for (unsigned i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("edge-%u", i);
        set.places[i] = (wb_share_rank_t){count, wb_rendezvous_rank("e1@5", id, ids)};
        wb_engine_limit_set(&set.limits[i], per_s, limit_reported_ms, limit_reported_ms);
    }
    return set;
}

static void node_set_clear(node_set_t *set) {
    for (unsigned i = 0; i < set->count; i++) {
        wb_engine_limit_clear(&set->limits[i]);
    }
    g_free(set->limits);
    g_free(set->places);
}

/* Every node sends whenever its limit allows. @return attempts per step */
static GArray *node_set_run(node_set_t *set, int64_t from_ms, int64_t duration_ms) {
    GArray *sent = g_array_new(FALSE, FALSE, sizeof(unsigned));
    for (int64_t now_ms = from_ms; now_ms < from_ms + duration_ms; now_ms += STEP_MS) {
        unsigned count = 0;
        for (unsigned i = 0; i < set->count; i++) {
            while (wb_engine_limit_next_ms(&set->limits[i], &set->places[i], 0, now_ms) == now_ms) {
                wb_engine_limit_record(&set->limits[i], now_ms);
                count++;
            }
        }
        g_array_append_val(sent, count);
    }
    return sent;
}

static unsigned max_in_window(const GArray *sent, int64_t window_ms) {
    unsigned max_sent = 0;
    guint steps = (guint)(window_ms / STEP_MS);
    for (guint first = 0; first < sent->len; first++) {
        unsigned sum = 0;
        for (guint i = first; i < MIN(first + steps, sent->len); i++) {
            sum += g_array_index(sent, unsigned, i);
        }
        max_sent = MAX(max_sent, sum);
    }
    return max_sent;
}

static unsigned total_sent(const GArray *sent) {
    return max_in_window(sent, (int64_t)sent->len * STEP_MS);
}

/* Holds for all fleet sizes and limits, with half a second of network delay added to the window. */
static void test_together(void) {
    static const unsigned sizes[] = {1, 2, 7, 20, 87, 985};
    static const double limits[] = {0, 0.1, 0.4, 1, 2.5, 40, 700};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(limits); j++) {
            node_set_t set = node_set_create(sizes[i], limits[j], 1000);
            g_autoptr(GArray) sent = node_set_run(&set, 1000, 9000);
            unsigned max_sent = max_in_window(sent, PERIOD_MS + 500);
            g_assert_cmpfloat(max_sent, <=, MAX(floor(limits[j] * 4), 1));
            g_assert_cmpfloat(total_sent(sent), >=, MAX(floor(limits[j] * 4), 1));
            node_set_clear(&set);
        }
    }
}

/* When the engine is unresponsive, the nodes probe it in turn, and the limit still holds. */
static void test_turns(void) {
    static const unsigned sizes[] = {2, 7, 87};
    static const double limits[] = {0, 0.4, 1};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(limits); j++) {
            node_set_t set = node_set_create(sizes[i], limits[j], 1000);
            g_autoptr(GArray) sent = node_set_run(&set, 1000, 10000 + 5000 * (int64_t)sizes[i]);
            unsigned max_sent = max_in_window(sent, PERIOD_MS + 500);
            g_assert_cmpfloat(max_sent, <=, MAX(floor(limits[j] * 4), 1) + 2);
            g_assert_cmpfloat(max_sent, <=, 1.5 * limits[j] * 4 + 5);
            for (unsigned node = 0; node < sizes[i]; node++) {
                g_assert_nonnull(set.limits[node].limiter.sent_ms);
            }
            node_set_clear(&set);
        }
    }
}

/* A node without a share gets the time of its turn as next send time. */
static void test_turn_is_told(void) {
    wb_engine_limit_t limit = {0};
    wb_share_rank_t place = {8, 6};
    wb_engine_limit_set(&limit, 1, 0, 1000);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &place, 0, 2000), ==, 1000 + 10000 + 2 * 5000);
    wb_engine_limit_record(&limit, 21500);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &place, 0, 22000), ==, 21000 + 4 * 5000);
    /* The engine responds again: the turns restart. */
    wb_engine_limit_set(&limit, 1, 21500, 21600);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &place, 0, 22000), ==,
                    21600 + 10000 + 2 * 5000);
    wb_engine_limit_clear(&limit);
}

static void test_no_part(void) {
    wb_engine_limit_t limit = {0};
    wb_share_rank_t none = {0, 0};
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &none, 0, 500), ==, 500);
    wb_engine_limit_set(&limit, 100, 0, 400);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &none, 0, 500), ==, G_MAXINT64);
}

/* Responses that arrive out of order don't raise or end a limit wrongly. */
static void test_order_of_answers(void) {
    wb_engine_limit_t limit = {0};
    g_assert_true(wb_engine_limit_set(&limit, 2, 100, 300));
    /* That request was sent before the limit was reported, so its response may be older. */
    g_assert_false(wb_engine_limit_end(&limit, 250));
    g_assert_true(limit.named);
    /* Which response is newer is unknown: the stricter limit holds until a newer response. */
    g_assert_true(wb_engine_limit_set(&limit, 1, 200, 400));
    g_assert_false(wb_engine_limit_set(&limit, 2, 350, 500));
    g_assert_cmpfloat(limit.per_s, ==, 1);
    g_assert_true(wb_engine_limit_set(&limit, 2, 600, 700));
    g_assert_cmpfloat(limit.per_s, ==, 2);
    g_assert_true(wb_engine_limit_end(&limit, 800));
    g_assert_false(limit.named);
    /* A late response to an earlier request starts no limit. */
    g_assert_false(wb_engine_limit_set(&limit, 2, 750, 900));
    g_assert_false(limit.named);
    g_assert_true(wb_engine_limit_set(&limit, 2, 850, 950));
    wb_engine_limit_clear(&limit);
}

static void tests_add(void) {
    g_test_add_func("/engine-limit/together", test_together);
    g_test_add_func("/engine-limit/turns", test_turns);
    g_test_add_func("/engine-limit/turn-is-told", test_turn_is_told);
    g_test_add_func("/engine-limit/no-part", test_no_part);
    g_test_add_func("/engine-limit/order-of-answers", test_order_of_answers);
}

UNIT_TEST_MAIN(tests_add)
