/* Checks that nodes put each configuration in force in time, don't go back to an older one, serve
 * added routes, and refuse nothing that the configuration allows. */
#include "soak.h"

#include <string.h>

/* A request sent this long after an engine has seen the effect of a version isn't handled by an
 * older one. */
#define DOWNGRADE_SLACK_MS 250
/* Proper requests that may be refused with 4xx: this many and one in so many. */
#define DENIED_SLACK 5
#define DENIED_ONE_IN 500
/* The same over all nodes, disturbed or not, for routes that never change. */
#define DENIED_ALWAYS_MAX 10
/* Requests on added routes from which on their share of successes counts. */
#define ADDED_MIN 20
/* An added route is served at least this share as often as one of the first version. */
#define ADDED_SHARE 0.25

/* What is known of a probe. */
typedef struct probe_t {
    const soak_request_t *request;
    config_outcome_t outcome;
    int64_t ran_ms; /* when an engine ran it; 0: none did */
} probe_t;

typedef struct run_t {
    const char *service; /* owned */
    int64_t at_ms;
} run_t;

static void run_free(gpointer data) {
    run_t *run = data;
    g_free((char *)run->service);
    g_free(run);
}

/* @return id -> run_t, the last run of each request */
static GHashTable *runs_by_id(const json_t *seen) {
    GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(seen, "runs"), i, entry) {
        const char *engine = soak_text_of(entry, "engine");
        run_t *run = g_new0(run_t, 1);
        run->service = g_strndup(engine, strcspn(engine, "-"));
        run->at_ms = soak_number_of(entry, "at_ms");
        g_hash_table_replace(runs, (gpointer)soak_text_of(entry, "id"), run);
    }
    return runs;
}

/* @return array of probe_t: probes that an engine ran or that got 404, in the order of sending */
static GArray *probes_collect(const soak_t *soak, GHashTable *runs) {
    GArray *probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        guint route = soak_probe_route(request->path);
        const run_t *run = g_hash_table_lookup(runs, request->id);
        if (route < SOAK_PROBE_ROUTES && (run != NULL || request->status == 404)) {
            probe_t probe = {
                request,
                {route, run != NULL ? run->service : NULL, request->began_ms, request->ended_ms},
                run != NULL ? run->at_ms : 0};
            g_array_append_val(probes, probe);
        }
    }
    return probes;
}

static const char *outcome_name(const config_outcome_t *outcome) {
    return outcome->service != NULL ? outcome->service : "404";
}

/* Time beyond SOAK_CONFIG_MS that a change may take at this time. */
static int64_t skew_ms(soak_t *soak, const soak_request_t *request) {
    return soak_store_turns_nodes_away(soak, request->node, request->began_ms, request->ended_ms)
               ? SOAK_CONFIG_SKEW_MS
               : 0;
}

static void in_force_check(soak_t *soak, const GArray *probes) {
    for (guint i = 0; i < probes->len; i++) {
        const probe_t *probe = &g_array_index(probes, probe_t, i);
        const soak_request_t *request = probe->request;
        config_outcome_t outcome = probe->outcome;
        outcome.sent_ms -= skew_ms(soak, request);
        config_verdict_t verdict = config_oracle_judge(soak->configurations, &outcome);
        if (verdict == CONFIG_INVALID) {
            soak_fail(soak, "%s %s at node %d: %s, which no configuration allows", request->id,
                      request->path, request->node, outcome_name(&probe->outcome));
        } else if (verdict == CONFIG_OUTDATED &&
                   !soak_is_out_of_touch(soak, request->node, request->began_ms,
                                         request->ended_ms)) {
            soak_fail(soak,
                      "%s %s at node %d, sent %.3f s: %s, as only an outdated configuration "
                      "allows",
                      request->id, request->path, request->node,
                      (double)(request->began_ms - soak->began_ms) / 1000,
                      outcome_name(&probe->outcome));
        }
    }
}

