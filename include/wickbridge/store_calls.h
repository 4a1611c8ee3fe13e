/**
 * @file store_calls.h
 * @brief Counts a node's calls to the store by what was asked for and why.
 *
 * The store's calls are dear and limited, so who makes them and for which reason is told: in the
 * metrics as one labelled counter, and in the log as one line for some seconds' calls.
 */
#ifndef WICKBRIDGE_STORE_CALLS_H
#define WICKBRIDGE_STORE_CALLS_H

#include "wickbridge/table.h"

/** Why a call is made. */
typedef enum wb_store_cause_t {
    WB_STORE_CAUSE_FULL_READ,   /**< a whole read: at the start, or the history is gone */
    WB_STORE_CAUSE_POLL,   /**< nobody has told of the table yet: it is followed */
    WB_STORE_CAUSE_STALE, /**< what others told of the table is no longer fresh */
    WB_STORE_CAUSE_SAFETY, /**< others' readings are fresh, but an own one is due */
    WB_STORE_CAUSE_CHANGE,   /**< something has changed that isn't known here */
    WB_STORE_CAUSE_EXPEDITED,  /**< someone waits */
    WB_STORE_CAUSE_RETRY,  /**< the call before failed */
    WB_STORE_CAUSE_WRITE,  /**< the node's own row or the lease */
    WB_STORE_CAUSE_COUNT
} wb_store_cause_t;

#define WB_STORE_TABLES (WB_TABLE_NODES + 1)

typedef struct wb_store_calls_t {
    uint64_t made[WB_STORE_TABLES][WB_STORE_CAUSE_COUNT];
    uint64_t failed;
    uint64_t told[WB_STORE_TABLES][WB_STORE_CAUSE_COUNT]; /**< as of the last log line */
    uint64_t failed_logged;
    int64_t told_ms; /**< steady time of the last log line */
} wb_store_calls_t;

void wb_store_calls_note(wb_store_calls_t *calls, wb_table_name_t table, wb_store_cause_t cause);
/** A call had no good answer. */
void wb_store_calls_note_failure(wb_store_calls_t *calls);
/** @return all calls made */
uint64_t wb_store_calls_sum(const wb_store_calls_t *calls);
/** Log what was made since the last line, if anything was and the line is due.
 * @param interval_ms least time between two lines */
void wb_store_calls_log(wb_store_calls_t *calls, int64_t interval_ms, int64_t now_ms);
/** Append the counter in the Prometheus text format. */
void wb_store_calls_write(const wb_store_calls_t *calls, GString *text);

#endif
