/* Runs the simulated world for fixed seeds and steps, and the seeds that once found something. */
#include "world.h"

#include "wickbridge/log.h"

#include <stdio.h>
#include <stdlib.h>

#define RUN_STEPS 4000

int main(int argc, char **argv) {
    guint32 first = argc > 1 ? (guint32)atoi(argv[1]) : 1;
    guint32 count = argc > 2 ? (guint32)atoi(argv[2]) : 400;
    world_figures_t figures = {0};
    int faults = 0;
    wb_log_setup(FALSE, G_LOG_LEVEL_ERROR, "fuzz");
    gint64 started_us = g_get_monotonic_time();
    for (guint32 seed = first; seed < first + count; seed++) {
        const char *fault = world_run(NULL, 0, seed, RUN_STEPS, &figures);
        if (fault == NULL)
            continue;
        printf("seed %u: %s\n", seed, fault);
        faults++;
    }
    double seconds = (double)(g_get_monotonic_time() - started_us) / 1e6;
    printf("%llu steps in %.1f s (%.0f a second), %llu loads, %llu runs, %llu owners, %llu "
           "foundings, %llu stale orders, %llu served\n",
           (unsigned long long)figures.steps, seconds, (double)figures.steps / seconds,
           (unsigned long long)figures.loads, (unsigned long long)figures.runs,
           (unsigned long long)figures.owners, (unsigned long long)figures.foundings,
           (unsigned long long)figures.stale_orders, (unsigned long long)figures.served);
    return faults == 0 ? 0 : 1;
}
