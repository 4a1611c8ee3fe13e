/* Table of the engines that a gateway knows. */
#include "wickbridge/fleet.h"

#include <string.h>
#include <xxhash.h>

/* Share of the drain time for which an engine whose announcement was removed, or that reported
 * draining, still gets requests that no other engine can take. */
#define GRACE_SHARE 0.5
/* The same after the store was unavailable: running engines announce themselves again about two
 * seconds later. */
#define OUTAGE_GRACE_SHARE 0.75
/* Time for which removed engines are kept. */
#define REMOVED_RETENTION_MS 5000
/* Max incarnations whose reported state is kept beyond that. */
#define REPORTED_STATES_MAX 4096

/* Placement update of the controller for a model or adapter. */
typedef struct wb_placement_update_t {
    gboolean held;
    int64_t until_ms;
    int64_t superseded_from_ms; /* announcements from then on supersede it */
} wb_placement_update_t;

/* State that an incarnation of an engine reported in response headers. */
typedef struct wb_reported_state_t {
    gboolean draining;
    wb_engine_limit_t limit; /* without the recorded send times */
    int64_t backoff_until_ms;
} wb_reported_state_t;

struct wb_fleet_t {
    GHashTable *engines;   /* id -> wb_engine_t, announced */
    GHashTable *services;  /* name -> GPtrArray of wb_engine_t, recently removed ones included */
    GHashTable *reported;  /* incarnation of an engine that was dropped -> wb_reported_state_t */
    GQueue reported_order; /* keys of `reported`, oldest first; borrowed */
    GHashTable *evacuated; /* zone -> int64_t *, start of its evacuation as in wb_engine_t */
};

wb_engine_t *wb_engine_ref(wb_engine_t *engine) {
    engine->references++;
    return engine;
}

void wb_engine_unref(wb_engine_t *engine) {
    if (engine == NULL || --engine->references > 0)
        return;
    wb_engine_state_free(engine->state);
    g_hash_table_unref(engine->overlay);
    g_hash_table_unref(engine->prefixes);
    wb_answer_times_free(engine->answer_times);
    wb_send_limiter_clear(&engine->cold_limiter);
    wb_engine_limit_clear(&engine->limit);
    wb_engine_brittle_clear(&engine->brittle);
    g_free(engine);
}

wb_fleet_t *wb_fleet_create(void) {
    wb_fleet_t *fleet = g_new0(wb_fleet_t, 1);
    fleet->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_engine_unref);
    fleet->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    fleet->reported = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&fleet->reported_order);
    fleet->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return fleet;
}

static GPtrArray *service_engines(wb_fleet_t *fleet, const char *service) {
    GPtrArray *engines = g_hash_table_lookup(fleet->services, service);
    if (engines == NULL) {
        engines = g_ptr_array_new_with_free_func((GDestroyNotify)wb_engine_unref);
        g_hash_table_insert(fleet->services, g_strdup(service), engines);
    }
    return engines;
}

/* Sets when an engine's zone is evacuated. */
static void zone_update(const wb_fleet_t *fleet, wb_engine_t *engine) {
    const int64_t *from_ms = engine->state->zone != NULL
                                 ? g_hash_table_lookup(fleet->evacuated, engine->state->zone)
                                 : NULL;
    engine->evacuated_from_ms = from_ms != NULL ? *from_ms : 0;
}

/* Saves the reported state of an engine that is dropped. It remains valid for the incarnation, even
 * if the engine's row is removed and added again. */
static void reported_state_save(wb_fleet_t *fleet, const wb_engine_t *engine) {
    const char *incarnation = engine->state->incarnation;
    gboolean has_state =
        engine->drain_reported || engine->limit.named || engine->backoff_until_ms != 0;
    wb_reported_state_t *saved = g_hash_table_lookup(fleet->reported, incarnation);
    if (saved == NULL && !has_state) {
        return;
    }
    if (saved == NULL) {
        if (g_hash_table_size(fleet->reported) >= REPORTED_STATES_MAX) {
            g_hash_table_remove(fleet->reported, g_queue_pop_head(&fleet->reported_order));
        }
        char *key = g_strdup(incarnation);
        saved = g_new0(wb_reported_state_t, 1);
        g_hash_table_insert(fleet->reported, key, saved);
        g_queue_push_tail(&fleet->reported_order, key);
    }
    *saved = (wb_reported_state_t){engine->drain_reported, engine->limit, engine->backoff_until_ms};
    saved->limit.limiter = (wb_send_limiter_t){NULL};
}

