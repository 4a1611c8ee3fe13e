/**
 * @file edge_metrics.h
 * @brief Counters and latency histograms of an edge node, in the Prometheus text format.
 */
#ifndef WICKBRIDGE_EDGE_METRICS_H
#define WICKBRIDGE_EDGE_METRICS_H

#include "wickbridge/store_calls.h"

#include <glib.h>
#include <stdint.h>

#define WB_OUTCOMES_MAX 24
#define WB_LATENCY_BUCKETS 12

/** A latency histogram; bounds are in edge_metrics.c. */
typedef struct wb_histogram_t {
    uint64_t buckets[WB_LATENCY_BUCKETS + 1];
    uint64_t count;
    uint64_t sum_ms;
} wb_histogram_t;

typedef struct wb_edge_metrics_t {
    uint64_t requests;
    uint64_t requests_by_outcome[WB_OUTCOMES_MAX];
    uint64_t sends;
    uint64_t resends;
    uint64_t resends_refused; /* beyond what the retry budget allows */
    uint64_t rejections;
    uint64_t failed_attempts;
    uint64_t attempts_withdrawn; /**< before a byte left, as the engine had told not to send */
    uint64_t engine_checks;
    uint64_t engine_crashes;
    uint64_t engine_restarts;     /**< starts of engines that were known by their id */
    uint64_t engine_rows_refused; /**< rows that name no engine to use */
    uint64_t cold_attempts;          /**< sendings to engines that were cold */
    uint64_t evacuations;         /**< of zones */
    uint64_t subscriptions_sent;     /**< questions to a relay for engines */
    uint64_t subscriptions_answered;   /**< answers as a relay */
    uint64_t waits;
    uint64_t connections_opened;
    uint64_t connections_reused;
    wb_store_calls_t store_calls;
    uint64_t lease_takeovers;
    uint64_t updates_of_other_starts; /**< news of models at a start of an engine that isn't known */
    uint64_t orders;
    uint64_t orders_unknown;
    uint64_t store_loads;
    uint64_t local_loads;
    uint64_t unloads;
    uint64_t invalid_engine_values;           /**< what engines tell of themselves and can't be */
    uint64_t engine_limits;             /**< limits that engines have named or changed */
    uint64_t engine_drains;           /**< engines whose answers have told that they leave */
    uint64_t engine_backoffs;              /**< times that engines asked this node to stay away */
    uint64_t late_answers;              /**< first events later than their target */
    uint64_t long_pauses;               /**< streams that paused longer than their target */
    uint64_t load_updates;                 /**< messages told or heard about what engines have */
    wb_histogram_t prediction_error_ms; /**< a first event's time beside what was predicted */
    wb_histogram_t answer_ms;           /**< arrival to the first bytes of the answer */
    wb_histogram_t whole_ms;            /**< arrival to the end of the answer */
    wb_histogram_t wait_ms;             /**< time spent waiting for a model */
} wb_edge_metrics_t;

void wb_histogram_add(wb_histogram_t *histogram, int64_t value_ms);
/** Values that are read when the figures are told. */
typedef struct wb_edge_gauges_t {
    int64_t catalog_version;
    int64_t catalog_age_ms;
    int64_t engines_age_ms;
    unsigned engines;
    unsigned open_requests;
    unsigned waiting_requests;
    unsigned nodes;
    unsigned share_nodes; /**< among how many the retry slack is divided; 0: no share now */
    unsigned evacuated_zones;
    unsigned nodes_of_other_forms;
    unsigned suspected_requests; /**< different ones, by what they ask for */
    unsigned poison_requests;    /**< the same */
    gboolean holds_lease;
    uint64_t lease_token;
    uint64_t log_lines_dropped;
} wb_edge_gauges_t;

/** Append all figures as text. */
void wb_edge_metrics_write(const wb_edge_metrics_t *metrics, const wb_edge_gauges_t *gauges,
                           GString *text);

#endif
