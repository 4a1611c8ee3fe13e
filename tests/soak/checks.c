/* Checks of what engines recorded against what clients received. */
#include "soak.h"

#include "harness/budget_oracle.h"

#include <stdio.h>
#include <string.h>

#define RESUME_SLACK_MS 300
#define LOADS_PER_S 4 /* loadsPerS in the harness's configuration */
#define WINDOW_MS 5000
#define LOAD_RATE_OVERAGE 1.1
#define LOAD_RATE_SLACK 3
/* Once a poison request has crashed POISON_ENGINES engines, and nodes had POISON_DETECT_MS to
 * detect it, undisturbed nodes may run it this many times more. */
#define POISON_ENGINES 3
#define POISON_DETECT_MS 3000
#define POISON_LATE_MAX 3
/* The same limit for all nodes together, including those cut off, paused or just restarted. */
#define POISON_LATE_MAX_TOTAL 12

/* Maximum number of engines that may run a request, by its path. */
static int runs_allowed(const char *path) {
    gboolean once = strcmp(path, "/lock/x") == 0 || strcmp(path, "/note/x") == 0;
    return once ? 1 : 2;
}

static gboolean status_means_not_run(int status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

static char *body_expected(const char *id) {
    if (soak_has_parts(id)) {
        return soak_part_body(id);
    }
    if (g_str_has_prefix(id, SOAK_REST_ID)) {
        return soak_rest_body(id);
    }
    if (soak_is_broken_stream(id)) {
        return g_strdup(id);
    }
    return g_str_has_prefix(id, SOAK_REJOIN_ID) ? soak_rejoin_body(id) : g_strdup("hello");
}

static void runs_check(soak_t *soak, const json_t *seen) {
    g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        const char *id = soak_text_of(run, "id");
        int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, id)) + 1;
        g_hash_table_replace(counts, g_strdup(id), GINT_TO_POINTER(count));
        const char *body = soak_text_of(run, "body");
        g_autofree char *expected = body_expected(id);
        if (strcmp(body, expected) != 0 && strcmp(body, SOAK_POISON_BODY) != 0) {
            soak_fail(soak, "%s: an engine ran another body", id);
        }
    }
    for (guint j = 0; j < soak->requests->len; j++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, j);
        int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, request->id));
        if (count > runs_allowed(request->path)) {
            soak_fail(soak, "%s %s: ran %d times", request->id, request->path, count);
        }
        if (count > 0 && status_means_not_run(request->status) &&
            runs_allowed(request->path) == 1) {
            soak_fail(soak, "%s %s: answered %d, and ran", request->id, request->path,
                      request->status);
        }
        if (request->status == 0 && request->closed && count > 0 &&
            !soak_is_halted(soak, request->node, request->began_ms, request->ended_ms)) {
            soak_fail(soak, "%s %s: an engine got it, its %sconnection was closed unanswered",
                      request->id, request->path, request->reused ? "kept " : "");
        }
        if (count == 0 && request->status / 100 == 2) {
            soak_fail(soak, "%s %s: a success that no engine ran", request->id, request->path);
        }
    }
}

/* Orders sent before their sender was paused may arrive once it resumes. */
static gboolean order_may_be_delayed(soak_t *soak, int64_t at_ms) {
    gboolean excused = FALSE;
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        gboolean pauses =
            strcmp(span->name, "pause") == 0 || g_str_has_prefix(span->name, "way-to");
        int64_t over_ms = span->to_ms - SOAK_DISTURBED_AFTER_MS;
        excused |= pauses && at_ms >= span->from_ms && at_ms <= over_ms + RESUME_SLACK_MS;
    }
    return excused;
}

/* Checks two consecutive orders at an engine. */
static void order_pair_check(soak_t *soak, const json_t *before, const json_t *after) {
    int64_t gap_ms = soak_number_of(after, "at_ms") - soak_number_of(before, "at_ms");
    int64_t rise = soak_number_of(after, "token") - soak_number_of(before, "token");
    gboolean same = strcmp(soak_text_of(before, "holder"), soak_text_of(after, "holder")) == 0;
    if (rise < 0 || (!same && rise == 0)) {
        soak_fail(soak, "orders: token %lld of %s after %lld of %s at %s",
                  (long long)soak_number_of(after, "token"), soak_text_of(after, "holder"),
                  (long long)soak_number_of(before, "token"), soak_text_of(before, "holder"),
                  soak_text_of(after, "engine"));
    } else if (!same && gap_ms < SOAK_LEASE_HANDOVER_MS &&
               !order_may_be_delayed(soak, soak_number_of(before, "at_ms"))) {
        soak_fail(soak, "orders: %s follows %s after %lld ms at %s", soak_text_of(after, "holder"),
                  soak_text_of(before, "holder"), (long long)gap_ms, soak_text_of(after, "engine"));
    }
}

