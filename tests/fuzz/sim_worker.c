/* Engines on a virtual clock: what they hold, what they are ordered, what goes wrong. */
#include "sim_worker.h"

#include "wickbridge/http_pool.h"
#include "wickbridge/loop.h"

#include <stdlib.h>
#include <string.h>

#define LATE_LEAST_MS 2000
#define LATE_MOST_MS 12000
#define ANSWER_MS 4
#define REPORT_LAG_MS 150
#define UNLOAD_MOST_MS 900
#define ADAPTER_MOST_MS 80
#define ADAPTERS_COMING 4
#define COPIES_KEPT 3
#define CALLS_KEPT 4096

typedef enum sim_hold_t { SIM_ABSENT, SIM_LOADING, SIM_HELD, SIM_UNLOADING } sim_hold_t;

typedef struct sim_model_t {
    sim_hold_t hold;
    sim_hold_t adapters[SIM_ADAPTERS];
    gboolean in_memory;
    gboolean on_disk;
} sim_model_t;

/* What an engine is, as one value, so that a report can show it as it was. */
typedef struct sim_picture_t {
    sim_model_t models[SIM_MODELS];
    gboolean busy;
    int64_t sequence;
} sim_picture_t;

typedef struct sim_worker_t {
    char id[16];
    int life;
    sim_picture_t now;
    sim_picture_t before; /* as it was before the last change */
    int64_t changed_ms;
} sim_worker_t;

/* An order as it was sent. */
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

/* A change that comes due at an engine. */
typedef struct sim_change_t {
    int worker;
    int life;
    int model;
    int adapter;
    sim_hold_t becomes;
    sim_order_t *late; /* an order that is carried out now, or NULL */
} sim_change_t;

struct wb_http_pool_t {
    int worker;
    gboolean freed;
    unsigned calls;
};

/* An answer on its way. */
typedef struct sim_answer_t {
    wb_http_pool_t *peer;
    wb_http_request_t request;
    wb_http_outcome_t outcome;
    unsigned status;
    char body[32];
} sim_answer_t;

static struct {
    GRand *random;
    const wb_service_t *service;
    sim_oracle_t oracle;
    sim_faults_t faults;
    sim_worker_t workers[SIM_WORKERS];
    sim_picture_t reports[CALLS_KEPT]; /* a ring: what each report's body stands for */
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

static void worker_touch(sim_worker_t *worker) {
    worker->before = worker->now;
    worker->changed_ms = wb_clock_ms();
}

static void worker_begin(int number) {
    sim_worker_t *worker = &sim.workers[number];
    sim_picture_t fresh = {0};
    for (int i = 0; i < SIM_MODELS; i++) {
        fresh.models[i].on_disk = worker->now.models[i].on_disk;
    }
    worker->life++;
    worker->now = fresh;
    worker->before = fresh;
    worker->changed_ms = wb_clock_ms();
    g_snprintf(worker->id, sizeof(worker->id), "w%d-%d", number, ++sim.ids);
}

void sim_workers_open(GRand *random, const wb_service_t *service, const sim_oracle_t *oracle) {
    memset(&sim, 0, sizeof(sim));
    sim.random = random;
    sim.service = service;
    sim.oracle = *oracle;
    for (int i = 0; i < SIM_WORKERS; i++) {
        worker_begin(i);
        for (int model = i * 2; model < i * 2 + 2; model++) {
            sim.workers[i].now.models[model].hold = SIM_HELD;
            sim.workers[i].now.models[model].in_memory = TRUE;
            sim.workers[i].now.models[model].on_disk = TRUE;
        }
        worker_touch(&sim.workers[i]);
    }
}

void sim_workers_close(void) {
    sim.service = NULL;
}

void sim_workers_set_faults(const sim_faults_t *faults) {
    sim.faults = *faults;
}

void sim_worker_restart(int worker) {
    worker_begin(worker);
}

const char *sim_worker_id(int worker) {
    return sim.workers[worker].id;
}

gboolean sim_worker_holds(int worker, const char *model) {
    return sim.workers[worker].now.models[model_number(model)].hold == SIM_HELD;
}

const char *sim_worker_overfull(int worker) {
    const sim_picture_t *now = &sim.workers[worker].now;
    double used_mb = 0;
    int places = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        if (now->models[i].hold != SIM_ABSENT) {
            used_mb += spec_of(i)->weights_mb;
        }
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            if (now->models[i].adapters[j] != SIM_ABSENT) {
                used_mb += spec_of(i)->adapter_mb;
                places++;
            }
        }
    }
    if (used_mb > sim.service->weights_mb) {
        return "loaded beyond its room";
    }
    return places > sim.service->adapter_slots ? "adapters beyond its places" : NULL;
}

