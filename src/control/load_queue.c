/* In which order missing models are loaded, and when the last in line are there. */
#include "control/load_queue.h"

gint wb_load_queue_compare(gconstpointer left, gconstpointer right) {
    const wb_missing_model_t *a = left;
    const wb_missing_model_t *b = right;
    if (a->missed != b->missed) {
        return a->missed > b->missed ? -1 : 1;
    }
    return a->time_left_ms < b->time_left_ms ? -1 : a->time_left_ms > b->time_left_ms;
}

int64_t wb_load_queue_ready_ms(unsigned at_once, unsigned under_way, unsigned before,
                               int64_t load_ms) {
    /* Loads end one after the other, so many in the time of one. */
    unsigned must_end = under_way + before + 1 > at_once ? under_way + before + 1 - at_once : 0;
    return (int64_t)must_end * load_ms / at_once + load_ms;
}
