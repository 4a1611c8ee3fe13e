/* Tells how long messages of a link were delayed on their way. */
#include "edge/transit.h"

/* Two periods are kept. Clocks drift apart by some ms in this time, and a queue seldom lasts as
 * long. */
#define PERIOD_MS 30000

int64_t wb_transit_delay_ms(wb_transit_t *transit, int64_t sent_ms, int64_t received_ms) {
    int64_t difference_ms = received_ms - sent_ms;
    if (!transit->known) {
        *transit = (wb_transit_t){TRUE, received_ms, difference_ms, difference_ms};
    } else if (received_ms - transit->since_ms >= PERIOD_MS) {
        transit->previous_ms = transit->least_ms;
        transit->least_ms = difference_ms;
        transit->since_ms = received_ms;
    }
    transit->least_ms = MIN(transit->least_ms, difference_ms);
    return difference_ms - MIN(transit->least_ms, transit->previous_ms);
}
