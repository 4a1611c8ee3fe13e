/**
 * @file fair_queue.h
 * @brief Weighted fair queueing over owners.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng 1996): each owner's next item carries a start tag;
 * the lowest tag goes first. An owner that was idle starts at the queue's virtual time, so it can't
 * save up a claim; a busy one falls behind by cost / share.
 * Pure: no clock, socket or lock inside.
 */
#ifndef WICKBRIDGE_FAIR_QUEUE_H
#define WICKBRIDGE_FAIR_QUEUE_H

#include <glib.h>

typedef struct wb_fair_queue_t wb_fair_queue_t;

wb_fair_queue_t *wb_fair_queue_create(void);
/** Free an empty queue; items left in it are not freed. */
void wb_fair_queue_free(wb_fair_queue_t *queue);

/** Add an item behind the owner's others. @param share its owner's share, > 0 */
void wb_fair_queue_push(wb_fair_queue_t *queue, const char *owner, double share, double cost,
                        gpointer item);
/** Put an item back in front of its owner's others; it pays nothing again. */
void wb_fair_queue_push_front(wb_fair_queue_t *queue, const char *owner, double share,
                              gpointer item);
/** @return the next item, or NULL */
gpointer wb_fair_queue_pop(wb_fair_queue_t *queue);
guint wb_fair_queue_length(const wb_fair_queue_t *queue);

/** Call a function for each item, in order of their owners. */
void wb_fair_queue_each(const wb_fair_queue_t *queue,
                        void (*visit)(gpointer item, gpointer context), gpointer context);

/** Remove the items for which `test` is true, in order of their owners. */
void wb_fair_queue_remove(wb_fair_queue_t *queue, gboolean (*test)(gpointer item, gpointer context),
                          gpointer context);

#endif
