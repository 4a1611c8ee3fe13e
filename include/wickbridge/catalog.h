/**
 * @file catalog.h
 * @brief The operators' configuration in memory: routes, services, models, tenants, limits.
 *
 * A catalog is built by the platform adapter, completed with wb_catalog_seal, and not changed
 * afterwards, except for the state of wb_route_pick_service. It is reference counted: a request
 * keeps the catalog that it started with. Lookups return NULL if nothing matches; there are no
 * other errors. Not thread-safe: one thread at a time may use a catalog.
 */
#ifndef WICKBRIDGE_CATALOG_H
#define WICKBRIDGE_CATALOG_H

#include "wickbridge/tenant.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Whether a request that may have run may be sent again. */
typedef enum wb_route_kind_t {
    WB_ROUTE_REPEATABLE, /**< may run more than once */
    WB_ROUTE_ONCE,       /**< runs at most once */
    WB_ROUTE_STREAM      /**< the response is an event stream; runs at most once unless resumable */
} wb_route_kind_t;

/** A target of a weighted split. */
typedef struct wb_route_target_t {
    char *service;
    double weight;
} wb_route_target_t;

typedef struct wb_route_t {
    char *name;
    char *host; /**< in lower case */
    char *path_prefix;
    wb_route_kind_t kind;
    gboolean resumable;        /**< an interrupted stream may be resumed at another engine */
    int64_t timeout_ms;        /**< max time from arrival to the end of a request; 0: none */
    int64_t target_latency_ms; /**< target for the time to the first event; 0: none */
    int64_t target_gap_ms;     /**< target for the gap between two events of a stream; 0: none */
    int rank;                  /**< priority; 0 is the most urgent */
    int max_attempts;          /**< max number of engines that may run one request */
    char **allowed_regions;    /**< regions in which its requests may be served; NULL: all */
    gboolean is_public;        /**< requests need no API key */
    GArray *parts;             /**< of wb_route_target_t: the split targets */
    double split_point;        /**< private: state of wb_route_pick_service */
    gboolean moved;            /**< streams may have begun at another service: route_moves.h */
} wb_route_t;

/** A model that engines of a service may load. */
typedef struct wb_model_spec_t {
    char *name;
    double weights_mb;
    double adapter_mb;      /**< size of one adapter */
    int adapters;           /**< number of adapters */
    int64_t store_load_ms;  /**< load time from the weight store */
    int64_t disk_load_ms;   /**< load time from the engine's disk */
    int64_t memory_load_ms; /**< load time from the engine's host memory */
} wb_model_spec_t;

typedef struct wb_service_t {
    char *name;
    int max_connections;        /**< an engine's limit on connections from all nodes; 0: unknown */
    GHashTable *models;         /**< name -> wb_model_spec_t; empty for services without models */
    double weights_mb;          /**< an engine's capacity for weights and adapters */
    int adapter_slots;          /**< adapters that an engine can hold */
    double cold_capacity_per_s; /**< requests per second that a cold engine sustains; 0: as a warm
                                   one */
    int64_t cold_start_ms;      /**< time for which an engine is cold after its start */
    double loads_per_s;         /**< max loads from the weight store by all engines; 0: no limit */
    int64_t store_load_ms;      /**< mean store_load_ms of its models; set by wb_catalog_seal */
} wb_service_t;

/** Limits on clients' requests. */
typedef struct wb_client_limits_t {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_timeout_ms; /**< max time to receive a request head */
    int64_t idle_timeout_ms; /**< max idle time between requests and within a body */
} wb_client_limits_t;

typedef struct wb_catalog_t {
    int references;
    int64_t version;
    GHashTable *hosts;     /**< host -> GPtrArray of wb_route_t, longest prefix first */
    GHashTable *services;  /**< name -> wb_service_t */
    wb_tenants_t *tenants; /**< NULL: clients need no API keys */
    wb_client_limits_t limits;
    unsigned route_count;
    gboolean moves_stored; /**< that its routes have moved is stored where it outlives all nodes */
} wb_catalog_t;

wb_catalog_t *wb_catalog_create(int64_t version);
wb_catalog_t *wb_catalog_ref(wb_catalog_t *catalog);
void wb_catalog_unref(wb_catalog_t *catalog);

/** Add a route, with no split targets and one attempt. @return the route, to be filled in; owned by
 * the catalog */
wb_route_t *wb_catalog_add_route(wb_catalog_t *catalog, const char *name, const char *host,
                                 const char *path_prefix);
/** Add a split target. A target of weight 0 gets no requests. */
void wb_route_add_target(wb_route_t *route, const char *service, double weight);
/** Add a service; it replaces one of the same name. @return the service, to be filled in; owned by
 * the catalog */
wb_service_t *wb_catalog_add_service(wb_catalog_t *catalog, const char *name);
/** Add a model; it replaces one of the same name. @return the model, to be filled in; owned by the
 * service */
wb_model_spec_t *wb_service_add_model(wb_service_t *service, const char *name);
/** Complete a catalog: sort the routes and compute derived members. Call once, before the first
 * lookup. */
void wb_catalog_seal(wb_catalog_t *catalog);

/**
 * Find the route of a host whose prefix is the longest that matches a path.
 * @param host value of a Host header, in any case; a port is ignored
 * @param path request target; its query and fragment are ignored
 * @return the route, owned by the catalog, or NULL
 */
wb_route_t *wb_catalog_route(const wb_catalog_t *catalog, const char *host, const char *path);
/** @return the service, owned by the catalog, or NULL */
const wb_service_t *wb_catalog_service(const wb_catalog_t *catalog, const char *name);

/**
 * Pick the service of the next request by the weights of the route's split targets. Uses a golden
 * ratio (additive recurrence) sequence instead of random numbers, so the shares are close to the
 * weights over few requests as well.
 * @return the service's name, or NULL if no split target has a weight above 0
 */
const char *wb_route_pick_service(wb_route_t *route);
/** @return TRUE when a split target of the route with a weight above 0 has this service */
gboolean wb_route_leads_to(const wb_route_t *route, const char *service);

#endif
