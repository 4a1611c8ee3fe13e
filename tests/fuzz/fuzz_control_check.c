/*
 * Runs the placement controller against engines that lose responses, execute orders late and
 * restart, while the lease moves between two nodes. The oracle sees only the engines.
 *
 * Controller, orders, placement and load window are the server's code; clock, calls and engines are
 * simulated. Invariants: no engine exceeds its weights or adapter capacity, loads from the weight
 * store stay below their limit, lease tokens never decrease at an engine, and without further
 * faults every requested model is loaded. Usage: fuzz-control-check [FIRST_SEED [COUNT]]
 */
#include "sim_worker.h"
#include "virtual_loop.h"

#include "control/controller.h"
#include "wickbridge/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 150
#define NODES 2
#define FAULTS_MS 90000
#define FAULT_FREE_MS 30000
#define STEP_MS 10
#define HEARTBEAT_MS 300
#define DEMAND_MS 250
#define HANDOVER_INTERVAL_MS 3200
#define LEASE_MAX_MS 25000
#define LOADS_PER_S 1.0
#define WINDOW_MS 5000
#define MAX_LOADS_IN_WINDOW ((unsigned)(LOADS_PER_S * 5 * 1.1) + 3)
#define WEIGHTS_MB 100.0
#define ADAPTER_SLOTS 5

typedef struct simulation_t {
    GRand *random;
    wb_catalog_t *catalog;
    const wb_service_t *service;
    struct {
        wb_fleet_t *fleet;
        wb_controller_t *controller;
        wb_edge_settings_t settings;
        wb_edge_metrics_t metrics;
        char known[SIM_WORKERS][16]; /* ids of the engines announced to it */
    } nodes[NODES];
    int holder; /* -1: none */
    uint64_t token;
    int64_t lease_change_ms; /* when the lease moves next */
    unsigned predecessor_loads;
    int64_t waiting_since_ms[SIM_MODELS]; /* 0: no client waits */
    int adapter_wanted[SIM_MODELS];       /* -1: none */
    GArray *loads; /* of int64_t: start times of loads from the weight store */
    uint64_t highest_token[SIM_WORKERS];
    const char *violation;
    unsigned long long orders;
} simulation_t;

static simulation_t *current_simulation; /* for callbacks whose context is a node index */

static gboolean may_act(void *context) {
    return current_simulation->holder == GPOINTER_TO_INT(context);
}

/* Sometimes the grant to order an engine is still pending. */
static int64_t authorize_order(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return g_rand_int_range(current_simulation->random, 0, 4) == 0 ? -1 : 0;
}

static int64_t blocked_ms(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return 0;
}

static void engine_response_ignore(wb_engine_t *engine, void *context) {
    (void)engine;
    (void)context;
}

static gboolean never_cut_off(const wb_engine_t *engine, void *context) {
    (void)engine;
    (void)context;
    return FALSE;
}

static void placement_update_ignore(const wb_wire_message *update, void *context) {
    (void)update;
    (void)context;
}

static void oracle_order_received(const char *holder, uint64_t token, int worker, void *context) {
    (void)holder;
    simulation_t *simulation = context;
    simulation->orders++;
    if (token < simulation->highest_token[worker]) {
        simulation->violation = "a token fell";
    }
    simulation->highest_token[worker] = token;
}

static void oracle_store_load_began(void *context) {
    simulation_t *simulation = context;
    int64_t now_ms = wb_clock_ms();
    g_array_append_val(simulation->loads, now_ms);
    while (now_ms - g_array_index(simulation->loads, int64_t, 0) >= WINDOW_MS) {
        g_array_remove_index(simulation->loads, 0);
    }
    if (simulation->loads->len > MAX_LOADS_IN_WINDOW) {
        simulation->violation = "too many loads from the weight store";
    }
}

static void catalog_create(simulation_t *simulation) {
    simulation->catalog = wb_catalog_create(1);
    wb_service_t *service = wb_catalog_add_service(simulation->catalog, "llm");
    service->weights_mb = WEIGHTS_MB;
    service->adapter_slots = ADAPTER_SLOTS;
    service->loads_per_s = LOADS_PER_S;
    for (int i = 0; i < SIM_MODELS; i++) {
        g_autofree char *name = g_strdup_printf("m%d", i);
        wb_model_spec_t *model = wb_service_add_model(service, name);
        model->weights_mb = 30 + i;
        model->adapter_mb = 2;
        model->adapters = SIM_ADAPTERS;
        model->store_load_ms = 700;
        model->disk_load_ms = 400;
        model->memory_load_ms = 200;
    }
    simulation->service = service;
}

