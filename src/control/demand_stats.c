/* Aggregates the demand that gateways report, per model and adapter. */
#include "control/demand_stats.h"

#include <math.h>
#include <string.h>

#define REPORT_TTL_MS 2000
/* Time constants of the exponential decay of rates. */
#define RATE_TIME_CONSTANT_S 5.0
#define RECENT_TIME_CONSTANT_S 1.5
#define USAGE_TTL_MS 30000

/* The last report of a gateway's node. */
typedef struct wb_node_report_t {
    wb_wire_message message;
    int64_t received_ms;
} wb_node_report_t;

struct wb_demand_stats_t {
    GHashTable *reports; /* node -> wb_node_report_t */
    GHashTable *usages;  /* SERVICE/MODEL/ADAPTER -> wb_usage_t */
};

static void node_report_free(gpointer data) {
    wb_node_report_t *report = data;
    wb_message_clear(&report->message);
    g_free(report);
}

wb_demand_stats_t *wb_demand_stats_create(void) {
    wb_demand_stats_t *stats = g_new0(wb_demand_stats_t, 1);
    stats->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_report_free);
    stats->usages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return stats;
}

void wb_demand_stats_free(wb_demand_stats_t *stats) {
    g_hash_table_unref(stats->reports);
    g_hash_table_unref(stats->usages);
    g_free(stats);
}

static char *usage_key(const char *service, const char *model, const char *adapter) {
    return g_strjoin("/", service, model, adapter, NULL);
}

wb_usage_t *wb_demand_stats_find(const wb_demand_stats_t *stats, const char *service,
                                 const char *model, const char *adapter) {
    g_autofree char *key = usage_key(service, model, adapter);
    return g_hash_table_lookup(stats->usages, key);
}

wb_usage_t *wb_demand_stats_get(wb_demand_stats_t *stats, const char *service, const char *model,
                                const char *adapter, int64_t now_ms) {
    g_autofree char *key = usage_key(service, model, adapter);
    wb_usage_t *usage = g_hash_table_lookup(stats->usages, key);
    if (usage == NULL) {
        usage = g_new0(wb_usage_t, 1);
        usage->decayed_ms = now_ms;
        usage->last_used_ms = now_ms;
        g_hash_table_insert(stats->usages, g_steal_pointer(&key), usage);
    }
    return usage;
}

static void usage_decay(wb_usage_t *usage, int64_t now_ms) {
    double elapsed_s = (double)(now_ms - usage->decayed_ms) / 1000.0;
    double factor = exp(-elapsed_s / RATE_TIME_CONSTANT_S);
    double recent_factor = exp(-elapsed_s / RECENT_TIME_CONSTANT_S);
    usage->use.rate_per_s *= factor;
    usage->use.work_per_s *= factor;
    usage->use.adapter_rate_per_s *= factor;
    usage->use.recent_rate_per_s *= recent_factor;
    usage->use.recent_work_per_s *= recent_factor;
    usage->decayed_ms = now_ms;
}

static void usage_add_arrivals(wb_usage_t *usage, unsigned arrivals, uint64_t work,
                               int64_t now_ms) {
    usage_decay(usage, now_ms);
    usage->use.rate_per_s += arrivals / RATE_TIME_CONSTANT_S;
    usage->use.work_per_s += (double)work / RATE_TIME_CONSTANT_S;
    usage->use.recent_rate_per_s += arrivals / RECENT_TIME_CONSTANT_S;
    usage->use.recent_work_per_s += (double)work / RECENT_TIME_CONSTANT_S;
    if (arrivals > 0)
        usage->last_used_ms = now_ms;
}

gboolean wb_demand_stats_update(wb_demand_stats_t *stats, const wb_wire_demand *demand,
                                int64_t now_ms) {
    wb_node_report_t *report = g_new0(wb_node_report_t, 1);
    report->received_ms = now_ms;
    /* The message belongs to its link, so it is copied by encoding and decoding it. */
    wb_wire_message source = {.kind = WB_WIRE_DEMAND};
    source.wb_wire_message_u.demand = *demand;
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    wb_error_t error;
    if (wb_message_encode(&source, bytes, &error) != APR_SUCCESS ||
        wb_message_decode(bytes->data + sizeof(uint32_t), bytes->len - sizeof(uint32_t),
                          &report->message, &error) != APR_SUCCESS) {
        g_free(report);
        return FALSE;
    }
    g_hash_table_replace(stats->reports, g_strdup(demand->node), report);
    gboolean has_waiting = FALSE;
    for (guint i = 0; i < demand->entries.entries_len; i++) {
        const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
        wb_usage_t *model = wb_demand_stats_get(stats, entry->service, entry->model, "", now_ms);
        usage_add_arrivals(model, entry->arrivals, entry->work, now_ms);
        if (model->use.replicas == 0)
            model->missed_requests += entry->arrivals;
        if (*entry->adapter != '\0') {
            usage_add_arrivals(
                wb_demand_stats_get(stats, entry->service, entry->model, entry->adapter, now_ms),
                entry->arrivals, 0, now_ms);
            model->use.adapter_rate_per_s += entry->arrivals / RATE_TIME_CONSTANT_S;
        }
        has_waiting |= entry->waiting > 0;
    }
    return has_waiting;
}

