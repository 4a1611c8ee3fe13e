/**
 * @file config_store.h
 * @brief The configuration in force on this node: changes are accepted through the table service
 * and propagated between nodes.
 *
 * A change is accepted by a transaction on the row "config/current", which increments the version.
 * Nodes forward accepted changes over the overlay and never revert to an older version. Errors of a
 * change are reported in its wb_config_apply_result_t. Loop thread only.
 */
#ifndef WICKBRIDGE_CONFIG_STORE_H
#define WICKBRIDGE_CONFIG_STORE_H

#include "wickbridge/declaration.h"
#include "wickbridge/peers.h"
#include "wickbridge/platform.h"

typedef struct wb_config_store_t wb_config_store_t;

typedef struct wb_config_store_events_t {
    /** A newer configuration is in force. */
    void (*on_config)(wb_config_t *config, void *context);
    void *context;
} wb_config_store_events_t;

/** Outcome of an operator's change. */
typedef enum wb_config_apply_status_t {
    WB_CONFIG_ACCEPTED,
    WB_CONFIG_UNCHANGED,   /**< equal to the configuration in force */
    WB_CONFIG_CONFLICT,    /**< another change was accepted first */
    WB_CONFIG_INVALID,     /**< the declarations are invalid; see `fault` and `error` */
    WB_CONFIG_UNAVAILABLE, /**< the table service is unavailable; not accepted */
    WB_CONFIG_UNKNOWN      /**< may have been accepted; check before a retry */
} wb_config_apply_status_t;

typedef struct wb_config_apply_result_t {
    wb_config_apply_status_t status;
    uint64_t version; /**< version in force on this node afterwards */
    wb_config_fault_t fault;
    wb_error_t error;
} wb_config_apply_result_t;

typedef void (*wb_config_apply_fn)(const wb_config_apply_result_t *result, void *context);

/** Start to read the configuration. @param poll_interval_ms between two reads of its row
 * @param events copied */
wb_config_store_t *wb_config_store_start(wb_loop_t *loop, wb_platform_t *platform,
                                         wb_peers_t *peers, int64_t poll_interval_ms,
                                         const wb_config_store_events_t *events);
void wb_config_store_stop(wb_config_store_t *store);

/** @return the configuration in force; version 0 and empty before any is known */
wb_config_t *wb_config_store_current(const wb_config_store_t *store);

/** @return TRUE once this node has been known to have the newest accepted configuration */
gboolean wb_config_store_is_ready(const wb_config_store_t *store);

/**
 * Request a change. `done` is called once with the result.
 * @param base_version version that the change is based on; 0: the one in force
 * @param change {"set": {...}, "remove": [...], "author": ...}; a reference is taken
 */
void wb_config_store_apply(wb_config_store_t *store, uint64_t base_version, json_t *change,
                           wb_config_apply_fn done, void *context);

/** Handle a message from a node. @return TRUE if it is a configuration message */
gboolean wb_config_store_handle_message(wb_config_store_t *store, const char *node,
                                 const wb_wire_message *message);

/** Handle the version in a neighbour's heartbeat: fetches missing changes from it. If neighbours
 * repeatedly report the version in force here, this node becomes ready without the table service.
 */
void wb_config_store_on_peer_version(wb_config_store_t *store, const char *node, uint64_t version);

/** @return recently accepted changes, oldest first, as a JSON array */
json_t *wb_config_store_history(const wb_config_store_t *store);

#endif
