/**
 * @file load_header.h
 * @brief Parses the response header in which an engine reports its load. Pure.
 */
#ifndef WICKBRIDGE_LOAD_HEADER_H
#define WICKBRIDGE_LOAD_HEADER_H

#include <glib.h>

/** Larger counts are rejected as malformed. */
#define WB_LOAD_HEADER_MAX_REQUESTS 100000

typedef struct wb_load_header_t {
    unsigned running;      /**< requests */
    unsigned waiting;      /**< requests */
    unsigned pace_percent; /**< current duration of work relative to baseline, 100; 0: not reported,
                              malformed or out of range (wb_engine_pace_parse) */
} wb_load_header_t;

/**
 * Parse RUNNING,WAITING[,SLOTS[,PACE]].
 * @return FALSE when RUNNING or WAITING is missing, malformed or out of range; `load` is then
 * zeroed
 */
gboolean wb_load_header_parse(const char *text, wb_load_header_t *load);

/** @return TRUE when the header has a PACE field, valid or not */
gboolean wb_load_header_has_pace(const char *text);

#endif
