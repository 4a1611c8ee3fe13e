/* Creates a node's components and routes messages to them. See node.h for threads. Times are in
 * milliseconds. */
#include "wickbridge/node.h"

#include "wickbridge/log.h"

#include <string.h>

#define READY_CHECK_MS 20

struct wb_node_t {
    wb_node_settings_t settings;
    wb_node_parts_t parts;
    char *name;
    char *address;
    wb_platform_t *platform;
    wb_peers_t *peers;
    wb_membership_t *membership;
    wb_config_store_t *config_store;
    wb_cell_host_t *cell_host;
    wb_gateway_t *gateway;
    wb_timer_t *ready_timer;
    gboolean draining;
};

/* A message from this node to itself. Delivered through the loop, so that a component isn't
 * re-entered while it sends. */
typedef struct self_message_t {
    wb_node_t *node;
    GByteArray *bytes;
} self_message_t;

static void message_deliver(wb_node_t *node, const char *from, const wb_wire_message *message) {
    if (wb_membership_handle_message(node->membership, from, message) ||
        wb_config_store_handle_message(node->config_store, from, message) ||
        wb_cell_host_on_message(node->cell_host, from, message) ||
        wb_gateway_on_message(node->gateway, from, message))
        return;
    wb_log_info(WB_LOG_NODE, "Ignored an unexpected %s message from %s.",
                wb_message_kind_name(message->kind), from);
}

static void self_deliver(void *context) {
    self_message_t *self_message = context;
    wb_wire_message message;
    /* Skips the frame's 4-byte length. */
    if (wb_message_decode(self_message->bytes->data + 4, self_message->bytes->len - 4, &message,
                          NULL) == APR_SUCCESS) {
        message_deliver(self_message->node, self_message->node->name, &message);
        wb_message_clear(&message);
    }
    g_byte_array_unref(self_message->bytes);
    g_free(self_message);
}

static gboolean message_send(const char *to, const wb_wire_message *message, void *context) {
    wb_node_t *node = context;
    if (strcmp(to, node->name) != 0)
        return wb_peers_send(node->peers, to, message);
    self_message_t *self_message = g_new(self_message_t, 1);
    self_message->node = node;
    self_message->bytes = g_byte_array_new();
    if (wb_message_encode(message, self_message->bytes, NULL) != APR_SUCCESS) {
        g_byte_array_unref(self_message->bytes);
        g_free(self_message);
        return FALSE;
    }
    wb_loop_post(node->parts.loop, self_deliver, self_message);
    return TRUE;
}

static void host_send(const char *to, const wb_wire_message *message, void *context) {
    message_send(to, message, context);
}

/* Returns NULL unless the owner is known and up. */
static const char *owner_find(const char *cell, void *context) {
    wb_node_t *node = context;
    const char *owner = wb_membership_owner(node->membership, cell, NULL);
    if (owner == NULL || !wb_member_table_is_up(wb_membership_table(node->membership), owner))
        return NULL;
    return owner;
}

static const char *peer_address(const char *name, void *context) {
    return wb_membership_address(((wb_node_t *)context)->membership, name);
}

static void peer_up(const char *name, gboolean overlay, void *context) {
    wb_membership_on_link_up(((wb_node_t *)context)->membership, name, overlay);
}

static void peer_down(const char *name, const char *reason, void *context) {
    wb_log_info(WB_LOG_LINK, "Link to %s closed: %s.", name, reason);
    wb_membership_on_link_down(((wb_node_t *)context)->membership, name);
}

static void peer_message(const char *name, const wb_wire_message *message, void *context) {
    message_deliver(context, name, message);
}

static void peer_address_reused(const char *expected, const char *name, void *context) {
    (void)name;
    wb_membership_on_address_reused(((wb_node_t *)context)->membership, expected);
}

static void member_changed(const wb_member_t *member, void *context) {
    wb_node_t *node = context;
    if (node->cell_host != NULL)
        wb_cell_host_on_member(node->cell_host, member);
}