static void reported_state_restore(const wb_fleet_t *fleet, wb_engine_t *engine) {
    const wb_reported_state_t *saved =
        g_hash_table_lookup(fleet->reported, engine->state->incarnation);
    if (saved != NULL) {
        engine->drain_reported = saved->draining;
        engine->limit = saved->limit;
        engine->backoff_until_ms = saved->backoff_until_ms;
    }
}

/* Engines of a service are brittle alike: a new one is taken to be so before its first response. */
static void brittle_inherit(wb_engine_t *engine, const GPtrArray *others) {
    for (guint i = 0; i < others->len; i++) {
        const wb_engine_brittle_t *other = &((const wb_engine_t *)others->pdata[i])->brittle;
        if (other->named && other->reported_ms > engine->brittle.reported_ms) {
            engine->brittle = (wb_engine_brittle_t){
                .named = TRUE, .rejections = other->rejections, .reported_ms = other->reported_ms};
        }
    }
}

static wb_engine_t *engine_create(wb_fleet_t *fleet, wb_engine_state_t *state) {
    wb_engine_t *engine = g_new0(wb_engine_t, 1);
    engine->references = 1;
    engine->state = state;
    engine->answer_times = wb_answer_times_create();
    engine->overlay = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    wb_list_init(&engine->idle);
    reported_state_restore(fleet, engine);
    brittle_inherit(engine, service_engines(fleet, state->service));
    zone_update(fleet, engine);
    g_hash_table_insert(fleet->engines, g_strdup(state->id), engine);
    g_ptr_array_add(service_engines(fleet, state->service), wb_engine_ref(engine));
    return engine;
}

/* Returns the latest incarnation of a removed engine that is still kept, or NULL. */
static wb_engine_t *removed_find(const wb_fleet_t *fleet, const wb_engine_state_t *state) {
    const GPtrArray *engines = wb_fleet_service(fleet, state->service);
    wb_engine_t *latest = NULL;
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (strcmp(engine->state->id, state->id) == 0 &&
            (latest == NULL || wb_engine_state_is_later(latest->state, engine->state))) {
            latest = engine;
        }
    }
    return latest;
}

/* Puts a removed engine back that is announced again by the same incarnation. */
static void engine_restore(wb_fleet_t *fleet, wb_engine_t *engine) {
    if (engine->gone) {
        g_hash_table_insert(fleet->engines, g_strdup(engine->state->id), wb_engine_ref(engine));
        engine->gone = FALSE;
    }
}

/* Whether an announcement is by another engine than the known one with its id: by a later
 * incarnation, for another service, or of another software version. */
static gboolean is_other_engine(const wb_engine_t *engine, const wb_engine_state_t *state) {
    return wb_engine_state_is_later(engine->state, state) ||
           strcmp(engine->state->service, state->service) != 0 ||
           strcmp(engine->state->software_version, state->software_version) != 0;
}

static void engine_set_state(wb_engine_t *engine, wb_engine_state_t *state) {
    wb_engine_state_free(engine->state);
    engine->state = state;
}

static gboolean update_is_superseded(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((const wb_placement_update_t *)value)->superseded_from_ms <= *(const int64_t *)context;
}

wb_engine_t *wb_fleet_announce(wb_fleet_t *fleet, wb_engine_state_t *state) {
    wb_engine_t *engine = wb_fleet_find(fleet, state->id);
    if (engine == NULL) {
        engine = removed_find(fleet, state);
    }
    if (engine != NULL && wb_engine_state_is_later(state, engine->state)) {
        wb_engine_state_free(state);
        return NULL;
    }
    if (engine == NULL || is_other_engine(engine, state)) {
        wb_fleet_remove(fleet, state->id, 0);
        engine = engine_create(fleet, state);
    } else {
        engine_restore(fleet, engine);
        engine_set_state(engine, state);
        zone_update(fleet, engine);
    }
    int64_t now_ms = wb_clock_ms();
    engine->cold_until_ms = state->cold_ms > 0 ? now_ms + state->cold_ms : 0;
    g_hash_table_foreach_remove(engine->overlay, update_is_superseded, &now_ms);
    if (!state->leaving && !engine->drain_reported)
        engine->draining_since_ms = 0;
    else if (engine->draining_since_ms == 0)
        engine->draining_since_ms = now_ms;
    if (state->leaving)
        engine->grace_until_ms = 0;
    return engine;
}

