/* Guards against nodes that together make a brittle engine fall, or that hardly use one that has
 * room.
 */
#include "unit.h"

#include "wickbridge/engine_brittle.h"

#define STEP_MS 10
#define RUN_MS 20000
#define SECOND_MS 1000
/* Time until a rejection or the beginning of an answer arrives. */
#define REJECTION_MS 30
#define ANSWER_MS 60

typedef struct nodes_t {
    unsigned count;
    wb_engine_brittle_t *states;
    wb_share_rank_t *ranks;
} nodes_t;

static nodes_t nodes_create(unsigned count, unsigned rejections) {
    nodes_t nodes = {count, g_new0(wb_engine_brittle_t, count), g_new0(wb_share_rank_t, count)};
    for (unsigned i = 0; i < count; i++) {
        nodes.ranks[i] = (wb_share_rank_t){count, i};
        wb_engine_brittle_set(&nodes.states[i], rejections, 0);
    }
    return nodes;
}

static void nodes_clear(nodes_t *nodes) {
    for (unsigned i = 0; i < nodes->count; i++) {
        wb_engine_brittle_clear(&nodes->states[i]);
    }
    g_free(nodes->states);
    g_free(nodes->ranks);
}

/* Every node sends whenever it may. Returns the times at which the engine got the requests. */
static GArray *run(nodes_t *nodes, gboolean rejects) {
    GArray *sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *owners = g_array_new(FALSE, FALSE, sizeof(unsigned));
    guint answered = 0;
    int64_t delay_ms = rejects ? REJECTION_MS : ANSWER_MS;
    for (int64_t now_ms = STEP_MS; now_ms < RUN_MS; now_ms += STEP_MS) {
        for (; answered < sent->len; answered++) {
            int64_t sent_ms = g_array_index(sent, int64_t, answered);
            wb_engine_brittle_t *state = &nodes->states[g_array_index(owners, unsigned, answered)];
            if (now_ms < sent_ms + delay_ms) {
                break;
            }
            if (rejects) {
                wb_engine_brittle_rejected(state, sent_ms, now_ms);
            } else {
                wb_engine_brittle_accepted(state, sent_ms);
            }
        }
        for (unsigned i = 0; i < nodes->count; i++) {
            while (wb_engine_brittle_next_ms(&nodes->states[i], &nodes->ranks[i], 0, now_ms) <=
                   now_ms) {
                wb_engine_brittle_sent(&nodes->states[i], now_ms);
                g_array_append_val(sent, now_ms);
                g_array_append_val(owners, i);
            }
        }
    }
    g_array_unref(owners);
    return sent;
}

