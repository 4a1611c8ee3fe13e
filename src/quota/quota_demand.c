/* A tenant's demand over all nodes. */
#include "quota/quota_demand.h"

#include "quota/quota_share.h"

/* With a shorter one, single large requests of small tenants look like sustained demand. */
#define ASKED_TIME_S 1.0
/* A surge is noticed by an average over this time, of at least so many requests: a single request
 * may cost more than the limit of a second. */
#define SURGE_TIME_S 0.25
#define SURGE_REQUESTS 6
/* As in quota_limiter.c. */
#define OFFLINE_TIME_S 8.0

void wb_quota_demand_add(wb_quota_demand_t *demand, double asked, double requests, double admitted,
                         int64_t now_ms) {
    wb_decayed_rate_add(&demand->asked, asked, ASKED_TIME_S, now_ms);
    wb_decayed_rate_add(&demand->surge, asked, SURGE_TIME_S, now_ms);
    wb_decayed_rate_add(&demand->surge_requests, requests, SURGE_TIME_S, now_ms);
    wb_decayed_rate_add(&demand->admitted, MAX(admitted, 0), OFFLINE_TIME_S, now_ms);
}

double wb_quota_demand_asked_per_s(const wb_quota_demand_t *demand, int64_t now_ms) {
    double asked = wb_decayed_rate_read(&demand->asked, ASKED_TIME_S, now_ms);
    double requests =
        wb_decayed_rate_read(&demand->surge_requests, SURGE_TIME_S, now_ms) * SURGE_TIME_S;
    if (requests < SURGE_REQUESTS) {
        return asked;
    }
    return MAX(asked, wb_decayed_rate_read(&demand->surge, SURGE_TIME_S, now_ms));
}

double wb_quota_demand_factor(const wb_quota_demand_t *demand, double limit_per_s, int64_t now_ms) {
    double demand_per_s = wb_decayed_rate_read(&demand->admitted, OFFLINE_TIME_S, now_ms);
    double allowed_per_s = WB_QUOTA_OFFLINE_DEMAND * limit_per_s;
    gboolean fits = WB_QUOTA_OFFLINE_FACTOR * demand_per_s <= allowed_per_s;
    return fits ? WB_QUOTA_OFFLINE_FACTOR : allowed_per_s / demand_per_s;
}
