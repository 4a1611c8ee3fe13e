/* Metrics of an edge node in the Prometheus text format: counters, latency histograms in seconds,
 * gauges. */
#include "wickbridge/edge_metrics.h"

#include "request/request_types.h"

static const unsigned bucket_bounds_ms[WB_LATENCY_BUCKETS] = {5,   10,   25,   50,   100,   250,
                                                              500, 1000, 2500, 5000, 10000, 30000};

void wb_histogram_add(wb_histogram_t *histogram, int64_t value_ms) {
    size_t bucket = 0;
    while (bucket < WB_LATENCY_BUCKETS && value_ms > bucket_bounds_ms[bucket])
        bucket++;
    histogram->buckets[bucket]++;
    histogram->count++;
    histogram->sum_ms += (uint64_t)MAX(value_ms, 0);
}

static void metric_write(GString *text, const char *name, const char *type, const char *help,
                         uint64_t value) {
    g_string_append_printf(text, "# HELP wickbridge_%s %s\n# TYPE wickbridge_%s %s\n", name, help,
                           name, type);
    g_string_append_printf(text, "wickbridge_%s %llu\n", name, (unsigned long long)value);
}

static void histogram_write(GString *text, const char *name, const char *help,
                            const wb_histogram_t *histogram) {
    g_string_append_printf(text, "# HELP wickbridge_%s %s\n# TYPE wickbridge_%s histogram\n", name,
                           help, name);
    uint64_t sum = 0;
    for (size_t i = 0; i < WB_LATENCY_BUCKETS; i++) {
        sum += histogram->buckets[i];
        g_string_append_printf(text, "wickbridge_%s_bucket{le=\"%g\"} %llu\n", name,
                               bucket_bounds_ms[i] / 1000.0, (unsigned long long)sum);
    }
    g_string_append_printf(text, "wickbridge_%s_bucket{le=\"+Inf\"} %llu\n", name,
                           (unsigned long long)histogram->count);
    g_string_append_printf(text, "wickbridge_%s_sum %.3f\nwickbridge_%s_count %llu\n", name,
                           (double)histogram->sum_ms / 1000, name,
                           (unsigned long long)histogram->count);
}