/* States as the product reads them. */

static wb_engine_state_t *state_create(const char *id, const sim_picture_t *picture) {
    wb_engine_state_t *state = wb_engine_state_create(id);
    for (int i = 0; i < SIM_MODELS; i++) {
        const sim_model_t *held = &picture->models[i];
        char name[16];
        g_snprintf(name, sizeof(name), "m%d", i);
        if (held->in_memory) {
            g_hash_table_add(state->in_memory, g_strdup(name));
        }
        if (held->on_disk) {
            g_hash_table_add(state->on_disk, g_strdup(name));
        }
        if (held->hold != SIM_HELD && held->hold != SIM_UNLOADING) {
            continue;
        }
        wb_engine_model_t *model = wb_engine_state_add_model(state, name, 1);
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            if (held->adapters[j] == SIM_HELD) {
                g_hash_table_add(model->adapters, g_strdup_printf("a%d", j));
            }
            state->coming += held->adapters[j] == SIM_LOADING;
        }
    }
    state->busy = picture->busy;
    state->sequence = picture->sequence;
    return state;
}

wb_engine_state_t *sim_worker_announce(int worker) {
    wb_engine_state_t *state = state_create(sim.workers[worker].id, &sim.workers[worker].now);
    state->service = g_strdup(sim.service->name);
    state->address = g_strdup_printf("%d", worker);
    state->zone = g_strdup("zone-1");
    state->slots = 8;
    return state;
}

static wb_engine_state_t *report_parse(const char *engine_id, const char *body, size_t length) {
    (void)length;
    wb_engine_state_t *state = state_create(engine_id, &sim.reports[atoi(body) % CALLS_KEPT]);
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

static void order_carry_out(const sim_order_t *order, unsigned *status);

static void change_run(void *context) {
    sim_change_t *change = context;
    sim_worker_t *worker = &sim.workers[change->worker];
    if (change->late != NULL) {
        unsigned status;
        order_carry_out(change->late, &status);
        g_free(change->late);
    } else if (worker->life == change->life) {
        worker_touch(worker);
        sim_model_t *held = &worker->now.models[change->model];
        if (change->adapter >= 0 && held->hold != SIM_ABSENT) {
            held->adapters[change->adapter] = change->becomes;
        } else if (change->adapter >= 0) {
            held->adapters[change->adapter] = SIM_ABSENT; /* its model is gone */
        } else {
            held->hold = change->becomes;
            worker->now.busy = FALSE;
            if (change->becomes == SIM_ABSENT) {
                memset(held->adapters, 0, sizeof(held->adapters));
            }
        }
    }
    g_free(change);
}

static void change_plan(int worker, int model, int adapter, sim_hold_t becomes, int64_t delay_ms) {
    sim_change_t *change = g_new0(sim_change_t, 1);
    change->worker = worker;
    change->life = sim.workers[worker].life;
    change->model = model;
    change->adapter = adapter;
    change->becomes = becomes;
    wb_loop_after(NULL, delay_ms, change_run, change);
}

static int coming_count(const sim_picture_t *now) {
    int coming = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        for (int j = 0; j < SIM_ADAPTERS; j++) {
            coming += now->models[i].adapters[j] == SIM_LOADING;
        }
    }
    return coming;
}

static unsigned adapter_order(const sim_order_t *order, sim_worker_t *worker) {
    sim_hold_t *hold = &worker->now.models[order->model].adapters[order->adapter];
    if (worker->now.models[order->model].hold != SIM_HELD) {
        return 400;
    }
    if (!order->is_load) {
        if (*hold == SIM_HELD) {
            *hold = SIM_ABSENT;
        }
        worker->now.sequence++;
        return 200;
    }
    if (*hold != SIM_ABSENT) {
        return 200;
    }
    if (coming_count(&worker->now) >= ADAPTERS_COMING) {
        return 409;
    }
    *hold = SIM_LOADING;
    worker->now.sequence++;
    change_plan(order->worker, order->model, order->adapter, SIM_HELD,
                g_rand_int_range(sim.random, 5, ADAPTER_MOST_MS));
    return 202;
}

/* A disk keeps few copies: some others go. */
static void copies_make_room(sim_worker_t *worker, int model) {
    int copies = 0;
    for (int i = 0; i < SIM_MODELS; i++) {
        sim_model_t *other = &worker->now.models[i];
        copies += other->on_disk && i != model;
        if (copies > COPIES_KEPT) {
            other->on_disk = FALSE;
            other->in_memory = FALSE;
        }
    }
}

