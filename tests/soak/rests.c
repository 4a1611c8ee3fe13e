/* Clients that rest on kept connections for up to four fifths of the idle timeout in force and then
 * send whole requests, one or several at once, while the operator changes the limits and nodes are
 * paused, stopped and reloaded. Each whole request must be answered, and no connection may be
 * closed within such a rest. */
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define CLIENTS 40
#define REST_SHARE 0.8
#define REST_SLICE_MS 100
#define DEADLINE_MS 3000
#define ANSWER_MS 4500
/* A close may cross a request that was sent within this time before it. */
#define CROSSING_MS 200
#define BATCH_MAX 4
/* Three such bodies are more than a node takes in behind a running request. */
#define LARGE_BODY_BYTES 90000
#define LARGE_MARK "L" /* ends the ids of requests with such a body */
#define STREAM_HEADERS "Model: m0\r\nPrompt-Prefix: ab:50\r\n"
#define WATCH_GAP_MS 100
#define SERIES_MAX 6
#define SERIES_GAP_MAX_MS 1000
#define CHANGE_GAP_MAX_MS 3000
#define REPORTED_MAX 6 /* failures of a kind that are told one by one */

/* An idle timeout, and the oldest version of the configuration that may have it. */
typedef struct figure_t {
    int64_t version;
    int idle_ms;
} figure_t;

/* The oldest version that a node's process may have in force. */
typedef struct known_t {
    int64_t version;
    int life; /* number of the process */
} known_t;

/* A connection that was closed while its client rested, or before a request on it was answered. */
typedef struct ending_t {
    char id[32]; /* of the request; "": its client rested */
    int node;
    gboolean behind;      /* the request was sent in one piece with another, which was answered */
    int64_t rest_from_ms; /* when the client had its last answer, or connected */
    int allowed_ms;       /* how long it may rest */
    int64_t sent_ms;      /* when the last byte was sent, or the rest ended */
    int64_t closed_ms;
} ending_t;

struct soak_rests_t {
    GMutex lock;     /* guards the members below */
    GArray *figures; /* of figure_t, in the order of their versions */
    GArray *endings; /* of ending_t */
    known_t known[SOAK_NODES_MAX];
    int changes;
    int sent;
    int answered;
    int refused;
    int silent; /* neither answered nor closed in ANSWER_MS */
};

typedef struct rest_client_t {
    soak_t *soak;
    GRand *rand;
    int number;
    int sent;
    int node;
    wire_t *wire; /* NULL: none */
    int life;     /* number of the process that it was opened to */
    int64_t rest_from_ms;
    int allowed_ms;
} rest_client_t;

/* A request of a batch. */
typedef struct rest_request_t {
    char id[32];
    const char *path;
} rest_request_t;

typedef struct watcher_t {
    soak_t *soak;
    int node;
} watcher_t;

/* Sets the next limits and writes a configuration with them. */
static void limits_change(soak_t *soak, GRand *rand) {
    static const int idle_ms[] = {1000, 2000, 4000, 9000};
    static const int header_ms[] = {200, 800, 3000};
    static const int header_bytes[] = {1024, 4096, 16384};
    static const int body_bytes[] = {1000, 100000, 100000};
    estate_t *estate = soak->estate;
    soak_rests_t *rests = soak->rests;
    g_mutex_lock(&estate->configure_lock);
    estate->idle_timeout_ms = idle_ms[g_rand_int_range(rand, 0, G_N_ELEMENTS(idle_ms))];
    estate->header_timeout_ms = header_ms[g_rand_int_range(rand, 0, G_N_ELEMENTS(header_ms))];
    estate->max_header_bytes = header_bytes[g_rand_int_range(rand, 0, G_N_ELEMENTS(header_bytes))];
    estate->max_body_bytes = body_bytes[g_rand_int_range(rand, 0, G_N_ELEMENTS(body_bytes))];
    figure_t figure = {estate->catalog_version + 1, estate->idle_timeout_ms};
    g_mutex_lock(&rests->lock);
    g_array_append_val(rests->figures, figure);
    rests->changes++;
    g_mutex_unlock(&rests->lock);
    g_mutex_unlock(&estate->configure_lock);
    soak_config_rewrite(soak);
}

static gpointer limits_run(gpointer data) {
    soak_t *soak = data;
    GRand *rand = g_rand_new_with_seed(soak->seed + 7000);
    while (!g_atomic_int_get(&soak->stop)) {
        int changes = g_rand_int_range(rand, 1, SERIES_MAX + 1);
        for (int i = 0; i < changes && !g_atomic_int_get(&soak->stop); i++) {
            limits_change(soak, rand);
            g_usleep((gulong)g_rand_int_range(rand, 50, SERIES_GAP_MAX_MS) * 1000);
        }
        g_usleep((gulong)g_rand_int_range(rand, 0, CHANGE_GAP_MAX_MS) * 1000);
    }
    g_rand_free(rand);
    return NULL;
}

