/**
 * @file store_calls.h
 * @brief Counts a node's calls to the store by table and cause.
 *
 * Calls to the store are expensive and rate limited. The counts are exported as a labelled
 * Prometheus counter, and logged as a "store-calls" event at intervals. Times are monotonic
 * (wb_clock_ms) in milliseconds. Loop thread only; the functions can't fail.
 */
#ifndef WICKBRIDGE_STORE_CALLS_H
#define WICKBRIDGE_STORE_CALLS_H

#include "wickbridge/table.h"

/** Why a call is made. */
typedef enum wb_store_cause_t {
    WB_STORE_CAUSE_FULL_READ, /**< full read: at the start, or because the change history expired */
    WB_STORE_CAUSE_POLL,   /**< regular poll; no other node has reported a read of the table yet */
    WB_STORE_CAUSE_STALE,  /**< other nodes' reads of the table are no longer fresh */
    WB_STORE_CAUSE_SAFETY, /**< other nodes' reads are fresh, but the max interval is over */
    WB_STORE_CAUSE_CHANGE, /**< a change was announced that this node doesn't know */
    WB_STORE_CAUSE_EXPEDITED, /**< expedited, as requests are waiting */
    WB_STORE_CAUSE_RETRY,     /**< the previous call failed */
    WB_STORE_CAUSE_WRITE,     /**< write of a row */
    WB_STORE_CAUSE_COUNT
} wb_store_cause_t;

#define WB_STORE_TABLES (WB_TABLE_STREAMS + 1)

typedef struct wb_store_calls_t {
    uint64_t made[WB_STORE_TABLES][WB_STORE_CAUSE_COUNT];
    uint64_t failed;
    uint64_t logged[WB_STORE_TABLES][WB_STORE_CAUSE_COUNT]; /**< `made` as of the last log line */
    uint64_t failed_logged;                                 /**< `failed` as of the last log line */
    int64_t logged_ms;                                      /**< when logging was last due */
} wb_store_calls_t;

/** Count a call. */
void wb_store_calls_note(wb_store_calls_t *calls, wb_table_name_t table, wb_store_cause_t cause);
/** Count a call that failed. */
void wb_store_calls_note_failure(wb_store_calls_t *calls);
/** @return total number of calls */
uint64_t wb_store_calls_sum(const wb_store_calls_t *calls);
/** Log the calls made since the last line, if there were any.
 * @param interval_ms min interval between two lines */
void wb_store_calls_log(wb_store_calls_t *calls, int64_t interval_ms, int64_t now_ms);
/** Append the counter in the Prometheus text format. */
void wb_store_calls_write(const wb_store_calls_t *calls, GString *text);

#endif
