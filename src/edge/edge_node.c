/* Creates an edge node and drives it: listeners, the periodic tick, planned stops and settings
 * reloads.
 * Times are in ms. Only errors of opening a listener are returned to the caller of
 * wb_edge_node_create. */
#include "edge/edge_node_types.h"

#include <string.h>

#define TICK_MS 50
#define SWEEP_MS 500
#define LOG_FLUSH_MS 100
/* Min duration of a planned stop: new client connections arrive until the load balancer has seen
 * that the node isn't ready. */
#define STOP_MIN_MS 2600
/* Loop rounds after which everything that had arrived is read. */
#define STOP_READ_ROUNDS 2
/* Open requests are ended this long before the grace time is over. */
#define STOP_MARGIN_MS 700
/* Requests that wait for a model are refused this long before open requests are ended. */
#define STOP_REFUSE_WAITING_MS 1200
/* Longest time to wait for the release of the lease at the end of a stop. */
#define RELEASE_MS 400
#define READY_HEAD_BYTES 16384
#define READY_BODY_BYTES 65536
#define READY_TIMEOUT_MS 5000
#define READY_IDLE_MS 60000

static void client_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                           void *context) {
    wb_exchange_begin(&((wb_edge_node_t *)context)->edge, connection, head, body);
}

static void client_disconnected(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)context;
    if (request != NULL)
        wb_exchange_client_gone(request);
}

static void client_drained(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)context;
    if (request != NULL)
        wb_exchange_output_drained(request);
}

gboolean wb_edge_node_is_ready(const wb_edge_node_t *node) {
    return node->edge.drain_began_ms == 0 && node->edge.catalog != NULL && node->node_row_written &&
           wb_table_watch_is_synced(node->engines_watch) && wb_edge_node_directory_is_ready(node);
}

const char *wb_edge_node_address(const wb_edge_node_t *node) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    return *settings->advertise_nodes != '\0' ? settings->advertise_nodes : settings->listen_nodes;
}

static void ready_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                          void *context) {
    const wb_edge_node_t *node = context;
    unsigned status = 404;
    if (g_str_has_prefix(head->target, "/ready"))
        status = wb_edge_node_is_ready(node) ? 200 : 503;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status), "", NULL, 0);
}

static apr_status_t listeners_open(wb_edge_node_t *node, wb_error_t *error) {
    wb_edge_t *edge = &node->edge;
    wb_http_limits_t limits = {READY_HEAD_BYTES, READY_BODY_BYTES, READY_TIMEOUT_MS, READY_IDLE_MS};
    wb_http_handler_t clients = {client_request, client_disconnected, client_drained, node};
    wb_http_handler_t ready = {ready_request, NULL, NULL, node};
    wb_http_handler_t operators = {wb_edge_operators_request, NULL, NULL, node};
    wb_link_events_t links = {wb_edge_node_gateway_open,
                              wb_edge_node_gateway_message,
                              wb_edge_node_gateway_close,
                              node,
                              NULL,
                              NULL};
    apr_status_t status = wb_http_listener_open(edge->loop, edge->settings.listen_callers, &clients,
                                                &limits, &node->client_listener, error);
    if (status == APR_SUCCESS)
        status = wb_http_listener_open(edge->loop, edge->settings.listen_ready, &ready, &limits,
                                       &node->ready_listener, error);
    if (status == APR_SUCCESS && *edge->settings.listen_operators != '\0')
        status = wb_http_listener_open(edge->loop, edge->settings.listen_operators, &operators,
                                       &limits, &node->operator_listener, error);
    if (status == APR_SUCCESS)
        status = wb_link_listen(edge->loop, edge->settings.listen_nodes, &links,
                                &node->link_counters, &node->link_listener, error);
    if (status == APR_SUCCESS)
        status = wb_edge_node_open_tunnels(node, error);
    return status;
}

