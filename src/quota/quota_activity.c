/* By what requests were admitted. */
#include "quota/quota_activity.h"

const char *wb_quota_basis_name(wb_quota_basis_t basis) {
    static const char *const names[WB_QUOTA_BASES] = {"unthrottled", "share", "local"};
    return names[basis];
}

void wb_quota_activity_add(wb_quota_activity_t *activity, wb_quota_basis_t basis, gboolean admitted,
                           double cost, int64_t age_ms) {
    activity->requests++;
    activity->age_max_ms = MAX(activity->age_max_ms, age_ms);
    if (admitted) {
        activity->admitted[basis] += cost;
    } else {
        activity->refused += cost;
    }
}

gboolean wb_quota_activity_is_notable(const wb_quota_activity_t *activity) {
    return activity->admitted[WB_QUOTA_SHARE] > 0 || activity->admitted[WB_QUOTA_LOCAL] > 0 ||
           activity->refused > 0;
}
