/**
 * @file node.h
 * @brief A complete node on a loop: links, membership, configuration, cells, gateway.
 *
 * The HTTP servers for clients and operators belong to the daemon; hollow nodes (many in one
 * process, for benchmarks) have none. Only wb_node_create fails, with a message in its wb_error_t.
 */
#ifndef WICKBRIDGE_NODE_H
#define WICKBRIDGE_NODE_H

#include "wickbridge/cell_host.h"
#include "wickbridge/gateway.h"

typedef struct wb_node_t wb_node_t;

/** Settings of a node; docs/SETTINGS.md describes them. */
typedef struct wb_node_settings_t {
    const char *id;
    const char *cluster;
    const char *zone;
    const char *listen_callers;
    const char *listen_nodes;
    const char *listen_operators;
    const char *advertise_nodes;
    const char *bind_nodes;
    const char *seeds;
    const char *platform;
    const char *log_level;
    const char *tls_key;
    const char *tls_certificate;
    const char *tls_trust;
    const char *tls_node_trust;
    const char *tls_platform_trust;
    int64_t log_json;
    int64_t http_threads;
    int64_t client_threads;
    int64_t body_limit_bytes;
    int64_t sender_timeout_s;
    int64_t heartbeat_interval_ms;
    int64_t suspect_after_ms;
    int64_t dead_after_ms;
    int64_t group_size;
    int64_t group_heartbeat_ms;
    int64_t election_timeout_ms;
    int64_t orphan_after_ms;
    int64_t claim_retention_ms;
    int64_t config_poll_ms;
    int64_t machine_poll_ms;
    int64_t platform_timeout_ms;
    int64_t order_timeout_ms;
    int64_t inventory_wait_ms;
    int64_t weight_loads_at_once;
    int64_t queue_limit;
    int64_t no_owner_wait_ms;
    int64_t busy_wait_ms;
    int64_t stream_idle_ms;
    int64_t stream_memory_ms;
    int64_t claim_timeout_ms;
    int64_t attempt_limit;
    int64_t answer_keep_bytes;
    int64_t drain_timeout_s;
} wb_node_settings_t;

/** Loop and clients that one or more nodes run on; they must outlive the nodes. */
typedef struct wb_node_parts_t {
    wb_loop_t *loop;
    wb_http_client_t *control_client;  /**< for the platform and the engines' control API */
    wb_http_client_t **stream_clients; /**< for requests to engines */
    guint stream_client_count;
    wb_tls_context_t *link_tls; /**< for links between nodes; NULL: no TLS */
    const char *scheme;         /**< of the platform and the engines: "http" or "https" */
} wb_node_parts_t;

/** Create a node. Before the loop starts, or on its thread. @param settings copied; its strings
 * must outlive the node
 * @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_node_create(wb_node_t **node, const wb_node_settings_t *settings,
                            const wb_node_parts_t *parts, wb_error_t *error);

/** Stop a node at once, without a drain, and free it. On the loop's thread, or after it stopped. */
void wb_node_free(wb_node_t *node);

/** Begin a planned stop: refuse new requests, hand over owned cells. On the loop's thread. */
void wb_node_drain(wb_node_t *node);

/** @return TRUE once no request is open and no cell is left to hand over. On the loop's thread */
gboolean wb_node_is_drained(wb_node_t *node);

/** Announce to all nodes that this node leaves permanently. On the loop's thread. */
void wb_node_leave(wb_node_t *node);

const char *wb_node_name(const wb_node_t *node);
wb_gateway_t *wb_node_gateway(wb_node_t *node);
wb_config_store_t *wb_node_config_store(wb_node_t *node);
wb_membership_t *wb_node_membership(wb_node_t *node);
wb_cell_host_t *wb_node_cell_host(wb_node_t *node);
wb_peers_t *wb_node_peers(wb_node_t *node);
wb_platform_t *wb_node_platform(wb_node_t *node);

/** Check whether clients can be served, and update the gateway (wb_gateway_set_ready). On the
 * loop's thread. */
gboolean wb_node_update_ready(wb_node_t *node);

#endif
