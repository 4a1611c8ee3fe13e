/* The placement controller: decides which engine loads or drops what. */
#include "control/controller.h"

#include "control/demand_book.h"
#include "control/engine_orders.h"
#include "control/load_window.h"
#include "control/placement.h"

#include "wickbridge/event_log.h"

#include <string.h>
#include <xxhash.h>

#define TICK_MS 50
/* A model that is waited for though an engine should hold it gets another engine after this time.
 */
#define STUCK_MS 600
#define SPREAD_INTERVAL_MS 300
#define SPREADS_AT_ONCE 3
/* Between two decisions that messages ask for lies at least so many times what one takes. */
#define DECISION_REST 8
/* Making room takes about so long before a load begins. */
#define DROP_TIME_MS 250
/* An adapter that runs counts as asked for so much later than it was. */
#define RUNNING_BONUS_MS 30000

struct wb_controller_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    const wb_dialect_t *dialect;
    wb_fleet_t *fleet;
    wb_edge_metrics_t *metrics;
    wb_controller_events_t events;
    wb_catalog_t *catalog;
    uint64_t token; /* 0: not acting */
    wb_demand_book_t *book;
    GHashTable *orders;  /* engine id -> wb_engine_orders_t */
    GHashTable *windows; /* service -> wb_load_window_t */
    int64_t spread_ms;
    int64_t next_us; /* not before this is a decision made for a message */
};

static gboolean owner_may_act(void *context) {
    wb_controller_t *controller = context;
    return controller->token != 0 && controller->events.may_act(controller->events.context);
}

static const wb_service_t *owner_service(const char *name, void *context) {
    const wb_controller_t *controller = context;
    return controller->catalog != NULL ? wb_catalog_service(controller->catalog, name) : NULL;
}

static wb_load_window_t *window_of(wb_controller_t *controller, const char *service) {
    wb_load_window_t *window = g_hash_table_lookup(controller->windows, service);
    if (window == NULL) {
        window = wb_load_window_create((int64_t)(controller->settings->load_window_s * 1000),
                                       controller->settings->lease_duration_ms);
        g_hash_table_insert(controller->windows, g_strdup(service), window);
    }
    const wb_service_t *spec = owner_service(service, controller);
    wb_load_window_set_rate(window, spec != NULL ? spec->loads_per_s : 0);
    return window;
}

static gboolean owner_store_has_room(const char *service, void *context) {
    return wb_load_window_has_room(window_of(context, service), wb_clock_ms());
}

static void owner_store_load_begins(const char *service, void *context) {
    wb_load_window_count(window_of(context, service), wb_clock_ms());
}

static uint64_t owner_token(void *context) {
    return ((wb_controller_t *)context)->token;
}

static void news_tell(wb_controller_t *controller, const wb_engine_t *engine, const char *model,
                      const char *adapter, gboolean held, unsigned ready_in_ms) {
    wb_wire_placement_entry entry = {engine->state->id, (char *)model, (char *)adapter, held,
                                     ready_in_ms};
    wb_wire_message news = {.kind = WB_WIRE_PLACEMENT};
    news.wb_wire_message_u.placement.token = controller->token;
    news.wb_wire_message_u.placement.entries.entries_len = 1;
    news.wb_wire_message_u.placement.entries.entries_val = &entry;
    controller->events.on_news(&news, controller->events.context);
}

static void owner_announce(wb_engine_t *engine, const char *model, const char *adapter,
                           gboolean held, void *context) {
    wb_controller_t *controller = context;
    if (held)
        wb_demand_book_served(controller->book, engine->state->service, model, adapter);
    news_tell(controller, engine, model, adapter, held, 0);
}

static GPtrArray *owner_pick_victims(const wb_engine_state_t *state, const char *model,
                                     void *context);
static char *owner_pick_adapter_victim(const wb_engine_state_t *state, void *context);