/* Releases the lease, refuses the remaining requests and ends the loop. */
static void stop_finish(wb_edge_node_t *node, int64_t now_ms) {
    if (node->stopped)
        return;
    if (!node->releasing) {
        node->releasing = TRUE;
        node->release_until_ms = now_ms + RELEASE_MS;
        wb_lease_release(node->lease);
    }
    if (wb_lease_release_is_pending(node->lease) && now_ms < node->release_until_ms)
        return; /* the write that releases the lease is pending */
    wb_exchanges_refuse_unanswered(&node->edge);
    node->stopped = TRUE;
    wb_event("stopped", ",\"ms\":%lld,\"open\":%u,\"clients\":%u,\"unsent_bytes\":%zu",
             (long long)(now_ms - node->edge.drain_began_ms), g_hash_table_size(node->edge.open),
             wb_http_listener_active_count(node->client_listener),
             wb_http_listener_unsent(node->client_listener));
    wb_event_log_flush();
    wb_loop_quit(node->edge.loop);
}

/* Connections are accepted in one loop round and read in the next. So after two rounds everything
 * is read that had arrived when the check began, however long the loop was blocked before. */
static void stop_check(void *context) {
    wb_edge_node_t *node = context;
    if (++node->drain_check_rounds <= STOP_READ_ROUNDS) {
        wb_loop_post(node->edge.loop, stop_check, node);
        return;
    }
    node->drain_check_rounds = 0;
    if (!node->idle_closed) {
        node->idle_closed = TRUE;
        wb_http_listener_close_idle(node->client_listener);
    }
    if (wb_http_listener_active_count(node->client_listener) > 0 ||
        (node->tunnel_server != NULL && wb_tunnel_server_count(node->tunnel_server) > 0))
        return;
    if (node->listener_stopped) {
        stop_finish(node, wb_clock_ms());
        return;
    }
    /* Later connections are refused by the system; one more check handles those that were accepted
     * before. */
    node->listener_stopped = TRUE;
    wb_http_listener_stop(node->client_listener);
    stop_check(node);
}

/* A planned stop ends when no requests are left and the load balancer has had time to see that the
 * node isn't ready, or shortly before the end of the grace time. */
static void drain_tick(wb_edge_node_t *node, int64_t now_ms) {
    int64_t elapsed_ms = now_ms - node->edge.drain_began_ms;
    int64_t grace_ms = (int64_t)(node->edge.settings.stop_grace_s * 1000) - STOP_MARGIN_MS;
    if (elapsed_ms >= grace_ms - STOP_REFUSE_WAITING_MS)
        wb_exchanges_refuse_waiting(&node->edge);
    if (elapsed_ms >= grace_ms || node->releasing) {
        stop_finish(node, now_ms);
        return;
    }
    if (elapsed_ms >= STOP_MIN_MS && node->drain_check_rounds == 0)
        stop_check(node);
}

static void node_tick(void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    wb_edge_node_tick_rows(node, now_ms);
    wb_edge_node_tick_catalog(node, now_ms);
    wb_edge_node_tick_share(node, now_ms);
    wb_edge_node_tick_directory(node, now_ms);
    wb_edge_node_tick_relay(node, now_ms);
    wb_edge_node_tick_lease(node, now_ms);
    wb_edge_node_tick_link(node, now_ms);
    wb_edge_node_tick_updates(node, now_ms);
    wb_edge_node_tick_reach(node, now_ms);
    wb_edge_node_tick_quota(node, now_ms);
    wb_edge_node_tick_poison(node);
    wb_edge_node_tick_pace(node, now_ms);
    wb_edge_node_tick_states(node, now_ms);
    wb_edge_node_tick_streams(node, now_ms);
    wb_edge_node_tick_stream_rows(node, now_ms);
    wb_edge_node_tick_announce(node, now_ms);
    wb_edge_node_tick_tunnels(node, now_ms);
    if (now_ms - node->demand_sent_ms >= node->edge.settings.demand_interval_ms)
        wb_edge_node_send_demand(node);
    if (node->edge.waiting.len > 0) {
        wb_exchanges_retry_waiting(&node->edge);
        wb_edge_node_expedite_engines(node);
    }
    if (!node->ready_logged && wb_edge_node_is_ready(node)) {
        node->ready_logged = TRUE;
        wb_event("ready", ",\"catalog\":%lld,\"engines\":%u,\"nodes\":%u",
                 (long long)node->edge.catalog->version,
                 g_hash_table_size(wb_fleet_all(node->edge.fleet)), node->edge.node_count);
    }
    if (node->edge.drain_began_ms != 0)
        drain_tick(node, now_ms);
}