static void owner_changed(const char *cell, const char *owner, uint64_t epoch, void *context) {
    (void)context;
    wb_log_info(WB_LOG_CELL, "Cell %s is owned by %s at epoch %" G_GUINT64_FORMAT ".", cell, owner,
                (guint64)epoch);
}

static void config_version_received(const char *name, uint64_t version, void *context) {
    wb_node_t *node = context;
    if (node->config_store != NULL)
        wb_config_store_on_peer_version(node->config_store, name, version);
}

static void config_changed(wb_config_t *config, void *context) {
    wb_node_t *node = context;
    wb_membership_set_config_version(node->membership, config->version);
    wb_gateway_set_config(node->gateway, config);
    wb_cell_host_set_config(node->cell_host, config);
}

static void ready_update(void *context) {
    wb_node_update_ready(context);
}

/* Returns a name unique to this start: a restarted node has lost its state, so it must not be
 * mistaken for the previous process. */
static char *incarnation_name_create(const char *id) {
    return g_strdup_printf("%s~%" G_GINT64_MODIFIER "x%04x", id,
                           (guint64)(g_get_real_time() / 1000), g_random_int() & 0xffff);
}

static apr_status_t peers_start(wb_node_t *node, wb_error_t *error) {
    const wb_node_settings_t *settings = &node->settings;
    wb_peers_self_t self = {settings->cluster,      node->name,     node->address,
                            settings->listen_nodes, settings->zone, settings->bind_nodes,
                            node->parts.link_tls};
    wb_peers_events_t events = {peer_address,        peer_up, peer_down, peer_message,
                                peer_address_reused, node};
    return wb_peers_start(&node->peers, node->parts.loop, &self, &events, error);
}

static void membership_start(wb_node_t *node) {
    const wb_node_settings_t *settings = &node->settings;
    g_auto(GStrv) seeds = g_strsplit(settings->seeds, ",", -1);
    GPtrArray *addresses = g_ptr_array_new();
    for (int i = 0; seeds[i] != NULL; i++)
        if (*g_strstrip(seeds[i]) != '\0')
            g_ptr_array_add(addresses, seeds[i]);
    g_ptr_array_add(addresses, NULL);
    wb_membership_options_t options = {node->name,
                                       node->address,
                                       settings->listen_callers,
                                       settings->zone,
                                       (const char *const *)addresses->pdata,
                                       settings->heartbeat_interval_ms,
                                       settings->suspect_after_ms,
                                       settings->dead_after_ms};
    wb_membership_events_t events = {member_changed, owner_changed, config_version_received, node};
    node->membership = wb_membership_start(node->parts.loop, node->peers, &options, &events);
    g_ptr_array_unref(addresses);
}

static void gateway_create(wb_node_t *node) {
    const wb_node_settings_t *settings = &node->settings;
    wb_gateway_options_t options = {
        .node = node->name,
        .zone = settings->zone,
        .engine_scheme = node->parts.scheme,
        .queue_limit = settings->queue_limit,
        .no_owner_wait_ms = settings->no_owner_wait_ms,
        .busy_wait_ms = settings->busy_wait_ms,
        .stream_idle_ms = settings->stream_idle_ms,
        .stream_memory_ms = settings->stream_memory_ms,
        .claim_timeout_ms = settings->claim_timeout_ms,
        .attempt_limit = settings->attempt_limit,
        .answer_keep_bytes = settings->answer_keep_bytes,
    };
    wb_gateway_parts_t parts = {node->parts.loop,
                                node->parts.stream_clients,
                                node->parts.stream_client_count,
                                message_send,
                                owner_find,
                                node};
    node->gateway = wb_gateway_create(&options, &parts);
}

