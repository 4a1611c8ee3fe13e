/* All nodes are killed again and again while software versions come and go, a route leads to
 * another service, and the store may go back. Streams break off, and their clients take them up at
 * once or later than nodes keep records. Each event names the version that wrote it. */
#include "soak.h"

#include <string.h>

#define CLIENTS 20
#define TRIES 5
#define PATH "/once/x"
/* Clients come back within this time, or after SOAK_REJOIN_WINDOW_S. */
#define RETURN_MAX_MS 1200
#define RETURN_LATE_MAX_MS 6000
#define CHANGE_GAP_MAX_MS 2500
/* Of so many streams that began some must go on. */
#define BEGUN_MIN 20
#define VISITORS 4 /* engines that come and go */

/* The services that the route leads to by turns. No version is in both. */
static const char *const services[] = {"story", "tale"};
#define FIRST_VERSION(service) (1 + 10 * (service))

#define SERVICE(name)                                                                              \
    ",{\"name\":\"" name "\",\"maxConnections\":100,\"engine\":{\"weightsMb\":2100,"               \
    "\"adapterSlots\":2,\"loadsPerS\":4,\"models\":[{\"name\":\"m0\",\"weightsMb\":1000,"          \
    "\"loadS\":0.2,\"adapters\":5,\"adapterMb\":1,\"warmS\":0.1,\"diskS\":0.15}]}}"

typedef struct visitor_t {
    gboolean is_there;
    int starts;
} visitor_t;

struct soak_rejoin_t {
    GMutex lock; /* guards writes of the configuration, service, and both counts */
    soak_streams_t begun;
    soak_streams_t taken_up;
    int service; /* index in services: where the route leads */
    visitor_t visitors[VISITORS];
};

typedef struct rejoin_client_t {
    soak_t *soak;
    int number;
    GRand *rand;
} rejoin_client_t;

/* Called with the lock held. */
static void configuration_write(soak_t *soak) {
    g_autofree char *routes = g_strdup_printf(
        "%s,{\"name\":\"once\",\"host\":\"a.example\",\"pathPrefix\":\"/once/\","
        "\"routeType\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":800,\"priority\":1,"
        "\"service\":\"%s\",\"maxAttempts\":1,\"resumable\":true,\"targetGapMs\":400}",
        estate_default_routes(), services[soak->rejoin->service]);
    estate_configure(soak->estate, routes);
}

void soak_rejoin_move_route(soak_t *soak) {
    g_mutex_lock(&soak->rejoin->lock);
    soak->rejoin->service = 1 - soak->rejoin->service;
    configuration_write(soak);
    g_mutex_unlock(&soak->rejoin->lock);
}

/* New streams end after two events there, and only their clients can go on. */
static void engine_start(const soak_t *soak, const char *name, int service, int version) {
    estate_command(soak->estate,
                   "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"%s\","
                   "\"zone\":\"zone-1\",\"version\":\"v%d\",\"streams\":1,\"models\":[\"m0\"],"
                   "\"event_ms\":20,\"load_ms\":200,\"weights_mb\":2100}}",
                   name, services[service], version);
    estate_command(
        soak->estate,
        "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"cut-start\",\"count\":100000}",
        name);
}

/* An engine of another version comes, or leaves, or ends without a word. */
static void visitor_change(soak_t *soak, GRand *rand) {
    int index = g_rand_int_range(rand, 0, VISITORS);
    int service = index % (int)G_N_ELEMENTS(services);
    visitor_t *visitor = &soak->rejoin->visitors[index];
    char name[32];
    visitor->starts += !visitor->is_there;
    g_snprintf(name, sizeof(name), "visitor-%d-%d", index, visitor->starts);
    if (!visitor->is_there)
        engine_start(soak, name, service,
                     FIRST_VERSION(service) + 1 + index / (int)G_N_ELEMENTS(services));
    else
        estate_command(soak->estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\",\"announce\":%s}",
                       name, g_rand_boolean(rand) ? "true" : "false");
    visitor->is_there = !visitor->is_there;
}

