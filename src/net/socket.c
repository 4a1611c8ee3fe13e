/* TCP sockets by numeric address. */
#include "net/socket.h"

#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_strings.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 3

/* Parses IP:PORT. apr_parse_addr_port rejects port 0, which means any free port. */
static apr_status_t address_parse(const char *address, apr_pool_t *pool, apr_sockaddr_t **result) {
    int port = wb_address_port(address);
    if (port < 0)
        return APR_EINVAL;
    const char *host = apr_pstrndup(pool, address, (apr_size_t)(strrchr(address, ':') - address));
    return apr_sockaddr_info_get(result, host, APR_INET, (apr_port_t)port, 0, pool);
}

apr_status_t wb_socket_open(const char *address, apr_pool_t *pool, apr_sockaddr_t **target,
                            apr_socket_t **socket, wb_error_t *error) {
    apr_status_t status = address_parse(address, pool, target);
    if (status == APR_SUCCESS)
        status = apr_socket_create(socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
    if (status != APR_SUCCESS)
        return wb_error_set(error, status, "can't open a socket to connect to '%s'", address);
    return APR_SUCCESS;
}

apr_status_t wb_socket_listen(const char *address, apr_pool_t *pool, apr_socket_t **socket,
                              wb_error_t *error) {
    apr_sockaddr_t *local;
    apr_status_t status = address_parse(address, pool, &local);
    if (status == APR_SUCCESS)
        status = apr_socket_create(socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
    if (status == APR_SUCCESS) {
        apr_socket_opt_set(*socket, APR_SO_REUSEADDR, 1);
        apr_socket_opt_set(*socket, APR_SO_NONBLOCK, 1);
        apr_socket_timeout_set(*socket, 0);
        status = apr_socket_bind(*socket, local);
    }
    if (status == APR_SUCCESS)
        status = apr_socket_listen(*socket, LISTEN_BACKLOG);
    if (status != APR_SUCCESS)
        return wb_error_set(error, status, "can't listen on %s", address);
    return APR_SUCCESS;
}

void wb_socket_bind_host(apr_socket_t *socket, const char *host, apr_pool_t *pool) {
    apr_sockaddr_t *local;
    if (host == NULL || *host == '\0')
        return;
    if (apr_sockaddr_info_get(&local, host, APR_INET, 0, 0, pool) != APR_SUCCESS ||
        apr_socket_bind(socket, local) != APR_SUCCESS)
        wb_log_warning(WB_LOG_LINK, "Can't bind a connection to local address %s; using any.",
                       host);
}

void wb_socket_set_silence_limit(apr_socket_t *socket, int64_t limit_ms) {
    int descriptor;
    unsigned limit = (unsigned)limit_ms;
    int on = 1;
    int idle_s = PROBE_IDLE_S;
    int interval_s = PROBE_INTERVAL_S;
    int probes = PROBE_COUNT;
    apr_os_sock_get(&descriptor, socket);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

int wb_socket_connect_failure(apr_socket_t *socket, int16_t events) {
    int failure = 0;
    socklen_t size = sizeof(failure);
    int descriptor;
    apr_os_sock_get(&descriptor, socket);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure == 0 && (events & (APR_POLLERR | APR_POLLHUP)))
        failure = ENOTCONN;
    return failure;
}

unsigned wb_socket_port(apr_socket_t *socket) {
    apr_sockaddr_t *local;
    if (apr_socket_addr_get(&local, APR_LOCAL, socket) != APR_SUCCESS)
        return 0;
    return local->port;
}
