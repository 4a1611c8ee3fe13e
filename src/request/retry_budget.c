/* A sliding budget of resends. */
#include "request/retry_budget.h"

#include <math.h>

/* The window is counted in slices; one more than fit is counted, so it never counts too little. */
#define SLICES 20

struct wb_retry_budget_t {
    double ratio;
    int64_t slice_ms;
    int64_t newest; /* number of the newest slice */
    unsigned requests[SLICES + 1];
    unsigned resends[SLICES + 1];
};

wb_retry_budget_t *wb_retry_budget_create(double ratio, int64_t window_ms) {
    wb_retry_budget_t *budget = g_new0(wb_retry_budget_t, 1);
    budget->ratio = ratio;
    budget->slice_ms = MAX(window_ms / SLICES, 1);
    return budget;
}

void wb_retry_budget_free(wb_retry_budget_t *budget) {
    g_free(budget);
}

/* Empties the slices that have left the window. Returns the present slice's place. */
static size_t slice_at(wb_retry_budget_t *budget, int64_t now_ms) {
    int64_t number = now_ms / budget->slice_ms;
    int64_t passed = MIN(number - budget->newest, SLICES + 1);
    for (int64_t i = 0; i < passed; i++) {
        size_t place = (size_t)((number - i) % (SLICES + 1));
        budget->requests[place] = 0;
        budget->resends[place] = 0;
    }
    budget->newest = MAX(budget->newest, number);
    return (size_t)(budget->newest % (SLICES + 1));
}

void wb_retry_budget_request(wb_retry_budget_t *budget, int64_t now_ms) {
    budget->requests[slice_at(budget, now_ms)]++;
}

double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    slice_at(budget, now_ms);
    unsigned requests = 0;
    unsigned resends = 0;
    for (size_t i = 0; i <= SLICES; i++) {
        requests += budget->requests[i];
        resends += budget->resends[i];
    }
    return budget->ratio * requests + slack_share - resends;
}

gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    if (wb_retry_budget_left(budget, slack_share, now_ms) < 1)
        return FALSE;
    budget->resends[slice_at(budget, now_ms)]++;
    return TRUE;
}
