/**
 * @file relay.h
 * @brief Relays of the fault-injecting proxy: each listens on one address and passes to another.
 *
 * Threads: everything on the loop's thread, but relay_set_fault, which posts to it.
 */
#ifndef WICKBRIDGE_STANDIN_RELAY_H
#define WICKBRIDGE_STANDIN_RELAY_H

#include "wickbridge/loop.h"

#include <glib.h>

typedef enum relay_fault_kind_t {
    RELAY_PASS,
    RELAY_DELAY,          /**< each piece is passed `delay_ms` late */
    RELAY_CUT,            /**< open connections are closed, new ones at once */
    RELAY_FREEZE,         /**< connections stay open and carry nothing */
    RELAY_DROP_ANSWER,    /**< the request passes; the answer's first byte closes the connection */
    RELAY_CUT_REQUEST,    /**< closed after `bytes` of the request have passed */
    RELAY_CUT_ANSWER,     /**< closed after `bytes` of the answer have passed */
    RELAY_FREEZE_REQUEST, /**< open, but nothing passes towards the target */
    RELAY_FREEZE_ANSWER   /**< open, but nothing passes back */
} relay_fault_kind_t;

typedef struct relay_fault_t {
    relay_fault_kind_t kind;
    int64_t delay_ms;
    int64_t bytes;
    int64_t times; /**< so many connections are hit, then it passes again; 0: no limit */
} relay_fault_t;

typedef struct relay_t relay_t;

/** @return the kind with this name, or -1 */
int relay_fault_kind_parse(const char *name);

apr_status_t relay_open(wb_loop_t *loop, const char *listen, const char *target, relay_t **relay,
                        wb_error_t *error);

/** Refuse connections from these IPs (with commas between), and close open ones; any thread. */
void relay_set_blocked(relay_t *relay, const char *hosts);

/** Change what happens, from any thread. */
void relay_set_fault(relay_t *relay, const relay_fault_t *fault);

#endif
