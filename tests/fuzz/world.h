/**
 * @file world.h
 * @brief A simulated cluster around the real decision code: groups, cells, claims.
 *
 * Nodes run wb_group_t and wb_cell_t as they are; network, engines, machine list and the table's
 * row are simulated under a simulated clock. Every choice comes from a stream of bytes, so a run
 * can be repeated. The oracle looks at the engines only, and knows nothing of the code under test.
 */
#ifndef WICKBRIDGE_FUZZ_WORLD_H
#define WICKBRIDGE_FUZZ_WORLD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct world_t world_t;

/** Figures of a run. */
typedef struct world_figures_t {
    guint64 steps;
    guint64 loads;
    guint64 runs;
    guint64 owners; /**< times that a node became owner */
    guint64 foundings;
    guint64 stale_orders;
    guint64 served; /**< demands that saw a ready replica */
} world_figures_t;

/**
 * Run on choices taken from `data`; when it is used up, from a generator with `seed`.
 * @param steps most steps; 0: until the data is used up
 * @return NULL, or what the oracle found
 */
const char *world_run(const uint8_t *data, size_t size, guint32 seed, guint64 steps,
                      world_figures_t *figures);

#endif
