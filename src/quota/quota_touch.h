/**
 * @file quota_touch.h
 * @brief Whether a gateway is in touch with the node that keeps the quota ledger.
 *
 * It is while it has lately heard from that node, by when a message was sent and not by when it was
 * read, and while its reports are acknowledged. After a pause of this process only messages count
 * that were sent since: what they say is asked for anew at each decision, and nothing that a timer
 * has set.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_QUOTA_TOUCH_H
#define WICKBRIDGE_QUOTA_TOUCH_H

#include <glib.h>
#include <stdint.h>

/** A node that has sent or received nothing for so long is out of touch with the ledger. Each sends
 * at least every 500 ms. */
#define WB_QUOTA_TOUCH_MS 1200
/** A node whose report isn't acknowledged for so long is out of touch. */
#define WB_QUOTA_ACK_MS 450
/** A ledger of a release that doesn't acknowledge reports has acted on one when its node sends a
 * message so long after it. */
#define WB_QUOTA_CONFIRM_MS 100

/** All zero: nothing heard yet. */
typedef struct wb_quota_touch_t {
    int64_t heard_ms;      /**< when the last known message was sent; 0: none */
    int64_t awake_ms;      /**< when this process was last known to run; 0: never */
    int64_t resumed_ms;    /**< end of its last pause; 0: none yet */
    gboolean has_acks;     /**< the ledger's node acknowledges reports */
    int64_t reported_ms;   /**< time of the last report with usage */
    int64_t unacked_ms;    /**< time of the first one that isn't acknowledged; 0: none */
    int64_t confirmed_ms;  /**< the ledger has acted on reports until then */
    int64_t as_of_ms;      /**< when the ledger last confirmed what it knows */
    unsigned confirmation; /**< the number of that confirmation */
} wb_quota_touch_t;

/** To be called every 50 ms and before each decision, so that a pause of the process is noticed. */
void wb_quota_touch_tick(wb_quota_touch_t *touch, int64_t now_ms);
/** @return whether this node is in touch with the ledger */
gboolean wb_quota_touch_holds(const wb_quota_touch_t *touch, int64_t now_ms);
/** A message was received. @param sent_ms when it was sent, by this node's clock
 * @return TRUE if this node is in touch again */
gboolean wb_quota_touch_heard(wb_quota_touch_t *touch, int64_t sent_ms, int64_t now_ms);
/** Usage is reported now. */
void wb_quota_touch_reported(wb_quota_touch_t *touch, int64_t now_ms);
/** The ledger has acted on reports until this time. @return TRUE if this node is in touch again */
gboolean wb_quota_touch_acknowledged(wb_quota_touch_t *touch, int64_t report_ms, int64_t now_ms);
/** The link to the ledger's node is lost, or one to another node is open. */
void wb_quota_touch_lost(wb_quota_touch_t *touch);

#endif
