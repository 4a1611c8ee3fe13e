/**
 * @file table_watch.h
 * @brief Keeps a node's view of one store table current: a full read, then polls for its changes.
 *
 * To save calls to the store, rows that another node (the lease holder) has read are applied as
 * well, and while that node's read is fresh this node polls only rarely. A row never reverts to an
 * older version. Failed calls are retried with backoff and reported to on_call only.
 *
 * The store may come back from an older copy (store_version.h). The table is then read again, also
 * while a call is under way, and what was known counts for some seconds: rows that the copy lacks
 * are kept, and rows that had been removed are held back, as operators and engines write again what
 * the store has lost. A full read after that time settles the rest.
 *
 * Times are monotonic (wb_clock_ms) or durations, in milliseconds. All functions and callbacks run
 * on the loop's thread. A watch lives as long as the process.
 */
#ifndef WICKBRIDGE_TABLE_WATCH_H
#define WICKBRIDGE_TABLE_WATCH_H

#include "wickbridge/loop.h"
#include "wickbridge/store_calls.h"
#include "wickbridge/table.h"

typedef struct wb_table_watch_t wb_table_watch_t;

typedef struct wb_table_watch_events_t {
    /** A row was added, changed, or removed (its value is NULL). */
    void (*on_row)(const wb_table_row_t *row, void *context);
    /** All rows of a response or update were passed to on_row. `full_read` is TRUE after a full
     * read.
     */
    void (*on_batch)(gboolean full_read, void *context);
    /** A call ended, successfully or not; for logs and counters. `age_ms` as in
     * wb_table_watch_age_ms. May be NULL. */
    void (*on_call)(wb_table_name_t table, wb_store_cause_t cause, gboolean succeeded,
                    int64_t age_ms, void *context);
    void *context;
    /** The table has more rows than wb_table_watch_set_row_limit allows. The watch makes no calls
     * until wb_table_watch_read_all or wb_table_watch_follow_subset is called. */
    void (*on_row_limit)(void *context);
    /** A full read was discarded, as it was older than the version known here. May be NULL. */
    void (*on_read_discarded)(wb_table_name_t table, int64_t known_version, int64_t read_version,
                              void *context);
    /** Rows of an answer can't be used, as their keys are none. May be NULL. */
    void (*on_rows_refused)(wb_table_name_t table, unsigned rows, void *context);
} wb_table_watch_events_t;

/** Polling intervals of a table. */
typedef struct wb_table_watch_intervals_t {
    int64_t wait_ms;            /**< how long the store may hold a call for changes (long poll) */
    int64_t pause_ms;           /**< min interval between the starts of two calls for changes */
    int64_t peer_read_valid_ms; /**< how long another node's read replaces a call of this node */
    int64_t look_ms;   /**< min interval between calls made because a peer knows newer rows */
    int64_t safety_ms; /**< max interval between this node's calls, even if peers' reads are
                          fresh; up to a quarter less, at random for each watch */
    int64_t retry_ms;  /**< max backoff after failed calls; 0: 1.2 s */
    int64_t unconfirmed_max_ms; /**< a table that nothing has confirmed for longer is read at once,
                              not by a long poll; 0: no limit */
    int64_t full_read_valid_ms; /**< min time from the start of a full read to the first call for
                              changes; not applied to an empty table */
} wb_table_watch_intervals_t;

/** Create a watch and start the full read. @param table must outlive the watch */
wb_table_watch_t *wb_table_watch_create(wb_loop_t *loop, wb_table_t *table, wb_table_name_t name,
                                        const wb_table_watch_intervals_t *intervals,
                                        const wb_table_watch_events_t *events);
/** Set the row limit above which on_row_limit is called; 0: none. */
void wb_table_watch_set_row_limit(wb_table_watch_t *watch, unsigned rows);
/** After on_row_limit or wb_table_watch_follow_subset: remove the row limit and read the full
 * table. on_row is called for unchanged rows too. */