static void node_sweep(void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    wb_upstreams_sweep_idle(&node->edge, now_ms);
    wb_fleet_sweep(node->edge.fleet, now_ms);
    wb_edge_reporting_engines_sweep(&node->edge);
    wb_quota_limiter_sweep(node->edge.quota, now_ms);
    wb_edge_confirm_unframed_ends(&node->edge, now_ms);
    wb_crash_watch_sweep(node->edge.crashes, now_ms);
    wb_edge_node_sweep_streams(node, now_ms);
    wb_edge_node_origins_sweep(node, now_ms);
    wb_poison_registry_sweep(node->edge.poison, now_ms);
    wb_part_registry_sweep(node->edge.parts, now_ms);
    wb_pace_aggregate_sweep(node->own_pace_aggregate, now_ms);
}

static void log_flush(void *context) {
    (void)context;
    wb_event_log_flush();
}

/* Baseline prefill time per prompt token sent, averaged over cached and uncached tokens. */
static double token_ms(const wb_edge_settings_t *settings) {
    return WB_UNCACHED_SHARE / settings->prefill_tokens_per_ms;
}

apr_status_t wb_edge_node_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                 wb_table_t *table, const wb_dialect_t *dialect,
                                 wb_edge_node_t **node, wb_error_t *error) {
    wb_edge_node_t *created = g_new0(wb_edge_node_t, 1);
    wb_edge_t *edge = &created->edge;
    edge->loop = loop;
    edge->settings = *settings;
    edge->dialect = dialect;
    edge->fleet = wb_fleet_create();
    edge->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)wb_retry_budget_free);
    edge->expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->regions = wb_zone_regions_parse(settings->zone_regions);
    edge->demand = wb_demand_create();
    edge->quota = wb_quota_limiter_create();
    wb_poison_options_t poison = {(int64_t)(settings->poison_kept_s * 1000),
                                  (int64_t)(settings->poison_trial_s * 1000)};
    edge->poison = wb_poison_registry_create(&poison);
    edge->parts = wb_part_registry_create(&poison, edge->poison);
    edge->served = wb_served_set_create();
    edge->unframed_ends = wb_unframed_ends_create();
    edge->stream_starts = wb_stream_starts_create();
    edge->on_stream_begun = wb_edge_node_stream_begun;
    edge->ask_stream_start = wb_edge_node_ask_stream_start;
    edge->sole_version = wb_edge_node_sole_version;
    wb_edge_node_origins_create(created);
    wb_edge_node_streams_create(created);
    edge->brittle_services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->reach = wb_reach_summary_create();
    edge->peers = wb_peer_record_create();
    edge->choose_peer = wb_edge_node_choose_peer;
    edge->lengths = wb_length_estimate_create();
    edge->wait_scale = wb_wait_scale_create();
    edge->route_times = wb_route_times_create();
    edge->answer_times = wb_answer_times_create();
    wb_crash_watch_events_t crashes = {wb_edge_engine_crashed, wb_edge_confirm_ended, edge};
    edge->crashes = wb_crash_watch_create(loop, &edge->settings, &edge->metrics, &crashes);
    edge->on_poison_changed = wb_edge_node_poison_changed;
    wb_list_init(&edge->waiting);
    wb_list_init(&edge->state_updates);
    edge->reporting_engines =
        g_hash_table_new_full(NULL, NULL, (GDestroyNotify)wb_engine_unref, NULL);
    edge->open = g_hash_table_new(NULL, NULL);
    edge->on_pending_demand = wb_edge_node_demand_pending;
    edge->on_quota_report_due = wb_edge_node_quota_report_soon;
    edge->node_context = created;
    edge->controller_view = wb_edge_node_controller_view;
    edge->catalog_age_ms = wb_edge_node_catalog_age_ms;
    edge->catalog_behind_ms = wb_edge_node_catalog_behind_ms;
    created->table = table;
    created->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, wb_node_row_free);
    edge->share =
        wb_equal_share_create(settings->id, MAX(wb_edge_retry_window_ms(edge), WB_LIMIT_WINDOW_MS));
    created->directory = wb_edge_node_directory_create(created);
    created->engine_rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_table_row_free);
    edge->engines_known = wb_edge_node_directory_engines_known;
    created->placements = g_array_new(FALSE, FALSE, sizeof(wb_wire_placement_entry));
    created->placement_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_set_clear_func(created->placements, wb_edge_node_placement_clear);
    created->announcements = wb_edge_node_announcements_create();
    created->zones = wb_edge_node_zones_create();
    created->catalog_fetcher = wb_edge_node_catalog_fetcher_create();
    created->gateways = g_hash_table_new_full(NULL, NULL, NULL, wb_edge_node_gateway_free);
    created->own_quota_ledger = wb_quota_ledger_create();
    created->quota_row = g_byte_array_new();
    created->own_pace_aggregate = wb_pace_aggregate_create(token_ms(settings));
    created->update_rows = g_array_new(FALSE, TRUE, sizeof(wb_wire_table_row));
    apr_status_t status = listeners_open(created, error);
    if (status != APR_SUCCESS)
        return status;
    wb_edge_node_open_lease(created);
    wb_controller_events_t events = {wb_edge_node_may_act,         wb_edge_node_authorize_order,
                                     wb_edge_node_blocked_ms,      wb_edge_node_publish,
                                     wb_edge_node_engine_reported, wb_edge_node_call_failed,
                                     wb_edge_node_may_be_cut_off,  created};
    created->controller =
        wb_controller_create(loop, &edge->settings, dialect, edge->fleet, &edge->metrics, &events);
    wb_edge_node_follow_store(created);
    wb_loop_every(loop, TICK_MS, node_tick, created);
    wb_loop_every(loop, SWEEP_MS, node_sweep, created);
    wb_loop_every(loop, LOG_FLUSH_MS, log_flush, created);
    *node = created;
    return APR_SUCCESS;
}

