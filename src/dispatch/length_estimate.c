/* How many tokens an answer will have. */
#include "dispatch/length_estimate.h"

#include <math.h>

/* Before any answer of a kind was seen: half of a chat's. */
#define FIRST_TOKENS 150.0
/* Each answer moves the average by this share: some thirty make it new. */
#define LEARN_SHARE 0.05
/* Kinds are an operator's routes: some dozen. A configuration may rename them. */
#define KINDS_LIMIT 512

struct wb_length_estimate_t {
    GHashTable *means; /* kind -> double *, of the logarithm of tokens */
};

wb_length_estimate_t *wb_length_estimate_create(void) {
    wb_length_estimate_t *guess = g_new0(wb_length_estimate_t, 1);
    guess->means = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return guess;
}

void wb_length_estimate_free(wb_length_estimate_t *guess) {
    g_hash_table_unref(guess->means);
    g_free(guess);
}

void wb_length_estimate_learn(wb_length_estimate_t *guess, const char *kind, double tokens) {
    double seen = log(MAX(tokens, 1));
    double *mean = g_hash_table_lookup(guess->means, kind);
    if (mean != NULL) {
        *mean += LEARN_SHARE * (seen - *mean);
        return;
    }
    if (g_hash_table_size(guess->means) >= KINDS_LIMIT) {
        g_hash_table_remove_all(guess->means);
    }
    g_hash_table_insert(guess->means, g_strdup(kind), g_memdup2(&seen, sizeof(seen)));
}

double wb_length_estimate_tokens(const wb_length_estimate_t *guess, const char *kind, double hint,
                              double most) {
    const double *mean = g_hash_table_lookup(guess->means, kind);
    double usual = mean != NULL ? exp(*mean) : FIRST_TOKENS;
    double tokens = hint > 0 ? sqrt(usual * hint) : usual;
    if (most > 0) {
        tokens = MIN(tokens, most);
    }
    return MAX(tokens, 1);
}
