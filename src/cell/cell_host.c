/* Runs this node's groups, and the decisions of the cells that it owns. */
#include "cell_host_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define TICK_MS 50
#define EXPIRE_INTERVAL_MS 5000
#define HAND_OVER_LIMIT_MS 5000 /* then a stop goes on without a successor */

hosted_cell_t *cell_host_find(wb_cell_host_t *host, const char *name) {
    return g_hash_table_lookup(host->cells, name);
}

hosted_cell_t *cell_host_find_model(wb_cell_host_t *host, const char *model) {
    const wb_config_t *config = wb_config_store_current(host->parts.config_store);
    const wb_model_t *declared = wb_config_model(config, model);
    return declared != NULL ? cell_host_find(host, declared->cell) : NULL;
}

static void group_send(const char *node, const wb_wire_message *message, void *context) {
    hosted_cell_t *hosted = context;
    hosted->host->parts.send(node, message, hosted->host->parts.context);
}

static uint64_t cell_propose(const wb_wire_command *command, void *context) {
    hosted_cell_t *hosted = context;
    return wb_group_propose(hosted->group, command, wb_clock_ms());
}

static void cell_order(const wb_order_t *order, void *context) {
    hosted_cell_t *hosted = context;
    static const char *const names[] = {"fence", "load", "unload"};
    wb_log_info(WB_LOG_CELL, "Order %s %s%s%s to %s.", names[order->action],
                order->model != NULL ? order->model : "", order->adapter != NULL ? "+" : "",
                order->adapter != NULL ? order->adapter : "", order->engine);
    wb_engine_client_order(hosted->engines, order);
}

static void cell_show(const char *node, const wb_route_t *route, void *context) {
    hosted_cell_t *hosted = context;
    wb_wire_message message = {.kind = WB_WIRE_ROUTE_UPDATE};
    wb_wire_route_update *show = &message.wb_wire_message_u.route_update;
    static const wb_wire_route_state states[] = {WB_WIRE_ROUTE_READY, WB_WIRE_ROUTE_LOADING,
                                                 WB_WIRE_ROUTE_UNAVAILABLE, WB_WIRE_ROUTE_BUSY};
    show->model = (char *)route->model;
    show->adapter = (char *)route->adapter;
    show->state = states[route->state];
    show->estimate_ms = (u_int)CLAMP(route->estimate_ms, 0, G_MAXINT32);
    show->reason = (char *)route->reason;
    show->replicas.replicas_len = route->replicas->len;
    g_autofree wb_wire_replica *replicas = g_new0(wb_wire_replica, route->replicas->len + 1);
    show->replicas.replicas_val = replicas;
    for (guint i = 0; i < route->replicas->len; i++) {
        const wb_route_replica_t *replica = &g_array_index(route->replicas, wb_route_replica_t, i);
        replicas[i].engine = (char *)replica->engine;
        replicas[i].address = (char *)replica->address;
        replicas[i].zone = (char *)replica->zone;
        replicas[i].batch = (u_int)replica->batch;
    }
    hosted->host->parts.send(node, &message, hosted->host->parts.context);
}

static void engine_order_done(const char *engine, uint64_t fence, wb_order_outcome_t outcome,
                              wb_inventory_t *inventory, void *context) {
    hosted_cell_t *hosted = context;
    int64_t now_ms = wb_clock_ms();
    wb_cell_order_done(hosted->cell, engine, fence, outcome, inventory, now_ms);
    wb_cell_step(hosted->cell, now_ms);
}

static void engine_inventory(wb_inventory_t *inventory, void *context) {
    hosted_cell_t *hosted = context;
    int64_t now_ms = wb_clock_ms();
    wb_cell_update_inventory(hosted->cell, inventory, now_ms);
    wb_cell_step(hosted->cell, now_ms);
}

static void engine_reachable(const char *engine, gboolean reachable, void *context) {
    hosted_cell_t *hosted = context;
    wb_cell_set_engine_reachable(hosted->cell, engine, reachable);
    wb_cell_step(hosted->cell, wb_clock_ms());
}

static void engine_follow(const char *engine, const char *address, void *context) {
    hosted_cell_t *hosted = context;
    wb_engine_client_follow(hosted->engines, engine, address);
}