static wb_engine_orders_t *orders_of(wb_controller_t *controller, wb_engine_t *engine) {
    wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine->state->id);
    if (orders != NULL)
        return orders;
    wb_engine_orders_owner_t owner = {
        owner_may_act,  owner_pick_victims,   owner_pick_adapter_victim,
        owner_service,  owner_store_has_room, owner_store_load_begins,
        owner_announce, owner_token,          controller};
    orders = wb_engine_orders_create(controller->loop, controller->settings, controller->dialect,
                                     engine, controller->metrics, &owner);
    g_hash_table_insert(controller->orders, g_strdup(engine->state->id), orders);
    return orders;
}

/* What loading_count is asked with. */
typedef struct wb_loading_scene_t {
    wb_controller_t *controller;
    const char *service;
} wb_loading_scene_t;

static void loading_count(const char *model, const char *adapter, void *context) {
    const wb_loading_scene_t *scene = context;
    if (*adapter == '\0')
        wb_demand_book_get(scene->controller->book, scene->service, model, "", wb_clock_ms())
            ->use.in_loading++;
}

/* Counts an engine's models as replicas, and adds it to a snapshot. */
static void snapshot_add_engine(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                wb_engine_t *engine, int64_t now_ms) {
    const char *service = snapshot->service->name;
    const wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine->state->id);
    wb_placement_engine_t place = {engine, engine->state, 0, TRUE};
    place.available = engine->leaving_ms == 0 && now_ms >= engine->avoid_until_ms;
    if (orders != NULL) {
        place.state = wb_engine_orders_state(orders);
        place.busy_ms = wb_engine_orders_busy_ms(orders);
        place.available = place.available && !wb_engine_orders_is_unreachable(orders);
    }
    g_array_append_val(snapshot->engines, place);
    if (engine->leaving_ms != 0)
        return;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, place.state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        wb_demand_book_get(controller->book, service, name, "", now_ms)->use.replicas++;
    wb_loading_scene_t scene = {controller, service};
    if (orders != NULL)
        wb_engine_orders_each(orders, loading_count, &scene);
}

static gboolean engine_is_loading(const wb_engine_t *engine, const char *model, void *context) {
    const wb_controller_t *controller = context;
    const wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine->state->id);
    return orders != NULL && wb_engine_orders_has(orders, model, "");
}

static void snapshot_take(wb_controller_t *controller, const wb_service_t *service,
                          wb_placement_snapshot_t *snapshot) {
    int64_t now_ms = wb_clock_ms();
    snapshot->service = service;
    snapshot->engines = g_array_new(FALSE, FALSE, sizeof(wb_placement_engine_t));
    snapshot->uses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
    snapshot->store_has_room = owner_store_has_room(service->name, controller);
    snapshot->tokens_per_ms = controller->settings->prefill_tokens_per_ms;
    snapshot->is_loading = engine_is_loading;
    snapshot->context = controller;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(controller->fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        if (strcmp(engine->state->service, service->name) == 0)
            snapshot_add_engine(controller, snapshot, engine, now_ms);
    }
    gpointer name;
    g_hash_table_iter_init(&iter, service->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage = wb_demand_book_find(controller->book, service->name, name, "");
        if (usage != NULL)
            g_hash_table_insert(snapshot->uses, name, &usage->use);
    }
}

static void snapshot_clear(wb_placement_snapshot_t *snapshot) {
    g_array_unref(snapshot->engines);
    g_hash_table_unref(snapshot->uses);
}

/* What a model's loss costs depends on all its replicas, so everything is counted anew. */
static GPtrArray *owner_pick_victims(const wb_engine_state_t *state, const char *model,
                                     void *context) {
    wb_controller_t *controller = context;
    wb_engine_t *engine = wb_fleet_find(controller->fleet, state->id);
    const wb_service_t *service =
        engine != NULL ? owner_service(engine->state->service, controller) : NULL;
    const wb_model_spec_t *spec =
        service != NULL ? g_hash_table_lookup(service->models, model) : NULL;
    if (spec == NULL)
        return NULL;
    wb_placement_snapshot_t snapshot;
    wb_demand_book_count(controller->book, wb_clock_ms());
    snapshot_take(controller, service, &snapshot);
    double cost_ms;
    GPtrArray *victims = wb_placement_victims(&snapshot, state, spec, &cost_ms);
    snapshot_clear(&snapshot);
    return victims;
}

