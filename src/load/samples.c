/* Measurements and their quantiles. */
#include "wickbridge/load.h"

void wb_samples_init(wb_samples_t *samples) {
    samples->values = g_array_new(FALSE, FALSE, sizeof(double));
    samples->sorted = FALSE;
}

void wb_samples_clear(wb_samples_t *samples) {
    g_clear_pointer(&samples->values, g_array_unref);
}

void wb_samples_add(wb_samples_t *samples, double value) {
    g_array_append_val(samples->values, value);
    samples->sorted = FALSE;
}

static gint compare_values(gconstpointer left, gconstpointer right) {
    double a = *(const double *)left;
    double b = *(const double *)right;
    return a < b ? -1 : a > b;
}

double wb_samples_quantile(wb_samples_t *samples, double quantile) {
    if (samples->values->len == 0)
        return 0.0;
    if (!samples->sorted)
        g_array_sort(samples->values, compare_values);
    samples->sorted = TRUE;
    guint index = (guint)(quantile * (double)(samples->values->len - 1) + 0.5);
    return g_array_index(samples->values, double, index);
}

double wb_samples_mean(const wb_samples_t *samples) {
    double sum = 0.0;
    for (guint i = 0; i < samples->values->len; i++)
        sum += g_array_index(samples->values, double, i);
    return samples->values->len > 0 ? sum / samples->values->len : 0.0;
}