gboolean wb_engine_set_draining(wb_engine_t *engine, int64_t drain_ms, int64_t now_ms) {
    if (engine->drain_reported) {
        return FALSE;
    }
    engine->drain_reported = TRUE;
    if (engine->draining_since_ms == 0) {
        engine->draining_since_ms = now_ms;
        engine->grace_until_ms = now_ms + (int64_t)(GRACE_SHARE * (double)drain_ms);
    }
    return TRUE;
}

int64_t wb_fleet_grace_until_ms(int64_t known_ms, int64_t drain_ms, int64_t now_ms) {
    if (now_ms - known_ms >= drain_ms) {
        return now_ms + (int64_t)(OUTAGE_GRACE_SHARE * (double)drain_ms);
    }
    return known_ms + (int64_t)(GRACE_SHARE * (double)drain_ms);
}

gboolean wb_engine_is_usable(const wb_engine_t *engine, int64_t now_ms) {
    if (engine->evacuated_from_ms != 0 && now_ms >= engine->evacuated_from_ms) {
        return FALSE;
    }
    return engine->draining_since_ms == 0 ||
           ((engine->gone || engine->drain_reported) && now_ms < engine->grace_until_ms);
}

gboolean wb_engine_is_available(const wb_engine_t *engine) {
    return engine->draining_since_ms == 0 && engine->evacuated_from_ms == 0;
}

void wb_fleet_remove(wb_fleet_t *fleet, const char *id, int64_t grace_until_ms) {
    wb_engine_t *engine = wb_fleet_find(fleet, id);
    if (engine == NULL)
        return;
    engine->gone = TRUE;
    engine->grace_until_ms = engine->draining_since_ms == 0 ? grace_until_ms : 0;
    if (engine->draining_since_ms == 0)
        engine->draining_since_ms = wb_clock_ms();
    g_hash_table_remove(fleet->engines, id);
}

wb_engine_t *wb_fleet_find(const wb_fleet_t *fleet, const char *id) {
    return g_hash_table_lookup(fleet->engines, id);
}

const GPtrArray *wb_fleet_service(const wb_fleet_t *fleet, const char *service) {
    return g_hash_table_lookup(fleet->services, service);
}

GHashTable *wb_fleet_all(const wb_fleet_t *fleet) {
    return fleet->engines;
}

/* Updates the engines of a zone. Returns the number of them that are announced. */
static unsigned zone_update_engines(const wb_fleet_t *fleet, const char *zone) {
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *engines = value;
        for (guint i = 0; i < engines->len; i++) {
            wb_engine_t *engine = g_ptr_array_index(engines, i);
            if (g_strcmp0(engine->state->zone, zone) == 0) {
                zone_update(fleet, engine);
                count += !engine->gone;
            }
        }
    }
    return count;
}

unsigned wb_fleet_evacuate_zone(wb_fleet_t *fleet, const char *zone, int64_t from_ms) {
    g_hash_table_replace(fleet->evacuated, g_strdup(zone), g_memdup2(&from_ms, sizeof(from_ms)));
    return zone_update_engines(fleet, zone);
}

unsigned wb_fleet_end_evacuation(wb_fleet_t *fleet, const char *zone) {
    g_hash_table_remove(fleet->evacuated, zone);
    return zone_update_engines(fleet, zone);
}

gboolean wb_fleet_zone_is_evacuated(const wb_fleet_t *fleet, const char *zone) {
    return g_hash_table_contains(fleet->evacuated, zone);
}

unsigned wb_fleet_evacuated_zones(const wb_fleet_t *fleet) {
    return g_hash_table_size(fleet->evacuated);
}

void wb_fleet_sweep(wb_fleet_t *fleet, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray *engines = value;
        for (guint i = engines->len; i > 0; i--) {
            const wb_engine_t *engine = g_ptr_array_index(engines, i - 1);
            if (engine->gone && now_ms - engine->draining_since_ms > REMOVED_RETENTION_MS) {
                reported_state_save(fleet, engine);
                g_ptr_array_remove_index_fast(engines, i - 1);
            }
        }
    }
}

static char *holding_key(const char *model, const char *adapter) {
    return g_strconcat(model, "/", adapter != NULL ? adapter : "", NULL);
}

