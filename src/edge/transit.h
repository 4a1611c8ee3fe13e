/**
 * @file transit.h
 * @brief Tells how long messages of a link were delayed on their way.
 *
 * The sender puts the time of its own clock into each message. The clocks of two machines have an
 * unknown but constant offset, so the message that took least shows the offset, and any other
 * message's delay beyond that is known: time in queues of the network and of the two systems.
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
    int64_t least_ms; /**< least difference between receipt and sending, by the two clocks */
} wb_transit_t;

/** Record a message. @return its delay beyond that of the fastest message of the link */
static inline int64_t wb_transit_delay_ms(wb_transit_t *transit, int64_t sent_ms,
                                          int64_t received_ms) {
    int64_t difference_ms = received_ms - sent_ms;
    if (!transit->known || difference_ms < transit->least_ms) {
        *transit = (wb_transit_t){TRUE, difference_ms};
    }
    return difference_ms - transit->least_ms;
}

#endif