static void cell_host_start(wb_node_t *node) {
    const wb_node_settings_t *settings = &node->settings;
    wb_cell_host_options_t options = {
        .node = node->name,
        .engine_scheme = node->parts.scheme,
        .group_size = settings->group_size,
        .group_heartbeat_ms = settings->group_heartbeat_ms,
        .election_timeout_ms = settings->election_timeout_ms,
        .orphan_after_ms = settings->orphan_after_ms,
        .claim_retention_ms = settings->claim_retention_ms,
        .machine_poll_ms = settings->machine_poll_ms,
        .weight_loads_at_once = settings->weight_loads_at_once,
        .order_timeout_ms = settings->order_timeout_ms,
        .inventory_wait_ms = settings->inventory_wait_ms,
    };
    wb_cell_host_parts_t parts = {
        node->parts.loop, node->parts.control_client, node->platform, node->peers,
        node->membership, node->config_store,         host_send,      node};
    node->cell_host = wb_cell_host_start(&options, &parts);
}

apr_status_t wb_node_create(wb_node_t **node, const wb_node_settings_t *settings,
                            const wb_node_parts_t *parts, wb_error_t *error) {
    wb_node_t *created = g_new0(wb_node_t, 1);
    created->settings = *settings;
    created->parts = *parts;
    created->name = incarnation_name_create(settings->id);
    created->address = g_strdup(*settings->advertise_nodes != '\0' ? settings->advertise_nodes
                                                                   : settings->listen_nodes);
    apr_status_t status = peers_start(created, error);
    if (status != APR_SUCCESS) {
        g_free(created->name);
        g_free(created->address);
        g_free(created);
        return status;
    }
    created->platform = wb_platform_create(parts->control_client, parts->loop, settings->platform,
                                           parts->scheme, settings->platform_timeout_ms);
    membership_start(created);
    gateway_create(created);
    wb_config_store_events_t events = {config_changed, created};
    created->config_store = wb_config_store_start(parts->loop, created->platform, created->peers,
                                                  settings->config_poll_ms, &events);
    cell_host_start(created);
    created->ready_timer = wb_loop_every(parts->loop, READY_CHECK_MS, ready_update, created);
    *node = created;
    return APR_SUCCESS;
}

void wb_node_free(wb_node_t *node) {
    wb_timer_cancel(node->ready_timer);
    wb_cell_host_stop(node->cell_host);
    wb_config_store_stop(node->config_store);
    wb_gateway_free(node->gateway);
    wb_membership_stop(node->membership);
    wb_peers_stop(node->peers);
    wb_platform_free(node->platform);
    g_free(node->name);
    g_free(node->address);
    g_free(node);
}

void wb_node_drain(wb_node_t *node) {
    if (!node->draining)
        wb_log_message(WB_LOG_NODE,
                       "Draining: refusing new requests, finishing open ones, handing cells over.");
    node->draining = TRUE;
    wb_gateway_drain(node->gateway);
    wb_cell_host_hand_over(node->cell_host);
}

gboolean wb_node_is_drained(wb_node_t *node) {
    return wb_cell_host_hand_over(node->cell_host) && wb_gateway_open_requests(node->gateway) == 0;
}

void wb_node_leave(wb_node_t *node) {
    wb_membership_leave(node->membership);
}

const char *wb_node_name(const wb_node_t *node) {
    return node->name;
}

wb_gateway_t *wb_node_gateway(wb_node_t *node) {
    return node->gateway;
}

wb_config_store_t *wb_node_config_store(wb_node_t *node) {
    return node->config_store;
}

wb_membership_t *wb_node_membership(wb_node_t *node) {
    return node->membership;
}

wb_cell_host_t *wb_node_cell_host(wb_node_t *node) {
    return node->cell_host;
}

wb_peers_t *wb_node_peers(wb_node_t *node) {
    return node->peers;
}

wb_platform_t *wb_node_platform(wb_node_t *node) {
    return node->platform;
}

gboolean wb_node_update_ready(wb_node_t *node) {
    gboolean ready = !node->draining && wb_config_store_is_ready(node->config_store);
    wb_gateway_set_ready(node->gateway, ready);
    return ready;
}
