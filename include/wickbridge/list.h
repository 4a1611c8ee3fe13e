/**
 * @file list.h
 * @brief Intrusive doubly linked lists: an object is linked by a member of its own.
 *
 * An object is on at most one list by each such member. Nothing is allocated, and taking an object
 * out needs no search. A zeroed item is not on a list; a list must be initialized.
 *
 *     typedef struct job_t { wb_list_item_t queued; int number; } job_t;
 *     wb_list_t jobs;
 *     wb_list_init(&jobs);
 *     wb_list_add_tail(&jobs, &job->queued);
 *     WB_LIST_EACH(item, &jobs) {
 *         job_t *job = WB_LIST_OF(item, job_t, queued);
 *     }
 */
#ifndef WICKBRIDGE_LIST_H
#define WICKBRIDGE_LIST_H

#include <glib.h>
#include <stddef.h>

typedef struct wb_list_item_t {
    struct wb_list_item_t *prev; /**< NULL: not on a list */
    struct wb_list_item_t *next;
} wb_list_item_t;

typedef struct wb_list_t {
    wb_list_item_t ring; /**< stands before the first and behind the last item */
    unsigned len;
} wb_list_t;

/** The object that an item is a member of. */
#define WB_LIST_OF(item, type, member) ((type *)(void *)((char *)(item)-offsetof(type, member)))

/** Visit all items, first to last. The visited one must not be taken out: see WB_LIST_EACH_SAFE. */
#define WB_LIST_EACH(item, list)                                                                   \
    for (wb_list_item_t *item = (list)->ring.next; item != &(list)->ring; item = item->next)

/** The same, where the visited item may be taken out. */
#define WB_LIST_EACH_SAFE(item, list)                                                              \
    for (wb_list_item_t *item = (list)->ring.next, *item##_next = item->next;                      \
         item != &(list)->ring; item = item##_next, item##_next = item->next)

static inline void wb_list_init(wb_list_t *list) {
    list->ring.prev = &list->ring;
    list->ring.next = &list->ring;
    list->len = 0;
}

static inline gboolean wb_list_is_linked(const wb_list_item_t *item) {
    return item->next != NULL;
}

/** Put an item before another one; before the ring it is the last. */
static inline void wb_list_add_before(wb_list_t *list, wb_list_item_t *place,
                                      wb_list_item_t *item) {
    g_assert(!wb_list_is_linked(item));
    item->prev = place->prev;
    item->next = place;
    place->prev->next = item;
    place->prev = item;
    list->len++;
}

static inline void wb_list_add_tail(wb_list_t *list, wb_list_item_t *item) {
    wb_list_add_before(list, &list->ring, item);
}

static inline void wb_list_add_head(wb_list_t *list, wb_list_item_t *item) {
    wb_list_add_before(list, list->ring.next, item);
}

static inline void wb_list_remove(wb_list_t *list, wb_list_item_t *item) {
    g_assert(wb_list_is_linked(item) && list->len > 0);
    item->prev->next = item->next;
    item->next->prev = item->prev;
    item->prev = NULL;
    item->next = NULL;
    list->len--;
}

/** @return the first item, which stays; NULL when there is none */
static inline wb_list_item_t *wb_list_first(const wb_list_t *list) {
    return list->len > 0 ? list->ring.next : NULL;
}

/** Take the first item out. @return NULL when there is none */
static inline wb_list_item_t *wb_list_pop(wb_list_t *list) {
    wb_list_item_t *first = wb_list_first(list);
    if (first != NULL) {
        wb_list_remove(list, first);
    }
    return first;
}

#endif