static void nodes_create(simulation_t *simulation) {
    for (int i = 0; i < NODES; i++) {
        wb_edge_settings_t *settings = &simulation->nodes[i].settings;
        settings->id = i == 0 ? "node-0" : "node-1";
        settings->zone = "zone-1";
        settings->load_window_s = WINDOW_MS / 1000.0;
        settings->lease_duration_ms = 1600;
        settings->order_timeout_ms = 400;
        settings->adapter_load_ms = 40;
        settings->prefill_tokens_per_ms = 30;
        simulation->nodes[i].fleet = wb_fleet_create();
        wb_controller_events_t events = {may_act,
                                         authorize_order,
                                         blocked_ms,
                                         placement_update_ignore,
                                         engine_response_ignore,
                                         engine_response_ignore,
                                         never_cut_off,
                                         GINT_TO_POINTER(i)};
        simulation->nodes[i].controller =
            wb_controller_create(NULL, settings, &sim_dialect, simulation->nodes[i].fleet,
                                 &simulation->nodes[i].metrics, &events);
        wb_controller_set_catalog(simulation->nodes[i].controller, simulation->catalog);
    }
}

/* Announces the engines to all nodes; the former id of a restarted engine is removed first. */
static void workers_announce(simulation_t *simulation) {
    for (int i = 0; i < NODES; i++) {
        for (int worker = 0; worker < SIM_WORKERS; worker++) {
            char *known = simulation->nodes[i].known[worker];
            const char *id = sim_worker_id(worker);
            if (*known != '\0' && strcmp(known, id) != 0) {
                wb_fleet_remove(simulation->nodes[i].fleet, known, 0);
                wb_controller_engine_changed(simulation->nodes[i].controller, known);
            }
            g_strlcpy(known, id, sizeof(simulation->nodes[i].known[worker]));
            wb_fleet_announce(simulation->nodes[i].fleet, sim_worker_announce(worker));
            wb_controller_engine_changed(simulation->nodes[i].controller, id);
        }
        wb_fleet_sweep(simulation->nodes[i].fleet, wb_clock_ms());
    }
}

/* The lease expires; after the handover interval a random node acquires it. */
static void lease_step(simulation_t *simulation, gboolean fault_free) {
    int64_t now_ms = wb_clock_ms();
    if (now_ms < simulation->lease_change_ms) {
        return;
    }
    if (simulation->holder >= 0) {
        if (fault_free) {
            return;
        }
        simulation->predecessor_loads =
            wb_controller_recent_loads(simulation->nodes[simulation->holder].controller);
        simulation->holder = -1;
        simulation->lease_change_ms = now_ms + HANDOVER_INTERVAL_MS;
        return;
    }
    simulation->holder = g_rand_int_range(simulation->random, 0, NODES);
    simulation->token++;
    simulation->lease_change_ms = now_ms + g_rand_int_range(simulation->random, 500, LEASE_MAX_MS);
    wb_lease_predecessor_t predecessor = {now_ms - HANDOVER_INTERVAL_MS,
                                          simulation->predecessor_loads, G_MAXUINT};
    for (int i = 0; i < NODES; i++) {
        wb_controller_set_lease(simulation->nodes[i].controller,
                                i == simulation->holder ? simulation->token : 0, &predecessor);
    }
}

