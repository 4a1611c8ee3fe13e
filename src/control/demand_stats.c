/* What all gateways ask for, by model and adapter. */
#include "control/demand_stats.h"

#include <math.h>
#include <string.h>

#define DEMAND_LIFE_MS 2000
/* Rates are averages over about so long. */
#define RATE_TIME_S 5.0
#define RECENT_TIME_S 1.5
#define WB_USAGE_LIFE_MS 30000

/* What one node said, and when. */
typedef struct wb_node_demand_t {
    wb_wire_message message;
    int64_t at_ms;
} wb_node_demand_t;

struct wb_demand_stats_t {
    GHashTable *demands; /* node -> wb_node_demand_t */
    GHashTable *usages;  /* SERVICE/MODEL/ADAPTER -> wb_usage_t */
};

static void node_demand_free(gpointer data) {
    wb_node_demand_t *demand = data;
    wb_message_clear(&demand->message);
    g_free(demand);
}

wb_demand_stats_t *wb_demand_stats_create(void) {
    wb_demand_stats_t *book = g_new0(wb_demand_stats_t, 1);
    book->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_demand_free);
    book->usages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return book;
}

void wb_demand_stats_free(wb_demand_stats_t *book) {
    g_hash_table_unref(book->demands);
    g_hash_table_unref(book->usages);
    g_free(book);
}

static char *usage_key(const char *service, const char *model, const char *adapter) {
    return g_strjoin("/", service, model, adapter, NULL);
}

wb_usage_t *wb_demand_stats_find(const wb_demand_stats_t *book, const char *service,
                                const char *model, const char *adapter) {
    g_autofree char *key = usage_key(service, model, adapter);
    return g_hash_table_lookup(book->usages, key);
}

wb_usage_t *wb_demand_stats_get(wb_demand_stats_t *book, const char *service, const char *model,
                               const char *adapter, int64_t now_ms) {
    g_autofree char *key = usage_key(service, model, adapter);
    wb_usage_t *usage = g_hash_table_lookup(book->usages, key);
    if (usage == NULL) {
        usage = g_new0(wb_usage_t, 1);
        usage->rated_ms = now_ms;
        usage->used_ms = now_ms;
        g_hash_table_insert(book->usages, g_steal_pointer(&key), usage);
    }
    return usage;
}

static void usage_decay(wb_usage_t *usage, int64_t now_ms) {
    double passed_s = (double)(now_ms - usage->rated_ms) / 1000.0;
    double kept = exp(-passed_s / RATE_TIME_S);
    double recent_kept = exp(-passed_s / RECENT_TIME_S);
    usage->use.rate_per_s *= kept;
    usage->use.work_per_s *= kept;
    usage->use.adapter_rate_per_s *= kept;
    usage->use.recent_rate_per_s *= recent_kept;
    usage->use.recent_work_per_s *= recent_kept;
    usage->rated_ms = now_ms;
}

static void usage_arrivals(wb_usage_t *usage, unsigned arrivals, uint64_t work, int64_t now_ms) {
    usage_decay(usage, now_ms);
    usage->use.rate_per_s += arrivals / RATE_TIME_S;
    usage->use.work_per_s += (double)work / RATE_TIME_S;
    usage->use.recent_rate_per_s += arrivals / RECENT_TIME_S;
    usage->use.recent_work_per_s += (double)work / RECENT_TIME_S;
    if (arrivals > 0)
        usage->used_ms = now_ms;
}

gboolean wb_demand_stats_update(wb_demand_stats_t *book, const wb_wire_demand *demand, int64_t now_ms) {
    wb_node_demand_t *kept = g_new0(wb_node_demand_t, 1);
    kept->at_ms = now_ms;
    /* A copy by way of its bytes: the message belongs to its link. */
    wb_wire_message source = {.kind = WB_WIRE_DEMAND};
    source.wb_wire_message_u.demand = *demand;
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    wb_error_t error;
    if (wb_message_encode(&source, bytes, &error) != APR_SUCCESS ||
        wb_message_decode(bytes->data + sizeof(uint32_t), bytes->len - sizeof(uint32_t),
                          &kept->message, &error) != APR_SUCCESS) {
        g_free(kept);
        return FALSE;
    }
    g_hash_table_replace(book->demands, g_strdup(demand->node), kept);
    gboolean waits = FALSE;
    for (guint i = 0; i < demand->entries.entries_len; i++) {
        const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
        wb_usage_t *model = wb_demand_stats_get(book, entry->service, entry->model, "", now_ms);
        usage_arrivals(model, entry->arrivals, entry->work, now_ms);
        if (model->use.replicas == 0)
            model->missed += entry->arrivals;
        if (*entry->adapter != '\0') {
            usage_arrivals(
                wb_demand_stats_get(book, entry->service, entry->model, entry->adapter, now_ms),
                entry->arrivals, 0, now_ms);
            model->use.adapter_rate_per_s += entry->arrivals / RATE_TIME_S;
        }
        waits |= entry->waiting > 0;
    }
    return waits;
}

