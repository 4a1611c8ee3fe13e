/* Forwards bytes between two sockets, subject to the relay's fault. */
#include "relay.h"

#include "socket_filter.h"

#include <apr_network_io.h>
#include <apr_pools.h>
#include <apr_portable.h>
#include <string.h>
#include <sys/socket.h>

#define CHUNK_BYTES 16384
/* Bytes that wait for a link of limited rate, by the time that they take. */
#define LINK_QUEUE_US 50000

struct relay_t {
    wb_loop_t *loop;
    char *target;
    apr_pool_t *pool;
    apr_socket_t *socket;
    relay_fault_t fault;
    int64_t bytes_per_s; /* in each direction, over all connections; 0: no limit */
    int64_t free_us[2];  /* when the last queued byte will have passed, by direction */
    GPtrArray *pairs;
    char **blocked;     /* IPs whose connections are closed; may be NULL */
    char **partitioned; /* IPs that are cut off; may be NULL */
    relay_partition_t how_partitioned;
};

/* Bytes that wait for their due time or for the socket. */
typedef struct chunk_t {
    int64_t due_ms;
    gsize length;
    gsize sent;
    char data[];
} chunk_t;

typedef struct pair_t pair_t;

/* One direction of a connection. */
typedef struct flow_t {
    pair_t *pair;
    apr_socket_t *from;
    apr_socket_t *to;
    wb_watch_t *watch; /* on `from` */
    GQueue chunks;
    int64_t forwarded; /* bytes sent */
    gboolean ended;    /* `from` has closed its side */
    gboolean is_response;
} flow_t;

/* A connection through the relay. */
struct pair_t {
    relay_t *relay;
    apr_pool_t *pool;
    flow_t request;
    flow_t response;
    wb_timer_t *timer;
    relay_fault_t fault; /* this connection's, when has_own_fault */
    gboolean has_own_fault;
    gboolean partitioned; /* nothing passes, in either direction */
    gboolean closing;
};

int relay_fault_kind_parse(const char *name) {
    static const char *const names[] = {"pass",        "delay",          "cut",
                                        "freeze",      "drop_answer",    "cut_request",
                                        "cut_answer",  "freeze_request", "freeze_answer",
                                        "cut_unframed"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
        if (strcmp(names[i], name) == 0)
            return (int)i;
    return -1;
}

static const relay_fault_t *pair_fault(const pair_t *pair) {
    return pair->has_own_fault ? &pair->fault : &pair->relay->fault;
}

static void pair_close(pair_t *pair) {
    wb_watch_remove(pair->request.watch);
    wb_watch_remove(pair->response.watch);
    wb_timer_cancel(pair->timer);
    apr_socket_close(pair->request.from);
    apr_socket_close(pair->request.to);
    g_queue_clear_full(&pair->request.chunks, g_free);
    g_queue_clear_full(&pair->response.chunks, g_free);
    g_ptr_array_remove_fast(pair->relay->pairs, pair);
    apr_pool_destroy(pair->pool);
    g_free(pair);
}

/* Sends chunks that are due. Returns FALSE when the connection must be closed. */
static gboolean flow_send(flow_t *flow) {
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&flow->chunks)) != NULL && chunk->due_ms <= wb_clock_ms()) {
        apr_size_t length = chunk->length - chunk->sent;
        apr_status_t status = apr_socket_send(flow->to, chunk->data + chunk->sent, &length);
        chunk->sent += length;
        flow->forwarded += (int64_t)length;
        if (chunk->sent < chunk->length)
            return APR_STATUS_IS_EAGAIN(status) || status == APR_SUCCESS;
        g_free(g_queue_pop_head(&flow->chunks));
    }
    if (flow->ended && flow->chunks.length == 0)
        apr_socket_shutdown(flow->to, APR_SHUTDOWN_WRITE);
    return TRUE;
}

static gboolean flow_is_frozen(const flow_t *flow) {
    relay_fault_kind_t kind = pair_fault(flow->pair)->kind;
    return flow->pair->partitioned || kind == RELAY_FREEZE ||
           kind == (flow->is_response ? RELAY_FREEZE_RESPONSE : RELAY_FREEZE_REQUEST);
}

/* Returns how much of a chunk may be forwarded. Sets `close` when the connection closes after it.
 */
static gsize fault_limit(const flow_t *flow, gsize length, gboolean *close) {
    const relay_fault_t *fault = pair_fault(flow->pair);
    gboolean applies = (fault->kind == RELAY_CUT_REQUEST && !flow->is_response) ||
                       (fault->kind == RELAY_CUT_RESPONSE && flow->is_response);
    if (fault->kind == RELAY_DROP_RESPONSE && flow->is_response) {
        *close = TRUE;
        return 0;
    }
    if (fault->kind == RELAY_CUT_UNFRAMED && flow->is_response) {
        *close = TRUE;
        return MIN(length, (gsize)fault->bytes);
    }
    if (!applies || flow->forwarded + (int64_t)length < fault->bytes)
        return length;
    *close = TRUE;
    return (gsize)MAX(fault->bytes - flow->forwarded, 0);
}

