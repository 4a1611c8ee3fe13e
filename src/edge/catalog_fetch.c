/* Decides when a node asks another node for the configuration, and how much it sends itself. */
#include "edge/catalog_fetch.h"

/* Share of the bound after which an unconfirmed configuration is asked for. Leaves time for two
 * peers that don't answer. */
#define UNCONFIRMED_SHARE 0.65
/* Share of the bound for which the store is given time to answer for a version that was named. */
#define BEHIND_SHARE 0.2
/* Rate at which rows are sent to peers, and time by which the link may be booked in advance. */
#define SEND_BYTES_PER_MS 600
#define SEND_BOOKED_MS 300

gboolean wb_catalog_fetch_is_due(const wb_catalog_status_t *status) {
    double bound_ms = (double)status->bound_ms;
    if (status->behind_ms > 0 &&
        (status->store_failing || (double)status->behind_ms > BEHIND_SHARE * bound_ms)) {
        return TRUE;
    }
    return (double)status->age_ms > UNCONFIRMED_SHARE * bound_ms;
}

gboolean wb_catalog_send_budget_take(wb_catalog_send_budget_t *budget, size_t bytes,
                                     int64_t now_ms) {
    if (budget->free_ms > now_ms + SEND_BOOKED_MS) {
        return FALSE;
    }
    budget->free_ms = MAX(budget->free_ms, now_ms) + (int64_t)(bytes / SEND_BYTES_PER_MS);
    return TRUE;
}
