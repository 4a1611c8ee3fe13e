/* Puts an edge node together: follows the store, listens, holds the lease, talks to the controller.
 */
#include "edge/edge_node_types.h"

#include <string.h>

#define TICK_MS 50
#define SWEEP_MS 500
#define LOG_FLUSH_MS 100
/* A stop lasts at least so long: callers' connections still come until the entry has seen it. */
#define STOP_LEAST_MS 2600
/* Rounds of the loop in which all is read that has come. */
#define STOP_READ_ROUNDS 2
/* What runs is broken off so long before the grace is over. */
#define STOP_MARGIN_MS 700
/* What waits for a model is refused so long before that. */
#define STOP_WAITS_MS 1200
/* Longest time that giving the lease up may take at the end of a stop. */
#define RELEASE_MS 400
#define READY_HEAD_BYTES 16384
#define READY_BODY_BYTES 65536
#define READY_TIMEOUT_MS 5000
#define READY_IDLE_MS 60000

/* Listeners. */

static void caller_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                           void *context) {
    wb_exchange_begin(&((wb_edge_node_t *)context)->edge, connection, head, body);
}

static void caller_gone(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)context;
    if (request != NULL)
        wb_exchange_client_gone(request);
}

static void caller_drained(wb_http_connection_t *connection, void *request, void *context) {
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
    wb_http_handler_t callers = {caller_request, caller_gone, caller_drained, node};
    wb_http_handler_t ready = {ready_request, NULL, NULL, node};
    wb_http_handler_t operators = {wb_edge_operators_request, NULL, NULL, node};
    wb_link_events_t links = {wb_edge_node_gateway_open,
                              wb_edge_node_gateway_message,
                              wb_edge_node_gateway_close,
                              node,
                              NULL,
                              NULL};
    apr_status_t status = wb_http_listener_open(edge->loop, edge->settings.listen_callers, &callers,
                                                &limits, &node->callers, error);
    if (status == APR_SUCCESS)
        status = wb_http_listener_open(edge->loop, edge->settings.listen_ready, &ready, &limits,
                                       &node->ready, error);
    if (status == APR_SUCCESS && *edge->settings.listen_operators != '\0')
        status = wb_http_listener_open(edge->loop, edge->settings.listen_operators, &operators,
                                       &limits, &node->operators, error);
    if (status == APR_SUCCESS)
        status = wb_link_listen(edge->loop, edge->settings.listen_nodes, &links,
                                &node->link_counters, &node->link_listener, error);
    return status;
}

/* Gives the lease up, answers what is left, and ends the process. */
static void stop_finish(wb_edge_node_t *node, int64_t now_ms) {
    if (node->drained)
        return;
    if (!node->releasing) {
        node->releasing = TRUE;
        node->release_until_ms = now_ms + RELEASE_MS;
        wb_lease_release(node->lease);
    }
    if (wb_lease_release_is_pending(node->lease) && now_ms < node->release_until_ms)
        return; /* the lease's last write is under way */
    wb_exchanges_refuse_unanswered(&node->edge);
    node->drained = TRUE;
    wb_event("stopped", ",\"ms\":%lld,\"open\":%u", (long long)(now_ms - node->edge.drain_began_ms),
             g_hash_table_size(node->edge.open));
    wb_event_log_flush();
    wb_loop_quit(node->edge.loop);
}

/* Connections are accepted in one round of the loop and read in the next, so after two rounds all
 * is read that had come when a look began, however long the loop was held up before. */
static void stop_look(void *context) {
    wb_edge_node_t *node = context;
    if (++node->look_rounds <= STOP_READ_ROUNDS) {
        wb_loop_post(node->edge.loop, stop_look, node);
        return;
    }
    node->look_rounds = 0;
    if (!node->resting_closed) {
        node->resting_closed = TRUE;
        wb_http_listener_close_idle(node->callers);
    }
    if (wb_http_listener_active_count(node->callers) > 0)
        return;
    if (node->refusing) {
        stop_finish(node, wb_clock_ms());
        return;
    }
    /* Who connects from now on is refused by the system; one more look takes up who came before. */
    node->refusing = TRUE;
    wb_http_listener_stop(node->callers);
    stop_look(node);
}

/* A planned stop is over when nothing runs and the entry has had time to see it, or when the grace
 * is. */
static void drain_tick(wb_edge_node_t *node, int64_t now_ms) {
    int64_t passed_ms = now_ms - node->edge.drain_began_ms;
    int64_t grace_ms = (int64_t)(node->edge.settings.stop_grace_s * 1000) - STOP_MARGIN_MS;
    if (passed_ms >= grace_ms - STOP_WAITS_MS)
        wb_exchanges_refuse_waiting(&node->edge);
    if (passed_ms >= grace_ms || node->releasing) {
        stop_finish(node, now_ms);
        return;
    }
    if (passed_ms >= STOP_LEAST_MS && node->look_rounds == 0)
        stop_look(node);
}

