/* Checks of the limits, backoff and draining that engines reported against what they received. */
#include "soak.h"

#include "harness/limit_oracle.h"

#include <string.h>

#define CONTACT_MS 3000
#define BACKOFF_FROM_MS 500
/* Requests that may arrive during a backoff. */
#define BACKOFF_ARRIVALS_MAX 2
/* Time after the start in which nodes learn that engines are brittle. */
#define BRITTLE_KNOWN_MS 3000
/* Falls of brittle engines, and as a share of the engines, that the rule allows. */
#define FALLS_MAX 2
#define FALLS_SHARE 0.1

/* A time during which an engine reported the same state. */
typedef struct engine_report_t {
    const char *engine;
    const char *lines;
    int64_t from_ms;
    int64_t to_ms; /* when it reported another state, or restarted */
} engine_report_t;

static GArray *reports_collect(const json_t *seen) {
    const json_t *states = json_object_get(seen, "states");
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(engine_report_t));
    size_t i;
    json_t *state;
    json_array_foreach(states, i, state) {
        const char *engine = soak_text_of(state, "engine");
        int64_t at_ms = soak_number_of(state, "at_ms");
        for (guint j = 0; j < reports->len; j++) {
            engine_report_t *previous = &g_array_index(reports, engine_report_t, j);
            if (strcmp(previous->engine, engine) == 0) {
                previous->to_ms = MIN(previous->to_ms, at_ms);
            }
        }
        engine_report_t report = {engine, soak_text_of(state, "lines"), at_ms, G_MAXINT64};
        g_array_append_val(reports, report);
    }
    return reports;
}

/* Engines and nodes of requests by id. */
typedef struct lookup_t {
    GHashTable *engines; /* id -> name of the engine that ran it last; both borrowed */
    GHashTable *nodes;   /* id -> node that it was sent to, plus one */
} lookup_t;

/* @return -1: unknown */
static int node_of(const lookup_t *lookup, const char *id) {
    return GPOINTER_TO_INT(g_hash_table_lookup(lookup->nodes, id)) - 1;
}

/* @return id -> name of the engine that ran it last; both borrowed */
static GHashTable *engines_by_request(const json_t *seen) {
    GHashTable *engines = g_hash_table_new(g_str_hash, g_str_equal);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        g_hash_table_insert(engines, (gpointer)soak_text_of(run, "id"),
                            (gpointer)soak_text_of(run, "engine"));
    }
    return engines;
}

/* When a node first forwarded a response of the engine that reported its limit or draining;
 * G_MAXINT64: never. */
static int64_t first_forwarded_ms(const soak_t *soak, const lookup_t *lookup,
                                  const engine_report_t *report, int node,
                                  gboolean reports_draining) {
    int64_t first_ms = G_MAXINT64;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        const char *engine = g_hash_table_lookup(lookup->engines, request->id);
        if (request->node == node &&
            (reports_draining ? request->reports_draining : request->reports_limit) &&
            request->ended_ms >= report->from_ms && request->ended_ms <= report->to_ms &&
            g_strcmp0(engine, report->engine) == 0) {
            first_ms = MIN(first_ms, request->ended_ms);
        }
    }
    return first_ms;
}

static void limit_check(soak_t *soak, const json_t *seen, const lookup_t *lookup,
                        const engine_report_t *report) {
    char *end;
    double per_s = g_ascii_strtod(report->lines + strlen("Server-Limit: "), &end);
    int64_t forwarded_ms[SOAK_NODES];
    if (*end != '\r' || !(per_s >= 0 && per_s < 1000)) {
        return; /* malformed or out of range: nodes ignore it */
    }
    limit_oracle_t *oracle = limit_oracle_create(per_s, CONTACT_MS);
    limit_oracle_reported(oracle, report->from_ms);
    for (int node = 0; node < SOAK_NODES; node++) {
        forwarded_ms[node] = first_forwarded_ms(soak, lookup, report, node, FALSE);
        limit_oracle_forwarded(oracle, node, forwarded_ms[node]);
    }
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        int64_t at_ms = soak_number_of(arrival, "at_ms");
        int node = node_of(lookup, soak_text_of(arrival, "id"));
        if (node >= 0 && strcmp(soak_text_of(arrival, "engine"), report->engine) == 0 &&
            at_ms >= report->from_ms && at_ms < report->to_ms && at_ms > forwarded_ms[node] &&
            !soak_is_excused(soak, node, forwarded_ms[node], at_ms)) {
            limit_oracle_arrival(oracle, node, at_ms);
        }
    }
    limit_window_t worst = limit_oracle_fullest_window(oracle);
    if (worst.arrivals > worst.allowed) {
        soak_fail(soak, "%s: named a limit of %g a second and got %u in 4 s, %.1f allowed",
                  report->engine, per_s, worst.arrivals, worst.allowed);
    }
    limit_oracle_free(oracle);
}