/* At each engine tokens rise, and orders of two holders are the handover interval apart. */
static void fencing_check(soak_t *soak, const json_t *seen) {
    const json_t *orders = json_object_get(seen, "orders");
    g_autoptr(GHashTable) last = g_hash_table_new(g_str_hash, g_str_equal);
    size_t i;
    json_t *order;
    json_array_foreach(orders, i, order) {
        const char *engine = soak_text_of(order, "engine");
        const json_t *before = g_hash_table_lookup(last, engine);
        if (before != NULL)
            order_pair_check(soak, before, order);
        g_hash_table_insert(last, (gpointer)engine, order);
    }
}

/* Model loads within any window stay within the rate limit. The stand-in's engines have no local
 * copies, so each load counts. */
static void load_rate_check(soak_t *soak, const json_t *seen) {
    const json_t *orders = json_object_get(seen, "orders");
    g_autoptr(GArray) load_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    size_t i;
    json_t *order;
    guint max_loads =
        (guint)(LOADS_PER_S * (WINDOW_MS / 1000.0) * LOAD_RATE_OVERAGE) + LOAD_RATE_SLACK;
    json_array_foreach(orders, i, order) {
        int64_t at_ms = soak_number_of(order, "at_ms");
        if (soak_number_of(order, "status") != 202 || *soak_text_of(order, "adapter") != '\0' ||
            strcmp(soak_text_of(order, "operation"), "model_load") != 0) {
            continue;
        }
        g_array_append_val(load_times, at_ms);
        while (at_ms - g_array_index(load_times, int64_t, 0) >= WINDOW_MS) {
            g_array_remove_index(load_times, 0);
        }
        if (load_times->len > max_loads) {
            soak_fail(soak, "%u loads within %d ms", load_times->len, WINDOW_MS);
        }
    }
}

/* Returns the node that a request was sent to, or -1. */
static int node_of(const soak_t *soak, const char *id) {
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (strcmp(request->id, id) == 0) {
            return request->node;
        }
    }
    return -1;
}

/* Whether the node may not know yet that an engine drains: it, its links or the store were
 * disturbed. */
static gboolean drain_is_excused(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    return node < 0 || soak_is_out_of_touch(soak, node, from_ms, to_ms) ||
           soak_store_turns_nodes_away(soak, node, from_ms, to_ms);
}

/* Engines that drain get no new requests of undisturbed nodes after the drain time. */
static void drain_check(soak_t *soak, const json_t *seen) {
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        int64_t at_ms = soak_number_of(run, "at_ms");
        for (guint j = 0; j < soak->drains->len; j++) {
            const soak_drain_t *drain = &g_array_index(soak->drains, soak_drain_t, j);
            if (strcmp(soak_text_of(run, "engine"), drain->engine) == 0 &&
                at_ms > drain->at_ms + SOAK_DRAIN_MS &&
                !drain_is_excused(soak, node_of(soak, soak_text_of(run, "id")), drain->at_ms,
                                  at_ms)) {
                soak_fail(soak, "%s: ran at %s %lld ms after it left", soak_text_of(run, "id"),
                          drain->engine, (long long)(at_ms - drain->at_ms));
            }
        }
    }
}

static const char *zone_of_engine(const char *engine) {
    static const char *const zone_1[] = {"llm-1", "lock-1", "kiosk-1"};
    for (size_t i = 0; i < G_N_ELEMENTS(zone_1); i++) {
        if (strcmp(engine, zone_1[i]) == 0) {
            return "zone-1";
        }
    }
    return g_str_has_prefix(engine, "guest") ? "zone-1" : "zone-2";
}

/* Engines of an evacuated zone get no new requests from undisturbed nodes. */
static void evacuation_check(soak_t *soak, const json_t *seen) {
    size_t i;
    json_t *run;
    if (soak->has_builds) {
        return; /* the older build doesn't support evacuations */
    }
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        int64_t at_ms = soak_number_of(run, "at_ms");
        int node = node_of(soak, soak_text_of(run, "id"));
        const char *zone = zone_of_engine(soak_text_of(run, "engine"));
        for (guint j = 0; j < soak->evacuations->len; j++) {
            const soak_evacuation_t *evacuation =
                &g_array_index(soak->evacuations, soak_evacuation_t, j);
            if (strcmp(evacuation->zone, zone) == 0 &&
                at_ms > evacuation->from_ms + SOAK_EVACUATE_MS && at_ms < evacuation->to_ms &&
                node >= 0 &&
                !soak_is_disturbed_except(soak, node, evacuation->from_ms, at_ms, "evacuation")) {
                soak_fail(soak, "%s: ran at %s %lld ms after its zone was evacuated",
                          soak_text_of(run, "id"), soak_text_of(run, "engine"),
                          (long long)(at_ms - evacuation->from_ms));
            }
        }
    }
}

