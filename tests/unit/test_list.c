/* Guards against wrong order, and broken links after removal during iteration. */
#include "unit.h"

#include "wickbridge/list.h"

typedef struct job_t {
    int number;
    wb_list_item_t queued;
} job_t;

static int job_number(const wb_list_item_t *item) {
    return WB_LIST_OF(item, job_t, queued)->number;
}

/* @return the job numbers in order, as decimal digits */
static int jobs_digits(const wb_list_t *jobs) {
    int digits = 0;
    WB_LIST_EACH(item, jobs) {
        digits = digits * 10 + job_number(item);
    }
    return digits;
}

static void test_order(void) {
    job_t jobs[] = {{1, {0}}, {2, {0}}, {3, {0}}, {4, {0}}};
    wb_list_t list;
    wb_list_init(&list);
    g_assert_null(wb_list_first(&list));
    g_assert_null(wb_list_pop(&list));
    wb_list_add_tail(&list, &jobs[1].queued);
    wb_list_add_tail(&list, &jobs[3].queued);
    wb_list_add_head(&list, &jobs[0].queued);
    wb_list_add_before(&list, &jobs[3].queued, &jobs[2].queued);
    g_assert_cmpint(jobs_digits(&list), ==, 1234);
    g_assert_cmpuint(list.len, ==, 4);
    g_assert_cmpint(job_number(wb_list_pop(&list)), ==, 1);
    g_assert_false(wb_list_is_linked(&jobs[0].queued));
    wb_list_add_tail(&list, &jobs[0].queued);
    g_assert_cmpint(jobs_digits(&list), ==, 2341);
}

static void test_removal_while_visited(void) {
    job_t jobs[] = {{1, {0}}, {2, {0}}, {3, {0}}, {4, {0}}};
    wb_list_t list;
    wb_list_init(&list);
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        wb_list_add_tail(&list, &jobs[i].queued);
    }
    WB_LIST_EACH_SAFE(item, &list) {
        if (job_number(item) % 2 == 0) {
            wb_list_remove(&list, item);
        }
    }
    g_assert_cmpint(jobs_digits(&list), ==, 13);
    g_assert_false(wb_list_is_linked(&jobs[3].queued));
    g_assert_cmpuint(list.len, ==, 2);
}

static void tests_add(void) {
    g_test_add_func("/list/order", test_order);
    g_test_add_func("/list/removal-while-visited", test_removal_while_visited);
}

UNIT_TEST_MAIN(tests_add)
