/* Estimates the number of output tokens of a response. */
#include "dispatch/length_estimate.h"

#include <math.h>

/* Estimate for a route without any response yet. */
#define DEFAULT_TOKENS 150.0
/* Weight of a new response in the moving average. */
#define LEARNING_RATE 0.05
/* All routes are dropped at this bound; those of former configurations aren't removed otherwise. */
#define ROUTES_MAX 512

struct wb_length_estimate_t {
    GHashTable *means; /* route -> double *, mean of the logarithm of tokens */
};

wb_length_estimate_t *wb_length_estimate_create(void) {
    wb_length_estimate_t *estimate = g_new0(wb_length_estimate_t, 1);
    estimate->means = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return estimate;
}

void wb_length_estimate_free(wb_length_estimate_t *estimate) {
    g_hash_table_unref(estimate->means);
    g_free(estimate);
}

void wb_length_estimate_learn(wb_length_estimate_t *estimate, const char *route, double tokens) {
    double log_tokens = log(MAX(tokens, 1));
    double *mean = g_hash_table_lookup(estimate->means, route);
    if (mean != NULL) {
        *mean += LEARNING_RATE * (log_tokens - *mean);
        return;
    }
    if (g_hash_table_size(estimate->means) >= ROUTES_MAX) {
        g_hash_table_remove_all(estimate->means);
    }
    g_hash_table_insert(estimate->means, g_strdup(route),
                        g_memdup2(&log_tokens, sizeof(log_tokens)));
}

double wb_length_estimate_tokens(const wb_length_estimate_t *estimate, const char *route,
                                 double hint, double max_tokens) {
    const double *mean = g_hash_table_lookup(estimate->means, route);
    double mean_tokens = mean != NULL ? exp(*mean) : DEFAULT_TOKENS;
    double tokens = hint > 0 ? sqrt(mean_tokens * hint) : mean_tokens;
    if (max_tokens > 0) {
        tokens = MIN(tokens, max_tokens);
    }
    return MAX(tokens, 1);
}
