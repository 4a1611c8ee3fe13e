/**
 * @file stream_batches.h
 * @brief Which starts of streams are written to the store next, when, and into which row.
 *
 * Starts are written in batches, at intervals, one write at a time. The rows are slots that take
 * turns: one is written over only once the clients of its streams come back no more. A batch whose
 * write failed is written again; as an entry never changes, it does no harm in two rows. Entries
 * that were read from the store aren't written again.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_STREAM_BATCHES_H
#define WICKBRIDGE_STREAM_BATCHES_H

#include "request/stream_starts.h"

#include <glib.h>

typedef struct wb_stream_batches_t wb_stream_batches_t;

/** A write of a row. */
typedef struct wb_stream_batch_t {
    unsigned slot;
    int64_t expected_version; /**< of the slot's row; 0: it isn't there */
    uint64_t after;           /**< it has the entries with higher numbers, without restored ones */
    uint64_t up_to;           /**< and none above; the writer may lower it */
    uint64_t dropped; /**< entries before these that have expired or were dropped unwritten */
} wb_stream_batch_t;

typedef enum wb_stream_write_t {
    WB_STREAM_WRITTEN,
    WB_STREAM_CONFLICT,   /**< the row had another version */
    WB_STREAM_NOT_WRITTEN /**< it may still be written, or wasn't */
} wb_stream_write_t;

/** @param kept_ms how long clients come back @param interval_ms between two batches
 * @param batch_max entries of a batch */
wb_stream_batches_t *wb_stream_batches_create(int64_t kept_ms, int64_t interval_ms,
                                              unsigned batch_max);
void wb_stream_batches_free(wb_stream_batches_t *batches);
/** @return number of slots */
unsigned wb_stream_batches_slots(const wb_stream_batches_t *batches);
/** Forget all rows; nothing is written until wb_stream_batches_begin. A write under way has no
 * outcome for this any more. */
void wb_stream_batches_reset(wb_stream_batches_t *batches);
/** A slot's row was read. @param written_ms by the store's clock */
void wb_stream_batches_slot_read(wb_stream_batches_t *batches, unsigned slot, int64_t version,
                                 int64_t written_ms);
/** All rows were read, or writing goes on after a pause: all entries are to be written. Does
 * nothing while it goes on. */
void wb_stream_batches_begin(wb_stream_batches_t *batches, const wb_stream_starts_t *starts);
/** Stop writing, as nothing is to be written for now. */
void wb_stream_batches_pause(wb_stream_batches_t *batches);
/** @return TRUE if a batch is due; the caller writes it and passes on the outcome */
gboolean wb_stream_batches_next(wb_stream_batches_t *batches, const wb_stream_starts_t *starts,
                                int64_t now_ms, wb_stream_batch_t *batch);
/** A write has ended. @param version of the slot's row, if it is known; else 0 */
void wb_stream_batches_done(wb_stream_batches_t *batches, const wb_stream_batch_t *batch,
                            wb_stream_write_t outcome, int64_t version);

#endif
