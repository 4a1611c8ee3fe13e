/* Passes bytes between two sockets, with the faults that were asked for. */
#include "relay.h"

#include <apr_network_io.h>
#include <apr_pools.h>
#include <string.h>

#define PIECE_BYTES 16384

struct relay_t {
    wb_loop_t *loop;
    char *target;
    apr_pool_t *pool;
    apr_socket_t *socket;
    relay_fault_t fault;
    GPtrArray *pairs;
    char **blocked; /* IPs whose connections are refused; may be NULL */
};

/* A piece that waits for its time or for a socket. */
typedef struct piece_t {
    int64_t due_ms;
    gsize length;
    gsize sent;
    char data[];
} piece_t;

typedef struct pair_t pair_t;

/* One direction of a connection. */
typedef struct flow_t {
    pair_t *pair;
    apr_socket_t *from;
    apr_socket_t *to;
    wb_watch_t *watch; /* on `from` */
    GQueue pieces;
    int64_t passed; /* bytes */
    gboolean ended; /* `from` has closed its side */
    gboolean is_answer;
} flow_t;

/* A connection through the relay. */
struct pair_t {
    relay_t *relay;
    apr_pool_t *pool;
    flow_t request;
    flow_t answer;
    wb_timer_t *timer;
    relay_fault_t fault; /* this connection's, when it is counted */
    gboolean counted;
    gboolean closing;
};

