/**
 * @file world.h
 * @brief Simulated cluster that runs the real groups, cells and claims.
 *
 * Nodes run the unmodified wb_group_t and wb_cell_t. Network, engines, machine list and the row in
 * the table service are simulated on a simulated clock in milliseconds. Every choice comes from a
 * stream of bytes, so a run can be repeated. The oracle inspects only the simulated engines,
 * independently of the code under test.
 */
#ifndef WICKBRIDGE_FUZZ_WORLD_H
#define WICKBRIDGE_FUZZ_WORLD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct world_t world_t;

/** Counters of a run. */
typedef struct world_counters_t {
    guint64 steps;
    guint64 loads;
    guint64 runs;
    guint64 owners; /**< times that a node became the cell's owner */
    guint64 foundings;
    guint64 stale_orders;
    guint64 served; /**< ready routes sent to gateways */
} world_counters_t;

/**
 * Run with choices taken from `data`, then from a generator with `seed` once `data` is exhausted.
 * @param steps max number of steps; 0: until `data` is exhausted
 * @param[in,out] counters counters that the run adds to
 * @return NULL, or the violation that the oracle found (a static string)
 */
const char *simulation_run(const uint8_t *data, size_t size, guint32 seed, guint64 steps,
                           world_counters_t *counters);

#endif
