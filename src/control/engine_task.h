/**
 * @file engine_task.h
 * @brief The queue of models and adapters to load on one engine.
 *
 * Tasks are kept in an intrusive list that the caller owns. Adapters go before models, as they load
 * much faster. Pure: the time is passed in, in ms of the monotonic clock. Nothing here fails.
 */
#ifndef WICKBRIDGE_ENGINE_TASK_H
#define WICKBRIDGE_ENGINE_TASK_H

#include "wickbridge/list.h"

#include <stdint.h>

/** A model or adapter to load on an engine. */
typedef struct wb_engine_task_t {
    wb_list_item_t queued;
    char *model;
    char *adapter; /**< "": the model */
    int64_t created_ms;
} wb_engine_task_t;

/** @return a task on no list; the names are copied */
wb_engine_task_t *wb_engine_task_create(const char *model, const char *adapter, int64_t now_ms);
/** Free a task that is on no list. */
void wb_engine_task_free(wb_engine_task_t *task);
/** @return the first task, which stays on the list; NULL when the list is empty */
wb_engine_task_t *wb_engine_task_first(const wb_list_t *tasks);
/** Remove the first task of a list that isn't empty. @return the task, owned by the caller */
wb_engine_task_t *wb_engine_task_pop(wb_list_t *tasks);
/** @return the task for a model (adapter "") or adapter, or NULL */
wb_engine_task_t *wb_engine_task_find(const wb_list_t *tasks, const char *model,
                                      const char *adapter);
/**
 * Insert a task: an adapter before all models, a model at the end.
 * @param first_is_started the first task is under way and stays first
 */
void wb_engine_task_enqueue(wb_list_t *tasks, wb_engine_task_t *task, gboolean first_is_started);

#endif
