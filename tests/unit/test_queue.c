/* Guards against owners served above or below their share. */
#include "unit.h"

#include "wickbridge/fair_queue.h"

#include <string.h>

static void test_shares_under_overload(void) {
    wb_fair_queue_t *queue = wb_fair_queue_create();
    for (int i = 0; i < 400; i++)
        wb_fair_queue_push(queue, "north", 3.0, 1.0, "north");
    for (int i = 0; i < 400; i++)
        wb_fair_queue_push(queue, "coast", 1.0, 1.0, "coast");
    int north = 0, max_deviation = 0;
    for (int i = 1; i <= 400; i++) {
        north += strcmp(wb_fair_queue_pop(queue), "north") == 0;
        max_deviation = MAX(max_deviation, ABS(north - i * 3 / 4));
    }
    g_assert_cmpint(north, ==, 300);
    g_assert_cmpint(max_deviation, <=, 2); /* never more than two requests off its share */
    while (wb_fair_queue_pop(queue) != NULL)
        continue;
    wb_fair_queue_free(queue);
}

/* An owner that was idle gets no credit for it, and doesn't wait behind another's burst. */
static void test_idle_owner_is_served_next(void) {
    wb_fair_queue_t *queue = wb_fair_queue_create();
    for (int i = 0; i < 100; i++)
        wb_fair_queue_push(queue, "busy", 1.0, 1.0, "busy");
    for (int i = 0; i < 50; i++)
        wb_fair_queue_pop(queue);
    wb_fair_queue_push(queue, "calm", 1.0, 1.0, "calm");
    wb_fair_queue_push(queue, "calm", 1.0, 1.0, "calm");
    g_autoptr(GString) order = g_string_new(NULL);
    for (int i = 0; i < 5; i++)
        g_string_append_c(order, *(char *)wb_fair_queue_pop(queue));
    g_assert_true(g_str_has_prefix(order->str, "bcbc") || g_str_has_prefix(order->str, "cbcb"));
    while (wb_fair_queue_pop(queue) != NULL)
        continue;
    wb_fair_queue_free(queue);
}

static void test_put_back_pays_nothing_again(void) {
    wb_fair_queue_t *queue = wb_fair_queue_create();
    wb_fair_queue_push(queue, "a", 1.0, 1.0, "a1");
    wb_fair_queue_push(queue, "a", 1.0, 1.0, "a2");
    wb_fair_queue_push_front(queue, "a", 1.0, wb_fair_queue_pop(queue));
    g_assert_cmpstr(wb_fair_queue_pop(queue), ==, "a1");
    g_assert_cmpstr(wb_fair_queue_pop(queue), ==, "a2");
    g_assert_null(wb_fair_queue_pop(queue));
    wb_fair_queue_free(queue);
}

static void tests_add(void) {
    g_test_add_func("/queue/shares-under-overload", test_shares_under_overload);
    g_test_add_func("/queue/idle-owner-is-served-next", test_idle_owner_is_served_next);
    g_test_add_func("/queue/put-back-pays-nothing-again", test_put_back_pays_nothing_again);
}

UNIT_TEST_MAIN(tests_add)
