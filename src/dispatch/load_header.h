/**
 * @file load_header.h
 * @brief Reads what an engine tells of its load on an answer. Pure.
 */
#ifndef WICKBRIDGE_LOAD_HEADER_H
#define WICKBRIDGE_LOAD_HEADER_H

#include <glib.h>

/** More requests than this at one engine are no figure: engines have some dozen places. */
#define WB_LOAD_HEADER_MAX_REQUESTS 100000

typedef struct wb_load_header_t {
    unsigned running;
    unsigned waiting;
    unsigned pace_percent; /**< how long work takes there now, 100: as usual; 0: not told, or a
                              figure that can't be (wb_engine_pace_parse) */
} wb_load_header_t;

/**
 * Read RUNNING,WAITING[,SLOTS[,PACE]].
 * @return FALSE when running and waiting aren't both told, or can't be; `load` is then zeroed
 */
gboolean wb_load_header_parse(const char *text, wb_load_header_t *load);

/** @return TRUE when a pace is told, whatever it is */
gboolean wb_load_header_has_pace(const char *text);

#endif
