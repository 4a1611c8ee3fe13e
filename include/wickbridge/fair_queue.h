/**
 * @file fair_queue.h
 * @brief Weighted fair queueing over owners.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng 1996): each owner's next item has a start tag, and
 * the item with the lowest tag is next. The tag of an owner advances by cost / share per item; an
 * owner that was idle starts at the queue's virtual time, so it can't accumulate credit.
 *
 * Pure: no clock, socket or lock. Costs and shares have no unit. The functions can't fail.
 */
#ifndef WICKBRIDGE_FAIR_QUEUE_H
#define WICKBRIDGE_FAIR_QUEUE_H

#include <glib.h>

typedef struct wb_fair_queue_t wb_fair_queue_t;

wb_fair_queue_t *wb_fair_queue_create(void);
/** Free an empty queue; items left in it are not freed. */
void wb_fair_queue_free(wb_fair_queue_t *queue);

/** Append an item to its owner's items. @param share the owner's share, > 0 */
void wb_fair_queue_push(wb_fair_queue_t *queue, const char *owner, double share, double cost,
                        gpointer item);
/** Put an item back in front of its owner's items, without charging its cost again. */
void wb_fair_queue_push_front(wb_fair_queue_t *queue, const char *owner, double share,
                              gpointer item);
/** Remove the next item. @return the item, or NULL if the queue is empty */
gpointer wb_fair_queue_pop(wb_fair_queue_t *queue);
guint wb_fair_queue_length(const wb_fair_queue_t *queue);

/** Call a function for each item, grouped by owner. */
void wb_fair_queue_each(const wb_fair_queue_t *queue,
                        void (*visit)(gpointer item, gpointer context), gpointer context);

/** Remove the items for which `test` returns TRUE; it is called grouped by owner. */
void wb_fair_queue_remove(wb_fair_queue_t *queue, gboolean (*test)(gpointer item, gpointer context),
                          gpointer context);

#endif