void wb_table_watch_read_all(wb_table_watch_t *watch);
/** After on_row_limit: forget all rows and don't read the table; rows come from
 * wb_table_watch_apply_row only. The watch counts as synced. */
void wb_table_watch_follow_subset(wb_table_watch_t *watch);
void wb_table_watch_set_intervals(wb_table_watch_t *watch,
                                  const wb_table_watch_intervals_t *intervals);
/** Apply a row that another node has read. Ignored if a newer version is known, or before the first
 * full read is complete. */
void wb_table_watch_apply_row(wb_table_watch_t *watch, const wb_table_row_t *row);
/**
 * Record that another node has read the table. While that read is fresh (peer_read_valid_ms) and
 * has no row that is missing here, this node polls only at safety_ms.
 * @param newest_row the highest row version that the other node knows
 * @param known_ms   monotonic time as of which it knows the table
 */
void wb_table_watch_note_peer_read(wb_table_watch_t *watch, int64_t newest_row, int64_t known_ms);
/** @return the highest row version that was applied */
int64_t wb_table_watch_newest_row(const wb_table_watch_t *watch);
/** @return monotonic time as of which this node itself has read the table; 0: never */
int64_t wb_table_watch_known_ms(const wb_table_watch_t *watch);
/** @return monotonic time as of which this node or another (wb_table_watch_note_peer_read) has read
 * the table, or a call for changes has found none; 0: never */
int64_t wb_table_watch_fresh_ms(const wb_table_watch_t *watch);
/** Poll once look_ms has passed since the last call, whatever other nodes have read: a change that
 * is missing here was announced. */
void wb_table_watch_poll_soon(wb_table_watch_t *watch);
/** End the backoff and poll at once, as the store is known to be available again. A no-op unless
 * the last call failed. */
void wb_table_watch_retry_now(wb_table_watch_t *watch);
/** Shorten the pause before the next poll, once. */
void wb_table_watch_expedite(wb_table_watch_t *watch);
/** @return highest version of a row that this node has applied or another one has named */
int64_t wb_table_watch_newest_named(const wb_table_watch_t *watch);
/** @return monotonic time since which another node has named a newer row than this node has read;
 * 0: none has */
int64_t wb_table_watch_behind_since_ms(const wb_table_watch_t *watch);
/** @return monotonic time at which another node first named this row version, if it is the newest
 * that one has named; 0: it isn't */
int64_t wb_table_watch_named_ms(const wb_table_watch_t *watch, int64_t row_version);
/** The store has come back from a copy, as this node or another has seen. @param era its new era
 * @return TRUE if that was not known here */
gboolean wb_table_watch_note_era(wb_table_watch_t *watch, int64_t era);
/** After a rollback: make this node's full read at once, not at a random time in which the reads of
 * all nodes are spread. A no-op unless it waits for that. */
void wb_table_watch_read_soon(wb_table_watch_t *watch);
/** @return the store's era in which this node has last read the table; 0: never, or none named */
int64_t wb_table_watch_read_era(const wb_table_watch_t *watch);
/** @return TRUE for the time after a rollback in which what is known here may be newer than what
 * the store has */
gboolean wb_table_watch_is_settling(const wb_table_watch_t *watch);
/** @return wb_table_watch_fresh_ms as of just before the last rollback */
int64_t wb_table_watch_fresh_before_rollback_ms(const wb_table_watch_t *watch);
/** @return number of rows ignored so far, as they were older than what is known */
uint64_t wb_table_watch_ignored_rows(const wb_table_watch_t *watch);
/** @return TRUE during a full read, also a repeated one */
gboolean wb_table_watch_is_reading(const wb_table_watch_t *watch);
/** @return TRUE once the first full read is complete */
gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch);
/** @return ms since the store last answered a call of this node, or since the time of another
 * node's read if that is later; for logs and metrics. G_MAXINT64 if there was neither */
int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch);

#endif