void wb_engine_apply_placement(wb_engine_t *engine, const char *model, const char *adapter,
                               gboolean held, int64_t now_ms, int64_t row_after_ms,
                               int64_t valid_ms) {
    wb_placement_update_t *update = g_new(wb_placement_update_t, 1);
    update->superseded_from_ms = now_ms + row_after_ms;
    update->held = held;
    update->until_ms = now_ms + valid_ms;
    g_hash_table_replace(engine->overlay, holding_key(model, adapter), update);
}

/* Returns the update in force, or NULL. Drops an expired one. */
static const wb_placement_update_t *update_find(const wb_engine_t *engine, const char *model,
                                                const char *adapter, int64_t now_ms) {
    if (g_hash_table_size(engine->overlay) == 0)
        return NULL;
    g_autofree char *key = holding_key(model, adapter);
    const wb_placement_update_t *update = g_hash_table_lookup(engine->overlay, key);
    if (update == NULL)
        return NULL;
    if (now_ms < update->until_ms)
        return update;
    g_hash_table_remove(engine->overlay, key);
    return NULL;
}

gboolean wb_engine_holds(const wb_engine_t *engine, const char *model, const char *adapter,
                         int64_t now_ms) {
    const wb_engine_model_t *held = g_hash_table_lookup(engine->state->models, model);
    const wb_placement_update_t *update = update_find(engine, model, "", now_ms);
    if (update != NULL ? !update->held : held == NULL)
        return FALSE;
    if (adapter == NULL || *adapter == '\0')
        return TRUE;
    update = update_find(engine, model, adapter, now_ms);
    if (update != NULL)
        return update->held;
    return held != NULL && g_hash_table_contains(held->adapters, adapter);
}

/* A sum over the models on an engine, so that their order doesn't matter. */
static uint64_t models_digest(const wb_engine_t *engine, uint64_t engine_hash, int64_t now_ms) {
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->state->models);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (wb_engine_holds(engine, key, "", now_ms)) {
            digest += XXH64(key, strlen(key), engine_hash);
        }
    }
    g_hash_table_iter_init(&iter, engine->overlay);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_placement_update_t *update = value;
        const char *slash = strchr(key, '/');
        if (!update->held || now_ms >= update->until_ms || slash[1] != '\0') {
            continue;
        }
        g_autofree char *model = g_strndup(key, (gsize)(slash - (const char *)key));
        if (!g_hash_table_contains(engine->state->models, model)) {
            digest += XXH64(model, strlen(model), engine_hash);
        }
    }
    return digest;
}

uint64_t wb_fleet_digest(const wb_fleet_t *fleet, int64_t now_ms) {
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_engine_t *engine = value;
        const char *id = engine->state->id;
        uint64_t seed = (uint64_t)engine->state->leaving + 2 * (uint64_t)engine->state->born_ms;
        uint64_t engine_hash = XXH64(id, strlen(id), seed);
        digest += engine_hash + models_digest(engine, engine_hash, now_ms);
    }
    return digest;
}

gboolean wb_engine_has_placement_updates(const wb_engine_t *engine) {
    return g_hash_table_size(engine->overlay) > 0;
}

GHashTable *wb_engine_held_models(const wb_engine_t *engine, int64_t now_ms) {
    GHashTable *held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->state->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_engine_model_t *model = value;
        g_hash_table_add(held, holding_key(model->name, ""));
        GHashTableIter adapters;
        gpointer adapter;
        g_hash_table_iter_init(&adapters, model->adapters);
        while (g_hash_table_iter_next(&adapters, &adapter, NULL)) {
            g_hash_table_add(held, holding_key(model->name, adapter));
        }
    }
    gpointer key;
    g_hash_table_iter_init(&iter, engine->overlay);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_placement_update_t *update = value;
        if (now_ms >= update->until_ms) {
            continue;
        }
        if (update->held) {
            g_hash_table_add(held, g_strdup(key));
        } else {
            g_hash_table_remove(held, key);
        }
    }
    return held;
}

gboolean wb_fleet_holds(const wb_fleet_t *fleet, const char *service, const char *model,
                        const char *adapter, int64_t now_ms) {
    const GPtrArray *engines = wb_fleet_service(fleet, service);
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (wb_engine_is_available(engine) && wb_engine_holds(engine, model, adapter, now_ms)) {
            return TRUE;
        }
    }
    return FALSE;
}
