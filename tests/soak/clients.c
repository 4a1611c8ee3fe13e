/* Clients of the soak: each thread sends all kinds of requests and checks each response by itself.
 */
#include "soak.h"

#include <string.h>

#define DEADLINE_MS 3000
/* A response or the end of the connection must come within this time after the deadline. */
#define ANSWER_SLACK_MS 1500
#define EVENTS 5
#define MODELS 8
#define RECOVERY_MS 15000
#define POISON_CLIENTS 4
/* Only requests that crash engines are told to come back so late. */
#define REFUSED_FOR_LONG_S 20

typedef struct soak_client_t {
    soak_t *soak;
    int number;
    GRand *rand;
    wire_t *connections[SOAK_NODES_MAX]; /* kept open until the node closes them; NULL: none */
} soak_client_t;

static const char *const paths[] = {"/lock/x", "/look/x", "/chat/x", "/note/x"};

static gboolean path_is_stream(const char *path) {
    return strcmp(path, "/chat/x") == 0 || strcmp(path, "/note/x") == 0;
}

static char *headers_create(const char *path, int model, gboolean with_adapter) {
    g_autoptr(GString) text = g_string_new(NULL);
    g_string_printf(text, "Request-Deadline-Ms: %d\r\n", DEADLINE_MS);
    if (path_is_stream(path)) {
        g_string_append_printf(text,
                               "Model: m%d%s\r\nToken-Usage: 100,20\r\nPrompt-Prefix: ab:50\r\n",
                               model, with_adapter ? "/a1" : "");
    }
    return g_strdup(text->str);
}

/* Each event must come once, in order and with the request's id; a complete stream has all events.
 */
static void stream_check(soak_t *soak, const soak_request_t *request,
                         const wire_response_t *answer) {
    g_autoptr(GString) wanted = g_string_new(NULL);
    g_autofree char *body = soak_versions_remove(soak, request->id, answer->body->str);
    for (int event = 1; event <= EVENTS; event++) {
        g_string_append_printf(wanted, "id: %d\ndata: %s-%d\n\n", event, request->id, event);
    }
    size_t matched = strlen(body);
    if (matched > wanted->len || strncmp(body, wanted->str, matched) != 0) {
        soak_fail(soak, "%s: events out of order: %s", request->id, body);
    } else if (answer->whole && matched != wanted->len) {
        soak_fail(soak, "%s: a cut stream was ended as whole", request->id);
    }
}

static void answer_check(soak_t *soak, const soak_request_t *request,
                         const wire_response_t *answer) {
    if (answer->status / 100 == 2) {
        g_autofree char *start = g_strdup_printf("ran %s at ", request->id);
        if (strstr(answer->head->str, "Response-Seal: ") == NULL) {
            soak_fail(soak, "%s: a success without an engine's seal", request->id);
        }
        if (path_is_stream(request->path)) {
            stream_check(soak, request, answer);
        } else if (answer->whole && !g_str_has_prefix(answer->body->str, start)) {
            soak_fail(soak, "%s: another answer: %s", request->id, answer->body->str);
        }
    }
    int64_t took_ms = request->ended_ms - request->began_ms;
    if (answer->status == 0 && !answer->closed && took_ms >= DEADLINE_MS + ANSWER_SLACK_MS &&
        !soak_is_disturbed(soak, request->node, request->began_ms, request->ended_ms)) {
        soak_fail(soak, "%s: no answer in %lld ms", request->id, (long long)took_ms);
    }
}

/* Keeps a connection that can be reused, or closes it. */
static void wire_release(wire_t **connection, wire_t *wire, const wire_response_t *answer) {
    gboolean reusable =
        answer->whole && !answer->closed && strstr(answer->head->str, "Connection: close") == NULL;
    if (connection != NULL && reusable) {
        *connection = wire;
    } else {
        wire_close(wire);
    }
}

void soak_request_send(soak_t *soak, soak_request_t *request, wire_t **connection,
                       const char *headers, const char *body) {
    const estate_node_t *node = &soak->estate->nodes[request->node];
    int life = g_atomic_int_get(&node->launches);
    request->began_ms = harness_now_ms();
    wire_t *wire = connection != NULL ? *connection : NULL;
    request->reused = wire != NULL;
    if (wire == NULL) {
        wire = wire_try_open(node->clients_port);
    } else {
        *connection = NULL;
    }
    if (wire == NULL) {
        return; /* the node is down: nothing was sent */
    }
    g_autofree char *all_headers = g_strconcat(headers, soak->key_header, NULL);
    wire_post(wire, request->path, request->id, all_headers, body);
    wire_response_t *answer = wire_read(wire, DEADLINE_MS + ANSWER_SLACK_MS);
    wire_release(connection, wire, answer);
    request->closed = answer->closed;
    request->ended_ms = harness_now_ms();
    request->life = life == g_atomic_int_get(&node->launches) ? life : 0;
    request->status = answer->status;
    request->complete = answer->whole;
    const char *retry_after = strstr(answer->head->str, "Retry-After: ");
    request->refused_for_long =
        answer->status == 503 && retry_after != NULL &&
        g_ascii_strtod(retry_after + strlen("Retry-After: "), NULL) > REFUSED_FOR_LONG_S;
    request->reports_limit = strstr(answer->head->str, "Server-Limit: ") != NULL;
    request->reports_draining = strstr(answer->head->str, "Server-Leaving: 1") != NULL;
    answer_check(soak, request, answer);
    wire_response_free(answer);
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->requests, *request);
    g_mutex_unlock(&soak->lock);
}

