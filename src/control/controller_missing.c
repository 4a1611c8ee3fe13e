/* Loads models that no engine holds, and sends gateways load estimates for those that must wait for
 * the weight store. */
#include "control/controller_types.h"

#include "control/load_queue.h"

#include "wickbridge/event_log.h"

/* Clients that were refused for a missing model retry within a third of their remaining time, which
 * is at most 20 s; the model stays in demand for that long. */
#define MISSED_TTL_MS 7000
/* Minimum request rate at which a model is loaded elsewhere while only unreliable engines hold it.
 * Rates are averaged over five seconds, so a single request counts 0.2 at first, and falls below it
 * after about seven seconds. */
#define UNRELIABLE_MIN_RATE_PER_S 0.05
/* Estimated time that a request loses when it is refused for a missing model. */
#define MISSED_COST_MS 1000.0
/* A load estimate is sent again when it has changed by at least this time, and by at least this
 * fraction (1/n) of the time left until the model is ready. */
#define ESTIMATE_MIN_CHANGE_MS 500
#define ESTIMATE_CHANGE_DIVISOR 5

/* Returns TRUE when a model is in demand and has no replica that serves it. */
static gboolean needs_replica(const wb_usage_t *usage, int64_t now_ms) {
    const wb_model_use_t *use = &usage->use;
    if (use->loading_replicas > 0) {
        return FALSE;
    }
    if (use->waiting > 0) {
        return use->replicas == 0 || now_ms - usage->waiting_since_ms >= WB_PLACEMENT_STUCK_MS;
    }
    if (use->replicas > 0) {
        return FALSE;
    }
    if (use->unreliable > 0 && use->rate_per_s > UNRELIABLE_MIN_RATE_PER_S) {
        return TRUE;
    }
    /* Clients that were refused will retry. */
    return usage->missed_requests > 0 && now_ms - usage->last_used_ms < MISSED_TTL_MS;
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
            wb_demand_stats_find(controller->stats, snapshot->service->name, spec->name, "");
        if (usage == NULL) {
            continue;
        }
        if (usage->use.replicas > 0) {
            usage->missed_requests = 0;
            usage->announced_ready_ms = 0;
        }
        if (needs_replica(usage, now_ms) &&
            wb_load_faults_backoff_ms(controller->faults, snapshot->service->name, spec->name,
                                      now_ms) == 0) {
            wb_missing_model_t model = {spec, usage->missed_requests, usage->time_left_ms};
            g_array_append_val(missing, model);
        }
    }
    g_array_sort(missing, wb_load_queue_compare);
    return missing;
}

/* Expected number of requests that arrive while the model is loaded from the weight store. */
static double expected_requests(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    return usage->use.rate_per_s * (double)spec->store_load_ms / 1000;
}

/* Maximum cost of a missing model's load to other requests: unlimited while requests wait for it;
 * otherwise the cost of a load from the weight store, plus what refused clients, which may retry,
 * and expected requests would lose. */
static double missing_cost_limit_ms(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    if (usage->use.waiting > 0) {
        return G_MAXDOUBLE;
    }
    return wb_placement_store_load_cost_ms(spec) +
           MISSED_COST_MS * (usage->missed_requests +
                             (usage->use.unreliable > 0 ? expected_requests(usage, spec) : 0));
}

/* Adds a load estimate to the message for gateways, if it differs enough from the last one sent. */
static void estimate_add(GArray *entries, wb_usage_t *usage, const wb_model_spec_t *spec,
                         int64_t ready_in_ms, int64_t now_ms) {
    int64_t ready_ms = now_ms + ready_in_ms;
    int64_t change_ms = ABS(ready_ms - usage->announced_ready_ms);
    if (usage->announced_ready_ms != 0 &&
        change_ms < MAX(ESTIMATE_MIN_CHANGE_MS, ready_in_ms / ESTIMATE_CHANGE_DIVISOR)) {
        return;
    }
    usage->announced_ready_ms = ready_ms;
    wb_wire_load_plan_entry entry = {spec->name, (unsigned)ready_in_ms};
    g_array_append_val(entries, entry);
}

