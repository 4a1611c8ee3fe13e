/* Whether a gateway is in touch with the quota ledger. */
#include "quota/quota_touch.h"

/* A process that did nothing for this long was paused. Ticks come every 50 ms. */
#define PAUSE_MS 150

void wb_quota_touch_tick(wb_quota_touch_t *touch, int64_t now_ms) {
    if (touch->awake_ms != 0 && now_ms - touch->awake_ms > PAUSE_MS) {
        touch->resumed_ms = now_ms;
    }
    touch->awake_ms = now_ms;
}

gboolean wb_quota_touch_holds(const wb_quota_touch_t *touch, int64_t now_ms) {
    gboolean reports_arrive =
        !touch->has_acks || touch->unacked_ms == 0 || now_ms - touch->unacked_ms < WB_QUOTA_ACK_MS;
    return reports_arrive && touch->heard_ms != 0 && touch->heard_ms >= touch->resumed_ms &&
           now_ms - touch->heard_ms < WB_QUOTA_TOUCH_MS;
}

static void confirm(wb_quota_touch_t *touch, int64_t report_ms, int64_t now_ms) {
    touch->confirmed_ms = MAX(touch->confirmed_ms, report_ms);
    touch->confirmation++;
    touch->as_of_ms = now_ms;
    if (report_ms >= touch->reported_ms) {
        touch->unacked_ms = 0;
    } else if (touch->unacked_ms != 0) {
        touch->unacked_ms = MAX(touch->unacked_ms, report_ms);
    }
}

gboolean wb_quota_touch_heard(wb_quota_touch_t *touch, int64_t sent_ms, int64_t now_ms) {
    wb_quota_touch_tick(touch, now_ms);
    gboolean held = wb_quota_touch_holds(touch, now_ms);
    touch->heard_ms = MAX(touch->heard_ms, sent_ms);
    if (!touch->has_acks) {
        confirm(touch, sent_ms - WB_QUOTA_CONFIRM_MS, now_ms);
    } else if (touch->unacked_ms == 0) {
        touch->confirmation++;
        touch->as_of_ms = now_ms;
    }
    return !held && wb_quota_touch_holds(touch, now_ms);
}

void wb_quota_touch_reported(wb_quota_touch_t *touch, int64_t now_ms) {
    touch->reported_ms = now_ms;
    if (touch->unacked_ms == 0) {
        touch->unacked_ms = now_ms;
    }
}

gboolean wb_quota_touch_acknowledged(wb_quota_touch_t *touch, int64_t report_ms, int64_t now_ms) {
    gboolean held = wb_quota_touch_holds(touch, now_ms);
    touch->has_acks = TRUE;
    confirm(touch, report_ms, now_ms);
    return !held && wb_quota_touch_holds(touch, now_ms);
}

void wb_quota_touch_lost(wb_quota_touch_t *touch) {
    touch->heard_ms = 0;
    touch->has_acks = FALSE; /* not known of the next one */
    touch->unacked_ms = 0;
}
