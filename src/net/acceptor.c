/* Accepts TCP connections on a loop. */
#include "net/acceptor.h"

#include "net/socket.h"

#include <apr_pools.h>
#include <glib.h>

#define ACCEPTS_PER_WAKEUP 32

struct wb_acceptor_t {
    apr_pool_t *pool;
    apr_socket_t *socket;
    wb_watch_t *watch;
    wb_acceptor_fn on_accept;
    void *context;
};

/* Accepts one pending connection. Returns FALSE when there is none. */
static gboolean connection_accept(wb_acceptor_t *acceptor) {
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_socket_t *socket;
    if (apr_socket_accept(&socket, acceptor->socket, pool) != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return FALSE;
    }
    acceptor->on_accept(socket, pool, acceptor->context);
    return TRUE;
}

static void acceptor_ready(int16_t events, void *context) {
    (void)events;
    wb_acceptor_t *acceptor = context;
    for (int i = 0; i < ACCEPTS_PER_WAKEUP; i++)
        if (!connection_accept(acceptor))
            return;
}

apr_status_t wb_acceptor_open(wb_loop_t *loop, const char *address, wb_acceptor_fn on_accept,
                              void *context, wb_acceptor_t **acceptor, wb_error_t *error) {
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_socket_t *socket;
    apr_status_t status = wb_socket_listen(address, pool, &socket, error);
    if (status != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return status;
    }
    wb_acceptor_t *created = g_new0(wb_acceptor_t, 1);
    created->pool = pool;
    created->socket = socket;
    created->on_accept = on_accept;
    created->context = context;
    created->watch = wb_loop_watch(loop, socket, APR_POLLIN, acceptor_ready, created);
    *acceptor = created;
    return APR_SUCCESS;
}

unsigned wb_acceptor_port(const wb_acceptor_t *acceptor) {
    return wb_socket_port(acceptor->socket);
}

void wb_acceptor_close(wb_acceptor_t *acceptor) {
    wb_watch_remove(acceptor->watch);
    apr_socket_close(acceptor->socket);
    apr_pool_destroy(acceptor->pool);
    g_free(acceptor);
}
