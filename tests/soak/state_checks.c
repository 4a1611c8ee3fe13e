/* What engines told of their limits, rest and leaving, against what they got. */
#include "soak.h"

#include "harness/limit_oracle.h"

#include <string.h>

#define CONTACT_MS 3000
#define REST_FROM_MS 500
/* Requests that may come in spite of a wish for rest. */
#define REST_MOST 2

/* A time in which an engine told one thing. */
typedef struct told_t {
    const char *engine;
    const char *lines;
    int64_t from_ms;
    int64_t to_ms; /* when it told something else, or another start of it began */
} told_t;

static GArray *told_collect(const json_t *seen) {
    const json_t *states = json_object_get(seen, "states");
    GArray *all = g_array_new(FALSE, FALSE, sizeof(told_t));
    size_t i;
    json_t *state;
    json_array_foreach(states, i, state) {
        const char *engine = soak_text_of(state, "engine");
        int64_t at_ms = soak_number_of(state, "at_ms");
        for (guint j = 0; j < all->len; j++) {
            told_t *before = &g_array_index(all, told_t, j);
            if (strcmp(before->engine, engine) == 0) {
                before->to_ms = MIN(before->to_ms, at_ms);
            }
        }
        told_t told = {engine, soak_text_of(state, "lines"), at_ms, G_MAXINT64};
        g_array_append_val(all, told);
    }
    return all;
}

/* What is known of requests by their ids. */
typedef struct lookup_t {
    GHashTable *engines; /* id -> name of the engine that ran it last; both borrowed */
    GHashTable *nodes;   /* id -> node that it was asked of, plus one */
} lookup_t;

/* @return -1: not known */
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

/* When a node first passed on an answer of an engine that told it; G_MAXINT64: never. */
static int64_t passed_on_ms(const soak_t *soak, const lookup_t *lookup, const told_t *told,
                            int node, gboolean leaving) {
    int64_t first_ms = G_MAXINT64;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        const char *engine = g_hash_table_lookup(lookup->engines, request->id);
        if (request->node == node && (leaving ? request->leaving : request->limited) &&
            request->ended_ms >= told->from_ms && request->ended_ms <= told->to_ms &&
            g_strcmp0(engine, told->engine) == 0) {
            first_ms = MIN(first_ms, request->ended_ms);
        }
    }
    return first_ms;
}

static void limit_check(soak_t *soak, const json_t *seen, const lookup_t *lookup,
                        const told_t *told) {
    char *end;
    double per_s = g_ascii_strtod(told->lines + strlen("Server-Limit: "), &end);
    int64_t passed_ms[SOAK_NODES];
    if (*end != '\r' || !(per_s >= 0 && per_s < 1000)) {
        return; /* none that can be */
    }
    limit_oracle_t *oracle = limit_oracle_create(per_s, CONTACT_MS);
    limit_oracle_named(oracle, told->from_ms);
    for (int node = 0; node < SOAK_NODES; node++) {
        passed_ms[node] = passed_on_ms(soak, lookup, told, node, FALSE);
        limit_oracle_passed_on(oracle, node, passed_ms[node]);
    }
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        int64_t at_ms = soak_number_of(arrival, "at_ms");
        int node = node_of(lookup, soak_text_of(arrival, "id"));
        if (node >= 0 && strcmp(soak_text_of(arrival, "engine"), told->engine) == 0 &&
            at_ms >= told->from_ms && at_ms < told->to_ms && at_ms > passed_ms[node] &&
            !soak_is_excused(soak, node, passed_ms[node], at_ms)) {
            limit_oracle_arrival(oracle, node, at_ms);
        }
    }
    limit_worst_t worst = limit_oracle_worst(oracle);
    if (worst.arrivals > worst.allowed) {
        soak_broken(soak, "%s: named a limit of %g a second and got %u in 4 s, %.1f allowed",
                    told->engine, per_s, worst.arrivals, worst.allowed);
    }
    limit_oracle_free(oracle);
}

static void leaving_check(soak_t *soak, const lookup_t *lookup, const told_t *told) {
    for (int node = 0; node < SOAK_NODES; node++) {
        int64_t passed_ms = passed_on_ms(soak, lookup, told, node, TRUE);
        for (guint i = 0; passed_ms != G_MAXINT64 && i < soak->requests->len; i++) {
            const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
            const char *engine = g_hash_table_lookup(lookup->engines, request->id);
            if (request->node == node && g_strcmp0(engine, told->engine) == 0 &&
                request->began_ms > passed_ms + SOAK_DRAIN_MS &&
                !soak_is_restarted(soak, node, passed_ms, request->began_ms)) {
                soak_broken(
                    soak, "%s: ran at %s, %lld ms after node %d had passed on that it leaves",
                    request->id, told->engine, (long long)(request->began_ms - passed_ms), node);
            }
        }
    }
}

/* After each request that was turned away with a wish for rest. */
static void rest_check(soak_t *soak, const json_t *seen, const lookup_t *lookup,
                       const json_t *rest) {
    int node = node_of(lookup, soak_text_of(rest, "id"));
    int64_t asked_ms = soak_number_of(rest, "at_ms");
    int64_t until_ms = asked_ms + soak_number_of(rest, "rest_ms");
    unsigned arrivals = 0;
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        int64_t at_ms = soak_number_of(arrival, "at_ms");
        arrivals += at_ms > asked_ms + REST_FROM_MS && at_ms < until_ms &&
                    strcmp(soak_text_of(arrival, "engine"), soak_text_of(rest, "engine")) == 0 &&
                    node_of(lookup, soak_text_of(arrival, "id")) == node &&
                    !soak_is_excused(soak, node, asked_ms, at_ms);
    }
    if (node >= 0 && arrivals > REST_MOST) {
        soak_broken(soak, "%s: asked node %d for %lld ms of rest and got %u requests in them",
                    soak_text_of(rest, "engine"), node, (long long)(until_ms - asked_ms), arrivals);
    }
}

void soak_states_check(soak_t *soak, const json_t *seen) {
    if (!soak->has_states || soak->has_builds) {
        return; /* the older build doesn't know what engines tell */
    }
    g_autoptr(GArray) all = told_collect(seen);
    g_autoptr(GHashTable) engines = engines_by_request(seen);
    g_autoptr(GHashTable) nodes = g_hash_table_new(g_str_hash, g_str_equal);
    lookup_t lookup = {engines, nodes};
    for (guint i = 0; i < soak->requests->len; i++) {
        soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        g_hash_table_insert(nodes, request->id, GINT_TO_POINTER(request->node + 1));
    }
    for (guint i = 0; i < all->len; i++) {
        const told_t *told = &g_array_index(all, told_t, i);
        if (g_str_has_prefix(told->lines, "Server-Limit: ")) {
            limit_check(soak, seen, &lookup, told);
        } else if (g_str_has_prefix(told->lines, "Server-Leaving: 1")) {
            leaving_check(soak, &lookup, told);
        }
    }
    size_t i;
    json_t *rest;
    json_array_foreach(json_object_get(seen, "rests"), i, rest)
        rest_check(soak, seen, &lookup, rest);
}
