/* Models that no engine holds: in which order they are loaded, and what gateways are told of those
 * that must wait for the weight store. */
#include "control/controller_types.h"

#include "control/load_queue.h"

#include "wickbridge/event_log.h"

/* Who was refused for a missing model comes back within a third of the time that it has left, which
 * is 20 s at most. */
#define MISSED_LIFE_MS 7000
/* A model that only engines hold which can't be relied on is loaded elsewhere before it is missed,
 * if it is asked for so often: one request in the five seconds over which rates are averaged counts
 * 0.2 at first and 0.05 seven seconds later. */
#define UNRELIABLE_RATE 0.05
/* A request that was refused for a missing model has lost about so much. */
#define MISSED_COST_MS 1000.0
/* Gateways are told anew when a model should be there if that has moved by more than this, and by
 * more than a fifth of the time until then. */
#define PLAN_STEP_MS 500
#define PLAN_SHARE 5

/* Whether a model is to be loaded though no more of it is wanted than one replica. */
static gboolean is_missing(const wb_usage_t *usage, int64_t now_ms) {
    const wb_model_use_t *use = &usage->use;
    if (use->in_loading > 0) {
        return FALSE;
    }
    if (use->waiting > 0) {
        return use->replicas == 0 || now_ms - usage->waited_ms >= WB_PLACEMENT_STUCK_MS;
    }
    if (use->replicas > 0) {
        return FALSE;
    }
    if (use->unreliable > 0 && use->rate_per_s > UNRELIABLE_RATE) {
        return TRUE;
    }
    /* Who was refused comes back. */
    return usage->missed > 0 && now_ms - usage->used_ms < MISSED_LIFE_MS;
}

static GArray *missing_collect(const wb_controller_t *controller,
                               const wb_placement_snapshot_t *snapshot, int64_t now_ms) {
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(wb_missing_model_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        wb_usage_t *usage =
            wb_demand_stats_find(controller->book, snapshot->service->name, spec->name, "");
        if (usage == NULL) {
            continue;
        }
        if (usage->use.replicas > 0) {
            usage->missed = 0;
            usage->told_ready_ms = 0;
        }
        if (is_missing(usage, now_ms) &&
            wb_load_faults_backoff_ms(controller->faults, snapshot->service->name, spec->name,
                                     now_ms) == 0) {
            wb_missing_model_t model = {spec, usage->missed, usage->time_left_ms};
            g_array_append_val(missing, model);
        }
    }
    g_array_sort(missing, wb_load_queue_compare);
    return missing;
}

/* Requests for a model that come while it is loaded. */
static double coming_requests(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    return usage->use.rate_per_s * (double)spec->store_load_ms / 1000;
}

/* What may be dropped for a missing model: anything while someone waits; less for those that were
 * refused and may come back. */
static double missing_limit_ms(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    if (usage->use.waiting > 0) {
        return G_MAXDOUBLE;
    }
    return wb_placement_store_load_cost_ms(spec) +
           MISSED_COST_MS *
               (usage->missed + (usage->use.unreliable > 0 ? coming_requests(usage, spec) : 0));
}

/* Notes for gateways when a model that waits for its turn should be there, if that has changed by
 * more than they need to know. */
static void plan_note(GArray *entries, wb_usage_t *usage, const wb_model_spec_t *spec,
                      int64_t ready_in_ms, int64_t now_ms) {
    int64_t ready_ms = now_ms + ready_in_ms;
    int64_t differs_ms = ABS(ready_ms - usage->told_ready_ms);
    if (usage->told_ready_ms != 0 && differs_ms < MAX(PLAN_STEP_MS, ready_in_ms / PLAN_SHARE)) {
        return;
    }
    usage->told_ready_ms = ready_ms;
    wb_wire_load_plan_entry entry = {spec->name, (unsigned)ready_in_ms};
    g_array_append_val(entries, entry);
}

static void plan_tell(wb_controller_t *controller, const char *service, const GArray *entries) {
    if (entries->len == 0) {
        return;
    }
    wb_wire_message news = {.kind = WB_WIRE_LOAD_PLAN};
    wb_wire_load_plan *plan = &news.wb_wire_message_u.load_plan;
    plan->token = controller->token;
    plan->service = (char *)service;
    plan->entries.entries_len = entries->len;
    plan->entries.entries_val = (wb_wire_load_plan_entry *)(void *)entries->data;
    controller->events.on_news(&news, controller->events.context);
    wb_event("load-plan", ",\"service\":\"%s\",\"told\":%u", wb_event_escape(service), entries->len);
}

/* Who waits for a model whose loads crash engines is told when the next one may begin. */
static void paused_note(const wb_controller_t *controller, const wb_placement_snapshot_t *snapshot,
                        GArray *entries, int64_t now_ms) {
    const char *service = snapshot->service->name;
    GHashTableIter iter;
    gpointer value;
    if (!wb_load_faults_any(controller->faults)) {
        return;
    }
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        int64_t paused_ms =
            wb_load_faults_backoff_ms(controller->faults, service, spec->name, now_ms);
        wb_usage_t *usage = wb_demand_stats_find(controller->book, service, spec->name, "");
        if (paused_ms > 0 && usage != NULL && usage->use.replicas == 0) {
            plan_note(entries, usage, spec, paused_ms + spec->store_load_ms, now_ms);
        }
    }
}

/* What requests for a missing model gain by its load: those that wait or were refused, and those
 * that come while it lasts. */
static double missing_gain_ms(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    return MISSED_COST_MS * (usage->use.waiting + usage->missed + coming_requests(usage, spec));
}

/* Loads a missing model, from the weight store only when it is its turn. */
static gboolean missing_place(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                              const wb_model_spec_t *spec, const wb_usage_t *usage,
                              int64_t now_ms) {
    const wb_store_fairness_t *turns = wb_controller_turns(controller, snapshot->service->name);
    unsigned room = snapshot->store_loads_allowed;
    gboolean may = wb_store_fairness_may_load_missing(turns, missing_gain_ms(usage, spec),
                                              spec->store_load_ms, now_ms);
    if (!may) {
        snapshot->store_loads_allowed = 0;
    }
    gboolean placed =
        wb_controller_place_model(controller, snapshot, spec, missing_limit_ms(usage, spec),
                                  usage->use.waiting > 0 ? "waited-for" : "missing");
    if (!may) {
        snapshot->store_loads_allowed = room;
    }
    return placed;
}

void wb_controller_place_missing(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                 int64_t now_ms) {
    const char *service = snapshot->service->name;
    g_autoptr(GArray) missing = missing_collect(controller, snapshot, now_ms);
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_load_plan_entry));
    unsigned before = 0;
    paused_note(controller, snapshot, entries, now_ms);
    for (guint i = 0; i < missing->len; i++) {
        if (i > 0 && wb_controller_time_is_over(controller))
            break;
        const wb_missing_model_t *model = &g_array_index(missing, wb_missing_model_t, i);
        wb_usage_t *usage = wb_demand_stats_find(controller->book, service, model->spec->name, "");
        if (missing_place(controller, snapshot, model->spec, usage, now_ms)) {
            usage->told_ready_ms = 0;
        } else if (snapshot->store_loads_allowed == 0 && usage->use.replicas == 0 && model->missed > 0) {
            int64_t ready_in_ms = wb_load_queue_ready_ms(
                wb_controller_store_limit(controller, service),
                wb_controller_store_loads(controller, service), before, model->spec->store_load_ms);
            plan_note(entries, usage, model->spec, ready_in_ms, now_ms);
            before++;
        }
    }
    plan_tell(controller, service, entries);
}