static unsigned model_order(const sim_order_t *order, sim_worker_t *worker) {
    sim_model_t *held = &worker->now.models[order->model];
    const wb_model_spec_t *spec = spec_of(order->model);
    if (order->is_load == (held->hold == SIM_HELD)) {
        return 200;
    }
    worker->now.sequence++;
    worker->now.busy = TRUE;
    if (!order->is_load) {
        held->hold = SIM_UNLOADING;
        change_plan(order->worker, order->model, -1, SIM_ABSENT,
                    g_rand_int_range(sim.random, 20, UNLOAD_MOST_MS));
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
    held->hold = SIM_LOADING;
    copies_make_room(worker, order->model);
    held->in_memory = TRUE;
    held->on_disk = TRUE;
    change_plan(order->worker, order->model, -1, SIM_HELD, load_ms);
    return 202;
}

static void order_carry_out(const sim_order_t *order, unsigned *status) {
    sim_worker_t *worker = &sim.workers[order->worker];
    if (strcmp(order->expected_id, worker->id) != 0) {
        *status = 421;
        return;
    }
    if (order->sequence != worker->now.sequence || (worker->now.busy && order->adapter < 0)) {
        *status = 409;
        return;
    }
    worker_touch(worker);
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

static gboolean happens(double share) {
    return g_rand_double(sim.random) < share;
}

/* The call reaches the engine. */
static void order_arrive(sim_answer_t *answer, const sim_order_t *order) {
    sim.oracle.order_taken(order->holder, order->token, order->worker, sim.oracle.context);
    if (happens(sim.faults.order_late)) {
        sim_change_t *change = g_new0(sim_change_t, 1);
        change->worker = order->worker;
        change->late = g_memdup2(order, sizeof(*order));
        wb_loop_after(NULL, g_rand_int_range(sim.random, LATE_LEAST_MS, LATE_MOST_MS), change_run,
                      change);
        answer->outcome = WB_HTTP_UNKNOWN;
        return;
    }
    order_carry_out(order, &answer->status);
    answer->outcome = happens(sim.faults.order_lost) ? WB_HTTP_UNKNOWN : WB_HTTP_COMPLETED;
}

static void report_give(sim_answer_t *answer, int number) {
    const sim_worker_t *worker = &sim.workers[number];
    unsigned place = sim.report_next++ % CALLS_KEPT;
    gboolean lags = wb_clock_ms() - worker->changed_ms < REPORT_LAG_MS && happens(0.5);
    sim.reports[place] = lags ? worker->before : worker->now;
    answer->status = 200;
    answer->outcome = happens(sim.faults.report_lost) ? WB_HTTP_UNKNOWN : WB_HTTP_COMPLETED;
    g_snprintf(answer->body, sizeof(answer->body), "%u", place);
}

/* Calls. */

wb_http_pool_t *wb_http_pool_create(wb_loop_t *loop, const char *address,
                                    int64_t connect_timeout_ms, int64_t silence_limit_ms) {
    (void)loop;
    (void)connect_timeout_ms;
    (void)silence_limit_ms;
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

static void answer_give(void *context) {
    sim_answer_t *answer = context;
    wb_http_pool_t *peer = answer->peer;
    peer->calls--;
    if (!peer->freed) {
        wb_http_result_t result = {answer->outcome, 0, NULL, 0};
        if (answer->outcome == WB_HTTP_COMPLETED) {
            result.status = answer->status;
            result.body = answer->body;
            result.length = strlen(answer->body);
        }
        answer->request.on_result(&result, answer->request.context);
    }
    peer_release(peer);
    g_free(answer);
}

void wb_http_pool_call(wb_http_pool_t *peer, const wb_http_request_t *request) {
    sim_answer_t *answer = g_new0(sim_answer_t, 1);
    int64_t delay_ms = g_rand_int_range(sim.random, 1, ANSWER_MS);
    answer->peer = peer;
    answer->request = *request;
    answer->outcome = WB_HTTP_NOT_SENT;
    peer->calls++;
    gboolean sent = !happens(sim.faults.call_broken) &&
                    (request->may_send == NULL || request->may_send(request->context));
    if (sent && strcmp(request->target, "/report") == 0) {
        report_give(answer, peer->worker);
    } else if (sent) {
        sim_order_t order;
        order_read(&order, peer, request);
        order_arrive(answer, &order);
    }
    if (answer->outcome == WB_HTTP_UNKNOWN) {
        delay_ms = request->timeout_ms;
    }
    wb_loop_after(NULL, delay_ms, answer_give, answer);
}