static gboolean model_is_loaded(const char *name) {
    for (int worker = 0; worker < SIM_WORKERS; worker++) {
        if (sim_worker_has_model(worker, name)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Clients request models, some far more often than others; a loaded model serves waiting ones. */
static void clients_step(simulation_t *simulation) {
    for (int i = 0; i < SIM_MODELS; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "m%d", i);
        if (simulation->waiting_since_ms[i] != 0 && model_is_loaded(name)) {
            simulation->waiting_since_ms[i] = 0;
        } else if (simulation->waiting_since_ms[i] == 0 &&
                   g_rand_int_range(simulation->random, 0, 4 + 2 * i) == 0) {
            simulation->waiting_since_ms[i] = model_is_loaded(name) ? 0 : wb_clock_ms();
            simulation->adapter_wanted[i] = g_rand_int_range(simulation->random, -6, SIM_ADAPTERS);
        }
    }
}

static void demand_report(simulation_t *simulation) {
    wb_wire_demand_entry entries[SIM_MODELS];
    char names[SIM_MODELS][16];
    char adapters[SIM_MODELS][8];
    wb_wire_demand demand = {.node = (char *)"gateway"};
    for (int i = 0; i < SIM_MODELS; i++) {
        gboolean is_waiting = simulation->waiting_since_ms[i] != 0;
        gboolean adapter_requested = simulation->adapter_wanted[i] >= 0;
        if (!is_waiting && !adapter_requested) {
            continue;
        }
        g_snprintf(names[i], sizeof(names[i]), "m%d", i);
        g_snprintf(adapters[i], sizeof(adapters[i]), adapter_requested ? "a%d" : "",
                   simulation->adapter_wanted[i]);
        entries[demand.entries.entries_len++] =
            (wb_wire_demand_entry){(char *)"llm", names[i], adapters[i], 1, 0, 1, 400, 3000};
        /* An adapter is requested a few times, then its request ends. */
        if (adapter_requested && !is_waiting && g_rand_int_range(simulation->random, 0, 4) == 0) {
            simulation->adapter_wanted[i] = -1;
        }
    }
    demand.entries.entries_val = entries;
    if (simulation->holder >= 0) {
        wb_controller_on_demand(simulation->nodes[simulation->holder].controller, &demand);
    }
}

static void simulation_step(simulation_t *simulation, gboolean fault_free, int64_t step) {
    lease_step(simulation, fault_free);
    if (step % (HEARTBEAT_MS / STEP_MS) == 0) {
        workers_announce(simulation);
    }
    if (step % (DEMAND_MS / STEP_MS) == 0) {
        clients_step(simulation);
        demand_report(simulation);
    }
    if (!fault_free && g_rand_int_range(simulation->random, 0, 800) == 0) {
        sim_worker_restart(g_rand_int_range(simulation->random, 0, SIM_WORKERS));
    }
    virtual_loop_run(wb_clock_ms() + STEP_MS);
    for (int worker = 0; worker < SIM_WORKERS && simulation->violation == NULL; worker++) {
        simulation->violation = sim_worker_capacity_violation(worker);
    }
}

/* Fails if a client has waited for more than half of the fault-free phase. */
static void waiting_check(simulation_t *simulation) {
    for (int i = 0; i < SIM_MODELS && simulation->violation == NULL; i++) {
        int64_t since_ms = simulation->waiting_since_ms[i];
        if (since_ms != 0 && wb_clock_ms() - since_ms > FAULT_FREE_MS / 2) {
            simulation->violation = "a model is waited for and never loaded";
        }
    }
}

/* Runs one seed. Returns the violated invariant, or NULL. */
static const char *seed_run(guint32 seed, unsigned long long *orders) {
    simulation_t simulation = {.random = g_rand_new_with_seed(seed), .holder = -1};
    sim_oracle_t oracle = {oracle_order_received, oracle_store_load_began, &simulation};
    sim_faults_t faults = {
        g_rand_double(simulation.random) * 0.2, g_rand_double(simulation.random) * 0.3,
        g_rand_double(simulation.random) * 0.1, g_rand_double(simulation.random) * 0.1};
    sim_faults_t none = {0};
    current_simulation = &simulation;
    simulation.loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
    catalog_create(&simulation);
    sim_workers_start(simulation.random, simulation.service, &oracle);
    sim_workers_set_faults(&faults);
    nodes_create(&simulation);
    for (int64_t step = 0;
         step < (FAULTS_MS + FAULT_FREE_MS) / STEP_MS && simulation.violation == NULL; step++) {
        gboolean fault_free = step >= FAULTS_MS / STEP_MS;
        if (fault_free) {
            sim_workers_set_faults(&none);
        }
        simulation_step(&simulation, fault_free, step);
    }
    waiting_check(&simulation);
    *orders += simulation.orders;
    /* Controllers have no destructor, since the server keeps them for its lifetime; they leak here.
     */
    virtual_loop_clear();
    sim_workers_stop();
    g_array_unref(simulation.loads);
    g_rand_free(simulation.random);
    return simulation.violation;
}

int main(int argc, char **argv) {
    guint32 first = argc > 1 ? (guint32)atoi(argv[1]) : 1;
    guint32 count = argc > 2 ? (guint32)atoi(argv[2]) : SEEDS;
    unsigned long long orders = 0;
    int failed_seeds = 0;
    for (guint32 seed = first; seed < first + count; seed++) {
        const char *violation = seed_run(seed, &orders);
        if (violation != NULL) {
            printf("seed %u: %s\n", seed, violation);
            failed_seeds++;
        }
    }
    printf("%u seeds, %llu orders, %d with a fault\n", count, orders, failed_seeds);
    return failed_seeds == 0 ? 0 : 1;
}
