/* Where a model is loaded, and what makes room for it. */
#include "control/placement.h"

#include <math.h>
#include <string.h>

#define IMPOSSIBLE_MS 1e9
/* Dropping a model takes an order and a look whether it was done. */
#define UNLOAD_MS 120.0
/* A run that must end before a model goes holds the load up by about so long. */
#define RUN_END_MS 400.0
/* Sharing a model's requests among one engine fewer costs each of them so much. */
#define SHARE_MS 40.0
/* The last replica costs this, however rarely it is asked for: it may be asked for next. */
#define LAST_REPLICA_MS 150.0
/* How far ahead a model's present rate is believed. */
#define HORIZON_S 4.0
/* Share of an engine's reading that one model's prompts may take before it gets another engine. */
#define READING_SHARE 0.3
/* Share of an engine's places that one model's requests may take before it gets another engine. */
#define SLOTS_SHARE 0.75
/* A request's time at an engine counts up to this; beyond, it waits rather than runs. */
#define LONGEST_RUN_MS 5000.0
/* Share of requests with an adapter whose adapter no engine holds. */
#define ADAPTER_MISSES 0.3
/* Share of prompts' tokens that an engine doesn't have in its cache. */
#define UNREAD_SHARE 0.66
#define FULLEST 0.95
/* A model's engines are slow when they have less than this share of the fastest one's speed on
 * average: two speeds of 1.8 and 0.8 give 0.7 for three to two. */
#define SLOW_SHARE 0.8
/* An engine that loads takes no other order, and the weight store has its limits. */
#define LOAD_PRICE 0.3

static const wb_model_use_t no_use;

static const wb_model_use_t *use_of(const wb_placement_snapshot_t *snapshot, const char *model) {
    const wb_model_use_t *use = g_hash_table_lookup(snapshot->uses, model);
    return use != NULL ? use : &no_use;
}

static double model_mb(const wb_service_t *service, const wb_engine_model_t *held) {
    const wb_model_spec_t *spec = g_hash_table_lookup(service->models, held->name);
    if (spec == NULL)
        return service->weights_mb; /* unknown: nothing fits beside it */
    return spec->weights_mb + spec->adapter_mb * g_hash_table_size(held->adapters);
}

double wb_placement_used_mb(const wb_service_t *service, const wb_engine_state_t *state) {
    double used = 0;
    double largest_adapter = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        used += model_mb(service, value);
        const wb_model_spec_t *spec =
            g_hash_table_lookup(service->models, ((wb_engine_model_t *)value)->name);
        if (spec != NULL)
            largest_adapter = MAX(largest_adapter, spec->adapter_mb);
    }
    return used + state->coming * largest_adapter;
}

gboolean wb_placement_adapter_fits(const wb_service_t *service, const wb_engine_state_t *state,
                                   const wb_model_spec_t *spec) {
    unsigned places = state->coming;
    GHashTableIter iter;
    gpointer held;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &held)) {
        places += g_hash_table_size(((wb_engine_model_t *)held)->adapters);
    }
    return (int)places < service->adapter_slots &&
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

/* Mean wait before a prompt is read, in ms, when so many engines share a model's prompts. */
static double reading_delay_ms(const wb_model_use_t *use, double engines, double tokens_per_ms) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0)
        return 0;
    double work = MAX(use->work_per_s, use->recent_work_per_s) * UNREAD_SHARE;
    double fullness = MIN(work / (tokens_per_ms * 1000.0 * engines), FULLEST);
    double prompt_ms = work / rate / tokens_per_ms;
    return prompt_ms * fullness / (1 - fullness);
}

/* Mean wait for a place among those that run, in ms, when so many engines share a model's requests.
 * What runs includes what waits at engines, so a backlog counts in full. */
static double slots_delay_ms(const wb_model_use_t *use, double engines, unsigned slots) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0 || slots == 0)
        return 0;
    double service_ms = MIN(use->running / rate * 1000.0, LONGEST_RUN_MS);
    double load = use->running / (engines * slots);
    double fullness = MIN(load, FULLEST);
    double queued = pow(fullness, sqrt(2.0 * (slots + 1)) - 1) / (slots * (1 - fullness));
    return service_ms * (queued + MAX(load - 1, 0));
}

