/*
 * Plays the placement controller before engines that lose answers, carry orders out late and fall,
 * while the lease moves between two nodes. The oracle sees only engines.
 *
 * Controller, orders, placement and load window are the product's own code; clock, calls and
 * engines are simulated. Fixed seeds. Promises: no engine holds more than it has room or places
 * for, loads from the weight store keep under their ceiling, tokens never fall at an engine, and
 * once nothing goes wrong any more, every model that is waited for is loaded.
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
#define TROUBLED_MS 90000
#define CALM_MS 30000
#define STEP_MS 10
#define HEARTBEAT_MS 300
#define DEMAND_MS 250
#define QUIET_MS 3200
#define LEASE_MOST_MS 25000
#define LOADS_PER_S 1.0
#define WINDOW_MS 5000
#define CEILING ((unsigned)(LOADS_PER_S * 5 * 1.1) + 3)
#define WEIGHTS_MB 100.0
#define ADAPTER_SLOTS 5

typedef struct play_t {
    GRand *random;
    wb_catalog_t *catalog;
    const wb_service_t *service;
    struct {
        wb_fleet_t *fleet;
        wb_controller_t *controller;
        wb_edge_settings_t settings;
        wb_edge_metrics_t metrics;
        char known[SIM_WORKERS][16]; /* ids that it has been told */
    } nodes[NODES];
    int holder; /* -1: nobody */
    uint64_t token;
    int64_t change_ms; /* when the lease moves next */
    unsigned told_loads;
    int64_t waiting_since_ms[SIM_MODELS]; /* 0: nobody waits */
    int adapter_wanted[SIM_MODELS];       /* -1: none */
    GArray *loads;                        /* of int64_t, begun from the weight store */
    uint64_t highest_token[SIM_WORKERS];
    const char *fault;
    unsigned long long orders;
} play_t;

static play_t *playing; /* the callbacks below find the play here */

static gboolean may_act(void *context) {
    return playing->holder == GPOINTER_TO_INT(context);
}

/* Leave to order one engine comes a little after it was asked for, now and then. */
static int64_t authorize_order(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return g_rand_int_range(playing->random, 0, 4) == 0 ? -1 : 0;
}

static int64_t blocked_ms(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return 0;
}

static void heard_ignore(wb_engine_t *engine, void *context) {
    (void)engine;
    (void)context;
}

static void news_ignore(const wb_wire_message *news, void *context) {
    (void)news;
    (void)context;
}

static void order_seen(const char *holder, uint64_t token, int worker, void *context) {
    (void)holder;
    play_t *play = context;
    play->orders++;
    if (token < play->highest_token[worker]) {
        play->fault = "a token fell";
    }
    play->highest_token[worker] = token;
}

static void load_seen(void *context) {
    play_t *play = context;
    int64_t now_ms = wb_clock_ms();
    g_array_append_val(play->loads, now_ms);
    while (now_ms - g_array_index(play->loads, int64_t, 0) >= WINDOW_MS) {
        g_array_remove_index(play->loads, 0);
    }
    if (play->loads->len > CEILING) {
        play->fault = "too many loads from the weight store";
    }
}

static void catalog_open(play_t *play) {
    play->catalog = wb_catalog_create(1);
    wb_service_t *service = wb_catalog_add_service(play->catalog, "llm");
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
    play->service = service;
}

static void nodes_open(play_t *play) {
    for (int i = 0; i < NODES; i++) {
        wb_edge_settings_t *settings = &play->nodes[i].settings;
        settings->id = i == 0 ? "node-0" : "node-1";
        settings->zone = "zone-1";
        settings->load_window_s = WINDOW_MS / 1000.0;
        settings->lease_duration_ms = 1600;
        settings->order_timeout_ms = 400;
        settings->adapter_load_ms = 40;
        settings->prefill_tokens_per_ms = 30;
        play->nodes[i].fleet = wb_fleet_create();
        wb_controller_events_t events = {may_act,     authorize_order,    blocked_ms,
                                         news_ignore, heard_ignore, GINT_TO_POINTER(i)};
        play->nodes[i].controller = wb_controller_create(
            NULL, settings, &sim_dialect, play->nodes[i].fleet, &play->nodes[i].metrics, &events);
        wb_controller_set_catalog(play->nodes[i].controller, play->catalog);
    }
}

/* Engines announce themselves to all nodes; one that has fallen is gone first. */
static void workers_announce(play_t *play) {
    for (int i = 0; i < NODES; i++) {
        for (int worker = 0; worker < SIM_WORKERS; worker++) {
            char *known = play->nodes[i].known[worker];
            const char *id = sim_worker_id(worker);
            if (*known != '\0' && strcmp(known, id) != 0) {
                wb_fleet_remove(play->nodes[i].fleet, known, 0);
                wb_controller_engine_changed(play->nodes[i].controller, known);
            }
            g_strlcpy(known, id, sizeof(play->nodes[i].known[worker]));
            wb_fleet_announce(play->nodes[i].fleet, sim_worker_announce(worker));
            wb_controller_engine_changed(play->nodes[i].controller, id);
        }
        wb_fleet_sweep(play->nodes[i].fleet, wb_clock_ms());
    }
}

/* The lease lapses, rests for the quiet time, and is taken by either node. */
static void lease_move(play_t *play, gboolean calm) {
    int64_t now_ms = wb_clock_ms();
    if (now_ms < play->change_ms) {
        return;
    }
    if (play->holder >= 0) {
        if (calm) {
            return;
        }
        play->told_loads = wb_controller_recent_loads(play->nodes[play->holder].controller);
        play->holder = -1;
        play->change_ms = now_ms + QUIET_MS;
        return;
    }
    play->holder = g_rand_int_range(play->random, 0, NODES);
    play->token++;
    play->change_ms = now_ms + g_rand_int_range(play->random, 500, LEASE_MOST_MS);
    wb_lease_predecessor_t before = {now_ms - QUIET_MS, play->told_loads, G_MAXUINT};
    for (int i = 0; i < NODES; i++) {
        wb_controller_set_lease(play->nodes[i].controller, i == play->holder ? play->token : 0,
                                &before);
    }
}