int relay_fault_kind_parse(const char *name) {
    static const char *const names[] = {"pass",       "delay",          "cut",
                                        "freeze",     "drop_answer",    "cut_request",
                                        "cut_answer", "freeze_request", "freeze_answer"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
        if (strcmp(names[i], name) == 0)
            return (int)i;
    return -1;
}

static const relay_fault_t *pair_fault(const pair_t *pair) {
    return pair->counted ? &pair->fault : &pair->relay->fault;
}

static void pair_close(pair_t *pair) {
    wb_watch_remove(pair->request.watch);
    wb_watch_remove(pair->answer.watch);
    wb_timer_cancel(pair->timer);
    apr_socket_close(pair->request.from);
    apr_socket_close(pair->request.to);
    g_queue_clear_full(&pair->request.pieces, g_free);
    g_queue_clear_full(&pair->answer.pieces, g_free);
    g_ptr_array_remove_fast(pair->relay->pairs, pair);
    apr_pool_destroy(pair->pool);
    g_free(pair);
}

/* Sends what is due. Returns FALSE when the connection must be closed. */
static gboolean flow_send(flow_t *flow) {
    piece_t *piece;
    while ((piece = g_queue_peek_head(&flow->pieces)) != NULL && piece->due_ms <= wb_clock_ms()) {
        apr_size_t length = piece->length - piece->sent;
        apr_status_t status = apr_socket_send(flow->to, piece->data + piece->sent, &length);
        piece->sent += length;
        flow->passed += (int64_t)length;
        if (piece->sent < piece->length)
            return APR_STATUS_IS_EAGAIN(status) || status == APR_SUCCESS;
        g_free(g_queue_pop_head(&flow->pieces));
    }
    if (flow->ended && flow->pieces.length == 0)
        apr_socket_shutdown(flow->to, APR_SHUTDOWN_WRITE);
    return TRUE;
}

static gboolean flow_is_frozen(const flow_t *flow) {
    relay_fault_kind_t kind = pair_fault(flow->pair)->kind;
    return kind == RELAY_FREEZE ||
           kind == (flow->is_answer ? RELAY_FREEZE_ANSWER : RELAY_FREEZE_REQUEST);
}

/* How much of a piece may pass. Sets `close` when the connection ends behind it. */
static gsize fault_limit(const flow_t *flow, gsize length, gboolean *close) {
    const relay_fault_t *fault = pair_fault(flow->pair);
    gboolean here = (fault->kind == RELAY_CUT_REQUEST && !flow->is_answer) ||
                    (fault->kind == RELAY_CUT_ANSWER && flow->is_answer);
    if (fault->kind == RELAY_DROP_ANSWER && flow->is_answer) {
        *close = TRUE;
        return 0;
    }
    if (!here || flow->passed + (int64_t)length < fault->bytes)
        return length;
    *close = TRUE;
    return (gsize)MAX(fault->bytes - flow->passed, 0);
}

static void piece_queue(flow_t *flow, const char *data, gsize length) {
    const relay_fault_t *fault = pair_fault(flow->pair);
    piece_t *piece = g_malloc(sizeof(piece_t) + length);
    piece->due_ms = wb_clock_ms() + (fault->kind == RELAY_DELAY ? fault->delay_ms : 0);
    piece->length = length;
    piece->sent = 0;
    memcpy(piece->data, data, length);
    g_queue_push_tail(&flow->pieces, piece);
}

static void flow_ready(int16_t events, void *context) {
    (void)events;
    flow_t *flow = context;
    pair_t *pair = flow->pair;
    if (flow_is_frozen(flow)) {
        wb_watch_set_events(flow->watch, 0);
        return;
    }
    char data[PIECE_BYTES];
    apr_size_t length = sizeof(data);
    apr_status_t status = apr_socket_recv(flow->from, data, &length);
    gboolean close = FALSE;
    if (length > 0) {
        gsize passing = fault_limit(flow, length, &close);
        if (passing > 0)
            piece_queue(flow, data, passing);
    } else if (APR_STATUS_IS_EOF(status)) {
        flow->ended = TRUE;
        wb_watch_set_events(flow->watch, 0);
    } else if (!APR_STATUS_IS_EAGAIN(status))
        close = TRUE;
    if (!flow_send(flow) || close ||
        (pair->request.ended && pair->answer.ended && pair->answer.pieces.length == 0))
        pair_close(pair);
}

/* Takes up reading again after a freeze, and sends what is due. Returns FALSE when that failed. */
static gboolean flow_tick(flow_t *flow) {
    if (flow_is_frozen(flow)) {
        return TRUE;
    }
    if (!flow->ended) {
        wb_watch_set_events(flow->watch, APR_POLLIN);
    }
    return flow_send(flow);
}

/* Sends what was late or didn't fit. */
static void pair_tick(void *context) {
    pair_t *pair = context;
    gboolean fine = flow_tick(&pair->request) && flow_tick(&pair->answer);
    if (!fine || (pair->request.ended && pair->answer.ended && pair->request.pieces.length == 0 &&
                  pair->answer.pieces.length == 0))
        pair_close(pair);
}

static void flow_begin(flow_t *flow, pair_t *pair, apr_socket_t *from, apr_socket_t *to,
                       gboolean is_answer) {
    flow->pair = pair;
    flow->from = from;
    flow->to = to;
    flow->is_answer = is_answer;
    g_queue_init(&flow->pieces);
    flow->watch = wb_loop_watch(pair->relay->loop, from, APR_POLLIN, flow_ready, flow);
}

static apr_status_t target_connect(relay_t *relay, apr_pool_t *pool, apr_socket_t **socket) {
    char *host = NULL;
    char *scope = NULL;
    apr_port_t port = 0;
    apr_sockaddr_t *address;
    apr_status_t status = apr_parse_addr_port(&host, &scope, &port, relay->target, pool);
    if (status == APR_SUCCESS)
        status = apr_sockaddr_info_get(&address, host, APR_INET, port, 0, pool);
    if (status == APR_SUCCESS)
        status = apr_socket_create(socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
    if (status == APR_SUCCESS) /* on this machine it is immediate */
        status = apr_socket_connect(*socket, address);
    return status;
}

static void socket_prepare(apr_socket_t *socket) {
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    apr_socket_timeout_set(socket, 0);
}

static void fault_count(pair_t *pair) {
    relay_fault_t *fault = &pair->relay->fault;
    if (fault->times <= 0)
        return;
    pair->counted = TRUE;
    pair->fault = *fault;
    if (--fault->times == 0)
        *fault = (relay_fault_t){RELAY_PASS, 0, 0, 0};
}

static gboolean is_blocked(const relay_t *relay, apr_socket_t *caller) {
    apr_sockaddr_t *address;
    char host[64] = "";
    if (relay->blocked == NULL ||
        apr_socket_addr_get(&address, APR_REMOTE, caller) != APR_SUCCESS ||
        apr_sockaddr_ip_getbuf(host, sizeof(host), address) != APR_SUCCESS)
        return FALSE;
    return g_strv_contains((const char *const *)relay->blocked, host);
}

static void relay_accept(int16_t events, void *context) {
    (void)events;
    relay_t *relay = context;
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_socket_t *caller, *target;
    if (apr_socket_accept(&caller, relay->socket, pool) != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return;
    }
    if (relay->fault.kind == RELAY_CUT || is_blocked(relay, caller) ||
        target_connect(relay, pool, &target) != APR_SUCCESS) {
        apr_socket_close(caller);
        apr_pool_destroy(pool);
        return;
    }
    socket_prepare(caller);
    socket_prepare(target);
    pair_t *pair = g_new0(pair_t, 1);
    pair->relay = relay;
    pair->pool = pool;
    fault_count(pair);
    flow_begin(&pair->request, pair, caller, target, FALSE);
    flow_begin(&pair->answer, pair, target, caller, TRUE);
    pair->timer = wb_loop_every(relay->loop, 10, pair_tick, pair);
    g_ptr_array_add(relay->pairs, pair);
}

apr_status_t relay_open(wb_loop_t *loop, const char *listen, const char *target, relay_t **relay,
                        wb_error_t *error) {
    relay_t *created = g_new0(relay_t, 1);
    created->loop = loop;
    created->target = g_strdup(target);
    created->pairs = g_ptr_array_new();
    apr_pool_create(&created->pool, NULL);
    char *host = NULL;
    char *scope = NULL;
    apr_port_t port = 0;
    apr_sockaddr_t *address;
    apr_status_t status = apr_parse_addr_port(&host, &scope, &port, listen, created->pool);
    if (status == APR_SUCCESS)
        status = apr_sockaddr_info_get(&address, host, APR_INET, port, 0, created->pool);
    if (status == APR_SUCCESS)
        status = apr_socket_create(&created->socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
                                   created->pool);
    if (status == APR_SUCCESS) {
        apr_socket_opt_set(created->socket, APR_SO_REUSEADDR, 1);
        socket_prepare(created->socket);
        status = apr_socket_bind(created->socket, address);
    }
    if (status == APR_SUCCESS)
        status = apr_socket_listen(created->socket, 128);
    if (status != APR_SUCCESS)
        return wb_error_set(error, status, "can't relay from %s to %s", listen, target);
    wb_loop_watch(loop, created->socket, APR_POLLIN, relay_accept, created);
    *relay = created;
    return APR_SUCCESS;
}

typedef struct fault_change_t {
    relay_t *relay;
    relay_fault_t fault;
} fault_change_t;

static void fault_change(void *context) {
    fault_change_t *change = context;
    relay_t *relay = change->relay;
    relay->fault = change->fault;
    while (relay->fault.kind == RELAY_CUT && relay->pairs->len > 0)
        pair_close(relay->pairs->pdata[0]);
    g_free(change);
}

typedef struct blocked_change_t {
    relay_t *relay;
    char **hosts;
} blocked_change_t;

static void blocked_change(void *context) {
    blocked_change_t *change = context;
    relay_t *relay = change->relay;
    g_strfreev(relay->blocked);
    relay->blocked = change->hosts;
    for (guint i = relay->pairs->len; i-- > 0;) {
        pair_t *pair = relay->pairs->pdata[i];
        if (is_blocked(relay, pair->request.from))
            pair_close(pair);
    }
    g_free(change);
}

void relay_set_blocked(relay_t *relay, const char *hosts) {
    blocked_change_t *change = g_new(blocked_change_t, 1);
    change->relay = relay;
    change->hosts = g_strsplit(hosts, ",", -1);
    wb_loop_post(relay->loop, blocked_change, change);
}

void relay_set_fault(relay_t *relay, const relay_fault_t *fault) {
    fault_change_t *change = g_new(fault_change_t, 1);
    change->relay = relay;
    change->fault = *fault;
    wb_loop_post(relay->loop, fault_change, change);
}
