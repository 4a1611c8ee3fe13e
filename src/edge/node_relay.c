/* A relay: a node that reads the large engines table and sends rows to the subscribers that don't
 * (node_directory.c).
 * For each link it keeps the rows that it has sent, and sends their changes as it learns of them.
 * Without changes it sends a heartbeat, so that a subscriber detects a lost relay within a bounded
 * time. It keeps all rows that it has read, including removed ones.
 * Times are in ms. */
#include "edge/edge_node_types.h"

#include "directory/engine_subset.h"

#include <string.h>

/* Upper bound on the age of what a subscriber has received. */
#define HEARTBEAT_MS 500

/* What one link has subscribed to. */
struct wb_subscription_t {
    char *zone;
    GHashTable *keys; /* set of keys of rows that were sent, or subscribed to by key */
    GArray *changes;  /* of wb_wire_table_row, not sent yet */
    int64_t sent_ms;
};

static void wire_row_clear(gpointer data) {
    xdr_free((xdrproc_t)xdr_wb_wire_table_row, data);
}

void wb_edge_node_subscription_free(wb_subscription_t *subscription) {
    if (subscription == NULL) {
        return;
    }
    g_free(subscription->zone);
    g_hash_table_unref(subscription->keys);
    g_array_unref(subscription->changes);
    g_free(subscription);
}

static wb_subscription_t *subscription_create(const char *zone) {
    wb_subscription_t *subscription = g_new0(wb_subscription_t, 1);
    subscription->zone = g_strdup(zone);
    subscription->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    subscription->changes = g_array_new(FALSE, FALSE, sizeof(wb_wire_table_row));
    g_array_set_clear_func(subscription->changes, wire_row_clear);
    return subscription;
}

void wb_edge_node_relay_row(wb_edge_node_t *node, const wb_table_row_t *row) {
    if (!wb_edge_node_has_large_fleet(node)) {
        return;
    }
    g_hash_table_replace(node->engine_rows, g_strdup(row->key),
                         wb_table_row_create(row->key, g_memdup2(row->value, row->length),
                                             row->length, row->version));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_gateway_t *gateway = value;
        wb_subscription_t *subscription = gateway->subscription;
        if (subscription != NULL && g_hash_table_contains(subscription->keys, row->key)) {
            wb_edge_node_wire_row_add(node, subscription->changes, WB_TABLE_ENGINES, row);
        }
    }
}

void wb_edge_node_relay_drop(wb_edge_node_t *node) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_gateway_t *gateway = value;
        if (gateway->subscription != NULL) {
            g_array_set_size(gateway->subscription->changes, 0);
        }
    }
}

/* Returns FALSE after a rollback of the store until the table was read again. */
static gboolean has_read_era(const wb_edge_node_t *node) {
    return wb_table_watch_read_era(node->engines_watch) == node->store_era;
}

static unsigned table_age_ms(const wb_edge_node_t *node, int64_t now_ms) {
    int64_t fresh_ms = wb_table_watch_fresh_ms(node->engines_watch);
    return fresh_ms == 0 || !has_read_era(node) ? G_MAXINT
                                                : (unsigned)CLAMP(now_ms - fresh_ms, 0, G_MAXINT);
}

static void engine_update_send(wb_edge_node_t *node, wb_link_t *link,
                               wb_subscription_t *subscription,
                               const wb_wire_engine_subscribe *want, const GArray *holds) {
    int64_t now_ms = wb_clock_ms();
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_UPDATE};
    wb_wire_engine_update *update = &message.wb_wire_message_u.engine_update;
    update->whole = wb_edge_node_reads_engines(node) &&
                    wb_table_watch_is_synced(node->engines_watch) && has_read_era(node);
    update->age_ms = table_age_ms(node, now_ms);
    if (want != NULL) {
        update->answered.answered_len = want->wants.wants_len;
        update->answered.answered_val = want->wants.wants_val;
    }
    update->rows.rows_len = subscription->changes->len;
    update->rows.rows_val = (wb_wire_table_row *)(void *)subscription->changes->data;
    if (holds != NULL) {
        update->holds.holds_len = holds->len;
        update->holds.holds_val = (wb_wire_placement_entry *)(void *)holds->data;
    }
    wb_wire_extensions extensions = {0};
    wb_edge_node_sent_add(&extensions, now_ms);
    wb_edge_node_era_add(node, &extensions);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
    g_array_set_size(subscription->changes, 0);
    subscription->sent_ms = now_ms;
}

