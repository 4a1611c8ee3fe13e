/* What one engine is wanted to hold, in the order in which it is gone about. */
#include "control/engine_task.h"

#include <string.h>

wb_task_t *wb_engine_task_create(const char *model, const char *adapter, int64_t now_ms) {
    wb_task_t *task = g_new0(wb_task_t, 1);
    task->model = g_strdup(model);
    task->adapter = g_strdup(adapter);
    task->created_ms = now_ms;
    return task;
}

void wb_engine_task_free(wb_task_t *task) {
    g_free(task->model);
    g_free(task->adapter);
    g_free(task);
}

wb_task_t *wb_engine_task_first(const wb_list_t *tasks) {
    wb_list_item_t *first = wb_list_first(tasks);
    return first != NULL ? WB_LIST_OF(first, wb_task_t, queued) : NULL;
}

wb_task_t *wb_engine_task_pop(wb_list_t *tasks) {
    return WB_LIST_OF(wb_list_pop(tasks), wb_task_t, queued);
}

wb_task_t *wb_engine_task_find(const wb_list_t *tasks, const char *model, const char *adapter) {
    WB_LIST_EACH(item, tasks) {
        wb_task_t *task = WB_LIST_OF(item, wb_task_t, queued);
        if (strcmp(task->model, model) == 0 && strcmp(task->adapter, adapter) == 0) {
            return task;
        }
    }
    return NULL;
}

void wb_engine_task_enqueue(wb_list_t *tasks, wb_task_t *task, gboolean first_has_begun) {
    const wb_list_item_t *first = wb_list_first(tasks);
    wb_list_item_t *place = &tasks->ring;
    if (*task->adapter != '\0') {
        WB_LIST_EACH(item, tasks) {
            gboolean has_begun = item == first && first_has_begun;
            if (!has_begun && *WB_LIST_OF(item, wb_task_t, queued)->adapter == '\0') {
                place = item;
                break;
            }
        }
    }
    wb_list_add_before(tasks, place, &task->queued);
}