static void usages_clear(wb_demand_stats_t *book) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_usage_t *usage = value;
        usage->use.waiting = 0;
        usage->use.running = 0;
        usage->use.replicas = 0;
        usage->use.unreliable = 0;
        usage->use.in_loading = 0;
        usage->use.speed = 0;
        usage->use.loading_speed = 0;
        usage->time_left_ms = G_MAXUINT;
    }
}

static void entry_count(wb_usage_t *usage, const wb_wire_demand_entry *entry, gboolean waits) {
    usage->use.running += entry->running;
    if (!waits || entry->waiting == 0)
        return;
    usage->use.waiting += entry->waiting;
    usage->time_left_ms = MIN(usage->time_left_ms, entry->time_left_ms);
}

/* Adds up what all nodes said lately. */
void wb_demand_stats_aggregate(wb_demand_stats_t *book, int64_t now_ms) {
    usages_clear(book);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->demands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_node_demand_t *kept = value;
        if (now_ms - kept->at_ms > DEMAND_LIFE_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        const wb_wire_demand *demand = &kept->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            wb_usage_t *model = wb_demand_stats_get(book, entry->service, entry->model, "", now_ms);
            entry_count(model, entry, *entry->adapter == '\0');
            if (*entry->adapter == '\0')
                continue;
            entry_count(
                wb_demand_stats_get(book, entry->service, entry->model, entry->adapter, now_ms),
                entry, TRUE);
            model->use.waiting += entry->waiting;
            if (entry->waiting > 0)
                model->time_left_ms = MIN(model->time_left_ms, entry->time_left_ms);
        }
    }
}

static gboolean usage_is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    const wb_usage_t *usage = value;
    int64_t now_ms = *(int64_t *)context;
    return usage->use.waiting == 0 && usage->use.running == 0 &&
           now_ms - usage->used_ms > WB_USAGE_LIFE_MS;
}

void wb_demand_stats_expire(wb_demand_stats_t *book, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_foreach_remove(book->usages, usage_is_old, &now_ms);
    g_hash_table_iter_init(&iter, book->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_usage_t *usage = value;
        usage_decay(usage, now_ms);
        if (usage->use.waiting == 0)
            usage->waited_ms = 0;
        else if (usage->waited_ms == 0)
            usage->waited_ms = now_ms;
    }
}

void wb_demand_stats_mark_served(wb_demand_stats_t *book, const char *service, const char *model,
                           const char *adapter) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->demands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_wire_demand *demand = &((wb_node_demand_t *)value)->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            if (strcmp(entry->service, service) == 0 && strcmp(entry->model, model) == 0 &&
                strcmp(entry->adapter, adapter) == 0) {
                entry->running += entry->waiting;
                entry->waiting = 0;
            }
        }
    }
    wb_usage_t *usage = wb_demand_stats_find(book, service, model, "");
    if (usage != NULL)
        usage->waited_ms = 0;
}

gboolean wb_demand_stats_has_waiting(const wb_demand_stats_t *book) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (((wb_usage_t *)value)->use.waiting > 0)
            return TRUE;
    return FALSE;
}

void wb_demand_stats_each_waiting_adapter(const wb_demand_stats_t *book, const char *service,
                                 void (*visit)(const wb_wire_demand_entry *entry, void *context),
                                 void *context) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->demands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_wire_demand *demand =
            &((wb_node_demand_t *)value)->message.wb_wire_message_u.demand;
        for (guint i = 0; i < demand->entries.entries_len; i++) {
            const wb_wire_demand_entry *entry = &demand->entries.entries_val[i];
            if (entry->waiting > 0 && *entry->adapter != '\0' &&
                strcmp(entry->service, service) == 0)
                visit(entry, context);
        }
    }
}
