/* Checks which versions of the configuration allow the outcome of a request. */
#include "config_oracle.h"

#include <string.h>

typedef struct version_t {
    char **services; /* per route: comma-separated list, or "" if it doesn't exist */
    int64_t sent_ms;
    int64_t acked_ms;
} version_t;

struct config_oracle_t {
    guint routes;
    int64_t in_force_ms;
    GArray *versions; /* of version_t, oldest first */
};

static void version_clear(gpointer data) {
    g_strfreev(((version_t *)data)->services);
}

config_oracle_t *config_oracle_create(guint routes, int64_t in_force_ms) {
    config_oracle_t *oracle = g_new0(config_oracle_t, 1);
    oracle->routes = routes;
    oracle->in_force_ms = in_force_ms;
    oracle->versions = g_array_new(FALSE, FALSE, sizeof(version_t));
    g_array_set_clear_func(oracle->versions, version_clear);
    return oracle;
}

void config_oracle_free(config_oracle_t *oracle) {
    g_array_unref(oracle->versions);
    g_free(oracle);
}

void config_oracle_write(config_oracle_t *oracle, const char *const *services, int64_t sent_ms,
                         int64_t acked_ms) {
    version_t version = {g_new0(char *, oracle->routes + 1), sent_ms, acked_ms};
    for (guint i = 0; i < oracle->routes; i++) {
        version.services[i] = g_strdup(services[i] != NULL ? services[i] : "");
    }
    g_array_append_val(oracle->versions, version);
}

static const version_t *version_at(const config_oracle_t *oracle, int index) {
    return &g_array_index(oracle->versions, version_t, index);
}

static gboolean version_allows(const version_t *version, const config_outcome_t *outcome) {
    const char *list = version->services[outcome->route];
    if (outcome->service == NULL) {
        return *list == '\0';
    }
    g_auto(GStrv) services = g_strsplit(list, ",", -1);
    return g_strv_contains((const char *const *)services, outcome->service);
}

/* Index of the oldest version that may be in force at this time. */
static int oldest_in_force(const config_oracle_t *oracle, int64_t at_ms) {
    int oldest = 0;
    for (int i = 0; i < (int)oracle->versions->len; i++) {
        if (version_at(oracle, i)->acked_ms + oracle->in_force_ms < at_ms) {
            oldest = i;
        }
    }
    return oldest;
}

gboolean config_oracle_allows_since(const config_oracle_t *oracle, const config_outcome_t *outcome,
                                    int oldest) {
    for (int i = oldest; i < (int)oracle->versions->len; i++) {
        const version_t *version = version_at(oracle, i);
        if (version->sent_ms <= outcome->ended_ms && version_allows(version, outcome)) {
            return TRUE;
        }
    }
    return FALSE;
}

int config_oracle_oldest(const config_oracle_t *oracle, const config_outcome_t *outcome) {
    for (int i = 0; i < (int)oracle->versions->len; i++) {
        if (version_allows(version_at(oracle, i), outcome)) {
            return i;
        }
    }
    return -1;
}

config_verdict_t config_oracle_judge(const config_oracle_t *oracle,
                                     const config_outcome_t *outcome) {
    if (config_oracle_allows_since(oracle, outcome, oldest_in_force(oracle, outcome->sent_ms))) {
        return CONFIG_ALLOWED;
    }
    return config_oracle_allows_since(oracle, outcome, 0) ? CONFIG_OUTDATED : CONFIG_INVALID;
}

gboolean config_oracle_has_route(const config_oracle_t *oracle, guint route, int64_t sent_ms,
                                 int64_t ended_ms) {
    for (int i = oldest_in_force(oracle, sent_ms); i < (int)oracle->versions->len; i++) {
        const version_t *version = version_at(oracle, i);
        if (version->sent_ms <= ended_ms && *version->services[route] == '\0') {
            return FALSE;
        }
    }
    return TRUE;
}

gboolean config_oracle_is_first(const config_oracle_t *oracle, guint route) {
    return *version_at(oracle, 0)->services[route] != '\0';
}