/* Follows which version a node has in force. */
static gpointer watcher_run(gpointer data) {
    watcher_t *watcher = data;
    soak_t *soak = watcher->soak;
    const estate_node_t *node = &soak->estate->nodes[watcher->node];
    while (!g_atomic_int_get(&soak->stop)) {
        int life = g_atomic_int_get(&node->launches);
        double version = estate_metric(soak->estate, watcher->node, "catalog_version");
        if (version > 0 && life == g_atomic_int_get(&node->launches)) {
            g_mutex_lock(&soak->rests->lock);
            soak->rests->known[watcher->node] = (known_t){(int64_t)version, life};
            g_mutex_unlock(&soak->rests->lock);
        }
        g_usleep(WATCH_GAP_MS * 1000);
    }
    g_free(watcher);
    return NULL;
}

static int64_t version_known(const rest_client_t *client) {
    soak_rests_t *rests = client->soak->rests;
    g_mutex_lock(&rests->lock);
    known_t known = rests->known[client->node];
    g_mutex_unlock(&rests->lock);
    return known.life == client->life ? known.version : 0;
}

/* The client's rest begins: it goes by the lowest figure that may be in force from this version on.
 */
static void rest_begin(rest_client_t *client, int64_t version) {
    soak_rests_t *rests = client->soak->rests;
    int lowest_ms = G_MAXINT;
    g_mutex_lock(&rests->lock);
    for (guint i = rests->figures->len; i-- > 0;) {
        const figure_t *figure = &g_array_index(rests->figures, figure_t, i);
        lowest_ms = MIN(lowest_ms, figure->idle_ms);
        if (figure->version <= version) {
            break;
        }
    }
    g_mutex_unlock(&rests->lock);
    client->rest_from_ms = harness_now_ms();
    client->allowed_ms = (int)(lowest_ms * REST_SHARE);
}

static void connection_drop(rest_client_t *client) {
    g_clear_pointer(&client->wire, wire_close);
}

static void ending_add(rest_client_t *client, ending_t ending) {
    soak_rests_t *rests = client->soak->rests;
    ending.node = client->node;
    ending.rest_from_ms = client->rest_from_ms;
    ending.allowed_ms = client->allowed_ms;
    g_mutex_lock(&rests->lock);
    g_array_append_val(rests->endings, ending);
    g_mutex_unlock(&rests->lock);
}

/* Returns FALSE when the connection was closed meanwhile. */
static gboolean rest(rest_client_t *client) {
    int draw = g_rand_int_range(client->rand, 0, 4);
    int least_ms = draw == 3 ? client->allowed_ms * 3 / 4 : 0;
    int most_ms = draw == 0 ? MIN(client->allowed_ms, 50) : client->allowed_ms;
    int64_t until_ms = client->rest_from_ms + g_rand_int_range(client->rand, least_ms, most_ms + 1);
    gboolean closed = wire_wait(client->wire, 0);
    for (int64_t now_ms; !closed && (now_ms = harness_now_ms()) < until_ms &&
                         !g_atomic_int_get(&client->soak->stop);) {
        closed = wire_wait(client->wire, (int)MIN(until_ms - now_ms, REST_SLICE_MS));
    }
    if (closed) {
        int64_t now_ms = harness_now_ms();
        ending_add(client, (ending_t){.sent_ms = now_ms, .closed_ms = now_ms});
        connection_drop(client);
    }
    return !closed;
}

char *soak_rest_body(const char *id) {
    return g_str_has_suffix(id, LARGE_MARK) ? g_strnfill(LARGE_BODY_BYTES, 'x') : g_strdup("hello");
}

static int batch_draw(rest_client_t *client, rest_request_t requests[BATCH_MAX]) {
    static const char *const paths[] = {"/look/x", "/lock/x", "/chat/x"};
    int draw = g_rand_int_range(client->rand, 0, 40);
    gboolean is_large = draw == 0;
    int size = 1;
    if (draw < 8) {
        size = is_large ? BATCH_MAX : 2;
    }
    for (int i = 0; i < size; i++) {
        int kinds = size == 1 ? (int)G_N_ELEMENTS(paths) : 2; /* streams may break off */
        requests[i].path = is_large ? paths[0] : paths[g_rand_int_range(client->rand, 0, kinds)];
        g_snprintf(requests[i].id, sizeof(requests[i].id), SOAK_REST_ID "%d-%d%s", client->number,
                   client->sent++, is_large && i > 0 ? LARGE_MARK : "");
    }
    return size;
}

