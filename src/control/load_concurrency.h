/**
 * @file load_concurrency.h
 * @brief Adaptive limit on concurrent loads from the weight store.
 *
 * Beyond some number, which the store doesn't report, concurrent loads only slow each other down:
 * no more models arrive, each arrives later, and every loading engine takes no other order
 * meanwhile. The limit is learned from the times of loads: fast ones raise it by one, slow ones cut
 * it to the concurrency that their time implies. A wrong limit shows only when loads have ended, so
 * where a load takes longer than clients wait, the limit starts at one.
 *
 * Pure; times are in ms. Nothing here fails.
 */
#ifndef WICKBRIDGE_LOAD_CONCURRENCY_H
#define WICKBRIDGE_LOAD_CONCURRENCY_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_load_concurrency_t {
    double limit; /**< 0: no load has ended yet */
} wb_load_concurrency_t;

/** @return TRUE when a load of this time outlasts the timeouts of nearly all clients that wait for
 * it */
gboolean wb_load_exceeds_client_timeout(int64_t nominal_ms);

/**
 * @param nominal_ms time of a load without other loads
 * @return maximum number of loads under way; at least 1
 */
unsigned wb_load_concurrency_limit(const wb_load_concurrency_t *concurrency, int64_t nominal_ms);

/**
 * Record a load that has ended.
 * @param concurrent loads that were under way when it started, including it
 * @param took_ms    time from its order until it was seen to be complete
 * @param nominal_ms time of a load without other loads
 */
void wb_load_concurrency_record(wb_load_concurrency_t *concurrency, unsigned concurrent,
                                int64_t took_ms, int64_t nominal_ms);

#endif
