/* Engines as a gateway knows them. */
#include "wickbridge/fleet.h"

#include <string.h>
#include <xxhash.h>

/* Share of a drain's time for which an engine that is gone, or has told that it leaves, still gets
 * work if there is no other. */
#define GONE_USE_SHARE 0.5
/* The same after the store was away; an engine that lives is back about two seconds later. */
#define LAPSED_USE_SHARE 0.75
#define GONE_KEPT_MS 5000
/* Starts of engines whose told state is kept beyond that. */
#define TOLD_KEPT_MOST 4096

/* The controller's news of a model or adapter. */
typedef struct wb_note_t {
    gboolean held;
    int64_t until_ms;
    int64_t row_from_ms; /* announcements from then on know better */
} wb_note_t;

/* What a start of an engine told of itself. */
typedef struct wb_kept_state_t {
    gboolean leaving;
    wb_engine_limit_t limit; /* without what was sent */
    int64_t backoff_until_ms;
} wb_kept_state_t;

struct wb_fleet_t {
    GHashTable *engines;  /* id -> wb_engine_t, announced */
    GHashTable *services; /* name -> GPtrArray of wb_engine_t, with those just gone */
    GHashTable *told;     /* incarnation of an engine that was forgotten -> wb_kept_state_t */
    GQueue told_order;    /* their keys, oldest first; borrowed */
    GHashTable *closed;   /* zone that is being evacuated -> int64_t *, as evacuated_from_ms */
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
    wb_send_limiter_clear(&engine->cold_limiter);
    wb_engine_limit_clear(&engine->limit);
    g_free(engine);
}

wb_fleet_t *wb_fleet_create(void) {
    wb_fleet_t *fleet = g_new0(wb_fleet_t, 1);
    fleet->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_engine_unref);
    fleet->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    fleet->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&fleet->told_order);
    fleet->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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

/* Sets from when on an engine gets nothing new by its zone. */
static void zone_apply(const wb_fleet_t *fleet, wb_engine_t *engine) {
    const int64_t *from_ms = engine->state->zone != NULL
                                 ? g_hash_table_lookup(fleet->closed, engine->state->zone)
                                 : NULL;
    engine->evacuated_from_ms = from_ms != NULL ? *from_ms : 0;
}

/* What an engine told holds for its start, however often its row goes and comes back. */
static void told_keep(wb_fleet_t *fleet, const wb_engine_t *engine) {
    const char *incarnation = engine->state->incarnation;
    gboolean told = engine->drain_reported || engine->limit.named || engine->backoff_until_ms != 0;
    wb_kept_state_t *kept = g_hash_table_lookup(fleet->told, incarnation);
    if (kept == NULL && !told) {
        return;
    }
    if (kept == NULL) {
        if (g_hash_table_size(fleet->told) >= TOLD_KEPT_MOST) {
            g_hash_table_remove(fleet->told, g_queue_pop_head(&fleet->told_order));
        }
        char *key = g_strdup(incarnation);
        kept = g_new0(wb_kept_state_t, 1);
        g_hash_table_insert(fleet->told, key, kept);
        g_queue_push_tail(&fleet->told_order, key);
    }
    *kept = (wb_kept_state_t){engine->drain_reported, engine->limit, engine->backoff_until_ms};
    kept->limit.gate = (wb_send_limiter_t){NULL};
}

static void told_restore(const wb_fleet_t *fleet, wb_engine_t *engine) {
    const wb_kept_state_t *kept = g_hash_table_lookup(fleet->told, engine->state->incarnation);
    if (kept != NULL) {
        engine->drain_reported = kept->leaving;
        engine->limit = kept->limit;
        engine->backoff_until_ms = kept->backoff_until_ms;
    }
}

static wb_engine_t *engine_create(wb_fleet_t *fleet, wb_engine_state_t *state) {
    wb_engine_t *engine = g_new0(wb_engine_t, 1);
    engine->references = 1;
    engine->state = state;
    engine->overlay = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    wb_list_init(&engine->idle);
    told_restore(fleet, engine);
    zone_apply(fleet, engine);
    g_hash_table_insert(fleet->engines, g_strdup(state->id), engine);
    g_ptr_array_add(service_engines(fleet, state->service), wb_engine_ref(engine));
    return engine;
}

/* Returns the latest start of an engine that is no longer announced, or NULL. */
static wb_engine_t *gone_find(const wb_fleet_t *fleet, const wb_engine_state_t *state) {
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

/* An engine that was removed and announces itself again, and hasn't started anew, is the same. */
static void engine_return(wb_fleet_t *fleet, wb_engine_t *engine) {
    if (engine->gone) {
        g_hash_table_insert(fleet->engines, g_strdup(engine->state->id), wb_engine_ref(engine));
        engine->gone = FALSE;
    }
}

/* Whether an announcement is of another engine than the one known by its id: a later start of it,
 * or one of another service. */
static gboolean is_another(const wb_engine_t *engine, const wb_engine_state_t *state) {
    return wb_engine_state_is_later(engine->state, state) ||
           strcmp(engine->state->service, state->service) != 0;
}

static void engine_take(wb_engine_t *engine, wb_engine_state_t *state) {
    wb_engine_state_free(engine->state);
    engine->state = state;
}

static gboolean note_is_settled(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((const wb_note_t *)value)->row_from_ms <= *(const int64_t *)context;
}

wb_engine_t *wb_fleet_announce(wb_fleet_t *fleet, wb_engine_state_t *state) {
    wb_engine_t *engine = wb_fleet_find(fleet, state->id);
    if (engine == NULL) {
        engine = gone_find(fleet, state);
    }
    if (engine != NULL && wb_engine_state_is_later(state, engine->state)) {
        wb_engine_state_free(state);
        return NULL;
    }
    if (engine == NULL || is_another(engine, state)) {
        wb_fleet_remove(fleet, state->id, 0);
        engine = engine_create(fleet, state);
    } else {
        engine_return(fleet, engine);
        engine_take(engine, state);
        zone_apply(fleet, engine);
    }
    int64_t now_ms = wb_clock_ms();
    engine->cold_until_ms = state->cold_ms > 0 ? now_ms + state->cold_ms : 0;
    g_hash_table_foreach_remove(engine->overlay, note_is_settled, &now_ms);
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
        engine->grace_until_ms = now_ms + (int64_t)(GONE_USE_SHARE * (double)drain_ms);
    }
    return TRUE;
}

