/* Guards against one node that carries the engines' traffic of all others, and against questions
 * that go only to nodes which are cut off alike. */
#include "unit.h"

#include "dispatch/peer_choice.h"

#include <string.h>

#define NOW_MS 100000
#define USELESS_EXPIRED_MS 3000

static const wb_peer_candidate_t nodes[] = {
    {"a1", "1", "a"}, {"a2", "2", "a"}, {"a3", "3", "a"}, {"b1", "4", "b"}, {"b2", "5", "b"}};

static GArray *candidates_create(void) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(wb_peer_candidate_t));
    g_array_append_vals(candidates, nodes, G_N_ELEMENTS(nodes));
    return candidates;
}

typedef struct fixture_t {
    wb_peer_record_t *record;
    GArray *candidates;
    GHashTable *asked;
} fixture_t;

static fixture_t fixture_create(void) {
    return (fixture_t){wb_peer_record_create(), candidates_create(),
                       g_hash_table_new(g_str_hash, g_str_equal)};
}

static void fixture_free(fixture_t *fixture) {
    wb_peer_record_free(fixture->record);
    g_array_unref(fixture->candidates);
    g_hash_table_unref(fixture->asked);
}

static int choose(const fixture_t *fixture, const char *zone, int64_t now_ms) {
    return wb_peer_choose(fixture->record, fixture->candidates, fixture->asked, zone, now_ms);
}

static void test_zones_in_turn(void) {
    for (int round = 0; round < 50; round++) {
        fixture_t fixture = fixture_create();
        static const char *const zones[] = {"a", "b", "a", "b", "a"};
        for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
            int index = choose(&fixture, "a", NOW_MS);
            g_assert_cmpint(index, >=, 0);
            g_assert_cmpstr(nodes[index].zone, ==, zones[i]);
            g_hash_table_add(fixture.asked, (gpointer)nodes[index].id);
        }
        g_assert_cmpint(choose(&fixture, "a", NOW_MS), ==, -1);
        fixture_free(&fixture);
    }
}

static void test_load_is_shared(void) {
    fixture_t fixture = fixture_create();
    int counts[G_N_ELEMENTS(nodes)] = {0};
    wb_peer_record_add(fixture.record, "a1", TRUE, NOW_MS);
    wb_peer_record_add(fixture.record, "a2", TRUE, NOW_MS);
    for (int i = 0; i < 1000; i++) {
        counts[choose(&fixture, "a", NOW_MS)]++;
    }
    g_assert_cmpint(counts[0], >, 250);
    g_assert_cmpint(counts[1], >, 250);
    g_assert_cmpint(counts[2], >, 100); /* not known yet, and gets its part */
    g_assert_cmpint(counts[3] + counts[4], ==, 0);
    fixture_free(&fixture);
}

static void test_useless_come_last(void) {
    fixture_t fixture = fixture_create();
    wb_peer_record_add(fixture.record, "a1", FALSE, NOW_MS);
    wb_peer_record_add(fixture.record, "a2", FALSE, NOW_MS);
    wb_peer_record_add(fixture.record, "a3", FALSE, NOW_MS);
    for (int i = 0; i < 50; i++) {
        g_assert_cmpint(choose(&fixture, "a", NOW_MS), >=, 3); /* of the other zone */
    }
    wb_peer_record_add(fixture.record, "b1", FALSE, NOW_MS);
    wb_peer_record_add(fixture.record, "b2", FALSE, NOW_MS);
    g_assert_cmpint(choose(&fixture, "a", NOW_MS), >=, 0);
    for (int i = 0; i < 50; i++) {
        g_assert_cmpint(choose(&fixture, "a", NOW_MS + USELESS_EXPIRED_MS), <, 3);
    }
    fixture_free(&fixture);
}

static void tests_add(void) {
    g_test_add_func("/peer-choice/zones-in-turn", test_zones_in_turn);
    g_test_add_func("/peer-choice/load-is-shared", test_load_is_shared);
    g_test_add_func("/peer-choice/useless-come-last", test_useless_come_last);
}

UNIT_TEST_MAIN(tests_add)
