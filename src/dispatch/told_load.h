/**
 * @file told_load.h
 * @brief Parses the response header in which an engine reports its load. Pure.
 */
#ifndef WICKBRIDGE_TOLD_LOAD_H
#define WICKBRIDGE_TOLD_LOAD_H

#include <glib.h>

/** Larger counts are rejected as malformed. */
#define WB_TOLD_REQUESTS_MOST 100000

typedef struct wb_told_load_t {
    unsigned running;      /**< requests */
    unsigned waiting;      /**< requests */
    unsigned pace_percent; /**< current duration of work relative to baseline, 100; 0: not reported,
                              malformed or out of range (wb_engine_pace_read) */
} wb_told_load_t;

/**
 * Parse RUNNING,WAITING[,SLOTS[,PACE]].
 * @return FALSE when RUNNING or WAITING is missing, malformed or out of range; `load` is then
 * zeroed
 */
gboolean wb_told_load_read(const char *text, wb_told_load_t *load);

/** @return TRUE when the header has a PACE field, valid or not */
gboolean wb_told_load_has_pace(const char *text);

#endif
