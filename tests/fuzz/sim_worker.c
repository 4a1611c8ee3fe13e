/* Simulated engines on a virtual clock: their state, the orders they receive, and faults. */
#include "sim_worker.h"

#include "wickbridge/http_pool.h"
#include "wickbridge/loop.h"

#include <stdlib.h>
#include <string.h>

#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define RESPONSE_MAX_MS 4
#define REPORT_LAG_MS 150
#define UNLOAD_MAX_MS 900
#define ADAPTER_LOAD_MAX_MS 80
#define MAX_ADAPTERS_LOADING 4
#define COPIES_KEPT 3
#define REPORTS_KEPT 4096

typedef enum sim_load_state_t {
    SIM_ABSENT,
    SIM_LOADING,
    SIM_LOADED,
    SIM_UNLOADING
} sim_load_state_t;

typedef struct sim_model_t {
    sim_load_state_t load_state;
    sim_load_state_t adapters[SIM_ADAPTERS];
    gboolean in_memory;
    gboolean on_disk;
} sim_model_t;

/* An engine's state as one value, so that a report can return an earlier one. */
typedef struct sim_snapshot_t {
    sim_model_t models[SIM_MODELS];
    gboolean busy;
    int64_t sequence;
} sim_snapshot_t;

typedef struct sim_worker_t {
    char id[16];
    int incarnation;
    sim_snapshot_t current;
    sim_snapshot_t previous; /* state before the last change */
    int64_t changed_ms;
} sim_worker_t;

typedef struct sim_order_t {
    int worker;
    char expected_id[16];
    gboolean is_load;
    int model;
    int adapter; /* -1: the model */
    int64_t sequence;
    uint64_t token;
    char holder[32];
} sim_order_t;

/* A delayed change of an engine's state. */
typedef struct sim_change_t {
    int worker;
    int incarnation;
    int model;
    int adapter;
    sim_load_state_t becomes;
    sim_order_t *late; /* the delayed order to execute, or NULL */
} sim_change_t;

struct wb_http_pool_t {
    int worker;
    gboolean freed;
    unsigned calls;
};

/* A response in transit. */
typedef struct sim_response_t {
    wb_http_pool_t *peer;
    wb_http_request_t request;
    wb_http_outcome_t outcome;
    unsigned status;
    char body[32];
} sim_response_t;

static struct {
    GRand *random;
    const wb_service_t *service;
    sim_oracle_t oracle;
    sim_faults_t faults;
    sim_worker_t workers[SIM_WORKERS];
    sim_snapshot_t reports[REPORTS_KEPT]; /* a ring; a report's body is an index into it */
    unsigned report_next;
    int ids;
} sim;

static const wb_model_spec_t *spec_of(int model) {
    char name[16];
    g_snprintf(name, sizeof(name), "m%d", model);
    return g_hash_table_lookup(sim.service->models, name);
}

static int model_number(const char *name) {
    return atoi(name + 1);
}

static void worker_save_previous(sim_worker_t *worker) {
    worker->previous = worker->current;
    worker->changed_ms = wb_clock_ms();
}

static void worker_start(int number) {
    sim_worker_t *worker = &sim.workers[number];
    sim_snapshot_t fresh = {0};
    for (int i = 0; i < SIM_MODELS; i++) {
        fresh.models[i].on_disk = worker->current.models[i].on_disk;
    }
    worker->incarnation++;
    worker->current = fresh;
    worker->previous = fresh;
    worker->changed_ms = wb_clock_ms();
    g_snprintf(worker->id, sizeof(worker->id), "w%d-%d", number, ++sim.ids);
}

void sim_workers_start(GRand *random, const wb_service_t *service, const sim_oracle_t *oracle) {
    memset(&sim, 0, sizeof(sim));
    sim.random = random;
    sim.service = service;
    sim.oracle = *oracle;
    for (int i = 0; i < SIM_WORKERS; i++) {
        worker_start(i);
        for (int model = i * 2; model < i * 2 + 2; model++) {
            sim.workers[i].current.models[model].load_state = SIM_LOADED;
            sim.workers[i].current.models[model].in_memory = TRUE;
            sim.workers[i].current.models[model].on_disk = TRUE;
        }
        worker_save_previous(&sim.workers[i]);
    }
}

