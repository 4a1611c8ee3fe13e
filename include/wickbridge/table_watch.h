/**
 * @file table_watch.h
 * @brief Follows one table: a whole read, then its changes; never goes back to an older version of
 * a row.
 */
#ifndef WICKBRIDGE_TABLE_WATCH_H
#define WICKBRIDGE_TABLE_WATCH_H

#include "wickbridge/loop.h"
#include "wickbridge/store_calls.h"
#include "wickbridge/table.h"

typedef struct wb_table_watch_t wb_table_watch_t;

typedef struct wb_table_watch_events_t {
    /** A row is new or changed, or was removed (no value). */
    void (*on_row)(const wb_table_row_t *row, void *context);
    /** A batch of rows is through. `whole` is TRUE after each whole read. */
    void (*on_batch)(gboolean whole, void *context);
    /** A call was answered (well or not) or given up; for logs and counters. May be NULL. */
    void (*on_call)(wb_table_name_t table, wb_store_cause_t cause, gboolean good, int64_t age_ms,
                    void *context);
    void *context;
    /** The table has more rows than the limit, at a read or by its changes: nothing is asked until
     * wb_table_watch_read_all or wb_table_watch_follow_subset is called. With context. */
    void (*on_row_limit)(void *context);
} wb_table_watch_events_t;

/** How often a table is asked for. */
typedef struct wb_table_watch_intervals_t {
    int64_t wait_ms;       /**< how long a call for changes may be held */
    int64_t pause_ms;      /**< shortest time between the starts of two calls for changes */
    int64_t peer_read_valid_ms;      /**< what another node has read stands for an own call for so long */
    int64_t look_ms;       /**< shortest time between two calls that others' news ask for */
    int64_t safety_ms;     /**< longest time between two own calls, whatever others have read */
    int64_t retry_ms;      /**< longest pause after a call that failed; 0: 1.2 s */
    int64_t full_read_valid_ms; /**< changes are asked for so long after a whole read began, at least */
} wb_table_watch_intervals_t;

wb_table_watch_t *wb_table_watch_create(wb_loop_t *loop, wb_table_t *table, wb_table_name_t name,
                                        const wb_table_watch_intervals_t *pace,
                                        const wb_table_watch_events_t *events);
/** Stop reading a table that has more rows than this; 0: never. */
void wb_table_watch_set_row_limit(wb_table_watch_t *watch, unsigned rows);
/** Read a large table whole, whatever its size; rows that are known are told again. */
void wb_table_watch_read_all(wb_table_watch_t *watch);
/** Don't read the table: what others tell of its rows from now on is all that will be known. It
 * counts as read. */
void wb_table_watch_follow_subset(wb_table_watch_t *watch);
void wb_table_watch_set_intervals(wb_table_watch_t *watch, const wb_table_watch_intervals_t *pace);
/** Take a row that another node has read; an older one than is known changes nothing. */
void wb_table_watch_apply_row(wb_table_watch_t *watch, const wb_table_row_t *row);
/**
 * Another node has read the table: while its reading is fresh and shows nothing that is not known
 * here, this node does not ask.
 * @param newest_row the highest version of a row that it knows there
 * @param known_ms   steady time as of which it knows the table
 */
void wb_table_watch_note_peer_read(wb_table_watch_t *watch, int64_t newest_row, int64_t known_ms);
/** @return the highest version of a row that was taken */
int64_t wb_table_watch_newest_row(const wb_table_watch_t *watch);
/** @return steady time as of which this node itself has read the table; 0: never */
int64_t wb_table_watch_known_ms(const wb_table_watch_t *watch);
/** @return steady time as of which this node or one that vouches has read the table; 0: never */
int64_t wb_table_watch_fresh_ms(const wb_table_watch_t *watch);
/** Something has changed that is not known here: ask, whatever others have read. */
void wb_table_watch_poll_soon(wb_table_watch_t *watch);
/** The store is known to answer again: ask at once if the last call had failed. */
void wb_table_watch_retry_now(wb_table_watch_t *watch);
/** Ask sooner than the pause says, once. */
void wb_table_watch_expedite(wb_table_watch_t *watch);
/** @return TRUE while the table is being read whole, also when it was before */
gboolean wb_table_watch_is_reading(const wb_table_watch_t *watch);
/** @return TRUE once the table was read whole */
gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch);
/** @return ms since the store last answered this node or one that vouches, for logs and metrics;
 * G_MAXINT64 when it never did */
int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch);

#endif
