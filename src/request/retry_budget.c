/* Retry budget with sliding windows, counted in slices of time. */
#include "request/retry_budget.h"

/* Slices in a window. */
#define SLICES 20
/* Maximum delay, in slices, from taking a resend to its arrival at the engine, and from a client's
 * sending of a request to its being counted. */
#define DELAY_SLICES 1
/* Slices from the one in which a window may begin to the first whose requests are certain to lie in
 * it. */
#define BOUNDARY_SLICES (2 * DELAY_SLICES + 1)
/* Age of the oldest slice whose resends may share a window with a resend taken now. */
#define OLDEST_AGE (SLICES + DELAY_SLICES)
/* Slices needed to count the requests of the window half a window before the oldest one. */
#define KEPT_SLICES (OLDEST_AGE + SLICES / 2 - BOUNDARY_SLICES + 1)

struct wb_retry_budget_t {
    double ratio;
    int64_t slice_ms;
    int64_t newest; /* number of the newest slice */
    unsigned requests[KEPT_SLICES];
    unsigned resends[KEPT_SLICES];
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

/* Returns the index of the slice that is `age` slices older than the newest. */
static size_t slice_index(const wb_retry_budget_t *budget, int age) {
    return (size_t)((budget->newest - age) % KEPT_SLICES);
}

/* Advances to the current slice, and clears the slices that are reused. */
static void slices_advance(wb_retry_budget_t *budget, int64_t now_ms) {
    int64_t number = now_ms / budget->slice_ms;
    int64_t passed = MIN(number - budget->newest, KEPT_SLICES);
    for (int64_t i = 0; i < passed; i++) {
        size_t index = (size_t)((number - i) % KEPT_SLICES);
        budget->requests[index] = 0;
        budget->resends[index] = 0;
    }
    budget->newest = MAX(budget->newest, number);
}

void wb_retry_budget_note_request(wb_retry_budget_t *budget, int64_t now_ms) {
    slices_advance(budget, now_ms);
    budget->requests[slice_index(budget, 0)]++;
}

/* The minimum over all windows in which a resend taken now may lie. The requests credited to a
 * window are the mean of those in it and those in the window half a window before. The bound takes
 * the larger of the two sums over all nodes: the sum of the nodes' means never exceeds that, but
 * the sum of each node's larger count may. */
double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    unsigned newer[KEPT_SLICES + 1] = {0}; /* newer[n]: requests in the newest n slices */
    unsigned resends = 0;
    double left = G_MAXDOUBLE;
    slices_advance(budget, now_ms);
    for (int age = 0; age < KEPT_SLICES; age++) {
        newer[age + 1] = newer[age] + budget->requests[slice_index(budget, age)];
    }
    for (int age = 0; age <= OLDEST_AGE; age++) {
        int inside = MAX(age + 1 - BOUNDARY_SLICES, 0); /* slices certain to lie in the window */
        int half = MAX(age - SLICES / 2, 0);            /* slices after the one half before */
        unsigned in_window = newer[inside];
        unsigned in_half_before = newer[age + 1 - BOUNDARY_SLICES + SLICES / 2] - newer[half];
        resends += budget->resends[slice_index(budget, age)];
        double credit = budget->ratio * (in_window + in_half_before) / 2;
        left = MIN(left, credit + slack_share - resends);
    }
    return left;
}

gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    if (wb_retry_budget_left(budget, slack_share, now_ms) < 1)
        return FALSE;
    budget->resends[slice_index(budget, 0)]++;
    return TRUE;
}