void sim_workers_stop(void) {
    sim.service = NULL;
}

void sim_workers_set_faults(const sim_faults_t *faults) {
    sim.faults = *faults;
}

void sim_worker_restart(int worker) {
    worker_start(worker);
}

const char *sim_worker_id(int worker) {
    return sim.workers[worker].id;
}

gboolean sim_worker_has_model(int worker, const char *model) {
    return sim.workers[worker].current.models[model_number(model)].load_state == SIM_LOADED;
}

const char *sim_worker_capacity_violation(int worker) {
    const sim_snapshot_t *current = &sim.workers[worker].current;
    double weights_used_mb = 0;
    int adapters_used = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        if (current->models[i].load_state != SIM_ABSENT) {
            weights_used_mb += spec_of(i)->weights_mb;
        }
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            if (current->models[i].adapters[j] != SIM_ABSENT) {
                weights_used_mb += spec_of(i)->adapter_mb;
                adapters_used++;
            }
        }
    }
    if (weights_used_mb > sim.service->weights_mb) {
        return "loaded beyond its room";
    }
    return adapters_used > sim.service->adapter_slots ? "adapters beyond its places" : NULL;
}

/* Engine state as the server parses it. */

static wb_engine_state_t *state_create(const char *id, const sim_snapshot_t *snapshot) {
    wb_engine_state_t *state = wb_engine_state_create(id);
    for (int i = 0; i < SIM_MODELS; i++) {
        const sim_model_t *held = &snapshot->models[i];
        char name[16];
        g_snprintf(name, sizeof(name), "m%d", i);
        if (held->in_memory) {
            g_hash_table_add(state->in_memory, g_strdup(name));
        }
        if (held->on_disk) {
            g_hash_table_add(state->on_disk, g_strdup(name));
        }
        if (held->load_state != SIM_LOADED && held->load_state != SIM_UNLOADING) {
            continue;
        }
        wb_engine_model_t *model = wb_engine_state_add_model(state, name, 1);
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            if (held->adapters[j] == SIM_LOADED) {
                g_hash_table_add(model->adapters, g_strdup_printf("a%d", j));
            }
            state->coming += held->adapters[j] == SIM_LOADING;
        }
    }
    state->busy = snapshot->busy;
    state->sequence = snapshot->sequence;
    return state;
}

wb_engine_state_t *sim_worker_announce(int worker) {
    wb_engine_state_t *state = state_create(sim.workers[worker].id, &sim.workers[worker].current);
    state->service = g_strdup(sim.service->name);
    state->address = g_strdup_printf("%d", worker);
    state->zone = g_strdup("zone-1");
    state->slots = 8;
    return state;
}

static wb_engine_state_t *report_parse(const char *engine_id, const char *body, size_t length) {
    (void)length;
    wb_engine_state_t *state = state_create(engine_id, &sim.reports[atoi(body) % REPORTS_KEPT]);
    state->reported = TRUE;
    return state;
}

static char *order_body(const wb_order_t *order) {
    return g_strdup_printf(
        "%d %d %d %lld %llu %s", order->kind == WB_ORDER_LOAD, model_number(order->model),
        *order->adapter != '\0' ? atoi(order->adapter + 1) : -1,
        (long long)order->expected_sequence, (unsigned long long)order->token, order->holder);
}

const wb_dialect_t sim_dialect = {.expected_engine = "Expected-Engine",
                                  .report_target = "/report",
                                  .order_target = "/order",
                                  .order_body = order_body,
                                  .report_parse = report_parse};

/* Orders. */

static void order_execute(const sim_order_t *order, unsigned *status);

