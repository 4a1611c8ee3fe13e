/* Weighted fair queueing of items over owners (start-time fair queueing); see fair_queue.h. Tags
 * and virtual time are in units of cost / share. No errors, no locks. */
#include "wickbridge/fair_queue.h"

#include <string.h>

typedef struct queue_item_t {
    gpointer item;
    double cost; /* 0 for an item that was put back: its cost is charged already */
} queue_item_t;

typedef struct queue_owner_t {
    char *name;
    GQueue items;
    double share;
    double tag; /* start tag of the owner's next item */
} queue_owner_t;

struct wb_fair_queue_t {
    GHashTable *owners;
    double virtual_time; /* start tag of the last item taken */
    guint length;
};

static void owner_free(gpointer data) {
    queue_owner_t *owner = data;
    g_queue_clear_full(&owner->items, g_free);
    g_free(owner->name);
    g_free(owner);
}

wb_fair_queue_t *wb_fair_queue_create(void) {
    wb_fair_queue_t *queue = g_new0(wb_fair_queue_t, 1);
    queue->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
    return queue;
}

void wb_fair_queue_free(wb_fair_queue_t *queue) {
    g_hash_table_unref(queue->owners);
    g_free(queue);
}

static queue_owner_t *owner_get(wb_fair_queue_t *queue, const char *name, double share) {
    queue_owner_t *owner = g_hash_table_lookup(queue->owners, name);
    if (owner == NULL) {
        owner = g_new0(queue_owner_t, 1);
        owner->name = g_strdup(name);
        g_queue_init(&owner->items);
        g_hash_table_insert(queue->owners, owner->name, owner);
    }
    owner->share = share;
    return owner;
}

void wb_fair_queue_push(wb_fair_queue_t *queue, const char *name, double share, double cost,
                        gpointer item) {
    queue_owner_t *owner = owner_get(queue, name, share);
    if (owner->items.length == 0)
        owner->tag = MAX(owner->tag, queue->virtual_time);
    queue_item_t *entry = g_new(queue_item_t, 1);
    entry->item = item;
    entry->cost = cost;
    g_queue_push_tail(&owner->items, entry);
    queue->length++;
}

void wb_fair_queue_push_front(wb_fair_queue_t *queue, const char *name, double share,
                              gpointer item) {
    queue_owner_t *owner = owner_get(queue, name, share);
    queue_item_t *entry = g_new(queue_item_t, 1);
    entry->item = item;
    entry->cost = 0.0;
    g_queue_push_head(&owner->items, entry);
    queue->length++;
}

static queue_owner_t *owner_next(const wb_fair_queue_t *queue) {
    queue_owner_t *best = NULL;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, queue->owners);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        queue_owner_t *owner = value;
        if (owner->items.length == 0)
            continue;
        if (best == NULL || owner->tag < best->tag ||
            (owner->tag == best->tag && strcmp(owner->name, best->name) < 0))
            best = owner;
    }
    return best;
}

gpointer wb_fair_queue_pop(wb_fair_queue_t *queue) {
    queue_owner_t *owner = owner_next(queue);
    if (owner == NULL)
        return NULL;
    queue_item_t *entry = g_queue_pop_head(&owner->items);
    gpointer item = entry->item;
    queue->virtual_time = MAX(queue->virtual_time, owner->tag);
    owner->tag += entry->cost / owner->share;
    g_free(entry);
    queue->length--;
    return item;
}

guint wb_fair_queue_length(const wb_fair_queue_t *queue) {
    return queue->length;
}

void wb_fair_queue_each(const wb_fair_queue_t *queue,
                        void (*visit)(gpointer item, gpointer context), gpointer context) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, queue->owners);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const queue_owner_t *owner = value;
        for (GList *position = owner->items.head; position != NULL; position = position->next)
            visit(((queue_item_t *)position->data)->item, context);
    }
}

void wb_fair_queue_remove(wb_fair_queue_t *queue, gboolean (*test)(gpointer item, gpointer context),
                          gpointer context) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, queue->owners);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        queue_owner_t *owner = value;
        GList *position = owner->items.head;
        while (position != NULL) {
            GList *next = position->next;
            queue_item_t *entry = position->data;
            if (test(entry->item, context)) {
                g_queue_delete_link(&owner->items, position);
                g_free(entry);
                queue->length--;
            }
            position = next;
        }
    }
}
