/* Waits for engines of one software version, by the node that reported them. */
#include "control/version_demand.h"

#include <string.h>

#define REPORT_TTL_MS 2000

/* The last report of a node; there is none without waits. */
typedef struct wb_node_waits_t {
    wb_wire_version_waits waits;
    GArray *since_ms; /* of int64_t, by the index in `waits`: since when it is reported */
    int64_t received_ms;
} wb_node_waits_t;

struct wb_version_demand_t {
    GHashTable *nodes; /* node -> wb_node_waits_t */
};

static void node_waits_free(gpointer data) {
    wb_node_waits_t *node = data;
    xdr_free((xdrproc_t)xdr_wb_wire_version_waits, &node->waits);
    g_array_unref(node->since_ms);
    g_free(node);
}

wb_version_demand_t *wb_version_demand_create(void) {
    wb_version_demand_t *demand = g_new0(wb_version_demand_t, 1);
    demand->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_waits_free);
    return demand;
}

void wb_version_demand_free(wb_version_demand_t *demand) {
    g_hash_table_unref(demand->nodes);
    g_free(demand);
}

static wb_wire_version_wait wait_copy(const wb_wire_version_wait *wait) {
    return (wb_wire_version_wait){.service = strdup(wait->service),
                                  .model = strdup(wait->model),
                                  .adapter = strdup(wait->adapter),
                                  .software_version = strdup(wait->software_version),
                                  .waiting = wait->waiting};
}

static gboolean wait_equal(const wb_wire_version_wait *left, const wb_wire_version_wait *right) {
    return strcmp(left->service, right->service) == 0 && strcmp(left->model, right->model) == 0 &&
           strcmp(left->adapter, right->adapter) == 0 &&
           strcmp(left->software_version, right->software_version) == 0;
}

/* Returns since when a wait has been in a node's reports without a gap. */
static int64_t reported_since_ms(const wb_node_waits_t *before, const wb_wire_version_wait *wait,
                                 int64_t now_ms) {
    guint count = before != NULL ? before->waits.entries.entries_len : 0;
    for (guint i = 0; i < count; i++)
        if (wait_equal(&before->waits.entries.entries_val[i], wait))
            return g_array_index(before->since_ms, int64_t, i);
    return now_ms;
}

void wb_version_demand_update(wb_version_demand_t *demand, const char *node,
                              const wb_wire_version_waits *waits, int64_t now_ms) {
    guint count = waits->entries.entries_len;
    if (count == 0) {
        g_hash_table_remove(demand->nodes, node);
        return;
    }
    const wb_node_waits_t *before = g_hash_table_lookup(demand->nodes, node);
    wb_node_waits_t *copy = g_new0(wb_node_waits_t, 1);
    copy->received_ms = now_ms;
    copy->since_ms = g_array_sized_new(FALSE, FALSE, sizeof(int64_t), count);
    copy->waits.entries.entries_len = count;
    copy->waits.entries.entries_val = calloc(count, sizeof(wb_wire_version_wait));
    for (guint i = 0; i < count; i++) {
        const wb_wire_version_wait *wait = &waits->entries.entries_val[i];
        int64_t since_ms = reported_since_ms(before, wait, now_ms);
        copy->waits.entries.entries_val[i] = wait_copy(wait);
        g_array_append_val(copy->since_ms, since_ms);
    }
    g_hash_table_replace(demand->nodes, g_strdup(node), copy);
}

void wb_version_demand_each(wb_version_demand_t *demand, const char *service, int64_t now_ms,
                            void (*visit)(const wb_wire_version_wait *wait, int64_t waited_ms,
                                          void *context),
                            void *context) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, demand->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_node_waits_t *node = value;
        if (now_ms - node->received_ms > REPORT_TTL_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        for (guint i = 0; i < node->waits.entries.entries_len; i++) {
            const wb_wire_version_wait *wait = &node->waits.entries.entries_val[i];
            if (wait->waiting > 0 && strcmp(wait->service, service) == 0)
                visit(wait, now_ms - g_array_index(node->since_ms, int64_t, i), context);
        }
    }
}

gboolean wb_version_demand_any(const wb_version_demand_t *demand) {
    return g_hash_table_size(demand->nodes) > 0;
}
