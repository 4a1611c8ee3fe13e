/* Faults of the store. */
#include "faults.h"

/* Time of a rollback, until all is written again. */
#define ROLLBACK_MS 4000
/* Time after which the next one begins: the nodes haven't settled the first. */
#define SECOND_ROLLBACK_MS 1500
/* Versions that the lost time has used up, and time in which nodes read some of them: the counter
 * takes some 20 s to come to its former value, so that all checks apply before that. */
#define LOST_VERSIONS 1200
#define LOST_VERSIONS_READ_MS 600

void soak_store_fault_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const faults[] = {"busy", "silent", "reset", "lost", "late", ""};
    const char *name = faults[fault->variant % (int)G_N_ELEMENTS(faults)];
    estate_command(soak->estate, "{\"do\":\"store-fault\",\"fault\":\"%s\",\"delay_ms\":%d}", name,
                   *name == '\0' ? 200 : 0);
}

void soak_store_fault_end(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    estate_command(soak->estate, "{\"do\":\"store-fault\",\"fault\":\"\",\"delay_ms\":0}");
}

void soak_store_compact(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    estate_command(soak->estate, "{\"do\":\"compact\"}");
}

/* Forgets the history, so that nodes read tables whole, which are behind by up to 3 s. */
static void store_behind_begin(soak_fault_t *fault, soak_t *soak) {
    estate_command(soak->estate, "{\"do\":\"store-behind\",\"behind_ms\":%d,\"for_ms\":%d}",
                   500 + fault->variant * 5 / 2, 300 + fault->variant % 7 * 300);
}

/* The store turns a third of the nodes away, and serves the others and the operator. */
static gboolean is_turned_away(const soak_fault_t *fault, int node) {
    return (node + fault->variant) % 3 == 0;
}

static void turned_away_set(const soak_fault_t *fault, soak_t *soak, const char *mode) {
    for (int node = 0; node < soak->nodes; node++) {
        if (is_turned_away(fault, node)) {
            estate_store_fault(soak->estate, node, mode, 0);
        }
    }
}

static void turned_away_begin(soak_fault_t *fault, soak_t *soak) {
    turned_away_set(fault, soak, "cut");
}

static void turned_away_end(soak_fault_t *fault, soak_t *soak) {
    turned_away_set(fault, soak, "pass");
}

const soak_fault_kind_t soak_config_faults[SOAK_CONFIG_FAULTS] = {
    {"store-turns-away", turned_away_begin, turned_away_end, 6000, 11000, FALSE},
    {"store-behind", store_behind_begin, soak_fault_end_nothing, 2500, 3000, FALSE},
};

/* The store is away for up to 2.6 s and comes back from a copy that is up to 8.4 s old by then;
 * what operators and engines wrote since is written again within 1.2 s. */
static void rollback_begin(soak_fault_t *fault, soak_t *soak) {
    estate_command(soak->estate, "{\"do\":\"store-skip-versions\",\"count\":%d}", LOST_VERSIONS);
    g_usleep(LOST_VERSIONS_READ_MS * 1000);
    estate_command(soak->estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":%d,\"rewrite_ms\":%d}",
                   LOST_VERSIONS_READ_MS + 200 + fault->variant * 5, fault->variant % 7 * 430,
                   fault->variant % 5 * 300);
}

static void second_rollback(soak_fault_t *fault, soak_t *soak) {
    rollback_begin(fault, soak);
    g_usleep(ROLLBACK_MS * 1000);
}

const soak_fault_kind_t soak_rollback_faults[SOAK_ROLLBACK_FAULTS] = {
    {"store-rollback", rollback_begin, soak_fault_end_nothing, ROLLBACK_MS, ROLLBACK_MS + 1, FALSE},
    {"store-rollback", rollback_begin, second_rollback, SECOND_ROLLBACK_MS, ROLLBACK_MS, FALSE},
};
