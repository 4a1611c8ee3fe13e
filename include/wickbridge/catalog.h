/**
 * @file catalog.h
 * @brief The operators' configuration as a gateway uses it: routes, services, models.
 *
 * A catalog never changes once it is in force; a request holds a reference to the one that it began
 * under.
 */
#ifndef WICKBRIDGE_CATALOG_H
#define WICKBRIDGE_CATALOG_H

#include "wickbridge/tenant.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** What may be done again with a request that may have run. */
typedef enum wb_route_kind_t {
    WB_ROUTE_REPEATABLE, /**< it may run more than once */
    WB_ROUTE_ONCE,       /**< it runs at most once */
    WB_ROUTE_STREAM      /**< its answer is a stream of events; once, unless it may be resumed */
} wb_route_kind_t;

/** A part of a weighted split. */
typedef struct wb_route_target_t {
    char *service;
    double weight;
} wb_route_target_t;

typedef struct wb_route_t {
    char *name;
    char *host;
    char *path_prefix;
    wb_route_kind_t kind;
    gboolean resumable;
    int64_t timeout_ms;        /**< longest time that a request is held; 0: none */
    int64_t target_latency_ms; /**< 0: none */
    int64_t target_gap_ms;     /**< 0: none */
    int rank;                  /**< 0 is the most urgent */
    int max_attempts;          /**< most engines that may run one request */
    char **allowed_regions;              /**< regions in which its requests may be served; NULL: all */
    gboolean is_public;        /**< a request needs no key */
    GArray *parts;             /**< of wb_route_target_t */
    double split_point;        /**< private: state of wb_route_pick_service */
} wb_route_t;

/** A model that engines of a service may hold. */
typedef struct wb_model_spec_t {
    char *name;
    double weights_mb;
    double adapter_mb;
    int adapters;
    int64_t store_load_ms;
    int64_t disk_load_ms;
    int64_t memory_load_ms;
} wb_model_spec_t;

typedef struct wb_service_t {
    char *name;
    int max_connections; /**< an engine takes so many, from all nodes together; 0: unknown */
    GHashTable *models;  /**< name -> wb_model_spec_t; empty for services without models */
    double weights_mb;   /**< an engine's room for weights and adapters */
    int adapter_slots;
    double cold_capacity_per_s; /**< requests a second that a cold engine bears; 0: as many as a warm one */
    int64_t cold_start_ms; /**< time for which an engine is cold after its start */
    double loads_per_s;    /**< loads from the weight store, all engines together; 0: no limit */
    int64_t store_load_ms; /**< mean time of its models' loads from there, set by wb_catalog_seal */
} wb_service_t;

/** Bounds on callers. */
typedef struct wb_client_limits_t {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_timeout_ms;
    int64_t idle_timeout_ms;
} wb_client_limits_t;

typedef struct wb_catalog_t {
    int references;
    int64_t version;
    GHashTable *hosts;     /**< host -> GPtrArray of wb_route_t, longest prefix first */
    GHashTable *services;  /**< name -> wb_service_t */
    wb_tenants_t *tenants; /**< NULL: callers have no keys */
    wb_client_limits_t limits;
    unsigned route_count;
} wb_catalog_t;

wb_catalog_t *wb_catalog_create(int64_t version);
wb_catalog_t *wb_catalog_ref(wb_catalog_t *catalog);
void wb_catalog_unref(wb_catalog_t *catalog);

/** @return a route to fill in; the catalog owns it */
wb_route_t *wb_catalog_add_route(wb_catalog_t *catalog, const char *name, const char *host,
                                 const char *path_prefix);
void wb_route_add_target(wb_route_t *route, const char *service, double weight);
/** @return a service to fill in; the catalog owns it */
wb_service_t *wb_catalog_add_service(wb_catalog_t *catalog, const char *name);
wb_model_spec_t *wb_service_add_model(wb_service_t *service, const char *name);
/** Call once when all routes are added. */
void wb_catalog_seal(wb_catalog_t *catalog);

/**
 * Find the route with the longest prefix of a host.
 * @param host a Host header's value; a port in it is passed over
 * @param path a request's target; its query is not looked at
 */
wb_route_t *wb_catalog_route(const wb_catalog_t *catalog, const char *host, const char *path);
const wb_service_t *wb_catalog_service(const wb_catalog_t *catalog, const char *name);

/**
 * Pick the service of the next request by the parts' weights.
 * Points are spread by the golden ratio, so shares are met closely over short times too.
 * @return the service's name, or NULL when the route has no part with a weight
 */
const char *wb_route_pick_service(wb_route_t *route);

#endif
