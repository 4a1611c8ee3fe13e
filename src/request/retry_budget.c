/* A sliding budget of resends. */
#include "request/retry_budget.h"

/* A window is counted in slices. */
#define SLICES 20
/* A resend comes to its engine up to so many slices after it was taken; a request was sent by its
 * caller up to so many before it was counted. */
#define DELAY_SLICES 1
/* Slices from the one in which a window may begin to the first whose requests surely lie in it. */
#define EDGE_SLICES (2 * DELAY_SLICES + 1)
/* The oldest slice whose resends may share a window with one of now. */
#define OLDEST_AGE (SLICES + DELAY_SLICES)
/* Half a window before that one's. */
#define KEPT_SLICES (OLDEST_AGE + SLICES / 2 - EDGE_SLICES + 1)

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

/* Returns the place of the slice that is so many slices old. */
static size_t place_of(const wb_retry_budget_t *budget, int age) {
    return (size_t)((budget->newest - age) % KEPT_SLICES);
}

/* Empties the slices that are no longer kept. */
static void slices_move(wb_retry_budget_t *budget, int64_t now_ms) {
    int64_t number = now_ms / budget->slice_ms;
    int64_t passed = MIN(number - budget->newest, KEPT_SLICES);
    for (int64_t i = 0; i < passed; i++) {
        size_t place = (size_t)((number - i) % KEPT_SLICES);
        budget->requests[place] = 0;
        budget->resends[place] = 0;
    }
    budget->newest = MAX(budget->newest, number);
}

void wb_retry_budget_note_request(wb_retry_budget_t *budget, int64_t now_ms) {
    slices_move(budget, now_ms);
    budget->requests[place_of(budget, 0)]++;
}

/* Each window that a resend of now may lie in must have room for it. Its requests are the mean of
 * those in it and those in the one half a window before: the bound takes the larger of the two
 * over all nodes, and the sum of the nodes' means is never more, while the sum of what is larger at
 * each node may be. */
double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    unsigned newer[KEPT_SLICES + 1] = {0}; /* requests in so many newest slices */
    unsigned resends = 0;
    double left = G_MAXDOUBLE;
    slices_move(budget, now_ms);
    for (int age = 0; age < KEPT_SLICES; age++) {
        newer[age + 1] = newer[age] + budget->requests[place_of(budget, age)];
    }
    for (int age = 0; age <= OLDEST_AGE; age++) {
        int whole = MAX(age + 1 - EDGE_SLICES, 0); /* slices that surely lie in the window */
        int half = MAX(age - SLICES / 2, 0);       /* slices after the window half before */
        unsigned in_window = newer[whole];
        unsigned in_half_before = newer[age + 1 - EDGE_SLICES + SLICES / 2] - newer[half];
        resends += budget->resends[place_of(budget, age)];
        double credit = budget->ratio * (in_window + in_half_before) / 2;
        left = MIN(left, credit + slack_share - resends);
    }
    return left;
}

gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms) {
    if (wb_retry_budget_left(budget, slack_share, now_ms) < 1)
        return FALSE;
    budget->resends[place_of(budget, 0)]++;
    return TRUE;
}