/* Time that a request runs at an engine of speed 1, as measured at the engines that it has. */
static double run_ms(const wb_model_use_t *use) {
    double rate = MAX(use->recent_rate_per_s, use->rate_per_s);
    if (rate <= 0 || use->replicas == 0) {
        return 0;
    }
    double measured_ms = MIN(use->running / rate * 1000.0, LONGEST_RUN_MS);
    double mean_speed = use->speed > 0 ? use->speed / use->replicas : 1;
    return measured_ms * mean_speed;
}

/* Time that a request runs, on average, when `engines` of `speed` together share them. */
static double shared_run_ms(const wb_model_use_t *use, double engines, double speed) {
    return speed > 0 ? run_ms(use) * engines / speed : 0;
}

static double speed_or_usual(double speed) {
    return speed > 0 ? speed : 1;
}

/* Mean delay of a model's requests when so many engines share them. */
static double delay_ms(const wb_model_use_t *use, double engines, const wb_engine_capacity_t *power) {
    return reading_delay_ms(use, engines, power->tokens_per_ms) +
           slots_delay_ms(use, engines, power->slots);
}

/* An engine keeps a copy of what it drops on its disk, if it has one. */
static double reload_time_ms(const wb_model_spec_t *spec) {
    return (double)(spec->disk_load_ms > 0 ? spec->disk_load_ms : spec->store_load_ms);
}

/* What a model's requests lose when one of its replicas goes that has so much speed. */
static double replica_loss_ms(const wb_placement_snapshot_t *snapshot, const wb_model_use_t *use,
                              double speed) {
    double all = use->speed > 0 ? use->speed : use->replicas;
    double left = MAX(all - speed, 0.1);
    double waits_ms = delay_ms(use, left, &snapshot->power) - delay_ms(use, all, &snapshot->power);
    double runs_ms =
        shared_run_ms(use, use->replicas - 1, left) - shared_run_ms(use, use->replicas, all);
    return waits_ms + runs_ms;
}

/* What requests lose when an engine drops a model. */
static double drop_cost_ms(const wb_placement_snapshot_t *snapshot, const char *name,
                           double speed) {
    const wb_model_use_t *use = use_of(snapshot, name);
    const wb_model_spec_t *spec = g_hash_table_lookup(snapshot->service->models, name);
    double expected = use->rate_per_s * HORIZON_S;
    if (use->waiting > 0 && use->replicas <= 1)
        return IMPOSSIBLE_MS;
    if (use->replicas > 1) {
        double lost_ms = replica_loss_ms(snapshot, use, speed);
        return expected * MAX(lost_ms, SHARE_MS / use->replicas) +
               (double)use->running / use->replicas * RUN_END_MS;
    }
    double reload_ms = spec != NULL ? reload_time_ms(spec) : 0;
    return LAST_REPLICA_MS + (1 - exp(-expected)) * reload_ms + expected * SHARE_MS +
           use->running * RUN_END_MS;
}

typedef struct wb_candidate_t {
    const char *name;
    double mb;
    double cost_ms;
} wb_candidate_t;

static gint cheaper_first(gconstpointer left, gconstpointer right) {
    const wb_candidate_t *a = left;
    const wb_candidate_t *b = right;
    return a->cost_ms < b->cost_ms ? -1 : a->cost_ms > b->cost_ms;
}

static double speed_of(const wb_placement_snapshot_t *snapshot, const wb_engine_state_t *state) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (place->state == state || strcmp(place->state->id, state->id) == 0) {
            return speed_or_usual(place->speed);
        }
    }
    return 1;
}

static GArray *candidates_collect(const wb_placement_snapshot_t *snapshot,
                                  const wb_engine_state_t *state, double speed) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(wb_candidate_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_engine_model_t *held = value;
        wb_candidate_t candidate = {held->name, model_mb(snapshot->service, held),
                                    drop_cost_ms(snapshot, held->name, speed)};
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, cheaper_first);
    return candidates;
}

