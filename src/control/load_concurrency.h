/**
 * @file load_concurrency.h
 * @brief How many loads from the weight store are worth having under way at once. Pure.
 *
 * Past some number, which nobody tells, each load takes longer by as much as there are more: no
 * more models arrive, all arrive later, and every engine takes no other order meanwhile. The number
 * is learnt from how long loads take: timely ones raise the limit by one, slow ones cut it to what
 * their time shows. A wrong number is found out only when loads have ended, so where they take
 * longer than any caller waits it begins with one.
 */
#ifndef WICKBRIDGE_LOAD_CONCURRENCY_H
#define WICKBRIDGE_LOAD_CONCURRENCY_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_load_concurrency_t {
    double limit; /**< 0: nothing is known yet */
} wb_load_concurrency_t;

/** @return TRUE when a load that takes so long comes too late for nearly all who wait for it */
gboolean wb_load_exceeds_client_timeout(int64_t nominal_ms);

/**
 * @param nominal_ms what a load takes alone
 * @return most loads that may be under way; at least one
 */
unsigned wb_load_concurrency_limit(const wb_load_concurrency_t *pace, int64_t nominal_ms);

/**
 * A load has ended.
 * @param at_once    loads that were under way when it began, with it
 * @param took_ms    from its order until it was seen done
 * @param nominal_ms what it takes alone
 */
void wb_load_concurrency_record(wb_load_concurrency_t *pace, unsigned at_once, int64_t took_ms, int64_t nominal_ms);

#endif
