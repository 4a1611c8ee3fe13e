/* Chooses engines to load models on, and models to evict. */
#include "control/placement.h"

#include <math.h>
#include <string.h>

/* Cost of an eviction that must not be made. */
#define INFEASIBLE_MS 1e9
/* Time for the unload order and the check that it was carried out. */
#define UNLOAD_MS 120.0
/* Delay of a load by a running request, which must end before its model is unloaded. */
#define RUN_COMPLETION_MS 400.0
/* Minimum cost per request of losing one of several replicas, to be divided by their number; of the
 * last replica, the cost per request in addition to a reload. */
#define REPLICA_LOSS_MS 40.0
/* Minimum cost of evicting a model's last replica, even if no request for it is expected. */
#define LAST_REPLICA_MS 150.0
/* Period for which the present request rate is extrapolated. */
#define HORIZON_S 4.0
/* Share of an engine's prefill capacity that a model may use before it gets one more engine. */
#define PREFILL_SHARE 0.3
/* Share of an engine's slots that a model may use before it gets one more engine. */
#define SLOT_SHARE 0.75
/* Upper bound of a request's running time; the rest is taken to be time spent waiting. */
#define MAX_RUN_MS 5000.0
/* Share of the requests with an adapter that must wait until it is loaded. */
#define ADAPTER_MISS_RATIO 0.3
/* Share of prompt tokens that aren't in the engine's prefix cache. */
#define UNCACHED_SHARE 0.66
/* Bounds the queueing formulas, which diverge at 1. */
#define MAX_UTILIZATION 0.95
/* Mean speed of a model's engines, relative to the fastest engine, below which they are slow. */
#define SLOW_SPEED_RATIO 0.8
/* Share of a load's time that it costs other requests: the engine takes no other order meanwhile,
 * and the weight store's bandwidth is limited. */
#define LOAD_COST_SHARE 0.3

static const wb_model_use_t no_use;

static const wb_model_use_t *use_find(const wb_placement_snapshot_t *snapshot, const char *model) {
    const wb_model_use_t *use = g_hash_table_lookup(snapshot->uses, model);
    return use != NULL ? use : &no_use;
}

static double held_model_mb(const wb_service_t *service, const wb_engine_model_t *held) {
    const wb_model_spec_t *spec = g_hash_table_lookup(service->models, held->name);
    if (spec == NULL)
        return service->weights_mb; /* unknown model: assume that it takes all the memory */
    return spec->weights_mb + spec->adapter_mb * g_hash_table_size(held->adapters);
}

double wb_placement_used_mb(const wb_service_t *service, const wb_engine_state_t *state) {
    double used = 0;
    double largest_adapter = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        used += held_model_mb(service, value);
        const wb_model_spec_t *spec =
            g_hash_table_lookup(service->models, ((wb_engine_model_t *)value)->name);
        if (spec != NULL)
            largest_adapter = MAX(largest_adapter, spec->adapter_mb);
    }
    return used + state->coming * largest_adapter;
}

gboolean wb_placement_adapter_fits(const wb_service_t *service, const wb_engine_state_t *state,
                                   const wb_model_spec_t *spec) {
    unsigned adapters = state->coming;
    GHashTableIter iter;
    gpointer held;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &held)) {
        adapters += g_hash_table_size(((wb_engine_model_t *)held)->adapters);
    }
    return (int)adapters < service->adapter_slots &&
           wb_placement_used_mb(service, state) + spec->adapter_mb <= service->weights_mb;
}

double wb_placement_load_ms(const wb_model_spec_t *model, const wb_engine_state_t *state,
                            gboolean *from_store) {
    gboolean in_memory = g_hash_table_contains(state->in_memory, model->name);
    gboolean on_disk = g_hash_table_contains(state->on_disk, model->name);
    if (from_store != NULL)
        *from_store = !in_memory && !on_disk;
    if (in_memory && model->memory_load_ms > 0)
        return (double)model->memory_load_ms;
    if ((in_memory || on_disk) && model->disk_load_ms > 0)
        return (double)model->disk_load_ms;
    if (from_store != NULL)
        *from_store = TRUE;
    return (double)model->store_load_ms;
}

/* Mean queueing delay of the prefill, in ms, when this many engines share a model's prompts. */
static double prefill_delay_ms(const wb_model_use_t *use, double engines, double tokens_per_ms) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0)
        return 0;
    double work = MAX(use->work_per_s, use->recent_work_per_s) * UNCACHED_SHARE;
    double utilization = MIN(work / (tokens_per_ms * 1000.0 * engines), MAX_UTILIZATION);
    double prompt_ms = work / rate / tokens_per_ms;
    return prompt_ms * utilization / (1 - utilization);
}

