/* Demand of this node's clients by model and adapter, sent to the controller. Times are monotonic,
 * in ms. */
#include "request/request_types.h"

#include <string.h>

typedef struct wb_demand_entry_t {
    char *service;
    char *model;
    char *adapter;
    char *software_version; /* it waits at engines of this version; NULL: of any */
    unsigned waiting;
    unsigned running;
    unsigned arrivals;          /* since the last message */
    uint64_t work;              /* prompt tokens of the arrivals */
    int64_t earliest_target_ms; /* earliest latency target (without one: answer due time) of the
                                   requests that began to wait since `waiting` was last 0;
                                   G_MAXINT64: none */
    int64_t retry_expected_until_ms; /* until when a refused client may retry */
} wb_demand_entry_t;

struct wb_demand_t {
    GHashTable *entries;       /* SERVICE/MODEL/ADAPTER -> wb_demand_entry_t */
    GHashTable *version_waits; /* SERVICE/MODEL/ADAPTER/VERSION -> wb_demand_entry_t, of which only
                                  `waiting` is used */
};

static void entry_free(gpointer data) {
    wb_demand_entry_t *entry = data;
    g_free(entry->service);
    g_free(entry->model);
    g_free(entry->adapter);
    g_free(entry->software_version);
    g_free(entry);
}

wb_demand_t *wb_demand_create(void) {
    wb_demand_t *demand = g_new0(wb_demand_t, 1);
    demand->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
    demand->version_waits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
    return demand;
}

/* Returns the entry of a request's model in one of the tables.
 * @param software_version NULL: of any */
static wb_demand_entry_t *entry_get(GHashTable *entries, const wb_exchange_t *exchange,
                                    const char *software_version) {
    g_autofree char *key = g_strjoin("/", exchange->service->name, exchange->model,
                                     exchange->adapter, software_version, NULL);
    wb_demand_entry_t *entry = g_hash_table_lookup(entries, key);
    if (entry != NULL)
        return entry;
    entry = g_new0(wb_demand_entry_t, 1);
    entry->service = g_strdup(exchange->service->name);
    entry->model = g_strdup(exchange->model);
    entry->adapter = g_strdup(exchange->adapter);
    entry->software_version = g_strdup(software_version);
    entry->earliest_target_ms = G_MAXINT64;
    g_hash_table_insert(entries, g_steal_pointer(&key), entry);
    return entry;
}

/* Returns the entry of a request's model, or NULL when it names none. */
static wb_demand_entry_t *entry_of(wb_demand_t *demand, const wb_exchange_t *exchange) {
    return exchange->model != NULL ? entry_get(demand->entries, exchange, NULL) : NULL;
}

/* The same for a request that waits, which may be bound to a software version. */
static wb_demand_entry_t *waiting_entry_of(wb_demand_t *demand, const wb_exchange_t *exchange) {
    if (exchange->model == NULL || exchange->bound_version == NULL)
        return entry_of(demand, exchange);
    return entry_get(demand->version_waits, exchange, exchange->bound_version);
}

void wb_demand_note_arrival(wb_demand_t *demand, const wb_exchange_t *exchange) {
    wb_demand_entry_t *entry = entry_of(demand, exchange);
    if (entry == NULL)
        return;
    entry->arrivals++;
    entry->work += (uint64_t)exchange->prompt_tokens;
}

void wb_demand_set_waiting(wb_demand_t *demand, wb_exchange_t *exchange, gboolean waiting) {
    wb_demand_entry_t *entry = waiting_entry_of(demand, exchange);
    if (entry == NULL)
        return;
    if (!waiting) {
        entry->waiting--;
        if (entry->waiting == 0)
            entry->earliest_target_ms = G_MAXINT64;
        return;
    }
    entry->waiting++;
    int64_t target_ms = exchange->route->target_latency_ms;
    int64_t target_due_ms =
        target_ms > 0 ? exchange->began_ms + target_ms : exchange->answer_due_ms;
    entry->earliest_target_ms = MIN(entry->earliest_target_ms, target_due_ms);
}