static void node_tick(void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    wb_edge_node_tick_rows(node, now_ms);
    wb_edge_node_tick_share(node, now_ms);
    wb_edge_node_tick_directory(node, now_ms);
    wb_edge_node_tick_relay(node, now_ms);
    wb_edge_node_tick_lease(node, now_ms);
    wb_edge_node_tick_link(node, now_ms);
    wb_edge_node_tick_news(node, now_ms);
    wb_edge_node_tick_hearing(node, now_ms);
    wb_edge_node_tick_quota(node, now_ms);
    wb_edge_node_tick_poison(node);
    wb_edge_node_tick_pace(node, now_ms);
    wb_edge_node_tick_states(node, now_ms);
    wb_edge_node_tick_announce(node, now_ms);
    if (now_ms - node->demand_told_ms >= node->edge.settings.demand_interval_ms)
        wb_edge_node_tell_demand(node);
    if (node->edge.waiting.len > 0) {
        wb_exchanges_retry_waiting(&node->edge);
        wb_edge_node_hurry(node);
    }
    if (!node->ready_told && wb_edge_node_is_ready(node)) {
        node->ready_told = TRUE;
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
    wb_crash_watch_sweep(node->edge.crashes, now_ms);
    wb_poison_registry_sweep(node->edge.poison, now_ms);
    wb_pace_aggregate_sweep(node->pace_book, now_ms);
}

static void log_flush(void *context) {
    (void)context;
    wb_event_log_flush();
}

/* Time in which a usual engine reads a token that was sent. */
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
    edge->served = wb_served_set_create();
    edge->lengths = wb_length_estimate_create();
    edge->wait_scale = wb_wait_scale_create();
    wb_crash_watch_events_t crashes = {wb_edge_engine_crashed, edge};
    edge->crashes = wb_crash_watch_create(loop, &edge->settings, &edge->metrics, &crashes);
    edge->on_poison_changed = wb_edge_node_poison_changed;
    wb_list_init(&edge->waiting);
    wb_list_init(&edge->state_updates);
    edge->reporting_engines = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)wb_engine_unref, NULL);
    edge->open = g_hash_table_new(NULL, NULL);
    edge->on_pending_demand = wb_edge_node_need_arose;
    edge->node_context = created;
    edge->controller_view = wb_edge_node_controller_view;
    edge->catalog_age_ms = wb_edge_node_catalog_age_ms;
    created->table = table;
    created->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, wb_edge_node_row_free);
    edge->share =
        wb_equal_share_create(settings->id, MAX(wb_edge_retry_window_ms(edge), WB_LIMIT_WINDOW_MS));
    created->directory = wb_edge_node_directory_create(created);
    created->engine_rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_table_row_free);
    edge->engines_known = wb_edge_node_directory_knows;
    created->placements = g_array_new(FALSE, FALSE, sizeof(wb_wire_placement_entry));
    created->placement_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_set_clear_func(created->placements, wb_edge_node_placement_clear);
    created->announcements = wb_edge_node_announcements_create();
    created->zones = wb_edge_node_zones_create();
    created->gateways = g_hash_table_new_full(NULL, NULL, NULL, wb_edge_node_gateway_free);
    created->quota_book = wb_quota_ledger_create();
    created->quota_row = g_byte_array_new();
    created->pace_book = wb_pace_aggregate_create(token_ms(settings));
    created->news_rows = g_array_new(FALSE, TRUE, sizeof(wb_wire_table_row));
    apr_status_t status = listeners_open(created, error);
    if (status != APR_SUCCESS)
        return status;
    wb_edge_node_open_lease(created);
    wb_controller_events_t events = {wb_edge_node_may_act,      wb_edge_node_ask_order,
                                     wb_edge_node_blocked_ms,   wb_edge_node_tell_news,
                                     wb_edge_node_states_heard, created};
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
    wb_http_listener_drain(node->callers);
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
    wb_pace_aggregate_set_token_ms(node->pace_book, token_ms(settings));
    own->step_ms = settings->step_ms;
    own->read_piece_tokens = settings->read_piece_tokens;
    own->event_tokens = settings->event_tokens;
    own->engine_pace = settings->engine_pace;
    own->quota_order = settings->quota_order;
    own->admission = settings->admission;
    own->load_news_ms = settings->load_news_ms;
    own->load_news_bytes_per_s = settings->load_news_bytes_per_s;
    wb_edge_node_set_paces(node);
    /* What was taken up is the same by now; the rest waits for a start. */
    return wb_settings_count_changed(&wb_edge_settings_table, own, settings);
}
