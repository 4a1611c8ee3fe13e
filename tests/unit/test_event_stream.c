/* Whole events of a stream, at every cut. */
#include "unit.h"

#include "request/event_stream.h"

#include <string.h>

/* At each cut of a stream, only whole events are passed on, and the last one's id is known. */
static void test_events_at_every_cut(void) {
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
        g_assert_cmpuint(wb_events_complete_length(text, cut), ==, expected);
        g_autofree char *found = wb_events_last_id(text, expected);
        g_assert_cmpstr(found, ==, id);
    }
}

static void tests_add(void) {
    g_test_add_func("/events/every-cut", test_events_at_every_cut);
}

UNIT_TEST_MAIN(tests_add)