/* Queues a row if the version that the subscriber knows is older, and later its changes. A row that
 * is no longer in the table was removed while the gateway was subscribed to another relay. */
static void known_row_add(wb_edge_node_t *node, wb_subscription_t *subscription,
                          const wb_wire_row_version *known, int64_t era) {
    int64_t known_version = wb_edge_node_version_from_wire(era, known->row_version);
    const wb_table_row_t *row = g_hash_table_lookup(node->engine_rows, known->key);
    wb_table_row_t removed_row = {known->key, NULL, 0,
                                  wb_table_watch_newest_row(node->engines_watch)};
    gboolean may_be_removed = known->row_version > 0 && wb_edge_node_knows_engines(node);
    if (row == NULL && may_be_removed) {
        row = &removed_row;
    }
    g_hash_table_add(subscription->keys, g_strdup(known->key));
    if (row != NULL && row->version > known_version) {
        wb_edge_node_wire_row_add(node, subscription->changes, WB_TABLE_ENGINES, row);
    }
}

/* Queues an engine's row once, and then its changes. */
static void engine_row_add(wb_edge_node_t *node, wb_subscription_t *subscription,
                           const wb_engine_t *engine) {
    const char *id = engine->state->id;
    const wb_table_row_t *row = g_hash_table_lookup(node->engine_rows, id);
    if (row != NULL && g_hash_table_add(subscription->keys, g_strdup(id))) {
        wb_edge_node_wire_row_add(node, subscription->changes, WB_TABLE_ENGINES, row);
    }
}

/* Appends an engine whose row doesn't list the model: it holds the model by a placement update,
 * which may precede the row. */
static void holds_append(GArray *holds, const wb_engine_t *engine, const char *model) {
    if (*model == '\0' || g_hash_table_contains(engine->state->models, model)) {
        return;
    }
    wb_wire_placement_entry entry = {engine->state->id, (char *)model, (char *)"", TRUE, 0};
    g_array_append_val(holds, entry);
}

void wb_edge_node_relay_subscribe(wb_edge_node_t *node, wb_link_t *link, wb_gateway_t *gateway,
                                  const wb_wire_engine_subscribe *want, int64_t era) {
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GArray) holds = g_array_new(FALSE, FALSE, sizeof(wb_wire_placement_entry));
    if (gateway->subscription == NULL) {
        gateway->subscription = subscription_create(want->zone);
    }
    wb_subscription_t *subscription = gateway->subscription;
    for (guint i = 0; i < want->known.known_len; i++) {
        known_row_add(node, subscription, &want->known.known_val[i], era);
    }
    for (guint i = 0; i < want->wants.wants_len; i++) {
        const wb_wire_engine_selector *selector = &want->wants.wants_val[i];
        g_autoptr(GPtrArray) engines =
            wb_engine_subset(wb_fleet_service(node->edge.fleet, selector->service), selector->model,
                             subscription->zone, now_ms);
        for (guint j = 0; j < engines->len; j++) {
            const wb_engine_t *engine = g_ptr_array_index(engines, j);
            engine_row_add(node, subscription, engine);
            holds_append(holds, engine, selector->model);
        }
    }
    node->edge.metrics.subscriptions_answered++;
    engine_update_send(node, link, subscription, want, holds);
}

void wb_edge_node_tick_relay(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        const wb_gateway_t *gateway = value;
        wb_subscription_t *subscription = gateway->subscription;
        if (subscription != NULL &&
            (subscription->changes->len > 0 || now_ms - subscription->sent_ms >= HEARTBEAT_MS)) {
            engine_update_send(node, link, subscription, NULL, NULL);
        }
    }
}
