/**
 * @file socket_filter.h
 * @brief Packet filters on the proxy's own sockets: the system drops what hosts send, as a cut
 * network would, without an answer or an acknowledgement.
 *
 * Failures end the process: a test that relies on a cut must not go on without it.
 */
#ifndef WICKBRIDGE_STANDIN_SOCKET_FILTER_H
#define WICKBRIDGE_STANDIN_SOCKET_FILTER_H

#include <apr_network_io.h>

/** Drop all packets from these IPv4 addresses. On a listening socket their attempts to connect
 * hang.
 * @param hosts NULL-terminated; empty: pass everything again */
void socket_filter_hosts(apr_socket_t *socket, char **hosts);
/** Drop every packet that the socket's peer sends. */
void socket_filter_all(apr_socket_t *socket);
/** Pass everything again. */
void socket_filter_none(apr_socket_t *socket);

#endif