static gint compare_sent(gconstpointer left, gconstpointer right) {
    const probe_t *a = left;
    const probe_t *b = right;
    return (a->request->began_ms > b->request->began_ms) -
           (a->request->began_ms < b->request->began_ms);
}

/* Oldest version that the node may still use for a request, from the effects seen before it. */
static int effects_newest(const soak_t *soak, const GArray *probes, const probe_t *later) {
    int newest = 0;
    for (guint i = 0; i < probes->len; i++) {
        const probe_t *probe = &g_array_index(probes, probe_t, i);
        if (probe->ran_ms != 0 && probe->request->node == later->request->node &&
            probe->request->life == later->request->life &&
            probe->ran_ms + DOWNGRADE_SLACK_MS < later->request->began_ms) {
            newest = MAX(newest, config_oracle_oldest(soak->configurations, &probe->outcome));
        }
    }
    return newest;
}

static void downgrade_check(soak_t *soak, GArray *probes) {
    g_array_sort(probes, compare_sent);
    for (guint i = 0; i < probes->len; i++) {
        const probe_t *probe = &g_array_index(probes, probe_t, i);
        int newest = probe->request->life > 0 ? effects_newest(soak, probes, probe) : 0;
        if (newest > 0 &&
            !config_oracle_allows_since(soak->configurations, &probe->outcome, newest)) {
            soak_fail(soak, "%s %s at node %d: %s, older than what it used before",
                      probe->request->id, probe->request->path, probe->request->node,
                      outcome_name(&probe->outcome));
        }
    }
}

static gboolean is_denial(int status) {
    return status / 100 == 4 && status != 408 && status != 421 && status != 429;
}

static void denied_check(soak_t *soak) {
    unsigned denied = 0;
    unsigned denied_always = 0;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        guint route = soak_probe_route(request->path);
        gboolean is_probe = route < SOAK_PROBE_ROUTES;
        gboolean allowed =
            !is_probe || config_oracle_has_route(soak->configurations, route, request->began_ms,
                                                 request->ended_ms);
        if (!allowed || !is_denial(request->status)) {
            continue;
        }
        denied_always += !is_probe;
        denied += !soak_is_out_of_touch(soak, request->node, request->began_ms, request->ended_ms);
    }
    if (denied > DENIED_SLACK + soak->requests->len / DENIED_ONE_IN) {
        soak_fail(soak, "%u proper requests of %u got 4xx", denied, soak->requests->len);
    }
    if (denied_always > DENIED_ALWAYS_MAX) {
        soak_fail(soak, "%u requests that each configuration allows got 4xx", denied_always);
    }
}

static void added_routes_check(soak_t *soak) {
    unsigned sent[2] = {0};
    unsigned served[2] = {0};
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        guint route = soak_probe_route(request->path);
        if (route == SOAK_PROBE_ROUTES ||
            !config_oracle_has_route(soak->configurations, route, request->began_ms,
                                     request->ended_ms) ||
            soak_is_out_of_touch(soak, request->node, request->began_ms, request->ended_ms)) {
            continue;
        }
        gboolean added = !config_oracle_is_first(soak->configurations, route);
        sent[added]++;
        served[added] += request->status == 200;
    }
    if (sent[1] >= ADDED_MIN && sent[0] > 0 &&
        (double)served[1] / sent[1] < ADDED_SHARE * served[0] / sent[0]) {
        soak_fail(soak, "added routes: %u of %u served; first routes: %u of %u", served[1], sent[1],
                  served[0], sent[0]);
    }
}

void soak_config_check(soak_t *soak, const json_t *seen) {
    if (soak->config_writer == NULL || soak->has_builds) {
        return; /* nodes of the older build get configurations from the store only */
    }
    g_autoptr(GHashTable) runs = runs_by_id(seen);
    g_autoptr(GArray) probes = probes_collect(soak, runs);
    in_force_check(soak, probes);
    downgrade_check(soak, probes);
    denied_check(soak);
    added_routes_check(soak);
}
