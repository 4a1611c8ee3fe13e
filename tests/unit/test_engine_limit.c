/* Parts of what an engine takes: together they never exceed it, and they use it. */
#include "unit.h"

#include "wickbridge/engine_limit.h"

#include <math.h>

#define CONTACT_MS 3000
#define PERIOD_MS 4000
#define STEP_MS 50

/* Nodes that all want to send all the time. */
typedef struct crowd_t {
    unsigned count;
    wb_engine_limit_t *limits;
    wb_share_rank_t *places;
} crowd_t;

static crowd_t crowd_create(unsigned count, double per_s, int64_t limit_reported_ms) {
    crowd_t crowd = {count, g_new0(wb_engine_limit_t, count), g_new0(wb_share_rank_t, count)};
    g_autoptr(GHashTable) ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < count; i++) {
        g_hash_table_add(ids, g_strdup_printf("edge-%u", i));
    }
    for (unsigned i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("edge-%u", i);
        crowd.places[i] = (wb_share_rank_t){count, wb_rendezvous_rank("e1@5", id, ids)};
        wb_engine_limit_set(&crowd.limits[i], per_s, limit_reported_ms, limit_reported_ms);
    }
    return crowd;
}

static void crowd_clear(crowd_t *crowd) {
    for (unsigned i = 0; i < crowd->count; i++) {
        wb_engine_limit_clear(&crowd->limits[i]);
    }
    g_free(crowd->limits);
    g_free(crowd->places);
}

/* Each node that may send does so, for so long. @return sendings by step */
static GArray *crowd_play(crowd_t *crowd, int64_t from_ms, int64_t duration_ms) {
    GArray *sent = g_array_new(FALSE, FALSE, sizeof(unsigned));
    for (int64_t now_ms = from_ms; now_ms < from_ms + duration_ms; now_ms += STEP_MS) {
        unsigned count = 0;
        for (unsigned i = 0; i < crowd->count; i++) {
            while (wb_engine_limit_next_ms(&crowd->limits[i], &crowd->places[i], 0, now_ms) ==
                   now_ms) {
                wb_engine_limit_record(&crowd->limits[i], now_ms);
                count++;
            }
        }
        g_array_append_val(sent, count);
    }
    return sent;
}

static unsigned most_in(const GArray *sent, int64_t window_ms) {
    unsigned most = 0;
    guint steps = (guint)(window_ms / STEP_MS);
    for (guint first = 0; first < sent->len; first++) {
        unsigned sum = 0;
        for (guint i = first; i < MIN(first + steps, sent->len); i++) {
            sum += g_array_index(sent, unsigned, i);
        }
        most = MAX(most, sum);
    }
    return most;
}

static unsigned sum_of(const GArray *sent) {
    return most_in(sent, (int64_t)sent->len * STEP_MS);
}

/* At all sizes and limits, with what was half a second longer on its way. */
static void test_together(void) {
    static const unsigned sizes[] = {1, 2, 7, 20, 87, 985};
    static const double limits[] = {0, 0.1, 0.4, 1, 2.5, 40, 700};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(limits); j++) {
            crowd_t crowd = crowd_create(sizes[i], limits[j], 1000);
            g_autoptr(GArray) sent = crowd_play(&crowd, 1000, 9000);
            unsigned most = most_in(sent, PERIOD_MS + 500);
            g_assert_cmpfloat(most, <=, MAX(floor(limits[j] * 4), 1));
            g_assert_cmpfloat(sum_of(sent), >=, MAX(floor(limits[j] * 4), 1));
            crowd_clear(&crowd);
        }
    }
}

/* Nobody hears the engine any more: all try in turn, and the bound holds meanwhile. */
static void test_turns(void) {
    static const unsigned sizes[] = {2, 7, 87};
    static const double limits[] = {0, 0.4, 1};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(limits); j++) {
            crowd_t crowd = crowd_create(sizes[i], limits[j], 1000);
            g_autoptr(GArray) sent = crowd_play(&crowd, 1000, 10000 + 5000 * (int64_t)sizes[i]);
            unsigned most = most_in(sent, PERIOD_MS + 500);
            g_assert_cmpfloat(most, <=, MAX(floor(limits[j] * 4), 1) + 2);
            g_assert_cmpfloat(most, <=, 1.5 * limits[j] * 4 + 5);
            for (unsigned node = 0; node < sizes[i]; node++) {
                g_assert_nonnull(crowd.limits[node].gate.sent_ms);
            }
            crowd_clear(&crowd);
        }
    }
}

/* A node without a part is told when its turn comes, not that it never does. */
static void test_turn_is_told(void) {
    wb_engine_limit_t limit = {0};
    wb_share_rank_t place = {8, 6};
    wb_engine_limit_set(&limit, 1, 0, 1000);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &place, 0, 2000), ==, 1000 + 10000 + 2 * 5000);
    wb_engine_limit_record(&limit, 21500);
    g_assert_cmpint(wb_engine_limit_next_ms(&limit, &place, 0, 22000), ==, 21000 + 4 * 5000);
    /* It is heard again: the turns begin anew. */
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

/* Answers overtake one another. */
static void test_order_of_answers(void) {
    wb_engine_limit_t limit = {0};
    g_assert_true(wb_engine_limit_set(&limit, 2, 100, 300));
    /* Sent before the limit was named: it may have been answered before. */
    g_assert_false(wb_engine_limit_end(&limit, 250));
    g_assert_true(limit.named);
    /* Not known which is the newer one: the stricter holds, until a newer one tells otherwise. */
    g_assert_true(wb_engine_limit_set(&limit, 1, 200, 400));
    g_assert_false(wb_engine_limit_set(&limit, 2, 350, 500));
    g_assert_cmpfloat(limit.per_s, ==, 1);
    g_assert_true(wb_engine_limit_set(&limit, 2, 600, 700));
    g_assert_cmpfloat(limit.per_s, ==, 2);
    g_assert_true(wb_engine_limit_end(&limit, 800));
    g_assert_false(limit.named);
    /* An answer to an earlier request that comes late begins nothing. */
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
