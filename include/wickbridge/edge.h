/**
 * @file edge.h
 * @brief An edge node: accepts clients' requests, forwards them to engines, and runs the placement
 * controller while it holds the lease.
 *
 * One process, one loop, one thread; all functions must be called on the loop's thread. Persistent
 * state is kept in the store behind wb_table_t; names and formats of the platform come from a
 * wb_dialect_t. Units are in the names of the settings.
 */
#ifndef WICKBRIDGE_EDGE_H
#define WICKBRIDGE_EDGE_H

#include "wickbridge/dialect.h"
#include "wickbridge/loop.h"
#include "wickbridge/settings.h"
#include "wickbridge/table.h"

typedef struct wb_edge_t wb_edge_t;
typedef struct wb_edge_node_t wb_edge_node_t;

/** Settings of an edge node. Names, defaults, bounds and descriptions are in
 * src/edge/edge_settings.c. */
typedef struct wb_edge_settings_t {
    const char *id;
    const char *zone;
    const char *zone_regions;
    const char *listen_callers;
    const char *listen_ready;
    const char *listen_nodes;
    const char *advertise_nodes;
    const char *listen_tunnels;
    const char *advertise_tunnels;
    const char *listen_operators;
    const char *bind_host;
    const char *store;
    int64_t log_lines_per_s;
    double stop_grace_s;
    int64_t drain_ms;
    int64_t catalog_ms;
    int64_t evacuate_ms;
    double cold_overage;
    double cold_slack;
    int64_t engine_heartbeat_ms;
    int64_t lease_quiet_ms;
    int64_t lease_duration_ms;
    int64_t lease_renew_ms;
    int64_t lease_margin_ms;
    double processor_share;
    double retry_ratio;
    double retry_window_s;
    double retry_slack;
    double resume_window_s;
    int64_t stream_batch_ms;
    double stream_age_max_s;
    double poison_kept_s;
    double poison_trial_s;
    double load_window_s;
    int64_t connect_timeout_ms;
    int64_t silence_limit_ms;
    int64_t store_timeout_ms;
    double node_life_s;
    int64_t engine_rows_most;
    int64_t order_timeout_ms;
    int64_t engine_poll_ms;
    double store_look_s;
    int64_t demand_interval_ms;
    int64_t adapter_load_ms;
    int64_t answer_buffer_bytes;
    double prefill_tokens_per_ms;
    double step_ms;
    int64_t read_piece_tokens;
    int64_t event_tokens;
    int64_t engine_pace;
    int64_t quota_order;
    int64_t admission;
    int64_t load_news_ms;
    int64_t load_news_bytes_per_s;
} wb_edge_settings_t;

extern const wb_settings_table_t wb_edge_settings_table;

/**
 * Create a node, open its listeners and start to read the store; nothing happens before the loop
 * runs. A node lives as long as the process.
 * @param settings copied; its strings must outlive the node
 * @param table   the store; must outlive the node
 * @param dialect the platform's names and formats; must outlive the node
 * @return APR_SUCCESS, or the status of a listener that can't be opened, with a message in `error`
 */
apr_status_t wb_edge_node_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                 wb_table_t *table, const wb_dialect_t *dialect,
                                 wb_edge_node_t **node, wb_error_t *error);

/**
 * Apply the settings that may change at run time, such as drain time, retry slack, timeouts and the
 * prefill rate.
 * @return number of changed settings that take effect only after a restart
 */
unsigned wb_edge_node_reload(wb_edge_node_t *node, const wb_edge_settings_t *settings);

/** Begin a planned stop: the node reports not ready, closes each client connection after its
 * response, and releases the lease. The loop ends when open requests are done or the grace period
 * (stop_grace_s) is over. */
void wb_edge_node_drain(wb_edge_node_t *node);

#endif
