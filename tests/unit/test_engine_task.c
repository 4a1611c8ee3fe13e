/* The order in which an engine's tasks are gone about. */
#include "unit.h"

#include "control/engine_task.h"

/* Takes all tasks out and writes them behind each other, models as mN, adapters as N. */
static char *tasks_drain(wb_list_t *tasks) {
    GString *text = g_string_new(NULL);
    while (tasks->len > 0) {
        wb_task_t *task = wb_engine_task_pop(tasks);
        g_string_append(text, *task->adapter != '\0' ? task->adapter : task->model);
        wb_engine_task_free(task);
    }
    return g_string_free(text, FALSE);
}

static void task_add(wb_list_t *tasks, const char *model, const char *adapter, gboolean begun) {
    wb_engine_task_enqueue(tasks, wb_engine_task_create(model, adapter, 0), begun);
}

static void test_adapters_go_first(void) {
    wb_list_t tasks;
    wb_list_init(&tasks);
    g_assert_null(wb_engine_task_first(&tasks));
    task_add(&tasks, "m1", "", FALSE);
    task_add(&tasks, "m2", "", FALSE);
    task_add(&tasks, "m3", "1", FALSE);
    task_add(&tasks, "m3", "2", FALSE);
    g_assert_nonnull(wb_engine_task_find(&tasks, "m3", "2"));
    g_assert_null(wb_engine_task_find(&tasks, "m3", ""));
    g_autofree char *order = tasks_drain(&tasks);
    g_assert_cmpstr(order, ==, "12m1m2");
}

static void test_begun_task_stays_first(void) {
    wb_list_t tasks;
    wb_list_init(&tasks);
    task_add(&tasks, "m1", "", FALSE);
    task_add(&tasks, "m2", "", TRUE);
    task_add(&tasks, "m3", "1", TRUE);
    task_add(&tasks, "m3", "2", TRUE);
    g_autofree char *order = tasks_drain(&tasks);
    g_assert_cmpstr(order, ==, "m112m2");
}

static void tests_add(void) {
    g_test_add_func("/engine-task/adapters-go-first", test_adapters_go_first);
    g_test_add_func("/engine-task/begun-task-stays-first", test_begun_task_stays_first);
}

UNIT_TEST_MAIN(tests_add)
