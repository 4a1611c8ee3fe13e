/**
 * @file length_estimate.h
 * @brief Estimates the number of output tokens of a response, from the client's hint and from
 * earlier responses of the same route.
 *
 * Hints are right on average but vary widely, so the estimate is the geometric mean of the hint and
 * the mean of the route. It never exceeds the client's limit. Pure; no errors.
 */
#ifndef WICKBRIDGE_LENGTH_ESTIMATE_H
#define WICKBRIDGE_LENGTH_ESTIMATE_H

#include <glib.h>

typedef struct wb_length_estimate_t wb_length_estimate_t;

wb_length_estimate_t *wb_length_estimate_create(void);
void wb_length_estimate_free(wb_length_estimate_t *estimate);
/** Add the number of tokens of a complete response. */
void wb_length_estimate_learn(wb_length_estimate_t *estimate, const char *route, double tokens);
/**
 * @param hint       the client's hint in tokens; 0: none
 * @param max_tokens the client's limit; 0: none
 * @return expected output tokens, at least 1
 */
double wb_length_estimate_tokens(const wb_length_estimate_t *estimate, const char *route,
                                 double hint, double max_tokens);

#endif