/* Mean queueing delay for a slot, in ms, when this many engines share a model's requests. `running`
 * includes requests queued at engines, so that a backlog counts in full. */
static double slots_delay_ms(const wb_model_use_t *use, double engines, unsigned slots) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0 || slots == 0)
        return 0;
    double service_ms = MIN(use->running / rate * 1000.0, MAX_RUN_MS);
    double load = use->running / (engines * slots);
    double utilization = MIN(load, MAX_UTILIZATION);
    double queued = pow(utilization, sqrt(2.0 * (slots + 1)) - 1) / (slots * (1 - utilization));
    return service_ms * (queued + MAX(load - 1, 0));
}

/* Mean time that a request runs at an engine of speed 1, derived from the present replicas. */
static double run_ms(const wb_model_use_t *use) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0 || use->replicas == 0) {
        return 0;
    }
    double measured_ms = MIN(use->running / rate * 1000.0, MAX_RUN_MS);
    double mean_speed = use->speed > 0 ? use->speed / use->replicas : 1;
    return measured_ms * mean_speed;
}

/* Mean time that a request runs when `engines` with the total speed `speed` share a model. */
static double shared_run_ms(const wb_model_use_t *use, double engines, double speed) {
    return speed > 0 ? run_ms(use) * engines / speed : 0;
}

static double speed_or_baseline(double speed) {
    return speed > 0 ? speed : 1;
}

/* Mean queueing delay of a model's requests when this many engines share them. */
static double delay_ms(const wb_model_use_t *use, double engines,
                       const wb_engine_capacity_t *power) {
    return prefill_delay_ms(use, engines, power->tokens_per_ms) +
           slots_delay_ms(use, engines, power->slots);
}

/* Time to load an evicted model again; the engine keeps a copy on its disk, if it has one. */
static double reload_time_ms(const wb_model_spec_t *spec) {
    return (double)(spec->disk_load_ms > 0 ? spec->disk_load_ms : spec->store_load_ms);
}

/* Delay added to each of a model's requests by the loss of a replica with this speed. */
static double replica_loss_ms(const wb_placement_snapshot_t *snapshot, const wb_model_use_t *use,
                              double speed) {
    double all = use->speed > 0 ? use->speed : use->replicas;
    double left = MAX(all - speed, 0.1);
    double waits_ms = delay_ms(use, left, &snapshot->power) - delay_ms(use, all, &snapshot->power);
    double runs_ms =
        shared_run_ms(use, use->replicas - 1, left) - shared_run_ms(use, use->replicas, all);
    return waits_ms + runs_ms;
}

/* Cost of evicting a model from an engine with this speed. */
static double eviction_cost_ms(const wb_placement_snapshot_t *snapshot, const char *name,
                               double speed) {
    const wb_model_use_t *use = use_find(snapshot, name);
    const wb_model_spec_t *spec = g_hash_table_lookup(snapshot->service->models, name);
    double expected = use->rate_per_s * HORIZON_S;
    if (use->waiting > 0 && use->replicas <= 1)
        return INFEASIBLE_MS;
    if (use->replicas > 1) {
        double lost_ms = replica_loss_ms(snapshot, use, speed);
        return expected * MAX(lost_ms, REPLICA_LOSS_MS / use->replicas) +
               (double)use->running / use->replicas * RUN_COMPLETION_MS;
    }
    double reload_ms = spec != NULL ? reload_time_ms(spec) : 0;
    return LAST_REPLICA_MS + (1 - exp(-expected)) * reload_ms + expected * REPLICA_LOSS_MS +
           use->running * RUN_COMPLETION_MS;
}

/* A model that could be evicted. */
typedef struct wb_eviction_t {
    const char *name;
    double mb;
    double cost_ms;
} wb_eviction_t;

static gint cheaper_first(gconstpointer left, gconstpointer right) {
    const wb_eviction_t *a = left;
    const wb_eviction_t *b = right;
    return a->cost_ms < b->cost_ms ? -1 : a->cost_ms > b->cost_ms;
}

static double speed_of(const wb_placement_snapshot_t *snapshot, const wb_engine_state_t *state) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (candidate->state == state || strcmp(candidate->state->id, state->id) == 0) {
            return speed_or_baseline(candidate->speed);
        }
    }
    return 1;
}

