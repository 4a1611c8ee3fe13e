/**
 * @file sim_worker.h
 * @brief Engines that take orders on a virtual clock, and the calls that reach them.
 *
 * They do what the platform's pages say of engines: one order for models at a time, a sequence that
 * each order taken moves, four adapters on their way at most, reports that lag, orders whose answer
 * is lost and that may be carried out seconds later, restarts that forget the sequence and what is
 * loaded but keep the disk. What they hold is known to the oracle at each moment.
 */
#ifndef WICKBRIDGE_TEST_SIM_WORKER_H
#define WICKBRIDGE_TEST_SIM_WORKER_H

#include "wickbridge/catalog.h"
#include "wickbridge/dialect.h"

#define SIM_WORKERS 6
#define SIM_MODELS 14
#define SIM_ADAPTERS 6

/** How often things go wrong, each from 0 to 1. */
typedef struct sim_faults_t {
    double order_lost;  /**< carried out, not answered */
    double order_late;  /**< carried out 2 to 12 s later, not answered */
    double call_broken; /**< not sent at all */
    double report_lost;
} sim_faults_t;

/** What the oracle is told. */
typedef struct sim_oracle_t {
    void (*order_taken)(const char *holder, uint64_t token, int worker, void *context);
    void (*store_load_began)(void *context);
    void *context;
} sim_oracle_t;

/** The words that the product speaks with these engines. */
extern const wb_dialect_t sim_dialect;

void sim_workers_open(GRand *random, const wb_service_t *service, const sim_oracle_t *oracle);
void sim_workers_close(void);
void sim_workers_set_faults(const sim_faults_t *faults);
/** An engine falls and comes back under another id, empty, with its disk. */
void sim_worker_restart(int worker);
/** @return an engine's announcement, owned by the caller */
wb_engine_state_t *sim_worker_announce(int worker);
const char *sim_worker_id(int worker);
gboolean sim_worker_holds(int worker, const char *model);
/** @return why an engine has more than it has room for, or NULL */
const char *sim_worker_overfull(int worker);

#endif