static void client_free(soak_client_t *client) {
    for (int i = 0; i < client->soak->nodes; i++) {
        if (client->connections[i] != NULL) {
            wire_close(client->connections[i]);
        }
    }
    g_rand_free(client->rand);
    g_free(client);
}

static gpointer client_run(gpointer data) {
    soak_client_t *client = data;
    soak_t *soak = client->soak;
    for (int i = 0; !g_atomic_int_get(&soak->stop); i++) {
        soak_request_t request = {.node = g_rand_int_range(client->rand, 0, soak->nodes)};
        request.path = paths[g_rand_int_range(client->rand, 0, G_N_ELEMENTS(paths))];
        g_snprintf(request.id, sizeof(request.id), "s%d-%d", client->number, i);
        /* Low numbers are more frequent. */
        int model = MIN(g_rand_int_range(client->rand, 0, MODELS),
                        g_rand_int_range(client->rand, 0, MODELS / 2));
        g_autofree char *headers =
            headers_create(request.path, model, g_rand_int_range(client->rand, 0, 10) == 0);
        /* Most connections are reused, after being idle for a varying time. */
        gboolean fresh = g_rand_int_range(client->rand, 0, 4) == 0;
        soak_request_send(soak, &request, fresh ? NULL : &client->connections[request.node],
                          headers, "hello");
        g_usleep((gulong)g_rand_int_range(client->rand, 0, 60) * 1000);
    }
    client_free(client);
    return NULL;
}

GPtrArray *soak_clients_start(soak_t *soak) {
    GPtrArray *threads = g_ptr_array_new();
    for (int i = 0; i < SOAK_CLIENTS; i++) {
        soak_client_t *client = g_new0(soak_client_t, 1);
        client->soak = soak;
        client->number = i;
        client->rand = g_rand_new_with_seed(soak->seed + (guint32)i + 1);
        g_ptr_array_add(threads, g_thread_new("caller", client_run, client));
    }
    return threads;
}

/* All poison clients send the same path, model and body, determined by the seed. */
static gpointer poison_run(gpointer data) {
    soak_client_t *client = data;
    soak_t *soak = client->soak;
    const char *path = paths[soak->seed % G_N_ELEMENTS(paths)];
    g_autofree char *headers = headers_create(path, (int)(soak->seed / 4 % 3), FALSE);
    for (int i = 0; !g_atomic_int_get(&soak->poison_stop); i++) {
        soak_request_t request = {.node = g_rand_int_range(client->rand, 0, soak->nodes),
                                  .path = path};
        g_snprintf(request.id, sizeof(request.id), SOAK_POISON_ID "%d-%d", client->number, i);
        soak_request_send(soak, &request, &client->connections[request.node], headers,
                          SOAK_POISON_BODY);
        g_usleep((gulong)g_rand_int_range(client->rand, 0, 400) * 1000);
    }
    client_free(client);
    return NULL;
}

GPtrArray *soak_poison_start(soak_t *soak) {
    GPtrArray *threads = g_ptr_array_new();
    for (int i = 0; soak->has_poison && i < POISON_CLIENTS; i++) {
        soak_client_t *client = g_new0(soak_client_t, 1);
        client->soak = soak;
        client->number = i;
        client->rand = g_rand_new_with_seed(soak->seed + 1000 + (guint32)i);
        g_ptr_array_add(threads, g_thread_new("poison", poison_run, client));
    }
    return threads;
}

void soak_clients_join(GPtrArray *threads) {
    for (guint i = 0; i < threads->len; i++) {
        g_thread_join(threads->pdata[i]);
    }
    g_ptr_array_unref(threads);
}

static gboolean is_served(soak_t *soak, int node, const char *path, int model, int try) {
    soak_request_t request = {.node = node, .path = path};
    g_snprintf(request.id, sizeof(request.id), "r%d-%d-%d%s", node, model, try, path);
    g_strdelimit(request.id, "/", '-');
    g_autofree char *headers = headers_create(path, model, FALSE);
    soak_request_send(soak, &request, NULL, headers, "hello");
    return request.status == 200 && request.complete;
}

void soak_recovery_check(soak_t *soak) {
    int64_t until_ms = harness_now_ms() + RECOVERY_MS;
    for (int node = 0; node < soak->nodes; node++) {
        for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
            int try = 0;
            while (!is_served(soak, node, paths[i], node % MODELS, try++)) {
                if (harness_now_ms() > until_ms) {
                    soak_fail(soak, "node %d does not serve %s after all faults are over", node,
                              paths[i]);
                    break;
                }
                g_usleep(100000);
            }
        }
    }
}