/* The adapter that was asked for longest ago, and isn't running or waited for. */
static char *owner_pick_adapter_victim(const wb_engine_state_t *state, void *context) {
    wb_controller_t *controller = context;
    wb_engine_t *engine = wb_fleet_find(controller->fleet, state->id);
    if (engine == NULL)
        return NULL;
    char *victim = NULL;
    int64_t oldest_ms = G_MAXINT64;
    GHashTableIter models;
    gpointer model;
    gpointer held;
    g_hash_table_iter_init(&models, state->models);
    while (g_hash_table_iter_next(&models, &model, &held)) {
        GHashTableIter adapters;
        gpointer adapter;
        g_hash_table_iter_init(&adapters, ((wb_engine_model_t *)held)->adapters);
        while (g_hash_table_iter_next(&adapters, &adapter, NULL)) {
            g_autofree char *name = g_strjoin("/", (char *)model, (char *)adapter, NULL);
            if (g_hash_table_contains(state->arriving, name)) {
                continue;
            }
            const wb_usage_t *usage =
                wb_demand_book_find(controller->book, engine->state->service, model, adapter);
            int64_t used_ms = usage != NULL ? usage->used_ms : 0;
            if (usage != NULL && usage->use.waiting > 0)
                continue;
            if (usage != NULL && usage->use.running > 0)
                used_ms += RUNNING_BONUS_MS;
            if (used_ms >= oldest_ms)
                continue;
            oldest_ms = used_ms;
            g_free(victim);
            victim = g_steal_pointer(&name);
        }
    }
    return victim;
}

/* Loads a model where that costs least. Returns FALSE when no engine does it for less than the
 * limit. */
static gboolean model_place(wb_controller_t *controller, const wb_placement_snapshot_t *snapshot,
                            const wb_model_spec_t *spec, double limit_ms, const char *why) {
    double cost_ms;
    double victims_ms;
    const wb_placement_engine_t *place = wb_placement_choose(snapshot, spec, &cost_ms, &victims_ms);
    if (place == NULL ||
        victims_ms + wb_placement_load_price_ms(spec, place->engine->state) > limit_ms)
        return FALSE;
    wb_usage_t *usage = wb_demand_book_get(controller->book, snapshot->service->name, spec->name,
                                           "", wb_clock_ms());
    wb_event("model-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"engine\":\"%s\",\"why\":\"%s\","
             "\"cost_ms\":%.0f,\"victims_ms\":%.0f,\"waiting\":%u,\"replicas\":%u,"
             "\"rate\":%.2f,\"time_left_ms\":%u",
             snapshot->service->name, spec->name, place->engine->state->id, why, cost_ms,
             victims_ms, usage->use.waiting, usage->use.replicas, usage->use.rate_per_s,
             usage->time_left_ms);
    wb_engine_orders_add(orders_of(controller, place->engine), spec->name, "");
    double load_ms = wb_placement_load_ms(spec, place->engine->state, NULL);
    double ready_ms = place->busy_ms + load_ms + (victims_ms > 0 ? DROP_TIME_MS : 0);
    news_tell(controller, place->engine, spec->name, "", FALSE, (unsigned)MAX(ready_ms, 1));
    ((wb_placement_engine_t *)place)->busy_ms += load_ms;
    usage->use.in_loading++;
    return TRUE;
}

typedef struct wb_need_t {
    const wb_model_spec_t *spec;
    unsigned time_left_ms;
} wb_need_t;

static gint more_urgent_first(gconstpointer left, gconstpointer right) {
    const wb_need_t *a = left;
    const wb_need_t *b = right;
    return a->time_left_ms < b->time_left_ms ? -1 : a->time_left_ms > b->time_left_ms;
}