/* Time at which the bytes have passed a link of limited rate. */
static int64_t passed_ms(flow_t *flow, gsize length) {
    relay_t *relay = flow->pair->relay;
    int64_t now_us = wb_clock_us();
    if (relay->bytes_per_s <= 0)
        return now_us / 1000;
    int64_t *free_us = &relay->free_us[flow->is_response];
    *free_us = MAX(*free_us, now_us) + (int64_t)length * G_USEC_PER_SEC / relay->bytes_per_s;
    return *free_us / 1000;
}

/* Whether the queue holds as much as a link of limited rate buffers. */
static gboolean flow_is_full(const flow_t *flow) {
    const relay_t *relay = flow->pair->relay;
    return relay->bytes_per_s > 0 &&
           relay->free_us[flow->is_response] > wb_clock_us() + LINK_QUEUE_US;
}

/* Makes a response's Content-Length a header that means nothing. */
static void length_remove(char *data, gsize length) {
    static const char name[] = "\r\nContent-Length:";
    char *header = memmem(data, length, name, strlen(name));
    if (header != NULL)
        header[2] = 'X';
}

static void chunk_queue(flow_t *flow, const char *data, gsize length) {
    const relay_fault_t *fault = pair_fault(flow->pair);
    chunk_t *chunk = g_malloc(sizeof(chunk_t) + length);
    chunk->due_ms = passed_ms(flow, length) + (fault->kind == RELAY_DELAY ? fault->delay_ms : 0);
    chunk->length = length;
    chunk->sent = 0;
    memcpy(chunk->data, data, length);
    g_queue_push_tail(&flow->chunks, chunk);
}

static void flow_readable(int16_t events, void *context) {
    (void)events;
    flow_t *flow = context;
    pair_t *pair = flow->pair;
    if (flow_is_frozen(flow) || flow_is_full(flow)) {
        wb_watch_set_events(flow->watch, 0);
        return;
    }
    char data[CHUNK_BYTES];
    apr_size_t length = sizeof(data);
    apr_status_t status = apr_socket_recv(flow->from, data, &length);
    gboolean close = FALSE;
    if (length > 0) {
        gsize allowed = fault_limit(flow, length, &close);
        if (pair_fault(pair)->kind == RELAY_CUT_UNFRAMED && flow->is_response)
            length_remove(data, length);
        if (allowed > 0)
            chunk_queue(flow, data, allowed);
    } else if (APR_STATUS_IS_EOF(status)) {
        flow->ended = TRUE;
        wb_watch_set_events(flow->watch, 0);
    } else if (!APR_STATUS_IS_EAGAIN(status))
        close = TRUE;
    if (!flow_send(flow) || close ||
        (pair->request.ended && pair->response.ended && pair->response.chunks.length == 0))
        pair_close(pair);
}

/* Resumes reading after a freeze, and sends chunks that are due. Returns FALSE when that failed. */
static gboolean flow_tick(flow_t *flow) {
    if (flow_is_frozen(flow)) {
        return TRUE;
    }
    if (!flow->ended && !flow_is_full(flow)) {
        wb_watch_set_events(flow->watch, APR_POLLIN);
    }
    return flow_send(flow);
}

/* Sends delayed chunks and those that the socket didn't accept. */
static void pair_tick(void *context) {
    pair_t *pair = context;
    gboolean ok = flow_tick(&pair->request) && flow_tick(&pair->response);
    if (!ok || (pair->request.ended && pair->response.ended && pair->request.chunks.length == 0 &&
                pair->response.chunks.length == 0))
        pair_close(pair);
}

static void flow_begin(flow_t *flow, pair_t *pair, apr_socket_t *from, apr_socket_t *to,
                       gboolean is_response) {
    flow->pair = pair;
    flow->from = from;
    flow->to = to;
    flow->is_response = is_response;
    g_queue_init(&flow->chunks);
    flow->watch = wb_loop_watch(pair->relay->loop, from, APR_POLLIN, flow_readable, flow);
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
    if (status == APR_SUCCESS) /* immediate, as the target is on this machine */
        status = apr_socket_connect(*socket, address);
    return status;
}

static void socket_prepare(apr_socket_t *socket) {
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    apr_socket_timeout_set(socket, 0);
}

