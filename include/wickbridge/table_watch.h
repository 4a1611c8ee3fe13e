/**
 * @file table_watch.h
 * @brief Follows one table: a whole read, then its changes; never goes back to an older version of
 * a row.
 */
#ifndef WICKBRIDGE_TABLE_WATCH_H
#define WICKBRIDGE_TABLE_WATCH_H

#include "wickbridge/loop.h"
#include "wickbridge/table.h"

typedef struct wb_table_watch_t wb_table_watch_t;

typedef struct wb_table_watch_events_t {
    /** A row is new or changed, or was removed (no value). */
    void (*on_row)(const wb_table_row_t *row, void *context);
    /** A batch of rows is through. `whole` is TRUE after each whole read. */
    void (*on_batch)(gboolean whole, void *context);
    /** A call was answered (well or not) or given up; for logs and counters. May be NULL. */
    void (*on_call)(wb_table_name_t table, gboolean good, int64_t age_ms, void *context);
    void *context;
} wb_table_watch_events_t;

/**
 * @param wait_ms  how long a call for changes may be held
 * @param pause_ms shortest time between the starts of two calls for changes
 */
wb_table_watch_t *wb_table_watch_create(wb_loop_t *loop, const wb_table_t *table,
                                        wb_table_name_t name, int64_t wait_ms, int64_t pause_ms,
                                        const wb_table_watch_events_t *events);
/** Ask sooner than the pause says, once. */
void wb_table_watch_hurry(wb_table_watch_t *watch);
/** @return TRUE once the table was read whole */
gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch);
/** @return ms since the store last answered, for logs and metrics; G_MAXINT64 when it never did */
int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch);

#endif