static void draining_check(soak_t *soak, const lookup_t *lookup, const engine_report_t *report) {
    for (int node = 0; node < SOAK_NODES; node++) {
        int64_t forwarded_ms = first_forwarded_ms(soak, lookup, report, node, TRUE);
        for (guint i = 0; forwarded_ms != G_MAXINT64 && i < soak->requests->len; i++) {
            const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
            const char *engine = g_hash_table_lookup(lookup->engines, request->id);
            if (request->node == node && g_strcmp0(engine, report->engine) == 0 &&
                request->began_ms > forwarded_ms + SOAK_DRAIN_MS &&
                !soak_is_restarted(soak, node, forwarded_ms, request->began_ms)) {
                soak_fail(soak, "%s: ran at %s, %lld ms after node %d had passed on that it leaves",
                          request->id, report->engine,
                          (long long)(request->began_ms - forwarded_ms), node);
            }
        }
    }
}

/* Checks requests of a node after the engine rejected one and asked for a backoff. */
static void backoff_check(soak_t *soak, const json_t *seen, const lookup_t *lookup,
                          const json_t *backoff) {
    int node = node_of(lookup, soak_text_of(backoff, "id"));
    int64_t asked_ms = soak_number_of(backoff, "at_ms");
    int64_t until_ms = asked_ms + soak_number_of(backoff, "rest_ms");
    unsigned arrivals = 0;
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        int64_t at_ms = soak_number_of(arrival, "at_ms");
        arrivals += at_ms > asked_ms + BACKOFF_FROM_MS && at_ms < until_ms &&
                    strcmp(soak_text_of(arrival, "engine"), soak_text_of(backoff, "engine")) == 0 &&
                    node_of(lookup, soak_text_of(arrival, "id")) == node &&
                    !soak_is_excused(soak, node, asked_ms, at_ms);
    }
    if (node >= 0 && arrivals > BACKOFF_ARRIVALS_MAX) {
        soak_fail(soak, "%s: asked node %d for %lld ms of rest and got %u requests in them",
                  soak_text_of(backoff, "engine"), node, (long long)(until_ms - asked_ms),
                  arrivals);
    }
}

/* Checks that nodes spared brittle engines, through all faults. */
static void falls_check(soak_t *soak, const json_t *seen) {
    int counted = 0;
    size_t i;
    json_t *fall;
    json_array_foreach(json_object_get(seen, "falls"), i, fall) {
        counted += soak_number_of(fall, "at_ms") > soak->began_ms + BRITTLE_KNOWN_MS;
    }
    double allowed = FALLS_MAX + FALLS_SHARE * ESTATE_LOCK_ENGINES;
    if (counted > allowed) {
        soak_fail(soak, "brittle engines fell %d times, %g allowed", counted, allowed);
    }
}

void soak_states_check(soak_t *soak, const json_t *seen) {
    falls_check(soak, seen);
    if (!soak->has_engine_states || soak->has_builds) {
        return; /* the older build ignores engine-reported states */
    }
    g_autoptr(GArray) reports = reports_collect(seen);
    g_autoptr(GHashTable) engines = engines_by_request(seen);
    g_autoptr(GHashTable) nodes = g_hash_table_new(g_str_hash, g_str_equal);
    lookup_t lookup = {engines, nodes};
    for (guint i = 0; i < soak->requests->len; i++) {
        soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        g_hash_table_insert(nodes, request->id, GINT_TO_POINTER(request->node + 1));
    }
    for (guint i = 0; i < reports->len; i++) {
        const engine_report_t *report = &g_array_index(reports, engine_report_t, i);
        if (g_str_has_prefix(report->lines, "Server-Limit: ")) {
            limit_check(soak, seen, &lookup, report);
        } else if (g_str_has_prefix(report->lines, "Server-Leaving: 1")) {
            draining_check(soak, &lookup, report);
        }
    }
    size_t i;
    json_t *backoff;
    json_array_foreach(json_object_get(seen, "rests"), i, backoff)
        backoff_check(soak, seen, &lookup, backoff);
}
