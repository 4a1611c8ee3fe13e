/* LRU cache of prompt prefixes with export and import. Its events appear late and with
 * gaps. */
#include "engine.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

#define EVENT_LAG_MS 500
#define EVENT_GAP 7 /* every seventh event is omitted */
#define EVENTS_KEPT 1024

typedef struct cache_event_t {
    int64_t number;
    int64_t at_ms;
    uint64_t prefix;
    gboolean added;
} cache_event_t;

static GQueue entries = G_QUEUE_INIT; /* most recently used first; uint64_t * */
static GQueue events = G_QUEUE_INIT;
static int64_t event_count;

void cache_setup(void) {
    event_count = 0;
}

static void event_add(uint64_t prefix, gboolean added) {
    cache_event_t *event = g_new(cache_event_t, 1);
    event->number = ++event_count;
    event->at_ms = engine_now_ms();
    event->prefix = prefix;
    event->added = added;
    g_queue_push_tail(&events, event);
    while (events.length > EVENTS_KEPT)
        g_free(g_queue_pop_head(&events));
}

gboolean cache_touch(uint64_t prefix_hash) {
    for (GList *item = entries.head; item != NULL; item = item->next) {
        if (*(uint64_t *)item->data != prefix_hash)
            continue;
        g_queue_unlink(&entries, item);
        g_queue_push_head_link(&entries, item);
        return TRUE;
    }
    uint64_t *entry = g_new(uint64_t, 1);
    *entry = prefix_hash;
    g_queue_push_head(&entries, entry);
    event_add(prefix_hash, TRUE);
    while ((int64_t)entries.length > engine_settings.cache_entries) {
        uint64_t *old = g_queue_pop_tail(&entries);
        event_add(*old, FALSE);
        g_free(old);
    }
    return FALSE;
}

void cache_events(wb_http_exchange_t *exchange) {
    const char *after_text = wb_http_exchange_query(exchange, "after");
    int64_t after = after_text != NULL ? g_ascii_strtoll(after_text, NULL, 10) : 0;
    json_t *list = json_array();
    g_mutex_lock(&engine_lock);
    for (GList *item = events.head; item != NULL; item = item->next) {
        const cache_event_t *event = item->data;
        if (event->number <= after || event->number % EVENT_GAP == 0 ||
            engine_now_ms() - event->at_ms < EVENT_LAG_MS)
            continue;
        char prefix[24];
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x", (guint64)event->prefix);
        json_array_append_new(list,
                              json_pack("{s:I, s:s, s:b}", "number", (json_int_t)event->number,
                                        "prefix", prefix, "added", event->added));
    }
    g_mutex_unlock(&engine_lock);
    standin_reply_json(exchange, 200, json_pack("{s:o}", "events", list));
}

void cache_export(wb_http_exchange_t *exchange, const char *stream) {
    json_t *list = json_array();
    g_mutex_lock(&engine_lock);
    for (GList *item = entries.head; item != NULL; item = item->next) {
        char prefix[24];
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
                   (guint64) * (uint64_t *)item->data);
        json_array_append_new(list, json_string(prefix));
    }
    g_mutex_unlock(&engine_lock);
    standin_reply_json(exchange, 200, json_pack("{s:s, s:o}", "stream", stream, "prefixes", list));
}

void cache_import(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    size_t index;
    json_t *prefix;
    g_mutex_lock(&engine_lock);
    json_array_foreach(json_object_get(body, "prefixes"), index, prefix) {
        if (json_is_string(prefix))
            cache_touch(g_ascii_strtoull(json_string_value(prefix), NULL, 16));
    }
    g_mutex_unlock(&engine_lock);
    json_decref(body);
    standin_reply_json(exchange, 200, json_object());
}
