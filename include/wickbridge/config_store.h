/**
 * @file config_store.h
 * @brief The configuration in force here: accepted through the table service, spread by nodes.
 *
 * A change is accepted by one transaction on the row "config/current", which counts versions up by
 * one. Nodes pass accepted changes on over the overlay and never go back to an older version.
 * Threads: everything on the loop's thread.
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

/** How an operator's change ended. */
typedef enum wb_config_apply_status_t {
    WB_CONFIG_ACCEPTED,
    WB_CONFIG_UNCHANGED,   /**< it says what is in force already */
    WB_CONFIG_CONFLICT,    /**< another change came first */
    WB_CONFIG_INVALID,     /**< the declarations are wrong */
    WB_CONFIG_UNAVAILABLE, /**< the table service is away; nothing was accepted */
    WB_CONFIG_UNKNOWN      /**< may have been accepted; look before trying again */
} wb_config_apply_status_t;

typedef struct wb_config_apply_result_t {
    wb_config_apply_status_t status;
    uint64_t version; /**< in force here after it */
    wb_config_fault_t fault;
    wb_error_t error;
} wb_config_apply_result_t;

typedef void (*wb_config_apply_fn)(const wb_config_apply_result_t *result, void *context);

wb_config_store_t *wb_config_store_start(wb_loop_t *loop, wb_platform_t *platform,
                                         wb_peers_t *peers, int64_t poll_interval_ms,
                                         const wb_config_store_events_t *events);
void wb_config_store_stop(wb_config_store_t *store);

/** @return the configuration in force; version 0 and empty before any is known */
wb_config_t *wb_config_store_current(const wb_config_store_t *store);

/** @return TRUE once this node is known to have the newest accepted configuration, at least once */
gboolean wb_config_store_is_ready(const wb_config_store_t *store);

/**
 * Ask for a change.
 * @param base_version the version the operator started from; 0: whatever is in force
 * @param change {"set": {...}, "remove": [...], "author": ...}; a reference is taken
 */
void wb_config_store_apply(wb_config_store_t *store, uint64_t base_version, json_t *change,
                           wb_config_apply_fn done, void *context);

/** Give it a message. @return TRUE when the message was its own */
gboolean wb_config_store_handle_message(wb_config_store_t *store, const char *node,
                                 const wb_wire_message *message);

/** A neighbour's heartbeat shows its version. */
void wb_config_store_on_peer_version(wb_config_store_t *store, const char *node, uint64_t version);

/** @return recent accepted changes, oldest first, as a JSON array */
json_t *wb_config_store_history(const wb_config_store_t *store);

#endif
