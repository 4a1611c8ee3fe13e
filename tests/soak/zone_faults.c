/* Engines that restart under their id, another writer's rows, and zones that are evacuated. */
#include "faults.h"

#include <string.h>

/* Restarts after 0.1 to 1.1 s; its row stays meanwhile, since the engine keeps its id. */
static void engine_restart_begin(soak_fault_t *fault, soak_t *soak) {
    estate_command(soak->estate,
                   "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"back_ms\",\"value\":%d}",
                   soak_fault_engine(fault), 100 + fault->variant);
    estate_command(soak->estate, "{\"do\":\"engine-crash\",\"engine\":\"%s\"}",
                   soak_fault_engine(fault));
}

static void foreign_row_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const values[] = {"{}", "[[[[", "{\\\"service\\\":\\\"lock\\\"}",
                                         "{\\\"state\\\":\\\"asleep\\\"}", "x"};
    estate_command(soak->estate,
                   "{\"do\":\"put\",\"table\":\"servers\",\"key\":\"foreign-%d\",\"value\":\"%s\"}",
                   fault->variant % 7, values[fault->variant % (int)G_N_ELEMENTS(values)]);
}

static void zone_name(const soak_fault_t *fault, char zone[32]) {
    g_snprintf(zone, 32, "zone-%d", 1 + fault->variant % 2);
}

static void evacuation_begin(soak_fault_t *fault, soak_t *soak) {
    soak_evacuation_t evacuation = {.to_ms = G_MAXINT64};
    zone_name(fault, evacuation.zone);
    estate_command(soak->estate,
                   "{\"do\":\"put\",\"table\":\"op\",\"key\":\"evacuate/%s\",\"value\":\"{}\"}",
                   evacuation.zone);
    evacuation.from_ms = harness_now_ms();
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->evacuations, evacuation);
    g_mutex_unlock(&soak->lock);
}

static void evacuation_end(soak_fault_t *fault, soak_t *soak) {
    char zone[32];
    zone_name(fault, zone);
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->evacuations->len; i++) {
        soak_evacuation_t *evacuation = &g_array_index(soak->evacuations, soak_evacuation_t, i);
        if (strcmp(evacuation->zone, zone) == 0) {
            evacuation->to_ms = MIN(evacuation->to_ms, harness_now_ms());
        }
    }
    g_mutex_unlock(&soak->lock);
    estate_command(soak->estate, "{\"do\":\"put\",\"table\":\"op\",\"key\":\"evacuate/%s\"}", zone);
}

const soak_fault_kind_t soak_zone_faults[SOAK_ZONE_FAULTS] = {
    {"engine-restarts", engine_restart_begin, soak_fault_end_nothing, 10, 20, FALSE},
    {"foreign-rows", foreign_row_begin, soak_fault_end_nothing, 10, 20, FALSE},
    {"evacuation", evacuation_begin, evacuation_end, 500, 6000, FALSE},
};