static void fault_assign(pair_t *pair) {
    relay_fault_t *fault = &pair->relay->fault;
    if (fault->times <= 0)
        return;
    pair->has_own_fault = TRUE;
    pair->fault = *fault;
    if (--fault->times == 0)
        *fault = (relay_fault_t){RELAY_PASS, 0, 0, 0};
}

static gboolean is_from(apr_socket_t *client, char **hosts) {
    apr_sockaddr_t *address;
    char host[64] = "";
    if (hosts == NULL || apr_socket_addr_get(&address, APR_REMOTE, client) != APR_SUCCESS ||
        apr_sockaddr_ip_getbuf(host, sizeof(host), address) != APR_SUCCESS)
        return FALSE;
    return g_strv_contains((const char *const *)hosts, host);
}

static gboolean is_blocked(const relay_t *relay, apr_socket_t *client) {
    return is_from(client, relay->blocked);
}

/* A partition that ends lets connections that have outlived it go on. */
static void pair_partition(pair_t *pair, gboolean cut) {
    if (cut == pair->partitioned)
        return;
    pair->partitioned = cut;
    if (cut)
        socket_filter_all(pair->request.from);
    else
        socket_filter_none(pair->request.from);
}

static void relay_accept(int16_t events, void *context) {
    (void)events;
    relay_t *relay = context;
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_socket_t *client, *target;
    if (apr_socket_accept(&client, relay->socket, pool) != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return;
    }
    if (relay->fault.kind == RELAY_CUT || is_blocked(relay, client) ||
        target_connect(relay, pool, &target) != APR_SUCCESS) {
        apr_socket_close(client);
        apr_pool_destroy(pool);
        return;
    }
    socket_prepare(client);
    socket_prepare(target);
    pair_t *pair = g_new0(pair_t, 1);
    pair->relay = relay;
    pair->pool = pool;
    fault_assign(pair);
    flow_begin(&pair->request, pair, client, target, FALSE);
    flow_begin(&pair->response, pair, target, client, TRUE);
    pair->timer = wb_loop_every(relay->loop, 10, pair_tick, pair);
    g_ptr_array_add(relay->pairs, pair);
    /* It connected before the partition began. */
    if (relay->how_partitioned != RELAY_PARTITION_NEW)
        pair_partition(pair, is_from(client, relay->partitioned));
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

typedef struct partition_change_t {
    relay_t *relay;
    char **hosts;
    relay_partition_t how;
    GMutex lock;
    GCond made;
    gboolean is_made; /* guarded by the lock */
} partition_change_t;

int relay_partition_parse(const char *name) {
    static const char *const names[] = {"silent", "reset", "new"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
        if (strcmp(names[i], name) == 0)
            return (int)i;
    return -1;
}

static void pair_reset(pair_t *pair) {
    struct linger immediate = {1, 0};
    int descriptor;
    apr_os_sock_get(&descriptor, pair->request.from);
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    pair_close(pair);
}

static void partition_change(void *context) {
    partition_change_t *change = context;
    relay_t *relay = change->relay;
    g_strfreev(relay->partitioned);
    relay->partitioned = change->hosts;
    relay->how_partitioned = change->how;
    socket_filter_hosts(relay->socket, relay->partitioned);
    for (guint i = relay->pairs->len; i-- > 0;) {
        pair_t *pair = relay->pairs->pdata[i];
        gboolean cut = is_from(pair->request.from, relay->partitioned);
        if (cut && change->how == RELAY_PARTITION_RESET)
            pair_reset(pair);
        else
            pair_partition(pair, cut && change->how == RELAY_PARTITION_SILENT);
    }
    g_mutex_lock(&change->lock);
    change->is_made = TRUE;
    g_cond_signal(&change->made);
    g_mutex_unlock(&change->lock);
}

void relay_set_partition(relay_t *relay, const char *hosts, relay_partition_t how) {
    partition_change_t change = {.relay = relay, .hosts = g_strsplit(hosts, ",", -1), .how = how};
    g_mutex_init(&change.lock);
    g_cond_init(&change.made);
    wb_loop_post(relay->loop, partition_change, &change);
    g_mutex_lock(&change.lock);
    while (!change.is_made)
        g_cond_wait(&change.made, &change.lock);
    g_mutex_unlock(&change.lock);
    g_cond_clear(&change.made);
    g_mutex_clear(&change.lock);
}

typedef struct rate_change_t {
    relay_t *relay;
    int64_t bytes_per_s;
} rate_change_t;

static void rate_change(void *context) {
    rate_change_t *change = context;
    change->relay->bytes_per_s = change->bytes_per_s;
    g_free(change);
}

void relay_set_rate(relay_t *relay, int64_t bytes_per_s) {
    rate_change_t *change = g_new(rate_change_t, 1);
    *change = (rate_change_t){relay, bytes_per_s};
    wb_loop_post(relay->loop, rate_change, change);
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