/* Models that are waited for and that no engine holds or loads. */
static void needs_place(wb_controller_t *controller, const wb_placement_snapshot_t *snapshot,
                        int64_t now_ms) {
    g_autoptr(GArray) needs = g_array_new(FALSE, FALSE, sizeof(wb_need_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        const wb_usage_t *usage =
            wb_demand_book_find(controller->book, snapshot->service->name, spec->name, "");
        if (usage == NULL || usage->use.waiting == 0 || usage->use.in_loading > 0)
            continue;
        if (usage->use.replicas > 0 && now_ms - usage->waited_ms < STUCK_MS)
            continue;
        wb_need_t need = {spec, usage->time_left_ms};
        g_array_append_val(needs, need);
    }
    g_array_sort(needs, more_urgent_first);
    for (guint i = 0; i < needs->len; i++)
        model_place(controller, snapshot, g_array_index(needs, wb_need_t, i).spec, G_MAXDOUBLE,
                    "waited-for");
}

/* Models whose prompts take more reading than their engines should give to one model. */
static void load_spread(wb_controller_t *controller, const wb_placement_snapshot_t *snapshot) {
    double tokens_per_ms = controller->settings->prefill_tokens_per_ms;
    unsigned placed = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (placed < SPREADS_AT_ONCE && g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        const wb_usage_t *usage =
            wb_demand_book_find(controller->book, snapshot->service->name, spec->name, "");
        if (usage == NULL || usage->use.replicas == 0)
            continue;
        unsigned wanted = wb_placement_wanted(&usage->use, tokens_per_ms);
        if (usage->use.replicas + usage->use.in_loading >= wanted)
            continue;
        double gain_ms = wb_placement_gain_ms(&usage->use, tokens_per_ms);
        placed += model_place(controller, snapshot, spec, gain_ms, "load");
    }
}

/* Chooses among the engines that hold the model: rendezvous hashing, so an adapter keeps to few
 * engines. */
static wb_engine_t *adapter_engine(wb_controller_t *controller,
                                   const wb_placement_snapshot_t *snapshot, const char *model,
                                   const char *adapter) {
    wb_engine_t *best = NULL;
    uint64_t highest = 0;
    g_autofree char *name = g_strjoin("/", model, adapter, NULL);
    uint64_t seed = XXH64(name, strlen(name), 0);
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (!place->available || !g_hash_table_contains(place->state->models, model))
            continue;
        const char *id = place->engine->state->id;
        uint64_t weight = XXH64(id, strlen(id), seed) >> 8;
        const wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, id);
        if (orders == NULL || !wb_engine_orders_is_busy(orders))
            weight += (uint64_t)1 << 60; /* engines that can take an order go first */
        if (best == NULL || weight > highest) {
            best = place->engine;
            highest = weight;
        }
    }
    return best;
}

static gboolean adapter_is_coming(const wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot, const char *model,
                                  const char *adapter) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        const wb_engine_orders_t *orders =
            g_hash_table_lookup(controller->orders, place->engine->state->id);
        if (orders != NULL && wb_engine_orders_has(orders, model, adapter))
            return TRUE;
    }
    return FALSE;
}

/* What adapter_need is asked with. */
typedef struct wb_adapter_scene_t {
    wb_controller_t *controller;
    const wb_placement_snapshot_t *snapshot;
} wb_adapter_scene_t;

static void adapter_need(const wb_wire_demand_entry *entry, void *context) {
    const wb_adapter_scene_t *scene = context;
    wb_controller_t *controller = scene->controller;
    if (adapter_is_coming(controller, scene->snapshot, entry->model, entry->adapter))
        return;
    wb_engine_t *engine = adapter_engine(controller, scene->snapshot, entry->model, entry->adapter);
    if (engine == NULL)
        return;
    wb_event("adapter-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"engine\":\"%s\","
             "\"waiting\":%u,\"time_left_ms\":%u",
             entry->service, entry->model, entry->adapter, engine->state->id, entry->waiting,
             entry->time_left_ms);
    wb_engine_orders_add(orders_of(controller, engine), entry->model, entry->adapter);
}

static void service_decide(wb_controller_t *controller, const wb_service_t *service,
                           gboolean spread, int64_t now_ms) {
    wb_placement_snapshot_t snapshot;
    snapshot_take(controller, service, &snapshot);
    needs_place(controller, &snapshot, now_ms);
    wb_adapter_scene_t scene = {controller, &snapshot};
    wb_demand_book_each_adapter(controller->book, service->name, adapter_need, &scene);
    if (spread)
        load_spread(controller, &snapshot);
    snapshot_clear(&snapshot);
}