static GArray *evictions_collect(const wb_placement_snapshot_t *snapshot,
                                 const wb_engine_state_t *state, double speed) {
    GArray *evictions = g_array_new(FALSE, FALSE, sizeof(wb_eviction_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_engine_model_t *held = value;
        wb_eviction_t eviction = {held->name, held_model_mb(snapshot->service, held),
                                  eviction_cost_ms(snapshot, held->name, speed)};
        g_array_append_val(evictions, eviction);
    }
    g_array_sort(evictions, cheaper_first);
    return evictions;
}

/* Finds the cheapest model that frees enough memory by itself. Evicting it may cost less than
 * evicting several cheaper ones. */
static const wb_eviction_t *single_victim_find(const GArray *evictions, double needed_mb) {
    for (guint i = 0; i < evictions->len; i++) {
        const wb_eviction_t *eviction = &g_array_index(evictions, wb_eviction_t, i);
        if (eviction->mb >= needed_mb && eviction->cost_ms < INFEASIBLE_MS)
            return eviction;
    }
    return NULL;
}

/* Selects the cheapest models to evict so that this much memory becomes free. Returns NULL when
 * that can't be done. */
static GPtrArray *victims_select(const wb_placement_snapshot_t *snapshot,
                                 const wb_engine_state_t *state, double speed, double needed_mb,
                                 double *cost_ms) {
    GPtrArray *victims = g_ptr_array_new_with_free_func(g_free);
    *cost_ms = 0;
    if (needed_mb <= 0)
        return victims;
    g_autoptr(GArray) evictions = evictions_collect(snapshot, state, speed);
    const wb_eviction_t *single = single_victim_find(evictions, needed_mb);
    double selected_mb = 0;
    double selected_ms = 0;
    for (guint i = 0; i < evictions->len && selected_mb < needed_mb; i++) {
        const wb_eviction_t *eviction = &g_array_index(evictions, wb_eviction_t, i);
        g_ptr_array_add(victims, g_strdup(eviction->name));
        selected_mb += eviction->mb;
        selected_ms += eviction->cost_ms + UNLOAD_MS;
    }
    gboolean enough = selected_mb >= needed_mb && selected_ms < INFEASIBLE_MS;
    if (single != NULL && (!enough || single->cost_ms + UNLOAD_MS < selected_ms)) {
        g_ptr_array_set_size(victims, 0);
        g_ptr_array_add(victims, g_strdup(single->name));
        *cost_ms = single->cost_ms + UNLOAD_MS;
        return victims;
    }
    if (!enough) {
        g_ptr_array_unref(victims);
        return NULL;
    }
    *cost_ms = selected_ms;
    return victims;
}

static double needed_mb(const wb_placement_snapshot_t *snapshot, const wb_engine_state_t *state,
                        double wanted_mb) {
    return wb_placement_used_mb(snapshot->service, state) + wanted_mb -
           snapshot->service->weights_mb;
}

GPtrArray *wb_placement_victims(const wb_placement_snapshot_t *snapshot,
                                const wb_engine_state_t *state, const wb_model_spec_t *model,
                                double *cost_ms) {
    return victims_select(snapshot, state, speed_of(snapshot, state),
                          needed_mb(snapshot, state, model->weights_mb), cost_ms);
}

/* Computes the cost of evictions beyond those that loads already pending there need. Returns FALSE
 * when they can't all be made to fit. */
static gboolean additional_eviction_cost(const wb_placement_snapshot_t *snapshot,
                                         const wb_placement_engine_t *candidate,
                                         const wb_model_spec_t *model, double *cost_ms) {
    double all_ms;
    double speed = speed_or_baseline(candidate->speed);
    double pending_ms = 0;
    double pending_mb = candidate->pending_mb;
    g_autoptr(GPtrArray) all = victims_select(
        snapshot, candidate->state, speed,
        needed_mb(snapshot, candidate->state, pending_mb + model->weights_mb), &all_ms);
    if (all == NULL)
        return FALSE;
    if (pending_mb > 0) {
        g_autoptr(GPtrArray) pending =
            victims_select(snapshot, candidate->state, speed,
                           needed_mb(snapshot, candidate->state, pending_mb), &pending_ms);
    }
    *cost_ms = MAX(all_ms - pending_ms, 0);
    return TRUE;
}

/* An engine that loads a model takes no orders for adapters: the delay of requests that wait for
 * one meanwhile. */
static double blocking_cost_ms(const wb_placement_snapshot_t *snapshot,
                               const wb_engine_state_t *state, double load_ms) {
    double adapters_per_s = 0;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        const wb_model_use_t *use = use_find(snapshot, name);
        adapters_per_s += use->adapter_rate_per_s / MAX(use->replicas, 1);
    }
    return adapters_per_s * ADAPTER_MISS_RATIO * (load_ms / 1000.0) * (load_ms / 2);
}