static gboolean model_is_held(const char *name) {
    for (int worker = 0; worker < SIM_WORKERS; worker++) {
        if (sim_worker_holds(worker, name)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Callers come for models, few for most of them; a model that is there serves those that wait. */
static void callers_play(play_t *play) {
    for (int i = 0; i < SIM_MODELS; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "m%d", i);
        if (play->waiting_since_ms[i] != 0 && model_is_held(name)) {
            play->waiting_since_ms[i] = 0;
        } else if (play->waiting_since_ms[i] == 0 &&
                   g_rand_int_range(play->random, 0, 4 + 2 * i) == 0) {
            play->waiting_since_ms[i] = model_is_held(name) ? 0 : wb_clock_ms();
            play->adapter_wanted[i] = g_rand_int_range(play->random, -6, SIM_ADAPTERS);
        }
    }
}

static void demand_tell(play_t *play) {
    wb_wire_demand_entry entries[SIM_MODELS];
    char names[SIM_MODELS][16];
    char adapters[SIM_MODELS][8];
    wb_wire_demand demand = {.node = (char *)"gateway"};
    for (int i = 0; i < SIM_MODELS; i++) {
        gboolean waits = play->waiting_since_ms[i] != 0;
        gboolean wants_adapter = play->adapter_wanted[i] >= 0;
        if (!waits && !wants_adapter) {
            continue;
        }
        g_snprintf(names[i], sizeof(names[i]), "m%d", i);
        g_snprintf(adapters[i], sizeof(adapters[i]), wants_adapter ? "a%d" : "",
                   play->adapter_wanted[i]);
        entries[demand.entries.entries_len++] =
            (wb_wire_demand_entry){(char *)"llm", names[i], adapters[i], 1, 0, 1, 400, 3000};
        /* An adapter is asked for some times, then its request is over. */
        if (wants_adapter && !waits && g_rand_int_range(play->random, 0, 4) == 0) {
            play->adapter_wanted[i] = -1;
        }
    }
    demand.entries.entries_val = entries;
    if (play->holder >= 0) {
        wb_controller_on_demand(play->nodes[play->holder].controller, &demand);
    }
}

static void step_play(play_t *play, gboolean calm, int64_t step) {
    lease_move(play, calm);
    if (step % (HEARTBEAT_MS / STEP_MS) == 0) {
        workers_announce(play);
    }
    if (step % (DEMAND_MS / STEP_MS) == 0) {
        callers_play(play);
        demand_tell(play);
    }
    if (!calm && g_rand_int_range(play->random, 0, 800) == 0) {
        sim_worker_restart(g_rand_int_range(play->random, 0, SIM_WORKERS));
    }
    virtual_loop_run(wb_clock_ms() + STEP_MS);
    for (int worker = 0; worker < SIM_WORKERS && play->fault == NULL; worker++) {
        play->fault = sim_worker_overfull(worker);
    }
}

/* Waiting for long in a calm time; those that came last still have time. */
static void waits_check(play_t *play) {
    for (int i = 0; i < SIM_MODELS && play->fault == NULL; i++) {
        int64_t since_ms = play->waiting_since_ms[i];
        if (since_ms != 0 && wb_clock_ms() - since_ms > CALM_MS / 2) {
            play->fault = "a model is waited for and never loaded";
        }
    }
}

/* Plays one seed. Returns what broke, or NULL. */
static const char *seed_play(guint32 seed, unsigned long long *orders) {
    play_t play = {.random = g_rand_new_with_seed(seed), .holder = -1};
    sim_oracle_t oracle = {order_seen, load_seen, &play};
    sim_faults_t faults = {g_rand_double(play.random) * 0.2, g_rand_double(play.random) * 0.3,
                           g_rand_double(play.random) * 0.1, g_rand_double(play.random) * 0.1};
    sim_faults_t none = {0};
    playing = &play;
    play.loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
    catalog_open(&play);
    sim_workers_open(play.random, play.service, &oracle);
    sim_workers_set_faults(&faults);
    nodes_open(&play);
    for (int64_t step = 0; step < (TROUBLED_MS + CALM_MS) / STEP_MS && play.fault == NULL; step++) {
        gboolean calm = step >= TROUBLED_MS / STEP_MS;
        if (calm) {
            sim_workers_set_faults(&none);
        }
        step_play(&play, calm, step);
    }
    waits_check(&play);
    *orders += play.orders;
    /* Controllers last as long as the process in the product; here they are left behind. */
    virtual_loop_clear();
    sim_workers_close();
    g_array_unref(play.loads);
    g_rand_free(play.random);
    return play.fault;
}

int main(int argc, char **argv) {
    guint32 first = argc > 1 ? (guint32)atoi(argv[1]) : 1;
    guint32 count = argc > 2 ? (guint32)atoi(argv[2]) : SEEDS;
    unsigned long long orders = 0;
    int faults = 0;
    for (guint32 seed = first; seed < first + count; seed++) {
        const char *fault = seed_play(seed, &orders);
        if (fault != NULL) {
            printf("seed %u: %s\n", seed, fault);
            faults++;
        }
    }
    printf("%u seeds, %llu orders, %d with a fault\n", count, orders, faults);
    return faults == 0 ? 0 : 1;
}
