/**
 * @file sim_worker.h
 * @brief Simulated engines on a virtual clock, behind a replacement for wb_http_pool_t.
 *
 * They follow the platform's description of engines: one model order at a time, a sequence number
 * that each accepted order advances, at most four adapters loading, and reports that lag. Orders
 * may lose their response and may be executed seconds later. A restart resets the sequence and what
 * is loaded, but keeps the disk. Times are in milliseconds, weights in MB. The state is global, so
 * only one simulation runs at a time; a malformed order aborts the program.
 */
#ifndef WICKBRIDGE_TEST_SIM_WORKER_H
#define WICKBRIDGE_TEST_SIM_WORKER_H

#include "wickbridge/catalog.h"
#include "wickbridge/dialect.h"

#define SIM_WORKERS 6
#define SIM_MODELS 14
#define SIM_ADAPTERS 6

/** Probabilities of faults, each from 0 to 1. */
typedef struct sim_faults_t {
    double order_lost;    /**< executed, response lost */
    double order_late;    /**< executed 2 to 12 s later, response lost */
    double call_not_sent; /**< not sent at all */
    double report_lost;
} sim_faults_t;

/** Callbacks to the oracle: an order reached an engine; a load from the weight store began. */
typedef struct sim_oracle_t {
    void (*order_received)(const char *holder, uint64_t token, int worker, void *context);
    void (*store_load_began)(void *context);
    void *context;
} sim_oracle_t;

/** Names and formats of the protocol with these engines. */
extern const wb_dialect_t sim_dialect;

void sim_workers_start(GRand *random, const wb_service_t *service, const sim_oracle_t *oracle);
void sim_workers_stop(void);
void sim_workers_set_faults(const sim_faults_t *faults);
/** Restart an engine under another id: nothing is loaded, the disk is kept. */
void sim_worker_restart(int worker);
/** @return an engine's announced state, owned by the caller */
wb_engine_state_t *sim_worker_announce(int worker);
const char *sim_worker_id(int worker);
gboolean sim_worker_has_model(int worker, const char *model);
/** @return how an engine exceeds its weights or adapter capacity (a static string), or NULL */
const char *sim_worker_capacity_violation(int worker);

#endif