static gpointer changes_run(gpointer data) {
    soak_t *soak = data;
    GRand *rand = g_rand_new_with_seed(soak->seed + 5000);
    while (!g_atomic_int_get(&soak->stop)) {
        if (g_rand_int_range(rand, 0, 4) == 0)
            soak_rejoin_move_route(soak);
        else
            visitor_change(soak, rand);
        g_usleep((gulong)g_rand_int_range(rand, 0, CHANGE_GAP_MAX_MS) * 1000);
    }
    g_rand_free(rand);
    return NULL;
}

static void return_wait(rejoin_client_t *client) {
    gboolean is_late = g_rand_int_range(client->rand, 0, 3) == 0;
    int ms = is_late
                 ? g_rand_int_range(client->rand, SOAK_REJOIN_WINDOW_S * 1000, RETURN_LATE_MAX_MS)
                 : g_rand_int_range(client->rand, 0, RETURN_MAX_MS);
    g_usleep((gulong)ms * 1000);
}

char *soak_rejoin_body(const char *id) {
    const char *end = strrchr(id, '-');
    return g_strndup(id, (gsize)(end - id));
}

/* Returns TRUE when nothing more is to come. */
static gboolean try_send(rejoin_client_t *client, soak_stream_t *stream, const char *id,
                         gboolean unnamed) {
    soak_rejoin_t *rejoin = client->soak->rejoin;
    int node = g_rand_int_range(client->rand, 0, client->soak->nodes);
    int before = stream->last;
    g_autofree char *body = soak_rejoin_body(id);
    gboolean whole = soak_stream_send(client->soak, stream,
                                      &(soak_stream_try_t){id, PATH, node, 0, body, unnamed});
    g_mutex_lock(&rejoin->lock);
    soak_streams_t *streams = before > 0 ? &rejoin->taken_up : &rejoin->begun;
    streams->sent++;
    streams->went_on += stream->last > before;
    g_mutex_unlock(&rejoin->lock);
    return whole;
}

static gpointer client_run(gpointer data) {
    rejoin_client_t *client = data;
    for (int i = 0; !g_atomic_int_get(&client->soak->stop); i++) {
        soak_stream_t stream = {{0}};
        gboolean unnamed = g_rand_int_range(client->rand, 0, 8) == 0;
        for (int try = 0; try < TRIES && !g_atomic_int_get(&client->soak->stop); try++) {
            char id[32];
            g_snprintf(id, sizeof(id), SOAK_REJOIN_ID "%d-%d-%d", client->number, i, try);
            if (try_send(client, &stream, id, unnamed))
                break;
            return_wait(client);
        }
    }
    g_rand_free(client->rand);
    g_free(client);
    return NULL;
}

void soak_rejoin_start(soak_t *soak, GPtrArray *threads) {
    soak_rejoin_t *rejoin = g_new0(soak_rejoin_t, 1);
    g_mutex_init(&rejoin->lock);
    soak->rejoin = rejoin;
    soak->estate->services = SERVICE("story") SERVICE("tale");
    configuration_write(soak);
    for (int i = 0; i < (int)G_N_ELEMENTS(services); i++)
        engine_start(soak, services[i], i, FIRST_VERSION(i));
    g_ptr_array_add(threads, g_thread_new("changes", changes_run, soak));
    for (int i = 0; i < CLIENTS; i++) {
        rejoin_client_t *client = g_new0(rejoin_client_t, 1);
        client->soak = soak;
        client->number = i;
        client->rand = g_rand_new_with_seed(soak->seed + 6000 + (guint32)i);
        g_ptr_array_add(threads, g_thread_new("rejoins", client_run, client));
    }
}

void soak_rejoin_check(soak_t *soak) {
    const soak_rejoin_t *rejoin = soak->rejoin;
    if (rejoin == NULL)
        return;
    printf("  streams: %d of %d began, %d of %d taken up went on\n", rejoin->begun.went_on,
           rejoin->begun.sent, rejoin->taken_up.went_on, rejoin->taken_up.sent);
    if (rejoin->begun.went_on >= BEGUN_MIN && rejoin->taken_up.went_on == 0)
        soak_fail(soak, "of %d streams taken up none went on", rejoin->taken_up.sent);
}

void soak_rejoin_free(soak_t *soak) {
    if (soak->rejoin == NULL)
        return;
    g_mutex_clear(&soak->rejoin->lock);
    g_clear_pointer(&soak->rejoin, g_free);
}
