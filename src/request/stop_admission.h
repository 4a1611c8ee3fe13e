/**
 * @file stop_admission.h
 * @brief Whether a request that comes, or is to be sent to an engine, during a planned stop can end
 * before the stop does. One that can't is refused: its client can ask another node.
 *
 * Times are in ms, on one clock. Pure; no errors.
 */
#ifndef WICKBRIDGE_STOP_ADMISSION_H
#define WICKBRIDGE_STOP_ADMISSION_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_stop_request_t {
    gboolean is_stream;
    gboolean may_run_again; /**< it may be sent to another engine after it has run */
    int64_t due_ms;         /**< when its answer is due */
    int64_t longest_ms;     /**< duration that requests of its route may take; -1: not known */
} wb_stop_request_t;

typedef struct wb_stop_time_t {
    int64_t began_ms; /**< of the stop */
    int64_t grace_ms; /**< duration: when the process is killed */
    int64_t now_ms;
} wb_stop_time_t;

/** @return TRUE when a request that has just arrived must be refused */
gboolean wb_stop_refuses_arrival(const wb_stop_request_t *request, const wb_stop_time_t *time);
/** @return TRUE when a request must not be sent to its first engine any more */
gboolean wb_stop_refuses_run(const wb_stop_request_t *request, const wb_stop_time_t *time);

#endif
