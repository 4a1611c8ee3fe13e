/**
 * @file edge_metrics.h
 * @brief Counters, gauges and latency histograms of an edge node, in the Prometheus text format.
 *
 * Members are incremented directly; the metric names are in edge_metrics.c. Latencies are recorded
 * in milliseconds and written in seconds. Loop thread only; the functions can't fail.
 */
#ifndef WICKBRIDGE_EDGE_METRICS_H
#define WICKBRIDGE_EDGE_METRICS_H

#include "wickbridge/http_listener.h"
#include "wickbridge/store_calls.h"

#include <glib.h>
#include <stdint.h>

#define WB_OUTCOMES_MAX 28
#define WB_QUOTA_BASES_MAX 4
#define WB_LATENCY_BUCKETS 12

/** A latency histogram; the bucket bounds are in edge_metrics.c. */
typedef struct wb_histogram_t {
    uint64_t buckets[WB_LATENCY_BUCKETS + 1]; /**< not cumulative; the last one has no bound */
    uint64_t count;
    uint64_t sum_ms;
} wb_histogram_t;

/** Counters and histograms since the start of the process. */
typedef struct wb_edge_metrics_t {
    uint64_t requests;                             /**< client requests */
    uint64_t requests_by_outcome[WB_OUTCOMES_MAX]; /**< requests by outcome (wb_outcome_t) */
    uint64_t quota_units[WB_QUOTA_BASES_MAX];      /**< admitted units of limited tenants, by what
                                                      they were decided by (wb_quota_basis_t) */
    uint64_t sends;                                /**< attempts: requests sent to engines */
    uint64_t resends;                              /**< attempts after the first one of a request */
    uint64_t second_tries;       /**< attempts for which another engine, still silent, was left */
    uint64_t resends_refused;    /**< retries that the retry budget didn't allow */
    uint64_t rejections;         /**< attempts that engines rejected without running them */
    uint64_t failed_attempts;    /**< attempts without a complete response */
    uint64_t answers_dropped;    /**< responses of engines that ran a request, not passed on */
    uint64_t attempts_withdrawn; /**< attempts cancelled before the first byte was sent, as the
                                 engine had meanwhile reported a limit, draining or a backoff */
    uint64_t engine_checks;      /**< connections made to find out whether an engine has crashed */
    uint64_t limit_shares_borrowed;  /**< requests that count in another node's share of a limit */
    uint64_t part_refusals;          /**< requests refused for a part of their prompts */
    uint64_t engine_crashes;         /**< engines found to have crashed while running requests */
    uint64_t engine_restarts;        /**< new incarnations of known engine ids */
    uint64_t engine_rows_refused;    /**< invalid rows of the engines table */
    uint64_t rows_refused;           /**< invalid rows of the other tables */
    uint64_t cold_attempts;          /**< attempts at cold engines */
    uint64_t evacuations;            /**< zone evacuations that this node learned of */
    uint64_t subscriptions_sent;     /**< queries for engines sent to a relay */
    uint64_t subscriptions_answered; /**< such queries answered as a relay */
    uint64_t waits;                  /**< requests that waited for an engine or a model */
    uint64_t connections_opened;     /**< to engines */
    uint64_t connections_reused;     /**< to engines */
    uint64_t connections_failed;     /**< to engines: not established */
    uint64_t tunnels_asked;   /**< times that another node was asked to connect to an engine */
    uint64_t tunnels_opened;  /**< times that it did */
    uint64_t tunnels_failed;  /**< times that it didn't, or didn't answer */
    uint64_t tunnels_served;  /**< connections to engines opened for other nodes */
    uint64_t tunnels_refused; /**< other nodes' questions that led to no connection */
    uint64_t tunnel_bytes;    /**< passed for other nodes */
    uint64_t isolations;      /**< times that this node reached few engines, and others did */
    uint64_t lease_handovers; /**< times that it handed the lease over for that reason */
    wb_store_calls_t store_calls;
    uint64_t store_rollbacks;       /**< times that the store was found to have gone back */
    uint64_t store_reads_discarded; /**< full reads that were older than what was known */
    uint64_t catalog_fetches;       /**< times that this node asked another for the configuration */
    uint64_t catalog_rows_fetched;  /**< configurations received from another node */
    uint64_t catalog_rows_sent;     /**< configurations sent to nodes that asked */
    uint64_t lease_takeovers;       /**< times that this node took the lease over */
    uint64_t lease_resends;         /**< renewals sent beside an unanswered one */
    uint64_t updates_of_other_starts; /**< placement updates for another incarnation of an engine
                                      than the known one */
    uint64_t orders;                  /**< orders sent to engines */
    uint64_t orders_unknown;          /**< orders without a response */
    uint64_t store_loads;             /**< loads ordered from the weight store */
    uint64_t local_loads;             /**< loads ordered from an engine's memory or disk */
    uint64_t unloads;                 /**< unloads ordered */
    uint64_t invalid_engine_values;   /**< malformed or out-of-range values in engines' headers */
    uint64_t engine_limits;           /**< limits that engines reported or changed */
    uint64_t engine_drains;           /**< engines that reported draining in a response */
    uint64_t engine_backoffs;         /**< times that engines asked this node for a backoff */
    uint64_t late_answers;            /**< first events later than the route's target */
    uint64_t long_gaps;               /**< streams with a longer gap than the route's target */
    uint64_t load_updates;            /**< messages about engine load sent or received */
    wb_http_listener_counts_t client_connections;
    uint64_t streams_taken_up;    /**< requests that take up an earlier stream of their client */
    uint64_t stream_origin_waits; /**< waits of streams that began only once it was stored where */
    uint64_t stream_starts_asked; /**< questions to the controller for the start of such a stream */
    uint64_t stream_echoes_wanted; /**< times that nodes were to show that their starts arrived */
    uint64_t stream_starts_stored; /**< starts that the store has taken */
    uint64_t stream_starts_stored_late; /**< of these, more than a second after the first event */
    uint64_t stream_starts_not_stored;  /**< starts that were forgotten before they were stored */
    uint64_t stream_starts_restored;    /**< starts found in the store after a take-over */
    uint64_t unframed_answers;          /**< engines' responses with neither length nor chunks */
    uint64_t unframed_empty_answers;    /**< successes of these without a body */
    uint64_t answers_ended_in_event;    /**< streams that ended inside an event */
    wb_histogram_t prediction_error_ms; /**< absolute error of the predicted time to first event */
    wb_histogram_t answer_ms;           /**< arrival to the first bytes of the response */
    wb_histogram_t whole_ms;            /**< arrival to the end of the response */
    wb_histogram_t wait_ms;             /**< time spent waiting for an engine or a model */
} wb_edge_metrics_t;