/* One model that alone makes room may cost less than several cheap ones. */
static const wb_candidate_t *single_find(const GArray *candidates, double missing_mb) {
    for (guint i = 0; i < candidates->len; i++) {
        const wb_candidate_t *candidate = &g_array_index(candidates, wb_candidate_t, i);
        if (candidate->mb >= missing_mb && candidate->cost_ms < IMPOSSIBLE_MS)
            return candidate;
    }
    return NULL;
}

/* What costs least to drop so that so much room is made; NULL when that can't be done. */
static GPtrArray *victims_gather(const wb_placement_snapshot_t *snapshot,
                                 const wb_engine_state_t *state, double speed, double missing_mb,
                                 double *cost_ms) {
    GPtrArray *victims = g_ptr_array_new_with_free_func(g_free);
    *cost_ms = 0;
    if (missing_mb <= 0)
        return victims;
    g_autoptr(GArray) candidates = candidates_collect(snapshot, state, speed);
    const wb_candidate_t *single = single_find(candidates, missing_mb);
    double gathered_mb = 0;
    double gathered_ms = 0;
    for (guint i = 0; i < candidates->len && gathered_mb < missing_mb; i++) {
        const wb_candidate_t *candidate = &g_array_index(candidates, wb_candidate_t, i);
        g_ptr_array_add(victims, g_strdup(candidate->name));
        gathered_mb += candidate->mb;
        gathered_ms += candidate->cost_ms + UNLOAD_MS;
    }
    gboolean enough = gathered_mb >= missing_mb && gathered_ms < IMPOSSIBLE_MS;
    if (single != NULL && (!enough || single->cost_ms + UNLOAD_MS < gathered_ms)) {
        g_ptr_array_set_size(victims, 0);
        g_ptr_array_add(victims, g_strdup(single->name));
        *cost_ms = single->cost_ms + UNLOAD_MS;
        return victims;
    }
    if (!enough) {
        g_ptr_array_unref(victims);
        return NULL;
    }
    *cost_ms = gathered_ms;
    return victims;
}

static double missing_mb(const wb_placement_snapshot_t *snapshot, const wb_engine_state_t *state,
                         double wanted_mb) {
    return wb_placement_used_mb(snapshot->service, state) + wanted_mb -
           snapshot->service->weights_mb;
}

GPtrArray *wb_placement_victims(const wb_placement_snapshot_t *snapshot,
                                const wb_engine_state_t *state, const wb_model_spec_t *model,
                                double *cost_ms) {
    return victims_gather(snapshot, state, speed_of(snapshot, state),
                          missing_mb(snapshot, state, model->weights_mb), cost_ms);
}

/* What making room costs beyond what the loads that were ordered there before make anyway. Returns
 * FALSE when there can't be room for all of them. */
static gboolean room_cost(const wb_placement_snapshot_t *snapshot,
                          const wb_placement_engine_t *place, const wb_model_spec_t *model,
                          double *cost_ms) {
    double all_ms;
    double speed = speed_or_usual(place->speed);
    double pending_ms = 0;
    double pending_mb = place->pending_mb;
    g_autoptr(GPtrArray) all =
        victims_gather(snapshot, place->state, speed,
                       missing_mb(snapshot, place->state, pending_mb + model->weights_mb), &all_ms);
    if (all == NULL)
        return FALSE;
    if (pending_mb > 0) {
        g_autoptr(GPtrArray) pending =
            victims_gather(snapshot, place->state, speed,
                           missing_mb(snapshot, place->state, pending_mb), &pending_ms);
    }
    *cost_ms = MAX(all_ms - pending_ms, 0);
    return TRUE;
}

/* An engine that loads takes no order for adapters: what those who wait for one lose meanwhile. */
static double blocking_cost_ms(const wb_placement_snapshot_t *snapshot,
                               const wb_engine_state_t *state, double load_ms) {
    double adapters_per_s = 0;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        const wb_model_use_t *use = use_of(snapshot, name);
        adapters_per_s += use->adapter_rate_per_s / MAX(use->replicas, 1);
    }
    return adapters_per_s * ADAPTER_MISSES * (load_ms / 1000.0) * (load_ms / 2);
}

