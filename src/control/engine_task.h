/**
 * @file engine_task.h
 * @brief What one engine is wanted to hold, in the order in which it is gone about.
 */
#ifndef WICKBRIDGE_ENGINE_TASK_H
#define WICKBRIDGE_ENGINE_TASK_H

#include "wickbridge/list.h"

#include <stdint.h>

/** A model or adapter that is wanted on an engine. */
typedef struct wb_task_t {
    wb_list_item_t queued;
    char *model;
    char *adapter; /**< "": the model */
    int64_t created_ms;
} wb_task_t;

wb_task_t *wb_engine_task_create(const char *model, const char *adapter, int64_t now_ms);
/** Free a task that is on no list. */
void wb_engine_task_free(wb_task_t *task);
/** @return the first task, which stays; NULL when there is none */
wb_task_t *wb_engine_task_first(const wb_list_t *tasks);
/** Take the first task out; there must be one. */
wb_task_t *wb_engine_task_pop(wb_list_t *tasks);
/** @return the task for a model or adapter, or NULL */
wb_task_t *wb_engine_task_find(const wb_list_t *tasks, const char *model, const char *adapter);
/**
 * Put a task where it belongs: adapters come in moments, so they go before models.
 * @param first_has_begun the first task is under way and stays first
 */
void wb_engine_task_enqueue(wb_list_t *tasks, wb_task_t *task, gboolean first_has_begun);

#endif