/* Sends all requests in one piece. Returns FALSE when the connection was closed before its end. */
static gboolean batch_send(rest_client_t *client, const rest_request_t *requests, int size) {
    g_autoptr(GString) text = g_string_new(NULL);
    for (int i = 0; i < size; i++) {
        g_autofree char *body = soak_rest_body(requests[i].id);
        gboolean streams = strcmp(requests[i].path, "/chat/x") == 0;
        g_string_append_printf(text,
                               "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: %s\r\n"
                               "Request-Deadline-Ms: %d\r\n%s%sContent-Length: %zu\r\n\r\n%s",
                               requests[i].path, requests[i].id, DEADLINE_MS,
                               streams ? STREAM_HEADERS : "", client->soak->key_header,
                               strlen(body), body);
    }
    return wire_send(client->wire, "%s", text->str);
}

static void answer_count(soak_t *soak, const wire_response_t *answer) {
    g_mutex_lock(&soak->rests->lock);
    soak->rests->sent++;
    soak->rests->answered += answer->status / 100 == 2;
    soak->rests->refused += answer->status != 0 && answer->status / 100 != 2;
    soak->rests->silent += answer->status == 0 && !answer->closed;
    g_mutex_unlock(&soak->rests->lock);
}

/* Records small requests for the checks that all share. */
static void request_record(rest_client_t *client, const rest_request_t *request,
                           const wire_response_t *answer, int64_t began_ms) {
    soak_t *soak = client->soak;
    soak_request_t record = {.path = request->path,
                             .node = client->node,
                             .life = client->life,
                             .status = answer->status,
                             .complete = answer->whole,
                             .closed = answer->closed,
                             .reused = TRUE,
                             .began_ms = began_ms,
                             .ended_ms = harness_now_ms()};
    g_strlcpy(record.id, request->id, sizeof(record.id));
    if (client->life != g_atomic_int_get(&soak->estate->nodes[client->node].launches)) {
        record.life = 0;
    }
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->requests, record);
    g_mutex_unlock(&soak->lock);
}

/* Returns TRUE when more may come on the connection. */
static gboolean answer_take(rest_client_t *client, const rest_request_t *request, int index,
                            gboolean is_large, int64_t began_ms, int64_t sent_ms) {
    wire_response_t *answer = wire_read(client->wire, ANSWER_MS);
    gboolean lost = answer->status == 0 && answer->closed;
    gboolean goes_on = answer->status != 0 && answer->whole && !answer->closed &&
                       strstr(answer->head->str, "Connection: close") == NULL;
    answer_count(client->soak, answer);
    if (!is_large || index == 0) {
        request_record(client, request, answer, began_ms);
    }
    if (answer->status == 0 && !answer->closed &&
        !soak_is_disturbed(client->soak, client->node, began_ms, harness_now_ms())) {
        soak_fail(client->soak, "rests: %s got no answer in %d ms", request->id, ANSWER_MS);
    }
    if (lost) {
        ending_t ending = {
            .behind = index > 0 && !is_large, .sent_ms = sent_ms, .closed_ms = harness_now_ms()};
        g_strlcpy(ending.id, request->id, sizeof(ending.id));
        ending_add(client, ending);
    }
    wire_response_free(answer);
    return goes_on;
}

static void batch_run(rest_client_t *client) {
    rest_request_t requests[BATCH_MAX];
    int size = batch_draw(client, requests);
    int64_t version = version_known(client);
    int64_t began_ms = harness_now_ms();
    gboolean whole = batch_send(client, requests, size);
    int64_t sent_ms = harness_now_ms();
    gboolean open = TRUE;
    if (!whole && size == 1) {
        ending_add(client, (ending_t){.sent_ms = began_ms, .closed_ms = sent_ms});
    }
    /* Of several that weren't sent to their end the first was. */
    int wanted = whole ? size : size > 1;
    for (int i = 0; i < wanted && open; i++) {
        open = answer_take(client, &requests[i], i, size == BATCH_MAX, began_ms, sent_ms);
    }
    if (!open || !whole) {
        connection_drop(client);
        return;
    }
    rest_begin(client, version);
}

static void connection_open(rest_client_t *client) {
    const estate_node_t *node = &client->soak->estate->nodes[client->node];
    client->life = g_atomic_int_get(&node->launches);
    int64_t version = version_known(client);
    client->wire = wire_try_open(node->clients_port);
    if (client->wire != NULL) {
        rest_begin(client, version);
    } else {
        g_usleep(100000);
    }
}