void wb_demand_expect_retry(wb_demand_t *demand, const wb_exchange_t *exchange, int64_t until_ms) {
    wb_demand_entry_t *entry = entry_of(demand, exchange);
    if (entry != NULL) {
        entry->retry_expected_until_ms = MAX(entry->retry_expected_until_ms, until_ms);
    }
}

void wb_demand_set_running(wb_demand_t *demand, wb_exchange_t *exchange, gboolean running) {
    wb_demand_entry_t *entry = entry_of(demand, exchange);
    if (entry != NULL)
        entry->running += running ? 1 : -1;
}

static gboolean entry_is_empty(gpointer key, gpointer value, gpointer context) {
    (void)key;
    (void)context;
    const wb_demand_entry_t *entry = value;
    return entry->waiting == 0 && entry->running == 0 && entry->arrivals == 0 &&
           entry->retry_expected_until_ms < wb_clock_ms();
}

/* Fills in a message row. An expected retry counts as one waiting request until an engine holds the
 * model. */
static void entry_write(const wb_demand_entry_t *entry, const wb_fleet_t *fleet, int64_t now_ms,
                        wb_wire_demand_entry *row) {
    int64_t earliest_target_ms = entry->earliest_target_ms;
    row->service = strdup(entry->service);
    row->model = strdup(entry->model);
    row->adapter = strdup(entry->adapter);
    row->waiting = entry->waiting;
    row->running = entry->running;
    row->arrivals = entry->arrivals;
    row->work = entry->work;
    if (entry->waiting == 0 && entry->retry_expected_until_ms > now_ms &&
        !wb_fleet_holds(fleet, entry->service, entry->model, entry->adapter, now_ms)) {
        row->waiting = 1;
        earliest_target_ms = entry->retry_expected_until_ms;
    }
    row->time_left_ms =
        row->waiting > 0 ? (unsigned)CLAMP(earliest_target_ms - now_ms, 0, 600000) : 0;
}

void wb_demand_build_message(wb_demand_t *demand, const wb_fleet_t *fleet, const char *node,
                             wb_wire_message *message) {
    memset(message, 0, sizeof(*message));
    g_hash_table_foreach_remove(demand->entries, entry_is_empty, NULL);
    guint count = g_hash_table_size(demand->entries);
    int64_t now_ms = wb_clock_ms();
    message->kind = WB_WIRE_DEMAND;
    wb_wire_demand *report = &message->wb_wire_message_u.demand;
    report->node = strdup(node);
    report->entries.entries_len = count;
    report->entries.entries_val = calloc(MAX(count, 1), sizeof(wb_wire_demand_entry));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, demand->entries);
    for (guint i = 0; i < count && g_hash_table_iter_next(&iter, NULL, &value); i++) {
        wb_demand_entry_t *entry = value;
        entry_write(entry, fleet, now_ms, &report->entries.entries_val[i]);
        entry->arrivals = 0;
        entry->work = 0;
    }
}

static gboolean nobody_waits(gpointer key, gpointer value, gpointer context) {
    (void)key;
    (void)context;
    return ((const wb_demand_entry_t *)value)->waiting == 0;
}

void wb_demand_build_version_waits(const wb_demand_t *demand, wb_wire_version_waits *waits) {
    g_hash_table_foreach_remove(demand->version_waits, nobody_waits, NULL);
    guint count = g_hash_table_size(demand->version_waits);
    waits->entries.entries_len = 0;
    waits->entries.entries_val = calloc(MAX(count, 1), sizeof(wb_wire_version_wait));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, demand->version_waits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_demand_entry_t *entry = value;
        waits->entries.entries_val[waits->entries.entries_len++] =
            (wb_wire_version_wait){.service = strdup(entry->service),
                                   .model = strdup(entry->model),
                                   .adapter = strdup(entry->adapter),
                                   .software_version = strdup(entry->software_version),
                                   .waiting = entry->waiting};
    }
}
