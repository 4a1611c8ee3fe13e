/**
 * @file declaration.h
 * @brief Operators' declarations, parsed and checked: services, models, adapters, owners, policies.
 *
 * A configuration is immutable once parsed and is shared between threads by reference counting.
 * Units are in the names. Lookups return NULL if nothing matches.
 */
#ifndef WICKBRIDGE_DECLARATION_H
#define WICKBRIDGE_DECLARATION_H

#include "wickbridge/error.h"

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define WB_MIB (1024LL * 1024LL)

/** A service: a set of engines, and the models that run on them. */
typedef struct wb_service_t {
    char *name;
    int64_t cells;         /**< number of partitions with an owner each; fixed once declared */
    int64_t keep_alive_ms; /**< idle time after which a replica is unloaded */
    int64_t default_deadline_ms;
    gboolean repeatable; /**< FALSE: its requests run at most once */
    char *policy;        /**< name of the placement policy, or "" */
} wb_service_t;

typedef struct wb_model_t {
    char *name;
    char *service;
    char *cell; /**< derived: "service/number" */
    int64_t version;
    int64_t memory_bytes;
    int64_t max_replicas;
    int64_t min_replicas;
} wb_model_t;

typedef struct wb_adapter_t {
    char *name;
    char *model;
    int64_t memory_bytes;
} wb_adapter_t;

/** Account of requests, for fair queueing. */
typedef struct wb_owner_t {
    char *name;
    int64_t share; /**< weight, relative to those of the other owners */
} wb_owner_t;

/** A placement policy: a short Lua program. */
typedef struct wb_policy_t {
    char *name;
    char *program;
} wb_policy_t;

typedef struct wb_config_t {
    int references;
    uint64_t version;
    json_t *objects; /**< "kind/name" -> declaration, as accepted */
    GHashTable *services;
    GHashTable *models;
    GHashTable *adapters;
    GHashTable *owners;
    GHashTable *policies;
} wb_config_t;

/** Location of an invalid declaration. */
typedef struct wb_config_fault_t {
    char key[256];   /**< "kind/name" */
    char member[64]; /**< the invalid member, or "" */
} wb_config_fault_t;

/**
 * Parse and check all declarations and the references between them.
 * @param objects "kind/name" -> declaration; a reference is taken
 * @param config  out: the configuration, with one reference
 * @param fault   out: the invalid declaration; may be NULL
 * @return APR_SUCCESS, or APR_EINVAL with the valid values in `error`
 */
apr_status_t wb_config_parse(json_t *objects, uint64_t version, wb_config_t **config,
                             wb_config_fault_t *fault, wb_error_t *error);

wb_config_t *wb_config_ref(wb_config_t *config);
void wb_config_unref(wb_config_t *config);

const wb_service_t *wb_config_service(const wb_config_t *config, const char *name);
const wb_model_t *wb_config_model(const wb_config_t *config, const char *name);
const wb_adapter_t *wb_config_adapter(const wb_config_t *config, const char *name);
const wb_owner_t *wb_config_owner(const wb_config_t *config, const char *name);
const wb_policy_t *wb_config_policy(const wb_config_t *config, const char *name);

/** @return the names of all cells, sorted, as a GPtrArray of char *; owned by the caller */
GPtrArray *wb_config_cells(const wb_config_t *config);

/** @return the name of the cell that a key of a service belongs to; owned by the caller */
char *wb_cell_name_for(const wb_service_t *service, const char *key);

/**
 * Apply a change to a set of declarations.
 * @param change {"set": {key: declaration}, "remove": [key]}
 * @return a new set of declarations; `objects` is unchanged
 */
json_t *wb_config_objects_apply(const json_t *objects, const json_t *change);

#endif