static void counters_write(const wb_edge_metrics_t *metrics, GString *text) {
    const struct {
        const char *name;
        const char *help;
        uint64_t value;
    } rows[] = {
        {"requests_total", "Requests of callers.", metrics->requests},
        {"sends_total", "Sendings to engines.", metrics->sends},
        {"resends_total", "Sendings beyond the first of a request.", metrics->resends},
        {"second_tries_total", "Sendings for which another engine, still silent, was left.",
         metrics->second_tries},
        {"resends_refused_total", "Sendings beyond the first that the retry budget didn't allow.",
         metrics->resends_refused},
        {"rejections_total", "Sendings that engines turned away.", metrics->rejections},
        {"broken_sends_total", "Sendings without a whole answer.", metrics->failed_attempts},
        {"sends_withdrawn_total",
         "Sendings ended before their first byte, as the engine had told not to send.",
         metrics->attempts_withdrawn},
        {"engine_checks_total", "Looks whether an engine is there that broke a request off.",
         metrics->engine_checks},
        {"limit_shares_borrowed_total",
         "Requests that count in another node's share of an engine's limit.",
         metrics->limit_shares_borrowed},
        {"poison_part_refusals_total", "Requests refused for a part of their prompts.",
         metrics->part_refusals},
        {"engine_crashes_total", "Engines found to have ended under requests.",
         metrics->engine_crashes},
        {"engine_restarts_total", "Engines found to have started again under their id.",
         metrics->engine_restarts},
        {"engine_rows_refused_total", "Rows of the store that name no engine to use.",
         metrics->engine_rows_refused},
        {"rows_refused_total", "Rows of the store's other tables that can't be read.",
         metrics->rows_refused},
        {"cold_sends_total", "Sendings to engines that were cold.", metrics->cold_attempts},
        {"evacuations_total", "Evacuations of zones that this node learned of.",
         metrics->evacuations},
        {"directory_wants_total", "Questions to a relay for engines of a model.",
         metrics->subscriptions_sent},
        {"directory_answers_total", "Such questions that this node answered as a relay.",
         metrics->subscriptions_answered},
        {"waits_total", "Requests that waited for an engine or a model.", metrics->waits},
        {"engine_connections_opened_total", "Connections opened to engines.",
         metrics->connections_opened},
        {"engine_connections_reused_total", "Kept connections used again.",
         metrics->connections_reused},
        {"engine_connections_failed_total", "Connections to engines that weren't established.",
         metrics->connections_failed},
        {"streams_taken_up_total", "Requests that take up an earlier stream of their caller.",
         metrics->streams_taken_up},
        {"stream_origin_waits_total",
         "Requests that waited until it was stored where their streams begin.",
         metrics->stream_origin_waits},
        {"stream_echoes_wanted_total",
         "Times that all nodes were to show that the starts they had sent have arrived.",
         metrics->stream_echoes_wanted},
        {"stream_starts_asked_total", "Questions to the controller for the start of a stream.",
         metrics->stream_starts_asked},
        {"stream_starts_stored_total", "Starts of streams that the store has taken.",
         metrics->stream_starts_stored},
        {"stream_starts_stored_late_total",
         "Of these, those taken over a second after the stream's first event.",
         metrics->stream_starts_stored_late},
        {"stream_starts_not_stored_total", "Starts of streams forgotten before they were stored.",
         metrics->stream_starts_not_stored},
        {"stream_starts_restored_total",
         "Starts of streams found in the store by a new controller.",
         metrics->stream_starts_restored},
        {"unframed_answers_total", "Engines' answers with neither length nor chunks.",
         metrics->unframed_answers},
        {"unframed_empty_answers_total",
         "Engines' successes with neither length, chunks nor body, of which some may be cut off.",
         metrics->unframed_empty_answers},
        {"answers_dropped_total",
         "Engines' own answers that were not passed on, as another engine could serve the request.",
         metrics->answers_dropped},
        {"answers_ended_in_event_total", "Engines' streams that ended inside an event.",
         metrics->answers_ended_in_event},
        {"tunnels_asked_total", "Times that another node was asked to connect to an engine.",
         metrics->tunnels_asked},
        {"tunnels_opened_total", "Connections to engines opened through another node.",
         metrics->tunnels_opened},
        {"tunnels_failed_total", "Times that another node didn't connect, or didn't answer.",
         metrics->tunnels_failed},
        {"tunnels_served_total", "Connections to engines opened for other nodes.",
         metrics->tunnels_served},
        {"tunnels_refused_total", "Questions of other nodes that led to no connection.",
         metrics->tunnels_refused},
        {"tunnel_bytes_total", "Bytes passed between other nodes and engines.",
         metrics->tunnel_bytes},
        {"isolations_total", "Times that this node reached few engines while others did.",
         metrics->isolations},
        {"lease_handovers_total", "Times that this node handed the lease over, being isolated.",
         metrics->lease_handovers},
        {"store_calls_total", "Calls to the store.", wb_store_calls_sum(&metrics->store_calls)},
        {"store_failures_total", "Calls to the store without a good answer.",
         metrics->store_calls.failed},
        {"store_rollbacks_total", "Times that the store was found to have come back from a copy.",
         metrics->store_rollbacks},
        {"store_reads_discarded_total",
         "Reads of a whole table that were older than what was known.",
         metrics->store_reads_discarded},
        {"catalog_fetches_total", "Times that this node asked another for the configuration.",
         metrics->catalog_fetches},
        {"catalog_rows_fetched_total", "Configurations received from another node.",
         metrics->catalog_rows_fetched},
        {"catalog_rows_sent_total", "Configurations sent to nodes that asked.",
         metrics->catalog_rows_sent},
        {"lease_takeovers_total", "Times that this node took the controller's lease.",
         metrics->lease_takeovers},
        {"lease_resends_total",
         "Renewals of the lease that were sent again beside one that the store hadn't answered.",
         metrics->lease_resends},
        {"news_of_other_starts_total",
         "News of models at a start of an engine that wasn't the one known.",
         metrics->updates_of_other_starts},
        {"orders_total", "Orders given to engines.", metrics->orders},
        {"orders_unknown_total", "Orders without an answer.", metrics->orders_unknown},
        {"store_loads_total", "Loads ordered that read from the weight store.",
         metrics->store_loads},
        {"local_loads_total", "Loads ordered that read from an engine's memory or disk.",
         metrics->local_loads},
        {"unloads_total", "Unloads ordered.", metrics->unloads},
        {"engine_figures_refused_total", "Figures that engines tell of themselves and can't be.",
         metrics->invalid_engine_values},
        {"engine_limits_total", "Limits that engines named in answers, or changed.",
         metrics->engine_limits},
        {"engine_leavings_total", "Engines whose answers told that they leave.",
         metrics->engine_drains},
        {"engine_rests_total", "Times that engines asked this node to stay away for some time.",
         metrics->engine_backoffs},
        {"late_answers_total", "First events later than their route's target.",
         metrics->late_answers},
        {"long_pauses_total", "Streams that paused longer than their route allows.",
         metrics->long_gaps},
        {"load_news_total", "Messages told or heard about what engines have.",
         metrics->load_updates},
        {"client_idle_closes_total", "Client connections closed because they were idle.",
         metrics->client_connections.idle_closes},
        {"client_idle_reads_total",
         "Times that input was found on a client connection that was to be closed as idle.",
         metrics->client_connections.idle_reads},
        {"client_late_inputs_total", "Client connections with input after the end of their output.",
         metrics->client_connections.late_inputs},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        metric_write(text, rows[i].name, "counter", rows[i].help, rows[i].value);
}

static void gauges_write(const wb_edge_gauges_t *gauges, GString *text) {
    const struct {
        const char *name;
        const char *help;
        uint64_t value;
    } rows[] = {
        {"catalog_version", "Version of the configuration in force.",
         (uint64_t)gauges->catalog_version},
        {"catalog_age_ms", "Time since the store last told of the configuration.",
         (uint64_t)gauges->catalog_age_ms},
        {"catalog_behind_ms",
         "Time for which a newer configuration has been named that isn't here; 0: none is.",
         (uint64_t)gauges->catalog_behind_ms},
        {"engines_age_ms", "Time since the store last told of engines.",
         (uint64_t)gauges->engines_age_ms},
        {"store_era", "Newest era that the store has named; 0: it has named none.",
         (uint64_t)gauges->store_era},
        {"store_rows_ignored",
         "Rows of the store ignored so far, as they were older than what was known.",
         gauges->store_rows_ignored},
        {"engines", "Engines that announce themselves.", gauges->engines},
        {"open_requests", "Requests under way.", gauges->open_requests},
        {"waiting_requests", "Requests that wait for an engine or a model.",
         gauges->waiting_requests},
        {"nodes", "Nodes known from the store.", gauges->nodes},
        {"share_nodes",
         "Nodes among which this one divides the retry budget's slack; 0: it has no share now.",
         gauges->share_nodes},
        {"nodes_of_other_forms", "Nodes whose build reads another form of messages.",
         gauges->nodes_of_other_forms},
        {"evacuated_zones", "Zones that are being evacuated.", gauges->evacuated_zones},
        {"engines_cut", "Engines that lately only other nodes reached.", gauges->engines_cut},
        {"isolated", "1 while this node reaches few engines and others do.", gauges->is_isolated},
        {"open_tunnels", "Connections to engines that are open for other nodes.",
         gauges->open_tunnels},
        {"suspected_requests", "Requests under which engines ended, served so far.",
         gauges->suspected_requests},
        {"poison_parts", "Parts of prompts that are refused because they crash engines.",
         gauges->poison_parts},
        {"poison_requests", "Requests that are refused because they crash engines.",
         gauges->poison_requests},
        {"lease_held", "1 while this node is the placement controller.", gauges->holds_lease},
        {"lease_token", "Token of this node's last holding.", gauges->lease_token},
        {"log_lines_dropped", "Log lines dropped so far.", gauges->log_lines_dropped},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        metric_write(text, rows[i].name, "gauge", rows[i].help, rows[i].value);
}

void wb_edge_metrics_write(const wb_edge_metrics_t *metrics, const wb_edge_gauges_t *gauges,
                           GString *text) {
    counters_write(metrics, text);
    g_string_append(text, "# HELP wickbridge_request_endings_total Requests by how they ended.\n"
                          "# TYPE wickbridge_request_endings_total counter\n");
    for (int i = 0; i < WB_OUTCOME_COUNT; i++)
        g_string_append_printf(text, "wickbridge_request_endings_total{ending=\"%s\"} %llu\n",
                               wb_outcome_name((wb_outcome_t)i),
                               (unsigned long long)metrics->requests_by_outcome[i]);
    g_string_append(text, "# HELP wickbridge_quota_units_total Units admitted of limited tenants.\n"
                          "# TYPE wickbridge_quota_units_total counter\n");
    for (int i = 0; i < WB_QUOTA_BASES; i++)
        g_string_append_printf(text, "wickbridge_quota_units_total{basis=\"%s\"} %llu\n",
                               wb_quota_basis_name((wb_quota_basis_t)i),
                               (unsigned long long)metrics->quota_units[i]);
    wb_store_calls_write(&metrics->store_calls, text);
    histogram_write(text, "answer_seconds", "Arrival to the first bytes of the answer.",
                    &metrics->answer_ms);
    histogram_write(text, "request_seconds", "Arrival to the end of the answer.",
                    &metrics->whole_ms);
    histogram_write(text, "wait_seconds", "Time spent waiting for a model or an engine.",
                    &metrics->wait_ms);
    histogram_write(text, "prediction_error_seconds",
                    "How far first events were from their prediction at the sending.",
                    &metrics->prediction_error_ms);
    gauges_write(gauges, text);
}
