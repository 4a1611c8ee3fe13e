/* Slots in turn, and the number up to which entries are written. */
#include "request/stream_batches.h"

/* Slots beyond those of the time in which clients come back: batches follow each other at intervals
 * that may be a little shorter or longer. */
#define SPARE_SLOTS 4
/* Bounds what a take-over reads; with more intervals than this rows are written over sooner. */
#define SLOTS_MAX 256

struct wb_stream_batches_t {
    int64_t *versions; /* of the slots' rows, as far as they are known; 0: none */
    unsigned slots;
    unsigned next_slot;
    int64_t newest_written_ms; /* of the rows that were read */
    int64_t interval_ms;
    unsigned batch_max;
    gboolean is_begun;
    gboolean is_writing;
    gboolean is_full; /* the last batch was: more is to be written at once */
    int64_t sent_ms;  /* of the last batch; 0: none */
    uint64_t written; /* number up to which all entries are written */
};

wb_stream_batches_t *wb_stream_batches_create(int64_t kept_ms, int64_t interval_ms,
                                              unsigned batch_max) {
    wb_stream_batches_t *batches = g_new0(wb_stream_batches_t, 1);
    int64_t slots = kept_ms / interval_ms + 1 + SPARE_SLOTS;
    batches->slots = (unsigned)MIN(slots, SLOTS_MAX);
    batches->versions = g_new0(int64_t, batches->slots);
    batches->interval_ms = interval_ms;
    batches->batch_max = batch_max;
    return batches;
}

void wb_stream_batches_free(wb_stream_batches_t *batches) {
    g_free(batches->versions);
    g_free(batches);
}

unsigned wb_stream_batches_slots(const wb_stream_batches_t *batches) {
    return batches->slots;
}

void wb_stream_batches_reset(wb_stream_batches_t *batches) {
    for (unsigned slot = 0; slot < batches->slots; slot++)
        batches->versions[slot] = 0;
    batches->next_slot = 0;
    batches->newest_written_ms = 0;
    batches->is_begun = FALSE;
    batches->is_writing = FALSE;
}

void wb_stream_batches_slot_read(wb_stream_batches_t *batches, unsigned slot, int64_t version,
                                 int64_t written_ms) {
    if (slot >= batches->slots)
        return;
    batches->versions[slot] = version;
    if (written_ms < batches->newest_written_ms)
        return;
    batches->newest_written_ms = written_ms;
    batches->next_slot = (slot + 1) % batches->slots;
}

void wb_stream_batches_begin(wb_stream_batches_t *batches, const wb_stream_starts_t *starts) {
    const wb_list_t *all = wb_stream_starts_all(starts);
    if (batches->is_begun)
        return;
    batches->is_begun = TRUE;
    batches->written = wb_stream_starts_number(starts);
    if (all->len > 0)
        batches->written = WB_LIST_OF(all->ring.next, wb_stream_start_t, item)->number - 1;
}

void wb_stream_batches_pause(wb_stream_batches_t *batches) {
    batches->is_begun = FALSE;
}

/* Returns the first entry after a number, or NULL. */
static const wb_stream_start_t *entry_after(const wb_stream_starts_t *starts, uint64_t number) {
    const wb_list_t *all = wb_stream_starts_all(starts);
    const wb_stream_start_t *first = NULL;
    for (wb_list_item_t *item = all->ring.prev; item != &all->ring; item = item->prev) {
        const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        if (start->number <= number)
            break;
        first = start;
    }
    return first;
}

/* Counts the entries to write from this one on, up to the size of a batch.
 * @param up_to out: number of the last one */
static unsigned entries_count(const wb_stream_batches_t *batches, const wb_stream_starts_t *starts,
                              const wb_stream_start_t *first, uint64_t *up_to) {
    const wb_list_t *all = wb_stream_starts_all(starts);
    unsigned count = 0;
    for (const wb_list_item_t *item = &first->item;
         item != &all->ring && count < batches->batch_max; item = item->next) {
        const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        count += !start->is_restored;
        *up_to = start->number;
    }
    return count;
}

gboolean wb_stream_batches_next(wb_stream_batches_t *batches, const wb_stream_starts_t *starts,
                                int64_t now_ms, wb_stream_batch_t *batch) {
    gboolean is_due = batches->is_full || batches->sent_ms == 0 ||
                      now_ms - batches->sent_ms >= batches->interval_ms;
    if (!batches->is_begun || batches->is_writing || !is_due)
        return FALSE;
    const wb_stream_start_t *first = entry_after(starts, batches->written);
    *batch = (wb_stream_batch_t){.slot = batches->next_slot,
                                 .expected_version = batches->versions[batches->next_slot],
                                 .after = batches->written};
    unsigned count = first != NULL ? entries_count(batches, starts, first, &batch->up_to) : 0;
    batches->is_full = count == batches->batch_max;
    if (count == 0) {
        batches->written = wb_stream_starts_number(starts);
        return FALSE;
    }
    batch->dropped = first->number - batches->written - 1;
    batches->written = first->number - 1;
    batches->is_writing = TRUE;
    batches->sent_ms = now_ms;
    return TRUE;
}

void wb_stream_batches_done(wb_stream_batches_t *batches, const wb_stream_batch_t *batch,
                            wb_stream_write_t outcome, int64_t version) {
    if (!batches->is_writing)
        return;
    batches->is_writing = FALSE;
    batches->is_full = batches->is_full && outcome == WB_STREAM_WRITTEN;
    if (outcome == WB_STREAM_WRITTEN)
        batches->written = MAX(batches->written, batch->up_to);
    if (outcome != WB_STREAM_NOT_WRITTEN)
        batches->versions[batch->slot] = version;
    batches->next_slot = (batch->slot + 1) % batches->slots;
}