static unsigned most_in_a_second(const GArray *times) {
    unsigned most = 0;
    guint first = 0;
    for (guint i = 0; i < times->len; i++) {
        while (g_array_index(times, int64_t, i) - g_array_index(times, int64_t, first) >=
               SECOND_MS) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

static void test_full_engine(void) {
    static const unsigned counts[] = {1, 3, 7, 10};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        nodes_t nodes = nodes_create(counts[i], 10);
        g_autoptr(GArray) sent = run(&nodes, TRUE);
        g_assert_cmpuint(most_in_a_second(sent), <=, 10);
        g_assert_cmpuint(sent->len, >, 50); /* it finds out when there is room again */
        nodes_clear(&nodes);
    }
}

/* An engine with room gets far more than what it could reject. */
static void test_engine_with_room(void) {
    nodes_t nodes = nodes_create(7, 10);
    g_autoptr(GArray) sent = run(&nodes, FALSE);
    g_assert_cmpuint(sent->len, >, 10 * 10 * RUN_MS / SECOND_MS);
    nodes_clear(&nodes);
}

/* A node without a share sends one request, and rests after a rejection. */
static void test_no_share(void) {
    wb_engine_brittle_t brittle = {0};
    wb_share_rank_t last = {20, 19};
    wb_engine_brittle_set(&brittle, 10, 0);
    g_assert_cmpint(wb_engine_brittle_next_ms(&brittle, &last, 0, 100), ==, 100);
    wb_engine_brittle_sent(&brittle, 100);
    g_assert_cmpint(wb_engine_brittle_next_ms(&brittle, &last, 0, 110), >, 110);
    wb_engine_brittle_rejected(&brittle, 100, 120);
    g_assert_cmpint(wb_engine_brittle_next_ms(&brittle, &last, 0, 1500), >=, 5000);
    wb_engine_brittle_clear(&brittle);
}

static void test_begins_and_ends(void) {
    wb_engine_brittle_t brittle = {0};
    g_assert_cmpint(wb_engine_brittle_next_ms(&brittle, &(wb_share_rank_t){1, 0}, 50, 7), ==, 7);
    g_assert_false(wb_engine_brittle_end(&brittle, 5));
    g_assert_true(wb_engine_brittle_set(&brittle, 4, 100));
    g_assert_false(wb_engine_brittle_set(&brittle, 4, 200));
    g_assert_true(wb_engine_brittle_set(&brittle, 5, 300));
    g_assert_false(wb_engine_brittle_end(&brittle, 250)); /* sent before it was last said */
    g_assert_true(wb_engine_brittle_end(&brittle, 301));
    g_assert_cmpint(wb_engine_brittle_next_ms(&brittle, &(wb_share_rank_t){1, 0}, 50, 400), ==,
                    400);
    wb_engine_brittle_clear(&brittle);
}

/* Requests that wait are spread over the times at which they may be sent. */
static void test_requests_ahead(void) {
    wb_engine_brittle_t brittle = {0};
    wb_share_rank_t only = {1, 0};
    int64_t before_ms = 0;
    wb_engine_brittle_set(&brittle, 2, 0);
    wb_engine_brittle_sent(&brittle, 100);
    for (unsigned ahead = 0; ahead < 9; ahead++) {
        int64_t next_ms = wb_engine_brittle_next_ms(&brittle, &only, ahead, 110);
        g_assert_cmpint(next_ms, >=, before_ms);
        before_ms = next_ms;
    }
    g_assert_cmpint(before_ms, >, 1000);
    wb_engine_brittle_clear(&brittle);
}

/* The end of an engine that has rejected little can't be a fall, so it counts as a crash. */
static void test_few_rejections_are_no_fall(void) {
    wb_engine_brittle_t engine = {0};
    wb_share_rank_t rank = {3, 0};
    wb_engine_brittle_set(&engine, 30, 0);
    wb_engine_brittle_rejected(&engine, 0, 1000);
    g_assert_false(wb_engine_brittle_may_have_fallen(&engine, &rank, FALSE, 1010));
    for (int i = 1; i < 11; i++) {
        wb_engine_brittle_rejected(&engine, 0, 1000);
    }
    g_assert_true(wb_engine_brittle_may_have_fallen(&engine, &rank, FALSE, 1010));
    g_assert_true(wb_engine_brittle_may_have_fallen(&engine, &rank, TRUE, 1010));
    g_assert_false(wb_engine_brittle_may_have_fallen(&engine, &rank, TRUE, 3000));
    wb_engine_brittle_clear(&engine);
}

/* Nodes that know the number keep to their shares of it: an engine that rejected no more of a node
 * than its share has crashed, however small the number is. */
static void test_shares_kept_are_no_fall(void) {
    wb_engine_brittle_t engine = {0};
    wb_share_rank_t rank = {3, 0};
    wb_engine_brittle_set(&engine, 6, 0);
    wb_engine_brittle_rejected(&engine, 0, 1000);
    wb_engine_brittle_rejected(&engine, 0, 1000);
    wb_engine_brittle_sent(&engine, 1000);
    g_assert_true(wb_engine_brittle_may_have_fallen(&engine, &rank, FALSE, 1010));
    g_assert_false(wb_engine_brittle_may_have_fallen(&engine, &rank, TRUE, 1010));
    wb_engine_brittle_rejected(&engine, 0, 1000);
    g_assert_true(wb_engine_brittle_may_have_fallen(&engine, &rank, TRUE, 1010));
    wb_engine_brittle_clear(&engine);
}

static void tests_add(void) {
    g_test_add_func("/engine-brittle/full-engine", test_full_engine);
    g_test_add_func("/engine-brittle/engine-with-room", test_engine_with_room);
    g_test_add_func("/engine-brittle/no-share", test_no_share);
    g_test_add_func("/engine-brittle/begins-and-ends", test_begins_and_ends);
    g_test_add_func("/engine-brittle/requests-ahead", test_requests_ahead);
    g_test_add_func("/engine-brittle/few-rejections-are-no-fall", test_few_rejections_are_no_fall);
    g_test_add_func("/engine-brittle/shares-kept-are-no-fall", test_shares_kept_are_no_fall);
}

UNIT_TEST_MAIN(tests_add)