void wb_edge_node_drain(wb_edge_node_t *node) {
    if (node->edge.drain_began_ms != 0)
        return;
    node->edge.drain_began_ms = wb_clock_ms();
    wb_http_listener_drain(node->client_listener);
    if (node->tunnel_server != NULL)
        wb_tunnel_server_drain(node->tunnel_server);
    wb_event("stopping", ",\"open\":%u,\"grace_s\":%g", g_hash_table_size(node->edge.open),
             node->edge.settings.stop_grace_s);
}

unsigned wb_edge_node_reload(wb_edge_node_t *node, const wb_edge_settings_t *settings) {
    wb_edge_settings_t *own = &node->edge.settings;
    own->stop_grace_s = settings->stop_grace_s;
    own->drain_ms = settings->drain_ms;
    own->evacuate_ms = settings->evacuate_ms;
    own->cold_overage = settings->cold_overage;
    own->cold_slack = settings->cold_slack;
    own->retry_slack = settings->retry_slack;
    own->connect_timeout_ms = settings->connect_timeout_ms;
    own->silence_limit_ms = settings->silence_limit_ms;
    own->order_timeout_ms = settings->order_timeout_ms;
    own->adapter_load_ms = settings->adapter_load_ms;
    own->prefill_tokens_per_ms = settings->prefill_tokens_per_ms;
    wb_pace_aggregate_set_token_ms(node->own_pace_aggregate, token_ms(settings));
    own->step_ms = settings->step_ms;
    own->read_piece_tokens = settings->read_piece_tokens;
    own->event_tokens = settings->event_tokens;
    own->engine_pace = settings->engine_pace;
    own->quota_order = settings->quota_order;
    own->admission = settings->admission;
    own->load_news_ms = settings->load_news_ms;
    own->load_news_bytes_per_s = settings->load_news_bytes_per_s;
    wb_edge_node_set_poll_policies(node);
    /* The settings above are equal by now; the others that differ take effect at the next start. */
    return wb_settings_count_changed(&wb_edge_settings_table, own, settings);
}
