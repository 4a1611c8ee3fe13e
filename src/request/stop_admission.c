/* Whether a request can end before a planned stop does. */
#include "request/stop_admission.h"

/* Until then load balancers may not have seen that the node isn't ready. */
#define ACCEPT_MS 2800
/* Time kept free before the end of the stop. */
#define RESERVE_MS 800

static gboolean is_early(const wb_stop_time_t *time) {
    return time->now_ms - time->began_ms < ACCEPT_MS;
}

/* Whether a plain request may be cut by the end of the stop. Early on, it is refused only if that
 * is known and it can't be repeated. */
static gboolean plain_refused(const wb_stop_request_t *request, const wb_stop_time_t *time) {
    gboolean is_known = request->longest_ms >= 0;
    if (is_early(time) && (!is_known || request->may_run_again))
        return FALSE;
    int64_t ends_ms = request->due_ms;
    if (is_known)
        ends_ms = MIN(ends_ms, time->now_ms + request->longest_ms);
    return ends_ms > time->began_ms + time->grace_ms - RESERVE_MS;
}

gboolean wb_stop_refuses_arrival(const wb_stop_request_t *request, const wb_stop_time_t *time) {
    if (request->is_stream)
        return !is_early(time);
    return plain_refused(request, time);
}

gboolean wb_stop_refuses_run(const wb_stop_request_t *request, const wb_stop_time_t *time) {
    return !request->is_stream && plain_refused(request, time);
}
