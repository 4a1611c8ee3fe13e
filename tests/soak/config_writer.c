/* The soak's operator: changes the configuration in every way, alone and in quick succession, and
 * clients that probe the routes which change. */
#include "soak.h"

#include <string.h>

#define PROBE_CLIENTS 6
#define PROBE_GAP_MAX_MS 60
#define CHANGE_GAP_MAX_MS 2500
/* Sometimes nothing changes for longer, so that a node which missed a change isn't helped by the
 * next one. */
#define REST_GAP_MAX_MS 14000
#define SERIES_MAX 12
#define SERIES_GAP_MS 200
/* Routes that make a configuration too large to be parsed on a node's event loop. */
#define MANY_ROUTES 1600
/* Routes that exist from the start. */
#define FIRST_ROUTES 3

static const char *const probe_paths[SOAK_PROBE_ROUTES] = {
    "/probe-0/x", "/probe-1/x", "/probe-2/x", "/probe-3/x", "/probe-4/x", "/probe-5/x"};

/* What a probe route may lead to; NULL: it doesn't exist. */
static const char *const route_targets[] = {"desk", "shop", "desk,shop", NULL};

struct soak_config_writer_t {
    GMutex lock; /* guards the members below, and writes of the configuration */
    GRand *rand;
    const char *services[SOAK_PROBE_ROUTES]; /* one of route_targets */
    gboolean has_many_routes;
    int timeout_ms;
};

guint soak_probe_route(const char *path) {
    for (guint i = 0; i < SOAK_PROBE_ROUTES; i++) {
        if (strcmp(path, probe_paths[i]) == 0) {
            return i;
        }
    }
    return SOAK_PROBE_ROUTES;
}

static void route_append(GString *routes, guint route, const char *services, int timeout_ms) {
    g_string_append_printf(routes,
                           ",{\"name\":\"probe-%u\",\"host\":\"a.example\",\"pathPrefix\":"
                           "\"/probe-%u/\",\"routeType\":\"idempotent\",\"timeoutMs\":%d,"
                           "\"targetLatencyMs\":400,\"priority\":2,\"maxAttempts\":2",
                           route, route, timeout_ms);
    if (strcmp(services, "desk,shop") == 0) {
        g_string_append(routes, ",\"trafficSplit\":[{\"service\":\"desk\",\"weight\":1},"
                                "{\"service\":\"shop\",\"weight\":1}]}");
    } else {
        g_string_append_printf(routes, ",\"service\":\"%s\"}", services);
    }
}

/* Writes the configuration and records it. Called with the lock held. */
static void configuration_write(soak_t *soak) {
    const soak_config_writer_t *writer = soak->config_writer;
    g_autoptr(GString) routes = g_string_new(estate_default_routes());
    for (guint i = 0; i < SOAK_PROBE_ROUTES; i++) {
        if (writer->services[i] != NULL) {
            route_append(routes, i, writer->services[i], writer->timeout_ms);
        }
    }
    for (int i = 0; writer->has_many_routes && i < MANY_ROUTES; i++) {
        g_string_append_printf(routes,
                               ",{\"name\":\"more-%d\",\"host\":\"b.example\",\"pathPrefix\":"
                               "\"/more-%d/\",\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
                               "\"service\":\"desk\",\"maxAttempts\":2}",
                               i, i);
    }
    int64_t sent_ms = harness_now_ms();
    estate_configure(soak->estate, routes->str);
    g_mutex_lock(&soak->lock);
    config_oracle_write(soak->configurations, writer->services, sent_ms, harness_now_ms());
    g_mutex_unlock(&soak->lock);
}

/* Changes one thing: where a route leads, whether it exists, how long it may take, or how many
 * others there are. */
static void change_draw(soak_config_writer_t *writer) {
    int draw = g_rand_int_range(writer->rand, 0, 8);
    if (draw == 0) {
        writer->has_many_routes = !writer->has_many_routes;
    } else if (draw == 1) {
        writer->timeout_ms = g_rand_int_range(writer->rand, 1200, 2000);
    } else {
        int route = g_rand_int_range(writer->rand, 0, SOAK_PROBE_ROUTES);
        writer->services[route] =
            route_targets[g_rand_int_range(writer->rand, 0, G_N_ELEMENTS(route_targets))];
    }
}

void soak_config_change(soak_t *soak) {
    g_mutex_lock(&soak->config_writer->lock);
    change_draw(soak->config_writer);
    configuration_write(soak);
    g_mutex_unlock(&soak->config_writer->lock);
}

