/**
 * @file acceptor.h
 * @brief Takes TCP connections on a loop, for links between nodes and for plain streams alike.
 */
#ifndef WICKBRIDGE_ACCEPTOR_H
#define WICKBRIDGE_ACCEPTOR_H

#include "wickbridge/error.h"
#include "wickbridge/loop.h"

#include <apr_network_io.h>

typedef struct wb_acceptor_t wb_acceptor_t;

/** A connection came. The receiver owns the socket and its pool. */
typedef void (*wb_acceptor_fn)(apr_socket_t *socket, apr_pool_t *pool, void *context);

/** Listen and take connections. @param address IP:PORT; port 0 picks any free one */
apr_status_t wb_acceptor_open(wb_loop_t *loop, const char *address, wb_acceptor_fn on_accept,
                              void *context, wb_acceptor_t **acceptor, wb_error_t *error);
/** @return the port that is listened on, or 0 */
unsigned wb_acceptor_port(const wb_acceptor_t *acceptor);
/** Stop listening and free. */
void wb_acceptor_close(wb_acceptor_t *acceptor);

#endif