/* Running time that a model's requests lose at an engine of this speed compared to a baseline
 * engine; negative at a faster one. A fast engine is then no longer free for other models, so only
 * the request rate above that of an average replica counts. */
static double running_cost_ms(const wb_placement_snapshot_t *snapshot, const wb_model_use_t *use,
                              double speed) {
    double rate = use->rate_per_s / (use->replicas + use->loading_replicas + 1);
    double excess_rate = rate - snapshot->replica_rate_per_s;
    double own_ms = use->replicas > 0 ? run_ms(use) : 0;
    return excess_rate * HORIZON_S * own_ms * (1 / speed_or_baseline(speed) - 1);
}

gboolean wb_placement_allows(const wb_placement_snapshot_t *snapshot,
                             const wb_placement_engine_t *candidate) {
    return snapshot->software_version == NULL ||
           strcmp(candidate->engine->state->software_version, snapshot->software_version) == 0;
}

wb_placement_engine_t *wb_placement_choose(const wb_placement_snapshot_t *snapshot,
                                           const wb_model_spec_t *model, double *cost_ms,
                                           double *victim_cost_ms) {
    wb_placement_engine_t *best = NULL;
    guint len = snapshot->engines->len;
    guint evaluated = 0;
    for (guint i = 0; i < len && evaluated < WB_PLACEMENT_MAX_CANDIDATES; i++) {
        wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, (snapshot->first + i) % len);
        if (!candidate->available || candidate->overloaded ||
            !wb_placement_allows(snapshot, candidate) ||
            g_hash_table_contains(candidate->state->models, model->name) ||
            (snapshot->is_loading != NULL &&
             snapshot->is_loading(candidate->engine, model->name, snapshot->context)))
            continue;
        double victims_ms;
        gboolean from_store;
        double load_ms = wb_placement_load_ms(model, candidate->state, &from_store);
        if (from_store && snapshot->store_loads_allowed == 0)
            continue;
        evaluated++;
        if (!additional_eviction_cost(snapshot, candidate, model, &victims_ms))
            continue;
        double cost = load_ms + victims_ms + candidate->busy_ms +
                      blocking_cost_ms(snapshot, candidate->state, load_ms) +
                      running_cost_ms(snapshot, use_find(snapshot, model->name), candidate->speed);
        if (best != NULL && cost >= *cost_ms)
            continue;
        best = candidate;
        *cost_ms = cost;
        *victim_cost_ms = victims_ms;
    }
    return best;
}

unsigned wb_placement_wanted_replicas(const wb_model_use_t *use,
                                      const wb_engine_capacity_t *power) {
    double work = MAX(use->work_per_s, use->recent_work_per_s);
    double by_work = work / (power->tokens_per_ms * 1000.0 * PREFILL_SHARE);
    double by_slots = power->slots > 0 ? use->running / (SLOT_SHARE * power->slots) : 0;
    return (unsigned)ceil(MAX(by_work, by_slots));
}

double wb_placement_total_speed(const wb_model_use_t *use) {
    double held = use->speed > 0 ? use->speed : use->replicas;
    double loading = use->loading_speed > 0 ? use->loading_speed : use->loading_replicas;
    return held + loading;
}

double wb_placement_max_speed(const wb_placement_snapshot_t *snapshot) {
    double fastest = 0;
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        fastest = MAX(fastest, candidate->available ? speed_or_baseline(candidate->speed) : 0);
    }
    return fastest;
}

gboolean wb_placement_engines_are_slow(const wb_model_use_t *use, double fastest) {
    unsigned engines = use->replicas + use->loading_replicas;
    return engines > 0 && wb_placement_total_speed(use) / engines < SLOW_SPEED_RATIO * fastest;
}

double wb_placement_gain_ms(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                            double speed) {
    double engines = MAX(use->replicas + use->loading_replicas, 1);
    double speed_now = MAX(wb_placement_total_speed(use), 0.1);
    double speed_then = speed_now + speed_or_baseline(speed);
    double saved_ms = delay_ms(use, speed_now, power) - delay_ms(use, speed_then, power);
    saved_ms +=
        shared_run_ms(use, engines, speed_now) - shared_run_ms(use, engines + 1, speed_then);
    return use->rate_per_s * HORIZON_S * saved_ms;
}

double wb_placement_store_load_cost_ms(const wb_model_spec_t *model) {
    return LOAD_COST_SHARE * (double)model->store_load_ms;
}

double wb_placement_load_cost_ms(const wb_model_spec_t *model, const wb_engine_state_t *state) {
    return LOAD_COST_SHARE * wb_placement_load_ms(model, state, NULL);
}