static void usages_reset(wb_demand_stats_t *stats) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, stats->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_usage_t *usage = value;
        usage->use.waiting = 0;
        usage->use.running = 0;
        usage->use.replicas = 0;
        usage->use.unreliable = 0;
        usage->use.loading_replicas = 0;
        usage->use.speed = 0;
        usage->use.loading_speed = 0;
        usage->time_left_ms = G_MAXUINT;
    }
}

static void usage_add_entry(wb_usage_t *usage, const wb_wire_demand_entry *entry,
                            gboolean count_waiting) {
    usage->use.running += entry->running;
    if (!count_waiting || entry->waiting == 0)
        return;
    usage->use.waiting += entry->waiting;
    usage->time_left_ms = MIN(usage->time_left_ms, entry->time_left_ms);
}

void wb_demand_stats_aggregate(wb_demand_stats_t *stats, int64_t now_ms) {
    usages_reset(stats);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, stats->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_node_report_t *report = value;
        if (now_ms - report->received_ms > REPORT_TTL_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        const wb_wire_demand *demand = &report->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            wb_usage_t *model =
                wb_demand_stats_get(stats, entry->service, entry->model, "", now_ms);
            usage_add_entry(model, entry, *entry->adapter == '\0');
            if (*entry->adapter == '\0')
                continue;
            usage_add_entry(
                wb_demand_stats_get(stats, entry->service, entry->model, entry->adapter, now_ms),
                entry, TRUE);
            model->use.waiting += entry->waiting;
            if (entry->waiting > 0)
                model->time_left_ms = MIN(model->time_left_ms, entry->time_left_ms);
        }
    }
}

static gboolean usage_is_expired(gpointer key, gpointer value, gpointer context) {
    (void)key;
    const wb_usage_t *usage = value;
    int64_t now_ms = *(int64_t *)context;
    return usage->use.waiting == 0 && usage->use.running == 0 &&
           now_ms - usage->last_used_ms > USAGE_TTL_MS;
}

void wb_demand_stats_expire(wb_demand_stats_t *stats, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_foreach_remove(stats->usages, usage_is_expired, &now_ms);
    g_hash_table_iter_init(&iter, stats->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_usage_t *usage = value;
        usage_decay(usage, now_ms);
        if (usage->use.waiting == 0)
            usage->waiting_since_ms = 0;
        else if (usage->waiting_since_ms == 0)
            usage->waiting_since_ms = now_ms;
    }
}

void wb_demand_stats_mark_served(wb_demand_stats_t *stats, const char *service, const char *model,
                                 const char *adapter) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, stats->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_wire_demand *demand = &((wb_node_report_t *)value)->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            if (strcmp(entry->service, service) == 0 && strcmp(entry->model, model) == 0 &&
                strcmp(entry->adapter, adapter) == 0) {
                entry->running += entry->waiting;
                entry->waiting = 0;
            }
        }
    }
    wb_usage_t *usage = wb_demand_stats_find(stats, service, model, "");
    if (usage != NULL)
        usage->waiting_since_ms = 0;
}

gboolean wb_demand_stats_has_waiting(const wb_demand_stats_t *stats) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, stats->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (((wb_usage_t *)value)->use.waiting > 0)
            return TRUE;
    return FALSE;
}

void wb_demand_stats_each_waiting_adapter(const wb_demand_stats_t *stats, const char *service,
                                          void (*visit)(const wb_wire_demand_entry *entry,
                                                        void *context),
                                          void *context) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, stats->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_wire_demand *demand =
            &((wb_node_report_t *)value)->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            if (entry->waiting > 0 && *entry->adapter != '\0' &&
                strcmp(entry->service, service) == 0)
                visit(entry, context);
        }
    }
}