static gpointer client_run(gpointer data) {
    rest_client_t *client = data;
    while (!g_atomic_int_get(&client->soak->stop)) {
        if (client->wire == NULL) {
            connection_open(client);
        }
        if (client->wire != NULL && rest(client)) {
            batch_run(client);
        }
    }
    connection_drop(client);
    g_rand_free(client->rand);
    g_free(client);
    return NULL;
}

void soak_rests_start(soak_t *soak, GPtrArray *threads) {
    soak_rests_t *rests = g_new0(soak_rests_t, 1);
    g_mutex_init(&rests->lock);
    rests->figures = g_array_new(FALSE, FALSE, sizeof(figure_t));
    rests->endings = g_array_new(FALSE, FALSE, sizeof(ending_t));
    soak->rests = rests;
    GRand *rand = g_rand_new_with_seed(soak->seed + 7100);
    limits_change(soak, rand);
    g_rand_free(rand);
    g_usleep(SOAK_CONFIG_MS * 1000);
    g_ptr_array_add(threads, g_thread_new("limits", limits_run, soak));
    for (int i = 0; i < soak->nodes; i++) {
        watcher_t *watcher = g_new0(watcher_t, 1);
        *watcher = (watcher_t){soak, i};
        g_ptr_array_add(threads, g_thread_new("watcher", watcher_run, watcher));
    }
    for (int i = 0; i < CLIENTS; i++) {
        rest_client_t *client = g_new0(rest_client_t, 1);
        client->soak = soak;
        client->number = i;
        client->node = i % soak->nodes;
        client->rand = g_rand_new_with_seed(soak->seed + 7200 + (guint32)i);
        g_ptr_array_add(threads, g_thread_new("rests", client_run, client));
    }
}

/* What an ending breaks; NULL: nothing. */
static const char *ending_judge(soak_t *soak, const ending_t *ending, GHashTable *ran) {
    gboolean is_request = *ending->id != '\0';
    int64_t took_ms = ending->closed_ms - ending->sent_ms;
    if (soak_is_killed(soak, ending->node, ending->rest_from_ms, ending->closed_ms)) {
        return NULL;
    }
    if (is_request && g_hash_table_contains(ran, ending->id)) {
        return "ran and was not answered";
    }
    if (is_request && (ending->behind || took_ms > CROSSING_MS)) {
        return "was neither run nor answered";
    }
    if (!soak_is_stopped(soak, ending->node, ending->rest_from_ms, ending->closed_ms) &&
        ending->sent_ms - ending->rest_from_ms <= ending->allowed_ms) {
        return "connection closed within an allowed rest";
    }
    return NULL;
}

static void ending_tell(soak_t *soak, const ending_t *ending, const char *what) {
    soak_fail(soak,
              "rests: %s %s; node %d, %.2f s, after %lld of %d ms of rest, closed %lld ms later",
              *ending->id != '\0' ? ending->id : "a", what, ending->node,
              (double)(ending->closed_ms - soak->began_ms) / 1000,
              (long long)(ending->sent_ms - ending->rest_from_ms), ending->allowed_ms,
              (long long)(ending->closed_ms - ending->sent_ms));
}

void soak_rests_check(soak_t *soak, const json_t *seen) {
    soak_rests_t *rests = soak->rests;
    if (rests == NULL) {
        return;
    }
    g_autoptr(GHashTable) ran = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GHashTable) counts = g_hash_table_new(g_str_hash, g_str_equal);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run)
        g_hash_table_add(ran, (gpointer)soak_text_of(run, "id"));
    for (guint j = 0; j < rests->endings->len; j++) {
        const ending_t *ending = &g_array_index(rests->endings, ending_t, j);
        const char *what = ending_judge(soak, ending, ran);
        if (what == NULL) {
            continue;
        }
        int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, what)) + 1;
        g_hash_table_insert(counts, (gpointer)what, GINT_TO_POINTER(count));
        if (count <= REPORTED_MAX) {
            ending_tell(soak, ending, what);
        }
    }
    printf("  rests: %d changes of limits, %d requests, %d answered, %d refused, %d silent\n",
           rests->changes, rests->sent, rests->answered, rests->refused, rests->silent);
    GHashTableIter iter;
    gpointer what;
    gpointer count;
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &what, &count)) {
        soak_fail(soak, "rests: %d times: %s", GPOINTER_TO_INT(count), (const char *)what);
    }
}

void soak_rests_free(soak_t *soak) {
    if (soak->rests == NULL) {
        return;
    }
    g_array_unref(soak->rests->figures);
    g_array_unref(soak->rests->endings);
    g_mutex_clear(&soak->rests->lock);
    g_clear_pointer(&soak->rests, g_free);
}