void wb_controller_take_demand(wb_controller_t *controller, const wb_wire_demand *demand) {
    /* With many engines a decision takes its time: the next waits for some times that, or the tick.
     */
    if (wb_demand_book_take(controller->book, demand, wb_clock_ms()) &&
        wb_clock_us() >= controller->next_us)
        wb_controller_decide(controller);
}

void wb_controller_decide(wb_controller_t *controller) {
    if (controller->catalog == NULL || !owner_may_act(controller))
        return;
    int64_t begun_us = wb_clock_us();
    int64_t now_ms = wb_clock_ms();
    wb_demand_book_count(controller->book, now_ms);
    wb_demand_book_age(controller->book, now_ms);
    gboolean spread = now_ms - controller->spread_ms >= SPREAD_INTERVAL_MS;
    if (spread)
        controller->spread_ms = now_ms;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, controller->catalog->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_service_t *service = value;
        if (g_hash_table_size(service->models) > 0)
            service_decide(controller, service, spread, now_ms);
    }
    int64_t ended_us = wb_clock_us();
    controller->next_us = ended_us + DECISION_REST * (ended_us - begun_us);
}

static void controller_tick(void *context) {
    wb_controller_t *controller = context;
    if (controller->token == 0)
        return;
    int64_t now_ms = wb_clock_ms();
    if (wb_demand_book_someone_waits(controller->book) ||
        now_ms - controller->spread_ms >= SPREAD_INTERVAL_MS)
        wb_controller_decide(controller);
}

wb_controller_t *wb_controller_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                      const wb_dialect_t *dialect, wb_fleet_t *fleet,
                                      wb_edge_metrics_t *metrics,
                                      const wb_controller_events_t *events) {
    wb_controller_t *controller = g_new0(wb_controller_t, 1);
    controller->loop = loop;
    controller->settings = settings;
    controller->dialect = dialect;
    controller->fleet = fleet;
    controller->metrics = metrics;
    controller->events = *events;
    controller->book = wb_demand_book_create();
    controller->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)wb_engine_orders_free);
    controller->windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_load_window_free);
    wb_loop_every(loop, TICK_MS, controller_tick, controller);
    return controller;
}

void wb_controller_set_token(wb_controller_t *controller, uint64_t token, unsigned loads,
                             int64_t seen_ms) {
    if (controller->token == token)
        return;
    controller->token = token;
    /* What this node believed of engines is worth nothing once others may have given orders. */
    g_hash_table_remove_all(controller->orders);
    if (token == 0 || seen_ms == 0 || controller->catalog == NULL)
        return;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, controller->catalog->services);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        wb_load_window_assume(window_of(controller, name), loads,
                              seen_ms + controller->settings->lease_duration_ms);
}

unsigned wb_controller_recent_loads(const wb_controller_t *controller) {
    unsigned most = 0;
    GHashTableIter iter;
    gpointer window;
    g_hash_table_iter_init(&iter, controller->windows);
    while (g_hash_table_iter_next(&iter, NULL, &window))
        most = MAX(most, wb_load_window_counted(window, wb_clock_ms()));
    return most;
}

void wb_controller_set_catalog(wb_controller_t *controller, wb_catalog_t *catalog) {
    wb_catalog_unref(controller->catalog);
    controller->catalog = wb_catalog_ref(catalog);
}

void wb_controller_engine_changed(wb_controller_t *controller, const char *engine_id) {
    wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine_id);
    if (orders == NULL)
        return;
    if (wb_fleet_find(controller->fleet, engine_id) != NULL)
        wb_engine_orders_announced(orders);
    else
        g_hash_table_remove(controller->orders, engine_id);
}

const struct wb_model_use_t *wb_controller_use(const wb_controller_t *controller,
                                               const char *service, const char *model) {
    const wb_usage_t *usage = wb_demand_book_find(controller->book, service, model, "");
    return usage != NULL ? &usage->use : NULL;
}
