/* Order and time estimates of the loads of missing models. */
#include "control/load_queue.h"

gint wb_load_queue_compare(gconstpointer left, gconstpointer right) {
    const wb_missing_model_t *a = left;
    const wb_missing_model_t *b = right;
    if (a->missed_requests != b->missed_requests) {
        return a->missed_requests > b->missed_requests ? -1 : 1;
    }
    return a->time_left_ms < b->time_left_ms ? -1 : a->time_left_ms > b->time_left_ms;
}

int64_t wb_load_queue_ready_ms(unsigned concurrent, unsigned in_progress, unsigned ahead,
                               int64_t load_ms) {
    /* On average, `concurrent` loads end per load time. */
    unsigned loads_to_finish =
        in_progress + ahead + 1 > concurrent ? in_progress + ahead + 1 - concurrent : 0;
    return (int64_t)loads_to_finish * load_ms / concurrent + load_ms;
}