static void group_owner(uint64_t epoch, void *context) {
    hosted_cell_t *hosted = context;
    wb_cell_host_t *host = hosted->host;
    const wb_cell_host_options_t *options = &host->options;
    wb_config_t *config = wb_config_store_current(host->parts.config_store);
    g_autoptr(GPtrArray) cells = wb_config_cells(config);
    wb_log_message(WB_LOG_CELL, "Cell %s is owned here at epoch %" G_GUINT64_FORMAT ".",
                   hosted->name, (guint64)epoch);
    wb_engine_client_options_t engine_options = {options->engine_scheme, options->order_timeout_ms,
                                                 options->inventory_wait_ms};
    wb_engine_client_events_t engine_events = {engine_order_done, engine_inventory,
                                               engine_reachable, hosted};
    hosted->engines = wb_engine_client_create(host->parts.http, host->parts.loop, &engine_options,
                                              &engine_events);
    wb_cell_options_t cell_options = {
        .name = hosted->name,
        .max_remote_loads = MAX(options->weight_loads_at_once / (int64_t)MAX(cells->len, 1), 1),
        .remote_ms_per_gib = 250,
        .disk_ms_per_gib = 120,
        .memory_ms_per_gib = 30};
    wb_cell_events_t cell_events = {cell_propose, cell_order, cell_show, hosted};
    hosted->cell = wb_cell_create(&cell_options, wb_group_record(hosted->group), epoch,
                                  &cell_events, wb_clock_ms());
    wb_cell_set_committed(hosted->cell, wb_group_committed(hosted->group));
    wb_cell_each_engine(hosted->cell, engine_follow, hosted);
    wb_cell_set_config(hosted->cell, config);
    hosted->machines_version = 0;
    hosted->machines_next_ms = 0;
    wb_membership_announce_owner(host->parts.membership, hosted->name, epoch);
}

static void group_lost(void *context) {
    hosted_cell_t *hosted = context;
    wb_log_message(WB_LOG_CELL, "Cell %s is no longer owned here.", hosted->name);
    cell_claims_drop(hosted);
    wb_engine_client_free(hosted->engines);
    hosted->engines = NULL;
    wb_cell_free(hosted->cell);
    hosted->cell = NULL;
}

/* A deferred step; the cell may be gone by then. */
typedef struct step_call_t {
    wb_cell_host_t *host;
    char *cell;
} step_call_t;

static void step_run(void *context) {
    step_call_t *call = context;
    hosted_cell_t *hosted = cell_host_find(call->host, call->cell);
    if (hosted != NULL) {
        hosted->step_is_due = FALSE;
        if (hosted->cell != NULL)
            wb_cell_step(hosted->cell, wb_clock_ms());
    }
    g_free(call->cell);
    g_free(call);
}

/* What counts now is acted on at once, but not from inside a step that may be under way. */
static void step_soon(hosted_cell_t *hosted) {
    if (hosted->step_is_due)
        return;
    hosted->step_is_due = TRUE;
    step_call_t *call = g_new(step_call_t, 1);
    call->host = hosted->host;
    call->cell = g_strdup(hosted->name);
    wb_loop_post(hosted->host->parts.loop, step_run, call);
}

static void group_commit(uint64_t sequence, void *context) {
    hosted_cell_t *hosted = context;
    if (hosted->cell == NULL)
        return;
    wb_cell_set_committed(hosted->cell, sequence);
    cell_claims_committed(hosted, sequence);
    step_soon(hosted);
}

wb_group_t *cell_host_group(hosted_cell_t *hosted) {
    wb_cell_host_t *host = hosted->host;
    if (hosted->group != NULL)
        return hosted->group;
    wb_group_options_t options = {hosted->name, host->node, host->options.group_heartbeat_ms,
                                  host->options.election_timeout_ms, g_random_int()};
    wb_group_events_t events = {group_send, group_owner, group_lost, group_commit, hosted};
    hosted->group = wb_group_create(&options, &events, wb_clock_ms());
    return hosted->group;
}

static hosted_cell_t *hosted_get(wb_cell_host_t *host, const char *name) {
    hosted_cell_t *hosted = cell_host_find(host, name);
    if (hosted != NULL)
        return hosted;
    hosted = g_new0(hosted_cell_t, 1);
    hosted->host = host;
    hosted->name = g_strdup(name);
    g_queue_init(&hosted->claim_waits);
    g_hash_table_insert(host->cells, hosted->name, hosted);
    return hosted;
}

static void hosted_free(gpointer data) {
    hosted_cell_t *hosted = data;
    if (hosted->cell != NULL) {
        cell_claims_drop(hosted);
        wb_engine_client_free(hosted->engines);
        wb_cell_free(hosted->cell);
    }
    if (hosted->group != NULL)
        wb_group_free(hosted->group);
    g_free(hosted->name);
    g_free(hosted);
}

