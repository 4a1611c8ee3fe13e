/* The operators' interface of a node: configuration, status, explanations, metrics, health. */
#ifndef WICKBRIDGE_OPERATORS_H
#define WICKBRIDGE_OPERATORS_H

#include "wickbridge/http_server.h"
#include "wickbridge/node.h"

/* Context of the handler below. */
typedef struct wb_operators_t {
    wb_node_t *node;
    wb_loop_t *loop;
} wb_operators_t;

/* A handler for wb_http_server; the work is done on the loop's thread. */
void wb_operators_handle(wb_http_exchange_t *exchange, void *context);

/* Metrics in the Prometheus text format. On the loop's thread. */
GString *wb_metrics_write(wb_node_t *node);

#endif
