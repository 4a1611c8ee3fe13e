/**
 * @file list.h
 * @brief Intrusive doubly linked lists: an object is linked through a member of its own.
 *
 * An object is on at most one list per such member. Nothing is allocated, and removal takes
 * constant time. A zeroed item is not on a list; a list must be initialized. Misuse is caught by
 * assertions. Not thread-safe.
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
    wb_list_item_t ring; /**< sentinel before the first and after the last item */
    unsigned len;
} wb_list_t;

/** The object that contains an item. */
#define WB_LIST_OF(item, type, member) ((type *)(void *)((char *)(item)-offsetof(type, member)))

/** Iterate over all items. The current item must not be removed: see WB_LIST_EACH_SAFE. */
#define WB_LIST_EACH(item, list)                                                                   \
    for (wb_list_item_t *item = (list)->ring.next; item != &(list)->ring; item = item->next)

/** Iterate over all items; the current item may be removed. */
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

/** Insert an item before another one, or at the end if `place` is the list's ring. */
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

/** @return the first item, without removing it; NULL if the list is empty */
static inline wb_list_item_t *wb_list_first(const wb_list_t *list) {
    return list->len > 0 ? list->ring.next : NULL;
}

/** Remove the first item. @return the item; NULL if the list is empty */
static inline wb_list_item_t *wb_list_pop(wb_list_t *list) {
    wb_list_item_t *first = wb_list_first(list);
    if (first != NULL) {
        wb_list_remove(list, first);
    }
    return first;
}

#endif