static void estimates_send(wb_controller_t *controller, const char *service,
                           const GArray *entries) {
    if (entries->len == 0) {
        return;
    }
    wb_wire_message update = {.kind = WB_WIRE_LOAD_PLAN};
    wb_wire_load_plan *plan = &update.wb_wire_message_u.load_plan;
    plan->token = controller->token;
    plan->service = (char *)service;
    plan->entries.entries_len = entries->len;
    plan->entries.entries_val = (wb_wire_load_plan_entry *)(void *)entries->data;
    controller->events.on_update(&update, controller->events.context);
    wb_event("load-plan", ",\"service\":\"%s\",\"told\":%u", service, entries->len);
}

/* Adds estimates for models whose loads are in backoff because they crashed engines. */
static void backoff_estimates_add(const wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot, GArray *entries,
                                  int64_t now_ms) {
    const char *service = snapshot->service->name;
    GHashTableIter iter;
    gpointer value;
    if (!wb_load_faults_any(controller->faults)) {
        return;
    }
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        int64_t backoff_ms =
            wb_load_faults_backoff_ms(controller->faults, service, spec->name, now_ms);
        wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, spec->name, "");
        if (backoff_ms > 0 && usage != NULL && usage->use.replicas == 0) {
            estimate_add(entries, usage, spec, backoff_ms + spec->store_load_ms, now_ms);
        }
    }
}

/* Time that a missing model's load saves requests: those that wait or were refused, and those that
 * arrive during the load. */
static double missing_gain_ms(const wb_usage_t *usage, const wb_model_spec_t *spec) {
    return MISSED_COST_MS *
           (usage->use.waiting + usage->missed_requests + expected_requests(usage, spec));
}

/* Loads a missing model, from the weight store only when it isn't a replica's turn. Returns FALSE
 * when no engine will do. */
static gboolean missing_place(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                              const wb_model_spec_t *spec, const wb_usage_t *usage,
                              int64_t now_ms) {
    const wb_store_fairness_t *fairness =
        wb_controller_fairness(controller, snapshot->service->name);
    unsigned allowed = snapshot->store_loads_allowed;
    gboolean may_use_store = wb_store_fairness_may_load_missing(
        fairness, missing_gain_ms(usage, spec), spec->store_load_ms, now_ms);
    if (!may_use_store) {
        snapshot->store_loads_allowed = 0;
    }
    gboolean placed =
        wb_controller_place_model(controller, snapshot, spec, missing_cost_limit_ms(usage, spec),
                                  usage->use.waiting > 0 ? "waited-for" : "missing");
    if (!may_use_store) {
        snapshot->store_loads_allowed = allowed;
    }
    return placed;
}

void wb_controller_place_missing(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                 int64_t now_ms) {
    const char *service = snapshot->service->name;
    g_autoptr(GArray) missing = missing_collect(controller, snapshot, now_ms);
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_load_plan_entry));
    unsigned models_ahead = 0;
    backoff_estimates_add(controller, snapshot, entries, now_ms);
    for (guint i = 0; i < missing->len; i++) {
        if (i > 0 && wb_controller_deadline_passed(controller))
            break;
        const wb_missing_model_t *model = &g_array_index(missing, wb_missing_model_t, i);
        wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, model->spec->name, "");
        if (missing_place(controller, snapshot, model->spec, usage, now_ms)) {
            usage->announced_ready_ms = 0;
        } else if (snapshot->store_loads_allowed == 0 && usage->use.replicas == 0 &&
                   model->missed_requests > 0) {
            int64_t ready_in_ms =
                wb_load_queue_ready_ms(wb_controller_store_limit(controller, service),
                                       wb_controller_store_loads(controller, service), models_ahead,
                                       model->spec->store_load_ms);
            estimate_add(entries, usage, model->spec, ready_in_ms, now_ms);
            models_ahead++;
        }
    }
    estimates_send(controller, service, entries);
}