/* Returns the times of crashes that weren't caused by a part of a prompt. */
static GArray *request_crashes(const json_t *seen) {
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    size_t i;
    json_t *crash;
    json_array_foreach(json_object_get(seen, "crashes"), i, crash) {
        int64_t at_ms = soak_number_of(crash, "at_ms");
        if (*soak_text_of(crash, "part") == '\0') {
            g_array_append_val(times, at_ms);
        }
    }
    return times;
}

/* A poison request, once detected, reaches few more engines, and fewer from undisturbed nodes. */
static void poison_check(soak_t *soak, const json_t *seen) {
    g_autoptr(GArray) crashes = request_crashes(seen);
    int late = 0;
    int late_undisturbed = 0;
    size_t i;
    json_t *run;
    if (!soak->has_poison || crashes->len < POISON_ENGINES) {
        return;
    }
    int64_t from_ms = g_array_index(crashes, int64_t, POISON_ENGINES - 1) + POISON_DETECT_MS;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        int64_t at_ms = soak_number_of(run, "at_ms");
        if (at_ms <= from_ms || strcmp(soak_text_of(run, "body"), SOAK_POISON_BODY) != 0) {
            continue;
        }
        int node = node_of(soak, soak_text_of(run, "id"));
        late++;
        late_undisturbed += !soak_is_disturbed(soak, node, at_ms - POISON_DETECT_MS, at_ms);
    }
    printf("  poison: %u engines crashed, %d runs later than %d ms after the third, %d of them in "
           "touch\n",
           crashes->len, late, POISON_DETECT_MS, late_undisturbed);
    if (late_undisturbed > POISON_LATE_MAX || late > POISON_LATE_MAX_TOTAL) {
        soak_fail(soak, "a request that crashes engines reached %d more, %d in touch", late,
                  late_undisturbed);
    }
}

/* The service of a route that never changes; "": the route does, or its service has no budget to
 * check. */
static const char *service_of(const char *path) {
    if (soak_probe_route(path) < SOAK_PROBE_ROUTES || strcmp(path, SOAK_KIOSK_PATH) == 0 ||
        strcmp(path, SOAK_STEP_PATH) == 0) {
        return "";
    }
    return strcmp(path, "/lock/x") == 0 || strcmp(path, "/look/x") == 0 ? "lock" : "llm";
}

/* Retries stay within the budget of each service, whichever nodes were killed, paused or cut off.
 */
static void budget_check(soak_t *soak, const json_t *seen, const char *service) {
    if (soak->has_builds) {
        return; /* the older build has a separate budget for each process */
    }
    budget_oracle_t *oracle = budget_oracle_create(SOAK_RETRY_RATIO, soak->retry_slack,
                                                   (int64_t)soak->retry_window_s * 1000);
    size_t i;
    json_t *arrival;
    for (guint j = 0; j < soak->requests->len; j++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, j);
        if (strcmp(service_of(request->path), service) == 0) {
            budget_oracle_request(oracle, request->began_ms);
        }
    }
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        if (strcmp(soak_text_of(arrival, "service"), service) == 0) {
            budget_oracle_arrival(oracle, soak_text_of(arrival, "id"),
                                  soak_number_of(arrival, "at_ms"));
        }
    }
    budget_window_t worst = budget_oracle_worst_window(oracle);
    if (soak->has_load_shedding) {
        printf("  %s: %u arrivals beyond the first for %u requests in %d s, %.1f allowed\n",
               service, worst.repeats, worst.requests, soak->retry_window_s, worst.allowed);
    }
    if (worst.excess > 0) {
        soak_fail(soak, "%s: %u arrivals beyond the first for %u requests, %.1f allowed", service,
                  worst.repeats, worst.requests, worst.allowed);
    }
    budget_oracle_free(oracle);
}

void soak_checks_run(soak_t *soak) {
    json_t *seen = estate_records(soak->estate);
    size_t i;
    json_t *text;
    json_array_foreach(json_object_get(seen, "violations"), i, text) {
        soak_fail(soak, "%s", json_string_value(text));
    }
    runs_check(soak, seen);
    fencing_check(soak, seen);
    load_rate_check(soak, seen);
    drain_check(soak, seen);
    poison_check(soak, seen);
    evacuation_check(soak, seen);
    budget_check(soak, seen, "lock");
    budget_check(soak, seen, "llm");
    soak_partitions_check(soak);
    soak_states_check(soak, seen);
    soak_tenants_check(soak, seen);
    soak_versions_check(soak);
    soak_rejoin_check(soak);
    soak_parts_check(soak, seen);
    soak_flood_check(soak);
    soak_rests_check(soak, seen);
    soak_odd_rows_check(soak, seen);
    soak_broken_streams_check(soak);
    soak_steps_check(soak);
    soak_faulty_check(soak, seen);
    soak_config_check(soak, seen);
    json_decref(seen);
}
