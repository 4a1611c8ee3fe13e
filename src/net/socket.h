/**
 * @file socket.h
 * @brief TCP sockets by numeric address; used by links between nodes and by TCP streams.
 *
 * Addresses are IPv4, IP:PORT. Errors: functions that return apr_status_t give the status of the
 * call that failed, or APR_EINVAL for a malformed address, with a message.
 */
#ifndef WICKBRIDGE_SOCKET_H
#define WICKBRIDGE_SOCKET_H

#include "wickbridge/error.h"

#include <apr_network_io.h>
#include <glib.h>
#include <stdint.h>

/** Create an unconnected socket. @param target out: the parsed address, to connect to */
apr_status_t wb_socket_open(const char *address, apr_pool_t *pool, apr_sockaddr_t **target,
                            apr_socket_t **socket, wb_error_t *error);
/** Create a non-blocking listening socket. @param address IP:PORT; port 0 picks a free port */
apr_status_t wb_socket_listen(const char *address, apr_pool_t *pool, apr_socket_t **socket,
                              wb_error_t *error);
/** Bind the local end to an IP address. If that fails, a warning is logged and the system chooses
 * one. @param host NULL or "": the system chooses */
void wb_socket_bind_host(apr_socket_t *socket, const char *host, apr_pool_t *pool);
/** Make the system end a connection whose peer doesn't acknowledge sent bytes for `limit_ms`, or
 * doesn't answer keep-alive probes while the connection is idle. */
void wb_socket_set_silence_limit(apr_socket_t *socket, int64_t limit_ms);
/** Get the result of a non-blocking connect. @param events as the loop reported them @return 0 when
 * connected, else an errno; ENOTCONN when `events` show an error that the socket no longer reports
 */
int wb_socket_connect_failure(apr_socket_t *socket, int16_t events);
/** @return the local port, or 0 when it can't be read */
unsigned wb_socket_port(apr_socket_t *socket);

#endif
