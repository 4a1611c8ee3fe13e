/* Runs the simulated cluster with fixed seeds: a violated invariant of groups, cells or claims
 * fails the check. Usage: fuzz-world-check [FIRST_SEED [COUNT]] */
#include "world.h"

#include "wickbridge/log.h"

#include <stdio.h>
#include <stdlib.h>

#define RUN_STEPS 4000

int main(int argc, char **argv) {
    guint32 first = argc > 1 ? (guint32)atoi(argv[1]) : 1;
    guint32 count = argc > 2 ? (guint32)atoi(argv[2]) : 400;
    world_counters_t counters = {0};
    int faults = 0;
    wb_log_setup(FALSE, G_LOG_LEVEL_ERROR, "fuzz");
    gint64 started_us = g_get_monotonic_time();
    for (guint32 seed = first; seed < first + count; seed++) {
        const char *fault = simulation_run(NULL, 0, seed, RUN_STEPS, &counters);
        if (fault == NULL)
            continue;
        printf("seed %u: %s\n", seed, fault);
        faults++;
    }
    double seconds = (double)(g_get_monotonic_time() - started_us) / 1e6;
    printf("%llu steps in %.1f s (%.0f a second), %llu loads, %llu runs, %llu owners, %llu "
           "foundings, %llu stale orders, %llu served\n",
           (unsigned long long)counters.steps, seconds, (double)counters.steps / seconds,
           (unsigned long long)counters.loads, (unsigned long long)counters.runs,
           (unsigned long long)counters.owners, (unsigned long long)counters.foundings,
           (unsigned long long)counters.stale_orders, (unsigned long long)counters.served);
    return faults == 0 ? 0 : 1;
}