static void change_apply(void *context) {
    sim_change_t *change = context;
    sim_worker_t *worker = &sim.workers[change->worker];
    if (change->late != NULL) {
        unsigned status;
        order_execute(change->late, &status);
        g_free(change->late);
    } else if (worker->incarnation == change->incarnation) {
        worker_save_previous(worker);
        sim_model_t *held = &worker->current.models[change->model];
        if (change->adapter >= 0 && held->load_state != SIM_ABSENT) {
            held->adapters[change->adapter] = change->becomes;
        } else if (change->adapter >= 0) {
            held->adapters[change->adapter] = SIM_ABSENT; /* its model was unloaded */
        } else {
            held->load_state = change->becomes;
            worker->current.busy = FALSE;
            if (change->becomes == SIM_ABSENT) {
                memset(held->adapters, 0, sizeof(held->adapters));
            }
        }
    }
    g_free(change);
}

static void change_schedule(int worker, int model, int adapter, sim_load_state_t becomes,
                            int64_t delay_ms) {
    sim_change_t *change = g_new0(sim_change_t, 1);
    change->worker = worker;
    change->incarnation = sim.workers[worker].incarnation;
    change->model = model;
    change->adapter = adapter;
    change->becomes = becomes;
    wb_loop_after(NULL, delay_ms, change_apply, change);
}

static int adapters_loading(const sim_snapshot_t *current) {
    int coming = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            coming += current->models[i].adapters[j] == SIM_LOADING;
        }
    }
    return coming;
}

static unsigned adapter_order(const sim_order_t *order, sim_worker_t *worker) {
    sim_load_state_t *load_state = &worker->current.models[order->model].adapters[order->adapter];
    if (worker->current.models[order->model].load_state != SIM_LOADED) {
        return 400;
    }
    if (!order->is_load) {
        if (*load_state == SIM_LOADED) {
            *load_state = SIM_ABSENT;
        }
        worker->current.sequence++;
        return 200;
    }
    if (*load_state != SIM_ABSENT) {
        return 200;
    }
    if (adapters_loading(&worker->current) >= MAX_ADAPTERS_LOADING) {
        return 409;
    }
    *load_state = SIM_LOADING;
    worker->current.sequence++;
    change_schedule(order->worker, order->model, order->adapter, SIM_LOADED,
                    g_rand_int_range(sim.random, 5, ADAPTER_LOAD_MAX_MS));
    return 202;
}

/* The disk keeps COPIES_KEPT other models; the rest are deleted. */
static void disk_copies_evict(sim_worker_t *worker, int model) {
    int copies = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        sim_model_t *other = &worker->current.models[i];
        copies += other->on_disk && i != model;
        if (copies > COPIES_KEPT) {
            other->on_disk = FALSE;
            other->in_memory = FALSE;
        }
    }
}

static unsigned model_order(const sim_order_t *order, sim_worker_t *worker) {
    sim_model_t *held = &worker->current.models[order->model];
    const wb_model_spec_t *spec = spec_of(order->model);
    if (order->is_load == (held->load_state == SIM_LOADED)) {
        return 200;
    }
    worker->current.sequence++;
    worker->current.busy = TRUE;
    if (!order->is_load) {
        held->load_state = SIM_UNLOADING;
        change_schedule(order->worker, order->model, -1, SIM_ABSENT,
                        g_rand_int_range(sim.random, 20, UNLOAD_MAX_MS));
        return 202;
    }
    int64_t load_ms = spec->store_load_ms;
    if (held->in_memory) {
        load_ms = spec->memory_load_ms;
    } else if (held->on_disk) {
        load_ms = spec->disk_load_ms;
    } else {
        sim.oracle.store_load_began(sim.oracle.context);
    }
    held->load_state = SIM_LOADING;
    disk_copies_evict(worker, order->model);
    held->in_memory = TRUE;
    held->on_disk = TRUE;
    change_schedule(order->worker, order->model, -1, SIM_LOADED, load_ms);
    return 202;
}

static void order_execute(const sim_order_t *order, unsigned *status) {
    sim_worker_t *worker = &sim.workers[order->worker];
    if (strcmp(order->expected_id, worker->id) != 0) {
        *status = 421;
        return;
    }
    if (order->sequence != worker->current.sequence ||
        (worker->current.busy && order->adapter < 0)) {
        *status = 409;
        return;
    }
    worker_save_previous(worker);
    *status = order->adapter >= 0 ? adapter_order(order, worker) : model_order(order, worker);
}

