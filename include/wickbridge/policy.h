/**
 * @file policy.h
 * @brief Operators' placement policies: short Lua programs without access to the outside.
 *
 * A program may define `keep_alive_ms(model)` and `placement_cost_ms(model, engine)`. Both get
 * plain tables and return a whole number. A program has no clock, no random numbers, no files and
 * no network; its instructions and its memory are limited, so the same input gives the same answer.
 * Threads: a compiled program belongs to one thread at a time.
 */
#ifndef WICKBRIDGE_POLICY_H
#define WICKBRIDGE_POLICY_H

#include "wickbridge/error.h"

#include <glib.h>
#include <stdint.h>

/** Lua instructions that one call may take. */
#define WB_POLICY_INSTRUCTION_LIMIT 50000
/** Memory that a program may use. */
#define WB_POLICY_MEMORY_LIMIT_BYTES (1024 * 1024)
/** Largest answer of either function. */
#define WB_POLICY_MAX_MS (7 * 86400000LL)

typedef struct wb_policy_program_t wb_policy_program_t;

/** A model as a policy sees it. Texts are borrowed. */
typedef struct wb_policy_model_t {
    const char *name;
    int64_t memory_mib;
    int64_t idle_ms; /**< since it was last used; -1: never used here */
    int64_t waiting;
    int64_t running;
    int64_t replicas;
    int64_t max_replicas;
    int64_t keep_alive_ms; /**< as declared for its service */
} wb_policy_model_t;

/** An engine as a policy sees it, when a replica is to be placed. */
typedef struct wb_policy_engine_t {
    const char *id;
    const char *zone;
    int64_t free_mib;
    int64_t models;             /**< loaded on it */
    int64_t evictions;          /**< models that would have to go */
    int64_t same_zone_replicas; /**< of this model */
    const char *source;         /**< where the weights would come from: memory, disk, remote */
    int64_t load_ms;            /**< as estimated */
} wb_policy_engine_t;

/** What a call to a policy gave. */
typedef enum wb_policy_result_t {
    WB_POLICY_OK,
    WB_POLICY_UNDEFINED, /**< the program leaves this open: the built-in rule holds */
    WB_POLICY_FAILED     /**< it failed, took too long, or returned nonsense */
} wb_policy_result_t;

/** Compile a program and try it once. @return APR_EINVAL with the reason when it can't be used */
apr_status_t wb_policy_compile(wb_policy_program_t **program, const char *name, const char *text,
                               wb_error_t *error);
void wb_policy_free(wb_policy_program_t *program);

wb_policy_result_t wb_policy_keep_alive(wb_policy_program_t *program,
                                        const wb_policy_model_t *model, int64_t *keep_alive_ms,
                                        wb_error_t *error);
wb_policy_result_t wb_policy_placement_cost(wb_policy_program_t *program,
                                            const wb_policy_model_t *model,
                                            const wb_policy_engine_t *engine, int64_t *cost_ms,
                                            wb_error_t *error);

#endif