static void hosted_tick(hosted_cell_t *hosted, int64_t now_ms) {
    if (hosted->group != NULL)
        wb_group_tick(hosted->group, now_ms);
    cell_founding_tick(hosted, now_ms);
    gboolean orphan_member = hosted->group != NULL && hosted->orphan_since_ms != 0;
    if (hosted->cell != NULL || orphan_member)
        cell_machines_tick(hosted, now_ms);
    if (hosted->cell != NULL) {
        cell_members_maintain(hosted, now_ms);
        wb_cell_step(hosted->cell, now_ms);
    }
    if (hosted->group != NULL && wb_group_record(hosted->group) != NULL &&
        now_ms >= hosted->expire_next_ms) {
        hosted->expire_next_ms = now_ms + EXPIRE_INTERVAL_MS;
        wb_record_expire_claims(wb_group_record(hosted->group), now_ms,
                         hosted->host->options.claim_retention_ms);
    }
}

static void host_tick(void *context) {
    wb_cell_host_t *host = context;
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GList) names = g_hash_table_get_values(host->cells);
    for (GList *place = names; place != NULL; place = place->next)
        hosted_tick(place->data, now_ms);
    cell_balance_tick(host, now_ms);
}

wb_cell_host_t *wb_cell_host_start(const wb_cell_host_options_t *options,
                                   const wb_cell_host_parts_t *parts) {
    wb_cell_host_t *host = g_new0(wb_cell_host_t, 1);
    host->options = *options;
    host->parts = *parts;
    host->node = g_strdup(options->node);
    host->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, hosted_free);
    host->tick_timer = wb_loop_every(parts->loop, TICK_MS, host_tick, host);
    return host;
}

void wb_cell_host_stop(wb_cell_host_t *host) {
    wb_timer_cancel(host->tick_timer);
    g_hash_table_unref(host->cells);
    g_free(host->node);
    g_free(host);
}

void wb_cell_host_set_config(wb_cell_host_t *host, wb_config_t *config) {
    g_autoptr(GPtrArray) cells = wb_config_cells(config);
    for (guint i = 0; i < cells->len; i++)
        hosted_get(host, cells->pdata[i]);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, host->cells);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hosted_cell_t *hosted = value;
        if (hosted->cell == NULL)
            continue;
        wb_cell_set_config(hosted->cell, config);
        hosted->machines_version = 0; /* engines of a new service may have been passed over */
        wb_cell_step(hosted->cell, wb_clock_ms());
    }
}

static void route_subscribe(wb_cell_host_t *host, const char *node, const wb_wire_route_subscribe *want) {
    hosted_cell_t *hosted = cell_host_find_model(host, want->model);
    if (hosted != NULL && hosted->cell != NULL) {
        wb_demand_t demand = {node,
                              want->model,
                              want->adapter,
                              (int)MIN(want->waiting, G_MAXINT32),
                              (int)MIN(want->running, G_MAXINT32),
                              want->earliest_deadline_ms};
        wb_cell_update_demand(hosted->cell, &demand, wb_clock_ms());
        return;
    }
    wb_wire_message message = {.kind = WB_WIRE_ROUTE_UPDATE};
    wb_wire_route_update *show = &message.wb_wire_message_u.route_update;
    show->model = want->model;
    show->adapter = want->adapter;
    show->state = WB_WIRE_ROUTE_NOT_OWNER;
    show->reason = "";
    host->parts.send(node, &message, host->parts.context);
}

static void group_message(wb_cell_host_t *host, const char *cell, const char *node,
                          const wb_wire_message *message) {
    hosted_cell_t *hosted = cell_host_find(host, cell);
    if (hosted == NULL || hosted->group == NULL) {
        if (message->kind != WB_WIRE_GROUP_STATE || host->leaving)
            return;
        hosted = hosted_get(host, cell);
        cell_host_group(hosted);
    }
    wb_group_on_message(hosted->group, node, message, wb_clock_ms());
}