static void order_read(sim_order_t *order, const wb_http_pool_t *peer,
                       const wb_http_request_t *request) {
    memset(order, 0, sizeof(*order));
    order->worker = peer->worker;
    long long sequence;
    unsigned long long token;
    if (sscanf(request->body, "%d %d %d %lld %llu %31s", &order->is_load, &order->model,
               &order->adapter, &sequence, &token, order->holder) != 6 ||
        sscanf(request->headers, "Expected-Engine: %15s", order->expected_id) != 1) {
        g_error("an order can't be read: %s", request->body);
    }
    order->sequence = sequence;
    order->token = token;
}

static gboolean chance(double probability) {
    return g_rand_double(sim.random) < probability;
}

/* The order reaches the engine, which executes it now or late. */
static void order_receive(sim_response_t *response, const sim_order_t *order) {
    sim.oracle.order_received(order->holder, order->token, order->worker, sim.oracle.context);
    if (chance(sim.faults.order_late)) {
        sim_change_t *change = g_new0(sim_change_t, 1);
        change->worker = order->worker;
        change->late = g_memdup2(order, sizeof(*order));
        wb_loop_after(NULL, g_rand_int_range(sim.random, LATE_MIN_MS, LATE_MAX_MS), change_apply,
                      change);
        response->outcome = WB_HTTP_UNKNOWN;
        return;
    }
    order_execute(order, &response->status);
    response->outcome = chance(sim.faults.order_lost) ? WB_HTTP_UNKNOWN : WB_HTTP_COMPLETED;
}

static void report_respond(sim_response_t *response, int number) {
    const sim_worker_t *worker = &sim.workers[number];
    unsigned index = sim.report_next++ % REPORTS_KEPT;
    gboolean lags = wb_clock_ms() - worker->changed_ms < REPORT_LAG_MS && chance(0.5);
    sim.reports[index] = lags ? worker->previous : worker->current;
    response->status = 200;
    response->outcome = chance(sim.faults.report_lost) ? WB_HTTP_UNKNOWN : WB_HTTP_COMPLETED;
    g_snprintf(response->body, sizeof(response->body), "%u", index);
}

/* Replacement for wb_http_pool_t. */

wb_http_pool_t *wb_http_pool_create(wb_loop_t *loop, const char *address,
                                    const wb_tcp_connect_options_t *options) {
    (void)loop;
    (void)options;
    wb_http_pool_t *peer = g_new0(wb_http_pool_t, 1);
    peer->worker = atoi(address);
    return peer;
}

static void peer_release(wb_http_pool_t *peer) {
    if (peer->freed && peer->calls == 0) {
        g_free(peer);
    }
}

void wb_http_pool_free(wb_http_pool_t *peer) {
    peer->freed = TRUE;
    peer_release(peer);
}

static void response_deliver(void *context) {
    sim_response_t *response = context;
    wb_http_pool_t *peer = response->peer;
    peer->calls--;
    if (!peer->freed) {
        wb_http_result_t result = {response->outcome, 0, NULL, 0};
        if (response->outcome == WB_HTTP_COMPLETED) {
            result.status = response->status;
            result.body = response->body;
            result.length = strlen(response->body);
        }
        response->request.on_result(&result, response->request.context);
    }
    peer_release(peer);
    g_free(response);
}

void wb_http_pool_call(wb_http_pool_t *peer, const wb_http_request_t *request) {
    sim_response_t *response = g_new0(sim_response_t, 1);
    int64_t delay_ms = g_rand_int_range(sim.random, 1, RESPONSE_MAX_MS);
    response->peer = peer;
    response->request = *request;
    response->outcome = WB_HTTP_NOT_SENT;
    peer->calls++;
    gboolean sent = !chance(sim.faults.call_not_sent) &&
                    (request->may_send == NULL || request->may_send(request->context));
    if (sent && strcmp(request->target, "/report") == 0) {
        report_respond(response, peer->worker);
    } else if (sent) {
        sim_order_t order;
        order_read(&order, peer, request);
        order_receive(response, &order);
    }
    if (response->outcome == WB_HTTP_UNKNOWN) {
        delay_ms = request->timeout_ms;
    }
    wb_loop_after(NULL, delay_ms, response_deliver, response);
}
