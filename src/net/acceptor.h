/**
 * @file acceptor.h
 * @brief Accepts TCP connections on a loop; used by links between nodes and by TCP streams.
 *
 * Errors: wb_acceptor_open returns the status of the call that failed, with a message.
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_ACCEPTOR_H
#define WICKBRIDGE_ACCEPTOR_H

#include "wickbridge/error.h"
#include "wickbridge/loop.h"

#include <apr_network_io.h>

typedef struct wb_acceptor_t wb_acceptor_t;

/** Called for each accepted connection. The callee owns the socket and its pool. */
typedef void (*wb_acceptor_fn)(apr_socket_t *socket, apr_pool_t *pool, void *context);

/** Listen and accept connections. @param address IP:PORT; port 0 picks a free port */
apr_status_t wb_acceptor_open(wb_loop_t *loop, const char *address, wb_acceptor_fn on_accept,
                              void *context, wb_acceptor_t **acceptor, wb_error_t *error);
/** @return the listening port, or 0 when it can't be read */
unsigned wb_acceptor_port(const wb_acceptor_t *acceptor);
/** Stop listening and free. */
void wb_acceptor_close(wb_acceptor_t *acceptor);

#endif
