/**
 * @file relay.h
 * @brief TCP relays of the fault-injecting proxy: each listens on one address and forwards to
 * another.
 *
 * Times are in ms. A relay lives as long as its loop's process. relay_open runs before the loop
 * starts or on its thread; the setters may be called from any thread and post to the loop.
 */
#ifndef WICKBRIDGE_STANDIN_RELAY_H
#define WICKBRIDGE_STANDIN_RELAY_H

#include "wickbridge/loop.h"

#include <glib.h>

typedef enum relay_fault_kind_t {
    RELAY_PASS,
    RELAY_DELAY,           /**< each chunk is forwarded `delay_ms` late */
    RELAY_CUT,             /**< open connections are closed, new ones closed at once */
    RELAY_FREEZE,          /**< connections stay open, nothing is forwarded */
    RELAY_DROP_RESPONSE,   /**< the request is forwarded; the first byte of the response closes the
                              connection */
    RELAY_CUT_REQUEST,     /**< closed after `bytes` of the request were forwarded */
    RELAY_CUT_RESPONSE,    /**< closed after `bytes` of the response were forwarded */
    RELAY_FREEZE_REQUEST,  /**< open, but nothing is forwarded to the target */
    RELAY_FREEZE_RESPONSE, /**< open, but nothing is forwarded to the client */
    RELAY_CUT_UNFRAMED     /**< a response names no length, and ends with its connection, after
                              `bytes` at most */
} relay_fault_kind_t;

typedef struct relay_fault_t {
    relay_fault_kind_t kind;
    int64_t delay_ms;
    int64_t bytes;
    int64_t times; /**< number of new connections affected, after which the fault ends; 0: all
                      connections */
} relay_fault_t;

typedef struct relay_t relay_t;

/** @return the kind with this name on the control interface, or -1 */
int relay_fault_kind_parse(const char *name);

/** Listen on one address and forward each connection to the target. @return APR_SUCCESS, or an
 * error when the address is malformed or can't be bound */
apr_status_t relay_open(wb_loop_t *loop, const char *listen, const char *target, relay_t **relay,
                        wb_error_t *error);

/** Close connections from these IPs (separated by commas), open and new ones. Any thread. */
void relay_set_blocked(relay_t *relay, const char *hosts);

/** How hosts are cut off from a relay. */
typedef enum relay_partition_t {
    RELAY_PARTITION_SILENT, /**< open connections hang, and so do attempts to connect */
    RELAY_PARTITION_RESET,  /**< open connections are reset, attempts to connect hang */
    RELAY_PARTITION_NEW     /**< open connections live on, attempts to connect hang */
} relay_partition_t;

/** @return the partition with this name ("silent", "reset", "new") on the control interface, or -1
 */
int relay_partition_parse(const char *name);

/** Cut these IPs (separated by commas) off from the relay, and no others; in effect on return. Any
 * thread but the loop's. */
void relay_set_partition(relay_t *relay, const char *hosts, relay_partition_t how);

/** Limit the bytes per second that pass in each direction, over all connections; 0: no limit. Any
 * thread. */
void relay_set_rate(relay_t *relay, int64_t bytes_per_s);

/** Set the fault. It affects open connections too, but for those that count against the `times` of
 * an earlier fault. Any thread. */
void relay_set_fault(relay_t *relay, const relay_fault_t *fault);

#endif
