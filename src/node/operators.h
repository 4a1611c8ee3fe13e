/* The operators' HTTP interface of a node: configuration, status, explain, metrics and health
 * checks. Errors are HTTP statuses with a JSON body. */
#ifndef WICKBRIDGE_OPERATORS_H
#define WICKBRIDGE_OPERATORS_H

#include "wickbridge/http_server.h"
#include "wickbridge/node.h"

/* Context of wb_operators_handle. Must outlive the server. */
typedef struct wb_operators_t {
    wb_node_t *node;
    wb_loop_t *loop;
} wb_operators_t;

/* Handler for wb_http_server. Called on an HTTP thread; responds from the loop's thread. */
void wb_operators_handle(wb_http_exchange_t *exchange, void *context);

/* Returns the metrics in the Prometheus text format, to be freed. On the loop's thread. */
GString *wb_metrics_write(wb_node_t *node);

#endif