/** Add a value; negative values count as 0 in the sum. */
void wb_histogram_add(wb_histogram_t *histogram, int64_t value_ms);
/** Values that are read when the metrics are written. */
typedef struct wb_edge_gauges_t {
    int64_t catalog_version; /**< version of the configuration in force */
    int64_t catalog_age_ms;  /**< since the configuration was last confirmed by the store */
    /** since the holder named a newer configuration than this node has; 0: it has the newest */
    int64_t catalog_behind_ms;
    int64_t store_era;
    uint64_t store_rows_ignored;
    int64_t engines_age_ms; /**< since the engines were last confirmed by the store */
    unsigned engines;       /**< announced engines */
    unsigned open_requests;
    unsigned waiting_requests; /**< requests waiting for an engine or a model */
    unsigned nodes;
    unsigned share_nodes; /**< nodes that share the retry slack; 0: this node has no share now */
    unsigned evacuated_zones;
    unsigned engines_cut;          /**< engines that only other nodes reached lately */
    gboolean is_isolated;          /**< this node reaches few engines, and others do */
    unsigned open_tunnels;         /**< connections to engines open for other nodes */
    unsigned nodes_of_other_forms; /**< nodes with another version of the message format */
    unsigned suspected_requests;   /**< distinct requests suspected of crashing engines */
    unsigned poison_parts;         /**< parts of prompts refused for crashing engines */
    unsigned poison_requests;      /**< distinct requests refused for crashing engines */
    gboolean holds_lease;
    uint64_t lease_token; /**< token of this node's last lease */
    uint64_t log_lines_dropped;
} wb_edge_gauges_t;

/** Append all metrics as text. */
void wb_edge_metrics_write(const wb_edge_metrics_t *metrics, const wb_edge_gauges_t *gauges,
                           GString *text);

#endif
