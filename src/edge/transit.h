/**
 * @file transit.h
 * @brief Tells how long messages of a link were delayed on their way.
 *
 * The sender puts the time of its own clock into each message. The message that took least in the
 * last half minute or so shows the offset of the two clocks, and any other message's delay beyond
 * that is known: time in queues of the network and of the two systems. A delay that lasts longer
 * than that, and is the same for all messages, isn't detected; an offset that drifts is followed.
 *
 * Pure. Times are monotonic clocks in milliseconds. The functions can't fail.
 */
#ifndef WICKBRIDGE_TRANSIT_H
#define WICKBRIDGE_TRANSIT_H

#include <glib.h>
#include <stdint.h>

/** The messages of one link. All zero: none yet. */
typedef struct wb_transit_t {
    gboolean known;
    int64_t since_ms;    /**< start of the current period, by the receiver's clock */
    int64_t least_ms;    /**< least difference between receipt and sending in this period */
    int64_t previous_ms; /**< the same in the previous period */
} wb_transit_t;

/** Record a message. @return its delay beyond that of the fastest recent one */
int64_t wb_transit_delay_ms(wb_transit_t *transit, int64_t sent_ms, int64_t received_ms);

#endif
