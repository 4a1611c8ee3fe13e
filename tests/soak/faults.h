/**
 * @file faults.h
 * @brief Kinds of faults of the soak, for faults.c and store_faults.c.
 */
#ifndef WICKBRIDGE_TEST_FAULTS_H
#define WICKBRIDGE_TEST_FAULTS_H

#include "soak.h"

typedef struct soak_fault_t soak_fault_t;

typedef struct soak_fault_kind_t {
    const char *name;
    void (*begin)(soak_fault_t *fault, soak_t *soak);
    void (*end)(soak_fault_t *fault, soak_t *soak);
    int min_ms;
    int max_ms;
    gboolean single_node; /* it affects one node only */
} soak_fault_kind_t;

/* An active fault. */
struct soak_fault_t {
    const soak_fault_kind_t *kind;
    int node;
    int variant;
    int64_t end_ms;
    guint span; /* index in soak->spans */
};

/** The end of a fault that ends by itself. */
void soak_fault_end_nothing(soak_fault_t *fault, soak_t *soak);

/** @return the engine of a fault of one of the four that are there from the start */
const char *soak_fault_engine(const soak_fault_t *fault);
/** Stop a node by SIGSTOP, and let it go on. */
void soak_pause_begin(soak_fault_t *fault, soak_t *soak);
void soak_pause_end(soak_fault_t *fault, soak_t *soak);

#define SOAK_ZONE_FAULTS 3
/* zone_faults.c */
extern const soak_fault_kind_t soak_zone_faults[SOAK_ZONE_FAULTS];

#define SOAK_STEP_FAULTS 3
/* steps.c */
extern const soak_fault_kind_t soak_step_faults[SOAK_STEP_FAULTS];

/* store_faults.c */
void soak_store_fault_begin(soak_fault_t *fault, soak_t *soak);
void soak_store_fault_end(soak_fault_t *fault, soak_t *soak);
/** Drop the store's history. */
void soak_store_compact(soak_fault_t *fault, soak_t *soak);

/* partitions.c */
extern const soak_fault_kind_t soak_partition_fault;

#define SOAK_VERSION_FAULTS 3
/* versions.c */
extern const soak_fault_kind_t soak_version_faults[SOAK_VERSION_FAULTS];

#define SOAK_CONFIG_FAULTS 2
#define SOAK_ROLLBACK_FAULTS 2
extern const soak_fault_kind_t soak_config_faults[SOAK_CONFIG_FAULTS];
extern const soak_fault_kind_t soak_rollback_faults[SOAK_ROLLBACK_FAULTS];

#endif