static gpointer writer_run(gpointer data) {
    soak_t *soak = data;
    GRand *rand = g_rand_new_with_seed(soak->seed + 2000);
    while (!g_atomic_int_get(&soak->stop)) {
        gboolean is_series = g_rand_int_range(rand, 0, 4) == 0;
        int changes = is_series ? g_rand_int_range(rand, 2, SERIES_MAX + 1) : 1;
        for (int i = 0; i < changes && !g_atomic_int_get(&soak->stop); i++) {
            soak_config_change(soak);
            g_usleep(is_series ? SERIES_GAP_MS * 1000 : 0);
        }
        gboolean rests = g_rand_int_range(rand, 0, 3) == 0;
        int gap_ms = g_rand_int_range(rand, 0, rests ? REST_GAP_MAX_MS : CHANGE_GAP_MAX_MS);
        for (int waited_ms = 0; waited_ms < gap_ms && !g_atomic_int_get(&soak->stop);
             waited_ms += 50) {
            g_usleep(50000);
        }
    }
    g_rand_free(rand);
    return NULL;
}

typedef struct probe_client_t {
    soak_t *soak;
    int number;
} probe_client_t;

static gpointer probe_run(gpointer data) {
    probe_client_t *client = data;
    soak_t *soak = client->soak;
    GRand *rand = g_rand_new_with_seed(soak->seed + 3000 + (guint32)client->number);
    wire_t *connections[SOAK_NODES_MAX] = {NULL};
    for (int i = 0; !g_atomic_int_get(&soak->stop); i++) {
        soak_request_t request = {.node = g_rand_int_range(rand, 0, soak->nodes)};
        request.path = probe_paths[g_rand_int_range(rand, 0, SOAK_PROBE_ROUTES)];
        g_snprintf(request.id, sizeof(request.id), "q%d-%d", client->number, i);
        gboolean fresh = g_rand_int_range(rand, 0, 2) == 0;
        soak_request_send(soak, &request, fresh ? NULL : &connections[request.node],
                          "Request-Deadline-Ms: 1500\r\n", "hello");
        g_usleep((gulong)g_rand_int_range(rand, 0, PROBE_GAP_MAX_MS) * 1000);
    }
    for (int i = 0; i < soak->nodes; i++) {
        g_clear_pointer(&connections[i], wire_close);
    }
    g_rand_free(rand);
    g_free(client);
    return NULL;
}

/* The services that probe routes lead to, each with two engines. */
static void probe_services_start(soak_t *soak) {
    static const char *const services[] = {"desk", "shop"};
    soak->estate->services = ",{\"name\":\"desk\",\"maxConnections\":200},"
                             "{\"name\":\"shop\",\"maxConnections\":200}";
    for (guint i = 0; i < G_N_ELEMENTS(services); i++) {
        for (int engine = 1; engine <= 2; engine++) {
            estate_command(soak->estate,
                           "{\"do\":\"engine-start\",\"engine\":\"%s-%d\",\"options\":{"
                           "\"service\":\"%s\",\"zone\":\"zone-%d\",\"work_ms\":5}}",
                           services[i], engine, services[i], engine);
        }
    }
}

void soak_config_start(soak_t *soak, GPtrArray *threads) {
    soak_config_writer_t *writer = g_new0(soak_config_writer_t, 1);
    g_mutex_init(&writer->lock);
    writer->rand = g_rand_new_with_seed(soak->seed + 4000);
    writer->timeout_ms = 1500;
    for (guint i = 0; i < FIRST_ROUTES; i++) {
        writer->services[i] = "desk";
    }
    soak->config_writer = writer;
    soak->configurations = config_oracle_create(SOAK_PROBE_ROUTES, SOAK_CONFIG_MS);
    probe_services_start(soak);
    configuration_write(soak);
    g_usleep(SOAK_CONFIG_MS * 1000);
    g_ptr_array_add(threads, g_thread_new("operator", writer_run, soak));
    for (int i = 0; i < PROBE_CLIENTS; i++) {
        probe_client_t *client = g_new0(probe_client_t, 1);
        *client = (probe_client_t){soak, i};
        g_ptr_array_add(threads, g_thread_new("probe", probe_run, client));
    }
}

void soak_config_free(soak_t *soak) {
    if (soak->config_writer == NULL) {
        return;
    }
    g_rand_free(soak->config_writer->rand);
    g_mutex_clear(&soak->config_writer->lock);
    g_clear_pointer(&soak->config_writer, g_free);
    g_clear_pointer(&soak->configurations, config_oracle_free);
}