/* What a model's requests lose by running there rather than at a usual engine. A fast engine that a
 * model takes is not there for the others, so the average replica's requests count against it. */
static double running_cost_ms(const wb_placement_snapshot_t *snapshot, const wb_model_use_t *use,
                              double speed) {
    double rate = use->rate_per_s / (use->replicas + use->in_loading + 1);
    double beyond = rate - snapshot->replica_rate_per_s;
    double own_ms = use->replicas > 0 ? run_ms(use) : 0;
    return beyond * HORIZON_S * own_ms * (1 / speed_or_usual(speed) - 1);
}

wb_placement_engine_t *wb_placement_choose(const wb_placement_snapshot_t *snapshot,
                                           const wb_model_spec_t *model, double *cost_ms,
                                           double *victim_cost_ms) {
    wb_placement_engine_t *best = NULL;
    guint len = snapshot->engines->len;
    guint judged = 0;
    for (guint i = 0; i < len && judged < WB_PLACEMENT_MAX_CANDIDATES; i++) {
        wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, (snapshot->first + i) % len);
        if (!place->available || place->in_need ||
            g_hash_table_contains(place->state->models, model->name) ||
            (snapshot->is_loading != NULL &&
             snapshot->is_loading(place->engine, model->name, snapshot->context)))
            continue;
        double victims_ms;
        gboolean from_store;
        double load_ms = wb_placement_load_ms(model, place->state, &from_store);
        if (from_store && snapshot->store_loads_allowed == 0)
            continue;
        judged++;
        if (!room_cost(snapshot, place, model, &victims_ms))
            continue;
        double cost = load_ms + victims_ms + place->busy_ms +
                      blocking_cost_ms(snapshot, place->state, load_ms) +
                      running_cost_ms(snapshot, use_of(snapshot, model->name), place->speed);
        if (best != NULL && cost >= *cost_ms)
            continue;
        best = place;
        *cost_ms = cost;
        *victim_cost_ms = victims_ms;
    }
    return best;
}

unsigned wb_placement_wanted_replicas(const wb_model_use_t *use, const wb_engine_capacity_t *power) {
    double work = MAX(use->work_per_s, use->recent_work_per_s);
    double by_work = work / (power->tokens_per_ms * 1000.0 * READING_SHARE);
    double by_slots = power->slots > 0 ? use->running / (SLOTS_SHARE * power->slots) : 0;
    return (unsigned)ceil(MAX(by_work, by_slots));
}

double wb_placement_total_speed(const wb_model_use_t *use) {
    double held = use->speed > 0 ? use->speed : use->replicas;
    double loading = use->loading_speed > 0 ? use->loading_speed : use->in_loading;
    return held + loading;
}

double wb_placement_max_speed(const wb_placement_snapshot_t *snapshot) {
    double fastest = 0;
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        fastest = MAX(fastest, place->available ? speed_or_usual(place->speed) : 0);
    }
    return fastest;
}

gboolean wb_placement_engines_are_slow(const wb_model_use_t *use, double fastest) {
    unsigned engines = use->replicas + use->in_loading;
    return engines > 0 && wb_placement_total_speed(use) / engines < SLOW_SHARE * fastest;
}

double wb_placement_gain_ms(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                            double speed) {
    double engines = MAX(use->replicas + use->in_loading, 1);
    double now = MAX(wb_placement_total_speed(use), 0.1);
    double then = now + speed_or_usual(speed);
    double saved_ms = delay_ms(use, now, power) - delay_ms(use, then, power);
    saved_ms += shared_run_ms(use, engines, now) - shared_run_ms(use, engines + 1, then);
    return use->rate_per_s * HORIZON_S * saved_ms;
}

double wb_placement_store_load_cost_ms(const wb_model_spec_t *model) {
    return LOAD_PRICE * (double)model->store_load_ms;
}

double wb_placement_load_cost_ms(const wb_model_spec_t *model, const wb_engine_state_t *state) {
    return LOAD_PRICE * wb_placement_load_ms(model, state, NULL);
}