gboolean wb_cell_host_on_message(wb_cell_host_t *host, const char *node,
                              const wb_wire_message *message) {
    switch (message->kind) {
    case WB_WIRE_GROUP_STATE:
        group_message(host, message->wb_wire_message_u.group_state.cell, node, message);
        return TRUE;
    case WB_WIRE_GROUP_APPEND:
        group_message(host, message->wb_wire_message_u.group_append.cell, node, message);
        return TRUE;
    case WB_WIRE_GROUP_ACK:
        group_message(host, message->wb_wire_message_u.group_ack.cell, node, message);
        return TRUE;
    case WB_WIRE_GROUP_VOTE:
        group_message(host, message->wb_wire_message_u.group_vote.cell, node, message);
        return TRUE;
    case WB_WIRE_GROUP_BALLOT:
        group_message(host, message->wb_wire_message_u.group_ballot.cell, node, message);
        return TRUE;
    case WB_WIRE_GROUP_HAND_OVER:
        if (host->leaving)
            return TRUE; /* the sender tries another member */
        group_message(host, message->wb_wire_message_u.group_hand_over.cell, node, message);
        return TRUE;
    case WB_WIRE_ROUTE_SUBSCRIBE:
        route_subscribe(host, node, &message->wb_wire_message_u.route_subscribe);
        return TRUE;
    case WB_WIRE_CLAIM_REQUEST:
        cell_claim_want(host, node, &message->wb_wire_message_u.claim_request);
        return TRUE;
    case WB_WIRE_CLAIM_DONE_NOTICE:
        cell_claim_done(host, &message->wb_wire_message_u.claim_done);
        return TRUE;
    default:
        return FALSE;
    }
}

void wb_cell_host_on_member(wb_cell_host_t *host, const wb_member_t *member) {
    if (member->state != WB_MEMBER_DEAD && member->state != WB_MEMBER_GONE)
        return;
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GList) cells = g_hash_table_get_values(host->cells);
    for (GList *place = cells; place != NULL; place = place->next) {
        hosted_cell_t *hosted = place->data;
        if (hosted->group != NULL)
            wb_group_on_owner_down(hosted->group, member->node, now_ms);
        if (hosted->cell != NULL)
            wb_cell_remove_gateway(hosted->cell, member->node);
    }
}

gboolean wb_cell_host_hand_over(wb_cell_host_t *host) {
    int64_t now_ms = wb_clock_ms();
    if (!host->leaving)
        host->leaving_since_ms = now_ms;
    host->leaving = TRUE;
    gboolean done = TRUE;
    g_autoptr(GList) cells = g_hash_table_get_values(host->cells);
    for (GList *place = cells; place != NULL; place = place->next) {
        hosted_cell_t *hosted = place->data;
        if (hosted->cell == NULL || wb_group_record(hosted->group)->members->len < 2)
            continue;
        wb_group_hand_over(hosted->group);
        done = FALSE;
    }
    if (!done && now_ms - host->leaving_since_ms > HAND_OVER_LIMIT_MS) {
        wb_log_warning(WB_LOG_CELL, "Nobody takes over the cells of this node.");
        return TRUE;
    }
    return done;
}

guint wb_cell_host_owned_count(const wb_cell_host_t *host) {
    guint count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, host->cells);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((hosted_cell_t *)value)->cell != NULL)
            count++;
    return count;
}

json_t *wb_cell_host_status(wb_cell_host_t *host) {
    static const char *const roles[] = {"follower", "candidate", "establishing", "owner"};
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, host->cells);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hosted_cell_t *hosted = value;
        wb_group_t *group = hosted->group;
        uint64_t epoch = 0;
        const char *owner = wb_membership_owner(host->parts.membership, hosted->name, &epoch);
        json_t *entry = json_pack("{s:s, s:s, s:I}", "cell", hosted->name, "owner",
                                  owner != NULL ? owner : "", "epoch", (json_int_t)epoch);
        if (group != NULL && wb_group_record(group) != NULL) {
            json_t *members = json_array();
            const GPtrArray *names = wb_group_record(group)->members;
            for (guint i = 0; i < names->len; i++)
                json_array_append_new(members, json_string(names->pdata[i]));
            json_object_set_new(entry, "role", json_string(roles[wb_group_role(group)]));
            json_object_set_new(entry, "members", members);
            json_object_set_new(entry, "slots", json_integer(wb_group_record(group)->slots->len));
        }
        json_array_append_new(list, entry);
    }
    return list;
}

json_t *wb_cell_host_explain(wb_cell_host_t *host, const char *model) {
    hosted_cell_t *hosted = cell_host_find_model(host, model);
    if (hosted == NULL || hosted->cell == NULL)
        return NULL;
    return wb_cell_explain(hosted->cell, model, wb_clock_ms());
}
