/**
 * @file socket.h
 * @brief TCP sockets by numeric address, for links between nodes and for plain streams alike.
 */
#ifndef WICKBRIDGE_SOCKET_H
#define WICKBRIDGE_SOCKET_H

#include "wickbridge/error.h"

#include <apr_network_io.h>
#include <glib.h>
#include <stdint.h>

/** Create a socket to connect with. @param target out: where to connect to */
apr_status_t wb_socket_open(const char *address, apr_pool_t *pool, apr_sockaddr_t **target,
                            apr_socket_t **socket, wb_error_t *error);
/** Create a non-blocking socket that listens. @param address IP:PORT; port 0 picks any free one */
apr_status_t wb_socket_listen(const char *address, apr_pool_t *pool, apr_socket_t **socket,
                              wb_error_t *error);
/** Let a connection end when the peer acknowledges nothing for so long, or is gone while nothing is
 * sent. */
void wb_socket_limit_silence(apr_socket_t *socket, int64_t limit_ms);
/** @param events what the loop told of a socket that connects. @return 0 when it is connected, else
 * an errno; ENOTCONN when the reason was told before */
int wb_socket_connect_failure(apr_socket_t *socket, int16_t events);
/** @return the port that a socket is bound to, or 0 */
unsigned wb_socket_port(apr_socket_t *socket);

#endif