int64_t wb_fleet_grace_until_ms(int64_t known_ms, int64_t drain_ms, int64_t now_ms) {
    if (now_ms - known_ms >= drain_ms) {
        return now_ms + (int64_t)(LAPSED_USE_SHARE * (double)drain_ms);
    }
    return known_ms + (int64_t)(GONE_USE_SHARE * (double)drain_ms);
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

/* Sets what has changed for the engines of a zone. Returns how many there are. */
static unsigned zone_apply_to_all(const wb_fleet_t *fleet, const char *zone) {
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *engines = value;
        for (guint i = 0; i < engines->len; i++) {
            wb_engine_t *engine = g_ptr_array_index(engines, i);
            if (g_strcmp0(engine->state->zone, zone) == 0) {
                zone_apply(fleet, engine);
                count += !engine->gone;
            }
        }
    }
    return count;
}

unsigned wb_fleet_evacuate_zone(wb_fleet_t *fleet, const char *zone, int64_t from_ms) {
    g_hash_table_replace(fleet->closed, g_strdup(zone), g_memdup2(&from_ms, sizeof(from_ms)));
    return zone_apply_to_all(fleet, zone);
}

unsigned wb_fleet_end_evacuation(wb_fleet_t *fleet, const char *zone) {
    g_hash_table_remove(fleet->closed, zone);
    return zone_apply_to_all(fleet, zone);
}

gboolean wb_fleet_zone_is_evacuated(const wb_fleet_t *fleet, const char *zone) {
    return g_hash_table_contains(fleet->closed, zone);
}

unsigned wb_fleet_evacuated_zones(const wb_fleet_t *fleet) {
    return g_hash_table_size(fleet->closed);
}

void wb_fleet_sweep(wb_fleet_t *fleet, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray *engines = value;
        for (guint i = engines->len; i > 0; i--) {
            const wb_engine_t *engine = g_ptr_array_index(engines, i - 1);
            if (engine->gone && now_ms - engine->draining_since_ms > GONE_KEPT_MS) {
                told_keep(fleet, engine);
                g_ptr_array_remove_index_fast(engines, i - 1);
            }
        }
    }
}

static char *note_key(const char *model, const char *adapter) {
    return g_strconcat(model, "/", adapter != NULL ? adapter : "", NULL);
}

void wb_engine_apply_placement(wb_engine_t *engine, const char *model, const char *adapter, gboolean held,
                    int64_t now_ms, int64_t row_after_ms, int64_t valid_ms) {
    wb_note_t *note = g_new(wb_note_t, 1);
    note->row_from_ms = now_ms + row_after_ms;
    note->held = held;
    note->until_ms = now_ms + valid_ms;
    g_hash_table_replace(engine->overlay, note_key(model, adapter), note);
}

/* Returns the news that still counts, or NULL. */
static const wb_note_t *note_find(const wb_engine_t *engine, const char *model, const char *adapter,
                                  int64_t now_ms) {
    if (g_hash_table_size(engine->overlay) == 0)
        return NULL;
    g_autofree char *key = note_key(model, adapter);
    const wb_note_t *note = g_hash_table_lookup(engine->overlay, key);
    if (note == NULL)
        return NULL;
    if (now_ms < note->until_ms)
        return note;
    g_hash_table_remove(engine->overlay, key);
    return NULL;
}

gboolean wb_engine_holds(const wb_engine_t *engine, const char *model, const char *adapter,
                         int64_t now_ms) {
    const wb_engine_model_t *held = g_hash_table_lookup(engine->state->models, model);
    const wb_note_t *note = note_find(engine, model, "", now_ms);
    if (note != NULL ? !note->held : held == NULL)
        return FALSE;
    if (adapter == NULL || *adapter == '\0')
        return TRUE;
    note = note_find(engine, model, adapter, now_ms);
    if (note != NULL)
        return note->held;
    return held != NULL && g_hash_table_contains(held->adapters, adapter);
}

/* A sum over what an engine holds, so that the order doesn't matter. */
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
        const wb_note_t *note = value;
        const char *slash = strchr(key, '/');
        if (!note->held || now_ms >= note->until_ms || slash[1] != '\0') {
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
        uint64_t told = (uint64_t)engine->state->leaving + 2 * (uint64_t)engine->state->born_ms;
        uint64_t engine_hash = XXH64(id, strlen(id), told);
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
        g_hash_table_add(held, note_key(model->name, ""));
        GHashTableIter adapters;
        gpointer adapter;
        g_hash_table_iter_init(&adapters, model->adapters);
        while (g_hash_table_iter_next(&adapters, &adapter, NULL)) {
            g_hash_table_add(held, note_key(model->name, adapter));
        }
    }
    gpointer key;
    g_hash_table_iter_init(&iter, engine->overlay);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_note_t *note = value;
        if (now_ms >= note->until_ms) {
            continue;
        }
        if (note->held) {
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
